"""Requests that wait in the module: whose turn it is, how long, and what gives way."""

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


def full_window(desk: GatewayHarness) -> None:
    """No attempt more may be out, whatever a request is worth."""
    desk.gateway.in_flight = 1_000


def open_window(desk: GatewayHarness, places: int) -> list[int]:
    """So many attempts of one usual request may be out; who is sent, in order."""
    gateway = desk.gateway
    gateway.window = gateway.usual_window = 4.0 * places  # the cheapest band has half of it at least
    gateway.in_flight = 4 * places - places
    gateway.window = (
        4.0 * places / gateway_module.BANDS[gateway._value_band(next(iter(gateway.requests.values())))]
    )
    return [send.request_id for send in actions_of_type(StartAttempt, desk.handle(TimerFired(0)))]


def test_a_quiet_store_goes_before_the_backlog_of_a_greedy_one() -> None:
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    greedy = [desk.send_request(account_id=1)[0] for _ in range(20)]
    quiet = desk.send_request(account_id=2)[0]
    assert open_window(desk, 2) == [greedy[0], quiet]


def test_a_head_whose_worth_has_sunk_holds_up_nobody_behind_it() -> None:
    """Lost: the queue went by the band it came in with and the window by its band of now, so all stood."""
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    sunk = desk.send_request(account_id=1, plan_index=FREE, class_index=SAFE)[0]
    dear = desk.send_request(account_id=2, plan_index=RATED, class_index=KEYED)[0]
    gateway = desk.gateway
    came, gateway.mean_duration_us[SAFE] = (
        gateway._value_band(gateway.requests[sunk]),
        4.0 * gateway.mean_duration_us[SAFE],
    )
    now = gateway._value_band(gateway.requests[sunk])
    gateway.window, gateway.in_flight = 5.0, 3
    assert (
        gateway_module.BANDS[now] * gateway.window
        < gateway.in_flight
        < gateway_module.BANDS[came] * gateway.window - 1
    )
    assert [send.request_id for send in actions_of_type(StartAttempt, desk.handle(TimerFired(0)))] == [
        sunk,
        dear,
    ]


def test_where_attempts_are_spaced_out_a_dearer_request_goes_before_a_cheap_head() -> None:
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    cheap, dear = desk.send_request(account_id=1)[0], desk.send_request(account_id=2, units=4.0)[0]
    gateway = desk.gateway
    # Less than one at once: a cheap one each two usual times, the dearest as soon as nothing is out.
    gateway.window, gateway.in_flight, gateway.last_sent_at = 0.5, 0, desk.now
    assert [send.request_id for send in actions_of_type(StartAttempt, desk.handle(TimerFired(0)))] == [dear]
    gateway.in_flight, gateway.last_sent_at = 0, desk.now - int(2 * gateway.mean_duration_us[SAFE])
    assert cheap in [
        send.request_id
        for send in actions_of_type(StartAttempt, desk.advance(2 * gateway_module.NO_SERVER_PAUSE))
    ]


def test_what_waits_for_the_fleet_is_refused_at_once_when_its_wait_is_over() -> None:
    """Held for the sake of a slot that a standing queue never gives, it would only be late."""
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    desk.send_request()
    spare = desk.settings.classes[SAFE].latency_target_us - desk.gateway.mean_duration_us[SAFE]
    assert not actions_of_type(RejectRequest, desk.advance(int(gateway_module.QUEUE_SHARE * spare) - 5 * MS))
    assert actions_of_type(RejectRequest, desk.advance(10 * MS))


def test_what_waits_for_its_own_bound_waits_longer() -> None:
    desk = GatewayHarness(has_counter=False)
    for _ in range(2):
        desk.send_request(account_id=4, plan_index=CAPPED)
    waiting = desk.send_request(account_id=4, plan_index=CAPPED)[0]
    spare = desk.settings.classes[SAFE].latency_target_us - desk.gateway.mean_duration_us[SAFE]
    assert not actions_of_type(RejectRequest, desk.advance(int(gateway_module.HOLD_SHARE * spare) - 5 * MS))
    assert [r.request_id for r in actions_of_type(RejectRequest, desk.advance(10 * MS))] == [waiting]


