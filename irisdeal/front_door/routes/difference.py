"""The changes from one route table to the next, and whether the swap is allowed.

| change | swap |
| --- | --- |
| a route is added, or its cost or times change | made |
| its repeat rule gets stricter | made; the stricter rule applies to attempts not yet sent |
| its repeat rule gets weaker (unsafe to keyed or safe, keyed to safe, a wider group, a longer window) | refused, \
unless the new description allows `weaken` |
| a route is removed | refused, unless the new description allows `remove` |
"""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.front_door.routes.model import Repeat, Route, Rule
from irisdeal.front_door.routes.table import Table


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a route: `kind` is new, gone, stricter, weaker, cost, times, identity or name."""

    kind: str
    method: str
    template: str
    old: str
    new: str

    def text(self) -> str:
        """Return the change as one line."""
        if self.kind in ("new", "gone"):
            return f"{self.kind}: {self.method} {self.template} ({self.old or self.new})"
        return f"{self.kind}: {self.method} {self.template}: {self.old} -> {self.new}"


def is_weaker(old: Rule, new: Rule) -> bool:
    """Return whether the new rule allows a repeat that the old one forbids."""
    if new.repeat is not old.repeat:
        return new.repeat < old.repeat
    return old.repeat is Repeat.KEYED and (
        new.window > old.window
        or new.key_header != old.key_header
        or (new.group != old.group and old.group != "all")
    )


def compare_tables(old: Table, new: Table) -> list[Change]:
    """Return all changes, sorted by template and method."""
    changes: list[Change] = []
    for key in sorted(old.routes.keys() | new.routes.keys(), key=lambda k: (k[1], k[0])):
        old_route, new_route = old.routes.get(key), new.routes.get(key)
        if old_route is None and new_route is not None:
            changes.append(
                Change("new", new_route.method, new_route.template, "", _describe_repeat(new_route.rule))
            )
        elif old_route is not None and new_route is None:
            changes.append(
                Change("gone", old_route.method, old_route.template, _describe_repeat(old_route.rule), "")
            )
        elif old_route is not None and new_route is not None:
            changes += _route_changes(old_route, new_route)
    return changes


def _route_changes(old_route: Route, new_route: Route) -> list[Change]:
    found: list[Change] = []
    key, old, new = (new_route.method, new_route.template), old_route.rule, new_route.rule
    if _describe_repeat(old) != _describe_repeat(new):
        found.append(
            Change(
                "weaker" if is_weaker(old, new) else "stricter",
                *key,
                _describe_repeat(old),
                _describe_repeat(new),
            )
        )
    if old_route.units != new_route.units:
        found.append(Change("cost", *key, old_route.units.text(), new_route.units.text()))
    if _describe_times(old) != _describe_times(new):
        found.append(Change("times", *key, _describe_times(old), _describe_times(new)))
    if (old_route.customer, old_route.plan) != (new_route.customer, new_route.plan):
        found.append(
            Change(
                "identity",
                *key,
                f"{old_route.customer.text()}, {old_route.plan.text()}",
                f"{new_route.customer.text()}, {new_route.plan.text()}",
            )
        )
    if old.name != new.name:
        found.append(Change("name", *key, old.name, new.name))
    return found


def _describe_repeat(rule: Rule) -> str:
    if rule.repeat is not Repeat.KEYED:
        return rule.repeat.name.lower()
    return f"keyed by {rule.key_header}, {rule.group}, {rule.window / 1000:g} ms"


def _describe_times(rule: Rule) -> str:
    return (
        f"aim {rule.aim / 1000:g} ms, deadline {rule.deadline / 1000:g} ms, worth {rule.worth:g}, "
        f"late {rule.late_worth:g}"
    )


def refusal_reason(old: Table, new: Table) -> str | None:
    """Return why a swap is refused, with the first route concerned; None where it is allowed."""
    for change in compare_tables(old, new):
        if change.kind == "weaker" and not new.allow_weaken:
            return (
                f"{change.method} {change.template}: {change.old} would become {change.new}: "
                "wanted weaken in x-irisdeal allow"
            )
        if change.kind == "gone" and not new.allow_remove:
            return f"{change.method} {change.template} would be gone: wanted remove in x-irisdeal allow"
    return None
