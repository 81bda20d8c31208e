"""Wrong settings and impossible events are told by the name of their field."""

from dataclasses import replace
from typing import Any

import pytest

from irisdeal.front_door.decisions import simulator
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Arrival, AttemptEnded, Result
from tests.support.decisions_rig import CLASSES, PLANS, Desk, name, settings


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("gateways", {"gateways": 0}),
        ("rank", {"rank": 3}),
        ("classes", {"classes": ()}),
        ("warm_up", {"warm_up": -1}),
        ("counter_timeout", {"counter_timeout": -5}),
        ("start_capacity", {"start_capacity": 0.0}),
        (r"classes\[0\].aim", {"classes": (replace(CLASSES[0], aim=0),)}),
        (r"plans\[1\].rate", {"plans": (PLANS[0], replace(PLANS[1], rate=-2.0))}),
    ],
)
def test_wrong_settings_name_their_field(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**changes)


@pytest.mark.parametrize(("field", "plan", "kind"), [("plan", 9, 0), ("request_class", 0, 7)])
def test_an_unknown_class_or_plan_is_named(field: str, plan: int, kind: int) -> None:
    gateway = Gateway(settings(), seed=1)
    with pytest.raises(ValueError, match=field):
        gateway.handle(0, [Arrival(1, 5, plan, kind, 1_000_000, 1.0, 0, 3)])


def test_an_outcome_of_an_unknown_request_changes_nothing() -> None:
    desk = Desk()
    assert desk.give(AttemptEnded(99, 0, name(1), Result.OK, 1000, True)) == []
    assert desk.gateway.out == 0


def test_settings_that_cannot_be_end_the_adapter_with_one_line(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def serve(*_: object) -> None:
        settings(rank=8)

    monkeypatch.setattr(simulator, "serve", serve)
    assert simulator.main() == 2
    assert capsys.readouterr().err == "irisdeal.front_door.decisions: rank is 8: wanted from 0 to 2\n"
