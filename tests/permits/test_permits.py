"""Permits: the division of a limit, conservation of permits, and which registries may issue them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.permits.allowance import IN_FLIGHT_S, MAX_CLOCK_RATIO, Limit, QuotaRule, compute_allowance
from irisdeal.permits.authority import GUARD_S, MAX_AGE_S, RESERVE_GUARD_S, IssuerList, IssuingAuthority
from irisdeal.permits.bucket import PermitBucket
from irisdeal.permits.issuer import ClaimResult, PermitIssuer
from irisdeal.permits.messages import LendRequest, PrefetchReply, PrefetchReport
from irisdeal.permits.outstanding import LEASE_GUARD_S, LEASE_S, OutstandingPermits
from irisdeal.permits.prefetched import PrefetchedPermits
from irisdeal.registry.authority_monitor import AuthorityMonitor
from irisdeal.registry.issuer_list_record import IssuerListRecord, decode, encode
from irisdeal.registry.messages import PlacementRequest
from irisdeal.runtime.tasks import Tasks

RULE, LIMIT = QuotaRule(), Limit(30.0, 30.0)
LISTED = IssuerList(3, frozenset({"a", "b", "c"}))
CONFIRMED_AGE_S = 0.1  # age of the last confirmation of the list


def make_issuer(now: float = 0.0, own: str = "a", incarnation: int = 1) -> PermitIssuer:
    """Return an issuer whose membership of the list was continuous."""
    authority = IssuingAuthority(own)
    authority.restore_recorded(LISTED, now)
    authority.observe_list(LISTED, now)
    issuer = PermitIssuer(incarnation, RULE, authority, now)
    issuer.configure({"t": LIMIT})
    return issuer


@hypothesis_settings(max_examples=300, deadline=None)
@given(st.floats(0.5, 20_000), st.floats(0, 25), st.integers(1, 12), st.floats(0, 0.5), st.floats(15, 100))
def test_stocks_and_refill_of_any_window_sum_to_the_allowed_requests(
    rate: float,
    windows: float,
    issuers: int,
    excess: float,
    slack: float,
) -> None:
    rule, limit = QuotaRule(5.0, excess, slack), Limit(rate, rate * windows)
    total = compute_allowance(rule, limit, issuers)
    seconds = MAX_CLOCK_RATIO * (rule.window_s + IN_FLIGHT_S)
    allowed = rule.allowed(limit)
    assert total.ready + total.reserved + seconds * total.refill_per_s <= allowed * (1 + 1e-9)
    assert total.refill_per_s > 0 and total.reserved >= -1e-9
    assert total.ready >= min(float(issuers), allowed / 2) - 1e-9  # each bucket can hold a complete permit


@hypothesis_settings(max_examples=100, deadline=None)
@given(st.integers(0, 10_000), st.floats(0.1, 200), st.floats(1, 50))
def test_a_bucket_issues_no_more_than_it_was_refilled(seed: int, refill: float, capacity: float) -> None:
    rng = random.Random(seed)
    bucket, now, issued = PermitBucket(refill, capacity, 0.0), 0.0, 0.0
    for _ in range(400):
        now += rng.expovariate(2 * refill)
        match rng.randrange(4):
            case 0:
                issued += bucket.lend(rng.randint(1, 9), rng.random() * 4, now)
            case 1:
                issued += bucket.prefetch(rng.randint(1, 9), now)
            case _:
                issued += bucket.claim(now, rng.random() < 0.3)
        assert issued <= refill * now + 1e-6 and bucket.ready(now) <= capacity + 1e-9


def test_a_share_of_a_bucket_is_withheld_from_late_requests() -> None:
    bucket = PermitBucket(1.0, 10.0, -99.0)
    late = sum(bucket.claim(0.0, is_late=True) for _ in range(99))
    assert late == 6 and sum(bucket.claim(0.0) for _ in range(99)) == 4


def test_borrowed_permits_over_the_capacity_are_discarded() -> None:
    bucket = PermitBucket(0.0, 3.0, 0.0)
    bucket.add_borrowed(9, 0.0)
    assert bucket.ready(0.0) == 3.0


# Prefetched permits


def grant(
    issuer: PermitIssuer, prefetched: PrefetchedPermits, now: float, sent_at: float | None = None
) -> PrefetchReply:
    """Send one report, and apply its reply."""
    reply = issuer.handle_report(prefetched.build_report("a", now), CONFIRMED_AGE_S, now)
    prefetched.receive_reply("a", reply, now if sent_at is None else sent_at, now)
    return reply


def make_prefetched(demand: float = 3.0, number: int = 7) -> PrefetchedPermits:
    prefetched = PrefetchedPermits(number)
    prefetched.demand["t"] = demand
    return prefetched


def test_prefetched_permits_are_deducted_and_can_be_used_once() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    before = issuer.bucket("t", 9.0).ready(9.0)
    granted = grant(issuer, prefetched, 9.0).changes["t"]
    assert granted >= 1 and issuer.bucket("t", 9.0).ready(9.0) == pytest.approx(before - granted)
    assert sum(prefetched.consume("t", 9.1) for _ in range(50)) == granted


def test_a_lease_expires_at_the_proxy_before_the_issuer_counts_its_permits_as_free() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    assert LEASE_S * 1.04 < LEASE_GUARD_S
    assert prefetched.count("t", 9.0 + LEASE_S - 0.01) > 0 and prefetched.count("t", 9.0 + LEASE_S) == 0
    issuer.partly_used(9.0 + LEASE_GUARD_S - 0.01)
    assert issuer.outstanding.total("t") > 0
    issuer.partly_used(9.0 + LEASE_GUARD_S)
    assert issuer.outstanding.total("t") == 0


def test_a_lost_connection_frees_no_permits() -> None:
    """Otherwise a partitioned proxy would still use permits that were granted to others, as it happened
    once.
    """
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    assert issuer.outstanding.total("t") == prefetched.count("t", 9.0) > 0
    assert not hasattr(issuer, "leave") and not hasattr(issuer.outstanding, "leave")


def test_an_outdated_or_duplicate_report_is_ignored() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    older = prefetched.build_report("a", 9.0)
    grant(issuer, prefetched, 9.1)
    total = issuer.outstanding.total("t")
    assert not issuer.handle_report(older, CONFIRMED_AGE_S, 9.2).is_issuing
    assert issuer.outstanding.total("t") == total


def test_a_reply_to_a_report_older_than_a_lease_renews_nothing() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    reply = issuer.handle_report(prefetched.build_report("a", 9.0), CONFIRMED_AGE_S, 9.0)
    prefetched.receive_reply("a", reply, 9.0, 9.0 + LEASE_S)
    assert prefetched.count("t", 9.0 + LEASE_S) == 0


def test_an_expired_batch_is_not_renewed_by_a_later_reply() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    report = prefetched.build_report("a", 9.0 + LEASE_S - 0.1)
    prefetched.demand["t"] = 0.0
    reply = PrefetchReply(1, True, {})
    assert report.unused
    prefetched.receive_reply("a", reply, 9.0 + LEASE_S - 0.1, 9.0 + LEASE_S + 0.2)
    assert prefetched.count("t", 9.0 + LEASE_S + 0.2) == 0


def test_another_incarnation_renews_nothing_and_grants_nothing_before_former_leases_expire() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    count = prefetched.count("t", 9.0)
    after = make_issuer(9.5, incarnation=2)
    assert not grant(after, prefetched, 9.6).is_issuing
    assert prefetched.count("t", 9.6) == count, "of the former incarnation, until its lease expires"
    assert prefetched.count("t", 9.0 + LEASE_S) == 0
    assert not grant(after, prefetched, 9.5 + LEASE_GUARD_S - 0.1).is_issuing
    assert grant(after, prefetched, 9.5 + LEASE_GUARD_S).is_issuing


def test_a_removed_limit_revokes_prefetched_permits() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    issuer.configure({"t": Limit()})
    grant(issuer, prefetched, 9.5)
    assert prefetched.count("t", 9.5) == 0


def check_conservation(seed: int) -> None:
    """Play lost and delayed reports, drifting clocks, and registries that restart without their state."""
    rng = random.Random(seed)
    issuer, all_prefetched = (
        make_issuer(),
        [make_prefetched(rng.uniform(0.5, 6), number) for number in range(5)],
    )
    speeds = [rng.uniform(0.98, 1.02) for _ in all_prefetched]
    now, incarnation = 5.0, 1
    for _ in range(300):
        now += rng.expovariate(8)
        if rng.random() < 0.01:
            incarnation += 1
            issuer = make_issuer(now, incarnation=incarnation)
        number = rng.randrange(len(all_prefetched))
        prefetched, own = all_prefetched[number], now * speeds[number]
        if rng.random() < 0.3:
            prefetched.consume("t", own)
        report = prefetched.build_report("a", own)
        if rng.random() < 0.8:
            reply = issuer.handle_report(report, CONFIRMED_AGE_S, now)
            if rng.random() < 0.7:
                prefetched.receive_reply("a", reply, own, own + rng.choice((0.0, 0.3)))
        issuer.partly_used(now)
        share = issuer._share("t", now)
        usable = sum(one.count("t", now * speed) for one, speed in zip(all_prefetched, speeds, strict=True))
        if incarnation == 1:
            assert usable <= issuer.outstanding.total("t")
        assert usable + issuer.bucket("t", now).ready(now) <= share.ready + share.reserved + 1e-6


@hypothesis_settings(max_examples=60, deadline=None)
@given(st.integers(0, 100_000))
def test_usable_permits_never_exceed_what_a_registry_may_have_issued(seed: int) -> None:
    check_conservation(seed)


def _extend_lease(self: PrefetchedPermits, *args: Any) -> None:
    _receive_reply(self, *args)
    for batch in self.batches.values():
        batch.expires_at += 60.0


def _skip_guard(self: PermitIssuer, *args: Any) -> None:
    _init(self, *args)
    self.reserves_from = float("-inf")


def _report_nothing(self: OutstandingPermits, proxy: int, sequence: int, prefetched: Any, now: float) -> bool:
    return _record_report(self, proxy, sequence, {}, now)


_receive_reply = PrefetchedPermits.receive_reply
_init = PermitIssuer.__init__
_record_report = OutstandingPermits.record_report


@pytest.mark.parametrize(
    ("owner", "name", "planted"),
    [
        (PrefetchedPermits, "receive_reply", _extend_lease),
        (PermitIssuer, "__init__", _skip_guard),
        (OutstandingPermits, "record_report", _report_nothing),
    ],
    ids=["lease extended", "no guard after a restart", "permits freed early"],
)
def test_planted_bugs_are_found(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    name: str,
    planted: Any,
) -> None:
    monkeypatch.setattr(owner, name, planted)
    with pytest.raises(AssertionError):
        for seed in range(300):
            check_conservation(seed)


def test_decoded_messages_equal_the_encoded_ones() -> None:
    report = PrefetchReport(7, 3, 1, {"t": 2}, {"u": 1})
    reply = PrefetchReply(4, True, {"t": -1})
    assert PrefetchReport.decode(report.encode()) == report and PrefetchReply.decode(reply.encode()) == reply
    assert LendRequest.decode(LendRequest("t", 3).encode()) == LendRequest("t", 3)
    for body in ([1, 2, 3, {}], None, [1, 2, 3, {"t": "x"}, {}]):
        with pytest.raises((ValueError, TypeError)):
            PrefetchReport.decode(body)


@pytest.mark.parametrize("flags", range(8))
def test_a_decoded_placement_request_equals_the_encoded_one(flags: int) -> None:
    is_repeat, is_counted, is_late = (bool(flags & flag) for flag in (1, 2, 4))
    request = PlacementRequest("z", "s", 0.1, [3], 1, 0.2, 0.9, "t", is_repeat, is_counted, is_late, [5])
    assert PlacementRequest.decode(request.encode()) == request


def test_the_number_of_proxies_is_bounded_and_silent_ones_are_removed() -> None:
    outstanding = OutstandingPermits()
    for number in range(9000):
        outstanding.record_report(number, 1, {}, 0.0)
    assert len(outstanding.proxies) == 8192
    outstanding.expire(LEASE_GUARD_S)
    assert not outstanding.proxies


# The authority to issue


def test_a_registry_issues_only_with_a_recent_confirmation_of_a_list_that_contains_it() -> None:
    issuer = make_issuer()
    assert issuer.claim("t", None, 9.0) is ClaimResult.NOT_ISSUING
    assert issuer.claim("t", MAX_AGE_S + 0.1, 9.0) is ClaimResult.NOT_ISSUING
    assert issuer.claim("t", CONFIRMED_AGE_S, 9.0) is ClaimResult.GRANTED
    issuer.authority.observe_list(IssuerList(4, frozenset({"b", "c"})), 9.0)
    assert issuer.claim("t", CONFIRMED_AGE_S, 9.0) is ClaimResult.NOT_ISSUING
    assert issuer.claim("unknown", CONFIRMED_AGE_S, 9.0) is ClaimResult.NOT_ISSUING


def test_a_new_member_waits_until_the_one_it_replaces_has_stopped() -> None:
    joined = IssuingAuthority("d")
    joined.observe_list(IssuerList(4, frozenset({"b", "c", "d"})), 50.0)
    assert not joined.may_issue(CONFIRMED_AGE_S, 50.0 + MAX_AGE_S * 1.04)
    assert joined.may_issue(CONFIRMED_AGE_S, 50.0 + GUARD_S)


def test_a_longer_list_takes_effect_at_once_and_a_shorter_one_later() -> None:
    authority = IssuingAuthority("a")
    authority.restore_recorded(LISTED, 0.0)
    authority.observe_list(LISTED, 0.0)
    authority.observe_list(IssuerList(4, LISTED.machines | {"d"}), 10.0)
    assert authority.issuers(10.0) == authority.reserve_issuers(10.0) == 4 and authority.may_issue(
        CONFIRMED_AGE_S, 10.0
    )
    authority.observe_list(IssuerList(5, LISTED.machines), 30.0)
    assert authority.issuers(30.0) == 4 and authority.issuers(30.0 + GUARD_S) == 3
    assert (
        authority.reserve_issuers(30.0 + GUARD_S) == 4
        and authority.reserve_issuers(30.0 + RESERVE_GUARD_S) == 3
    )


def test_a_registry_that_missed_a_list_cannot_prove_its_membership() -> None:
    authority = IssuingAuthority("a")
    authority.restore_recorded(LISTED, 0.0)
    authority.observe_list(LISTED, 0.0)
    authority.observe_list(IssuerList(5, LISTED.machines), 10.0)
    assert not authority.may_issue(CONFIRMED_AGE_S, 10.0) and authority.may_issue(
        CONFIRMED_AGE_S, 10.0 + GUARD_S
    )


def test_a_restarted_registry_issues_at_once_only_where_its_disk_proves_membership() -> None:
    others = IssuerList(2, frozenset({"b", "c", "d"}))
    for recorded, issues_at_once in (
        (LISTED, True),
        (IssuerList(2, LISTED.machines), True),
        (others, False),
        (IssuerList(1, LISTED.machines), False),
        (None, False),
    ):
        authority = IssuingAuthority("a")
        if recorded is not None:
            authority.restore_recorded(recorded, 0.0)
        authority.observe_list(LISTED, 0.0)
        assert authority.may_issue(CONFIRMED_AGE_S, 0.0) is issues_at_once
    late = IssuingAuthority("a")
    late.observe_list(LISTED, 0.0)
    late.restore_recorded(LISTED, 0.1)  # as the disk was slow
    assert late.may_issue(CONFIRMED_AGE_S, 0.1)


def test_a_list_is_recorded_only_after_the_guard_time() -> None:
    authority = IssuingAuthority("a")
    authority.observe_list(LISTED, 0.0)
    assert authority.to_record(GUARD_S - 0.1) is None and authority.to_record(GUARD_S) == LISTED
    authority.recorded_list = LISTED
    assert authority.to_record(GUARD_S + 1.0) is None


def test_full_buckets_are_deleted_and_recreated_full() -> None:
    issuer = make_issuer()
    before = issuer.bucket("t", 50.0).ready(50.0)
    issuer.claim("t", CONFIRMED_AGE_S, 50.0)
    assert set(issuer.partly_used(50.0)) == {"t"} and issuer.ready("t", 50.0) == pytest.approx(before - 1)
    assert issuer.partly_used(60.0) == {} and not issuer.buckets
    assert issuer.ready("t", 60.0) == before and not issuer.buckets


def test_the_reserve_fills_only_after_leases_of_a_former_incarnation_expired() -> None:
    issuer = make_issuer(100.0)
    share = issuer._share("t", 100.0)
    assert issuer.ready("t", issuer.reserves_from) == pytest.approx(share.ready)
    later = issuer.reserves_from + 0.1
    assert issuer.ready("t", later) == pytest.approx(share.ready + 0.1 * share.refill_per_s)


def test_used_prefetched_permits_are_not_available_again_at_once() -> None:
    issuer, prefetched = make_issuer(), make_prefetched()
    grant(issuer, prefetched, 9.0)
    issuer.partly_used(9.4)
    level = issuer.ready("t", 9.4)
    while prefetched.consume("t", 9.4):
        pass
    prefetched.demand.clear()
    issuer.handle_report(prefetched.build_report("a", 9.5), CONFIRMED_AGE_S, 9.5)
    issuer.partly_used(9.5)
    assert issuer.outstanding.total("t") == 0
    assert issuer.ready("t", 9.5) <= level + 0.1 * issuer._share("t", 9.5).refill_per_s + 1e-6


def test_a_restarted_registry_has_only_permits_refilled_since() -> None:
    issuer = make_issuer(100.0)
    share = issuer._share("t", 100.0)
    assert 0.0 < issuer.bucket("t", 100.1).ready(100.1) <= 0.1 * share.refill_per_s


@pytest.mark.parametrize("damage", [lambda data: data[:-4], lambda data: b"", lambda data: b"x" + data])
def test_a_damaged_record_is_ignored(tmp_path: Path, damage: Callable[[bytes], bytes]) -> None:
    record = IssuerListRecord(str(tmp_path))
    assert record.load() is None
    assert record.save(LISTED) and record.load() == LISTED
    assert decode(encode(LISTED)) == LISTED
    path = tmp_path / "registry" / "issuers.json"
    path.write_bytes(damage(path.read_bytes()))
    assert record.load() is None


def test_a_registry_records_the_list_after_the_guard_time_and_reads_it_at_start(tmp_path: Path) -> None:
    async def run() -> None:
        now, tasks = asyncio.get_running_loop().time(), Tasks()
        first = IssuingAuthority("a")
        first.observe_list(LISTED, now - GUARD_S - 0.1)
        monitor = AuthorityMonitor(first, IssuerListRecord(str(tmp_path)), lambda: CONFIRMED_AGE_S, tasks)
        monitor.check()
        await asyncio.gather(*tasks.running)
        assert monitor.was_issuing and first.recorded_list == LISTED
        second = IssuingAuthority("a")
        second.observe_list(LISTED, now)
        assert not second.may_issue(CONFIRMED_AGE_S, now)
        await AuthorityMonitor(
            second, IssuerListRecord(str(tmp_path)), lambda: CONFIRMED_AGE_S, tasks
        ).restore()
        assert second.may_issue(CONFIRMED_AGE_S, now)

    asyncio.run(run())
