"""Zone failover: evidence, the states of one front door, the decision module, and simulated fleets."""

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


def backend_id(number: int) -> bytes:
    return b"s%d" % number


def failover_rig(
    front_doors: int = 30, backends: int = 6, trials: bool = True, seed: int = 3
) -> ZoneFailover:
    failover = ZoneFailover(front_doors, 4.0, 0.18, 17 * SECOND_US, trials, random.Random(seed))
    failover.update_backend_counts({0: backends, 1: backends, 2: backends})
    for zone in (1, 2):
        failover.record_success(zone, backend_id(100 + zone), NOW - MS, NOW)
    return failover


def fail_all(zones: ZoneFailover, zone: int, now: int, count: int = 5) -> list[ZoneCounterCall]:
    return [
        call
        for n in range(count)
        for call in zones.record_failure(zone, backend_id(n), now - SECOND_US // 2, now)
    ]


# Evidence


def test_five_failures_at_different_backends_alarm_and_one_bad_backend_does_not() -> None:
    lost, bad = Evidence(), Evidence()
    for n in range(4):
        assert lost.record_failure(backend_id(n), 12) and not lost.is_alarm
    assert lost.record_failure(backend_id(4), 12) and lost.is_alarm
    assert [bad.record_failure(backend_id(1), 12) for _ in range(50)] == [True] + [False] * 49
    assert not bad.is_alarm and not bad.is_suspect


def test_one_lone_backend_can_alarm_and_half_of_the_backends_bad_do_not() -> None:
    lone = Evidence()
    for _ in range(5):
        lone.record_failure(backend_id(1), 1)
    assert lone.is_alarm
    half = Evidence()
    for n in range(200):
        half.record_failure(backend_id(n % 3), 6)
        half.record_success(backend_id(3 + n % 3))
    assert not half.is_alarm


def test_failures_in_all_zones_delay_the_alarm() -> None:
    overloaded = Evidence()
    for n in range(9):
        assert not overloaded.is_alarm, n
        overloaded.record_failure(backend_id(n), 40, failure_ratio_elsewhere=0.3)
    assert overloaded.is_alarm


def test_in_a_healthy_zone_at_most_one_attempt_in_thousands_raises_an_alarm() -> None:
    """One attempt in ten fails: the probability for which the bound is stated."""
    rng, alarms = random.Random(5), 0
    evidence = Evidence()
    for _ in range(200_000):
        if rng.random() < 0.1:
            evidence.record_failure(backend_id(rng.randrange(200)), 200)
        else:
            evidence.record_success(backend_id(rng.randrange(200)))
        if evidence.is_alarm:
            alarms, evidence = alarms + 1, Evidence()
    # At most one cycle per failure; three times that for the spread of one run.
    assert alarms <= 200_000 * 0.1 / 10_000 * 3


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=200), st.floats(0.0, 1.0))
def test_the_sum_stays_within_what_its_steps_allow(steps: list[tuple[bool, int]], elsewhere: float) -> None:
    evidence = Evidence()
    for failed, backend in steps:
        before = evidence.score
        if failed:
            evidence.record_failure(backend_id(backend), 10, elsewhere)
            assert before <= evidence.score <= before + ALARM_SCORE / 4
        else:
            evidence.record_success(backend_id(backend), elsewhere)
            assert 0.0 <= evidence.score <= before
        assert 0.0 <= evidence.failure_ratio <= 1.0


# States of one front door


@pytest.mark.parametrize(("front_doors", "wanted"), [(12, 0.5), (30, 0.3), (200, 0.13), (1000, 0.083)])
def test_required_suspects_by_fleet_size(front_doors: int, wanted: float) -> None:
    assert abs(required_suspects(front_doors) / front_doors - wanted) < 0.01
    assert required_suspects(front_doors) > 1.5 * FALSE_SUSPICION_RATIO * front_doors


