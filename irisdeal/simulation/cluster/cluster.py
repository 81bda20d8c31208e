"""A simulated cluster of the configuration store: machines, disks that lose unsynced writes, and links.

Links can be partitioned in one direction. An address belongs to one machine for ever: a replacement has a new
address and an empty disk. A machine that crashes during a disk call has done only some of its operations.
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

RECOVERY_S = 4.0  # a member counts as lost this long after its return
TERMINATION_GRACE_S = 6.0  # from SIGTERM to SIGKILL
LINK_DELAY_US = 700
LINK_JITTER_US = 300
DISK_TIMES_US = (500, 2_000, 2_000, 5_000, 60_000)  # of one call: usual disks, and a worn one
FIRST_PORT = 7000
START_UNIX_TIME_S = 1_700_000_000.0
SEED_PEER_COUNT = 3  # addresses in the settings
MAX_PARTIAL_DISK_OPERATIONS = 8  # of a disk call that are done before a crash
BOUNDS = ("contact_ms=3000", "sync_s=4", "grace_s=6", "ack_ms=5000", "apply_ms=2500", "revert_slack_ms=250")
ReplicaFactory = Callable[[Settings, MemoryDisk], StoreReplica]


class ClusterMachine(Machine):
    """A machine with a disk. A disk call that a crash interrupts is done in part."""

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        super().__init__(cluster.world, cluster.net, name, Core(), Costs())
        self.pending_disk_calls: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """As in `Machine`; the call is recorded until it is done."""
        done = super().run_in_executor(executor, func, *args)
        self.pending_disk_calls[id(done)] = func, args
        done.add_done_callback(lambda call: self.pending_disk_calls.pop(id(call), None))
        return done

    def crash(self, disk: MemoryDisk, chance: random.Random) -> None:
        """Kill the process now. Of the disk call in progress, only the first operations are done."""
        pending_disk_calls = list(self.pending_disk_calls.values())[:1]
        self.kill()
        for func, args in pending_disk_calls:
            disk.fail_at = disk.operations + chance.randint(0, MAX_PARTIAL_DISK_OPERATIONS)
            with contextlib.suppress(Exception):  # the caller has been killed
                func(*args)
            disk.fail_at = -1


class SimulatedCluster:
    """Machines, disks and links; one seed determines all random choices."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: ReplicaFactory = StoreReplica,
        disk_times: tuple[int, ...] = DISK_TIMES_US,
    ) -> None:
        self.disk_times = disk_times
        self.world = World(seed)
        self.net = Network(self.world)
        self.chance = random.Random(seed + 1)
        self.make = make
        self.callers: list[str] = []  # machines that are not members
        self.hosts: list[str] = []  # addresses of the current members
        self.host_count = 0
        self.clock_offset_s = 0.0  # added to the time of day
        self.links: dict[tuple[str, str], NetworkLink] = {}
        self.disks: dict[str, MemoryDisk] = {}
        self.machines: dict[str, ClusterMachine] = {}
        self.members: dict[str, StoreReplica] = {}
        self.stop_events: dict[str, asyncio.Event] = {}
        # Seed peers in all settings at the first start.
        self.bootstrap_seeds = [self.new_host() for _ in range(count)][:SEED_PEER_COUNT]

    # Machines

    def new_host(self) -> str:
        """Add a machine with an empty disk; return its address."""
        host = f"10.{self.host_count}.0.1"
        self.host_count += 1
        self.hosts.append(host)
        self.disks[host] = MemoryDisk()
        for caller in (*self.hosts, *self.callers):
            self._pair(caller, host)
            if caller in self.hosts:
                self._pair(host, caller)
        return host

    def new_caller(self, name: str) -> Machine:
        """Return a new machine of an operator or of a watching client."""
        self.callers.append(name)
        for host in self.hosts:
            self._pair(name, host)
        return Machine(self.world, self.net, name, Core(), Costs())

    def _pair(self, caller: str, host: str) -> None:
        if caller != host:
            link = self.links[caller, host] = NetworkLink(
                LINK_DELAY_US, LINK_JITTER_US, reverse=NetworkLink(LINK_DELAY_US, LINK_JITTER_US)
            )
            self.net.set_link(caller, host, link)

    def settings(self, host: str, is_bootstrap: bool) -> Settings:
        """Return the settings of a member; `is_bootstrap`: for the first start of the cluster."""
        seeds = (
            self.bootstrap_seeds
            if is_bootstrap
            else self.chance.sample(self.hosts, min(SEED_PEER_COUNT, len(self.hosts)))
        )
        return Settings(
            node_name=host,
            role="config_store",
            ip=host,
            zone=f"z{host}",
            port_range=(FIRST_PORT, FIRST_PORT + 15),
            config_source="compared",
            bootstrap=is_bootstrap,
            counted=True,
            seed_peers=tuple(f"{seed}:8000" for seed in seeds),
            tolerance=Tolerance(1),
            bounds=BOUNDS,
        )

    def start(self, host: str, is_bootstrap: bool = False) -> None:
        """Start the process of a machine with new settings and its current disk; no effect if it was removed."""
        if host not in self.hosts:
            return
        machine = self.machines[host] = ClusterMachine(self, host)
        machine.disk_time_us = self.chance.choice(self.disk_times)
        settings = self.settings(host, is_bootstrap)

        async def run() -> int:
            self.stop_events[host] = stop_event = asyncio.Event()
            member = self.members[host] = self.make(settings, self.disks[host])
            member.proposer.random.seed(self.chance.getrandbits(32))  # so that one seed gives one run
            await member.start()
            await stop_event.wait()
            await member.stop()
            return 0

        machine.start(run())

    def is_up(self, host: str) -> bool:
        """Whether the process of a machine is running."""
        return host in self.machines and not self.machines[host].dead

    # Faults

    def kill(self, host: str, how: str = "kill") -> None:
        """End a process; with `how` "power", unsynced writes may be lost; with "wipe", the disk is."""
        self.machines[host].crash(self.disks[host], self.chance)
        if how == "power":
            self.disks[host] = self.disks[host].lose_power(self.chance)
        elif how == "wipe":
            self.disks[host] = MemoryDisk()

    def terminate(self, host: str) -> None:
        """Send SIGTERM, and SIGKILL after `TERMINATION_GRACE_S`. The machine is removed with its process."""
        if self.is_up(host) and host in self.stop_events:
            self.machines[host].on_exit = lambda: self.schedule(0.0, self.remove, host)
            self.machines[host].call_soon(self.stop_events[host].set)
        self.schedule(TERMINATION_GRACE_S, self.remove, host)

    def remove(self, host: str) -> None:
        """Remove a machine permanently."""
        if self.is_up(host):
            self.kill(host)
        if host in self.hosts:
            self.hosts.remove(host)

    def partition(self, host: str, partitioned: bool, outgoing: bool = True, incoming: bool = True) -> None:
        """Start or end a partition of a member from the others, in one or both directions."""
        for (caller, called), link in self.links.items():
            if caller in self.callers or host not in (caller, called):
                continue
            assert link.reverse is not None
            outgoing_link, incoming_link = (link, link.reverse) if caller == host else (link.reverse, link)
            for affected_link, is_affected in ((outgoing_link, outgoing), (incoming_link, incoming)):
                if is_affected:
                    affected_link.is_partitioned = affected_link.is_stalled = partitioned
                    if not partitioned:
                        self.net.restore(affected_link)

    def reset(self, host: str) -> None:
        """Reset every connection of a member."""
        for (caller, called), link in self.links.items():
            if host in (caller, called):
                self.net.reset_connections(link)
                if link.reverse is not None:
                    self.net.reset_connections(link.reverse)

    def schedule(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call in `seconds` virtual s."""
        self.world.at(self.world.now + int(seconds * 1e6), call.__name__, call, *args)

    def run(self, is_finished: Callable[[], bool], timeout_s: float) -> None:
        """Run until `is_finished`. Raises `SimulationStalledError` if it is not after `timeout_s`."""
        with (
            mock.patch.object(secrets, "token_hex", self._token),
            mock.patch.object(time, "time", self._time_of_day),
        ):
            self.world.run(is_finished, START_US + int(timeout_s * 1e6))

    def _token(self, size: int) -> str:
        """Return a disk identity that the seed determines."""
        return self.chance.randbytes(size).hex()

    def _time_of_day(self) -> float:
        return START_UNIX_TIME_S + self.world.seconds() + self.clock_offset_s


async def pause(machine: Machine, seconds: float) -> None:
    """Wait for so many virtual seconds."""
    done = machine.create_future()
    machine.call_later(seconds, _finish, done)
    await done


def _finish(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)
