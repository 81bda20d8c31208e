"""Least-expected-latency choice of a backend, based on the responses that this process observed.

A backend's slowdown is the latency of its responses over the typical latency of such requests. Requests in flight
count as a queue; another zone or region, and opening a connection, cost a share of the typical latency. A backend
that fails is ejected temporarily (passive outlier detection). Times are s on the caller's clock; does no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

INITIAL_SLOWDOWN = 1.0
MAX_LOAD_PER_SLOT = 2.0  # requests in service or queued per slot, from which new requests wait at the proxy
STALE_LOAD_RATIO = 0.15  # share of the service time added with all slots in use, as load reports lag
SLOW_START_SLOWDOWN = 2.0  # of a backend that is warming up
SLOWDOWN_WEIGHT = 0.2  # of the newest response in the moving average of a backend's slowdown
LATENCY_WEIGHT = 0.05  # of the newest response in the moving average of the typical latency
INITIAL_LATENCY_S = 0.15  # until a first response: of the order of a short model call
MIN_SAMPLE_COUNT = 32  # responses before the slowest recent one is used as an estimate
SLOWEST_DECAY_RATIO = 0.995  # factor on the slowest recent latency per response: halved after 140

# Costs, in typical latencies
ZONE_COST = 0.3  # of a backend in another zone
REGION_COST = 2.0  # of a backend in another region
CONNECT_COST = 0.15  # of opening a connection
COST_BY_DISTANCE = (0.0, ZONE_COST, REGION_COST)
MAX_JITTER_RATIO = 0.1  # random share added to a cost, so that proxies with the same view choose differently

EJECTION_S = (0.5, 1.0, 2.0, 4.0)  # ejection time by the number of consecutive failures
SUSPICION_FACTOR = 3.0  # a backend is suspect after this many expected latencies without any response
MIN_SUSPICION_S = 0.25  # shorter pauses, as of the garbage collector, are no failure
# Bounds of one sample of the slowdown, which limit the influence of a single response
MAX_SLOWDOWN = 6.0
MIN_SLOWDOWN = 0.3
MIN_LATENCY_S = 0.001  # lower bound of a typical latency used as a divisor


@dataclass(slots=True)
class Backend:
    """One incarnation of a backend, with its state and load in the view of this process."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    zone_distance: float  # 0 in the same zone, 1 in the same region, 2 elsewhere
    capacity: int  # requests that it serves concurrently
    warm_at: float  # end of its slow start
    in_flight: int = 0  # requests sent by this process, or placed by it, that have not ended
    idle_connections: int = 0  # of this process
    in_flight_elsewhere: float = 0.0  # from proxies of other registries, as of the last load reports
    slowdown: float = INITIAL_SLOWDOWN
    consecutive_failures: int = 0
    ejected_until: float = -1e9
    is_draining: bool = False
    is_unresponsive: bool = False  # its heartbeats are overdue at every registry in use
    saturated_until: float = -1e9  # set when it rejects a request because its queue is full
    response_count: int = 0
    key: int = 0  # short form of `id` in messages between processes
    error_rate: float = 0.0  # moving average of failures and 5xx responses among its attempts
    start_times: list[float] = field(default_factory=list)  # of the requests in flight, oldest first
    last_response_at: float = -1e9


@dataclass(slots=True)
class LatencyEstimate:
    """Latency of requests of one route at one service.

    `typical_latency_s`: moving average of the service time, without queueing at the backend; `slowest_recent_s`:
    decaying maximum of the latency, including the queueing.
    """

    typical_latency_s: float = INITIAL_LATENCY_S
    sample_count: int = 0
    slowest_recent_s: float = 0.0

    @property
    def slowest_s(self) -> float:
        """The slowest recent latency in s; 0 if there are too few samples."""
        return self.slowest_recent_s if self.sample_count >= MIN_SAMPLE_COUNT else 0.0

    def record(self, service_s: float, latency_s: float) -> None:
        """Add a response. `service_s`: without the queueing at the backend; `latency_s`: with it."""
        self.sample_count += 1
        self.slowest_recent_s = max(latency_s, SLOWEST_DECAY_RATIO * self.slowest_recent_s)
        weight = max(LATENCY_WEIGHT, 1 / self.sample_count)
        self.typical_latency_s += weight * (service_s - self.typical_latency_s)


