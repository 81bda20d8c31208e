"""Computes by how much tenants exceeded their quotas over all front doors, from the backends' records. Pure.

A quota of `rate` units a second with a burst of `burst` allows `burst + rate x (t - s)` units in each span from
s to t. The overshoot of a tenant is the largest excess over that in any span, counting the first attempt of each
request. It is computed in one pass: it equals the largest debt of a token bucket that fills at the rate up to the
burst and may go below zero (the inverse of the (sigma, rho) bound of Cruz 1991).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass

from irisdeal.testbed.request_log import Attempt, RequestLog
from irisdeal.testbed.scenario import Scenario

MIN_REMAINING_RATIO = 0.5  # share of the burst that must remain for a rejection to count as within the quota


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """One customer's usage in units; `allowed` is burst + rate x length of the run; `worst_at` in µs."""

    plan: str
    customer: int
    sent: float
    allowed: float
    overshoot: float
    worst_at: int
    front_doors: int  # number of front doors that forwarded its requests

    @property
    def fraction(self) -> float:
        """The overshoot as a fraction of the units allowed in the run."""
        return self.overshoot / self.allowed if self.allowed else 0.0


def overshoot(sent: Iterable[tuple[int, float]], rate: float, burst: float) -> tuple[float, int]:
    """Return the largest excess over the quota in any span, in units, and its time (µs); 0 and 0 if there is none.

    `sent` is (time in µs, units), in order of time; `rate` in units a second.
    """
    level, last, worst, at = burst, None, 0.0, 0
    for now, units in sent:
        if last is not None:
            level = min(burst, level + rate * (now - last) / 1e6)
        last = now
        level -= units
        if -level > worst:
            worst, at = -level, now
    return worst, at


def tenant_usage(request_log: RequestLog, scenario: Scenario) -> list[TenantUsage]:
    """Return the usage of every customer with forwarded requests, the largest overshoot first."""
    firsts: dict[str, Attempt] = {}
    for attempt in sorted(request_log.attempts, key=lambda a: a.last_byte):
        firsts.setdefault(attempt.trace, attempt)
    by_tenant: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in firsts.values():
        by_tenant[attempt.plan, attempt.customer].append(attempt)
    plans = {plan.name: plan for plan in scenario.plans}
    usage = []
    for (name, customer), attempts in by_tenant.items():
        plan = plans[name]
        burst = scenario.burst(plan)
        worst, at = overshoot([(a.last_byte, a.units) for a in attempts], plan.rate, burst)
        usage.append(
            TenantUsage(
                name,
                customer,
                sum(a.units for a in attempts),
                burst + plan.rate * scenario.seconds,
                worst,
                at,
                len({a.front_door for a in attempts}),
            )
        )
    return sorted(usage, key=lambda use: (-use.overshoot, use.plan, use.customer))


@dataclass(frozen=True, slots=True)
class Refusals:
    """Counts of client attempts, of rejected ones, and of rejected ones whose tenant had quota left."""

    asked: int = 0
    refused: int = 0
    within_quota: int = 0

    @property
    def fraction(self) -> float:
        """The rejections with quota left, as a fraction of all attempts."""
        return self.within_quota / self.asked if self.asked else 0.0


def refusals(request_log: RequestLog, scenario: Scenario, customers: Container[int]) -> Refusals:
    """Count rejections of these customers' attempts, and those with `MIN_REMAINING_RATIO` of the burst left.

    The remaining quota is computed from the backends' records, so requests in transit do not count as used.
    """
    sends: dict[str, Attempt] = {}
    for attempt in sorted(request_log.attempts, key=lambda a: a.last_byte):
        sends.setdefault(attempt.trace, attempt)
    plans = {plan.name: plan for plan in scenario.plans}
    steps = [(a.last_byte, a.plan, a.customer, a.units, False) for a in sends.values()]
    steps += [
        (t.answers[0].at, t.plan, t.customer, t.units, True)
        for t in request_log.client_attempts
        if t.answers and t.answers[0].status in (429, 503) and t.trace not in sends
    ]
    levels: dict[tuple[str, int], tuple[float, int]] = {}
    refused = within_quota = 0
    for now, name, customer, units, is_rejection in sorted(steps):
        if customer not in customers:
            continue
        plan, burst = plans[name], scenario.burst(plans[name])
        level, at = levels.get((name, customer), (burst, now))
        level = min(burst, level + plan.rate * (now - at) / 1e6)
        if is_rejection:
            refused += 1
            within_quota += level >= max(units, MIN_REMAINING_RATIO * burst)
        levels[name, customer] = (level if is_rejection else level - units), now
    return Refusals(sum(t.customer in customers for t in request_log.client_attempts), refused, within_quota)
