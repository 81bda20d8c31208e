"""Doors and registries on one clock: the registries' own desks, the doors' own quotas, words with a way and a loss.

The judge (`most`, `allowed`) counts every window by itself and knows only what ran when. Other ways to hold a quota
run on the same asks and faults, to be measured beside ours (`benchmarks.counted`).
"""

from __future__ import annotations

import heapq
import random
from types import SimpleNamespace
from typing import Any

from irisdeal.barometer.edge import LENGTH, Edge
from irisdeal.barometer.quota import Quota
from irisdeal.barometer.tokens import Rule, Tokens
from irisdeal.gauge.desk import SUM_AT, Desk
from irisdeal.gauge.registry import Registry
from irisdeal.isobar.answers import OVER_QUOTA
from irisdeal.mast.settings import Settings
from irisdeal.telegraph.link import LATER

WAY = 0.0014  # s between two machines
BLIND = 0.06  # s that a door waits for a registry that says nothing
DEAF = 0.5  # s that it does not ask it again
WAYS = ("tokens", "no lending", "chance", "fixed", "oracle")


class Door:
    """One door: its registry, its word of each interval, its quota."""

    def __init__(self, name: str, home: int, rate: float, now: float) -> None:
        self.name, self.home = name, home
        self.quota = Quota("t", Rule(), rate, rate, now)
        self.words: dict[int, list[float]] = {}
        self.deaf_until = -1.0
        self.doors = 8


