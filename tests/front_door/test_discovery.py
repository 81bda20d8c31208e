"""Client of discovery: the list is watched through errors, lost connections and moved backends."""

import asyncio

from irisdeal.front_door.decisions.interface import ServerList, ServerListKind, ServerState
from irisdeal.front_door.server.discovery_client import MAX_NAMES, MemberListReader
from tests.support.fake_peers import (
    Peer,
    Script,
    answer,
    as_json,
    ask,
    config,
    member,
    read_message,
    running,
    send_all,
    socket_test,
    whole_list,
)


def changes(revision: int, *members: dict[str, object]) -> bytes:
    return answer(200, as_json({"revision": revision, "complete": False, "members": list(members)}))


def full(revision: int, *members: dict[str, object]) -> bytes:
    return answer(200, as_json(whole_list(*members, revision=revision)))


@socket_test
async def test_the_known_list_is_used_at_first_and_watched_from_its_version() -> None:
    script = Script(lambda event: [])
    known = whole_list(member("s-1", 9), revision=40)
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}", known=known):
        reader, writer = await discovery.connection()
        assert (
            "index=40&" in (await read_message(reader))[0]
        )  # not a complete list, which has an entry for each backend
        writer.write(full(41, member("s-1", 9), member("s-2", 9, up_since_ms=1_700_000_000_123)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(changes(43, member("s-1", 9, phase="Terminating"), {"id": "s-2", "phase": "Gone"}))
        assert "index=43&" in (await read_message(reader))[0]
        lists = await script.wait_for(ServerList, 3)
        assert [t.kind for t in lists] == [
            ServerListKind.CACHED,
            ServerListKind.COMPLETE,
            ServerListKind.CHANGES,
        ]
        assert [e.started_at for e in lists[1].entries] == [0, 1_700_000_000_123_000]
        assert [e.state for e in lists[2].entries] == [ServerState.DRAINING, ServerState.GONE]


@socket_test
async def test_after_invalid_responses_the_complete_list_is_requested() -> None:
    invalid_responses = [
        answer(500),
        answer(200, b"{"),
        answer(200, b"[]"),
        answer(200, b'{"revision":"x","members":[]}'),
        b"nonsense\r\n\r\n",
        changes(7),
        b"",
    ]
    script = Script(lambda event: [])
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}"):
        for n, response in enumerate(invalid_responses):
            reader, writer = await discovery.connection()
            assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")
            writer.write(full(50 + n, member("s-1", 9)))
            assert f"index={50 + n}&" in (await read_message(reader))[0]
            writer.write(response or b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(3, {"id": 5}, member("s-1", 9), member("s-2", 9, phase="Dancing")))
        assert "index=3&" in (await read_message(reader))[0]  # a restarted discovery has its own versions
        last = (await script.wait_for(ServerList, len(invalid_responses) + 2))[-1]
        assert [(e.server_id, e.state) for e in last.entries] == [
            (b"s-1", ServerState.READY),
            (b"s-2", ServerState.DRAINING),
        ]


@socket_test
async def test_an_overload_response_keeps_the_list_its_version_and_the_connection() -> None:
    script = Script(lambda event: [])
    known = whole_list(member("s-1", 9), revision=40)
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}", known=known):
        reader, writer = await discovery.connection()
        for status, extra in ((503, ""), (429, "Retry-After: 0.01\r\n"), (503, "Retry-After: soon\r\n")):
            assert "index=40&" in (await read_message(reader))[0]
            writer.write(answer(status, b"too much", extra))
        assert "index=40&" in (await read_message(reader))[0]
        writer.write(changes(41, member("s-2", 9)))
        lists = await script.wait_for(ServerList, 2)
        assert [t.kind for t in lists] == [ServerListKind.CACHED, ServerListKind.CHANGES]


@socket_test
async def test_with_an_invalid_known_list_the_complete_list_is_requested() -> None:
    async with (
        Peer() as discovery,
        running(discovery=f"127.0.0.1:{discovery.port}", known={"revision": "x", "members": []}),
    ):
        reader, _ = await discovery.connection()
        assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")


@socket_test
async def test_a_lost_watch_resumes_from_its_version() -> None:
    async with Peer() as discovery, running(discovery=f"127.0.0.1:{discovery.port}"):
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9)))
        await read_message(reader)
        writer.transport.abort()
        reader, writer = await discovery.connection()
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_a_changed_backend_address_is_used() -> None:
    script = Script(send_all)
    async with (
        Peer() as discovery,
        Peer() as old,
        Peer() as new,
        running(
            script, discovery=f"127.0.0.1:{discovery.port}", known=whole_list(member("s-1", old.port))
        ) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await old.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        to_agent, agent = await discovery.connection()
        await read_message(to_agent)
        agent.write(full(5, member("s-1", new.port)))
        await read_message(to_agent)
        assert await reader.read() == b""  # the connection to the old address is closed
        to_front_door.write(ask(trace="a2"))
        reader, writer = await new.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


def test_the_number_of_zone_and_kind_names_is_bounded() -> None:
    reader = MemberListReader(config())
    for n in range(1000):
        server_list, _ = reader.read(whole_list(member("s-1", 9, locality=f"z{n}", flavor=f"k{n}")))
        [entry] = server_list.entries
        assert (entry.zone, entry.machine_kind) == (min(2 + n, MAX_NAMES), min(1 + n, MAX_NAMES))
    assert len(reader.zones) == len(reader.kinds) == MAX_NAMES


@socket_test
async def test_without_discovery_the_known_list_is_used() -> None:
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as front_door:
        _, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, _ = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "ab12"
        await asyncio.sleep(0)
