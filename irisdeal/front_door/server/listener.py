"""The listening socket. It accepts no more than there is room for.

The loop's own server accepts all that waits before it tells of the first: a burst of connections would
take every descriptor that backends, counter and discovery need.
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

# Connections accepted in one turn; the others wait for the next. At 0.15 ms for a refusal that is 10 ms.
MAX_ACCEPTS_PER_TURN = 64
DESCRIPTOR_RETRY_DELAY_S = 0.05  # s without accepting when descriptors have run out all the same
CAPACITY_RETRY_DELAY_S = (
    0.02  # s without accepting while no place is free, at most: one that is freed ends it
)


class AcceptedConnection(Protocol):
    """What the listener needs of a client's connection."""

    def protocol(self) -> asyncio.Protocol: ...

    def connection_failed(self) -> None:
        """No transport came of it."""


class Listener:
    """Hands each accepted connection to what `admit` returns.

    `room` says whether one may be accepted. While it says no, what waits stays in the kernel's queue:
    accepted and closed, it would be reset, and a request already written would be lost.
    """

    def __init__(
        self,
        admit: Callable[[], AcceptedConnection],
        loop: asyncio.AbstractEventLoop,
        room: Callable[[], bool] = lambda: True,
        host: Host | None = None,
    ) -> None:
        self.admit, self.loop, self.has_room, self.host = admit, loop, room, host or Host()
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.backlog = Backlog()
        self.is_paused = self.closes_when_empty = self.is_suspended = False
        self.on_closed: Callable[[], None] = lambda: None

    def listen(self, address: Address, beside: bool = False) -> None:
        """`beside`: another process may listen at the address as well. OSError where it cannot be had."""
        made = self.host.create_socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart takes its address again
            if beside:
                made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            made.bind((address[0].strip("[]"), address[1]))
            made.listen(self.backlog.length)
            made.setblocking(False)
        except OSError:
            made.close()
            raise
        self.socket = made
        self.backlog.start_listening(self.loop.time())
        self.loop.add_reader(made, self._accept)

    def adopt(self, listening: socket.socket) -> None:
        """Accept from a socket that listens already; another process may do so as well."""
        listening.setblocking(False)
        listening.listen(self.backlog.length)
        self.socket = listening
        self.backlog.start_listening(self.loop.time())
        self.loop.add_reader(listening, self._accept)

    def suspend(self) -> None:
        """Accept no more: another process has the same queue."""
        if self.socket is not None and not self.is_suspended:
            self.is_suspended = self.is_paused = True
            self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """It has gone."""
        if self.is_suspended:
            self.is_suspended = False
            self.resume_accepting()

    def port(self) -> int:
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def close_when_empty(self) -> None:
        """Close once nothing waits any more: closing resets what the kernel still holds, requests and all."""
        self.closes_when_empty = True
        if self.is_suspended:  # what waits is the other's
            self.close()
        elif not self.is_paused:
            self._accept()

    def close(self) -> None:
        """At once."""
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
            self.on_closed()

    def resume_accepting(self) -> None:
        """There may be room again."""
        if self.is_paused and not self.is_suspended and self.socket is not None:
            self.is_paused = False
            self.loop.add_reader(self.socket, self._accept)
            if self.closes_when_empty:  # an empty queue makes no socket readable
                self._accept()

    def _accept(self) -> None:
        count = self._accept_batch()
        if self.socket is not None:
            more = self.host.has_bytes(self.socket.fileno())
            if (length := self.backlog.record_accepted(count, more, self.loop.time())) is not None:
                self.socket.listen(length)  # a listening socket takes a new length as it is

    def _accept_batch(self) -> int:
        """Accept what may be accepted in this turn; how many that were."""
        for count in range(MAX_ACCEPTS_PER_TURN):
            if self.socket is None or self.is_paused:
                return count
            if not self.has_room():
                self._pause_accepting(self.socket, CAPACITY_RETRY_DELAY_S)
                return count
            try:
                made, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.closes_when_empty:
                    self.close()
                return count
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    log.warning("cannot accept: %s", error)
                    self._pause_accepting(self.socket, DESCRIPTOR_RETRY_DELAY_S)
                    return count
                continue  # that one was gone before we came to it
            task = self.loop.create_task(self._start_connection(made, self.admit()))
            self.tasks.add(task)  # the loop holds tasks weakly
            task.add_done_callback(self.tasks.discard)
        if self.closes_when_empty:
            self.loop.call_soon(self._accept)
        return MAX_ACCEPTS_PER_TURN

    def _pause_accepting(self, listening: socket.socket, seconds: float) -> None:
        """The socket stays readable: without a pause the loop would do nothing else."""
        self.loop.remove_reader(listening)
        self.is_paused = True
        self.loop.call_later(seconds, self.resume_accepting)

    async def _start_connection(self, made: socket.socket, client: AcceptedConnection) -> None:
        try:
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(client.protocol, made)
        except OSError:  # reset meanwhile
            made.close()
            client.connection_failed()
