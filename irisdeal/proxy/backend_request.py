"""A client's request as it is sent to a backend."""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.http1.body import SMALL_BODY_BYTES, Blocks
from irisdeal.http1.framing import HOP_BY_HOP_FIELDS, normalized_field_name
from irisdeal.http1.messages import Request
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.runtime.memory_budget import MemoryLease

GATEWAY_HEADERS = frozenset(
    (b"x-irisdeal-target-backend", b"x-irisdeal-tenant", b"x-irisdeal-deadline-ms", b"authorization")
)
DROPPED_HEADERS = HOP_BY_HOP_FIELDS | GATEWAY_HEADERS
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE")  # need no Content-Length without a body
DEADLINE_MARGIN_S = 0.004  # subtracted from a deadline, for returning the response to the client


@dataclass(slots=True)
class BackendRequest:
    """The request of one attempt. Times are in s on the loop's clock.

    `body`: the part of the body that follows `message`; `memory`: lease for the response, None without a budget;
    `deadline`: after which no response is awaited; `send_by`: after which nothing is written; `is_sent`:
    whether a byte of it may have left this process.
    """

    message: bytes
    attempt_id: bytes
    is_bodiless: bool
    is_mutating: bool
    deadline: float
    send_by: float = float("inf")
    is_sent: bool = False
    body: Blocks = ()
    memory: MemoryLease | None = None


def split_body(request: Request) -> tuple[bytes, Blocks]:
    """Return the part of the body that is sent with the head, and the rest; a long body is not copied."""
    if request.body_size <= SMALL_BODY_BYTES:
        return request.body, ()
    return b"", request.blocks


def encode_head(request: Request, backend: Backend, tenant: str, remaining_s: float) -> bytes:
    """Return the request's head with the gateway's own headers.

    `tenant`: empty if the request has none; `remaining_s`: time until the request's deadline.
    """
    connection_options = request.headers_by_name.get(b"connection", b"").lower()
    hop_by_hop = {name.strip() for name in connection_options.split(b",")} if connection_options else ()
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if normalized_field_name(name) not in DROPPED_HEADERS and name.lower() not in hop_by_hop:
            lines.append(b"%s: %s\r\n" % (name, value))
    deadline_ms = max(1, int((remaining_s - DEADLINE_MARGIN_S) * 1000))
    lines.append(b"X-Irisdeal-Deadline-Ms: %d\r\n" % deadline_ms)
    lines.append(b"X-Irisdeal-Target-Backend: %s\r\n" % backend.id.encode())
    if tenant:
        lines.append(b"X-Irisdeal-Tenant: %s\r\n" % tenant.encode())
    if request.blocks or request.method not in BODILESS_METHODS:
        lines.append(b"Content-Length: %d\r\n" % request.body_size)
    lines.append(b"\r\n")
    return b"".join(lines)
