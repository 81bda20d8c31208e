"""Pipelined client of the counter's line protocol: each call gets exactly one `CountAnswer`."""

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

CONNECTION_COUNT = 4  # a name always uses the same connection, so that its responses stay in order
MAX_PENDING_CALLS = 16  # per connection: bounds the backlog after an outage of the counter
DEAD_AFTER_TIMEOUT_COUNT = 10  # timeouts without a response, until the connection is closed
PING_INTERVAL_S = 2.0  # the counter closes idle connections
RECONNECT_DELAY_S = 0.1  # after a connection without a response
MOVED_CONNECTION_TIMEOUT_S = 1.5  # for pending calls at the former address of the counter
MAX_LINE_BYTES = 256
# float() also accepts 1_0 and nan
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")


class CounterCall:
    """A call, or a ping (name -1). `is_answered` is set once the result is reported. Times are s."""

    __slots__ = ("deadline", "is_answered", "line", "name", "started_at", "written")

    def __init__(self, name: int, line: bytes, started_at: float, deadline: float) -> None:
        self.name, self.line, self.started_at, self.deadline = name, line, started_at, deadline
        self.is_answered, self.written = name < 0, False


def parse_total(words: list[bytes]) -> float | None:
    """The total of an `ok` line; None if it is not a finite number."""
    if len(words) != 2 or words[0] != b"ok" or not TOTAL_PATTERN.fullmatch(words[1]):
        return None
    total = float(words[1])
    return total if math.isfinite(total) else None


