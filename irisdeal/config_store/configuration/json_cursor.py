"""Walks the text of a JSON document by offset. No input or output here."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Generator

BLANKS = re.compile(r"[ \t\n\r]*")  # between tokens, by RFC 8259

ReadValue = Callable[[str, int], Generator[None, None, int]]  # key, offset of its value -> offset of its end


class UnsupportedShapeError(ValueError):
    """The text has another shape than an incremental reading supports: it must be parsed in one go."""


class JsonCursor:
    """One document.

    Args:
        body: its bytes.

    Raises:
        UnsupportedShapeError: the body is not ASCII, so offsets of bytes and characters differ.
    """

    def __init__(self, body: bytes) -> None:
        if not body.isascii():
            raise UnsupportedShapeError("bytes beyond ASCII: offsets of bytes and of characters differ")
        self.text = body.decode("ascii")
        self.decode = json.JSONDecoder().raw_decode  # text, offset -> value, offset of its end

    def has(self, offset: int, character: str) -> bool:
        """Whether this character stands here."""
        return self.text[offset : offset + 1] == character

    def skip_blanks(self, offset: int) -> int:
        """Return the offset after blanks."""
        found = BLANKS.match(self.text, offset)
        assert found is not None
        return found.end()

    def expect(self, offset: int, character: str) -> int:
        """Return the offset after this character and the blanks around it."""
        offset = self.skip_blanks(offset)
        if not self.has(offset, character):
            raise UnsupportedShapeError(f"at {offset}: wanted {character}")
        return self.skip_blanks(offset + 1)

    def walk_object(self, offset: int, read_value: ReadValue) -> Generator[None, None, int]:
        """Walk an object and return the offset of its end.

        Args:
            offset: of its begin.
            read_value: called with each key and the offset of its value; returns the offset of the value's end.
        """
        offset, seen = self.expect(offset, "{"), set()
        if self.has(offset, "}"):
            return offset + 1
        while True:
            key, offset = self.decode(self.text, offset)
            if not isinstance(key, str) or key in seen:
                raise UnsupportedShapeError("a key twice, or none")
            seen.add(key)
            offset = self.skip_blanks((yield from read_value(key, self.expect(offset, ":"))))
            if self.has(offset, "}"):
                return offset + 1
            offset = self.expect(offset, ",")
