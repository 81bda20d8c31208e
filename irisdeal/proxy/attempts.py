"""A request's attempts at backends, and what is answered in the end.

One scope owns them: `RequestAttempts.run` ends with the first answer, with the deadline, or cancelled as the client
leaves, and whatever of its attempts is at work by then ends with it. The one thing that goes on is an attempt of a
request that may run once, from the moment at which a byte of it may have been sent: it is waited for to its end,
and its answer is given, if there is anybody to read it.

What keeps TWICE and REFUSED: an attempt is repeated only after `UNSENT` or `PROMISE`, or `LOST` where the route is
idempotent; 429 and 503 are answered only where no attempt may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from irisdeal.http1.messages import Answer, Request
from irisdeal.http1.phase import Phase
from irisdeal.load_balancing.backend_choice import BackendChoice, LatencyEstimate
from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.proxy import backend_message
from irisdeal.proxy.admission import RequestPermit
from irisdeal.proxy.attempt_placement import LEAST_HOLD_S, AttemptNeeds, AttemptPlacer, Placed
from irisdeal.proxy.backend_message import MARGIN_S, BackendRequest
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.drain_plan import DrainPlan
from irisdeal.proxy.metrics import ProxyMetrics
from irisdeal.proxy.outcome import AttemptOutcome, End
from irisdeal.proxy.refusal import Refused, leaving
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.table import Route
from irisdeal.registry.messages import ReservationEnd
from irisdeal.runtime.events import Event, check_invariant, log_event
from irisdeal.runtime.process import Tasks

LEAST_LEFT_S = 0.010  # of a request's time under which no attempt is begun
PATIENCE, LEAST_PATIENCE_S = 3.0, 0.1  # times the usual, s: then a second backend is asked as well
HOLD_SHARE = (
    0.22  # of the aim that a request waits past the bound; refused later, it would be dear and useless
)
MOST_UNSENT = 4  # backends that could not be reached, then the request is given up
AGAIN_S = 0.1  # after which a client whose request has not run may come back


@dataclass(slots=True)
class AdmittedRequest:
    """A request that may run. `until`: s on the loop's clock, when it has a final answer."""

    request: Request
    attempt_id: bytes
    route: Route
    service: str
    tenant: str
    rank: int  # least first
    until: float
    usual: LatencyEstimate
    permit: RequestPermit | None


@dataclass(frozen=True, slots=True)
class AttemptServices:
    """What all requests of a proxy share."""

    loop: asyncio.AbstractEventLoop
    tasks: Tasks
    pool: ConnectionPool
    choice: BackendChoice
    placer: AttemptPlacer
    registries: RegistryClient
    metrics: ProxyMetrics
    on_ended: Callable[[str], None]  # hears of a life at whose address another stands
    drain: Callable[[], DrainPlan | None]  # of the process, once it was told to end


