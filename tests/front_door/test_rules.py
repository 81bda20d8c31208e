"""The five rules, one at a time."""

from irisdeal.front_door.decisions.interface import (
    Action,
    CancelAttempt,
    FailRequest,
    LoadReport,
    RejectRequest,
    RequestArrived,
    RequestEnded,
    Result,
    ServerList,
    ServerListKind,
    ServerState,
    StartAttempt,
)
from tests.support.decisions_rig import (
    CEILED,
    KEYED,
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    GatewayHarness,
    actions_of_type,
    make_plan,
    server_entry,
    server_id,
)


def final(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def test_a_request_nobody_answers_gets_one_answer_in_time() -> None:
    desk = GatewayHarness()
    number, _ = desk.send_request(class_index=UNSAFE, time_left_us=700 * MS)
    start = desk.now
    desk.advance(2 * SECOND)
    answers = [(at, a) for at, a in desk.log if isinstance(a, RejectRequest | FailRequest)]
    assert [a for _, a in answers] == [FailRequest(number)]
    assert answers[0][0] <= start + 700 * MS + desk.settings.answer_grace_us


def test_nothing_is_sent_after_the_client_left() -> None:
    desk = GatewayHarness()
    number, actions = desk.send_request(class_index=SAFE)
    desk.handle(RequestEnded(number))
    later = desk.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, Result.ERROR)
    assert not actions_of_type(StartAttempt, later) and not final(later)
    assert not actions_of_type(StartAttempt, desk.advance(3 * SECOND))


def test_unsafe_is_sent_again_only_when_it_never_ran() -> None:
    desk = GatewayHarness()
    number, actions = desk.send_request(class_index=UNSAFE)
    first = actions_of_type(StartAttempt, actions)[0].server_id
    again = desk.end_attempt(number, first, Result.TURNED_AWAY)
    assert (
        len(actions_of_type(StartAttempt, again)) == 1
        and actions_of_type(StartAttempt, again)[0].server_id != first
    )
    last = desk.end_attempt(number, actions_of_type(StartAttempt, again)[0].server_id, Result.ERROR)
    assert final(last) == [FailRequest(number)] and not actions_of_type(StartAttempt, last)


def test_keyed_stays_in_its_group_and_window() -> None:
    desk = GatewayHarness(servers=0)
    desk.handle(ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 2) for n in range(6))))
    for result in (Result.ERROR, Result.CONNECTION_LOST):
        number, actions = desk.send_request(class_index=KEYED)
        first = actions_of_type(StartAttempt, actions)[0].server_id
        again = actions_of_type(StartAttempt, desk.end_attempt(number, first, result))
        assert len(again) == 1 and again[0].server_id[3] % 2 == first[3] % 2
        desk.end_attempt(number, again[0].server_id, Result.ERROR, attempt_index=1)
        desk.now += desk.settings.classes[KEYED].deadline_us
        desk.advance(0)
        assert not any(isinstance(a, RejectRequest) for _, a in desk.log)


def test_keyed_that_never_ran_may_change_the_group() -> None:
    desk = GatewayHarness(servers=0)
    desk.handle(ServerList(ServerListKind.COMPLETE, 2, (server_entry(1, zone=1), server_entry(2, zone=2))))
    number, actions = desk.send_request(class_index=KEYED)
    again = actions_of_type(
        StartAttempt,
        desk.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, Result.NOT_CONNECTED),
    )
    assert len(again) == 1


def test_no_parallel_attempts_where_barred() -> None:
    desk = GatewayHarness(may_hedge=False)
    number, actions = desk.send_request(class_index=SAFE)
    later = desk.advance(800 * MS)
    assert not actions_of_type(StartAttempt, later)
    assert actions_of_type(CancelAttempt, later) == [CancelAttempt(number, 0)]
    assert (
        len(
            actions_of_type(
                StartAttempt,
                desk.end_attempt(
                    number, actions_of_type(StartAttempt, actions)[0].server_id, Result.CANCELLED
                ),
            )
        )
        <= 1
    )


def test_nothing_goes_to_a_draining_gone_or_absent_server() -> None:
    desk = GatewayHarness(servers=4)
    desk.handle(
        ServerList(
            ServerListKind.CHANGES,
            2,
            (server_entry(0, ServerState.DRAINING), server_entry(1, ServerState.GONE)),
        )
    )
    for _ in range(6):
        desk.send_request()
    assert {a.server_id for _, a in desk.log if isinstance(a, StartAttempt)} == {server_id(2), server_id(3)}
    desk.advance(4 * SECOND)
    desk.log.clear()
    desk.handle(ServerList(ServerListKind.COMPLETE, 3, (server_entry(3),)))
    for _ in range(30):
        desk.serve_request()
    assert {a.server_id for _, a in desk.log if isinstance(a, StartAttempt)} <= {server_id(3)}


