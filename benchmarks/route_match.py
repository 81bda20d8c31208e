"""Time of a route match at 10, 100, 1,000 and 10,000 routes, compared with two routers from PyPI, in one run.

    python -m benchmarks.route_match [--rounds 5] [--json] [--description FILE]

All routers get the same templates and the same paths, most of which match, and take turns. The matcher of this
project is measured with the parsing of the target (decoding and validation), since the others take a path that a
server has decoded; the match alone is reported too. With --description a real API description is read: reports
seconds, peak memory, routes, and the longest time that one slice of build_in_steps its table blocks the event loop.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from falcon.routing import CompiledRouter
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map
from werkzeug.routing import Rule as WerkzeugRule

from irisdeal.front_door.routes.matcher import Matcher
from irisdeal.front_door.routes.model import Repeat, Route, Rule
from irisdeal.front_door.routes.path import Target, read_target
from irisdeal.front_door.routes.table import build_in_steps
from irisdeal.front_door.routes.wire import route_from_wire

ROUTE_COUNTS = (10, 100, 1_000, 10_000)
PATH_COUNT = 500  # in each round
RULE = Rule("read", Repeat.SAFE)


def make_templates(count: int) -> list[str]:
    """Templates typical of a service: collections, items, actions on items, versions."""
    templates: list[str] = []
    number = 0
    while len(templates) < count:
        base = f"/v{number % 3 + 1}/area{number // 20}/thing{number}"
        templates += [base, base + "/{id}", base + "/{id}/parts", base + "/{id}/parts/{part}"]
        number += 1
    return templates[:count]


def make_paths(templates: list[str], rng: random.Random) -> list[str]:
    """Random paths; nine in ten match a template."""
    paths = []
    for _ in range(PATH_COUNT):
        path = rng.choice(templates).replace("{id}", f"{rng.randrange(10**6)}").replace("{part}", "a-1")
        paths.append(path + "/none" if rng.random() < 0.1 else path)
    return paths


class Resource:
    def on_get(self) -> None: ...


def build_matchers(templates: list[str]) -> dict[str, Callable[[str], object]]:
    matcher = Matcher(Route("GET", template, RULE) for template in templates)
    falcon = CompiledRouter()
    for template in templates:
        falcon.add_route(template, Resource(), compile=False)
    falcon.find(templates[0])  # compiles
    werkzeug = Map([WerkzeugRule(t.replace("{", "<").replace("}", ">"), endpoint=t) for t in templates])
    bound = werkzeug.bind("refund.svc")

    def with_werkzeug(path: str) -> object:
        try:
            return bound.match(path)
        except HTTPException:
            return None

    targets: dict[str, Target] = {}

    def walk(path: str) -> object:
        if (target := targets.get(path)) is None:
            target = targets[path] = read_target(path)
        return matcher.find("GET", target)

    return {
        "irisdeal": lambda path: matcher.find("GET", read_target(path)),
        "irisdeal, the walk alone": walk,
        "falcon": falcon.find,
        "werkzeug": with_werkzeug,
    }


def measure(count: int, rounds: int) -> dict[str, float]:
    """The median µs per match of each router; the routers take turns in each round."""
    templates = make_templates(count)
    paths = make_paths(templates, random.Random(count))
    matchers = build_matchers(templates)
    durations_us: dict[str, list[float]] = {name: [] for name in matchers}
    for _ in range(rounds + 1):
        for name, find in matchers.items():
            start = time.perf_counter()
            for path in paths:
                find(path)
            durations_us[name].append((time.perf_counter() - start) / PATH_COUNT * 1e6)
    # The first round is the warm-up.
    return {name: statistics.median(times[1:]) for name, times in durations_us.items()}


def measure_description(path: Path) -> dict[str, Any]:
    start = time.perf_counter()
    completed = subprocess.run(
        [sys.executable, "-m", "irisdeal.front_door.sources.openapi", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    seconds = time.perf_counter() - start
    if completed.returncode:
        raise SystemExit(f"{path}: {completed.stdout.strip() or completed.stderr.strip()[-200:]}")
    peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    rules: dict[Rule, Rule] = {}
    longest, last_step_at = 0.0, time.perf_counter()
    started_at = last_step_at
    wire = completed.stdout.splitlines()[1:]
    for _ in build_in_steps(route_from_wire(json.loads(line), rules) for line in wire):
        now = time.perf_counter()
        longest, last_step_at = max(longest, now - last_step_at), now
    return {
        "file_mb": path.stat().st_size / 1e6,
        "routes": len(wire),
        "seconds": seconds,
        "reader_mb": peak,
        "longest_slice_ms": longest * 1000,
        "all_slices_ms": (last_step_at - started_at) * 1000,
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.route_match")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--description", type=Path)
    args = parser.parse_args()
    result: dict[str, Any] = {
        "us_a_match": {str(count): measure(count, args.rounds) for count in ROUTE_COUNTS}
    }
    if args.description:
        result["description"] = measure_description(args.description)
    if args.json:
        print(json.dumps(result, indent=1))
        return 0
    names = list(result["us_a_match"]["10"])
    print(f"{'routes':>8}" + "".join(f"{name:>26}" for name in names))
    for count, times in result["us_a_match"].items():
        print(f"{count:>8}" + "".join(f"{times[name]:>23.2f} µs" for name in names))
    if args.description:
        print(json.dumps(result["description"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
