"""Long bodies: a process holds each byte once, and pauses its readers before its memory limit is exceeded."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from irisdeal.http1 import connection
from irisdeal.http1.body import SMALL_BODY_BYTES
from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Request, Response
from irisdeal.http1.server import HttpServer
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.attempt_outcome import AttemptEnd
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.proxy.backend_request import BackendRequest, encode_head, split_body
from irisdeal.runtime.memory_budget import MemoryBudget, MemoryLease

MIB = 1 << 20
BODY_BYTES = 4 * MIB
PIECE = b"x" * (64 << 10)
HEAD = b"POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED_HEAD = b"POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 5.0  # of a test that waits
BACKEND = Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)


class FakeTransport:
    """A transport that records whether reading is paused, and how much was written."""

    def __init__(self) -> None:
        self.is_paused = self.is_closed = False
        self.unsent_bytes = 0
        self.written: list[bytes] = []

    def get_extra_info(self, _: str) -> Any:
        return self

    def setsockopt(self, *_: int) -> None:
        pass

    def fileno(self) -> int:
        return 0

    def pause_reading(self) -> None:
        assert not self.is_paused
        self.is_paused = True

    def resume_reading(self) -> None:
        assert self.is_paused
        self.is_paused = False

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close


class Rig:
    """A server with a budget, whose handler holds each request until `finish` is set."""

    def __init__(self, capacity: int) -> None:
        self.finish = asyncio.Event()
        self.response = Response(200, b"ok")
        self.requests: list[Request] = []
        self.budget = MemoryBudget(capacity)
        self.server = HttpServer(self.handle, asyncio.get_running_loop(), budget=self.budget)

    async def handle(self, request: Request) -> Response:
        self.requests.append(request)
        await self.finish.wait()
        return self.response

    def connect(self) -> tuple[Connection, FakeTransport]:
        client, transport = Connection(self.server), FakeTransport()
        client.connection_made(transport)  # type: ignore[arg-type]
        return client, transport

    async def settle(self) -> None:
        """Let handlers and callbacks run."""
        for _ in range(5):
            await asyncio.sleep(0)


def upload(client: Connection, transport: FakeTransport, sent: int = 0) -> int:
    """Send a body until reading is paused; return the bytes sent. `sent`: what was sent before."""
    if not sent:
        client.data_received(HEAD)
    while sent < BODY_BYTES and not transport.is_paused:
        client.data_received(PIECE)
        sent += len(PIECE)
    return sent


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in an event loop."""

    async def run() -> None:
        await scenario()

    asyncio.run(run())


# Guards against Fault: three bodies inside `max_body_bytes` took a proxy over its memory limit.
def test_a_body_that_does_not_fit_is_read_once_another_one_is_answered() -> None:
    async def scenario() -> None:
        rig = Rig(int(1.5 * BODY_BYTES))
        first, second = rig.connect(), rig.connect()
        assert upload(*first) == BODY_BYTES
        sent = upload(*second)
        assert second[1].is_paused and sent <= len(PIECE)
        await rig.settle()
        assert len(rig.requests) == 1 and rig.budget.used_bytes <= 1.5 * BODY_BYTES
        rig.finish.set()
        await rig.settle()
        assert first[1].written and not second[1].is_paused
        assert upload(*second, sent) == BODY_BYTES
        await rig.settle()
        assert len(rig.requests) == 2 and rig.budget.used_bytes == 0

    play(scenario)


def test_a_body_that_waits_too_long_is_rejected_and_may_be_sent_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(connection, "MAX_MEMORY_WAIT_S", 0.0)

    async def scenario() -> None:
        rig = Rig(BODY_BYTES)
        first, second = rig.connect(), rig.connect()
        upload(*first)
        upload(*second)
        async with asyncio.timeout(TIMEOUT_S):
            while not second[1].written:
                await asyncio.sleep(0)
        answer = b"".join(second[1].written)
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
        assert not second[1].is_paused, "what still arrives is read and discarded"
        second[0].data_received(PIECE)
        assert len(rig.requests) == 1 and list(rig.budget.leases) == [rig.requests[0].memory]
        rig.finish.set()
        await rig.settle()

    play(scenario)
    assert any(record.message.startswith("E106") for record in caplog.records)


