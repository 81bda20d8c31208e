"""Compressed chunks and packed differences, made once for all receivers. No input or output here."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_CACHE_BYTES = 8 << 20  # of all entries


class CacheKey(NamedTuple):
    """What an entry is: a chunk of a snapshot at `offset` (`base` is empty), or a difference (`offset` is -1)."""

    digest: bytes
    base: bytes
    offset: int

    @staticmethod
    def of_snapshot(digest: bytes, offset: int) -> CacheKey:
        """Key of the compressed chunk that starts at this offset of the body."""
        return CacheKey(digest, b"", offset)

    @staticmethod
    def of_difference(digest: bytes, base: bytes) -> CacheKey:
        """Key of the whole packed difference against this base."""
        return CacheKey(digest, base, -1)

    def entry_bytes(self, packed: bytes) -> int:
        """Bytes that an entry counts, its key included."""
        return len(packed) + len(self.digest) + len(self.base)


class ChunkCache:
    """A least recently used cache, bounded by bytes; the newest entry always stays."""

    def __init__(self) -> None:
        self.entries: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.total_bytes = 0

    def get(self, key: CacheKey) -> bytes | None:
        """Return the entry, which then counts as the last one used; None where there is none."""
        packed = self.entries.get(key)
        if packed is not None:
            self.entries.move_to_end(key)
        return packed

    def add(self, key: CacheKey, packed: bytes) -> None:
        """Add an entry that is not there yet, and evict those used longest ago while there are too many bytes."""
        self.entries[key] = packed
        self.total_bytes += key.entry_bytes(packed)
        while self.total_bytes > MAX_CACHE_BYTES and len(self.entries) > 1:
            evicted, evicted_packed = self.entries.popitem(last=False)
            self.total_bytes -= evicted.entry_bytes(evicted_packed)
