"""Admission of tenants' requests: probabilistic rejection, the concurrency limit, and permits.

A request of a tenant with a limit is sent on a permit and on nothing else: one that a registry issues with the
place at a backend, or one that this proxy has prefetched. A permit is used within `SEND_WITHIN_S` of the request
for it, or is lost.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial

from irisdeal.permits.allowance import Limit
from irisdeal.permits.prefetched import PrefetchedPermits
from irisdeal.proxy.registry_client import RegistryClient, ReportReply
from irisdeal.proxy.rejection import RejectionError, over_quota
from irisdeal.ratelimit.concurrency_limit import AcquireResult, ConcurrencyLimit
from irisdeal.ratelimit.interval_clock import INTERVAL_S, SharedIntervalClock
from irisdeal.ratelimit.messages import Usage, Usages
from irisdeal.ratelimit.probabilistic_throttle import ProbabilisticThrottle
from irisdeal.registry.messages import IntervalReport

SEND_WITHIN_S = 0.35  # `IN_FLIGHT_S` of an allowance, less what a message to a backend takes
MIN_REPORT_DELAY, MAX_REPORT_DELAY = (
    0.04,
    0.28,
)  # of an interval, into it: proxies do not report all at its edge
REPORTS_KEPT = 8  # intervals that our own reports are kept, to be read beside their totals
TOTAL_VALID_S = 2.0  # that a total says how much a tenant's clients ask for
INITIAL_PROXIES = 8  # assumed number of proxies, until one is reported
MIN_RETURNED_S = 0.02  # that an unused permit must still be valid, to be used by another request
MAX_RETURNED = 64  # unused permits kept of one tenant
CONCURRENCY_RETRY_S = (
    0.2  # after which a client comes back that was rejected by its tenant's concurrency limit
)
FIRST_REPORT_S = 0.1  # between two reports until the first reply


@dataclass(slots=True)
class RequestPermit:
    """The permit of one request. `send_by`: s on the loop's clock, until when the present one may be used."""

    throttle: ProbabilisticThrottle
    is_late: bool
    send_by: float = float("-inf")

    @property
    def tenant(self) -> str:
        """Whose it is."""
        return self.throttle.tenant

    def is_wanted(self, now: float) -> bool:
        """Return whether one has to be requested before the next attempt."""
        return self.throttle.limit.is_limited and now >= self.send_by

    def grant(self, asked_at: float) -> None:
        """Take one that was requested at `asked_at`."""
        self.send_by = asked_at + SEND_WITHIN_S

    def use(self) -> float:
        """Use it for an attempt; return until when that may be sent."""
        send_by, self.send_by = self.send_by, float("-inf")
        return send_by if self.throttle.limit.is_limited else float("inf")

    def give_back(self, send_by: float) -> None:
        """Take back the permit of an attempt that was not executed."""
        if self.throttle.limit.is_limited:
            self.send_by = max(self.send_by, send_by)


