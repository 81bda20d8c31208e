"""Agreement of all processes on the number of the current interval, independent of wall clocks.

Each process has a position: the number of intervals that have passed on its own monotonic clock. A process that
receives a larger position adopts it, so all follow the one that is furthest ahead. As messages take time, a
received position is never ahead of its sender's current one: two processes that exchange messages differ by at
most the shortest network delay between them (1 to 40 ms of a 500 ms interval), and a restart at position 0 is
corrected by the first message. A position never decreases, so an ended interval never becomes current again.
"""

from __future__ import annotations

import math

# Short, as overload does most harm in its first second; two reports a second per process cost little.
INTERVAL_S = 0.5
# More than 10,000 years of intervals: a larger position is implausible and is ignored.
MAX_POSITION = float(1 << 40)


class SharedIntervalClock:
    """One process's position in the sequence of intervals. `now` is in s of its monotonic clock."""

    def __init__(self, now: float, interval_s: float = INTERVAL_S) -> None:
        self.origin, self.interval_s = now, interval_s  # `origin`: time in s at which the position was 0

    def position(self, now: float) -> float:
        """Return the number of intervals passed, including the fraction of the current one."""
        return (now - self.origin) / self.interval_s

    def number(self, now: float) -> int:
        """Return the number of the current interval."""
        return math.floor(self.position(now))

    def seconds_until(self, number: int, now: float) -> float:
        """Return the s until interval `number` begins; 0 if it has begun."""
        return max(0.0, (number - self.position(now)) * self.interval_s)

    def observe_position(self, position: float, now: float) -> bool:
        """Adopt another process's position if it is ahead and plausible; return whether it was adopted."""
        if not self.position(now) < position < MAX_POSITION:
            return False
        self.origin = now - position * self.interval_s
        return True
