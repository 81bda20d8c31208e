"""The timeline of a simulated day: faults, front doors, breaches, and one request or backend."""

from __future__ import annotations

from irisdeal.simulation.search.front_door_day import DayResult
from irisdeal.testbed.request_log import Attempt, ClientAttempt, FrontDoorIncarnation

Line = tuple[int, str]


def timeline(played: DayResult, trace: str = "", box: str = "", door: int | None = None) -> list[str]:
    """Return lines with their time in s; empty if the request, backend or front door does not occur."""
    request_log = played.request_log
    lines: list[Line] = [(at, f"fault: {text}") for at, text in request_log.faults]
    for incarnation in request_log.front_doors:
        if door is None or incarnation.front_door == door:
            lines += _incarnation_lines(incarnation)
    found = False
    if trace:
        request_number = next(
            (t.request_number for t in request_log.client_attempts if t.trace == trace), None
        )
        client_attempts = [
            t
            for t in request_log.client_attempts
            if t.request_number == request_number and request_number is not None
        ]
        names = {t.trace for t in client_attempts}
        found = bool(client_attempts)
        for client_attempt in client_attempts:
            lines += _client_attempt_lines(client_attempt)
        lines += [line for a in request_log.attempts if a.trace in names for line in _attempt_lines(a)]
    if box:
        attempts = [a for a in request_log.attempts if a.backend == box]
        notices = [t for t in request_log.endpoint_notices if t.backend == box]
        found = found or bool(
            attempts or notices or any(incarnation.backend == box for incarnation in request_log.incarnations)
        )
        lines += [line for a in attempts for line in _attempt_lines(a)]
        lines += [(t.at, f"door {t.front_door} is told: {box} {t.phase}") for t in notices]
        lines += [
            (incarnation.at, f"{box} starts, life {incarnation.incarnation}")
            for incarnation in request_log.incarnations
            if incarnation.backend == box and incarnation.at
        ]
        lines += [
            (at, f"{box} falls over, life {n}")
            for name, n, at in request_log.overload_failures
            if name == box
        ]
    if door is not None:
        found = found or any(incarnation.front_door == door for incarnation in request_log.front_doors)
        for client_attempt in (t for t in request_log.client_attempts if t.front_door == door):
            lines += _client_attempt_lines(client_attempt)
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


def _incarnation_lines(incarnation: FrontDoorIncarnation) -> list[Line]:
    door = f"door {incarnation.front_door}"
    found = [
        (incarnation.started, f"{door} starts"),
        (incarnation.ready, f"{door} is ready"),
        (incarnation.terminated, f"{door} gets SIGTERM"),
        (incarnation.killed, f"{door} is killed"),
        (incarnation.ended, f"{door} has ended with {incarnation.code}"),
    ]
    return [line for line in found if line[0]]


def _client_attempt_lines(client_attempt: ClientAttempt) -> list[Line]:
    name = (
        f"{client_attempt.trace} ({client_attempt.kind}, {client_attempt.plan}, "
        f"try {client_attempt.attempt}, door {client_attempt.front_door})"
    )
    lines = [(client_attempt.due, f"{name} is due, waits {client_attempt.wait / 1000:.0f} ms")]
    if client_attempt.at:
        lines.append((client_attempt.at, f"{name} is written"))
    lines += [(a.at, f"{name} is answered {a.status}") for a in client_attempt.answers]
    if client_attempt.disconnected_at:
        lines.append((client_attempt.disconnected_at, f"{name}: its connection ends with no answer"))
    if client_attempt.gave_up:
        lines.append((client_attempt.gave_up, f"{name} is given up by its client"))
    return lines


def _attempt_lines(attempt: Attempt) -> list[Line]:
    name = f"{attempt.trace} at {attempt.backend} ({attempt.zone}, from door {attempt.front_door})"
    lines = [(attempt.last_byte, f"{name} has come")]
    if attempt.ended:
        ran = ", ran" * attempt.ran + ", an effect" * attempt.effect
        lines.append((attempt.ended, f"{name}: {attempt.end.value}{ran}"))
    return lines
