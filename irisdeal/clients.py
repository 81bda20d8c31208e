"""The HTTP/1.1 server side: well-formed requests in, one answer each out, in order."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections import deque
from functools import lru_cache
from typing import Protocol, cast

import httptools

from cresspulley.interface import Repeat
from irisdeal.config import Config

log = logging.getLogger("irisdeal.clients")

MOST_BODY = 65_536
MOST_HEAD = 16_384
MOST_PIPELINED = 4  # unanswered requests on one connection, then it is read no further
LONGEST_WAIT = 3_600_000_000  # µs
MARGIN = 10_000  # µs of a client's time that the way here and back, and our own turn, may take
SLOW_REQUEST = 10.0  # s for a request's bytes to come
IDLE_CONNECTION = 75.0  # s
LINGER = 1.0  # s that a client with broken framing may take to read why
# Headers that speak of one connection, or that are written anew.
NOT_FORWARDED = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-expires-in"))
SINGLE = frozenset((
    b"x-trace-id", b"x-qos", b"plan", b"account", b"x-expires-in", b"idempotency-key", b"quota-info",
    b"x-second-try", b"host"))
ACCOUNT = re.compile(rb"[0-9a-fA-F]{16}")
EXPIRES = re.compile(rb"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
TOKEN = re.compile(rb"[\x21-\x7e]{1,128}")
WHOLE = re.compile(rb"[0-9]{1,9}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
REASONS = {
    200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
    500: b"Internal Server Error", 502: b"Bad Gateway", 503: b"Service Unavailable"}


class Malformed(Exception):
    """A request that goes no further; answered with this status and text."""

    def __init__(self, status: int, text: str, extra: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.text, self.extra = status, text, extra


@lru_cache(maxsize=512)  # few texts come again and again; the rest must not fill the memory
def read_quota(text: bytes, doors: int) -> tuple[float, int, int] | None:
    """Units, and the number and first of the customer's front doors; None where the text is malformed."""
    fields = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    units = fields.get(b"units", b"")
    spread, first = fields.get(b"spread", b""), fields.get(b"first", b"")
    if not (NUMBER.fullmatch(units) and WHOLE.fullmatch(spread) and WHOLE.fullmatch(first)):
        return None
    if not (float(units) > 0 and 1 <= int(spread) <= doors and int(first) < doors):
        return None
    return float(units), int(spread), int(first)


class ClientRequest:
    """A well-formed request and the place of its answer."""

    __slots__ = (
        "answer", "body", "customer", "first", "gateways", "head", "is_retry", "is_write", "kind", "number",
        "plan", "then_close", "time_left", "units", "where")

    def __init__(self, where: Client) -> None:
        self.where, self.answer = where, b""
        self.then_close = self.is_retry = self.is_write = False
        self.number = -1  # given by the door
        self.head = self.body = b""
        self.customer = self.plan = self.kind = self.time_left = self.first = 0
        self.gateways, self.units = 1, 1.0

    def reply(self, status: int, body: bytes, extra: bytes = b"") -> None:
        """The final answer. `extra` holds whole header lines."""
        self.where.reply(self, status, body, extra)