def counter_call(amount: float, epoch: int = NOW // EPOCH_US) -> ZoneCounterCall:
    return ZoneCounterCall(0, epoch, amount)


def test_a_zone_is_left_on_the_own_alarm_which_is_counted_once_per_epoch() -> None:
    zones = failover_rig()
    calls = fail_all(zones, 0, NOW)
    assert zones.load_share(0, NOW) == 0.0 and zones.load_share(1, NOW) == 1.0
    assert calls == [counter_call(1)] and calls[0].counter_name >= ZONE_COUNTER_BIT


def test_a_zone_is_left_with_the_fleet_after_one_own_failure_but_not_without_any() -> None:
    zones = failover_rig()
    zones.receive_count(counter_call(0), 30, NOW)
    assert zones.load_share(0, NOW) == 1.0
    assert not zones.record_failure(0, backend_id(1), NOW - MS, NOW)
    assert not zones.due_calls(NOW + CHECK_DELAYS_US[0] - 1)
    (look,) = zones.due_calls(NOW + CHECK_DELAYS_US[0])
    assert look == counter_call(0)
    zones.receive_count(look, zones.required_suspects - 1, NOW)
    assert zones.load_share(0, NOW) == 1.0
    assert zones.receive_count(look, zones.required_suspects, NOW) == [counter_call(1)]
    assert zones.load_share(0, NOW) == 0.0


def test_a_second_failure_is_counted_and_the_counter_read_a_few_times() -> None:
    zones = failover_rig()
    zones.record_failure(0, backend_id(1), NOW - MS, NOW)
    (call,) = zones.record_failure(0, backend_id(2), NOW - MS, NOW)
    assert call == counter_call(1)
    zones.receive_count(call, zones.required_suspects / 2, NOW)
    looks = [call for n in range(75) for call in zones.due_calls(NOW + n * 100 * MS)]
    assert looks == [counter_call(0)] * len(CHECK_DELAYS_US)
    zones.receive_count(looks[-1], zones.required_suspects, NOW + SECOND_US)
    assert zones.load_share(0, NOW + SECOND_US) == 0.0


def test_a_suspicion_is_withdrawn_once_the_zone_answers() -> None:
    zones = failover_rig()
    calls = [c for n in range(2) for c in zones.record_failure(0, backend_id(n), NOW - MS, NOW)]
    zones.receive_count(calls[0], 2, NOW)
    assert zones.record_success(0, backend_id(4), NOW, NOW + SECOND_US) == [counter_call(-1)]
    assert not zones.record_success(0, backend_id(5), NOW, NOW + SECOND_US)
    assert not zones.due_calls(NOW + 9 * SECOND_US)


def test_failures_before_an_answered_attempt_do_not_count_with_the_fleet() -> None:
    zones = failover_rig()
    zones.record_failure(0, backend_id(1), NOW - 600 * MS, NOW)
    zones.record_failure(0, backend_id(2), NOW - 600 * MS, NOW)
    zones.record_success(0, backend_id(9), NOW - 100 * MS, NOW)
    zones.receive_count(counter_call(0), 30, NOW)
    assert zones.load_share(0, NOW) == 1.0


@pytest.mark.parametrize("late", [False, True])
def test_no_zone_is_left_unless_another_is_in_use_and_answers(late: bool) -> None:
    zones = failover_rig()
    now = NOW + MAX_SUCCESS_AGE_US + 1 if late else NOW
    if not late:
        fail_all(zones, 1, now)
        fail_all(zones, 2, now)  # zone 0 has never answered: the last one that has may not be left
        assert sorted(zones.load_share(z, now) for z in range(3)) == [0.0, 1.0, 1.0]
        return
    fail_all(zones, 0, now, 20)
    assert zones.load_share(0, now) == 1.0


def test_where_three_in_ten_attempts_fail_in_all_zones_few_front_doors_leave() -> None:
    """Overload slows all zones: without the failure ratio of the other zones, 20 of 20 front doors leave."""
    left = 0
    for seed in range(20):
        zones, rng = failover_rig(backends=50), random.Random(seed)
        for n in range(2_000):
            zone, backend, now = rng.randrange(3), backend_id(rng.randrange(50)), NOW + n * 10 * MS
            if rng.random() < 0.3:
                zones.record_failure(zone, backend, now - MS, now)
            else:
                zones.record_success(zone, backend, now - MS, now)
        left += any(zone.state is not ZoneState.SERVING for zone in zones.zones.values())
    assert left <= 3


def send_due_trial(zones: ZoneFailover, now: int) -> bool:
    """Send a trial to zone 0 if one is due; return whether it was."""
    if zones.due_trial(now) != 0:
        return False
    zones.record_trial(0, now)
    return True


@pytest.mark.parametrize("can_send", [False, True])
def test_a_left_zone_to_which_no_trial_can_be_sent_returns_after_a_time(can_send: bool) -> None:
    """All requests are quota claims, or the zone has only cold backends that have no budget left."""
    zones = failover_rig()
    fail_all(zones, 0, NOW)
    for n in range(300):
        zones.due_calls(NOW + n * 50 * MS)
        if can_send:
            send_due_trial(zones, NOW + n * 50 * MS)
    assert (zones.zones[0].state is ZoneState.LEFT) is can_send


def test_an_answered_trial_starts_a_ramp_that_cold_backends_can_bear() -> None:
    zones = failover_rig()
    fail_all(zones, 0, NOW)
    # Sent before the zone was left: no evidence that it is back.
    zones.record_success(0, backend_id(1), NOW - MS, NOW + MS)
    assert zones.load_share(0, NOW + MS) == 0.0
    assert zones.due_trial(NOW + MIN_WAIT_US // 2) is None
    times = [NOW + n * 10 * MS for n in range(1_200)]
    trials = [at for at in times if send_due_trial(zones, at)]
    # One in 2 s to each backend.
    assert trials[0] >= NOW + MIN_WAIT_US and len(trials) <= 12 / (2 * 30 / 6) * 2 + 1
    at = trials[0] + 100 * MS
    (call,) = zones.record_success(0, backend_id(1), trials[0], at)
    assert call.amount == TRIAL_SUCCESS_AMOUNT - 1  # the success is added and its own suspicion withdrawn
    shares = [zones.load_share(0, at + n * SECOND_US) for n in range(20)]
    assert shares[0] == pytest.approx(0.6 * 4.0 * 0.18) and shares == sorted(shares) and shares[-1] == 1.0
    zones.finish_ramps(at + 19 * SECOND_US)
    assert zones.zones[0].state is ZoneState.SERVING


def test_two_answered_trials_of_others_return_a_front_door_that_left_with_the_fleet() -> None:
    zones = failover_rig()
    calls = fail_all(zones, 0, NOW)
    # One trial had been answered before this front door left.
    zones.receive_count(calls[-1], 20 + TRIAL_SUCCESS_AMOUNT, NOW)
    looks = [call for n in range(40) for call in zones.due_calls(NOW + n * 100 * MS)]
    assert looks and set(looks) == {counter_call(0)}
    zones.receive_count(looks[-1], 25 + 2 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US)
    assert zones.load_share(0, NOW + 4 * SECOND_US) == 0.0
    assert zones.receive_count(looks[-1], 25 + 3 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US) == [
        counter_call(-1)
    ]
    assert zones.zones[0].state is ZoneState.RETURNING


def test_a_front_door_that_left_alone_does_not_return_by_trials_of_others() -> None:
    """Its own link to the zone may be cut, and trials of others do not use that link."""
    zones = failover_rig()
    calls = fail_all(zones, 0, NOW)
    zones.receive_count(calls[-1], 2 + 5 * TRIAL_SUCCESS_AMOUNT, NOW)
    zones.receive_count(counter_call(0), 3 + 9 * TRIAL_SUCCESS_AMOUNT, NOW + 4 * SECOND_US)
    assert zones.load_share(0, NOW + 4 * SECOND_US) == 0.0


def test_a_left_zone_whose_backends_are_all_new_returns_at_once_with_a_ramp() -> None:
    zones = failover_rig()
    fail_all(zones, 0, NOW)
    zones.update_backend_counts({1: 6, 2: 6}, NOW + SECOND_US)
    assert zones.due_trial(NOW + 9 * SECOND_US) is None
    # It was counted in an epoch that is over.
    assert zones.update_backend_counts({0: 4, 1: 6, 2: 6}, NOW + 9 * SECOND_US) == []
    assert (
        zones.zones[0].state is ZoneState.RETURNING and 0.0 < zones.load_share(0, NOW + 9 * SECOND_US) < 0.5
    )


def test_a_front_door_that_left_alone_sends_trials_every_few_seconds_in_any_fleet() -> None:
    zones = failover_rig(front_doors=1000)
    fail_all(zones, 0, NOW)
    assert sum(send_due_trial(zones, NOW + n * 100 * MS) for n in range(200)) >= 3


def test_a_failed_return_doubles_the_wait_up_to_its_maximum() -> None:
    zones, now, waits = failover_rig(), NOW, []
    for _ in range(7):
        zones.record_success(1, backend_id(50), now - MS, now)
        zones.record_success(2, backend_id(50), now - MS, now)
        fail_all(zones, 0, now)
        left = now
        while zones.due_trial(now) is None:
            now += 50 * MS
        waits.append(now - left)
        zones.record_success(0, backend_id(1), now, now + MS)
        now += MS
    assert all(later >= earlier * 0.9 for earlier, later in pairwise(waits))
    assert waits[0] >= MIN_WAIT_US and MAX_WAIT_US <= waits[-1] <= MAX_WAIT_US + 16 * SECOND_US


def test_without_second_attempts_a_left_zone_returns_after_a_time() -> None:
    zones = failover_rig(trials=False)
    fail_all(zones, 0, NOW)
    for n in range(40):
        zones.due_calls(NOW + n * 100 * MS)
    assert zones.zones[0].state is ZoneState.RETURNING


def test_in_a_new_epoch_the_old_counter_is_read_once_before_the_leave_is_counted_again() -> None:
    zones = failover_rig()
    calls = fail_all(zones, 0, NOW)
    zones.receive_count(calls[-1], 25, NOW)
    zones.zones[0].next_trial_at = NOW + EPOCH_US + 16 * SECOND_US
    asked = [call for n in range(160) for call in zones.due_calls(NOW + EPOCH_US + n * 100 * MS)][:2]
    assert asked == [counter_call(0), counter_call(1, NOW // EPOCH_US + 1)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["failure", "success", "count", "due", "trial"]),
            st.integers(0, 2),
            st.integers(0, 7),
            st.integers(0, 40_000),
            st.integers(0, 2_000),
        ),
        max_size=120,
    )
)
def test_in_any_order_of_events_one_zone_stays_in_use(steps: list[tuple[str, int, int, int, int]]) -> None:
    zones, now, calls = failover_rig(front_doors=12), NOW, list[ZoneCounterCall]()
    for what, zone, backend, total, wait in steps:
        now += wait * MS
        sent = now - (backend + 1) * 200 * MS
        if what == "failure":
            calls += zones.record_failure(zone, backend_id(backend), sent, now)
        elif what == "success":
            calls += zones.record_success(zone, backend_id(backend), sent, now)
        elif what == "count" and calls:  # late, repeated and wrong totals
            zones.receive_count(calls[total % len(calls)], total, now)
        elif what == "due":
            calls += zones.due_calls(now)
            zones.finish_ramps(now)
        else:
            zones.due_trial(now)
        shares = [zones.load_share(z, now) for z in range(3)]
        assert any(shares) and all(0.0 <= share <= 1.0 for share in shares)
        assert all(call.amount in (-1, 0, 1, TRIAL_SUCCESS_AMOUNT - 1) for call in calls)


# Fleets in virtual time


@pytest.mark.parametrize("front_doors", [12, 30, 100])
def test_all_front_doors_leave_a_lost_zone_and_return(front_doors: int) -> None:
    backends = max(9, 3 * round(front_doors * 0.2))
    fleet = FleetSimulation(front_doors, backends, 6.0, 1, zone_lost).run()
    left = [at - LOST_AT_S for at in fleet.left_at.values()]
    assert time_reached(left, front_doors, 0.5) <= 3.2 and time_reached(left, front_doors, 0.95) <= 4.6
    spent = sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent)
    assert spent <= 0.35 * front_doors * 2.0 * LOSS_DURATION_S
    assert (
        time_reached(
            [at - LOST_AT_S - LOSS_DURATION_S for at in fleet.returned_at.values()], len(fleet.left_at), 0.95
        )
        <= 5.0
    )
    assert fleet.trials <= (LOSS_DURATION_S + RECOVERY_S) * max(front_doors / 1.0, backends / 3 / 2) * 1.5
    assert not fleet.wrong_leaves and not fleet.requests_without_zone


