"""The counting argument of lists and ballots, by a solver: nothing breaks it, and wrong rules are found.

`z3` looks for a counterexample among all lists, quorums and ballots within the bounds named; `unsat` says
that there is none. First two lists of any size up to 9 and one change; then whole histories of ballots, with
proposers that know an old list, as `register.BallotAttempt` counts them.
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

LARGEST = 9  # members of a list
Bits = list[z3.BoolRef]  # a set of seats
Lists = tuple[Bits, Bits]  # as `Members`: seats, former (empty where settled)


def bits(name: str, seats: int) -> Bits:
    return [z3.Bool(f"{name}.{number}") for number in range(seats)]


def majority(heard: Bits, seats: Bits) -> z3.BoolRef:
    """2 |heard & seats| > |seats|."""
    both = [(z3.And(here, there), 2) for here, there in zip(heard, seats, strict=True)]
    return z3.PbGe([*both, *((z3.Not(there), 1) for there in seats)], len(seats) + 1)


def quorum(heard: Bits, lists: Lists) -> z3.BoolRef:
    """As `Members.is_quorum`."""
    seats, former = lists
    return z3.And(majority(heard, seats), z3.Or(z3.Not(z3.Or(former)), majority(heard, former)))


def equal(one: Bits, other: Bits) -> z3.BoolRef:
    return z3.And([here == there for here, there in zip(one, other, strict=True)])


def meet(one: Bits, other: Bits) -> z3.BoolRef:
    return z3.Or([z3.And(here, there) for here, there in zip(one, other, strict=True)])


def found(*claims: z3.BoolRef) -> bool:
    """Whether all of these can be at once."""
    solver = z3.Solver()
    solver.set("timeout", 120_000)  # ms; some seconds are enough
    solver.add(*claims)
    answer = solver.check()
    assert answer != z3.unknown, solver.reason_unknown()
    return bool(answer == z3.sat)


def test_what_the_solver_counts_is_what_members_count() -> None:
    names = "abc"
    sets = [[bool(number >> place & 1) for place in range(3)] for number in range(8)]
    for heard, seats, former in product(sets, sets, sets):
        if any(seats):
            told = [[z3.BoolVal(bit) for bit in one] for one in (heard, seats, former)]
            here = z3.is_true(z3.simplify(quorum(told[0], (told[1], told[2]))))
            members = Members(
                1,
                *(
                    tuple(name for name, bit in zip(names, one, strict=True) if bit)
                    for one in (seats, former)
                ),
            )
            assert here == members.is_quorum(name for name, bit in zip(names, heard, strict=True) if bit)


# Two lists of any size up to 9


@dataclass(frozen=True)
class Change:
    """One change of any list into any other, both among ten seats; who decided it, and a later quorum."""

    old: Bits
    new: Bits
    deciders: Bits
    later: Bits

    @staticmethod
    def any() -> tuple[Change, list[z3.BoolRef]]:
        change = Change(*(bits(name, LARGEST + 1) for name in ("old", "new", "deciders", "later")))
        sizes = [
            claim
            for one in (change.old, change.new)
            for claim in (z3.Or(one), z3.PbLe([(bit, 1) for bit in one], LARGEST))
        ]
        return change, sizes

    def quorums(self) -> dict[str, z3.BoolRef]:
        """A later one of the old list, the joint, the new."""
        return {
            "old": majority(self.later, self.old),
            "new": majority(self.later, self.new),
            "joint": z3.And(majority(self.later, self.old), majority(self.later, self.new)),
        }


@pytest.mark.parametrize("which", ["old", "joint", "new"])
def test_every_later_quorum_meets_those_that_decided_a_joint_change(which: str) -> None:
    change, sizes = Change.any()
    joint = quorum(change.deciders, (change.new, change.old))
    assert not found(*sizes, joint, change.quorums()[which], z3.Not(meet(change.deciders, change.later)))


def test_a_change_by_the_old_majority_alone_is_found() -> None:
    change, sizes = Change.any()
    assert found(
        *sizes,
        majority(change.deciders, change.old),
        change.quorums()["new"],
        z3.Not(meet(change.deciders, change.later)),
    )


def test_a_change_by_the_new_majority_alone_is_found() -> None:
    change, sizes = Change.any()
    assert found(
        *sizes,
        majority(change.deciders, change.new),
        change.quorums()["old"],
        z3.Not(meet(change.deciders, change.later)),
    )


def test_a_wiped_seat_never_counts() -> None:
    """A lost disk's machine is another seat; the old one answers no more: whom a quorum meets holds."""
    change, sizes = Change.any()
    wiped = bits("wiped", LARGEST + 1)
    holders = [z3.And(here, z3.Not(lost)) for here, lost in zip(change.deciders, wiped, strict=True)]
    lost_all = z3.Not(meet(holders, change.later))
    rules = [*sizes, majority(change.deciders, change.old), change.quorums()["old"], lost_all]
    assert not found(*rules, z3.Not(meet(wiped, change.later)))
    assert found(*rules)  # planted: a wiped disk answers as the seat that it was


def test_a_learner_that_counts_is_found() -> None:
    change, sizes = Change.any()
    learners = bits("learners", LARGEST + 1)
    rules = [
        *sizes,
        majority(change.deciders, change.old),
        z3.Not(meet(change.deciders, change.later)),
        z3.Not(meet(learners, change.old)),
    ]
    either = [z3.Or(here, there) for here, there in zip(change.old, learners, strict=True)]
    in_list = z3.PbLe([(bit, -1) for bit in change.old], 0)
    enough = z3.PbGe(
        [
            *((z3.And(here, there), 2) for here, there in zip(change.later, either, strict=True)),
            *((z3.Not(bit), 1) for bit in change.old),
        ],
        LARGEST + 2,
    )
    assert found(*rules, in_list, enough)  # as many answers as a majority, whoever gives them


