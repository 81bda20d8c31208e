"""Chunks in which a configuration version travels, and what a receiver says that it has. No input or output here.

A version travels as a snapshot, its body compressed chunk by chunk, or as a delta, a packed difference against an
older version that the receiver has, cut into chunks. On the wire a chunk is a list: number and digest of the
version; length of its body; digest of the base, empty in a snapshot; length of what is cut into chunks (the body,
or the packed difference); the chunk's offset in that; a CRC-32 over all of these and the data; the data.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from irisdeal.config_store.configuration.delta import decompress
from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.runtime.errors import IrisdealError

MAX_BODY_BYTES = 16 << 20  # of a body: what one frame of `irisdeal.rpc` can carry
CHUNK_BYTES = 96 << 10  # of a body, some 27 KB compressed; at worst 0.4 s on a link of 2 Mbit/s
DELTA_CHUNK_BYTES = 48 << 10  # of a packed difference


class InvalidChunkError(IrisdealError, ValueError):
    """A chunk that does not continue the transfer under way; the transfer goes on with the next one."""


class VersionMismatchError(InvalidChunkError):
    """The chunks cannot become the version that they announce; the transfer starts again with a snapshot."""


@dataclass(frozen=True, slots=True)
class SyncState:
    """What a receiver has: its newest version, and how much of another has arrived.

    `offset` counts bytes of the body of `arriving`, or, where negative, bytes of its packed difference against
    `version_id`.
    """

    version_id: VersionId = NO_VERSION
    arriving: VersionId = NO_VERSION
    offset: int = 0

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire."""
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
        """Read what `encode` wrote. ValueError, TypeError where it is something else."""
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
    """A part of a version's whole body.

    `length`: bytes of the body; `offset`: of this chunk in the body; `data`: the chunk, compressed by zlib.
    """

    version_id: VersionId
    length: int
    offset: int
    data: bytes

    @property
    def base(self) -> bytes:
        """Digest of the base: empty, as a snapshot needs none."""
        return b""

    @property
    def size(self) -> int:
        """Bytes that the chunks of this transfer add up to."""
        return self.length

    def expanded(self) -> bytes:
        """Return the part of the body. ValueError where it is damaged or longer than was announced."""
        return decompress(self.data, min(CHUNK_BYTES, self.length - self.offset))

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire."""
        return _encode(self.version_id, self.length, self.base, self.size, self.offset, self.data)


@dataclass(frozen=True, slots=True)
class DeltaChunk:
    """A part of the packed difference between two versions.

    `length`: bytes of the body that results; `base`: digest of the version that the difference applies to; `size`:
    bytes of the whole packed difference; `offset`: of this chunk in it.
    """

    version_id: VersionId
    length: int
    base: bytes
    size: int
    offset: int
    data: bytes

    def expanded(self) -> bytes:
        """Return the part of the packed difference, which is unpacked once it is complete."""
        return self.data

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire."""
        return _encode(self.version_id, self.length, self.base, self.size, self.offset, self.data)


VersionChunk = SnapshotChunk | DeltaChunk


def checksum(version_id: VersionId, length: int, base: bytes, size: int, offset: int, data: bytes) -> int:
    """CRC-32 of all fields, so that a damaged chunk, or one under another's header, is found at once."""
    header = b"%d %d %d %d " % (version_id.number, length, size, offset)
    return zlib.crc32(data, zlib.crc32(header + version_id.digest + base))


def _encode(
    version_id: VersionId, length: int, base: bytes, size: int, offset: int, data: bytes
) -> list[object]:
    check = checksum(version_id, length, base, size, offset, data)
    return [version_id.number, version_id.digest, length, base, size, offset, check, data]


def decode_chunk(encoded: object) -> VersionChunk:
    """Read a chunk. InvalidChunkError where it is none, is damaged, or has impossible lengths."""
    if not isinstance(encoded, list) or len(encoded) != 8:
        raise InvalidChunkError("chunk: wanted a list of eight fields")
    number, digest, length, base, size, offset, check, data = encoded
    if not _are_all(int, number, length, size, offset, check):
        raise InvalidChunkError("chunk: wanted whole numbers for number, lengths, offset and check")
    if not _are_all(bytes, digest, base, data):
        raise InvalidChunkError("chunk: wanted bytes for digests and data")
    version_id = VersionId(number, digest)
    if checksum(version_id, length, base, size, offset, data) != check:
        raise InvalidChunkError("chunk: the checksum does not match")
    if not _are_possible(length, size, offset):
        raise InvalidChunkError("chunk: a length or the offset is out of range")
    if base:
        return DeltaChunk(version_id, length, base, size, offset, data)
    if size != length:
        raise InvalidChunkError("chunk: a snapshot's size is not the length of its body")
    return SnapshotChunk(version_id, length, offset, data)


def _are_all(kind: type, *fields: object) -> bool:
    """Whether each field is exactly of this type: a bool is no int here."""
    return all(type(field) is kind for field in fields)


def _are_possible(length: int, size: int, offset: int) -> bool:
    return 0 < length <= MAX_BODY_BYTES and 0 < size <= MAX_BODY_BYTES and 0 <= offset < size
