"""Admission of attempts: a permit of the tenant, a retry of the budget, and a backend, in one call of a proxy.

One call asks for all three, so a request costs one round trip to the registry.
"""

from __future__ import annotations

import asyncio

from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.issuer import ClaimResult
from irisdeal.ratelimit.retry_budget import REGISTRY_SLACK_SHARE, RetryBudgets
from irisdeal.registry import call_kinds
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.messages import PlacementReply, PlacementRequest, PlacementResult, ReservationEnd
from irisdeal.registry.placement_service import NO_BACKEND, PlacementService
from irisdeal.registry.quota_service import Age, Lend, QuotaService
from irisdeal.rpc.server import DEFERRED
from irisdeal.runtime.settings import Settings

# Defaults of a deployment's bounds of retries
RETRY_RATIO = 0.2  # retries for each request of a service
RETRY_WINDOW_S = 10.0  # over which requests are counted
RETRY_SLACK = 50.0  # retries beyond the ratio, over all registries

OVER_QUOTA = PlacementReply(PlacementResult.OVER_QUOTA)
OVER_BUDGET = PlacementReply(PlacementResult.OVER_BUDGET)
NOT_ISSUING = PlacementReply(PlacementResult.NOT_ISSUING)
WAIT = PlacementReply(PlacementResult.WAIT)


class AdmissionService:
    """The permits, retry budgets and placements of one registry's process."""

    def __init__(
        self,
        settings: Settings,
        backends: BackendTable,
        loop: asyncio.AbstractEventLoop,
        incarnation: int,
        age: Age,
        lend_from: Lend,
    ) -> None:
        """`age`: of the store's state that is known here; `lend_from`: asks another registry for permits."""
        self.loop, self.age = loop, age
        self.authority = IssuingAuthority(settings.ip)
        self.placements = PlacementService(settings.zones, backends, loop)
        self.quotas = QuotaService(settings, loop, incarnation, self.authority, age, lend_from)
        bound = settings.bound
        slack = REGISTRY_SLACK_SHARE * bound("retry_slack", RETRY_SLACK)
        ratio, window_s = bound("retry_ratio", RETRY_RATIO), bound("retry_window_s", RETRY_WINDOW_S)
        self.retry_budgets = RetryBudgets(ratio, window_s, slack, loop.time())

    def answer_at_once(self, caller: str, kind: str, body: object) -> object:
        """Answer a call that needs no waiting; `DEFERRED` for all others."""
        if kind == call_kinds.END_RESERVATION:
            self.placements.end(caller, ReservationEnd.decode(body))
            return None
        if kind == call_kinds.RESERVE:
            reply = self._admit_at_once(caller, PlacementRequest.decode(body))
            return DEFERRED if reply is None else reply.encode()
        return DEFERRED

    def _admit_at_once(self, caller: str, request: PlacementRequest) -> PlacementReply | None:
        """None where permits have to be borrowed first."""
        if not request.tenant:
            return self._assign(caller, request)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._assign(caller, request)
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING
        if request.is_late or not self.quotas.can_borrow(request.tenant):
            return OVER_QUOTA
        return None

    async def borrow_and_admit(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Admit a request that found no permit here, with one of another registry."""
        await self.quotas.borrow(request.tenant)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._assign(caller, request)
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING
        return OVER_QUOTA

    def _assign(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Place a request that is within its quota."""
        now = self.loop.time()
        if not request.is_repeat:
            if not request.is_counted:
                self.retry_budgets.record_request(request.service, now)
        elif not self.retry_budgets.consume(request.service, now, self._budget_sharers(now)):
            return OVER_BUDGET
        reply = self.placements.reserve(caller, request)
        return reply or (NO_BACKEND if request.max_wait_s <= 0 else WAIT)

    def _budget_sharers(self, now: float) -> int:
        """Registries that share the slack of the retry budgets; 0 where this one may have no part in it."""
        return self.authority.issuers(now) if self.authority.may_issue(self.age(), now) else 0