def test_a_fleet_leaves_sooner_with_the_counter_service_and_leaves_without_it() -> None:
    together = FleetSimulation(60, 36, 6.0, 2, zone_lost).run()
    alone = FleetSimulation(60, 36, 6.0, 2, zone_lost, has_counter=False).run()
    lossy = FleetSimulation(60, 36, 6.0, 2, zone_lost, call_loss_ratio=0.5).run()
    spent = {
        n: sum(zone == 0 and LOST_AT_S <= at < LOST_AT_S + LOSS_DURATION_S for at, _, zone in fleet.sent)
        for n, fleet in enumerate((together, alone, lossy))
    }
    assert spent[0] < 0.6 * spent[1] and spent[2] < spent[1]
    assert not (alone.wrong_leaves or lossy.wrong_leaves or together.wrong_leaves)


@pytest.mark.parametrize("front_doors", [12, 30, 100])
def test_bad_backends_in_each_zone_make_no_front_door_leave(front_doors: int) -> None:
    for seed in range(3):
        fleet = FleetSimulation(
            front_doors, max(18, 3 * round(front_doors * 0.2)), 6.0, seed, nothing_lost, BAD_BACKENDS_PER_ZONE
        ).run()
        assert not fleet.left_at and not fleet.wrong_leaves


def test_a_few_front_doors_with_a_broken_link_make_no_other_leave() -> None:
    few = required_suspects(100) // 2

    def lost_for_few(front_door: int, zone: int, now: float) -> bool:
        return front_door < few and zone == 0 and LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S

    fleet = FleetSimulation(100, 60, 6.0, 4, lost_for_few).run()
    assert len(fleet.left_at) > few * 0.9 and max(fleet.left_at) < few
    assert not fleet.wrong_leaves


