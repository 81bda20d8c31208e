"""Delta encoding of one configuration body against another. No I/O.

A body is a list of entries of about 150 bytes, of which a change touches a few. The two bodies are walked in
parallel: equal bytes are skipped in blocks; where they diverge, the next entries of the target are searched near
the same offset of the base. Entries that are not found are inserted verbatim: a poor delta is long, but never
wrong, and the receiver checks the digest of the result.

Format: a zlib stream of a CBOR list, in the order of the target: `[offset, length]` copies bytes of the base, a
byte string is inserted verbatim.

Alternative: zstandard at level 3 with the base as its dictionary needs 3.0 KB and 5 ms of CPU time for a change of
three entries at 0.3 MB; at 10 MB it does not find the similar entries and needs 2.6 MB and 0.17 s.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import NamedTuple

import cbor2

ENTRY_END = b"},"  # end of an entry, independent of the spacing in the JSON
MAX_BLOCK_BYTES = 1 << 16  # largest block compared at once
FIRST_BLOCK_BYTES = 256  # first block compared: most equal runs are short
ANCHOR_BYTES = 64  # length of the start of an entry that is searched for; it includes the name
SEARCH_BYTES = 1 << 17  # searched range of the base, on either side of the same offset
GOOD_RUN_BYTES = 512  # an equal run of this length spans several entries, so it is no coincidence
MAX_SEARCHED_ENTRIES = 24  # consecutive entries searched for after a divergence
MAX_SEARCHES = 20_000  # anchor searches of about 20 µs each; the rest of the target is then inserted verbatim
MAX_DELTA_BYTES = 4 << 20  # before compression; bounds the expansion of a malicious delta
COMPRESSION_LEVEL = 1  # of zlib: 10% larger than level 6, in half the time


class DeltaError(ValueError):
    """The bytes are not a delta against this base, or the delta would be too long."""


class DeltaStep(NamedTuple):
    """One step from the base to the target.

    Attributes:
        base_offset: offset of the bytes in the base; -1 if they are new.
        target_offset: offset of the bytes in the target.
        length: number of bytes.
    """

    base_offset: int
    target_offset: int
    length: int


def _equal_length_after(base: bytes, base_at: int, target: bytes, target_at: int) -> int:
    """Return the number of equal bytes from these offsets on."""
    start, size = target_at, FIRST_BLOCK_BYTES
    while size:
        base_block, target_block = base[base_at : base_at + size], target[target_at : target_at + size]
        if base_block == target_block and base_block:
            base_at += len(base_block)
            target_at += len(base_block)
            size = min(size * 4, MAX_BLOCK_BYTES) if len(base_block) == size else 0
            continue
        size = min(size, len(base_block), len(target_block)) // 2 if size > 1 else 0
        if size == 0 and base[base_at : base_at + 1] == target[target_at : target_at + 1] != b"":
            size = 1
    return target_at - start


def _equal_length_before(base: bytes, base_at: int, target: bytes, target_at: int, min_target_at: int) -> int:
    """Return the number of equal bytes before these offsets, up to the offset `min_target_at` of the target."""
    count = 0
    while base_at - count > 0 and target_at - count > min_target_at:
        if base[base_at - count - 1] != target[target_at - count - 1]:
            break
        count += 1
    return count


def _common_suffix_length(base: bytes, target: bytes) -> int:
    """Return the length of the common suffix, compared in blocks; it needs no search."""
    longest, count = min(len(base), len(target)), 0
    size = MAX_BLOCK_BYTES
    while size:
        base_end, target_end = len(base) - count, len(target) - count
        fits = count + size <= longest
        if fits and base[base_end - size : base_end] == target[target_end - size : target_end]:
            count += size
        else:
            size //= 2
    return count


class _Aligner:
    """Finds the offsets from which two bodies are equal again after a divergence."""

    def __init__(self, base: bytes, target: bytes) -> None:
        self.base = base
        self.target = target
        self.searches_left = MAX_SEARCHES

    def resynchronize(self, base_at: int, target_at: int) -> tuple[int, int]:
        """Return the offsets in the base and the target from which they are equal again.

        Args:
            base_at: offset of the divergence in the base.
            target_at: offset of the divergence in the target.

        Returns:
            The end of the target as the second offset if there is no match or the searches are used up.
        """
        best_length, best = 0, (base_at, len(self.target))
        entry = target_at
        for _ in range(MAX_SEARCHED_ENTRIES):
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
        """Return the offset of this anchor in the base and the length of the equal run there; -1 and 0 if none."""
        self.searches_left -= 1
        found_at = self.base.find(anchor, max(0, base_at - SEARCH_BYTES), base_at + SEARCH_BYTES)
        if found_at < 0:
            return -1, 0
        return found_at, _equal_length_after(self.base, found_at, self.target, entry)

    def _extend_back(self, base_at: int, target_at: int, min_target_at: int) -> tuple[int, int]:
        """Return the offsets moved back over the equal bytes before them."""
        if target_at >= len(self.target):
            return base_at, target_at
        count = _equal_length_before(self.base, base_at, self.target, target_at, min_target_at)
        return base_at - count, target_at - count


def align(base: bytes, target: bytes) -> Iterator[DeltaStep]:
    """Yield the steps that build the target from the base, in target order."""
    tail = _common_suffix_length(base, target)
    body = target[: len(target) - tail] if tail else target
    aligner, base_at, target_at = _Aligner(base, body), 0, 0
    while target_at < len(body):
        length = _equal_length_after(base, base_at, body, target_at)
        if length:
            yield DeltaStep(base_at, target_at, length)
            base_at += length
            target_at += length
            continue
        base_at, next_at = aligner.resynchronize(base_at, target_at)
        if next_at == target_at and not _equal_length_after(base, base_at, body, target_at):
            next_at = target_at + 1
        if next_at > target_at:
            yield DeltaStep(-1, target_at, next_at - target_at)
        target_at = next_at
    if tail:
        yield DeltaStep(len(base) - tail, target_at, tail)


def encode_delta(base: bytes, target: bytes) -> bytes:
    """Return the delta that builds the target from the base. Raises DeltaError if it would be too long."""
    steps: list[list[int] | bytes] = []
    new_bytes = 0
    for base_offset, target_offset, length in align(base, target):
        if base_offset >= 0:
            steps.append([base_offset, length])
            continue
        steps.append(target[target_offset : target_offset + length])
        new_bytes += length
        if new_bytes > MAX_DELTA_BYTES // 2:
            raise DeltaError(f"more than {MAX_DELTA_BYTES // 2} new bytes")
    data = cbor2.dumps(steps)
    if len(data) > MAX_DELTA_BYTES:
        raise DeltaError(f"delta has {len(data)} bytes, limit {MAX_DELTA_BYTES}")
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_bytes: int) -> bytes:
    """Return the content of a zlib stream. Raises DeltaError if it is truncated or longer than `max_bytes`."""
    inflate = zlib.decompressobj()
    try:
        data = inflate.decompress(compressed, max_bytes + 1)
    except zlib.error as error:
        raise DeltaError(str(error)) from error
    if len(data) > max_bytes or not inflate.eof or inflate.unused_data:
        raise DeltaError(f"truncated, or over {max_bytes} bytes")
    return data


def apply_delta(base: bytes, delta: bytes, length: int) -> bytes:
    """Return the target; the caller checks its digest.

    Args:
        base: the body against which the delta was encoded.
        delta: the output of `encode_delta`.
        length: length of the target in bytes.

    Raises:
        DeltaError: the delta is malformed or results in another length.
    """
    chunks: list[bytes | memoryview] = []
    view, missing = memoryview(base), length
    try:
        for step in cbor2.loads(decompress(delta, MAX_DELTA_BYTES)):
            chunk = step if isinstance(step, bytes) else _copied_bytes(view, step)
            missing -= len(chunk)
            if missing < 0:
                raise DeltaError(f"result is over {length} bytes")
            chunks.append(chunk)
    except DeltaError:
        raise
    except Exception as error:  # the cbor2 decoder also raises exceptions that are not its own
        raise DeltaError(repr(error)) from error
    if missing:
        raise DeltaError(f"result is {missing} bytes short")
    return b"".join(chunks)


def _copied_bytes(base: memoryview, step: list[int]) -> memoryview:
    """Return the bytes of the base that a copy step refers to."""
    offset, length = step
    if offset < 0 or length <= 0 or offset + length > len(base):
        raise DeltaError(f"copy of {length} bytes at offset {offset} exceeds the base of {len(base)} bytes")
    return base[offset : offset + length]
