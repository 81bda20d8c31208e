"""Frames of the calls between processes: four bytes of length, then one CBOR item. No input or output here."""

from __future__ import annotations

from collections.abc import Iterator
from io import BytesIO
from typing import Any

import cbor2

HELLO_REQUEST_ID = 0  # the request id of a connection's first item, which names the caller
NOTIFICATION_REQUEST_ID = -1  # the request id of a notification, which has no answer
LENGTH_BYTES = 4  # of the length in front of each frame, big-endian
MAX_FRAME_BYTES = 16 << 20  # several times the longest configuration there is

WireValue = Any  # a value as CBOR reads it; its shape is checked by the message's `decode`


class InvalidFrameError(Exception):
    """The bytes received are no frame, or the item is none that may come here; the connection has to be closed."""


def encode(item: object) -> bytes:
    """Encode one item as a frame. ValueError where it is longer than `MAX_FRAME_BYTES`."""
    body = cbor2.dumps(item)
    if len(body) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(body)} bytes, most {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Splits the bytes of one connection into items."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[WireValue]:
        """Append `data` and yield the items that are complete. InvalidFrameError where the bytes are no frame."""
        self.buffer += data
        while len(self.buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise InvalidFrameError(f"{length} bytes announced, most {MAX_FRAME_BYTES}")
            if len(self.buffer) < LENGTH_BYTES + length:
                return
            body = BytesIO(self.buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self.buffer[: LENGTH_BYTES + length]
            try:
                item = cbor2.load(body)
            except Exception as error:  # cbor2's decoder raises more types than its own
                raise InvalidFrameError(repr(error)) from error
            if body.tell() != length:
                raise InvalidFrameError(f"{length - body.tell()} bytes behind the item")
            yield item
