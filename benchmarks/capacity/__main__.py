"""`python -m benchmarks.capacity run|page|plot|places`: measure, print the page's tables, plot, compare placement.

`run` measures the sizes of `RUNS` one after the other and stores the results in `measured.json` (`--only` selects
some of them, `--json` prints them). `page` prints the tables of docs/CAPACITY.md from the stored results; with
`--write` it updates that file.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path

from benchmarks.capacity import page, places, plots
from benchmarks.capacity.play import play_run
from benchmarks.capacity.runs import MEASURED, RUNS, SETTLING_RUNS, load, placement_rates, restarts_per_s

MAX_TOTAL_S = 570.0  # for all runs: `make capacity` must end within ten minutes
DEFAULT_RUN_S = 60.0  # assumed for a run without a stored result


def run(only: list[str], window: float, file: Path, within: float) -> None:
    """Play the runs and store each result at once; results of other runs in the file are kept.

    A run is skipped, with a message, if by its last duration it would end later than `within` s after the start.
    """
    results, started_at = load(file), time.monotonic()
    for name, size in (SETTLING_RUNS | RUNS).items():
        if only and name not in only:
            continue
        if time.monotonic() - started_at + results.get(name, {}).get("lasted_s", DEFAULT_RUN_S) > within:
            print(f"{name}: skipped, the time limit would be exceeded", file=sys.stderr, flush=True)
            continue
        print(
            f"{name}: {size.doors} proxies, {size.backends} backends, {size.registries} registries",
            file=sys.stderr,
            flush=True,
        )
        results[name] = play_run(size, window, restarts_per_s(name), placement_rates(size))
        print(f"{name}: {results[name]['lasted_s']} s", file=sys.stderr, flush=True)
        file.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n", "utf-8")


def main() -> None:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity", description=(__doc__ or "").splitlines()[0]
    )
    commands = parser.add_subparsers(dest="verb", required=True)
    run_parser = commands.add_parser("run", help="play the runs, in under 10 minutes")
    run_parser.add_argument("--only", nargs="*", default=[], choices=list(SETTLING_RUNS | RUNS))
    run_parser.add_argument("--window", type=float, default=4.0, help="s that each phase is measured")
    run_parser.add_argument("--file", type=Path, default=MEASURED)
    run_parser.add_argument("--within", type=float, default=MAX_TOTAL_S, help="time limit in s for all runs")
    run_parser.add_argument("--json", action="store_true", help="print the results")
    page_parser = commands.add_parser("page", help="the tables of docs/CAPACITY.md")
    page_parser.add_argument("--write", action="store_true", help="update the page")
    plot_parser = commands.add_parser("plot", help="draw figures as SVG (extra `plots`)")
    plot_parser.add_argument("folder", type=Path)
    places_parser = commands.add_parser("places", help="compare placement strategies")
    places_parser.add_argument("--seeds", type=int, default=3)
    places_parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    match args.verb:
        case "run":
            run(args.only, args.window, args.file, args.within)
            if args.json:
                print(json.dumps(load(args.file), indent=1, sort_keys=True))
        case "page":
            page.write() if args.write else print(page.tables())
        case "plot":
            plots.draw(args.folder)
        case "places":
            rows = places.weigh(range(1, args.seeds + 1))
            print(json.dumps(rows, indent=1) if args.json else places.table(rows))


if __name__ == "__main__":
    main()
