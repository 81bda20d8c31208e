"""Simulation in virtual time of a fleet of front doors that send into three zones, of which some may be lost.

Only the zone failover of each front door is simulated. A front door sends requests at a fixed mean rate, evenly
over the zones. An attempt is answered after a lognormal time, or fails after a time-out of two mean times. The
counter service answers within `COUNTER_DELAY_RANGE_S`, or its response is lost.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.front_door.zones.failover import SECOND_US, ZoneCounterCall, ZoneFailover, ZoneState

MEDIAN_DURATION_S = 0.15  # of an attempt
DURATION_SIGMA = 0.9  # of the logarithm of an attempt's duration
# Median durations after which an attempt counts as failed: two mean ones, as in the decision module.
TIMEOUT_FACTOR = 3.0
COUNTER_DELAY_RANGE_S = (0.005, 0.060)
LOST_AT_S = 10.0
LOSS_DURATION_S = 8.0
RECOVERY_S = 12.0  # simulated after the zone is back
LOSS_MEMORY_S = 2.5  # for which a loss may still count against a zone that is back
# Between the moments at which a zone is looked at during that time. It is an odd number of µs, because the
# fault `half` loses what is sent in even ones.
LOSS_MEMORY_STEP_S = 0.070001
ERROR_RATIO = 0.01  # of attempts that fail in any case
BAD_BACKENDS_PER_ZONE = 2  # where the fault has bad backends: half of their attempts fail


@dataclass
class FleetSimulation:
    """One run. `is_lost` returns whether an attempt of a front door at a zone fails, at a time."""

    front_doors: int
    backends: int
    requests_per_s: float
    seed: int
    is_lost: Callable[[int, int, float], bool]
    bad_backends: int = 0
    call_loss_ratio: float = 0.0  # of the calls to the counter service
    has_counter: bool = True
    duration_s: float = LOST_AT_S + LOSS_DURATION_S + RECOVERY_S
    trials: int = 0
    sent: list[tuple[float, int, int]] = field(default_factory=list)  # time in s, front door, zone; no trials
    call_times: list[float] = field(default_factory=list)  # s
    left_at: dict[int, float] = field(default_factory=dict)  # by front door: when it first left zone 0, s
    returned_at: dict[int, float] = field(default_factory=dict)  # by front door, s
    # Front door and healthy zone that it left.
    wrong_leaves: set[tuple[int, int]] = field(default_factory=set)
    requests_without_zone: int = 0

    def run(self) -> FleetSimulation:
        """Run to the end and return itself."""
        rng = self.random = random.Random(self.seed)
        self.failovers = [
            ZoneFailover(self.front_doors, 4.0, 0.18, 17 * SECOND_US, True, random.Random(rng.random()))
            for _ in range(self.front_doors)
        ]
        backend_counts = {zone: self.backends // 3 for zone in range(3)}
        self.counters: Counter[int] = Counter()
        self.was_left: defaultdict[tuple[int, int], bool] = defaultdict(bool)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_count = 0
        for front_door, failover in enumerate(self.failovers):
            failover.update_backend_counts(backend_counts)
            self.call_later(
                rng.random() / self.requests_per_s,
                lambda front_door=front_door: self.send_request(front_door),  # type: ignore[misc]
            )
            self.call_later(
                rng.random() * 0.05,
                lambda front_door=front_door: self.update_zones(front_door),  # type: ignore[misc]
            )
        self.now = 0.0
        while self.timers and self.timers[0][0] < self.duration_s:
            self.now, _, callback = heapq.heappop(self.timers)
            callback()
        return self

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self.timer_count += 1
        heapq.heappush(self.timers, (getattr(self, "now", 0.0) + delay_s, self.timer_count, callback))

    @property
    def now_us(self) -> int:
        """The time of the front doors' clock, in µs."""
        return 77 * SECOND_US + round(self.now * SECOND_US)

    def send_request(self, front_door: int) -> None:
        """Send one request to a zone chosen by load shares, and a trial beside it where one is due."""
        self.call_later(self.random.expovariate(self.requests_per_s), lambda: self.send_request(front_door))
        failover = self.failovers[front_door]
        shares = [failover.load_share(zone, self.now_us) for zone in range(3)]
        if not any(shares):
            self.requests_without_zone += 1
            return
        zone = self.random.choices(range(3), shares)[0]
        self.sent.append((self.now, front_door, zone))
        self.attempt(front_door, zone)
        if (trial := failover.due_trial(self.now_us)) is not None:
            self.trials += 1
            failover.record_trial(trial, self.now_us)
            self.attempt(front_door, trial)

    def attempt(self, front_door: int, zone: int) -> None:
        """Send an attempt to a random backend of a zone and schedule its result."""
        backend, sent_at = self.random.randrange(self.backends // 3), self.now_us
        duration_s = MEDIAN_DURATION_S * math.exp(DURATION_SIGMA * self.random.gauss(0.0, 1.0))
        error_ratio = 0.5 if backend < self.bad_backends else ERROR_RATIO
        fails = self.is_lost(front_door, zone, self.now) or self.random.random() < error_ratio
        name = b"%d/%d" % (zone, backend)
        failover = self.failovers[front_door]
        if fails or duration_s > TIMEOUT_FACTOR * MEDIAN_DURATION_S:
            self.call_later(
                TIMEOUT_FACTOR * MEDIAN_DURATION_S,
                lambda: self.send_calls(
                    front_door, failover.record_failure(zone, name, sent_at, self.now_us)
                ),
            )
        if not fails:
            self.call_later(
                duration_s,
                lambda: self.send_calls(
                    front_door, failover.record_success(zone, name, sent_at, self.now_us)
                ),
            )

    def update_zones(self, front_door: int) -> None:
        """Send the counter calls that are due and finish ramps, periodically."""
        self.call_later(0.05, lambda: self.update_zones(front_door))
        failover = self.failovers[front_door]
        if failover.has_unhealthy_zone:
            self.send_calls(front_door, failover.due_calls(self.now_us))
            failover.finish_ramps(self.now_us)

    def send_calls(self, front_door: int, calls: list[ZoneCounterCall]) -> None:
        """Send calls to the counter service and schedule its responses."""
        self.record_states(front_door)
        for call in calls if self.has_counter else []:
            self.call_times.append(self.now)
            if self.random.random() >= self.call_loss_ratio:
                delay_s = self.random.uniform(*COUNTER_DELAY_RANGE_S)
                self.call_later(delay_s, lambda call=call: self.receive_count(front_door, call))  # type: ignore[misc]

    def receive_count(self, front_door: int, call: ZoneCounterCall) -> None:
        """Add to the counter and pass its total to the front door."""
        self.counters[call.counter_name] += int(call.amount)
        self.send_calls(
            front_door,
            self.failovers[front_door].receive_count(call, self.counters[call.counter_name], self.now_us),
        )

    def record_states(self, front_door: int) -> None:
        """Record when the front door leaves zone 0 and returns, and each healthy zone that it leaves."""
        for number, zone in self.failovers[front_door].zones.items():
            has_left = zone.state is ZoneState.LEFT
            if (
                has_left
                and not self.was_left[front_door, number]
                and not any(
                    self.is_lost(front_door, number, self.now - step * LOSS_MEMORY_STEP_S)
                    for step in range(round(LOSS_MEMORY_S / LOSS_MEMORY_STEP_S))
                )
            ):
                self.wrong_leaves.add((front_door, number))
            self.was_left[front_door, number] = has_left
        state = self.failovers[front_door].zones[0].state
        if state is ZoneState.LEFT:
            self.left_at.setdefault(front_door, self.now)
        elif front_door in self.left_at and self.now >= LOST_AT_S + LOSS_DURATION_S:
            self.returned_at.setdefault(front_door, self.now)


def zone_lost(front_door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off from all front doors."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S


def nothing_lost(front_door: int, zone: int, now: float) -> bool:
    """No zone is lost."""
    return False


def zone_lost_briefly(front_door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost for a second."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + 1.0


def zone_flapping(front_door: int, zone: int, now: float) -> bool:
    """Zone 0 is lost every other 1.5 s."""
    return zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S and (now - LOST_AT_S) % 3.0 < 1.5


def half_of_attempts_lost(front_door: int, zone: int, now: float) -> bool:
    """Zone 0 loses half of the attempts that are sent to it: those in even µs."""
    return zone_lost(front_door, zone, now) and int(now * 1e6) % 2 == 0


def zone_lost_for_some(front_door: int, zone: int, now: float) -> bool:
    """Zone 0 is cut off from one front door in ten."""
    return zone_lost(front_door, zone, now) and front_door % 10 == 0


def all_zones_lost(front_door: int, zone: int, now: float) -> bool:
    """All zones are lost."""
    return LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S


FAULTS: dict[str, Callable[[int, int, float], bool]] = {
    "cut": zone_lost,
    "calm": nothing_lost,
    "brief": zone_lost_briefly,
    "flapping": zone_flapping,
    "half": half_of_attempts_lost,
    "some": zone_lost_for_some,
    "all": all_zones_lost,
}


@dataclass(frozen=True, slots=True)
class FleetResult:
    """The figures of one run. The names of the fields are keys in the output of `irisdeal zones simulate --json`.

    Times are in s from the loss or the return, and infinite where the state was never reached.
    """

    left: int  # front doors that left zone 0
    half: float  # until half of the front doors had left
    most: float  # until 95% of the front doors had left
    last: float  # until all front doors had left
    spent: int  # attempts at zone 0 while it was lost, without trials
    trials: int
    calls: float  # to the counter service per second while the zone was lost
    busiest: int  # most calls in any second
    back: float  # until 95% of those that had left sent there again
    wrong: int  # pairs of a front door and a healthy zone that it left
    without: int  # requests for which a front door had no zone


def summarize(fleet: FleetSimulation) -> FleetResult:
    """Return the figures of a finished run."""
    left, back = list(fleet.left_at.values()), list(fleet.returned_at.values())
    calls_during_loss = [at for at in fleet.call_times if LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S]
    half, most, last = (
        time_reached(left, fleet.front_doors, ratio) - LOST_AT_S for ratio in (0.5, 0.95, 1.0)
    )
    return FleetResult(
        len(left),
        half,
        most,
        last,
        sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent),
        fleet.trials,
        len(calls_during_loss) / LOSS_DURATION_S,
        max(Counter(map(int, fleet.call_times)).values(), default=0),
        time_reached(back, len(left), 0.95) - LOST_AT_S - LOSS_DURATION_S,
        len(fleet.wrong_leaves),
        fleet.requests_without_zone,
    )


def time_reached(times: list[float], total_count: int, ratio: float) -> float:
    """Return by when a given ratio of `total_count` events had occurred; infinite where it never did."""
    wanted = max(1, math.ceil(total_count * ratio))
    return sorted(times)[wanted - 1] if len(times) >= wanted else math.inf
