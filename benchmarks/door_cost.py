"""Cost of a complete front door compared with a minimal forwarder: CPU µs per request, and added p50 and p99.

    python -m benchmarks.door_cost [--rate 300] [--seconds 3] [--turns 5] [--json]

Both run as separate processes with the same backends, which answer at once. They take turns under the same load in
one run, so that other load on the machine affects both alike; the ratio is computed for each pair of turns and
given as median, minimum and maximum. The front door counts each store with a counter service, as in production.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from irisdeal.demo.deployment import free_port
from irisdeal.demo.usage import ProcessUsage, measure_usage
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.front_door_settings import front_door_settings
from irisdeal.testbed.http import ClientConnection, Request, ServerConnection
from irisdeal.testbed.request_log import Clock, RequestLog
from irisdeal.testbed.scenario_files import load

BACKEND_COUNT = 4
STORE_COUNT = 200  # enough that none exceeds its quota
MAX_STARTUP_POLLS = 200  # 50 ms apart, for a process to listen
WARMUP_S = 0.5  # of load before each turn, not measured


@dataclass(slots=True)
class TurnResult:
    """Results of one turn of one target."""

    cpu_us: float  # per request
    p50_ms: float
    p99_ms: float


class InstantBackend:
    """A backend that answers at once."""

    def now(self) -> int:
        return 0

    def opened(self, connection: ServerConnection) -> None: ...

    def closed(self, connection: ServerConnection) -> None: ...

    def asked(self, connection: ServerConnection, request: Request) -> None:
        connection.reply(200, b"done")


class LoadGenerator:
    """Sends requests at a fixed rate to one port, regardless of the answers (open loop)."""

    def __init__(self, port: int, name: str) -> None:
        self.port, self.name, self.number = port, name, 0
        self.idle: list[ClientConnection] = []
        self.durations_s: list[float] = []
        self.error_counts: dict[int, int] = {}  # answers other than 200 by status; 0: no answer

    def build_request(self) -> bytes:
        self.number += 1
        lines = (
            "GET /refund/check HTTP/1.1",
            "Host: refund.svc",
            f"X-Trace-Id: {self.name}{self.number:08x}",
            "X-Qos: check",
            "Plan: chain",
            f"Account: {self.number % STORE_COUNT:016x}",
            "X-Expires-In: 1900m",
            "Quota-Info: units=1,spread=1,first=0",
            "",
            "",
        )
        return "\r\n".join(lines).encode()

    async def send_request(self) -> None:
        loop = asyncio.get_running_loop()
        connection = self.idle.pop() if self.idle else None
        if connection is None or not connection.usable():
            connection = ClientConnection()
            await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        status_future: asyncio.Future[int] = loop.create_future()

        def ended(status: int = 0, *_: object) -> None:
            if not status_future.done():
                status_future.set_result(status)

        connection.on_answer, connection.on_end = ended, ended
        start = time.perf_counter()  # the event loop's clock has a resolution of milliseconds
        connection.write(self.build_request())
        status = await status_future
        self.durations_s.append(time.perf_counter() - start)
        if status != 200:
            self.error_counts[status] = self.error_counts.get(status, 0) + 1
        if connection.usable():
            self.idle.append(connection)

    async def run(self, rate: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        start, tasks = loop.time(), []
        for n in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, start + n / rate - loop.time()))
            tasks.append(loop.create_task(self.send_request()))
        await asyncio.gather(*tasks)


async def measure_turn(generator: LoadGenerator, pid: int, rate: float, seconds: float) -> TurnResult:
    await generator.run(rate, WARMUP_S)
    generator.durations_s.clear()
    before, after = ProcessUsage(), ProcessUsage()
    measure_usage(pid, before)
    await generator.run(rate, seconds)
    measure_usage(pid, after)
    durations_s = sorted(generator.durations_s)
    return TurnResult(
        ((after.cpu or 0) - (before.cpu or 0)) / len(durations_s),
        1000 * durations_s[len(durations_s) // 2],
        1000 * durations_s[int(len(durations_s) * 0.99)],
    )


async def wait_until_listening(port: int) -> None:
    for _ in range(MAX_STARTUP_POLLS):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
    raise SystemExit(f"no process listens at port {port}")


async def run(rate: float, seconds: float, turns: int) -> dict[str, Any]:
    loop, clock = asyncio.get_running_loop(), Clock()
    backend, servers = InstantBackend(), []
    for _ in range(BACKEND_COUNT):
        servers.append(await loop.create_server(lambda: ServerConnection(backend, 0, 0), "127.0.0.1", 0))
    ports = [int(server.sockets[0].getsockname()[1]) for server in servers]
    scenario = load("calm").resized(front_doors=1)
    counter_service, discovery_service = (
        CounterServer(scenario.counter, clock, 1),
        DiscoveryServer(scenario.discovery, RequestLog(), clock, 1),
    )
    discovery_service.endpoints.change(
        *(Endpoint(f"s-{n}", "hall-a", "std", 0, "Ready", 0, (port,)) for n, port in enumerate(ports))
    )
    await discovery_service.start(range(1))
    await counter_service.start(range(1))
    door_port, bare_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{door_port}",
                    "discovery": f"127.0.0.1:{discovery_service.ports[0]}",
                    "counter": f"127.0.0.1:{counter_service.ports[0]}",
                    "seed": "1",
                    "known": {"revision": 0, "complete": True, "members": []},
                    "settings": front_door_settings(scenario, 0),
                }
            )
        )
        commands = {
            "door": (door_port, [sys.executable, "-m", "irisdeal"]),
            "bare": (
                bare_port,
                [sys.executable, "-m", "benchmarks.forwarder", str(bare_port), *map(str, ports)],
            ),
        }
        processes: dict[str, asyncio.subprocess.Process] = {}
        results: dict[str, list[TurnResult]] = {name: [] for name in commands}
        try:
            generators = {}
            for name, (port, command) in commands.items():
                processes[name] = await asyncio.create_subprocess_exec(
                    *command, env={"EDGE_CONFIG": str(config), "PATH": "/usr/bin:/bin"}
                )
                await wait_until_listening(port)
                generators[name] = LoadGenerator(port, name)
            for n in range(turns):
                for name in ("door", "bare") if n % 2 else ("bare", "door"):
                    results[name].append(
                        await measure_turn(generators[name], processes[name].pid, rate, seconds)
                    )
        finally:
            for process in processes.values():
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
    counter_service.close()
    discovery_service.close()
    ratios = [door.cpu_us / bare.cpu_us for door, bare in zip(results["door"], results["bare"], strict=True)]

    def median(name: str, field: str) -> float:
        return float(statistics.median(getattr(t, field) for t in results[name]))

    return {
        "rate": rate,
        "turns": turns,
        "odd_answers": {name: generator.error_counts for name, generator in generators.items()},
        "cpu_us": {name: median(name, "cpu_us") for name in commands},
        "cpu_ratio": {"median": statistics.median(ratios), "least": min(ratios), "most": max(ratios)},
        "p50_ms": {name: median(name, "p50_ms") for name in commands},
        "p99_ms": {name: median(name, "p99_ms") for name in commands},
        "keeper_calls_a_request": counter_service.calls / max(1, generators["door"].number),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="benchmarks.door_cost", description="Compare the front door with a minimal forwarder."
    )
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=3.0, help="of each turn")
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    if not (args.rate > 0 and args.seconds > 0 and args.turns > 0):
        parser.error("--rate, --seconds and --turns must be greater than 0")
    result = uvloop.run(run(args.rate, args.seconds, args.turns))
    if args.json:
        print(json.dumps(result, indent=1))
        return 0
    ratio = result["cpu_ratio"]
    print(f"{result['turns']} turns each at {result['rate']:g} requests a second")
    for name in ("door", "bare"):
        print(
            f"{name}: {result['cpu_us'][name]:.0f} µs CPU per request, p50 {result['p50_ms'][name]:.2f} ms, "
            f"p99 {result['p99_ms'][name]:.2f} ms, not 200: {result['odd_answers'][name] or 'none'}"
        )
    print(
        f"CPU of the front door over the minimal forwarder: {ratio['median']:.2f} ({ratio['least']:.2f} to "
        f"{ratio['most']:.2f}); added p50 {result['p50_ms']['door'] - result['p50_ms']['bare']:.2f} ms, "
        f"added p99 {result['p99_ms']['door'] - result['p99_ms']['bare']:.2f} ms\n"
        f"calls to the counter service: {result['keeper_calls_a_request']:.2f} per request, each awaited"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
