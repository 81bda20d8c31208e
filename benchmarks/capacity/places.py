"""Placement strategies for when a placement call per request is too expensive: lost value and bytes of each.

One service of the target size: `BACKEND_COUNT` backends with two slots and a queue, and `PROXY_COUNT` proxies that
each send it a request every eighth second (87 per second over 650 services), so that a proxy alone can hardly
estimate a backend's load. An answered request has value 1 within its target time and `LATE_VALUE` after it, and 0
if two backends rejected it. Simulated in virtual time, by seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.capacity.size import TARGET_SIZE
from irisdeal.placement.placer import ZONE_COST

BACKEND_COUNT = round(TARGET_SIZE.backends / TARGET_SIZE.services)
PROXY_COUNT = 1_500
SLOTS = 2  # of a backend, as in the deployments
QUEUE_LENGTH = 8  # of a backend, as in the deployments
BACKEND_SPEEDS = (0.7, 1.0, 1.0, 1.5)
MEAN_WORK_S = 0.19
WORK_SIGMA = 0.3  # standard deviation of the logarithm of the work
TARGET_S = 0.8  # target time of an answer
LATE_VALUE = 0.3  # of an answer after the target time
RETRY_DELAY_S = 0.005  # until the second backend is tried, after a full one
REGISTRY_COUNT = 23
SUM_INTERVAL_S = 0.1  # between two sums of a registry in the current program
UPDATE_INTERVAL_S = 1.0  # between two updates in the strategies that replace it
DAY_DURATION_S = 40.0
SLOWDOWN_AT_S = 12.0  # when a tenth of the backends become slow
SLOWDOWN_FACTOR = 5.0
PACE_WEIGHT = 0.08  # of the newest answer in a backend's pace, as in the current program
CROWDED_REQUESTS_PER_SLOT = 2.0  # from which proxies avoid a backend
REQUESTS_PER_S = TARGET_SIZE.requests_per_proxy  # of one proxy


@dataclass(slots=True)
class Backend:
    """One simulated backend."""

    speed: float
    in_flight: int = 0
    waiting: list[tuple[float, int]] = field(default_factory=list)
    pace: float = 1.0  # estimate: work time over its mean
    reported_in_flight: int = 0  # as of the last update to the proxies
    reported_pace: float = 1.0
    is_crowded: bool = False
    # In flight by registry, as of each registry's last sum.
    reported_by_registry: list[int] = field(default_factory=lambda: [0] * REGISTRY_COUNT)
    in_flight_by_registry: list[int] = field(default_factory=lambda: [0] * REGISTRY_COUNT)


class Day:
    """A simulated day with one strategy and seed."""

    def __init__(self, strategy: str, load: float, has_slow_backends: bool, seed: int) -> None:
        self.strategy, self.has_slow_backends, self.rng = strategy, has_slow_backends, random.Random(seed)
        self.backends = [
            Backend(BACKEND_SPEEDS[index % len(BACKEND_SPEEDS)]) for index in range(BACKEND_COUNT)
        ]
        self.rate = load * sum(SLOTS * backend.speed for backend in self.backends) / MEAN_WORK_S
        self.now, self.event_number = 0.0, 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.value = self.request_count = self.late = self.failed = self.retried = 0.0
        self.crowded_changes = self.lease_count = 0
        self.leases: dict[int, list[int]] = {}

    def schedule(self, when: float, callback: Callable[..., None], *arguments: Any) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (when, self.event_number, callback, arguments))

    def play(self) -> dict[str, float]:
        """Play the day; returns its figures as fractions of the requests, `flips` per second and backend."""
        self.schedule(0.0, self.on_arrival)
        self.schedule(SUM_INTERVAL_S, self.exchange_sums)
        self.schedule(UPDATE_INTERVAL_S, self.publish_loads)
        if self.has_slow_backends:
            self.schedule(SLOWDOWN_AT_S, self.slow_down)
        while self.events and self.events[0][0] < DAY_DURATION_S:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        return {
            "worth": self.value / self.request_count,
            "late": self.late / self.request_count,
            "lost": self.failed / self.request_count,
            "again": self.retried / self.request_count,
            "flips": self.crowded_changes / DAY_DURATION_S / BACKEND_COUNT,
            "leased": self.lease_count / self.request_count,
        }

    def slow_down(self) -> None:
        for backend in self.backends[::10]:
            backend.speed /= SLOWDOWN_FACTOR

    # Updates

    def exchange_sums(self) -> None:
        for backend in self.backends:
            backend.reported_by_registry = list(backend.in_flight_by_registry)
        self.schedule(self.now + SUM_INTERVAL_S, self.exchange_sums)

    def publish_loads(self) -> None:
        for backend in self.backends:
            backend.reported_in_flight, backend.reported_pace = backend.in_flight, backend.pace
            is_crowded = backend.in_flight >= CROWDED_REQUESTS_PER_SLOT * SLOTS
            self.crowded_changes += is_crowded != backend.is_crowded
            backend.is_crowded = is_crowded
        if self.strategy == "leases":
            self.assign_leases()
        self.schedule(self.now + UPDATE_INTERVAL_S, self.publish_loads)

    def assign_leases(self) -> None:
        """Assign free slots to the proxies with most requests in the last interval; leases last one interval."""
        by_demand = sorted(self.leases, key=lambda proxy: -len(self.leases[proxy]))
        free = [
            index
            for index, backend in enumerate(self.backends)
            for _ in range(max(0, SLOTS - backend.in_flight))
        ]
        self.rng.shuffle(free)
        self.leases = {proxy: [free.pop()] for proxy in by_demand if free}

    # Requests

    def on_arrival(self) -> None:
        self.schedule(self.now + self.rng.expovariate(self.rate), self.on_arrival)
        self.request_count += 1
        self.send(self.rng.randrange(PROXY_COUNT), self.now, -1)

    def send(self, proxy: int, started_at: float, rejected_by: int) -> None:
        index = self.choose_backend(proxy, rejected_by)
        backend, registry = self.backends[index], proxy % REGISTRY_COUNT
        if backend.in_flight >= SLOTS + QUEUE_LENGTH:
            if rejected_by >= 0:
                self.failed += 1
                return
            self.retried += 1
            self.schedule(self.now + RETRY_DELAY_S, self.send, proxy, started_at, index)
            return
        backend.in_flight += 1
        backend.in_flight_by_registry[registry] += 1
        if backend.in_flight <= SLOTS:
            self.start_work(backend, started_at, self.now, registry)
        else:
            backend.waiting.append((started_at, registry))

    def start_work(self, backend: Backend, started_at: float, now: float, registry: int) -> None:
        duration_s = (
            self.rng.lognormvariate(0.0, WORK_SIGMA) * MEAN_WORK_S / 1.046 / backend.speed
        )  # 1.046: the mean of the first
        self.schedule(self.now + duration_s, self.end_work, backend, started_at, duration_s, registry)

    def end_work(self, backend: Backend, started_at: float, duration_s: float, registry: int) -> None:
        backend.in_flight -= 1
        backend.in_flight_by_registry[registry] -= 1
        backend.pace += PACE_WEIGHT * (duration_s / MEAN_WORK_S - backend.pace)
        latency_s = self.now - started_at
        self.value += 1.0 if latency_s <= TARGET_S else LATE_VALUE
        self.late += latency_s > TARGET_S
        if backend.waiting:
            started_at, registry = backend.waiting.pop(0)
            self.start_work(backend, started_at, self.now, registry)

    # Choices

    def choose_backend(self, proxy: int, rejected_by: int) -> int:
        candidates = [index for index in range(BACKEND_COUNT) if index != rejected_by]
        match self.strategy:
            case "known at once":
                return min(
                    candidates,
                    key=lambda index: self.cost(self.backends[index].in_flight, self.backends[index].pace),
                )
            case "asked each time":
                return min(candidates, key=lambda index: self.estimated_cost(index, proxy % REGISTRY_COUNT))
            case "asked, best of two":
                return min(
                    self.rng.sample(candidates, 2),
                    key=lambda index: self.estimated_cost(index, proxy % REGISTRY_COUNT),
                )
            case "two by loads told":
                pair = self.rng.sample(candidates, 2)
                return min(
                    pair,
                    key=lambda index: self.cost(
                        self.backends[index].reported_in_flight, self.backends[index].reported_pace
                    ),
                )
            case "by pace told":
                return self.choose_by_pace(candidates)
            case "crowded left out":
                return self.choose_by_pace(
                    [index for index in candidates if not self.backends[index].is_crowded] or candidates
                )
            case "leases":
                leases = self.leases.setdefault(proxy, [])
                if leases and leases[0] != rejected_by:
                    self.lease_count += 1
                    return leases.pop(0)
                return self.choose_by_pace(
                    [index for index in candidates if not self.backends[index].is_crowded] or candidates
                )
        return self.rng.choice(candidates)

    def choose_by_pace(self, candidates: list[int]) -> int:
        return self.rng.choices(
            candidates, [1.0 / self.backends[index].reported_pace for index in candidates]
        )[0]

    def estimated_cost(self, index: int, registry: int) -> float:
        """A registry's estimate of a backend's cost: exact for its own proxies, as reported for the others."""
        backend = self.backends[index]
        in_flight = (
            sum(backend.reported_by_registry)
            - backend.reported_by_registry[registry]
            + backend.in_flight_by_registry[registry]
        )
        return self.cost(in_flight, backend.pace) + (
            ZONE_COST if index % TARGET_SIZE.zones != registry % TARGET_SIZE.zones else 0.0
        )

    def cost(self, in_flight: int, pace: float) -> float:
        return pace * max(1.0, (in_flight + 1) / SLOTS) + 0.05 * self.rng.random()


ENTRY_BYTES = 5.0  # of a backend in a report: key and number
# Bytes per second and proxy, by changes of the crowded state per second and backend, and bytes of a placement. A
# placement, its answer and its end were measured (`places` of the runs); the others are computed: 5 bytes per
# backend and report, 4 of frame, sent once per `UPDATE_INTERVAL_S`.
STRATEGIES: dict[str, Callable[[float, float], float]] = {
    "known at once": lambda flips, placement_bytes: float("nan"),
    "asked each time": lambda flips, placement_bytes: REQUESTS_PER_S * placement_bytes,
    "asked, best of two": lambda flips, placement_bytes: REQUESTS_PER_S * placement_bytes,
    "two by loads told": lambda flips, placement_bytes: (
        TARGET_SIZE.backends * ENTRY_BYTES / UPDATE_INTERVAL_S
    ),
    "leases": lambda flips, placement_bytes: (
        2 * REQUESTS_PER_S * (ENTRY_BYTES + 3.0) / UPDATE_INTERVAL_S + TARGET_SIZE.backends * flips * 2.0
    ),
    "crowded left out": lambda flips, placement_bytes: (
        TARGET_SIZE.backends * flips * 2.0 + REQUESTS_PER_S * MEAN_WORK_S * ENTRY_BYTES / UPDATE_INTERVAL_S
    ),
    "by pace told": lambda flips, placement_bytes: (
        TARGET_SIZE.backends * 0.02 * 3.0 + REQUESTS_PER_S * MEAN_WORK_S * ENTRY_BYTES / UPDATE_INTERVAL_S
    ),
    "by chance": lambda flips, placement_bytes: 0.0,
}


def weigh(seeds: Iterable[int], placement_bytes: float = float("nan")) -> list[dict[str, Any]]:
    """A row for each strategy, load and fault: means over seeds, and the value relative to the best."""
    seeds, rows = list(seeds), []
    for has_slow_backends in (False, True):
        for load in (0.6, 0.8):
            best = 0.0
            for strategy, bytes_per_s in STRATEGIES.items():
                days = [Day(strategy, load, has_slow_backends, seed).play() for seed in seeds]
                mean = {key: sum(day[key] for day in days) / len(days) for key in days[0]}
                best = best or mean["worth"]
                rows.append(
                    {
                        "way": strategy,
                        "load": load,
                        "slow": has_slow_backends,
                        **{k: round(v, 4) for k, v in mean.items()},
                        "of_best": round(mean["worth"] / best, 4),
                        "bytes": round(bytes_per_s(mean["flips"], placement_bytes), 0)
                        if placement_bytes == placement_bytes
                        else None,
                    }
                )
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    """Format the rows as a Markdown table."""
    lines = [
        "| way | load | a tenth slow | worth | beside the best | late | turned away once | lost |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row['way']} | {row['load']} | {'yes' if row['slow'] else 'no'} | {row['worth']:.3f} "
            f"| {row['of_best']:.3f} | {row['late']:.3f} | {row['again']:.3f} | {row['lost']:.4f} |"
        )
    return "\n".join(lines)
