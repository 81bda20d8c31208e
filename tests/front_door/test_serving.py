"""Requests through the front door, on sockets."""

import asyncio

from tests.support.fake_peers import (
    Peer,
    answer,
    as_json,
    ask,
    member,
    read_message,
    running,
    socket_test,
    whole_list,
)


@socket_test
async def test_a_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as front_door:
        client, to_front_door = await front_door.client()
        to_front_door.write(ask("file", Content_Length="5") + b"claim")
        reader, writer = await backend.connection()
        line, headers, body = await read_message(reader)
        assert line == "POST /api?q=1 HTTP/1.1"
        assert (headers["x-trace-id"], headers["idempotency-key"], body) == ("ab12", "k1", b"claim")
        assert 0 < int(headers["x-expires-in"].removesuffix("m")) < 9000
        writer.write(answer(200, b"filed"))
        line, _, body = await read_message(client)
        assert (line, body) == ("HTTP/1.1 200 OK", b"filed")


@socket_test
async def test_the_health_check_fails_until_a_server_list_is_received() -> None:
    async with Peer() as discovery, running(discovery=f"127.0.0.1:{discovery.port}") as front_door:
        health = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
        assert (await front_door.call(health))[0].startswith("HTTP/1.1 503")
        reader, writer = await discovery.connection()
        assert (await read_message(reader))[0] == "GET /catalog/members HTTP/1.1"
        writer.write(answer(200, as_json(whole_list(member("s-1", 9), revision=41))))
        assert (await read_message(reader))[0].startswith("GET /catalog/members?index=41&wait=")
        assert (await front_door.call(health))[0].startswith("HTTP/1.1 200")


@socket_test
async def test_a_request_is_released_after_its_client_disconnects() -> None:
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as front_door:
        _, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        to_front_door.transport.abort()
        writer.write(answer())
        while front_door.program.decision_loop.requests:
            await asyncio.sleep(0)
        assert front_door.program.decision_loop.unanswered_count == 0


@socket_test
async def test_a_backend_connection_is_reused() -> None:
    # The parser reports only during its callback whether the connection stays open.
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as front_door:
        front_door.program.pool.min_idle_s = 0.0
        client, to_front_door = await front_door.client()
        to_front_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        for trace in ("a1", "a2"):
            assert (await read_message(reader))[1]["x-trace-id"] == trace
            writer.write(answer())
            assert (await read_message(client))[2] == b"done"
            to_front_door.write(ask(trace="a2"))
        assert backend.accepted.empty()
