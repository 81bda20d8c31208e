"""Capacity measurement: simulated proxies act as real ones, frames are counted, the formulas fit the runs."""

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
from benchmarks.capacity.configuration import make_configuration
from benchmarks.capacity.hollow import SharedState, SimulatedWatcher
from benchmarks.capacity.laws import COST_MODELS, configuration_mb
from benchmarks.capacity.page import PAGE, TABLES, fill_tables
from benchmarks.capacity.play import RunDriver
from benchmarks.capacity.runs import BENCH_RUNS, CHECK_RUNS, FIT_RUNS, RUNS, load
from benchmarks.capacity.size import MAX_PROXY_BYTES_PER_S, TARGET_SIZE, Size, scaled_size
from benchmarks.capacity.tally import FrameCounter
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

WAIT_TIMEOUT_S = 5.0  # reached only by a test that hangs
IPS = [f"127.{100 + os.getpid() % 100}.{os.getpid() >> 8 & 255}.{at}" for at in (1, 2)]
PORT_RANGE = (7340, 7355)
VERSION = ConfigVersion.of("r3", b'{"generation":"r3"}')


def incarnation_status(number: int) -> list[Any]:
    return [f"i-{number}", "svc", f"10.0.0.{number}:8080", "zone0", 2, 0, 1, 0]


def chunk() -> list[Any]:
    """The chunk with the complete version, for a receiver without any."""
    version_store = VersionStore()
    version_store.add(VERSION)
    chunk_of_version = version_store.next_chunk(SyncState(), VERSION.version_id)
    assert chunk_of_version is not None
    return chunk_of_version.encode()


