"""µs a match at 10, 100, 1,000 and 10,000 routes, beside two routers from the registry, in turns in one run.

    python -m benchmarks.route_match [--rounds 5] [--json] [--description FILE]

The three get the same templates and the same paths, most of which match. Ours is measured with reading the
target (which decodes and checks it), since the others take a path that a server has decoded for them; its
bare walk is told too. With --description a real one is read: seconds, peak memory, routes, and the longest
time that building its table in slices holds the loop.
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

SIZES = (10, 100, 1_000, 10_000)
PATHS = 500  # matched in each round
RULE = Rule("read", Repeat.SAFE)


def templates(count: int) -> list[str]:
    """Templates as a service has them: collections, items, actions on items, versions."""
    made: list[str] = []
    n = 0
    while len(made) < count:
        base = f"/v{n % 3 + 1}/area{n // 20}/thing{n}"
        made += [base, base + "/{id}", base + "/{id}/parts", base + "/{id}/parts/{part}"]
        n += 1
    return made[:count]


def paths(made: list[str], rng: random.Random) -> list[str]:
    """Paths that match a template each, and one in ten that matches none."""
    found = []
    for _ in range(PATHS):
        path = rng.choice(made).replace("{id}", f"{rng.randrange(10**6)}").replace("{part}", "a-1")
        found.append(path + "/none" if rng.random() < 0.1 else path)
    return found


class Resource:
    def on_get(self) -> None: ...


def matchers(made: list[str]) -> dict[str, Callable[[str], object]]:
    ours = Matcher(Route("GET", template, RULE) for template in made)
    falcon = CompiledRouter()
    for template in made:
        falcon.add_route(template, Resource(), compile=False)
    falcon.find(made[0])  # compiles
    werkzeug = Map([WerkzeugRule(t.replace("{", "<").replace("}", ">"), endpoint=t) for t in made])
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
        return ours.find("GET", target)

    return {
        "irisdeal": lambda path: ours.find("GET", read_target(path)),
        "irisdeal, the walk alone": walk,
        "falcon": falcon.find,
        "werkzeug": with_werkzeug,
    }


def measure(count: int, rounds: int) -> dict[str, float]:
    """The median µs a match of each, the rounds taken in turns."""
    made = templates(count)
    asked = paths(made, random.Random(count))
    able = matchers(made)
    took: dict[str, list[float]] = {name: [] for name in able}
    for _ in range(rounds + 1):
        for name, find in able.items():
            start = time.perf_counter()
            for path in asked:
                find(path)
            took[name].append((time.perf_counter() - start) / PATHS * 1e6)
    return {name: statistics.median(times[1:]) for name, times in took.items()}  # the first warms up


def described(path: Path) -> dict[str, Any]:
    start = time.perf_counter()
    done = subprocess.run(
        [sys.executable, "-m", "irisdeal.front_door.sources.openapi", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    seconds = time.perf_counter() - start
    if done.returncode:
        raise SystemExit(f"{path}: {done.stdout.strip() or done.stderr.strip()[-200:]}")
    peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    rules: dict[Rule, Rule] = {}
    longest, last = 0.0, time.perf_counter()
    whole = last
    wire = done.stdout.splitlines()[1:]
    for _ in build_in_steps(route_from_wire(json.loads(line), rules) for line in wire):
        now = time.perf_counter()
        longest, last = max(longest, now - last), now
    return {
        "file_mb": path.stat().st_size / 1e6,
        "routes": len(wire),
        "seconds": seconds,
        "reader_mb": peak,
        "longest_slice_ms": longest * 1000,
        "all_slices_ms": (last - whole) * 1000,
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.route_match")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--description", type=Path)
    told = parser.parse_args()
    made: dict[str, Any] = {"us_a_match": {str(count): measure(count, told.rounds) for count in SIZES}}
    if told.description:
        made["description"] = described(told.description)
    if told.json:
        print(json.dumps(made, indent=1))
        return 0
    names = list(made["us_a_match"]["10"])
    print(f"{'routes':>8}" + "".join(f"{name:>26}" for name in names))
    for count, times in made["us_a_match"].items():
        print(f"{count:>8}" + "".join(f"{times[name]:>23.2f} µs" for name in names))
    if told.description:
        print(json.dumps(made["description"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
