"""Read-only inspection of a replica's folder. Calls block, and raise OSError if the disk fails."""

from __future__ import annotations

from dataclasses import dataclass, field

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.storage import acceptor_state, version_files
from irisdeal.config_store.storage.acceptor_state import PersistedState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.runtime.errors import OperationError


@dataclass
class FolderContent:
    """The content of a folder. `state` is None if the acceptor state file is missing or damaged."""

    state: PersistedState | None = None
    versions: dict[str, ConfigVersion] = field(default_factory=dict)  # by file name
    errors: list[OperationError] = field(default_factory=list)  # one for each damaged file

    def version(self, version_id: VersionId) -> ConfigVersion | None:
        """Return this version; None if it is not in the folder."""
        return next((version for version in self.versions.values() if version.version_id == version_id), None)

    @property
    def values(self) -> list[Value]:
        """The newest value known to be decided, and the last accepted value."""
        return [self.state.decided, self.state.acceptor_state.value] if self.state is not None else []

    def has_version_of(self, value: Value) -> bool:
        """Whether the configuration version that the value names is in the folder; always true for `NO_VERSION`."""
        return value.version_id == NO_VERSION or self.version(value.version_id) is not None

    def status(self, version_id: VersionId) -> str:
        """Return `decided`, `accepted` (not known to be decided) or `kept` (an older or undecided version)."""
        if self.state is not None and version_id == self.state.decided.version_id:
            return "decided"
        if self.state is not None and version_id == self.state.acceptor_state.value.version_id:
            return "accepted"
        return "kept"


def inspect_folder(folder: Folder) -> FolderContent:
    """Read all files of the folder."""
    content = FolderContent()
    for name in folder.list_files():
        try:
            if name == acceptor_state.FILE_NAME:
                content.state = acceptor_state.decode(folder.read(name))
            elif name.endswith(version_files.SUFFIX):
                content.versions[name] = version_files.decode(folder.read(name))
        except ValueError as error:
            content.errors.append(OperationError("read", name, str(error)))
    return content


def verify(content: FolderContent) -> list[OperationError]:
    """Return all errors: damaged files, a missing identity, or a missing version of the accepted value."""
    if content.state is None:
        return content.errors + _missing_identity(content)
    value = content.state.acceptor_state.value
    if content.has_version_of(value):
        return content.errors
    generation = f"r{value.version_id.number}"
    return [*content.errors, OperationError("check", generation, "accepted, but its body is not here")]


def _missing_identity(content: FolderContent) -> list[OperationError]:
    """Return the error for a disk without identity, unless a damaged state file is already reported."""
    if any(error.peer == acceptor_state.FILE_NAME for error in content.errors):
        return []
    return [OperationError("read", acceptor_state.FILE_NAME, "missing: this disk has no identity yet")]


def newest_version(content: FolderContent) -> ConfigVersion | None:
    """Return the version to export: that of the decided value, otherwise that of the accepted one."""
    versions = (content.version(value.version_id) for value in content.values)
    return next((version for version in versions if version is not None), None)


def find_version(content: FolderContent, generation: str) -> ConfigVersion | None:
    """Return the version of a generation such as `r12`; of several bodies, the decided or accepted one."""
    found = [
        version for version in content.versions.values() if f"r{version.version_id.number}" == generation
    ]
    return min(
        found,
        key=lambda version: (content.status(version.version_id) == "kept", version.version_id.digest),
        default=None,
    )
