"""Probabilistic load shedding of one tenant."""

from __future__ import annotations

from irisdeal.permits.allowance import Limit
from irisdeal.ratelimit.messages import Usage
from irisdeal.ratelimit.probabilistic_throttle import ProbabilisticThrottle


def test_late_requests_are_shed_first() -> None:
    throttle = ProbabilisticThrottle("t", Limit(20.0, 20.0))
    throttle.update_total(Usage(requests=50.0, late=35.0))  # of one interval; the headroom is 20
    assert throttle.rejection == 0.0 and 0.5 < throttle.rejection_late < 1.0
    assert throttle.admit(0.1) and not throttle.admit(0.1, is_late=True)
    throttle.update_total(Usage(ready=20.0))
    assert throttle.admit(0.0, is_late=True)
    assert throttle.close_interval() == (3, 2)


def test_requests_of_a_tenant_without_a_limit_are_never_shed() -> None:
    throttle = ProbabilisticThrottle("t", Limit())
    throttle.update_total(Usage(requests=1e6))
    assert all(throttle.admit(0.0) for _ in range(9))
