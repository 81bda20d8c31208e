"""A route: its method and path template, its request class with the repeat rule, and its cost.

Rules of this package:

1. By default, GET and HEAD are safe and every other method is unsafe. RFC 9110 9.2.2 calls PUT and DELETE
   idempotent, but that covers only one client's repeats of one request: between a DELETE and its repeat,
   another client may have created the resource again. A gateway cannot see what a request means, so the
   description has to declare it repeatable.
2. A route marked unsafe stays unsafe even for requests with a key header.
3. A value out of range is an error when it is read; it is never replaced by a default.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field
from enum import IntEnum

PARAMETER_PATTERN = re.compile(r"\{[^{}/]*\}")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")  # OpenAPI, Path Item Object
SAFE_METHODS = ("GET", "HEAD")
DEFAULT_AIM_US = 1_000_000  # users notice a longer response time (Nielsen 1993, three limits)
DEFAULT_DEADLINE_US = 5_000_000
MAX_TIME_US = 3_600_000_000
MAX_UNITS = 1_000_000.0
DEFAULT_WINDOW_US = 5_000_000  # how long the backends of one zone remember idempotency keys


class Repeat(IntEnum):
    """Whether a request may be sent again, from the mildest rule to the strictest."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


@dataclass(frozen=True, slots=True)
class Source:
    """Where a value is read from: a header (name in lower case), a query parameter, or a path parameter."""

    place: str  # header, query or path
    name: str

    def text(self) -> str:
        """Return it for display."""
        return f"{self.place} {self.name}"


@dataclass(frozen=True, slots=True)
class Units:
    """The cost of a request: `amount`, or a value from a query parameter or at a JSON pointer into the body.

    `default` applies if the value is missing; `cap` bounds the value. A value that is not a number over 0 is
    an error of the request and does not give the default: otherwise a client could lower its own cost.
    """

    amount: float = 1.0
    place: str = ""  # query or body; "" for a fixed amount
    name: str = ""  # of the query parameter, or a JSON pointer (RFC 6901)
    default: float = 1.0
    cap: float = MAX_UNITS

    def text(self) -> str:
        """Return it for display."""
        if not self.place:
            return f"{self.amount:g}"
        return f"{self.place} {self.name}, else {self.default:g}, at most {self.cap:g}"


@dataclass(frozen=True, slots=True)
class Rule:
    """A request class: its name, its repeat rule and its times (µs). Equal rules are one class."""

    name: str
    repeat: Repeat = Repeat.UNSAFE
    group: str = "zone"  # the backends that share idempotency keys: zone, cell or all; keyed only
    window: int = DEFAULT_WINDOW_US
    key_header: str = "idempotency-key"
    aim: int = DEFAULT_AIM_US
    deadline: int = DEFAULT_DEADLINE_US
    worth: float = 1.0
    late_worth: float = 0.0

    def restricted_by(self, other: Rule) -> Rule:
        """Return this class with the stricter of the two repeat rules. Times and worth stay."""
        if other.repeat <= self.repeat and not (
            self.repeat is Repeat.KEYED
            and other.repeat is Repeat.KEYED
            and (other.window < self.window or other.group != self.group)
        ):
            return self
        if other.repeat is Repeat.KEYED and self.repeat is Repeat.KEYED:
            if other.group != self.group and "all" not in (other.group, self.group):
                # Neither zone nor cell contains the other: only a backend in both would be
                # allowed, and it may not have seen the key.
                return _with_repeat(self, Repeat.UNSAFE, self.group, self.window)
            group = other.group if self.group == "all" else self.group
            return _with_repeat(self, Repeat.KEYED, group, min(self.window, other.window))
        return _with_repeat(self, other.repeat, other.group, other.window)


def _with_repeat(rule: Rule, repeat: Repeat, group: str, window: int) -> Rule:
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
    """One operation. `pointer` is the JSON pointer to it in the description."""

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
        """Return its identity, which does not depend on the names of the parameters."""
        return self.method, PARAMETER_PATTERN.sub("{}", self.template)


def check_rule(rule: Rule) -> str | None:
    """Return what is wrong with a rule's values, or None. The text starts with the name of the value."""
    if not 0 < rule.aim <= MAX_TIME_US:
        return f"aim is {rule.aim / 1000:g} ms: wanted over 0 and at most {MAX_TIME_US // 1000} ms"
    if not 0 < rule.deadline <= MAX_TIME_US:
        return f"deadline is {rule.deadline / 1000:g} ms: wanted over 0 and at most {MAX_TIME_US // 1000} ms"
    if rule.aim > rule.deadline:
        return f"aim is {rule.aim / 1000:g} ms: wanted at most the deadline, {rule.deadline / 1000:g} ms"
    if not 0 < rule.window <= MAX_TIME_US:
        return f"window is {rule.window / 1000:g} ms: wanted over 0 and at most {MAX_TIME_US // 1000} ms"
    if not (math.isfinite(rule.worth) and rule.worth > 0):
        return f"worth is {rule.worth!r}: wanted a number over 0"
    if not 0 <= rule.late_worth <= 1:
        return f"late_worth is {rule.late_worth!r}: wanted a share from 0 to 1"
    return None
