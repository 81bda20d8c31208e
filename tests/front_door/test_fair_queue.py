"""Fair queueing: the bounds of the note over random schedules, and what is bounded in memory."""

from __future__ import annotations

import os
import random
from collections import Counter, defaultdict
from collections.abc import Hashable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.front_door.queueing.fair_queue import DEMAND_DECAY_US, MAX_STALE_ENTRIES, Entry, FairQueue, Flow

Queue = FairQueue[tuple[str, int]]
ROOM = 10**6
EXAMPLES = int(os.environ.get("SCHEDULES", "300"))  # of each property; thousands by hand


def queue(
    bands: tuple[float, ...] = (1.0,),
    entries: int = ROOM,
    size: int = 10**9,
    flows: int = ROOM,
) -> Queue:
    return FairQueue(bands, entries, size, flows)


def put(
    q: Queue,
    account: str,
    number: int = 0,
    cost: float = 1.0,
    plan: Hashable = "p",
    band: int = 0,
    weight: float = 1.0,
    now: int = 0,
    size: int = 1,
) -> tuple[Entry[tuple[str, int]], list[tuple[str, int]]]:
    entry = Entry((account, number), cost, size, now)
    return entry, q.push(band, plan, account, entry, weight, now)


def take(q: Queue, least: int = 0) -> tuple[str, int] | None:
    if (entry := q.head(least)) is None:
        return None
    q.serve(entry)
    return entry.item


def flow_of(entry: Entry[tuple[str, int]]) -> Flow[tuple[str, int]]:
    assert entry.flow is not None
    return entry.flow


def drain(q: Queue) -> list[str]:
    taken = []
    while (item := take(q)) is not None:
        taken.append(item[0])
    return taken


def test_a_quiet_store_goes_before_the_backlog_of_a_greedy_one() -> None:
    q = queue()
    for n in range(50):
        put(q, "greedy", n)
    assert [take(q), take(q)] == [("greedy", 0), ("greedy", 1)]
    put(q, "quiet")
    assert take(q) == ("quiet", 0)


def test_stores_share_by_weight_and_by_cost() -> None:
    q = queue()
    for n in range(90):
        put(q, "double", n, weight=2.0)
        put(q, "single", n, weight=1.0)
        put(q, "costly", n, weight=1.0, cost=2.0)
    taken = [take(q) for _ in range(70)]
    counts = Counter(item[0] for item in taken if item is not None)
    assert counts == {"double": 40, "single": 20, "costly": 10}


def test_a_store_keeps_the_order_of_its_requests() -> None:
    q = queue()
    entries = [put(q, "a", n)[0] for n in range(5)]
    q.remove(entries[0])
    q.remove(entries[2])
    q.remove(entries[2])  # a second time changes nothing
    assert [take(q), take(q), take(q), take(q)] == [("a", 1), ("a", 3), ("a", 4), None]


def test_what_leaves_unserved_costs_its_store_nothing() -> None:
    q = queue()
    for n in range(20):
        q.remove(put(q, "leaves", n)[0])
    put(q, "other")
    put(q, "other", 1)
    put(q, "leaves", 99)
    assert drain(q) == ["other", "leaves", "other"]


def test_a_queue_that_waits_for_its_ceiling_holds_up_nobody_and_lays_up_no_claim() -> None:
    q = queue()
    stuck = flow_of(put(q, "stuck")[0])
    for n in range(1, 20):
        put(q, "stuck", n)
        put(q, "other", n)
    q.block(stuck)
    assert [take(q) for _ in range(10)] == [("other", n) for n in range(1, 11)]
    q.unblock(stuck)


def test_a_freed_queue_takes_turns_and_not_all_it_missed() -> None:
    q = queue()
    stuck = flow_of(put(q, "stuck")[0])
    for n in range(1, 40):
        put(q, "stuck", n)
        put(q, "other", n)
    q.block(stuck)
    for _ in range(20):
        take(q)
    q.unblock(stuck)
    next_ones = [item[0] for _ in range(10) if (item := take(q)) is not None]
    assert 4 <= next_ones.count("stuck") <= 6


