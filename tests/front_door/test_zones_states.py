"""Exhaustive search of the zone failover of three front doors and two zones, which must find planted bugs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.zones_states import STARTS, search
from irisdeal.front_door.zones import failover
from irisdeal.front_door.zones.evidence import Evidence
from irisdeal.front_door.zones.failover import Zone, ZoneCounterCall, ZoneFailover, ZoneState


@pytest.mark.parametrize("where", STARTS)
def test_no_state_within_a_few_steps_breaks_a_rule(where: str) -> None:
    found, broken = search(3, where=where)
    assert broken is None, (broken.check(), broken.trace)
    assert sum(found) > 100


def _alarms_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Evidence, "is_alarm", property(lambda self: True))
    patch.setattr(ZoneFailover, "_has_healthy_alternative", lambda *_: True)


def _needs_no_alternative(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ZoneFailover, "_has_healthy_alternative", lambda *_: True)


def _needs_no_failure(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ZoneFailover, "_has_unanswered_failure", lambda *_: True)


def _forgets_to_withdraw(patch: pytest.MonkeyPatch) -> None:
    def withdraw(self: ZoneFailover, zone: Zone, now: int, extra_amount: int) -> list[ZoneCounterCall]:
        zone.counted_epoch = -1
        return []

    patch.setattr(ZoneFailover, "_withdraw_suspicion", withdraw)


def _counts_twice(patch: pytest.MonkeyPatch) -> None:
    count_suspicion: Callable[..., list[ZoneCounterCall]] = ZoneFailover._count_suspicion
    patch.setattr(ZoneFailover, "_count_suspicion", lambda *args: count_suspicion(*args) * 2)


def _no_ramp(patch: pytest.MonkeyPatch) -> None:
    load_share = ZoneFailover.load_share

    def full_share(self: ZoneFailover, number: int, now: int) -> float:
        zone = self.zones.get(number)
        return (
            1.0 if zone is not None and zone.state is ZoneState.RETURNING else load_share(self, number, now)
        )

    patch.setattr(ZoneFailover, "load_share", full_share)


def _steeper_ramp(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failover, "COLD_LOAD_RATIO", 1.2)


def _needs_no_suspects(patch: pytest.MonkeyPatch) -> None:
    def receive_count(
        self: ZoneFailover, call: ZoneCounterCall, total: float, now: int
    ) -> list[ZoneCounterCall]:
        self._leave(self.zones[call.zone], now, True)
        return []

    patch.setattr(ZoneFailover, "receive_count", receive_count)


@pytest.mark.parametrize(
    ("plant", "where", "rule"),
    [
        (_alarms_at_once, "calm", "no other that answers|has no zone"),
        (_needs_no_alternative, "stale", "no other that answers"),
        (_needs_no_failure, "two", "on others' word alone"),
        (_forgets_to_withdraw, "lost", "are told where"),
        (_counts_twice, "lost", "are told where"),
        (_no_ramp, "returning", "sends too much"),
        (_steeper_ramp, "returning", "sends too much"),
        (_needs_no_suspects, "lost", "left zone 0 since"),
    ],
)
def test_a_planted_bug_is_found(
    plant: Callable[[pytest.MonkeyPatch], Any],
    where: str,
    rule: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant(monkeypatch)
    _, broken = search(4, where=where)
    assert broken is not None and any(text in broken.check() for text in rule.split("|")), broken
