"""Rules for source files: line length, and what the decision modules may import."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
CONTROL = ROOT / "irisdeal/front_door/decisions" / "gateway.py"
POLICY = [ROOT / path for path in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]


def imported(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
    return found


def test_the_policy_names_the_decision_modules() -> None:
    assert CONTROL in POLICY
    assert all(path.is_file() for path in POLICY)
    assert len(set(POLICY)) == len(POLICY)


def test_lines_of_decision_modules_and_tests_have_at_most_110_characters() -> None:
    for path in [*ROOT.glob("irisdeal/front_door/decisions/*.py"), *(ROOT / "tests").rglob("*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_the_head_of_the_decision_module_names_its_interface() -> None:
    assert "interface.py" in "".join(CONTROL.read_text().splitlines(keepends=True)[:3])


def test_the_decision_module_does_no_input_or_output() -> None:
    allowed = {
        "__future__",
        "bisect",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "heapq",
        "math",
        "operator",
        "random",
        "typing",
        "irisdeal.front_door.decisions.tenant",
        "irisdeal.front_door.decisions.interface",
        "irisdeal.front_door.decisions.records",
        "irisdeal.front_door.queueing.fair_queue",
        "irisdeal.front_door.quota.quota_account",
        "irisdeal.front_door.quota.counter_calls",
        "irisdeal.front_door.quota.counter_overload",
        "irisdeal.front_door.zones.failover",
    }
    for path in POLICY:
        assert imported(path) <= allowed, path


def test_the_wire_format_and_the_interface_do_not_import_the_decision_module() -> None:
    assert "irisdeal.front_door.decisions.gateway" not in imported(
        ROOT / "irisdeal/front_door/decisions" / "simulator_wire.py"
    )
    assert imported(ROOT / "irisdeal/front_door/decisions" / "interface.py") == {
        "__future__",
        "dataclasses",
        "enum",
        "typing",
    }
