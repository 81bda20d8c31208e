"""Days of the store in virtual time by seed, in several processes, judged whole.

    python -m benchmarks.control --days 1000 --jobs 6
    python -m benchmarks.control --first 4711 --days 1 --faults      # one day again, with what befell it

Told are the days that were played to their end, breaches with their seeds, orders, how long orders took that
met a loss (of orders that began within 2 s of one), and the slowest return. One seed is one day, whatever
process plays it: hashes are by a seed of their own (`PYTHONHASHSEED`).
"""

from __future__ import annotations

import argparse
import gc
import json
import logging
import multiprocessing
import os
import sys
import time
from collections.abc import Iterator

from irisdeal.simulation.cluster.store_day import Verdict, simulation_for_seed

SLICE = 5  # days of one task: short enough that a breach is told at once


def play(seed: int) -> Verdict:
    """One day; an error of its own is a breach too."""
    logging.disable(logging.WARNING)
    gc.disable()
    try:
        verdict = simulation_for_seed(seed).play()
    except Exception as error:  # whatever it is, the other days go on, and it is told
        verdict = Verdict(seed, breaches=[f"the day failed: {error!r}"])
    gc.collect()
    return verdict


def many(seeds: range, jobs: int) -> Iterator[Verdict]:
    """As they end."""
    os.environ["PYTHONHASHSEED"] = "0"
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap_unordered(play, seeds, SLICE)


def share(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(len(values) * part))] if values else 0.0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4, help="processes at once")
    parser.add_argument("--minutes", type=float, default=1e9, help="begin no further day after so long")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--faults", action="store_true", help="what befell each day")
    given = parser.parse_args()
    began, seeds = time.monotonic(), range(given.first, given.first + given.days)
    played: list[Verdict] = []
    for verdict in many(seeds, given.jobs):
        played.append(verdict)
        if given.faults:
            print(f"{verdict.seed}:", *verdict.faults, sep="\n  ", flush=True)
        if verdict.breaches:
            print(
                f"BREACH in seed {verdict.seed}:", *verdict.breaches, sep="\n  ", file=sys.stderr, flush=True
            )
        if len(played) % 100 == 0:
            print(f"{len(played)} days in {time.monotonic() - began:.0f} s", file=sys.stderr, flush=True)
        if time.monotonic() - began > given.minutes * 60:
            break
    outages = sorted(took for verdict in played for _, took in verdict.outages)
    worst = {
        name: max((took for verdict in played for which, took in verdict.outages if which == name))
        for name in sorted({which for verdict in played for which, _ in verdict.outages})
    }
    told = {
        "days": len(played),
        "first": given.first,
        "broken": sorted(verdict.seed for verdict in played if verdict.breaches),
        **{
            name: sum(getattr(verdict, name) for verdict in played)
            for name in ("orders", "acknowledged", "sends", "reads", "refused", "lists")
        },
        "met_a_loss": len(outages),
        "p50_s": share(outages, 0.5),
        "p99_s": share(outages, 0.99),
        "most_s": outages[-1] if outages else 0.0,
        "most_by_fault_s": worst,
        "slowest_return_s": max((verdict.caught_up for verdict in played), default=0.0),
        "seconds": round(time.monotonic() - began, 1),
    }
    print(json.dumps(told) if given.json else "\n".join(f"{name}: {value}" for name, value in told.items()))
    return 1 if told["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
