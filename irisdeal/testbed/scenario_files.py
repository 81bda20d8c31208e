"""Reads scenarios from TOML files, with inheritance by `base`. Errors name file, key and expected value.

An unknown key is an error, since it is likely a misspelled setting. A scenario can name another one as its `base`:
its tables then override that one's, key by key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from importlib import resources
from pathlib import Path
from typing import Any, TypeVar

from irisdeal.testbed.scenario import (
    FAULTS,
    Class,
    CounterSpec,
    DiscoverySpec,
    Fault,
    Fleet,
    FrontDoorSpec,
    Kind,
    Load,
    Plan,
    RulesSpec,
    Scenario,
    ScenarioError,
)
from irisdeal.testbed.scenario_checks import check
from irisdeal.testbed.scenario_keys import field_of, key_of

BUILT_IN = resources.files("irisdeal.testbed") / "scenarios"
MAX_BYTES = 262_144  # of a scenario file
MAX_BASES = 4  # a longer chain of bases is treated as a cycle
TYPE_TEXTS = {  # expected value in error messages, by the type of a field
    "float": "a number",
    "int": "a whole number",
    "str": "a text",
    "bool": "true or false",
    "tuple[str, ...]": "a list of texts",
    "tuple[float, float]": "a number or [least, most]",
}
Table = TypeVar("Table")


def names() -> list[str]:
    """List the built-in scenarios."""
    return sorted(p.name.removesuffix(".toml") for p in BUILT_IN.iterdir() if p.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """Read a built-in scenario by its name, or one from a file by its path. Raises `ScenarioError`."""
    return _Reader(name).scenario(_load_tables(name, 0))


def parse(text: str, where: str = "scenario") -> Scenario:
    """Read a scenario from its text."""
    return _Reader(where).scenario(_resolve_base(_toml(text, where), where, 0))


def read(table: Mapping[str, Any], where: str = "scenario") -> Scenario:
    """Read a scenario from its tables, as parsed from TOML; they are not modified."""
    return _Reader(where).scenario(_resolve_base(dict(table), where, 0))


def _load_tables(name: str, depth: int) -> dict[str, Any]:
    if name in names():
        text = (BUILT_IN / f"{name}.toml").read_text("utf-8")
    else:
        path = Path(name)
        if "/" not in name and not name.endswith(".toml"):
            raise ScenarioError(f"{name}: no such scenario: wanted a file, or one of {', '.join(names())}")
        try:
            raw = path.open("rb").read(MAX_BYTES + 1)
        except OSError as error:
            raise ScenarioError(f"{name}: {error.strerror}") from None
        if len(raw) > MAX_BYTES:
            raise ScenarioError(f"{name}: over {MAX_BYTES} bytes")
        try:
            text = raw.decode("utf-8")
        except UnicodeDecodeError as error:
            raise ScenarioError(f"{name}: not UTF-8 at byte {error.start}") from None
    return _resolve_base(_toml(text, name), name, depth)


def _toml(text: str, where: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: no TOML: {error}") from None


def _resolve_base(table: dict[str, Any], where: str, depth: int) -> dict[str, Any]:
    base = table.pop("base", None)
    if base is None:
        return table
    if not isinstance(base, str):
        raise ScenarioError(f"{where}: base: wanted the name of a scenario, not {base!r}")
    if depth >= MAX_BASES:
        raise ScenarioError(f"{where}: base: a chain of over {MAX_BASES} scenarios, perhaps a circle")
    return _overlay(_load_tables(base, depth + 1), table)


def _overlay(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    made = dict(base)
    for key, value in override.items():
        old = made.get(key)
        made[key] = _overlay(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return made


@dataclass(frozen=True, slots=True)
class _Reader:
    """Converts the tables of one file; each error names the file."""

    where: str

    def error(self, key: str, value: object, wanted: str) -> ScenarioError:
        """Return the error for an invalid value."""
        return ScenarioError(f"{self.where}: {key} is {value!r}: wanted {wanted}")

    def scenario(self, table: dict[str, Any]) -> Scenario:
        """Make the scenario from its tables."""
        tables: dict[str, type] = {
            "door": FrontDoorSpec,
            "fleet": Fleet,
            "load": Load,
            "roster": DiscoverySpec,
            "keeper": CounterSpec,
            "rules": RulesSpec,
        }
        lists: dict[str, tuple[str, type]] = {"class": ("classes", Class), "plan": ("plans", Plan)}
        plain: dict[str, Any] = {"name": Path(self.where).name.removesuffix(".toml")}
        for key, value in table.items():
            if key in tables:
                plain[field_of(key)] = self.table(tables[key], value, key)
            elif key in lists:
                plain[lists[key][0]] = tuple(self.tables(lists[key][1], value, key))
            elif key == "at":
                plain["faults"] = tuple(self.fault(line, n) for n, line in enumerate(self.list(value, "at")))
            elif key in ("name", "about", "seed", "seconds", "doors"):
                plain[field_of(key)] = self.value(Scenario, field_of(key), value, key)
            else:
                known = ", ".join(
                    ("name", "about", "base", "seed", "seconds", "doors", *tables, *lists, "at")
                )
                raise ScenarioError(f"{self.where}: {key}: no such key: wanted one of {known}")
        made = Scenario(**plain)
        check(made, self.where)
        return made

    def list(self, value: object, key: str) -> list[object]:
        """Require a list of tables."""
        if not isinstance(value, list):
            raise self.error(key, value, f"a list of tables, [[{key}]]")
        return value

    def tables(self, kind: type[Table], value: object, key: str) -> Iterator[Table]:
        """Make a dataclass from each of a list of tables."""
        for n, inner in enumerate(self.list(value, key)):
            yield self.table(kind, inner, f"{key}[{n}]")

    def table(self, kind: type[Table], value: object, key: str) -> Table:
        """Make a dataclass from its table. Unknown and missing keys are errors."""
        if not isinstance(value, dict):
            raise self.error(key, value, "a table")
        known = {_key_in(kind, f.name): f.name for f in fields(kind)}  # type: ignore[arg-type]
        made: dict[str, object] = {}
        for name, inner in value.items():
            if name not in known:
                wanted = ", ".join(sorted(known))
                raise ScenarioError(f"{self.where}: {key}.{name}: no such key: wanted one of {wanted}")
            if known[name] == "kinds":
                made["kinds"] = tuple(self.tables(Kind, inner, f"{key}.{name}"))
            else:
                made[known[name]] = self.value(kind, known[name], inner, f"{key}.{name}")
        try:
            return kind(**made)
        except TypeError as error:  # a key without a default is missing
            missing = re.sub(r"\w+(?=')", lambda found: key_of(found[0]), str(error).rpartition(": ")[2])
            raise ScenarioError(f"{self.where}: {key}: missing {missing}") from None

    def value(self, kind: type, name: str, value: object, key: str) -> object:
        """Check a value against its field's type; an integer is accepted for a float."""
        wanted = next(str(f.type) for f in fields(kind) if f.name == name)
        if wanted == "float" and _is_number(value):
            return float(value)  # type: ignore[arg-type]
        if wanted == "tuple[float, float]":
            return self.pair(value, key)
        matches = {
            "int": isinstance(value, int) and not isinstance(value, bool),
            "str": isinstance(value, str),
            "bool": isinstance(value, bool),
            "tuple[str, ...]": isinstance(value, list) and all(isinstance(v, str) for v in value),
        }
        if not matches.get(wanted, False):
            raise self.error(key, value, TYPE_TEXTS[wanted])
        return tuple(value) if isinstance(value, list) else value

    def pair(self, value: object, key: str) -> tuple[float, float]:
        """Read a range as minimum and maximum; a single number is both."""
        if _is_number(value):
            return float(value), float(value)  # type: ignore[arg-type]
        if isinstance(value, list) and len(value) == 2 and all(map(_is_number, value)):
            return float(value[0]), float(value[1])
        raise self.error(key, value, TYPE_TEXTS["tuple[float, float]"])

    def fault(self, line: object, n: int) -> Fault:
        """Make a fault, which must have exactly the keys that its kind requires."""
        fault = self.table(Fault, line, f"at[{n}]")
        if fault.do not in FAULTS:
            raise self.error(f"at[{n}].do", fault.do, f"one of {', '.join(FAULTS)}")
        assert isinstance(line, dict)
        for key in FAULTS[fault.do]:
            if key not in line:
                raise ScenarioError(f"{self.where}: at[{n}]: {fault.do} needs {key}")
        for key in set(line) - set(FAULTS[fault.do]) - {"at_s", "do", "empty"}:
            raise ScenarioError(f"{self.where}: at[{n}].{key}: {fault.do} takes no such key")
        return fault


def _key_in(kind: type, name: str) -> str:
    """Return the key of a field; the kinds of machines are a list of tables called `kind`."""
    return "kind" if kind is Fleet and name == "kinds" else key_of(name)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
