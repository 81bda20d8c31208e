"""Tests that are known to fail for a real fault: listed in KNOWN-RED.txt, run, and told at the end.

A line is `test | cause | issue`, where `test` is a node id up to its parameters. A run fails on a listed test
that passes, on one that does not exist, on a line that cannot be read and on more than `MOST` lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3  # lines
FILE = "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """One line."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Whether this line is of that test, with whichever parameters."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownRed]:
    """pytest.UsageError where a line cannot be read, or there are too many."""
    known = []
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE}: wanted `test | cause | issue`, got {line!r}")
        known.append(KnownRed(*parts))
    if len(known) > MOST:
        raise pytest.UsageError(f"{FILE}: {MOST} lines at most, got {len(known)}")
    return known


def read(root: Path) -> list[KnownRed]:
    """What is listed; nothing where there is no file."""
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
