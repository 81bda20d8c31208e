"""The permits that a proxy holds ahead, for the time in which no registry answers. Time is an argument.

A batch belongs to one life of one registry: another life of it knows nothing of the batch and cannot renew it. What
is held may be used until the lease is over, counted from the moment at which the last answered report was sent.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.permits.messages import HeldReport, ReserveReply
from irisdeal.permits.outstanding import LEASE_S

MOST_WANTED = 64  # permits of one tenant that a proxy asks to hold
RESERVE_S = 1.0  # s of its usual demand that a proxy asks to hold: what registries that start again are away
DEMAND_WEIGHT = 0.15  # of the newest interval in the smoothed demand
IDLE_DEMAND_PER_S = 0.05  # requests a second of a tenant, under which nothing is held for it

Issuer = tuple[str, int]  # address of a registry, and its life


@dataclass(slots=True)
class Batch:
    """What one life of one registry has granted."""

    until: float
    permits: dict[str, int] = field(default_factory=dict)


class HeldPermits:
    """All that one proxy's process holds. `holder`: a number that no other process has."""

    def __init__(self, holder: int) -> None:
        self.holder, self.sequence = holder, 0
        self.batches: dict[Issuer, Batch] = {}
        self.incarnations: dict[str, int] = {}  # registry -> its life, as it told last
        self.demand: dict[str, float] = {}  # tenant -> requests a second, smoothed

    def note_demand(self, tenant: str, asked: int, interval_s: float) -> None:
        """What was asked of us in an interval."""
        known = self.demand.get(tenant, 0.0)
        demand = known + DEMAND_WEIGHT * (asked / interval_s - known)
        if demand < IDLE_DEMAND_PER_S and not asked:
            self.demand.pop(tenant, None)
        else:
            self.demand[tenant] = demand

    def take(self, tenant: str, now: float) -> bool:
        """Use one permit, of the batch that ends first. False where none is held."""
        usable = [
            batch for batch in self.batches.values() if batch.until > now and batch.permits.get(tenant, 0) > 0
        ]
        if not usable:
            return False
        self._discard(min(usable, key=lambda batch: batch.until), tenant, 1)
        return True

    def count(self, tenant: str, now: float) -> int:
        """Permits of a tenant that may be used now."""
        return sum(batch.permits.get(tenant, 0) for batch in self.batches.values() if batch.until > now)

    @staticmethod
    def _discard(batch: Batch, tenant: str, count: int) -> None:
        left = batch.permits.get(tenant, 0) - count
        if left > 0:
            batch.permits[tenant] = left
        else:
            batch.permits.pop(tenant, None)

    def drop(self, is_dropped: Callable[[str], bool]) -> None:
        """Give up all permits of these tenants: nobody asks for them, or their limit was lowered."""
        for batch in self.batches.values():
            for tenant in [tenant for tenant in batch.permits if is_dropped(tenant)]:
                del batch.permits[tenant]

    def report(self, registry: str, now: float) -> HeldReport:
        """What this registry is told: what we hold of it, and how much we want to hold."""
        self.sequence += 1
        self.batches = {issuer: batch for issuer, batch in self.batches.items() if batch.until > now}
        self.drop(lambda tenant: tenant not in self.demand)
        incarnation = self.incarnations.get(registry, 0)
        batch = self.batches.get((registry, incarnation))
        held = dict(batch.permits) if batch is not None else {}
        wanted = {}
        for tenant, demand in self.demand.items():
            aim = min(MOST_WANTED, math.ceil(RESERVE_S * demand))
            if aim > held.get(tenant, 0):
                wanted[tenant] = aim
        return HeldReport(self.holder, self.sequence, incarnation, held, wanted)

    def hear(self, registry: str, reply: ReserveReply, sent_at: float, now: float) -> None:
        """What the registry answered to the report that was sent at `sent_at`.

        A reply of the life that the report was for renews what was held; one of another life begins a batch.
        """
        until = sent_at + LEASE_S
        self.incarnations[registry] = reply.incarnation
        if not reply.is_issuing or now >= until:
            return
        batch = self.batches.get((registry, reply.incarnation))
        if batch is None or batch.until <= now:  # what is over is not renewed
            batch = self.batches[registry, reply.incarnation] = Batch(until)
        batch.until = until
        for tenant, change in reply.changes.items():
            if change > 0:
                batch.permits[tenant] = batch.permits.get(tenant, 0) + change
            else:
                self._discard(batch, tenant, -change)
