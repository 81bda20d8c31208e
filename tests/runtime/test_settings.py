"""A settings file that lacks what the process needs is invalid."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Failure, Success

from irisdeal.runtime.settings import parse_settings

SETTINGS: dict[str, Any] = {
    "node_name": "n",
    "role": "r",
    "ip": "10.0.0.1",
    "zone": "z",
    "port_range": [7340, 7355],
    "seed_peers": [],
}
ADDRESS = "10.0.0.1:8000"


@pytest.mark.parametrize(
    ("serves", "bind", "is_valid"),
    [
        ([], {}, True),
        (["edge"], {"front": ADDRESS, "readiness": "10.0.0.1:8001"}, True),
        (["edge"], {"front": ADDRESS}, False),
        (["control_plane"], {"control": ADDRESS}, True),
        (["control_plane"], {}, False),
        (["edge", "control_plane"], {"front": ADDRESS, "readiness": "10.0.0.1:8001"}, False),
        (["what comes later"], {}, True),
    ],
)
def test_each_address_that_a_process_serves_at_is_needed(
    serves: list[str], bind: dict[str, str], is_valid: bool
) -> None:
    result = parse_settings({**SETTINGS, "serves": serves, "bind": bind})
    assert isinstance(result, Success if is_valid else Failure)
