"""The beliefs of three doors on two zones, searched state by state; and what the search finds when broken."""

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
    assert broken is None, (broken.check(), broken.way)
    assert sum(found) > 100


def _leaves_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Evidence, "is_alarm", property(lambda self: True))
    patch.setattr(ZoneFailover, "_has_healthy_alternative", lambda *_: True)


def _no_other(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ZoneFailover, "_has_healthy_alternative", lambda *_: True)


def _no_doubt(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ZoneFailover, "_has_unanswered_failure", lambda *_: True)


def _forgets_to_withdraw(patch: pytest.MonkeyPatch) -> None:
    def withdraw(self: ZoneFailover, zone: Zone, now: int, more: int) -> list[ZoneCounterCall]:
        zone.counted_epoch = -1
        return []

    patch.setattr(ZoneFailover, "_withdraw_suspicion", withdraw)


def _tells_twice(patch: pytest.MonkeyPatch) -> None:
    tell: Callable[..., list[ZoneCounterCall]] = ZoneFailover._count_suspicion
    patch.setattr(ZoneFailover, "_count_suspicion", lambda *args: tell(*args) * 2)


def _no_ramp(patch: pytest.MonkeyPatch) -> None:
    share = ZoneFailover.load_share

    def whole(self: ZoneFailover, number: int, now: int) -> float:
        zone = self.zones.get(number)
        return 1.0 if zone is not None and zone.state is ZoneState.RETURNING else share(self, number, now)

    patch.setattr(ZoneFailover, "load_share", whole)


def _steeper_ramp(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failover, "COLD_LOAD_RATIO", 1.2)


def _one_suspect(patch: pytest.MonkeyPatch) -> None:
    def receive_count(
        self: ZoneFailover, word: ZoneCounterCall, total: float, now: int
    ) -> list[ZoneCounterCall]:
        self._leave(self.zones[word.zone], now, True)
        return []

    patch.setattr(ZoneFailover, "receive_count", receive_count)


@pytest.mark.parametrize(
    ("plant", "where", "rule"),
    [
        (_leaves_at_once, "calm", "no other that answers|has no zone"),
        (_no_other, "stale", "no other that answers"),
        (_no_doubt, "two", "on others' word alone"),
        (_forgets_to_withdraw, "lost", "are told where"),
        (_tells_twice, "lost", "are told where"),
        (_no_ramp, "returning", "sends too much"),
        (_steeper_ramp, "returning", "sends too much"),
        (_one_suspect, "lost", "left zone 0 since"),
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
