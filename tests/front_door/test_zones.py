"""Zones that are left by a fleet and returned to: evidence, beliefs, the module, fleets in virtual time."""

from __future__ import annotations

import json
import random
import socketserver
import threading
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.cli.main import main
from irisdeal.front_door.decisions.interface import (
    AddToCounter,
    CounterAnswered,
    Result,
    ServerList,
    ServerListKind,
    StartAttempt,
)
from irisdeal.front_door.zones.evidence import ALARM_SCORE, Evidence
from irisdeal.front_door.zones.failover import (
    CHECK_DELAYS_US,
    EPOCH_US,
    FALSE_SUSPICION_RATIO,
    MAX_HISTORY,
    MAX_LONE_TRIAL_INTERVAL_S,
    MAX_SUCCESS_AGE_US,
    MAX_WAIT_US,
    MIN_WAIT_US,
    SECOND_US,
    TRIAL_SUCCESS_AMOUNT,
    ZONE_COUNTER_BIT,
    ZoneCounterCall,
    ZoneFailover,
    ZoneState,
    required_suspects,
)
from irisdeal.front_door.zones.fleet import (
    BAD_BACKENDS_PER_ZONE,
    FAULTS,
    LOSS_DURATION_S,
    LOST_AT_S,
    RECOVERY_S,
    FleetSimulation,
    nothing_lost,
    summarize,
    time_reached,
    zone_lost,
)
from tests.support.decisions_rig import (
    CAPPED,
    KEYED,
    MS,
    SAFE,
    GatewayHarness,
    actions_of_type,
    server_entry,
    server_id,
)

NOW = 100 * EPOCH_US


def b(number: int) -> bytes:
    return b"s%d" % number


def zones_of(doors: int = 30, backends: int = 6, trials: bool = True, seed: int = 3) -> ZoneFailover:
    made = ZoneFailover(doors, 4.0, 0.18, 17 * SECOND_US, trials, random.Random(seed))
    made.update_backend_counts({0: backends, 1: backends, 2: backends})
    for zone in (1, 2):
        made.record_success(zone, b(100 + zone), NOW - MS, NOW)
    return made


def fail_all(zones: ZoneFailover, zone: int, now: int, count: int = 5) -> list[ZoneCounterCall]:
    return [
        word for n in range(count) for word in zones.record_failure(zone, b(n), now - SECOND_US // 2, now)
    ]


# Evidence


def test_five_failures_at_different_backends_alarm_and_one_bad_backend_does_not() -> None:
    lost, bad = Evidence(), Evidence()
    for n in range(4):
        assert lost.record_failure(b(n), 12) and not lost.is_alarm
    assert lost.record_failure(b(4), 12) and lost.is_alarm
    assert [bad.record_failure(b(1), 12) for _ in range(50)] == [True] + [False] * 49
    assert not bad.is_alarm and not bad.is_suspect


def test_a_zone_of_few_backends_can_alarm_and_one_of_which_half_are_bad_does_not_by_them() -> None:
    lone = Evidence()
    for _ in range(5):
        lone.record_failure(b(1), 1)
    assert lone.is_alarm
    half = Evidence()
    for n in range(200):
        half.record_failure(b(n % 3), 6)
        half.record_success(b(3 + n % 3))
    assert not half.is_alarm


def test_what_fails_everywhere_alarms_later() -> None:
    rush = Evidence()
    for n in range(9):
        assert not rush.is_alarm, n
        rush.record_failure(b(n), 40, failure_ratio_elsewhere=0.3)
    assert rush.is_alarm


def test_of_zones_that_are_well_one_attempt_in_thousands_ends_in_an_alarm() -> None:
    """One in ten attempts fails, the very chance that the bound is stated for."""
    rng, alarms = random.Random(5), 0
    evidence = Evidence()
    for _ in range(200_000):
        if rng.random() < 0.1:
            evidence.record_failure(b(rng.randrange(200)), 200)
        else:
            evidence.record_success(b(rng.randrange(200)))
        if evidence.is_alarm:
            alarms, evidence = alarms + 1, Evidence()
    assert alarms <= 200_000 * 0.1 / 10_000 * 3  # a cycle for each failure at most; times three, for luck


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=200), st.floats(0.0, 1.0))
def test_the_sum_stays_within_what_its_steps_allow(steps: list[tuple[bool, int]], elsewhere: float) -> None:
    evidence = Evidence()
    for failed, backend in steps:
        before = evidence.score
        if failed:
            evidence.record_failure(b(backend), 10, elsewhere)
            assert before <= evidence.score <= before + ALARM_SCORE / 4
        else:
            evidence.record_success(b(backend), elsewhere)
            assert 0.0 <= evidence.score <= before
        assert 0.0 <= evidence.failure_ratio <= 1.0


