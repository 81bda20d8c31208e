"""A client's request as the front door holds it, and what its connection and the front door offer each other."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from functools import lru_cache
from typing import Protocol

from irisdeal.front_door.server.backends import RequestBody, ResponseSink

INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class RequestError(Exception):
    """A request that goes no further; answered with this status and text."""

    def __init__(self, status: int, text: str, extra: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.text, self.extra = status, text, extra


@lru_cache(maxsize=512)  # few texts come again and again; the rest must not fill the memory
def parse_quota_info(text: bytes, doors: int) -> tuple[float, int, int] | None:
    """Units, and the number and first of the customer's front doors; None where the text is malformed."""
    fields = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    units = fields.get(b"units", b"")
    spread, first = fields.get(b"spread", b""), fields.get(b"first", b"")
    if not (
        DECIMAL_PATTERN.fullmatch(units)
        and INTEGER_PATTERN.fullmatch(spread)
        and INTEGER_PATTERN.fullmatch(first)
    ):
        return None
    if not (float(units) > 0 and 1 <= int(spread) <= doors and int(first) < doors):
        return None
    return float(units), int(spread), int(first)


class ResponseStream(ResponseSink, Protocol):
    """A response that is passed on to its client as it comes (`flows.py`)."""

    def open(self) -> bool:
        """Write from now on, since it is this response's turn; whether all of it is written."""

    def resume(self) -> None:
        """The client reads again."""

    def client_disconnected(self) -> None:
        """The client has gone."""


class UploadStream(RequestBody, Protocol):
    """A request's body that is passed on to a backend as it comes (`flows.py`)."""

    length: int | None  # bytes; None where it comes in chunks
    is_complete: bool  # its last byte has come
    is_consumed: bool  # its first bytes are gone, so that it cannot be sent again

    def feed(self, data: bytes) -> None:
        """Take the next bytes from the client."""

    def complete(self) -> None:
        """Note that the last byte has come."""

    def close(self) -> None:
        """Drop what is held: the request has ended."""


class ClientConnection(Protocol):
    """What a request, and bodies that are streamed, need of the client's connection."""

    transport: asyncio.Transport | None
    write_paused: bool

    def reply(self, request: ClientRequest, status: int, body: bytes, extra: bytes) -> None:
        """Queue the final response; responses of one connection go out in the order of their requests."""

    def start_stream(
        self, request: ClientRequest, length: int | None, kind: bytes, on_over: Callable[[], None]
    ) -> ResponseStream | None:
        """Begin a streamed response of `length` bytes, None where chunked; None where it cannot be streamed."""

    def abort_response(self, request: ClientRequest) -> None:
        """End the connection amid a response, so that the client sees that it is incomplete."""

    def write_ready_responses(self) -> None:
        """Write the responses whose turn it is."""

    def set_upload_blocked(self, choked: bool) -> None:
        """Stop reading the request's body while its backend does not read, or go on."""


class ClientRequest:
    """A well-formed request and the place of its answer."""

    __slots__ = (
        "body",
        "close_after",
        "connection",
        "counted_class",
        "customer",
        "first_gateway",
        "gateway_count",
        "head",
        "is_head_request",
        "is_http_1_0",
        "is_retry",
        "is_write",
        "number",
        "plan",
        "request_class",
        "response",
        "response_stream",
        "route_context",
        "time_left",
        "trace_id",
        "units",
        "upload",
    )

    def __init__(self, where: ClientConnection) -> None:
        self.connection, self.response = where, b""
        self.close_after = self.is_retry = self.is_write = self.is_http_1_0 = False
        self.number = -1  # given by the door
        self.head = self.body = self.trace_id = b""
        self.customer = self.plan = self.request_class = self.time_left = self.first_gateway = 0
        self.counted_class = -1  # the class under which it is counted, once that is known
        self.gateway_count, self.units = 1, 1.0
        self.is_head_request = False  # an answer to HEAD has no body
        self.response_stream: ResponseStream | None = None  # its answer, where that is passed on as it comes
        self.upload: UploadStream | None = None  # its body, likewise
        self.route_context: object = None  # where a description gives the routes: what the router knows of it

    def reply(self, status: int, body: bytes, extra: bytes = b"") -> None:
        """The final answer. `extra` holds whole header lines."""
        self.connection.reply(self, status, body, extra)


class RequestHandler(Protocol):
    """What the server side needs of the door."""

    def handle_request(self, request: ClientRequest) -> None: ...

    def upload_completed(self, request: ClientRequest) -> None: ...

    def client_disconnected(self, request: ClientRequest) -> None: ...

    def fail_request(self, request: ClientRequest) -> None: ...

    def can_serve(self) -> bool: ...

    def read_delay_us(self) -> int: ...


class RequestRouter(Protocol):
    """What takes the place of the class header where a description gives the routes (`routed.py`)."""

    def read(
        self,
        request: ClientRequest,
        method: bytes,
        url: bytes,
        headers: list[bytes],
        body: bytes,
        expires: bytes | None,
    ) -> None:
        """Fill a request from its message, or raise `Malformed`.

        `headers` are those that go on, lines in four parts each; `expires` is `X-Expires-In`, which does not.
        """
