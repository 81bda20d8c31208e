"""`StoreClient` in virtual time: the replica it follows, the age of its state, the routing of puts and
reads.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.register import PutOutcome, Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.messages import WatchReply
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.registry import store_client as store_client_module
from irisdeal.registry.store_client import StoreClient
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from tests.support.core_rig import CoreRig

ROUND_TRIP_S = 0.04  # of a call, including the work at both ends


def schedule_call(rig: CoreRig, at: float, ask: Callable[[], Awaitable[Any]]) -> list[tuple[float, Any]]:
    """Schedule a call; return a list that receives its duration in s and its answer during the run."""
    results: list[tuple[float, Any]] = []

    def begin() -> None:
        machine = Machine(rig.world, rig.net, "asker", Core(), Costs())

        async def run() -> int:
            begun = rig.world.seconds()
            results.append((0.0, await ask()))
            results[0] = (rig.world.seconds() - begun, results[0][1])
            return 0

        machine.start(run())

    rig.at(at, begin)
    return results


class StoreCalls:
    """Puts and reads through the store client of one registry, as its process makes them."""

    def __init__(self, rig: CoreRig, host: str) -> None:
        self.rig, self.host = rig, host
        self.done: list[tuple[float, Any]] = []

    def at(self, seconds: float, act: Callable[[StoreClient], Awaitable[Any]]) -> None:
        def begin() -> None:
            watched_registry, machine = (
                self.rig.watched_registries[self.host],
                self.rig.machines[self.host][-1],
            )

            async def run() -> None:
                begun = self.rig.world.seconds()
                answer = await act(watched_registry.store_client)
                self.done.append((self.rig.world.seconds() - begun, answer))

            machine.call_soon(lambda: watched_registry.store_client.tasks.start(run()))

        self.rig.at(seconds, begin)


VERSION = ConfigVersion.of("r9", b"nine")


def put(store_client: StoreClient) -> Awaitable[PutOutcome]:
    return store_client.put(VERSION)


def read(store_client: StoreClient) -> Awaitable[tuple[bool, bytes | None]]:
    return store_client.read()


def test_the_local_store_is_followed_and_a_change_is_received_immediately() -> None:
    rig = CoreRig(3, 0)
    rig.at(3.0, partial(rig.decide, 1, rig.hosts))
    rig.play(3.0 + ROUND_TRIP_S)
    for host in rig.hosts:
        store_client = rig.watched_registries[host].store_client
        assert store_client.source == host and store_client.has_contact
        assert store_client.change == 1 and rig.watched_registries[host].versions == [1]


def test_the_rate_of_polls_of_a_store_is_bounded() -> None:
    rig, poll_counts = CoreRig(3, 0), [0, 0]
    host = rig.hosts[0]

    def count() -> None:
        kept = rig.stores[host].watch

        def watch(sync_state: SyncState, change: int) -> Any:
            poll_counts[change != store_client_module.NO_WAIT_CHANGE] += 1
            return kept(sync_state, change)

        rig.stores[host].watch = watch  # type: ignore[method-assign]

    rig.at(3.0, count)
    rig.play(13.0)
    assert (
        poll_counts[0] <= 10 / store_client_module.PROBE_INTERVAL_S + 2
        and poll_counts[1] <= 10 / store_client_module.MAX_POLL_S + 2
    )
    assert poll_counts[0] >= 10 / (store_client_module.PROBE_INTERVAL_S + ROUND_TRIP_S) - 2


def test_without_the_local_store_another_is_followed_until_it_is_back() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    rig.at(3.0, lambda: rig.machines[host].pop(0).kill())
    seen: list[tuple[str, bool]] = []

    def look() -> None:
        seen.append(
            (
                rig.watched_registries[host].store_client.source,
                rig.watched_registries[host].store_client.has_contact,
            )
        )

    rig.at(3.0 + store_client_module.FAILOVER_GRACE_S + ROUND_TRIP_S, look)
    rig.at(4.0, partial(rig.decide, 1, rig.hosts[1:]))
    rig.at(4.0 + ROUND_TRIP_S, lambda: seen.append((str(rig.watched_registries[host].versions), True)))
    rig.at(6.0, lambda: rig.machines[host].insert(0, rig.start_store(host)))
    rig.at(8.0, look)
    rig.play(8.1)
    assert seen[0][0] != host and seen[0][1]
    assert seen[1][0] == "[1]"
    assert seen[2] == (host, True)


def test_a_store_that_restarted_without_decided_state_is_not_followed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It reports contact together with older state, so the age that it reports must be wrong."""
    caplog.set_level("INFO", "irisdeal")
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    rig.at(3.0, partial(rig.decide, 1, rig.hosts))
    rig.at(3.1, partial(rig.decide, 2, rig.hosts))

    def go_back() -> None:
        one = rig.stores[host]
        one.value, one.version = rig.first, rig.first_version
        one.merge = lambda value, version: None  # type: ignore[method-assign]

    rig.at(5.0, go_back)
    rig.play(8.0)
    store_client = rig.watched_registries[host].store_client
    assert store_client.source != host and store_client.has_contact
    assert rig.watched_registries[host].versions == [1, 2] and store_client.change == 2
    assert sum("E314" in record.getMessage() for record in caplog.records) == 1


