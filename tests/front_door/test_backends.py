"""Each attempt ends in exactly one outcome of the protocol's table."""

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

CLOSE = b""  # the connection ends


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
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(written)
            if written in (CLOSE, answer(200, b"yes")[:-1]):
                writer.close()
            assert (await read_message(client))[0].split()[1] == status
            [ended] = await script.wait_for(AttemptEnded)
            assert (ended.attempt_index, ended.server_id, ended.result) == (0, b"s-1", result)
            assert ended.request_ended is (result is Result.OK)
            assert backend.accepted.empty()  # nothing is sent again behind the module's back

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_refused_connection_never_ran() -> None:
    async with Peer() as backend:
        port = backend.port
    script = Script(send_all)  # nobody listens any more
    async with running(script, known=whole_list(member("s-1", port))) as door:
        assert (await door.call(ask()))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_CONNECTED]


@socket_test
async def test_a_connection_that_never_comes_up_never_ran() -> None:
    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # nobody accepts: once its line is full, the kernel lets further calls hang
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = Script(send_all)
        async with running(script, known=whole_list(member("s-1", listener.getsockname()[1]))) as door:
            # The client has time without end: only the connect time-out can end this.
            assert (await door.call(ask(X_Expires_In="3000000m")))[0].split()[1] == "502"
            [ended] = await script.wait_for(AttemptEnded)
            assert ended.result is Result.NOT_CONNECTED and not door.program.pool.connections


@socket_test
async def test_a_backend_never_named_gets_nothing() -> None:
    script = Script(lambda event: send_all(event, b"s-2"))
    async with running(script, known=whole_list(member("s-1", 9))) as door:
        assert (await door.call(ask()))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]


@socket_test
async def test_load_and_usage_reach_the_module() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
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
async def test_the_attempts_time_out_ends_it_and_closes_its_connection() -> None:
    def short(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b"s-1", 1_000_000)]
            if isinstance(event, RequestArrived)
            else send_all(event)
        )

    script = Script(short)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        assert (await read_message(client))[0].split()[1] == "502"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.result is Result.TIMED_OUT and not ended.request_ended
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_attempt_never_outlives_its_clients_time() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask(X_Expires_In="1000m"))
        reader, _ = await backend.connection()
        assert int((await read_message(reader))[1]["x-expires-in"].removesuffix("m")) <= 1000
        # The module stays silent: the door still owes the client one final answer.
        assert (await read_message(client))[0].split()[1] == "500"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.result is Result.TIMED_OUT
        await script.wait_for(RequestEnded)


@socket_test
async def test_the_first_good_answer_is_final_and_the_loser_is_drained() -> None:
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
        running(script, known=whole_list(member("s-1", one.port), member("s-2", two.port))) as door,
    ):
        client, to_door = await door.client()
        to_door.write(ask())
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
        to_door.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert (await read_message(client))[2] == b"ready\n"  # the loser's body was never written
        assert not door.program.decision_loop.requests


@socket_test
async def test_an_attempt_whose_connection_still_comes_up_sends_nothing_behind_the_answer() -> None:
    def twice(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b) for b in (b"s-1", b"s-2")]
            if isinstance(event, RequestArrived)
            else []
        )

    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # its connection hangs, as above
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = Script(twice)
        async with (
            Peer() as one,
            running(
                script, known=whole_list(member("s-1", one.port), member("s-2", listener.getsockname()[1]))
            ) as door,
        ):
            client, to_door = await door.client()
            to_door.write(ask())
            first, to_first = await one.connection()
            await read_message(first)
            to_first.write(answer(200, b"first"))
            assert (await read_message(client))[2] == b"first"
            ended = await script.wait_for(AttemptEnded, 2)
            assert {(e.attempt_index, e.result) for e in ended} == {(0, Result.OK), (1, Result.NOT_SENT)}
            assert not door.program.decision_loop.requests and len(door.program.pool.connections) == 1


@socket_test
async def test_a_cancel_closes_the_attempts_connection() -> None:
    def cancel(event: Event) -> list[Action]:
        return [CancelAttempt(event.request_id, 0)] if isinstance(event, RequestEnded) else send_all(event)

    script = Script(cancel)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        to_door.transport.abort()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.result, ended.request_ended) == (Result.CANCELLED, True)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_idle_connection_that_the_backend_closed_is_not_used() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        writer.close()
        while door.program.pool.connections:
            await asyncio.sleep(0)
        to_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


class LateLoop:
    """The running loop, but each connection comes up just as its time runs out."""

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio.get_running_loop(), name)

    async def create_connection(self, *args: Any) -> None:
        await asyncio.get_running_loop().create_connection(*args)
        raise TimeoutError


@socket_test
async def test_a_connection_in_its_last_moment_may_have_carried_the_request() -> None:
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
async def test_more_attempts_than_connections_are_not_sent_and_no_backends_fault() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        door.program.pool.max_connections = 1
        _, first = await door.client()
        first.write(ask())
        await backend.connection()
        _, second = await door.client()
        second.write(ask(trace="a2"))
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]


