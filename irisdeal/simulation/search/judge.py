"""Simulates a schedule and checks the five rules, and the recovery after the last fault.

Besides broken rules a day fails if a front door exits unexpectedly (`crash`), on an uncaught error (`error`), if
front doors still hold anything after all requests are answered (`left`), if the simulation stalls or livelocks
(`simulationstallederror`, `simulationlivelockerror`), and if the service does not recover (`recovery`).
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.search.coverage import StateSampler
from irisdeal.simulation.search.front_door_day import DayResult, SimulatedFrontDoors, play
from irisdeal.simulation.search.planted_bugs import planted
from irisdeal.simulation.search.schedule import QUIET_S, Moment, Table, scenario, without_faults
from irisdeal.testbed.workload import draw

RECOVERY_S = 2.0  # after the last fault; clients' retries have ended by then
# The share of the value within the quotas that is served may be this much lower than without faults. It is large
# because the last second of a small day has 20 to 60 requests, and the share varies by 0.2 per second even without
# faults.
MAX_SHARE_LOSS = 0.5
MIN_OFFERED = 25.0  # requested value in that time below which recovery is not checked
MAX_REPORTED_BREACHES = 5  # of one day
MAX_MOMENTS = 40


@dataclass(slots=True)
class Judgement:
    """The result of one schedule. It has plain values, since it is sent between processes."""

    table: Table
    broken: list[str] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    digest: str = ""
    states: set[int] = field(default_factory=set)
    pairs: set[int] = field(default_factory=set)
    moments: list[Moment] = field(default_factory=list)
    asks: int = 0
    share: float = 1.0  # served share of the value within the quotas
    virtual_s: float = 0.0  # s
    real_s: float = 0.0  # s


def judge(table: Table, bug: str = "", samples_states: bool = True) -> Judgement:
    """Simulate a schedule and return its failures. `bug` is planted for the run; `samples_states`: sample
    the states of front doors.

    Raises `ScenarioError` if the schedule is invalid.
    """
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # front doors log many faults
    result, started_at, sampler = Judgement(table), time.perf_counter(), StateSampler()

    def during(_: object, doors: SimulatedFrontDoors, __: object) -> None:
        if samples_states:
            sampler.watch(doors.world, doors)

    day = draw(scenario(table), scenario(table).seed)
    with planted(bug):
        try:
            played = play(day, during=during)
        except (SimulationStalledError, SimulationLivelockError) as error:
            result.broken, result.texts = [type(error).__name__.lower()], [str(error)]
            result.real_s = time.perf_counter() - started_at
            return result
        result.broken, result.texts = played.broken(), _texts(played)
        if not result.broken and table.get("at") and (failure := _recovery_failure(table, played)):
            result.broken, result.texts = ["recovery"], [failure]
    result.digest, result.asks, result.share = played.digest(), len(day.arrivals), played.service.total.share
    result.states, result.pairs = sampler.state_ids(), sampler.pair_ids()
    result.moments = moments(played)
    result.virtual_s, result.real_s = played.seconds, time.perf_counter() - started_at
    return result


def _texts(played: DayResult) -> list[str]:
    found = [breach.text(played.start) for breach in played.verdict.breaches[:MAX_REPORTED_BREACHES]]
    return found + (played.crashes + played.errors + played.leftovers)[:MAX_REPORTED_BREACHES]


def _value_within_quotas(played: DayResult, since: float) -> tuple[float, float]:
    """Return the value within the quotas requested from second `since` on, and the part that was served."""
    seconds = [share for n, share in played.service.seconds.items() if n >= since]
    return sum(s.offered for s in seconds), sum(s.served for s in seconds)


def _recovery_failure(table: Table, played: DayResult) -> str:
    """Return a description if the service has not recovered in time, else an empty text.

    Checked only if all backends and front doors are as at the start: a backend that started during the day stays
    cold, a drained one is gone, and the tokens of a front door that was down are missing until clients notice.
    """
    request_log, faults = played.request_log, played.day.scenario.faults
    ended = max(f.at_s + f.for_s for f in faults)
    last = played.start + round(ended * 1e6)
    if any(incarnation.at > played.start for incarnation in request_log.incarnations) or any(
        t.phase != "Ready" for t in request_log.endpoint_notices
    ):
        return ""
    if any(incarnation.ready > last or not incarnation.ready for incarnation in request_log.front_doors):
        return ""
    since = math.ceil(max(ended, played.day.scenario.seconds - QUIET_S) + RECOVERY_S)
    offered, served = _value_within_quotas(played, since)
    if offered < MIN_OFFERED or served >= (1 - MAX_SHARE_LOSS) * offered:
        return ""
    faultless_scenario = scenario(without_faults(table))
    faultless = play(draw(faultless_scenario, faultless_scenario.seed))
    faultless_offered, faultless_served = _value_within_quotas(faultless, since)
    if served / offered >= faultless_served / max(1e-9, faultless_offered) - MAX_SHARE_LOSS:
        return ""
    return (
        f"from {since} s on {served / offered:.2f} of the value within the quotas was served, "
        f"{faultless_served / faultless_offered:.2f} without faults; the last fault ended at {ended:.2f} s"
    )


def moments(played: DayResult) -> list[Moment]:
    """Return moments of this day at which a fault may have an effect, spread over it; in s from its start."""
    start, request_log = played.start, played.request_log
    answers = {
        client_attempt.trace: client_attempt.answers[0].at
        for client_attempt in request_log.client_attempts
        if client_attempt.answers
    }
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
    for client_attempt in request_log.client_attempts[::11]:
        if client_attempt.at:
            add(
                "between a call to the keeper and its answer",
                client_attempt.at + 900,
                client_attempt.front_door,
            )
    for notice in request_log.endpoint_notices:
        if notice.at > start and notice.phase != "Ready":
            add("at a drain's notice", notice.at + 300, notice.front_door)
    for incarnation in request_log.front_doors:
        if incarnation.terminated:
            add("at SIGTERM", incarnation.terminated + 200, incarnation.front_door)
            add("as a door stops to accept", incarnation.terminated + 500_000, incarnation.front_door)
        if incarnation.ready > start:
            add("as a door is back", incarnation.ready + 200, incarnation.front_door)
    step = max(1, len(found) // MAX_MOMENTS)
    return found[::step][:MAX_MOMENTS]


Play = Callable[[Table], Judgement]
