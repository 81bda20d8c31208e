"""Tests of a gateway's report on its socket, and of `irisdeal queues top` over several gateways."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import stat
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from irisdeal.cli.main import main
from irisdeal.front_door.queueing.reports import InvalidReportError, parse_report, top_accounts
from irisdeal.front_door.server.config import ConfigError
from irisdeal.front_door.server.report import MAX_READERS
from tests.support.fake_peers import (
    Peer,
    answer,
    ask,
    config,
    member,
    read_message,
    running,
    socket_test,
    whole_list,
)


def report(name: str = "n0", asked: int = 10, **stores: float) -> dict[str, Any]:
    """Return a report in which stores have these shares."""
    return {
        "version": 1,
        "name": name,
        "out": 3,
        "window": 16.0,
        "queue": {"entries": 4, "bytes": 2048, "flows": 2, "given_way": 1},
        "watch": {
            "asked": asked,
            "sent": 5,
            "refused": 5,
            "advice_heeded": 1,
            "advice_ignored": 2,
            "stores": [
                {
                    "customer": key,
                    "plan_name": "mall",
                    "share": share,
                    "asked": 8,
                    "sent": 4,
                    "refused": 4,
                    "mean_wait_ms": 12.5,
                    "longest_wait_ms": 90.0,
                    "advice_heeded": 1,
                    "advice_ignored": 2,
                }
                for key, share in stores.items()
            ],
        },
    }


async def fetch(path: Path) -> dict[str, Any]:
    reader, writer = await asyncio.open_unix_connection(str(path))
    text = await reader.read()
    writer.close()
    return dict(json.loads(text))


def test_the_report_of_a_gateway_counts_the_requests_of_its_stores(tmp_path: Path) -> None:
    where = tmp_path / "n0.sock"

    @socket_test
    async def run() -> None:
        async with (
            Peer() as backend,
            running(known=whole_list(member("s-1", backend.port)), report=str(where)) as door,
        ):
            await door.program.start_report()
            assert stat.S_IMODE(os.stat(where).st_mode) == 0o600  # it contains customer data
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            summary = await fetch(where)
            assert (summary["name"], summary["open"], summary["out"]) == ("n0", 1, 1)
            writer.write(answer())
            await read_message(client)
            store = (await fetch(where))["watch"]["stores"][0]
            assert (store["customer"], store["plan_name"]) == ("00000000b4d65521", "basic")
            assert (store["asked"], store["sent"], store["refused"], store["share"]) == (1, 1, 0, 1.0)
            assert store["longest_wait_ms"] < 5_000
            assert door.program.report is not None
            door.program.report.stop()
            assert not where.exists()

    run()


def test_a_refusal_is_in_the_report(tmp_path: Path) -> None:
    where = tmp_path / "n0.sock"

    @socket_test
    async def run() -> None:
        async with running(known=whole_list(), report=str(where)) as door:
            await door.program.start_report()
            line, _, _ = await door.call(ask(X_Expires_In="300m"))
            assert line.startswith("HTTP/1.1 429")
            summary = (await fetch(where))["watch"]
            assert (summary["refused"], summary["stores"][0]["refused"]) == (1, 1)

    run()


def test_report_connections_are_bounded(tmp_path: Path) -> None:
    where = tmp_path / "n0.sock"

    @socket_test
    async def run() -> None:
        async with running(known=whole_list(), report=str(where)) as door:
            await door.program.start_report()
            report = door.program.report
            assert report is not None
            for _ in range(3 * MAX_READERS):
                assert (await fetch(where))["version"] == 1
            assert len(report.readers) <= MAX_READERS

    run()


def test_only_an_unused_socket_file_is_replaced(tmp_path: Path) -> None:
    left, used, plain = tmp_path / "left.sock", tmp_path / "used.sock", tmp_path / "plain"
    dead = socket.socket(socket.AF_UNIX)
    dead.bind(str(left))
    dead.close()
    alive = socket.socket(socket.AF_UNIX)
    alive.bind(str(used))
    alive.listen()
    plain.write_text("kept")

    @socket_test
    async def run() -> None:
        async with running(known=whole_list(), report=str(left)) as door:
            await door.program.start_report()
            assert (await fetch(left))["version"] == 1
        for path, says in ((used, "another process is listening"), (plain, "is not a socket")):
            async with running(known=whole_list(), report=str(path)) as door:
                with pytest.raises(ConfigError, match=says):
                    await door.program.start_report()

    run()
    alive.close()
    assert plain.read_text() == "kept"


@pytest.mark.parametrize("bad", ["relative.sock", "", 7, "/" + "x" * 120])
def test_an_invalid_socket_path_is_a_configuration_error(bad: object) -> None:
    with pytest.raises(ConfigError, match=r"report is .*: wanted an absolute path"):
        config(report=bad)


# The command


@contextmanager
def doors(tmp_path: Path, *texts: bytes) -> Iterator[list[str]]:
    """Listen on sockets that each send one text to every client."""
    paths, listening = [], []
    stop = threading.Event()

    def serve(made: socket.socket, text: bytes) -> None:
        while not stop.is_set():
            try:
                connection, _ = made.accept()
            except OSError:
                return
            connection.sendall(text)
            connection.close()

    for n, text in enumerate(texts):
        path = tmp_path / f"n{n}.sock"
        made = socket.socket(socket.AF_UNIX)
        made.bind(str(path))
        made.listen()
        threading.Thread(target=serve, args=(made, text), daemon=True).start()
        paths.append(str(path))
        listening.append(made)
    try:
        yield paths
    finally:
        stop.set()
        for made in listening:
            made.shutdown(socket.SHUT_RDWR)
            made.close()


def run(*arguments: str) -> Any:
    return CliRunner().invoke(main, ["queues", "top", *arguments], env={"COLUMNS": "160"})


def test_the_command_merges_stores_over_gateways(tmp_path: Path) -> None:
    one, two = report("n0", 30, a=0.5, b=0.5), report("n1", 10, a=1.0)
    with doors(tmp_path, json.dumps(one).encode(), json.dumps(two).encode()) as paths:
        result = run(*paths, "--json")
        shown = run(*paths, "--once")
    summary = json.loads(result.stdout)
    assert result.exit_code == 0 and [door["name"] for door in summary["doors"]] == ["n0", "n1"]
    assert [(s["customer"], s["share"], s["doors"]) for s in summary["stores"]] == [
        ("a", 0.625, ["n0", "n1"]),
        ("b", 0.375, ["n0"]),
    ]
    assert shown.exit_code == 0 and "62.5%" in shown.stdout and "mall" in shown.stdout


def test_a_gateway_that_does_not_answer_is_listed_and_the_others_are_shown(tmp_path: Path) -> None:
    with doors(tmp_path, json.dumps(report(a=1.0)).encode(), b"no json") as paths:
        result = run(*paths, str(tmp_path / "gone.sock"), "--json")
        shown = run(*paths, "--once")
    silent = json.loads(result.stdout)["silent"]
    assert result.exit_code == shown.exit_code == 1
    assert [why.split(":")[0] for why in silent.values()] == [
        "its answer is no JSON",
        "No such file or directory",
    ]
    assert "its answer is no JSON" in " ".join(shown.stdout.split()) and "100.0%" in shown.stdout


def test_live_output_ends_after_the_given_time(tmp_path: Path) -> None:
    with doors(tmp_path, json.dumps(report(a=1.0)).encode()) as paths:
        result = run(*paths, "--every", "0.1", "--for", "0.15")
    assert result.exit_code == 0 and "100.0%" in result.stdout


def test_without_any_answer_there_is_one_line_each_and_exit_code_2(tmp_path: Path) -> None:
    result = run(str(tmp_path / "gone.sock"), "--once")
    assert result.exit_code == 2 and result.stderr.count("\n") == 1
    assert "wanted the socket that a door's configuration names as report" in result.stderr


@pytest.mark.parametrize(
    "bad", [[], {}, {"version": 2}, {**report(a=1.0), "queue": {}}, {**report(), "watch": 3}]
)
def test_an_invalid_report_is_rejected(bad: object) -> None:
    with pytest.raises(InvalidReportError, match="report"):
        parse_report(bad)


def test_no_gateways_give_no_rows() -> None:
    assert (
        top_accounts([], 5) == [] and top_accounts([parse_report(report(asked=0, a=0.0))], 5)[0].share == 0.0
    )


def test_help_has_an_example() -> None:
    assert "Example: irisdeal queues top" in " ".join(run("--help").stdout.split())
