"""Connection slots, evictions and rejections, the accept backlog and the event loop lag."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.front_door.overload.backlog import MAX_LENGTH, MIN_LENGTH, TARGET_WAIT_S, Backlog
from irisdeal.front_door.overload.connection_slots import (
    MAX_CANDIDATES_PER_STATE,
    MIN_CLOSING_S,
    MIN_IDLE_S,
    MIN_UNUSED_IN_BURST_S,
    MIN_UNUSED_S,
    ConnectionSlots,
    ConnectionState,
)
from irisdeal.front_door.overload.event_loop_lag import HALF_LIFE_S, NORMAL_LAG_S, EventLoopLag


def test_connections_without_a_request_are_evicted_oldest_first_and_busy_ones_never() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(4, 0)
    for n, name in enumerate(("closing", "unused", "idle", "busy")):
        slots.add(name, n / 128)
    slots.set_state("busy", ConnectionState.BUSY, 0.125)
    slots.set_state("idle", ConnectionState.IDLE, 0.125)
    slots.set_state("closing", ConnectionState.CLOSING, 0.125)
    assert list(slots.eviction_candidates(0.125)) == []
    assert list(slots.eviction_candidates(0.125 + MIN_UNUSED_S)) == ["closing", "unused"]
    assert list(slots.eviction_candidates(0.125 + MIN_IDLE_S)) == ["closing", "unused", "idle"]
    assert MIN_CLOSING_S <= MIN_IDLE_S


def test_in_a_burst_of_unused_connections_each_gets_less_time() -> None:
    slots: ConnectionSlots[int] = ConnectionSlots(4, 2)
    for n in range(2):
        slots.add(n, 0.0)
    assert list(slots.eviction_candidates(MIN_UNUSED_IN_BURST_S)) == []
    slots.add(2, 0.0)
    assert list(slots.eviction_candidates(MIN_UNUSED_IN_BURST_S)) == [0, 1, 2]


def test_a_connection_in_the_reserve_is_rejected_until_a_regular_slot_is_free() -> None:
    slots: ConnectionSlots[int] = ConnectionSlots(1, 1)
    slots.add(1, 0.0)
    slots.add(2, 0.0)
    assert not slots.can_accept()
    assert slots.claim_regular_slot(1, 0.0) and not slots.claim_regular_slot(2, 0.0)
    slots.remove(1, 0.1)
    assert slots.can_accept() and slots.claim_regular_slot(2, 0.2)
    slots.add(3, 0.3)
    assert not slots.claim_regular_slot(3, 0.3)


def test_retry_after_grows_with_rejections_and_shrinks_with_released_slots() -> None:
    def retry_after(rejected: int, released: int) -> float:
        slots: ConnectionSlots[int] = ConnectionSlots(released, 1)
        for n in range(released):
            slots.add(n, 0.0)
        slots.add(-1, 0.0)
        for _ in range(rejected):
            slots.claim_regular_slot(-1, 0.0)
        for n in range(released):
            slots.remove(n, 0.0)
        return slots.retry_after_s(0.0)

    assert retry_after(10, 1) == 11.0
    assert retry_after(10, 100) == 0.11
    assert retry_after(100, 100) == 1.01


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "remove", "busy", "idle", "closing", "claim", "evict"]),
        st.integers(0, 30),
        st.floats(0.0, 1.0),
    ),
    max_size=200,
)


@given(OPERATIONS, st.integers(1, 6), st.integers(0, 3))
def test_slots_stay_within_their_bounds_and_the_tables_agree(
    operations: list[tuple[str, int, float]],
    regular: int,
    reserve: int,
) -> None:
    slots: ConnectionSlots[int] = ConnectionSlots(regular, reserve)
    now, next_key, busy = 0.0, 0, set[int]()
    for operation, index, delay_s in operations:
        now += delay_s
        keys = list(slots.states)
        key = keys[index % len(keys)] if keys else -1
        if operation == "accept" and slots.can_accept():
            slots.add(next_key, now)
            next_key += 1
        elif operation == "remove":
            slots.remove(key, now)
            busy.discard(key)
        elif operation == "claim" and key >= 0:
            before = slots.regular_in_use
            assert slots.claim_regular_slot(key, now) or before == regular
        elif operation == "evict":
            found = list(slots.eviction_candidates(now))
            assert len(found) <= 3 * MAX_CANDIDATES_PER_STATE and not busy & set(found)
            for candidate in found:
                assert now - slots.entered_at[slots.states[candidate]][candidate] >= min(
                    MIN_UNUSED_IN_BURST_S, MIN_CLOSING_S
                )
        elif operation in ("busy", "idle", "closing"):
            slots.set_state(key, ConnectionState[operation.upper()], now)
            (busy.add if operation == "busy" else busy.discard)(key)
        assert len(slots) <= regular + reserve and slots.regular_in_use <= regular
        assert sum(map(len, slots.entered_at.values())) == len(slots)
        assert set(slots.in_reserve) <= set(slots.states)
        for entries in slots.entered_at.values():
            assert list(entries.values()) == sorted(entries.values())


def test_the_backlog_is_as_long_as_the_accepts_within_the_target_wait() -> None:
    backlog, now = Backlog(), 0.0
    for _ in range(200):  # 200 accepted every 0.1 s, and more are waiting
        backlog.record_accepted(200, True, now)
        now += 0.1
    assert 0.8 * 2_000 * TARGET_WAIT_S <= backlog.length <= 1.2 * 2_000 * TARGET_WAIT_S
    for _ in range(200):
        backlog.record_accepted(1, True, now)
        now += 0.1
    assert backlog.length == MIN_LENGTH
    for _ in range(100):  # the queue empties each time: its length grows again, but not at once
        backlog.record_accepted(1, False, now)
        now += 0.1
        if now < 40.5:
            assert backlog.length < MAX_LENGTH
    assert backlog.length == MAX_LENGTH


def test_the_wait_bound_follows_the_last_empty_queue_and_the_accept_rate() -> None:
    backlog = Backlog()
    assert backlog.max_wait_s(50.0) == 0.0  # no connection was left waiting so far
    backlog.record_accepted(3, False, 100.0)
    assert backlog.max_wait_s(100.5) == 0.0  # the queue was empty when last checked
    backlog.record_accepted(64, True, 101.0)
    # At most the time since the queue was last empty.
    assert backlog.max_wait_s(101.03) == pytest.approx(1.03)
    for n in range(1, 30):
        backlog.record_accepted(100, True, 101.0 + n / 10)
    # At 1,000 accepts per second the queue has shrunk to a twentieth of that, which bounds the wait.
    assert backlog.max_wait_s(104.0) == pytest.approx((backlog.length + 1) / 1_000)
    assert backlog.max_wait_s(104.0) < 1.5 * TARGET_WAIT_S
    backlog.record_accepted(5, False, 104.1)
    assert backlog.max_wait_s(104.2) == 0.0


def test_the_lag_is_the_largest_recent_one_and_decays() -> None:
    lag = EventLoopLag()
    lag.record(0.003, 10.0)
    assert lag.excess_s(10.0) == 0.0
    lag.record(0.100, 10.0)
    lag.record(0.010, 10.1)
    assert lag.excess_s(10.1) == pytest.approx(0.1 * 0.5 ** (0.1 / HALF_LIFE_S) - NORMAL_LAG_S)
    assert lag.excess_s(10.0 + 10 * HALF_LIFE_S) == 0.0
    lag.record(0.05, 20.0)
    assert lag.excess_s(20.0) == pytest.approx(0.05 - NORMAL_LAG_S)


def test_a_queue_that_empties_does_not_change_the_backlog() -> None:
    backlog = Backlog()
    assert all(backlog.record_accepted(1, False, n / 10) is None for n in range(100))
    assert backlog.length == MAX_LENGTH


@given(st.lists(st.tuples(st.integers(0, 64), st.booleans(), st.floats(0.0, 5.0)), max_size=100))
def test_the_backlog_stays_within_its_bounds(turns: list[tuple[int, bool, float]]) -> None:
    backlog, now = Backlog(), 0.0
    for count, more_waiting, delay_s in turns:
        now += delay_s
        length = backlog.record_accepted(count, more_waiting, now)
        assert MIN_LENGTH <= backlog.length <= MAX_LENGTH and length in (None, backlog.length)
