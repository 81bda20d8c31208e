"""Bad clients end soon and take no place from others. Time is the tests' own."""

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


class Hand:
    """A clock that the test sets."""

    def __init__(self, side: HttpServer) -> None:
        self.side, self.time = side, 1000.0
        side.now = lambda: self.time

    def on(self, seconds: float) -> None:
        self.time += seconds
        self.side.sweep()


async def connected(door: Running, count: int) -> list[Streams]:
    made = [await door.client() for _ in range(count)]
    while len(door.program.clients.connections) < count or not all(
        c.transport for c in door.program.clients.connections
    ):
        await asyncio.sleep(0)
    return made


async def ended(reader: asyncio.StreamReader) -> bytes:
    with suppress(ConnectionError):
        return await reader.read()
    return b""


def silent(event: Event) -> list[Action]:
    return []


@socket_test
async def test_one_that_never_says_anything_is_closed() -> None:
    async with running(Script(silent)) as door:
        hand = Hand(door.program.clients)
        [(reader, _)] = await connected(door, 1)
        hand.on(1.0)
        assert door.program.clients.connections
        hand.on(0.75)
        told = await ended(reader)  # an answer: a request that crosses the end must not be cut
        assert told.startswith(b"HTTP/1.1 408 ") and b"Connection: close\r\n" in told


@socket_test
async def test_half_a_request_ends_however_slowly_it_drips() -> None:
    async with running(Script(silent)) as door:
        hand = Hand(door.program.clients)
        [(reader, writer)] = await connected(door, 1)
        client = next(iter(door.program.clients.connections))
        for byte in ask()[:8]:
            writer.write(bytes((byte,)))
            size = client.head_bytes
            while client.head_bytes == size and not client.in_message:
                await asyncio.sleep(0)
            hand.on(0.2)
        hand.on(0.2)
        assert b" 408 " in await ended(reader)


@pytest.mark.parametrize("rest", [ask(trace="a2")[:20], b"noise\r\n\r\n"])
def test_what_cannot_be_read_behind_an_open_request_ends_with_it(rest: bytes) -> None:
    @socket_test
    async def run() -> None:
        script = Script(silent)
        async with running(script) as door:
            hand = Hand(door.program.clients)
            [(reader, writer)] = await connected(door, 1)
            client = next(iter(door.program.clients.connections))
            writer.write(ask(trace="a1") + rest)
            await script.wait_for(RequestArrived)
            hand.on(1.0)
            assert client.requests  # it may still be answered
            hand.on(0.75)
            answers = await ended(reader)
            assert answers.startswith(b"HTTP/1.1 502 ") and answers.count(b"HTTP/1.1 4") == 1
            assert not door.program.clients.open_traces and not door.program.decision_loop.unanswered_count

    run()


@socket_test
async def test_one_that_does_not_read_its_end_is_cut_off() -> None:
    async with running(Script(silent)) as door:
        hand = Hand(door.program.clients)
        [(_, writer)] = await connected(door, 1)
        writer.write(b"noise\r\n\r\n")
        client = next(iter(door.program.clients.connections))
        while not client.close_deadline:
            await asyncio.sleep(0)
        hand.on(1.25)
        while door.program.clients.connections:
            await asyncio.sleep(0)


@socket_test
async def test_one_that_never_reads_its_answers_is_cut_off_sooner_in_a_crowd() -> None:
    async with running(Script(silent)) as door:
        hand = Hand(door.program.clients)
        await connected(door, 2)
        one, _ = door.program.clients.connections
        one.pause_writing()  # as the transport does once 64 KiB wait
        one.has_sent_request = True
        hand.on(4.9)
        assert one in door.program.clients.connections
        shrink(door.program.clients, 2, 0)
        hand.on(0.0)
        while one in door.program.clients.connections:
            await asyncio.sleep(0)


@socket_test
async def test_the_bound_on_open_requests_holds_inside_one_read() -> None:
    script = Script(silent)
    async with running(script) as door:
        reader, writer = await door.client()
        writer.write(b"".join(ask(trace=f"t{n}") for n in range(MAX_PIPELINED_REQUESTS + 20)))
        await script.wait_for(RequestArrived, MAX_PIPELINED_REQUESTS)
        client = next(iter(door.program.clients.connections))
        while len(client.requests) < MAX_PIPELINED_REQUESTS + 20:
            await asyncio.sleep(0)
        assert len(door.program.decision_loop.requests) == MAX_PIPELINED_REQUESTS
        for number in list(door.program.decision_loop.requests):
            door.program.decision_loop._apply(RejectRequest(number))
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(MAX_PIPELINED_REQUESTS + 20)]
        assert statuses == ["429"] * MAX_PIPELINED_REQUESTS + ["503"] * 20


