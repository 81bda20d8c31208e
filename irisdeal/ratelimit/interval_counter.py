"""Totals of one interval after the other, summed by the registries over all proxies. No input or output here.

Each proxy tells one registry, early in an interval, what it was asked for and held in the interval before. The
registry adds up its proxies and tells the others the sum and who its proxies are; at the end of that interval
the total is finished: it does not change any more, and whoever reads it reads the same, as long as each sum
reached each registry. Totals steer the chance of refusal and what a proxy may hold at once; no limit hangs on
them, as permits keep the limits (`irisdeal/permits/`). What it means when somebody did not speak:

- a proxy that said nothing counts with its last report for `PROXY_KEPT_S`;
- a registry that said nothing counts with its last sum, for those of its proxies that no other registry has since
  heard; when all have moved it counts nothing;
- a report that comes twice counts once; one for an interval that is finished changes only the next total. A proxy
  whose report reached a registry that could not answer in time, and that tells another, counts twice in one total:
  the chance of refusal is then too large by its part, for one interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from irisdeal.ratelimit.interval_clock import LENGTH

PROXY_KEPT_S = (
    30.0  # that a silent proxy counts: a cut of some twenty seconds, a window, and the time to notice
)
REGISTRY_KEPT_S = 30.0  # likewise for a silent registry
SILENT_INTERVALS = 2.4  # without a report, then a proxy is silent: it missed two
MOST_PROXIES = 8192


@dataclass(slots=True)
class Usage:
    """One tenant in one interval. `asked`: requests, `late` of them too late for their aim; `held`: requests at
    backends or waiting, the mean over time; `ready`: permits left at the registries."""

    asked: float = 0.0
    held: float = 0.0
    ready: float = 0.0
    late: float = 0.0

    def add(self, other: Usage, share: float = 1.0) -> None:
        """Add a share of another's."""
        self.asked += share * other.asked
        self.held += share * other.held
        self.ready += share * other.ready
        self.late += share * other.late

    def encode(self) -> list[float]:
        """For the wire."""
        return [round(self.asked, 3), round(self.held, 3), round(self.ready, 3), round(self.late, 3)]

    @staticmethod
    def decode(told: Any) -> Usage:
        """ValueError, TypeError where it is none."""
        asked, held, ready, late = told
        return Usage(float(asked), float(held), float(ready), float(late))


Usages = dict[str, Usage]  # by tenant


def encode_usages(usages: Usages) -> dict[str, list[float]]:
    """For the wire."""
    return {tenant: usage.encode() for tenant, usage in usages.items()}


def decode_usages(told: Any) -> dict[str, Usage]:
    """ValueError, TypeError where it is none."""
    return {str(tenant): Usage.decode(usage) for tenant, usage in dict(told).items()}


@dataclass(slots=True)
class ProxyReport:
    """A proxy's last report."""

    number: int
    heard_at: float
    usages: Usages


@dataclass(slots=True)
class RegistrySum:
    """A registry's last sum, and who its proxies are."""

    number: int
    heard_at: float
    usages: Usages
    proxies: frozenset[int]


@dataclass(frozen=True, slots=True)
class Total:
    """A finished total."""

    number: int
    proxies: int
    usages: Usages = field(default_factory=dict)


class IntervalCounter:
    """One registry's counter."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.reports: dict[int, ProxyReport] = {}
        self.sums: dict[str, RegistrySum] = {}
        self.total = Total(-1, 1)

    def hear(self, proxy: int, number: int, usages: Usages, now: float) -> None:
        """A proxy's report of interval `number`; an older one, or the same again, is passed over."""
        known = self.reports.get(proxy)
        if known is not None and known.number >= number:
            known.heard_at = now
        elif known is not None or len(self.reports) < MOST_PROXIES:
            self.reports[proxy] = ProxyReport(number, now, usages)

    def hear_sum(
        self, registry: str, number: int, usages: Usages, proxies: Iterable[int], now: float
    ) -> None:
        """Another registry's sum."""
        known = self.sums.get(registry)
        if known is None or known.number < number:
            self.sums[registry] = RegistrySum(number, now, usages, frozenset(proxies))

    def close(self, number: int, now: float) -> RegistrySum:
        """Our own sum for interval `number`; the permits that are ready here are still to be added."""
        elsewhere = self._heard_elsewhere(number)
        sums: dict[str, Usage] = {}
        for proxy, report in list(self.reports.items()):
            age = now - report.heard_at
            is_silent = age > SILENT_INTERVALS * LENGTH
            if age > PROXY_KEPT_S or (is_silent and proxy in elsewhere):
                del self.reports[proxy]  # it ended, or tells another registry now
            else:
                _add(sums, report.usages)
        own = RegistrySum(number, now, sums, frozenset(self.reports))
        self.sums[self.own] = own
        return own

    def _heard_elsewhere(self, number: int) -> set[int]:
        """Proxies that another registry heard of late."""
        proxies: set[int] = set()
        for registry, told in self.sums.items():
            if registry != self.own and told.number >= number - 1:
                proxies |= told.proxies
        return proxies

    def finish(self, number: int, now: float) -> Total:
        """The total of interval `number`; it is not touched any more."""
        if number <= self.total.number:
            return self.total
        speaking = {registry for registry, told in self.sums.items() if told.number >= number}
        heard: set[int] = set()
        for registry in speaking:
            heard |= self.sums[registry].proxies
        proxies = set(heard)
        usages: dict[str, Usage] = {}
        for registry, told in list(self.sums.items()):
            if registry in speaking:
                _add(usages, told.usages)
            elif now - told.heard_at > REGISTRY_KEPT_S:
                del self.sums[registry]
            elif missing := told.proxies - heard:
                proxies |= missing
                _add(usages, told.usages, len(missing) / len(told.proxies))
        self.total = Total(number, max(1, len(proxies)), usages)
        return self.total


def _add(sums: dict[str, Usage], usages: Usages, share: float = 1.0) -> None:
    for tenant, usage in usages.items():
        sums.setdefault(tenant, Usage()).add(usage, share)
