"""Requests that wait in the decision module: their order, their timeouts and the bounds of the queue."""

from __future__ import annotations

import pytest

from irisdeal.front_door.decisions import gateway as gateway_module
from irisdeal.front_door.decisions.interface import (
    RejectRequest,
    RequestArrived,
    RequestEnded,
    Result,
    StartAttempt,
    TimerFired,
)
from irisdeal.front_door.queueing.fair_queue import FairQueue
from tests.support.decisions_rig import (
    CAPPED,
    CEILED,
    FREE,
    KEYED,
    MS,
    RATED,
    SAFE,
    SECOND,
    GatewayHarness,
    actions_of_type,
    make_plan,
    server_id,
)


def full_window(harness: GatewayHarness) -> None:
    """Leave no room in the window of any band."""
    harness.gateway.in_flight = 1_000


def open_window(harness: GatewayHarness, slots: int) -> list[int]:
    """Make room for so many attempts of the first request's band; return the requests sent, in order."""
    gateway = harness.gateway
    gateway.window = gateway.usual_window = 4.0 * slots  # the window of the lowest band is half of it
    gateway.in_flight = 4 * slots - slots
    gateway.window = (
        4.0 * slots / gateway_module.BAND_WEIGHTS[gateway._value_band(next(iter(gateway.requests.values())))]
    )
    return [send.request_id for send in actions_of_type(StartAttempt, harness.handle(TimerFired(0)))]


def test_an_account_with_one_request_goes_before_the_backlog_of_another() -> None:
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    backlog = [harness.send_request(account_id=1)[0] for _ in range(20)]
    single = harness.send_request(account_id=2)[0]
    assert open_window(harness, 2) == [backlog[0], single]


def test_a_head_of_reduced_value_does_not_block_the_queue() -> None:
    """Guards against: the queue uses the band of arrival, the window the current one, and nothing is sent."""
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    devalued = harness.send_request(account_id=1, plan_index=FREE, class_index=SAFE)[0]
    valuable = harness.send_request(account_id=2, plan_index=RATED, class_index=KEYED)[0]
    gateway = harness.gateway
    queued_band, gateway.mean_duration_us[SAFE] = (
        gateway._value_band(gateway.requests[devalued]),
        4.0 * gateway.mean_duration_us[SAFE],
    )
    current_band = gateway._value_band(gateway.requests[devalued])
    gateway.window, gateway.in_flight = 5.0, 3
    assert (
        gateway_module.BAND_WEIGHTS[current_band] * gateway.window
        < gateway.in_flight
        < gateway_module.BAND_WEIGHTS[queued_band] * gateway.window - 1
    )
    assert [send.request_id for send in actions_of_type(StartAttempt, harness.handle(TimerFired(0)))] == [
        devalued,
        valuable,
    ]


def test_with_a_window_below_one_the_request_of_higher_value_goes_first() -> None:
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    cheap, valuable = harness.send_request(account_id=1)[0], harness.send_request(account_id=2, units=4.0)[0]
    gateway = harness.gateway
    # A window below 1: a cheap request every two mean durations, a valuable one as soon as none is in flight.
    gateway.window, gateway.in_flight, gateway.last_sent_at = 0.5, 0, harness.now
    assert [send.request_id for send in actions_of_type(StartAttempt, harness.handle(TimerFired(0)))] == [
        valuable
    ]
    gateway.in_flight, gateway.last_sent_at = 0, harness.now - int(2 * gateway.mean_duration_us[SAFE])
    assert cheap in [
        send.request_id
        for send in actions_of_type(StartAttempt, harness.advance(2 * gateway_module.DISPATCH_RETRY_US))
    ]


def test_a_wait_for_servers_ends_early() -> None:
    """With a standing queue a longer wait would only make the response late."""
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    harness.send_request()
    spare = harness.settings.classes[SAFE].latency_target_us - harness.gateway.mean_duration_us[SAFE]
    assert not actions_of_type(
        RejectRequest, harness.advance(int(gateway_module.FLEET_WAIT_TARGET_RATIO * spare) - 5 * MS)
    )
    assert actions_of_type(RejectRequest, harness.advance(10 * MS))


