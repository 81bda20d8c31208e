"""The heaviest keys of a stream in bounded memory: Space-Saving with forward decay.

Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements in data streams" (ICDT
2005): with `most` counters, each key's estimate is at least its true weight and over it by at most its own
`error`, which is at most the weight of the whole stream over `most`; a key with more is always kept.
Weights fade by half in `half_life` (Cormode, Shkapenyuk, Srivastava and Xu, "Forward decay", ICDE 2009): what
comes later counts more, and all is divided at reading, so that nothing has to be aged.

An addition costs O(log most), amortized. Times are whole microseconds of the caller's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

FAR = 64.0  # half-lives after which the landmark moves: 2**64 is far from a float's end


@dataclass(frozen=True, slots=True)
class Heavy(Generic[K]):
    """A key and its weight by now: `weight - error` to `weight` holds the true one."""

    key: K
    weight: float
    error: float


class Sketch(Generic[K]):
    """The keys with most weight."""

    def __init__(self, most: int, half_life: int) -> None:
        """`most` counters; `half_life` in µs. ValueError where either is not over 0."""
        if most <= 0 or half_life <= 0:
            raise ValueError(f"{most} counters and a half-life of {half_life} µs: wanted both over 0")
        self.most, self.half_life = most, half_life
        self._counts: dict[K, tuple[float, float]] = {}  # weight and error, both as of the landmark
        self._heap: list[tuple[float, int, K]] = []  # lazily: an entry may be less than its key's weight
        self._order = 0
        self._landmark = 0

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: object) -> bool:
        return key in self._counts

    def add(self, key: K, weight: float, now: int) -> K | None:
        """Count a key; return the one that lost its counter to it."""
        if not self._counts:
            self._landmark = now
        ago = (now - self._landmark) / self.half_life
        if ago > FAR:
            self._move(now)
            ago = 0.0
        weight *= 2.0**ago
        if (old := self._counts.get(key)) is not None:
            self._counts[key] = old[0] + weight, old[1]
            return None
        lost, least = None, 0.0
        if len(self._counts) >= self.most:
            lost, least = self._least()
            del self._counts[lost]
        self._counts[key] = least + weight, least
        self._push(key)
        return lost

    def top(self, count: int, now: int) -> list[Heavy[K]]:
        """The heaviest by now, the first first; at most `count`."""
        scale = 2.0 ** (-(now - self._landmark) / self.half_life)
        found = heapq.nlargest(count, self._counts.items(), key=lambda item: item[1][0])
        return [Heavy(key, weight * scale, error * scale) for key, (weight, error) in found]

    def _push(self, key: K) -> None:
        self._order += 1  # keeps keys from being compared
        heapq.heappush(self._heap, (self._counts[key][0], self._order, key))

    def _least(self) -> tuple[K, float]:
        while True:
            weight, _, key = self._heap[0]
            present = self._counts[key][0]
            if present <= weight:
                heapq.heappop(self._heap)
                return key, present
            self._order += 1
            heapq.heapreplace(self._heap, (present, self._order, key))

    def _move(self, now: int) -> None:
        scale = 2.0 ** (-(now - self._landmark) / self.half_life)
        self._counts = {key: (weight * scale, error * scale) for key, (weight, error) in self._counts.items()}
        self._landmark, self._heap = now, []
        for key in self._counts:
            self._push(key)
