"""The proxy's process: a request's way from its last byte to its attempts, and the process's own end.

A request runs by the table that was in force when it came, on a backend of one of its route's services. Its life is
one task, which is cancelled as its client leaves: what it waits for, in whichever queue, ends with it.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.http1.messages import Answer, Request
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.phase import Phase
from irisdeal.http1.server import HttpServer, Unanswered
from irisdeal.load_balancing.backend_choice import Backend, BackendChoice, LatencyEstimate
from irisdeal.permits.allowance import Limit
from irisdeal.placement.load_reports import short_key
from irisdeal.proxy.admission import RequestPermit, TenantAdmission
from irisdeal.proxy.attempt_placement import AttemptPlacer
from irisdeal.proxy.attempts import (
    HOLD_SHARE,
    LEAST_LEFT_S,
    AdmittedRequest,
    AttemptServices,
    RequestAttempts,
)
from irisdeal.proxy.config_apply import ConfigApply
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.drain_plan import DrainPlan
from irisdeal.proxy.metrics import ProxyMetrics
from irisdeal.proxy.refusal import Refused, client_left, leaving, over_quota
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.sources import Sources
from irisdeal.proxy.table import Route, Table
from irisdeal.ratelimit.retry_budget import PROXY_SLACK_SHARE, RetryBudgets
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.early_listen import Listening
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings, parse_address

MOST_WAIT = 60.0  # s, where a client tells no deadline
FIRST_WAIT = 0.3  # s that a request at a door which has just started waits for the first configuration
FORGET = 0.999  # of the most time that a client gave, with each request that has less
RANKS = 1000  # a tenant's priority goes before its route's
BODY_LIMIT = 200  # descriptors that are not for sockets
GOLDEN = 0.6180339887498949  # the step of draws that are spread evenly: the golden ratio's fraction
PROMISES = (429, 503)  # statuses that say that a request has not run


class Proxy:
    """The proxy's process."""

    def __init__(self, settings: Settings, listening: Listening | None = None) -> None:
        """`listening`: sockets at which this process listens already, by their name in `bind`."""
        self.settings, self.listening = settings, listening or {}
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random()
        self.table: Table | None = None
        self.has_table = asyncio.Event()
        self.tasks = Tasks()
        self.config_apply = ConfigApply(self._in_force, self.tasks)
        self.sources = Sources(settings, self._on_version, self._on_incarnation)
        self.choice = BackendChoice(self.chance)
        self.backends: dict[str, Backend] = {}
        self.services: dict[str, dict[str, Backend]] = {}
        self.given: dict[str, float] = {}  # the most time that a client gave of late, by route
        self.usual: dict[tuple[str, str], LatencyEstimate] = {}
        self.registries = RegistryClient(settings, self.sources)
        self.admission = TenantAdmission(self.registries, self.loop, self.chance, self._slots)
        self.gate = self.admission.gate
        slack = PROXY_SLACK_SHARE * settings.bound("retry_slack", 50.0)
        self.repeats = RetryBudgets(
            settings.bound("retry_ratio", 0.2),
            settings.bound("retry_window_s", 10.0),
            slack,
            self.loop.time(),
        )
        self.pool = ConnectionPool(self.loop, max(64, settings.limits.max_fds - BODY_LIMIT) // 2)
        self.placer = AttemptPlacer(
            settings.zone,
            self.services,
            self.pool,
            self.choice,
            self.registries,
            self.admission,
            self.repeats,
        )
        self.front = HttpServer(self.serve, self.loop, ends_at_eof=True)
        self.readiness = HttpServer(self._ready, self.loop)
        self.metrics = ProxyMetrics()
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)
        self.front.on_departed = lambda request: self.metrics.departures.add(request.phase.value)
        self.drain: DrainPlan | None = None  # once the process was told to end
        self.is_last_call = False
        self.draws: dict[str, float] = {}  # the last draw of each route among its services
        self.attempts: dict[Request, RequestAttempts] = {}  # of the requests that are at work
        self.attempt_services = AttemptServices(
            self.loop,
            self.tasks,
            self.pool,
            self.choice,
            self.placer,
            self.registries,
            self.metrics,
            self.sources.end,
            lambda: self.drain,
        )

    # What a process does

    async def start(self) -> None:
        self.sources.start()
        self.tasks.start(self.admission.report_intervals())
        await self.front.listen(parse_address(self.settings.bind.front), sock=self.listening.get("front"))
        await self.readiness.listen(
            parse_address(self.settings.bind.readiness), sock=self.listening.get("readiness")
        )
        await self.metrics_server.start()

    async def stop(self) -> None:
        """Not ready at once; finish or promise all that is taken; end when the last bytes are out."""
        self.drain = plan = DrainPlan(self.loop.time(), self.settings.bound("grace_s", 6.0))
        self.loop.call_at(plan.last_call_at, self._last_call)
        unanswered = await self.front.drain(plan.quiet_until, plan.ends_at)
        self._tell_unanswered(unanswered)
        self.sources.stop()
        self.tasks.cancel()
        self.readiness.close()
        self.metrics_server.close()

    def _last_call(self) -> None:
        """The process is about to end: what has not run is promised."""
        self.is_last_call = True
        for task, request in list(self.front.serving.items()):
            attempts = self.attempts.get(request)
            if attempts is None or attempts.promise():
                task.cancel()

    def _tell_unanswered(self, unanswered: Unanswered) -> None:
        """What has no answer, or not all of it, as the process ends."""
        requests, unsent = unanswered.requests, unanswered.unsent_bytes
        for request in requests:
            self.metrics.cut.add(request.phase.value)
        self.metrics.unsent.add(amount=unsent)
        told = self.metrics.drained.values
        log_event(
            Event.DRAIN_SUMMARY,
            **{outcome: int(told.get(outcome, 0)) for outcome in ("taken", "finished", "promised")},
        )
        if requests or unsent:
            phases = Counter(request.phase.value for request in requests)
            log_event(Event.RESPONSES_UNFINISHED, requests=len(requests), unsent_bytes=unsent, **phases)

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        self.sources.reload(settings)

    async def _ready(self, request: Request) -> Answer:
        able = self.table is not None and self.admission.has_reported and self.drain is None
        return Answer(200 if able else 503, b"ready\n" if able else b"not ready\n")

    # News

    def _on_version(self, version: ConfigVersion) -> None:
        self.config_apply.take(version)

    def _in_force(self, table: Table) -> None:
        """Requests that come from now on run by this table."""
        self.table = table
        self.has_table.set()
        self.admission.configure(self._limit_of)
        client_limits, limits = self.front.limits, table.limits
        client_limits.max_head_bytes = limits.max_header_bytes
        client_limits.max_body_bytes = limits.max_body_bytes
        client_limits.head_timeout_s = limits.header_timeout_ms / 1000
        client_limits.idle_timeout_s = limits.idle_timeout_ms / 1000
        log_event(Event.CONFIGURATION_APPLIED, generation=table.generation)

    def _on_incarnation(self, incarnation: BackendIncarnation, silent: bool) -> None:
        backend = self.backends.get(incarnation.id)
        if incarnation.state is BackendState.GONE:
            if backend is not None:
                backend.is_draining = True
                del self.backends[incarnation.id]
                self.services[incarnation.service].pop(incarnation.id, None)
                self.pool.retire(incarnation.id)
            return
        if backend is None:
            near = (
                0
                if incarnation.zone == self.settings.zone
                else (1 if self.settings.zones.get(incarnation.zone) == self.settings.region else 2)
            )
            backend = Backend(
                incarnation.id,
                incarnation.service,
                parse_address(incarnation.address),
                incarnation.zone,
                near,
                max(1, incarnation.capacity),
                incarnation.warm_at,
                key=short_key(incarnation.id),
            )
            self.backends[incarnation.id] = backend
            self.services.setdefault(incarnation.service, {})[incarnation.id] = backend
            # the starting bound, until there is a total: a door that starts is not idle
            if not self.admission.has_reported:
                self.gate.slots = self._slots()
        backend.warm_at = incarnation.warm_at
        backend.is_unresponsive = silent
        backend.is_draining = backend.is_draining or incarnation.state is BackendState.DRAINING
        if backend.is_draining:
            self.pool.retire(incarnation.id)

    def _limit_of(self, tenant: str) -> Limit | None:
        known = self.table.tenants.get(tenant) if self.table is not None else None
        return Limit(known.rate_per_s, known.burst) if known is not None else None

    def _slots(self) -> int:
        """Requests that all backends work on at once."""
        return sum(b.capacity for b in self.backends.values() if not (b.is_draining or b.is_unresponsive))

    # A request

    async def serve(self, request: Request) -> Answer:
        """The final answer to a request. Cancelled where its client leaves, or where the process ends at once."""
        if self.drain is not None:
            self.metrics.drained.add("taken")
        try:
            answer = await self._carry(request)
        except Refused as refused:
            answer = refused.answer()
        except asyncio.CancelledError:
            if request.departed_at is not None:
                answer = client_left().answer()
            elif self.is_last_call:
                answer = leaving().answer()
            else:
                raise
        if self.drain is not None:
            self.metrics.drained.add("promised" if answer.status in PROMISES else "finished")
        if request.departed_at is not None:
            self.metrics.work_after_departure.observe(self.loop.time() - request.departed_at)
        return answer

    def _admitted(self, request: Request, table: Table) -> tuple[Route, str]:
        """Its route and tenant; Refused where the operator's word does not allow it."""
        path = request.target.partition(b"?")[0]
        host = request.headers_by_name.get(b"host", b"").rpartition(b":")[0] or request.headers_by_name.get(
            b"host", b""
        )
        route = table.find(host.lower(), path)
        if route is None:
            raise Refused(404, "no route")
        if not table.has_tenants:
            return route, ""
        kind, _, key = request.headers_by_name.get(b"authorization", b"").partition(b" ")
        tenant = table.keys.get(key.strip()) if kind.lower() == b"bearer" else None
        if tenant is None:
            if route.public:
                return route, ""
            raise Refused(401, "no such key")
        return route, tenant.name

    def _is_late(self, route: Route, given: float) -> bool:
        """Whether a request came back so late that its aim is past: its client has less time left than others."""
        most = self.given[route.name] = max(given, FORGET * self.given.get(route.name, 0.0))
        return most - given > route.target

    def _ask(self, table: Table, name: str, is_late: bool) -> RequestPermit:
        """Count the ask, and refuse by chance what is over the tenant's room."""
        tenant = table.tenants[name]
        permit = self.admission.ask(name, Limit(tenant.rate_per_s, tenant.burst), is_late)
        if permit is None:
            raise over_quota(self.admission.companions[name].is_over_rate(), is_known=True)
        return permit

    async def _table(self) -> Table:
        """The configuration in force; Refused where none is known soon."""
        if self.table is None:
            try:
                async with asyncio.timeout(FIRST_WAIT):
                    await self.has_table.wait()
            except TimeoutError:
                raise Refused(503, "no configuration yet", 0.1) from None
        assert self.table is not None
        return self.table

    def _service(self, route: Route) -> str:
        """A service of the route by its weights: evenly spread draws, so that any hundred in a row hold them."""
        draw = self.draws.get(route.name)
        draw = self.chance.random() if draw is None else (draw + GOLDEN) % 1.0
        self.draws[route.name] = draw
        return route.service(draw)

    async def _carry(self, request: Request) -> Answer:
        table = await self._table()
        id_ = request.headers_by_name.get(b"x-irisdeal-attempt-id", b"")
        if not id_ or not request.target.startswith(b"/"):
            raise Refused(400, "wanted an X-Irisdeal-Attempt-Id and a path")
        route, tenant = self._admitted(request, table)
        try:
            given = float(request.headers_by_name.get(b"x-irisdeal-deadline-ms", b"60000")) / 1000
        except ValueError:
            raise Refused(400, "X-Irisdeal-Deadline-Ms: wanted a number of ms") from None
        until = request.arrived_at + min(given, route.timeout, MOST_WAIT)
        service = self._service(route)
        usual = self.usual.setdefault((service, route.name), LatencyEstimate())
        if self.drain is not None and not self.drain.may_take(self.loop.time(), until, usual.slowest_s):
            raise leaving()
        if not tenant:
            admitted = AdmittedRequest(request, id_, route, service, "", route.priority, until, usual, None)
            return await self._attempts(admitted)
        permit = self._ask(table, tenant, self._is_late(route, given))
        rank = table.tenants[tenant].priority * RANKS + route.priority
        admitted = AdmittedRequest(request, id_, route, service, tenant, rank, until, usual, permit)
        return await self._within_bound(admitted, permit)

    async def _within_bound(self, admitted: AdmittedRequest, permit: RequestPermit) -> Answer:
        """Within the bound of its tenant, with its permit; both are given back whatever becomes of it."""
        admitted.request.phase = Phase.TENANT_QUEUE
        patient_until = self.loop.time() + HOLD_SHARE * admitted.route.target
        try:
            await self.admission.enter(
                admitted.tenant, admitted.rank, min(patient_until, admitted.until - LEAST_LEFT_S)
            )
            try:
                return await self._attempts(admitted)
            finally:
                self.admission.leave(admitted.tenant)
        finally:
            self.admission.end(permit)

    async def _attempts(self, admitted: AdmittedRequest) -> Answer:
        attempts = self.attempts[admitted.request] = RequestAttempts(self.attempt_services, admitted)
        try:
            return await attempts.run()
        finally:
            del self.attempts[admitted.request]
