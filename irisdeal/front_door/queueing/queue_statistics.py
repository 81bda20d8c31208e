"""Statistics of a front door's queues for its report: the accounts with most demand, and their retries.

Memory is bounded: a number of accounts, each with a record of fixed size. No decision depends on it.
Times are whole microseconds of the caller's clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from typing import NotRequired, TypedDict

from irisdeal.front_door.queueing.heavy_hitters import HeavyHitter, HeavyHitterSketch

MAX_ACCOUNTS = 512  # with a record: some 600 bytes each
HALF_LIFE_US = 5_000_000  # of demand; long enough that the table can be read while it is updated
MAX_RETRY_TIMES = 16  # rejections with `Retry-After` of one account that are remembered
RETRY_TOLERANCE_US = 20_000  # by which a client may be early: clocks and timers round
# Upper ends of the histogram's intervals; one more interval counts all longer waits.
WAIT_BUCKETS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)
AccountKey = tuple[int, int]  # account id and plan index


class AccountReport(TypedDict):
    """One account in a report; the keys are those of the report's JSON."""

    customer: str
    plan: int
    plan_name: NotRequired[str]  # added where the configuration is available
    share: float
    share_error: float
    asked: int
    sent: int
    refused: int
    mean_wait_ms: float | None
    longest_wait_ms: float
    advice_heeded: int
    advice_ignored: int


class WaitHistogram(TypedDict):
    """Waits of all requests that were sent: the intervals' upper ends in ms, and their counts."""

    ends: list[float]
    counts: list[int]


class QueueReport(TypedDict):
    """The queues' part of a report; the keys are those of the report's JSON."""

    asked: int
    sent: int
    refused: int
    advice_heeded: int
    advice_ignored: int
    waits_ms: WaitHistogram
    stores_watched: int
    stores: list[AccountReport]


@dataclass(slots=True)
class AccountRecord:
    """Counters of one account since its record was created."""

    received: int = 0
    sent: int = 0
    rejected: int = 0
    max_wait_us: int = 0
    total_wait_us: int = 0  # over all that were sent
    retries_in_time: int = 0  # after the time in `Retry-After`
    retries_early: int = 0  # before it
    retry_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_RETRY_TIMES))


class QueueStatistics:
    """Counters by account, and the waits of all."""

    def __init__(self, max_accounts: int = MAX_ACCOUNTS) -> None:
        self._demand: HeavyHitterSketch[AccountKey] = HeavyHitterSketch(max_accounts, HALF_LIFE_US)
        self._records: dict[AccountKey, AccountRecord] = {}
        self.received = self.sent = self.rejected = self.retries_in_time = self.retries_early = 0
        self.wait_counts = [0] * (len(WAIT_BUCKETS_MS) + 1)

    def record_received(self, account: AccountKey, is_retry: bool, now: int) -> None:
        """Record a request of an account."""
        self.received += 1
        evicted = self._demand.add(account, 1.0, now)
        if evicted is not None:
            del self._records[evicted]
        record = self._records.get(account)
        if record is None:
            record = self._records[account] = AccountRecord()
        record.received += 1
        if is_retry and record.retry_times:
            # Which rejection it follows is unknown; the earliest is assumed, in the client's favour.
            is_early = now + RETRY_TOLERANCE_US < record.retry_times.popleft()
            record.retries_early += is_early
            record.retries_in_time += not is_early
            self.retries_early += is_early
            self.retries_in_time += not is_early

    def record_sent(self, account: AccountKey, wait_us: int) -> None:
        """Record that a request was first forwarded, `wait_us` after it was received."""
        self.sent += 1
        self.wait_counts[bisect_left(WAIT_BUCKETS_MS, wait_us / 1000)] += 1
        if (record := self._records.get(account)) is not None:
            record.sent += 1
            record.total_wait_us += wait_us
            record.max_wait_us = max(record.max_wait_us, wait_us)

    def record_rejected(self, account: AccountKey, retry_after_us: int, now: int) -> None:
        """Record a rejected request; `retry_after_us` is 0 where none was given."""
        self.rejected += 1
        if (record := self._records.get(account)) is not None:
            record.rejected += 1
            if retry_after_us > 0:
                record.retry_times.append(now + retry_after_us)

    def report(self, now: int, count: int) -> QueueReport:
        """Return the report, with the `count` accounts of most recent demand in descending order."""
        total_weight = sum(hitter.weight for hitter in self._demand.top(len(self._demand), now))
        accounts = [self._account(hitter, total_weight) for hitter in self._demand.top(count, now)]
        return {
            "asked": self.received,
            "sent": self.sent,
            "refused": self.rejected,
            "advice_heeded": self.retries_in_time,
            "advice_ignored": self.retries_early,
            "waits_ms": {"ends": list(WAIT_BUCKETS_MS), "counts": list(self.wait_counts)},
            "stores_watched": len(self._records),
            "stores": accounts,
        }

    def _account(self, hitter: HeavyHitter[AccountKey], total_weight: float) -> AccountReport:
        record = self._records[hitter.key]
        account_id, plan = hitter.key
        return {
            "customer": f"{account_id:016x}",
            "plan": plan,
            "share": round(hitter.weight / total_weight, 4) if total_weight else 0.0,
            "share_error": round(hitter.error / total_weight, 4) if total_weight else 0.0,
            "asked": record.received,
            "sent": record.sent,
            "refused": record.rejected,
            "mean_wait_ms": round(record.total_wait_us / record.sent / 1000, 1) if record.sent else None,
            "longest_wait_ms": round(record.max_wait_us / 1000, 1),
            "advice_heeded": record.retries_in_time,
            "advice_ignored": record.retries_early,
        }
