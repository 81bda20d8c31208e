"""The counter service (PROTOCOL, The counter), with injected faults.

`CounterModel` is the pure part (names, lifetimes, the queue of each shard); `CounterServer` serves it on sockets.
Each front door has a separate address, which identifies the front door of a call.
"""

from __future__ import annotations

import asyncio
import math
import random
import re
import zlib
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import cast

from irisdeal.testbed.request_log import Now
from irisdeal.testbed.scenario import CounterSpec
from irisdeal.testbed.workload import stream

MAX_LIFETIME_US = 60_000_000  # PROTOCOL, The counter
MAX_AMOUNT = 1e9
MAX_CONNECTIONS = 32  # for each front door
IDLE_TIMEOUT_S = 10.0
MAX_LINE_BYTES = 256
AMOUNT = re.compile(r"-?[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,3})?")


@dataclass(slots=True)
class CounterModel:
    """Named counts, distributed over shards that each serve one call at a time. Times in µs."""

    spec: CounterSpec
    counts: dict[str, tuple[float, int]] = field(default_factory=dict)  # total and expiry time
    free_at: dict[int, int] = field(default_factory=dict)  # by shard: when its queue is empty
    slowdown: float = 1.0
    swept_at: int = 0

    def shard(self, name: str) -> int:
        """Return the shard of a name."""
        return zlib.crc32(name.encode()) % self.spec.shards

    def serve(self, name: str, now: int) -> int | None:
        """Queue a call; the time at which it is served, or None (`busy`) if the shard's queue is too long."""
        shard = self.shard(name)
        begins = max(now, self.free_at.get(shard, 0))
        if begins - now > self.spec.queue_ms * 1000:
            return None
        each = 1e6 * self.spec.shards / self.spec.calls_per_s * self.slowdown
        self.free_at[shard] = begins + round(each)
        return begins + round(each + self.spec.call_ms * 1000)

    def add(self, name: str, amount: float, lifetime: int, now: int) -> float:
        """Add, and return the total. A new name starts at 0 and expires after `lifetime` (µs)."""
        self._sweep(now)
        total, until = self.counts.get(name, (0.0, 0))
        if until <= now:
            total, until = 0.0, now + min(lifetime, MAX_LIFETIME_US)
        total = float(f"{total + amount:.7g}")  # a total has seven significant digits
        self.counts[name] = (total, until)
        return total

    def _sweep(self, now: int) -> None:
        """Remove expired names, at most once a second."""
        if now - self.swept_at > 1_000_000:
            self.swept_at = now
            self.counts = {name: kept for name, kept in self.counts.items() if kept[1] > now}

    def flush(self, share: float, rng: random.Random) -> int:
        """Remove that share of the names, drawn at random; returns their number."""
        names = sorted(self.counts)
        lost = rng.sample(names, round(share * len(names)))
        for name in lost:
            del self.counts[name]
        return len(lost)