# Beliefs


@pytest.mark.parametrize(("doors", "wanted"), [(12, 0.5), (30, 0.3), (200, 0.13), (1000, 0.083)])
def test_how_many_suspects_it_takes(doors: int, wanted: float) -> None:
    assert abs(required_suspects(doors) / doors - wanted) < 0.01
    assert required_suspects(doors) > 1.5 * FALSE_SUSPICION_RATIO * doors


def word_of(amount: float, epoch: int = NOW // EPOCH_US) -> ZoneCounterCall:
    return ZoneCounterCall(0, epoch, amount)


def test_a_zone_is_left_by_its_own_alarm_and_told_once_in_an_epoch() -> None:
    zones = zones_of()
    words = fail_all(zones, 0, NOW)
    assert zones.load_share(0, NOW) == 0.0 and zones.load_share(1, NOW) == 1.0
    assert words == [word_of(1)] and words[0].counter_name >= ZONE_COUNTER_BIT


def test_it_is_left_with_the_fleet_after_one_failure_and_not_after_none() -> None:
    zones = zones_of()
    zones.receive_count(word_of(0), 30, NOW)
    assert zones.load_share(0, NOW) == 1.0
    assert not zones.record_failure(0, b(1), NOW - MS, NOW)
    assert not zones.due_calls(NOW + CHECK_DELAYS_US[0] - 1)
    (look,) = zones.due_calls(NOW + CHECK_DELAYS_US[0])
    assert look == word_of(0)
    zones.receive_count(look, zones.required_suspects - 1, NOW)
    assert zones.load_share(0, NOW) == 1.0
    assert zones.receive_count(look, zones.required_suspects, NOW) == [word_of(1)]
    assert zones.load_share(0, NOW) == 0.0


def test_a_second_failure_is_told_and_looked_after_a_few_times() -> None:
    zones = zones_of()
    zones.record_failure(0, b(1), NOW - MS, NOW)
    (word,) = zones.record_failure(0, b(2), NOW - MS, NOW)
    assert word == word_of(1)
    zones.receive_count(word, zones.required_suspects / 2, NOW)
    looks = [w for n in range(75) for w in zones.due_calls(NOW + n * 100 * MS)]
    assert looks == [word_of(0)] * len(CHECK_DELAYS_US)
    zones.receive_count(looks[-1], zones.required_suspects, NOW + SECOND_US)
    assert zones.load_share(0, NOW + SECOND_US) == 0.0


def test_who_suspects_takes_its_word_back_once_the_zone_answers() -> None:
    zones = zones_of()
    words = [w for n in range(2) for w in zones.record_failure(0, b(n), NOW - MS, NOW)]
    zones.receive_count(words[0], 2, NOW)
    assert zones.record_success(0, b(4), NOW, NOW + SECOND_US) == [word_of(-1)]
    assert not zones.record_success(0, b(5), NOW, NOW + SECOND_US)
    assert not zones.due_calls(NOW + 9 * SECOND_US)


def test_a_doubt_behind_which_a_later_attempt_was_answered_moves_nothing() -> None:
    zones = zones_of()
    zones.record_failure(0, b(1), NOW - 600 * MS, NOW)
    zones.record_failure(0, b(2), NOW - 600 * MS, NOW)
    zones.record_success(0, b(9), NOW - 100 * MS, NOW)
    zones.receive_count(word_of(0), 30, NOW)
    assert zones.load_share(0, NOW) == 1.0


@pytest.mark.parametrize("late", [False, True])
def test_no_zone_is_left_where_no_other_one_stands_and_answers(late: bool) -> None:
    zones = zones_of()
    now = NOW + MAX_SUCCESS_AGE_US + 1 if late else NOW
    if not late:
        fail_all(zones, 1, now)
        fail_all(zones, 2, now)  # zone 0 has never answered: the last one that has may not be left
        assert sorted(zones.load_share(z, now) for z in range(3)) == [0.0, 1.0, 1.0]
        return
    fail_all(zones, 0, now, 20)
    assert zones.load_share(0, now) == 1.0


def test_where_three_in_ten_attempts_fail_everywhere_hardly_a_door_leaves() -> None:
    """A rush: all are slow, so the others show what a failure is worth. Without that 20 of 20 doors leave."""
    left = 0
    for seed in range(20):
        zones, rng = zones_of(backends=50), random.Random(seed)
        for n in range(2_000):
            zone, backend, now = rng.randrange(3), b(rng.randrange(50)), NOW + n * 10 * MS
            if rng.random() < 0.3:
                zones.record_failure(zone, backend, now - MS, now)
            else:
                zones.record_success(zone, backend, now - MS, now)
        left += any(zone.state is not ZoneState.SERVING for zone in zones.zones.values())
    assert left <= 3


def tries(zones: ZoneFailover, now: int) -> bool:
    """Whether a trial of zone 0 is due; if so it goes out."""
    if zones.due_trial(now) != 0:
        return False
    zones.record_trial(0, now)
    return True


@pytest.mark.parametrize("carried", [False, True])
def test_a_zone_that_nothing_can_carry_a_trial_to_comes_back_by_time(carried: bool) -> None:
    """Only claims come to this door, or the zone's backends are cold and have no turn for it."""
    zones = zones_of()
    fail_all(zones, 0, NOW)
    for n in range(300):
        zones.due_calls(NOW + n * 50 * MS)
        if carried:
            tries(zones, NOW + n * 50 * MS)
    assert (zones.zones[0].state is ZoneState.LEFT) is carried


def test_an_answered_trial_brings_it_back_at_the_pace_that_cold_backends_bear() -> None:
    zones = zones_of()
    fail_all(zones, 0, NOW)
    zones.record_success(0, b(1), NOW - MS, NOW + MS)  # it was sent before the zone was left: it says nothing
    assert zones.load_share(0, NOW + MS) == 0.0
    assert zones.due_trial(NOW + MIN_WAIT_US // 2) is None
    times = [NOW + n * 10 * MS for n in range(1_200)]
    trials = [at for at in times if tries(zones, at)]
    assert (
        trials[0] >= NOW + MIN_WAIT_US and len(trials) <= 12 / (2 * 30 / 6) * 2 + 1
    )  # one in 2 s for each backend
    at = trials[0] + 100 * MS
    (word,) = zones.record_success(0, b(1), trials[0], at)
    assert word.amount == TRIAL_SUCCESS_AMOUNT - 1  # told, and its own word taken back
    shares = [zones.load_share(0, at + n * SECOND_US) for n in range(20)]
    assert shares[0] == pytest.approx(0.6 * 4.0 * 0.18) and shares == sorted(shares) and shares[-1] == 1.0
    zones.finish_ramps(at + 19 * SECOND_US)
    assert zones.zones[0].state is ZoneState.SERVING


def test_two_others_answered_trials_bring_back_a_door_that_left_with_the_fleet() -> None:
    zones = zones_of()
    words = fail_all(zones, 0, NOW)
    zones.receive_count(words[-1], 20 + TRIAL_SUCCESS_AMOUNT, NOW)  # one was told before this door had left
    looks = [w for n in range(40) for w in zones.due_calls(NOW + n * 100 * MS)]
    assert looks and set(looks) == {word_of(0)}
    zones.receive_count(looks[-1], 25 + 2 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US)
    assert zones.load_share(0, NOW + 4 * SECOND_US) == 0.0
    assert zones.receive_count(looks[-1], 25 + 3 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US) == [word_of(-1)]
    assert zones.zones[0].state is ZoneState.RETURNING


def test_a_door_that_left_alone_is_not_brought_back_by_others() -> None:
    """A cut between its zone and that one: the others' trials say nothing of its own way."""
    zones = zones_of()
    words = fail_all(zones, 0, NOW)
    zones.receive_count(words[-1], 2 + 5 * TRIAL_SUCCESS_AMOUNT, NOW)
    zones.receive_count(word_of(0), 3 + 9 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US)
    assert zones.load_share(0, NOW + 4 * SECOND_US) == 0.0


def test_a_zone_whose_backends_are_all_new_to_the_list_is_back_at_once_by_its_ramp() -> None:
    zones = zones_of()
    fail_all(zones, 0, NOW)
    zones.update_backend_counts({1: 6, 2: 6}, NOW + SECOND_US)
    assert zones.due_trial(NOW + 9 * SECOND_US) is None
    assert (
        zones.update_backend_counts({0: 4, 1: 6, 2: 6}, NOW + 9 * SECOND_US) == []
    )  # its word was of an epoch that is over
    assert (
        zones.zones[0].state is ZoneState.RETURNING and 0.0 < zones.load_share(0, NOW + 9 * SECOND_US) < 0.5
    )


def test_a_door_that_left_alone_tries_again_within_seconds_however_many_doors_there_are() -> None:
    zones = zones_of(doors=1000)
    fail_all(zones, 0, NOW)
    assert sum(tries(zones, NOW + n * 100 * MS) for n in range(200)) >= 3


def test_a_setback_doubles_the_wait_up_to_its_most() -> None:
    zones, now, waits = zones_of(), NOW, []
    for _ in range(7):
        zones.record_success(1, b(50), now - MS, now)
        zones.record_success(2, b(50), now - MS, now)
        fail_all(zones, 0, now)
        left = now
        while zones.due_trial(now) is None:
            now += 50 * MS
        waits.append(now - left)
        zones.record_success(0, b(1), now, now + MS)
        now += MS
    assert all(later >= earlier * 0.9 for earlier, later in pairwise(waits))
    assert waits[0] >= MIN_WAIT_US and MAX_WAIT_US <= waits[-1] <= MAX_WAIT_US + 16 * SECOND_US


def test_without_second_attempts_a_left_zone_comes_back_by_time() -> None:
    zones = zones_of(trials=False)
    fail_all(zones, 0, NOW)
    for n in range(40):
        zones.due_calls(NOW + n * 100 * MS)
    assert zones.zones[0].state is ZoneState.RETURNING


def test_what_was_left_in_an_epoch_that_is_over_is_told_anew_and_old_news_is_heard_first() -> None:
    zones = zones_of()
    words = fail_all(zones, 0, NOW)
    zones.receive_count(words[-1], 25, NOW)
    zones.zones[0].next_trial_at = NOW + EPOCH_US + 16 * SECOND_US
    asked = [w for n in range(160) for w in zones.due_calls(NOW + EPOCH_US + n * 100 * MS)][:2]
    assert asked == [word_of(0), word_of(1, NOW // EPOCH_US + 1)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["fail", "answer", "hear", "due", "trial"]),
            st.integers(0, 2),
            st.integers(0, 7),
            st.integers(0, 40_000),
            st.integers(0, 2_000),
        ),
        max_size=120,
    )
)
def test_whatever_comes_one_zone_stands(steps: list[tuple[str, int, int, int, int]]) -> None:
    zones, now, words = zones_of(doors=12), NOW, list[ZoneCounterCall]()
    for what, zone, backend, total, wait in steps:
        now += wait * MS
        sent = now - (backend + 1) * 200 * MS
        if what == "fail":
            words += zones.record_failure(zone, b(backend), sent, now)
        elif what == "answer":
            words += zones.record_success(zone, b(backend), sent, now)
        elif what == "hear" and words:  # late, doubled, spoilt totals
            zones.receive_count(words[total % len(words)], total, now)
        elif what == "due":
            words += zones.due_calls(now)
            zones.finish_ramps(now)
        else:
            zones.due_trial(now)
        shares = [zones.load_share(z, now) for z in range(3)]
        assert any(shares) and all(0.0 <= share <= 1.0 for share in shares)
        assert all(word.amount in (-1, 0, 1, TRIAL_SUCCESS_AMOUNT - 1) for word in words)


# Fleets in virtual time


@pytest.mark.parametrize("doors", [12, 30, 100])
def test_a_lost_zone_is_left_by_all_and_returned_to(doors: int) -> None:
    backends = max(9, 3 * round(doors * 0.2))
    fleet = FleetSimulation(doors, backends, 6.0, 1, zone_lost).run()
    left = [at - LOST_AT_S for at in fleet.left_at.values()]
    assert time_reached(left, doors, 0.5) <= 3.2 and time_reached(left, doors, 0.95) <= 4.6
    spent = sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent)
    assert spent <= 0.35 * doors * 2.0 * LOSS_DURATION_S
    assert (
        time_reached(
            [at - LOST_AT_S - LOSS_DURATION_S for at in fleet.returned_at.values()], len(fleet.left_at), 0.95
        )
        <= 5.0
    )
    assert fleet.trials <= (LOSS_DURATION_S + RECOVERY_S) * max(doors / 1.0, backends / 3 / 2) * 1.5
    assert not fleet.wrong_leaves and not fleet.requests_without_zone


