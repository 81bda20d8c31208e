"""Cache of compressed chunks and packed deltas, which are built once for all receivers. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_CACHE_BYTES = 8 << 20  # total of all entries


class CacheKey(NamedTuple):
    """Key of a snapshot chunk at `offset` (`base` is empty) or of a packed delta (`offset` is -1)."""

    digest: bytes
    base: bytes
    offset: int

    @staticmethod
    def of_snapshot(digest: bytes, offset: int) -> CacheKey:
        """Return the key of the compressed chunk that starts at this offset of the body."""
        return CacheKey(digest, b"", offset)

    @staticmethod
    def of_delta(digest: bytes, base: bytes) -> CacheKey:
        """Return the key of the complete packed delta against this base."""
        return CacheKey(digest, base, -1)

    def entry_bytes(self, packed: bytes) -> int:
        """Return the size of an entry in bytes, including its key."""
        return len(packed) + len(self.digest) + len(self.base)


class ChunkCache:
    """An LRU cache with a size limit in bytes; the newest entry is never evicted."""

    def __init__(self) -> None:
        self.entries: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.total_bytes = 0

    def get(self, key: CacheKey) -> bytes | None:
        """Return the entry and mark it as most recently used; None if there is none."""
        packed = self.entries.get(key)
        if packed is not None:
            self.entries.move_to_end(key)
        return packed

    def add(self, key: CacheKey, packed: bytes) -> None:
        """Add a new entry, and evict least recently used ones above `MAX_CACHE_BYTES`."""
        self.entries[key] = packed
        self.total_bytes += key.entry_bytes(packed)
        while self.total_bytes > MAX_CACHE_BYTES and len(self.entries) > 1:
            evicted, evicted_packed = self.entries.popitem(last=False)
            self.total_bytes -= evicted.entry_bytes(evicted_packed)
