"""The division of a concurrency cap among proxies by demand."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.ratelimit.demand_split import concurrency_bound, demand_share


@hypothesis_settings(deadline=None, max_examples=50)
@given(st.lists(st.floats(0.01, 50), min_size=1, max_size=85), st.floats(1, 500))
def test_shares_of_the_same_total_sum_to_the_cap(demands: list[float], cap: float) -> None:
    total, proxies = sum(demands), len(demands)
    shares = [demand_share(demand, total, cap, proxies) for demand in demands]
    assert sum(shares) == pytest.approx(cap)
    for demand, own in zip(demands, shares, strict=True):
        assert concurrency_bound(demand, total, cap, proxies) >= max(1, own - 1e-6)
    assert demand_share(0.0, 0.0, cap, proxies) == pytest.approx(cap / proxies)
