"""A replica as acceptor: its state and its configuration versions, on disk. Each write is synced before it returns.

Writes to the disk come one after the other; reading the state (`state`, `decided`) never waits for them.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar, TypeVarTuple

from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN_VALUE,
    AcceptorState,
    Ballot,
    Value,
    on_accept,
    on_prepare,
)
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, format_seat
from irisdeal.config_store.storage.acceptor_state import AcceptorStateFile, PersistedState
from irisdeal.config_store.storage.folder import DiskFolder, Folder
from irisdeal.config_store.storage.version_files import VersionFiles
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.runtime.events import Event, check_invariant, log_event
from irisdeal.runtime.process import Tasks

T = TypeVar("T")
Args = TypeVarTuple("Args")
DISK_ID_BYTES = 8  # of random identity: no two disks ever have the same


class Acceptor:
    """One seat and its disk."""

    def __init__(self, ip: str, path: str, folder: Folder | None, tasks: Tasks) -> None:
        """`folder`: in place of the one at `path`."""
        self.ip, self.tasks = ip, tasks
        self.folder = folder or DiskFolder(path)
        self.thread = ThreadPoolExecutor(1, "disk") if folder is None else None
        self.version_files = VersionFiles(self.folder)
        self.state_file = AcceptorStateFile(self.folder)
        self.version_store = VersionStore()
        self.write_lock = asyncio.Lock()
        self.disk_id = ""
        self.state = AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN_VALUE)
        self.decided = UNKNOWN_VALUE
        self.written = UNKNOWN_VALUE  # the decided value that is on the disk
        self.needed: dict[
            VersionId, ConfigVersion
        ] = {}  # what is accepted and decided, whatever else arrives

    @property
    def seat(self) -> str:
        """The address and the disk's identity, as member lists name them."""
        return format_seat(self.ip, self.disk_id)

    async def open(self, first: Value | None) -> None:
        """Load what the disk has; an empty or damaged one gets a new identity. OSError where it refuses.

        `first`: the value of a system that starts for the first time; None on any other start.
        """
        persisted = None
        try:
            persisted = await self._on_disk(self.state_file.open)
        except ValueError as error:
            log_event(Event.ACCEPTOR_STATE_DAMAGED, ip=self.ip, error=error)
            first = None
        versions = await self._on_disk(self.version_files.open)
        if persisted is None:
            persisted = await self._write_new_identity(first)
        self.disk_id, self.state = persisted.disk_id, persisted.acceptor_state
        self.decided = self.written = persisted.decided
        for version in versions:
            if version.version_id in (self.state.value.version_id, self.decided.version_id):
                self.version_store.add(version)
        self._retain_needed()

    async def _write_new_identity(self, first: Value | None) -> PersistedState:
        """Give an empty disk an identity.

        `replace_wiped_disk` of membership/reconfiguration.py lets it into the member list again.
        """
        value = first or UNKNOWN_VALUE
        disk_id = INITIAL_DISK_ID if first else secrets.token_hex(DISK_ID_BYTES)
        persisted = PersistedState(disk_id, AcceptorState(NO_BALLOT, NO_BALLOT, value), value)
        await self._on_disk(self.state_file.write, persisted)
        log_event(Event.DISK_IDENTITY_ASSIGNED, seat=format_seat(self.ip, persisted.disk_id))
        return persisted

    async def _on_disk(self, act: Callable[[*Args], T], *args: *Args) -> T:
        """Run a blocking call in the disk's thread."""
        return await asyncio.get_running_loop().run_in_executor(self.thread, act, *args)

    async def _run_to_end(self, act: Coroutine[None, None, T]) -> T:
        """Run this to its end also where the caller is cancelled. OSError where the disk refuses."""

        async def run() -> Result[T, OSError]:
            """Run it, with a refusal as a value: an error would be lost with a cancelled caller."""
            try:
                return Success(await act)
            except OSError as error:
                log_event(Event.DISK_WRITE_FAILED, error=error)
                return Failure(error)

        result: Result[T, OSError] = await asyncio.shield(self.tasks.start(run()))
        if isinstance(result, Failure):
            raise result.failure()
        return result.unwrap()

    # Prepare and accept

    async def prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        """Return whether the ballot is promised, synced, and the state. OSError where the disk refuses."""
        return await self._run_to_end(self._prepare(ballot))

    async def _prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        async with self.write_lock:
            is_granted, state = on_prepare(self.state, ballot)
            if is_granted:
                await self._write(state)
            return is_granted, self.state

    async def accept(self, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
        """Return whether the value is accepted, synced, and the highest ballot promised.

        None where its configuration version is not here. OSError where the disk refuses.
        """
        return await self._run_to_end(self._accept(ballot, value))

    async def _accept(self, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
        async with self.write_lock:
            if not self.has_version(value.version_id):
                return None
            is_accepted, state = on_accept(self.state, ballot, value)
            if is_accepted and state != self.state:
                await self._write(state)
            return is_accepted, self.state.promised

    async def _write(self, state: AcceptorState) -> None:
        decided = self.decided
        await self._on_disk(self.state_file.write, PersistedState(self.disk_id, state, decided))
        self.state, self.written = state, decided
        self._retain_needed()

    # What is decided

    def learn(self, value: Value) -> bool:
        """Return whether this decided value is newer. It is on the disk with the next write."""
        if value.change <= self.decided.change:
            return False
        self.decided = value
        self._retain_needed()
        return True

    async def save(self) -> None:
        """Write the decided value to the disk. OSError where the disk refuses."""
        await self._run_to_end(self._save())

    async def _save(self) -> None:
        async with self.write_lock:
            if self.written != self.decided:
                await self._write(self.state)

    # Configuration versions

    def _retain_needed(self) -> None:
        version_ids = {self.state.value.version_id, self.decided.version_id} - {NO_VERSION}
        self.needed = {
            version_id: version
            for version_id in version_ids
            if (version := self.version(version_id)) is not None
        }

    def version(self, version_id: VersionId) -> ConfigVersion | None:
        """Return this version where it is in memory."""
        return self.needed.get(version_id) or self.version_store.get(version_id.digest)

    def has_version(self, version_id: VersionId) -> bool:
        """Whether this version is here, synced; `NO_VERSION` always is."""
        if version_id == NO_VERSION:
            return True
        return self.version_files.has(version_id) and self.version(version_id) is not None

    async def save_version(self, version: ConfigVersion) -> bool:
        """Keep this version, synced; return False where the disk refuses."""
        if not check_invariant(
            version.is_intact(), "a stored version is complete", number=version.version_id.number
        ):
            return False
        return await self._run_to_end(self._save_version(version))

    async def _save_version(self, version: ConfigVersion) -> bool:
        self.version_store.add(version)
        async with self.write_lock:
            if not self.version_files.has(version.version_id):
                needed = {self.state.value.version_id, self.decided.version_id}
                try:
                    await self._on_disk(self.version_files.save, version, needed)
                except OSError as error:
                    log_event(Event.DISK_WRITE_FAILED, error=error)
                    return False
                generation = f"r{version.version_id.number}"
                log_event(Event.VERSION_STORED, generation=generation, bytes=len(version.body))
            self._retain_needed()
        return True
