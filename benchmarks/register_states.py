"""Every state that a few members, proposers and ballots can reach, and the rules that hold in each.

    python -m benchmarks.register_states [--most 2000000] [NAME ...]

A breadth-first search of the real core (`irisdeal.config_store.consensus.register`, `members`, `decided_value`), no
model of it. A step is one of: a proposer begins a ballot; an acceptor gets a ballot's prepare or accept, and its
answer arrives or is lost; an accept comes late, again, or to a learner; a proposer hears what another decided; a
process is killed and loses what it had not synced; a machine's disk is lost, and an empty one with another identity
comes in its place; a read begins, asks one seat, ends. Messages that are lost for good, doubled, late or out of
order, and cuts of any one way, are all of these: no step has to come. That an answer arrives at once or never
leaves out nothing: a proposer that hears it later does what one does whose accepts are late.

Rules: (1) a ballot over one whose value was told as decided takes that one over, or one over it; (2) one body for
each number, and one value for each change, are told as decided; (3) a read answers no less than what was told as
decided before it began, and what it answers is decided from then on; (4) a ballot proposes one value.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from irisdeal.config_store.configuration.version import VersionId
from irisdeal.config_store.consensus import register
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN_VALUE,
    AcceptorState,
    Ballot,
    BallotAttempt,
    BallotStep,
    Change,
    Value,
)
from irisdeal.config_store.membership import decided_value
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus

Program = Callable[
    [Value], Change | None
]  # what a proposer wants, by what it knows as decided; None: no more
GONE = -1  # an acceptor that is not there (any more)


def propose_versions(*version_ids: VersionId) -> Program:
    """One order after the other."""

    def program(decided: Value) -> Change | None:
        waiting = [version_id for version_id in version_ids if version_id.number > decided.version_id.number]
        return register.put(waiting[0]) if waiting else None

    return program


def change_members_to(seats: tuple[str, ...]) -> Program:
    """A change of the list to these seats, and its settling."""

    def program(decided: Value) -> Change | None:
        members = decided.members
        if members.former:
            return register.set_members(members.leave_joint())
        return register.set_members(members.enter_joint(seats)) if set(members.seats) != set(seats) else None

    return program


@dataclass(frozen=True)
class SearchPlan:
    """Where a search begins and what may happen in it."""

    seats: tuple[str, ...]  # all that there may be; those after `first` come as learners
    first: int  # how many make the first list
    programs: tuple[Program, ...]  # of the proposers, which live on the first seats
    ballots: tuple[int, ...]  # how many each may begin
    crashes: int = 0
    program_after_crashes: Program | None = (
        None  # what the first proposer wants once all kills are over, where that differs
    )
    replaced_disk: tuple[int, int] | None = (
        None  # the seat whose disk is lost once, and the one that comes in its place
    )
    initial_learners: tuple[int, ...] = ()  # learners that are there from the start
    reads: int = 0  # by the last proposer's machine
    late: bool = True  # whether accepts of ballots that are over still come
    skips_sync: bool = False  # planted: answers go out before they are synced
    reuses_ballots: bool = False  # planted: a ballot is counted from where its process began


A, B, C = VersionId(1, b"a"), VersionId(1, b"b"), VersionId(2, b"c")
THREE, FOUR = ("a", "b", "c"), ("a", "b", "c", "d")
PLANS = {
    "two bodies under one number": SearchPlan(THREE, 3, (propose_versions(A), propose_versions(B)), (2, 2)),
    "two bodies, a kill": SearchPlan(THREE, 3, (propose_versions(A), propose_versions(B)), (2, 1), crashes=1),
    "four members": SearchPlan(FOUR, 4, (propose_versions(A), propose_versions(B)), (1, 2)),
    "one after the other": SearchPlan(THREE, 3, (propose_versions(A, C), propose_versions(B)), (2, 1)),
    "a fourth member": SearchPlan(
        FOUR, 3, (change_members_to(FOUR), propose_versions(A)), (2, 1), initial_learners=(3,)
    ),
    "a fourth member, knows the old list": SearchPlan(
        FOUR, 3, (change_members_to(FOUR), propose_versions(A, C)), (1, 2), initial_learners=(3,)
    ),
    "one in the place of another": SearchPlan(
        FOUR, 3, (change_members_to(("a", "b", "d")), propose_versions(A)), (2, 1), initial_learners=(3,)
    ),
    "an empty disk": SearchPlan(
        ("a", "b", "c", "c2"),
        3,
        (change_members_to(("a", "b", "c2")), propose_versions(A)),
        (2, 1),
        replaced_disk=(2, 3),
    ),
    "a read": SearchPlan(THREE, 3, (propose_versions(A), propose_versions(B)), (2, 1), reads=2),
    "a read while the list changes": SearchPlan(
        FOUR, 3, (change_members_to(FOUR), propose_versions(A)), (1, 1), initial_learners=(3,), reads=1
    ),
}


class Reading(NamedTuple):
    """A read under way."""

    least: int  # the change that was told as decided when it began
    reports: tuple[tuple[int, int], ...]  # seat, what it kept


class State(NamedTuple):
    """One state; numbers are those of `Table`."""

    now: tuple[int, ...]  # what each acceptor goes by
    synced: tuple[int, ...]  # what its disk has
    rounds: tuple[int, ...]  # of each proposer; GONE: none
    used: tuple[int, ...]  # ballots begun
    above: tuple[int, ...]  # the highest count met
    known: tuple[int, ...]  # the newest value known as decided
    proposed: frozenset[int]
    told: frozenset[int]  # proposals that were told as decided
    crashes: int
    wiped: bool
    reads: int
    reading: Reading | None


class Proposal(NamedTuple):
    ballot: Ballot
    value: Value
    base: Ballot  # whose value was taken over


class Frozen(NamedTuple):
    """A `BallotAttempt` as it stands."""

    ballot: Ballot
    known: Members
    change: int
    step: BallotStep
    promised: tuple[tuple[str, AcceptorState], ...]
    accepted: frozenset[str]
    above: Ballot
    base: Value | None
    value: Value | None


class Table:
    """Things by number, so that states are small and quick to compare."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.things: list[Any] = []

    def number(self, thing: Any) -> int:
        found = self.numbers.get(thing)
        if found is None:
            found = self.numbers[thing] = len(self.things)
            self.things.append(thing)
        return found


