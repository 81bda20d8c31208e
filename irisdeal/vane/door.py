"""One door: a request's way from its last byte to its answer.

What keeps the rules here: an attempt is repeated only after `UNSENT` or `PROMISE`, or `LOST` where the route is
idempotent; 429 and 503 are answered only where no attempt may have run; a request runs by the table that was in
force when it came, on a life of one of its route's services, named to the backend.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from irisdeal.almanac.word import Word
from irisdeal.gauge.messages import PlaceEnd
from irisdeal.gauge.registry import Life, State
from irisdeal.http1.framing import HOP, aliased
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.phase import Phase
from irisdeal.http1.server import Answer, HttpServer, Request
from irisdeal.placement.attempt_end import How
from irisdeal.placement.load_reports import key
from irisdeal.mast.early import Listening
from irisdeal.mast.events import invariant, tell
from irisdeal.mast.process import Tasks
from irisdeal.mast.settings import Settings, address
from irisdeal.permits.allowance import Limit
from irisdeal.ratelimit.retry_budget import PROXY_SLACK, RetryBudgets
from irisdeal.vane.admission import RequestPermit, TenantAdmission
from irisdeal.vane.applying import Applying
from irisdeal.vane.attempt_placement import LEAST_HOLD_S, AttemptNeeds, AttemptPlacer, Placed
from irisdeal.vane.backends import End, Outcome, Pool
from irisdeal.vane.metrics import ProxyMetrics
from irisdeal.vane.refusal import Refused, over_quota
from irisdeal.vane.registry_client import RegistryClient
from irisdeal.vane.sources import Sources
from irisdeal.vane.table import Route, Table
from irisdeal.load_balancing.backend_choice import Backend, Usual, Wind

OWN = frozenset((b"x-irisdeal-target-backend", b"x-irisdeal-tenant", b"x-irisdeal-deadline-ms", b"authorization"))
MOST_WAIT = 60.0  # s, where a client tells no deadline
MARGIN = 0.004  # s of a deadline that the answer's way back takes
FIRST_WAIT = 0.3  # s that a request at a door which has just started waits for the first configuration
LEAST_LEFT = 0.010  # s under which no attempt is begun
PATIENCE, LEAST_PATIENCE = 3.0, 0.1  # times the usual, s: then a second backend is asked as well
HOLD_SHARE = 0.22  # of the aim that a request waits past the bound; refused later, it would be dear and useless
FORGET = 0.999  # of the most time that a client gave, with each request that has less
RANKS = 1000  # a tenant's priority goes before its route's
MOST_UNSENT = 4  # backends that could not be reached, then the request is given up
LEAVE_QUIET = 3.5  # s that the platform may go on handing connections to a door that is told to end
BODY_LIMIT = 200  # descriptors that are not for sockets


def told_as(outcome: Outcome) -> How:
    """An attempt's end as the registry is told it."""
    match outcome.end:
        case End.ANSWER:
            return How.POOR if outcome.status >= 500 else How.GOOD
        case End.PROMISE:
            return How.ENDED if outcome.misdirected else How.FULL
        case End.LOST if outcome.late:
            return How.UNKNOWN  # its time was over, perhaps before its turn came; a dark one shows by its silence
    return How.FAILED


