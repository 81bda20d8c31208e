"""What a registry knows of the store: whom it follows, how old it is, where orders go; in virtual time."""

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
from irisdeal.registry import store_client as following
from irisdeal.registry.store_client import StoreClient
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from tests.support.core_rig import CoreRig

WAY = 0.04  # s there and back with the work at both ends


def asking(rig: CoreRig, at: float, ask: Callable[[], Awaitable[Any]]) -> list[tuple[float, Any]]:
    """What this answers, and after how many s; filled in while the day is played."""
    heard: list[tuple[float, Any]] = []

    def begin() -> None:
        machine = Machine(rig.world, rig.net, "asker", Core(), Costs())

        async def run() -> int:
            begun = rig.world.seconds()
            heard.append((0.0, await ask()))
            heard[0] = (rig.world.seconds() - begun, heard[0][1])
            return 0

        machine.start(run())

    rig.at(at, begin)
    return heard


class Orders:
    """Orders and reads through one registry's follower, as its process sends them."""

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


def test_its_own_store_is_followed_and_a_change_is_here_at_once() -> None:
    rig = CoreRig(3, 0)
    rig.at(3.0, partial(rig.decide, 1, rig.hosts))
    rig.play(3.0 + WAY)
    for host in rig.hosts:
        store_client = rig.watched_registries[host].store_client
        assert store_client.source == host and store_client.has_contact
        assert store_client.change == 1 and rig.watched_registries[host].versions == [1]


def test_asks_of_a_store_are_few() -> None:
    rig, asks = CoreRig(3, 0), [0, 0]
    host = rig.hosts[0]

    def count() -> None:
        kept = rig.stores[host].watch

        def watch(sync_state: SyncState, change: int) -> Any:
            asks[change != following.NO_WAIT_CHANGE] += 1
            return kept(sync_state, change)

        rig.stores[host].watch = watch  # type: ignore[method-assign]

    rig.at(3.0, count)
    rig.play(13.0)
    assert asks[0] <= 10 / following.PROBE_INTERVAL_S + 2 and asks[1] <= 10 / following.MAX_POLL_S + 2
    assert asks[0] >= 10 / (following.PROBE_INTERVAL_S + WAY) - 2


def test_without_its_own_store_it_follows_another_and_returns() -> None:
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

    rig.at(3.0 + following.FAILOVER_GRACE_S + WAY, look)
    rig.at(4.0, partial(rig.decide, 1, rig.hosts[1:]))
    rig.at(4.0 + WAY, lambda: seen.append((str(rig.watched_registries[host].versions), True)))
    rig.at(6.0, lambda: rig.machines[host].insert(0, rig.start_store(host)))
    rig.at(8.0, look)
    rig.play(8.1)
    assert seen[0][0] != host and seen[0][1]
    assert seen[1][0] == "[1]"
    assert seen[2] == (host, True)


