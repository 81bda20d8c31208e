"""Random valid sequences of events never break the rules of a gateway.

Each request has one answer in time; unsafe requests are not repeated, keyed ones only within scope and
window; only ready servers get requests; ceilings hold.
"""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies

from irisdeal.front_door.decisions.interface import (
    CancelAttempt,
    FailRequest,
    Idempotency,
    RejectRequest,
    RequestEnded,
    Result,
    ServerList,
    ServerListKind,
    ServerState,
    SetTimer,
    StartAttempt,
)
from tests.support.decisions_rig import CEILED, CLASSES, MS, PLANS, SAFE, SECOND, GatewayHarness, server_entry

NOT_EXECUTED = (Result.REJECTED, Result.NOT_CONNECTED, Result.NOT_SENT)
FAILURES = (*NOT_EXECUTED, Result.ERROR, Result.TIMED_OUT, Result.CONNECTION_LOST)


class RuleChecker:
    """Checks each new action against the rules."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.harness, self.checked_count = harness, 0
        self.class_index_of: dict[int, int] = {}
        self.plan_of: dict[int, int] = {}
        self.deadline_at: dict[int, int] = {}
        self.answered: set[int] = set()
        self.attempts: dict[int, list[tuple[int, bytes]]] = {}
        self.in_flight: set[tuple[int, int]] = set()
        self.not_executed: set[tuple[int, int]] = set()
        self.states: dict[bytes, tuple[ServerState, int]] = {}
        self.ceiling = PLANS[CEILED].ceiling_slack / 3
        self.ceiling_at = harness.now

    def may_have_run(self, request: int) -> list[tuple[int, bytes]]:
        return [s for n, s in enumerate(self.attempts[request]) if (request, n) not in self.not_executed]

    def check(self) -> None:
        for at, action in self.harness.log[self.checked_count :]:
            if isinstance(action, StartAttempt):
                self.check_attempt(at, action)
            elif isinstance(action, RejectRequest | FailRequest):
                number = action.request_id
                assert number not in self.answered
                assert at <= self.deadline_at[number] + self.harness.settings.answer_grace_us
                request_class = CLASSES[self.class_index_of[number]]
                if isinstance(action, RejectRequest) and request_class.idempotency is not Idempotency.SAFE:
                    assert not self.may_have_run(number)
                self.answered.add(number)
        self.checked_count = len(self.harness.log)

    def check_attempt(self, at: int, action: StartAttempt) -> None:
        number = action.request_id
        assert number not in self.answered
        request_class, earlier_attempts = CLASSES[self.class_index_of[number]], self.may_have_run(number)
        if earlier_attempts and request_class.idempotency is Idempotency.UNSAFE:
            raise AssertionError("unsafe sent twice")
        if earlier_attempts and request_class.idempotency is Idempotency.KEYED:
            assert self.states[earlier_attempts[0][1]][1] == self.states[action.server_id][1]
            assert at - earlier_attempts[0][0] < request_class.dedup_window_us
        if not self.harness.settings.may_hedge:
            assert not any(n == number for n, _ in self.in_flight)
        assert self.states[action.server_id][0] is ServerState.READY
        if self.plan_of[number] == CEILED and not self.attempts[number]:
            self.ceiling = min(10.0, self.ceiling + 2.0 * (at - self.ceiling_at) / SECOND) - 1.0
            self.ceiling_at = at
            assert self.ceiling >= -1e-6
        self.in_flight.add((number, len(self.attempts[number])))
        self.attempts[number].append((at, action.server_id))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.integers(0, 2**32), strategies.booleans(), strategies.booleans())
def test_random_orders_keep_the_rules(seed: int, may_hedge: bool, has_counter: bool) -> None:
    random = Random(seed)
    harness = GatewayHarness(servers=0, may_hedge=may_hedge, has_counter=has_counter)
    checker = RuleChecker(harness)

    def send_server_list(class_index: ServerListKind, numbers: range) -> None:
        entries = [
            server_entry(
                n,
                random.choice((ServerState.READY,) * 4 + (ServerState.DRAINING, ServerState.GONE)),
                zone=n % 3,
                started_at=random.choice((0, harness.now - 2 * SECOND)),
            )
            for n in numbers
        ]
        if class_index is ServerListKind.COMPLETE:
            entries = [e for e in entries if e.state is not ServerState.GONE]
            checker.states = {s: (ServerState.GONE, z) for s, (_, z) in checker.states.items()}
        for e in entries:
            checker.states[e.server_id] = (e.state, e.zone)
        harness.handle(ServerList(class_index, 1, tuple(entries)))

    send_server_list(ServerListKind.COMPLETE, range(6))
    for _ in range(150):
        choice = random.random()
        if choice < 0.45:
            class_index, plan = random.randrange(3), random.randrange(4)
            time_left_us = random.choice((5 * MS, 400 * MS, 2 * SECOND))
            number = harness.next_request_id
            checker.class_index_of[number], checker.plan_of[number] = class_index, plan
            checker.deadline_at[number], checker.attempts[number] = harness.now + time_left_us, []
            harness.send_request(
                account_id=plan, plan_index=plan, class_index=class_index, time_left_us=time_left_us
            )
        elif choice < 0.75 and checker.in_flight:
            number, attempt = random.choice(sorted(checker.in_flight))
            result = Result.OK if random.random() < 0.5 else random.choice(FAILURES)
            if (number, attempt) in {
                (a.request_id, a.attempt_index) for _, a in harness.log if isinstance(a, CancelAttempt)
            }:
                result = Result.CANCELLED
            checker.in_flight.discard((number, attempt))
            if result in NOT_EXECUTED:
                checker.not_executed.add((number, attempt))
            sent, server = checker.attempts[number][attempt]
            if result is Result.OK:
                checker.answered.add(number)
            harness.end_attempt(
                number, server, result, max(1, harness.now - sent), attempt, number in checker.answered
            )
        elif choice < 0.80 and (open_requests := sorted(set(checker.class_index_of) - checker.answered)):
            number = random.choice(open_requests)
            checker.answered.add(number)
            harness.handle(RequestEnded(number))
        elif choice < 0.85:
            send_server_list(
                random.choice((ServerListKind.CHANGES, ServerListKind.COMPLETE)), range(random.randrange(7))
            )
        elif choice < 0.88:
            harness.counter_is_up = not harness.counter_is_up
        else:
            for _ in range(random.randrange(1, 40)):
                harness.advance(random.choice((1, 20, 50)) * MS)
                checker.check()
        checker.check()
    harness.advance(5 * SECOND)
    checker.check()
    assert set(checker.class_index_of) <= checker.answered


def test_every_timer_has_a_positive_delay() -> None:
    harness = GatewayHarness()
    for _ in range(100):
        harness.send_request(class_index=SAFE)
        harness.advance(7 * MS)
    assert all(a.delay_us > 0 for _, a in harness.log if isinstance(a, SetTimer))
