"""Token bucket of one tenant's permits at one registry. Time is an argument.

A permit leaves the bucket exactly once: to a request that is admitted now (`claim`), to a proxy that prefetches
it (`prefetch`) or to another registry (`lend`). The bucket starts empty, so a registry that lost its state
cannot issue a permit twice.
"""

from __future__ import annotations

import math

# Share of a bucket that is reserved for requests that can still be answered within their latency target.
ON_TIME_SHARE = 0.35
# In permits; absorbs rounding errors of the level before it is rounded up.
ROUNDING_TOLERANCE = 1e-9


class PermitBucket:
    """The permits of one tenant that are ready at this registry."""

    def __init__(self, refill_per_s: float, capacity: float, since: float) -> None:
        """`since`: time in s at which the empty bucket started to fill; no permit was issued before."""
        self.refill_per_s, self.capacity = refill_per_s, capacity
        self.permits = 0.0
        self.filled_at = since
        self.last_issue_at = float("-inf")  # of a permit, or of the renewal of a prefetched one

    def record_renewal(self, now: float) -> None:
        """Record that prefetched permits of this bucket were renewed: they may be used for another lease."""
        self.last_issue_at = now

    def _issue(self, count: float, now: float) -> None:
        self.permits -= count
        self.last_issue_at = now

    def change(self, refill_per_s: float, capacity: float, now: float) -> None:
        """Apply a changed refill rate and capacity; discard permits over the capacity.

        Both follow from the tenant's limit, the number of issuers and the count of prefetched permits.
        """
        if refill_per_s == self.refill_per_s and capacity == self.capacity:
            return
        self._refill(now)
        self.refill_per_s, self.capacity = refill_per_s, capacity
        self.permits = min(self.permits, capacity)

    def _refill(self, now: float) -> None:
        gained = self.refill_per_s * max(0.0, now - self.filled_at)
        self.permits = min(max(self.permits, self.capacity), self.permits + gained)
        self.filled_at = now

    def ready(self, now: float) -> float:
        """Return the permits that are available now."""
        self._refill(now)
        return self.permits

    def claim(self, now: float, is_late: bool = False, cost: float = 1.0) -> bool:
        """Consume `cost` permits for one request and return True; if too few are left, consume none.

        `is_late`: the request was retried after its latency target had passed, and has a tenth to a third of
        the value of one within its target. As permits are scarce under overload, `ON_TIME_SHARE` of the bucket
        is withheld from late requests.
        """
        withheld = ON_TIME_SHARE * self.capacity if is_late else 0.0
        if self.ready(now) < cost + withheld:
            return False
        self._issue(cost, now)
        return True

    def prefetch(self, wanted: int, now: float) -> int:
        """Take up to `wanted` permits for a proxy; the lower half stays for direct claims."""
        granted = max(0, min(wanted, int(self.ready(now) - self.capacity / 2)))
        if granted:
            self._issue(granted, now)
        return granted

    def lend(self, wanted: int, retained: float, now: float) -> int:
        """Take up to `wanted` permits for another registry; keep `retained` permits, at most half of the level."""
        ready = self.ready(now)
        spare = ready - min(retained, ready / 2)
        granted = max(0, min(wanted, math.ceil(spare - ROUNDING_TOLERANCE), int(ready)))
        if granted:
            self._issue(granted, now)
        return granted

    def is_full(self, now: float) -> bool:
        """Whether it holds as many permits as its capacity allows."""
        return self.ready(now) >= self.capacity

    def free_capacity(self, now: float) -> float:
        """Return the permits that may be added without exceeding the capacity."""
        return max(0.0, self.capacity - self.ready(now))

    def add_borrowed(self, count: int, now: float) -> None:
        """Add permits of another registry.

        Those over the capacity are discarded, so that all stocks stay within the rule.
        """
        self.permits += min(float(count), self.free_capacity(now))