def test_a_store_that_came_back_without_what_was_decided_is_not_followed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It says that it has contact, and older state: what it says of its age cannot be true."""
    caplog.set_level("INFO", "irisdeal")
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    rig.at(3.0, partial(rig.decide, 1, rig.hosts))
    rig.at(3.1, partial(rig.decide, 2, rig.hosts))

    def go_back() -> None:
        one = rig.stores[host]
        one.value, one.version = rig.first, rig.first_version
        one.take = lambda value, version: None  # type: ignore[method-assign]

    rig.at(5.0, go_back)
    rig.play(8.0)
    store_client = rig.watched_registries[host].store_client
    assert store_client.source != host and store_client.has_contact
    assert rig.watched_registries[host].versions == [1, 2] and store_client.change == 2
    assert sum("E314" in record.getMessage() for record in caplog.records) == 1


def test_contact_lost_is_told_within_the_lease_and_a_look() -> None:
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
    rig.at(9.0, rig.net.join)
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
        5.0 < lost[0] <= 5.0 + CONTACT_LEASE_S + following.PROBE_INTERVAL_S + following.FAILOVER_GRACE_S + WAY
    )
    assert back[0] <= 9.0 + 1.25 * following.SEARCH_INTERVAL_S + following.CALL_TIMEOUT_S + WAY


def test_an_order_without_contact_is_answered_at_once_and_not_refused_for_good() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    orders = Orders(rig, host)
    rig.at(5.0, partial(rig.cut, host))
    orders.at(8.0, put)
    orders.at(8.5, read)
    rig.play(10.0)
    assert orders.done == [(0.0, PutOutcome.UNDECIDED), (0.0, (False, None))]


def test_an_order_goes_to_the_own_store_and_to_another_where_that_is_gone() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    orders = Orders(rig, host)
    orders.at(3.0, put)
    rig.at(4.0, lambda: rig.machines[host].pop(0).kill())
    orders.at(4.0001, put)  # it has not been seen yet that it is gone
    orders.at(5.0, read)
    rig.play(6.0)
    assert [answer for _, answer in orders.done] == [PutOutcome.DECIDED, PutOutcome.DECIDED, (True, b"")]
    assert all(took <= WAY for took, _ in orders.done)
    assert rig.stores[host].puts == [9]
    assert sum(len(rig.stores[other].puts) for other in rig.hosts[1:]) == 1


def test_another_body_under_a_decided_number_is_told_as_such_and_an_outcome_unknown_as_later() -> None:
    rig = CoreRig(3, 0)
    orders = Orders(rig, rig.hosts[0])

    def answer(outcome: int) -> None:
        for one in rig.stores.values():
            one.outcome = outcome

    for at, outcome in ((3.0, 2), (4.0, 7)):
        rig.at(at, partial(answer, outcome))
        orders.at(at + 0.1, put)
    rig.play(6.0)
    assert [told for _, told in orders.done] == [PutOutcome.CONFLICT, PutOutcome.UNDECIDED]


def test_an_order_at_a_store_that_stands_still_ends_in_time() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    orders = Orders(rig, host)
    rig.at(4.0, lambda: rig.machines[host][0].pause(rig.world.now + 4_000_000))
    orders.at(4.001, put)
    orders.at(5.0, put)  # by then another one is followed
    rig.play(9.0)
    (second, confirmed), (first, later) = sorted(orders.done, key=lambda done: done[0])
    assert later in (PutOutcome.UNDECIDED, PutOutcome.DECIDED) and first <= following.PUT_TIMEOUT_S + WAY
    assert confirmed is PutOutcome.DECIDED and second <= WAY


# The list


def follower_of(rig: CoreRig) -> StoreClient:
    rig.play(3.0)
    return rig.watched_registries[rig.hosts[0]].store_client


def seats(*hosts: str) -> tuple[str, ...]:
    return tuple(format_seat(host, INITIAL_DISK_ID) for host in hosts)


def test_a_majority_is_one_of_both_lists_and_learners_count_for_none() -> None:
    rig = CoreRig(4, 0)
    store_client = follower_of(rig)
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


def test_an_older_list_takes_nothing_back() -> None:
    rig = CoreRig(3, 0)
    rig.at(2.0, partial(rig.decide, 4, rig.hosts, Members(1, seats(*rig.hosts[:2]))))
    store_client = follower_of(rig)
    older = Value(0, rig.first.version_id, rig.first.members)
    probe_result = store_client._apply(rig.hosts[1], SyncState(), 1003.0, WatchReply(None, older, (), 10))
    assert probe_result is following.ProbeResult.NO_CONTACT
    assert store_client.members.number == 1 and store_client.version_id.number == 4


def test_what_a_store_without_knowledge_tells_changes_nothing() -> None:
    rig = CoreRig(3, 0)
    store_client = follower_of(rig)
    unknown = Value(-1, rig.first.version_id, Members(-1, ()))
    probe_result = store_client._apply(rig.hosts[1], SyncState(), 1003.0, WatchReply(None, unknown, (), -1))
    assert probe_result is following.ProbeResult.NO_CONTACT
    assert store_client.members == rig.first.members


def test_an_answer_that_cannot_be_read_is_as_none(caplog: pytest.LogCaptureFixture) -> None:
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

    return asking(rig, at, ask)


def test_the_age_that_is_told_is_of_when_the_ask_came() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    at_once = poll_at(rig, host, 4.0, 0)
    rig.play(4.5)
    incarnation = at_once[0][1][1]
    held = poll_at(rig, host, 5.0, 0, incarnation)
    rig.play(7.0)
    took, told = at_once[0]
    assert took <= WAY and 0 <= told[5] <= (0.9 + following.PROBE_INTERVAL_S) * 1000
    took, told = held[0]
    assert 1.0 <= took <= 1.0 + WAY
    # The ask lasted 1 s: the door makes of it 1 s and the ways, or what the registry knew if that is more.
    assert 0 <= told[5] <= 200


def test_a_registry_that_has_not_learned_the_backends_says_that_it_has_no_contact() -> None:
    rig = CoreRig(3, 0)
    host = rig.hosts[0]
    rig.at(3.0, lambda: setattr(rig.watched_registries[host], "is_synchronized", False))
    told = poll_at(rig, host, 4.0, 0)
    rig.play(5.0)
    assert told[0][1][5] == -1


def test_what_is_known_is_as_of_the_asking() -> None:
    rig = CoreRig(3, 0)
    store_client = follower_of(rig)
    store_client.as_of = 0.0
    host, value = rig.hosts[0], store_client.value
    probe_result = store_client._apply(host, SyncState(), 1002.0, WatchReply(None, value, (), 300))
    assert probe_result is following.ProbeResult.GOOD
    assert store_client.as_of == pytest.approx(1001.7), "however late the answer came"
    probe_result = store_client._apply(host, SyncState(), 1002.5, WatchReply(None, value, (), -1))
    assert probe_result is following.ProbeResult.NO_CONTACT and store_client.as_of == pytest.approx(1001.7)


def test_an_age_counts_only_once_the_body_of_what_is_decided_is_here() -> None:
    rig = CoreRig(3, 0)
    store_client = follower_of(rig)
    store_client.as_of, host = 900.0, rig.hosts[0]
    newer = Value(5, ConfigVersion.of("r5", b"five").version_id, rig.first.members)
    assert (
        store_client._apply(host, SyncState(), 1003.0, WatchReply(None, newer, (), 0))
        is following.ProbeResult.GOOD
    )
    assert store_client.as_of == 900.0 and store_client.change == 0 and store_client.value.change == 5
