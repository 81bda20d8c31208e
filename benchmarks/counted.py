"""`python -m benchmarks.counted`: one tenant's quota over 1 to 1,500 proxies, with permits and with other methods.

Each method gets the same requests and faults: normal load at 0.62 and 0.9 of the rate, then a flood at nine times
the rate. Reports the fraction rejected under normal load (although all were within the quota), the most admitted in
any window of 5 s over what the rule allows, and the admitted fraction of the rate in the flood.
`--search FIRST LAST` plays random days of a range of seeds and reports the worst. `--plot FILE` draws the worst
window over the number of proxies.
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
from irisdeal.simulation.quota import limit_changes
from irisdeal.simulation.quota.faults import play
from irisdeal.simulation.quota.world import QuotaWorld

FAULTS = ("none", "proxies killed", "proxies cut off", "registry killed", "registries killed", "words lost")
METHODS = ("permits", "no loans", "one home")
NORMAL_LOAD_S = 4.0  # start of the normal load
FLOOD_S = 20.0  # start of the flood
END_S = 30.0
REGISTRY_COUNT = 4


@dataclass(frozen=True)
class Figures:
    """Figures of one day.

    `refused`: fraction of the requests under normal load; `worst`: most admitted in a window, over what the rule
    allows; `ran`: admitted in the flood, over the rate; `gap_s`: longest time in the flood without an admission;
    `seconds`: CPU time.
    """

    refused: float
    worst: float
    ran: float
    gap_s: float
    seconds: float


@dataclass(frozen=True)
class Row:
    """Figures of several days of one kind: means, but the maximum of `worst` and `gap_s`."""

    way: str
    proxies: int
    rate: float
    fault: str
    figures: Figures


def make_world(method: str, proxies: int, rate: float, seed: int) -> QuotaWorld:
    """A simulated deployment that enforces the quota by this method."""
    world = QuotaWorld(proxies, REGISTRY_COUNT, rate, seed)
    if method == "no loans":
        world.lend_lost = 1.0
    elif method == "one home":  # one registry issues all of the tenant's permits
        world.list = IssuerList(0, frozenset({"g1"}))
        world.disks["g1"] = world.list
        world.registries["g1"] = world.new_registry("g1")
    return world


def inject_fault(world: QuotaWorld, fault: str) -> None:
    """Schedule the fault for the flood."""
    match fault:
        case "proxies killed":
            for number in range(len(world.proxies)):
                if world.chance.random() < 0.6:
                    world.at(FLOOD_S + 3, world.restart_proxy, number)
        case "proxies cut off":
            for proxy in world.proxies:
                if world.chance.random() < 0.6:
                    for ip in world.registries:
                        world.at(FLOOD_S + 0.5, world.partitioned.add, (proxy.name, ip))
        case "registry killed":
            world.at(FLOOD_S + 2, world.kill_registry, "g1")
        case "registries killed":
            for ip in list(world.registries):
                world.at(FLOOD_S + 2, world.kill_registry, ip)
                world.at(FLOOD_S + 2.8, world.start_registry, ip)
        case "words lost":
            world.loss = 0.1


def play_day(method: str, proxies: int, rate: float, seed: int, fault: str) -> Figures:
    """Play one day and return its figures."""
    started_at = time.process_time()
    world = make_world(method, proxies, rate, seed)
    world.load(NORMAL_LOAD_S, 12.0, 0.62)
    world.load(12.0, FLOOD_S, 0.9)
    world.play(FLOOD_S)
    refused = world.refused / max(1, world.asked)
    world.load(FLOOD_S, END_S, 9.0)
    inject_fault(world, fault)
    world.play(END_S + 1)
    ran = sorted(at for at in world.judge.ran if FLOOD_S + 1 <= at < END_S)
    moments = [FLOOD_S + 1, *ran, END_S]
    gap = max(later - earlier for earlier, later in itertools.pairwise(moments))
    served = len(ran) / (rate * (END_S - FLOOD_S - 1))
    return Figures(refused, world.judge.worst(), served, gap, time.process_time() - started_at)


def play_row(method: str, proxies: int, rate: float, fault: str, seeds: Iterable[int]) -> Row:
    """Play several days and return their combined figures."""
    days = [play_day(method, proxies, rate, seed, fault) for seed in seeds]
    count = len(days)
    return Row(
        method,
        proxies,
        rate,
        fault,
        Figures(
            refused=sum(result.refused for result in days) / count,
            worst=max(result.worst for result in days),
            ran=sum(result.ran for result in days) / count,
            gap_s=max(result.gap_s for result in days),
            seconds=sum(result.seconds for result in days) / count,
        ),
    )


def plot(rows: list[Row], path: str) -> None:
    """Draw the worst window over what is allowed against the number of proxies, one line for each method."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for method in METHODS:
        points: dict[int, float] = {}
        for result in rows:
            if result.way == method:
                points[result.proxies] = max(points.get(result.proxies, 0.0), result.figures.worst)
        axes.plot(list(points), list(points.values()), marker="o", label=method)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set(xscale="log", xlabel="proxies", ylabel="worst window of 5 s over what the rule allows")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def search(first: int, last: int, jobs: int, has_limit_changes: bool) -> None:
    """Play random days and print the worst ones and how many violated the rule."""
    play_day = limit_changes.play if has_limit_changes else play
    with ProcessPoolExecutor(jobs) as pool:
        played = list(pool.map(play_day, range(first, last), chunksize=8))
    played.sort(key=lambda result: -result[0])
    for worst, result in played[:5]:
        print(
            f"{worst:.3f} seed {result.seed}: {result.proxies} proxies, {result.registries} registries, "
            f"rate {result.rate:.1f}, burst {result.burst:.1f}; {'; '.join(result.events)}"
        )
    print(f"{len(played)} days, {sum(worst > 1.0 for worst, _ in played)} over the rule")


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="benchmarks.counted", description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[1, 8, 85, 188, 1500])
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[5.0, 30.0, 150.0], help="requests a second"
    )
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=list(FAULTS))
    parser.add_argument(
        "--search", type=int, nargs=2, metavar=("FIRST", "LAST"), help="play random days of these seeds"
    )
    parser.add_argument(
        "--limits", action="store_true", help="search days on which tenants, limits and keys change"
    )
    parser.add_argument("--jobs", type=int, default=4, help="parallel processes of the search")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plot", metavar="FILE")
    args = parser.parse_args()
    if args.search:
        return search(args.search[0], args.search[1], args.jobs, args.limits)
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
                for method in METHODS if fault in ("none", "registry killed") else METHODS[:1]:
                    result = play_row(method, proxies, rate, fault, range(args.seeds))
                    rows.append(result)
                    if not args.json:
                        figures = result.figures
                        print(
                            f"| {method} | {proxies} | {rate:g} | {fault} | {figures.refused:.3f} "
                            f"| {figures.worst:.2f} | {figures.ran:.2f} | {figures.gap_s:.2f} "
                            f"| {figures.seconds:.1f} |",
                            flush=True,
                        )
    if args.json:
        print(json.dumps([asdict(result) for result in rows]))
    if args.plot:
        plot(rows, args.plot)


if __name__ == "__main__":
    main()
