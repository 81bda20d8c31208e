"""Tables built by changes, and how a proxy applies them."""

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
from irisdeal.runtime.process import Tasks
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import START, World
from tests.support.configurations import change, configuration, route


def read(data: dict[str, Any], before: ParsedConfiguration | None = None) -> ParsedConfiguration:
    found: ParsedConfiguration = run_to_completion(
        read_incrementally(json.dumps(data).encode(), before)
    ).unwrap()
    return found


def scan(table: RouteTable, host: bytes, path: bytes) -> Route | None:
    """All routes of the host, one by one."""
    found = (
        [made for made in table.hosts[host].routes.values() if path.startswith(made.prefix)]
        if (host in table.hosts)
        else []
    )
    return max(found, key=lambda made: len(made.prefix), default=None)


def nested(chance: Random, count: int) -> dict[str, Any]:
    """Routes within routes, the root among them at times."""
    data = configuration(10)
    service = data["pools"][0]["name"]
    prefixes = {
        "/" + "".join(f"{chance.choice(['a', 'b', 'long', ''])}/" for _ in range(chance.randrange(5)))
        for _ in range(count)
    }
    rules = []
    for prefix in sorted(prefixes):
        rules.append({**route(chance, service), "pattern": {"path_prefix": prefix}})
    data["sockets"] = [
        {"hostname": "One.example", "rules": rules[::2]},
        {"hostname": "one.example", "rules": rules[1::2]},
    ]
    return data


@settings(max_examples=100, deadline=None)
@given(strategies.integers(0, 2**32))
def test_find_is_the_plain_scan(seed: int) -> None:
    chance = Random(seed)
    table = RouteTable(read(nested(chance, chance.randrange(1, 30))).configuration)
    for _ in range(60):
        parts = [b"/", b"a", b"b", b"long", b"/a/", b"//"]
        path = b"".join(chance.choice(parts) for _ in range(chance.randrange(9)))
        assert table.find(b"one.example", path) is scan(table, b"one.example", path)
    assert table.find(b"other", b"/a/") is None


def test_a_path_of_many_slashes_costs_as_far_as_prefixes_reach() -> None:
    table = RouteTable(read(nested(Random(1), 20)).configuration)
    host = table.hosts[b"one.example"]
    looked = []

    class Counting(dict[bytes, Route]):
        def get(self, key: bytes, default: Any = None) -> Any:
            looked.append(key)
            return None

    host.routes = Counting(host.routes)
    host.find(b"/" * 16000)
    assert len(looked) <= host.longest_prefix


@settings(max_examples=12, deadline=None)
@given(strategies.integers(0, 2**32))
@example(3447)  # whose hosts were all taken away: there was none left to change, and the test failed
def test_a_table_by_changes_is_the_whole_one(seed: int) -> None:
    """Also where hosts come and go; the tables before stay as they were."""
    chance = Random(f"changes {seed}")  # with 1 it would draw the names that are there
    data = configuration(60)
    made = read(data)
    table, kept = RouteTable(made.configuration), []
    for number in range(2, 9):
        for _ in range(3):
            data = change(data, chance, f"r{number}")
        if len(data["sockets"]) > 1 and chance.random() < 0.4:
            moved = data["sockets"].pop(chance.randrange(len(data["sockets"])))
            if chance.random() < 0.5:
                data["sockets"].append({**moved, "hostname": f"new{number}.example"})
        kept.append((table, made.configuration))
        made = read(data, made)
        table = run_to_completion(RouteTable.build(made, table))
        equal(table, RouteTable(made.configuration))
    for old, was in kept:
        equal(old, RouteTable(was))


def equal(one: RouteTable, other: RouteTable) -> None:
    assert (one.generation, one.limits) == (other.generation, other.limits)
    assert one.index == other.index and one.has_tenants == other.has_tenants
    assert dict(one.keys) == dict(other.keys) and dict(one.pools) == dict(other.pools)
    assert set(one.hosts) == set(other.hosts)
    for host, routes in one.hosts.items():
        assert (
            routes.routes == other.hosts[host].routes
            and routes.longest_prefix == other.hosts[host].longest_prefix
        )


def test_one_change_makes_one_route_anew() -> None:
    data = configuration(100)
    made = read(data)
    table = run_to_completion(RouteTable.build(made, None))
    data["sockets"][2]["rules"][3]["effect"]["timeout_ms"] = 7000
    after = run_to_completion(RouteTable.build(read(data, made), table))
    same = [routes is table.hosts[host] for host, routes in after.hosts.items()]
    assert same.count(False) == 1
    changed = [
        made is table.hosts[host].routes[prefix]
        for host, routes in after.hosts.items()
        for prefix, made in routes.routes.items()
    ]
    assert changed.count(False) == 1


# Taking into force


