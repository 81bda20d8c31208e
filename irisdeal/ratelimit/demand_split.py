"""The demand split: one door's part of what all doors may have together (Padala et al., each tenant a class).

Under the cap a door has its demand and an even share of what is free; over it, its part by demand. Summed
over doors that read the same total both come to the cap. Time and totals are arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


def part(demand: float, total: float, cap: float, doors: int) -> float:
    """One door's part of `cap`, in the cap's unit; `demand` is within `total`, both in the same unit.

    A total of nought gives the starting part, cap over doors.
    """
    doors = max(1, doors)
    if total <= 0:
        return cap / doors
    demand = min(max(0.0, demand), total)
    if total <= cap:
        return demand + (cap - total) / doors
    return cap * demand / total


def bound(demand: float, total: float, cap: float, doors: int) -> int:
    """How many requests of a tenant a door may have at backends at once: rounded up, at least one."""
    return max(1, math.ceil(part(demand, total, cap, doors) - 1e-9))


@dataclass(slots=True)
class Mean:
    """The mean over time of a number that steps, within one interval."""

    since: float
    level: int = 0
    area: float = 0.0
    at: float = 0.0

    def step(self, by: int, now: float) -> None:
        """`by` more are held or sent from now on."""
        self.area += self.level * (now - max(self.at, self.since))
        self.at = now
        self.level += by

    def close(self, now: float) -> float:
        """The mean level of the interval that ends now; the next one begins."""
        self.step(0, now)
        length = max(1e-3, now - self.since)
        mean = self.area / length
        self.since, self.area = now, 0.0
        return mean