def test_a_wait_for_the_own_limit_lasts_longer() -> None:
    harness = GatewayHarness(has_counter=False)
    for _ in range(2):
        harness.send_request(account_id=4, plan_index=CAPPED)
    waiting = harness.send_request(account_id=4, plan_index=CAPPED)[0]
    spare = harness.settings.classes[SAFE].latency_target_us - harness.gateway.mean_duration_us[SAFE]
    assert not actions_of_type(
        RejectRequest, harness.advance(int(gateway_module.TENANT_WAIT_TARGET_RATIO * spare) - 5 * MS)
    )
    assert [r.request_id for r in actions_of_type(RejectRequest, harness.advance(10 * MS))] == [waiting]


def test_a_head_that_waits_for_its_ceiling_blocks_no_other_account() -> None:
    harness = GatewayHarness(has_counter=False)
    blocked, actions = harness.send_request(account_id=1, plan_index=CEILED)
    assert not actions_of_type(StartAttempt, actions)
    other, actions = harness.send_request(account_id=2, plan_index=FREE)
    assert [send.request_id for send in actions_of_type(StartAttempt, actions)] == [other]
    sent = actions_of_type(StartAttempt, harness.advance(SECOND))
    assert sent[0].request_id == blocked  # once its share of the ceiling is refilled


def test_a_request_that_its_ceiling_cannot_admit_in_time_is_rejected_at_once() -> None:
    """Guards against: it waits for the half second that is permitted, in vain."""
    harness = GatewayHarness(has_counter=False)
    # 1.75 s of its share of the ceiling
    number, actions = harness.send_request(account_id=1, plan_index=CEILED, units=4.0)
    assert [rejected.request_id for rejected in actions_of_type(RejectRequest, actions)] == [number]
    assert not harness.gateway.queue.entries and not harness.gateway.requests


def test_a_higher_limit_releases_waiting_requests() -> None:
    harness = GatewayHarness(has_counter=False)
    harness.send_request(account_id=4, plan_index=CAPPED)
    tenant = harness.gateway.tenants[4, CAPPED]
    tenant.local_max_in_flight = 1  # as with a large total
    waiting, actions = harness.send_request(account_id=4, plan_index=CAPPED)
    assert not actions_of_type(StartAttempt, actions)
    tenant.total_known_at, tenant.total_demand, tenant.local_demand_at_total = (
        harness.now,
        0.001,
        tenant.local_demand,
    )
    # with a known total of almost no demand
    _, actions = harness.send_request(account_id=4, plan_index=CAPPED)
    assert tenant.local_max_in_flight == 2 and waiting in {
        send.request_id for send in actions_of_type(StartAttempt, actions)
    }


def test_an_empty_queue_keeps_no_flows() -> None:
    harness = GatewayHarness(has_counter=False)
    for n in range(5):
        harness.serve_request(account_id=n)
    assert harness.gateway.queue.flows == 0


def test_disconnects_of_all_queued_clients_leave_no_state() -> None:
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    numbers = [harness.send_request(account_id=n)[0] for n in range(50)]
    harness.handle(*(RequestEnded(number) for number in numbers))
    gateway = harness.gateway
    assert not gateway.queue.entries and not gateway.requests and not gateway.queue.bytes
    assert all(tenant.queued == 0 for tenant in gateway.tenants.values())


def test_timeout_and_free_slot_at_once() -> None:
    """A request that can be sent is not rejected, even if its wait ends at the same time."""
    harness = GatewayHarness(has_counter=False)
    full_window(harness)
    first, second = harness.send_request(account_id=1)[0], harness.send_request(account_id=2)[0]
    spare = harness.settings.classes[SAFE].latency_target_us - harness.gateway.mean_duration_us[SAFE]
    harness.now += int(gateway_module.FLEET_WAIT_TARGET_RATIO * spare)
    gateway = harness.gateway
    gateway.window, gateway.in_flight = 4.0, 4
    gateway.window = 5.0 / gateway_module.BAND_WEIGHTS[gateway._value_band(gateway.requests[first])]
    actions = harness.handle(TimerFired(0))
    assert [send.request_id for send in actions_of_type(StartAttempt, actions)] == [first]
    assert [rejected.request_id for rejected in actions_of_type(RejectRequest, actions)] == [second]


