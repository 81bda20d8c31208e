"""A quota account at many front doors, against an in-memory counter service that only adds."""

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
    """Adds to counters, keeps seven digits, and expires counters."""

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
    """The reference for a quota: an exact token bucket."""

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
    """Faults of calls: longest delay, share of lost answers, share of calls added twice."""

    max_delay_us: int = 8 * MS
    lost_share: float = 0.0
    doubled_share: float = 0.0


@dataclass
class Fleet:
    """One account at many front doors, with a `QuotaAccount` at each."""

    front_doors: int
    rate: float
    burst: float
    seed: int = 1
    faults: CallFaults = field(default_factory=CallFaults)

    def __post_init__(self) -> None:
        self.accounts = [
            QuotaAccount(77, self.rate, self.burst, self.front_doors, START) for _ in range(self.front_doors)
        ]
        self.counter, self.bucket = CounterService(), TokenBucket(self.rate, self.burst)
        self.random = random.Random(self.seed)
        self.units_within_quota = self.units_over_quota = self.units_rejected = self.units_requested = 0.0
        self.attempts = 0
        self.claimed_units: dict[int, float] = {}  # units admitted by claims, by slot

    def run(self, attempts: list[tuple[int, int, float]]) -> None:
        """Decide all attempts, given as time, front door and units."""
        steps: list[Step] = [
            (at, n, front_door, units, None, 0.0) for n, (at, front_door, units) in enumerate(attempts)
        ]
        heapq.heapify(steps)
        number = len(attempts)
        while steps:
            now, _, front_door, units, call, total = heapq.heappop(steps)
            account, calls = self.accounts[front_door], list[CounterCall]()
            if call is None:
                self.attempts, self.units_requested = self.attempts + 1, self.units_requested + units
                account.record_demand(units, now)
                if account.rejects_without_call(now, self.random.random()):
                    self.units_rejected += units
                else:
                    calls = [account.claim(units, now, self.random.random())]
            elif total is None:
                if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ):
                    self._decide(account.admit_locally(units, now), units, now)
            else:
                holds, calls = account.counter_answered(call, total, now)
                if call.purpose in (CallPurpose.CLAIM, CallPurpose.READ) and holds is not None:
                    if holds:
                        self.claimed_units[call.slot_index] = (
                            self.claimed_units.get(call.slot_index, 0.0) + call.quanta * account.quantum
                        )
                    self._decide(holds, units, now)
            for next_call in calls:
                number += 1
                published: float | None = self.counter.add(next_call, now)
                if self.random.random() < self.faults.doubled_share:
                    published = self.counter.add(next_call, now)
                if self.random.random() < self.faults.lost_share:
                    published = None
                delay_us = self.random.randrange(MS, self.faults.max_delay_us + 1)
                heapq.heappush(steps, (now + delay_us, number, front_door, units, next_call, published))

    def _decide(self, is_admitted: bool, units: float, now: int) -> None:
        if not is_admitted:
            self.units_rejected += units
        elif self.bucket.take(units, now):
            self.units_within_quota += units
        else:
            self.units_over_quota += units


def arrivals(
    fleet: Fleet,
    rate: float,
    seconds: float,
    begin: float = 0.0,
    units: float = 1.0,
) -> list[tuple[int, int, float]]:
    """Return Poisson attempts at random front doors, `rate` units a second."""
    found, at = [], begin
    while (at := at + fleet.random.expovariate(rate / units)) < begin + seconds:
        found.append((START + int(at * SECOND), fleet.random.randrange(len(fleet.accounts)), units))
    return found


def test_a_front_door_that_knows_no_total_claims_and_does_not_estimate() -> None:
    """Guards against: 140 front doors, each with an attempt in minutes, estimate and reject nine in ten."""
    fleet = Fleet(140, 1.0, 6.0)
    fleet.run(arrivals(fleet, 0.4, 60.0, units=3.0))
    assert fleet.units_rejected <= 0.05 * fleet.units_requested > 0.0
    assert fleet.units_over_quota <= 0.10 * fleet.units_requested


@pytest.mark.parametrize("front_doors", [10, 30, 200, 1000])
@pytest.mark.parametrize("rate", [1.0, 2.0, 7.0])
def test_an_account_over_its_quota_gets_nearly_all_of_it_and_little_more(
    rate: float, front_doors: int
) -> None:
    fleet = Fleet(front_doors, rate, 5 * rate)
    fleet.run(arrivals(fleet, 6 * rate, 60.0))
    quota_units = rate * 60.0 + 5 * rate
    slot_refill = fleet.accounts[0].refill(fleet.accounts[0].slot_us)
    assert fleet.units_within_quota >= 0.85 * quota_units
    assert fleet.units_over_quota <= slot_refill + 0.05 * quota_units


