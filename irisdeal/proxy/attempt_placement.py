"""A backend for the next attempt of a request, and the permit that it needs.

A registry's word is held against what this proxy knows itself; without one the proxy chooses by its own view. A
request of a tenant with a limit gets a backend only with a permit in hand.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice, LatencyEstimate
from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.proxy.admission import SEND_WITHIN_S, RequestPermit, TenantAdmission
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.refusal import without_permits
from irisdeal.proxy.registry_client import PLACE_S, Placement, RegistryClient
from irisdeal.ratelimit.retry_budget import RetryBudgets
from irisdeal.registry.messages import PlacementRequest, PlacementResult, ReservationEnd

FIRST_WAIT_S = 0.3  # that a request at a proxy which has just started waits for a first registry
LEAST_HOLD_S = 0.001  # a first attempt goes to the best there is, full or not, when its time to wait is over
MOST_HOLD_S = (
    SEND_WITHIN_S - PLACE_S - 0.02
)  # that an ask with a permit waits for room: it has to be sent in time
PERMIT_RETRY_S = 0.08  # between two asks of a request while no registry gives permits
NO_PERMITS = (PlacementResult.NOT_ISSUING, PlacementResult.NO_REGISTRY)


@dataclass(slots=True)
class Placed:
    """A backend for one attempt, and which registry gave the place; none where the proxy chose by itself."""

    backend: Backend
    crowd: float
    source: str = ""
    number: int = 0


@dataclass(frozen=True, slots=True)
class AttemptNeeds:
    """What the next attempt wants.

    `tried`: backends that are out of the question; `rank`: least first; `hold_s`: that may be spent on waiting
    for room, with 0 or less only a backend that would begin at once; `until`: s on the loop's clock;
    `is_repeat`: from the budget of repeats.
    """

    service: str
    tried: set[str]
    usual: LatencyEstimate
    rank: int
    hold_s: float
    until: float
    permit: RequestPermit | None
    is_mutating: bool
    is_repeat: bool


class AttemptPlacer:
    """Backends for the attempts of one proxy."""

    def __init__(
        self,
        zone: str,
        services: dict[str, dict[str, Backend]],
        pool: ConnectionPool,
        choice: BackendChoice,
        registries: RegistryClient,
        admission: TenantAdmission,
        repeats: RetryBudgets,
    ) -> None:
        """`services`: the backends of each by their ids, as the proxy knows them at any time."""
        self.zone, self.services, self.pool, self.choice = zone, services, pool, choice
        self.registries, self.admission, self.repeats = registries, admission, repeats
        self.loop = asyncio.get_running_loop()

    async def place(self, needs: AttemptNeeds) -> Placed | None:
        """None where there is no backend, or for a repeat no permit. Refused where a first attempt has no
        permit."""
        now, permit = self.loop.time(), needs.permit
        is_wanted = permit is not None and permit.is_wanted(now)
        ask = self._request(needs, is_wanted)
        placement = await self.registries.place(ask, FIRST_WAIT_S)
        if permit is not None and is_wanted:
            if (
                placement.reply.result in NO_PERMITS
                and not needs.is_repeat
                and not self.admission.holds(permit)
            ):
                now, placement = await self._ask_again(ask, placement, now + ask.max_wait_s)
            if not self._take_permit(permit, placement.reply.result, now, needs.is_repeat):
                return None
            if placement.reply.result in (PlacementResult.NOT_ISSUING, PlacementResult.OVER_QUOTA):
                placement = await self.registries.place(
                    replace(ask, tenant="", is_counted=placement.is_counted), 0.0
                )
        if placement.reply.result is PlacementResult.NO_REGISTRY:
            return self._place_alone(needs, placement.is_counted)
        return self._checked(placement, needs)

    def _request(self, needs: AttemptNeeds, is_permit_wanted: bool) -> PlacementRequest:
        now, permit = self.loop.time(), needs.permit
        known = self.services.get(needs.service, {})
        avoid = [
            backend.key for id_, backend in known.items() if id_ in needs.tried or backend.ejected_until > now
        ]
        connected = [known[id_].key for id_ in self.pool.connected(now, needs.is_mutating) if id_ in known]
        is_limited = permit is not None and permit.companion.limit.is_limited
        hold = min(needs.hold_s, MOST_HOLD_S) if is_limited else needs.hold_s
        return PlacementRequest(
            self.zone,
            needs.service,
            round(needs.usual.typical_latency_s, 4),
            avoid,
            needs.rank,
            round(hold, 4),
            round(needs.until - now, 3),
            permit.tenant if permit is not None and is_permit_wanted else "",
            is_repeat=needs.is_repeat,
            is_late=permit is not None and permit.is_late,
            connected=connected,
        )

    async def _ask_again(
        self, ask: PlacementRequest, last: Placement, until: float
    ) -> tuple[float, Placement]:
        """Ask on for a permit until `until`, as registries that start again give some soon; when the last ask was
        sent, and its answer."""
        asked_at = self.loop.time()
        while last.reply.result in NO_PERMITS and (left := until - self.loop.time()) > 0:
            await asyncio.sleep(min(left, PERMIT_RETRY_S))
            asked_at = self.loop.time()
            hold = max(LEAST_HOLD_S, round(until - asked_at, 4))
            last = await self.registries.place(replace(ask, is_counted=last.is_counted, max_wait_s=hold), 0.0)
        return asked_at, last

    def _take_permit(
        self, permit: RequestPermit, result: PlacementResult, asked_at: float, is_repeat: bool
    ) -> bool:
        """Whether a permit is in hand after an ask that ended so; Refused where there is none for a first
        attempt."""
        if result in NO_PERMITS:
            if self.admission.take_held(permit):
                return True
            if is_repeat:
                return False
            raise without_permits()
        if result is PlacementResult.OVER_QUOTA:
            if is_repeat:
                return False
            if not permit.is_late and self.admission.take_held(permit):
                return True
            raise self.admission.refusal(permit)
        permit.give(asked_at)
        return True

    def give_back(self, placed: Placed) -> None:
        """The place is not used."""
        if placed.number:
            self.registries.end_place(
                placed.source, ReservationEnd(placed.number, int(AttemptResult.UNKNOWN))
            )

    def _checked(self, placement: Placement, needs: AttemptNeeds) -> Placed | None:
        """The backend of a registry's answer where it fits what we know, or our own choice in its place."""
        reply = placement.reply
        has_place = reply.result is PlacementResult.PLACED
        if reply.result is PlacementResult.OVER_BUDGET or (not has_place and needs.hold_s <= 0):
            return None
        backend = self.services.get(needs.service, {}).get(reply.backend)
        if backend is not None and not backend.is_draining and reply.backend not in needs.tried:
            return Placed(backend, reply.load_factor, placement.registry, reply.reservation)
        if has_place:
            self.registries.end_place(
                placement.registry, ReservationEnd(reply.reservation, int(AttemptResult.UNKNOWN))
            )
        own = self._choose(needs)
        return Placed(own, self.choice.load_factor(own)) if own is not None else None

    def _place_alone(self, needs: AttemptNeeds, is_counted: bool) -> Placed | None:
        """Our own choice, and a repeat from what the requests that no registry counted allow."""
        now, backend = self.loop.time(), self._choose(needs)
        if backend is None or (needs.hold_s <= 0 and not self.choice.has_free_slot(backend)):
            return None
        if needs.is_repeat:
            if not self.repeats.consume(needs.service, now, self.admission.sharers()):
                return None
        elif not is_counted:
            self.repeats.record_request(needs.service, now)
        return Placed(backend, self.choice.load_factor(backend))

    def _choose(self, needs: AttemptNeeds) -> Backend | None:
        known = self.services.get(needs.service, {})
        untried = [backend for backend in known.values() if backend.id not in needs.tried]
        return self.choice.choose(untried, needs.usual.typical_latency_s, self.loop.time())
