"""An upper bound on the value that the backends could have served in time, by their capacity alone. Pure.

It shows how much of a low served share is due to capacity. The inputs are the first attempts that a single gateway
with a view of all requests would admit (BENCH, This kind of system), with time, value and mean work of the class,
and the capacity of each incarnation of each backend. The model ignores queues, connections, retries, hangs and
slow backends, lets work be split and crashed backends go on; each of these can only raise the bound.

Time is divided into slots. A request that arrives in slot r may be worked on in slots r to d, those within its
latency target. A set of work is feasible if for every span of slots [i, j] the work that must be done within it
(r >= i and d <= j) is at most its capacity: Hall's condition for intervals. Such sets form a polymatroid, on
which the greedy algorithm by density (value per work) is optimal (Edmonds 1970).
"""

from __future__ import annotations

from collections import defaultdict

from irisdeal.testbed.request_log import SECOND, BackendIncarnation, RequestLog
from irisdeal.testbed.scenario import Scenario
from irisdeal.testbed.service_report import Bucket

MAX_SLOTS = 60  # of a day: the running time is cubic in them
MIN_SLOT_US = SECOND // 2


def reference(request_log: RequestLog, scenario: Scenario, start: int) -> float:
    """Return the largest share, 0 to 1, of the value offered within quotas that could be served."""
    begin, end = start + SECOND, start + round(scenario.seconds * SECOND)
    slot = max(MIN_SLOT_US, -(-(end - begin) // MAX_SLOTS))
    kinds = {c.name: c for c in scenario.classes}
    plans = {p.name: p for p in scenario.plans}
    buckets: dict[tuple[str, int], Bucket] = {}
    # Core seconds by first slot, last slot and density.
    work: dict[tuple[int, int, float], float] = defaultdict(float)
    total = 0.0
    for first in sorted((t for t in request_log.client_attempts if t.attempt == 0), key=lambda t: t.due):
        kind, plan = kinds[first.kind], plans[first.plan]
        key = (first.plan, first.customer)
        if key not in buckets:
            buckets[key] = Bucket(plan.rate, scenario.burst(plan), plan.open)
        work_us = round(kind.work_ms * 1000)
        inside = buckets[key].take(first.due, first.units, first.due + work_us)
        if not begin <= first.due < end or not inside:
            continue
        value = kind.value * plan.price * first.units
        total += value
        last = (first.due + round(kind.latency_target_ms * 1000) - begin) // slot
        work[(first.due - begin) // slot, last, value / (work_us / 1e6)] += work_us / 1e6
    slots = max((last for _, last, _ in work), default=0) + 1
    feasible_value = _max_feasible_value(work, _capacity(request_log.incarnations, begin, slot, slots))
    return min(1.0, feasible_value / total) if total else 1.0


def _capacity(incarnations: list[BackendIncarnation], begin: int, slot: int, slots: int) -> list[float]:
    """Return the core seconds (at speed 1) that all backends can do in each slot."""
    by_backend: dict[str, list[BackendIncarnation]] = defaultdict(list)
    for incarnation in incarnations:
        by_backend[incarnation.backend].append(incarnation)
    capacity = [0.0] * slots
    for starts in by_backend.values():
        starts.sort(key=lambda incarnation: incarnation.at)
        for n in range(slots):
            middle = begin + n * slot + slot // 2
            if live := [incarnation for incarnation in starts if incarnation.at <= middle]:
                capacity[n] += live[-1].now(middle) * slot / 1e6
    return capacity


def _max_feasible_value(work: dict[tuple[int, int, float], float], capacity: list[float]) -> float:
    """Return the value of the best feasible part of the work, taken greedily by density."""
    slots = len(capacity)
    remaining = [[0.0] * slots for _ in range(slots)]  # capacity of each span of slots
    for i in range(slots):
        total = 0.0
        for j in range(i, slots):
            total += capacity[j]
            remaining[i][j] = total
    value = 0.0
    for (first, last, density), seconds in sorted(work.items(), key=lambda item: (-item[0][2], item[0])):
        fits = min(seconds, min(min(remaining[i][last:]) for i in range(first + 1)))
        if fits > 0:
            value += fits * density
            for i in range(first + 1):
                row = remaining[i]
                for j in range(last, slots):
                    row[j] -= fits
    return value
