"""Estimate of the event loop's lag, by which a client's remaining time is overestimated.

A request that waits in its socket while the loop is busy has less time left than its headers state, and its
response waits for the loop once more. Timers measure the lag: if one fires late, data that arrived
meanwhile was read late by about as much, since a loop polls its timers and its sockets in the same iteration.
The estimate is the largest recent lag, halved every `HALF_LIFE_S`: lag comes in bursts, so that its mean
would be exceeded half of the time.

Times are seconds on the caller's clock.
"""

from __future__ import annotations

HALF_LIFE_S = 0.25  # a few iterations of a loop whose lag is large enough to matter
NORMAL_LAG_S = 0.004  # timers have a resolution of 1 ms, and an iteration with some requests takes as long


class EventLoopLag:
    """The largest recent lag, with exponential decay. Recording costs O(1)."""

    def __init__(self) -> None:
        self._lag_s = 0.0
        self._measured_at = 0.0

    def record(self, lag_s: float, now: float) -> None:
        """Record that a timer fired `lag_s` after it was due."""
        self._lag_s = max(lag_s, self._decayed_lag_s(now))
        self._measured_at = now

    def excess_s(self, now: float) -> float:
        """Return the lag beyond the normal one, in s; 0.0 while the loop keeps up."""
        return max(0.0, self._decayed_lag_s(now) - NORMAL_LAG_S)

    def _decayed_lag_s(self, now: float) -> float:
        age_s = max(0.0, now - self._measured_at)
        return float(self._lag_s * 0.5 ** (age_s / HALF_LIFE_S))
