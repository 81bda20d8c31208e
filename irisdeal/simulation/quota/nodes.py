"""Registries and proxies of the quota simulation: the program's own code, on clocks of their own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

from irisdeal.permits.allowance import Limit
from irisdeal.permits.authority import IssuerList, IssuingAuthority
from irisdeal.permits.issuer import ClaimResult
from irisdeal.permits.messages import LendRequest
from irisdeal.permits.prefetched import PrefetchedPermits
from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.messages import Usage
from irisdeal.ratelimit.probabilistic_throttle import ProbabilisticThrottle
from irisdeal.registry.messages import IntervalReport
from irisdeal.registry.quota_service import QuotaService
from irisdeal.runtime.settings import Settings

TENANT = "t"
CONTACT_KEPT_S = 1.8  # that a registry counts itself in contact after it last was


class Clock:
    """A machine's steady clock: `speed` times as fast as virtual time, with any start."""

    def __init__(self, world: Callable[[], float], speed: float, offset: float) -> None:
        self.world, self.speed, self.offset = world, speed, offset

    def now(self) -> float:
        """Return the time of this clock in s."""
        return self.offset + self.speed * self.world()


def _loop(clock: Clock) -> asyncio.AbstractEventLoop:
    """Return as much of an event loop as the quota service uses: loans are answered at once here."""

    def _create_future() -> SimpleNamespace:
        return SimpleNamespace(set_result=lambda value: None)

    return cast(asyncio.AbstractEventLoop, SimpleNamespace(time=clock.now, create_future=_create_future))


class RegistryNode:
    """One incarnation of a registry's process."""

    def __init__(
        self,
        ip: str,
        incarnation: int,
        clock: Clock,
        recorded: IssuerList | None,
        lend_from: Callable[[str, str, LendRequest], int],
    ) -> None:
        """Start it; `recorded`: the list on its disk; `lend_from`: asks another registry on its behalf."""
        self.ip, self.clock = ip, clock
        self.contact_at: float | None = None

        async def _lend(other: str, request: LendRequest) -> int:
            return lend_from(ip, other, request)

        settings = Settings(node_name=ip, role="registry", ip=ip, zone="z", port_range=(1, 9), seed_peers=())
        self.authority = IssuingAuthority(ip)
        if recorded is not None:
            self.authority.restore_recorded(recorded, clock.now())
        self.service = QuotaService(settings, _loop(clock), incarnation, self.authority, self.age, _lend)

    def age(self) -> float | None:
        """Return the age in s of its knowledge of the decisions, as the program counts it.

        None without any.
        """
        age = self.clock.now() - self.contact_at if self.contact_at is not None else float("inf")
        return age if age <= CONTACT_KEPT_S else None

    def have_contact(self, machines: IssuerList, limits: dict[str, Limit]) -> None:
        """Give it all decisions up to now."""
        now = self.clock.now()
        self.authority.observe_list(machines, now)
        if limits != self.service.issuer.limits:
            self.service.issuer.configure(limits)
        self.contact_at = now

    def claim(self) -> ClaimResult:
        """Claim a permit for one request; borrow where there is none here."""
        result = self.service.claim(TENANT, False)
        if result is not ClaimResult.EXHAUSTED or not self.service.can_borrow(TENANT):
            return result
        try:
            self.service.borrow(TENANT).send(None)
        except StopIteration:
            return self.service.claim(TENANT, False)
        raise AssertionError("a loan waited")


class ProxyNode:
    """One incarnation of a proxy's process."""

    def __init__(self, name: str, incarnation: int, home: int, clock: Clock, limit: Limit) -> None:
        self.name, self.home, self.clock = name, home, clock
        self.prefetched = PrefetchedPermits(incarnation)
        self.throttle = ProbabilisticThrottle(TENANT, limit)
        self.unresponsive_until: dict[str, float] = {}  # registries that did not answer, in virtual time
        self.without_permits_until: dict[str, float] = {}
        self.newest_total = -1

    def configure(self, limit: Limit) -> None:
        """Apply another limit: permits granted under a higher one are given up."""
        before = self.throttle.limit
        if limit.rate_per_s < before.rate_per_s or limit.burst < before.burst:
            self.prefetched.drop(lambda tenant: True)
        self.throttle.limit = limit

    def close(self) -> Usage:
        """Return the requests at this proxy in the interval that ends."""
        asked, late = self.throttle.close_interval()
        self.prefetched.record_demand(TENANT, asked, INTERVAL_S)
        return Usage(asked, 0.0, 0.0, late)

    def report(self, registry: str, number: int, usage: Usage) -> IntervalReport:
        """Return the report for this registry."""
        return IntervalReport(
            0.0, number, {TENANT: usage}, self.prefetched.build_report(registry, self.clock.now())
        )
