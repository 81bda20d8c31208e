"""After SIGTERM, accepted requests are finished, all others are rejected at once, and no response is cut."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from irisdeal.proxy.drain_plan import MAX_SERVING_S, DrainPlan
from tests.support.request_world import GRACE_S, Client, RequestWorld

CONNECTION_COUNT = 200  # keep-alive connections
STEP_S = 0.05  # polling interval of a drain


def test_no_forwarded_request_is_cut_after_sigterm() -> None:
    world = RequestWorld()

    async def act() -> None:
        works = itertools.cycle((100, 900, 2000))
        for _ in range(12):
            await world.send_request(next(works))
        await asyncio.sleep(3.0)
        world.terminate()
        while not world.proxy_machine.dead:
            await world.send_request(next(works))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    world.play(act)
    assert world.unanswered_requests() == []
    assert world.proxy_machine.died_at is not None


def test_a_late_response_is_not_reset_by_the_next_request_of_its_client() -> None:
    """Bytes of a next request that arrive at a closed socket cause an RST, which would discard the
    response.
    """
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        world.terminate()
        await asyncio.sleep(MAX_SERVING_S - 0.3)
        client.send(world.request(100, is_mutating=True), deadline_ms=2000)
        assert client.transport is not None
        client.transport.pause_reading()
        await asyncio.sleep(0.5)
        client.transport.write(b"GET /a/y HTTP/1.1\r\n")  # sent while the proxy closes the connection
        durations_s.append(await await_termination(world))
        client.transport.resume_reading()
        await asyncio.sleep(0.1)

    world.play(act)
    assert world.requests[0].status == 200, "its response was reset"
    assert durations_s[0] < 1.2


async def await_termination(world: RequestWorld) -> float:
    """Wait until the proxy has terminated; return how long that took, in s."""
    started_at = world.now()
    while not world.proxy_machine.dead:
        await asyncio.sleep(0.01)
    return world.now() - started_at


def test_early_in_a_drain_requests_are_accepted_that_their_service_can_finish_by_its_recent_latency() -> None:
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        for _ in range(40):
            assert await world.send_request(300)
        await asyncio.sleep(1.0)
        world.terminate()
        for _ in range(40):
            await world.send_request(300, deadline_ms=20_000)
            await asyncio.sleep(0.1)
        durations_s.append(await await_termination(world))
        await asyncio.sleep(1.0)

    world.play(act)
    after = world.requests[40:]
    assert [sent.status for sent in after[:20]] == [200] * 20, "they end long before the process does"
    assert {sent.status for sent in after[31:]} <= {0, 503}, "they may not end before the process does"
    assert world.unanswered_requests() == [] and world.violated_guarantees() == []


def test_without_recent_responses_only_requests_with_an_early_deadline_are_accepted() -> None:
    world = RequestWorld()

    async def act() -> None:
        world.terminate()
        await asyncio.sleep(0.1)
        await world.send_request(300, deadline_ms=20_000)
        await world.send_request(300, deadline_ms=4000)
        await asyncio.sleep(1.0)

    world.play(act)
    assert [sent.status for sent in world.requests] == [503, 200]


def test_a_waiting_request_that_cannot_be_finished_is_rejected_soon_after_sigterm() -> None:
    world = RequestWorld(has_registry=True)

    async def act() -> None:
        assert world.registry is not None
        world.registry.hold_s = 0.5
        await world.send_request(2000, is_mutating=True, deadline_ms=20_000)
        await asyncio.sleep(0.2)
        world.terminate()
        await asyncio.sleep(1.0)

    world.play(act)
    sent = world.requests[0]
    assert sent.status == 503 and not world.executions_of(sent)
    assert sent.responded_at is not None and sent.responded_at - sent.sent_at < 0.6
    assert world.registry is not None and not world.registry.reservations, "its reservation is released"


def test_connections_are_closed_with_their_next_response_and_idle_ones_at_the_end_without_a_reset() -> None:
    world, durations_s = RequestWorld(), []
    clients: list[Client] = []

    async def act() -> None:
        for _ in range(CONNECTION_COUNT):
            client = await world.connect()
            assert client is not None
            client.send(world.request(10))
            clients.append(client)
        await asyncio.sleep(1.0)
        world.terminate()
        for client in clients[:50]:
            client.send(world.request(10))
        durations_s.append(await await_termination(world))

    world.play(act)
    assert all(sent.status == 200 for sent in world.requests)
    assert all(client.must_close for client in clients[:50])
    assert all(client.transport is None for client in clients)
    assert durations_s[0] < MAX_SERVING_S + 4 * STEP_S, "it waits for no idle client"


def test_idle_clients_that_do_not_close_their_end_are_not_waited_for() -> None:
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        for _ in range(CONNECTION_COUNT):
            client = await world.connect()
            assert client is not None
            client.keeps_open = True
            client.send(world.request(10))
        await asyncio.sleep(1.0)
        world.terminate()
        durations_s.append(await await_termination(world))

    world.play(act)
    assert durations_s[0] < MAX_SERVING_S + 4 * STEP_S


def test_an_idle_client_that_closes_its_end_is_not_waited_for() -> None:
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        client.send(world.request(10))
        await asyncio.sleep(0.5)
        world.terminate()
        durations_s.append(await await_termination(world))

    world.play(act)
    assert durations_s[0] < MAX_SERVING_S + 4 * STEP_S


def test_a_partly_received_request_is_rejected_at_the_end() -> None:
    world = RequestWorld()

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        await asyncio.sleep(0.5)
        world.terminate()
        await asyncio.sleep(MAX_SERVING_S - 0.5)
        client.send(world.request(100), slice(0, 60))
        await asyncio.sleep(3.0)

    world.play(act)
    assert world.requests[0].status == 503 and not world.executions
    assert world.proxy_machine.dead


def test_a_response_to_a_slow_reader_is_sent_before_the_process_terminates() -> None:
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        asked = await world.send_request(100, response_bytes=2_000_000)
        assert asked is not None and asked[0].transport is not None
        asked[0].transport.pause_reading()
        await asyncio.sleep(0.5)
        world.terminate()
        await asyncio.sleep(GRACE_S - 1.0)
        asked[0].transport.resume_reading()
        durations_s.append(await await_termination(world))

    world.play(act)
    assert world.requests[0].status == 200 and durations_s[0] < 0.5


def test_a_client_that_reads_nothing_does_not_delay_termination_beyond_the_grace_period() -> None:
    world, durations_s = RequestWorld(), []

    async def act() -> None:
        asked = await world.send_request(100, response_bytes=2_000_000)
        assert asked is not None and asked[0].transport is not None
        asked[0].transport.pause_reading()
        await asyncio.sleep(0.5)
        world.terminate()
        durations_s.append(await await_termination(world))

    world.play(act)
    assert GRACE_S - 0.6 < durations_s[0] < GRACE_S


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 6.0, 30.0])
def test_a_plan_stays_within_the_grace_period_and_rejects_requests_of_unknown_latency(grace_s: float) -> None:
    plan = DrainPlan(100.0, grace_s)
    assert 100.0 < plan.serving_until < plan.rejection_at < plan.ends_at < 100.0 + grace_s
    for step in range(100):
        now = 100.0 + grace_s * step / 100
        assert plan.may_start_attempt(now, plan.ends_at, 0.0), "its deadline is early"
        assert not plan.may_start_attempt(now, plan.ends_at + 0.001, 0.0)
        slowest_s = grace_s / 10
        if plan.may_start_attempt(now, now + 60.0, slowest_s):
            assert now + slowest_s <= 100.0 + 5 / 6 * grace_s, (
                "it ends before the last sixth of the grace period"
            )
        assert not plan.may_accept(plan.serving_until + 0.001, plan.ends_at, slowest_s)
    assert plan.may_start_attempt(100.0, 160.0, grace_s / 10)
