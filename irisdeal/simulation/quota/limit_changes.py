"""Random schedules with several tenants, whose limits, keys and names change amid floods and faults."""

from __future__ import annotations

import random
from collections.abc import Callable

from irisdeal.permits.allowance import Limit
from irisdeal.simulation.quota.faults import MAX_REQUESTS, QuotaDay, QuotaDayPlayer, draw
from irisdeal.simulation.quota.nodes import TENANT

MAX_TENANTS = 4
NOT_ISSUING_S = 0.07  # for which proxies skip a registry that issues no permits
FIRST_CHANGE_S = 6.0
CHANGE_GAPS_S = (0.0, 0.1, 0.5, 1.0, 2.0, 6.0)  # upper bounds of the time between two changes of a series
MAX_CHANGES = 8  # of a series
MAX_ABSENT_S = 0.2  # of a tenant that is added again
QUIET_END_S = 8.0  # of a schedule, without new changes
FLOOD_FACTORS = (0.0, 0.9, 9.0, 20.0, 20.0)  # of the tenants' rates


class LimitChangeDayPlayer(QuotaDayPlayer):
    """Simulates the schedule of one seed."""

    def __init__(self, day: QuotaDay) -> None:
        super().__init__(day)
        self.world.applies_each_version = True
        self.world.not_issuing_avoidance_s = NOT_ISSUING_S
        self.limits = {TENANT: self.world.limit}
        for number in range(1, self.chance.randint(1, MAX_TENANTS)):
            tenant = f"{TENANT}{number}"
            self.limits[tenant] = self._draw_limit()
            self.world.add_tenant(tenant, self.limits[tenant])

    def _draw_limit(self) -> Limit:
        """Return a limit: rates from below the number of issuers up to tens, bursts up to 25 times the rate."""
        rate = 0.5 * 100 ** self.chance.random()
        return Limit(rate, rate * self.chance.choice((0.0, 1.0, 1.0, 5.0, 25.0)))

    def play(self) -> float:
        """Run the schedule; return the largest share of the allowed requests of a tenant in any window."""
        for tenant, limit in self.limits.items():
            self._flood(tenant, limit)
        for _ in range(self.chance.randint(1, 4)):
            at = self.chance.uniform(FIRST_CHANGE_S, self.day.end_s - QUIET_END_S)
            self._schedule(self.chance.choice(self._changes()), at)
            if self.chance.random() < 0.6:
                self._schedule(self.chance.choice(self._faults()), at + self.chance.uniform(-1.0, 1.0))
        self.world.play(self.day.end_s + 2.0)
        return self.world.worst()

    def _schedule(self, happen: Callable[[float], None], at: float) -> None:
        self.day.events.append(f"{at:.1f} s {happen.__name__.strip('_')}")
        happen(at)

    def _flood(self, tenant: str, limit: Limit) -> None:
        """Schedule idle times, normal load and floods of one tenant."""
        since, budget = 0.0, MAX_REQUESTS / len(self.limits)
        while since < self.day.end_s and budget > 0:
            factor = self.chance.choice(FLOOD_FACTORS)
            lasts = min(self.day.end_s - since, self.chance.uniform(0.5, 8.0))
            if factor:
                lasts = min(lasts, budget / (factor * limit.rate_per_s))
                self.world.load(since, since + lasts, factor, tenant)
            budget -= lasts * factor * limit.rate_per_s
            since += lasts

    def _changes(self) -> list[Callable[[float], None]]:
        return [
            self._removed_and_added,
            self._lowered_and_raised,
            self._other_limits,
            self._unlimited_in_between,
            self._passed_keys,
            self._lost_writes,
            self._registry_added_then_removed,
        ]

    def _tenant(self) -> str:
        return self.chance.choice(sorted(self.limits))

    def _series(self, at: float) -> list[float]:
        """Return the times of a series of changes that begins at `at`."""
        longest, times = self.chance.choice(CHANGE_GAPS_S), [at]
        while len(times) < 2 * self.chance.randint(1, MAX_CHANGES // 2):
            times.append(times[-1] + longest * self.chance.random())
        return times

    def _set(self, at: float, tenant: str, limit: Limit) -> None:
        self.world.at(at, self.world.set_limit, limit.rate_per_s, limit.burst, tenant)

    def _removed_and_added(self, at: float) -> None:
        """Remove a tenant and add it again, several times; it is absent for a short time each time."""
        tenant, longest = self._tenant(), self.chance.choice(CHANGE_GAPS_S)
        for _ in range(self.chance.randint(1, MAX_CHANGES)):
            self.world.at(at, self.world.remove_tenant, tenant)
            at += MAX_ABSENT_S * self.chance.random()
            self._set(at, tenant, self.limits[tenant])
            at += longest * self.chance.random()

    def _lowered_and_raised(self, at: float) -> None:
        tenant, share = self._tenant(), self.chance.choice((0.02, 0.1, 0.5))
        high = self.limits[tenant]
        low = Limit(high.rate_per_s * share, high.burst * share)
        for number, time in enumerate(self._series(at)):
            self._set(time, tenant, high if number % 2 else low)

    def _other_limits(self, at: float) -> None:
        tenant = self._tenant()
        for time in self._series(at):
            self._set(time, tenant, self._draw_limit())

    def _unlimited_in_between(self, at: float) -> None:
        tenant = self._tenant()
        for number, time in enumerate(self._series(at)):
            self._set(time, tenant, self.limits[tenant] if number % 2 else Limit())

    def _passed_keys(self, at: float) -> None:
        for time in self._series(at):
            self.world.at(time, self.world.pass_key, self._tenant(), self._tenant())

    def _lost_writes(self, at: float) -> None:
        """Restart registries whose disks lost the last write."""
        for ip in self._sample(self._ips()):
            self.world.at(at, self.world.kill_registry, ip)
            self.world.at(at, self.world.lose_last_write, ip)
            self.world.at(at + self.chance.uniform(0.3, 3.0), self.world.start_registry, ip)

    def _registry_added_then_removed(self, at: float) -> None:
        """Replace a registry in order: the new one joins first, then the old one is stopped and removed."""
        old, new = self.chance.choice(self._ips()), self._new_ip()
        self.world.at(at, self.world.add_registry, new)
        self.world.at(at + self.chance.uniform(0.6, 3.0), self.world.kill_registry, old)
        self.world.at(at + 3.0 + self.chance.random(), self.world.remove_registry, old)


def play(seed: int) -> tuple[float, QuotaDay]:
    """Run the schedule of this seed; return the share of the worst window, and the schedule."""
    day = draw(seed)
    random_rate = random.Random(seed + 2)
    day.rate = 0.5 * 100 ** random_rate.random()
    day.burst = day.rate * random_rate.choice((0.0, 1.0, 5.0, 25.0))
    return LimitChangeDayPlayer(day).play(), day
