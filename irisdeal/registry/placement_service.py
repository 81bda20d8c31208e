"""Reserves slots at backends for proxies, and queues requests that wait for capacity."""

from __future__ import annotations

import asyncio
import random

from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.placement.load_reports import InFlightByKey, LoadReports
from irisdeal.placement.placer import Placer
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendState
from irisdeal.registry.messages import (
    LoadReport,
    PlacementReply,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
)

MAX_WAIT_S = 2.0  # longest wait of a request for capacity
RESERVATION_GRACE_S = 0.5  # after the attempt's deadline, a reservation whose end was not reported expires
NO_BACKEND = PlacementReply(PlacementResult.NO_BACKEND)


class PlacementService:
    """The reservations and the waiting requests of one registry process."""

    def __init__(
        self, regions: dict[str, str], backends: BackendTable, loop: asyncio.AbstractEventLoop
    ) -> None:
        """`regions`: the region of each zone."""
        self.backends, self.loop = backends, loop
        self.placer = Placer(regions, random.Random())
        self.loads = LoadReports()
        self.applied_version = 0  # version of the backend table that the placer has
        self.last_reported: InFlightByKey = {}  # content of the last load report

    def reserve(
        self, caller: str, request: PlacementRequest, only_free: bool = True, waited_s: float = 0.0
    ) -> PlacementReply | None:
        """Reserve a slot; return None if no backend has capacity.

        `only_free`: if false, reserve at the best backend even if it is full; `waited_s`: how long the request has
        waited.
        """
        now = self.loop.time()
        self._apply_backends()
        deadline = now + request.time_left_s - waited_s + RESERVATION_GRACE_S
        reserved = self.placer.reserve(caller, request, now, deadline, only_free)
        if reserved is None:
            return None
        number, backend, load_factor = reserved
        return PlacementReply(PlacementResult.PLACED, number, backend.id, round(load_factor, 2))

    async def reserve_when_free(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Wait up to `max_wait_s` for capacity; after that, reserve at the best backend even if it is full."""
        started_at = self.loop.time()
        deadline = started_at + min(request.max_wait_s, MAX_WAIT_S)
        while True:
            token: asyncio.Future[None] = self.loop.create_future()
            if not self.placer.waiting.push(request.service, request.rank, token):
                return NO_BACKEND
            await self._wait_for_turn(request.service, token, deadline)
            now = self.loop.time()
            is_last = now >= deadline
            reply = self.reserve(caller, request, not is_last, now - started_at)
            if reply is not None or is_last:
                return reply or NO_BACKEND

    async def _wait_for_turn(self, service: str, token: asyncio.Future[None], deadline: float) -> None:
        """Wait until the token is notified or the deadline has passed."""
        try:
            async with asyncio.timeout_at(deadline):
                await token
        except TimeoutError:
            self.placer.waiting.cancel(service, token)
        except asyncio.CancelledError:  # the caller has abandoned the call or disconnected
            self._leave_queue(service, token)
            raise

    def _leave_queue(self, service: str, token: asyncio.Future[None]) -> None:
        """Leave the queue; if the token was already notified, notify the next one instead."""
        if token.done() and not token.cancelled():
            self._notify_next(service)
        else:
            self.placer.waiting.cancel(service, token)

    def end(self, caller: str, end: ReservationEnd) -> None:
        """End a reservation, and notify a waiting request."""
        result, now = AttemptResult(end.result), self.loop.time()
        service = self.placer.end_reservation(caller, end.reservation, result, end.latency_ratio, now)
        if service is not None:
            self._notify_next(service)

    def disconnect(self, caller: str) -> None:
        """End the reservations made over a connection that is closed."""
        for service in self.placer.disconnect(caller):
            self._notify_next(service)

    def refresh(self) -> None:
        """Expire reservations, and let a waiting request of each service retry: capacity also changes with time."""
        self._apply_backends()
        for service in self.placer.expire(self.loop.time()) | set(self.placer.waiting.queues):
            self._notify_next(service)

    def load_report(self, registry: str) -> LoadReport | None:
        """Return the requests in flight of this registry's proxies; None if this and the last report are empty."""
        in_flight = self.placer.in_flight()
        last, self.last_reported = self.last_reported, in_flight
        self.placer.update_elsewhere(self.loads.total(self.loop.time()))
        return LoadReport(registry, in_flight) if in_flight or last else None

    def record_loads(self, report: LoadReport) -> None:
        """Record another registry's load report."""
        self.loads.record(report.registry, report.in_flight, self.loop.time())

    def _notify_next(self, service: str) -> None:
        """Notify the next waiting request that there may be capacity."""
        while (token := self.placer.waiting.pop(service)) is not None:
            assert isinstance(token, asyncio.Future)
            if not token.done():
                token.set_result(None)
                return

    def _apply_backends(self) -> None:
        """Apply the changes of the backend table to the placer."""
        if self.applied_version == self.backends.version:
            return
        for entry in self.backends.changed_since(self.applied_version):
            incarnation = entry.incarnation
            if incarnation.state is BackendState.READY:
                backend = self.placer.add(
                    incarnation.id,
                    incarnation.service,
                    incarnation.zone,
                    incarnation.capacity,
                    incarnation.warm_at,
                )
                backend.is_unresponsive = entry.is_unresponsive
            else:
                self.placer.remove(incarnation.id)
        self.applied_version = self.backends.version
