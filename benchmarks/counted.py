"""`python -m benchmarks.counted`: a tenant's quota over 1 to 1,000 doors, ours beside other ways to hold it.

The same asks and faults for each way: a usual time at 0.62 and 0.9 of the rate, then a flood at nine times. Told
are what was refused of the asks in the usual time (there was room for all), the most that ran in any window of 5
s over what the rule allows, and what ran of the rate in the flood. `--plot FILE` draws the second over the number
of doors.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Iterable
from typing import Any

from irisdeal.squall.fleet import WAYS, Fleet

FAULTS = ("none", "doors killed", "doors cut off", "registries killed", "words lost")
USUAL, FLOOD, END = 4.0, 20.0, 30.0  # s: when each begins, and the end


def day(way: str, doors: int, gauges: int, rate: float, seed: int, fault: str) -> dict[str, float]:
    """One day's figures."""
    begun = time.process_time()
    fleet = Fleet(doors, gauges, rate, seed, way)
    fleet.load(USUAL, 12.0, 0.62)
    fleet.load(12.0, FLOOD, 0.9)
    fleet.play(FLOOD)
    refused = fleet.refused / max(1, fleet.asked)
    fleet.load(FLOOD, END, 9.0)
    match fault:
        case "doors killed":
            fleet.kill(FLOOD + 3, 0.6)
        case "doors cut off":
            fleet.cut_off(FLOOD + 0.5, END, 0.6)
        case "registries killed":
            fleet.kill_gauges(FLOOD + 2, gauges, FLOOD + 2.8)
        case "words lost":
            fleet.loss = 0.1
    fleet.play(END + 1)
    ran = sum(FLOOD + 1 <= at < END for at in fleet.ran)
    return {"refused": refused, "over": fleet.most(5.0) / fleet.allowed(5.0),
            "ran": ran / (rate * (END - FLOOD - 1)), "seconds": time.process_time() - begun}


def row(way: str, doors: int, rate: float, fault: str, seeds: Iterable[int]) -> dict[str, Any]:
    """The figures of several days: the mean refused and ran, the worst over."""
    days = [day(way, doors, 4, rate, seed, fault) for seed in seeds]
    return {"way": way, "doors": doors, "rate": rate, "fault": fault, "days": len(days),
            "refused": sum(d["refused"] for d in days) / len(days), "over": max(d["over"] for d in days),
            "ran": sum(d["ran"] for d in days) / len(days), "seconds": sum(d["seconds"] for d in days) / len(days)}


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """The worst window over what is allowed, by doors, a line for each way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for way in WAYS:
        points: dict[int, float] = {}
        for one in rows:
            if one["way"] == way:
                points[one["doors"]] = max(points.get(one["doors"], 0.0), one["over"])
        axes.plot(list(points), list(points.values()), marker="o", label=way)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set(xscale="log", xlabel="doors", ylabel="worst window of 5 s over what the rule allows")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.counted", description=__doc__)
    parser.add_argument("--doors", type=int, nargs="+", default=[1, 8, 85, 1000])
    parser.add_argument("--rates", type=float, nargs="+", default=[5.0, 30.0, 150.0], help="requests a second")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=list(FAULTS))
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plot", metavar="FILE")
    args = parser.parse_args()
    rows = []
    if not args.json:
        print("| way | doors | rate | fault | refused with room | worst window / allowed | ran of the rate "
              "| CPU s |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for fault in args.faults:
        for doors in args.doors:
            for rate in args.rates:
                for way in WAYS if fault == "none" else WAYS[:1]:
                    one = row(way, doors, rate, fault, range(args.seeds))
                    rows.append(one)
                    if not args.json:
                        print(f"| {way} | {doors} | {rate:g} | {fault} | {one['refused']:.3f} | {one['over']:.2f} "
                              f"| {one['ran']:.2f} | {one['seconds']:.1f} |", flush=True)
    if args.json:
        print(json.dumps(rows))
    if args.plot:
        plot(rows, args.plot)


if __name__ == "__main__":
    main()
