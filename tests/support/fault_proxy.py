"""A TCP proxy between processes that injects faults: one for each pair of caller and callee.

Members reach each other at an address and the first port of their own range. Each member of a test has its
own range, so it calls `(the other's address, its own port)`. The proxy of that pair listens there and
forwards to the port at which the other member really listens.
"""

from __future__ import annotations

import asyncio
import contextlib

MAX_READ_BYTES = 65_536
Address = tuple[str, int]


class FaultProxy:
    """Forwards TCP from one address to another. Data in a blocked direction waits, complete and in order."""

    def __init__(self, at: Address, to: Address) -> None:
        self.at, self.to = at, to
        self.forward_open, self.backward_open = asyncio.Event(), asyncio.Event()
        self.forward_open.set()
        self.backward_open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._connected, *self.at)

    def set_blocked(self, forward: bool, backward: bool) -> None:
        """Block or unblock each of the two directions."""
        for event, is_blocked in ((self.forward_open, forward), (self.backward_open, backward)):
            if is_blocked:
                event.clear()
            else:
                event.set()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.forward_open.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.to)
            try:
                await asyncio.gather(
                    self._forward(reader, far_writer, self.forward_open),
                    self._forward(far_reader, writer, self.backward_open),
                )
            finally:
                far_writer.close()
        writer.close()

    @staticmethod
    async def _forward(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        """Forward one direction until the reader ends; then raise, so that both directions are closed."""
        while data := await reader.read(MAX_READ_BYTES):
            await is_open.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("one side has closed the connection")

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
