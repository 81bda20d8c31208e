"""Durability of acknowledged drains and ends.

After a fault that stops all machines at once, no registry that counts as a source may report the backend as
ready again, even if no proxy remembers it. Disks may lose unsynced writes; time is virtual.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Coroutine
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import pytest

from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.registry import tombstone_record
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendIncarnation, BackendState, ObservedIncarnation
from irisdeal.registry.peers import CALL_TIMEOUT_S, RegistryPeers
from irisdeal.registry.server import RegistryServer
from irisdeal.registry.tombstone_record import TombstoneRecord
from irisdeal.simulation.cluster.cluster import ClusterMachine, SimulatedCluster
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine
from tests.registry.test_drain import Caller, DrainRig
from tests.registry.test_server import heartbeat, poll, states

BACKENDS = 8
FAILING_SEEDS = (16, 30, 39)  # all of the first 40 seeds that find the planted bug
LAST_END_S = 4.0  # latest time at which a backend drains or deregisters
WATCH_S = 6.0  # duration of the checks after that


class ClosingRig(DrainRig):
    """Registries with disks, and a fault that hits all machines right after an acknowledgement."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.disks = {f"10.{number}.0.1": MemoryDisk() for number in range(count)}
        self.sent: list[tuple[str, BackendState, str, Caller]] = []
        self.acknowledged: dict[str, BackendState] = {}
        self.fault_at = 0.0
        super().__init__(count, seed)

    def start_registry_process(self, host: str) -> Machine:
        machine = ClusterMachine(cast(SimulatedCluster, self), host)
        machine.disk_time_us = self.rng.choice((500, 2_000, 5_000, 60_000))
        self.machines.setdefault(host, []).append(machine)

        async def run() -> int:
            server = self.servers[host] = RegistryServer(self.settings(host), self.disks[host])
            await server.start()
            await server.loop.create_future()
            return 0

        work: Coroutine[Any, Any, int] = run()
        machine.start(work)
        return machine

    def end(self, id_: str, state: BackendState, host: str) -> None:
        """Send the drain or the deregistration of a backend."""
        if state is BackendState.DRAINING:
            self.call(host, "POST", f"/backends/{id_}/heartbeat", heartbeat("draining", 5))
        else:
            self.call(host, "POST", f"/backends/{id_}/deregister", b"")
        self.sent.append((id_, state, host, self.callers[-1]))

    def note_acknowledged(self) -> str:
        """Record the acknowledged states; return the machine that acknowledged last."""
        last = self.hosts[0]
        for id_, state, host, caller in self.sent:
            if caller.status() == 200:
                self.acknowledged[id_], last = state, host
        return last

    def inject_fault(self, fault: str) -> None:
        """Kill all processes at once. `power`: unsynced writes are lost; `wipe`: one disk is lost as well."""
        last = self.note_acknowledged()
        self.fault_at = self.world.seconds()
        lost = last if self.rng.random() < 0.6 else self.rng.choice(self.hosts)
        for host in self.hosts:
            machine = self.machines[host][-1]
            assert isinstance(machine, ClusterMachine)
            machine.crash(self.disks[host], self.rng)
            if fault != "kill":
                self.disks[host] = self.disks[host].lose_power(self.rng)
            if fault == "wipe" and host == lost:
                self.disks[host] = MemoryDisk()
            self.at(self.fault_at + self.rng.uniform(0.2, 1.5), partial(self.start_registry, host))


def lost_acknowledgements(seed: int, fault: str) -> list[str]:
    """Run one seed; return each acknowledged state that a registry has lost while it counts as a source."""
    rng = random.Random(seed)
    rig = ClosingRig(rng.choice((3, 4, 5)), seed)
    ids = [f"i-{number}" for number in range(BACKENDS)]
    for id_ in ids:
        rig.at(2.0, partial(rig.call, rig.hosts[0], "POST", f"/backends/{id_}/heartbeat", heartbeat()))
        state = rng.choice((BackendState.DRAINING, BackendState.GONE))
        when = rng.choice((LAST_END_S, rng.uniform(3.0, LAST_END_S)))
        rig.at(when, partial(rig.end, id_, state, rng.choice(rig.hosts)))
    rig.at(LAST_END_S + rng.uniform(0.002, 0.03), partial(rig.inject_fault, fault))  # amid acknowledgements
    at = LAST_END_S + 0.2
    while at < LAST_END_S + WATCH_S:
        for host in rig.hosts:
            rig.at(at, partial(poll_if_up, rig, host))
        for id_ in ids:  # late heartbeats, sent before the drain or the end
            if rng.random() < 0.05:
                target = f"/backends/{id_}/heartbeat"
                rig.at(at, partial(rig.call, rng.choice(rig.hosts), "POST", target, heartbeat()))
        at += 0.1
    rig.play(LAST_END_S + WATCH_S + 0.5)
    sources = [
        (when, states(reply)) for when, reply in rig.results if reply.age_ms >= 0 and when > rig.fault_at
    ]
    assert rig.acknowledged and sources, "no acknowledgement or no answer of a source was recorded"
    return [
        f"{when:.3f}: {id_} is {incarnations[id_].name}, {state.name} was acknowledged"
        for when, incarnations in sources
        for id_, state in rig.acknowledged.items()
        if id_ in incarnations and incarnations[id_] < state
    ]


