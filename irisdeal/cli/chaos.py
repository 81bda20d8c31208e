"""`irisdeal chaos`: days in virtual time, and the search for the one that breaks a rule."""

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
from rich.table import Table as Grid

if TYPE_CHECKING:
    from irisdeal.simulation.search.front_door_day import DayResult
    from irisdeal.simulation.search.judge import Judgement
    from irisdeal.simulation.search.search import Finding, Search


class Unusable(click.ClickException):
    """Cannot be used as asked: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"irisdeal: {self.message}", err=True)


@click.group()
def chaos() -> None:
    """Whole days in virtual time: search for a schedule of faults that breaks a rule, replay it, shrink it.

    A day runs the doors' own program and the stand-ins on a clock, machines and a network in memory. One file
    and seed is one day, to the byte, on any machine.
    """


FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
SEED = click.option("--seed", type=click.IntRange(0), default=None, help="In place of the file's own.")
JSON = click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Also write the figures to a file; - for standard output alone.",
)


def _read(file: Path, seed: int | None) -> dict[str, Any]:
    """The schedule of a file, checked whole."""
    import tomllib

    from irisdeal.simulation.search.schedule import scenario
    from irisdeal.testbed.scenario import ScenarioError
    from irisdeal.testbed.scenario_files import MAX_BYTES

    try:
        raw = file.open("rb").read(MAX_BYTES + 1)
        if len(raw) > MAX_BYTES:
            raise Unusable(f"{file}: over {MAX_BYTES} bytes")
        table = tomllib.loads(raw.decode("utf-8"))
        if seed is not None:
            table["seed"] = seed
        scenario(table, str(file))
    except OSError as error:
        raise Unusable(f"{file}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise Unusable(f"{file}: not UTF-8 at byte {error.start}") from None
    except tomllib.TOMLDecodeError as error:
        raise Unusable(f"{file}: no TOML: {error}") from None
    except ScenarioError as error:
        raise Unusable(str(error)) from None
    return table


def _write(out: Path | None, told: dict[str, Any]) -> bool:
    """Write figures where they are wanted; whether they were for standard output."""
    if out is None:
        return False
    text = json.dumps(told, indent=1)
    if str(out) == "-":
        click.echo(text)
        return True
    try:
        out.write_text(text + "\n", "utf-8")
    except OSError as error:
        raise Unusable(f"--json {out}: {error.strerror}") from None
    return False


def _writable(out: Path | None) -> None:
    if out is not None and str(out) != "-" and not os.access(out.absolute().parent, os.W_OK):
        raise Unusable(f"--json {out}: cannot be written")


@chaos.command()
@click.option("--days", type=click.IntRange(1), default=None, help="How many days.  [default: 256]")
@click.option(
    "--minutes",
    type=click.FloatRange(0.05, 24 * 60),
    default=None,
    help="How long, in place of a number of days.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="The same seed searches the same days.",
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, show_default=True, help="Processes."
)
@click.option("--only", default="", metavar="FAULT,…", help="Draw from these faults alone.")
@click.option("--plain", is_flag=True, help="Draw every day by itself: no pairs, no aim, nothing learnt.")
@click.option(
    "--out",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    metavar="DIR",
    help="Keep what is found there, and where the search stands: with the same DIR it goes on.",
)
@click.option("--shrink/--no-shrink", default=True, show_default=True, help="Make what is found least.")
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

    Ctrl-C ends it after the present generation of days; with --out it can be taken up again.

    Exit code 0 where nothing broke, 1 where something did, 2 where it could not run.

    Example: irisdeal chaos run --minutes 10 --out found --only door-kill,box-drain
    """
    from irisdeal.simulation.search import search as searching
    from irisdeal.simulation.search.schedule import KINDS

    _writable(out)
    names = tuple(name for name in only.split(",") if name)
    for name in names:
        if name not in KINDS:
            raise Unusable(f"--only {name}: no such fault: wanted some of {', '.join(KINDS)}")
    if days is not None and minutes is not None:
        raise Unusable("--days and --minutes: wanted one of them")
    search = None
    if folder is not None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            search = searching.Search.load(folder)
        except (OSError, searching.SearchError) as error:
            raise Unusable(f"--out {folder}: {error}") from None
        if search is not None and (search.seed, search.guided, search.only) != (seed, not plain, names):
            raise Unusable(
                f"--out {folder}: holds another search (--seed {search.seed}"
                f"{'' if search.guided else ' --plain'}"
                f"{' --only ' + ','.join(search.only) if search.only else ''})"
            )
    search = search or searching.Search(seed, guided=not plain, only=names)
    quiet = str(out) == "-"
    goal = None if minutes is not None else search.days + (days or 256)
    begun, stop = time.monotonic(), False

    def asked(*_: object) -> None:
        nonlocal stop
        stop = True

    def more(now: searching.Search) -> bool:
        if stop:
            return False
        return time.monotonic() - begun < minutes * 60 if minutes is not None else now.days < (goal or 0)

    before = signal.signal(signal.SIGINT, asked)
    start = search.days
    try:
        with _progress(quiet) as bar:
            task = bar.add_task("", total=goal and goal - start)

            def told(now: searching.Search, done: int) -> None:
                played = now.days + done - start
                rate = played / max(0.1, time.monotonic() - begun)
                bar.update(
                    task,
                    completed=played,
                    description=(
                        f"{rate:.1f} days a second, {len(now.states)} states, {now.coverage_summary()}, "
                        f"{now.failing_days} broke"
                    ),
                )

            searching.run(
                search,
                jobs,
                more,
                on_progress=told,
                folder=folder,
                on_finding=lambda f: bar.console.print(_told(f), highlight=False, soft_wrap=True),
            )
    finally:
        signal.signal(signal.SIGINT, before)
    seconds = time.monotonic() - begun
    files = _least(search, folder, jobs, shrink and not stop, quiet) if folder is not None else []
    if not _write(out, _figures(search, start, seconds, files)):
        _show(search, start, seconds, files, stop)
    sys.exit(1 if search.findings else 0)


