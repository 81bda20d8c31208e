"""One memory budget for all long bodies that a process holds at a time.

Each request has a lease, which grows with its body; the response to each of its attempts has a lease within it. A
reservation that does not fit waits, and its reader is paused meanwhile, so that the sender is held up by TCP flow
control. Reservations are granted in the order of the requests.

All requests share one part of the budget. The other part is for the oldest request alone, and holds the longest
body and the longest response: so the oldest request always proceeds, and requests cannot wait for each other in a
circle. Of its responses only the first one to arrive may use that part; another attempt's is held in the shared
part, or waits until the first one has failed. So a process never holds more than the two parts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

BYTES_PER_MB = 1 << 20
# Of a process's memory limit; for the program, its tables, its connections and what they receive at a time.
PROGRAM_MEMORY_MB = 56.0
MAX_BODY_BYTES = 64 << 20
MAX_RESPONSE_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class Reservation:
    """A reservation that waits. `on_granted`: called once it is; `response`: None for the body."""

    size: int
    on_granted: Callable[[], None]
    response: ResponseLease | None = None


class MemoryBudget:
    """The memory that all leases of a process share, and more of it for the oldest lease."""

    def __init__(self, shared_bytes: int, oldest_bytes: int = MAX_BODY_BYTES + MAX_RESPONSE_BYTES) -> None:
        """`oldest_bytes`: beside the shared part, for the oldest lease."""
        self.shared_bytes, self.oldest_bytes = shared_bytes, oldest_bytes
        self.used_bytes = 0
        self.leases: dict[MemoryLease, None] = {}  # that hold memory or wait for it, oldest first

    @classmethod
    def of_limit(cls, memory_mb: float) -> MemoryBudget:
        """Return the budget of a process that may use `memory_mb` in total."""
        total = max(0, int((memory_mb - PROGRAM_MEMORY_MB) * BYTES_PER_MB))
        oldest = min(total, MAX_BODY_BYTES + MAX_RESPONSE_BYTES)
        return cls(total - oldest, oldest)

    @property
    def capacity_bytes(self) -> int:
        """The most that all leases may hold."""
        return self.shared_bytes + self.oldest_bytes

    def may_grant(self, lease: MemoryLease, reservation: Reservation) -> bool:
        """Return whether a reservation fits the shared part, or the part of the oldest lease."""
        used_bytes = self.used_bytes + reservation.size
        if used_bytes <= self.shared_bytes:
            return True
        is_oldest = next(iter(self.leases)) is lease
        return is_oldest and not lease.is_secondary(reservation) and used_bytes <= self.capacity_bytes

    def grant_waiting(self) -> None:
        """Grant reservations in the order of the leases, up to the first one that does not fit.

        Responses that another one of the same request precedes hold up no other reservation.
        """
        for lease in list(self.leases):
            for reservation in list(lease.waiting):
                if self.may_grant(lease, reservation):
                    lease.waiting.remove(reservation)
                    lease.add(reservation)
                    reservation.on_granted()
                elif not lease.is_secondary(reservation):
                    return


class MemoryLease:
    """The memory of one request; it holds nothing until the first reservation, and nothing after its release."""

    __slots__ = ("budget", "held_bytes", "is_released", "primary_response", "waiting")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.held_bytes, self.is_released = budget, 0, False
        self.primary_response: ResponseLease | None = None  # that may use the part of the oldest lease
        self.waiting: list[Reservation] = []

    def reserve(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Reserve memory for the body; if it does not fit now, return False and call `on_granted` later."""
        return self.request(Reservation(size, on_granted))

    def for_response(self) -> ResponseLease:
        """Return a lease within this one, for the response to one attempt."""
        return ResponseLease(self)

    def request(self, reservation: Reservation) -> bool:
        """Grant a reservation now, or have it wait and return False.

        After the release, bytes of an abandoned attempt may still arrive; they are discarded and count as nothing.
        """
        if self.is_released:
            return True
        self.budget.leases.setdefault(self)
        if self.primary_response is None:
            self.primary_response = reservation.response
        if not self._is_any_waiting_before(reservation) and self.budget.may_grant(self, reservation):
            self.add(reservation)
            return True
        self.waiting.append(reservation)
        return False

    def is_secondary(self, reservation: Reservation) -> bool:
        """Return whether a reservation is for a response that another one of this request precedes."""
        return reservation.response is not None and reservation.response is not self.primary_response

    def _is_any_waiting_before(self, reservation: Reservation) -> bool:
        """Return whether this lease or an older one has a reservation waiting that goes first."""
        for lease in self.budget.leases:
            if any(not lease.is_secondary(waiting) for waiting in lease.waiting):
                return True
            if lease is self and not self.is_secondary(reservation):
                return False
        return False

    def add(self, reservation: Reservation) -> None:
        """Count a granted reservation as held."""
        self.held_bytes += reservation.size
        self.budget.used_bytes += reservation.size
        if reservation.response is not None:
            reservation.response.held_bytes += reservation.size

    def release_response(self, response: ResponseLease) -> None:
        """Return the memory of a response that is not needed any more; another one takes its place."""
        if self.is_released:
            return
        self.waiting = [waiting for waiting in self.waiting if waiting.response is not response]
        self.held_bytes -= response.held_bytes
        self.budget.used_bytes -= response.held_bytes
        response.held_bytes = 0
        if self.primary_response is response:
            others = (waiting.response for waiting in self.waiting if waiting.response is not None)
            self.primary_response = next(others, None)
        self.budget.grant_waiting()

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


class ResponseLease:
    """The memory of the response to one attempt, within the lease of its request."""

    __slots__ = ("held_bytes", "request_lease")

    def __init__(self, request_lease: MemoryLease) -> None:
        self.request_lease, self.held_bytes = request_lease, 0

    def reserve(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Reserve memory; if it does not fit now, return False and call `on_granted` later."""
        return self.request_lease.request(Reservation(size, on_granted, self))

    def release(self) -> None:
        """Return the memory, as the attempt has failed or is abandoned."""
        self.request_lease.release_response(self)
