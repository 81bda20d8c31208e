"""Probes of a store without faults but the one that each is about; each says what was counted.

They fail on the program of 4deabf9: both bodies confirmed in 40 of 40, replaced in 20 of 20, no read after the
second replacement of three.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.replica import StoreReplica
from irisdeal.simulation.cluster.callers import Callers, digest
from irisdeal.simulation.cluster.cluster import DISK_TIMES, MAKE, SYNC, SimulatedCluster, pause
from irisdeal.simulation.cluster.linearizability import Kind, Operation, check
from irisdeal.simulation.machine import Machine

SETTLE = 1.5  # s from the start to the first order
MOST = 120.0  # s of a probe
APART = 6.0  # s between two replacements
DUELS = 4  # of one probe
DUEL_DISKS = (500, 20_000, 60_000)  # µs an act: so far apart that ballots overlap
DUEL = 0.5  # s that readers go on after the fault
TOGETHER, MEANWHILE = 0.03, 0.15  # s within which the orders of a duel are sent, and its fault comes
ASKED = 5.0  # s that an order or a read is tried for


@dataclass
class Probe:
    """What one probe saw."""

    confirmed: list[str] = field(default_factory=list)  # bodies
    read: str = ""
    puts: int = 0  # replacements after which a put was confirmed
    reads: int = 0  # replacements after which a read was answered
    breaches: list[str] = field(default_factory=list)


class _ProbeRun:
    """A store, one caller, no other load."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: MAKE,
        watchers: int = 0,
        readers: int = 0,
        disk_times: tuple[int, ...] = DISK_TIMES,
    ) -> None:
        self.cluster = SimulatedCluster(count, seed, make, disk_times)
        self.callers = Callers(self.cluster, 0, watchers, readers)
        self.machine = self.cluster.new_caller("caller")
        self.probe = Probe()
        self.left = 0
        for host in self.cluster.hosts:
            self.cluster.start(host, True)

    def version(self, number: int, text: str) -> ConfigVersion:
        return ConfigVersion.of(f"r{number}", b"r%d %s" % (number, text.encode()))

    async def put(self, machine: Machine, after: float, host: str, version: ConfigVersion) -> int:
        """One order after so many s, sent again to the same member for `ASKED` s at most."""
        await pause(machine, after)
        begun = self.callers.now()
        while self.callers.now() - begun < ASKED:
            kind = await self.callers.send(machine, host, version)
            if kind is not Kind.UNCLEAR:
                if kind is Kind.CONFIRMED:
                    self.probe.confirmed.append(digest(version.body))
                break
            await pause(machine, self.cluster.chance.uniform(0.02, 0.1))
        self.left -= 1
        return 0

    async def read(self, machine: Machine, host: str) -> bool:
        begun = self.callers.now()
        while self.callers.now() - begun < ASKED:
            if await self.callers.read(machine, host):
                return True
            await pause(machine, 0.1)
        return False

    def start(self, after: float, host: str, version: ConfigVersion) -> None:
        self.left += 1
        machine = self.cluster.new_caller(f"operator-{len(self.cluster.callers)}")
        machine.start(self.put(machine, after, host, version))

    def play(self) -> Probe:
        self.cluster.run(lambda: self.left == 0, MOST)
        self.probe.breaches = check(self.callers.record.ops)
        return self.probe


def race(seed: int, make: MAKE = StoreReplica, count: int = 3) -> Probe:
    """Two bodies under one number, put at two members at once."""
    run = _ProbeRun(count, seed, make)
    one, other = run.cluster.chance.sample(run.cluster.hosts, 2)
    run.start(SETTLE, one, run.version(1, f"one {seed}"))
    run.start(SETTLE, other, run.version(1, f"other {seed}"))
    return run.play()


def replace_body(seed: int, make: MAKE = StoreReplica, count: int = 3) -> Probe:
    """A body of larger digest under a number, put 1 s after the other's confirmation; then a read."""
    run = _ProbeRun(count, seed, make)
    versions = sorted(
        (run.version(1, f"{text} {seed}") for text in ("one", "other")),
        key=lambda version: version.version_id.digest,
    )

    async def act(machine: Machine) -> int:
        run.left += 2
        one, other = run.cluster.chance.sample(run.cluster.hosts, 2)
        await run.put(machine, SETTLE, one, versions[0])
        await run.put(machine, 1.0, other, versions[1])
        await run.read(machine, one)
        reads: list[Operation] = [op for op in run.callers.record.ops if op.kind is Kind.READ]
        run.probe.read = reads[-1].body if reads else ""
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    return run.play()


