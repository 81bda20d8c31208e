"""A TCP fault proxy between processes: one gate per pair of caller and callee, with two directions.

Members reach each other at an address and the first port of their own range. Each member of a test has its own
range, so it calls `(the other's address, its own port)`. The gate of that pair listens there and forwards to the
port at which the other member really listens.
"""

from __future__ import annotations

import asyncio
import contextlib

MAX_READ_BYTES = 65_536
Address = tuple[str, int]


class FaultProxy:
    """Forwards TCP from one address to another. Data in a closed direction waits, complete and in order."""

    def __init__(self, at: Address, to: Address) -> None:
        self.at, self.to = at, to
        self.forth, self.back = asyncio.Event(), asyncio.Event()
        self.forth.set()
        self.back.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._connected, *self.at)

    def set_blocked(self, forth: bool, back: bool) -> None:
        """Close or open each of the two directions."""
        for event, is_shut in ((self.forth, forth), (self.back, back)):
            if is_shut:
                event.clear()
            else:
                event.set()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.forth.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.to)
            try:
                await asyncio.gather(
                    self._forward(reader, far_writer, self.forth),
                    self._forward(far_reader, writer, self.back),
                )
            finally:
                far_writer.close()
        writer.close()

    @staticmethod
    async def _forward(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: asyncio.Event
    ) -> None:
        """Forward one direction until the reader ends; then raise, so that both directions are closed."""
        while data := await reader.read(MAX_READ_BYTES):
            await way.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("one side has closed the connection")

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
