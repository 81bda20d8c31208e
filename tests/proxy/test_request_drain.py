"""SIGTERM: what is taken is finished, what cannot be is promised at once, and nothing is cut."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from irisdeal.proxy.drain_plan import MAX_QUIET_S, DrainPlan
from tests.support.request_world import GRACE_S, Client, RequestWorld

KEPT = 200  # connections
STEP_S = 0.05  # of a drain's looks, and of requests one after the other


def test_nothing_that_was_passed_on_after_a_sigterm_is_cut() -> None:
    world = RequestWorld()

    async def act() -> None:
        works = itertools.cycle((100, 900, 2000))
        for _ in range(12):
            await world.ask(next(works))
        await asyncio.sleep(3.0)
        world.terminate()
        while not world.proxy_machine.dead:
            await world.ask(next(works))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    world.play(act)
    assert world.without_end() == []
    assert world.proxy_machine.died_at is not None


def test_who_was_answered_a_moment_ago_has_a_while_to_read_it() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        world.terminate()
        await asyncio.sleep(MAX_QUIET_S - 0.3)
        client.send(world.request(100, is_mutating=True), deadline_ms=2000)
        assert client.transport is not None
        client.transport.pause_reading()
        await asyncio.sleep(0.5)
        client.transport.write(b"GET /a/y HTTP/1.1\r\n")  # the next one crosses our close
        took.append(await ended(world))
        client.transport.resume_reading()
        await asyncio.sleep(0.1)

    world.play(act)
    assert world.requests[0].status == 200, "its answer was not reset by what crossed it"
    assert took[0] < 1.2


async def ended(world: RequestWorld) -> float:
    """s from now until the proxy has ended."""
    begun = world.now()
    while not world.proxy_machine.dead:
        await asyncio.sleep(0.01)
    return world.now() - begun


def test_what_its_service_can_finish_by_its_answers_of_late_is_taken_early_in_a_drain() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        for _ in range(40):
            assert await world.ask(300)
        await asyncio.sleep(1.0)
        world.terminate()
        for _ in range(40):
            await world.ask(300, deadline_ms=20_000)
            await asyncio.sleep(0.1)
        took.append(await ended(world))
        await asyncio.sleep(1.0)

    world.play(act)
    after = world.requests[40:]
    assert [sent.status for sent in after[:20]] == [200] * 20, "they are over long before the process is"
    assert {sent.status for sent in after[31:]} <= {0, 503}, "nothing says that these are"
    assert world.without_end() == [] and world.broken_promises() == []


def test_without_answers_of_late_only_what_its_own_deadline_bounds_is_taken() -> None:
    world = RequestWorld()

    async def act() -> None:
        world.terminate()
        await asyncio.sleep(0.1)
        await world.ask(300, deadline_ms=20_000)
        await world.ask(300, deadline_ms=4000)
        await asyncio.sleep(1.0)

    world.play(act)
    assert [sent.status for sent in world.requests] == [503, 200]


def test_what_waits_as_the_signal_comes_is_promised_at_once_where_it_cannot_be_finished() -> None:
    world = RequestWorld(has_registry=True)

    async def act() -> None:
        assert world.registry is not None
        world.registry.hold_s = 0.5
        await world.ask(2000, is_mutating=True, deadline_ms=20_000)
        await asyncio.sleep(0.2)
        world.terminate()
        await asyncio.sleep(1.0)

    world.play(act)
    sent = world.requests[0]
    assert sent.status == 503 and not world.runs_of(sent)
    assert sent.answered_at is not None and sent.answered_at - sent.at < 0.6
    assert world.registry is not None and not world.registry.open, "its place is given back"


def test_kept_connections_are_closed_by_their_answers_and_the_rest_at_the_end_without_a_reset() -> None:
    world, took = RequestWorld(), []
    clients: list[Client] = []

    async def act() -> None:
        for _ in range(KEPT):
            client = await world.connect()
            assert client is not None
            client.send(world.request(10))
            clients.append(client)
        await asyncio.sleep(1.0)
        world.terminate()
        for client in clients[:50]:
            client.send(world.request(10))
        took.append(await ended(world))

    world.play(act)
    assert all(sent.status == 200 for sent in world.requests)
    assert all(client.is_told_to_close for client in clients[:50])
    assert all(client.transport is None for client in clients)
    assert took[0] < MAX_QUIET_S + 4 * STEP_S, "it waits for nobody who is idle"


def test_idle_clients_that_do_not_close_their_end_are_not_waited_for() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        for _ in range(KEPT):
            client = await world.connect()
            assert client is not None
            client.keeps_open = True
            client.send(world.request(10))
        await asyncio.sleep(1.0)
        world.terminate()
        took.append(await ended(world))

    world.play(act)
    assert took[0] < MAX_QUIET_S + 4 * STEP_S


def test_who_closes_his_kept_connections_is_not_waited_for() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        client.send(world.request(10))
        await asyncio.sleep(0.5)
        world.terminate()
        took.append(await ended(world))

    world.play(act)
    assert took[0] < MAX_QUIET_S + 4 * STEP_S


def test_a_request_that_is_half_read_at_the_end_is_promised() -> None:
    world = RequestWorld()

    async def act() -> None:
        client = await world.connect()
        assert client is not None
        await asyncio.sleep(0.5)
        world.terminate()
        await asyncio.sleep(MAX_QUIET_S - 0.5)
        client.send(world.request(100), slice(0, 60))
        await asyncio.sleep(3.0)

    world.play(act)
    assert world.requests[0].status == 503 and not world.runs
    assert world.proxy_machine.dead


def test_an_answer_that_a_slow_reader_takes_late_is_out_before_the_process_ends() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        asked = await world.ask(100, answer_bytes=2_000_000)
        assert asked is not None and asked[0].transport is not None
        asked[0].transport.pause_reading()
        await asyncio.sleep(0.5)
        world.terminate()
        await asyncio.sleep(GRACE_S - 1.0)
        asked[0].transport.resume_reading()
        took.append(await ended(world))

    world.play(act)
    assert world.requests[0].status == 200 and took[0] < 0.5


def test_a_client_that_takes_nothing_does_not_hold_the_process_beyond_its_grace() -> None:
    world, took = RequestWorld(), []

    async def act() -> None:
        asked = await world.ask(100, answer_bytes=2_000_000)
        assert asked is not None and asked[0].transport is not None
        asked[0].transport.pause_reading()
        await asyncio.sleep(0.5)
        world.terminate()
        took.append(await ended(world))

    world.play(act)
    assert GRACE_S - 0.6 < took[0] < GRACE_S


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 6.0, 30.0])
def test_a_plan_keeps_to_its_grace_and_promises_what_it_cannot_know(grace_s: float) -> None:
    plan = DrainPlan(100.0, grace_s)
    assert 100.0 < plan.quiet_until < plan.last_call_at < plan.ends_at < 100.0 + grace_s
    for step in range(100):
        now = 100.0 + grace_s * step / 100
        assert plan.may_begin(now, plan.ends_at, 0.0), "its own deadline is first"
        assert not plan.may_begin(now, plan.ends_at + 0.001, 0.0)
        slowest_s = grace_s / 10
        if plan.may_begin(now, now + 60.0, slowest_s):
            assert now + slowest_s <= 100.0 + 5 / 6 * grace_s, "over before the last sixth"
        assert not plan.may_take(plan.quiet_until + 0.001, plan.ends_at, slowest_s)
    assert plan.may_begin(100.0, 160.0, grace_s / 10)