def test_a_band_that_was_closed_lays_up_no_claim() -> None:
    q = queue(bands=(1.0, 1.0))
    for n in range(60):
        put(q, "low", n, band=0)
        put(q, "high", n, band=1)
    assert {item[0] for _ in range(20) if (item := take(q, least=1))} == {"high"}
    both = [item[0] for _ in range(10) if (item := take(q)) is not None]
    assert 4 <= both.count("low") <= 6


def test_a_flood_of_new_stores_takes_its_room_from_its_own_plan() -> None:
    q, now = queue(), 0
    for n in range(400):  # both plans have asked alike for longer than the memory
        now += DEMAND_DECAY_US // 100
        for plan in ("flooded", "calm"):
            put(q, f"{plan}{n % 20}", n, plan=plan, now=now)
        drain(q)
    for n in range(2000):  # within a hundredth of the memory
        put(q, f"new{n}", plan="flooded", now=now + n)
    for n in range(50):
        put(q, f"calm{n}", plan="calm", now=now + 2000)
    first = [item[0] for _ in range(400) if (item := take(q)) is not None]
    assert sum(name.startswith("calm") for name in first) >= 15  # of a share of its own, not 50 of 2,050
    unfair = 400 * 50 / 2050
    assert sum(name.startswith("calm") for name in first) > 1.5 * unfair


def test_plans_weigh_by_recent_demand_and_a_quiet_one_has_the_minimum() -> None:
    q = queue()
    for n in range(300):
        put(q, "large", n, plan="a")
        put(q, "middle", n, plan="b") if n % 3 == 0 else None
    put(q, "tiny", 0, plan="c")
    for n in range(1, 100):
        put(q, "tiny", n, plan="c", cost=0.01)  # it asked next to nothing
    taken = Counter(item[0] for _ in range(200) if (item := take(q)) is not None)
    assert 2.7 < taken["large"] / taken["middle"] < 3.3
    served = 0.01 * (taken["tiny"] - 1) + 1.0
    assert served >= 1.9  # weights 300, 100 and a quarter of a third of 402: of 200, not 2 / 402


def test_one_that_comes_late_takes_turns_and_catches_up_nothing() -> None:
    q = queue()
    for n in range(40):
        put(q, "greedy", n)
    for _ in range(20):
        take(q)
    put(q, "once")
    assert take(q) == ("once", 0)
    for n in range(10):
        put(q, "late", n)
    names = [item[0] for _ in range(10) if (item := take(q)) is not None]
    assert 4 <= names.count("late") <= 6


def test_a_store_that_was_held_with_its_last_request_may_be_served_again() -> None:
    q = queue()
    entry, _ = put(q, "a")
    q.block(flow_of(entry))
    q.remove(entry)
    put(q, "a", 1)
    assert take(q) == ("a", 1)


def test_the_end_of_a_busy_period_resets_accounts_and_plans() -> None:
    q = queue()
    for n in range(5):
        put(q, "a", n, plan="p")
    drain(q)
    q.end_busy_period()
    assert q.flows == 0
    put(q, "a", plan="p")
    put(q, "b", plan="z")
    assert drain(q) == ["a", "b"]  # alike again, so the one that came first
    put(q, "c")
    with pytest.raises(ValueError, match="wanted none at the end of a busy period"):
        q.end_busy_period()


def test_the_longest_flow_is_dropped_from_and_never_the_newest_quiet_account() -> None:
    q = queue(entries=100)
    for n in range(90):
        put(q, "greedy", n)
    for n in range(95):
        _, gone = put(q, f"quiet{n}")
        assert all(account == "greedy" for account, _ in gone)
    assert q.entries == 100 and q.dropped == 85
    _, gone = put(q, "greedy", 99)
    assert gone == [("greedy", 99)]  # its own newest


