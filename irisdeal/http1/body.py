"""Bodies of messages, held in blocks, so that a long one is neither joined nor copied as a whole."""

from __future__ import annotations

Blocks = tuple[bytes, ...]

BLOCK_BYTES = 256 << 10
# Up to this length a body is sent in one piece with its head, and needs no reservation of memory.
SMALL_BODY_BYTES = 64 << 10


def to_blocks(body: bytes | Blocks) -> Blocks:
    """Return a body as blocks."""
    if isinstance(body, tuple):
        return body
    return (body,) if body else ()


def size_of(blocks: Blocks) -> int:
    """Return the length of a body in bytes."""
    return sum(map(len, blocks))


class BodyCollector:
    """Collects the pieces of a body as they arrive; tiny pieces take no more memory than their bytes."""

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        self.size += len(piece)
        self._last += piece
        if len(self._last) >= BLOCK_BYTES:
            self._close_block()

    def take(self) -> Blocks:
        """Return the collected body, and start another one."""
        if self._last:
            self._close_block()
        blocks, self._blocks, self.size = tuple(self._blocks), [], 0
        return blocks

    def _close_block(self) -> None:
        self._blocks.append(bytes(self._last))
        self._last = bytearray()
