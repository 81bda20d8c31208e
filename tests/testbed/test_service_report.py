"""Tests of the service report on constructed request logs."""

from __future__ import annotations

import pytest

from irisdeal.testbed.request_log import SECOND, Answer, Attempt, ClientAttempt, End, RequestLog
from irisdeal.testbed.scenario import Scenario
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.service_report import Bucket, Share, recovery, summarize_service

TEXT = """
seconds = 30
[[class]]
name = "check"
share = 1
work_ms = 50
aim_ms = 100
deadline_ms = 1000
late_worth = 0.2
[[plan]]
name = "p"
share = 1
rate = 1
burst_s = 2
price = 2.0
"""
START = 1000 * SECOND


def scenario() -> Scenario:
    return parse(TEXT)


def request_log(*client_attempts: tuple[int, int, int, int]) -> RequestLog:
    """Make a log of (request number, attempt, send time in ms, latency in ms; 0 for a rejection)."""
    made = RequestLog()
    for request_number, attempt, at, took in client_attempts:
        due = START + at * 1000
        trace = f"{request_number}-{attempt}"
        answer = Answer(due + max(1, took) * 1000, 200 if took else 429, b"")
        made.client_attempts.append(
            ClientAttempt(
                trace, request_number, attempt, "", "check", "p", 1, 1.0, 0, due, SECOND, due, [answer]
            )
        )
        if took:
            made.attempts.append(
                Attempt(
                    trace,
                    "",
                    "check",
                    "p",
                    1,
                    1.0,
                    0,
                    "s",
                    "a",
                    0,
                    1,
                    due,
                    due,
                    50_000,
                    True,
                    True,
                    End.SERVED,
                    due + took * 1000,
                )
            )
    return made


def test_the_share_is_one_if_all_answers_are_in_time() -> None:
    service = summarize_service(request_log((1, 0, 2000, 50), (2, 0, 4000, 50)), scenario(), START)
    assert (service.total.share, service.worst, service.first_attempts) == (1.0, 1.0, 2)
    assert service.percentile(0.5) == 50.0


def test_a_late_answer_has_its_late_value_and_a_rejection_none() -> None:
    service = summarize_service(request_log((1, 0, 2000, 500), (2, 0, 4000, 0)), scenario(), START)
    assert service.total.share == pytest.approx(0.1)
    assert service.refused == 1


def test_a_retry_belongs_to_its_first_attempt() -> None:
    service = summarize_service(request_log((1, 0, 2000, 0), (1, 1, 2040, 50)), scenario(), START)
    assert (service.first_attempts, service.client_attempts, service.total.share) == (1, 2, 1.0)


def test_requests_beyond_the_quota_are_neither_offered_nor_served() -> None:
    service = summarize_service(request_log(*((n, 0, 2000 + n, 50) for n in range(4))), scenario(), START)
    assert service.total.offered == 2 * 2.0 and service.total.share == 1.0  # the tenant's burst is two units
    assert service.beyond_units == 0.5


def test_the_first_second_does_not_count() -> None:
    service = summarize_service(request_log((1, 0, 500, 0), (2, 0, 2000, 50)), scenario(), START)
    assert (service.first_attempts, service.total.share) == (1, 1.0)


def test_the_worst_ten_seconds_are_found() -> None:
    client_attempts = [(n, 0, 1000 * n + 100, 0 if 15 <= n < 20 else 50) for n in range(1, 30)]
    service = summarize_service(request_log(*client_attempts), scenario(), START)
    assert service.worst == pytest.approx(0.5) and 9.0 <= service.worst_at <= 15.0


def test_a_bucket_limits_units_and_attempts_in_flight() -> None:
    bucket = Bucket(1.0, 2.0, 1)
    assert bucket.take(0, 1.0, 5 * SECOND)
    assert not bucket.take(SECOND, 1.0, SECOND)  # one attempt is in flight
    assert bucket.take(6 * SECOND, 2.0, 6 * SECOND)
    assert not bucket.take(7 * SECOND, 2.0, 8 * SECOND)  # only one unit is refilled


def test_service_has_recovered_once_it_is_no_worse_than_the_worst_of_a_day_without_faults() -> None:
    def day(*shares: float) -> dict[int, Share]:
        return {n: Share(1.0, share) for n, share in enumerate(shares)}

    calm = day(1.0, 1.0, 1.0, 0.9, 0.8, 1.0, 0.9, 1.0)
    assert recovery(day(1.0, 0.1, 0.1, 0.2, 0.8, 0.9, 1.0, 1.0), calm, 3.0) == 1.0
    assert recovery(calm, calm, 3.0) == 0.0
    assert recovery(day(1.0, 0.1, 0.1, 0.2, 0.3, 0.3, 0.3, 0.3), calm, 3.0) is None
