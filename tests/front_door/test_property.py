"""Random legal orders of events never break rules 1, 2, 3 and 5."""

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

PROOF = (Result.TURNED_AWAY, Result.NOT_CONNECTED, Result.NOT_SENT)
FAILURES = (*PROOF, Result.ERROR, Result.TIMED_OUT, Result.CONNECTION_LOST)


class Watch:
    """Checks every action against the rules as it comes."""

    def __init__(self, desk: GatewayHarness) -> None:
        self.desk, self.seen = desk, 0
        self.kind: dict[int, int] = {}
        self.plan: dict[int, int] = {}
        self.gives_up: dict[int, int] = {}
        self.over: set[int] = set()
        self.sends: dict[int, list[tuple[int, bytes]]] = {}
        self.out: set[tuple[int, int]] = set()
        self.never: set[tuple[int, int]] = set()
        self.states: dict[bytes, tuple[ServerState, int]] = {}
        self.ceiling = PLANS[CEILED].ceiling_slack / 3
        self.ceiling_at = desk.now

    def risky(self, request: int) -> list[tuple[int, bytes]]:
        return [s for n, s in enumerate(self.sends[request]) if (request, n) not in self.never]

    def check(self) -> None:
        for at, action in self.desk.log[self.seen :]:
            if isinstance(action, StartAttempt):
                self.send(at, action)
            elif isinstance(action, RejectRequest | FailRequest):
                number = action.request_id
                assert number not in self.over
                assert at <= self.gives_up[number] + self.desk.settings.answer_grace_us
                rule = CLASSES[self.kind[number]]
                if isinstance(action, RejectRequest) and rule.idempotency is not Idempotency.SAFE:
                    assert not self.risky(number)
                self.over.add(number)
        self.seen = len(self.desk.log)

    def send(self, at: int, action: StartAttempt) -> None:
        number = action.request_id
        assert number not in self.over
        rule, earlier = CLASSES[self.kind[number]], self.risky(number)
        if earlier and rule.idempotency is Idempotency.UNSAFE:
            raise AssertionError("unsafe sent twice")
        if earlier and rule.idempotency is Idempotency.KEYED:
            assert self.states[earlier[0][1]][1] == self.states[action.server_id][1]
            assert at - earlier[0][0] < rule.dedup_window_us
        if not self.desk.settings.may_hedge:
            assert not any(n == number for n, _ in self.out)
        assert self.states[action.server_id][0] is ServerState.READY
        if self.plan[number] == CEILED and not self.sends[number]:
            self.ceiling = min(10.0, self.ceiling + 2.0 * (at - self.ceiling_at) / SECOND) - 1.0
            self.ceiling_at = at
            assert self.ceiling >= -1e-6
        self.out.add((number, len(self.sends[number])))
        self.sends[number].append((at, action.server_id))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.integers(0, 2**32), strategies.booleans(), strategies.booleans())
def test_random_orders_keep_the_rules(seed: int, parallel: bool, counter: bool) -> None:
    random = Random(seed)
    desk = GatewayHarness(servers=0, may_hedge=parallel, has_counter=counter)
    watch = Watch(desk)

    def listed(kind: ServerListKind, numbers: range) -> None:
        entries = [
            server_entry(
                n,
                random.choice((ServerState.READY,) * 4 + (ServerState.DRAINING, ServerState.GONE)),
                zone=n % 3,
                started_at=random.choice((0, desk.now - 2 * SECOND)),
            )
            for n in numbers
        ]
        if kind is ServerListKind.COMPLETE:
            entries = [e for e in entries if e.state is not ServerState.GONE]
            watch.states = {s: (ServerState.GONE, z) for s, (_, z) in watch.states.items()}
        for e in entries:
            watch.states[e.server_id] = (e.state, e.zone)
        desk.handle(ServerList(kind, 1, tuple(entries)))

    listed(ServerListKind.COMPLETE, range(6))
    for _ in range(150):
        move = random.random()
        if move < 0.45:
            kind, plan = random.randrange(3), random.randrange(4)
            left = random.choice((5 * MS, 400 * MS, 2 * SECOND))
            number = desk.next_request_id
            watch.kind[number], watch.plan[number] = kind, plan
            watch.gives_up[number], watch.sends[number] = desk.now + left, []
            desk.send_request(account_id=plan, plan_index=plan, class_index=kind, time_left_us=left)
        elif move < 0.75 and watch.out:
            number, attempt = random.choice(sorted(watch.out))
            result = Result.OK if random.random() < 0.5 else random.choice(FAILURES)
            if (number, attempt) in {
                (a.request_id, a.attempt_index) for _, a in desk.log if isinstance(a, CancelAttempt)
            }:
                result = Result.CANCELLED
            watch.out.discard((number, attempt))
            if result in PROOF:
                watch.never.add((number, attempt))
            sent, server = watch.sends[number][attempt]
            if result is Result.OK:
                watch.over.add(number)
            desk.end_attempt(number, server, result, max(1, desk.now - sent), attempt, number in watch.over)
        elif move < 0.80 and (alive := sorted(set(watch.kind) - watch.over)):
            number = random.choice(alive)
            watch.over.add(number)
            desk.handle(RequestEnded(number))
        elif move < 0.85:
            listed(
                random.choice((ServerListKind.CHANGES, ServerListKind.COMPLETE)), range(random.randrange(7))
            )
        elif move < 0.88:
            desk.counter_is_up = not desk.counter_is_up
        else:
            for _ in range(random.randrange(1, 40)):
                desk.advance(random.choice((1, 20, 50)) * MS)
                watch.check()
        watch.check()
    desk.advance(5 * SECOND)
    watch.check()
    assert set(watch.kind) <= watch.over


def test_every_delay_of_a_wake_is_positive() -> None:
    desk = GatewayHarness()
    for _ in range(100):
        desk.send_request(class_index=SAFE)
        desk.advance(7 * MS)
    assert all(a.delay_us > 0 for _, a in desk.log if isinstance(a, SetTimer))
