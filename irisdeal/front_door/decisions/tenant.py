"""A customer as one gateway knows it: its bound, what is known of its total, and its part of the ceiling."""

from __future__ import annotations

import math
from typing import Any

from irisdeal.front_door.decisions.interface import RequestArrived, Settings
from irisdeal.front_door.queueing.fair_queue import Flow
from irisdeal.front_door.quota.quota_account import QuotaAccount

FADING_SHARE, FADING_TIMEOUTS = 0.4, 50  # fading interval: of the time a burst lasts; else counter time-outs
PERIOD = 8  # fading intervals that one name holds; a new name starts from what was last known
OWN_ROOM = 1.4  # even parts of a quota that an untold customer gets
FEW, NEAR = 3.0, 0.5  # requests too few to tell a change; of its room: from here a total is asked for sooner
MAX_ESTIMATING_GATEWAYS = 8  # gateways: each of more sees too little to reckon by, and claims try by try
SECOND = 1_000_000


class Tenant:
    """A customer's share here: bound and queue, what is known of its total, and its part of the ceiling."""

    def __init__(self, event: RequestArrived, settings: Settings, now: int, born: int, share: float) -> None:
        self.key, self.gateway_count = (
            event.account_id * len(settings.plans) + event.plan_index,
            max(1, event.gateway_count),
        )
        self.plan = plan = settings.plans[event.plan_index]
        self.blocked_flows: list[
            Flow[Any]
        ] = []  # its queues that its bound or ceiling keeps from being served
        self.in_flight, self.queued, self.refilled_at, self.last_request_at = 0, 0, now, now
        self.max_in_flight, self.burst_left = (
            max(1, plan.max_in_flight // self.gateway_count) if plan.max_in_flight else 0,
            plan.burst,
        )
        self.has_more_gateways_than_slots = (
            self.gateway_count > plan.max_in_flight
        )  # floors of one sum past the cap: the chance keeps it
        # The interval fades: the total weighs what was asked by e**-(age / fading).
        burst = FADING_SHARE * plan.burst / plan.rate_per_s * SECOND if plan.rate_per_s else 0.0
        self.decay_us = max(burst, FADING_TIMEOUTS * max(1, settings.counter_timeout_us))
        room = max(1.0, plan.burst or plan.max_in_flight)  # alone, few requests must tell: over a longer time
        self.local_decay_us = self.decay_us * max(1.0, self.gateway_count / room)
        self.name_period_us = int(min(50 * SECOND, PERIOD * self.decay_us))
        self.phase_us = event.account_id * 2654435761 % 2**32 * self.name_period_us // 2**32  # no bunching
        self.local_demand = self.unreported_demand = 0.0  # asked here, fading; asked here and not yet told
        self.total_demand = self.local_demand_at_total = self.counter_total = self.base_demand = (
            self.admission_credit
        ) = 0.0
        self.total_known_at, self.name_index, self.next_unblock_at, self.base_demand_at = -1, -1, 0, 0
        self.quota_account = (
            QuotaAccount(self.key, plan.rate_per_s, plan.burst, self.gateway_count, now)
            if (settings.has_counter and plan.rate_per_s and settings.gateway_count > MAX_ESTIMATING_GATEWAYS)
            else None
        )
        # An even part; a start may be a restart: half of our slack, and what has flowed in since, is ours.
        part = (
            share
            * ((settings.rank - event.first_gateway) % settings.gateway_count < self.gateway_count)
            / self.gateway_count
        )
        self.ceiling_rate_per_us, self.ceiling_capacity = (
            plan.ceiling_rate_per_s * part / SECOND,
            plan.ceiling_depth * part,
        )
        self.ceiling_tokens = min(
            self.ceiling_capacity, plan.ceiling_slack * part / 2 + self.ceiling_rate_per_us * (now - born)
        )

    def refill(self, now: int) -> float:  # what the ceiling's part holds, and what all have left of the burst
        flown, self.refilled_at = now - self.refilled_at, now
        self.ceiling_tokens = min(
            self.ceiling_capacity, self.ceiling_tokens + self.ceiling_rate_per_us * flown
        )
        self.burst_left = min(self.plan.burst, self.burst_left + self.plan.rate_per_s * flown / SECOND)
        return self.ceiling_tokens

    def scale_ceiling(
        self, times: float, now: int
    ) -> None:  # its part of the ceiling is so many times as much
        self.ceiling_tokens = self.refill(now) * min(
            1.0, times
        )  # what is given away is gone, what comes flows in
        self.ceiling_rate_per_us, self.ceiling_capacity = (
            self.ceiling_rate_per_us * times,
            self.ceiling_capacity * times,
        )

    def charge_attempt(self, units: float, weight: float) -> None:
        """A first attempt is sent on; the others send as many times ours as they ask."""
        self.ceiling_tokens -= units if self.plan.ceiling_rate_per_s else 0.0
        times = (
            self.estimated_total(weight) * self.local_decay_us / max(1e-9, self.local_demand * self.decay_us)
        )
        self.burst_left = max(
            -self.plan.burst / 2, self.burst_left - units * min(2.0 * self.gateway_count, max(1.0, times))
        )

    def record_demand(self, weight: float, now: int) -> None:
        self.local_demand = (
            self.local_demand * math.exp((self.last_request_at - now) / self.local_decay_us) + weight
        )
        # What is told late weighs as if it had been told at once, or an outage would end in a heap.
        self.unreported_demand = (
            self.unreported_demand * math.exp((self.last_request_at - now) / self.decay_us) + weight
        )
        self.last_request_at = now

    def set_max_in_flight(
        self, here: float, total: float
    ) -> None:  # the local bound from the demand of all gateways
        cap = self.plan.max_in_flight
        bound = here + (cap - total) / self.gateway_count if total < cap else cap * here / total
        self.max_in_flight = max(1, int(bound + 1e-4))

    def estimated_total(self, weight: float) -> float:
        """The total by now: as last told, scaled as the part here has changed since; untold, from here."""
        if self.total_known_at < 0:
            return self.local_demand * self.gateway_count * self.decay_us / self.local_decay_us / OWN_ROOM
        still = FEW * weight
        return self.total_demand * (self.local_demand + still) / (self.local_demand_at_total + still)

    def record_total(self, total: float, index: int, room: float, now: int) -> None:
        """Take in a told total; what its name does not hold yet, or has lost, is filled up from before."""
        start = index * self.name_period_us + self.phase_us
        if index != self.name_index or total < self.counter_total * 0.999:
            self.base_demand, self.base_demand_at = (
                (self.total_demand, self.total_known_at) if self.total_known_at >= 0 else (NEAR * room, start)
            )
        self.total_demand = total * math.exp((start - now) / self.decay_us)
        self.total_demand += self.base_demand * math.exp((self.base_demand_at - now) / self.decay_us)
        if (
            self.total_known_at < 0 < self.plan.ceiling_rate_per_s
        ):  # no restart amid a flood: half of our part is safe
            flood = self.total_demand * SECOND / self.decay_us / self.plan.ceiling_rate_per_s
            self.ceiling_tokens = max(self.ceiling_tokens, self.ceiling_capacity * (0.5 - flood))
        self.counter_total, self.name_index, self.total_known_at, self.local_demand_at_total = (
            total,
            index,
            now,
            self.local_demand,
        )
