"""A fleet of doors that send into three zones of which one may be lost, in virtual time: beliefs alone. Pure.

Each door sends so many attempts a second evenly over the zones. An attempt is answered after a lognormal
time, or fails after a patience of two mean times. The keeper answers within `KEEPER` s, or loses a call.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.front_door.zones.belief import SECOND, Stand, Word, Zones

USUAL, SPREAD = 0.15, 0.9  # s of an attempt at the median; sigma of its logarithm
PATIENCE = 3.0  # such times after which an attempt counts as failed: two of the mean, as in the module
KEEPER = (0.005, 0.060)  # s of a call, least and most
LOST_AT, CUT = 10.0, 8.0  # s
AFTER = 12.0  # s of the day after the return
MEMORY = 2.5  # s for which what was lost may still be held against a zone
STEP = 0.070001  # s between two looks back at it; an odd number of µs, as half of them are lost by these
ERRORS = 0.01  # share of attempts that fail anyway; BAD of the backends fail half of theirs
BAD = 2  # in each zone, where the fault says so


@dataclass
class Fleet:
    """One run. `lost` tells whether an attempt of a door at a zone fails, at a time."""

    doors: int
    backends: int
    rate: float
    seed: int
    lost: Callable[[int, int, float], bool]
    bad: int = 0
    lose: float = 0.0  # share of calls to the keeper with no answer
    keeper: bool = True
    until: float = LOST_AT + CUT + AFTER
    trials: int = 0
    sent: list[tuple[float, int, int]] = field(default_factory=list)  # s, door, zone: no trials
    calls: list[float] = field(default_factory=list)
    left: dict[int, float] = field(default_factory=dict)  # by door: when it left zone 0 first, s
    back: dict[int, float] = field(default_factory=dict)
    wrong: set[tuple[int, int]] = field(default_factory=set)  # door and zone that it left though it was well
    none_left: int = 0  # times that a door had no zone

    def run(self) -> Fleet:
        rng = self.random = random.Random(self.seed)
        self.beliefs = [
            Zones(self.doors, 4.0, 0.18, 17 * SECOND, True, random.Random(rng.random()))
            for _ in range(self.doors)
        ]
        sizes = {zone: self.backends // 3 for zone in range(3)}
        self.counts: Counter[int] = Counter()
        self.was: defaultdict[tuple[int, int], bool] = defaultdict(bool)
        self.steps: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        for door, belief in enumerate(self.beliefs):
            belief.listed(sizes)
            self.after(rng.random() / self.rate, lambda door=door: self.ask(door))  # type: ignore[misc]
            self.after(rng.random() * 0.05, lambda door=door: self.look(door))  # type: ignore[misc]
        self.now = 0.0
        while self.steps and self.steps[0][0] < self.until:
            self.now, _, step = heapq.heappop(self.steps)
            step()
        return self

    def after(self, wait: float, step: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.steps, (getattr(self, "now", 0.0) + wait, self.number, step))

    @property
    def us(self) -> int:
        return 77 * SECOND + round(self.now * SECOND)

    def ask(self, door: int) -> None:
        """One request of a door: a zone by the shares, and a trial beside it where one is due."""
        self.after(self.random.expovariate(self.rate), lambda: self.ask(door))
        belief = self.beliefs[door]
        shares = [belief.share(zone, self.us) for zone in range(3)]
        if not any(shares):
            self.none_left += 1
            return
        zone = self.random.choices(range(3), shares)[0]
        self.sent.append((self.now, door, zone))
        self.attempt(door, zone)
        if (trial := belief.trial(self.us)) is not None:
            self.trials += 1
            belief.tried(trial, self.us)
            self.attempt(door, trial)

    def attempt(self, door: int, zone: int) -> None:
        backend, sent = self.random.randrange(self.backends // 3), self.us
        took = USUAL * math.exp(SPREAD * self.random.gauss(0.0, 1.0))
        errs = 0.5 if backend < self.bad else ERRORS
        fails = self.lost(door, zone, self.now) or self.random.random() < errs
        name = b"%d/%d" % (zone, backend)
        belief = self.beliefs[door]
        if fails or took > PATIENCE * USUAL:
            self.after(PATIENCE * USUAL, lambda: self.tell(door, belief.fails(zone, name, sent, self.us)))
        if not fails:
            self.after(took, lambda: self.tell(door, belief.answers(zone, name, sent, self.us)))

    def look(self, door: int) -> None:
        self.after(0.05, lambda: self.look(door))
        belief = self.beliefs[door]
        if belief.troubled:
            self.tell(door, belief.due(self.us))
            belief.settle(self.us)

    def tell(self, door: int, words: list[Word]) -> None:
        self.note(door)
        for word in words if self.keeper else []:
            self.calls.append(self.now)
            if self.random.random() >= self.lose:
                wait = self.random.uniform(*KEEPER)
                self.after(wait, lambda word=word: self.hear(door, word))  # type: ignore[misc]

    def hear(self, door: int, word: Word) -> None:
        self.counts[word.name] += int(word.amount)
        self.tell(door, self.beliefs[door].hear(word, self.counts[word.name], self.us))

    def note(self, door: int) -> None:
        for number, zone in self.beliefs[door].zones.items():
            left = zone.stand is Stand.LEFT
            if (
                left
                and not self.was[door, number]
                and not any(
                    self.lost(door, number, self.now - age * STEP) for age in range(round(MEMORY / STEP))
                )
            ):
                self.wrong.add((door, number))
            self.was[door, number] = left
        stand = self.beliefs[door].zones[0].stand
        if stand is Stand.LEFT:
            self.left.setdefault(door, self.now)
        elif door in self.left and self.now >= LOST_AT + CUT:
            self.back.setdefault(door, self.now)


def cut(door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off for all."""
    return zone == 0 and LOST_AT <= now < LOST_AT + CUT


