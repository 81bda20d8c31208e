"""Places at backends, given out by a registry to its doors. Time and chance are arguments; no input or output.

Rules this file obeys. A place is a hint: the door that asked checks the life against what it knows itself, and
goes by its own view where no registry answers. A place that was given counts until its door tells its end, over
whichever connection, until the connection over which it was given ends, or until its time is over, whichever is
first. A backend is not called ill on the word of one door whose other attempts fail as well: that door may be cut
off itself.

Why there is a registry in between: 85 doors each see a backend once in seconds and fill the queue of one that
looked free a second ago (seen on 75 doors, no trouble in sight: a tenth of the arrivals turned away by full
backends with 57% of the slots in use, a quarter of the answers late). One registry sees all that its zone sends,
and what the other registries have sent a tenth of a second ago.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice
from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.placement.load_reports import key
from irisdeal.rpc.calls import process_name

CROSSING = (
    0.6  # of a usual time, that another zone must be quicker by: its bytes are dear, its load is told late
)
REGION = 2.0  # likewise another region
CONNECTING = 0.6  # likewise a new connection: it is dear, and takes its time
PACE_WEIGHT = 0.08  # of the newest answer in a backend's pace: a whole zone's answers come together here
ILL_WEIGHT = 0.15  # of the newest answer in a backend's share of poor ones
ILL_COST = 4.0  # usual times that an attempt at a backend costs which answers poorly always
DOOR_WEIGHT = 0.2  # of the newest attempt in a door's own share of failures
ILL_DOOR = 0.5  # share of failures over all backends, beyond which a door is not believed
MOST_WAITING = 4000  # asks that wait for room at one registry; more are answered at once
JITTER = 0.05  # of its cost, so that two registries that know the same do not choose alike
FIRST_NUMBERS = (
    31  # bits: numbers of places begin anywhere there, so that an end told to a later life meets none
)
FREE = 1.0  # requests for each slot up to which a backend has room


@dataclass(slots=True)
class Place:
    """One request at one backend, until its door tells its end."""

    door: str  # the connection over which it was given
    backend: Backend
    begun: float
    crowd: float
    until: float


@dataclass(slots=True)
class Waiting:
    """Asks for a service that found no room, the least rank first."""

    heap: list[tuple[int, int, Hashable]] = field(default_factory=list)
    dead: set[Hashable] = field(default_factory=set)  # those in it that wait no more


class Placer:
    """What one registry knows of backends' load, and whom it sends where."""

    def __init__(self, regions: dict[str, str], chance: random.Random) -> None:
        """`regions`: the region of each zone."""
        self.regions, self.chance = regions, chance
        self.choice = BackendChoice(chance)
        self.backends: dict[str, Backend] = {}
        self.keys: dict[int, Backend] = {}
        self.services: dict[str, dict[str, list[Backend]]] = {}  # service -> zone -> backends
        self.places: dict[int, Place] = {}
        self.doors: dict[str, set[int]] = {}
        self.failing: dict[str, float] = {}  # door -> its share of failures
        self.waiting: dict[str, Waiting] = {}
        self.number, self.asked = chance.getrandbits(FIRST_NUMBERS), 0

    # Backends

    def know(self, id_: str, service: str, zone: str, capacity: int, warm_at: float) -> Backend:
        """A life that may be used."""
        backend = self.backends.get(id_)
        if backend is None:
            backend = Backend(id_, service, ("", 0), zone, 0, max(1, capacity), warm_at, key=key(id_))
            self.backends[id_] = self.keys[backend.key] = backend
            self.services.setdefault(service, {}).setdefault(zone, []).append(backend)
        backend.warm_at = warm_at
        return backend

    def retire(self, id_: str) -> None:
        """A life that drains or is gone: nothing more goes there."""
        backend = self.backends.pop(id_, None)
        if backend is not None:
            backend.is_draining = True
            self.keys.pop(backend.key, None)
            zones = self.services[backend.service]
            zones[backend.zone].remove(backend)
            if not zones[backend.zone]:
                del zones[backend.zone]

    # Places

    def place(
        self,
        door: str,
        zone: str,
        service: str,
        usual: float,
        avoid: Iterable[int],
        now: float,
        until: float,
        only_free: bool,
        connected: Iterable[int] = (),
    ) -> tuple[int, Backend, float] | None:
        """A place's number, its backend and how many times its work the answer will take; None: no room, or none.

        `usual`: s that such a request takes; `until`: when the place is void at the latest; without `only_free`
        the best backend there is, full or not. `avoid`, `connected`: keys of the lives that the door will not use,
        and of those to which it has a connection at rest.
        """
        backend = self._choose(zone, service, usual, frozenset(avoid), frozenset(connected), now, only_free)
        if backend is None:
            return None
        crowd = self.choice.load_factor(backend)
        self.choice.record_start(backend, now)
        self.number += 1
        self.places[self.number] = Place(door, backend, now, crowd, until)
        self.doors.setdefault(door, set()).add(self.number)
        return self.number, backend, crowd

    def _choose(
        self,
        zone: str,
        service: str,
        usual: float,
        avoid: frozenset[int],
        connected: frozenset[int],
        now: float,
        only_free: bool,
    ) -> Backend | None:
        zones = self.services.get(service, {})
        best, least = self._best(zones.get(zone, ()), 0.0, usual, avoid, connected, now, True)
        if best is not None and (least <= CROSSING + CONNECTING or len(zones) == 1):
            return best
        for other, backends in zones.items():
            if other != zone:
                crossing = CROSSING if self.regions.get(other) == self.regions.get(zone) else REGION
                found, cost = self._best(backends, crossing, usual, avoid, connected, now, True)
                if found is not None and (best is None or cost < least):
                    best, least = found, cost
        if best is not None or only_free:
            return best
        for other, backends in zones.items():
            crossing = 0.0 if other == zone else CROSSING
            found, cost = self._best(backends, crossing, usual, avoid, connected, now, False)
            if found is not None and (best is None or cost < least):
                best, least = found, cost
        return best

    def _best(
        self,
        backends: Iterable[Backend],
        crossing: float,
        usual: float,
        avoid: frozenset[int],
        connected: frozenset[int],
        now: float,
        only_free: bool,
    ) -> tuple[Backend | None, float]:
        """The cheapest and its cost in usual times beyond the first; dear and suspect ones are not `free`."""
        best, least = None, 0.0
        choice = self.choice
        for backend in backends:
            there = backend.in_flight + backend.in_flight_elsewhere
            if (only_free and there >= backend.capacity * FREE) or backend.key in avoid:
                continue
            shunned = (
                backend.is_unresponsive
                or backend.ejected_until > now
                or backend.saturated_until > now
                or (backend.in_flight and choice.is_suspect(backend, usual, now))
            )
            if shunned and only_free:
                continue
            cost = (
                choice.expected_latency(backend, 1.0, now)
                - 1.0
                + crossing
                + ILL_COST * backend.error_rate
                + JITTER * self.chance.random()
                + (10.0 if shunned else 0.0)
            )
            if backend.key not in connected:
                cost += CONNECTING
            if best is None or cost < least:
                best, least = backend, cost
        return best, least

    def ended(self, door: str, number: int, how: AttemptResult, ratio: float, now: float) -> str | None:
        """The end of a place; the service at which there may be room now. `ratio`: s it took over the usual."""
        place = self.places.get(number)
        name = process_name(door)
        if place is None or process_name(place.door) != name:
            return None
        del self.places[number]
        self._freed(place.door, number)
        backend, choice = place.backend, self.choice
        choice.record_end(backend, place.begun)
        bad = how in (AttemptResult.FAILED, AttemptResult.POOR)
        if how not in (AttemptResult.UNKNOWN, AttemptResult.ABANDONED):
            share = self.failing.get(name, 0.0)
            self.failing[name] = share + DOOR_WEIGHT * ((how is AttemptResult.FAILED) - share)
            if (
                how in (AttemptResult.GOOD, AttemptResult.POOR, AttemptResult.FAILED)
                and self.failing[name] < ILL_DOOR
            ):
                backend.error_rate += ILL_WEIGHT * (bad - backend.error_rate)
        match how:
            case AttemptResult.GOOD:
                choice.record_slowdown(backend, ratio / place.crowd, now, PACE_WEIGHT)
            case AttemptResult.POOR:  # as quick as it may be, it is no better for it
                backend.last_response_at = now
            case AttemptResult.FULL:
                choice.record_rejection(backend, now, 0.1)
            case AttemptResult.ENDED:
                self.retire(backend.id)
            case AttemptResult.FAILED if self.failing[name] < ILL_DOOR:
                choice.record_failure(backend, now)
            case AttemptResult.ABANDONED if self.failing.get(name, 0.0) < ILL_DOOR:
                choice.record_abandoned(backend, place.begun, ratio / place.crowd, now, PACE_WEIGHT)
        return backend.service

    def _freed(self, door: str, number: int) -> None:
        numbers = self.doors[door]
        numbers.discard(number)
        if not numbers:
            del self.doors[door]

    def leave(self, door: str) -> set[str]:
        """A door's connection ended: what was given over it is free. The services at which there may be room."""
        services = set()
        for number in self.doors.pop(door, set()):
            place = self.places.pop(number)
            self.choice.record_end(place.backend, place.begun)
            services.add(place.backend.service)
        self.failing.pop(process_name(door), None)
        return services

    def look(self, now: float) -> set[str]:
        """Places whose time is over are void."""
        services = set()
        for number, place in [(n, p) for n, p in self.places.items() if p.until < now]:
            del self.places[number]
            self._freed(place.door, number)
            self.choice.record_end(place.backend, place.begun)
            services.add(place.backend.service)
        return services

    # Who waits for room

    def wait(self, service: str, rank: int, token: Hashable) -> bool:
        """`token` waits for room at this service; False where too many do."""
        heap = self.waiting.setdefault(service, Waiting()).heap
        if len(heap) >= MOST_WAITING:
            return False
        self.asked += 1
        heapq.heappush(heap, (rank, self.asked, token))
        return True

    def wait_no_more(self, service: str, token: Hashable) -> None:
        """It is passed over when its turn comes, and swept out once half of all are such."""
        waiting = self.waiting[service]
        waiting.dead.add(token)
        if 2 * len(waiting.dead) > len(waiting.heap):
            waiting.heap = [entry for entry in waiting.heap if entry[2] not in waiting.dead]
            heapq.heapify(waiting.heap)
            waiting.dead.clear()

    def next(self, service: str) -> Hashable | None:
        """Who goes next at this service, taken out of those that wait."""
        waiting = self.waiting.get(service)
        while waiting is not None and waiting.heap:
            token = heapq.heappop(waiting.heap)[2]
            if token not in waiting.dead:
                return token
            waiting.dead.discard(token)
        return None

    # What the other registries have there

    def sums(self) -> dict[int, int]:
        """What our doors have at each backend, by its key."""
        return {short: backend.in_flight for short, backend in self.keys.items() if backend.in_flight}

    def others(self, sums: dict[int, int]) -> None:
        """What the doors of all other registries have there."""
        for short, backend in self.keys.items():
            backend.in_flight_elsewhere = sums.get(short, 0)
