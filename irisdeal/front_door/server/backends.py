"""Connections to backends, and attempts, each of which ends in exactly one `Result`."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

import httptools

from irisdeal.front_door.decisions.interface import LoadReport, Result
from irisdeal.front_door.decisions.simulator_wire import LOAD_REPORT_ATTRIBUTES
from irisdeal.front_door.server.config import Address, Config
from irisdeal.front_door.server.host import Host

if TYPE_CHECKING:
    from irisdeal.front_door.streaming.byte_budget import ByteBudget

log = logging.getLogger("irisdeal.backends")

MOST_BODY = 65_536
MOST_HEAD = 16_384
MOST_STREAM = 64 << 20  # bytes of an answer that is passed on: twice the longest there are
READ = 65_536  # bytes that one read of a stream brings at most: `MAX_READ_BYTES` of the byte budget
UNSENT = 65_536  # bytes of a body that may wait for a backend to read
SOON = 0.1  # s after its head: an answer of unknown length is passed on from here
OWS = b" \t"  # round a field's value, and no part of it (RFC 9110, 5.5)
MOST_INTERIM = 16  # 1xx answers ahead of one that counts
IDLE_SHARE = 0.5  # of the set idle time: a request on a connection closed meanwhile ends as a reset
# Some close sooner: a request on a dead connection costs far more than a new connection.
LEAST_KEEP, KEEP_LESS, KEEP_MORE = 0.05, 0.8, 1.02  # s; times after a dead one; after a good one as old
KEEP_AGAIN = 1.1  # times each second
REST = 0.01  # s before a connection is used again: bytes that belong to no answer show within that time
STALLED = 0.25  # s for the rest of an answer that has begun: backends write theirs whole
# The most of each figure that a backend can mean; beyond it is noise.
MOST_LOAD = {"in_flight": 10_000.0, "queued": 10_000.0, "busy": 1.5, "service_ms": 60_000.0}
TOLD_LOAD = {  # the names of load figures, as in the settings and as plain words
    **LOAD_REPORT_ATTRIBUTES,
    "inflight": "in_flight",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}


class Outlet(Protocol):
    """Where an answer goes that is passed on as it comes (`flows.py`)."""

    source: Backend | None

    def feed(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def abort(self) -> None: ...


class Body(Protocol):
    """A request's body that is still on its way (`flows.py`)."""

    def attach(self, sink: Backend) -> None: ...

    def detach(self, sink: Backend) -> None: ...

    def pour(self) -> None: ...


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
        if field and 0 <= number <= MOST_LOAD.get(field, 1e6):
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

    __slots__ = (
        "address",
        "bodiless",
        "body",
        "connection",
        "done",
        "number",
        "on_end",
        "on_stream",
        "payload",
        "request",
        "sent",
        "server",
        "timer",
        "took",
    )

    def __init__(
        self,
        request: Any,
        number: int,
        server: bytes,
        sent: int,
        on_end: Callable[[Attempt, Result, Answer | None], None],
    ) -> None:
        self.request, self.number, self.server, self.sent, self.on_end = request, number, server, sent, on_end
        self.address: Address = ("", 0)
        self.payload = b""
        self.body: Body | None = None  # what follows the payload as it comes
        # Called where an answer is passed on as it comes; None: it has nowhere to go.
        self.on_stream: Callable[[Attempt, Answer, int | None], Outlet | None] = lambda *_: None
        self.took: int | None = None  # µs to the first bytes of an answer that is passed on
        self.bodiless = False  # HEAD: its answer ends with its head
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

    def is_written(self) -> bool:
        return self.connection is not None and self.connection.written

    def time_out(self) -> None:
        # A request that was never written cannot have run, however long the connection took.
        self.finish(Result.TIMED_OUT if self.is_written() else Result.NOT_CONNECTED)


def small_reads(transport: asyncio.Transport) -> None:
    """No read of this connection brings more than a budget reckons with (`byte_budget.MAX_READ_BYTES`)."""
    made = transport.get_extra_info("socket")
    if made is not None:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ // 2)


