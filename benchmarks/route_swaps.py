"""Fifty route table swaps in twenty seconds under load: how much they delay, and whether any request is lost.

    python -m benchmarks.route_swaps [--swaps 50] [--seconds 20] [--routes 1200] [--rate 200] [--json]

One front door runs in this event loop, with a backend that answers at once. Its description of the routes is
replaced by a rename at even intervals, each time with another cost. The lag of the event loop is measured first
without swaps, then for the same time with them, and both are printed.
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

from benchmarks.door_cost import InstantBackend, LoadGenerator
from irisdeal.demo.deployment import free_port
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.server.config import parse
from irisdeal.front_door.server.program import Program
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.front_door_settings import front_door_settings
from irisdeal.testbed.http import ServerConnection
from irisdeal.testbed.request_log import Clock, RequestLog
from irisdeal.testbed.scenario_files import load as load_scenario

TICK_S = 0.001


def description(routes: int, units: int) -> str:
    """An OpenAPI description of `routes` routes, one of them that of the load, which costs `units`."""
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


class LoopLagMonitor:
    """Measures the lag of the event loop in ms, every ms."""

    def __init__(self) -> None:
        self.lags_ms: list[float] = []
        self.task: asyncio.Task[None] | None = None

    async def _run(self) -> None:
        while True:
            start = time.perf_counter()
            await asyncio.sleep(TICK_S)
            self.lags_ms.append((time.perf_counter() - start - TICK_S) * 1000)

    def start(self) -> None:
        self.lags_ms = []
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> dict[str, float]:
        assert self.task is not None
        self.task.cancel()
        lags_ms = sorted(self.lags_ms)
        return {
            "p50_ms": lags_ms[len(lags_ms) // 2],
            "p99_ms": lags_ms[int(len(lags_ms) * 0.99)],
            "most_ms": lags_ms[-1],
        }


async def run(swaps: int, seconds: float, routes: int, rate: float) -> dict[str, Any]:
    loop, clock = asyncio.get_running_loop(), Clock()
    backend = InstantBackend()
    server = await loop.create_server(lambda: ServerConnection(backend, 0, 0), "127.0.0.1", 0)
    backend_port = int(server.sockets[0].getsockname()[1])
    scenario = load_scenario("calm").resized(front_doors=1)
    counter_service, discovery_service = (
        CounterServer(scenario.counter, clock, 1),
        DiscoveryServer(scenario.discovery, RequestLog(), clock, 1),
    )
    discovery_service.endpoints.change(Endpoint("s-0", "hall-a", "std", 0, "Ready", 0, (backend_port,)))
    await discovery_service.start(range(1))
    await counter_service.start(range(1))
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "api.json"
        file.write_text(description(routes, 1))
        port = free_port()
        config = parse(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery_service.ports[0]}",
                "counter": f"127.0.0.1:{counter_service.ports[0]}",
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
        gc.freeze()  # as `Program.run` does, so that objects from the start are not collected again
        while not program.decision_loop.can_serve():
            await asyncio.sleep(0.01)
        load, monitor = LoadGenerator(port, "swap"), LoopLagMonitor()
        await load.run(rate, 1.0)
        monitor.start()
        await load.run(rate, seconds)
        lag_without_swaps = monitor.stop()
        descriptions, swap_durations_s = [description(routes, units) for units in (1, 2)], list[float]()

        async def swap() -> None:
            start = loop.time()
            for n in range(swaps):
                await asyncio.sleep(max(0.0, start + n * seconds / swaps - loop.time()))
                new = file.with_suffix(".new")
                new.write_text(descriptions[(n + 1) % 2])
                new.replace(file)
                loaded = asyncio.Event()
                router.on_loaded = loaded.set
                started_at = loop.time()
                router.load()
                await loaded.wait()
                swap_durations_s.append(loop.time() - started_at)

        before = router.table.number
        monitor.start()
        await asyncio.gather(load.run(rate, seconds), swap())
        lag_with_swaps = monitor.stop()
        result = {
            "routes": routes,
            "swaps": router.table.number - before,
            "refused": router.rejected_count,
            "swap_s": {
                "median": sorted(swap_durations_s)[len(swap_durations_s) // 2],
                "most": max(swap_durations_s),
            },
            "loop_late_without": lag_without_swaps,
            "loop_late_with": lag_with_swaps,
            "requests": load.number,
            "not_200": load.error_counts,
            "class_numbers": len(router.classes.rules),
        }
        program.discovery.stop()
        program.clients.stop_listening()
    counter_service.close()
    discovery_service.close()
    return result


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.route_swaps")
    parser.add_argument("--swaps", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--routes", type=int, default=1_200)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = uvloop.run(run(args.swaps, args.seconds, args.routes, args.rate))
    if args.json:
        print(json.dumps(result, indent=1))
    else:
        for key, value in result.items():
            print(f"{key}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
