"""Rule 14: a backend in slow start is not overloaded by front doors that knew of its start.

All work that reaches such a backend counts; the rule is broken where front doors that had been notified of its
start sent two thirds of what was too much (WIRE, The rules, 4).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Figures, Rule
from irisdeal.testbed.audit.tolerance import SOCKET_SLACK, Slack
from irisdeal.testbed.request_log import Attempt, BackendIncarnation, RequestLog

BLAMED = (
    2 / 3
)  # least share of the excess that must come from front doors that had been notified of the start
Informed = tuple[Attempt, bool]  # an attempt, and whether its front door had been notified


def slow_start(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 14: work over the budget of a window, and backends that failed by it."""
    request_log, figures = evidence.request_log, evidence.figures
    incarnations = {(each.backend, each.incarnation): each for each in request_log.incarnations}
    sent = _sent_in_slow_start(request_log, incarnations)
    allowed = f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s"
    overloaded: set[tuple[str, int]] = set()
    for which, attempts in sent.items():
        evidence.verdict.checked[Rule.COLD] += len(attempts)
        attempts.sort(key=lambda informed: informed[0].last_byte)
        excess = _first_excess(attempts, incarnations[which], figures, evidence.slack)
        if excess is None:
            continue
        attempt, work, budget = excess
        overloaded.add(which)
        what = f"{work / 1e6:.2f} s of work in one window, {budget / 1e6:.2f} s allowed"
        times = (incarnations[which].at, attempt.last_byte)
        yield Breach(Rule.COLD, what, attempt.trace, (which[0],), times, allowed)
    for backend, number, at in request_log.overload_failures:
        blamed = _blamed(sent.get((backend, number), []), at, figures)
        if (backend, number) not in overloaded and blamed:
            yield Breach(Rule.COLD, "it fell over", backend, (backend,), (at,), allowed)


def _sent_in_slow_start(
    request_log: RequestLog, incarnations: dict[tuple[str, int], BackendIncarnation]
) -> dict[tuple[str, int], list[Informed]]:
    """Group the attempts that each incarnation of a backend received during its slow start."""
    notified: dict[tuple[int, str, int], int] = {}  # by front door, backend and start in ms: when, in µs
    for notice in request_log.endpoint_notices:
        notified.setdefault((notice.front_door, notice.backend, notice.started // 1000), notice.at)
    sent: dict[tuple[str, int], list[Informed]] = defaultdict(list)
    for attempt in request_log.attempts:
        incarnation = incarnations.get((attempt.backend, attempt.incarnation))
        if incarnation is None or not incarnation.at:
            continue
        if attempt.last_byte < incarnation.at + incarnation.slow_start:
            start = (attempt.front_door, attempt.backend, incarnation.at // 1000)
            informed = notified.get(start, math.inf) <= attempt.last_byte
            sent[attempt.backend, attempt.incarnation].append((attempt, informed))
    return sent


def _blamed(attempts: list[Informed], at: int, figures: Figures) -> bool:
    """Whether front doors that knew of the start sent the most of the work before a backend failed at `at`."""
    near = [
        (a.work, informed)
        for a, informed in attempts
        if at - figures.fall_window < a.last_byte <= at + SOCKET_SLACK
    ]
    return sum(work for work, informed in near if informed) >= BLAMED * sum(work for work, _ in near)


def _first_excess(
    attempts: list[tuple[Attempt, bool]],
    incarnation: BackendIncarnation,
    figures: Figures,
    slack: Slack,
) -> tuple[Attempt, float, float] | None:
    """Find the attempt that first exceeded a backend's budget in slow start, with work and budget (µs).

    The budget of a window that ends now is multiple x present capacity x window (BENCH, How a day is judged),
    and one largest piece of work more, for chance. What our own loop stood still near that time came in one
    heap: the window counts as longer by it. The backend has a reckoning of its own (`backend_model.over_budget`).
    """
    for n, (last, _) in enumerate(attempts):
        first = n
        while first and attempts[first - 1][0].last_byte > last.last_byte - figures.fall_window:
            first -= 1
        window = attempts[first : n + 1]
        work = sum(a.work for a, _ in window)
        span = figures.fall_window + slack.stalled(last.last_byte)
        budget = figures.fall_multiple * incarnation.now(last.last_byte) * span + max(
            a.work for a, _ in window
        )
        if work > budget and sum(a.work for a, informed in window if informed) >= BLAMED * work:
            return last, work, budget
    return None
