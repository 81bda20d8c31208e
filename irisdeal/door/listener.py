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

from irisdeal.door.config import Address

log = logging.getLogger("irisdeal.listener")

BACKLOG = 1024
BURST = 16  # connections accepted in one turn; the others wait for the next
PAUSE = 0.05  # s without accepting when descriptors have run out all the same


class Accepted(Protocol):
    """What the listener needs of a client's connection."""

    def protocol(self) -> asyncio.Protocol: ...

    def unborn(self) -> None:
        """No transport came of it."""


class Listener:
    """Hands each accepted connection to what `admit` returns; None closes it."""

    def __init__(self, admit: Callable[[], Accepted | None], loop: asyncio.AbstractEventLoop) -> None:
        self.admit, self.loop = admit, loop
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: Address) -> None:
        made = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart takes its address again
            made.bind((address[0].strip("[]"), address[1]))
            made.listen(BACKLOG)
            made.setblocking(False)
        except OSError:
            made.close()
            raise
        self.socket = made
        self.loop.add_reader(made, self._accept)

    def port(self) -> int:
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def close(self) -> None:
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        for _ in range(BURST):
            if self.socket is None:
                return
            try:
                made, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    return self._pause(self.socket, error)
                continue  # that one was gone before we came to it
            if (client := self.admit()) is None:
                made.close()
            else:
                task = self.loop.create_task(self._take_in(made, client))
                self.tasks.add(task)  # the loop holds tasks weakly
                task.add_done_callback(self.tasks.discard)

    def _pause(self, listening: socket.socket, error: OSError) -> None:
        """The socket stays readable: without a pause the loop would do nothing else."""
        log.warning("cannot accept: %s", error)
        self.loop.remove_reader(listening)
        self.loop.call_later(PAUSE, self._resume, listening)

    def _resume(self, listening: socket.socket) -> None:
        if self.socket is listening:
            self.loop.add_reader(listening, self._accept)

    async def _take_in(self, made: socket.socket, client: Accepted) -> None:
        try:
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(client.protocol, made)
        except OSError:  # reset meanwhile
            made.close()
            client.unborn()
