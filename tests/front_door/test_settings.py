"""Wrong settings and impossible events are told by the name of their field."""

from dataclasses import replace
from typing import Any

import pytest

from irisdeal.front_door.decisions import simulator
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import AttemptEnded, RequestArrived, Result
from tests.support.decisions_rig import CLASSES, PLANS, GatewayHarness, make_settings, server_id


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("gateway_count", {"gateway_count": 0}),
        ("rank", {"rank": 3}),
        ("classes", {"classes": ()}),
        ("warm_up_us", {"warm_up_us": -1}),
        ("counter_timeout_us", {"counter_timeout_us": -5}),
        ("start_capacity_ratio", {"start_capacity_ratio": 0.0}),
        (r"classes\[0\].latency_target_us", {"classes": (replace(CLASSES[0], latency_target_us=0),)}),
        (r"plans\[1\].rate_per_s", {"plans": (PLANS[0], replace(PLANS[1], rate_per_s=-2.0))}),
    ],
)
def test_wrong_settings_name_their_field(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=field):
        make_settings(**changes)


@pytest.mark.parametrize(("field", "plan", "kind"), [("plan_index", 9, 0), ("class_index", 0, 7)])
def test_an_unknown_class_or_plan_is_named(field: str, plan: int, kind: int) -> None:
    gateway = Gateway(make_settings(), seed=1)
    with pytest.raises(ValueError, match=field):
        gateway.handle(0, [RequestArrived(1, 5, plan, kind, 1_000_000, 1.0, 0, 3)])


def test_an_outcome_of_an_unknown_request_changes_nothing() -> None:
    desk = GatewayHarness()
    assert desk.handle(AttemptEnded(99, 0, server_id(1), Result.OK, 1000, True)) == []
    assert desk.gateway.in_flight == 0


def test_settings_that_cannot_be_end_the_adapter_with_one_line(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def serve(*_: object) -> None:
        make_settings(rank=8)

    monkeypatch.setattr(simulator, "serve", serve)
    assert simulator.main() == 2
    assert capsys.readouterr().err == "irisdeal.front_door.decisions: rank is 8: wanted from 0 to 2\n"
