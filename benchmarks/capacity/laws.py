"""What each role's load grows with: terms by size, and where in a run the load was measured. No input or output.

The terms are those of the code: what is sent to whom how often. The slopes come from the runs (`fit.py`).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.configuration import make
from benchmarks.capacity.play import WORK
from benchmarks.capacity.size import APPLY, BEAT, DOOR_CORE, DOOR_MB, Size

# Of the program that the stored runs are of: the weight of the newest interval in a smoothed demand, and the
# least demand. Registries tell no demand since permits came; a tenant is in a sum while it is asked for.
DRIFT, LEAST_DEMAND = 0.15, 0.01
REMEMBERED = math.log(DRIFT / LEAST_DEMAND) / -math.log(1 - DRIFT)  # intervals that one ask stays in a demand
Terms = dict[str, Callable[[Size], float]]


def heartbeats(size: Size) -> float:
    """Beats a second at one registry."""
    return size.backends / size.registries / BEAT


def others(size: Size) -> float:
    return size.registries - 1.0


def near(size: Size) -> float:
    """Doors whose words come to one registry."""
    return size.doors / size.registries


def tenants(size: Size) -> float:
    """Tenants in one registry's sum: each ask is of any of them, and stays in the demand for a while."""
    return size.tenants * (1 - math.exp(-REMEMBERED * near(size) * size.active / size.tenants))


def used(size: Size, each: float) -> float:
    """Backends that the doors of one registry have something out at, for so many requests a second and door."""
    return size.backends * (1 - math.exp(-near(size) * each * WORK / size.backends))


def configured(size: Size) -> float:
    """MB of the configuration: linear in its routes and tenants."""
    return size.routes * ROUTE_MB + size.tenants * TENANT_MB


def _bytes_of(routes: int, tenants_: int) -> float:
    return float(len(make(Size(1, 1, 1, 10, routes, tenants_, 1, 1.0, 1), 1)))


ROUTE_MB = (_bytes_of(2_000, 1) - _bytes_of(1_000, 1)) / 1e9  # of 1,000, in MB
TENANT_MB = (_bytes_of(1, 2_000) - _bytes_of(1, 1_000)) / 1e9


def is_calm(run: dict[str, Any]) -> bool:
    """Whether all doors had their sources when the quiet window began, and none took whole lives any more."""
    phases = run["phases"]
    return bool(phases["moves until quiet"]["is_calm"]) and not phases["doors one by one"]["unsettled"]


@dataclass(frozen=True, slots=True)
class Law:
    """One load of one role. `kinds`: frames whose bytes it is; none: another figure of the phase, `figure`."""

    name: str
    role: str
    phase: str
    unit: str
    terms: Terms
    kinds: tuple[str, ...] = ()
    figure: str = ""
    limit: float = 0.0  # of one process; 0: none stated
    beyond: str = ""  # a phase whose figure is taken off

    def measured(self, run: dict[str, Any]) -> float | None:
        """The figure in a run; None where it was not measured. Bytes are of one process a second."""
        phase = run["phases"].get(self.phase)
        if phase is None or not (self.figure in phase or self.role in phase):
            return None
        if self.phase not in ("beats", "first configuration") and not is_calm(run):
            return None  # what is measured then is the knee, not the slope
        if self.figure in phase:
            return float(phase[self.figure]) if phase[self.figure] is not None else None
        told = phase[self.role]
        if not self.kinds:
            less = run["phases"][self.beyond][self.role][self.figure] if self.beyond else 0.0
            return max(0.0, float(told[self.figure]) - float(less))
        return float(sum(told["kinds"].get(kind, (0.0, 0.0))[1] for kind in self.kinds))

    def row(self, size: Size) -> list[float]:
        return [term(size) for term in self.terms.values()]


