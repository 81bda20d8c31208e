"""Handling of a request from its last byte to its final response: route, tenant, service, admission, attempts.

A request is handled by the route table that was in force when it arrived. Each request has one task, which is
cancelled when its client disconnects; this removes the request from any queue in which it waits.
"""

from __future__ import annotations

import asyncio
import random

from irisdeal.http1.messages import Request, Response
from irisdeal.http1.phase import Phase
from irisdeal.load_balancing.backend_choice import LatencyEstimate
from irisdeal.permits.allowance import Limit
from irisdeal.proxy.attempt import AdmittedRequest, AttemptServices
from irisdeal.proxy.rejection import RejectionError, client_disconnected, over_quota, shutting_down
from irisdeal.proxy.request_attempts import MAX_QUEUE_SHARE, MIN_ATTEMPT_S, RequestAttempts
from irisdeal.proxy.route_table import Route, RouteTable
from irisdeal.proxy.tenant_admission import RequestPermit, TenantAdmission

MAX_TIMEOUT_S = 60.0
DEFAULT_DEADLINE_MS = b"60000"  # if the client states no deadline
FIRST_TABLE_WAIT_S = 0.3  # for which requests wait for the first configuration after the proxy's start
NO_TABLE_RETRY_S = 0.1  # Retry-After of a request rejected as there is no configuration
TIMEOUT_DECAY_RATIO = 0.999  # factor on a route's longest time-out, per request with a shorter one
TENANT_RANK_FACTOR = 1000  # ranks order requests by the tenant's priority, then by the route's
GOLDEN_RATIO_FRACTION = 0.6180339887498949  # step of a low-discrepancy sequence of draws
NOT_EXECUTED_STATUSES = (429, 503)  # statuses which mean that the request was not executed


