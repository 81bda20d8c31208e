"""A request's life ends with its client: what runs once and may have begun is all that goes on then."""

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
from tests.support.request_world import Client, Leaving, RequestWorld

MOMENTS = 100  # at which clients leave in each phase


def left_amid_work(how: Leaving, after_s: float) -> RequestWorld:
    """Eight clients ask for 2 s of work and leave."""
    world = RequestWorld()

    async def act() -> None:
        asked = [await world.ask(2000) for _ in range(8)]
        await asyncio.sleep(after_s)
        for one in asked:
            assert one is not None
            one[0].leave(how)
        await asyncio.sleep(4.0)

    world.play(act)
    assert len(world.runs) >= 8
    return world


@pytest.mark.parametrize("how", Leaving)
def test_no_run_that_may_be_repeated_goes_on_for_a_client_that_left(how: Leaving) -> None:
    assert left_amid_work(how, 0.3).work_for_departed() == []


# In each phase, at random moments


def few_slots(proxy: Proxy) -> None:
    """One request of the tenant at a time."""
    proxy.admission.concurrency.slots = 1


def prepared(phase: Phase) -> RequestWorld:
    """A world in which requests stay in this phase for long."""
    world = RequestWorld(seed=3, has_registry=phase is Phase.PLACEMENT)
    if phase is Phase.TENANT_QUEUE:
        world.prepare = few_slots
    return world


async def leave_soon(client: Client, chance: random.Random, most_s: float) -> None:
    await asyncio.sleep(chance.uniform(0.0, most_s))
    client.leave(chance.choice(list(Leaving)))


@pytest.mark.parametrize(
    "phase", [Phase.PIPELINED, Phase.TENANT_QUEUE, Phase.PLACEMENT, Phase.CONNECTING, Phase.BACKEND]
)
def test_who_leaves_in_whichever_phase_has_nothing_done_for_him_and_all_is_given_back(phase: Phase) -> None:
    world, chance = prepared(phase), random.Random(5)
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
            assert await world.ask(3000)  # who has the place
            await asyncio.sleep(0.01)
        leaving = []
        for number in range(MOMENTS):
            client = await world.connect()
            assert client is not None
            for _ in range(3 if phase is Phase.PIPELINED else 1):
                client.send(world.request(2000, is_mutating=number % 2 == 1 and phase is not Phase.BACKEND))
            leaving.append(asyncio.ensure_future(leave_soon(client, chance, 0.2)))
        await asyncio.gather(*leaving)
        await asyncio.sleep(1.0)
        assert {
            request for request in proxy.handler.attempts if request.disconnected_at is not None
        } == begun(proxy)
        if world.registry is not None:
            assert world.registry.waiting == 0
        await asyncio.sleep(4.0)
        assert not proxy.handler.attempts and not proxy.http_server.serving
        assert not any(
            held.in_flight or held.waiting for held in proxy.admission.concurrency.tenants.values()
        )
        assert not any(backend.in_flight for backend in proxy.directory.backends.values())
        assert world.registry is None or not world.registry.open

    def begun(proxy: Proxy) -> set[Request]:
        return {
            request
            for request, attempts in proxy.handler.attempts.items()
            if any(attempt.must_finish_once_sent for attempt in attempts.running)
        }

    world.play(act)
    assert world.work_for_departed() == []
    assert phases.count(phase if phase is not Phase.CONNECTING else Phase.BACKEND) >= 0.4 * MOMENTS


# What may run once


@pytest.mark.parametrize("how", Leaving)
def test_what_runs_once_goes_to_its_end_once_begun_and_is_answered_if_anybody_reads(how: Leaving) -> None:
    world = RequestWorld()

    async def act() -> None:
        asked = await world.ask(1000, is_mutating=True)
        assert asked is not None
        await asyncio.sleep(0.3)
        asked[0].leave(how)
        await asyncio.sleep(2.0)

    world.play(act)
    assert [run.is_whole for run in world.runs] == [True]
    assert world.requests[0].status == (200 if how is Leaving.HALF_CLOSE else 0)


def test_who_only_closed_his_end_is_told_what_became_of_what_may_be_repeated() -> None:
    world = RequestWorld(has_registry=True)

    async def act() -> None:
        assert world.registry is not None
        begun = await world.ask(1000)
        await asyncio.sleep(0.2)
        world.registry.hold_s = 1.0
        waiting = await world.ask(1000, is_mutating=True)
        await asyncio.sleep(0.2)
        for one in (begun, waiting):
            assert one is not None
            one[0].leave(Leaving.HALF_CLOSE)
        await asyncio.sleep(2.0)

    world.play(act)
    begun, waiting = world.requests
    assert begun.status == 502, "it may have run"
    assert waiting.status == 503 and not world.runs_of(waiting), "it has not"