def test_the_fleet_leaves_sooner_together_than_each_alone_and_does_without_the_keeper() -> None:
    together = FleetSimulation(60, 36, 6.0, 2, zone_lost).run()
    alone = FleetSimulation(60, 36, 6.0, 2, zone_lost, has_counter=False).run()
    lossy = FleetSimulation(60, 36, 6.0, 2, zone_lost, call_loss_ratio=0.5).run()
    spent = {
        n: sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent)
        for n, fleet in enumerate((together, alone, lossy))
    }
    assert spent[0] < 0.6 * spent[1] and spent[2] < spent[1]
    assert not (alone.wrong_leaves or lossy.wrong_leaves or together.wrong_leaves)


@pytest.mark.parametrize("doors", [12, 30, 100])
def test_with_bad_backends_in_each_zone_none_is_left(doors: int) -> None:
    for seed in range(3):
        fleet = FleetSimulation(
            doors, max(18, 3 * round(doors * 0.2)), 6.0, seed, nothing_lost, BAD_BACKENDS_PER_ZONE
        ).run()
        assert not fleet.left_at and not fleet.wrong_leaves


def test_a_few_doors_that_see_all_fail_move_no_other() -> None:
    few = required_suspects(100) // 2

    def theirs(door: int, zone: int, now: float) -> bool:
        return door < few and zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S

    fleet = FleetSimulation(100, 60, 6.0, 4, theirs).run()
    assert len(fleet.left_at) > few * 0.9 and max(fleet.left_at) < few
    assert not fleet.wrong_leaves


