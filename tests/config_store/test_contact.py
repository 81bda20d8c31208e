"""Contact against a reference written from its definition; nothing here sleeps."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.config_store.membership.contact import (
    CONTACT_LEASE_S,
    MAX_TRACKED_SEATS,
    STALL_THRESHOLD_S,
    QuorumContact,
)
from irisdeal.config_store.membership.members import Members, format_seat

SEATS = [format_seat(f"10.{number}.0.1", "d") for number in range(6)]
OWN = SEATS[0]


@dataclass
class Ask:
    """One ask of ours: when it was sent, and when it was answered, if it was."""

    seat: str
    sent: float
    answered: float | None = None


@dataclass
class Reference:
    """The definition. In contact at t: there is a moment within the lease before t, such that asks which were
    sent from then on, and since the process last stood still, were answered by t by a majority of each list,
    this one counted where it is in it."""

    asks: list[Ask] = field(default_factory=list)
    woke: float = float("-inf")

    def has_lease(self, now: float, lists: list[list[str]], lease: float) -> bool:
        moments = [now, *(ask.sent for ask in self.asks)]
        return any(now - lease <= moment <= now and self._is_enough(moment, now, lists) for moment in moments)

    def _is_enough(self, moment: float, now: float, lists: list[list[str]]) -> bool:
        good = {OWN}
        for ask in self.asks:
            if ask.answered is not None and ask.answered <= now and ask.sent >= max(moment, self.woke):
                good.add(ask.seat)
        return all(2 * sum(seat in good for seat in members) > len(members) for members in lists if members)


def lists() -> st.SearchStrategy[Members]:
    some = st.lists(st.sampled_from(SEATS), min_size=1, max_size=5, unique=True).map(tuple)
    return st.builds(Members, st.integers(0, 9), some, st.one_of(st.just(()), some))


STEP = st.one_of(
    st.tuples(st.just("pass"), st.sampled_from([0.0, 0.05, 0.35, 0.5, 1.0, 4.0, 20.0])),
    st.tuples(st.just("ask"), st.sampled_from(SEATS[1:])),
    st.tuples(st.just("answer"), st.integers(0, 30)),  # of the n-th ask, however old: links hold answers back
    st.tuples(st.just("theirs"), st.sampled_from(SEATS[1:])),  # they ask us: nothing is to follow from it
    st.tuples(st.just("list"), lists()),
    st.tuples(st.just("tick"), st.none()),
    st.tuples(st.just("clock"), st.floats(-1e6, 1e6)),  # the time of day is stepped: nobody here reads it
)


@settings(max_examples=400, deadline=None)
@given(lists(), st.lists(STEP, max_size=40))
def test_contact_is_what_its_definition_says(members: Members, steps: list[tuple[str, object]]) -> None:
    contact, reference, now, ticked = QuorumContact(), Reference(), 100.0, None
    for what, given_ in steps:
        match what:
            case "pass":
                assert isinstance(given_, float)
                now += given_
            case "ask":
                reference.asks.append(Ask(str(given_), now))
            case "answer":
                waiting = [ask for ask in reference.asks if ask.answered is None]
                if waiting:
                    assert isinstance(given_, int)
                    ask = waiting[given_ % len(waiting)]
                    ask.answered = now
                    contact.record_answer(ask.seat, ask.sent)
            case "list":
                assert isinstance(given_, Members)
                members = given_
            case "tick":
                still = ticked is not None and now - ticked >= STALL_THRESHOLD_S
                assert contact.tick(now) is still
                reference.woke, ticked = now if still else reference.woke, now
        expected = reference.has_lease(now, [list(members.seats), list(members.former)], CONTACT_LEASE_S)
        assert contact.has_lease(members, OWN, now) is expected
        assert (contact.remaining_s(members, OWN, now) > 0) <= expected
        age = contact.age_s(members, OWN, now)
        assert age >= 0
        if age < float("inf") and now - age != now:  # the age is the moment of an ask
            assert any(abs(ask.sent - (now - age)) < 1e-6 for ask in reference.asks)


THREE = Members(0, tuple(SEATS[:3]))


def test_it_counts_from_the_asking_not_from_the_answer() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)  # comes at 11.1
    assert contact.has_lease(THREE, OWN, 11.1)
    assert not contact.has_lease(THREE, OWN, 10.0 + CONTACT_LEASE_S + 0.001)


def test_an_answer_that_a_silent_link_held_back_is_as_old_as_its_ask() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    assert not contact.has_lease(THREE, OWN, 30.0)
    contact.record_answer(SEATS[2], 12.0)  # sent at 12, held back until 30
    assert not contact.has_lease(THREE, OWN, 30.0)


def test_a_machine_that_hears_nobody_while_all_hear_it_has_none() -> None:
    """One way cut: their asks reach us, our asks are not answered. `record_answer` is for answers alone."""
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    contact.record_answer(SEATS[2], 10.0)
    assert contact.remaining_s(THREE, OWN, 10.5) == pytest.approx(CONTACT_LEASE_S - 0.5)
    assert contact.age_s(THREE, OWN, 12.0) == pytest.approx(2.0)
    assert not contact.has_lease(THREE, OWN, 12.0)


def test_after_a_freeze_of_four_seconds_it_must_ask_anew() -> None:
    contact = QuorumContact()
    assert not contact.tick(10.0)
    contact.record_answer(SEATS[1], 10.0)
    assert contact.tick(14.0)
    contact.record_answer(SEATS[2], 10.1)  # asked before, read after
    assert contact.age_s(THREE, OWN, 14.0) == float("inf")
    contact.record_answer(SEATS[2], 14.0)
    assert contact.has_lease(THREE, OWN, 14.1)


def test_rounds_in_which_a_member_is_dead_are_no_freeze_and_keep_contact() -> None:
    contact, now = QuorumContact(), 10.0
    for _ in range(20):
        assert not contact.tick(now)
        contact.record_answer(
            SEATS[1], now
        )  # the third one answers nothing: the round takes 0.35 s, the pause 0.5
        for later in (0.0, 0.35, 0.85):
            assert contact.has_lease(THREE, OWN, now + later)
        now += 0.85


def test_while_a_change_of_the_list_is_under_way_both_lists_must_be_heard() -> None:
    joint = Members(1, tuple(SEATS[1:4]), tuple(SEATS[:3]))
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    assert not contact.has_lease(joint, OWN, 10.0)  # 1 of 1, 2, 3 and 2 of 0, 1, 2
    contact.record_answer(SEATS[3], 10.0)
    assert contact.has_lease(joint, OWN, 10.0)
    assert contact.has_lease(joint.leave_joint(), OWN, 10.0)
    assert not contact.has_lease(Members(2, (SEATS[4], SEATS[5])), OWN, 10.0)


def test_a_learner_counts_for_nothing_and_no_list_gives_no_contact() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[4], 10.0)
    contact.record_answer(SEATS[5], 10.0)
    assert not contact.has_lease(THREE, OWN, 10.0)
    contact.record_answer(SEATS[1], 10.0)
    assert not contact.has_lease(Members(0, tuple(SEATS[1:4])), OWN, 10.0)  # ourselves a learner: 1 of 3


EVENT = st.one_of(
    st.tuples(st.just("accept"), st.integers(0, 4)),  # a seat accepts the newest change
    st.tuples(st.just("begin"), st.just(0)),  # the next change is begun
    st.tuples(st.just("ask"), st.integers(1, 4)),
    st.tuples(st.just("answer"), st.integers(0, 9)),
    st.tuples(st.just("come"), st.integers(0, 9)),  # an answer comes here, as it was made
    st.tuples(st.just("learn"), st.just(0)),  # what is decided comes into force here
)


@settings(max_examples=400, deadline=None)
@given(st.integers(1, 5), st.lists(EVENT, max_size=60))
def test_all_that_was_decided_by_the_known_age_is_in_force(count: int, events: list[tuple[str, int]]) -> None:
    """A register from outside: seats accept each change one by one; it is decided once a majority has."""
    members = Members(0, tuple(SEATS[:count]))
    accepted, decided_at, newest, force = [0] * count, {0: 0.0}, 0, 0
    asked: list[tuple[int, float]] = []
    told: list[tuple[int, float, int]] = []  # seat, when it was asked, what it had accepted
    contact, now = QuorumContact(), 0.0
    for what, number in events:
        now += 0.1
        match what:
            case "begin" if newest in decided_at:
                newest += 1
            case "accept" if number < count:
                accepted[number] = newest
                if 2 * sum(change >= newest for change in accepted) > count:
                    decided_at.setdefault(newest, now)
            case "ask" if number < count:
                asked.append((number, now))
            case "answer" if asked:
                seat_, sent = asked.pop(number % len(asked))
                told.append((seat_, sent, accepted[seat_]))
            case "come" if told:
                seat_, sent, change = told.pop(number % len(told))
                contact.record_answer(SEATS[seat_], sent, change)
            case "learn":
                force = max(decided_at)
        age = contact.knowledge_age_s(members, OWN, now, force, accepted[0])
        assert all(change <= force for change, at in decided_at.items() if at <= now - age - 1e-9)
        if age == 0 and count > 2:
            assert any(sent == now for sent in contact.asked_at.values())


def test_a_seat_that_accepted_more_than_is_in_force_here_counts_for_contact_and_not_for_knowledge() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0, 8)
    assert contact.has_lease(THREE, OWN, 10.1)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 7, 7) == float("inf")
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 8, 7) == pytest.approx(0.1)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 8, 9) == float("inf")  # we accepted more ourselves
    contact.record_answer(SEATS[2], 9.5, 7)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 7, 7) == pytest.approx(0.6)


def test_what_is_remembered_is_bounded() -> None:
    contact = QuorumContact()
    for number in range(3 * MAX_TRACKED_SEATS):
        contact.record_answer(f"10.0.0.1/{number}", float(number))
    assert len(contact.asked_at) <= MAX_TRACKED_SEATS
