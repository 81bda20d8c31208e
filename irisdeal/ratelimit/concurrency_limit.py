"""Limits the requests of each tenant that one proxy has in flight, and queues those over the bound.

The bound is the proxy's demand share of the tenant's cap. The cap is not configured but derived: the sum of the
slots that all usable backends report, since requests beyond that only wait at a backend. A cap that is too large
lets queues grow at the backends; one that is too small makes requests wait here while slots are free. Time is an
argument; waiting requests are opaque tokens.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

from irisdeal.ratelimit.demand_split import TimeWeightedMean, concurrency_bound

# Queued requests of one tenant at one proxy; further ones are rejected immediately.
MAX_WAITING = 2000


class AcquireResult(Enum):
    """The result of trying to acquire a slot within the limit."""

    ACQUIRED = 0
    QUEUED = 1
    REJECTED = 2  # the queue is full


@dataclass(slots=True)
class TenantConcurrency:
    """One tenant's requests at this proxy.

    `mean`: of requests in flight or waiting; `in_flight`: requests that hold a slot; `bound`: limit of
    `in_flight`; `waiting`: a heap of priority, arrival number and token.
    """

    mean: TimeWeightedMean
    in_flight: int = 0
    bound: int = 1
    waiting: list[tuple[int, int, Hashable]] = field(default_factory=list)


class ConcurrencyLimit:
    """The concurrency limits of all tenants at one proxy."""

    def __init__(self, slots: int = 0) -> None:
        """`slots`: requests that all usable backends serve concurrently."""
        self.tenants: dict[str, TenantConcurrency] = {}
        self.slots, self.proxies = slots, 1
        self.arrival_count = 0  # breaks ties between equal priorities

    def _tenant(self, name: str, now: float) -> TenantConcurrency:
        tenant = self.tenants.get(name)
        if tenant is None:
            # an even share, as its demand is not known yet
            bound = concurrency_bound(0.0, 0.0, self.slots, self.proxies)
            tenant = self.tenants[name] = TenantConcurrency(TimeWeightedMean(now), bound=bound)
        return tenant

    def acquire(self, tenant_name: str, priority: int, token: Hashable, now: float) -> AcquireResult:
        """Acquire a slot for a request, or queue its token; the lowest `priority` is dequeued first."""
        tenant = self._tenant(tenant_name, now)
        if tenant.in_flight < tenant.bound and not tenant.waiting:
            tenant.in_flight += 1
            tenant.mean.add(1, now)
            return AcquireResult.ACQUIRED
        if len(tenant.waiting) >= MAX_WAITING:
            return AcquireResult.REJECTED
        self.arrival_count += 1
        heapq.heappush(tenant.waiting, (priority, self.arrival_count, token))
        tenant.mean.add(1, now)
        return AcquireResult.QUEUED

    def cancel_wait(self, tenant_name: str, token: Hashable, now: float) -> bool:
        """Remove a token from the queue; False if it has left the queue already and is in flight."""
        tenant = self.tenants[tenant_name]
        remaining = [entry for entry in tenant.waiting if entry[2] is not token]
        if len(remaining) == len(tenant.waiting):
            return False
        heapq.heapify(remaining)
        tenant.waiting = remaining
        tenant.mean.add(-1, now)
        return True

    def release(self, tenant_name: str, now: float) -> list[Hashable]:
        """Release the slot of a request in flight; return the queued tokens that acquired one."""
        tenant = self.tenants[tenant_name]
        tenant.in_flight -= 1
        tenant.mean.add(-1, now)
        return self._dequeue(tenant)

    def _dequeue(self, tenant: TenantConcurrency) -> list[Hashable]:
        released = []
        while tenant.waiting and tenant.in_flight < tenant.bound:
            released.append(heapq.heappop(tenant.waiting)[2])
            tenant.in_flight += 1
        return released

    def close_interval(self, now: float) -> dict[str, float]:
        """Return each tenant's mean of requests in flight or waiting; remove idle tenants."""
        means = {}
        for name, tenant in list(self.tenants.items()):
            mean = tenant.mean.close_interval(now)
            if mean == 0 and tenant.in_flight == 0 and not tenant.waiting:
                del self.tenants[name]
            else:
                means[name] = mean
        return means

    def update_totals(
        self, own: dict[str, float], totals: dict[str, float], slots: int, proxies: int
    ) -> list[Hashable]:
        """Apply the demands of the last finished interval; return the queued tokens that acquired a slot.

        `own`: mean requests in flight or waiting at this proxy, by tenant; `totals`: at all proxies. A tenant
        without a total keeps its bound. `slots`: of all usable backends; `proxies`: number of proxies.
        """
        self.slots, self.proxies = slots, max(1, proxies)
        released: list[Hashable] = []
        for name, tenant in self.tenants.items():
            if name in totals:
                demand = own.get(name, 0.0)
                total = max(demand, totals[name])
                tenant.bound = concurrency_bound(demand, total, slots, self.proxies)
            released += self._dequeue(tenant)
        return released
