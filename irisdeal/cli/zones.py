"""`irisdeal zones`: which zones doors have left and why, and what a fleet does while one is lost."""

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

from irisdeal.cli.reports import fetch
from irisdeal.front_door.zones.fleet import (
    BAD_BACKENDS_PER_ZONE,
    FAULTS,
    LOSS_DURATION_S,
    FleetSimulation,
    summarize,
)

HEADS = {
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
    """Zones of backends that a fleet of doors leaves together."""


def _told(sockets: tuple[Path, ...]) -> dict[str, dict[str, Any]]:
    """The zones of each door that answers, by its name. Ends with exit code 2 where none does."""

    async def ask() -> list[dict[str, object] | str]:
        return await asyncio.gather(*(fetch(path) for path in sockets))

    found: dict[str, dict[str, Any]] = {}
    for path, told in zip(sockets, asyncio.run(ask()), strict=True):
        if isinstance(told, dict) and isinstance(told.get("zones"), dict):
            found[str(told.get("name", path))] = told["zones"]  # type: ignore[assignment]
        else:
            why = told if isinstance(told, str) else "a report with no zones"
            click.echo(f"irisdeal: {path}: {why}", err=True)
    if not found:
        sys.exit(2)
    return found


@zones.command()
@click.argument("sockets", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="For machines.")
def show(sockets: tuple[Path, ...], as_json: bool) -> None:
    """Each zone as each of these doors sees it: stand, since when, by what, share, ramp.

    SOCKETS are those that the doors' configurations name as `report`. Exit code 0, 1 where a door did not
    answer, 2 where none did.

    Example: irisdeal zones show /run/irisdeal/*.sock
    """
    found = _told(sockets)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        table = Table(box=None, padding=(0, 2, 0, 0), pad_edge=False)
        for head in (
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
            table.add_column(head, justify="left" if head in ("door", "stand", "by") else "right")
        for name, told in sorted(found.items()):
            for zone in told["zones"]:
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
@click.option("--json", "as_json", is_flag=True, help="For machines.")
def explain(zone: int, sockets: tuple[Path, ...], as_json: bool) -> None:
    """The last changes of one zone at these doors, the latest first, with the figures that led to each.

    Example: irisdeal zones explain 1 /run/irisdeal/*.sock
    """
    changes = sorted(
        (
            {"door": name, **change}
            for name, told in _told(sockets).items()
            for change in told["changes"]
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
    help="Doors of the fleet; up to eight leave no zone.",
)
@click.option(
    "--backends",
    type=click.IntRange(3, 6000),
    default=None,
    help="Of all three zones together.  [default: 0.6 a door, 9 at least]",
)
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 100),
    default=6.0,
    show_default=True,
    help="Attempts a second of each door.",
)
@click.option(
    "--fault",
    type=click.Choice(list(FAULTS)),
    default="cut",
    show_default=True,
    help="What becomes of zone 0; calm has two bad backends in each zone.",
)
@click.option(
    "--seeds", type=click.IntRange(1, 10_000), default=1, show_default=True, help="Days, from seed 1 on."
)
@click.option(
    "--lose",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Share of the count keeper's answers that get lost.",
)
@click.option("--no-keeper", is_flag=True, help="The count keeper is silent all day.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object for each day in place of a table.")
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
    """Play the beliefs of all doors for 30 s in which zone 0 fails for 8: when they leave and are back.

    Example: irisdeal zones simulate --doors 200 --fault flapping --seeds 3
    """
    table = Table(title=f"{doors} doors, {fault}, {LOSS_DURATION_S:g} s", title_justify="left")
    for head in ("seed", *HEADS.values()):
        table.add_column(head, justify="right")
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
        told = {
            name: None if isinstance(value, float) and not math.isfinite(value) else value
            for name, value in dataclasses.asdict(found).items()
        }
        if as_json:
            click.echo(json.dumps({"seed": seed, "doors": doors, "fault": fault, **told}))
        else:
            table.add_row(
                str(seed),
                *(
                    "-" if value is None else f"{value:.2f}" if isinstance(value, float) else str(value)
                    for value in told.values()
                ),
            )
    if not as_json:
        Console(width=110).print(table)
