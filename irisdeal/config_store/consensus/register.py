"""The consensus register: one value, changed by ballots. No log, no leader, no input or output here.

It is single-decree Paxos used again and again on one value (CASPaxos: D. Rystsov, "CASPaxos: Replicated State
Machines without logs", 2018): a ballot first gets promises from a quorum, takes over the value of the highest
ballot that any of them accepted, changes it by a function, and gets it accepted by a quorum. A value that a
quorum accepted under one ballot is decided, and each later ballot starts from it.

Rules that must hold here:
1. An acceptor answers a prepare or an accept only after `AcceptorState` is synced.
2. It accepts a ballot that is not below the one it promised, and promises only higher ones.
3. It accepts a value only when it has the configuration version that the value names, synced.
4. A ballot's quorum is one of the member list that the proposer knew, of the list of the value that it took over
   (and of that list's former members), and, for the accept, of the list in the value that it proposes. Where the
   value that it took over has another list than the proposer knew to be decided, it is proposed unchanged: so each
   list that is proposed is a decided one, or the one after a decided one, and their quorums intersect.
5. A seat proposes each ballot once: `Ballot.count` is above all that its own disk has promised, and a new disk is a
   new seat.
6. What is applied, or read, or reported as confirmed is decided. A value is known as decided by equal accepts of a
   quorum of its own list.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.config_store.membership.members import Members

Encoded = Sequence[Any]  # fields as CBOR reads them, in the order of the wire and the disk


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposal number: ordered by its count, then by the seat that proposes."""

    count: int
    seat: str

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire and the disk."""
        return [self.count, self.seat]

    @staticmethod
    def decode(encoded: Encoded) -> Ballot:
        """Read what `encode` wrote. ValueError, TypeError, IndexError where it is something else."""
        return Ballot(int(encoded[0]), str(encoded[1]))


NO_BALLOT = Ballot(0, "")


class PutOutcome(IntEnum):
    """What became of a put. The numbers stand on the wire."""

    UNDECIDED = 0  # not known, or not decided yet: to be sent again
    DECIDED = 1  # decided, or superseded by what is decided
    CONFLICT = 2  # another configuration is decided under this number


@dataclass(frozen=True, slots=True)
class Value:
    """What the register holds. `change` rises by one with each decided change."""

    change: int
    version_id: VersionId
    members: Members

    @staticmethod
    def initial(members: Members) -> Value:
        """Return the value of a system that starts for the first time."""
        return Value(0, NO_VERSION, members)

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire and the disk."""
        return [self.change, self.version_id.number, self.version_id.digest, self.members.encode()]

    @staticmethod
    def decode(encoded: Encoded) -> Value:
        """Read what `encode` wrote. ValueError, TypeError where it is something else."""
        change, number, digest, members = encoded
        return Value(int(change), VersionId(int(number), bytes(digest)), Members.decode(members))


