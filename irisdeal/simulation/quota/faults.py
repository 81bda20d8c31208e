"""Random schedules of the quota simulation: one seed determines all floods, faults and changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from irisdeal.simulation.quota.world import QuotaWorld

END_S = 30.0
LONG_END_S = 150.0  # of schedules whose faults may last over a minute
MAX_REQUESTS = 12_000  # in a schedule; larger floods are shorter
DOWNTIME_RANGE_S = (0.3, 3.0)  # of a restarted process


@dataclass
class QuotaDay:
    """The parameters of one schedule; `events`: descriptions of its faults. Times are s."""

    seed: int
    proxies: int
    registries: int
    rate: float
    burst: float
    drift: float
    end_s: float
    events: list[str] = field(default_factory=list)


def draw(seed: int) -> QuotaDay:
    """Return the parameters of the schedule of this seed."""
    chance = random.Random(seed)
    rate = 0.5 * 1000 ** chance.random()
    burst = rate * chance.choice((0.0, 1.0, 1.0, 5.0 * chance.random(), 25.0 * chance.random()))
    return QuotaDay(
        seed,
        round(200 ** chance.random()),
        chance.choice((1, 2, 3, 3, 4, 4, 5, 7, 12)),
        rate,
        burst,
        chance.choice((0.0, 0.02)),
        LONG_END_S if chance.random() < 0.1 else END_S,
    )


class QuotaDayPlayer:
    """Simulates the schedule of one seed."""

    def __init__(self, day: QuotaDay) -> None:
        self.day, self.chance = day, random.Random(day.seed + 1)
        self.world = QuotaWorld(day.proxies, day.registries, day.rate, day.seed, day.burst, day.drift)
        self.names = [proxy.name for proxy in self.world.proxies]
        self.next_registry = day.registries

    def play(self) -> float:
        """Run the schedule; return the largest share of the allowed requests that ran in any window."""
        self._loads()
        for _ in range(self.chance.randint(1, 4)):
            fault = self.chance.choice(self._faults())
            at = self.chance.uniform(1.0, self.day.end_s - 8.0)
            self.day.events.append(f"{at:.1f} s {fault.__name__.strip('_')}")
            fault(at)
        self.world.play(self.day.end_s + 2.0)
        return self.world.judge.worst()

    def _loads(self) -> None:
        """Schedule normal load and floods, each with its own distribution over the proxies."""
        world, budget = self.world, float(MAX_REQUESTS)
        since = 0.0
        while since < self.day.end_s and budget > 0:
            times = self.chance.choice((0.6, 0.9, 3.0, 6.0, 9.0))
            longest = min(budget / (times * self.day.rate), self.day.end_s - since)
            lasts = min(longest, self.chance.uniform(1.0, 15.0))
            if self.chance.random() < 0.3:
                self._move_load(since)
            world.load(since, since + lasts, times)
            budget -= lasts * times * self.day.rate
            since += lasts

    def _move_load(self, at: float) -> None:
        weights = [self.chance.paretovariate(1.2) for _ in self.names]
        if self.chance.random() < 0.3:  # one zone gets nearly all requests
            home = self.chance.randrange(self.day.registries)
            weights = [
                weight if proxy.home == home else 0.01
                for weight, proxy in zip(weights, self.world.proxies, strict=True)
            ]
        self.world.weights = weights

    def _faults(self) -> list[Callable[[float], None]]:
        return [
            self._flapping_proxies,
            self._flapping_proxies,
            self._partition_proxies,
            self._partition_one_direction,
            self._partition_registries,
            self._partition_into_halves,
            self._restart_registries,
            self._restart_registries,
            self._wiped_registries,
            self._restart_proxies,
            self._frozen_registries,
            self._frozen_proxies,
            self._slow_registries,
            self._lossy,
            self._lost_loans,
            self._replaced_registry,
            self._added_registry,
            self._removed_registry,
            self._new_limits,
            self._slow_runs,
        ]

    def _draw_duration(self) -> float:
        """Return a random duration of a fault in s: mostly short, sometimes over a minute."""
        longest = 120.0 if self.day.end_s > END_S else 20.0
        return float(longest ** self.chance.random())

    def _partition(self, pairs: Iterable[tuple[str, str]], at: float, until: float) -> None:
        for pair in pairs:
            self.world.at(at, self.world.partitioned.add, pair)
            self.world.at(until, self.world.partitioned.discard, pair)

    def _sample(self, names: list[str]) -> list[str]:
        share = self.chance.choice((0.2, 0.5, 1.0))
        return [name for name in names if self.chance.random() < share] or names[:1]

    def _ips(self) -> list[str]:
        return sorted(self.world.registries)

    # Links

    def _flapping_proxies(self, at: float) -> None:
        turn, until = self.chance.choice((0.1, 0.3, 0.5, 1.0, 2.0)), at + self._draw_duration()
        for name in self._sample(self.names):
            since = at + self.chance.random() * 2 * turn
            while since < until:
                pairs = [(name, ip) for ip in self._ips()]
                self._partition(pairs + [(ip, name) for ip in self._ips()], since, since + turn)
                since += 2 * turn

    def _partition_proxies(self, at: float) -> None:
        until = at + self._draw_duration()
        for name in self._sample(self.names):
            self._partition(
                [(name, ip) for ip in self._ips()] + [(ip, name) for ip in self._ips()], at, until
            )

    def _partition_one_direction(self, at: float) -> None:
        until, to_proxy = at + self._draw_duration(), self.chance.random() < 0.5
        for name in self._sample(self.names):
            self._partition([(ip, name) if to_proxy else (name, ip) for ip in self._ips()], at, until)

    def _partition_registries(self, at: float) -> None:
        until = at + self._draw_duration()
        for ip in self._sample(self._ips()):
            others = [other for other in self._ips() if other != ip]
            self._partition([(ip, other) for other in others] + [(other, ip) for other in others], at, until)

    def _partition_into_halves(self, at: float) -> None:
        """Partition registries and proxies into two halves."""
        until = at + self._draw_duration()
        nodes = self._ips() + self.names
        first_half = set(self._sample(nodes))
        pairs = [
            (one, other) for one in nodes for other in nodes if (one in first_half) != (other in first_half)
        ]
        self._partition(pairs, at, until)

    def _lossy(self, at: float) -> None:
        self.world.at(at, setattr, self.world, "loss", self.chance.choice((0.02, 0.1, 0.4)))
        self.world.at(at + self._draw_duration(), setattr, self.world, "loss", 0.0)

    def _lost_loans(self, at: float) -> None:
        for name, share in (("lend_lost", 0.3), ("lend_doubled", 0.2)):
            self.world.at(at, setattr, self.world, name, share)

    def _slow_runs(self, at: float) -> None:
        self.world.at(at, setattr, self.world, "run_delay_s", 0.15)
        self.world.at(at + self._draw_duration(), setattr, self.world, "run_delay_s", 0.002)

    # Processes

    def _restart_registries(self, at: float) -> None:
        for ip in self._sample(self._ips()):
            self._restarts(ip, at, is_wiped=False)

    def _wiped_registries(self, at: float) -> None:
        for ip in self._sample(self._ips()):
            self._restarts(ip, at, is_wiped=True)

    def _restarts(self, ip: str, at: float, is_wiped: bool) -> None:
        for _ in range(self.chance.randint(1, 5)):
            away = self.chance.uniform(*DOWNTIME_RANGE_S)
            self.world.at(at, self.world.kill_registry, ip, is_wiped)
            self.world.at(at + away, self.world.start_registry, ip)
            at += away + self.chance.uniform(0.2, 3.0)

    def _restart_proxies(self, at: float) -> None:
        for number in range(len(self.names)):
            if self.chance.random() < 0.5:
                self.world.at(at + self.chance.random(), self.world.restart_proxy, number)

    def _frozen_registries(self, at: float) -> None:
        for ip in self._sample(self._ips()):
            self.world.at(at, self.world.freeze, ip)
            self.world.at(at + self._draw_duration(), self.world.thaw, ip)

    def _frozen_proxies(self, at: float) -> None:
        for name in self._sample(self.names):
            self.world.at(at, self.world.freeze, name)
            self.world.at(at + self._draw_duration(), self.world.thaw, name)

    def _slow_registries(self, at: float) -> None:
        until = at + self._draw_duration()
        for ip in self._sample(self._ips()):
            self.world.at(at, self.world.slow_down, ip, self.chance.choice((0.05, 0.12, 0.3)))
            self.world.at(until, self.world.slow_down, ip, 0.0)

    # The list and the limits

    def _new_ip(self) -> str:
        self.next_registry += 1
        return f"g{self.next_registry:02d}"

    def _added_registry(self, at: float) -> None:
        self.world.at(at, self.world.add_registry, self._new_ip())

    def _removed_registry(self, at: float) -> None:
        """Remove a registry from the list; its process keeps running, and may be partitioned from the others."""
        ip = self.chance.choice(self._ips())
        if self.chance.random() < 0.7:
            others = [other for other in self._ips() if other != ip]
            self._partition(
                [(ip, other) for other in others] + [(other, ip) for other in others],
                at,
                at + self._draw_duration(),
            )
        self.world.at(at + self.chance.random(), self.world.remove_registry, ip)

    def _replaced_registry(self, at: float) -> None:
        """Remove a registry that may be partitioned, and add another one while the removed process still runs."""
        self._removed_registry(at)
        self._added_registry(at + 1.0 + self.chance.random())

    def _new_limits(self, at: float) -> None:
        for _ in range(self.chance.randint(1, 4)):
            times = self.chance.choice((0.1, 0.5, 0.8, 1.5, 3.0))
            self.world.at(at, self.world.set_limit, self.day.rate * times, self.day.burst * times)
            at += self.chance.uniform(0.1, 5.0)


def play(seed: int) -> tuple[float, QuotaDay]:
    """Run the schedule of this seed; return the share of the worst window, and the schedule."""
    day = draw(seed)
    return QuotaDayPlayer(day).play(), day
