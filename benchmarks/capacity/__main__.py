"""`python -m benchmarks.capacity run|page|plot|places`: measure, print the page's tables, draw, weigh ways.

`run` plays the sizes of `RUNS` one after the other and keeps them in `measured.json` (`--only` for some of them,
`--json` prints them). `page` prints the tables of docs/CAPACITY.md from what is kept; with `--write` they are put
there.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path

from benchmarks.capacity import page, places, plots
from benchmarks.capacity.play import play
from benchmarks.capacity.runs import FIRST, MEASURED, RUNS, load, rates, restarts

WITHIN = 570.0  # s for all runs together: `make capacity` is bounded by ten minutes
USUAL = 60.0  # s of a run that was never played


def run(only: list[str], window: float, file: Path, within: float) -> None:
    """Play the runs and keep each as soon as it is over; the others in the file stay.

    One that would not be over `within` s of the start, by what it took last time, is not played, and told.
    """
    kept, begun = load(file), time.monotonic()
    for name, size in (FIRST | RUNS).items():
        if only and name not in only:
            continue
        if time.monotonic() - begun + kept.get(name, {}).get("lasted_s", USUAL) > within:
            print(f"{name}: not played, the time is over", file=sys.stderr, flush=True)
            continue
        print(
            f"{name}: {size.doors} doors, {size.backends} backends, {size.registries} registries",
            file=sys.stderr,
            flush=True,
        )
        kept[name] = play(size, window, restarts(name), rates(size))
        print(f"{name}: {kept[name]['lasted_s']} s", file=sys.stderr, flush=True)
        file.write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n", "utf-8")


def main() -> None:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity", description=(__doc__ or "").splitlines()[0]
    )
    verbs = parser.add_subparsers(dest="verb", required=True)
    running = verbs.add_parser("run", help="play the runs; under 10 minutes in all")
    running.add_argument("--only", nargs="*", default=[], choices=list(FIRST | RUNS))
    running.add_argument("--window", type=float, default=4.0, help="s that each phase is watched")
    running.add_argument("--file", type=Path, default=MEASURED)
    running.add_argument("--within", type=float, default=WITHIN, help="s for all of them")
    running.add_argument("--json", action="store_true", help="print what was measured")
    paging = verbs.add_parser("page", help="the tables of docs/CAPACITY.md")
    paging.add_argument("--write", action="store_true", help="put them into the page")
    drawing = verbs.add_parser("plot", help="figures as SVG (extra `plots`)")
    drawing.add_argument("folder", type=Path)
    weighing = verbs.add_parser("places", help="ways to place requests, side by side")
    weighing.add_argument("--seeds", type=int, default=3)
    weighing.add_argument("--json", action="store_true")
    given = parser.parse_args()
    match given.verb:
        case "run":
            run(given.only, given.window, given.file, given.within)
            if given.json:
                print(json.dumps(load(given.file), indent=1, sort_keys=True))
        case "page":
            page.write() if given.write else print(page.tables())
        case "plot":
            plots.draw(given.folder)
        case "places":
            rows = places.weigh(range(1, given.seeds + 1))
            print(json.dumps(rows, indent=1) if given.json else places.table(rows))


if __name__ == "__main__":
    main()
