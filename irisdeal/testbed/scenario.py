"""Scenarios in TOML: the fleet, the plans, the load, and a timeline of faults and signals.

Everything is checked on reading. An error is one line with file, key and what was wanted (`ScenarioError`); an
unknown key is an error too, since a key that is ignored is a setting forgotten. A scenario may name another one
as its `base`: its tables are then laid over that one's, key by key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, fields, replace
from importlib import resources
from pathlib import Path
from typing import Any

from irisdeal.testbed.audit import Ceiling, Figures, KindRule
from irisdeal.testbed.scenario_keys import field_of, key_of

BUILT_IN = resources.files("irisdeal.testbed") / "scenarios"
MOST_BYTES = 262_144  # of a scenario file
MOST_BASES = 4  # a chain of bases longer than this is a circle
MOST = {"doors": 64, "boxes": 200, "seconds": 3600.0, "processes": 8}  # what one machine can start


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
    reuse: bool = True  # else each try comes on a connection of its own
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
        told = [self.do]
        needs = FAULTS[self.do]
        if "boxes" in needs:
            told.append(f"{self.backends} boxes")
        if "hall" in needs:
            told.append(self.zone)
        if "door" in needs:
            told.append(f"door {self.front_door}")
        if "to" in needs:
            told.append(f"to {self.to}" + (f", {self.direction}" if "way" in needs else ""))
        if "size" in needs:
            told.append(f"size {self.size:g}")
        if "ms" in needs:
            told.append(f"{self.ms:g} ms")
        if self.for_s:
            told.append(f"for {self.for_s:g} s")
        return " ".join(told)


# What can be done, and the keys that each needs beside `at_s`.
FAULTS: dict[str, tuple[str, ...]] = {
    "box-hang": ("boxes", "for_s"),  # take requests and answer none
    "box-slow": ("boxes", "for_s", "size"),  # so many times slower
    "box-crash": ("boxes", "for_s"),  # the process dies, and starts again, cold, after for_s
    "box-replace": ("boxes", "for_s"),  # a new id, cold, at the old one's address after for_s
    "box-drain": ("boxes", "for_s"),  # Terminating; gone after for_s
    "box-add": ("boxes",),  # new backends, cold
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
        """The same day with another number of front doors or another length; the timeline is scaled with it.

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
        return [
            (_us(f.at_s * 1e3), _us((f.at_s + f.for_s) * 1e3), f.size) for f in self.faults if f.do == what
        ]

    def burst(self, plan: Plan) -> float:
        """Units that a tenant's quota holds: two of the largest requests at least, four under a ceiling."""
        most = max(c.units for c in self.classes)
        return max(round(plan.rate * plan.burst_s), most * (4.0 if plan.ceiling else 2.0))

    def ceiling(self, plan: Plan) -> Ceiling | None:
        if not plan.ceiling:
            return None
        depth = float(round(self.burst(plan) * plan.ceiling))
        most = max(c.units for c in self.classes)
        return Ceiling(plan.rate * plan.ceiling, depth, max(depth * self.rules.ceiling_slack, most))

    def figures(self, cells: Mapping[str, int]) -> Figures:
        """The rules' figures, as the front doors are told them."""
        ceilings = {plan.name: c for plan in self.plans if (c := self.ceiling(plan)) is not None}
        rules = self.rules
        return Figures(
            kinds={c.name: KindRule(c.repeat, c.group, _us(c.window_ms)) for c in self.classes},
            ceilings=ceilings,
            answer_grace=_us(rules.answer_grace_ms),
            drain_grace=_us(rules.drain_grace_ms),
            fall_multiple=rules.fall_multiple,
            fall_window=_us(rules.fall_ms),
            cells=dict(cells),
        )

    def settings(self, rank: int) -> dict[str, Any]:
        """The `settings` object of one front door's configuration (PROTOCOL, top; WIRE, SETTINGS)."""
        repeats = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
        rules, front_door = self.rules, self.front_door
        plans = []
        for plan in self.plans:
            ceiling = self.ceiling(plan) or Ceiling(0.0, 0.0, 0.0)
            plans.append(
                {
                    "name": plan.name,
                    "refill": plan.rate,
                    "burst": self.burst(plan),
                    "concurrency": plan.open,
                    "hard_rate": ceiling.rate,
                    "never_over_depth": ceiling.depth,
                    "cap_slack": ceiling.slack,
                    "value_factor": plan.price,
                    "beyond_costs": plan.beyond_cost,
                    "extra_worth": plan.beyond_value,
                }
            )
        return {
            "family": "gate",
            "discovery": "pushed",
            "peers_total": self.front_doors,
            "rank": rank,
            "locality": rank % len(self.fleet.zones),
            "round_us": _us(front_door.tick_ms),
            "zones": list(self.fleet.zones),
            "kinds": [k.name for k in self.fleet.kinds],
            "profiles": [
                {
                    "name": c.name,
                    "slo_us": _us(c.latency_target_ms),
                    "deadline_us": _us(c.deadline_ms),
                    "repeat": repeats[c.repeat],
                    "group": c.group,
                    "window_us": _us(c.window_ms),
                    "worth": c.value,
                    "late_value": c.late_value,
                    "stream": False,
                }
                for c in self.classes
            ],
            "packages": plans,
            "safety": {
                "grace_to_answer_us": _us(rules.answer_grace_ms),
                "drain_grace_us": _us(rules.drain_grace_ms),
                "start_capacity": rules.start_capacity,
                "warm_up_us": int(rules.warm_up_s * 1e6),
                "tip_multiple": rules.fall_multiple,
                "fall_us": _us(rules.fall_ms),
            },
            "permissions": {
                "max_attempts": front_door.max_attempts,
                "parallel_tries": True,
                "cancel": True,
                "probes": False,
                "retry_after": True,
                "max_retry_after_us": _us(front_door.max_retry_after_ms),
                "connect_timeout_us": _us(front_door.connect_timeout_ms),
                "keepalive_us": int(self.fleet.idle_s * 1e6),
            },
            "family_info": {
                "shared_counter": True,
                "count_wait_us": _us(self.counter.timeout_ms),
                "count_fee": self.counter.price,
                "meter_us": int(self.fleet.meter_s * 1e6),
                "settles": False,
            },
            "costs": {"cross_zone": 0.02, "waste": 0.03},
            "report": {"columns": ["mean_ms", "load_share", "depth"], "source": "inline"},
        }