def test_with_all_zones_lost_each_front_door_keeps_one() -> None:
    fleet = FleetSimulation(
        30, 18, 6.0, 1, lambda front_door, zone, now: LOST_AT_S <= now < LOST_AT_S + LOSS_DURATION_S
    ).run()
    assert not fleet.requests_without_zone


@pytest.mark.parametrize("fault", ["brief", "flapping", "half", "some", "all"])
def test_no_fault_makes_front_doors_leave_a_healthy_zone_or_all_zones(fault: str) -> None:
    for seed in range(3):
        found = summarize(FleetSimulation(30, 30, 6.0, seed, FAULTS[fault]).run())
        assert not found.without and found.wrong <= 1
        assert found.trials <= (LOSS_DURATION_S + RECOVERY_S) * 30 * 1.5
        if fault == "some":
            assert found.left <= 3


def test_flapping_is_damped_by_the_wait_after_each_failed_return() -> None:
    """Zone lost every other 1.5 s: without the wait, a front door changes its state five times in 8 s."""
    fleet = FleetSimulation(30, 30, 6.0, 1, FAULTS["flapping"]).run()
    assert max(zone.failed_returns for failover in fleet.failovers for zone in failover.zones.values()) <= 2


# In the decision module


def gateway_of_fleet(**changes: Any) -> GatewayHarness:
    rig = GatewayHarness(servers=0, gateway_count=40, **changes)
    rig.handle(ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 3) for n in range(18))))
    for n in range(60):
        number, actions = rig.send_request(account_id=n)
        for send in actions_of_type(StartAttempt, actions):
            rig.end_attempt(number, send.server_id)
    return rig


