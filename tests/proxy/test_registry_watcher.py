"""Proxies and registries while a core machine is cut off, cut one way, or frozen, in virtual time.

When proxies leave it, when what is decided is in force, and that the ages of knowledge that they state are
true.

Bounds are computed here from the constants of the program, and held against those of the four deployments.
"""

from __future__ import annotations

import random
from collections import Counter
from functools import partial
from itertools import pairwise
from typing import Any

import pytest

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.membership.status_rounds import (
    STATUS_INTERVAL_S,
    STATUS_TIMEOUT_S,
    STATUS_WAIT_S,
    UNDECIDED_WAIT_S,
)
from irisdeal.config_store.storage.chunks import CHUNK_BYTES, SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.proxy import config_applier, registry_watcher
from irisdeal.proxy.config_receiver import NEWEST_POSSIBLE
from irisdeal.proxy.registry_selector import MIN_BACKOFF_S
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.registry import store_client as following
from irisdeal.registry import watch
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import World
from tests.support.core_rig import CoreRig, WatchingProxy, settings_of

DEPLOYMENTS = {  # s: contact_ms, apply_ms, revert_slack_ms
    "cmpsu-gateway": (3.0, 2.5, 0.25),
    "hanbit-gw": (3.0, 2.5, 0.25),
    "cmpsu-gateway-grown": (5.0, 3.0, 0.25),
    "hanbit-gw-grown": (5.0, 3.0, 0.25),
}
WAY = 0.04  # s there and back with the work at both ends: 2.8 ms between zones, the rest for a slow processor
SLACK = 0.02  # s of the grain at which the tests look

# Between two asks that a quorum answers: the oldest that a store in order is, with a dead member beside it.
STORE = STATUS_INTERVAL_S + STATUS_TIMEOUT_S + WAY
# What a registry states, and what a proxy makes of it when it comes and just before the next answer does.
REGISTRY = STORE + following.PROBE_INTERVAL_S + WAY
PROXY = max(REGISTRY, watch.MAX_POLL_S) + WAY + watch.MAX_POLL_S + WAY
# A decided version whose announcement was lost: one round of a store in contact, then held asks are answered.
APPLY = STORE + 2 * WAY
# Confirmed by a member that is cut off before anybody received it: seen open in a round, left so for a while,
# then a ballot at the next look.
OPEN = 2 * (STATUS_INTERVAL_S + STATUS_WAIT_S) + 2 * UNDECIDED_WAIT_S + 2 * WAY
# A source whose machine is cut off from the core: its store's lease, the next look, another one looked for.
LEAVE_CUT = CONTACT_LEASE_S + following.PROBE_INTERVAL_S + following.FAILOVER_GRACE_S + WAY
# One that says nothing: an ask that was sent just before.
LEAVE_SILENT = registry_watcher.WATCH_TIMEOUT_S
# To another watcher, where all that was used was of no use.
TURN = registry_watcher.MAX_PAUSE_S + 3 * WAY
# A version that is here comes into force: not too soon after the one before, and after one that was given up.
TAKEN = (1 + config_applier.MAX_ABANDONED) * config_applier.MIN_INTERVAL_S


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_bounds_that_follow_from_the_constants_are_within_the_deployment(name: str) -> None:
    contact, apply, _ = DEPLOYMENTS[name]
    assert apply >= APPLY + TAKEN
    assert apply >= OPEN + TAKEN
    assert apply >= PROXY  # by age alone: whoever is notified of nothing new knows that there was nothing
    assert contact >= LEAVE_CUT + TURN + TAKEN
    assert contact >= LEAVE_SILENT + TURN + TAKEN
    assert apply >= LEAVE_CUT + TURN + TAKEN  # also where both sources are cut off
    assert apply >= LEAVE_SILENT + TURN + TAKEN
    # a store alone is silent: another's is asked
    assert apply >= following.CALL_TIMEOUT_S + following.PROBE_INTERVAL_S + TURN + TAKEN


def test_in_order_nobody_says_that_there_is_no_contact() -> None:
    assert STATUS_INTERVAL_S + STATUS_WAIT_S <= STORE < CONTACT_LEASE_S
    assert REGISTRY < following.MAX_STATE_AGE_S
    assert max(REGISTRY, watch.MAX_POLL_S) + WAY < registry_watcher.MAX_AGE_S
    assert PROXY < registry_watcher.CONTACT_LOST_AGE_S
    assert watch.MAX_POLL_S == registry_watcher.LONG_POLL_S == following.MAX_POLL_S


# Days


