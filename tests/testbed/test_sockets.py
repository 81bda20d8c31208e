"""Tests of the testbed's services on real sockets with their faults, and of whole days with link faults."""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress
from typing import cast

import pytest
import uvloop

from irisdeal.testbed.audit import Rule
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_proxy import Condition, Relay
from irisdeal.testbed.http import ClientConnection
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import Clock, End, EndpointNotice, RequestLog
from irisdeal.testbed.scenario import CounterSpec, DiscoverySpec
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.workload import draw
from tests.support.fake_peers import ask, read_message, socket_test
from tests.support.front_door_rig import SMALL, run_on_sockets

ONE = range(1)


async def opened(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", port)


async def gone(reader: asyncio.StreamReader) -> bool:
    with suppress(ConnectionError):
        return await reader.read() == b""
    return True


# The counter service


@socket_test
async def test_the_counter_service_answers_in_order() -> None:
    counter = CounterServer(CounterSpec(), Clock(), 1)
    await counter.start(ONE)
    reader, writer = await opened(counter.ports[0])
    writer.write(b"tally a 2 4000\r\nping\r\ntally a -0.5 4000\r\nno call\r\n")
    lines = [await reader.readline() for _ in range(4)]
    assert lines == [b"ok 2\r\n", b"pong\r\n", b"ok 1.5\r\n", b"error\r\n"]
    counter.spoil = 1.0
    writer.write(b"tally a 1 4000\r\n")
    assert not (await reader.readline()).split()[1].isdigit()
    assert counter.model.counts["a"][0] == 2.5
    counter.close()
    assert await gone(reader)


@socket_test
async def test_an_amount_is_added_even_if_the_caller_disconnects() -> None:
    counter = CounterServer(CounterSpec(call_ms=40), Clock(), 1)
    await counter.start(ONE)
    _, writer = await opened(counter.ports[0])
    writer.write(b"tally a 2 4000\r\n")
    while not counter.calls:
        await asyncio.sleep(0)
    writer.transport.abort()
    while not counter.late_answers:
        await asyncio.sleep(0.001)
    assert counter.model.counts["a"][0] == 2.0
    counter.close()


@socket_test
async def test_the_counter_service_refuses_connections_restarts_and_moves() -> None:
    counter = CounterServer(CounterSpec(), Clock(), 1)
    await counter.start(ONE)
    port = counter.ports[0]
    for empty, total in ((False, b"ok 2\r\n"), (True, b"ok 1\r\n")):
        reader, writer = await opened(port)
        writer.write(b"tally a 1 4000\r\n")
        await reader.readline()
        counter.refuse()
        assert await gone(reader)
        with pytest.raises(ConnectionError):
            await opened(port)
        await counter.restart(ONE, empty)
        reader, writer = await opened(port)
        writer.write(b"tally a 1 4000\r\n")
        assert await reader.readline() == total
    await counter.move(ONE, close_delay=0.0)
    assert counter.ports[0] != port and await gone(reader)
    counter.close()


@socket_test
async def test_the_counter_service_accepts_32_connections_of_a_front_door() -> None:
    counter = CounterServer(CounterSpec(), Clock(), 1)
    await counter.start(ONE)
    lines = [await opened(counter.ports[0]) for _ in range(33)]
    assert await gone(lines[32][0])
    lines[0][1].write(b"ping\r\n")
    assert await lines[0][0].readline() == b"pong\r\n"
    counter.close()


@socket_test
async def test_a_silent_counter_service_answers_nothing_and_adds_nothing() -> None:
    counter = CounterServer(CounterSpec(), Clock(), 1)
    await counter.start(ONE)
    reader, writer = await opened(counter.ports[0])
    counter.unresponsive = True
    writer.write(b"tally a 1 4000\r\nping\r\n")
    while not counter.unanswered:
        await asyncio.sleep(0)
    counter.unresponsive = False
    writer.write(b"tally b 1 4000\r\n")
    assert await reader.readline() == b"ok 1\r\n" and set(counter.model.counts) == {"b"}
    counter.close()


@socket_test
async def test_a_split_counter_service_counts_for_each_side_and_keeps_one_sides_counts() -> None:
    counter = CounterServer(CounterSpec(), Clock(), 1)
    await counter.start(range(2))
    lines = [await opened(counter.ports[front_door]) for front_door in range(2)]

    async def add(front_door: int) -> float:
        reader, writer = lines[front_door]
        writer.write(b"tally a 1 60000\r\n")
        return float((await reader.readline()).split()[1])

    assert [await add(0), await add(1)] == [1.0, 2.0]
    counter.split([0], [1])
    assert [await add(0), await add(0), await add(1)] == [3.0, 4.0, 3.0]
    counter.heal()
    assert await add(1) == 5.0  # amounts of the second side are lost
    counter.split([0], [1])
    assert [await add(0), await add(1)] == [6.0, 6.0]
    assert await add(1) == 7.0
    counter.heal(front_door=1)
    assert await add(0) == 8.0
    counter.close()


# The discovery service


def member(backend: str, phase: str = "Ready") -> Endpoint:
    return Endpoint(backend, "hall-a", "std", 0, phase, 0, (9000,))


async def get(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    query: str = "",
) -> dict[str, object]:
    writer.write(f"GET /catalog/members{query} HTTP/1.1\r\nHost: agent\r\n\r\n".encode())
    line, _, body = await read_message(reader)
    assert " 200 " in line
    update: dict[str, object] = json.loads(body)
    return update


@socket_test
async def test_a_watch_is_answered_when_its_agent_receives_a_change() -> None:
    request_log = RequestLog()
    discovery = DiscoveryServer(DiscoverySpec(notice_s=0.0, spread_ms=0), request_log, Clock(), 1)
    discovery.endpoints.change(member("s1"))
    await discovery.start(ONE)
    reader, writer = await opened(discovery.ports[0])
    complete = await get(reader, writer)
    assert complete["complete"] is True
    watch = asyncio.ensure_future(get(reader, writer, f"?index={complete['revision']}&wait=20000"))
    while not discovery.agents[0].watches:
        await asyncio.sleep(0)
    discovery.change(member("s1", "Terminating"))
    update = await watch
    assert update["complete"] is False
    assert update["members"][0]["phase"] == "Terminating"  # type: ignore[index]
    assert [(t.backend, t.phase) for t in request_log.endpoint_notices] == [
        ("s1", "Ready"),
        ("s1", "Terminating"),
    ]
    empty = await get(reader, writer, f"?index={update['revision']}&wait=1")
    assert empty["members"] == []
    discovery.close()


@socket_test
async def test_the_next_push_includes_a_lost_one_and_a_complete_list_shows_removals() -> None:
    request_log = RequestLog()
    discovery = DiscoveryServer(DiscoverySpec(notice_s=0.0, spread_ms=0), request_log, Clock(), 1)
    discovery.endpoints.change(member("s1"), member("s2"))
    await discovery.start(ONE)
    reader, writer = await opened(discovery.ports[0])
    complete = await get(reader, writer)
    discovery.push_loss_ratio = 1.0
    discovery.change(member("s1", "Gone"))
    await asyncio.sleep(0)
    assert (await get(reader, writer, f"?index={complete['revision']}&wait=0"))["members"] == []
    discovery.push_loss_ratio = 0.0
    discovery.change(member("s3"))
    while discovery.endpoints.agent_revisions[0] < discovery.endpoints.revision:
        await asyncio.sleep(0)
    await get(reader, writer)
    assert (
        EndpointNotice(0, request_log.endpoint_notices[-3].at, "s1", "Gone", 0)
        in request_log.endpoint_notices
    )
    discovery.close()


@socket_test
async def test_an_unresponsive_discovery_service_does_not_answer_and_can_move() -> None:
    discovery = DiscoveryServer(DiscoverySpec(notice_s=0.0, spread_ms=0), RequestLog(), Clock(), 1)
    await discovery.start(ONE)
    port = discovery.ports[0]
    reader, writer = await opened(port)
    discovery.set_unresponsive(True)
    writer.write(b"GET /catalog/members HTTP/1.1\r\nHost: agent\r\n\r\n")
    while not any(c.busy for c in discovery.agents[0].connections):
        await asyncio.sleep(0)
    discovery.set_unresponsive(False)
    assert await gone(reader)  # the call is never answered
    await discovery.move(ONE)
    assert discovery.ports[0] != port
    with pytest.raises(ConnectionError):
        await opened(port)
    discovery.close()


# The relay


class Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


async def echoing(relay: Relay, source: str = "door", target: str = "hall") -> tuple[int, asyncio.Server]:
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    _, port = await relay.add(source, target, ("127.0.0.1", int(server.sockets[0].getsockname()[1])))
    return port, server


@socket_test
async def test_a_stalled_link_withholds_bytes_and_forwards_them_later() -> None:
    relay = Relay(Clock(), [])
    port, server = await echoing(relay)
    reader, writer = await opened(port)
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    relay.set(["hall"], Condition(stalled=True))
    writer.write(b"two")
    while not any(side.pending for side in relay.links[0].sides):
        await asyncio.sleep(0)
    _, late = await opened(port)  # a stalled link still accepts connections
    relay.heal()
    assert await reader.readexactly(3) == b"two"
    late.close()
    relay.close()
    server.close()


@socket_test
async def test_a_link_stalled_in_one_direction_forwards_the_other() -> None:
    relay = Relay(Clock(), [])
    port, server = await echoing(relay)
    reader, writer = await opened(port)
    relay.set(["door"], Condition(stalled=True, direction="back"), "hall")
    writer.write(b"heard")
    while not any(side.pending and not side.source for side in relay.links[0].sides):
        await asyncio.sleep(0)  # the echo has arrived, so the request was forwarded
    relay.set(["door"], Condition(stalled=True, direction="out"), "hall")
    assert await reader.readexactly(5) == b"heard"
    writer.write(b"mute")
    while not any(side.pending and side.source for side in relay.links[0].sides):
        await asyncio.sleep(0)
    relay.heal()
    assert await reader.readexactly(4) == b"mute"
    relay.close()
    server.close()


@socket_test
async def test_a_link_fault_to_one_target_does_not_affect_others() -> None:
    relay = Relay(Clock(), [])
    (_, first), (port, second) = await echoing(relay, "door", "keeper"), await echoing(relay, "door", "hall")
    _, third = await echoing(relay, "other", "keeper")
    relay.set(["door"], Condition(partitioned=True), "keeper")
    assert [link.condition.partitioned for link in relay.links] == [True, False, False]
    reader, writer = await opened(port)
    writer.write(b"x")
    assert await reader.readexactly(1) == b"x"
    relay.reset(["door"], "keeper")
    writer.write(b"y")
    assert await reader.readexactly(1) == b"y"
    relay.close()
    for server in (first, second, third):
        server.close()


@socket_test
async def test_a_partitioned_link_establishes_no_connection_until_it_heals() -> None:
    relay = Relay(Clock(), [])
    port, server = await echoing(relay)
    reader, writer = await opened(port)
    relay.set(["hall"], Condition(partitioned=True))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await opened(port)
    writer.write(b"held")
    relay.heal()
    assert await reader.readexactly(4) == b"held"
    again, to_again = await opened(port)
    to_again.write(b"new")
    assert await again.readexactly(3) == b"new"
    relay.close()
    server.close()


@socket_test
async def test_a_link_resets_delays_and_throttles() -> None:
    relay = Relay(Clock(), [])
    port, server = await echoing(relay)
    loop = asyncio.get_running_loop()
    reader, writer = await opened(port)
    writer.write(b"x")
    await reader.readexactly(1)
    relay.set(["hall"], Condition(delay=0.05))
    start = loop.time()
    writer.write(b"x")
    await reader.readexactly(1)
    assert loop.time() - start >= 0.099
    relay.set(["hall"], Condition(rate=10_000))
    start = loop.time()
    writer.write(b"x" * 1_000)
    await reader.readexactly(1_000)
    assert loop.time() - start >= 0.199  # 0.1 s in each direction
    relay.links[0].reset()
    assert await gone(reader)
    relay.close()
    server.close()


@socket_test
async def test_a_split_partitions_only_links_between_groups() -> None:
    relay = Relay(Clock(), [])
    across, one = await echoing(relay, "door 0", "keeper")
    inside, two = await echoing(relay, "door 1", "keeper")
    relay.split(["door 0"], ["door 1", "keeper"])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await opened(across)
    reader, writer = await opened(inside)
    writer.write(b"x")
    assert await reader.readexactly(1) == b"x"
    relay.close()
    one.close()
    two.close()


@socket_test
async def test_pending_bytes_of_a_stalled_link_are_bounded() -> None:
    relay = Relay(Clock(), [])
    port, server = await echoing(relay)
    _, writer = await opened(port)
    relay.set(["hall"], Condition(stalled=True))
    while not relay.links[0].sides:
        await asyncio.sleep(0)
    for _ in range(64):
        writer.write(b"x" * 262_144)
    for _ in range(2_000):
        await asyncio.sleep(0)
    assert max(side.pending_bytes for side in relay.links[0].sides) < 2_000_000
    writer.transport.abort()
    relay.close()
    server.close()


# A backend


async def platform(text: str = SMALL) -> Platform:
    made = Platform(draw(parse(text), 1))
    await made.start()
    return made


def check(trace: str, kind: str = "check") -> bytes:
    request = ask("file" if kind != "check" else "look", trace, X_Qos=kind, Plan="plain")
    return request


@socket_test
async def test_a_backend_serves_reports_load_and_records_attempts() -> None:
    made = await platform()
    backend = made.backends[0]
    reader, writer = await opened(backend.ports[1])
    writer.write(check("t1"))
    line, headers, body = await read_message(reader)
    assert " 200 " in line and json.loads(body)["id"] == "t1"
    assert headers["endpoint-load-metrics"].startswith("TEXT latency_ms=") and "usage-percent" in headers
    attempt = made.request_log.attempts[0]
    assert (attempt.trace, attempt.front_door, attempt.backend, attempt.end, attempt.body) == (
        "t1",
        1,
        backend.name,
        End.SERVED,
        body,
    )
    assert attempt.first_byte <= attempt.last_byte < attempt.ended
    writer.write(b"GET /x HTTP/1.1\r\nHost: b\r\n\r\n")
    assert " 404 " in (await read_message(reader))[0]
    writer.write(check("t2", "nothing"))
    assert " 400 " in (await read_message(reader))[0]
    made.close()


@socket_test
async def test_one_zone_drops_a_repeat_of_a_key() -> None:
    made = await platform()
    same = [b for b in made.backends if b.machine.zone == made.backends[0].machine.zone]
    other = next(b for b in made.backends if b.machine.zone != made.backends[0].machine.zone)
    repeats = []
    for n, backend in enumerate((same[0], same[1], other)):
        reader, writer = await opened(backend.ports[0])
        writer.write(check(f"t{n}", "claim"))
        repeats.append(json.loads((await read_message(reader))[2])["repeat"])
    assert repeats == [False, True, False]
    made.close()


@socket_test
async def test_a_backend_drains_crashes_and_comes_back_cold() -> None:
    made = await platform()
    backend = made.backends[0]
    reader, writer = await opened(backend.ports[0])
    backend.drain()
    writer.write(check("t1"))
    line, headers, _ = await read_message(reader)
    assert " 503 " in line and headers["x-never-ran"] == "1"
    backend.crash()
    assert await gone(reader)
    with pytest.raises(ConnectionError):
        await opened(backend.ports[0])
    await backend.start(made.front_doors, warming_up=True)
    reader, writer = await opened(backend.ports[0])
    writer.write(check("t2"))
    assert " 200 " in (await read_message(reader))[0]
    assert [a.incarnation for a in made.request_log.attempts] == [0, 1]
    assert made.request_log.incarnations[-1].at > 0
    made.close()


@socket_test
async def test_a_new_backend_at_anothers_old_address_is_itself_in_the_book() -> None:
    made = await platform()
    old = made.backends[0]
    old.crash()
    new = await made.new_backend(warming_up=True, replaced=old)
    assert new.ports == old.ports and new.name != old.name
    assert (new.machine.zone, new.machine.cell) == (old.machine.zone, old.machine.cell)
    reader, writer = await opened(old.ports[0])
    writer.write(check("t1"))
    assert json.loads((await read_message(reader))[2])["box"] == new.name
    assert made.request_log.attempts[0].backend == new.name
    made.close()


@socket_test
async def test_a_hung_backend_answers_after_the_hang() -> None:
    made = await platform()
    backend = made.backends[0]
    backend.set_hung(True)
    reader, writer = await opened(backend.ports[0])
    writer.write(check("t1"))
    while not made.request_log.attempts:
        await asyncio.sleep(0)
    assert made.request_log.attempts[0].end is End.OPEN
    backend.set_hung(False)
    assert " 200 " in (await read_message(reader))[0]
    made.close()


# Whole days


def test_links_that_stall_with_hundreds_of_attempts_in_flight_lose_no_request() -> None:
    """All links stall for the rest of the day once 200 attempts are in flight at slow backends."""
    text = SMALL.replace("work_ms = 12", "work_ms = 700").replace("work_ms = 20", "work_ms = 700")
    text = text.replace("aim_ms = 400", "aim_ms = 2000").replace("aim_ms = 500", "aim_ms = 2000")
    text = text.replace("deadline_ms = 900", "deadline_ms = 2500").replace("retries = 1", "retries = 0")
    text = text.replace("boxes = 6", "boxes = 100").replace("cores = 2", "cores = 4")
    text = text.replace("heavy = 0.5", "heavy = 0").replace("use = 0.25", "use = 0.8")
    text = text.replace("seconds = 3", "seconds = 2")
    # Creates links without a fault.
    text += '[[at]]\nat_s = 2\ndo = "hall-slow"\nhall = "hall-a"\nms = 0\nfor_s = 0\n'
    out = []

    def silence(platform: Platform, _: LoadGenerator) -> None:
        loop = asyncio.get_running_loop()

        def stall_if_busy() -> None:
            count = sum(a.end is End.OPEN for a in platform.request_log.attempts)
            if count >= 200:
                out.append(count)
                assert isinstance(platform.relay, Relay)
                for link in platform.relay.links:
                    link.set(Condition(stalled=True))
            elif not platform.closed:
                loop.call_later(0.02, stall_if_busy)

        loop.call_soon(stall_if_busy)

    run = uvloop.run(run_on_sockets(text, during=silence))
    assert out and out[0] >= 200
    assert [b.text() for b in run.verdict.breaches] == []
    assert all(
        client_attempt.answers for client_attempt in run.request_log.client_attempts if client_attempt.at
    )


def test_a_partitioned_zone_breaks_no_rule() -> None:
    run = uvloop.run(
        run_on_sockets(SMALL + '[[at]]\nat_s = 0.8\ndo = "hall-cut"\nhall = "hall-b"\nfor_s = 1.2\n')
    )
    assert [b.text() for b in run.verdict.breaches] == []
    assert run.verdict.checked[Rule.ANSWERS] > 200
    assert {"hall-b is back"} <= {text for _, text in run.request_log.faults}


def test_a_client_detects_a_closed_connection_before_its_loop_does() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            _, connection = await loop.create_connection(ClientConnection, *listening.getsockname())
            front_door, _ = listening.accept()
            assert not connection.ended()
            front_door.close()
            assert connection.usable() and connection.ended()
            connection.close()

    uvloop.run(run())
