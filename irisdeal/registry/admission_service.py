"""Admission of attempts: the tenant's permit, the retry budget and the choice of a backend.

A proxy gets all three with one call, so a request costs one round trip to the registry.
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
from irisdeal.registry.quota_service import BorrowFrom, QuotaService, StateAge
from irisdeal.rpc.server import DEFERRED
from irisdeal.runtime.settings import Settings

# Defaults of the retry limits in a deployment's `bounds`
DEFAULT_RETRY_RATIO = 0.2  # retries per request of a service
DEFAULT_RETRY_WINDOW_S = 10.0  # sliding window over which requests and retries are counted
DEFAULT_RETRY_SLACK_COUNT = 50.0  # retries allowed in addition to the ratio, over all registries

OVER_QUOTA = PlacementReply(PlacementResult.OVER_QUOTA)
OVER_BUDGET = PlacementReply(PlacementResult.OVER_BUDGET)
NOT_ISSUING = PlacementReply(PlacementResult.NOT_ISSUING)
WAIT = PlacementReply(PlacementResult.WAIT)


class AdmissionService:
    """The permits, retry budgets and placements of one registry process."""

    def __init__(
        self,
        settings: Settings,
        backends: BackendTable,
        loop: asyncio.AbstractEventLoop,
        incarnation: int,
        state_age_s: StateAge,
        borrow_from: BorrowFrom,
    ) -> None:
        """`state_age_s`: returns the age of the store state held here; `borrow_from`: calls another registry."""
        self.loop, self.state_age_s = loop, state_age_s
        self.authority = IssuingAuthority(settings.ip)
        self.placements = PlacementService(settings.zones, backends, loop)
        self.quotas = QuotaService(settings, loop, incarnation, self.authority, state_age_s, borrow_from)
        bound = settings.bound
        slack = REGISTRY_SLACK_SHARE * bound("retry_slack", DEFAULT_RETRY_SLACK_COUNT)
        ratio, window_s = (
            bound("retry_ratio", DEFAULT_RETRY_RATIO),
            bound("retry_window_s", DEFAULT_RETRY_WINDOW_S),
        )
        self.retry_budgets = RetryBudgets(ratio, window_s, slack, loop.time())

    def answer_at_once(self, caller: str, kind: str, body: object) -> object:
        """Answer a call that does not have to wait; return `DEFERRED` for any other call."""
        if kind == call_kinds.END_RESERVATION:
            self.placements.end(caller, ReservationEnd.decode(body))
            return None
        if kind == call_kinds.RESERVE:
            reply = self._admit_at_once(caller, PlacementRequest.decode(body))
            return DEFERRED if reply is None else reply.encode()
        return DEFERRED

    def _admit_at_once(self, caller: str, request: PlacementRequest) -> PlacementReply | None:
        """Admit a request without waiting; return None if permits must be borrowed first."""
        if not request.tenant:
            return self._reserve(caller, request)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._reserve(caller, request)
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING
        if request.is_late or not self.quotas.can_borrow(request.tenant):
            return OVER_QUOTA
        return None

    async def borrow_and_admit(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Admit a request for which this registry has no permit, after borrowing from another registry."""
        await self.quotas.borrow(request.tenant)
        match self.quotas.claim(request.tenant, request.is_late):
            case ClaimResult.GRANTED:
                return self._reserve(caller, request)
            case ClaimResult.NOT_ISSUING:
                return NOT_ISSUING
        return OVER_QUOTA

    def _reserve(self, caller: str, request: PlacementRequest) -> PlacementReply:
        """Check the retry budget of a request within its quota, and reserve a backend for it."""
        now = self.loop.time()
        if not request.is_repeat:
            if not request.is_counted:
                self.retry_budgets.record_request(request.service, now)
        elif not self.retry_budgets.consume(request.service, now, self._slack_sharer_count(now)):
            return OVER_BUDGET
        reply = self.placements.reserve(caller, request)
        return reply or (NO_BACKEND if request.max_wait_s <= 0 else WAIT)

    def _slack_sharer_count(self, now: float) -> int:
        """Return how many registries share the slack of the retry budgets; 0 if this one gets no share."""
        return self.authority.issuers(now) if self.authority.may_issue(self.state_age_s(), now) else 0