class _CounterConnection(asyncio.Protocol):
    """One connection of a front door. Calls are answered in the order in which they came."""

    def __init__(self, counter: CounterServer, front_door: int) -> None:
        self.counter, self.front_door = counter, front_door
        self.transport: asyncio.Transport | None = None
        self.unparsed = b""
        self.answers: deque[tuple[int, bytes]] = deque()  # due time (µs) and text, in the order of the calls
        self.write_timer: asyncio.TimerHandle | None = None
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept, or reset the connection if the front door has `MAX_CONNECTIONS` already."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.counter.connections[self.front_door]) >= MAX_CONNECTIONS:
            self.transport.abort()
            return
        self.counter.connections[self.front_door][self] = None
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        self.transport = None
        self.counter.connections[self.front_door].pop(self, None)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle each complete line."""
        self._restart_idle_timer()
        *lines, self.unparsed = (self.unparsed + data).split(b"\n")
        for line in lines:
            self.counter.call(self, line.rstrip(b"\r"))
        if len(self.unparsed) > MAX_LINE_BYTES:
            self.close()

    def answer(self, due: int, text: bytes) -> None:
        """Write an answer at `due` (µs), after those queued before it.

        There is one timer, for the first queued answer. With one for each answer, a late loop could run the timers
        of two answers in the wrong order, and a call got another name's total.
        """
        self.answers.append((max(due, self.answers[-1][0] if self.answers else 0), text))
        if self.write_timer is None:
            self._write()

    def _write(self) -> None:
        self.write_timer = None
        while self.answers:
            due, text = self.answers[0]
            if (wait := due - self.counter.now()) > 0:
                self.write_timer = asyncio.get_running_loop().call_later(wait / 1e6, self._write)
                return
            self.answers.popleft()
            if self.transport is None:
                self.counter.late_answers += 1  # the caller has disconnected, but the amount was added
            else:
                self.transport.write(text)


class CounterServer:
    """The counter service on sockets, with an address for each front door, and its faults."""

    def __init__(self, spec: CounterSpec, now: Now, seed: int) -> None:
        self.now, self.model = now, CounterModel(spec)
        self.sides: dict[int, CounterModel] = {}  # by front door, during a split
        self.random = stream(seed, "keeper")
        self.connections: defaultdict[int, dict[_CounterConnection, None]] = defaultdict(dict)
        self.ports: dict[int, int] = {}
        self.servers: dict[int, asyncio.Server] = {}
        self.unresponsive = False
        self.spoil = 0.0  # share of answers that are malformed
        # Counts of calls, of rejected and of unanswered ones, and of answers whose caller had disconnected.
        self.calls = self.busy_answers = self.unanswered = self.late_answers = 0
        self.added: defaultdict[tuple[int, str], float] = defaultdict(float)  # by front door and name
        self.keeps_added = False  # off by default, since `added` grows without bound

    async def start(self, front_doors: range) -> None:
        """Listen on an address for each front door; the same addresses after a restart."""
        loop = asyncio.get_running_loop()
        for front_door in front_doors:
            if front_door not in self.servers:
                server = await loop.create_server(
                    partial(_CounterConnection, self, front_door), "127.0.0.1", self.ports.get(front_door, 0)
                )
                self.servers[front_door] = server
                self.ports[front_door] = int(server.sockets[0].getsockname()[1])

    def refuse(self) -> None:
        """Simulate the end of the process: connections are reset, new ones refused."""
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        for connection in [each for group in self.connections.values() for each in group]:
            connection.close()

    async def restart(self, front_doors: range, empty: bool) -> None:
        """Listen again on the same addresses, without the counts if `empty`."""
        if empty:
            self.model.counts.clear()
        await self.start(front_doors)

    async def move(self, front_doors: range, close_delay: float = 1.5) -> None:
        """Move to new addresses. Open connections to the old ones are closed after `close_delay` s.

        (LATER, New configurations and restarts.)
        """
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.ports.clear()
        old = [each for group in self.connections.values() for each in group]
        await self.start(front_doors)
        loop = asyncio.get_running_loop()
        for connection in old:
            loop.call_later(close_delay, connection.close)

    def flush(self, share: float) -> int:
        """Remove that share of the names; returns their number."""
        return self.model.flush(share, self.random)

    async def forget(self, share: float) -> int:
        """As `flush`; asynchronous as in `RemoteCounter`."""
        return self.flush(share)

    def put(self, what: str, value: float) -> None:
        """Set a fault: `silent` (0 or 1), `spoil` (a share) or `slower` (a factor)."""
        if what == "slower":
            self.model.slowdown = value
        elif what == "silent":
            self.unresponsive = bool(value)
        else:
            self.spoil = value

    def split(self, *groups: Iterable[int]) -> None:
        """Simulate a split: each group of front doors uses a separate copy of the counts from now on.

        All start with the present counts; the first group keeps the original model.
        """
        self.sides = {}
        for n, group in enumerate(groups):
            model = (
                self.model
                if n == 0
                else replace(self.model, counts=dict(self.model.counts), free_at=dict(self.model.free_at))
            )
            self.sides |= {front_door: model for front_door in group}

    def heal(self, front_door: int | None = None) -> None:
        """End the split with the counts of the side of `front_door`, or of the first side if it is None.

        Amounts added on the other sides are lost, as when a partitioned replica is reset.
        """
        if front_door is not None:
            self.model = self.sides.get(front_door, self.model)
        self.sides = {}

    def close(self) -> None:
        """Stop serving."""
        self.refuse()

    def call(self, connection: _CounterConnection, text: bytes) -> None:
        """Handle one line from a front door."""
        now = self.now()
        if text == b"ping":
            if not self.unresponsive:
                connection.answer(now, b"pong\r\n")
            return
        call = parse_call(text)
        if call is None:
            if not self.unresponsive:
                connection.answer(now, b"error\r\n")
            return
        self.calls += 1
        if self.unresponsive:
            self.unanswered += 1
            return
        name, amount, lifetime = call
        model = self.sides.get(connection.front_door, self.model)
        due = model.serve(name, now)
        if due is None:
            self.busy_answers += 1
            return connection.answer(now, b"busy\r\n")
        total = model.add(name, amount, lifetime, now)
        if self.keeps_added:
            self.added[connection.front_door, name] += amount
        if self.spoil and self.random.random() < self.spoil:
            return connection.answer(due, b"ok \xff\x00 no number\r\n")
        connection.answer(due, f"ok {total:.9g}\r\n".encode())


def parse_call(text: bytes) -> tuple[str, float, int] | None:
    """Parse `tally NAME AMOUNT LIFETIME_MS` to name, amount and lifetime in µs; None if it is malformed."""
    if len(text) > MAX_LINE_BYTES or not text.isascii():
        return None
    tokens = text.decode().split(" ")
    if len(tokens) != 4 or tokens[0] != "tally" or not 1 <= len(tokens[1].encode()) <= 64:
        return None
    if not AMOUNT.fullmatch(tokens[2]) or not (tokens[3].isdigit() and 1 <= int(tokens[3]) < 10**12):
        return None
    amount = float(tokens[2])
    if not math.isfinite(amount) or abs(amount) > MAX_AMOUNT:
        return None
    return tokens[1], amount, min(int(tokens[3]) * 1000, MAX_LIFETIME_US)
