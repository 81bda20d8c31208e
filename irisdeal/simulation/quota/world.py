"""Simulation of rate limits: how many of a tenant's requests run under floods and faults.

Issuing, authority and prefetched permits are the production code (`irisdeal/permits/`,
`registry/quota_service.py`); the network, the configuration store's decisions and the path of a request are
simulated here. The judge (`judge.py`) gets only the times at which
requests ran and limits were set.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping

from irisdeal.permits.allowance import Limit
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.issuer import ClaimResult
from irisdeal.permits.messages import LendRequest
from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.messages import IntervalReport, IntervalSum
from irisdeal.registry.quota_service import SUM_SEND_RATIO
from irisdeal.simulation.quota.judge import QuotaJudge
from irisdeal.simulation.quota.nodes import TENANT, Clock, ProxyNode, RegistryNode, TenantConfiguration

NETWORK_DELAY_S = 0.0014  # one way between two machines
CLAIM_TIMEOUT_S = 0.06  # for the reply to a proxy's claim
REPORT_TIMEOUT_S = 0.4  # for the reply to a proxy's report
AVOIDANCE_S = 0.5  # a registry that did not answer, or issues no permits, is skipped this long
CONTACT_INTERVAL_S = 0.2  # between a registry's contacts with the configuration store
MAX_SEND_DELAY_S = 0.35  # from the claim of its permit; later a request is refused
MAX_NOTIFY_S = 0.05  # within which a registry in contact is notified of a decision
MAX_APPLY_S = 2.0  # within which a proxy applies a configuration


class QuotaWorld:
    """Proxies, registries and tenants on a common schedule.

    `limit` and `judge` are those of the first tenant, `TENANT`.
    """

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
        """Set it up with one tenant of `rate` requests a second and `burst`.

        `drift`: clocks run up to this share too fast or too slow; `started`: the registries have long been members
        and have recorded the list of issuers.
        """
        self.chance = random.Random(seed)
        self.time, self.drift = 0.0, drift
        self.configuration = TenantConfiguration(0, {}, {})
        self.judges: dict[str, QuotaJudge] = {}
        self._add_tenant(TENANT, Limit(rate, rate if burst is None else burst))
        # Registries are notified of each version, and proxies also apply versions that were replaced meanwhile; a
        # limit binds only once no proxy has an older one.
        self.applies_each_version = False
        self.unapplied: list[
            tuple[int, QuotaJudge, int]
        ] = []  # version, and the setting of a judge that awaits it
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.number = self.incarnations = 0
        self.asked = self.refused = 0
        self.lend_lost = self.lend_doubled = self.loss = 0.0
        self.not_issuing_avoidance_s = AVOIDANCE_S  # for which a registry that issues no permits is skipped
        self.run_delay_s = 0.002  # mean time from a permit to the run
        self.down: set[str] = set()
        self.frozen: dict[str, list[tuple[Callable[..., None], tuple[object, ...]]]] = {}
        self.partitioned: set[tuple[str, str]] = set()  # ordered pairs: from, to
        self.slow: dict[str, float] = {}  # registry -> maximum s that it takes for a reply
        ips = [f"g{number}" for number in range(registries)]
        self.list = IssuerList(0, frozenset(ips))
        self.disks: dict[str, IssuerList] = {ip: self.list for ip in ips} if started else {}
        self.previous_disks: dict[str, IssuerList] = {}  # before the last write
        self.registries = {ip: self.new_registry(ip) for ip in ips}
        self.proxies = [self._proxy(number, number % registries) for number in range(proxies)]
        self.weights = [self.chance.paretovariate(1.2) for _ in range(proxies)]
        for ip in ips:
            self._start_timers(ip)
        for number in range(proxies):
            self.at(0.02 + self.chance.random() * 0.12, self._report, number)

    @property
    def limit(self) -> Limit:
        """The decided limit of the first tenant."""
        return self.configuration.limits[TENANT]

    @property
    def judge(self) -> QuotaJudge:
        """The judge of the first tenant."""
        return self.judges[TENANT]

    def worst(self) -> float:
        """Return the largest share of the allowed requests of any tenant that ran in any window."""
        return max(judge.worst() for judge in self.judges.values())

    def _add_tenant(self, tenant: str, limit: Limit) -> None:
        self.judges[tenant] = QuotaJudge(limit.rate_per_s, limit.burst)
        limits, owners = self.configuration.limits, self.configuration.owners
        self.configuration = TenantConfiguration(0, {**limits, tenant: limit}, {**owners, tenant: tenant})

    def add_tenant(self, tenant: str, limit: Limit) -> None:
        """Add a tenant with a key of the same name, before the first event; all proxies know it."""
        self._add_tenant(tenant, limit)
        for proxy in self.proxies:
            proxy.configure(self.configuration)

    def _next_incarnation(self) -> int:
        self.incarnations += 1
        return self.incarnations

    def _clock(self) -> Clock:
        speed = 1 + self.drift * (2 * self.chance.random() - 1)
        return Clock(lambda: self.time, speed, self.chance.uniform(100, 1000))

    def new_registry(self, ip: str) -> RegistryNode:
        """Return a new incarnation of a registry, with the list recorded on its disk."""
        return RegistryNode(ip, self._next_incarnation(), self._clock(), self.disks.get(ip), self._lend)

    def _proxy(self, number: int, home: int) -> ProxyNode:
        return ProxyNode(f"p{number}", self._next_incarnation(), home, self._clock(), self.configuration)

    def _start_timers(self, ip: str) -> None:
        self.at(self.time + 0.001 * self.chance.random(), self._contact, ip)
        self.at(self.time + SUM_SEND_RATIO * INTERVAL_S, self._sum, ip)

    # Events

    def at(self, at: float, act: Callable[..., None], *args: object) -> None:
        """Schedule a call at a time in s."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, act, args))

    def play(self, until: float) -> None:
        """Run until this time in s."""
        while self.events and self.events[0][0] < until:
            self.time, _, act, args = heapq.heappop(self.events)
            act(*args)

    def load(self, since: float, until: float, times: float, key: str = TENANT) -> None:
        """Schedule requests with a key at `times` its tenant's rate, at random proxies by their weights."""
        at, rate = since, self.configuration.limits[key].rate_per_s * times
        while (at := at + self.chance.expovariate(rate)) < until:
            number = self.chance.choices(range(len(self.proxies)), self.weights)[0]
            self.at(at, self._start_request, number, key)

    # Network

    def delivers(self, sender: str, receiver: str) -> bool:
        """Whether a message that is sent now reaches the receiver."""
        is_lost = self.loss and self.chance.random() < self.loss
        return not is_lost and receiver not in self.down and (sender, receiver) not in self.partitioned

    def _deliver(self, receiver: str, act: Callable[..., None], *args: object) -> None:
        """Call now, or once the receiver is no longer frozen."""
        if receiver in self.frozen:
            self.frozen[receiver].append((act, args))
        else:
            act(*args)

    # The configuration store

    def decide(self, machines: frozenset[str]) -> None:
        """Decide another list of issuers: first the union with the previous list, then the new list alone."""
        number = self.list.number + 1
        self.list = IssuerList(number, self.list.machines | machines)
        self.at(
            self.time + 0.1 + 0.4 * self.chance.random(), self._complete_change, IssuerList(number, machines)
        )

    def _complete_change(self, decided: IssuerList) -> None:
        if self.list.number == decided.number:
            self.list = decided

    def _contact(self, ip: str) -> None:
        """Contact the store from a registry at regular intervals."""
        self.at(self.time + CONTACT_INTERVAL_S, self._contact, ip)
        self._contact_once(ip)

    def _contact_once(self, ip: str) -> None:
        """Contact the store from a registry: succeeds if it and a majority of the list reach each other."""
        if ip in self.down or ip in self.frozen:
            return
        reached = [
            other
            for other in self.list.machines
            if other == ip
            or (
                other not in self.down
                and other not in self.frozen
                and self.delivers(ip, other)
                and self.delivers(other, ip)
            )
        ]
        if 2 * len(reached) > len(self.list.machines):
            node = self.registries[ip]
            node.have_contact(self.list, self.configuration.limits)
            record = node.authority.to_record(node.clock.now())
            if record is not None:
                if ip in self.disks:
                    self.previous_disks[ip] = self.disks[ip]
                self.disks[ip] = node.authority.recorded_list = record

    def set_limit(self, rate: float, burst: float, tenant: str = TENANT) -> None:
        """Decide another limit of a tenant, or add one that was removed; a rate of 0 is no limit."""
        self.judges[tenant].record_limit(self.time, rate, burst)
        self._decide_configuration({**self.configuration.limits, tenant: Limit(rate, burst)})
        if self.applies_each_version:
            judge = self.judges[tenant]
            self.unapplied.append((self.configuration.number, judge, judge.await_proxies()))

    def remove_tenant(self, tenant: str) -> None:
        """Decide a configuration without the tenant; proxies run its requests until they apply it."""
        limits = {name: limit for name, limit in self.configuration.limits.items() if name != tenant}
        self._decide_configuration(limits)

    def pass_key(self, key: str, tenant: str) -> None:
        """Decide that a key belongs to another tenant."""
        self._decide_configuration(self.configuration.limits, {**self.configuration.owners, key: tenant})

    def _decide_configuration(
        self, limits: Mapping[str, Limit], owners: Mapping[str, str] | None = None
    ) -> None:
        """Decide a configuration; reachable proxies apply it within `MAX_APPLY_S`."""
        before = self.configuration
        self.configuration = TenantConfiguration(
            before.number + 1, limits, before.owners if owners is None else owners
        )
        if self.applies_each_version:
            for ip in self.registries:
                self.at(self.time + MAX_NOTIFY_S * self.chance.random(), self._contact_once, ip)
        for number in range(len(self.proxies)):
            self.at(self.time + MAX_APPLY_S * self.chance.random(), self._apply, number, self.configuration)

    def _apply(self, number: int, configuration: TenantConfiguration) -> None:
        proxy = self.proxies[number]
        if proxy.configuration.number >= configuration.number:
            return
        if configuration != self.configuration and not self.applies_each_version:
            return
        if proxy.name in self.frozen or not any(self._reaches(proxy, ip) for ip in self.registries):
            self.at(self.time + 0.3, self._apply, number, configuration)
        else:
            proxy.configure(configuration)
            self._record_in_force()

    def _record_in_force(self) -> None:
        """Record the settings that are in force at all proxies by now."""
        if not self.unapplied:
            return
        oldest = min(proxy.configuration.number for proxy in self.proxies)
        for version, judge, setting in self.unapplied:
            if version <= oldest:
                judge.record_in_force(setting, self.time)
        self.unapplied = [each for each in self.unapplied if each[0] > oldest]

    # Between registries

    def _lend(self, borrower: str, lender: str, request: LendRequest) -> int:
        if lender in self.frozen or not self.delivers(borrower, lender):
            return 0
        service = self.registries[lender].service
        if self.chance.random() < self.lend_doubled:
            service.lend(request)
        lent = service.lend(request)
        is_lost = self.chance.random() < self.lend_lost or not self.delivers(lender, borrower)
        return 0 if is_lost else lent

    def _sum(self, ip: str) -> None:
        self.at(self.time + INTERVAL_S, self._sum, ip)
        if ip in self.down or ip in self.frozen:
            return
        service, number = self.registries[ip].service, int(self.time / INTERVAL_S) - 1
        registry_sum = service.close_interval(number)
        for other in self.registries:
            if other != ip and self.delivers(ip, other):
                self._deliver(other, self._receive_sum, other, registry_sum)
        service.finish_interval(number)

    def _receive_sum(self, ip: str, registry_sum: IntervalSum) -> None:
        self.registries[ip].service.receive_sum(registry_sum)

    # A proxy

    def _reaches(self, proxy: ProxyNode, ip: str) -> bool:
        return (
            ip not in self.down
            and ip not in self.frozen
            and not {(proxy.name, ip), (ip, proxy.name)} & self.partitioned
        )

    def _registries_in_order(self, proxy: ProxyNode) -> list[str]:
        ips = sorted(self.registries)
        turn = proxy.home % len(ips)
        return ips[turn:] + ips[:turn]

    def _start_request(self, number: int, key: str) -> None:
        proxy = self.proxies[number]
        self.asked += 1
        tenant = proxy.tenant_of(key)
        if tenant is None or not proxy.throttles[tenant].admit(self.chance.random()):
            self.refused += 1
            return
        order = self._registries_in_order(proxy)
        self._deliver(proxy.name, self._claim_from_next, number, proxy, order, self.time, tenant)

    def _claim_from_next(
        self, number: int, proxy: ProxyNode, remaining: list[str], started_at: float, tenant: str
    ) -> None:
        """Claim a permit at the next registry; if none is left, use a prefetched permit."""
        if not proxy.throttles[tenant].limit.is_limited:
            return self._run(self.time, tenant)
        while remaining:
            ip, remaining = remaining[0], remaining[1:]
            is_avoided = (
                max(proxy.unresponsive_until.get(ip, 0.0), proxy.without_permits_until.get(ip, 0.0))
                > self.time
            )
            if not is_avoided and ip not in self.down:
                return self._claim_from(number, proxy, ip, remaining, started_at, tenant)
        if proxy is self.proxies[number] and proxy.prefetched.consume(tenant, proxy.clock.now()):
            return self._run(self.time, tenant)
        self.refused += 1

    def _claim_from(
        self, number: int, proxy: ProxyNode, ip: str, remaining: list[str], started_at: float, tenant: str
    ) -> None:
        next_claim = (number, proxy, remaining, started_at, tenant)
        asked_at = self.time
        took = 2 * NETWORK_DELAY_S + self.slow.get(ip, 0.0) * self.chance.random()
        answers = ip not in self.frozen and took < CLAIM_TIMEOUT_S
        if not self.delivers(proxy.name, ip):
            answers = False
        else:
            claim = self._claim(ip, tenant)
            answers = answers and self.delivers(ip, proxy.name)
        if not answers:
            proxy.unresponsive_until[ip] = self.time + CLAIM_TIMEOUT_S + AVOIDANCE_S
            timed_out_at = self.time + CLAIM_TIMEOUT_S
            self.at(timed_out_at, self._deliver, proxy.name, self._claim_from_next, *next_claim)
            return
        match claim:
            case ClaimResult.GRANTED:
                self.at(asked_at + took, self._deliver, proxy.name, self._run, asked_at, tenant)
            case ClaimResult.NOT_ISSUING:
                proxy.without_permits_until[ip] = self.time + self.not_issuing_avoidance_s
                self.at(self.time + took, self._deliver, proxy.name, self._claim_from_next, *next_claim)
            case _ if proxy.prefetched.consume(tenant, proxy.clock.now()):
                self.at(self.time + took, self._deliver, proxy.name, self._run, asked_at, tenant)
            case _:
                self.refused += 1

    def _claim(self, ip: str, tenant: str) -> ClaimResult:
        """Handle a claim at a registry, even if its reply will be lost."""
        if ip in self.frozen:
            self.frozen[ip].append((self._claim_late, (ip, tenant)))
            return ClaimResult.NOT_ISSUING
        return self.registries[ip].claim(tenant)

    def _claim_late(self, ip: str, tenant: str) -> None:
        self.registries[ip].claim(tenant)

    def _run(self, asked_at: float, tenant: str) -> None:
        """Send a request with a permit to a backend, or refuse it if `MAX_SEND_DELAY_S` has passed."""
        sent_at = self.time + self.chance.expovariate(1 / self.run_delay_s)
        if sent_at < asked_at + MAX_SEND_DELAY_S:
            self.judges[tenant].record_run(sent_at + NETWORK_DELAY_S)
        else:
            self.refused += 1

    def _report(self, number: int) -> None:
        self.at(self.time + INTERVAL_S, self._report, number)
        proxy = self.proxies[number]
        if proxy.name in self.frozen:
            return
        interval, usages = int(self.time / INTERVAL_S) - 1, proxy.close()
        for ip in self._registries_in_order(proxy):
            if ip in self.down:
                continue
            report, sent_at = proxy.report(ip, interval, usages), proxy.clock.now()
            if not self._reaches(proxy, ip) or not self.delivers(proxy.name, ip):
                if ip in self.frozen:
                    self.frozen[ip].append((self._receive_late_report, (ip, proxy.name, report)))
                return
            delay = self.slow.get(ip, 0.0) * self.chance.random() * 4
            self.at(self.time + NETWORK_DELAY_S + delay, self._receive_report, ip, proxy, report, sent_at)
            return

    def _receive_late_report(self, ip: str, name: str, report: IntervalReport) -> None:
        self.registries[ip].service.report(name, report)

    def _receive_report(self, ip: str, proxy: ProxyNode, report: IntervalReport, sent_at: float) -> None:
        if ip in self.down or ip in self.frozen:
            return
        reply = self.registries[ip].service.report(proxy.name, report)
        if (
            not self.delivers(ip, proxy.name)
            or proxy.clock.now() - sent_at > REPORT_TIMEOUT_S
            or proxy.name in self.frozen
        ):
            return  # the reply is lost, or too late
        proxy.prefetched.receive_reply(ip, reply.reserve, sent_at, proxy.clock.now())
        if reply.number > proxy.newest_total and reply.totals:
            proxy.newest_total = reply.number
            for tenant, throttle in proxy.throttles.items():
                throttle.update_total(reply.totals.get(tenant, Usage()))

    # Faults

    def lose_last_write(self, ip: str) -> None:
        """Restore a registry's disk to its state before the last write."""
        if ip in self.previous_disks:
            self.disks[ip] = self.previous_disks[ip]

    def kill_registry(self, ip: str, is_wiped: bool = False) -> None:
        """End a registry's process; `is_wiped`: its disk is lost too."""
        self.down.add(ip)
        self.frozen.pop(ip, None)
        if is_wiped:
            self.disks.pop(ip, None)

    def start_registry(self, ip: str) -> None:
        """Start a new incarnation of a registry that is down."""
        if ip in self.down:
            self.down.discard(ip)
            self.registries[ip] = self.new_registry(ip)

    def add_registry(self, ip: str) -> None:
        """Start a registry on a new machine, and add it to the list."""
        self.registries[ip] = self.new_registry(ip)
        self._start_timers(ip)
        for proxy in self.proxies:
            if self.chance.random() < 1 / len(self.registries):
                proxy.home = sorted(self.registries).index(ip)
        self.decide(self.list.machines | {ip})

    def remove_registry(self, ip: str) -> None:
        """Remove a registry from the list; its process keeps running."""
        if len(self.list.machines) > 1:
            self.decide(self.list.machines - {ip})

    def restart_proxy(self, number: int) -> None:
        """Start a new incarnation of a proxy, without permits."""
        self.frozen.pop(self.proxies[number].name, None)
        self.proxies[number] = self._proxy(number, self.proxies[number].home)

    def slow_down(self, ip: str, seconds: float) -> None:
        """Let a registry take up to `seconds` for a reply."""
        self.slow[ip] = seconds

    def freeze(self, name: str) -> None:
        """Pause a process; messages to it are queued until it resumes."""
        if name not in self.down:
            self.frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        for act, args in self.frozen.pop(name, []):
            act(*args)
