"""Tenants, limits and keys change amid floods and faults: no tenant exceeds its limit."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from irisdeal.permits.allowance import Limit
from irisdeal.permits.issuer import PermitIssuer
from irisdeal.simulation.quota.limit_changes import NOT_ISSUING_S, play
from irisdeal.simulation.quota.world import QuotaWorld

FLOOD_S = (10.0, 24.0)
ABSENT_S = 0.05


def play_absences(rate: float, burst: float, proxies: int) -> float:
    """Remove a tenant eight times for a moment in a flood; return the worst window."""
    world = QuotaWorld(proxies, 4, rate, 3, burst)
    world.applies_each_version, world.not_issuing_avoidance_s = True, NOT_ISSUING_S
    world.load(0, FLOOD_S[0], 0.5)
    world.load(*FLOOD_S, 20)
    for number in range(8):
        at = FLOOD_S[0] + 0.6 + number * (ABSENT_S + 0.3)
        world.at(at, world.remove_tenant, "t")
        world.at(at + ABSENT_S, world.set_limit, rate, burst, "t")
    world.play(FLOOD_S[1] + 2)
    return world.worst()


# Guards against QUOTA: removed and added in a flood, a tenant got up to 2.3 times what the rule allows.
@pytest.mark.parametrize(("rate", "burst"), [(5.0, 5.0), (30.0, 30.0), (100.0, 300.0), (10.0, 250.0)])
@pytest.mark.parametrize("proxies", [1, 8, 40])
def test_a_tenant_that_comes_and_goes_in_a_flood_stays_within_its_limit(
    rate: float, burst: float, proxies: int
) -> None:
    assert play_absences(rate, burst, proxies) <= 1.0


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_random_changes_of_tenants_and_limits_keep_the_rule(first: int) -> None:
    for seed in range(first, first + 20):
        worst, played = play(seed)
        assert worst <= 1.0, (worst, played)


_configure = PermitIssuer.configure


def _drop_buckets(self: PermitIssuer, limits: Mapping[str, Limit]) -> None:
    _configure(self, limits)
    for tenant in [tenant for tenant in self.buckets if tenant not in limits]:
        del self.buckets[tenant], self.histories[tenant]


@pytest.mark.parametrize("seed", [42, 136, 212, 359])
def test_buckets_that_are_dropped_with_their_tenants_are_found(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(PermitIssuer, "configure", _drop_buckets)
    assert play(seed)[0] > 1.0
