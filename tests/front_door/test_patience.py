"""Misbehaving clients are disconnected soon and take no slot from others. The clock is simulated."""

import asyncio
import gc
import weakref
from contextlib import suppress
from typing import cast

import pytest

from irisdeal.front_door.decisions.interface import Action, Event, RejectRequest, RequestArrived, StartAttempt
from irisdeal.front_door.overload.connection_slots import MIN_UNUSED_S
from irisdeal.front_door.server.clients import (
    MAX_PIPELINED_REQUESTS,
    MAX_REJECTED_PIPELINED_REQUESTS,
    HttpServer,
)
from irisdeal.front_door.server.limits import OWN_DESCRIPTORS, share_descriptors
from irisdeal.front_door.server.listener import Listener
from tests.support.fake_peers import (
    Peer,
    Running,
    Script,
    Streams,
    ask,
    member,
    read_message,
    running,
    socket_test,
    whole_list,
)


class ManualClock:
    """A clock that the test advances."""

    def __init__(self, server: HttpServer) -> None:
        self.server, self.time = server, 1000.0
        server.now = lambda: self.time

    def advance(self, seconds: float) -> None:
        self.time += seconds
        self.server.sweep()


async def connected(front_door: Running, count: int) -> list[Streams]:
    clients = [await front_door.client() for _ in range(count)]
    while len(front_door.program.clients.connections) < count or not all(
        c.transport for c in front_door.program.clients.connections
    ):
        await asyncio.sleep(0)
    return clients


async def ended(reader: asyncio.StreamReader) -> bytes:
    with suppress(ConnectionError):
        return await reader.read()
    return b""


def silent(event: Event) -> list[Action]:
    return []


@socket_test
async def test_a_silent_connection_is_closed() -> None:
    async with running(Script(silent)) as front_door:
        clock = ManualClock(front_door.program.clients)
        [(reader, _)] = await connected(front_door, 1)
        clock.advance(1.0)
        assert front_door.program.clients.connections
        clock.advance(0.75)
        response = await ended(reader)  # a response, as a request may be on its way
        assert response.startswith(b"HTTP/1.1 408 ") and b"Connection: close\r\n" in response


@socket_test
async def test_an_incomplete_request_times_out_however_slowly_it_arrives() -> None:
    async with running(Script(silent)) as front_door:
        clock = ManualClock(front_door.program.clients)
        [(reader, writer)] = await connected(front_door, 1)
        client = next(iter(front_door.program.clients.connections))
        for byte in ask()[:8]:
            writer.write(bytes((byte,)))
            size = client.head_bytes
            while client.head_bytes == size and not client.in_message:
                await asyncio.sleep(0)
            clock.advance(0.2)
        clock.advance(0.2)
        assert b" 408 " in await ended(reader)


@pytest.mark.parametrize("rest", [ask(trace="a2")[:20], b"noise\r\n\r\n"])
def test_malformed_input_behind_an_open_request_ends_the_connection(rest: bytes) -> None:
    @socket_test
    async def run() -> None:
        script = Script(silent)
        async with running(script) as front_door:
            clock = ManualClock(front_door.program.clients)
            [(reader, writer)] = await connected(front_door, 1)
            client = next(iter(front_door.program.clients.connections))
            writer.write(ask(trace="a1") + rest)
            await script.wait_for(RequestArrived)
            clock.advance(1.0)
            assert client.requests  # its response may still come
            clock.advance(0.75)
            answers = await ended(reader)
            assert answers.startswith(b"HTTP/1.1 502 ") and answers.count(b"HTTP/1.1 4") == 1
            assert (
                not front_door.program.clients.open_traces
                and not front_door.program.decision_loop.unanswered_count
            )

    run()


@socket_test
async def test_a_client_that_does_not_read_the_final_response_is_reset() -> None:
    async with running(Script(silent)) as front_door:
        clock = ManualClock(front_door.program.clients)
        [(_, writer)] = await connected(front_door, 1)
        writer.write(b"noise\r\n\r\n")
        client = next(iter(front_door.program.clients.connections))
        while not client.close_deadline:
            await asyncio.sleep(0)
        clock.advance(1.25)
        while front_door.program.clients.connections:
            await asyncio.sleep(0)


@socket_test
async def test_a_client_that_reads_no_responses_is_reset_sooner_with_all_slots_used() -> None:
    async with running(Script(silent)) as front_door:
        clock = ManualClock(front_door.program.clients)
        await connected(front_door, 2)
        connection, _ = front_door.program.clients.connections
        connection.pause_writing()  # as the transport does with 64 KiB unsent
        connection.has_sent_request = True
        clock.advance(4.9)
        assert connection in front_door.program.clients.connections
        set_slots(front_door.program.clients, 2, 0)
        clock.advance(0.0)
        while connection in front_door.program.clients.connections:
            await asyncio.sleep(0)


