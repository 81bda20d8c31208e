"""The consensus register: ballots in random order, and the replicas' own program in virtual time."""

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
    UNKNOWN_VALUE,
    AcceptorState,
    Ballot,
    BallotAttempt,
    BallotStep,
    PutOutcome,
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

FIRST = Value.initial(Members(0, ("a", "b", "c")))


# Pure


@trying(deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.sampled_from(sorted(PLANS)))
def test_long_random_runs_break_no_rule(seed: int, name: str) -> None:
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


def test_a_value_with_another_member_list_is_proposed_unchanged() -> None:
    joint = FIRST.members.enter_joint(("a", "b", "d"))
    accepted = AcceptorState(Ballot(1, "a"), Ballot(1, "a"), Value(1, FIRST.version_id, joint))
    ballot = BallotAttempt(Ballot(2, "b"), FIRST.members, put(VersionId(1, b"x")))
    empty = AcceptorState(Ballot(2, "b"), NO_BALLOT, UNKNOWN_VALUE)
    ballot.on_prepare_reply("a", True, accepted)
    ballot.on_prepare_reply("d", True, empty)
    assert ballot.step is BallotStep.PREPARING  # a and d are no old quorum
    assert ballot.targets() == {"a", "b", "c", "d"}
    assert (
        ballot.on_prepare_reply("b", True, AcceptorState(Ballot(2, "b"), NO_BALLOT, FIRST))
        is BallotStep.ACCEPTING
    )
    assert ballot.value == accepted.value
    for seat in ("b", "d"):
        assert ballot.on_accept_reply(seat, True, ballot.ballot) is BallotStep.ACCEPTING
    assert ballot.on_accept_reply("a", True, ballot.ballot) is BallotStep.DECIDED


def test_a_ballot_never_starts_from_an_empty_disk() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, UNKNOWN_VALUE))
    ballot.on_prepare_reply("b", True, AcceptorState(ballot.ballot, NO_BALLOT, FIRST))
    assert ballot.value == FIRST


def test_a_promise_whose_answer_was_lost_counts_when_asked_again() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, FIRST))
    assert (
        ballot.on_prepare_reply("b", False, AcceptorState(ballot.ballot, NO_BALLOT, FIRST))
        is BallotStep.ACCEPTING
    )
    other = BallotAttempt(Ballot(1, "a"), FIRST.members, unchanged)
    assert (
        other.on_prepare_reply("b", False, AcceptorState(Ballot(2, "b"), NO_BALLOT, FIRST)) is BallotStep.LOST
    )
    assert other.preempted_by == Ballot(2, "b")


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
    empty = report("d", NO_BALLOT, UNKNOWN_VALUE)
    assert decided_among([empty]) is None and value_for_read([empty], UNKNOWN_VALUE.members) is None


# The program


def version(number: int, text: str = "") -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", b"r%d %s" % (number, text.encode()))


Script = Callable[[Machine], Coroutine[Any, Any, None]]


