"""Placement of attempts on backends by a registry. Time and chance are arguments; no input or output.

A placement is a hint: the proxy checks the backend against what it knows itself, and goes by its own view where
no registry answers. A placement reserves a slot of the backend until its proxy reports the attempt's end, over
whichever connection, until the connection over which it was given ends, or until its deadline, whichever is
first. A backend is not taken to be unhealthy on the report of one proxy whose other attempts fail as well: that
proxy may be cut off itself.

Why a registry places: 85 proxies see one backend each once in seconds, and fill the queue of one that looked
free a second ago (seen with 75 proxies and no fault: a tenth of the arrivals were rejected by full backends
with 57% of the slots in use, a quarter of the responses late). One registry sees all that its zone sends, and
what the other registries have sent a tenth of a second ago.
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
ZONE_COST = 0.6  # of another zone: traffic between zones is costly, and its load is reported late
REGION_COST = 2.0  # of another region
CONNECT_COST = 0.6  # of a new connection
ERROR_COST = 4.0  # of a backend of which every attempt fails
OVERLOAD_COST = 10.0  # of a backend that is ejected, saturated or suspect, where there is none else
CHOICE_JITTER = 0.05  # of its cost, so that two registries with the same view do not choose alike

SLOWDOWN_WEIGHT = 0.08  # of the newest response in a backend's slowdown: all of a zone come together here
ERROR_WEIGHT = 0.15  # of the newest attempt in a backend's error rate
PROXY_ERROR_WEIGHT = 0.2  # of the newest attempt in a proxy's own failure rate
MAX_PROXY_FAILURE_RATE = 0.5  # over all backends, from which a proxy's reports of failures are not believed
REJECTION_PAUSE_S = 0.1  # that a backend which rejected a request is taken to be saturated
FREE_FACTOR = 1.0  # requests for each slot up to which a backend has capacity

# Bits: numbers of reservations begin anywhere there, so that an end reported to a later process meets none.
FIRST_NUMBER_BITS = 31


class PlacementNeeds(Protocol):
    """What an attempt needs, as a proxy's request says it."""

    @property
    def zone(self) -> str:
        """The proxy's zone."""

    @property
    def service(self) -> str:
        """The service that is called."""

    @property
    def typical_latency_s(self) -> float:
        """The service's typical latency, s."""

    @property
    def avoid(self) -> Iterable[int]:
        """Short keys of backends not to use."""

    @property
    def connected(self) -> Iterable[int]:
        """Short keys of backends to which the proxy has an idle connection."""


@dataclass(slots=True)
class Reservation:
    """A slot of a backend, until its proxy reports the attempt's end.

    `proxy`: the connection over which it was given; `load_factor`: by which the load lengthens the attempt;
    `deadline`: s, when it is dropped without a report.
    """

    proxy: str
    backend: Backend
    started_at: float
    load_factor: float
    deadline: float