def test_a_head_that_waits_for_its_ceiling_holds_up_no_other_store() -> None:
    desk = GatewayHarness(has_counter=False)
    stuck, actions = desk.send_request(account_id=1, plan_index=CEILED)
    assert not actions_of_type(StartAttempt, actions)
    other, actions = desk.send_request(account_id=2, plan_index=FREE)
    assert [send.request_id for send in actions_of_type(StartAttempt, actions)] == [other]
    sent = actions_of_type(StartAttempt, desk.advance(SECOND))
    assert sent[0].request_id == stuck  # once its part of the ceiling has filled up


def test_what_its_ceiling_cannot_pass_in_time_is_refused_at_once() -> None:
    """Lost: it was held for the half second that it may wait, with nothing to hope for."""
    desk = GatewayHarness(has_counter=False)
    number, actions = desk.send_request(
        account_id=1, plan_index=CEILED, units=4.0
    )  # 1.75 s of its part of the ceiling
    assert [refused.request_id for refused in actions_of_type(RejectRequest, actions)] == [number]
    assert not desk.gateway.queue.entries and not desk.gateway.requests


def test_a_bound_that_grows_lets_go_what_it_held() -> None:
    desk = GatewayHarness(has_counter=False)
    desk.send_request(account_id=4, plan_index=CAPPED)
    customer = desk.gateway.tenants[4, CAPPED]
    customer.max_in_flight = 1  # as with a large total
    waiting, actions = desk.send_request(account_id=4, plan_index=CAPPED)
    assert not actions_of_type(StartAttempt, actions)
    customer.total_known_at, customer.total_demand, customer.local_demand_at_total = (
        desk.now,
        0.001,
        customer.local_demand,
    )
    _, actions = desk.send_request(
        account_id=4, plan_index=CAPPED
    )  # its total is known now: all ask next to nothing
    assert customer.max_in_flight == 2 and waiting in {
        send.request_id for send in actions_of_type(StartAttempt, actions)
    }


def test_with_nothing_waiting_the_queue_remembers_nobody() -> None:
    desk = GatewayHarness(has_counter=False)
    for n in range(5):
        desk.serve_request(account_id=n)
    assert desk.gateway.queue.flows == 0


def test_mass_departure_while_queued_leaves_nothing_behind() -> None:
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    numbers = [desk.send_request(account_id=n)[0] for n in range(50)]
    desk.handle(*(RequestEnded(number) for number in numbers))
    gateway = desk.gateway
    assert not gateway.queue.entries and not gateway.requests and not gateway.queue.bytes
    assert all(customer.queued == 0 for customer in gateway.tenants.values())


def test_time_outs_and_a_free_place_in_one_turn() -> None:
    """What can be sent in a turn is not refused in it, even where its time is up in that very turn."""
    desk = GatewayHarness(has_counter=False)
    full_window(desk)
    first, second = desk.send_request(account_id=1)[0], desk.send_request(account_id=2)[0]
    spare = desk.settings.classes[SAFE].latency_target_us - desk.gateway.mean_duration_us[SAFE]
    desk.now += int(gateway_module.QUEUE_SHARE * spare)
    gateway = desk.gateway
    gateway.window, gateway.in_flight = 4.0, 4
    gateway.window = 5.0 / gateway_module.BANDS[gateway._value_band(gateway.requests[first])]
    actions = desk.handle(TimerFired(0))
    assert [send.request_id for send in actions_of_type(StartAttempt, actions)] == [first]
    assert [refused.request_id for refused in actions_of_type(RejectRequest, actions)] == [second]