def test_an_account_within_its_quota_is_rarely_rejected() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.8, 120.0))
    assert fleet.units_rejected <= 0.02 * fleet.units_within_quota
    assert fleet.units_over_quota <= 0.02 * fleet.units_within_quota


@pytest.mark.parametrize("demand_ratio", [0.3, 0.9, 4.0])
def test_an_attempt_costs_one_call_and_little_more(demand_ratio: float) -> None:
    """A rejected claim costs no second call, whatever the demand."""
    fleet = Fleet(140, 1.0, 6.0)
    fleet.run(arrivals(fleet, demand_ratio, 120.0, units=1.3))
    assert fleet.counter.calls <= 1.45 * fleet.attempts
    if demand_ratio > 1:
        assert fleet.counter.calls <= 1.1 * fleet.attempts


def test_a_burst_after_little_demand_passes_within_the_stated_bound() -> None:
    fleet = Fleet(30, 2.0, 10.0)
    fleet.run(arrivals(fleet, 0.4, 55.0) + arrivals(fleet, 30.0, 2.0, begin=55.0))
    refill = fleet.accounts[0].refill(fleet.accounts[0].slot_us)
    assert fleet.units_within_quota >= 22.0 + 10.0
    assert fleet.units_over_quota <= 2 * refill  # the burst may span two slots


