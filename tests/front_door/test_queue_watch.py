"""The sketch's bounds against exact counts, and what a report tells of stores."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.front_door.queueing.sketch import Sketch
from irisdeal.front_door.queueing.watch import ENDS, QueueWatch

SECOND = 1_000_000


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 5)), max_size=300), st.integers(1, 12))
def test_an_estimate_is_over_by_at_most_its_error(stream: list[tuple[int, int]], most: int) -> None:
    sketch: Sketch[int] = Sketch(most, 10**12)
    exact: Counter[int] = Counter()
    for key, weight in stream:
        sketch.add(key, float(weight), 0)
        exact[key] += weight
    found = sketch.top(most, 0)
    weights = [h.weight for h in found]
    assert len(sketch) <= most and weights == sorted(weights, reverse=True)
    for heavy in found:
        assert heavy.weight - heavy.error - 1e-9 <= exact[heavy.key] <= heavy.weight + 1e-9
        assert heavy.error <= exact.total() / most + 1e-9
    for key, weight in exact.items():
        assert weight <= exact.total() / most or key in sketch


def test_weights_fade_by_half_and_the_landmark_moves_unseen() -> None:
    sketch: Sketch[str] = Sketch(4, SECOND)
    sketch.add("old", 8.0, 5 * SECOND)
    sketch.add("new", 1.0, 8 * SECOND)
    assert {h.key: round(h.weight, 9) for h in sketch.top(4, 8 * SECOND)} == {"old": 1.0, "new": 1.0}
    for n in range(400):  # far past what a float could hold without moving
        sketch.add("new", 1.0, (8 + n) * SECOND)
    top = sketch.top(2, 407 * SECOND)
    assert top[0].key == "new" and 1.9 < top[0].weight < 2.1 and top[1].weight < 1e-9


def test_the_least_goes_after_the_landmark_has_moved() -> None:
    sketch: Sketch[str] = Sketch(2, SECOND)
    sketch.add("a", 1.0, 0)
    sketch.add("b", 5.0, 0)
    sketch.add("b", 5.0, 100 * SECOND)
    assert sketch.add("c", 1.0, 100 * SECOND) == "a"


@pytest.mark.parametrize(("most", "half"), [(0, 1), (1, 0)])
def test_bounds_are_checked(most: int, half: int) -> None:
    with pytest.raises(ValueError, match="wanted both over 0"):
        Sketch(most, half)


def test_the_heaviest_store_is_first_and_memory_is_flat_under_a_flood() -> None:
    watch, rng, now = QueueWatch(64), random.Random(4), 0
    for n in range(20_000):
        now += 6_000
        watch.took((10_000 + n, 0), False, now)
        if rng.random() < 0.2:
            watch.took((7, 1), False, now)
            watch.went((7, 1), 3_000)
    told = watch.told(now, 3)
    assert told["stores_watched"] == 64 and len(watch._records) == len(watch._heavy) == 64
    first = told["stores"][0]
    assert (first["customer"], first["plan"]) == (f"{7:016x}", 1)
    assert abs(first["share"] - 1 / 6) < 0.05 + first["share_error"] and told["asked"] > 23_000


def test_who_heeds_advice_and_who_does_not() -> None:
    watch = QueueWatch()
    for store, back in ((1, 500_000), (2, 90_000)):
        watch.took((store, 0), False, 0)
        watch.refused_one((store, 0), 500_000, 0)
        watch.took((store, 0), True, back)
        watch.took((store, 0), True, back + 1)  # no advice stands any more: neither
    told = {
        s["customer"][-1]: (s["advice_heeded"], s["advice_ignored"]) for s in watch.told(SECOND, 9)["stores"]
    }
    assert told == {"1": (1, 0), "2": (0, 1)} and (watch.heeded, watch.ignored) == (1, 1)


def test_a_retry_a_little_early_has_heeded() -> None:
    watch = QueueWatch()
    watch.took((1, 0), False, 0)
    watch.refused_one((1, 0), 500_000, 0)
    watch.took((1, 0), True, 485_000)
    assert (watch.heeded, watch.ignored) == (1, 0)


def test_waits_are_told_as_a_histogram() -> None:
    watch = QueueWatch()
    watch.took((1, 0), False, 0)
    for waited in (0, 1_000, 1_001, 3_000_000):
        watch.went((1, 0), waited)
    counts = watch.told(0, 1)["waits_ms"]["counts"]
    assert counts[0] == 2 and counts[1] == 1 and counts[len(ENDS)] == 1
    assert watch.told(0, 1)["stores"][0]["longest_wait_ms"] == 3000.0
