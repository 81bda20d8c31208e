"""A request as a backend gets it."""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.http1.framing import HOP_BY_HOP_FIELDS, folded_name
from irisdeal.http1.messages import Request
from irisdeal.load_balancing.backend_choice import Backend

OWN = frozenset(
    (b"x-irisdeal-target-backend", b"x-irisdeal-tenant", b"x-irisdeal-deadline-ms", b"authorization")
)
DROPPED = HOP_BY_HOP_FIELDS | OWN
BODILESS = (b"GET", b"HEAD", b"DELETE")  # methods of which a request without a body tells no length
MARGIN_S = 0.004  # of a deadline that the answer's way back takes


@dataclass(slots=True)
class BackendRequest:
    """One attempt's request. Times are s on the loop's clock.

    `until`: when an answer is no longer waited for; `send_by`: behind which nothing is written. `is_sent`: whether
    a byte of it may have left this process.
    """

    message: bytes
    attempt_id: bytes
    is_bodiless: bool
    is_mutating: bool
    until: float
    send_by: float = float("inf")
    is_sent: bool = False


def encode(request: Request, backend: Backend, tenant: str, left_s: float) -> bytes:
    """The request with the system's own headers. `left_s`: until its deadline."""
    named = request.headers_by_name.get(b"connection", b"").lower()
    hop = {part.strip() for part in named.split(b",")} if named else ()
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if folded_name(name) not in DROPPED and name.lower() not in hop:
            lines.append(b"%s: %s\r\n" % (name, value))
    lines.append(b"X-Irisdeal-Deadline-Ms: %d\r\n" % max(1, int((left_s - MARGIN_S) * 1000)))
    lines.append(b"X-Irisdeal-Target-Backend: %s\r\n" % backend.id.encode())
    if tenant:
        lines.append(b"X-Irisdeal-Tenant: %s\r\n" % tenant.encode())
    if request.body or request.method not in BODILESS:
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines) + request.body
