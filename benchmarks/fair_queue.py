"""Cost of a fair queue operation compared with a plain FIFO, at 10, 1,000 and 100,000 stores.

    python -m benchmarks.fair_queue            # ns per operation, and the ratio, measured alternately in one run
    python -m benchmarks.fair_queue --stores 50 --rounds 9

Every store always has four waiting requests; one is served and one arrives (`serve`), one leaves unserved and one
arrives (`leave`), or one arrives at a full queue and displaces another (`give way`). The plain FIFO is one
`collections.deque`; it removes entries only from its head, which favours it in the comparison.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from irisdeal.front_door.queueing.fair_queue import Entry, FairQueue

REQUESTS_PER_STORE = 4  # waiting
OPERATIONS_PER_ROUND = 20_000
PLAN_COUNT = 4


def make_full_queue(stores: int, capacity: int) -> FairQueue[int]:
    queue: FairQueue[int] = FairQueue((1.0,), capacity, 1 << 40, capacity)
    for n in range(stores * REQUESTS_PER_STORE):
        store = n % stores
        queue.push(0, store % PLAN_COUNT, store, Entry(n, 1.0, 100, 0), 1.0, n)
    return queue


def run_serve(queue: FairQueue[int], stores: list[int]) -> None:
    for now, store in enumerate(stores):
        entry = queue.head()
        assert entry is not None
        queue.serve(entry)
        queue.push(0, store % PLAN_COUNT, store, Entry(now, 1.0, 100, now), 1.0, now)


def run_leave(queue: FairQueue[int], stores: list[int]) -> None:
    waiting: deque[Entry[int]] = deque()
    for now, store in enumerate(stores):
        entry = Entry(now, 1.0, 100, now)
        queue.push(0, store % PLAN_COUNT, store, entry, 1.0, now)
        waiting.append(entry)
        if len(waiting) > 100:
            queue.remove(waiting.popleft())


def run_give_way(queue: FairQueue[int], stores: list[int]) -> None:
    for now, store in enumerate(stores):
        queue.push(0, store % PLAN_COUNT, store, Entry(now, 1.0, 100, now), 1.0, now)


def run_fifo(queue: deque[Entry[int]], stores: list[int]) -> None:
    for now, _ in enumerate(stores):
        queue.popleft()
        queue.append(Entry(now, 1.0, 100, now))


def measure_ns(call: Callable[[Any, list[int]], None], queue: Any, stores: list[int]) -> float:
    start = time.perf_counter_ns()
    call(queue, stores)
    return (time.perf_counter_ns() - start) / OPERATIONS_PER_ROUND


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--stores", type=int, nargs="+", default=[10, 1_000, 100_000])
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    if min(args.stores) < 1 or args.rounds < 1:
        parser.error("--stores and --rounds must be at least 1")
    rng = random.Random(1)
    print(f"{'stores':>8} {'operation':>9} {'fair ns':>8} {'FIFO ns':>8} {'ratio':>6}   (least to most)")
    for stores in args.stores:
        sequence = [rng.randrange(stores) for _ in range(OPERATIONS_PER_ROUND)]
        calls = {"serve": run_serve, "leave": run_leave, "give way": run_give_way}
        for name, call in calls.items():
            capacity = stores * REQUESTS_PER_STORE if name == "give way" else 1 << 40
            queue, fifo = (
                make_full_queue(stores, capacity),
                deque(Entry(n, 1.0, 100, 0) for n in range(stores * REQUESTS_PER_STORE)),
            )
            pairs = [
                (measure_ns(call, queue, sequence), measure_ns(run_fifo, fifo, sequence))
                for _ in range(args.rounds)
            ]
            ratios = sorted(fair / simple for fair, simple in pairs)
            print(
                f"{stores:>8} {name:>9} {statistics.median(p[0] for p in pairs):>8.0f} "
                f"{statistics.median(p[1] for p in pairs):>8.0f} {statistics.median(ratios):>6.1f}   "
                f"({ratios[0]:.1f} to {ratios[-1]:.1f})",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
