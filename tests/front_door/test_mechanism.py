"""The demand split, the companion and what acts when the counter does not."""

import math
from collections.abc import Callable

import pytest

from irisdeal.front_door.decisions.interface import (
    Arrival,
    Count,
    CountAnswer,
    Refuse,
    RequestEnded,
    Result,
    Send,
    Woken,
)
from irisdeal.front_door.decisions.tenant import FEW_WAYS, Customer
from irisdeal.front_door.quota.quota_account import CLAIMED_MODULUS
from tests.support.decisions_rig import CAPPED, CEILED, FREE, MS, RATED, SAFE, SECOND, Desk, name, of, plan


def customer_of(desk: Desk, key: int, plan: int) -> Customer:
    desk.ask(customer=key, plan=plan)
    return desk.gateway.customers[key, plan]


def bound_after(total_of_others: float) -> int:
    """The bound after requests here while the others have asked so much on the same count."""
    desk = Desk()
    desk.others = total_of_others
    for _ in range(20):
        desk.serve(customer=4, plan=CAPPED)
        desk.run(200 * MS)
    return desk.gateway.customers[4, CAPPED].bound


def test_the_bound_starts_at_an_even_part_of_the_cap() -> None:
    desk = Desk()
    desk.counter_answers = False
    sent = sum(bool(of(Send, desk.ask(customer=4, plan=CAPPED)[1])) for _ in range(5))
    assert sent == 2 == desk.gateway.customers[4, CAPPED].bound


@pytest.mark.parametrize(
    ("here", "total", "bound"),
    [
        (0.0, 0.0, 2),
        (1.0, 3.0, 2),
        (3.0, 4.5, 3),
        (3.0, 6.0, 3),
        (6.0, 12.0, 3),
        (0.2, 12.0, 1),
    ],
)
def test_the_demand_split(here: float, total: float, bound: int) -> None:
    customer = customer_of(Desk(), 4, CAPPED)
    customer.split(here, total)
    assert customer.bound == bound


def test_the_bound_follows_the_counted_total() -> None:
    assert bound_after(0.0) > bound_after(1e4) == 1


def test_requests_past_the_bound_wait_and_leave_with_the_next_slot() -> None:
    desk = Desk()
    first, actions = desk.ask(customer=4, plan=CAPPED)
    server = of(Send, actions)[0].server
    desk.ask(customer=4, plan=CAPPED)
    waiting, actions = desk.ask(customer=4, plan=CAPPED)
    assert not actions or not of(Send, actions) + of(Refuse, actions)
    assert [a.request for a in of(Send, desk.end(first, server))] == [waiting]


def test_a_held_request_is_refused_while_the_client_can_still_use_it() -> None:
    desk = Desk()
    for _ in range(2):
        desk.ask(customer=4, plan=CAPPED)
    start = desk.now
    waiting, _ = desk.ask(customer=4, plan=CAPPED)
    desk.run(900 * MS)
    refused = [at for at, a in desk.log if a == Refuse(waiting)]
    assert len(refused) == 1 and refused[0] < start + 900 * MS


def test_the_companion_refuses_what_is_asked_past_the_room() -> None:
    """Rate 10, burst 20: an interval of two seconds with room for twenty units of all gateways."""
    desk = Desk()
    customer = customer_of(desk, 5, RATED)
    assert customer.fading == 2 * SECOND
    customer.total, customer.told_at, customer.mine, customer.credit = 39.9, desk.now, 1e9, 0.0
    customer.mine_then = customer.mine
    sent = sum(bool(of(Send, desk.ask(customer=5, plan=RATED)[1])) for _ in range(4))
    assert sent == 2


def test_a_told_total_fades_and_a_new_name_starts_from_the_last() -> None:
    desk = Desk()
    customer = customer_of(desk, 5, RATED)
    index = (desk.now - customer.phase) // customer.period
    start = index * customer.period + customer.phase
    customer.told_at, customer.total = start, 12.0
    customer.hear(1.0, index, 20.0, start)
    assert customer.total == pytest.approx(13.0)
    customer.hear(math.exp(4.0), index, 20.0, start + 4 * int(customer.fading))
    assert customer.total == pytest.approx(1.0 + 12.0 * math.exp(-4.0))


