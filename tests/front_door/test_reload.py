"""Reload: discovery and the counter move to other addresses while requests are open."""

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from irisdeal.front_door.decisions.interface import AddToCounter, CounterAnswered, Result, ServerList
from tests.front_door.test_loop import free_port, start
from tests.support.fake_peers import (
    Peer,
    Script,
    answer,
    as_json,
    member,
    read_message,
    running,
    settings,
    socket_test,
    whole_list,
)

COUNTED = settings(family_info={"shared_counter": True, "count_wait_us": 5_000_000})


def document(discovery: Peer, counter: Peer, **changes: Any) -> dict[str, Any]:
    return {
        "listen": "127.0.0.1:9",
        "discovery": f"127.0.0.1:{discovery.port}",
        "counter": f"127.0.0.1:{counter.port}",
        "seed": "1f",
        "settings": COUNTED,
        **changes,
    }


@socket_test
async def test_a_moved_discovery_is_asked_for_the_complete_list_and_the_former_one_disconnected() -> None:
    script = Script(lambda event: [])
    async with Peer() as old, Peer() as new, running(script, discovery=f"127.0.0.1:{old.port}") as front_door:
        reader, writer = await old.connection()
        await read_message(reader)
        writer.write(answer(200, as_json(whole_list(member("s-1", 9), revision=41))))
        await read_message(reader)
        for _ in range(3):  # several moves in a row
            front_door.program.discovery.move(("127.0.0.1", new.port))
        assert await reader.read() == b""  # the former watch ends at once
        assert front_door.program.decision_loop.addresses == {
            b"s-1": ("127.0.0.1", 9)
        }  # the list stays in use
        while True:  # connections of the earlier moves are closed without a call
            to_new, agent = await new.connection()
            if line := await to_new.readline():
                break
        assert line == b"GET /catalog/members HTTP/1.1\r\n"  # each discovery has its own versions
        await to_new.readuntil(b"\r\n\r\n")
        agent.write(answer(200, as_json(whole_list(member("s-2", 9), revision=3))))
        assert "index=3&" in (await read_message(to_new))[0]
        assert [e.server_id for e in (await script.wait_for(ServerList, 3))[-1].entries] == [b"s-2"]


@socket_test
async def test_a_written_call_ends_at_the_former_counter_and_is_not_repeated() -> None:
    script = Script(lambda event: [])
    async with (
        Peer() as old,
        Peer() as new,
        running(script, settings=COUNTED, counter=f"127.0.0.1:{old.port}") as front_door,
    ):
        count = front_door.program.decision_loop._apply
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await old.connection()
        await reader.readuntil(b"\r\n")
        front_door.program.decision_loop.move_counter(("127.0.0.1", new.port))
        count(AddToCounter(1, 2.0, 1000))
        to_new, counter = await new.connection()
        assert await to_new.readuntil(b"\r\n") == b"tally 1 2 1\r\n"  # the first call is not repeated
        writer.write(b"ok 1\r\n")
        assert await reader.read() == b""  # closed once no call is pending
        counter.write(b"ok 3\r\n")
        ends = await script.wait_for(CounterAnswered, 2)
        assert [(e.result, e.total) for e in ends] == [(Result.OK, 1.0), (Result.OK, 3.0)]


@socket_test
async def test_a_call_that_is_not_written_yet_goes_to_the_new_counter() -> None:
    script = Script(lambda event: [])
    async with (
        Peer() as old,
        Peer() as new,
        running(script, settings=COUNTED, counter=f"127.0.0.1:{old.port}") as front_door,
    ):
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        front_door.program.decision_loop.move_counter(("127.0.0.1", new.port))
        reader, writer = await new.connection()
        assert await reader.readuntil(b"\r\n") == b"tally 1 1 1\r\n"
        writer.write(b"ok 1\r\n")
        assert [e.result for e in await script.wait_for(CounterAnswered)] == [Result.OK]


@socket_test
async def test_the_connection_to_an_unresponsive_former_counter_is_closed() -> None:
    script = Script(lambda event: [])
    async with (
        Peer() as old,
        Peer() as new,
        running(script, settings=COUNTED, counter=f"127.0.0.1:{old.port}") as front_door,
    ):
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, _ = await old.connection()
        await reader.readuntil(b"\r\n")
        front_door.program.decision_loop.move_counter(("127.0.0.1", new.port))
        assert await reader.read() == b""
        assert [e.result for e in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]


def test_sighup_reloads_the_configuration_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "config.json"

    async def run() -> None:
        async with Peer() as old, Peer() as new, Peer() as counter:
            monkeypatch.setitem(os.environ, "EDGE_DISCOVERY", f"127.0.0.1:{old.port}")
            listen = f"127.0.0.1:{await free_port()}"
            front_door = await start(path, document(old, counter, listen=listen))
            assert front_door.stderr is not None
            await old.connection()  # started
            path.write_text("{")
            front_door.send_signal(signal.SIGHUP)
            while b"keeping the old configuration" not in await front_door.stderr.readline():
                pass
            path.write_text(json.dumps(document(new, counter, listen=listen)))
            front_door.send_signal(signal.SIGHUP)
            reader, _ = await new.connection()  # on a reload the file takes precedence over the variable
            assert await reader.readline() == b"GET /catalog/members HTTP/1.1\r\n"
            front_door.send_signal(signal.SIGTERM)
            front_door.send_signal(signal.SIGHUP)  # during the drain
            await front_door.communicate()
            assert front_door.returncode == 0

    asyncio.run(run())


@socket_test
async def test_sighup_while_the_first_description_is_read_is_handled_afterwards() -> None:
    """SIGHUP used to be ignored until the handler was installed, and a test of real processes hung."""

    class Reading:
        async def load_first(self) -> None:
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0)
            assert not program.finished.is_set()  # not before the table is loaded

        def stop(self) -> None:
            pass

    script = Script(lambda event: [])
    async with Peer() as agent, running(script, discovery=f"127.0.0.1:{agent.port}") as front_door:
        program = front_door.program
        program.router = Reading()  # type: ignore[assignment]
        program.reload = program.finished.set  # type: ignore[method-assign]
        program.start = lambda: None  # type: ignore[method-assign]
        former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        try:
            await program.run()
        finally:
            asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
            signal.signal(signal.SIGHUP, former)
            program.router = None
