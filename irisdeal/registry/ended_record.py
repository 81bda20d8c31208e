"""The backends that have said that they leave, on the machine's disk.

A drain or an end is acknowledged once a majority of the core has it here, synced: so it outlives every loss that is
tolerated, also where all machines lose power at the same moment. The file is written whole beside the old one,
synced, renamed, the folder synced: after any loss of power the one or the other is there. What comes while a write
is under way goes with the next one, all together.
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

FOLDER, NAME = "registry", "ended"
MAGIC = b"irisdeal-ended-1 "


def encode(incarnations: Iterable[BackendIncarnation]) -> bytes:
    """A line with magic and a check of the rest, then the rest."""
    body: bytes = cbor2.dumps([incarnation.encode(0.0) for incarnation in incarnations])
    return MAGIC + hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def decode(data: bytes) -> list[BackendIncarnation]:
    """ValueError where the bytes are no proof of themselves."""
    head, _, body = data.partition(b"\n")
    if head != MAGIC + hashlib.sha256(body).hexdigest().encode():
        raise ValueError("damaged")
    told: list[list[Any]] = cbor2.loads(body)
    return [BackendIncarnation.decode(incarnation, 0.0) for incarnation in told]


class EndedRecord:
    """The file in its folder."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.kept: dict[str, BackendState] = {}  # what is on the disk, synced
        self.lock = asyncio.Lock()

    async def open(self) -> list[BackendIncarnation] | None:
        """What was recorded; None where there is nothing whole, so that an earlier process may have known more."""
        try:
            async with self.lock:
                return await asyncio.get_running_loop().run_in_executor(None, self._open)
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=NAME, error=error)
            return None

    def _open(self) -> list[BackendIncarnation] | None:
        if NAME not in self.folder.names():
            return None
        incarnations = decode(self.folder.read(NAME))
        write_atomically(
            self.folder, NAME, encode(incarnations)
        )  # the process that wrote it may have been killed before it synced
        self.kept = {incarnation.id: incarnation.state for incarnation in incarnations}
        return incarnations

    def has(self, incarnation: BackendIncarnation) -> bool:
        """Whether this state of a life is on the disk, or needs not be."""
        return incarnation.state <= self.kept.get(incarnation.id, BackendState.READY)

    async def save(
        self, incarnations: Iterable[BackendIncarnation], known: Iterable[BackendIncarnation]
    ) -> bool:
        """Whether these states are on the disk, synced. `known`: every life there is, read as a write begins."""
        wanted = list(incarnations)
        if all(map(self.has, wanted)):
            return True
        async with self.lock:
            if all(map(self.has, wanted)):  # they went with the write before
                return True
            ended = [incarnation for incarnation in known if incarnation.state > BackendState.READY]
            if not await self._write(ended):
                return False
            self.kept = {incarnation.id: incarnation.state for incarnation in ended}
            return all(map(self.has, wanted))

    async def begin(self, known: Iterable[BackendIncarnation]) -> bool:
        """Write the record though nothing may have ended: from now on an earlier process's word is in it."""
        async with self.lock:
            ended = [incarnation for incarnation in known if incarnation.state > BackendState.READY]
            if await self._write(ended):
                self.kept = {incarnation.id: incarnation.state for incarnation in ended}
                return True
            return False

    async def _write(self, ended: list[BackendIncarnation]) -> bool:
        try:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, write_atomically, self.folder, NAME, encode(ended))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=NAME, error=error)
            return False
        return True
