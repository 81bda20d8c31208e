"""The acceptor of a replica: its durable state and configuration versions. Each write is synced before it returns.

Disk writes are serialized by a lock; reading `state` and `decided` never waits for them.
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
from irisdeal.runtime.tasks import Tasks

T = TypeVar("T")
Args = TypeVarTuple("Args")
DISK_ID_BYTES = 8  # random bytes in a disk identity; enough that no two disks share one


class Acceptor:
    """The acceptor of one seat, and its disk."""

    def __init__(self, ip: str, path: str, folder: Folder | None, tasks: Tasks) -> None:
        """`folder`: used instead of the one at `path`, without a disk thread."""
        self.ip, self.tasks = ip, tasks
        self.folder = folder or DiskFolder(path)
        self.executor = ThreadPoolExecutor(1, "disk") if folder is None else None
        self.version_files = VersionFiles(self.folder)
        self.state_file = AcceptorStateFile(self.folder)
        self.version_store = VersionStore()
        self.write_lock = asyncio.Lock()
        self.disk_id = ""
        self.state = AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN_VALUE)
        self.decided = UNKNOWN_VALUE
        self.persisted_decided = UNKNOWN_VALUE  # the decided value on the disk
        # Versions of the accepted and the decided value, kept regardless of what `version_store` drops.
        self.retained_versions: dict[VersionId, ConfigVersion] = {}

    @property
    def seat(self) -> str:
        """The seat of this disk, as member lists name it (`10.0.0.1/9f3c`)."""
        return format_seat(self.ip, self.disk_id)

    async def open(self, initial_value: Value | None) -> None:
        """Load the state from disk; an empty or damaged disk gets a new identity. Raises OSError if the disk fails.

        `initial_value`: the value at the first start of a cluster; None on any other start.
        """
        persisted = None
        try:
            persisted = await self._run_on_disk(self.state_file.open)
        except ValueError as error:
            log_event(Event.ACCEPTOR_STATE_DAMAGED, ip=self.ip, error=error)
            initial_value = None
        versions = await self._run_on_disk(self.version_files.open)
        if persisted is None:
            persisted = await self._write_new_identity(initial_value)
        self.disk_id, self.state = persisted.disk_id, persisted.acceptor_state
        self.decided = self.persisted_decided = persisted.decided
        for version in versions:
            if version.version_id in (self.state.value.version_id, self.decided.version_id):
                self.version_store.add(version)
        self._retain_versions()

    async def _write_new_identity(self, initial_value: Value | None) -> PersistedState:
        """Write an identity to an empty disk.

        `replace_wiped_disk` of membership/reconfiguration.py makes the new seat a member again.
        """
        value = initial_value or UNKNOWN_VALUE
        disk_id = INITIAL_DISK_ID if initial_value else secrets.token_hex(DISK_ID_BYTES)
        persisted = PersistedState(disk_id, AcceptorState(NO_BALLOT, NO_BALLOT, value), value)
        await self._run_on_disk(self.state_file.write, persisted)
        log_event(Event.DISK_IDENTITY_ASSIGNED, seat=format_seat(self.ip, persisted.disk_id))
        return persisted

    async def _run_on_disk(self, function: Callable[[*Args], T], *args: *Args) -> T:
        """Run a blocking call in the disk thread."""
        return await asyncio.get_running_loop().run_in_executor(self.executor, function, *args)

    async def _run_shielded(self, operation: Coroutine[None, None, T]) -> T:
        """Run the operation to completion even if the caller is cancelled. Raises OSError if the disk fails."""

        async def run() -> Result[T, OSError]:
            """Return a disk error as a value: an exception would be lost if the caller is cancelled."""
            try:
                return Success(await operation)
            except OSError as error:
                log_event(Event.DISK_WRITE_FAILED, error=error)
                return Failure(error)

        result: Result[T, OSError] = await asyncio.shield(self.tasks.start(run()))
        if isinstance(result, Failure):
            raise result.failure()
        return result.unwrap()

    # Prepare and accept

    async def prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        """Return whether the ballot is promised and synced, and the state. Raises OSError if the disk fails."""
        return await self._run_shielded(self._prepare(ballot))

    async def _prepare(self, ballot: Ballot) -> tuple[bool, AcceptorState]:
        async with self.write_lock:
            is_granted, state = on_prepare(self.state, ballot)
            if is_granted:
                await self._write(state)
            return is_granted, self.state

    async def accept(self, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
        """Return whether the value is accepted and synced, and the highest promised ballot.

        None if the configuration version that the value names is not stored here. Raises OSError if the disk fails.
        """
        return await self._run_shielded(self._accept(ballot, value))

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
        await self._run_on_disk(self.state_file.write, PersistedState(self.disk_id, state, decided))
        self.state, self.persisted_decided = state, decided
        self._retain_versions()

    # Decided value

    def learn(self, value: Value) -> bool:
        """Record a decided value; return whether it is newer. It reaches the disk with the next write."""
        if value.change <= self.decided.change:
            return False
        self.decided = value
        self._retain_versions()
        return True

    async def save_decided(self) -> None:
        """Write the decided value to the disk. Raises OSError if the disk fails."""
        await self._run_shielded(self._save_decided())

    async def _save_decided(self) -> None:
        async with self.write_lock:
            if self.persisted_decided != self.decided:
                await self._write(self.state)

    # Configuration versions

    def _retain_versions(self) -> None:
        version_ids = {self.state.value.version_id, self.decided.version_id} - {NO_VERSION}
        self.retained_versions = {
            version_id: version
            for version_id in version_ids
            if (version := self.get_version(version_id)) is not None
        }

    def get_version(self, version_id: VersionId) -> ConfigVersion | None:
        """Return this version if it is in memory."""
        return self.retained_versions.get(version_id) or self.version_store.get(version_id.digest)

    def has_version(self, version_id: VersionId) -> bool:
        """Whether this version is stored here and synced; always true for `NO_VERSION`."""
        if version_id == NO_VERSION:
            return True
        return self.version_files.has(version_id) and self.get_version(version_id) is not None

    async def save_version(self, version: ConfigVersion) -> bool:
        """Store and sync this version; return False if the disk fails."""
        if not check_invariant(
            version.is_intact(), "a stored version is complete", number=version.version_id.number
        ):
            return False
        return await self._run_shielded(self._save_version(version))

    async def _save_version(self, version: ConfigVersion) -> bool:
        self.version_store.add(version)
        async with self.write_lock:
            if not self.version_files.has(version.version_id):
                needed = {self.state.value.version_id, self.decided.version_id}
                try:
                    await self._run_on_disk(self.version_files.save, version, needed)
                except OSError as error:
                    log_event(Event.DISK_WRITE_FAILED, error=error)
                    return False
                generation = f"r{version.version_id.number}"
                log_event(Event.VERSION_STORED, generation=generation, bytes=len(version.body))
            self._retain_versions()
        return True
