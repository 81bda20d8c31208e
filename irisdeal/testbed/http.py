"""HTTP/1.1 for the testbed: a small server and a small client on `httptools`.

They share no code with the front door, so that a bug there does not hide itself.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

import httptools

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
MAX_BODY_BYTES = 8_000_000  # of a request


class Request:
    """A received request. Header names are lower case; times are from the owner's clock, in µs."""

    __slots__ = ("body", "first_byte", "headers", "last_byte", "method", "target")

    def __init__(self, first_byte: int) -> None:
        self.first_byte, self.last_byte = first_byte, 0
        self.method, self.target = "", ""
        self.headers: dict[str, str] = {}
        self.body = b""


class Owner(Protocol):
    """The server of a `ServerConnection`, as the connection uses it."""

    def now(self) -> int:
        """Return the time, µs."""

    def opened(self, connection: ServerConnection) -> None:
        """Register a new connection."""

    def asked(self, connection: ServerConnection, request: Request) -> None:
        """Handle a complete request."""

    def closed(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended."""


class ServerConnection(asyncio.Protocol):
    """One accepted connection, for one request at a time."""

    def __init__(self, owner: Owner, front_door: int, number: int) -> None:
        self.owner, self.front_door, self.number = owner, front_door, number
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.request: Request | None = None
        self.busy = False
        self.requests = 0
        self.since = 0  # µs, time of the last change between idle and busy
        self.context: object = None  # for use by the owner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.since = self.owner.now()
        self.owner.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner of the end of the connection."""
        self.transport = None
        self.owner.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed ones reset the connection."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.request = Request(self.owner.now())

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request's target."""
        assert self.request is not None
        self.request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        assert self.request is not None
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body, which is bounded by `MAX_BODY_BYTES`."""
        assert self.request is not None
        self.request.body += body
        if len(self.request.body) > MAX_BODY_BYTES:
            raise ValueError("body too long")

    def on_message_complete(self) -> None:
        """Pass the complete request to the owner."""
        request, self.request = self.request, None
        assert request is not None
        request.method = self.parser.get_method().decode("latin-1")
        request.last_byte = self.since = self.owner.now()
        self.busy = True
        self.requests += 1
        self.owner.asked(self, request)

    def reply(self, status: int, body: bytes = b"", headers: str = "", close: bool = False) -> bool:
        """Write a complete answer; False if the connection has ended."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.busy, self.since = False, self.owner.now()
        end = "Connection: close\r\n" if close else ""
        self.transport.write(
            f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Length: {len(body)}\r\n"
            f"{headers}{end}\r\n".encode()
            + body
        )
        if close:
            self.transport.close()
        return True

    def raw(self, data: bytes) -> None:
        """Write bytes unchanged."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


def readable_now(sock: socket.socket) -> bool:
    """Whether a read of this socket would return without waiting."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ClientConnection(asyncio.Protocol):
    """One connection of a client. Complete answers are passed to `on_answer(status, headers, body)`."""

    def __init__(self, readable: Callable[[Any], bool] = readable_now) -> None:
        self.readable = readable
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.on_answer: Callable[[int, dict[str, str], bytes], None] = lambda *_: None
        self.on_end: Callable[[], None] = lambda: None
        self.headers: dict[str, str] = {}
        self.chunks: deque[bytes] = deque()
        self.received = 0  # bytes since the last request
        self.uses = 0
        self.reusable = True
        self.broken = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_end`."""
        self.transport = None
        self.on_end()

    def usable(self) -> bool:
        """Whether a further request may be written."""
        return self.transport is not None and not self.transport.is_closing() and self.reusable

    def ended(self) -> bool:
        """Whether the connection has ended, or has unread bytes or an end of stream while no answer is due.

        The event loop may not have read them yet. Checked before a write, this avoids sending a request on a
        connection that the peer has closed.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        return self.readable(self.transport.get_extra_info("socket"))

    def write(self, data: bytes) -> None:
        """Write a request."""
        assert self.transport is not None
        self.received = 0
        self.uses += 1
        self.transport.write(data)

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed ones reset the connection."""
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True
            self.close()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.headers, self.chunks = {}, deque()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Pass a final answer on; interim ones are ignored."""
        status = self.parser.get_status_code()
        if status >= 200:
            self.reusable = self.parser.should_keep_alive()
            self.on_answer(status, self.headers, b"".join(self.chunks))
