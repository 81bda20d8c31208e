"""The audit's inputs and results: the figures of the rules, breaches, and the verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from irisdeal.testbed.request_log import SECOND

MAX_KEPT_BREACHES = 50  # of each rule; bounds the memory of a run with many breaches


class Rule(Enum):
    """The rules, with the text that reports show. The names in lower case are keys of the demo's JSON."""

    ANSWERS = "no request is lost"
    EFFECTS = "no effect happens twice"
    DRAINS = "drains are kept"
    COLD = "a cold box is not pushed over"
    CEILINGS = "ceilings are kept"


@dataclass(frozen=True, slots=True)
class KindRule:
    """The repeat rule of a class. `repeat` is safe, keyed or unsafe; `group` is all, zone or cell."""

    repeat: str
    group: str = "zone"
    window: int = 5 * SECOND  # µs


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's ceiling as a token bucket: `rate` in units a second, `depth` and allowed debt `slack` in units."""

    rate: float
    depth: float
    slack: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The limits that the rules use, as in the front doors' settings."""

    kinds: dict[str, KindRule]
    ceilings: dict[str, Ceiling]  # by plan; a plan without an entry has no ceiling
    answer_grace: int  # µs
    drain_grace: int  # µs
    fall_multiple: float
    fall_window: int  # µs
    cells: dict[str, int]  # by backend


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: the request (or backend), the backends, the times in µs, and the rule's limit as text."""

    rule: Rule
    what: str
    request: str
    backends: tuple[str, ...]
    times: tuple[int, ...]
    figure: str

    def text(self, origin: int = 0) -> str:
        """Return the breach as one line, with times in seconds from `origin` (µs)."""
        when = ", ".join(f"{(at - origin) / 1e6:.3f} s" for at in self.times)
        at = f" at {', '.join(self.backends)}" if self.backends else ""
        return f"{self.rule.value}: {self.what}: {self.request}{at} ({when}; {self.figure})"


@dataclass(slots=True)
class Verdict:
    """The result of an audit: breaches and checks by rule, excused requests, and the breaches that were kept."""

    counts: dict[Rule, int]
    checked: dict[Rule, int]
    breaches: list[Breach]
    excused: int = 0

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.counts.values())

    def broken(self) -> set[Rule]:
        """Return the rules that were broken."""
        return {rule for rule, count in self.counts.items() if count}

    def record(self, breach: Breach) -> None:
        """Count a breach, and keep the first `MAX_KEPT_BREACHES` of each rule."""
        self.counts[breach.rule] += 1
        if self.counts[breach.rule] <= MAX_KEPT_BREACHES:
            self.breaches.append(breach)
