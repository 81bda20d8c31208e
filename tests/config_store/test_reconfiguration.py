"""Who is a member next: the policy by itself, in a core in virtual time, and with bugs that must be found."""

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

CORES = (3, 4, 5)
BEGUN = 10.0  # s until a core is whole: the fourth machine is a member `sync` after its start, the fifth next
SECOND = 4.0  # s: `sync_s`, from when on another loss must be borne


def begun(cores: int, **given: object) -> World:
    world = World(cores, **given)  # type: ignore[arg-type]
    world.run(BEGUN)
    assert world.is_change_complete() and len(world.value.members.seats) == min(5, cores)
    return world


class Breach(AssertionError):
    """The judge of the core in virtual time found one."""


def watched(world: World, seconds: float) -> None:
    """Let time pass; a quorum lives and holds what is decided all the while. Breach where it does not."""

    def check() -> None:
        if not world.has_live_quorum():
            raise Breach("no quorum lives", world.now, world.value.members, world.live_seats())
        if not world.retains_decided_value():
            raise Breach("a quorum holds less than is decided", world.now, world.value.members)

    world.run(seconds, check)


def statuses_of(*seats: str, at: float = 10.0, value: Value) -> dict[str, PeerStatus]:
    return {
        name: PeerStatus(at, ReplicaStatus(name, "z", NO_BALLOT, value, value, True), 0.0) for name in seats
    }


# The policy by itself


def first(*ips: str) -> Value:
    return Value.initial(Members.initial(ips))


def test_an_unsettled_list_is_settled_first() -> None:
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
    assert is_proposer(value, statuses, "b/first", 10.0, 0.0)  # a is silent
    assert not is_proposer(value, statuses, "c/first", 10.0, 0.9)
    assert is_proposer(value, statuses, "c/first", 10.0, 1.0)


def test_silence_counts_from_when_this_process_listens() -> None:
    value = first("a", "b", "c")
    statuses = statuses_of("a/first", "b/first", "d/x", at=100.0, value=value)
    goals, now = ReconfigurationGoals(), 100.0
    assert next_members(value, statuses, "a/first", now, goals, now - DEAD_AFTER_S / 2) is None
    assert next_members(value, statuses, "a/first", now, goals, now - DEAD_AFTER_S) is not None


@pytest.mark.parametrize(
    ("change", "holds", "goes"),
    [(100, True, True), (96, True, True), (95, True, False), (100, False, False), (-1, True, False)],
)
def test_a_learner_is_ready_when_it_holds_one_of_the_newest(change: int, holds: bool, goes: bool) -> None:
    value = Value(100, first("a").version_id, Members.initial("abc"))
    statuses = statuses_of("a/first", "b/first", value=value)
    behind = Value(change, value.version_id, value.members)
    statuses["d/x"] = PeerStatus(10.0, ReplicaStatus("d/x", "z", NO_BALLOT, behind, behind, holds), 0.0)
    assert (next_members(value, statuses, "a/first", 10.0, ReconfigurationGoals()) is not None) is goes


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


def test_what_begins_to_hold_is_told_once() -> None:
    monitor, value = MembershipMonitor(0.0), first("a", "b", "c")
    for name in ("a/first", "b/first", "d/x"):
        monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, True), 10.0)
    assert monitor.new_events(value, "a/first", 10.0) == [(222, "c/first"), (223, "d/x")]
    assert monitor.new_events(value, "a/first", 10.1) == []
    for name in ("b/y", "c/z"):
        monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, False), 10.2)
    assert monitor.new_events(value, "a/first", 10.3) == [(222, "b/first"), (226, "a/first")]


def test_all_disks_lost_is_told_once_every_start_is_over() -> None:
    monitor, nothing = MembershipMonitor(0.0), Value(-1, first("a").version_id, Members(-1, ()))
    monitor.record_status(ReplicaStatus("b/y", "z", NO_BALLOT, nothing, nothing, False), 14.0)
    assert monitor.new_events(nothing, "a/x", 14.9) == []
    assert monitor.new_events(nothing, "a/x", 15.0) == [(226, "a/x")]
    monitor.record_status(ReplicaStatus("c/z", "z", NO_BALLOT, nothing, first("c"), False), 15.0)
    assert monitor.new_events(nothing, "a/x", 15.1) == []


