"""Configuration versions as plain files: temporary, synced, renamed, the folder synced. Calls here block.

A file proves itself: a line with the number, the digest and the length, then the body as the operator sent it.
A torn, empty or foreign file is skipped and logged; other replicas have the version.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.storage.folder import Folder
from irisdeal.runtime.events import Event, log_event

MAX_SPARE_FILES = 3  # beside those that are needed: for whoever inspects the disk, and for ballots under way
# The names and the format on disk are fixed: a release opens what the one before it wrote.
MAGIC = "irisdeal-word-1"
SUFFIX = ".word"
TEMPORARY_SUFFIX = ".new"  # added to the name of a file that is being written


def write_atomically(folder: Folder, name: str, data: bytes) -> None:
    """Write a file that is complete or absent after any loss of power. OSError where the disk refuses."""
    temporary = name + TEMPORARY_SUFFIX
    folder.write(temporary, data)
    folder.sync(temporary)
    folder.rename(temporary, name)
    folder.sync_directory()


def encode(version: ConfigVersion) -> bytes:
    """Return the file: a line with magic, number, digest, length and a check of these, then the body."""
    version_id = version.version_id
    header = f"{MAGIC} {version_id.number} {version_id.digest.hex()} {len(version.body)}"
    return f"{header} {_check(header)}\n".encode() + version.body


def _check(header: str) -> str:
    return hashlib.sha256(header.encode()).hexdigest()[:16]


def decode(data: bytes) -> ConfigVersion:
    """Read what `encode` wrote. ValueError where the header is none, or the body is not complete."""
    first_line, newline, body = data.partition(b"\n")
    header, _, check = first_line.decode("ascii", "replace").rpartition(" ")
    fields = header.split(" ")
    if not newline or check != _check(header) or len(fields) != 4 or fields[0] != MAGIC:
        raise ValueError("no word")
    version = ConfigVersion(VersionId(int(fields[1]), bytes.fromhex(fields[2])), body)
    if str(len(body)) != fields[3] or not version.is_intact():
        raise ValueError("torn")
    return version


class VersionFiles:
    """One folder of versions. Calls come from one thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.version_ids: dict[
            str, VersionId
        ] = {}  # file -> its version, synced; the last one saved is the last

    def open(self) -> list[ConfigVersion]:
        """Return all complete versions, synced, in the order of their numbers. OSError where the disk refuses."""
        versions = []
        for name in self.folder.list_files():
            if name.endswith(TEMPORARY_SUFFIX):
                self.folder.remove(name)  # of a process that was killed while it wrote
            elif name.startswith("r") and name.endswith(SUFFIX):
                version = self._open_file(name)
                if version is not None:
                    versions.append(version)
        if versions:
            self.folder.sync_directory()
        return versions

    def _open_file(self, name: str) -> ConfigVersion | None:
        """Return the version in this file, synced; None where it is damaged."""
        try:
            version = decode(self.folder.read(name))
        except (OSError, ValueError) as error:
            log_event(Event.FILE_DAMAGED, file=name, error=error)
            return None
        self.folder.sync(name)  # the process that wrote it may have been killed before it synced
        self.version_ids[name] = version.version_id
        return version

    def has(self, version_id: VersionId) -> bool:
        """Whether this version is on the disk, synced."""
        return version_id in self.version_ids.values()

    def save(self, version: ConfigVersion, needed: Collection[VersionId] = ()) -> None:
        """Write this version, synced on return, and remove old ones. OSError where the disk refuses.

        `needed`: versions whose files must stay.
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
            self.folder.remove(other)  # needs no sync: a file that reappears is only an older version
