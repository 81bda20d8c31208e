"""The consensus register: ballots in random order, and complete replicas in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st
from returns.result import Success

from benchmarks.register_states import PLANS, Search, SearchPlan, propose_versions
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
from irisdeal.simulation.cluster.cluster import FIRST_PORT, SimulatedCluster, pause
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine

INITIAL_VALUE = Value.initial(Members(0, ("a", "b", "c")))


# Register without replicas


@trying(deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.sampled_from(sorted(PLANS)))
def test_long_random_runs_violate_no_invariant(seed: int, name: str) -> None:
    rng, plan = random.Random(seed), PLANS[name]
    version_ids = [VersionId(number, bytes([number])) for number in range(1, 5)]
    programs = (*plan.programs[:-1], propose_versions(*version_ids))
    longer_plan = SearchPlan(
        plan.seats,
        plan.first,
        programs,
        tuple(6 for _ in plan.ballots),
        2,
        plan.program_after_crashes,
        plan.replaced_disk,
        plan.initial_learners,
        3,
    )
    search = Search(longer_plan)
    state = search.initial_state()
    for _ in range(150):
        steps = list(search.successors(state))
        assert not search.violation, search.violation
        if not steps:
            break
        _, state = rng.choice(steps)


def test_a_value_with_another_member_list_is_proposed_unchanged() -> None:
    joint = INITIAL_VALUE.members.enter_joint(("a", "b", "d"))
    accepted = AcceptorState(Ballot(1, "a"), Ballot(1, "a"), Value(1, INITIAL_VALUE.version_id, joint))
    ballot = BallotAttempt(Ballot(2, "b"), INITIAL_VALUE.members, put(VersionId(1, b"x")))
    empty = AcceptorState(Ballot(2, "b"), NO_BALLOT, UNKNOWN_VALUE)
    ballot.on_prepare_reply("a", True, accepted)
    ballot.on_prepare_reply("d", True, empty)
    assert ballot.step is BallotStep.PREPARING  # a and d are not a quorum of the old list
    assert ballot.targets() == {"a", "b", "c", "d"}
    assert (
        ballot.on_prepare_reply("b", True, AcceptorState(Ballot(2, "b"), NO_BALLOT, INITIAL_VALUE))
        is BallotStep.ACCEPTING
    )
    assert ballot.value == accepted.value
    for seat in ("b", "d"):
        assert ballot.on_accept_reply(seat, True, ballot.ballot) is BallotStep.ACCEPTING
    assert ballot.on_accept_reply("a", True, ballot.ballot) is BallotStep.DECIDED


def test_a_ballot_never_starts_from_an_empty_disk() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), INITIAL_VALUE.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, UNKNOWN_VALUE))
    ballot.on_prepare_reply("b", True, AcceptorState(ballot.ballot, NO_BALLOT, INITIAL_VALUE))
    assert ballot.value == INITIAL_VALUE


def test_a_promise_whose_reply_was_lost_counts_when_resent() -> None:
    ballot = BallotAttempt(Ballot(1, "a"), INITIAL_VALUE.members, unchanged)
    ballot.on_prepare_reply("a", True, AcceptorState(ballot.ballot, NO_BALLOT, INITIAL_VALUE))
    assert (
        ballot.on_prepare_reply("b", False, AcceptorState(ballot.ballot, NO_BALLOT, INITIAL_VALUE))
        is BallotStep.ACCEPTING
    )
    other = BallotAttempt(Ballot(1, "a"), INITIAL_VALUE.members, unchanged)
    assert (
        other.on_prepare_reply("b", False, AcceptorState(Ballot(2, "b"), NO_BALLOT, INITIAL_VALUE))
        is BallotStep.LOST
    )
    assert other.preempted_by == Ballot(2, "b")


def test_a_read_returns_a_value_decided_by_a_quorum() -> None:
    new = put(VersionId(1, b"x"))(INITIAL_VALUE)

    def status(seat: str, ballot: Ballot, value: Value) -> ReplicaStatus:
        return ReplicaStatus(seat, "z", ballot, value, INITIAL_VALUE, True)

    accepted, old = status("a", Ballot(1, "a"), new), status("b", NO_BALLOT, INITIAL_VALUE)
    assert value_for_read([accepted], INITIAL_VALUE.members) is None
    # Undetermined: a and c may have decided the new value.
    assert value_for_read([accepted, old], INITIAL_VALUE.members) is None
    assert value_for_read([accepted, status("c", Ballot(1, "a"), new), old], INITIAL_VALUE.members) == new
    assert (
        value_for_read([old, status("c", NO_BALLOT, INITIAL_VALUE)], INITIAL_VALUE.members) == INITIAL_VALUE
    )
    assert decided_among([accepted, old]) is None
    empty = status("d", NO_BALLOT, UNKNOWN_VALUE)
    assert decided_among([empty]) is None and value_for_read([empty], UNKNOWN_VALUE.members) is None


# Replicas in virtual time


def version(number: int, text: str = "") -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", b"r%d %s" % (number, text.encode()))


Script = Callable[[Machine], Coroutine[Any, Any, None]]


class SimulatedStore:
    """A configuration store and its callers in virtual time."""

    def __init__(self, count: int, seed: int, make: Callable[..., StoreReplica] = StoreReplica) -> None:
        self.cluster, self.running_callers = SimulatedCluster(count, seed, make), 0
        self.hosts = list(self.cluster.hosts)
        self.failures: list[AssertionError] = []
        self.links: dict[tuple[str, str], RpcClient] = {}
        for host in self.hosts:
            self.cluster.start(host, True)

    async def call(self, machine: Machine, host: str, kind: str, body: Any, within: float = 1.0) -> Any:
        """Return the reply, or None."""
        key = machine.name, host
        if key not in self.links:
            self.links[key] = RpcClient((host, FIRST_PORT + ports.CONFIG_STORE), machine.name)
        answer = await self.links[key].call(kind, body, within)
        return answer.unwrap() if isinstance(answer, Success) else None

    async def put(self, machine: Machine, host: str, version: ConfigVersion) -> PutOutcome:
        reply = await self.call(
            machine, host, "put", [version.version_id.number, version.version_id.digest, version.body]
        )
        return PutOutcome.UNDECIDED if reply is None else PutOutcome(reply)

    async def put_until_answered(
        self, machine: Machine, hosts: list[str], version: ConfigVersion
    ) -> PutOutcome:
        """Put like an operator: to any of the hosts, with exponential backoff."""
        for attempt in range(60):
            outcome = await self.put(machine, self.cluster.chance.choice(hosts), version)
            if outcome is not PutOutcome.UNDECIDED:
                return outcome
            await pause(machine, min(0.5, 0.05 * 2**attempt))
        return PutOutcome.UNDECIDED

    def start_caller(self, script: Script, after: float = 2.0) -> None:
        self.running_callers += 1
        machine = self.cluster.new_caller(f"caller-{len(self.cluster.callers)}")

        async def run() -> int:
            await pause(machine, after)
            try:
                await script(machine)
            except AssertionError as error:
                self.failures.append(error)
            self.running_callers -= 1
            return 0

        machine.start(run())

    def run(self, max_s: float = 60.0) -> None:
        self.cluster.run(lambda: self.running_callers == 0, max_s)
        for failure in self.failures:
            raise failure
        errors = [error for machine in self.cluster.machines.values() for error in machine.errors]
        assert not errors, errors


@pytest.mark.parametrize("count", (3, 4))
@pytest.mark.parametrize("seed", range(6))
def test_eight_concurrent_puts_all_complete(count: int, seed: int) -> None:
    """Ballots do not preempt each other forever: all puts complete within half of the time limit on any
    disks.
    """
    store = SimulatedStore(count, seed)
    durations_s: list[float] = []
    outcomes: list[PutOutcome] = []

    def put_number(number: int) -> Script:
        async def script(machine: Machine) -> None:
            started_at = machine.time()
            outcomes.append(
                await store.put_until_answered(machine, [store.hosts[number % count]], version(number))
            )
            durations_s.append(machine.time() - started_at)

        return script

    for number in range(1, 9):
        store.start_caller(put_number(number))
    store.run()
    print(
        f"{count} members, seed {seed}: {sorted(round(1000 * duration_s) for duration_s in durations_s)} ms"
    )
    assert outcomes == [PutOutcome.DECIDED] * 8
    assert max(durations_s) < 2.5


@pytest.mark.parametrize("seed", range(4))
def test_two_bodies_under_one_number_and_repeated_puts(seed: int) -> None:
    """One is decided, the other conflicts. Each replica confirms a repeated put, even after a newer
    decision.
    """
    store = SimulatedStore(3, seed)
    results: list[list[Any]] = []

    def put_text(text: str, host: str) -> Script:
        async def script(machine: Machine) -> None:
            results.append([await store.put_until_answered(machine, [host], version(1, text)), text])

        return script

    async def put_again(machine: Machine) -> None:
        decided = next(text for outcome, text in results if outcome is PutOutcome.DECIDED)
        for host in store.hosts:
            assert await store.put_until_answered(machine, [host], version(1, decided)) is PutOutcome.DECIDED
            assert await store.call(machine, host, "read", None) == [True, version(1, decided).body]
        assert await store.put_until_answered(machine, store.hosts, version(2)) is PutOutcome.DECIDED
        for host in store.hosts:
            assert await store.put_until_answered(machine, [host], version(1, decided)) is PutOutcome.DECIDED
        results.append([])

    store.start_caller(put_text("one", store.hosts[0]))
    store.start_caller(put_text("other", store.hosts[1]))
    store.start_caller(put_again, 6.0)
    store.run()
    assert sorted(result[0] for result in results if result) == [PutOutcome.DECIDED, PutOutcome.CONFLICT]
    assert results[-1] == []


class ConflictingRepeatedPuts(Proposer):
    """Planted bug: a put that is not above the decided version is reported as a conflict."""

    def known_outcome(self, version_id: VersionId) -> PutOutcome | None:
        found = super().known_outcome(version_id)
        is_above = self.acceptor.decided.version_id.number > version_id.number
        return PutOutcome.CONFLICT if found is not None and is_above else found


def test_a_repeated_put_reported_as_a_conflict_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("irisdeal.config_store.replica.Proposer", ConflictingRepeatedPuts)
    with pytest.raises(AssertionError):
        test_two_bodies_under_one_number_and_repeated_puts(0)


def test_without_contact_puts_and_reads_fail_at_once_and_have_no_effect() -> None:
    store = SimulatedStore(3, 1)
    done: list[float] = []

    async def script(machine: Machine) -> None:
        host = store.hosts[0]
        assert await store.put_until_answered(machine, store.hosts, version(1)) is PutOutcome.DECIDED
        store.cluster.partition(host, True)
        await pause(machine, 3.0)
        started_at = machine.time()
        assert await store.put(machine, host, version(2)) is PutOutcome.UNDECIDED
        assert await store.put(machine, host, version(1)) is PutOutcome.UNDECIDED
        assert await store.put(machine, host, version(1, "another")) is PutOutcome.UNDECIDED
        assert await store.call(machine, host, "read", None) == [False, None]
        assert (await store.call(machine, host, "watch", [[-1, b"", -1, b"", 0], -1]))[3] == -1
        assert machine.time() - started_at < 0.1
        assert await store.put_until_answered(machine, store.hosts[1:], version(2)) is PutOutcome.DECIDED
        store.cluster.partition(host, False)
        started_at = machine.time()
        while await store.call(machine, host, "read", None) != [True, version(2).body]:
            await pause(machine, 0.05)
        done.append(machine.time() - started_at)

    store.start_caller(script)
    store.run()
    assert done and done[0] < 2.0, done


def test_a_slow_disk_delays_neither_status_nor_contact() -> None:
    store = SimulatedStore(3, 2)
    longest_s = [0.0]

    async def poll_status(machine: Machine) -> None:
        store.cluster.machines[store.hosts[0]].disk_time_us = 1_500_000
        store.start_caller(put_versions, 0.0)
        for _ in range(60):
            started_at = machine.time()
            assert await store.call(machine, store.hosts[0], "state", None) is not None
            longest_s[0] = max(longest_s[0], machine.time() - started_at)
            assert store.cluster.members[store.hosts[0]].has_contact()
            await pause(machine, 0.05)

    async def put_versions(machine: Machine) -> None:
        assert await store.put_until_answered(machine, store.hosts, version(1)) is PutOutcome.DECIDED
        assert await store.put(machine, store.hosts[1], version(2)) is PutOutcome.DECIDED

    store.start_caller(poll_status, 3.0)
    store.run()
    assert longest_s[0] < 0.02, longest_s


@pytest.mark.parametrize("missing", (0, 2))
def test_a_replica_that_misses_the_first_start_becomes_a_member(missing: int) -> None:
    """One of three seeds does not start with the others; it starts later with an empty disk, `bootstrap`
    false.
    """
    store = SimulatedStore(3, 3)
    host = store.hosts[missing]
    others = [other for other in store.hosts if other != host]
    store.cluster.machines[host].kill()
    store.cluster.disks[host] = MemoryDisk()

    async def script(machine: Machine) -> None:
        assert await store.put_until_answered(machine, others, version(1)) is PutOutcome.DECIDED
        store.cluster.start(host)
        await pause(machine, 4.0)
        store.cluster.kill(others[0])
        assert await store.put_until_answered(machine, [host], version(2)) is PutOutcome.DECIDED
        assert await store.call(machine, others[1], "read", None) == [True, version(2).body]

    store.start_caller(script)
    store.run()


def test_a_read_before_the_first_put_returns_no_configuration() -> None:
    store = SimulatedStore(3, 4)

    async def script(machine: Machine) -> None:
        assert await store.call(machine, store.hosts[0], "read", None) == [True, None]

    store.start_caller(script)
    store.run()
