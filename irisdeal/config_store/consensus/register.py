"""The consensus register: one replicated value, changed by ballots. No log, no leader, and no I/O.

This is single-decree Paxos applied repeatedly to one value (CASPaxos: D. Rystsov, "CASPaxos: Replicated State
Machines without logs", 2018). A ballot gets promises from a quorum, adopts the value that was accepted under the
highest ballot among them, applies a change function to it, and gets the result accepted by a quorum. A value that
a quorum accepted under one ballot is decided, and each later ballot starts from it.

Invariants:
1. An acceptor replies to a prepare or an accept only after its `AcceptorState` is synced to disk.
2. An acceptor promises only ballots above its last promise, and accepts no ballot below it.
3. An acceptor accepts a value only if the configuration version that the value names is synced to its disk.
4. A ballot needs a quorum of `known_members`, the newest list that the proposer has learned as decided, a quorum
   of the list in the adopted value (and of that list's former members), and, for the accept phase, a quorum of the
   list in the proposed value. If the list in the adopted value differs from `known_members`, the value is proposed
   unchanged. So each proposed list is a decided list or the successor of one, and their quorums intersect.
5. A seat uses each ballot once: `Ballot.count` is above all counts that its own disk has promised, and a new disk
   is a new seat.
6. Only decided values are applied, returned by reads, or reported as confirmed. A value is known to be decided
   once a quorum of its own member list accepted it under the same ballot.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.config_store.membership.members import Members

Encoded = Sequence[Any]  # fields as decoded from CBOR, in wire and disk order


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposal number, ordered by count, then by the proposing seat."""

    count: int
    seat: str

    def encode(self) -> list[object]:
        """Return the fields in wire and disk order."""
        return [self.count, self.seat]

    @staticmethod
    def decode(encoded: Encoded) -> Ballot:
        """Decode the output of `encode`. Raises ValueError, TypeError or IndexError if malformed."""
        return Ballot(int(encoded[0]), str(encoded[1]))


NO_BALLOT = Ballot(0, "")


class PutOutcome(IntEnum):
    """Result of a put. The numbers are part of the wire format."""

    UNDECIDED = 0  # unknown or not decided yet: the caller retries
    DECIDED = 1  # decided, or superseded by a newer decided version
    CONFLICT = 2  # a different configuration is decided under the same number


@dataclass(frozen=True, slots=True)
class Value:
    """The value of the register. `change` increases by one with each decided change."""

    change: int
    version_id: VersionId
    members: Members

    @staticmethod
    def initial(members: Members) -> Value:
        """Return the value at the first start of a cluster."""
        return Value(0, NO_VERSION, members)

    def encode(self) -> list[object]:
        """Return the fields in wire and disk order."""
        return [self.change, self.version_id.number, self.version_id.digest, self.members.encode()]

    @staticmethod
    def decode(encoded: Encoded) -> Value:
        """Decode the output of `encode`. Raises ValueError or TypeError if malformed."""
        change, number, digest, members = encoded
        return Value(int(change), VersionId(int(number), bytes(digest)), Members.decode(members))


# The value of an empty disk; its numbers are below those of any decided value.
UNKNOWN_VALUE = Value(-1, NO_VERSION, Members(-1, ()))


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """Durable state of an acceptor: the highest promised ballot, the last accepted ballot, and its value."""

    promised: Ballot
    accepted: Ballot
    value: Value

    def encode(self) -> list[object]:
        """Return the fields in wire and disk order."""
        return [self.promised.encode(), self.accepted.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Encoded) -> AcceptorState:
        """Decode the output of `encode`. Raises ValueError, TypeError or IndexError if malformed."""
        promised, accepted, value, *_ = encoded
        return AcceptorState(Ballot.decode(promised), Ballot.decode(accepted), Value.decode(value))


def on_prepare(state: AcceptorState, ballot: Ballot) -> tuple[bool, AcceptorState]:
    """Return whether the ballot is promised, and the state to sync before replying.

    On a refusal the state is unchanged; its `promised` is the higher or equal ballot.
    """
    if ballot <= state.promised:
        return False, state
    return True, replace(state, promised=ballot)


def on_accept(state: AcceptorState, ballot: Ballot, value: Value) -> tuple[bool, AcceptorState]:
    """Return whether the value is accepted, and the state to sync before replying.

    The configuration version that the value names must already be synced.
    """
    if ballot < state.promised:
        return False, state
    return True, AcceptorState(ballot, ballot, value)


