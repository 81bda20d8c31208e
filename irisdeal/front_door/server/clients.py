"""HTTP/1.1 server for clients: parses and checks requests, and writes their responses in order."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections import deque
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, cast

import httptools

from irisdeal.front_door.decisions.interface import Idempotency, Plan
from irisdeal.front_door.overload.connection_slots import (
    MIN_IDLE_S,
    MIN_UNUSED_S,
    ConnectionSlots,
    ConnectionState,
)
from irisdeal.front_door.server.backends import limit_read_size
from irisdeal.front_door.server.client_request import (
    ClientRequest,
    RequestError,
    RequestHandler,
    RequestRouter,
    ResponseStream,
    UploadStream,
    parse_quota_info,
)
from irisdeal.front_door.server.config import Config
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.listener import Listener

if TYPE_CHECKING:
    from irisdeal.front_door.streaming.byte_budget import ByteBudget
    from irisdeal.front_door.streaming.progress import ReceiveProgress

log = logging.getLogger("irisdeal.clients")

MAX_BODY_BYTES = 65_536
OPTIONAL_WHITESPACE = b" \t"  # around a field value (RFC 9110, 5.5); the parser keeps the trailing part
MAX_HEAD_BYTES = 16_384
MAX_PIPELINED_REQUESTS = 4  # open requests of one connection; reading pauses at this limit
MAX_REJECTED_PIPELINED_REQUESTS = 64  # beyond the limit, within one read; further ones end the connection
DEFAULT_MAX_UNITS = 1000.0  # units of one request whose plan has no token bucket
MAX_QUOTA_INFO_BYTES = 100
MAX_EXPIRES_IN_US = 3_600_000_000
RESPONSE_MARGIN_US = 10_000  # share of a client's time for network transit and event loop scheduling
REQUEST_READ_TIMEOUT_S = 1.5  # for one request, and for the first byte of a connection
IDLE_TIMEOUT_S = 15.0  # between requests
# Above this share of the regular slots, responses close their connections and idle ones may stay MIN_IDLE_S.
NEAR_CAPACITY_RATIO = 0.85
# For a client that does not read its responses: as long as the most patient usual client waits for one.
WRITE_STALL_TIMEOUT_S = 5.0
# Near capacity other clients need the slot; the requests of the stalled connection have ended by then.
WRITE_STALL_TIMEOUT_NEAR_CAPACITY_S = 1.0
LINGER_TIMEOUT_S = 1.0  # for a client to read the last response of a closing connection
SWEEP_INTERVAL_S = 0.25
# Hop-by-hop headers, and headers that are written anew for the backend.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"x-expires-in",
    )
)
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# Options of the Connection header that name no header to remove (RFC 9110, 7.6.1).
CONNECTION_OPTIONS = frozenset((b"close", b"keep-alive", b"te", b"trailer", b"upgrade", b"http2-settings"))
SINGLE_VALUE_HEADERS = frozenset(
    (
        b"x-trace-id",
        b"x-qos",
        b"plan",
        b"account",
        b"x-expires-in",
        b"idempotency-key",
        b"quota-info",
        b"x-second-try",
        b"host",
    )
)
# A header that spells one of these with _ for - is not forwarded: some servers treat both spellings alike.
RESERVED_HEADERS = NOT_FORWARDED_HEADERS | SINGLE_VALUE_HEADERS
ACCOUNT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
EXPIRES_IN_PATTERN = re.compile(rb"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
TOKEN_PATTERN = re.compile(rb"[\x21-\x7e]{1,128}")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class HttpConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.fd = -1
        self.requests: deque[ClientRequest] = deque()
        self.in_message = self.in_trailer = self.closing = False
        self.write_paused = self.discards_input = self.read_paused = False
        self.has_sent_request = False  # at least one complete request has been read
        # Longest possible wait in the listen backlog; deducted from the time of the first request.
        self.backlog_wait_us = round(server.listener.backlog.max_wait_s(server.loop.time()) * 1e6)
        self.state_since = server.now()  # last change between idle and busy
        self.message_started_at = self.state_since  # start of the request that is being read
        self.write_paused_at = 0.0  # since when the client has not read its responses; 0.0 while it reads
        self.last_write_buffer_bytes = 0  # at the last check of the timeouts
        self.receive_progress: ReceiveProgress | None = None  # of the current message, if bodies are streamed
        self.upload: UploadStream | None = None  # the streamed body that is being read
        self.upload_blocked, self.upload_blocked_at = False, 0.0  # the backend is not accepting body data
        self.close_deadline = 0.0  # when a closing connection is aborted; 0.0 while it is open
        self._reset_message()

    def protocol(self) -> asyncio.Protocol:
        """The protocol of the transport: the connection itself."""
        return self

    def connection_failed(self) -> None:
        """Clean up: no transport could be created."""
        self.connection_lost(None)

    def _reset_message(self) -> None:
        self.url, self.head_bytes = b"", 0
        self.header_lines: list[bytes] = []
        self.known_headers: dict[bytes, bytes] = {}
        self.connection_options: set[bytes] = set()  # named by the Connection headers
        self.body_parts: list[bytes] = []
        self.body_bytes, self.has_framing_header = 0, False
        self.content_length: int | None = None

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.transport = transport
        self.fd = transport.get_extra_info("socket").fileno()
        if self.server.budget is not None:
            limit_read_size(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.remove(self)
        requests, self.requests, self.transport = self.requests, deque(), None
        self.parser = None  # breaks the reference cycle with the parser
        if self.upload is not None:
            self.server.uploading -= 1
            self.upload.close()
            self.upload = None
        for request in requests:
            if request.response_stream is not None:
                request.response_stream.client_disconnected()
            if not request.response:
                self.server.count_disconnected(request)
                self.server.open_traces.discard(request.trace_id)
                self.server.handler.client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._close_after_last_response()
        except httptools.HttpParserError as error:
            cause = error.__context__
            if not isinstance(cause, RequestError):
                if cause is not None:
                    log.error("error while parsing a client's request: %r", cause)
                cause = RequestError(400, "malformed request")
            self._reject_message(cause)
        if len(self.requests) >= MAX_PIPELINED_REQUESTS and self.upload is None:
            self._pause_reading()

    def set_upload_blocked(self, blocked: bool) -> None:
        """Stop reading the body while its backend accepts no data; resume afterwards."""
        if blocked != self.upload_blocked:
            self.upload_blocked, self.upload_blocked_at = blocked, self.server.now()
            if blocked:
                self._pause_reading()
            else:
                self._resume_reading()

    def _pause_reading(self) -> None:
        if self.transport is not None and not (self.read_paused or self.discards_input):
            self.read_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False  # a half-closed connection counts as disconnected

    def pause_writing(self) -> None:
        """Read no further requests while the client does not read its responses."""
        self.write_paused, self.write_paused_at = True, self.server.now()
        self._pause_reading()

    def resume_writing(self) -> None:
        self.write_paused, self.write_paused_at = False, 0.0
        if self.requests and (stream := self.requests[0].response_stream) is not None:
            stream.resume()
        self._resume_reading()

    def _resume_reading(self) -> None:
        if (
            self.read_paused
            and self.transport is not None
            and not (self.write_paused or self.closing or self.upload_blocked)
            and (len(self.requests) < MAX_PIPELINED_REQUESTS or self.upload is not None)
        ):
            self.read_paused = False
            self.message_started_at = self.server.now()  # time without reading does not count as slow
            if self.receive_progress is not None:
                self.receive_progress.reading_resumed(self.message_started_at)
            self.transport.resume_reading()

    # Parser callbacks

    def on_message_begin(self) -> None:
        self.in_message, self.in_trailer, self.message_started_at = True, False, self.server.now()
        self.server.slots.set_state(self, ConnectionState.BUSY, self.message_started_at)
        self._reset_message()
        if self.server.budget is not None:
            self.receive_progress = self.server.new_receive_progress(self.message_started_at)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value) + 4)
        if self.in_trailer:  # trailer fields are not request headers
            return
        key, value = name.lower(), value.strip(OPTIONAL_WHITESPACE)
        if key in SINGLE_VALUE_HEADERS:
            if key in self.known_headers:
                raise RequestError(400, f"header {key.decode()} more than once")
            self.known_headers[key] = value
        elif key == b"expect":
            self.known_headers[key] = value
        elif key == b"connection":
            self.connection_options.update(
                option for part in value.lower().split(b",") if (option := part.strip())
            )
        elif key in FRAMING_HEADERS:
            if self.has_framing_header or (
                key == b"transfer-encoding" and value.strip().lower() != b"chunked"
            ):
                raise RequestError(400, "odd framing")  # ambiguous framing enables request smuggling
            self.has_framing_header = True
            if value.isdigit() and int(value) > self.server.max_body_bytes:
                raise RequestError(413, f"body over {self.server.max_body_bytes} bytes")
            self.content_length = int(value) if value.isdigit() else None
            if key == b"transfer-encoding" and self.parser and self.parser.get_http_version() == "1.0":
                raise RequestError(400, "odd framing")  # RFC 9112, 6.1
        elif b"_" in key and (plain := key.replace(b"_", b"-")) in RESERVED_HEADERS:
            if plain in FRAMING_HEADERS:  # a server that reads _ as - would see another body
                raise RequestError(400, "odd framing")
            return  # such a server would also see another class, plan or deadline
        if key not in NOT_FORWARDED_HEADERS:
            self.header_lines += (name, b": ", value, b"\r\n")

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:  # bounds the memory used by one request
            raise RequestError(431, f"head over {MAX_HEAD_BYTES} bytes")

    def on_headers_complete(self) -> None:
        self.in_trailer = True
        if (
            self.known_headers.get(b"expect", b"").lower() == b"100-continue"
            and self.transport
            and not self.requests
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.receive_progress is not None:
            self.receive_progress.head_complete(self.server.now())
            if self.content_length is not None and self.content_length > self.server.replay_bytes:
                self._begin_upload()

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.receive_progress is not None:
            self.receive_progress.received(len(body), self.server.now())
        if self.body_bytes > self.server.max_body_bytes:
            raise RequestError(413, f"body over {self.server.max_body_bytes} bytes")
        if self.upload is not None:
            return self.upload.feed(body)
        self.body_parts.append(body)
        if self.body_bytes > self.server.replay_bytes:
            self._begin_upload()

    def _begin_upload(self) -> None:
        """Start the request before its body is complete; the body is too long to buffer and is streamed."""
        server, parser = self.server, self.parser
        if self.closing or parser is None or server.budget is None:
            return
        request = ClientRequest(self)
        server.count_received(request, server.classes.get(self.known_headers.get(b"x-qos", b""), -1))
        try:
            if len(self.requests) >= MAX_PIPELINED_REQUESTS:
                raise RequestError(503, "too many requests at once")
            if not (server.slots.claim_regular_slot(self, server.now()) and server.budget.can_admit()):
                raise RequestError(503, "no room: try again")
            if parser.get_method() == b"GET":
                raise RequestError(400, "GET with a body")
            if not self.connection_options <= CONNECTION_OPTIONS:
                self._remove_connection_headers()
            parts, self.body_parts = self.body_parts, []
            self._fill_request(request, parser)
            if request.time_left <= 0:
                raise RequestError(503, "no time left")
        except RequestError as error:  # the body still follows, so the connection closes after this response
            server.count_answered(request, error.status)
            raise
        self.upload = request.upload = server.new_upload(self, self.content_length)
        server.uploading += 1
        self.requests.append(request)
        server.open_traces.add(request.trace_id)
        server.handler.handle_request(request)
        for part in parts:
            self.upload.feed(part)

    def _end_upload(self, upload: UploadStream, request: ClientRequest) -> None:
        """Complete the streamed request: the last byte of its body has been read."""
        assert self.parser is not None
        self.upload = None
        self.server.uploading -= 1
        self.upload_blocked = False
        request.close_after = self.closing = not self.parser.should_keep_alive()
        upload.complete()
        self.server.handler.upload_completed(request)
        self._resume_reading()

    def on_message_complete(self) -> None:
        self.in_message, self.state_since, self.has_sent_request = False, self.server.now(), True
        if self.closing or self.parser is None:
            return  # pipelined after the last request of this connection
        if self.upload is not None:
            return self._end_upload(self.upload, self.requests[-1])
        if len(self.requests) >= MAX_PIPELINED_REQUESTS + MAX_REJECTED_PIPELINED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        request = ClientRequest(self)
        request.is_head_request = self.parser.get_method() == b"HEAD"
        request.close_after = self.closing = not self.parser.should_keep_alive()
        self.requests.append(request)
        if self.server.router is None:
            self.server.count_received(
                request, self.server.classes.get(self.known_headers.get(b"x-qos", b""), -1)
            )
        if len(self.requests) > MAX_PIPELINED_REQUESTS:  # one read may bring any number
            return request.reply(503, b"too many requests at once\n")
        if self.url.partition(b"?")[0] == b"/_health":
            is_ready = self.server.handler.can_serve() and not self.server.draining
            # A full front door is healthy: failing the check would move its load onto the others.
            if self.server.slots.has_reserve_slot(self):
                request.close_after = self.closing = True
            return request.reply(200 if is_ready else 503, b"ready\n" if is_ready else b"not ready\n")
        if not self.server.slots.claim_regular_slot(self, self.state_since):
            return self._reject_over_capacity(request)
        try:
            if not self.connection_options <= CONNECTION_OPTIONS:
                self._remove_connection_headers()
            self._fill_request(request, self.parser)
            if request.counted_class < 0:  # the route determines the class
                self.server.count_received(request, request.request_class)
            if request.time_left <= 0:  # a decision would come one loop iteration later, after the deadline
                return request.reply(503, b"no time left\n")
            self.server.open_traces.add(request.trace_id)
            self.server.handler.handle_request(request)
        except RequestError as error:  # the framing is valid, so the connection stays usable
            request.reply(error.status, error.text.encode() + b"\n", error.extra_headers)
        except Exception:  # must not affect the other requests
            log.exception("error while starting a request")
            if not request.response:
                request.reply(500, b"failed\n")

    def _remove_connection_headers(self) -> None:
        """Remove the headers that Connection names (RFC 9110, 7.6.1); reject names that the backend needs."""
        if forbidden := self.connection_options & (
            SINGLE_VALUE_HEADERS | {b"content-length", b"transfer-encoding"}
        ):
            raise RequestError(400, f"Connection names {min(forbidden).decode()}")
        lines = self.header_lines
        self.header_lines = [
            part
            for n in range(0, len(lines), 4)
            if lines[n].lower() not in self.connection_options
            for part in lines[n : n + 4]
        ]

    def _reject_over_capacity(self, request: ClientRequest) -> None:
        """Answer 503 because no slot is free. No attempt was sent, so a retry is safe."""
        request.close_after = self.closing = True
        settings = self.server.config.settings
        delay = min(
            round(self.server.slots.retry_after_s(self.state_since) * 1e6), settings.max_retry_after_us
        )
        request.reply(
            503, b"no place: try again\n", retry_after_header(delay if settings.may_set_retry_after else 0)
        )

    def _fill_request(self, request: ClientRequest, parser: httptools.HttpRequestParser) -> None:
        """Check a request against the protocol and fill its fields. Raises `RequestError`."""
        server, headers = self.server, self.known_headers
        if server.router is not None:
            if b"host" not in headers and parser.get_http_version() == "1.1":
                raise RequestError(400, "no Host")
            return server.router.read(
                request,
                parser.get_method(),
                self.url,
                self.header_lines,
                b"".join(self.body_parts),
                headers.get(b"x-expires-in"),
            )
        class_number = server.classes.get(headers.get(b"x-qos", b""))
        if class_number is None:
            raise RequestError(400, "unknown class")
        plan = server.plans.get(headers.get(b"plan", b""))
        if plan is None:
            raise RequestError(400, "unknown plan")
        if b"host" not in headers and parser.get_http_version() == "1.1":
            raise RequestError(400, "no Host")
        method = parser.get_method()
        rule = server.config.settings.classes[class_number]
        repeat = rule.idempotency
        allowed_method = b"GET" if repeat is Idempotency.SAFE else b"POST"
        if method != allowed_method:
            raise RequestError(
                405, f"the class wants {allowed_method.decode()}", b"Allow: " + allowed_method + b"\r\n"
            )
        if method == b"GET" and self.body_bytes:
            raise RequestError(400, "GET with a body")
        trace_id = headers.get(b"x-trace-id", b"")
        if not TOKEN_PATTERN.fullmatch(trace_id):
            raise RequestError(400, "bad X-Trace-Id")
        if trace_id in server.open_traces:  # two responses with one id are ambiguous
            raise RequestError(409, "X-Trace-Id of an open request")
        if repeat is Idempotency.KEYED and not TOKEN_PATTERN.fullmatch(headers.get(b"idempotency-key", b"")):
            raise RequestError(400, "bad Idempotency-Key")
        account = headers.get(b"account", b"")
        if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= 2**33:
            raise RequestError(400, "bad Account")
        expires = EXPIRES_IN_PATTERN.fullmatch(headers.get(b"x-expires-in", b""))
        expires_in_us = float(expires[1]) * (1000 if expires[2] == b"m" else 1) if expires else 0.0
        if not 0 < expires_in_us <= MAX_EXPIRES_IN_US:
            raise RequestError(400, "bad X-Expires-In")
        quota_text = headers.get(b"quota-info", b"")
        quota = (
            parse_quota_info(quota_text, server.config.settings.gateway_count)
            if len(quota_text) <= MAX_QUOTA_INFO_BYTES
            else None
        )
        if quota is None:
            raise RequestError(400, "bad Quota-Info")
        if quota[0] > server.max_units[plan]:
            raise RequestError(400, "more units than the plan can pass")
        request.units, request.gateway_count, request.first_gateway = quota
        request.request_class, request.plan, request.customer = class_number, plan, int(account, 16)
        # Deduct the time in the listen backlog (a first request may have been written right after the connect)
        # and the expected delay of the event loop.
        overhead_us = RESPONSE_MARGIN_US + server.handler.read_delay_us() + self.backlog_wait_us
        self.backlog_wait_us = 0
        request.trace_id, request.time_left = (
            trace_id,
            int(min(expires_in_us, rule.deadline_us)) - overhead_us,
        )
        request.is_retry = headers.get(b"x-second-try", b"") == b"1"
        request.is_http_1_0 = parser.get_http_version() == "1.0"
        request.is_write = method != b"GET"
        request.head = b"".join((method, b" ", self.url, b" HTTP/1.1\r\n", *self.header_lines))
        request.body = b"".join(self.body_parts)

    # Responses

    def reply(self, request: ClientRequest, status: int, body: bytes, extra_headers: bytes) -> None:
        """Queue the final response; responses of one connection go out in the order of their requests."""
        if (
            request.response
            or request.response_stream
            or self.transport is None
            or self.transport.is_closing()
        ):
            return  # already answered, or the client has disconnected
        self._abandon_upload(request)
        if (self.server.draining or self.server.is_near_capacity()) and request is self.requests[-1]:
            request.close_after = self.closing = True  # closing earlier would lose the later responses
        self.server.count_answered(request, status)
        self.server.open_traces.discard(request.trace_id)
        # A response to HEAD has no body: the client would parse it as the next response.
        length = b"" if request.is_head_request else b"Content-Length: %d\r\n" % len(body)
        request.response = b"".join(
            (
                b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Other")),
                length,
                extra_headers,
                b"Connection: close\r\n\r\n" if request.close_after else b"\r\n",
                b"" if request.is_head_request else body,
            )
        )
        self.write_ready_responses()

    def _abandon_upload(self, request: ClientRequest) -> None:
        """Discard the rest of a body whose request is answered, and close the connection afterwards."""
        if request.upload is None:
            return
        request.upload.close()
        if self.upload is request.upload:
            self.upload, self.upload_blocked = None, False
            self.server.uploading -= 1
            request.close_after = self.closing = self.discards_input = True
            self.in_message = False

    def start_stream(
        self,
        request: ClientRequest,
        length: int | None,
        content_type: bytes,
        on_finished: Callable[[], None],
    ) -> ResponseStream | None:
        """Start a streamed response; None if it cannot be streamed."""
        budget = self.server.budget
        if budget is None or not budget.can_admit() or self.transport is None or self.transport.is_closing():
            return None
        if request.response or request.response_stream:
            return None
        self._abandon_upload(request)
        if self.server.draining and request is self.requests[-1]:
            request.close_after = self.closing = True
        is_http_1_0 = request.is_http_1_0
        if length is None and is_http_1_0:
            request.close_after = True  # without a length, the end of the connection ends the body
            self.closing = self.closing or request is self.requests[-1]
        framing = (
            b"Content-Length: %d\r\n" % length
            if length is not None
            else (b"" if is_http_1_0 else b"Transfer-Encoding: chunked\r\n")
        )
        head = b"".join(
            (
                b"HTTP/1.1 200 OK\r\n",
                framing,
                b"Content-Type: " + content_type + b"\r\n" if content_type else b"",
                b"Connection: close\r\n\r\n" if request.close_after else b"\r\n",
            )
        )
        self.server.open_traces.discard(request.trace_id)
        request.response_stream = stream = self.server.new_stream(
            request, head, length is None and not is_http_1_0, on_finished
        )
        self.write_ready_responses()
        return stream

    def abort_response(self, request: ClientRequest) -> None:
        """Abort the connection during a streamed response, so that the client sees it as incomplete."""
        self.server.count_answered(request, 502)
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def write_ready_responses(self) -> None:
        """Write the responses that are ready, in the order of their requests."""
        while self.requests and self.transport is not None and not self.transport.is_closing():
            request = self.requests[0]
            if request.response_stream is not None:
                if not request.response_stream.open():
                    return
                self.server.count_answered(request, 200)
            elif request.response:
                self.transport.write(request.response)
            else:
                break
            self.requests.popleft()
            if request.close_after:
                return self._half_close() if self.discards_input else self._close()
        self.state_since = self.server.now()
        if self.is_idle():
            self.server.slots.set_state(self, ConnectionState.IDLE, self.state_since)
        self._resume_reading()

    def _close(self) -> None:
        self._start_closing()
        if self.transport is not None:
            self.transport.close()

    def _start_closing(self) -> None:
        now = self.server.now()
        self.closing, self.close_deadline = True, now + LINGER_TIMEOUT_S
        self.server.slots.set_state(self, ConnectionState.CLOSING, now)

    def _half_close(self) -> None:
        """Close the write side only: closing with unread input resets the connection and loses the response."""
        self._start_closing()
        if self.transport is not None:
            self.transport.write_eof()
            if self.read_paused:
                self.transport.resume_reading()

    def _reject_message(self, error: RequestError) -> None:
        """Answer in order, then close: the framing of the rest of the input is unknown."""
        if self.closing:
            return
        self.closing = self.in_message = self.discards_input = True
        request = ClientRequest(self)
        request.close_after = True
        self.requests.append(request)
        request.reply(error.status, error.text.encode() + b"\n", error.extra_headers)

    def _close_after_last_response(self) -> None:
        """Close after the last response: the client asked for an upgrade, so what follows is not HTTP."""
        self.closing = True
        if self.requests:
            self.requests[-1].close_after = True
        else:
            self._close()

    def is_idle(self) -> bool:
        """Whether no request is open or being read."""
        return not (self.requests or self.in_message)

    def is_idle_without_input(self) -> bool:
        """Whether the connection is idle and has no unread input; closing over unread input resets it."""
        return self.is_idle() and self.transport is not None and not self.server.host.has_bytes(self.fd)

    def close_if_idle(self) -> None:
        """Close the connection if it is idle and no next request has arrived."""
        if self.is_idle_without_input():
            self._close()

    def time_out_if_idle(self) -> None:
        """Close a connection without a request, with a 408 response (RFC 9110, 15.5.9).

        Its first request may be in transit, and clients do not retry a first request on a closed connection.
        Input is read until the client closes, so the connection is not reset.
        """
        if self.is_idle_without_input():
            self._reject_message(RequestError(408, "no request came"))

    def evict(self) -> bool:
        """Abort the connection to free its slot; False if it is in use."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False  # not open yet, or response data is still unsent
        if not (self.close_deadline or self.is_idle_without_input()):
            return False
        self.closing = True
        self.transport.abort()
        return True

    def enforce_timeouts(self, now: float, idle_timeout_s: float) -> None:
        """Close the connection or its requests where a timeout has passed. `now` and `idle_timeout_s` in s."""
        if self.close_deadline:
            if (
                self.server.budget is not None
                and self.transport is not None
                and (self.transport.get_write_buffer_size() and self._is_client_reading(now))
            ):
                return  # the client still reads a long response
            if now > self.close_deadline and self.transport is not None:
                self.transport.abort()  # the client neither reads the response nor closes
        elif self.write_paused and self.server.budget is not None and self._is_client_reading(now):
            return
        elif self.upload_blocked and now - self.upload_blocked_at > self.server.write_stall_timeout_s:
            for request in [r for r in self.requests if r.upload is not None and r.upload is self.upload]:
                self.server.handler.fail_request(request)  # the backend does not accept the body
        elif self.write_paused and now - self.write_paused_at > (
            WRITE_STALL_TIMEOUT_NEAR_CAPACITY_S if self.server.is_near_capacity() else WRITE_STALL_TIMEOUT_S
        ):
            if self.transport is not None:
                self.transport.abort()
        elif self.discards_input or (self.in_message and not self.read_paused):
            is_too_slow = (
                now - self.message_started_at > REQUEST_READ_TIMEOUT_S
                if self.receive_progress is None
                else self.receive_progress.is_too_slow(now)
            )
            if is_too_slow:
                self._reject_message(RequestError(408, "request came too slowly"))
                # Open requests ahead of it end as well.
                for request in [r for r in self.requests if not r.response]:
                    self.server.handler.fail_request(request)
        elif not self.has_sent_request and self.is_idle():
            if now - self.state_since > self.server.request_timeout_s:
                self.time_out_if_idle()
        elif self.is_idle() and now - self.state_since > idle_timeout_s:
            self.close_if_idle()

    def _is_client_reading(self, now: float) -> bool:
        """Whether the client has read data since the last check, or the stall timeout has not passed yet."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unsent_bytes != self.last_write_buffer_bytes:
            self.last_write_buffer_bytes, self.write_paused_at = unsent_bytes, now
        return now - self.write_paused_at < self.server.write_stall_timeout_s


class HttpServer:
    """Accepts client connections and counts their requests by class."""

    def __init__(
        self,
        config: Config,
        handler: RequestHandler,
        regular_slots: int,
        reserve_slots: int,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float] | None = None,
        host: Host | None = None,
    ) -> None:
        self.config, self.handler, self.loop = config, handler, loop
        self.host = host or Host()
        self.now = now or loop.time
        self.classes = {name.encode(): n for n, name in enumerate(config.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.plans)}
        self.max_units = [max_units(plan) for plan in config.settings.plans]
        self.slots: ConnectionSlots[HttpConnection] = ConnectionSlots(regular_slots, reserve_slots)
        self.open_traces: set[bytes] = set()
        self.draining = False
        self.router: RequestRouter | None = None
        # By class. After every event: received = completed + rejected + failed + disconnected + pending.
        self.received, self.completed, self.rejected, self.failed, self.disconnected = (
            [0] * len(config.classes) for _ in range(5)
        )
        self.pending = 0
        self.uploading = 0  # pending requests whose body is not complete
        # Set where long bodies are streamed (`flows.py`), else None.
        self.budget: ByteBudget | None = None
        self.max_body_bytes = self.replay_bytes = MAX_BODY_BYTES
        self.request_timeout_s, self.write_stall_timeout_s = REQUEST_READ_TIMEOUT_S, WRITE_STALL_TIMEOUT_S
        self.new_receive_progress: Callable[[float], ReceiveProgress]
        self.new_upload: Callable[[HttpConnection, int | None], UploadStream]
        self.new_stream: Callable[[ClientRequest, bytes, bool, Callable[[], None]], ResponseStream]
        self.listener = Listener(self.admit, loop, self.has_room, self.host)

    def count_received(self, request: ClientRequest, class_number: int) -> None:
        """Count a complete request; one of an unknown class is not counted."""
        if 0 <= class_number < len(self.received):
            request.counted_class = class_number
            self.received[class_number] += 1
            self.pending += 1

    def count_answered(self, request: ClientRequest, status: int) -> None:
        """Count the final response of a request."""
        if request.counted_class >= 0:
            unsuccessful = self.rejected if status in (429, 503) else self.failed
            (self.completed if status == 200 else unsuccessful)[request.counted_class] += 1
            self.pending -= 1
            request.counted_class = -1

    def count_disconnected(self, request: ClientRequest) -> None:
        """Count a request whose client disconnected before the response."""
        if request.counted_class >= 0:
            self.disconnected[request.counted_class] += 1
            self.pending -= 1
            request.counted_class = -1

    @property
    def connections(self) -> Collection[HttpConnection]:
        """All open connections."""
        return self.slots.states

    def listen(self, reuse_port: bool = False) -> None:
        """Listen on the configured address; with `reuse_port` other processes may use it too. Raises OSError."""
        self.listener.listen(self.config.listen, reuse_port)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def adopt(self, listening_socket: socket.socket) -> None:
        """Listen on the socket of an older process of this front door."""
        self.listener.adopt(listening_socket)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def port(self) -> int:
        """The port of the listening socket."""
        return self.listener.port()

    def admit(self) -> HttpConnection:
        """Create the connection object for an accepted socket."""
        connection = HttpConnection(self)
        self.slots.add(connection, connection.state_since)
        return connection

    def has_room(self) -> bool:
        """Whether another connection may be accepted; tries to free a slot when all are taken."""
        listening_socket = self.listener.socket
        if (
            self.slots.can_accept()
            or listening_socket is None
            or not self.host.has_bytes(listening_socket.fileno())
        ):
            return True  # nothing waits, so nothing needs to be closed
        is_slot_pending = False
        for connection in self.slots.eviction_candidates(self.now()):
            state = self.slots.states[connection]
            if state is ConnectionState.NEW:
                connection.time_out_if_idle()  # the slot is freed once the connection has read the response
                is_slot_pending = True
            elif is_slot_pending and state is ConnectionState.IDLE:
                break
            elif connection.evict():
                self.remove(connection)  # `limits.OWN_DESCRIPTORS` covers its descriptor
                return True
        return False

    def remove(self, connection: HttpConnection) -> None:
        """Release the slot of a closed connection."""
        self.slots.remove(connection, self.now())
        self.listener.resume_accepting()

    def is_near_capacity(self) -> bool:
        """Whether most regular slots are in use."""
        return len(self.slots) > NEAR_CAPACITY_RATIO * self.slots.regular_slots

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.sweep()

    def sweep(self) -> None:
        """Enforce the timeouts of all connections."""
        now, idle_timeout_s = self.now(), MIN_IDLE_S if self.is_near_capacity() else IDLE_TIMEOUT_S
        for connection in list(self.connections):
            connection.enforce_timeouts(now, idle_timeout_s)
        self.listener.resume_accepting()  # a connection may have become evictable

    def stop_listening(self) -> None:
        """Accept what is in the backlog, then stop listening."""
        self.listener.close_when_empty()

    def close_idle(self) -> None:
        """Close idle connections; a new one may send its first request within MIN_UNUSED_S."""
        newest_unused = self.now() - MIN_UNUSED_S
        for connection in [c for c in self.connections if c.is_idle()]:
            if connection.has_sent_request:
                connection.close_if_idle()
            elif connection.state_since <= newest_unused:
                connection.time_out_if_idle()

    def is_drained(self) -> bool:
        """Whether no connection can be accepted and all remaining ones are closing."""
        return self.listener.socket is None and all(
            connection.close_deadline for connection in self.connections
        )


def max_units(plan: Plan) -> float:
    """The largest cost of one request that a plan's token buckets can hold."""
    return min(
        [
            capacity
            for rate, capacity in (
                (plan.rate_per_s, plan.burst),
                (plan.ceiling_rate_per_s, plan.ceiling_depth),
            )
            if rate > 0
        ]
        or [DEFAULT_MAX_UNITS]
    )


def retry_after_header(delay_us: int) -> bytes:
    """The Retry-After header for a delay_us in µs; empty for 0."""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay_us / 1000) / 1000) if delay_us > 0 else b""
