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


def final_answers(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def test_a_request_without_a_response_gets_one_answer_in_time() -> None:
    harness = GatewayHarness()
    number, _ = harness.send_request(class_index=UNSAFE, time_left_us=700 * MS)
    start = harness.now
    harness.advance(2 * SECOND)
    answers = [(at, a) for at, a in harness.log if isinstance(a, RejectRequest | FailRequest)]
    assert [a for _, a in answers] == [FailRequest(number)]
    assert answers[0][0] <= start + 700 * MS + harness.settings.answer_grace_us


def test_no_attempt_starts_after_the_client_disconnected() -> None:
    harness = GatewayHarness()
    number, actions = harness.send_request(class_index=SAFE)
    harness.handle(RequestEnded(number))
    later = harness.end_attempt(number, actions_of_type(StartAttempt, actions)[0].server_id, Result.ERROR)
    assert not actions_of_type(StartAttempt, later) and not final_answers(later)
    assert not actions_of_type(StartAttempt, harness.advance(3 * SECOND))


def test_an_unsafe_request_is_repeated_only_if_it_was_not_executed() -> None:
    harness = GatewayHarness()
    number, actions = harness.send_request(class_index=UNSAFE)
    first = actions_of_type(StartAttempt, actions)[0].server_id
    again = harness.end_attempt(number, first, Result.REJECTED)
    assert (
        len(actions_of_type(StartAttempt, again)) == 1
        and actions_of_type(StartAttempt, again)[0].server_id != first
    )
    last = harness.end_attempt(number, actions_of_type(StartAttempt, again)[0].server_id, Result.ERROR)
    assert final_answers(last) == [FailRequest(number)] and not actions_of_type(StartAttempt, last)


def test_a_keyed_request_is_repeated_within_its_scope_and_window() -> None:
    harness = GatewayHarness(servers=0)
    harness.handle(
        ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n, zone=n % 2) for n in range(6)))
    )
    for result in (Result.ERROR, Result.CONNECTION_LOST):
        number, actions = harness.send_request(class_index=KEYED)
        first = actions_of_type(StartAttempt, actions)[0].server_id
        again = actions_of_type(StartAttempt, harness.end_attempt(number, first, result))
        assert len(again) == 1 and again[0].server_id[3] % 2 == first[3] % 2
        harness.end_attempt(number, again[0].server_id, Result.ERROR, attempt_index=1)
        harness.now += harness.settings.classes[KEYED].deadline_us
        harness.advance(0)
        assert not any(isinstance(a, RejectRequest) for _, a in harness.log)


def test_a_keyed_request_that_was_not_executed_may_change_its_scope() -> None:
    harness = GatewayHarness(servers=0)
    harness.handle(ServerList(ServerListKind.COMPLETE, 2, (server_entry(1, zone=1), server_entry(2, zone=2))))
    number, actions = harness.send_request(class_index=KEYED)
    again = actions_of_type(
        StartAttempt,
        harness.end_attempt(
            number, actions_of_type(StartAttempt, actions)[0].server_id, Result.NOT_CONNECTED
        ),
    )
    assert len(again) == 1


def test_no_hedging_where_it_is_not_permitted() -> None:
    harness = GatewayHarness(may_hedge=False)
    number, actions = harness.send_request(class_index=SAFE)
    later = harness.advance(800 * MS)
    assert not actions_of_type(StartAttempt, later)
    assert actions_of_type(CancelAttempt, later) == [CancelAttempt(number, 0)]
    assert (
        len(
            actions_of_type(
                StartAttempt,
                harness.end_attempt(
                    number, actions_of_type(StartAttempt, actions)[0].server_id, Result.CANCELLED
                ),
            )
        )
        <= 1
    )


def test_draining_gone_and_missing_servers_get_no_requests() -> None:
    harness = GatewayHarness(servers=4)
    harness.handle(
        ServerList(
            ServerListKind.CHANGES,
            2,
            (server_entry(0, ServerState.DRAINING), server_entry(1, ServerState.GONE)),
        )
    )
    for _ in range(6):
        harness.send_request()
    assert {a.server_id for _, a in harness.log if isinstance(a, StartAttempt)} == {
        server_id(2),
        server_id(3),
    }
    harness.advance(4 * SECOND)
    harness.log.clear()
    harness.handle(ServerList(ServerListKind.COMPLETE, 3, (server_entry(3),)))
    for _ in range(30):
        harness.serve_request()
    assert {a.server_id for _, a in harness.log if isinstance(a, StartAttempt)} <= {server_id(3)}


def test_a_cold_server_gets_no_more_than_an_even_share_of_its_budget() -> None:
    harness = GatewayHarness(servers=0)
    harness.handle(ServerList(ServerListKind.COMPLETE, 2, (server_entry(0, started_at=harness.now),)))
    sent = sum(harness.serve_request() for _ in range(50))
    work = sent * harness.settings.classes[SAFE].latency_target_us / 6
    assert work <= 3.0 * 0.2 * SECOND / 3
    harness = GatewayHarness(servers=0)
    harness.handle(
        ServerList(
            ServerListKind.COMPLETE,
            2,
            (server_entry(0, started_at=harness.now - harness.settings.warm_up_us),),
        )
    )
    assert all(harness.serve_request() for _ in range(20))


