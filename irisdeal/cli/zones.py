"""`irisdeal zones`: zones that gateways have taken out of service and why, and a simulated zone loss."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from irisdeal.cli.reports import fetch_report
from irisdeal.front_door.zones.fleet import (
    BAD_BACKENDS_PER_ZONE,
    FAULTS,
    LOSS_DURATION_S,
    FleetSimulation,
    summarize,
)

COLUMN_HEADINGS = {
    "left": "left",
    "half": "half, s",
    "most": "95%, s",
    "last": "all, s",
    "spent": "spent",
    "trials": "trials",
    "calls": "calls/s",
    "busiest": "most calls",
    "back": "back, s",
    "wrong": "wrong",
    "without": "no zone",
}


@click.group()
def zones() -> None:
    """Zones of backends that the gateways of a fleet take out of service together."""


def _fetch_zones(sockets: tuple[Path, ...]) -> dict[str, dict[str, Any]]:
    """Return the zones of each gateway that answers, by its name. Exits with code 2 if none answers."""

    async def fetch_all() -> list[dict[str, object] | str]:
        return await asyncio.gather(*(fetch_report(path) for path in sockets))

    found: dict[str, dict[str, Any]] = {}
    for path, report in zip(sockets, asyncio.run(fetch_all()), strict=True):
        if isinstance(report, dict) and isinstance(report.get("zones"), dict):
            found[str(report.get("name", path))] = report["zones"]  # type: ignore[assignment]
        else:
            reason = report if isinstance(report, str) else "a report with no zones"
            click.echo(f"irisdeal: {path}: {reason}", err=True)
    if not found:
        sys.exit(2)
    return found


@zones.command()
@click.argument("sockets", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def show(sockets: tuple[Path, ...], as_json: bool) -> None:
    """Show each zone as each of these gateways sees it: state, its duration and cause, share, failures.

    SOCKETS are those that the gateways' configurations name as `report`. Exit code 0; 1 if a gateway did not
    answer; 2 if none did.

    Example: irisdeal zones show /run/irisdeal/*.sock
    """
    found = _fetch_zones(sockets)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        table = Table(box=None, padding=(0, 2, 0, 0), pad_edge=False)
        for heading in (
            "door",
            "zone",
            "stand",
            "for, s",
            "share",
            "sum",
            "failing",
            "failed",
            "by",
            "setbacks",
        ):
            table.add_column(heading, justify="left" if heading in ("door", "stand", "by") else "right")
        for name, report in sorted(found.items()):
            for zone in report["zones"]:
                since = zone["for_s"]
                table.add_row(
                    name,
                    str(zone["zone"]),
                    zone["stand"],
                    "-" if since is None else f"{since:.1f}",
                    f"{zone['share']:.2f}",
                    f"{zone['sum']:.1f}",
                    f"{100 * zone['failing']:.0f}%",
                    f"{zone['failed']}/{zone['backends']}",
                    "the fleet" if zone["with_fleet"] else "itself" if zone["stand"] == "left" else "-",
                    str(zone["setbacks"]),
                )
        Console(width=110).print(table)
    sys.exit(0 if len(found) == len(sockets) else 1)


@zones.command()
@click.argument("zone", type=click.IntRange(0))
@click.argument("sockets", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(zone: int, sockets: tuple[Path, ...], as_json: bool) -> None:
    """Show the last changes of a zone at these gateways, the latest first, with the values that led to each.

    Example: irisdeal zones explain 1 /run/irisdeal/*.sock
    """
    changes = sorted(
        (
            {"door": name, **change}
            for name, report in _fetch_zones(sockets).items()
            for change in report["changes"]
            if change["zone"] == zone
        ),
        key=lambda change: (change["ago_s"], change["door"]),
    )
    if as_json:
        click.echo(json.dumps(changes, indent=1))
        return
    for change in changes:
        click.echo(f"{change['ago_s']:9.1f} s ago  {change['door']}  {change['text']}")
    if not changes:
        click.echo(f"zone {zone}: no change since these doors started")


@zones.command()
@click.option(
    "--doors",
    type=click.IntRange(9, 2000),
    default=30,
    show_default=True,
    help="Gateways of the fleet; up to eight take no zone out of service.",
)
@click.option(
    "--backends",
    type=click.IntRange(3, 6000),
    default=None,
    help="In all three zones together.  [default: 0.6 a gateway, at least 9]",
)
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 100),
    default=6.0,
    show_default=True,
    help="Attempts per second of each gateway.",
)
@click.option(
    "--fault",
    type=click.Choice(list(FAULTS)),
    default="cut",
    show_default=True,
    help="The fault of zone 0; calm has two bad backends in each zone.",
)
@click.option(
    "--seeds",
    type=click.IntRange(1, 10_000),
    default=1,
    show_default=True,
    help="Number of runs, from seed 1 on.",
)
@click.option(
    "--lose",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Share of the counter service's answers that are lost.",
)
@click.option("--no-keeper", is_flag=True, help="The counter service does not answer.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object for each run instead of a table."
)
def simulate(
    doors: int,
    backends: int | None,
    rate: float,
    fault: str,
    seeds: int,
    lose: float,
    no_keeper: bool,
    as_json: bool,
) -> None:
    """Simulate all gateways for 30 s in which zone 0 fails for 8 s: when they take it out and put it back.

    Example: irisdeal zones simulate --doors 200 --fault flapping --seeds 3
    """
    table = Table(title=f"{doors} doors, {fault}, {LOSS_DURATION_S:g} s", title_justify="left")
    for heading in ("seed", *COLUMN_HEADINGS.values()):
        table.add_column(heading, justify="right")
    for seed in range(1, seeds + 1):
        found = summarize(
            FleetSimulation(
                doors,
                backends or max(9, 3 * round(doors * 0.2)),
                rate,
                seed,
                FAULTS[fault],
                BAD_BACKENDS_PER_ZONE if fault == "calm" else 0,
                lose,
                not no_keeper,
            ).run()
        )
        outcome = {
            name: None if isinstance(value, float) and not math.isfinite(value) else value
            for name, value in dataclasses.asdict(found).items()
        }
        if as_json:
            click.echo(json.dumps({"seed": seed, "doors": doors, "fault": fault, **outcome}))
        else:
            table.add_row(
                str(seed),
                *(
                    "-" if value is None else f"{value:.2f}" if isinstance(value, float) else str(value)
                    for value in outcome.values()
                ),
            )
    if not as_json:
        Console(width=110).print(table)
