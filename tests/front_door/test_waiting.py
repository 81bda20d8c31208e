"""Requests that wait in the module: whose turn it is, how long, and what gives way."""

from __future__ import annotations

import pytest

from irisdeal.front_door.decisions import gateway as gateway_module
from irisdeal.front_door.decisions.interface import Arrival, Refuse, RequestEnded, Result, Send, Woken
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
    Desk,
    name,
    of,
    plan,
)


def full_window(desk: Desk) -> None:
    """No attempt more may be out, whatever a request is worth."""
    desk.gateway.out = 1_000


def open_window(desk: Desk, places: int) -> list[int]:
    """So many attempts of one usual request may be out; who is sent, in order."""
    gateway = desk.gateway
    gateway.window = gateway.usual_window = 4.0 * places  # the cheapest band has half of it at least
    gateway.out = 4 * places - places
    gateway.window = 4.0 * places / gateway_module.BANDS[gateway._band(next(iter(gateway.requests.values())))]
    return [send.request for send in of(Send, desk.give(Woken(0)))]


def test_a_quiet_store_goes_before_the_backlog_of_a_greedy_one() -> None:
    desk = Desk(counter=False)
    full_window(desk)
    greedy = [desk.ask(customer=1)[0] for _ in range(20)]
    quiet = desk.ask(customer=2)[0]
    assert open_window(desk, 2) == [greedy[0], quiet]


def test_a_head_whose_worth_has_sunk_holds_up_nobody_behind_it() -> None:
    """Lost: the queue went by the band it came in with and the window by its band of now, so all stood."""
    desk = Desk(counter=False)
    full_window(desk)
    sunk = desk.ask(customer=1, plan=FREE, kind=SAFE)[0]
    dear = desk.ask(customer=2, plan=RATED, kind=KEYED)[0]
    gateway = desk.gateway
    came, gateway.usual[SAFE] = gateway._band(gateway.requests[sunk]), 4.0 * gateway.usual[SAFE]
    now = gateway._band(gateway.requests[sunk])
    gateway.window, gateway.out = 5.0, 3
    assert (
        gateway_module.BANDS[now] * gateway.window
        < gateway.out
        < gateway_module.BANDS[came] * gateway.window - 1
    )
    assert [send.request for send in of(Send, desk.give(Woken(0)))] == [sunk, dear]


def test_where_attempts_are_spaced_out_a_dearer_request_goes_before_a_cheap_head() -> None:
    desk = Desk(counter=False)
    full_window(desk)
    cheap, dear = desk.ask(customer=1)[0], desk.ask(customer=2, units=4.0)[0]
    gateway = desk.gateway
    # Less than one at once: a cheap one each two usual times, the dearest as soon as nothing is out.
    gateway.window, gateway.out, gateway.last_sent = 0.5, 0, desk.now
    assert [send.request for send in of(Send, desk.give(Woken(0)))] == [dear]
    gateway.out, gateway.last_sent = 0, desk.now - int(2 * gateway.usual[SAFE])
    assert cheap in [send.request for send in of(Send, desk.run(2 * gateway_module.NO_SERVER_PAUSE))]


def test_what_waits_for_the_fleet_is_refused_at_once_when_its_wait_is_over() -> None:
    """Held for the sake of a slot that a standing queue never gives, it would only be late."""
    desk = Desk(counter=False)
    full_window(desk)
    desk.ask()
    spare = desk.settings.classes[SAFE].aim - desk.gateway.usual[SAFE]
    assert not of(Refuse, desk.run(int(gateway_module.QUEUE_SHARE * spare) - 5 * MS))
    assert of(Refuse, desk.run(10 * MS))


def test_what_waits_for_its_own_bound_waits_longer() -> None:
    desk = Desk(counter=False)
    for _ in range(2):
        desk.ask(customer=4, plan=CAPPED)
    waiting = desk.ask(customer=4, plan=CAPPED)[0]
    spare = desk.settings.classes[SAFE].aim - desk.gateway.usual[SAFE]
    assert not of(Refuse, desk.run(int(gateway_module.HOLD_SHARE * spare) - 5 * MS))
    assert [r.request for r in of(Refuse, desk.run(10 * MS))] == [waiting]


def test_a_head_that_waits_for_its_ceiling_holds_up_no_other_store() -> None:
    desk = Desk(counter=False)
    stuck, actions = desk.ask(customer=1, plan=CEILED)
    assert not of(Send, actions)
    other, actions = desk.ask(customer=2, plan=FREE)
    assert [send.request for send in of(Send, actions)] == [other]
    sent = of(Send, desk.run(SECOND))
    assert sent[0].request == stuck  # once its part of the ceiling has filled up


def test_what_its_ceiling_cannot_pass_in_time_is_refused_at_once() -> None:
    """Lost: it was held for the half second that it may wait, with nothing to hope for."""
    desk = Desk(counter=False)
    number, actions = desk.ask(customer=1, plan=CEILED, units=4.0)  # 1.75 s of its part of the ceiling
    assert [refused.request for refused in of(Refuse, actions)] == [number]
    assert not desk.gateway.queue.entries and not desk.gateway.requests


