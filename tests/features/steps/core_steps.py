"""Simulated days of the configuration store, with and without planted bugs."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from irisdeal.simulation.cluster.probes import dueling_proposers, race, replace_body, replace_members
from irisdeal.simulation.cluster.store_day import ClusterSimulation, simulation_for_seed
from tests.support.planted_store_bugs import planted

SHORT_DAY_S = 4.0  # duration of the faults in a day with a planted bug


@given("a store with the planted bug: {bug}")
def _(context: Any, bug: str) -> None:
    context.bug = bug


@when("the simulated days of seeds {first:d} to {last:d} run")
def _(context: Any, first: int, last: int) -> None:
    context.verdicts = [simulation_for_seed(seed).play() for seed in range(first, last + 1)]


@then("no violation is found, and {percent:d} percent of the puts were acknowledged")
def _(context: Any, percent: int) -> None:
    violations = {verdict.seed: verdict.breaches for verdict in context.verdicts if verdict.breaches}
    assert not violations, violations
    assert sum(verdict.refused for verdict in context.verdicts) == 0
    puts = sum(verdict.orders for verdict in context.verdicts)
    assert sum(verdict.acknowledged for verdict in context.verdicts) >= puts * percent / 100


# Probes


@when("two bodies are put under one number at once, {times:d} times")
def _(context: Any, times: int) -> None:
    context.probes = [race(seed) for seed in range(times)]


@then("both were confirmed in {most:d} of them, and one in each")
def _(context: Any, most: int) -> None:
    assert sum(len(probe.confirmed) > 1 for probe in context.probes) == most
    assert all(probe.confirmed and not probe.breaches for probe in context.probes)


@when("a body of larger digest is put 1 s after the other's confirmation, {times:d} times")
def _(context: Any, times: int) -> None:
    context.probes = [replace_body(seed) for seed in range(times)]


@then("it replaced the other in {most:d} of them")
def _(context: Any, most: int) -> None:
    assert sum(probe.read != probe.confirmed[0] for probe in context.probes) == most
    assert not any(probe.breaches for probe in context.probes)


@when("{times:d} members of {count:d} are replaced, 6 s apart")
def _(context: Any, times: int, count: int) -> None:
    context.times, context.probe = times, replace_members(1, times, count=count)


@then("a put and a read succeed after each replacement")
def _(context: Any) -> None:
    probe = context.probe
    assert (probe.puts, probe.reads, probe.breaches) == (context.times, context.times, []), probe


# Planted bugs


def _violations(bug: str, scenario: str, seed: int) -> list[str]:
    """Return the violations in a short day (`day: FAULT`) or in duels (`duels: FAULT`) with this bug."""
    kind, _, fault = scenario.partition(": ")
    with planted(bug):
        if kind == "duels":
            return dueling_proposers(seed, fault).breaches
        only = () if fault == "any" else (fault,)
        return ClusterSimulation(3, seed, length=SHORT_DAY_S, operators=4, only=only).play().breaches


@when("{scenario} of seed {seed:d} runs")
def _(context: Any, scenario: str, seed: int) -> None:
    context.violations = _violations(context.bug, scenario, seed)
    context.without_bug = _violations("nothing", scenario, seed)


@then("a violation is found, and none without the bug")
def _(context: Any) -> None:
    assert context.violations
    assert not context.without_bug, context.without_bug