def zone_of(server: bytes) -> int:
    return next(n for n in range(18) if server_id(n) == server) % 3


def lose_zone(rig: GatewayHarness, zone: int = 1) -> None:
    """Fail attempts at one zone until it is left; answer all others."""
    for n in range(400):
        number, actions = rig.send_request(account_id=1000 + n)
        for send in actions_of_type(StartAttempt, actions):
            lost = zone_of(send.server_id) == zone
            for again in actions_of_type(
                StartAttempt,
                rig.end_attempt(
                    number,
                    send.server_id,
                    Result.TIMED_OUT if lost else Result.OK,
                    duration_us=700 * MS if lost else 50 * MS,
                ),
            ):
                if zone_of(again.server_id) != zone:
                    rig.end_attempt(number, again.server_id)
                else:
                    rig.end_attempt(
                        number, again.server_id, Result.TIMED_OUT, duration_us=700 * MS, request_ended=True
                    )
        if not rig.gateway.zones.load_share(zone, rig.now):
            return
    raise AssertionError("the zone was never left")


def test_a_left_zone_receives_only_trials_beside_attempts_elsewhere() -> None:
    rig = gateway_of_fleet()
    lose_zone(rig)
    assert len(rig.gateway.ready_servers) == 12
    first, beside = [], []
    for n in range(300):
        rig.advance(100 * MS)
        rig.gateway.zones.record_success(0, server_id(0), rig.now - MS, rig.now)
        number, actions = rig.send_request(account_id=2000 + n)
        sends = actions_of_type(StartAttempt, actions)
        first += sends[:1]
        beside += sends[1:]
        for at, send in enumerate(sends):
            if zone_of(send.server_id) == 1:
                rig.end_attempt(
                    number,
                    send.server_id,
                    Result.TIMED_OUT,
                    attempt_index=at,
                    duration_us=700 * MS,
                    request_ended=True,
                )
            else:
                rig.end_attempt(number, send.server_id, attempt_index=at)
    assert len(first) == 300 and all(zone_of(send.server_id) != 1 for send in first)
    assert beside and all(zone_of(send.server_id) == 1 for send in beside)
    assert len(beside) <= 30 / MAX_LONE_TRIAL_INTERVAL_S * 2 + 1


