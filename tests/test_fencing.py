"""What a process holds for others ends with its term: stills, changes of the list, lost lends."""

from __future__ import annotations

import asyncio
import contextlib
import random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st

from irisdeal.ratelimit.interval_counter import NOUGHT, Counter
from irisdeal.ratelimit.interval_clock import LENGTH
from irisdeal.ratelimit.tokens import START, Rule, Tokens, share
from irisdeal.gauge.desk import STILL, Desk
from irisdeal.gauge.registry import Registry
from irisdeal.isobar.answers import OVER_QUOTA
from irisdeal.mast.settings import Settings
from irisdeal.squall.fleet import Fleet
from irisdeal.synoptic.pulse import Pulse
from irisdeal.synoptic.terms import Terms

WHOLE = 1.01  # of the rate: sums of parts are rounded


def most_parts(fault: Any, seed: int, since: float, until: float, flood: bool = True) -> float:
    """The largest sum of the parts in force between two moments of a day with this fault."""
    fleet = Fleet(8, 3, 30, seed)
    fleet.load(0, 12, 0.62)
    fleet.load(12, 24, 9 if flood else 0.62)
    fault(fleet)
    fleet.play(since)
    most, now = 0.0, since
    while now < until:
        now += 0.05
        fleet.play(now)
        most = max(most, fleet.parts())
    assert fleet.most(5.0) <= fleet.allowed(5.0)
    return most


def still(since: float, until: float) -> Any:
    return lambda fleet: fleet.freeze_gauges(since, 1, until)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("since", "until"), [(14.1, 18.1), (8.6, 12.6), (13.0, 14.4)])
def test_one_that_stood_still_has_no_part_before_the_others_have_cut_one_for_it(
    seed: int, since: float, until: float,
) -> None:
    assert most_parts(still(since, until), seed, until, until + 4) <= WHOLE


def test_a_part_without_a_fence_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: it goes on with what it held. A total that it finishes first voids it as well."""
    monkeypatch.setattr(Tokens, "void", lambda self, now: None)
    monkeypatch.setattr(Desk, "_is_fenced", lambda self: False)
    found = [most_parts(still(since, until), seed, until, until + 4) > 1.05
             for seed in range(8) for since, until in ((14.1, 18.1), (8.6, 12.6))]
    assert sum(found) >= 4


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("since", "until"), [(12.5, 20.0), (11.6, 32.0), (14.2, 40.0)])
def test_parts_sum_to_one_while_registries_do_not_hear_each_other(
    seed: int, since: float, until: float,
) -> None:
    """A cut as a flood begins: neither side sees the other's demand rise."""
    fleet = Fleet(8, 3, 30, seed)
    fleet.load(0, 12, 0.62)
    fleet.load(12, until + 3, 9)
    fleet.part_gauges(since, 1, until)
    now = since
    while now < until + 3:
        fleet.play(now)
        now += 0.25
        assert fleet.parts() <= 1.08  # last totals in common may be of two intervals
    assert fleet.most(5.0) <= fleet.allowed(5.0)


