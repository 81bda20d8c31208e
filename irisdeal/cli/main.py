"""The `irisdeal` command line. Exit codes: 0 success, 1 a check failed, 2 the command cannot run as given."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from irisdeal import __version__
from irisdeal.cli.chaos import chaos
from irisdeal.cli.queues import queues
from irisdeal.cli.routes import routes
from irisdeal.cli.store import deprecated_store, store
from irisdeal.cli.zones import zones

if TYPE_CHECKING:
    from irisdeal.demo.deployment import Deployment
    from irisdeal.demo.run import Outcome
    from irisdeal.testbed.workload import Day

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


class CommandError(click.ClickException):
    """The command cannot run as given: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the line."""
        click.echo(f"irisdeal: {self.message}", err=True)


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(__version__, prog_name="irisdeal")
def main() -> None:
    """API gateways that hold each store to its quota before a shared fleet, and their tools."""


main.add_command(store)
main.add_command(deprecated_store)
main.add_command(chaos)
main.add_command(queues)
main.add_command(routes)
main.add_command(zones)


@main.command()
def serve() -> None:
    """Run one front door in the foreground, as `python -m irisdeal` does.

    The configuration is the JSON file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY
    override it.

    Example: EDGE_CONFIG=config.json irisdeal serve
    """
    from irisdeal.front_door.server.program import main as run_gateway

    sys.exit(run_gateway())


@main.command()
@click.option(
    "--scenario",
    "name",
    default="calm",
    metavar="NAME|FILE",
    show_default=True,
    help="A built-in scenario, or a TOML file.",
)
@click.option(
    "--doors",
    type=click.IntRange(1, 64),
    default=None,
    help="Number of front doors, instead of the scenario's.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.5, 3600),
    default=None,
    help="Duration instead of the scenario's; its timeline is scaled with it.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=None,
    help="Seed of the workload; the same seed gives the same one.  [default: the scenario's, mostly 1]",
)
@click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Also write the results to a file; - for standard output instead of the tables.",
)
@click.option(
    "--deploy",
    "deploy_file",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Its run line starts the front doors; by default deploy/balancer.toml here or above.",
)
@click.option(
    "--stores",
    type=click.IntRange(0, 10_000),
    default=5,
    show_default=True,
    help="How many of the stores furthest over their quotas to show; --json has all.",
)
@click.option(
    "--reports",
    type=click.Path(file_okay=False, exists=True, path_type=Path),
    default=None,
    metavar="DIR",
    help="Folder for the report sockets of the front doors, for `irisdeal queues`.",
)
@click.option("--list", "list_only", is_flag=True, help="List the built-in scenarios and end.")
def demo(
    name: str,
    doors: int | None,
    seconds: float | None,
    seed: int | None,
    out: Path | None,
    deploy_file: Path | None,
    stores: int,
    reports: Path | None,
    list_only: bool,
) -> None:
    """Run a scenario with simulated services on loopback and front door processes, and check the rules.

    Exit code 0 if the rules held, 1 if one was broken, 2 if it could not run. Ctrl-C ends it early, with the
    results so far.

    Example: irisdeal demo --scenario hall-cut --doors 4 --seed 7
    """
    from irisdeal.demo.deployment import DemoError, find_deployment
    from irisdeal.demo.report import as_json
    from irisdeal.demo.tables import show
    from irisdeal.testbed import scenario_files as scenarios
    from irisdeal.testbed.scenario import ScenarioError
    from irisdeal.testbed.workload import draw

    console = Console(soft_wrap=False)
    if list_only:
        for builtin in scenarios.names():
            console.print(f"[bold]{builtin:<18}[/] {scenarios.load(builtin).about}", highlight=False)
        return
    if out is not None and str(out) != "-" and not os.access(out.parent, os.W_OK):
        raise CommandError(f"--json {out}: cannot be written")
    try:
        scenario = scenarios.load(name)
        day = draw(scenario.resized(doors, seconds), scenario.seed if seed is None else seed)
        deploy = find_deployment(Path.cwd(), deploy_file)
        outcome = _play(day, deploy, out is not None and str(out) == "-", reports)
    except (ScenarioError, DemoError, ValueError) as error:
        raise CommandError(str(error)) from None
    if out is not None:
        text = json.dumps(as_json(outcome), indent=1)
        if str(out) == "-":
            click.echo(text)
        else:
            try:
                out.write_text(text + "\n", "utf-8")
            except OSError as error:
                raise CommandError(f"--json {out}: {error.strerror}") from None
    if out is None or str(out) != "-":
        show(outcome, console, stores)
    sys.exit(0 if outcome.kept else 1)


def _play(day: Day, deploy: Deployment, quiet: bool, reports: Path | None) -> Outcome:
    """Run with a progress bar on standard error. SIGINT or SIGTERM ends it in order, a second one at once."""
    import uvloop

    from irisdeal.demo.run import play

    def started(pids: list[int]) -> None:
        if not quiet:
            click.echo(f"{len(pids)} doors are ready: processes {', '.join(map(str, pids))}", err=True)

    async def run() -> Outcome:
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        task = asyncio.current_task()

        def on_signal() -> None:
            if stop.is_set() and task is not None:
                task.cancel()  # the second signal ends it without an orderly stop
            stop.set()

        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, on_signal)
        console = Console(stderr=True)
        with Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TextColumn("{task.completed:.0f} of {task.total:.0f} s"),
            TimeElapsedColumn(),
            console=console,
            disable=quiet,
            transient=True,
        ) as bar:
            progress_task = bar.add_task(day.scenario.name, total=day.scenario.seconds)
            return await play(
                day,
                deploy,
                lambda s: bar.update(progress_task, completed=s),
                stop,
                started,
                reports and reports.absolute(),
            )

    try:
        return uvloop.run(run())
    except asyncio.CancelledError:
        raise CommandError("interrupted twice: ended at once without results") from None


if __name__ == "__main__":
    main()
