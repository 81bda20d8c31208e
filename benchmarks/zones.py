"""How a fleet of doors leaves a lost zone and returns, in virtual time: the beliefs alone, no process.

    python -m benchmarks.zones                         # a zone cut for 8 s, 12 to 1,000 doors
    python -m benchmarks.zones --fault calm --doors 30

Each door sends `--rate` attempts a second evenly over three zones. An attempt is answered after a
lognormal time, or fails after a patience of two mean times. The keeper answers within `COUNTER_DELAY_RANGE_S`,
or loses a call.

Columns: s from the loss until half, 95 in 100 and all of the doors have left; attempts spent on the lost
zone, and trials; calls to the keeper a second while it is lost, and the most in any second; s from the return
until 95 in 100 send there again; doors that left a zone that was well; times that a door had no zone.
"""

from __future__ import annotations

import argparse

from irisdeal.front_door.zones.fleet import BAD_BACKENDS_PER_ZONE, FAULTS, FleetSimulation, summarize


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--fault", choices=list(FAULTS), default="cut")
    parser.add_argument("--doors", type=int, action="append")
    parser.add_argument("--backends", type=int, default=0, help="of all three zones (default: 0.6 a door)")
    parser.add_argument("--rate", type=float, default=6.0, help="attempts a second of each door")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--lose", type=float, default=0.0, help="share of the keeper's answers that get lost")
    parser.add_argument("--alone", action="store_true", help="no keeper")
    given = parser.parse_args()
    print("doors seed   half    95%    all  spent trials calls/s most   back  wrong  none")
    for doors in given.doors or (12, 30, 200, 1000):
        backends = given.backends or max(9, 3 * round(doors * 0.2))
        for seed in range(1, given.seeds + 1):
            bad = BAD_BACKENDS_PER_ZONE if given.fault == "calm" else 0
            f = summarize(
                FleetSimulation(
                    doors, backends, given.rate, seed, FAULTS[given.fault], bad, given.lose, not given.alone
                ).run()
            )
            print(
                f"{doors:5} {seed:4} {f.half:6.2f} {f.most:6.2f} {f.last:6.2f} {f.spent:6} {f.trials:6}"
                f" {f.calls:7.1f} {f.busiest:4} {f.back:6.2f} {f.wrong:6} {f.without:5}",
                flush=True,
            )


if __name__ == "__main__":
    main()
