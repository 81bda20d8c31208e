"""The capacity page: hollow doors beside real ones, the counting, the formulas; no figure lacks its run."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from returns.result import Success

from benchmarks.capacity import fit, page, places, sweep
from benchmarks.capacity.configuration import make
from benchmarks.capacity.hollow import HollowWatcher, Shared
from benchmarks.capacity.laws import LAWS, configured
from benchmarks.capacity.page import PAGE, TABLES, filled
from benchmarks.capacity.play import Play
from benchmarks.capacity.runs import BENCH, CHECK, FIT, RUNS, load
from benchmarks.capacity.size import DOOR_BYTES, WHOLE, Size, part
from benchmarks.capacity.tally import Tally
from irisdeal.config_store.configuration.cached_reading import parse_cached
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.registry.incarnation import BackendIncarnation, IncarnationStatus
from irisdeal.rpc import client as rpc_client
from irisdeal.rpc import server
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.frames import encode
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime.settings import Settings

PATIENCE = 5.0  # s: only a test that hangs meets it
IPS = [f"127.{100 + os.getpid() % 100}.{os.getpid() >> 8 & 255}.{at}" for at in (1, 2)]
PORTS = (7340, 7355)
WORD = ConfigVersion.of("r3", b'{"generation":"r3"}')


def told(number: int) -> list[Any]:
    return [f"i-{number}", "svc", f"10.0.0.{number}:8080", "zone0", 2, 0, 1, 0]


def chunk() -> list[Any]:
    """The word, for one that has nothing."""
    version_store = VersionStore()
    version_store.add(WORD)
    whole = version_store.next_chunk(SyncState(), WORD.version_id)
    assert whole is not None
    return whole.encode()


class Registry:
    """A scripted registry: news as they are given to it, and all that it was asked."""

    def __init__(self) -> None:
        self.heard: list[tuple[str, Any]] = []
        self.script: asyncio.Queue[list[Any]] = asyncio.Queue()
        self.server = RpcServer(self.answer)

    async def answer(self, peer: str, kind: str, body: Any) -> Any:
        self.heard.append((kind, body))
        return await self.script.get() if kind == "news" else None


def settings() -> Settings:
    return Settings("edge-1", "proxy", "127.99.0.1", "zone0", PORTS, tuple(f"{ip}:8783" for ip in IPS))


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.005)


async def heard_from(make_watcher: Callable[[], RegistryWatcher]) -> list[list[tuple[str, Any]]]:
    """All that two registries hear from a door: whole news, then one of a life that is silent, then none."""
    registries = [Registry() for _ in IPS]
    for ip, registry in zip(IPS, registries, strict=True):
        await registry.server.listen((ip, PORTS[0] + 1))
    watcher = make_watcher()
    roster = dict.fromkeys(IPS, "zone0")
    watcher.start()
    try:
        for at, registry in enumerate(registries):  # in turn, so that both doors know the same
            await until(lambda registry=registry: len(registry.heard) >= 1)  # type: ignore[misc]
            whole = chunk() if at == 0 else None
            registry.script.put_nowait([whole, 7 + at, 2, [[told(1), False], [told(2), False]], roster, 0, 1])
            await until(lambda registry=registry: len(registry.heard) >= 3)  # type: ignore[misc]
        for registry in registries:
            registry.script.put_nowait([None, 7, 3, [[told(3), True]], roster, 0, 1])
        await until(lambda: all(len(registry.heard) >= 4 for registry in registries))
        await asyncio.sleep(0.02)
    finally:
        watcher.stop()
        for registry in registries:
            registry.server.close()
    return [registry.heard for registry in registries]


def ignore_word(version: ConfigVersion) -> None:
    pass


def ignore_life(incarnation: BackendIncarnation, silent: bool) -> None:
    pass


def run(work: Awaitable[Any]) -> Any:
    async def main() -> Any:
        return await work

    return asyncio.run(main())


def test_a_hollow_door_says_what_a_real_one_says_to_the_same_news() -> None:
    real = run(heard_from(lambda: RegistryWatcher(settings(), ignore_word, ignore_life)))
    hollow = run(heard_from(lambda: HollowWatcher(settings(), Shared())))
    assert [[kind for kind, _ in heard][:3] for heard in real] == [["news", "news", "lives"]] * 2
    assert hollow == real


def test_hollow_doors_and_backends_before_a_real_core(tmp_path: Path) -> None:
    """All settle, know all lives, and what they count is what the registries count of them."""
    size = Size(4, 24, 3, 3, 20, 30, 3, 350.0, 4)
    played = Play(size, tmp_path, 1.0, 1.0)
    try:
        played.start_core()
        assert played.put()["acknowledged_s"] is not None
        played.start_backends()
        assert played.start_doors()["unsettled"] == 0

        def counted() -> tuple[int, int, int]:
            """Lives known; bytes of lives as the doors count them out and the registries in."""
            report = played.reports(played.doors)[0]
            there = [counts for name, (_, counts) in played.sample().items() if name.startswith("registry")]
            return (
                report["lives"],
                report["tally"]["out lives"][1],
                sum(counts.get("in lives", [0, 0])[1] for counts in there),
            )

        late = time.monotonic() + 2 * PATIENCE
        while ((told := counted())[0] < size.backends or told[1] != told[2]) and time.monotonic() < late:
            time.sleep(0.1)
        assert told[0] == size.backends and told[1] == told[2] > 0
    finally:
        played.end()


def test_hollow_doors_of_one_process_keep_lives_and_words_once() -> None:
    async def main() -> None:
        shared = Shared()
        doors = [HollowWatcher(settings(), shared) for _ in range(3)]
        for door in doors:
            door.configuration.receive(IPS[0], door.configuration.sync_state(IPS[0]), chunk(), 1)
            door.backends.receive(IPS[0], [IncarnationStatus.decode([told(1), False], 0.0)])
        assert len(shared.incarnations) == 1 and len(shared.versions) == 1
        version = doors[0].configuration.version
        assert all(door.configuration.version is version for door in doors)
        assert not any(door.backends.incarnations for door in doors)

    asyncio.run(main())


def test_the_tally_counts_every_byte_of_every_kind(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FrameReader", "encode"):
        for module in (rpc_client, server):
            monkeypatch.setattr(module, name, getattr(module, name))
    monkeypatch.setattr(server._ServerConnection, "_write", server._ServerConnection._write)
    tally = Tally()
    tally.install()

    async def main() -> None:
        async def answer(peer: str, kind: str, body: Any) -> Any:
            return body * 2

        server = RpcServer(answer)
        await server.listen((IPS[0], PORTS[0]))
        client = RpcClient((IPS[0], PORTS[0]), "me")
        for _ in range(3):
            assert await client.call("lend", "word", PATIENCE) == Success("wordword")
        assert client.notify("loads", [1])
        await until(lambda: "in loads" in tally.counts)
        client.close()
        server.close()

    asyncio.run(main())
    asks = sum(len(encode([number, "lend", "word"])) for number in (1, 2, 3))
    answers = sum(len(encode([number, True, "wordword"])) for number in (1, 2, 3))
    version = len(encode([-1, "loads", [1]]))
    hello = len(encode([0, "hello", "me"]))
    assert tally.counts == {
        "out hello": [1, hello],
        "in hello": [1, hello],
        "out lend": [3, asks],
        "in lend": [3, asks],
        "answer lend": [3, answers],
        "in answer": [3, answers],
        "out loads": [1, version],
        "in loads": [1, version],
    }


def test_the_made_up_configuration_is_valid_and_as_long_as_its_formula_says() -> None:
    small = part(30)
    body = make(small, 7)
    configuration = parse_cached(body).unwrap()
    assert (configuration.generation, len(configuration.pools)) == ("r7", small.services)
    assert len(configuration.tenants or ()) == small.tenants
    assert abs(len(body) / 1e6 / configured(small) - 1) < 0.05
    assert 8.0 < configured(WHOLE) < 12.0  # MB, as the users' size has it


def test_slopes_are_found_again_and_never_under_nought() -> None:
    rows = [[1.0, x, x * y] for x, y in ((1, 2), (3, 1), (5, 4), (8, 3), (13, 5))]
    found = fit.slopes(rows, [4.0 + 0.5 * row[2] for row in rows])
    assert found[0] == pytest.approx(4.0, rel=1e-3) and found[1] == pytest.approx(0.0, abs=1e-3)
    assert found[2] == pytest.approx(0.5, rel=1e-3)
    assert min(fit.slopes(rows, [10.0 - 0.1 * row[1] for row in rows])) >= 0.0


def test_what_checks_a_prediction_carries_no_slope() -> None:
    assert not set(FIT) & set(CHECK) and set(FIT) | set(CHECK) <= set(RUNS | BENCH)
    runs = load()
    assert set(FIT) | set(BENCH) <= set(runs) and "300" in runs


def test_every_law_knows_where_it_is_measured() -> None:
    runs = load()
    for law in LAWS:
        assert any(law.measured(runs[name]) for name in FIT), law.name


def test_the_laws_meet_the_sweep_at_a_hundred_machines_and_three_hundred() -> None:
    runs = load()
    for day in sweep.DAYS[1:]:
        told = sweep.kinds(
            day,
            lambda name: page.grows(page.law("registry", name), runs),
            page.news_of(runs),
            page.asked(runs)[0],
            runs["30"]["beats"]["bytes"],
        )
        assert abs(sum(told.values()) / day.measured - 1) < page.WITHIN


def test_the_tables_of_the_page_are_those_of_the_stored_runs() -> None:
    text = PAGE.read_text("utf-8")
    for name in TABLES:
        assert f"<!-- table {name} -->" in text
    assert filled(text) == text


def test_ways_to_place_are_weighed_alike_for_one_seed_and_differ_as_they_should() -> None:
    def worth(way: str) -> float:
        return places.Day(way, 0.8, True, 5).play()["worth"]

    assert worth("by pace told") == worth("by pace told")
    assert worth("known at once") > worth("by pace told") > worth("by chance")


def test_a_place_asked_for_each_request_is_over_what_a_door_may_spend() -> None:
    """The page's ground for another way: even an ask of the fewest bytes leaves nothing for the rest."""
    body = ["zone0", "svc000", 0.19, [], 1002, 0.0, 1.0, "tenant00000", False, False, []]
    ask = len(encode([1, "place", body]))
    assert ask * WHOLE.each > DOOR_BYTES


def test_a_smaller_size_has_the_shape_of_the_whole() -> None:
    half = part(750)
    assert (half.backends, half.tenants, half.routes) == (10_500, 27_500, 9_500)
    assert half.each == pytest.approx(WHOLE.each)
    assert replace(part(1_500), active=WHOLE.active) == WHOLE
