"""A registry's part in the quotas: permits for requests and proxies, loans between registries, interval totals."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from irisdeal.config_store.configuration.cached_reading import Configuration
from irisdeal.permits.allowance import Limit, QuotaRule
from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.issuer import ClaimResult, PermitIssuer
from irisdeal.permits.messages import LendRequest
from irisdeal.placement.load_reports import key
from irisdeal.ratelimit.interval_clock import INTERVAL_S, SharedIntervalClock
from irisdeal.ratelimit.interval_counter import IntervalCounter, RegistrySum
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.messages import IntervalReply, IntervalReport, IntervalSum
from irisdeal.rpc.calls import process_name
from irisdeal.runtime.settings import Settings

SUM_AT = 0.45  # of an interval, when the sum of the one before is told: proxies have told theirs by 0.3
LEND_S = 0.04  # for another registry to lend: the proxy that asked waits for 0.06
FRESH_SUM_S = 3 * INTERVAL_S  # that another registry's sum says whether it has permits to lend
MOST_LENT = 64  # permits in one loan

Lend = Callable[
    [str, LendRequest], Awaitable[int]
]  # asks a registry; how many it lent, 0 where it did not answer
Age = Callable[[], float | None]  # s, of the knowledge of what is decided; None where there is no contact


def quota_rule(settings: Settings) -> QuotaRule:
    """The deployment's bounds of quotas."""
    bound = settings.bound
    return QuotaRule(bound("quota_window_s", 5.0), bound("quota_excess", 0.1), bound("quota_slack", 20.0))


