"""A proxy of our own between processes: one gate for each pair of caller and called, with two directions.

Members find each other by an address and one port, the first of their own range. Each member of a test has a
range of its own, so it calls `(other's address, own port)`: there is the gate of that pair, which leads on to
where the other one listens.
"""

from __future__ import annotations

import asyncio
import contextlib

MOST_READ = 65_536  # bytes
Address = tuple[str, int]


class Gate:
    """TCP from one address to another. What comes while a direction is shut waits, whole and in order."""

    def __init__(self, at: Address, to: Address) -> None:
        self.at, self.to = at, to
        self.forth, self.back = asyncio.Event(), asyncio.Event()
        self.forth.set()
        self.back.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._connected, *self.at)

    def shut(self, forth: bool, back: bool) -> None:
        """Which of the two directions is shut from now on."""
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
                    self._pump(reader, far_writer, self.forth), self._pump(far_reader, writer, self.back)
                )
            finally:
                far_writer.close()
        writer.close()

    @staticmethod
    async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: asyncio.Event) -> None:
        """Until either end is gone: then both go, as a connection ends."""
        while data := await reader.read(MOST_READ):
            await way.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("the end of one side")

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
