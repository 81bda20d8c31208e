"""Simulated days of the configuration store, one per seed, played in several processes and checked as a whole.

    python -m benchmarks.control --days 1000 --jobs 6
    python -m benchmarks.control --first 4711 --days 1 --faults      # replays one day and lists its faults

Reports the days that were completed, violations with their seeds, puts, how long the puts took that began within
2 s of a loss, and the slowest return. A seed always gives the same day, in any process: the hash seed is fixed
(`PYTHONHASHSEED`).
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

DAYS_PER_TASK = 5  # few, so that a violation is reported early


def play(seed: int) -> Verdict:
    """Play one day; an exception counts as a violation."""
    logging.disable(logging.WARNING)
    gc.disable()
    try:
        verdict = simulation_for_seed(seed).play()
    except Exception as error:  # reported as a violation, so that the other days continue
        verdict = Verdict(seed, breaches=[f"the day failed: {error!r}"])
    gc.collect()
    return verdict


def play_days(seeds: range, jobs: int) -> Iterator[Verdict]:
    """Play days in parallel and yield each result as it completes."""
    os.environ["PYTHONHASHSEED"] = "0"
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap_unordered(play, seeds, DAYS_PER_TASK)


def quantile(values: list[float], fraction: float) -> float:
    """The quantile of sorted values; 0 for none."""
    return values[min(len(values) - 1, int(len(values) * fraction))] if values else 0.0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4, help="number of parallel processes")
    parser.add_argument("--minutes", type=float, default=1e9, help="stop after this time")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--faults", action="store_true", help="list the faults of each day")
    args = parser.parse_args()
    started_at, seeds = time.monotonic(), range(args.first, args.first + args.days)
    played: list[Verdict] = []
    for verdict in play_days(seeds, args.jobs):
        played.append(verdict)
        if args.faults:
            print(f"{verdict.seed}:", *verdict.faults, sep="\n  ", flush=True)
        if verdict.breaches:
            print(
                f"BREACH in seed {verdict.seed}:", *verdict.breaches, sep="\n  ", file=sys.stderr, flush=True
            )
        if len(played) % 100 == 0:
            print(f"{len(played)} days in {time.monotonic() - started_at:.0f} s", file=sys.stderr, flush=True)
        if time.monotonic() - started_at > args.minutes * 60:
            break
    outages = sorted(took for verdict in played for _, took in verdict.outages)
    longest_by_fault = {
        name: max((took for verdict in played for which, took in verdict.outages if which == name))
        for name in sorted({which for verdict in played for which, _ in verdict.outages})
    }
    summary = {
        "days": len(played),
        "first": args.first,
        "broken": sorted(verdict.seed for verdict in played if verdict.breaches),
        **{
            name: sum(getattr(verdict, name) for verdict in played)
            for name in ("orders", "acknowledged", "sends", "reads", "refused", "lists")
        },
        "met_a_loss": len(outages),
        "p50_s": quantile(outages, 0.5),
        "p99_s": quantile(outages, 0.99),
        "most_s": outages[-1] if outages else 0.0,
        "most_by_fault_s": longest_by_fault,
        "slowest_return_s": max((verdict.caught_up for verdict in played), default=0.0),
        "seconds": round(time.monotonic() - started_at, 1),
    }
    print(
        json.dumps(summary) if args.json else "\n".join(f"{name}: {value}" for name, value in summary.items())
    )
    return 1 if summary["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
