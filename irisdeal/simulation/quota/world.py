"""Proxies and registries on one clock: what a tenant gets of its quota under floods and faults.

The issuing side and what proxies hold are the program's own code (`irisdeal/permits/`,
`registry/quota_service.py`); links, the store's decisions and a request's way are played here. The judge
(`quota_judge.py`) knows only what ran when.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from irisdeal.permits.allowance import Limit
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.issuer import ClaimResult
from irisdeal.permits.messages import LendRequest
from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.registry.messages import IntervalReport, IntervalSum
from irisdeal.registry.quota_service import SUM_AT
from irisdeal.simulation.quota.judge import QuotaJudge
from irisdeal.simulation.quota.nodes import TENANT, Clock, ProxyNode, RegistryNode

WAY_S = 0.0014  # between two machines
PLACE_S = 0.06  # that a proxy waits for an answer to a request
REPORT_S = 0.4  # likewise to a report
LEFT_S = 0.5  # that a registry which was silent, or gives no permits, is not asked
CONTACT_S = 0.2  # between two rounds of a registry with the store
SEND_WITHIN_S = 0.35  # of the ask for a permit
MOST_APPLY_S = 2.0  # that a proxy takes a configuration into force in


class QuotaWorld:
    """`proxies` and `registries`, and one tenant of `rate` and `burst`."""

    def __init__(
        self,
        proxies: int,
        registries: int,
        rate: float,
        seed: int,
        burst: float | None = None,
        drift: float = 0.0,
        started: bool = True,
    ) -> None:
        """`drift`: clocks run up to this share too fast or too slow; `started`: the registries stand since long."""
        self.chance = random.Random(seed)
        self.time, self.drift = 0.0, drift
        self.limit = Limit(rate, rate if burst is None else burst)
        self.judge = QuotaJudge(self.limit.rate_per_s, self.limit.burst)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = self.incarnations = 0
        self.asked = self.refused = 0
        self.lend_lost = self.lend_doubled = self.loss = 0.0
        self.run_delay_s = 0.002  # the mean, from a permit to the run
        self.down: set[str] = set()
        self.frozen: dict[str, list[tuple[Callable[..., None], tuple[Any, ...]]]] = {}
        self.cut: set[tuple[str, str]] = set()  # ordered pairs: from, to
        self.slow: dict[str, float] = {}  # registry -> s that it takes for an answer
        ips = [f"g{number}" for number in range(registries)]
        self.list = IssuerList(0, frozenset(ips))
        self.disks: dict[str, IssuerList] = {ip: self.list for ip in ips} if started else {}
        self.registries = {ip: self.new_registry(ip) for ip in ips}
        self.proxies = [self._proxy(number, number % registries) for number in range(proxies)]
        self.weights = [self.chance.paretovariate(1.2) for _ in range(proxies)]
        for ip in ips:
            self._start_timers(ip)
        for number in range(proxies):
            self.at(0.02 + self.chance.random() * 0.12, self._report, number)

    def _life(self) -> int:
        self.incarnations += 1
        return self.incarnations

    def _clock(self) -> Clock:
        speed = 1 + self.drift * (2 * self.chance.random() - 1)
        return Clock(lambda: self.time, speed, self.chance.uniform(100, 1000))

    def new_registry(self, ip: str) -> RegistryNode:
        """A life of a registry, with what is on its disk."""
        return RegistryNode(ip, self._life(), self._clock(), self.disks.get(ip), self._lend)

    def _proxy(self, number: int, home: int) -> ProxyNode:
        return ProxyNode(f"p{number}", self._life(), home, self._clock(), self.limit)

    def _start_timers(self, ip: str) -> None:
        self.at(self.time + 0.001 * self.chance.random(), self._contact, ip)
        self.at(self.time + SUM_AT * INTERVAL_S, self._sum, ip)

    # Events

    def at(self, at: float, act: Callable[..., None], *given: Any) -> None:
        """Do this then."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, act, given))

    def play(self, until: float) -> None:
        """Up to this second."""
        while self.events and self.events[0][0] < until:
            self.time, _, act, given = heapq.heappop(self.events)
            act(*given)

    def load(self, since: float, until: float, times: float) -> None:
        """The tenant asks for `times` its rate of now, at random proxies by their weights."""
        at, rate = since, self.limit.rate_per_s * times
        while (at := at + self.chance.expovariate(rate)) < until:
            self.at(at, self._ask, self.chance.choices(range(len(self.proxies)), self.weights)[0])

    # Links

    def hears(self, sender: str, receiver: str) -> bool:
        """Whether what one sends now comes to the other."""
        is_lost = self.loss and self.chance.random() < self.loss
        return not is_lost and receiver not in self.down and (sender, receiver) not in self.cut

    def _deliver(self, receiver: str, act: Callable[..., None], *given: Any) -> None:
        """Now, or once the receiver goes on."""
        if receiver in self.frozen:
            self.frozen[receiver].append((act, given))
        else:
            act(*given)

    # The store

    def decide(self, machines: frozenset[str]) -> None:
        """Another list of the core: joint with the one before it, then alone."""
        number = self.list.number + 1
        self.list = IssuerList(number, self.list.machines | machines)
        self.at(self.time + 0.1 + 0.4 * self.chance.random(), self._settle, IssuerList(number, machines))

    def _settle(self, settled: IssuerList) -> None:
        if self.list.number == settled.number:
            self.list = settled

    def _contact(self, ip: str) -> None:
        """A registry's round with the store: in contact where it and a majority of the list hear each other."""
        self.at(self.time + CONTACT_S, self._contact, ip)
        if ip in self.down or ip in self.frozen:
            return
        reached = [
            other
            for other in self.list.machines
            if other == ip
            or (
                other not in self.down
                and other not in self.frozen
                and self.hears(ip, other)
                and self.hears(other, ip)
            )
        ]
        if 2 * len(reached) > len(self.list.machines):
            node = self.registries[ip]
            node.have_contact(self.list, {TENANT: self.limit})
            record = node.authority.to_record(node.clock.now())
            if record is not None:
                self.disks[ip] = node.authority.recorded = record

    def set_limit(self, rate: float, burst: float) -> None:
        """The operator's change is decided; proxies take it into force within `MOST_APPLY_S`, where they hear
        it."""
        self.limit = Limit(rate, burst)
        self.judge.note_limit(self.time, rate, burst)
        for number in range(len(self.proxies)):
            self.at(self.time + MOST_APPLY_S * self.chance.random(), self._apply, number, self.limit)

    def _apply(self, number: int, limit: Limit) -> None:
        proxy = self.proxies[number]
        if limit != self.limit:
            return
        if proxy.name in self.frozen or not any(self._reaches(proxy, ip) for ip in self.registries):
            self.at(self.time + 0.3, self._apply, number, limit)
        else:
            proxy.configure(limit)

    # Between registries

    def _lend(self, borrower: str, lender: str, request: LendRequest) -> int:
        if lender in self.frozen or not self.hears(borrower, lender):
            return 0
        service = self.registries[lender].service
        if self.chance.random() < self.lend_doubled:
            service.lend(request)
        lent = service.lend(request)
        is_lost = self.chance.random() < self.lend_lost or not self.hears(lender, borrower)
        return 0 if is_lost else lent

    def _sum(self, ip: str) -> None:
        self.at(self.time + INTERVAL_S, self._sum, ip)
        if ip in self.down or ip in self.frozen:
            return
        service, number = self.registries[ip].service, int(self.time / INTERVAL_S) - 1
        told = service.close(number)
        for other in self.registries:
            if other != ip and self.hears(ip, other):
                self._deliver(other, self._hear_sum, other, told)
        service.finish(number)

    def _hear_sum(self, ip: str, told: IntervalSum) -> None:
        self.registries[ip].service.receive_sum(told)

    # A proxy

    def _reaches(self, proxy: ProxyNode, ip: str) -> bool:
        return (
            ip not in self.down
            and ip not in self.frozen
            and not {(proxy.name, ip), (ip, proxy.name)} & self.cut
        )

    def _order(self, proxy: ProxyNode) -> list[str]:
        ips = sorted(self.registries)
        turn = proxy.home % len(ips)
        return ips[turn:] + ips[:turn]

    def _ask(self, number: int) -> None:
        proxy = self.proxies[number]
        self.asked += 1
        if not proxy.companion.admit(self.chance.random()):
            self.refused += 1
        else:
            self._deliver(proxy.name, self._ask_next, number, proxy, self._order(proxy), self.time)

    def _ask_next(self, number: int, proxy: ProxyNode, left: list[str], begun: float) -> None:
        """Ask the next registry for a permit; without any, use one that is held."""
        while left:
            ip, left = left[0], left[1:]
            is_left = (
                max(proxy.silent_until.get(ip, 0.0), proxy.without_permits_until.get(ip, 0.0)) > self.time
            )
            if not is_left and ip not in self.down:
                return self._ask_one(number, proxy, ip, left, begun)
        if proxy is self.proxies[number] and proxy.held.consume(TENANT, proxy.clock.now()):
            return self._run(self.time)
        self.refused += 1

    def _ask_one(self, number: int, proxy: ProxyNode, ip: str, left: list[str], begun: float) -> None:
        asked_at = self.time
        took = 2 * WAY_S + self.slow.get(ip, 0.0) * self.chance.random()
        answers = ip not in self.frozen and took < PLACE_S
        if not self.hears(proxy.name, ip):
            answers = False
        else:
            claim = self._claim(ip)
            answers = answers and self.hears(ip, proxy.name)
        if not answers:
            proxy.silent_until[ip] = self.time + PLACE_S + LEFT_S
            self.at(
                self.time + PLACE_S, self._deliver, proxy.name, self._ask_next, number, proxy, left, begun
            )
            return
        match claim:
            case ClaimResult.GRANTED:
                self.at(asked_at + took, self._deliver, proxy.name, self._run, asked_at)
            case ClaimResult.NOT_ISSUING:
                proxy.without_permits_until[ip] = self.time + LEFT_S
                self.at(
                    self.time + took, self._deliver, proxy.name, self._ask_next, number, proxy, left, begun
                )
            case _ if proxy.held.consume(TENANT, proxy.clock.now()):
                self.at(self.time + took, self._deliver, proxy.name, self._run, asked_at)
            case _:
                self.refused += 1

    def _claim(self, ip: str) -> ClaimResult:
        """What the registry does with an ask, answered or not."""
        if ip in self.frozen:
            self.frozen[ip].append((self._claim_late, (ip,)))
            return ClaimResult.NOT_ISSUING
        return self.registries[ip].claim()

    def _claim_late(self, ip: str) -> None:
        self.registries[ip].claim()

    def _run(self, asked_at: float) -> None:
        """A request with a permit goes to a backend, in its time or not at all."""
        sent_at = self.time + self.chance.expovariate(1 / self.run_delay_s)
        if sent_at < asked_at + SEND_WITHIN_S:
            self.judge.note_run(sent_at + WAY_S)
        else:
            self.refused += 1

    def _report(self, number: int) -> None:
        self.at(self.time + INTERVAL_S, self._report, number)
        proxy = self.proxies[number]
        if proxy.name in self.frozen:
            return
        interval, usage = int(self.time / INTERVAL_S) - 1, proxy.close()
        for ip in self._order(proxy):
            if ip in self.down:
                continue
            report, sent_at = proxy.report(ip, interval, usage), proxy.clock.now()
            if not self._reaches(proxy, ip) or not self.hears(proxy.name, ip):
                if ip in self.frozen:
                    self.frozen[ip].append((self._hear_late_report, (ip, proxy.name, report)))
                return
            delay = self.slow.get(ip, 0.0) * self.chance.random() * 4
            self.at(self.time + WAY_S + delay, self._hear_report, ip, proxy, report, sent_at)
            return

    def _hear_late_report(self, ip: str, name: str, report: IntervalReport) -> None:
        self.registries[ip].service.report(name, report)

    def _hear_report(self, ip: str, proxy: ProxyNode, report: IntervalReport, sent_at: float) -> None:
        if ip in self.down or ip in self.frozen:
            return
        reply = self.registries[ip].service.report(proxy.name, report)
        if (
            not self.hears(ip, proxy.name)
            or proxy.clock.now() - sent_at > REPORT_S
            or proxy.name in self.frozen
        ):
            return  # its answer is lost, or too late to count
        proxy.held.receive_reply(ip, reply.reserve, sent_at, proxy.clock.now())
        if reply.number > proxy.newest_total and TENANT in reply.totals:
            proxy.newest_total = reply.number
            proxy.companion.update_total(reply.totals[TENANT])

    # Faults

    def kill_registry(self, ip: str, is_wiped: bool = False) -> None:
        """Its process ends; its disk may be lost too."""
        self.down.add(ip)
        self.frozen.pop(ip, None)
        if is_wiped:
            self.disks.pop(ip, None)

    def start_registry(self, ip: str) -> None:
        """Another life of it begins."""
        if ip in self.down:
            self.down.discard(ip)
            self.registries[ip] = self.new_registry(ip)

    def add_registry(self, ip: str) -> None:
        """A new machine, and the list is decided to have it."""
        self.registries[ip] = self.new_registry(ip)
        self._start_timers(ip)
        for proxy in self.proxies:
            if self.chance.random() < 1 / len(self.registries):
                proxy.home = sorted(self.registries).index(ip)
        self.decide(self.list.machines | {ip})

    def remove_registry(self, ip: str) -> None:
        """The list is decided to be without it; its process goes on."""
        if len(self.list.machines) > 1:
            self.decide(self.list.machines - {ip})

    def restart_proxy(self, number: int) -> None:
        """Another life of it begins, which holds nothing."""
        self.frozen.pop(self.proxies[number].name, None)
        self.proxies[number] = self._proxy(number, self.proxies[number].home)

    def slow_down(self, ip: str, seconds: float) -> None:
        """A registry takes up to so long for an answer."""
        self.slow[ip] = seconds

    def freeze(self, name: str) -> None:
        """It stands still: what comes waits, and is worked on once it goes on."""
        if name not in self.down:
            self.frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """It goes on."""
        for act, given in self.frozen.pop(name, []):
            act(*given)
