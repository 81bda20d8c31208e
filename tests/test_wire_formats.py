"""Frames between processes and messages of a handover are encoded and decoded as by an earlier version."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from irisdeal.front_door.handover.message import encode_message
from irisdeal.rpc.calls import CALLS
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.frames import encode
from irisdeal.rpc.server import RpcServer
from tests.support import wire_formats as forms
from tests.support.exchange import Call, record_exchange

LIMIT = 10.0  # s for a test with sockets
EXPECTED = forms.expected()
SAMPLES: dict[str, list[str]] = EXPECTED["samples"]
EXCHANGE: list[dict[str, str]] = EXPECTED["exchange"]


@pytest.fixture(scope="module")
def calls() -> list[Call]:
    """Return the real exchange, run with the present code."""
    return record_exchange()


def kind_of(name: str) -> str:
    return name.partition(":")[0]


def test_each_specified_call_has_samples_a_reader_and_occurs_in_the_exchange() -> None:
    kinds = set(CALLS)
    assert kinds == set(forms.READERS)
    assert kinds == {kind_of(name) for name in SAMPLES}
    assert kinds == {message["kind"] for message in EXCHANGE} == set(EXPECTED["totals"])


def test_the_frames_that_a_connection_sends_by_itself_are_unchanged() -> None:
    assert forms.of_the_link() == EXPECTED["link"]


def test_the_samples_are_encoded_as_before() -> None:
    assert forms.samples() == SAMPLES


@pytest.mark.parametrize("name", SAMPLES)
def test_a_sample_is_read_back_and_encoded_the_same(name: str) -> None:
    for frame in SAMPLES[name]:
        assert forms.again(frame, kind_of(name)) == frame


@pytest.mark.parametrize("at", range(len(EXCHANGE)))
def test_a_frame_of_the_exchange_is_read_back_and_encoded_the_same(at: int) -> None:
    message = EXCHANGE[at]
    for frame in filter(None, (message["ask"], message["answer"])):
        assert forms.again(frame, message["kind"]) == frame


def test_a_real_exchange_has_the_same_frames(calls: list[Call]) -> None:
    assert forms.firsts(calls) == EXCHANGE


@pytest.mark.parametrize("kind", CALLS)
def test_all_calls_of_a_kind_are_the_same_to_the_last_byte(kind: str, calls: list[Call]) -> None:
    assert forms.totals(calls)[kind] == EXPECTED["totals"][kind]


# On a socket


async def _exact(reader: asyncio.StreamReader, frames: list[str]) -> list[str]:
    """Read as many bytes as these frames have, split at their lengths."""
    return [(await reader.readexactly(len(bytes.fromhex(frame)))).hex() for frame in frames]


async def _client_against_bytes() -> None:
    """A client sends its hello and a call, and reads an answer, as recorded."""
    name, (call, answer) = "prepare: promised", SAMPLES["prepare: promised"]
    hello, received = EXPECTED["link"]["hello"], list[str]()
    number, _, message = forms.read_frame(bytes.fromhex(call))
    first = encode([1, kind_of(name), message]).hex()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await _exact(reader, [hello, first]))
        _, is_success, answer_body = forms.read_frame(bytes.fromhex(answer))
        writer.write(encode([1, is_success, answer_body]))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = RpcClient(server.sockets[0].getsockname()[:2], "proxy 10.1.0.9")
    answer_body = await link.call(kind_of(name), message, LIMIT)
    assert received == [hello, first] and number == 7
    assert answer_body.unwrap() == forms.read_frame(bytes.fromhex(answer))[2]
    link.close()
    server.close()


async def _server_against_bytes() -> None:
    """A server reads a hello and calls, and sends an answer and an error, as recorded."""
    call, answer = SAMPLES["prepare: promised"]
    received: list[Any] = []

    async def handle(peer: str, kind: str, message: Any) -> Any:
        received.append((peer, kind, message))
        return forms.read_frame(bytes.fromhex(answer))[2]

    server = RpcServer(handle)
    await server.listen(("127.0.0.1", 0))
    assert server.listener is not None
    reader, writer = await asyncio.open_connection(*server.listener.sockets[0].getsockname()[:2])
    writer.write(bytes.fromhex(EXPECTED["link"]["hello"] + call))
    assert await _exact(reader, [answer]) == [answer]
    assert received == [("proxy 10.1.0.9#1", "prepare", forms.read_frame(bytes.fromhex(call))[2])]
    server.begin_drain()
    writer.write(bytes.fromhex(call.replace("8307", "8308", 1)))
    refused = EXPECTED["link"]["refused"].replace("8307", "8308", 1)
    assert await _exact(reader, [refused]) == [refused]
    writer.close()
    server.close()


@pytest.mark.parametrize("exchange", [_client_against_bytes, _server_against_bytes])
def test_client_and_server_exchange_the_recorded_bytes_over_a_socket(exchange: Any) -> None:
    asyncio.run(asyncio.wait_for(exchange(), LIMIT))


# A handover


def test_a_handover_is_written_as_before() -> None:
    assert forms.handover() == EXPECTED["handover"]


@pytest.mark.parametrize("name", ["state", "refused", "taken over"])
def test_a_message_of_a_handover_is_read_back_and_written_the_same(name: str) -> None:
    message = bytes.fromhex(EXPECTED["handover"][name])
    assert encode_message(forms.read_handover(message)) == message


def test_the_recorded_request_is_accepted_and_the_recorded_state_is_taken_over() -> None:
    message = {name: bytes.fromhex(text) for name, text in EXPECTED["handover"].items()}
    forms.read_asked(message["request"])
    assert forms.taken_over(message["state"]) == message["taken over"]
    state = forms.read_handover(message["taken over"])
    assert len(state["customers"]) == 24 and len(state["servers"]) == 4 and len(state["barred"]) == 1
