"""The compact form of routes that the process reading a description writes to the gateway, one line a route.

Each route is a list of 17 values, in the order of `FIELDS`. It is written and read by the same version of
this program.
"""

from __future__ import annotations

from typing import Any

from irisdeal.front_door.routes.model import Repeat, Route, Rule, Source, Units

FIELDS = (
    "method",
    "template",
    "class",
    "repeat",
    "group",
    "window",
    "key_header",
    "aim",
    "deadline",
    "worth",
    "late_worth",
    "units",
    "customer",
    "plan",
    "operation",
    "pointer",
    "deprecated",
)


def route_to_wire(route: Route) -> list[Any]:
    """Return the values of a route."""
    rule, units = route.rule, route.units
    return [
        route.method,
        route.template,
        rule.name,
        int(rule.repeat),
        rule.group,
        rule.window,
        rule.key_header,
        rule.aim,
        rule.deadline,
        rule.worth,
        rule.late_worth,
        [units.amount, units.place, units.name, units.default, units.cap],
        [route.customer.place, route.customer.name],
        [route.plan.place, route.plan.name],
        route.operation,
        route.pointer,
        route.deprecated,
    ]


def route_from_wire(values: list[Any], rules: dict[Rule, Rule]) -> Route:
    """Return the route of these values; equal rules are shared through `rules`. Raises ValueError."""
    if len(values) != len(FIELDS):
        raise ValueError(f"a route of {len(values)} values: wanted {len(FIELDS)}")
    (
        method,
        template,
        name,
        repeat,
        group,
        window,
        key_header,
        aim,
        deadline,
        worth,
        late_worth,
        units,
        customer,
        plan,
        operation,
        pointer,
        deprecated,
    ) = values
    rule = Rule(name, Repeat(repeat), group, window, key_header, aim, deadline, worth, late_worth)
    rule = rules.setdefault(rule, rule)
    return Route(
        method,
        template,
        rule,
        Units(*units),
        Source(*customer),
        Source(*plan),
        operation,
        pointer,
        deprecated,
    )
