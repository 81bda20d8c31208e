"""HTTP/1.1 server for clients: malformed requests, forwarded headers, deadlines and pipelining."""

import asyncio

import pytest
import uvloop

from irisdeal.front_door.decisions.interface import RejectRequest, RequestArrived
from irisdeal.front_door.server.client_request import ClientRequest
from tests.support.fake_peers import Script, answer, ask, read_message, running, socket_test

GET = b"GET /api HTTP/1.1\r\nHost: svc\r\n"


def post(length: str, body: bytes = b"") -> bytes:
    return ask("file", Content_Length=length) + body


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (GET + b"\r\n", 400),
        (ask(X_Qos="unheard-of"), 400),
        (ask(Plan="unheard-of"), 400),
        (ask(X_Trace_Id=None), 400),
        (ask(X_Trace_Id="a b"), 400),
        (ask(Account="b4d65521"), 400),
        (ask(Account="ffffffffffffffff"), 400),
        (ask(Account="000000000000000g"), 400),
        (ask(X_Expires_In="480"), 400),
        (ask(X_Expires_In="-5m"), 400),
        (ask(X_Expires_In="0m"), 400),
        (ask(X_Expires_In="nanm"), 400),
        (ask(Quota_Info="units=2,spread=1"), 400),
        (ask(Quota_Info="units=0,spread=1,first=0"), 400),
        (ask(Quota_Info="units=2,spread=9,first=0"), 400),
        (ask(Quota_Info="units=2,spread=1,first=1"), 400),
        (ask(Quota_Info="units=inf,spread=1,first=0"), 400),
        (ask("file", Idempotency_Key=None), 400),
        (ask().replace(b"GET", b"POST"), 405),
        (ask("file").replace(b"POST", b"GET"), 405),
        (ask().replace(b"Host: svc\r\n", b""), 400),
        (ask().replace(b"Plan: basic\r\n", b"Plan: basic\r\nPlan: metered\r\n"), 400),
        (ask(Content_Length="3") + b"abc", 400),
        (post("70000", b"x" * 70_000), 413),
        (post("-1"), 400),
        (post("4x", b"1234"), 400),
        (ask("file", Content_Length=None, Transfer_Encoding="chunked") + b"zz\r\n", 400),
        (ask("file", Content_Length="4", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
        (
            ask("file", Content_Length=None, Transfer_Encoding="chunked").replace(
                b"g: chunked", b"g: chunked\r\nContent-Length: 4"
            )
            + b"0\r\n\r\n",
            400,
        ),
        *(
            (ask("file", Content_Length=None, Transfer_Encoding=encoding) + b"0\r\n\r\n", 400)
            for encoding in (
                "gzip, chunked",
                "chunked, identity",
                "identity",
                "xchunked",
                "chunked;a=1",
                "\x0bchunked",
                "",
            )
        ),
        *(
            (ask("file", Content_Length=length) + b"aa", 400)
            for length in (
                "+2",
                "-2",
                "0x2",
                "2 2",
                "2, 2",
                "",
                "2\r\nContent-Length: 2",
                "2\r\nContent-Length: 3",
            )
        ),
        (post("12345678901", b""), 413),
        (post("9" * 30, b""), 400),
        (ask(Plan="metered", Quota_Info="units=201,spread=1,first=0"), 400),
        (ask(Quota_Info="units=999999999,spread=1,first=0"), 400),
        (ask(Quota_Info="units=2,spread=1,first=0," + "x" * 200), 400),
        (b"hello\r\n\r\n", 400),
        (GET + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\nHost: svc\r\n\r\n", 431),
        (GET + b"A: 1\r\n B\x00: 2\r\n\r\n", 400),
        # Framing headers for a backend that reads _ as -, and framing that HTTP/1.0 does not have.
        (ask().replace(b"Host: svc", b"Host: svc\r\nTransfer_Encoding: chunked"), 400),
        (ask("file").replace(b"Host: svc", b"Host: svc\r\nContent_length: 9"), 400),
        (
            ask("file", Content_Length=None, Transfer_Encoding="chunked").replace(b"HTTP/1.1", b"HTTP/1.0")
            + b"0\r\n\r\n",
            400,
        ),
        # Connection must not remove headers that the backend needs.
        (ask(Connection="x-trace-id"), 400),
        (ask("file", Connection="close, Idempotency-Key"), 400),
        (ask("file", Connection="Content-Length"), 400),
    ],
)
def test_malformed_input_does_not_reach_the_decision_module(request_bytes: bytes, status: int) -> None:
    async def run() -> None:
        script = Script(lambda event: [])
        async with running(script) as front_door:
            line, _, _ = await front_door.call(request_bytes)
            assert line.split()[1] == str(status)
            assert not [e for e in script.seen if isinstance(e, RequestArrived)]

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_complete_chunked_body_is_accepted() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        request = ask("file", Content_Length=None, Transfer_Encoding="chunked")
        line, _, _ = await front_door.call(request + b"3\r\nabc\r\n0\r\n\r\n")
        assert line.split()[1] == "429"


@socket_test
async def test_connection_headers_and_aliases_of_reserved_headers_are_not_forwarded() -> None:
    heads: list[bytes] = []
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        handle_request = front_door.program.decision_loop.handle_request

        def take(request: ClientRequest) -> None:
            heads.append(request.head)
            handle_request(request)

        front_door.program.decision_loop.handle_request = take  # type: ignore[method-assign, assignment]
        extra = b"X-Hop: 1\r\nX-Kept: 2\r\nX_Qos: file\r\nx_kept: 3\r\nConnection: keep-alive, x-hop"
        line, _, _ = await front_door.call(ask().replace(b"Host: svc", b"Host: svc\r\n" + extra))
        assert line.split()[1] == "429"
    lines = heads[0].lower().split(b"\r\n")
    assert {b"x-kept: 2", b"x_kept: 3", b"host: svc"} <= set(lines)
    assert not any(line.startswith((b"x-hop", b"x_qos", b"connection")) for line in lines)


@socket_test
async def test_time_in_the_listen_backlog_is_deducted_from_the_first_request() -> None:
    """Without it the time counted from the read, and on an overloaded core responses came too late."""
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        clients = front_door.program.clients
        clients.listener.backlog.max_wait_s = lambda now: 0.3  # type: ignore[method-assign]
        line, _, _ = await front_door.call(ask(X_Expires_In="200m"))
        assert line.split()[1] == "503" and not [e for e in script.seen if isinstance(e, RequestArrived)]
        reader, writer = await front_door.client()
        writer.write(ask(X_Expires_In="1000m"))
        assert (await read_message(reader))[0].split()[1] == "429"
        writer.write(ask(X_Expires_In="1000m"))  # only the first request waited
        assert (await read_message(reader))[0].split()[1] == "429"
        first, second = (e.time_left_us for e in script.seen if isinstance(e, RequestArrived))
        assert 600_000 < first <= 690_000 and 900_000 < second <= 990_000
        front_door.program.decision_loop.event_loop_lag.record(
            0.25, front_door.program.decision_loop.host.now() / 1e6
        )  # a recent delay of the event loop
        writer.write(ask(X_Expires_In="1000m"))
        assert (await read_message(reader))[0].split()[1] == "429"
        *_, third = (e.time_left_us for e in script.seen if isinstance(e, RequestArrived))
        assert third < second - 100_000


@socket_test
async def test_a_connection_stays_open_after_an_invalid_but_well_framed_request() -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id, 250_000)] if isinstance(event, RequestArrived) else []
    )
    async with running(script) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask(Plan="unheard-of") + ask())
        assert (await read_message(reader))[0].split()[1] == "400"
        line, headers, _ = await read_message(reader)
        assert (line.split()[1], headers["retry-after"]) == ("429", "0.250")


