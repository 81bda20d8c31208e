"""Random faults of a simulated store, within a deployment's tolerance: one member lost at a time.

A member counts as lost while it is down, partitioned, frozen or slow, and for `RECOVERY_S` after its return; a new
member, for `RECOVERY_S` after its start; a removed one, until its successor has run that long. In addition, all
members may be killed or lose power at once at any time; their disks are kept.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from irisdeal.simulation.cluster.callers import Callers
from irisdeal.simulation.cluster.cluster import RECOVERY_S, SimulatedCluster, pause
from irisdeal.simulation.machine import Machine

LONG_PARTITION_S = 20.0
FREEZE_S = 4.0  # pause of a frozen process
SLOW_DISK_TIMES_US = (150_000, 400_000, 1_200_000)  # of one call of a slow disk
MAX_WAIT_S = 2.0  # for the next acknowledged or sent put
FINAL_FAULTS = ("kill", "power", "wipe")
FAULT_WEIGHTS = {"wipe": 2, "replace": 3, "after ack": 2}  # other faults: 1


@dataclass
class FaultLog:
    """The faults of a run, and the periods in which a member could not contact the others. Times in s."""

    lines: list[str] = field(default_factory=list)
    losses: list[tuple[float, str]] = field(default_factory=list)  # loss of one member: start, fault
    freezes: list[tuple[str, float, float]] = field(default_factory=list)
    # Members whose messages were held up.
    isolations: list[tuple[str, float, float]] = field(default_factory=list)


class FaultInjector:
    """Injects one fault after the other."""

    def __init__(
        self, cluster: SimulatedCluster, callers: Callers, machine: Machine, only: tuple[str, ...] = ()
    ) -> None:
        """`only`: names of the faults to choose from; empty for all."""
        self.cluster, self.callers, self.machine, self.chance = cluster, callers, machine, cluster.chance
        self.log = FaultLog()
        every: dict[str, Callable[[str], Awaitable[None]]] = {
            "kill": self.kill,
            "power": self.power,
            "wipe": self.wipe,
            "cut": self.partition,
            "long cut": self.long_partition,
            "one way": self.partition_one_way,
            "freeze": self.freeze,
            "slow disk": self.slow_disk,
            "full disk": self.full_disk,
            "reset": self.reset,
            "replace": self.replace,
            "herd": self.restart_all,
            "after ack": self.after_ack,
            "after put": self.after_put,
            "flap": self.flap,
            "clock": self.clock,
            "blink": self.brief_kill,
        }
        self.faults = {name: fault for name, fault in every.items() if not only or name in only}
        self.names = [name for name in self.faults for _ in range(FAULT_WEIGHTS.get(name, 1))]

    def now(self) -> float:
        """Return the virtual s since the start."""
        return self.cluster.world.seconds()

    def log_line(self, what: str) -> None:
        """Add a line with the current time to the log."""
        self.log.lines.append(f"{self.now():.3f} {what}")

    async def wait(self, seconds: float) -> None:
        """Wait for so many virtual seconds."""
        await pause(self.machine, seconds)

    async def play(self, length: float) -> None:
        """Inject faults for `length` s; each has ended `RECOVERY_S` before the next one begins."""
        until = self.now() + length
        while self.now() < until:
            name = self.chance.choice(self.names)
            host = self.chance.choice(self.cluster.hosts)
            self.log_line(f"{name} {host}")
            if name != "herd":
                self.log.losses.append((self.now(), name))
            await self.faults[name](host)
            await self.wait(RECOVERY_S)
            await self.wait(self.chance.choice((0.0, 0.001, self.chance.uniform(0.0, 2.0))))

    # One member lost

    def draw_downtime(self) -> float:
        """Return a random downtime of a process in s."""
        return self.chance.choice((0.02, self.chance.uniform(0.05, 0.5), self.chance.uniform(0.2, 3.0)))

    async def restart(self, host: str, how: str, seconds: float) -> None:
        """End a member's process as `SimulatedCluster.kill` does, and start it again after `seconds`."""
        self.cluster.kill(host, how)
        await self.wait(seconds)
        self.log_line(f"start {host}")
        self.cluster.start(host)

    async def kill(self, host: str) -> None:
        """Kill a member's process and restart it."""
        await self.restart(host, "kill", self.chance.uniform(0.2, 3.0))

    async def power(self, host: str) -> None:
        """Let a member lose power and restart it."""
        await self.restart(host, "power", self.chance.uniform(0.2, 3.0))

    async def wipe(self, host: str) -> None:
        """Wipe a member's disk and restart it; sometimes all members are killed during its recovery."""
        await self.restart(host, "wipe", self.chance.uniform(0.2, 3.0))
        if self.chance.random() < 0.3:  # all are killed during its recovery
            await self.wait(self.chance.uniform(0.0, RECOVERY_S))
            await self.restart_all(host)

    async def after_ack(self, host: str) -> None:
        """Lose the member that acknowledges the next put, within 4 ms."""
        host = await self.callers.wait_for_next(self.machine, self.callers.ack_waiters, MAX_WAIT_S) or host
        await self.wait(self.chance.uniform(0.0, 0.004))
        if host in self.cluster.hosts:
            self.log_line(f"after its ack {host}")
            await self.restart(host, self.chance.choice(("kill", "power", "wipe")), self.draw_downtime())

    async def after_put(self, host: str) -> None:
        """Lose the member that handles the next put, 5 to 400 ms after it was sent."""
        host = await self.callers.wait_for_next(self.machine, self.callers.put_waiters, MAX_WAIT_S) or host
        await self.wait(self.chance.choice((0.005, 0.01, 0.02, 0.05, 0.4)))
        if host in self.cluster.hosts:
            self.log_line(f"after a put {host}")
            await self.restart(host, self.chance.choice(("kill", "power", "wipe")), self.draw_downtime())

    async def flap(self, host: str) -> None:
        """Kill a member three times, each time soon after its return."""
        for _ in range(3):
            await self.restart(host, self.chance.choice(("kill", "power")), self.chance.uniform(0.05, 0.3))
            await self.wait(self.chance.uniform(0.0, 0.8))

    async def brief_kill(self, host: str) -> None:
        """Kill a member briefly while another member handles a put."""
        at = await self.callers.wait_for_next(self.machine, self.callers.put_waiters, MAX_WAIT_S)
        host = self.chance.choice([other for other in self.cluster.hosts if other != at] or [host])
        await self.wait(self.chance.uniform(0.0, 0.08))
        if host in self.cluster.hosts:
            await self.restart(host, self.chance.choice(("kill", "power")), self.chance.uniform(0.001, 0.03))

    async def partition(self, host: str) -> None:
        """Partition a member from the others for 0.3 to 5 s."""
        await self._partition(host, self.chance.uniform(0.3, 5.0), True, True)

    async def long_partition(self, host: str) -> None:
        """Partition a member from the others for `LONG_PARTITION_S`."""
        await self._partition(host, LONG_PARTITION_S, True, True)

    async def partition_one_way(self, host: str) -> None:
        """Partition a member from the others in one direction."""
        outgoing = self.chance.random() < 0.5
        await self._partition(
            host, self.chance.choice((1.0, 3.0, 8.0, LONG_PARTITION_S)), outgoing, not outgoing
        )

    async def _partition(self, host: str, seconds: float, outgoing: bool, incoming: bool) -> None:
        started_at = self.now()
        self.cluster.partition(host, True, outgoing, incoming)
        self.log_line(f"cut {host} out={outgoing} into={incoming} for {seconds:.1f} s")
        await self.wait(seconds)
        self.cluster.partition(host, False, outgoing, incoming)
        if outgoing:
            self.log.isolations.append((host, started_at, self.now()))

    async def freeze(self, host: str) -> None:
        """Pause a member's process for `FREEZE_S`."""
        started_at = self.now()
        self.cluster.machines[host].pause(self.cluster.world.now + int(FREEZE_S * 1e6))
        await self.wait(FREEZE_S)
        self.log.freezes.append((host, started_at, self.now()))

    async def slow_disk(self, host: str) -> None:
        """Slow down a member's disk for a while."""
        machine = self.cluster.machines[host]
        previous_disk_time_us, machine.disk_time_us = (
            machine.disk_time_us,
            self.chance.choice(SLOW_DISK_TIMES_US),
        )
        await self.wait(self.chance.uniform(1.0, 8.0))
        machine.disk_time_us = previous_disk_time_us

    async def full_disk(self, host: str) -> None:
        """Let a member's disk refuse writes for a while."""
        disk = self.cluster.disks[host]
        disk.full = True
        await self.wait(self.chance.uniform(0.5, 5.0))
        disk.full = False

    async def reset(self, host: str) -> None:
        """Reset all connections of a member, up to five times."""
        for _ in range(self.chance.randint(1, 5)):
            self.cluster.reset(host)
            await self.wait(self.chance.uniform(0.0, 0.3))

    async def clock(self, host: str) -> None:
        """Shift the time of day for a while."""
        self.cluster.clock_offset_s = self.chance.choice((-40.0, -3.0, 3.0, 40.0))
        await self.wait(self.chance.uniform(0.5, 3.0))
        self.cluster.clock_offset_s = 0.0

    async def replace(self, host: str) -> None:
        """Replace a machine by one at a new address, started before or after the old one is removed."""
        before, hard = self.chance.random() < 0.5, self.chance.random() < 0.4
        if before:
            new = self.cluster.new_host()
            self.log_line(f"new {new} in place of {host}")
            self.cluster.start(new)
            await self.wait(RECOVERY_S + self.chance.uniform(0.0, 1.0))
        self.log_line(f"{'removed' if hard else 'SIGTERM'} {host}")
        if hard:
            self.cluster.remove(host)
        else:
            self.cluster.terminate(host)
        if not before:
            await self.wait(self.chance.uniform(0.1, 3.0))
            new = self.cluster.new_host()
            self.log_line(f"new {new} in place of {host}")
            self.cluster.start(new)

    # All at once

    async def restart_all(self, host: str) -> None:
        """Kill all members, or let all lose power; their disks are kept."""
        how = self.chance.choice(("kill", "power"))
        self.log_line(f"all: {how}")
        for other in list(self.cluster.hosts):
            self._kill_and_restart(other, how)
        await self.wait(1.5)

    def _kill_and_restart(self, host: str, how: str) -> None:
        if self.cluster.is_up(host):
            self.cluster.kill(host, how)
        self.cluster.schedule(self.chance.uniform(0.3, 1.5), self.cluster.start, host)

    async def inject_final_fault(self) -> None:
        """Kill all members, or let all lose power, or wipe one disk while the others lose power."""
        how = self.chance.choice(FINAL_FAULTS)
        last = self.callers.record.answers[-1][1] if self.callers.record.answers else self.cluster.hosts[0]
        lost = last if self.chance.random() < 0.6 else self.chance.choice(self.cluster.hosts)
        self.log_line(f"closing: {how}, {lost}")
        for host in list(self.cluster.hosts):
            self._kill_and_restart(host, how if how != "wipe" else "wipe" if host == lost else "power")
        await self.wait(1.5)