def test_a_ceiling_holds_over_restarts_without_a_counter() -> None:
    units = 0.0
    for _ in range(3):
        harness = GatewayHarness(has_counter=False)
        for _ in range(40):
            units += sum(
                bool(actions_of_type(StartAttempt, harness.send_request(plan_index=CEILED)[1]))
                for _ in range(1)
            )
    assert units <= 3.0


def test_a_ceiling_refills_at_an_even_share_of_its_rate() -> None:
    harness = GatewayHarness()
    for _ in range(40):
        harness.send_request(plan_index=CEILED)
    harness.advance(SECOND)
    sent = len({a.request_id for _, a in harness.log if isinstance(a, StartAttempt)})
    assert 1 <= sent <= 3


def test_a_gateway_outside_the_set_has_no_share_of_a_ceiling() -> None:
    harness = GatewayHarness(rank=2)
    actions = harness.handle(RequestArrived(1, 4, CEILED, SAFE, SECOND, 1.0, 0, 2))
    assert not actions_of_type(StartAttempt, actions)


def test_250_gateways_use_a_cold_server_without_overloading_it() -> None:
    """Guards against: 1/250 of the budget is less than one request, so a new server is idle until warm."""
    base_settings, start = GatewayHarness(gateway_count=250).settings, 77 * SECOND
    new = server_entry(0, started_at=start)
    sent: list[int] = []
    for rank in range(250):
        harness = GatewayHarness(servers=0, gateway_count=250, rank=rank, seed=rank, start=start)
        harness.handle(
            ServerList(ServerListKind.COMPLETE, 2, (new, *(server_entry(n) for n in range(1, 60))))
        )
        for _ in range(100):  # 5 requests a second at each gateway
            for send in actions_of_type(StartAttempt, harness.advance(200 * MS) + harness.send_request()[1]):
                if send.server_id == new.server_id:
                    sent.append(harness.now)
                harness.end_attempt(send.request_id, send.server_id)
    warming = sorted(at - start for at in sent if at - start < base_settings.warm_up_us)
    assert len(warming) >= 15
    # the module's high initial estimate of a request's work
    work = max(c.latency_target_us for c in base_settings.classes) / 6
    for first in range(0, base_settings.warm_up_us, 100 * MS):
        window = [at for at in warming if first <= at < first + base_settings.collapse_window_us]
        warmth = (
            base_settings.start_capacity_ratio
            + (1 - base_settings.start_capacity_ratio) * first / base_settings.warm_up_us
        )
        assert (
            len(window) * work
            <= base_settings.collapse_load_ratio * warmth * base_settings.collapse_window_us
        )


def first_sends(remote_demand: float, answers: bool = True) -> int:
    """Return how many of 10 requests pass right after a start, under a ceiling with a share of 10 units."""
    plans = (
        make_plan(rate_per_s=3.0, burst=15.0, ceiling_rate_per_s=6.0, ceiling_depth=30.0, ceiling_slack=3.0),
    )
    harness = GatewayHarness(plans=plans)
    harness.counter_is_up, harness.remote_demand = answers, remote_demand
    return sum(
        bool(actions_of_type(StartAttempt, harness.send_request(account_id=4, plan_index=0)[1]))
        for _ in range(10)
    )


def test_a_first_total_fills_half_of_the_ceiling_unless_demand_is_high() -> None:
    """Guards against: with an empty bucket at each gateway a ceiling rejects most requests at first."""
    assert first_sends(0.0) in (2, 3, 4, 5)
    assert first_sends(1e4) == first_sends(0.0, answers=False) == 0


def turns_taken(service_ms: float | None) -> int:
    """Return how often 40 gateways with 2 requests a second use one cold server of 20 in its first 6 s."""
    start, taken = 77 * SECOND, 0
    new = server_entry(0, started_at=start)
    for rank in range(40):
        harness = GatewayHarness(servers=0, gateway_count=40, rank=rank, seed=rank, start=start)
        harness.handle(
            ServerList(ServerListKind.COMPLETE, 2, (new, *(server_entry(n) for n in range(1, 20))))
        )
        load = None if service_ms is None else LoadReport(service_ms=service_ms, busy=0.3, queued=0.0)
        for _ in range(12):
            for send in actions_of_type(StartAttempt, harness.advance(500 * MS) + harness.send_request()[1]):
                taken += send.server_id == new.server_id
                harness.end_attempt(send.request_id, send.server_id, load_report=load)
    return taken


def test_turns_at_a_cold_server_follow_the_reported_service_time() -> None:
    """Guards against: an estimate of 150 ms for work of 30 ms, by which new servers stay idle."""
    assert turns_taken(30.0) >= 3 * turns_taken(None) > 0
