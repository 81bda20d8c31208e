"""Model of a backend: admission, queueing and processing of requests. Pure: time is an argument, in µs.

The rules of the model (BENCH, The world; PROTOCOL, Front doors to backends):

1. A backend has cores, slots for running requests, and a queue. A request that arrives when both are full, or
   while the backend drains, is rejected without being run.
2. Running requests share the cores evenly (processor sharing); none runs faster than one core.
3. In slow start, after a start, the capacity rises linearly from the initial share to the full capacity. All work
   that arrives in this time, rejected work too, counts against a budget. If it is exceeded, the backend fails and
   stays down.
4. A cancellation or timeout does not stop a running request. A queued one whose deadline has passed at its turn is
   rejected.
5. A hung backend admits requests and completes none, so slots and queue fill.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from irisdeal.testbed.audit import Figures
from irisdeal.testbed.request_log import BackendIncarnation
from irisdeal.testbed.workload import Machine

SLOW_START_STEP_US = 50_000  # interval at which the capacity in slow start is recomputed between events
MAX_JOBS = 4_096  # bound of the queue, far above configured sizes


class Admission(Enum):
    """The result of a request's arrival."""

    ADMITTED = auto()
    FULL = auto()
    DRAINING = auto()
    OVERLOADED = auto()  # this request exceeded the slow start budget, and the backend failed


class Completion(Enum):
    """How a request that was admitted ends."""

    SERVED = auto()
    EXPIRED = auto()  # its deadline had passed at its turn: never ran


@dataclass(slots=True, eq=False)
class Job:
    """One request at a backend. `work` is µs of one core at speed 1; `deadline` µs."""

    work: int
    deadline: int
    arrived: int
    began: int = 0
    tag: object = None


@dataclass(slots=True)
class LoadReport:
    """A backend's load report: recent service time in ms, share of busy cores, and queue length."""

    latency_ms: float = 0.0
    util: float = 0.0
    queue: int = 0


@dataclass(slots=True)
class BackendModel:
    """The state of a backend from one start to the next."""

    machine: Machine
    figures: Figures
    incarnation: BackendIncarnation
    draining: bool = False
    hung: bool = False
    slowdown: float = 1.0  # factor by which it is slower than drawn
    failed_at: int = 0
    # Heap, by the progress at which each ends.
    running: list[tuple[float, int, Job]] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    now: int = 0
    progress: float = 0.0  # µs of work at speed 1 done for each running job since the model was last empty
    begun_count: int = 0
    # (time, work) of the current window in slow start.
    slow_start_work: list[tuple[int, int]] = field(default_factory=list)
    busy: float = 0.0  # µs of cores in use since the last report
    recent_ms: float = 0.0

    def rate(self) -> float:
        """Return the work at speed 1 done for each running job, in µs per µs."""
        if self.hung or not self.running:
            return 0.0
        capacity_ratio = self.incarnation.now(self.now) / self.incarnation.capacity
        return (
            self.machine.speed
            / self.slowdown
            * capacity_ratio
            * min(1.0, self.machine.cores / len(self.running))
        )

    def advance(self, now: int) -> list[tuple[Job, Completion]]:
        """Advance the time to `now`, and return the jobs that end by then, in order."""
        done: list[tuple[Job, Completion]] = []
        while self.now < now:
            rate = self.rate()
            step = now - self.now
            if self.incarnation.at and self.now < self.incarnation.at + self.incarnation.slow_start:
                step = min(step, SLOW_START_STEP_US)
            if rate > 0.0:
                needed = (self.running[0][0] - self.progress) / rate
                step = min(step, max(1, round(needed + 0.5)))
            if not self.hung:
                self.busy += min(len(self.running), self.machine.cores) * step
            self.progress += rate * step
            self.now += step
            while self.running and self.running[0][0] <= self.progress + 1e-6 and not self.hung:
                job = heapq.heappop(self.running)[2]
                took = (self.now - job.began) / 1000
                self.recent_ms += (0.1 if self.recent_ms else 1.0) * (took - self.recent_ms)
                done.append((job, Completion.SERVED))
                done += self._fill()
        return done

    def _fill(self) -> list[tuple[Job, Completion]]:
        expired: list[tuple[Job, Completion]] = []
        while self.waiting and len(self.running) < self.machine.slots:
            job = self.waiting.popleft()
            if job.deadline < self.now:
                expired.append((job, Completion.EXPIRED))
            else:
                self._begin(job)
        return expired

    def _begin(self, job: Job) -> None:
        job.began = self.now
        self.begun_count += 1
        if not self.running:
            self.progress = 0.0  # keeps the floating point error of the sum small
        heapq.heappush(self.running, (self.progress + job.work, self.begun_count, job))

    def arrive(self, job: Job) -> Admission:
        """Admit or reject a request that arrives now; call `advance` first."""
        if self.incarnation.at and self.now < self.incarnation.at + self.incarnation.slow_start:
            self.slow_start_work.append((self.now, job.work))
            while self.slow_start_work[0][0] <= self.now - self.figures.fall_window:
                self.slow_start_work.pop(0)
            if over_budget(self.slow_start_work, self.incarnation, self.figures) is not None:
                self.failed_at = self.now
                return Admission.OVERLOADED
        if self.draining:
            return Admission.DRAINING
        if len(self.running) < self.machine.slots:
            self._begin(job)
        elif len(self.waiting) < min(self.machine.queue, MAX_JOBS):
            self.waiting.append(job)
        else:
            return Admission.FULL
        return Admission.ADMITTED

    def next_end(self) -> int | None:
        """Return the time, µs, at which the next job can end; None if none can."""
        rate = self.rate()
        if rate <= 0.0:
            return None
        return self.now + max(1, round((self.running[0][0] - self.progress) / rate + 0.5))

    def report(self, since: int) -> LoadReport:
        """Make the load report of the time from `since` (µs) until now."""
        span = max(1, self.now - since)
        util = min(1.0, self.busy / (span * self.machine.cores))
        self.busy = 0.0
        return LoadReport(self.recent_ms, util, len(self.waiting))


