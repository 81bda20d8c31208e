"""Connections to backends, and attempts, each of which ends in exactly one `Result`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, cast

import httptools

from cresspulley.interface import LoadReport, Result
from cresspulley.wire import COLUMNS
from irisdeal.config import Address, Config

log = logging.getLogger("irisdeal.backends")

MOST_BODY = 65_536
MOST_HEAD = 16_384
IDLE_SHARE = 0.5  # of the set idle time: a request on a connection closed meanwhile ends as a reset
TOLD_LOAD = {  # the names of load figures, as in the settings and as plain words
    **COLUMNS, "inflight": "in_hand", "queue": "waiting", "util": "busy", "latency_ms": "service_ms",
    "qps": "served_per_s", "eps": "errors_per_s"}


class Answer:
    """What a backend answered."""

    __slots__ = ("body", "content_type", "load", "never_ran", "size", "status", "usage")

    def __init__(self) -> None:
        self.status = self.size = 0
        self.body = self.content_type = b""
        self.never_ran = False
        self.usage: int | None = None
        self.load: LoadReport | None = None


def read_load(text: bytes) -> LoadReport | None:
    """A load report; figures that are unknown or no numbers are passed over."""
    found: dict[str, float] = {}
    for part in text.decode("latin-1").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        field = TOLD_LOAD.get(name.strip())
        try:
            number = float(value)
        except ValueError:
            continue
        if field and 0 <= number < 1e9:
            found[field] = number
    return LoadReport(**found) if found else None


def outcome(answer: Answer) -> Result:
    """The protocol's table of outcomes, for whole answers."""
    if answer.status == 200:
        return Result.OK
    if answer.status in (503, 504) and answer.never_ran:
        return Result.TURNED_AWAY
    return Result.ERROR  # it may have run


class Attempt:
    """One attempt of a request, out until `finish`."""

    __slots__ = ("address", "connection", "done", "number", "on_end", "payload", "request", "sent", "server",
                 "timer")

    def __init__(
        self, request: Any, number: int, server: bytes, sent: int,
        on_end: Callable[[Attempt, Result, Answer | None], None],
    ) -> None:
        self.request, self.number, self.server, self.sent, self.on_end = request, number, server, sent, on_end
        self.address: Address = ("", 0)
        self.payload = b""
        self.connection: Backend | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.done = False

    def finish(self, result: Result, answer: Answer | None = None) -> None:
        """Its one end; what comes later is dropped."""
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection, self.payload = self.connection, None, b""
        if connection is not None:
            connection.leave()
        self.on_end(self, result, answer)

    def time_out(self) -> None:
        # A request that was never written cannot have run, however long the connection took.
        unwritten = self.connection is None or not self.connection.written
        self.finish(Result.NOT_CONNECTED if unwritten else Result.TIMED_OUT)


class Backend(asyncio.Protocol):
    """One connection to a backend. It carries one request at a time."""

    def __init__(self, pool: Pool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.written = self.lost = False
        self.idle_since = 0.0
        self.connecting: asyncio.Task[None] | None = None
        self.answer = Answer()
        self.parts: list[bytes] = []
        self.head_size = 0
        self.whole = self.reusable = False

    # For the pool

    def carry(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        if self.transport is not None:
            self._write()

    def _write(self) -> None:
        assert self.transport is not None and self.attempt is not None
        self.written = True  # what the kernel takes may run: from here a break is a reset
        self.transport.write(self.attempt.payload)
        self.attempt.payload = b""

    def leave(self) -> None:
        """The attempt has ended: back to the pool after a whole answer, else closed."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.whole and not self.lost and self.reusable:
            self.written = self.whole = False
            self.pool.rest(self)
        else:
            self.drop()

    def drop(self) -> None:
        """Close at once; the backend need not hear why."""
        self.lost = True
        self.pool.forget(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.connecting is not None:
            self.connecting.cancel()

    async def connect(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                await self.pool.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            # Time may run out in the turn in which it came up and the request was written.
            self._end(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)
            log.warning("no connection to %s:%d: %s", *self.address, error or "timed out")

    def _end(self, result: Result, answer: Answer | None = None) -> None:
        attempt = self.attempt
        if result is not Result.OK and answer is None:
            self.lost = True
            self.pool.forget(self)
        if attempt is not None:
            attempt.finish(result, answer)

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        if self.lost or self.attempt is None:
            self.drop()
        else:
            self._write()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:  # an answer to nothing
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            log.warning("odd answer from %s:%d: %s", *self.address, error.__context__ or error)
            self.whole = False
            self._end(Result.CONNECTION_LOST)  # it may have run
            return self.drop()
        if self.whole:
            answer = self.answer
            answer.body = b"".join(self.parts)
            self._end(outcome(answer), answer)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.whole:
            raise ValueError("a second answer to one request")
        self.answer, self.parts, self.head_size = Answer(), [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size > MOST_HEAD:
            raise ValueError(f"head over {MOST_HEAD} bytes")
        key = name.lower()
        if key == b"endpoint-load-metrics":
            self.answer.load = read_load(value)
        elif key == b"usage-percent":
            self.answer.usage = int(value) if value.isdigit() and len(value) < 10 else None
        elif key == b"x-never-ran":
            self.answer.never_ran = value.strip() == b"1"
        elif key == b"content-type":
            self.answer.content_type = value

    def on_body(self, body: bytes) -> None:
        self.answer.size += len(body)
        if self.answer.size > MOST_BODY:
            raise ValueError(f"body over {MOST_BODY} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:  # an interim answer is followed by the final one
            self.answer.status, self.whole = status, True
            self.reusable = self.parser.should_keep_alive()  # asked later, the parser has forgotten


class Pool:
    """The connections to all backends, bounded in number."""

    def __init__(self, config: Config, most: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.most = loop, most
        self.connect_timeout = config.connect_timeout / 1e6
        self.keep = config.keepalive / 1e6 * IDLE_SHARE
        self.idle: dict[Address, list[Backend]] = {}
        self.all: set[Backend] = set()
        loop.call_later(1.0, self._sweep)

    def send(self, attempt: Attempt) -> None:
        """On the newest idle connection, else on a new one."""
        resting = self.idle.get(attempt.address)
        while resting:
            connection = resting.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection.carry(attempt)
            connection.drop()
        if len(self.all) >= self.most and not self._make_room():
            log.warning("all %d connections to backends are busy", self.most)
            return attempt.finish(Result.NOT_CONNECTED)
        connection = Backend(self, attempt.address)
        self.all.add(connection)
        connection.carry(attempt)
        connection.connecting = self.loop.create_task(connection.connect(self.connect_timeout))

    def _make_room(self) -> bool:
        resting = [c for few in self.idle.values() for c in few]
        if resting:
            min(resting, key=lambda c: c.idle_since).drop()
        return bool(resting)

    def rest(self, connection: Backend) -> None:
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection: Backend) -> None:
        self.all.discard(connection)
        resting = self.idle.get(connection.address)
        if resting and connection in resting:
            resting.remove(connection)
        if not resting:
            self.idle.pop(connection.address, None)

    def close_idle(self, address: Address) -> None:
        for connection in list(self.idle.get(address, ())):
            connection.drop()

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        oldest = self.loop.time() - self.keep
        for resting in list(self.idle.values()):
            for connection in [c for c in resting if c.idle_since < oldest]:
                connection.drop()
