"""The decided list of the core that a registry has acted under, on the machine's disk.

A registry that starts again and finds here the list that is still decided was in it all along, and may issue
permits at once (`irisdeal/permits/authority.py`). A record that is missing, torn or older costs time, never a
rule.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from irisdeal.config_store.storage.folder import DiskFolder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.permits.authority import IssuerList
from irisdeal.runtime.events import Event, log_event

FOLDER, NAME = "registry", "issuers.json"


def encode(record: IssuerList) -> bytes:
    """The record with a check of itself."""
    body = json.dumps([record.number, sorted(record.machines)])
    return f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}\n".encode()


def decode(data: bytes) -> IssuerList:
    """ValueError where the bytes are no whole record."""
    check, _, body = data.decode("ascii", "replace").strip().partition("\n")
    if check != hashlib.sha256(body.encode()).hexdigest():
        raise ValueError("torn")
    number, machines = json.loads(body)
    return IssuerList(int(number), frozenset(map(str, machines)))


class ListRecord:
    """The file in the folder of the machine's disk. Calls block."""

    def __init__(self, data_path: str) -> None:
        self.path = Path(data_path) / FOLDER

    def load(self) -> IssuerList | None:
        """What was recorded; None where there is nothing whole."""
        try:
            return decode((self.path / NAME).read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=NAME, error=error)
            return None

    def save(self, record: IssuerList) -> bool:
        """Synced when it returns; False where the disk refuses."""
        try:
            write_atomically(DiskFolder(str(self.path)), NAME, encode(record))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=NAME, error=error)
            return False
        return True
