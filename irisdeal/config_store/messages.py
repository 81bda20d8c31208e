"""Messages that a replica of the configuration store answers, and how they stand on the wire.

Each message is encoded as a list whose fields come in a fixed order: replicas and registries of two releases
run side by side during a rolling upgrade. `decode` raises ValueError, TypeError or IndexError where the value that
arrived is no such message.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import AcceptorState, Ballot, Value
from irisdeal.config_store.storage.chunks import SyncState

# Names of the calls on the wire: fixed, as releases run side by side.
STATE = "state"
PREPARE = "prepare"
ACCEPT = "accept"
DECIDED = "decided"
PUSH_STATE = "bring"
FETCH = "fetch"
PUT = "put"
READ = "read"
WATCH = "watch"

WireBody = Any  # the body of a message as CBOR reads it, which `decode` checks

NO_CONTACT_AGE_MS = -1  # the age in a `WatchReply` of a replica that has no contact with a quorum


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Phase 1 of a ballot. `seat`: the acceptor that is asked; another disk at that address does not answer."""

    seat: str
    ballot: Ballot

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.seat, self.ballot.encode()]

    @staticmethod
    def decode(encoded: Any) -> PrepareRequest:
        """Read what `encode` wrote."""
        seat, ballot = encoded
        return PrepareRequest(str(seat), Ballot.decode(ballot))


@dataclass(frozen=True, slots=True)
class PrepareReply:
    """Whether the promise is granted, and the acceptor's synced state.

    In its place the wire carries None where the seat is not this disk's, or the disk refuses the write.
    """

    is_granted: bool
    state: AcceptorState

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.is_granted, self.state.encode()]

    @staticmethod
    def decode(encoded: Any) -> PrepareReply:
        """Read what `encode` wrote."""
        is_granted, state = encoded
        return PrepareReply(bool(is_granted), AcceptorState.decode(state))


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Phase 2 of a ballot: accept this value. `seat`: as in `PrepareRequest`."""

    seat: str
    ballot: Ballot
    value: Value

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.seat, self.ballot.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Any) -> AcceptRequest:
        """Read what `encode` wrote."""
        seat, ballot, value = encoded
        return AcceptRequest(str(seat), Ballot.decode(ballot), Value.decode(value))


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Whether the value is accepted and synced, and the highest ballot that the acceptor promised.

    In its place the wire carries None where the seat is not this disk's, or the disk refuses the write.
    """

    is_accepted: bool
    promised: Ballot

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.is_accepted, self.promised.encode()]


@dataclass(frozen=True, slots=True)
class VersionMissingReply:
    """Answer to an accept whose configuration version is not on the acceptor's disk: push it, then ask again."""

    sync_state: SyncState

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire; None tells it from an `AcceptReply`."""
        return [None, self.sync_state.encode()]


def decode_accept_reply(encoded: Any) -> AcceptReply | VersionMissingReply:
    """Read the answer to an `AcceptRequest` that is not None."""
    is_accepted, detail = encoded
    if is_accepted is None:
        return VersionMissingReply(SyncState.decode(detail))
    return AcceptReply(bool(is_accepted), Ballot.decode(detail))


@dataclass(frozen=True, slots=True)
class DecidedNotice:
    """A value that the sender's ballot decided. It has no answer."""

    ballot: Ballot
    value: Value

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.ballot.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Any) -> DecidedNotice:
        """Read what `encode` wrote."""
        ballot, value, *_ = encoded  # a later release may append fields
        return DecidedNotice(Ballot.decode(ballot), Value.decode(value))


@dataclass(frozen=True, slots=True)
class PushReply:
    """Answer to a pushed chunk: whether the version is complete and synced, and what the receiver has."""

    is_complete: bool
    sync_state: SyncState

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.is_complete, self.sync_state.encode()]

    @staticmethod
    def decode(encoded: Any) -> PushReply:
        """Read what `encode` wrote."""
        is_complete, sync_state = encoded
        return PushReply(bool(is_complete), SyncState.decode(sync_state))


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Ask for the next chunk of a version: the answer is an encoded chunk, or None where it is not held."""

    sync_state: SyncState
    version_id: VersionId

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.sync_state.encode(), self.version_id.number, self.version_id.digest]

    @staticmethod
    def decode(encoded: Any) -> FetchRequest:
        """Read what `encode` wrote."""
        sync_state, number, digest = encoded
        return FetchRequest(SyncState.decode(sync_state), VersionId(int(number), bytes(digest)))


@dataclass(frozen=True, slots=True)
class PutRequest:
    """Have this version decided. The answer is a `PutOutcome` as a number."""

    version: ConfigVersion

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        version_id = self.version.version_id
        return [version_id.number, version_id.digest, self.version.body]

    @staticmethod
    def decode(encoded: Any) -> PutRequest:
        """Read what `encode` wrote."""
        number, digest, body, *_ = encoded  # a later release may append fields
        return PutRequest(ConfigVersion(VersionId(int(number), bytes(digest)), bytes(body)))


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Answer to a linearizable read, whose request has no fields.

    `is_known`: whether a quorum answered; `body`: the decided configuration, None where none was ever put.
    """

    is_known: bool
    body: bytes | None

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.is_known, self.body]

    @staticmethod
    def decode(encoded: Any) -> ReadReply:
        """Read what `encode` wrote."""
        is_known, body = encoded
        return ReadReply(bool(is_known), bytes(body) if is_known and body is not None else None)


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Long poll for what is decided after `change`, the caller's newest change; `sync_state`: what it has."""

    sync_state: SyncState
    change: int

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.sync_state.encode(), self.change]

    @staticmethod
    def decode(encoded: Any) -> WatchRequest:
        """Read what `encode` wrote."""
        sync_state, change, *_ = encoded  # a later release may append fields
        return WatchRequest(SyncState.decode(sync_state), int(change))


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Answer to a watch.

    `encoded_chunk`: the next chunk of the version of `value`, as it stands on the wire, which a `ChunkAssembler`
    checks; None where there is none. `value`: the newest decided value whose version the replica holds.
    `learners`: addresses of replicas outside the member list. `contact_age_ms`: age of the replica's last contact
    with a quorum in ms, `NO_CONTACT_AGE_MS` where it has none.
    """

    encoded_chunk: object
    value: Value
    learners: tuple[str, ...]
    contact_age_ms: int

    def encode(self) -> list[Any]:
        """Return the fields in the order of the wire."""
        return [self.encoded_chunk, self.value.encode(), list(self.learners), self.contact_age_ms]

    @staticmethod
    def decode(encoded: Any) -> WatchReply:
        """Read what `encode` wrote."""
        chunk, value, learners, age_ms = encoded
        return WatchReply(
            chunk, Value.decode(value), tuple(str(learner) for learner in learners), int(age_ms)
        )
