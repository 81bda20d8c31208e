"""Retry budgets, in sum over all processes that consume them."""

from __future__ import annotations

import random
from bisect import bisect_right

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.ratelimit.retry_budget import RetryBudget, RetryBudgets


@hypothesis_settings(deadline=None, max_examples=50)
@given(st.integers(0, 2**32), st.sampled_from((1, 8, 85)))
def test_retries_of_all_proxies_stay_within_the_budget(seed: int, proxies: int) -> None:
    rng = random.Random(seed)
    budgets, now = [RetryBudget(0.2, 10.0) for _ in range(proxies)], 0.0
    requests: list[float] = []
    retries: list[float] = []
    for step in range(800):
        now += rng.expovariate(30)
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        while rng.random() < 0.9 and budget.consume(now, 56.0 / proxies):
            retries.append(now)
        if step % 8 == 0:
            spent = len(retries) - bisect_right(retries, now - 10)
            assert spent <= 0.2 * (len(requests) - bisect_right(requests, now - 10)) + 56


@hypothesis_settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32))
def test_retries_stay_within_the_budget_despite_restarts_of_registries(seed: int) -> None:
    """Each registry restarts every few seconds, without its state."""
    rng = random.Random(seed)
    budgets, now = [RetryBudgets(0.2, 10.0, 56.0, -99.0) for _ in range(4)], 0.0
    requests: list[float] = []
    retries: list[float] = []
    for step in range(1500):
        now += rng.expovariate(30)
        if rng.random() < 0.03:
            budgets[rng.randrange(4)] = RetryBudgets(0.2, 10.0, 56.0, now)
        if rng.random() < 0.7:
            rng.choice(budgets).record_request("s", now)  # counted by the first registry that receives it
            requests.append(now)
        while rng.random() < 0.9 and rng.choice(budgets).consume("s", now, 4):
            retries.append(now)
        if step % 8 == 0:
            spent = len(retries) - bisect_right(retries, now - 10)
            assert spent <= 0.2 * (len(requests) - bisect_right(requests, now - 10)) + 56
