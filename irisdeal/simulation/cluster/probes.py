"""Short simulated runs of the store with one kind of fault each; each returns counts of its outcomes.

They fail on revision 4deabf9: both bodies confirmed in 40 of 40 runs, a body replaced in 20 of 20, no read
answered after the second replacement of three members.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.replica import StoreReplica
from irisdeal.simulation.cluster.callers import Callers, digest
from irisdeal.simulation.cluster.cluster import (
    DISK_TIMES_US,
    RECOVERY_S,
    ReplicaFactory,
    SimulatedCluster,
    pause,
)
from irisdeal.simulation.cluster.linearizability import Kind, Operation, check
from irisdeal.simulation.machine import Machine

STARTUP_S = 1.5  # before the first put
TIMEOUT_S = 120.0  # of a run
REPLACEMENT_INTERVAL_S = 6.0  # between two replacements
DUEL_COUNT = 4  # in one run
DUEL_DISK_TIMES_US = (500, 20_000, 60_000)  # of one call; they differ so much that ballots overlap
DUEL_READ_S = 0.5  # readers continue this long after the fault
PUT_SPREAD_S = 0.03  # within which concurrent puts are sent
MAX_FAULT_DELAY_S = 0.15  # after the concurrent puts
ATTEMPT_TIMEOUT_S = 5.0  # retries of a put or a read end then


@dataclass
class Probe:
    """The outcomes of one run."""

    confirmed: list[str] = field(default_factory=list)  # bodies
    read: str = ""
    puts: int = 0  # replacements after which a put was confirmed
    reads: int = 0  # replacements after which a read was answered
    breaches: list[str] = field(default_factory=list)


class _ProbeRun:
    """A simulated cluster with one client and no other load."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: ReplicaFactory,
        watchers: int = 0,
        readers: int = 0,
        disk_times: tuple[int, ...] = DISK_TIMES_US,
    ) -> None:
        self.cluster = SimulatedCluster(count, seed, make, disk_times)
        self.callers = Callers(self.cluster, 0, watchers, readers)
        self.machine = self.cluster.new_caller("caller")
        self.probe = Probe()
        self.running_count = 0
        for host in self.cluster.hosts:
            self.cluster.start(host, True)

    def version(self, number: int, text: str) -> ConfigVersion:
        return ConfigVersion.of(f"r{number}", b"r%d %s" % (number, text.encode()))

    async def put(self, machine: Machine, after: float, host: str, version: ConfigVersion) -> int:
        """Put a version after `after` s; retry at the same member for `ATTEMPT_TIMEOUT_S`."""
        await pause(machine, after)
        started_at = self.callers.now()
        while self.callers.now() - started_at < ATTEMPT_TIMEOUT_S:
            kind = await self.callers.send(machine, host, version)
            if kind is not Kind.UNCLEAR:
                if kind is Kind.CONFIRMED:
                    self.probe.confirmed.append(digest(version.body))
                break
            await pause(machine, self.cluster.chance.uniform(0.02, 0.1))
        self.running_count -= 1
        return 0

    async def read(self, machine: Machine, host: str) -> bool:
        started_at = self.callers.now()
        while self.callers.now() - started_at < ATTEMPT_TIMEOUT_S:
            if await self.callers.read(machine, host):
                return True
            await pause(machine, 0.1)
        return False

    def start(self, after: float, host: str, version: ConfigVersion) -> None:
        self.running_count += 1
        machine = self.cluster.new_caller(f"operator-{len(self.cluster.callers)}")
        machine.start(self.put(machine, after, host, version))

    def play(self) -> Probe:
        self.cluster.run(lambda: self.running_count == 0, TIMEOUT_S)
        self.probe.breaches = check(self.callers.record.ops)
        return self.probe


def race(seed: int, make: ReplicaFactory = StoreReplica, count: int = 3) -> Probe:
    """Put two bodies under one number at two members at once."""
    run = _ProbeRun(count, seed, make)
    one, other = run.cluster.chance.sample(run.cluster.hosts, 2)
    run.start(STARTUP_S, one, run.version(1, f"one {seed}"))
    run.start(STARTUP_S, other, run.version(1, f"other {seed}"))
    return run.play()


def replace_body(seed: int, make: ReplicaFactory = StoreReplica, count: int = 3) -> Probe:
    """Put a second body of larger digest under the same number 1 s after the first was confirmed, then read."""
    run = _ProbeRun(count, seed, make)
    versions = sorted(
        (run.version(1, f"{text} {seed}") for text in ("one", "other")),
        key=lambda version: version.version_id.digest,
    )

    async def act(machine: Machine) -> int:
        run.running_count += 2
        one, other = run.cluster.chance.sample(run.cluster.hosts, 2)
        await run.put(machine, STARTUP_S, one, versions[0])
        await run.put(machine, 1.0, other, versions[1])
        await run.read(machine, one)
        reads: list[Operation] = [op for op in run.callers.record.ops if op.kind is Kind.READ]
        run.probe.read = reads[-1].body if reads else ""
        run.running_count -= 1
        return 0

    run.running_count = 1
    run.machine.start(act(run.machine))
    return run.play()