def test_with_every_zone_lost_each_door_keeps_one() -> None:
    fleet = FleetSimulation(
        30, 18, 6.0, 1, lambda door, zone, now: LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S
    ).run()
    assert not fleet.requests_without_zone


@pytest.mark.parametrize("fault", ["brief", "flapping", "half", "some", "all"])
def test_no_fault_makes_doors_leave_what_is_well_or_stand_without_a_zone(fault: str) -> None:
    for seed in range(3):
        found = summarize(FleetSimulation(30, 30, 6.0, seed, FAULTS[fault]).run())
        assert not found.without and found.wrong <= 1
        assert found.trials <= (LOSS_DURATION_S + RECOVERY_S) * 30 * 1.5
        if fault == "some":
            assert found.left <= 3


def test_flapping_is_damped_by_the_wait_after_each_setback() -> None:
    """One that is lost every other 1.5 s: without the wait a door would change its mind five times in 8 s."""
    fleet = FleetSimulation(30, 30, 6.0, 1, FAULTS["flapping"]).run()
    assert max(zone.failed_returns for belief in fleet.failovers for zone in belief.zones.values()) <= 2


# In the module


def fleet_desk(**changes: Any) -> GatewayHarness:
    desk = GatewayHarness(servers=0, gateway_count=40, **changes)
    desk.handle(ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 3) for n in range(18))))
    for n in range(60):
        number, actions = desk.send_request(account_id=n)
        for send in actions_of_type(StartAttempt, actions):
            desk.end_attempt(number, send.server_id)
    return desk


