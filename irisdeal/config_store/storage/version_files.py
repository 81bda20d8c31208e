"""Configuration versions as files. Each write uses a temporary file, a sync, a rename and a directory sync.

A file has a header line with number, digest and length, then the body as the operator sent it, so its integrity can
be checked. A torn, empty or foreign file is skipped and logged; other replicas have the version. Calls block.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.storage.folder import Folder
from irisdeal.runtime.events import Event, log_event

MAX_SPARE_FILES = 3  # kept besides the needed ones, for inspection by operators and for ballots in progress
# The file names and format are fixed: each release reads the files of the previous one.
MAGIC = "irisdeal-word-1"
SUFFIX = ".word"
TEMPORARY_SUFFIX = ".new"  # appended to the name of a file while it is written


def write_atomically(folder: Folder, name: str, data: bytes) -> None:
    """Write a file so that it is complete or absent after a power loss. Raises OSError if the disk fails."""
    temporary = name + TEMPORARY_SUFFIX
    folder.write(temporary, data)
    folder.sync(temporary)
    folder.rename(temporary, name)
    folder.sync_directory()


def encode(version: ConfigVersion) -> bytes:
    """Return the file content: a line with magic, number, digest, length and their checksum, then the body."""
    version_id = version.version_id
    header = f"{MAGIC} {version_id.number} {version_id.digest.hex()} {len(version.body)}"
    return f"{header} {_checksum(header)}\n".encode() + version.body


def _checksum(header: str) -> str:
    return hashlib.sha256(header.encode()).hexdigest()[:16]


def decode(data: bytes) -> ConfigVersion:
    """Decode the output of `encode`. Raises ValueError if the header is malformed or the body incomplete."""
    first_line, newline, body = data.partition(b"\n")
    header, _, checksum = first_line.decode("ascii", "replace").rpartition(" ")
    fields = header.split(" ")
    if not newline or checksum != _checksum(header) or len(fields) != 4 or fields[0] != MAGIC:
        raise ValueError("malformed header")
    version = ConfigVersion(VersionId(int(fields[1]), bytes.fromhex(fields[2])), body)
    if str(len(body)) != fields[3] or not version.is_intact():
        raise ValueError("length or digest of the body does not match")
    return version


class VersionFiles:
    """The versions in one folder. Calls must come from one thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.version_ids: dict[str, VersionId] = {}  # file name -> synced version, in the order of saving

    def open(self) -> list[ConfigVersion]:
        """Return all complete versions, synced, ordered by number. Raises OSError if the disk fails."""
        versions = []
        for name in self.folder.list_files():
            if name.endswith(TEMPORARY_SUFFIX):
                self.folder.remove(name)  # left by a process that was killed during a write
            elif name.startswith("r") and name.endswith(SUFFIX):
                version = self._open_file(name)
                if version is not None:
                    versions.append(version)
        if versions:
            self.folder.sync_directory()
        return versions

    def _open_file(self, name: str) -> ConfigVersion | None:
        """Return the version in this file, synced; None if it is damaged."""
        try:
            version = decode(self.folder.read(name))
        except (OSError, ValueError) as error:
            log_event(Event.FILE_DAMAGED, file=name, error=error)
            return None
        self.folder.sync(name)  # the writing process may have been killed before its sync
        self.version_ids[name] = version.version_id
        return version

    def has(self, version_id: VersionId) -> bool:
        """Whether this version is on disk and synced."""
        return version_id in self.version_ids.values()

    def save(self, version: ConfigVersion, needed: Collection[VersionId] = ()) -> None:
        """Write and sync this version, and remove old ones. Raises OSError if the disk fails.

        `needed`: versions whose files must be kept.
        """
        name = f"r{version.version_id.number:018d}-{version.version_id.digest.hex()[:16]}{SUFFIX}"
        if name not in self.version_ids:
            write_atomically(self.folder, name, encode(version))
            self.version_ids[name] = version.version_id
        spare = [
            other
            for other, version_id in self.version_ids.items()
            if version_id not in needed and other != name
        ]
        for other in spare[:-MAX_SPARE_FILES]:
            del self.version_ids[other]
            self.folder.remove(other)  # no sync needed: a file that reappears after a crash is just older
