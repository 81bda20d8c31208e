"""Priority queues of requests that wait for capacity at a service, the lowest rank first. Does no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field

MAX_WAITING = 4000  # requests queued at one service; further ones are rejected immediately


@dataclass(slots=True)
class WaitingQueue:
    """The queue of one service.

    `heap`: entries of rank, arrival number and token; `cancelled`: tokens in the heap that are to be skipped.
    """

    heap: list[tuple[int, int, Hashable]] = field(default_factory=list)
    cancelled: set[Hashable] = field(default_factory=set)


class WaitingQueues:
    """The queues of all services. A token identifies a request and is opaque here."""

    def __init__(self) -> None:
        self.queues: dict[str, WaitingQueue] = {}
        self.arrival_count = 0  # breaks ties between equal ranks

    def __len__(self) -> int:
        """Return the number of waiting requests, over all services."""
        return sum(len(queue.heap) - len(queue.cancelled) for queue in self.queues.values())

    def push(self, service: str, rank: int, token: Hashable) -> bool:
        """Queue `token` at a service. Returns False if its queue is full."""
        heap = self.queues.setdefault(service, WaitingQueue()).heap
        if len(heap) >= MAX_WAITING:
            return False
        self.arrival_count += 1
        heapq.heappush(heap, (rank, self.arrival_count, token))
        return True

    def cancel(self, service: str, token: Hashable) -> None:
        """Mark `token` as cancelled; once more than half of the heap is cancelled, the heap is compacted."""
        queue = self.queues[service]
        queue.cancelled.add(token)
        if 2 * len(queue.cancelled) > len(queue.heap):
            queue.heap = [entry for entry in queue.heap if entry[2] not in queue.cancelled]
            heapq.heapify(queue.heap)
            queue.cancelled.clear()

    def pop(self, service: str) -> Hashable | None:
        """Remove and return the next token of this service; None if no request waits."""
        queue = self.queues.get(service)
        while queue is not None and queue.heap:
            token = heapq.heappop(queue.heap)[2]
            if token not in queue.cancelled:
                return token
            queue.cancelled.discard(token)
        return None
