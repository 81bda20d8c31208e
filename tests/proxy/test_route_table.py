"""Incrementally built route tables, and how a proxy applies them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Generator
from itertools import pairwise
from random import Random
from typing import Any

import pytest
from hypothesis import example, given, settings, strategies
from returns.result import Result

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.stepwise import run_to_completion
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.proxy import config_applier
from irisdeal.proxy.config_applier import MIN_INTERVAL_S, ConfigApplier
from irisdeal.proxy.route_table import Route, RouteTable
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.tasks import Tasks
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import START_US, World
from tests.support.configurations import change, configuration, route


def read(data: dict[str, Any], previous: ParsedConfiguration | None = None) -> ParsedConfiguration:
    parsed: ParsedConfiguration = run_to_completion(
        read_incrementally(json.dumps(data).encode(), previous)
    ).unwrap()
    return parsed


def scan(table: RouteTable, host: bytes, path: bytes) -> Route | None:
    """Find the route by a linear scan of the host's routes."""
    matching = (
        [route for route in table.hosts[host].routes.values() if path.startswith(route.prefix)]
        if (host in table.hosts)
        else []
    )
    return max(matching, key=lambda route: len(route.prefix), default=None)


def nested(rng: Random, count: int) -> dict[str, Any]:
    """Return a configuration with nested prefixes, sometimes including the root."""
    data = configuration(10)
    service = data["pools"][0]["name"]
    prefixes = {
        "/" + "".join(f"{rng.choice(['a', 'b', 'long', ''])}/" for _ in range(rng.randrange(5)))
        for _ in range(count)
    }
    rules = []
    for prefix in sorted(prefixes):
        rules.append({**route(rng, service), "pattern": {"path_prefix": prefix}})
    data["sockets"] = [
        {"hostname": "One.example", "rules": rules[::2]},
        {"hostname": "one.example", "rules": rules[1::2]},
    ]
    return data


@settings(max_examples=100, deadline=None)
@given(strategies.integers(0, 2**32))
def test_find_equals_a_linear_scan(seed: int) -> None:
    rng = Random(seed)
    table = RouteTable(read(nested(rng, rng.randrange(1, 30))).configuration)
    for _ in range(60):
        parts = [b"/", b"a", b"b", b"long", b"/a/", b"//"]
        path = b"".join(rng.choice(parts) for _ in range(rng.randrange(9)))
        assert table.find(b"one.example", path) is scan(table, b"one.example", path)
    assert table.find(b"other", b"/a/") is None


def test_the_cost_of_a_path_with_many_slashes_is_bounded_by_the_longest_prefix() -> None:
    table = RouteTable(read(nested(Random(1), 20)).configuration)
    host = table.hosts[b"one.example"]
    lookups = []

    class Counting(dict[bytes, Route]):
        def get(self, key: bytes, default: Any = None) -> Any:
            lookups.append(key)
            return None

    host.routes = Counting(host.routes)
    host.find(b"/" * 16000)
    assert len(lookups) <= host.longest_prefix


@settings(max_examples=12, deadline=None)
@given(strategies.integers(0, 2**32))
@example(3447)  # removes all hosts, so that no host is left to change
def test_an_incrementally_built_table_equals_a_complete_one(seed: int) -> None:
    """This includes added and removed hosts; previous tables do not change."""
    rng = Random(f"changes {seed}")  # another sequence than that of `configuration`, to draw other names
    data = configuration(60)
    parsed = read(data)
    table, previous = RouteTable(parsed.configuration), []
    for number in range(2, 9):
        for _ in range(3):
            data = change(data, rng, f"r{number}")
        if len(data["sockets"]) > 1 and rng.random() < 0.4:
            moved = data["sockets"].pop(rng.randrange(len(data["sockets"])))
            if rng.random() < 0.5:
                data["sockets"].append({**moved, "hostname": f"new{number}.example"})
        previous.append((table, parsed.configuration))
        parsed = read(data, parsed)
        table = run_to_completion(RouteTable.build(parsed, table))
        assert_equal(table, RouteTable(parsed.configuration))
    for old_table, old_configuration in previous:
        assert_equal(old_table, RouteTable(old_configuration))


def assert_equal(one: RouteTable, other: RouteTable) -> None:
    assert (one.generation, one.limits) == (other.generation, other.limits)
    assert one.index == other.index and one.has_tenants == other.has_tenants
    assert dict(one.keys) == dict(other.keys) and dict(one.pools) == dict(other.pools)
    assert set(one.hosts) == set(other.hosts)
    for host, routes in one.hosts.items():
        assert (
            routes.routes == other.hosts[host].routes
            and routes.longest_prefix == other.hosts[host].longest_prefix
        )


def test_one_change_rebuilds_one_route() -> None:
    data = configuration(100)
    parsed = read(data)
    table = run_to_completion(RouteTable.build(parsed, None))
    data["sockets"][2]["rules"][3]["effect"]["timeout_ms"] = 7000
    after = run_to_completion(RouteTable.build(read(data, parsed), table))
    same = [routes is table.hosts[host] for host, routes in after.hosts.items()]
    assert same.count(False) == 1
    is_reused = [
        route_ is table.hosts[host].routes[prefix]
        for host, routes in after.hosts.items()
        for prefix, route_ in routes.routes.items()
    ]
    assert is_reused.count(False) == 1