def test_lost_contact_is_reported_within_the_lease_and_one_probe() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    lost: list[float] = []
    rig.at(5.0, partial(rig.cut, host))
    rig.every(
        0.01,
        9.0,
        lambda: (
            lost.append(rig.world.seconds())
            if (rig.world.seconds() > 5 and rig.watched_registries[host].store_client.state_age_s() is None)
            else None
        ),
    )
    rig.at(9.0, rig.net.heal)
    back: list[float] = []
    rig.every(
        0.01,
        12.0,
        lambda: (
            back.append(rig.world.seconds())
            if (
                rig.world.seconds() > 9
                and rig.watched_registries[host].store_client.state_age_s() is not None
            )
            else None
        ),
    )
    rig.play(12.0)
    assert (
        5.0
        < lost[0]
        <= 5.0
        + CONTACT_LEASE_S
        + store_client_module.PROBE_INTERVAL_S
        + store_client_module.FAILOVER_GRACE_S
        + ROUND_TRIP_S
    )
    assert (
        back[0]
        <= 9.0
        + 1.25 * store_client_module.SEARCH_INTERVAL_S
        + store_client_module.CALL_TIMEOUT_S
        + ROUND_TRIP_S
    )


def test_a_put_without_contact_fails_immediately_as_undecided() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    store_calls = StoreCalls(rig, host)
    rig.at(5.0, partial(rig.cut, host))
    store_calls.at(8.0, put)
    store_calls.at(8.5, read)
    rig.play(10.0)
    assert store_calls.done == [(0.0, PutOutcome.UNDECIDED), (0.0, (False, None))]


def test_a_put_goes_to_the_local_store_and_to_another_if_that_is_gone() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    store_calls = StoreCalls(rig, host)
    store_calls.at(3.0, put)
    rig.at(4.0, lambda: rig.machines[host].pop(0).kill())
    store_calls.at(4.0001, put)  # before its loss is noticed
    store_calls.at(5.0, read)
    rig.play(6.0)
    assert [answer for _, answer in store_calls.done] == [PutOutcome.DECIDED, PutOutcome.DECIDED, (True, b"")]
    assert all(took <= ROUND_TRIP_S for took, _ in store_calls.done)
    assert rig.stores[host].puts == [9]
    assert sum(len(rig.stores[other].puts) for other in rig.hosts[1:]) == 1


def test_another_body_under_a_decided_number_is_a_conflict_and_an_unknown_outcome_is_undecided() -> None:
    rig = CoreRig(3, 0)
    store_calls = StoreCalls(rig, rig.hosts[0])

    def set_outcome(outcome: int) -> None:
        for one in rig.stores.values():
            one.outcome = outcome

    for at, outcome in ((3.0, 2), (4.0, 7)):
        rig.at(at, partial(set_outcome, outcome))
        store_calls.at(at + 0.1, put)
    rig.play(6.0)
    assert [answer for _, answer in store_calls.done] == [PutOutcome.CONFLICT, PutOutcome.UNDECIDED]


def test_a_put_at_a_suspended_store_ends_within_its_timeout() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    store_calls = StoreCalls(rig, host)
    rig.at(4.0, lambda: rig.machines[host][0].pause(rig.world.now + 4_000_000))
    store_calls.at(4.001, put)
    store_calls.at(5.0, put)  # by then another store is followed
    rig.play(9.0)
    (second, confirmed), (first, later) = sorted(store_calls.done, key=lambda done: done[0])
    assert (
        later in (PutOutcome.UNDECIDED, PutOutcome.DECIDED)
        and first <= store_client_module.PUT_TIMEOUT_S + ROUND_TRIP_S
    )
    assert confirmed is PutOutcome.DECIDED and second <= ROUND_TRIP_S


# The list of members


def client_after_start(rig: CoreRig) -> StoreClient:
    rig.play(3.0)
    return rig.watched_registries[rig.hosts[0]].store_client


def seats(*hosts: str) -> tuple[str, ...]:
    return tuple(format_seat(host, INITIAL_DISK_ID) for host in hosts)


def test_a_majority_is_one_of_both_lists_and_learners_count_for_none() -> None:
    rig = CoreRig(4, 0)
    store_client = client_after_start(rig)
    a, b, c, d = rig.hosts
    assert store_client.is_majority({a, b, c}) and not store_client.is_majority({a, b})
    store_client.learners = frozenset({"10.7.0.1"})
    assert not store_client.is_majority({a, b, "10.7.0.1"})
    store_client.value = Value(
        5, store_client.version_id, Members(2, seats(b, c, "10.8.0.1"), seats(a, b, c, d))
    )
    assert not store_client.is_majority({b, c})
    assert not store_client.is_majority({a, b, d})
    assert store_client.is_majority({a, b, c})
    assert store_client.core_ips() == {a, b, c, d, "10.7.0.1", "10.8.0.1"}


