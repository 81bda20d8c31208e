"""Messages of the configuration store, and their wire format.

Each message is encoded as a list with a fixed order of fields, because replicas and registries of two releases run
side by side during a rolling upgrade. `decode` raises ValueError, TypeError or IndexError if the received value is
malformed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import AcceptorState, Ballot, Value
from irisdeal.config_store.storage.chunks import SyncState

# Names of the calls on the wire; fixed, because two releases run side by side during an upgrade.
STATE = "state"
PREPARE = "prepare"
ACCEPT = "accept"
DECIDED = "decided"
PUSH_CHUNK = "bring"
FETCH = "fetch"
PUT = "put"
READ = "read"
WATCH = "watch"

WireBody = Any  # the body of a message as decoded from CBOR; `decode` validates it

NO_CONTACT_AGE_MS = -1  # `contact_age_ms` in the `WatchReply` of a replica without quorum contact


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Phase 1 of a ballot. `seat`: the addressed acceptor; another disk at its address does not answer."""

    seat: str
    ballot: Ballot

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.seat, self.ballot.encode()]

    @staticmethod
    def decode(encoded: Any) -> PrepareRequest:
        """Decode the output of `encode`."""
        seat, ballot = encoded
        return PrepareRequest(str(seat), Ballot.decode(ballot))


@dataclass(frozen=True, slots=True)
class PrepareReply:
    """Whether the promise is granted, and the acceptor's synced state.

    On the wire None replaces it if the seat has another disk than the receiver, or the disk write fails.
    """

    is_granted: bool
    state: AcceptorState

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.is_granted, self.state.encode()]

    @staticmethod
    def decode(encoded: Any) -> PrepareReply:
        """Decode the output of `encode`."""
        is_granted, state = encoded
        return PrepareReply(bool(is_granted), AcceptorState.decode(state))


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Phase 2 of a ballot: accept this value. `seat`: as in `PrepareRequest`."""

    seat: str
    ballot: Ballot
    value: Value

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.seat, self.ballot.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Any) -> AcceptRequest:
        """Decode the output of `encode`."""
        seat, ballot, value = encoded
        return AcceptRequest(str(seat), Ballot.decode(ballot), Value.decode(value))


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Whether the value is accepted and synced, and the highest ballot that the acceptor promised.

    On the wire None replaces it if the seat has another disk than the receiver, or the disk write fails.
    """

    is_accepted: bool
    promised: Ballot

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.is_accepted, self.promised.encode()]


@dataclass(frozen=True, slots=True)
class VersionMissingReply:
    """Reply to an accept if the acceptor's disk lacks the configuration version: push it, then resend."""

    sync_state: SyncState

    def encode(self) -> list[Any]:
        """Return the fields in wire order; None distinguishes it from an `AcceptReply`."""
        return [None, self.sync_state.encode()]


def decode_accept_reply(encoded: Any) -> AcceptReply | VersionMissingReply:
    """Decode the reply to an `AcceptRequest`, unless it is None."""
    is_accepted, detail = encoded
    if is_accepted is None:
        return VersionMissingReply(SyncState.decode(detail))
    return AcceptReply(bool(is_accepted), Ballot.decode(detail))


@dataclass(frozen=True, slots=True)
class DecidedNotice:
    """Notice of a value that the sender's ballot decided. It has no reply."""

    ballot: Ballot
    value: Value

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.ballot.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Any) -> DecidedNotice:
        """Decode the output of `encode`."""
        ballot, value, *_ = encoded  # a later release may append fields
        return DecidedNotice(Ballot.decode(ballot), Value.decode(value))


@dataclass(frozen=True, slots=True)
class PushReply:
    """Reply to a pushed chunk: whether the version is complete and synced, and the state of the receiver."""

    is_complete: bool
    sync_state: SyncState

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.is_complete, self.sync_state.encode()]

    @staticmethod
    def decode(encoded: Any) -> PushReply:
        """Decode the output of `encode`."""
        is_complete, sync_state = encoded
        return PushReply(bool(is_complete), SyncState.decode(sync_state))


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Request for the next chunk of a version. The reply is an encoded chunk, or None if it is not available."""

    sync_state: SyncState
    version_id: VersionId

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.sync_state.encode(), self.version_id.number, self.version_id.digest]

    @staticmethod
    def decode(encoded: Any) -> FetchRequest:
        """Decode the output of `encode`."""
        sync_state, number, digest = encoded
        return FetchRequest(SyncState.decode(sync_state), VersionId(int(number), bytes(digest)))


@dataclass(frozen=True, slots=True)
class PutRequest:
    """Request to have a version decided. The reply is a `PutOutcome` as a number."""

    version: ConfigVersion

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        version_id = self.version.version_id
        return [version_id.number, version_id.digest, self.version.body]

    @staticmethod
    def decode(encoded: Any) -> PutRequest:
        """Decode the output of `encode`."""
        number, digest, body, *_ = encoded  # a later release may append fields
        return PutRequest(ConfigVersion(VersionId(int(number), bytes(digest)), bytes(body)))


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Reply to a linearizable read, whose request has no fields.

    `is_known`: whether a quorum replied; `body`: the decided configuration, None before the first put.
    """

    is_known: bool
    body: bytes | None

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.is_known, self.body]

    @staticmethod
    def decode(encoded: Any) -> ReadReply:
        """Decode the output of `encode`."""
        is_known, body = encoded
        return ReadReply(bool(is_known), bytes(body) if is_known and body is not None else None)


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Long poll for values after `change`, the caller's newest change; `sync_state`: the state of the caller."""

    sync_state: SyncState
    change: int

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.sync_state.encode(), self.change]

    @staticmethod
    def decode(encoded: Any) -> WatchRequest:
        """Decode the output of `encode`."""
        sync_state, change, *_ = encoded  # a later release may append fields
        return WatchRequest(SyncState.decode(sync_state), int(change))


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Reply to a watch.

    `encoded_chunk`: the next chunk of the version of `value` in wire format, to be checked by a `ChunkAssembler`;
    None if there is none. `value`: the newest decided value whose version the replica has. `learners`: addresses of
    replicas outside the member list. `contact_age_ms`: knowledge age of the replica in ms (see
    `membership/contact.py`), `NO_CONTACT_AGE_MS` without quorum contact.
    """

    encoded_chunk: object
    value: Value
    learners: tuple[str, ...]
    contact_age_ms: int

    def encode(self) -> list[Any]:
        """Return the fields in wire order."""
        return [self.encoded_chunk, self.value.encode(), list(self.learners), self.contact_age_ms]

    @staticmethod
    def decode(encoded: Any) -> WatchReply:
        """Decode the output of `encode`."""
        chunk, value, learners, age_ms = encoded
        return WatchReply(
            chunk, Value.decode(value), tuple(str(learner) for learner in learners), int(age_ms)
        )
