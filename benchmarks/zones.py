"""How a fleet of front doors leaves a lost zone and returns: the zone logic alone, in virtual time.

    python -m benchmarks.zones                         # a zone cut for 8 s, 12 to 1,000 doors
    python -m benchmarks.zones --fault calm --doors 30

Each front door sends `--rate` attempts per second evenly over three zones. An attempt is answered after a lognormal
time, or fails after a timeout of two mean times. The counter service answers
within `COUNTER_DELAY_RANGE_S`, or loses a call.

Columns: s from the loss until half, 95 % and all of the front doors have left; attempts sent to the lost zone, and
probes; calls to the counter service per second during the loss, and the maximum in any second; s from the return
until 95 % send there again; front doors that left a healthy zone; times that a front door had no zone.
"""

from __future__ import annotations

import argparse

from irisdeal.front_door.zones.fleet import BAD_BACKENDS_PER_ZONE, FAULTS, FleetSimulation, summarize


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--fault", choices=list(FAULTS), default="cut")
    parser.add_argument("--doors", type=int, action="append")
    parser.add_argument(
        "--backends", type=int, default=0, help="in all three zones (default: 0.6 per front door)"
    )
    parser.add_argument("--rate", type=float, default=6.0, help="attempts per second of each front door")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument(
        "--lose", type=float, default=0.0, help="lost fraction of the counter service's answers"
    )
    parser.add_argument("--alone", action="store_true", help="run without a counter service")
    args = parser.parse_args()
    print("doors seed   half    95%    all  spent trials calls/s most   back  wrong  none")
    for doors in args.doors or (12, 30, 200, 1000):
        backends = args.backends or max(9, 3 * round(doors * 0.2))
        for seed in range(1, args.seeds + 1):
            bad = BAD_BACKENDS_PER_ZONE if args.fault == "calm" else 0
            f = summarize(
                FleetSimulation(
                    doors, backends, args.rate, seed, FAULTS[args.fault], bad, args.lose, not args.alone
                ).run()
            )
            print(
                f"{doors:5} {seed:4} {f.half:6.2f} {f.most:6.2f} {f.last:6.2f} {f.spent:6} {f.trials:6}"
                f" {f.calls:7.1f} {f.busiest:4} {f.back:6.2f} {f.wrong:6} {f.without:5}",
                flush=True,
            )


if __name__ == "__main__":
    main()