# Histories of ballots


@dataclass
class Ballots:
    """Each ballot in a history: what its proposer knew, took over, proposed, and who promised and accepted.

    Ballot 0 is the first list, which all hold. A ballot takes over the highest below it that one of its
    promises had accepted: who promised a ballot accepts no lower one afterwards, so that is every lower one
    that it ever accepts. A proposer knows the list of any decided ballot below its own, however old.
    """

    seats: int
    count: int
    finishes: bool = True  # a list that is not the one known is finished as it is (register.py, rule 4)
    by_known: bool = False  # planted: a ballot counts by the list that its proposer knows, alone
    base_alone: bool = False  # planted: promises by the known list alone

    def breach(self) -> list[z3.BoolRef]:
        """Claims that say: all is by the rules, and a ballot takes over less than what was decided before."""
        claims: list[z3.BoolRef] = []
        nobody = [z3.BoolVal(False)] * self.seats
        lists: list[Lists] = [(bits("first", self.seats), nobody)]
        claims.append(z3.Or(lists[0][0]))
        decided, accepted, lost = [z3.BoolVal(True)], [nobody], []
        for ballot in range(1, self.count + 1):
            promised, takes = bits(f"promised{ballot}", self.seats), bits(f"accepted{ballot}", self.seats)
            known, base, proposed = (
                (bits(f"{name}{ballot}", self.seats), bits(f"{name}-former{ballot}", self.seats))
                for name in ("known", "base", "proposed")
            )
            whose = bits(f"whose{ballot}", ballot)
            claims.append(z3.Or(whose))
            seen = [z3.BoolVal(True), *(meet(promised, accepted[lower]) for lower in range(1, ballot))]
            is_base = [z3.And(seen[lower], *map(z3.Not, seen[lower + 1 :])) for lower in range(ballot)]
            for lower in range(ballot):
                claims.append(z3.Implies(whose[lower], z3.And(decided[lower], _same(known, lists[lower]))))
                claims.append(z3.Implies(is_base[lower], _same(base, lists[lower])))
            reached = z3.Bool(f"reached{ballot}")
            enough = (
                quorum(promised, known)
                if self.by_known or self.base_alone
                else z3.And(quorum(promised, known), quorum(promised, base))
            )
            claims += [
                z3.Implies(reached, enough),
                *(z3.Implies(bit, reached) for bit in takes),
                self._proposal(known, base, proposed),
            ]
            decided.append(z3.And(reached, quorum(takes, known if self.by_known else proposed)))
            lost += [z3.And(decided[lower], reached, z3.Or(is_base[:lower])) for lower in range(1, ballot)]
            lists.append(proposed)
            accepted.append(takes)
        return [*claims, z3.Or(lost)]

    def _proposal(self, known: Lists, base: Lists, proposed: Lists) -> z3.BoolRef:
        """The same list, the next one joint with it, or the settled one."""
        may_change = _same(known, base) if self.finishes else z3.BoolVal(True)
        under_way = z3.Or(base[1])
        joint = z3.And(may_change, z3.Not(under_way), z3.Or(proposed[0]), equal(proposed[1], base[0]))
        settled = z3.And(may_change, under_way, z3.Not(z3.Or(proposed[1])), equal(proposed[0], base[0]))
        return z3.Or(_same(proposed, base), joint, settled)


def _same(one: Lists, other: Lists) -> z3.BoolRef:
    return z3.And(equal(one[0], other[0]), equal(one[1], other[1]))


@pytest.mark.parametrize(("seats", "count"), [(3, 6), (4, 5)])
def test_no_ballot_takes_over_less_than_what_is_decided(seats: int, count: int) -> None:
    """Any lists and changes of them, proposers that know any old list. Decided: a quorum of its own list."""
    assert not found(*Ballots(seats, count).breach())


@pytest.mark.parametrize(
    ("planted", "seats", "count"),
    [({"by_known": True}, 4, 4), ({"base_alone": True}, 4, 5), ({"finishes": False}, 4, 5)],
)
def test_wrong_rules_of_ballots_are_found(planted: dict[str, bool], seats: int, count: int) -> None:
    assert found(*Ballots(seats, count, **planted).breach())


LISTS = [
    Members(0, ("a", "b", "c")),
    Members(1, ("b", "c", "d"), ("a", "b", "c")),
    Members(1, ("b", "c", "d")),
    Members(2, ("b", "d"), ("b", "c", "d")),
]
NEXT = set_members(LISTS[1])


@pytest.mark.parametrize(
    ("known", "newer"), [(known, newer) for newer in LISTS for known in LISTS if known.number <= newer.number]
)
def test_a_round_counts_as_these_histories_do(known: Members, newer: Members) -> None:
    """Whoever promises, in whatever order, and whoever of them accepted the newer list."""
    old, accepted = Value(0, NO_VERSION, LISTS[0]), Value(3, NO_VERSION, newer)
    for order in permutations("abcd"):
        for takers in ("", "b", "cd"):
            ballot, heard = BallotAttempt(Ballot(9, "a"), known, NEXT), set[str]()
            for name in order:
                kept = (
                    AcceptorState(Ballot(9, "a"), Ballot(5, "b"), accepted)
                    if name in takers
                    else AcceptorState(Ballot(9, "a"), NO_BALLOT, old)
                )
                heard.add(name)
                base = accepted if heard & set(takers) else old
                step = ballot.on_prepare_reply(name, True, kept)
                enough = known.is_quorum(heard) and base.members.is_quorum(heard)
                assert (step is BallotStep.ACCEPTING) is enough
                if enough:
                    assert ballot.base == base
                    assert ballot.value == (NEXT(base) if base.members == known else base)
                    break
