"""Assembles a configuration version from the chunks that arrive, from any source. No input or output here.

Rules that hold here:
1. A version is returned only where the SHA-256 of its body is the digest that was announced.
2. Chunks are joined only where version, base and lengths are the same and the offset is the next; a chunk that
   arrives a second time changes nothing.
3. Whatever cannot be used ends in a new snapshot being asked for: a fault never keeps the newest away.
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

MAX_REJECTED_CHUNKS = 3  # in a row: one may be late or doubled; with the next, the transfer is given up


class _Transfer:
    """One version on its way: the announced facts, and the bytes so far."""

    def __init__(
        self, version_id: VersionId = NO_VERSION, length: int = 0, base: bytes = b"", size: int = 0
    ) -> None:
        self.version_id, self.length, self.base, self.size = version_id, length, base, size
        self.data = bytearray()
        self.hash = hashlib.sha256()

    @property
    def offset(self) -> int:
        """As `SyncState.offset`: negative while a packed difference arrives."""
        return -len(self.data) if self.base else len(self.data)

    @property
    def is_complete(self) -> bool:
        """Whether all announced bytes are here."""
        return len(self.data) == self.size

    def includes(self, chunk: VersionChunk) -> bool:
        """Whether the chunk announces the same version, base and lengths."""
        announced = (chunk.version_id, chunk.length, chunk.base, chunk.size)
        return announced == (self.version_id, self.length, self.base, self.size)

    def append(self, chunk: VersionChunk) -> None:
        """Add the next chunk. InvalidChunkError or DeltaError where it is not the next, or has a wrong length."""
        if chunk.offset != len(self.data):
            raise InvalidChunkError("doubled, or out of order")
        data = chunk.expanded()
        if not 0 < len(data) <= self.size - chunk.offset:
            raise InvalidChunkError("no data, or more than was announced")
        self.data += data
        self.hash.update(data)


class ChunkAssembler:
    """The transfer to this process. Holds at most one incomplete version, so `MAX_BODY_BYTES` bytes."""

    def __init__(self, version_store: VersionStore) -> None:
        """`version_store`: where bases are found and complete versions are added."""
        self.version_store = version_store
        self.current = NO_VERSION  # the newest version that the caller has, as it said last
        self.last_completed = NO_VERSION  # a base as well, also before the caller takes it over
        self.needs_snapshot = False  # something could not be used: no delta until a version is complete
        self.rejected_chunks = 0  # in a row
        self.transfer = _Transfer()

    def sync_state(self, version_id: VersionId) -> SyncState:
        """Return what to say when asking; `version_id`: the newest version that the caller has."""
        self.current = version_id
        base = self.last_completed if self.needs_snapshot else max(version_id, self.last_completed)
        is_obsolete = self.version_store.has(self.transfer.version_id.digest)
        if is_obsolete or (self.transfer.base and self.transfer.base != base.digest):
            self.transfer = _Transfer()
        return SyncState(base, self.transfer.version_id, self.transfer.offset)

    def add_chunk(self, encoded_chunk: object) -> ConfigVersion | None:
        """Take a chunk as it stands on the wire; return the version where it is complete, after adding it.

        None where more is to come, or where the chunk was rejected. One that arrived before, or belongs to another
        version while this one goes on, changes nothing; after `MAX_REJECTED_CHUNKS` in a row, and at once where a
        version of the announced length has another digest, the transfer is dropped and a snapshot is asked for.
        """
        try:
            return self._take(decode_chunk(encoded_chunk))
        except (DeltaError, TypeError, ValueError) as error:
            self.rejected_chunks += 1
            if isinstance(error, VersionMismatchError) or self.rejected_chunks > MAX_REJECTED_CHUNKS:
                self._start_over()
            return None

    def _start_over(self) -> None:
        self.transfer = _Transfer()
        self.last_completed = NO_VERSION
        self.needs_snapshot = True
        self.rejected_chunks = 0

    def _take(self, chunk: VersionChunk) -> ConfigVersion | None:
        digest = chunk.version_id.digest
        if self.version_store.has(digest):  # from another source, a moment ago
            self._on_completed(chunk.version_id)
            return self.version_store.get(digest)
        if not self.transfer.includes(chunk):
            self._start_transfer(chunk)
        self.transfer.append(chunk)
        self.rejected_chunks = 0
        return self._finish() if self.transfer.is_complete else None

    def _start_transfer(self, chunk: VersionChunk) -> None:
        """Start with this chunk. InvalidChunkError where another transfer goes on, or it is not a first chunk."""
        if chunk.offset > 0 or self._goes_on():
            raise InvalidChunkError("of another version than the one that is arriving")
        if chunk.base and not self.version_store.has(chunk.base):
            raise VersionMismatchError("the base is not here")
        if not chunk.base:
            self.last_completed = NO_VERSION  # it was offered as a base, and the source had no use for it
        self.transfer = _Transfer(chunk.version_id, chunk.length, chunk.base, chunk.size)

    def _goes_on(self) -> bool:
        """Whether a snapshot of a newer version than the caller's is arriving and its source has not gone away."""
        transfer = self.transfer
        is_snapshot_begun = bool(transfer.data) and not transfer.base
        return (
            is_snapshot_begun
            and transfer.version_id > self.current
            and self.rejected_chunks < MAX_REJECTED_CHUNKS
        )

    def _finish(self) -> ConfigVersion:
        """Add the complete version. VersionMismatchError where it is not the one that was announced."""
        transfer = self.transfer
        body, digest = bytes(transfer.data), transfer.hash.digest()
        if transfer.base:
            body = self._apply_difference(body)
            digest = hashlib.sha256(body).digest()
        if digest != transfer.version_id.digest:
            raise VersionMismatchError("the announced length, but another digest")
        version = ConfigVersion(transfer.version_id, body)
        self.transfer = _Transfer()
        self._on_completed(version.version_id)
        self.version_store.add(version)
        return version

    def _apply_difference(self, packed: bytes) -> bytes:
        base = self.version_store.get(self.transfer.base)
        if base is None:
            raise VersionMismatchError("the base is no longer here")
        try:
            return apply_delta(base.body, packed, self.transfer.length)
        except DeltaError as error:
            raise VersionMismatchError(str(error)) from error

    def _on_completed(self, version_id: VersionId) -> None:
        """Use it as a base, the only one after a fault until a version is as new as the caller's."""
        self.last_completed = version_id
        if version_id >= self.current:
            self.needs_snapshot = False
