"""Local state of a tenant, an account under one plan: limits, known total demand and share of the ceiling."""

from __future__ import annotations

import math
from typing import Any

from irisdeal.front_door.decisions.interface import RequestArrived, Settings
from irisdeal.front_door.queueing.fair_queue import Flow
from irisdeal.front_door.quota.quota_account import HASH_MULTIPLIER, HASH_RANGE, QuotaAccount

# Time constant of the total demand: a share of the time that a burst lasts, at least so many timeouts.
DECAY_BURST_RATIO = 0.4
DECAY_MIN_COUNTER_TIMEOUTS = 50
NAME_PERIOD_DECAYS = 8  # time constants that one counter name covers; a new one starts from the last total
MAX_NAME_PERIOD_S = 50
UNKNOWN_TOTAL_SHARES = 1.4  # even shares of the quota that a tenant may use while its total is unknown
MIN_CHANGE_REQUESTS = 3.0  # fewer requests do not show that the demand has changed
NEAR_CAPACITY_RATIO = 0.5  # of the capacity, from which on totals are requested more often
LOST_COUNTER_RATIO = 0.999  # of the last total: a lower one means that the counter was lost
MAX_ESTIMATING_GATEWAYS = 8  # each of more receives too few requests for estimates, and claims for each
LIMIT_ROUNDING = 1e-4  # added before a limit is rounded down
US_PER_S = 1_000_000


