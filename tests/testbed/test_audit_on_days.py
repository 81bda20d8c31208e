"""The audit reports the rule that a deliberately faulty front door breaks, and none for the real one."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    Action,
    Event,
    RejectRequest,
    RequestArrived,
    ServerEntry,
    ServerList,
    ServerListKind,
    ServerState,
    Settings,
    StartAttempt,
)
from irisdeal.front_door.server.client_request import ClientRequest
from irisdeal.front_door.server.clients import HttpConnection
from irisdeal.front_door.server.loop import DecisionLoop
from irisdeal.front_door.server.program import Program
from irisdeal.testbed.audit import Rule
from tests.support.front_door_rig import SCENARIO_WITH_FAULTS, SMALL, run_in_virtual_time

UNSAFE = 2  # the class `file`


class RecordsServers(Gateway):
    """Keeps the server list that the gateway received."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.entries_by_id: dict[bytes, ServerEntry] = {}

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        for event in list(events):
            if isinstance(event, ServerList):
                if event.kind is ServerListKind.COMPLETE:
                    self.entries_by_id.clear()
                for entry in event.entries:
                    self.entries_by_id[entry.server_id] = entry
        return super().handle(now, events)


class SendsAgain(RecordsServers):
    """Sends each unsafe request to a second backend as well."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        unsafe = {
            e.request_id for e in list(events) if isinstance(e, RequestArrived) and e.class_index == UNSAFE
        }
        actions = super().handle(now, events)
        for action in list(actions):
            if isinstance(action, StartAttempt) and action.request_id in unsafe:
                other = next(s for s in self.entries_by_id if s != action.server_id)
                actions.append(StartAttempt(action.request_id, other))
        return actions


class RefusesAfterSending(RecordsServers):
    """Rejects an unsafe request right after sending it."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        unsafe = {
            e.request_id for e in list(events) if isinstance(e, RequestArrived) and e.class_index == UNSAFE
        }
        actions = super().handle(now, events)
        return actions + [
            RejectRequest(a.request_id)
            for a in actions
            if isinstance(a, StartAttempt) and a.request_id in unsafe
        ]


class KeepsDraining(Gateway):
    """Ignores that a backend drains or is gone."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        for n, event in enumerate(list(events)):
            if isinstance(event, ServerList):
                events[n] = replace(
                    event,
                    entries=tuple(
                        replace(e, state=ServerState.READY) if e.state is ServerState.DRAINING else e
                        for e in event.entries
                        if e.state is not ServerState.GONE
                    ),
                )
        return super().handle(now, events)


class FloodsCold(RecordsServers):
    """Sends all requests to the most recently started backend."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        actions = super().handle(now, events)
        newest = max(self.entries_by_id.values(), key=lambda e: e.started_at, default=None)
        if newest is None or not newest.started_at:
            return actions
        return [replace(a, server_id=newest.server_id) if isinstance(a, StartAttempt) else a for a in actions]


def without_ceiling(settings: Settings, seed: int) -> Gateway:
    """Make a gateway without quotas and ceilings."""
    plans = tuple(replace(p, rate_per_s=0.0, ceiling_rate_per_s=0.0, max_in_flight=0) for p in settings.plans)
    return Gateway(replace(settings, plans=plans), seed)


def answers_twice(program: Program) -> None:
    reply = HttpConnection.reply

    def twice(self: HttpConnection, request: ClientRequest, *arguments: Any) -> None:
        first = not request.response
        reply(self, request, *arguments)
        if first and request.response and self.transport is not None and not self.transport.is_closing():
            self.transport.write(request.response)

    take = program.decision_loop.handle_request

    def taken(request: ClientRequest) -> None:
        connection = cast(HttpConnection, request.connection)  # patches this connection, not the class
        connection.reply = lambda *arguments: twice(connection, *arguments)  # type: ignore[method-assign]
        take(request)

    setattr(program.decision_loop, "handle_request", taken)  # noqa: B010 - mypy knows the method's own names


def never_answers_some(program: Program) -> None:
    """Drop one request in ten, before the decision loop can set its timeout."""
    front_door, take, count = program.decision_loop, program.decision_loop.handle_request, [0]

    def forget(request: ClientRequest) -> None:
        count[0] += 1
        if count[0] % 10:
            take(request)

    setattr(front_door, "handle_request", forget)  # noqa: B010 - as above


def answers_itself(program: Program) -> None:
    """Answer requests without a backend."""

    def take(self: DecisionLoop, request: ClientRequest) -> None:
        request.reply(200, b"surely fine")

    program.decision_loop.handle_request = take.__get__(program.decision_loop)  # type: ignore[method-assign]


def test_the_real_module_keeps_all_rules_on_that_day() -> None:
    run = run_in_virtual_time(SCENARIO_WITH_FAULTS)
    assert [b.text() for b in run.verdict.breaches] == []
    assert run.verdict.checked[Rule.ANSWERS] > 200
    assert all(run.verdict.checked[rule] > 0 for rule in Rule), run.verdict.checked


def test_an_unsafe_request_sent_again_is_caught() -> None:
    run = run_in_virtual_time(SCENARIO_WITH_FAULTS, make_decider=SendsAgain)
    assert Rule.EFFECTS in run.verdict.broken()
    breach = next(b for b in run.verdict.breaches if "unsafe" in b.what)
    assert len(breach.backends) == 2 and breach.request


def test_a_refusal_of_what_may_have_run_is_caught() -> None:
    run = run_in_virtual_time(SMALL, make_decider=RefusesAfterSending)
    assert any(b.rule is Rule.EFFECTS and "refused" in b.what for b in run.verdict.breaches)


def test_sends_after_the_grace_are_caught() -> None:
    run = run_in_virtual_time(SCENARIO_WITH_FAULTS, make_decider=KeepsDraining)
    assert run.verdict.broken() == {Rule.DRAINS}


def test_a_flooded_cold_backend_is_caught() -> None:
    run = run_in_virtual_time(SCENARIO_WITH_FAULTS, make_decider=FloodsCold)
    assert Rule.COLD in run.verdict.broken()
    assert "4 times its capacity" in next(b for b in run.verdict.breaches if b.rule is Rule.COLD).figure


def test_a_passed_ceiling_is_caught() -> None:
    run = run_in_virtual_time(SMALL, make_decider=without_ceiling)
    assert run.verdict.broken() == {Rule.CEILINGS}
    assert "mall" in run.verdict.breaches[0].what


def test_two_answers_are_caught() -> None:
    run = run_in_virtual_time(SMALL, modify=answers_twice)
    assert Rule.ANSWERS in run.verdict.broken()
    assert any("more than once" in b.what for b in run.verdict.breaches)


def test_no_answer_is_caught() -> None:
    run = run_in_virtual_time(SMALL, modify=never_answers_some)
    assert run.verdict.broken() == {Rule.ANSWERS}
    assert any(b.what == "never answered" for b in run.verdict.breaches)


def test_an_answer_that_no_backend_made_is_caught() -> None:
    run = run_in_virtual_time(SMALL, modify=answers_itself)
    assert run.verdict.broken() == {Rule.ANSWERS}
    assert all("no backend sent" in b.what for b in run.verdict.breaches)