def test_what_is_remembered_is_bounded() -> None:
    monitor, value = MembershipMonitor(0.0), first("a")
    for number in range(3 * MAX_TRACKED_LEARNERS):
        monitor.record_status(ReplicaStatus(f"l{number}/x", "z", NO_BALLOT, value, value, True), number / 100)
    monitor.next_proposal(value, "a/first", 10.0, ReconfigurationGoals())
    assert len(monitor.statuses) == MAX_TRACKED_LEARNERS
    monitor.next_proposal(value, "a/first", 90.0, ReconfigurationGoals())
    assert not monitor.statuses


# A core in virtual time


@pytest.mark.parametrize("cores", CORES)
@pytest.mark.parametrize("lead", [-1.0, 0.0, 1.0], ids=["successor-first", "at-once", "successor-later"])
@pytest.mark.parametrize("how", ["kill", "terminate"])
def test_ten_replacements_at_new_addresses(cores: int, lead: float, how: str) -> None:
    """Six seconds apart; the program before answered no read after the second."""
    world = begun(cores)
    for number in range(10):
        old = next(machine for machine in world.machines.values() if not machine.is_removed)
        began = world.now

        def goes(old: Machine = old) -> None:
            if how == "kill":
                world.kill(old, is_removed=True)
            else:
                old.is_removed = True
                world.terminate(old)

        if lead <= 0:
            new = world.add_machine(old.slot)
            watched(world, -lead)
            goes()
        else:
            goes()
            watched(world, lead)
            new = world.add_machine(old.slot)
        watched(world, new.healthy_since + SECOND - world.now)
        assert world.is_change_complete() and world.has_live_quorum(without=1), (
            number,
            world.value.members,
            world.live_seats(),
        )
        assert new.seat in world.value.members.seats
        watched(world, began + 6.0 - world.now)
        assert world.put(number)


@pytest.mark.parametrize("cores", CORES)
@pytest.mark.parametrize("wiped", [False, True], ids=["with-its-disk", "wiped"])
@pytest.mark.parametrize("down", [0.5, 1.9, 2.5, 8.0])
def test_a_second_loss_right_after_a_return(cores: int, wiped: bool, down: float) -> None:
    world = begun(cores)
    for number in range(2 * cores):
        machine = list(world.machines.values())[number % cores]
        assert world.put(number, slow=frozenset({f"m{(number + 1) % cores}"}))
        world.kill(machine)
        watched(world, down)
        world.start(machine, wiped)
        watched(world, SECOND)
        assert world.has_live_quorum(without=1)
    watched(world, 8.0)
    assert len(world.value.members.seats) == cores and world.is_change_complete()


@pytest.mark.parametrize("off", [1.0, 1.5])
def test_a_short_silence_changes_nothing(off: float) -> None:
    for cores in (*CORES, 7):
        world = begun(cores)
        for _ in range(4):
            for machine in list(world.machines.values()):
                world.isolate(machine)
                watched(world, off)
                world.reconnect(machine)
                watched(world, 1.0)
                world.kill(machine)
                watched(world, 0.3)
                world.start(machine)
                watched(world, SECOND)
        assert world.changes_since(BEGUN + 0.01) == 0


@pytest.mark.parametrize(("off", "on"), [(2.3, 1.0), (2.3, 4.5), (3.0, 1.0), (4.0, 2.0)])
@pytest.mark.parametrize("cores", [3, 4, 5, 7])
def test_cuts_that_flap_are_bounded(cores: int, off: float, on: float) -> None:
    """Two machines by turns; a change needs a silence of DEAD before it: 30 a minute at most."""
    world = begun(cores)
    flapping = list(world.machines.values())[1:3]
    began = world.now
    while world.now < began + 60.0:
        for machine in flapping:
            world.isolate(machine)
            world.run(off)
            world.reconnect(machine)
        world.run(on)
        assert world.has_live_quorum()
    most = {3: 0, 4: 25, 5: 0, 7: 25}[cores]
    assert world.changes_since(began) <= most


