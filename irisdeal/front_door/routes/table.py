"""A generation of routes, and the class numbers that stay stable over generations.

The decision core identifies request classes by number. `ClassNumbers` gives each rule a number, which it
keeps while the active generation or an open request uses it. A number without users is reused for the next
new rule, so that repeated swaps do not grow the list of classes. The decision core then discards what it
measured under that number (the usual response time), because that belongs to another class.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from irisdeal.front_door.routes.matcher import Matcher, RouteMatch
from irisdeal.front_door.routes.model import Route, Rule
from irisdeal.front_door.routes.path import Target

MAX_ROUTES = 50_000
MAX_CLASSES = 1_000  # of one generation; the decision core keeps an average for each
ROUTES_PER_STEP = 16  # routes added between two yields, so that a swap does not block the event loop


class DescriptionLimitError(ValueError):
    """A description has more operations or classes than a gateway accepts."""


@dataclass(slots=True)
class Table:
    """The routes of one generation. `number` counts generations from 1."""

    number: int = 0
    matcher: Matcher = field(default_factory=Matcher)
    routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    digest: str = ""
    allow_weaken: bool = False  # the description permits weaker repeat rules
    allow_remove: bool = False  # the description permits removed routes

    def find(self, method: str, target: Target) -> RouteMatch:
        """Return the route of a request."""
        return self.matcher.find(method, target)

    def rules(self) -> tuple[Rule, ...]:
        """Return its classes, in the order of their first route."""
        return tuple(dict.fromkeys(route.rule for route in self.routes.values()))


def build_in_steps(
    routes: Iterable[Route],
    number: int = 1,
    allow_weaken: bool = False,
    allow_remove: bool = False,
) -> Iterator[Table]:
    """Build a table in small steps, so that the caller can yield between them.

    The same table is yielded after each step; it is complete, and usable, only with the last one.

    Raises `RouteConflictError`, `InvalidTemplateError` or `DescriptionLimitError`.
    """
    table = Table(number, allow_weaken=allow_weaken, allow_remove=allow_remove)
    digest = hashlib.blake2b(digest_size=16)
    for count, route in enumerate(routes, 1):
        if count > MAX_ROUTES:
            raise DescriptionLimitError(f"over {MAX_ROUTES} operations")
        table.matcher.add(route)
        table.routes[route.key] = route
        # The digest depends on the field names of `Route`, `Rule`, `Units` and `Source`.
        digest.update(repr(route).encode("utf-8", "surrogatepass"))
        if count % ROUTES_PER_STEP == 0:
            yield table
    if len(table.rules()) > MAX_CLASSES:
        raise DescriptionLimitError(f"over {MAX_CLASSES} classes")
    digest.update(repr((allow_weaken, allow_remove)).encode())
    table.digest = digest.hexdigest()
    yield table


def build(routes: Iterable[Route], number: int = 1, **allow: bool) -> Table:
    """Build a table at once. Raises as `build_in_steps`."""
    *_, table = build_in_steps(routes, number, **allow)
    return table


class ClassNumbers:
    """Class numbers over generations. The first `reserved_count` belong to the settings and never change."""

    def __init__(self, reserved_count: int = 0) -> None:
        self.reserved_count = reserved_count
        self.rules: list[Rule | None] = [None] * reserved_count
        self.numbers_by_rule: dict[Rule, int] = {}
        self.open_request_counts: dict[int, int] = {}  # by class number
        self.active_numbers: set[int] = set()  # of the active generation

    def activate(self, rules: Iterable[Rule]) -> dict[Rule, int]:
        """Activate a generation and return its numbers. Older numbers stay while open requests use them."""
        active_rules = tuple(rules)
        assigned = {self.numbers_by_rule[rule] for rule in active_rules if rule in self.numbers_by_rule}
        self.active_numbers = assigned
        self._free_unused()
        for rule in active_rules:
            self.active_numbers.add(self._assign(rule))
        return {rule: self.numbers_by_rule[rule] for rule in active_rules}

    def assign(self, rule: Rule) -> int:
        """Return the number of a further rule, such as the stricter rule of an open request."""
        return self._assign(rule)

    def _assign(self, rule: Rule) -> int:
        if (number := self.numbers_by_rule.get(rule)) is None:
            free = (n for n in range(self.reserved_count, len(self.rules)) if self.rules[n] is None)
            number = next(free, len(self.rules))
            if number == len(self.rules):
                self.rules.append(None)
            self.rules[number], self.numbers_by_rule[rule] = rule, number
        return number

    def acquire(self, number: int) -> None:
        """Count an open request of this class."""
        self.open_request_counts[number] = self.open_request_counts.get(number, 0) + 1

    def release(self, number: int) -> None:
        """Count the end of an open request of this class."""
        remaining = self.open_request_counts.get(number, 0) - 1
        if remaining > 0:
            self.open_request_counts[number] = remaining
        else:
            self.open_request_counts.pop(number, None)

    def _free_unused(self) -> None:
        for number in range(self.reserved_count, len(self.rules)):
            rule = self.rules[number]
            if (
                rule is not None
                and number not in self.active_numbers
                and number not in self.open_request_counts
            ):
                self.rules[number] = None
                del self.numbers_by_rule[rule]
