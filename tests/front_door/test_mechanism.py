"""Gateway: demand split, admission by probability, counter failures, windows and server selection."""

import math
from collections.abc import Callable

import pytest

from irisdeal.front_door.decisions.interface import (
    AddToCounter,
    CounterAnswered,
    RejectRequest,
    RequestArrived,
    RequestEnded,
    Result,
    StartAttempt,
    TimerFired,
)
from irisdeal.front_door.decisions.tenant import MAX_ESTIMATING_GATEWAYS, Tenant
from irisdeal.front_door.quota.quota_account import CLAIMED_MODULUS
from tests.support.decisions_rig import (
    CAPPED,
    CEILED,
    FREE,
    MS,
    RATED,
    SAFE,
    SECOND,
    GatewayHarness,
    actions_of_type,
    make_plan,
    server_id,
)


def tenant_of(harness: GatewayHarness, key: int, plan: int) -> Tenant:
    harness.send_request(account_id=key, plan_index=plan)
    return harness.gateway.tenants[key, plan]


def max_in_flight_after(remote_demand: float) -> int:
    """Return the local limit after 20 requests, with this demand of other gateways in the counter."""
    harness = GatewayHarness()
    harness.remote_demand = remote_demand
    for _ in range(20):
        harness.serve_request(account_id=4, plan_index=CAPPED)
        harness.advance(200 * MS)
    return harness.gateway.tenants[4, CAPPED].local_max_in_flight


def test_max_in_flight_starts_at_an_even_share() -> None:
    harness = GatewayHarness()
    harness.counter_is_up = False
    sent = sum(
        bool(actions_of_type(StartAttempt, harness.send_request(account_id=4, plan_index=CAPPED)[1]))
        for _ in range(5)
    )
    assert sent == 2 == harness.gateway.tenants[4, CAPPED].local_max_in_flight


@pytest.mark.parametrize(
    ("local", "total", "limit"),
    [
        (0.0, 0.0, 2),
        (1.0, 3.0, 2),
        (3.0, 4.5, 3),
        (3.0, 6.0, 3),
        (6.0, 12.0, 3),
        (0.2, 12.0, 1),
    ],
)
def test_max_in_flight_follows_the_demand_split(local: float, total: float, limit: int) -> None:
    tenant = tenant_of(GatewayHarness(), 4, CAPPED)
    tenant.set_local_max_in_flight(local, total)
    assert tenant.local_max_in_flight == limit


def test_max_in_flight_falls_with_the_total_demand() -> None:
    assert max_in_flight_after(0.0) > max_in_flight_after(1e4) == 1


def test_requests_over_the_limit_wait_for_the_next_slot() -> None:
    harness = GatewayHarness()
    first, actions = harness.send_request(account_id=4, plan_index=CAPPED)
    server = actions_of_type(StartAttempt, actions)[0].server_id
    harness.send_request(account_id=4, plan_index=CAPPED)
    waiting, actions = harness.send_request(account_id=4, plan_index=CAPPED)
    assert not actions or not actions_of_type(StartAttempt, actions) + actions_of_type(RejectRequest, actions)
    assert [a.request_id for a in actions_of_type(StartAttempt, harness.end_attempt(first, server))] == [
        waiting
    ]


def test_a_waiting_request_is_rejected_before_its_latency_target() -> None:
    harness = GatewayHarness()
    for _ in range(2):
        harness.send_request(account_id=4, plan_index=CAPPED)
    start = harness.now
    waiting, _ = harness.send_request(account_id=4, plan_index=CAPPED)
    harness.advance(900 * MS)
    rejected = [at for at, a in harness.log if a == RejectRequest(waiting)]
    assert len(rejected) == 1 and rejected[0] < start + 900 * MS


