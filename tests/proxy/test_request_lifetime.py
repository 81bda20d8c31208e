"""Work for a request ends when its client disconnects, except for a mutating request that may have begun."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Request, Response
from irisdeal.http1.phase import Phase
from irisdeal.http1.server import HttpServer
from irisdeal.permits.allowance import Limit
from irisdeal.proxy.attempt import Attempt
from irisdeal.proxy.attempt_outcome import AttemptOutcome
from irisdeal.proxy.drain_plan import DrainPlan
from irisdeal.proxy.process import Proxy
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.request_attempts import RequestAttempts
from tests.support.random_request_runs import RandomRun
from tests.support.request_world import Client, Disconnect, RequestWorld

DISCONNECT_COUNT = 100  # clients that disconnect in each phase


def play_disconnects(how: Disconnect, after_s: float) -> RequestWorld:
    """Send eight requests with 2 s of work, and disconnect their clients after `after_s`."""
    world = RequestWorld()

    async def act() -> None:
        requests = [await world.send_request(2000) for _ in range(8)]
        await asyncio.sleep(after_s)
        for request in requests:
            assert request is not None
            request[0].disconnect(how)
        await asyncio.sleep(4.0)

    world.play(act)
    assert len(world.executions) >= 8
    return world


@pytest.mark.parametrize("how", Disconnect)
def test_executions_of_idempotent_requests_end_when_the_client_disconnects(how: Disconnect) -> None:
    assert play_disconnects(how, 0.3).work_after_disconnect() == []


# In each phase, at random moments


def few_slots(proxy: Proxy) -> None:
    """Limit the tenant to one concurrent request."""
    proxy.admission.concurrency.slots = 1


def make_world(phase: Phase) -> RequestWorld:
    """Return a world in which requests stay in this phase for long."""
    world = RequestWorld(seed=3, has_registry=phase is Phase.PLACEMENT)
    if phase is Phase.TENANT_QUEUE:
        world.prepare = few_slots
    return world


async def disconnect_soon(client: Client, rng: random.Random, max_s: float) -> None:
    await asyncio.sleep(rng.uniform(0.0, max_s))
    client.disconnect(rng.choice(list(Disconnect)))


@pytest.mark.parametrize(
    "phase", [Phase.PIPELINED, Phase.TENANT_QUEUE, Phase.PLACEMENT, Phase.CONNECTING, Phase.BACKEND]
)
def test_a_disconnect_in_any_phase_ends_the_work_and_releases_all_resources(phase: Phase) -> None:
    world, rng = make_world(phase), random.Random(5)
    phases: list[Phase] = []

    async def act() -> None:
        proxy = world.proxy
        assert proxy is not None
        proxy.http_server.on_client_disconnected = lambda request: phases.append(request.phase)
        if world.registry is not None:
            world.registry.hold_s = 0.8
        if phase is Phase.CONNECTING:
            world.to_backend.is_partitioned = world.to_backend.is_stalled = True
        if phase is Phase.TENANT_QUEUE:
            assert await world.send_request(3000)  # occupies the only slot
            await asyncio.sleep(0.01)
        disconnects = []
        for number in range(DISCONNECT_COUNT):
            client = await world.connect()
            assert client is not None
            for _ in range(3 if phase is Phase.PIPELINED else 1):
                client.send(world.request(2000, is_mutating=number % 2 == 1 and phase is not Phase.BACKEND))
            disconnects.append(asyncio.ensure_future(disconnect_soon(client, rng, 0.2)))
        await asyncio.gather(*disconnects)
        await asyncio.sleep(1.0)
        assert {
            request for request in proxy.handler.attempts if request.disconnected_at is not None
        } == unfinished(proxy)
        if world.registry is not None:
            assert world.registry.waiting == 0
        await asyncio.sleep(4.0)
        assert not proxy.handler.attempts and not proxy.http_server.serving
        assert not any(
            tenant.in_flight or tenant.waiting for tenant in proxy.admission.concurrency.tenants.values()
        )
        assert not any(backend.in_flight for backend in proxy.directory.backends.values())
        assert world.registry is None or not world.registry.reservations

    def unfinished(proxy: Proxy) -> set[Request]:
        return {
            request
            for request, attempts in proxy.handler.attempts.items()
            if any(attempt.must_finish_once_sent for attempt in attempts.running)
        }

    world.play(act)
    assert world.work_after_disconnect() == []
    assert phases.count(phase if phase is not Phase.CONNECTING else Phase.BACKEND) >= 0.4 * DISCONNECT_COUNT


# Mutating requests


@pytest.mark.parametrize("how", Disconnect)
def test_a_mutating_request_in_execution_is_finished_and_answered_despite_a_disconnect(
    how: Disconnect,
) -> None:
    world = RequestWorld()

    async def act() -> None:
        asked = await world.send_request(1000, is_mutating=True)
        assert asked is not None
        await asyncio.sleep(0.3)
        asked[0].disconnect(how)
        await asyncio.sleep(2.0)

    world.play(act)
    assert [execution.is_complete for execution in world.executions] == [True]
    assert world.requests[0].status == (200 if how is Disconnect.HALF_CLOSE else 0)


def test_after_a_half_close_a_cancelled_request_is_still_answered() -> None:
    world = RequestWorld(has_registry=True)

    async def act() -> None:
        assert world.registry is not None
        started = await world.send_request(1000)
        await asyncio.sleep(0.2)
        world.registry.hold_s = 1.0
        waiting = await world.send_request(1000, is_mutating=True)
        await asyncio.sleep(0.2)
        for request in (started, waiting):
            assert request is not None
            request[0].disconnect(Disconnect.HALF_CLOSE)
        await asyncio.sleep(2.0)

    world.play(act)
    started, waiting = world.requests
    assert started.status == 502, "it may have been executed"
    assert waiting.status == 503 and not world.executions_of(waiting), "it was not executed"


def test_the_slower_of_two_attempts_is_cancelled_by_the_response_of_the_other() -> None:
    world = RequestWorld(max_tries=2)

    async def act() -> None:
        asked = await world.send_request(2000)
        assert asked is not None
        await asyncio.sleep(1.0)
        for execution in world.executions:
            execution.started_at = round(execution.started_at, 3)
        await asyncio.sleep(4.0)

    world.play(act)
    first, second = sorted(world.executions, key=lambda execution: execution.started_at)
    assert second.started_at > first.started_at, "a hedged request was sent"
    assert first.is_complete and not second.is_complete
    assert first.ended_at is not None and second.ended_at is not None
    assert second.ended_at - first.ended_at < 0.01


# Permits


def test_an_unused_permit_is_reused_once_by_the_same_tenant_while_it_is_valid() -> None:
    world = RequestWorld()

    async def act() -> None:
        proxy = world.proxy
        assert proxy is not None
        admission, limit, now = proxy.admission, Limit(5.0, 5.0), proxy.loop.time
        first = admission.admit_or_shed("limited", limit, False)
        assert first is not None
        first.grant(now())
        until = first.send_by
        admission.recycle_permit(first)
        second = admission.admit_or_shed("limited", limit, False)
        assert second is not None and second.send_by == until and not second.is_needed(now())
        third = admission.admit_or_shed("limited", limit, False)
        assert third is not None and third.is_needed(now()), "it is reused only once"
        admission.recycle_permit(second)
        await asyncio.sleep(until - now())
        late = admission.admit_or_shed("limited", limit, False)
        assert late is not None and late.is_needed(now()), "it has expired"
        sent = admission.admit_or_shed("limited", limit, False)
        assert sent is not None
        sent.grant(now())
        sent.consume()
        admission.recycle_permit(sent)
        assert not admission.recycled, "a consumed permit is not stored"

    world.play(act)


# Random runs, and planted bugs that their checks must find


def test_random_runs_of_requests_disconnects_faults_and_shutdowns() -> None:
    violations = {seed: found for seed in range(40) if (found := RandomRun(seed).play().violations)}
    assert violations == {}


def ignores_disconnect_in(phase: Phase) -> Callable[[pytest.MonkeyPatch], None]:
    """Ignore a client's disconnect while its request is in this phase."""

    def plant(patch: pytest.MonkeyPatch) -> None:
        cancel_work = Connection._cancel_work

        def cancel_in_other_phases(self: Connection) -> None:
            if self.current is None or self.current.phase is not phase:
                cancel_work(self)

        patch.setattr(Connection, "_cancel_work", cancel_in_other_phases)

    return plant


