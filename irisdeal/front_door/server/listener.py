"""A listening socket that accepts no more connections than there are free slots.

The server of asyncio accepts the whole backlog before its first callback: a burst of connections would use up
the descriptors that backends, counter and discovery need.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from irisdeal.front_door.overload.backlog import Backlog
from irisdeal.front_door.server.config import Address
from irisdeal.front_door.server.host import Host

log = logging.getLogger("irisdeal.listener")

# Accepted per iteration of the event loop: at 0.15 ms for a rejection, 10 ms.
MAX_ACCEPTS_PER_TURN = 64
DESCRIPTOR_RETRY_DELAY_S = 0.05  # after accept() found no free descriptor
CAPACITY_RETRY_DELAY_S = 0.02  # longest pause while no slot is free; a freed slot ends it sooner


class AcceptedConnection(Protocol):
    """A connection object for an accepted socket."""

    def protocol(self) -> asyncio.Protocol:
        """The protocol to connect to the transport."""

    def connection_failed(self) -> None:
        """Clean up: no transport could be created."""


class Listener:
    """Connects each accepted socket to the object that `admit` returns.

    `has_room` returns whether a connection may be accepted. Until it does, connections stay in the backlog:
    accepting and closing them would reset them, and a request already written would be lost.
    """

    def __init__(
        self,
        admit: Callable[[], AcceptedConnection],
        loop: asyncio.AbstractEventLoop,
        has_room: Callable[[], bool] = lambda: True,
        host: Host | None = None,
    ) -> None:
        self.admit, self.loop, self.has_room, self.host = admit, loop, has_room, host or Host()
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.backlog = Backlog()
        self.is_paused = self.closes_when_empty = self.is_suspended = False
        self.on_closed: Callable[[], None] = lambda: None

    def listen(self, address: Address, reuse_port: bool = False) -> None:
        """Listen; with `reuse_port` other processes may use the same address. Raises OSError."""
        listening_socket = self.host.create_socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # after a restart
            if reuse_port:
                listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listening_socket.bind((address[0].strip("[]"), address[1]))
            listening_socket.listen(self.backlog.length)
            listening_socket.setblocking(False)
        except OSError:
            listening_socket.close()
            raise
        self.socket = listening_socket
        self.backlog.start_listening(self.loop.time())
        self.loop.add_reader(listening_socket, self._accept)

    def adopt(self, listening_socket: socket.socket) -> None:
        """Accept from a socket that is listening_socket already, and that other processes may share."""
        listening_socket.setblocking(False)
        listening_socket.listen(self.backlog.length)
        self.socket = listening_socket
        self.backlog.start_listening(self.loop.time())
        self.loop.add_reader(listening_socket, self._accept)

    def suspend(self) -> None:
        """Stop accepting: another process accepts from the same backlog."""
        if self.socket is not None and not self.is_suspended:
            self.is_suspended = self.is_paused = True
            self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """Accept again: the other process has ended."""
        if self.is_suspended:
            self.is_suspended = False
            self.resume_accepting()

    def port(self) -> int:
        """The port of the listening socket."""
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def close_when_empty(self) -> None:
        """Close once the backlog is empty: closing resets the connections in it, and their requests are lost."""
        self.closes_when_empty = True
        if self.is_suspended:  # the other process accepts the backlog
            self.close()
        elif not self.is_paused:
            self._accept()

    def close(self) -> None:
        """Close at once."""
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
            self.on_closed()

    def resume_accepting(self) -> None:
        """Accept again after a pause: a slot may be free."""
        if self.is_paused and not self.is_suspended and self.socket is not None:
            self.is_paused = False
            self.loop.add_reader(self.socket, self._accept)
            if self.closes_when_empty:  # an empty backlog triggers no read event
                self._accept()

    def _accept(self) -> None:
        count = self._accept_batch()
        if self.socket is not None:
            more = self.host.has_bytes(self.socket.fileno())
            if (length := self.backlog.record_accepted(count, more, self.loop.time())) is not None:
                self.socket.listen(length)  # changes the length of the backlog

    def _accept_batch(self) -> int:
        """Accept connections for this loop iteration; return their number."""
        for count in range(MAX_ACCEPTS_PER_TURN):
            if self.socket is None or self.is_paused:
                return count
            if not self.has_room():
                self._pause_accepting(self.socket, CAPACITY_RETRY_DELAY_S)
                return count
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.closes_when_empty:
                    self.close()
                return count
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    log.warning("cannot accept connections: %s", error)
                    self._pause_accepting(self.socket, DESCRIPTOR_RETRY_DELAY_S)
                    return count
                continue  # the client closed the connection while it was in the backlog
            task = self.loop.create_task(self._start_connection(accepted, self.admit()))
            self.tasks.add(task)  # the event loop keeps only weak references
            task.add_done_callback(self.tasks.discard)
        if self.closes_when_empty:
            self.loop.call_soon(self._accept)
        return MAX_ACCEPTS_PER_TURN

    def _pause_accepting(self, listening_socket: socket.socket, seconds: float) -> None:
        """Stop reading the socket for a while; it stays readable and would busy-loop the event loop."""
        self.loop.remove_reader(listening_socket)
        self.is_paused = True
        self.loop.call_later(seconds, self.resume_accepting)

    async def _start_connection(self, accepted: socket.socket, connection: AcceptedConnection) -> None:
        try:
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(connection.protocol, accepted)
        except OSError:  # reset by the client meanwhile
            accepted.close()
            connection.connection_failed()
