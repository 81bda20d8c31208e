"""Ways to place requests where an ask for each no longer fits: what each loses in worth, and its bytes.

One service of the size: `BACKENDS` of two slots and a queue, `DOORS` doors that each send it a request every eighth
second (87 a second over 650 services): a door by itself knows next to nothing of a backend's load.
A request that is answered earns 1 inside its aim and `LATE` after it; nothing where two backends turned it away.
Events in virtual time, by seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.capacity.size import WHOLE
from irisdeal.placement.placer import ZONE_COST

BACKENDS = round(WHOLE.backends / WHOLE.services)
DOORS = 1_500
SLOTS, QUEUE = 2, 8  # of a backend, as the deployments have them
SPEEDS = (0.7, 1.0, 1.0, 1.5)
MEAN, SPREAD = 0.19, 0.3  # s of work, and of its logarithm
AIM, LATE = 0.8, 0.3  # s; worth of an answer after it
AGAIN = 0.005  # s to a second backend after one that is full
GAUGES = 23
TELL = 0.1  # s between two sums of a registry today
NEWS = 1.0  # s between two tellings of what replaces it
SECONDS, SLOWED = 40.0, 12.0  # a day, and when a tenth of the backends grow slow
SLOW = 5.0
PACE = 0.08  # weight of the newest answer in a backend's pace, as today's
CROWDED = 2.0  # requests for each slot from which doors are told to leave a backend out
EACH = WHOLE.each  # requests a second and door


@dataclass(slots=True)
class Box:
    """One backend."""

    speed: float
    out: int = 0
    waiting: list[tuple[float, int]] = field(default_factory=list)
    pace: float = 1.0  # learnt: time over the usual
    told_out: int = 0  # what doors were told last
    told_pace: float = 1.0
    crowded: bool = False
    sums: list[int] = field(default_factory=lambda: [0] * GAUGES)  # out by registry, as of its last telling
    own: list[int] = field(default_factory=lambda: [0] * GAUGES)


class Day:
    """One way, one seed."""

    def __init__(self, way: str, load: float, slow: bool, seed: int) -> None:
        self.way, self.slow, self.chance = way, slow, random.Random(seed)
        self.boxes = [Box(SPEEDS[at % len(SPEEDS)]) for at in range(BACKENDS)]
        self.rate = load * sum(SLOTS * box.speed for box in self.boxes) / MEAN
        self.now, self.number = 0.0, 0
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.worth = self.asked = self.late = self.lost = self.again = 0.0
        self.flips = self.leased = 0
        self.leases: dict[int, list[int]] = {}

    def at(self, when: float, what: Callable[..., None], *subject: Any) -> None:
        self.number += 1
        heapq.heappush(self.due, (when, self.number, what, subject))

    def play(self) -> dict[str, float]:
        self.at(0.0, self.arrive)
        self.at(TELL, self.tell_sums)
        self.at(NEWS, self.tell_news)
        if self.slow:
            self.at(SLOWED, self.slow_down)
        while self.due and self.due[0][0] < SECONDS:
            self.now, _, what, subject = heapq.heappop(self.due)
            what(*subject)
        return {
            "worth": self.worth / self.asked,
            "late": self.late / self.asked,
            "lost": self.lost / self.asked,
            "again": self.again / self.asked,
            "flips": self.flips / SECONDS / BACKENDS,
            "leased": self.leased / self.asked,
        }

    def slow_down(self) -> None:
        for box in self.boxes[::10]:
            box.speed /= SLOW

    # News

    def tell_sums(self) -> None:
        for box in self.boxes:
            box.sums = list(box.own)
        self.at(self.now + TELL, self.tell_sums)

    def tell_news(self) -> None:
        for box in self.boxes:
            box.told_out, box.told_pace = box.out, box.pace
            crowded = box.out >= CROWDED * SLOTS
            self.flips += crowded != box.crowded
            box.crowded = crowded
        if self.way == "leases":
            self.lease()
        self.at(self.now + NEWS, self.tell_news)

    def lease(self) -> None:
        """Free slots go to the doors that asked most in the last interval; a lease ends with it."""
        wants = sorted(self.leases, key=lambda door: -len(self.leases[door]))
        free = [at for at, box in enumerate(self.boxes) for _ in range(max(0, SLOTS - box.out))]
        self.chance.shuffle(free)
        self.leases = {door: [free.pop()] for door in wants if free}

    # A request

    def arrive(self) -> None:
        self.at(self.now + self.chance.expovariate(self.rate), self.arrive)
        self.asked += 1
        self.send(self.chance.randrange(DOORS), self.now, -1)

    def send(self, door: int, begun: float, tried: int) -> None:
        at = self.choose(door, tried)
        box, gauge = self.boxes[at], door % GAUGES
        if box.out >= SLOTS + QUEUE:
            if tried >= 0:
                self.lost += 1
                return
            self.again += 1
            self.at(self.now + AGAIN, self.send, door, begun, at)
            return
        box.out += 1
        box.own[gauge] += 1
        if box.out <= SLOTS:
            self.work(box, begun, self.now, gauge)
        else:
            box.waiting.append((begun, gauge))

    def work(self, box: Box, begun: float, sent: float, gauge: int) -> None:
        took = (
            self.chance.lognormvariate(0.0, SPREAD) * MEAN / 1.046 / box.speed
        )  # 1.046: the mean of the first
        self.at(self.now + took, self.end, box, begun, took, gauge)

    def end(self, box: Box, begun: float, took: float, gauge: int) -> None:
        box.out -= 1
        box.own[gauge] -= 1
        box.pace += PACE * (took / MEAN - box.pace)
        whole = self.now - begun
        self.worth += 1.0 if whole <= AIM else LATE
        self.late += whole > AIM
        if box.waiting:
            begun, gauge = box.waiting.pop(0)
            self.work(box, begun, self.now, gauge)

    # Choices

    def choose(self, door: int, tried: int) -> int:
        among = [at for at in range(BACKENDS) if at != tried]
        match self.way:
            case "known at once":
                return min(among, key=lambda at: self.cost(self.boxes[at].out, self.boxes[at].pace))
            case "asked each time":
                return min(among, key=lambda at: self.seen(at, door % GAUGES))
            case "asked, best of two":
                return min(self.chance.sample(among, 2), key=lambda at: self.seen(at, door % GAUGES))
            case "two by loads told":
                pair = self.chance.sample(among, 2)
                return min(pair, key=lambda at: self.cost(self.boxes[at].told_out, self.boxes[at].told_pace))
            case "by pace told":
                return self.by_pace(among)
            case "crowded left out":
                return self.by_pace([at for at in among if not self.boxes[at].crowded] or among)
            case "leases":
                held = self.leases.setdefault(door, [])
                if held and held[0] != tried:
                    self.leased += 1
                    return held.pop(0)
                return self.by_pace([at for at in among if not self.boxes[at].crowded] or among)
        return self.chance.choice(among)

    def by_pace(self, among: list[int]) -> int:
        return self.chance.choices(among, [1.0 / self.boxes[at].told_pace for at in among])[0]

    def seen(self, at: int, gauge: int) -> float:
        """The cost of a backend as a registry sees it: its own doors' at once, the others' as told; zones count."""
        box = self.boxes[at]
        out = sum(box.sums) - box.sums[gauge] + box.own[gauge]
        return self.cost(out, box.pace) + (ZONE_COST if at % WHOLE.zones != gauge % WHOLE.zones else 0.0)

    def cost(self, out: int, pace: float) -> float:
        return pace * max(1.0, (out + 1) / SLOTS) + 0.05 * self.chance.random()


# Bytes a second and door. An ask, its answer and its end were measured (`places` of the runs); the others are
# counted: 5 bytes a backend and word (key and figure), 4 of frame, told once for each `NEWS`.
TOLD = 5.0
WAYS: dict[str, Callable[[float, float], float]] = {  # flips a second and backend, bytes of a request's asks
    "known at once": lambda flips, ask: float("nan"),
    "asked each time": lambda flips, ask: EACH * ask,
    "asked, best of two": lambda flips, ask: EACH * ask,
    "two by loads told": lambda flips, ask: WHOLE.backends * TOLD / NEWS,
    "leases": lambda flips, ask: 2 * EACH * (TOLD + 3.0) / NEWS + WHOLE.backends * flips * 2.0,
    "crowded left out": lambda flips, ask: WHOLE.backends * flips * 2.0 + EACH * MEAN * TOLD / NEWS,
    "by pace told": lambda flips, ask: WHOLE.backends * 0.02 * 3.0 + EACH * MEAN * TOLD / NEWS,
    "by chance": lambda flips, ask: 0.0,
}


def weigh(seeds: Iterable[int], ask: float = float("nan")) -> list[dict[str, Any]]:
    """A row for each way, load and trouble: means over seeds, worth beside the best."""
    seeds, rows = list(seeds), []
    for slow in (False, True):
        for load in (0.6, 0.8):
            best = 0.0
            for way, size in WAYS.items():
                days = [Day(way, load, slow, seed).play() for seed in seeds]
                mean = {key: sum(day[key] for day in days) / len(days) for key in days[0]}
                best = best or mean["worth"]
                rows.append(
                    {
                        "way": way,
                        "load": load,
                        "slow": slow,
                        **{k: round(v, 4) for k, v in mean.items()},
                        "of_best": round(mean["worth"] / best, 4),
                        "bytes": round(size(mean["flips"], ask), 0) if ask == ask else None,
                    }
                )
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    """As Markdown."""
    lines = [
        "| way | load | a tenth slow | worth | beside the best | late | turned away once | lost |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row['way']} | {row['load']} | {'yes' if row['slow'] else 'no'} | {row['worth']:.3f} "
            f"| {row['of_best']:.3f} | {row['late']:.3f} | {row['again']:.3f} | {row['lost']:.4f} |"
        )
    return "\n".join(lines)
