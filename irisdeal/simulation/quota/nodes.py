"""Registries and proxies of the quota simulation: the production code, each node on its own clock."""

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
MAX_CONTACT_AGE_S = 1.8  # up to which a registry counts as in contact with the store


class Clock:
    """A machine's monotonic clock: `speed` times as fast as virtual time, with an arbitrary offset."""

    def __init__(self, world: Callable[[], float], speed: float, offset: float) -> None:
        self.world, self.speed, self.offset = world, speed, offset

    def now(self) -> float:
        """Return the time of this clock in s."""
        return self.offset + self.speed * self.world()


def _loop(clock: Clock) -> asyncio.AbstractEventLoop:
    """Return the part of an event loop that the quota service uses; here loans are answered immediately."""

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
        """Start it; `recorded`: the list on its disk; `lend_from`: sends a loan request to another registry."""
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
        """Return the s since its last contact with the store; None if it has none that is recent enough."""
        age = self.clock.now() - self.contact_at if self.contact_at is not None else float("inf")
        return age if age <= MAX_CONTACT_AGE_S else None

    def have_contact(self, machines: IssuerList, limits: dict[str, Limit]) -> None:
        """Apply all decisions of the store up to now."""
        now = self.clock.now()
        self.authority.observe_list(machines, now)
        if limits != self.service.issuer.limits:
            self.service.issuer.configure(limits)
        self.contact_at = now

    def claim(self) -> ClaimResult:
        """Claim a permit for one request; borrow from other registries if this one has none."""
        result = self.service.claim(TENANT, False)
        if result is not ClaimResult.EXHAUSTED or not self.service.can_borrow(TENANT):
            return result
        try:
            self.service.borrow(TENANT).send(None)
        except StopIteration:
            return self.service.claim(TENANT, False)
        raise AssertionError("a loan was not answered immediately")


class ProxyNode:
    """One incarnation of a proxy's process."""

    def __init__(self, name: str, incarnation: int, home: int, clock: Clock, limit: Limit) -> None:
        self.name, self.home, self.clock = name, home, clock
        self.prefetched = PrefetchedPermits(incarnation)
        self.throttle = ProbabilisticThrottle(TENANT, limit)
        self.unresponsive_until: dict[str, float] = {}  # registry -> virtual time until which it is skipped
        self.without_permits_until: dict[str, float] = {}
        self.newest_total = -1

    def configure(self, limit: Limit) -> None:
        """Apply another limit: permits granted under a higher one are dropped."""
        before = self.throttle.limit
        if limit.rate_per_s < before.rate_per_s or limit.burst < before.burst:
            self.prefetched.drop(lambda tenant: True)
        self.throttle.limit = limit

    def close(self) -> Usage:
        """End the interval; return this proxy's requests in it."""
        asked, late = self.throttle.close_interval()
        self.prefetched.record_demand(TENANT, asked, INTERVAL_S)
        return Usage(asked, 0.0, 0.0, late)

    def report(self, registry: str, number: int, usage: Usage) -> IntervalReport:
        """Return the report for this registry."""
        return IntervalReport(
            0.0, number, {TENANT: usage}, self.prefetched.build_report(registry, self.clock.now())
        )
