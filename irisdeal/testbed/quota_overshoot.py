"""How far each tenant exceeded its quota over all front doors together, by the backends' request logs. Pure.

A quota of `rate` units a second with a burst of `burst` allows `burst + rate x (t - s)` units in each span from
s to t. The overshoot of a tenant is the most by which the units first forwarded in any span exceed that. It is
computed in one pass: a bucket that fills at the rate, holds the burst at most and may go below zero is lowest
exactly by the overshoot (the (sigma, rho) bound of Cruz 1991, read backwards).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass

from irisdeal.testbed.request_log import Attempt, RequestLog
from irisdeal.testbed.scenario import Scenario

REFUSED_CAPACITY = 0.5  # part of a burst that a tenant holds at least where a refusal counts as one with room


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """One customer's use. `allowed` is burst + rate x the run; units; `worst_at` in µs."""

    plan: str
    customer: int
    sent: float
    allowed: float
    overshoot: float
    worst_at: int
    front_doors: int  # through which its requests went on

    @property
    def fraction(self) -> float:
        """Its overshoot as a part of what was allowed in the whole run."""
        return self.overshoot / self.allowed if self.allowed else 0.0


def overshoot(sent: Iterable[tuple[int, float]], rate: float, burst: float) -> tuple[float, int]:
    """Compute the most units over the quota in any span, and when (µs); 0 and 0 where it was kept.

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
    """Every customer of which something was forwarded, the largest overshoot first."""
    firsts: dict[str, Attempt] = {}
    for attempt in sorted(request_log.attempts, key=lambda a: a.last_byte):
        firsts.setdefault(attempt.trace, attempt)
    by_tenant: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in firsts.values():
        by_tenant[attempt.plan, attempt.customer].append(attempt)
    plans = {plan.name: plan for plan in scenario.plans}
    made = []
    for (name, customer), attempts in by_tenant.items():
        plan = plans[name]
        burst = scenario.burst(plan)
        worst, at = overshoot([(a.last_byte, a.units) for a in attempts], plan.rate, burst)
        made.append(
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
    return sorted(made, key=lambda use: (-use.overshoot, use.plan, use.customer))


@dataclass(frozen=True, slots=True)
class Refusals:
    """Tries that were refused, and those of them whose tenant had room; `asked` are all client attempts."""

    asked: int = 0
    refused: int = 0
    within_quota: int = 0

    @property
    def fraction(self) -> float:
        """The rejections with quota left, as a fraction of all attempts."""
        return self.within_quota / self.asked if self.asked else 0.0


def refusals(request_log: RequestLog, scenario: Scenario, customers: Container[int]) -> Refusals:
    """Rejections of these customers' attempts, and those whose tenant had `REFUSED_CAPACITY` of its burst left.

    What was left is by the backends' request logs: a request that has not arrived yet counts as not drawn.
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
    for now, name, customer, units, away in sorted(steps):
        if customer not in customers:
            continue
        plan, burst = plans[name], scenario.burst(plans[name])
        level, at = levels.get((name, customer), (burst, now))
        level = min(burst, level + plan.rate * (now - at) / 1e6)
        if away:
            refused += 1
            within_quota += level >= max(units, REFUSED_CAPACITY * burst)
        levels[name, customer] = (level if away else level - units), now
    return Refusals(sum(t.customer in customers for t in request_log.client_attempts), refused, within_quota)