@pytest.mark.parametrize(("entries", "size"), [(8, 1 << 30), (1_000, 8_000)])
def test_a_full_queue_drops_from_the_longest_flow(entries: int, size: int) -> None:
    harness = GatewayHarness(has_counter=False)
    harness.gateway.queue = FairQueue(gateway_module.BAND_WEIGHTS, entries, size, 100)
    full_window(harness)
    backlog = []
    for _ in range(8):
        backlog.append(harness.next_request_id)
        harness.next_request_id += 1
        harness.handle(RequestArrived(backlog[-1], 1, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, body_bytes=1_000))
    single = harness.next_request_id
    actions = harness.handle(RequestArrived(single, 2, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, body_bytes=1_000))
    assert [rejected.request_id for rejected in actions_of_type(RejectRequest, actions)] == [backlog[-1]]
    assert harness.gateway.tenants[1, FREE].queued == 7


def test_a_flood_of_new_accounts_leaves_a_bounded_queue_and_capacity_for_others() -> None:
    """10,000 accounts with one request each while the fleet answers slowly."""
    plans = (make_plan(rate_per_s=2.0, burst=8.0), make_plan(rate_per_s=2.0, burst=8.0))
    harness = GatewayHarness(servers=4, plans=plans, gateway_count=1, has_counter=False)
    responses_due: list[tuple[int, int, bytes]] = []
    waited: dict[int, int] = {}
    waits: list[int] = []
    lost_count = max_entries = 0

    def record(actions: list[object]) -> None:
        nonlocal lost_count
        for action in actions:
            if isinstance(action, StartAttempt):
                responses_due.append((harness.now + 100 * MS, action.request_id, action.server_id))
                if action.request_id in waited:
                    waits.append(harness.now - waited.pop(action.request_id))
            elif isinstance(action, RejectRequest):
                lost_count += waited.pop(action.request_id, None) is not None

    for n in range(10_000):
        number, actions = harness.send_request(account_id=10_000 + n, plan_index=0, gateway_count=1)
        record([*actions])
        if n % 20 == 0:  # an account of the other plan with little demand
            number = harness.next_request_id
            waited[number] = harness.now
            record([*harness.send_request(account_id=n % 2_000, plan_index=1, gateway_count=1)[1]])
        record([*harness.advance(2 * MS)])
        while responses_due and responses_due[0][0] <= harness.now:
            _, number, server = responses_due.pop(0)
            record([*harness.end_attempt(number, server, Result.OK, 100 * MS, attempt_index=0)])
        queue = harness.gateway.queue
        max_entries = max(max_entries, queue.entries)
        assert queue.flows <= gateway_module.MAX_FLOWS
    assert max_entries <= gateway_module.MAX_QUEUED_REQUESTS and len(waits) > 480 and lost_count <= 5
    assert sorted(waits)[int(0.99 * len(waits))] <= 150 * MS
    assert harness.attempts and server_id(0)


def test_a_request_with_too_little_time_is_rejected_at_once() -> None:
    """Guards against: it is forwarded, a server works in vain, and it is rejected only at its deadline."""
    harness = GatewayHarness(has_counter=False)
    for _ in range(20):
        number, actions = harness.send_request()
        harness.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, duration_us=80 * MS)
    hopeless, actions = harness.send_request(time_left_us=60 * MS)
    assert [rejected.request_id for rejected in actions_of_type(RejectRequest, actions)] == [
        hopeless
    ] and not actions_of_type(StartAttempt, actions)
    _, actions = harness.send_request(time_left_us=100 * MS)
    assert actions_of_type(StartAttempt, actions)


def test_the_minimum_duration_rises_once_servers_are_slower() -> None:
    harness = GatewayHarness(has_counter=False)
    for duration_us in [20 * MS] + 300 * [80 * MS]:
        number, actions = harness.send_request()
        harness.end_attempt(
            number, actions_of_type(StartAttempt, actions)[0].server_id, duration_us=duration_us
        )
    assert actions_of_type(RejectRequest, harness.send_request(time_left_us=60 * MS)[1])
