"""Planted bugs of the front door, each about one line, to measure whether the search detects them.

Each has a name, a description, and a function that returns the patches; `planted(name)` is a context in which they
are applied. They resemble real mistakes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from irisdeal.front_door.decisions import gateway
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    DedupScope,
    Idempotency,
    Result,
    ServerListKind,
    ServerState,
)
from irisdeal.front_door.decisions.tenant import Tenant
from irisdeal.front_door.server import backends, counter_client, discovery_client
from irisdeal.front_door.server.backends import BackendConnection, BackendPool
from irisdeal.front_door.server.clients import HttpServer
from irisdeal.front_door.server.counter_client import CounterConnection
from irisdeal.front_door.server.discovery_client import DiscoveryClient
from irisdeal.front_door.server.listener import Listener
from irisdeal.front_door.server.loop import DecisionLoop
from irisdeal.front_door.server.program import Program

Patch = tuple[Any, str, Any]


@dataclass(frozen=True, slots=True)
class Bug:
    """`make` returns the attributes to set: owner, name, and new value, which may wrap the old one."""

    name: str
    where: str
    about: str
    make: Callable[[], list[Patch]]


def _wrap(owner: Any, name: str, made: Callable[[Any], Any]) -> list[Patch]:
    return [(owner, name, made(owner.__dict__[name] if isinstance(owner, type) else getattr(owner, name)))]


def _late_503() -> list[Patch]:
    def made(old: Any) -> Any:
        return lambda answer: Result.REJECTED if answer.status >= 500 else old(answer)

    return _wrap(backends, "response_result", made)


def _with_classes(change: Callable[[Any], Any]) -> list[Patch]:
    """Give the decision module changed request classes."""

    def made(old: Any) -> Any:
        def init(self: Gateway, settings: Any, seed: int) -> None:
            old(self, replace(settings, classes=tuple(change(c) for c in settings.classes)), seed)

        return init

    return _wrap(Gateway, "__init__", made)


def _window_off() -> list[Patch]:
    return _with_classes(lambda c: replace(c, dedup_window_us=c.dedup_window_us + 600_000))


def _group_lost() -> list[Patch]:
    return _with_classes(lambda c: replace(c, dedup_scope=DedupScope.ALL))


def _unsafe_as_keyed() -> list[Patch]:
    return _with_classes(
        lambda c: (
            replace(c, idempotency=Idempotency.KEYED, dedup_window_us=10**9, dedup_scope=DedupScope.ALL)
            if c.idempotency is Idempotency.UNSAFE
            else c
        )
    )


def _lost_is_unsent() -> list[Patch]:
    def made(old: Any) -> Any:
        def end(self: BackendConnection, result: Result, answer: Any = None) -> None:
            unsent = result is Result.CONNECTION_LOST and not self.in_response
            old(self, Result.NOT_SENT if unsent else result, answer)

        return end

    return _wrap(BackendConnection, "_finish_attempt", made)


def _timed_out_never_ran() -> list[Patch]:
    return [(gateway, "NOT_EXECUTED_RESULTS", (*gateway.NOT_EXECUTED_RESULTS, Result.TIMED_OUT))]


def _drain_unheard() -> list[Patch]:
    return [
        (
            discovery_client,
            "STATES_BY_PHASE",
            {**discovery_client.STATES_BY_PHASE, "Terminating": ServerState.READY},
        )
    ]


def _lost_on_reconnect() -> list[Patch]:
    def made(old: Any) -> Any:
        async def run(self: DiscoveryClient) -> None:
            if (self.connection is None or not self.connection.is_usable()) and self.schedule.version >= 0:
                self.schedule.version += 1
            await old(self)

        return run

    return _wrap(DiscoveryClient, "_poll_once", made)


def _whole_list_as_changes() -> list[Patch]:
    def made(old: Any) -> Any:
        def found(self: Gateway, event: Any) -> None:
            old(
                self,
                replace(event, kind=ServerListKind.CHANGES)
                if event.kind is ServerListKind.COMPLETE
                else event,
            )

        return found

    return _wrap(Gateway, "_update_servers", made)


def _cold_unseen() -> list[Patch]:
    return _wrap(Gateway, "_has_cold_budget", lambda old: lambda self, server, warmth: True)


def _warm_at_once() -> list[Patch]:
    return _wrap(Gateway, "_capacity_ratio", lambda old: lambda self, server: 1.0)


def _refilled_after_restart() -> list[Patch]:
    def made(old: Any) -> Any:
        def init(self: Tenant, *args: Any) -> None:
            old(self, *args)
            self.ceiling_tokens = self.ceiling_capacity

        return init

    return _wrap(Tenant, "__init__", made)


def _ceiling_not_taken() -> list[Patch]:
    def made(old: Any) -> Any:
        def take(self: Tenant, units: float, weight: float) -> None:
            store = self.ceiling_tokens
            old(self, units, weight)
            self.ceiling_tokens = max(self.ceiling_tokens, store - 0.2)

        return take

    return _wrap(Tenant, "charge_attempt", made)


def _out_twice() -> list[Patch]:
    def made(old: Any) -> Any:
        def ended(self: Gateway, event: Any) -> None:
            old(self, event)
            if event.result is Result.REJECTED:
                self.in_flight += 1

        return ended

    return _wrap(Gateway, "_attempt_ended", made)


def _cancelled_kept() -> list[Patch]:
    def made(old: Any) -> Any:
        def ended(self: Gateway, event: Any) -> None:
            if event.result is not Result.CONNECTION_LOST:
                old(self, event)

        return ended

    return _wrap(Gateway, "_attempt_ended", made)


def _closes_over_the_queue() -> list[Patch]:
    return _wrap(Listener, "close_when_empty", lambda old: lambda self: self.close())


def _ends_before_answers() -> list[Patch]:
    def made(old: Any) -> Any:
        def finish(self: Program) -> None:
            self.clients.listener.close()
            self.finished.set()

        return finish

    return _wrap(Program, "_finish_when_drained", made)


def _retired_busy() -> list[Patch]:
    def made(old: Any) -> Any:
        def retire_idle(self: HttpServer) -> None:
            for client in list(self.connections):
                client._close()

        return retire_idle

    return _wrap(HttpServer, "close_idle", made)


def _guard_and_time_up_gone() -> list[Patch]:
    return [
        *_wrap(Gateway, "_request_timed_out", lambda old: lambda self, request: None),
        *_wrap(DecisionLoop, "_answer_overdue", lambda old: lambda self, number: None),
    ]


def _stalled_waits() -> list[Patch]:
    return [
        *_wrap(BackendConnection, "_check_stall", lambda old: lambda self: None),
        *_wrap(backends.Attempt, "time_out", lambda old: lambda self: None),
    ]


def _pool_leaks() -> list[Patch]:
    def made(old: Any) -> Any:
        def forget(self: BackendPool, connection: BackendConnection) -> None:
            if not connection.in_response:
                old(self, connection)

        return forget

    return _wrap(BackendPool, "remove", made)


def _late_total_to_the_next() -> list[Patch]:
    def made(old: Any) -> Any:
        def time_out(self: CounterConnection) -> None:
            old(self)
            while self.calls and self.calls[0].is_answered and self.calls[0].name >= 0:
                self.calls.popleft()

        return time_out

    return _wrap(counter_client.CounterConnection, "_time_out_calls", made)


def _dead_for_good() -> list[Patch]:
    def made(old: Any) -> Any:
        def recover(self: CounterConnection, *args: Any) -> None:
            old(self, *args)
            self.reconnect_at = 1e12

        return recover

    return _wrap(counter_client.CounterConnection, "_fail_all_calls", made)


BUGS = tuple(
    Bug(*fields)
    for fields in (
        (
            "late-503",
            "pool",
            "every response of 500 and above counts as a request that was not executed",
            _late_503,
        ),
        (
            "window-off",
            "module",
            "a keyed request is retried up to 0.6 s after its deduplication window",
            _window_off,
        ),
        ("group-lost", "module", "a keyed request is retried in any zone, not only in its own", _group_lost),
        ("unsafe-again", "module", "an unsafe request is retried like a keyed one", _unsafe_as_keyed),
        (
            "lost-is-unsent",
            "pool",
            "a connection lost before the response counts as a request not sent",
            _lost_is_unsent,
        ),
        (
            "silent-never-ran",
            "module",
            "a time-out counts as a request that was not executed",
            _timed_out_never_ran,
        ),
        ("drain-unheard", "discovery", "a draining backend counts as ready", _drain_unheard),
        (
            "lost-on-reconnect",
            "discovery",
            "changes during an interruption of the watch are skipped",
            _lost_on_reconnect,
        ),
        (
            "whole-as-changes",
            "discovery",
            "backends missing from a complete list are kept",
            _whole_list_as_changes,
        ),
        ("cold-unseen", "module", "a cold backend gets unlimited requests", _cold_unseen),
        ("warm-at-once", "module", "a backend that has just started counts as warm", _warm_at_once),
        (
            "refilled",
            "module",
            "a starting front door has full token buckets for all ceilings",
            _refilled_after_restart,
        ),
        (
            "ceiling-not-taken",
            "module",
            "an attempt takes at most 0.2 units from its ceiling",
            _ceiling_not_taken,
        ),
        ("out-twice", "module", "a rejected attempt is counted as in flight again", _out_twice),
        (
            "end-unheard",
            "module",
            "the end of an attempt by a lost connection is not recorded",
            _cancelled_kept,
        ),
        (
            "closes-over-queue",
            "drain",
            "the listener closes with connections waiting to be accepted",
            _closes_over_the_queue,
        ),
        ("ends-early", "drain", "the process exits before all requests are answered", _ends_before_answers),
        (
            "retired-busy",
            "clients",
            "at a drain connections with open requests are closed",
            _retired_busy,
        ),
        ("time-forgotten", "module", "a request past its deadline is not answered", _guard_and_time_up_gone),
        (
            "stalled-waits",
            "pool",
            "partial and missing responses have no time-out",
            _stalled_waits,
        ),
        (
            "pool-leaks",
            "pool",
            "a connection lost during a response stays in the pool",
            _pool_leaks,
        ),
        (
            "late-total",
            "counter",
            "a late total is assigned to the next call",
            _late_total_to_the_next,
        ),
        (
            "counter-lost",
            "counter",
            "a counter whose connection was lost once is not used again",
            _dead_for_good,
        ),
    )
)
NAMES = {bug.name: bug for bug in BUGS}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Apply the patches of a bug within this context; none if the name is empty."""
    if not name:
        yield
        return
    patches = NAMES[name].make()
    old = [
        (owner, key, owner.__dict__[key] if isinstance(owner, type) else getattr(owner, key))
        for owner, key, _ in patches
    ]
    try:
        for owner, key, value in patches:
            setattr(owner, key, value)
        yield
    finally:
        for owner, key, value in old:
            setattr(owner, key, value)
