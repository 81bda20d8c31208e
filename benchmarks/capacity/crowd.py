"""One process full of hollow doors or backends: `python -m benchmarks.capacity.crowd FILE`.

It takes a command a line on standard input and answers each with a line of JSON: `start` (doors one after the
other, each when the one before has its sources), `again` (all doors end and start at once), `report`, `restart N S`
(N backends over S s), `ask RATE S` (places a second for each door), `quit`.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.capacity.hollow import Backends, HollowDoor, Shared
from benchmarks.capacity.tally import Tally
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

ONE = 8.0  # s that one door may take to start before the next one does


class Crowd:
    """The doors and backends of one process."""

    def __init__(self, given: dict[str, Any], tally: Tally) -> None:
        self.given, self.tally, self.shared = given, tally, Shared()
        self.doors: list[HollowDoor] = []
        self.backends: Backends | None = None
        self.tasks = Tasks()

    async def start(self) -> dict[str, Any]:
        given = self.given
        if given["backends"]:
            self.backends = Backends(
                given["first"], given["backends"], given["controls"], given["services"], given["zones"]
            )
            self.backends.start()
        self.doors = [self._door(given["first"] + at) for at in range(given["doors"])]
        self.tasks.start(self._one_by_one())
        return {}

    def _door(self, number: int) -> HollowDoor:
        given = self.given
        settings = Settings(
            f"edge-{number}",
            "proxy",
            f"127.99.{number >> 8}.{number & 255}",
            given["zones"][number % len(given["zones"])],
            tuple(given["port_range"]),
            tuple(given["seeds"]),
            zones=dict.fromkeys(given["zones"], "here"),
        )
        return HollowDoor(settings, self.shared, given["active"], given["tenants"])

    async def _one_by_one(self) -> None:
        for door in self.doors:
            door.start()
            until = time.monotonic() + ONE
            while not door.settled and time.monotonic() < until:
                await asyncio.sleep(0.01)

    async def again(self) -> dict[str, Any]:
        """All doors end, and start at once with nothing known."""
        for door in self.doors:
            door.watcher.stop()
        await asyncio.sleep(0)  # their connections end
        self.shared = Shared()
        self.doors = [self._door(self.given["first"] + at) for at in range(self.given["doors"])]
        for door in self.doors:
            door.start()
        return {}

    def report(self) -> dict[str, Any]:
        """Counts until now, and the newest configuration's number that all doors have."""
        versions = [door.watcher.configuration.version for door in self.doors]
        told: dict[str, Any] = {
            "tally": self.tally.counts,
            "doors": len(self.doors),
            "unsettled": sum(not door.settled for door in self.doors),
            "lives": len(self.shared.incarnations),
            "number": min((version.version_id.number if version else -1 for version in versions), default=-1),
            "asked": sum(door.asked for door in self.doors),
            "placed": sum(door.placed for door in self.doors),
            "lost": sum(door.lost for door in self.doors),
            "words": sum(door.versions for door in self.doors),
            "news": self.shared.news,
        }
        if self.backends is not None:
            there = self.backends
            told["beats"] = [there.sent, there.bytes_out, there.bytes_in, there.good, there.broken]
        return told

    async def run(self, command: str) -> dict[str, Any]:
        match command.split():
            case ["start"]:
                return await self.start()
            case ["again"]:
                return await self.again()
            case ["report"]:
                return self.report()
            case ["restart", count, seconds]:
                assert self.backends is not None
                self.tasks.start(self.backends.restart(int(count), float(seconds)))
            case ["ask", rate, seconds]:
                for number, door in enumerate(self.doors):
                    service = f"svc{number % self.given['services']:03d}"
                    door.watcher.tasks.start(
                        door.ask(float(rate), float(seconds), service, self.given["work"])
                    )
        return {}


async def serve(given: dict[str, Any], tally: Tally) -> None:
    """Until `quit` or the end of the input."""
    crowd, loop, lines = Crowd(given, tally), asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := (await lines.readline()).decode().strip():
        if line == "quit":
            return
        print(json.dumps(await crowd.run(line)), flush=True)


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    counted = Tally()
    counted.install()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(json.loads(Path(sys.argv[1]).read_text("utf-8")), counted))
