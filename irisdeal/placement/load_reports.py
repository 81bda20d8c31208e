"""Requests in flight at each backend from the proxies of other registries, by their last reports. No I/O here.

Backends go by short keys in these reports, as the reports are frequent.
"""

from __future__ import annotations

import zlib

REPORT_KEPT_S = 1.5  # that a registry's report counts
REPORT_INTERVAL_S = 0.1  # between two reports of a registry: about the typical latency of a backend
InFlightByKey = dict[int, int]  # short key of a backend's incarnation -> requests


def short_key(id_: str) -> int:
    """Return 24 bits of a hash of an incarnation's id.

    With 200 backends two of them share a key with a chance of one in a thousand, and are then counted as one.
    """
    return zlib.crc32(id_.encode()) & 0xFFFFFF


class LoadReports:
    """The latest load reports of the other registries."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[float, InFlightByKey]] = {}

    def record(self, registry: str, in_flight: InFlightByKey, now: float) -> None:
        """Take a registry's report in place of its last one."""
        self.reports[registry] = (now, in_flight)

    def total(self, now: float) -> InFlightByKey:
        """Return the sum over all registries whose last report still counts."""
        total: InFlightByKey = {}
        for registry, (received_at, in_flight) in list(self.reports.items()):
            if now - received_at > REPORT_KEPT_S:
                del self.reports[registry]
                continue
            for key, count in in_flight.items():
                total[key] = total.get(key, 0) + count
        return total