def test_an_older_list_does_not_replace_a_newer_one() -> None:
    rig = CoreRig(3, 0)
    rig.at(2.0, partial(rig.decide, 4, rig.hosts, Members(1, seats(*rig.hosts[:2]))))
    store_client = client_after_start(rig)
    older = Value(0, rig.first.version_id, rig.first.members)
    probe_result = store_client._apply(rig.hosts[1], SyncState(), 1003.0, WatchReply(None, older, (), 10))
    assert probe_result is store_client_module.ProbeResult.NO_CONTACT
    assert store_client.members.number == 1 and store_client.version_id.number == 4


def test_the_reply_of_a_store_without_state_changes_nothing() -> None:
    rig = CoreRig(3, 0)
    store_client = client_after_start(rig)
    unknown = Value(-1, rig.first.version_id, Members(-1, ()))
    probe_result = store_client._apply(rig.hosts[1], SyncState(), 1003.0, WatchReply(None, unknown, (), -1))
    assert probe_result is store_client_module.ProbeResult.NO_CONTACT
    assert store_client.members == rig.first.members


def test_a_malformed_answer_counts_as_no_answer(caplog: pytest.LogCaptureFixture) -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]

    async def strange(sync_state: SyncState, change: int) -> list[Any]:
        await asyncio.sleep(0)
        return [None, ["x"], 3]

    rig.at(3.0, lambda: setattr(rig.stores[host], "watch", strange))
    rig.play(6.0)
    assert (
        rig.watched_registries[host].store_client.source != host
        and rig.watched_registries[host].store_client.has_contact
    )
    assert rig.watched_registries[host].store_client.tasks.running


# Polls of proxies


def poll_at(rig: CoreRig, host: str, at: float, change: int, incarnation: int = 0) -> list[tuple[float, Any]]:
    async def ask() -> Any:
        link = RpcClient((host, 7000 + ports.REGISTRY), "proxy 10.9.9.9")
        answer = await link.call("news", [SyncState().encode(), incarnation, 0, change], 2.0)
        link.close()
        return answer.unwrap()

    return schedule_call(rig, at, ask)


def test_the_age_in_an_answer_is_that_at_the_arrival_of_the_request() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    at_once = poll_at(rig, host, 4.0, 0)
    rig.play(4.5)
    incarnation = at_once[0][1][1]
    held = poll_at(rig, host, 5.0, 0, incarnation)
    rig.play(7.0)
    took, answer = at_once[0]
    assert took <= ROUND_TRIP_S and 0 <= answer[5] <= (0.9 + store_client_module.PROBE_INTERVAL_S) * 1000
    took, answer = held[0]
    assert 1.0 <= took <= 1.0 + ROUND_TRIP_S
    # The poll was pending for 1 s, which the proxy adds itself, with the time in the network.
    assert 0 <= answer[5] <= 200


def test_a_registry_that_has_not_synchronized_the_backends_reports_no_contact() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    rig.at(3.0, lambda: setattr(rig.watched_registries[host], "is_synchronized", False))
    answer = poll_at(rig, host, 4.0, 0)
    rig.play(5.0)
    assert answer[0][1][5] == -1


def test_state_is_dated_at_the_time_of_the_request() -> None:
    rig = CoreRig(3, 0)
    store_client = client_after_start(rig)
    store_client.as_of = 0.0
    host, value = rig.hosts[0], store_client.value
    probe_result = store_client._apply(host, SyncState(), 1002.0, WatchReply(None, value, (), 300))
    assert probe_result is store_client_module.ProbeResult.GOOD
    assert store_client.as_of == pytest.approx(1001.7), "independent of the arrival of the answer"
    probe_result = store_client._apply(host, SyncState(), 1002.5, WatchReply(None, value, (), -1))
    assert probe_result is store_client_module.ProbeResult.NO_CONTACT and store_client.as_of == pytest.approx(
        1001.7
    )


def test_an_age_counts_only_once_the_body_of_the_decided_version_is_received() -> None:
    rig = CoreRig(3, 0)
    store_client = client_after_start(rig)
    store_client.as_of, host = 900.0, rig.hosts[0]
    newer = Value(5, ConfigVersion.of("r5", b"five").version_id, rig.first.members)
    assert (
        store_client._apply(host, SyncState(), 1003.0, WatchReply(None, newer, (), 0))
        is store_client_module.ProbeResult.GOOD
    )
    assert store_client.as_of == 900.0 and store_client.change == 0 and store_client.value.change == 5
