"""What a whole door costs beside a bare forwarder: CPU µs a request, and added p50 and p99.

    python -m benchmarks.door_cost [--rate 300] [--seconds 3] [--turns 5] [--json]

Both run as processes of their own before the same backends, which answer at once. They take turns at the
same load in one run, so that what else the machine does meets both alike; the ratio is that of each turn's
pair, given as its median with the least and the most. The door counts each store with a count keeper, as in
service.
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

BACKENDS = 4
STORES = 200  # so many that none passes its quota
READY = 200  # looks, 50 ms apart, for a process to come up
WARM = 0.5  # s of load before each turn that is not counted


@dataclass(slots=True)
class Turn:
    """One turn of one target."""

    cpu_us: float  # a request
    p50_ms: float
    p99_ms: float


class Instant:
    """A backend that answers at once."""

    def now(self) -> int:
        return 0

    def opened(self, connection: ServerConnection) -> None: ...

    def closed(self, connection: ServerConnection) -> None: ...

    def asked(self, connection: ServerConnection, request: Request) -> None:
        connection.reply(200, b"done")


class Load:
    """An open load on one address."""

    def __init__(self, port: int, name: str) -> None:
        self.port, self.name, self.number = port, name, 0
        self.idle: list[ClientConnection] = []
        self.took: list[float] = []
        self.odd: dict[int, int] = {}  # answers by status that were not 200; 0 where none came

    def text(self) -> bytes:
        self.number += 1
        lines = (
            "GET /refund/check HTTP/1.1",
            "Host: refund.svc",
            f"X-Trace-Id: {self.name}{self.number:08x}",
            "X-Qos: check",
            "Plan: chain",
            f"Account: {self.number % STORES:016x}",
            "X-Expires-In: 1900m",
            "Quota-Info: units=1,spread=1,first=0",
            "",
            "",
        )
        return "\r\n".join(lines).encode()

    async def one(self) -> None:
        loop = asyncio.get_running_loop()
        connection = self.idle.pop() if self.idle else None
        if connection is None or not connection.usable():
            connection = ClientConnection()
            await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        done: asyncio.Future[int] = loop.create_future()

        def ended(status: int = 0, *_: object) -> None:
            if not done.done():
                done.set_result(status)

        connection.on_answer, connection.on_end = ended, ended
        start = time.perf_counter()  # the loop's own time counts whole milliseconds
        connection.write(self.text())
        status = await done
        self.took.append(time.perf_counter() - start)
        if status != 200:
            self.odd[status] = self.odd.get(status, 0) + 1
        if connection.usable():
            self.idle.append(connection)

    async def run(self, rate: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        start, tasks = loop.time(), []
        for n in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, start + n / rate - loop.time()))
            tasks.append(loop.create_task(self.one()))
        await asyncio.gather(*tasks)


async def turn(load_: Load, pid: int, rate: float, seconds: float) -> Turn:
    await load_.run(rate, WARM)
    load_.took.clear()
    before, after = ProcessUsage(), ProcessUsage()
    measure_usage(pid, before)
    await load_.run(rate, seconds)
    measure_usage(pid, after)
    took = sorted(load_.took)
    return Turn(
        ((after.cpu or 0) - (before.cpu or 0)) / len(took),
        1000 * took[len(took) // 2],
        1000 * took[int(len(took) * 0.99)],
    )


async def up(port: int) -> None:
    for _ in range(READY):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
    raise SystemExit(f"nothing listens at port {port}")


async def run(rate: float, seconds: float, turns: int) -> dict[str, Any]:
    loop, now = asyncio.get_running_loop(), Clock()
    instant, servers = Instant(), []
    for _ in range(BACKENDS):
        servers.append(await loop.create_server(lambda: ServerConnection(instant, 0, 0), "127.0.0.1", 0))
    ports = [int(server.sockets[0].getsockname()[1]) for server in servers]
    scenario = load("calm").resized(front_doors=1)
    keeper, roster = (
        CounterServer(scenario.counter, now, 1),
        DiscoveryServer(scenario.discovery, RequestLog(), now, 1),
    )
    roster.endpoints.change(
        *(Endpoint(f"s-{n}", "hall-a", "std", 0, "Ready", 0, (port,)) for n, port in enumerate(ports))
    )
    await roster.start(range(1))
    await keeper.start(range(1))
    door_port, bare_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{door_port}",
                    "discovery": f"127.0.0.1:{roster.ports[0]}",
                    "counter": f"127.0.0.1:{keeper.ports[0]}",
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
        found: dict[str, list[Turn]] = {name: [] for name in commands}
        try:
            loads = {}
            for name, (port, command) in commands.items():
                processes[name] = await asyncio.create_subprocess_exec(
                    *command, env={"EDGE_CONFIG": str(config), "PATH": "/usr/bin:/bin"}
                )
                await up(port)
                loads[name] = Load(port, name)
            for n in range(turns):
                for name in ("door", "bare") if n % 2 else ("bare", "door"):
                    found[name].append(await turn(loads[name], processes[name].pid, rate, seconds))
        finally:
            for process in processes.values():
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
    keeper.close()
    roster.close()
    ratios = [door.cpu_us / bare.cpu_us for door, bare in zip(found["door"], found["bare"], strict=True)]

    def median(name: str, field: str) -> float:
        return float(statistics.median(getattr(t, field) for t in found[name]))

    return {
        "rate": rate,
        "turns": turns,
        "odd_answers": {name: made.odd for name, made in loads.items()},
        "cpu_us": {name: median(name, "cpu_us") for name in commands},
        "cpu_ratio": {"median": statistics.median(ratios), "least": min(ratios), "most": max(ratios)},
        "p50_ms": {name: median(name, "p50_ms") for name in commands},
        "p99_ms": {name: median(name, "p99_ms") for name in commands},
        "keeper_calls_a_request": keeper.calls / max(1, loads["door"].number),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.door_cost", description="A door, a bare forwarder.")
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=3.0, help="of each turn")
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    if not (told.rate > 0 and told.seconds > 0 and told.turns > 0):
        parser.error("rate, seconds and turns: wanted over 0")
    made = uvloop.run(run(told.rate, told.seconds, told.turns))
    if told.json:
        print(json.dumps(made, indent=1))
        return 0
    ratio = made["cpu_ratio"]
    print(f"{made['turns']} turns each at {made['rate']:g} requests a second")
    for name in ("door", "bare"):
        print(
            f"{name}: {made['cpu_us'][name]:.0f} µs CPU a request, p50 {made['p50_ms'][name]:.2f} ms, "
            f"p99 {made['p99_ms'][name]:.2f} ms, not 200: {made['odd_answers'][name] or 'none'}"
        )
    print(
        f"CPU of the door over the bare forwarder: {ratio['median']:.2f} ({ratio['least']:.2f} to "
        f"{ratio['most']:.2f}); added p50 {made['p50_ms']['door'] - made['p50_ms']['bare']:.2f} ms, "
        f"added p99 {made['p99_ms']['door'] - made['p99_ms']['bare']:.2f} ms\n"
        f"calls to the count keeper: {made['keeper_calls_a_request']:.2f} a request, each waited for"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