def test_a_bound_that_grows_lets_go_what_it_held() -> None:
    desk = Desk(counter=False)
    desk.ask(customer=4, plan=CAPPED)
    customer = desk.gateway.customers[4, CAPPED]
    customer.bound = 1  # as with a large total
    waiting, actions = desk.ask(customer=4, plan=CAPPED)
    assert not of(Send, actions)
    customer.told_at, customer.total, customer.mine_then = desk.now, 0.001, customer.mine
    _, actions = desk.ask(customer=4, plan=CAPPED)  # its total is known now: all ask next to nothing
    assert customer.bound == 2 and waiting in {send.request for send in of(Send, actions)}


def test_with_nothing_waiting_the_queue_remembers_nobody() -> None:
    desk = Desk(counter=False)
    for n in range(5):
        desk.serve(customer=n)
    assert desk.gateway.queue.flows == 0


def test_mass_departure_while_queued_leaves_nothing_behind() -> None:
    desk = Desk(counter=False)
    full_window(desk)
    numbers = [desk.ask(customer=n)[0] for n in range(50)]
    desk.give(*(RequestEnded(number) for number in numbers))
    gateway = desk.gateway
    assert not gateway.queue.entries and not gateway.requests and not gateway.queue.bytes
    assert all(customer.waiting == 0 for customer in gateway.customers.values())


def test_time_outs_and_a_free_place_in_one_turn() -> None:
    """What can be sent in a turn is not refused in it, even where its time is up in that very turn."""
    desk = Desk(counter=False)
    full_window(desk)
    first, second = desk.ask(customer=1)[0], desk.ask(customer=2)[0]
    spare = desk.settings.classes[SAFE].aim - desk.gateway.usual[SAFE]
    desk.now += int(gateway_module.QUEUE_SHARE * spare)
    gateway = desk.gateway
    gateway.window, gateway.out = 4.0, 4
    gateway.window = 5.0 / gateway_module.BANDS[gateway._band(gateway.requests[first])]
    actions = desk.give(Woken(0))
    assert [send.request for send in of(Send, actions)] == [first]
    assert [refused.request for refused in of(Refuse, actions)] == [second]


@pytest.mark.parametrize(("entries", "size"), [(8, 1 << 30), (1_000, 8_000)])
def test_past_its_bound_the_longest_queue_is_refused_at_once(entries: int, size: int) -> None:
    desk = Desk(counter=False)
    desk.gateway.queue = FairQueue(gateway_module.BANDS, entries, size, 100)
    full_window(desk)
    greedy = []
    for _ in range(8):
        greedy.append(desk.next_request)
        desk.next_request += 1
        desk.give(Arrival(greedy[-1], 1, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, size=1_000))
    quiet = desk.next_request
    actions = desk.give(Arrival(quiet, 2, FREE, SAFE, 3 * SECOND, 1.0, 0, 3, size=1_000))
    assert [refused.request for refused in of(Refuse, actions)] == [greedy[-1]]
    assert desk.gateway.customers[1, FREE].waiting == 7


def test_a_flood_of_new_stores_leaves_a_bounded_queue_and_room_for_the_quiet() -> None:
    """Ten thousand stores with one request each while the fleet answers slowly."""
    plans = (plan(rate=2.0, burst=8.0), plan(rate=2.0, burst=8.0))
    desk = Desk(servers=4, plans=plans, gateways=1, counter=False)
    open_until: list[tuple[int, int, bytes]] = []
    waited: dict[int, int] = {}
    waits: list[int] = []
    lost = most = 0

    def note(actions: list[object]) -> None:
        nonlocal lost
        for action in actions:
            if isinstance(action, Send):
                open_until.append((desk.now + 100 * MS, action.request, action.server))
                if action.request in waited:
                    waits.append(desk.now - waited.pop(action.request))
            elif isinstance(action, Refuse):
                lost += waited.pop(action.request, None) is not None

    for n in range(10_000):
        number, actions = desk.ask(customer=10_000 + n, plan=0, gateways=1)
        note([*actions])
        if n % 20 == 0:  # a quiet store of the other plan
            number = desk.next_request
            waited[number] = desk.now
            note([*desk.ask(customer=n % 2_000, plan=1, gateways=1)[1]])
        note([*desk.run(2 * MS)])
        while open_until and open_until[0][0] <= desk.now:
            _, number, server = open_until.pop(0)
            note([*desk.end(number, server, Result.OK, 100 * MS, attempt=0)])
        queue = desk.gateway.queue
        most = max(most, queue.entries)
        assert queue.flows <= gateway_module.MOST_QUEUES
    assert most <= gateway_module.MOST_WAITING and len(waits) > 480 and lost <= 5
    assert sorted(waits)[int(0.99 * len(waits))] <= 150 * MS
    assert desk.attempts and name(0)


def test_a_request_whose_time_cannot_suffice_is_refused_at_once() -> None:
    """Lost: it was sent on, a box worked for nobody, and its refusal came when its time was all but over."""
    desk = Desk(counter=False)
    for _ in range(20):
        number, actions = desk.ask()
        desk.end(number, of(Send, actions)[0].server, took=80 * MS)
    hopeless, actions = desk.ask(left=60 * MS)
    assert [refused.request for refused in of(Refuse, actions)] == [hopeless] and not of(Send, actions)
    _, actions = desk.ask(left=100 * MS)
    assert of(Send, actions)


def test_the_least_time_creeps_up_once_boxes_are_slower() -> None:
    desk = Desk(counter=False)
    for took in [20 * MS] + 300 * [80 * MS]:
        number, actions = desk.ask()
        desk.end(number, of(Send, actions)[0].server, took=took)
    assert of(Refuse, desk.ask(left=60 * MS)[1])
