"""Totals over all proxies of one interval after the other, summed by the registries.

Early in an interval each proxy reports to one registry its requests and concurrency of the interval before.
The registry adds up its proxies' reports and sends the sum, with its proxies' identities, to the other
registries. At the end of that interval the total is finished and never changes again; every registry that
received all sums has the same total. Totals steer load shedding and concurrency bounds only; rate limits are
enforced by permits (`irisdeal/permits/`). Missing and repeated messages:

- a proxy that does not report counts with its last report for `PROXY_RETENTION_S`;
- a registry that does not send counts with its last sum, for those of its proxies that have not reported to
  another registry since; once all have moved it counts nothing;
- a report that arrives twice counts once; one for a finished interval changes only the next total. A proxy
  whose registry received a report without answering in time, and that reports to another, counts twice in one
  total: the rejection probability is then too large by its share, for one interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.messages import Usage, Usages

# s that a proxy which does not report still counts: a partition of some twenty seconds, a window of the
# limits, and the time until it is noticed.
PROXY_RETENTION_S = 30.0
# s likewise for a registry.
REGISTRY_RETENTION_S = 30.0
# Intervals without a report after which a proxy counts as not reporting: it has missed two.
MISSED_REPORT_INTERVALS = 2.4
# Proxies that a registry keeps reports of.
MAX_PROXIES = 8192


@dataclass(slots=True)
class ProxyReport:
    """A proxy's newest report: of interval `number`, received at `received_at` (s)."""

    number: int
    received_at: float
    usages: Usages


@dataclass(slots=True)
class RegistrySum:
    """A registry's newest sum: of interval `number`, received at `received_at` (s), over its `proxies`."""

    number: int
    received_at: float
    usages: Usages
    proxies: frozenset[int]


@dataclass(frozen=True, slots=True)
class IntervalTotal:
    """The finished total of interval `number`; `proxies`: how many it covers."""

    number: int
    proxies: int
    usages: Usages = field(default_factory=dict)


class IntervalCounter:
    """One registry's reports, sums and finished total."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.reports: dict[int, ProxyReport] = {}
        self.sums: dict[str, RegistrySum] = {}
        self.total = IntervalTotal(-1, 1)

    def receive_report(self, proxy: int, number: int, usages: Usages, now: float) -> None:
        """Take in a proxy's report of interval `number`.

        An older or repeated one only shows that it is there.
        """
        known = self.reports.get(proxy)
        if known is not None and known.number >= number:
            known.received_at = now
        elif known is not None or len(self.reports) < MAX_PROXIES:
            self.reports[proxy] = ProxyReport(number, now, usages)

    def receive_sum(
        self, registry: str, number: int, usages: Usages, proxies: Iterable[int], now: float
    ) -> None:
        """Take in another registry's sum of interval `number`; an older or repeated one is ignored."""
        known = self.sums.get(registry)
        if known is None or known.number < number:
            self.sums[registry] = RegistrySum(number, now, usages, frozenset(proxies))

    def close_interval(self, number: int, now: float) -> RegistrySum:
        """Return our own sum of interval `number`; the caller adds the permits that are ready here."""
        reporting_elsewhere = self._reporting_elsewhere(number)
        usages: Usages = {}
        for proxy, report in list(self.reports.items()):
            age = now - report.received_at
            is_missing = age > MISSED_REPORT_INTERVALS * INTERVAL_S
            if age > PROXY_RETENTION_S or (is_missing and proxy in reporting_elsewhere):
                del self.reports[proxy]  # it has ended, or reports to another registry now
            else:
                _add(usages, report.usages)
        own = RegistrySum(number, now, usages, frozenset(self.reports))
        self.sums[self.own_address] = own
        return own

    def _reporting_elsewhere(self, number: int) -> set[int]:
        """Return the proxies that have lately reported to another registry."""
        proxies: set[int] = set()
        for registry, registry_sum in self.sums.items():
            if registry != self.own_address and registry_sum.number >= number - 1:
                proxies |= registry_sum.proxies
        return proxies

    def finish_interval(self, number: int, now: float) -> IntervalTotal:
        """Return the total of interval `number`, which never changes again."""
        if number <= self.total.number:
            return self.total
        current = {registry for registry, registry_sum in self.sums.items() if registry_sum.number >= number}
        reported: set[int] = set()
        for registry in current:
            reported |= self.sums[registry].proxies
        proxies = set(reported)
        usages: Usages = {}
        for registry, registry_sum in list(self.sums.items()):
            if registry in current:
                _add(usages, registry_sum.usages)
            elif now - registry_sum.received_at > REGISTRY_RETENTION_S:
                del self.sums[registry]
            elif missing := registry_sum.proxies - reported:
                proxies |= missing
                _add(usages, registry_sum.usages, len(missing) / len(registry_sum.proxies))
        self.total = IntervalTotal(number, max(1, len(proxies)), usages)
        return self.total


def _add(sums: Usages, usages: Usages, share: float = 1.0) -> None:
    for tenant, usage in usages.items():
        sums.setdefault(tenant, Usage()).add(usage, share)
