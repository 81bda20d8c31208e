"""Pool of backend connections, and attempts, each of which ends with exactly one `Result`."""

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
MAX_STREAM_BYTES = 64 << 20  # of a streamed response: twice the longest that backends send
MAX_READ_BYTES = 65_536  # per read of a stream: `MAX_READ_BYTES` of the byte budget
WRITE_BUFFER_BYTES = 65_536  # buffered bytes of a body that the backend has not read yet
STREAM_DELAY_S = 0.1  # from its headers until a response of unknown length is streamed
OPTIONAL_WHITESPACE = b" \t"  # around a field value (RFC 9110, 5.5)
MAX_INTERIM_RESPONSES = 16  # 1xx responses before a final one
# Share of the configured idle time: a request sent as the backend closes the connection ends in a reset.
IDLE_TIME_RATIO = 0.5
# The idle limit adapts to backends that close sooner: a request lost on a closed connection costs far more than
# a new connection.
MIN_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_DECREASE_RATIO = 0.8  # after a connection that the backend had closed
IDLE_LIMIT_INCREASE_RATIO = 1.02  # after a response on a connection with about that idle time
IDLE_LIMIT_RECOVERY_RATIO = 1.1  # per second
MIN_IDLE_S = 0.01  # before reuse: unexpected bytes after a response arrive within that time
STALL_TIMEOUT_S = 0.25  # for the rest of a started response: backends write a response at once
# Larger values in a load report are invalid.
MAX_LOAD = {"in_flight": 10_000.0, "queued": 10_000.0, "busy": 1.5, "service_ms": 60_000.0}
LOAD_FIELDS = {  # `LoadReport` fields by the names that backends send: those of the settings, and common ones
    **LOAD_REPORT_ATTRIBUTES,
    "inflight": "in_flight",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}


class ResponseSink(Protocol):
    """Receiver of a streamed response (`flows.py`)."""

    source: BackendConnection | None

    def feed(self, data: bytes) -> None:
        """Add bytes of the body."""

    def end(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """End the response before it is complete."""


class RequestBody(Protocol):
    """A request's body that is streamed to a backend (`flows.py`)."""

    def attach(self, sink: BackendConnection) -> None:
        """Start writing the body to a connection, from its first byte."""

    def detach(self, sink: BackendConnection) -> None:
        """Stop writing to the connection."""

    def resume(self) -> None:
        """Continue after the connection's write buffer has drained."""


class BackendResponse:
    """A backend's response."""

    __slots__ = ("body", "body_bytes", "content_type", "load_report", "never_ran", "status", "usage_percent")

    def __init__(self) -> None:
        self.status = self.body_bytes = 0
        self.body = self.content_type = b""
        self.never_ran = False
        self.usage_percent: int | None = None
        self.load_report: LoadReport | None = None


def parse_load_report(text: bytes) -> LoadReport | None:
    """Parse a load report; unknown names and invalid values are skipped. None if nothing is left."""
    values: dict[str, float] = {}
    for part in text.decode("latin-1").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        field = LOAD_FIELDS.get(name.strip())
        try:
            number = float(value)
        except ValueError:
            continue
        if field and 0 <= number <= MAX_LOAD.get(field, 1e6):
            values[field] = number
    return LoadReport(**values) if values else None


def response_result(response: BackendResponse) -> Result:
    """The result of an attempt with a complete response."""
    if response.status == 200:
        return Result.OK
    if response.status in (503, 504) and response.never_ran:
        return Result.REJECTED
    return Result.ERROR  # the request may have been executed


class Attempt:
    """One attempt of a request, in progress until `finish`. Times are µs."""

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
        sent_at: int,
        on_end: Callable[[Attempt, Result, BackendResponse | None], None],
    ) -> None:
        self.request, self.number, self.server, self.sent_at, self.on_end = (
            request,
            number,
            server,
            sent_at,
            on_end,
        )
        self.address: Address = ("", 0)
        self.payload = b""
        self.body: RequestBody | None = None  # streamed after the payload
        # Starts streaming a response of the given length, None if unknown; returns None if that is impossible.
        self.on_stream: Callable[[Attempt, BackendResponse, int | None], ResponseSink | None] = lambda *_: (
            None
        )
        self.first_byte_us: int | None = None  # until the start of a streamed response
        self.is_head_request = False  # the response ends with its headers
        self.connection: BackendConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.done = False

    def finish(self, result: Result, response: BackendResponse | None = None) -> None:
        """End the attempt; further calls have no effect."""
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection, self.payload = self.connection, None, b""
        if connection is not None:
            connection.detach_attempt()
        self.on_end(self, result, response)

    def is_written(self) -> bool:
        """Whether the request was written completely."""
        return self.connection is not None and self.connection.written

    def time_out(self) -> None:
        # A request that was never written cannot have been executed, however long connecting took.
        """End the attempt at its timeout."""
        self.finish(Result.TIMED_OUT if self.is_written() else Result.NOT_CONNECTED)


