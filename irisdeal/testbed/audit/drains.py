"""Rule 13: nothing is sent to a backend that drains, once the grace after the notice is over."""

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
                "sent to a box that drains or is gone",
                attempt.trace,
                (attempt.backend,),
                (since, at),
                f"{grace / 1e6:.2f} s after the door was told",
            )


class _History:
    """The states of each backend as each process of a front door was notified of them.

    What one process was notified of, the next one was not.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self.starts: dict[int, list[int]] = defaultdict(list)  # µs, by front door
        for incarnation in request_log.front_doors:
            self.starts[incarnation.front_door].append(incarnation.started)
        for times in self.starts.values():
            times.sort()
        # (time in µs, whether it is to be used), by front door, process of it, and backend
        self.states: dict[tuple[int, int, str], list[tuple[int, bool]]] = defaultdict(list)
        for notice in sorted(request_log.endpoint_notices, key=lambda notice: notice.at):
            states = self.states[self._key(notice.front_door, notice.at, notice.backend)]
            ready = notice.phase == "Ready"
            if not states or states[-1][1] != ready:  # after a repeat, the older drain's time still counts
                states.append((notice.at, ready))

    def _key(self, front_door: int, at: int, backend: str) -> tuple[int, int, str]:
        return front_door, bisect_right(self.starts[front_door], at), backend

    def draining_since(self, attempt: Attempt, at: int) -> int | None:
        """Since when, µs, the sender knew at `at` that the backend drains; None where it did not."""
        states = self.states.get(self._key(attempt.front_door, at, attempt.backend), [])
        index = bisect_right(states, at, key=lambda state: state[0])
        if not index or states[index - 1][1]:
            return None
        return states[index - 1][0]
