"""What HTTP/1.1 says of framing and of headers that concern one connection. No input or output here."""

from __future__ import annotations

import http

OWS = b" \t"  # round a field's value, and no part of it (RFC 9110, 5.5)
# Fields that speak of one connection (RFC 9110, 7.6.1), or that are written anew.
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
FRAMING = (b"content-length", b"transfer-encoding")
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}

Headers = list[tuple[bytes, bytes]]


class Malformed(Exception):
    """A request that goes no further; answered with this status and text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def aliased(name: bytes) -> bytes:
    """The name that a reader who takes _ for - would see, in lower case."""
    return name.lower().replace(b"_", b"-")


def head(status: int, headers: Headers, length: int, close: bool) -> bytes:
    """The head of an answer of known length."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    lines += [b"%s: %s\r\n" % field for field in headers]
    if status != 204 and status != 304:
        lines.append(b"Content-Length: %d\r\n" % length)
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
