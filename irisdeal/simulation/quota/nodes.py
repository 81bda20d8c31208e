"""Registries and proxies of the quota world: the real issuing, authority and held permits, on clocks of their
own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

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
    """A machine's steady clock: `speed` times as fast as the world's, from any start."""

    def __init__(self, world: Callable[[], float], speed: float, offset: float) -> None:
        self.world, self.speed, self.offset = world, speed, offset

    def now(self) -> float:
        """s of this clock."""
        return self.offset + self.speed * self.world()


def _loop(clock: Clock) -> asyncio.AbstractEventLoop:
    """As much of a loop as the quota service asks for: loans are answered at once here."""

    def create_future() -> Any:
        return SimpleNamespace(set_result=lambda value: None)

    return cast(asyncio.AbstractEventLoop, SimpleNamespace(time=clock.now, create_future=create_future))


class RegistryNode:
    """One life of a registry's process."""

    def __init__(
        self,
        ip: str,
        incarnation: int,
        clock: Clock,
        recorded: IssuerList | None,
        lend_from: Callable[[str, str, LendRequest], int],
    ) -> None:
        """`recorded`: what is on the machine's disk; `lend_from`: asks another registry on behalf of this one."""
        self.ip, self.clock = ip, clock
        self.contact_at: float | None = None

        async def lend(other: str, request: LendRequest) -> int:
            return lend_from(ip, other, request)

        settings = Settings(node_name=ip, role="registry", ip=ip, zone="z", port_range=(1, 9), seed_peers=())
        self.authority = IssuingAuthority(ip)
        if recorded is not None:
            self.authority.restore_recorded(recorded, clock.now())
        self.service = QuotaService(settings, _loop(clock), incarnation, self.authority, self.age, lend)

    def age(self) -> float | None:
        """Of its knowledge of what is decided, as the program counts it."""
        age = self.clock.now() - self.contact_at if self.contact_at is not None else float("inf")
        return age if age <= CONTACT_KEPT_S else None

    def have_contact(self, machines: IssuerList, limits: dict[str, Limit]) -> None:
        """It knows all that is decided by now."""
        now = self.clock.now()
        self.authority.observe_list(machines, now)
        if limits != self.service.issuer.limits:
            self.service.issuer.configure(limits)
        self.contact_at = now

    def claim(self) -> ClaimResult:
        """A permit for one request; borrowed where there is none here."""
        result = self.service.claim(TENANT, False)
        if result is not ClaimResult.EXHAUSTED or not self.service.can_borrow(TENANT):
            return result
        try:
            self.service.borrow(TENANT).send(None)
        except StopIteration:
            return self.service.claim(TENANT, False)
        raise AssertionError("a loan waited")


class ProxyNode:
    """One life of a proxy's process."""

    def __init__(self, name: str, incarnation: int, home: int, clock: Clock, limit: Limit) -> None:
        self.name, self.home, self.clock = name, home, clock
        self.held = PrefetchedPermits(incarnation)
        self.companion = ProbabilisticThrottle(TENANT, limit)
        self.silent_until: dict[str, float] = {}  # registries that did not answer, by the world's clock
        self.without_permits_until: dict[str, float] = {}
        self.newest_total = -1

    def configure(self, limit: Limit) -> None:
        """Another limit is in force here: what was granted under a higher one is given up."""
        before = self.companion.limit
        if limit.rate_per_s < before.rate_per_s or limit.burst < before.burst:
            self.held.drop(lambda tenant: True)
        self.companion.limit = limit

    def close(self) -> Usage:
        """What was asked here in the interval that ends."""
        asked, late = self.companion.close_interval()
        self.held.record_demand(TENANT, asked, INTERVAL_S)
        return Usage(asked, 0.0, 0.0, late)

    def report(self, registry: str, number: int, usage: Usage) -> IntervalReport:
        """For this registry."""
        return IntervalReport(
            0.0, number, {TENANT: usage}, self.held.build_report(registry, self.clock.now())
        )
