"""The model of a scenario: the fleet, the plans, the load, and a timeline of faults and signals.

`scenario_files` reads it from TOML, `scenario_checks` rejects figures that make no sense, and
`front_door_settings` derives the settings of the front doors.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from irisdeal.testbed.audit import Ceiling, Figures, KindRule


class ScenarioError(ValueError):
    """A scenario that cannot be played: file, key, and what was wanted."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of machine. `speed` is against a yardstick core; slots and queue are counted for each core."""

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
    """The backends. `cross_ms` is the way between two zones, one way, beside what loopback takes."""

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
    apart: bool = (
        False  # each zone's backends, and the counter service, in a process of their own; not in virtual time
    )
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
    """A plan. `rate` in units a second; `burst_s` and `ceiling` are times of it; `tenants` 0: by the load."""

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
    """What the tenants ask: `use` of the fleet's capacity inside the quotas, and the shares of odd tenants."""

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
    reuse: bool = True  # else each attempt has a connection of its own
    processes: int = 1  # that the load generators run in


@dataclass(frozen=True, slots=True)
class DiscoverySpec:
    """How late news of the list is, and how unevenly over the front doors."""

    notice_s: float = 2.0
    spread_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """The counter service: calls a second over all parts, time of a call, how long its line may get."""

    calls_per_s: float = 720.0
    shards: int = 3
    call_ms: float = 1.0
    queue_ms: float = 20.0
    timeout_ms: float = 30.0
    price: float = 0.005


@dataclass(frozen=True, slots=True)
class RulesSpec:
    """The figures of the rules."""

    drain_grace_ms: float = 1000.0
    answer_grace_ms: float = 8.0
    fall_multiple: float = 4.0
    fall_ms: float = 2000.0
    start_capacity: float = 0.18
    warm_up_s: float = 17.0
    ceiling_slack: float = 0.1


@dataclass(frozen=True, slots=True)
class FrontDoorSpec:
    """What each front door is given and allowed."""

    memory_mb: int = 192
    sockets: int = 1024
    tick_ms: float = 2.0
    max_attempts: int = 6
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One line of the timeline. What each `do` needs is in `FAULTS`."""

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
    direction: str = "both"  # out, from the front doors; back, to them; both

    def text(self) -> str:
        """Return the fault as a line of the report."""
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


# The faults, and the keys that each needs beside `at_s`, as scenario files name them.
FAULTS: dict[str, tuple[str, ...]] = {
    "box-hang": ("boxes", "for_s"),  # take requests and answer none
    "box-slow": ("boxes", "for_s", "size"),  # so many times slower
    "box-crash": ("boxes", "for_s"),  # the process dies, and starts again, in slow start, after for_s
    "box-replace": ("boxes", "for_s"),  # a new id, in slow start, at the old one's address after for_s
    "box-drain": ("boxes", "for_s"),  # Terminating; gone after for_s
    "box-add": ("boxes",),  # new backends, in slow start
    "box-spoil": ("boxes", "for_s", "size"),  # that share of answers comes spoilt or cut
    "keeper-silent": ("for_s",),  # no answers; back with its counts
    "keeper-refuse": ("for_s",),  # connections refused; back with its counts, or `empty`
    "keeper-slow": ("for_s", "size"),
    "keeper-flush": ("size",),  # forgets that share of its names
    "keeper-spoil": ("for_s", "size"),
    "keeper-split": (
        "door",
        "for_s",
    ),  # front doors before that one have a counter service of their own; its counts stay
    "roster-silent": ("for_s",),
    "roster-late": ("for_s", "size"),  # seconds later than usual
    "roster-lose": ("for_s", "size"),  # that share of pushes never comes; the next one brings it
    "hot-door": ("for_s", "size"),  # that share of a tenant's requests gathers on its busiest front door
    "hall-cut": ("hall", "for_s"),  # no byte passes between the front doors and that zone, both ways
    "hall-slow": ("hall", "for_s", "ms"),
    "hall-reset": ("hall",),  # every connection to that zone is reset
    # The ways that the front doors before `door` have to `to`; other front doors keep theirs.
    "link-cut": ("door", "to", "for_s"),  # no byte passes and no connection comes up
    "link-silent": ("door", "to", "way", "for_s"),  # what is written one way, or both, is held
    "link-slow": ("door", "to", "ms", "for_s"),
    "link-reset": ("door", "to"),
    "door-kill": ("door", "for_s"),  # SIGKILL; started again after for_s
    "door-restart": ("door",),  # SIGTERM; started again when it has ended
    "door-stall": ("door", "for_s"),  # SIGSTOP, SIGCONT after for_s: swapped out, or a starved core
    "door-reload": ("door",),  # discovery service and counter service move, then SIGHUP
    "rush": ("for_s", "size"),  # all tenants ask so many times as much
    "greedy": ("for_s", "size"),  # the heavy tenants ask so many times as much, and heed no advice
    "flood": ("for_s", "size"),  # so many new tenants a second, of the first plan, that ask once each
    "connect-storm": ("for_s", "size"),  # so many connections a second that say nothing
    "slow-readers": ("for_s", "size"),  # so many connections that ask and never read an answer
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of a day but its seed."""

    name: str
    about: str = ""
    seed: int = 1  # that it is played with, unless another one is asked for
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
        """Change the number of front doors or the length; the timeline is scaled with it.

        A fault that names a front door which is not there goes to the last one.
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
        """When a fault of that name begins and ends (µs from the start), and its size, for each."""
        faults = [fault for fault in self.faults if fault.do == what]
        return [(microseconds(f.at_s * 1e3), microseconds((f.at_s + f.for_s) * 1e3), f.size) for f in faults]

    def burst(self, plan: Plan) -> float:
        """Units that a tenant's quota holds: two of the largest requests at least, four under a ceiling."""
        most = max(c.units for c in self.classes)
        return max(round(plan.rate * plan.burst_s), most * (4.0 if plan.ceiling else 2.0))

    def ceiling(self, plan: Plan) -> Ceiling | None:
        """Return the hard ceiling of a plan; None where it has none."""
        if not plan.ceiling:
            return None
        depth = float(round(self.burst(plan) * plan.ceiling))
        most = max(c.units for c in self.classes)
        return Ceiling(plan.rate * plan.ceiling, depth, max(depth * self.rules.ceiling_slack, most))

    def figures(self, cells: Mapping[str, int]) -> Figures:
        """Return the rules' figures, as the front doors' settings have them."""
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