class SimulatedStore:
    """A configuration store in virtual time, and its callers."""

    def __init__(self, count: int, seed: int, make: Callable[..., StoreReplica] = StoreReplica) -> None:
        self.cluster, self.left = Stage(count, seed, make), 0
        self.hosts = list(self.cluster.hosts)
        self.failed: list[AssertionError] = []
        self.links: dict[tuple[str, str], RpcClient] = {}
        for host in self.hosts:
            self.cluster.start(host, True)

    async def call(self, machine: Machine, host: str, kind: str, body: Any, within: float = 1.0) -> Any:
        """The answer, or None."""
        key = machine.name, host
        if key not in self.links:
            self.links[key] = RpcClient((host, FIRST_PORT + ports.CONFIG_STORE), machine.name)
        answer = await self.links[key].call(kind, body, within)
        return answer.unwrap() if isinstance(answer, Success) else None

    async def put(self, machine: Machine, host: str, order: ConfigVersion) -> PutOutcome:
        reply = await self.call(
            machine, host, "put", [order.version_id.number, order.version_id.digest, order.body]
        )
        return PutOutcome.UNDECIDED if reply is None else PutOutcome(reply)

    async def put_until_answered(
        self, machine: Machine, hosts: list[str], order: ConfigVersion
    ) -> PutOutcome:
        """As the operator does: to any of them, with exponential backoff."""
        for attempt in range(60):
            outcome = await self.put(machine, self.cluster.chance.choice(hosts), order)
            if outcome is not PutOutcome.UNDECIDED:
                return outcome
            await pause(machine, min(0.5, 0.05 * 2**attempt))
        return PutOutcome.UNDECIDED

    def start_caller(self, act: Script, after: float = 2.0) -> None:
        self.left += 1
        machine = self.cluster.new_caller(f"caller-{len(self.cluster.callers)}")

        async def run() -> int:
            await pause(machine, after)
            try:
                await act(machine)
            except AssertionError as error:
                self.failed.append(error)
            self.left -= 1
            return 0

        machine.start(run())

    def run(self, max_s: float = 60.0) -> None:
        self.cluster.run(lambda: self.left == 0, max_s)
        for failed in self.failed:
            raise failed
        errors = [error for machine in self.cluster.machines.values() for error in machine.errors]
        assert not errors, errors


@pytest.mark.parametrize("count", (3, 4))
@pytest.mark.parametrize("seed", range(6))
def test_eight_concurrent_puts_all_complete(count: int, seed: int) -> None:
    """No two ballots preempt each other for ever: all end within half of the time limit, whatever
    the disks.
    """
    store = SimulatedStore(count, seed)
    durations_s: list[float] = []
    outcomes: list[PutOutcome] = []

    def order(number: int) -> Script:
        async def act(machine: Machine) -> None:
            started_at = machine.time()
            outcomes.append(
                await store.put_until_answered(machine, [store.hosts[number % count]], version(number))
            )
            durations_s.append(machine.time() - started_at)

        return act

    for number in range(1, 9):
        store.start_caller(order(number))
    store.run()
    print(f"{count} members, seed {seed}: {sorted(round(1000 * one) for one in durations_s)} ms")
    assert outcomes == [PutOutcome.DECIDED] * 8
    assert max(durations_s) < 2.5


@pytest.mark.parametrize("seed", range(4))
def test_two_bodies_under_one_number_and_repeated_puts(seed: int) -> None:
    """One is decided, the other conflicts; each replica confirms a repeated put, whatever is
    decided by then.
    """
    store = SimulatedStore(3, seed)
    found: list[list[Any]] = []

    def order(text: str, host: str) -> Script:
        async def act(machine: Machine) -> None:
            found.append([await store.put_until_answered(machine, [host], version(1, text)), text])

        return act

    async def put_again(machine: Machine) -> None:
        decided = next(text for outcome, text in found if outcome is PutOutcome.DECIDED)
        for host in store.hosts:
            assert await store.put_until_answered(machine, [host], version(1, decided)) is PutOutcome.DECIDED
            assert await store.call(machine, host, "read", None) == [True, version(1, decided).body]
        assert await store.put_until_answered(machine, store.hosts, version(2)) is PutOutcome.DECIDED
        for host in store.hosts:
            assert await store.put_until_answered(machine, [host], version(1, decided)) is PutOutcome.DECIDED
        found.append([])

    store.start_caller(order("one", store.hosts[0]))
    store.start_caller(order("other", store.hosts[1]))
    store.start_caller(put_again, 6.0)
    store.run()
    assert sorted(one[0] for one in found if one) == [PutOutcome.DECIDED, PutOutcome.CONFLICT]
    assert found[-1] == []


class RefusesRepeatedPuts(Proposer):
    """Planted: a put that is not above the decided version is answered as a conflict."""

    def known_outcome(self, version_id: VersionId) -> PutOutcome | None:
        found = super().known_outcome(version_id)
        is_above = self.acceptor.decided.version_id.number > version_id.number
        return PutOutcome.CONFLICT if found is not None and is_above else found


