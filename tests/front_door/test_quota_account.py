"""A customer's account at many doors, against a counter service in memory that only adds."""

import heapq
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.front_door.quota.counter_calls import CallPurpose, CounterCall
from irisdeal.front_door.quota.counter_overload import AdmissionPath, CounterOverload
from irisdeal.front_door.quota.quota_account import CLAIMED_MODULUS, QuotaAccount

SECOND = 1_000_000
MS = 1_000
START = 1_000_000 * SECOND
Step = tuple[int, int, int, float, CounterCall | None, float | None]


class CounterService:
    """Adds to names, keeps seven digits, forgets a name when its life is up."""

    def __init__(self) -> None:
        self.names, self.calls = dict[int, tuple[float, int]](), 0

    def add(self, call: CounterCall, now: int) -> float:
        self.calls += 1
        total, until = self.names.get(call.name, (0.0, now + call.lifetime_us))
        if until <= now:
            total, until = 0.0, now + call.lifetime_us
        total = float(f"{total + call.amount:.7g}")
        self.names[call.name] = (total, until)
        return total


class TokenBucket:
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
class CallFaults:
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
    faults: CallFaults = field(default_factory=CallFaults)

    def __post_init__(self) -> None:
        self.accounts = [
            QuotaAccount(77, self.rate, self.burst, self.doors, START) for _ in range(self.doors)
        ]
        self.counter, self.bucket = CounterService(), TokenBucket(self.rate, self.burst)
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
            account, calls = self.accounts[door], list[CounterCall]()
            if call is None:
                self.tries, self.asked = self.tries + 1, self.asked + units
                account.record_demand(units, now)
                if account.rejects_without_call(now, self.random.random()):
                    self.refused += units
                else:
                    calls = [account.claim(units, now, self.random.random())]
            elif total is None:
                if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
                    self._decide(account.admit_locally(units, now), units, now)
            else:
                holds, calls = account.counter_answered(call, total, now)
                if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ) and holds is not None:
                    if holds:
                        self.held[call.slot_index] = (
                            self.held.get(call.slot_index, 0.0) + call.quanta * account.quantum
                        )
                    self._decide(holds, units, now)
            for made in calls:
                number += 1
                published: float | None = self.counter.add(made, now)
                if self.random.random() < self.faults.doubled:
                    published = self.counter.add(made, now)
                if self.random.random() < self.faults.lost:
                    published = None
                late = self.random.randrange(MS, self.faults.delay + 1)
                heapq.heappush(due, (now + late, number, door, units, made, published))

    def _decide(self, goes: bool, units: float, now: int) -> None:
        if not goes:
            self.refused += units
        elif self.bucket.take(units, now):
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


def test_a_front_door_that_knows_no_total_claims_and_does_not_estimate() -> None:
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
    ahead = fleet.accounts[0].refill(fleet.accounts[0].slot_us)
    assert fleet.inside >= 0.85 * whole
    assert fleet.beyond <= ahead + 0.05 * whole


def test_a_customer_within_its_quota_is_refused_next_to_nothing() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.8, 120.0))
    assert fleet.refused <= 0.02 * fleet.inside
    assert fleet.beyond <= 0.02 * fleet.inside


@pytest.mark.parametrize("times", [0.3, 0.9, 4.0])
def test_an_attempt_costs_one_call_and_little_more(times: float) -> None:
    """A claim that is turned away costs no second call, whatever its customer asks."""
    fleet = Fleet(140, 1.0, 6.0)
    fleet.run(arrivals(fleet, times, 120.0, units=1.3))
    assert fleet.counter.calls <= 1.45 * fleet.tries
    if times > 1:
        assert fleet.counter.calls <= 1.1 * fleet.tries


def test_a_burst_after_a_long_rest_gets_its_store_and_no_more_than_is_stated() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.4, 55.0) + arrivals(fleet, 30.0, 2.0, begin=55.0))
    refill = fleet.accounts[0].refill(fleet.accounts[0].slot_us)
    assert fleet.inside >= 22.0 + 10.0
    assert fleet.beyond <= 2 * refill  # it may meet the edge of two slots


