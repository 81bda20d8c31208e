"""Validates the values of a scenario, whose types are checked already.

Errors name the keys of the scenario file. The checks run in a fixed order, and the first failure raises.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from irisdeal.testbed.scenario import FAULTS, Class, Fault, Plan, Scenario, ScenarioError
from irisdeal.testbed.scenario_keys import field_of, key_of

MAX_SECONDS = 3600.0  # of a day
MAX_FRONT_DOORS = 64  # as many as one machine can run
MAX_BACKENDS = 200  # as many as one machine can run
MAX_PROCESSES = 8  # of the load generator
MAX_NUMBER = 1e9  # of any value: a larger one is likely in the wrong unit
# Faults whose size is a share.
SHARE_FAULTS = ("keeper-flush", "keeper-spoil", "box-spoil", "roster-lose", "hot-door")


def check(scenario: Scenario, where: str) -> None:
    """Check all values of a scenario read from `where`. Raises `ScenarioError` with key and expected value."""
    checks = _Checks(where, scenario)
    checks.top()
    checks.ranges()
    checks.fleet()
    checks.services()
    checks.load()
    for number, kind in enumerate(scenario.classes):
        checks.request_class(kind, f"class[{number}]")
    for number, plan in enumerate(scenario.plans):
        checks.plan(plan, f"plan[{number}]")
    for number, fault in enumerate(scenario.faults):
        checks.fault(fault, f"at[{number}]")


@dataclass(frozen=True, slots=True)
class _Checks:
    where: str
    scenario: Scenario

    def need(self, fulfilled: bool, key: str, value: object, wanted: str) -> None:
        """Raise `ScenarioError` unless `fulfilled`."""
        if not fulfilled:
            raise ScenarioError(f"{self.where}: {key} is {value!r}: wanted {wanted}")

    def positive(self, table: object, at: str, *keys: str) -> None:
        """Require values over 0."""
        for key in keys:
            value = getattr(table, field_of(key))
            self.need(value > 0, f"{at}.{key}", value, "over 0")

    def positive_share(self, table: object, at: str, key: str) -> None:
        """Require a value over 0 and at most 1."""
        value = getattr(table, field_of(key))
        self.need(0 < value <= 1, f"{at}.{key}", value, "over 0 and at most 1")

    def top(self) -> None:
        """Check length, seed and front doors, and require classes and plans."""
        made = self.scenario
        self.need(0.5 <= made.seconds <= MAX_SECONDS, "seconds", made.seconds, f"0.5 to {MAX_SECONDS:g}")
        self.need(0 <= made.seed < 2**63, "seed", made.seed, "0 to 2**63 - 1")
        self.need(
            1 <= made.front_doors <= MAX_FRONT_DOORS, "doors", made.front_doors, f"1 to {MAX_FRONT_DOORS}"
        )
        self.need(bool(made.classes), "class", [], "at least one [[class]]")
        self.need(bool(made.plans), "plan", [], "at least one [[plan]]")

    def ranges(self) -> None:
        """Check that the numbers of all tables are in range."""
        made = self.scenario
        tables: list[tuple[str, object]] = [
            ("fleet", made.fleet),
            ("load", made.load),
            ("rules", made.rules),
            ("keeper", made.counter),
            ("roster", made.discovery),
            ("door", made.front_door),
        ]
        tables += [(f"class[{n}]", c) for n, c in enumerate(made.classes)]
        tables += [(f"plan[{n}]", p) for n, p in enumerate(made.plans)]
        tables += [(f"fleet.kind[{n}]", k) for n, k in enumerate(made.fleet.kinds)]
        tables += [(f"at[{n}]", f) for n, f in enumerate(made.faults)]
        for at, table in tables:
            self.in_range(table, at)

    def in_range(self, table: object, at: str) -> None:
        """Check that the numbers of a table are at least 0 and below `MAX_NUMBER`, and ranges in order."""
        for f in fields(table):  # type: ignore[arg-type]
            value, key = getattr(table, f.name), f"{at}.{key_of(f.name)}"
            for number in value if isinstance(value, tuple) else (value,):
                if isinstance(number, int | float):
                    self.need(0 <= number < MAX_NUMBER, key, value, "from 0 to 1e9")
            if str(f.type) == "tuple[float, float]":
                self.need(value[0] <= value[1], key, list(value), "[least, most], in that order")

    def fleet(self) -> None:
        """Check the fleet."""
        fleet = self.scenario.fleet
        self.need(1 <= fleet.backends <= MAX_BACKENDS, "fleet.boxes", fleet.backends, f"1 to {MAX_BACKENDS}")
        self.need(bool(fleet.zones), "fleet.halls", list(fleet.zones), "at least one hall")
        self.need(bool(fleet.kinds), "fleet.kind", [], "at least one [[fleet.kind]]")
        self.positive(fleet, "fleet", "cell", "report_every_ms", "idle_s", "meter_s")
        for number, kind in enumerate(fleet.kinds):
            self.positive(kind, f"fleet.kind[{number}]", "cores", "speed", "slots_per_core")
            self.positive_share(kind, f"fleet.kind[{number}]", "cold_from")

    def services(self) -> None:
        """Check the counter service and the limits of the rules."""
        self.positive(self.scenario.counter, "keeper", "calls_per_s", "parts", "timeout_ms")
        self.positive_share(self.scenario.rules, "rules", "start_capacity")
        self.positive(self.scenario.rules, "rules", "fall_multiple", "fall_ms")

    def load(self) -> None:
        """Check the load."""
        load = self.scenario.load
        self.positive(load, "load", "use", "try_share", "shift_s")
        self.need(load.attempt_share <= 1, "load.try_share", load.attempt_share, "at most 1")
        least, most = load.spread
        wanted = "shares of the doors, over 0 and at most 1"
        self.need(least > 0 and most <= 1, "load.spread", list(load.spread), wanted)
        total = load.full + load.heavy + load.spiky
        self.need(total <= 1, "load.full + heavy + spiky", total, "at most 1")
        processes = load.processes
        self.need(1 <= processes <= MAX_PROCESSES, "load.processes", processes, f"1 to {MAX_PROCESSES}")
        self.need(
            load.backoff in ("none", "fixed", "exp"), "load.backoff", load.backoff, "none, fixed or exp"
        )

    def request_class(self, kind: Class, at: str) -> None:
        """Check a class of requests."""
        self.positive(kind, at, "share", "work_ms", "aim_ms", "deadline_ms", "units", "worth")
        repeats = ("safe", "keyed", "unsafe")
        self.need(kind.repeat in repeats, f"{at}.repeat", kind.repeat, "safe, keyed or unsafe")
        self.need(kind.group in ("all", "zone", "cell"), f"{at}.group", kind.group, "all, zone or cell")

    def plan(self, plan: Plan, at: str) -> None:
        """Check a plan."""
        self.positive(plan, at, "share", "rate", "burst_s")

    def fault(self, fault: Fault, at: str) -> None:
        """Check a fault of the timeline."""
        made, needs = self.scenario, FAULTS[fault.do]
        self.need(
            fault.at_s <= made.seconds, f"{at}.at_s", fault.at_s, f"within the {made.seconds:g} seconds"
        )
        if "boxes" in needs:
            most = made.fleet.backends
            self.need(1 <= fault.backends <= most, f"{at}.boxes", fault.backends, f"1 to {most}")
        if fault.do == "keeper-split":
            self.need(fault.front_door > 0, f"{at}.door", fault.front_door, f"1 to {made.front_doors - 1}")
        if fault.do.startswith("link-"):
            return self.link_fault(fault, at)
        if "door" in needs:
            last = made.front_doors - 1
            self.need(fault.front_door <= last, f"{at}.door", fault.front_door, f"0 to {last}")
        if "hall" in needs:
            zones = made.fleet.zones
            self.need(fault.zone in zones, f"{at}.hall", fault.zone, f"one of {', '.join(zones)}")
        if fault.do in SHARE_FAULTS:
            self.need(0 < fault.size <= 1, f"{at}.size", fault.size, "a share, over 0 and at most 1")
        elif "size" in needs:
            self.need(fault.size > 0, f"{at}.size", fault.size, "over 0")

    def link_fault(self, fault: Fault, at: str) -> None:
        """Check a fault of links."""
        made = self.scenario
        front_doors, zones = made.front_doors, made.fleet.zones
        self.need(0 < fault.front_door <= front_doors, f"{at}.door", fault.front_door, f"1 to {front_doors}")
        ends = ("keeper", "roster", *zones)
        self.need(fault.to in ends, f"{at}.to", fault.to, f"one of {', '.join(ends)}")
        directions = ("both", "out", "back")
        self.need(fault.direction in directions, f"{at}.way", fault.direction, "both, out or back")
        moves = any(f.do == "door-reload" for f in made.faults)
        wanted = "a hall, where keeper and roster move by door-reload"
        self.need(fault.to in zones or not moves, f"{at}.to", fault.to, wanted)