@pytest.mark.parametrize("ask", [{"class_index": KEYED}, {"plan_index": CAPPED}])
def test_requests_that_may_not_run_twice_or_have_a_concurrency_limit_send_no_trial(ask: Any) -> None:
    rig = gateway_of_fleet()
    lose_zone(rig)
    sent = 0
    rig.advance(2 * SECOND_US)
    for n in range(30):
        rig.advance(50 * MS)
        rig.gateway.zones.zones[1].next_trial_at = rig.now  # a trial is due at each request
        number, actions = rig.send_request(account_id=3000 + n, **ask)
        for send in actions_of_type(StartAttempt, actions):
            assert zone_of(send.server_id) != 1
            rig.end_attempt(number, send.server_id)
            sent += 1
    assert sent > 20


@pytest.mark.parametrize("uses_cold", [True, False])
def test_of_two_processes_of_a_front_door_one_sends_trials_to_cold_backends(uses_cold: bool) -> None:
    rig = gateway_of_fleet()
    lose_zone(rig)
    rig.handle(
        ServerList(
            ServerListKind.CHANGES,
            3,
            tuple(server_entry(n, zone=1, started_at=76 * SECOND_US) for n in range(18) if n % 3 == 1),
        )
    )
    rig.gateway.may_use_cold_servers = uses_cold
    rig.advance(2 * SECOND_US)
    sent = []
    for n in range(30):
        rig.advance(50 * MS)
        rig.gateway.zones.zones[1].next_trial_at = rig.now
        for server in rig.gateway.servers.values():  # each cold backend has budget now
            server.first_use_at = rig.now if server.entry.zone == 1 else -1
        number, actions = rig.send_request(account_id=8000 + n)
        for at, send in enumerate(actions_of_type(StartAttempt, actions)):
            sent.append(zone_of(send.server_id))
            rig.end_attempt(number, send.server_id, attempt_index=at)
        if 1 in sent:
            break
    assert (1 in sent) is uses_cold