def looked_at(rig: CoreRig, until: float) -> list[str]:
    """What is wrong at any moment: a version taken back, or an age that says more than is known."""
    wrong: list[str] = []
    newest: dict[str, int] = {}

    def look() -> None:
        now = rig.world.seconds()
        for proxy in rig.proxies:
            number = rig.in_force(proxy, now)
            if number < newest.get(proxy.ip, -1) or any(
                after[1] <= before[1] for before, after in pairwise(proxy.versions)
            ):
                wrong.append(f"{now:.2f}: {proxy.ip} went back to r{number}")
            newest[proxy.ip] = number
            age = proxy.watcher.age(proxy.watcher.loop.time())
            known = max((decided for at, decided in rig.decided if at <= now - age), default=-1)
            if number < known:
                wrong.append(f"{now:.2f}: {proxy.ip} has r{number}, as of {age:.2f} s ago, not r{known}")
        for host, post in rig.watched_registries.items():
            age_ = post.store_client.state_age_s()
            known = max((n for at, n in rig.decided if age_ is not None and at <= now - age_), default=-1)
            if post.store_client.version_id.number < known:
                wrong.append(f"{now:.2f}: registry {host} as of {age_} s ago has not r{known}")

    rig.every(0.07, until, look)
    return wrong


def changing(rig: CoreRig, since: float, until: float, without: list[str]) -> None:
    """A change each 0.37 s, decided by all but these."""

    def change(number: int) -> None:
        rig.decide(number, [host for host in rig.hosts if host not in without])

    for number in range(int((until - since) / 0.37)):
        rig.at(since + number * 0.37, partial(change, number + 1))


def uses(rig: CoreRig, host: str, since: float, until: float) -> dict[str, float]:
    """When each proxy that used this source was last seen to use it, filled in while the day is played."""
    last: dict[str, float] = {}

    def look() -> None:
        for proxy in rig.proxies:
            now = rig.world.seconds()
            if host in proxy.watcher.selector.using and now - last.get(proxy.ip, since) < 3 * SLACK:
                last[proxy.ip] = now  # later it may come to look again

    at = since
    while at < until:
        rig.at(at, look)
        at += SLACK
    return last


CUTS = {"both ways": {}, "receives nothing": {"away": False}, "reaches nobody": {"here": False}}


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2)])
@pytest.mark.parametrize("how", CUTS)
def test_a_core_machine_is_cut_off_for_twenty_seconds(how: str, count: int, seed: int) -> None:
    rig = CoreRig(count, 5, seed)
    lost = rig.hosts[0]
    changing(rig, 2.0, 26.0, [lost])
    rig.at(4.0, partial(rig.cut, lost, **CUTS[how]))
    rig.at(24.0, rig.net.heal)
    used, wrong = uses(rig, lost, 4.0, 8.0), looked_at(rig, 27.0)
    rig.play(27.0)
    assert used, "nobody used it: nothing is shown"
    assert max(used.values()) - 4.0 <= LEAVE_CUT + SLACK
    assert not wrong, wrong[:3]
    assert not rig.late(APPLY)
    ages = [age for at, age in rig.watched_registries[lost].ages if 1004 + LEAVE_CUT < at < 1024]
    assert set(ages) <= {-1}, "it went on saying that it was in contact"


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2)])
def test_a_core_machine_is_cut_off_from_the_proxies_as_well(count: int, seed: int) -> None:
    rig = CoreRig(count, 5, seed)
    lost = rig.hosts[0]
    changing(rig, 2.0, 26.0, [lost])
    rig.at(4.0, partial(rig.cut, lost, from_proxies=True))
    rig.at(24.0, rig.net.heal)
    used, wrong = uses(rig, lost, 4.0, 8.0), looked_at(rig, 27.0)
    rig.play(27.0)
    assert used and max(used.values()) - 4.0 <= max(LEAVE_CUT, LEAVE_SILENT) + SLACK
    assert not wrong, wrong[:3]
    assert not rig.late(APPLY)


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2), (4, 3)])
def test_a_core_machine_stands_still_for_four_seconds(count: int, seed: int) -> None:
    rig = CoreRig(count, 8, seed)
    lost = rig.hosts[0]
    changing(rig, 2.0, 11.0, [lost])
    rig.at(4.0, partial(rig.freeze, lost, 4.0))
    used, wrong = uses(rig, lost, 4.0, 8.0), looked_at(rig, 13.0)
    rig.play(13.0)
    assert used and max(used.values()) - 4.0 <= LEAVE_SILENT + SLACK
    assert not wrong, wrong[:3]
    assert not rig.late(APPLY)
    woke = [age for at, age in rig.watched_registries[lost].ages if 1008.0 <= at < 1008.0 + 3 * WAY]
    assert all(age < 0 or age <= 3 * WAY * 1000 for age in woke), "stated contact from before the freeze"


