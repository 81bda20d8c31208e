"""One tenant's bucket of permits at one registry. Time is an argument.

A permit leaves the bucket once: to a request that is admitted now (`claim`), to a proxy that holds it ahead
(`take_ahead`) or to another registry (`lend`). The bucket starts empty, so a registry that forgot what it issued
issues nothing twice.
"""

from __future__ import annotations

import math

FRESH_SHARE = 0.35  # of a bucket that is kept for requests which can still be answered inside their aim


class PermitBucket:
    """The permits that are ready here."""

    def __init__(self, refill_per_s: float, capacity: float, since: float) -> None:
        """`since`: when it began to fill, from nothing: nothing was issued by this process before."""
        self.refill_per_s, self.capacity = refill_per_s, capacity
        self.permits = 0.0
        self.filled_at = since

    def change(self, refill_per_s: float, capacity: float, now: float) -> None:
        """Another limit or number of issuers, or proxies hold more: what a smaller bucket cannot hold is gone."""
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
        """Permits that are here."""
        self._refill(now)
        return self.permits

    def claim(self, now: float, is_late: bool = False, cost: float = 1.0) -> bool:
        """Whether a request of `cost` permits may run; they are gone if so.

        `is_late`: it came back when its aim was past already, and is worth a tenth or a third of a fresh one: in a
        flood permits are short, and a part of them is kept from such requests.
        """
        kept = FRESH_SHARE * self.capacity if is_late else 0.0
        if self.ready(now) < cost + kept:
            return False
        self.permits -= cost
        return True

    def take_ahead(self, wanted: int, now: float) -> int:
        """Permits for a proxy to hold ahead: of what is more than half of a bucket, so that direct claims go on."""
        given = max(0, min(wanted, int(self.ready(now) - self.capacity / 2)))
        self.permits -= given
        return given

    def lend(self, wanted: int, kept: float, now: float) -> int:
        """Permits for another registry, gone here: all but `kept`, which is at most half of what there is."""
        ready = self.ready(now)
        given = max(0, min(wanted, math.ceil(ready - min(kept, ready / 2) - 1e-9), int(ready)))
        self.permits -= given
        return given

    def is_full(self, now: float) -> bool:
        """Whether it holds all that it may."""
        return self.ready(now) >= self.capacity

    def room(self, now: float) -> float:
        """Permits that may be added without going over what this bucket may hold."""
        return max(0.0, self.capacity - self.ready(now))

    def add_borrowed(self, count: int, now: float) -> None:
        """Permits of another registry; what finds no room is gone, so that all stocks stay within the whole."""
        self.permits += min(float(count), self.room(now))