@pytest.mark.parametrize("cores", [3, 4, 5, 7])
@pytest.mark.parametrize("pair", [("m0", "m1"), ("m1", "m2")])
def test_two_that_do_not_hear_each_other_change_little(cores: int, pair: tuple[str, str]) -> None:
    """All others hear both. Each may leave the other out once, and the others bring it back in."""
    world = begun(cores)
    world.partition(*(world.machines[ip] for ip in pair))
    watched(world, 60.0)
    assert world.is_change_complete() and world.changes_since(BEGUN + 0.01) <= 4
    world.heal_partitions()
    watched(world, 10.0)
    assert world.changes_since(BEGUN + 60.0) <= 1 and len(world.value.members.seats) == min(5, cores)


def test_a_member_that_only_a_dead_one_heard_is_not_kept_for_ever() -> None:
    monitor, old = MembershipMonitor(0.0), first("a", "b", "c")
    new = Value(2, old.version_id, Members(1, ("b/first", "c/first", "d/x")))
    for value, at in ((old, 10.0), (new, 10.5), (new, 69.0), (new, 71.0)):
        for name in ("b/first", "c/first", "e/x"):
            monitor.record_status(ReplicaStatus(name, "z", NO_BALLOT, value, value, True), at)
        found = monitor.next_proposal(value, "b/first", at, ReconfigurationGoals())
        if value is new:
            assert (found is not None) is (at > 70.5)


@pytest.mark.parametrize("cores", CORES)
def test_a_successor_comes_in_while_orders_go_on(cores: int) -> None:
    """160 in 22 s with a member gone for good."""
    world = begun(cores)
    for number in range(160):
        if number == 20:
            world.kill(world.machines["m1"], is_removed=True)
            new, began = world.add_machine(1), world.now
        assert world.put(number, slow=frozenset({f"m{cores - 1}"}))
        watched(world, 0.1 if number % 2 else 0.2)
        if number > 20 and world.now >= began + SECOND:
            assert new.seat in world.value.members.seats and world.has_live_quorum(without=1)


@pytest.mark.parametrize("cores", CORES)
def test_a_leaver_with_a_successor_goes_last(cores: int) -> None:
    world = begun(cores)
    leaver = world.machines["m1"]
    world.add_machine(leaver.slot)
    watched(world, 1.0)
    assert world.put(1, slow=frozenset({"m0"}))
    leaver.is_removed = True
    world.terminate(leaver)
    watched(world, 2.5)
    assert leaver.is_down and leaver.seat not in world.value.members.voters() and world.is_change_complete()
    watched(world, SECOND)
    assert len(world.value.members.seats) == cores


def leave_while_another_is_away(world: World) -> None:
    """The leaver is of the only quorum there is, until the one that is away is back."""
    assert world.put(1)
    world.kill(world.machines["m2"])
    world.run(1.0)
    assert world.put(2)
    world.machines["m0"].is_removed = True
    world.terminate(world.machines["m0"])
    watched(world, 3.0)
    world.start(world.machines["m2"])
    watched(world, 3.0)


def test_a_leaver_waits_until_others_hold_what_it_holds() -> None:
    leave_while_another_is_away(world := begun(3))
    assert world.machines["m0"].is_down


def test_a_large_core_spreads_its_members_and_loses_a_zone() -> None:
    """23 machines in 10 zones and 4 regions: five vote, in five zones; two zones are lost in turn."""
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
        watched(world, SECOND)
        assert world.is_change_complete() and world.has_live_quorum(without=2)
        assert not {machine.seat for machine in lost} & set(world.value.members.seats)
        for machine in lost:
            world.start(machine)
        watched(world, 8.0)
    assert len({zones[name] for name in world.value.members.seats}) == 5


def test_members_of_one_zone_are_changed_for_some_elsewhere() -> None:
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


@pytest.mark.parametrize("late", [0, 1, 2])
@pytest.mark.parametrize("wiped", [False, True], ids=["late", "starts-empty-later"])
def test_a_start_that_one_of_the_seeds_misses(late: int, wiped: bool) -> None:
    world = World(4)
    world.kill(world.machines[f"m{late}"])
    world.run(5.0, lambda: None if world.now < 2.0 else _assert(world.has_live_quorum()))
    assert world.put(1)
    world.start(world.machines[f"m{late}"], wiped)
    watched(world, 10.0)
    assert {machine.seat for machine in world.machines.values()} == set(world.value.members.seats)


def _assert(holds: bool) -> None:
    assert holds


LOSSES = ("kill", "wipe", "freeze", "cut", "part", "end", "remove", "follow")