class Placer:
    """What one registry knows of backends' load, and where it places attempts."""

    def __init__(self, regions: dict[str, str], rng: random.Random) -> None:
        """`regions`: the region of each zone."""
        self.regions, self.rng = regions, rng
        self.choice = BackendChoice(rng)
        self.backends: dict[str, Backend] = {}
        self.by_key: dict[int, Backend] = {}
        self.services: dict[str, dict[str, list[Backend]]] = {}  # service -> zone -> backends
        self.reservations: dict[int, Reservation] = {}
        self.reservation_numbers: dict[str, set[int]] = {}  # connection of a proxy -> its reservations
        self.failure_rates: dict[str, float] = {}  # of attempts, by proxy
        self.waiting = WaitingQueues()
        self.number = rng.getrandbits(FIRST_NUMBER_BITS)

    # Backends

    def add(self, id_: str, service: str, zone: str, capacity: int, warm_at: float) -> Backend:
        """Add an incarnation that may be used, or update when its slow start ends."""
        backend = self.backends.get(id_)
        if backend is None:
            backend = Backend(id_, service, ("", 0), zone, 0, max(1, capacity), warm_at, key=short_key(id_))
            self.backends[id_] = self.by_key[backend.key] = backend
            self.services.setdefault(service, {}).setdefault(zone, []).append(backend)
        backend.warm_at = warm_at
        return backend

    def remove(self, id_: str) -> None:
        """Place nothing more on an incarnation that drains or is gone."""
        backend = self.backends.pop(id_, None)
        if backend is not None:
            backend.is_draining = True
            self.by_key.pop(backend.key, None)
            zones = self.services[backend.service]
            zones[backend.zone].remove(backend)
            if not zones[backend.zone]:
                del zones[backend.zone]

    # Reservations

    def reserve(
        self, proxy: str, needs: PlacementNeeds, now: float, deadline: float, only_free: bool
    ) -> tuple[int, Backend, float] | None:
        """Reserve a slot: its number, the backend, and the factor by which the load lengthens the attempt.

        `deadline`: s, when the reservation is dropped at the latest; `only_free`: only on a backend with
        capacity, else on the best there is, full or not. None where there is none.
        """
        backend = self._choose(needs, now, only_free)
        if backend is None:
            return None
        load_factor = self.choice.load_factor(backend)
        self.choice.record_start(backend, now)
        self.number += 1
        self.reservations[self.number] = Reservation(proxy, backend, now, load_factor, deadline)
        self.reservation_numbers.setdefault(proxy, set()).add(self.number)
        return self.number, backend, load_factor

    def _choose(self, needs: PlacementNeeds, now: float, only_free: bool) -> Backend | None:
        """Return the cheapest backend.

        Another zone is looked at only where the proxy's own has none at low cost.
        """
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
        """Return the cheapest of those with capacity, and its cost beyond one typical latency."""
        best, least = None, 0.0
        cost_of, is_suspect = self._cost, self.choice.is_suspect
        for (
            backend
        ) in backends:  # runs for each attempt: the checks of `_is_unhealthy` stand here without a call
            there = backend.in_flight + backend.in_flight_elsewhere
            if there >= backend.capacity * FREE_FACTOR or backend.key in avoid:
                continue
            if backend.is_unresponsive or backend.ejected_until > now or backend.saturated_until > now:
                continue
            if backend.in_flight and is_suspect(backend, latency_s, now):
                continue
            cost = cost_of(backend, distance_cost, 0.0, connected, now)
            if best is None or cost < least:
                best, least = backend, cost
        return best, least

    def _best_of_all(
        self,
        zones: dict[str, list[Backend]],
        own_zone: str,
        latency_s: float,
        avoid: frozenset[int],
        connected: frozenset[int],
        now: float,
    ) -> Backend | None:
        """Return the cheapest backend of all zones, full and unhealthy ones among them."""
        best, least = None, 0.0
        for zone, backends in zones.items():
            distance_cost = 0.0 if zone == own_zone else ZONE_COST
            for backend in backends:
                if backend.key in avoid:
                    continue
                penalty = OVERLOAD_COST if self._is_unhealthy(backend, latency_s, now) else 0.0
                cost = self._cost(backend, distance_cost, penalty, connected, now)
                if best is None or cost < least:
                    best, least = backend, cost
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
            + CHOICE_JITTER * self.rng.random()
            + penalty
        )
        return cost if backend.key in connected else cost + CONNECT_COST

    # Ends of attempts

    def end_reservation(
        self, proxy: str, number: int, result: AttemptResult, latency_ratio: float, now: float
    ) -> str | None:
        """End a reservation, and learn from the attempt's result.

        `latency_ratio`: the attempt's time over the typical latency. Returns the service that may have capacity
        now; None where the proxy has no such reservation.
        """
        reservation = self.reservations.get(number)
        name = process_name(proxy)
        if reservation is None or process_name(reservation.proxy) != name:
            return None
        del self.reservations[number]
        self._forget_number(reservation.proxy, number)
        backend = reservation.backend
        self.choice.record_end(backend, reservation.started_at)
        if result is not AttemptResult.UNKNOWN and result is not AttemptResult.ABANDONED:
            self._record_error(name, backend, result)
        self._record_result(reservation, name, result, latency_ratio, now)
        return backend.service

    def _record_error(self, proxy: str, backend: Backend, result: AttemptResult) -> None:
        """Update the failure rate of the proxy and, where the proxy is believed, the error rate of the backend."""
        rate = self.failure_rates.get(proxy, 0.0)
        is_failure = result is AttemptResult.FAILED
        self.failure_rates[proxy] = rate = rate + PROXY_ERROR_WEIGHT * (is_failure - rate)
        if rate >= MAX_PROXY_FAILURE_RATE:
            return
        if result in (AttemptResult.SUCCESS, AttemptResult.SERVER_ERROR, AttemptResult.FAILED):
            is_error = result is not AttemptResult.SUCCESS
            backend.error_rate += ERROR_WEIGHT * (is_error - backend.error_rate)

    def _record_result(
        self, reservation: Reservation, proxy: str, result: AttemptResult, latency_ratio: float, now: float
    ) -> None:
        backend, choice = reservation.backend, self.choice
        is_believed = self.failure_rates.get(proxy, 0.0) < MAX_PROXY_FAILURE_RATE
        match result:
            case AttemptResult.SUCCESS:
                slowdown = latency_ratio / reservation.load_factor
                choice.record_slowdown(backend, slowdown, now, SLOWDOWN_WEIGHT)
            case AttemptResult.SERVER_ERROR:  # a quick error is no sign of a fast backend
                backend.last_response_at = now
            case AttemptResult.REJECTED:
                choice.record_rejection(backend, now, REJECTION_PAUSE_S)
            case AttemptResult.WRONG_INCARNATION:
                self.remove(backend.id)
            case AttemptResult.FAILED if is_believed:
                choice.record_failure(backend, now)
            case AttemptResult.ABANDONED if is_believed:
                slowdown = latency_ratio / reservation.load_factor
                choice.record_abandoned(backend, reservation.started_at, slowdown, now, SLOWDOWN_WEIGHT)

    def _forget_number(self, proxy: str, number: int) -> None:
        numbers = self.reservation_numbers[proxy]
        numbers.discard(number)
        if not numbers:
            del self.reservation_numbers[proxy]

    def disconnect(self, proxy: str) -> set[str]:
        """End the reservations that were given over a connection that is lost.

        Returns the services that may have capacity now.
        """
        services = set()
        for number in self.reservation_numbers.pop(proxy, set()):
            reservation = self.reservations.pop(number)
            self.choice.record_end(reservation.backend, reservation.started_at)
            services.add(reservation.backend.service)
        self.failure_rates.pop(process_name(proxy), None)
        return services

    def expire(self, now: float) -> set[str]:
        """End the reservations past their deadlines. Returns the services that may have capacity now."""
        services = set()
        expired = [
            (number, reservation)
            for number, reservation in self.reservations.items()
            if reservation.deadline < now
        ]
        for number, reservation in expired:
            del self.reservations[number]
            self._forget_number(reservation.proxy, number)
            self.choice.record_end(reservation.backend, reservation.started_at)
            services.add(reservation.backend.service)
        return services

    # Load of the other registries

    def in_flight(self) -> InFlightByKey:
        """Return the requests in flight at each backend from this registry's proxies."""
        return {key: backend.in_flight for key, backend in self.by_key.items() if backend.in_flight}

    def update_elsewhere(self, in_flight: InFlightByKey) -> None:
        """Take the requests in flight at each backend from all other registries' proxies."""
        for key, backend in self.by_key.items():
            backend.in_flight_elsewhere = in_flight.get(key, 0)
