"""Reserves backends' slots for the proxies that ask this registry, and queues requests that wait for capacity."""

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

MAX_WAIT_S = 2.0  # that a request may wait for capacity
REPORT_GRACE_S = 0.5  # beyond the attempt's deadline, that a reservation stands whose proxy reports no end
NO_BACKEND = PlacementReply(PlacementResult.NO_BACKEND)


class PlacementService:
    """The placements of one registry's process."""

    def __init__(
        self, regions: dict[str, str], backends: BackendTable, loop: asyncio.AbstractEventLoop
    ) -> None:
        """`regions`: the region of each zone."""
        self.backends, self.loop = backends, loop
        self.placer = Placer(regions, random.Random())
        self.loads = LoadReports()
        self.applied_version = 0  # of the backend table
        self.reported: InFlightByKey = {}  # in the last load report

    def reserve(
        self, caller: str, request: PlacementRequest, only_free: bool = True, waited_s: float = 0.0
    ) -> PlacementReply | None:
        """Reserve a slot; None where no backend has capacity.

        `only_free`: else on the best backend there is, full or not; `waited_s`: how much of the request's time
        has passed.
        """
        now = self.loop.time()
        self._apply_backends()
        deadline = now + request.time_left_s - waited_s + REPORT_GRACE_S
        reserved = self.placer.reserve(caller, request, now, deadline, only_free)
        if reserved is None:
            return None
        number, backend, load_factor = reserved
        return PlacementReply(PlacementResult.PLACED, number, backend.id, round(load_factor, 2))

    async def reserve_when_free(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Wait for capacity for `max_wait_s`; then take the best backend there is, full or not."""
        started_at = self.loop.time()
        deadline = started_at + min(request.max_wait_s, MAX_WAIT_S)
        while True:
            token: asyncio.Future[None] = self.loop.create_future()
            if not self.placer.waiting.push(request.service, request.rank, token):
                return NO_BACKEND
            await self._wait_turn(request.service, token, deadline)
            now = self.loop.time()
            is_last = now >= deadline
            reply = self.reserve(caller, request, not is_last, now - started_at)
            if reply is not None or is_last:
                return reply or NO_BACKEND

    async def _wait_turn(self, service: str, token: asyncio.Future[None], deadline: float) -> None:
        """Wait until the token's turn or the deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                await token
        except TimeoutError:
            self.placer.waiting.cancel(service, token)
        except asyncio.CancelledError:  # the caller has gone
            self._give_up(service, token)
            raise

    def _give_up(self, service: str, token: asyncio.Future[None]) -> None:
        """Wait no more; a turn that has come already goes to the next one."""
        if token.done() and not token.cancelled():
            self._wake(service)
        else:
            self.placer.waiting.cancel(service, token)

    def end(self, caller: str, end: ReservationEnd) -> None:
        """End a reservation."""
        result, now = AttemptResult(end.result), self.loop.time()
        service = self.placer.end_reservation(caller, end.reservation, result, end.latency_ratio, now)
        if service is not None:
            self._wake(service)

    def disconnect(self, caller: str) -> None:
        """End the reservations that were given over a connection that is lost."""
        for service in self.placer.disconnect(caller):
            self._wake(service)

    def refresh(self) -> None:
        """Expire reservations; whoever waits is tried again, as time alone changes much."""
        self._apply_backends()
        for service in self.placer.expire(self.loop.time()) | set(self.placer.waiting.queues):
            self._wake(service)

    def load_report(self, registry: str) -> LoadReport | None:
        """Return the requests in flight from our proxies; None where there are none, as in the last report."""
        in_flight = self.placer.in_flight()
        last, self.reported = self.reported, in_flight
        self.placer.update_elsewhere(self.loads.total(self.loop.time()))
        return LoadReport(registry, in_flight) if in_flight or last else None

    def record_loads(self, report: LoadReport) -> None:
        """Take another registry's load report."""
        self.loads.record(report.registry, report.in_flight, self.loop.time())

    def _wake(self, service: str) -> None:
        """There may be capacity for one more: the next in the queue tries again."""
        while (token := self.placer.waiting.pop(service)) is not None:
            assert isinstance(token, asyncio.Future)
            if not token.done():
                token.set_result(None)
                return

    def _apply_backends(self) -> None:
        """Bring the placer up to the backend table's version."""
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
