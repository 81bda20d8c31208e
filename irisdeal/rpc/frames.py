"""Frames of the calls between processes: a four-byte length, then one CBOR item. This module does no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from io import BytesIO
from typing import Any

import cbor2

HELLO_REQUEST_ID = 0  # request id of the first item on a connection, which names the caller
NOTIFICATION_REQUEST_ID = -1  # request id of a notification, which is not answered
LENGTH_BYTES = 4  # size of the big-endian length in front of each frame
MAX_FRAME_BYTES = 16 << 20  # several times the size of the largest configuration

WireValue = Any  # a decoded CBOR value; the `decode` of each message checks its form


class InvalidFrameError(Exception):
    """The received bytes are not a valid frame, or the item is not allowed here; the connection must be closed."""


def encode(item: object) -> bytes:
    """Encode one item as a frame. Raises ValueError if it is longer than `MAX_FRAME_BYTES`."""
    body = cbor2.dumps(item)
    if len(body) > MAX_FRAME_BYTES:
        # A server sends this text to the caller as the answer.
        raise ValueError(f"a frame of {len(body)} bytes, most {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Decodes the byte stream of one connection into items."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[WireValue]:
        """Append `data` and yield each complete item. Raises InvalidFrameError for bytes that are not a frame."""
        self.buffer += data
        while len(self.buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise InvalidFrameError(f"frame length {length} exceeds the limit of {MAX_FRAME_BYTES}")
            if len(self.buffer) < LENGTH_BYTES + length:
                return
            body = BytesIO(self.buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self.buffer[: LENGTH_BYTES + length]
            try:
                item = cbor2.load(body)
            except Exception as error:  # the decoder of cbor2 also raises exceptions that are not its own
                raise InvalidFrameError(repr(error)) from error
            if body.tell() != length:
                raise InvalidFrameError(f"{length - body.tell()} unexpected bytes after the item")
            yield item
