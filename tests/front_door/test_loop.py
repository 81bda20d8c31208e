"""The loop round the module: failures in it, and the way out."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from irisdeal.front_door.decisions.interface import (
    Action,
    Event,
    RejectRequest,
    RequestArrived,
    SetTimer,
    StartAttempt,
    TimerFired,
)
from irisdeal.front_door.server.config import ConfigError, load
from tests.support.fake_peers import (
    Peer,
    Script,
    answer,
    ask,
    member,
    read_message,
    running,
    send_all,
    settings,
    socket_test,
    whole_list,
)

HEALTH = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"


@socket_test
async def test_a_failing_decision_is_its_own_requests_failure() -> None:
    def fail_on_odd(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and event.account_id == 1:
            raise RuntimeError("out of luck")
        return [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []

    async with running(Script(fail_on_odd)) as door:
        reader, writer = await door.client()
        bad, good = ask(trace="b", Account="0000000000000001"), ask(Account="0000000000000002")
        writer.write(good + bad + ask(trace="c", Account="0000000000000002"))  # one batch for the module
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(3)]
        assert statuses == ["429", "500", "429"]
        assert (await door.call(good))[0].split()[1] == "429"


@socket_test
async def test_a_loop_that_stood_still_lets_the_module_answer_first() -> None:
    # Its wake and the door's guard are due in the same turn then; the guard's answer promises nothing.
    def due(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SetTimer(event.time_left_us - 4_000)]
        return [RejectRequest(1)] if isinstance(event, TimerFired) else []

    script = Script(due)
    async with running(script) as door:
        reader, writer = await door.client()
        writer.write(ask(X_Expires_In="60m"))
        await script.wait_for(RequestArrived)
        time.sleep(0.1)  # past the request's time and the grace: nothing of this loop runs meanwhile
        assert (await read_message(reader))[0].split()[1] == "429"


@socket_test
async def test_an_action_that_cannot_be_done_stops_no_other() -> None:
    def odd(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        actions: list[Any] = [
            StartAttempt(10**9, b"s-1"),
            RejectRequest(10**9),
            "no action",
            RejectRequest(event.request_id),
        ]
        return actions

    async with running(Script(odd)) as door:
        assert (await door.call(ask()))[0].split()[1] == "429"


@socket_test
async def test_draining_serves_what_still_comes_and_closes_after_answers() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        idle, to_idle = await door.client()
        to_idle.write(HEALTH)
        await read_message(idle)
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        door.program.stop()
        late, to_late = await door.client()  # a new connection after the signal
        to_late.write(ask(trace="a2"))
        reader2, writer2 = await backend.connection()
        await read_message(reader2)
        writer2.write(answer())
        line, headers, _ = await read_message(late)
        assert (line.split()[1], headers["connection"]) == ("200", "close")
        assert await late.read() == b""
        writer.write(answer())
        assert (await read_message(client))[1]["connection"] == "close"
        assert await idle.read() == b""  # closed once nothing more can come
        await door.program.finished.wait()


@socket_test
async def test_draining_answers_what_its_backend_does_not() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask())
        await backend.connection()
        door.program.stop()
        assert (await read_message(client))[0].split()[1] == "500"
        await door.program.finished.wait()


async def start(path: Path, told: object) -> asyncio.subprocess.Process:
    path.write_text(json.dumps(told))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "irisdeal",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path)},
    )


def test_sigterm_ends_the_process_with_0(tmp_path: Path) -> None:
    async def run() -> None:
        async with Peer() as discovery:
            door = await start(
                tmp_path / "config.json",
                {
                    "listen": f"127.0.0.1:{await free_port()}",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": "1f",
                    "settings": settings(),
                    "known": whole_list(member("s-1", 9)),
                },
            )
            await discovery.connection()  # it has started, and listens
            door.send_signal(signal.SIGTERM)
            _, errors = await door.communicate()
            assert door.returncode == 0, errors

    asyncio.run(run())


async def free_port() -> int:
    async with Peer() as peer:
        return peer.port


@pytest.mark.parametrize(
    ("told", "says"),
    [
        ({}, "settings are missing"),
        ({"settings": {"rank": 0}}, "discovery is missing"),
        ({"settings": settings(rank=7)}, "rank is 7"),
        ({"settings": settings(), "listen": "nowhere"}, "listen is 'nowhere'"),
        (
            {"settings": settings(), "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "xyz"},
            "seed is",
        ),
        ([], "wanted an object"),
    ],
)
def test_a_bad_configuration_is_one_plain_line_and_exit_2(told: object, says: str, tmp_path: Path) -> None:
    async def run() -> tuple[int | None, str]:
        door = await start(tmp_path / "config.json", told)
        _, errors = await door.communicate()
        return door.returncode, errors.decode()

    code, errors = asyncio.run(run())
    assert code == 2 and errors.count("\n") == 1 and says in errors


def test_the_environment_goes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()}))
    config = load({"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.1:3", "EDGE_NAME": "n7"})
    assert (config.listen[1], config.discovery[1], config.name) == (3, 2, "n7")
    assert (config.classes, config.plans) == (("look", "file"), ("basic", "metered"))
    assert config.zones == ("north", "south")
    with pytest.raises(ConfigError, match="not set"):
        load({})
