"""Framing of HTTP/1.1 messages, and the hop-by-hop fields. This module does no I/O."""

from __future__ import annotations

import http

OWS = b" \t"  # optional whitespace around a field value, which is not part of it (RFC 9110, 5.5 and 5.6.3)
# Fields that apply to one connection only (RFC 9110, 7.6.1), or that are rewritten for the next one
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
# Fields that determine the length of the body (RFC 9112, 6)
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")
BODILESS_STATUSES = (204, 304)  # responses without a body (RFC 9112, 6.3)
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}

Headers = list[tuple[bytes, bytes]]  # names and values as received, in order


def normalized_field_name(name: bytes) -> bytes:
    """Return a field name in lower case with `-` for `_`, because some recipients treat the two as the same."""
    return name.lower().replace(b"_", b"-")


def response_head(status: int, headers: Headers, length: int, close: bool) -> bytes:
    """Format the head of a response. `length`: of its body, in bytes; `close`: the connection closes after it."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines += [b"%s: %s\r\n" % field for field in headers]
    if status not in BODILESS_STATUSES:  # RFC 9110, 8.6: no Content-Length with a 204
        lines.append(b"Content-Length: %d\r\n" % length)
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
