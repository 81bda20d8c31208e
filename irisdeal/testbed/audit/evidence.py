"""The input that all rules share: the indexed request log, the rules' figures and the tolerances."""

from __future__ import annotations

from collections import defaultdict

from irisdeal.testbed.audit.model import Figures, Verdict
from irisdeal.testbed.audit.tolerance import Pauses, SendTimes, Slack
from irisdeal.testbed.request_log import Attempt, RequestLog


class Evidence:
    """One run. The rules count their checks in `verdict`.

    `attempts` maps a trace to the attempts of its request, in the order in which backends received them.
    """

    def __init__(self, request_log: RequestLog, figures: Figures, verdict: Verdict) -> None:
        self.request_log, self.figures, self.verdict = request_log, figures, verdict
        self.slack = Slack(request_log)
        self.pauses = Pauses(request_log)
        self.sent = SendTimes(request_log)
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in request_log.attempts:
            self.attempts[attempt.trace].append(attempt)
        for attempts in self.attempts.values():
            attempts.sort(key=lambda a: a.last_byte)
