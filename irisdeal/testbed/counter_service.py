"""The counter service of PROTOCOL, The counter, with the faults that it can be given.

`CounterModel` is the pure part (names, lifetimes, the queue of each shard); `CounterServer` puts it on sockets.
Each front door has an address of its own, so that the log can tell which of them added what.
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

MAX_LIFETIME = 60_000_000  # µs; PROTOCOL, The counter
MOST_AMOUNT = 1e9
MOST_CONNECTIONS = 32  # of a front door
IDLE = 10.0  # s
MOST_LINE = 256
AMOUNT = re.compile(r"-?[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,3})?")


@dataclass(slots=True)
class CounterModel:
    """Named counts on a few parts that serve calls in turn. Times in µs."""

    spec: CounterSpec
    counts: dict[str, tuple[float, int]] = field(default_factory=dict)  # total, and when it is forgotten
    free_at: dict[int, int] = field(default_factory=dict)  # by part: when its line is empty
    slower: float = 1.0
    swept: int = 0

    def shard(self, name: str) -> int:
        """Return the shard that has this name."""
        return zlib.crc32(name.encode()) % self.spec.shards

    def serve(self, name: str, now: int) -> int | None:
        """When a call that comes now is served; None where the part's line is too long (`busy`)."""
        shard = self.shard(name)
        begins = max(now, self.free_at.get(shard, 0))
        if begins - now > self.spec.queue_ms * 1000:
            return None
        each = 1e6 * self.spec.shards / self.spec.calls_per_s * self.slower
        self.free_at[shard] = begins + round(each)
        return begins + round(each + self.spec.call_ms * 1000)

    def add(self, name: str, amount: float, lifetime: int, now: int) -> float:
        """Add, and return the total. A new name starts at 0 and is forgotten after `life` (µs)."""
        self._sweep(now)
        total, until = self.counts.get(name, (0.0, 0))
        if until <= now:
            total, until = 0.0, now + min(lifetime, MAX_LIFETIME)
        total = float(f"{total + amount:.7g}")  # seven digits of a total are exact
        self.counts[name] = (total, until)
        return total

    def _sweep(self, now: int) -> None:
        """Once a second the names whose life is over go: their number stays that of a minute's names."""
        if now - self.swept > 1_000_000:
            self.swept = now
            self.counts = {name: kept for name, kept in self.counts.items() if kept[1] > now}

    def flush(self, share: float, rng: random.Random) -> int:
        """Forget that share of the names; how many went."""
        names = sorted(self.counts)
        lost = rng.sample(names, round(share * len(names)))
        for name in lost:
            del self.counts[name]
        return len(lost)


