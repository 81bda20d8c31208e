"""The decision loop: errors in the decision module, drain, start and exit codes of the process."""

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
async def test_a_failed_decision_fails_only_its_own_request() -> None:
    def fail_on_odd(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and event.account_id == 1:
            raise RuntimeError("out of luck")
        return [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []

    async with running(Script(fail_on_odd)) as front_door:
        reader, writer = await front_door.client()
        bad, good = ask(trace="b", Account="0000000000000001"), ask(Account="0000000000000002")
        writer.write(good + bad + ask(trace="c", Account="0000000000000002"))  # one batch of events
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(3)]
        assert statuses == ["429", "500", "429"]
        assert (await front_door.call(good))[0].split()[1] == "429"


@socket_test
async def test_after_a_stall_of_the_event_loop_the_decision_module_answers_first() -> None:
    # The module's timer and the deadline timer are due together; only the module's answer allows a retry.
    def due(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SetTimer(event.time_left_us - 4_000)]
        return [RejectRequest(1)] if isinstance(event, TimerFired) else []

    script = Script(due)
    async with running(script) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask(X_Expires_In="60m"))
        await script.wait_for(RequestArrived)
        time.sleep(0.1)  # blocks the event loop past the deadline and the grace period
        assert (await read_message(reader))[0].split()[1] == "429"


@socket_test
async def test_an_action_that_fails_does_not_affect_the_others() -> None:
    def with_invalid_actions(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        actions: list[Any] = [
            StartAttempt(10**9, b"s-1"),
            RejectRequest(10**9),
            "no action",
            RejectRequest(event.request_id),
        ]
        return actions

    async with running(Script(with_invalid_actions)) as front_door:
        assert (await front_door.call(ask()))[0].split()[1] == "429"


@socket_test
async def test_draining_serves_further_requests_and_closes_connections_after_responses() -> None:
    script = Script(send_all)
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        idle, to_idle = await front_door.client()
        to_idle.write(HEALTH)
        await read_message(idle)
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        front_door.program.stop()
        late, to_late = await front_door.client()  # a new connection during the drain
        to_late.write(ask(trace="a2"))
        reader2, writer2 = await backend.connection()
        await read_message(reader2)
        writer2.write(answer())
        line, headers, _ = await read_message(late)
        assert (line.split()[1], headers["connection"]) == ("200", "close")
        assert await late.read() == b""
        writer.write(answer())
        assert (await read_message(client))[1]["connection"] == "close"
        assert await idle.read() == b""  # closed at the end of the drain
        await front_door.program.finished.wait()


@socket_test
async def test_draining_answers_requests_that_a_backend_does_not_answer() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(script, known=whole_list(member("s-1", backend.port))) as front_door,
    ):
        client, to_front_door = await front_door.client()
        to_front_door.write(ask())
        await backend.connection()
        front_door.program.stop()
        assert (await read_message(client))[0].split()[1] == "500"
        await front_door.program.finished.wait()


async def start(path: Path, document: object) -> asyncio.subprocess.Process:
    path.write_text(json.dumps(document))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "irisdeal",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path)},
    )


def test_sigterm_ends_the_process_with_exit_code_0(tmp_path: Path) -> None:
    async def run() -> None:
        async with Peer() as discovery:
            front_door = await start(
                tmp_path / "config.json",
                {
                    "listen": f"127.0.0.1:{await free_port()}",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": "1f",
                    "settings": settings(),
                    "known": whole_list(member("s-1", 9)),
                },
            )
            await discovery.connection()  # started and listening
            front_door.send_signal(signal.SIGTERM)
            _, errors = await front_door.communicate()
            assert front_door.returncode == 0, errors

    asyncio.run(run())


async def free_port() -> int:
    async with Peer() as peer:
        return peer.port


@pytest.mark.parametrize(
    ("document", "message"),
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
def test_an_invalid_configuration_prints_one_line_and_exits_with_2(
    document: object, message: str, tmp_path: Path
) -> None:
    async def run() -> tuple[int | None, str]:
        front_door = await start(tmp_path / "config.json", document)
        _, errors = await front_door.communicate()
        return front_door.returncode, errors.decode()

    code, errors = asyncio.run(run())
    assert code == 2 and errors.count("\n") == 1 and message in errors


def test_environment_variables_take_precedence_over_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()}))
    config = load({"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.1:3", "EDGE_NAME": "n7"})
    assert (config.listen[1], config.discovery[1], config.name) == (3, 2, "n7")
    assert (config.classes, config.plans) == (("look", "file"), ("basic", "metered"))
    assert config.zones == ("north", "south")
    with pytest.raises(ConfigError, match="not set"):
        load({})