@pytest.mark.parametrize(("entries", "size"), [(8, 1 << 30), (1_000, 8_000)])
def test_past_its_bound_the_longest_queue_is_refused_at_once(entries: int, size: int) -> None:
    desk = GatewayHarness(has_counter=False)
    desk.gateway.queue = FairQueue(gateway_module.BANDS, entries, size, 100)
    full_window(desk)
    greedy = []
    for _ in range(8):
        greedy.append(desk.next_request_id)
        desk.next_request_id += 1
        desk.handle(RequestArrived(greedy[-1], 1, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, body_bytes=1_000))
    quiet = desk.next_request_id
    actions = desk.handle(RequestArrived(quiet, 2, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, body_bytes=1_000))
    assert [refused.request_id for refused in actions_of_type(RejectRequest, actions)] == [greedy[-1]]
    assert desk.gateway.tenants[1, FREE].queued == 7


def test_a_flood_of_new_stores_leaves_a_bounded_queue_and_room_for_the_quiet() -> None:
    """Ten thousand stores with one request each while the fleet answers slowly."""
    plans = (make_plan(rate_per_s=2.0, burst=8.0), make_plan(rate_per_s=2.0, burst=8.0))
    desk = GatewayHarness(servers=4, plans=plans, gateway_count=1, has_counter=False)
    open_until: list[tuple[int, int, bytes]] = []
    waited: dict[int, int] = {}
    waits: list[int] = []
    lost = most = 0

    def note(actions: list[object]) -> None:
        nonlocal lost
        for action in actions:
            if isinstance(action, StartAttempt):
                open_until.append((desk.now + 100 * MS, action.request_id, action.server_id))
                if action.request_id in waited:
                    waits.append(desk.now - waited.pop(action.request_id))
            elif isinstance(action, RejectRequest):
                lost += waited.pop(action.request_id, None) is not None

    for n in range(10_000):
        number, actions = desk.send_request(account_id=10_000 + n, plan_index=0, gateway_count=1)
        note([*actions])
        if n % 20 == 0:  # a quiet store of the other plan
            number = desk.next_request_id
            waited[number] = desk.now
            note([*desk.send_request(account_id=n % 2_000, plan_index=1, gateway_count=1)[1]])
        note([*desk.advance(2 * MS)])
        while open_until and open_until[0][0] <= desk.now:
            _, number, server = open_until.pop(0)
            note([*desk.end_attempt(number, server, Result.OK, 100 * MS, attempt_index=0)])
        queue = desk.gateway.queue
        most = max(most, queue.entries)
        assert queue.flows <= gateway_module.MOST_QUEUES
    assert most <= gateway_module.MOST_WAITING and len(waits) > 480 and lost <= 5
    assert sorted(waits)[int(0.99 * len(waits))] <= 150 * MS
    assert desk.attempts and server_id(0)


def test_a_request_whose_time_cannot_suffice_is_refused_at_once() -> None:
    """Lost: it was sent on, a box worked for nobody, and its refusal came when its time was all but over."""
    desk = GatewayHarness(has_counter=False)
    for _ in range(20):
        number, actions = desk.send_request()
        desk.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, duration_us=80 * MS)
    hopeless, actions = desk.send_request(time_left_us=60 * MS)
    assert [refused.request_id for refused in actions_of_type(RejectRequest, actions)] == [
        hopeless
    ] and not actions_of_type(StartAttempt, actions)
    _, actions = desk.send_request(time_left_us=100 * MS)
    assert actions_of_type(StartAttempt, actions)


def test_the_least_time_creeps_up_once_boxes_are_slower() -> None:
    desk = GatewayHarness(has_counter=False)
    for took in [20 * MS] + 300 * [80 * MS]:
        number, actions = desk.send_request()
        desk.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, duration_us=took)
    assert actions_of_type(RejectRequest, desk.send_request(time_left_us=60 * MS)[1])
