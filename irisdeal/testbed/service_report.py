"""Computes the service that tenants received: by class and plan, in the worst 10 s, and beyond quotas. Pure.

The definitions are those of BENCH ('How a day is judged', 'This kind of system'): offered is the value that a
single gateway that receives all first attempts would admit; served is the value answered within the latency
target for requests that were within the quota when they were first forwarded. The report shows shares and no
total of prices and weights.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field

from irisdeal.testbed.request_log import SECOND, Attempt, ClientAttempt, End, RequestLog
from irisdeal.testbed.scenario import Class, Plan, Scenario

RECOVERY_SPAN_S = 2  # a single second has too few requests
WORST_WINDOW_US = 10 * SECOND  # the worst 10 s of BRIEF, Weights of service


class Bucket:
    """One tenant's quota over all front doors: a token bucket of units, and a limit of attempts in flight."""

    def __init__(self, rate: float, burst: float, max_in_flight: int) -> None:
        self.rate, self.burst, self.max_in_flight = rate, burst, max_in_flight
        self.tokens, self.at = burst, 0
        self.in_flight: list[int] = []  # heap of the end times, µs, of attempts in flight

    def take(self, at: int, units: float, ends: int) -> bool:
        """Record an attempt at `at` (µs), in flight until `ends`. Returns whether it is within the quota."""
        self.tokens = min(self.burst, self.tokens + self.rate * max(0, at - self.at) / 1e6)
        self.at = max(at, self.at)
        while self.in_flight and self.in_flight[0] <= at:
            heapq.heappop(self.in_flight)
        inside = self.tokens >= units and (not self.max_in_flight or len(self.in_flight) < self.max_in_flight)
        if inside:
            self.tokens -= units
        heapq.heappush(self.in_flight, ends)
        return inside


@dataclass(slots=True)
class Share:
    """Value offered within quotas and value served in time, in the same unit."""

    offered: float = 0.0
    served: float = 0.0

    @property
    def share(self) -> float:
        """Served by offered value, at most 1."""
        return min(1.0, self.served / self.offered) if self.offered else 1.0


