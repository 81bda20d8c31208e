"""The server side of HTTP/1.1: whole requests go to a handler, its answers go out in the order of asking."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from irisdeal.http1.framing import FRAMING, OWS, Headers, Malformed, aliased, head
from irisdeal.http1.phase import Phase
from irisdeal.mast.process import Tasks

MOST_PIPELINED = 8  # requests of one connection that wait, then it is read no further
LINGER = 1.0  # s that a client may take to read why its connection ends


class Request:
    """A whole request. `left` is set when its client has gone."""

    __slots__ = (
        "arrived", "bodiless", "body", "departed_at", "headers", "keep", "left", "method", "named", "phase",
        "target")

    def __init__(self, method: bytes, target: bytes, headers: Headers, body: bytes, arrived: float) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.arrived = arrived  # s on the loop's clock, when its last byte was read
        self.named = {name.lower(): value for name, value in headers}
        self.bodiless = method == b"HEAD"
        self.keep = True
        self.left = False
        self.departed_at: float | None = None  # s on the loop's clock, when its client was seen to have left
        self.phase = Phase.PIPELINED


class Answer:
    """An answer, whole. `close` ends the connection behind it; without a status the connection just ends."""

    __slots__ = ("body", "close", "headers", "status")

    def __init__(self, status: int, body: bytes = b"", headers: Headers | None = None, close: bool = False) -> None:
        self.status, self.body, self.headers, self.close = status, body, headers or [], close


Handler = Callable[[Request], Awaitable[Answer]]


class Bounds:
    """What a client may send, and how long it may take: bytes and s. May be changed while it serves."""

    def __init__(self) -> None:
        self.head, self.body = 16384, 64 << 20
        self.head_time, self.idle_time = 3.0, 15.0


class Connection(asyncio.Protocol):
    """One client."""

    def __init__(self, server: HttpServer) -> None:
        self.server, self.loop = server, server.loop
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[Request] = deque()
        self.at_work: Request | None = None
        self.ending = self.paused = self.reading = self.expects = False
        self.since = self.loop.time()  # since when it is idle, or its request is coming
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.headers, self.parts = b"", cast(Headers, []), cast(list[bytes], [])
        self.size, self.body_size, self.in_trailer = 0, 0, False
        self.framed: bytes | None = None
        self.expects = False  # its client waits for a 100 before it sends the body

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self.server.connections.discard(self)
        for request in (self.at_work, *self.waiting):
            if request is not None:
                request.left = True
                self._departed(request)
        self.waiting.clear()

    def _departed(self, request: Request) -> None:
        """Its client was seen to have left, or to send no more."""
        if request.departed_at is None:
            request.departed_at = self.loop.time()
            self.server.on_departed(request)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(Malformed(400, "no upgrades here"))
        except httptools.HttpParserError as error:
            fault = error.__context__
            self._reject(fault if isinstance(fault, Malformed) else Malformed(400, "malformed request"))
        if len(self.waiting) >= MOST_PIPELINED and not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Nothing more comes: what came whole is answered, the last answer ends the connection."""
        last = self._last()
        if last is not None:
            self.ending, last.keep = True, False
            for request in (self.at_work, *self.waiting):
                if request is not None:
                    self._departed(request)
        return last is not None

    def _last(self) -> Request | None:
        """The newest request that is owed an answer."""
        return self.waiting[-1] if self.waiting else self.at_work

    # The parser's calls

    def on_message_begin(self) -> None:
        self._fresh()
        self.reading, self.since = True, self.loop.time()

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        if self.in_trailer:
            return
        key, value = aliased(name), value.strip(OWS)
        if key in FRAMING:
            odd = key == b"transfer-encoding" and value.lower() != b"chunked"
            if self.framed is not None or odd or b"_" in name:
                raise Malformed(400, "odd framing")  # two ways to read it may hide a request in the body
            self.framed = key
            if key == b"content-length":
                if not value.isdigit():
                    raise Malformed(400, "odd framing")
                if int(value) > self.server.bounds.body:
                    raise Malformed(413, f"body over {self.server.bounds.body} bytes")
        elif key == b"expect" and value.lower() == b"100-continue":
            self.expects = True
        self.headers.append((name, value))

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > self.server.bounds.head:
            raise Malformed(431, f"head over {self.server.bounds.head} bytes")

    def on_headers_complete(self) -> None:
        self.in_trailer = True
        assert self.parser is not None
        if self.framed == b"transfer-encoding" and self.parser.get_http_version() == "1.0":
            raise Malformed(400, "odd framing")  # RFC 9112, 6.1
        self._encourage()

    def _encourage(self) -> None:
        """A 100 to a client that waits for it, not before the answers to its earlier requests are out."""
        its_turn = self.reading and self.in_trailer and self._last() is None
        if self.expects and its_turn and self.transport is not None:
            self.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_size, self.since = self.body_size + len(body), self.loop.time()
        if self.body_size > self.server.bounds.body:
            raise Malformed(413, f"body over {self.server.bounds.body} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.ending or self.parser is None:
            return
        self.reading, self.since = False, self.loop.time()
        request = Request(self.parser.get_method(), self.url, self.headers, b"".join(self.parts), self.since)
        request.keep = self.parser.should_keep_alive()
        self.ending = not request.keep
        self.waiting.append(request)
        if self.at_work is None:
            self._next()

    # Answers

    def _next(self) -> None:
        if self.waiting:
            self.at_work = self.waiting.popleft()
            self.at_work.phase = Phase.STARTED
            self.server.at_work += 1
            self.server.tasks.start(self._serve(self.at_work))

    async def _serve(self, request: Request) -> None:
        answer = Answer(500, b"a fault of our own\n")
        try:
            answer = await self.server.handler(request)
        finally:
            self.server.at_work -= 1
            self.at_work = None
            request.phase = Phase.ANSWERED
            self._reply(request, answer)

    def _reply(self, request: Request, answer: Answer) -> None:
        if self.transport is None:
            return
        close = answer.close or not request.keep or (self.server.leaving and not self.waiting)
        body = b"" if request.bodiless or answer.status in (204, 304) else answer.body
        self.transport.write(head(answer.status, answer.headers, len(answer.body), close) + body)
        self.since = self.loop.time()
        if close:
            return self._end()
        self._next()
        self._encourage()
        if self.paused and len(self.waiting) < MOST_PIPELINED:
            self.paused = False
            self.transport.resume_reading()

    def _reject(self, fault: Malformed) -> None:
        """Nothing behind it can be read; what came whole before it has its answer first."""
        if self.transport is None or self.ending:
            return
        self.ending = True
        if self.at_work is None:
            text = fault.text.encode() + b"\n"
            self.transport.write(head(fault.status, [], len(text), True) + text)
            self._end()
        elif (last := self._last()) is not None:
            last.keep = False

    def _end(self) -> None:
        """The last answer is out: read on for a moment, since closing with unread bytes resets."""
        self.ending = True
        if self.transport is not None:
            if self.transport.can_write_eof():
                self.transport.write_eof()
            self.loop.call_later(LINGER, self.drop)

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def look(self, now: float, bounds: Bounds) -> None:
        """End what takes too long."""
        if self.transport is None or self.at_work is not None or self.waiting:
            return
        if self.reading and now - self.since > bounds.head_time and not self.in_trailer:
            self._reject(Malformed(408, "the head took too long"))
        elif now - self.since > bounds.idle_time:
            self.drop()


class HttpServer:
    """Listens, and hands whole requests to `handler`."""

    def __init__(self, handler: Handler, loop: asyncio.AbstractEventLoop) -> None:
        self.handler, self.loop, self.bounds = handler, loop, Bounds()
        self.connections: set[Connection] = set()
        self.tasks = Tasks()
        self.on_departed: Callable[[Request], None] = lambda request: None
        self.at_work, self.leaving = 0, False
        self.listening: asyncio.Server | None = None
        self.looking: asyncio.TimerHandle | None = None

    async def listen(
        self, address: tuple[str, int], backlog: int = 1024, sock: socket.socket | None = None,
    ) -> None:
        """Serve at an address, or at a socket that listens there already."""
        if sock is not None:
            self.listening = await self.loop.create_server(lambda: Connection(self), sock=sock, backlog=backlog)
        else:
            self.listening = await self.loop.create_server(
                lambda: Connection(self), *address, backlog=backlog, reuse_address=True)
        self._look()

    def _look(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.look(now, self.bounds)
        self.looking = self.loop.call_later(1.0, self._look)

    def owed(self) -> list[Request]:
        """The requests that have no answer yet."""
        return [
            request
            for connection in self.connections
            for request in (connection.at_work, *connection.waiting)
            if request is not None
        ]

    def unsent_bytes(self) -> int:
        """Bytes of answers that the system has not taken yet."""
        transports = (connection.transport for connection in self.connections)
        return sum(transport.get_write_buffer_size() for transport in transports if transport is not None)

    def close(self) -> None:
        if self.looking is not None:
            self.looking.cancel()
        if self.listening is not None:
            self.listening.close()
        for connection in list(self.connections):
            connection.drop()