def test_demand_over_the_capacity_is_rejected_by_probability() -> None:
    """Rate 10, burst 20: a decay time of 2 s, with a capacity of 20 units for all gateways."""
    harness = GatewayHarness()
    tenant = tenant_of(harness, 5, RATED)
    assert tenant.decay_us == 2 * SECOND
    tenant.total_demand, tenant.total_known_at, tenant.local_demand, tenant.admission_credit = (
        39.9,
        harness.now,
        1e9,
        0.0,
    )
    tenant.local_demand_at_total = tenant.local_demand
    sent = sum(
        bool(actions_of_type(StartAttempt, harness.send_request(account_id=5, plan_index=RATED)[1]))
        for _ in range(4)
    )
    assert sent == 2


def test_a_total_decays_and_a_new_counter_name_starts_from_the_last_total() -> None:
    harness = GatewayHarness()
    tenant = tenant_of(harness, 5, RATED)
    index = (harness.now - tenant.phase_us) // tenant.name_period_us
    start = index * tenant.name_period_us + tenant.phase_us
    tenant.total_known_at, tenant.total_demand = start, 12.0
    tenant.record_total(1.0, index, 20.0, start)
    assert tenant.total_demand == pytest.approx(13.0)
    tenant.record_total(math.exp(4.0), index, 20.0, start + 4 * int(tenant.decay_us))
    assert tenant.total_demand == pytest.approx(1.0 + 12.0 * math.exp(-4.0))


