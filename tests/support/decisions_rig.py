"""A front door's desk for tests: settings, events and a gateway with its clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Count,
    CountAnswer,
    Event,
    Group,
    ListKind,
    LoadReport,
    Plan,
    Repeat,
    RequestClass,
    Result,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    Settings,
    Wake,
    Woken,
)

A = TypeVar("A")
MS = 1_000
SECOND = 1_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2
FREE, RATED, CAPPED, CEILED = 0, 1, 2, 3


def klass(repeat: Repeat, group: Group = Group.ZONE, **changes: Any) -> RequestClass:
    base = RequestClass(
        aim=900 * MS,
        deadline=3 * SECOND,
        repeat=repeat,
        group=group,
        window=2 * SECOND,
        worth=1.0,
        late_worth=0.1,
        streams=False,
    )
    return replace(base, **changes)


def plan(**changes: Any) -> Plan:
    base = Plan(
        rate=0.0,
        burst=0.0,
        open_limit=0,
        ceiling_rate=0.0,
        ceiling_depth=0.0,
        ceiling_slack=0.0,
        price=1.0,
        beyond_cost=1.0,
        beyond_worth=0.0,
    )
    return replace(base, **changes)


CLASSES = (klass(Repeat.SAFE), klass(Repeat.KEYED), klass(Repeat.UNSAFE))
PLANS = (
    plan(),
    plan(rate=10.0, burst=20.0),
    plan(open_limit=6),
    plan(ceiling_rate=6.0, ceiling_depth=30.0, ceiling_slack=3.0),
)


def settings(**changes: Any) -> Settings:
    base = Settings(
        gateways=3,
        rank=0,
        zone=0,
        classes=CLASSES,
        plans=PLANS,
        tick=2 * MS,
        answer_grace=8 * MS,
        drain_grace=SECOND,
        start_capacity=0.2,
        warm_up=15 * SECOND,
        fall_multiple=3.0,
        fall_window=SECOND,
        max_attempts=5,
        parallel_attempts=True,
        may_cancel=True,
        may_probe=False,
        may_advise=True,
        longest_advice=SECOND,
        list_is_pushed=True,
        counter=True,
        counter_timeout=40 * MS,
        counter_price=0.01,
        meter_period=0,
        units_settle=False,
        crossing_price=0.0,
        waste_price=0.05,
    )
    return replace(base, **changes)


def name(number: int) -> bytes:
    return bytes((10, 1, 0, number)) + b"\x50\x00"


def entry(number: int, state: ServerState = ServerState.READY, **changes: Any) -> ServerEntry:
    base = ServerEntry(name(number), state, 0, 1.0, 0, 0, 0)
    return replace(base, **changes)


def of(kind: type[A], actions: list[Action]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]


class Desk:
    """Drives one gateway; wakes it as it asked and remembers what it did."""

    def __init__(self, servers: int = 4, seed: int = 5, start: int = 77 * SECOND, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.gateway = Gateway(self.settings, seed)
        self.now = start
        self.wakes: list[int] = []
        self.log: list[tuple[int, Action]] = []
        self.counts: dict[int, float] = {}
        self.counter_answers, self.refusal = True, Result.TIMED_OUT
        self.others: float = 0.0  # what other gateways add to each name before it is read
        self.next_request = 1
        self.attempts: dict[int, int] = {}
        self.give(ServerList(ListKind.REMEMBERED, 1, tuple(entry(n) for n in range(servers))))

    def give(self, *events: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, Wake):
                self.wakes.append(self.now + max(1, action.delay))
            elif isinstance(action, Send):
                self.attempts[action.request] = self.attempts.get(action.request, 0) + 1
        return actions + [a for call in of(Count, actions) for a in self._count(call)]

    def _count(self, call: Count) -> list[Action]:
        if not self.counter_answers:
            return self.give(CountAnswer(call.name, self.refusal, 0.0, self.settings.counter_timeout))
        total = self.counts.get(call.name, self.others) + call.amount
        self.counts[call.name] = total
        return self.give(CountAnswer(call.name, Result.OK, total, MS))

    def run(self, duration: int) -> list[Action]:
        """Let time pass; only wakes happen."""
        seen = len(self.log)
        end = self.now + duration
        while self.wakes and min(self.wakes) <= end:
            self.now = max(self.now, min(self.wakes))
            self.wakes = [w for w in self.wakes if w > self.now]
            self.give(Woken(0))
        self.now = end
        return [action for _, action in self.log[seen:]]

    def ask(
        self,
        customer: int = 9,
        plan: int = FREE,
        kind: int = SAFE,
        units: float = 1.0,
        left: int | None = None,
        first: int = 0,
        gateways: int = 3,
        is_retry: bool = False,
    ) -> tuple[int, list[Action]]:
        """A new request; its number and the actions at once."""
        number = self.next_request
        self.next_request += 1
        left = left if left is not None else self.settings.classes[kind].deadline
        return number, self.give(
            Arrival(number, customer, plan, kind, left, units, first, gateways, is_retry)
        )

    def end(
        self,
        request: int,
        server: bytes,
        result: Result = Result.OK,
        took: int = 50 * MS,
        attempt: int | None = None,
        ended: bool | None = None,
        load: LoadReport | None = None,
        true_units: int | None = None,
    ) -> list[Action]:
        """The outcome of an attempt, the last one if none is named."""
        attempt = self.attempts[request] - 1 if attempt is None else attempt
        ended = result is Result.OK if ended is None else ended
        return self.give(
            AttemptEnded(
                request,
                attempt,
                server,
                result,
                took,
                ended,
                load=load,
                true_units=true_units,
            )
        )

    def serve(self, **ask: Any) -> bool:
        """Ask, and answer well at once whatever is sent; whether it was this one."""
        number, actions = self.ask(**ask)
        sent = of(Send, actions)
        for send in sent:  # one that waits goes before it
            self.end(send.request, send.server)
        return number in {send.request for send in sent}
