"""Heavy hitters of a stream in bounded memory: the Space-Saving sketch with forward decay.

Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements in data streams" (ICDT
2005): with `capacity` counters, each key's estimate is at least its true weight and exceeds it by at most its
own `error`, which is at most the weight of the whole stream over `capacity`; a key with more is always kept.
Weights are halved every `half_life_us` (Cormode, Shkapenyuk, Srivastava and Xu, "Forward decay", ICDE 2009):
later additions weigh more, and all weights are scaled at reading, so that no counter has to be aged.

An addition costs O(log capacity), amortized. Times are whole microseconds of the caller's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

MAX_LANDMARK_AGE = 64.0  # half-lives after which the landmark moves: 2**64 is far from a float's maximum


@dataclass(frozen=True, slots=True)
class HeavyHitter(Generic[K]):
    """A key and its current weight: the true one is from `weight - error` to `weight`."""

    key: K
    weight: float
    error: float


class HeavyHitterSketch(Generic[K]):
    """The keys with the largest weights."""

    def __init__(self, capacity: int, half_life_us: int) -> None:
        """`capacity` is the number of counters. ValueError where either argument is not over 0."""
        if capacity <= 0 or half_life_us <= 0:
            raise ValueError(f"{capacity} counters and a half-life of {half_life_us} µs: wanted both over 0")
        self.capacity = capacity
        self.half_life_us = half_life_us
        self._counts: dict[K, tuple[float, float]] = {}  # weight and error, both as of the landmark
        self._heap: list[tuple[float, int, K]] = []  # lazy: an entry may be less than its key's weight
        self._sequence = 0
        self._landmark = 0

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: object) -> bool:
        return key in self._counts

    def add(self, key: K, weight: float, now: int) -> K | None:
        """Count a key; return the one that lost its counter to it."""
        if not self._counts:
            self._landmark = now
        landmark_age = (now - self._landmark) / self.half_life_us
        if landmark_age > MAX_LANDMARK_AGE:
            self._move_landmark(now)
            landmark_age = 0.0
        weight *= 2.0**landmark_age
        if (count := self._counts.get(key)) is not None:
            self._counts[key] = count[0] + weight, count[1]
            return None
        evicted, evicted_weight = None, 0.0
        if len(self._counts) >= self.capacity:
            evicted, evicted_weight = self._pop_smallest()
            del self._counts[evicted]
        self._counts[key] = evicted_weight + weight, evicted_weight
        self._push(key)
        return evicted

    def top(self, count: int, now: int) -> list[HeavyHitter[K]]:
        """Return the keys with the largest weights, at most `count`, in descending order."""
        scale = self._scale(now)
        largest = heapq.nlargest(count, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, weight * scale, error * scale) for key, (weight, error) in largest]

    def _scale(self, now: int) -> float:
        return float(2.0 ** (-(now - self._landmark) / self.half_life_us))

    def _push(self, key: K) -> None:
        self._sequence += 1  # keeps keys from being compared
        heapq.heappush(self._heap, (self._counts[key][0], self._sequence, key))

    def _pop_smallest(self) -> tuple[K, float]:
        while True:
            weight, _, key = self._heap[0]
            current_weight = self._counts[key][0]
            if current_weight <= weight:
                heapq.heappop(self._heap)
                return key, current_weight
            self._sequence += 1
            heapq.heapreplace(self._heap, (current_weight, self._sequence, key))

    def _move_landmark(self, now: int) -> None:
        scale = self._scale(now)
        self._counts = {key: (weight * scale, error * scale) for key, (weight, error) in self._counts.items()}
        self._landmark = now
        self._heap = []
        for key in self._counts:
            self._push(key)
