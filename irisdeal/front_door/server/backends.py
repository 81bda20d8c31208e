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

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 16_384
MAX_STREAM_BYTES = 64 << 20  # bytes of an answer that is passed on: twice the longest there are
MAX_READ_BYTES = 65_536  # bytes that one read of a stream brings at most: `MAX_READ_BYTES` of the byte budget
WRITE_BUFFER_BYTES = 65_536  # bytes of a body that may wait for a backend to read
STREAM_DELAY_S = 0.1  # s after its head: an answer of unknown length is passed on from here
OPTIONAL_WHITESPACE = b" \t"  # round a field's value, and no part of it (RFC 9110, 5.5)
MAX_INTERIM_RESPONSES = 16  # 1xx answers ahead of one that counts
IDLE_TIME_RATIO = 0.5  # of the set idle time: a request on a connection closed meanwhile ends as a reset
# Some close sooner: a request on a dead connection costs far more than a new connection.
MIN_IDLE_LIMIT_S, IDLE_LIMIT_DECREASE_RATIO, IDLE_LIMIT_INCREASE_RATIO = 0.05, 0.8, 1.02
IDLE_LIMIT_RECOVERY_RATIO = 1.1  # times each second
MIN_IDLE_S = 0.01  # s before a connection is used again: bytes that belong to no answer show within that time
STALL_TIMEOUT_S = 0.25  # s for the rest of an answer that has begun: backends write theirs whole
# The most of each figure that a backend can mean; beyond it is noise.
MAX_LOAD = {"in_flight": 10_000.0, "queued": 10_000.0, "busy": 1.5, "service_ms": 60_000.0}
LOAD_FIELDS = {  # the names of load figures, as in the settings and as plain words
    **LOAD_REPORT_ATTRIBUTES,
    "inflight": "in_flight",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}