def test_an_exhausted_slot_carries_nothing_over() -> None:
    fleet = Fleet(1, 2.0, 10.0)
    slot_us = fleet.accounts[0].slot_us
    first = fleet.accounts[0].phase_us + ((START - fleet.accounts[0].phase_us) // slot_us + 2) * slot_us
    for n in range(3):  # all at once as each slot begins
        fleet.run([(first + n * slot_us + k * 40 * MS, 0, 1.0) for k in range(60)])
    refill = fleet.accounts[0].refill(slot_us)
    held = sorted(fleet.held.items())
    assert [units for _, units in held] == pytest.approx([10.0 + refill, refill, refill], abs=1.0)


def test_a_request_larger_than_a_slots_flow_does_not_starve() -> None:
    """A claim of three units, where 2.8 flow into a slot and nothing is carried in."""
    fleet = Fleet(100, 1.0, 4.0)
    fleet.run(arrivals(fleet, 6.0, 120.0, units=3.0))
    assert fleet.inside >= 0.8 * 124.0
    assert fleet.inside + fleet.beyond <= 1.2 * 124.0


def test_one_front_door_publishes_what_an_exhausted_slot_leaves() -> None:
    counter, doors = CounterService(), [QuotaAccount(5, 2.0, 10.0, 20, START) for _ in range(6)]
    slot_us, published = doors[0].slot_us, list[CounterCall]()
    now = doors[0].phase_us + ((START - doors[0].phase_us) // slot_us + 1) * slot_us + MS
    for door in [*doors, *doors, *doors, *doors]:
        calls = [door.claim(1.0, now, 0.5)]
        while calls:
            call = calls.pop()
            if call.purpose is CallPurpose.CARRY and call.slot_index > doors[0]._slot_index_at(now):
                published.append(call)
            calls += door.counter_answered(call, counter.add(call, now), now)[1]
    assert len(published) == 1
    late = doors[0].claim(8.0, now + slot_us, 0.5)
    holds, calls = doors[0].counter_answered(late, counter.add(late, now + slot_us), now + slot_us)
    assert holds is False and [call.purpose for call in calls] == [CallPurpose.CARRY]  # known with no READ


def test_where_several_publish_what_is_carried_over_their_mean_counts() -> None:
    counter, doors = CounterService(), [QuotaAccount(5, 2.0, 10.0, 20, START) for _ in range(3)]
    slot_us = doors[0].slot_us
    now = doors[0].phase_us + ((START - doors[0].phase_us) // slot_us + 1) * slot_us + MS
    claims = [doors[0].claim(10.0, now, 0.5), doors[1].claim(1.0, now, 0.5)]
    reads = []
    for door, claim in zip(doors, claims, strict=False):
        holds, calls = door.counter_answered(claim, counter.add(claim, now), now)
        assert holds is None
        reads += [(door, call) for call in calls]
    for door, read in reads:
        holds, [carry] = door.counter_answered(read, counter.add(read, now), now)
        assert holds and carry.purpose is CallPurpose.CARRY
        counter.add(carry, now)
    late = doors[2].claim(1.0, now, 0.5)
    assert doors[2].counter_answered(late, counter.add(late, now), now) == (True, [])
    assert doors[2].carried_over == 10.0


def test_of_two_different_publications_the_mean_is_carried_over() -> None:
    account, counter = QuotaAccount(5, 2.0, 10.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 1) * account.slot_us + MS
    claim = account.claim(1.0, now, 0.5)
    for left in (2.0, 4.0):
        counter.add(account._publish(claim.slot_index, left), now)
    account.counter_answered(claim, counter.add(claim, now), now)
    assert account.carried_over == pytest.approx(3.0)


def test_returned_units_are_capacity_again_where_it_may_matter() -> None:
    account, counter = QuotaAccount(5, 1.0, 4.0, 20, START), CounterService()
    now = START + account.slot_us - (START - account.phase_us) % account.slot_us + MS
    claims = [account.claim(0.6, now, 0.5) for _ in range(3)]
    for claim in claims:
        assert account.counter_answered(claim, counter.add(claim, now), now) == (True, [])
    [back] = account.return_claim(claims[0], now)
    assert back.amount == -claims[0].quanta and account.claimed == pytest.approx(1.2, abs=0.2)
    assert account.return_claim(claims[0], now + account.slot_us) == []  # its slot is over


@pytest.mark.parametrize("doors", [1, 12, 200])
def test_a_flush_lets_no_more_through_than_is_stated(doors: int) -> None:
    fleet = Fleet(doors, 1.0, 6.0)
    slot_us = fleet.accounts[0].slot_us
    begin = fleet.accounts[0].phase_us + ((START - fleet.accounts[0].phase_us) // slot_us + 2) * slot_us
    tries = [(begin + n * 30 * MS, fleet.random.randrange(doors), 1.0) for n in range(80)]  # in one slot
    fleet.run(tries[:40])
    before = fleet.inside + fleet.beyond
    fleet.counter.names.clear()
    fleet.run(tries[40:])
    assert fleet.inside + fleet.beyond - before <= 6.0 + fleet.accounts[0].refill(slot_us) + 0.5
    if doors == 1:
        assert fleet.inside + fleet.beyond == before  # it knew that the slot was drawn


def test_what_is_known_of_a_slot_stands_when_its_count_is_lost() -> None:
    account, counter = QuotaAccount(5, 1.0, 6.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 1) * account.slot_us + MS
    spent = [account.claim(2.5, now, 0.5), account.claim(1.0, now, 0.5)]
    assert account.counter_answered(spent[0], counter.add(spent[0], now), now) == (True, [])
    counter.names.clear()
    holds, [read] = account.counter_answered(spent[1], counter.add(spent[1], now), now)
    assert holds is None and read.purpose is CallPurpose.READ and read.slot_claimed >= 2.5


def test_excessive_demand_is_thinned_and_forgotten() -> None:
    account, counter = QuotaAccount(5, 1.0, 6.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 2) * account.slot_us - MS
    assert not account.rejects_without_call(now, 0.0) and account.rejection_probability(now) == 0.0
    counter.add(account.claim(11.0, now, 0.5), now)
    claim = account.claim(1.0, now, 0.5)
    # Four times its rate, in a slot of three seconds.
    account.counter_answered(claim, counter.add(claim, now), now)
    assert account.total_rate_per_s(now) == pytest.approx(4.0, rel=0.05)
    assert account.rejection_probability(now + account.slot_us) == pytest.approx(1.0 - 1.5 / 4.0, rel=0.05)
    assert account.rejects_without_call(now + account.slot_us, 0.5)
    assert not account.rejects_without_call(now + account.slot_us, 0.7)
    assert account.rejection_probability(now + 4 * account.slot_us) == 0.0


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
    fleet = Fleet(doors, rate, rate * rest, seed, CallFaults(delay, lost, doubled))
    units = max(0.1, rate * rest / 6)
    fleet.run(arrivals(fleet, times * rate, 12 * rest, units=units))
    account = fleet.accounts[0]
    most = account.burst + account.refill(account.slot_us) + account.quantum
    assert max(fleet.held.values(), default=0.0) <= most + 1e-6


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 300), st.floats(0.2, 20.0), st.floats(2.0, 8.0), st.integers(0, 2**31))
def test_over_many_slots_the_rate_holds(doors: int, rate: float, rest: float, seed: int) -> None:
    fleet = Fleet(doors, rate, rate * rest, seed)
    fleet.run(arrivals(fleet, 6 * rate, 15 * rest, units=rate * rest / 6))
    account = fleet.accounts[0]
    slots = max(fleet.held) - min(fleet.held) + 1
    # Of the first slot it may see the end alone, in which it asks for little: a full store is carried twice.
    most = 2 * account.burst + slots * (account.refill(account.slot_us) + account.quantum)
    assert sum(fleet.held.values()) <= most + 1e-6


@settings(max_examples=60, deadline=None)
@given(st.floats(0.1, 500.0), st.floats(0.1, 50.0), st.integers(1, 400), st.integers(0, 2**40))
def test_a_total_keeps_its_numbers_in_seven_digits(rate: float, seconds: float, doors: int, key: int) -> None:
    account = QuotaAccount(key, rate, rate * seconds, doors, START)
    assert 10 * max(account.burst, account.refill(account.slot_us)) / account.quantum < CLAIMED_MODULUS
    assert account.claim(1.0, START, 0.5).lifetime_us >= 2 * account.slot_us
    assert account.claim(1.0, START, 0.5).lifetime_us <= 60 * SECOND
    read = CounterCall(CallPurpose.READ, 0, 0.0, 1, 1, 5, 1.0, 1.0)
    carry = account.counter_answered(read, 0.0, START)[1][0]
    assert 9 * carry.amount + CLAIMED_MODULUS <= 9_999_999  # nine tellers at once


def test_a_lost_counter_admits_a_first_request_and_even_shares_at_each_front_door() -> None:
    fleet = Fleet(20, 1.0, 6.0, faults=CallFaults(lost=1.0))
    fleet.run(arrivals(fleet, 8.0, 10.0))
    assert 20 * 0.9 <= fleet.inside + fleet.beyond <= 20 + 2.0 * (6.0 + 10.0)
    quiet = Fleet(140, 1.0, 6.0, faults=CallFaults(lost=1.0))
    quiet.run(arrivals(quiet, 0.4, 20.0))
    assert quiet.refused <= 0.1 * quiet.asked


@pytest.mark.parametrize("again", [False, True])
def test_a_rejecting_counter_gets_fewer_claims_until_less_than_half_are_rejected(again: bool) -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    count = dict.fromkeys(AdmissionPath, 0)
    turned = 0
    for n in range(20_000):  # time for one in four
        admission_path = overload.admission_path(again, random_source.random())
        count[admission_path] += 1
        if admission_path is AdmissionPath.CLAIM and n > 1000 and count[admission_path] - turned > 0.25 * n:
            turned += 1
            overload.rejected()
        elif admission_path is AdmissionPath.CLAIM:
            overload.answered()
    assert 0.35 <= count[AdmissionPath.CLAIM] / 20_000 <= 0.55
    assert turned <= 0.5 * count[AdmissionPath.CLAIM]
    assert (count[AdmissionPath.LOCAL] == 0) if again else (0.1 <= count[AdmissionPath.LOCAL] / 20_000 <= 0.4)


def test_a_first_attempt_without_a_claim_is_rejected_while_few_lack_one() -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    overload.attempts_per_claim = 1.25
    paths = [overload.admission_path(False, random_source.random()) for _ in range(10_000)]
    assert 0.18 <= paths.count(AdmissionPath.REJECT) / 10_000 <= 0.22
    assert paths.count(AdmissionPath.LOCAL) / 10_000 <= 0.01
    # Hardly any claim: with all others rejected next to nothing would be served.
    overload.attempts_per_claim = 20.0
    paths = [overload.admission_path(False, random_source.random()) for _ in range(10_000)]
    assert 0.9 <= paths.count(AdmissionPath.LOCAL) / 10_000 <= 0.96


def test_a_lost_counter_gets_few_claims_and_its_return_shows_at_once() -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    for _ in range(20):
        overload.unanswered()
    paths = [overload.admission_path(True, random_source.random()) for _ in range(2_000)]
    assert paths.count(AdmissionPath.REJECT) == 0 and 0.05 <= paths.count(AdmissionPath.CLAIM) / 2_000 <= 0.15
    for _ in range(10):
        overload.answered()
    paths = [overload.admission_path(True, random_source.random()) for _ in range(2_000)]
    assert paths.count(AdmissionPath.CLAIM) >= 0.9 * 2_000