class Attempt:
    """One attempt at one backend, in a task of its own."""

    def __init__(
        self,
        services: AttemptServices,
        admitted: AdmittedRequest,
        placed: Placed,
        on_ended: Callable[[Attempt], None],
    ) -> None:
        """`on_ended`: hears of its end, however it comes."""
        self.services, self.admitted, self.placed, self.on_ended = services, admitted, placed, on_ended
        self.begun = services.loop.time()
        permit, request = admitted.permit, admitted.request
        self.sent = BackendRequest(
            backend_message.encode(request, placed.backend, admitted.tenant, admitted.until - self.begun),
            admitted.attempt_id,
            request.is_head,
            admitted.route.mutating,
            admitted.until - MARGIN_S,
            permit.use() if permit is not None else float("inf"),
        )
        services.choice.record_start(placed.backend, self.begun)
        self.task = services.tasks.start(services.pool.send(placed.backend, self.sent))
        self.task.add_done_callback(self._ended)

    @property
    def must_go_on(self) -> bool:
        """Whether it may have begun what runs only once."""
        return self.admitted.route.mutating and self.sent.is_sent and not self.task.done()

    def abandon(self, reason: str) -> None:
        """Nobody waits for it any more."""
        if not self.task.done():
            self.services.metrics.abandoned.add(reason)
            self.task.cancel()

    def _ended(self, task: asyncio.Task[AttemptOutcome]) -> None:
        """Give back what it had, and learn from it."""
        services, backend, usual = self.services, self.placed.backend, self.admitted.usual
        now, how, outcome = services.loop.time(), AttemptResult.ABANDONED, None
        if not task.cancelled():
            outcome = (
                task.result() if task.exception() is None else AttemptOutcome(End.LOST, "a fault of our own")
            )
            how = reported_as(outcome)
        ratio = (now - self.begun) / max(0.001, usual.typical_latency_s)
        services.choice.record_end(backend, self.begun)
        if self.placed.number:
            end = ReservationEnd(self.placed.number, int(how), round(ratio, 2))
            services.registries.end_place(self.placed.source, end)
        if self.admitted.permit is not None and self._has_not_run(outcome):
            self.admitted.permit.give_back(self.sent.send_by)
        self._learn(how, outcome, ratio, now)
        self.on_ended(self)

    def _has_not_run(self, outcome: AttemptOutcome | None) -> bool:
        return not self.sent.is_sent if outcome is None else outcome.end in (End.UNSENT, End.PROMISE)

    def _learn(self, how: AttemptResult, outcome: AttemptOutcome | None, ratio: float, now: float) -> None:
        choice, backend, usual = self.services.choice, self.placed.backend, self.admitted.usual
        match how:
            case AttemptResult.SUCCESS:
                choice.record_response(backend, usual, now - self.begun, self.placed.crowd, now)
            case AttemptResult.REJECTED:
                choice.record_rejection(backend, now, usual.typical_latency_s)
            case AttemptResult.WRONG_INCARNATION:
                self.services.on_ended(backend.id)
            case AttemptResult.ABANDONED if self.sent.is_sent:
                choice.record_abandoned(backend, self.begun, ratio / self.placed.crowd, now)
            case AttemptResult.FAILED:
                rest = choice.record_failure(backend, now)
                why = outcome.why if outcome is not None else ""
                log_event(
                    Event.BACKEND_EJECTED, backend=backend.id, service=backend.service, why=why, seconds=rest
                )


def reported_as(outcome: AttemptOutcome) -> AttemptResult:
    """An attempt's end as the registry is told it."""
    match outcome.end:
        case End.ANSWER:
            return AttemptResult.SERVER_ERROR if outcome.status >= 500 else AttemptResult.SUCCESS
        case End.PROMISE:
            return AttemptResult.WRONG_INCARNATION if outcome.misdirected else AttemptResult.REJECTED
        case End.LOST if outcome.late:
            return (
                AttemptResult.UNKNOWN
            )  # its time was over, perhaps before its turn came; a dark one shows by its silence
    return AttemptResult.FAILED


