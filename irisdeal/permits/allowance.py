"""What a tenant's limit allows, divided into a refill rate and stocks, so that no window holds more.

The rule (QUOTA): in no window of w s may more than A = (rate w + burst)(1 + excess) + slack requests of a
tenant run, over all proxies. Permits are issued by the registries of the core, each from a bucket of its own.
With n issuing registries each bucket refills at 1/n of `refill_per_s` and holds at most 1/n of `ready`; at most
1/n of `reserved` may be held ahead by proxies. A permit that is claimed is used within `IN_FLIGHT_S` or not at
all. So in any window what runs is at most

    ready + reserved                    what was issued before the window and is not used yet
    + (w + IN_FLIGHT_S) CLOCK_FAST refill_per_s     what is issued for it

and `allowance` divides A in such a way that this sum is A. Nothing in it depends on who hears whom.
"""

from __future__ import annotations

from dataclasses import dataclass

IN_FLIGHT_S = (
    0.4  # from the claim of a permit to the last moment at which its request may be sent, with its ways
)
CLOCK_FAST = 1.02  # a steady clock runs at most so much too fast or too slow
# of the burst that refills over the window; the rest is stock for the first moment of a flood
BURST_IN_REFILL = 0.7
READY_SHARE = 0.4  # of the stock that registries hold; proxies hold the rest ahead
LEAST_STOCK_PER_ISSUER = 1.5  # permits: a bucket that cannot hold one whole permit never issues any


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's limit as the operator set it: requests a second, and requests on top. No limit where the rate
    is 0."""

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit at all."""
        return self.rate_per_s > 0


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """The deployment's bounds of quotas; `window_s` in s, `excess` a share, `slack` in requests."""

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def allowed(self, limit: Limit) -> float:
        """Requests that may run in any window, all proxies together."""
        return (limit.rate_per_s * self.window_s + limit.burst) * (1 + self.excess) + self.slack


@dataclass(frozen=True, slots=True)
class Allowance:
    """One tenant's allowance in one bucket, or in all of them together; the parts of all sum to the whole.

    `refill_per_s`: permits a second; `ready`: permits that registries may hold; `reserved`: that proxies may;
    `extra`: that proxies may on top, while the refill is slower for it.
    """

    refill_per_s: float
    ready: float
    reserved: float


def allowance(rule: QuotaRule, limit: Limit, issuers: int) -> Allowance:
    """What all buckets of a tenant may hold and refill by together, where `issuers` registries issue."""
    allowed = rule.allowed(limit)
    seconds = (rule.window_s + IN_FLIGHT_S) * CLOCK_FAST
    least_stock = min(allowed / 2, LEAST_STOCK_PER_ISSUER * issuers)
    wanted = limit.rate_per_s + BURST_IN_REFILL * limit.burst / rule.window_s
    refill = min(wanted, (allowed - least_stock) / seconds)
    stock = allowed - refill * seconds
    ready = min(stock, max(READY_SHARE * stock, float(issuers)))  # a bucket holds a whole permit at least
    return Allowance(refill, ready, stock - ready)
