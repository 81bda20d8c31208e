"""The discovery polling schedule: delays with jitter, and full lists only where needed."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from irisdeal.front_door.membership.polling_schedule import (
    INITIAL_SPREAD,
    MAX_BROKEN_BACKOFF_S,
    MAX_PERIOD_S,
    MAX_REJECTED_BACKOFF_FACTOR,
    MAX_RETRY_AFTER_S,
    MAX_WATCH_GAP_S,
    MIN_BROKEN_BACKOFF_S,
    MIN_REJECTED_BACKOFF_S,
    QUEUED_RESPONSE_TIMEOUT_S,
    REJECTED_BACKOFF_GROWTH,
    RESPONSE_TIMEOUT_S,
    WATCH_DURATION_MS,
    PollingSchedule,
    polling_period_s,
)


def test_a_known_list_is_watched_from_its_version() -> None:
    call = PollingSchedule(lambda: 0.5, 8.0, 41).next_call()
    assert (call.is_full_list, call.version, call.watch_ms) == (False, 41, WATCH_DURATION_MS)
    assert call.timeout_s == WATCH_DURATION_MS / 1000 + QUEUED_RESPONSE_TIMEOUT_S


def test_an_agent_is_called_at_once_and_first_calls_to_a_shared_service_are_spread() -> None:
    assert PollingSchedule(lambda: 0.9, 0.0, 41).initial_delay_s() == 0.0
    period_s = polling_period_s(40)
    assert PollingSchedule(lambda: 0.9, period_s, 41).initial_delay_s() == INITIAL_SPREAD * period_s * 0.9
    # Without a list no request can be served, so the call is not delayed.
    assert PollingSchedule(lambda: 0.9, period_s).initial_delay_s() == 0.0
    assert polling_period_s(1000) == MAX_PERIOD_S


def test_with_no_list_known_the_full_list_is_requested_then_a_watch_continues() -> None:
    schedule = PollingSchedule(lambda: 0.5, 8.0)
    assert schedule.next_call().is_full_list
    schedule.succeeded(7, was_watch=False)
    assert schedule.next_call().timeout_s == WATCH_DURATION_MS / 1000 + QUEUED_RESPONSE_TIMEOUT_S
    schedule.succeeded(9, was_watch=True)
    assert (schedule.next_call().version, schedule.next_call().watch_ms, schedule.next_call().timeout_s) == (
        9,
        WATCH_DURATION_MS,
        WATCH_DURATION_MS / 1000 + RESPONSE_TIMEOUT_S,
    )


def test_neither_a_rejected_nor_a_broken_call_requests_the_full_list() -> None:
    schedule = PollingSchedule(lambda: 0.5, 0.0, 41)
    schedule.rejected()
    assert schedule.next_call().version == 41
    schedule.broken()
    assert schedule.next_call().version == 41
    schedule.invalid_response()
    assert schedule.next_call().is_full_list


def test_a_watch_that_broke_once_is_resumed_within_the_gap() -> None:
    assert MIN_BROKEN_BACKOFF_S < MAX_WATCH_GAP_S
    assert PollingSchedule(lambda: 0.999, 0.0, 41).broken() <= MIN_BROKEN_BACKOFF_S


def test_retry_after_is_the_minimum_delay_and_is_bounded() -> None:
    schedule = PollingSchedule(lambda: 0.0, 0.0, 41)
    assert schedule.rejected(2.0) == 2.0 + MIN_REJECTED_BACKOFF_S / 2
    assert schedule.rejected(1e9) <= MAX_RETRY_AFTER_S + MAX_REJECTED_BACKOFF_FACTOR * MIN_REJECTED_BACKOFF_S
    schedule.succeeded(41, was_watch=True)
    assert schedule.rejected(-5.0) == MIN_REJECTED_BACKOFF_S / 2


def test_success_resets_the_backoff() -> None:
    schedule = PollingSchedule(lambda: 0.999, 0.0, 41)
    for _ in range(9):
        schedule.rejected()
        schedule.broken()
    schedule.succeeded(41, was_watch=True)
    assert schedule.rejected() <= MIN_REJECTED_BACKOFF_S
    assert schedule.broken() <= MIN_BROKEN_BACKOFF_S


@given(st.lists(st.sampled_from(["rejected", "broken", "invalid", "succeeded"]), max_size=60), st.randoms())
def test_delays_are_bounded_and_never_zero(results: list[str], chance: random.Random) -> None:
    schedule = PollingSchedule(chance.random, 8.0)
    for result in results:
        if result == "succeeded":
            schedule.succeeded(3, was_watch=not schedule.next_call().is_full_list)
        elif result == "rejected":
            assert 4.0 <= schedule.rejected() <= 8.0 * MAX_REJECTED_BACKOFF_FACTOR
        else:
            delay_s = schedule.broken() if result == "broken" else schedule.invalid_response()
            assert MIN_BROKEN_BACKOFF_S / 2 <= delay_s <= MAX_BROKEN_BACKOFF_S


MAX_QUEUE_TIME_S = 2.0  # of a call at the discovery service, which rejects or fails it after that


def time_until_all_served_s(front_doors: int, per_s: float, schedules: list[PollingSchedule]) -> float:
    """Return when all front doors, which start at time 0, have been served; infinite if not within 60 s.

    The service works on calls in order, `per_s` per second. It rejects a call that would be queued for longer
    than the time-out, and still spends its time on a call that times out in the queue (BENCH, [discovery],
    overbook = 1).
    """
    due = [(schedule.initial_delay_s(), front_door) for front_door, schedule in enumerate(schedules)]
    free_at = last = 0.0
    while due:
        due.sort()
        now, front_door = due.pop(0)
        if now > 60:
            return math.inf
        queue_s = max(0.0, free_at - now)
        if queue_s <= MAX_QUEUE_TIME_S:  # accepted: the queue time does not include the call itself
            free_at = now + queue_s + 1 / per_s
        if queue_s + 1 / per_s <= MAX_QUEUE_TIME_S:
            last = max(last, free_at)
        else:
            queued_s = min(MAX_QUEUE_TIME_S, queue_s if queue_s <= MAX_QUEUE_TIME_S else 0.0)
            due.append((now + queued_s + schedules[front_door].rejected(), front_door))
    return last


def fleet(front_doors: int, period_s: float) -> list[PollingSchedule]:
    return [
        PollingSchedule(random.Random(front_door).random, period_s, 1) for front_door in range(front_doors)
    ]


def test_front_doors_that_restart_together_are_all_served_within_a_few_periods() -> None:
    for front_doors in (20, 40, 100):
        for all_s in (8, 4, 2):  # s in which the service can serve one call of each front door
            schedules = fleet(front_doors, polling_period_s(front_doors))
            assert (
                time_until_all_served_s(front_doors, front_doors / all_s, schedules)
                <= 2.5 * 8 + MAX_QUEUE_TIME_S
            )


def test_short_retry_delays_keep_the_service_overloaded() -> None:
    class ShortDelays(PollingSchedule):
        def initial_delay_s(self) -> float:
            return 0.0

        def rejected(self, retry_after_s: float | None = None) -> float:
            return 0.2 + 0.4 * self.random_unit()

    short_delays: list[PollingSchedule] = [
        ShortDelays(random.Random(front_door).random, 0.0, 1) for front_door in range(40)
    ]
    assert time_until_all_served_s(40, 5.0, short_delays) > 4 * time_until_all_served_s(
        40, 5.0, fleet(40, polling_period_s(40))
    )


def test_delays_grow_while_calls_are_rejected() -> None:
    schedule = PollingSchedule(lambda: 0.5, 8.0, 1)
    assert schedule.rejected() * REJECTED_BACKOFF_GROWTH == schedule.rejected()