@dataclass(slots=True)
class BackendChoice:
    """Chooses among backends, and updates their estimates from attempts' results. `rng`: source of the jitter."""

    rng: random.Random = field(default_factory=random.Random)

    # Choice

    def is_suspect(self, backend: Backend, typical_latency_s: float, now: float) -> bool:
        """Return whether it has answered none of its requests in flight for so long that it may be unreachable."""
        if not backend.start_times:
            return False
        unresponsive_s = now - max(backend.start_times[0], backend.last_response_at)
        return unresponsive_s > max(
            MIN_SUSPICION_S, SUSPICION_FACTOR * typical_latency_s * max(1.0, backend.slowdown)
        )

    def load_factor(self, backend: Backend) -> float:
        """Return the factor by which the requests in flight at the backend lengthen one more request."""
        total_in_flight = backend.in_flight + backend.in_flight_elsewhere
        return (
            1.0
            + max(0.0, total_in_flight + 1 - backend.capacity) / backend.capacity
            + STALE_LOAD_RATIO * total_in_flight / backend.capacity
        )

    def expected_latency(self, backend: Backend, typical_latency_s: float, now: float) -> float:
        """Return the expected latency of a request that is sent to this backend now, in s."""
        slowdown = backend.slowdown * (SLOW_START_SLOWDOWN if backend.warm_at > now else 1.0)
        return typical_latency_s * slowdown * self.load_factor(backend)

    def choose(self, backends: Iterable[Backend], typical_latency_s: float, now: float) -> Backend | None:
        """Return the backend with the lowest expected latency, including the costs of distance and connecting.

        If all are unhealthy: the one whose ejection ends first. None if all are draining or there are none.
        """
        best, best_cost, fallback = None, 0.0, None
        for backend in backends:
            if backend.is_draining:
                continue
            cost = self._cost(backend, typical_latency_s, now)
            if self._is_unhealthy(backend, typical_latency_s, now):
                if fallback is None or backend.ejected_until < fallback.ejected_until:
                    fallback = backend
            elif best is None or cost < best_cost:
                best, best_cost = backend, cost
        return best or fallback

    def _cost(self, backend: Backend, typical_latency_s: float, now: float) -> float:
        """Return the expected latency with the costs of distance and connecting, and jitter."""
        cost = self.expected_latency(backend, typical_latency_s, now)
        cost += typical_latency_s * COST_BY_DISTANCE[int(backend.zone_distance)]
        if not backend.idle_connections:
            cost += typical_latency_s * CONNECT_COST
        return cost * (1.0 + MAX_JITTER_RATIO * self.rng.random())

    def _is_unhealthy(self, backend: Backend, typical_latency_s: float, now: float) -> bool:
        return (
            backend.is_unresponsive
            or backend.ejected_until > now
            or backend.saturated_until > now
            or self.is_suspect(backend, typical_latency_s, now)
        )

    def has_free_slot(self, backend: Backend) -> bool:
        """Return whether the backend would serve one more request without queueing."""
        return backend.in_flight + backend.in_flight_elsewhere < backend.capacity

    def is_saturated(self, backend: Backend) -> bool:
        """Return whether the backend's queue is so long that a further request should wait at the proxy."""
        return backend.in_flight + backend.in_flight_elsewhere >= backend.capacity * MAX_LOAD_PER_SLOT

    # Feedback

    def record_start(self, backend: Backend, now: float) -> None:
        """Record that an attempt is sent."""
        backend.in_flight += 1
        backend.start_times.append(now)

    def record_end(self, backend: Backend, started_at: float) -> None:
        """Record that the attempt sent at `started_at` has ended, with any result."""
        backend.in_flight -= 1
        backend.start_times.remove(started_at)

    def record_response(
        self, backend: Backend, latency: LatencyEstimate, latency_s: float, load_factor: float, now: float
    ) -> None:
        """Record a complete response after `latency_s`; `load_factor`: of the backend when the request was sent."""
        service_s = latency_s / load_factor
        self.record_slowdown(backend, service_s / max(MIN_LATENCY_S, latency.typical_latency_s), now)
        latency.record(service_s, latency_s)

    def record_slowdown(
        self, backend: Backend, ratio: float, now: float, weight: float = SLOWDOWN_WEIGHT
    ) -> None:
        """Record a complete response that took `ratio` times the typical latency, not counting queueing."""
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
        """Record an attempt that was cancelled after `ratio` times the typical latency.

        Its response would have taken at least that long. It counts as a failure if the backend has sent no
        response since the attempt started, and that is long enough to make it suspect.
        """
        if ratio > backend.slowdown:
            backend.slowdown += weight * (min(MAX_SLOWDOWN, ratio) - backend.slowdown)
        has_no_response = backend.last_response_at < started_at and now - started_at > MIN_SUSPICION_S
        if has_no_response and ratio > SUSPICION_FACTOR * max(1.0, backend.slowdown):
            self.record_failure(backend, now)

    def record_failure(self, backend: Backend, now: float) -> float:
        """Record an attempt without a usable response; eject the backend and return for how many s."""
        ejection_s = EJECTION_S[min(backend.consecutive_failures, len(EJECTION_S) - 1)]
        backend.consecutive_failures += 1
        backend.ejected_until = now + ejection_s
        return ejection_s

    def record_rejection(self, backend: Backend, now: float, pause_s: float) -> None:
        """Record a rejection by a full backend: it gets no requests for `pause_s`, so that its queue can drain."""
        backend.saturated_until = now + pause_s
