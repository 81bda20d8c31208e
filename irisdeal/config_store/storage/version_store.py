"""Bodies of words by digest: the last few are kept, and told as parcels. No input or output here.

A caller says what it has (`SyncState`); a holder answers with a parcel of what is wanted: a difference against a
body that the caller has, or a piece of the whole that goes on where the last one ended. `ChunkAssembler` puts
parcels together and gives the word when it is whole; each word proves itself by its digest, whatever way it came.

A parcel is a list: number and digest of its word, the body's length, the digest of the base (empty for a piece of
the whole), the length of what is sent piece by piece (the body itself, or the packed difference), this piece's
place in it, a check over all of these and the piece, and the piece. One is at most `PIECE` bytes and some 150 more.

What holds here:
1. A word is given out whole only where its digest proves it.
2. Pieces are put together only where word, base and lengths are the same and the place is the next; one that came
   already changes nothing.
3. Whatever cannot be used ends in the whole being asked for anew: nothing can keep a caller from the newest word.
4. A body that a caller is in the middle of is kept while it is asked for, so that changes that go on do not make
   it begin anew; the difference to the newest follows. Callers that take an older word first (`by_snapshot`) all
   begin with the same one, the snapshot, as long as the difference from it to the newest is small beside it.
"""

from __future__ import annotations

import hashlib
import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.configuration.difference import LEVEL, NoDifference, apply, difference, unpack
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId

KEPT = 16  # words kept before the newest, as differences against the one after: bases of what callers have
MOST_KEPT = 4 << 20  # bytes of all of them
MOST_WHOLE = (
    2  # older bodies kept whole, the last ones asked for: bases, and what callers are in the middle of
)
MOST_BODY = 16 << 20  # bytes of a body: one frame of `telegraph`
PIECE = 96 << 10  # bytes of a body in one piece, some 27 KB packed; at worst 0.4 s of a link of 2 Mbit/s
MOST_DIFFERENCE = 48 << 10  # bytes of a packed difference in one piece
SMALLER = 4  # times that a packed difference must be smaller than the body: packed, that is as much itself
MOST_PACKED = 8 << 20  # bytes of packed pieces and differences that are kept to be told again
FRESH = 64  # times that the packed difference from the snapshot to the newest must be smaller than the body
STUBBORN = 3  # parcels in a row that were no use; at the next one, what is on its way is given up


@dataclass(frozen=True, slots=True)
class SyncState:
    """What a caller has: its newest word, and how much of another it has got so far.

    `offset` counts bytes of the other's body, or, below nought, those of a packed difference against `version_id`.
    """

    version_id: VersionId = NO_VERSION
    arriving: VersionId = NO_VERSION
    offset: int = 0

    def encode(self) -> list[Any]:
        return [
            self.version_id.number,
            self.version_id.digest,
            self.arriving.number,
            self.arriving.digest,
            self.offset,
        ]

    @staticmethod
    def decode(told: list[Any]) -> SyncState:
        number, digest, other, other_digest, offset = told
        return SyncState(
            VersionId(int(number), bytes(digest)), VersionId(int(other), bytes(other_digest)), int(offset)
        )


def _check(number: int, digest: bytes, length: int, base: bytes, size: int, offset: int, piece: bytes) -> int:
    """Of one parcel: a torn one, or a piece under another's head, is found at once."""
    head = b"%d %d %d %d " % (number, length, size, offset)
    return zlib.crc32(piece, zlib.crc32(head + digest + base))


