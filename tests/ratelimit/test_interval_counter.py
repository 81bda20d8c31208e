"""The interval counter of the registries, with messages in any order, repeated and missing."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.interval_counter import IntervalCounter
from irisdeal.ratelimit.messages import Usage


@hypothesis_settings(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.integers(1, 12), st.integers(1, 4))
def test_all_registries_finish_the_same_total(seed: int, proxies: int, registries: int) -> None:
    rng = random.Random(seed)
    counters = [IntervalCounter(f"g{number}") for number in range(registries)]
    for interval in range(4):
        now, requests = interval * INTERVAL_S, 0
        reports = []
        for proxy in range(proxies):
            count = rng.randint(0, 9)
            requests += count
            reports.append((proxy, interval, {"t": Usage(float(count))}))
        reports += rng.sample(reports, len(reports) // 2)  # some arrive twice
        rng.shuffle(reports)
        for proxy, number, usages in reports:
            counters[proxy % registries].receive_report(proxy, number, usages, now)
        sums = [(counter.own_address, counter.close_interval(interval, now)) for counter in counters]
        for counter in counters:
            for registry, received in rng.sample(sums * 2, 2 * registries):
                if registry != counter.own_address:
                    counter.receive_sum(registry, interval, received.usages, received.proxies, now)
        totals = [counter.finish_interval(interval, now) for counter in counters]
        assert {total.proxies for total in totals} == {proxies}
        assert {total.usages.get("t", Usage()).requests for total in totals} == {float(requests)}
        late = counters[0].finish_interval(interval, now + 1)
        assert late is totals[0]  # it never changes again


def test_a_missing_registry_counts_only_for_proxies_that_report_nowhere_else() -> None:
    own, other = IntervalCounter("g0"), IntervalCounter("g1")
    for proxy in range(4):
        other.receive_report(proxy, 0, {"t": Usage(5.0)}, 0.0)
    received = other.close_interval(0, 0.0)
    own.receive_sum("g1", 0, received.usages, received.proxies, 0.0)
    own.receive_report(0, 1, {"t": Usage(5.0)}, INTERVAL_S)  # one of them reports here now
    own.close_interval(1, INTERVAL_S)
    total = own.finish_interval(1, INTERVAL_S)
    assert total.proxies == 4 and total.usages["t"].requests == 5.0 + 15.0
    own.close_interval(99, 60.0)
    last = own.finish_interval(99, 60.0)
    assert "t" not in last.usages or last.usages["t"].requests == 0.0
