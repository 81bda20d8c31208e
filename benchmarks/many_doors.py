"""A dozen real doors as processes while the count keeper fails: each store's overshoot beside its bound.

    python -m benchmarks.many_doors                      # all faults, one seed, a minute and a half
    python -m benchmarks.many_doors --seeds 20 --fault silent

Each customer comes through all twelve doors, so that a door sees one of them once in seconds; what it may
have is known to the keeper alone. Bounds: those of `irisdeal/front_door/quota/quota_account.py`; figures
are by the boxes' books. Columns: rules kept, the worst store's units over its quota, the bound, what quiet stores
asked, the share of it that was refused with half of the store or more left, and what was served.
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
DOORS, LARGEST = 12, 3.0  # doors; units of the largest request
DAY = """
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
LINK = '[[at]]\nat_s = 2\nfor_s = 3\ndoor = 6\nto = "keeper"\n'
# Its lines, how often it may let another burst and slot through, seconds for which doors are alone.
FAULTS = {
    "none": ("", 0, 0.0),
    "split": ('[[at]]\nat_s = 2\ndo = "keeper-split"\ndoor = 6\nfor_s = 3\n', 2, 0.0),
    "cut from half": (LINK + 'do = "link-cut"\n', 1, 4.0),
    "mute to half": (LINK + 'do = "link-silent"\nway = "back"\n', 1, 4.0),
    "flush": ('[[at]]\nat_s = 3\ndo = "keeper-flush"\nsize = 0.9\n', 1, 0.0),
    "slow": ('[[at]]\nat_s = 2\ndo = "keeper-slow"\nsize = 4\nfor_s = 3\n', 1, 4.0),
    "silent": ('[[at]]\nat_s = 2\ndo = "keeper-silent"\nfor_s = 3\n', 1, 4.0),
}


def play_day(fault: str, seed: int = 4711, root: Path = ROOT) -> Outcome:
    """A day with one of `FAULTS`; `root` is the checkout whose doors play it."""
    deploy = Deployment(root, f"exec {sys.executable} -m irisdeal")
    return asyncio.run(play(draw(parse(DAY + FAULTS[fault][0]), seed), deploy))


def overshoot_bound(fault: str) -> float:
    """Units by which a store may pass its quota at most."""
    _, again, alone = FAULTS[fault]
    account = QuotaAccount(0, 1.0, 6.0, DOORS, 0)
    most = (1 + again) * (account.burst + account.refill(account.slot_us))
    if alone:
        most += DOORS * LARGEST + LOCAL_SHARES * (account.burst + account.refill(round(alone * US_PER_S)))
    return most


def calm_refusals(outcome: Outcome) -> Refusals:
    """What came of the tries of stores far within their quotas."""
    calm = {store.customer for store in outcome.day.tenants if store.manner == "calm"}
    return refusals(outcome.request_log, outcome.day.scenario, calm)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--fault", choices=list(FAULTS), action="append", help="one of them; may be repeated")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose doors play it")
    given = parser.parse_args()
    print(f"{'fault':<14} seed kept  worst  bound  asked  with room  served")
    for fault in given.fault or FAULTS:
        for seed in range(1, given.seeds + 1):
            outcome = play_day(fault, seed, given.root)
            calm, whole = calm_refusals(outcome), outcome.service.total
            kept, worst = "yes" if outcome.kept else "NO", outcome.tenants[0].overshoot
            print(
                f"{fault:<14} {seed:4} {kept:<4} {worst:6.1f} {overshoot_bound(fault):6.1f} {calm.asked:6}"
                f" {calm.fraction:10.3f} {whole.served / whole.offered:7.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