def over_budget(
    sent: Iterable[tuple[int, int]],
    incarnation: BackendIncarnation,
    figures: Figures,
) -> tuple[int, float, float] | None:
    """Find where work sent during slow start first exceeds its budget: time, work and budget in µs, or None.

    `sent` is (time, work) in µs, in order. The budget of a window that ends now is multiple x present
    capacity x window (BENCH, How a day is judged), plus the largest single piece of work, as slack for random
    arrival. The audit computes the budget independently.
    """
    window: deque[tuple[int, int]] = deque()
    total = 0
    for at, work in sent:
        window.append((at, work))
        total += work
        while window[0][0] <= at - figures.fall_window:
            total -= window.popleft()[1]
        budget = figures.fall_multiple * incarnation.now(at) * figures.fall_window + max(w for _, w in window)
        if total > budget:
            return at, total, budget
    return None


@dataclass(slots=True)
class IdempotencyMemory:
    """Idempotency keys of one zone: a repeat within the window is answered without a second effect (BRIEF 12).

    `window` in µs, from the first attempt with a key; older keys are removed.
    """

    window: int
    seen: dict[str, int] = field(default_factory=dict)  # time of the first attempt, in order

    def first(self, key: str, now: int) -> bool:
        """Record an attempt; whether it is the first with this key within the window."""
        while self.seen:
            oldest = next(iter(self.seen))
            if self.seen[oldest] > now - self.window:
                break
            del self.seen[oldest]
        if key in self.seen:
            return False
        self.seen[key] = now
        return True


@dataclass(slots=True)
class Meter:
    """Usage of each tenant over all backends, in percent of its rate, with a delay (PROTOCOL, `Usage-Percent`).

    `period` and `late` in µs; `rates` gives units a second by plan.
    """

    period: int
    late: int
    rates: dict[str, float]
    # Units by tenant, by number of the period.
    sums: dict[int, dict[tuple[str, int], float]] = field(default_factory=dict)
    counted: dict[str, int] = field(default_factory=dict)  # period by trace, for the last periods

    def add(self, trace: str, plan: str, customer: int, units: float, now: int) -> None:
        """Count a request that reached a backend; its further attempts add nothing."""
        number = now // self.period
        if trace in self.counted:
            return
        self.counted[trace] = number
        period = self.sums.setdefault(number, {})
        period[plan, customer] = period.get((plan, customer), 0.0) + units
        for old in [n for n in self.sums if n < number - 2 - self.late // self.period]:
            del self.sums[old]
        while self.counted[first := next(iter(self.counted))] < number - 10:
            del self.counted[first]

    def percent(self, plan: str, customer: int, now: int) -> int:
        """Return the usage in the last published period, in percent of the rate."""
        number = (now - self.late) // self.period - 1
        used = self.sums.get(number, {}).get((plan, customer), 0.0)
        rate = self.rates.get(plan, 0.0)
        return round(100 * used / (rate * self.period / 1e6)) if rate else 0
