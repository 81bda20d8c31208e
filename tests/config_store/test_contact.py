"""Quorum contact, compared with a reference implementation of its definition. Time is passed in, never
slept.
"""

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
class Request:
    """A status request of this process: send time, and time of the reply if there is one."""

    seat: str
    sent_at: float
    replied_at: float | None = None


@dataclass
class Reference:
    """Reference implementation of contact.

    A process is in contact at time t if there is a time within the lease before t such that requests sent
    since then, and since the last stall, were replied to by t by a majority of each list. The own seat counts
    as replied.
    """

    requests: list[Request] = field(default_factory=list)
    stall_ended_at: float = float("-inf")

    def has_lease(self, now: float, lists: list[list[str]], lease: float) -> bool:
        times = [now, *(request.sent_at for request in self.requests)]
        return any(now - lease <= since <= now and self._has_quorum(since, now, lists) for since in times)

    def _has_quorum(self, since: float, now: float, lists: list[list[str]]) -> bool:
        replied = {OWN}
        for request in self.requests:
            if (
                request.replied_at is not None
                and request.replied_at <= now
                and request.sent_at >= max(since, self.stall_ended_at)
            ):
                replied.add(request.seat)
        return all(
            2 * sum(seat in replied for seat in members) > len(members) for members in lists if members
        )


def lists() -> st.SearchStrategy[Members]:
    some = st.lists(st.sampled_from(SEATS), min_size=1, max_size=5, unique=True).map(tuple)
    return st.builds(Members, st.integers(0, 9), some, st.one_of(st.just(()), some))


CONTACT_EVENT = st.one_of(
    st.tuples(st.just("advance"), st.sampled_from([0.0, 0.05, 0.35, 0.5, 1.0, 4.0, 20.0])),
    st.tuples(st.just("request"), st.sampled_from(SEATS[1:])),
    # A reply to the n-th pending request, however old: links may delay replies.
    st.tuples(st.just("reply"), st.integers(0, 30)),
    st.tuples(st.just("peer request"), st.sampled_from(SEATS[1:])),  # must have no effect
    st.tuples(st.just("list"), lists()),
    st.tuples(st.just("tick"), st.none()),
    st.tuples(st.just("step wall clock"), st.floats(-1e6, 1e6)),  # must have no effect
)


@settings(max_examples=400, deadline=None)
@given(lists(), st.lists(CONTACT_EVENT, max_size=40))
def test_contact_matches_its_definition(members: Members, steps: list[tuple[str, object]]) -> None:
    contact, reference, now, ticked = QuorumContact(), Reference(), 100.0, None
    for kind, argument in steps:
        match kind:
            case "advance":
                assert isinstance(argument, float)
                now += argument
            case "request":
                reference.requests.append(Request(str(argument), now))
            case "reply":
                pending = [request for request in reference.requests if request.replied_at is None]
                if pending:
                    assert isinstance(argument, int)
                    request = pending[argument % len(pending)]
                    request.replied_at = now
                    contact.record_answer(request.seat, request.sent_at)
            case "list":
                assert isinstance(argument, Members)
                members = argument
            case "tick":
                is_stalled = ticked is not None and now - ticked >= STALL_THRESHOLD_S
                assert contact.tick(now) is is_stalled
                reference.stall_ended_at, ticked = now if is_stalled else reference.stall_ended_at, now
        expected = reference.has_lease(now, [list(members.seats), list(members.former)], CONTACT_LEASE_S)
        assert contact.has_lease(members, OWN, now) is expected
        assert (contact.remaining_s(members, OWN, now) > 0) <= expected
        age = contact.age_s(members, OWN, now)
        assert age >= 0
        if age < float("inf") and now - age != now:  # the age counts from the send time of a request
            assert any(abs(request.sent_at - (now - age)) < 1e-6 for request in reference.requests)


THREE = Members(0, tuple(SEATS[:3]))


def test_contact_counts_from_the_request_not_from_the_reply() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)  # the reply arrives at 11.1
    assert contact.has_lease(THREE, OWN, 11.1)
    assert not contact.has_lease(THREE, OWN, 10.0 + CONTACT_LEASE_S + 0.001)


def test_a_delayed_reply_is_as_old_as_its_request() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    assert not contact.has_lease(THREE, OWN, 30.0)
    contact.record_answer(SEATS[2], 12.0)  # requested at 12, delayed until 30
    assert not contact.has_lease(THREE, OWN, 30.0)


def test_requests_of_peers_give_no_contact_in_a_one_way_partition() -> None:
    """Requests of peers arrive, but this process gets no replies. Only `record_answer` renews the lease."""
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    contact.record_answer(SEATS[2], 10.0)
    assert contact.remaining_s(THREE, OWN, 10.5) == pytest.approx(CONTACT_LEASE_S - 0.5)
    assert contact.age_s(THREE, OWN, 12.0) == pytest.approx(2.0)
    assert not contact.has_lease(THREE, OWN, 12.0)