class ResponseSink(Protocol):
    """Where an answer goes that is passed on as it comes (`flows.py`)."""

    source: BackendConnection | None

    def feed(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def abort(self) -> None: ...


class RequestBody(Protocol):
    """A request's body that is still on its way (`flows.py`)."""

    def attach(self, sink: BackendConnection) -> None: ...

    def detach(self, sink: BackendConnection) -> None: ...

    def resume(self) -> None: ...


class BackendResponse:
    """What a backend answered."""

    __slots__ = ("body", "body_bytes", "content_type", "load_report", "never_ran", "status", "usage_percent")

    def __init__(self) -> None:
        self.status = self.body_bytes = 0
        self.body = self.content_type = b""
        self.never_ran = False
        self.usage_percent: int | None = None
        self.load_report: LoadReport | None = None


def parse_load_report(text: bytes) -> LoadReport | None:
    """A load report; figures that are unknown or no numbers are passed over."""
    found: dict[str, float] = {}
    for part in text.decode("latin-1").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        field = LOAD_FIELDS.get(name.strip())
        try:
            number = float(value)
        except ValueError:
            continue
        if field and 0 <= number <= MAX_LOAD.get(field, 1e6):
            found[field] = number
    return LoadReport(**found) if found else None


def response_result(answer: BackendResponse) -> Result:
    """The protocol's table of outcomes, for whole answers."""
    if answer.status == 200:
        return Result.OK
    if answer.status in (503, 504) and answer.never_ran:
        return Result.REJECTED
    return Result.ERROR  # it may have run


class Attempt:
    """One attempt of a request, out until `finish`."""

    __slots__ = (
        "address",
        "body",
        "connection",
        "done",
        "first_byte_us",
        "is_head_request",
        "number",
        "on_end",
        "on_stream",
        "payload",
        "request",
        "sent_at",
        "server",
        "timer",
    )

    def __init__(
        self,
        request: Any,
        number: int,
        server: bytes,
        sent: int,
        on_end: Callable[[Attempt, Result, BackendResponse | None], None],
    ) -> None:
        self.request, self.number, self.server, self.sent_at, self.on_end = (
            request,
            number,
            server,
            sent,
            on_end,
        )
        self.address: Address = ("", 0)
        self.payload = b""
        self.body: RequestBody | None = None  # what follows the payload as it comes
        # Called where an answer is passed on as it comes; None: it has nowhere to go.
        self.on_stream: Callable[[Attempt, BackendResponse, int | None], ResponseSink | None] = lambda *_: (
            None
        )
        self.first_byte_us: int | None = None  # µs to the first bytes of an answer that is passed on
        self.is_head_request = False  # HEAD: its answer ends with its head
        self.connection: BackendConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.done = False

    def finish(self, result: Result, answer: BackendResponse | None = None) -> None:
        """Its one end; what comes later is dropped."""
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection, self.payload = self.connection, None, b""
        if connection is not None:
            connection.detach_attempt()
        self.on_end(self, result, answer)

    def is_written(self) -> bool:
        return self.connection is not None and self.connection.written

    def time_out(self) -> None:
        # A request that was never written cannot have run, however long the connection took.
        self.finish(Result.TIMED_OUT if self.is_written() else Result.NOT_CONNECTED)


def limit_read_size(transport: asyncio.Transport) -> None:
    """No read of this connection brings more than a budget reckons with (`byte_budget.MAX_READ_BYTES`)."""
    made = transport.get_extra_info("socket")
    if made is not None:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_READ_BYTES // 2)


class BackendConnection(asyncio.Protocol):
    """One connection to a backend. It carries one request at a time."""

    def __init__(self, pool: BackendPool, server: bytes, address: Address) -> None:
        self.pool, self.server, self.address = pool, server, address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.written = self.lost = self.retired = False
        self.idle_since = 0.0
        self.idle_time_s: float | None = None  # s before the present request; None on a new connection
        self.fd = -1
        self.connect_task: asyncio.Task[None] | None = None
        self.stall_timer: asyncio.TimerHandle | None = None
        self.response = BackendResponse()
        self.body_parts: list[bytes] = []
        self.head_bytes = self.interim_count = 0
        self.in_response = self.is_complete = self.is_reusable = False
        # What only a door that passes long bodies on needs:
        self.request_body: RequestBody | None = None
        self.sink: ResponseSink | None = None
        self.content_length: int | None = None
        self.chunked = self.ends_at_close = self.in_trailer = False
        self.write_paused = self.body_ended = self.read_paused = False
        self.last_read_at = 0.0
        self.stream_timer: asyncio.TimerHandle | None = None

    # For the pool

    def start_attempt(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        if self.transport is not None:
            self._write_request()

    def _write_request(self) -> None:
        assert self.transport is not None and self.attempt is not None
        payload, self.attempt.payload = self.attempt.payload, b""
        if self.attempt.body is not None:
            self.request_body = self.attempt.body
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            self.transport.write(payload)
            return self.request_body.attach(self)
        self._mark_written()
        self.transport.write(payload)

    def _mark_written(self) -> None:
        """What the kernel takes may run: from here a break is a reset."""
        self.written = True
        self.pool.written_count += 1

    # A body that follows as it comes

    def write_body(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def end_body(self, data: bytes) -> None:
        """The last of it; it has left once nothing of it waits any more."""
        if self.transport is None or self.body_ended:
            return
        self.body_ended = True
        self.transport.write(data)
        self.transport.set_write_buffer_limits(high=0)
        if not self.transport.get_write_buffer_size():
            self._mark_written()

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.body_ended:
            if not self.written:
                self._mark_written()
        elif self.request_body is not None:
            self.request_body.resume()

    # An answer that is passed on

    def pause_reading(self) -> None:
        """Whoever it goes to does not read: neither do we."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.read_paused and self.transport is not None:
            self.read_paused, self.last_read_at = False, self.pool.loop.time()
            self.transport.resume_reading()

    def cancel(self) -> None:
        """Nobody wants the rest of the answer."""
        if self.attempt is not None:
            self.attempt.finish(Result.CANCELLED)

    def _start_stream(self) -> None:
        if self.attempt is None or self.sink is not None or self.is_complete:
            return
        if self.written:  # an answer ahead of the body's end is none to this request
            self.sink = self.attempt.on_stream(self.attempt, self.response, self.content_length)
        if self.sink is None:
            self._finish_attempt(Result.ERROR)
            return self.abort()
        self.sink.source = self
        for part in self.body_parts:
            self.sink.feed(part)
        self.body_parts = []

    def detach_attempt(self) -> None:
        """The attempt has ended: back to the pool after a whole answer, else closed."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.pool.budget is not None:
            self._detach_streams()
        if self.is_complete and self.idle_time_s is not None:
            self.pool.update_idle_limit(self.idle_time_s, True)
        if self.is_complete and self.is_reusable and not (self.lost or self.retired):
            self.written = self.is_complete = False
            self.pool.release(self)
        else:
            self.abort()

    def _detach_streams(self) -> None:
        if self.stream_timer is not None:
            self.stream_timer.cancel()
            self.stream_timer = None
        body, self.request_body = self.request_body, None
        if body is not None:
            self.is_reusable = self.is_reusable and self.written  # an answer ahead of the body's end
            body.detach(self)
            if self.transport is not None and self.is_reusable:
                self.transport.set_write_buffer_limits()
        self.body_ended = False
        flow, self.sink = self.sink, None
        if flow is not None:
            self.resume_reading()
            if not self.is_complete:
                flow.abort()

    def abort(self) -> None:
        """Close at once; the backend need not hear why."""
        self.lost = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()

    async def connect(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                await self.pool.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            # Time may run out in the turn in which it came up and the request was written.
            self._finish_attempt(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)
            log.warning("no connection to %s:%d: %s", *self.address, error or "timed out")
        finally:
            self.connect_task = None

    def is_idle_without_input(self) -> bool:
        """Nothing has come since the last answer: what came would be taken for the next one."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not self.pool.host.has_bytes(self.fd)

    def _check_stall(self) -> None:
        if self.pool.budget is not None and self.attempt is not None:
            least = self.pool.stream_stall_timeout_s if self.sink is not None else self.pool.stall_timeout_s
            stood = 0.0 if self.read_paused else self.pool.loop.time() - self.last_read_at
            if stood < least:  # it still flows, or it is we who do not read
                self.stall_timer = self.pool.loop.call_later(least - stood, self._check_stall)
                return
        if self.attempt is not None:
            log.warning("an answer from %s:%d stopped half way", *self.address)
            self._finish_attempt(Result.CONNECTION_LOST)
            self.abort()

    def _finish_attempt(self, result: Result, answer: BackendResponse | None = None) -> None:
        attempt = self.attempt
        if result is not Result.OK and answer is None:
            self.lost = True
            self.pool.remove(self)
        if attempt is not None:
            attempt.finish(result, answer)

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        if self.lost or self.attempt is None:
            return self.abort()
        if self.pool.budget is not None:
            limit_read_size(transport)
        self.parser = httptools.HttpResponseParser(self)
        self.fd = transport.get_extra_info("socket").fileno()
        self._write_request()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.ends_at_close and self.in_response and self.attempt is not None:
            self.in_response, self.is_complete, self.is_reusable, self.lost = False, True, False, True
            self.parser = self.transport = None
            self.pool.remove(self)
            return self._complete_response()
        self.parser = self.transport = None  # parser and connection hold each other
        if self.attempt is not None and self.idle_time_s is not None and not self.in_response:
            self.pool.update_idle_limit(
                self.idle_time_s, False
            )  # closed while it stood idle, and not seen in time
        self._finish_attempt(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:  # an answer to nothing
            return self.abort()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            log.warning("odd answer from %s:%d: %s", *self.address, error.__context__ or error)
            self.is_reusable = False
            if not self.is_complete:  # behind a whole answer it takes nothing from that one
                self._finish_attempt(Result.CONNECTION_LOST)  # it may have run
                return self.abort()
        if self.is_complete:
            self._complete_response()
        elif self.in_response:
            if self.pool.budget is not None:
                self.last_read_at = self.pool.loop.time()
            if self.stall_timer is None:
                self.stall_timer = self.pool.loop.call_later(self.pool.stall_timeout_s, self._check_stall)

    def _complete_response(self) -> None:
        answer = self.response
        if self.sink is not None:
            self.sink.end()
        else:
            answer.body = b"".join(self.body_parts)
        self._finish_attempt(response_result(answer), answer)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise ValueError("more than one answer to one request")
        self.response, self.body_parts, self.head_bytes, self.in_response = BackendResponse(), [], 0, True
        self.content_length, self.chunked, self.ends_at_close, self.in_trailer = None, False, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"head over {MAX_HEAD_BYTES} bytes")
        if self.in_trailer:  # behind the body: no header of the answer
            return
        key, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        if key == b"content-length":
            if self.attempt is not None and self.attempt.is_head_request:
                return  # what GET would bring
            most = MAX_BODY_BYTES if self.pool.budget is None else MAX_STREAM_BYTES
            if len(value) > 9 or int(value) > most:  # an answer of gigabytes is not waited for
                raise ValueError(f"body over {most} bytes")
            self.content_length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True
        elif key == b"endpoint-load-metrics":
            self.response.load_report = parse_load_report(value)
        elif key == b"usage-percent":
            self.response.usage_percent = int(value) if value.isdigit() and len(value) < 10 else None
        elif key == b"x-never-ran":
            self.response.never_ran = value.strip() == b"1"
        elif key == b"content-type":
            self.response.content_type = value

    def on_headers_complete(self) -> None:
        """An answer to HEAD is whole here; the parser waits for a body, so the connection ends with it."""
        assert self.parser is not None
        if self.attempt is not None and self.attempt.is_head_request and self.parser.get_status_code() >= 200:
            self.in_response, self.is_reusable = False, False
            self.response.status, self.is_complete, self.interim_count = (
                self.parser.get_status_code(),
                True,
                0,
            )
        elif (status := self.parser.get_status_code()) >= 200:
            self.in_trailer = True
            if self.pool.budget is None:
                return
            self.response.status = status
            self.ends_at_close = self.content_length is None and not self.chunked and status not in (204, 304)
            if status == 200 and self.content_length is None:
                self.stream_timer = self.pool.loop.call_later(STREAM_DELAY_S, self._start_stream)
            elif status == 200 and self.content_length is not None and self.content_length > MAX_BODY_BYTES:
                self._start_stream()

    def on_body(self, body: bytes) -> None:
        if self.attempt is not None and self.attempt.is_head_request:
            return  # it should not be there; the connection ends anyway
        if self.sink is not None:
            return self.sink.feed(body)
        self.response.body_bytes += len(body)
        self.body_parts.append(body)
        if self.response.body_bytes > MAX_BODY_BYTES:
            if self.pool.budget is None or self.response.status != 200:
                raise ValueError(f"body over {MAX_BODY_BYTES} bytes")
            self._start_stream()

    def on_message_complete(self) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        self.in_response = False
        if self.is_complete:  # an answer to HEAD that says it has no body
            return
        if status >= 200:  # an interim answer is followed by the final one
            self.response.status, self.is_complete, self.interim_count = status, True, 0
            self.is_reusable = self.parser.should_keep_alive()  # asked later, the parser has forgotten
        else:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise ValueError("interim answers without end")


class BackendPool:
    """The connections to all backends, bounded in number."""

    def __init__(
        self,
        config: Config,
        most: int,
        loop: asyncio.AbstractEventLoop,
        host: Host | None = None,
    ) -> None:
        self.host = host or Host()
        self.loop, self.max_connections = loop, most
        self.min_idle_s, self.stall_timeout_s = MIN_IDLE_S, STALL_TIMEOUT_S
        self.budget: ByteBudget | None = None  # where long bodies are passed on
        self.stream_stall_timeout_s = 0.0
        self.connect_timeout_s = config.connect_timeout_us / 1e6
        self.idle_limit_s = self.max_idle_limit_s = config.keepalive_us / 1e6 * IDLE_TIME_RATIO
        # By backend, not by address: a new backend may stand where another one stood.
        self.idle: dict[bytes, list[BackendConnection]] = {}
        self.connections: set[BackendConnection] = set()
        self.written_count = 0  # attempts whose last byte has left
        loop.call_later(1.0, self._sweep)

    def send(self, attempt: Attempt) -> None:
        """On the newest connection that has rested, else on a new one."""
        if connection := self._take_idle(attempt.server):
            return connection.start_attempt(attempt)
        if len(self.connections) >= self.max_connections and not self._close_oldest_idle():
            log.warning("all %d connections to backends are busy", self.max_connections)
            return attempt.finish(Result.NOT_SENT)  # our want of descriptors says nothing of the backend
        connection = BackendConnection(self, attempt.server, attempt.address)
        self.connections.add(connection)
        connection.start_attempt(attempt)
        connection.connect_task = self.loop.create_task(connection.connect(self.connect_timeout_s))

    def _take_idle(self, server: bytes) -> BackendConnection | None:
        resting, now = self.idle.get(server, []), self.loop.time()
        for n in range(len(resting) - 1, -1, -1):
            if resting[n].idle_since <= now - self.min_idle_s:
                connection = resting.pop(n)
                connection.idle_time_s = now - connection.idle_since
                if connection.idle_time_s <= self.idle_limit_s and connection.is_idle_without_input():
                    return connection
                connection.abort()
        return None

    def raise_idle_limit(self) -> None:
        """Once a second: where none may rest, none would show that it could."""
        self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RECOVERY_RATIO)

    def update_idle_limit(self, rested: float, good: bool) -> None:
        """How long connections may rest: less than those that were found dead, in time again more."""
        if not good:
            self.idle_limit_s = max(
                MIN_IDLE_LIMIT_S, min(self.idle_limit_s, rested) * IDLE_LIMIT_DECREASE_RATIO
            )
        elif rested > self.idle_limit_s * IDLE_LIMIT_DECREASE_RATIO:
            self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_INCREASE_RATIO)

    def _close_oldest_idle(self) -> bool:
        resting = [c for few in self.idle.values() for c in few]
        if resting:
            min(resting, key=lambda c: c.idle_since).abort()
        return bool(resting)

    def release(self, connection: BackendConnection) -> None:
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.server, []).append(connection)

    def remove(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        resting = self.idle.get(connection.server)
        if resting and connection in resting:
            resting.remove(connection)
        if not resting:
            self.idle.pop(connection.server, None)

    def close_idle(self, server: bytes) -> None:
        for connection in list(self.idle.get(server, ())):
            connection.abort()

    def retire(self, server: bytes) -> None:
        """It has moved or is gone: its connections carry nothing more than what they have."""
        self.close_idle(server)
        for connection in self.connections:
            if connection.server == server:
                connection.retired = True

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        self.raise_idle_limit()
        oldest = self.loop.time() - self.idle_limit_s
        for resting in list(self.idle.values()):
            for connection in [c for c in resting if c.idle_since < oldest]:
                connection.abort()
