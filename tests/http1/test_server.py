"""HTTP/1.1 server in virtual time: responses in the order of the requests, whatever the client does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Request, Response
from irisdeal.http1.server import HttpServer
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import START_US, World
from tests.support.request_world import reset

ADDRESS = ("10.0.0.2", 80)
BODIED = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
EXPECTING = b"POST /%d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
Step = bytes | float | str  # bytes to write, seconds to wait, or `eof`, `abort` or `reset`


class ServerRun:
    """The steps of one client against a server that takes 0.2 s for each request except `/0`."""

    def __init__(
        self,
        steps: list[Step],
        prepare: Callable[[HttpServer], None] = lambda server: None,
    ) -> None:
        self.world = World(1)
        self.net = Network(self.world)
        self.steps, self.prepare = steps, prepare
        self.received = b""
        self.ran: list[bytes] = []
        self.ended_at = 0.0
        self.is_over = False

    async def handle(self, request: Request) -> Response:
        self.ran.append(request.target)
        await asyncio.sleep(0.0 if request.target == b"/0" else 0.2)
        return Response(200, b"did " + request.target)

    async def serve(self) -> int:
        loop = asyncio.get_running_loop()
        self.server = HttpServer(self.handle, loop)
        self.prepare(self.server)
        await self.server.listen(ADDRESS)
        await loop.create_future()
        return 0

    async def ask(self) -> int:
        play, loop = self, asyncio.get_running_loop()

        class Client(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                play.received += data

            def connection_lost(self, exc: Exception | None) -> None:
                play.ended_at = loop.time() - START_US / 1e6

        await asyncio.sleep(0.1)
        transport, _ = await loop.create_connection(Client, *ADDRESS)
        for step in self.steps:
            match step:
                case bytes():
                    transport.write(step)
                case "eof":
                    transport.write_eof()
                case "abort":
                    transport.abort()
                case "reset":
                    reset(transport)
                case float():
                    await asyncio.sleep(step)
        await asyncio.sleep(4.0)
        self.is_over = True
        return 0

    def play(self) -> list[bytes]:
        """Run the steps; return the status lines and the bodies of the responses, in order."""
        server = Machine(self.world, self.net, "server", Core(), Costs())
        client = Machine(self.world, self.net, "client", Core(), Costs())
        server.start(self.serve())
        client.start(self.ask())
        self.world.run(lambda: self.is_over, START_US + 60_000_000)
        assert not server.errors and not client.errors
        return [line for line in self.received.split(b"\r\n") if line.startswith((b"HTTP/1.1 ", b"did "))]


def expected_lines(*targets: int) -> list[bytes]:
    """Return the responses to these targets as `Play.play` does: each body is followed by the next head."""
    lines: list[bytes] = [b"HTTP/1.1 200 OK"]
    for target in targets[:-1]:
        lines.append(b"did /%dHTTP/1.1 200 OK" % target)
    return [*lines, b"did /%d" % targets[-1]]


def test_answers_go_out_in_the_order_of_the_requests_however_long_each_takes() -> None:
    play = ServerRun([BODIED % 1 + BODIED % 0 + (BODIED % 2)[:20], 0.05, (BODIED % 2)[20:]])
    assert play.play() == expected_lines(1, 0, 2)


def test_a_100_is_sent_once_the_earlier_requests_are_answered_and_not_before() -> None:
    play = ServerRun([BODIED % 1 + EXPECTING % 2, 0.5, b"body"])
    assert play.play() == [b"HTTP/1.1 200 OK", b"did /1HTTP/1.1 100 Continue", b"HTTP/1.1 200 OK", b"did /2"]
    alone = ServerRun([EXPECTING % 0, 0.1, b"body"])
    assert alone.play() == [b"HTTP/1.1 100 Continue", b"HTTP/1.1 200 OK", b"did /0"]


def test_a_client_that_does_not_wait_for_a_100_gets_none_out_of_order() -> None:
    assert ServerRun([BODIED % 1 + EXPECTING % 2 + b"body"]).play() == expected_lines(1, 2)


def test_a_request_that_is_rejected_by_its_head_gets_no_100() -> None:
    def small(server: HttpServer) -> None:
        server.limits.max_body_bytes = 3

    assert ServerRun([EXPECTING % 1], small).play() == [b"HTTP/1.1 413 Request Entity Too Large"]


def test_complete_requests_before_a_malformed_one_are_answered() -> None:
    play = ServerRun([BODIED % 1 + BODIED % 2 + b"\x00\r\n\r\n"])
    assert play.play() == expected_lines(1, 2) and play.ended_at > 0


def test_complete_requests_before_a_shutdown_are_answered() -> None:
    def leave(server: HttpServer) -> None:
        server.loop.call_later(0.15, setattr, server, "is_draining", True)

    play = ServerRun([BODIED % 1 + BODIED % 2, 0.05], leave)
    assert play.play() == expected_lines(1, 2)
    assert play.received.count(b"Connection: close") == 1


def test_after_a_half_close_the_answers_are_sent_and_the_connection_ends() -> None:
    play = ServerRun([BODIED % 1 + BODIED % 2 + (BODIED % 3)[:30], "eof"])
    assert play.play() == expected_lines(1, 2) and 0 < play.ended_at < 2.0 and len(play.ran) == 2


def test_waiting_requests_are_not_started_once_their_client_has_disconnected() -> None:
    """A FIN alone may be a half-close; the reset in reply to the first response shows the disconnect."""
    play = ServerRun([BODIED % 1 + BODIED % 2 + BODIED % 3, 0.05, "abort"])
    assert play.play() == [] and play.ran == [b"/1", b"/2"]


def test_a_body_that_arrives_slowly_is_not_idle() -> None:
    def brief(server: HttpServer) -> None:
        server.limits.idle_timeout_s = 1.5

    pieces: list[Step] = [(BODIED % 0)[:-4]]
    for byte in b"body":
        pieces += [1.0, bytes([byte])]
    assert ServerRun(pieces, brief).play() == expected_lines(0)


def test_an_incomplete_request_is_not_run() -> None:
    def brief(server: HttpServer) -> None:
        server.limits.idle_timeout_s = 1.5

    play: Any = ServerRun([(BODIED % 1)[:-1]], brief)
    assert play.play() == [] and play.ran == [] and play.ended_at > 0


# Cancellation of the work for a client that disconnects


def cancels_on_eof(server: HttpServer) -> None:
    server.cancels_on_eof = True


def test_a_fin_cancels_the_handler_and_waiting_requests_are_rejected_unrun() -> None:
    play = ServerRun([BODIED % 1 + BODIED % 2 + BODIED % 3, 0.05, "eof"], cancels_on_eof)
    play.play()
    assert play.received.count(b"HTTP/1.1 503 ") == 3 and play.ran == [b"/1"]
    assert 0 < play.ended_at < 0.3 and play.received.count(b"Connection: close") == 1


def test_a_reset_cancels_the_handler_in_any_configuration() -> None:
    ended: list[float] = []

    def watched(server: HttpServer) -> None:
        async def handle(request: Request) -> Response:
            try:
                await asyncio.sleep(2.0)
            except asyncio.CancelledError:
                ended.append(server.loop.time() - START_US / 1e6)
                raise
            return Response(200)

        server.handler = handle

    play = ServerRun([BODIED % 1, 0.05, "reset"], watched)
    assert play.play() == []
    assert len(ended) == 1 and ended[0] < 0.2
    assert not play.server.serving and not play.server.unanswered()


def test_shielded_work_of_a_handler_completes_and_one_answer_is_sent() -> None:
    done: list[bytes] = []

    def shielding(server: HttpServer) -> None:
        async def work(request: Request) -> Response:
            await asyncio.sleep(0.5)
            done.append(request.target)
            return Response(200, b"did")

        async def handle(request: Request) -> Response:
            return await asyncio.shield(server.tasks.start(work(request)))

        server.handler = handle
        server.cancels_on_eof = True

    play = ServerRun([BODIED % 1, 0.05, "eof"], shielding)
    assert play.play() == [b"HTTP/1.1 503 Service Unavailable"] and done == [b"/1"]


class DepartedTransport:
    """The transport of a client whose disconnect the kernel has noticed and asyncio has not yet reported."""

    def __init__(self) -> None:
        self.is_aborted = False

    def get_extra_info(self, _: str) -> Any:
        return self

    def setsockopt(self, *_: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_aborted

    def write(self, data: bytes) -> None:
        pass

    def write_eof(self) -> None:
        raise OSError(107, "Transport endpoint is not connected")

    def abort(self) -> None:
        self.is_aborted = True


def test_a_connection_whose_disconnect_only_the_kernel_has_noticed_is_aborted() -> None:
    async def main() -> bool:
        async def handle(request: Request) -> Response:
            return Response(200, close=True)

        server, transport = HttpServer(handle, asyncio.get_running_loop()), DepartedTransport()
        connection = Connection(server)
        connection.connection_made(transport)  # type: ignore[arg-type]
        connection.data_received(BODIED % 0)
        await asyncio.gather(*server.serving)
        await asyncio.sleep(0)
        return transport.is_aborted

    assert asyncio.run(main())
