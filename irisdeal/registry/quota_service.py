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

# Part of an interval after which the sum of the previous one is sent; proxies send their reports by 0.3.
SUM_SEND_RATIO = 0.45
LEND_TIMEOUT_S = 0.04  # of a lend call; less than the 0.06 s for which the calling proxy waits
# An older sum of another registry does not indicate whether it has permits to lend.
MAX_SUM_AGE_S = 3 * INTERVAL_S
MAX_LOAN_COUNT = 64  # permits in one loan

# Calls a registry to borrow permits; returns how many it lent, 0 if it did not answer.
BorrowFrom = Callable[[str, LendRequest], Awaitable[int]]
# Returns the age in s of the store state held by this registry; None without contact.
StateAge = Callable[[], float | None]

# Defaults of the quota limits in a deployment's `bounds`
DEFAULT_QUOTA_WINDOW_S = 5.0  # sliding window over which a tenant's rate is checked
DEFAULT_QUOTA_EXCESS_RATIO = 0.1  # part of the limit by which a window may exceed it
DEFAULT_QUOTA_SLACK_COUNT = 20.0  # further requests by which a window may exceed the limit


def quota_rule(settings: Settings) -> QuotaRule:
    """Return the quota limits of the deployment."""
    bound = settings.bound
    return QuotaRule(
        bound("quota_window_s", DEFAULT_QUOTA_WINDOW_S),
        bound("quota_excess", DEFAULT_QUOTA_EXCESS_RATIO),
        bound("quota_slack", DEFAULT_QUOTA_SLACK_COUNT),
    )


