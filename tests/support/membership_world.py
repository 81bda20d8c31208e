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
    known_value: Value
    stored_change: int  # the newest change that its disk holds
    ready_at: float  # when it listens
    monitor: MembershipMonitor
    is_down: bool = False
    is_frozen: bool = False
    is_isolated: bool = False
    terminated_at: float | None = None
    is_removed: bool = False  # for good
    healthy_since: float = 0.0  # since when it has not been down, frozen or cut

    @property
    def seat(self) -> str:
        return format_seat(self.ip, self.disk)


@dataclass
class World:
    """`now` in s. `decided_lists`: each list that was decided, with its time."""

    machine_count: int
    goals: ReconfigurationGoals = field(default_factory=ReconfigurationGoals)
    zones: int = 3
    now: float = 0.0
    steps: int = 0
    may_exit: Callable[[Value, MembershipMonitor, str, float], bool] = lambda value, monitor, own, now: (
        may_leave(value, monitor.statuses, own, now, monitor.listening_since)
    )
    quorum_lists: Callable[[Value, Value], tuple[Members, ...]] = lambda old, new: (old.members, new.members)
    machines: dict[str, Machine] = field(default_factory=dict)
    decided_lists: list[tuple[float, Members]] = field(default_factory=list)
    partitioned_pairs: set[frozenset[str]] = field(
        default_factory=set
    )  # pairs of machines with no way between them
    created_count: int = 0

    def __post_init__(self) -> None:
        first = Members.initial(f"m{number}" for number in range(min(3, self.machine_count)))
        self.value = Value.initial(first)
        for _ in range(self.machine_count):
            self.add_machine(disk=INITIAL_DISK_ID)

    # What happens to machines

    def add_machine(self, slot: int | None = None, zone: str | None = None, disk: str = "new") -> Machine:
        """A new machine at a new address that is switched on now."""
        number, self.created_count = self.created_count, self.created_count + 1
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
            healthy_since=self.now,
        )
        self.machines[made.ip] = made
        return made

    def kill(self, machine: Machine, is_removed: bool = False) -> None:
        machine.is_down, machine.is_removed = True, is_removed

    def start(self, machine: Machine, wiped: bool = False) -> None:
        """Again, with its disk or an empty one."""
        if wiped:
            machine.disk, machine.stored_change, machine.known_value = f"disk{self.steps}", -1, EMPTY
        machine.is_down, machine.terminated_at, machine.healthy_since = False, None, self.now
        machine.ready_at = self.now + BOOT
        machine.monitor = MembershipMonitor(machine.ready_at)

    def freeze(self, machine: Machine) -> None:
        machine.is_frozen = True

    def resume(self, machine: Machine) -> None:
        machine.is_frozen, machine.healthy_since = False, self.now
        machine.monitor.reset_after_stall(self.now)

    def isolate(self, machine: Machine) -> None:
        machine.is_isolated = True

    def reconnect(self, machine: Machine) -> None:
        machine.is_isolated, machine.healthy_since = False, self.now

    def partition(self, one: Machine, other: Machine) -> None:
        """These two do not hear each other; all others hear both."""
        self.partitioned_pairs.add(frozenset((one.ip, other.ip)))

    def heal_partitions(self) -> None:
        for machine in self.machines.values():
            if any(machine.ip in pair for pair in self.partitioned_pairs):
                machine.healthy_since = self.now
        self.partitioned_pairs.clear()

    def terminate(self, machine: Machine) -> None:
        machine.terminated_at = self.now

    # What the judge sees

    def is_up(self, machine: Machine) -> bool:
        return not (machine.is_down or machine.is_frozen) and self.now >= machine.ready_at

    def reachable_from(self, machine: Machine) -> list[Machine]:
        """Those that hear it and that it hears, itself first."""
        if not self.is_up(machine):
            return []
        others = (
            []
            if machine.is_isolated
            else [other for other in self.machines.values() if not other.is_isolated]
        )
        return [
            machine,
            *(
                other
                for other in others
                if other is not machine
                and self.is_up(other)
                and frozenset((machine.ip, other.ip)) not in self.partitioned_pairs
            ),
        ]

    def is_lost(self, slot: int) -> bool:
        """As `tolerance` counts it."""
        last = [machine for machine in self.machines.values() if machine.slot == slot][-1]
        return (
            last.is_down
            or last.is_frozen
            or last.is_isolated
            or last.terminated_at is not None
            or any(last.ip in pair for pair in self.partitioned_pairs)
            or self.now < last.healthy_since + self.goals.sync_s
        )

    def live_seats(self) -> set[str]:
        """The seats of the largest part that is connected."""
        up = [machine for machine in self.machines.values() if self.is_up(machine)]
        return {machine.seat for machine in up if not machine.is_isolated} or {
            machine.seat for machine in up[:1]
        }

    def has_live_quorum(self, without: int = 0) -> bool:
        """Whether a quorum lives, also after the loss of any so many more members."""
        members, live = self.value.members, self.live_seats()
        return all(
            len(live & set(seats)) - without >= len(seats) // 2 + 1
            for seats in (members.seats, members.former)
            if seats
        )

    def retains_decided_value(self) -> bool:
        """Whether each quorum that the disks there are can make has one that holds what is decided."""
        members = self.value.members
        there = {
            machine.seat: machine.stored_change
            for machine in self.machines.values()
            if not machine.is_removed
        }
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
                    self.kill(machine, machine.is_removed)
            check()

    def _goes(self, machine: Machine) -> bool:
        """Whether it was told to end and goes now."""
        since = -1.0 if machine.terminated_at is None else self.now - machine.terminated_at
        return since >= GRACE or (
            since >= 1.0 and self.may_exit(machine.known_value, machine.monitor, machine.seat, self.now)
        )

    def _report(self, machine: Machine) -> ReplicaStatus:
        return ReplicaStatus(
            machine.seat,
            machine.zone,
            NO_BALLOT,
            machine.known_value,
            machine.known_value,
            machine.stored_change >= machine.known_value.change,
            machine.terminated_at is not None,
        )

    def _round(self, machine: Machine) -> None:
        """Ask all, fetch what is newer, and propose where it is our turn."""
        reached = self.reachable_from(machine)
        for other in reached:
            machine.monitor.record_status(self._report(other), self.now)
        newest = max((other.known_value for other in reached), key=lambda value: value.change)
        if machine.known_value.change < newest.change:
            machine.known_value = newest
        machine.stored_change = max(machine.stored_change, *(other.stored_change for other in reached))
        machine.monitor.record_status(self._report(machine), self.now)
        if machine.known_value.members.is_quorum(other.seat for other in reached):  # in contact
            wanted = machine.monitor.next_proposal(machine.known_value, machine.seat, self.now, self.goals)
            if wanted is not None:
                self.propose(machine, wanted)

    def propose(self, machine: Machine, wanted: Members) -> bool:
        """Whether it is decided."""
        value = set_members(wanted)(self.value)
        if value is self.value or not self._decide(machine, value):
            return False
        self.decided_lists.append((self.now, value.members))
        for other in self.reachable_from(machine):
            other.known_value = value
        return True

    def put(self, number: int, slow: frozenset[str] = frozenset()) -> bool:
        """An operator's order by whichever member gets it through; machines that are `slow` take it last."""
        value = put(VersionId(number, b"body"))(self.value)
        for machine in self.machines.values():
            if machine.seat in self.value.members.voters() and self._decide(machine, value, slow):
                machine.known_value = value
                return True
        return False

    def _decide(self, proposer: Machine, value: Value, slow: frozenset[str] = frozenset()) -> bool:
        """Accepted by no more than it takes, those first that are of least use: who leaves, the oldest."""
        takers: list[Machine] = []
        lists = self.quorum_lists(self.value, value)
        for machine in sorted(
            self.reachable_from(proposer), key=lambda one: (one.ip in slow, one.terminated_at is None)
        ):
            takers.append(machine)
            if all(members.is_quorum(taker.seat for taker in takers) for members in lists):
                self.value = value
                for taker in takers:
                    taker.stored_change = value.change
                return True
        return False

    def is_change_complete(self) -> bool:
        return not self.value.members.former

    def changes_since(self, moment: float) -> int:
        """Lists that were begun since."""
        return sum(1 for at, members in self.decided_lists if at >= moment and members.former)
