"""What a route is: a method and a path template, a class with its rule on repeats, and what it costs.

Rules that everything here obeys:

1. Where a description says nothing, GET and HEAD are safe and every other method is unsafe. RFC 9110 9.2.2
   calls PUT and DELETE idempotent, which is a promise about one client's repeats of one request alone:
   between a first DELETE and its repeat another client may have made the thing again. A gateway repeats what
   it cannot see the meaning of, so it wants to be told.
2. A route that is marked unsafe stays unsafe whatever a key header says.
3. A figure that is out of range is an error where it is read, never a default taken in silence.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field
from enum import IntEnum

PARAMETER = re.compile(r"\{[^{}/]*\}")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")  # OpenAPI, Path Item Object
SAFE_METHODS = ("GET", "HEAD")
DEFAULT_AIM = 1_000_000  # µs; a person notices an answer that takes longer (Nielsen 1993, three limits)
DEFAULT_DEADLINE = 5_000_000  # µs
LONGEST = 3_600_000_000  # µs
MOST_UNITS = 1_000_000.0
DEFAULT_WINDOW = 5_000_000  # µs; what the boxes of one hall remember keys for (BRIEF, Requests)


class Repeat(IntEnum):
    """How often a request's effect may happen, from the mildest rule to the strictest."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


@dataclass(frozen=True, slots=True)
class Source:
    """Where a value is read from: a header (lower case), a query parameter, or a path parameter."""

    place: str  # header, query or path
    name: str

    def text(self) -> str:
        return f"{self.place} {self.name}"


@dataclass(frozen=True, slots=True)
class Units:
    """What a request counts: `amount`, or what a query parameter or a JSON pointer into the body says.

    `default` is taken where the place holds nothing; `cap` bounds what is read. What is there and is no
    number over 0 is an error of the request, not the default: else a client could choose to count as little
    as it likes.
    """

    amount: float = 1.0
    place: str = ""  # query or body; "" for a plain amount
    name: str = ""  # a parameter, or a JSON pointer (RFC 6901)
    default: float = 1.0
    cap: float = MOST_UNITS

    def text(self) -> str:
        if not self.place:
            return f"{self.amount:g}"
        return f"{self.place} {self.name}, else {self.default:g}, at most {self.cap:g}"


@dataclass(frozen=True, slots=True)
class Rule:
    """A class: its name, its rule on repeats and its times (µs). Equal rules are one class."""

    name: str
    repeat: Repeat = Repeat.UNSAFE
    group: str = "zone"  # zone, cell or all; keyed only
    window: int = DEFAULT_WINDOW
    key_header: str = "idempotency-key"
    aim: int = DEFAULT_AIM
    deadline: int = DEFAULT_DEADLINE
    worth: float = 1.0
    late_worth: float = 0.0

    def restricted_by(self, other: Rule) -> Rule:
        """This class with the stricter rule on repeats of the two; times and worth stay."""
        if other.repeat <= self.repeat and not (
            self.repeat is Repeat.KEYED
            and other.repeat is Repeat.KEYED
            and (other.window < self.window or other.group != self.group)
        ):
            return self
        if other.repeat is Repeat.KEYED and self.repeat is Repeat.KEYED:
            if other.group != self.group and "all" not in (other.group, self.group):
                # A zone and a cell have no order: only a place in both would do, and none may know the key.
                return _with(self, Repeat.UNSAFE, self.group, self.window)
            group = other.group if self.group == "all" else self.group
            return _with(self, Repeat.KEYED, group, min(self.window, other.window))
        return _with(self, other.repeat, other.group, other.window)


def _with(rule: Rule, repeat: Repeat, group: str, window: int) -> Rule:
    return Rule(
        rule.name,
        repeat,
        group,
        window,
        rule.key_header,
        rule.aim,
        rule.deadline,
        rule.worth,
        rule.late_worth,
    )


@dataclass(frozen=True, slots=True)
class Route:
    """One operation. `pointer` says where in the description it stands."""

    method: str
    template: str  # with the base path
    rule: Rule
    units: Units = field(default_factory=Units)
    customer: Source = Source("header", "account")
    plan: Source = Source("header", "plan")
    operation: str = ""  # operationId
    pointer: str = ""
    deprecated: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """What tells it from others: a parameter by another name makes no other route."""
        return self.method, PARAMETER.sub("{}", self.template)


def check_rule(rule: Rule) -> str | None:
    """What is wrong with a rule's figures, in words; None where nothing is."""
    if not 0 < rule.aim <= LONGEST:
        return f"aim is {rule.aim / 1000:g} ms: wanted over 0 and at most {LONGEST // 1000} ms"
    if not 0 < rule.deadline <= LONGEST:
        return f"deadline is {rule.deadline / 1000:g} ms: wanted over 0 and at most {LONGEST // 1000} ms"
    if rule.aim > rule.deadline:
        return f"aim is {rule.aim / 1000:g} ms: wanted at most the deadline, {rule.deadline / 1000:g} ms"
    if not 0 < rule.window <= LONGEST:
        return f"window is {rule.window / 1000:g} ms: wanted over 0 and at most {LONGEST // 1000} ms"
    if not (math.isfinite(rule.worth) and rule.worth > 0):
        return f"worth is {rule.worth!r}: wanted a number over 0"
    if not 0 <= rule.late_worth <= 1:
        return f"late_worth is {rule.late_worth!r}: wanted a share from 0 to 1"
    return None
