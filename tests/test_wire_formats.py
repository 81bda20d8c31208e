"""Frames between the processes and messages of a handover: written and read as by an earlier version."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from irisdeal.front_door.handover.message import body
from irisdeal.rpc.calls import CALLS
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.frames import encode
from irisdeal.rpc.server import RpcServer
from tests.support import wire_formats as forms
from tests.support.exchange import Call, recorded

LIMIT = 10.0  # s for a test with sockets
EXPECTED = forms.expected()
SAMPLES: dict[str, list[str]] = EXPECTED["samples"]
EXCHANGE: list[dict[str, str]] = EXPECTED["exchange"]


@pytest.fixture(scope="module")
def calls() -> list[Call]:
    """The real exchange, played by today's program."""
    return recorded()


def kind_of(name: str) -> str:
    return name.partition(":")[0]


def test_each_call_of_the_table_has_samples_a_reader_and_a_part_in_the_exchange() -> None:
    kinds = set(CALLS)
    assert kinds == set(forms.READERS)
    assert kinds == {kind_of(name) for name in SAMPLES}
    assert kinds == {told["kind"] for told in EXCHANGE} == set(EXPECTED["totals"])


def test_what_a_link_tells_by_itself_is_as_before() -> None:
    assert forms.of_the_link() == EXPECTED["link"]


def test_the_samples_are_encoded_as_before() -> None:
    assert forms.samples() == SAMPLES


@pytest.mark.parametrize("name", SAMPLES)
def test_a_sample_is_read_back_and_encoded_the_same(name: str) -> None:
    for frame in SAMPLES[name]:
        assert forms.again(frame, kind_of(name)) == frame


@pytest.mark.parametrize("at", range(len(EXCHANGE)))
def test_a_frame_of_the_exchange_is_read_back_and_encoded_the_same(at: int) -> None:
    told = EXCHANGE[at]
    for frame in filter(None, (told["ask"], told["answer"])):
        assert forms.again(frame, told["kind"]) == frame


def test_a_real_exchange_has_the_same_frames(calls: list[Call]) -> None:
    assert forms.firsts(calls) == EXCHANGE


@pytest.mark.parametrize("kind", CALLS)
def test_all_calls_of_a_kind_are_the_same_to_the_last_byte(kind: str, calls: list[Call]) -> None:
    assert forms.totals(calls)[kind] == EXPECTED["totals"][kind]


# On a socket


async def _exact(reader: asyncio.StreamReader, frames: list[str]) -> list[str]:
    """As many bytes as these frames have, in their lengths."""
    return [(await reader.readexactly(len(bytes.fromhex(frame)))).hex() for frame in frames]


async def _link_against_bytes() -> None:
    """A link tells its name and its call, and reads an answer, as recorded."""
    name, (ask, answer) = "prepare: promised", SAMPLES["prepare: promised"]
    hello, heard = EXPECTED["link"]["hello"], list[str]()
    number, _, told = forms.read_frame(bytes.fromhex(ask))
    first = encode([1, kind_of(name), told]).hex()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heard.extend(await _exact(reader, [hello, first]))
        _, good, given = forms.read_frame(bytes.fromhex(answer))
        writer.write(encode([1, good, given]))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = RpcClient(server.sockets[0].getsockname()[:2], "proxy 10.1.0.9")
    given = await link.call(kind_of(name), told, LIMIT)
    assert heard == [hello, first] and number == 7
    assert given.unwrap() == forms.read_frame(bytes.fromhex(answer))[2]
    link.close()
    server.close()


async def _server_against_bytes() -> None:
    """A server reads a name and calls, and answers and refuses, as recorded."""
    ask, answer = SAMPLES["prepare: promised"]
    heard: list[Any] = []

    async def handle(peer: str, kind: str, asked: Any) -> Any:
        heard.append((peer, kind, asked))
        return forms.read_frame(bytes.fromhex(answer))[2]

    server = RpcServer(handle)
    await server.listen(("127.0.0.1", 0))
    assert server.listener is not None
    reader, writer = await asyncio.open_connection(*server.listener.sockets[0].getsockname()[:2])
    writer.write(bytes.fromhex(EXPECTED["link"]["hello"] + ask))
    assert await _exact(reader, [answer]) == [answer]
    assert heard == [("proxy 10.1.0.9#1", "prepare", forms.read_frame(bytes.fromhex(ask))[2])]
    server.begin_drain()
    writer.write(bytes.fromhex(ask.replace("8307", "8308", 1)))
    refused = EXPECTED["link"]["refused"].replace("8307", "8308", 1)
    assert await _exact(reader, [refused]) == [refused]
    writer.close()
    server.close()


@pytest.mark.parametrize("exchange", [_link_against_bytes, _server_against_bytes])
def test_a_process_speaks_and_hears_the_recorded_bytes_on_a_socket(exchange: Any) -> None:
    asyncio.run(asyncio.wait_for(exchange(), LIMIT))


# A handover


def test_a_handover_is_written_as_before() -> None:
    assert forms.handover() == EXPECTED["handover"]


@pytest.mark.parametrize("name", ["state", "refused", "taken over"])
def test_a_message_of_a_handover_is_read_back_and_written_the_same(name: str) -> None:
    told = bytes.fromhex(EXPECTED["handover"][name])
    assert body(forms.read_handover(told)) == told


def test_the_recorded_request_asks_for_this_door_and_the_recorded_state_is_taken_over() -> None:
    told = {name: bytes.fromhex(text) for name, text in EXPECTED["handover"].items()}
    forms.read_asked(told["request"])
    assert forms.taken_over(told["state"]) == told["taken over"]
    state = forms.read_handover(told["taken over"])
    assert len(state["customers"]) == 24 and len(state["servers"]) == 4 and len(state["barred"]) == 1
