"""Cost models of each role's load: the terms it grows with, and where in a run it is measured. No input or output.

The terms follow from the code: what is sent, to whom and how often. The slopes are fitted to the runs (`fit.py`).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.configuration import make_configuration
from benchmarks.capacity.play import PLACEMENT_HOLD_S
from benchmarks.capacity.size import HEARTBEAT_INTERVAL_S, MAX_APPLY_S, MAX_PROXY_CORES, MAX_PROXY_MB, Size

# Values of the version that the stored runs measured. Registries report no demand since permits were introduced;
# a tenant is in a sum while it has demand.
DEMAND_WEIGHT = 0.15  # of the newest interval in the smoothed demand
MIN_DEMAND = 0.01
DEMAND_MEMORY_INTERVALS = math.log(DEMAND_WEIGHT / MIN_DEMAND) / -math.log(
    1 - DEMAND_WEIGHT
)  # for which one request keeps a demand above the minimum
Terms = dict[str, Callable[[Size], float]]


def heartbeats(size: Size) -> float:
    """Heartbeats per second at one registry."""
    return size.backends / size.registries / HEARTBEAT_INTERVAL_S


def other_registries(size: Size) -> float:
    return size.registries - 1.0


def proxies_per_registry(size: Size) -> float:
    """Proxies that report to one registry."""
    return size.doors / size.registries


def active_tenants(size: Size) -> float:
    """Tenants in one registry's sum, if requests are spread evenly and each counts for a number of intervals."""
    return size.tenants * (
        1 - math.exp(-DEMAND_MEMORY_INTERVALS * proxies_per_registry(size) * size.active / size.tenants)
    )


def backends_in_use(size: Size, requests_per_s: float) -> float:
    """Backends with requests in flight from one registry's proxies, at this rate per second and proxy."""
    return size.backends * (
        1 - math.exp(-proxies_per_registry(size) * requests_per_s * PLACEMENT_HOLD_S / size.backends)
    )


def configuration_mb(size: Size) -> float:
    """Size of the configuration in MB: linear in its routes and tenants."""
    return size.routes * MB_PER_ROUTE + size.tenants * MB_PER_TENANT


def _configuration_bytes(routes: int, tenants_: int) -> float:
    return float(len(make_configuration(Size(1, 1, 1, 10, routes, tenants_, 1, 1.0, 1), 1)))


MB_PER_ROUTE = (
    _configuration_bytes(2_000, 1) - _configuration_bytes(1_000, 1)
) / 1e9  # 1e9: for 1,000 routes, in MB
MB_PER_TENANT = (_configuration_bytes(1, 2_000) - _configuration_bytes(1, 1_000)) / 1e9


def is_settled(run: dict[str, Any]) -> bool:
    """Whether all proxies had their registries when the quiet window began, and none sent full reports any more."""
    phases = run["phases"]
    return bool(phases["moves until quiet"]["is_calm"]) and not phases["doors one by one"]["unsettled"]


@dataclass(frozen=True, slots=True)
class CostModel:
    """One load of one role: the bytes of frames of these `kinds`, or without them the `figure` of the phase."""

    name: str
    role: str
    phase: str
    unit: str
    terms: Terms
    kinds: tuple[str, ...] = ()
    figure: str = ""
    limit: float = 0.0  # for one process; 0: none
    baseline_phase: str = ""  # a phase whose figure is subtracted

    def measured(self, run: dict[str, Any]) -> float | None:
        """The load in a run, None if it was not measured. Bytes are per second and process."""
        phase = run["phases"].get(self.phase)
        if phase is None or not (self.figure in phase or self.role in phase):
            return None
        if self.phase not in ("beats", "first configuration") and not is_settled(run):
            return None  # an overloaded run does not show the slope
        if self.figure in phase:
            return float(phase[self.figure]) if phase[self.figure] is not None else None
        figures = phase[self.role]
        if not self.kinds:
            baseline = (
                run["phases"][self.baseline_phase][self.role][self.figure] if self.baseline_phase else 0.0
            )
            return max(0.0, float(figures[self.figure]) - float(baseline))
        return float(sum(figures["kinds"].get(kind, (0.0, 0.0))[1] for kind in self.kinds))

    def row(self, size: Size) -> list[float]:
        return [term(size) for term in self.terms.values()]