class QuotaService:
    """The quotas of one registry process."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        incarnation: int,
        authority: IssuingAuthority,
        state_age_s: StateAge,
        borrow_from: BorrowFrom,
    ) -> None:
        """`incarnation`: of this process."""
        self.ip, self.loop, self.state_age_s, self.borrow_from = settings.ip, loop, state_age_s, borrow_from
        self.issuer = PermitIssuer(incarnation, quota_rule(settings), authority, loop.time())
        self.clock = SharedIntervalClock(loop.time())
        self.counter = IntervalCounter(settings.ip)
        self.pending_loans: dict[str, asyncio.Future[None]] = {}  # loans in progress, by tenant
        # Time of the last request by (tenant, registry)
        self.loan_requested_at: dict[tuple[str, str], float] = {}

    def configure(self, configuration: Configuration) -> bool:
        """Apply the tenants' limits of a configuration; return whether they differ from those before."""
        limits = {
            tenant.name: Limit(tenant.rate_per_s, tenant.burst) for tenant in configuration.tenants or ()
        }
        is_changed = limits != self.issuer.limits
        self.issuer.configure(limits)
        return is_changed

    # Permits

    def claim(self, tenant: str, is_late: bool) -> ClaimResult:
        """Claim a permit for a request that is about to run."""
        return self.issuer.claim(tenant, self.state_age_s(), self.loop.time(), is_late)

    def can_borrow(self, tenant: str) -> bool:
        """Return whether another registry is likely to lend, or a loan is in progress."""
        return tenant in self.pending_loans or self._best_lender(tenant) is not None

    def _best_lender(self, tenant: str) -> str | None:
        """Return the registry with the highest estimate of permits for this tenant; None if none has any."""
        now = self.loop.time()
        estimates = {
            registry: self._estimate_permits(tenant, registry, last_sum, now)
            for registry, last_sum in self.counter.sums.items()
            if registry != self.ip and now - last_sum.received_at < MAX_SUM_AGE_S
        }
        lender = max(estimates, key=lambda registry: estimates[registry], default=None)
        return lender if lender is not None and estimates[lender] >= 1.0 else None

    def _estimate_permits(self, tenant: str, registry: str, last_sum: RegistrySum, now: float) -> float:
        """Estimate how many permits another registry has.

        It starts from the permits in the registry's last sum, or from none after the last request for a loan, and
        adds the refill since then minus the requests of the registry's own proxies.
        """
        bucket = self.issuer.bucket(
            tenant, now
        )  # the other registry's bucket has the same refill and capacity
        usage = last_sum.usages.get(tenant)
        if usage is None:  # the other registry has no requests of this tenant
            usage = Usage(ready=bucket.capacity)
        requested_at = self.loan_requested_at.get((tenant, registry), float("-inf"))
        known_at, ready = requested_at, 0.0
        if last_sum.received_at > requested_at:
            known_at, ready = last_sum.received_at, usage.ready
        unused_per_s = max(0.0, bucket.refill_per_s - usage.requests / INTERVAL_S)
        return min(bucket.capacity, ready + unused_per_s * (now - known_at))

    async def borrow(self, tenant: str) -> None:
        """Borrow permits from another registry; concurrent callers wait for the same loan."""
        if tenant in self.pending_loans:
            await asyncio.shield(self.pending_loans[tenant])
            return
        # The limit may have been removed since the claim.
        lender = self._best_lender(tenant) if self.issuer.is_limited(tenant) else None
        if lender is None:
            return
        done: asyncio.Future[None] = self.loop.create_future()
        self.pending_loans[tenant] = done
        try:
            await self._request_loan(lender, tenant)
        finally:
            del self.pending_loans[tenant]
            done.set_result(None)

    async def _request_loan(self, lender: str, tenant: str) -> None:
        requested_at = self.loop.time()
        self.loan_requested_at[tenant, lender] = requested_at
        free = int(self.issuer.bucket(tenant, requested_at).free_capacity(requested_at))
        wanted = max(1, min(MAX_LOAN_COUNT, free))
        lent = await self.borrow_from(lender, LendRequest(tenant, wanted))
        now = self.loop.time()
        # A later answer means that this process was suspended, and that the lender has refilled meanwhile.
        is_in_time = now - requested_at <= 2 * LEND_TIMEOUT_S
        if (
            lent > 0
            and is_in_time
            and self.issuer.may_issue(self.state_age_s(), now)
            and self.issuer.is_limited(tenant)
        ):
            self.issuer.bucket(tenant, now).add_borrowed(min(lent, wanted), now)

    def lend(self, request: LendRequest) -> int:
        """Lend permits to another registry and deduct them here; return how many.

        Keeps back what this registry's own proxies request in one interval, but at most half of the permits.
        """
        own = self.counter.sums.get(self.ip)
        usage = own.usages.get(request.tenant) if own is not None else None
        expected_claims = usage.requests if usage is not None else 0.0
        wanted = min(request.wanted, MAX_LOAN_COUNT)
        return self.issuer.lend(request.tenant, wanted, expected_claims, self.state_age_s(), self.loop.time())

    # Intervals

    def report(self, caller: str, report: IntervalReport) -> IntervalReply:
        """Record a proxy's report of an interval; return the newest completed totals and its permits."""
        now = self.loop.time()
        self.clock.observe_position(report.position, now)
        if report.number >= 0:
            self.counter.receive_report(short_key(process_name(caller)), report.number, report.usages, now)
        reserve = self.issuer.handle_report(report.prefetched, self.state_age_s(), now)
        total = self.counter.total
        totals = {tenant: total.usages[tenant] for tenant in report.usages if tenant in total.usages}
        return IntervalReply(round(self.clock.position(now), 4), total.proxies, total.number, reserve, totals)

    def receive_sum(self, message: IntervalSum) -> None:
        """Record another registry's sum of an interval."""
        now = self.loop.time()
        self.clock.observe_position(message.position, now)
        self.counter.receive_sum(message.registry, message.number, message.usages, message.proxies, now)

    async def run_intervals(self, send: Callable[[IntervalSum], None]) -> None:
        """In each interval, send this registry's sum of the previous one, and at the end complete its total."""
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
        """Close a past interval; return this registry's sum, to be sent to the others."""
        now = self.loop.time()
        old = [
            pair
            for pair, requested_at in self.loan_requested_at.items()
            if now - requested_at > MAX_SUM_AGE_S
        ]
        for pair in old:
            del self.loan_requested_at[pair]
        own = self.counter.close_interval(number, now)
        if self.issuer.may_issue(self.state_age_s(), now):
            for tenant, count in self._available_permits(own.usages.keys(), now).items():
                own.usages.setdefault(tenant, Usage()).ready = round(count, 1)
        return IntervalSum(
            self.ip, round(self.clock.position(now), 4), number, own.usages, sorted(own.proxies)
        )

    def _available_permits(self, requested_tenants: Iterable[str], now: float) -> dict[str, float]:
        """Return the available permits of this registry, by tenant.

        Includes tenants with requests and tenants whose buckets are not full: for any other tenant, the receiver
        assumes a full bucket.
        """
        ready = self.issuer.partly_used(now)
        for tenant in requested_tenants:
            if self.issuer.is_limited(tenant):
                ready[tenant] = self.issuer.ready(tenant, now)
        return ready

    def finish_interval(self, number: int) -> None:
        """Complete the total of an interval."""
        self.counter.finish_interval(number, self.loop.time())