def poll_if_up(rig: ClosingRig, host: str) -> None:
    machine = rig.machines[host][-1]
    if not machine.dead and host in rig.servers and rig.world.seconds() > rig.fault_at > 0:
        server = rig.servers[host]
        if server.loop is machine:
            rig.on(rig.world.seconds(), host, poll)


@pytest.mark.parametrize("fault", ["kill", "power", "wipe"])
@pytest.mark.parametrize("seed", range(4))
def test_no_acknowledged_end_is_forgotten_by_a_closing_fault(fault: str, seed: int) -> None:
    assert lost_acknowledgements(seed, fault) == []


def test_the_judge_finds_an_acknowledgement_before_the_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    async def too_early(self: TombstoneRecord, incarnations: Any, known: Any) -> bool:
        return True  # nothing is written

    monkeypatch.setattr(TombstoneRecord, "save", too_early)
    assert any(lost_acknowledgements(seed, "power") for seed in range(6))


def test_the_judge_finds_an_acknowledgement_by_one_machine_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def alone(self: RegistryPeers, incarnation: BackendIncarnation) -> bool:
        body = self._update([ObservedIncarnation(incarnation, 0)]).encode(0.0)
        for ip in self.other_ips():
            self.tasks.start(self.rpc_client(ip).call("told", body, CALL_TIMEOUT_S))
        return await self._record([incarnation])

    monkeypatch.setattr(RegistryPeers, "_replicate_to_majority", alone)
    assert any(lost_acknowledgements(seed, "wipe") for seed in FAILING_SEEDS)


# The record


INCARNATIONS = [
    BackendIncarnation("i-1", "s", "10.0.0.1:80", "z", 2, BackendState.DRAINING, 7, 0.0),
    BackendIncarnation("i-2", "", "", "", 0, BackendState.GONE, 0, 0.0),
]


def test_a_record_is_whole_or_none() -> None:
    data = tombstone_record.encode(INCARNATIONS)
    assert tombstone_record.decode(data) == INCARNATIONS
    for size in range(len(data)):
        with pytest.raises((ValueError, TypeError)):
            tombstone_record.decode(data[:size])
    for at in range(len(data)):
        with pytest.raises((ValueError, TypeError)):
            tombstone_record.decode(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])


def test_each_loss_of_power_amid_a_write_leaves_the_old_record_or_the_new() -> None:
    seen = set()
    for acts in range(6):
        disk = MemoryDisk()
        write_atomically(disk, tombstone_record.FILE_NAME, tombstone_record.encode(INCARNATIONS[:1]))
        disk.fail_at = disk.operations + acts
        with contextlib.suppress(OSError):
            write_atomically(disk, tombstone_record.FILE_NAME, tombstone_record.encode(INCARNATIONS))
        for after in disk.outcomes():
            seen.add(len(tombstone_record.decode(after.read(tombstone_record.FILE_NAME))))
    assert seen == {1, 2}


# Guards against a drain that is answered 503: the table changed while its record waited for another write.
def test_an_end_is_recorded_although_the_table_changes_meanwhile() -> None:
    async def play() -> None:
        record, table = TombstoneRecord(MemoryDisk()), BackendTable(1.5)

        peers = SimpleNamespace(record=record, backends=table)
        peers._incarnations = partial(RegistryPeers._incarnations, cast(RegistryPeers, peers))

        def end(id_: str) -> BackendIncarnation:
            gone = BackendIncarnation(id_, "s", "10.9.0.1:80", "z", 2, BackendState.GONE, 1, 0.0)
            table.observe(gone, 0.0)
            return gone

        writes = []
        for number in range(4):
            writes.append(
                asyncio.create_task(RegistryPeers._record(cast(RegistryPeers, peers), [end(f"i{number}")]))
            )
            await asyncio.sleep(0)
        assert await asyncio.gather(*writes) == [True] * 4
        assert set(record.recorded) == {"i0", "i1", "i2", "i3"}

    asyncio.run(play())
