"""One connection to a backend: one request at a time, each of which ends in exactly one `AttemptOutcome`.

An answer is matched by its connection, one request at a time, and by the attempt's id. A connection on which an
attempt ended in any other way than by a whole answer is never used again; nor is one for the same id once more,
as an answer that comes twice would be taken for the second's.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

import httptools

from irisdeal.http1.framing import HOP_BY_HOP_FIELDS, OWS, Headers
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.backend_message import BackendRequest
from irisdeal.proxy.outcome import AttemptOutcome, End
from irisdeal.runtime.events import Event, log_event

if TYPE_CHECKING:
    from irisdeal.proxy.connection_pool import ConnectionPool

IDLE = 8.5  # s that a connection may rest where the backend tells nothing
IDLE_SHARE = 0.85  # of what the backend tells in Keep-Alive
MOST_BODY = 64 << 20  # bytes of an answer
MOST_HEAD = 32768
PROMISES = (
    408,
    429,
    503,
)  # to a client these say that it has not run: the backend's own word for it is wanted
USER_TIMEOUT = 3000  # ms that written bytes may stay unacknowledged
USER_TIMEOUT_AGAIN = 800  # ms likewise, where the request may be sent elsewhere


class BackendConnection(asyncio.Protocol):
    """One connection to a backend."""

    def __init__(self, pool: ConnectionPool, backend: Backend) -> None:
        self.pool, self.backend = pool, backend
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[AttemptOutcome] | None = None
        self.id = b""
        self.dead = self.bodiless = self.whole = False
        self.used = 0  # requests that were written
        self.mutating = True  # as its time-outs are set
        self.idle_since, self.idle_most = 0.0, IDLE
        self._fresh()

    def _fresh(self) -> None:
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.size = self.head_size = 0
        self.begun = self.whole = self.framed = self.in_trailer = False

    # One request

    def start(self, request: BackendRequest) -> asyncio.Future[AttemptOutcome]:
        """Write the request; the outcome comes when it is known."""
        assert self.transport is not None
        if self.mutating != request.is_mutating:
            self.mutating = request.is_mutating
            timeout = USER_TIMEOUT if self.mutating else USER_TIMEOUT_AGAIN
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)
        self.done = asyncio.get_running_loop().create_future()
        self.id, self.bodiless = request.attempt_id, request.is_bodiless
        self._fresh()
        self.used += 1
        request.is_sent = True
        self.transport.write(request.message)
        return self.done

    def _finish(self, outcome: AttemptOutcome, keep: bool) -> None:
        done, self.done = self.done, None
        if not keep:
            self.drop()
        if done is not None and not done.done():
            done.set_result(outcome)

    def drop(self) -> None:
        """Close at once."""
        self.dead = True
        self.pool.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Nobody waits for the answer any more."""
        self.done = None
        self.drop()

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
        self.file = sock.fileno()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.done is not None and exc is None and self.begun and not self.framed and not self.whole:
            why = "an answer without a length"  # its end cannot be told from a break
        else:
            why = f"the connection ended: {exc or 'closed'}"
        self.transport = None
        self.dead = True
        self.pool.forget(self)
        self._finish(AttemptOutcome(End.LOST, why), keep=False)

    def data_received(self, data: bytes) -> None:
        if self.done is None:  # bytes that belong to no request
            log_event(Event.DUPLICATE_RESPONSE, backend=self.backend.id, last=self.id, bytes=len(data))
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.whole:  # more behind a whole answer: that one may stand, the connection is done with
                return self._answered(spoilt=True)
            return self._finish(
                AttemptOutcome(End.LOST, f"odd answer: {error.__context__ or error}"), keep=False
            )
        if self.whole:
            self._answered(spoilt=False)

    def _answered(self, spoilt: bool) -> None:
        named = {name.lower(): value for name, value in self.headers}
        status = self.status
        keep = self.reusable and not spoilt and not self.dead
        if (told := named.get(b"keep-alive")) is not None:
            self.idle_most = min(IDLE, IDLE_SHARE * keep_alive(told))
        id_ = named.get(b"x-irisdeal-attempt-id")
        if id_ is not None and id_ != self.id:
            log_event(Event.RESPONSE_MISMATCH, backend=self.backend.id, wanted=self.id, came=id_)
            return self._finish(AttemptOutcome(End.LOST, "an answer to another request"), keep=False)
        if id_ is None and self.used > 1:  # an earlier request's, come twice, would look alike
            return self._finish(AttemptOutcome(End.LOST, f"an answer {status} without an id"), keep=False)
        if b"x-irisdeal-not-executed" in named or status == 421:
            return self._finish(
                AttemptOutcome(
                    End.PROMISE,
                    f"turned away with {status}",
                    status,
                    retry=named.get(b"retry-after", b""),
                    misdirected=status == 421,
                ),
                keep,
            )
        if id_ is None:
            return self._finish(AttemptOutcome(End.LOST, f"an answer {status} without an id"), keep=False)
        if b"content-encoding" in named:
            return self._finish(AttemptOutcome(End.LOST, "an encoding nobody asked for"), keep=False)
        if 200 <= status < 300 and b"x-irisdeal-backend-seal" not in named:
            return self._finish(AttemptOutcome(End.LOST, "a success without a seal"), keep=False)
        if status in PROMISES:
            return self._finish(
                AttemptOutcome(End.LOST, f"{status} without a word that it has not run"), keep
            )
        headers = [field for field in self.headers if field[0].lower() not in HOP_BY_HOP_FIELDS]
        self._finish(AttemptOutcome(End.ANSWER, "", status, headers, b"".join(self.parts)), keep)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.whole:
            raise ValueError("more than one answer")
        self._fresh()
        self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size > MOST_HEAD:
            raise ValueError(f"head over {MOST_HEAD} bytes")
        if self.in_trailer:
            return
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.framed = True
        self.headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        self.in_trailer = True
        self.status = self.parser.get_status_code()
        if self.bodiless and self.status >= 200:
            self.whole, self.reusable = True, False

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MOST_BODY or self.bodiless:
            raise ValueError("a body that is too long or has no place")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.status < 200:
            self.begun = False
            self.headers = []
            return
        if not self.whole and (self.framed or self.status in (204, 304)):
            self.whole, self.reusable = True, self.parser.should_keep_alive()


def keep_alive(text: bytes) -> float:
    """The s of a Keep-Alive field; `IDLE` where it tells none."""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return IDLE