def test_a_side_of_a_cut_that_takes_all_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: parts by the last sums of those that are silent."""
    def part(self: Counter, tenant: str, rate: float, many: int) -> float:
        own, demand = self.total.own.get(tenant, NOUGHT)[5], self.total.figures.get(tenant, NOUGHT)[5]
        return share(own, demand, rate, LENGTH, many)

    monkeypatch.setattr(Counter, "part", part)
    fleet = Fleet(8, 4, 30, 1)
    fleet.load(0, 12, 0.62)
    fleet.load(12, 35, 9)
    fleet.part_gauges(12.5, 1, 32.5)
    fleet.play(35)
    assert fleet.most(5.0) > 1.3 * fleet.allowed(5.0)


def test_what_fell_silent_is_taken_over_with_its_doors() -> None:
    """A registry is killed: its doors ask others, which have its part within three intervals."""
    fleet = Fleet(8, 3, 30, 2)
    fleet.load(0, 24, 9)
    fleet.kill_gauges(14.1, 1, 23.0)
    fleet.play(14.1 + 4 * LENGTH)
    assert fleet.parts() > 0.95


@pytest.mark.parametrize("seed", range(4))
def test_parts_are_over_one_for_two_intervals_at_most_when_a_registry_joins_in_a_flood(seed: int) -> None:
    def join(fleet: Any) -> None:
        fleet.add_gauge(14.2, 1.0)

    assert most_parts(join, seed, 14.2, 15.0) <= 1.25 + 0.01  # what one that starts has
    assert most_parts(join, seed, 15.05, 18) <= WHOLE


@pytest.mark.parametrize("seed", range(4))
def test_on_a_usual_day_parts_are_over_one_for_an_interval_at_most_when_a_registry_joins(seed: int) -> None:
    def join(fleet: Any) -> None:
        fleet.add_gauge(9.2, 1.0)

    assert most_parts(join, seed, 9.2, 10.0, flood=False) <= 1.25 + 0.01  # parts of 4 beside those of 3
    assert most_parts(join, seed, 10.05, 14, flood=False) <= WHOLE


def test_one_knows_that_it_stood_still_by_the_steady_clock_alone() -> None:
    pulse = Pulse(1.2, 5.0)
    assert not pulse.beat(6.0) and not pulse.beat(7.1) and pulse.beat(11.2) == pytest.approx(4.1)
    assert not pulse.beat(11.3)


def test_terms_only_rise_and_are_shared_by_who_knows_the_same() -> None:
    terms = Terms()
    assert terms.hear(3) and not terms.hear(2) and terms.change == 3
    assert terms.is_shared(3) and not terms.is_shared(2) and not terms.is_shared(4)
    assert terms.is_news(2) and not terms.is_news(2) and terms.is_news(4)


def settings(ip: str) -> Settings:
    return Settings(node_name="g", role="gauge", ip=ip, zone="z", port_range=(1, 9), seed_peers=())


class Pair:
    """Two registries of a core of two, one tenant, on one clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.loop: Any = SimpleNamespace(time=lambda: self.now, create_future=lambda: SimpleNamespace(
            set_result=lambda value: None))
        self.meanwhile: Any = lambda: None  # between the lend and its answer
        self.answer_lost = False
        self.desks = [self._desk(number) for number in (0, 1)]

    def _desk(self, number: int) -> Desk:
        async def lend(ip: str, ask: list[Any]) -> Any:
            told = self.desks[int(ip[1:])].lend(*ask)
            self.meanwhile()
            return None if self.answer_lost else told

        desk = Desk(settings(f"g{number}"), Registry(1.5), self.loop, lend, lambda: 2)
        desk.limits = {"t": (60.0, 60.0)}
        desk.born = 0.0
        return desk

    def run(self, seconds: float) -> None:
        """Intervals go by; the first asks for all."""
        until = self.now + seconds
        while self.now < until:
            number = self.desks[0].edge.number(self.now)
            self.desks[0].count("d#1", 0.0, number - 1, {"t": [40.0, 0.0, 0.0, 0.0, 0.0, 0.0]})
            sums = [desk.close(number - 1) for desk in self.desks]
            for mine, other in ((0, 1), (1, 0)):
                self.desks[mine].hear_sum(f"g{other}", *sums[other])
            self.now += LENGTH
            for desk in self.desks:
                desk.finish(number - 1)

    def tokens(self, number: int) -> Tokens:
        return self.desks[number]._tokens("t", self.now)

    def borrow(self) -> float:
        """What the first has more by a borrow."""
        self.tokens(0).tokens = 0.0
        with contextlib.suppress(StopIteration):
            self.desks[0]._borrow("t").send(None)
        return self.tokens(0).tokens


def test_what_is_lent_is_gone_there_and_here_once() -> None:
    pair = Pair()
    pair.run(5)
    had = pair.tokens(1).left(pair.now)
    got = pair.borrow()
    assert got >= 1 and pair.tokens(1).tokens == pytest.approx(had - got)


def test_a_lost_answer_of_a_lend_loses_at_most_half_and_doubles_nothing() -> None:
    pair = Pair()
    pair.run(5)
    pair.answer_lost = True
    had = pair.tokens(1).left(pair.now)
    assert pair.borrow() == 0.0
    assert had / 2 <= pair.tokens(1).tokens < had


def test_tokens_lent_before_one_stood_still_do_not_count() -> None:
    pair = Pair()
    pair.run(5)
    pair.meanwhile = lambda: setattr(pair, "now", pair.now + 4.0)
    assert pair.borrow() == 0.0


@pytest.mark.parametrize(("mine", "theirs"), [(1, 0), (0, 1)])
def test_nothing_is_lent_between_two_lists(mine: int, theirs: int) -> None:
    pair = Pair()
    pair.run(5)
    pair.desks[0].at_change(mine)
    pair.desks[1].at_change(theirs)
    had = pair.tokens(1).left(pair.now)
    assert pair.borrow() == 0.0 and pair.tokens(1).tokens == had
    pair.desks[0].at_change(1)
    pair.desks[1].at_change(1)
    pair.desks[0].denied.clear()
    assert pair.borrow() >= 1.0


