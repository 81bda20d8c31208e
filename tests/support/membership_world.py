"""A core in virtual time for tests of who is a member: machines, disks, cuts, rounds, a judge that sees all.

The register itself is played as one value that a proposer changes where it reaches the quorums that
`register.Round` asks for; what an acceptor holds is followed machine by machine. Others look at ballots.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from irisdeal.config_store.configuration.version import NO_VERSION, VersionId
from irisdeal.config_store.consensus.register import NO_BALLOT, Value, put, set_members
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.monitor import MembershipMonitor
from irisdeal.config_store.membership.reconfiguration import may_leave

EMPTY = Value(-1, NO_VERSION, Members(-1, ()))  # what an empty disk knows
STEP = 0.1  # s
ROUND = 5  # steps between two looks at the others: `member.ROUND`
BOOT = 0.7  # s from a process's start until it listens
GRACE = 6.0  # s from SIGTERM until a process is killed


@dataclass
class Machine:
    """One machine of the core and its disk. `slot`: whose place it has for what is counted as lost."""

    ip: str
    zone: str
    slot: int
    disk: str
    known: Value
    held: int  # the newest change that its disk holds
    up_at: float  # when it listens
    monitor: MembershipMonitor
    down: bool = False
    frozen: bool = False
    cut: bool = False
    term_at: float | None = None
    gone: bool = False  # for good
    well_at: float = 0.0  # since when it has not been down, frozen or cut

    @property
    def seat(self) -> str:
        return format_seat(self.ip, self.disk)


@dataclass
class World:
    """`now` in s. `lists`: each list that was decided, with its time."""

    cores: int
    goals: ReconfigurationGoals = field(default_factory=ReconfigurationGoals)
    zones: int = 3
    now: float = 0.0
    steps: int = 0
    goes: Callable[[Value, MembershipMonitor, str, float], bool] = lambda value, monitor, own, now: may_leave(
        value, monitor.statuses, own, now, monitor.listening_since
    )
    counted: Callable[[Value, Value], tuple[Members, ...]] = lambda old, new: (old.members, new.members)
    machines: dict[str, Machine] = field(default_factory=dict)
    lists: list[tuple[float, Members]] = field(default_factory=list)
    apart: set[frozenset[str]] = field(default_factory=set)  # pairs of machines with no way between them
    made: int = 0

    def __post_init__(self) -> None:
        first = Members.initial(f"m{number}" for number in range(min(3, self.cores)))
        self.value = Value.initial(first)
        for _ in range(self.cores):
            self.add(disk=INITIAL_DISK_ID)

    # What happens to machines

    def add(self, slot: int | None = None, zone: str | None = None, disk: str = "new") -> Machine:
        """A new machine at a new address that is switched on now."""
        number, self.made = self.made, self.made + 1
        known, held = (Value.initial(self.value.members), 0) if disk == INITIAL_DISK_ID else (EMPTY, -1)
        made = Machine(
            f"m{number}",
            zone or f"z{number % self.zones}",
            number if slot is None else slot,
            disk,
            known,
            held,
            self.now + BOOT,
            MembershipMonitor(self.now + BOOT),
            well_at=self.now,
        )
        self.machines[made.ip] = made
        return made

    def kill(self, machine: Machine, gone: bool = False) -> None:
        machine.down, machine.gone = True, gone

    def start(self, machine: Machine, wiped: bool = False) -> None:
        """Again, with its disk or an empty one."""
        if wiped:
            machine.disk, machine.held, machine.known = f"disk{self.steps}", -1, EMPTY
        machine.down, machine.term_at, machine.well_at = False, None, self.now
        machine.up_at = self.now + BOOT
        machine.monitor = MembershipMonitor(machine.up_at)

    def freeze(self, machine: Machine) -> None:
        machine.frozen = True

    def thaw(self, machine: Machine) -> None:
        machine.frozen, machine.well_at = False, self.now
        machine.monitor.reset_after_stall(self.now)

    def cut(self, machine: Machine) -> None:
        machine.cut = True

    def join(self, machine: Machine) -> None:
        machine.cut, machine.well_at = False, self.now

    def part(self, one: Machine, other: Machine) -> None:
        """These two do not hear each other; all others hear both."""
        self.apart.add(frozenset((one.ip, other.ip)))

    def unite(self) -> None:
        for machine in self.machines.values():
            if any(machine.ip in pair for pair in self.apart):
                machine.well_at = self.now
        self.apart.clear()

    def terminate(self, machine: Machine) -> None:
        machine.term_at = self.now

    # What the judge sees

    def is_up(self, machine: Machine) -> bool:
        return not (machine.down or machine.frozen) and self.now >= machine.up_at

    def reached(self, machine: Machine) -> list[Machine]:
        """Those that hear it and that it hears, itself first."""
        if not self.is_up(machine):
            return []
        others = [] if machine.cut else [other for other in self.machines.values() if not other.cut]
        return [
            machine,
            *(
                other
                for other in others
                if other is not machine
                and self.is_up(other)
                and frozenset((machine.ip, other.ip)) not in self.apart
            ),
        ]

    def is_lost(self, slot: int) -> bool:
        """As `tolerance` counts it."""
        last = [machine for machine in self.machines.values() if machine.slot == slot][-1]
        return (
            last.down
            or last.frozen
            or last.cut
            or last.term_at is not None
            or any(last.ip in pair for pair in self.apart)
            or self.now < last.well_at + self.goals.sync_s
        )

    def live_seats(self) -> set[str]:
        """The seats of the largest part that is connected."""
        up = [machine for machine in self.machines.values() if self.is_up(machine)]
        return {machine.seat for machine in up if not machine.cut} or {machine.seat for machine in up[:1]}

    def serves(self, without: int = 0) -> bool:
        """Whether a quorum lives, also after the loss of any so many more members."""
        members, live = self.value.members, self.live_seats()
        return all(
            len(live & set(seats)) - without >= len(seats) // 2 + 1
            for seats in (members.seats, members.former)
            if seats
        )

    def keeps(self) -> bool:
        """Whether each quorum that the disks there are can make has one that holds what is decided."""
        members = self.value.members
        there = {machine.seat: machine.held for machine in self.machines.values() if not machine.gone}
        holders = {seat_ for seat_, held in there.items() if held >= self.value.change}
        others = set(there) - holders
        lists = [set(seats) for seats in (members.seats, members.former) if seats]
        return bool(holders & members.voters()) and any(
            len(others & seats) < len(seats) // 2 + 1 for seats in lists
        )

    # What time does

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        for _ in range(round(seconds / STEP)):
            self.steps += 1
            self.now = self.steps * STEP
            for index, machine in enumerate(list(self.machines.values())):
                if self.is_up(machine) and (self.steps + index) % ROUND == 0:
                    self._round(machine)
                if self.is_up(machine) and self._goes(machine):
                    self.kill(machine, machine.gone)
            check()

    def _goes(self, machine: Machine) -> bool:
        """Whether it was told to end and goes now."""
        since = -1.0 if machine.term_at is None else self.now - machine.term_at
        return since >= GRACE or (
            since >= 1.0 and self.goes(machine.known, machine.monitor, machine.seat, self.now)
        )

    def _report(self, machine: Machine) -> ReplicaStatus:
        return ReplicaStatus(
            machine.seat,
            machine.zone,
            NO_BALLOT,
            machine.known,
            machine.known,
            machine.held >= machine.known.change,
            machine.term_at is not None,
        )

    def _round(self, machine: Machine) -> None:
        """Ask all, fetch what is newer, and propose where it is our turn."""
        reached = self.reached(machine)
        for other in reached:
            machine.monitor.record_status(self._report(other), self.now)
        newest = max((other.known for other in reached), key=lambda value: value.change)
        if machine.known.change < newest.change:
            machine.known = newest
        machine.held = max(machine.held, *(other.held for other in reached))
        machine.monitor.record_status(self._report(machine), self.now)
        if machine.known.members.is_quorum(other.seat for other in reached):  # in contact
            wanted = machine.monitor.next_proposal(machine.known, machine.seat, self.now, self.goals)
            if wanted is not None:
                self.propose(machine, wanted)

    def propose(self, machine: Machine, wanted: Members) -> bool:
        """Whether it is decided."""
        value = set_members(wanted)(self.value)
        if value is self.value or not self._decide(machine, value):
            return False
        self.lists.append((self.now, value.members))
        for other in self.reached(machine):
            other.known = value
        return True

    def order(self, number: int, slow: frozenset[str] = frozenset()) -> bool:
        """An operator's order by whichever member gets it through; machines that are `slow` take it last."""
        value = put(VersionId(number, b"body"))(self.value)
        for machine in self.machines.values():
            if machine.seat in self.value.members.voters() and self._decide(machine, value, slow):
                machine.known = value
                return True
        return False

    def _decide(self, proposer: Machine, value: Value, slow: frozenset[str] = frozenset()) -> bool:
        """Accepted by no more than it takes, those first that are of least use: who leaves, the oldest."""
        takers: list[Machine] = []
        lists = self.counted(self.value, value)
        for machine in sorted(self.reached(proposer), key=lambda one: (one.ip in slow, one.term_at is None)):
            takers.append(machine)
            if all(members.is_quorum(taker.seat for taker in takers) for members in lists):
                self.value = value
                for taker in takers:
                    taker.held = value.change
                return True
        return False

    def settled(self) -> bool:
        return not self.value.members.former

    def changes_since(self, moment: float) -> int:
        """Lists that were begun since."""
        return sum(1 for at, members in self.lists if at >= moment and members.former)
