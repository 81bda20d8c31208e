"""Invalid settings and events are reported with the name of the field."""

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
def test_errors_in_settings_name_the_field(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=field):
        make_settings(**changes)


@pytest.mark.parametrize(("field", "plan", "kind"), [("plan_index", 9, 0), ("class_index", 0, 7)])
def test_errors_for_unknown_classes_and_plans_name_the_field(field: str, plan: int, kind: int) -> None:
    gateway = Gateway(make_settings(), seed=1)
    with pytest.raises(ValueError, match=field):
        gateway.handle(0, [RequestArrived(1, 5, plan, kind, 1_000_000, 1.0, 0, 3)])


def test_the_end_of_an_attempt_of_an_unknown_request_is_ignored() -> None:
    harness = GatewayHarness()
    assert harness.handle(AttemptEnded(99, 0, server_id(1), Result.OK, 1000, True)) == []
    assert harness.gateway.in_flight == 0


def test_invalid_settings_end_the_simulator_adapter_with_one_line(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def serve(*_: object) -> None:
        make_settings(rank=8)

    monkeypatch.setattr(simulator, "serve", serve)
    assert simulator.main() == 2
    assert capsys.readouterr().err == "irisdeal.front_door.decisions: rank is 8: wanted from 0 to 2\n"