@dataclass(slots=True)
class Service:
    """The results of one run; shares are of value, counts are of requests."""

    total: Share = field(default_factory=Share)
    kinds: dict[str, Share] = field(default_factory=dict)
    plans: dict[str, Share] = field(default_factory=dict)
    worst: float = 1.0
    worst_at: float = 0.0  # s from the start
    first_attempts: int = 0
    client_attempts: int = 0
    attempts: int = 0
    inside_per_s: float = 0.0  # client attempts served within the quotas, a second
    beyond_units: float = 0.0  # share of forwarded units that were beyond quotas
    refused: int = 0
    failed: int = 0
    seconds: dict[int, Share] = field(default_factory=dict)  # by second from the start
    # µs from a client attempt to its answer with status 200, sorted.
    latencies: list[int] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return a latency percentile in ms; 0 if nothing was served."""
        if not self.latencies:
            return 0.0
        return self.latencies[min(len(self.latencies) - 1, int(share * len(self.latencies)))] / 1000


def summarize_service(request_log: RequestLog, scenario: Scenario, start: int) -> Service:
    """Compute the service of one run that began at `start` (µs)."""
    report = Service(
        kinds={c.name: Share() for c in scenario.classes}, plans={p.name: Share() for p in scenario.plans}
    )
    kinds = {c.name: c for c in scenario.classes}
    plans = {p.name: p for p in scenario.plans}
    begin, end = start + SECOND, start + round(scenario.seconds * SECOND)
    firsts = _first_attempts(request_log.attempts)
    inside = _within_quota(request_log, scenario, firsts)
    buckets, by_second = _buckets(scenario), defaultdict[int, Share](Share)
    for client_attempts in _requests(request_log):
        first, kind, plan = client_attempts[0], kinds[client_attempts[0].kind], plans[client_attempts[0].plan]
        bucket = buckets(first.plan, first.customer)
        offered = bucket.take(first.due, first.units, first.due + round(kind.work_ms * 1000))
        if not begin <= first.due < end:
            continue
        value = kind.value * plan.price * first.units
        report.first_attempts += 1
        report.client_attempts += len(client_attempts)
        served_value = _count_answers(report, client_attempts, value, inside, kind, plan)
        for share in (
            report.total,
            report.kinds[first.kind],
            report.plans[first.plan],
            by_second[first.due // SECOND],
        ):
            share.offered += value if offered else value * plan.beyond_value
            share.served += served_value
    report.latencies.sort()
    report.attempts = len(request_log.attempts)
    report.inside_per_s /= max(0.1, (end - begin) / 1e6)
    report.beyond_units = _beyond_quota_ratio(firsts, inside)
    _find_worst_window(report, by_second, begin, end)
    report.seconds = {n - begin // SECOND + 1: by_second[n] for n in sorted(by_second)}
    return report


def _requests(request_log: RequestLog) -> list[list[ClientAttempt]]:
    """Group the client attempts by request, in the order of their first attempts."""
    by_request: dict[int, list[ClientAttempt]] = defaultdict(list)
    for client_attempt in request_log.client_attempts:
        by_request[client_attempt.request_number].append(client_attempt)
    return sorted(by_request.values(), key=lambda client_attempts: client_attempts[0].due)


def _count_answers(
    report: Service,
    client_attempts: list[ClientAttempt],
    value: float,
    inside: dict[str, bool],
    kind: Class,
    plan: Plan,
) -> float:
    """Count the answers to one request in `report`; returns the value served."""
    served_value = 0.0
    for client_attempt in client_attempts:
        answer = client_attempt.answers[0] if client_attempt.answers else None
        if answer is None or answer.status != 200:
            refused = answer is not None and answer.status in (429, 503)
            report.refused += refused
            report.failed += not refused
            continue
        report.latencies.append(answer.at - client_attempt.at)
        within = inside.get(client_attempt.trace, False)
        earned = value * (1.0 if within else plan.beyond_value)
        in_time = answer.at - client_attempts[0].due <= kind.latency_target_ms * 1000
        served_value = max(served_value, earned * (1.0 if in_time else kind.late_value))
        report.inside_per_s += within
    return served_value


def _beyond_quota_ratio(firsts: dict[str, Attempt], inside: dict[str, bool]) -> float:
    """Return the share of forwarded units that were beyond quotas."""
    beyond = total = 0.0
    for trace, attempt in firsts.items():
        total += attempt.units
        beyond += 0.0 if inside[trace] else attempt.units
    return beyond / total if total else 0.0


@dataclass(slots=True)
class MannerUse:
    """The service of the tenants of one manner: requests, and those within the quota (BENCH, as above)."""

    tenants: int = 0
    requests: int = 0
    inside: int = 0
    unserved: int = 0  # within the quota, with no successful answer to any attempt
    late: int = 0  # within the quota, served after the latency target
    # µs from the first attempt to the successful answer, sorted.
    waits: list[int] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return a latency percentile in ms; 0 if nothing was served."""
        if not self.waits:
            return 0.0
        return self.waits[min(len(self.waits) - 1, int(share * len(self.waits)))] / 1000

    def add(self, due: int, answered: list[int], target: float, inside: bool) -> None:
        """Add a request due at `due`, with the times of its successful answers; all in µs."""
        self.requests += 1
        if inside:
            self.inside += 1
            self.unserved += not answered
            self.late += bool(answered) and min(answered) - due > target
        if answered:
            self.waits.append(min(answered) - due)


