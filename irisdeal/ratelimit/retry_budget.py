"""The budget of repeats at a service, held in sum over doors.

The rule allows ratio x requests + slack arrivals beyond the first in any window, all doors together. A door
spends ratio x its own requests of the window, and its even share of the slack: the sums are the rule's.
"""

from __future__ import annotations

from collections import deque

SAFE = 0.8  # of what is allowed: doors' windows are not the judge's
STEP = 0.5  # s: what is counted together


class Repeats:
    """One service at one door."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.window, self.slack = ratio, window, slack
        self.steps: deque[list[float]] = deque()  # [since, requests, repeats]
        self.requests = self.repeats = 0.0

    def _now(self, now: float) -> list[float]:
        while self.steps and self.steps[0][0] < now - self.window - STEP:
            _, requests, repeats = self.steps.popleft()
            self.requests -= requests
            self.repeats -= repeats
        if not self.steps or now - self.steps[-1][0] >= STEP:
            self.steps.append([now, 0.0, 0.0])
        return self.steps[-1]

    def request(self, now: float) -> None:
        """A client's request for this service."""
        self._now(now)[1] += 1
        self.requests += 1

    def left(self, now: float, doors: int) -> float:
        """How many repeats may be sent now."""
        self._now(now)
        return SAFE * (self.ratio * self.requests + self.slack / max(1, doors)) - self.repeats

    def spend(self, now: float, doors: int, keep: float = 0.0) -> bool:
        """Whether one may be sent, with `keep` left over; it is counted if so."""
        if self.left(now, doors) < 1.0 + keep:
            return False
        self._now(now)[2] += 1
        self.repeats += 1
        return True
