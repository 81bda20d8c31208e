"""The framing of HTTP/1.1 messages, and the fields that concern one connection. No input or output here."""

from __future__ import annotations

import http

OWS = b" \t"  # optional whitespace around a field's value, no part of it (RFC 9110, 5.5 and 5.6.3)
# Fields that concern one connection (RFC 9110, 7.6.1), or that are written anew for the next one.
HOP_BY_HOP_FIELDS = frozenset(
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
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")  # that say where a body ends (RFC 9112, 6)
BODILESS_STATUSES = (204, 304)  # their answers have no body (RFC 9112, 6.3)
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}

Headers = list[tuple[bytes, bytes]]  # name and value as they came, in their order


def normalized_field_name(name: bytes) -> bytes:
    """Return a field's name in lower case with - for _: as a recipient reads it that takes both for the same."""
    return name.lower().replace(b"_", b"-")


def response_head(status: int, headers: Headers, length: int, close: bool) -> bytes:
    """Format the head of an answer. `length`: of its body, in bytes; `close`: the connection ends behind it."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    lines += [b"%s: %s\r\n" % field for field in headers]
    if status not in BODILESS_STATUSES:  # RFC 9110, 8.6: no Content-Length with a 204
        lines.append(b"Content-Length: %d\r\n" % length)
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
