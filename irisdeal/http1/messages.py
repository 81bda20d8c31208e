"""Requests and answers of the server side, and the limits on what a client may send."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from irisdeal.http1.framing import Headers
from irisdeal.http1.phase import Phase


class Request:
    """A request that was received to its end. `received_at`: s on the loop's clock, when its last byte was read."""

    __slots__ = (
        "body",
        "disconnected_at",
        "headers",
        "headers_by_name",
        "is_head",
        "keep_alive",
        "method",
        "phase",
        "received_at",
        "target",
    )

    def __init__(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, received_at: float
    ) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.received_at = received_at
        self.headers_by_name = {name.lower(): value for name, value in headers}  # of two alike the last one
        self.is_head = method == b"HEAD"  # its answer has no body (RFC 9110, 9.3.2)
        self.keep_alive = True  # whether the connection goes on behind its answer (RFC 9112, 9.3)
        self.disconnected_at: float | None = (
            None  # s on the loop's clock, when its client was seen to have left
        )
        self.phase = Phase.PIPELINED


class Response:
    """A complete answer. `close`: the connection ends behind it."""

    __slots__ = ("body", "close", "headers", "status")

    def __init__(
        self, status: int, body: bytes = b"", headers: Headers | None = None, close: bool = False
    ) -> None:
        self.status, self.body, self.headers, self.close = status, body, headers or [], close


Handler = Callable[[Request], Coroutine[Any, Any, Response]]


class RequestLimits:
    """The limits on what a client may send, and how long it may take; they may change while a server runs.

    The values here stand until the settings or a configuration give others.
    """

    __slots__ = ("head_timeout_s", "idle_timeout_s", "max_body_bytes", "max_head_bytes")

    def __init__(self) -> None:
        self.max_head_bytes = 16384  # of a request's target and fields
        self.max_body_bytes = 64 << 20
        self.head_timeout_s = 3.0  # from the first byte of a request to the end of its head
        self.idle_timeout_s = 15.0  # that a connection may stay without a byte from its client
