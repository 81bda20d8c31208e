"""What proxies hold ahead, as their registry knows it. Time is an argument.

A permit that was granted counts until its holder has told that it holds it no more, or until the lease is over
on the slowest clock. Whether the holder's connection stands plays no part: a proxy that is cut off may still
use what it holds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

LEASE_S = 4.0  # s from its last report that a proxy may use what it holds, on its own steady clock
LEASE_GUARD_S = 4.3  # s likewise on the issuer's: both clocks 2% off, and what is on its way
MOST_HOLDERS = 8192  # the largest deployment planned for has 1,500 proxies


@dataclass(slots=True)
class Grant:
    """Permits of one tenant at one holder; `until`: s on our clock."""

    count: int
    until: float


@dataclass(slots=True)
class Holder:
    """One proxy's process, and the number of the newest report that counted."""

    sequence: int
    heard_at: float
    grants: dict[str, Grant] = field(default_factory=dict)


class OutstandingPermits:
    """All permits that this registry granted ahead and that may still be used."""

    def __init__(self) -> None:
        self.holders: dict[int, Holder] = {}
        self.totals: dict[str, int] = {}  # tenant -> permits

    def total(self, tenant: str) -> int:
        """Permits of a tenant that may still be used."""
        return self.totals.get(tenant, 0)

    def report(self, holder: int, sequence: int, held: Mapping[str, int], now: float) -> bool:
        """A proxy's own word of what it holds. False where a newer one was heard, or there is no room."""
        known = self.holders.get(holder)
        if known is None:
            if len(self.holders) >= MOST_HOLDERS:
                return False
            known = self.holders[holder] = Holder(-1, now)
        if sequence <= known.sequence:
            return False
        known.sequence, known.heard_at = sequence, now
        for tenant, grant in list(known.grants.items()):
            count = min(grant.count, held.get(tenant, 0)) if grant.until > now else 0
            self._set(known, tenant, count, grant.until)
        return True

    def renew(self, holder: int, tenant: str, count: int, now: float) -> None:
        """From now on the holder has `count` permits, for a whole lease."""
        self._set(self.holders[holder], tenant, count, now + LEASE_GUARD_S)

    def held(self, holder: int, tenant: str) -> int:
        """Permits that this holder may have."""
        grant = self.holders[holder].grants.get(tenant)
        return grant.count if grant is not None else 0

    def _set(self, holder: Holder, tenant: str, count: int, until: float) -> None:
        before = holder.grants.get(tenant)
        change = count - (before.count if before is not None else 0)
        if count > 0:
            holder.grants[tenant] = Grant(count, until)
        else:
            holder.grants.pop(tenant, None)
        total = self.totals.get(tenant, 0) + change
        if total > 0:
            self.totals[tenant] = total
        else:
            self.totals.pop(tenant, None)

    def expire(self, now: float) -> None:
        """Forget holders that are silent for a whole lease. Until then what they had counts, on the safe side."""
        for number, holder in list(self.holders.items()):
            if now < holder.heard_at + LEASE_GUARD_S:
                continue
            for tenant in list(holder.grants):
                self._set(holder, tenant, 0, now)
            del self.holders[number]
