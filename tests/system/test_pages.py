"""Pages that are made from the code say what the code says; the deploy file starts what is there."""

import importlib.util
import tomllib
from pathlib import Path

from irisdeal.runtime.event_catalogue import page

ROOT = Path(__file__).parents[2]


def test_the_catalogue_of_events_is_the_codes() -> None:
    assert (ROOT / "docs" / "operate" / "events.md").read_text("utf-8") == page()


def test_every_role_runs_a_package_that_is_there() -> None:
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["roles"]
    assert {role["on"] for role in roles.values()} == {"edge", "core"}
    for role in roles.values():
        *program, package = role["run"].split(" ")
        assert program == ["python3", "-S", "-m"]
        assert importlib.util.find_spec(f"{package}.__main__") is not None