class Taker(Protocol):
    """What the server side needs of the door."""

    def take(self, request: ClientRequest) -> None: ...

    def gone(self, request: ClientRequest) -> None: ...

    def can_serve(self) -> bool: ...


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, side: ClientSide) -> None:
        self.side = side
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[ClientRequest] = deque()
        self.in_message = self.closing = self.full = self.broken = False
        self.since = side.loop.time()  # of the last change between idle and busy
        self._reset()

    def _reset(self) -> None:
        self.url, self.size = b"", 0
        self.lines: list[bytes] = []
        self.named: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.body_size = 0

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        self.side.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.side.connections.pop(self, None)
        waiting, self.waiting, self.transport = self.waiting, deque(), None
        for request in waiting:
            if not request.answer:
                self.side.door.gone(request)

    def data_received(self, data: bytes) -> None:
        if self.closing:
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
        if self.transport is not None and len(self.waiting) >= MOST_PIPELINED:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side has gone away

    def pause_writing(self) -> None:
        self.full = True  # it does not read its answers: take no further requests meanwhile
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.full = False
        self._read_on()

    def _read_on(self) -> None:
        if self.transport and not (self.full or self.closing) and len(self.waiting) < MOST_PIPELINED:
            self.transport.resume_reading()

    # The parser's calls

    def on_message_begin(self) -> None:
        self.in_message, self.since = True, self.side.loop.time()
        self._reset()

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        key = name.lower()
        if key in SINGLE:
            if key in self.named:
                raise Malformed(400, f"header {key.decode()} more than once")
            self.named[key] = value
        elif key == b"expect":
            self.named[key] = value
        elif key == b"content-length" and WHOLE.fullmatch(value) and int(value) > MOST_BODY:
            raise Malformed(413, f"body over {MOST_BODY} bytes")
        if key not in NOT_FORWARDED:
            self.lines += (name, b": ", value, b"\r\n")

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > MOST_HEAD:  # a head without end would fill the memory
            raise Malformed(431, f"head over {MOST_HEAD} bytes")

    def on_headers_complete(self) -> None:
        if self.named.get(b"expect", b"").lower() == b"100-continue" and self.transport and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MOST_BODY:
            raise Malformed(413, f"body over {MOST_BODY} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.in_message, self.since = False, self.side.loop.time()
        if self.closing:
            return  # pipelined behind the last request of this connection
        request = ClientRequest(self)
        request.then_close = self.closing = not self.parser.should_keep_alive()
        self.waiting.append(request)
        if self.url.partition(b"?")[0] == b"/_health":
            able = self.side.door.can_serve() and not self.side.draining
            return request.reply(200 if able else 503, b"ready\n" if able else b"not ready\n")
        try:
            self._read(request)
            self.side.door.take(request)
        except Malformed as fault:  # framed well: the connection stays good
            request.reply(fault.status, fault.text.encode() + b"\n", fault.extra)
        except Exception:  # guards the others: one request's failure is its own
            log.exception("a request could not be taken")
            if not request.answer:
                request.reply(500, b"failed\n")

    def _read(self, request: ClientRequest) -> None:
        """Check all that the protocol asks of a request; raise `Malformed` where it is not so."""
        side, named = self.side, self.named
        kind = side.classes.get(named.get(b"x-qos", b""))
        if kind is None:
            raise Malformed(400, "unknown class")
        plan = side.plans.get(named.get(b"plan", b""))
        if plan is None:
            raise Malformed(400, "unknown plan")
        if b"host" not in named and self.parser.get_http_version() == "1.1":
            raise Malformed(400, "no Host")
        method = self.parser.get_method()
        repeat = side.config.settings.classes[kind].repeat
        wanted = b"GET" if repeat is Repeat.SAFE else b"POST"
        if method != wanted:
            raise Malformed(405, f"the class wants {wanted.decode()}", b"Allow: " + wanted + b"\r\n")
        if method == b"GET" and self.body_size:
            raise Malformed(400, "GET with a body")
        if not TOKEN.fullmatch(named.get(b"x-trace-id", b"")):
            raise Malformed(400, "bad X-Trace-Id")
        if repeat is Repeat.KEYED and not TOKEN.fullmatch(named.get(b"idempotency-key", b"")):
            raise Malformed(400, "bad Idempotency-Key")
        account = named.get(b"account", b"")
        if not ACCOUNT.fullmatch(account) or int(account, 16) >= 2**33:
            raise Malformed(400, "bad Account")
        expires = EXPIRES.fullmatch(named.get(b"x-expires-in", b""))
        wait = float(expires[1]) * (1000 if expires[2] == b"m" else 1) if expires else 0.0
        if not 0 < wait <= LONGEST_WAIT:
            raise Malformed(400, "bad X-Expires-In")
        quota = read_quota(named.get(b"quota-info", b""), side.config.settings.gateways)
        if quota is None:
            raise Malformed(400, "bad Quota-Info")
        request.units, request.gateways, request.first = quota
        request.kind, request.plan, request.customer = kind, plan, int(account, 16)
        request.time_left = max(1, int(wait) - MARGIN)
        request.is_retry = named.get(b"x-second-try", b"") == b"1"
        request.is_write = method != b"GET"
        request.head = b"".join((method, b" ", self.url, b" HTTP/1.1\r\n", *self.lines))
        request.body = b"".join(self.parts)

    # Answers

    def reply(self, request: ClientRequest, status: int, body: bytes, extra: bytes) -> None:
        if request.answer or self.transport is None or self.transport.is_closing():
            return  # one final answer, and none to a client that has left
        if (self.side.draining or self.side.over_full()) and request is self.waiting[-1]:
            request.then_close = self.closing = True  # behind others it would take their answers along
        request.answer = b"".join((
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"Other"), len(body)),
            extra, b"Connection: close\r\n\r\n" if request.then_close else b"\r\n", body))
        while self.waiting and self.waiting[0].answer:  # a connection's answers go in order
            done = self.waiting.popleft()
            self.transport.write(done.answer)
            if done.then_close:
                return self._linger() if self.broken else self._close()
        self.since = self.side.loop.time()
        self._read_on()

    def _close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def _linger(self) -> None:
        """Closed with bytes unread, a connection is reset, and the answer on its way is lost."""
        if self.transport is not None:
            self.transport.write_eof()
            self.transport.resume_reading()
            self.side.loop.call_later(LINGER, self._close)

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

    def retire(self) -> None:
        """Close an idle connection."""
        self._close()

    def expire(self) -> None:
        """End a request whose bytes do not come."""
        self._reject(Malformed(408, "request came too slowly"))


class ClientSide:
    """All client connections of this front door."""

    def __init__(self, config: Config, door: Taker, most: int, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.door, self.most, self.loop = config, door, most, loop
        self.classes = {name.encode(): n for n, name in enumerate(config.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.plans)}
        self.connections: dict[Client, None] = {}
        self.draining = False
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        host, port = self.config.listen
        self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=1024)
        self.loop.call_later(1.0, self._sweep)

    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def opened(self, client: Client) -> None:
        self.connections[client] = None
        if len(self.connections) > self.most:  # descriptors are few: the longest idle one makes room
            idle = [c for c in self.connections if c.is_idle() and c is not client]
            if idle:
                min(idle, key=lambda c: c.since).retire()
            elif len(self.connections) > self.most + 64 and client.transport is not None:
                client.transport.abort()

    def over_full(self) -> bool:
        return len(self.connections) > self.most

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        now = self.loop.time()
        for client in list(self.connections):
            if client.in_message and not client.waiting and now - client.since > SLOW_REQUEST:
                client.expire()
            elif client.is_idle() and now - client.since > IDLE_CONNECTION:
                client.retire()

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    def retire_idle(self) -> None:
        for client in [c for c in self.connections if c.is_idle()]:
            client.retire()


def retry_after(delay: int) -> bytes:
    """The header that tells a client when to return; nothing where there is no advice."""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay / 1000) / 1000) if delay > 0 else b""