def manners(
    request_log: RequestLog, scenario: Scenario, manner_of: dict[int, str], start: int
) -> dict[str, MannerUse]:
    """Compute the service by the manner of tenants; `manner_of` maps a customer to its manner."""
    report = {manner: MannerUse() for manner in sorted(set(manner_of.values()))}
    for manner in manner_of.values():
        report[manner].tenants += 1
    kinds = {c.name: c for c in scenario.classes}
    buckets, begin, end = _buckets(scenario), start + SECOND, start + round(scenario.seconds * SECOND)
    for client_attempts in _requests(request_log):
        first, kind = client_attempts[0], kinds[client_attempts[0].kind]
        inside = buckets(first.plan, first.customer).take(
            first.due, first.units, first.due + round(kind.work_ms * 1000)
        )
        if not begin <= first.due < end:
            continue
        answered = [t.answers[0].at for t in client_attempts if t.answers and t.answers[0].status == 200]
        report[manner_of[first.customer]].add(first.due, answered, kind.latency_target_ms * 1000, inside)
    for use in report.values():
        use.waits.sort()
    return report


def recovery(seconds: dict[int, Share], calm: dict[int, Share], last: float) -> float | None:
    """Return the s from the last fault's end (`last`, s from the start) until recovery; None if there is none.

    Service has recovered in the first span of `RECOVERY_SPAN_S` that is no worse than the worst such span after
    `last` on a day without faults with the same seed. That day varies too, since a span has few requests.
    """
    begin = math.ceil(last)
    spans = [n for n in calm if n >= begin and n + RECOVERY_SPAN_S - 1 in calm]
    level = min((_mean([calm[m] for m in range(n, n + RECOVERY_SPAN_S)]) for n in spans), default=1.0)
    for n in range(begin, max(seconds, default=0) - RECOVERY_SPAN_S + 2):
        if _mean([seconds[m] for m in range(n, n + RECOVERY_SPAN_S) if m in seconds]) >= level:
            return n - last
    return None


def _mean(shares: list[Share]) -> float:
    offered = sum(share.offered for share in shares)
    return min(1.0, sum(share.served for share in shares) / offered) if offered else 1.0


def _find_worst_window(report: Service, by_second: dict[int, Share], begin: int, end: int) -> None:
    """Find the worst window, in steps of a second; a run shorter than a window counts as one."""
    report.worst = report.total.share
    for at in range(begin // SECOND, (end - WORST_WINDOW_US) // SECOND + 1):
        seconds = [by_second[n] for n in range(at, at + WORST_WINDOW_US // SECOND) if n in by_second]
        offered = sum(s.offered for s in seconds)
        share = min(1.0, sum(s.served for s in seconds) / offered) if offered else 1.0
        if share < report.worst:
            report.worst, report.worst_at = share, at - begin / SECOND + 1.0


def _first_attempts(attempts: list[Attempt]) -> dict[str, Attempt]:
    firsts: dict[str, Attempt] = {}
    for attempt in sorted(attempts, key=lambda a: a.last_byte):
        firsts.setdefault(attempt.trace, attempt)
    return firsts


def _within_quota(request_log: RequestLog, scenario: Scenario, firsts: dict[str, Attempt]) -> dict[str, bool]:
    """Map each trace to whether its first attempt was within the tenant's quota."""
    buckets = _buckets(scenario)
    return {
        trace: buckets(a.plan, a.customer).take(
            a.last_byte, a.units, a.ended if a.end is not End.OPEN else a.last_byte + 60 * SECOND
        )
        for trace, a in firsts.items()
    }


class _Buckets(dict[tuple[str, int], Bucket]):
    def __init__(self, scenario: Scenario) -> None:
        super().__init__()
        self.scenario = scenario
        self.plans = {p.name: p for p in scenario.plans}

    def __call__(self, plan: str, customer: int) -> Bucket:
        if (bucket := self.get((plan, customer))) is None:
            found = self.plans[plan]
            bucket = self[plan, customer] = Bucket(found.rate, self.scenario.burst(found), found.open)
        return bucket


def _buckets(scenario: Scenario) -> _Buckets:
    return _Buckets(scenario)
