"""The quota account alone, over 3 to 1,000 doors: what the count keeper's time buys.

    python -m benchmarks.account                    # a table, some ten seconds
    python -m benchmarks.account --doors 200 --seeds 3 --silent 8:16

An exact simulation of tries, doors, accounts and the keeper, with no backends: what is let in takes its units
from the store as it is meant. Customers and plans are of the size of a day of 200 doors: 1,200 requests a
second, 1,300 customers of four plans, of whom one in ten asks three to five times its quota and one in six
has spikes; clients try three more times, 140 ms apart. The keeper takes 1,700 calls a second in three parts,
each with a line of 0.1 s. Fewer doors have fewer customers and calls in proportion.

Columns: worth served inside quotas, over what a store known at once would let first tries have; what is paid
for units beyond quotas; the difference of both; units sent on that were beyond; of the refused, those whose
store had room; tries a request, calls a try, and the shares of calls turned away and answered after 30 ms.
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

SECOND = 1_000_000
START = 1_000_000 * SECOND
SECONDS = 25.0
# Rate and burst in units, worth of a unit, what a unit beyond costs of it, customers, doors of each at most.
PLANS = (
    (1.0, 6.0, 0.45, 1.2, 532, 0),
    (0.86, 6.0, 0.88, 1.0, 617, 0),
    (3.5, 17.0, 1.1, 1.2, 128, 6),
    (7.6, 14.0, 1.6, 0.5, 60, 0),
)
CLASSES = ((0.85, 1.0, 1.0), (0.15, 3.0, 2.0))  # share, units, worth
TRIES, PAUSE = 4, 140_000  # a client's tries, µs between them
PER_S, PARTS, LINE, WAY = 1_700.0, 3, 100_000, 800  # calls a second, parts, µs of their lines, µs one way
SILENCE = 120_000  # µs that a door waits for an answer
SUMS = (
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
    """One customer, and its quota as it is meant."""

    key: int
    plan: int
    doors: list[int]
    weights: list[float]
    level: float = 0.0
    at: int = START

    def flow(self, now: int) -> float:
        rate, burst = PLANS[self.plan][:2]
        self.level = min(burst, self.level + rate * (now - self.at) / SECOND)
        self.at = now
        return self.level


@dataclass(eq=False)
class Try:
    store: Store
    kind: int
    door: int
    number: int = 1

    @property
    def units(self) -> float:
        return CLASSES[self.kind][1]

    @property
    def worth(self) -> float:
        return CLASSES[self.kind][1] * CLASSES[self.kind][2] * PLANS[self.store.plan][2]


class Desk(Protocol):
    """A way to decide tries at all doors."""

    def ask(self, one: Try, now: int) -> bool | list[CounterCall]:
        """Whether a try goes out, or the calls that decide it."""
        ...


class All:
    """Lets all in."""

    def ask(self, one: Try, now: int) -> bool | list[CounterCall]:
        return True


class Known:
    """Knows each store at once: the end of the scale."""

    def ask(self, one: Try, now: int) -> bool | list[CounterCall]:
        return one.store.flow(now) >= one.units


class Counted:
    """The program's accounts, decided as the module decides."""

    def __init__(self, doors: int, chance: random.Random) -> None:
        self.chance, self.accounts = chance, dict[tuple[int, int], QuotaAccount]()
        self.crowding = [CounterOverload() for _ in range(doors)]

    def account(self, one: Try, now: int) -> QuotaAccount:
        key, (rate, burst) = (one.door, one.store.key), PLANS[one.store.plan][:2]
        if key not in self.accounts:
            self.accounts[key] = QuotaAccount(one.store.key, rate, burst, len(one.store.doors), now)
        return self.accounts[key]

    def ask(self, one: Try, now: int) -> bool | list[CounterCall]:
        account = self.account(one, now)
        account.record_demand(one.units, now)
        if account.rejects_without_call(now, self.chance.random()):
            return False
        way = self.crowding[one.door].admission_path(one.number > 1, self.chance.random())
        if way is AdmissionPath.CLAIM:
            return [account.claim(one.units, now, self.chance.random())]
        return account.admit_locally(one.units, now) if way is AdmissionPath.LOCAL else False


