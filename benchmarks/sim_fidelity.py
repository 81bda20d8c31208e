"""The same days on real sockets and in virtual time, in turns, and how far apart they are.

    python -m benchmarks.sim_fidelity --scenario calm --scenario drains --seeds 2 --seconds 12

For each day: the share of worth inside the quotas that was served, the worst 10 s, calls to the count
keeper, attempts at boxes, the doors' CPU; then how many seconds of a day one core plays in one.
"""

from __future__ import annotations

import logging
import statistics
import sys
import time
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.table import Table

from irisdeal.demo.deployment import Deployment
from irisdeal.demo.run import play as play_real
from irisdeal.simulation.search.front_door_day import play as play_virtual
from irisdeal.testbed import scenario_files as scenarios
from irisdeal.testbed.workload import draw

HERE = Deployment(Path(__file__).parent.parent, f"exec {sys.executable} -m irisdeal")
# Played in both worlds; the rest want several processes of terminals, or strangers by the thousand.
USUAL = ("calm", "drains", "hang", "keeper-down", "door-kill", "hall-cut")


@click.command()
@click.option("--scenario", "names", multiple=True, default=USUAL, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 20), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 60), default=None, help="In place of the scenario's.")
def main(names: tuple[str, ...], seeds: int, seconds: float | None) -> None:
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # the virtual doors' log
    grid = Table(
        "day",
        "served",
        "worst 10 s",
        "keeper calls",
        "attempts",
        "CPU µs",
        "p50 ms",
        "p99 ms",
        "kept",
        "s a s",
        title="sockets / virtual",
    )
    gaps: dict[str, list[float]] = {"served": [], "worst": [], "calls": [], "attempts": []}
    speeds = []
    for name in names:
        for seed in range(1, seeds + 1):
            day = draw(scenarios.load(name).resized(seconds=seconds), seed)
            real = uvloop.run(play_real(day, HERE))
            begun = time.process_time()
            virtual = play_virtual(day)
            took = time.process_time() - begun
            speeds.append(virtual.seconds / took)
            one, other = real.service, virtual.service
            cpu = sum(use.cpu or 0 for use in real.uses) / max(1, len(real.request_log.client_attempts))
            gaps["served"].append(other.total.share - one.total.share)
            gaps["worst"].append(other.worst - one.worst)
            gaps["calls"].append(virtual.counter_calls / max(1, real.counter_calls) - 1)
            gaps["attempts"].append(other.attempts / max(1, one.attempts) - 1)
            grid.add_row(
                f"{name} {seed}",
                f"{one.total.share:.3f} / {other.total.share:.3f}",
                f"{one.worst:.3f} / {other.worst:.3f}",
                f"{real.counter_calls} / {virtual.counter_calls}",
                f"{one.attempts} / {other.attempts}",
                f"{cpu:.0f} / {virtual.cpu / len(virtual.request_log.client_attempts):.0f}",
                f"{one.percentile(0.5):.0f} / {other.percentile(0.5):.0f}",
                f"{one.percentile(0.99):.0f} / {other.percentile(0.99):.0f}",
                f"{real.kept} / {virtual.passed}",
                f"{speeds[-1]:.1f}",
            )
    console = Console(width=150)
    console.print(grid)
    for what, found in gaps.items():
        console.print(
            f"{what}: mean of the differences {statistics.mean(found):+.3f}, "
            f"largest {max(found, key=abs):+.3f}",
            highlight=False,
        )
    console.print(
        f"one core plays {statistics.median(speeds):.1f} s of a day in one (median)", highlight=False
    )


if __name__ == "__main__":
    main()
