"""A request's attempts at backends: retries, a hedged request beside a slow one, and the final response.

One scope owns the attempts: `RequestAttempts.run` ends with the first response, with the deadline, or cancelled as
the client disconnects, and whatever attempts are at work by then end with it. The exception is an attempt of a
request that may be executed once only, from the moment at which a byte of it may have been sent: it is waited for
to its end, and its response is given, if there is anybody to read it.

Guarantees: a request that is not idempotent is never executed twice, and 429 and 503 promise that nothing was
executed (the users' rules TWICE and REFUSED). So an attempt is retried only after `NOT_SENT` or `NOT_EXECUTED`, or
`MAY_HAVE_EXECUTED` where the route is idempotent; 429 and 503 are answered only where no attempt may have been
executed.
"""

from __future__ import annotations

import asyncio

from irisdeal.http1.messages import Response
from irisdeal.http1.phase import Phase
from irisdeal.proxy.attempt import AdmittedRequest, Attempt, AttemptServices
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.attempt_placer import MIN_QUEUE_S, AttemptNeeds
from irisdeal.proxy.backend_request import DEADLINE_MARGIN_S
from irisdeal.proxy.rejection import RejectionError, shutting_down
from irisdeal.runtime.events import check_invariant

MIN_ATTEMPT_S = 0.010  # left to a request's deadline, under which no attempt is begun
HEDGE_FACTOR, MIN_HEDGE_DELAY_S = 3.0, 0.1  # times the typical latency, s: then a hedged request is sent
MAX_HEDGED = 2  # attempts at work at once, of an idempotent request
# Largest share of the latency target that a request spends in queues: a later rejection wastes work.
QUEUE_SHARE = 0.22
MAX_UNREACHABLE = 4  # backends that could not be reached, then the request is given up
RETRY_AFTER_S = 0.1  # after which a client whose request was not executed may come back


