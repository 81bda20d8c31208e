"""The service that the tenants received: by class and plan, the worst 10 s, and the use beyond quotas. Pure.

The definitions are those of BENCH ('How a day is judged', 'This kind of system'): offered is what one gateway
with a view of all first attempts would admit; served is the value answered within the latency target for
requests that were within the quota when they were first forwarded. Its prices and weights are not added up
here: the report shows shares.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field

from irisdeal.testbed.request_log import SECOND, Attempt, ClientAttempt, End, RequestLog
from irisdeal.testbed.scenario import Class, Plan, Scenario

SPAN = 2  # seconds that are looked at together: one has few requests
WINDOW = 10 * SECOND  # µs; the worst 10 s of BRIEF, Weights of service


class Bucket:
    """One tenant's quota over all front doors: units at a rate with a burst, and attempts out at once."""

    def __init__(self, rate: float, burst: float, most_out: int) -> None:
        self.rate, self.burst, self.most_out = rate, burst, most_out
        self.left, self.at = burst, 0
        self.out: list[int] = []  # when each attempt that is out will end, a heap of µs

    def take(self, at: int, units: float, ends: int) -> bool:
        """Whether a client attempt at `at` (µs) is inside; if so it takes its units. It is out until `ends`."""
        self.left = min(self.burst, self.left + self.rate * max(0, at - self.at) / 1e6)
        self.at = max(at, self.at)
        while self.out and self.out[0] <= at:
            heapq.heappop(self.out)
        inside = self.left >= units and (not self.most_out or len(self.out) < self.most_out)
        if inside:
            self.left -= units
        heapq.heappush(self.out, ends)
        return inside


@dataclass(slots=True)
class Share:
    """Worth offered inside quotas, and value served in time, both in the same measure."""

    offered: float = 0.0
    served: float = 0.0

    @property
    def share(self) -> float:
        """At most 1: what is served of what was not offered does not count."""
        return min(1.0, self.served / self.offered) if self.offered else 1.0


@dataclass(slots=True)
class Service:
    """The figures of one run; shares are of value, counts of requests."""

    total: Share = field(default_factory=Share)
    kinds: dict[str, Share] = field(default_factory=dict)
    plans: dict[str, Share] = field(default_factory=dict)
    worst: float = 1.0
    worst_at: float = 0.0  # s from the start
    first_attempts: int = 0
    client_attempts: int = 0
    attempts: int = 0
    inside_per_s: float = 0.0  # client attempts served inside the quotas a second
    beyond_units: float = 0.0  # share of the units first forwarded
    refused: int = 0
    failed: int = 0
    seconds: dict[int, Share] = field(default_factory=dict)  # by second from the start
    latencies: list[int] = field(
        default_factory=list
    )  # µs from a client attempt's last byte to its good answer, sorted

    def percentile(self, share: float) -> float:
        """ms; 0 where nothing was served."""
        if not self.latencies:
            return 0.0
        return self.latencies[min(len(self.latencies) - 1, int(share * len(self.latencies)))] / 1000