class Backend(asyncio.Protocol):
    """One connection to a backend. It carries one request at a time."""

    def __init__(self, pool: Pool, server: bytes, address: Address) -> None:
        self.pool, self.server, self.address = pool, server, address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.written = self.lost = self.retired = False
        self.idle_since = 0.0
        self.rested: float | None = None  # s before the present request; None on a new connection
        self.file = -1
        self.connecting: asyncio.Task[None] | None = None
        self.stalled: asyncio.TimerHandle | None = None
        self.answer = Answer()
        self.parts: list[bytes] = []
        self.head_size = self.interim = 0
        self.begun = self.whole = self.reusable = False
        # What only a door that passes long bodies on needs:
        self.body: Body | None = None
        self.flow: Outlet | None = None
        self.length: int | None = None
        self.chunked = self.until_close = self.in_trailer = False
        self.choked = self.ending = self.held = False
        self.heard = 0.0
        self.soon: asyncio.TimerHandle | None = None

    # For the pool

    def carry(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        if self.transport is not None:
            self._write()

    def _write(self) -> None:
        assert self.transport is not None and self.attempt is not None
        payload, self.attempt.payload = self.attempt.payload, b""
        if self.attempt.body is not None:
            self.body = self.attempt.body
            self.transport.set_write_buffer_limits(high=UNSENT)
            self.transport.write(payload)
            return self.body.attach(self)
        self._is_written()
        self.transport.write(payload)

    def _is_written(self) -> None:
        """What the kernel takes may run: from here a break is a reset."""
        self.written = True
        self.pool.written += 1

    # A body that follows as it comes

    def put(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def end_body(self, data: bytes) -> None:
        """The last of it; it has left once nothing of it waits any more."""
        if self.transport is None or self.ending:
            return
        self.ending = True
        self.transport.write(data)
        self.transport.set_write_buffer_limits(high=0)
        if not self.transport.get_write_buffer_size():
            self._is_written()

    def pause_writing(self) -> None:
        self.choked = True

    def resume_writing(self) -> None:
        self.choked = False
        if self.ending:
            if not self.written:
                self._is_written()
        elif self.body is not None:
            self.body.pour()

    # An answer that is passed on

    def hold(self) -> None:
        """Whoever it goes to does not read: neither do we."""
        if not self.held and self.transport is not None:
            self.held = True
            self.transport.pause_reading()

    def release(self) -> None:
        if self.held and self.transport is not None:
            self.held, self.heard = False, self.pool.loop.time()
            self.transport.resume_reading()

    def give_up(self) -> None:
        """Nobody wants the rest of the answer."""
        if self.attempt is not None:
            self.attempt.finish(Result.CANCELLED)

    def _pass_on(self) -> None:
        if self.attempt is None or self.flow is not None or self.whole:
            return
        if self.written:  # an answer ahead of the body's end is none to this request
            self.flow = self.attempt.on_stream(self.attempt, self.answer, self.length)
        if self.flow is None:
            self._end(Result.ERROR)
            return self.drop()
        self.flow.source = self
        for part in self.parts:
            self.flow.feed(part)
        self.parts = []

    def leave(self) -> None:
        """The attempt has ended: back to the pool after a whole answer, else closed."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        if self.pool.budget is not None:
            self._leave_streams()
        if self.whole and self.rested is not None:
            self.pool.learn(self.rested, True)
        if self.whole and self.reusable and not (self.lost or self.retired):
            self.written = self.whole = False
            self.pool.rest(self)
        else:
            self.drop()

    def _leave_streams(self) -> None:
        if self.soon is not None:
            self.soon.cancel()
            self.soon = None
        body, self.body = self.body, None
        if body is not None:
            self.reusable = self.reusable and self.written  # an answer ahead of the body's end
            body.detach(self)
            if self.transport is not None and self.reusable:
                self.transport.set_write_buffer_limits()
        self.ending = False
        flow, self.flow = self.flow, None
        if flow is not None:
            self.release()
            if not self.whole:
                flow.abort()

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
        finally:
            self.connecting = None

    def is_clean(self) -> bool:
        """Nothing has come since the last answer: what came would be taken for the next one."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not self.pool.host.has_bytes(self.file)

    def _stall(self) -> None:
        if self.pool.budget is not None and self.attempt is not None:
            least = self.pool.stream_stall if self.flow is not None else self.pool.stall_time
            stood = 0.0 if self.held else self.pool.loop.time() - self.heard
            if stood < least:  # it still flows, or it is we who do not read
                self.stalled = self.pool.loop.call_later(least - stood, self._stall)
                return
        if self.attempt is not None:
            log.warning("an answer from %s:%d stopped half way", *self.address)
            self._end(Result.CONNECTION_LOST)
            self.drop()

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
            return self.drop()
        if self.pool.budget is not None:
            small_reads(transport)
        self.parser = httptools.HttpResponseParser(self)
        self.file = transport.get_extra_info("socket").fileno()
        self._write()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.until_close and self.begun and self.attempt is not None:
            self.begun, self.whole, self.reusable, self.lost = False, True, False, True
            self.parser = self.transport = None
            self.pool.forget(self)
            return self._whole()
        self.parser = self.transport = None  # parser and connection hold each other
        if self.attempt is not None and self.rested is not None and not self.begun:
            self.pool.learn(self.rested, False)  # closed while it stood idle, and not seen in time
        self._end(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:  # an answer to nothing
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            log.warning("odd answer from %s:%d: %s", *self.address, error.__context__ or error)
            self.reusable = False
            if not self.whole:  # behind a whole answer it takes nothing from that one
                self._end(Result.CONNECTION_LOST)  # it may have run
                return self.drop()
        if self.whole:
            self._whole()
        elif self.begun:
            if self.pool.budget is not None:
                self.heard = self.pool.loop.time()
            if self.stalled is None:
                self.stalled = self.pool.loop.call_later(self.pool.stall_time, self._stall)

    def _whole(self) -> None:
        answer = self.answer
        if self.flow is not None:
            self.flow.end()
        else:
            answer.body = b"".join(self.parts)
        self._end(outcome(answer), answer)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.whole:
            raise ValueError("more than one answer to one request")
        self.answer, self.parts, self.head_size, self.begun = Answer(), [], 0, True
        self.length, self.chunked, self.until_close, self.in_trailer = None, False, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size > MOST_HEAD:
            raise ValueError(f"head over {MOST_HEAD} bytes")
        if self.in_trailer:  # behind the body: no header of the answer
            return
        key, value = name.lower(), value.strip(OWS)
        if key == b"content-length":
            if self.attempt is not None and self.attempt.bodiless:
                return  # what GET would bring
            most = MOST_BODY if self.pool.budget is None else MOST_STREAM
            if len(value) > 9 or int(value) > most:  # an answer of gigabytes is not waited for
                raise ValueError(f"body over {most} bytes")
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"endpoint-load-metrics":
            self.answer.load = read_load(value)
        elif key == b"usage-percent":
            self.answer.usage = int(value) if value.isdigit() and len(value) < 10 else None
        elif key == b"x-never-ran":
            self.answer.never_ran = value.strip() == b"1"
        elif key == b"content-type":
            self.answer.content_type = value

    def on_headers_complete(self) -> None:
        """An answer to HEAD is whole here; the parser waits for a body, so the connection ends with it."""
        assert self.parser is not None
        if self.attempt is not None and self.attempt.bodiless and self.parser.get_status_code() >= 200:
            self.begun, self.reusable = False, False
            self.answer.status, self.whole, self.interim = self.parser.get_status_code(), True, 0
        elif (status := self.parser.get_status_code()) >= 200:
            self.in_trailer = True
            if self.pool.budget is None:
                return
            self.answer.status = status
            self.until_close = self.length is None and not self.chunked and status not in (204, 304)
            if status == 200 and self.length is None:
                self.soon = self.pool.loop.call_later(SOON, self._pass_on)
            elif status == 200 and self.length is not None and self.length > MOST_BODY:
                self._pass_on()

    def on_body(self, body: bytes) -> None:
        if self.attempt is not None and self.attempt.bodiless:
            return  # it should not be there; the connection ends anyway
        if self.flow is not None:
            return self.flow.feed(body)
        self.answer.size += len(body)
        self.parts.append(body)
        if self.answer.size > MOST_BODY:
            if self.pool.budget is None or self.answer.status != 200:
                raise ValueError(f"body over {MOST_BODY} bytes")
            self._pass_on()

    def on_message_complete(self) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        self.begun = False
        if self.whole:  # an answer to HEAD that says it has no body
            return
        if status >= 200:  # an interim answer is followed by the final one
            self.answer.status, self.whole, self.interim = status, True, 0
            self.reusable = self.parser.should_keep_alive()  # asked later, the parser has forgotten
        else:
            self.interim += 1
            if self.interim > MOST_INTERIM:
                raise ValueError("interim answers without end")


class Pool:
    """The connections to all backends, bounded in number."""

    def __init__(
        self,
        config: Config,
        most: int,
        loop: asyncio.AbstractEventLoop,
        host: Host | None = None,
    ) -> None:
        self.host = host or Host()
        self.loop, self.most, self.rest_time, self.stall_time = loop, most, REST, STALLED
        self.budget: ByteBudget | None = None  # where long bodies are passed on
        self.stream_stall = 0.0
        self.connect_timeout = config.connect_timeout / 1e6
        self.keep = self.longest = config.keepalive / 1e6 * IDLE_SHARE
        # By backend, not by address: a new backend may stand where another one stood.
        self.idle: dict[bytes, list[Backend]] = {}
        self.all: set[Backend] = set()
        self.written = 0  # attempts whose last byte has left
        loop.call_later(1.0, self._sweep)

    def send(self, attempt: Attempt) -> None:
        """On the newest connection that has rested, else on a new one."""
        if connection := self._rested(attempt.server):
            return connection.carry(attempt)
        if len(self.all) >= self.most and not self._make_room():
            log.warning("all %d connections to backends are busy", self.most)
            return attempt.finish(Result.NOT_SENT)  # our want of descriptors says nothing of the backend
        connection = Backend(self, attempt.server, attempt.address)
        self.all.add(connection)
        connection.carry(attempt)
        connection.connecting = self.loop.create_task(connection.connect(self.connect_timeout))

    def _rested(self, server: bytes) -> Backend | None:
        resting, now = self.idle.get(server, []), self.loop.time()
        for n in range(len(resting) - 1, -1, -1):
            if resting[n].idle_since <= now - self.rest_time:
                connection = resting.pop(n)
                connection.rested = now - connection.idle_since
                if connection.rested <= self.keep and connection.is_clean():
                    return connection
                connection.drop()
        return None

    def recover(self) -> None:
        """Once a second: where none may rest, none would show that it could."""
        self.keep = min(self.longest, self.keep * KEEP_AGAIN)

    def learn(self, rested: float, good: bool) -> None:
        """How long connections may rest: less than those that were found dead, in time again more."""
        if not good:
            self.keep = max(LEAST_KEEP, min(self.keep, rested) * KEEP_LESS)
        elif rested > self.keep * KEEP_LESS:
            self.keep = min(self.longest, self.keep * KEEP_MORE)

    def _make_room(self) -> bool:
        resting = [c for few in self.idle.values() for c in few]
        if resting:
            min(resting, key=lambda c: c.idle_since).drop()
        return bool(resting)

    def rest(self, connection: Backend) -> None:
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.server, []).append(connection)

    def forget(self, connection: Backend) -> None:
        self.all.discard(connection)
        resting = self.idle.get(connection.server)
        if resting and connection in resting:
            resting.remove(connection)
        if not resting:
            self.idle.pop(connection.server, None)

    def close_idle(self, server: bytes) -> None:
        for connection in list(self.idle.get(server, ())):
            connection.drop()

    def retire(self, server: bytes) -> None:
        """It has moved or is gone: its connections carry nothing more than what they have."""
        self.close_idle(server)
        for connection in self.all:
            if connection.server == server:
                connection.retired = True

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        self.recover()
        oldest = self.loop.time() - self.keep
        for resting in list(self.idle.values()):
            for connection in [c for c in resting if c.idle_since < oldest]:
                connection.drop()
