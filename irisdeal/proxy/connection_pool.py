"""The connections to all backends, and one attempt over one of them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from irisdeal.front_door.server.socket_state import has_bytes
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.proxy.backend_message import BackendRequest
from irisdeal.proxy.outcome import AttemptOutcome, End

CONNECT = 0.25  # s to come up: an accept queue that is full answers after seconds
IDLE_MUTATING = 0.65  # of the rest that a connection may have, for what runs once: a reset costs its answer
MOST_RESTING = 32  # connections of one backend


class ConnectionPool:
    """The connections to all backends, kept by life: another may stand at the same address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int) -> None:
        self.loop, self.most = loop, most
        self.resting: dict[str, list[BackendConnection]] = {}
        self.all: set[BackendConnection] = set()
        loop.call_later(1.0, self._sweep)

    async def send(self, backend: Backend, request: BackendRequest) -> AttemptOutcome:
        """One attempt. Cancelled, it ends at once, and its connection with it."""
        send_by = min(request.until, request.send_by)
        # we stood still: its place and its permit were given for a time that is over
        if self.loop.time() >= send_by:
            return AttemptOutcome(End.UNSENT, "its time is over")
        connection = self._rested(backend, request.is_mutating, request.attempt_id)
        if connection is None:
            opened = await self._open(backend, send_by)
            if isinstance(opened, AttemptOutcome):
                return opened
            connection = opened
        waiting = connection.start(request)
        try:
            async with asyncio.timeout_at(request.until):
                return await waiting
        except TimeoutError:
            connection.give_up()
            return AttemptOutcome(End.LOST, "no answer in time", late=True)
        except asyncio.CancelledError:
            connection.give_up()
            raise
        finally:
            if not connection.dead:
                self._rest(connection)

    async def _open(self, backend: Backend, send_by: float) -> BackendConnection | AttemptOutcome:
        """A new connection, or why there is none."""
        if len(self.all) >= self.most and not self._make_room():
            return AttemptOutcome(End.UNSENT, "no connection to be had")
        connection = BackendConnection(self, backend)
        self.all.add(connection)
        try:
            async with asyncio.timeout(min(CONNECT, send_by - self.loop.time())):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError) as error:
            connection.drop()
            return AttemptOutcome(End.UNSENT, f"not connected: {error or 'timed out'}")
        except asyncio.CancelledError:
            connection.drop()
            raise
        if connection.dead or connection.transport is None:
            return AttemptOutcome(End.UNSENT, "closed as it came up")
        if has_bytes(connection.file):  # an end that is known before our first byte
            connection.drop()
            return AttemptOutcome(End.UNSENT, "closed as it came up")
        return connection

    def _rested(self, backend: Backend, mutating: bool, id_: bytes = b"") -> BackendConnection | None:
        """The connection that rested least, where it may be used for this attempt."""
        resting, now = self.resting.get(backend.id, []), self.loop.time()
        while resting:
            connection = resting.pop()
            most = connection.idle_most * (IDLE_MUTATING if mutating else 1.0)
            if connection.dead or connection.transport is None or connection.transport.is_closing():
                continue
            if now - connection.idle_since > most:
                if now - connection.idle_since > connection.idle_most:
                    connection.drop()
                else:  # the newest is too old already
                    resting.append(connection)
                    return None
                continue
            if has_bytes(connection.file) or (id_ and connection.id == id_):
                connection.drop()
                continue
            backend.idle_connections = len(resting)
            return connection
        backend.idle_connections = 0
        return None

    def connected(self, now: float, mutating: bool) -> Iterable[str]:
        """The lives to which a connection rests that may be used now."""
        part = IDLE_MUTATING if mutating else 1.0
        return (
            id_
            for id_, resting in self.resting.items()
            if resting and now - resting[-1].idle_since <= resting[-1].idle_most * part
        )

    def _rest(self, connection: BackendConnection) -> None:
        connection.idle_since = self.loop.time()
        resting = self.resting.setdefault(connection.backend.id, [])
        resting.append(connection)
        connection.backend.idle_connections = len(resting)
        if len(resting) > MOST_RESTING:
            resting[0].drop()

    def _make_room(self) -> bool:
        oldest = min(
            (few[0] for few in self.resting.values() if few), key=lambda c: c.idle_since, default=None
        )
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def forget(self, connection: BackendConnection) -> None:
        self.all.discard(connection)
        resting = self.resting.get(connection.backend.id)
        if resting and connection in resting:
            resting.remove(connection)
            connection.backend.idle_connections = len(resting)
        if not resting:
            self.resting.pop(connection.backend.id, None)

    def retire(self, id_: str) -> None:
        """A life that is gone: its resting connections end."""
        for connection in list(self.resting.get(id_, ())):
            connection.drop()

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        now = self.loop.time()
        for resting in list(self.resting.values()):
            for connection in [c for c in resting if now - c.idle_since > c.idle_most]:
                connection.drop()