def replace_members(seed: int, times: int, make: MAKE = StoreReplica, count: int = 3) -> Probe:
    """Members that fall silent, one after the other, each replaced by one at a new address, `APART` s apart."""
    run = _ProbeRun(count, seed, make)

    async def act(machine: Machine) -> int:
        await pause(machine, SETTLE)
        for number in range(1, times + 1):
            run.cluster.remove(run.cluster.hosts[0])
            await pause(machine, 0.5)
            run.cluster.start(run.cluster.new_host())
            await pause(machine, APART - 0.5)
            begun = run.callers.now()
            run.left += 1
            before = len(run.probe.confirmed)
            await run.put(
                machine, 0.0, run.cluster.chance.choice(run.cluster.hosts), run.version(number, f"{seed}")
            )
            run.probe.puts += len(run.probe.confirmed) > before
            run.probe.reads += await run.read(machine, run.cluster.chance.choice(run.cluster.hosts))
            await pause(machine, max(0.0, APART - (run.callers.now() - begun)))
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    run.cluster.run(lambda: run.left == 0, MOST + times * (APART + 2 * ASKED))
    run.probe.breaches = check(run.callers.record.ops)
    return run.probe


def dueling_proposers(seed: int, fault: str, make: MAKE = StoreReplica, count: int = 3) -> Probe:
    """Orders under one or two numbers at all members at once, amid them a fault; readers and a watcher beside.

    `fault`: "blink" (killed, and back in 1 to 30 ms), "wipe" (its disk, too), "cut" (what it sends is held up for
    0.1 to 0.4 s), "freeze" (it stands still for 4 s), "none".
    """
    run = _ProbeRun(count, seed, make, 1, 2, DUEL_DISKS)
    cluster, chance = run.cluster, run.cluster.chance
    run.callers.reading = False

    async def befall(machine: Machine) -> None:
        host = chance.choice(cluster.hosts)
        await pause(machine, chance.uniform(0.0, MEANWHILE))
        if fault == "none":
            return
        if fault == "cut":
            cluster.partition(host, True, True, False)
            await pause(machine, chance.uniform(0.1, 0.4))
            cluster.partition(host, False, True, False)
        elif fault == "freeze":
            cluster.machines[host].pause(cluster.world.now + 4_000_000)
            await pause(machine, 4.0)
        else:
            cluster.kill(host, "wipe" if fault == "wipe" else chance.choice(("kill", "power")))
            await pause(machine, chance.uniform(0.001, 0.03))
            cluster.start(host)

    async def act(machine: Machine) -> int:
        await pause(machine, SETTLE)
        for number in range(1, 2 * DUELS + 1, 2):
            for host, disk_time_us in zip(
                chance.sample(cluster.hosts, count), DUEL_DISKS * count, strict=False
            ):
                cluster.machines[host].disk_time_us = disk_time_us
            for index, host in enumerate(cluster.hosts):
                version = run.version(number + chance.randint(0, 1), f"{seed} {index}")
                run.start(chance.uniform(0.0, TOGETHER), host, version)
            run.callers.reading = True
            await befall(machine)
            await pause(machine, DUEL)
            run.callers.reading = False
            await pause(machine, SYNC - DUEL)
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    return run.play()


def second_loss(seed: int, make: MAKE = StoreReplica, count: int = 3) -> Probe:
    """A member is replaced, its successor first; 0 to 4 s after it was told to end the next loss comes: one disk,
    while the others lose power. The successor had its `SYNC` s, so the one that went counts no more."""
    run = _ProbeRun(count, seed, make)
    cluster, chance = run.cluster, run.cluster.chance

    async def act(machine: Machine) -> int:
        await pause(machine, SETTLE)
        run.left += 1
        await run.put(machine, 0.0, chance.choice(cluster.hosts), run.version(1, f"{seed}"))
        old, new = chance.choice(cluster.hosts), cluster.new_host()
        cluster.start(new)
        await pause(machine, SYNC + chance.uniform(0.1, 1.0))
        cluster.term(old)
        while cluster.is_up(old):
            await pause(machine, 0.01)
        await pause(machine, chance.uniform(0.0, 4.0))
        lost = chance.choice(cluster.hosts)
        for host in list(cluster.hosts):
            cluster.kill(host, "wipe" if host == lost else "power")
            cluster.later(chance.uniform(0.3, 1.5), cluster.start, host)
        await pause(machine, 1.5)
        run.probe.reads += await run.read(machine, chance.choice(cluster.hosts))
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    return run.play()
