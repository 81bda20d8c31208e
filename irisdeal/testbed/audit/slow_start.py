"""Rule 14: front doors that were notified of a backend's start do not overload it during its slow start.

All work that reaches such a backend counts. The rule is broken if front doors that had been notified of its start
sent at least two thirds of the work of the window that was over budget (WIRE, The rules, 4).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Figures, Rule
from irisdeal.testbed.audit.tolerance import SOCKET_SLACK_US, Slack
from irisdeal.testbed.request_log import Attempt, BackendIncarnation, RequestLog

MIN_INFORMED_RATIO = 2 / 3  # share of the work that notified front doors must have sent for a breach
# An attempt, and whether its front door had been notified of the backend's start.
Informed = tuple[Attempt, bool]


def slow_start(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 14: work over the budget of a window, and backends that failed from overload."""
    request_log, figures = evidence.request_log, evidence.figures
    incarnations = {(each.backend, each.incarnation): each for each in request_log.incarnations}
    sent = _sent_in_slow_start(request_log, incarnations)
    allowed = f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s"
    overloaded: set[tuple[str, int]] = set()
    for backend_start, attempts in sent.items():
        evidence.verdict.checked[Rule.COLD] += len(attempts)
        attempts.sort(key=lambda informed: informed[0].last_byte)
        excess = _first_excess(attempts, incarnations[backend_start], figures, evidence.slack)
        if excess is None:
            continue
        attempt, work, budget = excess
        overloaded.add(backend_start)
        what = f"{work / 1e6:.2f} s of work in one window, {budget / 1e6:.2f} s allowed"
        times = (incarnations[backend_start].at, attempt.last_byte)
        yield Breach(Rule.COLD, what, attempt.trace, (backend_start[0],), times, allowed)
    for backend, number, at in request_log.overload_failures:
        is_breach = _is_caused_by_informed(sent.get((backend, number), []), at, figures)
        if (backend, number) not in overloaded and is_breach:
            yield Breach(Rule.COLD, "the backend failed from overload", backend, (backend,), (at,), allowed)


def _sent_in_slow_start(
    request_log: RequestLog, incarnations: dict[tuple[str, int], BackendIncarnation]
) -> dict[tuple[str, int], list[Informed]]:
    """Group the attempts that each incarnation of a backend received during its slow start."""
    # Time of the notice in µs, by front door, backend and start in ms.
    notified: dict[tuple[int, str, int], int] = {}
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


def _is_caused_by_informed(attempts: list[Informed], at: int, figures: Figures) -> bool:
    """Whether notified front doors sent `MIN_INFORMED_RATIO` of the work before a backend failed at `at`."""
    near = [
        (a.work, informed)
        for a, informed in attempts
        if at - figures.fall_window < a.last_byte <= at + SOCKET_SLACK_US
    ]
    return sum(work for work, informed in near if informed) >= MIN_INFORMED_RATIO * sum(
        work for work, _ in near
    )


def _first_excess(
    attempts: list[tuple[Attempt, bool]],
    incarnation: BackendIncarnation,
    figures: Figures,
    slack: Slack,
) -> tuple[Attempt, float, float] | None:
    """Find the attempt that first exceeded a backend's budget in slow start, with work and budget (µs).

    The budget of a window that ends now is multiple x present capacity x window (BENCH, How a day is judged), plus
    the largest single piece of work, as slack for random arrival. A stalled event loop reads attempts in a batch,
    so the window is extended by the stalls near its end. The backend computes its budget independently
    (`backend_model.over_budget`).
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
        if work > budget and sum(a.work for a, informed in window if informed) >= MIN_INFORMED_RATIO * work:
            return last, work, budget
    return None
