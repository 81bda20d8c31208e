"""What an acceptor must never forget, as one file: its disk's identity, its promise, what it accepted.

The file is written whole beside the old one, synced, renamed, and the folder synced: after any loss of power
the one or the other is there. So a file whose checksum is wrong was not left by an interrupted write, and what
it promised is not known: the disk counts as lost and gets a new identity, under which it has promised nothing.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import cbor2

from irisdeal.config_store.consensus.register import AcceptorState, Value
from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.version_files import write_atomically

# The name and the format on disk are fixed: a release opens what the one before it wrote.
FILE_NAME = "kept"
MAGIC = b"irisdeal-kept-1 "


@dataclass(frozen=True, slots=True)
class PersistedState:
    """All of it. `decided`: the newest value that was known to be decided when the file was written."""

    disk_id: str
    acceptor_state: AcceptorState
    decided: Value


def encode(state: PersistedState) -> bytes:
    """Return the file: a line with magic and a digest of the rest, then the rest."""
    payload = cbor2.dumps([state.disk_id, state.acceptor_state.encode(), state.decided.encode()])
    return MAGIC + hashlib.sha256(payload).hexdigest().encode() + b"\n" + payload


def decode(data: bytes) -> PersistedState:
    """Read what `encode` wrote. ValueError where the digest does not match."""
    header, _, payload = data.partition(b"\n")
    if header != MAGIC + hashlib.sha256(payload).hexdigest().encode():
        raise ValueError("damaged")
    disk_id, acceptor_state, decided = cbor2.loads(payload)
    return PersistedState(str(disk_id), AcceptorState.decode(acceptor_state), Value.decode(decided))


class AcceptorStateFile:
    """The file in its folder. Calls block, and come from one thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder

    def open(self) -> PersistedState | None:
        """Return what the file says, synced anew; None where there is no file.

        ValueError where it is damaged, OSError where the disk refuses.
        """
        if FILE_NAME not in self.folder.list_files():
            return None
        state = decode(self.folder.read(FILE_NAME))
        self.write(state)  # the process that wrote it may have been killed before it synced
        return state

    def write(self, state: PersistedState) -> None:
        """Write the file; it is synced on return. OSError where the disk refuses."""
        write_atomically(self.folder, FILE_NAME, encode(state))
