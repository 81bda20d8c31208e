"""Assigns a backend to a request's next attempt, with the permit that the attempt needs.

A registry's reply is checked against this proxy's own view of the backends; without a reply the proxy chooses
by that view alone. A request of a tenant with a limit gets a backend only with a permit.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice, LatencyEstimate
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.registry_client import PLACEMENT_TIMEOUT_S, Placement, RegistryClient
from irisdeal.proxy.rejection import permits_unavailable
from irisdeal.proxy.tenant_admission import SEND_WITHIN_S, RequestPermit, TenantAdmission
from irisdeal.ratelimit.retry_budget import RetryBudgets
from irisdeal.registry.messages import PlacementRequest, PlacementResult, ReservationEnd

FIRST_REGISTRY_WAIT_S = 0.3  # for which requests wait for a first registry after the proxy's start
MIN_QUEUE_S = 0.001  # above 0, so that a first attempt that can no longer wait still gets a full backend
SEND_MARGIN_S = 0.02  # for writing the request within the validity of its permit
# Longest wait for capacity of a request with a permit, which must be sent while the permit is valid.
MAX_QUEUE_WITH_PERMIT_S = SEND_WITHIN_S - PLACEMENT_TIMEOUT_S - SEND_MARGIN_S
PERMIT_RETRY_S = 0.08  # interval of requests for a permit while no registry issues any
NO_PERMIT_RESULTS = (PlacementResult.NOT_ISSUING, PlacementResult.NO_REGISTRY)


@dataclass(slots=True)
class PlacedAttempt:
    """A backend for one attempt.

    `load_factor`: factor by which the backend's other requests lengthen this one; `registry`: that placed the
    attempt, empty if the proxy chose the backend itself; `reservation`: its number at the registry, or 0.
    """

    backend: Backend
    load_factor: float
    registry: str = ""
    reservation: int = 0


@dataclass(frozen=True, slots=True)
class AttemptNeeds:
    """The requirements of the next attempt.

    `tried`: ids of backends that must not be used again; `rank`: lower ranks are dequeued first; `max_queue_s`:
    longest wait for capacity, 0 or less to accept only a backend with a free slot; `deadline`: of the request,
    s on the loop's clock; `is_retry`: whether the attempt consumes retry budget.
    """

    service: str
    tried: set[str]
    latency: LatencyEstimate
    rank: int
    max_queue_s: float
    deadline: float
    permit: RequestPermit | None
    is_mutating: bool
    is_retry: bool


class AttemptPlacer:
    """Assigns backends to the attempts of one proxy."""

    def __init__(
        self,
        zone: str,
        services: dict[str, dict[str, Backend]],
        pool: ConnectionPool,
        choice: BackendChoice,
        registries: RegistryClient,
        admission: TenantAdmission,
        retry_budgets: RetryBudgets,
    ) -> None:
        """`services`: the backends of each service by their ids; the caller keeps it up to date."""
        self.zone, self.services, self.pool, self.choice = zone, services, pool, choice
        self.registries, self.admission, self.retry_budgets = registries, admission, retry_budgets
        self.loop = asyncio.get_running_loop()

    async def assign(self, needs: AttemptNeeds) -> PlacedAttempt | None:
        """Return a backend; None if there is none, or if a retry gets no permit.

        Raise RejectionError if a first attempt gets no permit.
        """
        now, permit = self.loop.time(), needs.permit
        is_permit_needed = permit is not None and permit.is_needed(now)
        request = self._request(needs, is_permit_needed)
        placement = await self.registries.request_placement(request, FIRST_REGISTRY_WAIT_S)
        if permit is not None and is_permit_needed:
            if self._should_await_permit(placement, needs, permit):
                now, placement = await self._await_permit(request, placement, now + request.max_wait_s)
            if not self._obtain_permit(permit, placement.reply.result, now, needs.is_retry):
                return None
            if placement.reply.result in (PlacementResult.NOT_ISSUING, PlacementResult.OVER_QUOTA):
                without_permit = replace(request, tenant="", is_counted=placement.is_counted)
                placement = await self.registries.request_placement(without_permit, 0.0)
        if placement.reply.result is PlacementResult.NO_REGISTRY:
            return self._assign_locally(needs, placement.is_counted)
        return self._check(placement, needs)

    def _request(self, needs: AttemptNeeds, is_permit_needed: bool) -> PlacementRequest:
        now, permit = self.loop.time(), needs.permit
        known = self.services.get(needs.service, {})
        avoid = [
            backend.key for id_, backend in known.items() if id_ in needs.tried or backend.ejected_until > now
        ]
        connected = [known[id_].key for id_ in self.pool.connected(now, needs.is_mutating) if id_ in known]
        is_limited = permit is not None and permit.throttle.limit.is_limited
        queue_s = min(needs.max_queue_s, MAX_QUEUE_WITH_PERMIT_S) if is_limited else needs.max_queue_s
        return PlacementRequest(
            self.zone,
            needs.service,
            round(needs.latency.typical_latency_s, 4),
            avoid,
            needs.rank,
            round(queue_s, 4),
            round(needs.deadline - now, 3),
            permit.tenant if permit is not None and is_permit_needed else "",
            is_repeat=needs.is_retry,
            is_late=permit is not None and permit.is_late,
            connected=connected,
        )

    def _should_await_permit(self, placement: Placement, needs: AttemptNeeds, permit: RequestPermit) -> bool:
        """Return whether to wait for a permit: no registry issues any, and none is prefetched."""
        if placement.reply.result not in NO_PERMIT_RESULTS or needs.is_retry:
            return False
        return not self.admission.has_prefetched(permit)

    async def _await_permit(
        self, request: PlacementRequest, last: Placement, until: float
    ) -> tuple[float, Placement]:
        """Request a permit repeatedly until `until`, as restarting registries soon issue permits again.

        Return the time at which the last request was sent, and its reply.
        """
        requested_at = self.loop.time()
        while last.reply.result in NO_PERMIT_RESULTS and (left_s := until - self.loop.time()) > 0:
            await asyncio.sleep(min(left_s, PERMIT_RETRY_S))
            requested_at = self.loop.time()
            queue_s = max(MIN_QUEUE_S, round(until - requested_at, 4))
            retried = replace(request, is_counted=last.is_counted, max_wait_s=queue_s)
            last = await self.registries.request_placement(retried, 0.0)
        return requested_at, last

    def _obtain_permit(
        self, permit: RequestPermit, result: PlacementResult, requested_at: float, is_retry: bool
    ) -> bool:
        """Grant the permit by this result or from the prefetched ones; return whether it was granted.

        Raise RejectionError for a first attempt without a permit.
        """
        if result in NO_PERMIT_RESULTS:
            if self.admission.take_prefetched(permit):
                return True
            if is_retry:
                return False
            raise permits_unavailable()
        if result is PlacementResult.OVER_QUOTA:
            if is_retry:
                return False
            if not permit.is_late and self.admission.take_prefetched(permit):
                return True
            raise self.admission.rejection(permit)
        permit.grant(requested_at)
        return True

    def release(self, placed: PlacedAttempt) -> None:
        """End a reservation that is not used."""
        if placed.reservation:
            end = ReservationEnd(placed.reservation, int(AttemptResult.UNKNOWN))
            self.registries.end_reservation(placed.registry, end)

    def _check(self, placement: Placement, needs: AttemptNeeds) -> PlacedAttempt | None:
        """Return the backend of a registry's reply if this proxy's view allows it, else this proxy's choice."""
        reply = placement.reply
        is_placed = reply.result is PlacementResult.PLACED
        if reply.result is PlacementResult.OVER_BUDGET or (not is_placed and needs.max_queue_s <= 0):
            return None
        backend = self.services.get(needs.service, {}).get(reply.backend)
        if backend is not None and not backend.is_draining and reply.backend not in needs.tried:
            return PlacedAttempt(backend, reply.load_factor, placement.registry, reply.reservation)
        if is_placed:
            end = ReservationEnd(reply.reservation, int(AttemptResult.UNKNOWN))
            self.registries.end_reservation(placement.registry, end)
        chosen = self._choose(needs)
        return PlacedAttempt(chosen, self.choice.load_factor(chosen)) if chosen is not None else None

    def _assign_locally(self, needs: AttemptNeeds, is_counted: bool) -> PlacedAttempt | None:
        """Choose a backend without a registry.

        Retries use this proxy's budget, which counts only the requests that no registry counted.
        """
        now, backend = self.loop.time(), self._choose(needs)
        if backend is None or (needs.max_queue_s <= 0 and not self.choice.has_free_slot(backend)):
            return None
        if needs.is_retry:
            if not self.retry_budgets.consume(needs.service, now, self.admission.known_proxies()):
                return None
        elif not is_counted:
            self.retry_budgets.record_request(needs.service, now)
        return PlacedAttempt(backend, self.choice.load_factor(backend))

    def _choose(self, needs: AttemptNeeds) -> Backend | None:
        known = self.services.get(needs.service, {})
        untried = [backend for backend in known.values() if backend.id not in needs.tried]
        return self.choice.choose(untried, needs.latency.typical_latency_s, self.loop.time())
