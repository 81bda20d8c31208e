"""Writes schedules as TOML scenario files, which pytest, `irisdeal chaos replay` and `irisdeal demo` read."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import tomli_w

from irisdeal.simulation.search.schedule import Table


def to_toml(table: Table, broken: Sequence[str], texts: Sequence[str]) -> str:
    """Return the file's text: the failures as a comment, then the schedule."""
    lines = [f"# Breaks: {', '.join(broken)}" if broken else "# Breaks nothing."]
    lines += [f"#   {' '.join(text.split())[:200]}" for text in texts[:3]]
    return "\n".join(lines) + "\n" + tomli_w.dumps(table)


def write(folder: Path, table: Table, broken: Sequence[str], texts: Sequence[str]) -> Path:
    """Write a new file into a folder, named by the first failure and numbered; return its path."""
    name = broken[0] if broken else "kept"
    number = 1
    while (path := folder / f"{name}-{number}.toml").exists():
        number += 1
    path.write_text(to_toml(table, broken, texts), "utf-8")
    return path
