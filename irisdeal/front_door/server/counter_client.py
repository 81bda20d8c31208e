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

CONNECTION_COUNT = 4  # one name keeps to one of them, so that its answers keep their order
MAX_PENDING_CALLS = 16  # on one connection: a silent counter must not find a pile when it is back
DEAD_AFTER_TIMEOUT_COUNT = 10  # time-outs without an answer that is owed: the connection is given up
PING_INTERVAL_S = 2.0  # s: the counter closes a connection that stands idle
RECONNECT_DELAY_S = 0.1  # s after a connection that brought no answer
MOVED_CONNECTION_TIMEOUT_S = 1.5  # s that a counter which has moved keeps its old connections open
MAX_LINE_BYTES = 256
# float() takes more: 1_0, nan
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")


class CounterCall:
    """A call, or a ping (name -1), from its start to its answer; `over` once its caller was answered."""

    __slots__ = ("deadline", "is_answered", "line", "name", "started_at", "written")

    def __init__(self, name: int, line: bytes, at: float, due: float) -> None:
        self.name, self.line, self.started_at, self.deadline = name, line, at, due
        self.is_answered, self.written = name < 0, False


def parse_total(words: list[bytes]) -> float | None:
    """The total of an `ok` line; None where it holds no finite number."""
    if len(words) != 2 or words[0] != b"ok" or not TOTAL_PATTERN.fullmatch(words[1]):
        return None
    total = float(words[1])
    return total if math.isfinite(total) else None


