"""Divides a tenant's concurrency cap among the proxies by their demand.

The rule is that of Padala et al., with each tenant as a class. If the total demand is within the cap, a proxy
gets its demand and an even share of the unused rest; if it exceeds the cap, a share of the cap in proportion to
its demand. In both cases the shares of proxies that use the same total sum to the cap. Time and totals are
arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# In requests; absorbs rounding errors before a share is rounded up.
ROUNDING_TOLERANCE = 1e-9
# Shortest interval for a mean, to avoid a division by zero.
MIN_INTERVAL_S = 1e-3


def demand_share(demand: float, total: float, cap: float, proxies: int) -> float:
    """Return one proxy's share of `cap`, in the cap's unit.

    `demand`: of this proxy; `total`: of all proxies, in the same unit; 0 if unknown, which gives an even share.
    """
    proxies = max(1, proxies)
    if total <= 0:
        return cap / proxies
    demand = min(max(0.0, demand), total)
    if total <= cap:
        return demand + (cap - total) / proxies
    return cap * demand / total


def concurrency_bound(demand: float, total: float, cap: float, proxies: int) -> int:
    """Return the requests of a tenant that a proxy may have in flight: its share, rounded up, at least one."""
    return max(1, math.ceil(demand_share(demand, total, cap, proxies) - ROUNDING_TOLERANCE))


@dataclass(slots=True)
class TimeWeightedMean:
    """The time-weighted mean of a count over one interval.

    `since`: start of the interval; `level`: the current count; `area`: integral of the level since the start;
    `changed_at`: time of the last change. Times are in s.
    """

    since: float
    level: int = 0
    area: float = 0.0
    changed_at: float = 0.0

    def add(self, change: int, now: float) -> None:
        """Change the level by `change` as of `now`."""
        self.area += self.level * (now - max(self.changed_at, self.since))
        self.changed_at = now
        self.level += change

    def close_interval(self, now: float) -> float:
        """Return the mean of the interval that ends now, and start the next one."""
        self.add(0, now)
        length = max(MIN_INTERVAL_S, now - self.since)
        mean = self.area / length
        self.since, self.area = now, 0.0
        return mean
