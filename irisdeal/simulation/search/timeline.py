"""A day that was played, as lines in the order of time: faults, doors, breaches, one request or box."""

from __future__ import annotations

from irisdeal.simulation.search.front_door_day import DayResult
from irisdeal.testbed.request_log import Attempt, ClientAttempt, FrontDoorIncarnation

Line = tuple[int, str]


def timeline(played: DayResult, trace: str = "", box: str = "", door: int | None = None) -> list[str]:
    """Lines with their time in s; empty where what was asked for never came up."""
    request_log = played.request_log
    lines: list[Line] = [(at, f"fault: {text}") for at, text in request_log.faults]
    for life in request_log.front_doors:
        if door is None or life.front_door == door:
            lines += _life(life)
    found = False
    if trace:
        ask = next((t.ask for t in request_log.client_attempts if t.trace == trace), None)
        tries = [t for t in request_log.client_attempts if t.ask == ask and ask is not None]
        names = {t.trace for t in tries}
        found = bool(tries)
        for taken in tries:
            lines += _taken(taken)
        lines += [line for a in request_log.attempts if a.trace in names for line in _attempt(a)]
    if box:
        mine = [a for a in request_log.attempts if a.backend == box]
        told = [t for t in request_log.endpoint_notices if t.backend == box]
        found = found or bool(mine or told or any(life.backend == box for life in request_log.incarnations))
        lines += [line for a in mine for line in _attempt(a)]
        lines += [(t.at, f"door {t.front_door} is told: {box} {t.phase}") for t in told]
        lines += [
            (life.at, f"{box} starts, life {life.incarnation}")
            for life in request_log.incarnations
            if life.backend == box and life.at
        ]
        lines += [(at, f"{box} falls over, life {n}") for name, n, at in request_log.fallen if name == box]
    if door is not None:
        found = found or any(life.front_door == door for life in request_log.front_doors)
        for taken in (t for t in request_log.client_attempts if t.front_door == door):
            lines += _taken(taken)
        lines += [
            (t.at, f"door {door} is told: {t.backend} {t.phase}")
            for t in request_log.endpoint_notices
            if t.front_door == door
        ]
    if not (trace or box or door is not None):
        found = True
    for breach in played.verdict.breaches:
        at = breach.times[-1] if breach.times else played.start
        if not (trace or box) or breach.request == trace or box in breach.backends:
            lines.append((at, f"BROKEN: {breach.text(played.start)}"))
    if not found:
        return []
    lines.sort(key=lambda line: line[0])
    return [f"{(at - played.start) / 1e6:>11.6f}  {text}" for at, text in lines] + [
        f"            {text}" for text in played.crashes + played.errors + played.leftovers
    ]


def _life(life: FrontDoorIncarnation) -> list[Line]:
    door = f"door {life.front_door}"
    found = [
        (life.started, f"{door} starts"),
        (life.ready, f"{door} is ready"),
        (life.terminated, f"{door} gets SIGTERM"),
        (life.killed, f"{door} is killed"),
        (life.ended, f"{door} has ended with {life.code}"),
    ]
    return [line for line in found if line[0]]


def _taken(taken: ClientAttempt) -> list[Line]:
    name = f"{taken.trace} ({taken.kind}, {taken.plan}, try {taken.attempt}, door {taken.front_door})"
    lines = [(taken.due, f"{name} is due, waits {taken.wait / 1000:.0f} ms")]
    if taken.at:
        lines.append((taken.at, f"{name} is written"))
    lines += [(a.at, f"{name} is answered {a.status}") for a in taken.answers]
    if taken.disconnected_at:
        lines.append((taken.disconnected_at, f"{name}: its connection ends with no answer"))
    if taken.gave_up:
        lines.append((taken.gave_up, f"{name} is given up by its client"))
    return lines


def _attempt(attempt: Attempt) -> list[Line]:
    name = f"{attempt.trace} at {attempt.backend} ({attempt.zone}, from door {attempt.front_door})"
    lines = [(attempt.last_byte, f"{name} has come")]
    if attempt.ended:
        ran = ", ran" * attempt.ran + ", an effect" * attempt.effect
        lines.append((attempt.ended, f"{name}: {attempt.end.value}{ran}"))
    return lines
