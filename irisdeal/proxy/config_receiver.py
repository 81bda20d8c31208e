"""Receives configurations from several registries, in chunks from one at a time. No input or output."""

from __future__ import annotations

from collections.abc import Callable

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore

NEWEST_POSSIBLE = VersionId(1 << 62, b"")  # stated as our version, no registry has a newer one to send


class ConfigReceiver:
    """The newest complete configuration of this process, and how far a newer one has arrived.

    `change`: number of the newest change whose configuration is here, -1 before any; `as_of`: time on the caller's
    clock by which all that was decided is known, minus infinity before any.
    """

    def __init__(self, on_version: Callable[[ConfigVersion], None]) -> None:
        """`on_version`: called with each newer configuration."""
        self.on_version = on_version
        self.assembler = ChunkAssembler(VersionStore(max_older_versions=0))
        self.version: ConfigVersion | None = None
        self.change = -1
        self.as_of = float("-inf")
        self.sender = ""  # registry that is sending a configuration in chunks; no other one sends it too

    @property
    def version_id(self) -> VersionId:
        """Of the configuration that is here."""
        return self.version.version_id if self.version is not None else NO_VERSION

    def sync_state(self, registry: str) -> SyncState:
        """Return what we have, as stated to this registry: while another one is sending, it is to send nothing."""
        if self.sender not in ("", registry):
            return SyncState(NEWEST_POSSIBLE)
        return self.assembler.sync_state(self.version_id)

    def receive(self, registry: str, sync_state: SyncState, chunk: object, change: int) -> None:
        """Take in a registry's answer to a request that stated `sync_state`.

        `change`: number of the registry's newest change; below 0 where this chunk is of an older one.
        """
        if chunk is None:
            self.leave(registry)
            if sync_state.version_id == self.version_id:
                self.change = max(self.change, change)
        elif sync_state == self.sync_state(registry):  # else another one has sent it meanwhile
            self._take(registry, chunk, change)

    def _take(self, registry: str, chunk: object, change: int) -> None:
        version = self.assembler.add_chunk(chunk)
        is_partial = version is None and self.assembler.sync_state(self.version_id).offset != 0
        self.sender = registry if is_partial else ""
        if version is not None and version.version_id.number > self.version_id.number:
            self.version, self.change = version, max(self.change, change)
            self.on_version(version)

    def leave(self, registry: str) -> None:
        """Expect no more chunks from this registry."""
        if self.sender == registry:
            self.sender = ""

    def confirm(self, change: int, as_of: float) -> None:
        """Note that change `change` was the newest one at `as_of`; it counts where that change is here."""
        if 0 <= change <= self.change:
            self.as_of = max(self.as_of, as_of)