@socket_test
async def test_hundreds_of_requests_at_once_end_their_connection() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as door:
        reader, writer = await door.client()
        writer.write(b"".join(ask(trace=f"t{n}") for n in range(600)))
        answers = await ended(reader)
        assert (
            0 < answers.count(b"HTTP/1.1 ") <= 2 * (MAX_PIPELINED_REQUESTS + MAX_REJECTED_PIPELINED_REQUESTS)
        )


@socket_test
async def test_an_id_that_is_open_is_not_taken_again() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        assert (await door.call(ask(trace="a1")))[0].split()[1] == "409"
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nmine")
        assert (await read_message(client))[2] == b"mine"
        assert len(await script.wait_for(RequestArrived)) == 1
        to_door.write(ask(trace="a1"))  # answered: the id is free again
        await script.wait_for(RequestArrived, 2)


@socket_test
async def test_trailers_are_no_headers() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(
            ask("file", Content_Length=None, Transfer_Encoding="chunked")
            + b"3\r\nabc\r\n0\r\nX-Trace-Id: other\r\nX-More: 1\r\n\r\n"
        )
        reader, _ = await backend.connection()
        _, headers, body = await read_message(reader)
        assert (headers["x-trace-id"], body, "x-more" in headers) == ("ab12", b"abc", False)


@socket_test
async def test_deadlines_beyond_the_classs_are_cut_to_it() -> None:
    script = Script(silent)
    async with running(script) as door:
        _, to_door = await door.client()
        to_door.write(ask(X_Expires_In="3000000m"))
        [arrival] = await script.wait_for(RequestArrived)
        assert arrival.time_left_us <= 10_000_000


def shrink(side: HttpServer, most: int, reserve: int) -> None:
    side.slots.regular_slots, side.slots.reserve_slots = most, reserve


@socket_test
async def test_one_that_was_silent_long_enough_makes_room_and_a_fresh_one_does_not() -> None:
    async with running(Script(silent)) as door:
        side = door.program.clients
        hand = Hand(side)
        shrink(side, 4, 0)
        for n in range(2):
            _, to_door = await door.client()
            to_door.write(ask(trace=f"busy{n}"))
        script = cast(Script, door.program.decision_loop.decider)
        await script.wait_for(RequestArrived, 2)
        first, second = [await door.client() for _ in range(2)]
        while len(side.connections) < 4 or not all(c.transport for c in side.connections):
            await asyncio.sleep(0)
        _, to_door = await door.client()  # in the kernel's queue, its request with it
        to_door.write(ask(trace="a0"))
        hand.on(0.2)
        await asyncio.sleep(0)
        assert len(side.connections) == 4 and not first[0].at_eof()
        second[1].write(ask(trace="a1"))  # it speaks just in time
        await script.wait_for(RequestArrived, 3)
        hand.on(0.1)
        assert (await ended(first[0])).startswith(b"HTTP/1.1 408 ")
        first[1].close()
        await script.wait_for(RequestArrived, 4)


@socket_test
async def test_with_all_places_busy_each_further_request_gets_a_whole_refusal_and_none_is_cut() -> None:
    script = Script(silent)
    async with running(script) as door:
        side = door.program.clients
        shrink(side, 4, 2)
        for n in range(4):
            _, to_door = await door.client()
            to_door.write(ask(trace=f"a{n}"))
        await script.wait_for(RequestArrived, 4)
        more = [await door.client() for _ in range(40)]
        for n, (_, to_door) in enumerate(more):
            to_door.write(ask("file", trace=f"b{n}", Content_Length="1000") + bytes(1000))
        for reader, _ in more:
            line, headers, body = await read_message(reader)
            assert line.split()[1] == "503" and body
            assert headers["connection"] == "close" and float(headers["retry-after"]) > 0
            assert await reader.read() == b""  # an end, no reset
        reader, to_door = await door.client()
        door.program.decision_loop.has_server_list = True
        to_door.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        line, headers, _ = await read_message(reader)
        assert line.split()[1] == "200" and headers["connection"] == "close"  # full is not unwell
        assert len(await script.wait_for(RequestArrived)) == 4
        assert len(side.connections) == 4 and all(c.requests for c in side.connections)


@socket_test
async def test_one_in_the_reserve_moves_up_where_a_place_is_free_by_then() -> None:
    script = Script(silent)
    async with running(script) as door:
        side = door.program.clients
        shrink(side, 1, 1)
        [(_, leaves)] = await connected(door, 1)
        _, to_door = await door.client()
        while len(side.connections) < 2:
            await asyncio.sleep(0)
        leaves.transport.abort()
        while len(side.connections) > 1:
            await asyncio.sleep(0)
        to_door.write(ask())
        await script.wait_for(RequestArrived)


