"""Streaming of long bodies and slow peers: the limits, the decision module, and a running front door."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import socket
from typing import Any

import pytest

from irisdeal.front_door.decisions.interface import (
    Action,
    AttemptEnded,
    RejectRequest,
    RequestArrived,
    RequestBodyReceived,
    Result,
    StartAttempt,
)
from irisdeal.front_door.streaming.byte_budget import (
    MAX_READ_BYTES,
    MIN_BUFFER_BYTES,
    ByteBudget,
    StreamAllowance,
)
from irisdeal.front_door.streaming.progress import (
    BODY_IDLE_TIMEOUT_S,
    HEAD_TIMEOUT_S,
    MIN_BODY_BYTES_PER_S,
    ReceiveProgress,
)
from tests.front_door.test_operator import OPERATOR, scrape_metrics
from tests.support.decisions_rig import CEILED, MS, SECOND, GatewayHarness, actions_of_type
from tests.support.fake_peers import (
    Peer,
    Running,
    answer,
    ask,
    config,
    member,
    read_message,
    running,
    socket_test,
    whole_list,
)

LONG = 1_000_000

# Limits


def test_all_streams_stay_within_the_budget_and_each_makes_progress() -> None:
    budget, chance = ByteBudget(80 << 20), random.Random(4)
    allowances: dict[StreamAllowance, int] = {}
    for _ in range(4000):
        if chance.random() < 0.4 and budget.can_admit():
            allowances[budget.admit()] = 0
        elif allowances:
            allowance = chance.choice(list(allowances))
            if chance.random() < 0.2:
                del allowances[allowance]
                allowance.release()
                allowance.release()
            else:  # one read if allowed
                allowances[allowance] = held = chance.choice([0, allowances[allowance]])
                if allowance.allows(held):
                    allowances[allowance] += MAX_READ_BYTES
        assert sum(allowances.values()) <= budget.total_bytes
        assert all(allowance.allows(MIN_BUFFER_BYTES) for allowance in allowances)
        assert budget.streams == len(allowances)
    assert budget.max_streams > 100
    for allowance in allowances:
        allowance.release()
    assert (budget.grantable_bytes, budget.streams) == (budget.total_bytes // 2, 0)


def test_one_stream_alone_is_granted_half_of_the_budget() -> None:
    budget = ByteBudget(80 << 20)
    allowance = budget.admit()
    assert allowance.allows(4 << 20) and not allowance.allows(budget.total_bytes)
    assert budget.admit().allows(1 << 20)  # the rest is left for other streams


def test_a_head_has_a_timeout_and_a_body_may_be_slow_but_not_idle() -> None:
    progress = ReceiveProgress(10.0)
    assert not progress.is_too_slow(10.0 + HEAD_TIMEOUT_S) and progress.is_too_slow(10.1 + HEAD_TIMEOUT_S)
    progress.head_complete(12.0)
    now = 12.0
    for _ in range(200):  # 64 kB/s for 100 s
        now += 0.5
        progress.received(32_000, now)
        assert not progress.is_too_slow(now)
    assert not progress.is_too_slow(now + BODY_IDLE_TIMEOUT_S)
    assert progress.is_too_slow(now + BODY_IDLE_TIMEOUT_S + 0.1)
    slow = ReceiveProgress(0.0)
    slow.head_complete(0.0)
    times = [n * 0.1 for n in range(1, 200)]
    for at in times:
        slow.received(int(MIN_BODY_BYTES_PER_S / 40), at)
    assert slow.is_too_slow(times[-1])  # below the minimum rate
    read = ReceiveProgress(0.0)
    read.head_complete(0.0)
    read.received(1000, 0.1)
    read.reading_resumed(60.0)  # reading was paused for 60 s
    assert not read.is_too_slow(60.0 + BODY_IDLE_TIMEOUT_S - 0.2)


# The decision module


def test_the_time_of_a_request_with_a_streamed_body_starts_at_its_last_byte() -> None:
    harness = GatewayHarness()
    [send] = actions_of_type(
        StartAttempt, harness.handle(RequestArrived(1, 7, 0, 0, SECOND, 1.0, 0, 1, is_uploading=True))
    )
    for _ in range(50):  # 10 s: no timeout, no second attempt, no failure of the server
        harness.now += 200 * MS
        assert not any(isinstance(action, RejectRequest | StartAttempt) for action in harness.handle())
    assert not harness.gateway.servers[send.server_id].failure_rates[None]
    harness.handle(RequestBodyReceived(1, SECOND))
    seen = list[Action]()
    for _ in range(12):
        harness.now += 100 * MS
        seen += harness.handle()
    assert {type(a) for a in seen} >= {
        StartAttempt,
        RejectRequest,
    }  # a second attempt, and finally the rejection


def test_a_request_that_cannot_be_sent_during_its_upload_is_rejected_in_time() -> None:
    harness = GatewayHarness(servers=0)
    harness.handle(RequestArrived(1, 7, 0, 0, SECOND, 1.0, 0, 1, is_uploading=True))
    seen = list[Action]()
    for _ in range(10):
        harness.now += 100 * MS
        seen += harness.handle()
    assert [a.request_id for a in actions_of_type(RejectRequest, seen)] == [1]


@pytest.mark.parametrize("seed", range(8))
def test_units_counted_at_the_last_byte_stay_within_the_ceiling(seed: int) -> None:
    """Uploads of 4 s all end at once, when the token bucket is full and short requests flood in."""
    chance, harness = random.Random(seed), GatewayHarness(seed=seed, has_counter=False)
    plan = harness.settings.plans[CEILED]
    counted: list[int] = []
    due: list[tuple[int, bytes]] = []
    start = harness.now
    quiet, burst, end = start + 4 * SECOND, start + 10 * SECOND, start + 14 * SECOND
    while harness.now < end:
        harness.now += 20 * MS
        if harness.now >= burst and due:
            for late, server in due:
                counted.append(harness.now)
                harness.handle(RequestBodyReceived(late, SECOND))
                harness.handle(AttemptEnded(late, 0, server, Result.OK, 3 * MS, True))
            due = []
        if quiet <= harness.now < burst or chance.random() < 0.2:
            harness.handle()
            continue
        number, harness.next_request_id = harness.next_request_id, harness.next_request_id + 1
        long = harness.now < quiet
        actions = harness.handle(RequestArrived(number, 5, CEILED, 0, SECOND, 1.0, 0, 2, is_uploading=long))
        for action in actions_of_type(StartAttempt, actions):
            if long:
                due.append((action.request_id, action.server_id))
            else:
                counted.append(harness.now)
                harness.handle(AttemptEnded(action.request_id, 0, action.server_id, Result.OK, 3 * MS, True))
    assert len(counted) > 15
    rate, most = plan.ceiling_rate_per_s / 2, plan.ceiling_depth / 2
    for first in counted:
        for length in (SECOND // 10, SECOND, 4 * SECOND):
            passed = sum(first <= at <= first + length for at in counted)
            assert passed <= most + rate * length / SECOND + 1.0


# A running front door


def body_of(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one response in any framing."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    if "content-length" in headers:
        return head[0], headers, await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return head[0], headers, await reader.read()
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return head[0], headers, b"".join(parts)


def chunks(data: bytes, sizes: random.Random, most: int) -> bytes:
    made, at = [], 0
    while at < len(data):
        part = data[at : at + sizes.randint(1, most)]
        at += len(part)
        made.append(b"%x;note=%d\r\n%b\r\n" % (len(part), at, part))
    return b"".join([*made, b"0\r\nX-Never-Ran: 1\r\n\r\n"])


def framed(data: bytes, how: str) -> bytes:
    if how == "length":
        return answer(200, data)
    if how == "close":
        return b"HTTP/1.1 200 OK\r\n\r\n" + data
    if how == "old":
        return b"HTTP/1.0 200 OK\r\n\r\n" + data
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(data, random.Random(3), 70_000)


async def in_pieces(writer: asyncio.StreamWriter, data: bytes, seed: int, most: int) -> None:
    sizes, at = random.Random(seed), 0
    while at < len(data):
        size = sizes.randint(1, most)
        writer.write(data[at : at + size])
        at += size
        await writer.drain()
        await asyncio.sleep(0)


def one_backend(port: int) -> dict[str, Any]:
    return {"operator": OPERATOR, "known": whole_list(member("s-1", port))}


@pytest.mark.parametrize("how", ["length", "close", "old", "chunked"])
@pytest.mark.parametrize(("size", "most"), [(100, 7), (60_000, 9_000), (LONG, 50_000), (LONG, LONG)])
def test_responses_of_any_framing_and_size_are_forwarded(how: str, size: int, most: int) -> None:
    @socket_test
    async def run() -> None:
        data = body_of(size)
        async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
            reader, writer = await front_door.client()
            for trace in ("a1", "a2"):
                writer.write(ask(trace=trace))
                from_front_door, to_front_door = await backend.connection()
                await read_message(from_front_door)
                sending = asyncio.create_task(in_pieces(to_front_door, framed(data, how), size, most))
                sending.add_done_callback(lambda _, peer=to_front_door: peer.close())  # type: ignore[misc]
                line, headers, got = await read_answer(reader)
                assert line == "HTTP/1.1 200 OK" and got == data
                assert ("content-length" in headers) is (how == "length" or size <= 65_536)
                await sending
            metrics = await scrape_metrics(front_door)
            assert metrics['edge_completed_total{lane="look"}'] == 2 and metrics["edge_pending"] == 0
            assert (
                front_door.program.clients.budget is not None
                and front_door.program.clients.budget.streams == 0
            )
            assert (
                front_door.program.decision_loop.unanswered_count == 0
                and not front_door.program.decision_loop.requests
            )

    run()


def upload(data: bytes, form: str, trace: str = "u1") -> bytes:
    if form == "length":
        return ask("file", trace, Content_Length=str(len(data))) + data
    head = ask("file", trace, Content_Length=None, Transfer_Encoding="chunked")
    return head + chunks(data, random.Random(5), 60_000)


async def read_upload(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    _, headers, data = await read_answer(reader)  # requests have the same framing
    return headers, data


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize(("size", "most"), [(100_000, 9_000), (LONG, 50_000), (2 * LONG, LONG)])
def test_request_bodies_of_any_framing_and_size_are_forwarded(form: str, size: int, most: int) -> None:
    @socket_test
    async def run() -> None:
        data = body_of(size)
        async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
            reader, writer = await front_door.client()
            sending = asyncio.create_task(in_pieces(writer, upload(data, form), size, most))
            from_front_door, to_front_door = await backend.connection()
            headers, got = await read_upload(from_front_door)
            assert (headers["x-trace-id"], got) == ("u1", data)
            assert (await scrape_metrics(front_door))["edge_upstream_requests_total"] == 1
            to_front_door.write(answer(200, b"filed"))
            assert (await read_message(reader))[2] == b"filed"
            await sending
            writer.write(ask(trace="a2"))  # the connection can be reused
            from_front_door, to_front_door = (
                await backend.connection() if to_front_door.is_closing() else (from_front_door, to_front_door)
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    await read_message(from_front_door)
            assert (
                front_door.program.clients.budget is not None
                and front_door.program.clients.budget.streams == 0
            )

    run()


@socket_test
async def test_reading_from_the_backend_stops_while_the_client_does_not_read() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(ask())
        from_front_door, to_front_door = await backend.connection()
        await read_message(from_front_door)
        data = body_of(24 * LONG)
        sending = asyncio.create_task(in_pieces(to_front_door, answer(200, data), 3, LONG))
        client = None
        while client is None or not client.write_paused:
            await asyncio.sleep(0.005)
            client = next(iter(front_door.program.clients.connections))
        await asyncio.sleep(0.1)
        assert client.transport is not None
        budget = front_door.program.clients.budget
        assert budget is not None
        assert (
            client.transport.get_write_buffer_size()
            <= MIN_BUFFER_BYTES + budget.total_bytes // 4 + 2 * MAX_READ_BYTES
        )
        assert not sending.done()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert hashlib.sha256((await read_answer(reader))[2]).digest() == hashlib.sha256(data).digest()
        await sending


@socket_test
async def test_the_client_sees_that_an_aborted_response_is_incomplete() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        for how in ("length", "chunked"):
            reader, writer = await front_door.client()
            writer.write(ask(trace=how))
            from_front_door, to_front_door = await backend.connection()
            await read_message(from_front_door)
            to_front_door.write(framed(body_of(LONG), how)[: LONG // 2])
            await reader.readuntil(b"\r\n\r\n")
            to_front_door.transport.abort()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await reader.readexactly(LONG)
            assert backend.accepted.empty()  # no further attempt
        metrics = await scrape_metrics(front_door)
        assert metrics['edge_failed_total{lane="look"}'] == 2 and metrics["edge_pending"] == 0


@socket_test
async def test_a_streamed_response_ends_when_its_client_disconnects() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask())
        from_front_door, to_front_door = await backend.connection()
        await read_message(from_front_door)
        to_front_door.write(answer(200, body_of(LONG))[: LONG // 2])
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()
        with contextlib.suppress(ConnectionResetError):
            await from_front_door.read()
        while front_door.program.decision_loop.requests:
            await asyncio.sleep(0)
        assert (
            front_door.program.decision_loop.unanswered_count == 0
            and (await scrape_metrics(front_door))["edge_pending"] == 0
        )


@socket_test
async def test_an_upload_whose_client_disconnects_is_not_completed() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        _, writer = await front_door.client()
        writer.write(upload(body_of(LONG), "length")[: LONG // 2])
        from_front_door, _ = await backend.connection()
        await from_front_door.readuntil(b"\r\n\r\n")
        writer.transport.abort()
        with contextlib.suppress(ConnectionResetError):
            await from_front_door.read()
        metrics = await scrape_metrics(front_door)
        assert metrics["edge_upstream_requests_total"] == 0 and metrics["edge_pending"] == 0


@socket_test
async def test_a_consumed_body_is_not_sent_again_and_its_client_gets_a_rejection() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.write(upload(body_of(LONG), "length")[: LONG // 2])
        from_front_door, to_front_door = await backend.connection()
        await from_front_door.readexactly(LONG // 3)
        to_front_door.transport.abort()
        line, headers, _ = await read_message(reader)
        assert line.split()[1] in ("429", "503") and headers["connection"] == "close"  # not executed
        writer.write(b"x" * 1000)
        assert backend.accepted.empty()


@socket_test
async def test_a_rejected_upload_is_answered_at_once() -> None:
    async with running(operator=OPERATOR, known=whole_list()) as front_door:
        reader, writer = await front_door.client()
        writer.write(upload(body_of(LONG), "length")[:300_000])
        line, headers, _ = await read_message(reader)
        assert line.split()[1] in ("429", "503") and headers["connection"] == "close"


@socket_test
async def test_pipelined_streamed_responses_keep_their_order() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask(trace="a1"))
        first, to_first = await backend.connection()
        await read_message(first)
        writer.write(ask(trace="a2"))
        second, to_second = await backend.connection()
        await read_message(second)
        two = body_of(LONG, 2)
        sending = asyncio.create_task(in_pieces(to_second, answer(200, two), 3, LONG))
        await asyncio.sleep(0.05)
        to_first.write(answer(200, b"one"))
        assert (await read_answer(reader))[2] == b"one"
        assert (await read_answer(reader))[2] == two
        await sending


@socket_test
async def test_whitespace_around_field_values_is_removed() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask().replace(b"X-Qos: look\r", b"X-Qos:look \t\r").replace(b"basic\r", b"basic \r"))
        from_front_door, to_front_door = await backend.connection()
        await read_message(from_front_door)
        to_front_door.write(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1 \t\r\nContent-Length:  2 \r\n\r\nno")
        assert (await read_message(reader))[0].split()[1] == "503"


@socket_test
async def test_an_http_1_0_client_gets_a_response_of_unknown_length() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask().replace(b"HTTP/1.1", b"HTTP/1.0"))
        from_front_door, to_front_door = await backend.connection()
        await read_message(from_front_door)
        data = body_of(LONG)
        to_front_door.write(framed(data, "chunked"))
        _, headers, got = await read_answer(reader)
        assert got == data and "transfer-encoding" not in headers and headers["connection"] == "close"


@socket_test
async def test_slow_request_headers_and_slow_responses_are_accepted() -> None:
    async with Peer() as backend, running(**one_backend(backend.port)) as front_door:
        reader, writer = await front_door.client()
        text = ask()
        for at in range(0, len(text), len(text) // 8 + 1):
            writer.write(text[at : at + len(text) // 8 + 1])
            await asyncio.sleep(0.22)  # 1.8 s in total
        from_front_door, to_front_door = await backend.connection()
        await read_message(from_front_door)
        made = answer(200, b"slowly")
        to_front_door.write(made[:-3])
        await asyncio.sleep(0.5)
        to_front_door.write(made[-3:])
        assert (await read_message(reader))[2] == b"slowly"


def test_without_an_operator_nothing_is_streamed() -> None:
    made = config()
    assert made.operator is None

    @socket_test
    async def run() -> None:
        async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as front_door:
            assert front_door.program.clients.budget is None
            reader, writer = await front_door.client()
            writer.write(ask("file", Content_Length="100000"))
            assert (await read_message(reader))[0].split()[1] == "413"

    run()


async def buffered_bytes(front_door: Running) -> int:
    return sum(
        c.transport.get_write_buffer_size() for c in front_door.program.clients.connections if c.transport
    )


@pytest.mark.parametrize("streams", [1, 20, 100])
def test_buffered_bytes_stay_within_the_budget_for_any_number_of_streams(streams: int) -> None:
    @socket_test
    async def run() -> None:
        limits = {"sockets": 1024, "memory_mb": 80}
        async with Peer() as backend, running(limits=limits, **one_backend(backend.port)) as front_door:
            budget = front_door.program.clients.budget
            assert budget is not None
            held, whole = (
                0,
                answer(200, bytes(12 * LONG), "Connection: close\r\n"),
            )  # more than the socket buffers hold
            for n in range(streams):
                _, writer = await front_door.client()
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                writer.write(ask(trace=f"a{n}"))
                from_front_door, to_front_door = await backend.connection()
                await read_message(from_front_door)
                to_front_door.write(whole)
            for _ in range(20):
                await asyncio.sleep(0.01)
                held = max(held, await buffered_bytes(front_door))
            assert budget.streams == streams and 0 < held <= budget.total_bytes

    run()