def versions(count: int) -> list[ConfigVersion]:
    chance, data, made = Random(3), configuration(10), []
    for number in range(1, count + 1):
        data = change(data, chance, f"r{number}")
        made.append(ConfigVersion.of(f"r{number}", json.dumps(data).encode()))
    return made


class Clock:
    """A loop on which work takes time: what was spent passes at the next sleep."""

    def __init__(self) -> None:
        self.loop, self.spent = asyncio.get_running_loop(), 0.0

    def time(self) -> float:
        return self.loop.time() + self.spent

    def get_running_loop(self) -> Clock:
        return self

    async def sleep(self, seconds: float) -> None:
        spent, self.spent = self.spent, 0.0
        await asyncio.sleep(max(0.0, seconds) + spent)


class Play:
    """One applier in virtual time; `in_force` are the tables it gave, with when."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, steps: int = 0, cost: float = 0.0) -> None:
        """Each reading takes `steps` more, of `cost` s each."""
        self.in_force: list[tuple[float, str]] = []
        self.begun, self.monkeypatch = 0, monkeypatch
        self.clock: Clock | None = None

        def slow(
            body: bytes, before: ParsedConfiguration | None
        ) -> Generator[None, None, Result[ParsedConfiguration, OperationError]]:
            self.begun += 1
            for _ in range(steps):
                assert self.clock is not None
                self.clock.spent += cost
                yield
            return (yield from read_incrementally(body, before))

        monkeypatch.setattr(config_applier, "read_incrementally", slow)

    def run(self, act: Callable[[ConfigApplier], Awaitable[None]]) -> None:
        world = World(1)
        machine = Machine(world, Network(world), "proxy", Core(), Costs())
        done: list[int] = []

        async def main() -> int:
            self.clock = Clock()
            self.monkeypatch.setattr(config_applier, "asyncio", self.clock)

            def note(table: RouteTable) -> None:
                self.in_force.append((machine.time(), table.generation))

            made = ConfigApplier(note, Tasks())
            await act(made)
            done.append(1)
            return 0

        machine.start(main())
        world.run(lambda: bool(done), START + 100_000_000)
        assert done


def test_a_short_version_is_in_force_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    play = Play(monkeypatch)

    async def act(made: ConfigApplier) -> None:
        made.apply(versions(1)[0])
        assert [generation for _, generation in play.in_force] == ["r1"]

    play.run(act)


def test_hundreds_of_changes_cost_an_application_each_pace_and_the_last_is_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)

    async def act(made: ConfigApplier) -> None:
        for version in versions(160):
            made.apply(version)
            await asyncio.sleep(22 / 160)
        await asyncio.sleep(MIN_INTERVAL_S)

    play.run(act)
    numbers = [int(generation[1:]) for _, generation in play.in_force]
    assert numbers == sorted(set(numbers)) and numbers[-1] == 160 and len(numbers) <= 75
    assert (
        max(later - earlier for (earlier, _), (later, _) in pairwise(play.in_force))
        < MIN_INTERVAL_S + 22 / 160
    )


def test_an_older_version_is_never_in_force_after_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    play = Play(monkeypatch)

    async def act(made: ConfigApplier) -> None:
        one, two, three = versions(3)
        for version in (two, one, three, two, one):
            made.apply(version)
        await asyncio.sleep(1)

    play.run(act)
    assert [generation for _, generation in play.in_force] == ["r2", "r3"]


def test_others_go_on_while_a_long_version_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """50 steps of 5 ms: who waits for the loop has it after each."""
    play = Play(monkeypatch, steps=50, cost=0.005)
    turns: list[int] = []

    async def act(made: ConfigApplier) -> None:
        made.apply(versions(1)[0])
        while not play.in_force:
            turns.append(1)
            await asyncio.sleep(0.005)

    play.run(act)
    assert len(turns) >= 45


def test_an_overtaken_one_is_dropped_midway_and_yet_something_gets_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Words come faster than they can be taken in: nothing would be done if each dropped the one before."""
    play = Play(monkeypatch, steps=100, cost=0.005)

    async def act(made: ConfigApplier) -> None:
        for version in versions(40):
            made.apply(version)
            await asyncio.sleep(0.3)
        await asyncio.sleep(2)

    play.run(act)
    done = [generation for _, generation in play.in_force]
    assert done[-1] == "r40" and len(done) >= 4 and play.begun > len(done)


def test_what_cannot_be_read_leaves_what_is_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    play = Play(monkeypatch)

    async def act(made: ConfigApplier) -> None:
        made.apply(versions(1)[0])
        made.apply(ConfigVersion.of("r2", b"{"))
        await asyncio.sleep(1)
        assert made.table is not None and made.table.generation == "r1" and not made.is_working
        made.apply(versions(3)[2])

    play.run(act)
    assert [generation for _, generation in play.in_force] == ["r1", "r3"]
