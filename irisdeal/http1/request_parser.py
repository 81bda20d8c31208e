"""Bytes of one client to whole requests (RFC 9112). One reading of the framing, or none; no input or output."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import httptools

from irisdeal.http1.framing import FRAMING, OWS, Headers, Malformed, aliased
from irisdeal.http1.messages import Bounds, Request

Clock = Callable[[], float]


class RequestParser:
    """The requests of one connection. `on_request` hears of each whole one, `on_head` of each whole head."""

    def __init__(
        self, bounds: Bounds, clock: Clock, on_request: Callable[[Request], None], on_head: Callable[[], None]
    ) -> None:
        """`clock`: s on the loop's clock."""
        self.bounds, self.clock, self.on_request, self.on_head = bounds, clock, on_request, on_head
        self.parser = httptools.HttpRequestParser(self)
        self.is_reading = False  # some bytes of a request have come, and not all
        self.since = clock()  # since when nothing is coming, or the last byte of what is
        self._reset()

    def _reset(self) -> None:
        self.url, self.headers, self.parts = b"", cast(Headers, []), cast(list[bytes], [])
        self.size, self.body_size, self.has_head = 0, 0, False
        self.framed: bytes | None = None
        self.expects = False  # its client waits for a 100 before it sends the body

    def feed(self, data: bytes) -> None:
        """Take these bytes. Malformed where nothing behind them can be read."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise Malformed(400, "no upgrades here") from None
        except httptools.HttpParserError as error:
            fault = error.__context__
            if isinstance(fault, Malformed):
                raise fault from None
            raise Malformed(400, "malformed request") from None

    # The parser's calls

    def on_message_begin(self) -> None:
        self._reset()
        self.is_reading, self.since = True, self.clock()

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        if self.has_head:  # a trailer
            return
        key, value = aliased(name), value.strip(OWS)
        if key in FRAMING:
            self._frame(key, value, b"_" in name)
        elif key == b"expect" and value.lower() == b"100-continue":
            self.expects = True
        self.headers.append((name, value))

    def _frame(self, key: bytes, value: bytes, is_aliased: bool) -> None:
        is_odd = key == b"transfer-encoding" and value.lower() != b"chunked"
        if self.framed is not None or is_odd or is_aliased:
            raise Malformed(400, "odd framing")  # two ways to read it may hide a request in the body
        self.framed = key
        if key == b"content-length":
            if not value.isdigit():
                raise Malformed(400, "odd framing")
            if int(value) > self.bounds.body:
                raise Malformed(413, f"body over {self.bounds.body} bytes")

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > self.bounds.head:
            raise Malformed(431, f"head over {self.bounds.head} bytes")

    def on_headers_complete(self) -> None:
        self.has_head = True
        if self.framed == b"transfer-encoding" and self.parser.get_http_version() == "1.0":
            raise Malformed(400, "odd framing")  # RFC 9112, 6.1
        self.on_head()

    def on_body(self, body: bytes) -> None:
        self.body_size, self.since = self.body_size + len(body), self.clock()
        if self.body_size > self.bounds.body:
            raise Malformed(413, f"body over {self.bounds.body} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.is_reading, self.since = False, self.clock()
        request = Request(self.parser.get_method(), self.url, self.headers, b"".join(self.parts), self.since)
        request.keep = self.parser.should_keep_alive()
        self.on_request(request)
