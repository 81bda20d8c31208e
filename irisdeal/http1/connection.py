"""One client connection: its requests are served one at a time, in order (RFC 9112, 9.3.2).

A handler runs in its own task, which is cancelled when the client disconnects; the handler shields work that must
finish (as with aiohttp's `handler_cancellation` and Go's request contexts). A reset always counts as a disconnect.
A FIN does so only if the server is configured for it: it cannot be distinguished from a half-close, but nginx,
Envoy and Go's `net/http` also treat it as a disconnect.

A connection is closed in two steps: first the server's end, then, after a pause in which the client can read, the
rest. Closing both at once with unread bytes would reset the connection, and the client might lose the response
(RFC 9112, 9.6).
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from irisdeal.http1.body import SMALL_BODY_BYTES
from irisdeal.http1.errors import MalformedRequestError
from irisdeal.http1.framing import BODILESS_STATUSES, response_head
from irisdeal.http1.messages import Request, RequestLimits, Response
from irisdeal.http1.phase import Phase
from irisdeal.http1.request_parser import RequestParser
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.memory_budget import MemoryBudget, MemoryLease

MAX_PIPELINED = 8  # requests waiting on one connection; at this number reading is paused
LINGER_S = 1.0  # time for the client to read the last response after the server's end is closed
UNREAD_TIMEOUT_S = 30.0  # a client that reads no byte of its response for this long is disconnected
INTERNAL_ERROR = Response(500, b"a fault of our own\n")
# The request did not run, so a client that only half-closed the connection may retry.
CLIENT_LEFT = Response(503, b"its client has left\n", close=True)
SHUTTING_DOWN = Response(503, b"this process ends\n", [(b"Retry-After", b"0.05")], close=True)
# The request was not read completely, so it did not run.
NO_MEMORY = Response(503, b"too many long bodies\n", [(b"Retry-After", b"1")], close=True)
MAX_MEMORY_WAIT_S = 2.0  # for which a request that is arriving waits for memory before it is rejected
RESERVATION_STEP_BYTES = 1 << 20  # of memory for a body of unknown length
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionOwner(Protocol):
    """The interface that a connection uses of its server (`irisdeal.http1.server.HttpServer`)."""

    loop: asyncio.AbstractEventLoop
    limits: RequestLimits
    budget: MemoryBudget
    cancels_on_eof: bool
    is_draining: bool
    on_client_disconnected: Callable[[Request], None]
    connections: set[Connection]
    serving: dict[asyncio.Task[Response], Request]

    def serve(self, request: Request) -> asyncio.Task[Response]:
        """Start serving a request."""


class Connection(asyncio.Protocol):
    """The server's end of one connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.loop = server, server.loop
        self.parser = RequestParser(server.limits, self.loop.time, self._on_request, self._on_head)
        self.memory = MemoryLease(server.budget)  # of the request that is arriving
        self.reserved_bytes = SMALL_BODY_BYTES  # length up to which its body may grow without a reservation
        self.memory_timer: asyncio.TimerHandle | None = None  # set while reading waits for memory
        self.unsent_memory: list[MemoryLease] = []  # of long responses that are written, but not sent yet
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None  # the request being served
        self.handler_task: asyncio.Task[Response] | None = None  # the task that serves it
        self.is_input_closed = False  # no further requests are accepted
        self.is_write_closed = False  # the last response is written, and the server's end is closed
        self.is_paused = False  # reading is paused, for too many requests or for memory
        # Unsent bytes at the last check, and when their number last changed
        self.unsent_bytes, self.unsent_since = 0, 0.0

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Disable Nagle's algorithm, and register with the server."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for this client."""
        self.transport = None
        self.server.connections.discard(self)
        self._cancel_work()
        for request in self.waiting:
            self._release(request)
        self.waiting.clear()
        self._release_arriving()
        self.resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse these bytes; pause reading while too many requests wait."""
        if self.is_input_closed:
            return
        try:
            self.parser.feed(data)
        except MalformedRequestError as error:
            self._reject(error)
        if self.parser.has_partial_request and self.parser.body.size > self.reserved_bytes:
            self._reserve(self.parser.body.size + RESERVATION_STEP_BYTES)
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self.transport is None or self.transport.is_closing():
            return
        should_pause = len(self.waiting) >= MAX_PIPELINED or self.memory_timer is not None
        if should_pause and not self.is_paused:
            self.transport.pause_reading()
        elif self.is_paused and not should_pause:
            self.transport.resume_reading()
        self.is_paused = should_pause

    def resume_writing(self) -> None:
        """Release the memory of responses that the client has received, except for the last few bytes."""
        for lease in self.unsent_memory:
            lease.release()
        self.unsent_memory.clear()

    def eof_received(self) -> bool:
        """Accept no further requests. Return whether the connection stays open for a pending response."""
        last = self._last_unanswered()
        if last is None:
            return False  # the transport sends what is written before it closes
        self.is_input_closed, last.keep_alive = True, False
        if self.server.cancels_on_eof:
            self._cancel_work()
        return True

    def _cancel_work(self) -> None:
        """Cancel the task of a client that has disconnected.

        A handler may shield work that must not be repeated (`Attempt.must_finish_once_sent` of the proxy).
        """
        for request in self.unanswered():
            if request.disconnected_at is None:
                request.disconnected_at = self.loop.time()
                self.server.on_client_disconnected(request)
        if self.handler_task is not None:
            self.handler_task.cancel()

    def unanswered(self) -> list[Request]:
        """Return the requests without a response, in order."""
        return [*([self.current] if self.current is not None else []), *self.waiting]

    def _last_unanswered(self) -> Request | None:
        """Return the newest request without a response."""
        return self.waiting[-1] if self.waiting else self.current

    # Callbacks of the parser

    def _on_head(self) -> None:
        """Reserve memory for a long body of known length."""
        if self.parser.content_length > self.reserved_bytes:
            self._reserve(self.parser.content_length)
        if self.memory_timer is None:
            self._send_continue()

    def _send_continue(self) -> None:
        """Send a 100 to a client that expects it, once its earlier requests are answered."""
        parser = self.parser
        is_its_turn = (
            parser.has_partial_request and parser.is_head_complete and self._last_unanswered() is None
        )
        if parser.expects_continue and is_its_turn and self.transport is not None:
            parser.expects_continue = False
            self.transport.write(CONTINUE)

    def _on_request(self, request: Request) -> None:
        if self.is_input_closed:
            return
        self._pass_memory(request)
        self.is_input_closed = not request.keep_alive
        self.waiting.append(request)
        if self.current is None:
            self._serve_next()

    # Memory

    def _reserve(self, wanted: int) -> None:
        """Reserve memory for a body of this length; reading waits until it is granted."""
        size, self.reserved_bytes = wanted - self.reserved_bytes, wanted
        if not self.memory.reserve(size, self._on_memory_granted) and self.memory_timer is None:
            self.memory_timer = self.loop.call_later(MAX_MEMORY_WAIT_S, self._on_memory_timeout)

    def _on_memory_granted(self) -> None:
        self._stop_waiting()
        self.parser.last_progress_at = self.loop.time()
        self._send_continue()
        self._update_reading()

    def _on_memory_timeout(self) -> None:
        """Reject the arriving request; with earlier ones pending, wait on, as their responses come first."""
        if self.unanswered():
            self.memory_timer = self.loop.call_later(MAX_MEMORY_WAIT_S, self._on_memory_timeout)
            return
        budget = self.server.budget
        log_event(Event.BODY_REJECTED, used=budget.used_bytes, capacity=budget.capacity_bytes)
        self._reject_arriving(NO_MEMORY)

    def _reject_arriving(self, response: Response) -> None:
        """Answer a request that is still arriving, and close; what still comes of it is discarded."""
        self._release_arriving()
        self._write(response, close=True)
        self._close_after_response()
        self._update_reading()

    def _stop_waiting(self) -> None:
        if self.memory_timer is not None:
            self.memory_timer.cancel()
            self.memory_timer = None

    def _release_arriving(self) -> None:
        """Release the memory of the request that is arriving."""
        self._stop_waiting()
        self.memory.release()
        self.parser.discard()

    def _pass_memory(self, request: Request) -> None:
        """Pass the lease to the completely received request; the next one gets a lease of its own."""
        self._stop_waiting()
        request.memory, self.memory = self.memory, MemoryLease(self.server.budget)
        self.reserved_bytes = SMALL_BODY_BYTES

    @staticmethod
    def _release(request: Request) -> None:
        if request.memory is not None:
            request.memory.release()

    def _release_once_sent(self, request: Request, response: Response) -> None:
        """Release a request's memory; that of a long response once the client has received it."""
        is_long = response.body_size > SMALL_BODY_BYTES
        if is_long and request.memory is not None and self._has_unsent_bytes():
            self.unsent_memory.append(request.memory)
        else:
            self._release(request)

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    # Responses

    def _serve_next(self) -> None:
        """Serve the next waiting request."""
        while self.waiting and self.current is None:
            request = self.waiting.popleft()
            if request.disconnected_at is not None:
                self._respond(request, CLIENT_LEFT)
                continue
            request.phase = Phase.STARTED
            self.current = request
            self.handler_task = self.server.serve(request)
            self.handler_task.add_done_callback(partial(self._on_served, request))

    def _on_served(self, request: Request, handler_task: asyncio.Task[Response]) -> None:
        """Write the response of a finished handler, and serve the next request."""
        del self.server.serving[handler_task]
        self.current, self.handler_task = None, None
        if not handler_task.cancelled():
            response = INTERNAL_ERROR if handler_task.exception() is not None else handler_task.result()
        elif request.disconnected_at is not None:
            response = CLIENT_LEFT
        else:  # the process is stopping, and it is unknown whether the request has run
            self._release(request)
            return self.drop()
        request.phase = Phase.ANSWERED
        self._respond(request, response)
        self._release_once_sent(request, response)
        self._serve_next()
        if self.memory_timer is None:
            self._send_continue()
        self._update_reading()

    def _respond(self, request: Request, response: Response) -> None:
        """Write a response, and close the connection after it if it is the last one."""
        if self.transport is None:
            return
        is_last = not self.waiting and not self.parser.has_partial_request
        close = response.close or not request.keep_alive or (self.server.is_draining and is_last)
        if close and self.waiting:
            close = False  # the response to the last waiting request closes the connection
        self._write(response, close, request.is_head)
        self.parser.last_progress_at = max(self.parser.last_progress_at, self.loop.time())
        if close:
            self._close_after_response()

    def _write(self, response: Response, close: bool, is_head: bool = False) -> None:
        assert self.transport is not None
        head = response_head(response.status, response.headers, response.body_size, close)
        if is_head or response.status in BODILESS_STATUSES:
            self.transport.write(head)
        elif response.body_size <= SMALL_BODY_BYTES:
            self.transport.write(head + response.body)
        else:
            self.transport.write(head)
            for block in response.blocks:
                self.transport.write(block)

    def _reject(self, error: MalformedRequestError) -> None:
        """Answer a malformed request and close; while earlier requests are pending, close after their responses."""
        if self.transport is None or self.is_input_closed:
            return
        self.is_input_closed = True
        if (last := self._last_unanswered()) is not None:
            last.keep_alive = False
            return
        self._write(Response(error.status, error.text.encode() + b"\n"), close=True)
        self._close_after_response()

    # Closing

    def _close_after_response(self) -> None:
        """Close the server's end after the last response, and keep reading for `LINGER_S`."""
        self.is_input_closed = self.is_write_closed = True
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:  # the client has disconnected, and connection_lost is not called yet
            self.transport.abort()
            return
        self.loop.call_later(LINGER_S, self.drop)

    def close_for_shutdown(self) -> None:
        """Close unless a response is pending; a request that is still arriving is rejected as retriable."""
        if self.transport is None or self.is_write_closed or self.unanswered():
            return
        idle_s = self.loop.time() - self.parser.last_progress_at
        is_idle = idle_s > LINGER_S and not self.transport.get_write_buffer_size()
        if self.parser.has_partial_request:
            return self._reject_arriving(SHUTTING_DOWN)
        if is_idle:
            # No response is in transit that a reset could destroy; a client that sends now is reset immediately.
            self.is_input_closed = True
            return self.drop()
        self._close_after_response()

    def drop(self) -> None:
        """Close after the written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately."""
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Close if the client exceeds a timeout. `now`: s on the loop's clock."""
        if self.unsent_memory and not self._has_unsent_bytes():
            self.resume_writing()
        if self.transport is None or self.unanswered() or self.memory_timer is not None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since = unsent_bytes, now
        if unsent_bytes:
            if now - self.unsent_since > UNREAD_TIMEOUT_S:
                self.abort()
        elif self._is_head_late(now):
            self._reject(MalformedRequestError(408, "the head took too long"))
        elif now - self.parser.last_progress_at > self.server.limits.idle_timeout_s:
            self.drop()

    def _is_head_late(self, now: float) -> bool:
        parser = self.parser
        is_late = now - parser.last_progress_at > self.server.limits.head_timeout_s
        return parser.has_partial_request and is_late and not parser.is_head_complete
