"""Placement of attempts on backends by a registry. Time and the random source are arguments; does no I/O.

A placement is a hint: the proxy checks the backend against its own view, and uses that view alone when no
registry replies. A placement reserves a slot of the backend until the first of these events: its proxy reports
the attempt's end, over any connection; the connection over which it was granted closes; its deadline passes.
Failures reported by a proxy half of whose recent attempts failed, over all backends, do not make a backend
unhealthy, as that proxy itself may be partitioned.

Registries place attempts because a proxy's own view of load is stale: each of 85 proxies contacts a given backend
only once in several seconds, so many of them fill the queue of a backend that was free a second ago. With 75
proxies choosing by themselves and no fault, full backends rejected a tenth of the arrivals while 57% of the slots
were in use, and a quarter of the responses were late. A registry has the current load from its own zone, and that
from the other registries as of 0.1 s ago.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.placement.load_reports import InFlightByKey, short_key
from irisdeal.placement.waiting_queues import WaitingQueues
from irisdeal.rpc.calls import process_name

# Costs, in typical latencies of the service
ZONE_COST = 0.6  # of another zone: cross-zone traffic is expensive, and its load is reported late
REGION_COST = 2.0  # of a backend in another region
CONNECT_COST = 0.6  # of opening a connection
ERROR_COST = 4.0  # of an error rate of 1
UNHEALTHY_COST = 10.0  # of an ejected, saturated or suspect backend, chosen only when no other is left
MAX_JITTER_COST = 0.05  # random, so that registries with the same view do not all choose the same backend

# Weights of the newest sample in exponentially weighted moving averages
SLOWDOWN_WEIGHT = 0.08  # of a backend's slowdown; low, as samples of all proxies of a zone arrive here
ERROR_WEIGHT = 0.15  # of a backend's error rate
PROXY_FAILURE_WEIGHT = 0.2  # of a proxy's failure rate over all backends

MAX_PROXY_FAILURE_RATE = 0.5  # from this rate on, failures reported by the proxy are ignored
REJECTION_PAUSE_S = 0.1  # for which a backend counts as saturated after it rejected a request
MAX_LOAD_PER_SLOT = 1.0  # requests in flight per slot below which a backend has free capacity

# The first reservation number is random, so that an end reported to a restarted registry matches no reservation.
FIRST_NUMBER_BITS = 31


class PlacementNeeds(Protocol):
    """The requirements of an attempt, as stated in a proxy's placement request."""

    @property
    def zone(self) -> str:
        """The proxy's zone."""

    @property
    def service(self) -> str:
        """The service to call."""

    @property
    def typical_latency_s(self) -> float:
        """The service's typical latency in s."""

    @property
    def avoid(self) -> Iterable[int]:
        """Short keys of backends that must not be chosen."""

    @property
    def connected(self) -> Iterable[int]:
        """Short keys of backends to which the proxy has an idle connection."""


@dataclass(slots=True)
class Reservation:
    """A slot of a backend that is reserved until its proxy reports the attempt's end.

    `connection`: the proxy's connection over which it was granted; `load_factor`: factor by which the backend's
    load lengthens the attempt; `deadline`: s, when it expires without a report.
    """

    connection: str
    backend: Backend
    started_at: float
    load_factor: float
    deadline: float


