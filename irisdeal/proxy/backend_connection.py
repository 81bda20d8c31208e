"""One connection to a backend: one request at a time, each of which ends in exactly one `AttemptOutcome`.

A response is matched to its request by the connection, which has one request at a time, and by the attempt's
id. A connection is not used again after an attempt that ended without a complete response. It is not used twice
for the same attempt id either, as a duplicate of the first response would be taken for the second one.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from irisdeal.http1.body import SMALL_BODY_BYTES, BodyCollector
from irisdeal.http1.framing import HOP_BY_HOP_FIELDS, OWS, Headers
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_request import BackendRequest
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.memory_budget import MAX_RESPONSE_BYTES, ResponseLease

MAX_IDLE_S = 8.5  # if the backend sends no Keep-Alive header
KEEP_ALIVE_SHARE = 0.85  # used share of the idle time that the backend states in Keep-Alive
MAX_HEAD_BYTES = 32768
RESERVATION_STEP_BYTES = 1 << 20  # of memory for a response of unknown length
# Clients may retry after these statuses, so the backend must state that it did not execute the request.
NOT_EXECUTED_STATUSES = (408, 429, 503)
MISDIRECTED_STATUS = 421
BODILESS_STATUSES = (204, 304)
# TCP_USER_TIMEOUT: how long written bytes may stay unacknowledged
USER_TIMEOUT_MS = 3000
IDEMPOTENT_USER_TIMEOUT_MS = 800  # shorter, as an idempotent request can be retried at another backend


class BackendConnection(asyncio.Protocol):
    """One connection to a backend, with the callbacks of its response parser."""

    def __init__(self, backend: Backend, on_closed: Callable[[BackendConnection], None]) -> None:
        """`on_closed`: called when the connection must not be used any more, possibly more than once."""
        self.backend, self.on_closed = backend, on_closed
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.response: asyncio.Future[AttemptOutcome] | None = None  # of the request in progress
        self.attempt_id = b""
        self.is_dead = self.is_bodiless = self.is_complete = False
        self.request_count = 0  # requests written
        self.is_mutating = True  # kind of request that TCP_USER_TIMEOUT is set for
        self.idle_since, self.max_idle_s = 0.0, MAX_IDLE_S
        self.memory: ResponseLease | None = None  # of the response to the request in progress
        self.is_paused = False  # reading waits for memory
        self._reset_response()

    def _reset_response(self) -> None:
        self.headers: Headers = []
        self.body = BodyCollector()
        self.head_size = self.content_length = 0
        self.reserved_bytes = SMALL_BODY_BYTES  # length up to which the body may grow without a reservation
        self.has_started = self.is_complete = self.has_length = self.is_past_headers = False

    # One request

    def start(self, request: BackendRequest) -> asyncio.Future[AttemptOutcome]:
        """Write the request; return a future of its outcome."""
        assert self.transport is not None
        if self.is_mutating != request.is_mutating:
            self._set_user_timeout(self.transport, request.is_mutating)
        self.response = asyncio.get_running_loop().create_future()
        self.attempt_id, self.is_bodiless = request.attempt_id, request.is_bodiless
        self.memory = request.memory.for_response() if request.memory is not None else None
        self._reset_response()
        self.request_count += 1
        request.is_sent = True
        self.transport.write(request.message)
        for block in request.body:
            self.transport.write(block)
        return self.response

    def _set_user_timeout(self, transport: asyncio.Transport, is_mutating: bool) -> None:
        self.is_mutating = is_mutating
        timeout_ms = USER_TIMEOUT_MS if is_mutating else IDEMPOTENT_USER_TIMEOUT_MS
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _finish(self, outcome: AttemptOutcome, keep_open: bool) -> None:
        response, self.response = self.response, None
        if outcome.end is AttemptEnd.RESPONSE:
            self.memory = None  # held until the client has received the response
        else:
            self._release_memory()
        if keep_open:
            self._resume_reading()
        else:
            self.drop()
        if response is not None and not response.done():
            response.set_result(outcome)

    def _fail(self, reason: str, keep_open: bool = False) -> None:
        self._finish(AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, reason), keep_open)

    def is_open(self) -> bool:
        """Return whether a request may still be written."""
        return not self.is_dead and self.transport is not None and not self.transport.is_closing()

    def drop(self) -> None:
        """Close the connection immediately."""
        self.is_dead = True
        self.on_closed(self)
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Close the connection immediately; the response is not needed any more."""
        self.response = None
        self._release_memory()
        self.drop()

    def _release_memory(self) -> None:
        """Return the memory of a response that is not passed on, and its bytes."""
        self.body = BodyCollector()
        if self.memory is not None:
            self.memory.release()
            self.memory = None

    # The transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # its local port may be listened at
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.descriptor = sock.fileno()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress, which may have been executed."""
        is_read_to_end = exc is None and self.has_started and not self.has_length and not self.is_complete
        if self.response is not None and is_read_to_end:
            reason = "an answer without a length"  # its end is indistinguishable from a broken connection
        else:
            reason = f"the connection ended: {exc or 'closed'}"
        self.transport = None
        self.is_dead = True
        self.on_closed(self)
        self._fail(reason)

    def data_received(self, data: bytes) -> None:
        """Parse a response's bytes; end the request once the response is complete."""
        if self.response is None:  # no request is in progress
            log_event(
                Event.DUPLICATE_RESPONSE, backend=self.backend.id, last=self.attempt_id, bytes=len(data)
            )
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.is_complete:  # use the complete response, and close the connection for the bytes after it
                return self._complete(has_trailing_bytes=True)
            return self._fail(f"odd answer: {error.__context__ or error}")
        if self.is_complete:
            self._complete(has_trailing_bytes=False)

    # A complete response

    def _complete(self, has_trailing_bytes: bool) -> None:
        """End the request with its complete response. `has_trailing_bytes`: further bytes followed it."""
        headers_by_name = {name.lower(): value for name, value in self.headers}
        status = self.status
        keep_open = self.is_reusable and not has_trailing_bytes and not self.is_dead
        if (keep_alive := headers_by_name.get(b"keep-alive")) is not None:
            self.max_idle_s = min(MAX_IDLE_S, KEEP_ALIVE_SHARE * keep_alive_s(keep_alive))
        attempt_id = headers_by_name.get(b"x-irisdeal-attempt-id")
        if (mismatch := self._mismatch(attempt_id)) is not None:
            return self._fail(mismatch)
        if b"x-irisdeal-not-executed" in headers_by_name or status == MISDIRECTED_STATUS:
            return self._finish(self._not_executed(headers_by_name), keep_open)
        if (violation := self._violation(headers_by_name, attempt_id)) is not None:
            return self._fail(violation)
        if status in NOT_EXECUTED_STATUSES:
            return self._fail(f"{status} without X-Irisdeal-Not-Executed: may have been executed", keep_open)
        self._finish(self._response_outcome(), keep_open)

    def _mismatch(self, attempt_id: bytes | None) -> str | None:
        """Return why the response may belong to another request; None if it does not."""
        if attempt_id is not None and attempt_id != self.attempt_id:
            log_event(
                Event.RESPONSE_MISMATCH, backend=self.backend.id, wanted=self.attempt_id, came=attempt_id
            )
            return "an answer to another request"
        if attempt_id is None and self.request_count > 1:  # may be a duplicate of an earlier response
            return f"an answer {self.status} without an id"
        return None

    def _not_executed(self, headers_by_name: dict[bytes, bytes]) -> AttemptOutcome:
        return AttemptOutcome(
            AttemptEnd.NOT_EXECUTED,
            f"turned away with {self.status}",
            self.status,
            retry_after=headers_by_name.get(b"retry-after", b""),
            is_misdirected=self.status == MISDIRECTED_STATUS,
        )

    def _response_outcome(self) -> AttemptOutcome:
        headers = [field for field in self.headers if field[0].lower() not in HOP_BY_HOP_FIELDS]
        return AttemptOutcome(AttemptEnd.RESPONSE, "", self.status, headers, self.body.take())

    def _violation(self, headers_by_name: dict[bytes, bytes], attempt_id: bytes | None) -> str | None:
        """Return how the response violates the backends' protocol; None if it does not."""
        if attempt_id is None:
            return f"an answer {self.status} without an id"
        if b"content-encoding" in headers_by_name:
            return "an encoding nobody asked for"
        if 200 <= self.status < 300 and b"x-irisdeal-backend-seal" not in headers_by_name:
            return "a success without a seal"
        return None

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Start a response. Raises ValueError if one is complete already."""
        if self.is_complete:
            raise ValueError("more than one answer")
        self._reset_response()
        self.has_started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded. Raises ValueError if the head is too large."""
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES:
            raise ValueError(f"head over {MAX_HEAD_BYTES} bytes")
        if self.is_past_headers:
            return
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True
            if value.strip(OWS).isdigit():
                self.content_length = int(value)
        self.headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """Complete a response that has no body because of its request's method."""
        self.is_past_headers = True
        self.status = self.parser.get_status_code()
        if self.is_bodiless and self.status >= 200:
            self.is_complete, self.is_reusable = True, False

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body. Raises ValueError if the body is too long or must be empty."""
        if self.body.size + len(body) > MAX_RESPONSE_BYTES or self.is_bodiless:
            raise ValueError("a body that is too long or has no place")
        self.body.append(body)
        if self.body.size > self.reserved_bytes:
            self._reserve_memory()

    def _reserve_memory(self) -> None:
        """Reserve memory for the rest of the body or its next part; pause reading until it is granted."""
        wanted = max(min(self.content_length, MAX_RESPONSE_BYTES), self.body.size + RESERVATION_STEP_BYTES)
        size, self.reserved_bytes = wanted - self.reserved_bytes, wanted
        if self.memory is None or self.memory.reserve(size, self._resume_reading):
            return
        if self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        self.is_paused = False

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim response (1xx) or its length is unknown."""
        if self.status < 200:
            self.has_started = False
            self.headers = []
            return
        if not self.is_complete and (self.has_length or self.status in BODILESS_STATUSES):
            self.is_complete, self.is_reusable = True, self.parser.should_keep_alive()


def keep_alive_s(value: bytes) -> float:
    """Return the time-out in s of a Keep-Alive header; `MAX_IDLE_S` if it has none."""
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return MAX_IDLE_S
