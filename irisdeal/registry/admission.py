"""What a proxy asks a registry before an attempt: a permit of the tenant, a repeat of its budget, a place.

One call asks for all three, so a request costs one way to the registry and back.
"""

from __future__ import annotations

import asyncio
from typing import Any

from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.issuer import ClaimResult
from irisdeal.ratelimit.retry_budget import REGISTRY_SLACK_SHARE, RetryBudgets
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.messages import PlacementReply, PlacementRequest, PlacementResult, ReservationEnd
from irisdeal.registry.placement_service import NO_BACKEND, PlacementService
from irisdeal.registry.quota_service import Age, Lend, QuotaService
from irisdeal.rpc.server import DEFERRED
from irisdeal.runtime.settings import Settings

OVER_QUOTA = PlacementReply(PlacementResult.OVER_QUOTA)
OVER_BUDGET = PlacementReply(PlacementResult.OVER_BUDGET)
NOT_ISSUING = PlacementReply(PlacementResult.NOT_ISSUING)
WAIT = PlacementReply(PlacementResult.WAIT)


class AdmissionService:
    """The permits, repeats and places of one registry's process."""

    def __init__(
        self,
        settings: Settings,
        backends: BackendTable,
        loop: asyncio.AbstractEventLoop,
        incarnation: int,
        age: Age,
        lend_from: Lend,
    ) -> None:
        """`age`: of what is known as decided; `lend_from`: asks another registry for permits."""
        self.loop, self.age = loop, age
        self.authority = IssuingAuthority(settings.ip)
        self.places = PlacementService(settings.zones, backends, loop)
        self.quotas = QuotaService(settings, loop, incarnation, self.authority, age, lend_from)
        bound = settings.bound
        slack = REGISTRY_SLACK_SHARE * bound("retry_slack", 50.0)
        self.repeats = RetryBudgets(
            bound("retry_ratio", 0.2), bound("retry_window_s", 10.0), slack, loop.time()
        )

    def quick(self, peer: str, kind: str, body: Any) -> Any:
        """The answer to a call that needs no waiting; `DEFERRED` for all others."""
        if kind == "ended":
            self.places.ended(peer, ReservationEnd.decode(body))
            return None
        if kind == "place":
            reply = self._place_at_once(peer, PlacementRequest.decode(body))
            return DEFERRED if reply is None else reply.encode()
        return DEFERRED

    def _place_at_once(self, peer: str, request: PlacementRequest) -> PlacementReply | None:
        """None where permits have to be borrowed first."""
        if not request.tenant:
            return self._admitted(peer, request)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._admitted(peer, request)
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING
        if request.is_late or not self.quotas.can_borrow(request.tenant):
            return OVER_QUOTA
        return None

    async def place(self, peer: str, body: Any) -> Any:
        """An ask that found no permit here: one from another registry."""
        request = PlacementRequest.decode(body)
        await self.quotas.borrow(request.tenant)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._admitted(peer, request).encode()
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING.encode()
        return OVER_QUOTA.encode()

    def _admitted(self, peer: str, request: PlacementRequest) -> PlacementReply:
        """What is answered to an ask that is within its quota."""
        now = self.loop.time()
        if not request.is_repeat:
            if not request.is_counted:
                self.repeats.record_request(request.service, now)
        elif not self.repeats.consume(request.service, now, self._sharers(now)):
            return OVER_BUDGET
        placed = self.places.place(peer, request)
        return placed or (NO_BACKEND if request.max_wait_s <= 0 else WAIT)

    def _sharers(self, now: float) -> int:
        """Registries that share the slack of repeats; 0 where we may have no part in it."""
        return self.authority.issuers(now) if self.authority.may_issue(self.age(), now) else 0

    async def wait(self, peer: str, body: Any) -> Any:
        """An ask that found no room; its permit, if it needs one, is claimed."""
        return (await self.places.wait(peer, PlacementRequest.decode(body))).encode()