@socket_test
async def test_what_the_kernel_holds_at_the_end_is_taken_before_the_door_closes() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as door:
        side = door.program.clients
        shrink(side, 1, 1)
        [(_, one), (_, other)] = await connected(door, 2)
        waiting = [await door.client() for _ in range(20)]
        for n, (_, to_door) in enumerate(waiting):
            to_door.write(ask(trace=f"a{n}"))
        side.draining = True
        side.stop_listening()
        one.transport.abort()
        other.transport.abort()
        for reader, _ in waiting:
            line, _, _ = await read_message(reader)
            assert line.split()[1] in ("429", "503")
        while not side.is_drained():
            await asyncio.sleep(0)


@socket_test
async def test_in_a_crowd_the_idle_leave_first_and_not_before_two_seconds() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as door:
        side = door.program.clients
        hand = Hand(side)
        readers = []
        for n in range(2):
            reader, writer = await door.client()
            writer.write(ask(trace=f"a{n}"))
            await read_message(reader)
            readers.append(reader)
            hand.time += 0.1
        shrink(side, 2, 0)
        hand.time += 1.75
        await door.client()
        side.listener.resume_accepting()
        for _ in range(20):
            await asyncio.sleep(0)
        assert not readers[0].at_eof() and len(side.connections) == 2
        hand.time += 0.1
        side.listener.resume_accepting()
        assert await ended(readers[0]) == b""
        while len(side.connections) < 2:
            await asyncio.sleep(0)


def test_what_is_shared_out_stays_under_the_descriptors() -> None:
    for sockets in (256, 384, 512, 1024):
        limits = share_descriptors(sockets)
        assert limits.clients + limits.reserve + limits.backends + OWN_DESCRIPTORS <= sockets
        assert limits.clients >= sockets // 3 and limits.backends >= sockets // 3


@socket_test
async def test_accepting_goes_on_after_descriptors_ran_out() -> None:
    loop = asyncio.get_running_loop()
    async with running(Script(silent)) as door:
        listener: Listener = door.program.clients.listener
        assert listener.socket is not None
        real, tries = listener.socket, 0

        class Short:
            """The socket, once without descriptors."""

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

            def accept(self) -> object:
                nonlocal tries
                tries += 1
                if tries == 1:
                    raise OSError(24, "Too many open files")
                return real.accept()

        loop.remove_reader(real)
        listener.socket = Short()  # type: ignore[assignment]
        loop.add_reader(real, listener._accept)
        await connected(door, 1)
        assert tries >= 2


@socket_test
async def test_a_closed_connection_leaves_nothing_for_the_collector() -> None:
    async with running(Script(silent)) as door:
        gc.disable()
        try:
            [(_, writer)] = await connected(door, 1)
            held = weakref.ref(next(iter(door.program.clients.connections)))
            writer.transport.abort()
            while held() is not None:
                await asyncio.sleep(0)
        finally:
            gc.enable()


@socket_test
async def test_a_request_that_has_come_and_is_not_read_yet_keeps_its_connection() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as door:
        [(reader, writer)] = await connected(door, 1)
        writer.write(ask(trace="a0"))
        await read_message(reader)
        [one] = door.program.clients.connections
        writer.write(ask(trace="a1"))  # the kernel has it before the loop turns
        one.close_if_idle()
        assert not one.evict() and not one.close_deadline
        await script.wait_for(RequestArrived, 2)


@socket_test
async def test_at_the_end_one_that_came_just_now_gets_the_time_to_speak() -> None:
    async with running(Script(silent)) as door:
        side = door.program.clients
        hand = Hand(side)
        [(reader, _)] = await connected(door, 1)
        [one] = side.connections
        side.close_idle()
        assert not one.close_deadline
        hand.time += MIN_UNUSED_S
        side.close_idle()
        assert (await ended(reader)).startswith(b"HTTP/1.1 408 ")


@socket_test
async def test_the_queues_new_length_is_set_in_the_kernel() -> None:
    async with running(Script(silent)) as door:
        listener = door.program.clients.listener
        real, lengths = listener.socket, list[int]()
        assert real is not None

        class Heard:
            """The socket, whose lengths are noted."""

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

            def listen(self, length: int) -> None:
                lengths.append(length)

        listener.socket = Heard()  # type: ignore[assignment]
        listener.backlog.record_accepted = lambda count, more_waiting, now: 77  # type: ignore[method-assign]
        await connected(door, 1)
        assert set(lengths) == {77}