def test_the_slower_of_two_attempts_ends_with_the_answer_of_the_other() -> None:
    world = RequestWorld(max_tries=2)

    async def act() -> None:
        asked = await world.ask(2000)
        assert asked is not None
        await asyncio.sleep(1.0)
        for run in world.runs:  # the first goes on, the second is quick
            run.began = round(run.began, 3)
        await asyncio.sleep(4.0)

    world.play(act)
    first, second = sorted(world.runs, key=lambda run: run.began)
    assert second.began > first.began, "a second one was asked beside it"
    assert first.is_whole and not second.is_whole
    assert first.ended is not None and second.ended is not None
    assert second.ended - first.ended < 0.01


# Permits


def test_a_permit_of_a_request_that_ended_unsent_serves_the_next_of_its_tenant_within_its_time() -> None:
    world = RequestWorld()

    async def act() -> None:
        proxy = world.proxy
        assert proxy is not None
        admission, limit, now = proxy.admission, Limit(5.0, 5.0), proxy.loop.time
        first = admission.admit_or_shed("limited", limit, False)
        assert first is not None
        first.grant(now())
        until = first.send_by
        admission.end(first)
        second = admission.admit_or_shed("limited", limit, False)
        assert second is not None and second.send_by == until and not second.is_wanted(now())
        third = admission.admit_or_shed("limited", limit, False)
        assert third is not None and third.is_wanted(now()), "it serves once"
        admission.end(second)
        await asyncio.sleep(until - now())
        late = admission.admit_or_shed("limited", limit, False)
        assert late is not None and late.is_wanted(now()), "and not behind its time"
        sent = admission.admit_or_shed("limited", limit, False)
        assert sent is not None
        sent.grant(now())
        sent.use()
        admission.end(sent)
        assert not admission.returned, "one that was used is gone"

    world.play(act)


# The judge of random runs, and what is planted


def test_random_runs_of_requests_departures_troubles_and_ends() -> None:
    breaches = {seed: found for seed in range(40) if (found := RandomRun(seed).play().breaches)}
    assert breaches == {}


def deaf_in(phase: Phase) -> Callable[[pytest.MonkeyPatch], None]:
    """A client's leaving is overlooked while its request waits in this phase."""

    def plant(patch: pytest.MonkeyPatch) -> None:
        depart = Connection._cancel_work

        def overlooked(self: Connection) -> None:
            if self.current is None or self.current.phase is not phase:
                depart(self)

        patch.setattr(Connection, "_cancel_work", overlooked)

    return plant


def fin_overlooked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Connection, "eof_received", lambda self: self._last() is not None)


def mutating_given_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempt, "must_finish_once_sent", property(lambda self: False))


def place_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RegistryClient, "end_reservation", lambda self, registry, end: None)


def attempt_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempt, "abandon", lambda self, reason: None)


def bytes_unsent(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HttpServer, "_close_connections", lambda self: False)


def promised_after_sending(patch: pytest.MonkeyPatch) -> None:
    take = RequestAttempts._take

    def forgetful(self: RequestAttempts, outcome: AttemptOutcome) -> Response | None:
        answer = take(self, outcome)
        self.may_have_executed = False
        return answer

    patch.setattr(RequestAttempts, "_take", forgetful)


def taken_to_the_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DrainPlan, "may_begin", lambda *_: True)
    patch.setattr(DrainPlan, "may_take", lambda *_: True)


@pytest.mark.parametrize(
    ("plant", "seed"),
    [
        (deaf_in(Phase.TENANT_QUEUE), 2),
        (deaf_in(Phase.PLACEMENT), 21),
        (deaf_in(Phase.BACKEND), 8),
        (fin_overlooked, 2),
        (mutating_given_up, 5),
        (place_kept, 1),
        (attempt_kept, 8),
        (bytes_unsent, 12),
        (promised_after_sending, 0),
        (taken_to_the_end, 18),
    ],
    ids=[
        "deaf in the queue",
        "deaf in placement",
        "deaf amid work",
        "FIN",
        "given up",
        "place kept",
        "attempt kept",
        "bytes unsent",
        "promised after sending",
        "taken to the end",
    ],
)
def test_the_judge_finds_what_is_planted(
    plant: Callable[[pytest.MonkeyPatch], None],
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`seed`: the first that does."""
    plant(monkeypatch)
    assert RandomRun(seed).play().breaches != []