def summarize_service(request_log: RequestLog, scenario: Scenario, start: int) -> Service:
    """Compute the service of one run that began at `start` (µs)."""
    made = Service(
        kinds={c.name: Share() for c in scenario.classes}, plans={p.name: Share() for p in scenario.plans}
    )
    kinds = {c.name: c for c in scenario.classes}
    plans = {p.name: p for p in scenario.plans}
    begin, end = start + SECOND, start + round(scenario.seconds * SECOND)
    firsts = _firsts(request_log.attempts)
    inside = _inside(request_log, scenario, firsts)
    offers, slots = _buckets(scenario), defaultdict[int, Share](Share)
    for client_attempts in _requests(request_log):
        first, kind, plan = client_attempts[0], kinds[client_attempts[0].kind], plans[client_attempts[0].plan]
        bucket = offers(first.plan, first.customer)
        offered = bucket.take(first.due, first.units, first.due + round(kind.work_ms * 1000))
        if not begin <= first.due < end:
            continue
        value = kind.value * plan.price * first.units
        made.first_attempts += 1
        made.client_attempts += len(client_attempts)
        good = _served(made, client_attempts, value, inside, kind, plan)
        for share in (made.total, made.kinds[first.kind], made.plans[first.plan], slots[first.due // SECOND]):
            share.offered += value if offered else value * plan.beyond_value
            share.served += good
    made.latencies.sort()
    made.attempts = len(request_log.attempts)
    made.inside_per_s /= max(0.1, (end - begin) / 1e6)
    made.beyond_units = _beyond(firsts, inside)
    _worst(made, slots, begin, end)
    made.seconds = {n - begin // SECOND + 1: slots[n] for n in sorted(slots)}
    return made


def _requests(request_log: RequestLog) -> list[list[ClientAttempt]]:
    """Group the client attempts of each request; in the order of their first attempts."""
    by_ask: dict[int, list[ClientAttempt]] = defaultdict(list)
    for client_attempt in request_log.client_attempts:
        by_ask[client_attempt.request_number].append(client_attempt)
    return sorted(by_ask.values(), key=lambda client_attempts: client_attempts[0].due)


def _served(
    made: Service,
    client_attempts: list[ClientAttempt],
    value: float,
    inside: dict[str, bool],
    kind: Class,
    plan: Plan,
) -> float:
    """Count the answers to one request in `made`; the value that it was served with."""
    good = 0.0
    for client_attempt in client_attempts:
        answer = client_attempt.answers[0] if client_attempt.answers else None
        if answer is None or answer.status != 200:
            refused = answer is not None and answer.status in (429, 503)
            made.refused += refused
            made.failed += not refused
            continue
        made.latencies.append(answer.at - client_attempt.at)
        within = inside.get(client_attempt.trace, False)
        earned = value * (1.0 if within else plan.beyond_value)
        in_time = answer.at - client_attempts[0].due <= kind.latency_target_ms * 1000
        good = max(good, earned * (1.0 if in_time else kind.late_value))
        made.inside_per_s += within
    return good


def _beyond(firsts: dict[str, Attempt], inside: dict[str, bool]) -> float:
    """Return the share of the units first forwarded that were beyond quotas."""
    beyond = total = 0.0
    for trace, attempt in firsts.items():
        total += attempt.units
        beyond += 0.0 if inside[trace] else attempt.units
    return beyond / total if total else 0.0


@dataclass(slots=True)
class MannerUse:
    """What the tenants of one manner got: asks and, of those, the ones inside the quota (BENCH, as above)."""

    tenants: int = 0
    asks: int = 0
    inside: int = 0
    unserved: int = 0  # of those inside: no good answer to any attempt
    late: int = 0  # of those inside: served, but past the latency target
    waits: list[int] = field(default_factory=list)  # µs from the first attempt to the good answer, sorted

    def percentile(self, share: float) -> float:
        """ms; 0 where nothing was served."""
        if not self.waits:
            return 0.0
        return self.waits[min(len(self.waits) - 1, int(share * len(self.waits)))] / 1000

    def add(self, due: int, answered: list[int], target: float, inside: bool) -> None:
        """Add a request due at `due` with its good answers (µs); `target` is its latency target in µs."""
        self.asks += 1
        if inside:
            self.inside += 1
            self.unserved += not answered
            self.late += bool(answered) and min(answered) - due > target
        if answered:
            self.waits.append(min(answered) - due)


def manners(
    request_log: RequestLog, scenario: Scenario, manner_of: dict[int, str], start: int
) -> dict[str, MannerUse]:
    """Compute the service by the manner in which tenants send requests; `manner_of` by customer."""
    made = {manner: MannerUse() for manner in sorted(set(manner_of.values()))}
    for manner in manner_of.values():
        made[manner].tenants += 1
    kinds = {c.name: c for c in scenario.classes}
    offers, begin, end = _buckets(scenario), start + SECOND, start + round(scenario.seconds * SECOND)
    for client_attempts in _requests(request_log):
        first, kind = client_attempts[0], kinds[client_attempts[0].kind]
        inside = offers(first.plan, first.customer).take(
            first.due, first.units, first.due + round(kind.work_ms * 1000)
        )
        if not begin <= first.due < end:
            continue
        answered = [t.answers[0].at for t in client_attempts if t.answers and t.answers[0].status == 200]
        made[manner_of[first.customer]].add(first.due, answered, kind.latency_target_ms * 1000, inside)
    for use in made.values():
        use.waits.sort()
    return made


def recovery(seconds: dict[int, Share], calm: dict[int, Share], last: float) -> float | None:
    """Measure the s from the last fault's end (`last`, s from the start) until service is back; None: never.

    Back is a span of `SPAN` seconds no worse than the worst such span that a calm day of the same seed has
    in the same part: a span has few requests, so that the calm day itself moves up and down.
    """
    begin = math.ceil(last)
    spans = [n for n in calm if n >= begin and n + SPAN - 1 in calm]
    level = min((_mean([calm[m] for m in range(n, n + SPAN)]) for n in spans), default=1.0)
    for n in range(begin, max(seconds, default=0) - SPAN + 2):
        if _mean([seconds[m] for m in range(n, n + SPAN) if m in seconds]) >= level:
            return n - last
    return None


def _mean(shares: list[Share]) -> float:
    offered = sum(share.offered for share in shares)
    return min(1.0, sum(share.served for share in shares) / offered) if offered else 1.0


def _worst(made: Service, slots: dict[int, Share], begin: int, end: int) -> None:
    """Find the worst window, moved on by a second; a run shorter than one window is one window."""
    made.worst = made.total.share
    for at in range(begin // SECOND, (end - WINDOW) // SECOND + 1):
        seconds = [slots[n] for n in range(at, at + WINDOW // SECOND) if n in slots]
        offered = sum(s.offered for s in seconds)
        share = min(1.0, sum(s.served for s in seconds) / offered) if offered else 1.0
        if share < made.worst:
            made.worst, made.worst_at = share, at - begin / SECOND + 1.0


def _firsts(attempts: list[Attempt]) -> dict[str, Attempt]:
    firsts: dict[str, Attempt] = {}
    for attempt in sorted(attempts, key=lambda a: a.last_byte):
        firsts.setdefault(attempt.trace, attempt)
    return firsts


def _inside(request_log: RequestLog, scenario: Scenario, firsts: dict[str, Attempt]) -> dict[str, bool]:
    """For each attempt, whether it was within its tenant's quota when it was first forwarded."""
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