def test_what_is_lent_under_a_list_that_changed_on_the_way_does_not_count() -> None:
    pair = Pair()
    pair.run(5)
    pair.meanwhile = lambda: pair.desks[0].at_change(1)
    assert pair.borrow() == 0.0


def test_one_that_stood_still_gives_no_token_no_lend_and_no_total_until_a_newer_one() -> None:
    pair = Pair()
    pair.run(5)
    pair.now += STILL + 0.1
    ask = ["z", "s", 0.1, [], 0, 0.0, 1.0, "t", True, False, []]  # late ones borrow nothing
    assert pair.desks[0].quick("d#1", "place", [*ask[:9], True, []]) == OVER_QUOTA
    assert pair.tokens(0).share == pair.tokens(0).tokens == 0.0
    assert pair.desks[1].lend("t", 9.0, 0) == [0.0, 0]
    assert pair.desks[0].count("d#1", 0.0, -1, {"t": list(NOUGHT)})[2] == -1
    number = pair.desks[0].edge.number(pair.now)
    pair.desks[0].finish(number - 1)  # of before its waking
    assert pair.tokens(0).share == 0.0
    pair.run(1.5)
    assert pair.tokens(0).share > 0.9
    assert pair.desks[0].count("d#1", 0.0, -1, {"t": list(NOUGHT)})[2] >= number


def test_what_is_borrowed_without_a_part_is_under_what_one_that_starts_has() -> None:
    rule = Rule()
    tokens = Tokens(rule, 60.0, 60.0, 2, 99.0, 0.0)
    tokens.void(4.0)
    assert tokens.left(5.0) == 0.0
    wanted = tokens.wants(100.0, 5.0)
    assert 1.0 <= wanted <= START * 0.5 * rule.depth(60.0, 60.0) + 1e-9
    tokens.void(9.0)
    assert tokens.wants(100.0, 9.0) == wanted  # a second time in a row adds nothing


@trying(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.integers(2, 5))
def test_no_order_of_lends_losses_and_stills_makes_tokens(seed: int, many: int) -> None:
    """Whatever runs in a window stays under depths and rates, with what one that wakes may borrow."""
    chance, rule = random.Random(seed), Rule()
    all_ = [Tokens(rule, 50.0, 50.0, many, 99.0, 0.0) for _ in range(many)]
    now, ran, voids = 0.0, 0, 0
    start = sum(tokens.tokens for tokens in all_)
    while now < 5.0:
        now += 0.004 * chance.random()
        one, other = chance.sample(all_, 2)
        match chance.randrange(12):
            case 0:
                got = other.lend(one.wants(20.0, now), now)
                if chance.random() < 0.7:  # else its answer is lost
                    one.borrow(got)
            case 1 if chance.random() < 0.01:
                one.void(now)
                voids += 1
            case _:
                ran += one.claim(now)
    assert ran <= start + rule.refill(50.0, 50.0) * now + many + voids * START * rule.depth(50.0, 50.0)


def test_a_borrow_in_flight_is_dropped_with_its_registry() -> None:
    """Cancelled midway, it holds up nobody who waits for the same tokens."""
    async def play() -> bool:
        loop = asyncio.get_running_loop()
        async def never(ip: str, ask: list[Any]) -> Any:
            await loop.create_future()

        desk = Desk(settings("g0"), Registry(1.5), loop, never, lambda: 2)
        desk.limits = {"t": (60.0, 60.0)}
        desk.hear_sum("g1", 0.0, 0, {"t": [0.0, 0.0, 9.0, 0.0, 0.0, 0.0]}, [], 2)
        first = asyncio.ensure_future(desk._borrow("t"))
        await asyncio.sleep(0)
        second = asyncio.ensure_future(desk._borrow("t"))
        await asyncio.sleep(0)
        assert desk.borrowing
        first.cancel()
        await second
        return not desk.borrowing

    assert asyncio.run(play())


def test_one_that_starts_is_not_taken_for_one_that_stood_still() -> None:
    """It has START of its depth at once, and is not told that it has none."""
    pair = Pair()
    assert pair.tokens(0).tokens >= START * 0.5 * Rule().depth(60.0, 60.0) - 1e-9
    assert pair.tokens(0).share == 0.5
