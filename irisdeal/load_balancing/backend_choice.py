"""Least-expected-latency choice of a backend, from what this process has measured itself.

A backend's slowdown is the latency of its responses over the typical latency of such requests. Requests in flight
count as a queue; another zone or region, and a new connection, cost a share of the typical latency. A backend that
fails is ejected for a while (passive outlier detection). Times are s on the caller's clock; no input or output.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

INITIAL_SLOWDOWN = 1.0
SATURATION_FACTOR = (
    2.0  # requests for each slot, in service and queued, beyond which a request waits at the proxy
)
STALE_LOAD_COST = (
    0.15  # of its service time that a response takes longer with all slots taken: load reports lag
)
SLOW_START_SLOWDOWN = 2.0  # of a backend that is warming up
SLOWDOWN_WEIGHT = 0.2  # of the newest response in a backend's moving average
LATENCY_WEIGHT = 0.05  # of the newest response in the typical latency
INITIAL_LATENCY_S = 0.15  # until a first response: of the order of a short model call
MIN_SAMPLES = 32  # responses before the slowest recent one says how long others may take
SLOWEST_DECAY = 0.995  # of the slowest recent latency, with each response: half of it after 140
ZONE_COST = 0.3  # of the typical latency, that a backend in another zone must be faster by
REGION_COST = 2.0  # likewise in another region
CONNECT_COST = 0.15  # likewise where a new connection must be opened first
COST_BY_DISTANCE = (0.0, ZONE_COST, REGION_COST)
CHOICE_JITTER = 0.1  # of a backend's cost: proxies with the same view do not all choose alike
EJECTION_S = (0.5, 1.0, 2.0, 4.0)  # that a backend is ejected after so many failures in a row
SUSPICION_FACTOR = 3.0  # times the expected latency without any response, after which a backend is suspect
MIN_SUSPICION_S = 0.25  # likewise at least: a pause of the garbage collector is no failure
MAX_SLOWDOWN, MIN_SLOWDOWN = 6.0, 0.3  # bounds of one sample: a single response decides little
MIN_LATENCY_S = 0.001  # of a typical latency that others are divided by


@dataclass(slots=True)
class Backend:
    """One incarnation of a backend as this process sees it."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    zone_distance: float  # 0 in our zone, 1 in our region, 2 elsewhere
    capacity: int  # requests that it serves at once
    warm_at: float
    in_flight: int = 0  # sent from here and not answered
    idle_connections: int = 0  # from here
    in_flight_elsewhere: float = 0.0  # from all other proxies, as of the last load report
    slowdown: float = INITIAL_SLOWDOWN
    consecutive_failures: int = 0
    ejected_until: float = -1e9
    is_draining: bool = False
    is_unresponsive: bool = False  # its heartbeats are overdue at every registry in use
    saturated_until: float = -1e9  # it rejected a request as its queue was full
    response_count: int = 0
    key: int = 0  # short form of `id`, between processes
    error_rate: float = 0.0  # moving average of failures and 5xx responses among its attempts
    started_at: list[float] = field(
        default_factory=list
    )  # when each request in flight was sent, oldest first
    last_response_at: float = -1e9


@dataclass(slots=True)
class LatencyEstimate:
    """How long requests of one route take at one service.

    `typical_latency_s`: moving average of the service time, without queueing at the backend; `slowest_recent_s`: of
    late, as clients saw it, with the queueing.
    """

    typical_latency_s: float = INITIAL_LATENCY_S
    sample_count: int = 0
    slowest_recent_s: float = 0.0

    @property
    def slowest_s(self) -> float:
        """The slowest latency of late, s; 0 where there are too few samples."""
        return self.slowest_recent_s if self.sample_count >= MIN_SAMPLES else 0.0

    def record(self, service_s: float, latency_s: float) -> None:
        """Add a response. `service_s`: without the queueing at the backend; `latency_s`: with it."""
        self.sample_count += 1
        self.slowest_recent_s = max(latency_s, SLOWEST_DECAY * self.slowest_recent_s)
        weight = max(LATENCY_WEIGHT, 1 / self.sample_count)
        self.typical_latency_s += weight * (service_s - self.typical_latency_s)