def _us(ms: float) -> int:
    return round(ms * 1000)


# Reading


def names() -> list[str]:
    """The built-in scenarios."""
    return sorted(p.name.removesuffix(".toml") for p in BUILT_IN.iterdir() if p.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """A built-in scenario by its name, or one from a file by its path. Raises `ScenarioError`."""
    return _Reading(name).scenario(_merged(name, 0))


def parse(text: str, where: str = "scenario") -> Scenario:
    """A scenario from its text."""
    return _Reading(where).scenario(_overlaid(_toml(text, where), where, 0))


def read(table: Mapping[str, Any], where: str = "scenario") -> Scenario:
    """A scenario from its tables, as TOML gives them; they are left as they are."""
    return _Reading(where).scenario(_overlaid(dict(table), where, 0))


def _merged(name: str, depth: int) -> dict[str, Any]:
    if name in names():
        text = (BUILT_IN / f"{name}.toml").read_text("utf-8")
    else:
        path = Path(name)
        if "/" not in name and not name.endswith(".toml"):
            raise ScenarioError(f"{name}: no such scenario: wanted a file, or one of {', '.join(names())}")
        try:
            raw = path.open("rb").read(MOST_BYTES + 1)
        except OSError as error:
            raise ScenarioError(f"{name}: {error.strerror}") from None
        if len(raw) > MOST_BYTES:
            raise ScenarioError(f"{name}: over {MOST_BYTES} bytes")
        try:
            text = raw.decode("utf-8")
        except UnicodeDecodeError as error:
            raise ScenarioError(f"{name}: not UTF-8 at byte {error.start}") from None
    return _overlaid(_toml(text, name), name, depth)


def _toml(text: str, where: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: no TOML: {error}") from None


def _overlaid(told: dict[str, Any], where: str, depth: int) -> dict[str, Any]:
    base = told.pop("base", None)
    if base is None:
        return told
    if not isinstance(base, str):
        raise ScenarioError(f"{where}: base: wanted the name of a scenario, not {base!r}")
    if depth >= MOST_BASES:
        raise ScenarioError(f"{where}: base: a chain of over {MOST_BASES} scenarios, perhaps a circle")
    return _over(_merged(base, depth + 1), told)


def _over(under: dict[str, Any], upper: dict[str, Any]) -> dict[str, Any]:
    made = dict(under)
    for key, value in upper.items():
        old = made.get(key)
        made[key] = _over(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return made


@dataclass(frozen=True, slots=True)
class _Reading:
    """Reads one file; each error names it."""

    where: str

    def wrong(self, key: str, value: object, wanted: str) -> ScenarioError:
        return ScenarioError(f"{self.where}: {key} is {value!r}: wanted {wanted}")

    def scenario(self, told: dict[str, Any]) -> Scenario:
        tables: dict[str, type] = {
            "door": FrontDoorSpec,
            "fleet": Fleet,
            "load": Load,
            "roster": DiscoverySpec,
            "keeper": CounterSpec,
            "rules": RulesSpec,
        }
        lists: dict[str, tuple[str, type]] = {"class": ("classes", Class), "plan": ("plans", Plan)}
        plain: dict[str, Any] = {"name": Path(self.where).name.removesuffix(".toml")}
        for key, value in told.items():
            if key in tables:
                plain[field_of(key)] = self.table(tables[key], value, key)
            elif key in lists:
                plain[lists[key][0]] = tuple(self.tables(lists[key][1], value, key))
            elif key == "at":
                plain["faults"] = tuple(self.fault(line, n) for n, line in enumerate(self.list(value, "at")))
            elif key in ("name", "about", "seed", "seconds", "doors"):
                plain[field_of(key)] = self.value(Scenario, field_of(key), value, key)
            else:
                known = ", ".join(
                    ("name", "about", "base", "seed", "seconds", "doors", *tables, *lists, "at")
                )
                raise ScenarioError(f"{self.where}: {key}: no such key: wanted one of {known}")
        made = Scenario(**plain)
        self.check(made)
        return made

    def list(self, value: object, key: str) -> list[object]:
        if not isinstance(value, list):
            raise self.wrong(key, value, f"a list of tables, [[{key}]]")
        return value

    def tables(self, kind: type, value: object, key: str) -> Iterator[Any]:
        for n, inner in enumerate(self.list(value, key)):
            yield self.table(kind, inner, f"{key}[{n}]")

    def table(self, kind: type, value: object, key: str) -> Any:
        if not isinstance(value, dict):
            raise self.wrong(key, value, "a table")
        known = {key_of(f.name): f.name for f in fields(kind)}
        made: dict[str, Any] = {}
        for name, inner in value.items():
            if kind is Fleet and name == "kind":
                made["kinds"] = tuple(self.tables(Kind, inner, f"{key}.kind"))
            elif name in known and not (kind is Fleet and name == "kinds"):
                made[known[name]] = self.value(kind, known[name], inner, f"{key}.{name}")
            else:
                wanted = ", ".join(sorted(known.keys() - {"kinds"} | ({"kind"} if kind is Fleet else set())))
                raise ScenarioError(f"{self.where}: {key}.{name}: no such key: wanted one of {wanted}")
        try:
            return kind(**made)
        except TypeError as error:  # a key without a default is missing
            missing = re.sub(r"\w+(?=')", lambda found: key_of(found[0]), str(error).rpartition(": ")[2])
            raise ScenarioError(f"{self.where}: {key}: missing {missing}") from None

    def value(self, kind: type, name: str, value: object, key: str) -> Any:
        """A value of the field's type; whole numbers pass for decimals, nothing else for another."""
        wanted = next(str(f.type) for f in fields(kind) if f.name == name)
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if wanted == "float" and number:
            return float(value)  # type: ignore[arg-type]
        if wanted == "int" and isinstance(value, int) and not isinstance(value, bool):
            return value
        if wanted == "str" and isinstance(value, str):
            return value
        if wanted == "bool" and isinstance(value, bool):
            return value
        if wanted == "tuple[str, ...]" and isinstance(value, list) and all(isinstance(v, str) for v in value):
            return tuple(value)
        if wanted == "tuple[float, float]":
            if number:
                return float(value), float(value)  # type: ignore[arg-type]
            if (
                isinstance(value, list)
                and len(value) == 2
                and all(isinstance(v, int | float) and not isinstance(v, bool) for v in value)
            ):
                return float(value[0]), float(value[1])
        raise self.wrong(
            key,
            value,
            {
                "float": "a number",
                "int": "a whole number",
                "str": "a text",
                "bool": "true or false",
                "tuple[str, ...]": "a list of texts",
                "tuple[float, float]": "a number or [least, most]",
            }[wanted],
        )

    def fault(self, line: object, n: int) -> Fault:
        fault: Fault = self.table(Fault, line, f"at[{n}]")
        if fault.do not in FAULTS:
            raise self.wrong(f"at[{n}].do", fault.do, f"one of {', '.join(FAULTS)}")
        assert isinstance(line, dict)
        for key in FAULTS[fault.do]:
            if key not in line:
                raise ScenarioError(f"{self.where}: at[{n}]: {fault.do} needs {key}")
        for key in set(line) - set(FAULTS[fault.do]) - {"at_s", "do", "empty"}:
            raise ScenarioError(f"{self.where}: at[{n}].{key}: {fault.do} takes no such key")
        return fault

    def check(self, made: Scenario) -> None:
        """Figures that are of the right type and make no sense."""

        def need(holds: bool, key: str, value: object, wanted: str) -> None:
            if not holds:
                raise self.wrong(key, value, wanted)

        def positive(thing: object, at: str, *names: str, share: bool = False) -> None:
            for name in names:
                value = getattr(thing, field_of(name))
                need(
                    0 < value <= 1 if share else value > 0,
                    f"{at}.{name}",
                    value,
                    "over 0 and at most 1" if share else "over 0",
                )

        def nothing_below(thing: object, at: str, but: tuple[str, ...] = ()) -> None:
            for f in fields(thing):  # type: ignore[arg-type]
                value = getattr(thing, f.name)
                for number in value if isinstance(value, tuple) else (value,):
                    if isinstance(number, int | float) and f.name not in but:
                        need(0 <= number < 1e9, f"{at}.{key_of(f.name)}", value, "from 0 to 1e9")
                if str(f.type) == "tuple[float, float]":
                    need(
                        value[0] <= value[1],
                        f"{at}.{key_of(f.name)}",
                        list(value),
                        "[least, most], in that order",
                    )

        need(0.5 <= made.seconds <= MOST["seconds"], "seconds", made.seconds, f"0.5 to {MOST['seconds']:g}")
        need(0 <= made.seed < 2**63, "seed", made.seed, "0 to 2**63 - 1")
        need(1 <= made.front_doors <= MOST["doors"], "doors", made.front_doors, f"1 to {MOST['doors']}")
        need(bool(made.classes), "class", [], "at least one [[class]]")
        need(bool(made.plans), "plan", [], "at least one [[plan]]")
        fleet, load, rules, counter = made.fleet, made.load, made.rules, made.counter
        tables: list[tuple[str, object]] = [
            ("fleet", fleet),
            ("load", load),
            ("rules", rules),
            ("keeper", counter),
            ("roster", made.discovery),
            ("door", made.front_door),
        ]
        tables += [(f"class[{n}]", c) for n, c in enumerate(made.classes)]
        tables += [(f"plan[{n}]", p) for n, p in enumerate(made.plans)]
        tables += [(f"fleet.kind[{n}]", k) for n, k in enumerate(fleet.kinds)]
        tables += [(f"at[{n}]", f) for n, f in enumerate(made.faults)]
        for at, table in tables:
            nothing_below(table, at)
        need(1 <= fleet.backends <= MOST["boxes"], "fleet.boxes", fleet.backends, f"1 to {MOST['boxes']}")
        need(bool(fleet.zones), "fleet.halls", list(fleet.zones), "at least one hall")
        need(bool(fleet.kinds), "fleet.kind", [], "at least one [[fleet.kind]]")
        positive(fleet, "fleet", "cell", "report_every_ms", "idle_s", "meter_s")
        for n, kind in enumerate(fleet.kinds):
            positive(kind, f"fleet.kind[{n}]", "cores", "speed", "slots_per_core")
            positive(kind, f"fleet.kind[{n}]", "cold_from", share=True)
        positive(counter, "keeper", "calls_per_s", "parts", "timeout_ms")
        positive(rules, "rules", "start_capacity", share=True)
        positive(rules, "rules", "fall_multiple", "fall_ms")
        positive(load, "load", "use", "try_share", "shift_s")
        need(load.attempt_share <= 1, "load.try_share", load.attempt_share, "at most 1")
        need(
            load.spread[0] > 0 and load.spread[1] <= 1,
            "load.spread",
            list(load.spread),
            "shares of the doors, over 0 and at most 1",
        )
        need(
            load.full + load.heavy + load.spiky <= 1,
            "load.full + heavy + spiky",
            load.full + load.heavy + load.spiky,
            "at most 1",
        )
        need(
            1 <= load.processes <= MOST["processes"],
            "load.processes",
            load.processes,
            f"1 to {MOST['processes']}",
        )
        need(load.backoff in ("none", "fixed", "exp"), "load.backoff", load.backoff, "none, fixed or exp")
        for n, kind_ in enumerate(made.classes):
            at = f"class[{n}]"
            positive(kind_, at, "share", "work_ms", "aim_ms", "deadline_ms", "units", "worth")
            need(
                kind_.repeat in ("safe", "keyed", "unsafe"),
                f"{at}.repeat",
                kind_.repeat,
                "safe, keyed or unsafe",
            )
            need(kind_.group in ("all", "zone", "cell"), f"{at}.group", kind_.group, "all, zone or cell")
        for n, plan in enumerate(made.plans):
            positive(plan, f"plan[{n}]", "share", "rate", "burst_s")
        for n, fault in enumerate(made.faults):
            at = f"at[{n}]"
            needs = FAULTS[fault.do]
            need(fault.at_s <= made.seconds, f"{at}.at_s", fault.at_s, f"within the {made.seconds:g} seconds")
            if "boxes" in needs:
                need(
                    1 <= fault.backends <= fleet.backends,
                    f"{at}.boxes",
                    fault.backends,
                    f"1 to {fleet.backends}",
                )
            if fault.do == "keeper-split":
                need(fault.front_door > 0, f"{at}.door", fault.front_door, f"1 to {made.front_doors - 1}")
            if fault.do.startswith("link-"):
                need(
                    0 < fault.front_door <= made.front_doors,
                    f"{at}.door",
                    fault.front_door,
                    f"1 to {made.front_doors}",
                )
                ends = ("keeper", "roster", *fleet.zones)
                need(fault.to in ends, f"{at}.to", fault.to, f"one of {', '.join(ends)}")
                need(
                    fault.direction in ("both", "out", "back"),
                    f"{at}.way",
                    fault.direction,
                    "both, out or back",
                )
                need(
                    fault.to in fleet.zones or not any(f.do == "door-reload" for f in made.faults),
                    f"{at}.to",
                    fault.to,
                    "a hall, where keeper and roster move by door-reload",
                )
                continue
            if "door" in needs:
                need(
                    fault.front_door < made.front_doors,
                    f"{at}.door",
                    fault.front_door,
                    f"0 to {made.front_doors - 1}",
                )
            if "hall" in needs:
                need(fault.zone in fleet.zones, f"{at}.hall", fault.zone, f"one of {', '.join(fleet.zones)}")
            if fault.do in ("keeper-flush", "keeper-spoil", "box-spoil", "roster-lose", "hot-door"):
                need(0 < fault.size <= 1, f"{at}.size", fault.size, "a share, over 0 and at most 1")
            elif "size" in needs:
                need(fault.size > 0, f"{at}.size", fault.size, "over 0")