LINK_BYTES_PER_S = 125e6  # 1,000 Mbps, the link of a core machine in the deployments
MAX_DESCRIPTORS = 4_096.0  # of a core machine in the deployments
MAX_CORE_MB = 296.0  # of a core machine in the deployments
MAX_CORES = 1.0  # a process uses one core at most
COST_MODELS = (
    CostModel(
        "lives told on (beats)",
        "registry",
        "beats",
        "B/s",
        {"(N-1) B/N": lambda s: other_registries(s) * s.backends / s.registries, "(N-1)": other_registries},
        ("out told", "in told", "answer told"),
        limit=LINK_BYTES_PER_S,
    ),
    CostModel(
        "quiet asks for news",
        "registry",
        "quiet",
        "B/s",
        {"D/N": proxies_per_registry, "D": lambda s: float(s.doors)},
        ("in news", "answer news"),
        limit=LINK_BYTES_PER_S,
    ),
    CostModel(
        "doors' words (count)",
        "registry",
        "quiet",
        "B/s",
        {"a D/N": lambda s: s.active * proxies_per_registry(s)},
        ("in count", "answer count"),
        limit=LINK_BYTES_PER_S,
    ),
    CostModel(
        "sums of tenants and doors",
        "registry",
        "quiet",
        "B/s",
        {
            "(N-1) t": lambda s: other_registries(s) * active_tenants(s),
            "(N-1) D/N": lambda s: other_registries(s) * proxies_per_registry(s),
        },
        ("out sums", "in sums"),
        limit=LINK_BYTES_PER_S,
    ),
    CostModel(
        "connections",
        "registry",
        "quiet",
        "",
        {"1": lambda s: 1.0, "D/N": proxies_per_registry, "N": lambda s: float(s.registries)},
        figure="sockets",
        limit=MAX_DESCRIPTORS,
    ),
    CostModel(
        "memory",
        "registry",
        "quiet",
        "MB",
        {
            "1": lambda s: 1.0,
            "B": lambda s: float(s.backends),
            "C": configuration_mb,
            "N t": lambda s: s.registries * active_tenants(s),
        },
        figure="mb",
        limit=MAX_CORE_MB,
    ),
    CostModel(
        "processor, beats alone",
        "registry",
        "beats",
        "cores",
        {"1": lambda s: 1.0, "B/N": lambda s: s.backends / s.registries, "B": lambda s: float(s.backends)},
        figure="cpu",
        limit=MAX_CORES,
    ),
    CostModel(
        "processor, doors quiet, beyond beats",
        "registry",
        "quiet",
        "cores",
        {
            "D/N": proxies_per_registry,
            "a D/N": lambda s: s.active * proxies_per_registry(s),
            "D B/N": lambda s: proxies_per_registry(s) * s.backends,
            "(N-1) t": lambda s: other_registries(s) * active_tenants(s),
        },
        figure="cpu",
        limit=MAX_CORES,
        baseline_phase="beats",
    ),
    CostModel(
        "all that is told when doors start",
        "registry",
        "doors one by one",
        "B",
        {
            "D B/N": lambda s: proxies_per_registry(s) * s.backends,
            "D C/N": lambda s: proxies_per_registry(s) * configuration_mb(s),
        },
        ("answer news", "in lives"),
    ),
    CostModel(
        "processor, when doors start",
        "registry",
        "doors one by one",
        "s",
        {
            "D B/N": lambda s: proxies_per_registry(s) * s.backends,
            "D C/N": lambda s: proxies_per_registry(s) * configuration_mb(s),
        },
        figure="cpu",
    ),
    CostModel(
        "a change of configuration",
        "registry",
        "change",
        "B",
        {"D C/N": lambda s: proxies_per_registry(s) * configuration_mb(s)},
        ("answer news",),
    ),
    CostModel(
        "processor, one change",
        "registry",
        "change",
        "s",
        {"C": configuration_mb, "D C/N": lambda s: proxies_per_registry(s) * configuration_mb(s)},
        figure="cpu",
    ),
    CostModel(
        "one change", "store", "change", "B", {"C": configuration_mb}, ("in keep", "out keep", "answer watch")
    ),
    CostModel(
        "states of the others",
        "store",
        "quiet",
        "B/s",
        {"(N-1)": other_registries, "N (N-1)": lambda s: s.registries * other_registries(s)},
        ("out state", "in state", "answer state"),
        limit=LINK_BYTES_PER_S,
    ),
    CostModel(
        "memory",
        "store",
        "quiet",
        "MB",
        {"1": lambda s: 1.0, "C": configuration_mb},
        figure="mb",
        limit=MAX_CORE_MB,
    ),
    CostModel(
        "processor, quiet",
        "store",
        "quiet",
        "cores",
        {"(N-1)": other_registries, "N (N-1)": lambda s: s.registries * other_registries(s)},
        figure="cpu",
        limit=MAX_CORES,
    ),
    CostModel(
        "memory",
        "door",
        "quiet",
        "MB",
        {"1": lambda s: 1.0, "B": lambda s: float(s.backends), "C": configuration_mb},
        figure="mb",
        limit=MAX_PROXY_MB,
    ),
    CostModel(
        "processor, quiet",
        "door",
        "quiet",
        "cores",
        {"1": lambda s: 1.0, "B": lambda s: float(s.backends)},
        figure="cpu",
        limit=MAX_PROXY_CORES,
    ),
    CostModel("processor, one change", "door", "change", "s", {"C": configuration_mb}, figure="door_cpu_s"),
    CostModel(
        "one change at all doors",
        "door",
        "change",
        "s",
        {
            "1": lambda s: 1.0,
            "C": configuration_mb,
            "D C/N": lambda s: proxies_per_registry(s) * configuration_mb(s),
        },
        figure="at_doors_s",
        limit=MAX_APPLY_S,
    ),
    CostModel("one order", "operator", "change", "B", {"C": configuration_mb}, figure="bytes"),
    CostModel(
        "one order acknowledged",
        "operator",
        "change",
        "s",
        {"1": lambda s: 1.0, "C": configuration_mb},
        figure="acknowledged_s",
        limit=MAX_APPLY_S,
    ),
)