@dataclass(slots=True)
class BackendChoice:
    """The choice among backends, and what responses teach it. `rng`: source of the random jitter."""

    rng: random.Random = field(default_factory=random.Random)

    # Choice

    def is_suspect(self, backend: Backend, typical_latency_s: float, now: float) -> bool:
        """Return whether nothing in flight there was answered for so long that it may be unreachable."""
        if not backend.started_at:
            return False
        quiet_s = now - max(backend.started_at[0], backend.last_response_at)
        return quiet_s > max(
            MIN_SUSPICION_S, SUSPICION_FACTOR * typical_latency_s * max(1.0, backend.slowdown)
        )

    def load_factor(self, backend: Backend) -> float:
        """Return by what factor the requests that are there already lengthen one more."""
        there = backend.in_flight + backend.in_flight_elsewhere
        return (
            1.0
            + max(0.0, there + 1 - backend.capacity) / backend.capacity
            + STALE_LOAD_COST * there / backend.capacity
        )

    def expected_latency(self, backend: Backend, typical_latency_s: float, now: float) -> float:
        """Return the time to the response of a request that is sent there now, s."""
        slowdown = backend.slowdown * (SLOW_START_SLOWDOWN if backend.warm_at > now else 1.0)
        return typical_latency_s * slowdown * self.load_factor(backend)

    def choose(self, backends: Iterable[Backend], typical_latency_s: float, now: float) -> Backend | None:
        """Choose the backend with the least expected latency, distance and connecting counted.

        Where all are unhealthy: the one whose ejection ends first. None where there is none at all.
        """
        best, least, fallback = None, 0.0, None
        for backend in backends:
            if backend.is_draining:
                continue
            cost = self._cost(backend, typical_latency_s, now)
            if self._is_unhealthy(backend, typical_latency_s, now):
                if fallback is None or backend.ejected_until < fallback.ejected_until:
                    fallback = backend
            elif best is None or cost < least:
                best, least = backend, cost
        return best or fallback

    def _cost(self, backend: Backend, typical_latency_s: float, now: float) -> float:
        """Return the expected latency with the costs of distance and connecting, and a jitter."""
        cost = self.expected_latency(backend, typical_latency_s, now)
        cost += typical_latency_s * COST_BY_DISTANCE[int(backend.zone_distance)]
        if not backend.idle_connections:
            cost += typical_latency_s * CONNECT_COST
        return cost * (1.0 + CHOICE_JITTER * self.rng.random())

    def _is_unhealthy(self, backend: Backend, typical_latency_s: float, now: float) -> bool:
        return (
            backend.is_unresponsive
            or backend.ejected_until > now
            or backend.saturated_until > now
            or self.is_suspect(backend, typical_latency_s, now)
        )

    def has_free_slot(self, backend: Backend) -> bool:
        """Return whether one more request would be served there at once."""
        return backend.in_flight + backend.in_flight_elsewhere < backend.capacity

    def is_saturated(self, backend: Backend) -> bool:
        """Return whether one more would queue there behind others, so that it had better wait at the proxy."""
        return backend.in_flight + backend.in_flight_elsewhere >= backend.capacity * SATURATION_FACTOR

    # Feedback

    def record_start(self, backend: Backend, now: float) -> None:
        """Record that an attempt is sent."""
        backend.in_flight += 1
        backend.started_at.append(now)

    def record_end(self, backend: Backend, started_at: float) -> None:
        """Record that the attempt which was sent at `started_at` is over, however it ended."""
        backend.in_flight -= 1
        backend.started_at.remove(started_at)

    def record_response(
        self, backend: Backend, latency: LatencyEstimate, seconds: float, load_factor: float, now: float
    ) -> None:
        """Record a complete response after `seconds`, sent when the backend's load was `load_factor`."""
        service_s = seconds / load_factor
        self.record_slowdown(backend, service_s / max(MIN_LATENCY_S, latency.typical_latency_s), now)
        latency.record(service_s, seconds)

    def record_slowdown(
        self, backend: Backend, ratio: float, now: float, weight: float = SLOWDOWN_WEIGHT
    ) -> None:
        """Record a complete response that took `ratio` times the typical latency, queueing taken out."""
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        backend.slowdown += max(weight, 1 / (backend.response_count + 2)) * (ratio - backend.slowdown)
        backend.response_count += 1
        backend.consecutive_failures, backend.last_response_at = 0, now

    def record_abandoned(
        self,
        backend: Backend,
        started_at: float,
        ratio: float,
        now: float,
        weight: float = SLOWDOWN_WEIGHT,
    ) -> None:
        """Record an attempt that was given up after `ratio` times the typical latency.

        Its response would have taken at least that long. Where the backend has answered nothing since the attempt
        was sent, for as long as makes it suspect, this counts as a failure.
        """
        if ratio > backend.slowdown:
            backend.slowdown += weight * (min(MAX_SLOWDOWN, ratio) - backend.slowdown)
        is_quiet = backend.last_response_at < started_at and now - started_at > MIN_SUSPICION_S
        if is_quiet and ratio > SUSPICION_FACTOR * max(1.0, backend.slowdown):
            self.record_failure(backend, now)

    def record_failure(self, backend: Backend, now: float) -> float:
        """Record a failure: no usable response. Return for how long the backend is ejected, s."""
        ejection_s = EJECTION_S[min(backend.consecutive_failures, len(EJECTION_S) - 1)]
        backend.consecutive_failures += 1
        backend.ejected_until = now + ejection_s
        return ejection_s

    def record_rejection(self, backend: Backend, now: float, pause_s: float) -> None:
        """Record a rejection as full: nothing is sent there for `pause_s`, so that its queue can empty."""
        backend.saturated_until = now + pause_s
