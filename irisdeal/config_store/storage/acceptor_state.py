"""The durable state of an acceptor in one file: the disk's identity, its promise, and the accepted value.

Each write goes to a temporary file that is synced and renamed over the old one, then the directory is synced: after
a power loss either the old or the new file is complete. So a wrong checksum is not the result of an interrupted
write, and the promise in the file is unknown: the disk counts as lost and gets a new identity, under which it has
promised nothing.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import cbor2

from irisdeal.config_store.consensus.register import AcceptorState, Value
from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.version_files import write_atomically

# The file name and format are fixed: each release reads the files of the previous one.
FILE_NAME = "kept"
MAGIC = b"irisdeal-kept-1 "


@dataclass(frozen=True, slots=True)
class PersistedState:
    """The content of the file. `decided`: the newest value known to be decided when it was written."""

    disk_id: str
    acceptor_state: AcceptorState
    decided: Value


def encode(state: PersistedState) -> bytes:
    """Return the file content: a line with the magic and the SHA-256 of the payload, then the payload."""
    payload = cbor2.dumps([state.disk_id, state.acceptor_state.encode(), state.decided.encode()])
    return MAGIC + hashlib.sha256(payload).hexdigest().encode() + b"\n" + payload


def decode(data: bytes) -> PersistedState:
    """Decode the output of `encode`. Raises ValueError if the digest does not match."""
    header, _, payload = data.partition(b"\n")
    if header != MAGIC + hashlib.sha256(payload).hexdigest().encode():
        raise ValueError("header or checksum does not match")
    disk_id, acceptor_state, decided = cbor2.loads(payload)
    return PersistedState(str(disk_id), AcceptorState.decode(acceptor_state), Value.decode(decided))


class AcceptorStateFile:
    """The file in its folder. Calls block; they must come from one thread at a time."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder

    def open(self) -> PersistedState | None:
        """Return the state, synced again; None if there is no file.

        Raises ValueError if the file is damaged, OSError if the disk fails.
        """
        if FILE_NAME not in self.folder.list_files():
            return None
        state = decode(self.folder.read(FILE_NAME))
        self.write(state)  # the writing process may have been killed before its sync
        return state

    def write(self, state: PersistedState) -> None:
        """Write and sync the file. Raises OSError if the disk fails."""
        write_atomically(self.folder, FILE_NAME, encode(state))
