"""Operators' calls and metrics: parsing and formatting, and a running front door's listener on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import re

import pytest

from irisdeal.front_door.operator.calls import Call, CallKind, CallRejected, parse_call
from irisdeal.front_door.operator.metrics import Metric, MetricRegistry, MetricType
from irisdeal.front_door.server.config import ConfigError, parse
from irisdeal.front_door.server.limits import MAX_OPERATOR_CONNECTIONS, OWN_DESCRIPTORS, share_descriptors
from irisdeal.front_door.server.program import Program
from irisdeal.testbed.platform import Platform
from tests.support.fake_peers import (
    Peer,
    Running,
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
from tests.support.front_door_rig import SMALL, run_on_sockets

DAY_OF_ALL_ENDINGS = (
    SMALL
    + """
[[at]]
at_s = 0.4
do = "box-crash"
boxes = 2
for_s = 0.4
[[at]]
at_s = 1.0
do = "box-hang"
boxes = 2
for_s = 0.8
"""
)


def test_each_metric_has_a_type_and_labels_are_escaped() -> None:
    registry = MetricRegistry()
    registry.add(Metric("pending", MetricType.GAUGE, "a\nb", lambda: 14))
    registry.add(Metric("done_total", MetricType.COUNTER, "c", lambda: [8, 0], "lane", ('a"b\\', "d\n")))
    assert registry.text().decode() == (
        "# HELP edge_pending a\\nb\n# TYPE edge_pending gauge\nedge_pending 14\n"
        "# HELP edge_done_total c\n# TYPE edge_done_total counter\n"
        'edge_done_total{lane="a\\"b\\\\"} 8\nedge_done_total{lane="d\\n"} 0\n'
    )


def test_a_metric_is_registered_once_and_has_a_value_for_each_label() -> None:
    registry = MetricRegistry()
    registry.add(Metric("a", MetricType.GAUGE, "", lambda: [1], "lane", ("x", "y")))
    with pytest.raises(ValueError, match="a is registered already"):
        registry.add(Metric("a", MetricType.GAUGE, "", lambda: 1))
    with pytest.raises(ValueError, match="wanted 2 numbers"):
        registry.text()


@pytest.mark.parametrize(
    ("method", "url", "status", "allow"),
    [
        (b"GET", b"/nothing", 404, ""),
        (b"POST", b"/ready", 405, "GET"),
        (b"GET", b"/backends/disable?target=a", 405, "POST"),
        (b"POST", b"/backends/disable", 400, ""),
        (b"POST", b"/backends/enable?target=", 400, ""),
        (b"POST", b"/backends/disable?target=a&target=b", 400, ""),
        (b"POST", b"/backends/disable?target=%ff", 400, ""),
        (b"POST", b"/backends/disable?target=" + b"a" * 300, 400, ""),
    ],
)
def test_an_invalid_call_is_rejected(
    method: bytes,
    url: bytes,
    status: int,
    allow: str,
) -> None:
    with pytest.raises(CallRejected) as caught:
        parse_call(method, url)
    assert (caught.value.status, caught.value.allow) == (status, allow)


def test_calls_are_parsed_with_their_target() -> None:
    assert parse_call(b"GET", b"/ready?x=1") == Call(CallKind.READY)
    assert parse_call(b"POST", b"/backends/disable?target=s%2D1") == Call(CallKind.DISABLE, b"s-1")
    assert parse_call(b"POST", b"/backends/enable?note=x&target=s-1") == Call(CallKind.ENABLE, b"s-1")


def test_descriptors_for_operators_count_towards_the_shared_limit() -> None:
    for sockets in (256, 384, 1024):
        with_, without = share_descriptors(sockets, True), share_descriptors(sockets)
        assert (
            with_.clients + with_.reserve + with_.backends + MAX_OPERATOR_CONNECTIONS + OWN_DESCRIPTORS
            < sockets
        )
        assert with_.clients < without.clients


@pytest.mark.parametrize("value", ["9100", "127.0.0.1:0", "127.0.0.1:99999", 7])
def test_an_invalid_operator_address_is_one_clear_error(value: object) -> None:
    base = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings()}
    with pytest.raises(ConfigError, match=r"operator is .*: wanted host:port"):
        parse({**base, "operator": value})
    with pytest.raises(ConfigError, match="another address than listen"):
        parse({**base, "operator": "127.0.0.1:1"})
    assert parse(base).operator is None


async def call_operator(
    front_door: Running, call: str, method: str = "GET"
) -> tuple[str, dict[str, str], bytes]:
    assert front_door.program.operator is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", front_door.program.operator.listener.port())
    writer.write(f"{method} {call} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    message = await read_message(reader)
    assert await reader.read() == b""  # one call per connection
    writer.close()
    return message


async def scrape_metrics(front_door: Running) -> dict[str, int]:
    line, headers, text = await call_operator(front_door, "/metrics")
    assert (line, headers["content-type"]) == ("HTTP/1.1 200 OK", "text/plain; version=0.0.4; charset=utf-8")
    return {name: int(value) for name, value in re.findall(r"^(edge_\S+) (\d+)$", text.decode(), re.M)}


OPERATOR = "127.0.0.1:2"  # the test replaces the port by 0, as that of `listen`


@socket_test
async def test_ready_once_a_list_is_known_and_not_while_shutting_down() -> None:
    async with running(operator=OPERATOR) as front_door:
        assert (await call_operator(front_door, "/ready"))[0].startswith("HTTP/1.1 503")
    async with running(operator=OPERATOR, known=whole_list(member("s-1", 9))) as front_door:
        assert (await call_operator(front_door, "/ready"))[0] == "HTTP/1.1 200 OK"
        front_door.program.stop()
        assert (await call_operator(front_door, "/ready"))[2] == b"not ready: shutting down\n"


@socket_test
async def test_invalid_calls_get_an_error_status() -> None:
    async with running(operator=OPERATOR, known=whole_list(member("s-1", 9))) as front_door:
        assert (await call_operator(front_door, "/nothing"))[0].startswith("HTTP/1.1 404")
        line, headers, _ = await call_operator(front_door, "/ready", "PUT")
        assert (line, headers["allow"]) == ("HTTP/1.1 405 Method Not Allowed", "GET")
        assert (await call_operator(front_door, "/ready?" + "x" * 9000))[0].startswith("HTTP/1.1 431")
        assert (await call_operator(front_door, "/ready\r\nnoise"))[0].startswith("HTTP/1.1 400")


@socket_test
async def test_the_longest_silent_caller_is_disconnected_for_a_new_one() -> None:
    async with running(operator=OPERATOR, known=whole_list(member("s-1", 9))) as front_door:
        assert front_door.program.operator is not None
        port = front_door.program.operator.listener.port()
        silent = []
        for _ in range(2 * MAX_OPERATOR_CONNECTIONS):
            silent.append(await asyncio.open_connection("127.0.0.1", port))
            silent[-1][1].write(b"GET /rea")
        assert (await call_operator(front_door, "/ready"))[0] == "HTTP/1.1 200 OK"
        with contextlib.suppress(ConnectionResetError):
            assert await silent[0][0].read() == b""
        assert len(front_door.program.operator.connections) <= MAX_OPERATOR_CONNECTIONS
        for _, writer in silent:
            writer.transport.abort()


@socket_test
async def test_metrics_count_every_end_of_a_request_once() -> None:
    async with Peer() as backend:
        decider = Script(lambda event: send_all(event))
        known = whole_list(member("s-1", backend.port))
        async with running(decider, operator=OPERATOR, known=known) as front_door:
            start = await scrape_metrics(front_door)
            assert start['edge_completed_total{lane="look"}'] == start['edge_failed_total{lane="file"}'] == 0

            async def one(kind: str, trace: str, reply: bytes | None) -> None:
                reader, writer = await front_door.client()
                writer.write(ask(kind, trace))
                from_front_door, to_front_door = await backend.connection()
                await read_message(from_front_door)
                assert (await scrape_metrics(front_door))["edge_pending"] == 1
                if reply is None:
                    writer.transport.abort()
                    while front_door.program.clients.pending:
                        await asyncio.sleep(0)
                else:
                    to_front_door.write(reply)
                    await read_message(reader)
                to_front_door.transport.abort()

            await one("look", "a1", answer())
            await one("look", "a2", answer(500))
            await one("file", "a3", answer())
            await one("look", "a4", None)
            # No time left: rejected before the decision module.
            await front_door.call(ask("look", "a5", X_Expires_In="1m"))
            await front_door.call(ask("look", "a6", Account="x"))  # malformed
            await front_door.call(ask("none", "a7"))  # of an unknown class: not counted
            metrics = await scrape_metrics(front_door)
            assert metrics['edge_completed_total{lane="look"}'] == 1
            assert metrics['edge_completed_total{lane="file"}'] == 1
            assert metrics['edge_failed_total{lane="look"}'] == 2
            assert metrics['edge_rejected_total{lane="look"}'] == 1
            assert metrics['edge_gone_total{lane="look"}'] == 1
            assert (metrics["edge_upstream_requests_total"], metrics["edge_pending"]) == (4, 0)
            side = front_door.program.clients
            for n, taken in enumerate(side.received):
                assert taken == side.completed[n] + side.rejected[n] + side.failed[n] + side.disconnected[n]


@socket_test
async def test_counts_add_up_at_every_moment_and_match_the_testbeds_logs() -> None:
    checks = 0

    def counts_add_up(program: Program) -> bool:
        side = program.clients
        ended = sum(map(sum, (side.completed, side.rejected, side.failed, side.disconnected)))
        return sum(side.received) == ended + side.pending

    def watch(platform: Platform, programs: list[Program]) -> None:
        loop = asyncio.get_running_loop()

        def check() -> None:
            nonlocal checks
            assert all(map(counts_add_up, programs))
            checks += 1
            loop.call_later(0.01, check)

        check()

    day = await run_on_sockets(DAY_OF_ALL_ENDINGS, started=watch)
    assert checks > 50
    for front_door_number, program in enumerate(day.programs):
        side = program.clients
        attempts = [
            t for t in day.request_log.client_attempts if t.front_door == front_door_number and t.answers
        ]
        by = {name: n for n, name in enumerate(program.config.classes)}
        for name, n in by.items():
            answers = [t.answers[0].status for t in attempts if t.kind == name]
            assert side.completed[n] == sum(status == 200 for status in answers)
            assert side.rejected[n] == sum(status in (429, 503) for status in answers)
            assert side.failed[n] == sum(status not in (200, 429, 503) for status in answers)
        assert side.pending == 0 and sum(side.completed) > 20 and sum(side.rejected) > 0
        received = sum(a.front_door == front_door_number for a in day.request_log.attempts)
        assert abs(program.pool.written_count - received) <= 3  # those written to crashed backends
