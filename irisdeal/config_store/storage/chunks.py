"""Chunks that transfer a configuration version, and the sync state that a receiver reports. No I/O.

A version is sent as a snapshot, its body compressed chunk by chunk, or as a delta, a packed difference against an
older version of the receiver, split into chunks. On the wire a chunk is a list: number and digest of the version;
length of its body; digest of the base, empty in a snapshot; length of the payload that is split (the body or the
packed delta); offset of the chunk in the payload; a CRC-32 over all of these and the data; the data.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from irisdeal.config_store.configuration.delta import decompress
from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.runtime.errors import IrisdealError

MAX_BODY_BYTES = 16 << 20  # limit of one frame of `irisdeal.rpc`
CHUNK_BYTES = 96 << 10  # uncompressed; about 27 KB compressed, at worst 0.4 s on a link of 2 Mbit/s
DELTA_CHUNK_BYTES = 48 << 10  # of a packed delta


class InvalidChunkError(IrisdealError, ValueError):
    """A chunk that does not continue the transfer in progress; the transfer continues with the next chunk."""


class VersionMismatchError(InvalidChunkError):
    """The chunks do not result in the announced version; the transfer restarts with a snapshot."""


@dataclass(frozen=True, slots=True)
class SyncState:
    """The state of a receiver: its newest version, and how much of the version `arriving` it has received.

    `offset`: bytes received of the body of `arriving`, or, if negative, of its packed delta against `version_id`.
    """

    version_id: VersionId = NO_VERSION
    arriving: VersionId = NO_VERSION
    offset: int = 0

    def encode(self) -> list[object]:
        """Return the fields in wire order."""
        arriving = self.arriving
        return [
            self.version_id.number,
            self.version_id.digest,
            arriving.number,
            arriving.digest,
            self.offset,
        ]

    @staticmethod
    def decode(encoded: object) -> SyncState:
        """Decode the output of `encode`. Raises ValueError or TypeError if malformed."""
        if not isinstance(encoded, list):
            raise TypeError(f"sync state: wanted a list, got {type(encoded).__name__}")
        number, digest, arriving_number, arriving_digest, offset = encoded
        return SyncState(
            VersionId(int(number), bytes(digest)),
            VersionId(int(arriving_number), bytes(arriving_digest)),
            int(offset),
        )


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a version's body.

    `length`: size of the body in bytes; `offset`: position of the chunk in the body; `data`: the chunk, compressed
    with zlib.
    """

    version_id: VersionId
    length: int
    offset: int
    data: bytes

    @property
    def base(self) -> bytes:
        """Digest of the base: empty, as a snapshot has none."""
        return b""

    @property
    def size(self) -> int:
        """Total size of the transfer in bytes."""
        return self.length

    def unpack(self) -> bytes:
        """Return the uncompressed data. Raises ValueError if it is damaged or longer than announced."""
        return decompress(self.data, min(CHUNK_BYTES, self.length - self.offset))

    def encode(self) -> list[object]:
        """Return the fields in wire order."""
        return _encode(self.version_id, self.length, self.base, self.size, self.offset, self.data)


@dataclass(frozen=True, slots=True)
class DeltaChunk:
    """A part of the packed delta between two versions.

    `length`: size of the resulting body in bytes; `base`: digest of the version that the delta applies to; `size`:
    size of the complete packed delta in bytes; `offset`: position of the chunk in it.
    """

    version_id: VersionId
    length: int
    base: bytes
    size: int
    offset: int
    data: bytes

    def unpack(self) -> bytes:
        """Return the data unchanged: a delta is decompressed only once it is complete."""
        return self.data

    def encode(self) -> list[object]:
        """Return the fields in wire order."""
        return _encode(self.version_id, self.length, self.base, self.size, self.offset, self.data)


VersionChunk = SnapshotChunk | DeltaChunk


def checksum(version_id: VersionId, length: int, base: bytes, size: int, offset: int, data: bytes) -> int:
    """Return a CRC-32 of all fields, which detects damaged chunks and data under the header of another chunk."""
    header = b"%d %d %d %d " % (version_id.number, length, size, offset)
    return zlib.crc32(data, zlib.crc32(header + version_id.digest + base))


def _encode(
    version_id: VersionId, length: int, base: bytes, size: int, offset: int, data: bytes
) -> list[object]:
    check = checksum(version_id, length, base, size, offset, data)
    return [version_id.number, version_id.digest, length, base, size, offset, check, data]


def decode_chunk(encoded: object) -> VersionChunk:
    """Decode a chunk. Raises InvalidChunkError if it is malformed, damaged, or has impossible lengths."""
    if not isinstance(encoded, list) or len(encoded) != 8:
        raise InvalidChunkError("chunk: expected a list of eight fields")
    number, digest, length, base, size, offset, check, data = encoded
    if not _have_type(int, number, length, size, offset, check):
        raise InvalidChunkError("chunk: expected integers for number, lengths, offset and checksum")
    if not _have_type(bytes, digest, base, data):
        raise InvalidChunkError("chunk: expected bytes for digests and data")
    version_id = VersionId(number, digest)
    if checksum(version_id, length, base, size, offset, data) != check:
        raise InvalidChunkError("chunk: the checksum does not match")
    if not _are_lengths_valid(length, size, offset):
        raise InvalidChunkError("chunk: a length or the offset is out of range")
    if base:
        return DeltaChunk(version_id, length, base, size, offset, data)
    if size != length:
        raise InvalidChunkError("chunk: the size of a snapshot differs from the length of its body")
    return SnapshotChunk(version_id, length, offset, data)


def _have_type(kind: type, *fields: object) -> bool:
    """Whether each field has exactly this type; unlike with isinstance, a bool is not an int."""
    return all(type(field) is kind for field in fields)


def _are_lengths_valid(length: int, size: int, offset: int) -> bool:
    return 0 < length <= MAX_BODY_BYTES and 0 < size <= MAX_BODY_BYTES and 0 <= offset < size
