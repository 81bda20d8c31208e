"""One client's connection: its requests are served one after the other, in their order (RFC 9112, 9.3.2).

A handler runs in a task of its own. Once its client is seen to have left, the task is cancelled: whatever it waits
for ends with it, and what must go on to its end the handler shields (as aiohttp's `handler_cancellation` and Go's
request contexts do). A reset always counts as a client that left. A FIN does where the server is configured so: it
cannot be told from a half-close, and the proxies of the field take it so too (nginx, Envoy and Go's `net/http`).

A connection is closed in two steps: our end first, then the rest after a moment in which the client may read.
Closing it at once with bytes unread would reset it, and the client might lose the answer (RFC 9112, 9.6).
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from irisdeal.http1.errors import MalformedRequestError
from irisdeal.http1.framing import BODILESS_STATUSES, response_head
from irisdeal.http1.messages import Request, RequestLimits, Response
from irisdeal.http1.phase import Phase
from irisdeal.http1.request_parser import RequestParser

MAX_PIPELINED = 8  # requests of one connection that wait; beyond, reading is paused
LINGER_S = 1.0  # for the client to read the last answer, between our close and the end of the connection
UNREAD_TIMEOUT_S = 30.0  # in which a client takes no byte of its answer, then it counts as gone
INTERNAL_ERROR = Response(500, b"a fault of our own\n")
CLIENT_LEFT = Response(
    503, b"its client has left\n", close=True
)  # not run, and retriable should it still read
SHUTTING_DOWN = Response(503, b"this process ends\n", [(b"Retry-After", b"0.05")], close=True)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it (`irisdeal.http1.server.HttpServer`)."""

    loop: asyncio.AbstractEventLoop
    limits: RequestLimits
    cancels_on_eof: bool
    is_draining: bool
    on_client_disconnected: Callable[[Request], None]
    connections: set[Connection]
    serving: dict[asyncio.Task[Response], Request]

    def serve(self, request: Request) -> asyncio.Task[Response]:
        """Begin to serve a request."""


