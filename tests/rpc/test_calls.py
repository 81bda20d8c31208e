"""RPC calls in virtual time: each answer reaches its own caller, and each call runs at most once."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from returns.result import Failure, Success

from irisdeal.rpc.frames import (
    MAX_FRAME_BYTES,
    NOTIFICATION_REQUEST_ID,
    FrameReader,
    InvalidFrameError,
    encode,
)
from irisdeal.rpc.server import DEFERRED, RpcServer
from irisdeal.runtime import events
from irisdeal.runtime.errors import (
    CallTimeoutError,
    ConnectError,
    ConnectionLostError,
    MessageTooLongError,
    RemoteError,
)
from tests.support.call_rig import HOST, PORT, CallRig, answering


def logged_events(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list that receives the number of each event logged from now on."""
    numbers: list[int] = []
    for module in ("irisdeal.rpc.client", "irisdeal.rpc.server"):
        monkeypatch.setattr(f"{module}.log_event", lambda number, **fields: numbers.append(number))
    assert events.CATALOGUE
    return numbers


def test_a_short_call_that_times_out_leaves_a_long_one_pending() -> None:
    rig = CallRig()
    rig.serve(answering({"news": 1.0, "place": 0.2}))

    async def scenario() -> Any:
        client = rig.client()
        long = asyncio.ensure_future(client.call("news", "n", 1.5))
        await asyncio.sleep(0.1)
        short = await client.call("place", "p", 0.06)
        return short, await long

    short, long = rig.play(scenario())
    assert isinstance(short, Failure) and not short.failure().never_sent
    assert type(short.failure()) is CallTimeoutError and short.failure().is_retriable
    assert long == Success("n")


def test_a_late_answer_goes_to_the_late_answer_handler_alone() -> None:
    rig = CallRig()
    rig.serve(answering({"place": 0.1}))

    async def scenario() -> Any:
        client = rig.client()
        first = await client.call("place", [1, "i-1", 1.0], 0.06)
        await asyncio.sleep(0.06)
        second = await client.call("place", [2, "i-2", 1.0], 0.5)
        return first, second

    first, second = rig.play(scenario())
    assert isinstance(first, Failure) and second == Success([2, "i-2", 1.0])
    assert rig.late == [("place", [1, "i-1", 1.0])]


def test_an_answer_that_a_stalled_caller_reads_after_its_deadline_is_late() -> None:
    rig = CallRig()
    rig.serve(answering({"lend": 0.02}))

    async def scenario() -> Any:
        client = rig.client()
        await client.call("all", None, 0.4)
        lent = asyncio.ensure_future(client.call("lend", 7.0, 0.04))
        await asyncio.sleep(0.01)
        rig.caller.pause(rig.world.now + 4_000_000)
        return await lent

    assert isinstance(rig.play(scenario()), Failure)
    assert rig.late == [("lend", 7.0)]


def test_after_a_time_out_the_next_call_goes_over_a_new_connection_and_pending_ones_stay() -> None:
    rig = CallRig()
    rig.serve(answering({"news": 2.0}))

    async def scenario() -> Any:
        client = rig.client()
        long = asyncio.ensure_future(client.call("news", "n", 5.0))
        await asyncio.sleep(0.1)
        rig.host.pause(rig.world.now + 1_000_000)
        silent = await client.call("place", "p", 0.06)
        old = client.connection
        again = await client.call("place", "q", 2.0)
        other = client.connection
        return silent, again, old is other, await long, old

    silent, again, same, long, old = rig.play(scenario())
    assert isinstance(silent, Failure) and again == Success("q") and not same
    assert long == Success("n") and not old.is_open  # closed after its last call