def zone_of(server: bytes) -> int:
    return next(n for n in range(18) if server_id(n) == server) % 3


def lose_zone(desk: GatewayHarness, zone: int = 1) -> None:
    """Attempts there fail until it is left; those elsewhere are answered."""
    for n in range(400):
        number, actions = desk.send_request(account_id=1000 + n)
        for send in actions_of_type(StartAttempt, actions):
            lost = zone_of(send.server_id) == zone
            for again in actions_of_type(
                StartAttempt,
                desk.end_attempt(
                    number,
                    send.server_id,
                    Result.TIMED_OUT if lost else Result.OK,
                    duration_us=700 * MS if lost else 50 * MS,
                ),
            ):
                if zone_of(again.server_id) != zone:
                    desk.end_attempt(number, again.server_id)
                else:
                    desk.end_attempt(
                        number, again.server_id, Result.TIMED_OUT, duration_us=700 * MS, request_ended=True
                    )
        if not desk.gateway.zones.load_share(zone, desk.now):
            return
    raise AssertionError("it was never left")


def test_a_left_zone_is_sent_trials_alone_beside_attempts_elsewhere() -> None:
    desk = fleet_desk()
    lose_zone(desk)
    assert len(desk.gateway.ready_servers) == 12
    first, beside = [], []
    for n in range(300):
        desk.advance(100 * MS)
        desk.gateway.zones.record_success(0, server_id(0), desk.now - MS, desk.now)
        number, actions = desk.send_request(account_id=2000 + n)
        sends = actions_of_type(StartAttempt, actions)
        first += sends[:1]
        beside += sends[1:]
        for at, send in enumerate(sends):
            if zone_of(send.server_id) == 1:
                desk.end_attempt(
                    number,
                    send.server_id,
                    Result.TIMED_OUT,
                    attempt_index=at,
                    duration_us=700 * MS,
                    request_ended=True,
                )
            else:
                desk.end_attempt(number, send.server_id, attempt_index=at)
    assert len(first) == 300 and all(zone_of(send.server_id) != 1 for send in first)
    assert beside and all(zone_of(send.server_id) == 1 for send in beside)
    assert len(beside) <= 30 / MAX_LONE_TRIAL_INTERVAL_S * 2 + 1