def test_among_equal_queues_the_oldest_gives_way() -> None:
    q = queue(entries=3)
    for n in range(3):
        put(q, f"s{n}")
    assert put(q, "s3")[1] == [("s0", 0)]


def test_bytes_are_bounded_too() -> None:
    q = queue(size=1000)
    for n in range(10):
        put(q, "big", n, size=100)
    assert put(q, "small", size=250)[1] == [("big", 9), ("big", 8), ("big", 7)]
    assert q.bytes == 950


def test_memory_is_flat_under_a_flood_of_stores_and_mass_departures() -> None:
    q, rng = queue(entries=200, flows=300), random.Random(3)
    waiting: list[Entry[tuple[str, int]]] = []
    for n in range(20_000):
        waiting.append(put(q, f"s{n}", now=n)[0])
        if rng.random() < 0.3:
            take(q)
        if n % 500 == 0:  # all clients leave at once
            for entry in waiting:
                q.remove(entry)
            waiting.clear()
        heaps = [len(node.heap) for node in (*q.bands, *(p for plans in q._plans for p in plans.values()))]
        assert q.entries <= 200 and q.flows <= 302 and max(heaps) <= 2 * 200 + MAX_STALE_ENTRIES + 2


def test_departures_without_any_service_leave_no_places_behind() -> None:
    q = queue()
    for n in range(5000):  # the fleet hangs: nothing is served, and clients come and go
        q.remove(put(q, f"s{n % 7}", n)[0])
    assert all(len(p.heap) <= MAX_STALE_ENTRIES + 2 for p in q._plans[0].values())
    assert q.head() is None


@pytest.mark.parametrize(
    "bad", [dict(bands=()), dict(bands=(0.0,)), dict(entries=0), dict(size=0), dict(flows=0)]
)
def test_bounds_and_weights_are_checked(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="wanted"):
        queue(**bad)  # type: ignore[arg-type]


# Bounds over random schedules

OPERATION = st.one_of(
    st.tuples(st.just("push"), st.integers(0, 2), st.integers(0, 5), st.integers(1, 8)),
    st.tuples(st.just("serve"), st.just(0), st.just(0), st.just(0)),
    st.tuples(st.just("leave"), st.integers(0, 40), st.just(0), st.just(0)),
    st.tuples(st.just("hold"), st.integers(0, 40), st.just(0), st.just(0)),
    st.tuples(st.just("free"), st.integers(0, 40), st.just(0), st.just(0)),
)


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(OPERATION, max_size=120))
def test_a_store_within_its_share_waits_for_one_request_of_each_other(
    ops: list[tuple[str, int, int, int]],
) -> None:
    """Rule 2, and that every entry that may be served is, once, in the order of its store."""
    q, now = queue(), 0
    waiting: list[Entry[tuple[str, int]]] = []
    behind: dict[Entry[tuple[str, int]], dict[Hashable, int]] = {}  # others served since a quiet one came
    orders: defaultdict[Hashable, list[int]] = defaultdict(list)
    for kind, a, b, c in ops:
        now += 1000
        if kind == "push":
            entry, gone = put(q, f"{a}.{b}", now, float(c), plan=a, now=now)
            assert not gone
            waiting.append(entry)
            flow = flow_of(entry)
            assert flow.parent is not None
            if len(flow.entries) == 1 and flow.start_tag == flow.parent.virtual_time:
                behind[entry] = defaultdict(int)
        elif kind == "serve" and (best := q.head()) is not None:
            flow = flow_of(best)
            q.serve(best)
            waiting.remove(best)
            orders[flow.key].append(best.item[1])
            behind.pop(best, None)
            for quiet, counts in behind.items():
                if flow_of(quiet).parent is flow.parent:
                    counts[flow.key] += 1
                    assert counts[flow.key] <= 1, "served twice before a store within its share"
        elif kind == "leave" and waiting:
            entry = waiting.pop(a % len(waiting))
            behind.pop(entry, None)
            q.remove(entry)
        elif kind in ("hold", "free") and waiting:
            flow = flow_of(waiting[a % len(waiting)])
            if kind == "hold":
                q.block(flow)
                for entry in flow.entries:
                    behind.pop(entry, None)
            else:
                q.unblock(flow)
        able = [e for e in waiting if not flow_of(e).is_blocked]
        assert (q.head() is not None) == bool(able) and q.entries == len(waiting)
    assert all(order == sorted(order) for order in orders.values())


