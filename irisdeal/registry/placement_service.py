"""Places at backends for the proxies that ask this registry, and who waits for one."""

from __future__ import annotations

import asyncio
import random

from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.placement.load_reports import LoadReports
from irisdeal.placement.placer import Placer
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendState
from irisdeal.registry.messages import PlacementReply, PlacementRequest, PlacementResult, ReservationEnd

MOST_HOLD_S = 2.0  # that an ask may wait for room
GRACE_S = 0.5  # beyond the proxy's own time that a place counts, if its proxy says nothing
NO_BACKEND = PlacementReply(PlacementResult.NO_BACKEND)


class PlacementService:
    """The places of one registry's process."""

    def __init__(
        self, zones: dict[str, str], backends: BackendTable, loop: asyncio.AbstractEventLoop
    ) -> None:
        """`zones`: their regions."""
        self.backends, self.loop = backends, loop
        self.placer = Placer(zones, random.Random())
        self.loads = LoadReports()
        self.synced = 0
        self.told: dict[int, int] = {}

    def place(
        self, peer: str, request: PlacementRequest, is_any: bool = False, waited_s: float = 0.0
    ) -> PlacementReply | None:
        """A place, None where there is no room. `is_any`: the best there is, full or not; `waited_s`: of its
        time."""
        now = self.loop.time()
        self._sync()
        until = now + request.time_left_s - waited_s + GRACE_S
        placed = self.placer.place(
            peer,
            request.zone,
            request.service,
            request.typical_latency_s,
            request.avoid,
            now,
            until,
            not is_any,
            request.connected,
        )
        if placed is None:
            return None
        number, backend, crowd = placed
        return PlacementReply(PlacementResult.PLACED, number, backend.id, round(crowd, 2))

    async def wait(self, peer: str, request: PlacementRequest) -> PlacementReply:
        """Wait for room for `hold_s`; then the best there is, full or not."""
        begun = self.loop.time()
        until = begun + min(request.max_wait_s, MOST_HOLD_S)
        while True:
            token: asyncio.Future[None] = self.loop.create_future()
            if not self.placer.wait(request.service, request.rank, token):
                return NO_BACKEND
            try:
                async with asyncio.timeout_at(until):
                    await token
            except TimeoutError:
                self.placer.wait_no_more(request.service, token)
            except asyncio.CancelledError:  # who asked has gone
                self._give_up(request.service, token)
                raise
            now = self.loop.time()
            is_last = now >= until
            placed = self.place(peer, request, is_last, now - begun)
            if placed is not None or is_last:
                return placed or NO_BACKEND

    def _give_up(self, service: str, token: asyncio.Future[None]) -> None:
        """It waits no more; had its turn come already, it is the next one's."""
        if token.done() and not token.cancelled():
            self._wake(service)
        else:
            self.placer.wait_no_more(service, token)

    def ended(self, peer: str, end: ReservationEnd) -> None:
        """The end of an attempt that had a place."""
        service = self.placer.ended(
            peer, end.reservation, AttemptResult(end.result), end.latency_ratio, self.loop.time()
        )
        if service is not None:
            self._wake(service)

    def lost(self, peer: str) -> None:
        """A proxy's connection ended, and with it the places that were given over it."""
        for service in self.placer.leave(peer):
            self._wake(service)

    def look(self) -> None:
        """Once in a while: places whose proxies said nothing; who waits looks again, as time alone changes much."""
        self._sync()
        for service in self.placer.look(self.loop.time()) | set(self.placer.waiting):
            self._wake(service)

    def sums(self) -> dict[int, int] | None:
        """What our proxies have at each backend, None where it is nought as it was."""
        sums = self.placer.sums()
        told, self.told = self.told, sums
        self.placer.others(self.loads.total(self.loop.time()))
        return sums if sums or told else None

    def hear_loads(self, registry: str, sums: dict[int, int]) -> None:
        """What another registry's proxies have at each backend."""
        self.loads.hear(registry, sums, self.loop.time())

    def _wake(self, service: str) -> None:
        """Room for one more, perhaps: who goes next looks again."""
        while (token := self.placer.next(service)) is not None:
            assert isinstance(token, asyncio.Future)
            if not token.done():
                token.set_result(None)
                return

    def _sync(self) -> None:
        """The backends as the registry has them by now."""
        if self.synced == self.backends.version:
            return
        for entry in self.backends.changed_since(self.synced):
            incarnation = entry.incarnation
            if incarnation.state is BackendState.READY:
                backend = self.placer.know(
                    incarnation.id,
                    incarnation.service,
                    incarnation.zone,
                    incarnation.capacity,
                    incarnation.warm_at,
                )
                backend.is_unresponsive = entry.is_unresponsive
            else:
                self.placer.retire(incarnation.id)
        self.synced = self.backends.version
