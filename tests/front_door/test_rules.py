"""The five rules, one at a time."""

from irisdeal.front_door.decisions.interface import (
    Action,
    Arrival,
    Cancel,
    Fail,
    ListKind,
    LoadReport,
    Refuse,
    RequestEnded,
    Result,
    Send,
    ServerList,
    ServerState,
)
from tests.support.decisions_rig import CEILED, KEYED, MS, SAFE, SECOND, UNSAFE, Desk, entry, name, of, plan


def final(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def test_a_request_nobody_answers_gets_one_answer_in_time() -> None:
    desk = Desk()
    number, _ = desk.ask(kind=UNSAFE, left=700 * MS)
    start = desk.now
    desk.run(2 * SECOND)
    answers = [(at, a) for at, a in desk.log if isinstance(a, Refuse | Fail)]
    assert [a for _, a in answers] == [Fail(number)]
    assert answers[0][0] <= start + 700 * MS + desk.settings.answer_grace


def test_nothing_is_sent_after_the_client_left() -> None:
    desk = Desk()
    number, actions = desk.ask(kind=SAFE)
    desk.give(RequestEnded(number))
    later = desk.end(number, of(Send, actions)[0].server, Result.ERROR)
    assert not of(Send, later) and not final(later)
    assert not of(Send, desk.run(3 * SECOND))


def test_unsafe_is_sent_again_only_when_it_never_ran() -> None:
    desk = Desk()
    number, actions = desk.ask(kind=UNSAFE)
    first = of(Send, actions)[0].server
    again = desk.end(number, first, Result.TURNED_AWAY)
    assert len(of(Send, again)) == 1 and of(Send, again)[0].server != first
    last = desk.end(number, of(Send, again)[0].server, Result.ERROR)
    assert final(last) == [Fail(number)] and not of(Send, last)


def test_keyed_stays_in_its_group_and_window() -> None:
    desk = Desk(servers=0)
    desk.give(ServerList(ListKind.COMPLETE, 2, tuple(entry(n, zone=n % 2) for n in range(6))))
    for result in (Result.ERROR, Result.CONNECTION_LOST):
        number, actions = desk.ask(kind=KEYED)
        first = of(Send, actions)[0].server
        again = of(Send, desk.end(number, first, result))
        assert len(again) == 1 and again[0].server[3] % 2 == first[3] % 2
        desk.end(number, again[0].server, Result.ERROR, attempt=1)
        desk.now += desk.settings.classes[KEYED].deadline
        desk.run(0)
        assert not any(isinstance(a, Refuse) for _, a in desk.log)


def test_keyed_that_never_ran_may_change_the_group() -> None:
    desk = Desk(servers=0)
    desk.give(ServerList(ListKind.COMPLETE, 2, (entry(1, zone=1), entry(2, zone=2))))
    number, actions = desk.ask(kind=KEYED)
    again = of(Send, desk.end(number, of(Send, actions)[0].server, Result.NOT_CONNECTED))
    assert len(again) == 1


def test_no_parallel_attempts_where_barred() -> None:
    desk = Desk(parallel_attempts=False)
    number, actions = desk.ask(kind=SAFE)
    later = desk.run(800 * MS)
    assert not of(Send, later)
    assert of(Cancel, later) == [Cancel(number, 0)]
    assert len(of(Send, desk.end(number, of(Send, actions)[0].server, Result.CANCELLED))) <= 1


def test_nothing_goes_to_a_draining_gone_or_absent_server() -> None:
    desk = Desk(servers=4)
    desk.give(ServerList(ListKind.CHANGES, 2, (entry(0, ServerState.DRAINING), entry(1, ServerState.GONE))))
    for _ in range(6):
        desk.ask()
    assert {a.server for _, a in desk.log if isinstance(a, Send)} == {name(2), name(3)}
    desk.run(4 * SECOND)
    desk.log.clear()
    desk.give(ServerList(ListKind.COMPLETE, 3, (entry(3),)))
    for _ in range(30):
        desk.serve()
    assert {a.server for _, a in desk.log if isinstance(a, Send)} <= {name(3)}


def test_a_cold_server_gets_no_more_than_our_part_of_its_budget() -> None:
    desk = Desk(servers=0)
    desk.give(ServerList(ListKind.COMPLETE, 2, (entry(0, started=desk.now),)))
    sent = sum(desk.serve() for _ in range(50))
    work = sent * desk.settings.classes[SAFE].aim / 6
    assert work <= 3.0 * 0.2 * SECOND / 3
    desk = Desk(servers=0)
    desk.give(ServerList(ListKind.COMPLETE, 2, (entry(0, started=desk.now - desk.settings.warm_up),)))
    assert all(desk.serve() for _ in range(20))


def test_a_ceiling_holds_over_a_restart_with_no_counter() -> None:
    units = 0.0
    for _ in range(3):
        desk = Desk(counter=False)
        for _ in range(40):
            units += sum(bool(of(Send, desk.ask(plan=CEILED)[1])) for _ in range(1))
    assert units <= 3.0


def test_a_ceiling_store_fills_at_our_part_of_its_rate() -> None:
    desk = Desk()
    for _ in range(40):
        desk.ask(plan=CEILED)
    desk.run(SECOND)
    sent = len({a.request for _, a in desk.log if isinstance(a, Send)})
    assert 1 <= sent <= 3


def test_a_gateway_outside_the_set_has_no_part_of_a_ceiling() -> None:
    desk = Desk(rank=2)
    actions = desk.give(Arrival(1, 4, CEILED, SAFE, SECOND, 1.0, 0, 2))
    assert not of(Send, actions)


def test_a_new_server_is_used_while_cold_but_not_pushed_over_by_250_gateways() -> None:
    """Lost: the budget over 250 gateways was less than one request, so a new server idled till warm."""
    base, start = Desk(gateways=250).settings, 77 * SECOND
    new = entry(0, started=start)
    sent: list[int] = []
    for rank in range(250):
        desk = Desk(servers=0, gateways=250, rank=rank, seed=rank, start=start)
        desk.give(ServerList(ListKind.COMPLETE, 2, (new, *(entry(n) for n in range(1, 60)))))
        for _ in range(100):  # five requests a second at each gateway
            for send in of(Send, desk.run(200 * MS) + desk.ask()[1]):
                if send.server == new.server:
                    sent.append(desk.now)
                desk.end(send.request, send.server)
    warming = sorted(at - start for at in sent if at - start < base.warm_up)
    assert len(warming) >= 15
    work = max(c.aim for c in base.classes) / 6  # what the module takes a request for, high on purpose
    for first in range(0, base.warm_up, 100 * MS):
        window = [at for at in warming if first <= at < first + base.fall_window]
        warmth = base.start_capacity + (1 - base.start_capacity) * first / base.warm_up
        assert len(window) * work <= base.fall_multiple * warmth * base.fall_window


def first_sends(told: float, answers: bool = True) -> int:
    """How many of ten requests at once pass under a ceiling with a part of ten units, right after a start."""
    plans = (plan(rate=3.0, burst=15.0, ceiling_rate=6.0, ceiling_depth=30.0, ceiling_slack=3.0),)
    desk = Desk(plans=plans)
    desk.counter_answers, desk.others = answers, told
    return sum(bool(of(Send, desk.ask(customer=4, plan=0)[1])) for _ in range(10))


def test_a_first_total_opens_half_of_the_ceiling_unless_the_customer_floods() -> None:
    """Lost: with an empty store at each of many gateways a ceiling refused most of the first seconds."""
    assert first_sends(0.0) in (2, 3, 4, 5)
    assert first_sends(1e4) == first_sends(0.0, answers=False) == 0


def turns_taken(service_ms: float | None) -> int:
    """How often forty gateways, asked twice a second each, use one cold server of twenty in its first 6 s."""
    start, taken = 77 * SECOND, 0
    new = entry(0, started=start)
    for rank in range(40):
        desk = Desk(servers=0, gateways=40, rank=rank, seed=rank, start=start)
        desk.give(ServerList(ListKind.COMPLETE, 2, (new, *(entry(n) for n in range(1, 20)))))
        load = None if service_ms is None else LoadReport(service_ms=service_ms, busy=0.3, waiting=0.0)
        for _ in range(12):
            for send in of(Send, desk.run(500 * MS) + desk.ask()[1]):
                taken += send.server == new.server
                desk.end(send.request, send.server, load=load)
    return taken


def test_turns_at_a_cold_server_are_worth_what_serving_takes() -> None:
    """Lost: by a first guess of 150 ms for work of 30 ms new servers idled while the others were full."""
    assert turns_taken(30.0) >= 3 * turns_taken(None) > 0
