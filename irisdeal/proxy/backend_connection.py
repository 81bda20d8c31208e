"""One connection to a backend: one request at a time, each of which ends in exactly one `AttemptOutcome`.

A response is matched by its connection, one request at a time, and by the attempt's id. A connection on which an
attempt ended in any other way than by a complete response is never used again; nor is one for the same id once
more, as a response that comes twice would be taken for the second attempt's.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from irisdeal.http1.framing import HOP_BY_HOP_FIELDS, OWS, Headers
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_request import BackendRequest
from irisdeal.runtime.events import Event, log_event

MAX_IDLE_S = 8.5  # that a connection may be idle where the backend states nothing
KEEP_ALIVE_SHARE = 0.85  # of the time that the backend states in Keep-Alive
MAX_BODY_BYTES = 64 << 20  # of a response
MAX_HEAD_BYTES = 32768
NOT_EXECUTED_STATUSES = (408, 429, 503)  # clients may retry after these: the backend must say that it is safe
MISDIRECTED = 421
NO_BODY_STATUSES = (204, 304)
USER_TIMEOUT_MS = 3000  # that written bytes may stay unacknowledged
IDEMPOTENT_USER_TIMEOUT_MS = 800  # likewise, where the request may be sent elsewhere


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; also the callbacks of its response parser."""

    def __init__(self, backend: Backend, on_closed: Callable[[BackendConnection], None]) -> None:
        """`on_closed`: called when it must not be used any more, possibly more than once."""
        self.backend, self.on_closed = backend, on_closed
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.response: asyncio.Future[AttemptOutcome] | None = None  # of the request that is at work
        self.attempt_id = b""
        self.is_dead = self.is_bodiless = self.is_complete = False
        self.request_count = 0  # requests that were written
        self.is_mutating = True  # the kind of request that its time-outs are set for
        self.idle_since, self.max_idle_s = 0.0, MAX_IDLE_S
        self._reset_response()

    def _reset_response(self) -> None:
        self.headers: Headers = []
        self.body_chunks: list[bytes] = []
        self.body_size = self.head_size = 0
        self.is_begun = self.is_complete = self.has_length = self.is_past_headers = False

    # One request

    def start(self, request: BackendRequest) -> asyncio.Future[AttemptOutcome]:
        """Write the request; the outcome comes when it is known."""
        assert self.transport is not None
        if self.is_mutating != request.is_mutating:
            self._set_user_timeout(self.transport, request.is_mutating)
        self.response = asyncio.get_running_loop().create_future()
        self.attempt_id, self.is_bodiless = request.attempt_id, request.is_bodiless
        self._reset_response()
        self.request_count += 1
        request.is_sent = True
        self.transport.write(request.message)
        return self.response

    def _set_user_timeout(self, transport: asyncio.Transport, is_mutating: bool) -> None:
        self.is_mutating = is_mutating
        timeout_ms = USER_TIMEOUT_MS if is_mutating else IDEMPOTENT_USER_TIMEOUT_MS
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _finish(self, outcome: AttemptOutcome, keep: bool) -> None:
        response, self.response = self.response, None
        if not keep:
            self.drop()
        if response is not None and not response.done():
            response.set_result(outcome)

    def _fail(self, reason: str, keep: bool = False) -> None:
        self._finish(AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, reason), keep)

    def is_open(self) -> bool:
        """Return whether a request may still be written."""
        return not self.is_dead and self.transport is not None and not self.transport.is_closing()

    def drop(self) -> None:
        """Close at once."""
        self.is_dead = True
        self.on_closed(self)
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Close at once: nobody waits for the response any more."""
        self.response = None
        self.drop()

    # The transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.file = sock.fileno()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is at work: it may have been executed."""
        is_read_to_end = exc is None and self.is_begun and not self.has_length and not self.is_complete
        if self.response is not None and is_read_to_end:
            reason = "an answer without a length"  # its end cannot be told from a break
        else:
            reason = f"the connection ended: {exc or 'closed'}"
        self.transport = None
        self.is_dead = True
        self.on_closed(self)
        self._fail(reason)

    def data_received(self, data: bytes) -> None:
        """Parse a response's bytes; end the request once it is complete."""
        if self.response is None:  # bytes that belong to no request
            log_event(
                Event.DUPLICATE_RESPONSE, backend=self.backend.id, last=self.attempt_id, bytes=len(data)
            )
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.is_complete:  # more bytes after a complete response: that one counts, the connection ends
                return self._complete(has_trailing_bytes=True)
            return self._fail(f"odd answer: {error.__context__ or error}")
        if self.is_complete:
            self._complete(has_trailing_bytes=False)

    # A complete response

    def _complete(self, has_trailing_bytes: bool) -> None:
        """End the request with its complete response. `has_trailing_bytes`: bytes came after it."""
        named = {name.lower(): value for name, value in self.headers}
        status = self.status
        keep = self.is_reusable and not has_trailing_bytes and not self.is_dead
        if (keep_alive := named.get(b"keep-alive")) is not None:
            self.max_idle_s = min(MAX_IDLE_S, KEEP_ALIVE_SHARE * keep_alive_s(keep_alive))
        attempt_id = named.get(b"x-irisdeal-attempt-id")
        if (mismatch := self._mismatch(attempt_id)) is not None:
            return self._fail(mismatch)
        if b"x-irisdeal-not-executed" in named or status == MISDIRECTED:
            return self._finish(self._not_executed(named), keep)
        if (violation := self._violation(named, attempt_id)) is not None:
            return self._fail(violation)
        if status in NOT_EXECUTED_STATUSES:
            return self._fail(f"{status} without X-Irisdeal-Not-Executed: may have been executed", keep)
        self._finish(self._response_outcome(), keep)

    def _mismatch(self, attempt_id: bytes | None) -> str | None:
        """Return why the response may belong to another request, if so."""
        if attempt_id is not None and attempt_id != self.attempt_id:
            log_event(
                Event.RESPONSE_MISMATCH, backend=self.backend.id, wanted=self.attempt_id, came=attempt_id
            )
            return "an answer to another request"
        if attempt_id is None and self.request_count > 1:  # a duplicate of an earlier one would look alike
            return f"an answer {self.status} without an id"
        return None

    def _not_executed(self, named: dict[bytes, bytes]) -> AttemptOutcome:
        return AttemptOutcome(
            AttemptEnd.NOT_EXECUTED,
            f"turned away with {self.status}",
            self.status,
            retry_after=named.get(b"retry-after", b""),
            is_misdirected=self.status == MISDIRECTED,
        )

    def _response_outcome(self) -> AttemptOutcome:
        headers = [field for field in self.headers if field[0].lower() not in HOP_BY_HOP_FIELDS]
        return AttemptOutcome(AttemptEnd.RESPONSE, "", self.status, headers, b"".join(self.body_chunks))

    def _violation(self, named: dict[bytes, bytes], attempt_id: bytes | None) -> str | None:
        """Return what the backends' protocol forbids in this response, if anything."""
        if attempt_id is None:
            return f"an answer {self.status} without an id"
        if b"content-encoding" in named:
            return "an encoding nobody asked for"
        if 200 <= self.status < 300 and b"x-irisdeal-backend-seal" not in named:
            return "a success without a seal"
        return None

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Begin a response; ValueError where one was complete already."""
        if self.is_complete:
            raise ValueError("more than one answer")
        self._reset_response()
        self.is_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped. ValueError where the head is too large."""
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES:
            raise ValueError(f"head over {MAX_HEAD_BYTES} bytes")
        if self.is_past_headers:
            return
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True
        self.headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """Complete a response that has no body by its request's method."""
        self.is_past_headers = True
        self.status = self.parser.get_status_code()
        if self.is_bodiless and self.status >= 200:
            self.is_complete, self.is_reusable = True, False

    def on_body(self, body: bytes) -> None:
        """Take a chunk of the body; ValueError where it is too long or there should be none."""
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES or self.is_bodiless:
            raise ValueError("a body that is too long or has no place")
        self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one (1xx) or its length is unknown."""
        if self.status < 200:
            self.is_begun = False
            self.headers = []
            return
        if not self.is_complete and (self.has_length or self.status in NO_BODY_STATUSES):
            self.is_complete, self.is_reusable = True, self.parser.should_keep_alive()


def keep_alive_s(value: bytes) -> float:
    """Return the s that a Keep-Alive header states; `MAX_IDLE_S` where it states none."""
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return MAX_IDLE_S