def replace_members(seed: int, times: int, make: ReplicaFactory = StoreReplica, count: int = 3) -> Probe:
    """Remove members one by one, each replaced by one at a new address, `REPLACEMENT_INTERVAL_S` apart."""
    run = _ProbeRun(count, seed, make)

    async def act(machine: Machine) -> int:
        await pause(machine, STARTUP_S)
        for number in range(1, times + 1):
            run.cluster.remove(run.cluster.hosts[0])
            await pause(machine, 0.5)
            run.cluster.start(run.cluster.new_host())
            await pause(machine, REPLACEMENT_INTERVAL_S - 0.5)
            started_at = run.callers.now()
            run.running_count += 1
            before = len(run.probe.confirmed)
            await run.put(
                machine, 0.0, run.cluster.chance.choice(run.cluster.hosts), run.version(number, f"{seed}")
            )
            run.probe.puts += len(run.probe.confirmed) > before
            run.probe.reads += await run.read(machine, run.cluster.chance.choice(run.cluster.hosts))
            await pause(machine, max(0.0, REPLACEMENT_INTERVAL_S - (run.callers.now() - started_at)))
        run.running_count -= 1
        return 0

    run.running_count = 1
    run.machine.start(act(run.machine))
    run.cluster.run(
        lambda: run.running_count == 0, TIMEOUT_S + times * (REPLACEMENT_INTERVAL_S + 2 * ATTEMPT_TIMEOUT_S)
    )
    run.probe.breaches = check(run.callers.record.ops)
    return run.probe


def dueling_proposers(seed: int, fault: str, make: ReplicaFactory = StoreReplica, count: int = 3) -> Probe:
    """Put under one or two numbers at all members at once, with a fault meanwhile, readers and a watcher.

    `fault`: "blink" (a member is killed and restarts after 1 to 30 ms), "wipe" (it also loses its disk), "cut" (its
    messages are held up for 0.1 to 0.4 s), "freeze" (it is paused for 4 s), "none".
    """
    run = _ProbeRun(count, seed, make, 1, 2, DUEL_DISK_TIMES_US)
    cluster, chance = run.cluster, run.cluster.chance
    run.callers.is_reading = False

    async def inject_fault(machine: Machine) -> None:
        host = chance.choice(cluster.hosts)
        await pause(machine, chance.uniform(0.0, MAX_FAULT_DELAY_S))
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
        await pause(machine, STARTUP_S)
        for number in range(1, 2 * DUEL_COUNT + 1, 2):
            for host, disk_time_us in zip(
                chance.sample(cluster.hosts, count), DUEL_DISK_TIMES_US * count, strict=False
            ):
                cluster.machines[host].disk_time_us = disk_time_us
            for index, host in enumerate(cluster.hosts):
                version = run.version(number + chance.randint(0, 1), f"{seed} {index}")
                run.start(chance.uniform(0.0, PUT_SPREAD_S), host, version)
            run.callers.is_reading = True
            await inject_fault(machine)
            await pause(machine, DUEL_READ_S)
            run.callers.is_reading = False
            await pause(machine, RECOVERY_S - DUEL_READ_S)
        run.running_count -= 1
        return 0

    run.running_count = 1
    run.machine.start(act(run.machine))
    return run.play()


def second_loss(seed: int, make: ReplicaFactory = StoreReplica, count: int = 3) -> Probe:
    """Replace a member; 0 to 4 s after its end one disk is lost and the other members lose power.

    The successor started first and has run for `RECOVERY_S`, so the removed member no longer counts as lost.
    """
    run = _ProbeRun(count, seed, make)
    cluster, chance = run.cluster, run.cluster.chance

    async def act(machine: Machine) -> int:
        await pause(machine, STARTUP_S)
        run.running_count += 1
        await run.put(machine, 0.0, chance.choice(cluster.hosts), run.version(1, f"{seed}"))
        old, new = chance.choice(cluster.hosts), cluster.new_host()
        cluster.start(new)
        await pause(machine, RECOVERY_S + chance.uniform(0.1, 1.0))
        cluster.terminate(old)
        while cluster.is_up(old):
            await pause(machine, 0.01)
        await pause(machine, chance.uniform(0.0, 4.0))
        lost = chance.choice(cluster.hosts)
        for host in list(cluster.hosts):
            cluster.kill(host, "wipe" if host == lost else "power")
            cluster.schedule(chance.uniform(0.3, 1.5), cluster.start, host)
        await pause(machine, 1.5)
        run.probe.reads += await run.read(machine, chance.choice(cluster.hosts))
        run.running_count -= 1
        return 0

    run.running_count = 1
    run.machine.start(act(run.machine))
    return run.play()
