"""What lies in a store's folder, read without changing it. Calls here block; OSError where the disk refuses."""

from __future__ import annotations

from dataclasses import dataclass, field

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.storage import acceptor_state, version_files
from irisdeal.config_store.storage.acceptor_state import PersistedState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.runtime.errors import OperationError


@dataclass
class Disk:
    """What was found. `state` is None where the disk has no identity yet or `kept` is damaged."""

    state: PersistedState | None = None
    versions: dict[str, ConfigVersion] = field(default_factory=dict)  # file -> body
    troubles: list[OperationError] = field(default_factory=list)

    def body(self, version_id: VersionId) -> ConfigVersion | None:
        return next((version for version in self.versions.values() if version.version_id == version_id), None)

    @property
    def values(self) -> list[Value]:
        """The newest that it knew to be decided, and what it accepted."""
        return [self.state.decided, self.state.kept.value] if self.state is not None else []

    def holds(self, value: Value) -> bool:
        return value.version_id == NO_VERSION or self.body(value.version_id) is not None

    def standing(self, version_id: VersionId) -> str:
        """`decided`, `accepted` (perhaps not decided) or `kept` (an older one, or one that was never decided)."""
        if self.state is not None and version_id == self.state.decided.version_id:
            return "decided"
        return (
            "accepted"
            if self.state is not None and version_id == self.state.kept.value.version_id
            else "kept"
        )


def look(folder: Folder) -> Disk:
    """All that is there."""
    disk = Disk()
    for name in folder.names():
        try:
            if name == acceptor_state.NAME:
                disk.state = acceptor_state.decode(folder.read(name))
            elif name.endswith(".word"):
                disk.versions[name] = version_files.decode(folder.read(name))
        except ValueError as error:
            disk.troubles.append(OperationError("read", name, str(error)))
    return disk


def verify(disk: Disk) -> list[OperationError]:
    """What is wrong: damage, and the body of an accepted value that is not there."""
    if disk.state is None:
        named = any(trouble.peer == acceptor_state.NAME for trouble in disk.troubles)
        return (
            disk.troubles
            if named
            else [
                *disk.troubles,
                OperationError("read", acceptor_state.NAME, "missing: this disk has no identity yet"),
            ]
        )
    value = disk.state.kept.value
    if not disk.holds(value):
        return [
            *disk.troubles,
            OperationError("check", f"r{value.version_id.number}", "accepted, but its body is not here"),
        ]
    return disk.troubles


def newest(disk: Disk) -> ConfigVersion | None:
    """The body to be exported: that of the newest decided value, else of the one accepted, that is here."""
    return next(
        (version for value in disk.values if (version := disk.body(value.version_id)) is not None), None
    )


def named(disk: Disk, generation: str) -> ConfigVersion | None:
    """The body of `r12`; where two have this number, the one that was decided or accepted."""
    found = [version for version in disk.versions.values() if f"r{version.version_id.number}" == generation]
    return min(
        found,
        key=lambda version: (disk.standing(version.version_id) == "kept", version.version_id.digest),
        default=None,
    )
