"""Tests of quota overshoot: the single pass against a check of every span, and the report by tenant."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.testbed.quota_overshoot import overshoot, tenant_usage
from irisdeal.testbed.request_log import SECOND, Attempt, End, RequestLog
from irisdeal.testbed.scenario_files import parse

TEXT = """
seconds = 10
[[class]]
name = "check"
share = 1
work_ms = 50
aim_ms = 100
deadline_ms = 1000
[[plan]]
name = "p"
share = 1
rate = 2
burst_s = 2
"""


def attempt(at: int, trace: str, customer: int = 1, units: float = 1.0, front_door: int = 0) -> Attempt:
    return Attempt(
        trace,
        "",
        "check",
        "p",
        customer,
        units,
        front_door,
        "s",
        "a",
        0,
        1,
        at,
        at,
        1000,
        True,
        True,
        End.SERVED,
        at + 1000,
    )


def test_no_overshoot_within_burst_and_rate() -> None:
    assert overshoot([(0, 2.0), (SECOND, 2.0), (2 * SECOND, 2.0)], 2.0, 2.0) == (0.0, 0)
    assert overshoot([], 2.0, 2.0) == (0.0, 0)


def test_the_largest_overshoot_is_reported_with_its_time() -> None:
    assert overshoot([(0, 2.0), (SECOND, 5.0), (9 * SECOND, 1.0)], 2.0, 2.0) == (3.0, SECOND)
    # An idle time refills no more than the burst.
    assert overshoot([(0, 1.0), (100 * SECOND, 4.0)], 2.0, 2.0) == (2.0, 100 * SECOND)


@given(
    st.lists(st.tuples(st.integers(0, 3 * SECOND), st.floats(0.5, 4)), max_size=25),
    st.floats(0.1, 5),
    st.floats(0.5, 8),
)
def test_one_pass_agrees_with_every_span(
    gaps: list[tuple[int, float]],
    rate: float,
    burst: float,
) -> None:
    at, sent = 0, []
    for gap, units in gaps:
        at += gap
        sent.append((at, units))
    worst = 0.0
    for first, (start, _) in enumerate(sent):
        total = 0.0
        for now, units in sent[first:]:
            total += units
            worst = max(worst, total - burst - rate * (now - start) / 1e6)
    assert overshoot(sent, rate, burst)[0] == pytest.approx(worst, abs=1e-6)


def test_tenants_are_reported_worst_first_over_all_front_doors_and_once_for_each_attempt() -> None:
    request_log = RequestLog(
        attempts=[
            attempt(0, "a", 1),
            attempt(1, "a", 1, front_door=1),  # a further attempt of a request takes no units
            *(attempt(n, f"b{n}", 2, front_door=n % 3) for n in range(10)),
        ]
    )
    found = tenant_usage(request_log, parse(TEXT))
    assert [(use.customer, use.sent, use.front_doors) for use in found] == [(2, 10.0, 3), (1, 1.0, 1)]
    assert found[0].overshoot == pytest.approx(6.0, abs=1e-3) and found[0].allowed == 24.0
    assert found[0].fraction == pytest.approx(0.25, abs=1e-3) and found[1].overshoot == 0.0
