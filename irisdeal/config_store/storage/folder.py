"""File operations on one folder. Tests simulate a crash after each of them."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Folder(Protocol):
    """Operations on one folder. Each blocks, and raises OSError if the disk fails."""

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of the file."""

    def write(self, name: str, data: bytes) -> None:
        """Replace the content of the file, without a sync."""

    def sync(self, name: str) -> None:
        """Sync the content of the file to disk."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename the file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove the file if it exists."""

    def sync_directory(self) -> None:
        """Sync the directory: names of files that were created, renamed or removed."""


class DiskFolder:
    """A `Folder` in the file system."""

    def __init__(self, path: str) -> None:
        """Create the folder if it does not exist. Raises OSError if the disk fails."""
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the content of the file."""
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Replace the content of the file, without a sync."""
        descriptor = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
        finally:
            os.close(descriptor)

    def sync(self, name: str) -> None:
        """Sync the content of the file to disk."""
        self._fsync(self.path / name)

    def rename(self, name: str, new_name: str) -> None:
        """Rename the file, replacing any file with the new name."""
        os.rename(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        """Remove the file if it exists."""
        (self.path / name).unlink(missing_ok=True)

    def sync_directory(self) -> None:
        """Sync the directory: names of files that were created, renamed or removed."""
        self._fsync(self.path)

    @staticmethod
    def _fsync(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