@socket_test
async def test_the_limit_on_pipelined_requests_holds_within_one_read() -> None:
    script = Script(silent)
    async with running(script) as front_door:
        reader, writer = await front_door.client()
        writer.write(b"".join(ask(trace=f"t{n}") for n in range(MAX_PIPELINED_REQUESTS + 20)))
        await script.wait_for(RequestArrived, MAX_PIPELINED_REQUESTS)
        client = next(iter(front_door.program.clients.connections))
        while len(client.requests) < MAX_PIPELINED_REQUESTS + 20:
            await asyncio.sleep(0)
        assert len(front_door.program.decision_loop.requests) == MAX_PIPELINED_REQUESTS
        for number in list(front_door.program.decision_loop.requests):
            front_door.program.decision_loop._apply(RejectRequest(number))
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(MAX_PIPELINED_REQUESTS + 20)]
        assert statuses == ["429"] * MAX_PIPELINED_REQUESTS + ["503"] * 20


@socket_test
async def test_hundreds_of_pipelined_requests_close_their_connection() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        reader, writer = await front_door.client()
        writer.write(b"".join(ask(trace=f"t{n}") for n in range(600)))
        answers = await ended(reader)
        assert (
            0 < answers.count(b"HTTP/1.1 ") <= 2 * (MAX_PIPELINED_REQUESTS + MAX_REJECTED_PIPELINED_REQUESTS)
        )


@socket_test
async def test_a_trace_id_in_use_is_rejected() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        client, client_writer = await front_door.client()
        client_writer.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        assert (await front_door.call(ask(trace="a1")))[0].split()[1] == "409"
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nmine")
        assert (await read_message(client))[2] == b"mine"
        assert len(await script.wait_for(RequestArrived)) == 1
        client_writer.write(ask(trace="a1"))  # answered: the id can be used again
        await script.wait_for(RequestArrived, 2)


@socket_test
async def test_trailers_are_not_used_as_headers() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        _, client_writer = await front_door.client()
        client_writer.write(
            ask("file", Content_Length=None, Transfer_Encoding="chunked")
            + b"3\r\nabc\r\n0\r\nX-Trace-Id: other\r\nX-More: 1\r\n\r\n"
        )
        reader, _ = await backend.connection()
        _, headers, body = await read_message(reader)
        assert (headers["x-trace-id"], body, "x-more" in headers) == ("ab12", b"abc", False)


@socket_test
async def test_deadlines_are_limited_to_that_of_the_class() -> None:
    script = Script(silent)
    async with running(script) as front_door:
        _, client_writer = await front_door.client()
        client_writer.write(ask(X_Expires_In="3000000m"))
        [arrival] = await script.wait_for(RequestArrived)
        assert arrival.time_left_us <= 10_000_000


def set_slots(server: HttpServer, regular_slots: int, reserve_slots: int) -> None:
    server.slots.regular_slots, server.slots.reserve_slots = regular_slots, reserve_slots


@socket_test
async def test_only_a_connection_silent_for_long_enough_gives_up_its_slot() -> None:
    async with running(Script(silent)) as front_door:
        server = front_door.program.clients
        clock = ManualClock(server)
        set_slots(server, 4, 0)
        for n in range(2):
            _, client_writer = await front_door.client()
            client_writer.write(ask(trace=f"busy{n}"))
        script = cast(Script, front_door.program.decision_loop.decider)
        await script.wait_for(RequestArrived, 2)
        first, second = [await front_door.client() for _ in range(2)]
        while len(server.connections) < 4 or not all(c.transport for c in server.connections):
            await asyncio.sleep(0)
        _, client_writer = await front_door.client()  # in the kernel's queue, with its request
        client_writer.write(ask(trace="a0"))
        clock.advance(0.2)
        await asyncio.sleep(0)
        assert len(server.connections) == 4 and not first[0].at_eof()
        second[1].write(ask(trace="a1"))  # just in time
        await script.wait_for(RequestArrived, 3)
        clock.advance(0.1)
        assert (await ended(first[0])).startswith(b"HTTP/1.1 408 ")
        first[1].close()
        await script.wait_for(RequestArrived, 4)


@socket_test
async def test_with_all_slots_used_each_further_request_gets_a_complete_rejection() -> None:
    script = Script(silent)
    async with running(script) as front_door:
        server = front_door.program.clients
        set_slots(server, 4, 2)
        for n in range(4):
            _, client_writer = await front_door.client()
            client_writer.write(ask(trace=f"a{n}"))
        await script.wait_for(RequestArrived, 4)
        extra_clients = [await front_door.client() for _ in range(40)]
        for n, (_, client_writer) in enumerate(extra_clients):
            client_writer.write(ask("file", trace=f"b{n}", Content_Length="1000") + bytes(1000))
        for reader, _ in extra_clients:
            line, headers, body = await read_message(reader)
            assert line.split()[1] == "503" and body
            assert headers["connection"] == "close" and float(headers["retry-after"]) > 0
            assert await reader.read() == b""  # closed, not reset
        reader, client_writer = await front_door.client()
        front_door.program.decision_loop.has_server_list = True
        client_writer.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        line, headers, _ = await read_message(reader)
        assert line.split()[1] == "200" and headers["connection"] == "close"  # used up, but healthy
        assert len(await script.wait_for(RequestArrived)) == 4
        assert len(server.connections) == 4 and all(c.requests for c in server.connections)


