"""The audit's inputs and results: the figures of the rules, breaches, and the verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from irisdeal.testbed.request_log import SECOND

MAX_NAMED = 50  # breaches kept of each rule: a day that breaks all the time must not fill the memory


class Rule(Enum):
    """The rules, by what each promises. The names in lower case are keys of the demo's JSON."""

    ANSWERS = "no request is lost"
    EFFECTS = "no effect happens twice"
    DRAINS = "drains are kept"
    COLD = "a cold box is not pushed over"
    CEILINGS = "ceilings are kept"


@dataclass(frozen=True, slots=True)
class KindRule:
    """A class's rule on repeats: `repeat` is safe, keyed or unsafe; `group` is all, zone or cell."""

    repeat: str
    group: str = "zone"
    window: int = 5 * SECOND  # µs


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's ceiling: units a second, units at most, and units that it may go below nothing."""

    rate: float
    depth: float
    slack: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules, from the front doors' settings."""

    kinds: dict[str, KindRule]
    ceilings: dict[str, Ceiling]  # by plan; a plan that is not here has none
    answer_grace: int  # µs
    drain_grace: int  # µs
    fall_multiple: float
    fall_window: int  # µs
    cells: dict[str, int]  # by backend


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: the request (or customer), the backends, the times in µs, and the rule's figure in words."""

    rule: Rule
    what: str
    request: str
    backends: tuple[str, ...]
    times: tuple[int, ...]
    figure: str

    def text(self, origin: int = 0) -> str:
        """One line; times in seconds from `origin` (µs)."""
        when = ", ".join(f"{(at - origin) / 1e6:.3f} s" for at in self.times)
        at = f" at {', '.join(self.backends)}" if self.backends else ""
        return f"{self.rule.value}: {self.what}: {self.request}{at} ({when}; {self.figure})"


@dataclass(slots=True)
class Verdict:
    """What the audit found: how much it looked at, and each breach."""

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
        """Count a breach, and keep it while there are few of its rule."""
        self.counts[breach.rule] += 1
        if self.counts[breach.rule] <= MAX_NAMED:
            self.breaches.append(breach)