@settings(max_examples=EXAMPLES // 5, deadline=None)
@given(st.integers(0, 10**9))
def test_two_that_wait_all_along_are_served_alike(seed: int) -> None:
    """SFQ's theorem 1 at both levels: what two got, over their weights, differs by one request of each."""
    q, rng, now = queue(), random.Random(seed), 0
    weights = {(p, s): rng.choice([0.5, 1.0, 3.0]) for p in range(3) for s in range(3)}
    for n in range(rng.randrange(400, 600)):
        p, s = rng.randrange(3), rng.randrange(3)
        put(q, f"{p}.{s}", n, rng.uniform(0.5, 4.0), plan=p, weight=weights[p, s], now=(now := now + 50_000))
    for p in range(3):  # enough that nobody runs dry below
        for s in range(3):
            for n in range(150):
                put(q, f"{p}.{s}", n, rng.uniform(0.5, 4.0), plan=p, weight=weights[p, s], now=now)
    got: defaultdict[object, float] = defaultdict(float)
    most: defaultdict[object, float] = defaultdict(float)
    for _ in range(120):
        entry = q.head()
        assert entry is not None
        flow = flow_of(entry)
        q.serve(entry)
        for node in (flow, flow.parent):
            assert node is not None
            share = entry.cost / node.weight
            got[node] += share
            most[node] = max(most[node], 4.0 / node.weight)
        for family in (
            [n for n in got if isinstance(n, Flow) and n.parent is flow.parent],
            [n for n in got if not isinstance(n, Flow)],
        ):
            for one in family:
                for other in family:
                    assert got[one] - got[other] <= most[one] + most[other] + 1e-9


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(0, 10**9))
def test_no_request_ends_later_than_beside_a_fluid_server(seed: int) -> None:
    """SFQ's theorem 4 with rate 1: a store with a reserved part r of it ends each request by its end at a
    fluid server of rate r that serves this store alone, less its own time there, and one longest request of
    each other store and its own time here."""
    rng = random.Random(seed)
    accounts = rng.randrange(2, 9)
    weights = [rng.uniform(0.2, 3.0) for _ in range(accounts)]
    parts = [w / sum(weights) for w in weights]
    longest = [rng.uniform(0.5, 5.0) for _ in range(accounts)]
    arrivals: list[tuple[float, int, float]] = []
    for s in range(accounts):
        at = 0.0
        for _ in range(rng.randrange(1, 30)):
            at += rng.choice([0.0, rng.expovariate(parts[s] / longest[s]), rng.expovariate(0.05)])
            arrivals.append((at, s, longest[s] * rng.uniform(0.1, 1.0)))
    arrivals.sort()
    expected, ready = [], [0.0] * accounts  # when a fluid server of its own would begin each
    for at, s, cost in arrivals:
        begins = max(at, ready[s])
        ready[s] = begins + cost / parts[s]
        expected.append(begins)
    q, clock, place = queue(), 0.0, 0
    while place < len(arrivals) or q.entries:
        if not q.entries and arrivals[place][0] > clock:
            clock = arrivals[place][0]
            q.end_busy_period()
        while place < len(arrivals) and arrivals[place][0] <= clock:
            _, s, cost = arrivals[place]
            put(q, f"{s}", place, cost, weight=weights[s])
            place += 1
        entry = q.head()
        assert entry is not None
        q.serve(entry)
        clock += entry.cost
        s, number = int(entry.item[0]), entry.item[1]
        late = clock - (expected[number] + sum(longest) - longest[s] + entry.cost)
        assert late <= 1e-6, f"{late} past the bound"
