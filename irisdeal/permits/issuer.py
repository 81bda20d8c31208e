"""One registry's issuing of permits: all tenants' buckets, prefetched permits and the authority to issue.

Does no I/O; times are in s of the process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum

from irisdeal.permits.allowance import Allowance, Limit, QuotaRule, compute_allowance, refill_span_s
from irisdeal.permits.authority import RESERVE_GUARD_S, IssuingAuthority
from irisdeal.permits.bucket import PermitBucket
from irisdeal.permits.limit_history import FormerLimit, LimitHistory
from irisdeal.permits.messages import PrefetchReply, PrefetchReport
from irisdeal.permits.outstanding import LEASE_GUARD_S, OutstandingPermits


class ClaimResult(Enum):
    """The result of a claim of a permit."""

    GRANTED = 0
    EXHAUSTED = 1  # the tenant has no permit left at this registry
    NOT_ISSUING = 2  # this registry may not issue, or has no such tenant; another one may grant the claim


class PermitIssuer:
    """The permits of one registry's process."""

    def __init__(self, incarnation: int, rule: QuotaRule, authority: IssuingAuthority, now: float) -> None:
        """`incarnation`: of this process, unique among all processes of all registries."""
        self.incarnation, self.rule, self.authority, self.started_at = incarnation, rule, authority, now
        self.limits: Mapping[str, Limit] = {}
        # Buckets are kept while permits issued from them may be in use within a window, whether the configuration
        # names the tenant or not; a new bucket is filled since the start of this process.
        self.buckets: dict[str, PermitBucket] = {}
        self.histories: dict[str, LimitHistory] = {}  # of the tenants with a bucket
        self.restored_limits: dict[str, list[FormerLimit]] = {}  # of an earlier process, by tenant
        # Time after which an issued permit is neither in use nor in any window that is still open
        self.retention_s = refill_span_s(rule) + LEASE_GUARD_S
        self.outstanding = OutstandingPermits()
        self.reserves_from = now + LEASE_GUARD_S  # until then, proxies may use grants of a former incarnation
        self.epoch = authority.epochs
        self._shares: dict[tuple[str, int, int], Allowance] = {}

    def configure(self, limits: Mapping[str, Limit]) -> None:
        """Apply the tenants' limits of the newest configuration."""
        self.limits = limits
        self._shares.clear()

    def restore_limits(self, recorded: Mapping[str, Sequence[Limit]], now: float) -> None:
        """Apply the limits, by tenant, under which an earlier process on this machine may have issued permits."""
        relevant_until = now + self.retention_s
        self.restored_limits = {
            tenant: [FormerLimit(limit, relevant_until) for limit in limits if limit.is_limited]
            for tenant, limits in recorded.items()
        }
        for tenant, history in self.histories.items():
            restored = self.restored_limits.get(tenant, ())
            history.former += [former for former in restored if former.limit != history.limit]

    def limits_to_record(self, now: float) -> dict[str, list[Limit]]:
        """Return each tenant's limit and the relevant former ones, for `restore_limits` after a restart."""
        recorded = {tenant: [limit] for tenant, limit in self.limits.items() if limit.is_limited}
        for tenant, history in self.histories.items():
            relevant = [former.limit for former in history.former if former.relevant_until > now]
            applied = recorded.setdefault(tenant, [])
            applied += [limit for limit in (history.limit, *relevant) if limit not in applied]
        for tenant, restored in self.restored_limits.items():
            if tenant not in self.histories and any(former.relevant_until > now for former in restored):
                applied = recorded.setdefault(tenant, [])
                applied += [former.limit for former in restored if former.limit not in applied]
        return recorded

    def may_issue(self, age_s: float | None, now: float) -> bool:
        """Whether this registry may issue permits.

        `age_s`: age of its last confirmation of the issuer list; None without any.
        """
        if self.epoch != self.authority.epochs:
            # Permits issued under an earlier entitlement may still be in use, so the buckets start empty.
            self.epoch = self.authority.epochs
            self.buckets.clear()
            self.histories.clear()
            if self.authority.entitled_at > self.started_at:
                # Membership was not continuous: leases granted by former members have to expire first.
                self.reserves_from = max(self.reserves_from, now + RESERVE_GUARD_S)
        return self.authority.may_issue(age_s, now)

    def bucket(self, tenant: str, now: float) -> PermitBucket:
        """Return the bucket of a tenant with a limit, adjusted to the limit, the issuers and prefetched permits."""
        bucket = self.buckets.get(tenant)
        share = self._share(tenant, now)
        if bucket is None:
            restored = self.restored_limits.get(tenant, ())
            self.histories[tenant] = LimitHistory(self.limits[tenant], restored)
            refill_per_s = self._refill_per_s(tenant, share, now)
            bucket = self.buckets[tenant] = self._filled_since_start(share, refill_per_s, now)
        bucket.change(self._refill_per_s(tenant, share, now), self._capacity(tenant, share, now), now)
        return bucket

    def _refill_per_s(self, tenant: str, share: Allowance, now: float) -> float:
        """Return this registry's refill rate, bounded while permits of a former limit may be in use."""
        history, issuers = self.histories[tenant], self.authority.issuers(now)
        history.observe(self.limits[tenant], now, self.retention_s)
        return min(share.refill_per_s, history.max_refill_per_s(self.rule, issuers) / issuers)

    def _filled_since_start(self, share: Allowance, refill_per_s: float, now: float) -> PermitBucket:
        """Return a bucket with all permits refilled since this process became entitled to issue."""
        since = min(now, max(self.started_at, self.authority.entitled_at))
        bucket = PermitBucket(refill_per_s, share.ready, since)
        if now > self.reserves_from:
            # Before, proxies may have held this share from a former incarnation.
            bucket.change(refill_per_s, share.ready + share.reserved, self.reserves_from)
        return bucket

    def _capacity(self, tenant: str, share: Allowance, now: float) -> float:
        return share.ready + self._free_reserve(tenant, share, now)

    def _free_reserve(self, tenant: str, share: Allowance, now: float) -> float:
        """Return the permits that proxies may still prefetch; 0 until grants of a former incarnation expired."""
        if now < self.reserves_from:
            return 0.0
        return max(0.0, share.reserved - self.outstanding.total(tenant))

    def _share(self, tenant: str, now: float) -> Allowance:
        issuers, reserve_issuers = self.authority.issuers(now), self.authority.reserve_issuers(now)
        key = (tenant, issuers, reserve_issuers)
        share = self._shares.get(key)
        if share is None:
            total = compute_allowance(self.rule, self.limits[tenant], issuers)
            share = self._shares[key] = Allowance(
                total.refill_per_s / issuers,
                total.ready / issuers,
                total.reserved / reserve_issuers,
            )
        return share

    def is_limited(self, tenant: str) -> bool:
        """Whether this tenant has a limit in the newest configuration of this process."""
        limit = self.limits.get(tenant)
        return limit is not None and limit.is_limited

    def claim(self, tenant: str, age_s: float | None, now: float, is_late: bool = False) -> ClaimResult:
        """Claim a permit for one request of a tenant that has a limit in its proxy's configuration.

        `age_s`: as in `may_issue`; `is_late`: the request's latency target has passed.
        """
        limit = self.limits.get(tenant)
        if limit is None or not self.may_issue(age_s, now):
            return ClaimResult.NOT_ISSUING
        # The limit was removed, and the proxy has not received that configuration yet.
        if not limit.is_limited:
            return ClaimResult.GRANTED
        return ClaimResult.GRANTED if self.bucket(tenant, now).claim(now, is_late) else ClaimResult.EXHAUSTED

    def handle_report(self, report: PrefetchReport, age_s: float | None, now: float) -> PrefetchReply:
        """Apply a proxy's report of its prefetched permits; return the change of the permits that it may hold."""
        unused = report.unused if report.incarnation == self.incarnation else {}
        is_newest = self.outstanding.record_report(report.proxy, report.sequence, unused, now)
        if not is_newest or not self.may_issue(age_s, now) or now < self.reserves_from:
            return PrefetchReply(self.incarnation)
        changes: dict[str, int] = {}
        for tenant in unused.keys() | report.wanted.keys():
            change = self._adjust(report.proxy, tenant, report.wanted.get(tenant, 0), now)
            if change:
                changes[tenant] = change
        return PrefetchReply(self.incarnation, True, changes)

    def _adjust(self, proxy: int, tenant: str, wanted: int, now: float) -> int:
        """Renew the proxy's permits and grant more as far as the reserve allows; return the change of its count."""
        count = self.outstanding.count(proxy, tenant)
        if not self.is_limited(tenant):
            return -count
        bucket = self.bucket(tenant, now)
        share = self._share(tenant, now)
        free = int(share.reserved) - self.outstanding.total(tenant)
        if free < 0:
            # The reserve has shrunk: revoke these permits, which expire with their lease at the latest.
            return -count
        more = bucket.prefetch(min(wanted - count, free), now) if wanted > count else 0
        if count or more:
            self.outstanding.renew(proxy, tenant, count + more, now)
            bucket.record_renewal(now)
        return more

    def lend(self, tenant: str, wanted: int, retained: float, age_s: float | None, now: float) -> int:
        """Lend up to `wanted` permits to another registry; `retained`: expected claims of this one's proxies."""
        if not self.is_limited(tenant) or not self.may_issue(age_s, now):
            return 0
        return self.bucket(tenant, now).lend(wanted, retained, now)

    def ready(self, tenant: str, now: float) -> float:
        """Return the permits of a tenant with a limit that are ready at this registry."""
        bucket = self.buckets.get(tenant)
        if bucket is None:
            share = self._share(tenant, now)
            bucket = self._filled_since_start(share, share.refill_per_s, now)
        return bucket.ready(now)

    def partly_used(self, now: float) -> dict[str, float]:
        """Return the ready permits of buckets that are not full, by tenant; delete buckets that are not needed."""
        self.outstanding.expire(now)
        levels = {}
        for tenant in list(self.buckets):
            level = self._level_if_partly_used(tenant, now)
            if level is not None:
                levels[tenant] = level
            elif self._is_unused(self.buckets[tenant], tenant, now):
                del self.buckets[tenant], self.histories[tenant]
        return levels

    def _level_if_partly_used(self, tenant: str, now: float) -> float | None:
        """Return the ready permits of a bucket that is not full; None if it is, or if its tenant has no limit."""
        if not self.is_limited(tenant):
            return None
        bucket = self.bucket(tenant, now)
        return None if bucket.is_full(now) else bucket.ready(now)

    def _is_unused(self, bucket: PermitBucket, tenant: str, now: float) -> bool:
        """Whether no permit of this bucket may be in use, so that a new and full one exceeds no window."""
        has_outstanding = self.outstanding.total(tenant) > 0 or now <= self.reserves_from
        return not has_outstanding and now > bucket.last_issue_at + self.retention_s
