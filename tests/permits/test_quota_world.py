"""No tenant exceeds its limit under any fault: known failures, random fault schedules and planted bugs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.bucket import PermitBucket
from irisdeal.registry.quota_service import QuotaService
from irisdeal.simulation.quota import world
from irisdeal.simulation.quota.faults import QuotaDayPlayer, draw, play
from irisdeal.simulation.quota.world import QuotaWorld

FLOOD_AT_S = 12.0  # end of the normal load, and begin of nine times the rate
END_S = 25.0
Fault = Callable[[QuotaWorld], None]


def play_flood(proxies: int, rate: float, seed: int, fault: Fault, until: float = END_S) -> QuotaWorld:
    """Play normal load, then an overload of nine times the rate with a fault in it."""
    world = QuotaWorld(proxies, 4, rate, seed)
    world.load(0, FLOOD_AT_S, 0.62)
    world.load(FLOOD_AT_S, until, 9)
    fault(world)
    world.play(until + 2)
    return world


def partition(world: QuotaWorld, name: str, since: float, until: float) -> None:
    """Partition one proxy from all registries, in both directions."""
    for ip in world.registries:
        for pair in ((name, ip), (ip, name)):
            world.at(since, world.partitioned.add, pair)
            world.at(until, world.partitioned.discard, pair)


def flapping(turn: float) -> Fault:
    """Partition all proxies from the registries and reconnect them, alternating every `turn` seconds."""

    def fault(world: QuotaWorld) -> None:
        for proxy in world.proxies:
            since = 11.5 + world.chance.random() * 2 * turn
            while since < 22.0:
                partition(world, proxy.name, since, since + turn)
                since += 2 * turn

    return fault


def partitioned_until(until: float) -> Fault:
    """Partition six in ten proxies from all registries, from 2 s into the flood."""

    def fault(world: QuotaWorld) -> None:
        for proxy in world.proxies:
            if world.chance.random() < 0.6:
                partition(world, proxy.name, 14.0, until)

    return fault


def restarts(world: QuotaWorld) -> None:
    """Restart all registries eight times, a second apart, without their state."""
    for number in range(8):
        for ip in list(world.registries):
            world.at(13.0 + number, world.kill_registry, ip)
            world.at(13.5 + number, world.start_registry, ip)


def registry_partitioned(world: QuotaWorld) -> None:
    """Partition one registry from the others for over a minute; proxies reach all."""
    for other in ("g1", "g2", "g3"):
        for pair in (("g0", other), (other, "g0")):
            world.at(14.0, world.partitioned.add, pair)
            world.at(80.0, world.partitioned.discard, pair)


@pytest.mark.parametrize("proxies", [8, 85])
@pytest.mark.parametrize("rate", [5.0, 30.0, 150.0])
@pytest.mark.parametrize("turn", [0.1, 0.5, 1.0])
def test_proxies_that_are_partitioned_repeatedly_stay_within_the_limit(
    proxies: int,
    rate: float,
    turn: float,
) -> None:
    world = play_flood(proxies, rate, 2, flapping(turn))
    assert world.judge.worst() <= 1.0
    assert world.judge.served(13, 22) >= 0.3 * 9 * rate


@pytest.mark.parametrize("proxies", [8, 85])
@pytest.mark.parametrize("rate", [30.0, 150.0])
@pytest.mark.parametrize(
    ("fault", "until"),
    [
        (partitioned_until(24.0), END_S),
        (partitioned_until(80.0), 82.0),
        (restarts, END_S),
        (registry_partitioned, 82.0),
    ],
)
def test_long_partitions_and_restarted_registries_stay_within_the_limit(
    proxies: int,
    rate: float,
    fault: Fault,
    until: float,
) -> None:
    assert play_flood(proxies, rate, 1, fault, until=until).judge.worst() <= 1.0


@pytest.mark.parametrize(
    "fault",
    [lambda world: world.at(14.0, world.kill_registry, "g1"), registry_partitioned, partitioned_until(24.0)],
)
def test_an_overload_is_served_despite_any_single_fault(fault: Fault) -> None:
    world = play_flood(85, 30.0, 3, fault)
    assert world.judge.served(14, 24) >= 0.6 * 10 * 30 and world.judge.worst() <= 1.0


@pytest.mark.parametrize("proxies", [8, 85, 188])
def test_an_overload_is_served_at_the_rate_and_normal_load_is_hardly_rejected(
    proxies: int,
) -> None:
    world = QuotaWorld(proxies, 4, 30.0, 4)
    world.load(4, 34, 0.9)
    world.play(34)
    assert world.refused <= 0.02 * world.asked
    world.load(34, 44, 9)
    world.play(45)
    assert world.judge.served(35, 44) >= 9 * 30 and world.judge.worst() <= 1.0


def test_a_lowered_limit_binds_despite_prefetched_permits() -> None:
    def fault(world: QuotaWorld) -> None:
        world.at(16.0, world.set_limit, 10.0, 10.0)

    world = play_flood(85, 100.0, 5, fault, until=40.0)
    late = [at for at in world.judge.ran if at > 24.0]
    assert world.judge.worst() <= 1.0 and late


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_random_fault_schedules_keep_the_rule(first: int) -> None:
    for seed in range(first, first + 10):
        worst, played = play(seed)
        assert worst <= 1.0, (worst, played)


# Planted bugs: each is found by the same schedules


def _claim_free(self: PermitBucket, now: float, is_late: bool = False, cost: float = 1.0) -> bool:
    return self.ready(now) >= cost


def _admit(
    self: QuotaWorld, number: int, proxy: Any, remaining: list[str], started_at: float, tenant: str
) -> None:
    if remaining or self.time == started_at:
        return _claim_from_next(self, number, proxy, remaining, started_at, tenant)
    return self._run(self.time, tenant)


def _always(self: IssuingAuthority, age_s: float | None, now: float) -> bool:
    return True


def _freely(self: QuotaService, request: Any) -> int:
    return int(request.wanted)


_claim_from_next = world.QuotaWorld._claim_from_next


@pytest.mark.parametrize(
    ("owner", "name", "planted"),
    [
        (PermitBucket, "claim", _claim_free),  # a permit is not deducted
        # a proxy admits a request if no registry replies in time
        (QuotaWorld, "_claim_from_next", _admit),
        # a registry that was removed, or is new in the list, issues
        (IssuingAuthority, "may_issue", _always),
        (QuotaService, "lend", _freely),  # lent permits are not deducted at the lender
    ],
    ids=["not deducted", "admit on time-out", "no authority", "lends freely"],
)
def test_planted_bugs_are_found(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    name: str,
    planted: Any,
) -> None:
    monkeypatch.setattr(owner, name, planted)
    assert any(play(seed)[0] > 1.0 for seed in range(200))


def test_a_schedule_replays_identically() -> None:
    first, second = (QuotaDayPlayer(draw(17)) for _ in range(2))
    assert first.play() == second.play() and first.world.judge.ran == second.world.judge.ran
