"""Attempts over backend connections: each ends with exactly one result; reuse and limits of connections."""

import asyncio
import gc
import os
import socket
import weakref
from contextlib import ExitStack
from typing import Any, cast

import pytest
import uvloop

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    Event,
    LoadReport,
    RequestArrived,
    RequestEnded,
    Result,
    StartAttempt,
)
from irisdeal.front_door.server.backends import Attempt, BackendPool
from tests.support.fake_peers import (
    Peer,
    Script,
    answer,
    ask,
    config,
    member,
    read_message,
    running,
    send_all,
    socket_test,
    whole_list,
)

CLOSE = b""  # the backend closes the connection


@pytest.mark.parametrize(
    ("written", "result", "status"),
    [
        (answer(200, b"yes"), Result.OK, "200"),
        (answer(500), Result.ERROR, "502"),
        (answer(404), Result.ERROR, "502"),
        (answer(503, extra="X-Never-Ran: 1\r\n"), Result.REJECTED, "502"),
        (answer(504, extra="X-Never-Ran: 1\r\n"), Result.REJECTED, "502"),
        (answer(503), Result.ERROR, "502"),
        (answer(503, extra="X-Never-Ran: 0\r\n"), Result.ERROR, "502"),
        (answer(500, extra="X-Never-Ran: 1\r\n"), Result.ERROR, "502"),
        (CLOSE, Result.CONNECTION_LOST, "502"),
        (answer(200, b"yes")[:-1] + CLOSE, Result.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99_999, Result.CONNECTION_LOST, "502"),
        (b"nonsense\r\n\r\n", Result.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", Result.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 102 X\r\n\r\n" + answer(200, b"yes"), Result.OK, "200"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc", Result.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 102 X\r\n\r\n" * 100, Result.CONNECTION_LOST, "502"),
        (answer(200, b"yes") + answer(200, b"yes"), Result.OK, "200"),
        (answer(200, b"yes") + b"\x00\xffnoise", Result.OK, "200"),
        (answer(200, b"yes", "Connection: close\r\n") + b"noise", Result.OK, "200"),
        (
            answer(extra="Endpoint-Load-Metrics: TEXT depth=x, , =3\r\nUsage-Percent: many\r\n"),
            Result.OK,
            "200",
        ),
    ],
)
def test_outcomes(written: bytes, result: Result, status: str) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with (
            Peer() as backend,
            running(script, known=whole_list(member("s-1", backend.port))) as front_door,
        ):
            client, to_front_door = await front_door.client()
            to_front_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(written)
            if written in (CLOSE, answer(200, b"yes")[:-1]):
                writer.close()
            assert (await read_message(client))[0].split()[1] == status
            [ended] = await script.wait_for(AttemptEnded)
            assert (ended.attempt_index, ended.server_id, ended.result) == (0, b"s-1", result)
            assert ended.request_ended is (result is Result.OK)
            assert backend.accepted.empty()  # no retry that the decision module has not requested

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_refused_connection_counts_as_not_connected() -> None:
    async with Peer() as backend:
        port = backend.port
    script = Script(send_all)  # the port is closed by now
    async with running(script, known=whole_list(member("s-1", port))) as front_door:
        assert (await front_door.call(ask()))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_CONNECTED]


@socket_test
async def test_a_connect_timeout_counts_as_not_connected() -> None:
    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # never accepts: with a full backlog, further connects hang
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = Script(send_all)
        async with running(script, known=whole_list(member("s-1", listener.getsockname()[1]))) as front_door:
            # The client's deadline is far away: only the connect timeout can end the attempt.
            assert (await front_door.call(ask(X_Expires_In="3000000m")))[0].split()[1] == "502"
            [ended] = await script.wait_for(AttemptEnded)
            assert ended.result is Result.NOT_CONNECTED and not front_door.program.pool.connections


@socket_test
async def test_an_attempt_to_an_unknown_backend_is_not_sent() -> None:
    script = Script(lambda event: send_all(event, b"s-2"))
    async with running(script, known=whole_list(member("s-1", 9))) as front_door:
        assert (await front_door.call(ask()))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]


@socket_test
async def test_load_report_and_usage_are_passed_to_the_decision_module() -> None:
    script = Script(send_all)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        _, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(
            answer(
                extra="Endpoint-Load-Metrics: TEXT mean_ms=8.5, load_share=0.25, depth=3\r\n"
                "Usage-Percent: 140\r\n"
            )
        )
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.usage_percent, ended.load_report) == (
            140,
            LoadReport(queued=3.0, busy=0.25, service_ms=8.5),
        )


@socket_test
async def test_an_attempt_timeout_closes_the_connection() -> None:
    def short(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b"s-1", 1_000_000)]
            if isinstance(event, RequestArrived)
            else send_all(event)
        )

    script = Script(short)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        assert (await read_message(client))[0].split()[1] == "502"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.result is Result.TIMED_OUT and not ended.request_ended
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_attempt_ends_at_the_clients_deadline() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask(X_Expires_In="1000m"))
        reader, _ = await backend.connection()
        assert int((await read_message(reader))[1]["x-expires-in"].removesuffix("m")) <= 1000
        # The decision module does not react: the front door must still answer the client.
        assert (await read_message(client))[0].split()[1] == "500"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.result is Result.TIMED_OUT
        await script.wait_for(RequestEnded)


