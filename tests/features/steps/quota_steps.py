"""Floods, kills, cuts and lost words over doors and registries (`irisdeal/squall/fleet.py`)."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from irisdeal.squall.fleet import Fleet


@given("{doors:d} doors, {gauges:d} registries and a tenant of {rate:g} a second, seed {seed:d}")
def _(context: Any, doors: int, gauges: int, rate: float, seed: int) -> None:
    context.fleet = Fleet(doors, gauges, rate, seed)


@when("it asks for {times:g} times that from second {since:g} to {until:g}")
def _(context: Any, times: float, since: float, until: float) -> None:
    context.fleet.load(since, until, times)


@when("{percent:d} percent of the doors are killed at second {at:g}")
def _(context: Any, percent: int, at: float) -> None:
    context.fleet.kill(at, percent / 100)


@when("{count:d} registries are killed at second {at:g} and back at {until:g}")
def _(context: Any, count: int, at: float, until: float) -> None:
    context.fleet.kill_gauges(at, count, until)


@when("{percent:d} percent of the doors hear nothing from second {since:g} to {until:g}")
def _(context: Any, percent: int, since: float, until: float) -> None:
    context.fleet.cut_off(since, until, percent / 100)


@when("{percent:d} percent of the words between processes are lost")
def _(context: Any, percent: int) -> None:
    context.fleet.loss = percent / 100


@then("no window of 5 s has more than the rule allows by second {until:g}")
def _(context: Any, until: float) -> None:
    fleet = context.fleet
    fleet.play(until)
    assert fleet.most(5.0) <= fleet.allowed(5.0), (fleet.most(5.0), fleet.allowed(5.0))


@then("under {percent:g} percent were refused")
def _(context: Any, percent: float) -> None:
    fleet = context.fleet
    assert fleet.refused <= fleet.asked * percent / 100, (fleet.refused, fleet.asked)


@then("at least {percent:g} percent of the rate ran from second {since:g} to {until:g}")
def _(context: Any, percent: float, since: float, until: float) -> None:
    fleet = context.fleet
    ran = sum(since <= at < until for at in fleet.ran)
    assert ran >= fleet.rate * (until - since) * percent / 100, (ran, fleet.rate * (until - since))
