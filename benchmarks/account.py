"""The quota account alone, with 3 to 1,000 front doors: the effect of calls to the counter service.

    python -m benchmarks.account                    # a table, some ten seconds
    python -m benchmarks.account --doors 200 --seeds 3 --silent 8:16

An exact simulation of attempts, front doors, accounts and the counter service, without backends: an admitted
attempt takes its units from the store's true quota. Customers and plans are those of a day with 200 front doors:
1,200 requests per second and 1,300 customers of four plans, of whom one in ten requests three to five times its
quota and one in six has spikes; clients retry three times, 140 ms apart. The counter service takes 1,700 calls per
second in three parts, each with a queue of 0.1 s. Fewer front doors have proportionally fewer customers and calls.

Columns: value served within quotas, over what first attempts get with exact quotas; the penalty for units beyond
quotas; the difference of both; the fraction of admitted units beyond quotas; the fraction of refusals whose store
had quota left; attempts per request, calls per attempt, and the fractions of calls rejected and answered after
30 ms.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any, Protocol

from irisdeal.front_door.quota.counter_calls import CallPurpose, CounterCall
from irisdeal.front_door.quota.counter_overload import AdmissionPath, CounterOverload
from irisdeal.front_door.quota.quota_account import QuotaAccount

US_PER_S = 1_000_000
START_US = 1_000_000 * US_PER_S
DAY_DURATION_S = 25.0
# Rate and burst in units, value of a unit, penalty of a unit beyond as a ratio of it, customers, most front doors
# of a customer (0: no limit).
PLANS = (
    (1.0, 6.0, 0.45, 1.2, 532, 0),
    (0.86, 6.0, 0.88, 1.0, 617, 0),
    (3.5, 17.0, 1.1, 1.2, 128, 6),
    (7.6, 14.0, 1.6, 0.5, 60, 0),
)
CLASSES = ((0.85, 1.0, 1.0), (0.15, 3.0, 2.0))  # fraction of the requests, units, value
MAX_ATTEMPTS = 4  # of a client
RETRY_DELAY_US = 140_000
COUNTER_CALLS_PER_S = 1_700.0
COUNTER_PARTS = 3
MAX_QUEUE_US = 100_000  # of one part
NETWORK_DELAY_US = 800  # one way
CALL_TIMEOUT_US = 120_000  # for an answer at a front door
SUM_NAMES = (
    "first",
    "tries",
    "asked",
    "inside",
    "paid",
    "out",
    "beyond",
    "refused",
    "room",
    "calls",
    "away",
    "late",
)


@dataclass
class Store:
    """One customer and the true level of its quota."""

    key: int
    plan: int
    doors: list[int]
    weights: list[float]
    level: float = 0.0
    at: int = START_US

    def refill(self, now: int) -> float:
        rate, burst = PLANS[self.plan][:2]
        self.level = min(burst, self.level + rate * (now - self.at) / US_PER_S)
        self.at = now
        return self.level


@dataclass(eq=False)
class Attempt:
    """One attempt of a client's request; `number` counts from 1."""

    store: Store
    class_index: int
    door: int
    number: int = 1

    @property
    def units(self) -> float:
        return CLASSES[self.class_index][1]

    @property
    def value(self) -> float:
        return CLASSES[self.class_index][1] * CLASSES[self.class_index][2] * PLANS[self.store.plan][2]


class AdmissionPolicy(Protocol):
    """A policy that decides attempts at all front doors."""

    def admit(self, attempt: Attempt, now: int) -> bool | list[CounterCall]:
        """Whether an attempt is admitted, or the counter calls that decide it."""
        ...


class AdmitAll:
    """Admits every attempt."""

    def admit(self, attempt: Attempt, now: int) -> bool | list[CounterCall]:
        return True


class ExactQuota:
    """Decides by the true quota of each store: the upper bound."""

    def admit(self, attempt: Attempt, now: int) -> bool | list[CounterCall]:
        return attempt.store.refill(now) >= attempt.units


class CountedQuota:
    """Decides by the program's quota accounts."""

    def __init__(self, doors: int, rng: random.Random) -> None:
        self.rng, self.accounts = rng, dict[tuple[int, int], QuotaAccount]()
        self.counter_overload = [CounterOverload() for _ in range(doors)]

    def account_of(self, attempt: Attempt, now: int) -> QuotaAccount:
        key, (rate, burst) = (attempt.door, attempt.store.key), PLANS[attempt.store.plan][:2]
        if key not in self.accounts:
            self.accounts[key] = QuotaAccount(attempt.store.key, rate, burst, len(attempt.store.doors), now)
        return self.accounts[key]

    def admit(self, attempt: Attempt, now: int) -> bool | list[CounterCall]:
        account = self.account_of(attempt, now)
        account.record_demand(attempt.units, now)
        if account.rejects_without_call(now, self.rng.random()):
            return False
        way = self.counter_overload[attempt.door].admission_path(attempt.number > 1, self.rng.random())
        if way is AdmissionPath.CLAIM:
            return [account.claim(attempt.units, now, self.rng.random())]
        return account.admit_locally(attempt.units, now) if way is AdmissionPath.LOCAL else False


