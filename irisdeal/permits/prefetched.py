"""Permits that a proxy prefetches, for use while no registry replies. Time is an argument.

A batch belongs to one incarnation of one registry; the next incarnation has no record of it and cannot renew it.
Prefetched permits may be used until their lease expires, counted from the sending of the last report that was
answered.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.permits.messages import PrefetchReply, PrefetchReport
from irisdeal.permits.outstanding import LEASE_S

# Permits of one tenant at one proxy.
MAX_PREFETCHED = 64
# Prefetched permits in seconds of a tenant's smoothed demand: about the time that a registry takes to restart.
PREFETCH_S = 1.0
# Weight of the newest interval in the smoothed demand (exponentially weighted moving average).
DEMAND_WEIGHT = 0.15
# Smoothed demand of a tenant below which no permits are prefetched for it.
IDLE_DEMAND_PER_S = 0.05

Issuer = tuple[str, int]  # address of a registry, and the incarnation of its process


@dataclass(slots=True)
class PermitBatch:
    """The permits, by tenant, that one incarnation of one registry has granted.

    `expires_at`: s on the proxy's clock.
    """

    expires_at: float
    permits: dict[str, int] = field(default_factory=dict)


class PrefetchedPermits:
    """All permits that one proxy's process has prefetched."""

    def __init__(self, proxy: int) -> None:
        """`proxy`: a number that identifies this process, unique among all proxies' processes."""
        self.proxy, self.sequence = proxy, 0
        self.batches: dict[Issuer, PermitBatch] = {}
        self.incarnations: dict[str, int] = {}  # registry -> incarnation of its process in its last reply
        self.demand: dict[str, float] = {}  # tenant -> smoothed requests per second

    def record_demand(self, tenant: str, requests: int, interval_s: float) -> None:
        """Update a tenant's smoothed demand by its requests at this proxy in `interval_s` seconds."""
        previous = self.demand.get(tenant, 0.0)
        demand = previous + DEMAND_WEIGHT * (requests / interval_s - previous)
        if demand < IDLE_DEMAND_PER_S and not requests:
            self.demand.pop(tenant, None)
        else:
            self.demand[tenant] = demand

    def consume(self, tenant: str, now: float) -> bool:
        """Consume one permit of the batch that expires first; False if none is left."""
        usable = [
            batch
            for batch in self.batches.values()
            if batch.expires_at > now and batch.permits.get(tenant, 0) > 0
        ]
        if not usable:
            return False
        self._discard(min(usable, key=lambda batch: batch.expires_at), tenant, 1)
        return True

    def count(self, tenant: str, now: float) -> int:
        """Return the number of permits of a tenant that may be used now."""
        return sum(batch.permits.get(tenant, 0) for batch in self.batches.values() if batch.expires_at > now)

    @staticmethod
    def _discard(batch: PermitBatch, tenant: str, count: int) -> None:
        left = batch.permits.get(tenant, 0) - count
        if left > 0:
            batch.permits[tenant] = left
        else:
            batch.permits.pop(tenant, None)

    def drop(self, is_dropped: Callable[[str], bool]) -> None:
        """Discard all permits of the tenants that `is_dropped` selects: without demand, or with a lowered limit."""
        for batch in self.batches.values():
            for tenant in [tenant for tenant in batch.permits if is_dropped(tenant)]:
                del batch.permits[tenant]

    def build_report(self, registry: str, now: float) -> PrefetchReport:
        """Return the next report to this registry: its unused permits, and the counts to hold in total."""
        self.sequence += 1
        self.batches = {issuer: batch for issuer, batch in self.batches.items() if batch.expires_at > now}
        self.drop(lambda tenant: tenant not in self.demand)
        incarnation = self.incarnations.get(registry, 0)
        batch = self.batches.get((registry, incarnation))
        unused = dict(batch.permits) if batch is not None else {}
        wanted = {}
        for tenant, demand in self.demand.items():
            target = min(MAX_PREFETCHED, math.ceil(PREFETCH_S * demand))
            if target > unused.get(tenant, 0):
                wanted[tenant] = target
        return PrefetchReport(self.proxy, self.sequence, incarnation, unused, wanted)

    def receive_reply(self, registry: str, reply: PrefetchReply, sent_at: float, now: float) -> None:
        """Apply the registry's reply to the report that was sent at `sent_at`.

        A reply from the incarnation that the report was addressed to renews its batch; one from another
        incarnation starts a new batch.
        """
        expires_at = sent_at + LEASE_S
        self.incarnations[registry] = reply.incarnation
        if not reply.is_issuing or now >= expires_at:
            return
        batch = self.batches.get((registry, reply.incarnation))
        if batch is None or batch.expires_at <= now:  # an expired batch is not renewed
            batch = self.batches[registry, reply.incarnation] = PermitBatch(expires_at)
        batch.expires_at = expires_at
        for tenant, change in reply.changes.items():
            if change > 0:
                batch.permits[tenant] = batch.permits.get(tenant, 0) + change
            else:
                self._discard(batch, tenant, -change)