def _progress(quiet: bool) -> Progress:
    return Progress(
        TextColumn("{task.completed} days"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.description}"),
        console=Console(stderr=True),
        disable=quiet,
        transient=True,
    )


def _told(found: Finding) -> str:
    first = found.texts[0] if found.texts else ""
    return f"[bold]day {found.day}[/] breaks {', '.join(found.broken)}: {first}"


def _least(search: Search, folder: Path, jobs: int, shrink: bool, quiet: bool) -> list[str]:
    """Write what was found, the first of each name made least."""
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.schedule_files import write

    written, names = [], set[str]()
    for found in search.findings:
        table, broken, texts = found.table, found.broken, found.texts
        first = broken[0] not in names
        names.add(broken[0])
        if shrink and first:
            table = _shrunk(table, broken[0], "", 200, quiet)[0]
            least = judge(table, samples_states=False)
            broken, texts = least.broken, least.texts
        written.append(str(write(folder, table, broken, texts)))
    return written


def _shrunk(table: dict[str, Any], name: str, bug: str, most: int, quiet: bool) -> tuple[dict[str, Any], int]:
    """The least schedule that still breaks what is named, and the days that it took."""
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.shrink import Shrinker

    with _progress(quiet) as bar:
        task = bar.add_task(f"making {name} least", total=most)
        shrinker = Shrinker(
            lambda candidate: name in judge(candidate, bug, samples_states=False).broken, most
        )
        shrinker.on_progress = lambda text: bar.update(
            task, completed=shrinker.plays, description=f"{name}: {text}"
        )
        return shrinker.shrink(table), shrinker.plays


def _figures(search: Search, start: int, seconds: float, files: list[str]) -> dict[str, Any]:
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


def _show(search: Search, start: int, seconds: float, files: list[str], stopped: bool) -> None:
    grid = Grid(show_header=False, box=None)
    for name, value in (
        (
            "days",
            f"{search.days - start} in {seconds:.1f} s"
            + f", {search.days} in all" * bool(start)
            + " (ended early)" * stopped,
        ),
        (
            "a second",
            f"{(search.days - start) / max(0.01, seconds):.1f} days; a judge plays "
            f"{search.virtual_s / max(0.01, search.real_s):.1f} s in one",
        ),
        (
            "ground",
            f"{len(search.states)} states of a door, {len(search.seen_pairs)} pairs of values, "
            f"{search.coverage_summary()}",
        ),
        ("kept", f"{len(search.corpus)} schedules that reached new ground"),
        (
            "broke",
            f"{search.failing_days} days: "
            + (", ".join(dict.fromkeys(name for f in search.findings for name in f.broken)) or "nothing"),
        ),
    ):
        grid.add_row(f"[bold]{name}[/]", value)
    console = Console()
    console.print(grid, highlight=False)
    for file in files:
        console.print(f"written: {file}", highlight=False, soft_wrap=True)
    if search.findings and not files:
        console.print("nothing written: name a folder with --out", highlight=False)


