"""Proxies, registries and backends on one virtual clock. The queues at backends are computed here."""

from __future__ import annotations

import heapq
import random
from typing import Any

from behave import given, then, when

from irisdeal.load_balancing.backend_choice import Backend, BackendChoice
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.placement.load_reports import REPORT_INTERVAL_S, LoadReports
from irisdeal.placement.placer import Placer
from irisdeal.registry.messages import PlacementRequest

MEAN_WORK_S = 0.09


def placement_request(zone: str) -> PlacementRequest:
    """Return the request for an attempt of a proxy in this zone."""
    return PlacementRequest(zone, "s", MEAN_WORK_S, (), 0, 0.0, 9.0)


class Deployment:
    """Registries and proxies by zone; each backend serves two requests concurrently, in order of arrival."""

    def __init__(self, proxies: int, utilization: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.zones = [f"z{number}" for number in range(4)]
        self.placers = {zone: Placer(dict.fromkeys(self.zones, "r"), self.rng) for zone in self.zones}
        self.loads = {zone: LoadReports() for zone in self.zones}
        self.proxies = [(f"d{number}", self.zones[number % 4]) for number in range(proxies)]
        self.incarnations = [(f"i{number}", self.zones[number % 4]) for number in range(37)]
        self.own_choices = {proxy: BackendChoice(self.rng) for proxy, _ in self.proxies}
        self.views = {
            proxy: {
                id_: Backend(id_, "s", ("", 0), zone, int(zone != home), 2, 0.0)
                for id_, zone in self.incarnations
            }
            for proxy, home in self.proxies
        }
        for placer in self.placers.values():
            for id_, zone in self.incarnations:
                placer.add(id_, "s", zone, 2, 0.0)
        self.rate = utilization * 37 * 2 / MEAN_WORK_S
        self.in_flight = {id_: 0 for id_, _ in self.incarnations}
        self.free_at = {id_: [0.0, 0.0] for id_, _ in self.incarnations}
        self.failing: set[str] = set()
        self.received: list[tuple[float, str]] = []
        self.queued = 0

    def play(self, until: float, by_proxies: bool) -> None:
        """Play attempts of random proxies; `by_proxies`: the proxies choose backends without registries."""
        events: list[tuple[float, int, Any]] = []
        at, number = 0.0, 0
        while (at := at + self.rng.expovariate(self.rate)) < until:
            heapq.heappush(
                events, (at, number := number + 1, self._attempt_by_proxy if by_proxies else self._attempt)
            )
        for step in range(int((until + 5) / REPORT_INTERVAL_S)):
            heapq.heappush(events, (step * REPORT_INTERVAL_S, number := number + 1, self._report))
        while events:
            now, _, act = heapq.heappop(events)
            for end, call in act(now) or ():
                heapq.heappush(events, (end, number := number + 1, call))

    def _work(self, id_: str, now: float) -> float:
        """Return when a request that arrives now is finished; count it if it is queued."""
        self.queued += self.in_flight[id_] >= 2
        self.in_flight[id_] += 1
        self.received.append((now, id_))
        slots = self.free_at[id_]
        begin = max(now, min(slots))
        slots[slots.index(min(slots))] = end = begin + self.rng.lognormvariate(-0.125, 0.5) * MEAN_WORK_S
        return end

    def _attempt(self, now: float) -> list[tuple[float, Any]]:
        proxy, zone = self.rng.choice(self.proxies)
        reserved = self.placers[zone].reserve(proxy, placement_request(zone), now, now + 9, False)
        assert reserved is not None
        number, backend, _ = reserved

        def ended(ended_at: float) -> None:
            self.in_flight[backend.id] -= 1
            result = (
                AttemptResult.SERVER_ERROR
                if backend.id in self.failing and self.rng.random() < 0.5
                else AttemptResult.SUCCESS
            )
            self.placers[zone].end_reservation(
                proxy, number, result, (ended_at - now) / MEAN_WORK_S, ended_at
            )

        return [(self._work(backend.id, now), ended)]

    def _attempt_by_proxy(self, now: float) -> list[tuple[float, Any]]:
        proxy, _ = self.rng.choice(self.proxies)
        own_choice, view = self.own_choices[proxy], self.views[proxy]
        backend = own_choice.choose(view.values(), MEAN_WORK_S, now)
        assert backend is not None
        own_choice.record_start(backend, now)

        def ended(ended_at: float) -> None:
            self.in_flight[backend.id] -= 1
            own_choice.record_end(backend, now)

        return [(self._work(backend.id, now), ended)]

    def _report(self, now: float) -> None:
        for zone, placer in self.placers.items():
            for other in self.zones:
                if other != zone:
                    self.loads[other].record(zone, placer.in_flight(), now)
            placer.update_elsewhere(self.loads[zone].total(now))


@given(
    "{proxies:d} proxies in 4 zones with a registry each, 37 backends of 2 slots, "
    "{percent:g} percent utilization, "
    "seed {seed:d}"
)
def _(context: Any, proxies: int, percent: float, seed: int) -> None:
    context.deployment = Deployment(proxies, percent / 100, seed)


@when("proxies request placements from their registry for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.deployment.play(seconds, by_proxies=False)


@when("proxies choose by themselves for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.deployment.play(seconds, by_proxies=True)


@then("under {percent:g} percent of the requests are queued at their backend")
def _(context: Any, percent: float) -> None:
    deployment = context.deployment
    assert deployment.queued < len(deployment.received) * percent / 100, (
        deployment.queued,
        len(deployment.received),
    )


@then("over {percent:g} percent of the requests are queued at their backend")
def _(context: Any, percent: float) -> None:
    deployment = context.deployment
    assert deployment.queued > len(deployment.received) * percent / 100, (
        deployment.queued,
        len(deployment.received),
    )


@then("no registry has a reservation left when all have ended")
def _(context: Any) -> None:
    for placer in context.deployment.placers.values():
        assert not placer.reservations and not placer.in_flight()


@when("a proxy that has {count:d} reservations loses its connection")
def _(context: Any, count: int) -> None:
    placer = context.deployment.placers["z0"]
    for _ in range(count):
        placer.reserve("d0", placement_request("z0"), 6.0, 9.0, False)
    assert sum(placer.in_flight().values()) == count
    context.services = placer.disconnect("d0")


@then("no registry has a reservation of that proxy")
def _(context: Any) -> None:
    assert context.services == {"s"}
    assert (
        not context.deployment.placers["z0"].in_flight() and not context.deployment.placers["z0"].reservations
    )


@when("one proxy reports that {count:d} attempts failed")
def _(context: Any, count: int) -> None:
    placer = context.deployment.placers["z0"]
    for step in range(count):
        reserved = placer.reserve("d0", placement_request("z0"), step * 0.01, 99.0, False)
        assert reserved is not None
        placer.end_reservation("d0", reserved[0], AttemptResult.FAILED, 1.0, step * 0.01)


@then("at most {count:d} backends are ejected for it")
def _(context: Any, count: int) -> None:
    backends = context.deployment.placers["z0"].backends.values()
    ejected = [backend for backend in backends if backend.ejected_until > 0.3]
    assert 1 <= len(ejected) <= count, len(ejected)


@when("a backend answers every second request with 500 for {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.deployment.failing.add("i0")
    context.deployment.play(seconds, by_proxies=False)


@then("it receives under a third of the requests of the others of its zone in the last {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    deployment = context.deployment
    late = [id_ for at, id_ in deployment.received if at > 20 - seconds]
    others = [id_ for id_, zone in deployment.incarnations if zone == "z0" and id_ != "i0"]
    assert late.count("i0") < sum(map(late.count, others)) / len(others) / 3, late.count("i0")


@given("a registry with {many:d} waiting requests of rank 2, one of rank 1, and a cancelled one of rank 0")
def _(context: Any, many: int) -> None:
    context.placer = placer = Placer({}, random.Random(1))
    for number in range(many):
        placer.waiting.push("s", 2, f"two {number}")
    placer.waiting.push("s", 0, "gone")
    placer.waiting.push("s", 1, "one")
    placer.waiting.cancel("s", "gone")


@then("the one of rank 1 is dequeued first and the cancelled one never")
def _(context: Any) -> None:
    order = [context.placer.waiting.pop("s") for _ in range(5)]
    assert order == ["one", "two 0", "two 1", "two 2", None], order
