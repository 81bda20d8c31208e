"""Requests and responses of the HTTP/1.1 server, and the limits on what a client may send."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from irisdeal.http1.body import Blocks, size_of, to_blocks
from irisdeal.http1.framing import Headers
from irisdeal.http1.phase import Phase
from irisdeal.runtime.memory_budget import MemoryLease


class Request:
    """A completely received request. `received_at`: when its last byte was read, s on the loop's clock.

    `memory`: the lease of its body, and of responses to it; None without a budget.
    """

    __slots__ = (
        "blocks",
        "disconnected_at",
        "headers",
        "headers_by_name",
        "is_head",
        "keep_alive",
        "memory",
        "method",
        "phase",
        "received_at",
        "target",
    )

    def __init__(
        self, method: bytes, target: bytes, headers: Headers, body: bytes | Blocks, received_at: float
    ) -> None:
        self.method, self.target, self.headers = method, target, headers
        self.blocks, self.received_at = to_blocks(body), received_at
        self.memory: MemoryLease | None = None
        self.headers_by_name = {name.lower(): value for name, value in headers}  # duplicates: the last one
        self.is_head = method == b"HEAD"  # the response has no body (RFC 9110, 9.3.2)
        self.keep_alive = True  # whether the connection stays open after the response (RFC 9112, 9.3)
        self.disconnected_at: float | None = None  # s on the loop's clock
        self.phase = Phase.PIPELINED

    @property
    def body(self) -> bytes:
        """The whole body; a long one is copied."""
        return b"".join(self.blocks)

    @property
    def body_size(self) -> int:
        """The length of the body in bytes."""
        return size_of(self.blocks)


class Response:
    """A complete response. `close`: the connection closes after it."""

    __slots__ = ("blocks", "close", "headers", "status")

    def __init__(
        self, status: int, body: bytes | Blocks = b"", headers: Headers | None = None, close: bool = False
    ) -> None:
        self.status, self.blocks, self.headers, self.close = status, to_blocks(body), headers or [], close

    @property
    def body(self) -> bytes:
        """The whole body; a long one is copied."""
        return b"".join(self.blocks)

    @property
    def body_size(self) -> int:
        """The length of the body in bytes."""
        return size_of(self.blocks)


Handler = Callable[[Request], Coroutine[Any, Any, Response]]


class RequestLimits:
    """Limits on the size of requests and the time that clients may take.

    The values here are defaults; settings or a configuration may change them while the server runs.
    """

    __slots__ = ("head_timeout_s", "idle_timeout_s", "max_body_bytes", "max_head_bytes")

    def __init__(self) -> None:
        self.max_head_bytes = 16384  # target and fields of a request
        self.max_body_bytes = 64 << 20
        self.head_timeout_s = 3.0  # from the first byte of a request to the end of its head
        self.idle_timeout_s = 15.0  # longest time without a byte from the client