def test_pending_attempts_in_a_zone_that_is_left_are_hedged_elsewhere_at_once() -> None:
    rig = gateway_of_fleet()
    rig.gateway.retry_budget = 10.0
    waits: list[int] = []
    while not waits:
        number, actions = rig.send_request(account_id=500)
        for send in actions_of_type(StartAttempt, actions):
            if zone_of(send.server_id) == 1:
                waits.append(number)
            else:
                rig.end_attempt(number, send.server_id)
    before = len(rig.log)
    lose_zone(rig)
    again = {a.request_id for _, a in rig.log[before:] if isinstance(a, StartAttempt)}
    assert any(number in again for number in waits)


def test_after_an_answered_trial_the_zone_receives_a_part_of_its_share() -> None:
    rig = gateway_of_fleet()
    lose_zone(rig)
    rig.advance(2 * SECOND_US)
    rig.gateway.zones.record_success(1, server_id(1), rig.now - MS, rig.now)
    rig.advance(100 * MS)
    assert len(rig.gateway.ready_servers) == 18
    sent = []
    for n in range(400):
        number, actions = rig.send_request(account_id=4000 + n, class_index=SAFE)
        for send in actions_of_type(StartAttempt, actions):
            sent.append(zone_of(send.server_id))
            rig.end_attempt(number, send.server_id)
    assert 0.03 < sent.count(1) / len(sent) < 0.3  # its usual share is a third


@pytest.mark.parametrize(("started", "counts"), [(0, True), (76 * SECOND_US, False)])
def test_slow_attempts_at_a_cold_backend_are_no_evidence_against_its_zone(started: int, counts: bool) -> None:
    """The settings let cold backends take longer."""
    rig = gateway_of_fleet()
    rig.handle(
        ServerList(
            ServerListKind.CHANGES,
            3,
            tuple(server_entry(n, zone=1, started_at=started) for n in range(18) if n % 3 == 1),
        )
    )
    number, _ = rig.send_request(account_id=5000)
    slow = next(s for s in rig.gateway.ready_servers if s.entry.zone == 1)
    rig.gateway._start_attempt(rig.gateway.requests[number], slow)
    rig.advance(2 * SECOND_US)  # past two and four mean durations
    failed = slow.entry.server_id in rig.gateway.zones.zones[1].evidence.failed_backends
    assert failed is counts


def test_a_failed_connection_to_a_cold_backend_is_evidence_against_its_zone() -> None:
    rig = gateway_of_fleet()
    zones = rig.gateway.zones
    rig.handle(ServerList(ServerListKind.CHANGES, 3, (server_entry(1, zone=1, started_at=76 * SECOND_US),)))
    number, _ = rig.send_request(account_id=5000)
    cold = next(s for s in rig.gateway.ready_servers if s.entry.server_id == server_id(1))
    rig.gateway._start_attempt(rig.gateway.requests[number], cold)
    rig.attempts[number] = len(rig.gateway.requests[number].attempts)
    rig.end_attempt(number, server_id(1), Result.NOT_CONNECTED)
    assert server_id(1) in zones.zones[1].evidence.failed_backends


