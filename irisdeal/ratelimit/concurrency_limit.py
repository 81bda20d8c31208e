"""Held and sent: how many requests of each tenant are at backends, and who waits past the bound.

The bound is the demand split of the tenant's cap. The configuration names no cap; it is found: a tenant may have
all slots of all backends that may be used, by their own word, and no more, since what is sent beyond only waits
there. A cap that is too large lets queues grow at backends, one too small makes requests wait here beside free
slots. Time is an argument; whoever waits is an opaque token.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field

from irisdeal.ratelimit.demand_split import Mean, bound

MOST_WAITING = 2000  # of one tenant at one door; more are refused at once


@dataclass(slots=True)
class Held:
    """One tenant at one door."""

    mean: Mean
    out: int = 0
    bound: int = 1
    waiting: list[tuple[int, int, Hashable]] = field(default_factory=list)


class ConcurrencyLimit:
    """All tenants at one door."""

    def __init__(self, slots: int = 0) -> None:
        self.tenants: dict[str, Held] = {}
        self.slots, self.doors = slots, 1
        self.number = 0

    def _held(self, tenant: str, now: float) -> Held:
        held = self.tenants.get(tenant)
        if held is None:  # unseen: cap over the number of doors
            held = self.tenants[tenant] = Held(Mean(now), bound=bound(0.0, 0.0, self.slots, self.doors))
        return held

    def enter(self, tenant: str, priority: int, token: Hashable, now: float) -> bool | None:
        """True: go on. False: `token` waits, the least `priority` number goes first. None: refused."""
        held = self._held(tenant, now)
        if held.out < held.bound and not held.waiting:
            held.out += 1
            held.mean.step(1, now)
            return True
        if len(held.waiting) >= MOST_WAITING:
            return None
        self.number += 1
        heapq.heappush(held.waiting, (priority, self.number, token))
        held.mean.step(1, now)
        return False

    def give_up(self, tenant: str, token: Hashable, now: float) -> bool:
        """It waits no more. False where it has been let in meanwhile, and has the place."""
        held = self.tenants[tenant]
        left = [waiting for waiting in held.waiting if waiting[2] is not token]
        if len(left) == len(held.waiting):
            return False
        heapq.heapify(left)
        held.waiting = left
        held.mean.step(-1, now)
        return True

    def leave(self, tenant: str, now: float) -> list[Hashable]:
        """One has ended; who goes on in its place."""
        held = self.tenants[tenant]
        held.out -= 1
        held.mean.step(-1, now)
        return self._next(held)

    def _next(self, held: Held) -> list[Hashable]:
        going = []
        while held.waiting and held.out < held.bound:
            going.append(heapq.heappop(held.waiting)[2])
            held.out += 1
        return going

    def close(self, now: float) -> dict[str, float]:
        """Each tenant's mean held or sent in the interval that ends; idle ones are forgotten."""
        means = {}
        for tenant, held in list(self.tenants.items()):
            mean = held.mean.close(now)
            if mean == 0 and held.out == 0 and not held.waiting:
                del self.tenants[tenant]
            else:
                means[tenant] = mean
        return means

    def told(self, own: dict[str, float], totals: dict[str, float], slots: int, doors: int) -> list[Hashable]:
        """Totals of all doors; who may go on now. A tenant without a total keeps its last bound."""
        self.slots, self.doors = slots, max(1, doors)
        going: list[Hashable] = []
        for tenant, held in self.tenants.items():
            if tenant in totals:
                mine = own.get(tenant, 0.0)
                held.bound = bound(mine, max(mine, totals[tenant]), slots, self.doors)
            going += self._next(held)
        return going
