"""Test harness of a decision module: settings, events, and a gateway with a simulated clock and counter."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    Action,
    AddToCounter,
    AttemptEnded,
    CounterAnswered,
    DedupScope,
    Event,
    Idempotency,
    LoadReport,
    Plan,
    RequestArrived,
    RequestClass,
    Result,
    ServerEntry,
    ServerList,
    ServerListKind,
    ServerState,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)

A = TypeVar("A")
MS = 1_000
SECOND = 1_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2
FREE, RATED, CAPPED, CEILED = 0, 1, 2, 3


def request_class(
    idempotency: Idempotency, dedup_scope: DedupScope = DedupScope.ZONE, **changes: Any
) -> RequestClass:
    base = RequestClass(
        latency_target_us=900 * MS,
        deadline_us=3 * SECOND,
        idempotency=idempotency,
        dedup_scope=dedup_scope,
        dedup_window_us=2 * SECOND,
        value=1.0,
        late_value=0.1,
        is_streaming=False,
    )
    return replace(base, **changes)


def make_plan(**changes: Any) -> Plan:
    base = Plan(
        rate_per_s=0.0,
        burst=0.0,
        max_in_flight=0,
        ceiling_rate_per_s=0.0,
        ceiling_depth=0.0,
        ceiling_slack=0.0,
        value_factor=1.0,
        excess_cost=1.0,
        excess_value=0.0,
    )
    return replace(base, **changes)


CLASSES = (
    request_class(Idempotency.SAFE),
    request_class(Idempotency.KEYED),
    request_class(Idempotency.UNSAFE),
)
PLANS = (
    make_plan(),
    make_plan(rate_per_s=10.0, burst=20.0),
    make_plan(max_in_flight=6),
    make_plan(ceiling_rate_per_s=6.0, ceiling_depth=30.0, ceiling_slack=3.0),
)


def make_settings(**changes: Any) -> Settings:
    base = Settings(
        gateway_count=3,
        rank=0,
        zone=0,
        classes=CLASSES,
        plans=PLANS,
        tick_us=2 * MS,
        answer_grace_us=8 * MS,
        drain_grace_us=SECOND,
        start_capacity_ratio=0.2,
        warm_up_us=15 * SECOND,
        collapse_load_ratio=3.0,
        collapse_window_us=SECOND,
        max_attempts=5,
        may_hedge=True,
        may_cancel=True,
        may_probe=False,
        may_set_retry_after=True,
        max_retry_after_us=SECOND,
        server_list_is_pushed=True,
        has_counter=True,
        counter_timeout_us=40 * MS,
        counter_call_cost=0.01,
        metering_period_us=0,
        settles_actual_units=False,
        cross_zone_cost=0.0,
        wasted_work_cost=0.05,
    )
    return replace(base, **changes)


def server_id(number: int) -> bytes:
    return bytes((10, 1, 0, number)) + b"\x50\x00"


def server_entry(number: int, state: ServerState = ServerState.READY, **changes: Any) -> ServerEntry:
    base = ServerEntry(server_id(number), state, 0, 1.0, 0, 0, 0)
    return replace(base, **changes)


def actions_of_type(kind: type[A], actions: list[Action]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]


class GatewayHarness:
    """Drives one gateway: fires its timers, answers its counter calls and logs its actions."""

    def __init__(self, servers: int = 4, seed: int = 5, start: int = 77 * SECOND, **changes: Any) -> None:
        self.settings = make_settings(**changes)
        self.gateway = Gateway(self.settings, seed)
        self.now = start
        self.timers: list[int] = []
        self.log: list[tuple[int, Action]] = []
        self.counter_totals: dict[int, float] = {}
        self.counter_is_up, self.counter_failure = True, Result.TIMED_OUT
        self.remote_demand: float = 0.0  # of other gateways, added to each counter before it is first read
        self.next_request_id = 1
        self.attempts: dict[int, int] = {}
        self.handle(ServerList(ServerListKind.CACHED, 1, tuple(server_entry(n) for n in range(servers))))

    def handle(self, *events: Event) -> list[Action]:
        """Process events at the current time; return the actions, with those of counter answers."""
        actions = self.gateway.handle(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append(self.now + max(1, action.delay_us))
            elif isinstance(action, StartAttempt):
                self.attempts[action.request_id] = self.attempts.get(action.request_id, 0) + 1
        return actions + [
            a for call in actions_of_type(AddToCounter, actions) for a in self._answer_counter(call)
        ]

    def _answer_counter(self, call: AddToCounter) -> list[Action]:
        if not self.counter_is_up:
            return self.handle(
                CounterAnswered(
                    call.counter_name, self.counter_failure, 0.0, self.settings.counter_timeout_us
                )
            )
        total = self.counter_totals.get(call.counter_name, self.remote_demand) + call.amount
        self.counter_totals[call.counter_name] = total
        return self.handle(CounterAnswered(call.counter_name, Result.OK, total, MS))

    def advance(self, duration_us: int) -> list[Action]:
        """Advance the clock, firing the timers that are due; return the actions."""
        logged = len(self.log)
        end = self.now + duration_us
        while self.timers and min(self.timers) <= end:
            self.now = max(self.now, min(self.timers))
            self.timers = [at for at in self.timers if at > self.now]
            self.handle(TimerFired(0))
        self.now = end
        return [action for _, action in self.log[logged:]]

    def send_request(
        self,
        account_id: int = 9,
        plan_index: int = FREE,
        class_index: int = SAFE,
        units: float = 1.0,
        time_left_us: int | None = None,
        first_gateway: int = 0,
        gateway_count: int = 3,
        is_retry: bool = False,
    ) -> tuple[int, list[Action]]:
        """Send a new request; return its id and the immediate actions."""
        number = self.next_request_id
        self.next_request_id += 1
        deadline_us = self.settings.classes[class_index].deadline_us
        time_left_us = time_left_us if time_left_us is not None else deadline_us
        return number, self.handle(
            RequestArrived(
                number,
                account_id,
                plan_index,
                class_index,
                time_left_us,
                units,
                first_gateway,
                gateway_count,
                is_retry,
            )
        )

    def end_attempt(
        self,
        request_id: int,
        server_id: bytes,
        result: Result = Result.OK,
        duration_us: int = 50 * MS,
        attempt_index: int | None = None,
        request_ended: bool | None = None,
        load_report: LoadReport | None = None,
        actual_units: int | None = None,
    ) -> list[Action]:
        """End an attempt, by default the last one; return the actions."""
        attempt_index = self.attempts[request_id] - 1 if attempt_index is None else attempt_index
        request_ended = result is Result.OK if request_ended is None else request_ended
        return self.handle(
            AttemptEnded(
                request_id,
                attempt_index,
                server_id,
                result,
                duration_us,
                request_ended,
                load_report=load_report,
                actual_units=actual_units,
            )
        )

    def serve_request(self, **request: Any) -> bool:
        """Send a request and answer all that are forwarded; return whether it was forwarded."""
        number, actions = self.send_request(**request)
        attempts = actions_of_type(StartAttempt, actions)
        for attempt in attempts:  # including requests that waited
            self.end_attempt(attempt.request_id, attempt.server_id)
        return number in {attempt.request_id for attempt in attempts}
