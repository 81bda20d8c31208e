"""Limits the requests of each tenant that one proxy has in flight, and queues those over the bound.

The bound is the proxy's demand share of the tenant's cap. The configuration names no cap; it is derived: all
slots of all usable backends, as they report them, since requests beyond that only wait at a backend. A cap
that is too large lets queues grow at the backends, one that is too small lets requests wait here beside free
slots. Time is an argument; waiting requests are opaque tokens.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

from irisdeal.ratelimit.demand_split import TimeWeightedMean, concurrency_bound

# Requests of one tenant that may wait at one proxy; more are rejected at once.
MAX_WAITING = 2000


class AcquireResult(Enum):
    """The result of an attempt to go ahead within the limit."""

    ACQUIRED = 0
    QUEUED = 1
    REJECTED = 2  # the queue is full


@dataclass(slots=True)
class TenantConcurrency:
    """One tenant's requests at this proxy.

    `mean`: of requests in flight or waiting; `in_flight`: at backends; `bound`: limit of `in_flight`;
    `waiting`: a heap of priority, arrival number and token.
    """

    mean: TimeWeightedMean
    in_flight: int = 0
    bound: int = 1
    waiting: list[tuple[int, int, Hashable]] = field(default_factory=list)


class ConcurrencyLimit:
    """The concurrency limits of all tenants at one proxy."""

    def __init__(self, slots: int = 0) -> None:
        """`slots`: requests that all usable backends work on at once."""
        self.tenants: dict[str, TenantConcurrency] = {}
        self.slots, self.proxies = slots, 1
        self.arrivals = 0

    def _tenant(self, name: str, now: float) -> TenantConcurrency:
        tenant = self.tenants.get(name)
        if tenant is None:
            # no demand known yet: an even share
            bound = concurrency_bound(0.0, 0.0, self.slots, self.proxies)
            tenant = self.tenants[name] = TenantConcurrency(TimeWeightedMean(now), bound=bound)
        return tenant

    def acquire(self, tenant_name: str, priority: int, token: Hashable, now: float) -> AcquireResult:
        """Let a request go ahead, or queue its token; the lowest `priority` number leaves the queue first."""
        tenant = self._tenant(tenant_name, now)
        if tenant.in_flight < tenant.bound and not tenant.waiting:
            tenant.in_flight += 1
            tenant.mean.add(1, now)
            return AcquireResult.ACQUIRED
        if len(tenant.waiting) >= MAX_WAITING:
            return AcquireResult.REJECTED
        self.arrivals += 1
        heapq.heappush(tenant.waiting, (priority, self.arrivals, token))
        tenant.mean.add(1, now)
        return AcquireResult.QUEUED

    def cancel_wait(self, tenant_name: str, token: Hashable, now: float) -> bool:
        """Remove a token from the queue; False where it has left the queue already and is in flight."""
        tenant = self.tenants[tenant_name]
        remaining = [waiting for waiting in tenant.waiting if waiting[2] is not token]
        if len(remaining) == len(tenant.waiting):
            return False
        heapq.heapify(remaining)
        tenant.waiting = remaining
        tenant.mean.add(-1, now)
        return True

    def release(self, tenant_name: str, now: float) -> list[Hashable]:
        """End a request that was in flight; return the tokens that go ahead instead."""
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
        """Return each tenant's mean of requests in flight or waiting in the interval that ends.

        Forget idle ones.
        """
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
        """Apply the demands of the last finished interval; return the tokens that may go ahead now.

        `own`: mean requests in flight or waiting at this proxy, by tenant; `totals`: at all proxies. A tenant
        without a total keeps its bound. `slots`: of all usable backends; `proxies`: their number.
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