# Applying configurations


def versions(count: int) -> list[ConfigVersion]:
    rng, data, made_versions = Random(3), configuration(10), []
    for number in range(1, count + 1):
        data = change(data, rng, f"r{number}")
        made_versions.append(ConfigVersion.of(f"r{number}", json.dumps(data).encode()))
    return made_versions


class WorkClock:
    """An event loop in which work takes time: the time spent elapses at the next sleep."""

    def __init__(self) -> None:
        self.loop, self.spent = asyncio.get_running_loop(), 0.0

    def time(self) -> float:
        return self.loop.time() + self.spent

    def get_running_loop(self) -> WorkClock:
        return self

    async def sleep(self, seconds: float) -> None:
        spent, self.spent = self.spent, 0.0
        await asyncio.sleep(max(0.0, seconds) + spent)


class ApplierRun:
    """One applier in virtual time; `in_force`: time and generation of each applied table."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, steps: int = 0, cost: float = 0.0) -> None:
        """Parsing takes `steps` more steps, of `cost` s each."""
        self.in_force: list[tuple[float, str]] = []
        self.started_count, self.monkeypatch = 0, monkeypatch
        self.clock: WorkClock | None = None

        def slow(
            body: bytes, previous: ParsedConfiguration | None
        ) -> Generator[None, None, Result[ParsedConfiguration, OperationError]]:
            self.started_count += 1
            for _ in range(steps):
                assert self.clock is not None
                self.clock.spent += cost
                yield
            return (yield from read_incrementally(body, previous))

        monkeypatch.setattr(config_applier, "read_incrementally", slow)

    def run(self, act: Callable[[ConfigApplier], Awaitable[None]]) -> None:
        world = World(1)
        machine = Machine(world, Network(world), "proxy", Core(), Costs())
        done: list[int] = []

        async def main() -> int:
            self.clock = WorkClock()
            self.monkeypatch.setattr(config_applier, "asyncio", self.clock)

            def note(table: RouteTable) -> None:
                self.in_force.append((machine.time(), table.generation))

            applier = ConfigApplier(note, Tasks())
            await act(applier)
            done.append(1)
            return 0

        machine.start(main())
        world.run(lambda: bool(done), START_US + 100_000_000)
        assert done


def test_a_small_version_is_in_force_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    applier_run = ApplierRun(monkeypatch)

    async def act(applier: ConfigApplier) -> None:
        applier.apply(versions(1)[0])
        assert [generation for _, generation in applier_run.in_force] == ["r1"]

    applier_run.run(act)


def test_frequent_changes_are_applied_at_a_limited_rate_and_the_last_is_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    applier_run = ApplierRun(monkeypatch)

    async def act(applier: ConfigApplier) -> None:
        for version in versions(160):
            applier.apply(version)
            await asyncio.sleep(22 / 160)
        await asyncio.sleep(MIN_INTERVAL_S)

    applier_run.run(act)
    numbers = [int(generation[1:]) for _, generation in applier_run.in_force]
    assert numbers == sorted(set(numbers)) and numbers[-1] == 160 and len(numbers) <= 75
    assert (
        max(later - earlier for (earlier, _), (later, _) in pairwise(applier_run.in_force))
        < MIN_INTERVAL_S + 22 / 160
    )


def test_an_older_version_is_never_in_force_after_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    applier_run = ApplierRun(monkeypatch)

    async def act(applier: ConfigApplier) -> None:
        one, two, three = versions(3)
        for version in (two, one, three, two, one):
            applier.apply(version)
        await asyncio.sleep(1)

    applier_run.run(act)
    assert [generation for _, generation in applier_run.in_force] == ["r2", "r3"]


def test_other_tasks_run_while_a_large_version_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """A build of 50 steps of 5 ms yields to the event loop after each step."""
    applier_run = ApplierRun(monkeypatch, steps=50, cost=0.005)
    turns: list[int] = []

    async def act(applier: ConfigApplier) -> None:
        applier.apply(versions(1)[0])
        while not applier_run.in_force:
            turns.append(1)
            await asyncio.sleep(0.005)

    applier_run.run(act)
    assert len(turns) >= 45


def test_a_build_is_abandoned_for_a_newer_version_but_some_builds_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Versions arrive faster than they are built; if each one abandoned the last build, none would
    complete.
    """
    applier_run = ApplierRun(monkeypatch, steps=100, cost=0.005)

    async def act(applier: ConfigApplier) -> None:
        for version in versions(40):
            applier.apply(version)
            await asyncio.sleep(0.3)
        await asyncio.sleep(2)

    applier_run.run(act)
    applied = [generation for _, generation in applier_run.in_force]
    assert applied[-1] == "r40" and len(applied) >= 4 and applier_run.started_count > len(applied)


def test_an_unreadable_version_does_not_replace_the_one_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    applier_run = ApplierRun(monkeypatch)

    async def act(applier: ConfigApplier) -> None:
        applier.apply(versions(1)[0])
        applier.apply(ConfigVersion.of("r2", b"{"))
        await asyncio.sleep(1)
        assert applier.table is not None and applier.table.generation == "r1" and not applier.is_building
        applier.apply(versions(3)[2])

    applier_run.run(act)
    assert [generation for _, generation in applier_run.in_force] == ["r1", "r3"]
