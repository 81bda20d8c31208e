"""Cancellation of calls whose caller has gone, and the drain of an RPC server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from returns.result import Failure, Success

from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import PlacementRequest, PlacementResult
from irisdeal.registry.placement_service import PlacementService
from irisdeal.rpc.calls import CALLS, ends_with_caller
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.server import RpcServer
from irisdeal.simulation.machine import Machine
from tests.support.call_rig import CallRig

HANDLING_S = 1.0  # duration of each call
ROUND_TRIPS_S = 0.01  # a few round trips


class SlowServer:
    """A server whose calls take `HANDLING_S`; it records how and when each of them ended."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.ended: list[tuple[str, str, float]] = []
        self.server: RpcServer | None = None

    def make(self) -> RpcServer:
        self.server = RpcServer(self.handle)
        return self.server

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        self.started.append(kind)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(HANDLING_S)
        except asyncio.CancelledError:
            self.ended.append((kind, "cancelled", loop.time()))
            raise
        self.ended.append((kind, "done", loop.time()))
        return body

    def outcomes(self) -> dict[str, str]:
        return {kind: outcomes for kind, outcomes, _ in self.ended}


KINDS = ("wait", "news", "watch", "put", "told", "read")
CALLER_BOUND = {"wait", "news", "watch"}


def test_the_calls_that_end_with_their_caller() -> None:
    assert {kind for kind in CALLS if ends_with_caller(kind)} == CALLER_BOUND
    assert not ends_with_caller("no such call")


def after_caller_is_gone(
    rig: CallRig, act: Callable[[RpcClient, list[asyncio.Task[Any]]], None]
) -> tuple[SlowServer, float]:
    """Make calls of each kind, end their caller with `act` after 0.2 s; return the server and that time."""
    answering = SlowServer()
    rig.serve(answering.make)

    async def scenario() -> float:
        client = rig.client()
        tasks = [asyncio.ensure_future(client.call(kind, None, 5.0)) for kind in KINDS]
        await asyncio.sleep(0.2)
        assert sorted(answering.started) == sorted(KINDS)
        at = asyncio.get_running_loop().time()
        act(client, tasks)
        await asyncio.sleep(2.0)
        return at

    return answering, rig.play(scenario())


