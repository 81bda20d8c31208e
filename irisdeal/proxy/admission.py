"""Whether a tenant's request may run: the chance of refusal, what the tenant may hold, and its permit.

A request of a tenant with a limit runs on a permit and on nothing else: one that a registry gives with the
place at a backend, or one that this proxy held ahead. A permit is used within `SEND_WITHIN_S` of the ask for
it, or is lost.
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
from irisdeal.proxy.refusal import Refused, over_quota
from irisdeal.proxy.registry_client import RegistryClient, Reported
from irisdeal.ratelimit.concurrency_limit import AcquireResult, ConcurrencyLimit
from irisdeal.ratelimit.interval_clock import INTERVAL_S, SharedIntervalClock
from irisdeal.ratelimit.messages import Usage, Usages
from irisdeal.ratelimit.probabilistic_throttle import ProbabilisticThrottle
from irisdeal.registry.messages import IntervalReport

SEND_WITHIN_S = 0.35  # `IN_FLIGHT_S` of an allowance, less what a message to a backend takes
LEAST_SPREAD, MOST_SPREAD = 0.04, 0.28  # of an interval, when a proxy reports: not all at the edge
REPORTS_KEPT = 8  # intervals that our own reports are kept, to be read beside their totals
TOTAL_KEPT_S = 2.0  # that a total says how much a tenant asks for
FIRST_PROXIES = 8  # proxies there are, until a number is told
LEAST_RETURNED_S = 0.02  # that a permit which was not used has to serve still, to be used by another request
MOST_RETURNED = 64  # of one tenant
FULL_AGAIN_S = 0.2  # after which a client comes back that found no room within its tenant's bound
FIRST_REPORT_S = 0.1  # between two reports until the first answer


@dataclass(slots=True)
class RequestPermit:
    """The permit of one request. `send_by`: s on the loop's clock, until when the one in hand may be used."""

    companion: ProbabilisticThrottle
    is_late: bool
    send_by: float = float("-inf")

    @property
    def tenant(self) -> str:
        """Whose it is."""
        return self.companion.tenant

    def is_wanted(self, now: float) -> bool:
        """Whether one has to be asked for before the next attempt."""
        return self.companion.limit.is_limited and now >= self.send_by

    def give(self, asked_at: float) -> None:
        """One is in hand that was asked for at `asked_at`."""
        self.send_by = asked_at + SEND_WITHIN_S

    def use(self) -> float:
        """An attempt goes out on it; until when it may be sent."""
        send_by, self.send_by = self.send_by, float("-inf")
        return send_by if self.companion.limit.is_limited else float("inf")

    def give_back(self, send_by: float) -> None:
        """The attempt has not run: what it went out on is in hand again."""
        if self.companion.limit.is_limited:
            self.send_by = max(self.send_by, send_by)


