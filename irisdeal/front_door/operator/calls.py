"""Parsing of operators' calls: what a call requests, or why it is rejected.

The rules:

1. An unknown path is 404 with any method; a known path with another method is 405 with `Allow` (RFC 9110, 15.5.5
   and 15.5.6).
2. A call for a backend names exactly one: a `target` that is missing, empty or repeated is 400, so that a call
   that was put together wrong does not ban a backend that was not meant.
3. Every response is one line of text.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qsl

MAX_HEAD_BYTES = 8_192  # request line and headers together; a call needs a few hundred
MAX_BODY_BYTES = 4_096  # no call needs a body, but some tools send one
MAX_ID_BYTES = 256


class CallKind(Enum):
    """What a call requests."""

    READY = "ready"
    METRICS = "metrics"
    DISABLE = "disable"
    ENABLE = "enable"


@dataclass(frozen=True, slots=True)
class Call:
    """A valid call; `target` is a backend's id, empty in calls that name none."""

    kind: CallKind
    target: bytes = b""


class CallRejected(Exception):
    """A call that is rejected with an HTTP status, one line of text, and the `Allow` header if not empty."""

    def __init__(self, status: int, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.text, self.allow = status, text, allow


CALLS = {
    "/ready": ("GET", CallKind.READY),
    "/metrics": ("GET", CallKind.METRICS),
    "/backends/disable": ("POST", CallKind.DISABLE),
    "/backends/enable": ("POST", CallKind.ENABLE),
}
KINDS_WITH_TARGET = (CallKind.DISABLE, CallKind.ENABLE)


def parse_call(method: bytes, url: bytes) -> Call:
    """Return the call of an HTTP request. Raises `CallRejected` where it is invalid."""
    path, _, query = url.decode("latin-1").partition("?")
    call = CALLS.get(path)
    if call is None:
        raise CallRejected(404, f"no such call: wanted one of {', '.join(CALLS)}")
    expected_method, kind = call
    if method.decode("latin-1") != expected_method and not (expected_method == "GET" and method == b"HEAD"):
        raise CallRejected(405, f"{path} wants {expected_method}", expected_method)
    return Call(kind, _parse_target(query) if kind in KINDS_WITH_TARGET else b"")


def _parse_target(query: str) -> bytes:
    try:
        pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=16, errors="strict")
    except ValueError:  # UnicodeDecodeError is one
        raise CallRejected(400, "the query cannot be read: wanted target=ID") from None
    targets = [value for name, value in pairs if name == "target"]
    if len(targets) != 1 or not targets[0]:
        raise CallRejected(400, "wanted target=ID, once")
    target = targets[0].encode()
    if len(target) > MAX_ID_BYTES:
        raise CallRejected(400, f"target is over {MAX_ID_BYTES} bytes")
    return target