@pytest.mark.parametrize("seed", [1, 2])
def test_only_the_store_of_a_machine_stands_still(seed: int) -> None:
    """Its registry asks another's; no proxy needs to leave."""
    rig = CoreRig(3, 6, seed)
    lost = rig.hosts[0]
    changing(rig, 2.0, 12.0, [lost])
    rig.at(4.0, lambda: rig.machines[lost][0].pause(rig.world.now + 4_000_000))
    wrong = looked_at(rig, 14.0)
    rig.play(14.0)
    assert not wrong, wrong[:3]
    assert not rig.late(APPLY)
    silent = [at for at, age in rig.watched_registries[lost].ages if age < 0 and at > 1003]
    assert all(
        1004
        <= at
        <= 1004 + following.CALL_TIMEOUT_S + following.PROBE_INTERVAL_S + following.FAILOVER_GRACE_S + 1
        for at in silent
    )


def test_two_of_five_are_cut_off_and_proxies_that_used_both_turn_in_time() -> None:
    rig, cut, both = CoreRig(5, 12, 4), list[str](), list[WatchingProxy]()
    changing(rig, 3.0, 14.0, cut)

    def cut_both() -> None:
        cut.extend(rig.proxies[0].watcher.selector.using)
        both.extend(proxy for proxy in rig.proxies if set(proxy.watcher.selector.using) == set(cut))
        for host in cut:
            rig.cut(host)

    rig.at(8.0, cut_both)
    wrong = looked_at(rig, 16.0)
    rig.play(16.0)
    assert both
    assert not wrong, wrong[:3]
    assert not rig.late(LEAVE_CUT + TURN)
    assert rig.late(CONTACT_LEASE_S / 2, since=8.0), "nobody had to wait for the turn: nothing is shown"


def test_without_any_contact_proxies_keep_their_state_log_it_once_and_do_not_press(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "irisdeal")
    rig = CoreRig(3, 4, 5)
    changing(rig, 3.0, 8.0, [])
    for host in rig.hosts:
        rig.at(8.0, partial(rig.cut, host))
    rig.at(28.0, rig.net.heal)
    asked: list[int] = []
    rig.at(13.0, lambda: asked.append(sum(len(post.ages) for post in rig.watched_registries.values())))
    rig.at(27.0, lambda: asked.append(sum(len(post.ages) for post in rig.watched_registries.values())))
    ages: list[float] = []
    rig.at(27.0, lambda: ages.extend(proxy.watcher.age(proxy.watcher.loop.time()) for proxy in rig.proxies))
    wrong = looked_at(rig, 32.0)
    rig.play(32.0)
    assert not wrong, wrong[:3]
    assert all(19.0 - STORE <= age <= 19.0 + STORE for age in ages), ages
    assert all(rig.in_force(proxy, 32.0) == rig.decided[-1][1] for proxy in rig.proxies)
    lines = Counter(record.getMessage()[:4] for record in caplog.records)
    assert lines["E411"] == lines["E412"] == 4
    assert (asked[1] - asked[0]) / 14 / 4 <= 2 * 1.0 / watch.MAX_POLL_S + 2 / MIN_BACKOFF_S, (
        "requests a second of a proxy"
    )


def test_a_registry_that_returns_is_not_stormed() -> None:
    """85 proxies; one machine is dead for 6 s. What comes to it in a quarter of a second is bounded."""
    rig = CoreRig(4, 85, 6)
    lost = rig.hosts[0]
    changing(rig, 3.0, 4.0, [lost])
    rig.at(4.0, partial(rig.kill, lost))
    rig.at(10.0, partial(rig.start, lost))
    came: list[tuple[float, int]] = []

    def look() -> None:
        if rig.world.seconds() > 10.0 and rig.watched_registries[lost].server.listener is not None:
            came.append((rig.world.seconds(), len(rig.watched_registries[lost].server.connections)))

    rig.every(0.25, 22.0, look)
    rig.play(22.0)
    steps = [after - before for (_, before), (_, after) in pairwise(came)]
    assert came[-1][1] >= 15, "those of its zone are back"
    # Those in its zone, 22, come back by themselves, spread over LEFT s at least: 22 / 2 x 0.25, and scatter.
    assert max(steps) <= 10, steps


def test_a_machine_that_left_the_list_is_asked_no_more() -> None:
    rig = CoreRig(4, 8, 7)
    lost = rig.hosts[0]
    changing(rig, 3.0, 5.0, [lost])
    rest = rig.hosts[1:]
    rig.at(
        6.0,
        lambda: rig.decide(50, rest, Members(1, tuple(format_seat(host, INITIAL_DISK_ID) for host in rest))),
    )
    rig.at(8.0, partial(rig.kill, lost))
    rig.play(20.0)
    for proxy in rig.proxies:
        assert lost not in proxy.watcher.selector.zones and lost not in proxy.watcher.selector.using
        assert lost not in proxy.watcher.selector.known_as_of
        assert rig.in_force(proxy, 20.0) == 50
    for host in rest:
        assert lost not in rig.watched_registries[host].store_client.rpc_clients


