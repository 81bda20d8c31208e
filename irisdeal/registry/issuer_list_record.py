"""The record of the decided issuer list that a registry has acted under, on the machine's disk.

A registry that starts again and finds here the list that is still decided was in it all along, and may issue
permits at once (`irisdeal/permits/authority.py`). A record that is missing, damaged or older costs time, never
a rule.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from irisdeal.config_store.storage.folder import DiskFolder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.permits.authority import IssuerList
from irisdeal.runtime.events import Event, log_event

FOLDER, NAME = "registry", "issuers.json"  # on disk: fixed, as each version opens what the one before wrote


def encode(record: IssuerList) -> bytes:
    """Return the file's bytes: a line with a SHA-256 of the rest, then the list as JSON."""
    body = json.dumps([record.number, sorted(record.machines)])
    return f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}\n".encode()


def decode(data: bytes) -> IssuerList:
    """Read the file's bytes. Raises ValueError where they are damaged."""
    check, _, body = data.decode("ascii", "replace").strip().partition("\n")
    if check != hashlib.sha256(body.encode()).hexdigest():
        raise ValueError("torn")
    number, machines = json.loads(body)
    return IssuerList(int(number), frozenset(map(str, machines)))


class IssuerListRecord:
    """The file in the folder of the machine's disk. Calls block."""

    def __init__(self, data_path: str) -> None:
        self.path = Path(data_path) / FOLDER

    def load(self) -> IssuerList | None:
        """Return the recorded list; None where there is none, or a damaged one."""
        try:
            return decode((self.path / NAME).read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=NAME, error=error)
            return None

    def save(self, record: IssuerList) -> bool:
        """Write and sync the list. Returns False where the disk refuses."""
        try:
            write_atomically(DiskFolder(str(self.path)), NAME, encode(record))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=NAME, error=error)
            return False
        return True