def test_a_call_waits_for_a_connection_no_longer_than_its_own_time_out() -> None:
    rig = CallRig()
    rig.link.is_partitioned = rig.link.is_stalled = True

    async def scenario() -> Any:
        client, started = rig.client(), rig.caller.time()
        answers = await asyncio.gather(*(client.call("place", "p", 0.06) for _ in range(10)))
        return answers, rig.caller.time() - started

    answers, took = rig.play(scenario())
    assert all(isinstance(answer, Failure) and answer.failure().never_sent for answer in answers)
    assert all(type(answer.failure()) is ConnectError and answer.failure().is_retriable for answer in answers)
    assert took < 0.07


def test_a_client_never_sends_a_call_again() -> None:
    """The server dies while it runs the call; a new process at the same address must not run it again."""
    rig = CallRig()
    ran: list[Any] = []
    rig.serve(answering({"lend": 0.5}, ran))

    async def scenario() -> Any:
        client = rig.client()
        lent = asyncio.ensure_future(client.call("lend", 1, 2.0))
        await asyncio.sleep(0.1)
        rig.host.kill()
        rig.host = rig.start_host()
        rig.serve(answering({}, ran))
        first = await lent
        await asyncio.sleep(0.1)
        return first, await client.call("lend", 2, 2.0)

    first, second = rig.play(scenario())
    assert isinstance(first, Failure) and not first.failure().never_sent
    assert type(first.failure()) is ConnectionLostError and first.failure().is_retriable
    assert second == Success(2) and ran == [1, 2]


class Scripted(asyncio.Protocol):
    """A server that answers each call with these items; `%` is replaced by the request id."""

    def __init__(self, script: list[list[Any]]) -> None:
        self.script, self.reader = script, FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for number, kind, _ in self.reader.feed(data):
            if kind != "hello":
                for item in self.script:
                    self.transport.write(encode([number if part == "%" else part for part in item]))