@pytest.mark.parametrize("ask", [{"class_index": KEYED}, {"plan_index": CAPPED}])
def test_one_that_must_not_run_twice_or_is_counted_while_out_carries_no_trial(ask: Any) -> None:
    desk = fleet_desk()
    lose_zone(desk)
    sent = 0
    desk.advance(2 * SECOND_US)
    for n in range(30):
        desk.advance(50 * MS)
        desk.gateway.zones.zones[1].next_trial_at = desk.now  # one is due each time
        number, actions = desk.send_request(account_id=3000 + n, **ask)
        for send in actions_of_type(StartAttempt, actions):
            assert zone_of(send.server_id) != 1
            desk.end_attempt(number, send.server_id)
            sent += 1
    assert sent > 20


@pytest.mark.parametrize("warms", [True, False])
def test_of_two_processes_of_a_door_one_alone_tries_cold_backends(warms: bool) -> None:
    desk = fleet_desk()
    lose_zone(desk)
    desk.handle(
        ServerList(
            ServerListKind.CHANGES,
            3,
            tuple(server_entry(n, zone=1, started_at=76 * SECOND_US) for n in range(18) if n % 3 == 1),
        )
    )
    desk.gateway.may_use_cold_servers = warms
    desk.advance(2 * SECOND_US)
    sent = []
    for n in range(30):
        desk.advance(50 * MS)
        desk.gateway.zones.zones[1].next_trial_at = desk.now
        for server in desk.gateway.servers.values():  # a turn is open at each
            server.first_use_at = desk.now if server.entry.zone == 1 else -1
        number, actions = desk.send_request(account_id=8000 + n)
        for at, send in enumerate(actions_of_type(StartAttempt, actions)):
            sent.append(zone_of(send.server_id))
            desk.end_attempt(number, send.server_id, attempt_index=at)
        if 1 in sent:
            break
    assert (1 in sent) is warms


