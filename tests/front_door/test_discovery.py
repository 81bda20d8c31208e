"""The list and its watch go on through errors, silence and jumps."""

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
async def test_what_is_known_is_remembered_then_kept_by_a_watch_from_it() -> None:
    script = Script(lambda event: [])
    known = whole_list(member("s-1", 9), revision=40)
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}", known=known):
        reader, writer = await discovery.connection()
        assert "index=40&" in (await read_message(reader))[0]  # a whole list would cost a line for each box
        writer.write(full(41, member("s-1", 9), member("s-2", 9, up_since_ms=1_700_000_000_123)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(changes(43, member("s-1", 9, phase="Terminating"), {"id": "s-2", "phase": "Gone"}))
        assert "index=43&" in (await read_message(reader))[0]
        told = await script.wait_for(ServerList, 3)
        assert [t.kind for t in told] == [
            ServerListKind.CACHED,
            ServerListKind.COMPLETE,
            ServerListKind.CHANGES,
        ]
        assert [e.started_at for e in told[1].entries] == [0, 1_700_000_000_123_000]
        assert [e.state for e in told[2].entries] == [ServerState.DRAINING, ServerState.GONE]


@socket_test
async def test_oddities_lead_back_to_the_whole_list() -> None:
    odd = [
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
        for n, bad in enumerate(odd):
            reader, writer = await discovery.connection()
            assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")
            writer.write(full(50 + n, member("s-1", 9)))
            assert f"index={50 + n}&" in (await read_message(reader))[0]
            writer.write(bad or b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(3, {"id": 5}, member("s-1", 9), member("s-2", 9, phase="Dancing")))
        assert "index=3&" in (await read_message(reader))[0]  # discovery began anew: its version counts
        last = (await script.wait_for(ServerList, len(odd) + 2))[-1]
        assert [(e.server_id, e.state) for e in last.entries] == [
            (b"s-1", ServerState.READY),
            (b"s-2", ServerState.DRAINING),
        ]


@socket_test
async def test_a_refusal_keeps_the_list_its_version_and_the_connection() -> None:
    script = Script(lambda event: [])
    known = whole_list(member("s-1", 9), revision=40)
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}", known=known):
        reader, writer = await discovery.connection()
        for status, extra in ((503, ""), (429, "Retry-After: 0.01\r\n"), (503, "Retry-After: soon\r\n")):
            assert "index=40&" in (await read_message(reader))[0]
            writer.write(answer(status, b"too much", extra))
        assert "index=40&" in (await read_message(reader))[0]
        writer.write(changes(41, member("s-2", 9)))
        told = await script.wait_for(ServerList, 2)
        assert [t.kind for t in told] == [ServerListKind.CACHED, ServerListKind.CHANGES]


@socket_test
async def test_a_known_list_that_cannot_be_read_is_no_ground_for_a_watch() -> None:
    async with (
        Peer() as discovery,
        running(discovery=f"127.0.0.1:{discovery.port}", known={"revision": "x", "members": []}),
    ):
        reader, _ = await discovery.connection()
        assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")


@socket_test
async def test_a_broken_watch_begins_again_where_it_was() -> None:
    async with Peer() as discovery, running(discovery=f"127.0.0.1:{discovery.port}"):
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9)))
        await read_message(reader)
        writer.transport.abort()
        reader, writer = await discovery.connection()
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_an_address_that_changes_is_followed() -> None:
    script = Script(send_all)
    async with (
        Peer() as discovery,
        Peer() as old,
        Peer() as new,
        running(
            script, discovery=f"127.0.0.1:{discovery.port}", known=whole_list(member("s-1", old.port))
        ) as door,
    ):
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await old.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        to_agent, agent = await discovery.connection()
        await read_message(to_agent)
        agent.write(full(5, member("s-1", new.port)))
        await read_message(to_agent)
        assert await reader.read() == b""  # the connection to the old address is closed
        to_door.write(ask(trace="a2"))
        reader, writer = await new.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


def test_names_that_are_ever_new_do_not_fill_the_memory() -> None:
    reader = MemberListReader(config())
    for n in range(1000):
        told, _ = reader.read(whole_list(member("s-1", 9, locality=f"z{n}", flavor=f"k{n}")))
        [entry] = told.entries
        assert (entry.zone, entry.machine_kind) == (min(2 + n, MAX_NAMES), min(1 + n, MAX_NAMES))
    assert len(reader.zones) == len(reader.kinds) == MAX_NAMES


@socket_test
async def test_no_discovery_at_all_leaves_the_remembered_list() -> None:
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "ab12"
        await asyncio.sleep(0)
