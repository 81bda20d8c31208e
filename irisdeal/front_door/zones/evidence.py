"""What one door's own attempts tell of a zone: Page's cumulative sum over its backends. Pure.

An attempt at a zone that is well fails with a chance `well`, at one that is lost with `LOST`. Each
failure moves the sum by ln(LOST / well), each answer by ln((1 - LOST) / (1 - well)), and it never falls
below nothing (Page 1954). A backend counts once as failed until it answers, so that one bad backend is no
bad zone. `well` is `WELL`, or what fails in the other zones where that is more: in a rush all are slow,
and none is lost.

By Wald's inequality a sum of `ALARM` is reached with a chance of at most e**-ALARM in each cycle of a
zone that is well: one in 10,000. A lost one reaches it after `ALARM / ln(LOST / well)` failures at
different backends, five, and is not missed for long: its sum drifts upwards by 1.76 an attempt.
"""

from __future__ import annotations

import math

WELL, LOST = 0.1, 0.9  # chances that an attempt fails: one backend of eight is bad on a bad day
ALARM = math.log(10_000)  # odds against a false alarm in one cycle of the sum
SUSPECT = 2 * math.log(LOST / WELL) - 1e-9  # two failures more than answers
LEARN = 0.1  # weight of a new attempt in the share that fails


class Evidence:
    """The sum for one zone."""

    __slots__ = ("failed", "failing", "score")

    def __init__(self) -> None:
        self.score = 0.0
        self.failed: set[bytes] = set()  # backends that count as failed
        self.failing = 0.0  # share of the last attempts that failed

    def fails(self, backend: bytes, of: int, elsewhere: float = 0.0) -> bool:
        """An attempt at one `of` so many failed, as do `elsewhere` of those at others; whether it is news."""
        self.failing += LEARN * (1.0 - self.failing)
        if backend in self.failed and 2 * len(self.failed) <= of:
            return False
        self.failed.add(backend)
        self.score += math.log(LOST / _well(elsewhere))
        return True

    def answers(self, backend: bytes, elsewhere: float = 0.0) -> None:
        """An attempt was answered."""
        self.failing -= LEARN * self.failing
        self.failed.discard(backend)
        self.score = max(0.0, self.score + math.log((1.0 - LOST) / (1.0 - _well(elsewhere))))
        if not self.score:
            self.failed.clear()

    @property
    def suspects(self) -> bool:
        return self.score >= SUSPECT

    @property
    def alarms(self) -> bool:
        return self.score >= ALARM

    def clear(self) -> None:
        """Begin anew, as after a change of what is believed."""
        self.score = self.failing = 0.0
        self.failed.clear()


def _well(elsewhere: float) -> float:
    return min(0.8, max(WELL, elsewhere))
