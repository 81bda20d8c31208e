"""A request's attempts at backends: retries, a hedged request beside a slow one, and the final response.

One scope owns the attempts: `RequestAttempts.run` ends with the first response, at the deadline, or when it is
cancelled as the client disconnects, and it cancels all attempts that are still running. The exception is an
attempt of a mutating request once a byte of it may have been sent: the scope waits for its end and returns its
response, even if the client has disconnected.

Guarantees: a request that is not idempotent is never executed twice (rule TWICE), and the statuses 429 and 503
mean that nothing was executed (rule REFUSED). So an attempt is retried only after `NOT_SENT` or `NOT_EXECUTED`,
or after `MAY_HAVE_EXECUTED` if the route is idempotent; 429 and 503 are returned only if no attempt may have
been executed.
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

MIN_ATTEMPT_S = 0.010  # minimum time left until the deadline for starting an attempt
HEDGE_DELAY_FACTOR = 3.0  # a hedged request is sent after this many typical latencies
MIN_HEDGE_DELAY_S = 0.1
MAX_PARALLEL_ATTEMPTS = 2  # of an idempotent request
# Largest share of the latency target that a request may spend in queues, as a later rejection wastes work.
MAX_QUEUE_SHARE = 0.22
MAX_UNREACHABLE_COUNT = 4  # unreachable backends after which the request is rejected
RETRY_AFTER_S = 0.1  # for clients whose request was not executed


class RequestAttempts:
    """The attempts of one request."""

    def __init__(self, services: AttemptServices, admitted: AdmittedRequest) -> None:
        self.services, self.admitted = services, admitted
        self.loop = services.loop
        self.running: list[Attempt] = []
        self.ended: list[Attempt] = []  # attempts whose outcome was not handled yet
        self.waiter: asyncio.Future[None] | None = None  # pending while `run` waits for the end of an attempt
        self.tried: set[str] = set()  # ids of the backends of all attempts
        self.unreachable_count = self.sent_count = 0  # ended attempts that were not sent, and that were
        self.may_have_executed = self.is_rejected = False
        self.last_outcome = AttemptOutcome(AttemptEnd.NOT_SENT, "no backend")
        # A 5xx response of a backend, which is returned if no attempt gets a better one.
        self.server_error: AttemptOutcome | None = None

    async def run(self) -> Response:
        """Return the final response; raise RejectionError if no backend returned one.

        Raises CancelledError if the client has disconnected and no attempt of a mutating request was sent.
        """
        try:
            return await self._run()
        except asyncio.CancelledError:
            if not self._is_cancellation_expected():
                raise
            return await self._finish_running()
        finally:
            for attempt in self.running:
                attempt.abandon("client left" if self._has_disconnected() else "answered by another")
            # An attempt refers to this object: without a way back, bodies are freed with the last reference.
            self.running.clear()
            self.ended.clear()

    def reject(self) -> bool:
        """Reject the request as the process terminates; False if an attempt was sent and may have been executed."""
        is_sent = any(attempt.backend_request.is_sent for attempt in self.running)
        if self.may_have_executed or self.server_error is not None or is_sent:
            return False
        self.is_rejected = True
        return True

    def _has_disconnected(self) -> bool:
        return self.admitted.request.disconnected_at is not None

    def _is_cancellation_expected(self) -> bool:
        """Return whether a cancellation is due to a disconnect or a rejection, not to the process's termination."""
        return self._has_disconnected() or self.is_rejected

    async def _run(self) -> Response:
        while True:
            if self._may_start_attempt():
                await self._start_attempt()
            if not self.running:
                return self._final_response()
            if (response := await self._next_response()) is not None:
                return response

    async def _finish_running(self) -> Response:
        """Wait for attempts of mutating requests that were sent; abandon all others."""
        unfinished = [attempt for attempt in self.running if attempt.must_finish_once_sent]
        for attempt in self.running:
            if attempt not in unfinished:
                self.may_have_executed |= attempt.backend_request.is_sent
                attempt.abandon("client left" if self._has_disconnected() else "process ends")
        self.running = unfinished
        while self.running:
            if (response := await self._next_response()) is not None:
                return response
        return self._final_response()

    # Starting an attempt

    def _may_start_attempt(self) -> bool:
        """Return whether a first attempt, a retry or a hedged request may start now."""
        route, now, deadline = self.admitted.route, self.loop.time(), self.admitted.deadline
        if self._is_cancellation_expected() or (route.is_mutating and self.may_have_executed):
            return False
        if self.sent_count + len(self.running) >= route.max_attempts:
            return False
        if self.unreachable_count >= MAX_UNREACHABLE_COUNT or deadline - now <= MIN_ATTEMPT_S:
            return False
        if len(self.running) >= (1 if route.is_mutating else MAX_PARALLEL_ATTEMPTS):
            return False
        return self._can_finish()

    def _can_finish(self) -> bool:
        """Return whether an attempt that starts now is expected to end before the process terminates."""
        plan = self.services.drain.plan
        if plan is None:
            return True
        return plan.may_start_attempt(
            self.loop.time(), self.admitted.deadline, self.admitted.latency.slowest_s
        )

    async def _start_attempt(self) -> None:
        admitted, request = self.admitted, self.admitted.request
        if not self.running:
            request.phase = Phase.PLACEMENT
        placed = await self.services.placer.assign(self._needs())
        if placed is None:
            return
        if not self._can_finish():  # the shutdown began during the call
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
            admitted.deadline,
            admitted.permit,
            admitted.route.is_mutating,
            is_retry=self.sent_count + len(self.running) > 0,
        )

    def _max_queue_s(self) -> float:
        """Return how long the next attempt may wait for capacity, in s.

        A hedged request must not wait: it is sent only to a backend with a free slot, so that hedging adds no
        queueing.
        """
        if self.running:
            return 0.0
        admitted, now = self.admitted, self.loop.time()
        queue_until = admitted.request.received_at + MAX_QUEUE_SHARE * admitted.route.latency_target_s
        latest_start = admitted.deadline - admitted.latency.typical_latency_s
        return max(MIN_QUEUE_S, min(queue_until, latest_start) - now)

    # Waiting for attempts

    async def _next_response(self) -> Response | None:
        """Wait until an attempt ends or a hedged request is due; return the final response if there is one."""
        if not self.ended:
            await self._wait(self._hedge_delay_s())
        ended, self.ended = self.ended, []
        for attempt in ended:
            if attempt not in self.running:  # abandoned before it ended
                continue
            self.running.remove(attempt)
            if attempt.task.cancelled():
                self.may_have_executed |= attempt.backend_request.is_sent
            elif (response := self._handle_outcome(attempt.task.result())) is not None:
                return response
        return None

    async def _wait(self, timeout_s: float | None) -> None:
        """Wait until an attempt ends, or for `timeout_s` at most."""
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(timeout_s, self._notify_waiter) if timeout_s is not None else None
        try:
            await self.waiter
        finally:
            if timer is not None:
                timer.cancel()

    def _on_ended(self, attempt: Attempt) -> None:
        if attempt in self.running:  # it was not abandoned
            self.ended.append(attempt)
        self._notify_waiter()

    def _notify_waiter(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _hedge_delay_s(self) -> float | None:
        """Return the delay in s after which a hedged request is sent; None if none may be sent."""
        route = self.admitted.route
        if route.is_mutating or len(self.running) != 1 or self.sent_count + 1 >= route.max_attempts:
            return None
        return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * self.admitted.latency.typical_latency_s)

    # Ends of attempts

    def _handle_outcome(self, outcome: AttemptOutcome) -> Response | None:
        """Record the outcome of an attempt; return its response if it is final."""
        self.last_outcome = outcome
        match outcome.end:
            case AttemptEnd.RESPONSE if self.admitted.route.is_mutating or outcome.status < 500:
                return Response(outcome.status, outcome.blocks, outcome.headers)
            case AttemptEnd.RESPONSE:
                self.server_error, self.may_have_executed = outcome, True
                self.sent_count += 1
            case AttemptEnd.NOT_SENT:
                self.unreachable_count += 1
            case _:
                self.sent_count += 1
                self.may_have_executed |= outcome.end is AttemptEnd.MAY_HAVE_EXECUTED
        return None

    def _final_response(self) -> Response:
        """Return the response after the last attempt; raise RejectionError if there is none."""
        if self.server_error is not None:
            return Response(self.server_error.status, self.server_error.blocks, self.server_error.headers)
        if self.may_have_executed:
            is_late = self.loop.time() >= self.admitted.deadline - 2 * DEADLINE_MARGIN_S
            raise RejectionError(504 if is_late else 502, self.last_outcome.reason or "given up")
        was_not_executed = self.last_outcome.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED)
        check_invariant(
            was_not_executed, "503 is returned only if not executed", route=self.admitted.route.name
        )
        if self.services.drain.plan is not None:
            raise shutting_down()
        raise RejectionError(503, self.last_outcome.reason, RETRY_AFTER_S)
