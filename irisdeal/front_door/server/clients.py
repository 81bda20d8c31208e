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
from irisdeal.front_door.server.backends import small_reads
from irisdeal.front_door.server.client_request import (
    ClientRequest,
    Malformed,
    ResponseStream,
    Router,
    Taker,
    UploadStream,
    read_quota,
)
from irisdeal.front_door.server.config import Config
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.listener import Listener

if TYPE_CHECKING:
    from irisdeal.front_door.streaming.byte_budget import ByteBudget
    from irisdeal.front_door.streaming.progress import ReceiveProgress

log = logging.getLogger("irisdeal.clients")

MOST_BODY = 65_536
OWS = b" \t"  # round a field's value, and no part of it (RFC 9110, 5.5); the parser leaves what is behind it
MOST_HEAD = 16_384
MOST_PIPELINED = 4  # requests of one connection at the door, then it is read no further
MOST_BEHIND = 64  # more that came in the same read and are turned away; then the connection ends
MOST_UNITS = 1000.0  # of one request, where its plan has no store
MOST_QUOTA_TEXT = 100
LONGEST_WAIT = 3_600_000_000  # µs
MARGIN = 10_000  # µs of a client's time that the way here and back, and our own turn, may take
SLOW_REQUEST = 1.5  # s for a request's bytes to come, and for the first byte of a connection
IDLE_CONNECTION = 15.0  # s between requests
CROWDED = (
    0.85  # from this share of the places on, answers end their connections, and idle ones get MIN_IDLE_S
)
# s that answers may wait for a client that does not read them: what the most patient usual one waits for its
# answer; and in a crowd. Its requests have ended by then, and its place is wanted.
UNREAD, UNREAD_IN_CROWD = 5.0, 1.0
LINGER = 1.0  # s that a client may take to read why its connection ends
SWEEP = 0.25  # s
# Headers that speak of one connection, or that are written anew.
NOT_FORWARDED = frozenset(
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
FRAMING = (b"content-length", b"transfer-encoding")
# What a Connection field may name beside fields of its own hop (RFC 9110, 7.6.1).
CONNECTION_OPTIONS = frozenset((b"close", b"keep-alive", b"te", b"trailer", b"upgrade", b"http2-settings"))
SINGLE = frozenset(
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
ALIASED = NOT_FORWARDED | SINGLE
ACCOUNT = re.compile(rb"[0-9a-fA-F]{16}")
EXPIRES = re.compile(rb"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
TOKEN = re.compile(rb"[\x21-\x7e]{1,128}")
REASONS = {
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


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, side: ClientSide) -> None:
        self.side = side
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.file = -1
        self.waiting: deque[ClientRequest] = deque()
        self.in_message = self.in_trailer = self.closing = self.full = self.broken = self.paused = False
        self.spoke = False  # has sent a whole request
        self.queued = round(
            side.listener.backlog.max_wait_s(side.loop.time()) * 1e6
        )  # µs before it was accepted
        self.since = side.now()  # of the last change between idle and busy
        self.begun = self.since  # of the request that comes in
        self.full_since = 0.0  # of a client that does not read its answers; 0.0 while it does
        self.unread = 0  # bytes that waited for it at the last look
        self.receive_progress: ReceiveProgress | None = (
            None  # where long bodies are passed on: how the message comes in
        )
        self.upload: UploadStream | None = None  # the body that comes in, passed on as it comes
        self.choked, self.choked_since = False, 0.0  # by its backend: not read meanwhile
        self.ends_at = 0.0  # when the connection is cut, once it closes
        self._reset()

    def protocol(self) -> asyncio.Protocol:
        return self

    def unborn(self) -> None:
        self.connection_lost(None)

    def _reset(self) -> None:
        self.url, self.size = b"", 0
        self.lines: list[bytes] = []
        self.named: dict[bytes, bytes] = {}
        self.hop: set[bytes] = set()  # what its Connection fields name
        self.parts: list[bytes] = []
        self.body_size, self.framed = 0, False
        self.length: int | None = None

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        self.file = transport.get_extra_info("socket").fileno()
        if self.side.budget is not None:
            small_reads(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.side.left(self)
        waiting, self.waiting, self.transport = self.waiting, deque(), None
        self.parser = None  # parser and connection hold each other
        if self.upload is not None:
            self.side.uploading -= 1
            self.upload.close()
            self.upload = None
        for request in waiting:
            if request.flow is not None:
                request.flow.lost()
            if not request.answer:
                self.side.count_gone(request)
                self.side.open_traces.discard(request.trace)
                self.side.door.gone(request)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end_after_last()
        except httptools.HttpParserError as error:
            fault = error.__context__
            if not isinstance(fault, Malformed):
                if fault is not None:
                    log.error("a client's request failed: %r", fault)
                fault = Malformed(400, "malformed request")
            self._reject(fault)
        if len(self.waiting) >= MOST_PIPELINED and self.upload is None:
            self._pause()

    def choke(self, choked: bool) -> None:
        """The backend that its body goes to does not read, or reads again."""
        if choked != self.choked:
            self.choked, self.choked_since = choked, self.side.now()
            if choked:
                self._pause()
            else:
                self._read_on()

    def _pause(self) -> None:
        if self.transport is not None and not (self.paused or self.broken):
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side has gone away

    def pause_writing(self) -> None:
        self.full, self.full_since = True, self.side.now()  # take no further requests meanwhile
        self._pause()

    def resume_writing(self) -> None:
        self.full, self.full_since = False, 0.0
        if self.waiting and (flow := self.waiting[0].flow) is not None:
            flow.read_on()
        self._read_on()

    def _read_on(self) -> None:
        if (
            self.paused
            and self.transport is not None
            and not (self.full or self.closing or self.choked)
            and (len(self.waiting) < MOST_PIPELINED or self.upload is not None)
        ):
            self.paused = False
            self.begun = self.side.now()  # what we did not read was not slow
            if self.receive_progress is not None:
                self.receive_progress.reading_resumed(self.begun)
            self.transport.resume_reading()

    # The parser's calls

    def on_message_begin(self) -> None:
        self.in_message, self.in_trailer, self.begun = True, False, self.side.now()
        self.side.slots.set_state(self, ConnectionState.BUSY, self.begun)
        self._reset()
        if self.side.budget is not None:
            self.receive_progress = self.side.new_receive_progress(self.begun)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        if self.in_trailer:  # behind a chunked body: no header of the request
            return
        key, value = name.lower(), value.strip(OWS)
        if key in SINGLE:
            if key in self.named:
                raise Malformed(400, f"header {key.decode()} more than once")
            self.named[key] = value
        elif key == b"expect":
            self.named[key] = value
        elif key == b"connection":
            self.hop.update(option for part in value.lower().split(b",") if (option := part.strip()))
        elif key in FRAMING:
            if self.framed or (key == b"transfer-encoding" and value.strip().lower() != b"chunked"):
                raise Malformed(400, "odd framing")  # two ways to read it may hide a request in the body
            self.framed = True
            if value.isdigit() and int(value) > self.side.most_body:
                raise Malformed(413, f"body over {self.side.most_body} bytes")
            self.length = int(value) if value.isdigit() else None
            if key == b"transfer-encoding" and self.parser and self.parser.get_http_version() == "1.0":
                raise Malformed(400, "odd framing")  # RFC 9112, 6.1
        elif b"_" in key and (plain := key.replace(b"_", b"-")) in ALIASED:
            if plain in FRAMING:  # who reads _ as - would see another body
                raise Malformed(400, "odd framing")
            return  # nor another class, plan or time
        if key not in NOT_FORWARDED:
            self.lines += (name, b": ", value, b"\r\n")

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > MOST_HEAD:  # a head without end would fill the memory
            raise Malformed(431, f"head over {MOST_HEAD} bytes")

    def on_headers_complete(self) -> None:
        self.in_trailer = True
        if self.named.get(b"expect", b"").lower() == b"100-continue" and self.transport and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.receive_progress is not None:
            self.receive_progress.head_complete(self.side.now())
            if self.length is not None and self.length > self.side.replay:
                self._begin_upload()

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.receive_progress is not None:
            self.receive_progress.received(len(body), self.side.now())
        if self.body_size > self.side.most_body:
            raise Malformed(413, f"body over {self.side.most_body} bytes")
        if self.upload is not None:
            return self.upload.feed(body)
        self.parts.append(body)
        if self.body_size > self.side.replay:
            self._begin_upload()

    def _begin_upload(self) -> None:
        """A body too long to be collected: its request is taken now, and it is passed on as it comes."""
        side, parser = self.side, self.parser
        if self.closing or parser is None or side.budget is None:
            return
        request = ClientRequest(self)
        side.count_in(request, side.classes.get(self.named.get(b"x-qos", b""), -1))
        try:
            if len(self.waiting) >= MOST_PIPELINED:
                raise Malformed(503, "too many requests at once")
            if not (side.slots.claim_regular_slot(self, side.now()) and side.budget.can_admit()):
                raise Malformed(503, "no room: try again")
            if parser.get_method() == b"GET":
                raise Malformed(400, "GET with a body")
            if not self.hop <= CONNECTION_OPTIONS:
                self._drop_hop()
            parts, self.parts = self.parts, []
            self._read(request, parser)
            if request.time_left <= 0:
                raise Malformed(503, "no time left")
        except Malformed as fault:  # what follows is still its body: answered in turn, then the end
            side.count_out(request, fault.status)
            raise
        self.upload = request.upload = side.new_upload(self, self.length)
        side.uploading += 1
        self.waiting.append(request)
        side.open_traces.add(request.trace)
        side.door.take(request)
        for part in parts:
            self.upload.feed(part)

    def _end_upload(self, upload: UploadStream, request: ClientRequest) -> None:
        """The last byte has come."""
        assert self.parser is not None
        self.upload = None
        self.side.uploading -= 1
        self.choked = False
        request.then_close = self.closing = not self.parser.should_keep_alive()
        upload.complete()
        self.side.door.uploaded(request)
        self._read_on()

    def on_message_complete(self) -> None:
        self.in_message, self.since, self.spoke = False, self.side.now(), True
        if self.closing or self.parser is None:
            return  # pipelined behind the last request of this connection
        if self.upload is not None:
            return self._end_upload(self.upload, self.waiting[-1])
        if len(self.waiting) >= MOST_PIPELINED + MOST_BEHIND:
            raise Malformed(503, "too many requests at once")
        request = ClientRequest(self)
        request.bodiless = self.parser.get_method() == b"HEAD"  # a body would begin the next answer
        request.then_close = self.closing = not self.parser.should_keep_alive()
        self.waiting.append(request)
        if self.side.router is None:
            self.side.count_in(request, self.side.classes.get(self.named.get(b"x-qos", b""), -1))
        if len(self.waiting) > MOST_PIPELINED:  # all of one read come here, however many
            return request.reply(503, b"too many requests at once\n")
        if self.url.partition(b"?")[0] == b"/_health":
            able = self.side.door.can_serve() and not self.side.draining
            if self.side.slots.has_reserve_slot(
                self
            ):  # full is not unwell: left out, it would drown the others
                request.then_close = self.closing = True
            return request.reply(200 if able else 503, b"ready\n" if able else b"not ready\n")
        if not self.side.slots.claim_regular_slot(self, self.since):
            return self._turn_away(request)
        try:
            if not self.hop <= CONNECTION_OPTIONS:
                self._drop_hop()
            self._read(request, self.parser)
            if request.counted < 0:  # where a description gives the routes, it gives the class
                self.side.count_in(request, request.kind)
            if request.time_left <= 0:  # the module's word would come a turn of the loop later, and too late
                return request.reply(503, b"no time left\n")
            self.side.open_traces.add(request.trace)
            self.side.door.take(request)
        except Malformed as fault:  # framed well: the connection stays good
            request.reply(fault.status, fault.text.encode() + b"\n", fault.extra)
        except Exception:  # guards the others: one request's failure is its own
            log.exception("a request could not be taken")
            if not request.answer:
                request.reply(500, b"failed\n")

    def _drop_hop(self) -> None:
        """Fields that Connection names end here (RFC 9110, 7.6.1); those that the box must have may not."""
        if named := self.hop & (SINGLE | {b"content-length", b"transfer-encoding"}):
            raise Malformed(400, f"Connection names {min(named).decode()}")
        lines = self.lines
        self.lines = [
            part
            for n in range(0, len(lines), 4)
            if lines[n].lower() not in self.hop
            for part in lines[n : n + 4]
        ]

    def _turn_away(self, request: ClientRequest) -> None:
        """No place is free: refused before the module has seen it, so that nothing was sent on for it."""
        request.then_close = self.closing = True
        settings = self.side.config.settings
        delay = min(round(self.side.slots.retry_after_s(self.since) * 1e6), settings.max_retry_after_us)
        request.reply(
            503, b"no place: try again\n", retry_after(delay if settings.may_set_retry_after else 0)
        )

    def _read(self, request: ClientRequest, parser: httptools.HttpRequestParser) -> None:
        """Check all that the protocol asks of a request; raise `Malformed` where it is not so."""
        side, named = self.side, self.named
        if side.router is not None:
            if b"host" not in named and parser.get_http_version() == "1.1":
                raise Malformed(400, "no Host")
            return side.router.read(
                request,
                parser.get_method(),
                self.url,
                self.lines,
                b"".join(self.parts),
                named.get(b"x-expires-in"),
            )
        kind = side.classes.get(named.get(b"x-qos", b""))
        if kind is None:
            raise Malformed(400, "unknown class")
        plan = side.plans.get(named.get(b"plan", b""))
        if plan is None:
            raise Malformed(400, "unknown plan")
        if b"host" not in named and parser.get_http_version() == "1.1":
            raise Malformed(400, "no Host")
        method = parser.get_method()
        rule = side.config.settings.classes[kind]
        repeat = rule.idempotency
        wanted = b"GET" if repeat is Idempotency.SAFE else b"POST"
        if method != wanted:
            raise Malformed(405, f"the class wants {wanted.decode()}", b"Allow: " + wanted + b"\r\n")
        if method == b"GET" and self.body_size:
            raise Malformed(400, "GET with a body")
        trace = named.get(b"x-trace-id", b"")
        if not TOKEN.fullmatch(trace):
            raise Malformed(400, "bad X-Trace-Id")
        if trace in side.open_traces:  # whose answer would be whose?
            raise Malformed(409, "X-Trace-Id of an open request")
        if repeat is Idempotency.KEYED and not TOKEN.fullmatch(named.get(b"idempotency-key", b"")):
            raise Malformed(400, "bad Idempotency-Key")
        account = named.get(b"account", b"")
        if not ACCOUNT.fullmatch(account) or int(account, 16) >= 2**33:
            raise Malformed(400, "bad Account")
        expires = EXPIRES.fullmatch(named.get(b"x-expires-in", b""))
        wait = float(expires[1]) * (1000 if expires[2] == b"m" else 1) if expires else 0.0
        if not 0 < wait <= LONGEST_WAIT:
            raise Malformed(400, "bad X-Expires-In")
        text = named.get(b"quota-info", b"")
        quota = read_quota(text, side.config.settings.gateway_count) if len(text) <= MOST_QUOTA_TEXT else None
        if quota is None:
            raise Malformed(400, "bad Quota-Info")
        if quota[0] > side.most_units[plan]:
            raise Malformed(400, "more units than the plan can pass")
        request.units, request.gateways, request.first = quota
        request.kind, request.plan, request.customer = kind, plan, int(account, 16)
        # What it waited in the kernel, and what its answer will wait for us, is gone from its time. (A first
        # request may have been written right after the connect.)
        lost = MARGIN + side.door.lateness() + self.queued
        self.queued = 0
        request.trace, request.time_left = trace, int(min(wait, rule.deadline_us)) - lost
        request.is_retry = named.get(b"x-second-try", b"") == b"1"
        request.old_http = parser.get_http_version() == "1.0"
        request.is_write = method != b"GET"
        request.head = b"".join((method, b" ", self.url, b" HTTP/1.1\r\n", *self.lines))
        request.body = b"".join(self.parts)

    # Answers

    def reply(self, request: ClientRequest, status: int, body: bytes, extra: bytes) -> None:
        if request.answer or request.flow or self.transport is None or self.transport.is_closing():
            return  # one final answer, and none to a client that has left
        self._done_with(request)
        if (self.side.draining or self.side.crowded()) and request is self.waiting[-1]:
            request.then_close = self.closing = True  # behind others it would take their answers along
        self.side.count_out(request, status)
        self.side.open_traces.discard(request.trace)
        length = b"" if request.bodiless else b"Content-Length: %d\r\n" % len(body)
        request.answer = b"".join(
            (
                b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Other")),
                length,
                extra,
                b"Connection: close\r\n\r\n" if request.then_close else b"\r\n",
                b"" if request.bodiless else body,
            )
        )
        self.advance()

    def _done_with(self, request: ClientRequest) -> None:
        """Its answer is there: what still comes of its body is read and dropped, then the connection ends."""
        if request.upload is None:
            return
        request.upload.close()
        if self.upload is request.upload:
            self.upload, self.choked = None, False
            self.side.uploading -= 1
            request.then_close = self.closing = self.broken = True
            self.in_message = False

    def flow(
        self,
        request: ClientRequest,
        length: int | None,
        kind: bytes,
        on_over: Callable[[], None],
    ) -> ResponseStream | None:
        """Pass an answer on as it comes; None where it cannot be."""
        budget = self.side.budget
        if budget is None or not budget.can_admit() or self.transport is None or self.transport.is_closing():
            return None
        if request.answer or request.flow:
            return None
        self._done_with(request)
        if self.side.draining and request is self.waiting[-1]:
            request.then_close = self.closing = True
        old = request.old_http
        if length is None and old:
            request.then_close = True  # its end is the connection's
            self.closing = self.closing or request is self.waiting[-1]
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
                b"Connection: close\r\n\r\n" if request.then_close else b"\r\n",
            )
        )
        self.side.open_traces.discard(request.trace)
        request.flow = made = self.side.new_flow(request, head, length is None and not old, on_over)
        self.advance()  # it may be its turn
        return made

    def break_off(self, request: ClientRequest) -> None:
        """An answer that has begun cannot be ended: the connection is, so that it is seen not to be whole."""
        self.side.count_out(request, 502)
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def advance(self) -> None:
        """A connection's answers go in order."""
        while self.waiting and self.transport is not None and not self.transport.is_closing():
            first = self.waiting[0]
            if first.flow is not None:
                if not first.flow.open():
                    return
                self.side.count_out(first, 200)
            elif first.answer:
                self.transport.write(first.answer)
            else:
                break
            self.waiting.popleft()
            if first.then_close:
                return self._linger() if self.broken else self._close()
        self.since = self.side.now()
        if self.is_idle():
            self.side.slots.set_state(self, ConnectionState.IDLE, self.since)
        self._read_on()

    def _close(self) -> None:
        self._ends()
        if self.transport is not None:
            self.transport.close()

    def _ends(self) -> None:
        now = self.side.now()
        self.closing, self.ends_at = True, now + LINGER
        self.side.slots.set_state(self, ConnectionState.CLOSING, now)

    def _linger(self) -> None:
        """Closed with bytes unread, a connection is reset, and the answer on its way is lost."""
        self._ends()
        if self.transport is not None:
            self.transport.write_eof()
            if self.paused:
                self.transport.resume_reading()

    def _reject(self, fault: Malformed) -> None:
        """The framing is lost: answer in turn, then close."""
        if self.closing:
            return
        self.closing = self.in_message = self.broken = True
        request = ClientRequest(self)
        request.then_close = True
        self.waiting.append(request)
        request.reply(fault.status, fault.text.encode() + b"\n", fault.extra)

    def _end_after_last(self) -> None:
        """The peer asked for another protocol; what follows is not HTTP."""
        self.closing = True
        if self.waiting:
            self.waiting[-1].then_close = True
        else:
            self._close()

    def is_idle(self) -> bool:
        return not (self.waiting or self.in_message)

    def is_quiet(self) -> bool:
        """Idle, and nothing waits to be read: closed over a request that has come, it would be reset."""
        return self.is_idle() and self.transport is not None and not self.side.host.has_bytes(self.file)

    def retire(self) -> None:
        """Close an idle connection; one whose next request has come already is read first."""
        if self.is_quiet():
            self._close()

    def dismiss(self) -> None:
        """End one that has said nothing, with an answer (RFC 9110, 15.5.9): its first request may be on its
        way, and unlike a second one it would not be sent again. It is read to its end, so nothing is reset.
        """
        if self.is_quiet():
            self._reject(Malformed(408, "no request came"))

    def make_room(self) -> bool:
        """Give its place to another, at once; whether it could."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False  # it is not open yet, or is owed what the kernel has not taken
        if not (self.ends_at or self.is_quiet()):
            return False
        self.closing = True
        self.transport.abort()
        return True

    def check(self, now: float, longest_idle: float) -> None:
        """End what takes too long."""
        if self.ends_at:
            if (
                self.side.budget is not None
                and self.transport is not None
                and (self.transport.get_write_buffer_size() and self._reads(now))
            ):
                return  # the last of a long answer, which is read slowly
            if now > self.ends_at and self.transport is not None:
                self.transport.abort()  # it neither reads what it is owed nor closes
        elif self.full and self.side.budget is not None and self._reads(now):
            return
        elif self.choked and now - self.choked_since > self.side.unread:
            for request in [r for r in self.waiting if r.upload is not None and r.upload is self.upload]:
                self.side.door.give_up(request)  # its backend does not take the body
        elif self.full and now - self.full_since > (UNREAD_IN_CROWD if self.side.crowded() else UNREAD):
            if self.transport is not None:
                self.transport.abort()
        elif self.broken or (self.in_message and not self.paused):
            slow = (
                now - self.begun > SLOW_REQUEST
                if self.receive_progress is None
                else self.receive_progress.is_too_slow(now)
            )
            if slow:
                self._reject(Malformed(408, "request came too slowly"))
                for request in [r for r in self.waiting if not r.answer]:  # what is open ahead of it ends too
                    self.side.door.give_up(request)
        elif not self.spoke and self.is_idle():
            if now - self.since > self.side.slow_request:
                self.dismiss()
        elif self.is_idle() and now - self.since > longest_idle:
            self.retire()

    def _reads(self, now: float) -> bool:
        """Whether it has taken something since the last look, or has had little time to."""
        unread = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unread != self.unread:
            self.unread, self.full_since = unread, now
        return now - self.full_since < self.side.unread


class ClientSide:
    """All client connections of this front door."""

    def __init__(
        self,
        config: Config,
        door: Taker,
        most: int,
        reserve: int,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float] | None = None,
        host: Host | None = None,
    ) -> None:
        self.config, self.door, self.loop = config, door, loop
        self.host = host or Host()
        self.now = now or loop.time
        self.classes = {name.encode(): n for n, name in enumerate(config.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.plans)}
        self.most_units = [most_units(plan) for plan in config.settings.plans]
        self.slots: ConnectionSlots[Client] = ConnectionSlots(most, reserve)
        self.open_traces: set[bytes] = set()
        self.draining = False
        self.router: Router | None = None
        # By class: taken = completed + rejected + failed + gone + pending, after every event.
        self.taken, self.completed, self.rejected, self.failed, self.gone = (
            [0] * len(config.classes) for _ in range(5)
        )
        self.pending = 0
        self.uploading = 0  # of these, with their body on the way
        # Where long bodies are passed on (`flows.py`), else None:
        self.budget: ByteBudget | None = None
        self.most_body = self.replay = MOST_BODY
        self.slow_request, self.unread = SLOW_REQUEST, UNREAD
        self.new_receive_progress: Callable[[float], ReceiveProgress]
        self.new_upload: Callable[[Client, int | None], UploadStream]
        self.new_flow: Callable[[ClientRequest, bytes, bool, Callable[[], None]], ResponseStream]
        self.listener = Listener(self.admit, loop, self.room, self.host)

    def count_in(self, request: ClientRequest, kind: int) -> None:
        """A whole request has come, of this class; one of a class that is not known is not counted."""
        if 0 <= kind < len(self.taken):
            request.counted = kind
            self.taken[kind] += 1
            self.pending += 1

    def count_out(self, request: ClientRequest, status: int) -> None:
        """It has its final answer."""
        if request.counted >= 0:
            refused = self.rejected if status in (429, 503) else self.failed
            (self.completed if status == 200 else refused)[request.counted] += 1
            self.pending -= 1
            request.counted = -1

    def count_gone(self, request: ClientRequest) -> None:
        """Its client left before the answer."""
        if request.counted >= 0:
            self.gone[request.counted] += 1
            self.pending -= 1
            request.counted = -1

    @property
    def connections(self) -> Collection[Client]:
        return self.slots.states

    def listen(self, beside: bool = False) -> None:
        self.listener.listen(self.config.listen, beside)
        self.loop.call_later(SWEEP, self._sweep)

    def adopt(self, listening: socket.socket) -> None:
        """Listen with a socket of an older process of this door."""
        self.listener.adopt(listening)
        self.loop.call_later(SWEEP, self._sweep)

    def port(self) -> int:
        return self.listener.port()

    def admit(self) -> Client:
        """A new connection; there is room for it."""
        client = Client(self)
        self.slots.add(client, client.since)
        return client

    def room(self) -> bool:
        """Whether a connection that waits may be accepted; where all places are taken, one is made free."""
        waiting = self.listener.socket
        if self.slots.can_accept() or waiting is None or not self.host.has_bytes(waiting.fileno()):
            return True  # with none waiting, nothing need be closed for it
        asked = False
        for client in self.slots.eviction_candidates(self.now()):
            stage = self.slots.states[client]
            if stage is ConnectionState.NEW:
                client.dismiss()  # it goes once it has read why
                asked = True
            elif asked and stage is ConnectionState.IDLE:
                break
            elif client.make_room():
                self.left(client)  # its descriptor is closed within this turn; `limits.OWN` has room for it
                return True
        return False

    def left(self, client: Client) -> None:
        """A connection has gone."""
        self.slots.remove(client, self.now())
        self.listener.release()

    def crowded(self) -> bool:
        return len(self.slots) > CROWDED * self.slots.regular_slots

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP, self._sweep)
        self.sweep()

    def sweep(self) -> None:
        now, longest_idle = self.now(), MIN_IDLE_S if self.crowded() else IDLE_CONNECTION
        for client in list(self.connections):
            client.check(now, longest_idle)
        self.listener.release()  # some may have been silent long enough by now

    def stop_listening(self) -> None:
        """Take what waits to be accepted, then nothing more."""
        self.listener.finish()

    def retire_idle(self) -> None:
        """Close what is idle; one that came just now gets the time to speak."""
        fresh = self.now() - MIN_UNUSED_S
        for client in [c for c in self.connections if c.is_idle()]:
            if client.spoke:
                client.retire()
            elif client.since <= fresh:
                client.dismiss()

    def is_settled(self) -> bool:
        """Nothing more can come: none is accepted, and whoever is still here ends."""
        return self.listener.socket is None and all(client.ends_at for client in self.connections)


def most_units(plan: Plan) -> float:
    """More than this a plan never passes at once: its stores do not hold it."""
    return min(
        [
            store
            for rate, store in ((plan.rate_per_s, plan.burst), (plan.ceiling_rate_per_s, plan.ceiling_depth))
            if rate > 0
        ]
        or [MOST_UNITS]
    )


def retry_after(delay: int) -> bytes:
    """The header that tells a client when to return; nothing where there is no advice."""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay / 1000) / 1000) if delay > 0 else b""
