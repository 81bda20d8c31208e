"""The last configuration versions in memory, and the chunks that bring them to others. No input or output here.

A receiver says what it has (`SyncState`) and is answered with the next chunk: of a delta against a version that it
has, or of a snapshot, which goes on where the last chunk ended.

A version that a receiver is in the middle of stays while it is asked for, so that further changes do not make the
receiver start again; the delta to the newest follows. Receivers that take an older version first (`by_snapshot`)
all start with the same one, the shared snapshot, as long as the delta from it to the newest is small beside it.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import NamedTuple

from irisdeal.config_store.configuration.delta import COMPRESSION_LEVEL, DeltaError, apply_delta, encode_delta
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.storage.chunk_cache import CacheKey, ChunkCache
from irisdeal.config_store.storage.chunks import (
    CHUNK_BYTES,
    DELTA_CHUNK_BYTES,
    MAX_BODY_BYTES,
    DeltaChunk,
    SnapshotChunk,
    SyncState,
    VersionChunk,
)

MAX_OLDER_VERSIONS = (
    16  # before the newest, as differences against the one after: bases of what receivers have
)
MAX_OLDER_BYTES = 4 << 20  # of all these differences
MAX_UNPACKED_VERSIONS = (
    2  # older bodies, the last ones asked for: bases, and what receivers are in the middle of
)
MIN_DELTA_RATIO = 4  # a packed difference this many times smaller than the body costs no more than a snapshot
MIN_SNAPSHOT_RATIO = (
    64  # the delta from the shared snapshot to the newest is this many times smaller than the body
)


class OlderVersion(NamedTuple):
    """A version as the packed difference against the one after it; `length`: bytes of its body."""

    version_id: VersionId
    packed: bytes
    length: int


def _has_begun_snapshot(sync_state: SyncState) -> bool:
    return sync_state.arriving != NO_VERSION and sync_state.offset > 0


class VersionStore:
    """The last versions of this process, within bounds.

    At most the newest, the shared snapshot and `MAX_UNPACKED_VERSIONS` others are whole bodies; differences and
    cached chunks take 12 MB: 53 MB in all with bodies of 10 MB, and 2 MB with those of 0.3 MB.
    """

    def __init__(self, max_older_versions: int = MAX_OLDER_VERSIONS) -> None:
        """`max_older_versions`: versions before the newest; 0 for a process that serves no others."""
        self.max_older_versions = max_older_versions
        self.newest: ConfigVersion | None = None
        self.snapshot: ConfigVersion | None = None
        self.older: list[OlderVersion] = []  # the newest first
        self.unpacked: OrderedDict[bytes, ConfigVersion] = OrderedDict()
        self.cache = ChunkCache()

    def add(self, version: ConfigVersion) -> None:
        """Add it as the newest; the oldest is dropped."""
        if self.newest is None or version.version_id.digest == self.newest.version_id.digest:
            self.newest = version
            return
        previous, self.newest = self.newest, version
        if self.max_older_versions == 0:
            return
        try:
            packed = encode_delta(version.body, previous.body)
        except DeltaError:
            self.older.clear()  # each of these can be made from the one after it alone
            self._add_unpacked(previous)
            return
        self.older.insert(0, OlderVersion(previous.version_id, packed, len(previous.body)))
        while len(self.older) > self.max_older_versions or self._older_bytes() > MAX_OLDER_BYTES:
            self.older.pop()

    def _older_bytes(self) -> int:
        return sum(len(older.packed) for older in self.older)

    def _add_unpacked(self, version: ConfigVersion) -> None:
        self.unpacked[version.version_id.digest] = version
        self.unpacked.move_to_end(version.version_id.digest)
        while len(self.unpacked) > MAX_UNPACKED_VERSIONS:
            self.unpacked.popitem(last=False)

    def has(self, digest: bytes) -> bool:
        """Whether the version with this digest is here."""
        return (
            digest in self.unpacked
            or self._is(self.snapshot, digest)
            or self._is(self.newest, digest)
            or any(older.version_id.digest == digest for older in self.older)
        )

    @staticmethod
    def _is(version: ConfigVersion | None, digest: bytes) -> bool:
        return version is not None and version.version_id.digest == digest

    def get(self, digest: bytes) -> ConfigVersion | None:
        """Return the version with this digest; None where it is not here."""
        for version in (self.newest, self.snapshot):
            if version is not None and version.version_id.digest == digest:
                return version
        if digest in self.unpacked:
            self.unpacked.move_to_end(digest)
            return self.unpacked[digest]
        if self.newest is None or not self.has(digest):
            return None
        return self._unpack_older(self.newest.body, digest)

    def _unpack_older(self, body: bytes, digest: bytes) -> ConfigVersion | None:
        for older in self.older:
            body = apply_delta(body, older.packed, older.length)
            if older.version_id.digest == digest:
                version = ConfigVersion(older.version_id, body)
                self._add_unpacked(version)
                return version
        return None

    def next_chunk(
        self, sync_state: SyncState, wanted: VersionId, by_snapshot: bool = False
    ) -> VersionChunk | None:
        """Return the next chunk of this version for a receiver that has that; None where the body is not here.

        A receiver that is in the middle of another version, newer than what it has, may get the next chunk of that
        one: the delta from it to the wanted version comes after it, and is short. `by_snapshot`: a receiver that
        starts may start with an older version, the shared snapshot.
        """
        version = self.get(wanted.digest)
        if version is None or len(version.body) > MAX_BODY_BYTES:
            return None
        if not (_has_begun_snapshot(sync_state) and sync_state.arriving == wanted):
            delta = self._delta_chunk(sync_state, wanted, version)
            if delta is not None:
                return delta
        return self._next_snapshot_chunk(sync_state, wanted, version, by_snapshot)

    def _next_snapshot_chunk(
        self, sync_state: SyncState, wanted: VersionId, version: ConfigVersion, by_snapshot: bool
    ) -> SnapshotChunk:
        """Continue the snapshot that a receiver is in the middle of, or start one."""
        if _has_begun_snapshot(sync_state):
            if sync_state.arriving == wanted:
                return self._snapshot_chunk(version, sync_state.offset)
            older = self._begun_older_version(sync_state, wanted)
            if older is not None:
                return self._snapshot_chunk(older, sync_state.offset)
        first = self._shared_snapshot(version, sync_state.version_id) if by_snapshot else version
        return self._snapshot_chunk(first, 0)

    def _begun_older_version(self, sync_state: SyncState, wanted: VersionId) -> ConfigVersion | None:
        """Return the older version that a receiver is in the middle of, where it is newer than what it has."""
        if not sync_state.version_id < sync_state.arriving < wanted:
            return None
        older = self.get(sync_state.arriving.digest)
        return older if older is not None and sync_state.offset < len(older.body) else None

    def _shared_snapshot(self, version: ConfigVersion, above: VersionId) -> ConfigVersion:
        """Return the snapshot, newer than `above`, for a receiver of `version` that has nothing near it.

        It is replaced by `version` where the delta between the two has become large.
        """
        snapshot = self.snapshot
        if snapshot is not None and above < snapshot.version_id < version.version_id:
            packed = self._packed_difference(snapshot.version_id.digest, version)
            if packed is not None and len(packed) * MIN_SNAPSHOT_RATIO <= len(version.body):
                return snapshot
        if snapshot is not None and snapshot.version_id < version.version_id:
            self._add_unpacked(snapshot)  # some receivers may be in the middle of it
        self.snapshot = version
        return version

    def _snapshot_chunk(self, version: ConfigVersion, offset: int) -> SnapshotChunk:
        if offset >= len(version.body):
            offset = 0
        key = CacheKey.of_snapshot(version.version_id.digest, offset)
        packed = self.cache.get(key)
        if packed is None:
            packed = zlib.compress(version.body[offset : offset + CHUNK_BYTES], COMPRESSION_LEVEL)
            self.cache.add(key, packed)
        return SnapshotChunk(version.version_id, len(version.body), offset, packed)

    def _delta_chunk(
        self, sync_state: SyncState, wanted: VersionId, version: ConfigVersion
    ) -> DeltaChunk | None:
        """Return the next chunk of the difference against what the receiver has; None where there is none."""
        base = sync_state.version_id.digest
        packed = self._packed_difference(base, version)
        if packed is None:
            return None
        is_begun = sync_state.arriving == wanted and sync_state.offset < 0
        offset = -sync_state.offset if is_begun else 0
        if offset >= len(packed):
            offset = 0
        data = packed[offset : offset + DELTA_CHUNK_BYTES]
        return DeltaChunk(version.version_id, len(version.body), base, len(packed), offset, data)

    def _packed_difference(self, base: bytes, version: ConfigVersion) -> bytes | None:
        """Return the difference, packed once for all receivers with this base; None where a snapshot is better."""
        if not base or base == version.version_id.digest:
            return None
        key = CacheKey.of_difference(version.version_id.digest, base)
        packed = self.cache.get(key)
        if packed is None:
            base_version = self.get(base)
            if base_version is None:
                return None
            packed = self._difference_or_empty(base_version, version)
            self.cache.add(key, packed)
        return packed or None

    @staticmethod
    def _difference_or_empty(base: ConfigVersion, version: ConfigVersion) -> bytes:
        """Return the packed difference; empty, and cached as that, where there is none or it is too long."""
        try:
            packed = encode_delta(base.body, version.body)
        except DeltaError:
            return b""
        return b"" if len(packed) * MIN_DELTA_RATIO > len(version.body) else packed
