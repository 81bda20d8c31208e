"""A day drawn from a scenario and a seed: machines, tenants, and every first attempt with its time. Pure.

The same scenario and seed give the same day on any machine and under any hash seed. Each draw uses a separate
random stream, named by its purpose, so that a change to one draw does not affect the others. The stream names
determine the digests of seeded runs and must not change.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from irisdeal.testbed.digest_text import digest_text
from irisdeal.testbed.request_log import SECOND
from irisdeal.testbed.scenario import Class, Plan, Scenario

MIN_TENANTS = 2  # of each plan: a single one would determine the plan's results
MAX_ARRIVALS = 2_000_000  # of a day: a larger load is rejected


def stream(seed: int, *name: object) -> random.Random:
    """Return the random stream of a name."""
    digest = hashlib.blake2b(repr((seed, *name)).encode(), digest_size=16).digest()
    return random.Random(int.from_bytes(digest))


@dataclass(frozen=True, slots=True)
class Machine:
    """One backend as drawn. `speed` is that of one core; `slots` and `queue` are totals of the backend."""

    number: int
    zone: str
    kind: str
    cell: int
    cores: int
    speed: float
    slots: int
    queue: int
    initial_capacity: float
    slow_start: int  # µs
    error_rate: float

    @property
    def capacity(self) -> float:
        """Core seconds of work a second, after slow start."""
        return self.cores * self.speed


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer and its load."""

    customer: int
    plan: int
    first: int  # number of the first of its front doors
    spread: int
    rate: float  # units a second that it requests, except in spikes
    manner: str  # calm, full, heavy or spiky; new: part of a flood
    spikes: tuple[tuple[int, int, float], ...]  # start, end (µs from the start), multiple of the plan's rate
    honors_retry_after: bool
    flood_at: int = 0  # time of the only request of a tenant in a flood, µs from the start; else 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A first attempt: `at` µs from the start of the day."""

    at: int
    tenant: int
    kind: int
    request_number: int


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario and what is drawn from it."""

    scenario: Scenario
    seed: int
    machines: tuple[Machine, ...]
    tenants: tuple[Tenant, ...]
    arrivals: tuple[Arrival, ...]

    def digest(self) -> str:
        """Return the digest of the schedule, which depends on scenario and seed alone."""
        text = digest_text((self.machines, self.tenants, self.arrivals)).encode()
        return hashlib.blake2b(text, digest_size=8).hexdigest()


def draw(scenario: Scenario, seed: int) -> Day:
    """Draw the day of a seed. Raises ValueError if it has more than `MAX_ARRIVALS` requests."""
    machines = tuple(machine(scenario, seed, n) for n in range(scenario.fleet.backends))
    tenants = (*_tenants(scenario, seed, machines), *_flood(scenario, seed))
    expected = sum(s.rate for s in tenants) / mean_units(scenario) * scenario.seconds
    expected += sum(bool(s.flood_at) for s in tenants)
    if expected > MAX_ARRIVALS:
        raise ValueError(f"{scenario.name}: about {expected:.0f} requests: wanted at most {MAX_ARRIVALS}")
    return Day(scenario, seed, machines, tenants, tuple(_arrivals(scenario, seed, tenants)))


def machine(scenario: Scenario, seed: int, number: int) -> Machine:
    """Draw the backend of a number; numbers beyond the fleet are backends that are added later."""
    fleet, rng = scenario.fleet, stream(seed, "machine", number)
    total = sum(k.share for k in fleet.kinds)
    # A low-discrepancy sequence keeps the kinds of a small fleet near their shares.
    point = (0.5 + number * 0.618033988749895) % 1.0 * total
    for kind in fleet.kinds:
        point -= kind.share
        if point < 0:
            break
    speed = kind.speed * max(0.3, rng.gauss(1.0, kind.speed_cv))
    zones = len(fleet.zones)
    cell = number // (fleet.cell * zones) * zones + number % zones
    return Machine(
        number,
        fleet.zones[number % zones],
        kind.name,
        cell,
        kind.cores,
        speed,
        max(kind.cores, round(kind.slots_per_core * kind.cores)),
        round(kind.queue_per_core * kind.cores),
        kind.initial_capacity,
        round(kind.slow_start_s * 1e6),
        kind.error_rate,
    )


def mean_units(scenario: Scenario) -> float:
    """Return the mean units of a request."""
    shares = sum(c.share for c in scenario.classes)
    return sum(c.share * c.units for c in scenario.classes) / shares


def mean_work(scenario: Scenario) -> float:
    """Return the mean work of a unit: s of one core at speed 1."""
    shares = sum(c.share for c in scenario.classes)
    return sum(c.share * c.work_ms for c in scenario.classes) / shares / 1e3 / mean_units(scenario)


def _use_within_quota(manner: str, use: float) -> float:
    """Estimate the share of its rate that a tenant uses within its quota."""
    return {"calm": use, "spiky": use + 0.1, "full": 0.92, "heavy": 1.0}[manner]


def _tenants(scenario: Scenario, seed: int, machines: tuple[Machine, ...]) -> Iterator[Tenant]:
    load = scenario.load
    # Units a second, over all plans.
    units_within_quota = load.use * sum(m.capacity for m in machines) / mean_work(scenario)
    shares = sum(p.share for p in scenario.plans)
    for n, plan in enumerate(scenario.plans):
        rng = stream(seed, "stores", n)
        target, used, made = units_within_quota * plan.share / shares, 0.0, 0
        manners = _manners(scenario, rng)
        while made < plan.tenants or (not plan.tenants and (made < MIN_TENANTS or used < target)):
            manner = next(manners)
            use = rng.uniform(*load.calm_use)
            used += _use_within_quota(manner, use) * plan.rate
            made += 1
            yield _tenant(scenario, plan, n, rng, manner, use)


def _flood(scenario: Scenario, seed: int) -> Iterator[Tenant]:
    """Draw the tenants of floods, with one request each: `size` tenants a second, evenly spaced with jitter."""
    rng = stream(seed, "flood")
    for fault in scenario.faults:
        if fault.do == "flood":
            for n in range(round(fault.size * fault.for_s)):
                at = fault.at_s + (n + rng.random()) / fault.size
                tenant = _tenant(scenario, scenario.plans[0], 0, rng, "new", 0.0)
                yield replace(tenant, flood_at=max(1, round(at * SECOND)))


def _manners(scenario: Scenario, rng: random.Random) -> Iterator[str]:
    """Yield manners by their shares, shuffled in batches of 100 so that few tenants are not all alike."""
    load = scenario.load
    counts = [("full", load.full), ("heavy", load.heavy), ("spiky", load.spiky)]
    while True:
        batch = [name for name, share in counts for _ in range(round(100 * share))][:100]
        batch += ["calm"] * (100 - len(batch))
        rng.shuffle(batch)
        yield from batch


def _tenant(
    scenario: Scenario, plan: Plan, number: int, rng: random.Random, manner: str, use: float
) -> Tenant:
    load, front_doors = scenario.load, scenario.front_doors
    min_spread = min(2, front_doors)
    spread = min(front_doors, max(min_spread, round(rng.uniform(*load.spread) * front_doors)))
    # Each front door's part of the ceiling must hold the largest request.
    if ceiling := scenario.ceiling(plan):
        most = max(c.units for c in scenario.classes)
        spread = max(1, min(spread, int(ceiling.depth / (2 * most))))
    rate = (
        plan.rate
        * {
            "calm": use,
            "spiky": use,
            "new": 0.0,
            "full": rng.uniform(0.85, 1.0),
            "heavy": rng.uniform(*load.heavy_x),
        }[manner]
    )
    spikes: list[tuple[int, int, float]] = []
    at = rng.expovariate(1 / load.spike_every_s) if manner == "spiky" and load.spike_every_s else math.inf
    while at < scenario.seconds:
        end = at + rng.uniform(*load.spike_s)
        spikes.append((round(at * 1e6), round(end * 1e6), rng.uniform(*load.spike_x)))
        at = end + rng.expovariate(1 / load.spike_every_s)
    return Tenant(
        rng.randrange(1, 2**33),
        number,
        rng.randrange(front_doors),
        spread,
        rate,
        manner,
        tuple(spikes),
        rng.random() < load.honour and not (manner == "heavy" and scenario.doing("greedy")),
    )


def _arrivals(scenario: Scenario, seed: int, tenants: tuple[Tenant, ...]) -> Iterator[Arrival]:
    units = mean_units(scenario)
    rushes, greedy = scenario.doing("rush"), scenario.doing("greedy")
    found: list[tuple[int, int, int]] = []
    weights = [c.share for c in scenario.classes]
    kinds = range(len(scenario.classes))
    for n, tenant in enumerate(tenants):
        rng = stream(seed, "arrivals", n)
        if tenant.flood_at:
            if tenant.flood_at < scenario.seconds * SECOND:
                found.append((tenant.flood_at, n, rng.choices(kinds, weights)[0]))
            continue
        surges = rushes + (greedy if tenant.manner == "heavy" else [])
        plan_rate = scenario.plans[tenant.plan].rate
        # Thinning (Lewis and Shedler 1979): draw at the highest rate, keep each by the ratio of the present rate.
        top = max([tenant.rate, *(times * plan_rate for _, _, times in tenant.spikes)])
        top *= math.prod([1.0, *(max(1.0, size) for _, _, size in surges)])
        at = 0.0
        while (at := at + rng.expovariate(top / units)) < scenario.seconds:
            now = round(at * 1e6)
            if rng.random() * top < _rate(tenant, plan_rate, surges, now):
                found.append((now, n, rng.choices(kinds, weights)[0]))
    found.sort()
    for request_number, (now, n, kind) in enumerate(found):
        yield Arrival(now, n, kind, request_number)


def _rate(tenant: Tenant, plan_rate: float, surges: list[tuple[int, int, float]], now: int) -> float:
    """Return the units a second that a tenant requests at `now` (µs from the start), with spikes and surges."""
    spike = next((times for start, end, times in tenant.spikes if start <= now < end), None)
    rate = tenant.rate if spike is None else spike * plan_rate
    return rate * math.prod(size for start, end, size in surges if start <= now < end)


def trace(seed: int, request_number: int, attempt: int) -> str:
    """Return the id of a client attempt: 16 hex digits, never the same for two of one seed."""
    return hashlib.blake2b(f"{seed}:{request_number}:{attempt}".encode(), digest_size=8).hexdigest()


def claim_key(seed: int, request_number: int) -> str:
    """Return the key of a keyed request: the same for a client's retries of it."""
    return hashlib.blake2b(f"key:{seed}:{request_number}".encode(), digest_size=16).hexdigest()


