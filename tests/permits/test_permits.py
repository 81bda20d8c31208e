"""Permits: what is divided sums to the rule, what is issued is issued once, and who may issue."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st

from irisdeal.permits.allowance import CLOCK_FAST, IN_FLIGHT_S, Limit, QuotaRule, allowance
from irisdeal.permits.authority import GUARD_S, MOST_AGE_S, RESERVE_GUARD_S, IssuerList, IssuingAuthority
from irisdeal.permits.bucket import PermitBucket
from irisdeal.permits.held import HeldPermits
from irisdeal.permits.issuer import Claim, PermitIssuer
from irisdeal.permits.messages import HeldReport, LendRequest, ReserveReply
from irisdeal.permits.outstanding import LEASE_GUARD_S, LEASE_S, OutstandingPermits
from irisdeal.registry.authority_watch import AuthorityWatch
from irisdeal.registry.list_record import ListRecord, decode, encode
from irisdeal.registry.messages import PlaceRequest
from irisdeal.runtime.process import Tasks

RULE, LIMIT = QuotaRule(), Limit(30.0, 30.0)
LISTED = IssuerList(3, frozenset({"a", "b", "c"}))
KNOWN_S = 0.1  # age of what is known of the list


def issuer(now: float = 0.0, own: str = "a", incarnation: int = 1) -> PermitIssuer:
    """One that was in the list all along."""
    authority = IssuingAuthority(own)
    authority.recall(LISTED, now)
    authority.hear(LISTED, now)
    made = PermitIssuer(incarnation, RULE, authority, now)
    made.configure({"t": LIMIT})
    return made


@trying(max_examples=300, deadline=None)
@given(st.floats(0.5, 20_000), st.floats(0, 25), st.integers(1, 12), st.floats(0, 0.5), st.floats(15, 100))
def test_stocks_and_refill_of_any_window_sum_to_the_rule(
    rate: float,
    windows: float,
    issuers: int,
    excess: float,
    slack: float,
) -> None:
    rule, limit = QuotaRule(5.0, excess, slack), Limit(rate, rate * windows)
    whole = allowance(rule, limit, issuers)
    seconds = CLOCK_FAST * (rule.window_s + IN_FLIGHT_S)
    allowed = rule.allowed(limit)
    assert whole.ready + whole.reserved + seconds * whole.refill_per_s <= allowed * (1 + 1e-9)
    assert whole.refill_per_s > 0 and whole.reserved >= -1e-9
    assert whole.ready >= min(float(issuers), allowed / 2) - 1e-9  # each bucket can hold a whole permit


@trying(max_examples=100, deadline=None)
@given(st.integers(0, 10_000), st.floats(0.1, 200), st.floats(1, 50))
def test_a_bucket_gives_no_more_than_it_was_refilled(seed: int, refill: float, capacity: float) -> None:
    chance = random.Random(seed)
    bucket, now, given_out = PermitBucket(refill, capacity, 0.0), 0.0, 0.0
    for _ in range(400):
        now += chance.expovariate(2 * refill)
        match chance.randrange(4):
            case 0:
                given_out += bucket.lend(chance.randint(1, 9), chance.random() * 4, now)
            case 1:
                given_out += bucket.take_ahead(chance.randint(1, 9), now)
            case _:
                given_out += bucket.claim(now, chance.random() < 0.3)
        assert given_out <= refill * now + 1e-6 and bucket.ready(now) <= capacity + 1e-9


def test_a_part_of_a_bucket_is_kept_from_those_that_come_too_late() -> None:
    bucket = PermitBucket(1.0, 10.0, -99.0)
    late = sum(bucket.claim(0.0, is_late=True) for _ in range(99))
    assert late == 6 and sum(bucket.claim(0.0) for _ in range(99)) == 4


def test_what_is_borrowed_beyond_the_room_is_gone() -> None:
    bucket = PermitBucket(0.0, 3.0, 0.0)
    bucket.add_borrowed(9, 0.0)
    assert bucket.ready(0.0) == 3.0


# What proxies hold


def grant(made: PermitIssuer, held: HeldPermits, now: float, sent_at: float | None = None) -> ReserveReply:
    """One report and its answer."""
    reply = made.report(held.report("a", now), KNOWN_S, now)
    held.hear("a", reply, now if sent_at is None else sent_at, now)
    return reply


def holder(demand: float = 3.0, number: int = 7) -> HeldPermits:
    made = HeldPermits(number)
    made.demand["t"] = demand
    return made


def test_what_is_granted_ahead_is_deducted_and_can_be_used_once() -> None:
    made, held = issuer(), holder()
    before = made.bucket("t", 9.0).ready(9.0)
    granted = grant(made, held, 9.0).changes["t"]
    assert granted >= 1 and made.bucket("t", 9.0).ready(9.0) == pytest.approx(before - granted)
    assert sum(held.take("t", 9.1) for _ in range(50)) == granted


def test_a_holder_without_answers_loses_what_it_holds_before_the_issuer_counts_it_as_free() -> None:
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    assert LEASE_S * 1.04 < LEASE_GUARD_S
    assert held.count("t", 9.0 + LEASE_S - 0.01) > 0 and held.count("t", 9.0 + LEASE_S) == 0
    made.not_full(9.0 + LEASE_GUARD_S - 0.01)
    assert made.outstanding.total("t") > 0
    made.not_full(9.0 + LEASE_GUARD_S)
    assert made.outstanding.total("t") == 0


def test_the_end_of_a_connection_frees_nothing() -> None:
    """It was the cause of what our users saw: who was cut off went on with a part that others were given."""
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    assert made.outstanding.total("t") == held.count("t", 9.0) > 0
    assert not hasattr(made, "leave") and not hasattr(made.outstanding, "leave")


def test_a_report_that_comes_late_or_twice_is_passed_over() -> None:
    made, held = issuer(), holder()
    older = held.report("a", 9.0)
    grant(made, held, 9.1)
    total = made.outstanding.total("t")
    assert not made.report(older, KNOWN_S, 9.2).is_issuing
    assert made.outstanding.total("t") == total


def test_a_reply_to_a_report_of_long_ago_renews_nothing() -> None:
    made, held = issuer(), holder()
    reply = made.report(held.report("a", 9.0), KNOWN_S, 9.0)
    held.hear("a", reply, 9.0, 9.0 + LEASE_S)
    assert held.count("t", 9.0 + LEASE_S) == 0


def test_what_is_over_is_not_brought_back_by_a_later_reply() -> None:
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    report = held.report("a", 9.0 + LEASE_S - 0.1)
    held.demand["t"] = 0.0
    reply = ReserveReply(1, True, {})
    assert report.held
    held.hear("a", reply, 9.0 + LEASE_S - 0.1, 9.0 + LEASE_S + 0.2)
    assert held.count("t", 9.0 + LEASE_S + 0.2) == 0


def test_another_life_renews_nothing_and_grants_nothing_before_former_grants_are_over() -> None:
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    count = held.count("t", 9.0)
    after = issuer(9.5, incarnation=2)
    assert not grant(after, held, 9.6).is_issuing
    assert held.count("t", 9.6) == count, "of the former life, until its lease is over"
    assert held.count("t", 9.0 + LEASE_S) == 0
    assert not grant(after, held, 9.5 + LEASE_GUARD_S - 0.1).is_issuing
    assert grant(after, held, 9.5 + LEASE_GUARD_S).is_issuing


def test_a_lower_limit_takes_back_what_is_held() -> None:
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    made.configure({"t": Limit()})
    grant(made, held, 9.5)
    assert held.count("t", 9.5) == 0


def conserve(seed: int) -> None:
    """Reports lost and late, holders on clocks of their own, registries that start again and forget."""
    chance = random.Random(seed)
    made, holders = issuer(), [holder(chance.uniform(0.5, 6), number) for number in range(5)]
    speeds = [chance.uniform(0.98, 1.02) for _ in holders]
    now, incarnation = 5.0, 1
    for _ in range(300):
        now += chance.expovariate(8)
        if chance.random() < 0.01:
            incarnation += 1
            made = issuer(now, incarnation=incarnation)
        number = chance.randrange(len(holders))
        held, own = holders[number], now * speeds[number]
        if chance.random() < 0.3:
            held.take("t", own)
        report = held.report("a", own)
        if chance.random() < 0.8:
            reply = made.report(report, KNOWN_S, now)
            if chance.random() < 0.7:
                held.hear("a", reply, own, own + chance.choice((0.0, 0.3)))
        made.not_full(now)
        share = made._share("t", now)
        usable = sum(one.count("t", now * speed) for one, speed in zip(holders, speeds, strict=True))
        if incarnation == 1:
            assert usable <= made.outstanding.total("t")
        assert usable + made.bucket("t", now).ready(now) <= share.ready + share.reserved + 1e-6


@trying(max_examples=60, deadline=None)
@given(st.integers(0, 100_000))
def test_what_can_be_used_is_never_more_than_a_registry_may_have_issued(seed: int) -> None:
    conserve(seed)


def _keep_longer(self: HeldPermits, *given_: Any) -> None:
    _hear(self, *given_)
    for batch in self.batches.values():
        batch.until += 60.0


def _no_wait(self: PermitIssuer, *given_: Any) -> None:
    _begin(self, *given_)
    self.reserves_from = float("-inf")


def _give_back(self: OutstandingPermits, holder_: int, sequence: int, held: Any, now: float) -> bool:
    return _report(self, holder_, sequence, {}, now)


_hear, _begin, _report = HeldPermits.hear, PermitIssuer.__init__, OutstandingPermits.report


@pytest.mark.parametrize(
    ("owner", "name", "planted"),
    [
        (HeldPermits, "hear", _keep_longer),
        (PermitIssuer, "__init__", _no_wait),
        (OutstandingPermits, "report", _give_back),
    ],
    ids=["expiry by the issuer's clock alone", "a new life forgets", "handed back twice"],
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
            conserve(seed)


def test_messages_are_read_as_they_were_written() -> None:
    report = HeldReport(7, 3, 1, {"t": 2}, {"u": 1})
    reply = ReserveReply(4, True, {"t": -1})
    assert HeldReport.decode(report.encode()) == report and ReserveReply.decode(reply.encode()) == reply
    assert LendRequest.decode(LendRequest("t", 3).encode()) == LendRequest("t", 3)
    for told in ([1, 2, 3, {}], None, [1, 2, 3, {"t": "x"}, {}]):
        with pytest.raises((ValueError, TypeError)):
            HeldReport.decode(told)


@pytest.mark.parametrize("flags", range(8))
def test_an_ask_for_a_place_is_read_as_it_was_written(flags: int) -> None:
    is_repeat, is_counted, is_late = (bool(flags & flag) for flag in (1, 2, 4))
    ask = PlaceRequest("z", "s", 0.1, [3], 1, 0.2, 0.9, "t", is_repeat, is_counted, is_late, [5])
    assert PlaceRequest.decode(ask.encode()) == ask


def test_holders_are_bounded_and_forgotten() -> None:
    outstanding = OutstandingPermits()
    for number in range(9000):
        outstanding.report(number, 1, {}, 0.0)
    assert len(outstanding.holders) == 8192
    outstanding.expire(LEASE_GUARD_S)
    assert not outstanding.holders


# Who may issue


def test_a_registry_issues_only_with_fresh_knowledge_of_a_list_that_has_it() -> None:
    made = issuer()
    assert made.claim("t", None, 9.0) is Claim.NOT_ISSUING
    assert made.claim("t", MOST_AGE_S + 0.1, 9.0) is Claim.NOT_ISSUING
    assert made.claim("t", KNOWN_S, 9.0) is Claim.GRANTED
    made.authority.hear(IssuerList(4, frozenset({"b", "c"})), 9.0)
    assert made.claim("t", KNOWN_S, 9.0) is Claim.NOT_ISSUING
    assert made.claim("unknown", KNOWN_S, 9.0) is Claim.NOT_ISSUING


def test_one_that_is_new_waits_until_whoever_it_replaces_has_stopped() -> None:
    new = IssuingAuthority("d")
    new.hear(IssuerList(4, frozenset({"b", "c", "d"})), 50.0)
    assert not new.may_issue(KNOWN_S, 50.0 + MOST_AGE_S * 1.04)
    assert new.may_issue(KNOWN_S, 50.0 + GUARD_S)


def test_a_longer_list_counts_at_once_and_a_shorter_one_later() -> None:
    made = IssuingAuthority("a")
    made.recall(LISTED, 0.0)
    made.hear(LISTED, 0.0)
    made.hear(IssuerList(4, LISTED.machines | {"d"}), 10.0)
    assert made.issuers(10.0) == made.reserve_issuers(10.0) == 4 and made.may_issue(KNOWN_S, 10.0)
    made.hear(IssuerList(5, LISTED.machines), 30.0)
    assert made.issuers(30.0) == 4 and made.issuers(30.0 + GUARD_S) == 3
    assert made.reserve_issuers(30.0 + GUARD_S) == 4 and made.reserve_issuers(30.0 + RESERVE_GUARD_S) == 3


def test_one_that_missed_a_list_cannot_know_that_it_was_in_it() -> None:
    made = IssuingAuthority("a")
    made.recall(LISTED, 0.0)
    made.hear(LISTED, 0.0)
    made.hear(IssuerList(5, LISTED.machines), 10.0)
    assert not made.may_issue(KNOWN_S, 10.0) and made.may_issue(KNOWN_S, 10.0 + GUARD_S)


def test_one_that_starts_again_issues_at_once_only_where_its_disk_shows_that_it_was_in_the_list() -> None:
    others = IssuerList(2, frozenset({"b", "c", "d"}))
    for recorded, is_at_once in (
        (LISTED, True),
        (IssuerList(2, LISTED.machines), True),
        (others, False),
        (IssuerList(1, LISTED.machines), False),
        (None, False),
    ):
        made = IssuingAuthority("a")
        if recorded is not None:
            made.recall(recorded, 0.0)
        made.hear(LISTED, 0.0)
        assert made.may_issue(KNOWN_S, 0.0) is is_at_once
    late = IssuingAuthority("a")
    late.hear(LISTED, 0.0)
    late.recall(LISTED, 0.1)  # a disk that was slow
    assert late.may_issue(KNOWN_S, 0.1)


def test_a_list_is_recorded_only_once_it_has_stood() -> None:
    made = IssuingAuthority("a")
    made.hear(LISTED, 0.0)
    assert made.to_record(GUARD_S - 0.1) is None and made.to_record(GUARD_S) == LISTED
    made.recorded = LISTED
    assert made.to_record(GUARD_S + 1.0) is None


def test_full_buckets_are_forgotten_and_come_back_as_full() -> None:
    made = issuer()
    before = made.bucket("t", 50.0).ready(50.0)
    made.claim("t", KNOWN_S, 50.0)
    assert set(made.not_full(50.0)) == {"t"} and made.ready("t", 50.0) == pytest.approx(before - 1)
    assert made.not_full(60.0) == {} and not made.buckets
    assert made.ready("t", 60.0) == before and not made.buckets


def test_the_part_of_a_former_life_s_holders_fills_only_from_when_their_grants_are_over() -> None:
    made = issuer(100.0)
    share = made._share("t", 100.0)
    assert made.ready("t", made.reserves_from) == pytest.approx(share.ready)
    later = made.reserves_from + 0.1
    assert made.ready("t", later) == pytest.approx(share.ready + 0.1 * share.refill_per_s)


def test_what_proxies_have_used_is_not_back_at_once() -> None:
    made, held = issuer(), holder()
    grant(made, held, 9.0)
    made.not_full(9.4)
    level = made.ready("t", 9.4)
    while held.take("t", 9.4):
        pass
    held.demand.clear()
    made.report(held.report("a", 9.5), KNOWN_S, 9.5)
    made.not_full(9.5)
    assert made.outstanding.total("t") == 0
    assert made.ready("t", 9.5) <= level + 0.1 * made._share("t", 9.5).refill_per_s + 1e-6


def test_a_registry_that_starts_again_has_only_what_is_refilled_since() -> None:
    made = issuer(100.0)
    share = made._share("t", 100.0)
    assert 0.0 < made.bucket("t", 100.1).ready(100.1) <= 0.1 * share.refill_per_s


@pytest.mark.parametrize("spoil", [lambda data: data[:-4], lambda data: b"", lambda data: b"x" + data])
def test_a_record_that_is_torn_is_none(tmp_path: Path, spoil: Callable[[bytes], bytes]) -> None:
    record = ListRecord(str(tmp_path))
    assert record.load() is None
    assert record.save(LISTED) and record.load() == LISTED
    assert decode(encode(LISTED)) == LISTED
    path = tmp_path / "registry" / "issuers.json"
    path.write_bytes(spoil(path.read_bytes()))
    assert record.load() is None


def test_a_registry_records_the_list_once_it_has_stood_and_reads_it_when_it_starts(tmp_path: Path) -> None:
    async def run() -> None:
        now, tasks = asyncio.get_running_loop().time(), Tasks()
        first = IssuingAuthority("a")
        first.hear(LISTED, now - GUARD_S - 0.1)
        watch = AuthorityWatch(first, ListRecord(str(tmp_path)), lambda: KNOWN_S, tasks)
        watch.look()
        await asyncio.gather(*tasks.running)
        assert watch.was_issuing and first.recorded == LISTED
        second = IssuingAuthority("a")
        second.hear(LISTED, now)
        assert not second.may_issue(KNOWN_S, now)
        await AuthorityWatch(second, ListRecord(str(tmp_path)), lambda: KNOWN_S, tasks).recall()
        assert second.may_issue(KNOWN_S, now)

    asyncio.run(run())
