"""A simulated core in virtual time for tests of the membership policy: machines, disks, partitions, status
rounds.

The register is modelled as one value that a proposer changes if it reaches the quorums that
`register.BallotAttempt` requires; the change stored on each machine's disk is tracked. Ballots are not
simulated.
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

EMPTY_VALUE = Value(-1, NO_VERSION, Members(-1, ()))  # the value on an empty disk
STEP_S = 0.1
STEPS_PER_ROUND = 5  # steps between two status rounds of a machine: `STATUS_INTERVAL_S` of 0.5 s
STARTUP_S = 0.7  # from the start of a process until it listens
GRACE_S = 6.0  # from SIGTERM until a process is killed


@dataclass
class Machine:
    """One machine of the core and its disk. `slot`: a replacement machine has the slot of its predecessor."""

    ip: str
    zone: str
    slot: int
    disk: str
    known_value: Value
    stored_change: int  # the newest change on its disk
    ready_at: float  # time from which its process listens
    monitor: MembershipMonitor
    is_down: bool = False
    is_frozen: bool = False
    is_isolated: bool = False
    terminated_at: float | None = None
    is_removed: bool = False  # permanently
    healthy_since: float = 0.0  # end of the last time it was down, frozen or isolated

    @property
    def seat(self) -> str:
        return format_seat(self.ip, self.disk)


@dataclass
class World:
    """The simulated core.

    Attributes:
        now: the virtual time in seconds.
        may_exit: whether a terminating member may exit; replaced by tests with planted bugs.
        quorum_lists: the lists of which a change needs a quorum; replaced by tests with planted bugs.
        decided_lists: each decided list, with its time.
        partitioned_pairs: pairs of machines that cannot reach each other.
    """

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
    partitioned_pairs: set[frozenset[str]] = field(default_factory=set)
    created_count: int = 0

    def __post_init__(self) -> None:
        first = Members.initial(f"m{number}" for number in range(min(3, self.machine_count)))
        self.value = Value.initial(first)
        for _ in range(self.machine_count):
            self.add_machine(disk=INITIAL_DISK_ID)

    # Events

    def add_machine(self, slot: int | None = None, zone: str | None = None, disk: str = "new") -> Machine:
        """Add a machine with a new address, started now."""
        number, self.created_count = self.created_count, self.created_count + 1
        known_value, stored_change = (
            (Value.initial(self.value.members), 0) if disk == INITIAL_DISK_ID else (EMPTY_VALUE, -1)
        )
        machine = Machine(
            f"m{number}",
            zone or f"z{number % self.zones}",
            number if slot is None else slot,
            disk,
            known_value,
            stored_change,
            self.now + STARTUP_S,
            MembershipMonitor(self.now + STARTUP_S),
            healthy_since=self.now,
        )
        self.machines[machine.ip] = machine
        return machine

    def kill(self, machine: Machine, is_removed: bool = False) -> None:
        machine.is_down, machine.is_removed = True, is_removed

    def start(self, machine: Machine, wiped: bool = False) -> None:
        """Restart the machine with its disk, or with an empty one."""
        if wiped:
            machine.disk, machine.stored_change, machine.known_value = f"disk{self.steps}", -1, EMPTY_VALUE
        machine.is_down, machine.terminated_at, machine.healthy_since = False, None, self.now
        machine.ready_at = self.now + STARTUP_S
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
        """Cut the link between these two; all others reach both."""
        self.partitioned_pairs.add(frozenset((one.ip, other.ip)))

    def heal_partitions(self) -> None:
        for machine in self.machines.values():
            if any(machine.ip in pair for pair in self.partitioned_pairs):
                machine.healthy_since = self.now
        self.partitioned_pairs.clear()

    def terminate(self, machine: Machine) -> None:
        machine.terminated_at = self.now

    # Global state, for checks

    def is_up(self, machine: Machine) -> bool:
        return not (machine.is_down or machine.is_frozen) and self.now >= machine.ready_at

    def reachable_from(self, machine: Machine) -> list[Machine]:
        """Return the machines with a working link to it in both directions, itself first."""
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
        """Whether `tolerance` counts this slot as lost: it is faulty, or was within the last `sync_s`."""
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
        """Return the seats of the largest connected part."""
        up = [machine for machine in self.machines.values() if self.is_up(machine)]
        return {machine.seat for machine in up if not machine.is_isolated} or {
            machine.seat for machine in up[:1]
        }

    def has_live_quorum(self, without: int = 0) -> bool:
        """Whether a quorum is live, even after the loss of any `without` further members."""
        members, live = self.value.members, self.live_seats()
        return all(
            len(live & set(seats)) - without >= len(seats) // 2 + 1
            for seats in (members.seats, members.former)
            if seats
        )

    def retains_decided_value(self) -> bool:
        """Whether each quorum of the remaining disks includes one with the newest decided change."""
        members = self.value.members
        stored_changes = {
            machine.seat: machine.stored_change
            for machine in self.machines.values()
            if not machine.is_removed
        }
        up_to_date = {seat for seat, change in stored_changes.items() if change >= self.value.change}
        outdated = set(stored_changes) - up_to_date
        lists = [set(seats) for seats in (members.seats, members.former) if seats]
        return bool(up_to_date & members.voters()) and any(
            len(outdated & seats) < len(seats) // 2 + 1 for seats in lists
        )

    # Virtual time

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.steps += 1
            self.now = self.steps * STEP_S
            for index, machine in enumerate(list(self.machines.values())):
                if self.is_up(machine) and (self.steps + index) % STEPS_PER_ROUND == 0:
                    self._round(machine)
                if self.is_up(machine) and self._should_exit(machine):
                    self.kill(machine, machine.is_removed)
            check()

    def _should_exit(self, machine: Machine) -> bool:
        """Whether a terminated process exits now."""
        since = -1.0 if machine.terminated_at is None else self.now - machine.terminated_at
        return since >= GRACE_S or (
            since >= 1.0 and self.may_exit(machine.known_value, machine.monitor, machine.seat, self.now)
        )

    def _status(self, machine: Machine) -> ReplicaStatus:
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
        """Run a status round: exchange statuses, fetch newer values, and propose a change if it is its
        turn.
        """
        reachable = self.reachable_from(machine)
        for other in reachable:
            machine.monitor.record_status(self._status(other), self.now)
        newest = max((other.known_value for other in reachable), key=lambda value: value.change)
        if machine.known_value.change < newest.change:
            machine.known_value = newest
        machine.stored_change = max(machine.stored_change, *(other.stored_change for other in reachable))
        machine.monitor.record_status(self._status(machine), self.now)
        if machine.known_value.members.is_quorum(other.seat for other in reachable):  # has quorum contact
            proposal = machine.monitor.next_proposal(machine.known_value, machine.seat, self.now, self.goals)
            if proposal is not None:
                self.propose(machine, proposal)

    def propose(self, machine: Machine, proposal: Members) -> bool:
        """Propose a list; return whether it is decided."""
        value = set_members(proposal)(self.value)
        if value is self.value or not self._decide(machine, value):
            return False
        self.decided_lists.append((self.now, value.members))
        for other in self.reachable_from(machine):
            other.known_value = value
        return True

    def put(self, number: int, slow: frozenset[str] = frozenset()) -> bool:
        """Put a version through any member that reaches a quorum; machines in `slow` accept it last."""
        value = put(VersionId(number, b"body"))(self.value)
        for machine in self.machines.values():
            if machine.seat in self.value.members.voters() and self._decide(machine, value, slow):
                machine.known_value = value
                return True
        return False

    def _decide(self, proposer: Machine, value: Value, slow: frozenset[str] = frozenset()) -> bool:
        """Have the value accepted by a minimal quorum: leaving machines first, then the oldest."""
        acceptors: list[Machine] = []
        lists = self.quorum_lists(self.value, value)
        for machine in sorted(
            self.reachable_from(proposer), key=lambda one: (one.ip in slow, one.terminated_at is None)
        ):
            acceptors.append(machine)
            if all(members.is_quorum(acceptor.seat for acceptor in acceptors) for members in lists):
                self.value = value
                for acceptor in acceptors:
                    acceptor.stored_change = value.change
                return True
        return False

    def is_change_complete(self) -> bool:
        """Whether no membership change is in progress."""
        return not self.value.members.former

    def changes_since(self, start: float) -> int:
        """Return the number of membership changes begun since this time."""
        return sum(1 for decided_at, members in self.decided_lists if decided_at >= start and members.former)