@dataclass
class Day:
    """One day; the figures are sums over it."""

    doors: int
    seed: int
    silent: tuple[float, float] = (0.0, 0.0)
    per_s: float = PER_S
    sums: dict[str, float] = field(default_factory=lambda: dict.fromkeys(SUMS, 0.0))

    def __post_init__(self) -> None:
        self.random, self.names, self.number = random.Random(self.seed), dict[int, float](), 0
        self.free = [0] * PARTS
        self.due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        for plan, (rate, burst, _, _, count, most) in enumerate(PLANS):
            for _ in range(max(1, round(count * self.doors / 200))):
                spread = self.random.randint(max(2, self.doors // 2), max(3, self.doors))
                ways = min(self.doors, most or spread)
                first, skew = self.random.randrange(self.doors), self.random.uniform(0.35, 1.1)
                weights = list(accumulate(1.0 / (n + 1) ** skew for n in range(ways)))
                store = Store(
                    self.random.getrandbits(33) * 4 + plan,
                    plan,
                    [(first + n) % self.doors for n in range(ways)],
                    weights,
                    burst,
                )
                for begin, end, times in self._spells():
                    self._arrive(store, begin, end, times * rate)
        self._reference()

    def _spells(self) -> list[tuple[float, float, float]]:
        """What a customer asks from when to when, in times of its rate."""
        what, usual = self.random.random(), self.random.uniform(0.22, 0.45)
        if what < 0.16:
            return [(0.0, SECONDS, self.random.uniform(0.8, 0.97))]
        if what < 0.26:
            begin = self.random.uniform(0.0, SECONDS / 2)
            return [(0.0, begin, usual), (begin, SECONDS, self.random.uniform(2.7, 4.8))]
        spells, last, begin = [], 0.0, self.random.uniform(0.0, 14.0)
        while what < 0.43 and begin < SECONDS:
            end = min(SECONDS, begin + self.random.uniform(0.6, 3.2))
            spells += [(last, begin, usual), (begin, end, self.random.uniform(2.9, 7.6))]
            last, begin = end, end + self.random.uniform(14.0, 25.0)
        return [*spells, (last, SECONDS, usual)]

    def _arrive(self, store: Store, begin: float, end: float, rate: float) -> None:
        mean = sum(share * units for share, units, _ in CLASSES)
        while (begin := begin + self.random.expovariate(rate / mean)) < end:
            kind = int(self.random.random() < CLASSES[1][0])
            door = self.random.choices(store.doors, cum_weights=store.weights)[0]
            self.at(START + int(begin * SECOND), self._try, Try(store, kind, door))
            self.sums["first"] += 1

    def _reference(self) -> None:
        """What a store known at once lets first tries have, no try coming again."""
        levels: dict[int, tuple[float, int]] = {}
        for now, _, _, (one,) in sorted(self.due, key=lambda step: step[:2]):
            rate, burst = PLANS[one.store.plan][:2]
            level, at = levels.get(one.store.key, (burst, START))
            level = min(burst, level + rate * (now - at) / SECOND)
            if level >= one.units:
                level -= one.units
                self.sums["asked"] += one.worth
            levels[one.store.key] = level, now

    def at(self, when: int, what: Callable[..., None], *subject: Any) -> None:
        self.number += 1
        heapq.heappush(self.due, (when, self.number, what, subject))

    def play(self, desk: Desk) -> dict[str, float]:
        self.desk = desk
        while self.due:
            self.now, _, what, subject = heapq.heappop(self.due)
            what(*subject)
        return self.sums

    def _try(self, one: Try) -> None:
        self.sums["tries"] += 1
        self._decided(one, self.desk.ask(one, self.now))

    def _decided(self, one: Try, goes: bool | list[CounterCall]) -> None:
        if isinstance(goes, list):
            for call in goes:
                self._call(one, call)
            return
        room = one.store.flow(self.now) >= one.units
        if goes:
            self.sums["out"] += one.units
            if room:
                one.store.level -= one.units
                self.sums["inside"] += one.worth
            else:
                self.sums["beyond"] += one.units
                self.sums["paid"] += one.worth * PLANS[one.store.plan][3]
            return
        self.sums["refused"] += 1
        self.sums["room"] += room
        if one.number < TRIES:
            door = self.random.choices(one.store.doors, cum_weights=one.store.weights)[0]
            self.at(self.now + PAUSE, self._try, Try(one.store, one.kind, door, one.number + 1))

    def _call(self, one: Try, call: CounterCall) -> None:
        """The keeper: parts by name, each with one line."""
        self.sums["calls"] += 1
        if self.silent[0] <= (self.now - START) / SECOND < self.silent[1]:
            return self.at(self.now + SILENCE, self._unanswered, one, call)
        part, service = call.name % PARTS, int(PARTS / self.per_s * SECOND * 200 / self.doors)
        begin = max(self.now + WAY, self.free[part])
        if begin - self.now > LINE:
            self.sums["away"] += 1
            return self.at(self.now + 2 * WAY, self._turned_away, one, call)
        self.free[part] = begin + service
        self.names[call.name] = total = float(f"{self.names.get(call.name, 0.0) + call.amount:.7g}")
        self.sums["late"] += begin + service + WAY - self.now > 30_000
        self.at(begin + service + WAY, self._answered, one, call, total)

    def _answered(self, one: Try, call: CounterCall, total: float) -> None:
        assert isinstance(self.desk, Counted)
        self.desk.crowding[one.door].answered()
        holds, calls = self.desk.account(one, self.now).counter_answered(call, total, self.now)
        self._decided(one, calls)
        if holds is not None and call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._decided(one, holds)

    def _turned_away(self, one: Try, call: CounterCall) -> None:
        assert isinstance(self.desk, Counted)
        self.desk.crowding[one.door].rejected()
        if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._decided(one, False)

    def _unanswered(self, one: Try, call: CounterCall) -> None:
        assert isinstance(self.desk, Counted)
        self.desk.crowding[one.door].unanswered()
        if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
            self._decided(one, self.desk.account(one, self.now).admit_locally(one.units, self.now))


WAYS: dict[str, Callable[[int, int], Desk]] = {
    "all let in": lambda doors, seed: All(),
    "counted": lambda doors, seed: Counted(doors, random.Random(seed)),
    "known at once": lambda doors, seed: Known(),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--doors", type=int, nargs="+", default=[40, 200, 1000])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--calls", type=float, default=PER_S, help="a second, at 200 doors")
    parser.add_argument("--silent", default="0:0", help="from:to, seconds of the day: the keeper is silent")
    given = parser.parse_args()
    begin, _, end = given.silent.partition(":")
    print(f"{'doors':>6} {'way':<14} served  paid  both beyond  room tries/r calls/t  away  late")
    for doors in given.doors:
        for name, way in WAYS.items():
            sums = dict.fromkeys(SUMS, 0.0)
            for seed in range(1, given.seeds + 1):
                day = Day(doors, seed, (float(begin), float(end)), given.calls)
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
