"""Quotas at one registry: permits for requests and proxies, loans between registries, totals per interval."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from irisdeal.config_store.configuration.model import Configuration
from irisdeal.permits.allowance import Limit, QuotaRule
from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.issuer import ClaimResult, PermitIssuer
from irisdeal.permits.messages import LendRequest
from irisdeal.placement.load_reports import short_key
from irisdeal.ratelimit.interval_clock import INTERVAL_S, SharedIntervalClock
from irisdeal.ratelimit.interval_counter import IntervalCounter, RegistrySum
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.messages import IntervalReply, IntervalReport, IntervalSum
from irisdeal.rpc.calls import process_name
from irisdeal.runtime.settings import Settings

# Share of an interval after which the sum of the one before is sent: proxies have reported theirs by 0.3.
SUM_SEND_RATIO = 0.45
LEND_TIMEOUT_S = 0.04  # of a call to another registry to lend: the proxy that asked waits for 0.06
FRESH_SUM_S = 3 * INTERVAL_S  # that another registry's sum says whether it has permits to lend
MAX_LOAN = 64  # permits in one loan

# Asks a registry to lend; returns how many permits it lent, 0 where it did not answer.
Lend = Callable[[str, LendRequest], Awaitable[int]]
# Returns the age of the store's state that is known here, s; None where there is no contact.
Age = Callable[[], float | None]

# Defaults of a deployment's bounds of quotas
QUOTA_WINDOW_S = 5.0  # over which a tenant's requests are judged
QUOTA_EXCESS = 0.1  # share of the limit by which a window may exceed it
QUOTA_SLACK = 20.0  # requests by which a window may exceed it besides


def quota_rule(settings: Settings) -> QuotaRule:
    """Return the deployment's bounds of quotas."""
    bound = settings.bound
    return QuotaRule(
        bound("quota_window_s", QUOTA_WINDOW_S),
        bound("quota_excess", QUOTA_EXCESS),
        bound("quota_slack", QUOTA_SLACK),
    )


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
        self.clock = SharedIntervalClock(loop.time())
        self.counter = IntervalCounter(settings.ip)
        self.borrowing: dict[str, asyncio.Future[None]] = {}  # by tenant, while another registry is asked
        self.asked_for_loan: dict[
            tuple[str, str], float
        ] = {}  # tenant and registry -> when it was last asked

    def configure(self, configuration: Configuration) -> None:
        """Take the tenants' limits of a configuration."""
        self.issuer.configure(
            {tenant.name: Limit(tenant.rate_per_s, tenant.burst) for tenant in configuration.tenants or ()}
        )

    # Permits

    def claim(self, tenant: str, is_late: bool) -> ClaimResult:
        """Claim a permit for a request that is to run now."""
        return self.issuer.claim(tenant, self.age(), self.loop.time(), is_late)

    def can_borrow(self, tenant: str) -> bool:
        """Return whether another registry is likely to lend, or is being asked."""
        return tenant in self.borrowing or self._lender(tenant) is not None

    def _lender(self, tenant: str) -> str | None:
        """Return the registry that is likely to have the most permits of this tenant; None where none has any."""
        now = self.loop.time()
        spare = {
            registry: self._spare(tenant, registry, last_sum, now)
            for registry, last_sum in self.counter.sums.items()
            if registry != self.ip and now - last_sum.received_at < FRESH_SUM_S
        }
        lender = max(spare, key=lambda registry: spare[registry], default=None)
        return lender if lender is not None and spare[lender] >= 1.0 else None

    def _spare(self, tenant: str, registry: str, last_sum: RegistrySum, now: float) -> float:
        """Return how many permits another registry is likely to have.

        Those of its last sum, or none after our last request for a loan, and what it has refilled since then beyond
        its own proxies' requests.
        """
        bucket = self.issuer.bucket(tenant, now)  # its refill and capacity are as ours
        usage = last_sum.usages.get(tenant)
        if usage is None:  # it has no requests of this tenant
            usage = Usage(ready=bucket.capacity)
        asked_at = self.asked_for_loan.get((tenant, registry), float("-inf"))
        known_at, ready = asked_at, 0.0
        if last_sum.received_at > asked_at:
            known_at, ready = last_sum.received_at, usage.ready
        unused_per_s = max(0.0, bucket.refill_per_s - usage.requests / INTERVAL_S)
        return min(bucket.capacity, ready + unused_per_s * (now - known_at))

    async def borrow(self, tenant: str) -> None:
        """Borrow permits of another registry; callers meanwhile wait for the same loan."""
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
        free = int(self.issuer.bucket(tenant, asked_at).free_capacity(asked_at))
        wanted = max(1, min(MAX_LOAN, free))
        lent = await self.lend_from(lender, LendRequest(tenant, wanted))
        now = self.loop.time()
        is_in_time = (
            now - asked_at <= 2 * LEND_TIMEOUT_S
        )  # else this process was suspended, and the lender has refilled
        if (
            lent > 0
            and is_in_time
            and self.issuer.may_issue(self.age(), now)
            and self.issuer.is_limited(tenant)
        ):
            self.issuer.bucket(tenant, now).add_borrowed(min(lent, wanted), now)

    def lend(self, request: LendRequest) -> int:
        """Lend permits to another registry, which are gone here; return how many.

        All but what this registry's own proxies request in an interval are lent, and at most half of them.
        """
        own = self.counter.sums.get(self.ip)
        usage = own.usages.get(request.tenant) if own is not None else None
        asked = usage.requests if usage is not None else 0.0
        wanted = min(request.wanted, MAX_LOAN)
        return self.issuer.lend(request.tenant, wanted, asked, self.age(), self.loop.time())

    # Intervals

    def report(self, caller: str, report: IntervalReport) -> IntervalReply:
        """Take a proxy's report of an interval; answer it with the newest completed totals and its permits."""
        now = self.loop.time()
        self.clock.observe_position(report.position, now)
        if report.number >= 0:
            self.counter.receive_report(short_key(process_name(caller)), report.number, report.usages, now)
        reserve = self.issuer.handle_report(report.prefetched, self.age(), now)
        total = self.counter.total
        totals = {tenant: total.usages[tenant] for tenant in report.usages if tenant in total.usages}
        return IntervalReply(round(self.clock.position(now), 4), total.proxies, total.number, reserve, totals)

    def receive_sum(self, message: IntervalSum) -> None:
        """Take another registry's sum of an interval."""
        now = self.loop.time()
        self.clock.observe_position(message.position, now)
        self.counter.receive_sum(message.registry, message.number, message.usages, message.proxies, now)

    async def run_intervals(self, send: Callable[[IntervalSum], None]) -> None:
        """In each interval, send this registry's sum of the one before; at its end, complete that one's total."""
        number = self.clock.number(self.loop.time())
        while True:
            await asyncio.sleep(
                self.clock.seconds_until(number, self.loop.time()) + SUM_SEND_RATIO * INTERVAL_S
            )
            send(self.close_interval(number - 1))
            await asyncio.sleep(self.clock.seconds_until(number + 1, self.loop.time()))
            self.finish_interval(number - 1)
            number = max(number + 1, self.clock.number(self.loop.time()))

    def close_interval(self, number: int) -> IntervalSum:
        """Close an interval that is over; return this registry's sum, for the others."""
        now = self.loop.time()
        old = [pair for pair, asked_at in self.asked_for_loan.items() if now - asked_at > FRESH_SUM_S]
        for pair in old:
            del self.asked_for_loan[pair]
        own = self.counter.close_interval(number, now)
        if self.issuer.may_issue(self.age(), now):
            for tenant, count in self._ready_to_report(own.usages.keys(), now).items():
                own.usages.setdefault(tenant, Usage()).ready = round(count, 1)
        return IntervalSum(
            self.ip, round(self.clock.position(now), 4), number, own.usages, sorted(own.proxies)
        )

    def _ready_to_report(self, asked: Iterable[str], now: float) -> dict[str, float]:
        """Return the permits that are ready here, by tenant.

        Those of tenants with requests, and of others whose buckets are not full, as a registry that reports nothing
        of a tenant is taken to have a full bucket.
        """
        ready = self.issuer.partly_used(now)
        for tenant in asked:
            if self.issuer.is_limited(tenant):
                ready[tenant] = self.issuer.ready(tenant, now)
        return ready

    def finish_interval(self, number: int) -> None:
        """Complete the total of an interval."""
        self.counter.finish_interval(number, self.loop.time())
