"""The shared edge of intervals, without trusting the time of day. Time is an argument; no input or output.

Every process has a position: how many intervals it has seen go by, on its own steady clock. Whoever hears a
larger one takes it over, so all follow the one that is furthest ahead. A word is on its way for a while, so a
position that is heard is never ahead of the one that was told: two processes that hear each other differ by the
shortest way between them (1 ms to 40 ms of an interval of 500), and a restart at nought is mended by the first
word. It never goes back, so an interval that is over stays over.
"""

from __future__ import annotations

import math

LENGTH = 0.5  # s of an interval: news of a flood is worth most in its first second; wake-ups cost little
MOST = float(1 << 40)  # intervals, over ten thousand years: a larger position is no position


class SharedIntervalClock:
    """One process's position."""

    def __init__(self, now: float, length: float = LENGTH) -> None:
        self.zero, self.length = now, length

    def position(self, now: float) -> float:
        """Intervals gone by, with the part of the one that is running."""
        return (now - self.zero) / self.length

    def number(self, now: float) -> int:
        """The interval that is running."""
        return math.floor(self.position(now))

    def until(self, number: int, now: float) -> float:
        """s until this interval begins; nought where it has begun."""
        return max(0.0, (number - self.position(now)) * self.length)

    def hear(self, position: float, now: float) -> bool:
        """Another's position; True where ours moves forward."""
        if not self.position(now) < position < MOST:
            return False
        self.zero = now - position * self.length
        return True
