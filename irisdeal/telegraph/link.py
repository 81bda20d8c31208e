"""Calls between processes: a link that connects when it is needed, and the side that answers.

Every call has a time; one that runs out ends the connection, since a dead machine says nothing and whatever
is written to it hangs. Calls and answers carry a number, so a long ask does not hold up the others.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

from returns.result import Failure, Result, Success

from irisdeal.mast.events import tell
from irisdeal.mast.process import Tasks
from irisdeal.mast.settings import Address
from irisdeal.mast.trouble import Trouble
from irisdeal.telegraph.frames import BadFrame, Reader, encode

CONNECT = 0.4  # s to come up: over a hundred times the delay within a region
USER_TIMEOUT = 2000  # ms that written bytes may stay unacknowledged
MOST_CALLS = 256  # calls of one connection at work at once; more are answered with an error

ONE_WAY = -1  # the number of a word that wants no answer

Handler = Callable[[str, str, Any], Awaitable[Any]]  # peer, kind, body
Quick = Callable[[str, str, Any], Any]  # likewise, answered at once; `LATER` where it cannot be
LATER = object()


def tune(transport: asyncio.BaseTransport) -> None:
    """No delay for small frames, and an end for what a dead machine does not acknowledge."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)


class _Calls(asyncio.Protocol):
    """The calling end of one connection."""

    def __init__(self) -> None:
        self.reader, self.open = Reader(), True
        self.transport: asyncio.Transport | None = None
        self.asked: dict[int, asyncio.Future[Result[Any, str]]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        tune(transport)

    def data_received(self, data: bytes) -> None:
        try:
            for item in self.reader.feed(data):
                number, good, body = item
                asked = self.asked.pop(number, None)
                if asked is not None and not asked.done():
                    asked.set_result(Success(body) if good else Failure(str(body)))
        except (BadFrame, ValueError, TypeError) as error:
            tell(500, error=error)
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        asked, self.asked = self.asked, {}
        for waiting in asked.values():
            if not waiting.done():
                waiting.set_result(Failure("the connection ended"))

    def drop(self) -> None:
        self.open = False
        if self.transport is not None:
            self.transport.abort()


class Link:
    """One process as seen by another: `call` it, and hear its answer or the trouble."""

    def __init__(self, address: Address, name: str) -> None:
        self.address, self.name = address, name
        self.peer = f"{address[0]}:{address[1]}"
        self.calls: _Calls | None = None
        self.connecting: asyncio.Lock | None = None
        self.number = 0

    async def _connected(self) -> _Calls:
        if self.connecting is None:
            self.connecting = asyncio.Lock()
        async with self.connecting:
            if self.calls is None or not self.calls.open:
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(CONNECT):
                    _, calls = await loop.create_connection(_Calls, *self.address)
                self.calls = calls
                assert calls.transport is not None
                calls.transport.write(encode([0, "hello", self.name]))
            return self.calls

    async def call(self, kind: str, body: Any, within: float) -> Result[Any, Trouble]:
        """The answer to this call within so many seconds, or the trouble."""
        try:
            calls = await self._connected()
        except (OSError, TimeoutError) as error:
            return Failure(Trouble(kind, self.peer, f"not connected: {error or 'timed out'}", never_sent=True))
        self.number += 1
        number = self.number
        asked: asyncio.Future[Result[Any, str]] = asyncio.get_running_loop().create_future()
        calls.asked[number] = asked
        assert calls.transport is not None
        calls.transport.write(encode([number, kind, body]))
        try:
            async with asyncio.timeout(within):
                answer = await asked
        except TimeoutError:
            calls.drop()
            return Failure(Trouble(kind, self.peer, f"silent for {within:g} s"))
        finally:
            calls.asked.pop(number, None)
        return answer.alt(lambda detail: Trouble(kind, self.peer, detail))

    def tell(self, kind: str, body: Any) -> bool:
        """A word that wants no answer; False where there is no connection for it."""
        calls = self.calls
        if calls is None or not calls.open or calls.transport is None:
            return False
        calls.transport.write(encode([ONE_WAY, kind, body]))
        return True

    def close(self) -> None:
        if self.calls is not None:
            self.calls.drop()


class _Answers(asyncio.Protocol):
    """The answering end of one connection."""

    def __init__(self, server: Server) -> None:
        self.server, self.reader, self.peer, self.at_work = server, Reader(), "?", 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        tune(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)
        if self.server.lost is not None:
            self.server.lost(self.peer)

    def data_received(self, data: bytes) -> None:
        try:
            for item in self.reader.feed(data):
                number, kind, body = item
                if number == 0:
                    self.peer = str(body)
                elif (quick := self.server.quick) is not None and (
                        answer := quick(self.peer, str(kind), body)) is not LATER:
                    if number != ONE_WAY:
                        self._write([number, True, answer])
                elif self.at_work >= MOST_CALLS:
                    self._write([number, False, "too many calls at once"])
                else:
                    self.at_work += 1
                    self.server.tasks.start(self._answer(number, str(kind), body))
        except (BadFrame, ValueError, TypeError) as error:
            tell(500, peer=self.peer, error=error)
            if self.transport is not None:
                self.transport.abort()

    async def _answer(self, number: int, kind: str, body: Any) -> None:
        try:
            answer = [number, True, await self.server.handler(self.peer, kind, body)]
        except Exception as error:  # whatever it is, the caller must hear of it
            tell(105, call=kind, peer=self.peer, error=repr(error))
            answer = [number, False, repr(error)]
        finally:
            self.at_work -= 1
        if number != ONE_WAY:
            self._write(answer)

    def _write(self, answer: list[Any]) -> None:
        if self.transport is not None:
            self.transport.write(encode(answer))


class Server:
    """Answers the calls that come to an address. A handler that raises answers with the error.

    `quick` is asked first, and `lost` hears of each peer whose connection ended.
    """

    def __init__(
        self, handler: Handler, quick: Quick | None = None, lost: Callable[[str], None] | None = None,
    ) -> None:
        self.handler, self.quick, self.lost, self.tasks = handler, quick, lost, Tasks()
        self.connections: set[_Answers] = set()
        self.listening: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(
            lambda: _Answers(self), *address, backlog=256, reuse_address=True)

    def close(self) -> None:
        if self.listening is not None:
            self.listening.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.tasks.cancel()