class _CounterConnection(asyncio.Protocol):
    """One connection of a front door. Calls are answered in their order."""

    def __init__(self, counter: CounterServer, front_door: int) -> None:
        self.counter, self.front_door = counter, front_door
        self.transport: asyncio.Transport | None = None
        self.rest = b""
        self.answers: deque[tuple[int, bytes]] = deque()  # when each is due (µs), in the order of their calls
        self.writing: asyncio.TimerHandle | None = None
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept, unless the front door has too many connections."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.counter.lines[self.front_door]) >= MOST_CONNECTIONS:
            self.transport.abort()
            return
        self.counter.lines[self.front_door][self] = None
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.transport = None
        self.counter.lines[self.front_door].pop(self, None)
        if self.idle is not None:
            self.idle.cancel()

    def _rest(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.idle = asyncio.get_running_loop().call_later(IDLE, self.close)

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Serve each complete line."""
        self._rest()
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.counter.call(self, line.rstrip(b"\r"))
        if len(self.rest) > MOST_LINE:
            self.close()

    def answer(self, due: int, text: bytes) -> None:
        """Write at `due` (µs), but not before what is ahead.

        One timer for the head of the line: with one for each answer, two that are due together went in the
        order in which a late loop had set their timers, and a call got another name's total.
        """
        self.answers.append((max(due, self.answers[-1][0] if self.answers else 0), text))
        if self.writing is None:
            self._write()

    def _write(self) -> None:
        self.writing = None
        while self.answers:
            due, text = self.answers[0]
            if (wait := due - self.counter.now()) > 0:
                self.writing = asyncio.get_running_loop().call_later(wait / 1e6, self._write)
                return
            self.answers.popleft()
            if self.transport is None:
                self.counter.late += 1  # its caller has gone; the amount was added all the same
            else:
                self.transport.write(text)


class CounterServer:
    """The counter service on sockets, an address for each front door, its faults as attributes and calls."""

    def __init__(self, spec: CounterSpec, now: Now, seed: int) -> None:
        self.now, self.model = now, CounterModel(spec)
        self.sides: dict[int, CounterModel] = {}  # by front door, while the counter service is split
        self.random = stream(seed, "keeper")
        self.lines: defaultdict[int, dict[_CounterConnection, None]] = defaultdict(dict)
        self.ports: dict[int, int] = {}
        self.servers: dict[int, asyncio.Server] = {}
        self.unresponsive = False
        self.spoil = 0.0  # share of answers that come spoilt
        # Counted: calls, calls rejected, calls that got no answer, answers whose caller had gone,
        # and what each front door added, by name.
        self.calls = self.busy = self.unanswered = self.late = 0
        self.added: defaultdict[tuple[int, str], float] = defaultdict(float)
        self.keep_adds = False  # the sums by name grow all day: only tests that read them ask for it

    async def start(self, front_doors: range) -> None:
        """Listen, with an address for each front door; the same addresses after a restart."""
        loop = asyncio.get_running_loop()
        for front_door in front_doors:
            if front_door not in self.servers:
                server = await loop.create_server(
                    partial(_CounterConnection, self, front_door), "127.0.0.1", self.ports.get(front_door, 0)
                )
                self.servers[front_door] = server
                self.ports[front_door] = int(server.sockets[0].getsockname()[1])

    def refuse(self) -> None:
        """End the process: connections are reset, new ones refused."""
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        for line in [line for lines in self.lines.values() for line in lines]:
            line.close()

    async def restart(self, front_doors: range, empty: bool) -> None:
        """Back at the same addresses, with its counts or with none."""
        if empty:
            self.model.counts.clear()
        await self.start(front_doors)

    async def move(self, front_doors: range, patience: float = 1.5) -> None:
        """Take new addresses; the old ones accept no more and close what is open after `patience` s.

        (LATER, New configurations and restarts.)
        """
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.ports.clear()
        old = [line for lines in self.lines.values() for line in lines]
        await self.start(front_doors)
        loop = asyncio.get_running_loop()
        for line in old:
            loop.call_later(patience, line.close)

    def flush(self, share: float) -> int:
        """Forget that share of the names; how many were lost."""
        return self.model.flush(share, self.random)

    async def forget(self, share: float) -> int:
        """As `flush`; a counter service in another process takes its time."""
        return self.flush(share)

    def put(self, what: str, value: float) -> None:
        """One of its conditions: `silent` (0 or 1), `spoil` (a share) or `slower` (times)."""
        if what == "slower":
            self.model.slower = value
        elif what == "silent":
            self.unresponsive = bool(value)
        else:
            self.spoil = value

    def split(self, *groups: Iterable[int]) -> None:
        """Parted in two or more that cannot see each other: each group of front doors has its own from now on.

        All begin with the counts that there are; the first group keeps the counter service's own model.
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
        """One again, with the counts of the side that `front door` was on; the first side's where it is None.

        What was added on the other sides is lost, as when a replica that was cut off is set back.
        """
        if front_door is not None:
            self.model = self.sides.get(front_door, self.model)
        self.sides = {}

    def close(self) -> None:
        """Stop serving."""
        self.refuse()

    def call(self, line: _CounterConnection, text: bytes) -> None:
        """One line of a front door."""
        now = self.now()
        if text == b"ping":
            if not self.unresponsive:
                line.answer(now, b"pong\r\n")
            return
        call = read_call(text)
        if call is None:
            if not self.unresponsive:
                line.answer(now, b"error\r\n")
            return
        self.calls += 1
        if self.unresponsive:
            self.unanswered += 1
            return
        name, amount, lifetime = call
        model = self.sides.get(line.front_door, self.model)
        due = model.serve(name, now)
        if due is None:
            self.busy += 1
            return line.answer(now, b"busy\r\n")
        total = model.add(name, amount, lifetime, now)
        if self.keep_adds:
            self.added[line.front_door, name] += amount
        if self.spoil and self.random.random() < self.spoil:
            return line.answer(due, b"ok \xff\x00 no number\r\n")
        line.answer(due, f"ok {total:.9g}\r\n".encode())


def read_call(text: bytes) -> tuple[str, float, int] | None:
    """`tally NAME AMOUNT LIFE` to name, amount and life in µs; None where it is no such call."""
    if len(text) > MOST_LINE or not text.isascii():
        return None
    tokens = text.decode().split(" ")
    if len(tokens) != 4 or tokens[0] != "tally" or not 1 <= len(tokens[1].encode()) <= 64:
        return None
    if not AMOUNT.fullmatch(tokens[2]) or not (tokens[3].isdigit() and 1 <= int(tokens[3]) < 10**12):
        return None
    amount = float(tokens[2])
    if not math.isfinite(amount) or abs(amount) > MOST_AMOUNT:
        return None
    return tokens[1], amount, min(int(tokens[3]) * 1000, MAX_LIFETIME)