@dataclass
class Search:
    """One search."""

    plan: SearchPlan
    most: int = 1_000_000
    table: Table = field(default_factory=Table)
    changes: list[Change] = field(default_factory=list)
    wanted: dict[tuple[int, int, bool], int] = field(default_factory=dict)
    steps: dict[Any, Any] = field(default_factory=dict)
    states_by_depth: Counter[int] = field(default_factory=Counter)
    is_complete: bool = False
    violation: str = ""
    trace: list[str] = field(default_factory=list)

    def initial_state(self) -> State:
        """The first state."""
        plan, number = self.plan, self.table.number
        first = Value.initial(Members(0, plan.seats[: plan.first]))
        kept, empty = (
            number(AcceptorState(NO_BALLOT, NO_BALLOT, first)),
            number(AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN_VALUE)),
        )
        seats = tuple(
            kept if index < plan.first else empty if index in plan.initial_learners else GONE
            for index in range(len(plan.seats))
        )
        count = len(plan.programs)
        return State(
            seats,
            seats,
            (GONE,) * count,
            (0,) * count,
            (0,) * count,
            (number(first),) * count,
            frozenset(),
            frozenset(),
            plan.crashes,
            False,
            plan.reads,
            None,
        )

    def run(self) -> Search:
        start = self.initial_state()
        came: dict[State, tuple[State | None, str]] = {start: (None, "")}
        waiting = deque([(start, 0)])
        while waiting:
            state, depth = waiting.popleft()
            self.states_by_depth[depth] += 1
            for what, then in self.successors(state):
                if then not in came:
                    came[then] = state, what
                    waiting.append((then, depth + 1))
                if self.violation:
                    self.trace = self._way(came, then)
                    return self
            if len(came) > self.most:
                return self
        self.is_complete = True
        return self

    @property
    def state_count(self) -> int:
        return sum(self.states_by_depth.values())

    @staticmethod
    def _way(came: dict[State, tuple[State | None, str]], state: State | None) -> list[str]:
        way: list[str] = []
        while state is not None:
            state, what = came[state]
            way.append(what)
        return way[-2::-1]

    # Steps

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        for proposer in range(len(self.plan.programs)):
            yield from self._begin(state, proposer)
            yield from self._ask(state, proposer)
            yield from self._hear(state, proposer)
            if state.crashes:
                yield f"{proposer} is killed", self._killed(state, proposer)
        if self.plan.late:
            yield from self._late(state)
        if self.plan.replaced_disk is not None and not state.wiped:
            old, new = self.plan.replaced_disk
            empty = self.table.number(AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN_VALUE))
            seats = _set(_set(state.now, old, GONE), new, empty)
            yield f"the disk of {old} is lost", state._replace(now=seats, synced=seats, wiped=True)
        yield from self._read(state)

    def _begin(self, state: State, proposer: int) -> Iterator[tuple[str, State]]:
        if state.used[proposer] >= self.plan.ballots[proposer] or state.rounds[proposer] != GONE:
            return
        change = self._change(proposer, state.known[proposer], not state.crashes)
        if change is None:
            return
        things, seat = self.table.things, self.plan.seats[proposer]
        kept: AcceptorState = things[state.now[proposer]]
        known: Value = things[state.known[proposer]]
        if self.plan.reuses_ballots:
            ballot = Ballot(state.above[proposer] + 1, seat)
        else:
            ballot = Ballot(max(kept.promised.count, state.above[proposer]) + 1, seat)
        fresh = Frozen(
            ballot, known.members, change, BallotStep.PREPARING, (), frozenset(), NO_BALLOT, None, None
        )
        state = state._replace(
            used=_set(state.used, proposer, state.used[proposer] + 1),
            above=_set(state.above, proposer, ballot.count),
            rounds=_set(state.rounds, proposer, self.table.number(fresh)),
        )
        if not self.plan.reuses_ballots:  # the own promise is synced before anyone is asked
            state = self._prepare(state, proposer, proposer, True)
        yield f"{proposer} begins {ballot.count}", state

    def _change(self, proposer: int, known: int, over: bool) -> int | None:
        key = proposer, known, over
        if key not in self.wanted:
            again = self.plan.program_after_crashes if over and not proposer else None
            change = (again or self.plan.programs[proposer])(self.table.things[known])
            if change is not None:
                self.changes.append(change)
            self.wanted[key] = len(self.changes) - 1 if change is not None else GONE
        return self.wanted[key] if self.wanted[key] != GONE else None

    def _ask(self, state: State, proposer: int) -> Iterator[tuple[str, State]]:
        number = state.rounds[proposer]
        if number == GONE:
            return
        frozen: Frozen = self.table.things[number]
        for seat in self._targets(number):
            if state.now[seat] == GONE:
                continue
            if frozen.step is BallotStep.PREPARING:
                yield f"{seat} hears {proposer}'s prepare", self._prepare(state, proposer, seat, True)
                yield (
                    f"{seat} hears {proposer}'s prepare, answer lost",
                    self._prepare(state, proposer, seat, False),
                )
            elif frozen.step is BallotStep.ACCEPTING:
                yield f"{seat} hears {proposer}'s accept", self._accept(state, proposer, seat)
        if frozen.step in (BallotStep.LOST, BallotStep.DECIDED):
            yield f"{proposer} is done", state._replace(rounds=_set(state.rounds, proposer, GONE))

    def _targets(self, number: int) -> list[int]:
        key = "targets", number
        if key not in self.steps:
            targets = self._thaw(self.table.things[number]).targets()
            self.steps[key] = [index for index, seat in enumerate(self.plan.seats) if seat in targets]
        found: list[int] = self.steps[key]
        return found

    def _prepare(self, state: State, proposer: int, seat: int, arrives: bool) -> State:
        number = state.rounds[proposer]
        key = "prepare", number, state.now[seat]
        if key not in self.steps:
            frozen, kept = self.table.things[number], self.table.things[state.now[seat]]
            good, then = register.on_prepare(kept, frozen.ballot)
            self.steps[key] = good, self.table.number(then)
        good, then = self.steps[key]
        state = self._write(state, seat, then)
        return self._answered(state, proposer, ("promise", seat, good, then)) if arrives else state

    def _accept(self, state: State, proposer: int, seat: int) -> State:
        frozen: Frozen = self.table.things[state.rounds[proposer]]
        good, then = self._accepts(state.now[seat], frozen.ballot, frozen.value)
        promised = self.table.number(self.table.things[then].promised)
        return self._answered(self._write(state, seat, then), proposer, ("accept", seat, good, promised))

    def _accepts(self, kept: int, ballot: Ballot, value: Value | None) -> tuple[bool, int]:
        assert value is not None
        good, then = register.on_accept(self.table.things[kept], ballot, value)
        return good, self.table.number(then)

    def _late(self, state: State) -> Iterator[tuple[str, State]]:
        """An accept whose answer arrives nowhere: late, doubled, or told on to whoever lags."""
        for number in state.proposed:
            proposal: Proposal = self.table.things[number]
            for seat, kept in enumerate(state.now):
                is_member = self.plan.seats[seat] in proposal.value.members.voters()
                if kept == GONE or not (is_member or number in state.told):
                    continue
                key = "late", kept, number
                if key not in self.steps:
                    self.steps[key] = self._accepts(kept, proposal.ballot, proposal.value)
                good, then = self.steps[key]
                if good and then != kept:
                    yield f"{seat} hears {proposal.ballot.encode()} late", self._write(state, seat, then)

    def _write(self, state: State, seat: int, kept: int) -> State:
        if state.now[seat] == kept:
            return state
        state = state._replace(now=_set(state.now, seat, kept))
        if self.plan.skips_sync and self.table.things[kept].accepted != self.table.things[kept].promised:
            return state  # only the promise is not synced
        return state._replace(synced=_set(state.synced, seat, kept))

    def _answered(self, state: State, proposer: int, answer: tuple[str, int, bool, int]) -> State:
        number = state.rounds[proposer]
        key = number, answer
        if key not in self.steps:
            self.steps[key] = self._step(self.table.things[number], answer)
        then, proposal, decided = self.steps[key]
        state = state._replace(rounds=_set(state.rounds, proposer, then))
        after: Frozen = self.table.things[then]
        if after.step is BallotStep.LOST:
            state = state._replace(
                above=_set(state.above, proposer, max(state.above[proposer], after.above.count))
            )
        if proposal is not None:
            state = self._propose(state, proposal)
        if decided is not None:
            found = next(n for n in state.proposed if self.table.things[n][:2] == (after.ballot, after.value))
            state = self._tell(state, found)
            state = state._replace(known=_set(state.known, proposer, decided))
        return state

    def _step(self, frozen: Frozen, answer: tuple[str, int, bool, int]) -> tuple[int, int | None, int | None]:
        kind, seat, good, thing = answer
        ballot = self._thaw(frozen)
        before = ballot.step
        for _ in range(2):  # each answer comes twice
            if kind == "promise" and before is BallotStep.PREPARING:
                ballot.on_prepare_reply(self.plan.seats[seat], good, self.table.things[thing])
            elif kind == "accept":
                ballot.on_accept_reply(self.plan.seats[seat], good, self.table.things[thing])
        made = Frozen(
            ballot.ballot,
            ballot.known_members,
            frozen.change,
            ballot.step,
            tuple(sorted(ballot.prepare_replies.items(), key=lambda item: item[0])),
            frozenset(ballot.accepted_by),
            ballot.preempted_by,
            ballot.base,
            ballot.value,
        )
        proposal = decided = None
        if before is BallotStep.PREPARING and ballot.step is BallotStep.ACCEPTING:
            base = max(kept.accepted for kept in ballot.prepare_replies.values())
            proposal = self.table.number(Proposal(ballot.ballot, ballot.value, base))  # type: ignore[arg-type]
        if before is BallotStep.ACCEPTING and ballot.step is BallotStep.DECIDED:
            decided = self.table.number(ballot.value)
        if ballot.step is not BallotStep.PREPARING:  # what was promised is looked at no more
            made = made._replace(promised=())
        return self.table.number(made), proposal, decided

    def _thaw(self, frozen: Frozen) -> BallotAttempt:
        return BallotAttempt(
            frozen.ballot,
            frozen.known,
            self.changes[frozen.change],
            frozen.step,
            dict(frozen.promised),
            set(frozen.accepted),
            frozen.above,
            frozen.base,
            frozen.value,
        )

    def _hear(self, state: State, proposer: int) -> Iterator[tuple[str, State]]:
        known: Value = self.table.things[state.known[proposer]]
        for number in state.told:
            value: Value = self.table.things[number].value
            if value.change > known.change:
                yield (
                    f"{proposer} hears that {value.change} is decided",
                    state._replace(known=_set(state.known, proposer, self.table.number(value))),
                )

    def _killed(self, state: State, proposer: int) -> State:
        """It comes back with what its disk has, and with the first list as all that it knows to be decided."""
        first = self.table.number(Value.initial(Members(0, self.plan.seats[: self.plan.first])))
        return state._replace(
            now=_set(state.now, proposer, state.synced[proposer]),
            rounds=_set(state.rounds, proposer, GONE),
            known=_set(state.known, proposer, first),
            above=_set(state.above, proposer, 0),
            crashes=state.crashes - 1,
        )

    def _read(self, state: State) -> Iterator[tuple[str, State]]:
        reading = state.reading
        if reading is None:
            if state.reads:
                least = max((self.table.things[n].value.change for n in state.told), default=-1)
                yield "a read begins", state._replace(reads=state.reads - 1, reading=Reading(least, ()))
            return
        asked = dict(reading.reports)
        for seat, kept in enumerate(state.now):
            if kept != GONE and seat not in asked:
                reports = tuple(sorted({**asked, seat: kept}.items()))
                yield f"{seat} is read", state._replace(reading=reading._replace(reports=reports))
        key = "read", reading.reports, state.known[-1]
        if key not in self.steps:
            heard = [self._report(seat, kept) for seat, kept in reading.reports]
            known: Value = self.table.things[state.known[-1]]
            value = decided_value.value_for_read(heard, known.members) if heard else None
            highest = max((one.accepted for one in heard), default=NO_BALLOT)
            self.steps[key] = value, highest
        value, highest = self.steps[key]
        if value is None:
            return
        if value.change < reading.least:
            self.violation = f"a read answers {value.encode()} after change {reading.least} was decided"
        state = state._replace(reading=None)
        found = [n for n in state.proposed if self.table.things[n][:2] == (highest, value)]
        yield f"the read answers {value.change}", self._tell(state, found[0]) if found else state

    def _report(self, seat: int, kept: int) -> ReplicaStatus:
        has: AcceptorState = self.table.things[kept]
        return ReplicaStatus(self.plan.seats[seat], "", has.accepted, has.value, has.value, True)

    # Rules

    def _propose(self, state: State, number: int) -> State:
        new: Proposal = self.table.things[number]
        for told in state.told:
            self._takes_over(self.table.things[told], new)
        for other in state.proposed:
            if self.table.things[other].ballot == new.ballot and self.table.things[other].value != new.value:
                self.violation = f"{new.ballot.encode()} proposes two values"
        return state._replace(proposed=state.proposed | {number})

    def _tell(self, state: State, number: int) -> State:
        """This proposal was told as decided."""
        new: Proposal = self.table.things[number]
        for other in state.proposed:
            self._takes_over(new, self.table.things[other])
        for other in state.told:
            old: Proposal = self.table.things[other]
            if old.value.change == new.value.change and old.value != new.value:
                self.violation = f"change {new.value.change} is {old.value.encode()} and {new.value.encode()}"
            if (
                old.value.version_id.number == new.value.version_id.number
                and old.value.version_id != new.value.version_id
            ):
                self.violation = f"number {new.value.version_id.number} has two bodies"
        return state._replace(told=state.told | {number})

    def _takes_over(self, told: Proposal, other: Proposal) -> None:
        if other.ballot > told.ballot and other.base < told.ballot:
            self.violation = (
                f"{other.ballot.encode()} does not take over {told.ballot.encode()}, which was decided"
            )


def _set(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def search(name: str, most: int = 1_000_000, **changes: Any) -> Search:
    """Search one of `PLANS`, with so much of it changed."""
    return Search(replace(PLANS[name], **changes), most).run()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=list(PLANS))
    parser.add_argument("--most", type=int, default=2_000_000, help="states of each search")
    parser.add_argument("--more", type=int, default=0, help="ballots more for each proposer")
    given = parser.parse_args()
    broken = False
    for name in given.names:
        begun = time.monotonic()
        ballots = tuple(count + given.more for count in PLANS[name].ballots)
        found = search(name, given.most, ballots=ballots)
        broken |= bool(found.violation)
        print(
            f"{name}: {found.state_count} states, {max(found.states_by_depth)} steps deep, "
            f"{'all' if found.is_complete else 'not all'}, {time.monotonic() - begun:.1f} s"
            f"{' BROKEN: ' + found.violation if found.violation else ''}",
            *found.trace,
            sep="\n  ",
            flush=True,
        )
    return int(broken)


if __name__ == "__main__":
    raise SystemExit(main())
