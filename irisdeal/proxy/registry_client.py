"""A proxy's calls to the registries of the core: placement of attempts, permits, reports of intervals.

The registry of our zone is asked first. One that does not answer, or issues no permits, is passed over for a while
and then tried by one request at a time until it answers: the others do not wait for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure

from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.proxy.registry_selector import stable_hash
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.registry import call_kinds
from irisdeal.registry.messages import (
    IntervalReply,
    IntervalReport,
    PlacementReply,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
)
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings

REPORT_TIMEOUT_S = 0.4  # for the reply to an interval's report
PLACEMENT_TIMEOUT_S = 0.06  # for the reply to a placement request: some round trips
NO_REGISTRY = PlacementReply(PlacementResult.NO_REGISTRY)
UNRESPONSIVE_S = 0.5  # that a registry which did not reply in time is not asked
NOT_ISSUING_S = 0.07  # that a registry which issues no permits is not asked for one: it may have just started


@dataclass(frozen=True, slots=True)
class Placement:
    """A registry's reply to a placement request.

    `registry`: which one, empty where none replied; `is_counted`: whether some registry may have counted the
    request, replied or not.
    """

    reply: PlacementReply
    registry: str = ""
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class ReportReply:
    """A registry's reply to a report. `sent_at`: when the report was sent, s on the loop's clock."""

    registry: str
    reply: IntervalReply
    sent_at: float


class RegistryClient:
    """The registries as one proxy calls them."""

    def __init__(self, settings: Settings, watcher: RegistryWatcher) -> None:
        """`watcher`: knows which registries answer."""
        self.settings, self.watcher = settings, watcher
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, RpcClient] = {}
        self.unresponsive_until: dict[str, float] = {}  # registries that did not reply to a placement request
        self.not_issuing_until: dict[str, float] = {}
        self.has_permits = True
        watcher.on_departed = self.forget

    def forget(self, registries: set[str]) -> None:
        """Close the connections to machines that have left the core."""
        for registry in registries:
            self.unresponsive_until.pop(registry, None)
            self.not_issuing_until.pop(registry, None)
            if registry in self.links:
                self.links.pop(registry).close()

    def _by_nearness(self) -> list[str]:
        """Return the registries that answer: those in our zone first, then in an order of our own."""
        is_near, own_ip = self.watcher.selector.is_near, self.settings.ip
        return sorted(
            self.watcher.responsive_registries,
            key=lambda registry: (not is_near(registry), stable_hash(own_ip, registry)),
        )

    def _link(self, registry: str) -> RpcClient:
        if registry not in self.links:
            address = ports.address_of(self.settings, registry, ports.REGISTRY)
            self.links[registry] = RpcClient(
                address,
                f"proxy {self.settings.ip}",
                lambda kind, encoded: self._receive_late(registry, kind, encoded),
            )
        return self.links[registry]

    def _receive_late(self, registry: str, kind: str, encoded: object) -> None:
        """End the reservation, and with it the permit, of a reply that came after its time-out."""
        if kind in (call_kinds.RESERVE, call_kinds.RESERVE_WHEN_FREE):
            reply = PlacementReply.decode(encoded)
            if reply.result is PlacementResult.PLACED:
                self.end_reservation(registry, ReservationEnd(reply.reservation, int(AttemptResult.UNKNOWN)))

    async def report(self, make: Callable[[str], IntervalReport]) -> ReportReply | None:
        """Report an interval to the nearest registry that answers; None where none does.

        `make`: the report for this registry.
        """
        for registry in self._by_nearness():
            sent_at = self.loop.time()
            answer = await self._link(registry).call(
                call_kinds.REPORT_USAGE, make(registry).encode(), REPORT_TIMEOUT_S
            )
            if not isinstance(answer, Failure):
                return ReportReply(registry, IntervalReply.decode(answer.unwrap()), sent_at)
        return None

    async def request_placement(self, request: PlacementRequest, first_wait_s: float) -> Placement:
        """Ask one registry after the other for a backend, until one issues the permit, where one is wanted.

        Return the last reply where none does, `NO_REGISTRY` where none replies. `first_wait_s`: for how long to
        wait for a first registry, at our start.
        """
        last = Placement(NO_REGISTRY, is_counted=request.is_counted)
        if not await self._has_registry(first_wait_s):
            return last
        for registry in self._by_nearness():
            if not self._may_ask(registry, bool(request.tenant)):
                continue
            placement = await self._request_from(registry, request)
            if placement is None:
                request = replace(request, is_counted=True)
                last = replace(last, is_counted=True)
                continue
            if placement.reply.result is not PlacementResult.NOT_ISSUING:
                if request.tenant:
                    self._log_permits(True)
                return placement
            last = replace(placement, is_counted=request.is_counted)
            self.not_issuing_until[registry] = self.loop.time() + NOT_ISSUING_S
        if request.tenant:
            self._log_permits(False)
        return last

    def _log_permits(self, has_permits: bool) -> None:
        """Log when permits are no longer to be had, or again."""
        if has_permits != self.has_permits:
            self.has_permits = has_permits
            log_event(Event.PERMITS_AVAILABLE if has_permits else Event.PERMITS_UNAVAILABLE)

    async def _has_registry(self, first_wait_s: float) -> bool:
        if self.watcher.has_answered.is_set():
            return True
        try:
            async with asyncio.timeout(first_wait_s):
                await self.watcher.has_answered.wait()
        except TimeoutError:
            return False
        return True

    def _may_ask(self, registry: str, is_permit_wanted: bool) -> bool:
        """Return whether this registry is asked now; one that did not reply is then asked by this request alone."""
        now = self.loop.time()
        if self.unresponsive_until.get(registry, 0.0) > now:
            return False
        if is_permit_wanted and self.not_issuing_until.get(registry, 0.0) > now:
            return False
        if registry in self.unresponsive_until:
            self.unresponsive_until[registry] = now + PLACEMENT_TIMEOUT_S
        return True

    async def _request_from(self, registry: str, request: PlacementRequest) -> Placement | None:
        """Ask one registry; None where it does not reply in time."""
        link, body = self._link(registry), request.encode()
        answer = await link.call(call_kinds.RESERVE, body, PLACEMENT_TIMEOUT_S)
        if isinstance(answer, Failure):
            self.unresponsive_until[registry] = self.loop.time() + UNRESPONSIVE_S
            return None
        self.unresponsive_until.pop(registry, None)
        reply = PlacementReply.decode(answer.unwrap())
        if reply.result is PlacementResult.WAIT and request.max_wait_s > 0:
            answer = await link.call(
                call_kinds.RESERVE_WHEN_FREE, body, PLACEMENT_TIMEOUT_S + request.max_wait_s
            )
            reply = PlacementReply(PlacementResult.NO_BACKEND)
            if not isinstance(answer, Failure):
                reply = PlacementReply.decode(answer.unwrap())
        return Placement(reply, registry, True)

    def end_reservation(self, registry: str, end: ReservationEnd) -> None:
        """Notify a registry that a reservation which it gave is over."""
        self._link(registry).notify(call_kinds.END_RESERVATION, end.encode())
