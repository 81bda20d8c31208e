"""Connections of no tenant, beside the load: clients that send nothing, and clients that never read.

Each connection is counted by how it ended: `told` with an answer, `closed` without one, `refused` before it came
up, `open` where the front door had not ended it within `WATCH` (LATER, Bad clients: an error or a close within
3 s).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

from irisdeal.testbed.workload import Day

WATCH = 3.0  # s
CONNECT_TIMEOUT = 3.0  # s
STEP = 0.02  # s between two handfuls of connections
MOST = 2_000  # at a time in one process: its descriptors are bounded
Work = Coroutine[Any, Any, None]
ASK = b"GET /_health HTTP/1.1\r\nHost: door\r\n\r\n"


class _MisbehavingConnection(asyncio.Protocol):
    def __init__(self, reads: bool) -> None:
        self.reads, self.received, self.wrote = reads, 0, 0
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        self.full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, without reading where the client never reads."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.reads:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Count received bytes."""
        self.received += len(data)

    def pause_writing(self) -> None:
        """Note that the peer reads no more."""
        self.full = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        if not self.ended.done():
            self.ended.set_result(None)


class MisbehavingClients:
    """All misbehaving clients of one process; `outcomes` counts how they ended."""

    def __init__(
        self,
        day: Day,
        front_doors: list[tuple[str, int]],
        outcomes: dict[str, int],
        shard: int,
        shards: int,
    ) -> None:
        self.faults = [f for f in day.scenario.faults if f.do in ("connect-storm", "slow-readers")]
        self.front_doors, self.outcomes, self.shard, self.shards = front_doors, outcomes, shard, shards
        self.tasks: set[asyncio.Task[None]] = set()

    def play(self, wait: float) -> None:
        """Put all on the loop; the day begins in `wait` s."""
        loop = asyncio.get_running_loop()
        for fault in self.faults:
            act = self._storm if fault.do == "connect-storm" else self._unread
            share = fault.size / self.shards
            loop.call_later(max(0.0, wait + fault.at_s), self._begin, act, share, fault.for_s)

    def close(self) -> None:
        """End all connections."""
        for task in self.tasks:
            task.cancel()

    def _begin(self, act: Callable[[float, float], Work], size: float, seconds: float) -> None:
        self._keep(act(size, seconds))

    def _keep(self, work: Work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _storm(self, rate: float, seconds: float) -> None:
        """So many connections a second that say nothing."""
        loop, made = asyncio.get_running_loop(), 0
        begin = loop.time()
        while (gone := loop.time() - begin) < seconds:
            while made < rate * gone and len(self.tasks) < MOST:
                self._keep(self._idle_connection(made % len(self.front_doors)))
                made += 1
            await asyncio.sleep(STEP)

    async def _unread(self, count: float, seconds: float) -> None:
        """So many connections that ask without end and never read an answer."""
        for n in range(min(MOST, round(count))):
            self._keep(self._never_reads(n % len(self.front_doors), seconds))

    def _count(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    async def _connect(self, front_door: int, reads: bool) -> _MisbehavingConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, made = await asyncio.get_running_loop().create_connection(
                    lambda: _MisbehavingConnection(reads), *self.front_doors[front_door]
                )
        except (OSError, TimeoutError):
            self._count("refused")
            return None
        return made

    async def _idle_connection(self, front_door: int) -> None:
        if (one := await self._connect(front_door, True)) is None:
            return
        await asyncio.wait({one.ended}, timeout=WATCH)
        self._count("told" if one.received else "closed" if one.ended.done() else "open")
        if one.transport is not None:
            one.transport.abort()

    async def _never_reads(self, front_door: int, seconds: float) -> None:
        if (one := await self._connect(front_door, False)) is None:
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not one.ended.done() and loop.time() < until:
            if one.transport is not None and not one.full and not one.transport.is_closing():
                one.transport.write(ASK * 4)
            await asyncio.wait({one.ended}, timeout=STEP)
        self._count("unread, ended" if one.ended.done() else "unread, open")
        if one.transport is not None:
            one.transport.abort()
