"""Rule 13: no attempt is sent to a draining backend after the grace period that follows the notice."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Rule
from irisdeal.testbed.request_log import Attempt, RequestLog


def drains(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 13."""
    history = _History(evidence.request_log)
    for attempt in evidence.request_log.attempts:
        evidence.verdict.checked[Rule.DRAINS] += 1
        at = evidence.sent(attempt)
        since = history.draining_since(attempt, at)
        if since is None:
            continue
        grace = evidence.figures.drain_grace + evidence.slack.near(since, at)
        grace += evidence.pauses.over(attempt.front_door, since, at)
        if at > since + grace:
            yield Breach(
                Rule.DRAINS,
                "sent to a backend that drains or is gone",
                attempt.trace,
                (attempt.backend,),
                (since, at),
                f"{grace / 1e6:.2f} s after the notice",
            )


class _History:
    """The states of each backend in the order in which each front door process was notified of them.

    A restarted process does not have the notices of its predecessor.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self.starts: dict[int, list[int]] = defaultdict(list)  # start times in µs, by front door
        for incarnation in request_log.front_doors:
            self.starts[incarnation.front_door].append(incarnation.started)
        for times in self.starts.values():
            times.sort()
        # (time in µs, whether the backend is ready), by front door, process and backend
        self.states: dict[tuple[int, int, str], list[tuple[int, bool]]] = defaultdict(list)
        for notice in sorted(request_log.endpoint_notices, key=lambda notice: notice.at):
            states = self.states[self._key(notice.front_door, notice.at, notice.backend)]
            ready = notice.phase == "Ready"
            if not states or states[-1][1] != ready:  # a repeated notice keeps the time of the first
                states.append((notice.at, ready))

    def _key(self, front_door: int, at: int, backend: str) -> tuple[int, int, str]:
        return front_door, bisect_right(self.starts[front_door], at), backend

    def draining_since(self, attempt: Attempt, at: int) -> int | None:
        """Return the time, µs, of the drain notice in force for the sender at `at`; None if there is none."""
        states = self.states.get(self._key(attempt.front_door, at, attempt.backend), [])
        index = bisect_right(states, at, key=lambda state: state[0])
        if not index or states[index - 1][1]:
            return None
        return states[index - 1][0]
