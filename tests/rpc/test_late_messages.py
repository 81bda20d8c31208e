"""Late, duplicate and reordered messages at a registry: slots, permits and incarnations."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st

from irisdeal.permits.allowance import Limit
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.messages import PrefetchReport
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.admission_service import AdmissionService
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import (
    IntervalReport,
    IntervalSum,
    PlacementReply,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
)
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.server import DEFERRED, RpcServer
from irisdeal.runtime.settings import Settings
from tests.support.call_rig import HOST, PORT, CallRig

# Slots belong to the connection over which they were granted


class RegistryRig:
    """One registry with one backend of 8 slots."""

    def __init__(self) -> None:
        self.now = 0.0
        loop: Any = SimpleNamespace(time=lambda: self.now)
        settings = Settings(
            node_name="g", role="registry", ip="g", zone="z", port_range=(1, 9), seed_peers=()
        )
        registry = BackendTable(1.5)
        self.admission = AdmissionService(
            settings, registry, loop, 1, lambda: 0.0, lambda *_: asyncio.sleep(0, 0)
        )
        self.placements = self.admission.placements
        registry.observe(BackendIncarnation("i", "s", "10.9.0.1:80", "z", 8, BackendState.READY, 1, 0.0), 0.0)

    def place(self, peer: str) -> int:
        ask = PlacementRequest("z", "s", 0.1, [], 0, 0.0, 1.0)
        reply = PlacementReply.decode(self.admission.answer_at_once(peer, "place", ask.encode()))
        assert reply.result is PlacementResult.PLACED and reply.backend == "i"
        return reply.reservation

    def end(self, peer: str, number: int) -> None:
        self.admission.answer_at_once(
            peer, "ended", ReservationEnd(number, int(AttemptResult.SUCCESS), 1.0).encode()
        )

    def in_flight_count(self) -> int:
        return self.placements.placer.backends["i"].in_flight


def test_a_lost_connection_frees_only_the_slots_granted_over_it() -> None:
    rig = RegistryRig()
    rig.place("proxy d#1")
    rig.place("proxy d#3")
    rig.placements.disconnect("proxy d#2")  # a connection used only for watching
    assert rig.in_flight_count() == 2
    rig.placements.disconnect("proxy d#1")  # an earlier connection, whose end is noticed late
    assert rig.in_flight_count() == 1
    rig.placements.disconnect("proxy d#3")
    assert rig.in_flight_count() == 0 and not rig.placements.placer.reservation_numbers


def test_a_lost_connection_leaves_a_proxys_permits_and_reported_usage() -> None:
    rig = RegistryRig()
    quotas = rig.admission.quotas
    quotas.issuer.configure({"t": Limit(30.0, 30.0)})
    listed = IssuerList(1, frozenset({"g"}))
    rig.admission.authority.restore_recorded(listed, 0.0)
    rig.now = 99.0
    rig.admission.authority.observe_list(listed, rig.now)
    report = IntervalReport(1.0, 0, {"t": Usage(5.0)}, PrefetchReport(7, 1, 0, {}, {"t": 3}))
    granted = quotas.report("proxy d#3", report).reserve.changes["t"]
    rig.placements.disconnect("proxy d#3")
    assert granted > 0 and quotas.issuer.outstanding.total("t") == granted
    assert quotas.counter.reports


# Guards against a call without an answer: a tenant was removed between a claim and its loan (KeyError).
def test_a_loan_for_a_tenant_that_was_removed_meanwhile_is_not_requested() -> None:
    rig = RegistryRig()
    quotas = rig.admission.quotas
    listed = IssuerList(1, frozenset({"g", "h"}))
    rig.admission.authority.restore_recorded(listed, 0.0)
    rig.admission.authority.observe_list(listed, 0.0)
    quotas.issuer.configure({"t": Limit(30.0, 30.0)})
    quotas.receive_sum(IntervalSum("h", 0.0, 0, {"t": Usage(ready=9.0)}, [7]))
    request = PlacementRequest("z", "s", 0.1, [], 0, 0.0, 1.0, "t")
    assert rig.admission.answer_at_once("proxy d#1", "place", request.encode()) is DEFERRED
    quotas.issuer.configure({})
    reply = asyncio.run(rig.admission.borrow_and_admit("proxy d#1", request))
    assert reply.result is PlacementResult.NOT_ISSUING


def test_a_repeated_release_frees_one_slot_and_none_of_another_proxy() -> None:
    rig = RegistryRig()
    number, other = rig.place("proxy d#1"), rig.place("proxy e#2")
    rig.end("proxy e#2", number)
    assert rig.in_flight_count() == 2
    rig.end("proxy d#3", number)
    rig.end("proxy d#3", number)
    rig.end("proxy d#1", number)
    assert rig.in_flight_count() == 1
    rig.placements.disconnect("proxy d#1")
    assert rig.in_flight_count() == 1 and set(rig.placements.placer.reservations) == {other}


def test_a_release_sent_to_a_later_incarnation_of_the_registry_frees_nothing() -> None:
    for _ in range(20):
        before, after = RegistryRig(), RegistryRig()
        numbers = [before.place("proxy d#1") for _ in range(8)]
        for _ in range(8):
            after.place("proxy d#1")
        for number in numbers:
            after.end("proxy d#1", number)
        assert after.in_flight_count() == 8


def test_the_slot_of_a_late_answer_is_released() -> None:
    rig = CallRig()
    ended: list[Any] = []

    def quick(peer: str, kind: str, body: Any) -> Any:
        return ended.append(body) if kind == "ended" else DEFERRED

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.09)
        return [7, "i", 1.0]

    rig.serve(lambda: RpcServer(handle, quick))

    async def scenario() -> Any:
        settings = Settings(
            node_name="d",
            role="proxy",
            ip="10.0.0.1",
            zone="z",
            port_range=(6998, 7010),
            seed_peers=(f"{HOST}:1",),
        )
        watcher = RegistryWatcher(settings, lambda version: None, lambda incarnation, silent: None)
        watcher.has_answered.set()
        watcher.responsive_registries.add(HOST)
        client = RegistryClient(settings, watcher)
        client.links[HOST] = RpcClient((HOST, PORT), "proxy 10.0.0.1", client._link(HOST).on_late_answer)
        placement = await client.request_placement(PlacementRequest("z", "s", 0.1, [], 0, 0.0, 1.0), 0.0)
        await asyncio.sleep(0.2)
        return placement, client.unresponsive_until

    placement, silent = rig.play(scenario())
    assert placement.reply.result is PlacementResult.NO_REGISTRY and placement.is_counted
    assert HOST in silent and ended == [[7, int(AttemptResult.UNKNOWN), 0.0]]


# Incarnations received late, twice and in any order


@trying(max_examples=150, deadline=None)
@given(st.integers(0, 100_000))
def test_heartbeats_drains_and_ends_received_twice_and_in_any_order_converge(seed: int) -> None:
    chance = random.Random(seed)
    versions = [
        BackendIncarnation("i", "s", f"10.9.0.{count}:80", "z", 2, BackendState.READY, count, 0.0)
        for count in range(1, 5)
    ]
    ends = chance.choice((None, BackendState.DRAINING, BackendState.GONE))
    if ends is not None:
        versions.append(BackendIncarnation("i", "s", "10.9.0.5:80", "z", 2, ends, 5, 0.0))
    known = []
    for _ in range(3):
        registry, received = BackendTable(1.5), versions * 2
        chance.shuffle(received)
        for incarnation in received:
            registry.observe(incarnation, 1.0)
        incarnation = registry.entries["i"].incarnation
        known.append((incarnation.state, incarnation.count, incarnation.address))
        number = registry.version
        for late in versions:  # receiving each once more changes nothing
            assert not registry.observe(late, 1.5)
        assert registry.version == number
    assert set(known) == {(ends or BackendState.READY, len(versions), f"10.9.0.{len(versions)}:80")}


def test_a_late_heartbeat_revives_no_incarnation_and_a_new_one_at_its_address_is_another() -> None:
    registry = BackendTable(1.5)
    registry.observe(BackendIncarnation("i-1", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 7, 0.0), 0.0)
    assert registry.deregister("i-1", 1.0) is not None and registry.deregister("i-1", 1.1) is not None
    registry.observe(BackendIncarnation("i-1", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 99, 0.0), 2.0)
    registry.observe(BackendIncarnation("i-2", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 7, 0.0), 2.0)
    assert {id_: entry.incarnation.state for id_, entry in registry.entries.items()} == {
        "i-1": BackendState.GONE,
        "i-2": BackendState.READY,
    }
