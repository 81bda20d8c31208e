"""A drain or an end that was acknowledged outlives every closing fault: no registry that counts as a source
shows that backend as ready again, also where no proxy is left that knew. Disks tear, time is virtual."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Coroutine
from functools import partial
from typing import Any, cast

import pytest

from irisdeal.config_store.storage.version_files import write_atomically
from irisdeal.registry import tombstone_record
from irisdeal.registry.incarnation import BackendIncarnation, BackendState, ObservedIncarnation
from irisdeal.registry.peers import CALL_TIMEOUT_S, RegistryPeers
from irisdeal.registry.server import RegistryServer
from irisdeal.registry.tombstone_record import TombstoneRecord
from irisdeal.simulation.cluster.cluster import Host, Stage
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine
from tests.registry.test_drain import Caller, DrainRig
from tests.registry.test_server import heartbeat, poll, states

BACKENDS = 8
FOUND_BY = (16, 30, 39)  # seeds: all that do of the first 40
LAST_S, WATCH_S = 4.0, 6.0  # when the last says that it leaves at the latest; s that is looked on afterwards


class ClosingRig(DrainRig):
    """Registries with disks, and a fault that strikes all machines right after an acknowledgement."""

    def __init__(self, count: int, seed: int) -> None:
        self.chance = random.Random(seed)
        self.disks = {f"10.{number}.0.1": MemoryDisk() for number in range(count)}
        self.asked: list[tuple[str, BackendState, str, Caller]] = []
        self.acknowledged: dict[str, BackendState] = {}
        self.struck_at = 0.0
        super().__init__(count, seed)

    def start_registry_process(self, host: str) -> Machine:
        machine = Host(cast(Stage, self), host)
        machine.disk_time = self.chance.choice((500, 2_000, 5_000, 60_000))
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
        """A backend says that it leaves."""
        if state is BackendState.DRAINING:
            self.call(host, "POST", f"/backends/{id_}/heartbeat", heartbeat("draining", 5))
        else:
            self.call(host, "POST", f"/backends/{id_}/deregister", b"")
        self.asked.append((id_, state, host, self.callers[-1]))

    def note_acknowledged(self) -> str:
        """The machine that acknowledged last."""
        last = self.hosts[0]
        for id_, state, host, caller in self.asked:
            if caller.status() == 200:
                self.acknowledged[id_], last = state, host
        return last

    def strike(self, how: str) -> None:
        """All processes die at this µs; `wipe`: one disk is lost, and the other machines lose power."""
        last = self.note_acknowledged()
        self.struck_at = self.world.seconds()
        lost = last if self.chance.random() < 0.6 else self.chance.choice(self.hosts)
        for host in self.hosts:
            machine = self.machines[host][-1]
            assert isinstance(machine, Host)
            machine.die(self.disks[host], self.chance)
            if how != "kill":
                self.disks[host] = self.disks[host].lose_power(self.chance)
            if how == "wipe" and host == lost:
                self.disks[host] = MemoryDisk()
            self.at(self.struck_at + self.chance.uniform(0.2, 1.5), partial(self.start_registry, host))


def closed(seed: int, how: str) -> list[str]:
    """Each acknowledged end that a registry does not know, though it counts as a source."""
    chance = random.Random(seed)
    rig = ClosingRig(chance.choice((3, 4, 5)), seed)
    ids = [f"i-{number}" for number in range(BACKENDS)]
    for id_ in ids:
        rig.at(2.0, partial(rig.call, rig.hosts[0], "POST", f"/backends/{id_}/heartbeat", heartbeat()))
        state = chance.choice((BackendState.DRAINING, BackendState.GONE))
        when = chance.choice((LAST_S, chance.uniform(3.0, LAST_S)))
        rig.at(when, partial(rig.end, id_, state, chance.choice(rig.hosts)))
    rig.at(LAST_S + chance.uniform(0.002, 0.03), partial(rig.strike, how))  # amid acknowledgements
    at = LAST_S + 0.2
    while at < LAST_S + WATCH_S:
        for host in rig.hosts:
            rig.at(at, partial(ask_if_up, rig, host))
        for id_ in ids:  # beats that come late: they were sent before
            if chance.random() < 0.05:
                target = f"/backends/{id_}/heartbeat"
                rig.at(at, partial(rig.call, chance.choice(rig.hosts), "POST", target, heartbeat()))
        at += 0.1
    rig.play(LAST_S + WATCH_S + 0.5)
    sources = [(when, states(told)) for when, told in rig.heard if told.age_ms >= 0 and when > rig.struck_at]
    assert rig.acknowledged and sources, "nothing was seen"
    return [
        f"{when:.3f}: {id_} is {incarnations[id_].name}, {state.name} was acknowledged"
        for when, incarnations in sources
        for id_, state in rig.acknowledged.items()
        if id_ in incarnations and incarnations[id_] < state
    ]


def ask_if_up(rig: ClosingRig, host: str) -> None:
    machine = rig.machines[host][-1]
    if not machine.dead and host in rig.servers and rig.world.seconds() > rig.struck_at > 0:
        server = rig.servers[host]
        if server.loop is machine:
            rig.on(rig.world.seconds(), host, poll)


@pytest.mark.parametrize("how", ["kill", "power", "wipe"])
@pytest.mark.parametrize("seed", range(4))
def test_no_acknowledged_end_is_forgotten_by_a_closing_fault(how: str, seed: int) -> None:
    assert closed(seed, how) == []


def test_the_judge_finds_an_acknowledgement_before_the_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    async def too_early(self: TombstoneRecord, incarnations: Any, known: Any) -> bool:
        return True  # nothing is written

    monkeypatch.setattr(TombstoneRecord, "save", too_early)
    assert any(closed(seed, "power") for seed in range(6))


def test_the_judge_finds_an_acknowledgement_by_one_machine_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def alone(self: RegistryPeers, incarnation: BackendIncarnation) -> bool:
        body = self._update([ObservedIncarnation(incarnation, 0)]).encode(0.0)
        for ip in self.others():
            self.tasks.start(self.rpc_client(ip).call("told", body, CALL_TIMEOUT_S))
        return await self._record([incarnation])

    monkeypatch.setattr(RegistryPeers, "_replicate_to_majority", alone)
    assert any(closed(seed, "wipe") for seed in FOUND_BY)


# The record


LIVES = [
    BackendIncarnation("i-1", "s", "10.0.0.1:80", "z", 2, BackendState.DRAINING, 7, 0.0),
    BackendIncarnation("i-2", "", "", "", 0, BackendState.GONE, 0, 0.0),
]


def test_a_record_is_whole_or_none() -> None:
    data = tombstone_record.encode(LIVES)
    assert tombstone_record.decode(data) == LIVES
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
        write_atomically(disk, tombstone_record.NAME, tombstone_record.encode(LIVES[:1]))
        disk.fail_at = disk.operations + acts
        with contextlib.suppress(OSError):
            write_atomically(disk, tombstone_record.NAME, tombstone_record.encode(LIVES))
        for after in disk.outcomes():
            seen.add(len(tombstone_record.decode(after.read(tombstone_record.NAME))))
    assert seen == {1, 2}
