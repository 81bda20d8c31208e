"""One attempt of a request at one backend, and the feedback from its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from irisdeal.http1.messages import Request
from irisdeal.load_balancing.backend_choice import MIN_LATENCY_S, BackendChoice, LatencyEstimate
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.attempt_placer import AttemptPlacer, PlacedAttempt
from irisdeal.proxy.backend_request import DEADLINE_MARGIN_S, BackendRequest, encode_head, split_body
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.drain_plan import DrainState
from irisdeal.proxy.metrics import ProxyMetrics
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.route_table import Route
from irisdeal.proxy.tenant_admission import RequestPermit
from irisdeal.registry.messages import ReservationEnd
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.tasks import Tasks


@dataclass(slots=True)
class AdmittedRequest:
    """A request that passed admission.

    `rank`: lower ranks are dequeued first; `deadline`: s on the loop's clock; `latency`: estimate for its route
    and service; `permit`: None if the request has no tenant.
    """

    request: Request
    attempt_id: bytes
    route: Route
    service: str
    tenant: str
    rank: int
    deadline: float
    latency: LatencyEstimate
    permit: RequestPermit | None


@dataclass(frozen=True, slots=True)
class AttemptServices:
    """Components that all requests of a proxy share.

    `on_ended`: called with the id of an incarnation whose address another one has taken over; `drain`: state of
    the process's shutdown.
    """

    loop: asyncio.AbstractEventLoop
    tasks: Tasks
    pool: ConnectionPool
    choice: BackendChoice
    placer: AttemptPlacer
    registries: RegistryClient
    metrics: ProxyMetrics
    on_ended: Callable[[str], None]
    drain: DrainState


class Attempt:
    """One attempt at one backend, run in its own task."""

    def __init__(
        self,
        services: AttemptServices,
        admitted: AdmittedRequest,
        placed: PlacedAttempt,
        on_ended: Callable[[Attempt], None],
    ) -> None:
        """`on_ended`: called when the attempt has ended, with any result."""
        self.services, self.admitted, self.placed, self.on_ended = services, admitted, placed, on_ended
        self.started_at = services.loop.time()
        permit, request = admitted.permit, admitted.request
        remaining_s = admitted.deadline - self.started_at
        body_with_head, body = split_body(request)
        self.backend_request = BackendRequest(
            encode_head(request, placed.backend, admitted.tenant, remaining_s) + body_with_head,
            admitted.attempt_id,
            request.is_head,
            admitted.route.is_mutating,
            admitted.deadline - DEADLINE_MARGIN_S,
            permit.consume() if permit is not None else float("inf"),
            body=body,
            memory=request.memory,
        )
        services.choice.record_start(placed.backend, self.started_at)
        self.task = services.tasks.start(services.pool.send(placed.backend, self.backend_request))
        self.task.add_done_callback(self._on_task_done)

    @property
    def must_finish_once_sent(self) -> bool:
        """Whether it is a running attempt of a mutating request that the backend may have begun to execute."""
        return self.admitted.route.is_mutating and self.backend_request.is_sent and not self.task.done()

    def abandon(self, reason: str) -> None:
        """Cancel the attempt if it is still running. `reason`: label of the metric."""
        if not self.task.done():
            self.services.metrics.abandoned.add(reason)
            self.task.cancel()

    def _on_task_done(self, task: asyncio.Task[AttemptOutcome]) -> None:
        """End its reservation, restore its permit if it was not executed, and record its result."""
        services, backend = self.services, self.placed.backend
        now, result, outcome = services.loop.time(), AttemptResult.ABANDONED, None
        if not task.cancelled():
            outcome = _outcome_of(task)
            result = result_of(outcome)
        ratio = (now - self.started_at) / max(MIN_LATENCY_S, self.admitted.latency.typical_latency_s)
        services.choice.record_end(backend, self.started_at)
        if self.placed.reservation:
            end = ReservationEnd(self.placed.reservation, int(result), round(ratio, 2))
            services.registries.end_reservation(self.placed.registry, end)
        if self.admitted.permit is not None and self._was_not_executed(outcome):
            self.admitted.permit.restore(self.backend_request.send_by)
        self._record_result(result, outcome, ratio, now)
        self.on_ended(self)

    def _was_not_executed(self, outcome: AttemptOutcome | None) -> bool:
        if outcome is None:
            return not self.backend_request.is_sent
        return outcome.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED)

    def _record_result(
        self, result: AttemptResult, outcome: AttemptOutcome | None, ratio: float, now: float
    ) -> None:
        """Update this proxy's view of the backend. `ratio`: the attempt's duration over the typical latency."""
        choice, backend, latency = self.services.choice, self.placed.backend, self.admitted.latency
        load_factor = self.placed.load_factor
        match result:
            case AttemptResult.SUCCESS:
                choice.record_response(backend, latency, now - self.started_at, load_factor, now)
            case AttemptResult.REJECTED:
                choice.record_rejection(backend, now, latency.typical_latency_s)
            case AttemptResult.WRONG_INCARNATION:
                self.services.on_ended(backend.id)
            case AttemptResult.ABANDONED if self.backend_request.is_sent:
                choice.record_abandoned(backend, self.started_at, ratio / load_factor, now)
            case AttemptResult.FAILED:
                ejection_s = choice.record_failure(backend, now)
                reason = outcome.reason if outcome is not None else ""
                log_event(
                    Event.BACKEND_EJECTED,
                    backend=backend.id,
                    service=backend.service,
                    why=reason,
                    seconds=ejection_s,
                )


def _outcome_of(task: asyncio.Task[AttemptOutcome]) -> AttemptOutcome:
    """Return the outcome of an attempt's task; an internal error may have occurred after sending."""
    if task.exception() is None:
        return task.result()
    return AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "a fault of our own")


def result_of(outcome: AttemptOutcome) -> AttemptResult:
    """Return the result of an attempt that is reported to the registry."""
    match outcome.end:
        case AttemptEnd.RESPONSE:
            return AttemptResult.SERVER_ERROR if outcome.status >= 500 else AttemptResult.SUCCESS
        case AttemptEnd.NOT_EXECUTED:
            return AttemptResult.WRONG_INCARNATION if outcome.is_misdirected else AttemptResult.REJECTED
        case AttemptEnd.MAY_HAVE_EXECUTED if outcome.is_timed_out:
            # The request may have been queued at a healthy backend; an unreachable one answers no request and is
            # detected by that (`BackendChoice.is_suspect`).
            return AttemptResult.UNKNOWN
    return AttemptResult.FAILED
