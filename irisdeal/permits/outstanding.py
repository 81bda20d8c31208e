"""A registry's record of the permits that proxies have prefetched from it. Time is an argument.

A granted permit is outstanding until its proxy reports that it no longer holds it, or until the lease has
expired on the slowest clock. The state of the proxy's connection is irrelevant: a partitioned proxy may still
use its permits.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

# Validity of a proxy's permits on its own monotonic clock, from the sending of its last report that was answered.
LEASE_S = 4.0
# The same on the issuer's clock, with both clocks 2% off and messages in flight.
LEASE_GUARD_S = 4.3
# Proxy processes; the largest planned deployment has 1,500 proxies.
MAX_PROXIES = 8192


@dataclass(slots=True)
class Grant:
    """`count` permits of one tenant at one proxy; `expires_at`: s on the issuer's clock."""

    count: int
    expires_at: float


@dataclass(slots=True)
class ProxyGrants:
    """The grants of one proxy's process, by tenant.

    `sequence`: of the newest accepted report; `reported_at`: time of that report in s.
    """

    sequence: int
    reported_at: float
    grants: dict[str, Grant] = field(default_factory=dict)


class OutstandingPermits:
    """All permits that proxies have prefetched from this registry and may still use."""

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyGrants] = {}
        self.totals: dict[str, int] = {}  # tenant -> permits

    def total(self, tenant: str) -> int:
        """Return the number of permits of a tenant that may still be used, over all proxies."""
        return self.totals.get(tenant, 0)

    def record_report(self, proxy: int, sequence: int, unused: Mapping[str, int], now: float) -> bool:
        """Apply a proxy's report of its unused permits; False if it is outdated or there are too many proxies."""
        known = self.proxies.get(proxy)
        if known is None:
            if len(self.proxies) >= MAX_PROXIES:
                return False
            known = self.proxies[proxy] = ProxyGrants(-1, now)
        if sequence <= known.sequence:
            return False
        known.sequence, known.reported_at = sequence, now
        for tenant, grant in list(known.grants.items()):
            count = min(grant.count, unused.get(tenant, 0)) if grant.expires_at > now else 0
            self._set(known, tenant, count, grant.expires_at)
        return True

    def renew(self, proxy: int, tenant: str, count: int, now: float) -> None:
        """Grant `count` permits to the proxy for a complete lease, replacing its previous grant."""
        self._set(self.proxies[proxy], tenant, count, now + LEASE_GUARD_S)

    def count(self, proxy: int, tenant: str) -> int:
        """Return the number of permits of a tenant that this proxy may hold."""
        grant = self.proxies[proxy].grants.get(tenant)
        return grant.count if grant is not None else 0

    def _set(self, proxy: ProxyGrants, tenant: str, count: int, expires_at: float) -> None:
        before = proxy.grants.get(tenant)
        change = count - (before.count if before is not None else 0)
        if count > 0:
            proxy.grants[tenant] = Grant(count, expires_at)
        else:
            proxy.grants.pop(tenant, None)
        total = self.totals.get(tenant, 0) + change
        if total > 0:
            self.totals[tenant] = total
        else:
            self.totals.pop(tenant, None)

    def expire(self, now: float) -> None:
        """Remove proxies that have not reported for a complete lease; until then their grants count as usable."""
        for number, proxy in list(self.proxies.items()):
            if now < proxy.reported_at + LEASE_GUARD_S:
                continue
            for tenant in list(proxy.grants):
                self._set(proxy, tenant, 0, now)
            del self.proxies[number]