# Maps the current value to the wanted one; returns its argument if there is nothing to change.
Change = Callable[[Value], Value]


def put(version_id: VersionId) -> Change:
    """Return the change that sets this version if its number is above the current one."""

    def change_version(value: Value) -> Value:
        """Set the version if it is newer."""
        if version_id.number <= value.version_id.number:
            return value
        return replace(value, change=value.change + 1, version_id=version_id)

    return change_version


def set_members(members: Members) -> Change:
    """Return the change that sets this member list if it is a valid successor of the current one."""

    def change_members(value: Value) -> Value:
        """Set the member list if it is a valid successor."""
        if not _is_successor(members, value.members):
            return value
        return replace(value, change=value.change + 1, members=members)

    return change_members


def _is_successor(members: Members, current: Members) -> bool:
    """Whether `members` is the joint list that follows `current`, or completes the joint list `current`."""
    if current.former:
        return members == current.leave_joint()
    return members.number == current.number + 1 and members.former == current.seats


def unchanged(value: Value) -> Value:
    """Return the value unchanged: a linearizable read decides again what a quorum may have accepted."""
    return value


class BallotStep(IntEnum):
    """Phase of a ballot."""

    PREPARING = 0  # prepare requests go to `targets()`
    ACCEPTING = 1  # accept requests for `value` go to `targets()`
    DECIDED = 2  # `value` is decided
    LOST = 3  # preempted by the higher ballot `preempted_by`: retry above it after a backoff


@dataclass
class BallotAttempt:
    """One ballot of a proposer. `known_members`: the newest member list known to be decided."""

    ballot: Ballot
    known_members: Members
    change: Change
    step: BallotStep = BallotStep.PREPARING
    prepare_replies: dict[str, AcceptorState] = field(default_factory=dict)  # states by seat that promised
    accepted_by: set[str] = field(default_factory=set)  # seats that accepted `value`
    preempted_by: Ballot = NO_BALLOT
    base: Value | None = None  # the adopted value, to which `change` is applied
    value: Value | None = None  # the proposed value

    def required_lists(self) -> list[Members]:
        """Return the member lists of which each needs a quorum."""
        values = [value for value in (self.base, self.value) if value is not None]
        return list(dict.fromkeys([self.known_members, *(value.members for value in values)]))

    def targets(self) -> frozenset[str]:
        """Return the seats to send requests to, including those that have replied."""
        highest = self._highest_accepted()
        adopted_voters = highest.value.members.voters() if highest is not None else frozenset()
        return frozenset().union(adopted_voters, *(members.voters() for members in self.required_lists()))

    def _highest_accepted(self) -> AcceptorState | None:
        """Return the promised state with the highest accepted ballot; None without promises.

        Among states that accepted nothing, one with the initial member list wins over that of an empty disk.
        """
        states = self.prepare_replies.values()
        return max(states, key=lambda state: (state.accepted, state.value.change), default=None)

    def on_prepare_reply(self, seat: str, is_granted: bool, state: AcceptorState) -> BallotStep:
        """Process a seat's reply to the prepare request; return the phase of the ballot."""
        if self.step is not BallotStep.PREPARING:
            return self.step
        # A refusal that names this same ballot repeats a promise whose reply was lost.
        if not is_granted and state.promised != self.ballot:
            self._preempt(state.promised)
            return self.step
        self.prepare_replies[seat] = state
        highest = self._highest_accepted()
        assert highest is not None
        if self._has_prepare_quorum(highest.value.members):
            self.base = highest.value
            self.value = self.change(self.base) if self.base.members == self.known_members else self.base
            self.step = BallotStep.ACCEPTING
        return self.step

    def _has_prepare_quorum(self, adopted: Members) -> bool:
        return self.known_members.is_quorum(self.prepare_replies) and adopted.is_quorum(self.prepare_replies)

    def on_accept_reply(self, seat: str, is_accepted: bool, promised: Ballot) -> BallotStep:
        """Process a seat's reply to the accept request; return the phase of the ballot."""
        if self.step is not BallotStep.ACCEPTING:
            return self.step
        if not is_accepted:
            self._preempt(promised)
            return self.step
        self.accepted_by.add(seat)
        if all(members.is_quorum(self.accepted_by) for members in self.required_lists()):
            self.step = BallotStep.DECIDED
        return self.step

    def _preempt(self, ballot: Ballot) -> None:
        self.preempted_by = max(self.preempted_by, ballot)
        self.step = BallotStep.LOST
