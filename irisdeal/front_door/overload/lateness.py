"""How late a door's loop runs, so that what a client still has is not taken for more than it is.

A request that lies in its socket while the loop is busy has less time left than it says; its answer waits
for the loop once more. Timers tell: one that comes late by so much says that whatever came meanwhile was
read late by about as much (a loop looks at its timers and its sockets in the same turn). The latest of late
counts and is forgotten by half each `HALF`, since lateness comes in heaps and its mean would be passed half
the time.
Times are seconds on the caller's clock.
"""

from __future__ import annotations

HALF = 0.25  # s: a few turns of a loop that is late enough to matter
USUAL = 0.004  # s: timers count whole ms, and a turn of some requests takes as long


class Lateness:
    """The lateness of late. O(1) a note."""

    def __init__(self) -> None:
        self._late, self._at = 0.0, 0.0

    def note(self, late: float, now: float) -> None:
        """A timer was late by so much."""
        self._late, self._at = max(late, self._faded(now)), now

    def beyond_usual(self, now: float) -> float:
        """By how much the loop is to be taken for late; 0.0 while it runs as it should."""
        return max(0.0, self._faded(now) - USUAL)

    def _faded(self, now: float) -> float:
        return float(self._late * 0.5 ** (max(0.0, now - self._at) / HALF))
