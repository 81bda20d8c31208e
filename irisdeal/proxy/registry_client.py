"""A proxy's calls to the registries of the core: permits and places for requests, reports of intervals.

The registry of our zone is asked first. One that is silent, or gives no permits, is left for a while and then tried
by one request at a time until it answers: the others do not wait for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure

from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.proxy.sources import Sources, hash_of
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

REPORT_S = 0.4  # for the answer to a report
PLACE_S = 0.06  # for the answer to an ask for a place: some ways there and back
NO_REGISTRY = PlacementReply(PlacementResult.NO_REGISTRY)
LEFT_S = 0.5  # that a registry which did not answer in time is not asked
NO_PERMITS_S = 0.07  # that a registry which gives no permits is not asked for one: it may have just started


@dataclass(frozen=True, slots=True)
class Placement:
    """A registry's answer to an ask for a place, and which one it was.

    `is_counted`: whether some registry may have counted the request, answered or not.
    """

    reply: PlacementReply
    registry: str = ""
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class Reported:
    """A registry's answer to a report; `sent_at`: s on the loop's clock."""

    registry: str
    reply: IntervalReply
    sent_at: float


class RegistryClient:
    """The registries as one proxy asks them."""

    def __init__(self, settings: Settings, sources: Sources) -> None:
        self.settings, self.sources = settings, sources
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, RpcClient] = {}
        self.silent_until: dict[str, float] = {}  # registries that did not answer an ask for a place
        self.without_permits_until: dict[str, float] = {}
        self.has_permits = True
        sources.on_left = self.forget

    def forget(self, registries: set[str]) -> None:
        """These machines have left the core."""
        for registry in registries:
            self.silent_until.pop(registry, None)
            self.without_permits_until.pop(registry, None)
            if registry in self.links:
                self.links.pop(registry).close()

    def _by_nearness(self) -> list[str]:
        near = self.sources.is_near
        return sorted(self.sources.answering, key=lambda ip: (not near(ip), hash_of(self.settings.ip, ip)))

    def _link(self, registry: str) -> RpcClient:
        if registry not in self.links:
            address = ports.address_of(self.settings, registry, ports.REGISTRY)
            self.links[registry] = RpcClient(
                address, f"proxy {self.settings.ip}", lambda kind, told: self._late(registry, kind, told)
            )
        return self.links[registry]

    def _late(self, registry: str, kind: str, told: Any) -> None:
        """An answer that came after its time: a place that it gave is not used, nor a permit."""
        if kind in ("place", "wait"):
            reply = PlacementReply.decode(told)
            if reply.result is PlacementResult.PLACED:
                self.end_place(registry, ReservationEnd(reply.reservation, int(AttemptResult.UNKNOWN)))

    async def report(self, make: Callable[[str], IntervalReport]) -> Reported | None:
        """Tell the nearest registry that answers. `make`: the report for this registry. None where none answers."""
        for registry in self._by_nearness():
            sent_at = self.loop.time()
            answer = await self._link(registry).call("count", make(registry).encode(), REPORT_S)
            if not isinstance(answer, Failure):
                return Reported(registry, IntervalReply.decode(answer.unwrap()), sent_at)
        return None

    async def place(self, request: PlacementRequest, first_wait_s: float) -> Placement:
        """The first registry's answer that gives a permit, where one is wanted; else the last that gives none.

        `first_wait_s`: that we may wait for a first registry, at our start. `NO_REGISTRY` where none answers.
        """
        last = Placement(NO_REGISTRY, is_counted=request.is_counted)
        if not await self._has_registry(first_wait_s):
            return last
        for registry in self._by_nearness():
            if not self._may_ask(registry, bool(request.tenant)):
                continue
            placement = await self._place_at(registry, request)
            if placement is None:
                request = replace(request, is_counted=True)
                last = replace(last, is_counted=True)
                continue
            if placement.reply.result is not PlacementResult.NOT_ISSUING:
                if request.tenant:
                    self._note_permits(True)
                return placement
            last = replace(placement, is_counted=request.is_counted)
            self.without_permits_until[registry] = self.loop.time() + NO_PERMITS_S
        if request.tenant:
            self._note_permits(False)
        return last

    def _note_permits(self, has_permits: bool) -> None:
        """Tell when permits can no longer be had, or again."""
        if has_permits != self.has_permits:
            self.has_permits = has_permits
            log_event(Event.PERMITS_AVAILABLE if has_permits else Event.PERMITS_UNAVAILABLE)

    async def _has_registry(self, first_wait_s: float) -> bool:
        if self.sources.has_heard.is_set():
            return True
        try:
            async with asyncio.timeout(first_wait_s):
                await self.sources.has_heard.wait()
        except TimeoutError:
            return False
        return True

    def _may_ask(self, registry: str, is_permit_wanted: bool) -> bool:
        """Whether this registry is asked now; one that was silent is then asked by this request alone."""
        now = self.loop.time()
        if self.silent_until.get(registry, 0.0) > now:
            return False
        if is_permit_wanted and self.without_permits_until.get(registry, 0.0) > now:
            return False
        if registry in self.silent_until:
            self.silent_until[registry] = now + PLACE_S
        return True

    async def _place_at(self, registry: str, request: PlacementRequest) -> Placement | None:
        """None where it does not answer in time."""
        link, body = self._link(registry), request.encode()
        answer = await link.call("place", body, PLACE_S)
        if isinstance(answer, Failure):
            self.silent_until[registry] = self.loop.time() + LEFT_S
            return None
        self.silent_until.pop(registry, None)
        reply = PlacementReply.decode(answer.unwrap())
        if reply.result is PlacementResult.WAIT and request.max_wait_s > 0:
            answer = await link.call("wait", body, PLACE_S + request.max_wait_s)
            reply = PlacementReply(PlacementResult.NO_BACKEND)
            if not isinstance(answer, Failure):
                reply = PlacementReply.decode(answer.unwrap())
        return Placement(reply, registry, True)

    def end_place(self, registry: str, end: ReservationEnd) -> None:
        """Tell a registry the end of a place that it gave."""
        self._link(registry).notify("ended", end.encode())