def _told_one(judged: Judgement, out: Path | None) -> None:
    figures = {
        "broken": judged.broken,
        "texts": judged.texts,
        "digest": judged.digest,
        "asks": judged.asks,
        "share": round(judged.share, 4),
        "virtual_seconds": round(judged.virtual_s, 3),
        "seconds": round(judged.real_s, 3),
    }
    if _write(out, figures):
        return
    console = Console()
    console.print(
        f"[bold]{'kept' if not judged.broken else 'broken: ' + ', '.join(judged.broken)}[/]", highlight=False
    )
    for text in judged.texts:
        console.print(f"  {text}", highlight=False, soft_wrap=True, markup=False)
    console.print(
        f"{judged.asks} asks, {judged.share:.3f} of the worth inside the quotas served; "
        f"{judged.virtual_s:.1f} s in {judged.real_s:.2f} s; digest {judged.digest}",
        highlight=False,
        soft_wrap=True,
    )


@chaos.command()
@FILE
@SEED
@click.option("--bug", default="", metavar="NAME", help="Plant a bug: see `irisdeal chaos prove --list`.")
@click.option("--twice", is_flag=True, help="Play it twice; where the two differ, name the first step.")
@JSON
def replay(file: Path, seed: int | None, bug: str, twice: bool, out: Path | None) -> None:
    """Play a schedule again, to the byte, and judge it.

    Exit code 0 where all was kept, 1 where something broke (or two plays differ), 2 where it could not run.

    Example: irisdeal chaos replay found/answers-1.toml
    """
    from irisdeal.simulation.search.judge import judge

    _writable(out)
    _known(bug)
    table = _read(file, seed)
    judged = judge(table, bug)
    _told_one(judged, out)
    if twice and (differ := _differ(table, bug)):
        raise click.ClickException(differ)
    sys.exit(1 if judged.broken else 0)


def _known(bug: str) -> None:
    from irisdeal.simulation.search.planted_bugs import NAMES

    if bug and bug not in NAMES:
        raise Unusable(f"--bug {bug}: no such bug: wanted one of {', '.join(NAMES)}")


def _differ(table: dict[str, Any], bug: str) -> str:
    """Where two plays of one schedule part, in words; empty where they do not."""
    from irisdeal.simulation.trace import BLOCK_EVENTS, first_difference

    one, other = _play(table, bug), _play(table, bug)
    if one.digest() == other.digest():
        return ""
    block = first_difference(one.trace, other.trace)
    if block is None:
        return f"every step is alike and the books differ: {one.digest()} and {other.digest()}"
    mine, its = (_play(table, bug, block).trace.recorded_events for _ in range(2))
    for n, (left, right) in enumerate(zip(mine, its, strict=False)):
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
    made = scenario(table)
    with planted(bug):
        return play(draw(made, made.seed), recorded_block=recorded_block)


@chaos.command("shrink")
@FILE
@SEED
@click.option("--most", type=click.IntRange(1), default=200, show_default=True, help="Days to play at most.")
@click.option("--bug", default="", metavar="NAME", help="Plant a bug for it.")
@click.option(
    "--to",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Where the least schedule goes; else standard output.",
)
def shrink_file(file: Path, seed: int | None, most: int, bug: str, to: Path | None) -> None:
    """Find the least schedule that still breaks what this one breaks.

    Exit code 0 where it was made least, 1 where the file breaks nothing, 2 where it could not run.

    Example: irisdeal chaos shrink found/answers-1.toml --to least.toml
    """
    from irisdeal.simulation.search.judge import judge
    from irisdeal.simulation.search.schedule import scenario
    from irisdeal.simulation.search.schedule_files import to_toml

    _known(bug)
    _writable(to)
    table = _read(file, seed)
    first = judge(table, bug, samples_states=False)
    if not first.broken:
        raise click.ClickException(f"{file}: breaks nothing")
    table, plays = _shrunk(table, first.broken[0], bug, most, False)
    least = judge(table, bug, samples_states=False)
    text = to_toml(table, least.broken, least.texts)
    if to is None:
        click.echo(text, nl=False)
        return
    try:
        to.write_text(text, "utf-8")
    except OSError as error:
        raise Unusable(f"--to {to}: {error.strerror}") from None
    made = scenario(table)
    click.echo(
        f"{to}: {len(made.faults)} faults, {made.front_doors} doors, {made.seconds:g} s, after {plays} days"
    )