class Tenant:
    """A tenant at this gateway: limits and queues, known total demand, and share of the ceiling.

    Demand is in units (plans with a rate) or in slot-seconds, and decays exponentially.
    """

    def __init__(
        self,
        event: RequestArrived,
        settings: Settings,
        now: int,
        gateway_started_at: int,
        ceiling_share: float,
    ) -> None:
        self.key = event.account_id * len(settings.plans) + event.plan_index
        self.gateway_count = max(1, event.gateway_count)
        self.plan = plan = settings.plans[event.plan_index]
        self.blocked_flows: list[Flow[Any]] = []  # by the limit on requests in flight, or by the ceiling
        self.in_flight = 0
        self.queued = 0
        self.refilled_at = now
        self.last_request_at = now
        # This gateway's limit; 0 means none.
        self.local_max_in_flight = (
            max(1, plan.max_in_flight // self.gateway_count) if plan.max_in_flight else 0
        )
        self.burst_left = plan.burst
        # One slot at each gateway would exceed the plan's limit: requests are also rejected by probability.
        self.has_more_gateways_than_slots = self.gateway_count > plan.max_in_flight
        # Demand of a given age counts e**-(age / decay_us) in the total.
        burst = DECAY_BURST_RATIO * plan.burst / plan.rate_per_s * US_PER_S if plan.rate_per_s else 0.0
        self.decay_us = max(burst, DECAY_MIN_COUNTER_TIMEOUTS * max(1, settings.counter_timeout_us))
        # With few requests at each gateway, the local demand is averaged over a longer time.
        capacity = max(1.0, plan.burst or plan.max_in_flight)
        self.local_decay_us = self.decay_us * max(1.0, self.gateway_count / capacity)
        self.name_period_us = int(min(MAX_NAME_PERIOD_S * US_PER_S, NAME_PERIOD_DECAYS * self.decay_us))
        # Tenants change names at different times.
        self.phase_us = event.account_id * HASH_MULTIPLIER % HASH_RANGE * self.name_period_us // HASH_RANGE
        self.local_demand = 0.0
        self.unreported_demand = 0.0  # not yet added to the counter
        self.total_demand = 0.0  # over all gateways, as of `total_known_at`
        self.local_demand_at_total = 0.0  # at `total_known_at`
        self.counter_total = 0.0  # as last read
        self.base_demand = 0.0  # that the current name does not contain, as of `base_demand_at`
        self.admission_credit = 0.0
        self.total_known_at = -1  # -1: unknown
        self.name_index = -1  # of the counter name last read
        self.next_unblock_at = 0
        self.base_demand_at = 0
        self.quota_account = (
            QuotaAccount(self.key, plan.rate_per_s, plan.burst, self.gateway_count, now)
            if (settings.has_counter and plan.rate_per_s and settings.gateway_count > MAX_ESTIMATING_GATEWAYS)
            else None
        )
        # The share is even. As this start may be a restart, the bucket starts with half of this gateway's
        # slack and the refill since the start.
        gateway_offset = (settings.rank - event.first_gateway) % settings.gateway_count
        share = ceiling_share * (gateway_offset < self.gateway_count) / self.gateway_count
        self.ceiling_rate_per_us = plan.ceiling_rate_per_s * share / US_PER_S
        self.ceiling_capacity = plan.ceiling_depth * share
        self.ceiling_tokens = min(
            self.ceiling_capacity,
            plan.ceiling_slack * share / 2 + self.ceiling_rate_per_us * (now - gateway_started_at),
        )

    def refill(self, now: int) -> float:
        """Refill the local share of the ceiling and the burst left over all gateways; return the former."""
        elapsed_us, self.refilled_at = now - self.refilled_at, now
        self.ceiling_tokens = min(
            self.ceiling_capacity, self.ceiling_tokens + self.ceiling_rate_per_us * elapsed_us
        )
        self.burst_left = min(self.plan.burst, self.burst_left + self.plan.rate_per_s * elapsed_us / US_PER_S)
        return self.ceiling_tokens

    def scale_ceiling(self, factor: float, now: int) -> None:
        """Multiply the share of the ceiling; tokens given away are gone, a larger share is empty at first."""
        self.ceiling_tokens = self.refill(now) * min(1.0, factor)
        self.ceiling_rate_per_us, self.ceiling_capacity = (
            self.ceiling_rate_per_us * factor,
            self.ceiling_capacity * factor,
        )

    def charge_attempt(self, units: float, demand: float) -> None:
        """Charge a first attempt; the other gateways are assumed to send in proportion to their demand."""
        self.ceiling_tokens -= units if self.plan.ceiling_rate_per_s else 0.0
        total_to_local = (
            self.estimated_total(demand) * self.local_decay_us / max(1e-9, self.local_demand * self.decay_us)
        )
        self.burst_left = max(
            -self.plan.burst / 2,
            self.burst_left - units * min(2.0 * self.gateway_count, max(1.0, total_to_local)),
        )

    def record_demand(self, demand: float, now: int) -> None:
        """Record a request's demand."""
        self.local_demand = (
            self.local_demand * math.exp((self.last_request_at - now) / self.local_decay_us) + demand
        )
        # Decays before it is reported too: otherwise the totals would jump at the end of a counter outage.
        self.unreported_demand = (
            self.unreported_demand * math.exp((self.last_request_at - now) / self.decay_us) + demand
        )
        self.last_request_at = now

    def set_local_max_in_flight(self, local: float, total: float) -> None:
        """Set this gateway's limit from the mean requests in flight that it and all gateways demand."""
        plan_limit = self.plan.max_in_flight
        limit = (
            local + (plan_limit - total) / self.gateway_count
            if total < plan_limit
            else plan_limit * local / total
        )
        self.local_max_in_flight = max(1, int(limit + LIMIT_ROUNDING))

    def estimated_total(self, demand: float) -> float:
        """Return the total demand: the last one known, scaled by the change of the local demand since.

        While none is known, it is estimated from the local demand. `demand` is that of one request.
        """
        if self.total_known_at < 0:
            return (
                self.local_demand
                * self.gateway_count
                * self.decay_us
                / self.local_decay_us
                / UNKNOWN_TOTAL_SHARES
            )
        margin = MIN_CHANGE_REQUESTS * demand
        return self.total_demand * (self.local_demand + margin) / (self.local_demand_at_total + margin)

    def record_total(self, total: float, index: int, capacity: float, now: int) -> None:
        """Record a counter's total; what a new or lost counter does not contain is added from before."""
        name_start = index * self.name_period_us + self.phase_us
        if index != self.name_index or total < self.counter_total * LOST_COUNTER_RATIO:
            self.base_demand, self.base_demand_at = (
                (self.total_demand, self.total_known_at)
                if self.total_known_at >= 0
                else (NEAR_CAPACITY_RATIO * capacity, name_start)
            )
        self.total_demand = total * math.exp((name_start - now) / self.decay_us)
        self.total_demand += self.base_demand * math.exp((self.base_demand_at - now) / self.decay_us)
        if self.total_known_at < 0 < self.plan.ceiling_rate_per_s:
            # With little demand this gateway was not restarted during a flood: half of its share is safe.
            ceiling_load = self.total_demand * US_PER_S / self.decay_us / self.plan.ceiling_rate_per_s
            self.ceiling_tokens = max(self.ceiling_tokens, self.ceiling_capacity * (0.5 - ceiling_load))
        self.counter_total = total
        self.name_index = index
        self.total_known_at = now
        self.local_demand_at_total = self.local_demand
