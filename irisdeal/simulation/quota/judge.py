"""The judge of quotas: it knows when each request ran and which limits were set when, and shares no code with the
program. The rule is written here from the users' page."""

from __future__ import annotations

from dataclasses import dataclass

BINDS_AFTER_S = 8.0  # from the decision of a lower limit: an apply_ms of 3 s, and one window
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20.0


@dataclass(frozen=True, slots=True)
class Setting:
    """A limit that was decided at `at`."""

    at: float
    rate: float
    burst: float

    def allowed(self) -> float:
        """Requests that may run in any window."""
        return (self.rate * WINDOW_S + self.burst) * (1 + EXCESS) + SLACK


class QuotaJudge:
    """Counts what ran in each window."""

    def __init__(self, rate: float, burst: float) -> None:
        self.settings = [Setting(float("-inf"), rate, burst)]
        self.ran: list[float] = []

    def note_run(self, at: float) -> None:
        """A request ran at a backend."""
        self.ran.append(at)

    def note_limit(self, at: float, rate: float, burst: float) -> None:
        """Another limit was decided."""
        self.settings.append(Setting(at, rate, burst))

    def allowed(self, since: float, until: float) -> float:
        """What may run between two moments: by the largest limit that may still bind."""
        most = 0.0
        for number, setting in enumerate(self.settings):
            next_at = self.settings[number + 1].at if number + 1 < len(self.settings) else float("inf")
            if setting.at <= until and since < next_at + BINDS_AFTER_S:
                most = max(most, setting.allowed())
        return most

    def worst(self) -> float:
        """The largest share of what is allowed that ran in any window."""
        ran, first, worst = sorted(self.ran), 0, 0.0
        is_one = len(self.settings) == 1
        allowed = self.settings[0].allowed()
        for last, at in enumerate(ran):
            while ran[first] <= at - WINDOW_S:
                first += 1
            if not is_one:
                allowed = self.allowed(ran[first], at)
            worst = max(worst, (last - first + 1) / allowed)
        return worst

    def served(self, since: float, until: float) -> int:
        """What ran between two moments."""
        return sum(since <= at < until for at in self.ran)
