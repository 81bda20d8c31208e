"""Recent configuration versions in memory, and the chunks that transfer them to receivers. No I/O.

A receiver reports its `SyncState` and gets the next chunk: of a delta against a version that it has, or of a
snapshot, which continues where the last chunk ended.

A version whose snapshot transfer is in progress stays available while it is requested, so that further changes do
not restart the transfer; the delta to the newest version follows. Receivers that accept an older version first
(`by_snapshot`) all start with the same one, the shared snapshot, as long as the delta from it to the newest version
is small in comparison.
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

# Versions before the newest, kept as reverse deltas: delta bases for receivers that have them.
MAX_OLDER_VERSIONS = 16
MAX_OLDER_BYTES = 4 << 20  # total of these deltas
# Complete older bodies, most recently used: delta bases, and versions with a transfer in progress.
MAX_UNPACKED_VERSIONS = 2
MIN_DELTA_RATIO = 4  # body size over packed delta size; below it a snapshot costs no more
MIN_SNAPSHOT_RATIO = 64  # body size over the size of the delta from the shared snapshot to the newest version


class OlderVersion(NamedTuple):
    """A version as a packed delta against its successor; `length`: size of its body in bytes."""

    version_id: VersionId
    packed: bytes
    length: int


def _has_snapshot_in_progress(sync_state: SyncState) -> bool:
    return sync_state.arriving != NO_VERSION and sync_state.offset > 0


class VersionStore:
    """The recent versions of this process, with bounded memory.

    At most the newest, the shared snapshot and `MAX_UNPACKED_VERSIONS` others are complete bodies; deltas and
    cached chunks take up to 12 MB: 53 MB in total with bodies of 10 MB, and 2 MB with bodies of 0.3 MB.
    """

    def __init__(self, max_older_versions: int = MAX_OLDER_VERSIONS) -> None:
        """`max_older_versions`: versions kept before the newest; 0 for a process that does not serve receivers."""
        self.max_older_versions = max_older_versions
        self.newest: ConfigVersion | None = None
        self.snapshot: ConfigVersion | None = None
        self.older: list[OlderVersion] = []  # newest first
        self.unpacked: OrderedDict[bytes, ConfigVersion] = OrderedDict()
        self.cache = ChunkCache()

    def add(self, version: ConfigVersion) -> None:
        """Add a version as the newest, and drop the oldest above the limits."""
        if self.newest is None or version.version_id.digest == self.newest.version_id.digest:
            self.newest = version
            return
        previous, self.newest = self.newest, version
        if self.max_older_versions == 0:
            return
        try:
            packed = encode_delta(version.body, previous.body)
        except DeltaError:
            self.older.clear()  # each delta in it depends on its successor
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
        """Whether the version with this digest is available."""
        return (
            digest in self.unpacked
            or self._has_digest(self.snapshot, digest)
            or self._has_digest(self.newest, digest)
            or any(older.version_id.digest == digest for older in self.older)
        )

    @staticmethod
    def _has_digest(version: ConfigVersion | None, digest: bytes) -> bool:
        return version is not None and version.version_id.digest == digest

    def get(self, digest: bytes) -> ConfigVersion | None:
        """Return the version with this digest; None if it is not available."""
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
        """Return the next chunk of the wanted version for this receiver; None if its body is missing or too long.

        During the snapshot transfer of another version, newer than its own, a receiver may get the next chunk of
        that one: the short delta to the wanted version follows afterwards. `by_snapshot`: a receiver without a
        usable base may start with an older version, the shared snapshot.
        """
        version = self.get(wanted.digest)
        if version is None or len(version.body) > MAX_BODY_BYTES:
            return None
        if not (_has_snapshot_in_progress(sync_state) and sync_state.arriving == wanted):
            delta = self._delta_chunk(sync_state, wanted, version)
            if delta is not None:
                return delta
        return self._next_snapshot_chunk(sync_state, wanted, version, by_snapshot)

    def _next_snapshot_chunk(
        self, sync_state: SyncState, wanted: VersionId, version: ConfigVersion, by_snapshot: bool
    ) -> SnapshotChunk:
        """Continue the receiver's snapshot transfer, or start one."""
        if _has_snapshot_in_progress(sync_state):
            if sync_state.arriving == wanted:
                return self._snapshot_chunk(version, sync_state.offset)
            older = self._older_version_in_progress(sync_state, wanted)
            if older is not None:
                return self._snapshot_chunk(older, sync_state.offset)
        first = self._shared_snapshot(version, sync_state.version_id) if by_snapshot else version
        return self._snapshot_chunk(first, 0)

    def _older_version_in_progress(self, sync_state: SyncState, wanted: VersionId) -> ConfigVersion | None:
        """Return the version whose snapshot transfer is in progress if it is newer than the receiver's version."""
        if not sync_state.version_id < sync_state.arriving < wanted:
            return None
        older = self.get(sync_state.arriving.digest)
        return older if older is not None and sync_state.offset < len(older.body) else None

    def _shared_snapshot(self, version: ConfigVersion, above: VersionId) -> ConfigVersion:
        """Return the version, newer than `above`, with which a receiver of `version` starts a snapshot transfer.

        This is the shared snapshot; `version` replaces it once the delta between the two is too large.
        """
        snapshot = self.snapshot
        if snapshot is not None and above < snapshot.version_id < version.version_id:
            packed = self._packed_delta(snapshot.version_id.digest, version)
            if packed is not None and len(packed) * MIN_SNAPSHOT_RATIO <= len(version.body):
                return snapshot
        if snapshot is not None and snapshot.version_id < version.version_id:
            self._add_unpacked(snapshot)  # some transfers of it may be in progress
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
        """Return the next chunk of the delta against the receiver's version; None if there is no delta."""
        base = sync_state.version_id.digest
        packed = self._packed_delta(base, version)
        if packed is None:
            return None
        is_in_progress = sync_state.arriving == wanted and sync_state.offset < 0
        offset = -sync_state.offset if is_in_progress else 0
        if offset >= len(packed):
            offset = 0
        data = packed[offset : offset + DELTA_CHUNK_BYTES]
        return DeltaChunk(version.version_id, len(version.body), base, len(packed), offset, data)

    def _packed_delta(self, base: bytes, version: ConfigVersion) -> bytes | None:
        """Return the packed delta, cached for all receivers with this base; None if a snapshot is better."""
        if not base or base == version.version_id.digest:
            return None
        key = CacheKey.of_delta(version.version_id.digest, base)
        packed = self.cache.get(key)
        if packed is None:
            base_version = self.get(base)
            if base_version is None:
                return None
            packed = self._delta_or_empty(base_version, version)
            self.cache.add(key, packed)
        return packed or None

    @staticmethod
    def _delta_or_empty(base: ConfigVersion, version: ConfigVersion) -> bytes:
        """Return the packed delta; empty if it is too long or cannot be built, which is cached as well."""
        try:
            packed = encode_delta(base.body, version.body)
        except DeltaError:
            return b""
        return b"" if len(packed) * MIN_DELTA_RATIO > len(version.body) else packed
