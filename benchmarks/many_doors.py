"""Twelve real front doors as processes while the counter service fails: each store's overshoot and its bound.

    python -m benchmarks.many_doors                      # all faults, one seed, a minute and a half
    python -m benchmarks.many_doors --seeds 20 --fault silent

Each customer uses all twelve front doors, so that one of them sees a customer only once in several seconds, and
only the counter service has the total. The bounds are those of `irisdeal/front_door/quota/quota_account.py`;
figures are taken from the backends' records. Columns: whether the rules held, the worst store's units over its
quota, the bound, requests of calm stores, the fraction of them refused with half of the quota or more left, and the
served fraction.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from irisdeal.demo.deployment import Deployment
from irisdeal.demo.run import Outcome, play
from irisdeal.front_door.quota.quota_account import LOCAL_SHARES, US_PER_S, QuotaAccount
from irisdeal.testbed.quota_overshoot import Refusals, refusals
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.workload import draw

ROOT = Path(__file__).parent.parent
FRONT_DOOR_COUNT = 12
LARGEST_REQUEST_UNITS = 3.0
DAY_SCENARIO = """
seconds = 7
doors = 12
[fleet]
boxes = 24
[[fleet.kind]]
cores = 2
speed = 1.0
[[class]]
name = "check"
share = 0.85
work_ms = 20
aim_ms = 900
deadline_ms = 1500
[[class]]
name = "claim"
share = 0.15
work_ms = 20
aim_ms = 900
deadline_ms = 1500
units = 3
repeat = "keyed"
[[plan]]
name = "plain"
share = 1
rate = 1.0
burst_s = 6
[load]
use = 0.03
heavy = 0.15
spiky = 0.1
spread = [1.0, 1.0]
retries = 2
backoff_ms = 140
[keeper]
calls_per_s = 400
queue_ms = 60
"""
LINK_FAULT = '[[at]]\nat_s = 2\nfor_s = 3\ndoor = 6\nto = "keeper"\n'
# Scenario text, how many more times a burst and a slot may be admitted, s without the counter service.
FAULTS = {
    "none": ("", 0, 0.0),
    "split": ('[[at]]\nat_s = 2\ndo = "keeper-split"\ndoor = 6\nfor_s = 3\n', 2, 0.0),
    "cut from half": (LINK_FAULT + 'do = "link-cut"\n', 1, 4.0),
    "mute to half": (LINK_FAULT + 'do = "link-silent"\nway = "back"\n', 1, 4.0),
    "flush": ('[[at]]\nat_s = 3\ndo = "keeper-flush"\nsize = 0.9\n', 1, 0.0),
    "slow": ('[[at]]\nat_s = 2\ndo = "keeper-slow"\nsize = 4\nfor_s = 3\n', 1, 4.0),
    "silent": ('[[at]]\nat_s = 2\ndo = "keeper-silent"\nfor_s = 3\n', 1, 4.0),
}


def play_day(fault: str, seed: int = 4711, root: Path = ROOT) -> Outcome:
    """Play a day with one of `FAULTS`; `root` is the checkout of the front doors."""
    deploy = Deployment(root, f"exec {sys.executable} -m irisdeal")
    return asyncio.run(play(draw(parse(DAY_SCENARIO + FAULTS[fault][0]), seed), deploy))


def overshoot_bound(fault: str) -> float:
    """Maximum units by which a store may exceed its quota."""
    _, extra_grants, isolated_s = FAULTS[fault]
    account = QuotaAccount(0, 1.0, 6.0, FRONT_DOOR_COUNT, 0)
    bound = (1 + extra_grants) * (account.burst + account.refill(account.slot_us))
    if isolated_s:
        bound += FRONT_DOOR_COUNT * LARGEST_REQUEST_UNITS + LOCAL_SHARES * (
            account.burst + account.refill(round(isolated_s * US_PER_S))
        )
    return bound


def calm_refusals(outcome: Outcome) -> Refusals:
    """Refusals of stores far within their quotas."""
    calm_customers = {store.customer for store in outcome.day.tenants if store.manner == "calm"}
    return refusals(outcome.request_log, outcome.day.scenario, calm_customers)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--fault", choices=list(FAULTS), action="append", help="play only this fault; may be repeated"
    )
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--root", type=Path, default=ROOT, help="checkout of the front doors")
    args = parser.parse_args()
    print(f"{'fault':<14} seed kept  worst  bound  asked  with room  served")
    for fault in args.fault or FAULTS:
        for seed in range(1, args.seeds + 1):
            outcome = play_day(fault, seed, args.root)
            calm, total = calm_refusals(outcome), outcome.service.total
            kept, worst = "yes" if outcome.kept else "NO", outcome.tenants[0].overshoot
            print(
                f"{fault:<14} {seed:4} {kept:<4} {worst:6.1f} {overshoot_bound(fault):6.1f} {calm.asked:6}"
                f" {calm.fraction:10.3f} {total.served / total.offered:7.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
