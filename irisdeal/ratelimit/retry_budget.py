"""Retry budget of a service, bounded in sum over all processes that consume it. Time is an argument.

The rule allows ratio * requests + slack retries in any window, over all proxies together. Each process that
consumes the budget has the ratio of the requests that it counted itself in the window, and a share of the
slack. These sum to the rule's bound, as long as each request is counted once and the shares sum to the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Share of the rule's slack for the registries.
REGISTRY_SLACK_SHARE = 0.7
# Share of the rule's slack for proxies that get no reply from any registry.
PROXY_SLACK_SHARE = 0.3
# Share of the allowed retries that is used, as the windows here are not aligned with those of an outside
# observer.
USED_SHARE = 0.8
# Length of the steps in which requests and retries are counted.
STEP_S = 0.5


@dataclass(slots=True)
class BudgetStep:
    """The requests and retries counted in the `STEP_S` that begin at `since` (s)."""

    since: float
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """One service's retry budget at one process."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """`ratio`: retries per request; `window_s`: length of the sliding window in s."""
        self.ratio, self.window_s = ratio, window_s
        self.steps: deque[BudgetStep] = deque()
        self.requests = self.retries = 0

    def _current_step(self, now: float) -> BudgetStep:
        while self.steps and self.steps[0].since < now - self.window_s - STEP_S:
            expired = self.steps.popleft()
            self.requests -= expired.requests
            self.retries -= expired.retries
        if not self.steps or now - self.steps[-1].since >= STEP_S:
            self.steps.append(BudgetStep(now))
        return self.steps[-1]

    def record_request(self, now: float) -> None:
        """Count a client's request for this service."""
        self._current_step(now).requests += 1
        self.requests += 1

    def remaining(self, now: float, slack: float) -> float:
        """Return the retries that may be sent now; `slack`: this process's share of the rule's slack."""
        self._current_step(now)
        return USED_SHARE * (self.ratio * self.requests + slack) - self.retries

    def consume(self, now: float, slack: float) -> bool:
        """Count a retry and return True; if the budget is exhausted, count nothing and return False."""
        if self.remaining(now, slack) < 1.0:
            return False
        self._current_step(now).retries += 1
        self.retries += 1
        return True


class RetryBudgets:
    """The retry budgets of one process, one for each service, each with an even share of the slack.

    A process has no share of the slack until a complete window has passed since its start, as its predecessor
    may have used that share just before. Each request is counted once, by the first registry that receives its
    placement request, so the ratio applies to the number of clients' requests.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        """`slack`: retries in any window of all sharing processes together; `now`: start of this process, s."""
        self.ratio, self.window_s, self.slack = ratio, window_s, slack
        self.slack_from = now + window_s
        self.budgets: dict[str, RetryBudget] = {}

    def _budget(self, service: str) -> RetryBudget:
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.ratio, self.window_s)
        return self.budgets[service]

    def record_request(self, service: str, now: float) -> None:
        """Count a client's request for this service."""
        self._budget(service).record_request(now)

    def consume(self, service: str, now: float, sharers: int) -> bool:
        """Count a retry and return True; if the budget is exhausted, count nothing and return False.

        `sharers`: number of processes that share the slack; 0 if this one has no share.
        """
        slack = self.slack / sharers if sharers and now >= self.slack_from else 0.0
        return self._budget(service).consume(now, slack)
