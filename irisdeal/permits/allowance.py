"""Divides a tenant's limit into a refill rate and stocks of permits, so that no time window exceeds the limit.

The rule (QUOTA): in any window of w seconds at most A = (rate * w + burst) * (1 + excess) + slack requests of a
tenant may be executed, over all proxies together. Each registry issues permits from its own token bucket. With n
issuing registries each bucket refills at 1/n of `refill_per_s` and holds at most 1/n of `ready`; proxies may
prefetch at most 1/n of `reserved` from it. A permit is used within `IN_FLIGHT_S` of its claim or not at all. So
the requests executed in any window are at most

    ready + reserved                              issued before the window and not used yet
    + (w + IN_FLIGHT_S) * MAX_CLOCK_RATIO * refill_per_s     issued for the window itself

and `compute_allowance` divides A so that this sum equals A. The bound does not depend on which processes can
reach each other.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time from the claim of a permit until its request reaches a backend at the latest, including network delays.
IN_FLIGHT_S = 0.4
# Bound of the rate error of monotonic clocks, fast or slow; generous for quartz clocks.
MAX_CLOCK_RATIO = 1.02
# Share of the burst that refills over the window; the rest is stock for a sudden burst.
REFILLED_BURST_SHARE = 0.7
# Share of the stock that the registries hold; the proxies may prefetch the rest.
READY_SHARE = 0.4
# In permits; a bucket that cannot hold one complete permit would never issue any.
MIN_STOCK_PER_ISSUER = 1.5


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's configured rate limit.

    `rate_per_s`: requests per second, 0 for no limit; `burst`: additional requests that may arrive at once.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit at all."""
        return self.rate_per_s > 0


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """The deployment's tolerances for limits.

    `window_s`: length of the sliding window in s; `excess`: tolerated excess as a share of the limit; `slack`:
    tolerated excess in requests.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def allowed(self, limit: Limit) -> float:
        """Return the requests that may be executed in any window, over all proxies together."""
        return (limit.rate_per_s * self.window_s + limit.burst) * (1 + self.excess) + self.slack


@dataclass(frozen=True, slots=True)
class Allowance:
    """One tenant's allowance in one bucket, or in all buckets together; the shares sum to the total.

    `refill_per_s`: permits per second; `ready`: permits that registries may hold; `reserved`: permits that
    proxies may prefetch.
    """

    refill_per_s: float
    ready: float
    reserved: float

    @property
    def stock(self) -> float:
        """All permits that may be held at one moment, by registries and proxies together."""
        return self.ready + self.reserved


def refill_span_s(rule: QuotaRule) -> float:
    """Return the longest time in s, on any clock, whose refill may be used within one window."""
    return (rule.window_s + IN_FLIGHT_S) * MAX_CLOCK_RATIO


def compute_allowance(rule: QuotaRule, limit: Limit, issuers: int) -> Allowance:
    """Return the allowance of all buckets of a tenant together, if `issuers` registries issue permits."""
    allowed = rule.allowed(limit)
    refill_s = refill_span_s(rule)
    min_stock = min(allowed / 2, MIN_STOCK_PER_ISSUER * issuers)
    desired_refill = limit.rate_per_s + REFILLED_BURST_SHARE * limit.burst / rule.window_s
    refill = min(desired_refill, (allowed - min_stock) / refill_s)
    stock = allowed - refill * refill_s
    # Each bucket must be able to hold at least one complete permit.
    ready = min(stock, max(READY_SHARE * stock, float(issuers)))
    return Allowance(refill, ready, stock - ready)
