"""The concurrency limit of a tenant at one proxy, and its queue."""

from __future__ import annotations

from irisdeal.ratelimit.concurrency_limit import AcquireResult, ConcurrencyLimit


def test_over_the_bound_requests_queue_by_priority_and_keep_what_they_acquired() -> None:
    limit = ConcurrencyLimit(slots=2)
    assert limit.acquire("t", 5, "a", 0.0) is AcquireResult.ACQUIRED
    assert limit.acquire("t", 5, "b", 0.0) is AcquireResult.ACQUIRED
    assert limit.acquire("t", 9, "late", 0.1) is AcquireResult.QUEUED
    assert limit.acquire("t", 1, "first", 0.2) is AcquireResult.QUEUED
    assert limit.release("t", 0.3) == ["first"]
    assert limit.cancel_wait("t", "first", 0.4) is False  # it has left the queue, and is in flight
    assert limit.cancel_wait("t", "late", 0.5) is True
    assert limit.release("t", 0.6) == [] and limit.tenants["t"].in_flight == 1