class Connection(asyncio.Protocol):
    """The server's end of one connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.loop = server, server.loop
        self.parser = RequestParser(server.limits, self.loop.time, self._on_request, self._send_continue)
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None  # the request that is served
        self.task: asyncio.Task[Response] | None = None  # that serves it
        self.is_ending = False  # no further request is taken
        self.is_finished = False  # the last answer is written, and our end is closed behind it
        self.is_paused = False
        self.unsent, self.unsent_since = 0, 0.0  # bytes that the client had not taken at the last check

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send small answers at once, and register with the server."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work for this client."""
        self.transport = None
        self.server.connections.discard(self)
        self._cancel_work()
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Parse these bytes; pause reading while too many requests wait."""
        if self.is_ending:
            return
        try:
            self.parser.feed(data)
        except MalformedRequestError as error:
            self._reject(error)
        if len(self.waiting) >= MAX_PIPELINED and not self.is_paused and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Take no further request. Return whether the connection stays open, for an answer that is pending."""
        last = self._last()
        if last is None:
            return False  # what is written goes out before the transport closes
        self.is_ending, last.keep_alive = True, False
        if self.server.cancels_on_eof:
            self._cancel_work()
        return True

    def _cancel_work(self) -> None:
        """Cancel the task of a client that has disconnected.

        A handler may exempt work that must not be repeated (`Attempt.must_finish_once_sent` of the proxy).
        """
        for request in self.unanswered():
            if request.disconnected_at is None:
                request.disconnected_at = self.loop.time()
                self.server.on_client_disconnected(request)
        if self.task is not None:
            self.task.cancel()

    def unanswered(self) -> list[Request]:
        """Return the requests that have no answer yet, in their order."""
        return [*([self.current] if self.current is not None else []), *self.waiting]

    def _last(self) -> Request | None:
        """Return the newest request that has no answer yet."""
        return self.waiting[-1] if self.waiting else self.current

    # Callbacks of the parser

    def _send_continue(self) -> None:
        """Send a 100 to a client that waits for it, once its earlier requests are answered."""
        parser = self.parser
        is_its_turn = parser.is_reading and parser.has_head and self._last() is None
        if parser.expects_continue and is_its_turn and self.transport is not None:
            parser.expects_continue = False
            self.transport.write(CONTINUE)

    def _on_request(self, request: Request) -> None:
        if self.is_ending:
            return
        self.is_ending = not request.keep_alive
        self.waiting.append(request)
        if self.current is None:
            self._serve_next()

    # Answers

    def _serve_next(self) -> None:
        """Serve the next of the requests that wait."""
        while self.waiting and self.current is None:
            request = self.waiting.popleft()
            if request.disconnected_at is not None:
                self._answer(request, CLIENT_LEFT)
                continue
            request.phase = Phase.STARTED
            self.current = request
            self.task = self.server.serve(request)
            self.task.add_done_callback(partial(self._served, request))

    def _served(self, request: Request, task: asyncio.Task[Response]) -> None:
        """Write the answer of a handler that is done, and go on with the next request."""
        del self.server.serving[task]
        self.current, self.task = None, None
        if not task.cancelled():
            answer = INTERNAL_ERROR if task.exception() is not None else task.result()
        elif request.disconnected_at is not None:
            answer = CLIENT_LEFT
        else:  # the process ends: whether the request has run is not known here
            return self.drop()
        request.phase = Phase.ANSWERED
        self._answer(request, answer)
        self._serve_next()
        self._send_continue()
        if self.is_paused and len(self.waiting) < MAX_PIPELINED and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def _answer(self, request: Request, answer: Response) -> None:
        """Write an answer; close behind it where it is the connection's last one."""
        if self.transport is None:
            return
        is_last = not self.waiting and not self.parser.is_reading
        close = answer.close or not request.keep_alive or (self.server.is_draining and is_last)
        if close and self.waiting:
            close = False  # the answer to the last one closes
        self._write(answer, close, request.is_head)
        self.parser.since = max(self.parser.since, self.loop.time())
        if close:
            self._finish()

    def _write(self, answer: Response, close: bool, is_head: bool = False) -> None:
        assert self.transport is not None
        body = b"" if is_head or answer.status in BODILESS_STATUSES else answer.body
        head = response_head(answer.status, answer.headers, len(answer.body), close)
        self.transport.write(head + body)

    def _reject(self, error: MalformedRequestError) -> None:
        """Answer a malformed request and close; complete requests before it are answered first."""
        if self.transport is None or self.is_ending:
            return
        self.is_ending = True
        if (last := self._last()) is not None:
            last.keep_alive = False
            return
        self._write(Response(error.status, error.text.encode() + b"\n"), close=True)
        self._finish()

    # The end

    def _finish(self) -> None:
        """Close our end behind the last answer, and read on for a moment."""
        self.is_ending = self.is_finished = True
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:  # the client has gone, and the system knows before connection_lost is called
            self.transport.abort()
            return
        self.loop.call_later(LINGER_S, self.drop)

    def close_for_shutdown(self) -> None:
        """Close where no answer is pending: a request that is arriving is rejected as retriable."""
        if self.transport is None or self.is_finished or self.unanswered():
            return
        idle_s = self.loop.time() - self.parser.since
        is_idle = idle_s > LINGER_S and not self.transport.get_write_buffer_size()
        if self.parser.is_reading:
            self._write(SHUTTING_DOWN, close=True)
        elif is_idle:
            # No answer is on its way that a reset could destroy, and a client that sends now is reset at once.
            self.is_ending = True
            return self.drop()
        self._finish()

    def drop(self) -> None:
        """Close, once what is written is out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Close where the client takes too long. `now`: s on the loop's clock."""
        if self.transport is None or self.unanswered():
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent:
            self.unsent, self.unsent_since = unsent, now
        if unsent:
            if now - self.unsent_since > UNREAD_TIMEOUT_S:
                self.abort()
        elif self._is_head_late(now):
            self._reject(MalformedRequestError(408, "the head took too long"))
        elif now - self.parser.since > self.server.limits.idle_timeout_s:
            self.drop()

    def _is_head_late(self, now: float) -> bool:
        parser = self.parser
        is_late = now - parser.since > self.server.limits.head_timeout_s
        return parser.is_reading and is_late and not parser.has_head