def limit_read_size(transport: asyncio.Transport) -> None:
    """Limit the bytes per read of a connection to what the byte budget assumes (`byte_budget.MAX_READ_BYTES`)."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None:
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_READ_BYTES // 2)


class BackendConnection(asyncio.Protocol):
    """One connection to a backend, with one request at a time."""

    def __init__(self, pool: BackendPool, server: bytes, address: Address) -> None:
        self.pool, self.server, self.address = pool, server, address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.written = self.lost = self.retired = False
        self.idle_since = 0.0
        self.idle_time_s: float | None = None  # before the current request; None on a new connection
        self.fd = -1
        self.connect_task: asyncio.Task[None] | None = None
        self.stall_timer: asyncio.TimerHandle | None = None
        self.response = BackendResponse()
        self.body_parts: list[bytes] = []
        self.head_bytes = self.interim_count = 0
        self.in_response = self.is_complete = self.is_reusable = False
        # Used only where long bodies are streamed:
        self.request_body: RequestBody | None = None
        self.sink: ResponseSink | None = None
        self.content_length: int | None = None
        self.chunked = self.ends_at_close = self.in_trailer = False
        self.write_paused = self.body_ended = self.read_paused = False
        self.last_read_at = 0.0
        self.stream_timer: asyncio.TimerHandle | None = None

    # Used by the pool

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt, once the connection is open."""
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
        """The request may be executed from now on: a lost connection no longer means that it was not sent."""
        self.written = True
        self.pool.written_count += 1

    # Streamed request bodies

    def write_body(self, data: bytes) -> None:
        """Write bytes of a streamed request body."""
        if self.transport is not None:
            self.transport.write(data)

    def end_body(self, data: bytes) -> None:
        """Write the last bytes; the request counts as written once the write buffer is empty."""
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

    # Streamed responses

    def pause_reading(self) -> None:
        """Read no more while the client does not read."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, after `pause_reading`."""
        if self.read_paused and self.transport is not None:
            self.read_paused, self.last_read_at = False, self.pool.loop.time()
            self.transport.resume_reading()

    def cancel(self) -> None:
        """Cancel the attempt: its response is no longer needed."""
        if self.attempt is not None:
            self.attempt.finish(Result.CANCELLED)

    def _start_stream(self) -> None:
        if self.attempt is None or self.sink is not None or self.is_complete:
            return
        if self.written:  # a response before the end of the body is invalid
            self.sink = self.attempt.on_stream(self.attempt, self.response, self.content_length)
        if self.sink is None:
            self._finish_attempt(Result.ERROR)
            return self.abort()
        self.sink.source = self
        for part in self.body_parts:
            self.sink.feed(part)
        self.body_parts = []

    def detach_attempt(self) -> None:
        """Return the connection to the pool after a complete response; close it otherwise."""
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
            # Not reusable after a response that preceded the end of the body.
            self.is_reusable = self.is_reusable and self.written
            body.detach(self)
            if self.transport is not None and self.is_reusable:
                self.transport.set_write_buffer_limits()
        self.body_ended = False
        sink, self.sink = self.sink, None
        if sink is not None:
            self.resume_reading()
            if not self.is_complete:
                sink.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self.lost = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()

    async def connect(self, timeout: float) -> None:
        """Open the connection; `timeout` in s."""
        try:
            async with asyncio.timeout(timeout):
                await self.pool.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            # The timeout may expire in the loop iteration in which the request was written.
            self._finish_attempt(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)
            log.warning("cannot connect to backend %s:%d: %s", *self.address, error or "timed out")
        finally:
            self.connect_task = None

    def is_idle_without_input(self) -> bool:
        """Whether nothing was received since the last response; it would be taken for the next response."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not self.pool.host.has_bytes(self.fd)

    def _check_stall(self) -> None:
        if self.pool.budget is not None and self.attempt is not None:
            timeout_s = (
                self.pool.stream_stall_timeout_s if self.sink is not None else self.pool.stall_timeout_s
            )
            stalled_s = 0.0 if self.read_paused else self.pool.loop.time() - self.last_read_at
            if stalled_s < timeout_s:  # data still arrives, or reading is paused
                self.stall_timer = self.pool.loop.call_later(timeout_s - stalled_s, self._check_stall)
                return
        if self.attempt is not None:
            log.warning("incomplete response from backend %s:%d: no data before the timeout", *self.address)
            self._finish_attempt(Result.CONNECTION_LOST)
            self.abort()

    def _finish_attempt(self, result: Result, response: BackendResponse | None = None) -> None:
        attempt = self.attempt
        if result is not Result.OK and response is None:
            self.lost = True
            self.pool.remove(self)
        if attempt is not None:
            attempt.finish(result, response)

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
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
        self.parser = self.transport = None  # breaks the reference cycle with the parser
        if self.attempt is not None and self.idle_time_s is not None and not self.in_response:
            self.pool.update_idle_limit(self.idle_time_s, False)  # the backend closed it while it was idle
        self._finish_attempt(Result.CONNECTION_LOST if self.written else Result.NOT_CONNECTED)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:  # a response without a request
            return self.abort()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            log.warning("invalid response from backend %s:%d: %s", *self.address, error.__context__ or error)
            self.is_reusable = False
            if not self.is_complete:  # bytes after a complete response do not invalidate it
                self._finish_attempt(Result.CONNECTION_LOST)  # the request may have been executed
                return self.abort()
        if self.is_complete:
            self._complete_response()
        elif self.in_response:
            if self.pool.budget is not None:
                self.last_read_at = self.pool.loop.time()
            if self.stall_timer is None:
                self.stall_timer = self.pool.loop.call_later(self.pool.stall_timeout_s, self._check_stall)

    def _complete_response(self) -> None:
        response = self.response
        if self.sink is not None:
            self.sink.end()
        else:
            response.body = b"".join(self.body_parts)
        self._finish_attempt(response_result(response), response)

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise ValueError("more than one response to one request")
        self.response, self.body_parts, self.head_bytes, self.in_response = BackendResponse(), [], 0, True
        self.content_length, self.chunked, self.ends_at_close, self.in_trailer = None, False, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"head over {MAX_HEAD_BYTES} bytes")
        if self.in_trailer:  # trailer fields are not response headers
            return
        key, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        if key == b"content-length":
            if self.attempt is not None and self.attempt.is_head_request:
                return  # the length of the response to GET
            max_bytes = MAX_BODY_BYTES if self.pool.budget is None else MAX_STREAM_BYTES
            if len(value) > 9 or int(value) > max_bytes:  # rejected before the body is read
                raise ValueError(f"body over {max_bytes} bytes")
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
        """Complete a response to HEAD. The parser expects a body, so the connection cannot be reused."""
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
            return  # invalid, but the connection is closed anyway
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
        if self.is_complete:  # a response to HEAD, completed with its headers
            return
        if status >= 200:  # an interim response is followed by a final one
            self.response.status, self.is_complete, self.interim_count = status, True, 0
            self.is_reusable = self.parser.should_keep_alive()  # valid only in this callback
        else:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise ValueError(f"more than {MAX_INTERIM_RESPONSES} interim responses")


class BackendPool:
    """A bounded pool of connections to all backends."""

    def __init__(
        self,
        config: Config,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        host: Host | None = None,
    ) -> None:
        self.host = host or Host()
        self.loop, self.max_connections = loop, max_connections
        self.min_idle_s, self.stall_timeout_s = MIN_IDLE_S, STALL_TIMEOUT_S
        self.budget: ByteBudget | None = None  # set where long bodies are streamed
        self.stream_stall_timeout_s = 0.0
        self.connect_timeout_s = config.connect_timeout_us / 1e6
        self.idle_limit_s = self.max_idle_limit_s = config.keepalive_us / 1e6 * IDLE_TIME_RATIO
        # By backend, not by address: a new backend may have the address of a former one.
        self.idle: dict[bytes, list[BackendConnection]] = {}
        self.connections: set[BackendConnection] = set()
        self.written_count = 0  # attempts whose request was written completely
        loop.call_later(1.0, self._sweep)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on the most recently used idle connection, or on a new one."""
        if connection := self._take_idle(attempt.server):
            return connection.start_attempt(attempt)
        if len(self.connections) >= self.max_connections and not self._close_oldest_idle():
            log.warning("all %d backend connections are in use", self.max_connections)
            return attempt.finish(Result.NOT_SENT)  # not a failure of the backend
        connection = BackendConnection(self, attempt.server, attempt.address)
        self.connections.add(connection)
        connection.start_attempt(attempt)
        connection.connect_task = self.loop.create_task(connection.connect(self.connect_timeout_s))

    def _take_idle(self, server: bytes) -> BackendConnection | None:
        idle, now = self.idle.get(server, []), self.loop.time()
        for n in range(len(idle) - 1, -1, -1):
            if idle[n].idle_since <= now - self.min_idle_s:
                connection = idle.pop(n)
                connection.idle_time_s = now - connection.idle_since
                if connection.idle_time_s <= self.idle_limit_s and connection.is_idle_without_input():
                    return connection
                connection.abort()
        return None

    def raise_idle_limit(self) -> None:
        """Raise the idle limit, once a second; without idle connections no response would raise it."""
        self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RECOVERY_RATIO)

    def update_idle_limit(self, idle_time_s: float, was_open: bool) -> None:
        """Adapt the idle limit to a connection that was open, or closed by the backend, after `idle_time_s`."""
        if not was_open:
            self.idle_limit_s = max(
                MIN_IDLE_LIMIT_S, min(self.idle_limit_s, idle_time_s) * IDLE_LIMIT_DECREASE_RATIO
            )
        elif idle_time_s > self.idle_limit_s * IDLE_LIMIT_DECREASE_RATIO:
            self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_INCREASE_RATIO)

    def _close_oldest_idle(self) -> bool:
        idle = [c for connections in self.idle.values() for c in connections]
        if idle:
            min(idle, key=lambda c: c.idle_since).abort()
        return bool(idle)

    def release(self, connection: BackendConnection) -> None:
        """Add a connection to the idle ones."""
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.server, []).append(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        idle = self.idle.get(connection.server)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.server, None)

    def close_idle(self, server: bytes) -> None:
        """Close the idle connections to a backend."""
        for connection in list(self.idle.get(server, ())):
            connection.abort()

    def retire(self, server: bytes) -> None:
        """Send no further requests on a backend's connections: it has moved or is gone."""
        self.close_idle(server)
        for connection in self.connections:
            if connection.server == server:
                connection.retired = True

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        self.raise_idle_limit()
        earliest = self.loop.time() - self.idle_limit_s
        for idle in list(self.idle.values()):
            for connection in [c for c in idle if c.idle_since < earliest]:
                connection.abort()
