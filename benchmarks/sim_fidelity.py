"""Compares the same days on real sockets and in virtual time, played alternately.

    python -m benchmarks.sim_fidelity --scenario calm --scenario drains --seeds 2 --seconds 12

For each day: the served fraction of the value within the quotas, the worst 10 s, calls to the counter service,
attempts at backends and the front doors' CPU time; then how many seconds of a day one core simulates per second.
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

THIS_DEPLOYMENT = Deployment(Path(__file__).parent.parent, f"exec {sys.executable} -m irisdeal")
# Scenarios that both ways can play; the others need several client processes or thousands of unknown clients.
DEFAULT_SCENARIOS = ("calm", "drains", "hang", "keeper-down", "door-kill", "hall-cut")


@click.command()
@click.option("--scenario", "names", multiple=True, default=DEFAULT_SCENARIOS, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 20), default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(3, 60), default=None, help="Duration in place of the scenario's."
)
def main(names: tuple[str, ...], seeds: int, seconds: float | None) -> None:
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # the simulated front doors log in this process
    table = Table(
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
    differences: dict[str, list[float]] = {"served": [], "worst": [], "calls": [], "attempts": []}
    speeds = []
    for name in names:
        for seed in range(1, seeds + 1):
            day = draw(scenarios.load(name).resized(seconds=seconds), seed)
            real = uvloop.run(play_real(day, THIS_DEPLOYMENT))
            started_at = time.process_time()
            virtual = play_virtual(day)
            cpu_s = time.process_time() - started_at
            speeds.append(virtual.seconds / cpu_s)
            real_service, virtual_service = real.service, virtual.service
            cpu = sum(use.cpu or 0 for use in real.uses) / max(1, len(real.request_log.client_attempts))
            differences["served"].append(virtual_service.total.share - real_service.total.share)
            differences["worst"].append(virtual_service.worst - real_service.worst)
            differences["calls"].append(virtual.counter_calls / max(1, real.counter_calls) - 1)
            differences["attempts"].append(virtual_service.attempts / max(1, real_service.attempts) - 1)
            table.add_row(
                f"{name} {seed}",
                f"{real_service.total.share:.3f} / {virtual_service.total.share:.3f}",
                f"{real_service.worst:.3f} / {virtual_service.worst:.3f}",
                f"{real.counter_calls} / {virtual.counter_calls}",
                f"{real_service.attempts} / {virtual_service.attempts}",
                f"{cpu:.0f} / {virtual.cpu / len(virtual.request_log.client_attempts):.0f}",
                f"{real_service.percentile(0.5):.0f} / {virtual_service.percentile(0.5):.0f}",
                f"{real_service.percentile(0.99):.0f} / {virtual_service.percentile(0.99):.0f}",
                f"{real.kept} / {virtual.passed}",
                f"{speeds[-1]:.1f}",
            )
    console = Console(width=150)
    console.print(table)
    for figure, values in differences.items():
        console.print(
            f"{figure}: mean of the differences {statistics.mean(values):+.3f}, "
            f"largest {max(values, key=abs):+.3f}",
            highlight=False,
        )
    console.print(
        f"one core plays {statistics.median(speeds):.1f} s of a day in one (median)", highlight=False
    )


if __name__ == "__main__":
    main()
