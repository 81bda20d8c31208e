"""Assembles configuration versions from received chunks, whichever source sends them. No I/O.

Invariants:
1. A version is returned only if the SHA-256 of its body matches the announced digest.
2. Chunks are joined only if version, base and lengths match and the offset is the next one; a duplicate chunk has
   no effect.
3. Unusable chunks eventually lead to a request for a new snapshot, so that no fault blocks the newest version.
"""

from __future__ import annotations

import hashlib

from irisdeal.config_store.configuration.delta import DeltaError, apply_delta
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.storage.chunks import (
    InvalidChunkError,
    SyncState,
    VersionChunk,
    VersionMismatchError,
    decode_chunk,
)
from irisdeal.config_store.storage.version_store import VersionStore

MAX_REJECTED_CHUNKS = 3  # consecutive; some may be late or duplicates. One more aborts the transfer


class _Transfer:
    """One incomplete version: the announced metadata and the bytes received so far."""

    def __init__(
        self, version_id: VersionId = NO_VERSION, length: int = 0, base: bytes = b"", size: int = 0
    ) -> None:
        self.version_id, self.length, self.base, self.size = version_id, length, base, size
        self.data = bytearray()
        self.hash = hashlib.sha256()

    @property
    def offset(self) -> int:
        """The offset in the form of `SyncState.offset`: negative during a delta transfer."""
        return -len(self.data) if self.base else len(self.data)

    @property
    def is_complete(self) -> bool:
        """Whether all announced bytes have arrived."""
        return len(self.data) == self.size

    def includes(self, chunk: VersionChunk) -> bool:
        """Whether the chunk belongs to this transfer: the same version, base and lengths."""
        announced = (chunk.version_id, chunk.length, chunk.base, chunk.size)
        return announced == (self.version_id, self.length, self.base, self.size)

    def append(self, chunk: VersionChunk) -> None:
        """Append a chunk. Raises InvalidChunkError or DeltaError on a wrong offset or length."""
        if chunk.offset != len(self.data):
            raise InvalidChunkError("duplicate or out of order")
        data = chunk.unpack()
        if not 0 < len(data) <= self.size - chunk.offset:
            raise InvalidChunkError("no data, or more than the announced length")
        self.data += data
        self.hash.update(data)


class ChunkAssembler:
    """Receives versions. Holds at most one incomplete version, so at most `MAX_BODY_BYTES` bytes."""

    def __init__(self, version_store: VersionStore) -> None:
        """`version_store`: holds the delta bases; complete versions are added to it."""
        self.version_store = version_store
        self.current = NO_VERSION  # the newest version of the caller, from its last call of `sync_state`
        self.last_completed = NO_VERSION  # usable as a delta base before the caller applies it
        # Set after a fault: the caller's version is not offered as a delta base until a version is complete.
        self.needs_snapshot = False
        self.rejected_chunks = 0  # consecutive
        self.transfer = _Transfer()

    def sync_state(self, version_id: VersionId) -> SyncState:
        """Return the state to send with a request; `version_id`: the newest version of the caller."""
        self.current = version_id
        base = self.last_completed if self.needs_snapshot else max(version_id, self.last_completed)
        is_obsolete = self.version_store.has(self.transfer.version_id.digest)
        if is_obsolete or (self.transfer.base and self.transfer.base != base.digest):
            self.transfer = _Transfer()
        return SyncState(base, self.transfer.version_id, self.transfer.offset)

    def add_chunk(self, encoded_chunk: object) -> ConfigVersion | None:
        """Process an encoded chunk; return the version once it is complete and added to the version store.

        Returns None while chunks are missing, or if the chunk was rejected. A duplicate chunk, or one of another
        version during a transfer, is rejected without effect. After more than `MAX_REJECTED_CHUNKS` consecutive
        rejections, and at once if a complete version has another digest than announced, the transfer is dropped and
        a snapshot is requested.
        """
        try:
            return self._add_chunk(decode_chunk(encoded_chunk))
        except (DeltaError, TypeError, ValueError) as error:
            self.rejected_chunks += 1
            if isinstance(error, VersionMismatchError) or self.rejected_chunks > MAX_REJECTED_CHUNKS:
                self._request_snapshot()
            return None

    def _request_snapshot(self) -> None:
        self.transfer = _Transfer()
        self.last_completed = NO_VERSION
        self.needs_snapshot = True
        self.rejected_chunks = 0

    def _add_chunk(self, chunk: VersionChunk) -> ConfigVersion | None:
        digest = chunk.version_id.digest
        if self.version_store.has(digest):  # already received from another source
            self._on_completed(chunk.version_id)
            return self.version_store.get(digest)
        if not self.transfer.includes(chunk):
            self._start_transfer(chunk)
        self.transfer.append(chunk)
        self.rejected_chunks = 0
        return self._finish() if self.transfer.is_complete else None

    def _start_transfer(self, chunk: VersionChunk) -> None:
        """Start a transfer. Raises InvalidChunkError if one is in progress or the chunk is not the first."""
        if chunk.offset > 0 or self._is_snapshot_in_progress():
            raise InvalidChunkError("chunk belongs to another version than the transfer in progress")
        if chunk.base and not self.version_store.has(chunk.base):
            raise VersionMismatchError("the base version is not stored here")
        if not chunk.base:
            self.last_completed = NO_VERSION  # it was offered as a base, but the source sent a snapshot
        self.transfer = _Transfer(chunk.version_id, chunk.length, chunk.base, chunk.size)

    def _is_snapshot_in_progress(self) -> bool:
        """Whether a snapshot newer than the caller's version is in progress and its source still sends chunks."""
        transfer = self.transfer
        has_snapshot_data = bool(transfer.data) and not transfer.base
        return (
            has_snapshot_data
            and transfer.version_id > self.current
            and self.rejected_chunks < MAX_REJECTED_CHUNKS
        )

    def _finish(self) -> ConfigVersion:
        """Return the complete version and add it to the store. Raises VersionMismatchError on a wrong digest."""
        transfer = self.transfer
        body, digest = bytes(transfer.data), transfer.hash.digest()
        if transfer.base:
            body = self._apply_delta(body)
            digest = hashlib.sha256(body).digest()
        if digest != transfer.version_id.digest:
            raise VersionMismatchError("the body does not match the announced digest")
        version = ConfigVersion(transfer.version_id, body)
        self.transfer = _Transfer()
        self._on_completed(version.version_id)
        self.version_store.add(version)
        return version

    def _apply_delta(self, packed: bytes) -> bytes:
        base = self.version_store.get(self.transfer.base)
        if base is None:
            raise VersionMismatchError("the base version is no longer stored here")
        try:
            return apply_delta(base.body, packed, self.transfer.length)
        except DeltaError as error:
            raise VersionMismatchError(str(error)) from error

    def _on_completed(self, version_id: VersionId) -> None:
        """Use the version as a delta base; after a fault it is the only one until it is as new as the caller's."""
        self.last_completed = version_id
        if version_id >= self.current:
            self.needs_snapshot = False
