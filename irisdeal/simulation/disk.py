"""A folder in memory that loses unsynced writes when power is lost, as a real disk may.

Its guarantees are those that the documentation requires of machines: a file contains what its last sync
covered, and each later write is present, missing or torn; a new file is durable once it has been synced
itself; a renamed or removed name is durable once its folder has been synced.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

# Probability that a loss of power takes every unsynced write.
ALL_LOST_PROBABILITY = 0.3
# Probability that an unsynced change of a name survives a loss of power.
CHANGE_KEPT_PROBABILITY = 0.5


@dataclass(eq=False)
class _File:
    """A file's bytes as processes read them, and those that survive a loss of power (None: none yet)."""

    visible: bytes
    durable: bytes | None = None

    def contents_after_power_loss(self) -> list[bytes | None]:
        """Return what it may contain after a loss of power."""
        if self.visible == self.durable:
            return [self.durable]
        half = self.visible[: len(self.visible) // 2]
        torn = half + bytes(len(self.visible) - len(half))  # its length is durable, its second half is not
        return [self.durable, self.visible, half, torn]


@dataclass
class MemoryDisk:
    """One folder.

    `files`: as processes see them; `durable`: names that survive a loss of power; `changes`: changes of names
    since the last sync of the folder (None: removed); `full`: operations that write are refused;
    `operations`: how many operations wrote; `fail_at`: number of writing operations after which all further
    ones are refused, to simulate a crash between two of them; -1 for no limit.
    """

    files: dict[str, _File] = field(default_factory=dict)
    durable: dict[str, _File] = field(default_factory=dict)
    changes: list[tuple[str, _File | None]] = field(default_factory=list)
    full: bool = False
    operations: int = 0
    fail_at: int = -1

    def _count_operation(self) -> None:
        self.operations += 1
        if self.full or 0 <= self.fail_at < self.operations:
            raise OSError(28, "refused")

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return a file's bytes. Raises KeyError where there is none."""
        return self.files[name].visible

    def write(self, name: str, data: bytes) -> None:
        """Replace a file's bytes, or create it; not durable before a sync. Raises OSError where refused."""
        self._count_operation()
        file = self.files.get(name)
        if file is None:
            self.files[name] = file = _File(b"")
            self.changes.append((name, file))
        file.visible = data

    def sync(self, name: str) -> None:
        """Make a file's bytes durable, and its name where it is new. Raises OSError where refused."""
        self._count_operation()
        file = self.files[name]
        file.durable = file.visible
        if not any(other is file for other in self.durable.values()):
            self.durable[name] = file

    def rename(self, name: str, other: str) -> None:
        """Rename a file; not durable before `sync_directory`. Raises OSError where refused."""
        self._count_operation()
        moved = self.files.pop(name)
        self.files[other] = moved
        self.changes += [(name, None), (other, moved)]

    def remove(self, name: str) -> None:
        """Remove a file, where it exists; not durable before `sync_directory`. Raises OSError where refused."""
        self._count_operation()
        if self.files.pop(name, None) is not None:
            self.changes.append((name, None))

    def sync_directory(self) -> None:
        """Make all names durable. Raises OSError where refused."""
        self._count_operation()
        self.durable = dict(self.files)
        self.changes = []

    def copy(self) -> MemoryDisk:
        """Return an independent copy of this disk, with no operations counted."""
        originals = [*self.files.values(), *self.durable.values()]
        originals += [file for _, file in self.changes if file]
        copies = {id(file): _File(file.visible, file.durable) for file in originals}
        return MemoryDisk(
            {name: copies[id(file)] for name, file in self.files.items()},
            {name: copies[id(file)] for name, file in self.durable.items()},
            [(name, copies[id(file)] if file else None) for name, file in self.changes],
            self.full,
        )

    # Losses of power

    def outcomes(self) -> Iterator[MemoryDisk]:
        """Generate every disk that may result from a loss of power now."""
        for kept_changes in itertools.product((False, True), repeat=len(self.changes)):
            names = dict(self.durable)
            for (name, file), is_kept in zip(self.changes, kept_changes, strict=True):
                if is_kept:
                    _apply_change(names, name, file)
            files = list(dict.fromkeys(names.values()))
            for contents in itertools.product(*(file.contents_after_power_loss() for file in files)):
                yield MemoryDisk._from_contents(names, dict(zip(files, contents, strict=True)))

    def lose_power(self, chance: random.Random) -> MemoryDisk:
        """Return a random disk that may result from a loss of power now."""
        if chance.random() < ALL_LOST_PROBABILITY:
            durable = {file: file.durable for file in self.durable.values()}
            return MemoryDisk._from_contents(self.durable, durable)
        names = dict(self.durable)
        for name, file in self.changes:
            if chance.random() < CHANGE_KEPT_PROBABILITY:
                _apply_change(names, name, file)
        contents = {
            file: chance.choice(file.contents_after_power_loss()) for file in dict.fromkeys(names.values())
        }
        return MemoryDisk._from_contents(names, contents)

    @staticmethod
    def _from_contents(names: dict[str, _File], contents: dict[_File, bytes | None]) -> MemoryDisk:
        """Return a disk with these files, all durable; those without contents are missing."""
        files = {}
        for name, file in names.items():
            data = contents[file]
            if data is not None:
                files[name] = _File(data, data)
        return MemoryDisk(files, dict(files))


def _apply_change(names: dict[str, _File], name: str, file: _File | None) -> None:
    if file is None:
        names.pop(name, None)
    else:
        names[name] = file