def test_a_small_fleet_leaves_no_zone_and_calls_no_zone_counter() -> None:
    rig = GatewayHarness(servers=0, gateway_count=8)
    rig.handle(ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 3) for n in range(18))))
    for n in range(200):
        number, actions = rig.send_request(account_id=n)
        for send in actions_of_type(StartAttempt, actions):
            result = Result.TIMED_OUT if zone_of(send.server_id) == 1 else Result.OK
            for again in actions_of_type(StartAttempt, rig.end_attempt(number, send.server_id, result)):
                rig.end_attempt(number, again.server_id, Result.TIMED_OUT, request_ended=True)
    assert len(rig.gateway.ready_servers) == 18 and not rig.gateway.zones.zones
    assert not any(isinstance(a, AddToCounter) and a.counter_name >= ZONE_COUNTER_BIT for _, a in rig.log)


def test_the_total_of_a_counter_reaches_its_zone() -> None:
    rig = gateway_of_fleet()
    calls = [
        call for n in (1, 4) for call in rig.gateway.zones.record_failure(1, server_id(n), rig.now, rig.now)
    ]
    rig.gateway.actions = []
    rig.gateway._call_zone_counters(calls)
    (call,) = actions_of_type(AddToCounter, list(rig.gateway.actions))
    rig.handle(CounterAnswered(call.counter_name, Result.OK, 40.0, MS))
    assert rig.gateway.zones.load_share(1, rig.now) == 0.0 and not rig.gateway.zone_calls


def test_the_command_simulates_fleets_and_prints_json_or_a_table() -> None:
    run = CliRunner().invoke
    days = [
        json.loads(line)
        for line in run(
            main, ["zones", "simulate", "--doors", "12", "--seeds", "2", "--json"]
        ).output.splitlines()
    ]
    assert [day["seed"] for day in days] == [1, 2] and all(day["left"] == 12 for day in days)
    shown = run(main, ["zones", "simulate", "--doors", "12", "--fault", "calm"])
    assert shown.exit_code == 0 and "12 doors, calm" in shown.output
    assert run(main, ["zones", "simulate", "--doors", "8"]).exit_code == 2


class ReportSocket:
    """A thread that answers like the report socket of a front door."""

    def __init__(self, path: Path, report: object) -> None:
        text = json.dumps(report).encode() + b"\n"

        class Answer(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.sendall(text)

        self.server = socketserver.ThreadingUnixStreamServer(str(path), Answer)
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


def test_show_and_explain_print_the_states_of_front_doors(tmp_path: Path) -> None:
    left, well = failover_rig(), failover_rig()
    fail_all(left, 0, NOW)
    one, two, none = tmp_path / "n0.sock", tmp_path / "n1.sock", tmp_path / "n2.sock"
    servers = [
        ReportSocket(one, {"name": "n0", "zones": left.report(NOW + SECOND_US)}),
        ReportSocket(two, {"name": "n1", "zones": well.report(NOW + SECOND_US)}),
    ]
    try:
        run = CliRunner().invoke
        reports = json.loads(run(main, ["zones", "show", str(one), str(two), "--json"]).stdout)
        assert [zone["stand"] for zone in reports["n0"]["zones"]] == ["left", "serving", "serving"]
        assert reports["n0"]["zones"][0]["for_s"] == 1.0 and reports["n0"]["zones"][0]["share"] == 0.0
        shown = run(main, ["zones", "show", str(one), str(two), str(none)])
        assert shown.exit_code == 1 and "itself" in shown.output and "n2.sock" in shown.output
        why = run(main, ["zones", "explain", "0", str(one), str(two)])
        assert (
            why.exit_code == 0 and "n0  zone 0 left: by this front door's own attempts; 5 of 6" in why.output
        )
        assert "no change" in run(main, ["zones", "explain", "1", str(one)]).output
        assert run(main, ["zones", "show", str(none)]).exit_code == 2
    finally:
        for server in servers:
            server.close()


def test_the_history_in_a_report_is_bounded() -> None:
    zones, now = failover_rig(), NOW
    for _ in range(100):
        now += 20 * SECOND_US
        zones.record_success(1, backend_id(50), now - MS, now)
        fail_all(zones, 0, now)
        now += 17 * SECOND_US
        zones.record_success(0, backend_id(1), now - MS, now)
    assert len(zones.report(now)["changes"]) == MAX_HISTORY