def calm(door: int, zone: int, now: float) -> bool:
    return False


def brief(door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost for a second."""
    return zone == 0 and LOST_AT <= now < LOST_AT + 1.0


def flapping(door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost every other 1.5 s."""
    return zone == 0 and LOST_AT <= now < LOST_AT + CUT and (now - LOST_AT) % 3.0 < 1.5


def half(door: int, zone: int, now: float) -> bool:
    """Zone 0 loses half of what it is sent."""
    return cut(door, zone, now) and int(now * 1e6) % 2 == 0


def some(door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off from one door in ten."""
    return cut(door, zone, now) and door % 10 == 0


def everything(door: int, zone: int, now: float) -> bool:
    """All zones are lost."""
    return LOST_AT <= now < LOST_AT + CUT


FAULTS: dict[str, Callable[[int, int, float], bool]] = {
    "cut": cut,
    "calm": calm,
    "brief": brief,
    "flapping": flapping,
    "half": half,
    "some": some,
    "all": everything,
}


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run showed. Times in s from the loss, or the return; infinite where it never came to that."""

    left: int
    half: float
    most: float  # 95 in 100 of the doors had left
    last: float
    spent: int  # attempts into the lost zone, beside trials
    trials: int
    calls: float  # to the keeper a second while it was lost
    busiest: int  # calls in any second
    back: float  # until 95 in 100 of those that had left sent there again
    wrong: int  # doors, for each zone, that left it while it was well
    without: int  # times that a door had no zone


def figures(fleet: Fleet) -> Figures:
    """Of a run that is over."""
    left, back = list(fleet.left.values()), list(fleet.back.values())
    during = [at for at in fleet.calls if LOST_AT <= at < LOST_AT + CUT]
    half, most, last = (part(left, fleet.doors, share) - LOST_AT for share in (0.5, 0.95, 1.0))
    return Figures(
        len(left),
        half,
        most,
        last,
        sum(zone == 0 and LOST_AT <= at < LOST_AT + CUT for at, _, zone in fleet.sent),
        fleet.trials,
        len(during) / CUT,
        max(Counter(map(int, fleet.calls)).values(), default=0),
        part(back, len(left), 0.95) - LOST_AT - CUT,
        len(fleet.wrong),
        fleet.none_left,
    )


def part(times: list[float], of: int, share: float) -> float:
    """When that share of `of` had come, in the order of time; infinite where it never did."""
    wanted = max(1, math.ceil(of * share))
    return sorted(times)[wanted - 1] if len(times) >= wanted else math.inf
