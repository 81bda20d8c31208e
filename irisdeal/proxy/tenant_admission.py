"""Admission of tenants' requests: probabilistic load shedding, the concurrency limit, and permits.

A request of a tenant with a limit is sent only with a permit, which a registry issues with the placement, or
which this proxy has prefetched. A permit must be used within `SEND_WITHIN_S` of the request for it, or it
expires.
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

SEND_WITHIN_S = 0.35  # `IN_FLIGHT_S` of an allowance, less the delay of a message to a backend
# Bounds of the delay of reports, in intervals from an interval's start, so that proxies do not all report at once
MIN_REPORT_DELAY = 0.04
MAX_REPORT_DELAY = 0.28
KEPT_REPORT_COUNT = 8  # intervals for which own reports are stored, to be compared with their totals
TOTAL_VALID_S = 2.0  # age up to which a total represents a tenant's demand
INITIAL_PROXY_COUNT = 8  # assumed until a registry reports the number of proxies
MIN_RECYCLED_VALIDITY_S = 0.02  # remaining validity of an unused permit for use by another request
MAX_RECYCLED = 64  # unused permits stored per tenant
CONCURRENCY_RETRY_S = 0.2  # Retry-After of rejections by a tenant's concurrency limit
FIRST_REPORT_INTERVAL_S = 0.1  # interval of reports until the first reply


@dataclass(slots=True)
class RequestPermit:
    """The permit of one request. `send_by`: end of its validity, s on the loop's clock; -inf without a permit."""

    throttle: ProbabilisticThrottle
    is_late: bool
    send_by: float = float("-inf")

    @property
    def tenant(self) -> str:
        """The name of its tenant."""
        return self.throttle.tenant

    def is_needed(self, now: float) -> bool:
        """Return whether a permit must be requested before the next attempt."""
        return self.throttle.limit.is_limited and now >= self.send_by

    def grant(self, requested_at: float) -> None:
        """Store a permit that was requested at `requested_at`."""
        self.send_by = requested_at + SEND_WITHIN_S

    def consume(self) -> float:
        """Consume the permit for an attempt; return the time by which the attempt must be sent."""
        send_by, self.send_by = self.send_by, float("-inf")
        return send_by if self.throttle.limit.is_limited else float("inf")

    def restore(self, send_by: float) -> None:
        """Restore the permit of an attempt that was not executed."""
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
        """`rng`: source of shedding and report delays; `slots`: returns the slots of all usable backends."""
        self.client, self.loop, self.rng, self.slots = client, loop, rng, slots
        self.throttles: dict[str, ProbabilisticThrottle] = {}
        self.prefetched = PrefetchedPermits(secrets.randbits(48))
        # tenant -> ends of validity of permits whose requests ended without using them
        self.recycled: dict[str, list[float]] = {}
        self.concurrency = ConcurrencyLimit()
        self.clock = SharedIntervalClock(loop.time())
        self.proxies, self.has_reported = INITIAL_PROXY_COUNT, False
        self.max_reported_proxies = 0
        self.newest_total = -1  # number of the newest finished interval whose total was applied
        self.total_at = float("-inf")  # time at which it was applied
        self.report_delay_s = INTERVAL_S * rng.uniform(MIN_REPORT_DELAY, MAX_REPORT_DELAY)
        self.reports: dict[int, Usages] = {}

    def configure(self, limit_of: Callable[[str], Limit | None]) -> None:
        """Apply a new configuration: prefetched permits that were issued under a higher limit are discarded."""

        def is_lower(tenant: str) -> bool:
            """Return whether the tenant's limit is lower than before, or is unknown."""
            before, after = self.throttles.get(tenant), limit_of(tenant)
            if before is None or after is None:
                return True
            return after.rate_per_s < before.limit.rate_per_s or after.burst < before.limit.burst

        self.prefetched.drop(is_lower)
        for tenant, throttle in self.throttles.items():
            throttle.limit = limit_of(tenant) or throttle.limit

    def admit_or_shed(self, tenant: str, limit: Limit, is_late: bool) -> RequestPermit | None:
        """Count a request; None if it is shed (429), with a probability by the excess over the tenant's rate."""
        throttle = self.throttles.get(tenant)
        if throttle is None:
            throttle = self.throttles[tenant] = ProbabilisticThrottle(tenant, limit)
        if not throttle.admit(self.rng.random(), is_late):
            return None
        return RequestPermit(throttle, is_late, self._take_recycled(tenant))

    def _take_recycled(self, tenant: str) -> float:
        """Take a permit that another request of this tenant did not use; return the end of its validity."""
        recycled, now = self.recycled.get(tenant), self.loop.time()
        while recycled:
            send_by = recycled.pop()
            if not recycled:
                del self.recycled[tenant]
            if send_by - now >= MIN_RECYCLED_VALIDITY_S:
                return send_by
        return float("-inf")

    def recycle_permit(self, permit: RequestPermit) -> None:
        """Store the unused permit of an ended request for the tenant's next request."""
        if permit.throttle.limit.is_limited and permit.send_by - self.loop.time() >= MIN_RECYCLED_VALIDITY_S:
            recycled = self.recycled.setdefault(permit.tenant, [])
            if len(recycled) < MAX_RECYCLED:
                recycled.append(permit.consume())

    # The concurrency limit

    async def acquire_slot(self, tenant: str, rank: int, deadline: float) -> None:
        """Wait for a slot within the tenant's concurrency limit until `deadline`, s on the loop's clock.

        Raise RejectionError if there is none by then. On cancellation the request leaves the queue.
        """
        token: asyncio.Future[None] = self.loop.create_future()
        result = self.concurrency.acquire(tenant, rank, token, self.loop.time())
        if result is AcquireResult.REJECTED:
            raise RejectionError(503, "too many wait", CONCURRENCY_RETRY_S)
        if result is AcquireResult.ACQUIRED:
            return
        try:
            async with asyncio.timeout_at(deadline):
                await token
        except TimeoutError:
            if self.concurrency.cancel_wait(tenant, token, self.loop.time()):
                raise RejectionError(503, "no room in time", CONCURRENCY_RETRY_S) from None
        except asyncio.CancelledError:
            if not self.concurrency.cancel_wait(tenant, token, self.loop.time()):
                self.release_slot(tenant)  # it had acquired the slot before the cancellation
            raise

    def release_slot(self, tenant: str) -> None:
        """Release the slot of an ended request; waiting requests acquire it."""
        for token in self.concurrency.release(tenant, self.loop.time()):
            self._resume(token)

    @staticmethod
    def _resume(token: Hashable) -> None:
        assert isinstance(token, asyncio.Future)
        if not token.done():
            token.set_result(None)

    # Prefetched permits

    def has_prefetched(self, permit: RequestPermit) -> bool:
        """Return whether there is a usable prefetched permit of this tenant."""
        return self.prefetched.count(permit.tenant, self.loop.time()) > 0

    def take_prefetched(self, permit: RequestPermit) -> bool:
        """Grant a prefetched permit; return whether there was one."""
        now = self.loop.time()
        if not self.prefetched.consume(permit.tenant, now):
            return False
        permit.grant(now)
        return True

    def rejection(self, permit: RequestPermit) -> RejectionError:
        """Return the rejection of a request that is over its tenant's limit."""
        has_total = self.loop.time() - self.total_at < TOTAL_VALID_S
        return over_quota(permit.throttle.is_over_rate(), has_total)

    def known_proxies(self) -> int:
        """Return the largest reported number of proxies that share the limits; 0 before any report."""
        return self.max_reported_proxies

    # Reports of intervals

    async def report_intervals(self) -> None:
        """In each interval, report the usage of the previous one and apply the newest finished total."""
        while True:
            await self._next_interval()
            now = self.loop.time()
            number = self.clock.number(now) - 1
            self.reports = {
                other: usages for other, usages in self.reports.items() if other >= number - KEPT_REPORT_COUNT
            }
            self.reports[number] = self._close_interval(now)
            reply = await self.client.report(partial(self._build_report, number))
            if reply is not None:
                self._receive_reply(reply)

    async def _next_interval(self) -> None:
        if not self.has_reported:
            await asyncio.sleep(FIRST_REPORT_INTERVAL_S)
            return
        now = self.loop.time()
        until_next_s = self.clock.seconds_until(self.clock.number(now) + 1, now)
        await asyncio.sleep(until_next_s + self.report_delay_s)

    def _build_report(self, number: int, registry: str) -> IntervalReport:
        now = self.loop.time()
        return IntervalReport(
            round(self.clock.position(now), 4),
            number if self.has_reported else -1,
            self.reports[number],
            self.prefetched.build_report(registry, now),
        )

    def _close_interval(self, now: float) -> Usages:
        """Return each tenant's requests and concurrency in the ending interval; remove idle tenants."""
        concurrency = self.concurrency.close_interval(now)
        usages: dict[str, Usage] = {}
        for name, throttle in list(self.throttles.items()):
            requests, late = throttle.close_interval()
            if throttle.limit.is_limited:
                self.prefetched.record_demand(name, requests, INTERVAL_S)
            if requests or name in concurrency or throttle.rejection_late > 0:
                usages[name] = Usage(requests, round(concurrency.get(name, 0.0), 3), 0.0, late)
            elif name not in self.prefetched.demand:
                del self.throttles[name]
        return usages

    def _receive_reply(self, report_reply: ReportReply) -> None:
        reply, now = report_reply.reply, self.loop.time()
        self.clock.observe_position(reply.position, now)
        self.proxies, self.has_reported = max(1, reply.proxies), True
        self.max_reported_proxies = max(self.max_reported_proxies, self.proxies)
        self.prefetched.receive_reply(report_reply.registry, reply.reserve, report_reply.sent_at, now)
        if reply.number > self.newest_total:  # a registry that lags or was paused reports an older one
            self.newest_total, self.total_at = reply.number, now
            self._receive_totals(self.reports.get(reply.number, {}), reply.totals)

    def _receive_totals(self, own: Usages, totals: Usages) -> None:
        """Update each tenant's concurrency bound and rejection probability.

        `own`: this proxy's report of that interval; `totals`: of all proxies.
        """
        released = self.concurrency.update_totals(
            {name: usage.in_flight for name, usage in own.items()},
            {name: usage.in_flight for name, usage in totals.items()},
            self.slots(),
            self.proxies,
        )
        for token in released:
            self._resume(token)
        for name, throttle in self.throttles.items():
            throttle.update_total(totals.get(name, Usage()))
