"""The HTTP/1.1 server side: well-formed requests in, one answer each out, in order."""

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
OPTIONAL_WHITESPACE = b" \t"  # around a field's value (RFC 9110, 5.5); the parser leaves what follows it
MAX_HEAD_BYTES = 16_384
MAX_PIPELINED_REQUESTS = 4  # requests of one connection at the door, then it is read no further
MAX_REJECTED_PIPELINED_REQUESTS = 64  # in one read; more than these end the connection
DEFAULT_MAX_UNITS = 1000.0  # of one request, where its plan has no store
MAX_QUOTA_INFO_BYTES = 100
MAX_EXPIRES_IN_US = 3_600_000_000  # µs
RESPONSE_MARGIN_US = 10_000  # µs of a client's time that the way here and back, and our own turn, may take
REQUEST_READ_TIMEOUT_S = 1.5  # s for a request's bytes to come, and for the first byte of a connection
IDLE_TIMEOUT_S = 15.0  # s between requests
NEAR_CAPACITY_RATIO = (
    0.85  # from this share of the places on, answers end their connections, and idle ones get MIN_IDLE_S
)
# s that answers may wait for a client that does not read them: what the most patient usual one waits for its
# answer; and in a crowd. Its requests have ended by then, and its place is wanted.
WRITE_STALL_TIMEOUT_S, WRITE_STALL_TIMEOUT_NEAR_CAPACITY_S = 5.0, 1.0
LINGER_TIMEOUT_S = 1.0  # s that a client may take to read why its connection ends
SWEEP_INTERVAL_S = 0.25  # s
# Headers that speak of one connection, or that are written anew.
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
# What a Connection field may name beside fields of its own hop (RFC 9110, 7.6.1).
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
    """One connection of a client."""

    def __init__(self, side: HttpServer) -> None:
        self.server = side
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.fd = -1
        self.requests: deque[ClientRequest] = deque()
        self.in_message = self.in_trailer = self.closing = False
        self.write_paused = self.discards_input = self.read_paused = False
        self.has_sent_request = False  # has sent a whole request
        self.backlog_wait_us = round(
            side.listener.backlog.max_wait_s(side.loop.time()) * 1e6
        )  # µs before it was accepted
        self.state_since = side.now()  # of the last change between idle and busy
        self.message_started_at = self.state_since  # of the request that comes in
        self.write_paused_at = 0.0  # of a client that does not read its answers; 0.0 while it does
        self.last_write_buffer_bytes = 0  # bytes that waited for it at the last look
        self.receive_progress: ReceiveProgress | None = (
            None  # where long bodies are passed on: how the message comes in
        )
        self.upload: UploadStream | None = None  # the body that comes in, passed on as it comes
        self.upload_blocked, self.upload_blocked_at = False, 0.0  # by its backend: not read meanwhile
        self.close_deadline = 0.0  # when the connection is cut, once it closes
        self._reset_message()

    def protocol(self) -> asyncio.Protocol:
        return self

    def connection_failed(self) -> None:
        self.connection_lost(None)

    def _reset_message(self) -> None:
        self.url, self.head_bytes = b"", 0
        self.header_lines: list[bytes] = []
        self.known_headers: dict[bytes, bytes] = {}
        self.connection_options: set[bytes] = set()  # what its Connection fields name
        self.body_parts: list[bytes] = []
        self.body_bytes, self.has_framing_header = 0, False
        self.content_length: int | None = None

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        self.fd = transport.get_extra_info("socket").fileno()
        if self.server.budget is not None:
            limit_read_size(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.remove(self)
        waiting, self.requests, self.transport = self.requests, deque(), None
        self.parser = None  # parser and connection hold each other
        if self.upload is not None:
            self.server.uploading -= 1
            self.upload.close()
            self.upload = None
        for request in waiting:
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
            fault = error.__context__
            if not isinstance(fault, RequestError):
                if fault is not None:
                    log.error("a client's request failed: %r", fault)
                fault = RequestError(400, "malformed request")
            self._reject_message(fault)
        if len(self.requests) >= MAX_PIPELINED_REQUESTS and self.upload is None:
            self._pause_reading()

    def set_upload_blocked(self, choked: bool) -> None:
        """The backend that its body goes to does not read, or reads again."""
        if choked != self.upload_blocked:
            self.upload_blocked, self.upload_blocked_at = choked, self.server.now()
            if choked:
                self._pause_reading()
            else:
                self._resume_reading()

    def _pause_reading(self) -> None:
        if self.transport is not None and not (self.read_paused or self.discards_input):
            self.read_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side has gone away

    def pause_writing(self) -> None:
        self.write_paused, self.write_paused_at = (
            True,
            self.server.now(),
        )  # take no further requests meanwhile
        self._pause_reading()

    def resume_writing(self) -> None:
        self.write_paused, self.write_paused_at = False, 0.0
        if self.requests and (flow := self.requests[0].response_stream) is not None:
            flow.resume()
        self._resume_reading()

    def _resume_reading(self) -> None:
        if (
            self.read_paused
            and self.transport is not None
            and not (self.write_paused or self.closing or self.upload_blocked)
            and (len(self.requests) < MAX_PIPELINED_REQUESTS or self.upload is not None)
        ):
            self.read_paused = False
            self.message_started_at = self.server.now()  # what we did not read was not slow
            if self.receive_progress is not None:
                self.receive_progress.reading_resumed(self.message_started_at)
            self.transport.resume_reading()

    # The parser's calls

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
        if self.in_trailer:  # behind a chunked body: no header of the request
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
                raise RequestError(400, "odd framing")  # two ways to read it may hide a request in the body
            self.has_framing_header = True
            if value.isdigit() and int(value) > self.server.max_body_bytes:
                raise RequestError(413, f"body over {self.server.max_body_bytes} bytes")
            self.content_length = int(value) if value.isdigit() else None
            if key == b"transfer-encoding" and self.parser and self.parser.get_http_version() == "1.0":
                raise RequestError(400, "odd framing")  # RFC 9112, 6.1
        elif b"_" in key and (plain := key.replace(b"_", b"-")) in RESERVED_HEADERS:
            if plain in FRAMING_HEADERS:  # who reads _ as - would see another body
                raise RequestError(400, "odd framing")
            return  # nor another class, plan or time
        if key not in NOT_FORWARDED_HEADERS:
            self.header_lines += (name, b": ", value, b"\r\n")

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:  # a head without end would fill the memory
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
        """A body too long to be collected: its request is taken now, and it is passed on as it comes."""
        side, parser = self.server, self.parser
        if self.closing or parser is None or side.budget is None:
            return
        request = ClientRequest(self)
        side.count_received(request, side.classes.get(self.known_headers.get(b"x-qos", b""), -1))
        try:
            if len(self.requests) >= MAX_PIPELINED_REQUESTS:
                raise RequestError(503, "too many requests at once")
            if not (side.slots.claim_regular_slot(self, side.now()) and side.budget.can_admit()):
                raise RequestError(503, "no room: try again")
            if parser.get_method() == b"GET":
                raise RequestError(400, "GET with a body")
            if not self.connection_options <= CONNECTION_OPTIONS:
                self._remove_connection_headers()
            parts, self.body_parts = self.body_parts, []
            self._fill_request(request, parser)
            if request.time_left <= 0:
                raise RequestError(503, "no time left")
        except RequestError as fault:  # what follows is still its body: answered in turn, then the end
            side.count_answered(request, fault.status)
            raise
        self.upload = request.upload = side.new_upload(self, self.content_length)
        side.uploading += 1
        self.requests.append(request)
        side.open_traces.add(request.trace_id)
        side.handler.handle_request(request)
        for part in parts:
            self.upload.feed(part)

    def _end_upload(self, upload: UploadStream, request: ClientRequest) -> None:
        """The last byte has come."""
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
            return  # pipelined behind the last request of this connection
        if self.upload is not None:
            return self._end_upload(self.upload, self.requests[-1])
        if len(self.requests) >= MAX_PIPELINED_REQUESTS + MAX_REJECTED_PIPELINED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        request = ClientRequest(self)
        request.is_head_request = self.parser.get_method() == b"HEAD"  # a body would begin the next answer
        request.close_after = self.closing = not self.parser.should_keep_alive()
        self.requests.append(request)
        if self.server.router is None:
            self.server.count_received(
                request, self.server.classes.get(self.known_headers.get(b"x-qos", b""), -1)
            )
        if len(self.requests) > MAX_PIPELINED_REQUESTS:  # all of one read come here, however many
            return request.reply(503, b"too many requests at once\n")
        if self.url.partition(b"?")[0] == b"/_health":
            able = self.server.handler.can_serve() and not self.server.draining
            if self.server.slots.has_reserve_slot(
                self
            ):  # full is not unwell: left out, it would drown the others
                request.close_after = self.closing = True
            return request.reply(200 if able else 503, b"ready\n" if able else b"not ready\n")
        if not self.server.slots.claim_regular_slot(self, self.state_since):
            return self._reject_over_capacity(request)
        try:
            if not self.connection_options <= CONNECTION_OPTIONS:
                self._remove_connection_headers()
            self._fill_request(request, self.parser)
            if request.counted_class < 0:  # where a description gives the routes, it gives the class
                self.server.count_received(request, request.request_class)
            if request.time_left <= 0:  # the module's word would come a turn of the loop later, and too late
                return request.reply(503, b"no time left\n")
            self.server.open_traces.add(request.trace_id)
            self.server.handler.handle_request(request)
        except RequestError as fault:  # framed well: the connection stays good
            request.reply(fault.status, fault.text.encode() + b"\n", fault.extra)
        except Exception:  # guards the others: one request's failure is its own
            log.exception("a request could not be taken")
            if not request.response:
                request.reply(500, b"failed\n")

    def _remove_connection_headers(self) -> None:
        """Fields that Connection names end here (RFC 9110, 7.6.1); those that the box must have may not."""
        if named := self.connection_options & (
            SINGLE_VALUE_HEADERS | {b"content-length", b"transfer-encoding"}
        ):
            raise RequestError(400, f"Connection names {min(named).decode()}")
        lines = self.header_lines
        self.header_lines = [
            part
            for n in range(0, len(lines), 4)
            if lines[n].lower() not in self.connection_options
            for part in lines[n : n + 4]
        ]

    def _reject_over_capacity(self, request: ClientRequest) -> None:
        """No place is free: refused before the module has seen it, so that nothing was sent on for it."""
        request.close_after = self.closing = True
        settings = self.server.config.settings
        delay = min(
            round(self.server.slots.retry_after_s(self.state_since) * 1e6), settings.max_retry_after_us
        )
        request.reply(
            503, b"no place: try again\n", retry_after_header(delay if settings.may_set_retry_after else 0)
        )

    def _fill_request(self, request: ClientRequest, parser: httptools.HttpRequestParser) -> None:
        """Check all that the protocol asks of a request; raise `Malformed` where it is not so."""
        side, named = self.server, self.known_headers
        if side.router is not None:
            if b"host" not in named and parser.get_http_version() == "1.1":
                raise RequestError(400, "no Host")
            return side.router.read(
                request,
                parser.get_method(),
                self.url,
                self.header_lines,
                b"".join(self.body_parts),
                named.get(b"x-expires-in"),
            )
        kind = side.classes.get(named.get(b"x-qos", b""))
        if kind is None:
            raise RequestError(400, "unknown class")
        plan = side.plans.get(named.get(b"plan", b""))
        if plan is None:
            raise RequestError(400, "unknown plan")
        if b"host" not in named and parser.get_http_version() == "1.1":
            raise RequestError(400, "no Host")
        method = parser.get_method()
        rule = side.config.settings.classes[kind]
        repeat = rule.idempotency
        wanted = b"GET" if repeat is Idempotency.SAFE else b"POST"
        if method != wanted:
            raise RequestError(405, f"the class wants {wanted.decode()}", b"Allow: " + wanted + b"\r\n")
        if method == b"GET" and self.body_bytes:
            raise RequestError(400, "GET with a body")
        trace = named.get(b"x-trace-id", b"")
        if not TOKEN_PATTERN.fullmatch(trace):
            raise RequestError(400, "bad X-Trace-Id")
        if trace in side.open_traces:  # whose answer would be whose?
            raise RequestError(409, "X-Trace-Id of an open request")
        if repeat is Idempotency.KEYED and not TOKEN_PATTERN.fullmatch(named.get(b"idempotency-key", b"")):
            raise RequestError(400, "bad Idempotency-Key")
        account = named.get(b"account", b"")
        if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= 2**33:
            raise RequestError(400, "bad Account")
        expires = EXPIRES_IN_PATTERN.fullmatch(named.get(b"x-expires-in", b""))
        wait = float(expires[1]) * (1000 if expires[2] == b"m" else 1) if expires else 0.0
        if not 0 < wait <= MAX_EXPIRES_IN_US:
            raise RequestError(400, "bad X-Expires-In")
        text = named.get(b"quota-info", b"")
        quota = (
            parse_quota_info(text, side.config.settings.gateway_count)
            if len(text) <= MAX_QUOTA_INFO_BYTES
            else None
        )
        if quota is None:
            raise RequestError(400, "bad Quota-Info")
        if quota[0] > side.max_units[plan]:
            raise RequestError(400, "more units than the plan can pass")
        request.units, request.gateway_count, request.first_gateway = quota
        request.request_class, request.plan, request.customer = kind, plan, int(account, 16)
        # What it waited in the kernel, and what its answer will wait for us, is gone from its time. (A first
        # request may have been written right after the connect.)
        lost = RESPONSE_MARGIN_US + side.handler.read_delay_us() + self.backlog_wait_us
        self.backlog_wait_us = 0
        request.trace_id, request.time_left = trace, int(min(wait, rule.deadline_us)) - lost
        request.is_retry = named.get(b"x-second-try", b"") == b"1"
        request.is_http_1_0 = parser.get_http_version() == "1.0"
        request.is_write = method != b"GET"
        request.head = b"".join((method, b" ", self.url, b" HTTP/1.1\r\n", *self.header_lines))
        request.body = b"".join(self.body_parts)

    # Answers

    def reply(self, request: ClientRequest, status: int, body: bytes, extra: bytes) -> None:
        if (
            request.response
            or request.response_stream
            or self.transport is None
            or self.transport.is_closing()
        ):
            return  # one final answer, and none to a client that has left
        self._abandon_upload(request)
        if (self.server.draining or self.server.is_near_capacity()) and request is self.requests[-1]:
            request.close_after = self.closing = True  # behind others it would take their answers along
        self.server.count_answered(request, status)
        self.server.open_traces.discard(request.trace_id)
        length = b"" if request.is_head_request else b"Content-Length: %d\r\n" % len(body)
        request.response = b"".join(
            (
                b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Other")),
                length,
                extra,
                b"Connection: close\r\n\r\n" if request.close_after else b"\r\n",
                b"" if request.is_head_request else body,
            )
        )
        self.write_ready_responses()

    def _abandon_upload(self, request: ClientRequest) -> None:
        """Its answer is there: what still comes of its body is read and dropped, then the connection ends."""
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
        kind: bytes,
        on_over: Callable[[], None],
    ) -> ResponseStream | None:
        """Pass an answer on as it comes; None where it cannot be."""
        budget = self.server.budget
        if budget is None or not budget.can_admit() or self.transport is None or self.transport.is_closing():
            return None
        if request.response or request.response_stream:
            return None
        self._abandon_upload(request)
        if self.server.draining and request is self.requests[-1]:
            request.close_after = self.closing = True
        old = request.is_http_1_0
        if length is None and old:
            request.close_after = True  # its end is the connection's
            self.closing = self.closing or request is self.requests[-1]
        framing = (
            b"Content-Length: %d\r\n" % length
            if length is not None
            else (b"" if old else b"Transfer-Encoding: chunked\r\n")
        )
        head = b"".join(
            (
                b"HTTP/1.1 200 OK\r\n",
                framing,
                b"Content-Type: " + kind + b"\r\n" if kind else b"",
                b"Connection: close\r\n\r\n" if request.close_after else b"\r\n",
            )
        )
        self.server.open_traces.discard(request.trace_id)
        request.response_stream = made = self.server.new_stream(
            request, head, length is None and not old, on_over
        )
        self.write_ready_responses()  # it may be its turn
        return made

    def abort_response(self, request: ClientRequest) -> None:
        """An answer that has begun cannot be ended: the connection is, so that it is seen not to be whole."""
        self.server.count_answered(request, 502)
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def write_ready_responses(self) -> None:
        """A connection's answers go in order."""
        while self.requests and self.transport is not None and not self.transport.is_closing():
            first = self.requests[0]
            if first.response_stream is not None:
                if not first.response_stream.open():
                    return
                self.server.count_answered(first, 200)
            elif first.response:
                self.transport.write(first.response)
            else:
                break
            self.requests.popleft()
            if first.close_after:
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
        """Closed with bytes unread, a connection is reset, and the answer on its way is lost."""
        self._start_closing()
        if self.transport is not None:
            self.transport.write_eof()
            if self.read_paused:
                self.transport.resume_reading()

    def _reject_message(self, fault: RequestError) -> None:
        """The framing is lost: answer in turn, then close."""
        if self.closing:
            return
        self.closing = self.in_message = self.discards_input = True
        request = ClientRequest(self)
        request.close_after = True
        self.requests.append(request)
        request.reply(fault.status, fault.text.encode() + b"\n", fault.extra)

    def _close_after_last_response(self) -> None:
        """The peer asked for another protocol; what follows is not HTTP."""
        self.closing = True
        if self.requests:
            self.requests[-1].close_after = True
        else:
            self._close()

    def is_idle(self) -> bool:
        return not (self.requests or self.in_message)

    def is_idle_without_input(self) -> bool:
        """Idle, and nothing waits to be read: closed over a request that has come, it would be reset."""
        return self.is_idle() and self.transport is not None and not self.server.host.has_bytes(self.fd)

    def close_if_idle(self) -> None:
        """Close an idle connection; one whose next request has come already is read first."""
        if self.is_idle_without_input():
            self._close()

    def time_out_if_idle(self) -> None:
        """End one that has said nothing, with an answer (RFC 9110, 15.5.9): its first request may be on its
        way, and unlike a second one it would not be sent again. It is read to its end, so nothing is reset.
        """
        if self.is_idle_without_input():
            self._reject_message(RequestError(408, "no request came"))

    def evict(self) -> bool:
        """Give its place to another, at once; whether it could."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False  # it is not open yet, or is owed what the kernel has not taken
        if not (self.close_deadline or self.is_idle_without_input()):
            return False
        self.closing = True
        self.transport.abort()
        return True

    def enforce_timeouts(self, now: float, longest_idle: float) -> None:
        """End what takes too long."""
        if self.close_deadline:
            if (
                self.server.budget is not None
                and self.transport is not None
                and (self.transport.get_write_buffer_size() and self._is_client_reading(now))
            ):
                return  # the last of a long answer, which is read slowly
            if now > self.close_deadline and self.transport is not None:
                self.transport.abort()  # it neither reads what it is owed nor closes
        elif self.write_paused and self.server.budget is not None and self._is_client_reading(now):
            return
        elif self.upload_blocked and now - self.upload_blocked_at > self.server.write_stall_timeout_s:
            for request in [r for r in self.requests if r.upload is not None and r.upload is self.upload]:
                self.server.handler.fail_request(request)  # its backend does not take the body
        elif self.write_paused and now - self.write_paused_at > (
            WRITE_STALL_TIMEOUT_NEAR_CAPACITY_S if self.server.is_near_capacity() else WRITE_STALL_TIMEOUT_S
        ):
            if self.transport is not None:
                self.transport.abort()
        elif self.discards_input or (self.in_message and not self.read_paused):
            slow = (
                now - self.message_started_at > REQUEST_READ_TIMEOUT_S
                if self.receive_progress is None
                else self.receive_progress.is_too_slow(now)
            )
            if slow:
                self._reject_message(RequestError(408, "request came too slowly"))
                for request in [
                    r for r in self.requests if not r.response
                ]:  # what is open ahead of it ends too
                    self.server.handler.fail_request(request)
        elif not self.has_sent_request and self.is_idle():
            if now - self.state_since > self.server.request_timeout_s:
                self.time_out_if_idle()
        elif self.is_idle() and now - self.state_since > longest_idle:
            self.close_if_idle()

    def _is_client_reading(self, now: float) -> bool:
        """Whether it has taken something since the last look, or has had little time to."""
        unread = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unread != self.last_write_buffer_bytes:
            self.last_write_buffer_bytes, self.write_paused_at = unread, now
        return now - self.write_paused_at < self.server.write_stall_timeout_s


class HttpServer:
    """All client connections of this front door."""

    def __init__(
        self,
        config: Config,
        door: RequestHandler,
        most: int,
        reserve: int,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float] | None = None,
        host: Host | None = None,
    ) -> None:
        self.config, self.handler, self.loop = config, door, loop
        self.host = host or Host()
        self.now = now or loop.time
        self.classes = {name.encode(): n for n, name in enumerate(config.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.plans)}
        self.max_units = [max_units(plan) for plan in config.settings.plans]
        self.slots: ConnectionSlots[HttpConnection] = ConnectionSlots(most, reserve)
        self.open_traces: set[bytes] = set()
        self.draining = False
        self.router: RequestRouter | None = None
        # By class: taken = completed + rejected + failed + gone + pending, after every event.
        self.received, self.completed, self.rejected, self.failed, self.disconnected = (
            [0] * len(config.classes) for _ in range(5)
        )
        self.pending = 0
        self.uploading = 0  # of these, with their body on the way
        # Where long bodies are passed on (`flows.py`), else None:
        self.budget: ByteBudget | None = None
        self.max_body_bytes = self.replay_bytes = MAX_BODY_BYTES
        self.request_timeout_s, self.write_stall_timeout_s = REQUEST_READ_TIMEOUT_S, WRITE_STALL_TIMEOUT_S
        self.new_receive_progress: Callable[[float], ReceiveProgress]
        self.new_upload: Callable[[HttpConnection, int | None], UploadStream]
        self.new_stream: Callable[[ClientRequest, bytes, bool, Callable[[], None]], ResponseStream]
        self.listener = Listener(self.admit, loop, self.has_room, self.host)

    def count_received(self, request: ClientRequest, kind: int) -> None:
        """A whole request has come, of this class; one of a class that is not known is not counted."""
        if 0 <= kind < len(self.received):
            request.counted_class = kind
            self.received[kind] += 1
            self.pending += 1

    def count_answered(self, request: ClientRequest, status: int) -> None:
        """It has its final answer."""
        if request.counted_class >= 0:
            refused = self.rejected if status in (429, 503) else self.failed
            (self.completed if status == 200 else refused)[request.counted_class] += 1
            self.pending -= 1
            request.counted_class = -1

    def count_disconnected(self, request: ClientRequest) -> None:
        """Its client left before the answer."""
        if request.counted_class >= 0:
            self.disconnected[request.counted_class] += 1
            self.pending -= 1
            request.counted_class = -1

    @property
    def connections(self) -> Collection[HttpConnection]:
        return self.slots.states

    def listen(self, beside: bool = False) -> None:
        self.listener.listen(self.config.listen, beside)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def adopt(self, listening: socket.socket) -> None:
        """Listen with a socket of an older process of this door."""
        self.listener.adopt(listening)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def port(self) -> int:
        return self.listener.port()

    def admit(self) -> HttpConnection:
        """A new connection; there is room for it."""
        client = HttpConnection(self)
        self.slots.add(client, client.state_since)
        return client

    def has_room(self) -> bool:
        """Whether a connection that waits may be accepted; where all places are taken, one is made free."""
        waiting = self.listener.socket
        if self.slots.can_accept() or waiting is None or not self.host.has_bytes(waiting.fileno()):
            return True  # with none waiting, nothing need be closed for it
        asked = False
        for client in self.slots.eviction_candidates(self.now()):
            stage = self.slots.states[client]
            if stage is ConnectionState.NEW:
                client.time_out_if_idle()  # it goes once it has read why
                asked = True
            elif asked and stage is ConnectionState.IDLE:
                break
            elif client.evict():
                self.remove(client)  # its descriptor is closed within this turn; `limits.OWN` has room for it
                return True
        return False

    def remove(self, client: HttpConnection) -> None:
        """A connection has gone."""
        self.slots.remove(client, self.now())
        self.listener.resume_accepting()

    def is_near_capacity(self) -> bool:
        return len(self.slots) > NEAR_CAPACITY_RATIO * self.slots.regular_slots

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.sweep()

    def sweep(self) -> None:
        now, longest_idle = self.now(), MIN_IDLE_S if self.is_near_capacity() else IDLE_TIMEOUT_S
        for client in list(self.connections):
            client.enforce_timeouts(now, longest_idle)
        self.listener.resume_accepting()  # some may have been silent long enough by now

    def stop_listening(self) -> None:
        """Take what waits to be accepted, then nothing more."""
        self.listener.close_when_empty()

    def close_idle(self) -> None:
        """Close what is idle; one that came just now gets the time to speak."""
        fresh = self.now() - MIN_UNUSED_S
        for client in [c for c in self.connections if c.is_idle()]:
            if client.has_sent_request:
                client.close_if_idle()
            elif client.state_since <= fresh:
                client.time_out_if_idle()

    def is_drained(self) -> bool:
        """Nothing more can come: none is accepted, and whoever is still here ends."""
        return self.listener.socket is None and all(client.close_deadline for client in self.connections)


def max_units(plan: Plan) -> float:
    """More than this a plan never passes at once: its stores do not hold it."""
    return min(
        [
            store
            for rate, store in ((plan.rate_per_s, plan.burst), (plan.ceiling_rate_per_s, plan.ceiling_depth))
            if rate > 0
        ]
        or [DEFAULT_MAX_UNITS]
    )


def retry_after_header(delay: int) -> bytes:
    """The header that tells a client when to return; nothing where there is no advice."""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay / 1000) / 1000) if delay > 0 else b""
