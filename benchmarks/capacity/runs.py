"""Which sizes are played, which of them carry the slopes and which check them, and where they are kept."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.capacity.size import Size, part

MOST_PLACES = 2_500.0  # a second over all doors, that the machine of a run bears
MEASURED = Path(__file__).with_name("measured.json")
Runs = dict[str, dict[str, Any]]

RUNS: dict[str, Size] = {
    "30": part(30),
    "30 of 6": part(30, 6),  # as many doors, twice the registries
    "30 full": replace(part(30), backends=1_260),  # as many doors, three times the backends
    "30 asking": part(30, active=16),  # four times the tenants active
    "100": part(100),
    "100 of 6": part(100, 6),
    "300": part(300),
    "1000": part(1000),
}
FIT = ("30", "30 of 6", "30 full", "30 asking", "100", "100 of 6")  # carry the slopes
CHECK = ("300", "1000")  # never used for a slope


def rates(size: Size) -> list[float]:
    """Places a second and door to be watched."""
    return [min(size.each, round(MOST_PLACES / size.doors, 1))]


def load(file: Path = MEASURED) -> Runs:
    """What was measured; nothing where no run was kept."""
    if not file.exists():
        return {}
    runs: Runs = json.loads(file.read_text("utf-8"))
    return runs
