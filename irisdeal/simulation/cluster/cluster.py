"""Where days of the store are played: machines with disks that tear, on ways that can be cut in one direction.

An address is a machine's for good; one that replaces another has a new address and an empty disk. A machine that
dies in the midst of an act on its disk has done some of the act's steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Callable
from typing import Any
from unittest import mock

from irisdeal.config_store.replica import StoreReplica
from irisdeal.runtime.settings import Settings, Tolerance
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import NetworkLink
from irisdeal.simulation.world import START_US, World

SYNC = 4.0  # s that a member counts as lost after its return
GRACE = 6.0  # s from SIGTERM to SIGKILL
DELAY, JITTER = 700, 300  # µs of a way
DISK_TIMES = (500, 2_000, 2_000, 5_000, 60_000)  # µs an act: disks as they are, and one that is worn
FIRST_PORT = 7000
MIDNIGHT = 1_700_000_000.0  # s, the time of day at the start
SEEDS = 3  # addresses in a settings file
MOST_STEPS = 8  # steps of an act on the disk that may be done before power is gone
BOUNDS = ("contact_ms=3000", "sync_s=4", "grace_s=6", "ack_ms=5000", "apply_ms=2500", "revert_slack_ms=250")
MAKE = Callable[[Settings, MemoryDisk], StoreReplica]


class ClusterMachine(Machine):
    """A machine with a disk. What was under way on it when power went is done in part."""

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        super().__init__(cluster.world, cluster.net, name, Core(), Costs())
        self.under_way: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        done = super().run_in_executor(executor, func, *args)
        self.under_way[id(done)] = func, args
        done.add_done_callback(lambda over: self.under_way.pop(id(over), None))
        return done

    def crash(self, disk: MemoryDisk, chance: random.Random) -> None:
        """SIGKILL, or power goes: at this µs. Of the act that its disk has at work, some steps are done."""
        under_way = list(self.under_way.values())[:1]
        self.kill()
        for func, args in under_way:
            disk.fail_at = disk.operations + chance.randint(0, MOST_STEPS)
            with contextlib.suppress(Exception):  # whatever it is, nobody lives to see it
                func(*args)
            disk.fail_at = -1


class SimulatedCluster:
    """Machines, disks and ways by one seed."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: MAKE = StoreReplica,
        disk_times: tuple[int, ...] = DISK_TIMES,
    ) -> None:
        self.disk_times = disk_times
        self.world = World(seed)
        self.net = Network(self.world)
        self.chance = random.Random(seed + 1)
        self.make = make
        self.callers: list[str] = []  # machines that are no members
        self.hosts: list[str] = []  # the members that there are
        self.made = 0
        self.stepped = 0.0  # s that the time of day is off
        self.ways: dict[tuple[str, str], NetworkLink] = {}
        self.disks: dict[str, MemoryDisk] = {}
        self.machines: dict[str, ClusterMachine] = {}
        self.members: dict[str, StoreReplica] = {}
        self.ends: dict[str, asyncio.Event] = {}
        self.first = [self.new_host() for _ in range(count)][:SEEDS]  # what all are told at the first start

    # Machines

    def new_host(self) -> str:
        """A new address, with an empty disk."""
        host = f"10.{self.made}.0.1"
        self.made += 1
        self.hosts.append(host)
        self.disks[host] = MemoryDisk()
        for caller in (*self.hosts, *self.callers):
            self._pair(caller, host)
            if caller in self.hosts:
                self._pair(host, caller)
        return host

    def new_caller(self, name: str) -> Machine:
        """A machine of an operator or a door."""
        self.callers.append(name)
        for host in self.hosts:
            self._pair(name, host)
        return Machine(self.world, self.net, name, Core(), Costs())

    def _pair(self, caller: str, host: str) -> None:
        if caller != host:
            way = self.ways[caller, host] = NetworkLink(DELAY, JITTER, reverse=NetworkLink(DELAY, JITTER))
            self.net.set_link(caller, host, way)

    def settings(self, host: str, first: bool) -> Settings:
        seeds = self.first if first else self.chance.sample(self.hosts, min(SEEDS, len(self.hosts)))
        return Settings(
            node_name=host,
            role="config_store",
            ip=host,
            zone=f"z{host}",
            port_range=(FIRST_PORT, FIRST_PORT + 15),
            config_source="compared",
            bootstrap=first,
            counted=True,
            seed_peers=tuple(f"{seed}:8000" for seed in seeds),
            tolerance=Tolerance(1),
            bounds=BOUNDS,
        )

    def start(self, host: str, first: bool = False) -> None:
        """The process of this machine starts, with the settings of this moment and the disk as it is.

        Not where the machine has gone meanwhile.
        """
        if host not in self.hosts:
            return
        machine = self.machines[host] = ClusterMachine(self, host)
        machine.disk_time_us = self.chance.choice(self.disk_times)
        settings = self.settings(host, first)

        async def run() -> int:
            self.ends[host] = ending = asyncio.Event()
            member = self.members[host] = self.make(settings, self.disks[host])
            member.proposer.random.seed(self.chance.getrandbits(32))  # one seed is one day
            await member.start()
            await ending.wait()
            await member.stop()
            return 0

        machine.start(run())

    def is_up(self, host: str) -> bool:
        return host in self.machines and not self.machines[host].dead

    # What befalls them

    def kill(self, host: str, how: str = "kill") -> None:
        """`kill`: the process; `power`: and what was not synced; `wipe`: and the disk."""
        self.machines[host].crash(self.disks[host], self.chance)
        if how == "power":
            self.disks[host] = self.disks[host].lose_power(self.chance)
        elif how == "wipe":
            self.disks[host] = MemoryDisk()

    def term(self, host: str) -> None:
        """SIGTERM; SIGKILL after the grace. The machine goes with its process."""
        if self.is_up(host) and host in self.ends:
            self.machines[host].on_exit = lambda: self.later(0.0, self.remove, host)
            self.machines[host].call_soon(self.ends[host].set)
        self.later(GRACE, self.remove, host)

    def remove(self, host: str) -> None:
        """The machine is gone for good."""
        if self.is_up(host):
            self.kill(host)
        if host in self.hosts:
            self.hosts.remove(host)

    def partition(self, host: str, is_cut: bool, out: bool = True, into: bool = True) -> None:
        """What this member sends to the others, and what they send to it, is held up, or goes on."""
        for (caller, called), way in self.ways.items():
            if caller in self.callers or host not in (caller, called):
                continue
            assert way.reverse is not None
            mine, others = (way, way.reverse) if caller == host else (way.reverse, way)
            for one, wanted in ((mine, out), (others, into)):
                if wanted:
                    one.is_partitioned = one.is_stalled = is_cut
                    if not is_cut:
                        self.net.restore(one)

    def reset(self, host: str) -> None:
        """Every connection with this member is reset."""
        for (caller, called), way in self.ways.items():
            if host in (caller, called):
                self.net.reset_connections(way)
                if way.reverse is not None:
                    self.net.reset_connections(way.reverse)

    def later(self, seconds: float, call: Callable[..., None], *given: Any) -> None:
        self.world.at(self.world.now + int(seconds * 1e6), call.__name__, call, *given)

    def run(self, over: Callable[[], bool], most: float) -> None:
        """Raises `SimulationStalledError` where it is not over after so many s."""
        with (
            mock.patch.object(secrets, "token_hex", self._token),
            mock.patch.object(time, "time", self._time_of_day),
        ):
            self.world.run(over, START_US + int(most * 1e6))

    def _token(self, size: int) -> str:
        """Identities of disks by the seed."""
        return self.chance.randbytes(size).hex()

    def _time_of_day(self) -> float:
        return MIDNIGHT + self.world.seconds() + self.stepped


async def pause(machine: Machine, seconds: float) -> None:
    """Virtual seconds."""
    done = machine.create_future()
    machine.call_later(seconds, _finish, done)
    await done


def _finish(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)