@chaos.command()
@FILE
@SEED
@click.option("--request", "trace", default="", metavar="ID", help="One try by its X-Trace-Id, with its ask.")
@click.option("--box", default="", metavar="NAME", help="One box.")
@click.option("--door", type=click.IntRange(0), default=None, help="One door.")
@click.option("--bug", default="", metavar="NAME", help="Plant a bug for it.")
def show(file: Path, seed: int | None, trace: str, box: str, door: int | None, bug: str) -> None:
    """Show a day as a timeline: all its faults and breaches, or those of one request, box or door.

    Example: irisdeal chaos show found/answers-1.toml --request 1f0c6b02a9d54e11
    """
    from irisdeal.simulation.search.timeline import timeline

    _known(bug)
    played = _play(_read(file, seed), bug)
    lines = timeline(played, trace, box, door)
    if not lines:
        raise click.ClickException("nothing of that name was seen on this day")
    console = Console()
    for line in lines:
        console.print(line, highlight=False, soft_wrap=True, markup=False)


@chaos.command()
@click.option("--list", "list_them", is_flag=True, help="List the bugs and end.")
@click.option("--bug", "names", multiple=True, metavar="NAME", help="This one alone; may be given again.")
@click.option("--days", type=click.IntRange(1), default=512, show_default=True, help="For each at most.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, show_default=True)
@click.option("--plain", is_flag=True, help="With days drawn by themselves, for comparison.")
@JSON
def prove(
    list_them: bool,
    names: tuple[str, ...],
    days: int,
    seed: int,
    jobs: int,
    plain: bool,
    out: Path | None,
) -> None:
    """Plant known bugs in the door and count the days until each is found.

    Exit code 0 where all were found, 1 where one was not, 2 where it could not run.

    Example: irisdeal chaos prove --bug drain-unheard --days 128
    """
    from irisdeal.simulation.search.planted_bugs import BUGS
    from irisdeal.simulation.search.search import Search
    from irisdeal.simulation.search.search import run as search_on

    console = Console()
    if list_them:
        for bug in BUGS:
            console.print(f"[bold]{bug.name:<18}[/]{bug.where:<11}{bug.about}", highlight=False)
        return
    _writable(out)
    for name in names:
        _known(name)
    grid = Grid("bug", "in", "days", "seconds", "as")
    told = []
    with _progress(str(out) == "-") as bar:
        task = bar.add_task("", total=None)
        for bug in [b for b in BUGS if not names or b.name in names]:
            search = Search(seed, guided=not plain)
            begun = time.monotonic()
            bar.update(task, completed=0, description=bug.name)
            search_on(
                search,
                jobs,
                lambda s: not s.findings and s.days < days,
                bug.name,
                on_progress=lambda s, done: bar.update(task, completed=s.days + done),
            )
            seconds = time.monotonic() - begun
            first = search.findings[0] if search.findings else None
            told.append(
                {
                    "bug": bug.name,
                    "where": bug.where,
                    "day": first and first.day,
                    "days": search.days,
                    "seconds": round(seconds, 1),
                    "broken": first.broken if first else [],
                }
            )
            grid.add_row(
                bug.name,
                bug.where,
                str(first.day) if first else f"not in {search.days}",
                f"{seconds:.1f}",
                ", ".join(first.broken) if first else "",
            )
    if not _write(out, {"seed": seed, "guided": not plain, "bugs": told}):
        console.print(grid)
    sys.exit(0 if all(one["day"] for one in told) else 1)
