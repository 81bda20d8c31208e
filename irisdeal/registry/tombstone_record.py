"""The record of the backends that drain or are gone, on the machine's disk.

A drain or an end is acknowledged once a majority of the core has it here, synced: so it outlives every
tolerated loss, also where all machines lose power at the same moment. The file is written as a whole beside the
old one, synced and renamed, and the folder synced: after any loss of power the one or the other is there. What
arrives during a write goes into the next one together.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Iterable
from typing import Any

import cbor2

from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.events import Event, log_event

FOLDER, NAME = "registry", "ended"  # on disk: fixed, as each version opens what the one before wrote
MAGIC = b"irisdeal-ended-1 "


def encode(incarnations: Iterable[BackendIncarnation]) -> bytes:
    """Return the file's bytes: a line with the magic and a SHA-256 of the rest, then the incarnations as CBOR."""
    body: bytes = cbor2.dumps([incarnation.encode(0.0) for incarnation in incarnations])
    return MAGIC + hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def decode(data: bytes) -> list[BackendIncarnation]:
    """Read the file's bytes. Raises ValueError or TypeError where they are damaged."""
    head, _, body = data.partition(b"\n")
    if head != MAGIC + hashlib.sha256(body).hexdigest().encode():
        raise ValueError("damaged")
    encoded: list[list[Any]] = cbor2.loads(body)
    return [BackendIncarnation.decode(fields, 0.0) for fields in encoded]


class TombstoneRecord:
    """The file in its folder."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.recorded: dict[str, BackendState] = {}  # on the disk, synced, by incarnation
        self.lock = asyncio.Lock()

    async def load(self) -> list[BackendIncarnation] | None:
        """Return what is recorded.

        None where there is no record, or a damaged one, so that an earlier process may have known more.
        """
        try:
            async with self.lock:
                return await asyncio.get_running_loop().run_in_executor(None, self._load)
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=NAME, error=error)
            return None

    def _load(self) -> list[BackendIncarnation] | None:
        if NAME not in self.folder.list_files():
            return None
        incarnations = decode(self.folder.read(NAME))
        # Written again, as the process that wrote it may have been killed before it synced.
        write_atomically(self.folder, NAME, encode(incarnations))
        self.recorded = _states(incarnations)
        return incarnations

    def has(self, incarnation: BackendIncarnation) -> bool:
        """Whether this state of an incarnation is on the disk, or need not be."""
        return incarnation.state <= self.recorded.get(incarnation.id, BackendState.READY)

    async def save(
        self, incarnations: Iterable[BackendIncarnation], known: Iterable[BackendIncarnation]
    ) -> bool:
        """Return whether these states are on the disk, synced, after a write where one is needed.

        `known`: all incarnations, read as a write begins.
        """
        wanted = list(incarnations)
        if all(map(self.has, wanted)):
            return True
        async with self.lock:
            if all(map(self.has, wanted)):  # they went with the write before
                return True
            return await self._write(known) and all(map(self.has, wanted))

    async def initialize(self, known: Iterable[BackendIncarnation]) -> bool:
        """Write the record though there may be no tombstone.

        From now on the file shows that this machine forgot none.
        """
        async with self.lock:
            return await self._write(known)

    async def _write(self, known: Iterable[BackendIncarnation]) -> bool:
        ended = [incarnation for incarnation in known if incarnation.state > BackendState.READY]
        try:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, write_atomically, self.folder, NAME, encode(ended))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=NAME, error=error)
            return False
        self.recorded = _states(ended)
        return True


def _states(incarnations: Iterable[BackendIncarnation]) -> dict[str, BackendState]:
    return {incarnation.id: incarnation.state for incarnation in incarnations}
