"""One process with many simulated proxies or backends: `python -m benchmarks.capacity.crowd FILE`.

It reads one command per line on standard input and answers each with a line of JSON: `start` (starts the proxies
one after the other, each when the previous one has its registries), `again` (stops all proxies and starts them at
once), `report`, `restart N S` (restarts N backends over S s), `ask RATE S` (requests placements, RATE per second
and proxy), `quit`.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.capacity.hollow import SharedState, SimulatedBackends, SimulatedProxy
from benchmarks.capacity.tally import FrameCounter
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

MAX_START_S = 8.0  # for one proxy to start before the next one does


class SimulatorProcess:
    """The simulated proxies and backends of one process."""

    def __init__(self, options: dict[str, Any], counter: FrameCounter) -> None:
        self.options, self.counter, self.shared = options, counter, SharedState()
        self.proxies: list[SimulatedProxy] = []
        self.backends: SimulatedBackends | None = None
        self.tasks = Tasks()

    async def start(self) -> dict[str, Any]:
        """Start the backends, and the proxies in turn."""
        options = self.options
        if options["backends"]:
            self.backends = SimulatedBackends(
                options["first"],
                options["backends"],
                options["controls"],
                options["services"],
                options["zones"],
            )
            self.backends.start()
        self.proxies = [self._make_proxy(options["first"] + index) for index in range(options["doors"])]
        self.tasks.start(self._start_in_turn())
        return {}

    def _make_proxy(self, number: int) -> SimulatedProxy:
        options = self.options
        settings = Settings(
            f"edge-{number}",
            "proxy",
            f"127.99.{number >> 8}.{number & 255}",
            options["zones"][number % len(options["zones"])],
            tuple(options["port_range"]),
            tuple(options["seeds"]),
            zones=dict.fromkeys(options["zones"], "here"),
        )
        return SimulatedProxy(settings, self.shared, options["active"], options["tenants"])

    async def _start_in_turn(self) -> None:
        for proxy in self.proxies:
            proxy.start()
            deadline = time.monotonic() + MAX_START_S
            while not proxy.is_settled and time.monotonic() < deadline:
                await asyncio.sleep(0.01)

    async def restart_all(self) -> dict[str, Any]:
        """Stop all proxies, and start them at once without any state."""
        for proxy in self.proxies:
            proxy.watcher.stop()
        await asyncio.sleep(0)  # lets their connections close
        self.shared = SharedState()
        self.proxies = [
            self._make_proxy(self.options["first"] + index) for index in range(self.options["doors"])
        ]
        for proxy in self.proxies:
            proxy.start()
        return {}

    def report(self) -> dict[str, Any]:
        """Counts so far, and the newest configuration number that all proxies have."""
        versions = [proxy.watcher.configuration.version for proxy in self.proxies]
        figures: dict[str, Any] = {
            "tally": self.counter.counts,
            "doors": len(self.proxies),
            "unsettled": sum(not proxy.is_settled for proxy in self.proxies),
            "lives": len(self.shared.incarnations),
            "number": min((version.version_id.number if version else -1 for version in versions), default=-1),
            "asked": sum(proxy.request_count for proxy in self.proxies),
            "placed": sum(proxy.placed_count for proxy in self.proxies),
            "lost": sum(proxy.failed_count for proxy in self.proxies),
            "words": sum(proxy.report_count for proxy in self.proxies),
            "news": self.shared.update_count,
        }
        if self.backends is not None:
            backends = self.backends
            figures["beats"] = [
                backends.sent_count,
                backends.bytes_out,
                backends.bytes_in,
                backends.acknowledged_count,
                backends.failed_connection_count,
            ]
        return figures

    async def run(self, command: str) -> dict[str, Any]:
        """Run one command and return its answer."""
        match command.split():
            case ["start"]:
                return await self.start()
            case ["again"]:
                return await self.restart_all()
            case ["report"]:
                return self.report()
            case ["restart", count, seconds]:
                assert self.backends is not None
                self.tasks.start(self.backends.restart(int(count), float(seconds)))
            case ["ask", rate, seconds]:
                for number, proxy in enumerate(self.proxies):
                    service = f"svc{number % self.options['services']:03d}"
                    proxy.watcher.tasks.start(
                        proxy.request_placements(float(rate), float(seconds), service, self.options["work"])
                    )
        return {}


async def serve(options: dict[str, Any], counter: FrameCounter) -> None:
    """Run commands until `quit` or the end of the input."""
    simulator, loop, lines = (
        SimulatorProcess(options, counter),
        asyncio.get_running_loop(),
        asyncio.StreamReader(),
    )
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := (await lines.readline()).decode().strip():
        if line == "quit":
            return
        print(json.dumps(await simulator.run(line)), flush=True)


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    frame_counter = FrameCounter()
    frame_counter.install()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(json.loads(Path(sys.argv[1]).read_text("utf-8")), frame_counter))
