"""The counter among registries, the shared clock and the rate companion, whatever comes in which order."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st

from irisdeal.permits.allowance import Limit
from irisdeal.ratelimit.interval_clock import LENGTH, SharedIntervalClock
from irisdeal.ratelimit.interval_counter import IntervalCounter, Usage
from irisdeal.ratelimit.rate_companion import RateCompanion


@trying(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.integers(1, 12), st.integers(1, 4))
def test_all_who_read_a_finished_total_read_the_same(seed: int, proxies: int, many: int) -> None:
    chance = random.Random(seed)
    counters = [IntervalCounter(f"g{number}") for number in range(many)]
    for interval in range(4):
        now, asked = interval * LENGTH, 0
        reports = []
        for proxy in range(proxies):
            figure = chance.randint(0, 9)
            asked += figure
            reports.append((proxy, interval, {"t": Usage(float(figure))}))
        reports += chance.sample(reports, len(reports) // 2)  # some come twice
        chance.shuffle(reports)
        for proxy, number, usages in reports:
            counters[proxy % many].hear(proxy, number, usages, now)
        sums = [(counter.own, counter.close(interval, now)) for counter in counters]
        for counter in counters:
            for registry, told in chance.sample(sums * 2, 2 * many):
                if registry != counter.own:
                    counter.hear_sum(registry, interval, told.usages, told.proxies, now)
        totals = [counter.finish(interval, now) for counter in counters]
        assert {total.proxies for total in totals} == {proxies}
        assert {total.usages.get("t", Usage()).asked for total in totals} == {float(asked)}
        late = counters[0].finish(interval, now + 1)
        assert late is totals[0]  # it is not touched any more


def test_a_registry_that_fell_silent_counts_only_for_proxies_that_nobody_else_heard() -> None:
    ours, other = IntervalCounter("g0"), IntervalCounter("g1")
    for proxy in range(4):
        other.hear(proxy, 0, {"t": Usage(5.0)}, 0.0)
    told = other.close(0, 0.0)
    ours.hear_sum("g1", 0, told.usages, told.proxies, 0.0)
    ours.hear(0, 1, {"t": Usage(5.0)}, LENGTH)  # one of them moved to us
    ours.close(1, LENGTH)
    total = ours.finish(1, LENGTH)
    assert total.proxies == 4 and total.usages["t"].asked == 5.0 + 15.0
    ours.close(99, 60.0)
    last = ours.finish(99, 60.0)
    assert "t" not in last.usages or last.usages["t"].asked == 0.0


@trying(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 4), st.floats(0.0, 0.05)), min_size=1, max_size=60)
)
def test_an_edge_never_goes_back_nor_ahead_of_the_first(versions: list[tuple[int, int, float]]) -> None:
    edges = [SharedIntervalClock(0.3 * number) for number in range(5)]
    now, last = 2.0, [0.0] * 5
    for teller, hearer, way in versions:
        told = edges[teller].position(now)
        now += way
        edges[hearer].hear(told, now)
        for number, edge in enumerate(edges):
            assert edge.position(now) >= last[number]
            last[number] = edge.position(now)
            assert edge.position(now) <= edges[0].position(now) + 1e-9  # the first to start is furthest ahead


def test_chance_takes_those_that_come_too_late_first() -> None:
    companion = RateCompanion("t", Limit(20.0, 20.0))
    companion.hear_total(Usage(asked=50.0, late=35.0))  # of an interval; there is room for 20
    assert companion.refusal == 0.0 and 0.5 < companion.refusal_late < 1.0
    assert companion.ask(0.1) and not companion.ask(0.1, is_late=True)
    companion.hear_total(Usage(ready=20.0))
    assert companion.ask(0.0, is_late=True)
    assert companion.close() == (3, 2)


def test_a_tenant_without_a_limit_is_never_refused_by_chance() -> None:
    companion = RateCompanion("t", Limit())
    companion.hear_total(Usage(asked=1e6))
    assert all(companion.ask(0.0) for _ in range(9))
