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
# In the shape of the bench's grown deployment (85 doors, 307 backends, 84 tenants, four core machines) at so many
# machines, with the backends' release: 0.45 of them are restarted within 20 s.
BENCH = {
    "bench 100": Size(96, 345, 4, 3, 8, 94, 4, 480.0, 3),
    "bench 300": Size(287, 1_035, 4, 3, 8, 283, 4, 1_435.0, 3),
    "bench 300 of 12": Size(287, 1_035, 12, 3, 8, 283, 4, 1_435.0, 3),  # so many that their doors start
}
RELEASED = 0.45 / 20.0  # of all backends, a second
RESTARTS = 1.0  # a second, in the other runs
FIT = ("30", "30 of 6", "30 full", "30 asking", "100", "100 of 6")  # carry the slopes
FIRST = {name: RUNS[name] for name in FIT} | BENCH  # these settle; the others show the knee
CHECK = ("bench 100", "bench 300 of 12", "bench 300", "300", "1000")  # never used for a slope


def restarts(name: str) -> float:
    """Backends that are restarted a second in the window for it."""
    return RELEASED * BENCH[name].backends if name in BENCH else RESTARTS


def rates(size: Size) -> list[float]:
    """Places a second and door to be watched."""
    return [min(size.each, round(MOST_PLACES / size.doors, 1))]


def load(file: Path = MEASURED) -> Runs:
    """What was measured; nothing where no run was kept."""
    if not file.exists():
        return {}
    runs: Runs = json.loads(file.read_text("utf-8"))
    return runs