def test_an_exhausted_slot_carries_nothing_over() -> None:
    fleet = Fleet(1, 2.0, 10.0)
    slot_us = fleet.accounts[0].slot_us
    first = fleet.accounts[0].phase_us + ((START - fleet.accounts[0].phase_us) // slot_us + 2) * slot_us
    for n in range(3):  # all at the start of each slot
        fleet.run([(first + n * slot_us + k * 40 * MS, 0, 1.0) for k in range(60)])
    refill = fleet.accounts[0].refill(slot_us)
    held = sorted(fleet.claimed_units.items())
    assert [units for _, units in held] == pytest.approx([10.0 + refill, refill, refill], abs=1.0)


def test_a_request_larger_than_a_slots_refill_is_not_starved() -> None:
    """A claim of 3 units, with a refill of 2.8 a slot and nothing carried over."""
    fleet = Fleet(100, 1.0, 4.0)
    fleet.run(arrivals(fleet, 6.0, 120.0, units=3.0))
    assert fleet.units_within_quota >= 0.8 * 124.0
    assert fleet.units_within_quota + fleet.units_over_quota <= 1.2 * 124.0


def test_one_front_door_publishes_what_an_exhausted_slot_leaves() -> None:
    counter, front_doors = CounterService(), [QuotaAccount(5, 2.0, 10.0, 20, START) for _ in range(6)]
    slot_us, published = front_doors[0].slot_us, list[CounterCall]()
    now = front_doors[0].phase_us + ((START - front_doors[0].phase_us) // slot_us + 1) * slot_us + MS
    for front_door in [*front_doors, *front_doors, *front_doors, *front_doors]:
        calls = [front_door.claim(1.0, now, 0.5)]
        while calls:
            call = calls.pop()
            if call.purpose is CallPurpose.CARRY and call.slot_index > front_doors[0]._slot_index_at(now):
                published.append(call)
            calls += front_door.counter_answered(call, counter.add(call, now), now)[1]
    assert len(published) == 1
    late_claim = front_doors[0].claim(8.0, now + slot_us, 0.5)
    holds, calls = front_doors[0].counter_answered(
        late_claim, counter.add(late_claim, now + slot_us), now + slot_us
    )
    assert holds is False and [call.purpose for call in calls] == [CallPurpose.CARRY]  # without a READ


def test_where_several_publish_what_is_carried_over_their_mean_counts() -> None:
    counter, front_doors = CounterService(), [QuotaAccount(5, 2.0, 10.0, 20, START) for _ in range(3)]
    slot_us = front_doors[0].slot_us
    now = front_doors[0].phase_us + ((START - front_doors[0].phase_us) // slot_us + 1) * slot_us + MS
    claims = [front_doors[0].claim(10.0, now, 0.5), front_doors[1].claim(1.0, now, 0.5)]
    reads = []
    for front_door, claim in zip(front_doors, claims, strict=False):
        holds, calls = front_door.counter_answered(claim, counter.add(claim, now), now)
        assert holds is None
        reads += [(front_door, call) for call in calls]
    for front_door, read in reads:
        holds, [carry] = front_door.counter_answered(read, counter.add(read, now), now)
        assert holds and carry.purpose is CallPurpose.CARRY
        counter.add(carry, now)
    late_claim = front_doors[2].claim(1.0, now, 0.5)
    assert front_doors[2].counter_answered(late_claim, counter.add(late_claim, now), now) == (True, [])
    assert front_doors[2].carried_over == 10.0


def test_of_two_different_publications_the_mean_is_carried_over() -> None:
    account, counter = QuotaAccount(5, 2.0, 10.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 1) * account.slot_us + MS
    claim = account.claim(1.0, now, 0.5)
    for remaining in (2.0, 4.0):
        counter.add(account._publish(claim.slot_index, remaining), now)
    account.counter_answered(claim, counter.add(claim, now), now)
    assert account.carried_over == pytest.approx(3.0)


def test_returned_units_are_capacity_again_where_it_may_matter() -> None:
    account, counter = QuotaAccount(5, 1.0, 4.0, 20, START), CounterService()
    now = START + account.slot_us - (START - account.phase_us) % account.slot_us + MS
    claims = [account.claim(0.6, now, 0.5) for _ in range(3)]
    for claim in claims:
        assert account.counter_answered(claim, counter.add(claim, now), now) == (True, [])
    [returned] = account.return_claim(claims[0], now)
    assert returned.amount == -claims[0].quanta and account.claimed == pytest.approx(1.2, abs=0.2)
    assert account.return_claim(claims[0], now + account.slot_us) == []  # its slot is over


@pytest.mark.parametrize("front_doors", [1, 12, 200])
def test_a_lost_count_admits_no_more_than_the_stated_bound(front_doors: int) -> None:
    fleet = Fleet(front_doors, 1.0, 6.0)
    slot_us = fleet.accounts[0].slot_us
    begin = fleet.accounts[0].phase_us + ((START - fleet.accounts[0].phase_us) // slot_us + 2) * slot_us
    # in one slot
    attempts = [(begin + n * 30 * MS, fleet.random.randrange(front_doors), 1.0) for n in range(80)]
    fleet.run(attempts[:40])
    before = fleet.units_within_quota + fleet.units_over_quota
    fleet.counter.names.clear()
    fleet.run(attempts[40:])
    assert (
        fleet.units_within_quota + fleet.units_over_quota - before
        <= 6.0 + fleet.accounts[0].refill(slot_us) + 0.5
    )
    if front_doors == 1:
        # the front door had observed that the slot is exhausted
        assert fleet.units_within_quota + fleet.units_over_quota == before


def test_local_knowledge_of_a_slot_remains_when_its_count_is_lost() -> None:
    account, counter = QuotaAccount(5, 1.0, 6.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 1) * account.slot_us + MS
    spent = [account.claim(2.5, now, 0.5), account.claim(1.0, now, 0.5)]
    assert account.counter_answered(spent[0], counter.add(spent[0], now), now) == (True, [])
    counter.names.clear()
    holds, [read] = account.counter_answered(spent[1], counter.add(spent[1], now), now)
    assert holds is None and read.purpose is CallPurpose.READ and read.slot_claimed >= 2.5


def test_excessive_demand_is_rejected_by_probability_for_some_slots() -> None:
    account, counter = QuotaAccount(5, 1.0, 6.0, 20, START), CounterService()
    now = account.phase_us + ((START - account.phase_us) // account.slot_us + 2) * account.slot_us - MS
    assert not account.rejects_without_call(now, 0.0) and account.rejection_probability(now) == 0.0
    counter.add(account.claim(11.0, now, 0.5), now)
    claim = account.claim(1.0, now, 0.5)
    # Four times its rate, in a slot of 3 s.
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
def test_no_slot_exceeds_its_bound_with_late_lost_or_doubled_answers(
    front_doors: int,
    rate: float,
    burst_s: float,
    demand_ratio: float,
    seed: int,
    delay: int,
    lost_share: float,
    doubled_share: float,
) -> None:
    fleet = Fleet(front_doors, rate, rate * burst_s, seed, CallFaults(delay, lost_share, doubled_share))
    units = max(0.1, rate * burst_s / 6)
    fleet.run(arrivals(fleet, demand_ratio * rate, 12 * burst_s, units=units))
    account = fleet.accounts[0]
    max_units = account.burst + account.refill(account.slot_us) + account.quantum
    assert max(fleet.claimed_units.values(), default=0.0) <= max_units + 1e-6


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 300), st.floats(0.2, 20.0), st.floats(2.0, 8.0), st.integers(0, 2**31))
def test_over_many_slots_the_rate_holds(front_doors: int, rate: float, burst_s: float, seed: int) -> None:
    fleet = Fleet(front_doors, rate, rate * burst_s, seed)
    fleet.run(arrivals(fleet, 6 * rate, 15 * burst_s, units=rate * burst_s / 6))
    account = fleet.accounts[0]
    slots = max(fleet.claimed_units) - min(fleet.claimed_units) + 1
    # The first slot may have little demand, as attempts start at its end: a full burst is carried over twice.
    max_units = 2 * account.burst + slots * (account.refill(account.slot_us) + account.quantum)
    assert sum(fleet.claimed_units.values()) <= max_units + 1e-6


@settings(max_examples=60, deadline=None)
@given(st.floats(0.1, 500.0), st.floats(0.1, 50.0), st.integers(1, 400), st.integers(0, 2**40))
def test_a_total_fits_in_seven_digits(rate: float, seconds: float, front_doors: int, key: int) -> None:
    account = QuotaAccount(key, rate, rate * seconds, front_doors, START)
    assert 10 * max(account.burst, account.refill(account.slot_us)) / account.quantum < CLAIMED_MODULUS
    assert account.claim(1.0, START, 0.5).lifetime_us >= 2 * account.slot_us
    assert account.claim(1.0, START, 0.5).lifetime_us <= 60 * SECOND
    read = CounterCall(CallPurpose.READ, 0, 0.0, 1, 1, 5, 1.0, 1.0)
    carry = account.counter_answered(read, 0.0, START)[1][0]
    assert 9 * carry.amount + CLAIMED_MODULUS <= 9_999_999  # nine publications


def test_a_lost_counter_admits_a_first_request_and_even_shares_at_each_front_door() -> None:
    fleet = Fleet(20, 1.0, 6.0, faults=CallFaults(lost_share=1.0))
    fleet.run(arrivals(fleet, 8.0, 10.0))
    assert 20 * 0.9 <= fleet.units_within_quota + fleet.units_over_quota <= 20 + 2.0 * (6.0 + 10.0)
    calm_fleet = Fleet(140, 1.0, 6.0, faults=CallFaults(lost_share=1.0))
    calm_fleet.run(arrivals(calm_fleet, 0.4, 20.0))
    assert calm_fleet.units_rejected <= 0.1 * calm_fleet.units_requested


@pytest.mark.parametrize("is_retry", [False, True])
def test_a_rejecting_counter_gets_fewer_claims_until_less_than_half_are_rejected(is_retry: bool) -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    count = dict.fromkeys(AdmissionPath, 0)
    rejected_count = 0
    for n in range(20_000):  # the service has capacity for a quarter of them
        admission_path = overload.admission_path(is_retry, random_source.random())
        count[admission_path] += 1
        if (
            admission_path is AdmissionPath.CLAIM
            and n > 1000
            and count[admission_path] - rejected_count > 0.25 * n
        ):
            rejected_count += 1
            overload.rejected()
        elif admission_path is AdmissionPath.CLAIM:
            overload.answered()
    assert 0.35 <= count[AdmissionPath.CLAIM] / 20_000 <= 0.55
    assert rejected_count <= 0.5 * count[AdmissionPath.CLAIM]
    assert (
        (count[AdmissionPath.LOCAL] == 0) if is_retry else (0.1 <= count[AdmissionPath.LOCAL] / 20_000 <= 0.4)
    )


def test_a_first_attempt_without_a_claim_is_rejected_while_few_lack_one() -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    overload.attempts_per_claim = 1.25
    paths = [overload.admission_path(False, random_source.random()) for _ in range(10_000)]
    assert 0.18 <= paths.count(AdmissionPath.REJECT) / 10_000 <= 0.22
    assert paths.count(AdmissionPath.LOCAL) / 10_000 <= 0.01
    # Few attempts claim: with all others rejected almost nothing would be served.
    overload.attempts_per_claim = 20.0
    paths = [overload.admission_path(False, random_source.random()) for _ in range(10_000)]
    assert 0.9 <= paths.count(AdmissionPath.LOCAL) / 10_000 <= 0.96


def test_a_lost_counter_gets_few_claims_until_it_answers_again() -> None:
    overload, random_source = CounterOverload(), random.Random(3)
    for _ in range(20):
        overload.unanswered()
    paths = [overload.admission_path(True, random_source.random()) for _ in range(2_000)]
    assert paths.count(AdmissionPath.REJECT) == 0 and 0.05 <= paths.count(AdmissionPath.CLAIM) / 2_000 <= 0.15
    for _ in range(10):
        overload.answered()
    paths = [overload.admission_path(True, random_source.random()) for _ in range(2_000)]
    assert paths.count(AdmissionPath.CLAIM) >= 0.9 * 2_000
