"""Walks the text of a JSON document by offset. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Generator

from irisdeal.config_store.configuration.strict_json import STRICT_DECODER

BLANKS = re.compile(r"[ \t\n\r]*")  # between tokens, by RFC 8259

ReadValue = Callable[[str, int], Generator[None, None, int]]  # key, start of its value -> end of the value


class UnsupportedShapeError(ValueError):
    """The text has a shape that incremental parsing does not support; it must be parsed non-incrementally."""


class JsonCursor:
    """One JSON document.

    Args:
        body: the bytes of the document.

    Raises:
        UnsupportedShapeError: the body is not ASCII, so byte and character offsets differ.
    """

    def __init__(self, body: bytes) -> None:
        if not body.isascii():
            raise UnsupportedShapeError("non-ASCII bytes: byte and character offsets differ")
        self.text = body.decode("ascii")
        self.decode = STRICT_DECODER.raw_decode  # text, start -> value, end

    def has(self, offset: int, character: str) -> bool:
        """Whether the character at this offset is the given one."""
        return self.text[offset : offset + 1] == character

    def skip_blanks(self, offset: int) -> int:
        """Return the offset of the next non-blank character."""
        found = BLANKS.match(self.text, offset)
        assert found is not None
        return found.end()

    def expect(self, offset: int, character: str) -> int:
        """Return the offset after the expected character and the blanks around it."""
        offset = self.skip_blanks(offset)
        if not self.has(offset, character):
            raise UnsupportedShapeError(f"offset {offset}: expected {character}")
        return self.skip_blanks(offset + 1)

    def walk_object(self, offset: int, read_value: ReadValue) -> Generator[None, None, int]:
        """Walk an object and return its end offset.

        Args:
            offset: start of the object.
            read_value: called with each key and the start offset of its value; returns the end offset of the value.
        """
        offset, seen = self.expect(offset, "{"), set()
        if self.has(offset, "}"):
            return offset + 1
        while True:
            key, offset = self.decode(self.text, offset)
            if not isinstance(key, str) or key in seen:
                raise UnsupportedShapeError("duplicate or non-string key")
            seen.add(key)
            offset = self.skip_blanks((yield from read_value(key, self.expect(offset, ":"))))
            if self.has(offset, "}"):
                return offset + 1
            offset = self.expect(offset, ",")
