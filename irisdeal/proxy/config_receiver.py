"""Receives configurations from several registries, in chunks from one registry at a time. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore

MAX_VERSION_ID = VersionId(1 << 62, b"")  # a proxy that states this version is sent no configuration


class ConfigReceiver:
    """The newest complete configuration of this process, and the received part of a newer one.

    `change`: number of the newest change that the configuration includes, -1 before any; `as_of`: time on the
    caller's clock up to which all decisions are known, minus infinity before any.
    """

    def __init__(self, on_version: Callable[[ConfigVersion], None]) -> None:
        """`on_version`: called with each newer configuration."""
        self.on_version = on_version
        self.assembler = ChunkAssembler(VersionStore(max_older_versions=0))
        self.version: ConfigVersion | None = None
        self.change = -1
        self.as_of = float("-inf")
        self.sender = ""  # the only registry that is sending chunks of a configuration now

    @property
    def version_id(self) -> VersionId:
        """The id of the complete configuration."""
        return self.version.version_id if self.version is not None else NO_VERSION

    def sync_state(self, registry: str) -> SyncState:
        """Return the state to report to this registry, such that it sends nothing while another one is sending."""
        if self.sender not in ("", registry):
            return SyncState(MAX_VERSION_ID)
        return self.assembler.sync_state(self.version_id)

    def receive(self, registry: str, sync_state: SyncState, chunk: object, change: int) -> None:
        """Apply a registry's reply to a request that stated `sync_state`.

        `change`: number of the registry's newest change; negative if this chunk belongs to an older one.
        """
        if chunk is None:
            self.forget_registry(registry)
            if sync_state.version_id == self.version_id:
                self.change = max(self.change, change)
        elif sync_state == self.sync_state(registry):  # otherwise, another registry has sent the chunk
            self._add_chunk(registry, chunk, change)

    def _add_chunk(self, registry: str, chunk: object, change: int) -> None:
        version = self.assembler.add_chunk(chunk)
        is_partial = version is None and self.assembler.sync_state(self.version_id).offset != 0
        self.sender = registry if is_partial else ""
        if version is not None and version.version_id.number > self.version_id.number:
            self.version, self.change = version, max(self.change, change)
            self.on_version(version)

    def forget_registry(self, registry: str) -> None:
        """Stop expecting chunks from this registry."""
        if self.sender == registry:
            self.sender = ""

    def confirm(self, change: int, as_of: float) -> None:
        """Update `as_of`, if the configuration includes `change`, which was the newest change at that time."""
        if 0 <= change <= self.change:
            self.as_of = max(self.as_of, as_of)
