"""What an operation of the fair queue costs beside a plain FIFO, at 10, 1,000 and 100,000 stores.

    python -m benchmarks.fair_queue            # ns an operation, and the ratio, taken in turns in one run
    python -m benchmarks.fair_queue --stores 50 --rounds 9

Every store has four requests waiting all along; one is served and one comes (`serve`), one leaves unserved
and one comes (`leave`), or one comes to a full queue and another gives way (`give way`). The plain FIFO is
one `collections.deque`; it takes out what leaves from its head alone, which flatters it.
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

DEEP = 4  # requests of each store that wait
OPERATIONS = 20_000  # of one round
PLANS = 4


def full(stores: int, most: int) -> FairQueue[int]:
    queue: FairQueue[int] = FairQueue((1.0,), most, 1 << 40, most)
    for n in range(stores * DEEP):
        store = n % stores
        queue.push(0, store % PLANS, store, Entry(n, 1.0, 100, 0), 1.0, n)
    return queue


def serving(queue: FairQueue[int], stores: list[int]) -> None:
    for now, store in enumerate(stores):
        entry = queue.head()
        assert entry is not None
        queue.serve(entry)
        queue.push(0, store % PLANS, store, Entry(now, 1.0, 100, now), 1.0, now)


def leaving(queue: FairQueue[int], stores: list[int]) -> None:
    waiting: deque[Entry[int]] = deque()
    for now, store in enumerate(stores):
        entry = Entry(now, 1.0, 100, now)
        queue.push(0, store % PLANS, store, entry, 1.0, now)
        waiting.append(entry)
        if len(waiting) > 100:
            queue.remove(waiting.popleft())


def giving_way(queue: FairQueue[int], stores: list[int]) -> None:
    for now, store in enumerate(stores):
        queue.push(0, store % PLANS, store, Entry(now, 1.0, 100, now), 1.0, now)


def plain(queue: deque[Entry[int]], stores: list[int]) -> None:
    for now, _ in enumerate(stores):
        queue.popleft()
        queue.append(Entry(now, 1.0, 100, now))


def took(call: Callable[[Any, list[int]], None], queue: Any, stores: list[int]) -> float:
    start = time.perf_counter_ns()
    call(queue, stores)
    return (time.perf_counter_ns() - start) / OPERATIONS


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--stores", type=int, nargs="+", default=[10, 1_000, 100_000])
    parser.add_argument("--rounds", type=int, default=5)
    told = parser.parse_args()
    if min(told.stores) < 1 or told.rounds < 1:
        parser.error("--stores and --rounds: wanted at least 1")
    rng = random.Random(1)
    print(f"{'stores':>8} {'operation':>9} {'fair ns':>8} {'FIFO ns':>8} {'ratio':>6}   (least to most)")
    for stores in told.stores:
        asked = [rng.randrange(stores) for _ in range(OPERATIONS)]
        calls = {"serve": serving, "leave": leaving, "give way": giving_way}
        for name, call in calls.items():
            most = stores * DEEP if name == "give way" else 1 << 40
            queue, fifo = full(stores, most), deque(Entry(n, 1.0, 100, 0) for n in range(stores * DEEP))
            pairs = [(took(call, queue, asked), took(plain, fifo, asked)) for _ in range(told.rounds)]
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
