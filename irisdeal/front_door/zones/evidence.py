"""Evidence that a zone is lost, from one front door's own attempts: a CUSUM test over its backends. No I/O.

An attempt at a healthy zone fails with probability `HEALTHY_FAILURE_RATIO`, one at a lost zone with
`LOST_FAILURE_RATIO`. Each failure adds ln(lost / healthy) to a sum, each success ln((1 - lost) / (1 - healthy)),
and the sum never falls below 0 (Page 1954). A failed backend is counted once until it answers, so that a single
bad backend does not condemn its zone. Where more attempts fail in the other zones, their failure ratio replaces
the healthy one: under overload all zones are slow, and none is lost.

By Wald's inequality, the sum of a healthy zone reaches `ALARM_SCORE` with a probability of at most
exp(-ALARM_SCORE) in each cycle: one in 10,000. The sum of a lost zone reaches it after
ALARM_SCORE / ln(lost / healthy) failures at different backends, which is five. Successes delay this only briefly:
each attempt raises the sum of a lost zone by 1.76 on average.
"""

from __future__ import annotations

import math

# Probability that an attempt fails. In a healthy zone at most one backend of eight is expected to be bad.
HEALTHY_FAILURE_RATIO = 0.1
LOST_FAILURE_RATIO = 0.9
MAX_HEALTHY_FAILURE_RATIO = 0.8  # where the other zones fail more; it must stay below that of a lost zone
ALARM_SCORE = math.log(10_000)  # false alarms: at most one in 10,000 cycles of the sum
# Two failures more than successes.
SUSPECT_SCORE = 2 * math.log(LOST_FAILURE_RATIO / HEALTHY_FAILURE_RATIO) - 1e-9
FAILURE_RATIO_WEIGHT = 0.1  # of the newest attempt in the moving average of failures


class Evidence:
    """The sum and the failure ratio of one zone."""

    __slots__ = ("failed_backends", "failure_ratio", "score")

    def __init__(self) -> None:
        self.score = 0.0
        self.failed_backends: set[bytes] = set()  # failed, and not answered since
        self.failure_ratio = 0.0  # moving average over attempts

    def record_failure(
        self, backend: bytes, backend_count: int, failure_ratio_elsewhere: float = 0.0
    ) -> bool:
        """Record a failed attempt; return whether it was added to the sum.

        A backend that failed already is skipped, unless more than half of the zone's `backend_count` failed.
        """
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (1.0 - self.failure_ratio)
        if backend in self.failed_backends and 2 * len(self.failed_backends) <= backend_count:
            return False
        self.failed_backends.add(backend)
        self.score += math.log(LOST_FAILURE_RATIO / _healthy_failure_ratio(failure_ratio_elsewhere))
        return True

    def record_success(self, backend: bytes, failure_ratio_elsewhere: float = 0.0) -> None:
        """Record an attempt that was answered."""
        self.failure_ratio -= FAILURE_RATIO_WEIGHT * self.failure_ratio
        self.failed_backends.discard(backend)
        self.score = max(
            0.0,
            self.score
            + math.log((1.0 - LOST_FAILURE_RATIO) / (1.0 - _healthy_failure_ratio(failure_ratio_elsewhere))),
        )
        if not self.score:
            self.failed_backends.clear()

    @property
    def is_suspect(self) -> bool:
        """Whether failures exceed successes by at least two."""
        return self.score >= SUSPECT_SCORE

    @property
    def is_alarm(self) -> bool:
        """Whether the zone is held to be lost."""
        return self.score >= ALARM_SCORE

    def reset(self) -> None:
        """Start again from 0, as after a change of the zone's state."""
        self.score = self.failure_ratio = 0.0
        self.failed_backends.clear()


def _healthy_failure_ratio(failure_ratio_elsewhere: float) -> float:
    return min(MAX_HEALTHY_FAILURE_RATIO, max(HEALTHY_FAILURE_RATIO, failure_ratio_elsewhere))
