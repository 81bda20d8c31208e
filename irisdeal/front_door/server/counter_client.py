"""The pipelined line client of the counter: each call gets exactly one `CountAnswer`."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import zlib
from collections import deque
from collections.abc import Callable
from typing import cast

from irisdeal.front_door.decisions.interface import AddToCounter, CounterAnswered, Result
from irisdeal.front_door.server.config import Address

log = logging.getLogger("irisdeal.counter")

CONNECTIONS = 4  # one name keeps to one of them, so that its answers keep their order
MOST_UNANSWERED = 16  # on one connection: a silent counter must not find a pile when it is back
DEAD_AFTER = 10  # time-outs without an answer that is owed: the connection is given up
PING_EVERY = 2.0  # s: the counter closes a connection that stands idle
RECONNECT_PAUSE = 0.1  # s after a connection that brought no answer
RETIRED = 1.5  # s that a counter which has moved keeps its old connections open
MOST_LINE = 256
# float() takes more: 1_0, nan
TOTAL = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")


class Call:
    """A call, or a ping (name -1), from its start to its answer; `over` once its caller was answered."""

    __slots__ = ("at", "due", "line", "name", "over", "written")

    def __init__(self, name: int, line: bytes, at: float, due: float) -> None:
        self.name, self.line, self.at, self.due = name, line, at, due
        self.over, self.written = name < 0, False


def read_total(words: list[bytes]) -> float | None:
    """The total of an `ok` line; None where it holds no finite number."""
    if len(words) != 2 or words[0] != b"ok" or not TOTAL.fullmatch(words[1]):
        return None
    total = float(words[1])
    return total if math.isfinite(total) else None


class Line(asyncio.Protocol):
    """One connection, opened at need. Its calls are answered in order, by the counter or by time."""

    def __init__(self, counter: Counter) -> None:
        self.counter, self.loop, self.address = counter, counter.loop, counter.address
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.calls: deque[Call] = deque()  # unanswered, oldest first
        self.rest = b""
        self.failing = self.heard = self.retired = False
        self.not_before = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due = 0.0
        self.last_heard = self.last_used = 0.0

    def call(self, call: Call) -> None:
        if len(self.calls) >= MOST_UNANSWERED or (self.transport is None and call.at < self.not_before):
            return self._answer(call, Result.NOT_CONNECTED)  # never written: nothing added
        if not self.calls:
            self.last_heard = call.at  # owed from now on
        self.calls.append(call)
        self.last_used = call.at
        if self.transport is not None:
            self._write(call)
        elif self.connecting is None:
            self.connecting = self.loop.create_task(self._connect())
        if self.timer is not None and call.due < self.timer_due:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self._time_out_at(call.due)

    def _time_out_at(self, due: float) -> None:
        self.timer_due = due
        self.timer = self.loop.call_later(max(0.0, due - self.loop.time()), self._time_out)

    def _write(self, call: Call) -> None:
        assert self.transport is not None
        call.written = True
        self.transport.write(call.line)

    def _answer(self, call: Call, result: Result, total: float = 0.0) -> None:
        if not call.over:
            call.over = True
            took = int((self.loop.time() - call.at) * 1e6)
            self.counter.on_answer(CounterAnswered(call.name, result, total, took))

    def retire(self) -> list[Call]:
        """The counter has moved: what is written ends here, the rest is handed back for the new place."""
        self.retired = True
        if self.connecting is not None:
            self.connecting.cancel()
        unwritten = [c for c in self.calls if not (c.written or c.over)]
        self.calls = deque(c for c in self.calls if c.written)
        if self.calls:
            self.loop.call_later(RETIRED, self._give_up, "moved")
        else:
            self._give_up("moved")
        return unwritten

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(max(0.25, self.counter.timeout)):
                await self.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            self._give_up(f"cannot be reached: {error or 'timed out'}")
        finally:
            self.connecting = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        if self.retired:
            return transport.abort()
        self.transport, self.rest, self.heard = transport, b"", False
        self.last_heard = self.loop.time()
        self.calls = deque(c for c in self.calls if not c.over)  # not written in time: not sent at all
        for call in self.calls:
            self._write(call)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self._give_up(f"connection ended: {exc or 'closed'}")

    def _give_up(self, why: str) -> None:
        """Whatever is unanswered ends here: written calls may have been added, others were not."""
        if not (self.failing or self.retired):  # once, not on each attempt to be back
            self.failing = True
            log.warning("counter: %s", why)
        transport, self.transport = self.transport, None
        # One that has just answered is worth another connection at once; a dead one must not cost the CPU.
        self.not_before = self.loop.time() + (0 if transport and self.heard else RECONNECT_PAUSE)
        calls, self.calls = self.calls, deque()
        for call in calls:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if transport is not None:
            transport.abort()

    def _time_out(self) -> None:
        """End overdue calls; their late answers are still matched, or the connection is dropped."""
        now, self.timer = self.loop.time(), None
        for call in [c for c in self.calls if not c.over and c.due <= now + 0.0005]:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if waiting := [c.due for c in self.calls if not c.over]:
            self._time_out_at(min(waiting))
        if self.calls and self.transport is not None and self._is_dead(now):
            self._give_up(f"stuck in a line, {self.rest[:80]!r}" if self.rest else "silent")

    def _is_dead(self, now: float) -> bool:
        # Part of a line for so long is noise without an end: answers behind it cannot be told.
        patience = 0.5 if self.rest else DEAD_AFTER
        return now - self.last_heard > patience * self.counter.timeout

    def data_received(self, data: bytes) -> None:
        if self.transport is None:  # given up: what still comes answers nothing
            return
        if not self.rest:
            self.last_heard = self.loop.time()  # bytes that drip into one line are no answer
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.last_heard = self.loop.time()
            if not self.calls:
                return self._odd(line)
            call, words = self.calls.popleft(), line.split()
            if call.name < 0:
                if words != [b"pong"]:
                    return self._odd(line)
            elif (total := read_total(words)) is not None:
                self._heard()
                self._answer(call, Result.OK, total)
            elif words == [b"busy"] or words[:1] == [b"error"]:
                self._heard()
                if words != [b"busy"]:
                    log.warning("counter: %s to %s", line, call.line)
                self._answer(call, Result.TURNED_AWAY)
            else:
                self._answer(call, Result.TIMED_OUT)  # it may have been added
                return self._odd(line)
        if len(self.rest) > MOST_LINE:
            self._odd(self.rest)
        elif self.retired and not self.calls:
            self._give_up("moved")

    def _heard(self) -> None:
        self.heard = True
        if self.failing:
            self.failing = False
            log.info("counter answers again")

    def _odd(self, line: bytes) -> None:
        """Answers no longer match their calls."""
        self._give_up(f"odd line {line[:80]!r}")

    def ping(self) -> None:
        now = self.loop.time()
        if self.transport is None:
            return
        if self.calls and self._is_dead(now):
            self._give_up("silent")
        elif not self.calls and now - self.last_used > PING_EVERY:
            self.call(Call(-1, b"ping\r\n", now, now))


class Counter:
    """Deals calls out to a few lines, by name."""

    def __init__(
        self,
        address: Address,
        timeout: int,
        on_answer: Callable[[CounterAnswered], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address, self.timeout, self.on_answer, self.loop = address, timeout / 1e6, on_answer, loop
        self.lines = [Line(self) for _ in range(CONNECTIONS)]
        loop.call_later(PING_EVERY / 2, self._ping)

    def count(self, action: AddToCounter) -> None:
        name = b"%x" % action.counter_name
        life = max(1, math.ceil(action.lifetime_us / 1000))
        line = b"tally %s %s %d\r\n" % (name, f"{action.amount:.9g}".encode(), life)
        now = self.loop.time()
        self._deal(Call(action.counter_name, line, now, now + max(self.timeout, action.max_wait_us / 1e6)))

    def _deal(self, call: Call) -> None:
        self.lines[zlib.crc32(b"%x" % call.name) % CONNECTIONS].call(call)

    def move(self, address: Address) -> None:
        """New calls go to another address; each that is written ends where it was written, and only there."""
        if address == self.address:
            return
        old, self.address = self.lines, address
        self.lines = [Line(self) for _ in range(CONNECTIONS)]
        for line in old:
            for call in line.retire():
                self._deal(call)

    def _ping(self) -> None:
        self.loop.call_later(PING_EVERY / 2, self._ping)
        for line in self.lines:
            line.ping()