class CounterConnection(asyncio.Protocol):
    """One connection, opened on demand. Its calls end in order, or by their timeouts."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.loop, self.address = counter, counter.loop, counter.address
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.calls: deque[CounterCall] = deque()  # waiting for a response, oldest first
        self.partial_line = b""
        self.is_failing = self.has_answered = self.is_retired = False
        self.reconnect_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_deadline = 0.0
        self.last_received_at = self.last_used_at = 0.0

    def start_call(self, call: CounterCall) -> None:
        """Write a call, or fail it at once if too many are pending."""
        if len(self.calls) >= MAX_PENDING_CALLS or (
            self.transport is None and call.started_at < self.reconnect_at
        ):
            return self._answer(call, Result.NOT_CONNECTED)  # never written, so nothing was added
        if not self.calls:
            self.last_received_at = call.started_at  # a response is expected from now on
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

    def _schedule_timeout(self, deadline: float) -> None:
        self.timer_deadline = deadline
        self.timer = self.loop.call_later(max(0.0, deadline - self.loop.time()), self._time_out_calls)

    def _write(self, call: CounterCall) -> None:
        assert self.transport is not None
        call.written = True
        self.transport.write(call.line)

    def _answer(self, call: CounterCall, result: Result, total: float = 0.0) -> None:
        if not call.is_answered:
            call.is_answered = True
            took_us = int((self.loop.time() - call.started_at) * 1e6)
            self.counter.on_answer(CounterAnswered(call.name, result, total, took_us))

    def retire(self) -> list[CounterCall]:
        """Close after the written calls have ended: the counter has moved. Returns the calls not yet written."""
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
            self._fail_all_calls(f"cannot connect: {error or 'timed out'}")
        finally:
            self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if self.is_retired:
            return transport.abort()
        self.transport, self.partial_line, self.has_answered = transport, b"", False
        self.last_received_at = self.loop.time()
        self.calls = deque(c for c in self.calls if not c.is_answered)  # calls that timed out are not sent
        for call in self.calls:
            self._write(call)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self._fail_all_calls(f"connection ended: {exc or 'closed'}")

    def _fail_all_calls(self, reason: str) -> None:
        """Close the connection and end all calls: written ones may have been added, others were not."""
        if not (self.is_failing or self.is_retired):  # logged once, not for every reconnect
            self.is_failing = True
            log.warning("counter: %s", reason)
        transport, self.transport = self.transport, None
        # Reconnect at once if the connection had worked; the delay saves CPU time while the counter is down.
        self.reconnect_at = self.loop.time() + (0 if transport and self.has_answered else RECONNECT_DELAY_S)
        calls, self.calls = self.calls, deque()
        for call in calls:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if transport is not None:
            transport.abort()

    def _time_out_calls(self) -> None:
        """End overdue calls; late responses are still matched to them. Close a connection without responses."""
        now, self.timer = self.loop.time(), None
        for call in [c for c in self.calls if not c.is_answered and c.deadline <= now + 0.0005]:
            self._answer(call, Result.TIMED_OUT if call.written else Result.NOT_CONNECTED)
        if deadlines := [c.deadline for c in self.calls if not c.is_answered]:
            self._schedule_timeout(min(deadlines))
        if self.calls and self.transport is not None and self._is_dead(now):
            self._fail_all_calls(
                f"incomplete line {self.partial_line[:80]!r}" if self.partial_line else "silent"
            )

    def _is_dead(self, now: float) -> bool:
        # A line that stays incomplete blocks the responses after it.
        timeout_count = 0.5 if self.partial_line else DEAD_AFTER_TIMEOUT_COUNT
        return now - self.last_received_at > timeout_count * self.counter.timeout_s

    def data_received(self, data: bytes) -> None:
        if self.transport is None:  # closed, all calls have ended
            return
        if not self.partial_line:
            self.last_received_at = self.loop.time()  # parts of one line do not count as responses
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
                self._answer(call, Result.TIMED_OUT)  # the amount may have been added
                return self._reject_line(line)
        if len(self.partial_line) > MAX_LINE_BYTES:
            self._reject_line(self.partial_line)
        elif self.is_retired and not self.calls:
            self._fail_all_calls("moved")

    def _mark_healthy(self) -> None:
        self.has_answered = True
        if self.is_failing:
            self.is_failing = False
            log.info("counter is available again")

    def _reject_line(self, line: bytes) -> None:
        """Close the connection: responses no longer match their calls."""
        self._fail_all_calls(f"invalid line {line[:80]!r}")

    def ping(self) -> None:
        """Keep an idle connection open, or close a dead one."""
        now = self.loop.time()
        if self.transport is None:
            return
        if self.calls and self._is_dead(now):
            self._fail_all_calls("silent")
        elif not self.calls and now - self.last_used_at > PING_INTERVAL_S:
            self.start_call(CounterCall(-1, b"ping\r\n", now, now))


class CounterClient:
    """Client of the counter. Distributes calls over a few connections by name."""

    def __init__(
        self,
        address: Address,
        timeout_us: int,
        on_answer: Callable[[CounterAnswered], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address, self.timeout_s, self.on_answer, self.loop = address, timeout_us / 1e6, on_answer, loop
        self.connections = [CounterConnection(self) for _ in range(CONNECTION_COUNT)]
        loop.call_later(PING_INTERVAL_S / 2, self._ping)

    def count(self, action: AddToCounter) -> None:
        """Start a call; its `CountAnswer` goes to `on_answer`."""
        name = b"%x" % action.counter_name
        lifetime_ms = max(1, math.ceil(action.lifetime_us / 1000))
        line = b"tally %s %s %d\r\n" % (name, f"{action.amount:.9g}".encode(), lifetime_ms)
        now = self.loop.time()
        self._dispatch(
            CounterCall(action.counter_name, line, now, now + max(self.timeout_s, action.max_wait_us / 1e6))
        )

    def _dispatch(self, call: CounterCall) -> None:
        self.connections[zlib.crc32(b"%x" % call.name) % CONNECTION_COUNT].start_call(call)

    def move(self, address: Address) -> None:
        """Send further calls to another address; written calls end at the former one and are not repeated."""
        if address == self.address:
            return
        former, self.address = self.connections, address
        self.connections = [CounterConnection(self) for _ in range(CONNECTION_COUNT)]
        for connection in former:
            for call in connection.retire():
                self._dispatch(call)

    def _ping(self) -> None:
        self.loop.call_later(PING_INTERVAL_S / 2, self._ping)
        for connection in self.connections:
            connection.ping()
