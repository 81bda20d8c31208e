"""One byte budget for all bodies on their way through a door.

Rules that this file keeps:

1. Half of the budget is seats: a stream that is let in may always hold the least part and one read more, so
   each gets on and none waits for another. With the seats taken, further streams are turned away when they
   come, not half way.
2. The other half is lent in steps to streams that need more, for as long as they last. What is held frees a
   backend early, and the place of its attempt: with little held a slow reader keeps a store at its cap of
   open attempts for seconds.
3. Nobody is lent more than is left for all others.

Sizes are bytes.
"""

from __future__ import annotations

# Two processes of a door hold two budgets at an upgrade, beside some 15 MB each for the rest.
PART_OF_MEMORY = 0.25
LEAST, STEP = 16 << 10, 256 << 10
# What one more read may bring: doors that pass bodies on set their sockets' receive buffers to half of it,
# and the kernel takes twice what is set (socket(7), SO_RCVBUF).
READ = 64 << 10


class Budget:
    """What streams may hold together."""

    def __init__(self, memory: int) -> None:
        """`memory` is what the process may use for everything."""
        self.most = int(memory * PART_OF_MEMORY)
        self.seats = self.most // 2 // (LEAST + READ)
        self.streams = 0
        self.free = self.most // 2  # to lend

    def admits(self) -> bool:
        """Whether one more stream fits."""
        return self.streams < self.seats

    def enter(self) -> Loan:
        self.streams += 1
        return Loan(self)


class Loan:
    """What one stream may hold by now."""

    __slots__ = ("budget", "lent", "over")

    def __init__(self, budget: Budget) -> None:
        self.budget, self.lent, self.over = budget, 0, False

    def allows(self, size: int) -> bool:
        """Whether it may hold so much and be fed on; it is lent more where it can be."""
        while size > LEAST + self.lent:
            if self.lent + STEP > self.budget.free - STEP or self.over:
                return False
            self.lent += STEP
            self.budget.free -= STEP
        return True

    def end(self) -> None:
        """The stream is over; a second time changes nothing."""
        if not self.over:
            self.over = True
            self.budget.streams -= 1
            self.budget.free += self.lent
