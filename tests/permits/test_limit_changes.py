"""Limits that appear, go and change: no window holds more than the largest limit in force allows."""

from __future__ import annotations

import random
from collections import deque

import pytest

from irisdeal.permits.allowance import Limit, QuotaRule
from irisdeal.permits.authority import IssuerList, IssuingAuthority
from irisdeal.permits.issuer import ClaimResult, PermitIssuer
from irisdeal.permits.messages import PrefetchReport
from irisdeal.permits.prefetched import PrefetchedPermits

RULE = QuotaRule()
LISTED = IssuerList(3, frozenset({"a", "b", "c", "d"}))
CONFIRMED_AGE_S = 0.1
STEP_S = 0.005
ABSENT_S = 0.05
# From a change of a limit until the former one is no longer enforced: an `apply_ms` of 3 s, and one window.
ENFORCED_AFTER_S = 3.0 + RULE.window_s


def make_issuer(limits: dict[str, Limit], started_at: float = 0.0) -> PermitIssuer:
    """Return one issuer of four that has been a member for long."""
    authority = IssuingAuthority("a")
    authority.restore_recorded(LISTED, started_at)
    authority.observe_list(LISTED, started_at)
    issuer = PermitIssuer(1, RULE, authority, started_at)
    issuer.configure(limits)
    return issuer


class Window:
    """Compares the admissions in a sliding window with the issuer's part of the largest limit."""

    def __init__(self) -> None:
        self.admitted: deque[float] = deque()
        self.limits: list[tuple[float, Limit]] = []  # time until which a limit may be enforced
        self.worst = 0.0

    def admit(self, now: float, limit: Limit) -> None:
        """Record an admission."""
        self.admitted.append(now)
        while self.admitted[0] <= now - RULE.window_s:
            self.admitted.popleft()
        allowed = max(RULE.allowed(each) for each in (limit, *self._enforced(now)))
        self.worst = max(self.worst, len(self.admitted) / (allowed / len(LISTED.machines)))

    def replace(self, limit: Limit, now: float) -> None:
        """Record that a limit was replaced."""
        self.limits.append((now + ENFORCED_AFTER_S, limit))

    def _enforced(self, now: float) -> list[Limit]:
        return [limit for until, limit in self.limits if until > now - RULE.window_s]


def flood(changes: dict[float, Limit | None], first: Limit, idle: tuple[float, float] = (0.0, 0.0)) -> float:
    """Claim at far over the limit from 10 to 25 s, but not in `idle`; return the worst window.

    `changes`: the limits decided at these times; None removes the tenant.
    """
    issuer, window, limit = make_issuer({"t": first}), Window(), first
    pending = sorted(changes.items())
    now = 10.0
    while now < 25.0:
        while pending and pending[0][0] <= now:
            changed = pending.pop(0)[1]
            issuer.configure({"t": changed} if changed is not None else {})
            if changed is not None and changed != limit:
                window.replace(limit, now)
                limit = changed
        if int(now / STEP_S) % 100 == 0:
            issuer.partly_used(now)
        if not idle[0] <= now < idle[1]:
            while issuer.claim("t", CONFIRMED_AGE_S, now) is ClaimResult.GRANTED and limit.is_limited:
                window.admit(now, limit)
        now += STEP_S
    return window.worst


# Guards against QUOTA: a tenant that a configuration left out had a full bucket when it was named again.
@pytest.mark.parametrize(
    "limit", [Limit(30.0, 30.0), Limit(100.0, 300.0), Limit(5.0, 5.0), Limit(0.5), Limit(2.0, 50.0)]
)
@pytest.mark.parametrize("times", [(12.0,), (12.0, 13.0, 14.0), (12.0, 12.2, 12.4, 12.6, 12.8, 17.0)])
def test_a_tenant_that_is_removed_and_added_again_is_issued_no_permit_twice(
    limit: Limit, times: tuple[float, ...]
) -> None:
    changes: dict[float, Limit | None] = {}
    for at in times:
        changes |= {at: None, at + ABSENT_S: limit}
    assert flood(changes, limit) <= 1.0


# Guards against QUOTA: a bucket deleted as full under a low limit was made anew, full under the raised one.
@pytest.mark.parametrize(
    ("low", "high"), [(Limit(1.0), Limit(30.0, 30.0)), (Limit(5.0, 5.0), Limit(30.0, 750.0))]
)
def test_a_limit_that_is_lowered_and_raised_in_turns_issues_no_permit_twice(low: Limit, high: Limit) -> None:
    issuer, window, now = make_issuer({"t": high}), Window(), 10.0
    for turn in range(40):
        limit = (low, high)[turn % 2]
        issuer.configure({"t": limit})
        window.replace((low, high)[1 - turn % 2], now)
        for _ in range(50):
            now += STEP_S
            # Nobody asks while the limit is low.
            while limit is high and issuer.claim("t", CONFIRMED_AGE_S, now) is ClaimResult.GRANTED:
                window.admit(now, limit)
        issuer.partly_used(now)
    assert window.worst <= 1.0