# What one answer does


def isolated_watcher(received: list[object]) -> RegistryWatcher:
    """The watcher of a proxy without a network, in a loop that stands."""
    world = World(1)
    machine = Machine(world, Network(world), "d", Core(), Costs())
    made: list[RegistryWatcher] = []

    async def run() -> int:
        settings = settings_of("10.1.9.1", ["10.0.0.1", "10.1.0.1", "10.2.0.1"])
        made.append(RegistryWatcher(settings, received.append, lambda incarnation, silent: None))
        return 0

    machine.start(run())
    world.run(lambda: bool(made), world.now + 1)
    return made[0]


def test_age_counts_only_once_the_version_is_here() -> None:
    received: list[object] = []
    watcher = isolated_watcher(received)
    assert watcher.age(1010.0) == float("inf")
    assert watcher._receive_age("10.0.0.1", 1000.0, 300, 7)  # change 7, of which we have nothing
    assert watcher.age(1010.0) == float("inf")
    watcher.configuration.change = 7
    watcher._receive_age("10.0.0.1", 1000.0, 300, 7)
    assert watcher.age(1001.0) == pytest.approx(1.3)
    watcher._receive_age("10.1.0.1", 1000.0, 900, 6)  # older: it takes nothing back
    assert watcher.age(1001.0) == pytest.approx(1.3)
    assert not watcher._receive_age("10.1.0.1", 1000.9, -1, 9)


def test_a_source_whose_knowledge_is_old_is_no_better_than_one_without_contact() -> None:
    watcher = isolated_watcher([])
    now = watcher.loop.time()
    assert watcher._receive_age("10.0.0.1", now - 0.1, int((registry_watcher.MAX_AGE_S - 0.2) * 1000), 0)
    assert not watcher._receive_age("10.0.0.1", now - 0.1, int(registry_watcher.MAX_AGE_S * 1000), 0)


def next_chunk(version_store: VersionStore, sync_state: SyncState, wanted: VersionId) -> list[Any]:
    """The next chunk as it stands on the wire."""
    chunk = version_store.next_chunk(sync_state, wanted)
    assert chunk is not None
    return chunk.encode()


def test_while_one_registry_sends_a_version_in_chunks_the_other_does_not_send_it() -> None:
    received: list[object] = []
    watcher, version_store, chance = isolated_watcher(received), VersionStore(), random.Random(1)
    version = ConfigVersion.of("r7", chance.randbytes(3 * CHUNK_BYTES))
    version_store.add(version)
    for piece in range(3):
        sync_state = watcher.configuration.sync_state("10.0.0.1")
        assert watcher.configuration.sync_state("10.1.0.1") == (
            SyncState(NEWEST_POSSIBLE) if piece else sync_state
        )
        watcher.configuration.receive(
            "10.0.0.1", sync_state, next_chunk(version_store, sync_state, version.version_id), 4
        )
        assert watcher.configuration.change == (4 if piece == 2 else -1)
    assert received == [version]
    assert watcher.configuration.sync_state("10.1.0.1").version_id == version.version_id
    watcher.configuration.receive(
        "10.1.0.1", SyncState(NEWEST_POSSIBLE), next_chunk(version_store, SyncState(), version.version_id), 4
    )  # one that was on its way
    assert received == [version]


def test_an_older_version_that_was_on_its_way_is_not_taken_for_the_newest() -> None:
    watcher, version_store = isolated_watcher([]), VersionStore()
    version = ConfigVersion.of("r7", b"seven")
    version_store.add(version)
    sync_state = watcher.configuration.sync_state("10.0.0.1")
    watcher.configuration.receive(
        "10.0.0.1", sync_state, next_chunk(version_store, sync_state, version.version_id), -1
    )  # the source has r8 by now
    assert watcher.configuration.version_id == version.version_id
    watcher._receive_age("10.0.0.1", 1000.0, 300, -1)
    assert watcher.age(1001.0) == float("inf")


def test_candidates_that_were_left_come_last_and_the_fresh_ones_of_our_zone_first() -> None:
    watcher = isolated_watcher([])
    watcher.selector.zones = {"10.0.0.1": "z0", "10.1.0.1": "z1", "10.2.0.1": "z2"}
    assert watcher.selector.candidates()[0] == "10.1.0.1"
    watcher.selector.avoid("10.1.0.1")
    assert watcher.selector.candidates()[-1] == "10.1.0.1"
    first = watcher.selector.candidates()[0]
    watcher.selector.known_as_of[first] = watcher.loop.time() - 30.0
    assert watcher.selector.candidates()[1] == first
    before = watcher.selector.avoided["10.1.0.1"]
    watcher.selector.avoid("10.1.0.1")
    assert watcher.selector.avoided["10.1.0.1"][1] == 2 * before[1]
