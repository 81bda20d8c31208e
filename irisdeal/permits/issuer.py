"""One registry's issuing of permits: all tenants' buckets, what proxies hold, and the right to issue. No I/O
here."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from irisdeal.permits.allowance import Allowance, Limit, QuotaRule, allowance
from irisdeal.permits.authority import RESERVE_GUARD_S, IssuingAuthority
from irisdeal.permits.bucket import PermitBucket
from irisdeal.permits.messages import HeldReport, ReserveReply
from irisdeal.permits.outstanding import LEASE_GUARD_S, OutstandingPermits


class Claim(Enum):
    """What came of an ask for a permit."""

    GRANTED = 0
    EXHAUSTED = 1  # the tenant has none left here
    NOT_ISSUING = 2  # another registry has to be asked: this one may not issue, or does not know the tenant


class PermitIssuer:
    """The permits of one registry's process. `incarnation`: of the process; times are s of its steady clock."""

    def __init__(self, incarnation: int, rule: QuotaRule, authority: IssuingAuthority, now: float) -> None:
        self.incarnation, self.rule, self.authority, self.born = incarnation, rule, authority, now
        self.limits: Mapping[str, Limit] = {}
        self.buckets: dict[str, PermitBucket] = {}
        self.outstanding = OutstandingPermits()
        self.reserves_from = now + LEASE_GUARD_S  # a former life's grants may be used until then
        self.epoch = authority.epochs
        self._shares: dict[tuple[str, int, int], Allowance] = {}

    def configure(self, limits: Mapping[str, Limit]) -> None:
        """The tenants' limits of the newest configuration."""
        self.limits = limits
        self._shares.clear()
        for tenant in [tenant for tenant in self.buckets if tenant not in limits]:
            del self.buckets[tenant]

    def may_issue(self, age_s: float | None, now: float) -> bool:
        """Whether this registry may issue. `age_s`: of its knowledge of what is decided."""
        if self.epoch != self.authority.epochs:  # what an earlier entitlement issued is not known to be over
            self.epoch = self.authority.epochs
            self.buckets.clear()
            if (
                self.authority.entitled_at > self.born
            ):  # not all along: the former list's grants are to be over
                self.reserves_from = max(self.reserves_from, now + RESERVE_GUARD_S)
        return self.authority.may_issue(age_s, now)

    def bucket(self, tenant: str, now: float) -> PermitBucket:
        """The tenant's bucket, by its limit, the number of issuers and what proxies hold now."""
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = self._filled_since_start(tenant, now)
        share = self._share(tenant, now)
        bucket.change(share.refill_per_s, self._capacity(tenant, share, now), now)
        return bucket

    def _filled_since_start(self, tenant: str, now: float) -> PermitBucket:
        """A bucket from which nothing was taken since this process may issue, and of which proxies hold nothing."""
        share = self._share(tenant, now)
        since = min(now, max(self.born, self.authority.entitled_at))
        bucket = PermitBucket(share.refill_per_s, share.ready, since)
        if (
            now > self.reserves_from
        ):  # the part that a former life's holders might have used fills from then on
            bucket.change(share.refill_per_s, share.ready + share.reserved, self.reserves_from)
        return bucket

    def _capacity(self, tenant: str, share: Allowance, now: float) -> float:
        return share.ready + self._reserve_left(tenant, share, now)

    def _reserve_left(self, tenant: str, share: Allowance, now: float) -> float:
        """What proxies might hold and do not; none before a former life's grants are over."""
        if now < self.reserves_from:
            return 0.0
        return max(0.0, share.reserved - self.outstanding.total(tenant))

    def _share(self, tenant: str, now: float) -> Allowance:
        issuers, reserve_issuers = self.authority.issuers(now), self.authority.reserve_issuers(now)
        key = (tenant, issuers, reserve_issuers)
        share = self._shares.get(key)
        if share is None:
            whole = allowance(self.rule, self.limits[tenant], issuers)
            share = self._shares[key] = Allowance(
                whole.refill_per_s / issuers,
                whole.ready / issuers,
                whole.reserved / reserve_issuers,
            )
        return share

    def is_limited(self, tenant: str) -> bool:
        """Whether this tenant has a limit by what is known here."""
        limit = self.limits.get(tenant)
        return limit is not None and limit.is_limited

    def claim(self, tenant: str, age_s: float | None, now: float, is_late: bool = False) -> Claim:
        """A permit for one request of a tenant that has a limit, as its proxy knows."""
        limit = self.limits.get(tenant)
        if limit is None or not self.may_issue(age_s, now):
            return Claim.NOT_ISSUING
        if not limit.is_limited:  # no more: the proxy has not heard it yet
            return Claim.GRANTED
        return Claim.GRANTED if self.bucket(tenant, now).claim(now, is_late) else Claim.EXHAUSTED

    def report(self, report: HeldReport, age_s: float | None, now: float) -> ReserveReply:
        """A proxy's report of what it holds; what it may hold from now on."""
        held = report.held if report.incarnation == self.incarnation else {}
        is_newest = self.outstanding.report(report.holder, report.sequence, held, now)
        if not is_newest or not self.may_issue(age_s, now) or now < self.reserves_from:
            return ReserveReply(self.incarnation)
        changes: dict[str, int] = {}
        for tenant in held.keys() | report.wanted.keys():
            change = self._adjust(report.holder, tenant, report.wanted.get(tenant, 0), now)
            if change:
                changes[tenant] = change
        return ReserveReply(self.incarnation, True, changes)

    def _adjust(self, holder: int, tenant: str, wanted: int, now: float) -> int:
        """Renew what is held where all that is outstanding has room, and grant more. The change of what is held."""
        held = self.outstanding.held(holder, tenant)
        if not self.is_limited(tenant):
            return -held
        bucket = self.bucket(tenant, now)
        share = self._share(tenant, now)
        room = int(share.reserved) - self.outstanding.total(tenant)
        if (
            room < 0
        ):  # the reserve has become smaller: this part is given up, and is over with its lease at last
            return -held
        more = bucket.take_ahead(min(wanted - held, room), now) if wanted > held else 0
        if held or more:
            self.outstanding.renew(holder, tenant, held + more, now)
        return more

    def lend(self, tenant: str, wanted: int, kept: float, age_s: float | None, now: float) -> int:
        """Permits for another registry, gone here. `kept`: what our own proxies are likely to ask for soon."""
        if not self.is_limited(tenant) or not self.may_issue(age_s, now):
            return 0
        return self.bucket(tenant, now).lend(wanted, kept, now)

    def ready(self, tenant: str, now: float) -> float:
        """Permits of a tenant with a limit that are ready here."""
        bucket = self.buckets.get(tenant) or self._filled_since_start(tenant, now)
        return bucket.ready(now)

    def not_full(self, now: float) -> dict[str, float]:
        """Permits that are ready in buckets that are not full.

        Full ones of which proxies hold nothing are forgotten: a new one is as full.
        """
        self.outstanding.expire(now)
        levels = {}
        for tenant in list(self.buckets):
            bucket = self.bucket(tenant, now)
            if not bucket.is_full(now):
                levels[tenant] = bucket.ready(now)
            elif not self.outstanding.total(tenant) and now > self.reserves_from:
                del self.buckets[tenant]
        return levels
