"""The register: one value, changed by ballots. No log, no leader, no input or output here.

It is Paxos' single decree used again and again on one value (compare-and-swap Paxos, Rystsov 2018): a ballot
first gets promises from a quorum, takes over the value of the highest ballot that any of them accepted, changes
it by a function, and gets it accepted by a quorum. A value that a quorum accepted under one ballot is decided,
and each later ballot starts from it.

Rules that must hold here:
1. An acceptor answers a promise or an accept only after `AcceptorState` is synced.
2. It accepts a ballot that is not under its promise, and promises only higher ones.
3. It accepts a value only when it holds the body that the value names, synced.
4. A ballot's quorum is one of the list that the proposer knew, of the list of the value that it took over (and
   of that one's former list), and, for the accept, of the list in the value that it proposes. Where the value
   that it took over has another list than the proposer knew to be decided, it is finished as it is: so each
   list that is proposed is a decided one, or the one after a decided one, and their quorums meet.
5. A seat proposes each ballot once: `Ballot.count` is over all that its own disk has promised, and a new disk
   is a new seat.
6. What is in force, or read, or told as confirmed is decided. A value is known as decided by equal accepts of a
   quorum of its own list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.config_store.membership.members import Members


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Ordered by its count, then by the seat that proposes."""

    count: int
    seat: str

    def encode(self) -> list[Any]:
        return [self.count, self.seat]

    @staticmethod
    def decode(told: list[Any]) -> Ballot:
        return Ballot(int(told[0]), str(told[1]))


NO_BALLOT = Ballot(0, "")


class PutOutcome(IntEnum):
    """What became of an order."""

    LATER = 0  # not known, or not yet: to be sent again
    CONFIRMED = 1  # decided, or overtaken by what is decided
    OTHER = 2  # another body is decided under this number


@dataclass(frozen=True, slots=True)
class Value:
    """What the register holds. `change` rises by one with each change that is decided: the term of all control."""

    change: int
    version_id: VersionId
    members: Members

    @staticmethod
    def first(members: Members) -> Value:
        return Value(0, NO_VERSION, members)

    def encode(self) -> list[Any]:
        return [self.change, self.version_id.number, self.version_id.digest, self.members.encode()]

    @staticmethod
    def decode(told: list[Any]) -> Value:
        change, number, digest, members = told
        return Value(int(change), VersionId(int(number), bytes(digest)), Members.decode(members))


UNKNOWN = Value(-1, NO_VERSION, Members(-1, ()))  # of a disk that came empty: under all that may be decided


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What an acceptor has on its disk."""

    promised: Ballot
    accepted: Ballot
    value: Value

    def encode(self) -> list[Any]:
        return [self.promised.encode(), self.accepted.encode(), self.value.encode()]

    @staticmethod
    def decode(told: list[Any]) -> AcceptorState:
        return AcceptorState(Ballot.decode(told[0]), Ballot.decode(told[1]), Value.decode(told[2]))


def on_prepare(kept: AcceptorState, ballot: Ballot) -> tuple[bool, AcceptorState]:
    """Whether it is promised, and what to keep, synced, before the answer; refused: `kept` tells what is higher."""
    if ballot <= kept.promised:
        return False, kept
    return True, replace(kept, promised=ballot)


def on_accept(kept: AcceptorState, ballot: Ballot, value: Value) -> tuple[bool, AcceptorState]:
    """Whether it is accepted, and what to keep, synced, before the answer. The body must be held before."""
    if ballot < kept.promised:
        return False, kept
    return True, AcceptorState(ballot, ballot, value)


Change = Callable[[Value], Value]  # the value that holds -> the one wanted; itself where nothing is to change


def put(version_id: VersionId) -> Change:
    """The operator's word under its number, where that is above the one that holds; else nothing changes."""

    def change(value: Value) -> Value:
        return (
            replace(value, change=value.change + 1, version_id=version_id)
            if version_id.number > value.version_id.number
            else value
        )

    return change


def set_members(members: Members) -> Change:
    """The next list, where it follows the one that holds; else nothing changes."""

    def change(value: Value) -> Value:
        now = value.members
        follows = (members.number == now.number + 1 and members.former == now.seats and not now.former) or (
            members == now.leave_joint() and bool(now.former)
        )
        return replace(value, change=value.change + 1, members=members) if follows else value

    return change


def same(value: Value) -> Value:
    """No change: what is there is made safe, for a read."""
    return value


class Step(IntEnum):
    """Where a ballot stands."""

    PREPARING = 0  # ask `targets()` for a promise
    ACCEPTING = 1  # ask `targets()` to accept `value`
    DECIDED = 2  # `value` is decided
    LOST = 3  # a higher ballot, `above`, was met: begin anew over it, after a pause


@dataclass
class Round:
    """One ballot of a proposer. `known`: the newest list that it knows to be decided."""

    ballot: Ballot
    known: Members
    change: Change
    step: Step = Step.PREPARING
    promised: dict[str, AcceptorState] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    above: Ballot = NO_BALLOT
    base: Value | None = None  # what was taken over
    value: Value | None = None  # what is proposed

    def lists(self) -> list[Members]:
        """Each must have its quorum."""
        values = [value for value in (self.base, self.value) if value is not None]
        return list(dict.fromkeys([self.known, *(value.members for value in values)]))

    def targets(self) -> frozenset[str]:
        """The seats to be asked, also those that have answered."""
        newest = self._highest()
        more = newest.value.members.voters() if newest is not None else frozenset()
        return frozenset().union(more, *(members.voters() for members in self.lists()))

    def _highest(self) -> AcceptorState | None:
        """Of those that accepted nothing, one that knows the first list goes before one that knows none."""
        return max(self.promised.values(), key=lambda kept: (kept.accepted, kept.value.change), default=None)

    def on_promise(self, seat: str, good: bool, kept: AcceptorState) -> Step:
        """A seat's answer to the prepare of this ballot."""
        if self.step is not Step.PREPARING:
            return self.step
        if (
            not good and kept.promised != self.ballot
        ):  # else it promised this one before: that answer was lost
            self.above, self.step = max(self.above, kept.promised), Step.LOST
            return self.step
        self.promised[seat] = kept
        highest = self._highest()
        assert highest is not None
        if self.known.is_quorum(self.promised) and highest.value.members.is_quorum(self.promised):
            self.base = highest.value
            self.value = self.change(self.base) if self.base.members == self.known else self.base
            self.step = Step.ACCEPTING
        return self.step

    def on_accept(self, seat: str, good: bool, promised: Ballot) -> Step:
        """A seat's answer to the accept of this ballot."""
        if self.step is not Step.ACCEPTING:
            return self.step
        if not good:
            self.above, self.step = max(self.above, promised), Step.LOST
            return self.step
        self.accepted.add(seat)
        if all(members.is_quorum(self.accepted) for members in self.lists()):
            self.step = Step.DECIDED
        return self.step
