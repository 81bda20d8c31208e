"""Simulated days of the configuration store: the members' production code under random faults.

The judge (`simulation/cluster/linearizability.py`) uses only the replies that operators and watchers got, and
shares no code with the program. Faults stay within a deployment's tolerance of one machine
(`simulation/cluster/faults.py`).
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from dataclasses import dataclass, field

from irisdeal.config_store.replica import StoreReplica
from irisdeal.runtime.events import log
from irisdeal.simulation.cluster.callers import ORDER_INTERVAL_S, Callers, CallHistory
from irisdeal.simulation.cluster.cluster import DISK_TIMES_US, ReplicaFactory, SimulatedCluster, pause
from irisdeal.simulation.cluster.faults import FaultInjector
from irisdeal.simulation.cluster.linearizability import INFINITY, NO_NUMBER, Kind, check
from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.machine import Machine

FAULTS_DURATION_S = 8.0  # the final fault and checks follow
STARTUP_S = 2.0  # until the first fault
FINAL_READ_TIMEOUT_S = 6.0  # at the end; later, acknowledged puts count as lost
CATCH_UP_TIMEOUT_S = 5.0  # further time until every member must answer
OUTAGE_WINDOW_S = 2.0  # puts that start this long after a loss count as affected by it
MAX_CALM_S = 4.0  # without an acknowledged put while no member is lost
BURST_CHANGE_COUNT = 160
BURST_S = 22.0
BURST_DOWNTIME_S = 14.0  # of one member during a burst
TIMEOUT_S = 400.0  # beyond the faults' duration, after which a run counts as stuck
MAX_KNOWLEDGE_LAG_S = 1.5  # three rounds; a member has all that was confirmed longer before its contact
TIMING_TOLERANCE_S = 0.05  # a message in transit, and one loop iteration


@dataclass
class Verdict:
    """The results of one simulated day."""

    seed: int = 0
    orders: int = 0
    acknowledged: int = 0
    sends: int = 0
    reads: int = 0
    refused: int = 0  # conflicts returned for puts that were acknowledged before
    lists: int = 0  # newest number of a member list that a watcher received
    caught_up: float = 0.0  # s from the start of the final checks until every member had answered
    # Puts affected by a loss: fault, duration in s.
    outages: list[tuple[str, float]] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    trace: str = ""  # digest of all events


class ClusterSimulation:
    """A simulated day of `count` members; one seed determines all random choices."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: ReplicaFactory = StoreReplica,
        length: float = FAULTS_DURATION_S,
        operators: int = 2,
        only: tuple[str, ...] = (),
        burst: bool = False,
        readers: int = 0,
        disk_times: tuple[int, ...] = DISK_TIMES_US,
        pace: float = ORDER_INTERVAL_S,
    ) -> None:
        """`only`: the faults to choose from. `burst`: add many changes with a member down. `readers`: number of
        readers. `disk_times`: µs of a disk call, of which each start draws one. `pace`: see `ORDER_INTERVAL_S`."""
        self.seed, self.length, self.burst = seed, length, burst
        self.cluster = SimulatedCluster(count, seed, make, disk_times)
        self.callers = Callers(self.cluster, operators, 1, readers, pace)
        self.machine = self.cluster.new_caller("director")
        self.fault_injector = FaultInjector(self.cluster, self.callers, self.machine, only)
        self.verdict = Verdict(seed)
        self.over = False

    def add_breach(self, what: str) -> None:
        """Record a violation at the current time."""
        self.verdict.breaches.append(f"{self.cluster.world.seconds():.3f} s: {what}")

    async def _run_faults(self, machine: Machine) -> int:
        await pause(machine, STARTUP_S)
        if self.burst:
            await self._run_burst(machine)
        await self.fault_injector.play(self.length)
        started_at = self.cluster.world.seconds()
        if await self.callers.wait_for_next(
            machine, self.callers.ack_waiters, MAX_CALM_S
        ) is None and not any(
            op.kind is Kind.CONFLICT and op.start > started_at for op in self.callers.record.ops
        ):
            self.add_breach(f"no put was acknowledged in {MAX_CALM_S:g} s without a fault")
        await self.fault_injector.inject_final_fault()
        await self._check_final_state(machine)
        self.over = True
        return 0

    async def _run_burst(self, machine: Machine) -> None:
        """Send many changes while one member is down."""
        changes, seconds, down = BURST_CHANGE_COUNT, BURST_S, BURST_DOWNTIME_S
        host = self.cluster.chance.choice(self.cluster.hosts)
        self.fault_injector.log_line(f"burst of changes, {host} down")
        previous, self.callers.pace = self.callers.pace, 2 * self.callers.operators * seconds / changes
        await pause(machine, 1.0)
        await self.fault_injector.restart(host, self.cluster.chance.choice(("kill", "power", "wipe")), down)
        await pause(machine, seconds - down)
        self.callers.pace = previous

    async def _check_final_state(self, machine: Machine) -> None:
        """Check that acknowledged puts can be read, and that every member catches up."""
        started_at = self.cluster.world.seconds()
        await self.callers.pause_operators(machine)
        while not await self.callers.read(machine, self.cluster.chance.choice(self.cluster.hosts)):
            if self.cluster.world.seconds() - started_at > FINAL_READ_TIMEOUT_S:
                return self.add_breach("acknowledged puts could not be read at the end")
            await pause(machine, 0.1)
        waiting = list(self.cluster.hosts)
        while waiting:
            waiting = [
                host
                for host in waiting
                if host in self.cluster.hosts and not await self.callers.read(machine, host)
            ]
            if (
                waiting
                and self.cluster.world.seconds() - started_at > FINAL_READ_TIMEOUT_S + CATCH_UP_TIMEOUT_S
            ):
                return self.add_breach(f"not caught up: {', '.join(waiting)}")
            await pause(machine, 0.05 if waiting else 0.0)
        self.verdict.caught_up = self.cluster.world.seconds() - started_at

    # The verdict

    def play(self) -> Verdict:
        """Run the day; return its results."""
        for host in list(self.cluster.hosts):
            self.cluster.schedule(self.cluster.chance.uniform(0.0, 0.3), self.cluster.start, host, True)
        self.machine.start(self._run_faults(self.machine))
        with collect_errors() as events:
            try:
                self.cluster.run(lambda: self.over, TIMEOUT_S + self.length)
            except (SimulationStalledError, SimulationLivelockError) as error:
                self.add_breach(f"{type(error).__name__}: {error}"[:400])
        verdict, record = self.verdict, self.callers.record
        verdict.orders, verdict.acknowledged, verdict.sends = record.orders, record.acknowledged, record.sends
        verdict.reads = sum(op.kind is Kind.READ for op in record.ops)
        confirmed = {(op.number, op.body): op.end for op in reversed(record.ops) if op.kind is Kind.CONFIRMED}
        verdict.refused = sum(
            op.kind is Kind.CONFLICT and confirmed.get((op.number, op.body), INFINITY) < op.start
            for op in record.ops
        )
        verdict.lists = max((seen.members for seen in record.seen), default=0)
        verdict.faults = self.fault_injector.log.lines
        verdict.outages = [
            (name, took)
            for started_at, took in record.times
            for loss, name in self.fault_injector.log.losses
            if 0.0 <= started_at - loss <= OUTAGE_WINDOW_S
        ]
        verdict.breaches += [
            *check(record.ops),
            *self._check_changes(record),
            *self._check_contact_ages(record),
            *self._check_knowledge_lags(record),
            *events[:3],
        ]
        verdict.trace = self.cluster.world.trace.digest()
        return verdict

    def _check_changes(self, record: CallHistory) -> list[str]:
        """Check that all members report the same value for one change."""
        values: dict[int, tuple[int, str]] = {}
        for seen in record.seen:
            if values.setdefault(seen.change, (seen.number, seen.digest)) != (seen.number, seen.digest):
                return [f"change {seen.change} reported as r{values[seen.change][0]} and as r{seen.number}"]
        return []

    def _check_contact_ages(self, record: CallHistory) -> list[str]:
        """Check that no member claims contact with the others while it was frozen or its messages were held up."""
        log = self.fault_injector.log
        for seen in record.seen:
            if seen.age < 0:
                continue
            asked_at = seen.at - seen.age / 1e3
            for host, since, until in log.freezes:
                if host == seen.host and since + TIMING_TOLERANCE_S < asked_at < until - TIMING_TOLERANCE_S:
                    return [f"{seen.at:.3f} s: {host} reports contact at {asked_at:.3f}, when it was frozen"]
            for host, since, until in log.isolations:
                if host == seen.host and since + TIMING_TOLERANCE_S < asked_at and seen.at < until:
                    return [
                        f"{seen.at:.3f} s: {host} reports contact at {asked_at:.3f}, when it was partitioned"
                    ]
        return []

    def _check_knowledge_lags(self, record: CallHistory) -> list[str]:
        """Check that a member in contact with a majority has the puts confirmed `MAX_KNOWLEDGE_LAG_S` earlier."""
        confirmed = sorted((op.end, op.number) for op in record.ops if op.kind is Kind.CONFIRMED)
        newest, at = NO_NUMBER, 0
        for asked_at, seen in sorted(
            ((seen.at - seen.age / 1e3 - MAX_KNOWLEDGE_LAG_S, seen) for seen in record.seen if seen.age >= 0),
            key=lambda pair: pair[0],
        ):
            while at < len(confirmed) and confirmed[at][0] < asked_at:
                newest, at = max(newest, confirmed[at][1]), at + 1
            if seen.number < newest:
                return [
                    f"{seen.at:.3f} s: {seen.host} reports contact {seen.age:.0f} ms ago and returns "
                    f"r{seen.number}; r{newest} was confirmed {MAX_KNOWLEDGE_LAG_S:g} s before that"
                ]
        return []


class _ErrorCollector(logging.Handler):
    """Collects log events of level ERROR."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.events: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if "OSError(28" not in record.getMessage():  # a write that a full disk refused
            self.events.append(record.getMessage())


@contextlib.contextmanager
def collect_errors() -> Iterator[list[str]]:
    """Collect log events of level ERROR: failed tasks and violated invariants."""
    collector = _ErrorCollector()
    log.addHandler(collector)
    previous, log.propagate = log.propagate, False
    try:
        yield collector.events
    finally:
        log.removeHandler(collector)
        log.propagate = previous


def simulation_for_seed(seed: int, make: ReplicaFactory = StoreReplica) -> ClusterSimulation:
    """Return the day of a seed: 3, 4 or 5 members, 2 or 8 operators, and for one of 20 seeds a burst of changes."""
    return ClusterSimulation(
        3 + seed % 3, seed, make, operators=8 if seed % 4 == 0 else 2, burst=seed % 20 == 7
    )
