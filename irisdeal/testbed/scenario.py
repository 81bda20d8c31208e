"""The model of a scenario: the fleet, the plans, the load, and a timeline of faults and signals.

`scenario_files` reads it from TOML, `scenario_checks` validates the values, and `front_door_settings` derives the
settings of the front doors.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from irisdeal.testbed.audit import Ceiling, Figures, KindRule


class ScenarioError(ValueError):
    """An invalid scenario; the message names file, key and expected value."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of machine. `speed` is relative to a reference core."""

    name: str = "std"
    share: float = 1.0
    cores: int = 2
    speed: float = 1.0
    speed_cv: float = 0.1
    slots_per_core: float = 3.0
    queue_per_core: float = 16.0
    initial_capacity: float = 0.25
    slow_start_s: float = 10.0
    error_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The backends. `cross_ms` and `same_ms` are one-way delays between and within zones, besides loopback."""

    backends: int = 12
    zones: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    cell: int = 4
    cross_ms: float = 0.6
    same_ms: float = 0.2
    report_every_ms: float = 400.0
    report_late_ms: float = 100.0
    report_noise: float = 0.05
    handshake_ms: float = 1.2
    connections_per_core: float = 700.0
    idle_s: float = 30.0
    meter_s: float = 1.0
    meter_late_ms: float = 600.0
    # Separate processes for the backends of each zone and for the counter service; not in virtual time.
    apart: bool = False
    kinds: tuple[Kind, ...] = (Kind(),)


@dataclass(frozen=True, slots=True)
class Class:
    """A class of requests."""

    name: str
    share: float
    work_ms: float
    latency_target_ms: float
    deadline_ms: float
    cv: float = 1.0
    value: float = 1.0
    late_value: float = 0.0
    units: float = 1.0
    repeat: str = "safe"
    group: str = "zone"
    window_ms: float = 5000.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan. `rate` in units a second, `ceiling` a multiple of it; `tenants` 0: as many as the load needs."""

    name: str
    share: float
    rate: float
    burst_s: float
    price: float = 1.0
    beyond_cost: float = 1.0
    beyond_value: float = 0.0
    open: int = 0
    ceiling: float = 0.0
    tenants: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """The load of the tenants: `use` of the fleet's capacity within quotas, and the shares of each manner."""

    use: float = 0.5
    calm_use: tuple[float, float] = (0.22, 0.45)
    full: float = 0.16
    heavy: float = 0.1
    heavy_x: tuple[float, float] = (2.7, 4.8)
    spiky: float = 0.17
    spike_x: tuple[float, float] = (2.9, 7.6)
    spike_s: tuple[float, float] = (0.6, 3.2)
    spike_every_s: float = 18.0
    spread: tuple[float, float] = (0.5, 1.0)
    skew: float = 0.7
    shift_s: float = 10.0
    elsewhere: float = 0.3
    retries: int = 3
    attempt_share: float = 0.7
    backoff: str = "fixed"
    backoff_ms: float = 80.0
    honour: float = 0.6
    notice_s: float = 2.0
    reuse: bool = True  # of connections; if false, each attempt opens a new one
    processes: int = 1  # number of load generator processes


@dataclass(frozen=True, slots=True)
class DiscoverySpec:
    """The delay of endpoint list changes, and its spread over the front doors."""

    notice_s: float = 2.0
    spread_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """The counter service: total call rate of all shards, time of a call, and longest wait in a queue."""

    calls_per_s: float = 720.0
    shards: int = 3
    call_ms: float = 1.0
    queue_ms: float = 20.0
    timeout_ms: float = 30.0
    price: float = 0.005


@dataclass(frozen=True, slots=True)
class RulesSpec:
    """The limits of the rules."""

    drain_grace_ms: float = 1000.0
    answer_grace_ms: float = 8.0
    fall_multiple: float = 4.0
    fall_ms: float = 2000.0
    start_capacity: float = 0.18
    warm_up_s: float = 17.0
    ceiling_slack: float = 0.1


