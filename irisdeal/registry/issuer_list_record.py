"""On-disk record of the committed issuer list under which a registry has issued permits.

If a registry restarts and the record equals the current committed list, it has been on that list throughout and may
issue permits immediately (`irisdeal/permits/authority.py`). A missing, damaged or outdated record only delays the
issuing of permits; it never breaks a limit.
"""

from __future__ import annotations

from typing import cast

from irisdeal.permits.authority import IssuerList
from irisdeal.registry import checked_file
from irisdeal.registry.checked_file import CheckedFile
from irisdeal.runtime.events import Event, log_event

FILE_NAME = "issuers.json"  # fixed, because each version reads the files of the previous one


def encode(record: IssuerList) -> bytes:
    """Return the content of the file."""
    return checked_file.encode(_to_json(record))


def decode(data: bytes) -> IssuerList:
    """Parse the content of the file. Raises ValueError if it is damaged."""
    return _from_json(checked_file.decode(data))


def _to_json(record: IssuerList) -> object:
    return [record.number, sorted(record.machines)]


def _from_json(value: object) -> IssuerList:
    number, machines = cast(tuple[int, list[str]], value)
    return IssuerList(int(number), frozenset(map(str, machines)))


class IssuerListRecord:
    """The record file in the data folder. Its methods block."""

    def __init__(self, data_path: str) -> None:
        self.file = CheckedFile(data_path, FILE_NAME)

    def load(self) -> IssuerList | None:
        """Return the recorded list; None if the file is missing or damaged."""
        value = self.file.load()
        try:
            return _from_json(value) if value is not None else None
        except (ValueError, TypeError) as error:
            log_event(Event.FILE_DAMAGED, file=FILE_NAME, error=error)
            return None

    def save(self, record: IssuerList) -> bool:
        """Write and sync the list. Returns False if the write fails."""
        return self.file.save(_to_json(record))
