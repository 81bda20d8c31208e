"""The limits of one tenant that were in force shortly before, and the refill rate that they still allow.

A window that begins under one limit and ends under another may contain the stock of the first and the refill of
the second. If the first has the larger stock and the second the larger refill rate, their sum may exceed what
either of them allows. So the refill rate is bounded while permits of the former stock may still be in use. Time
is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from irisdeal.permits.allowance import Limit, QuotaRule, compute_allowance, refill_span_s


@dataclass(frozen=True, slots=True)
class FormerLimit:
    """A limit that was replaced. `relevant_until`: end of the time in s for which its permits may be in use."""

    limit: Limit
    relevant_until: float


class LimitHistory:
    """The limit under which a tenant's bucket issues permits, and its recent predecessors."""

    def __init__(self, limit: Limit, former: Sequence[FormerLimit] = ()) -> None:
        """`former`: limits of an earlier process."""
        self.limit = limit
        self.former = [each for each in former if each.limit != limit]

    def observe(self, limit: Limit, now: float, retention_s: float) -> None:
        """Apply the limit in force. `retention_s`: time for which permits of a former limit may be in use."""
        if self.former:
            self.former = [former for former in self.former if former.relevant_until > now]
        if limit != self.limit:
            self.former.append(FormerLimit(self.limit, now + retention_s))
            self.limit = limit

    def max_refill_per_s(self, rule: QuotaRule, issuers: int) -> float:
        """Return the bound of the refill rate of all buckets together; infinite without recent changes."""
        if not self.former:
            return float("inf")
        formers = (former.limit for former in self.former)
        return min(_bounds(rule, self.limit, formers, issuers))


def _bounds(rule: QuotaRule, limit: Limit, formers: Iterable[Limit], issuers: int) -> Iterable[float]:
    """Yield for each former limit the rate at which its stock and a window's refill sum to the larger limit."""
    for former in formers:
        largest = max(rule.allowed(limit), rule.allowed(former))
        yield (largest - compute_allowance(rule, former, issuers).stock) / refill_span_s(rule)