class TenantAdmission:
    """All tenants at one proxy."""

    def __init__(
        self,
        client: RegistryClient,
        loop: asyncio.AbstractEventLoop,
        chance: random.Random,
        slots: Callable[[], int],
    ) -> None:
        """`slots`: requests that all backends work on at once."""
        self.client, self.loop, self.chance, self.slots = client, loop, chance, slots
        self.companions: dict[str, ProbabilisticThrottle] = {}
        self.held = PrefetchedPermits(secrets.randbits(48))
        self.returned: dict[
            str, list[float]
        ] = {}  # permits of requests that ended unsent: until when each serves
        self.gate = ConcurrencyLimit()
        self.edge = SharedIntervalClock(loop.time())
        self.proxies, self.has_reported = FIRST_PROXIES, False
        self.most_proxies = 0  # that were told
        self.newest_total = -1  # the newest finished one that was taken over
        self.total_at = float("-inf")  # when it was
        self.spread_s = INTERVAL_S * chance.uniform(LEAST_SPREAD, MOST_SPREAD)
        self.reports: dict[int, Usages] = {}

    def configure(self, limit_of: Callable[[str], Limit | None]) -> None:
        """A new configuration is in force: what was granted under a higher limit is given up."""

        def is_lower(tenant: str) -> bool:
            before, after = self.companions.get(tenant), limit_of(tenant)
            if before is None or after is None:
                return True
            return after.rate_per_s < before.limit.rate_per_s or after.burst < before.limit.burst

        self.held.drop(is_lower)
        for tenant, companion in self.companions.items():
            companion.limit = limit_of(tenant) or companion.limit

    def ask(self, tenant: str, limit: Limit, is_late: bool) -> RequestPermit | None:
        """Count a request; None where it is refused by chance as over the tenant's room."""
        companion = self.companions.get(tenant)
        if companion is None:
            companion = self.companions[tenant] = ProbabilisticThrottle(tenant, limit)
        if not companion.admit(self.chance.random(), is_late):
            return None
        return RequestPermit(companion, is_late, self._take_returned(tenant))

    def _take_returned(self, tenant: str) -> float:
        """A permit that another request of this tenant did not use: until when it serves."""
        returned, now = self.returned.get(tenant), self.loop.time()
        while returned:
            send_by = returned.pop()
            if not returned:
                del self.returned[tenant]
            if send_by - now >= LEAST_RETURNED_S:
                return send_by
        return float("-inf")

    def end(self, permit: RequestPermit) -> None:
        """Its request is over: a permit that is in hand still serves the tenant's next one."""
        if permit.companion.limit.is_limited and permit.send_by - self.loop.time() >= LEAST_RETURNED_S:
            returned = self.returned.setdefault(permit.tenant, [])
            if len(returned) < MOST_RETURNED:
                returned.append(permit.use())

    async def enter(self, tenant: str, rank: int, until: float) -> None:
        """Wait for a place within the tenant's bound until `until` (s on the loop's clock); Refused where there is
        none by then. Cancelled, it is out of the queue."""
        token: asyncio.Future[None] = self.loop.create_future()
        entered = self.gate.acquire(tenant, rank, token, self.loop.time())
        if entered is AcquireResult.REJECTED:
            raise Refused(503, "too many wait", FULL_AGAIN_S)
        if entered is AcquireResult.ACQUIRED:
            return
        try:
            async with asyncio.timeout_at(until):
                await token
        except TimeoutError:
            if self.gate.cancel_wait(tenant, token, self.loop.time()):
                raise Refused(503, "no room in time", FULL_AGAIN_S) from None
        except asyncio.CancelledError:
            if not self.gate.cancel_wait(tenant, token, self.loop.time()):
                self.leave(tenant)  # it had been let in
            raise

    def leave(self, tenant: str) -> None:
        """A request that had entered is over; the next goes on in its place."""
        for token in self.gate.release(tenant, self.loop.time()):
            self._release(token)

    @staticmethod
    def _release(token: Hashable) -> None:
        assert isinstance(token, asyncio.Future)
        if not token.done():
            token.set_result(None)

    def holds(self, permit: RequestPermit) -> bool:
        """Whether a permit of this tenant is held ahead."""
        return self.held.count(permit.tenant, self.loop.time()) > 0

    def take_held(self, permit: RequestPermit) -> bool:
        """Whether a permit that was held ahead is in hand now."""
        now = self.loop.time()
        if not self.held.consume(permit.tenant, now):
            return False
        permit.give(now)
        return True

    def refusal(self, permit: RequestPermit) -> Refused:
        """The answer to a request that is over its tenant's limit."""
        is_known = self.loop.time() - self.total_at < TOTAL_KEPT_S
        return over_quota(permit.companion.is_over_rate(), is_known)

    def sharers(self) -> int:
        """Proxies that share what all have together: the most that were told, 0 before any number was."""
        return self.most_proxies

    async def report_intervals(self) -> None:
        """Each interval: report the one before, and read the newest finished total."""
        while True:
            await self._next_interval()
            now = self.loop.time()
            number = self.edge.number(now) - 1
            self.reports = {at: usages for at, usages in self.reports.items() if at >= number - REPORTS_KEPT}
            self.reports[number] = self._close(now)
            reported = await self.client.report(partial(self._report, number))
            if reported is not None:
                self._hear(reported)

    async def _next_interval(self) -> None:
        if not self.has_reported:
            await asyncio.sleep(FIRST_REPORT_S)
            return
        now = self.loop.time()
        await asyncio.sleep(self.edge.seconds_until(self.edge.number(now) + 1, now) + self.spread_s)

    def _report(self, number: int, registry: str) -> IntervalReport:
        now = self.loop.time()
        return IntervalReport(
            round(self.edge.position(now), 4),
            number if self.has_reported else -1,
            self.reports[number],
            self.held.build_report(registry, now),
        )

    def _close(self, now: float) -> Usages:
        """What was asked of us and what we held, by tenant, in the interval that ends; idle ones are forgotten."""
        held = self.gate.close_interval(now)
        usages: dict[str, Usage] = {}
        for name, companion in list(self.companions.items()):
            asked, late = companion.close_interval()
            if companion.limit.is_limited:
                self.held.record_demand(name, asked, INTERVAL_S)
            if asked or name in held or companion.rejection_late > 0:
                usages[name] = Usage(asked, round(held.get(name, 0.0), 3), 0.0, late)
            elif name not in self.held.demand:
                del self.companions[name]
        return usages

    def _hear(self, reported: Reported) -> None:
        reply, now = reported.reply, self.loop.time()
        self.edge.observe_position(reply.position, now)
        self.proxies, self.has_reported = max(1, reply.proxies), True
        self.most_proxies = max(self.most_proxies, self.proxies)
        self.held.receive_reply(reported.registry, reply.reserve, reported.sent_at, now)
        if reply.number > self.newest_total:  # a registry that lags, or stood still, tells an older one
            self.newest_total, self.total_at = reply.number, now
            self._hear_totals(self.reports.get(reply.number, {}), reply.totals)

    def _hear_totals(self, own: Usages, totals: Usages) -> None:
        """A finished total, and our part of it: what we may hold of each tenant, and its chance of refusal."""
        released = self.gate.update_totals(
            {name: usage.in_flight for name, usage in own.items()},
            {name: usage.in_flight for name, usage in totals.items()},
            self.slots(),
            self.proxies,
        )
        for token in released:
            self._release(token)
        for name, companion in self.companions.items():
            companion.update_total(totals.get(name, Usage()))
