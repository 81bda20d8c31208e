"""Quorum intersection of member lists and ballots, checked with a solver; wrong rules must be detected.

`z3` searches for a counterexample among all lists, quorums and ballots within the given bounds; `unsat` means
that there is none. The first part covers one change between two lists of up to 9 members; the second covers
histories of ballots with proposers that have an outdated list, with the quorums of `register.BallotAttempt`.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import permutations, product

import pytest
import z3

from irisdeal.config_store.configuration.version import NO_VERSION
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    AcceptorState,
    Ballot,
    BallotAttempt,
    BallotStep,
    Value,
    set_members,
)
from irisdeal.config_store.membership.members import Members

MAX_MEMBERS = 9  # of a list
Bits = list[z3.BoolRef]  # a set of seats
Lists = tuple[Bits, Bits]  # as in `Members`: seats, former (empty without a change in progress)


def bits(name: str, seats: int) -> Bits:
    return [z3.Bool(f"{name}.{number}") for number in range(seats)]


def majority(replied: Bits, seats: Bits) -> z3.BoolRef:
    """2 |replied & seats| > |seats|."""
    both = [(z3.And(in_replied, in_seats), 2) for in_replied, in_seats in zip(replied, seats, strict=True)]
    return z3.PbGe([*both, *((z3.Not(in_seats), 1) for in_seats in seats)], len(seats) + 1)


def quorum(replied: Bits, lists: Lists) -> z3.BoolRef:
    """The condition of `Members.is_quorum`."""
    seats, former = lists
    return z3.And(majority(replied, seats), z3.Or(z3.Not(z3.Or(former)), majority(replied, former)))


def equal(left: Bits, right: Bits) -> z3.BoolRef:
    return z3.And([in_left == in_right for in_left, in_right in zip(left, right, strict=True)])


def intersect(left: Bits, right: Bits) -> z3.BoolRef:
    return z3.Or([z3.And(in_left, in_right) for in_left, in_right in zip(left, right, strict=True)])


def satisfiable(*claims: z3.BoolRef) -> bool:
    """Whether all claims can hold at once."""
    solver = z3.Solver()
    solver.set("timeout", 120_000)  # ms; a few seconds are enough
    solver.add(*claims)
    result = solver.check()
    assert result != z3.unknown, solver.reason_unknown()
    return bool(result == z3.sat)


def test_the_solver_counts_quorums_like_members() -> None:
    names = "abc"
    sets = [[bool(number >> place & 1) for place in range(3)] for number in range(8)]
    for replied, seats, former in product(sets, sets, sets):
        if any(seats):
            values = [[z3.BoolVal(bit) for bit in bits_] for bits_ in (replied, seats, former)]
            is_quorum = z3.is_true(z3.simplify(quorum(values[0], (values[1], values[2]))))
            members = Members(
                1,
                *(
                    tuple(name for name, bit in zip(names, bits_, strict=True) if bit)
                    for bits_ in (seats, former)
                ),
            )
            assert is_quorum == members.is_quorum(
                name for name, bit in zip(names, replied, strict=True) if bit
            )


# Two lists of any size up to 9


@dataclass(frozen=True)
class Change:
    """One change between any two lists of ten seats: the seats that decided it, and a later quorum."""

    old: Bits
    new: Bits
    deciders: Bits
    later: Bits

    @staticmethod
    def any() -> tuple[Change, list[z3.BoolRef]]:
        change = Change(*(bits(name, MAX_MEMBERS + 1) for name in ("old", "new", "deciders", "later")))
        sizes = [
            claim
            for one in (change.old, change.new)
            for claim in (z3.Or(one), z3.PbLe([(bit, 1) for bit in one], MAX_MEMBERS))
        ]
        return change, sizes

    def quorums(self) -> dict[str, z3.BoolRef]:
        """Return the conditions for a later quorum of the old, the joint and the new list."""
        return {
            "old": majority(self.later, self.old),
            "new": majority(self.later, self.new),
            "joint": z3.And(majority(self.later, self.old), majority(self.later, self.new)),
        }


@pytest.mark.parametrize("which", ["old", "joint", "new"])
def test_every_later_quorum_intersects_the_deciders_of_a_joint_change(which: str) -> None:
    change, sizes = Change.any()
    joint = quorum(change.deciders, (change.new, change.old))
    assert not satisfiable(
        *sizes, joint, change.quorums()[which], z3.Not(intersect(change.deciders, change.later))
    )


def test_a_change_by_the_old_majority_only_is_detected() -> None:
    change, sizes = Change.any()
    assert satisfiable(
        *sizes,
        majority(change.deciders, change.old),
        change.quorums()["new"],
        z3.Not(intersect(change.deciders, change.later)),
    )


def test_a_change_by_the_new_majority_only_is_detected() -> None:
    change, sizes = Change.any()
    assert satisfiable(
        *sizes,
        majority(change.deciders, change.new),
        change.quorums()["old"],
        z3.Not(intersect(change.deciders, change.later)),
    )


def test_a_wiped_seat_never_counts() -> None:
    """A machine with a new disk is a new seat, and the old seat no longer replies."""
    change, sizes = Change.any()
    wiped = bits("wiped", MAX_MEMBERS + 1)
    up_to_date = [z3.And(decided, z3.Not(lost)) for decided, lost in zip(change.deciders, wiped, strict=True)]
    is_lost = z3.Not(intersect(up_to_date, change.later))
    rules = [*sizes, majority(change.deciders, change.old), change.quorums()["old"], is_lost]
    assert not satisfiable(*rules, z3.Not(intersect(wiped, change.later)))
    assert satisfiable(*rules)  # planted bug: a wiped disk replies under its former seat


def test_counting_a_learner_is_detected() -> None:
    change, sizes = Change.any()
    learners = bits("learners", MAX_MEMBERS + 1)
    rules = [
        *sizes,
        majority(change.deciders, change.old),
        z3.Not(intersect(change.deciders, change.later)),
        z3.Not(intersect(learners, change.old)),
    ]
    members_or_learners = [
        z3.Or(member, learner) for member, learner in zip(change.old, learners, strict=True)
    ]
    in_list = z3.PbLe([(bit, -1) for bit in change.old], 0)
    enough = z3.PbGe(
        [
            *(
                (z3.And(replied, counted), 2)
                for replied, counted in zip(change.later, members_or_learners, strict=True)
            ),
            *((z3.Not(bit), 1) for bit in change.old),
        ],
        MAX_MEMBERS + 2,
    )
    assert satisfiable(*rules, in_list, enough)  # as many replies as a majority, including learners


# Histories of ballots


@dataclass
class Ballots:
    """A history of ballots: the known, adopted and proposed list of each, and the seats that promised and
    accepted.

    Ballot 0 is the initial list, which all seats have. A ballot adopts the highest lower ballot that a seat
    of its promises had accepted. A seat that promised a ballot accepts no lower one afterwards, so this
    covers every lower ballot that it ever accepts. The known list of a proposer is that of any lower decided
    ballot, however old.
    """

    seats: int
    count: int
    completes_lists: bool = True  # a value with another than the known list is proposed unchanged
    accepts_by_known: bool = False  # planted bug: a ballot needs a quorum of the known list only
    promises_by_known: bool = False  # planted bug: promises need a quorum of the known list only

    def violation(self) -> list[z3.BoolRef]:
        """Return claims for a history that follows the rules, in which a ballot adopts less than was
        decided.
        """
        claims: list[z3.BoolRef] = []
        no_seats = [z3.BoolVal(False)] * self.seats
        lists: list[Lists] = [(bits("first", self.seats), no_seats)]
        claims.append(z3.Or(lists[0][0]))
        decided, accepted, lost = [z3.BoolVal(True)], [no_seats], []
        for ballot in range(1, self.count + 1):
            promised, accepts = bits(f"promised{ballot}", self.seats), bits(f"accepted{ballot}", self.seats)
            known, base, proposed = (
                (bits(f"{name}{ballot}", self.seats), bits(f"{name}-former{ballot}", self.seats))
                for name in ("known", "base", "proposed")
            )
            known_from = bits(f"whose{ballot}", ballot)
            claims.append(z3.Or(known_from))
            seen = [z3.BoolVal(True), *(intersect(promised, accepted[lower]) for lower in range(1, ballot))]
            is_base = [z3.And(seen[lower], *map(z3.Not, seen[lower + 1 :])) for lower in range(ballot)]
            for lower in range(ballot):
                claims.append(
                    z3.Implies(known_from[lower], z3.And(decided[lower], _same(known, lists[lower])))
                )
                claims.append(z3.Implies(is_base[lower], _same(base, lists[lower])))
            reached = z3.Bool(f"reached{ballot}")
            has_promises = (
                quorum(promised, known)
                if self.accepts_by_known or self.promises_by_known
                else z3.And(quorum(promised, known), quorum(promised, base))
            )
            claims += [
                z3.Implies(reached, has_promises),
                *(z3.Implies(bit, reached) for bit in accepts),
                self._proposal(known, base, proposed),
            ]
            decided.append(z3.And(reached, quorum(accepts, known if self.accepts_by_known else proposed)))
            lost += [z3.And(decided[lower], reached, z3.Or(is_base[:lower])) for lower in range(1, ballot)]
            lists.append(proposed)
            accepted.append(accepts)
        return [*claims, z3.Or(lost)]

    def _proposal(self, known: Lists, base: Lists, proposed: Lists) -> z3.BoolRef:
        """The proposed list: the same list, its joint successor, or the completed joint list."""
        may_change = _same(known, base) if self.completes_lists else z3.BoolVal(True)
        is_joint = z3.Or(base[1])
        joint = z3.And(may_change, z3.Not(is_joint), z3.Or(proposed[0]), equal(proposed[1], base[0]))
        completed = z3.And(may_change, is_joint, z3.Not(z3.Or(proposed[1])), equal(proposed[0], base[0]))
        return z3.Or(_same(proposed, base), joint, completed)


def _same(left: Lists, right: Lists) -> z3.BoolRef:
    return z3.And(equal(left[0], right[0]), equal(left[1], right[1]))


@pytest.mark.parametrize(("seats", "count"), [(3, 6), (4, 5)])
def test_no_ballot_adopts_less_than_what_is_decided(seats: int, count: int) -> None:
    """Any lists and changes, with proposers that have any outdated list. Decided: by a quorum of its own
    list.
    """
    assert not satisfiable(*Ballots(seats, count).violation())


@pytest.mark.parametrize(
    ("planted", "seats", "count"),
    [
        ({"accepts_by_known": True}, 4, 4),
        ({"promises_by_known": True}, 4, 5),
        ({"completes_lists": False}, 4, 5),
    ],
)
def test_wrong_ballot_rules_are_detected(planted: dict[str, bool], seats: int, count: int) -> None:
    assert satisfiable(*Ballots(seats, count, **planted).violation())


LISTS = [
    Members(0, ("a", "b", "c")),
    Members(1, ("b", "c", "d"), ("a", "b", "c")),
    Members(1, ("b", "c", "d")),
    Members(2, ("b", "d"), ("b", "c", "d")),
]
CHANGE = set_members(LISTS[1])


@pytest.mark.parametrize(
    ("known", "newer"), [(known, newer) for newer in LISTS for known in LISTS if known.number <= newer.number]
)
def test_a_ballot_attempt_counts_quorums_like_the_model(known: Members, newer: Members) -> None:
    """All orders of promises, and all combinations of seats that accepted the newer list."""
    old, accepted = Value(0, NO_VERSION, LISTS[0]), Value(3, NO_VERSION, newer)
    for order in permutations("abcd"):
        for accepted_by in ("", "b", "cd"):
            ballot, promised_by = BallotAttempt(Ballot(9, "a"), known, CHANGE), set[str]()
            for name in order:
                state = (
                    AcceptorState(Ballot(9, "a"), Ballot(5, "b"), accepted)
                    if name in accepted_by
                    else AcceptorState(Ballot(9, "a"), NO_BALLOT, old)
                )
                promised_by.add(name)
                base = accepted if promised_by & set(accepted_by) else old
                step = ballot.on_prepare_reply(name, True, state)
                has_quorum = known.is_quorum(promised_by) and base.members.is_quorum(promised_by)
                assert (step is BallotStep.ACCEPTING) is has_quorum
                if has_quorum:
                    assert ballot.base == base
                    assert ballot.value == (CHANGE(base) if base.members == known else base)
                    break