class Placer:
    """One registry's view of the backends' load, and its placement of attempts."""

    def __init__(self, regions: dict[str, str], rng: random.Random) -> None:
        """`regions`: zone -> region; `rng`: source of the jitter and of the first reservation number."""
        self.regions, self.rng = regions, rng
        self.choice = BackendChoice(rng)
        self.backends: dict[str, Backend] = {}
        self.backends_by_key: dict[int, Backend] = {}
        self.services: dict[str, dict[str, list[Backend]]] = {}  # service -> zone -> backends
        self.reservations: dict[int, Reservation] = {}
        self.reservation_numbers: dict[str, set[int]] = {}  # connection of a proxy -> its reservations
        self.failure_rates: dict[str, float] = {}  # proxy -> moving average of its failed attempts
        self.waiting = WaitingQueues()
        self.last_number = rng.getrandbits(FIRST_NUMBER_BITS)

    # Backends

    def add(self, id_: str, service: str, zone: str, capacity: int, warm_at: float) -> Backend:
        """Add an incarnation that is ready, or update when its slow start ends (`warm_at`, s)."""
        backend = self.backends.get(id_)
        if backend is None:
            backend = Backend(id_, service, ("", 0), zone, 0, max(1, capacity), warm_at, key=short_key(id_))
            self.backends[id_] = self.backends_by_key[backend.key] = backend
            self.services.setdefault(service, {}).setdefault(zone, []).append(backend)
        backend.warm_at = warm_at
        return backend

    def remove(self, id_: str) -> None:
        """Remove an incarnation that is draining or gone from placement."""
        backend = self.backends.pop(id_, None)
        if backend is not None:
            backend.is_draining = True
            self.backends_by_key.pop(backend.key, None)
            zones = self.services[backend.service]
            zones[backend.zone].remove(backend)
            if not zones[backend.zone]:
                del zones[backend.zone]

    # Reservations

    def reserve(
        self, connection: str, needs: PlacementNeeds, now: float, deadline: float, only_free: bool
    ) -> tuple[int, Backend, float] | None:
        """Reserve a slot: return its number, the backend, and the factor by which its load lengthens the attempt.

        `connection`: of the proxy; `deadline`: s, when the reservation expires; `only_free`: consider backends
        with free capacity only, otherwise full and unhealthy ones too. None if no backend qualifies.
        """
        backend = self._choose(needs, now, only_free)
        if backend is None:
            return None
        load_factor = self.choice.load_factor(backend)
        self.choice.record_start(backend, now)
        self.last_number += 1
        self.reservations[self.last_number] = Reservation(connection, backend, now, load_factor, deadline)
        self.reservation_numbers.setdefault(connection, set()).add(self.last_number)
        return self.last_number, backend, load_factor

    def _choose(self, needs: PlacementNeeds, now: float, only_free: bool) -> Backend | None:
        """Return the cheapest backend; other zones are considered only if the proxy's own has no cheap one."""
        zones = self.services.get(needs.service, {})
        avoid, connected = frozenset(needs.avoid), frozenset(needs.connected)
        latency_s = needs.typical_latency_s
        best, cost = self._best_free(zones.get(needs.zone, ()), 0.0, latency_s, avoid, connected, now)
        if best is not None and (cost <= ZONE_COST + CONNECT_COST or len(zones) == 1):
            return best
        for zone, backends in zones.items():
            if zone == needs.zone:
                continue
            distance_cost = self._distance_cost(zone, needs.zone)
            found, found_cost = self._best_free(backends, distance_cost, latency_s, avoid, connected, now)
            if found is not None and (best is None or found_cost < cost):
                best, cost = found, found_cost
        if best is not None or only_free:
            return best
        return self._best_of_all(zones, needs.zone, latency_s, avoid, connected, now)

    def _distance_cost(self, zone: str, from_zone: str) -> float:
        return ZONE_COST if self.regions.get(zone) == self.regions.get(from_zone) else REGION_COST

    def _best_free(
        self,
        backends: Iterable[Backend],
        distance_cost: float,
        latency_s: float,
        avoid: frozenset[int],
        connected: frozenset[int],
        now: float,
    ) -> tuple[Backend | None, float]:
        """Return the cheapest healthy backend with free capacity, and its cost beyond one typical latency."""
        best, best_cost = None, 0.0
        cost_of, is_suspect = self._cost, self.choice.is_suspect
        # The checks of `_is_unhealthy` are inlined, as this loop runs for every attempt.
        for backend in backends:
            total_in_flight = backend.in_flight + backend.in_flight_elsewhere
            if total_in_flight >= backend.capacity * MAX_LOAD_PER_SLOT or backend.key in avoid:
                continue
            if backend.is_unresponsive or backend.ejected_until > now or backend.saturated_until > now:
                continue
            if backend.in_flight and is_suspect(backend, latency_s, now):
                continue
            cost = cost_of(backend, distance_cost, 0.0, connected, now)
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        return best, best_cost

    def _best_of_all(
        self,
        zones: dict[str, list[Backend]],
        own_zone: str,
        latency_s: float,
        avoid: frozenset[int],
        connected: frozenset[int],
        now: float,
    ) -> Backend | None:
        """Return the cheapest backend of all zones, including full and unhealthy ones."""
        best, best_cost = None, 0.0
        for zone, backends in zones.items():
            distance_cost = 0.0 if zone == own_zone else ZONE_COST
            for backend in backends:
                if backend.key in avoid:
                    continue
                penalty = UNHEALTHY_COST if self._is_unhealthy(backend, latency_s, now) else 0.0
                cost = self._cost(backend, distance_cost, penalty, connected, now)
                if best is None or cost < best_cost:
                    best, best_cost = backend, cost
        return best

    def _is_unhealthy(self, backend: Backend, latency_s: float, now: float) -> bool:
        return (
            backend.is_unresponsive
            or backend.ejected_until > now
            or backend.saturated_until > now
            or (backend.in_flight > 0 and self.choice.is_suspect(backend, latency_s, now))
        )

    def _cost(
        self, backend: Backend, distance_cost: float, penalty: float, connected: frozenset[int], now: float
    ) -> float:
        cost = (
            self.choice.expected_latency(backend, 1.0, now)
            - 1.0
            + distance_cost
            + ERROR_COST * backend.error_rate
            + MAX_JITTER_COST * self.rng.random()
            + penalty
        )
        return cost if backend.key in connected else cost + CONNECT_COST

    # Ends of attempts

    def end_reservation(
        self, connection: str, number: int, result: AttemptResult, latency_ratio: float, now: float
    ) -> str | None:
        """End a reservation, and update the backend's estimates by the attempt's result.

        `connection`: over which the end was reported; `latency_ratio`: the attempt's duration over the typical
        latency. Returns the service that may have free capacity now; None if the proxy has no such reservation.
        """
        reservation = self.reservations.get(number)
        proxy = process_name(connection)
        if reservation is None or process_name(reservation.connection) != proxy:
            return None
        del self.reservations[number]
        self._remove_number(reservation.connection, number)
        backend = reservation.backend
        self.choice.record_end(backend, reservation.started_at)
        if result is not AttemptResult.UNKNOWN and result is not AttemptResult.ABANDONED:
            self._record_error(proxy, backend, result)
        self._record_result(reservation, proxy, result, latency_ratio, now)
        return backend.service

    def _record_error(self, proxy: str, backend: Backend, result: AttemptResult) -> None:
        """Update the proxy's failure rate and, unless that is too high, the backend's error rate."""
        rate = self.failure_rates.get(proxy, 0.0)
        is_failure = result is AttemptResult.FAILED
        self.failure_rates[proxy] = rate = rate + PROXY_FAILURE_WEIGHT * (is_failure - rate)
        if rate >= MAX_PROXY_FAILURE_RATE:
            return
        if result in (AttemptResult.SUCCESS, AttemptResult.SERVER_ERROR, AttemptResult.FAILED):
            is_error = result is not AttemptResult.SUCCESS
            backend.error_rate += ERROR_WEIGHT * (is_error - backend.error_rate)

    def _record_result(
        self, reservation: Reservation, proxy: str, result: AttemptResult, latency_ratio: float, now: float
    ) -> None:
        backend, choice = reservation.backend, self.choice
        is_proxy_reliable = self.failure_rates.get(proxy, 0.0) < MAX_PROXY_FAILURE_RATE
        match result:
            case AttemptResult.SUCCESS:
                slowdown = latency_ratio / reservation.load_factor
                choice.record_slowdown(backend, slowdown, now, SLOWDOWN_WEIGHT)
            case AttemptResult.SERVER_ERROR:  # not a latency sample: errors are often faster than responses
                backend.last_response_at = now
            case AttemptResult.REJECTED:
                choice.record_rejection(backend, now, REJECTION_PAUSE_S)
            case AttemptResult.WRONG_INCARNATION:
                self.remove(backend.id)
            case AttemptResult.FAILED if is_proxy_reliable:
                choice.record_failure(backend, now)
            case AttemptResult.ABANDONED if is_proxy_reliable:
                slowdown = latency_ratio / reservation.load_factor
                choice.record_abandoned(backend, reservation.started_at, slowdown, now, SLOWDOWN_WEIGHT)

    def _remove_number(self, connection: str, number: int) -> None:
        numbers = self.reservation_numbers[connection]
        numbers.discard(number)
        if not numbers:
            del self.reservation_numbers[connection]

    def disconnect(self, connection: str) -> set[str]:
        """End the reservations that were granted over a lost connection.

        Returns the services that may have free capacity now.
        """
        services = set()
        for number in self.reservation_numbers.pop(connection, set()):
            reservation = self.reservations.pop(number)
            self.choice.record_end(reservation.backend, reservation.started_at)
            services.add(reservation.backend.service)
        self.failure_rates.pop(process_name(connection), None)
        return services

    def expire(self, now: float) -> set[str]:
        """End the reservations past their deadlines. Returns the services that may have free capacity now."""
        services = set()
        expired = [
            (number, reservation)
            for number, reservation in self.reservations.items()
            if reservation.deadline < now
        ]
        for number, reservation in expired:
            del self.reservations[number]
            self._remove_number(reservation.connection, number)
            self.choice.record_end(reservation.backend, reservation.started_at)
            services.add(reservation.backend.service)
        return services

    # Load of the other registries

    def in_flight(self) -> InFlightByKey:
        """Return the requests in flight at each backend from this registry's proxies."""
        return {key: backend.in_flight for key, backend in self.backends_by_key.items() if backend.in_flight}

    def update_elsewhere(self, in_flight: InFlightByKey) -> None:
        """Set the requests in flight at each backend from all other registries' proxies."""
        for key, backend in self.backends_by_key.items():
            backend.in_flight_elsewhere = in_flight.get(key, 0)
