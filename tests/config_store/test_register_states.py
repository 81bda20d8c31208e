"""Exhaustive search of the register's states within bounds; with planted bugs the search must find a
violation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest

from benchmarks.register_states import PLANS, THREE, A, B, propose_versions, search
from irisdeal.config_store.consensus import register
from irisdeal.config_store.consensus.register import AcceptorState, Ballot, BallotStep, Value
from irisdeal.config_store.membership import decided_value
from irisdeal.config_store.membership.members import Members, majority
from irisdeal.config_store.membership.messages import ReplicaStatus

ONE_READ = {"ballots": (1, 1), "reads": 1}
MAX_STATES = 12_000  # of each plan in this test; `python -m benchmarks.register_states` searches millions


@pytest.mark.parametrize("name", PLANS)
def test_no_state_within_the_bound_violates_an_invariant(name: str) -> None:
    found = search(name, MAX_STATES)
    print(
        f"{name}: {found.state_count} states, {max(found.states_by_depth)} steps deep, "
        f"complete: {found.is_complete}"
    )
    assert not found.violation, (found.violation, found.trace)
    assert found.state_count > MAX_STATES / 4


def test_all_states_with_one_ballot_for_each_proposer() -> None:
    found = search("two bodies under one number", ballots=(1, 1))
    print(f"one ballot each: {found.state_count} states, {max(found.states_by_depth)} steps deep")
    assert found.is_complete and not found.violation, (found.violation, found.trace)


def _accepts_after_a_higher_promise(patch: pytest.MonkeyPatch) -> None:
    def on_accept(state: AcceptorState, ballot: Ballot, value: Value) -> tuple[bool, AcceptorState]:
        is_granted = ballot >= state.accepted
        return is_granted, AcceptorState(max(ballot, state.promised), ballot, value) if is_granted else state

    patch.setattr(register, "on_accept", on_accept)


def _promises_a_lower_ballot(patch: pytest.MonkeyPatch) -> None:
    def on_prepare(state: AcceptorState, ballot: Ballot) -> tuple[bool, AcceptorState]:
        return True, AcceptorState(ballot, state.accepted, state.value)

    patch.setattr(register, "on_prepare", on_prepare)


def _old_majority_only(patch: pytest.MonkeyPatch) -> None:
    """No joint list: a quorum of the old list decides the new one, which takes effect at once."""

    def enter_joint(self: Members, seats: Iterable[str]) -> Members:
        return Members(self.number + 1, tuple(sorted(set(seats))))

    def set_members(members: Members) -> register.Change:
        return lambda value: replace(value, change=value.change + 1, members=members)

    def on_prepare_reply(
        self: register.BallotAttempt, seat: str, is_granted: bool, state: AcceptorState
    ) -> BallotStep:
        self.prepare_replies[seat] = state
        if (
            self.step is BallotStep.PREPARING
            and is_granted
            and self.known_members.is_quorum(self.prepare_replies)
        ):
            self.base = max(
                self.prepare_replies.values(), key=lambda state: (state.accepted, state.value.change)
            ).value
            self.value, self.step = self.change(self.base), BallotStep.ACCEPTING
        return self.step

    patch.setattr(Members, "enter_joint", enter_joint)
    patch.setattr(register, "set_members", set_members)
    patch.setattr(register.BallotAttempt, "on_prepare_reply", on_prepare_reply)
    patch.setattr(register.BallotAttempt, "required_lists", lambda self: [self.known_members])


def _promises_one_ballot_twice(patch: pytest.MonkeyPatch) -> None:
    """A reused ballot gets a second quorum."""

    def on_prepare(state: AcceptorState, ballot: Ballot) -> tuple[bool, AcceptorState]:
        return (False, state) if ballot < state.promised else (True, replace(state, promised=ballot))

    patch.setattr(register, "on_prepare", on_prepare)


def _learner_counted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Members, "is_quorum", lambda self, answered: len(set(answered)) >= majority(self.seats))
    patch.setattr(Members, "voters", lambda self: frozenset({*self.seats, *self.former, "d"}))


def _own_value_first(patch: pytest.MonkeyPatch) -> None:
    """The proposer does not adopt accepted values."""
    original = register.BallotAttempt._highest_accepted

    def highest(self: register.BallotAttempt) -> AcceptorState | None:
        highest_reply = original(self)
        initial_value = Value.initial(Members(0, THREE))
        return (
            AcceptorState(highest_reply.promised, highest_reply.accepted, initial_value)
            if highest_reply is not None
            else None
        )

    patch.setattr(register.BallotAttempt, "_highest_accepted", highest)


def _reads_without_quorum_of_one_ballot(patch: pytest.MonkeyPatch) -> None:
    def value_for_read(statuses: Iterable[ReplicaStatus], known: Members) -> Value | None:
        replies = list(statuses)
        if not known.is_quorum(status.seat for status in replies):
            return None
        return max(replies, key=lambda status: status.accepted).value

    patch.setattr(decided_value, "value_for_read", value_for_read)


def _applied_before_decided(patch: pytest.MonkeyPatch) -> None:
    def decided_among(statuses: Iterable[ReplicaStatus]) -> Value | None:
        return max((status.value for status in statuses), key=lambda value: value.change, default=None)

    patch.setattr(decided_value, "decided_among", decided_among)


def _no_bug(patch: pytest.MonkeyPatch) -> None:
    pass


@pytest.mark.parametrize(
    ("plant", "plan", "changes", "violations"),
    [
        (_no_bug, "two bodies, a kill", {"skips_sync": True}, "does not take over"),
        (
            _promises_one_ballot_twice,
            "two bodies, a kill",
            {
                "reuses_ballots": True,
                "program_after_crashes": propose_versions(B),
                "programs": (propose_versions(A), propose_versions()),
            },
            "proposes two values",
        ),
        (_accepts_after_a_higher_promise, "two bodies under one number", {}, "does not take over"),
        (_promises_a_lower_ballot, "two bodies under one number", {}, "does not take over"),
        (_own_value_first, "two bodies under one number", {}, "two bodies|does not take over|change 1 is"),
        (_old_majority_only, "one in the place of another", {}, "does not take over"),
        (_learner_counted, "a fourth member", {}, "does not take over"),
        (_reads_without_quorum_of_one_ballot, "a read", ONE_READ, "a read answers|does not take over"),
        (_applied_before_decided, "a read", ONE_READ, "a read answers|does not take over"),
        (
            _no_bug,
            "an empty disk",
            {"replaced_disk": (2, 2), "programs": (propose_versions(A), propose_versions(B))},
            "does not take over",
        ),
    ],
    ids=lambda value: value.__name__ if callable(value) else None,
)
def test_a_planted_bug_is_detected(
    plant: Callable[[pytest.MonkeyPatch], Any],
    plan: str,
    changes: dict[str, Any],
    violations: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant(monkeypatch)
    found = search(plan, 60_000, **changes)
    print(f"{found.state_count} states: {found.violation}", *found.trace, sep="\n  ")
    assert any(text in found.violation for text in violations.split("|")), found.state_count
    assert found.violation


def test_the_plans_are_of_three_and_four_members() -> None:
    assert {plan.first for plan in PLANS.values()} == {3, 4}