class Door:
    """The proxy's process."""

    def __init__(self, settings: Settings, listening: Listening | None = None) -> None:
        """`listening`: sockets at which this process listens already, by their name in `bind`."""
        self.settings, self.listening = settings, listening or {}
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random()
        self.table: Table | None = None
        self.has_table = asyncio.Event()
        self.tasks = Tasks()
        self.applying = Applying(self._in_force, self.tasks)
        self.sources = Sources(settings, self._on_word, self._on_life)
        self.wind = Wind(self.chance)
        self.backends: dict[str, Backend] = {}
        self.services: dict[str, dict[str, Backend]] = {}
        self.given: dict[str, float] = {}  # the most time that a client gave of late, by route
        self.usual: dict[tuple[str, str], Usual] = {}
        self.registries = RegistryClient(settings, self.sources)
        self.admission = TenantAdmission(self.registries, self.loop, self.chance, self._slots, self._go)
        self.gate = self.admission.gate
        slack = PROXY_SLACK * settings.bound("retry_slack", 50.0)
        self.repeats = RetryBudgets(
            settings.bound("retry_ratio", 0.2), settings.bound("retry_window_s", 10.0), slack, self.loop.time()
        )
        self.pool = Pool(self.loop, max(64, settings.limits.max_fds - BODY_LIMIT) // 2)
        self.placer = AttemptPlacer(
            settings.zone, self.services, self.pool, self.wind, self.registries, self.admission, self.repeats
        )
        self.front = HttpServer(self.serve, self.loop)
        self.readiness = HttpServer(self._ready, self.loop)
        self.metrics = ProxyMetrics()
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)
        self.front.on_departed = lambda request: self.metrics.departures.add(request.phase.value)
        self.leaving = False

    # What a process does

    async def start(self) -> None:
        self.sources.start()
        self.tasks.start(self.admission.report_intervals())
        await self.front.listen(address(self.settings.bind.front), sock=self.listening.get("front"))
        await self.readiness.listen(address(self.settings.bind.readiness), sock=self.listening.get("readiness"))
        await self.metrics_server.start()

    async def stop(self) -> None:
        """Not ready at once; answer on; end when the last answer is out, or just before the grace is over."""
        begun = self.loop.time()
        grace = self.settings.bound("grace_s", 6.0) - 0.4
        self.leaving = self.front.leaving = True
        while self.loop.time() - begun < grace:
            await asyncio.sleep(0.05)
            if self.loop.time() - begun > LEAVE_QUIET and self.front.at_work == 0:
                break
        self._tell_cut()
        self.sources.stop()
        self.tasks.cancel()
        self.front.close()
        self.readiness.close()
        self.metrics_server.close()

    def _tell_cut(self) -> None:
        """What has no answer, or not all of it, as the process ends."""
        owed, unsent = self.front.owed(), self.front.unsent_bytes()
        for request in owed:
            self.metrics.cut.add(request.phase.value)
        if unsent:
            self.metrics.unsent.add(amount=unsent)
        if owed or unsent:
            phases = Counter(request.phase.value for request in owed)
            tell(407, requests=len(owed), unsent_bytes=unsent, **phases)

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        self.sources.reload(settings)

    async def _ready(self, request: Request) -> Answer:
        able = self.table is not None and self.admission.has_reported and not self.leaving
        return Answer(200 if able else 503, b"ready\n" if able else b"not ready\n")

    # News

    def _on_word(self, word: Word) -> None:
        self.applying.take(word)

    def _in_force(self, table: Table) -> None:
        """Requests that come from now on run by this table."""
        self.table = table
        self.has_table.set()
        self.admission.configure(self._limit_of)
        bounds, limits = self.front.bounds, table.limits
        bounds.head, bounds.body = limits.max_header_bytes, limits.max_body_bytes
        bounds.head_time, bounds.idle_time = limits.header_timeout_ms / 1000, limits.idle_timeout_ms / 1000
        tell(400, generation=table.generation)

    def _on_life(self, life: Life, silent: bool) -> None:
        backend = self.backends.get(life.id)
        if life.state is State.GONE:
            if backend is not None:
                backend.draining = True
                del self.backends[life.id]
                self.services[life.service].pop(life.id, None)
                self.pool.retire(life.id)
            return
        if backend is None:
            near = (
                0
                if life.zone == self.settings.zone
                else (1 if self.settings.zones.get(life.zone) == self.settings.region else 2)
            )
            backend = Backend(
                life.id,
                life.service,
                address(life.address),
                life.zone,
                near,
                max(1, life.capacity),
                life.warm_at,
                key=key(life.id),
            )
            self.backends[life.id] = backend
            self.services.setdefault(life.service, {})[life.id] = backend
            # the starting bound, until there is a total: a door that starts is not idle
            if not self.admission.has_reported:
                self.gate.slots = self._slots()
        backend.warm_at = life.warm_at
        backend.silent = silent
        backend.draining = backend.draining or life.state is State.DRAINING
        if backend.draining:
            self.pool.retire(life.id)

    def _limit_of(self, tenant: str) -> Limit | None:
        known = self.table.tenants.get(tenant) if self.table is not None else None
        return Limit(known.rate_per_s, known.burst) if known is not None else None

    def _slots(self) -> int:
        """Requests that all backends work on at once."""
        return sum(b.capacity for b in self.backends.values() if not (b.draining or b.silent))

    # A request

    async def serve(self, request: Request) -> Answer:
        if self.leaving:
            self.metrics.drained.add("taken")
        try:
            answer = await self._carry(request)
        except Refused as refused:
            answer = refused.answer()
        if self.leaving:
            self.metrics.drained.add("promised" if answer.status in (429, 503) else "answered")
        if request.departed_at is not None:
            self.metrics.work_after_departure.observe(self.loop.time() - request.departed_at)
        return answer

    def _admitted(self, request: Request, table: Table) -> tuple[Route, str]:
        """Its route and tenant; Refused where the operator's word does not allow it."""
        path = request.target.partition(b"?")[0]
        host = request.named.get(b"host", b"").rpartition(b":")[0] or request.named.get(b"host", b"")
        route = table.find(host.lower(), path)
        if route is None:
            raise Refused(404, "no route")
        if not table.has_tenants:
            return route, ""
        kind, _, key = request.named.get(b"authorization", b"").partition(b" ")
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
            raise over_quota(self.admission.companions[name].is_flooded(), is_known=True)
        return permit

    async def _carry(self, request: Request) -> Answer:
        if self.table is None:
            try:
                async with asyncio.timeout(FIRST_WAIT):
                    await self.has_table.wait()
            except TimeoutError:
                raise Refused(503, "no configuration yet", 0.1) from None
        table = self.table
        assert table is not None
        id_ = request.named.get(b"x-irisdeal-attempt-id", b"")
        if not id_ or not request.target.startswith(b"/"):
            raise Refused(400, "wanted an X-Irisdeal-Attempt-Id and a path")
        route, tenant = self._admitted(request, table)
        try:
            given = float(request.named.get(b"x-irisdeal-deadline-ms", b"60000")) / 1000
        except ValueError:
            raise Refused(400, "X-Irisdeal-Deadline-Ms: wanted a number of ms") from None
        until = request.arrived + min(given, route.timeout, MOST_WAIT)
        if not tenant:
            return await self._attempts(request, route, tenant, id_, until, route.priority, None)
        permit = self._ask(table, tenant, self._is_late(route, given))
        rank = table.tenants[tenant].priority * RANKS + route.priority
        await self._enter(request, tenant, rank, route, until)
        try:
            return await self._attempts(request, route, tenant, id_, until, rank, permit)
        finally:
            for token in self.gate.leave(tenant, self.loop.time()):
                self._go(token)

    async def _enter(self, request: Request, tenant: str, rank: int, route: Route, until: float) -> None:
        """Wait for a place within the tenant's bound; Refused when time runs short."""
        now = self.loop.time()
        request.phase = Phase.TENANT_QUEUE
        token: asyncio.Future[None] = self.loop.create_future()
        entered = self.gate.enter(tenant, rank, token, now)
        if entered is None:
            raise Refused(503, "too many wait", 0.2)
        if entered:
            return
        try:
            async with asyncio.timeout_at(min(now + HOLD_SHARE * route.target, until - LEAST_LEFT)):
                await token
        except TimeoutError:
            if self.gate.give_up(tenant, token, self.loop.time()):
                raise Refused(503, "no room in time", 0.2) from None

    def _go(self, token: object) -> None:
        assert isinstance(token, asyncio.Future)
        if not token.done():
            token.set_result(None)

    async def _attempts(
        self,
        request: Request,
        route: Route,
        tenant: str,
        id_: bytes,
        until: float,
        rank: int,
        permit: RequestPermit | None,
    ) -> Answer:
        """Attempts one after the other, and beside a silent one of an idempotent route a second."""
        service = route.service(self.chance.random())
        usual = self.usual.setdefault((service, route.name), Usual())
        tried: set[str] = set()
        running: set[asyncio.Task[Outcome]] = set()
        unsent = sent = 0
        last, poor = Outcome(End.UNSENT, "no backend"), None
        may_have_run = False
        while True:
            now = self.loop.time()
            may_send = sent + len(running) < route.max_tries and unsent < MOST_UNSENT and until - now > LEAST_LEFT
            if request.left and not running:  # nobody waits any more
                break
            if may_send and len(running) < (1 if route.mutating else 2):
                # A second one beside a slow one goes only where it begins at once: else it would slow all.
                most = min(request.arrived + HOLD_SHARE * route.target, until - usual.time) - now
                is_again = sent + len(running) > 0
                hold = 0.0 if running else max(LEAST_HOLD_S, most)
                needs = AttemptNeeds(service, tried, usual, rank, hold, until, permit, route.mutating, is_again)
                if not running:
                    request.phase = Phase.PLACEMENT
                placed = await self.placer.place(needs)
                if placed is not None:
                    tried.add(placed.backend.id)
                    attempt = self._one(request, route, tenant, id_, until, placed, usual, permit)
                    running.add(self.tasks.start(attempt))
                    request.phase = Phase.BACKEND
            if not running:
                break
            may_double = not route.mutating and len(running) == 1 and sent + 1 < route.max_tries
            patience = max(LEAST_PATIENCE, PATIENCE * usual.time) if may_double else None
            done, running = await asyncio.wait(running, timeout=patience, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                last = task.result()
                if last.end is End.ANSWER:
                    if route.mutating or last.status < 500:
                        return Answer(last.status, last.body, last.headers)  # another one goes on by itself
                    poor, may_have_run = last, True
                    sent += 1
                elif last.end is End.UNSENT:
                    unsent += 1
                else:
                    sent += 1
                    may_have_run |= last.end is End.LOST
            if route.mutating and may_have_run:
                break
        if poor is not None:
            return Answer(poor.status, poor.body, poor.headers)
        return self._given_up(route, last, may_have_run, until)

    async def _one(
        self,
        request: Request,
        route: Route,
        tenant: str,
        id_: bytes,
        until: float,
        placed: Placed,
        usual: Usual,
        permit: RequestPermit | None,
    ) -> Outcome:
        """One attempt at one backend, and what is learnt from it."""
        begun, backend, how = self.loop.time(), placed.backend, How.UNKNOWN
        send_by = permit.use() if permit is not None else float("inf")
        message = self._message(request, backend, tenant, until - begun)
        self.wind.sent(backend, begun)
        try:
            outcome = await self.pool.send(
                backend, message, id_, request.bodiless, route.mutating, until - MARGIN, send_by
            )
            how = told_as(outcome)
            if permit is not None and outcome.end in (End.UNSENT, End.PROMISE):
                permit.give_back(send_by)
        finally:
            self.wind.ended(backend, begun)
            if placed.number:
                ratio = (self.loop.time() - begun) / max(0.001, usual.time)
                self.registries.end_place(placed.source, PlaceEnd(placed.number, int(how), round(ratio, 2)))
        now = self.loop.time()
        match how:
            case How.GOOD:
                self.wind.answered(backend, usual, now - begun, placed.crowd, now)
            case How.FULL:
                self.wind.full(backend, now, usual.time)
            case How.ENDED:
                self.sources.end(backend.id)
            case How.FAILED:
                rest = self.wind.failed(backend, now)
                tell(405, backend=backend.id, service=backend.service, why=outcome.why, seconds=rest)
        return outcome

    def _given_up(self, route: Route, last: Outcome, may_have_run: bool, until: float) -> Answer:
        if may_have_run:
            status = 504 if self.loop.time() >= until - 2 * MARGIN else 502
            raise Refused(status, last.why)
        invariant(last.end in (End.UNSENT, End.PROMISE), "only what has not run is promised", route=route.name)
        raise Refused(503, last.why, 0.1)

    def _message(self, request: Request, backend: Backend, tenant: str, left: float) -> bytes:
        """The request as the backend gets it."""
        dropped = HOP | OWN
        named = request.named.get(b"connection", b"").lower()
        hop = {part.strip() for part in named.split(b",")} if named else ()
        lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in request.headers:
            if aliased(name) not in dropped and name.lower() not in hop:
                lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(b"X-Irisdeal-Deadline-Ms: %d\r\n" % max(1, int((left - MARGIN) * 1000)))
        lines.append(b"X-Irisdeal-Target-Backend: %s\r\n" % backend.id.encode())
        if tenant:
            lines.append(b"X-Irisdeal-Tenant: %s\r\n" % tenant.encode())
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        return b"".join(lines) + request.body