class RequestAttempts:
    """The attempts of one request."""

    def __init__(self, services: AttemptServices, admitted: AdmittedRequest) -> None:
        self.services, self.admitted = services, admitted
        self.loop = services.loop
        self.running: list[Attempt] = []
        self.ended: list[Attempt] = []  # of these, those whose ends were not taken yet
        self.waiter: asyncio.Future[None] | None = None  # ours, while we wait for an end
        self.tried: set[str] = set()
        self.unreachable_count = self.sent_count = 0  # attempts that ended
        self.may_have_executed = self.is_rejected = False
        self.last = AttemptOutcome(AttemptEnd.NOT_SENT, "no backend")
        # a backend's own 5xx: the answer where there is no better one
        self.server_error: AttemptOutcome | None = None

    async def run(self) -> Response:
        """Return the final response; raise RejectionError where there is none of a backend.

        Cancelled where the client has disconnected and nothing has begun that executes once only.
        """
        try:
            return await self._run()
        except asyncio.CancelledError:
            if not self._is_given_up():
                raise
            return await self._finish_running()
        finally:
            for attempt in self.running:
                attempt.abandon("client left" if self._has_disconnected() else "answered by another")

    def reject(self) -> bool:
        """Give the request up as the process ends; return whether it was not executed, as nothing was sent."""
        is_sent = any(attempt.sent.is_sent for attempt in self.running)
        if self.may_have_executed or self.server_error is not None or is_sent:
            return False
        self.is_rejected = True
        return True

    def _has_disconnected(self) -> bool:
        return self.admitted.request.disconnected_at is not None

    def _is_given_up(self) -> bool:
        """Return whether our own task was cancelled for a reason that we know: else the process ends at once."""
        return self._has_disconnected() or self.is_rejected

    async def _run(self) -> Response:
        while True:
            if self._may_retry_or_hedge():
                await self._begin_another()
            if not self.running:
                return self._final()
            if (response := await self._next_response()) is not None:
                return response

    async def _finish_running(self) -> Response:
        """Wait for what executes once only and has begun; abandon all else."""
        going_on = [attempt for attempt in self.running if attempt.must_finish_once_sent]
        for attempt in self.running:
            if attempt not in going_on:
                self.may_have_executed |= attempt.sent.is_sent
                attempt.abandon("client left" if self._has_disconnected() else "process ends")
        self.running = going_on
        while self.running:
            if (response := await self._next_response()) is not None:
                return response
        return self._final()

    # Beginning an attempt

    def _may_retry_or_hedge(self) -> bool:
        """Return whether a further attempt may begin now."""
        route, now, until = self.admitted.route, self.loop.time(), self.admitted.until
        if self._is_given_up() or (route.is_mutating and self.may_have_executed):
            return False
        if self.sent_count + len(self.running) >= route.max_attempts:
            return False
        if self.unreachable_count >= MAX_UNREACHABLE or until - now <= MIN_ATTEMPT_S:
            return False
        if len(self.running) >= (1 if route.is_mutating else MAX_HEDGED):
            return False
        return self._can_finish()

    def _can_finish(self) -> bool:
        """Return whether an attempt that begins now is over before the process ends."""
        plan = self.services.drain.plan
        if plan is None:
            return True
        return plan.may_begin(self.loop.time(), self.admitted.until, self.admitted.latency.slowest_s)

    async def _begin_another(self) -> None:
        admitted, request = self.admitted, self.admitted.request
        if not self.running:
            request.phase = Phase.PLACEMENT
        placed = await self.services.placer.assign(self._needs())
        if placed is None:
            return
        if not self._can_finish():  # the shutdown began meanwhile
            self.services.placer.release(placed)
            return
        self.tried.add(placed.backend.id)
        self.running.append(Attempt(self.services, admitted, placed, self._on_ended))
        request.phase = Phase.BACKEND

    def _needs(self) -> AttemptNeeds:
        admitted = self.admitted
        return AttemptNeeds(
            admitted.service,
            self.tried,
            admitted.latency,
            admitted.rank,
            self._max_queue_s(),
            admitted.until,
            admitted.permit,
            admitted.route.is_mutating,
            is_retry=self.sent_count + len(self.running) > 0,
        )

    def _max_queue_s(self) -> float:
        """Return how long the next attempt may wait for capacity.

        A hedged request is sent only where it begins at once: else it would slow all down.
        """
        if self.running:
            return 0.0
        admitted, now = self.admitted, self.loop.time()
        queue_until = admitted.request.received_at + QUEUE_SHARE * admitted.route.latency_target_s
        latest_start = admitted.until - admitted.latency.typical_latency_s
        return max(MIN_QUEUE_S, min(queue_until, latest_start) - now)

    # Waiting for attempts

    async def _next_response(self) -> Response | None:
        """Wait until an attempt ends, or a hedged one is due; return the response, where one counts."""
        if not self.ended:
            await self._wait(self._hedge_delay_s())
        ended, self.ended = self.ended, []
        for attempt in ended:
            if attempt not in self.running:  # given up before
                continue
            self.running.remove(attempt)
            if attempt.task.cancelled():
                self.may_have_executed |= attempt.sent.is_sent
            elif (response := self._take(attempt.task.result())) is not None:
                return response
        return None

    async def _wait(self, timeout_s: float | None) -> None:
        """Wait until an attempt ends, or for so many s."""
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(timeout_s, self._wake) if timeout_s is not None else None
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

    def _hedge_delay_s(self) -> float | None:
        """Return the s after which a hedged request is sent beside the only attempt; None where none is."""
        route = self.admitted.route
        if route.is_mutating or len(self.running) != 1 or self.sent_count + 1 >= route.max_attempts:
            return None
        return max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * self.admitted.latency.typical_latency_s)

    # Ends of attempts

    def _take(self, outcome: AttemptOutcome) -> Response | None:
        """Take one attempt's end; return the response where it is the final one."""
        self.last = outcome
        match outcome.end:
            case AttemptEnd.RESPONSE if self.admitted.route.is_mutating or outcome.status < 500:
                return Response(outcome.status, outcome.body, outcome.headers)
            case AttemptEnd.RESPONSE:
                self.server_error, self.may_have_executed = outcome, True
                self.sent_count += 1
            case AttemptEnd.NOT_SENT:
                self.unreachable_count += 1
            case _:
                self.sent_count += 1
                self.may_have_executed |= outcome.end is AttemptEnd.MAY_HAVE_EXECUTED
        return None

    def _final(self) -> Response:
        """Return the response where no attempt is at work and none follows; RejectionError where there is none."""
        if self.server_error is not None:
            return Response(self.server_error.status, self.server_error.body, self.server_error.headers)
        if self.may_have_executed:
            is_late = self.loop.time() >= self.admitted.until - 2 * DEADLINE_MARGIN_S
            raise RejectionError(504 if is_late else 502, self.last.reason or "given up")
        was_not_executed = self.last.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED)
        check_invariant(was_not_executed, "only what has not run is promised", route=self.admitted.route.name)
        if self.services.drain.plan is not None:
            raise shutting_down()
        raise RejectionError(503, self.last.reason, RETRY_AFTER_S)