class RequestHandler:
    """Handles the requests of one proxy."""

    def __init__(self, services: AttemptServices, admission: TenantAdmission, rng: random.Random) -> None:
        """`rng`: source of each route's first draw of a service."""
        self.services, self.admission, self.rng = services, admission, rng
        self.loop, self.metrics, self.drain = services.loop, services.metrics, services.drain
        self.table: RouteTable | None = None
        self.has_table = asyncio.Event()
        self.longest_timeouts: dict[str, float] = {}  # route -> decaying maximum of clients' time-outs, s
        self.latencies: dict[tuple[str, str], LatencyEstimate] = {}  # (service, route) -> estimate
        self.last_draws: dict[str, float] = {}  # route -> its last draw of a service, from 0 to 1
        self.attempts: dict[Request, RequestAttempts] = {}  # of the admitted requests in progress

    def set_table(self, table: RouteTable) -> None:
        """Use this table for requests that arrive from now on."""
        self.table = table
        self.has_table.set()

    def limit_of(self, tenant: str) -> Limit | None:
        """Return a tenant's limit by the table in force; None if the tenant is not in it."""
        configured = self.table.tenants.get(tenant) if self.table is not None else None
        return Limit(configured.rate_per_s, configured.burst) if configured is not None else None

    async def serve(self, request: Request) -> Response:
        """Return the final response to a request.

        Its task is cancelled when the client disconnects or the process terminates.
        """
        if self.drain.plan is not None:
            self.metrics.drained.add("taken")
        try:
            response = await self._respond(request)
        except RejectionError as rejection:
            response = rejection.response()
        except asyncio.CancelledError:
            if request.disconnected_at is not None:
                response = client_disconnected().response()
            elif self.drain.is_rejecting:
                response = shutting_down().response()
            else:
                raise
        if self.drain.plan is not None:
            is_rejected = response.status in NOT_EXECUTED_STATUSES
            self.metrics.drained.add("promised" if is_rejected else "finished")
        if request.disconnected_at is not None:
            self.metrics.work_after_departure.observe(self.loop.time() - request.disconnected_at)
        return response

    async def _respond(self, request: Request) -> Response:
        table = await self._table()
        attempt_id = request.headers_by_name.get(b"x-irisdeal-attempt-id", b"")
        if not attempt_id or not request.target.startswith(b"/"):
            raise RejectionError(400, "wanted an X-Irisdeal-Attempt-Id and a path")
        route, tenant = self._route(request, table)
        timeout_s = _client_timeout_s(request)
        deadline = request.received_at + min(timeout_s, route.timeout_s, MAX_TIMEOUT_S)
        service = self._pick_service(route)
        latency = self.latencies.setdefault((service, route.name), LatencyEstimate())
        plan = self.drain.plan
        if plan is not None and not plan.may_accept(self.loop.time(), deadline, latency.slowest_s):
            raise shutting_down()
        if not tenant:
            return await self._attempt(
                AdmittedRequest(
                    request, attempt_id, route, service, "", route.priority, deadline, latency, None
                )
            )
        permit = self._admit_or_shed(table, tenant, self._is_late(route, timeout_s))
        rank = table.tenants[tenant].priority * TENANT_RANK_FACTOR + route.priority
        admitted = AdmittedRequest(
            request, attempt_id, route, service, tenant, rank, deadline, latency, permit
        )
        return await self._attempt_within_limit(admitted, permit)

    async def _table(self) -> RouteTable:
        """Return the table in force; raise RejectionError if there is none within `FIRST_TABLE_WAIT_S`."""
        if self.table is None:
            try:
                async with asyncio.timeout(FIRST_TABLE_WAIT_S):
                    await self.has_table.wait()
            except TimeoutError:
                raise RejectionError(503, "no configuration yet", NO_TABLE_RETRY_S) from None
        assert self.table is not None
        return self.table

    # Lookups in the configuration

    @staticmethod
    def _route(request: Request, table: RouteTable) -> tuple[Route, str]:
        """Return a request's route and tenant name; raise RejectionError if the configuration does not allow it."""
        path = request.target.partition(b"?")[0]
        host_header = request.headers_by_name.get(b"host", b"")
        host = host_header.rpartition(b":")[0] or host_header
        route = table.find(host.lower(), path)
        if route is None:
            raise RejectionError(404, "no route")
        if not table.has_tenants:
            return route, ""
        kind, _, key = request.headers_by_name.get(b"authorization", b"").partition(b" ")
        tenant = table.keys.get(key.strip()) if kind.lower() == b"bearer" else None
        if tenant is not None:
            return route, tenant.name
        if route.is_public:
            return route, ""
        raise RejectionError(401, "no such key")

    def _pick_service(self, route: Route) -> str:
        """Return a service by weight; draws are spread evenly, so that any 100 in a row match the weights."""
        draw = self.last_draws.get(route.name)
        draw = self.rng.random() if draw is None else (draw + GOLDEN_RATIO_FRACTION) % 1.0
        self.last_draws[route.name] = draw
        return route.pick_service(draw)

    # Admission

    def _is_late(self, route: Route, timeout_s: float) -> bool:
        """Return whether the request is a client's retry that arrived after its latency target.

        Clients reduce the time-out of a retry by the time that has passed, so it is compared with the route's
        longest.
        """
        longest_s = max(timeout_s, TIMEOUT_DECAY_RATIO * self.longest_timeouts.get(route.name, 0.0))
        self.longest_timeouts[route.name] = longest_s
        return longest_s - timeout_s > route.latency_target_s

    def _admit_or_shed(self, table: RouteTable, name: str, is_late: bool) -> RequestPermit:
        """Count the request; raise RejectionError if it is shed, with a probability by the excess over the rate."""
        tenant = table.tenants[name]
        permit = self.admission.admit_or_shed(name, Limit(tenant.rate_per_s, tenant.burst), is_late)
        if permit is None:
            raise over_quota(self.admission.throttles[name].is_over_rate(), has_total=True)
        return permit

    async def _attempt_within_limit(self, admitted: AdmittedRequest, permit: RequestPermit) -> Response:
        """Attempt it within its tenant's concurrency limit; its slot there and its unused permit are released."""
        admitted.request.phase = Phase.TENANT_QUEUE
        queue_until = self.loop.time() + MAX_QUEUE_SHARE * admitted.route.latency_target_s
        acquire_by = min(queue_until, admitted.deadline - MIN_ATTEMPT_S)
        try:
            await self.admission.acquire_slot(admitted.tenant, admitted.rank, acquire_by)
            try:
                return await self._attempt(admitted)
            finally:
                self.admission.release_slot(admitted.tenant)
        finally:
            self.admission.recycle_permit(permit)

    async def _attempt(self, admitted: AdmittedRequest) -> Response:
        attempts = self.attempts[admitted.request] = RequestAttempts(self.services, admitted)
        try:
            return await attempts.run()
        finally:
            del self.attempts[admitted.request]


def _client_timeout_s(request: Request) -> float:
    """Return the client's time-out in s; raise RejectionError if the header is not a number."""
    try:
        return float(request.headers_by_name.get(b"x-irisdeal-deadline-ms", DEFAULT_DEADLINE_MS)) / 1000
    except ValueError:
        raise RejectionError(400, "X-Irisdeal-Deadline-Ms: wanted a number of ms") from None
