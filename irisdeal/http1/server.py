"""HTTP/1.1 server: passes complete requests to a handler, and sends its responses in the order of the requests.

Graceful shutdown, the same for all programs: the server continues for a while, because new requests still arrive.
Then it stops listening, answers the requests it has received, closes its end of each connection after the last
response, and is done once the clients have closed their ends and all bytes are sent, or the time has run out.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from irisdeal.http1.connection import Connection
from irisdeal.http1.messages import Handler, Request, RequestLimits, Response
from irisdeal.runtime.memory_budget import MemoryBudget
from irisdeal.runtime.tasks import Tasks

TIMEOUT_CHECK_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
DEFAULT_MEMORY_MB = 300.0


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The result of a drain: requests without a response, and response bytes that were not sent in time."""

    requests: list[Request]
    unsent_bytes: int


class HttpServer:
    """Listens, and passes complete requests to `handler`.

    A handler's task is cancelled when its client resets the connection; with `cancels_on_eof` also when the client
    closes its end (FIN). `on_client_disconnected` is called with each unanswered request whose client disconnected.
    """

    def __init__(
        self,
        handler: Handler,
        loop: asyncio.AbstractEventLoop,
        cancels_on_eof: bool = False,
        budget: MemoryBudget | None = None,
    ) -> None:
        """`budget`: of long bodies; by default that of a process with `DEFAULT_MEMORY_MB`."""
        self.budget = budget or MemoryBudget.of_limit(DEFAULT_MEMORY_MB)
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
        """Listen at an address, or use a socket that already listens. Raises OSError if the address is in use."""
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
        """Start serving a request."""
        task = self.tasks.start(self.handler(request))
        self.serving[task] = request
        return task

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.timeout_check = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    # Shutdown

    def unanswered(self) -> list[Request]:
        """Return the requests without a response, including running ones whose clients have disconnected."""
        waiting = [request for connection in self.connections for request in connection.waiting]
        return [*self.serving.values(), *waiting]

    def unsent_bytes(self) -> int:
        """Return how many response bytes are not yet passed to the operating system."""
        transports = (connection.transport for connection in self.connections)
        return sum(transport.get_write_buffer_size() for transport in transports if transport is not None)

    async def drain(self, quiet_until: float, ends_at: float) -> Unanswered:
        """Shut down gracefully; return what was left unanswered.

        Requests are accepted at least until `quiet_until`; the shutdown ends by `ends_at` (s on the loop's clock).
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
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _close_connections(self) -> bool:
        """Close the connections that can be closed now; return whether connections or running requests remain."""
        for connection in list(self.connections):
            connection.close_for_shutdown()
        return bool(self.connections or self.serving)

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self._stop_listening()
        if self.timeout_check is not None:
            self.timeout_check.cancel()
        for connection in list(self.connections):
            connection.abort()
