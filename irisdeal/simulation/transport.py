"""The asyncio transport of a simulated connection."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from irisdeal.simulation.machine import Machine
from irisdeal.simulation.sockets import Socket

# In flight or unread on a connection; above it the sender's operating system accepts no more.
SOCKET_BUFFER_BYTES = 262_144
# Size limit of one read, as in asyncio.
MAX_READ_BYTES = 262_144
# Buffered in a transport; above it the protocol pauses writing, as in asyncio.
HIGH_WATERMARK_BYTES = 65_536
# Buffered in a transport; at or below it the protocol resumes writing, as in asyncio.
LOW_WATERMARK_BYTES = 16_384


class SimulatedTransport(asyncio.Transport):
    """The transport between a protocol and its socket."""

    def __init__(self, machine: Machine, sock: Socket, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._machine, self._socket, self._protocol = machine, sock, protocol
        self._buffer: deque[bytes] = deque()
        self._size = 0
        self._reading = False  # until the protocol has been notified of the connection
        self._paused = self._closing = self._lost = self._full = self._eof = False
        self._high, self._low = HIGH_WATERMARK_BYTES, LOW_WATERMARK_BYTES

    def begin(self, waiter: asyncio.Future[None] | None = None) -> None:
        """Notify the protocol of the connection, then start reading and resolve `waiter`."""
        self._socket.transport = self
        self._machine.call_soon(self._protocol.connection_made, self)
        self._machine.call_soon(self._start, waiter)

    def _start(self, waiter: asyncio.Future[None] | None) -> None:
        self._reading = True
        self.update_readable()
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Calls of asyncio.Transport

    def get_extra_info(self, name: str, default: object = None) -> object:
        """As in asyncio, for "socket" and "sockname"."""
        if name == "socket":
            return self._socket
        return self._socket.address if name == "sockname" else default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """As in asyncio."""
        self._protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """As in asyncio."""
        return self._protocol

    def is_closing(self) -> bool:
        """As in asyncio."""
        return self._closing

    def is_reading(self) -> bool:
        """As in asyncio."""
        return not (self._paused or self._closing)

    def pause_reading(self) -> None:
        """As in asyncio."""
        self._paused = True
        self.update_readable()

    def resume_reading(self) -> None:
        """As in asyncio."""
        self._paused = False
        self.update_readable()

    def get_write_buffer_size(self) -> int:
        """As in asyncio."""
        return self._size

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """As in asyncio."""
        return self._low, self._high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As in asyncio."""
        self._high = HIGH_WATERMARK_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def can_write_eof(self) -> bool:
        """As in asyncio."""
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """As in asyncio."""
        if self._lost or not data:
            return
        if self._eof:
            raise RuntimeError("write after write_eof")
        self._machine.spend(self._machine.costs.write)
        if self._socket.reset:  # as EPIPE: the written data is lost
            self._buffer.clear()
            return self._end_with(ConnectionResetError(104, "Connection reset by peer"))
        self._buffer.append(bytes(data))
        self._size += len(data)
        self.pump()
        if self._size > self._high and not self._full:
            self._full = True
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        """As in asyncio."""
        if not (self._eof or self._closing):
            if self._socket.reset:  # as shutdown(2) on a connection that the peer has reset
                raise OSError(107, "Transport endpoint is not connected")
            self._eof = True
            self.pump()

    def close(self) -> None:
        """As in asyncio."""
        if not self._closing:
            self._closing = True
            self.update_readable()
            if not self._buffer:
                self._end_with(None)

    def abort(self) -> None:
        """As in asyncio."""
        self._buffer.clear()
        self._size = 0
        self._closing = True
        self.update_readable()
        self._end_with(None)

    def _end_with(self, error: Exception | None) -> None:
        if not self._lost:
            self._lost = self._closing = True
            self.update_readable()
            self._machine.call_soon(self._end, error)

    def _end(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.transport = None
            self._socket.net.close(self._socket)

    # Calls of the socket and the network

    def has_buffered(self) -> bool:
        """Whether bytes are buffered that the socket has not accepted yet."""
        return bool(self._buffer)

    def pump(self) -> None:
        """Pass buffered bytes to the socket, as many as it accepts."""
        sock, peer = self._socket, self._socket.peer
        assert peer is not None
        while self._buffer and not sock.closed:
            free = SOCKET_BUFFER_BYTES - sock.in_flight - peer.inbox_size
            if free <= 0:
                return
            data = self._buffer.popleft()
            if len(data) > free:
                self._buffer.appendleft(data[free:])
                data = data[:free]
            self._size -= len(data)
            sock.net.send(sock, data)
        if self._full and self._size <= self._low:
            self._full = False
            self._protocol.resume_writing()
        if not self._buffer:
            if self._eof:
                sock.net.finish(sock)
            if self._closing:
                self._end_with(None)

    def update_readable(self) -> None:
        """Update whether the loop reads this transport: while the socket is readable and reading is not paused."""
        is_reading = self._reading and not (self._paused or self._closing)
        self._machine.set_readable(self, is_reading and self._socket.is_readable())

    def deliver(self) -> None:
        """Make one read, in a turn of the loop."""
        sock = self._socket
        try:
            if sock.inbox:
                self._protocol.data_received(self._read())
            elif sock.reset:
                return self._end_with(ConnectionResetError(104, "Connection reset by peer"))
            elif sock.fin:
                sock.fin = False
                if not self._protocol.eof_received():
                    self.close()
        except Exception as error:  # as in asyncio: the connection is closed, and the error is reported
            self._machine.call_exception_handler({"message": "a protocol failed", "exception": error})
            self.abort()
        self.update_readable()

    def _read(self) -> bytes:
        sock = self._socket
        data = sock.inbox.popleft()
        while sock.inbox and len(data) + len(sock.inbox[0]) <= MAX_READ_BYTES:
            data += sock.inbox.popleft()
        sock.inbox_size -= len(data)
        sock.net.acknowledge(sock)
        return data
