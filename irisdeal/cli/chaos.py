"""`irisdeal chaos`: simulated days in virtual time, and the search for fault schedules that break a rule."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table as DisplayTable

if TYPE_CHECKING:
    from irisdeal.simulation.search.front_door_day import DayResult
    from irisdeal.simulation.search.judge import Judgement
    from irisdeal.simulation.search.search import Finding, Search


class CommandError(click.ClickException):
    """The command cannot run as given: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the line."""
        click.echo(f"irisdeal: {self.message}", err=True)


@click.group()
def chaos() -> None:
    """Search for schedules of faults that break a rule, in virtual time, and replay or shrink them.

    A simulated day runs the gateways' own program and simulated services on an in-memory clock, machines and
    network. The same file and seed give the same day, byte for byte, on any machine.
    """


FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
SEED = click.option("--seed", type=click.IntRange(0), default=None, help="Overrides the seed of the file.")
JSON = click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Also write the results to a file; - for standard output only.",
)


def _read_schedule(file: Path, seed: int | None) -> dict[str, Any]:
    """Read and check the schedule of a file. Raises `CommandError`."""
    import tomllib

    from irisdeal.simulation.search.schedule import scenario
    from irisdeal.testbed.scenario import ScenarioError
    from irisdeal.testbed.scenario_files import MAX_BYTES

    try:
        raw = file.open("rb").read(MAX_BYTES + 1)
        if len(raw) > MAX_BYTES:
            raise CommandError(f"{file}: over {MAX_BYTES} bytes")
        table = tomllib.loads(raw.decode("utf-8"))
        if seed is not None:
            table["seed"] = seed
        scenario(table, str(file))
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise CommandError(f"{file}: not UTF-8 at byte {error.start}") from None
    except tomllib.TOMLDecodeError as error:
        raise CommandError(f"{file}: not TOML: {error}") from None
    except ScenarioError as error:
        raise CommandError(str(error)) from None
    return table


def _write_json(out: Path | None, content: dict[str, Any]) -> bool:
    """Write the results as JSON if requested; return whether they went to standard output."""
    if out is None:
        return False
    text = json.dumps(content, indent=1)
    if str(out) == "-":
        click.echo(text)
        return True
    try:
        out.write_text(text + "\n", "utf-8")
    except OSError as error:
        raise CommandError(f"--json {out}: {error.strerror}") from None
    return False


def _check_writable(out: Path | None) -> None:
    if out is not None and str(out) != "-" and not os.access(out.absolute().parent, os.W_OK):
        raise CommandError(f"--json {out}: cannot be written")


@chaos.command()
@click.option(
    "--days", type=click.IntRange(1), default=None, help="Number of simulated days.  [default: 256]"
)
@click.option(
    "--minutes",
    type=click.FloatRange(0.05, 24 * 60),
    default=None,
    help="Duration of the search, instead of a number of days.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the search; the same seed tries the same days.",
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, show_default=True, help="Processes."
)
@click.option("--only", default="", metavar="FAULT,…", help="Draw only these faults.")
@click.option("--plain", is_flag=True, help="Draw every day independently, without guidance by earlier days.")
@click.option(
    "--out",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    metavar="DIR",
    help="Folder of the found schedules and the state of the search, which continues with the same DIR.",
)
@click.option("--shrink/--no-shrink", default=True, show_default=True, help="Shrink the found schedules.")
@JSON
def run(
    days: int | None,
    minutes: float | None,
    seed: int,
    jobs: int,
    only: str,
    plain: bool,
    folder: Path | None,
    shrink: bool,
    out: Path | None,
) -> None:
    """Search for schedules that break a rule.

    Ctrl-C ends it after the current generation of days; with --out it can be continued later.

    Exit code 0 if no rule was broken, 1 if one was, 2 if it could not run.

    Example: irisdeal chaos run --minutes 10 --out found --only door-kill,box-drain
    """
    from irisdeal.simulation.search import search as search_module
    from irisdeal.simulation.search.schedule import KINDS

    _check_writable(out)
    names = tuple(name for name in only.split(",") if name)
    for name in names:
        if name not in KINDS:
            raise CommandError(f"--only {name}: no such fault: wanted some of {', '.join(KINDS)}")
    if days is not None and minutes is not None:
        raise CommandError("--days and --minutes: wanted one of them")
    search = None
    if folder is not None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            search = search_module.Search.load(folder)
        except (OSError, search_module.SearchError) as error:
            raise CommandError(f"--out {folder}: {error}") from None
        if search is not None and (search.seed, search.guided, search.only) != (seed, not plain, names):
            raise CommandError(
                f"--out {folder}: holds another search (--seed {search.seed}"
                f"{'' if search.guided else ' --plain'}"
                f"{' --only ' + ','.join(search.only) if search.only else ''})"
            )
    search = search or search_module.Search(seed, guided=not plain, only=names)
    is_quiet = str(out) == "-"
    goal_days = None if minutes is not None else search.days + (days or 256)
    started_at, stop_requested = time.monotonic(), False

    def request_stop(*_: object) -> None:
        nonlocal stop_requested
        stop_requested = True

    def should_continue(current: search_module.Search) -> bool:
        if stop_requested:
            return False
        return (
            time.monotonic() - started_at < minutes * 60
            if minutes is not None
            else current.days < (goal_days or 0)
        )

    previous_handler = signal.signal(signal.SIGINT, request_stop)
    start = search.days
    try:
        with _progress(is_quiet) as bar:
            task = bar.add_task("", total=goal_days and goal_days - start)

            def show_progress(current: search_module.Search, done: int) -> None:
                played = current.days + done - start
                rate = played / max(0.1, time.monotonic() - started_at)
                bar.update(
                    task,
                    completed=played,
                    description=(
                        f"{rate:.1f} days a second, {len(current.states)} states, {current.coverage_summary()}, "
                        f"{current.failing_days} broke"
                    ),
                )

            search_module.run(
                search,
                jobs,
                should_continue,
                on_progress=show_progress,
                folder=folder,
                on_finding=lambda f: bar.console.print(_found_line(f), highlight=False, soft_wrap=True),
            )
    finally:
        signal.signal(signal.SIGINT, previous_handler)
    seconds = time.monotonic() - started_at
    files = (
        _write_found(search, folder, jobs, shrink and not stop_requested, is_quiet)
        if folder is not None
        else []
    )
    if not _write_json(out, _search_as_json(search, start, seconds, files)):
        _print_search(search, start, seconds, files, stop_requested)
    sys.exit(1 if search.findings else 0)


def _progress(is_quiet: bool) -> Progress:
    return Progress(
        TextColumn("{task.completed} days"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.description}"),
        console=Console(stderr=True),
        disable=is_quiet,
        transient=True,
    )


def _found_line(found: Finding) -> str:
    first = found.texts[0] if found.texts else ""
    return f"[bold]day {found.day}[/] breaks {', '.join(found.broken)}: {first}"


def _write_found(search: Search, folder: Path, jobs: int, shrink: bool, is_quiet: bool) -> list[str]:
    """Write the found schedules, the first of each broken rule shrunk. Return the files."""
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.schedule_files import write

    written, names = [], set[str]()
    for found in search.findings:
        table, broken, texts = found.table, found.broken, found.texts
        first = broken[0] not in names
        names.add(broken[0])
        if shrink and first:
            table = _shrink(table, broken[0], "", 200, is_quiet)[0]
            least = judge(table, samples_states=False)
            broken, texts = least.broken, least.texts
        written.append(str(write(folder, table, broken, texts)))
    return written


def _shrink(
    table: dict[str, Any], name: str, bug: str, most: int, is_quiet: bool
) -> tuple[dict[str, Any], int]:
    """Return the smallest schedule found that still breaks the named rule, and the days played for it."""
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.shrink import Shrinker

    with _progress(is_quiet) as bar:
        task = bar.add_task(f"shrinking the {name} schedule", total=most)
        shrinker = Shrinker(
            lambda candidate: name in judge(candidate, bug, samples_states=False).broken, most
        )
        shrinker.on_progress = lambda text: bar.update(
            task, completed=shrinker.plays, description=f"{name}: {text}"
        )
        return shrinker.shrink(table), shrinker.plays


def _search_as_json(search: Search, start: int, seconds: float, files: list[str]) -> dict[str, Any]:
    return {
        "seed": search.seed,
        "guided": search.guided,
        "days": search.days,
        "days_now": search.days - start,
        "seconds": round(seconds, 1),
        "days_a_second": round((search.days - start) / max(0.01, seconds), 2),
        "virtual_seconds": round(search.virtual_s, 1),
        "states": len(search.states),
        "pairs_of_values": len(search.seen_pairs),
        "pairs_of_faults": len(search.fault_pairs),
        "kept": len(search.corpus),
        "broke": search.failing_days,
        "found": [
            {"day": f.day, "broken": f.broken, "texts": f.texts, "schedule": f.table} for f in search.findings
        ],
        "files": files,
    }


def _print_search(search: Search, start: int, seconds: float, files: list[str], stopped: bool) -> None:
    table_view = DisplayTable(show_header=False, box=None)
    for name, value in (
        (
            "days",
            f"{search.days - start} in {seconds:.1f} s"
            + f", {search.days} in all" * bool(start)
            + " (ended early)" * stopped,
        ),
        (
            "a second",
            f"{(search.days - start) / max(0.01, seconds):.1f} days; a process plays "
            f"{search.virtual_s / max(0.01, search.real_s):.1f} s in one",
        ),
        (
            "ground",
            f"{len(search.states)} states of a gateway, {len(search.seen_pairs)} pairs of values, "
            f"{search.coverage_summary()}",
        ),
        ("kept", f"{len(search.corpus)} schedules with new coverage"),
        (
            "broke",
            f"{search.failing_days} days: "
            + (", ".join(dict.fromkeys(name for f in search.findings for name in f.broken)) or "nothing"),
        ),
    ):
        table_view.add_row(f"[bold]{name}[/]", value)
    console = Console()
    console.print(table_view, highlight=False)
    for file in files:
        console.print(f"written: {file}", highlight=False, soft_wrap=True)
    if search.findings and not files:
        console.print("no file written: give a folder with --out", highlight=False)


def _print_judged(judged: Judgement, out: Path | None) -> None:
    figures = {
        "broken": judged.broken,
        "texts": judged.texts,
        "digest": judged.digest,
        "asks": judged.asks,
        "share": round(judged.share, 4),
        "virtual_seconds": round(judged.virtual_s, 3),
        "seconds": round(judged.real_s, 3),
    }
    if _write_json(out, figures):
        return
    console = Console()
    console.print(
        f"[bold]{'kept' if not judged.broken else 'broken: ' + ', '.join(judged.broken)}[/]", highlight=False
    )
    for text in judged.texts:
        console.print(f"  {text}", highlight=False, soft_wrap=True, markup=False)
    console.print(
        f"{judged.asks} requests, {judged.share:.3f} of the value within the quotas served; "
        f"{judged.virtual_s:.1f} s in {judged.real_s:.2f} s; digest {judged.digest}",
        highlight=False,
        soft_wrap=True,
    )


@chaos.command()
@FILE
@SEED
@click.option("--bug", default="", metavar="NAME", help="Plant a bug: see `irisdeal chaos prove --list`.")
@click.option("--twice", is_flag=True, help="Play it twice, and report the first step that differs.")
@JSON
def replay(file: Path, seed: int | None, bug: str, twice: bool, out: Path | None) -> None:
    """Play a schedule again, byte for byte, and check the rules.

    Exit code 0 if all rules held, 1 if one was broken (or two plays differ), 2 if it could not run.

    Example: irisdeal chaos replay found/answers-1.toml
    """
    from irisdeal.simulation.search.judge import judge

    _check_writable(out)
    _check_bug_name(bug)
    table = _read_schedule(file, seed)
    judged = judge(table, bug)
    _print_judged(judged, out)
    if twice and (difference := _describe_difference(table, bug)):
        raise click.ClickException(difference)
    sys.exit(1 if judged.broken else 0)


def _check_bug_name(bug: str) -> None:
    from irisdeal.simulation.search.planted_bugs import NAMES

    if bug and bug not in NAMES:
        raise CommandError(f"--bug {bug}: no such bug: wanted one of {', '.join(NAMES)}")


def _describe_difference(table: dict[str, Any], bug: str) -> str:
    """Return where two plays of a schedule first differ, or an empty text."""
    from irisdeal.simulation.trace import BLOCK_EVENTS, first_difference

    one, other = _play(table, bug), _play(table, bug)
    if one.digest() == other.digest():
        return ""
    block = first_difference(one.trace, other.trace)
    if block is None:
        return f"all steps are equal, but the request logs differ: {one.digest()} and {other.digest()}"
    first_events, second_events = (_play(table, bug, block).trace.recorded_events for _ in range(2))
    for n, (left, right) in enumerate(zip(first_events, second_events, strict=False)):
        if left != right:
            return f"two plays differ at step {block * BLOCK_EVENTS + n}: {left!r} and {right!r}"
    return f"two plays differ among the steps from {block * BLOCK_EVENTS} on"


def _play(table: dict[str, Any], bug: str = "", recorded_block: int | None = None) -> DayResult:
    import logging

    from irisdeal.simulation.search.front_door_day import play
    from irisdeal.simulation.search.planted_bugs import planted
    from irisdeal.simulation.search.schedule import scenario
    from irisdeal.testbed.workload import draw

    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)
    schedule_scenario = scenario(table)
    with planted(bug):
        return play(draw(schedule_scenario, schedule_scenario.seed), recorded_block=recorded_block)


@chaos.command("shrink")
@FILE
@SEED
@click.option(
    "--most", type=click.IntRange(1), default=200, show_default=True, help="Maximum number of days to play."
)
@click.option("--bug", default="", metavar="NAME", help="Plant a bug for it.")
@click.option(
    "--to",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Output file; by default standard output.",
)
def shrink_file(file: Path, seed: int | None, most: int, bug: str, to: Path | None) -> None:
    """Shrink a schedule to a smaller one that breaks the same rule.

    Exit code 0 if it was shrunk, 1 if the file breaks no rule, 2 if it could not run.

    Example: irisdeal chaos shrink found/answers-1.toml --to least.toml
    """
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.schedule import scenario
    from irisdeal.simulation.search.schedule_files import to_toml

    _check_bug_name(bug)
    _check_writable(to)
    table = _read_schedule(file, seed)
    first = judge(table, bug, samples_states=False)
    if not first.broken:
        raise click.ClickException(f"{file}: breaks nothing")
    table, plays = _shrink(table, first.broken[0], bug, most, False)
    least = judge(table, bug, samples_states=False)
    text = to_toml(table, least.broken, least.texts)
    if to is None:
        click.echo(text, nl=False)
        return
    try:
        to.write_text(text, "utf-8")
    except OSError as error:
        raise CommandError(f"--to {to}: {error.strerror}") from None
    shrunk = scenario(table)
    click.echo(
        f"{to}: {len(shrunk.faults)} faults, {shrunk.front_doors} doors, {shrunk.seconds:g} s, after {plays} days"
    )


@chaos.command()
@FILE
@SEED
@click.option("--request", "trace", default="", metavar="ID", help="One client attempt by its X-Trace-Id.")
@click.option("--box", default="", metavar="NAME", help="One backend.")
@click.option("--door", type=click.IntRange(0), default=None, help="One gateway.")
@click.option("--bug", default="", metavar="NAME", help="Plant a bug for it.")
def show(file: Path, seed: int | None, trace: str, box: str, door: int | None, bug: str) -> None:
    """Show a timeline of a day: all faults and rule breaches, or those of a request, backend or gateway.

    Example: irisdeal chaos show found/answers-1.toml --request 1f0c6b02a9d54e11
    """
    from irisdeal.simulation.search.timeline import timeline

    _check_bug_name(bug)
    played = _play(_read_schedule(file, seed), bug)
    lines = timeline(played, trace, box, door)
    if not lines:
        raise click.ClickException("this day has no event of that request, backend or gateway")
    console = Console()
    for line in lines:
        console.print(line, highlight=False, soft_wrap=True, markup=False)


@chaos.command()
@click.option("--list", "list_only", is_flag=True, help="List the bugs and end.")
@click.option("--bug", "names", multiple=True, metavar="NAME", help="Only this bug; may be repeated.")
@click.option(
    "--days",
    type=click.IntRange(1),
    default=512,
    show_default=True,
    help="Maximum number of days for each bug.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, show_default=True)
@click.option("--plain", is_flag=True, help="Draw the days independently, for comparison.")
@JSON
def prove(
    list_only: bool,
    names: tuple[str, ...],
    days: int,
    seed: int,
    jobs: int,
    plain: bool,
    out: Path | None,
) -> None:
    """Plant known bugs in the gateway and count the days until each is found.

    Exit code 0 if all were found, 1 if one was not, 2 if it could not run.

    Example: irisdeal chaos prove --bug drain-unheard --days 128
    """
    from irisdeal.simulation.search.planted_bugs import BUGS
    from irisdeal.simulation.search.search import Search
    from irisdeal.simulation.search.search import run as run_search

    console = Console()
    if list_only:
        for bug in BUGS:
            console.print(f"[bold]{bug.name:<18}[/]{bug.where:<11}{bug.about}", highlight=False)
        return
    _check_writable(out)
    for name in names:
        _check_bug_name(name)
    table_view = DisplayTable("bug", "in", "days", "seconds", "as")
    results = []
    with _progress(str(out) == "-") as bar:
        task = bar.add_task("", total=None)
        for bug in [b for b in BUGS if not names or b.name in names]:
            search = Search(seed, guided=not plain)
            started_at = time.monotonic()
            bar.update(task, completed=0, description=bug.name)
            run_search(
                search,
                jobs,
                lambda s: not s.findings and s.days < days,
                bug.name,
                on_progress=lambda s, done: bar.update(task, completed=s.days + done),
            )
            seconds = time.monotonic() - started_at
            first = search.findings[0] if search.findings else None
            results.append(
                {
                    "bug": bug.name,
                    "where": bug.where,
                    "day": first and first.day,
                    "days": search.days,
                    "seconds": round(seconds, 1),
                    "broken": first.broken if first else [],
                }
            )
            table_view.add_row(
                bug.name,
                bug.where,
                str(first.day) if first else f"not in {search.days}",
                f"{seconds:.1f}",
                ", ".join(first.broken) if first else "",
            )
    if not _write_json(out, {"seed": seed, "guided": not plain, "bugs": results}):
        console.print(table_view)
    sys.exit(0 if all(result["day"] for result in results) else 1)
