"""A proxy's calls to the registries of the core: placement of attempts, permits, reports of intervals.

The registry of the proxy's zone is called first. One that does not reply, or issues no permits, is skipped for
some time. An unresponsive one is then probed by one request at a time until it replies, so that other requests
do not wait for it.
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

REPORT_TIMEOUT_S = 0.4  # for the reply to a usage report
PLACEMENT_TIMEOUT_S = 0.06  # for the reply to a placement request: a few round trips
NO_REGISTRY = PlacementReply(PlacementResult.NO_REGISTRY)
UNRESPONSIVE_S = 0.5  # for which a registry that did not reply in time is skipped
NOT_ISSUING_S = 0.07  # for which one that issues no permits is skipped; short, as it may have just started


@dataclass(frozen=True, slots=True)
class Placement:
    """A registry's reply to a placement request.

    `registry`: that replied, empty if none did; `is_counted`: whether any registry may have counted the request
    for its retry budget, even without a reply.
    """

    reply: PlacementReply
    registry: str = ""
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class ReportReply:
    """A registry's reply to a report. `sent_at`: time at which the report was sent, s on the loop's clock."""

    registry: str
    reply: IntervalReply
    sent_at: float


class RegistryClient:
    """One proxy's client of the registries."""

    def __init__(self, settings: Settings, watcher: RegistryWatcher) -> None:
        """`watcher`: provides the registries that reply."""
        self.settings, self.watcher = settings, watcher
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, RpcClient] = {}  # connections by registry
        # registry -> time until which it is skipped, as it did not reply to a placement request
        self.unresponsive_until: dict[str, float] = {}
        # registry -> time until which it is skipped for permits
        self.not_issuing_until: dict[str, float] = {}
        self.has_permits = True  # as logged last
        watcher.on_departed = self.remove_registries

    def remove_registries(self, registries: set[str]) -> None:
        """Close the connections to machines that have left the core."""
        for registry in registries:
            self.unresponsive_until.pop(registry, None)
            self.not_issuing_until.pop(registry, None)
            if registry in self.links:
                self.links.pop(registry).close()

    def _by_nearness(self) -> list[str]:
        """Return the registries that reply: those in its zone first, then in an order of the proxy."""
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
                lambda kind, encoded: self._handle_late_reply(registry, kind, encoded),
            )
        return self.links[registry]

    def _handle_late_reply(self, registry: str, kind: str, encoded: object) -> None:
        """End the reservation granted by a reply that arrived after its time-out; its permit is lost."""
        if kind in (call_kinds.RESERVE, call_kinds.RESERVE_WHEN_FREE):
            reply = PlacementReply.decode(encoded)
            if reply.result is PlacementResult.PLACED:
                self.end_reservation(registry, ReservationEnd(reply.reservation, int(AttemptResult.UNKNOWN)))

    async def report(self, build_report: Callable[[str], IntervalReport]) -> ReportReply | None:
        """Report an interval to the nearest registry that replies; None if none does.

        `build_report`: returns the report for a registry.
        """
        for registry in self._by_nearness():
            sent_at = self.loop.time()
            result = await self._link(registry).call(
                call_kinds.REPORT_USAGE, build_report(registry).encode(), REPORT_TIMEOUT_S
            )
            if not isinstance(result, Failure):
                return ReportReply(registry, IntervalReply.decode(result.unwrap()), sent_at)
        return None

    async def request_placement(self, request: PlacementRequest, first_wait_s: float) -> Placement:
        """Request a backend from one registry after the other, until one issues the permit if one is needed.

        Return the last reply if none issues it, `NO_REGISTRY` if none replies. `first_wait_s`: how long to wait
        for a first registry after the proxy's start.
        """
        last = Placement(NO_REGISTRY, is_counted=request.is_counted)
        if not await self._has_registry(first_wait_s):
            return last
        for registry in self._by_nearness():
            if not self._may_call(registry, bool(request.tenant)):
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
        """Log when permits become unavailable, or available again."""
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

    def _may_call(self, registry: str, is_permit_needed: bool) -> bool:
        """Return whether to call this registry now; an unresponsive one is probed by a single request."""
        now = self.loop.time()
        if self.unresponsive_until.get(registry, 0.0) > now:
            return False
        if is_permit_needed and self.not_issuing_until.get(registry, 0.0) > now:
            return False
        if registry in self.unresponsive_until:
            self.unresponsive_until[registry] = now + PLACEMENT_TIMEOUT_S
        return True

    async def _request_from(self, registry: str, request: PlacementRequest) -> Placement | None:
        """Send the request to one registry; None if it does not reply in time."""
        link, body = self._link(registry), request.encode()
        result = await link.call(call_kinds.RESERVE, body, PLACEMENT_TIMEOUT_S)
        if isinstance(result, Failure):
            self.unresponsive_until[registry] = self.loop.time() + UNRESPONSIVE_S
            return None
        self.unresponsive_until.pop(registry, None)
        reply = PlacementReply.decode(result.unwrap())
        if reply.result is PlacementResult.WAIT and request.max_wait_s > 0:
            result = await link.call(
                call_kinds.RESERVE_WHEN_FREE, body, PLACEMENT_TIMEOUT_S + request.max_wait_s
            )
            reply = PlacementReply(PlacementResult.NO_BACKEND)
            if not isinstance(result, Failure):
                reply = PlacementReply.decode(result.unwrap())
        return Placement(reply, registry, True)

    def end_reservation(self, registry: str, end: ReservationEnd) -> None:
        """Notify a registry that one of its reservations has ended."""
        self._link(registry).notify(call_kinds.END_RESERVATION, end.encode())
