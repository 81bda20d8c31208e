"""What an operator's call asks for, or why it is turned down.

Rules that this file keeps:

1. A path that is not known is 404 whatever the method; a known one with another method is 405 with `Allow`
   (RFC 9110, 15.5.5 and 15.5.6).
2. What names a backend names exactly one: a `target` that is missing, empty or there twice is 400, since a
   call that was put together wrong must not ban what its writer did not mean.
3. Every answer is one line of text.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qsl

MAX_HEAD_BYTES = 8_192  # bytes of first line and headers together; a call needs some hundred
MAX_BODY_BYTES = 4_096  # bytes: no call needs a body, some tools send one
MOST_ID = 256  # bytes of a backend's id


class CallKind(Enum):
    """The calls there are."""

    READY = "ready"
    METRICS = "metrics"
    DISABLE = "disable"
    ENABLE = "enable"


@dataclass(frozen=True, slots=True)
class Call:
    """A call that can be carried out; `target` is the id of a backend where it names one."""

    kind: CallKind
    target: bytes = b""


class CallRejected(Exception):
    """A call that cannot be carried out; answered with this status and line."""

    def __init__(self, status: int, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.text, self.allow = status, text, allow


CALLS = {
    "/ready": ("GET", CallKind.READY),
    "/metrics": ("GET", CallKind.METRICS),
    "/backends/disable": ("POST", CallKind.DISABLE),
    "/backends/enable": ("POST", CallKind.ENABLE),
}
NAMES_A_BACKEND = (CallKind.DISABLE, CallKind.ENABLE)


def parse_call(method: bytes, url: bytes) -> Call:
    """The call that a request's method and target make. TurnedDown where it is none."""
    path, _, query = url.decode("latin-1").partition("?")
    known = CALLS.get(path)
    if known is None:
        raise CallRejected(404, f"no such call: wanted one of {', '.join(CALLS)}")
    wanted, what = known
    if method.decode("latin-1") != wanted and not (wanted == "GET" and method == b"HEAD"):
        raise CallRejected(405, f"{path} wants {wanted}", wanted)
    return Call(what, _target(query) if what in NAMES_A_BACKEND else b"")


def _target(query: str) -> bytes:
    try:
        pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=16, errors="strict")
    except ValueError:  # UnicodeDecodeError is one
        raise CallRejected(400, "the query cannot be read: wanted target=ID") from None
    found = [value for name, value in pairs if name == "target"]
    if len(found) != 1 or not found[0]:
        raise CallRejected(400, "wanted target=ID, once")
    target = found[0].encode()
    if len(target) > MOST_ID:
        raise CallRejected(400, f"target is over {MOST_ID} bytes")
    return target