def cancel_all(client: RpcClient, tasks: list[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()


def close(client: RpcClient, tasks: list[asyncio.Task[Any]]) -> None:
    client.close()


@pytest.mark.parametrize("act", [cancel_all, close], ids=["cancelled", "connection ended"])
def test_caller_bound_calls_are_cancelled_with_their_caller_and_others_complete(
    act: Callable[[RpcClient, list[asyncio.Task[Any]]], None],
) -> None:
    answering, at = after_caller_is_gone(CallRig(), act)
    assert answering.outcomes() == {kind: "cancelled" if kind in CALLER_BOUND else "done" for kind in KINDS}
    assert all(ended - at < ROUND_TRIPS_S for kind, _, ended in answering.ended if kind in CALLER_BOUND)


def test_caller_bound_calls_of_a_process_that_dies_are_cancelled() -> None:
    rig, answering = CallRig(), SlowServer()
    rig.serve(answering.make)
    other = Machine(rig.world, rig.net, "caller", rig.caller.core, rig.caller.costs)

    async def asks() -> int:
        client = rig.client()
        await asyncio.gather(*(client.call(kind, None, 5.0) for kind in KINDS))
        return 0

    other.start(asks())

    async def scenario() -> None:
        await asyncio.sleep(0.2)
        other.kill()
        await asyncio.sleep(2.0)

    rig.play(scenario())
    assert answering.outcomes() == {kind: "cancelled" if kind in CALLER_BOUND else "done" for kind in KINDS}


def test_an_answer_received_as_its_caller_is_cancelled_counts_as_late() -> None:
    """What it granted must be returned, such as the slot of a request whose client disconnects at that
    moment.
    """
    rig, answering = CallRig(), SlowServer()
    rig.serve(answering.make)

    async def scenario() -> None:
        client = rig.client()
        for step in range(40):
            task = asyncio.ensure_future(client.call("wait", [step, "i-1", 1.0], 5.0))
            await asyncio.sleep(HANDLING_S + 0.0001 * step)
            if not task.done():
                task.cancel()
            await asyncio.sleep(0.05)
            got = 0 if task.cancelled() else 1
            late = sum(body[0] == step for _, body in rig.late)
            finished = answering.ended[-1][1] == "done"
            assert got + late == finished, f"step {step}: an answer was lost or delivered twice"

    rig.play(scenario(), 100.0)
    assert rig.late, "no answer arrived at the moment of a cancellation"


def test_a_cancelled_call_is_answered_and_forgotten() -> None:
    """The server answers a cancelled call, so the client does not keep it as abandoned."""
    rig, answering = CallRig(), SlowServer()
    rig.serve(answering.make)

    async def scenario() -> int:
        client = rig.client()
        for _ in range(5):
            task = asyncio.ensure_future(client.call("news", None, 5.0))
            await asyncio.sleep(0.1)
            task.cancel()
        await asyncio.sleep(0.1)
        assert client.connection is not None
        return len(client.connection.abandoned)

    assert rig.play(scenario()) == 0


# Drains


def test_a_drain_completes_calls_at_work_cancels_caller_bound_ones_and_begins_none() -> None:
    rig, answering = CallRig(), SlowServer()
    rig.serve(answering.make)

    async def scenario() -> tuple[dict[str, Any], Any, int]:
        client = rig.client()
        tasks = {kind: asyncio.ensure_future(client.call(kind, kind, 5.0)) for kind in KINDS}
        await asyncio.sleep(0.2)
        assert answering.server is not None
        server, loop = answering.server, rig.host
        drained: list[int] = []

        async def drain() -> None:
            server.begin_drain(frozenset({"told"}))
            await asyncio.sleep(0.3)
            drained.append(await server.drain(loop.time() + 3.0))

        loop.call_soon(lambda: server.tasks.start(drain()))
        await asyncio.sleep(0.1)
        refused = await client.call("put", None, 1.0)
        tasks["told again"] = asyncio.ensure_future(client.call("told", "told again", 5.0))
        await asyncio.wait(tasks.values())
        await asyncio.sleep(0.5)
        assert client.connection is not None and not client.connection.is_open, (
            "the connection must be closed after the last answer"
        )
        return {kind: task.result() for kind, task in tasks.items()}, refused, drained[0]

    ended, refused, cut = rig.play(scenario())
    for kind in KINDS:
        assert isinstance(ended[kind], Failure if kind in CALLER_BOUND else Success), kind
    assert isinstance(refused, Failure) and isinstance(ended["told again"], Success)
    assert cut == 0


def test_a_drain_ends_by_its_deadline_and_returns_the_unanswered_calls() -> None:
    rig, answering = CallRig(), SlowServer()
    rig.serve(answering.make)

    async def scenario() -> tuple[Any, int, float]:
        client = rig.client()
        task = asyncio.ensure_future(client.call("put", None, 5.0))
        await asyncio.sleep(0.2)
        assert answering.server is not None
        server, loop = answering.server, rig.host
        started, cut = loop.time(), []

        async def drain() -> None:
            cut.append((await server.drain(loop.time() + 0.3), loop.time() - started))

        loop.call_soon(lambda: loop.create_task(drain()))
        return await task, *(await until(cut))

    answer, cut, took = rig.play(scenario())
    assert isinstance(answer, Failure) and cut == 1 and took < 0.4


async def until(results: list[Any]) -> Any:
    while not results:
        await asyncio.sleep(0.01)
    return results[0]


# The queue for slots


def test_a_cancelled_waiter_leaves_the_queue_and_passes_its_turn_on() -> None:
    async def main() -> tuple[list[str], int]:
        loop = asyncio.get_running_loop()
        registry = BackendTable(1.5)
        registry.observe(
            BackendIncarnation("i-1", "s", "a:1", "z", 1, BackendState.READY, 1, 0.0), loop.time()
        )
        places = PlacementService({"z": "r"}, registry, loop)
        ask = PlacementRequest("z", "s", 0.1, [], 0, 1.5, 2.0)
        taken = places.reserve("proxy 1#1", ask)
        assert taken is not None and taken.result is PlacementResult.PLACED
        served: list[str] = []

        async def wait(name: str) -> None:
            reply = await places.reserve_when_free("proxy 1#1", ask)
            if reply.result is PlacementResult.PLACED:
                served.append(name)

        waiting = [asyncio.ensure_future(wait(name)) for name in ("first", "second", "third")]
        await asyncio.sleep(0)
        waiting[1].cancel()
        await asyncio.sleep(0)
        places.disconnect("proxy 1#1")  # frees the slot and notifies the first waiter
        waiting[0].cancel()  # before the first waiter has run
        await asyncio.wait(waiting, timeout=0.5)
        left = len(places.placer.waiting)
        return served, left

    served, left = asyncio.run(main())
    assert served == ["third"] and left == 0