def test_after_a_stall_of_four_seconds_new_requests_are_needed() -> None:
    contact = QuorumContact()
    assert not contact.tick(10.0)
    contact.record_answer(SEATS[1], 10.0)
    assert contact.tick(14.0)
    contact.record_answer(SEATS[2], 10.1)  # requested before the stall, received after it
    assert contact.age_s(THREE, OWN, 14.0) == float("inf")
    contact.record_answer(SEATS[2], 14.0)
    assert contact.has_lease(THREE, OWN, 14.1)


def test_rounds_with_a_dead_member_are_no_stall_and_keep_contact() -> None:
    contact, now = QuorumContact(), 10.0
    for _ in range(20):
        assert not contact.tick(now)
        # The third member does not reply: the round takes 0.35 s, the pause 0.5 s.
        contact.record_answer(SEATS[1], now)
        for later in (0.0, 0.35, 0.85):
            assert contact.has_lease(THREE, OWN, now + later)
        now += 0.85


def test_a_joint_list_needs_replies_from_a_majority_of_both_lists() -> None:
    joint = Members(1, tuple(SEATS[1:4]), tuple(SEATS[:3]))
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0)
    assert not contact.has_lease(joint, OWN, 10.0)  # 1 of 1, 2, 3 and 2 of 0, 1, 2
    contact.record_answer(SEATS[3], 10.0)
    assert contact.has_lease(joint, OWN, 10.0)
    assert contact.has_lease(joint.leave_joint(), OWN, 10.0)
    assert not contact.has_lease(Members(2, (SEATS[4], SEATS[5])), OWN, 10.0)


def test_learners_do_not_count_towards_contact() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[4], 10.0)
    contact.record_answer(SEATS[5], 10.0)
    assert not contact.has_lease(THREE, OWN, 10.0)
    contact.record_answer(SEATS[1], 10.0)
    # The own seat is a learner here, so 1 of 3 replied.
    assert not contact.has_lease(Members(0, tuple(SEATS[1:4])), OWN, 10.0)


REGISTER_EVENT = st.one_of(
    st.tuples(st.just("accept"), st.integers(0, 4)),  # a seat accepts the newest change
    st.tuples(st.just("propose"), st.just(0)),  # the next change is proposed
    st.tuples(st.just("request"), st.integers(1, 4)),
    st.tuples(st.just("reply"), st.integers(0, 9)),
    st.tuples(st.just("deliver"), st.integers(0, 9)),  # a reply arrives, as it was sent
    st.tuples(st.just("apply"), st.just(0)),  # the newest decided change is applied here
)


@settings(max_examples=400, deadline=None)
@given(st.integers(1, 5), st.lists(REGISTER_EVENT, max_size=60))
def test_all_changes_decided_before_the_knowledge_age_are_applied(
    count: int, events: list[tuple[str, int]]
) -> None:
    """A model of the register: seats accept each change one by one; a majority decides it."""
    members = Members(0, tuple(SEATS[:count]))
    accepted, decided_at, newest, applied = [0] * count, {0: 0.0}, 0, 0
    asked: list[tuple[int, float]] = []
    replies: list[tuple[int, float, int]] = []  # seat, send time of the request, accepted change
    contact, now = QuorumContact(), 0.0
    for kind, number in events:
        now += 0.1
        match kind:
            case "propose" if newest in decided_at:
                newest += 1
            case "accept" if number < count:
                accepted[number] = newest
                if 2 * sum(change >= newest for change in accepted) > count:
                    decided_at.setdefault(newest, now)
            case "request" if number < count:
                asked.append((number, now))
            case "reply" if asked:
                index, sent_at = asked.pop(number % len(asked))
                replies.append((index, sent_at, accepted[index]))
            case "deliver" if replies:
                index, sent_at, change = replies.pop(number % len(replies))
                contact.record_answer(SEATS[index], sent_at, change)
            case "apply":
                applied = max(decided_at)
        age = contact.knowledge_age_s(members, OWN, now, applied, accepted[0])
        assert all(change <= applied for change, at in decided_at.items() if at <= now - age - 1e-9)
        if age == 0 and count > 2:
            assert any(sent_at == now for sent_at in contact.asked_at.values())


def test_a_seat_that_accepted_a_newer_change_counts_for_contact_but_not_for_knowledge_age() -> None:
    contact = QuorumContact()
    contact.record_answer(SEATS[1], 10.0, 8)
    assert contact.has_lease(THREE, OWN, 10.1)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 7, 7) == float("inf")
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 8, 7) == pytest.approx(0.1)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 8, 9) == float("inf")  # own seat accepted a newer change
    contact.record_answer(SEATS[2], 9.5, 7)
    assert contact.knowledge_age_s(THREE, OWN, 10.1, 7, 7) == pytest.approx(0.6)


def test_the_number_of_tracked_seats_is_bounded() -> None:
    contact = QuorumContact()
    for number in range(3 * MAX_TRACKED_SEATS):
        contact.record_answer(f"10.0.0.1/{number}", float(number))
    assert len(contact.asked_at) <= MAX_TRACKED_SEATS