def flood(harness: GatewayHarness, seconds: int, each: int = 40) -> int:
    """Send `each` requests in every second; return the number forwarded in the last one."""
    sent = 0
    for _ in range(seconds):
        sent = 0
        for _ in range(each):
            sent += harness.serve_request(account_id=5, plan_index=RATED)
            harness.advance(SECOND // each)
    return sent


def test_a_flood_is_limited_to_the_rate() -> None:
    harness = GatewayHarness()
    assert flood(harness, 8) <= 12
    assert any(isinstance(a, AddToCounter) for _, a in harness.log)


def test_the_quota_holds_while_the_counter_does_not_answer() -> None:
    """Guards against: the rejection probability of the last total expires, and a flood passes."""
    harness = GatewayHarness()
    flood(harness, 6)
    harness.counter_is_up = False
    assert flood(harness, 15) <= 12


def test_the_quota_holds_without_a_counter() -> None:
    harness = GatewayHarness(has_counter=False)
    assert flood(harness, 10) <= 6  # its even share: other gateways are assumed to have as much demand
    assert not any(isinstance(a, AddToCounter) for _, a in harness.log)


def test_the_quota_holds_after_counters_are_lost() -> None:
    harness = GatewayHarness()
    flood(harness, 6)
    for _ in range(3):
        harness.counter_totals = dict.fromkeys(harness.counter_totals, 0.0)
        assert flood(harness, 1) <= 14


def test_a_tenant_with_a_known_total_needs_few_counter_calls() -> None:
    harness = GatewayHarness()
    flood(harness, 10)
    harness.log.clear()
    flood(harness, 10)
    assert len(actions_of_type(AddToCounter, [a for _, a in harness.log])) <= 50  # of 400 requests


def test_without_a_total_the_local_demand_decides() -> None:
    """Guards against: without counter answers each of 200 gateways admits a heavy tenant on its own."""
    harness = GatewayHarness(servers=100, gateway_count=200)
    harness.counter_is_up = False
    sent = 0
    for _ in range(40):
        sent += harness.serve_request(account_id=5, plan_index=RATED, gateway_count=200)
        harness.advance(SECOND)
    assert 2 <= sent <= 8  # an even share of the rate is 2


@pytest.mark.parametrize("failure", [Result.REJECTED, Result.TIMED_OUT])
def test_failing_counter_calls_are_reduced(failure: Result) -> None:
    """Guards against: 174 gateways call for each request, four times the counter's capacity."""
    harness = GatewayHarness(gateway_count=250)
    harness.counter_is_up, harness.counter_failure = False, failure
    for n in range(400):
        harness.serve_request(account_id=n, plan_index=RATED, gateway_count=250)
        harness.advance(50 * MS)
    assert len(actions_of_type(AddToCounter, [a for _, a in harness.log])) <= 100


def test_a_sampled_call_reports_the_demand_of_those_not_made() -> None:
    harness = GatewayHarness(gateway_count=MAX_ESTIMATING_GATEWAYS)
    harness.gateway.counter_backoff_factor = 4.0
    for n in range(1000):
        harness.serve_request(account_id=n, plan_index=RATED, gateway_count=MAX_ESTIMATING_GATEWAYS)
        harness.gateway.counter_backoff_factor = 4.0
    reported = sum(harness.counter_totals.values())
    elapsed_decays = [
        (harness.now - c.phase_us) % c.name_period_us / c.decay_us for c in harness.gateway.tenants.values()
    ]
    mean = sum(math.exp(i) for i in elapsed_decays) / len(elapsed_decays)
    assert 0.7 * 1000 < reported / mean < 1.4 * 1000


def test_demand_of_a_rejected_call_is_reported_later() -> None:
    harness = GatewayHarness()
    harness.counter_is_up, harness.counter_failure = False, Result.REJECTED
    assert tenant_of(harness, 5, RATED).unreported_demand == 1.0
    harness.counter_failure = Result.TIMED_OUT
    assert tenant_of(harness, 6, RATED).unreported_demand == 0.0


def test_250_gateways_keep_a_limit_of_three_in_flight() -> None:
    """Guards against: one slot at each gateway, which in sum exceeds a small limit."""
    harnesses = [
        GatewayHarness(gateway_count=250, rank=n, seed=n, plans=(make_plan(max_in_flight=3),))
        for n in range(250)
    ]
    counts: dict[int, float] = {}
    in_flight: list[tuple[int, GatewayHarness, StartAttempt]] = []
    sizes: list[int] = []
    for n in range(3000):  # 50 requests a second of 100 ms: a demand of 5 in flight
        now = 77 * SECOND + n * 20 * MS
        while in_flight and in_flight[0][0] <= now:
            end, harness, send = in_flight.pop(0)
            harness.now = end
            harness.end_attempt(send.request_id, send.server_id, duration_us=100 * MS)
        harness = harnesses[n * 97 % 250]
        harness.counter_totals, harness.now = counts, now
        in_flight += [
            (now + 100 * MS, harness, a)
            for a in actions_of_type(
                StartAttempt, harness.send_request(account_id=4, plan_index=0, gateway_count=250)[1]
            )
        ]
        sizes.append(len(in_flight))
    steady = sizes[1000:]
    assert 0.8 <= sum(steady) / len(steady) <= 3.0


def test_idle_tenants_are_discarded_only_with_a_full_ceiling() -> None:
    harness = GatewayHarness()
    harness.advance(5 * SECOND)
    assert harness.serve_request(account_id=6, plan_index=CEILED)
    harness.serve_request(account_id=5, plan_index=RATED)
    harness.advance(21 * SECOND)
    harness.gateway.tenants[6, CEILED].ceiling_tokens = -3.0  # not full again after 19 s
    harness.gateway.tenants[6, CEILED].refilled_at = harness.now
    harness.serve_request(account_id=7, plan_index=RATED)
    assert set(harness.gateway.tenants) == {(6, CEILED), (5, RATED), (7, RATED)}
    harness.advance(19 * SECOND)
    harness.serve_request(account_id=7, plan_index=RATED)
    assert set(harness.gateway.tenants) == {(7, RATED)}


def test_tenants_with_one_request_do_not_accumulate() -> None:
    harness = GatewayHarness(gateway_count=2)
    harness.serve_request(account_id=1, plan_index=RATED, gateway_count=2)
    for n in range(2, 1500):
        harness.serve_request(account_id=n, plan_index=(RATED, CEILED)[n % 2], gateway_count=2)
        # a regular tenant does not prevent that others are discarded
        harness.serve_request(account_id=1, plan_index=RATED, gateway_count=2)
        harness.advance(100 * MS)
    assert len(harness.gateway.tenants) <= 210  # those of the last 20 s, and the regular one
    harness.advance(10 * SECOND)
    assert (
        not harness.gateway.requests and not harness.gateway.demand_calls and len(harness.gateway.timers) < 10
    )


def test_another_plan_of_an_account_is_another_tenant() -> None:
    harness = GatewayHarness()
    harness.serve_request(account_id=9, plan_index=CEILED, units=1.0)
    harness.serve_request(account_id=9, plan_index=RATED)
    assert [c.plan for c in harness.gateway.tenants.values()] == [
        harness.settings.plans[CEILED],
        harness.settings.plans[RATED],
    ]


def test_a_burst_passes_and_then_the_rate_holds() -> None:
    harness = GatewayHarness(gateway_count=1, plans=(make_plan(rate_per_s=10.0, burst=40.0),))
    passed = sum(harness.serve_request(account_id=3, plan_index=0, gateway_count=1) for _ in range(20))
    assert passed >= 15  # a burst after little demand passes: the window alone has room for 15
    for _ in range(200):
        harness.advance(20 * MS)
        harness.serve_request(account_id=3, plan_index=0, gateway_count=1)
    later = 0
    for _ in range(500):
        harness.advance(20 * MS)
        later += harness.serve_request(account_id=3, plan_index=0, gateway_count=1)
    assert 80 <= later <= 120  # of five times the rate about the rate passes


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def log() -> list[object]:
        harness = GatewayHarness(seed=11)
        for n in range(200):
            harness.send_request(account_id=n % 7, plan_index=n % 4, class_index=n % 3)
            harness.advance(13 * MS)
        return list(harness.log)

    assert log() == log()


def test_a_hung_server_is_avoided_before_its_timeouts() -> None:
    harness = GatewayHarness(servers=4)
    hung_server = server_id(1)
    for n in range(400):
        number, actions = harness.send_request(plan_index=FREE)
        for send in actions_of_type(StartAttempt, actions):
            if send.server_id != hung_server:
                harness.end_attempt(number, send.server_id, duration_us=60 * MS)
        harness.advance(20 * MS)
        if n == 200:
            harness.log.clear()
    late = [a for _, a in harness.log if isinstance(a, StartAttempt) and a.server_id == hung_server]
    assert len(late) <= 0.1 * 200


def test_a_server_that_fails_fast_gets_few_requests() -> None:
    """Guards against: a server that fails at once is always free and attracts most of the traffic."""
    harness = GatewayHarness(servers=4)
    failing_server = server_id(2)
    for _ in range(600):
        _, actions = harness.send_request(plan_index=FREE)
        todo = actions_of_type(StartAttempt, actions)
        while todo:
            send = todo.pop()
            if send.server_id == failing_server:
                todo += actions_of_type(
                    StartAttempt,
                    harness.end_attempt(
                        send.request_id, failing_server, Result.NOT_CONNECTED, duration_us=MS
                    ),
                )
        harness.advance(5 * MS)
    tries = [a for _, a in harness.log if isinstance(a, StartAttempt) and a.server_id == failing_server]
    assert len(tries) <= 20


def test_the_window_narrows_below_one_on_late_responses() -> None:
    """Guards against: a slow backend behind 168 gateways, none of which holds back, answers after 4 s."""
    harness = GatewayHarness(servers=2, gateway_count=100)
    for _ in range(60):
        number, actions = harness.send_request(plan_index=FREE)
        actions += harness.advance(2 * SECOND)
        for send in actions_of_type(StartAttempt, actions):
            harness.end_attempt(number, send.server_id, duration_us=700 * MS)
    assert harness.gateway.window < 1.0
    harness.now = harness.gateway.last_sent_at + MS
    assert not actions_of_type(StartAttempt, harness.send_request(plan_index=FREE)[1])


def test_the_window_widens_again_on_fast_responses() -> None:
    harness = GatewayHarness(servers=2, gateway_count=100)
    harness.gateway.window = 0.1
    for _ in range(200):
        harness.serve_request(plan_index=FREE)
        harness.advance(2 * SECOND)
    assert harness.gateway.window >= harness.gateway.usual_window


def test_a_timeout_of_a_short_deadline_is_no_failure_of_a_server() -> None:
    harness = GatewayHarness(servers=1)
    for _ in range(6):
        number, actions = harness.send_request(plan_index=FREE, time_left_us=60 * MS)
        harness.end_attempt(
            number, actions_of_type(StartAttempt, actions)[0].server_id, Result.TIMED_OUT, duration_us=60 * MS
        )
    assert not any(harness.gateway.servers[server_id(0)].failure_rates.values())


def test_a_duplicate_outcome_changes_nothing() -> None:
    harness = GatewayHarness(servers=1)
    number, _ = harness.send_request(plan_index=FREE)
    harness.send_request(plan_index=FREE)
    for _ in range(3):
        harness.end_attempt(number, server_id(0), Result.OK)
    assert harness.gateway.in_flight == 1 == harness.gateway.servers[server_id(0)].in_flight


def test_selection_compares_a_bounded_number_of_servers() -> None:
    servers_compared = []
    for servers in (40, 200):
        harness = GatewayHarness(servers=servers)
        before = harness.gateway.random.getstate()
        harness.serve_request(plan_index=FREE)
        assert before != harness.gateway.random.getstate()
        calls = 0

        def count(server: object) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        harness.gateway._capacity_ratio = count  # type: ignore[method-assign]
        harness.serve_request(plan_index=FREE)
        servers_compared.append(calls)
    assert servers_compared[0] == servers_compared[1] <= 20


def test_a_stall_of_the_gateway_counts_against_no_server() -> None:
    """Guards against: after a stall of its process a gateway counts 2 s of it against each server."""
    harness = GatewayHarness(servers=3, gateway_count=100)
    sent = [actions_of_type(StartAttempt, harness.send_request(plan_index=FREE)[1]) for _ in range(2)]
    before = {n: (s.relative_duration, s.failure_rates.copy()) for n, s in harness.gateway.servers.items()}
    harness.now += 2 * SECOND  # with no call
    for send in (a for actions in sent for a in actions):
        harness.end_attempt(send.request_id, send.server_id, Result.TIMED_OUT, duration_us=2 * SECOND)
    assert sum(len(actions) for actions in sent) > 0
    assert before == {
        n: (s.relative_duration, s.failure_rates.copy()) for n, s in harness.gateway.servers.items()
    }


def test_a_server_full_for_one_plan_is_avoided_by_that_plan_only() -> None:
    """Guards against: servers that reject one plan are avoided by all plans, and others are overloaded."""
    harness = GatewayHarness(servers=1)
    for _ in range(5):
        for plan_index in (FREE, CAPPED):
            for send in actions_of_type(
                StartAttempt, harness.send_request(account_id=plan_index, plan_index=plan_index)[1]
            ):
                harness.end_attempt(
                    send.request_id, send.server_id, Result.REJECTED if plan_index == FREE else Result.OK
                )
    failing_server = harness.gateway.servers[server_id(0)].failure_rates
    assert (
        failing_server[harness.settings.plans[FREE]] > 0.2
        and failing_server[None] == failing_server[harness.settings.plans[CAPPED]] == 0.0
    )


def test_calls_are_reduced_only_where_most_of_them_fail() -> None:
    def backoff_factor_after(answered: Callable[[int], bool]) -> float:
        harness = GatewayHarness(gateway_count=2)
        for n in range(200):
            harness.counter_is_up = answered(n)
            harness.serve_request(account_id=n, plan_index=RATED, gateway_count=2)
            harness.advance(20 * MS)
        return harness.gateway.counter_backoff_factor

    # two in five fail: totals must stay recent
    assert backoff_factor_after(lambda n: n % 5 not in (1, 3)) < 2.0
    assert backoff_factor_after(lambda n: False) > 10.0


def test_unreported_demand_does_not_grow_by_failed_calls() -> None:
    harness = GatewayHarness(gateway_count=2)
    harness.counter_is_up, harness.counter_failure = False, Result.NOT_CONNECTED
    for _ in range(400):
        harness.serve_request(account_id=9, plan_index=RATED, gateway_count=2)
        harness.advance(10 * MS)
    harness.gateway.counter_backoff_factor = 1.0
    harness.counter_is_up = True
    harness.send_request(account_id=9, plan_index=RATED, gateway_count=2)
    # 401 units, weighted for the end of a name's period, not multiplied by the backoff of each failed call.
    assert actions_of_type(AddToCounter, [a for _, a in harness.log])[-1].amount < 401 * math.exp(8) * 1.01
    assert harness.gateway.tenants[9, RATED].unreported_demand == 0.0


def test_with_a_full_window_the_request_of_higher_value_goes_first() -> None:
    """Guards against: with a full window value does not count, and cheap requests use the servers."""
    plans = (make_plan(value_factor=0.4), make_plan(value_factor=4.0))
    harness = GatewayHarness(servers=12, plans=plans, gateway_count=1)
    gateway = harness.gateway
    gateway.mean_value_per_us = 1.0 / gateway.mean_duration_us[0]  # as of requests with a value factor of 1
    gateway.window = gateway.usual_window = 2.0
    gateway.in_flight = 2
    cheap, actions = harness.send_request(account_id=1, plan_index=0, gateway_count=1)
    assert not actions_of_type(StartAttempt, actions)
    _, actions = harness.send_request(account_id=2, plan_index=1, gateway_count=1)
    assert actions_of_type(StartAttempt, actions)
    gateway.in_flight = 0
    # the cheap one is not starved
    assert [a.request_id for a in actions_of_type(StartAttempt, harness.handle(TimerFired(0)))] == [cheap]


@pytest.mark.parametrize("failure", [Result.NOT_CONNECTED, Result.REJECTED])
def test_the_first_total_after_an_outage_is_the_recent_demand(failure: Result) -> None:
    """Guards against: the first total contains all demand of the outage, and rejects for seconds."""
    harness = GatewayHarness()
    harness.counter_is_up, harness.counter_failure = False, failure
    for _ in range(400):  # 20 units a second for 20 s
        harness.advance(50 * MS)
        _, actions = harness.send_request(account_id=3, plan_index=RATED)
        for send in actions_of_type(StartAttempt, actions):
            harness.end_attempt(send.request_id, send.server_id)
    assert harness.gateway.counter_backoff_factor > 10
    harness.counter_is_up = True
    for _ in range(400):
        harness.advance(50 * MS)
        harness.send_request(account_id=3, plan_index=RATED)
        if (tenant := harness.gateway.tenants[3, RATED]).total_known_at >= 0:
            break
    recent_demand = 20.0 * tenant.decay_us / SECOND  # of a constant rate: rate times decay time
    # one call reports for up to 20 requests
    assert 0.5 * recent_demand < tenant.total_demand < 2.5 * recent_demand


def test_reduced_calls_report_the_whole_demand_in_sum() -> None:
    """Accounts with one request each: of a backoff factor of 8 one call in 8 is made, and reports for all."""
    reported = 0.0
    harness = GatewayHarness()
    for account in range(4_000):
        harness.advance(MS)
        harness.gateway.counter_backoff_factor = 8.0  # as if other calls failed
        _, actions = harness.send_request(account_id=100 + account, plan_index=RATED)
        for call in actions_of_type(AddToCounter, actions):
            elapsed_decays = (harness.now - harness.gateway.tenants[100 + account, RATED].phase_us) % (
                harness.gateway.tenants[100 + account, RATED].name_period_us
            )
            reported += call.amount / math.exp(
                elapsed_decays / harness.gateway.tenants[100 + account, RATED].decay_us
            )
    assert 3_200 < reported < 4_800


@pytest.mark.parametrize(("gateways", "least"), [(3, 0.0), (40, 3.0)])
def test_the_window_in_a_large_fleet_has_a_minimum(
    gateways: int,
    least: float,
) -> None:
    """Guards against: after a few late responses each of 40 gateways rejects what the fleet could serve; with
    a minimum of the usual 1.25 attempts alone, still a quarter of what the counter had admitted."""
    harness = GatewayHarness(servers=20, gateway_count=gateways)
    for n in range(300):
        request, actions = harness.send_request(account_id=n)
        for send in actions_of_type(StartAttempt, actions):
            harness.end_attempt(request, send.server_id, duration_us=800 * MS)
        harness.advance(SECOND)
    kept = harness.gateway.window / harness.gateway.usual_window
    assert kept >= least if least else kept < 1.0


def test_claims_of_unsent_requests_are_returned_where_capacity_is_short() -> None:
    harness = GatewayHarness(servers=0, gateway_count=40)
    for _ in range(28):
        harness.send_request(account_id=4, plan_index=RATED, gateway_count=20)
    reported = sum(total % CLAIMED_MODULUS for total in harness.counter_totals.values())
    harness.advance(2 * SECOND)
    assert 0 < sum(total % CLAIMED_MODULUS for total in harness.counter_totals.values()) < 0.7 * reported


def test_a_claim_that_holds_after_its_client_disconnected_is_returned() -> None:
    harness = GatewayHarness(gateway_count=40)
    for _ in range(20):
        harness.send_request(account_id=4, plan_index=RATED, gateway_count=20)
    arrival = RequestArrived(999, 4, RATED, SAFE, SECOND, 3.0, 0, 20)
    calls = actions_of_type(AddToCounter, harness.gateway.handle(harness.now, [arrival]))
    harness.gateway.handle(harness.now, [RequestEnded(999)])
    reported = CounterAnswered(
        calls[0].counter_name, Result.OK, harness.counter_totals[calls[0].counter_name] + calls[0].amount, MS
    )
    assert [
        c.amount for c in actions_of_type(AddToCounter, harness.gateway.handle(harness.now, [reported]))
    ] == [-calls[0].amount]


def test_a_large_fleet_uses_quota_accounts_also_for_tenants_of_few_gateways() -> None:
    harness = GatewayHarness(gateway_count=40)
    harness.send_request(account_id=4, plan_index=RATED, gateway_count=6)
    assert tenant_of(harness, 4, RATED).quota_account is not None
    few = GatewayHarness(gateway_count=MAX_ESTIMATING_GATEWAYS)
    few.send_request(account_id=4, plan_index=RATED, gateway_count=6)
    assert few.gateway.tenants[4, RATED].quota_account is None


def test_retries_are_rejected_by_an_overloaded_counter_and_admitted_by_a_lost_one() -> None:
    """With an overloaded counter most retries exceed their quotas; a lost one gives no information."""
    sent = {}
    for failure in (Result.REJECTED, Result.TIMED_OUT):
        harness = GatewayHarness(servers=100, gateway_count=200)
        harness.counter_is_up, harness.counter_failure = False, failure
        sent[failure] = sum(
            harness.serve_request(account_id=n, plan_index=RATED, gateway_count=200, is_retry=True)
            for n in range(200)
        )
    assert sent[Result.REJECTED] == 0 and sent[Result.TIMED_OUT] >= 190


def test_a_claim_rejected_by_the_counter_is_not_repeated() -> None:
    harness = GatewayHarness(gateway_count=40)
    harness.counter_is_up, harness.counter_failure = False, Result.REJECTED
    harness.send_request(account_id=4, plan_index=RATED, gateway_count=20)
    harness.advance(SECOND)
    assert len(actions_of_type(AddToCounter, [a for _, a in harness.log])) == 1
    assert len(actions_of_type(RejectRequest, [a for _, a in harness.log])) == 1
