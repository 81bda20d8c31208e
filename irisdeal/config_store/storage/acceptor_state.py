"""What an acceptor must never forget, as one file: its disk's identity, its promise, what it accepted.

The file is written whole beside the old one, synced, renamed, the folder synced: after any loss of power the one
or the other is there. So a file that is no proof of itself was not torn by us, and what it promised is not known:
the disk counts as lost and gets another identity, under which it has promised nothing.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import cbor2

from irisdeal.config_store.consensus.register import AcceptorState, Value
from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.version_files import put

MAGIC = b"irisdeal-kept-1 "
NAME = "kept"


@dataclass(frozen=True, slots=True)
class PersistedState:
    """All of it. `decided`: the newest value that was known to be decided when it was written."""

    disk: str
    kept: AcceptorState
    decided: Value


def encode(state: PersistedState) -> bytes:
    """A line with magic and a check of the rest, then the rest."""
    told = cbor2.dumps([state.disk, state.kept.encode(), state.decided.encode()])
    return MAGIC + hashlib.sha256(told).hexdigest().encode() + b"\n" + told


def decode(data: bytes) -> PersistedState:
    """ValueError where the bytes are no proof of themselves."""
    head, _, told = data.partition(b"\n")
    if head != MAGIC + hashlib.sha256(told).hexdigest().encode():
        raise ValueError("damaged")
    disk, kept, decided = cbor2.loads(told)
    return PersistedState(str(disk), AcceptorState.decode(kept), Value.decode(decided))


class AcceptorStateFile:
    """The file in its folder. One thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder

    def open(self) -> PersistedState | None:
        """What was kept, synced anew; None where there is none. ValueError where it is damaged, OSError."""
        if NAME not in self.folder.names():
            return None
        state = decode(self.folder.read(NAME))
        self.write(state)  # the process that wrote it may have been killed before it synced
        return state

    def write(self, state: PersistedState) -> None:
        """Synced when it returns. OSError where the disk refuses."""
        put(self.folder, NAME, encode(state))
