"""The server side of HTTP/1.1: whole requests go to a handler, its answers go out in the order of asking.

A server ends by a drain, the same for all programs: it goes on for a while, since new requests still come; then it
listens no more, answers what it has taken, closes its end of each connection behind the last answer, and is over
once the clients have closed theirs and all bytes are out, or the time is.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Answer, Bounds, Handler, Request
from irisdeal.runtime.process import Tasks

LOOK_S = 1.0  # between two looks at what takes too long
DRAIN_LOOK_S = 0.05  # likewise at what a drain waits for


@dataclass(frozen=True, slots=True)
class Unanswered:
    """What had no answer, or not all of it, when a drain's time was over."""

    requests: list[Request]
    unsent_bytes: int


class HttpServer:
    """Listens, and hands whole requests to `handler`.

    A handler's task is cancelled when its client resets the connection, with `ends_at_eof` also when it closes its
    end (FIN).
    """

    def __init__(self, handler: Handler, loop: asyncio.AbstractEventLoop, ends_at_eof: bool = False) -> None:
        self.handler, self.loop, self.bounds, self.ends_at_eof = handler, loop, Bounds(), ends_at_eof
        self.connections: set[Connection] = set()
        self.tasks = Tasks()
        self.serving: dict[asyncio.Task[Answer], Request] = {}
        self.on_departed: Callable[[Request], None] = lambda request: None
        self.is_draining = False
        self.listening: asyncio.Server | None = None
        self.looking: asyncio.TimerHandle | None = None

    async def listen(
        self, address: tuple[str, int], backlog: int = 1024, sock: socket.socket | None = None
    ) -> None:
        """Serve at an address, or at a socket that listens there already. OSError where it is taken."""
        if sock is not None:
            self.listening = await self.loop.create_server(
                lambda: Connection(self), sock=sock, backlog=backlog
            )
        else:
            self.listening = await self.loop.create_server(
                lambda: Connection(self), *address, backlog=backlog, reuse_address=True
            )
        self._look()

    def serve(self, request: Request) -> asyncio.Task[Answer]:
        """Begin to serve a request."""
        task = self.tasks.start(self.handler(request))
        self.serving[task] = request
        return task

    def _look(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.look(now)
        self.looking = self.loop.call_later(LOOK_S, self._look)

    # The end

    def owed(self) -> list[Request]:
        """The requests that have no answer yet, and those at work whose clients have left."""
        waiting = [request for connection in self.connections for request in connection.waiting]
        return [*self.serving.values(), *waiting]

    def unsent_bytes(self) -> int:
        """Bytes of answers that the system has not taken yet."""
        transports = (connection.transport for connection in self.connections)
        return sum(transport.get_write_buffer_size() for transport in transports if transport is not None)

    async def drain(self, quiet_until: float, ends_at: float) -> Unanswered:
        """End in order. Takes requests until `quiet_until` at least, and is over by `ends_at` (s on the loop's
        clock); what was not answered by then is cut, and told.
        """
        self.is_draining = True
        await self._until(lambda: self.loop.time() >= quiet_until and not self.owed(), ends_at)
        self._stop_listening()
        await self._until(lambda: not self._leave(), ends_at)
        unanswered = Unanswered(self.owed(), self.unsent_bytes())
        self.close()
        return unanswered

    async def _until(self, is_over: Callable[[], bool], ends_at: float) -> None:
        while not is_over() and self.loop.time() < ends_at:
            await asyncio.sleep(DRAIN_LOOK_S)

    def _leave(self) -> bool:
        """End what can be ended; whether something is left."""
        for connection in list(self.connections):
            connection.leave()
        return bool(self.connections or self.serving)

    def _stop_listening(self) -> None:
        if self.listening is not None:
            self.listening.close()
            self.listening = None

    def close(self) -> None:
        """End at once."""
        self._stop_listening()
        if self.looking is not None:
            self.looking.cancel()
        for connection in list(self.connections):
            connection.abort()