class VersionStore:
    """The last bodies that this process held, within bounds.

    At most the newest, the snapshot and `MOST_WHOLE` others are whole; differences and what is packed take 12 MB:
    53 MB in all with bodies of 10 MB, and 2 MB with those of 0.3 MB.
    """

    def __init__(self, kept: int = KEPT) -> None:
        """`kept`: words before the newest; 0 for who tells no others."""
        self.kept = kept
        self.newest: ConfigVersion | None = None
        self.snapshot: ConfigVersion | None = None
        self.older: list[tuple[VersionId, bytes, int]] = []  # the last first: as differences, and lengths
        self.whole: OrderedDict[bytes, ConfigVersion] = OrderedDict()
        self.packed: OrderedDict[tuple[bytes, bytes, int], bytes] = OrderedDict()  # digest, base, place
        self.packed_bytes = 0

    def hold(self, version: ConfigVersion) -> None:
        """Keep it as the newest; the oldest goes."""
        if self.newest is None or version.version_id.digest == self.newest.version_id.digest:
            self.newest = version
            return
        before, self.newest = self.newest, version
        if self.kept == 0:
            return
        try:
            back = difference(version.body, before.body)
        except NoDifference:
            self.older.clear()  # those before can be made of it alone
            self._keep_whole(before)
            return
        self.older.insert(0, (before.version_id, back, len(before.body)))
        while len(self.older) > self.kept or sum(len(packed) for _, packed, _ in self.older) > MOST_KEPT:
            self.older.pop()

    def _keep_whole(self, version: ConfigVersion) -> None:
        self.whole[version.version_id.digest] = version
        self.whole.move_to_end(version.version_id.digest)
        while len(self.whole) > MOST_WHOLE:
            self.whole.popitem(last=False)

    def has(self, digest: bytes) -> bool:
        return (
            digest in self.whole
            or self._is(self.snapshot, digest)
            or self._is(self.newest, digest)
            or any(version_id.digest == digest for version_id, _, _ in self.older)
        )

    @staticmethod
    def _is(version: ConfigVersion | None, digest: bytes) -> bool:
        return version is not None and version.version_id.digest == digest

    def get(self, digest: bytes) -> ConfigVersion | None:
        for version in (self.newest, self.snapshot):
            if version is not None and version.version_id.digest == digest:
                return version
        if digest in self.whole:
            self.whole.move_to_end(digest)
            return self.whole[digest]
        if self.newest is None or not self.has(digest):
            return None
        body = self.newest.body
        for version_id, packed, length in self.older:
            body = apply(body, packed, length)
            if version_id.digest == digest:
                version = ConfigVersion(version_id, body)
                self._keep_whole(version)
                return version
        return None

    def chunk(self, sync_state: SyncState, want: VersionId, by_snapshot: bool = False) -> list[Any] | None:
        """The next parcel of this word for a caller that has that; None where the body is not here.

        A caller that is in the middle of another, newer than what it has, may get the next piece of that one: its
        difference to what is wanted comes after it, and is short. `by_snapshot`: it may begin with an older one.
        """
        version = self.get(want.digest)
        if version is None or len(version.body) > MOST_BODY:
            return None
        going_on = sync_state.arriving != NO_VERSION and sync_state.offset > 0
        if not (going_on and sync_state.arriving == want):
            packed = self._difference(sync_state.version_id.digest, version)
            if packed is not None:
                offset = -sync_state.offset if sync_state.arriving == want and sync_state.offset < 0 else 0
                return self._difference_chunk(version, sync_state.version_id.digest, packed, offset)
        if going_on and sync_state.version_id < sync_state.arriving < want:
            other = self.get(sync_state.arriving.digest)
            if other is not None and 0 < sync_state.offset < len(other.body):
                return self._piece(other, sync_state.offset)
        if going_on and sync_state.arriving == want:
            return self._piece(version, sync_state.offset)
        return self._piece(self._snapshot(version, sync_state.version_id) if by_snapshot else version, 0)

    def _snapshot(self, version: ConfigVersion, above: VersionId) -> ConfigVersion:
        """What a caller begins with that wants this word and has nothing near it: the snapshot, above what it has;
        renewed where it is far from the word by now."""
        before = self.snapshot
        if before is not None and above < before.version_id < version.version_id:
            packed = self._difference(before.version_id.digest, version)
            if packed is not None and len(packed) * FRESH <= len(version.body):
                return before
        if before is not None and before.version_id < version.version_id:
            self._keep_whole(before)  # some may be in the middle of it
        self.snapshot = version
        return version

    def _piece(self, version: ConfigVersion, offset: int) -> list[Any]:
        length, digest = len(version.body), version.version_id.digest
        if offset >= length:
            offset = 0
        packed = self._packed(digest, b"", offset)
        if packed is None:
            packed = self._pack(
                digest, b"", offset, zlib.compress(version.body[offset : offset + PIECE], LEVEL)
            )
        check = _check(version.version_id.number, digest, length, b"", length, offset, packed)
        return [version.version_id.number, digest, length, b"", length, offset, check, packed]

    def _difference_chunk(self, version: ConfigVersion, base: bytes, packed: bytes, offset: int) -> list[Any]:
        length, size = len(version.body), len(packed)
        if offset >= size:
            offset = 0
        piece = packed[offset : offset + MOST_DIFFERENCE]
        check = _check(
            version.version_id.number, version.version_id.digest, length, base, size, offset, piece
        )
        return [
            version.version_id.number,
            version.version_id.digest,
            length,
            base,
            size,
            offset,
            check,
            piece,
        ]

    def _difference(self, base: bytes, version: ConfigVersion) -> bytes | None:
        """Packed once for all callers that have this base; None where the whole is told instead."""
        if not base or base == version.version_id.digest:
            return None
        packed = self._packed(version.version_id.digest, base, -1)
        if packed is None:
            other = self.get(base)
            if other is None:
                return None
            try:
                packed = difference(other.body, version.body)
            except NoDifference:
                packed = b""
            if len(packed) * SMALLER > len(version.body):
                packed = b""  # kept as well: it is not worked out again
            self._pack(version.version_id.digest, base, -1, packed)
        return packed or None

    def _packed(self, digest: bytes, base: bytes, offset: int) -> bytes | None:
        packed = self.packed.get((digest, base, offset))
        if packed is not None:
            self.packed.move_to_end((digest, base, offset))
        return packed

    def _pack(self, digest: bytes, base: bytes, offset: int, packed: bytes) -> bytes:
        self.packed[digest, base, offset] = packed
        self.packed_bytes += len(packed) + len(digest) + len(base)
        while self.packed_bytes > MOST_PACKED and len(self.packed) > 1:
            (old, old_base, _), gone = self.packed.popitem(last=False)
            self.packed_bytes -= len(gone) + len(old) + len(old_base)
        return packed