LINK = 125e6  # B/s: 1,000 Mbps, a core machine of the deployments
DESCRIPTORS, CORE_MB, CORE = 4_096.0, 296.0, 1.0  # likewise; a process has one core at most
LAWS = (
    Law(
        "lives told on (beats)",
        "registry",
        "beats",
        "B/s",
        {"(N-1) B/N": lambda s: others(s) * s.backends / s.registries, "(N-1)": others},
        ("out told", "in told", "answer told"),
        limit=LINK,
    ),
    Law(
        "quiet asks for news",
        "registry",
        "quiet",
        "B/s",
        {"D/N": near, "D": lambda s: float(s.doors)},
        ("in news", "answer news"),
        limit=LINK,
    ),
    Law(
        "doors' words (count)",
        "registry",
        "quiet",
        "B/s",
        {"a D/N": lambda s: s.active * near(s)},
        ("in count", "answer count"),
        limit=LINK,
    ),
    Law(
        "sums of tenants and doors",
        "registry",
        "quiet",
        "B/s",
        {"(N-1) t": lambda s: others(s) * tenants(s), "(N-1) D/N": lambda s: others(s) * near(s)},
        ("out sums", "in sums"),
        limit=LINK,
    ),
    Law(
        "connections",
        "registry",
        "quiet",
        "",
        {"1": lambda s: 1.0, "D/N": near, "N": lambda s: float(s.registries)},
        figure="sockets",
        limit=DESCRIPTORS,
    ),
    Law(
        "memory",
        "registry",
        "quiet",
        "MB",
        {
            "1": lambda s: 1.0,
            "B": lambda s: float(s.backends),
            "C": configured,
            "N t": lambda s: s.registries * tenants(s),
        },
        figure="mb",
        limit=CORE_MB,
    ),
    Law(
        "processor, beats alone",
        "registry",
        "beats",
        "cores",
        {"1": lambda s: 1.0, "B/N": lambda s: s.backends / s.registries, "B": lambda s: float(s.backends)},
        figure="cpu",
        limit=CORE,
    ),
    Law(
        "processor, doors quiet, beyond beats",
        "registry",
        "quiet",
        "cores",
        {
            "D/N": near,
            "a D/N": lambda s: s.active * near(s),
            "D B/N": lambda s: near(s) * s.backends,
            "(N-1) t": lambda s: others(s) * tenants(s),
        },
        figure="cpu",
        limit=CORE,
        beyond="beats",
    ),
    Law(
        "all that is told when doors start",
        "registry",
        "doors one by one",
        "B",
        {"D B/N": lambda s: near(s) * s.backends, "D C/N": lambda s: near(s) * configured(s)},
        ("answer news", "in lives"),
    ),
    Law(
        "processor, when doors start",
        "registry",
        "doors one by one",
        "s",
        {"D B/N": lambda s: near(s) * s.backends, "D C/N": lambda s: near(s) * configured(s)},
        figure="cpu",
    ),
    Law(
        "a change of configuration",
        "registry",
        "change",
        "B",
        {"D C/N": lambda s: near(s) * configured(s)},
        ("answer news",),
    ),
    Law(
        "processor, one change",
        "registry",
        "change",
        "s",
        {"C": configured, "D C/N": lambda s: near(s) * configured(s)},
        figure="cpu",
    ),
    Law("one change", "store", "change", "B", {"C": configured}, ("in keep", "out keep", "answer watch")),
    Law(
        "states of the others",
        "store",
        "quiet",
        "B/s",
        {"(N-1)": others, "N (N-1)": lambda s: s.registries * others(s)},
        ("out state", "in state", "answer state"),
        limit=LINK,
    ),
    Law("memory", "store", "quiet", "MB", {"1": lambda s: 1.0, "C": configured}, figure="mb", limit=CORE_MB),
    Law(
        "processor, quiet",
        "store",
        "quiet",
        "cores",
        {"(N-1)": others, "N (N-1)": lambda s: s.registries * others(s)},
        figure="cpu",
        limit=CORE,
    ),
    Law(
        "memory",
        "door",
        "quiet",
        "MB",
        {"1": lambda s: 1.0, "B": lambda s: float(s.backends), "C": configured},
        figure="mb",
        limit=DOOR_MB,
    ),
    Law(
        "processor, quiet",
        "door",
        "quiet",
        "cores",
        {"1": lambda s: 1.0, "B": lambda s: float(s.backends)},
        figure="cpu",
        limit=DOOR_CORE,
    ),
    Law("processor, one change", "door", "change", "s", {"C": configured}, figure="door_cpu_s"),
    Law(
        "one change at all doors",
        "door",
        "change",
        "s",
        {"1": lambda s: 1.0, "C": configured, "D C/N": lambda s: near(s) * configured(s)},
        figure="at_doors_s",
        limit=APPLY,
    ),
    Law("one order", "operator", "change", "B", {"C": configured}, figure="bytes"),
    Law(
        "one order acknowledged",
        "operator",
        "change",
        "s",
        {"1": lambda s: 1.0, "C": configured},
        figure="acknowledged_s",
        limit=APPLY,
    ),
)
