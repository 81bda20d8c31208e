"""Fifty swaps in twenty seconds under load: what they hold up, and whether anything is lost.

    python -m benchmarks.route_swaps [--swaps 50] [--seconds 20] [--routes 1200] [--rate 200] [--json]

One door runs in this loop before backends that answer at once; its description of so many routes is replaced
by a rename at even times, each with another cost. A ticker tells how late the loop runs, for as long without
swaps first, then with them: the two are printed side by side.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.door_cost import Instant, Load
from irisdeal.demo.deployment import free_port
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.server.config import parse
from irisdeal.front_door.server.program import Program
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.front_door_settings import front_door_settings
from irisdeal.testbed.http import ServerConnection
from irisdeal.testbed.request_log import Clock, RequestLog
from irisdeal.testbed.scenario_files import load

TICK = 0.001  # s


def description(routes: int, units: int) -> str:
    """So many routes and the one that the load asks for."""
    paths: dict[str, Any] = {
        f"/area{n // 50}/thing{n}/{{id}}": {"get": {"parameters": [{"in": "path", "name": "id"}]}}
        for n in range(routes - 1)
    }
    paths["/refund/check"] = {"get": {"x-irisdeal": {"units": units}}}
    return json.dumps(
        {
            "openapi": "3.1.0",
            "info": {"title": "t", "version": "1"},
            "paths": paths,
            "x-irisdeal": {"aim_ms": 600, "deadline_ms": 2000},
        }
    )


class Ticker:
    """How late the loop runs, in ms, seen every ms."""

    def __init__(self) -> None:
        self.late: list[float] = []
        self.task: asyncio.Task[None] | None = None

    async def _run(self) -> None:
        while True:
            start = time.perf_counter()
            await asyncio.sleep(TICK)
            self.late.append((time.perf_counter() - start - TICK) * 1000)

    def start(self) -> None:
        self.late = []
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> dict[str, float]:
        assert self.task is not None
        self.task.cancel()
        late = sorted(self.late)
        return {"p50_ms": late[len(late) // 2], "p99_ms": late[int(len(late) * 0.99)], "most_ms": late[-1]}


async def run(swaps: int, seconds: float, routes: int, rate: float) -> dict[str, Any]:
    loop, now = asyncio.get_running_loop(), Clock()
    instant = Instant()
    server = await loop.create_server(lambda: ServerConnection(instant, 0, 0), "127.0.0.1", 0)
    port = int(server.sockets[0].getsockname()[1])
    scenario = load("calm").resized(front_doors=1)
    keeper, roster = (
        CounterServer(scenario.counter, now, 1),
        DiscoveryServer(scenario.discovery, RequestLog(), now, 1),
    )
    roster.endpoints.change(Endpoint("s-0", "hall-a", "std", 0, "Ready", 0, (port,)))
    await roster.start(range(1))
    await keeper.start(range(1))
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "api.json"
        file.write_text(description(routes, 1))
        listen = free_port()
        config = parse(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{listen}",
                "discovery": f"127.0.0.1:{roster.ports[0]}",
                "counter": f"127.0.0.1:{keeper.ports[0]}",
                "seed": "1",
                "settings": front_door_settings(scenario, 0),
                "known": {"revision": 0, "complete": True, "members": []},
                "routes": {"file": str(file), "watch_ms": 0},
            }
        )
        program = Program(config, loop, Gateway(config.settings, config.seed))
        router = program.router
        assert router is not None
        await router.load_first()
        program.start()
        gc.collect()
        gc.freeze()  # as `Program.run` does: what was there at the start is not looked through again
        while not program.decision_loop.can_serve():
            await asyncio.sleep(0.01)
        asked, ticker = Load(listen, "swap"), Ticker()
        await asked.run(rate, 1.0)
        ticker.start()
        await asked.run(rate, seconds)
        without = ticker.stop()
        texts, took = [description(routes, units) for units in (1, 2)], list[float]()

        async def swap() -> None:
            start = loop.time()
            for n in range(swaps):
                await asyncio.sleep(max(0.0, start + n * seconds / swaps - loop.time()))
                new = file.with_suffix(".new")
                new.write_text(texts[(n + 1) % 2])
                new.replace(file)
                settled = asyncio.Event()
                router.on_loaded = settled.set
                begun = loop.time()
                router.load()
                await settled.wait()
                took.append(loop.time() - begun)

        before = router.table.number
        ticker.start()
        await asyncio.gather(asked.run(rate, seconds), swap())
        with_swaps = ticker.stop()
        made = {
            "routes": routes,
            "swaps": router.table.number - before,
            "refused": router.rejected_count,
            "swap_s": {"median": sorted(took)[len(took) // 2], "most": max(took)},
            "loop_late_without": without,
            "loop_late_with": with_swaps,
            "requests": asked.number,
            "not_200": asked.odd,
            "class_numbers": len(router.classes.rules),
        }
        program.discovery.stop()
        program.clients.stop_listening()
    keeper.close()
    roster.close()
    return made


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.route_swaps")
    parser.add_argument("--swaps", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--routes", type=int, default=1_200)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    made = uvloop.run(run(told.swaps, told.seconds, told.routes, told.rate))
    if told.json:
        print(json.dumps(made, indent=1))
    else:
        for key, value in made.items():
            print(f"{key}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
