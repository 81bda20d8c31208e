"""Requests and answers of the server side, and what a client may send."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from irisdeal.http1.framing import Headers
from irisdeal.http1.phase import Phase


class Request:
    """A whole request. `arrived`: s on the loop's clock, when its last byte was read."""

    __slots__ = (
        "arrived",
        "bodiless",
        "body",
        "departed_at",
        "headers",
        "keep",
        "method",
        "named",
        "phase",
        "target",
    )

    def __init__(self, method: bytes, target: bytes, headers: Headers, body: bytes, arrived: float) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.arrived = arrived
        self.named = {name.lower(): value for name, value in headers}
        self.bodiless = method == b"HEAD"
        self.keep = True
        self.departed_at: float | None = None  # s on the loop's clock, when its client was seen to have left
        self.phase = Phase.PIPELINED


class Answer:
    """An answer, whole. `close` ends the connection behind it."""

    __slots__ = ("body", "close", "headers", "status")

    def __init__(
        self, status: int, body: bytes = b"", headers: Headers | None = None, close: bool = False
    ) -> None:
        self.status, self.body, self.headers, self.close = status, body, headers or [], close


Handler = Callable[[Request], Coroutine[Any, Any, Answer]]


class Bounds:
    """What a client may send, and how long it may take: bytes and s. May be changed while it serves."""

    def __init__(self) -> None:
        self.head, self.body = 16384, 64 << 20
        self.head_time, self.idle_time = 3.0, 15.0