UNKNOWN_VALUE = Value(
    -1, NO_VERSION, Members(-1, ())
)  # of a disk that was empty: below all that may be decided


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What an acceptor has on its disk: the highest ballot promised, the one accepted last, and its value."""

    promised: Ballot
    accepted: Ballot
    value: Value

    def encode(self) -> list[object]:
        """Return the fields in the order of the wire and the disk."""
        return [self.promised.encode(), self.accepted.encode(), self.value.encode()]

    @staticmethod
    def decode(encoded: Encoded) -> AcceptorState:
        """Read what `encode` wrote. ValueError, TypeError, IndexError where it is something else."""
        promised, accepted, value, *_ = encoded
        return AcceptorState(Ballot.decode(promised), Ballot.decode(accepted), Value.decode(value))


def on_prepare(state: AcceptorState, ballot: Ballot) -> tuple[bool, AcceptorState]:
    """Return whether the ballot is promised, and the state to be synced before the answer.

    Where it is refused the state is the one before, whose `promised` is the higher ballot.
    """
    if ballot <= state.promised:
        return False, state
    return True, replace(state, promised=ballot)


def on_accept(state: AcceptorState, ballot: Ballot, value: Value) -> tuple[bool, AcceptorState]:
    """Return whether the value is accepted, and the state to be synced before the answer.

    The configuration version that the value names must be synced before.
    """
    if ballot < state.promised:
        return False, state
    return True, AcceptorState(ballot, ballot, value)


Change = Callable[
    [Value], Value
]  # from the current value to the wanted one; itself where nothing is to change


def put(version_id: VersionId) -> Change:
    """Return the change to this version, where its number is above the current one; else nothing changes."""

    def change_version(value: Value) -> Value:
        """Replace the version by the newer one."""
        if version_id.number <= value.version_id.number:
            return value
        return replace(value, change=value.change + 1, version_id=version_id)

    return change_version


def set_members(members: Members) -> Change:
    """Return the change to this member list, where it follows the current one; else nothing changes."""

    def change_members(value: Value) -> Value:
        """Replace the member list by the next one."""
        if not _follows(members, value.members):
            return value
        return replace(value, change=value.change + 1, members=members)

    return change_members


def _follows(members: Members, current: Members) -> bool:
    """Whether `members` is the joint list after `current`, or the end of the joint list `current`."""
    if current.former:
        return members == current.leave_joint()
    return members.number == current.number + 1 and members.former == current.seats


def unchanged(value: Value) -> Value:
    """No change: what a quorum may have accepted is decided again, for a linearizable read."""
    return value


class BallotStep(IntEnum):
    """Where a ballot stands."""

    PREPARING = 0  # ask `targets()` for a promise
    ACCEPTING = 1  # ask `targets()` to accept `value`
    DECIDED = 2  # `value` is decided
    LOST = 3  # a higher ballot, `preempted_by`, was observed: start again above it, after a pause


@dataclass
class BallotAttempt:
    """One ballot of a proposer. `known_members`: the newest member list that it knows to be decided."""

    ballot: Ballot
    known_members: Members
    change: Change
    step: BallotStep = BallotStep.PREPARING
    prepare_replies: dict[str, AcceptorState] = field(default_factory=dict)  # of seats that promised
    accepted_by: set[str] = field(default_factory=set)  # seats
    preempted_by: Ballot = NO_BALLOT
    base: Value | None = None  # what was taken over
    value: Value | None = None  # what is proposed

    def required_lists(self) -> list[Members]:
        """Return the member lists each of which must have its quorum."""
        values = [value for value in (self.base, self.value) if value is not None]
        return list(dict.fromkeys([self.known_members, *(value.members for value in values)]))

    def targets(self) -> frozenset[str]:
        """Return the seats to be asked, also those that have answered."""
        newest = self._highest_accepted()
        more = newest.value.members.voters() if newest is not None else frozenset()
        return frozenset().union(more, *(members.voters() for members in self.required_lists()))

    def _highest_accepted(self) -> AcceptorState | None:
        """Of states that accepted nothing, one that knows the first list precedes one that knows none."""
        states = self.prepare_replies.values()
        return max(states, key=lambda state: (state.accepted, state.value.change), default=None)

    def on_prepare_reply(self, seat: str, is_granted: bool, state: AcceptorState) -> BallotStep:
        """Take a seat's answer to the prepare of this ballot; return where the ballot stands."""
        if self.step is not BallotStep.PREPARING:
            return self.step
        # A refusal that names this very ballot repeats a promise whose answer was lost.
        if not is_granted and state.promised != self.ballot:
            self._lose(state.promised)
            return self.step
        self.prepare_replies[seat] = state
        highest = self._highest_accepted()
        assert highest is not None
        if self._has_prepare_quorum(highest.value.members):
            self.base = highest.value
            self.value = self.change(self.base) if self.base.members == self.known_members else self.base
            self.step = BallotStep.ACCEPTING
        return self.step

    def _has_prepare_quorum(self, taken_over: Members) -> bool:
        return self.known_members.is_quorum(self.prepare_replies) and taken_over.is_quorum(
            self.prepare_replies
        )

    def on_accept_reply(self, seat: str, is_accepted: bool, promised: Ballot) -> BallotStep:
        """Take a seat's answer to the accept of this ballot; return where the ballot stands."""
        if self.step is not BallotStep.ACCEPTING:
            return self.step
        if not is_accepted:
            self._lose(promised)
            return self.step
        self.accepted_by.add(seat)
        if all(members.is_quorum(self.accepted_by) for members in self.required_lists()):
            self.step = BallotStep.DECIDED
        return self.step

    def _lose(self, to: Ballot) -> None:
        self.preempted_by = max(self.preempted_by, to)
        self.step = BallotStep.LOST
