"""An upper bound on the value that the backends could have served in time, by their capacity alone. Pure.

With it a served share of 0.55 can be interpreted. Its inputs: each first attempt that one gateway with a view
of all requests would admit (BENCH, This kind of system), with its time, its value and the mean work of its
class; and the capacity of each incarnation of each backend. It ignores, always in the bound's favour, that work
cannot be split, queues, connections, retries, hangs and slow spells, and that a crashed backend does nothing.

Time is divided into slots. A request that arrives in slot r may be worked on in slots r to d, those within its
latency target. A set of work is feasible where for every span of slots [i, j] what must be done inside it
(r >= i and d <= j) is at most its capacity: Hall's condition for intervals. Such sets form a polymatroid, on
which taking the densest work first (value per work), each as much as still fits, is optimal (Edmonds 1970).
"""

from __future__ import annotations

from collections import defaultdict

from irisdeal.testbed.request_log import SECOND, BackendIncarnation, RequestLog
from irisdeal.testbed.scenario import Scenario
from irisdeal.testbed.service_report import Bucket

MOST_SLOTS = 60  # of a day: the work is cubic in them
LEAST_SLOT = SECOND // 2  # µs


def reference(request_log: RequestLog, scenario: Scenario, start: int) -> float:
    """Compute the largest share, 0 to 1, of the value offered within quotas that could be served."""
    begin, end = start + SECOND, start + round(scenario.seconds * SECOND)
    slot = max(LEAST_SLOT, -(-(end - begin) // MOST_SLOTS))
    kinds = {c.name: c for c in scenario.classes}
    plans = {p.name: p for p in scenario.plans}
    offers: dict[tuple[str, int], Bucket] = {}
    work: dict[tuple[int, int, float], float] = defaultdict(float)  # core s by slots and density
    total = 0.0
    for first in sorted((t for t in request_log.client_attempts if t.attempt == 0), key=lambda t: t.due):
        kind, plan = kinds[first.kind], plans[first.plan]
        key = (first.plan, first.customer)
        if key not in offers:
            offers[key] = Bucket(plan.rate, scenario.burst(plan), plan.open)
        took = round(kind.work_ms * 1000)
        inside = offers[key].take(first.due, first.units, first.due + took)
        if not begin <= first.due < end or not inside:
            continue
        value = kind.value * plan.price * first.units
        total += value
        last = (first.due + round(kind.latency_target_ms * 1000) - begin) // slot
        work[(first.due - begin) // slot, last, value / (took / 1e6)] += took / 1e6
    slots = max((last for _, last, _ in work), default=0) + 1
    spent = _fill(work, _capacity(request_log.incarnations, begin, slot, slots))
    return min(1.0, spent / total) if total else 1.0


def _capacity(incarnations: list[BackendIncarnation], begin: int, slot: int, slots: int) -> list[float]:
    """Core seconds (at speed 1) that all backends can do in each slot."""
    by_backend: dict[str, list[BackendIncarnation]] = defaultdict(list)
    for incarnation in incarnations:
        by_backend[incarnation.backend].append(incarnation)
    found = [0.0] * slots
    for many in by_backend.values():
        many.sort(key=lambda incarnation: incarnation.at)
        for n in range(slots):
            middle = begin + n * slot + slot // 2
            if live := [incarnation for incarnation in many if incarnation.at <= middle]:
                found[n] += live[-1].now(middle) * slot / 1e6
    return found


def _fill(work: dict[tuple[int, int, float], float], capacity: list[float]) -> float:
    """Compute the value of the best feasible part of the work: the densest first, as much as fits."""
    slots = len(capacity)
    left = [[0.0] * slots for _ in range(slots)]  # of each span of slots
    for i in range(slots):
        total = 0.0
        for j in range(i, slots):
            total += capacity[j]
            left[i][j] = total
    value = 0.0
    for (first, last, density), seconds in sorted(work.items(), key=lambda item: (-item[0][2], item[0])):
        fits = min(seconds, min(min(left[i][last:]) for i in range(first + 1)))
        if fits > 0:
            value += fits * density
            for i in range(first + 1):
                row = left[i]
                for j in range(last, slots):
                    row[j] -= fits
    return value
