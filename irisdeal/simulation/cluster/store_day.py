"""Days of the store in virtual time: the members' own program, disks that tear, faults, and a judge.

The judge (`simulation/cluster/linearizability.py`) knows only what operators and doors saw, and shares no code with
the program. Faults stay within what a deployment's tolerance of one machine says (`simulation/cluster/faults.py`).
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from dataclasses import dataclass, field

from irisdeal.config_store.replica import StoreReplica
from irisdeal.runtime.events import log
from irisdeal.simulation.cluster.callers import PACE, Callers, CallHistory
from irisdeal.simulation.cluster.cluster import DISK_TIMES, MAKE, SimulatedCluster, pause
from irisdeal.simulation.cluster.faults import Director
from irisdeal.simulation.cluster.linearizability import INFINITY, NO_NUMBER, Kind, check
from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.machine import Machine

LENGTH = 8.0  # s of faults; then the closing one, and as long as it takes
START_BY = 2.0  # s until the first fault
MOST_READ = 6.0  # s that the operator asks at the end before what was acknowledged counts as lost
CAUGHT_UP = 5.0  # s after the last return by which every member answers
AFTER_LOSS = 2.0  # s after the begin of a loss within which orders are counted as those that met it
MOST_CALM = 4.0  # s without an acknowledgement while nothing is lost
BURST = (160, 22.0, 14.0)  # changes, s of them, s that a member is down in them
OVER = 400.0  # s after which a day that is not over is stuck
LAG = 1.5  # s, three rounds: what was confirmed longer before the asking than this is known to whoever asked
SLACK = 0.05  # s: a word that was on its way, and a turn of the loop


@dataclass
class Verdict:
    """What a day showed."""

    seed: int = 0
    orders: int = 0
    acknowledged: int = 0
    sends: int = 0
    reads: int = 0
    refused: int = 0  # sends refused for good of orders that were acknowledged before
    lists: int = 0  # the number of the newest list of members that a watcher saw
    caught_up: float = 0.0  # s after the last return until every member had answered
    outages: list[tuple[str, float]] = field(
        default_factory=list
    )  # orders that met a loss: which, s they took
    breaches: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    trace: str = ""  # of all that happened, to the last byte


class ClusterSimulation:
    """One day of `count` members by one seed."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: MAKE = StoreReplica,
        length: float = LENGTH,
        operators: int = 2,
        only: tuple[str, ...] = (),
        burst: bool = False,
        readers: int = 0,
        disk_times: tuple[int, ...] = DISK_TIMES,
        pace: float = PACE,
    ) -> None:
        """`only`: the faults to choose from. `burst`: hundreds of changes with a member down. `readers`: callers
        that do nothing but read. `disk_times`: µs of an act on a disk, of which each start draws one. `pace`: see
        `operators.PACE`."""
        self.seed, self.length, self.burst = seed, length, burst
        self.cluster = SimulatedCluster(count, seed, make, disk_times)
        self.callers = Callers(self.cluster, operators, 1, readers, pace)
        self.machine = self.cluster.new_caller("director")
        self.director = Director(self.cluster, self.callers, self.machine, only)
        self.verdict = Verdict(seed)
        self.over = False

    def breach(self, what: str) -> None:
        self.verdict.breaches.append(f"{self.cluster.world.seconds():.3f} s: {what}")

    async def _direct(self, machine: Machine) -> int:
        await pause(machine, START_BY)
        if self.burst:
            await self._hundreds(machine)
        await self.director.play(self.length)
        begun = self.cluster.world.seconds()
        if await self.callers.next(machine, self.callers.waiting, MOST_CALM) is None and not any(
            op.kind is Kind.CONFLICT and op.start > begun for op in self.callers.record.ops
        ):
            self.breach(f"no order was acknowledged in {MOST_CALM:g} s without a fault")
        await self.director.close()
        await self._end(machine)
        self.over = True
        return 0

    async def _hundreds(self, machine: Machine) -> None:
        """Many changes in a row with a member down."""
        changes, seconds, down = BURST
        host = self.cluster.chance.choice(self.cluster.hosts)
        self.director.note(f"hundreds of changes, {host} down")
        usual, self.callers.pace = self.callers.pace, 2 * self.callers.operators * seconds / changes
        await pause(machine, 1.0)
        await self.director.down(host, self.cluster.chance.choice(("kill", "power", "wipe")), down)
        await pause(machine, seconds - down)
        self.callers.pace = usual

    async def _end(self, machine: Machine) -> None:
        """What was acknowledged can be read, and every member catches up."""
        begun = self.cluster.world.seconds()
        await self.callers.rest(machine)
        while not await self.callers.read(machine, self.cluster.chance.choice(self.cluster.hosts)):
            if self.cluster.world.seconds() - begun > MOST_READ:
                return self.breach("what was acknowledged could not be read at the end")
            await pause(machine, 0.1)
        waiting = list(self.cluster.hosts)
        while waiting:
            waiting = [
                host
                for host in waiting
                if host in self.cluster.hosts and not await self.callers.read(machine, host)
            ]
            if waiting and self.cluster.world.seconds() - begun > MOST_READ + CAUGHT_UP:
                return self.breach(f"not caught up: {', '.join(waiting)}")
            await pause(machine, 0.05 if waiting else 0.0)
        self.verdict.caught_up = self.cluster.world.seconds() - begun

    # The verdict

    def play(self) -> Verdict:
        """The whole day."""
        for host in list(self.cluster.hosts):
            self.cluster.later(self.cluster.chance.uniform(0.0, 0.3), self.cluster.start, host, True)
        self.machine.start(self._direct(self.machine))
        with heard() as events:
            try:
                self.cluster.run(lambda: self.over, OVER + self.length)
            except (SimulationStalledError, SimulationLivelockError) as error:
                self.breach(f"{type(error).__name__}: {error}"[:400])
        verdict, record = self.verdict, self.callers.record
        verdict.orders, verdict.acknowledged, verdict.sends = record.orders, record.acknowledged, record.sends
        verdict.reads = sum(op.kind is Kind.READ for op in record.ops)
        confirmed = {(op.number, op.body): op.end for op in reversed(record.ops) if op.kind is Kind.CONFIRMED}
        verdict.refused = sum(
            op.kind is Kind.CONFLICT and confirmed.get((op.number, op.body), INFINITY) < op.start
            for op in record.ops
        )
        verdict.lists = max((seen.members for seen in record.seen), default=0)
        verdict.faults = self.director.log.lines
        verdict.outages = [
            (name, took)
            for begun, took in record.times
            for loss, name in self.director.log.began
            if 0.0 <= begun - loss <= AFTER_LOSS
        ]
        verdict.breaches += [
            *check(record.ops),
            *self._changes(record),
            *self._ages(record),
            *self._lags(record),
            *events[:3],
        ]
        verdict.trace = self.cluster.world.trace.digest()
        return verdict

    def _changes(self, record: CallHistory) -> list[str]:
        """One change, one value, whoever tells it."""
        values: dict[int, tuple[int, str]] = {}
        for seen in record.seen:
            if values.setdefault(seen.change, (seen.number, seen.digest)) != (seen.number, seen.digest):
                return [f"change {seen.change} told as r{values[seen.change][0]} and as r{seen.number}"]
        return []

    def _ages(self, record: CallHistory) -> list[str]:
        """A member cannot have asked the others while it stood still or while nothing of it came out."""
        log = self.director.log
        for seen in record.seen:
            if seen.age < 0:
                continue
            asked = seen.at - seen.age / 1e3
            for host, since, until in log.frozen:
                if host == seen.host and since + SLACK < asked < until - SLACK:
                    return [f"{seen.at:.3f} s: {host} says it asked at {asked:.3f}, and stood still then"]
            for host, since, until in log.shut:
                if host == seen.host and since + SLACK < asked and seen.at < until:
                    return [f"{seen.at:.3f} s: {host} says it asked at {asked:.3f}, and was cut off then"]
        return []

    def _lags(self, record: CallHistory) -> list[str]:
        """Who says that it asked a majority then knows what was confirmed well before."""
        confirmed = sorted((op.end, op.number) for op in record.ops if op.kind is Kind.CONFIRMED)
        newest, at = NO_NUMBER, 0
        for asked, seen in sorted(
            ((seen.at - seen.age / 1e3 - LAG, seen) for seen in record.seen if seen.age >= 0),
            key=lambda pair: pair[0],
        ):
            while at < len(confirmed) and confirmed[at][0] < asked:
                newest, at = max(newest, confirmed[at][1]), at + 1
            if seen.number < newest:
                return [
                    f"{seen.at:.3f} s: {seen.host} says that it asked {seen.age:.0f} ms ago and tells "
                    f"r{seen.number}; r{newest} was confirmed {LAG:g} s before that"
                ]
        return []


class _Ear(logging.Handler):
    """Keeps what must never be told."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.events: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if "OSError(28" not in record.getMessage():  # a call that a full disk refused, and was told so
            self.events.append(record.getMessage())


@contextlib.contextmanager
def heard() -> Iterator[list[str]]:
    """The program's events of level ERROR: a task that failed, an invariant that does not hold."""
    probe_result = _Ear()
    log.addHandler(probe_result)
    usual, log.propagate = log.propagate, False
    try:
        yield probe_result.events
    finally:
        log.removeHandler(probe_result)
        log.propagate = usual


def simulation_for_seed(seed: int, make: MAKE = StoreReplica) -> ClusterSimulation:
    """The day of a seed: 3, 4 or 5 members, two or eight operators, in one of twenty hundreds of changes."""
    return ClusterSimulation(
        3 + seed % 3, seed, make, operators=8 if seed % 4 == 0 else 2, burst=seed % 20 == 7
    )
