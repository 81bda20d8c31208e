"""A folder on a disk: the few acts that the store needs, each of which may be the last before power is lost."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Folder(Protocol):
    """Acts on one folder. Each raises OSError where the disk refuses."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def write(self, name: str, data: bytes) -> None:
        """The whole file, not synced."""

    def sync(self, name: str) -> None:
        """What was written to this file lasts."""

    def rename(self, name: str, other: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Names that were made, changed and removed last."""


class DiskFolder:
    """A folder of the machine's disk. Calls block."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]
        finally:
            os.close(file)

    def sync(self, name: str) -> None:
        self._fsync(self.path / name)

    def rename(self, name: str, other: str) -> None:
        os.rename(self.path / name, self.path / other)

    def remove(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)

    def sync_names(self) -> None:
        self._fsync(self.path)

    @staticmethod
    def _fsync(path: Path) -> None:
        file = os.open(path, os.O_RDONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)
