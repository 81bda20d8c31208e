"""The sizes of the runs, which of them the slopes are fitted to, which check the fit, and the results' file."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.capacity.size import Size, scaled_size

MAX_PLACEMENTS_PER_S = 2_500.0  # over all proxies, as much as the machine of a run can carry
MEASURED = Path(__file__).with_name("measured.json")
Runs = dict[str, dict[str, Any]]

RUNS: dict[str, Size] = {
    "30": scaled_size(30),
    "30 of 6": scaled_size(30, 6),  # the same proxies, twice the registries
    "30 full": replace(scaled_size(30), backends=1_260),  # the same proxies, three times the backends
    "30 asking": scaled_size(30, active=16),  # four times the tenants active
    "100": scaled_size(100),
    "100 of 6": scaled_size(100, 6),
    "300": scaled_size(300),
    "1000": scaled_size(1000),
}
# In proportion to the bench's grown deployment (85 proxies, 307 backends, 84 tenants, four core machines) at the
# given number of machines, with a release of the backends: 0.45 of them are restarted within 20 s.
BENCH_RUNS = {
    "bench 100": Size(96, 345, 4, 3, 8, 94, 4, 480.0, 3),
    "bench 300": Size(287, 1_035, 4, 3, 8, 283, 4, 1_435.0, 3),
    "bench 300 of 12": Size(
        287, 1_035, 12, 3, 8, 283, 4, 1_435.0, 3
    ),  # with fewer registries the proxies do not start
}
RELEASED_RATIO_PER_S = 0.45 / 20.0  # of all backends
RESTARTS_PER_S = 1.0  # in the other runs
FIT_RUNS = ("30", "30 of 6", "30 full", "30 asking", "100", "100 of 6")  # the slopes are fitted to these
SETTLING_RUNS = {
    name: RUNS[name] for name in FIT_RUNS
} | BENCH_RUNS  # these reach a steady state; the others show overload
CHECK_RUNS = ("bench 100", "bench 300 of 12", "bench 300", "300", "1000")  # never used for the fit


def restarts_per_s(name: str) -> float:
    """Backends that are restarted per second in the window for restarts."""
    return RELEASED_RATIO_PER_S * BENCH_RUNS[name].backends if name in BENCH_RUNS else RESTARTS_PER_S


def placement_rates(size: Size) -> list[float]:
    """The rates of placements per second and proxy to measure."""
    return [min(size.requests_per_proxy, round(MAX_PLACEMENTS_PER_S / size.doors, 1))]


def load(file: Path = MEASURED) -> Runs:
    """The stored results of the runs; empty if there is no file."""
    if not file.exists():
        return {}
    runs: Runs = json.loads(file.read_text("utf-8"))
    return runs
