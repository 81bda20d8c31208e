"""What changes from one table to the next, and whether a swap may be made. Pure.

| change | swap |
| --- | --- |
| a route is new, or its cost or times change | made |
| its rule on repeats gets stricter | made; the stricter rule holds for what is not yet sent |
| its rule gets weaker (unsafe to keyed or safe, keyed to safe, a wider group, a longer window) | refused, \
unless the new description allows `weaken` |
| it is gone | refused, unless the new description allows `remove` |
"""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.front_door.routes.model import Repeat, Route, Rule
from irisdeal.front_door.routes.table import Table


@dataclass(frozen=True, slots=True)
class Change:
    """One change: `what` is new, gone, stricter, weaker, cost, times, identity or name."""

    what: str
    method: str
    template: str
    old: str
    new: str

    def text(self) -> str:
        if self.what in ("new", "gone"):
            return f"{self.what}: {self.method} {self.template} ({self.old or self.new})"
        return f"{self.what}: {self.method} {self.template}: {self.old} -> {self.new}"


def weaker(old: Rule, new: Rule) -> bool:
    """Whether something that the old rule forbids is allowed by the new one."""
    if new.repeat is not old.repeat:
        return new.repeat < old.repeat
    return old.repeat is Repeat.KEYED and (
        new.window > old.window
        or new.key_header != old.key_header
        or (new.group != old.group and old.group != "all")
    )


def difference(old: Table, new: Table) -> list[Change]:
    """All changes, by template and method."""
    changes: list[Change] = []
    for key in sorted(old.routes.keys() | new.routes.keys(), key=lambda k: (k[1], k[0])):
        one, other = old.routes.get(key), new.routes.get(key)
        if one is None and other is not None:
            changes.append(Change("new", other.method, other.template, "", _repeat(other.rule)))
        elif one is not None and other is None:
            changes.append(Change("gone", one.method, one.template, _repeat(one.rule), ""))
        elif one is not None and other is not None:
            changes += _changed(one, other)
    return changes


def _changed(one: Route, other: Route) -> list[Change]:
    found: list[Change] = []
    key, old, new = (other.method, other.template), one.rule, other.rule
    if _repeat(old) != _repeat(new):
        found.append(Change("weaker" if weaker(old, new) else "stricter", *key, _repeat(old), _repeat(new)))
    if one.units != other.units:
        found.append(Change("cost", *key, one.units.text(), other.units.text()))
    if _times(old) != _times(new):
        found.append(Change("times", *key, _times(old), _times(new)))
    if (one.customer, one.plan) != (other.customer, other.plan):
        found.append(
            Change(
                "identity",
                *key,
                f"{one.customer.text()}, {one.plan.text()}",
                f"{other.customer.text()}, {other.plan.text()}",
            )
        )
    if old.name != new.name:
        found.append(Change("name", *key, old.name, new.name))
    return found


def _repeat(rule: Rule) -> str:
    if rule.repeat is not Repeat.KEYED:
        return rule.repeat.name.lower()
    return f"keyed by {rule.key_header}, {rule.group}, {rule.window / 1000:g} ms"


def _times(rule: Rule) -> str:
    return (
        f"aim {rule.aim / 1000:g} ms, deadline {rule.deadline / 1000:g} ms, worth {rule.worth:g}, "
        f"late {rule.late_worth:g}"
    )


def refusal_reason(old: Table, new: Table) -> str | None:
    """Why a swap is not to be made, with the first route that it concerns; None where it may be."""
    for change in difference(old, new):
        if change.what == "weaker" and not new.allow_weaken:
            return (
                f"{change.method} {change.template}: {change.old} would become {change.new}: "
                "wanted weaken in x-irisdeal allow"
            )
        if change.what == "gone" and not new.allow_remove:
            return f"{change.method} {change.template} would be gone: wanted remove in x-irisdeal allow"
    return None