def test_what_is_out_in_a_zone_that_is_left_is_sent_elsewhere_at_once() -> None:
    desk = fleet_desk()
    desk.gateway.retry_budget = 10.0
    waits: list[int] = []
    while not waits:
        number, actions = desk.send_request(account_id=500)
        for send in actions_of_type(StartAttempt, actions):
            if zone_of(send.server_id) == 1:
                waits.append(number)
            else:
                desk.end_attempt(number, send.server_id)
    before = len(desk.log)
    lose_zone(desk)
    again = {a.request_id for _, a in desk.log[before:] if isinstance(a, StartAttempt)}
    assert any(number in again for number in waits)


def test_with_an_answered_trial_its_backends_are_back_by_a_part() -> None:
    desk = fleet_desk()
    lose_zone(desk)
    desk.advance(2 * SECOND_US)
    desk.gateway.zones.record_success(1, server_id(1), desk.now - MS, desk.now)
    desk.advance(100 * MS)
    assert len(desk.gateway.ready_servers) == 18
    sent = []
    for n in range(400):
        number, actions = desk.send_request(account_id=4000 + n, class_index=SAFE)
        for send in actions_of_type(StartAttempt, actions):
            sent.append(zone_of(send.server_id))
            desk.end_attempt(number, send.server_id)
    assert 0.03 < sent.count(1) / len(sent) < 0.3  # an even part is a third


@pytest.mark.parametrize(("started", "speaks"), [(0, True), (76 * SECOND_US, False)])
def test_a_cold_backend_that_is_slow_does_not_speak_against_its_zone(started: int, speaks: bool) -> None:
    """It takes longer by what the settings say of it."""
    desk = fleet_desk()
    desk.handle(
        ServerList(
            ServerListKind.CHANGES,
            3,
            tuple(server_entry(n, zone=1, started_at=started) for n in range(18) if n % 3 == 1),
        )
    )
    number, _ = desk.send_request(account_id=5000)
    slow = next(s for s in desk.gateway.ready_servers if s.entry.zone == 1)
    desk.gateway._start_attempt(desk.gateway.requests[number], slow)
    desk.advance(2 * SECOND_US)  # past twice and four times the usual time
    failed = slow.entry.server_id in desk.gateway.zones.zones[1].evidence.failed_backends
    assert failed is speaks


def test_a_cold_backend_that_cannot_be_reached_speaks_against_its_zone() -> None:
    desk = fleet_desk()
    zones = desk.gateway.zones
    desk.handle(ServerList(ServerListKind.CHANGES, 3, (server_entry(1, zone=1, started_at=76 * SECOND_US),)))
    number, _ = desk.send_request(account_id=5000)
    cold = next(s for s in desk.gateway.ready_servers if s.entry.server_id == server_id(1))
    desk.gateway._start_attempt(desk.gateway.requests[number], cold)
    desk.attempts[number] = len(desk.gateway.requests[number].attempts)
    desk.end_attempt(number, server_id(1), Result.NOT_CONNECTED)
    assert server_id(1) in zones.zones[1].evidence.failed_backends