@socket_test
async def test_the_first_successful_response_is_final_and_the_other_is_discarded() -> None:
    def twice(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b) for b in (b"s-1", b"s-2")]
            if isinstance(event, RequestArrived)
            else []
        )

    script = Script(twice)
    async with (
        Peer() as one,
        Peer() as two,
        running(script, known=whole_list(member("s-1", one.port), member("s-2", two.port))) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        (first, to_first), (second, to_second) = await one.connection(), await two.connection()
        await read_message(first)
        await read_message(second)
        to_second.write(answer(200, b"second"))
        assert (await read_message(client))[2] == b"second"
        to_first.write(answer(200, b"first"))
        ended = await script.wait_for(AttemptEnded, 2)
        assert [(e.attempt_index, e.result, e.request_ended) for e in ended] == [
            (1, Result.OK, True),
            (0, Result.OK, True),
        ]
        to_front_door.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert (await read_message(client))[2] == b"ready\n"  # the other response was not written
        assert not front_door.program.decision_loop.requests


@socket_test
async def test_an_attempt_that_is_still_connecting_sends_nothing_after_the_response() -> None:
    def twice(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b) for b in (b"s-1", b"s-2")]
            if isinstance(event, RequestArrived)
            else []
        )

    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # connects hang, as above
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = Script(twice)
        async with (
            Peer() as one,
            running(
                script, known=whole_list(member("s-1", one.port), member("s-2", listener.getsockname()[1]))
            ) as front_door,
        ):
            client, to_front_door = await front_door.client()
            to_front_door.write(ask())
            first, to_first = await one.connection()
            await read_message(first)
            to_first.write(answer(200, b"first"))
            assert (await read_message(client))[2] == b"first"
            ended = await script.wait_for(AttemptEnded, 2)
            assert {(e.attempt_index, e.result) for e in ended} == {(0, Result.OK), (1, Result.NOT_SENT)}
            assert (
                not front_door.program.decision_loop.requests
                and len(front_door.program.pool.connections) == 1
            )


@socket_test
async def test_cancelling_an_attempt_closes_its_connection() -> None:
    def cancel(event: Event) -> list[Action]:
        return [CancelAttempt(event.request_id, 0)] if isinstance(event, RequestEnded) else send_all(event)

    script = Script(cancel)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        _, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        to_front_door.transport.abort()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.result, ended.request_ended) == (Result.CANCELLED, True)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_idle_connection_closed_by_the_backend_is_not_reused() -> None:
    script = Script(send_all)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        writer.close()
        while front_door.program.pool.connections:
            await asyncio.sleep(0)
        to_front_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


class LateLoop:
    """The running event loop, but each connect times out just as it succeeds."""

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio.get_running_loop(), name)

    async def create_connection(self, *args: Any) -> None:
        await asyncio.get_running_loop().create_connection(*args)
        raise TimeoutError


@socket_test
async def test_a_connect_timeout_after_the_request_was_written_counts_as_connection_lost() -> None:
    ends: list[Result] = []
    async with Peer() as backend:
        pool = BackendPool(config(), 8, cast(asyncio.AbstractEventLoop, LateLoop()))
        attempt = Attempt(1, 0, b"s-1", 0, lambda attempt, result, answer: ends.append(result))
        attempt.address, attempt.payload = ("127.0.0.1", backend.port), ask()
        pool.send(attempt)
        await backend.connection()
        while not ends:
            await asyncio.sleep(0)
    assert ends == [Result.CONNECTION_LOST]


@socket_test
async def test_attempts_beyond_the_connection_limit_are_not_sent() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        front_door.program.pool.max_connections = 1
        _, first = await front_door.client()
        first.write(ask())
        await backend.connection()
        _, second = await front_door.client()
        second.write(ask(trace="a2"))
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]


@pytest.mark.parametrize("behind", [answer(200, b"stale"), b"noise", answer(200, b"stale")[:20]])
def test_bytes_after_a_response_are_not_taken_for_the_next_response(behind: bytes) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with (
            Peer() as backend,
            running(script, known=whole_list(member("s-1", backend.port))) as front_door,
        ):
            pool = front_door.program.pool
            pool.min_idle_s = 0.0
            client, to_front_door = await front_door.client()
            for n, together in enumerate((True, False)):
                to_front_door.write(ask(trace=f"a{n}"))
                reader, writer = await backend.connection()
                await read_message(reader)
                writer.write(answer(200, b"good") + (behind if together else b""))
                assert (await read_message(client))[2] == b"good"
                if not together:
                    idle = pool.idle[b"s-1"][0]
                    assert idle.is_idle_without_input()
                    os.write(writer.get_extra_info("socket").fileno(), behind)
                    assert not idle.is_idle_without_input()  # received, but not yet read by the event loop
            to_front_door.write(ask(trace="b1"))
            reader, writer = await backend.connection()  # a new connection each time
            assert (await read_message(reader))[1]["x-trace-id"] == "b1"
            writer.write(answer(200, b"mine"))
            assert (await read_message(client))[2] == b"mine"

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_connection_is_idle_for_a_minimum_time_before_reuse() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        front_door.program.pool.min_idle_s = 1e6
        client, to_front_door = await front_door.client()
        for trace in ("a1", "a2"):
            to_front_door.write(ask(trace=trace))
            reader, writer = await backend.connection()
            assert (await read_message(reader))[1]["x-trace-id"] == trace
            writer.write(answer())
            await read_message(client)