class Fleet:
    """`count` doors and `gauges` registries; one tenant of `rate` and burst `rate`."""

    def __init__(self, count: int, gauges: int, rate: float, seed: int, way: str = "tokens") -> None:
        """`way`, one of `WAYS`: ours; without lending; the rate companion alone; a fixed part for each door; one
        exact count for all."""
        self.way = way
        self.chance = random.Random(seed)
        self.now, self.rate, self.gauges = 0.0, rate, gauges
        self.loop: Any = SimpleNamespace(time=lambda: self.now, create_future=lambda: SimpleNamespace(
            set_result=lambda value: None, done=lambda: False))
        self.desks = [self._desk(number) for number in range(gauges)]
        self.weights = [self.chance.paretovariate(1.2) for _ in range(count)]
        self.doors = [Door(f"d{number}", number % gauges, rate, 0.0) for number in range(count)]
        self.edge = Edge(0.0)
        self.cut: set[int] = set()
        self.down: set[int] = set()
        self.loss = 0.0
        self.ran: list[float] = []
        self.asked = self.refused = 0
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.number = 0
        rule = Rule()
        self.exact = [Tokens(rule, rate, rate, 1 if way == "oracle" else count, 9.0, 0.0)
                      for _ in range(1 if way == "oracle" else count)]
        for door in range(count):
            self.at(0.02 + self.chance.random() * 0.12, self._count, door)
        for gauge in range(gauges):
            self.at(SUM_AT * LENGTH, self._sum, gauge)
            self.at(LENGTH, self._finish, gauge)

    def _desk(self, number: int) -> Desk:
        settings = Settings(
            node_name="g", role="gauge", ip=f"g{number}", zone="z", port_range=(1, 9), seed_peers=())

        async def lend(ip: str, tenant: str, wanted: float) -> float:
            other = int(ip[1:])
            if other in self.down or self.way == "no lending" or self.chance.random() < self.loss:
                return 0.0
            return self.desks[other].lend(tenant, wanted)

        desk = Desk(settings, Registry(1.5), self.loop, lend, lambda: self.gauges)
        desk.limits = {"t": (self.rate, self.rate)}
        return desk

    def at(self, at: float, act: Any, *given: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (at, self.number, act, given))

    def load(self, since: float, until: float, times: float) -> None:
        """The tenant asks for `times` its rate, at random doors by their weights."""
        at = since
        while (at := at + self.chance.expovariate(self.rate * times)) < until:
            self.at(at, self._ask, self.chance.choices(range(len(self.doors)), self.weights)[0])

    def play(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            self.now, _, act, given = heapq.heappop(self.events)
            act(*given)

    # A door

    def _desk_of(self, door: Door) -> Desk | None:
        for step in range(self.gauges):
            if (number := (door.home + step) % self.gauges) not in self.down:
                return self.desks[number]
        return None

    def _ask(self, number: int) -> None:
        door = self.doors[number]
        self.asked += 1
        if self.way in ("fixed", "oracle"):
            return self._ended(self.exact[number % len(self.exact)].claim(self.now))
        if not door.quota.ask(self.chance.random()):
            self.refused += 1
            return
        if self.way == "chance":
            return self._ended(True)
        desk = None if number in self.cut else self._desk_of(door)
        if desk is not None:
            self.at(self.now + WAY, self._claim, desk, door)
        elif self.now < door.deaf_until:
            self._alone(door)
        else:
            door.deaf_until = self.now + BLIND + DEAF
            self.at(self.now + BLIND, self._alone, door)

    def _claim(self, desk: Desk, door: Door) -> None:
        ask = ["z", "s", 0.1, [], 0, 0.0, 1.0, "t", False, False, []]
        answer = desk.quick(door.name, "place", ask)
        if answer is LATER:
            try:
                desk.place(door.name, ask).send(None)
            except StopIteration as done:
                answer = done.value
        door.quota.answered()
        self._ended(answer != OVER_QUOTA)

    def _alone(self, door: Door) -> None:
        self._ended(door.quota.claim_alone(self.now, door.doors, self.chance.random()))

    def _ended(self, ran: bool) -> None:
        if ran:
            self.ran.append(self.now)
        else:
            self.refused += 1

    def _count(self, number: int) -> None:
        self.at(self.now + LENGTH, self._count, number)
        door, interval = self.doors[number], self.edge.number(self.now) - 1
        asked, late = door.quota.close()
        door.words[interval] = word = [float(asked), 0.0, 0.0, float(late), door.quota.part, 0.0]
        desk = self._desk_of(door)
        if desk is None or number in self.cut or self.chance.random() < self.loss:
            return
        _, door.doors, finished, total = desk.count(door.name, self.edge.position(self.now), interval, {"t": word})
        if finished >= 0 and "t" in total:
            asked_, _, left, late_, *_ = total["t"]
            door.quota.told(door.words.get(finished, word)[0], asked_, late_, left, door.doors)

    # A registry

    def _sum(self, gauge: int) -> None:
        self.at(self.now + LENGTH, self._sum, gauge)
        if gauge in self.down:
            return
        told = self.desks[gauge].close(self.edge.number(self.now) - 1)
        for other in range(self.gauges):
            if other != gauge and other not in self.down and self.chance.random() >= self.loss:
                self.desks[other].hear_sum(f"g{gauge}", *told)

    def _finish(self, gauge: int) -> None:
        self.at(self.now + LENGTH, self._finish, gauge)
        if gauge not in self.down:
            self.desks[gauge].finish(self.edge.number(self.now + 0.01) - 2)

    # Faults

    def kill(self, at: float, share: float) -> None:
        for number in range(len(self.doors)):
            if self.chance.random() < share:
                self.at(at, self._start_door, number)

    def _start_door(self, number: int) -> None:
        old = self.doors[number]
        for desk in self.desks:
            desk.lost(old.name)
        self.doors[number] = Door(old.name, old.home, self.rate, self.now)

    def kill_gauges(self, at: float, count: int, until: float) -> None:
        for gauge in self.chance.sample(range(self.gauges), count):
            self.at(at, self.down.add, gauge)
            self.at(until, self._start_gauge, gauge)

    def _start_gauge(self, gauge: int) -> None:
        self.down.discard(gauge)
        self.desks[gauge] = self._desk(gauge)

    def cut_off(self, at: float, until: float, share: float) -> None:
        for number in range(len(self.doors)):
            if self.chance.random() < share:
                self.at(at, self.cut.add, number)
                self.at(until, self.cut.discard, number)

    # The judge

    def most(self, window: float) -> int:
        """The most that ran in any window."""
        first = most = 0
        for last, at in enumerate(self.ran):
            while self.ran[first] <= at - window:
                first += 1
            most = max(most, last - first + 1)
        return most

    def allowed(self, window: float) -> float:
        return (self.rate * window + self.rate) * 1.1 + 20
