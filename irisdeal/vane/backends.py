"""Connections to backends: one request at a time on each, each ends in exactly one `Outcome`.

What keeps TWICE, REFUSED and MIXED is decided by the end that an attempt has:
`UNSENT`: no byte of the request has been written; it may go anywhere. `PROMISE`: the backend says that it did
not run it (`X-Irisdeal-Not-Executed`, 421). `ANSWER`: a whole answer to this very request. `LOST`: all else; it
may have run.

An answer is matched by its connection, one request at a time, and by the attempt's id. A connection on which an
attempt ended in any other way than by a whole answer is never used again; nor is one for the same id once more,
as an answer that comes twice would be taken for the second's.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

import httptools

from irisdeal.door.quiet import has_bytes
from irisdeal.http1.framing import HOP, OWS, Headers
from irisdeal.mast.events import tell
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.vane.backend_message import BackendRequest

CONNECT = 0.25  # s to come up: an accept queue that is full answers after seconds
IDLE = 8.5  # s that a connection may rest where the backend tells nothing
IDLE_SHARE = 0.85  # of what the backend tells in Keep-Alive
IDLE_MUTATING = 0.65  # of that again, for what may run only once: a reset would cost its answer
MOST_BODY = 64 << 20  # bytes of an answer
MOST_HEAD = 32768
PROMISES = (408, 429, 503)  # to a client these say that it has not run: the backend's own word for it is wanted
MOST_RESTING = 32  # connections of one backend
USER_TIMEOUT = 3000  # ms that written bytes may stay unacknowledged
USER_TIMEOUT_AGAIN = 800  # ms likewise, where the request may be sent elsewhere


class End(Enum):
    """How an attempt ended."""

    UNSENT = 1
    PROMISE = 2
    ANSWER = 3
    LOST = 4


@dataclass(slots=True)
class Outcome:
    """The end of an attempt, with the answer where there is one."""

    end: End
    why: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry: bytes = b""
    misdirected: bool = False
    late: bool = False  # its time was over before an answer came


class Connection(asyncio.Protocol):
    """One connection to a backend."""

    def __init__(self, pool: Pool, backend: Backend) -> None:
        self.pool, self.backend = pool, backend
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[Outcome] | None = None
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

    def start(self, request: BackendRequest) -> asyncio.Future[Outcome]:
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

    def _finish(self, outcome: Outcome, keep: bool) -> None:
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
        self._finish(Outcome(End.LOST, why), keep=False)

    def data_received(self, data: bytes) -> None:
        if self.done is None:  # bytes that belong to no request
            tell(512, backend=self.backend.id, last=self.id, bytes=len(data))
            return self.drop()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.whole:  # more behind a whole answer: that one may stand, the connection is done with
                return self._answered(spoilt=True)
            return self._finish(Outcome(End.LOST, f"odd answer: {error.__context__ or error}"), keep=False)
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
            tell(404, backend=self.backend.id, wanted=self.id, came=id_)
            return self._finish(Outcome(End.LOST, "an answer to another request"), keep=False)
        if id_ is None and self.used > 1:  # an earlier request's, come twice, would look alike
            return self._finish(Outcome(End.LOST, f"an answer {status} without an id"), keep=False)
        if b"x-irisdeal-not-executed" in named or status == 421:
            return self._finish(
                Outcome(
                    End.PROMISE,
                    f"turned away with {status}",
                    status,
                    retry=named.get(b"retry-after", b""),
                    misdirected=status == 421,
                ),
                keep,
            )
        if id_ is None:
            return self._finish(Outcome(End.LOST, f"an answer {status} without an id"), keep=False)
        if b"content-encoding" in named:
            return self._finish(Outcome(End.LOST, "an encoding nobody asked for"), keep=False)
        if 200 <= status < 300 and b"x-irisdeal-backend-seal" not in named:
            return self._finish(Outcome(End.LOST, "a success without a seal"), keep=False)
        if status in PROMISES:
            return self._finish(Outcome(End.LOST, f"{status} without a word that it has not run"), keep)
        headers = [field for field in self.headers if field[0].lower() not in HOP]
        self._finish(Outcome(End.ANSWER, "", status, headers, b"".join(self.parts)), keep)

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


class Pool:
    """The connections to all backends, kept by life: another may stand at the same address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int) -> None:
        self.loop, self.most = loop, most
        self.resting: dict[str, list[Connection]] = {}
        self.all: set[Connection] = set()
        loop.call_later(1.0, self._sweep)

    async def send(self, backend: Backend, request: BackendRequest) -> Outcome:
        """One attempt. Cancelled, it ends at once, and its connection with it."""
        send_by = min(request.until, request.send_by)
        # we stood still: its place and its permit were given for a time that is over
        if self.loop.time() >= send_by:
            return Outcome(End.UNSENT, "its time is over")
        connection = self._rested(backend, request.is_mutating, request.attempt_id)
        if connection is None:
            opened = await self._open(backend, send_by)
            if isinstance(opened, Outcome):
                return opened
            connection = opened
        waiting = connection.start(request)
        try:
            async with asyncio.timeout_at(request.until):
                return await asyncio.shield(waiting)
        except TimeoutError:
            connection.give_up()
            return Outcome(End.LOST, "no answer in time", late=True)
        except asyncio.CancelledError:
            connection.give_up()
            raise
        finally:
            if not connection.dead:
                self._rest(connection)

    async def _open(self, backend: Backend, send_by: float) -> Connection | Outcome:
        """A new connection, or why there is none."""
        if len(self.all) >= self.most and not self._make_room():
            return Outcome(End.UNSENT, "no connection to be had")
        connection = Connection(self, backend)
        self.all.add(connection)
        try:
            async with asyncio.timeout(min(CONNECT, send_by - self.loop.time())):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError) as error:
            connection.drop()
            return Outcome(End.UNSENT, f"not connected: {error or 'timed out'}")
        except asyncio.CancelledError:
            connection.drop()
            raise
        if connection.dead or connection.transport is None:
            return Outcome(End.UNSENT, "closed as it came up")
        if has_bytes(connection.file):  # an end that is known before our first byte
            connection.drop()
            return Outcome(End.UNSENT, "closed as it came up")
        return connection

    def _rested(self, backend: Backend, mutating: bool, id_: bytes = b"") -> Connection | None:
        """The connection that rested least, where it may be used for this attempt."""
        resting, now = self.resting.get(backend.id, []), self.loop.time()
        while resting:
            connection = resting.pop()
            most = connection.idle_most * (IDLE_MUTATING if mutating else 1.0)
            if connection.dead or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since > most:
                if now - connection.idle_since > connection.idle_most:
                    connection.drop()
                else:  # the newest is too old already
                    resting.append(connection)
                    return None
                continue
            if has_bytes(connection.file) or (id_ and connection.id == id_):
                connection.drop()
                continue
            backend.resting = len(resting)
            return connection
        backend.resting = 0
        return None

    def connected(self, now: float, mutating: bool) -> Iterable[str]:
        """The lives to which a connection rests that may be used now."""
        part = IDLE_MUTATING if mutating else 1.0
        return (
            id_
            for id_, resting in self.resting.items()
            if resting and now - resting[-1].idle_since <= resting[-1].idle_most * part
        )

    def _rest(self, connection: Connection) -> None:
        connection.idle_since = self.loop.time()
        resting = self.resting.setdefault(connection.backend.id, [])
        resting.append(connection)
        connection.backend.resting = len(resting)
        if len(resting) > MOST_RESTING:
            resting[0].drop()

    def _make_room(self) -> bool:
        oldest = min((few[0] for few in self.resting.values() if few), key=lambda c: c.idle_since, default=None)
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def forget(self, connection: Connection) -> None:
        self.all.discard(connection)
        resting = self.resting.get(connection.backend.id)
        if resting and connection in resting:
            resting.remove(connection)
            connection.backend.resting = len(resting)
        if not resting:
            self.resting.pop(connection.backend.id, None)

    def retire(self, id_: str) -> None:
        """A life that is gone: its resting connections end."""
        for connection in list(self.resting.get(id_, ())):
            connection.drop()

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        now = self.loop.time()
        for resting in list(self.resting.values()):
            for connection in [c for c in resting if now - c.idle_since > c.idle_most]:
                connection.drop()
