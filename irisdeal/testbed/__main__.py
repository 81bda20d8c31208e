"""Each stand-in alone: `python -m irisdeal.testbed box|keeper|roster|relay|terminals`.

It prints one JSON line with its addresses once it is ready, serves until SIGINT or SIGTERM, and then prints
one JSON line with its book. Exit codes: 0, or 2 where it cannot be used as asked.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from irisdeal.testbed.backend import Box
from irisdeal.testbed.backend_model import HallMemory, Meter
from irisdeal.testbed.counter_service import Keeper
from irisdeal.testbed.discovery_service import Member, Roster
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.load_generator import Terminals
from irisdeal.testbed.request_log import Books, Clock, End
from irisdeal.testbed.scenario import Scenario, ScenarioError, load
from irisdeal.testbed.service_report import reckon
from irisdeal.testbed.workload import draw, machine

Report = Callable[[], dict[str, Any]]


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r}: wanted host:port")
    return host, int(port)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m irisdeal.testbed",
        description="One stand-in alone.",
        epilog="Example: python -m irisdeal.testbed keeper --doors 2",
    )
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--scenario", default="calm", help="built-in name or TOML file (default: calm)")
    common.add_argument("--seed", type=int, default=1)
    common.add_argument("--doors", type=int, default=1, help="addresses to listen on, one for each door")
    kinds = parser.add_subparsers(dest="what", required=True)
    box = kinds.add_parser("box", parents=[common], help="one backend")
    box.add_argument("--number", type=int, default=0, help="which machine of the scenario's fleet")
    box.add_argument("--cold", action="store_true", help="it starts now, not long ago")
    keeper = kinds.add_parser("keeper", parents=[common], help="the count keeper")
    keeper.add_argument("--slower", type=float, default=1.0)
    roster = kinds.add_parser("roster", parents=[common], help="the list of backends")
    roster.add_argument(
        "--member",
        type=_address,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="a box's address; the same for every door",
    )
    relay = kinds.add_parser("relay", parents=[common], help="a link with faults")
    relay.add_argument("--to", type=_address, required=True, metavar="HOST:PORT")
    relay.add_argument("--delay-ms", type=float, default=0.0)
    relay.add_argument("--rate", type=float, default=0.0, help="bytes a second each way")
    relay.add_argument("--silent", action="store_true")
    relay.add_argument("--cut", action="store_true")
    terminals = kinds.add_parser("terminals", parents=[common], help="the stores; ends when the day is over")
    terminals.add_argument("--door", type=_address, action="append", required=True, metavar="HOST:PORT")
    terminals.add_argument("--seconds", type=float)
    return parser


async def _box(told: argparse.Namespace, scenario: Scenario) -> tuple[dict[str, Any], Report]:
    books, drawn = Books(), machine(scenario, told.seed, told.number)
    rates = {p.name: p.rate for p in scenario.plans}
    window = round(max(c.window_ms for c in scenario.classes) * 1000)
    meter = Meter(round(scenario.fleet.meter_s * 1e6), round(scenario.fleet.meter_late_ms * 1000), rates)
    box = Box(
        f"s-{told.number}",
        drawn,
        scenario.fleet,
        scenario.classes,
        scenario.figures({}),
        books,
        Clock(),
        told.seed,
        HallMemory(window),
        meter,
    )
    await box.start(range(told.doors), told.cold)
    return {"box": box.name, "addresses": [f"127.0.0.1:{p}" for p in box.ports.values()]}, lambda: {
        "attempts": len(books.attempts),
        "ran": sum(a.ran for a in books.attempts),
        "ends": {end.value: sum(a.end is end for a in books.attempts) for end in End},
        "fell_over": box.fell,
    }


async def _keeper(told: argparse.Namespace, scenario: Scenario) -> tuple[dict[str, Any], Report]:
    keeper = Keeper(scenario.keeper, Clock(), told.seed)
    keeper.model.slower = told.slower
    await keeper.start(range(told.doors))
    return {"addresses": [f"127.0.0.1:{p}" for p in keeper.ports.values()]}, lambda: {
        "calls": keeper.calls,
        "busy": keeper.busy,
        "late": keeper.late,
        "names": len(keeper.model.counts),
    }


async def _roster(told: argparse.Namespace, scenario: Scenario) -> tuple[dict[str, Any], Report]:
    books = Books()
    roster = Roster(scenario.roster, books, Clock(), told.seed)
    halls, kinds = scenario.fleet.halls, scenario.fleet.kinds
    roster.ledger.change(
        *(
            Member(f"s-{n}", halls[n % len(halls)], kinds[0].name, 0, "Ready", 0, (port,) * told.doors)
            for n, (_, port) in enumerate(told.member)
        )
    )
    await roster.start(range(told.doors))
    return {"addresses": [f"127.0.0.1:{p}" for p in roster.ports.values()]}, lambda: {"told": len(books.told)}


async def _relay(told: argparse.Namespace, scenario: Scenario) -> tuple[dict[str, Any], Report]:
    relay = Relay(Clock(), [])
    address = await relay.add("here", "there", told.to)
    link = relay.links[0]
    link.set(Condition(told.delay_ms / 1000, told.rate, told.silent, told.cut))
    return {"addresses": [f"{address[0]}:{address[1]}"]}, lambda: {"connections": link.accepted}


async def _terminals(told: argparse.Namespace, scenario: Scenario) -> None:
    day = draw(scenario.resized(len(told.door), told.seconds), told.seed)
    books, now = Books(), Clock()
    terminals = Terminals(day, books, now, told.door)
    start = now()
    await terminals.run(start)
    terminals.close()
    service = reckon(books, day.scenario, start)
    # Without the boxes' books there is no telling what was inside a quota: only what came back is told.
    print(
        json.dumps(
            {
                "first_tries": service.first_tries,
                "tries": service.tries,
                "refused": service.refused,
                "failed": service.failed,
                "served": len(service.latencies),
                "p50_ms": service.percentile(0.5),
                "p99_ms": service.percentile(0.99),
            }
        )
    )


async def _serve(told: argparse.Namespace, scenario: Scenario) -> None:
    if told.what == "terminals":
        return await _terminals(told, scenario)
    start: dict[str, Callable[[argparse.Namespace, Scenario], Awaitable[tuple[dict[str, Any], Report]]]] = {
        "box": _box,
        "keeper": _keeper,
        "roster": _roster,
        "relay": _relay,
    }
    ready, report = await start[told.what](told, scenario)
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    print(json.dumps(ready), flush=True)
    await over.wait()
    print(json.dumps(report()))


def main(arguments: list[str] | None = None) -> int:
    told = _parser().parse_args(arguments)
    if not 1 <= told.doors <= 16:
        print(f"standins: --doors is {told.doors}: wanted 1 to 16", file=sys.stderr)
        return 2
    try:
        scenario = load(told.scenario)
        asyncio.run(_serve(told, scenario))
    except (ScenarioError, OSError, ValueError) as error:
        print(f"standins: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
