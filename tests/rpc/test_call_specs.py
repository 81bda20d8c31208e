"""The call specification covers every call that the programs send and handle, and the design page
matches it.
"""

from __future__ import annotations

import ast
import importlib
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from irisdeal.rpc import call_tables
from irisdeal.rpc import calls as table
from tests.support.call_rig import CallRig

ROOT = Path(__file__).parents[2]
PROGRAMS = ("config_store", "registry", "proxy")


def _modules() -> Iterator[tuple[str, ModuleType, ast.Module]]:
    """Yield the program, module and syntax tree of each file that may make or handle calls."""
    for program in (*PROGRAMS, "simulation"):
        for path in sorted((ROOT / "irisdeal" / program).rglob("*.py")):
            name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
            # The package is imported in place of its entry point, because importing that would start the
            # program.
            name = name.removesuffix(".__init__").removesuffix(".__main__")
            yield program, importlib.import_module(name), ast.parse(path.read_text("utf-8"))


def _kind_in(node: ast.expr | None, module: ModuleType) -> str | None:
    """Return the string of a literal, or of a constant of the module or of a module that it imports."""
    found: object = None
    if isinstance(node, ast.Constant):
        found = node.value
    elif isinstance(node, ast.Name):
        found = getattr(module, node.id, None)
    elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
        found = getattr(getattr(module, node.value.id, None), node.attr, None)
    return found if isinstance(found, str) else None


def _kinds_in_handlers(table_of_handlers: ast.Dict, module: ModuleType) -> set[str]:
    """Return the keys of a dictionary from constants to methods of `self`; nothing for any other
    dictionary.
    """
    are_names = all(isinstance(key, ast.Name | ast.Attribute) for key in table_of_handlers.keys)
    are_methods = all(
        isinstance(value, ast.Attribute) and isinstance(value.value, ast.Name) and value.value.id == "self"
        for value in table_of_handlers.values
    )
    if not (are_names and are_methods):
        return set()
    kinds = {_kind_in(key, module) for key in table_of_handlers.keys}
    return {kind for kind in kinds if kind is not None}


def _kinds_in_patterns(match: ast.Match, module: ModuleType) -> set[str]:
    """Return the strings in the cases of a `match`."""
    values = [
        node.value
        for case in match.cases
        for node in ast.walk(case.pattern)
        if isinstance(node, ast.MatchValue)
    ]
    kinds = {_kind_in(value, module) for value in values}
    return {kind for kind in kinds if kind is not None}


def _is_kind(node: ast.expr) -> bool:
    return isinstance(node, ast.Name) and node.id == "kind"


def _kinds_sent() -> Iterator[tuple[str, str, bool]]:
    """Yield the module, the kind and whether it is a notification, of all calls that the programs send.

    The kind is the first argument, or the second one after the peer's IP.
    """
    for _, module, tree in _modules():
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("call", "notify", "_notify")
            ):
                kinds = [_kind_in(argument, module) for argument in node.args[:2]]
                for kind in filter(None, kinds):
                    yield module.__name__, kind, node.func.attr != "call"


def _kinds_handled() -> set[str]:
    handled: set[str] = set()
    for program, module, tree in _modules():
        if program not in PROGRAMS:
            continue
        for node in ast.walk(tree):
            if isinstance(node, ast.Match) and _is_kind(node.subject):
                handled |= _kinds_in_patterns(node, module)
            elif isinstance(node, ast.Compare) and _is_kind(node.left):
                handled |= set(filter(None, [_kind_in(node.comparators[0], module)]))
            elif isinstance(node, ast.Dict) and node.keys:
                handled |= _kinds_in_handlers(node, module)
    return handled


def test_the_specified_calls_are_those_that_are_sent_or_handled() -> None:
    sent = list(_kinds_sent())
    assert len(sent) >= 15
    for module, kind, is_one_way in sent:
        assert table.invalid_call_reason(kind, is_one_way) is None, (module, kind)
    assert set(table.CALLS) == _kinds_handled()


def test_a_call_that_is_not_specified_cannot_be_sent() -> None:
    rig = CallRig()

    async def scenario() -> Any:
        with pytest.raises(KeyError):
            await rig.client().call("borrow", None, 0.1)
        with pytest.raises(KeyError):
            rig.client().notify("lend", None)
        return True

    assert rig.play(scenario())


def test_the_design_page_has_the_generated_tables() -> None:
    assert call_tables.page() in (ROOT / "docs" / "design" / "control.md").read_text("utf-8")


def test_calls_that_may_be_retried_are_identified_and_the_others_are_sent_once() -> None:
    for call in table.CALLS.values():
        assert call.after_reset and call.after_timeout
        assert call.retry is not table.RetryRule.CALLER or call.identified_by != "-"
        assert not (call.is_one_way and call.retry is table.RetryRule.NEVER)
    never = {kind for kind, call in table.CALLS.items() if call.retry is table.RetryRule.NEVER}
    assert never == {"place", "wait", "lend"}
