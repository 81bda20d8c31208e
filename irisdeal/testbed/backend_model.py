"""What one backend does with the requests it receives. Pure: time is an argument, in µs.

The rules of the model (BENCH, The world; PROTOCOL, Front doors to backends):

1. A backend has cores, slots for running requests, and a queue; what arrives when both are full is rejected
   without being run, as is what arrives while it drains.
2. Running requests share the cores evenly (processor sharing); none runs faster than one core.
3. A backend that starts is in slow start: its capacity rises linearly from the initial share to the full. All
   work that reaches it meanwhile, rejected work too, counts against its budget; over that it fails and stays
   down.
4. A cancel or a time-out stops no running request; a queued one that is overdue at its turn is rejected.
5. Hung, it admits requests and finishes none; slots and queue fill.
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

SLOW_START_STEP = 50_000  # µs: how often the speed of a backend in slow start is taken anew between events
MOST_JOBS = 4_096  # in work and waiting; slots and queue are far fewer


class Admission(Enum):
    """What becomes of a request as it comes."""

    TAKEN = auto()
    FULL = auto()
    DRAINING = auto()
    FALLEN = auto()  # with this one the budget was exceeded, and the backend failed


class Completion(Enum):
    """How a request that was admitted ends."""

    SERVED = auto()
    EXPIRED = auto()  # overdue when its turn came: never ran


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
    """A load report as a backend makes it: recent service time in ms, share of its cores busy, how many wait."""

    latency_ms: float = 0.0
    util: float = 0.0
    queue: int = 0


@dataclass(slots=True)
class BackendModel:
    """One life of a backend."""

    machine: Machine
    figures: Figures
    incarnation: BackendIncarnation
    draining: bool = False
    hung: bool = False
    slower: float = 1.0  # times slower than drawn
    fallen_at: int = 0
    running: list[tuple[float, int, Job]] = field(default_factory=list)  # by the progress at which each ends
    waiting: deque[Job] = field(default_factory=deque)
    now: int = 0
    progress: float = 0.0  # µs of work at speed 1 that each running job has got since the start
    count: int = 0
    sent: list[tuple[int, int]] = field(default_factory=list)  # time and work, while cold
    busy: float = 0.0  # µs of cores in use since the last report
    recent_ms: float = 0.0

    def rate(self) -> float:
        """µs of work at speed 1 that each running job gets in a µs."""
        if self.hung or not self.running:
            return 0.0
        warmth = self.incarnation.now(self.now) / self.incarnation.capacity
        return self.machine.speed / self.slower * warmth * min(1.0, self.machine.cores / len(self.running))

    def advance(self, now: int) -> list[tuple[Job, Completion]]:
        """Everything that ends by `now`, in order."""
        done: list[tuple[Job, Completion]] = []
        while self.now < now:
            rate = self.rate()
            step = now - self.now
            if self.incarnation.at and self.now < self.incarnation.at + self.incarnation.slow_start:
                step = min(step, SLOW_START_STEP)
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
        self.count += 1
        if not self.running:
            self.progress = 0.0  # no sum of floats grows all day
        heapq.heappush(self.running, (self.progress + job.work, self.count, job))

    def arrive(self, job: Job) -> Admission:
        """Admit or reject a request that arrives now; call `advance` first."""
        if self.incarnation.at and self.now < self.incarnation.at + self.incarnation.slow_start:
            self.sent.append((self.now, job.work))
            while self.sent[0][0] <= self.now - self.figures.fall_window:
                self.sent.pop(0)
            if over_budget(self.sent, self.incarnation, self.figures) is not None:
                self.fallen_at = self.now
                return Admission.FALLEN
        if self.draining:
            return Admission.DRAINING
        if len(self.running) < self.machine.slots:
            self._begin(job)
        elif len(self.waiting) < min(self.machine.queue, MOST_JOBS):
            self.waiting.append(job)
        else:
            return Admission.FULL
        return Admission.TAKEN

    def next_end(self) -> int | None:
        """When something may end next, µs; None while nothing can."""
        rate = self.rate()
        if rate <= 0.0:
            return None
        return self.now + max(1, round((self.running[0][0] - self.progress) / rate + 0.5))

    def report(self, since: int) -> LoadReport:
        """Make the load report since the last one, which began at `since` (µs)."""
        span = max(1, self.now - since)
        util = min(1.0, self.busy / (span * self.machine.cores))
        self.busy = 0.0
        return LoadReport(self.recent_ms, util, len(self.waiting))


def over_budget(
    sent: Iterable[tuple[int, int]],
    incarnation: BackendIncarnation,
    figures: Figures,
) -> tuple[int, float, float] | None:
    """Where work sent during slow start exceeds its budget: time, work and budget in µs; None where it never does.

    `sent` is (time, work) in µs, in order. The budget of a window that ends now is multiple x present
    capacity x window (BENCH, How a day is judged), and one largest piece of work more: slack for chance.
    The audit has a reckoning of its own.
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
    """One zone's memory of keys: a repeat within the window is answered and has no effect again (BRIEF 12).

    `window` in µs. The time counts from the first attempt of a key; what is older is forgotten.
    """

    window: int
    seen: dict[str, int] = field(default_factory=dict)  # in the order of their first time

    def first(self, key: str, now: int) -> bool:
        """Whether this is the first attempt with the key that the zone remembers."""
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
    """The use of each tenant over all backends, in percent of its rate, published late (PROTOCOL, `Usage-Percent`).

    `period` and `late` in µs; `rates` gives units a second by plan.
    """

    period: int
    late: int
    rates: dict[str, float]
    sums: dict[int, dict[tuple[str, int], float]] = field(default_factory=dict)  # by number of the period
    counted: dict[str, int] = field(default_factory=dict)  # traces of the last periods

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
        """Percent of the rate used in the last finished period that has been added up."""
        number = (now - self.late) // self.period - 1
        used = self.sums.get(number, {}).get((plan, customer), 0.0)
        rate = self.rates.get(plan, 0.0)
        return round(100 * used / (rate * self.period / 1e6)) if rate else 0
