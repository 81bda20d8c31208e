"""A small JSON file on a registry's disk, with a checksum: complete or absent after a power loss."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from irisdeal.config_store.storage.folder import DiskFolder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.runtime.events import Event, log_event

FOLDER_NAME = "registry"  # on disk: fixed, because each version reads the files of the previous one


def encode(value: object) -> bytes:
    """Return the content of a file: a line with the SHA-256 of the rest, then the value as JSON."""
    body = json.dumps(value)
    return f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}\n".encode()


def decode(data: bytes) -> object:
    """Return the value in a file. Raises ValueError if it is damaged."""
    check, _, body = data.decode("ascii", "replace").strip().partition("\n")
    if check != hashlib.sha256(body.encode()).hexdigest():
        raise ValueError("checksum mismatch")
    value: object = json.loads(body)
    return value


class CheckedFile:
    """One file in a registry's data folder. Its methods block."""

    def __init__(self, data_path: str, name: str) -> None:
        self.path, self.name = Path(data_path) / FOLDER_NAME, name

    def load(self) -> object:
        """Return the recorded value; None if the file is missing or damaged."""
        try:
            return decode((self.path / self.name).read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log_event(Event.FILE_DAMAGED, file=self.name, error=error)
            return None

    def save(self, value: object) -> bool:
        """Write and sync the value. Returns False if the write fails."""
        try:
            write_atomically(DiskFolder(str(self.path)), self.name, encode(value))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=self.name, error=error)
            return False
        return True