# Guards against QUOTA: a window held the stock of the former limit, and the refill of the new one.
@pytest.mark.parametrize("changed_at", [12.0, 12.1, 13.0, 14.5])
def test_the_stock_of_a_former_limit_and_the_refill_of_the_next_share_a_window(changed_at: float) -> None:
    assert flood({changed_at: Limit(100.0)}, Limit(1.0, 300.0), idle=(10.0, 12.0)) <= 1.0


def test_a_raised_limit_counts_at_once() -> None:
    changes: dict[float, Limit | None] = {12.0: Limit(300.0, 300.0)}
    assert 0.8 <= flood(changes, Limit(30.0, 30.0)) <= 1.0


def test_a_tenant_without_a_limit_in_between_is_issued_no_permit_twice() -> None:
    limit = Limit(30.0, 30.0)
    changes: dict[float, Limit | None] = {12.0: Limit(), 12.1: limit, 12.6: Limit(), 12.7: limit}
    assert flood(changes, limit) <= 1.0


def _random_limit(rng: random.Random) -> Limit | None:
    rate = rng.choice((0.5, 3.0, 30.0, 200.0))
    return rng.choice((None, Limit(rate, rate * rng.choice((0.0, 1.0, 25.0)))))


def play_random_changes(seed: int) -> float:
    """Play random limits, claims, and proxies that prefetch and use permits; return the worst window."""
    rng, now, limit = random.Random(seed), 10.0, Limit(30.0, 30.0)
    issuer, window = make_issuer({"t": limit}), Window()
    proxies = [PrefetchedPermits(number) for number in range(4)]
    for proxy in proxies:
        proxy.demand["t"] = rng.uniform(0.5, 9.0)
    is_flood = True
    while now < 40.0:
        now += rng.expovariate(100)
        proxy = rng.choice(proxies)
        match rng.choices(("claim", "use", "report", "limits", "pause"), (80, 10, 8, 1, 0.5))[0]:
            case "claim" if is_flood:
                if issuer.is_limited("t") and issuer.claim("t", CONFIRMED_AGE_S, now) is ClaimResult.GRANTED:
                    window.admit(now, limit)
            case "use" if proxy.consume("t", now):
                window.admit(now, limit)
            case "report":
                report: PrefetchReport = proxy.build_report("a", now)
                reply = issuer.handle_report(report, CONFIRMED_AGE_S, now)
                proxy.receive_reply("a", reply, now, now)
                issuer.partly_used(now)
            case "limits":
                changed = _random_limit(rng)
                issuer.configure({"t": changed} if changed is not None else {})
                if changed is not None:
                    window.replace(limit, now)
                    limit = changed
            case "pause":
                is_flood = not is_flood
    return window.worst


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_random_changes_of_a_limit_exceed_no_window(first: int) -> None:
    assert max(map(play_random_changes, range(first, first + 20))) <= 1.0


FORMER, NEXT = Limit(5.0, 275.0), Limit(60.0)


# Guards against QUOTA: registries that started anew after a change of a limit did not know the former one.
@pytest.mark.parametrize("changed_after_s", [0.0, 0.1, 0.5, 2.0])
@pytest.mark.parametrize("restarted_after_s", [-0.05, 0.0, 0.1, 0.6, 3.0])
def test_an_issuer_that_restarts_after_a_change_bounds_its_refill(
    changed_after_s: float, restarted_after_s: float
) -> None:
    """The restart is `restarted_after_s` after the change; if before, the former process never knew it."""
    issuer, window, limit, now = make_issuer({"t": FORMER}), Window(), FORMER, 10.0
    changed_at, restart_at = now + changed_after_s, now + max(0.0, changed_after_s + restarted_after_s)
    is_restarted = False
    while now < 20.0:
        if limit is FORMER and now >= changed_at and (is_restarted or restarted_after_s >= 0):
            issuer.configure({"t": NEXT})
            window.replace(FORMER, now)
            limit = NEXT
        if not is_restarted and now >= restart_at:
            recorded = issuer.limits_to_record(now)
            issuer = make_issuer({"t": limit}, now)
            issuer.restore_limits(recorded, now)
            is_restarted = True
        while issuer.claim("t", CONFIRMED_AGE_S, now) is ClaimResult.GRANTED:
            window.admit(now, limit)
        now += STEP_S
    assert window.worst <= 1.0


def test_an_issuer_that_restarts_under_the_same_limit_refills_at_its_full_rate() -> None:
    issuer = make_issuer({"t": NEXT}, 10.0)
    issuer.restore_limits({"t": [NEXT]}, 10.0)
    plain = make_issuer({"t": NEXT}, 10.0)
    assert issuer.bucket("t", 11.0).ready(11.0) == plain.bucket("t", 11.0).ready(11.0) > 0