@socket_test
async def test_pipelined_responses_keep_their_order_and_are_sent_once() -> None:
    held: list[int] = []

    def last_first(event: object) -> list[RejectRequest]:
        if isinstance(event, RequestArrived):
            held.append(event.request_id)
        return [RejectRequest(n, n * 1000) for n in reversed(held)] if len(held) == 3 else []

    async with running(Script(last_first)) as front_door:  # type: ignore[arg-type]
        reader, writer = await front_door.client()
        writer.write(ask(trace="1") + ask(trace="2") + ask(trace="3"))
        delays = [(await read_message(reader))[1]["retry-after"] for _ in range(3)]
        assert delays == ["0.001", "0.002", "0.003"]
        writer.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")  # no other bytes in between
        assert (await read_message(reader))[0].split()[1] == "503"


def test_the_response_helper_of_the_tests_writes_the_expected_bytes() -> None:
    assert answer(204, b"", "A: b\r\n") == b"HTTP/1.1 204 X\r\nContent-Length: 0\r\nA: b\r\n\r\n"


@socket_test
async def test_a_client_that_is_still_sending_can_read_the_rejection() -> None:
    # Closing with unread input resets the connection and may lose the response.
    async with running(Script(lambda event: [])) as front_door:
        reader, writer = await front_door.client()
        writer.write(ask("file", Content_Length="4000000") + b"x" * 4_000_000)
        assert (await read_message(reader))[0].split()[1] == "413"
        assert await reader.read() == b""
