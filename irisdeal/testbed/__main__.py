"""Runs a single test service: `python -m irisdeal.testbed backend|counter|discovery|relay|load`.

A service prints one JSON line with its addresses once it is ready, serves until SIGINT or SIGTERM, and then
prints one JSON line with its counts. `load` prints its results at the end of the day. Exit codes: 0, or 2 if the
service cannot be started.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from irisdeal.testbed.backend import BackendContext, BackendServer
from irisdeal.testbed.backend_model import IdempotencyMemory, Meter
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.request_log import Clock, End, RequestLog
from irisdeal.testbed.scenario import Scenario, ScenarioError
from irisdeal.testbed.scenario_files import load
from irisdeal.testbed.service_report import summarize_service
from irisdeal.testbed.workload import draw, machine

MAX_FRONT_DOORS = 16  # addresses that one service listens on
Report = Callable[[], dict[str, Any]]  # the counts of a service, once it has ended
Started = tuple[dict[str, Any], Report]  # JSON object with the addresses, and the report


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r}: wanted host:port")
    return host, int(port)


def _shared_options() -> argparse.ArgumentParser:
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument("--scenario", default="calm", help="built-in name or TOML file (default: calm)")
    shared.add_argument("--seed", type=int, default=1)
    shared.add_argument(
        "--doors", type=int, default=1, help="addresses to listen on, one for each front door"
    )
    return shared


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m irisdeal.testbed",
        description="One service of the testbed alone.",
        epilog="Example: python -m irisdeal.testbed counter --doors 2",
    )
    shared = _shared_options()
    services = parser.add_subparsers(dest="service", required=True)
    backend = services.add_parser("backend", parents=[shared], help="one backend")
    backend.add_argument("--number", type=int, default=0, help="which machine of the scenario's fleet")
    backend.add_argument("--cold", action="store_true", help="it begins its slow start now")
    counter = services.add_parser("counter", parents=[shared], help="the counter service")
    counter.add_argument("--slower", type=float, default=1.0)
    discovery = services.add_parser("discovery", parents=[shared], help="the discovery service")
    discovery.add_argument(
        "--member",
        type=_address,
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="a backend's address; the same for every front door",
    )
    relay = services.add_parser("relay", parents=[shared], help="a link with faults")
    relay.add_argument("--to", type=_address, required=True, metavar="HOST:PORT")
    relay.add_argument("--delay-ms", type=float, default=0.0)
    relay.add_argument("--rate", type=float, default=0.0, help="bytes a second each way")
    relay.add_argument("--silent", action="store_true")
    relay.add_argument("--cut", action="store_true")
    generator = services.add_parser("load", parents=[shared], help="the load; ends when the day is over")
    generator.add_argument("--door", type=_address, action="append", required=True, metavar="HOST:PORT")
    generator.add_argument("--seconds", type=float)
    return parser


async def _backend(options: argparse.Namespace, scenario: Scenario) -> Started:
    request_log, drawn = RequestLog(), machine(scenario, options.seed, options.number)
    rates = {p.name: p.rate for p in scenario.plans}
    window = round(max(c.window_ms for c in scenario.classes) * 1000)
    meter = Meter(round(scenario.fleet.meter_s * 1e6), round(scenario.fleet.meter_late_ms * 1000), rates)
    backend = BackendServer(
        f"s-{options.number}",
        drawn,
        IdempotencyMemory(window),
        BackendContext(
            scenario.fleet,
            scenario.classes,
            scenario.figures({}),
            request_log,
            Clock(),
            options.seed,
            meter,
        ),
    )
    await backend.start(range(options.doors), options.cold)

    def report() -> dict[str, Any]:
        """Return the counts of attempts, by how they ended."""
        attempts = request_log.attempts
        return {
            "attempts": len(attempts),
            "ran": sum(a.ran for a in attempts),
            "ends": {end.value: sum(a.end is end for a in attempts) for end in End},
            "fell_over": backend.has_failed,
        }

    return {"box": backend.name, "addresses": _loopback(backend.ports)}, report


async def _counter(options: argparse.Namespace, scenario: Scenario) -> Started:
    counter = CounterServer(scenario.counter, Clock(), options.seed)
    counter.model.slowdown = options.slower
    await counter.start(range(options.doors))
    return {"addresses": _loopback(counter.ports)}, lambda: {
        "calls": counter.calls,
        "busy": counter.busy_answers,
        "late": counter.late_answers,
        "names": len(counter.model.counts),
    }


async def _discovery(options: argparse.Namespace, scenario: Scenario) -> Started:
    request_log = RequestLog()
    discovery = DiscoveryServer(scenario.discovery, request_log, Clock(), options.seed)
    zones, kind = scenario.fleet.zones, scenario.fleet.kinds[0].name
    endpoints = []
    for number, (_, port) in enumerate(options.member):
        ports = (port,) * options.doors
        endpoints.append(Endpoint(f"s-{number}", zones[number % len(zones)], kind, 0, "Ready", 0, ports))
    discovery.endpoints.change(*endpoints)
    await discovery.start(range(options.doors))
    return {"addresses": _loopback(discovery.ports)}, lambda: {"told": len(request_log.endpoint_notices)}


async def _relay(options: argparse.Namespace, scenario: Scenario) -> Started:
    relay = Relay(Clock(), [])
    host, port = await relay.add("here", "there", options.to)
    link = relay.links[0]
    link.set(Condition(options.delay_ms / 1000, options.rate, options.silent, options.cut))
    return {"addresses": [f"{host}:{port}"]}, lambda: {"connections": link.accepted}


def _loopback(ports: dict[int, int]) -> list[str]:
    return [f"127.0.0.1:{port}" for port in ports.values()]


async def _load(options: argparse.Namespace, scenario: Scenario) -> None:
    day = draw(scenario.resized(len(options.door), options.seconds), options.seed)
    request_log, now = RequestLog(), Clock()
    load_generator = LoadGenerator(day, request_log, now, options.door)
    start = now()
    await load_generator.run(start)
    load_generator.close()
    service = summarize_service(request_log, day.scenario, start)
    # Quota usage is recorded at the backends alone, so only the clients' results are printed.
    figures = {
        "first_tries": service.first_attempts,
        "tries": service.client_attempts,
        "refused": service.refused,
        "failed": service.failed,
        "served": len(service.latencies),
        "p50_ms": service.percentile(0.5),
        "p99_ms": service.percentile(0.99),
    }
    print(json.dumps(figures))


SERVICES: dict[str, Callable[[argparse.Namespace, Scenario], Awaitable[Started]]] = {
    "backend": _backend,
    "counter": _counter,
    "discovery": _discovery,
    "relay": _relay,
}


async def _serve(options: argparse.Namespace, scenario: Scenario) -> None:
    if options.service == "load":
        return await _load(options, scenario)
    ready, report = await SERVICES[options.service](options, scenario)
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    print(json.dumps(ready), flush=True)
    await over.wait()
    print(json.dumps(report()))


def main(arguments: list[str] | None = None) -> int:
    """Run the service given on the command line; returns the exit code."""
    options = _parser().parse_args(arguments)
    if not 1 <= options.doors <= MAX_FRONT_DOORS:
        print(f"testbed: --doors is {options.doors}: wanted 1 to {MAX_FRONT_DOORS}", file=sys.stderr)
        return 2
    try:
        scenario = load(options.scenario)
        asyncio.run(_serve(options, scenario))
    except (ScenarioError, OSError, ValueError) as error:
        print(f"testbed: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
