"""A member as acceptor: what it promised, accepted and holds. Each act is synced before it returns.

Acts on the disk come one after the other; what is told of the state (`kept`, `decided`) never waits for them.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN,
    AcceptorState,
    Ballot,
    Value,
    on_accept,
    on_prepare,
)
from irisdeal.config_store.membership.members import FIRST, seat
from irisdeal.config_store.storage.acceptor_state import AcceptorStateFile, PersistedState
from irisdeal.config_store.storage.folder import DiskFolder, Folder
from irisdeal.config_store.storage.version_files import Files
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.runtime.events import Event, check_invariant, log_event
from irisdeal.runtime.process import Tasks

T = TypeVar("T")
ID = 8  # bytes of a disk's identity: no two of all disks ever are alike


class Acceptor:
    """One seat and its disk."""

    def __init__(self, ip: str, path: str, folder: Folder | None, tasks: Tasks) -> None:
        """`folder`: in place of the one at `path`."""
        self.ip, self.tasks = ip, tasks
        self.folder = folder or DiskFolder(path)
        self.thread = ThreadPoolExecutor(1, "disk") if folder is None else None
        self.files, self.keeper, self.version_store = (
            Files(self.folder),
            AcceptorStateFile(self.folder),
            VersionStore(),
        )
        self.lock = asyncio.Lock()
        self.disk = ""
        self.kept, self.decided = AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN), UNKNOWN
        self.written = UNKNOWN  # the decided value that is on the disk
        self.needed: dict[
            VersionId, ConfigVersion
        ] = {}  # bodies of what is accepted and decided, whatever else comes

    @property
    def seat(self) -> str:
        return seat(self.ip, self.disk)

    async def open(self, first: Value | None) -> None:
        """`first`: the value of a system that starts for the first time; None on any other start. OSError."""
        state = None
        try:
            state = await self._on_disk(self.keeper.open)
        except ValueError as error:
            log_event(Event.ACCEPTOR_STATE_DAMAGED, ip=self.ip, error=error)
            first = None
        versions = await self._on_disk(self.files.open)
        if state is None:
            value = first or UNKNOWN
            state = PersistedState(
                FIRST if first else secrets.token_hex(ID), AcceptorState(NO_BALLOT, NO_BALLOT, value), value
            )
            await self._on_disk(self.keeper.write, state)
            log_event(Event.DISK_IDENTITY_ASSIGNED, seat=seat(self.ip, state.disk))
        self.disk, self.kept, self.decided, self.written = (
            state.disk,
            state.kept,
            state.decided,
            state.decided,
        )
        for version in versions:
            if version.version_id in (self.kept.value.version_id, self.decided.version_id):
                self.version_store.add(version)
        self._need()

    async def _on_disk(self, act: Callable[..., T], *given: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self.thread, act, *given)

    async def _whole(self, act: Coroutine[Any, Any, T]) -> T:
        """Goes to its end also where who asked for it goes away. OSError where the disk refuses."""

        async def run() -> Result[T, OSError]:
            try:
                return Success(await act)
            except OSError as error:
                log_event(Event.DISK_WRITE_FAILED, error=error)
                return Failure(error)

        done: Result[T, OSError] = await asyncio.shield(self.tasks.start(run()))
        if isinstance(done, Failure):
            raise done.failure()
        return done.unwrap()

    # Promises and accepts

    async def prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        """Whether it is promised, synced, and what is kept. OSError where the disk refuses."""
        return await self._whole(self._prepare(ballot))

    async def _prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        async with self.lock:
            good, kept = on_prepare(self.kept, ballot)
            if good:
                await self._write(kept)
            return good, self.kept

    async def accept(self, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
        """Whether it is accepted, synced, and what is promised; None where the body is not here. OSError."""
        return await self._whole(self._accept(ballot, value))

    async def _accept(self, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
        async with self.lock:
            if not self.holds(value.version_id):
                return None
            good, kept = on_accept(self.kept, ballot, value)
            if good and kept != self.kept:
                await self._write(kept)
            return good, self.kept.promised

    async def _write(self, kept: AcceptorState) -> None:
        decided = self.decided
        await self._on_disk(self.keeper.write, PersistedState(self.disk, kept, decided))
        self.kept, self.written = kept, decided
        self._need()

    # What is decided

    def learn(self, value: Value) -> bool:
        """Whether this decided value is news. It is on the disk with the next act."""
        if value.change <= self.decided.change:
            return False
        self.decided = value
        self._need()
        return True

    async def save(self) -> None:
        """The decided value on the disk. OSError where the disk refuses."""
        await self._whole(self._save())

    async def _save(self) -> None:
        async with self.lock:
            if self.written != self.decided:
                await self._write(self.kept)

    # Bodies

    def _need(self) -> None:
        version_ids = {self.kept.value.version_id, self.decided.version_id} - {NO_VERSION}
        self.needed = {
            version_id: version
            for version_id in version_ids
            if (version := self.version(version_id)) is not None
        }

    def version(self, version_id: VersionId) -> ConfigVersion | None:
        """This body, where it is here."""
        return self.needed.get(version_id) or self.version_store.get(version_id.digest)

    def holds(self, version_id: VersionId) -> bool:
        """Whether this body is here, synced; nothing is always held."""
        return version_id == NO_VERSION or (
            self.files.has(version_id) and self.version(version_id) is not None
        )

    async def save_version(self, version: ConfigVersion) -> bool:
        """Hold this body, synced; False where the disk refuses."""
        if not check_invariant(version.is_whole(), "a word is kept whole", number=version.version_id.number):
            return False
        return await self._whole(self._save_version(version))

    async def _save_version(self, version: ConfigVersion) -> bool:
        self.version_store.add(version)
        async with self.lock:
            if not self.files.has(version.version_id):
                try:
                    await self._on_disk(
                        self.files.keep, version, {self.kept.value.version_id, self.decided.version_id}
                    )
                except OSError as error:
                    log_event(Event.DISK_WRITE_FAILED, error=error)
                    return False
                log_event(
                    Event.VERSION_STORED, generation=f"r{version.version_id.number}", bytes=len(version.body)
                )
            self._need()
        return True