def flood(desk: Desk, seconds: int, each: int = 40) -> int:
    """Ask `each` times in every second; the number sent in the last one."""
    sent = 0
    for _ in range(seconds):
        sent = 0
        for _ in range(each):
            sent += desk.serve(customer=5, plan=RATED)
            desk.run(SECOND // each)
    return sent


def test_a_flood_is_held_to_the_rate() -> None:
    desk = Desk()
    assert flood(desk, 8) <= 12
    assert any(isinstance(a, Count) for _, a in desk.log)


def test_a_silent_counter_does_not_open_the_quota() -> None:
    """Lost: the last chance ran out after seconds and a flood passed whole."""
    desk = Desk()
    flood(desk, 6)
    desk.counter_answers = False
    assert flood(desk, 15) <= 12


def test_no_counter_at_all_still_holds_a_quota() -> None:
    desk = Desk(counter=False)
    assert flood(desk, 10) <= 6  # its even part: others are taken to ask as much
    assert not any(isinstance(a, Count) for _, a in desk.log)


def test_lost_counts_do_not_open_the_quota() -> None:
    desk = Desk()
    flood(desk, 6)
    for _ in range(3):
        desk.counts = dict.fromkeys(desk.counts, 0.0)
        assert flood(desk, 1) <= 14


def test_a_known_customer_needs_few_calls() -> None:
    desk = Desk()
    flood(desk, 10)
    desk.log.clear()
    flood(desk, 10)
    assert len(of(Count, [a for _, a in desk.log])) <= 50  # of 400 requests


def test_an_untold_customer_is_judged_from_what_came_here() -> None:
    """Lost: with the counter swamped, each of 200 gateways let a heavy customer in, again and again."""
    desk = Desk(servers=100, gateways=200)
    desk.counter_answers = False
    sent = 0
    for _ in range(40):
        sent += desk.serve(customer=5, plan=RATED, gateways=200)
        desk.run(SECOND)
    assert 2 <= sent <= 8  # an even part of the rate is two


@pytest.mark.parametrize("refusal", [Result.TURNED_AWAY, Result.TIMED_OUT])
def test_failing_calls_are_thinned(refusal: Result) -> None:
    """Lost: 174 gateways called for each request, four times what the counter could take."""
    desk = Desk(gateways=250)
    desk.counter_answers, desk.refusal = False, refusal
    for n in range(400):
        desk.serve(customer=n, plan=RATED, gateways=250)
        desk.run(50 * MS)
    assert len(of(Count, [a for _, a in desk.log])) <= 100


def test_a_sampled_call_speaks_for_those_not_made() -> None:
    desk = Desk(gateways=FEW_WAYS)
    desk.gateway.strain = 4.0
    for n in range(1000):
        desk.serve(customer=n, plan=RATED, gateways=FEW_WAYS)
        desk.gateway.strain = 4.0
    told = sum(desk.counts.values())
    into = [(desk.now - c.phase) % c.period / c.fading for c in desk.gateway.customers.values()]
    mean = sum(math.exp(i) for i in into) / len(into)
    assert 0.7 * 1000 < told / mean < 1.4 * 1000


def test_what_was_surely_not_added_is_told_later() -> None:
    desk = Desk()
    desk.counter_answers, desk.refusal = False, Result.TURNED_AWAY
    assert customer_of(desk, 5, RATED).owed == 1.0
    desk.refusal = Result.TIMED_OUT
    assert customer_of(desk, 6, RATED).owed == 0.0


def test_250_gateways_keep_a_cap_of_three() -> None:
    """Lost: floors of one slot at each gateway summed past every small cap."""
    desks = [Desk(gateways=250, rank=n, seed=n, plans=(plan(open_limit=3),)) for n in range(250)]
    counts: dict[int, float] = {}
    out: list[tuple[int, Desk, Send]] = []
    sizes: list[int] = []
    for n in range(3000):  # fifty requests a second of 100 ms: a demand of five
        now = 77 * SECOND + n * 20 * MS
        while out and out[0][0] <= now:
            end, desk, send = out.pop(0)
            desk.now = end
            desk.end(send.request, send.server, took=100 * MS)
        desk = desks[n * 97 % 250]
        desk.counts, desk.now = counts, now
        out += [(now + 100 * MS, desk, a) for a in of(Send, desk.ask(customer=4, plan=0, gateways=250)[1])]
        sizes.append(len(out))
    steady = sizes[1000:]
    assert 0.8 <= sum(steady) / len(steady) <= 3.0


def test_idle_customers_are_forgotten_only_when_full() -> None:
    desk = Desk()
    desk.run(5 * SECOND)
    assert desk.serve(customer=6, plan=CEILED)
    desk.serve(customer=5, plan=RATED)
    desk.run(21 * SECOND)
    desk.gateway.customers[6, CEILED].store = -3.0  # by now refilled to less than its part
    desk.gateway.customers[6, CEILED].store_at = desk.now
    desk.serve(customer=7, plan=RATED)
    assert set(desk.gateway.customers) == {(6, CEILED), (5, RATED), (7, RATED)}
    desk.run(19 * SECOND)
    desk.serve(customer=7, plan=RATED)
    assert set(desk.gateway.customers) == {(7, RATED)}


def test_customers_that_come_once_do_not_fill_the_memory() -> None:
    desk = Desk(gateways=2)
    desk.serve(customer=1, plan=RATED, gateways=2)
    for n in range(2, 1500):
        desk.serve(customer=n, plan=(RATED, CEILED)[n % 2], gateways=2)
        desk.serve(customer=1, plan=RATED, gateways=2)  # one that always comes holds up nobody's end
        desk.run(100 * MS)
    assert len(desk.gateway.customers) <= 210  # those of the last 20 s and the regular one
    desk.run(10 * SECOND)
    assert not desk.gateway.requests and not desk.gateway.calls and len(desk.gateway.agenda) < 10


def test_a_strangers_plan_is_not_taken_for_the_customers() -> None:
    desk = Desk()
    desk.serve(customer=9, plan=CEILED, units=1.0)
    desk.serve(customer=9, plan=RATED)
    assert [c.plan for c in desk.gateway.customers.values()] == [
        desk.settings.plans[CEILED],
        desk.settings.plans[RATED],
    ]


def test_the_room_holds_what_is_left_of_the_burst_and_no_more() -> None:
    desk = Desk(gateways=1, plans=(plan(rate=10.0, burst=40.0),))
    passed = sum(desk.serve(customer=3, plan=0, gateways=1) for _ in range(20))
    assert passed >= 15  # a calm customer's burst passes: the window alone has room for 15
    for _ in range(200):
        desk.run(20 * MS)
        desk.serve(customer=3, plan=0, gateways=1)
    later = 0
    for _ in range(500):
        desk.run(20 * MS)
        later += desk.serve(customer=3, plan=0, gateways=1)
    assert 80 <= later <= 120  # five times the rate asked for: about the rate passes


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def log() -> list[object]:
        desk = Desk(seed=11)
        for n in range(200):
            desk.ask(customer=n % 7, plan=n % 4, kind=n % 3)
            desk.run(13 * MS)
        return list(desk.log)

    assert log() == log()


def test_a_hung_server_is_left_before_its_time_out() -> None:
    desk = Desk(servers=4)
    hung = name(1)
    for n in range(400):
        number, actions = desk.ask(plan=FREE)
        for send in of(Send, actions):
            if send.server != hung:
                desk.end(number, send.server, took=60 * MS)
        desk.run(20 * MS)
        if n == 200:
            desk.log.clear()
    late = [a for _, a in desk.log if isinstance(a, Send) and a.server == hung]
    assert len(late) <= 0.1 * 200


def test_a_server_that_fails_fast_gets_trials_only() -> None:
    """Lost: with the others full it had room at once and drew most of the traffic."""
    desk = Desk(servers=4)
    bad = name(2)
    for _ in range(600):
        _, actions = desk.ask(plan=FREE)
        todo = of(Send, actions)
        while todo:
            send = todo.pop()
            if send.server == bad:
                todo += of(Send, desk.end(send.request, bad, Result.NOT_CONNECTED, took=MS))
        desk.run(5 * MS)
    tries = [a for _, a in desk.log if isinstance(a, Send) and a.server == bad]
    assert len(tries) <= 20


def test_the_window_narrows_on_late_answers_down_to_a_rest() -> None:
    """Lost: with 168 gateways a slow back end was driven to answers of four seconds: none held back."""
    desk = Desk(servers=2, gateways=100)
    for _ in range(60):
        number, actions = desk.ask(plan=FREE)
        actions += desk.run(2 * SECOND)
        for send in of(Send, actions):
            desk.end(number, send.server, took=700 * MS)
    assert desk.gateway.window < 1.0
    desk.now = desk.gateway.last_sent + MS
    assert not of(Send, desk.ask(plan=FREE)[1])


def test_the_window_opens_again_on_good_answers() -> None:
    desk = Desk(servers=2, gateways=100)
    desk.gateway.window = 0.1
    for _ in range(200):
        desk.serve(plan=FREE)
        desk.run(2 * SECOND)
    assert desk.gateway.window >= desk.gateway.usual_window


def test_a_client_with_little_time_is_no_mark_against_a_server() -> None:
    desk = Desk(servers=1)
    for _ in range(6):
        number, actions = desk.ask(plan=FREE, left=60 * MS)
        desk.end(number, of(Send, actions)[0].server, Result.TIMED_OUT, took=60 * MS)
    assert not any(desk.gateway.servers[name(0)].bad.values())


def test_a_doubled_outcome_changes_nothing() -> None:
    desk = Desk(servers=1)
    number, _ = desk.ask(plan=FREE)
    desk.ask(plan=FREE)
    for _ in range(3):
        desk.end(number, name(0), Result.OK)
    assert desk.gateway.out == 1 == desk.gateway.servers[name(0)].out


def test_a_pick_looks_at_few_servers_however_many_there_are() -> None:
    looked = []
    for servers in (40, 200):
        desk = Desk(servers=servers)
        before = desk.gateway.random.getstate()
        desk.serve(plan=FREE)
        assert before != desk.gateway.random.getstate()
        calls = 0

        def count(server: object) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        desk.gateway._warmth = count  # type: ignore[method-assign]
        desk.serve(plan=FREE)
        looked.append(calls)
    assert looked[0] == looked[1] <= 20


def test_a_gateway_that_stood_still_shuns_no_server_for_it() -> None:
    """Lost: after a pause of its own every answer looked two seconds late and marked its server."""
    desk = Desk(servers=3, gateways=100)
    sent = [of(Send, desk.ask(plan=FREE)[1]) for _ in range(2)]
    before = {n: (s.slow, s.bad.copy()) for n, s in desk.gateway.servers.items()}
    desk.now += 2 * SECOND  # nobody woke it
    for send in (a for actions in sent for a in actions):
        desk.end(send.request, send.server, Result.TIMED_OUT, took=2 * SECOND)
    assert sum(len(actions) for actions in sent) > 0
    assert before == {n: (s.slow, s.bad.copy()) for n, s in desk.gateway.servers.items()}


def test_a_server_full_for_one_plan_is_left_by_that_plan_only() -> None:
    """Lost: servers that turned one plan away as full were left by all plans, and the rest ran over."""
    desk = Desk(servers=1)
    for _ in range(5):
        for plan_ in (FREE, CAPPED):
            for send in of(Send, desk.ask(customer=plan_, plan=plan_)[1]):
                desk.end(send.request, send.server, Result.TURNED_AWAY if plan_ == FREE else Result.OK)
    bad = desk.gateway.servers[name(0)].bad
    assert bad[desk.settings.plans[FREE]] > 0.2 and bad[None] == bad[desk.settings.plans[CAPPED]] == 0.0


def test_a_counter_that_fails_some_calls_is_asked_on_and_one_that_fails_all_is_spared() -> None:
    def strain(answered: Callable[[int], bool]) -> float:
        desk = Desk(gateways=2)
        for n in range(200):
            desk.counter_answers = answered(n)
            desk.serve(customer=n, plan=RATED, gateways=2)
            desk.run(20 * MS)
        return desk.gateway.strain

    assert strain(lambda n: n % 5 not in (1, 3)) < 2.0  # two in five fail: totals must not grow old
    assert strain(lambda n: False) > 10.0


def test_what_is_owed_does_not_grow_by_calls_that_added_nothing() -> None:
    desk = Desk(gateways=2)
    desk.counter_answers, desk.refusal = False, Result.NOT_CONNECTED
    for _ in range(400):
        desk.serve(customer=9, plan=RATED, gateways=2)
        desk.run(10 * MS)
    desk.gateway.strain = 1.0
    desk.counter_answers = True
    desk.ask(customer=9, plan=RATED, gateways=2)
    # 401 units and the weight of the interval's end, not those times the strain of each failed call.
    assert of(Count, [a for _, a in desk.log])[-1].amount < 401 * math.exp(8) * 1.01
    assert desk.gateway.customers[9, RATED].owed == 0.0


def test_in_a_shortage_the_dearer_request_goes_and_the_cheaper_waits() -> None:
    """Lost: with a full window, a plan's price did not count, so that cheap requests took the boxes' time."""
    plans = (plan(price=0.4), plan(price=4.0))
    desk = Desk(servers=12, plans=plans, gateways=1)
    gateway = desk.gateway
    gateway.value = 1.0 / gateway.usual[0]  # the usual worth for the time: of a request of price 1
    gateway.window = gateway.usual_window = 2.0
    gateway.out = 2
    cheap, actions = desk.ask(customer=1, plan=0, gateways=1)
    assert not of(Send, actions)
    _, actions = desk.ask(customer=2, plan=1, gateways=1)
    assert of(Send, actions)
    gateway.out = 0
    assert [a.request for a in of(Send, desk.give(Woken(0)))] == [cheap]  # and none starves


@pytest.mark.parametrize("refusal", [Result.NOT_CONNECTED, Result.TURNED_AWAY])
def test_the_first_total_after_an_outage_is_what_was_lately_asked(refusal: Result) -> None:
    """Lost: a heap of all that was asked meanwhile, times the strain: refusals for seconds after."""
    desk = Desk()
    desk.counter_answers, desk.refusal = False, refusal
    for _ in range(400):  # 20 units a second for 20 s
        desk.run(50 * MS)
        _, actions = desk.ask(customer=3, plan=RATED)
        for send in of(Send, actions):
            desk.end(send.request, send.server)
    assert desk.gateway.strain > 10
    desk.counter_answers = True
    for _ in range(400):
        desk.run(50 * MS)
        desk.ask(customer=3, plan=RATED)
        if (customer := desk.gateway.customers[3, RATED]).told_at >= 0:
            break
    lately = 20.0 * customer.fading / SECOND  # what a rate comes to where it fades: rate x fading
    assert 0.5 * lately < customer.total < 2.5 * lately  # one that calls speaks for up to 20 others


def test_calls_under_strain_tell_on_the_whole_what_was_asked() -> None:
    """Stores that ask once each: one call in `strain` is made, and speaks for the others."""
    told = 0.0
    desk = Desk()
    for store in range(4_000):
        desk.run(MS)
        desk.gateway.strain = 8.0  # as calls that fail elsewhere keep it
        _, actions = desk.ask(customer=100 + store, plan=RATED)
        for call in of(Count, actions):
            into = (desk.now - desk.gateway.customers[100 + store, RATED].phase) % (
                desk.gateway.customers[100 + store, RATED].period
            )
            told += call.amount / math.exp(into / desk.gateway.customers[100 + store, RATED].fading)
    assert 3_200 < told < 4_800


@pytest.mark.parametrize(("gateways", "least"), [(3, 0.0), (40, 3.0)])
def test_the_window_of_a_gateway_of_many_keeps_its_usual_width_and_its_own_chance(
    gateways: int,
    least: float,
) -> None:
    """Lost: by a few late answers each of forty gateways refused what the fleet could do; later, with a usual
    width of 1.25 attempts and no more, a quarter of what the count had let in."""
    desk = Desk(servers=20, gateways=gateways)
    for n in range(300):
        request, actions = desk.ask(customer=n)
        for send in of(Send, actions):
            desk.end(request, send.server, took=800 * MS)
        desk.run(SECOND)
    kept = desk.gateway.window / desk.gateway.usual_window
    assert kept >= least if least else kept < 1.0


def test_a_claim_of_what_was_never_sent_is_given_back_where_it_is_anothers_room() -> None:
    desk = Desk(servers=0, gateways=40)
    for _ in range(28):
        desk.ask(customer=4, plan=RATED, gateways=20)
    told = sum(total % CLAIMED_MODULUS for total in desk.counts.values())
    desk.run(2 * SECOND)
    assert 0 < sum(total % CLAIMED_MODULUS for total in desk.counts.values()) < 0.7 * told


def test_a_claim_that_holds_once_its_client_has_left_is_given_back() -> None:
    desk = Desk(gateways=40)
    for _ in range(20):
        desk.ask(customer=4, plan=RATED, gateways=20)
    arrival = Arrival(999, 4, RATED, SAFE, SECOND, 3.0, 0, 20)
    calls = of(Count, desk.gateway.handle(desk.now, [arrival]))
    desk.gateway.handle(desk.now, [RequestEnded(999)])
    told = CountAnswer(calls[0].name, Result.OK, desk.counts[calls[0].name] + calls[0].amount, MS)
    assert [c.amount for c in of(Count, desk.gateway.handle(desk.now, [told]))] == [-calls[0].amount]


def test_in_a_fleet_of_many_a_customer_of_few_gateways_is_claimed_for_as_well() -> None:
    desk = Desk(gateways=40)
    desk.ask(customer=4, plan=RATED, gateways=6)
    assert customer_of(desk, 4, RATED).account is not None
    few = Desk(gateways=FEW_WAYS)
    few.ask(customer=4, plan=RATED, gateways=6)
    assert few.gateway.customers[4, RATED].account is None


def test_a_crowded_counter_has_spared_repeats_refused_and_a_silent_one_lets_first_requests_in() -> None:
    """Once it is crowded most repeats are of customers beyond their quotas; a silent one tells nothing."""
    sent = {}
    for refusal in (Result.TURNED_AWAY, Result.TIMED_OUT):
        desk = Desk(servers=100, gateways=200)
        desk.counter_answers, desk.refusal = False, refusal
        sent[refusal] = sum(
            desk.serve(customer=n, plan=RATED, gateways=200, is_retry=True) for n in range(200)
        )
    assert sent[Result.TURNED_AWAY] == 0 and sent[Result.TIMED_OUT] >= 190


def test_of_a_crowded_counter_a_try_is_claimed_once() -> None:
    desk = Desk(gateways=40)
    desk.counter_answers, desk.refusal = False, Result.TURNED_AWAY
    desk.ask(customer=4, plan=RATED, gateways=20)
    desk.run(SECOND)
    assert len(of(Count, [a for _, a in desk.log])) == 1
    assert len(of(Refuse, [a for _, a in desk.log])) == 1