class Registry:
    """A stub registry that answers with scripted updates and records all requests."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Any]] = []
        self.script: asyncio.Queue[list[Any]] = asyncio.Queue()
        self.server = RpcServer(self.answer)

    async def answer(self, peer: str, kind: str, body: Any) -> Any:
        self.requests.append((kind, body))
        return await self.script.get() if kind == "news" else None


def settings() -> Settings:
    return Settings("edge-1", "proxy", "127.99.0.1", "zone0", PORT_RANGE, tuple(f"{ip}:8783" for ip in IPS))


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def requests_of(make_watcher: Callable[[], RegistryWatcher]) -> list[list[tuple[str, Any]]]:
    """The requests of a watcher at two registries that send a full update, then one with a silent
    incarnation.
    """
    registries = [Registry() for _ in IPS]
    for ip, registry in zip(IPS, registries, strict=True):
        await registry.server.listen((ip, PORT_RANGE[0] + 1))
    watcher = make_watcher()
    roster = dict.fromkeys(IPS, "zone0")
    watcher.start()
    try:
        for at, registry in enumerate(
            registries
        ):  # in turn, so that a real and a simulated proxy get the same order
            await until(lambda registry=registry: len(registry.requests) >= 1)  # type: ignore[misc]
            chunk_of_version = chunk() if at == 0 else None
            registry.script.put_nowait(
                [
                    chunk_of_version,
                    7 + at,
                    2,
                    [[incarnation_status(1), False], [incarnation_status(2), False]],
                    roster,
                    0,
                    1,
                ]
            )
            await until(lambda registry=registry: len(registry.requests) >= 3)  # type: ignore[misc]
        for registry in registries:
            registry.script.put_nowait([None, 7, 3, [[incarnation_status(3), True]], roster, 0, 1])
        await until(lambda: all(len(registry.requests) >= 4 for registry in registries))
        await asyncio.sleep(0.02)
    finally:
        watcher.stop()
        for registry in registries:
            registry.server.close()
    return [registry.requests for registry in registries]


def ignore_version(version: ConfigVersion) -> None:
    pass


def ignore_incarnation(incarnation: BackendIncarnation, silent: bool) -> None:
    pass


def run(work: Awaitable[Any]) -> Any:
    async def main() -> Any:
        return await work

    return asyncio.run(main())


def test_a_simulated_proxy_sends_the_same_requests_as_a_real_one() -> None:
    real = run(requests_of(lambda: RegistryWatcher(settings(), ignore_version, ignore_incarnation)))
    simulated = run(requests_of(lambda: SimulatedWatcher(settings(), SharedState())))
    assert [[kind for kind, _ in requests][:3] for requests in real] == [["news", "news", "lives"]] * 2
    assert simulated == real


def test_simulated_proxies_and_backends_with_a_real_core(tmp_path: Path) -> None:
    """All proxies settle and know all incarnations, and count the same bytes as the registries."""
    size = Size(4, 24, 3, 3, 20, 30, 3, 350.0, 4)
    driver = RunDriver(size, tmp_path, 1.0, 1.0)
    try:
        driver.start_core()
        assert driver.replace_configuration()["acknowledged_s"] is not None
        driver.start_backends()
        assert driver.start_proxies()["unsettled"] == 0

        def counted() -> tuple[int, int, int]:
            """Known incarnations; bytes of their reports as sent by the proxies and received by the
            registries.
            """
            report = driver.collect_reports(driver.proxy_simulators)[0]
            registry_counts = [
                counts for name, (_, counts) in driver.sample().items() if name.startswith("registry")
            ]
            return (
                report["lives"],
                report["tally"]["out lives"][1],
                sum(counts.get("in lives", [0, 0])[1] for counts in registry_counts),
            )

        deadline = time.monotonic() + 2 * WAIT_TIMEOUT_S
        while (
            (reported := counted())[0] < size.backends or reported[1] != reported[2]
        ) and time.monotonic() < deadline:
            time.sleep(0.1)
        assert reported[0] == size.backends and reported[1] == reported[2] > 0
    finally:
        driver.stop()


def test_simulated_proxies_of_one_process_share_incarnations_and_versions() -> None:
    async def main() -> None:
        shared = SharedState()
        watchers = [SimulatedWatcher(settings(), shared) for _ in range(3)]
        for watcher in watchers:
            watcher.configuration.receive(IPS[0], watcher.configuration.sync_state(IPS[0]), chunk(), 1)
            watcher.backends.receive(IPS[0], [IncarnationStatus.decode([incarnation_status(1), False], 0.0)])
        assert len(shared.incarnations) == 1 and len(shared.versions) == 1
        version = watchers[0].configuration.version
        assert all(watcher.configuration.version is version for watcher in watchers)
        assert not any(watcher.backends.incarnations for watcher in watchers)

    asyncio.run(main())


def test_the_frame_counter_counts_every_byte_of_every_kind(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FrameReader", "encode"):
        for module in (rpc_client, server):
            monkeypatch.setattr(module, name, getattr(module, name))
    monkeypatch.setattr(server._ServerConnection, "_write", server._ServerConnection._write)
    frame_counter = FrameCounter()
    frame_counter.install()

    async def main() -> None:
        async def answer(peer: str, kind: str, body: Any) -> Any:
            return body * 2

        server = RpcServer(answer)
        await server.listen((IPS[0], PORT_RANGE[0]))
        client = RpcClient((IPS[0], PORT_RANGE[0]), "me")
        for _ in range(3):
            assert await client.call("lend", "word", WAIT_TIMEOUT_S) == Success("wordword")
        assert client.notify("loads", [1])
        await until(lambda: "in loads" in frame_counter.counts)
        client.close()
        server.close()

    asyncio.run(main())
    call_bytes = sum(len(encode([number, "lend", "word"])) for number in (1, 2, 3))
    answer_bytes = sum(len(encode([number, True, "wordword"])) for number in (1, 2, 3))
    version = len(encode([-1, "loads", [1]]))
    hello_bytes = len(encode([0, "hello", "me"]))
    assert frame_counter.counts == {
        "out hello": [1, hello_bytes],
        "in hello": [1, hello_bytes],
        "out lend": [3, call_bytes],
        "in lend": [3, call_bytes],
        "answer lend": [3, answer_bytes],
        "in answer": [3, answer_bytes],
        "out loads": [1, version],
        "in loads": [1, version],
    }


def test_the_generated_configuration_is_valid_and_has_the_predicted_size() -> None:
    small = scaled_size(30)
    body = make_configuration(small, 7)
    configuration = parse_cached(body).unwrap()
    assert (configuration.generation, len(configuration.pools)) == ("r7", small.services)
    assert len(configuration.tenants or ()) == small.tenants
    assert abs(len(body) / 1e6 / configuration_mb(small) - 1) < 0.05
    assert 8.0 < configuration_mb(TARGET_SIZE) < 12.0  # MB, the target size


def test_known_slopes_are_recovered_and_never_negative() -> None:
    rows = [[1.0, x, x * y] for x, y in ((1, 2), (3, 1), (5, 4), (8, 3), (13, 5))]
    found = fit.fit_slopes(rows, [4.0 + 0.5 * row[2] for row in rows])
    assert found[0] == pytest.approx(4.0, rel=1e-3) and found[1] == pytest.approx(0.0, abs=1e-3)
    assert found[2] == pytest.approx(0.5, rel=1e-3)
    assert min(fit.fit_slopes(rows, [10.0 - 0.1 * row[1] for row in rows])) >= 0.0


def test_runs_that_check_a_prediction_are_not_used_for_the_fit() -> None:
    assert not set(FIT_RUNS) & set(CHECK_RUNS) and set(FIT_RUNS) | set(CHECK_RUNS) <= set(RUNS | BENCH_RUNS)
    runs = load()
    assert set(FIT_RUNS) | set(BENCH_RUNS) <= set(runs) and "300" in runs


def test_every_cost_model_is_measured_in_a_run() -> None:
    runs = load()
    for model in COST_MODELS:
        assert any(model.measured(runs[name]) for name in FIT_RUNS), model.name


def test_the_cost_models_predict_the_sweep_at_a_hundred_and_three_hundred_machines() -> None:
    runs = load()
    for day in sweep.DAYS[1:]:
        reported = sweep.bytes_by_kind(
            day,
            lambda name: page.as_function(page.find_cost_model("registry", name), runs),
            page.update_cost_bytes(runs),
            page.placement_cost(runs)[0],
            runs["30"]["beats"]["bytes"],
        )
        assert abs(sum(reported.values()) / day.measured - 1) < page.MAX_RELATIVE_ERROR


def test_the_tables_of_the_page_are_those_of_the_stored_runs() -> None:
    text = PAGE.read_text("utf-8")
    for name in TABLES:
        assert f"<!-- table {name} -->" in text
    assert fill_tables(text) == text


def test_placement_strategies_are_deterministic_by_seed_and_rank_as_expected() -> None:
    def value_of(way: str) -> float:
        return places.Day(way, 0.8, True, 5).play()["worth"]

    assert value_of("by pace told") == value_of("by pace told")
    assert value_of("known at once") > value_of("by pace told") > value_of("by chance")


def test_a_placement_call_for_each_request_exceeds_the_limit_of_a_proxy() -> None:
    """Even the smallest placement request uses up the traffic that a proxy may spend on control."""
    body = ["zone0", "svc000", 0.19, [], 1002, 0.0, 1.0, "tenant00000", False, False, []]
    ask = len(encode([1, "place", body]))
    assert ask * TARGET_SIZE.requests_per_proxy > MAX_PROXY_BYTES_PER_S


def test_a_smaller_size_is_in_proportion_to_the_target() -> None:
    half = scaled_size(750)
    assert (half.backends, half.tenants, half.routes) == (10_500, 27_500, 9_500)
    assert half.requests_per_proxy == pytest.approx(TARGET_SIZE.requests_per_proxy)
    assert replace(scaled_size(1_500), active=TARGET_SIZE.active) == TARGET_SIZE