def test_a_refused_repetition_of_a_put_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("irisdeal.config_store.replica.Proposer", RefusesRepeatedPuts)
    with pytest.raises(AssertionError):
        test_two_bodies_under_one_number_and_repeated_puts(0)


def test_without_contact_nothing_is_confirmed_read_or_refused_and_the_answer_is_immediate() -> None:
    store = SimulatedStore(3, 1)
    done: list[float] = []

    async def act(machine: Machine) -> None:
        host = store.hosts[0]
        assert await store.put_until_answered(machine, store.hosts, version(1)) is PutOutcome.DECIDED
        store.cluster.cut(host, True)
        await pause(machine, 3.0)
        started_at = machine.time()
        assert await store.put(machine, host, version(2)) is PutOutcome.UNDECIDED
        assert await store.put(machine, host, version(1)) is PutOutcome.UNDECIDED
        assert await store.put(machine, host, version(1, "another")) is PutOutcome.UNDECIDED
        assert await store.call(machine, host, "read", None) == [False, None]
        assert (await store.call(machine, host, "watch", [[-1, b"", -1, b"", 0], -1]))[3] == -1
        assert machine.time() - started_at < 0.1
        assert await store.put_until_answered(machine, store.hosts[1:], version(2)) is PutOutcome.DECIDED
        store.cluster.cut(host, False)
        started_at = machine.time()
        while await store.call(machine, host, "read", None) != [True, version(2).body]:
            await pause(machine, 0.05)
        done.append(machine.time() - started_at)

    store.start_caller(act)
    store.run()
    assert done and done[0] < 2.0, done


def test_a_slow_disk_delays_neither_status_nor_contact() -> None:
    store = SimulatedStore(3, 2)
    longest = [0.0]

    async def asks(machine: Machine) -> None:
        store.cluster.machines[store.hosts[0]].disk_time = 1_500_000
        store.start_caller(orders_there, 0.0)
        for _ in range(60):
            started_at = machine.time()
            assert await store.call(machine, store.hosts[0], "state", None) is not None
            longest[0] = max(longest[0], machine.time() - started_at)
            assert store.cluster.members[store.hosts[0]].has_contact()
            await pause(machine, 0.05)

    async def orders_there(machine: Machine) -> None:
        assert await store.put_until_answered(machine, store.hosts, version(1)) is PutOutcome.DECIDED
        assert await store.put(machine, store.hosts[1], version(2)) is PutOutcome.DECIDED

    store.start_caller(asks, 3.0)
    store.run()
    assert longest[0] < 0.02, longest


@pytest.mark.parametrize("missing", (0, 2))
def test_a_replica_that_misses_the_first_start_becomes_a_member(missing: int) -> None:
    """One of three seeds does not start with the others, and comes later: empty disk, `bootstrap` false."""
    store = SimulatedStore(3, 3)
    host = store.hosts[missing]
    others = [other for other in store.hosts if other != host]
    store.cluster.machines[host].kill()
    store.cluster.disks[host] = MemoryDisk()

    async def act(machine: Machine) -> None:
        assert await store.put_until_answered(machine, others, version(1)) is PutOutcome.DECIDED
        store.cluster.start(host)
        await pause(machine, 4.0)
        store.cluster.kill(others[0])
        assert await store.put_until_answered(machine, [host], version(2)) is PutOutcome.DECIDED
        assert await store.call(machine, others[1], "read", None) == [True, version(2).body]

    store.start_caller(act)
    store.run()


def test_before_any_put_a_read_knows_that_there_is_none() -> None:
    store = SimulatedStore(3, 4)

    async def act(machine: Machine) -> None:
        assert await store.call(machine, store.hosts[0], "read", None) == [True, None]

    store.start_caller(act)
    store.run()