def test_in_a_fleet_of_few_no_zone_is_left_and_nothing_is_told() -> None:
    desk = GatewayHarness(servers=0, gateway_count=8)
    desk.handle(ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 3) for n in range(18))))
    for n in range(200):
        number, actions = desk.send_request(account_id=n)
        for send in actions_of_type(StartAttempt, actions):
            result = Result.TIMED_OUT if zone_of(send.server_id) == 1 else Result.OK
            for again in actions_of_type(StartAttempt, desk.end_attempt(number, send.server_id, result)):
                desk.end_attempt(number, again.server_id, Result.TIMED_OUT, request_ended=True)
    assert len(desk.gateway.ready_servers) == 18 and not desk.gateway.zones.zones
    assert not any(isinstance(a, AddToCounter) and a.counter_name >= ZONE_COUNTER_BIT for _, a in desk.log)


def test_the_answer_of_the_counter_reaches_the_zone_that_asked() -> None:
    desk = fleet_desk()
    words = [
        w for n in (1, 4) for w in desk.gateway.zones.record_failure(1, server_id(n), desk.now, desk.now)
    ]
    desk.gateway.actions = []
    desk.gateway._call_zone_counters(words)
    (call,) = actions_of_type(AddToCounter, list(desk.gateway.actions))
    desk.handle(CounterAnswered(call.counter_name, Result.OK, 40.0, MS))
    assert desk.gateway.zones.load_share(1, desk.now) == 0.0 and not desk.gateway.zone_calls


def test_the_command_plays_days_and_tells_them_as_json_or_a_table() -> None:
    run = CliRunner().invoke
    told = [
        json.loads(line)
        for line in run(
            main, ["zones", "simulate", "--doors", "12", "--seeds", "2", "--json"]
        ).output.splitlines()
    ]
    assert [day["seed"] for day in told] == [1, 2] and all(day["left"] == 12 for day in told)
    shown = run(main, ["zones", "simulate", "--doors", "12", "--fault", "calm"])
    assert shown.exit_code == 0 and "12 doors, calm" in shown.output
    assert run(main, ["zones", "simulate", "--doors", "8"]).exit_code == 2


class Told:
    """A door's report socket, as a thread."""

    def __init__(self, path: Path, told: object) -> None:
        text = json.dumps(told).encode() + b"\n"

        class Answer(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.sendall(text)

        self.server = socketserver.ThreadingUnixStreamServer(str(path), Answer)
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


def test_show_and_explain_tell_what_doors_believe(tmp_path: Path) -> None:
    left, well = zones_of(), zones_of()
    fail_all(left, 0, NOW)
    one, two, none = tmp_path / "n0.sock", tmp_path / "n1.sock", tmp_path / "n2.sock"
    servers = [
        Told(one, {"name": "n0", "zones": left.report(NOW + SECOND_US)}),
        Told(two, {"name": "n1", "zones": well.report(NOW + SECOND_US)}),
    ]
    try:
        run = CliRunner().invoke
        told = json.loads(run(main, ["zones", "show", str(one), str(two), "--json"]).stdout)
        assert [zone["stand"] for zone in told["n0"]["zones"]] == ["left", "serving", "serving"]
        assert told["n0"]["zones"][0]["for_s"] == 1.0 and told["n0"]["zones"][0]["share"] == 0.0
        shown = run(main, ["zones", "show", str(one), str(two), str(none)])
        assert shown.exit_code == 1 and "itself" in shown.output and "n2.sock" in shown.output
        why = run(main, ["zones", "explain", "0", str(one), str(two)])
        assert why.exit_code == 0 and "n0  zone 0 left: by what this door saw alone; 5 of 6" in why.output
        assert "no change" in run(main, ["zones", "explain", "1", str(one)]).output
        assert run(main, ["zones", "show", str(none)]).exit_code == 2
    finally:
        for server in servers:
            server.close()


def test_what_a_door_tells_is_bounded() -> None:
    zones, now = zones_of(), NOW
    for _ in range(100):
        now += 20 * SECOND_US
        zones.record_success(1, b(50), now - MS, now)
        fail_all(zones, 0, now)
        now += 17 * SECOND_US
        zones.record_success(0, b(1), now - MS, now)
    assert len(zones.report(now)["changes"]) == MAX_HISTORY
