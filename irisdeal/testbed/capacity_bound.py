"""The most worth that the boxes could have served in time, by their capacity alone. Pure.

A bound from above, so that a served share of 0.55 can be read. What it knows: each first try that a gateway
which saw all would let in (BENCH, This kind of system), with its moment, its worth and the mean work of its
class; and what each life of each box can do. What it leaves out, all in the bound's favour: that work cannot
be split, waiting rooms, connections, retries, hangs and slow spells, and that a crashed box does nothing.

Time is cut into slots. A try that comes in slot r with aim a may be worked on in slots r to d, those that
its aim reaches. A set of work is feasible where for every span of slots [i, j] what must be done inside it
(r >= i and d <= j) is no more than the capacity of it: Hall's condition for intervals. Such sets form a
polymatroid, on which taking the densest work first (worth for work), each as much as still fits, is optimal
(Edmonds 1970).
"""

from __future__ import annotations

from collections import defaultdict

from irisdeal.testbed.request_log import SECOND, Books, Life
from irisdeal.testbed.scenario import Scenario
from irisdeal.testbed.service_report import Bucket

MOST_SLOTS = 60  # of a day: the work is cubic in them
LEAST_SLOT = SECOND // 2  # µs


def reference(books: Books, scenario: Scenario, start: int) -> float:
    """The share of the worth offered inside the quotas, 0 to 1, that no door could have gone beyond."""
    begin, end = start + SECOND, start + round(scenario.seconds * SECOND)
    slot = max(LEAST_SLOT, -(-(end - begin) // MOST_SLOTS))
    kinds = {c.name: c for c in scenario.classes}
    plans = {p.name: p for p in scenario.plans}
    offers: dict[tuple[str, int], Bucket] = {}
    work: dict[tuple[int, int, float], float] = defaultdict(float)  # core s by slots and density
    total = 0.0
    for first in sorted((t for t in books.taken if t.attempt == 0), key=lambda t: t.due):
        kind, plan = kinds[first.kind], plans[first.plan]
        key = (first.plan, first.customer)
        if key not in offers:
            offers[key] = Bucket(plan.rate, scenario.burst(plan), plan.open)
        took = round(kind.work_ms * 1000)
        inside = offers[key].take(first.due, first.units, first.due + took)
        if not begin <= first.due < end or not inside:
            continue
        worth = kind.worth * plan.price * first.units
        total += worth
        last = (first.due + round(kind.aim_ms * 1000) - begin) // slot
        work[(first.due - begin) // slot, last, worth / (took / 1e6)] += took / 1e6
    slots = max((last for _, last, _ in work), default=0) + 1
    spent = _fill(work, _capacity(books.lives, begin, slot, slots))
    return min(1.0, spent / total) if total else 1.0


def _capacity(lives: list[Life], begin: int, slot: int, slots: int) -> list[float]:
    """Core seconds (at speed 1) that all boxes can do in each slot."""
    by_box: dict[str, list[Life]] = defaultdict(list)
    for life in lives:
        by_box[life.box].append(life)
    found = [0.0] * slots
    for many in by_box.values():
        many.sort(key=lambda life: life.at)
        for n in range(slots):
            middle = begin + n * slot + slot // 2
            if live := [life for life in many if life.at <= middle]:
                found[n] += live[-1].now(middle) * slot / 1e6
    return found


def _fill(work: dict[tuple[int, int, float], float], capacity: list[float]) -> float:
    """The worth of the best feasible part of the work: the densest first, as much of each as fits."""
    slots = len(capacity)
    left = [[0.0] * slots for _ in range(slots)]  # of each span of slots
    for i in range(slots):
        total = 0.0
        for j in range(i, slots):
            total += capacity[j]
            left[i][j] = total
    worth = 0.0
    for (first, last, density), seconds in sorted(work.items(), key=lambda item: (-item[0][2], item[0])):
        fits = min(seconds, min(min(left[i][last:]) for i in range(first + 1)))
        if fits > 0:
            worth += fits * density
            for i in range(first + 1):
                row = left[i]
                for j in range(last, slots):
                    row[j] -= fits
    return worth