def ignores_fin(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Connection, "eof_received", lambda self: self._last() is not None)


def abandons_mutating(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempt, "must_finish_once_sent", property(lambda self: False))


def keeps_reservations(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RegistryClient, "end_reservation", lambda self, registry, end: None)


def keeps_attempts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempt, "abandon", lambda self, reason: None)


def discards_unsent_bytes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HttpServer, "_close_connections", lambda self: False)


def rejects_after_sending(patch: pytest.MonkeyPatch) -> None:
    handle_outcome = RequestAttempts._handle_outcome

    def handle_and_reset(self: RequestAttempts, outcome: AttemptOutcome) -> Response | None:
        response = handle_outcome(self, outcome)
        self.may_have_executed = False
        return response

    patch.setattr(RequestAttempts, "_handle_outcome", handle_and_reset)


def accepts_until_the_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DrainPlan, "may_start_attempt", lambda *_: True)
    patch.setattr(DrainPlan, "may_accept", lambda *_: True)


@pytest.mark.parametrize(
    ("plant", "seed"),
    [
        (ignores_disconnect_in(Phase.TENANT_QUEUE), 2),
        (ignores_disconnect_in(Phase.PLACEMENT), 21),
        (ignores_disconnect_in(Phase.BACKEND), 8),
        (ignores_fin, 2),
        (abandons_mutating, 5),
        (keeps_reservations, 1),
        (keeps_attempts, 8),
        (discards_unsent_bytes, 12),
        (rejects_after_sending, 0),
        (accepts_until_the_end, 18),
    ],
    ids=[
        "disconnect ignored in the queue",
        "disconnect ignored in placement",
        "disconnect ignored in execution",
        "FIN ignored",
        "mutating request abandoned",
        "reservation kept",
        "attempt kept",
        "unsent bytes discarded",
        "rejected after sending",
        "accepted until the end",
    ],
)
def test_random_runs_find_planted_bugs(
    plant: Callable[[pytest.MonkeyPatch], None],
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`seed`: the first one that finds the bug."""
    plant(monkeypatch)
    assert RandomRun(seed).play().violations != []
