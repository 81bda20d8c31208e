"""What a door's report tells of its queues: the stores that ask most, what they got, and who heeds advice.

Fed with what the door does anyway; bounded: so many stores, each with a record of fixed size. Nothing here is
on the way of a decision. Times are whole microseconds of the caller's clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from irisdeal.front_door.queueing.sketch import Sketch

MOST_STORES = 512  # with a record: some 600 bytes each
HALF_LIFE = 5_000_000  # µs in which what was asked fades by half: a person reads a table that moves slowly
MOST_ADVISED = 16  # refusals with advice of one store that are remembered
SLACK = 20_000  # µs by which a client may be early: clocks and timers round
# ms; the upper ends of a histogram of waits, and one more for all that took longer.
ENDS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)
Store = tuple[int, int]  # customer and plan


@dataclass(slots=True)
class Record:
    """What one store got since it has a record."""

    asked: int = 0
    sent: int = 0
    refused: int = 0
    longest: int = 0  # µs that one of its requests waited
    waited: int = 0  # µs, over all that were sent
    heeded: int = 0  # retries after the advised time
    ignored: int = 0  # retries before it
    advised: deque[int] = field(default_factory=lambda: deque(maxlen=MOST_ADVISED))


class QueueWatch:
    """Counts by store, and waits of all."""

    def __init__(self, most: int = MOST_STORES) -> None:
        self._heavy: Sketch[Store] = Sketch(most, HALF_LIFE)
        self._records: dict[Store, Record] = {}
        self.asked = self.sent = self.refused = self.heeded = self.ignored = 0
        self.waits = [0] * (len(ENDS) + 1)

    def took(self, store: Store, is_retry: bool, now: int) -> None:
        """A request of a store was taken."""
        self.asked += 1
        lost = self._heavy.add(store, 1.0, now)
        if lost is not None:
            del self._records[lost]
        record = self._records.get(store)
        if record is None:
            record = self._records[store] = Record()
        record.asked += 1
        if is_retry and record.advised:
            # Which refusal it answers is not told; the one that may return first is taken, in its favour.
            early = now + SLACK < record.advised.popleft()
            record.ignored += early
            record.heeded += not early
            self.ignored += early
            self.heeded += not early

    def went(self, store: Store, waited: int) -> None:
        """A request was first sent on, so long (µs) after it was taken."""
        self.sent += 1
        self.waits[bisect_left(ENDS, waited / 1000)] += 1
        if (record := self._records.get(store)) is not None:
            record.sent += 1
            record.waited += waited
            record.longest = max(record.longest, waited)

    def refused_one(self, store: Store, advice: int, now: int) -> None:
        """A request was refused; `advice` (µs from now) is when to come back, 0 where none was given."""
        self.refused += 1
        if (record := self._records.get(store)) is not None:
            record.refused += 1
            if advice > 0:
                record.advised.append(now + advice)

    def told(self, now: int, count: int) -> dict[str, Any]:
        """Plain values for a report; times in ms. The `count` stores that lately asked most come first."""
        stores = []
        total = sum(heavy.weight for heavy in self._heavy.top(len(self._heavy), now))
        for heavy in self._heavy.top(count, now):
            record = self._records[heavy.key]
            stores.append(
                {
                    "customer": f"{heavy.key[0]:016x}",
                    "plan": heavy.key[1],
                    "share": round(heavy.weight / total, 4) if total else 0.0,
                    "share_error": round(heavy.error / total, 4) if total else 0.0,
                    "asked": record.asked,
                    "sent": record.sent,
                    "refused": record.refused,
                    "mean_wait_ms": round(record.waited / record.sent / 1000, 1) if record.sent else None,
                    "longest_wait_ms": round(record.longest / 1000, 1),
                    "advice_heeded": record.heeded,
                    "advice_ignored": record.ignored,
                }
            )
        return {
            "asked": self.asked,
            "sent": self.sent,
            "refused": self.refused,
            "advice_heeded": self.heeded,
            "advice_ignored": self.ignored,
            "waits_ms": {"ends": list(ENDS), "counts": list(self.waits)},
            "stores_watched": len(self._records),
            "stores": stores,
        }
