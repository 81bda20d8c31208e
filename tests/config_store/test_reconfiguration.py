"""The membership policy: unit tests, a simulated core in virtual time, and planted bugs that must be
detected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from irisdeal.config_store.consensus.register import NO_BALLOT, Value
from irisdeal.config_store.membership import reconfiguration
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat, majority
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.monitor import MAX_TRACKED_LEARNERS, MembershipMonitor
from irisdeal.config_store.membership.reconfiguration import is_proposer, next_members
from irisdeal.config_store.membership.view import DEAD_AFTER_S, MembershipView, PeerStatus
from tests.support.membership_world import Machine, World

MACHINE_COUNTS = (3, 4, 5)
STARTUP_S = 10.0  # until all machines are members: the fourth joins `sync_s` after its start, then the fifth
SYNC_S = 4.0  # `sync_s`: time after a loss from which another loss must be tolerated


def started_world(machine_count: int, **options: object) -> World:
    world = World(machine_count, **options)  # type: ignore[arg-type]
    world.run(STARTUP_S)
    assert world.is_change_complete() and len(world.value.members.seats) == min(5, machine_count)
    return world


class InvariantViolation(AssertionError):
    """The simulated core violated an invariant."""


def run_checked(world: World, seconds: float) -> None:
    """Run for this time, and check at each step that a quorum is live and retains the decided value."""

    def check() -> None:
        if not world.has_live_quorum():
            raise InvariantViolation("no live quorum", world.now, world.value.members, world.live_seats())
        if not world.retains_decided_value():
            raise InvariantViolation(
                "a quorum without the decided value is possible", world.now, world.value.members
            )

    world.run(seconds, check)


def statuses_of(*seats: str, at: float = 10.0, value: Value) -> dict[str, PeerStatus]:
    return {
        name: PeerStatus(at, ReplicaStatus(name, "z", NO_BALLOT, value, value, True), 0.0) for name in seats
    }


# Unit tests of the policy


def first(*ips: str) -> Value:
    return Value.initial(Members.initial(ips))


def test_a_joint_list_is_completed_first() -> None:
    value = Value(1, first("a").version_id, Members.initial("abc").enter_joint(["a/first", "b/first", "d/x"]))
    statuses = statuses_of(*value.members.voters(), "e/x", value=value)
    found = next_members(value, statuses, "a/first", 10.0, ReconfigurationGoals())
    assert found == value.members.leave_joint()


def test_an_empty_list_has_no_quorum() -> None:
    assert not Members(0, ()).is_quorum(["a/first"])


def test_a_learner_never_proposes() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("a/first", "b/first", "d/x", value=value)
    assert next_members(value, statuses, "d/x", 10.0, ReconfigurationGoals()) is None
    assert not is_proposer(value, statuses, "d/x", 10.0, 60.0)


def test_the_first_live_member_proposes_and_the_next_after_a_pause() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("b/first", "c/first", value=value)
    assert is_proposer(value, statuses, "b/first", 10.0, 0.0)  # a is dead
    assert not is_proposer(value, statuses, "c/first", 10.0, 0.9)
    assert is_proposer(value, statuses, "c/first", 10.0, 1.0)


def test_unreachable_time_counts_from_the_start_of_listening() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("a/first", "b/first", "d/x", at=100.0, value=value)
    goals, now = ReconfigurationGoals(), 100.0
    assert next_members(value, statuses, "a/first", now, goals, now - DEAD_AFTER_S / 2) is None
    assert next_members(value, statuses, "a/first", now, goals, now - DEAD_AFTER_S) is not None


@pytest.mark.parametrize(
    ("change", "has_body", "is_ready"),
    [(100, True, True), (96, True, True), (95, True, False), (100, False, False), (-1, True, False)],
)
def test_a_learner_is_ready_when_it_has_one_of_the_newest_changes(
    change: int, has_body: bool, is_ready: bool
) -> None:
    value = Value(100, first("a").version_id, Members.initial("abc"))
    statuses = statuses_of("a/first", "b/first", value=value)
    behind = Value(change, value.version_id, value.members)
    statuses["d/x"] = PeerStatus(10.0, ReplicaStatus("d/x", "z", NO_BALLOT, behind, behind, has_body), 0.0)
    assert (next_members(value, statuses, "a/first", 10.0, ReconfigurationGoals()) is not None) is is_ready


def test_no_change_without_a_live_majority_of_both_lists() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("a/first", "d/x", "e/x", value=value)
    assert next_members(value, statuses, "a/first", 10.0, ReconfigurationGoals()) is None


def test_a_lost_disk_is_replaced_by_the_new_one_of_its_machine_though_another_is_ready() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("a/first", "b/first", "c/new", value=value)
    statuses.update(statuses_of("c/first", "d/x", at=9.0, value=value))
    found = next_members(value, statuses, "a/first", 10.0, ReconfigurationGoals())
    assert found is not None and found.seats == ("a/first", "b/first", "c/new")


def test_a_new_condition_is_reported_once() -> None:
    monitor, value = MembershipMonitor(0.0), first("a", "b", "c")
    for name in ("a/first", "b/first", "d/x"):
        monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, True), 10.0)
    assert monitor.new_events(value, "a/first", 10.0) == [(222, "c/first"), (223, "d/x")]
    assert monitor.new_events(value, "a/first", 10.1) == []
    for name in ("b/y", "c/z"):
        monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, False), 10.2)
    assert monitor.new_events(value, "a/first", 10.3) == [(222, "b/first"), (226, "a/first")]


def test_the_loss_of_all_disks_is_reported_once_after_the_longest_startup() -> None:
    monitor, nothing = MembershipMonitor(0.0), Value(-1, first("a").version_id, Members(-1, ()))
    monitor.record_status(ReplicaStatus("b/y", "z", NO_BALLOT, nothing, nothing, False), 14.0)
    assert monitor.new_events(nothing, "a/x", 14.9) == []
    assert monitor.new_events(nothing, "a/x", 15.0) == [(226, "a/x")]
    monitor.record_status(ReplicaStatus("c/z", "z", NO_BALLOT, nothing, first("c"), False), 15.0)
    assert monitor.new_events(nothing, "a/x", 15.1) == []


def test_the_number_of_tracked_learners_is_bounded() -> None:
    monitor, value = MembershipMonitor(0.0), first("a")
    for number in range(3 * MAX_TRACKED_LEARNERS):
        monitor.record_status(ReplicaStatus(f"l{number}/x", "z", NO_BALLOT, value, value, True), number / 100)
    monitor.next_proposal(value, "a/first", 10.0, ReconfigurationGoals())
    assert len(monitor.statuses) == MAX_TRACKED_LEARNERS
    monitor.next_proposal(value, "a/first", 90.0, ReconfigurationGoals())
    assert not monitor.statuses


# Simulated core in virtual time


@pytest.mark.parametrize("machine_count", MACHINE_COUNTS)
@pytest.mark.parametrize("lead_s", [-1.0, 0.0, 1.0], ids=["successor-first", "at-once", "successor-later"])
@pytest.mark.parametrize("how", ["kill", "terminate"])
def test_ten_replacements_at_new_addresses(machine_count: int, lead_s: float, how: str) -> None:
    """Ten replacements, six seconds apart. An earlier version answered no reads after the second one."""
    world = started_world(machine_count)
    for number in range(10):
        old = next(machine for machine in world.machines.values() if not machine.is_removed)
        started_at = world.now

        def stop(old: Machine = old) -> None:
            if how == "kill":
                world.kill(old, is_removed=True)
            else:
                old.is_removed = True
                world.terminate(old)

        if lead_s <= 0:
            new = world.add_machine(old.slot)
            run_checked(world, -lead_s)
            stop()
        else:
            stop()
            run_checked(world, lead_s)
            new = world.add_machine(old.slot)
        run_checked(world, new.healthy_since + SYNC_S - world.now)
        assert world.is_change_complete() and world.has_live_quorum(without=1), (
            number,
            world.value.members,
            world.live_seats(),
        )
        assert new.seat in world.value.members.seats
        run_checked(world, started_at + 6.0 - world.now)
        assert world.put(number)


@pytest.mark.parametrize("machine_count", MACHINE_COUNTS)
@pytest.mark.parametrize("wiped", [False, True], ids=["with-its-disk", "wiped"])
@pytest.mark.parametrize("down_s", [0.5, 1.9, 2.5, 8.0])
def test_a_second_loss_right_after_a_restart(machine_count: int, wiped: bool, down_s: float) -> None:
    world = started_world(machine_count)
    for number in range(2 * machine_count):
        machine = list(world.machines.values())[number % machine_count]
        assert world.put(number, slow=frozenset({f"m{(number + 1) % machine_count}"}))
        world.kill(machine)
        run_checked(world, down_s)
        world.start(machine, wiped)
        run_checked(world, SYNC_S)
        assert world.has_live_quorum(without=1)
    run_checked(world, 8.0)
    assert len(world.value.members.seats) == machine_count and world.is_change_complete()


@pytest.mark.parametrize("outage_s", [1.0, 1.5])
def test_short_outages_do_not_change_the_list(outage_s: float) -> None:
    for machine_count in (*MACHINE_COUNTS, 7):
        world = started_world(machine_count)
        for _ in range(4):
            for machine in list(world.machines.values()):
                world.isolate(machine)
                run_checked(world, outage_s)
                world.reconnect(machine)
                run_checked(world, 1.0)
                world.kill(machine)
                run_checked(world, 0.3)
                world.start(machine)
                run_checked(world, SYNC_S)
        assert world.changes_since(STARTUP_S + 0.01) == 0


@pytest.mark.parametrize(("outage_s", "pause_s"), [(2.3, 1.0), (2.3, 4.5), (3.0, 1.0), (4.0, 2.0)])
@pytest.mark.parametrize("machine_count", [3, 4, 5, 7])
def test_changes_under_flapping_partitions_are_bounded(
    machine_count: int, outage_s: float, pause_s: float
) -> None:
    """Two machines are isolated alternately. A change needs `DEAD_AFTER_S` without a status: at most 30 per
    min.
    """
    world = started_world(machine_count)
    flapping = list(world.machines.values())[1:3]
    started_at = world.now
    while world.now < started_at + 60.0:
        for machine in flapping:
            world.isolate(machine)
            world.run(outage_s)
            world.reconnect(machine)
        world.run(pause_s)
        assert world.has_live_quorum()
    max_changes = {3: 0, 4: 25, 5: 0, 7: 25}[machine_count]
    assert world.changes_since(started_at) <= max_changes


@pytest.mark.parametrize("machine_count", [3, 4, 5, 7])
@pytest.mark.parametrize("pair", [("m0", "m1"), ("m1", "m2")])
def test_a_partition_between_two_machines_causes_few_changes(
    machine_count: int, pair: tuple[str, str]
) -> None:
    """All others reach both. Each of the two may remove the other once, and the others add it again."""
    world = started_world(machine_count)
    world.partition(*(world.machines[ip] for ip in pair))
    run_checked(world, 60.0)
    assert world.is_change_complete() and world.changes_since(STARTUP_S + 0.01) <= 4
    world.heal_partitions()
    run_checked(world, 10.0)
    assert world.changes_since(STARTUP_S + 60.0) <= 1 and len(world.value.members.seats) == min(
        5, machine_count
    )


def test_an_unreachable_member_is_assumed_live_only_for_a_limited_time() -> None:
    monitor, old = MembershipMonitor(0.0), first("a", "b", "c")
    new = Value(2, old.version_id, Members(1, ("b/first", "c/first", "d/x")))
    for value, now in ((old, 10.0), (new, 10.5), (new, 69.0), (new, 71.0)):
        for name in ("b/first", "c/first", "e/x"):
            monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, True), now)
        found = monitor.next_proposal(value, "b/first", now, ReconfigurationGoals())
        if value is new:
            assert (found is not None) is (now > 70.5)


@pytest.mark.parametrize("machine_count", MACHINE_COUNTS)
def test_a_successor_becomes_a_member_during_continuous_puts(machine_count: int) -> None:
    """160 puts in 22 s, with a member permanently lost: a learner must be ready despite lagging changes."""
    world = started_world(machine_count)
    for number in range(160):
        if number == 20:
            world.kill(world.machines["m1"], is_removed=True)
            new, started_at = world.add_machine(1), world.now
        assert world.put(number, slow=frozenset({f"m{machine_count - 1}"}))
        run_checked(world, 0.1 if number % 2 else 0.2)
        if number > 20 and world.now >= started_at + SYNC_S:
            assert new.seat in world.value.members.seats and world.has_live_quorum(without=1)


@pytest.mark.parametrize("machine_count", MACHINE_COUNTS)
def test_a_leaving_member_exits_after_its_successor_has_replaced_it(machine_count: int) -> None:
    world = started_world(machine_count)
    leaving = world.machines["m1"]
    world.add_machine(leaving.slot)
    run_checked(world, 1.0)
    assert world.put(1, slow=frozenset({"m0"}))
    leaving.is_removed = True
    world.terminate(leaving)
    run_checked(world, 2.5)
    assert leaving.is_down and leaving.seat not in world.value.members.voters() and world.is_change_complete()
    run_checked(world, SYNC_S)
    assert len(world.value.members.seats) == machine_count


def leave_while_another_is_down(world: World) -> None:
    """The leaving member is part of the only quorum until the one that is down restarts."""
    assert world.put(1)
    world.kill(world.machines["m2"])
    world.run(1.0)
    assert world.put(2)
    world.machines["m0"].is_removed = True
    world.terminate(world.machines["m0"])
    run_checked(world, 3.0)
    world.start(world.machines["m2"])
    run_checked(world, 3.0)


def test_a_leaving_member_waits_until_a_quorum_without_it_is_up_to_date() -> None:
    leave_while_another_is_down(world := started_world(3))
    assert world.machines["m0"].is_down


def test_a_large_core_spreads_its_members_and_survives_the_loss_of_a_zone() -> None:
    """23 machines in 10 zones and 4 regions: five members in five zones; two zones are lost in turn."""
    goals = ReconfigurationGoals(1, 1, 0, {f"z{number}": f"r{number % 4}" for number in range(10)})
    world = World(23, goals, zones=10)
    world.run(20.0)
    seats = world.value.members.seats
    zones = {machine.seat: machine.zone for machine in world.machines.values()}
    assert len(seats) == 5 and len({zones[name] for name in seats}) == 5 and world.is_change_complete()
    for zone in ("z0", "z1"):
        lost = [machine for machine in world.machines.values() if machine.zone == zone]
        for machine in lost:
            world.kill(machine)
        run_checked(world, SYNC_S)
        assert world.is_change_complete() and world.has_live_quorum(without=2)
        assert not {machine.seat for machine in lost} & set(world.value.members.seats)
        for machine in lost:
            world.start(machine)
        run_checked(world, 8.0)
    assert len({zones[name] for name in world.value.members.seats}) == 5


def test_members_in_one_zone_are_replaced_by_learners_in_other_zones() -> None:
    goals = ReconfigurationGoals(1, 1)
    world = World(3, goals, zones=1)
    for number in range(6):
        world.add_machine(zone=f"y{number % 3}")
    world.run(30.0)
    zones = {machine.seat: machine.zone for machine in world.machines.values()}
    assert (
        goals.largest_loss(zones[name] for name in world.value.members.seats) <= 2
        and world.is_change_complete()
    )


@pytest.mark.parametrize("missing", [0, 1, 2])
@pytest.mark.parametrize("wiped", [False, True], ids=["late", "starts-empty-later"])
def test_a_seed_that_misses_the_first_start_becomes_a_member(missing: int, wiped: bool) -> None:
    world = World(4)
    world.kill(world.machines[f"m{missing}"])
    world.run(5.0, lambda: None if world.now < 2.0 else _assert(world.has_live_quorum()))
    assert world.put(1)
    world.start(world.machines[f"m{missing}"], wiped)
    run_checked(world, 10.0)
    assert {machine.seat for machine in world.machines.values()} == set(world.value.members.seats)


def _assert(condition: bool) -> None:
    assert condition


LOSSES = ("kill", "wipe", "freeze", "cut", "part", "end", "remove", "follow")


class RandomFaults(RuleBasedStateMachine):
    """Random sequences of puts and losses, one loss at a time as `tolerance` counts them."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(3)
        self.number = 0

    @initialize(machine_count=st.sampled_from(MACHINE_COUNTS), spare_count=st.integers(0, 1))
    def begin(self, machine_count: int, spare_count: int) -> None:
        self.world = started_world(machine_count)
        for _ in range(spare_count):
            self.world.add_machine()
            run_checked(self.world, STARTUP_S)

    def slots(self) -> dict[int, Machine]:
        return {machine.slot: machine for machine in self.world.machines.values()}

    def are_all_healthy(self) -> bool:
        return not any(map(self.world.is_lost, self.slots()))

    @precondition(lambda self: self.are_all_healthy())
    @rule(pick=st.integers(0, 9), how=st.sampled_from(LOSSES))
    def lose(self, pick: int, how: str) -> None:
        slots = self.slots()
        machine = slots[sorted(slots)[pick % len(slots)]]
        match how:
            case "kill":
                self.world.kill(machine)
            case "wipe":
                self.world.kill(machine)
                self.world.start(machine, wiped=True)
            case "freeze":
                self.world.freeze(machine)
            case "cut":
                self.world.isolate(machine)
            case "part":
                self.world.partition(machine, next(other for other in slots.values() if other is not machine))
            case "end":
                self.world.terminate(machine)
            case "remove":
                self.world.kill(machine, is_removed=True)
            case "follow":
                machine.is_removed = True
                self.world.terminate(machine)
                self.world.add_machine(machine.slot)

    @rule()
    def make_all_healthy(self) -> None:
        self.world.heal_partitions()
        for machine in self.slots().values():
            if machine.is_removed:
                self.world.add_machine(machine.slot)
            elif machine.is_down:
                self.world.start(machine)
            elif machine.is_frozen:
                self.world.resume(machine)
            elif machine.is_isolated:
                self.world.reconnect(machine)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5, SYNC_S, 7.0]))
    def wait(self, seconds: float) -> None:
        run_checked(self.world, seconds)

    @rule(slow=st.sets(st.sampled_from([f"m{number}" for number in range(6)]), max_size=3))
    def put(self, slow: set[str]) -> None:
        self.number += 1
        assert self.world.put(self.number, frozenset(slow))

    @invariant()
    def has_live_quorum(self) -> None:
        assert self.world.has_live_quorum() and self.world.retains_decided_value()
        for _, members in self.world.decided_lists:
            assert 3 <= len(members.seats) <= 5

    def teardown(self) -> None:
        for _ in range(2):
            self.make_all_healthy()
            run_checked(self.world, 16.0)
        live = [machine.seat for machine in self.slots().values()]
        members = self.world.value.members
        assert self.world.is_change_complete() and len(set(live) & set(members.seats)) == min(5, len(live))