def test_chunked_bodies_reserve_as_they_grow_and_the_oldest_proceeds() -> None:
    async def scenario() -> None:
        rig = Rig(3 * MIB)
        clients = [rig.connect() for _ in range(3)]
        for client, _ in clients:
            client.data_received(CHUNKED_HEAD)
        chunk = b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"
        for _ in range(BODY_BYTES // len(PIECE)):
            for client, transport in clients:
                if not transport.is_paused:
                    client.data_received(chunk)
        assert [transport.is_paused for _, transport in clients] == [False, True, True]
        assert rig.budget.used_bytes <= 3 * MIB + BODY_BYTES + MIB
        clients[0][0].data_received(b"0\r\n\r\n")
        await rig.settle()
        assert rig.requests[0].body_size == BODY_BYTES
        rig.finish.set()
        await rig.settle()
        assert not clients[1][1].is_paused

    play(scenario)


def test_a_client_that_leaves_frees_its_memory() -> None:
    async def scenario() -> None:
        rig = Rig(BODY_BYTES)
        first, second = rig.connect(), rig.connect()
        upload(*first)
        upload(*second)
        second[0].connection_lost(None)
        first[0].connection_lost(None)
        await rig.settle()
        assert rig.budget.used_bytes == 0 and not rig.budget.leases

    play(scenario)


# Guards against Fault: a body was held three times, in pieces, joined, and once more with the head.
def test_each_byte_of_a_body_is_held_once() -> None:
    async def scenario() -> None:
        rig = Rig(4 * BODY_BYTES)
        client, transport = rig.connect()
        tracemalloc.start()
        upload(client, transport)
        await rig.settle()
        request = rig.requests[0]
        head = encode_head(request, BACKEND, "", 1.0)
        with_head, blocks = split_body(request)
        backend = BackendConnection(BACKEND, lambda _: None)
        sent = FakeTransport()
        backend.connection_made(sent)  # type: ignore[arg-type]
        message = BackendRequest(head + with_head, b"a", False, True, 1e9, body=blocks)
        backend.start(message).cancel()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert sum(map(len, sent.written)) == BODY_BYTES + len(head)
        assert peak <= 1.4 * BODY_BYTES
        rig.finish.set()
        await rig.settle()

    play(scenario)


def test_a_body_in_tiny_pieces_takes_no_more_memory_than_its_bytes() -> None:
    async def scenario() -> None:
        rig = Rig(4 * BODY_BYTES)
        client, _ = rig.connect()
        client.data_received(HEAD)
        tracemalloc.start()
        for _ in range(200_000):
            client.data_received(b"x")
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert held <= 2 * 200_000

    play(scenario)


def test_a_long_response_waits_for_memory_and_holds_it_until_the_client_has_read_it() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(2 * MIB)
        other, lease = MemoryLease(budget), MemoryLease(budget)
        assert other.reserve(MIB, lambda: None)
        backend, transport = BackendConnection(BACKEND, lambda _: None), FakeTransport()
        backend.connection_made(transport)  # type: ignore[arg-type]
        request = BackendRequest(b"GET / HTTP/1.1\r\n\r\n", b"a", False, False, 1e9, memory=lease)
        outcome = backend.start(request)
        backend.data_received(
            b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: a\r\nX-Irisdeal-Backend-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        )
        sent = 0
        while not transport.is_paused and sent < BODY_BYTES:
            backend.data_received(PIECE)
            sent += len(PIECE)
        assert sent <= SMALL_BODY_BYTES + len(PIECE)
        other.release()
        assert not transport.is_paused, "now it is the oldest"
        while sent < BODY_BYTES:
            backend.data_received(PIECE)
            sent += len(PIECE)
        assert outcome.result().end is AttemptEnd.RESPONSE
        assert sum(map(len, outcome.result().blocks)) == BODY_BYTES

    play(scenario)


def test_a_written_response_counts_until_it_is_sent() -> None:
    async def scenario() -> None:
        rig = Rig(2 * BODY_BYTES)
        client, transport = rig.connect()
        upload(client, transport)
        await rig.settle()
        rig.response = Response(200, (PIECE, PIECE))
        transport.unsent_bytes = 1
        rig.finish.set()
        await rig.settle()
        assert b"".join(transport.written).endswith(PIECE + PIECE)
        assert rig.budget.used_bytes > 0
        client.check_timeouts(0.0)
        assert rig.budget.used_bytes > 0
        transport.unsent_bytes = 0  # all was sent without a pause of the protocol
        client.check_timeouts(0.0)
        assert rig.budget.used_bytes == 0 and not rig.budget.leases

    play(scenario)


class Peer:
    """A backend's connection that receives a response in pieces until its reading is paused."""

    def __init__(self, lease: MemoryLease, response_bytes: int) -> None:
        self.connection, self.transport = BackendConnection(BACKEND, lambda _: None), FakeTransport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]
        request = BackendRequest(b"GET / HTTP/1.1\r\n\r\n", b"a", False, False, 1e9, memory=lease)
        self.outcome = self.connection.start(request)
        self.left = response_bytes
        self.connection.data_received(
            b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: a\r\nX-Irisdeal-Backend-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n" % response_bytes
        )

    def receive(self) -> bool:
        """Receive a piece; return whether more may come now."""
        if self.left and not self.transport.is_paused:
            self.left -= len(PIECE)
            self.connection.data_received(PIECE)
        return self.left > 0 and not self.transport.is_paused


PROGRAM_MB = 40  # what the program holds beside its bodies
LONG_BYTES, PAYMENT_BYTES, PAYMENT_COUNT = 62 * MIB, 4 * MIB, 28


# Guards against Fault: body and two responses of the oldest request, beside others, exceeded the limit.
@pytest.mark.parametrize("memory_mb", [200, 300])
def test_a_long_body_with_two_long_responses_stays_within_the_limit(memory_mb: int) -> None:
    async def scenario() -> None:
        budget = MemoryBudget.of_limit(memory_mb)
        long = MemoryLease(budget)
        assert long.reserve(MIB, lambda: None)
        for _ in range(PAYMENT_COUNT):
            MemoryLease(budget).reserve(PAYMENT_BYTES, lambda: None)
        assert long.reserve(LONG_BYTES, lambda: None)
        peers = [Peer(long, LONG_BYTES) for _ in range(2)]
        while any([peer.receive() for peer in peers]):
            assert budget.used_bytes <= (memory_mb - PROGRAM_MB) * MIB
        assert [peer.left for peer in peers].count(0) == 1, "the first response proceeds"

    play(scenario)


def test_another_response_takes_the_place_of_one_that_fails() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(0, 2 * BODY_BYTES)
        lease = MemoryLease(budget)
        assert lease.reserve(MIB, lambda: None)
        first, second = Peer(lease, BODY_BYTES), Peer(lease, BODY_BYTES)
        while first.left > BODY_BYTES // 2:
            first.receive()
            second.receive()
        assert second.transport.is_paused
        first.connection.connection_lost(None)
        assert not second.transport.is_paused
        while second.receive():
            pass
        assert second.outcome.result().end is AttemptEnd.RESPONSE
        assert budget.used_bytes <= MIB + BODY_BYTES
        lease.release()
        assert budget.used_bytes == 0

    play(scenario)