@pytest.mark.parametrize("behind", [answer(200, b"stale"), b"noise", answer(200, b"stale")[:20]])
def test_bytes_behind_an_answer_never_answer_the_next_request(behind: bytes) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            pool = door.program.pool
            pool.min_idle_s = 0.0
            client, to_door = await door.client()
            for n, together in enumerate((True, False)):
                to_door.write(ask(trace=f"a{n}"))
                reader, writer = await backend.connection()
                await read_message(reader)
                writer.write(answer(200, b"good") + (behind if together else b""))
                assert (await read_message(client))[2] == b"good"
                if not together:
                    resting = pool.idle[b"s-1"][0]
                    assert resting.is_idle_without_input()
                    os.write(writer.get_extra_info("socket").fileno(), behind)
                    assert (
                        not resting.is_idle_without_input()
                    )  # it has come, and the loop has not read it yet
            to_door.write(ask(trace="b1"))
            reader, writer = await backend.connection()  # a new one, each time
            assert (await read_message(reader))[1]["x-trace-id"] == "b1"
            writer.write(answer(200, b"mine"))
            assert (await read_message(client))[2] == b"mine"

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_connection_rests_before_it_is_used_again() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        door.program.pool.min_idle_s = 1e6
        client, to_door = await door.client()
        for trace in ("a1", "a2"):
            to_door.write(ask(trace=trace))
            reader, writer = await backend.connection()
            assert (await read_message(reader))[1]["x-trace-id"] == trace
            writer.write(answer())
            await read_message(client)


@socket_test
async def test_an_answer_that_stops_half_way_ends_its_attempt_long_before_the_clients_time() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        door.program.pool.stall_timeout_s = 0.02
        client, to_door = await door.client()
        to_door.write(ask(X_Expires_In="3000000m"))  # time without end
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer()[:10])
        assert (await read_message(client))[0].split()[1] == "502"
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.CONNECTION_LOST]


@socket_test
async def test_an_interim_answer_is_no_answer_that_stopped() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        door.program.pool.stall_timeout_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        connection = next(iter(door.program.pool.connections))
        writer.write(b"HTTP/1.1 102 X\r\n\r\n")
        while not connection.interim_count:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.write(answer(200, b"whole"))
        assert (await read_message(client))[2] == b"whole"


@socket_test
async def test_a_new_backend_at_an_old_address_gets_no_connection_of_the_old_one() -> None:
    async with (
        Peer() as backend,
        running(
            Script(lambda event: send_all(event, b"s-2" if getattr(event, "request_id", 0) > 1 else b"s-1")),
            known=whole_list(member("s-1", backend.port)),
        ) as door,
    ):
        door.program.pool.min_idle_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        told, places = door.program.discovery.reader.read(whole_list(member("s-2", backend.port)))
        door.program.decision_loop.update_server_list(told, places)  # while the old one still has a request
        writer.write(answer(200, b"old"))
        assert (await read_message(client))[2] == b"old"
        assert await reader.read() == b""
        to_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


@socket_test
async def test_absurd_load_is_not_believed() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
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
async def test_a_closed_connection_leaves_nothing_for_the_collector() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        gc.disable()
        try:
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            held = weakref.ref(next(iter(door.program.pool.connections)))
            writer.write(answer())
            await read_message(client)
            writer.close()
            while held() is not None:  # by counting references alone
                await asyncio.sleep(0)
        finally:
            gc.enable()


@socket_test
async def test_a_connection_found_dead_shortens_the_rest_of_the_others() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        pool = door.program.pool
        pool.min_idle_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since -= 5.0
        to_door.write(ask(trace="a2"))
        await read_message(reader)
        writer.transport.abort()  # as a peer that had forgotten the connection
        await read_message(client)
        assert 3.0 < pool.idle_limit_s < 5.0 < pool.max_idle_limit_s
        to_door.write(ask(trace="a3"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since -= 5.0
        to_door.write(ask(trace="a4"))
        reader, _ = await backend.connection()  # five seconds are too long by now
        assert (await read_message(reader))[1]["x-trace-id"] == "a4"
        for _ in range(1000):
            pool.update_idle_limit(pool.idle_limit_s, True)
        assert pool.idle_limit_s == pool.max_idle_limit_s
        pool.update_idle_limit(0.0, False)
        for _ in range(100):
            pool.raise_idle_limit()
        assert pool.idle_limit_s == pool.max_idle_limit_s


@socket_test
async def test_an_attempt_decided_as_its_request_ends_does_not_stay_out_for_good() -> None:
    # A backend's break and its client's leaving heard in one turn: the module tries again, and then hears
    # that the request has ended.
    async with Peer() as backend:
        known = whole_list(member("s-1", backend.port), member("s-2", backend.port))
        async with running(known=known) as door:
            _, to_door = await door.client()
            to_door.write(ask())
            await read_message((await backend.connection())[0])
            gateway, loop = door.program.decision_loop.decider, door.program.decision_loop
            assert isinstance(gateway, Gateway)
            [request] = list(loop.requests.values())
            request.attempts[0].finish(Result.CONNECTION_LOST)
            loop.client_disconnected(request.client)
            to_door.transport.abort()
            await asyncio.sleep(0.05)
            while gateway.requests or gateway.in_flight:
                await asyncio.sleep(0.001)
            assert not loop.requests and all(server.in_flight == 0 for server in gateway.servers.values())