class CounterConnection(asyncio.Protocol):
    """One connection, opened at need. Its calls are answered in order, by the counter or by time."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.loop, self.address = counter, counter.loop, counter.address
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.calls: deque[CounterCall] = deque()  # unanswered, oldest first
        self.partial_line = b""
        self.is_failing = self.has_answered = self.is_retired = False
        self.reconnect_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_deadline = 0.0
        self.last_received_at = self.last_used_at = 0.0

    def start_call(self, call: CounterCall) -> None:
        if len(self.calls) >= MAX_PENDING_CALLS or (
            self.transport is None and call.started_at < self.reconnect_at
        ):
            return self._answer(call, Result.NOT_CONNECTED)  # never written: nothing added
        if not self.calls:
            self.last_received_at = call.started_at  # owed from now on
        self.calls.append(call)
        self.last_used_at = call.started_at
        if self.transport is not None:
            self._write(call)
        elif self.connect_task is None:
            self.connect_task = self.loop.create_task(self._connect())
        if self.timer is not None and call.deadline < self.timer_deadline:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self._schedule_timeout(call.deadline)

    def _schedule_timeout(self, due: float) -> None:
        self.timer_deadline = due
        self.timer = self.loop.call_later(max(0.0, due - self.loop.time()), self._time_out_calls)

    def _write(self, call: CounterCall) -> None:
        assert self.transport is not None
        call.written = True
        self.transport.write(call.line)

    def _answer(self, call: CounterCall, result: Result, total: float = 0.0) -> None:
        if not call.is_answered:
            call.is_answered = True
            took = int((self.loop.time() - call.started_at) * 1e6)
            self.counter.on_answer(CounterAnswered(call.name, result, total, took))

    def retire(self) -> list[CounterCall]:
        """The counter has moved: what is written ends here, the rest is handed back for the new place."""
        self.is_retired = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        unwritten = [c for c in self.calls if not (c.written or c.is_answered)]
        self.calls = deque(c for c in self.calls if c.written)
        if self.calls:
            self.loop.call_later(MOVED_CONNECTION_TIMEOUT_S, self._fail_all_calls, "moved")
        else:
            self._fail_all_calls("moved")
        return unwritten

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(max(0.25, self.counter.timeout_s)):
                await self.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            self._fail_all_calls(f"cannot be reached: {error or 'timed out'}")
        finally:
            self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        if self.is_retired:
            return transport.abort()
        self.transport, self.partial_line, self.has_answered = transport, b"", False
        self.last_received_at = self.loop.time()
        self.calls = deque(c for c in self.calls if not c.is_answered)  # not written in time: not sent at all
        for call in self.calls:
            self._write(call)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self._fail_all_calls(f"connection ended: {exc or 'closed'}")

    def _fail_all_calls(self, why: str) -> None:
        """Whatever is unanswered ends here: written calls may have been added, others were not."""
        if not (self.is_failing or self.is_retired):  # once, not on each attempt to be back
            self.is_failing = True
            log.warning("counter: %s", why)
        transport, self.transport = self.transport, None
        # One that has just answered is worth another connection at once; a dead one must not cost the CPU.
        self.reconnect_at = self.loop.time() + (0 if transport and self.has_answered else RECONNECT_DELAY_S)
        calls, self.calls = self.calls, deque()
        for call in calls:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if transport is not None:
            transport.abort()

    def _time_out_calls(self) -> None:
        """End overdue calls; their late answers are still matched, or the connection is dropped."""
        now, self.timer = self.loop.time(), None
        for call in [c for c in self.calls if not c.is_answered and c.deadline <= now + 0.0005]:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if waiting := [c.deadline for c in self.calls if not c.is_answered]:
            self._schedule_timeout(min(waiting))
        if self.calls and self.transport is not None and self._is_dead(now):
            self._fail_all_calls(
                f"stuck in a line, {self.partial_line[:80]!r}" if self.partial_line else "silent"
            )

    def _is_dead(self, now: float) -> bool:
        # Part of a line for so long is noise without an end: answers behind it cannot be told.
        patience = 0.5 if self.partial_line else DEAD_AFTER_TIMEOUT_COUNT
        return now - self.last_received_at > patience * self.counter.timeout_s

    def data_received(self, data: bytes) -> None:
        if self.transport is None:  # given up: what still comes answers nothing
            return
        if not self.partial_line:
            self.last_received_at = self.loop.time()  # bytes that drip into one line are no answer
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self.last_received_at = self.loop.time()
            if not self.calls:
                return self._reject_line(line)
            call, words = self.calls.popleft(), line.split()
            if call.name < 0:
                if words != [b"pong"]:
                    return self._reject_line(line)
            elif (total := parse_total(words)) is not None:
                self._mark_healthy()
                self._answer(call, Result.OK, total)
            elif words == [b"busy"] or words[:1] == [b"error"]:
                self._mark_healthy()
                if words != [b"busy"]:
                    log.warning("counter: %s to %s", line, call.line)
                self._answer(call, Result.REJECTED)
            else:
                self._answer(call, Result.TIMED_OUT)  # it may have been added
                return self._reject_line(line)
        if len(self.partial_line) > MAX_LINE_BYTES:
            self._reject_line(self.partial_line)
        elif self.is_retired and not self.calls:
            self._fail_all_calls("moved")

    def _mark_healthy(self) -> None:
        self.has_answered = True
        if self.is_failing:
            self.is_failing = False
            log.info("counter answers again")

    def _reject_line(self, line: bytes) -> None:
        """Answers no longer match their calls."""
        self._fail_all_calls(f"odd line {line[:80]!r}")

    def ping(self) -> None:
        now = self.loop.time()
        if self.transport is None:
            return
        if self.calls and self._is_dead(now):
            self._fail_all_calls("silent")
        elif not self.calls and now - self.last_used_at > PING_INTERVAL_S:
            self.start_call(CounterCall(-1, b"ping\r\n", now, now))


class CounterClient:
    """Deals calls out to a few lines, by name."""

    def __init__(
        self,
        address: Address,
        timeout: int,
        on_answer: Callable[[CounterAnswered], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address, self.timeout_s, self.on_answer, self.loop = address, timeout / 1e6, on_answer, loop
        self.connections = [CounterConnection(self) for _ in range(CONNECTION_COUNT)]
        loop.call_later(PING_INTERVAL_S / 2, self._ping)

    def count(self, action: AddToCounter) -> None:
        name = b"%x" % action.counter_name
        life = max(1, math.ceil(action.lifetime_us / 1000))
        line = b"tally %s %s %d\r\n" % (name, f"{action.amount:.9g}".encode(), life)
        now = self.loop.time()
        self._dispatch(
            CounterCall(action.counter_name, line, now, now + max(self.timeout_s, action.max_wait_us / 1e6))
        )

    def _dispatch(self, call: CounterCall) -> None:
        self.connections[zlib.crc32(b"%x" % call.name) % CONNECTION_COUNT].start_call(call)

    def move(self, address: Address) -> None:
        """New calls go to another address; each that is written ends where it was written, and only there."""
        if address == self.address:
            return
        old, self.address = self.connections, address
        self.connections = [CounterConnection(self) for _ in range(CONNECTION_COUNT)]
        for line in old:
            for call in line.retire():
                self._dispatch(call)

    def _ping(self) -> None:
        self.loop.call_later(PING_INTERVAL_S / 2, self._ping)
        for line in self.connections:
            line.ping()
