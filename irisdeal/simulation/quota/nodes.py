"""Registries and proxies of the quota simulation: the production code, each node on its own clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
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


@dataclass(frozen=True, slots=True)
class TenantConfiguration:
    """One version of the tenants' limits, and the tenant that each key belongs to."""

    number: int
    limits: Mapping[str, Limit]
    owners: Mapping[str, str]


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

    def have_contact(self, machines: IssuerList, limits: Mapping[str, Limit]) -> None:
        """Apply all decisions of the store up to now."""
        now = self.clock.now()
        self.authority.observe_list(machines, now)
        if limits != self.service.issuer.limits:
            self.service.issuer.configure(limits)
        self.contact_at = now

    def claim(self, tenant: str) -> ClaimResult:
        """Claim a permit for one request; borrow from other registries if this one has none."""
        result = self.service.claim(tenant, False)
        if result is not ClaimResult.EXHAUSTED or not self.service.can_borrow(tenant):
            return result
        try:
            self.service.borrow(tenant).send(None)
        except StopIteration:
            return self.service.claim(tenant, False)
        raise AssertionError("a loan was not answered immediately")


class ProxyNode:
    """One incarnation of a proxy's process."""

    def __init__(
        self, name: str, incarnation: int, home: int, clock: Clock, configuration: TenantConfiguration
    ) -> None:
        self.name, self.home, self.clock = name, home, clock
        self.prefetched = PrefetchedPermits(incarnation)
        self.configuration = configuration
        self.throttles: dict[str, ProbabilisticThrottle] = {}
        self._update_throttles()
        self.unresponsive_until: dict[str, float] = {}  # registry -> virtual time until which it is skipped
        self.without_permits_until: dict[str, float] = {}
        self.newest_total = -1

    def _update_throttles(self) -> None:
        for tenant, limit in self.configuration.limits.items():
            throttle = self.throttles.get(tenant)
            if throttle is None:
                self.throttles[tenant] = ProbabilisticThrottle(tenant, limit)
            else:
                throttle.limit = limit

    def configure(self, configuration: TenantConfiguration) -> None:
        """Apply another configuration: permits granted under a higher limit, or of removed tenants, are dropped."""
        before, after = self.configuration.limits, configuration.limits
        self.configuration = configuration
        self.prefetched.drop(lambda tenant: _is_lower(before.get(tenant), after.get(tenant)))
        self._update_throttles()

    def tenant_of(self, key: str) -> str | None:
        """Return the tenant of a key by the configuration in force; None if there is none."""
        tenant = self.configuration.owners.get(key)
        return tenant if tenant in self.configuration.limits else None

    def close(self) -> dict[str, Usage]:
        """End the interval; return this proxy's requests in it, by tenant."""
        usages = {}
        for tenant, throttle in self.throttles.items():
            asked, late = throttle.close_interval()
            if throttle.limit.is_limited:
                self.prefetched.record_demand(tenant, asked, INTERVAL_S)
            usages[tenant] = Usage(asked, 0.0, 0.0, late)
        return usages

    def report(self, registry: str, number: int, usages: dict[str, Usage]) -> IntervalReport:
        """Return the report for this registry."""
        return IntervalReport(0.0, number, usages, self.prefetched.build_report(registry, self.clock.now()))


def _is_lower(before: Limit | None, after: Limit | None) -> bool:
    if before is None or after is None:
        return True
    return after.rate_per_s < before.rate_per_s or after.burst < before.burst
