"""Fair queueing: order, bounds in memory, and the algorithm's theorems over random schedules."""

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
UNBOUNDED = 10**6
EXAMPLES = int(os.environ.get("SCHEDULES", "300"))  # of each property; set to thousands for a long run


def queue(
    bands: tuple[float, ...] = (1.0,),
    entries: int = UNBOUNDED,
    size: int = 10**9,
    flows: int = UNBOUNDED,
) -> Queue:
    return FairQueue(bands, entries, size, flows)


def push(
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


def serve_next(q: Queue, first_band: int = 0) -> tuple[str, int] | None:
    if (entry := q.head(first_band)) is None:
        return None
    q.serve(entry)
    return entry.item


def flow_of(entry: Entry[tuple[str, int]]) -> Flow[tuple[str, int]]:
    assert entry.flow is not None
    return entry.flow


def serve_all(q: Queue) -> list[str]:
    taken = []
    while (item := serve_next(q)) is not None:
        taken.append(item[0])
    return taken


def test_an_account_with_one_request_goes_before_the_backlog_of_another() -> None:
    q = queue()
    for n in range(50):
        push(q, "backlogged", n)
    assert [serve_next(q), serve_next(q)] == [("backlogged", 0), ("backlogged", 1)]
    push(q, "single")
    assert serve_next(q) == ("single", 0)


def test_accounts_share_by_weight_and_by_cost() -> None:
    q = queue()
    for n in range(90):
        push(q, "double", n, weight=2.0)
        push(q, "single", n, weight=1.0)
        push(q, "costly", n, weight=1.0, cost=2.0)
    taken = [serve_next(q) for _ in range(70)]
    counts = Counter(item[0] for item in taken if item is not None)
    assert counts == {"double": 40, "single": 20, "costly": 10}


def test_an_account_keeps_the_order_of_its_requests() -> None:
    q = queue()
    entries = [push(q, "a", n)[0] for n in range(5)]
    q.remove(entries[0])
    q.remove(entries[2])
    q.remove(entries[2])  # a second time changes nothing
    assert [serve_next(q), serve_next(q), serve_next(q), serve_next(q)] == [
        ("a", 1),
        ("a", 3),
        ("a", 4),
        None,
    ]


def test_requests_removed_unserved_cost_their_account_nothing() -> None:
    q = queue()
    for n in range(20):
        q.remove(push(q, "leaves", n)[0])
    push(q, "other")
    push(q, "other", 1)
    push(q, "leaves", 99)
    assert serve_all(q) == ["other", "leaves", "other"]


def test_a_blocked_flow_delays_no_other() -> None:
    q = queue()
    blocked = flow_of(push(q, "stuck")[0])
    for n in range(1, 20):
        push(q, "stuck", n)
        push(q, "other", n)
    q.block(blocked)
    assert [serve_next(q) for _ in range(10)] == [("other", n) for n in range(1, 11)]
    q.unblock(blocked)


def test_an_unblocked_flow_shares_and_does_not_catch_up() -> None:
    q = queue()
    blocked = flow_of(push(q, "stuck")[0])
    for n in range(1, 40):
        push(q, "stuck", n)
        push(q, "other", n)
    q.block(blocked)
    for _ in range(20):
        serve_next(q)
    q.unblock(blocked)
    next_ones = [item[0] for _ in range(10) if (item := serve_next(q)) is not None]
    assert 4 <= next_ones.count("stuck") <= 6


def test_a_closed_band_accumulates_no_claim() -> None:
    q = queue(bands=(1.0, 1.0))
    for n in range(60):
        push(q, "low", n, band=0)
        push(q, "high", n, band=1)
    assert {item[0] for _ in range(20) if (item := serve_next(q, first_band=1))} == {"high"}
    both = [item[0] for _ in range(10) if (item := serve_next(q)) is not None]
    assert 4 <= both.count("low") <= 6


def test_a_flood_of_new_accounts_takes_capacity_from_its_own_plan() -> None:
    q, now = queue(), 0
    for n in range(400):  # equal demand of both plans, for longer than its decay time
        now += DEMAND_DECAY_US // 100
        for plan in ("flooded", "calm"):
            push(q, f"{plan}{n % 20}", n, plan=plan, now=now)
        serve_all(q)
    for n in range(2000):  # within a hundredth of the decay time
        push(q, f"new{n}", plan="flooded", now=now + n)
    for n in range(50):
        push(q, f"calm{n}", plan="calm", now=now + 2000)
    first = [item[0] for _ in range(400) if (item := serve_next(q)) is not None]
    assert sum(name.startswith("calm") for name in first) >= 15  # by the plan's own share, not 50 of 2,050
    proportional = 400 * 50 / 2050
    assert sum(name.startswith("calm") for name in first) > 1.5 * proportional


def test_plans_share_by_recent_demand_with_a_minimum() -> None:
    q = queue()
    for n in range(300):
        push(q, "large", n, plan="a")
        push(q, "middle", n, plan="b") if n % 3 == 0 else None
    push(q, "tiny", 0, plan="c")
    for n in range(1, 100):
        push(q, "tiny", n, plan="c", cost=0.01)  # almost no demand
    taken = Counter(item[0] for _ in range(200) if (item := serve_next(q)) is not None)
    assert 2.7 < taken["large"] / taken["middle"] < 3.3
    served = 0.01 * (taken["tiny"] - 1) + 1.0
    assert served >= 1.9  # weights 300, 100 and a quarter of a third of 402: of 200, not 2 / 402


def test_a_late_account_shares_and_does_not_catch_up() -> None:
    q = queue()
    for n in range(40):
        push(q, "backlogged", n)
    for _ in range(20):
        serve_next(q)
    push(q, "once")
    assert serve_next(q) == ("once", 0)
    for n in range(10):
        push(q, "late", n)
    names = [item[0] for _ in range(10) if (item := serve_next(q)) is not None]
    assert 4 <= names.count("late") <= 6


def test_an_account_blocked_with_its_last_request_can_be_served_again() -> None:
    q = queue()
    entry, _ = push(q, "a")
    q.block(flow_of(entry))
    q.remove(entry)
    push(q, "a", 1)
    assert serve_next(q) == ("a", 1)


def test_the_end_of_a_busy_period_resets_accounts_and_plans() -> None:
    q = queue()
    for n in range(5):
        push(q, "a", n, plan="p")
    serve_all(q)
    q.end_busy_period()
    assert q.flows == 0
    push(q, "a", plan="p")
    push(q, "b", plan="z")
    assert serve_all(q) == ["a", "b"]  # equal again, so in the order of arrival
    push(q, "c")
    with pytest.raises(ValueError, match="wanted none at the end of a busy period"):
        q.end_busy_period()


def test_a_full_queue_drops_from_the_longest_flow() -> None:
    q = queue(entries=100)
    for n in range(90):
        push(q, "backlogged", n)
    for n in range(95):
        _, dropped = push(q, f"single{n}")
        assert all(account == "backlogged" for account, _ in dropped)
    assert q.entries == 100 and q.dropped == 85
    _, dropped = push(q, "backlogged", 99)
    assert dropped == [("backlogged", 99)]  # its own newest


def test_among_flows_of_one_length_the_oldest_is_dropped_from() -> None:
    q = queue(entries=3)
    for n in range(3):
        push(q, f"s{n}")
    assert push(q, "s3")[1] == [("s0", 0)]


def test_bytes_are_bounded_too() -> None:
    q = queue(size=1000)
    for n in range(10):
        push(q, "big", n, size=100)
    assert push(q, "small", size=250)[1] == [("big", 9), ("big", 8), ("big", 7)]
    assert q.bytes == 950


def test_memory_is_bounded_under_a_flood_of_accounts_and_disconnects() -> None:
    q, rng = queue(entries=200, flows=300), random.Random(3)
    waiting: list[Entry[tuple[str, int]]] = []
    for n in range(20_000):
        waiting.append(push(q, f"s{n}", now=n)[0])
        if rng.random() < 0.3:
            serve_next(q)
        if n % 500 == 0:  # all clients disconnect at once
            for entry in waiting:
                q.remove(entry)
            waiting.clear()
        heaps = [len(node.heap) for node in (*q.bands, *(p for plans in q._plans for p in plans.values()))]
        assert q.entries <= 200 and q.flows <= 302 and max(heaps) <= 2 * 200 + MAX_STALE_ENTRIES + 2


def test_removals_without_service_leave_no_stale_entries() -> None:
    q = queue()
    for n in range(5000):  # servers hang: nothing is served, and clients disconnect
        q.remove(push(q, f"s{n % 7}", n)[0])
    assert all(len(p.heap) <= MAX_STALE_ENTRIES + 2 for p in q._plans[0].values())
    assert q.head() is None


@pytest.mark.parametrize(
    "arguments", [dict(bands=()), dict(bands=(0.0,)), dict(entries=0), dict(size=0), dict(flows=0)]
)
def test_bounds_and_weights_are_checked(arguments: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="wanted"):
        queue(**arguments)  # type: ignore[arg-type]


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
def test_an_account_within_its_share_waits_for_one_request_of_each_other(
    ops: list[tuple[str, int, int, int]],
) -> None:
    """Rule 2; and each entry that can be served is served once, in the order of its account."""
    q, now = queue(), 0
    waiting: list[Entry[tuple[str, int]]] = []
    # By entry of an account within its share: how often each other account was served since.
    served_since: dict[Entry[tuple[str, int]], dict[Hashable, int]] = {}
    orders: defaultdict[Hashable, list[int]] = defaultdict(list)
    for kind, a, b, c in ops:
        now += 1000
        if kind == "push":
            entry, dropped = push(q, f"{a}.{b}", now, float(c), plan=a, now=now)
            assert not dropped
            waiting.append(entry)
            flow = flow_of(entry)
            assert flow.parent is not None
            if len(flow.entries) == 1 and flow.start_tag == flow.parent.virtual_time:
                served_since[entry] = defaultdict(int)
        elif kind == "serve" and (best := q.head()) is not None:
            flow = flow_of(best)
            q.serve(best)
            waiting.remove(best)
            orders[flow.key].append(best.item[1])
            served_since.pop(best, None)
            for waiting_entry, counts in served_since.items():
                if flow_of(waiting_entry).parent is flow.parent:
                    counts[flow.key] += 1
                    assert counts[flow.key] <= 1, "served twice before an account within its share"
        elif kind == "leave" and waiting:
            entry = waiting.pop(a % len(waiting))
            served_since.pop(entry, None)
            q.remove(entry)
        elif kind in ("hold", "free") and waiting:
            flow = flow_of(waiting[a % len(waiting)])
            if kind == "hold":
                q.block(flow)
                for entry in flow.entries:
                    served_since.pop(entry, None)
            else:
                q.unblock(flow)
        eligible = [e for e in waiting if not flow_of(e).is_blocked]
        assert (q.head() is not None) == bool(eligible) and q.entries == len(waiting)
    assert all(order == sorted(order) for order in orders.values())


@settings(max_examples=EXAMPLES // 5, deadline=None)
@given(st.integers(0, 10**9))
def test_two_backlogged_flows_get_equal_service(seed: int) -> None:
    """Theorem 1 of SFQ at both levels: services over weights differ by at most one request of each."""
    q, rng, now = queue(), random.Random(seed), 0
    weights = {(p, s): rng.choice([0.5, 1.0, 3.0]) for p in range(3) for s in range(3)}
    for n in range(rng.randrange(400, 600)):
        p, s = rng.randrange(3), rng.randrange(3)
        push(q, f"{p}.{s}", n, rng.uniform(0.5, 4.0), plan=p, weight=weights[p, s], now=(now := now + 50_000))
    for p in range(3):  # enough that all stay backlogged below
        for s in range(3):
            for n in range(150):
                push(q, f"{p}.{s}", n, rng.uniform(0.5, 4.0), plan=p, weight=weights[p, s], now=now)
    normalized_service: defaultdict[object, float] = defaultdict(float)
    max_share: defaultdict[object, float] = defaultdict(float)
    for _ in range(120):
        entry = q.head()
        assert entry is not None
        flow = flow_of(entry)
        q.serve(entry)
        for node in (flow, flow.parent):
            assert node is not None
            share = entry.cost / node.weight
            normalized_service[node] += share
            max_share[node] = max(max_share[node], 4.0 / node.weight)
        for siblings in (
            [n for n in normalized_service if isinstance(n, Flow) and n.parent is flow.parent],
            [n for n in normalized_service if not isinstance(n, Flow)],
        ):
            for one in siblings:
                for other in siblings:
                    assert (
                        normalized_service[one] - normalized_service[other]
                        <= max_share[one] + max_share[other] + 1e-9
                    )


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(0, 10**9))
def test_no_request_ends_later_than_at_a_fluid_server_plus_the_bound(seed: int) -> None:
    """Theorem 4 of SFQ with a server of rate 1: a request of an account with the reserved rate r ends by its
    start at a fluid server of rate r for this account alone, plus one longest request of each other account,
    plus its own time here."""
    rng = random.Random(seed)
    accounts = rng.randrange(2, 9)
    weights = [rng.uniform(0.2, 3.0) for _ in range(accounts)]
    rate_shares = [w / sum(weights) for w in weights]
    longest = [rng.uniform(0.5, 5.0) for _ in range(accounts)]
    arrivals: list[tuple[float, int, float]] = []
    for s in range(accounts):
        at = 0.0
        for _ in range(rng.randrange(1, 30)):
            at += rng.choice([0.0, rng.expovariate(rate_shares[s] / longest[s]), rng.expovariate(0.05)])
            arrivals.append((at, s, longest[s] * rng.uniform(0.1, 1.0)))
    arrivals.sort()
    expected, fluid_free_at = [], [0.0] * accounts  # starts at a fluid server for each account
    for at, s, cost in arrivals:
        fluid_start = max(at, fluid_free_at[s])
        fluid_free_at[s] = fluid_start + cost / rate_shares[s]
        expected.append(fluid_start)
    q, clock, next_arrival = queue(), 0.0, 0
    while next_arrival < len(arrivals) or q.entries:
        if not q.entries and arrivals[next_arrival][0] > clock:
            clock = arrivals[next_arrival][0]
            q.end_busy_period()
        while next_arrival < len(arrivals) and arrivals[next_arrival][0] <= clock:
            _, s, cost = arrivals[next_arrival]
            push(q, f"{s}", next_arrival, cost, weight=weights[s])
            next_arrival += 1
        entry = q.head()
        assert entry is not None
        q.serve(entry)
        clock += entry.cost
        s, number = int(entry.item[0]), entry.item[1]
        excess = clock - (expected[number] + sum(longest) - longest[s] + entry.cost)
        assert excess <= 1e-6, f"{excess} past the bound"