@socket_test
async def test_a_connection_in_a_reserve_slot_moves_to_a_free_regular_slot() -> None:
    script = Script(silent)
    async with running(script) as front_door:
        server = front_door.program.clients
        set_slots(server, 1, 1)
        [(_, leaves)] = await connected(front_door, 1)
        _, client_writer = await front_door.client()
        while len(server.connections) < 2:
            await asyncio.sleep(0)
        leaves.transport.abort()
        while len(server.connections) > 1:
            await asyncio.sleep(0)
        client_writer.write(ask())
        await script.wait_for(RequestArrived)


@socket_test
async def test_connections_in_the_kernels_queue_are_accepted_before_the_listener_closes() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        server = front_door.program.clients
        set_slots(server, 1, 1)
        [(_, connection), (_, other)] = await connected(front_door, 2)
        waiting = [await front_door.client() for _ in range(20)]
        for n, (_, client_writer) in enumerate(waiting):
            client_writer.write(ask(trace=f"a{n}"))
        server.draining = True
        server.stop_listening()
        connection.transport.abort()
        other.transport.abort()
        for reader, _ in waiting:
            line, _, _ = await read_message(reader)
            assert line.split()[1] in ("429", "503")
        while not server.is_drained():
            await asyncio.sleep(0)


@socket_test
async def test_with_all_slots_used_idle_connections_are_closed_after_two_seconds() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        server = front_door.program.clients
        clock = ManualClock(server)
        readers = []
        for n in range(2):
            reader, writer = await front_door.client()
            writer.write(ask(trace=f"a{n}"))
            await read_message(reader)
            readers.append(reader)
            clock.time += 0.1
        set_slots(server, 2, 0)
        clock.time += 1.75
        await front_door.client()
        server.listener.resume_accepting()
        for _ in range(20):
            await asyncio.sleep(0)
        assert not readers[0].at_eof() and len(server.connections) == 2
        clock.time += 0.1
        server.listener.resume_accepting()
        assert await ended(readers[0]) == b""
        while len(server.connections) < 2:
            await asyncio.sleep(0)


def test_limits_stay_within_the_file_descriptors() -> None:
    for sockets in (256, 384, 512, 1024):
        limits = share_descriptors(sockets)
        assert limits.clients + limits.reserve + limits.backends + OWN_DESCRIPTORS <= sockets
        assert limits.clients >= sockets // 3 and limits.backends >= sockets // 3


@socket_test
async def test_accepting_continues_after_file_descriptors_ran_out() -> None:
    loop = asyncio.get_running_loop()
    async with running(Script(silent)) as front_door:
        listener: Listener = front_door.program.clients.listener
        assert listener.socket is not None
        real, tries = listener.socket, 0

        class FailingSocket:
            """The socket; the first `accept` fails for lack of file descriptors."""

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

            def accept(self) -> object:
                nonlocal tries
                tries += 1
                if tries == 1:
                    raise OSError(24, "Too many open files")
                return real.accept()

        loop.remove_reader(real)
        listener.socket = FailingSocket()  # type: ignore[assignment]
        loop.add_reader(real, listener._accept)
        await connected(front_door, 1)
        assert tries >= 2


@socket_test
async def test_a_closed_connection_leaves_no_reference_cycle() -> None:
    async with running(Script(silent)) as front_door:
        gc.disable()
        try:
            [(_, writer)] = await connected(front_door, 1)
            reference = weakref.ref(next(iter(front_door.program.clients.connections)))
            writer.transport.abort()
            while reference() is not None:
                await asyncio.sleep(0)
        finally:
            gc.enable()


@socket_test
async def test_a_request_not_yet_read_keeps_its_connection_open() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        [(reader, writer)] = await connected(front_door, 1)
        writer.write(ask(trace="a0"))
        await read_message(reader)
        [connection] = front_door.program.clients.connections
        writer.write(ask(trace="a1"))  # in the kernel before the event loop runs
        connection.close_if_idle()
        assert not connection.evict() and not connection.close_deadline
        await script.wait_for(RequestArrived, 2)


@socket_test
async def test_at_shutdown_a_new_connection_gets_time_for_its_request() -> None:
    async with running(Script(silent)) as front_door:
        server = front_door.program.clients
        clock = ManualClock(server)
        [(reader, _)] = await connected(front_door, 1)
        [connection] = server.connections
        server.close_idle()
        assert not connection.close_deadline
        clock.time += MIN_UNUSED_S
        server.close_idle()
        assert (await ended(reader)).startswith(b"HTTP/1.1 408 ")


@socket_test
async def test_a_new_backlog_length_is_set_in_the_kernel() -> None:
    async with running(Script(silent)) as front_door:
        listener = front_door.program.clients.listener
        real, lengths = listener.socket, list[int]()
        assert real is not None

        class RecordingSocket:
            """The socket, recording backlog lengths."""

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

            def listen(self, length: int) -> None:
                lengths.append(length)

        listener.socket = RecordingSocket()  # type: ignore[assignment]
        listener.backlog.record_accepted = lambda count, more_waiting, now: 77  # type: ignore[method-assign]
        await connected(front_door, 1)
        assert set(lengths) == {77}