@pytest.mark.parametrize(
    "script",
    [
        [[77, True, "x"]],
        [["%", True, "mine"], ["%", True, "twice"]],
        [[True, True, "x"]],
        [[1.0, True, "x"]],
        [["%", 1, "x"]],
        [["%", "false", "x"]],
        [["%", True]],
        [[-1, True, "x"]],
        [[[], True, "x"]],
    ],
    ids=[
        "to no call",
        "twice",
        "request id a bool",
        "request id a float",
        "success an int",
        "success a string",
        "too short",
        "request id of a notification",
        "request id a list",
    ],
)
def test_an_answer_to_no_call_closes_the_connection(
    script: list[list[Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig, numbers = CallRig(), logged_events(monkeypatch)
    rig.answer_with(lambda: Scripted(script))

    async def scenario() -> Any:
        client = rig.client()
        answer = await client.call("news", None, 0.5)
        await asyncio.sleep(0.1)
        assert client.connection is not None
        return answer, client.connection.is_open

    answer, is_open = rig.play(scenario())
    assert not is_open and set(numbers) <= {500, 510} and numbers
    assert answer == Success("mine") if script[0][1:] == [True, "mine"] else isinstance(answer, Failure)


def raw(rig: CallRig, frames: list[bytes]) -> bytes:
    """Send these frames; return the bytes that the server answers within 0.5 s."""
    received = bytearray()

    class Caller(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            received.extend(data)

    async def scenario() -> Any:
        transport, _ = await asyncio.get_running_loop().create_connection(Caller, HOST, PORT)
        for frame in frames:
            transport.write(frame)
        await asyncio.sleep(0.5)
        return transport.is_closing()

    assert rig.play(scenario()) in (True, False)
    return bytes(received)


HELLO = encode([0, "hello", "proxy x"])


@pytest.mark.parametrize(
    ("frames", "ran"),
    [
        ([HELLO, encode([1, "lend", 1]), encode([1, "lend", 1])], [1]),
        ([HELLO, encode([2, "lend", 2]), encode([1, "lend", 1])], [2]),
        ([encode([1, "lend", 1])], []),
        ([HELLO, encode([1, "lend", 1]), HELLO, encode([2, "lend", 2])], [1]),
        ([HELLO, encode([NOTIFICATION_REQUEST_ID, "lend", 1]), encode([1, "lend", 2])], [2]),
        ([HELLO, encode([True, "lend", 1])], []),
        ([HELLO, encode([1.0, "lend", 1])], []),
        ([HELLO, encode([1, "no such", 1]), encode([2, "lend", 2])], [2]),
        ([HELLO, encode([1, "lend", 1]) + b"\x00\x00\x00\x02\x01\x01" + encode([2, "lend", 2])], [1]),
    ],
    ids=[
        "twice",
        "an older one",
        "no hello",
        "two hellos",
        "not as a notification",
        "request id a bool",
        "request id a float",
        "no such call",
        "two items in a frame",
    ],
)
def test_a_call_runs_once_and_only_in_order(
    frames: list[bytes],
    ran: list[int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = CallRig()
    seen: list[Any] = []
    logged_events(monkeypatch)
    rig.serve(answering({}, seen))
    raw(rig, frames)
    assert seen == ran


def test_frames_split_anywhere_are_read_and_invalid_ones_raise() -> None:
    whole = encode([1, True, "x"]) + encode([2, False, "y"])
    for at in range(len(whole)):
        reader = FrameReader()
        assert [*reader.feed(whole[:at]), *reader.feed(whole[at:])] == [[1, True, "x"], [2, False, "y"]]
    for bad in (
        b"\x00\x00\x00\x00",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\x83",
        b"\x00\x00\x00\x02\x01\x01",
    ):
        with pytest.raises(InvalidFrameError):
            list(FrameReader().feed(bad))


def test_an_error_answer_fails_its_own_call_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = CallRig()
    logged_events(monkeypatch)

    def quick(peer: str, kind: str, body: Any) -> Any:
        return body["no such"] if kind == "place" else DEFERRED

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.1)
        if kind == "all":
            return bytes(MAX_FRAME_BYTES)
        return body

    rig.serve(lambda: RpcServer(handle, quick))

    async def scenario() -> Any:
        client = rig.client()
        return await asyncio.gather(
            client.call("count", 1, 0.5),
            client.call("place", {}, 0.5),
            client.call("all", None, 0.5),
            client.call("told", bytes(MAX_FRAME_BYTES), 0.5),
        )

    count, place, long, sent = rig.play(scenario())
    assert count == Success(1)
    for failed in (place, long, sent):
        assert isinstance(failed, Failure) and "no answer within" not in failed.failure().detail
    assert sent.failure().never_sent and not long.failure().never_sent
    assert type(place.failure()) is type(long.failure()) is RemoteError
    assert type(sent.failure()) is MessageTooLongError
    assert not place.failure().is_retriable and not sent.failure().is_retriable


def test_a_call_answered_after_the_end_of_its_connection_reports_the_loss_again() -> None:
    rig = CallRig()
    lost: list[str] = []

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.3)
        return peer

    rig.serve(lambda: RpcServer(handle, None, lost.append))

    async def scenario() -> Any:
        client = rig.client()
        asked = asyncio.ensure_future(client.call("wait", 1, 1.0))
        await asyncio.sleep(0.1)
        client.close()
        await asyncio.sleep(0.5)
        return await asked

    assert isinstance(rig.play(scenario()), Failure)
    assert lost == ["proxy 10.0.0.1#1", "proxy 10.0.0.1#1"]


def test_a_notification_without_a_connection_or_over_a_hung_one_returns_false() -> None:
    rig = CallRig()
    rig.serve(answering({}))

    async def scenario() -> Any:
        client = rig.client()
        none = client.notify("sums", [])
        await client.call("sums", [], 0.4)
        good = client.notify("sums", [])
        rig.host.pause(rig.world.now + 1_000_000)
        await client.call("sums", [], 0.1)
        return none, good, client.notify("sums", [])

    assert rig.play(scenario()) == (False, True, False)
