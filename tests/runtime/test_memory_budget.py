"""The memory budget of long bodies: bounded, in order, and never stuck."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.runtime.memory_budget import MemoryBudget, MemoryLease

CAPACITY = 100
MAX_BODY = 60


class Holder:
    """One request that reserves its body in one or several steps, then releases it."""

    def __init__(self, budget: MemoryBudget, steps: list[int]) -> None:
        self.lease, self.steps = MemoryLease(budget), steps
        self.is_waiting = False

    def step(self) -> bool:
        """Reserve the next part, or release all; return whether this holder is done."""
        if self.is_waiting:
            return False
        if not self.steps:
            self.lease.release()
            return True
        self.is_waiting = not self.lease.reserve(self.steps.pop(0), self.resume)
        return False

    def resume(self) -> None:
        """Go on after a wait."""
        self.is_waiting = False


def draw_steps(rng: random.Random) -> list[int]:
    total = rng.randint(1, MAX_BODY)
    first = rng.randint(1, total)
    return [first] if first == total or rng.random() < 0.5 else [first, total - first]


@hypothesis_settings(max_examples=200, deadline=None)
@given(st.integers(0, 1_000_000))
def test_all_requests_end_and_no_more_than_the_budget_and_one_body_is_held(seed: int) -> None:
    rng, budget = random.Random(seed), MemoryBudget(CAPACITY)
    holders = [Holder(budget, draw_steps(rng)) for _ in range(rng.randint(1, 20))]
    for _ in range(2_000):
        holder = rng.choice(holders)
        if rng.random() < 0.02:  # its client leaves
            holder.lease.release()
            holders.remove(holder)
        elif holder.step():
            holders.remove(holder)
        assert budget.used_bytes <= CAPACITY + MAX_BODY
        if not holders:
            break
    assert not holders, "requests wait for each other"
    assert budget.used_bytes == 0 and not budget.leases


def test_reservations_are_granted_in_the_order_of_the_requests() -> None:
    budget, granted = MemoryBudget(CAPACITY), list[str]()
    first, second, third = MemoryLease(budget), MemoryLease(budget), MemoryLease(budget)
    assert first.reserve(60, lambda: None)
    assert not second.reserve(60, lambda: granted.append("second"))
    assert not third.reserve(10, lambda: granted.append("third")), "it fits, but an older one waits"
    first.release()
    assert granted == ["second", "third"] and budget.used_bytes == 70


def test_a_body_over_the_budget_is_taken_alone() -> None:
    budget = MemoryBudget(CAPACITY)
    large = MemoryLease(budget)
    assert large.reserve(3 * CAPACITY, lambda: None)
    assert not MemoryLease(budget).reserve(1, lambda: None)


# Guards against a budget that is used up for good: bytes of an abandoned attempt that come after the release.
def test_a_released_lease_holds_nothing_any_more() -> None:
    budget = MemoryBudget(CAPACITY)
    lease = MemoryLease(budget)
    assert lease.reserve(CAPACITY, lambda: None)
    lease.release()
    assert lease.reserve(CAPACITY, lambda: None)
    assert budget.used_bytes == 0 and not budget.leases


class Attempt:
    """The response to one attempt, which grows in steps and may fail."""

    def __init__(self, lease: MemoryLease, steps: list[int]) -> None:
        self.response, self.steps, self.is_waiting = lease.for_response(), steps, False

    def step(self) -> None:
        """Reserve the next part, unless one waits."""
        if self.steps and not self.is_waiting:
            self.is_waiting = not self.response.reserve(self.steps.pop(0), self.resume)

    def resume(self) -> None:
        """Go on after a wait."""
        self.is_waiting = False

    def is_complete(self) -> bool:
        """Return whether all of it is held."""
        return not self.steps and not self.is_waiting


@hypothesis_settings(max_examples=200, deadline=None)
@given(st.integers(0, 1_000_000))
def test_with_two_responses_to_each_request_no_more_than_the_budget_is_held(seed: int) -> None:
    rng, budget = random.Random(seed), MemoryBudget(CAPACITY, 2 * MAX_BODY)
    requests = []
    for _ in range(rng.randint(1, 10)):
        lease = MemoryLease(budget)
        body = Attempt(lease, draw_steps(rng))
        body.response = lease  # type: ignore[assignment]  # the same call: its body
        requests.append((lease, body, [Attempt(lease, draw_steps(rng)) for _ in range(2)]))
    for _ in range(5_000):
        lease, body, attempts = request = rng.choice(requests)
        if not body.is_complete():
            body.step()
        else:
            attempt = rng.choice(attempts)
            attempt.step()
            if attempt.is_complete():
                lease.release()
                requests.remove(request)
            elif len(attempts) > 1 and rng.random() < 0.05:  # it fails, and only the other one is left
                attempt.response.release()
                attempts.remove(attempt)
        assert budget.used_bytes <= budget.capacity_bytes
        if not requests:
            break
    assert not requests, "requests wait for each other"
    assert budget.used_bytes == 0 and not budget.leases
