"""One generation of routes, and the numbers of its classes.

Class numbers are what the decision module knows classes by. They stay stable over generations: `Classes`
gives each rule a number that it keeps as long as any generation or any open request uses it. A number that
nothing uses any more goes to the next new rule, so that fifty swaps do not make fifty times the classes; the
module then forgets what it had learnt of that number (its usual time), since it was another class's.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from irisdeal.front_door.routes.matcher import Found, Matcher
from irisdeal.front_door.routes.model import Route, Rule
from irisdeal.front_door.routes.path import Target

MOST_ROUTES = 50_000
MOST_CLASSES = 1_000  # of one generation: each has an average of its own in the module
ROUTES_PER_STEP = 16  # routes added between two rests, so that a swap does not hold up the loop


class DescriptionLimitError(ValueError):
    """A description past what a door takes."""


@dataclass(slots=True)
class Table:
    """The routes of one generation. `number` counts generations from 1."""

    number: int = 0
    matcher: Matcher = field(default_factory=Matcher)
    routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    digest: str = ""
    allow_weaken: bool = False  # the description says on purpose that safety may weaken
    allow_remove: bool = False

    def find(self, method: str, target: Target) -> Found:
        return self.matcher.find(method, target)

    def rules(self) -> tuple[Rule, ...]:
        """Its classes, in the order of their first route."""
        return tuple(dict.fromkeys(route.rule for route in self.routes.values()))


def build_in_steps(
    routes: Iterable[Route],
    number: int = 1,
    allow_weaken: bool = False,
    allow_remove: bool = False,
) -> Iterator[Table]:
    """Make a table in small steps: the same table is given after each, whole with the last one.

    Raises `RouteConflictError`, `InvalidTemplateError` or `DescriptionLimitError`.
    A table that is not whole must not be used.
    """
    table = Table(number, allow_weaken=allow_weaken, allow_remove=allow_remove)
    digest = hashlib.blake2b(digest_size=16)
    for count, route in enumerate(routes, 1):
        if count > MOST_ROUTES:
            raise DescriptionLimitError(f"over {MOST_ROUTES} operations")
        table.matcher.add(route)
        table.routes[route.key] = route
        digest.update(repr(route).encode("utf-8", "surrogatepass"))
        if count % ROUTES_PER_STEP == 0:
            yield table
    if len(table.rules()) > MOST_CLASSES:
        raise DescriptionLimitError(f"over {MOST_CLASSES} classes")
    digest.update(repr((allow_weaken, allow_remove)).encode())
    table.digest = digest.hexdigest()
    yield table


def build(routes: Iterable[Route], number: int = 1, **allow: bool) -> Table:
    """The same at once."""
    *_, table = build_in_steps(routes, number, **allow)
    return table


class ClassNumbers:
    """The numbers of classes over generations. The first `reserved_count` are the settings' and never change."""

    def __init__(self, reserved_count: int = 0) -> None:
        self.reserved_count = reserved_count
        self.rules: list[Rule | None] = [None] * reserved_count
        self.numbers: dict[Rule, int] = {}
        self.uses: dict[int, int] = {}  # open requests by number
        self.current: set[int] = set()  # of the generation in force

    def activate(self, rules: Iterable[Rule]) -> dict[Rule, int]:
        """A generation comes in force: its numbers. Those of the last one stay while requests use them."""
        wanted = tuple(rules)
        known = {self.numbers[rule] for rule in wanted if rule in self.numbers}
        self.current = known
        self._let_go()
        for rule in wanted:
            self.current.add(self._number(rule))
        return {rule: self.numbers[rule] for rule in wanted}

    def assign(self, rule: Rule) -> int:
        """The number of one more rule (a stricter one of an open request, say)."""
        return self._number(rule)

    def _number(self, rule: Rule) -> int:
        if (number := self.numbers.get(rule)) is None:
            free = (n for n in range(self.reserved_count, len(self.rules)) if self.rules[n] is None)
            number = next(free, len(self.rules))
            if number == len(self.rules):
                self.rules.append(None)
            self.rules[number], self.numbers[rule] = rule, number
        return number

    def acquire(self, number: int) -> None:
        """An open request has this class."""
        self.uses[number] = self.uses.get(number, 0) + 1

    def release(self, number: int) -> None:
        """It is over."""
        left = self.uses.get(number, 0) - 1
        if left > 0:
            self.uses[number] = left
        else:
            self.uses.pop(number, None)

    def _let_go(self) -> None:
        for number in range(self.reserved_count, len(self.rules)):
            rule = self.rules[number]
            if rule is not None and number not in self.current and number not in self.uses:
                self.rules[number] = None
                del self.numbers[rule]
