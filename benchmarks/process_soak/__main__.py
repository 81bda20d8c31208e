"""Starts, stops and signals of real processes, in random series that overlap, beside traffic.

Prints for each seed what was done, the slowest start and end, the most memory, and each broken rule
(`benchmarks.process_soak.lives`). Exits with 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.loopback_deployment import RECOVERY_S, Deployment
from benchmarks.process_soak.lives import Lives
from benchmarks.process_soak.traffic import Traffic
from benchmarks.process_soak.troubles import LONG_BODIES_MIB, OTHER_BODIES, Troubles

CALM_S = 4.0  # at the end, so that registries give further attempts when the last long bodies come
LONG_BODY_PROXIES = 2


@dataclass(frozen=True)
class Plan:
    """One run: its size, its length in s, and how many troubles are under way at a time."""

    cores: int = 3
    proxies: int = 3
    seconds: float = 25.0
    parallel: int = 3
    network: int = 44  # second octet of the loopback addresses


async def play(seed: int, plan: Plan, folder: Path) -> Lives:
    """Play one seed; return what the judge found."""
    rng = random.Random(seed)
    deployment = Deployment(folder, plan.network, plan.proxies, plan.cores, log_to_pipe=True)
    lives, traffic = Lives(deployment), Traffic(deployment, rng)
    watchers = [asyncio.create_task(work) for work in (lives.watch_ends(), lives.watch_memory())]
    try:
        for role, ip in deployment.processes():
            lives.start(role, ip, is_first=role != "proxy")
        if not await traffic.put():
            raise TimeoutError("the first configuration is not acknowledged")
        await traffic.start()
        watchers.append(asyncio.create_task(lives.watch_readiness()))
        await lives.wait_until(lives.all_ready, RECOVERY_S)
        troubles, until = Troubles(lives, traffic, rng), time.monotonic() + plan.seconds
        await asyncio.gather(troubles.change(until), *(troubles.play(until) for _ in range(plan.parallel)))
        for life in list(lives.current.values()):
            if life.is_ended:
                lives.start(life.role, life.ip)
        await lives.wait_until(lives.all_ready, 2 * RECOVERY_S)
        await asyncio.sleep(CALM_S)
        for ip in deployment.proxies[:LONG_BODY_PROXIES]:
            await traffic.send_long_bodies(ip, max(LONG_BODIES_MIB), *OTHER_BODIES)
        await asyncio.gather(*(lives.stop(life) for life in lives.current.values() if not life.is_ended))
    finally:
        for watcher in watchers:
            watcher.cancel()
        results = await asyncio.gather(*watchers, return_exceptions=True)
        await traffic.stop()
        deployment.stop()
    for result in results:
        if isinstance(result, Exception):
            raise result
    lives.counts += traffic.counts
    return lives


def report(seed: int, lives: Lives) -> None:
    """Print the result of one seed."""
    counts = ", ".join(f"{name} {count}" for name, count in sorted(lives.counts.items()))
    print(
        f"seed {seed}: {len(lives.violations)} broken; slowest start {lives.slowest_ready_s:.2f} s, "
        f"slowest end {lives.slowest_end_s:.2f} s, most memory {lives.peak_mb:.0f} MB; {counts}",
        flush=True,
    )
    for violation in lives.violations:
        print(f"  {violation}", flush=True)


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="benchmarks.process_soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(0, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--seconds", type=float, default=Plan.seconds, help="length of each run")
    parser.add_argument("--cores", type=int, default=Plan.cores)
    parser.add_argument("--proxies", type=int, default=Plan.proxies)
    parser.add_argument("--parallel", type=int, default=Plan.parallel, help="troubles at a time")
    parser.add_argument("--network", type=int, default=Plan.network, help="second octet of the addresses")
    args = parser.parse_args()
    plan = Plan(args.cores, args.proxies, args.seconds, args.parallel, args.network)
    broken = 0
    for seed in range(*args.seeds):
        with tempfile.TemporaryDirectory(prefix="process-soak-") as folder:
            lives = asyncio.run(play(seed, plan, Path(folder)))
        report(seed, lives)
        broken += len(lives.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