class Days(RuleBasedStateMachine):
    """Any order of losses, one at a time as `tolerance` counts them, and of orders."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(3)
        self.number = 0

    @initialize(cores=st.sampled_from(CORES), spare=st.integers(0, 1))
    def begin(self, cores: int, spare: int) -> None:
        self.world = begun(cores)
        for _ in range(spare):
            self.world.add_machine()
            watched(self.world, BEGUN)

    def slots(self) -> dict[int, Machine]:
        return {machine.slot: machine for machine in self.world.machines.values()}

    def all_well(self) -> bool:
        return not any(map(self.world.is_lost, self.slots()))

    @precondition(lambda self: self.all_well())
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
    def mend(self) -> None:
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

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5, SECOND, 7.0]))
    def wait(self, seconds: float) -> None:
        watched(self.world, seconds)

    @rule(slow=st.sets(st.sampled_from([f"m{number}" for number in range(6)]), max_size=3))
    def order(self, slow: set[str]) -> None:
        self.number += 1
        assert self.world.put(self.number, frozenset(slow))

    @invariant()
    def holds(self) -> None:
        assert self.world.has_live_quorum() and self.world.retains_decided_value()
        for _, members in self.world.decided_lists:
            assert 3 <= len(members.seats) <= 5

    def teardown(self) -> None:
        for _ in range(2):
            self.mend()
            watched(self.world, 16.0)
        live = [machine.seat for machine in self.slots().values()]
        members = self.world.value.members
        assert self.world.is_change_complete() and len(set(live) & set(members.seats)) == min(5, len(live))


TestDays = Days.TestCase
TestDays.settings = settings(max_examples=50, stateful_step_count=20, deadline=None, derandomize=True)


# Planted bugs, each of which the days above must find


def learners_count(self: Members, present: Iterable[str]) -> bool:
    return all(len(set(present)) >= majority(seats) for seats in (self.seats, self.former) if seats)


def old_majority_alone(old: Value, new: Value) -> tuple[Members, ...]:
    return (Members(0, old.members.former or old.members.seats),)


def drops_all_dead(view: MembershipView) -> frozenset[str] | None:
    dead = view.seats - view.live(view.seats)
    return view.seats - dead if dead else None


def replacements(world: World) -> None:
    """Leavers with successors, orders that some take late."""
    for number in range(6):
        old = next(machine for machine in world.machines.values() if not machine.is_removed)
        world.add_machine(old.slot)
        watched(world, 1.5)
        old.is_removed = True
        world.terminate(old)
        for step in range(8):
            quick = {machine.ip for machine in list(world.machines.values())[-2:]}
            world.put(10 * number + step, slow=frozenset(set(world.machines) - quick))
            watched(world, 0.5)


def losses(world: World) -> None:
    for number in range(3):
        world.kill(world.machines[f"m{number}"])
        watched(world, 5.0)
        world.start(world.machines[f"m{number}"])
        watched(world, SECOND)
        if any(len(members.seats) < 3 for _, members in world.decided_lists):
            raise Breach("fewer members than tolerance needs", world.decided_lists)


@pytest.mark.parametrize("day", [replacements, losses, leave_while_another_is_away])
def test_the_days_that_find_bugs_find_none_here(day: Callable[[World], None]) -> None:
    day(begun(3))


def test_learners_that_count_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    world = begun(3)
    monkeypatch.setattr(Members, "is_quorum", learners_count)
    with pytest.raises(Breach):
        replacements(world)


def test_a_list_changed_by_the_old_majority_alone_is_found() -> None:
    with pytest.raises(Breach):
        replacements(begun(3, quorum_lists=old_majority_alone))


def test_a_leaver_that_goes_first_is_found() -> None:
    with pytest.raises(Breach):
        leave_while_another_is_away(begun(3, may_exit=lambda value, monitor, own, now: True))


def test_a_removal_below_tolerance_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    world = begun(3)
    monkeypatch.setattr(reconfiguration, "RULES", (drops_all_dead, *reconfiguration.RULES))
    with pytest.raises(Breach):
        losses(world)


def test_seats_are_an_address_and_a_disk() -> None:
    assert format_seat("10.0.0.1", INITIAL_DISK_ID) == "10.0.0.1/first"
