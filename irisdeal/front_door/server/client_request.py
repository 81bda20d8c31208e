"""A client's request, and the interfaces between its connection and the rest of the front door."""

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
    """A request that is rejected with this status and body text."""

    def __init__(self, status: int, text: str, extra_headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.text, self.extra_headers = status, text, extra_headers


@lru_cache(maxsize=512)  # few values repeat often; the limit bounds the memory
def parse_quota_info(text: bytes, gateway_count: int) -> tuple[float, int, int] | None:
    """Units, number of the customer's gateways and the first of them; None if the text is malformed."""
    fields = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    units = fields.get(b"units", b"")
    spread, first = fields.get(b"spread", b""), fields.get(b"first", b"")
    if not (
        DECIMAL_PATTERN.fullmatch(units)
        and INTEGER_PATTERN.fullmatch(spread)
        and INTEGER_PATTERN.fullmatch(first)
    ):
        return None
    if not (float(units) > 0 and 1 <= int(spread) <= gateway_count and int(first) < gateway_count):
        return None
    return float(units), int(spread), int(first)


class ResponseStream(ResponseSink, Protocol):
    """A response that is streamed to its client (`flows.py`)."""

    def open(self) -> bool:
        """Start writing, as all earlier responses are written; True once the response is complete."""

    def resume(self) -> None:
        """Continue after the client has read its data."""

    def client_disconnected(self) -> None:
        """Cancel the response: the client has disconnected."""


class UploadStream(RequestBody, Protocol):
    """A request's body that is streamed to a backend (`flows.py`)."""

    length: int | None  # bytes; None if chunked
    is_complete: bool  # the last byte has been received
    is_consumed: bool  # the first bytes are no longer buffered, so a retry is not possible

    def feed(self, data: bytes) -> None:
        """Add bytes received from the client."""

    def complete(self) -> None:
        """Mark the last byte as received."""

    def close(self) -> None:
        """Discard the buffered data: the request has ended."""


class ClientConnection(Protocol):
    """The client's connection as requests and streamed bodies use it."""

    transport: asyncio.Transport | None
    write_paused: bool

    def reply(self, request: ClientRequest, status: int, body: bytes, extra_headers: bytes) -> None:
        """Queue the final response; responses of one connection go out in the order of their requests."""

    def start_stream(
        self,
        request: ClientRequest,
        length: int | None,
        content_type: bytes,
        on_finished: Callable[[], None],
    ) -> ResponseStream | None:
        """Start a streamed response of `length` bytes (None: chunked); None if it cannot be streamed."""

    def abort_response(self, request: ClientRequest) -> None:
        """Abort the connection during a response, so that the client sees it as incomplete."""

    def write_ready_responses(self) -> None:
        """Write the responses that are ready, in the order of their requests."""

    def set_upload_blocked(self, blocked: bool) -> None:
        """Stop reading the request's body while its backend accepts no data; resume afterwards."""


class ClientRequest:
    """A well-formed request and its response. Times are µs."""

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

    def __init__(self, connection: ClientConnection) -> None:
        self.connection, self.response = connection, b""
        self.close_after = self.is_retry = self.is_write = self.is_http_1_0 = False
        self.number = -1  # assigned by the decision loop
        self.head = self.body = self.trace_id = b""
        self.customer = self.plan = self.request_class = self.time_left = self.first_gateway = 0
        self.counted_class = -1  # class in the request counters; -1 if not counted
        self.gateway_count, self.units = 1, 1.0
        self.is_head_request = False  # its response has no body
        self.response_stream: ResponseStream | None = None  # if the response is streamed
        self.upload: UploadStream | None = None  # if the body is streamed
        self.route_context: object = None  # the router's data about the request (`routed.py`)

    def reply(self, status: int, body: bytes, extra_headers: bytes = b"") -> None:
        """Send the final response; `extra_headers` are complete header lines."""
        self.connection.reply(self, status, body, extra_headers)


class RequestHandler(Protocol):
    """Receiver of the requests that the HTTP server has read."""

    def handle_request(self, request: ClientRequest) -> None:
        """Start a request."""

    def upload_completed(self, request: ClientRequest) -> None:
        """Start the time of a request whose streamed body is complete."""

    def client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client has disconnected."""

    def fail_request(self, request: ClientRequest) -> None:
        """Answer 502, because the client's connection is being closed."""

    def can_serve(self) -> bool:
        """Whether a server list has been received."""

    def read_delay_us(self) -> int:
        """Current delay until input of clients is read, beyond the usual."""


class RequestRouter(Protocol):
    """Determines a request's class from its route instead of the class header (`routed.py`)."""

    def read(
        self,
        request: ClientRequest,
        method: bytes,
        url: bytes,
        headers: list[bytes],
        body: bytes,
        expires: bytes | None,
    ) -> None:
        """Fill a request from its message. Raises `RequestError`.

        `headers` are the forwarded header lines, in four parts each; `expires` is the value of `X-Expires-In`.
        """
