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

from irisdeal.front_door.zones.failover import SECOND_US, ZoneCounterCall, ZoneFailover, ZoneState

USUAL, SPREAD = 0.15, 0.9  # s of an attempt at the median; sigma of its logarithm
PATIENCE = 3.0  # such times after which an attempt counts as failed: two of the mean, as in the module
KEEPER = (0.005, 0.060)  # s of a call, least and most
LOST_AT_S, LOSS_DURATION_S = 10.0, 8.0  # s
RECOVERY_S = 12.0  # s of the day after the return
MEMORY = 2.5  # s for which what was lost may still be held against a zone
STEP = 0.070001  # s between two looks back at it; an odd number of µs, as half of them are lost by these
ERRORS = 0.01  # share of attempts that fail anyway; BAD of the backends fail half of theirs
BAD_BACKENDS_PER_ZONE = 2  # in each zone, where the fault says so


@dataclass
class FleetSimulation:
    """One run. `lost` tells whether an attempt of a door at a zone fails, at a time."""

    front_doors: int
    backends: int
    requests_per_s: float
    seed: int
    is_lost: Callable[[int, int, float], bool]
    bad_backends: int = 0
    call_loss_ratio: float = 0.0  # share of calls to the keeper with no answer
    has_counter: bool = True
    duration_s: float = LOST_AT_S + LOSS_DURATION_S + RECOVERY_S
    trials: int = 0
    sent: list[tuple[float, int, int]] = field(default_factory=list)  # s, door, zone: no trials
    call_times: list[float] = field(default_factory=list)
    left_at: dict[int, float] = field(default_factory=dict)  # by door: when it left zone 0 first, s
    returned_at: dict[int, float] = field(default_factory=dict)
    wrong_leaves: set[tuple[int, int]] = field(
        default_factory=set
    )  # door and zone that it left though it was well
    requests_without_zone: int = 0  # times that a door had no zone

    def run(self) -> FleetSimulation:
        rng = self.random = random.Random(self.seed)
        self.failovers = [
            ZoneFailover(self.front_doors, 4.0, 0.18, 17 * SECOND_US, True, random.Random(rng.random()))
            for _ in range(self.front_doors)
        ]
        sizes = {zone: self.backends // 3 for zone in range(3)}
        self.counts: Counter[int] = Counter()
        self.was: defaultdict[tuple[int, int], bool] = defaultdict(bool)
        self.steps: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        for door, belief in enumerate(self.failovers):
            belief.update_backend_counts(sizes)
            self.after(rng.random() / self.requests_per_s, lambda door=door: self.ask(door))  # type: ignore[misc]
            self.after(rng.random() * 0.05, lambda door=door: self.look(door))  # type: ignore[misc]
        self.now = 0.0
        while self.steps and self.steps[0][0] < self.duration_s:
            self.now, _, step = heapq.heappop(self.steps)
            step()
        return self

    def after(self, wait: float, step: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.steps, (getattr(self, "now", 0.0) + wait, self.number, step))

    @property
    def us(self) -> int:
        return 77 * SECOND_US + round(self.now * SECOND_US)

    def ask(self, door: int) -> None:
        """One request of a door: a zone by the shares, and a trial beside it where one is due."""
        self.after(self.random.expovariate(self.requests_per_s), lambda: self.ask(door))
        belief = self.failovers[door]
        shares = [belief.load_share(zone, self.us) for zone in range(3)]
        if not any(shares):
            self.requests_without_zone += 1
            return
        zone = self.random.choices(range(3), shares)[0]
        self.sent.append((self.now, door, zone))
        self.attempt(door, zone)
        if (trial := belief.due_trial(self.us)) is not None:
            self.trials += 1
            belief.record_trial(trial, self.us)
            self.attempt(door, trial)

    def attempt(self, door: int, zone: int) -> None:
        backend, sent = self.random.randrange(self.backends // 3), self.us
        took = USUAL * math.exp(SPREAD * self.random.gauss(0.0, 1.0))
        errs = 0.5 if backend < self.bad_backends else ERRORS
        fails = self.is_lost(door, zone, self.now) or self.random.random() < errs
        name = b"%d/%d" % (zone, backend)
        belief = self.failovers[door]
        if fails or took > PATIENCE * USUAL:
            self.after(
                PATIENCE * USUAL, lambda: self.tell(door, belief.record_failure(zone, name, sent, self.us))
            )
        if not fails:
            self.after(took, lambda: self.tell(door, belief.record_success(zone, name, sent, self.us)))

    def look(self, door: int) -> None:
        self.after(0.05, lambda: self.look(door))
        belief = self.failovers[door]
        if belief.has_unhealthy_zone:
            self.tell(door, belief.due_calls(self.us))
            belief.finish_ramps(self.us)

    def tell(self, door: int, words: list[ZoneCounterCall]) -> None:
        self.note(door)
        for word in words if self.has_counter else []:
            self.call_times.append(self.now)
            if self.random.random() >= self.call_loss_ratio:
                wait = self.random.uniform(*KEEPER)
                self.after(wait, lambda word=word: self.hear(door, word))  # type: ignore[misc]

    def hear(self, door: int, word: ZoneCounterCall) -> None:
        self.counts[word.counter_name] += int(word.amount)
        self.tell(door, self.failovers[door].receive_count(word, self.counts[word.counter_name], self.us))

    def note(self, door: int) -> None:
        for number, zone in self.failovers[door].zones.items():
            left = zone.state is ZoneState.LEFT
            if (
                left
                and not self.was[door, number]
                and not any(
                    self.is_lost(door, number, self.now - age * STEP) for age in range(round(MEMORY / STEP))
                )
            ):
                self.wrong_leaves.add((door, number))
            self.was[door, number] = left
        stand = self.failovers[door].zones[0].state
        if stand is ZoneState.LEFT:
            self.left_at.setdefault(door, self.now)
        elif door in self.left_at and self.now >= LOST_AT_S + LOSS_DURATION_S:
            self.returned_at.setdefault(door, self.now)


def zone_lost(door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off for all."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S


def nothing_lost(door: int, zone: int, now: float) -> bool:
    return False


def brief(door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost for a second."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + 1.0


def flapping(door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost every other 1.5 s."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S and (now - LOST_AT_S) % 3.0 < 1.5


def half(door: int, zone: int, now: float) -> bool:
    """Zone 0 loses half of what it is sent."""
    return zone_lost(door, zone, now) and int(now * 1e6) % 2 == 0


def some(door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off from one door in ten."""
    return zone_lost(door, zone, now) and door % 10 == 0


def everything(door: int, zone: int, now: float) -> bool:
    """All zones are lost."""
    return LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S


FAULTS: dict[str, Callable[[int, int, float], bool]] = {
    "cut": zone_lost,
    "calm": nothing_lost,
    "brief": brief,
    "flapping": flapping,
    "half": half,
    "some": some,
    "all": everything,
}


@dataclass(frozen=True, slots=True)
class FleetResult:
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


def summarize(fleet: FleetSimulation) -> FleetResult:
    """Of a run that is over."""
    left, back = list(fleet.left_at.values()), list(fleet.returned_at.values())
    during = [at for at in fleet.call_times if LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S]
    half, most, last = (
        time_reached(left, fleet.front_doors, share) - LOST_AT_S for share in (0.5, 0.95, 1.0)
    )
    return FleetResult(
        len(left),
        half,
        most,
        last,
        sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent),
        fleet.trials,
        len(during) / LOSS_DURATION_S,
        max(Counter(map(int, fleet.call_times)).values(), default=0),
        time_reached(back, len(left), 0.95) - LOST_AT_S - LOSS_DURATION_S,
        len(fleet.wrong_leaves),
        fleet.requests_without_zone,
    )


def time_reached(times: list[float], of: int, share: float) -> float:
    """When that share of `of` had come, in the order of time; infinite where it never did."""
    wanted = max(1, math.ceil(of * share))
    return sorted(times)[wanted - 1] if len(times) >= wanted else math.inf
