"""`python -m benchmarks.counted`: a tenant's quota over 1 to 1,500 proxies, ours beside other ways to hold it.

The same asks and faults for each way: a usual time at 0.62 and 0.9 of the rate, then a flood at nine times.
Told are what was refused of the asks in the usual time (there was room for all), the most that ran in any
window of 5 s over what the rule allows, and what ran of the rate in the flood. `--search FIRST LAST` plays the
random days of so many seeds and tells the worst. `--plot FILE` draws the worst window over the number of
proxies.
"""

from __future__ import annotations

import argparse
import itertools
import json
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from irisdeal.permits.authority import IssuerList
from irisdeal.simulation.quota.faults import play
from irisdeal.simulation.quota.world import QuotaWorld

FAULTS = ("none", "proxies killed", "proxies cut off", "registry killed", "registries killed", "words lost")
WAYS = ("permits", "no loans", "one home")
USUAL, FLOOD, END = 4.0, 20.0, 30.0  # s: when each begins, and the end
REGISTRIES = 4


@dataclass(frozen=True)
class Figures:
    """One day's figures. `refused`: of the asks in the usual time; `worst`: window; `ran`: of the rate, in the
    flood; `gap_s`: the longest time in the flood in which nothing ran; `seconds`: of the processor."""

    refused: float
    worst: float
    ran: float
    gap_s: float
    seconds: float


@dataclass(frozen=True)
class Row:
    """Several days of one kind: means, and the worst of `worst` and `gap_s`."""

    way: str
    proxies: int
    rate: float
    fault: str
    figures: Figures


def make(way: str, proxies: int, rate: float, seed: int) -> QuotaWorld:
    """A world that holds the quota in this way."""
    world = QuotaWorld(proxies, REGISTRIES, rate, seed)
    if way == "no loans":
        world.lend_lost = 1.0
    elif way == "one home":  # one registry issues all of the tenant's permits
        world.list = IssuerList(0, frozenset({"g1"}))
        world.disks["g1"] = world.list
        world.registries["g1"] = world.new_registry("g1")
    return world


def harm(world: QuotaWorld, fault: str) -> None:
    """Let the fault come in the flood."""
    match fault:
        case "proxies killed":
            for number in range(len(world.proxies)):
                if world.chance.random() < 0.6:
                    world.at(FLOOD + 3, world.restart_proxy, number)
        case "proxies cut off":
            for proxy in world.proxies:
                if world.chance.random() < 0.6:
                    for ip in world.registries:
                        world.at(FLOOD + 0.5, world.partitioned.add, (proxy.name, ip))
        case "registry killed":
            world.at(FLOOD + 2, world.kill_registry, "g1")
        case "registries killed":
            for ip in list(world.registries):
                world.at(FLOOD + 2, world.kill_registry, ip)
                world.at(FLOOD + 2.8, world.start_registry, ip)
        case "words lost":
            world.loss = 0.1


def day(way: str, proxies: int, rate: float, seed: int, fault: str) -> Figures:
    """One day's figures."""
    begun = time.process_time()
    world = make(way, proxies, rate, seed)
    world.load(USUAL, 12.0, 0.62)
    world.load(12.0, FLOOD, 0.9)
    world.play(FLOOD)
    refused = world.refused / max(1, world.asked)
    world.load(FLOOD, END, 9.0)
    harm(world, fault)
    world.play(END + 1)
    ran = sorted(at for at in world.judge.ran if FLOOD + 1 <= at < END)
    moments = [FLOOD + 1, *ran, END]
    gap = max(later - earlier for earlier, later in itertools.pairwise(moments))
    served = len(ran) / (rate * (END - FLOOD - 1))
    return Figures(refused, world.judge.worst(), served, gap, time.process_time() - begun)


def row(way: str, proxies: int, rate: float, fault: str, seeds: Iterable[int]) -> Row:
    """The figures of several days."""
    days = [day(way, proxies, rate, seed, fault) for seed in seeds]
    count = len(days)
    return Row(
        way,
        proxies,
        rate,
        fault,
        Figures(
            refused=sum(one.refused for one in days) / count,
            worst=max(one.worst for one in days),
            ran=sum(one.ran for one in days) / count,
            gap_s=max(one.gap_s for one in days),
            seconds=sum(one.seconds for one in days) / count,
        ),
    )


def plot(rows: list[Row], path: str) -> None:
    """The worst window over what is allowed, by proxies, a line for each way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for way in WAYS:
        points: dict[int, float] = {}
        for one in rows:
            if one.way == way:
                points[one.proxies] = max(points.get(one.proxies, 0.0), one.figures.worst)
        axes.plot(list(points), list(points.values()), marker="o", label=way)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set(xscale="log", xlabel="proxies", ylabel="worst window of 5 s over what the rule allows")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def search(first: int, last: int, jobs: int) -> None:
    """Random days; the worst ones, and how many broke the rule."""
    with ProcessPoolExecutor(jobs) as pool:
        played = list(pool.map(play, range(first, last), chunksize=8))
    played.sort(key=lambda one: -one[0])
    for worst, one in played[:5]:
        print(
            f"{worst:.3f} seed {one.seed}: {one.proxies} proxies, {one.registries} registries, "
            f"rate {one.rate:.1f}, burst {one.burst:.1f}; {'; '.join(one.events)}"
        )
    print(f"{len(played)} days, {sum(worst > 1.0 for worst, _ in played)} over the rule")


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(prog="benchmarks.counted", description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[1, 8, 85, 188, 1500])
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[5.0, 30.0, 150.0], help="requests a second"
    )
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=list(FAULTS))
    parser.add_argument(
        "--search", type=int, nargs=2, metavar=("FIRST", "LAST"), help="random days of these seeds"
    )
    parser.add_argument("--jobs", type=int, default=4, help="processes of the search")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plot", metavar="FILE")
    args = parser.parse_args()
    if args.search:
        return search(args.search[0], args.search[1], args.jobs)
    rows = []
    if not args.json:
        print(
            "| way | proxies | rate | fault | refused with room | worst window / allowed | ran of the rate "
            "| longest gap, s | CPU s |"
        )
        print("| --- " * 9 + "|")
    for fault in args.faults:
        for proxies in args.proxies:
            for rate in args.rates:
                for way in WAYS if fault in ("none", "registry killed") else WAYS[:1]:
                    one = row(way, proxies, rate, fault, range(args.seeds))
                    rows.append(one)
                    if not args.json:
                        told = one.figures
                        print(
                            f"| {way} | {proxies} | {rate:g} | {fault} | {told.refused:.3f} | {told.worst:.2f} "
                            f"| {told.ran:.2f} | {told.gap_s:.2f} | {told.seconds:.1f} |",
                            flush=True,
                        )
    if args.json:
        print(json.dumps([asdict(one) for one in rows]))
    if args.plot:
        plot(rows, args.plot)


if __name__ == "__main__":
    main()
