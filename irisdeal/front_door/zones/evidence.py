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
ALARM_SCORE = math.log(10_000)  # odds against a false alarm in one cycle of the sum
SUSPECT = 2 * math.log(LOST / WELL) - 1e-9  # two failures more than answers
LEARN = 0.1  # weight of a new attempt in the share that fails


class Evidence:
    """The sum for one zone."""

    __slots__ = ("failed_backends", "failure_ratio", "score")

    def __init__(self) -> None:
        self.score = 0.0
        self.failed_backends: set[bytes] = set()  # backends that count as failed
        self.failure_ratio = 0.0  # share of the last attempts that failed

    def record_failure(
        self, backend: bytes, backend_count: int, failure_ratio_elsewhere: float = 0.0
    ) -> bool:
        """Record a failed attempt; return whether it counts, as a backend counts once until it answers."""
        self.failure_ratio += LEARN * (1.0 - self.failure_ratio)
        if backend in self.failed_backends and 2 * len(self.failed_backends) <= backend_count:
            return False
        self.failed_backends.add(backend)
        self.score += math.log(LOST / _well(failure_ratio_elsewhere))
        return True

    def record_success(self, backend: bytes, failure_ratio_elsewhere: float = 0.0) -> None:
        """An attempt was answered."""
        self.failure_ratio -= LEARN * self.failure_ratio
        self.failed_backends.discard(backend)
        self.score = max(0.0, self.score + math.log((1.0 - LOST) / (1.0 - _well(failure_ratio_elsewhere))))
        if not self.score:
            self.failed_backends.clear()

    @property
    def is_suspect(self) -> bool:
        return self.score >= SUSPECT

    @property
    def is_alarm(self) -> bool:
        return self.score >= ALARM_SCORE

    def reset(self) -> None:
        """Begin anew, as after a change of what is believed."""
        self.score = self.failure_ratio = 0.0
        self.failed_backends.clear()


def _well(failure_ratio_elsewhere: float) -> float:
    return min(0.8, max(WELL, failure_ratio_elsewhere))