@dataclass(frozen=True, slots=True)
class FrontDoorSpec:
    """Resources and limits of each front door."""

    memory_mb: int = 192
    sockets: int = 1024
    tick_ms: float = 2.0
    max_attempts: int = 6
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of the timeline. `FAULTS` lists the keys that each `do` requires."""

    at_s: float
    do: str
    for_s: float = 0.0
    backends: int = 0
    zone: str = ""
    front_door: int = 0
    size: float = 0.0
    ms: float = 0.0
    empty: bool = False
    to: str = ""  # counter service, discovery service or a zone
    direction: str = "both"  # "out" from the front doors, "back" to them, or "both"

    def text(self) -> str:
        """Return the fault as text for the report."""
        needs = FAULTS[self.do]
        texts = {
            "boxes": f"{self.backends} boxes",
            "hall": self.zone,
            "door": f"door {self.front_door}",
            "to": f"to {self.to}" + (f", {self.direction}" if "way" in needs else ""),
            "size": f"size {self.size:g}",
            "ms": f"{self.ms:g} ms",
        }
        phrases = [self.do, *(text for need, text in texts.items() if need in needs)]
        if self.for_s:
            phrases.append(f"for {self.for_s:g} s")
        return " ".join(phrases)


# The faults, and the keys that each requires besides `at_s`, as in scenario files.
FAULTS: dict[str, tuple[str, ...]] = {
    "box-hang": ("boxes", "for_s"),  # admits requests and answers none
    "box-slow": ("boxes", "for_s", "size"),  # slower by this factor
    "box-crash": ("boxes", "for_s"),  # the process ends, and restarts with slow start after for_s
    # A backend with a new id takes the address, with slow start, after for_s.
    "box-replace": ("boxes", "for_s"),
    "box-drain": ("boxes", "for_s"),  # Terminating; gone after for_s
    "box-add": ("boxes",),  # new backends, with slow start
    "box-spoil": ("boxes", "for_s", "size"),  # this share of answers is malformed or truncated
    "keeper-silent": ("for_s",),  # no answers; keeps its counts
    "keeper-refuse": ("for_s",),  # connections refused; keeps its counts unless `empty`
    "keeper-slow": ("for_s", "size"),
    "keeper-flush": ("size",),  # loses this share of its names
    "keeper-spoil": ("for_s", "size"),
    # Front doors before this one and the others use separate counts; those of the former are kept.
    "keeper-split": ("door", "for_s"),
    "roster-silent": ("for_s",),
    "roster-late": ("for_s", "size"),  # seconds later than usual
    "roster-lose": ("for_s", "size"),  # this share of pushes is lost; the next push includes the changes
    "hot-door": ("for_s", "size"),  # this share of a tenant's requests moves to its busiest front door
    "hall-cut": ("hall", "for_s"),  # no bytes pass between front doors and zone, in either direction
    "hall-slow": ("hall", "for_s", "ms"),
    "hall-reset": ("hall",),  # all connections to the zone are reset
    # Links from the front doors before `door` to `to`; other front doors are not affected.
    "link-cut": ("door", "to", "for_s"),  # no bytes pass and no connection is established
    "link-silent": ("door", "to", "way", "for_s"),  # bytes in one direction, or both, are withheld
    "link-slow": ("door", "to", "ms", "for_s"),
    "link-reset": ("door", "to"),
    "door-kill": ("door", "for_s"),  # SIGKILL; restarted after for_s
    "door-restart": ("door",),  # SIGTERM; restarted when it has ended
    "door-stall": ("door", "for_s"),  # SIGSTOP, SIGCONT after for_s: as when swapped out or without CPU time
    "door-reload": ("door",),  # discovery and counter services change addresses, then SIGHUP
    "rush": ("for_s", "size"),  # all tenants send this many times as many requests
    "greedy": ("for_s", "size"),  # heavy tenants send this many times as many, and ignore Retry-After
    "flood": ("for_s", "size"),  # this many new tenants a second, of the first plan, with one request each
    "connect-storm": ("for_s", "size"),  # this many connections a second that send nothing
    "slow-readers": ("for_s", "size"),  # this many connections that send requests and never read
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """Everything that defines a day, except the seed it is drawn with."""

    name: str
    about: str = ""
    seed: int = 1  # the default seed
    seconds: float = 20.0
    front_doors: int = 3
    front_door: FrontDoorSpec = field(default_factory=FrontDoorSpec)
    fleet: Fleet = field(default_factory=Fleet)
    classes: tuple[Class, ...] = ()
    plans: tuple[Plan, ...] = ()
    load: Load = field(default_factory=Load)
    discovery: DiscoverySpec = field(default_factory=DiscoverySpec)
    counter: CounterSpec = field(default_factory=CounterSpec)
    rules: RulesSpec = field(default_factory=RulesSpec)
    faults: tuple[Fault, ...] = ()

    def resized(self, front_doors: int | None = None, seconds: float | None = None) -> Scenario:
        """Return a copy with another number of front doors or another length, with the timeline scaled to it.

        A fault of a front door beyond the new number applies to the last one.
        """
        made = self
        if front_doors is not None:
            made = replace(
                made,
                front_doors=front_doors,
                faults=tuple(replace(f, front_door=min(f.front_door, front_doors - 1)) for f in made.faults),
            )
        if seconds is not None:
            times = seconds / made.seconds
            made = replace(
                made,
                seconds=seconds,
                faults=tuple(
                    replace(f, at_s=f.at_s * times, for_s=f.for_s * min(1.0, times)) for f in made.faults
                ),
            )
        return made

    def doing(self, what: str) -> list[tuple[int, int, float]]:
        """Return begin, end (µs from the start) and size of each fault with this name."""
        faults = [fault for fault in self.faults if fault.do == what]
        return [(microseconds(f.at_s * 1e3), microseconds((f.at_s + f.for_s) * 1e3), f.size) for f in faults]

    def burst(self, plan: Plan) -> float:
        """Return the burst of a plan's quota, at least two of the largest requests, or four with a ceiling."""
        most = max(c.units for c in self.classes)
        return max(round(plan.rate * plan.burst_s), most * (4.0 if plan.ceiling else 2.0))

    def ceiling(self, plan: Plan) -> Ceiling | None:
        """Return the hard ceiling of a plan; None if it has none."""
        if not plan.ceiling:
            return None
        depth = float(round(self.burst(plan) * plan.ceiling))
        most = max(c.units for c in self.classes)
        return Ceiling(plan.rate * plan.ceiling, depth, max(depth * self.rules.ceiling_slack, most))

    def figures(self, cells: Mapping[str, int]) -> Figures:
        """Return the rules' limits, as in the front doors' settings."""
        ceilings = {plan.name: c for plan in self.plans if (c := self.ceiling(plan)) is not None}
        rules = self.rules
        return Figures(
            kinds={c.name: KindRule(c.repeat, c.group, microseconds(c.window_ms)) for c in self.classes},
            ceilings=ceilings,
            answer_grace=microseconds(rules.answer_grace_ms),
            drain_grace=microseconds(rules.drain_grace_ms),
            fall_multiple=rules.fall_multiple,
            fall_window=microseconds(rules.fall_ms),
            cells=dict(cells),
        )


def microseconds(ms: float) -> int:
    """Convert a duration in ms to whole µs."""
    return round(ms * 1000)
