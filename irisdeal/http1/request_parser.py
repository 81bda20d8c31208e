"""Parses the byte stream of one client into requests (RFC 9112). This module does no I/O.

A request with ambiguous framing is rejected as malformed, because another recipient might find a second request in
its body (request smuggling, RFC 9112, 11.2).
"""

from __future__ import annotations

from collections.abc import Callable

import httptools

from irisdeal.http1.body import BodyCollector
from irisdeal.http1.errors import MalformedRequestError
from irisdeal.http1.framing import FRAMING_FIELDS, OWS, Headers, normalized_field_name
from irisdeal.http1.messages import Request, RequestLimits

Clock = Callable[[], float]
FIELD_OVERHEAD_BYTES = 4  # colon, space, CR and LF in the line of a field


class RequestParser:
    """The parser of one connection."""

    def __init__(
        self,
        limits: RequestLimits,
        clock: Clock,
        on_request: Callable[[Request], None],
        on_head: Callable[[], None],
    ) -> None:
        """Create a parser.

        `clock`: returns s on the loop's clock; `on_request`: called with each complete request; `on_head`: called
        after each complete head.
        """
        self.limits, self.clock, self.on_request, self.on_head = limits, clock, on_request, on_head
        self.parser = httptools.HttpRequestParser(self)
        self.has_partial_request = False  # a request is partly received
        self.last_progress_at = clock()  # when a request began or ended, or a part of its body was received
        self._reset()

    def _reset(self) -> None:
        self.url = b""
        self.headers: Headers = []
        self.body = BodyCollector()
        self.content_length = 0  # 0 without the field
        self.head_size, self.is_head_complete = 0, False
        self.framing_field: bytes | None = None  # the field that determines the body length
        # Whether the client waits for a 100 before it sends the body (RFC 9110, 10.1.1)
        self.expects_continue = False

    def feed(self, data: bytes) -> None:
        """Parse these bytes. Raises MalformedRequestError if they and anything after them cannot be parsed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise MalformedRequestError(400, "no upgrades here") from None
        except httptools.HttpParserError as error:
            cause = error.__context__  # an exception raised by one of the callbacks below
            if isinstance(cause, MalformedRequestError):
                raise cause from None
            raise MalformedRequestError(400, "malformed request") from None

    def discard(self) -> None:
        """Release what was received of an incomplete request; nothing more may be fed."""
        self._reset()
        self.has_partial_request = False

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.has_partial_request, self.last_progress_at = True, self.clock()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.url += url
        self._add_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; a trailer field only counts toward the size."""
        self._add_head_size(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        if self.is_head_complete:  # a trailer (RFC 9112, 7.1.2)
            return
        key, value = normalized_field_name(name), value.strip(OWS)
        if key in FRAMING_FIELDS:
            self._check_framing(key, value, b"_" in name)
        elif key == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        self.headers.append((name, value))

    def _check_framing(self, key: bytes, value: bytes, has_underscore: bool) -> None:
        """Reject a framing field that another recipient may interpret differently (RFC 9112, 6.1 and 6.3)."""
        is_other_coding = key == b"transfer-encoding" and value.lower() != b"chunked"
        if self.framing_field is not None or is_other_coding or has_underscore:
            raise MalformedRequestError(400, "odd framing")
        self.framing_field = key
        if key == b"content-length":
            if not value.isdigit():
                raise MalformedRequestError(400, "odd framing")
            self.content_length = int(value)
            if self.content_length > self.limits.max_body_bytes:
                raise self._body_too_long()

    def _body_too_long(self) -> MalformedRequestError:
        return MalformedRequestError(413, f"body over {self.limits.max_body_bytes} bytes")

    def _add_head_size(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.limits.max_head_bytes:
            raise MalformedRequestError(431, f"head over {self.limits.max_head_bytes} bytes")

    def on_headers_complete(self) -> None:
        """Check the complete head."""
        self.is_head_complete = True
        if self.framing_field == b"transfer-encoding" and self.parser.get_http_version() == "1.0":
            raise MalformedRequestError(400, "odd framing")  # RFC 9112, 6.1
        self.on_head()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.last_progress_at = self.clock()
        if self.body.size + len(body) > self.limits.max_body_bytes:
            raise self._body_too_long()
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        self.has_partial_request, self.last_progress_at = False, self.clock()
        blocks = self.body.take()
        request = Request(self.parser.get_method(), self.url, self.headers, blocks, self.last_progress_at)
        request.keep_alive = self.parser.should_keep_alive()
        self.on_request(request)