class TenantAdmission:
    """Admission of all tenants at one proxy."""

    def __init__(
        self,
        client: RegistryClient,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        slots: Callable[[], int],
    ) -> None:
        """`slots`: requests that all backends serve at once."""
        self.client, self.loop, self.rng, self.slots = client, loop, rng, slots
        self.throttles: dict[str, ProbabilisticThrottle] = {}
        self.prefetched = PrefetchedPermits(secrets.randbits(48))
        # permits of requests that ended without use, by tenant: until when each is valid
        self.returned: dict[str, list[float]] = {}
        self.concurrency = ConcurrencyLimit()
        self.clock = SharedIntervalClock(loop.time())
        self.proxies, self.has_reported = INITIAL_PROXIES, False
        self.max_reported_proxies = 0
        self.newest_total = -1  # number of the newest complete interval that was taken over
        self.total_at = float("-inf")  # when it was
        self.report_delay_s = INTERVAL_S * rng.uniform(MIN_REPORT_DELAY, MAX_REPORT_DELAY)
        self.reports: dict[int, Usages] = {}

    def configure(self, limit_of: Callable[[str], Limit | None]) -> None:
        """Take a new configuration: prefetched permits that were issued under a higher limit are given up."""

        def is_lower(tenant: str) -> bool:
            """Return whether the tenant's limit is lower than before, or is not known."""
            before, after = self.throttles.get(tenant), limit_of(tenant)
            if before is None or after is None:
                return True
            return after.rate_per_s < before.limit.rate_per_s or after.burst < before.limit.burst

        self.prefetched.drop(is_lower)
        for tenant, throttle in self.throttles.items():
            throttle.limit = limit_of(tenant) or throttle.limit

    def admit_or_shed(self, tenant: str, limit: Limit, is_late: bool) -> RequestPermit | None:
        """Count a request; None where it is shed (429), by chance, as far over the tenant's rate."""
        throttle = self.throttles.get(tenant)
        if throttle is None:
            throttle = self.throttles[tenant] = ProbabilisticThrottle(tenant, limit)
        if not throttle.admit(self.rng.random(), is_late):
            return None
        return RequestPermit(throttle, is_late, self._take_returned(tenant))

    def _take_returned(self, tenant: str) -> float:
        """Take a permit that another request of this tenant did not use; return until when it is valid."""
        returned, now = self.returned.get(tenant), self.loop.time()
        while returned:
            send_by = returned.pop()
            if not returned:
                del self.returned[tenant]
            if send_by - now >= MIN_RETURNED_S:
                return send_by
        return float("-inf")

    def end(self, permit: RequestPermit) -> None:
        """End its request: an unused permit serves the tenant's next one."""
        if permit.throttle.limit.is_limited and permit.send_by - self.loop.time() >= MIN_RETURNED_S:
            returned = self.returned.setdefault(permit.tenant, [])
            if len(returned) < MAX_RETURNED:
                returned.append(permit.use())

    # The concurrency limit

    async def enter(self, tenant: str, rank: int, until: float) -> None:
        """Wait for a place within the tenant's concurrency limit until `until`, s on the loop's clock.

        Raise RejectionError where there is none by then. Cancelled, it is out of the queue.
        """
        token: asyncio.Future[None] = self.loop.create_future()
        entered = self.concurrency.acquire(tenant, rank, token, self.loop.time())
        if entered is AcquireResult.REJECTED:
            raise RejectionError(503, "too many wait", CONCURRENCY_RETRY_S)
        if entered is AcquireResult.ACQUIRED:
            return
        try:
            async with asyncio.timeout_at(until):
                await token
        except TimeoutError:
            if self.concurrency.cancel_wait(tenant, token, self.loop.time()):
                raise RejectionError(503, "no room in time", CONCURRENCY_RETRY_S) from None
        except asyncio.CancelledError:
            if not self.concurrency.cancel_wait(tenant, token, self.loop.time()):
                self.leave(tenant)  # it had entered
            raise

    def leave(self, tenant: str) -> None:
        """End a request that had entered; the next one enters in its place."""
        for token in self.concurrency.release(tenant, self.loop.time()):
            self._release(token)

    @staticmethod
    def _release(token: Hashable) -> None:
        assert isinstance(token, asyncio.Future)
        if not token.done():
            token.set_result(None)

    # Prefetched permits

    def has_prefetched(self, permit: RequestPermit) -> bool:
        """Return whether a permit of this tenant was prefetched."""
        return self.prefetched.count(permit.tenant, self.loop.time()) > 0

    def take_prefetched(self, permit: RequestPermit) -> bool:
        """Grant a prefetched permit; return whether there was one."""
        now = self.loop.time()
        if not self.prefetched.consume(permit.tenant, now):
            return False
        permit.grant(now)
        return True

    def rejection(self, permit: RequestPermit) -> RejectionError:
        """Return the answer to a request that is over its tenant's limit."""
        is_known = self.loop.time() - self.total_at < TOTAL_VALID_S
        return over_quota(permit.throttle.is_over_rate(), is_known)

    def known_proxies(self) -> int:
        """Return the most proxies that were ever reported to share the limits; 0 before any report."""
        return self.max_reported_proxies

    # Reports of intervals

    async def report_intervals(self) -> None:
        """In each interval, report the one before and take in the newest complete total."""
        while True:
            await self._next_interval()
            now = self.loop.time()
            number = self.clock.number(now) - 1
            self.reports = {
                other: usages for other, usages in self.reports.items() if other >= number - REPORTS_KEPT
            }
            self.reports[number] = self._close_interval(now)
            reply = await self.client.report(partial(self._report, number))
            if reply is not None:
                self._receive_reply(reply)

    async def _next_interval(self) -> None:
        if not self.has_reported:
            await asyncio.sleep(FIRST_REPORT_S)
            return
        now = self.loop.time()
        until_next_s = self.clock.seconds_until(self.clock.number(now) + 1, now)
        await asyncio.sleep(until_next_s + self.report_delay_s)

    def _report(self, number: int, registry: str) -> IntervalReport:
        now = self.loop.time()
        return IntervalReport(
            round(self.clock.position(now), 4),
            number if self.has_reported else -1,
            self.reports[number],
            self.prefetched.build_report(registry, now),
        )

    def _close_interval(self, now: float) -> Usages:
        """Return each tenant's requests and concurrency in the interval that ends; idle tenants are forgotten."""
        concurrency = self.concurrency.close_interval(now)
        usages: dict[str, Usage] = {}
        for name, throttle in list(self.throttles.items()):
            asked, late = throttle.close_interval()
            if throttle.limit.is_limited:
                self.prefetched.record_demand(name, asked, INTERVAL_S)
            if asked or name in concurrency or throttle.rejection_late > 0:
                usages[name] = Usage(asked, round(concurrency.get(name, 0.0), 3), 0.0, late)
            elif name not in self.prefetched.demand:
                del self.throttles[name]
        return usages

    def _receive_reply(self, report_reply: ReportReply) -> None:
        reply, now = report_reply.reply, self.loop.time()
        self.clock.observe_position(reply.position, now)
        self.proxies, self.has_reported = max(1, reply.proxies), True
        self.max_reported_proxies = max(self.max_reported_proxies, self.proxies)
        self.prefetched.receive_reply(report_reply.registry, reply.reserve, report_reply.sent_at, now)
        if reply.number > self.newest_total:  # a registry that lags, or stood still, reports an older one
            self.newest_total, self.total_at = reply.number, now
            self._receive_totals(self.reports.get(reply.number, {}), reply.totals)

    def _receive_totals(self, own: Usages, totals: Usages) -> None:
        """Update each tenant's concurrency limit and chance of rejection.

        `own`: our report of that interval; `totals`: of all proxies.
        """
        entered = self.concurrency.update_totals(
            {name: usage.in_flight for name, usage in own.items()},
            {name: usage.in_flight for name, usage in totals.items()},
            self.slots(),
            self.proxies,
        )
        for token in entered:
            self._release(token)
        for name, throttle in self.throttles.items():
            throttle.update_total(totals.get(name, Usage()))