@socket_test
async def test_an_incomplete_response_ends_the_attempt_long_before_the_clients_deadline() -> None:
    script = Script(send_all)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        front_door.program.pool.stall_timeout_s = 0.02
        client, to_front_door = await front_door.client()
        to_front_door.write(ask(X_Expires_In="3000000m"))  # a deadline far away
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer()[:10])
        assert (await read_message(client))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.CONNECTION_LOST]


@socket_test
async def test_an_interim_response_does_not_start_the_stall_timeout() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        front_door.program.pool.stall_timeout_s = 0.0
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        connection = next(iter(front_door.program.pool.connections))
        writer.write(b"HTTP/1.1 102 X\r\n\r\n")
        while not connection.interim_count:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.write(answer(200, b"whole"))
        assert (await read_message(client))[2] == b"whole"


@socket_test
async def test_a_new_backend_at_a_former_address_gets_new_connections() -> None:
    async with (
        Peer() as backend,
        running(
            Script(lambda event: send_all(event, b"s-2" if getattr(event, "request_id", 0) > 1 else b"s-1")),
            known=whole_list(member("s-1", backend.port)),
        ) as front_door,
    ):
        front_door.program.pool.min_idle_s = 0.0
        client, to_front_door = await front_door.client()
        to_front_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        server_list, addresses = front_door.program.discovery.reader.read(
            whole_list(member("s-2", backend.port))
        )
        # The former backend still has a request.
        front_door.program.decision_loop.update_server_list(server_list, addresses)
        writer.write(answer(200, b"old"))
        assert (await read_message(client))[2] == b"old"
        assert await reader.read() == b""
        to_front_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


@socket_test
async def test_invalid_load_values_are_ignored() -> None:
    script = Script(send_all)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        _, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(
            answer(
                extra="Endpoint-Load-Metrics: TEXT mean_ms=1e8, load_share=100000000, depth=1e8, tps=-1\r\n"
            )
        )
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.result, ended.load_report) == (Result.OK, None)


@socket_test
async def test_a_closed_connection_leaves_no_reference_cycle() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        gc.disable()
        try:
            client, to_front_door = await front_door.client()
            to_front_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            held = weakref.ref(next(iter(front_door.program.pool.connections)))
            writer.write(answer())
            await read_message(client)
            writer.close()
            while held() is not None:  # freed by reference counting alone
                await asyncio.sleep(0)
        finally:
            gc.enable()


@socket_test
async def test_a_connection_closed_while_idle_lowers_the_idle_limit() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        pool = front_door.program.pool
        pool.min_idle_s = 0.0
        client, to_front_door = await front_door.client()
        to_front_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since -= 5.0
        to_front_door.write(ask(trace="a2"))
        await read_message(reader)
        writer.transport.abort()  # like a backend that closed the idle connection
        await read_message(client)
        assert 3.0 < pool.idle_limit_s < 5.0 < pool.max_idle_limit_s
        to_front_door.write(ask(trace="a3"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since -= 5.0
        to_front_door.write(ask(trace="a4"))
        reader, _ = await backend.connection()  # 5 s now exceed the idle limit
        assert (await read_message(reader))[1]["x-trace-id"] == "a4"
        for _ in range(1000):
            pool.update_idle_limit(pool.idle_limit_s, True)
        assert pool.idle_limit_s == pool.max_idle_limit_s
        pool.update_idle_limit(0.0, False)
        for _ in range(100):
            pool.raise_idle_limit()
        assert pool.idle_limit_s == pool.max_idle_limit_s


@socket_test
async def test_an_attempt_decided_while_its_request_ends_is_reported_as_ended() -> None:
    # A lost backend connection and the client's disconnect in one batch of events: the module retries
    # before it handles the end of the request. The attempt must not stay counted as in progress.
    async with Peer() as backend:
        known = whole_list(member("s-1", backend.port), member("s-2", backend.port))
        async with running(known=known) as front_door:
            _, to_front_door = await front_door.client()
            to_front_door.write(ask())
            await read_message((await backend.connection())[0])
            gateway, loop = front_door.program.decision_loop.decider, front_door.program.decision_loop
            assert isinstance(gateway, Gateway)
            [request] = list(loop.requests.values())
            request.attempts[0].finish(Result.CONNECTION_LOST)
            loop.client_disconnected(request.client)
            to_front_door.transport.abort()
            await asyncio.sleep(0.05)
            while gateway.requests or gateway.in_flight:
                await asyncio.sleep(0.001)
            assert not loop.requests and all(server.in_flight == 0 for server in gateway.servers.values())
