"""The store's register: its ballots in random order, and the store's own program in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st
from returns.result import Success

from benchmarks.register_states import PLANS, Plan, Search, orders
from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.consensus.proposer import Proposer
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN,
    AcceptorState,
    Ballot,
    BallotAttempt,
    PutOutcome,
    Step,
    Value,
    put,
    unchanged,
)
from irisdeal.config_store.membership.decided_value import decided_among, value_for_read
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.replica import StoreReplica
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.simulation.cluster.cluster import FIRST_PORT, Stage, pause
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine

FIRST = Value.first(Members(0, ("a", "b", "c")))


# Pure


@trying(deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.sampled_from(sorted(PLANS)))
def test_long_random_ways_break_no_rule(seed: int, name: str) -> None:
    chance, plan = random.Random(seed), PLANS[name]
    version_ids = [VersionId(number, bytes([number])) for number in range(1, 5)]
    programs = (*plan.programs[:-1], orders(*version_ids))
    more = Plan(
        plan.seats,
        plan.first,
        programs,
        tuple(6 for _ in plan.ballots),
        2,
        plan.again,
        plan.wiped,
        plan.there,
        3,
    )
    search = Search(more)
    state = search.begin()
    for _ in range(150):
        steps = list(search.next(state))
        assert not search.broken, search.broken
        if not steps:
            break
        _, state = chance.choice(steps)


def test_a_base_with_another_list_is_finished_as_it_is() -> None:
    joint = FIRST.members.enter_joint(("a", "b", "d"))
    accepted = AcceptorState(Ballot(1, "a"), Ballot(1, "a"), Value(1, FIRST.version_id, joint))
    ballot = BallotAttempt(Ballot(2, "b"), FIRST.members, put(VersionId(1, b"x")))
    empty = AcceptorState(Ballot(2, "b"), NO_BALLOT, UNKNOWN)
    ballot.on_prepare_reply("a", True, accepted)
    ballot.on_prepare_reply("d", True, empty)
    assert ballot.step is Step.PREPARING  # a and d are no old quorum
    assert ballot.targets() == {"a", "b", "c", "d"}
    assert (
        ballot.on_prepare_reply("b", True, AcceptorState(Ballot(2, "b"), NO_BALLOT, FIRST)) is Step.ACCEPTING
    )
    assert ballot.value == accepted.value
    for seat in ("b", "d"):
        assert ballot.on_accept_reply(seat, True, ballot.ballot) is Step.ACCEPTING
    assert ballot.on_accept_reply("a", True, ballot.ballot) is Step.DECIDED


def test_an_empty_disk_is_never_what_a_ballot_begins_from() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, UNKNOWN))
    ballot.on_prepare_reply("b", True, AcceptorState(ballot.ballot, NO_BALLOT, FIRST))
    assert ballot.value == FIRST


def test_a_promise_whose_answer_was_lost_counts_when_asked_again() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, FIRST))
    assert (
        ballot.on_prepare_reply("b", False, AcceptorState(ballot.ballot, NO_BALLOT, FIRST)) is Step.ACCEPTING
    )
    other = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    assert other.on_prepare_reply("b", False, AcceptorState(Ballot(2, "b"), NO_BALLOT, FIRST)) is Step.LOST
    assert other.above == Ballot(2, "b")


def test_what_is_read_is_decided_and_of_a_quorum() -> None:
    new = put(VersionId(1, b"x"))(FIRST)

    def report(seat: str, ballot: Ballot, value: Value) -> ReplicaStatus:
        return ReplicaStatus(seat, "z", ballot, value, FIRST, True)

    one, old = report("a", Ballot(1, "a"), new), report("b", NO_BALLOT, FIRST)
    assert value_for_read([one], FIRST.members) is None
    assert value_for_read([one, old], FIRST.members) is None  # may be decided by a and c, or be lost
    assert value_for_read([one, report("c", Ballot(1, "a"), new), old], FIRST.members) == new
    assert value_for_read([old, report("c", NO_BALLOT, FIRST)], FIRST.members) == FIRST
    assert decided_among([one, old]) is None
    empty = report("d", NO_BALLOT, UNKNOWN)
    assert decided_among([empty]) is None and value_for_read([empty], UNKNOWN.members) is None


# The program


def version(number: int, text: str = "") -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", b"r%d %s" % (number, text.encode()))


Act = Callable[[Machine], Coroutine[Any, Any, None]]


class Play:
    """A store in virtual time, and callers of it."""

    def __init__(self, count: int, seed: int, make: Callable[..., StoreReplica] = StoreReplica) -> None:
        self.stage, self.left = Stage(count, seed, make), 0
        self.hosts = list(self.stage.hosts)
        self.failed: list[AssertionError] = []
        self.links: dict[tuple[str, str], RpcClient] = {}
        for host in self.hosts:
            self.stage.start(host, True)

    async def call(self, machine: Machine, host: str, kind: str, body: Any, within: float = 1.0) -> Any:
        """The answer, or None."""
        key = machine.name, host
        if key not in self.links:
            self.links[key] = RpcClient((host, FIRST_PORT + ports.CONFIG_STORE), machine.name)
        answer = await self.links[key].call(kind, body, within)
        return answer.unwrap() if isinstance(answer, Success) else None

    async def put(self, machine: Machine, host: str, order: ConfigVersion) -> PutOutcome:
        told = await self.call(
            machine, host, "put", [order.version_id.number, order.version_id.digest, order.body]
        )
        return PutOutcome.UNDECIDED if told is None else PutOutcome(told)

    async def until_taken(self, machine: Machine, hosts: list[str], order: ConfigVersion) -> PutOutcome:
        """As the operator does: to any of them, with a pause that grows."""
        for attempt in range(60):
            outcome = await self.put(machine, self.stage.chance.choice(hosts), order)
            if outcome is not PutOutcome.UNDECIDED:
                return outcome
            await pause(machine, min(0.5, 0.05 * 2**attempt))
        return PutOutcome.UNDECIDED

    def caller(self, act: Act, after: float = 2.0) -> None:
        self.left += 1
        machine = self.stage.new_caller(f"caller-{len(self.stage.callers)}")

        async def run() -> int:
            await pause(machine, after)
            try:
                await act(machine)
            except AssertionError as error:
                self.failed.append(error)
            self.left -= 1
            return 0

        machine.start(run())

    def play(self, most: float = 60.0) -> None:
        self.stage.run(lambda: self.left == 0, most)
        for failed in self.failed:
            raise failed
        errors = [error for machine in self.stage.machines.values() for error in machine.errors]
        assert not errors, errors


@pytest.mark.parametrize("count", (3, 4))
@pytest.mark.parametrize("seed", range(6))
def test_eight_orders_at_once_all_end(count: int, seed: int) -> None:
    """No two ballots chase each other: all end within half of what a site gives, whatever the disks."""
    play = Play(count, seed)
    took: list[float] = []
    outcomes: list[PutOutcome] = []

    def order(number: int) -> Act:
        async def act(machine: Machine) -> None:
            begun = machine.time()
            outcomes.append(await play.until_taken(machine, [play.hosts[number % count]], version(number)))
            took.append(machine.time() - begun)

        return act

    for number in range(1, 9):
        play.caller(order(number))
    play.play()
    print(f"{count} members, seed {seed}: {sorted(round(1000 * one) for one in took)} ms")
    assert outcomes == [PutOutcome.DECIDED] * 8
    assert max(took) < 2.5


@pytest.mark.parametrize("seed", range(4))
def test_two_bodies_under_one_number_and_orders_again(seed: int) -> None:
    """One is decided, the other is told so; each number is confirmed again by any, whatever holds."""
    play = Play(3, seed)
    found: list[list[Any]] = []

    def order(text: str, host: str) -> Act:
        async def act(machine: Machine) -> None:
            found.append([await play.until_taken(machine, [host], version(1, text)), text])

        return act

    async def again(machine: Machine) -> None:
        decided = next(text for outcome, text in found if outcome is PutOutcome.DECIDED)
        for host in play.hosts:
            assert await play.until_taken(machine, [host], version(1, decided)) is PutOutcome.DECIDED
            assert await play.call(machine, host, "read", None) == [True, version(1, decided).body]
        assert await play.until_taken(machine, play.hosts, version(2)) is PutOutcome.DECIDED
        for host in play.hosts:
            assert await play.until_taken(machine, [host], version(1, decided)) is PutOutcome.DECIDED
        found.append([])

    play.caller(order("one", play.hosts[0]))
    play.caller(order("other", play.hosts[1]))
    play.caller(again, 6.0)
    play.play()
    assert sorted(one[0] for one in found if one) == [PutOutcome.DECIDED, PutOutcome.CONFLICT]
    assert found[-1] == []


class RefusesAgain(Proposer):
    """Planted: an order that is not above what holds is told to be another."""

    def known_outcome(self, version_id: VersionId) -> PutOutcome | None:
        found = super().known_outcome(version_id)
        is_above = self.acceptor.decided.version_id.number > version_id.number
        return PutOutcome.CONFLICT if found is not None and is_above else found


def test_an_order_that_is_refused_again_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("irisdeal.config_store.replica.Proposer", RefusesAgain)
    with pytest.raises(AssertionError):
        test_two_bodies_under_one_number_and_orders_again(0)


def test_without_contact_nothing_is_confirmed_read_or_refused_and_it_is_said_at_once() -> None:
    play = Play(3, 1)
    done: list[float] = []

    async def act(machine: Machine) -> None:
        host = play.hosts[0]
        assert await play.until_taken(machine, play.hosts, version(1)) is PutOutcome.DECIDED
        play.stage.cut(host, True)
        await pause(machine, 3.0)
        begun = machine.time()
        assert await play.put(machine, host, version(2)) is PutOutcome.UNDECIDED
        assert await play.put(machine, host, version(1)) is PutOutcome.UNDECIDED
        assert await play.put(machine, host, version(1, "another")) is PutOutcome.UNDECIDED
        assert await play.call(machine, host, "read", None) == [False, None]
        assert (await play.call(machine, host, "watch", [[-1, b"", -1, b"", 0], -1]))[3] == -1
        assert machine.time() - begun < 0.1
        assert await play.until_taken(machine, play.hosts[1:], version(2)) is PutOutcome.DECIDED
        play.stage.cut(host, False)
        begun = machine.time()
        while await play.call(machine, host, "read", None) != [True, version(2).body]:
            await pause(machine, 0.05)
        done.append(machine.time() - begun)

    play.caller(act)
    play.play()
    assert done and done[0] < 2.0, done


def test_a_slow_disk_holds_up_neither_states_nor_contact() -> None:
    play = Play(3, 2)
    longest = [0.0]

    async def asks(machine: Machine) -> None:
        play.stage.machines[play.hosts[0]].disk_time = 1_500_000
        play.caller(orders_there, 0.0)
        for _ in range(60):
            begun = machine.time()
            assert await play.call(machine, play.hosts[0], "state", None) is not None
            longest[0] = max(longest[0], machine.time() - begun)
            assert play.stage.members[play.hosts[0]].has_contact()
            await pause(machine, 0.05)

    async def orders_there(machine: Machine) -> None:
        assert await play.until_taken(machine, play.hosts, version(1)) is PutOutcome.DECIDED
        assert await play.put(machine, play.hosts[1], version(2)) is PutOutcome.DECIDED

    play.caller(asks, 3.0)
    play.play()
    assert longest[0] < 0.02, longest


@pytest.mark.parametrize("missing", (0, 2))
def test_who_misses_the_first_start_comes_to_count(missing: int) -> None:
    """One of three seeds does not start with the others, and comes later: empty disk, `bootstrap` false."""
    play = Play(3, 3)
    host = play.hosts[missing]
    others = [other for other in play.hosts if other != host]
    play.stage.machines[host].kill()
    play.stage.disks[host] = MemoryDisk()

    async def act(machine: Machine) -> None:
        assert await play.until_taken(machine, others, version(1)) is PutOutcome.DECIDED
        play.stage.start(host)
        await pause(machine, 4.0)
        play.stage.kill(others[0])
        assert await play.until_taken(machine, [host], version(2)) is PutOutcome.DECIDED
        assert await play.call(machine, others[1], "read", None) == [True, version(2).body]

    play.caller(act)
    play.play()


def test_before_any_order_a_read_knows_that_there_is_none() -> None:
    play = Play(3, 4)

    async def act(machine: Machine) -> None:
        assert await play.call(machine, play.hosts[0], "read", None) == [True, None]

    play.caller(act)
    play.play()
