"""Bodies of words as plain files: temporary, synced, renamed, the folder synced. Calls here block.

A file is its own proof: a line with the number, the digest and the length, then the body as it came. A torn,
empty or strange file is passed over and told; the others of the core have the body.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.storage.folder import Folder
from irisdeal.runtime.events import Event, log_event

KEPT = 3  # bodies on disk beside those that are needed: for whoever looks, and for ballots under way
MAGIC = "irisdeal-word-1"
NEW = ".new"  # the end of a temporary file's name


def put(folder: Folder, name: str, data: bytes) -> None:
    """A file that is there whole or not at all, after any loss of power. OSError where the disk refuses."""
    temporary = name + NEW
    folder.write(temporary, data)
    folder.sync(temporary)
    folder.rename(temporary, name)
    folder.sync_names()


def encode(version: ConfigVersion) -> bytes:
    """A line with magic, number, digest, length and a check of these, then the body as it came."""
    told = f"{MAGIC} {version.version_id.number} {version.version_id.digest.hex()} {len(version.body)}"
    return f"{told} {_check(told)}\n".encode() + version.body


def _check(told: str) -> str:
    return hashlib.sha256(told.encode()).hexdigest()[:16]


def decode(data: bytes) -> ConfigVersion:
    """ValueError where the bytes are not a whole word."""
    head, line, body = data.partition(b"\n")
    told, _, check = head.decode("ascii", "replace").rpartition(" ")
    parts = told.split(" ")
    if not line or check != _check(told) or len(parts) != 4 or parts[0] != MAGIC:
        raise ValueError("no word")
    version = ConfigVersion(VersionId(int(parts[1]), bytes.fromhex(parts[2])), body)
    if str(len(body)) != parts[3] or not version.is_whole():
        raise ValueError("torn")
    return version


class Files:
    """One folder of words. One thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.version_ids: dict[
            str, VersionId
        ] = {}  # file -> what is in it, synced; the one kept last is the last

    def open(self) -> list[ConfigVersion]:
        """All whole words, synced, by number. OSError where the disk refuses."""
        versions = []
        for name in self.folder.names():
            if name.endswith(NEW):
                self.folder.remove(name)  # of a process that was killed in the act
            if not (name.startswith("r") and name.endswith(".word")):
                continue
            try:
                version = decode(self.folder.read(name))
            except (OSError, ValueError) as error:
                log_event(Event.FILE_DAMAGED, file=name, error=error)
                continue
            self.folder.sync(name)  # the process that wrote it may have been killed before it synced
            self.version_ids[name] = version.version_id
            versions.append(version)
        if versions:
            self.folder.sync_names()
        return versions

    def has(self, version_id: VersionId) -> bool:
        """Whether this body is on the disk, synced."""
        return version_id in self.version_ids.values()

    def keep(self, version: ConfigVersion, needed: Collection[VersionId] = ()) -> None:
        """Synced when it returns. `needed`: what must stay. OSError where the disk refuses."""
        name = f"r{version.version_id.number:018d}-{version.version_id.digest.hex()[:16]}.word"
        if name not in self.version_ids:
            put(self.folder, name, encode(version))
            self.version_ids[name] = version.version_id
        spare = [
            other
            for other, version_id in self.version_ids.items()
            if version_id not in needed and other != name
        ]
        for other in spare[:-KEPT]:
            del self.version_ids[other]
            self.folder.remove(other)  # needs no sync: one that is back is only an older version
