"""Random legal orders of events never break rules 1, 2, 3 and 5."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies

from irisdeal.front_door.decisions.interface import (
    Cancel,
    Fail,
    ListKind,
    Refuse,
    Repeat,
    RequestEnded,
    Result,
    Send,
    ServerList,
    ServerState,
    Wake,
)
from tests.support.decisions_rig import CEILED, CLASSES, MS, PLANS, SAFE, SECOND, Desk, entry

PROOF = (Result.TURNED_AWAY, Result.NOT_CONNECTED, Result.NOT_SENT)
FAILURES = (*PROOF, Result.ERROR, Result.TIMED_OUT, Result.CONNECTION_LOST)


class Watch:
    """Checks every action against the rules as it comes."""

    def __init__(self, desk: Desk) -> None:
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
            if isinstance(action, Send):
                self.send(at, action)
            elif isinstance(action, Refuse | Fail):
                number = action.request
                assert number not in self.over
                assert at <= self.gives_up[number] + self.desk.settings.answer_grace
                rule = CLASSES[self.kind[number]]
                if isinstance(action, Refuse) and rule.repeat is not Repeat.SAFE:
                    assert not self.risky(number)
                self.over.add(number)
        self.seen = len(self.desk.log)

    def send(self, at: int, action: Send) -> None:
        number = action.request
        assert number not in self.over
        rule, earlier = CLASSES[self.kind[number]], self.risky(number)
        if earlier and rule.repeat is Repeat.UNSAFE:
            raise AssertionError("unsafe sent twice")
        if earlier and rule.repeat is Repeat.KEYED:
            assert self.states[earlier[0][1]][1] == self.states[action.server][1]
            assert at - earlier[0][0] < rule.window
        if not self.desk.settings.parallel_attempts:
            assert not any(n == number for n, _ in self.out)
        assert self.states[action.server][0] is ServerState.READY
        if self.plan[number] == CEILED and not self.sends[number]:
            self.ceiling = min(10.0, self.ceiling + 2.0 * (at - self.ceiling_at) / SECOND) - 1.0
            self.ceiling_at = at
            assert self.ceiling >= -1e-6
        self.out.add((number, len(self.sends[number])))
        self.sends[number].append((at, action.server))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.integers(0, 2**32), strategies.booleans(), strategies.booleans())
def test_random_orders_keep_the_rules(seed: int, parallel: bool, counter: bool) -> None:
    random = Random(seed)
    desk = Desk(servers=0, parallel_attempts=parallel, counter=counter)
    watch = Watch(desk)

    def listed(kind: ListKind, numbers: range) -> None:
        entries = [
            entry(
                n,
                random.choice((ServerState.READY,) * 4 + (ServerState.DRAINING, ServerState.GONE)),
                zone=n % 3,
                started=random.choice((0, desk.now - 2 * SECOND)),
            )
            for n in numbers
        ]
        if kind is ListKind.COMPLETE:
            entries = [e for e in entries if e.state is not ServerState.GONE]
            watch.states = {s: (ServerState.GONE, z) for s, (_, z) in watch.states.items()}
        for e in entries:
            watch.states[e.server] = (e.state, e.zone)
        desk.give(ServerList(kind, 1, tuple(entries)))

    listed(ListKind.COMPLETE, range(6))
    for _ in range(150):
        move = random.random()
        if move < 0.45:
            kind, plan = random.randrange(3), random.randrange(4)
            left = random.choice((5 * MS, 400 * MS, 2 * SECOND))
            number = desk.next_request
            watch.kind[number], watch.plan[number] = kind, plan
            watch.gives_up[number], watch.sends[number] = desk.now + left, []
            desk.ask(customer=plan, plan=plan, kind=kind, left=left)
        elif move < 0.75 and watch.out:
            number, attempt = random.choice(sorted(watch.out))
            result = Result.OK if random.random() < 0.5 else random.choice(FAILURES)
            if (number, attempt) in {(a.request, a.attempt) for _, a in desk.log if isinstance(a, Cancel)}:
                result = Result.CANCELLED
            watch.out.discard((number, attempt))
            if result in PROOF:
                watch.never.add((number, attempt))
            sent, server = watch.sends[number][attempt]
            if result is Result.OK:
                watch.over.add(number)
            desk.end(number, server, result, max(1, desk.now - sent), attempt, number in watch.over)
        elif move < 0.80 and (alive := sorted(set(watch.kind) - watch.over)):
            number = random.choice(alive)
            watch.over.add(number)
            desk.give(RequestEnded(number))
        elif move < 0.85:
            listed(random.choice((ListKind.CHANGES, ListKind.COMPLETE)), range(random.randrange(7)))
        elif move < 0.88:
            desk.counter_answers = not desk.counter_answers
        else:
            for _ in range(random.randrange(1, 40)):
                desk.run(random.choice((1, 20, 50)) * MS)
                watch.check()
        watch.check()
    desk.run(5 * SECOND)
    watch.check()
    assert set(watch.kind) <= watch.over


def test_every_delay_of_a_wake_is_positive() -> None:
    desk = Desk()
    for _ in range(100):
        desk.ask(kind=SAFE)
        desk.run(7 * MS)
    assert all(a.delay > 0 for _, a in desk.log if isinstance(a, Wake))
