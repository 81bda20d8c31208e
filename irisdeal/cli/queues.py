"""`irisdeal queues`: the waiting requests of gateways, by customer."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import click
from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

from irisdeal.cli.reports import fetch_report
from irisdeal.front_door.queueing.reports import (
    AccountSummary,
    FrontDoorSummary,
    InvalidReportError,
    parse_report,
    top_accounts,
)

Answer = tuple[FrontDoorSummary, list[AccountSummary]] | str  # a report, or the reason why there is none


@click.group()
def queues() -> None:
    """Show the waiting requests of gateways, by store.

    A gateway reports them on the socket that its configuration names as `report`; without that key there is
    none.

    Example: irisdeal queues top /run/irisdeal/*.sock
    """


@queues.command()
@click.argument("sockets", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--count", type=click.IntRange(1, 500), default=20, show_default=True, help="How many stores.")
@click.option(
    "--every",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    metavar="SECONDS",
    help="Interval between updates.",
)
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(0),
    default=None,
    metavar="SECONDS",
    help="End after this time; by default at Ctrl-C.",
)
@click.option("--once", is_flag=True, help="Print one report and end.")
@click.option("--json", "as_json", is_flag=True, help="Print one report as JSON.")
def top(
    sockets: tuple[Path, ...],
    count: int,
    every: float,
    seconds: float | None,
    once: bool,
    as_json: bool,
) -> None:
    """Show the stores with the most requests at these gateways: results, waits and obeyed retry advice.

    Live until Ctrl-C, or once with --once or --json. Exit code 0; 1 if a gateway did not answer the last
    time; 2 if none answered at all.

    Example: irisdeal queues top /run/irisdeal/n1.sock /run/irisdeal/n2.sock --count 10
    """
    answers = asyncio.run(_fetch_all(sockets))
    if all(isinstance(answer, str) for answer in answers.values()):
        for path, reason in answers.items():
            click.echo(f"irisdeal: {path}: {reason}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(json.dumps(_as_json(answers, count), indent=1))
    elif once:
        Console().print(_render(answers, count))
    else:
        answers = _follow(sockets, answers, count, every, seconds)
    sys.exit(1 if any(isinstance(answer, str) for answer in answers.values()) else 0)


def _follow(
    sockets: tuple[Path, ...],
    answers: dict[Path, Answer],
    count: int,
    every: float,
    seconds: float | None,
) -> dict[Path, Answer]:
    deadline = None if seconds is None else time.monotonic() + seconds
    with Live(_render(answers, count), auto_refresh=False) as live:
        try:
            while deadline is None or time.monotonic() < deadline:
                time.sleep(every if deadline is None else max(0.0, min(every, deadline - time.monotonic())))
                answers = asyncio.run(_fetch_all(sockets))
                live.update(_render(answers, count), refresh=True)
        except KeyboardInterrupt:
            pass
    return answers


async def _fetch_all(sockets: Iterable[Path]) -> dict[Path, Answer]:
    paths = list(dict.fromkeys(sockets))
    return dict(zip(paths, await asyncio.gather(*(_fetch_answer(path) for path in paths)), strict=True))


async def _fetch_answer(path: Path) -> Answer:
    """Return the report of a gateway, or the reason why there is none."""
    try:
        report = await fetch_report(path)
        return report if isinstance(report, str) else parse_report(report)
    except InvalidReportError as error:
        return str(error)


def _reports(answers: dict[Path, Answer]) -> list[tuple[FrontDoorSummary, list[AccountSummary]]]:
    return [answer for answer in answers.values() if not isinstance(answer, str)]


def _as_json(answers: dict[Path, Answer], count: int) -> dict[str, object]:
    reports = _reports(answers)
    return {
        "doors": [door.as_json() for door, _ in reports],
        "silent": {str(path): reason for path, reason in answers.items() if isinstance(reason, str)},
        "stores": [row.as_json() for row in top_accounts(reports, count)],
    }


def _new_table(title: str) -> Table:
    return Table(title=title, title_justify="left", box=None, padding=(0, 1, 0, 0), pad_edge=False)


def _render(answers: dict[Path, Answer], count: int) -> RenderableType:
    doors = _new_table("Doors")
    for name in (
        "door",
        "waiting",
        "KiB",
        "queues",
        "given way",
        "out",
        "window",
        "asked",
        "sent",
        "refused",
    ):
        doors.add_column(name, justify="left" if name == "door" else "right", no_wrap=True)
    reports = _reports(answers)
    for door, _ in sorted(reports, key=lambda report: report[0].name):
        doors.add_row(
            door.name,
            str(door.waiting),
            f"{door.waiting_bytes / 1024:.0f}",
            str(door.flows),
            str(door.dropped),
            str(door.in_flight),
            f"{door.window:.0f}",
            str(door.received),
            str(door.sent),
            str(door.rejected),
        )
    silent = [
        Text(f"{path}: {reason}", style="red") for path, reason in answers.items() if isinstance(reason, str)
    ]
    stores = _new_table("Stores with the most recent requests at these doors; waits in ms")
    for name in ("store", "plan", "share", "asked", "sent", "refused", "wait", "longest", "advice", "doors"):
        stores.add_column(name, justify="left" if name in ("store", "plan") else "right", no_wrap=True)
    for row in top_accounts(reports, count):
        stores.add_row(
            row.account_id.lstrip("0") or "0",
            row.plan,
            f"{100 * row.share:.1f}%",
            str(row.received),
            str(row.sent),
            str(row.rejected),
            "-" if row.mean_wait_ms is None else f"{row.mean_wait_ms:.1f}",
            f"{row.max_wait_ms:.0f}",
            f"{row.retries_in_time}/{row.retries_in_time + row.retries_early}",
            str(len(row.front_doors)),
        )
    return Group(doors, *silent, "", stores)
