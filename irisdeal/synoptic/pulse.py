"""Whether this process stood still: frozen, swapped out, or without the processor. No input or output here.

A process that stood still does not know it by itself: its next act is the one that it was about to do. So each
act on what it holds for others asks first (`beat`), and a tick of its own keeps the pulse while nothing comes.
"""

from __future__ import annotations


class Pulse:
    """Times are s of the steady clock, which goes on while the process does not."""

    def __init__(self, most: float, now: float) -> None:
        """`most`: s between two beats beyond which it stood still."""
        self.most, self.last = most, now

    def beat(self, now: float) -> float:
        """s that it stood still since the last beat, nought where it did not."""
        quiet, self.last = now - self.last, now
        return quiet if quiet > self.most else 0.0
