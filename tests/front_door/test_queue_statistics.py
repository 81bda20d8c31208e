"""Error bounds of the sketch against exact counts, and reports of accounts."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.front_door.queueing.heavy_hitters import HeavyHitterSketch
from irisdeal.front_door.queueing.queue_statistics import WAIT_BUCKETS_MS, QueueStatistics

SECOND = 1_000_000


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 5)), max_size=300), st.integers(1, 12))
def test_an_estimate_is_over_by_at_most_its_error(stream: list[tuple[int, int]], capacity: int) -> None:
    sketch: HeavyHitterSketch[int] = HeavyHitterSketch(capacity, 10**12)
    exact: Counter[int] = Counter()
    for key, weight in stream:
        sketch.add(key, float(weight), 0)
        exact[key] += weight
    found = sketch.top(capacity, 0)
    weights = [h.weight for h in found]
    assert len(sketch) <= capacity and weights == sorted(weights, reverse=True)
    for heavy in found:
        assert heavy.weight - heavy.error - 1e-9 <= exact[heavy.key] <= heavy.weight + 1e-9
        assert heavy.error <= exact.total() / capacity + 1e-9
    for key, weight in exact.items():
        assert weight <= exact.total() / capacity or key in sketch


def test_weights_decay_by_half_and_the_landmark_moves_without_effect() -> None:
    sketch: HeavyHitterSketch[str] = HeavyHitterSketch(4, SECOND)
    sketch.add("old", 8.0, 5 * SECOND)
    sketch.add("new", 1.0, 8 * SECOND)
    assert {h.key: round(h.weight, 9) for h in sketch.top(4, 8 * SECOND)} == {"old": 1.0, "new": 1.0}
    for n in range(400):  # more half-lives than weights without a moving landmark permit
        sketch.add("new", 1.0, (8 + n) * SECOND)
    top = sketch.top(2, 407 * SECOND)
    assert top[0].key == "new" and 1.9 < top[0].weight < 2.1 and top[1].weight < 1e-9


def test_the_smallest_is_evicted_after_the_landmark_has_moved() -> None:
    sketch: HeavyHitterSketch[str] = HeavyHitterSketch(2, SECOND)
    sketch.add("a", 1.0, 0)
    sketch.add("b", 5.0, 0)
    sketch.add("b", 5.0, 100 * SECOND)
    assert sketch.add("c", 1.0, 100 * SECOND) == "a"


@pytest.mark.parametrize(("capacity", "half_life_us"), [(0, 1), (1, 0)])
def test_bounds_are_checked(capacity: int, half_life_us: int) -> None:
    with pytest.raises(ValueError, match="wanted both over 0"):
        HeavyHitterSketch(capacity, half_life_us)


def test_the_account_of_most_demand_is_first_and_memory_is_bounded() -> None:
    statistics, rng, now = QueueStatistics(64), random.Random(4), 0
    for n in range(20_000):
        now += 6_000
        statistics.record_received((10_000 + n, 0), False, now)
        if rng.random() < 0.2:
            statistics.record_received((7, 1), False, now)
            statistics.record_sent((7, 1), 3_000)
    report = statistics.report(now, 3)
    assert report["stores_watched"] == 64 and len(statistics._records) == len(statistics._demand) == 64
    first = report["stores"][0]
    assert (first["customer"], first["plan"]) == (f"{7:016x}", 1)
    assert abs(first["share"] - 1 / 6) < 0.05 + first["share_error"] and report["asked"] > 23_000


def test_retries_in_time_and_early_are_counted() -> None:
    statistics = QueueStatistics()
    for account, retry_at in ((1, 500_000), (2, 90_000)):
        statistics.record_received((account, 0), False, 0)
        statistics.record_rejected((account, 0), 500_000, 0)
        statistics.record_received((account, 0), True, retry_at)
        # after no further rejection: not counted
        statistics.record_received((account, 0), True, retry_at + 1)
    report = {
        s["customer"][-1]: (s["advice_heeded"], s["advice_ignored"])
        for s in statistics.report(SECOND, 9)["stores"]
    }
    assert report == {"1": (1, 0), "2": (0, 1)} and (
        statistics.retries_in_time,
        statistics.retries_early,
    ) == (1, 1)


def test_a_retry_within_the_tolerance_is_in_time() -> None:
    statistics = QueueStatistics()
    statistics.record_received((1, 0), False, 0)
    statistics.record_rejected((1, 0), 500_000, 0)
    statistics.record_received((1, 0), True, 485_000)
    assert (statistics.retries_in_time, statistics.retries_early) == (1, 0)


def test_waits_are_reported_as_a_histogram() -> None:
    statistics = QueueStatistics()
    statistics.record_received((1, 0), False, 0)
    for wait_us in (0, 1_000, 1_001, 3_000_000):
        statistics.record_sent((1, 0), wait_us)
    counts = statistics.report(0, 1)["waits_ms"]["counts"]
    assert counts[0] == 2 and counts[1] == 1 and counts[len(WAIT_BUCKETS_MS)] == 1
    assert statistics.report(0, 1)["stores"][0]["longest_wait_ms"] == 3000.0
