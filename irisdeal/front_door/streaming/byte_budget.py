"""One byte budget for all bodies that are streamed through a front door at a time.

The rules:

1. Half of the budget is reserved: an admitted stream may always buffer the minimum and one read more, so that
   each makes progress and none waits for another. Once all reservations are in use, further streams are
   rejected on arrival, not half way.
2. The other half is granted in steps to streams that need more, until they end. Buffering a response frees its
   backend early, and the slot of its attempt: with little buffered, a client that reads slowly keeps its
   account at the limit of concurrent attempts for seconds.
3. No stream is granted more than remains for all others.

Sizes are bytes.
"""

from __future__ import annotations

# During an upgrade two processes of a front door hold a budget each, and about 15 MB each for the rest.
BUDGET_MEMORY_RATIO = 0.25
MIN_BUFFER_BYTES = 16 << 10  # every stream may buffer this much
GRANT_BYTES = 256 << 10  # one step of a grant
# What one more read may bring: front doors that stream bodies set their sockets' receive buffers to half of it,
# and the kernel doubles what is set (socket(7), SO_RCVBUF).
MAX_READ_BYTES = 64 << 10


class ByteBudget:
    """What all streams of a process may buffer together."""

    def __init__(self, memory_bytes: int) -> None:
        """`memory_bytes` is what the process may use for everything."""
        self.total_bytes = int(memory_bytes * BUDGET_MEMORY_RATIO)
        self.max_streams = self.total_bytes // 2 // (MIN_BUFFER_BYTES + MAX_READ_BYTES)
        self.streams = 0
        self.grantable_bytes = self.total_bytes // 2

    def can_admit(self) -> bool:
        """Return whether one more stream fits."""
        return self.streams < self.max_streams

    def admit(self) -> StreamAllowance:
        """Admit a stream; return what it may buffer. Requires `can_admit()`."""
        self.streams += 1
        return StreamAllowance(self)


class StreamAllowance:
    """What one stream may buffer by now."""

    __slots__ = ("budget", "granted_bytes", "is_released")

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self.granted_bytes = 0
        self.is_released = False

    def allows(self, buffered_bytes: int) -> bool:
        """Return whether the stream may buffer this much and read on; grant it more where possible."""
        while buffered_bytes > MIN_BUFFER_BYTES + self.granted_bytes:
            remaining_for_others = self.budget.grantable_bytes - GRANT_BYTES
            if self.is_released or self.granted_bytes + GRANT_BYTES > remaining_for_others:
                return False
            self.granted_bytes += GRANT_BYTES
            self.budget.grantable_bytes -= GRANT_BYTES
        return True

    def release(self) -> None:
        """Give everything back at the stream's end; a second call changes nothing."""
        if self.is_released:
            return
        self.is_released = True
        self.budget.streams -= 1
        self.budget.grantable_bytes += self.granted_bytes
