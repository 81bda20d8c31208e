"""Agreement of all processes on the number of the current interval, without trusting the time of day.

Each process has a position: the number of intervals that have passed, on its own steady clock. A process that
receives a larger position adopts it, so all follow the one that is furthest ahead. A message takes time, so a
received position is never ahead of its sender's: two processes that exchange messages differ by the shortest
network delay between them (1 to 40 ms of an interval of 500 ms), and a restart at position 0 is corrected by
the first message. A position never decreases, so an interval that has ended stays ended.
"""

from __future__ import annotations

import math

# s: a flood does most harm in its first second, so totals have to be recent; wake-ups this rare cost little.
INTERVAL_S = 0.5
# Intervals, over ten thousand years: a larger position is not plausible and is ignored.
MAX_POSITION = float(1 << 40)


class SharedIntervalClock:
    """One process's position in the sequence of intervals. `now` is s of its steady clock."""

    def __init__(self, now: float, interval_s: float = INTERVAL_S) -> None:
        self.origin, self.interval_s = now, interval_s  # `origin`: when the position was 0, in s

    def position(self, now: float) -> float:
        """Return the number of intervals passed, with the fraction of the current one."""
        return (now - self.origin) / self.interval_s

    def number(self, now: float) -> int:
        """Return the number of the current interval."""
        return math.floor(self.position(now))

    def seconds_until(self, number: int, now: float) -> float:
        """Return the s until interval `number` begins; 0 where it has begun."""
        return max(0.0, (number - self.position(now)) * self.interval_s)

    def observe_position(self, position: float, now: float) -> bool:
        """Take in another process's position; return whether ours moved forward."""
        if not self.position(now) < position < MAX_POSITION:
            return False
        self.origin = now - position * self.interval_s
        return True
