"""The server side of HTTP/1.1: complete requests go to a handler, its answers go out in the requests' order.

A server shuts down by a drain, the same for all programs: it goes on for a while, since new requests still come;
then it stops listening, answers what it has received, closes its end of each connection behind the last answer, and
is done once the clients have closed theirs and all bytes are out, or the time is over.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Handler, Request, RequestLimits, Response
from irisdeal.runtime.process import Tasks

TIMEOUT_CHECK_S = 1.0  # between two checks of the clients' time-outs
DRAIN_POLL_S = 0.05  # between two checks of what a drain waits for


@dataclass(frozen=True, slots=True)
class Unanswered:
    """What a drain left: requests without an answer, and bytes of answers that were not sent in its time."""

    requests: list[Request]
    unsent_bytes: int


class HttpServer:
    """Listens, and hands complete requests to `handler`.

    A handler's task is cancelled when its client resets the connection; with `cancels_on_eof` also when the client
    closes its end (FIN). `on_client_disconnected` is called with each request whose client was seen to have left.
    """

    def __init__(
        self, handler: Handler, loop: asyncio.AbstractEventLoop, cancels_on_eof: bool = False
    ) -> None:
        self.handler, self.loop, self.cancels_on_eof = handler, loop, cancels_on_eof
        self.limits = RequestLimits()
        self.connections: set[Connection] = set()
        self.tasks = Tasks()
        self.serving: dict[asyncio.Task[Response], Request] = {}
        self.on_client_disconnected: Callable[[Request], None] = lambda request: None
        self.is_draining = False
        self.listener: asyncio.Server | None = None
        self.timeout_check: asyncio.TimerHandle | None = None

    async def listen(
        self, address: tuple[str, int], backlog: int = 1024, sock: socket.socket | None = None
    ) -> None:
        """Serve at an address, or at a socket that listens there already. OSError where the address is taken."""
        if sock is not None:
            self.listener = await self.loop.create_server(
                lambda: Connection(self), sock=sock, backlog=backlog
            )
        else:
            self.listener = await self.loop.create_server(
                lambda: Connection(self), *address, backlog=backlog, reuse_address=True
            )
        self._check_timeouts()

    def serve(self, request: Request) -> asyncio.Task[Response]:
        """Begin to serve a request."""
        task = self.tasks.start(self.handler(request))
        self.serving[task] = request
        return task

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.timeout_check = self.loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)

    # The end

    def unanswered(self) -> list[Request]:
        """Return the requests that have no answer yet, and those at work whose clients have left."""
        waiting = [request for connection in self.connections for request in connection.waiting]
        return [*self.serving.values(), *waiting]

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the system has not taken yet."""
        transports = (connection.transport for connection in self.connections)
        return sum(transport.get_write_buffer_size() for transport in transports if transport is not None)

    async def drain(self, quiet_until: float, ends_at: float) -> Unanswered:
        """Shut down gracefully; return what was cut off unanswered.

        Requests are accepted until `quiet_until` at least, and all is over by `ends_at` (s on the loop's clock).
        """
        self.is_draining = True
        await self._poll(lambda: self.loop.time() >= quiet_until and not self.unanswered(), ends_at)
        self._stop_listening()
        await self._poll(lambda: not self._close_connections(), ends_at)
        unanswered = Unanswered(self.unanswered(), self.unsent_bytes())
        self.close()
        return unanswered

    async def _poll(self, is_over: Callable[[], bool], ends_at: float) -> None:
        while not is_over() and self.loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_S)

    def _close_connections(self) -> bool:
        """Close the connections that can be closed now; return whether something is left."""
        for connection in list(self.connections):
            connection.close_for_shutdown()
        return bool(self.connections or self.serving)

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Stop listening, and close all connections at once."""
        self._stop_listening()
        if self.timeout_check is not None:
            self.timeout_check.cancel()
        for connection in list(self.connections):
            connection.abort()
