"""A request's way from its last byte to its final response: route, tenant, service, admission, attempts.

A request runs by the route table that was in force when it came. Its work is one task, which is cancelled as its
client disconnects: what it waits for, in whichever queue, ends with it.
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
from irisdeal.proxy.request_attempts import MIN_ATTEMPT_S, QUEUE_SHARE, RequestAttempts
from irisdeal.proxy.route_table import Route, RouteTable
from irisdeal.proxy.tenant_admission import RequestPermit, TenantAdmission

MAX_TIMEOUT_S = 60.0  # where a client states no deadline
DEFAULT_DEADLINE_MS = b"60000"
FIRST_TABLE_WAIT_S = 0.3  # that a request at a proxy which has just started waits for the first configuration
NO_TABLE_RETRY_S = 0.1  # after which a client comes back that found no configuration
TIMEOUT_DECAY = (
    0.999  # of the longest time-out of a route's clients, with each request that has a shorter one
)
RANKS = 1000  # a tenant's priority goes before its route's
GOLDEN_FRACTION = 0.6180339887498949  # of the golden ratio: the step of draws that are spread evenly
NOT_EXECUTED_STATUSES = (429, 503)  # statuses that say that a request was not executed


class RequestHandler:
    """The requests of one proxy."""

    def __init__(self, services: AttemptServices, admission: TenantAdmission, rng: random.Random) -> None:
        """`rng`: source of each route's first draw among its services."""
        self.services, self.admission, self.rng = services, admission, rng
        self.loop, self.metrics, self.drain = services.loop, services.metrics, services.drain
        self.table: RouteTable | None = None
        self.has_table = asyncio.Event()
        self.longest_timeouts: dict[str, float] = {}  # of the clients' requests of late, s, by route
        self.latencies: dict[tuple[str, str], LatencyEstimate] = {}  # by service and route
        self.draws: dict[str, float] = {}  # the last draw of each route among its services
        self.attempts: dict[Request, RequestAttempts] = {}  # of the requests that are at work

    def set_table(self, table: RouteTable) -> None:
        """Route the requests that come from now on by this table."""
        self.table = table
        self.has_table.set()

    def limit_of(self, tenant: str) -> Limit | None:
        """Return a tenant's limit by the table in force; None where it does not know the tenant."""
        known = self.table.tenants.get(tenant) if self.table is not None else None
        return Limit(known.rate_per_s, known.burst) if known is not None else None

    async def serve(self, request: Request) -> Response:
        """Return the final response to a request.

        Cancelled where its client disconnects, or where the process ends at once.
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
            elif self.drain.is_last_call:
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
        until = request.received_at + min(timeout_s, route.timeout_s, MAX_TIMEOUT_S)
        service = self._service(route)
        latency = self.latencies.setdefault((service, route.name), LatencyEstimate())
        plan = self.drain.plan
        if plan is not None and not plan.may_take(self.loop.time(), until, latency.slowest_s):
            raise shutting_down()
        if not tenant:
            return await self._attempt(
                AdmittedRequest(request, attempt_id, route, service, "", route.priority, until, latency, None)
            )
        permit = self._ask(table, tenant, self._is_late(route, timeout_s))
        rank = table.tenants[tenant].priority * RANKS + route.priority
        admitted = AdmittedRequest(request, attempt_id, route, service, tenant, rank, until, latency, permit)
        return await self._attempt_within_limit(admitted, permit)

    async def _table(self) -> RouteTable:
        """Return the table in force; raise RejectionError where there is none soon."""
        if self.table is None:
            try:
                async with asyncio.timeout(FIRST_TABLE_WAIT_S):
                    await self.has_table.wait()
            except TimeoutError:
                raise RejectionError(503, "no configuration yet", NO_TABLE_RETRY_S) from None
        assert self.table is not None
        return self.table

    # What the configuration says

    @staticmethod
    def _route(request: Request, table: RouteTable) -> tuple[Route, str]:
        """Return a request's route and tenant; raise RejectionError where the configuration does not allow it."""
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

    def _service(self, route: Route) -> str:
        """Return a service by weight: draws are spread evenly, so that any hundred in a row keep the weights."""
        draw = self.draws.get(route.name)
        draw = self.rng.random() if draw is None else (draw + GOLDEN_FRACTION) % 1.0
        self.draws[route.name] = draw
        return route.service(draw)

    # Admission

    def _is_late(self, route: Route, timeout_s: float) -> bool:
        """Return whether a retry came after its latency target: its time-out is that much shorter than others'."""
        longest_s = max(timeout_s, TIMEOUT_DECAY * self.longest_timeouts.get(route.name, 0.0))
        self.longest_timeouts[route.name] = longest_s
        return longest_s - timeout_s > route.latency_target_s

    def _ask(self, table: RouteTable, name: str, is_late: bool) -> RequestPermit:
        """Count the request; raise RejectionError by chance for what is over the tenant's rate."""
        tenant = table.tenants[name]
        permit = self.admission.admit_or_shed(name, Limit(tenant.rate_per_s, tenant.burst), is_late)
        if permit is None:
            raise over_quota(self.admission.throttles[name].is_over_rate(), is_known=True)
        return permit

    async def _attempt_within_limit(self, admitted: AdmittedRequest, permit: RequestPermit) -> Response:
        """Attempt it within its tenant's concurrency limit, with its permit; both are given back in any case."""
        admitted.request.phase = Phase.TENANT_QUEUE
        queue_until = self.loop.time() + QUEUE_SHARE * admitted.route.latency_target_s
        enter_by = min(queue_until, admitted.until - MIN_ATTEMPT_S)
        try:
            await self.admission.enter(admitted.tenant, admitted.rank, enter_by)
            try:
                return await self._attempt(admitted)
            finally:
                self.admission.leave(admitted.tenant)
        finally:
            self.admission.end(permit)

    async def _attempt(self, admitted: AdmittedRequest) -> Response:
        attempts = self.attempts[admitted.request] = RequestAttempts(self.services, admitted)
        try:
            return await attempts.run()
        finally:
            del self.attempts[admitted.request]


def _client_timeout_s(request: Request) -> float:
    """Return the time that the client gives; raise RejectionError where it is no number."""
    try:
        return float(request.headers_by_name.get(b"x-irisdeal-deadline-ms", DEFAULT_DEADLINE_MS)) / 1000
    except ValueError:
        raise RejectionError(400, "X-Irisdeal-Deadline-Ms: wanted a number of ms") from None
