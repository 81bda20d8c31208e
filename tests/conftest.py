"""Handles tests that are known to fail because of a real fault, which are listed in KNOWN-RED.txt.

A line is `test | cause | issue`, where `test` is a node id without parameters. The tests run as strict
expected failures and are printed in the summary. A run fails if a listed test passes or does not exist, if a
line is malformed, or if there are more than `MAX_LINE_COUNT` lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_LINE_COUNT = 3
FILE = "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether the line lists this test, with any parameters."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownRed]:
    """Parse the file. Raises pytest.UsageError if a line is malformed, or if there are too many lines."""
    known = []
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE}: wanted `test | cause | issue`, got {line!r}")
        known.append(KnownRed(*parts))
    if len(known) > MAX_LINE_COUNT:
        raise pytest.UsageError(f"{FILE}: {MAX_LINE_COUNT} lines at most, got {len(known)}")
    return known


def read(root: Path) -> list[KnownRed]:
    """Return the listed tests; nothing if there is no file."""
    path = root / FILE
    return parse(path.read_text("utf-8")) if path.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for red in read(config.rootpath):
        named = [item for item in items if red.names(item.nodeid)]
        file = red.test.partition("::")[0]
        is_whole_file = any(argument.rstrip("/") in (file, "tests") for argument in config.args)
        if not named and is_whole_file:
            raise pytest.UsageError(f"{FILE}: no test {red.test}")
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in read(config.rootpath):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
