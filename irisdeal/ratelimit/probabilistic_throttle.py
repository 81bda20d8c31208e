"""Probabilistic load shedding at one proxy, for requests of a tenant that are far beyond its limit.

A new request is rejected with probability (requests - headroom) / requests, where `requests` counts all proxies'
requests of the last finished interval, and the headroom is the rate and the unused part of the burst. Requests
that arrive after their latency target has passed get the headroom that the others leave. The probability is
unchanged while no total arrives. As the total is one interval old, shedding alone would admit the first second
of an overload; each admitted request still has to claim a permit at a registry (`irisdeal/permits/`), which
enforces the limit. Shedding only saves the calls for requests that would be rejected there.
"""

from __future__ import annotations

from irisdeal.permits.allowance import Limit
from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.messages import Usage

# Extra requests admitted per interval, as those of a small tenant arrive in bursts.
SPARE_REQUESTS = 3.0
# Factor on the headroom, so that the permits are the binding limit and shedding only saves calls.
HEADROOM_FACTOR = 1.7


def rejection_probability(requests: float, headroom: float) -> float:
    """Return (requests - headroom) / requests, at least 0."""
    return max(0.0, (requests - headroom) / requests) if requests > 0 else 0.0


class ProbabilisticThrottle:
    """One tenant's load shedder at one proxy; it sheds nothing if the limit's rate is 0."""

    def __init__(self, tenant: str, limit: Limit) -> None:
        self.tenant, self.limit = tenant, limit
        self.requests = self.late = 0
        self.rejection = self.rejection_late = self.total_requests = 0.0

    def close_interval(self) -> tuple[int, int]:
        """Return the requests at this proxy in the ending interval, and how many of them were late."""
        requests, late = self.requests, self.late
        self.requests = self.late = 0
        return requests, late

    def update_total(self, total: Usage) -> None:
        """Apply the usage at all proxies in the last finished interval, and the permits that were left."""
        headroom = HEADROOM_FACTOR * (self.limit.rate_per_s * INTERVAL_S + total.ready) + SPARE_REQUESTS
        on_time = total.requests - total.late
        self.rejection = rejection_probability(on_time, headroom)
        self.rejection_late = rejection_probability(total.late, max(0.0, headroom - on_time))
        self.total_requests = total.requests

    def admit(self, draw: float, is_late: bool = False) -> bool:
        """Count a request; return whether it is admitted. `draw`: a uniform random number from 0 to 1."""
        self.requests += 1
        self.late += is_late
        return not self.limit.is_limited or draw >= (self.rejection_late if is_late else self.rejection)

    def is_over_rate(self) -> bool:
        """Whether all proxies together received more than the rate, so that an immediate retry would fail."""
        return self.total_requests > self.limit.rate_per_s * INTERVAL_S