class VersionMismatch(NoDifference):
    """What came cannot become the word that was announced; it is begun anew, from nothing."""


class ChunkAssembler:
    """Words on their way to this process. Holds at most one that is not whole, so `MOST_BODY` bytes."""

    def __init__(self, version_store: VersionStore) -> None:
        self.version_store = version_store
        self.held = NO_VERSION  # the newest word that is held, as last told
        self.last = NO_VERSION  # the last one that came whole: a base, also before it holds
        self.from_nothing = False  # something could not be used: the whole is asked for
        self.no_use = 0  # parcels in a row
        self._begin(NO_VERSION, 0, b"", 0)

    def _begin(self, version_id: VersionId, length: int, base: bytes, size: int) -> None:
        """Forget what was got so far."""
        self.version_id, self.length, self.base, self.size = version_id, length, base, size
        self.got, self.hash = bytearray(), hashlib.sha256()

    def sync_state(self, version_id: VersionId) -> SyncState:
        """What to say when asking; `version_id`: the newest word that is held."""
        self.held = version_id
        base = self.last if self.from_nothing else max(version_id, self.last)
        if self.version_store.has(self.version_id.digest) or (self.base and self.base != base.digest):
            self._begin(NO_VERSION, 0, b"", 0)
        return SyncState(base, self.version_id, -len(self.got) if self.base else len(self.got))

    def take(self, chunk: list[Any]) -> ConfigVersion | None:
        """The word, where it is whole and proves itself (it is on the shelf then).

        None where more is to come, or where the parcel was no use. One that came before, or is of another word
        while this one goes on, changes nothing; after `STUBBORN` in a row, and at once where a word that is whole
        by its length is another by its digest, what was got so far is forgotten and the whole is asked for.
        """
        try:
            number, digest, length, base, size, offset, check, piece = chunk
            if not (
                all(type(figure) is int for figure in (number, length, size, offset, check))
                and all(type(data) is bytes for data in (digest, base, piece))
            ):
                raise NoDifference("no parcel")
            if _check(number, digest, length, base, size, offset, piece) != check:
                raise NoDifference("torn")
            if not (
                0 < length <= MOST_BODY
                and 0 < size <= MOST_BODY
                and 0 <= offset < size
                and (base or size == length)
            ):
                raise NoDifference("lengths that no parcel has")
            return self._take(VersionId(number, digest), length, base, size, offset, piece)
        except (NoDifference, TypeError, ValueError) as error:
            self.no_use += 1
            if isinstance(error, VersionMismatch) or self.no_use > STUBBORN:
                self._begin(NO_VERSION, 0, b"", 0)
                self.last, self.from_nothing, self.no_use = NO_VERSION, True, 0
            return None

    def _take(
        self, version_id: VersionId, length: int, base: bytes, size: int, offset: int, piece: bytes
    ) -> ConfigVersion | None:
        if self.version_store.has(version_id.digest):  # from another source, a moment ago
            self._came(version_id)
            return self.version_store.get(version_id.digest)
        if (version_id, length, base, size) != (self.version_id, self.length, self.base, self.size):
            goes_on = (
                bool(self.got) and not self.base and self.version_id > self.held and self.no_use < STUBBORN
            )
            if offset > 0 or goes_on:
                raise NoDifference("of another word than the one on its way")
            if base and not self.version_store.has(base):
                raise VersionMismatch("the base is not here")
            if not base:
                self.last = NO_VERSION  # told as a base, it was none to this source
            self._begin(version_id, length, base, size)
        if offset != len(self.got):
            raise NoDifference("doubled, or out of order")
        more = piece if base else unpack(piece, min(PIECE, size - offset))
        if not 0 < len(more) <= size - offset:
            raise NoDifference("an empty piece, or more than was announced")
        self.got += more
        self.hash.update(more)
        self.no_use = 0
        return self._whole() if len(self.got) == size else None

    def _whole(self) -> ConfigVersion:
        """What was got is all there is: the word. AnotherWord where it is not the one that was announced."""
        body, proof = bytes(self.got), self.hash
        if self.base:
            held = self.version_store.get(self.base)
            if held is None:
                raise VersionMismatch("the base is here no more")
            try:
                body = apply(held.body, body, self.length)
            except NoDifference as error:
                raise VersionMismatch(str(error)) from error
            proof = hashlib.sha256(body)
        if proof.digest() != self.version_id.digest:
            raise VersionMismatch("whole by its length, another by its digest")
        version = ConfigVersion(self.version_id, body)
        self._begin(NO_VERSION, 0, b"", 0)
        self._came(version.version_id)
        self.version_store.hold(version)
        return version

    def _came(self, version_id: VersionId) -> None:
        """It is whole here: a base, the only one told after something could not be used, until a word is as new as
        the one that is held."""
        self.last = version_id
        if version_id >= self.held:
            self.from_nothing = False
