"""One byte budget for all bodies on their way through a door.

Rules that this file keeps:

1. Each stream may hold its part: the budget over the number of streams, within bounds. One that holds more
   is not fed until it holds less; what it holds is then bounded by its part and one read more.
2. A part is never nothing: a stream that holds less than the least may always be fed, so each gets on and
   none waits for another.
3. So many streams are let in that their least parts and reads fit; further ones are turned away when they
   come (`admits`), not half way.
"""

from __future__ import annotations

# Two processes of a door hold two budgets at an upgrade, beside some 15 MB each for the rest.
PART_OF_MEMORY = 0.25
LEAST, MOST = 16 << 10, 256 << 10  # bytes that one stream may hold; more than 256 KiB adds no speed
# Bytes that one more read may bring: streams set their sockets' receive buffers to half of it, and the kernel
# takes twice what is set (socket(7), SO_RCVBUF).
READ = 128 << 10


class Budget:
    """How much each stream may hold. Sizes are bytes."""

    def __init__(self, memory: int) -> None:
        """`memory` is what the process may use for everything."""
        self.most = int(memory * PART_OF_MEMORY)
        self.streams = 0

    def admits(self) -> bool:
        """Whether one more stream fits."""
        return (self.streams + 1) * (LEAST + READ) <= self.most

    def enter(self) -> None:
        self.streams += 1

    def leave(self) -> None:
        """ValueError where more leave than have entered."""
        if self.streams <= 0:
            raise ValueError("no stream is left")
        self.streams -= 1

    def part(self) -> int:
        """What one stream may hold before it is not fed."""
        return max(LEAST, min(MOST, self.most // max(1, self.streams) - READ))
