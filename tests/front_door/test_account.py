"""A customer's account at many doors, against a count keeper in memory that adds and does nothing else."""

import heapq
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.front_door.quota.account import DRAWN_FULL, Account
from irisdeal.front_door.quota.call import Call, Purpose
from irisdeal.front_door.quota.crowding import Crowding, Way

SECOND = 1_000_000
MS = 1_000
START = 1_000_000 * SECOND
Step = tuple[int, int, int, float, Call | None, float | None]


class Keeper:
    """Adds to names, keeps seven digits, forgets a name when its life is up."""

    def __init__(self) -> None:
        self.names, self.calls = dict[int, tuple[float, int]](), 0

    def add(self, call: Call, now: int) -> float:
        self.calls += 1
        total, until = self.names.get(call.name, (0.0, now + call.life))
        if until <= now:
            total, until = 0.0, now + call.life
        total = float(f"{total + call.amount:.7g}")
        self.names[call.name] = (total, until)
        return total


class Store:
    """The quota as it is meant: a store that fills at a rate."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, START

    def take(self, units: float, now: int) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass
class Trouble:
    """What happens to calls: µs on the way at most, shares whose answer is lost, that are added twice."""

    delay: int = 8 * MS
    lost: float = 0.0
    doubled: float = 0.0


@dataclass
class Fleet:
    """One customer at many doors, each with an account of its own."""

    doors: int
    rate: float
    burst: float
    seed: int = 1
    trouble: Trouble = field(default_factory=Trouble)

    def __post_init__(self) -> None:
        self.accounts = [Account(77, self.rate, self.burst, self.doors, START) for _ in range(self.doors)]
        self.keeper, self.store = Keeper(), Store(self.rate, self.burst)
        self.random = random.Random(self.seed)
        self.inside = self.beyond = self.refused = self.asked = 0.0
        self.tries = 0
        self.held: dict[int, float] = {}  # units that were let in by the count, by their slot

    def run(self, tries: list[tuple[int, int, float]]) -> None:
        """Tries by time, door and units, until all are decided."""
        due: list[Step] = [(at, n, door, units, None, 0.0) for n, (at, door, units) in enumerate(tries)]
        heapq.heapify(due)
        number = len(tries)
        while due:
            now, _, door, units, call, total = heapq.heappop(due)
            account, calls = self.accounts[door], list[Call]()
            if call is None:
                self.tries, self.asked = self.tries + 1, self.asked + units
                account.ask(units, now)
                if account.is_vain(now, self.random.random()):
                    self.refused += units
                else:
                    calls = [account.claim(units, now, self.random.random())]
            elif total is None:
                if call.purpose in (Purpose.CLAIM, Purpose.READ):
                    self._decide(account.by_itself(units, now), units, now)
            else:
                holds, calls = account.answered(call, total, now)
                if call.purpose in (Purpose.CLAIM, Purpose.READ) and holds is not None:
                    if holds:
                        self.held[call.index] = self.held.get(call.index, 0.0) + call.quanta * account.quantum
                    self._decide(holds, units, now)
            for made in calls:
                number += 1
                told: float | None = self.keeper.add(made, now)
                if self.random.random() < self.trouble.doubled:
                    told = self.keeper.add(made, now)
                if self.random.random() < self.trouble.lost:
                    told = None
                late = self.random.randrange(MS, self.trouble.delay + 1)
                heapq.heappush(due, (now + late, number, door, units, made, told))

    def _decide(self, goes: bool, units: float, now: int) -> None:
        if not goes:
            self.refused += units
        elif self.store.take(units, now):
            self.inside += units
        else:
            self.beyond += units


def arrivals(
    fleet: Fleet,
    rate: float,
    seconds: float,
    begin: float = 0.0,
    units: float = 1.0,
) -> list[tuple[int, int, float]]:
    """Poisson tries over all doors, `rate` units a second."""
    found, at = [], begin
    while (at := at + fleet.random.expovariate(rate / units)) < begin + seconds:
        found.append((START + int(at * SECOND), fleet.random.randrange(len(fleet.accounts)), units))
    return found


def test_a_door_that_has_heard_nothing_of_a_customer_asks_the_count_and_guesses_nothing() -> None:
    """With 140 doors each sees it once in minutes: a guess refused nine in ten first tries."""
    fleet = Fleet(140, 1.0, 6.0)
    fleet.run(arrivals(fleet, 0.4, 60.0, units=3.0))
    assert fleet.refused <= 0.05 * fleet.asked > 0.0
    assert fleet.beyond <= 0.10 * fleet.asked


@pytest.mark.parametrize("doors", [10, 30, 200, 1000])
@pytest.mark.parametrize("rate", [1.0, 2.0, 7.0])
def test_a_customer_over_its_quota_gets_nearly_all_of_it_and_little_more(rate: float, doors: int) -> None:
    fleet = Fleet(doors, rate, 5 * rate)
    fleet.run(arrivals(fleet, 6 * rate, 60.0))
    whole = rate * 60.0 + 5 * rate
    ahead = fleet.accounts[0].flow(fleet.accounts[0].slot)
    assert fleet.inside >= 0.85 * whole
    assert fleet.beyond <= ahead + 0.05 * whole


def test_a_customer_within_its_quota_is_refused_next_to_nothing() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.8, 120.0))
    assert fleet.refused <= 0.02 * fleet.inside
    assert fleet.beyond <= 0.02 * fleet.inside


@pytest.mark.parametrize("times", [0.3, 0.9, 4.0])
def test_a_try_costs_one_call_and_little_more(times: float) -> None:
    """A claim that is turned away costs no second call, whatever its customer asks."""
    fleet = Fleet(140, 1.0, 6.0)
    fleet.run(arrivals(fleet, times, 120.0, units=1.3))
    assert fleet.keeper.calls <= 1.45 * fleet.tries
    if times > 1:
        assert fleet.keeper.calls <= 1.1 * fleet.tries


def test_a_burst_after_a_long_rest_gets_its_store_and_no_more_than_is_stated() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.4, 55.0) + arrivals(fleet, 30.0, 2.0, begin=55.0))
    flow = fleet.accounts[0].flow(fleet.accounts[0].slot)
    assert fleet.inside >= 22.0 + 10.0
    assert fleet.beyond <= 2 * flow  # it may meet the edge of two slots


def test_a_spent_slot_carries_nothing_into_the_next() -> None:
    fleet = Fleet(1, 2.0, 10.0)
    slot = fleet.accounts[0].slot
    first = fleet.accounts[0].phase + ((START - fleet.accounts[0].phase) // slot + 2) * slot
    for n in range(3):  # all at once as each slot begins
        fleet.run([(first + n * slot + k * 40 * MS, 0, 1.0) for k in range(60)])
    flow = fleet.accounts[0].flow(slot)
    held = sorted(fleet.held.items())
    assert [units for _, units in held] == pytest.approx([10.0 + flow, flow, flow], abs=1.0)


def test_a_request_larger_than_a_slots_flow_does_not_starve() -> None:
    """A claim of three units, where 2.8 flow into a slot and nothing is carried in."""
    fleet = Fleet(100, 1.0, 4.0)
    fleet.run(arrivals(fleet, 6.0, 120.0, units=3.0))
    assert fleet.inside >= 0.8 * 124.0
    assert fleet.inside + fleet.beyond <= 1.2 * 124.0


def test_of_a_spent_slot_the_next_one_is_told_by_one_door() -> None:
    keeper, doors = Keeper(), [Account(5, 2.0, 10.0, 20, START) for _ in range(6)]
    slot, told = doors[0].slot, list[Call]()
    now = doors[0].phase + ((START - doors[0].phase) // slot + 1) * slot + MS
    for door in [*doors, *doors, *doors, *doors]:
        calls = [door.claim(1.0, now, 0.5)]
        while calls:
            call = calls.pop()
            told += [call] if call.purpose is Purpose.CARRY and call.index > doors[0]._index(now) else []
            calls += door.answered(call, keeper.add(call, now), now)[1]
    assert len(told) == 1
    late = doors[0].claim(8.0, now + slot, 0.5)
    holds, calls = doors[0].answered(late, keeper.add(late, now + slot), now + slot)
    assert holds is False and [call.purpose for call in calls] == [Purpose.CARRY]  # known with no READ


def test_where_several_tell_what_is_carried_in_the_mean_counts() -> None:
    keeper, doors = Keeper(), [Account(5, 2.0, 10.0, 20, START) for _ in range(3)]
    slot = doors[0].slot
    now = doors[0].phase + ((START - doors[0].phase) // slot + 1) * slot + MS
    claims = [doors[0].claim(10.0, now, 0.5), doors[1].claim(1.0, now, 0.5)]
    reads = []
    for door, claim in zip(doors, claims, strict=False):
        holds, calls = door.answered(claim, keeper.add(claim, now), now)
        assert holds is None
        reads += [(door, call) for call in calls]
    for door, read in reads:
        holds, [carry] = door.answered(read, keeper.add(read, now), now)
        assert holds and carry.purpose is Purpose.CARRY
        keeper.add(carry, now)
    late = doors[2].claim(1.0, now, 0.5)
    assert doors[2].answered(late, keeper.add(late, now), now) == (True, [])
    assert doors[2].carried == 10.0


def test_of_two_that_tell_different_rests_the_mean_is_carried_in() -> None:
    account, keeper = Account(5, 2.0, 10.0, 20, START), Keeper()
    now = account.phase + ((START - account.phase) // account.slot + 1) * account.slot + MS
    claim = account.claim(1.0, now, 0.5)
    for left in (2.0, 4.0):
        keeper.add(account._tell(claim.index, left), now)
    account.answered(claim, keeper.add(claim, now), now)
    assert account.carried == pytest.approx(3.0)


def test_what_is_given_back_is_room_again_where_it_may_matter() -> None:
    account, keeper = Account(5, 1.0, 4.0, 20, START), Keeper()
    now = START + account.slot - (START - account.phase) % account.slot + MS
    claims = [account.claim(0.6, now, 0.5) for _ in range(3)]
    for claim in claims:
        assert account.answered(claim, keeper.add(claim, now), now) == (True, [])
    [back] = account.give_back(claims[0], now)
    assert back.amount == -claims[0].quanta and account.drawn == pytest.approx(1.2, abs=0.2)
    assert account.give_back(claims[0], now + account.slot) == []  # its slot is over


@pytest.mark.parametrize("doors", [1, 12, 200])
def test_a_flush_lets_no_more_through_than_is_stated(doors: int) -> None:
    fleet = Fleet(doors, 1.0, 6.0)
    slot = fleet.accounts[0].slot
    begin = fleet.accounts[0].phase + ((START - fleet.accounts[0].phase) // slot + 2) * slot
    tries = [(begin + n * 30 * MS, fleet.random.randrange(doors), 1.0) for n in range(80)]  # in one slot
    fleet.run(tries[:40])
    before = fleet.inside + fleet.beyond
    fleet.keeper.names.clear()
    fleet.run(tries[40:])
    assert fleet.inside + fleet.beyond - before <= 6.0 + fleet.accounts[0].flow(slot) + 0.5
    if doors == 1:
        assert fleet.inside + fleet.beyond == before  # it knew that the slot was drawn


def test_what_a_door_knew_of_a_slot_stands_when_its_count_is_lost() -> None:
    account, keeper = Account(5, 1.0, 6.0, 20, START), Keeper()
    now = account.phase + ((START - account.phase) // account.slot + 1) * account.slot + MS
    spent = [account.claim(2.5, now, 0.5), account.claim(1.0, now, 0.5)]
    assert account.answered(spent[0], keeper.add(spent[0], now), now) == (True, [])
    keeper.names.clear()
    holds, [read] = account.answered(spent[1], keeper.add(spent[1], now), now)
    assert holds is None and read.purpose is Purpose.READ and read.drawn >= 2.5


def test_the_companion_thins_what_was_told_to_ask_much_and_forgets_it() -> None:
    account, keeper = Account(5, 1.0, 6.0, 20, START), Keeper()
    now = account.phase + ((START - account.phase) // account.slot + 2) * account.slot - MS
    assert not account.is_vain(now, 0.0) and account.chance(now) == 0.0
    keeper.add(account.claim(11.0, now, 0.5), now)
    claim = account.claim(1.0, now, 0.5)
    account.answered(claim, keeper.add(claim, now), now)  # four times its rate, in a slot of three seconds
    assert account.total(now) == pytest.approx(4.0, rel=0.05)
    assert account.chance(now + account.slot) == pytest.approx(1.0 - 1.5 / 4.0, rel=0.05)
    assert account.is_vain(now + account.slot, 0.5) and not account.is_vain(now + account.slot, 0.7)
    assert account.chance(now + 4 * account.slot) == 0.0


@settings(max_examples=300, deadline=None)
@given(
    st.integers(1, 40),
    st.floats(0.2, 20.0),
    st.floats(1.0, 8.0),
    st.floats(0.1, 12.0),
    st.integers(0, 2**31),
    st.integers(MS, 400 * MS),
    st.floats(0.0, 0.6),
    st.floats(0.0, 0.4),
)
def test_no_slot_holds_more_than_is_stated_however_late_lost_or_doubled_answers_are(
    doors: int,
    rate: float,
    rest: float,
    times: float,
    seed: int,
    delay: int,
    lost: float,
    doubled: float,
) -> None:
    fleet = Fleet(doors, rate, rate * rest, seed, Trouble(delay, lost, doubled))
    units = max(0.1, rate * rest / 6)
    fleet.run(arrivals(fleet, times * rate, 12 * rest, units=units))
    account = fleet.accounts[0]
    most = account.burst + account.flow(account.slot) + account.quantum
    assert max(fleet.held.values(), default=0.0) <= most + 1e-6


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 300), st.floats(0.2, 20.0), st.floats(2.0, 8.0), st.integers(0, 2**31))
def test_over_many_slots_the_rate_holds(doors: int, rate: float, rest: float, seed: int) -> None:
    fleet = Fleet(doors, rate, rate * rest, seed)
    fleet.run(arrivals(fleet, 6 * rate, 15 * rest, units=rate * rest / 6))
    account = fleet.accounts[0]
    slots = max(fleet.held) - min(fleet.held) + 1
    # Of the first slot it may see the end alone, in which it asks for little: a full store is carried twice.
    most = 2 * account.burst + slots * (account.flow(account.slot) + account.quantum)
    assert sum(fleet.held.values()) <= most + 1e-6


@settings(max_examples=60, deadline=None)
@given(st.floats(0.1, 500.0), st.floats(0.1, 50.0), st.integers(1, 400), st.integers(0, 2**40))
def test_a_total_keeps_its_numbers_in_seven_digits(rate: float, seconds: float, doors: int, key: int) -> None:
    account = Account(key, rate, rate * seconds, doors, START)
    assert 10 * max(account.burst, account.flow(account.slot)) / account.quantum < DRAWN_FULL
    assert account.claim(1.0, START, 0.5).life >= 2 * account.slot
    assert account.claim(1.0, START, 0.5).life <= 60 * SECOND
    read = Call(Purpose.READ, 0, 0.0, 1, 1, 5, 1.0, 1.0)
    carry = account.answered(read, 0.0, START)[1][0]
    assert 9 * carry.amount + DRAWN_FULL <= 9_999_999  # nine tellers at once


def test_a_silent_keeper_costs_a_first_request_a_door_and_even_parts() -> None:
    fleet = Fleet(20, 1.0, 6.0, trouble=Trouble(lost=1.0))
    fleet.run(arrivals(fleet, 8.0, 10.0))
    assert 20 * 0.9 <= fleet.inside + fleet.beyond <= 20 + 2.0 * (6.0 + 10.0)
    quiet = Fleet(140, 1.0, 6.0, trouble=Trouble(lost=1.0))
    quiet.run(arrivals(quiet, 0.4, 20.0))
    assert quiet.refused <= 0.1 * quiet.asked


@pytest.mark.parametrize("again", [False, True])
def test_a_keeper_that_turns_calls_away_is_spared_until_less_than_half_are(again: bool) -> None:
    crowding, chance = Crowding(), random.Random(3)
    count = dict.fromkeys(Way, 0)
    turned = 0
    for n in range(20_000):  # time for one in four
        way = crowding.way(again, chance.random())
        count[way] += 1
        if way is Way.ASK and n > 1000 and count[way] - turned > 0.25 * n:
            turned += 1
            crowding.turned_away()
        elif way is Way.ASK:
            crowding.answered()
    assert 0.35 <= count[Way.ASK] / 20_000 <= 0.55
    assert turned <= 0.5 * count[Way.ASK]
    assert (count[Way.ALONE] == 0) if again else (0.1 <= count[Way.ALONE] / 20_000 <= 0.4)


def test_a_try_spared_while_few_are_is_refused_since_its_client_comes_again() -> None:
    crowding, chance = Crowding(), random.Random(3)
    crowding.crowded = 1.25
    ways = [crowding.way(False, chance.random()) for _ in range(10_000)]
    assert 0.18 <= ways.count(Way.SPARE) / 10_000 <= 0.22
    assert ways.count(Way.ALONE) / 10_000 <= 0.01
    crowding.crowded = 20.0  # hardly any are asked: with all refused next to nothing would be served
    ways = [crowding.way(False, chance.random()) for _ in range(10_000)]
    assert 0.9 <= ways.count(Way.ALONE) / 10_000 <= 0.96


def test_a_silent_keeper_is_asked_by_few_and_found_again_at_once() -> None:
    crowding, chance = Crowding(), random.Random(3)
    for _ in range(20):
        crowding.unanswered()
    ways = [crowding.way(True, chance.random()) for _ in range(2_000)]
    assert ways.count(Way.SPARE) == 0 and 0.05 <= ways.count(Way.ASK) / 2_000 <= 0.15
    for _ in range(10):
        crowding.answered()
    ways = [crowding.way(True, chance.random()) for _ in range(2_000)]
    assert ways.count(Way.ASK) >= 0.9 * 2_000
