"""What befalls a store in a day, within what a deployment's tolerance says: one member lost at a time.

A member is lost while it is down, cut off, frozen or slowed, and `SYNC` s after its return; one that is new, from
its start until `SYNC` s after; one that is gone, until its successor has had that time. Beside that all may be
killed at once, or lose power at once, whatever else goes on; their disks are kept.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from irisdeal.simulation.cluster.callers import Callers
from irisdeal.simulation.cluster.cluster import SYNC, SimulatedCluster, pause
from irisdeal.simulation.machine import Machine

LONG_CUT = 20.0  # s
FREEZE = 4.0  # s that a machine stands still
SLOW_DISK = (150_000, 400_000, 1_200_000)  # µs an act of a disk in trouble
MOST_WAIT = 2.0  # s for the next acknowledgement or order
CLOSING = ("kill", "power", "wipe")
WEIGHTS = {"wipe": 2, "replace": 3, "after ack": 2}  # the others: 1


@dataclass
class Log:
    """What was done: s, what, whom; and the times in which a member could not ask the others."""

    lines: list[str] = field(default_factory=list)
    began: list[tuple[float, str]] = field(default_factory=list)  # of each loss of one member: s, which
    frozen: list[tuple[str, float, float]] = field(default_factory=list)
    shut: list[tuple[str, float, float]] = field(default_factory=list)  # nothing of it came out


class Director:
    """Brings about one fault after the other."""

    def __init__(
        self, cluster: SimulatedCluster, callers: Callers, machine: Machine, only: tuple[str, ...] = ()
    ) -> None:
        """`only`: the faults to choose from, all if empty."""
        self.cluster, self.callers, self.machine, self.chance = cluster, callers, machine, cluster.chance
        self.log = Log()
        every: dict[str, Callable[[str], Awaitable[None]]] = {
            "kill": self.kill,
            "power": self.power,
            "wipe": self.wipe,
            "cut": self.partition,
            "long cut": self.long_cut,
            "one way": self.one_way,
            "freeze": self.freeze,
            "slow disk": self.slow_disk,
            "full disk": self.full_disk,
            "reset": self.reset,
            "replace": self.replace,
            "herd": self.herd,
            "after ack": self.after_ack,
            "after put": self.after_put,
            "flap": self.flap,
            "clock": self.clock,
            "blink": self.blink,
        }
        self.faults = {name: fault for name, fault in every.items() if not only or name in only}
        self.names = [name for name in self.faults for _ in range(WEIGHTS.get(name, 1))]

    def now(self) -> float:
        return self.cluster.world.seconds()

    def note(self, what: str) -> None:
        self.log.lines.append(f"{self.now():.3f} {what}")

    async def wait(self, seconds: float) -> None:
        await pause(self.machine, seconds)

    async def play(self, length: float) -> None:
        """Faults for so many s from now, each over and `SYNC` s past before the next begins."""
        until = self.now() + length
        while self.now() < until:
            name = self.chance.choice(self.names)
            host = self.chance.choice(self.cluster.hosts)
            self.note(f"{name} {host}")
            if name != "herd":
                self.log.began.append((self.now(), name))
            await self.faults[name](host)
            await self.wait(SYNC)
            await self.wait(self.chance.choice((0.0, 0.001, self.chance.uniform(0.0, 2.0))))

    # One member lost

    def short(self) -> float:
        """s that a process is away."""
        return self.chance.choice((0.02, self.chance.uniform(0.05, 0.5), self.chance.uniform(0.2, 3.0)))

    async def down(self, host: str, how: str, seconds: float) -> None:
        self.cluster.kill(host, how)
        await self.wait(seconds)
        self.note(f"start {host}")
        self.cluster.start(host)

    async def kill(self, host: str) -> None:
        await self.down(host, "kill", self.chance.uniform(0.2, 3.0))

    async def power(self, host: str) -> None:
        await self.down(host, "power", self.chance.uniform(0.2, 3.0))

    async def wipe(self, host: str) -> None:
        await self.down(host, "wipe", self.chance.uniform(0.2, 3.0))
        if self.chance.random() < 0.3:  # all are killed while it comes back
            await self.wait(self.chance.uniform(0.0, SYNC))
            await self.herd(host)

    async def after_ack(self, host: str) -> None:
        """The one that acknowledged is lost within 4 ms."""
        host = await self.callers.next(self.machine, self.callers.waiting, MOST_WAIT) or host
        await self.wait(self.chance.uniform(0.0, 0.004))
        if host in self.cluster.hosts:
            self.note(f"after its ack {host}")
            await self.down(host, self.chance.choice(("kill", "power", "wipe")), self.short())

    async def after_put(self, host: str) -> None:
        """The one that is at work on an order is lost, 5 to 400 ms after that was sent."""
        host = await self.callers.next(self.machine, self.callers.awaiting, MOST_WAIT) or host
        await self.wait(self.chance.choice((0.005, 0.01, 0.02, 0.05, 0.4)))
        if host in self.cluster.hosts:
            self.note(f"after a put {host}")
            await self.down(host, self.chance.choice(("kill", "power", "wipe")), self.short())

    async def flap(self, host: str) -> None:
        """It is killed again as soon as it is back."""
        for _ in range(3):
            await self.down(host, self.chance.choice(("kill", "power")), self.chance.uniform(0.05, 0.3))
            await self.wait(self.chance.uniform(0.0, 0.8))

    async def blink(self, host: str) -> None:
        """Killed amid an order that went to another member, and back at once."""
        at = await self.callers.next(self.machine, self.callers.awaiting, MOST_WAIT)
        host = self.chance.choice([each for each in self.cluster.hosts if each != at] or [host])
        await self.wait(self.chance.uniform(0.0, 0.08))
        if host in self.cluster.hosts:
            await self.down(host, self.chance.choice(("kill", "power")), self.chance.uniform(0.001, 0.03))

    async def partition(self, host: str) -> None:
        await self._partition(host, self.chance.uniform(0.3, 5.0), True, True)

    async def long_cut(self, host: str) -> None:
        await self._partition(host, LONG_CUT, True, True)

    async def one_way(self, host: str) -> None:
        out = self.chance.random() < 0.5
        await self._partition(host, self.chance.choice((1.0, 3.0, 8.0, LONG_CUT)), out, not out)

    async def _partition(self, host: str, seconds: float, out: bool, into: bool) -> None:
        begun = self.now()
        self.cluster.partition(host, True, out, into)
        self.note(f"cut {host} out={out} into={into} for {seconds:.1f} s")
        await self.wait(seconds)
        self.cluster.partition(host, False, out, into)
        if out:
            self.log.shut.append((host, begun, self.now()))

    async def freeze(self, host: str) -> None:
        begun = self.now()
        self.cluster.machines[host].pause(self.cluster.world.now + int(FREEZE * 1e6))
        await self.wait(FREEZE)
        self.log.frozen.append((host, begun, self.now()))

    async def slow_disk(self, host: str) -> None:
        machine = self.cluster.machines[host]
        usual, machine.disk_time_us = machine.disk_time_us, self.chance.choice(SLOW_DISK)
        await self.wait(self.chance.uniform(1.0, 8.0))
        machine.disk_time_us = usual

    async def full_disk(self, host: str) -> None:
        disk = self.cluster.disks[host]
        disk.full = True
        await self.wait(self.chance.uniform(0.5, 5.0))
        disk.full = False

    async def reset(self, host: str) -> None:
        for _ in range(self.chance.randint(1, 5)):
            self.cluster.reset(host)
            await self.wait(self.chance.uniform(0.0, 0.3))

    async def clock(self, host: str) -> None:
        """The time of day steps, and returns."""
        self.cluster.stepped = self.chance.choice((-40.0, -3.0, 3.0, 40.0))
        await self.wait(self.chance.uniform(0.5, 3.0))
        self.cluster.stepped = 0.0

    async def replace(self, host: str) -> None:
        """Another machine in its place, at a new address: started before it goes, or after."""
        before, hard = self.chance.random() < 0.5, self.chance.random() < 0.4
        if before:
            new = self.cluster.new_host()
            self.note(f"new {new} in place of {host}")
            self.cluster.start(new)
            await self.wait(SYNC + self.chance.uniform(0.0, 1.0))
        self.note(f"{'gone' if hard else 'told to end'} {host}")
        if hard:
            self.cluster.remove(host)
        else:
            self.cluster.term(host)
        if not before:
            await self.wait(self.chance.uniform(0.1, 3.0))
            new = self.cluster.new_host()
            self.note(f"new {new} in place of {host}")
            self.cluster.start(new)

    # All at once

    async def herd(self, host: str) -> None:
        """All are killed, or lose power; their disks are kept."""
        how = self.chance.choice(("kill", "power"))
        self.note(f"all: {how}")
        for each in list(self.cluster.hosts):
            self._fall(each, how)
        await self.wait(1.5)

    def _fall(self, host: str, how: str) -> None:
        if self.cluster.is_up(host):
            self.cluster.kill(host, how)
        self.cluster.later(self.chance.uniform(0.3, 1.5), self.cluster.start, host)

    async def close(self) -> None:
        """All are killed, or lose power, or one loses its disk while the others lose power."""
        how = self.chance.choice(CLOSING)
        last = self.callers.record.answers[-1][1] if self.callers.record.answers else self.cluster.hosts[0]
        lost = last if self.chance.random() < 0.6 else self.chance.choice(self.cluster.hosts)
        self.note(f"closing: {how}, {lost}")
        for host in list(self.cluster.hosts):
            self._fall(host, how if how != "wipe" else "wipe" if host == lost else "power")
        await self.wait(1.5)
