"""Delta encoding of one configuration's body against another's. No input or output here.

A body is a list of entries of some 150 bytes, of which a change touches a few. The two bodies are walked together:
equal bytes are passed over by the block; where they part, the next entries of the target are searched for near the
same offset of the base. What is not found is sent as it is: a poor delta is long, never wrong, and whoever applies
it checks the digest of the result.

Format: a zlib stream of a CBOR list, in the order of the target: `[offset, length]` copies bytes of the base, a
byte string is inserted as it is.

Weighed beside it: zstandard, level 3, with the base as its dictionary: for a change of three entries 3.0 KB and
5 ms of a core at 0.3 MB; at 10 MB it missed the likeness, 2.6 MB and 0.17 s.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import NamedTuple

import cbor2

ENTRY_END = b"},"  # where entries end, however the operator spaces them
BLOCK_BYTES = 1 << 16  # compared at once
FIRST_BLOCK_BYTES = 256  # compared first: most runs are short
ANCHOR_BYTES = 64  # of an entry's begin that are searched for: its name is in them
SEARCH_BYTES = 1 << 17  # to either side of the same offset of the base, where they are searched for
GOOD_RUN_BYTES = 512  # equal from an anchor on: some entries, so it is no chance likeness
ENTRIES_SEARCHED = 24  # one after the other
MAX_SEARCHES = 20_000  # for anchors, some 20 us each; the target beyond them is inserted as it is
MAX_DELTA_BYTES = 4 << 20  # of a delta before compression; bounds what a hostile one can unfold to
COMPRESSION_LEVEL = 1  # of zlib: a tenth more bytes than 6, for half the time


class DeltaError(ValueError):
    """These bytes are no delta against this base, or the delta would be too long."""


class DeltaStep(NamedTuple):
    """One step from the base to the target.

    Attributes:
        base_offset: where the bytes stand in the base; -1 where they are new.
        target_offset: where they stand in the target.
        length: how many bytes.
    """

    base_offset: int
    target_offset: int
    length: int


def _equal_prefix(base: bytes, base_at: int, target: bytes, target_at: int) -> int:
    """Return how many bytes are equal from these offsets on."""
    start, size = target_at, FIRST_BLOCK_BYTES
    while size:
        ours, theirs = base[base_at : base_at + size], target[target_at : target_at + size]
        if ours == theirs and ours:
            base_at += len(ours)
            target_at += len(ours)
            size = min(size * 4, BLOCK_BYTES) if len(ours) == size else 0
            continue
        size = min(size, len(ours), len(theirs)) // 2 if size > 1 else 0
        if size == 0 and base[base_at : base_at + 1] == target[target_at : target_at + 1] != b"":
            size = 1
    return target_at - start


def _equal_suffix(base: bytes, base_at: int, target: bytes, target_at: int, least: int) -> int:
    """Return how many bytes are equal before these offsets, not beyond `least` of the target."""
    count = 0
    while base_at - count > 0 and target_at - count > least:
        if base[base_at - count - 1] != target[target_at - count - 1]:
            break
        count += 1
    return count


def _equal_tail(base: bytes, target: bytes) -> int:
    """Return how many last bytes are equal, by blocks: they need no search."""
    longest, count = min(len(base), len(target)), 0
    size = BLOCK_BYTES
    while size:
        base_end, target_end = len(base) - count, len(target) - count
        fits = count + size <= longest
        if fits and base[base_end - size : base_end] == target[target_end - size : target_end]:
            count += size
        else:
            size //= 2
    return count


class _Aligner:
    """Finds where two bodies continue alike after they part."""

    def __init__(self, base: bytes, target: bytes) -> None:
        self.base = base
        self.target = target
        self.searches_left = MAX_SEARCHES

    def resynchronize(self, base_at: int, target_at: int) -> tuple[int, int]:
        """Return the offsets in the base and the target at which they continue alike.

        Args:
            base_at: where they part, in the base.
            target_at: where they part, in the target.

        Returns:
            The end of the target where they do not, or where the searches are used up.
        """
        best_length, best = 0, (base_at, len(self.target))
        entry = target_at
        for _ in range(ENTRIES_SEARCHED):
            anchor = self.target[entry : entry + ANCHOR_BYTES]
            if len(anchor) < ANCHOR_BYTES or self.searches_left <= 0:
                break
            found_at, length = self._search(anchor, base_at, entry)
            if length > best_length:
                best_length, best = length, (found_at, entry)
            if length >= GOOD_RUN_BYTES:
                break
            end = self.target.find(ENTRY_END, entry + 1)
            if end < 0:
                break
            entry = end + len(ENTRY_END)
        else:
            if best_length == 0:
                best = (base_at, entry)  # all of these entries are new
        return self._extend_back(*best, target_at)

    def _search(self, anchor: bytes, base_at: int, entry: int) -> tuple[int, int]:
        """Return where the base has this begin of an entry, and how many bytes are equal from there on."""
        self.searches_left -= 1
        found_at = self.base.find(anchor, max(0, base_at - SEARCH_BYTES), base_at + SEARCH_BYTES)
        if found_at < 0:
            return -1, 0
        return found_at, _equal_prefix(self.base, found_at, self.target, entry)

    def _extend_back(self, base_at: int, target_at: int, least: int) -> tuple[int, int]:
        """Return the offsets moved back over bytes that are equal before them."""
        if target_at >= len(self.target):
            return base_at, target_at
        count = _equal_suffix(self.base, base_at, self.target, target_at, least)
        return base_at - count, target_at - count


def align(base: bytes, target: bytes) -> Iterator[DeltaStep]:
    """Yield the steps that make the target of the base, from its first byte to its last."""
    tail = _equal_tail(base, target)
    body = target[: len(target) - tail] if tail else target
    aligner, base_at, target_at = _Aligner(base, body), 0, 0
    while target_at < len(body):
        length = _equal_prefix(base, base_at, body, target_at)
        if length:
            yield DeltaStep(base_at, target_at, length)
            base_at += length
            target_at += length
            continue
        base_at, next_at = aligner.resynchronize(base_at, target_at)
        if next_at == target_at and not _equal_prefix(base, base_at, body, target_at):
            next_at = target_at + 1
        if next_at > target_at:
            yield DeltaStep(-1, target_at, next_at - target_at)
        target_at = next_at
    if tail:
        yield DeltaStep(len(base) - tail, target_at, tail)


def encode_delta(base: bytes, target: bytes) -> bytes:
    """Return the delta that makes the target of the base. Raises DeltaError where it would be too long."""
    steps: list[list[int] | bytes] = []
    new_bytes = 0
    for base_offset, target_offset, length in align(base, target):
        if base_offset >= 0:
            steps.append([base_offset, length])
            continue
        steps.append(target[target_offset : target_offset + length])
        new_bytes += length
        if new_bytes > MAX_DELTA_BYTES // 2:
            raise DeltaError(f"over {MAX_DELTA_BYTES // 2} bytes are new")
    data = cbor2.dumps(steps)
    if len(data) > MAX_DELTA_BYTES:
        raise DeltaError(f"{len(data)} bytes, most {MAX_DELTA_BYTES}")
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_bytes: int) -> bytes:
    """Return the bytes of a zlib stream. Raises DeltaError where it is torn, or makes more than `max_bytes`."""
    inflate = zlib.decompressobj()
    try:
        data = inflate.decompress(compressed, max_bytes + 1)
    except zlib.error as error:
        raise DeltaError(str(error)) from error
    if len(data) > max_bytes or not inflate.eof or inflate.unused_data:
        raise DeltaError(f"torn, or over {max_bytes} bytes")
    return data


def apply_delta(base: bytes, delta: bytes, length: int) -> bytes:
    """Return the target; the caller checks its digest.

    Args:
        base: the body against which the delta was encoded.
        delta: what `encode_delta` returned.
        length: bytes of the target.

    Raises:
        DeltaError: the delta is malformed, or makes another length.
    """
    chunks: list[bytes | memoryview] = []
    view, missing = memoryview(base), length
    try:
        for step in cbor2.loads(decompress(delta, MAX_DELTA_BYTES)):
            chunk = step if isinstance(step, bytes) else _copied(view, step)
            missing -= len(chunk)
            if missing < 0:
                raise DeltaError(f"over {length} bytes")
            chunks.append(chunk)
    except DeltaError:
        raise
    except Exception as error:  # cbor2's decoder raises more kinds than its own
        raise DeltaError(repr(error)) from error
    if missing:
        raise DeltaError(f"{missing} bytes are missing")
    return b"".join(chunks)


def _copied(base: memoryview, step: list[int]) -> memoryview:
    """Return the bytes of the base that a step copies."""
    offset, length = step
    if offset < 0 or length <= 0 or offset + length > len(base):
        raise DeltaError(f"{length} bytes at {offset} of {len(base)}")
    return base[offset : offset + length]