@dataclass
class Day:
    """One simulated day; the figures are sums over it."""

    doors: int
    seed: int
    silent: tuple[float, float] = (0.0, 0.0)
    per_s: float = COUNTER_CALLS_PER_S
    sums: dict[str, float] = field(default_factory=lambda: dict.fromkeys(SUM_NAMES, 0.0))

    def __post_init__(self) -> None:
        self.rng, self.totals, self.number = random.Random(self.seed), dict[int, float](), 0
        self.free_at = [0] * COUNTER_PARTS
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        for plan, (rate, burst, _, _, count, max_doors) in enumerate(PLANS):
            for _ in range(max(1, round(count * self.doors / 200))):
                spread = self.rng.randint(max(2, self.doors // 2), max(3, self.doors))
                door_count = min(self.doors, max_doors or spread)
                first, skew = self.rng.randrange(self.doors), self.rng.uniform(0.35, 1.1)
                weights = list(accumulate(1.0 / (n + 1) ** skew for n in range(door_count)))
                store = Store(
                    self.rng.getrandbits(33) * 4 + plan,
                    plan,
                    [(first + n) % self.doors for n in range(door_count)],
                    weights,
                    burst,
                )
                for begin, end, times in self._draw_phases():
                    self._schedule_attempts(store, begin, end, times * rate)
        self._compute_reference()

    def _draw_phases(self) -> list[tuple[float, float, float]]:
        """Phases of a customer: start and end in s, and its requests as a multiple of its rate."""
        kind, normal_rate = self.rng.random(), self.rng.uniform(0.22, 0.45)
        if kind < 0.16:
            return [(0.0, DAY_DURATION_S, self.rng.uniform(0.8, 0.97))]
        if kind < 0.26:
            begin = self.rng.uniform(0.0, DAY_DURATION_S / 2)
            return [(0.0, begin, normal_rate), (begin, DAY_DURATION_S, self.rng.uniform(2.7, 4.8))]
        phases, last, begin = [], 0.0, self.rng.uniform(0.0, 14.0)
        while kind < 0.43 and begin < DAY_DURATION_S:
            end = min(DAY_DURATION_S, begin + self.rng.uniform(0.6, 3.2))
            phases += [(last, begin, normal_rate), (begin, end, self.rng.uniform(2.9, 7.6))]
            last, begin = end, end + self.rng.uniform(14.0, 25.0)
        return [*phases, (last, DAY_DURATION_S, normal_rate)]

    def _schedule_attempts(self, store: Store, begin: float, end: float, rate: float) -> None:
        mean = sum(share * units for share, units, _ in CLASSES)
        while (begin := begin + self.rng.expovariate(rate / mean)) < end:
            class_index = int(self.rng.random() < CLASSES[1][0])
            door = self.rng.choices(store.doors, cum_weights=store.weights)[0]
            self.at(START_US + int(begin * US_PER_S), self._on_attempt, Attempt(store, class_index, door))
            self.sums["first"] += 1

    def _compute_reference(self) -> None:
        """Sum the value that first attempts get with exact quotas, without retries."""
        levels: dict[int, tuple[float, int]] = {}
        for now, _, _, (attempt,) in sorted(self.events, key=lambda step: step[:2]):
            rate, burst = PLANS[attempt.store.plan][:2]
            level, at = levels.get(attempt.store.key, (burst, START_US))
            level = min(burst, level + rate * (now - at) / US_PER_S)
            if level >= attempt.units:
                level -= attempt.units
                self.sums["asked"] += attempt.value
            levels[attempt.store.key] = level, now

    def at(self, when: int, kind: Callable[..., None], *subject: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, kind, subject))

    def play(self, policy: AdmissionPolicy) -> dict[str, float]:
        self.policy = policy
        while self.events:
            self.now, _, kind, subject = heapq.heappop(self.events)
            kind(*subject)
        return self.sums

    def _on_attempt(self, attempt: Attempt) -> None:
        self.sums["tries"] += 1
        self._on_decision(attempt, self.policy.admit(attempt, self.now))

    def _on_decision(self, attempt: Attempt, decision: bool | list[CounterCall]) -> None:
        if isinstance(decision, list):
            for call in decision:
                self._on_call(attempt, call)
            return
        has_room = attempt.store.refill(self.now) >= attempt.units
        if decision:
            self.sums["out"] += attempt.units
            if has_room:
                attempt.store.level -= attempt.units
                self.sums["inside"] += attempt.value
            else:
                self.sums["beyond"] += attempt.units
                self.sums["paid"] += attempt.value * PLANS[attempt.store.plan][3]
            return
        self.sums["refused"] += 1
        self.sums["room"] += has_room
        if attempt.number < MAX_ATTEMPTS:
            door = self.rng.choices(attempt.store.doors, cum_weights=attempt.store.weights)[0]
            self.at(
                self.now + RETRY_DELAY_US,
                self._on_attempt,
                Attempt(attempt.store, attempt.class_index, door, attempt.number + 1),
            )

    def _on_call(self, attempt: Attempt, call: CounterCall) -> None:
        """Simulate the counter service: parts by counter name, each with one queue."""
        self.sums["calls"] += 1
        if self.silent[0] <= (self.now - START_US) / US_PER_S < self.silent[1]:
            return self.at(self.now + CALL_TIMEOUT_US, self._on_timeout, attempt, call)
        part, service = (
            call.name % COUNTER_PARTS,
            int(COUNTER_PARTS / self.per_s * US_PER_S * 200 / self.doors),
        )
        begin = max(self.now + NETWORK_DELAY_US, self.free_at[part])
        if begin - self.now > MAX_QUEUE_US:
            self.sums["away"] += 1
            return self.at(self.now + 2 * NETWORK_DELAY_US, self._on_rejection, attempt, call)
        self.free_at[part] = begin + service
        self.totals[call.name] = total = float(f"{self.totals.get(call.name, 0.0) + call.amount:.7g}")
        self.sums["late"] += begin + service + NETWORK_DELAY_US - self.now > 30_000
        self.at(begin + service + NETWORK_DELAY_US, self._on_answer, attempt, call, total)

    def _on_answer(self, attempt: Attempt, call: CounterCall, total: float) -> None:
        assert isinstance(self.policy, CountedQuota)
        self.policy.counter_overload[attempt.door].answered()
        holds, calls = self.policy.account_of(attempt, self.now).counter_answered(call, total, self.now)
        self._on_decision(attempt, calls)
        if holds is not None and call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._on_decision(attempt, holds)

    def _on_rejection(self, attempt: Attempt, call: CounterCall) -> None:
        assert isinstance(self.policy, CountedQuota)
        self.policy.counter_overload[attempt.door].rejected()
        if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._on_decision(attempt, False)

    def _on_timeout(self, attempt: Attempt, call: CounterCall) -> None:
        assert isinstance(self.policy, CountedQuota)
        self.policy.counter_overload[attempt.door].unanswered()
        if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._on_decision(
                attempt, self.policy.account_of(attempt, self.now).admit_locally(attempt.units, self.now)
            )


POLICIES: dict[str, Callable[[int, int], AdmissionPolicy]] = {
    "all let in": lambda doors, seed: AdmitAll(),
    "counted": lambda doors, seed: CountedQuota(doors, random.Random(seed)),
    "known at once": lambda doors, seed: ExactQuota(),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--doors", type=int, nargs="+", default=[40, 200, 1000])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument(
        "--calls",
        type=float,
        default=COUNTER_CALLS_PER_S,
        help="counter calls per second, at 200 front doors",
    )
    parser.add_argument(
        "--silent", default="0:0", help="FROM:TO, seconds of the day without answers of the counter service"
    )
    args = parser.parse_args()
    begin, _, end = args.silent.partition(":")
    print(f"{'doors':>6} {'way':<14} served  paid  both beyond  room tries/r calls/t  away  late")
    for doors in args.doors:
        for name, way in POLICIES.items():
            sums = dict.fromkeys(SUM_NAMES, 0.0)
            for seed in range(1, args.seeds + 1):
                day = Day(doors, seed, (float(begin), float(end)), args.calls)
                for key, value in day.play(way(doors, seed)).items():
                    sums[key] += value
            refused, calls = max(1.0, sums["refused"]), max(1.0, sums["calls"])
            served, paid = sums["inside"] / sums["asked"], sums["paid"] / sums["asked"]
            print(
                f"{doors:6} {name:<14} {served:6.3f} {paid:5.3f} {served - paid:5.3f}"
                f" {sums['beyond'] / sums['out']:6.3f} {sums['room'] / refused:5.2f}"
                f" {sums['tries'] / sums['first']:7.2f} {sums['calls'] / sums['tries']:7.2f}"
                f" {sums['away'] / calls:5.2f} {sums['late'] / calls:5.2f}"
            )


if __name__ == "__main__":
    main()
