"""Schedules of faults: drawn at random or by pairs, with an aimed fault, or mutated. Without side effects.

A schedule is a table of a scenario's TOML file, based on the built-in scenario `small`, so `irisdeal demo
--scenario` runs it on sockets as well. All randomness comes from the `random.Random` argument.
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

BASE_SCENARIO = "small"
DURATION_S = 7.0  # of a drawn day
FIRST_FAULT_S = 0.5  # earliest start of a fault
LAST_FAULT_END_S = 3.6  # latest end of a fault
QUIET_S = DURATION_S - LAST_FAULT_END_S  # without faults at the end, for the recovery
MAX_FAULTS = 6
PAIR_WINDOW_S = 0.5  # the second fault of a pair starts this soon after the first
# Not drawn: they need more front doors or machines than a small day has, or take too much CPU.
EXCLUDED_KINDS = (
    "flood",
    "connect-storm",
    "slow-readers",
    "link-cut",
    "link-silent",
    "link-slow",
    "link-reset",
)
KINDS = tuple(kind for kind in FAULTS if kind not in EXCLUDED_KINDS)
PAIRS = tuple(itertools.combinations_with_replacement(KINDS, 2))
# Minimum and maximum of each fault's size; its meaning depends on the fault.
SIZE_RANGES: dict[str, tuple[float, float]] = {
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
KINDS_WITHOUT_DURATION = tuple(kind for kind in KINDS if "for_s" not in FAULTS[kind])


def draw_fault(
    kind: str, rng: random.Random, at: float | None = None, doors: int = 3, boxes: int = 6
) -> Table:
    """Draw a fault with all settings of its kind. `at` in s."""
    needs = FAULTS[kind]
    at = (
        rng.uniform(FIRST_FAULT_S, LAST_FAULT_END_S - 0.3) if at is None else min(at, LAST_FAULT_END_S - 0.05)
    )
    made: Table = {"at_s": round(at, 6), "do": kind}
    for need in needs:
        if need == "for_s":
            # Half are short, so that effects of a fault's end occur as well.
            longest = max(0.05, LAST_FAULT_END_S - at)
            made[need] = round(min(longest, rng.choice((rng.uniform(0.05, 0.5), rng.uniform(0.3, 3.0)))), 3)
        elif need == "boxes":
            made[need] = rng.randint(1, max(1, boxes // 2))
        elif need == "hall":
            made[need] = rng.choice(("hall-a", "hall-b", "hall-c"))
        elif need == "door":
            made[need] = rng.randrange(1 if kind == "keeper-split" and doors > 1 else 0, doors)
        elif need == "size":
            made[need] = round(rng.uniform(*SIZE_RANGES[kind]), 3)
        elif need == "ms":
            made[need] = rng.choice((5, 40, 150))
    if kind == "keeper-refuse" and rng.random() < 0.5:
        made["empty"] = True
    return made


def draw_schedule(number: int, rng: random.Random, pairs: bool = True, only: Sequence[str] = ()) -> Table:
    """Draw a schedule. With `pairs`, schedule n has the n-th pair of faults, the second starting during the first.

    `only`: kinds of faults to draw from; empty for all of `KINDS`.
    """
    kinds = tuple(only) or KINDS
    doors, boxes = rng.choice((2, 3, 3, 4)), rng.choice((4, 6, 6, 9))
    faults: list[Table] = []
    if pairs:
        choices = PAIRS if not only else tuple(itertools.combinations_with_replacement(kinds, 2))
        one, other = choices[number % len(choices)]
        first = draw_fault(one, rng, doors=doors, boxes=boxes)
        within = min(PAIR_WINDOW_S, first.get("for_s", PAIR_WINDOW_S))
        faults += [first, draw_fault(other, rng, first["at_s"] + rng.uniform(0.0, within), doors, boxes)]
    for _ in range(rng.choice((0, 0, 1, 2, 3)) if pairs else rng.randint(1, MAX_FAULTS)):
        faults.append(draw_fault(rng.choice(kinds), rng, doors=doors, boxes=boxes))
    faults.sort(key=lambda f: f["at_s"])
    return {
        "base": BASE_SCENARIO,
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
    """A moment of a simulated day at which a fault may have an effect: `at` in s from its start."""

    what: str
    at: float
    door: int = 0
    hall: str = ""


def add_aimed_fault(table: Table, moments: Sequence[Moment], rng: random.Random) -> Table | None:
    """Add a fault at one of these moments, to the µs; None if none of them is in range.

    The simulation reaches that moment unchanged, since a later fault moves no earlier random draw
    (`Platform.random` is drawn from when a fault starts).
    """
    candidates = [m for m in moments if FIRST_FAULT_S <= m.at <= LAST_FAULT_END_S - 0.1]
    if not candidates:
        return None
    moment = rng.choice(candidates)
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
    added = draw_fault(kind, rng, moment.at, doors, int(table.get("fleet", {}).get("boxes", 6)))
    if "door" in added:
        added["door"] = min(moment.door, doors - 1)
    if "hall" in added:
        added["hall"] = moment.hall
    return with_faults(table, [*table.get("at", []), added])


def with_faults(table: Table, faults: Sequence[Table]) -> Table:
    """Return the schedule with these faults instead, in the order of their start."""
    return {**table, "at": sorted((dict(f) for f in faults), key=lambda f: f["at_s"])}


def mutate(table: Table, rng: random.Random) -> Table:
    """Return a schedule with one to three random changes, and sometimes another seed."""
    faults = [dict(f) for f in table.get("at", [])]
    doors = int(table.get("doors", 3))
    boxes = int(table.get("fleet", {}).get("boxes", 6))

    def move_fault() -> None:
        if faults:
            f = rng.choice(faults)
            f["at_s"] = round(
                min(LAST_FAULT_END_S - 0.05, max(FIRST_FAULT_S, f["at_s"] + rng.gauss(0.0, 0.15))), 6
            )

    def add_fault() -> None:
        if len(faults) < MAX_FAULTS:
            near = rng.choice(faults)["at_s"] + rng.uniform(0.0, PAIR_WINDOW_S) if faults else None
            faults.append(draw_fault(rng.choice(KINDS), rng, near, doors, boxes))

    def remove_fault() -> None:
        if len(faults) > 1:
            faults.pop(rng.randrange(len(faults)))

    def repeat_fault() -> None:
        if faults and len(faults) < MAX_FAULTS:
            f = dict(rng.choice(faults))
            f["at_s"] = round(
                min(LAST_FAULT_END_S - 0.05, f["at_s"] + f.get("for_s", 0.2) + rng.uniform(0.0, 0.4)), 6
            )
            faults.append(f)

    def scale_durations() -> None:
        for f in faults:
            if "for_s" in f and rng.random() < 0.5:
                f["for_s"] = round(
                    max(0.02, min(LAST_FAULT_END_S - f["at_s"], f["for_s"] * rng.uniform(0.3, 2.5))), 3
                )

    changes: list[Callable[[], None]] = [
        move_fault,
        move_fault,
        add_fault,
        add_fault,
        remove_fault,
        repeat_fault,
        scale_durations,
    ]
    for _ in range(rng.randint(1, 3)):
        rng.choice(changes)()
    made = with_faults(table, faults)
    if rng.random() < 0.3:
        made["seed"] = rng.getrandbits(31)
    for f in made["at"]:  # all faults still end in time
        if "for_s" in f:
            f["for_s"] = round(max(0.02, min(f["for_s"], LAST_FAULT_END_S - f["at_s"])), 3)
    return made


def without_faults(table: Table) -> Table:
    """Return the schedule without faults."""
    return {**table, "at": []}


def scenario(table: Table, where: str = "schedule") -> Scenario:
    """Return the scenario of a schedule. Raises `ScenarioError`."""
    return read(table, where)


def pairs_of(table: Table) -> set[tuple[str, str]]:
    """Return the pairs of kinds of which one starts during the other, or within `PAIR_WINDOW_S` of its end."""
    found: set[tuple[str, str]] = set()
    faults = table.get("at", [])
    for one, other in itertools.combinations(faults, 2):
        end = one["at_s"] + one.get("for_s", 0.0) + PAIR_WINDOW_S
        if other["at_s"] <= end:
            first, second = sorted((one["do"], other["do"]), key=list(FAULTS).index)
            found.add((first, second))
    return found
