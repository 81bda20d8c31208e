"""Misbehaving clients in addition to the load: some send nothing, others never read.

Each connection is counted by how it ended: `told` with an answer, `closed` without one, `refused` before it was
established, `open` if the front door had not ended it within `WATCH_S` (LATER, Bad clients: an error or a close
within 3 s).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

from irisdeal.testbed.workload import Day

WATCH_S = 3.0
CONNECT_TIMEOUT_S = 3.0
STEP_S = 0.02  # interval between batches of connections, and between writes
MAX_CONNECTIONS = 2_000  # open in one process, which limits its descriptors
Work = Coroutine[Any, Any, None]
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: door\r\n\r\n"


class _MisbehavingConnection(asyncio.Protocol):
    def __init__(self, reads: bool) -> None:
        self.reads, self.received, self.wrote = reads, 0, 0
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        self.is_write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the transport, with reading paused for a client that never reads."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.reads:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Count received bytes."""
        self.received += len(data)

    def pause_writing(self) -> None:
        """Note that the write buffer is full."""
        self.is_write_paused = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        if not self.ended.done():
            self.ended.set_result(None)


class MisbehavingClients:
    """All misbehaving clients of one process; `outcomes` counts their connections by how they ended."""

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
        """Schedule all on the event loop; the day begins in `wait` s."""
        loop = asyncio.get_running_loop()
        for fault in self.faults:
            act = (
                self._open_idle_connections if fault.do == "connect-storm" else self._open_unread_connections
            )
            share = fault.size / self.shards
            loop.call_later(max(0.0, wait + fault.at_s), self._begin, act, share, fault.for_s)

    def close(self) -> None:
        """End all connections."""
        for task in self.tasks:
            task.cancel()

    def _begin(self, act: Callable[[float, float], Work], size: float, seconds: float) -> None:
        self._start_task(act(size, seconds))

    def _start_task(self, work: Work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open_idle_connections(self, rate: float, seconds: float) -> None:
        """Open `rate` connections a second that send nothing."""
        loop, opened = asyncio.get_running_loop(), 0
        begin = loop.time()
        while (elapsed := loop.time() - begin) < seconds:
            while opened < rate * elapsed and len(self.tasks) < MAX_CONNECTIONS:
                self._start_task(self._idle_connection(opened % len(self.front_doors)))
                opened += 1
            await asyncio.sleep(STEP_S)

    async def _open_unread_connections(self, count: float, seconds: float) -> None:
        """Open `count` connections that send requests and never read an answer."""
        for n in range(min(MAX_CONNECTIONS, round(count))):
            self._start_task(self._never_reads(n % len(self.front_doors), seconds))

    def _count(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    async def _connect(self, front_door: int, reads: bool) -> _MisbehavingConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: _MisbehavingConnection(reads), *self.front_doors[front_door]
                )
        except (OSError, TimeoutError):
            self._count("refused")
            return None
        return connection

    async def _idle_connection(self, front_door: int) -> None:
        if (connection := await self._connect(front_door, True)) is None:
            return
        await asyncio.wait({connection.ended}, timeout=WATCH_S)
        self._count("told" if connection.received else "closed" if connection.ended.done() else "open")
        if connection.transport is not None:
            connection.transport.abort()

    async def _never_reads(self, front_door: int, seconds: float) -> None:
        if (connection := await self._connect(front_door, False)) is None:
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not connection.ended.done() and loop.time() < until:
            if (
                connection.transport is not None
                and not connection.is_write_paused
                and not connection.transport.is_closing()
            ):
                connection.transport.write(HEALTH_REQUEST * 4)
            await asyncio.wait({connection.ended}, timeout=STEP_S)
        self._count("unread, ended" if connection.ended.done() else "unread, open")
        if connection.transport is not None:
            connection.transport.abort()
