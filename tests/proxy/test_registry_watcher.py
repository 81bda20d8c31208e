"""Proxies and registries in virtual time while a core machine is partitioned, in one or both directions, or
paused.

The tests check when proxies leave that machine, when decisions are in force, and that the reported ages are
correct. Bounds are derived from the program's constants, and compared with those of the four deployments.
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
from irisdeal.proxy.config_receiver import MAX_VERSION_ID
from irisdeal.proxy.registry_selector import MIN_BACKOFF_S
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.registry import store_client, watch
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
ROUND_TRIP_S = 0.04  # with the work at both ends: 2.8 ms between zones, the rest for a slow processor
STEP_S = 0.02  # interval at which the tests sample the state

# Maximum age of a healthy store's state, with one failed member: the interval of polls that a quorum answers.
STORE_AGE_S = STATUS_INTERVAL_S + STATUS_TIMEOUT_S + ROUND_TRIP_S
# Maximum age that a registry reports, and maximum age of a proxy's state just before the next reply.
REGISTRY_AGE_S = STORE_AGE_S + store_client.PROBE_INTERVAL_S + ROUND_TRIP_S
PROXY_AGE_S = max(REGISTRY_AGE_S, watch.MAX_POLL_S) + ROUND_TRIP_S + watch.MAX_POLL_S + ROUND_TRIP_S
# A decided version whose announcement was lost: one round of a store in contact, then the held polls are
# answered.
APPLY_S = STORE_AGE_S + 2 * ROUND_TRIP_S
# Confirmed by a member that is partitioned before any other one received it: found undecided in a round, left
# so
# for a while, then decided by a ballot in the next round.
UNDECIDED_S = 2 * (STATUS_INTERVAL_S + STATUS_WAIT_S) + 2 * UNDECIDED_WAIT_S + 2 * ROUND_TRIP_S
# Leaving a registry that is partitioned from the core: its store's lease, the next probe, the failover.
LEAVE_PARTITIONED_S = (
    CONTACT_LEASE_S + store_client.PROBE_INTERVAL_S + store_client.FAILOVER_GRACE_S + ROUND_TRIP_S
)
# Leaving a registry that does not reply: the time-out of a request that was sent just before.
LEAVE_UNRESPONSIVE_S = registry_watcher.WATCH_TIMEOUT_S
# Switching to another registry when all watched ones have failed.
SWITCH_S = registry_watcher.MAX_PAUSE_S + 3 * ROUND_TRIP_S
# Applying a received version: after the minimum interval, and after an abandoned build.
BUILD_S = (1 + config_applier.MAX_ABANDONED_COUNT) * config_applier.MIN_INTERVAL_S


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_bounds_that_follow_from_the_constants_are_within_the_deployment(name: str) -> None:
    contact, apply, _ = DEPLOYMENTS[name]
    assert apply >= APPLY_S + BUILD_S
    assert apply >= UNDECIDED_S + BUILD_S
    assert apply >= PROXY_AGE_S  # without an update, the age alone shows that nothing was decided
    assert contact >= LEAVE_PARTITIONED_S + SWITCH_S + BUILD_S
    assert contact >= LEAVE_UNRESPONSIVE_S + SWITCH_S + BUILD_S
    # also if both watched registries are partitioned
    assert apply >= LEAVE_PARTITIONED_S + SWITCH_S + BUILD_S
    assert apply >= LEAVE_UNRESPONSIVE_S + SWITCH_S + BUILD_S
    # only a store fails to answer: its registry uses the store of another machine
    assert apply >= store_client.CALL_TIMEOUT_S + store_client.PROBE_INTERVAL_S + SWITCH_S + BUILD_S


def test_without_faults_all_ages_are_below_the_limits_of_contact() -> None:
    assert STATUS_INTERVAL_S + STATUS_WAIT_S <= STORE_AGE_S < CONTACT_LEASE_S
    assert REGISTRY_AGE_S < store_client.MAX_STATE_AGE_S
    assert max(REGISTRY_AGE_S, watch.MAX_POLL_S) + ROUND_TRIP_S < registry_watcher.MAX_AGE_S
    assert PROXY_AGE_S < registry_watcher.CONTACT_LOST_AGE_S
    assert watch.MAX_POLL_S == registry_watcher.LONG_POLL_S == store_client.MAX_POLL_S


# Runs with faults


def watch_for_violations(rig: CoreRig, until: float) -> list[str]:
    """Return a list to which the run adds violations: a decreasing version, or a reported age that is too
    low.
    """
    violations: list[str] = []
    newest: dict[str, int] = {}

    def sample() -> None:
        now = rig.world.seconds()
        for proxy in rig.proxies:
            number = rig.in_force(proxy, now)
            if number < newest.get(proxy.ip, -1) or any(
                after[1] <= before[1] for before, after in pairwise(proxy.versions)
            ):
                violations.append(f"{now:.2f}: {proxy.ip} returned to r{number}")
            newest[proxy.ip] = number
            age = proxy.watcher.age(proxy.watcher.loop.time())
            known = max((decided for at, decided in rig.decided if at <= now - age), default=-1)
            if number < known:
                violations.append(f"{now:.2f}: {proxy.ip} has r{number}, as of {age:.2f} s ago, not r{known}")
        for host, post in rig.watched_registries.items():
            age_ = post.store_client.state_age_s()
            known = max((n for at, n in rig.decided if age_ is not None and at <= now - age_), default=-1)
            if post.store_client.version_id.number < known:
                violations.append(f"{now:.2f}: registry {host} as of {age_} s ago has not r{known}")

    rig.every(0.07, until, sample)
    return violations


def change_repeatedly(rig: CoreRig, since: float, until: float, without: list[str]) -> None:
    """Decide a change every 0.37 s on all machines but these."""

    def change(number: int) -> None:
        rig.decide(number, [host for host in rig.hosts if host not in without])

    for number in range(int((until - since) / 0.37)):
        rig.at(since + number * 0.37, partial(change, number + 1))


def last_uses(rig: CoreRig, host: str, since: float, until: float) -> dict[str, float]:
    """Return a dictionary to which the run adds when each proxy last watched this registry."""
    last: dict[str, float] = {}

    def sample() -> None:
        for proxy in rig.proxies:
            now = rig.world.seconds()
            if host in proxy.watcher.selector.watched and now - last.get(proxy.ip, since) < 3 * STEP_S:
                last[proxy.ip] = now  # not extended after a gap, as the proxy may return later

    at = since
    while at < until:
        rig.at(at, sample)
        at += STEP_S
    return last


PARTITIONS = {"both directions": {}, "inbound": {"away": False}, "outbound": {"here": False}}


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2)])
@pytest.mark.parametrize("how", PARTITIONS)
def test_a_core_machine_is_partitioned_for_20_seconds(how: str, count: int, seed: int) -> None:
    rig = CoreRig(count, 5, seed)
    lost = rig.hosts[0]
    change_repeatedly(rig, 2.0, 26.0, [lost])
    rig.at(4.0, partial(rig.cut, lost, **PARTITIONS[how]))
    rig.at(24.0, rig.net.heal)
    used, violations = last_uses(rig, lost, 4.0, 8.0), watch_for_violations(rig, 27.0)
    rig.play(27.0)
    assert used, "no proxy watched it, so the test shows nothing"
    assert max(used.values()) - 4.0 <= LEAVE_PARTITIONED_S + STEP_S
    assert not violations, violations[:3]
    assert not rig.late(APPLY_S)
    ages = [age for at, age in rig.watched_registries[lost].ages if 1004 + LEAVE_PARTITIONED_S < at < 1024]
    assert set(ages) <= {-1}, "it still reported contact"


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2)])
def test_a_core_machine_is_partitioned_from_the_proxies_as_well(count: int, seed: int) -> None:
    rig = CoreRig(count, 5, seed)
    lost = rig.hosts[0]
    change_repeatedly(rig, 2.0, 26.0, [lost])
    rig.at(4.0, partial(rig.cut, lost, from_proxies=True))
    rig.at(24.0, rig.net.heal)
    used, violations = last_uses(rig, lost, 4.0, 8.0), watch_for_violations(rig, 27.0)
    rig.play(27.0)
    assert used and max(used.values()) - 4.0 <= max(LEAVE_PARTITIONED_S, LEAVE_UNRESPONSIVE_S) + STEP_S
    assert not violations, violations[:3]
    assert not rig.late(APPLY_S)


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (4, 2), (4, 3)])
def test_a_core_machine_is_paused_for_four_seconds(count: int, seed: int) -> None:
    rig = CoreRig(count, 8, seed)
    lost = rig.hosts[0]
    change_repeatedly(rig, 2.0, 11.0, [lost])
    rig.at(4.0, partial(rig.freeze, lost, 4.0))
    used, violations = last_uses(rig, lost, 4.0, 8.0), watch_for_violations(rig, 13.0)
    rig.play(13.0)
    assert used and max(used.values()) - 4.0 <= LEAVE_UNRESPONSIVE_S + STEP_S
    assert not violations, violations[:3]
    assert not rig.late(APPLY_S)
    after_pause = [
        age for at, age in rig.watched_registries[lost].ages if 1008.0 <= at < 1008.0 + 3 * ROUND_TRIP_S
    ]
    assert all(age < 0 or age <= 3 * ROUND_TRIP_S * 1000 for age in after_pause), (
        "it reported contact from before the pause"
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_only_the_store_of_a_machine_is_paused(seed: int) -> None:
    """Its registry uses the store of another machine, so no proxy needs to leave."""
    rig = CoreRig(3, 6, seed)
    lost = rig.hosts[0]
    change_repeatedly(rig, 2.0, 12.0, [lost])
    rig.at(4.0, lambda: rig.machines[lost][0].pause(rig.world.now + 4_000_000))
    violations = watch_for_violations(rig, 14.0)
    rig.play(14.0)
    assert not violations, violations[:3]
    assert not rig.late(APPLY_S)
    silent = [at for at, age in rig.watched_registries[lost].ages if age < 0 and at > 1003]
    assert all(
        1004
        <= at
        <= 1004
        + store_client.CALL_TIMEOUT_S
        + store_client.PROBE_INTERVAL_S
        + store_client.FAILOVER_GRACE_S
        + 1
        for at in silent
    )


def test_two_of_five_machines_are_partitioned_and_proxies_that_watched_both_switch_in_time() -> None:
    rig, cut, both = CoreRig(5, 12, 4), list[str](), list[WatchingProxy]()
    change_repeatedly(rig, 3.0, 14.0, cut)

    def cut_both() -> None:
        cut.extend(rig.proxies[0].watcher.selector.watched)
        both.extend(proxy for proxy in rig.proxies if set(proxy.watcher.selector.watched) == set(cut))
        for host in cut:
            rig.cut(host)

    rig.at(8.0, cut_both)
    violations = watch_for_violations(rig, 16.0)
    rig.play(16.0)
    assert both
    assert not violations, violations[:3]
    assert not rig.late(LEAVE_PARTITIONED_S + SWITCH_S)
    assert rig.late(CONTACT_LEASE_S / 2, since=8.0), "no proxy had to switch, so the test shows nothing"


def test_without_any_contact_proxies_keep_their_state_log_it_once_and_poll_at_a_limited_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "irisdeal")
    rig = CoreRig(3, 4, 5)
    change_repeatedly(rig, 3.0, 8.0, [])
    for host in rig.hosts:
        rig.at(8.0, partial(rig.cut, host))
    rig.at(28.0, rig.net.heal)
    request_counts: list[int] = []
    rig.at(
        13.0, lambda: request_counts.append(sum(len(post.ages) for post in rig.watched_registries.values()))
    )
    rig.at(
        27.0, lambda: request_counts.append(sum(len(post.ages) for post in rig.watched_registries.values()))
    )
    ages: list[float] = []
    rig.at(27.0, lambda: ages.extend(proxy.watcher.age(proxy.watcher.loop.time()) for proxy in rig.proxies))
    violations = watch_for_violations(rig, 32.0)
    rig.play(32.0)
    assert not violations, violations[:3]
    assert all(19.0 - STORE_AGE_S <= age <= 19.0 + STORE_AGE_S for age in ages), ages
    assert all(rig.in_force(proxy, 32.0) == rig.decided[-1][1] for proxy in rig.proxies)
    lines = Counter(record.getMessage()[:4] for record in caplog.records)
    assert lines["E411"] == lines["E412"] == 4
    assert (
        request_counts[1] - request_counts[0]
    ) / 14 / 4 <= 2 * 1.0 / watch.MAX_POLL_S + 2 / MIN_BACKOFF_S, "requests a second of a proxy"


def test_proxies_return_to_a_restarted_registry_gradually() -> None:
    """One machine is down for 6 s; the new connections of 85 proxies per 0.25 s after its return are
    bounded.
    """
    rig = CoreRig(4, 85, 6)
    lost = rig.hosts[0]
    change_repeatedly(rig, 3.0, 4.0, [lost])
    rig.at(4.0, partial(rig.kill, lost))
    rig.at(10.0, partial(rig.start, lost))
    connection_counts: list[tuple[float, int]] = []

    def sample() -> None:
        if rig.world.seconds() > 10.0 and rig.watched_registries[lost].server.listener is not None:
            connection_counts.append(
                (rig.world.seconds(), len(rig.watched_registries[lost].server.connections))
            )

    rig.every(0.25, 22.0, sample)
    rig.play(22.0)
    steps = [after - before for (_, before), (_, after) in pairwise(connection_counts)]
    assert connection_counts[-1][1] >= 15, "the proxies of its zone have returned"
    # The 22 proxies in its zone return over at least MIN_BACKOFF_S: 22 / 2 x 0.25 per sample, and random
    # variation.
    assert max(steps) <= 10, steps


def test_a_machine_that_left_the_list_is_not_polled_any_more() -> None:
    rig = CoreRig(4, 8, 7)
    lost = rig.hosts[0]
    change_repeatedly(rig, 3.0, 5.0, [lost])
    rest = rig.hosts[1:]
    rig.at(
        6.0,
        lambda: rig.decide(50, rest, Members(1, tuple(format_seat(host, INITIAL_DISK_ID) for host in rest))),
    )
    rig.at(8.0, partial(rig.kill, lost))
    rig.play(20.0)
    for proxy in rig.proxies:
        assert lost not in proxy.watcher.selector.zones and lost not in proxy.watcher.selector.watched
        assert lost not in proxy.watcher.selector.known_as_of
        assert rig.in_force(proxy, 20.0) == 50
    for host in rest:
        assert lost not in rig.watched_registries[host].store_client.rpc_clients


# Single replies


def isolated_watcher(received: list[object]) -> RegistryWatcher:
    """Return the watcher of a proxy without a network, whose event loop does not advance."""
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


def test_an_age_counts_only_after_its_version_was_received() -> None:
    received: list[object] = []
    watcher = isolated_watcher(received)
    assert watcher.age(1010.0) == float("inf")
    assert watcher._receive_age("10.0.0.1", 1000.0, 300, 7)  # the configuration of change 7 was not received
    assert watcher.age(1010.0) == float("inf")
    watcher.configuration.change = 7
    watcher._receive_age("10.0.0.1", 1000.0, 300, 7)
    assert watcher.age(1001.0) == pytest.approx(1.3)
    watcher._receive_age("10.1.0.1", 1000.0, 900, 6)  # an older one has no effect
    assert watcher.age(1001.0) == pytest.approx(1.3)
    assert not watcher._receive_age("10.1.0.1", 1000.9, -1, 9)


def test_a_registry_with_old_state_counts_as_without_contact() -> None:
    watcher = isolated_watcher([])
    now = watcher.loop.time()
    assert watcher._receive_age("10.0.0.1", now - 0.1, int((registry_watcher.MAX_AGE_S - 0.2) * 1000), 0)
    assert not watcher._receive_age("10.0.0.1", now - 0.1, int(registry_watcher.MAX_AGE_S * 1000), 0)


def next_chunk(version_store: VersionStore, sync_state: SyncState, wanted: VersionId) -> list[Any]:
    """Return the next chunk in the wire format."""
    chunk = version_store.next_chunk(sync_state, wanted)
    assert chunk is not None
    return chunk.encode()


def test_while_one_registry_sends_a_version_in_chunks_the_other_does_not_send_it() -> None:
    received: list[object] = []
    watcher, version_store, rng = isolated_watcher(received), VersionStore(), random.Random(1)
    version = ConfigVersion.of("r7", rng.randbytes(3 * CHUNK_BYTES))
    version_store.add(version)
    for piece in range(3):
        sync_state = watcher.configuration.sync_state("10.0.0.1")
        assert watcher.configuration.sync_state("10.1.0.1") == (
            SyncState(MAX_VERSION_ID) if piece else sync_state
        )
        watcher.configuration.receive(
            "10.0.0.1", sync_state, next_chunk(version_store, sync_state, version.version_id), 4
        )
        assert watcher.configuration.change == (4 if piece == 2 else -1)
    assert received == [version]
    assert watcher.configuration.sync_state("10.1.0.1").version_id == version.version_id
    watcher.configuration.receive(
        "10.1.0.1", SyncState(MAX_VERSION_ID), next_chunk(version_store, SyncState(), version.version_id), 4
    )  # sent before the version was complete
    assert received == [version]


def test_an_older_version_that_arrives_late_is_not_taken_for_the_newest() -> None:
    watcher, version_store = isolated_watcher([]), VersionStore()
    version = ConfigVersion.of("r7", b"seven")
    version_store.add(version)
    sync_state = watcher.configuration.sync_state("10.0.0.1")
    watcher.configuration.receive(
        "10.0.0.1", sync_state, next_chunk(version_store, sync_state, version.version_id), -1
    )  # the registry has r8 by now
    assert watcher.configuration.version_id == version.version_id
    watcher._receive_age("10.0.0.1", 1000.0, 300, -1)
    assert watcher.age(1001.0) == float("inf")


def test_candidates_in_their_backoff_come_last_and_recent_ones_of_the_same_zone_first() -> None:
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


# Guards against CONFIG: two exceptions ended both watches of a proxy, which then got no updates any more.
def test_a_proxy_whose_updates_fail_keeps_watching() -> None:
    rig = CoreRig(3, 1)
    failed: list[int] = []

    def fail_twice() -> None:
        receiver = rig.proxies[0].watcher.configuration
        on_version = receiver.on_version

        def on_failing_version(version: ConfigVersion) -> None:
            if len(failed) < 2 * registry_watcher.WATCHED_COUNT:
                failed.append(version.version_id.number)
                raise KeyError("")
            on_version(version)

        receiver.on_version = on_failing_version

    rig.at(1.5, fail_twice)
    change_repeatedly(rig, 2.0, 8.0, [])
    rig.play(9.0)
    newest = max(number for _, number in rig.decided)
    assert failed and rig.proxies[0].watcher.configuration.version_id.number == newest
    assert rig.proxies[0].versions[-1][1] == newest