class QuotaService:
    """The quotas of one registry's process."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        incarnation: int,
        authority: IssuingAuthority,
        age: Age,
        lend_from: Lend,
    ) -> None:
        """`incarnation`: of this process."""
        self.ip, self.loop, self.age, self.lend_from = settings.ip, loop, age, lend_from
        self.issuer = PermitIssuer(incarnation, quota_rule(settings), authority, loop.time())
        self.edge = SharedIntervalClock(loop.time())
        self.counter = IntervalCounter(settings.ip)
        self.borrowing: dict[str, asyncio.Future[None]] = {}
        self.asked_for_loan: dict[
            tuple[str, str], float
        ] = {}  # tenant and registry -> when it was asked last

    def configure(self, configuration: Configuration) -> None:
        """The tenants' limits, as the operator set them last."""
        self.issuer.configure(
            {tenant.name: Limit(tenant.rate_per_s, tenant.burst) for tenant in configuration.tenants or ()}
        )

    # Permits

    def claim(self, tenant: str, is_late: bool) -> ClaimResult:
        """A permit for a request that is to run now."""
        return self.issuer.claim(tenant, self.age(), self.loop.time(), is_late)

    def can_borrow(self, tenant: str) -> bool:
        """Whether another registry is likely to lend, or is being asked."""
        return tenant in self.borrowing or self._lender(tenant) is not None

    def _lender(self, tenant: str) -> str | None:
        """The registry that is likely to have the most permits of this tenant; None where none is."""
        now = self.loop.time()
        spare = {
            registry: self._spare(tenant, registry, told, now)
            for registry, told in self.counter.sums.items()
            if registry != self.ip and now - told.received_at < FRESH_SUM_S
        }
        lender = max(spare, key=lambda registry: spare[registry], default=None)
        return lender if lender is not None and spare[lender] >= 1.0 else None

    def _spare(self, tenant: str, registry: str, told: RegistrySum, now: float) -> float:
        """Permits that another registry is likely to have: by its last sum, or none after our last ask, and what it
        refills by beyond its own proxies' asks since then."""
        bucket = self.issuer.bucket(tenant, now)  # its refill and capacity are as ours
        usage = told.usages.get(tenant)
        if usage is None:  # nobody asks there
            usage = Usage(ready=bucket.capacity)
        asked_at = self.asked_for_loan.get((tenant, registry), float("-inf"))
        known_at, ready = (told.received_at, usage.ready) if told.received_at > asked_at else (asked_at, 0.0)
        unused_per_s = max(0.0, bucket.refill_per_s - usage.requests / INTERVAL_S)
        return min(bucket.capacity, ready + unused_per_s * (now - known_at))

    async def borrow(self, tenant: str) -> None:
        """Take over permits of another registry; who asks meanwhile waits for the same ones."""
        if tenant in self.borrowing:
            await asyncio.shield(self.borrowing[tenant])
            return
        lender = self._lender(tenant)
        if lender is None:
            return
        done: asyncio.Future[None] = self.loop.create_future()
        self.borrowing[tenant] = done
        try:
            await self._borrow_from(lender, tenant)
        finally:
            del self.borrowing[tenant]
            done.set_result(None)

    async def _borrow_from(self, lender: str, tenant: str) -> None:
        asked_at = self.loop.time()
        self.asked_for_loan[tenant, lender] = asked_at
        room = int(self.issuer.bucket(tenant, asked_at).free_capacity(asked_at))
        wanted = max(1, min(MOST_LENT, room))
        lent = await self.lend_from(lender, LendRequest(tenant, wanted))
        now = self.loop.time()
        is_in_time = now - asked_at <= 2 * LEND_S  # else we stood still, and the lender has refilled
        if (
            lent > 0
            and is_in_time
            and self.issuer.may_issue(self.age(), now)
            and self.issuer.is_limited(tenant)
        ):
            self.issuer.bucket(tenant, now).add_borrowed(min(lent, wanted), now)

    def lend(self, request: LendRequest) -> int:
        """Permits given to another registry, gone here: all but what our own proxies ask for in an interval, and at
        most half of that."""
        own = self.counter.sums.get(self.ip)
        usage = own.usages.get(request.tenant) if own is not None else None
        asked = usage.requests if usage is not None else 0.0
        wanted = min(request.wanted, MOST_LENT)
        return self.issuer.lend(request.tenant, wanted, asked, self.age(), self.loop.time())

    # Intervals

    def report(self, peer: str, report: IntervalReport) -> IntervalReply:
        """A proxy's report; what it may read."""
        now = self.loop.time()
        self.edge.observe_position(report.position, now)
        if report.number >= 0:
            self.counter.receive_report(key(process_name(peer)), report.number, report.usages, now)
        reserve = self.issuer.handle_report(report.held, self.age(), now)
        total = self.counter.total
        told = {tenant: total.usages[tenant] for tenant in report.usages if tenant in total.usages}
        return IntervalReply(round(self.edge.position(now), 4), total.proxies, total.number, reserve, told)

    def hear_sum(self, told: IntervalSum) -> None:
        """Another registry's sum."""
        now = self.loop.time()
        self.edge.observe_position(told.position, now)
        self.counter.receive_sum(told.registry, told.number, told.usages, told.proxies, now)

    async def intervals(self, tell: Callable[[IntervalSum], None]) -> None:
        """Each interval: our sum of the one before, a while later; its total, once the running one is over."""
        number = self.edge.number(self.loop.time())
        while True:
            await asyncio.sleep(self.edge.seconds_until(number, self.loop.time()) + SUM_AT * INTERVAL_S)
            tell(self.close(number - 1))
            await asyncio.sleep(self.edge.seconds_until(number + 1, self.loop.time()))
            self.finish(number - 1)
            number = max(number + 1, self.edge.number(self.loop.time()))

    def close(self, number: int) -> IntervalSum:
        """Our sum of an interval that is over, for the other registries."""
        now = self.loop.time()
        forgotten = [key_ for key_, asked_at in self.asked_for_loan.items() if now - asked_at > FRESH_SUM_S]
        for key_ in forgotten:
            del self.asked_for_loan[key_]
        own = self.counter.close_interval(number, now)
        if self.issuer.may_issue(self.age(), now):
            for tenant, count in self._ready_to_tell(own.usages.keys(), now).items():
                own.usages.setdefault(tenant, Usage()).ready = round(count, 1)
        return IntervalSum(
            self.ip, round(self.edge.position(now), 4), number, own.usages, sorted(own.proxies)
        )

    def _ready_to_tell(self, asked: Iterable[str], now: float) -> dict[str, float]:
        """Permits that are ready here, of tenants that were asked for; and of others whose buckets are not
        full, as a registry that says nothing of a tenant is taken to have a full one."""
        ready = self.issuer.partly_used(now)
        for tenant in asked:
            if self.issuer.is_limited(tenant):
                ready[tenant] = self.issuer.ready(tenant, now)
        return ready

    def finish(self, number: int) -> None:
        """The total of an interval is finished."""
        self.counter.finish_interval(number, self.loop.time())
