"""Effect of overload on the front doors: real front doors as processes, evaluated by the test doubles' records.

    python -m benchmarks.overload                                   # rushes of 2, 5 and 10, one seed
    python -m benchmarks.overload --days rush retry-storm --seeds 10 --sockets 256 384 1024
    python -m benchmarks.overload --curve                           # goodput over offered load, 0.5 to 10

One line per day: attempts, lost attempts, violations of other rules, the served fraction of the value requested
within quotas, the fraction that the backends' capacity alone would allow, their ratio, the time to recover, the CPU
time of a front door per attempt, the maximum of descriptors and memory of a front door, and the lag of the test
doubles (above 50 ms the time limits are extended). A day is a built-in scenario, or a number: a rush of that many
times the load.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from irisdeal.demo.deployment import find_deployment
from irisdeal.demo.run import Outcome, play
from irisdeal.testbed.audit import Rule
from irisdeal.testbed.scenario import Fault, Scenario
from irisdeal.testbed.scenario_files import load
from irisdeal.testbed.service_report import recovery
from irisdeal.testbed.workload import draw

CURVE_RATES = ("0.5", "1", "1.5", "2", "3", "5", "7", "10")


def scenario_of(day: str, sockets: int) -> Scenario:
    """A built-in scenario by its name, or for a number a rush of that many times the load."""
    if day.replace(".", "", 1).isdigit():
        rush = Fault(4.0, "rush", 6.0, size=float(day))
        scenario = replace(load("rush"), name=f"rush of {day}", faults=(rush,))
    else:
        scenario = load(day)
    return replace(scenario, front_door=replace(scenario.front_door, sockets=sockets))


def figures(outcome: Outcome, calm: Outcome) -> dict[str, Any]:
    """Figures of one day; `calm` is a calm day of the same seed and deployment."""
    scenario, verdict, service = outcome.day.scenario, outcome.verdict, outcome.service
    faults = scenario.faults
    attempts = sum(bool(taken.at) for taken in outcome.request_log.client_attempts)
    cpu = sum(use.cpu or 0 for use in outcome.uses)
    last_fault_s = max((f.at_s + f.for_s for f in faults), default=0.0)
    recovery_s = recovery(service.seconds, calm.service.seconds, last_fault_s)
    return {
        "day": scenario.name,
        "seed": outcome.day.seed,
        "sockets": scenario.front_door.sockets,
        "tries": attempts,
        "lost": verdict.counts[Rule.ANSWERS],
        "other_breaches": sum(n for rule, n in verdict.counts.items() if rule is not Rule.ANSWERS),
        "crashes": len(outcome.crashes),
        "served": round(service.total.share, 4),
        "by_capacity": round(outcome.reference, 4),
        "of_it": round(service.total.share / outcome.reference, 3) if outcome.reference else None,
        "goodput_per_s": round(service.inside_per_s, 1),
        "recovered_s": recovery_s,
        "p99_ms": round(service.percentile(0.99)),
        "cpu_us": round(cpu / attempts) if attempts else None,
        "files": max(use.files or 0 for use in outcome.uses),
        "memory_mb": round(max(use.memory or 0 for use in outcome.uses) / 1e6, 1),
        "late_ms": round(outcome.request_log.lateness / 1000),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--days", nargs="+", default=["2", "5", "10"])
    parser.add_argument("--curve", action="store_true", help="rushes of " + ", ".join(CURVE_RATES))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--sockets", type=int, nargs="+", default=[1024])
    parser.add_argument(
        "--deploy", type=Path, default=None, help="deployment whose run command starts the front doors"
    )
    parser.add_argument("--json", type=Path, default=None)
    args = parser.parse_args()
    deploy = find_deployment(Path.cwd(), args.deploy)
    lines: list[dict[str, Any]] = []
    for sockets in args.sockets:
        for seed in range(1, args.seeds + 1):
            calm = uvloop.run(play(draw(scenario_of("calm", sockets), seed), deploy))
            for day in CURVE_RATES if args.curve else args.days:
                line = figures(uvloop.run(play(draw(scenario_of(day, sockets), seed), deploy)), calm)
                lines.append(line)
                if len(lines) == 1:
                    print(" ".join(f"{name:>{max(8, len(name))}}" for name in line))
                print(
                    " ".join(
                        f"{value if value is not None else '-':>{max(8, len(name))}}"
                        for name, value in line.items()
                    ),
                    flush=True,
                )
    if args.json is not None:
        args.json.write_text(json.dumps(lines, indent=1) + "\n", "utf-8")
    return 1 if any(line["lost"] or line["other_breaches"] or line["crashes"] for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main())
