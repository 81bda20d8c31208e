"""Usage totals over all proxies, per interval, summed by the registries.

Early in an interval each proxy reports its requests and concurrency of the previous interval to one registry. The
registry adds up its proxies' reports and sends the sum, with its proxies' identities, to the other registries. At
the end of that interval the total is final; every registry that received all sums has the same total. Totals only
control load shedding and concurrency bounds; rate limits are enforced by permits (`irisdeal/permits/`). Missing
and repeated messages:

- the last report of a proxy that stops reporting counts for `PROXY_RETENTION_S`;
- the last sum of a registry that stops sending counts for those of its proxies that have not reported to another
  registry since, and no longer once all of them have;
- a repeated report counts once, and one for a finished interval affects only the next total. If a registry
  received a report but did not reply in time, and the proxy then reports to another one, that proxy counts twice
  in one total: for one interval, the rejection probability is too large by the proxy's share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from irisdeal.ratelimit.interval_clock import INTERVAL_S
from irisdeal.ratelimit.messages import Usage, Usages

# How long the last report of a proxy counts: a partition of about 20 s, one window of the limits, and the time to
# detect the partition.
PROXY_RETENTION_S = 30.0
# Likewise for the last sum of a registry.
REGISTRY_RETENTION_S = 30.0
# Age of the last report, in intervals, from which a proxy counts as not reporting: two reports are missing.
MISSED_REPORT_INTERVALS = 2.4
# Proxies whose reports one registry stores.
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
    """The final total of interval `number`; `proxies`: the number of proxies it covers."""

    number: int
    proxies: int
    usages: Usages = field(default_factory=dict)


class IntervalCounter:
    """One registry's reports, sums and newest final total."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.reports: dict[int, ProxyReport] = {}
        self.sums: dict[str, RegistrySum] = {}
        self.total = IntervalTotal(-1, 1)

    def receive_report(self, proxy: int, number: int, usages: Usages, now: float) -> None:
        """Store a proxy's report of interval `number`; an older or repeated one only renews its time of receipt."""
        known = self.reports.get(proxy)
        if known is not None and known.number >= number:
            known.received_at = now
        elif known is not None or len(self.reports) < MAX_PROXIES:
            self.reports[proxy] = ProxyReport(number, now, usages)

    def receive_sum(
        self, registry: str, number: int, usages: Usages, proxies: Iterable[int], now: float
    ) -> None:
        """Store another registry's sum of interval `number`; an older or repeated one is ignored."""
        known = self.sums.get(registry)
        if known is None or known.number < number:
            self.sums[registry] = RegistrySum(number, now, usages, frozenset(proxies))

    def close_interval(self, number: int, now: float) -> RegistrySum:
        """Return this registry's sum of interval `number`; the caller adds the permits that are ready here."""
        reporting_elsewhere = self._reporting_elsewhere(number)
        usages: Usages = {}
        for proxy, report in list(self.reports.items()):
            age = now - report.received_at
            is_missing = age > MISSED_REPORT_INTERVALS * INTERVAL_S
            if age > PROXY_RETENTION_S or (is_missing and proxy in reporting_elsewhere):
                del self.reports[proxy]  # it has terminated, or reports to another registry now
            else:
                _add(usages, report.usages)
        own = RegistrySum(number, now, usages, frozenset(self.reports))
        self.sums[self.own_address] = own
        return own

    def _reporting_elsewhere(self, number: int) -> set[int]:
        """Return the proxies that other registries' sums of the last two intervals include."""
        proxies: set[int] = set()
        for registry, registry_sum in self.sums.items():
            if registry != self.own_address and registry_sum.number >= number - 1:
                proxies |= registry_sum.proxies
        return proxies

    def finish_interval(self, number: int, now: float) -> IntervalTotal:
        """Return the total of interval `number`, which is final."""
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
