"""Divides a tenant's limit into a refill rate and stocks, so that no time window exceeds the limit.

The rule (QUOTA): in no window of w seconds may more than A = (rate * w + burst) * (1 + excess) + slack
requests of a tenant run, over all proxies together. Permits are issued by the registries, each from a token
bucket of its own. With n issuing registries each bucket refills at 1/n of `refill_per_s` and holds at most
1/n of `ready`; proxies may prefetch at most 1/n of `reserved` from it. A permit is used within `IN_FLIGHT_S`
of its claim or not at all. So the requests that run in any window are at most

    ready + reserved                              issued before the window and not used yet
    + (w + IN_FLIGHT_S) * CLOCK_FAST * refill_per_s     issued for the window itself

and `allowance` divides A so that this sum equals A. The bound does not depend on which processes can reach
each other.
"""

from __future__ import annotations

from dataclasses import dataclass

# s from the claim of a permit to the last moment at which its request may reach a backend, network delays
# included.
IN_FLIGHT_S = 0.4
# A steady clock runs at most this factor too fast or too slow: a generous bound for quartz clocks.
CLOCK_FAST = 1.02
# Share of the burst that refills over the window; the rest is stock for the first moment of a flood.
BURST_IN_REFILL = 0.7
# Share of the stock that the registries hold; the proxies may prefetch the rest.
READY_SHARE = 0.4
# Permits: a bucket that cannot hold one complete permit never issues any.
MIN_STOCK_PER_ISSUER = 1.5


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's rate limit as the operator set it.

    `rate_per_s`: requests a second, 0 for no limit; `burst`: requests that may come on top at once.
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

    `window_s`: length of the sliding window in s; `excess`: tolerated share on top; `slack`: tolerated
    requests on top.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def allowed(self, limit: Limit) -> float:
        """Return the requests that may run in any window, over all proxies together."""
        return (limit.rate_per_s * self.window_s + limit.burst) * (1 + self.excess) + self.slack


@dataclass(frozen=True, slots=True)
class Allowance:
    """One tenant's allowance in one bucket, or in all buckets together; the shares sum to the total.

    `refill_per_s`: permits a second; `ready`: permits that registries may hold; `reserved`: permits that
    proxies may hold ahead of requests.
    """

    refill_per_s: float
    ready: float
    reserved: float


def allowance(rule: QuotaRule, limit: Limit, issuers: int) -> Allowance:
    """Return what all buckets of a tenant may hold and refill by together, where `issuers` registries issue."""
    allowed = rule.allowed(limit)
    seconds = (rule.window_s + IN_FLIGHT_S) * CLOCK_FAST
    min_stock = min(allowed / 2, MIN_STOCK_PER_ISSUER * issuers)
    wanted = limit.rate_per_s + BURST_IN_REFILL * limit.burst / rule.window_s
    refill = min(wanted, (allowed - min_stock) / seconds)
    stock = allowed - refill * seconds
    ready = min(
        stock, max(READY_SHARE * stock, float(issuers))
    )  # each bucket can hold at least one complete permit
    return Allowance(refill, ready, stock - ready)
