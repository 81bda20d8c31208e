"""A folder on a disk: the operations that the store needs, each of which may be the last before a crash."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Folder(Protocol):
    """Operations on one folder. Each blocks, and raises OSError where the disk refuses."""

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of the file."""

    def write(self, name: str, data: bytes) -> None:
        """Write the whole file, not synced."""

    def sync(self, name: str) -> None:
        """Sync what was written to this file."""

    def rename(self, name: str, other: str) -> None:
        """Rename the file, in place of one that has the other name."""

    def remove(self, name: str) -> None:
        """Remove the file where it is there."""

    def sync_directory(self) -> None:
        """Sync the names that were made, changed and removed last."""


class DiskFolder:
    """A folder of the machine's disk, as `Folder` describes it."""

    def __init__(self, path: str) -> None:
        """Make the folder where it is not there. OSError where the disk refuses."""
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the content of the file."""
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Write the whole file, not synced."""
        file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]
        finally:
            os.close(file)

    def sync(self, name: str) -> None:
        """Sync what was written to this file."""
        self._fsync(self.path / name)

    def rename(self, name: str, other: str) -> None:
        """Rename the file, in place of one that has the other name."""
        os.rename(self.path / name, self.path / other)

    def remove(self, name: str) -> None:
        """Remove the file where it is there."""
        (self.path / name).unlink(missing_ok=True)

    def sync_directory(self) -> None:
        """Sync the names that were made, changed and removed last."""
        self._fsync(self.path)

    @staticmethod
    def _fsync(path: Path) -> None:
        file = os.open(path, os.O_RDONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)
