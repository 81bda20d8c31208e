"""One memory budget for all long bodies that a process holds at a time.

Each request has a lease, which grows with its body and with the response. A reservation that does not fit waits,
and its reader is paused meanwhile, so that the sender is held up by TCP flow control. Reservations are granted in
the order of the leases. The oldest lease is granted whatever it needs: so the request that holds memory longest
always proceeds, and requests cannot wait for each other in a circle. The process therefore holds at most the
budget and one request's bodies more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Share of a process's memory limit; the rest is for the program, its tables, and what the oldest request exceeds.
BODY_MEMORY_RATIO = 0.4
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Reservation:
    """A reservation that waits; `on_granted` is called once it is granted."""

    size: int
    on_granted: Callable[[], None]


class MemoryBudget:
    """The memory that all leases of a process share."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.leases: dict[MemoryLease, None] = {}  # that hold memory or wait for it, oldest first

    @classmethod
    def of_limit(cls, memory_mb: float) -> MemoryBudget:
        """Return the budget of a process that may use `memory_mb` in total."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_RATIO))

    def may_grant(self, lease: MemoryLease, size: int) -> bool:
        """Return whether a reservation of this lease fits, or the lease is the oldest."""
        is_oldest = next(iter(self.leases)) is lease
        return is_oldest or self.used_bytes + size <= self.capacity_bytes

    def grant_waiting(self) -> None:
        """Grant reservations in the order of the leases, up to the first one that does not fit."""
        for lease in list(self.leases):
            while lease.waiting:
                if not self.may_grant(lease, lease.waiting[0].size):
                    return
                reservation = lease.waiting.popleft()
                lease.add(reservation.size)
                reservation.on_granted()


class MemoryLease:
    """The memory of one request; it holds nothing until the first reservation, and nothing after its release."""

    __slots__ = ("budget", "held_bytes", "is_released", "waiting")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.held_bytes, self.is_released = budget, 0, False
        self.waiting: deque[Reservation] = deque()

    def reserve(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Reserve memory; if it does not fit now, return False and call `on_granted` later.

        After the release, bytes of an abandoned attempt may still arrive; they are discarded and count as nothing.
        """
        if self.is_released:
            return True
        self.budget.leases.setdefault(self)
        is_first = not self.waiting and not self._is_any_older_waiting()
        if is_first and self.budget.may_grant(self, size):
            self.add(size)
            return True
        self.waiting.append(Reservation(size, on_granted))
        return False

    def _is_any_older_waiting(self) -> bool:
        for lease in self.budget.leases:
            if lease is self:
                return False
            if lease.waiting:
                return True
        return False

    def add(self, size: int) -> None:
        """Count memory as held."""
        self.held_bytes += size
        self.budget.used_bytes += size

    def release(self) -> None:
        """Return all memory and give up waiting reservations; others are granted in turn."""
        self.is_released = True
        if self not in self.budget.leases:
            return
        del self.budget.leases[self]
        self.budget.used_bytes -= self.held_bytes
        self.held_bytes = 0
        self.waiting.clear()
        self.budget.grant_waiting()