def test_a_cold_server_gets_no_more_than_our_part_of_its_budget() -> None:
    desk = GatewayHarness(servers=0)
    desk.handle(ServerList(ServerListKind.COMPLETE, 2, (server_entry(0, started_at=desk.now),)))
    sent = sum(desk.serve_request() for _ in range(50))
    work = sent * desk.settings.classes[SAFE].latency_target_us / 6
    assert work <= 3.0 * 0.2 * SECOND / 3
    desk = GatewayHarness(servers=0)
    desk.handle(
        ServerList(
            ServerListKind.COMPLETE, 2, (server_entry(0, started_at=desk.now - desk.settings.warm_up_us),)
        )
    )
    assert all(desk.serve_request() for _ in range(20))


def test_a_ceiling_holds_over_a_restart_with_no_counter() -> None:
    units = 0.0
    for _ in range(3):
        desk = GatewayHarness(has_counter=False)
        for _ in range(40):
            units += sum(
                bool(actions_of_type(StartAttempt, desk.send_request(plan_index=CEILED)[1])) for _ in range(1)
            )
    assert units <= 3.0


def test_a_ceiling_store_fills_at_our_part_of_its_rate() -> None:
    desk = GatewayHarness()
    for _ in range(40):
        desk.send_request(plan_index=CEILED)
    desk.advance(SECOND)
    sent = len({a.request_id for _, a in desk.log if isinstance(a, StartAttempt)})
    assert 1 <= sent <= 3


def test_a_gateway_outside_the_set_has_no_part_of_a_ceiling() -> None:
    desk = GatewayHarness(rank=2)
    actions = desk.handle(RequestArrived(1, 4, CEILED, SAFE, SECOND, 1.0, 0, 2))
    assert not actions_of_type(StartAttempt, actions)


def test_a_new_server_is_used_while_cold_but_not_pushed_over_by_250_gateways() -> None:
    """Lost: the budget over 250 gateways was less than one request, so a new server idled till warm."""
    base, start = GatewayHarness(gateway_count=250).settings, 77 * SECOND
    new = server_entry(0, started_at=start)
    sent: list[int] = []
    for rank in range(250):
        desk = GatewayHarness(servers=0, gateway_count=250, rank=rank, seed=rank, start=start)
        desk.handle(ServerList(ServerListKind.COMPLETE, 2, (new, *(server_entry(n) for n in range(1, 60)))))
        for _ in range(100):  # five requests a second at each gateway
            for send in actions_of_type(StartAttempt, desk.advance(200 * MS) + desk.send_request()[1]):
                if send.server_id == new.server_id:
                    sent.append(desk.now)
                desk.end_attempt(send.request_id, send.server_id)
    warming = sorted(at - start for at in sent if at - start < base.warm_up_us)
    assert len(warming) >= 15
    work = (
        max(c.latency_target_us for c in base.classes) / 6
    )  # what the module takes a request for, high on purpose
    for first in range(0, base.warm_up_us, 100 * MS):
        window = [at for at in warming if first <= at < first + base.collapse_window_us]
        warmth = base.start_capacity_ratio + (1 - base.start_capacity_ratio) * first / base.warm_up_us
        assert len(window) * work <= base.collapse_load_ratio * warmth * base.collapse_window_us


def first_sends(told: float, answers: bool = True) -> int:
    """How many of ten requests at once pass under a ceiling with a part of ten units, right after a start."""
    plans = (
        make_plan(rate_per_s=3.0, burst=15.0, ceiling_rate_per_s=6.0, ceiling_depth=30.0, ceiling_slack=3.0),
    )
    desk = GatewayHarness(plans=plans)
    desk.counter_is_up, desk.remote_demand = answers, told
    return sum(
        bool(actions_of_type(StartAttempt, desk.send_request(account_id=4, plan_index=0)[1]))
        for _ in range(10)
    )


def test_a_first_total_opens_half_of_the_ceiling_unless_the_customer_floods() -> None:
    """Lost: with an empty store at each of many gateways a ceiling refused most of the first seconds."""
    assert first_sends(0.0) in (2, 3, 4, 5)
    assert first_sends(1e4) == first_sends(0.0, answers=False) == 0


def turns_taken(service_ms: float | None) -> int:
    """How often forty gateways, asked twice a second each, use one cold server of twenty in its first 6 s."""
    start, taken = 77 * SECOND, 0
    new = server_entry(0, started_at=start)
    for rank in range(40):
        desk = GatewayHarness(servers=0, gateway_count=40, rank=rank, seed=rank, start=start)
        desk.handle(ServerList(ServerListKind.COMPLETE, 2, (new, *(server_entry(n) for n in range(1, 20)))))
        load = None if service_ms is None else LoadReport(service_ms=service_ms, busy=0.3, queued=0.0)
        for _ in range(12):
            for send in actions_of_type(StartAttempt, desk.advance(500 * MS) + desk.send_request()[1]):
                taken += send.server_id == new.server_id
                desk.end_attempt(send.request_id, send.server_id, load_report=load)
    return taken


def test_turns_at_a_cold_server_are_worth_what_serving_takes() -> None:
    """Lost: by a first guess of 150 ms for work of 30 ms new servers idled while the others were full."""
    assert turns_taken(30.0) >= 3 * turns_taken(None) > 0
