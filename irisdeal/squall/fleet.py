"""Doors and registries on one clock: the registries' own desks, the doors' own quotas, words with a way and a loss.

The judge (`most`, `allowed`) counts every window by itself and knows only what ran when. Other ways to hold a quota
run on the same asks and faults, to be measured beside ours (`benchmarks.counted`).
"""

from __future__ import annotations

import heapq
import math
import random
from types import SimpleNamespace
from typing import Any

from irisdeal.ratelimit.interval_clock import LENGTH, Edge
from irisdeal.ratelimit.rate_companion import Quota
from irisdeal.ratelimit.tokens import Rule, Tokens
from irisdeal.gauge.desk import SUM_AT, Desk
from irisdeal.gauge.registry import Registry
from irisdeal.isobar.answers import OVER_QUOTA
from irisdeal.mast.settings import Settings
from irisdeal.telegraph.link import LATER

WAY = 0.0014  # s between two machines
COUNT = 0.4  # s that a door waits for a total, then it asks another registry
LOOK = 0.25  # s between two ticks of a registry
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
        self.deaf: dict[int, float] = {}  # registries that did not answer, until when they are not asked
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
        self.known = [gauges] * gauges  # how long the list of registries is, as each knows it
        self.change = 0  # of the list
        self.lend_lost = self.lend_twice = 0.0  # share of lends whose answer is lost, and that are run twice
        self.desks = [self._desk(number) for number in range(gauges)]
        self.weights = [self.chance.paretovariate(1.2) for _ in range(count)]
        self.doors = [Door(f"d{number}", number % gauges, rate, 0.0) for number in range(count)]
        self.edge = Edge(0.0)
        self.cut: set[int] = set()
        self.down: set[int] = set()
        self.apart: set[int] = set()  # registries that the others do not hear, nor they them; doors reach all
        self.frozen: dict[int, list[tuple[Any, tuple[Any, ...]]]] = {}  # registry -> what waits for it
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
            self.at(LOOK * (gauge + 1) / gauges, self._look, gauge)

    def _desk(self, number: int) -> Desk:
        settings = Settings(
            node_name="g", role="gauge", ip=f"g{number}", zone="z", port_range=(1, 9), seed_peers=())

        async def lend(ip: str, ask: list[Any]) -> Any:
            other = int(ip[1:])
            if (other in self.down or self.way == "no lending" or self.chance.random() < self.loss
                    or not self._hear_each_other(number, other)):
                return None
            if other in self.frozen:
                self.frozen[other].append((self.desks[other].lend, tuple(ask)))
                return None
            if self.lend_twice and self.chance.random() < self.lend_twice:
                self.desks[other].lend(*ask)
            given = self.desks[other].lend(*ask)
            return None if self.lend_lost and self.chance.random() < self.lend_lost else given

        desk = Desk(settings, Registry(1.5), self.loop, lend, lambda: self.known[number])
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

    def _order(self, door: Door) -> list[int]:
        """The registries that this door asks, the nearest first."""
        turn = [(door.home + step) % len(self.desks) for step in range(len(self.desks))]
        return [number for number in turn if number not in self.down]

    def _desk_of(self, door: Door) -> Desk | None:
        """The one to ask now. One that stands still is tried once in a while, and not answered."""
        for number in self._order(door):
            if number not in self.frozen:
                return self.desks[number]
        return None

    def _try_frozen(self, door: Door) -> bool:
        """Whether the nearest stands still and is asked this time: it hears it later, and the door goes on then."""
        number = next(iter(self._order(door)), -1)
        if number not in self.frozen or self.now < door.deaf.get(number, -1.0):
            return False
        door.deaf[number] = self.now + BLIND + DEAF
        self.frozen[number].append((self.desks[number].quick, (door.name, "place", self._body())))
        return True

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
            self.at(self.now + WAY + BLIND * self._try_frozen(door), self._claim, desk, door)
        elif self.now < door.deaf_until:
            self._alone(door)
        else:
            door.deaf_until = self.now + BLIND + DEAF
            self.at(self.now + BLIND, self._alone, door)

    @staticmethod
    def _body() -> list[Any]:
        return ["z", "s", 0.1, [], 0, 0.0, 1.0, "t", False, False, []]

    def _claim(self, desk: Desk, door: Door) -> None:
        ask = self._body()
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
        if (near := self._order(door)[0]) in self.frozen:
            self.frozen[near].append((self.desks[near].count, (
                door.name, self.edge.position(self.now), interval, {"t": word})))
            return self.at(self.now + COUNT, self._counted, desk, door, interval, word)
        self._counted(desk, door, interval, word)

    def _counted(self, desk: Desk, door: Door, interval: int, word: list[float]) -> None:
        _, door.doors, finished, total = desk.count(door.name, self.edge.position(self.now), interval, {"t": word})
        if finished >= 0 and "t" in total:
            asked_, _, left, late_, *_ = total["t"]
            door.quota.told(door.words.get(finished, word)[0], asked_, late_, left, door.doors)

    # A registry

    def _sum(self, gauge: int) -> None:
        self.at(self.now + LENGTH, self._sum, gauge)
        if gauge not in self.down and gauge not in self.frozen:
            self._tell_sum(gauge, self.edge.number(self.now) - 1)

    def _tell_sum(self, gauge: int, interval: int) -> None:
        told = self.desks[gauge].close(interval)
        for other in range(len(self.desks)):
            if (other != gauge and other not in self.down and self.chance.random() >= self.loss
                    and self._hear_each_other(gauge, other)):
                if other in self.frozen:
                    self.frozen[other].append((self.desks[other].hear_sum, (f"g{gauge}", *told)))
                else:
                    self.desks[other].hear_sum(f"g{gauge}", *told)

    def _finish(self, gauge: int) -> None:
        self.at(self.now + LENGTH, self._finish, gauge)
        if gauge not in self.down and gauge not in self.frozen:
            self.desks[gauge].finish(self.edge.number(self.now + 0.01) - 2)

    def _look(self, gauge: int) -> None:
        """The registry's short tick."""
        self.at(self.now + LOOK, self._look, gauge)
        if gauge not in self.down and gauge not in self.frozen:
            self.desks[gauge].look(self.now)

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
        self.desks[gauge].at_change(self.change)  # its store knows it

    def freeze_gauges(self, at: float, count: int, until: float) -> None:
        """They stand still: all that comes waits, and is worked on before anything else once they go on."""
        for gauge in self.chance.sample(range(self.gauges), count):
            self.at(at, self.frozen.setdefault, gauge, [])
            self.at(until, self._thaw, gauge, self.edge.number(at))

    def _thaw(self, gauge: int, interval: int) -> None:
        waited = self.frozen.pop(gauge)
        if self.chance.random() < 0.5:  # which of its timers was next; it comes with the number of then
            self._tell_sum(gauge, interval - 1)
        else:
            self.desks[gauge].finish(interval - 1)
        for act, given in waited:
            act(*given)

    def _hear_each_other(self, one: int, other: int) -> bool:
        return (one in self.apart) == (other in self.apart)

    def part_gauges(self, at: float, count: int, until: float) -> None:
        """They hear each other, and the others each other; doors reach both."""
        for gauge in self.chance.sample(range(self.gauges), count):
            self.at(at, self.apart.add, gauge)
            self.at(until, self.apart.discard, gauge)

    def add_gauge(self, at: float, lag: float) -> None:
        """One more registry, with its part of the doors; the others know of it within `lag` s."""
        self.at(at, self._join, lag, None)

    def replace_gauge(self, at: float, gap: float, lag: float) -> None:
        """One is gone for good; `gap` s later another stands in its place, under another address."""
        gauge = self.chance.randrange(self.gauges)
        self.at(at, self.down.add, gauge)
        self.at(at + gap, self._join, lag, gauge)

    def _join(self, lag: float, instead: int | None) -> None:
        new, before = len(self.desks), self.known[0]
        self.known.append(before + (instead is None))
        self.change += 1
        self.desks.append(self._desk(new))
        self.desks[new].at_change(self.change)
        for gauge in range(new):
            self.at(self.now + lag * self.chance.random(), self._know, gauge, self.known[new], self.change)
        for door in self.doors:
            if door.home == instead or (instead is None and self.chance.random() < 1 / (new + 1)):
                door.home = new
        begun = math.floor(self.now / LENGTH) * LENGTH
        self.at(begun + LENGTH * (1 + SUM_AT), self._sum, new)
        self.at(begun + LENGTH, self._finish, new)
        self.at(self.now + LOOK, self._look, new)

    def _know(self, gauge: int, many: int, change: int) -> None:
        self.known[gauge] = max(self.known[gauge], many)
        self.desks[gauge].at_change(change)

    def cut_off(self, at: float, until: float, share: float) -> None:
        for number in range(len(self.doors)):
            if self.chance.random() < share:
                self.at(at, self.cut.add, number)
                self.at(until, self.cut.discard, number)

    # The judge

    def parts(self) -> float:
        """The sum of the parts of the tenant's rate that are in force at the registries that run."""
        return sum(desk.tokens["t"].share for number, desk in enumerate(self.desks)
                   if "t" in desk.tokens and number not in self.down and number not in self.frozen)

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
