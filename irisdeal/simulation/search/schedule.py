"""Schedules of faults: drawn at random, by pairs, aimed at a moment, and changed a little. Pure.

A schedule is a table as a scenario's TOML file has it, laid over the built-in `small` day: so whatever is
found here is a file that `irisdeal demo --scenario` plays on sockets as well. All chance comes from the
`random.Random` that is handed in.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from irisdeal.testbed.scenario import FAULTS, Scenario
from irisdeal.testbed.scenario_files import read

Table = dict[str, Any]

BASE = "small"
DURATION_S = 7.0  # of a day that is drawn
FIRST_FAULT_S, LAST_FAULT_END_S = (
    0.5,
    3.6,
)  # s: when faults begin at the earliest, and have ended at the latest
QUIET = DURATION_S - LAST_FAULT_END_S  # s at the end in which the day is to be itself again
MOST_FAULTS = 6
PAIR_NEAR = 0.5  # s within which the second fault of a pair begins after the first
# Faults that a small day plays; the rest want more doors or machines than it has, or cost too much.
LEFT_OUT = ("flood", "connect-storm", "slow-readers", "link-cut", "link-silent", "link-slow", "link-reset")
KINDS = tuple(kind for kind in FAULTS if kind not in LEFT_OUT)
PAIRS = tuple(itertools.combinations_with_replacement(KINDS, 2))
# What each size means differs; the least and the most that a small day is given.
SIZES: dict[str, tuple[float, float]] = {
    "box-slow": (2.0, 12.0),
    "box-spoil": (0.1, 1.0),
    "keeper-slow": (2.0, 40.0),
    "keeper-flush": (0.2, 1.0),
    "keeper-spoil": (0.1, 1.0),
    "roster-late": (0.2, 1.5),
    "roster-lose": (0.3, 1.0),
    "hot-door": (0.4, 1.0),
    "rush": (1.5, 4.0),
    "greedy": (2.0, 6.0),
}
NO_SECONDS = tuple(kind for kind in KINDS if "for_s" not in FAULTS[kind])


def fault(kind: str, rng: random.Random, at: float | None = None, doors: int = 3, boxes: int = 6) -> Table:
    """One fault with all that its kind needs. `at` in s."""
    needs = FAULTS[kind]
    at = (
        rng.uniform(FIRST_FAULT_S, LAST_FAULT_END_S - 0.3) if at is None else min(at, LAST_FAULT_END_S - 0.05)
    )
    made: Table = {"at_s": round(at, 6), "do": kind}
    for need in needs:
        if need == "for_s":
            # Half are over soon, so that what is set off by the end of a fault is met as well.
            longest = max(0.05, LAST_FAULT_END_S - at)
            made[need] = round(min(longest, rng.choice((rng.uniform(0.05, 0.5), rng.uniform(0.3, 3.0)))), 3)
        elif need == "boxes":
            made[need] = rng.randint(1, max(1, boxes // 2))
        elif need == "hall":
            made[need] = rng.choice(("hall-a", "hall-b", "hall-c"))
        elif need == "door":
            made[need] = rng.randrange(1 if kind == "keeper-split" and doors > 1 else 0, doors)
        elif need == "size":
            made[need] = round(rng.uniform(*SIZES[kind]), 3)
        elif need == "ms":
            made[need] = rng.choice((5, 40, 150))
    if kind == "keeper-refuse" and rng.random() < 0.5:
        made["empty"] = True
    return made


def draw_schedule(number: int, rng: random.Random, pairs: bool = True, only: Sequence[str] = ()) -> Table:
    """A day of the search. With `pairs` day n has the n-th pair of faults, one begun amid the other.

    `only` names the faults to draw from, all of `KINDS` where it is empty.
    """
    kinds = tuple(only) or KINDS
    doors, boxes = rng.choice((2, 3, 3, 4)), rng.choice((4, 6, 6, 9))
    faults: list[Table] = []
    if pairs:
        choices = PAIRS if not only else tuple(itertools.combinations_with_replacement(kinds, 2))
        one, other = choices[number % len(choices)]
        first = fault(one, rng, doors=doors, boxes=boxes)
        within = min(PAIR_NEAR, first.get("for_s", PAIR_NEAR))
        faults += [first, fault(other, rng, first["at_s"] + rng.uniform(0.0, within), doors, boxes)]
    for _ in range(rng.choice((0, 0, 1, 2, 3)) if pairs else rng.randint(1, MOST_FAULTS)):
        faults.append(fault(rng.choice(kinds), rng, doors=doors, boxes=boxes))
    faults.sort(key=lambda f: f["at_s"])
    return {
        "base": BASE,
        "seed": rng.getrandbits(31),
        "seconds": DURATION_S,
        "doors": doors,
        "fleet": {"boxes": boxes, "cross_ms": rng.choice((0.2, 0.6, 5.0))},
        "load": {
            "use": rng.choice((0.06, 0.12, 0.25)),
            "backoff": rng.choice(("none", "fixed", "exp")),
            "honour": rng.choice((0.0, 0.6, 1.0)),
            "reuse": rng.random() < 0.8,
        },
        "keeper": {"calls_per_s": rng.choice((200, 720))},
        "at": faults,
    }


@dataclass(frozen=True, slots=True)
class Moment:
    """A moment that matters, as a day that was played showed it: `at` in s from its start."""

    what: str
    at: float
    door: int = 0
    hall: str = ""


def add_aimed_fault(table: Table, moments: Sequence[Moment], rng: random.Random) -> Table | None:
    """The same day with a fault more, at one of these moments to the µs; None where there is none.

    A world in virtual time comes to that moment as it did before, since nothing before it has changed: no
    draw of it is moved by a fault that has yet to come (`Platform.random` is drawn from when one begins).
    """
    able = [m for m in moments if FIRST_FAULT_S <= m.at <= LAST_FAULT_END_S - 0.1]
    if not able:
        return None
    moment = rng.choice(able)
    kinds = [
        "door-kill",
        "door-restart",
        "door-reload",
        "box-crash",
        "box-drain",
        "box-hang",
        "hall-reset",
        "hall-cut",
        "keeper-refuse",
        "keeper-silent",
        "box-replace",
    ]
    kind = rng.choice([k for k in kinds if moment.hall or not k.startswith("hall")])
    doors = int(table.get("doors", 3))
    added = fault(kind, rng, moment.at, doors, int(table.get("fleet", {}).get("boxes", 6)))
    if "door" in added:
        added["door"] = min(moment.door, doors - 1)
    if "hall" in added:
        added["hall"] = moment.hall
    return with_faults(table, [*table.get("at", []), added])


def with_faults(table: Table, faults: Sequence[Table]) -> Table:
    return {**table, "at": sorted((dict(f) for f in faults), key=lambda f: f["at_s"])}


def mutate(table: Table, rng: random.Random) -> Table:
    """A day a little different from one that is worth it."""
    faults = [dict(f) for f in table.get("at", [])]
    doors = int(table.get("doors", 3))
    boxes = int(table.get("fleet", {}).get("boxes", 6))

    def move() -> None:
        if faults:
            f = rng.choice(faults)
            f["at_s"] = round(
                min(LAST_FAULT_END_S - 0.05, max(FIRST_FAULT_S, f["at_s"] + rng.gauss(0.0, 0.15))), 6
            )

    def add() -> None:
        if len(faults) < MOST_FAULTS:
            near = rng.choice(faults)["at_s"] + rng.uniform(0.0, PAIR_NEAR) if faults else None
            faults.append(fault(rng.choice(KINDS), rng, near, doors, boxes))

    def drop() -> None:
        if len(faults) > 1:
            faults.pop(rng.randrange(len(faults)))

    def again() -> None:
        if faults and len(faults) < MOST_FAULTS:
            f = dict(rng.choice(faults))
            f["at_s"] = round(
                min(LAST_FAULT_END_S - 0.05, f["at_s"] + f.get("for_s", 0.2) + rng.uniform(0.0, 0.4)), 6
            )
            faults.append(f)

    def stretch() -> None:
        for f in faults:
            if "for_s" in f and rng.random() < 0.5:
                f["for_s"] = round(
                    max(0.02, min(LAST_FAULT_END_S - f["at_s"], f["for_s"] * rng.uniform(0.3, 2.5))), 3
                )

    changes: list[Callable[[], None]] = [move, move, add, add, drop, again, stretch]
    for _ in range(rng.randint(1, 3)):
        rng.choice(changes)()
    made = with_faults(table, faults)
    if rng.random() < 0.3:
        made["seed"] = rng.getrandbits(31)
    for f in made["at"]:  # whatever was moved still ends in time
        if "for_s" in f:
            f["for_s"] = round(max(0.02, min(f["for_s"], LAST_FAULT_END_S - f["at_s"])), 3)
    return made


def without_faults(table: Table) -> Table:
    return {**table, "at": []}


def scenario(table: Table, where: str = "schedule") -> Scenario:
    """The scenario of a schedule. Raises `ScenarioError`."""
    return read(table, where)


def pairs_of(table: Table) -> set[tuple[str, str]]:
    """The pairs of kinds of which one begins while the other lasts, or within half a second of its end."""
    found: set[tuple[str, str]] = set()
    faults = table.get("at", [])
    for one, other in itertools.combinations(faults, 2):
        end = one["at_s"] + one.get("for_s", 0.0) + PAIR_NEAR
        if other["at_s"] <= end:
            first, second = sorted((one["do"], other["do"]), key=list(FAULTS).index)
            found.add((first, second))
    return found
