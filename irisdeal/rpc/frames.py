"""Frames: four bytes of length, then one CBOR item. No input or output here."""

from __future__ import annotations

from collections.abc import Iterator
from io import BytesIO
from typing import Any

import cbor2

HELLO = 0  # the number of a connection's first item: who calls
ONE_WAY = -1  # the number of a word that wants no answer
HEAD = 4  # bytes of length, big-endian
MOST_FRAME = 16 << 20  # bytes: several times the longest configuration there is


class BadFrame(Exception):
    """What came is no frame; the connection is done with."""


def encode(item: Any) -> bytes:
    """One frame. ValueError where the item is too long."""
    body = cbor2.dumps(item)
    if len(body) > MOST_FRAME:
        raise ValueError(f"a frame of {len(body)} bytes, most {MOST_FRAME}")
    return len(body).to_bytes(HEAD, "big") + body


class Reader:
    """Takes bytes as they come, gives whole items."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[Any]:
        """The items that are whole by now. BadFrame where bytes are none."""
        self.rest += data
        while len(self.rest) >= HEAD:
            length = int.from_bytes(self.rest[:HEAD], "big")
            if length > MOST_FRAME:
                raise BadFrame(f"{length} bytes announced, most {MOST_FRAME}")
            if len(self.rest) < HEAD + length:
                return
            body = BytesIO(self.rest[HEAD : HEAD + length])
            del self.rest[: HEAD + length]
            try:
                item = cbor2.load(body)
            except Exception as error:  # its decoder raises more kinds than its own
                raise BadFrame(repr(error)) from error
            if body.tell() != length:
                raise BadFrame(f"{length - body.tell()} bytes behind the item")
            yield item