TestRandomFaults = RandomFaults.TestCase
TestRandomFaults.settings = settings(max_examples=50, stateful_step_count=20, deadline=None, derandomize=True)


# Planted bugs, each of which must be detected by one of the scenarios


def is_quorum_with_learners(self: Members, present: Iterable[str]) -> bool:
    return all(len(set(present)) >= majority(seats) for seats in (self.seats, self.former) if seats)


def old_list_only(old: Value, new: Value) -> tuple[Members, ...]:
    return (Members(0, old.members.former or old.members.seats),)


def remove_all_dead(view: MembershipView) -> frozenset[str] | None:
    dead = view.seats - view.live(view.seats)
    return view.seats - dead if dead else None


def replacements(world: World) -> None:
    """Leaving members with successors, and puts that some machines accept late."""
    for number in range(6):
        old = next(machine for machine in world.machines.values() if not machine.is_removed)
        world.add_machine(old.slot)
        run_checked(world, 1.5)
        old.is_removed = True
        world.terminate(old)
        for step in range(8):
            fast = {machine.ip for machine in list(world.machines.values())[-2:]}
            world.put(10 * number + step, slow=frozenset(set(world.machines) - fast))
            run_checked(world, 0.5)


def losses(world: World) -> None:
    for number in range(3):
        world.kill(world.machines[f"m{number}"])
        run_checked(world, 5.0)
        world.start(world.machines[f"m{number}"])
        run_checked(world, SYNC_S)
        if any(len(members.seats) < 3 for _, members in world.decided_lists):
            raise InvariantViolation("fewer members than the tolerance needs", world.decided_lists)


@pytest.mark.parametrize("scenario", [replacements, losses, leave_while_another_is_down])
def test_the_scenarios_pass_without_a_planted_bug(scenario: Callable[[World], None]) -> None:
    scenario(started_world(3))


def test_counting_learners_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    world = started_world(3)
    monkeypatch.setattr(Members, "is_quorum", is_quorum_with_learners)
    with pytest.raises(InvariantViolation):
        replacements(world)


def test_a_change_by_the_old_majority_only_is_detected() -> None:
    with pytest.raises(InvariantViolation):
        replacements(started_world(3, quorum_lists=old_list_only))


def test_a_leaving_member_that_exits_at_once_is_detected() -> None:
    with pytest.raises(InvariantViolation):
        leave_while_another_is_down(started_world(3, may_exit=lambda value, monitor, own, now: True))


def test_a_removal_below_the_tolerance_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    world = started_world(3)
    monkeypatch.setattr(reconfiguration, "RULES", (remove_all_dead, *reconfiguration.RULES))
    with pytest.raises(InvariantViolation):
        losses(world)


def test_a_seat_is_formatted_as_address_and_disk() -> None:
    assert format_seat("10.0.0.1", INITIAL_DISK_ID) == "10.0.0.1/first"
