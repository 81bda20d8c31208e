"""On-disk record of the committed issuer list under which a registry has issued permits.

If a registry restarts and the record equals the current committed list, it has been on that list throughout and may
issue permits immediately (`irisdeal/permits/authority.py`). A missing, damaged or outdated record only delays the
issuing of permits; it never breaks a limit.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from irisdeal.config_store.storage.folder import DiskFolder
from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.permits.authority import IssuerList
from irisdeal.runtime.events import Event, log_event

# Names on disk: fixed, because each version reads the files of the previous one
FOLDER_NAME = "registry"
FILE_NAME = "issuers.json"


def encode(record: IssuerList) -> bytes:
    """Return the content of the file: a line with the SHA-256 of the rest, then the list as JSON."""
    body = json.dumps([record.number, sorted(record.machines)])
    return f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}\n".encode()


def decode(data: bytes) -> IssuerList:
    """Parse the content of the file. Raises ValueError if it is damaged."""
    check, _, body = data.decode("ascii", "replace").strip().partition("\n")
    if check != hashlib.sha256(body.encode()).hexdigest():
        raise ValueError("checksum mismatch")
    number, machines = json.loads(body)
    return IssuerList(int(number), frozenset(map(str, machines)))


class IssuerListRecord:
    """The record file in the data folder. Its methods block."""

    def __init__(self, data_path: str) -> None:
        self.path = Path(data_path) / FOLDER_NAME

    def load(self) -> IssuerList | None:
        """Return the recorded list; None if the file is missing or damaged."""
        try:
            return decode((self.path / FILE_NAME).read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=FILE_NAME, error=error)
            return None

    def save(self, record: IssuerList) -> bool:
        """Write and sync the list. Returns False if the write fails."""
        try:
            write_atomically(DiskFolder(str(self.path)), FILE_NAME, encode(record))
        except OSError as error:
            log_event(Event.DISK_WRITE_FAILED, file=FILE_NAME, error=error)
            return False
        return True
