"""The `settings` object of a front door's configuration (PROTOCOL, top; WIRE, SETTINGS), from a scenario."""

from __future__ import annotations

from typing import Any

from irisdeal.testbed.audit import Ceiling
from irisdeal.testbed.scenario import Class, Plan, Scenario, microseconds

# The protocol's names of the repeat rules.
REPEATS = {
    "safe": "free",
    "keyed": "guarded",
    "unsafe": "single_shot",
}
NO_CEILING = Ceiling(0.0, 0.0, 0.0)


def front_door_settings(scenario: Scenario, rank: int) -> dict[str, Any]:
    """Return the settings of a front door, by its rank, as JSON values."""
    return {
        "family": "gate",
        "discovery": "pushed",
        "peers_total": scenario.front_doors,
        "rank": rank,
        "locality": rank % len(scenario.fleet.zones),
        "round_us": microseconds(scenario.front_door.tick_ms),
        "zones": list(scenario.fleet.zones),
        "kinds": [kind.name for kind in scenario.fleet.kinds],
        "profiles": [_profile(kind) for kind in scenario.classes],
        "packages": [_package(scenario, plan) for plan in scenario.plans],
        "safety": _safety(scenario),
        "permissions": _permissions(scenario),
        "family_info": {
            "shared_counter": True,
            "count_wait_us": microseconds(scenario.counter.timeout_ms),
            "count_fee": scenario.counter.price,
            "meter_us": int(scenario.fleet.meter_s * 1e6),
            "settles": False,
        },
        "costs": {"cross_zone": 0.02, "waste": 0.03},
        "report": {"columns": ["mean_ms", "load_share", "depth"], "source": "inline"},
    }


def _profile(kind: Class) -> dict[str, Any]:
    return {
        "name": kind.name,
        "slo_us": microseconds(kind.latency_target_ms),
        "deadline_us": microseconds(kind.deadline_ms),
        "repeat": REPEATS[kind.repeat],
        "group": kind.group,
        "window_us": microseconds(kind.window_ms),
        "worth": kind.value,
        "late_value": kind.late_value,
        "stream": False,
    }


def _package(scenario: Scenario, plan: Plan) -> dict[str, Any]:
    ceiling = scenario.ceiling(plan) or NO_CEILING
    return {
        "name": plan.name,
        "refill": plan.rate,
        "burst": scenario.burst(plan),
        "concurrency": plan.open,
        "hard_rate": ceiling.rate,
        "never_over_depth": ceiling.depth,
        "cap_slack": ceiling.slack,
        "value_factor": plan.price,
        "beyond_costs": plan.beyond_cost,
        "extra_worth": plan.beyond_value,
    }


def _safety(scenario: Scenario) -> dict[str, Any]:
    rules = scenario.rules
    return {
        "grace_to_answer_us": microseconds(rules.answer_grace_ms),
        "drain_grace_us": microseconds(rules.drain_grace_ms),
        "start_capacity": rules.start_capacity,
        "warm_up_us": int(rules.warm_up_s * 1e6),
        "tip_multiple": rules.fall_multiple,
        "fall_us": microseconds(rules.fall_ms),
    }


def _permissions(scenario: Scenario) -> dict[str, Any]:
    front_door = scenario.front_door
    return {
        "max_attempts": front_door.max_attempts,
        "parallel_tries": True,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_us": microseconds(front_door.max_retry_after_ms),
        "connect_timeout_us": microseconds(front_door.connect_timeout_ms),
        "keepalive_us": int(scenario.fleet.idle_s * 1e6),
    }
