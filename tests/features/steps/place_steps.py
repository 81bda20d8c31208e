"""Proxies, registries and backends on one clock.

The queue at a backend is computed here, not by the program.
"""

from __future__ import annotations

import heapq
import random
from typing import Any

from behave import given, then, when

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice
from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.placement.load_reports import TELL, LoadReports
from irisdeal.placement.placer import Placer

WORK = 0.09  # s, mean


class Ground:
    """Registries and doors by zone; backends serve `capacity` at once, in order of coming."""

    def __init__(self, doors: int, asked: float, seed: int) -> None:
        self.chance = random.Random(seed)
        self.zones = [f"z{number}" for number in range(4)]
        self.placers = {zone: Placer(dict.fromkeys(self.zones, "r"), self.chance) for zone in self.zones}
        self.loads = {zone: LoadReports() for zone in self.zones}
        self.doors = [(f"d{number}", self.zones[number % 4]) for number in range(doors)]
        self.incarnations = [(f"i{number}", self.zones[number % 4]) for number in range(37)]
        self.own_choices = {door: BackendChoice(self.chance) for door, _ in self.doors}
        self.views = {
            door: {
                id_: Backend(id_, "s", ("", 0), zone, int(zone != home), 2, 0.0)
                for id_, zone in self.incarnations
            }
            for door, home in self.doors
        }
        for placer in self.placers.values():
            for id_, zone in self.incarnations:
                placer.know(id_, "s", zone, 2, 0.0)
        self.rate = asked * 37 * 2 / WORK
        self.there = {id_: 0 for id_, _ in self.incarnations}
        self.free_at = {id_: [0.0, 0.0] for id_, _ in self.incarnations}
        self.poor: set[str] = set()
        self.got: list[tuple[float, str]] = []
        self.queued = 0

    def play(self, until: float, alone: bool) -> None:
        """Asks at random doors; each ends when its backend is through with it."""
        events: list[tuple[float, int, Any]] = []
        at, number = 0.0, 0
        while (at := at + self.chance.expovariate(self.rate)) < until:
            heapq.heappush(events, (at, number := number + 1, self._alone if alone else self._ask))
        for step in range(int((until + 5) / TELL)):
            heapq.heappush(events, (step * TELL, number := number + 1, self._tell))
        while events:
            now, _, act = heapq.heappop(events)
            for end, call in act(now) or ():
                heapq.heappush(events, (end, number := number + 1, call))

    def _work(self, id_: str, now: float) -> float:
        """When a request that comes now is through; counts the queue that it finds."""
        self.queued += self.there[id_] >= 2
        self.there[id_] += 1
        self.got.append((now, id_))
        slots = self.free_at[id_]
        begin = max(now, min(slots))
        slots[slots.index(min(slots))] = end = begin + self.chance.lognormvariate(-0.125, 0.5) * WORK
        return end

    def _ask(self, now: float) -> list[tuple[float, Any]]:
        door, zone = self.chance.choice(self.doors)
        placed = self.placers[zone].place(door, zone, "s", WORK, (), now, now + 9, False)
        assert placed is not None
        number, backend, _ = placed

        def ended(then_: float) -> None:
            self.there[backend.id] -= 1
            how = (
                AttemptResult.POOR
                if backend.id in self.poor and self.chance.random() < 0.5
                else AttemptResult.GOOD
            )
            self.placers[zone].ended(door, number, how, (then_ - now) / WORK, then_)

        return [(self._work(backend.id, now), ended)]

    def _alone(self, now: float) -> list[tuple[float, Any]]:
        door, _ = self.chance.choice(self.doors)
        own_choice, view = self.own_choices[door], self.views[door]
        backend = own_choice.choose(view.values(), WORK, now)
        assert backend is not None
        own_choice.record_start(backend, now)

        def ended(then_: float) -> None:
            self.there[backend.id] -= 1
            own_choice.record_end(backend, now)

        return [(self._work(backend.id, now), ended)]

    def _tell(self, now: float) -> None:
        for zone, placer in self.placers.items():
            for other in self.zones:
                if other != zone:
                    self.loads[other].hear(zone, placer.sums(), now)
            placer.others(self.loads[zone].total(now))


@given(
    "{doors:d} doors in 4 zones with a registry each, 37 backends of 2 slots, "
    "{percent:g} percent of them asked "
    "for, seed {seed:d}"
)
def _(context: Any, doors: int, percent: float, seed: int) -> None:
    context.ground = Ground(doors, percent / 100, seed)


@when("doors ask their registry for places for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.ground.play(seconds, alone=False)


@when("doors choose by themselves for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.ground.play(seconds, alone=True)


@then("under {percent:g} percent of the requests find a queue at their backend")
def _(context: Any, percent: float) -> None:
    ground = context.ground
    assert ground.queued < len(ground.got) * percent / 100, (ground.queued, len(ground.got))


@then("over {percent:g} percent of the requests find a queue at their backend")
def _(context: Any, percent: float) -> None:
    ground = context.ground
    assert ground.queued > len(ground.got) * percent / 100, (ground.queued, len(ground.got))


@then("no registry has a place left when all have ended")
def _(context: Any) -> None:
    for placer in context.ground.placers.values():
        assert not placer.places and not placer.sums()


@when("a door that has {count:d} places loses its connection")
def _(context: Any, count: int) -> None:
    placer = context.ground.placers["z0"]
    for _ in range(count):
        placer.place("d0", "z0", "s", WORK, (), 6.0, 9.0, False)
    assert sum(placer.sums().values()) == count
    context.services = placer.leave("d0")


@then("no registry has a place of that door")
def _(context: Any) -> None:
    assert context.services == {"s"}
    assert not context.ground.placers["z0"].sums() and not context.ground.placers["z0"].places


@when("one door tells that {count:d} attempts failed")
def _(context: Any, count: int) -> None:
    placer = context.ground.placers["z0"]
    for step in range(count):
        placed = placer.place("d0", "z0", "s", WORK, (), step * 0.01, 99.0, False)
        assert placed is not None
        placer.ended("d0", placed[0], AttemptResult.FAILED, 1.0, step * 0.01)


@then("at most {count:d} backends are left out for it")
def _(context: Any, count: int) -> None:
    left = [b for b in context.ground.placers["z0"].backends.values() if b.ejected_until > 0.3]
    assert 1 <= len(left) <= count, len(left)


@when("a backend answers every second request with 500 for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.ground.poor.add("i0")
    context.ground.play(seconds, alone=False)


@then("it got under a third of what the others of its zone got in the last {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    ground = context.ground
    late = [id_ for at, id_ in ground.got if at > 20 - seconds]
    others = [id_ for id_, zone in ground.incarnations if zone == "z0" and id_ != "i0"]
    assert late.count("i0") < sum(map(late.count, others)) / len(others) / 3, late.count("i0")


@given("a registry at which {many:d} of rank 2 and 1 of rank 1 wait for room, and one of rank 0 that gave up")
def _(context: Any, many: int) -> None:
    context.placer = placer = Placer({}, random.Random(1))
    for number in range(many):
        placer.wait("s", 2, f"two {number}")
    placer.wait("s", 0, "gone")
    placer.wait("s", 1, "one")
    placer.wait_no_more("s", "gone")


@then("the one of rank 1 goes first and the one that gave up never")
def _(context: Any) -> None:
    order = [context.placer.next("s") for _ in range(5)]
    assert order == ["one", "two 0", "two 1", "two 2", None], order
