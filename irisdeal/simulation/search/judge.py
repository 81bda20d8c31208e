"""One schedule, played and judged: the five rules, and what else must hold after the last fault.

Beyond the rules a day breaks something where a door ends by itself (`crash`), where an error that nobody
caught comes up in it (`error`), where anything is left once all have been answered (`left`), where the world
does not come to its end (`stuck`, `spinning`), and where the service is not back (`recovery`).
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.search.coverage import Probe
from irisdeal.simulation.search.front_door_day import DayResult, SimulatedFrontDoors, play
from irisdeal.simulation.search.planted_bugs import planted
from irisdeal.simulation.search.schedule import QUIET, Moment, Table, scenario, without_faults
from irisdeal.testbed.workload import draw

BACK_WITHIN = 2.0  # s after the last fault has ended: what clients still try again has ended by then
# Of the worth inside the quotas: so much less may be served than without faults. Coarse on purpose: the last
# second of a small day has 20 to 60 asks, and days without faults differ by 0.2 from second to second.
BEHIND = 0.5
FEW = 25.0  # worth that is asked in that time: less tells nothing
MOST_TEXTS = 5  # breaches told of one day
MOST_MOMENTS = 40


@dataclass(slots=True)
class Judgement:
    """What came of one schedule. Plain values, since it crosses processes."""

    table: Table
    broken: list[str] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    digest: str = ""
    states: set[int] = field(default_factory=set)
    pairs: set[int] = field(default_factory=set)
    moments: list[Moment] = field(default_factory=list)
    asks: int = 0
    share: float = 1.0  # of the worth inside the quotas
    virtual_s: float = 0.0  # s
    real_s: float = 0.0  # s


def judge(table: Table, bug: str = "", look: bool = True) -> Judgement:
    """Play a schedule and say what broke. `bug` is planted for it; `look` for states.

    Raises `ScenarioError` where the schedule is none.
    """
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # doors in trouble have much to say
    made, begun, probe = Judgement(table), time.perf_counter(), Probe()

    def during(_: object, doors: SimulatedFrontDoors, __: object) -> None:
        if look:
            probe.watch(doors.world, doors)

    day = draw(scenario(table), scenario(table).seed)
    with planted(bug):
        try:
            played = play(day, during=during)
        except (SimulationStalledError, SimulationLivelockError) as error:
            made.broken, made.texts = [type(error).__name__.lower()], [str(error)]
            made.real_s = time.perf_counter() - begun
            return made
        made.broken, made.texts = played.broken(), _texts(played)
        if not made.broken and table.get("at") and (missed := _not_back(table, played)):
            made.broken, made.texts = ["recovery"], [missed]
    made.digest, made.asks, made.share = played.digest(), len(day.arrivals), played.service.total.share
    made.states, made.pairs = probe.numbers(), probe.pairs()
    made.moments = moments(played)
    made.virtual_s, made.real_s = played.seconds, time.perf_counter() - begun
    return made


def _texts(played: DayResult) -> list[str]:
    found = [breach.text(played.start) for breach in played.verdict.breaches[:MOST_TEXTS]]
    return found + (played.crashes + played.errors + played.leftovers)[:MOST_TEXTS]


def _inside(played: DayResult, since: float) -> tuple[float, float]:
    """Worth inside the quotas asked in whole seconds from `since` (s) on, and what was served of it."""
    seconds = [share for n, share in played.service.seconds.items() if n >= since]
    return sum(s.offered for s in seconds), sum(s.served for s in seconds)


def _not_back(table: Table, played: DayResult) -> str:
    """Where the service is not back in time, in words.

    Told only where the fleet is whole again: a box that started in the day is cold to its end, one that
    drained is gone, and a door that was away takes its stores with it until the front notices.
    """
    request_log, faults = played.request_log, played.day.scenario.faults
    ended = max(f.at_s + f.for_s for f in faults)
    last = played.start + round(ended * 1e6)
    if any(life.at > played.start for life in request_log.incarnations) or any(
        t.phase != "Ready" for t in request_log.endpoint_notices
    ):
        return ""
    if any(life.ready > last or not life.ready for life in request_log.front_doors):
        return ""
    since = math.ceil(max(ended, played.day.scenario.seconds - QUIET) + BACK_WITHIN)
    offered, served = _inside(played, since)
    if offered < FEW or served >= (1 - BEHIND) * offered:
        return ""
    made = scenario(without_faults(table))
    calm = play(draw(made, made.seed))
    calm_offered, calm_served = _inside(calm, since)
    if served / offered >= calm_served / max(1e-9, calm_offered) - BEHIND:
        return ""
    return (
        f"from {since} s on {served / offered:.2f} of the worth inside the quotas was served, "
        f"{calm_served / calm_offered:.2f} without faults; the last ended at {ended:.2f} s"
    )


def moments(played: DayResult) -> list[Moment]:
    """Moments of this day at which a fault would matter, spread over it; times in s from its start."""
    start, request_log = played.start, played.request_log
    answers = {taken.trace: taken.answers[0].at for taken in request_log.client_attempts if taken.answers}
    found: list[Moment] = []

    def add(what: str, at: int, door: int = 0, hall: str = "") -> None:
        found.append(Moment(what, round((at - start) / 1e6, 6), door, hall))

    for attempt in request_log.attempts[::7]:
        if (answered := answers.get(attempt.trace)) and attempt.ended < answered:
            add(
                "between a box's answer and the client's",
                (attempt.ended + answered) // 2,
                attempt.front_door,
                attempt.zone,
            )
        add("as a box takes a request", attempt.last_byte + 1, attempt.front_door, attempt.zone)
    for taken in request_log.client_attempts[::11]:
        if taken.at:
            add("between a call to the keeper and its answer", taken.at + 900, taken.front_door)
    for told in request_log.endpoint_notices:
        if told.at > start and told.phase != "Ready":
            add("at a drain's notice", told.at + 300, told.front_door)
    for life in request_log.front_doors:
        if life.terminated:
            add("at SIGTERM", life.terminated + 200, life.front_door)
            add("as a door stops to accept", life.terminated + 500_000, life.front_door)
        if life.ready > start:
            add("as a door is back", life.ready + 200, life.front_door)
    step = max(1, len(found) // MOST_MOMENTS)
    return found[::step][:MOST_MOMENTS]


Play = Callable[[Table], Judgement]