def work(seed: int, name: str, kind: Class) -> int:
    """Draw the work of a request, in µs, by its id: lognormal with the class's mean and coefficient of variation.

    A mean m and a coefficient of variation c are those of exp(N(ln m - s²/2, s²)) with s² = ln(1 + c²).
    """
    variance = math.log1p(kind.cv * kind.cv)
    rng = stream(seed, "work", name)
    drawn = rng.lognormvariate(math.log(kind.work_ms) - variance / 2, math.sqrt(variance))
    return max(100, round(min(drawn, 30 * kind.work_ms) * 1000))


def weights(seed: int, scenario: Scenario, tenant: int, spread: int, now: int) -> list[float]:
    """Return the shares of a tenant's front doors in its requests at `now` (µs from the start); they sum to 1.

    The busiest front door changes every `shift_s`. During a hot-door fault it receives an additional share.
    """
    load = scenario.load
    turn = int(now // (load.shift_s * SECOND))
    order = list(range(spread))
    stream(seed, "shift", tenant, turn).shuffle(order)
    raw = [0.0] * spread
    for position, n in enumerate(order):
        raw[n] = (position + 1.0) ** -load.skew
    total = sum(raw)
    shares = [r / total for r in raw]
    for fault in scenario.faults:
        if fault.do == "hot-door" and fault.at_s * SECOND <= now < (fault.at_s + fault.for_s) * SECOND:
            shares = [s * (1.0 - fault.size) for s in shares]
            shares[order[0]] += fault.size
    return shares


def window_of(start: int, seconds: float) -> tuple[int, int]:
    """Return start and end of the evaluated time, µs, which omits the first second (BRIEF, Weights of service)."""
    return start + SECOND, start + round(seconds * SECOND)