class RequestAttempts:
    """The attempts of one request."""

    def __init__(self, services: AttemptServices, admitted: AdmittedRequest) -> None:
        self.services, self.admitted = services, admitted
        self.loop = services.loop
        self.running: list[Attempt] = []
        self.ended: list[Attempt] = []  # of these, those whose ends were not taken yet
        self.waiter: asyncio.Future[None] | None = None  # of us, while we wait for an end
        self.tried: set[str] = set()
        self.unsent = self.sent = 0  # attempts that ended
        self.may_have_run = self.is_promised = False
        self.last = AttemptOutcome(End.UNSENT, "no backend")
        self.failure: AttemptOutcome | None = (
            None  # a backend's own 5xx, the answer where there is no better one
        )

    async def run(self) -> Answer:
        """The final answer. Refused where there is none of a backend; cancelled where the client has left and
        nothing has begun that runs only once."""
        try:
            return await self._run()
        except asyncio.CancelledError:
            if not self._is_given_up():
                raise
            return await self._rest()
        finally:
            for attempt in self.running:
                attempt.abandon("client left" if self._has_left() else "answered by another")

    def promise(self) -> bool:
        """The process ends: whether the request is promised not to run, as nothing of it was sent."""
        if self.may_have_run or self.failure is not None or any(one.sent.is_sent for one in self.running):
            return False
        self.is_promised = True
        return True

    def _has_left(self) -> bool:
        return self.admitted.request.departed_at is not None

    def _is_given_up(self) -> bool:
        """Whether our own task was cancelled for a reason that we know: else the process ends at once."""
        return self._has_left() or self.is_promised

    async def _run(self) -> Answer:
        while True:
            if self._wants_another():
                await self._begin_another()
            if not self.running:
                return self._final()
            if (answer := await self._next_answer()) is not None:
                return answer

    async def _rest(self) -> Answer:
        """What is at work that may run once goes to its end; all else is over."""
        going = [attempt for attempt in self.running if attempt.must_go_on]
        for attempt in self.running:
            if attempt not in going:
                self.may_have_run |= attempt.sent.is_sent
                attempt.abandon("client left" if self._has_left() else "process ends")
        self.running = going
        while self.running:
            if (answer := await self._next_answer()) is not None:
                return answer
        return self._final()

    # Steps

    def _wants_another(self) -> bool:
        """Whether a further attempt may begin now."""
        route, now, until = self.admitted.route, self.loop.time(), self.admitted.until
        if self._is_given_up() or (route.mutating and self.may_have_run):
            return False
        if self.sent + len(self.running) >= route.max_tries or self.unsent >= MOST_UNSENT:
            return False
        if until - now <= LEAST_LEFT_S or len(self.running) >= (1 if route.mutating else 2):
            return False
        return self._can_finish()

    def _can_finish(self) -> bool:
        """Whether an attempt that begins now is over before the process ends."""
        drain = self.services.drain()
        if drain is None:
            return True
        return drain.may_begin(self.loop.time(), self.admitted.until, self.admitted.usual.slowest_s)

    async def _begin_another(self) -> None:
        admitted, request = self.admitted, self.admitted.request
        if not self.running:
            request.phase = Phase.PLACEMENT
        placed = await self.services.placer.place(self._needs())
        if placed is None:
            return
        if not self._can_finish():  # we were told to end meanwhile
            self.services.placer.give_back(placed)
            return
        self.tried.add(placed.backend.id)
        self.running.append(Attempt(self.services, admitted, placed, self._on_ended))
        request.phase = Phase.BACKEND

    def _needs(self) -> AttemptNeeds:
        admitted, now = self.admitted, self.loop.time()
        # a second one beside a slow one goes only where it begins at once: else it would slow all
        hold = 0.0
        if not self.running:
            patient_until = admitted.request.arrived_at + HOLD_SHARE * admitted.route.target
            hold = max(
                LEAST_HOLD_S, min(patient_until, admitted.until - admitted.usual.typical_latency_s) - now
            )
        return AttemptNeeds(
            admitted.service,
            self.tried,
            admitted.usual,
            admitted.rank,
            hold,
            admitted.until,
            admitted.permit,
            admitted.route.mutating,
            is_repeat=self.sent + len(self.running) > 0,
        )

    async def _next_answer(self) -> Answer | None:
        """Wait until an attempt ends, or a second one is due; the answer, where there is one that counts."""
        if not self.ended:
            await self._wait(self._patience())
        ended, self.ended = self.ended, []
        for attempt in ended:
            if attempt not in self.running:  # given up before
                continue
            self.running.remove(attempt)
            if attempt.task.cancelled():
                self.may_have_run |= attempt.sent.is_sent
            elif (answer := self._take(attempt.task.result())) is not None:
                return answer
        return None

    async def _wait(self, patience_s: float | None) -> None:
        """Until an attempt ends, or for so many s."""
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(patience_s, self._wake) if patience_s is not None else None
        try:
            await self.waiter
        finally:
            if timer is not None:
                timer.cancel()

    def _on_ended(self, attempt: Attempt) -> None:
        self.ended.append(attempt)
        self._wake()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _patience(self) -> float | None:
        """s after which a second attempt is begun beside the only one; None where none is."""
        route = self.admitted.route
        if route.mutating or len(self.running) != 1 or self.sent + 1 >= route.max_tries:
            return None
        return max(LEAST_PATIENCE_S, PATIENCE * self.admitted.usual.typical_latency_s)

    def _take(self, outcome: AttemptOutcome) -> Answer | None:
        """One attempt has ended."""
        self.last = outcome
        match outcome.end:
            case End.ANSWER if self.admitted.route.mutating or outcome.status < 500:
                return Answer(outcome.status, outcome.body, outcome.headers)
            case End.ANSWER:
                self.failure, self.may_have_run = outcome, True
                self.sent += 1
            case End.UNSENT:
                self.unsent += 1
            case _:
                self.sent += 1
                self.may_have_run |= outcome.end is End.LOST
        return None

    def _final(self) -> Answer:
        """No attempt is at work, and none follows."""
        if self.failure is not None:
            return Answer(self.failure.status, self.failure.body, self.failure.headers)
        if self.may_have_run:
            status = 504 if self.loop.time() >= self.admitted.until - 2 * MARGIN_S else 502
            raise Refused(status, self.last.why or "given up")
        holds = self.last.end in (End.UNSENT, End.PROMISE)
        check_invariant(holds, "only what has not run is promised", route=self.admitted.route.name)
        if self.services.drain() is not None:
            raise leaving()
        raise Refused(503, self.last.why, AGAIN_S)
