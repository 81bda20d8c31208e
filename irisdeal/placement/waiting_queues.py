"""Queues of requests that wait for capacity at a service, the least rank first. No input or output here."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field

MAX_WAITING = 4000  # requests that wait at one service; more are answered at once


@dataclass(slots=True)
class WaitingQueue:
    """Requests for one service.

    `heap`: rank, order of arrival, token; `cancelled`: tokens in it that wait no more.
    """

    heap: list[tuple[int, int, Hashable]] = field(default_factory=list)
    cancelled: set[Hashable] = field(default_factory=set)


class WaitingQueues:
    """The queues of all services."""

    def __init__(self) -> None:
        self.queues: dict[str, WaitingQueue] = {}
        self.arrivals = 0

    def __len__(self) -> int:
        """Return how many wait, at all services."""
        return sum(len(queue.heap) - len(queue.cancelled) for queue in self.queues.values())

    def push(self, service: str, rank: int, token: Hashable) -> bool:
        """Queue `token` at a service. Returns False where too many wait there."""
        heap = self.queues.setdefault(service, WaitingQueue()).heap
        if len(heap) >= MAX_WAITING:
            return False
        self.arrivals += 1
        heapq.heappush(heap, (rank, self.arrivals, token))
        return True

    def cancel(self, service: str, token: Hashable) -> None:
        """Skip `token` when its turn comes; the queue is cleared of such tokens once they are half of it."""
        queue = self.queues[service]
        queue.cancelled.add(token)
        if 2 * len(queue.cancelled) > len(queue.heap):
            queue.heap = [entry for entry in queue.heap if entry[2] not in queue.cancelled]
            heapq.heapify(queue.heap)
            queue.cancelled.clear()

    def pop(self, service: str) -> Hashable | None:
        """Take out the token that goes next at this service; None where none waits."""
        queue = self.queues.get(service)
        while queue is not None and queue.heap:
            token = heapq.heappop(queue.heap)[2]
            if token not in queue.cancelled:
                return token
            queue.cancelled.discard(token)
        return None
