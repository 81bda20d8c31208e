"""On-disk record of the backends that are draining or gone.

A drain or an end is acknowledged once a majority of the core has synced it to this record, so it survives every
tolerated loss, even if all machines lose power at the same time. The file is replaced atomically: the new file is
written beside the old one, synced and renamed, and the folder is synced, so that after a power loss one of the two
is intact. Changes that arrive during a write are combined in the next write.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Iterable
from typing import Any

import cbor2

from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.events import Event, log_event

# Names on disk: fixed, because each version reads the files of the previous one
FOLDER_NAME = "registry"
FILE_NAME = "ended"
MAGIC = b"irisdeal-ended-1 "

# Returns all incarnations of the table, which may change while a caller waits for its turn to write
KnownIncarnations = Callable[[], Iterable[BackendIncarnation]]


def encode(incarnations: Iterable[BackendIncarnation]) -> bytes:
    """Return the content of the file: a line with the magic and the SHA-256 of the rest, then CBOR."""
    body: bytes = cbor2.dumps([incarnation.encode(0.0) for incarnation in incarnations])
    return MAGIC + hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def decode(data: bytes) -> list[BackendIncarnation]:
    """Parse the content of the file. Raises ValueError or TypeError if it is damaged."""
    head, _, body = data.partition(b"\n")
    if head != MAGIC + hashlib.sha256(body).hexdigest().encode():
        raise ValueError("checksum mismatch")
    encoded: list[list[Any]] = cbor2.loads(body)
    return [BackendIncarnation.decode(fields, 0.0) for fields in encoded]


class TombstoneRecord:
    """The record file in its folder."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.recorded: dict[str, BackendState] = {}  # states synced to disk, by incarnation id
        self.lock = asyncio.Lock()

    async def load(self) -> list[BackendIncarnation] | None:
        """Return the recorded incarnations.

        Returns None if the file is missing or damaged: an earlier process may have acknowledged more.
        """
        try:
            async with self.lock:
                return await asyncio.get_running_loop().run_in_executor(None, self._load)
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=FILE_NAME, error=error)
            return None

    def _load(self) -> list[BackendIncarnation] | None:
        if FILE_NAME not in self.folder.list_files():
            return None
        incarnations = decode(self.folder.read(FILE_NAME))
        # The file is written again, because the process that wrote it may have been killed before the sync.
        write_atomically(self.folder, FILE_NAME, encode(incarnations))
        self.recorded = _states(incarnations)
        return incarnations

    def has(self, incarnation: BackendIncarnation) -> bool:
        """Return whether this state of an incarnation is on disk, or need not be recorded."""
        return incarnation.state <= self.recorded.get(incarnation.id, BackendState.READY)

    async def save(self, incarnations: Iterable[BackendIncarnation], known: KnownIncarnations) -> bool:
        """Write these states if needed; return whether they are synced to disk.

        `known`: returns all incarnations of the table; called when a write starts.
        """
        wanted = list(incarnations)
        if all(map(self.has, wanted)):
            return True
        async with self.lock:
            if all(map(self.has, wanted)):  # included in a write that was running
                return True
            return await self._write(known) and all(map(self.has, wanted))

    async def initialize(self, known: KnownIncarnations) -> bool:
        """Write the record, even without tombstones.

        From now on the file proves that this machine has lost no acknowledged drain or end.
        """
        async with self.lock:
            return await self._write(known)

    async def _write(self, known: KnownIncarnations) -> bool:
        ended = [incarnation for incarnation in known() if incarnation.state > BackendState.READY]
        try:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, write_atomically, self.folder, FILE_NAME, encode(ended))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=FILE_NAME, error=error)
            return False
        self.recorded = _states(ended)
        return True


def _states(incarnations: Iterable[BackendIncarnation]) -> dict[str, BackendState]:
    return {incarnation.id: incarnation.state for incarnation in incarnations}
