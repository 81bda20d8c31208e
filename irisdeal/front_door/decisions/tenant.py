"""A customer as one gateway knows it: its bound, what is known of its total, and its part of the ceiling."""

from __future__ import annotations

import math
from typing import Any

from irisdeal.front_door.decisions.interface import Arrival, Settings
from irisdeal.front_door.queueing.fair_queue import Flow
from irisdeal.front_door.quota.quota_account import QuotaAccount

FADING_SHARE, FADING_TIMEOUTS = 0.4, 50  # fading interval: of the time a burst lasts; else counter time-outs
PERIOD = 8  # fading intervals that one name holds; a new name starts from what was last known
OWN_ROOM = 1.4  # even parts of a quota that an untold customer gets
FEW, NEAR = 3.0, 0.5  # requests too few to tell a change; of its room: from here a total is asked for sooner
FEW_WAYS = 8  # gateways: each of more sees too little to reckon by, and claims try by try
SECOND = 1_000_000


class Customer:
    """A customer's share here: bound and queue, what is known of its total, and its part of the ceiling."""

    def __init__(self, event: Arrival, settings: Settings, now: int, born: int, share: float) -> None:
        self.key, self.ways = event.customer * len(settings.plans) + event.plan, max(1, event.gateways)
        self.plan = plan = settings.plans[event.plan]
        self.held: list[Flow[Any]] = []  # its queues that its bound or ceiling keeps from being served
        self.out, self.waiting, self.store_at, self.asked_at = 0, 0, now, now
        self.bound, self.left = max(1, plan.open_limit // self.ways) if plan.open_limit else 0, plan.burst
        self.small = self.ways > plan.open_limit  # floors of one sum past the cap: the chance keeps it
        # The interval fades: the total weighs what was asked by e**-(age / fading).
        burst = FADING_SHARE * plan.burst / plan.rate * SECOND if plan.rate else 0.0
        self.fading = max(burst, FADING_TIMEOUTS * max(1, settings.counter_timeout))
        room = max(1.0, plan.burst or plan.open_limit)  # alone, few requests must tell: over a longer time
        self.own_fading = self.fading * max(1.0, self.ways / room)
        self.period = int(min(50 * SECOND, PERIOD * self.fading))
        self.phase = event.customer * 2654435761 % 2**32 * self.period // 2**32  # no bunching
        self.mine = self.owed = 0.0  # asked here, fading; asked here and not yet told
        self.total = self.mine_then = self.raw = self.base = self.credit = 0.0
        self.told_at, self.told_index, self.looks_at, self.since = -1, -1, 0, 0
        self.account = (
            QuotaAccount(self.key, plan.rate, plan.burst, self.ways, now)
            if (settings.counter and plan.rate and settings.gateways > FEW_WAYS)
            else None
        )
        # An even part; a start may be a restart: half of our slack, and what has flowed in since, is ours.
        part = share * ((settings.rank - event.first_gateway) % settings.gateways < self.ways) / self.ways
        self.ceiling_rate, self.ceiling_most = plan.ceiling_rate * part / SECOND, plan.ceiling_depth * part
        self.store = min(self.ceiling_most, plan.ceiling_slack * part / 2 + self.ceiling_rate * (now - born))

    def refill(self, now: int) -> float:  # what the ceiling's part holds, and what all have left of the burst
        flown, self.store_at = now - self.store_at, now
        self.store = min(self.ceiling_most, self.store + self.ceiling_rate * flown)
        self.left = min(self.plan.burst, self.left + self.plan.rate * flown / SECOND)
        return self.store

    def resize(self, times: float, now: int) -> None:  # its part of the ceiling is so many times as much
        self.store = self.refill(now) * min(1.0, times)  # what is given away is gone, what comes flows in
        self.ceiling_rate, self.ceiling_most = self.ceiling_rate * times, self.ceiling_most * times

    def take(self, units: float, weight: float) -> None:
        """A first attempt is sent on; the others send as many times ours as they ask."""
        self.store -= units if self.plan.ceiling_rate else 0.0
        times = self.guess(weight) * self.own_fading / max(1e-9, self.mine * self.fading)
        self.left = max(-self.plan.burst / 2, self.left - units * min(2.0 * self.ways, max(1.0, times)))

    def ask(self, weight: float, now: int) -> None:
        self.mine = self.mine * math.exp((self.asked_at - now) / self.own_fading) + weight
        # What is told late weighs as if it had been told at once, or an outage would end in a heap.
        self.owed = self.owed * math.exp((self.asked_at - now) / self.fading) + weight
        self.asked_at = now

    def split(self, here: float, total: float) -> None:  # the local bound from the demand of all gateways
        cap = self.plan.open_limit
        bound = here + (cap - total) / self.ways if total < cap else cap * here / total
        self.bound = max(1, int(bound + 1e-4))

    def guess(self, weight: float) -> float:
        """The total by now: as last told, scaled as the part here has changed since; untold, from here."""
        if self.told_at < 0:
            return self.mine * self.ways * self.fading / self.own_fading / OWN_ROOM
        still = FEW * weight
        return self.total * (self.mine + still) / (self.mine_then + still)

    def hear(self, total: float, index: int, room: float, now: int) -> None:
        """Take in a told total; what its name does not hold yet, or has lost, is filled up from before."""
        start = index * self.period + self.phase
        if index != self.told_index or total < self.raw * 0.999:
            self.base, self.since = (self.total, self.told_at) if self.told_at >= 0 else (NEAR * room, start)
        self.total = total * math.exp((start - now) / self.fading)
        self.total += self.base * math.exp((self.since - now) / self.fading)
        if self.told_at < 0 < self.plan.ceiling_rate:  # no restart amid a flood: half of our part is safe
            flood = self.total * SECOND / self.fading / self.plan.ceiling_rate
            self.store = max(self.store, self.ceiling_most * (0.5 - flood))
        self.raw, self.told_index, self.told_at, self.mine_then = total, index, now, self.mine
