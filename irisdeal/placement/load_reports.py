"""Requests in flight at each backend from the proxies of other registries, by their last reports. Does no I/O.

The reports identify backends by short keys to stay small, as they are sent frequently.
"""

from __future__ import annotations

import zlib

REPORT_TTL_S = 1.5  # age at which a registry's report no longer counts
REPORT_INTERVAL_S = 0.1  # about the typical latency of a backend
InFlightByKey = dict[int, int]  # short key of a backend's incarnation -> requests in flight


def short_key(id_: str) -> int:
    """Return a 24-bit hash of an incarnation's id.

    With 200 backends the probability of a collision is 1 in 1,000; the colliding backends are counted as one.
    """
    return zlib.crc32(id_.encode()) & 0xFFFFFF


class LoadReports:
    """The latest load reports of the other registries."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[float, InFlightByKey]] = {}

    def record(self, registry: str, in_flight: InFlightByKey, now: float) -> None:
        """Replace a registry's last report by this one. `now`: s."""
        self.reports[registry] = (now, in_flight)

    def total(self, now: float) -> InFlightByKey:
        """Return the sum over all registries whose last report has not expired, and drop expired reports."""
        total: InFlightByKey = {}
        for registry, (received_at, in_flight) in list(self.reports.items()):
            if now - received_at > REPORT_TTL_S:
                del self.reports[registry]
                continue
            for key, count in in_flight.items():
                total[key] = total.get(key, 0) + count
        return total
