"""Pool of connections to all backends, and the execution of one attempt over a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.proxy.backend_request import BackendRequest
from irisdeal.runtime.socket_state import is_readable

CONNECT_TIMEOUT_S = 0.25  # short, as with a full accept queue connecting takes seconds
# Share of the maximum idle time for mutating requests, which cannot be retried after a reset.
MUTATING_IDLE_SHARE = 0.65
MAX_IDLE_CONNECTIONS = 32  # to one backend
SWEEP_INTERVAL_S = 1.0  # of closing connections that were idle too long


class ConnectionPool:
    """The connections to all backends, by incarnation, as another one may take over the same address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, max_connections: int) -> None:
        """`max_connections`: to all backends together."""
        self.loop, self.max_connections = loop, max_connections
        self.idle: dict[str, list[BackendConnection]] = {}  # incarnation -> connections, longest idle first
        self.all: set[BackendConnection] = set()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def send(self, backend: Backend, request: BackendRequest) -> AttemptOutcome:
        """Execute one attempt. On cancellation its connection is closed."""
        send_by = min(request.deadline, request.send_by)
        # After a pause of this process, its reservation and permit may have expired.
        if self.loop.time() >= send_by:
            return AttemptOutcome(AttemptEnd.NOT_SENT, "its time is over")
        connection = self._take_idle(backend, request.is_mutating, request.attempt_id)
        if connection is None:
            opened = await self._open(backend, send_by)
            if isinstance(opened, AttemptOutcome):
                return opened
            connection = opened
        response = connection.start(request)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await response
        except TimeoutError:
            connection.give_up()
            return AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "no answer in time", is_timed_out=True)
        except asyncio.CancelledError:
            connection.give_up()
            raise
        finally:
            if not connection.is_dead:
                self._put_idle(connection)

    async def _open(self, backend: Backend, send_by: float) -> BackendConnection | AttemptOutcome:
        """Return a new connection, or the outcome `NOT_SENT` with the reason."""
        if len(self.all) >= self.max_connections and not self._drop_longest_idle():
            return AttemptOutcome(AttemptEnd.NOT_SENT, "no connection to be had")
        connection = BackendConnection(backend, self._remove)
        self.all.add(connection)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, send_by - self.loop.time())):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError) as error:
            connection.drop()
            return AttemptOutcome(AttemptEnd.NOT_SENT, f"not connected: {error or 'timed out'}")
        except asyncio.CancelledError:
            connection.drop()
            raise
        if connection.is_dead or connection.transport is None:
            return AttemptOutcome(AttemptEnd.NOT_SENT, "closed as it came up")
        if is_readable(connection.descriptor):  # closed by the peer before the first byte was sent
            connection.drop()
            return AttemptOutcome(AttemptEnd.NOT_SENT, "closed as it came up")
        return connection

    def _take_idle(
        self, backend: Backend, is_mutating: bool, attempt_id: bytes = b""
    ) -> BackendConnection | None:
        """Return the most recently used connection that may be used for this attempt; None if there is none."""
        idle, now = self.idle.get(backend.id, []), self.loop.time()
        while idle:
            connection = idle.pop()
            if not connection.is_open():
                continue
            idle_s = now - connection.idle_since
            if idle_s > connection.max_idle_s:
                connection.drop()
                continue
            if is_mutating and idle_s > connection.max_idle_s * MUTATING_IDLE_SHARE:
                idle.append(connection)  # all others have been idle for longer
                return None
            if is_readable(connection.descriptor) or (attempt_id and connection.attempt_id == attempt_id):
                connection.drop()
                continue
            backend.idle_connections = len(idle)
            return connection
        backend.idle_connections = 0
        return None

    def connected(self, now: float, is_mutating: bool) -> Iterable[str]:
        """Return the incarnations with an idle connection that may be used now."""
        share = MUTATING_IDLE_SHARE if is_mutating else 1.0
        return (
            id_
            for id_, idle in self.idle.items()
            if idle and now - idle[-1].idle_since <= idle[-1].max_idle_s * share
        )

    def _put_idle(self, connection: BackendConnection) -> None:
        connection.idle_since = self.loop.time()
        idle = self.idle.setdefault(connection.backend.id, [])
        idle.append(connection)
        connection.backend.idle_connections = len(idle)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle[0].drop()

    def _drop_longest_idle(self) -> bool:
        """Drop the connection that has been idle longest; return whether there was one."""
        candidates = (idle[0] for idle in self.idle.values() if idle)
        longest_idle = min(candidates, key=lambda connection: connection.idle_since, default=None)
        if longest_idle is not None:
            longest_idle.drop()
        return longest_idle is not None

    def _remove(self, connection: BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        self.all.discard(connection)
        idle = self.idle.get(connection.backend.id)
        if idle and connection in idle:
            idle.remove(connection)
            connection.backend.idle_connections = len(idle)
        if not idle:
            self.idle.pop(connection.backend.id, None)

    def retire(self, id_: str) -> None:
        """Drop the idle connections to an incarnation that is draining or gone."""
        for connection in list(self.idle.get(id_, ())):
            connection.drop()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for idle in list(self.idle.values()):
            expired = [
                connection for connection in idle if now - connection.idle_since > connection.max_idle_s
            ]
            for connection in expired:
                connection.drop()
