"""A network in memory, as its two ends see one: the sockets of each machine's system, and the ways between.

What is promised is what TCP promises (RFC 9293): bytes of one connection come in order, once, or the
connection ends. Nothing else is. Where a segment ends is drawn; ways have delay, jitter, a rate, losses that
cost a resend; what is on its way when a process dies comes or not by when it left.

Ends, as Linux has them:

- A process that closes a socket with nothing unread sends FIN; with bytes unread, or when bytes come later,
  RST (RFC 9293, 3.6; RFC 2525, 2.17). So an answer can be lost to a close that crossed a request.
- RST may or may not take along what waits unread at the other end: drawn, since neither is promised.
- A listening socket's queue holds `backlog` + 1 connections. What comes beyond is dropped, and its SYN sent
  again after 1, 3 and 7 s (RFC 6298, 2: the first time-out is 1 s, doubled each time).
- Connections come up, and their bytes are kept, before the process accepts them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from irisdeal.simulation.machine import Machine
from irisdeal.simulation.world import World

Address = tuple[str, int]

WINDOW = 262_144  # bytes of one way that are out or unread before the sender's system takes no more
MOST_READ = 262_144  # bytes of one read, as asyncio's
HIGH, LOW = 65_536, 16_384  # bytes in a transport above which its protocol is to pause, and below to go on
CUT = 0.05  # share of writes that come as two segments
KEPT = 0.5  # chance that bytes unread at a reset are still read
RESEND = 200_000  # µs: Linux's least time before a lost segment is sent again
SYN_AGAIN = (1_000_000, 2_000_000, 4_000_000)  # µs between tries of a connection that does not come up
FIRST_PORT = 20_000


class Readable(Protocol):
    """Something that a loop can be told to read."""

    def deliver(self) -> None: ...


@dataclass(eq=False)
class Way:
    """What lies between two ends. Times in µs, `rate` in bytes a second (0: no limit), `loss` a share."""

    delay: int = 50
    jitter: int = 100
    rate: float = 0.0
    loss: float = 0.0
    silent: bool = False  # nothing passes; what is sent comes once it ends
    cut: bool = False  # likewise, and no connection comes up
    held: list[tuple[Socket, int, str, Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    ends: dict[Socket, None] = field(default_factory=dict)  # both ends of each connection
    back: Way | None = None  # by which the end that was called sends; None: by this one


class Socket:
    """One end of a connection, as the system has it."""

    __slots__ = (
        "address",
        "closed",
        "fin",
        "fin_sent",
        "free_at",
        "inbox",
        "last",
        "machine",
        "net",
        "number",
        "other",
        "out",
        "reset",
        "size",
        "transport",
        "way",
    )

    def __init__(self, net: Network, machine: Machine, way: Way) -> None:
        self.net, self.machine, self.way = net, machine, way
        self.number = -1
        self.address: Address = ("", 0)
        self.other: Socket | None = None
        self.transport: Transport | None = None
        self.inbox: deque[bytes] = deque()
        self.size = 0  # bytes in it
        self.out = 0  # bytes on their way to the other end
        self.fin = self.fin_sent = self.reset = self.closed = False
        self.last = self.free_at = 0  # µs: when what was sent last arrives; when the way is free again

    def fileno(self) -> int:
        return self.number

    def setblocking(self, flag: bool) -> None:
        pass

    def setsockopt(self, *_: Any) -> None:
        pass

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        self.net.close(self)

    def waits(self) -> bool:
        """Whether a read would return at once."""
        return bool(self.inbox) or self.fin or self.reset

    def changed(self) -> None:
        if self.transport is not None:
            self.transport.look()


class Port:
    """A listening socket."""

    def __init__(self, net: Network, machine: Machine) -> None:
        self.net, self.machine = net, machine
        self.number = machine.open_file(self)
        self.address: Address = ("", 0)
        self.backlog = -1  # not listening yet
        self.queue: deque[Socket] = deque()
        self.dropped = 0  # SYNs that found the queue full
        self._callback: Callable[[], object] | None = None

    def fileno(self) -> int:
        return self.number

    def setblocking(self, flag: bool) -> None:
        pass

    def setsockopt(self, *_: Any) -> None:
        pass

    def getsockname(self) -> Address:
        return self.address

    def bind(self, address: Address) -> None:
        self.address = self.net.bind(self, address)

    def listen(self, backlog: int = 128) -> None:
        self.backlog = backlog

    def accept(self) -> tuple[Socket, Address]:
        if not self.queue:
            raise BlockingIOError(11, "nothing waits")
        made = self.queue[0]
        made.number = self.machine.open_file(made)
        self.queue.popleft()
        self.machine.spend(self.machine.costs.connection)
        return made, made.address

    def close(self) -> None:
        self.net.close(self)

    def waits(self) -> bool:
        return bool(self.queue)

    # The loop's

    def watch(self, callback: Callable[[], object]) -> None:
        self._callback = callback
        self.changed()

    def unwatch(self) -> bool:
        was, self._callback = self._callback is not None, None
        self.changed()
        return was

    def changed(self) -> None:
        self.machine.readable(self, self._callback is not None and bool(self.queue))

    def deliver(self) -> None:
        try:
            if self._callback is not None:
                self._callback()
        except Exception as error:  # as asyncio: told, and the loop goes on
            self.machine.call_exception_handler({"message": "a reader failed", "exception": error})
        self.changed()


class Transport(asyncio.Transport):
    """What a protocol has of its connection."""

    def __init__(self, machine: Machine, sock: Socket, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._machine, self._socket, self._protocol = machine, sock, protocol
        self._buffer: deque[bytes] = deque()
        self._size = 0
        self._reading = False  # until the protocol has heard that it is there
        self._paused = self._closing = self._lost = self._full = self._eof = self._ended = False
        self._high, self._low = HIGH, LOW

    def begin(self, waiter: asyncio.Future[None] | None = None) -> None:
        self._socket.transport = self
        self._machine.call_soon(self._protocol.connection_made, self)
        self._machine.call_soon(self._start, waiter)

    def _start(self, waiter: asyncio.Future[None] | None) -> None:
        self._reading = True
        self.look()
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # asyncio's calls

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self._socket, "sockname": self._socket.address}.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return not (self._paused or self._closing)

    def pause_reading(self) -> None:
        self._paused = True
        self.look()

    def resume_reading(self) -> None:
        self._paused = False
        self.look()

    def get_write_buffer_size(self) -> int:
        return self._size

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low, self._high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH if high is None else high
        self._low = self._high // 4 if low is None else low

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._lost or not data:
            return
        if self._eof:
            raise RuntimeError("write after write_eof")
        self._machine.spend(self._machine.costs.write)
        if self._socket.reset:  # as EPIPE: what was written goes nowhere
            self._buffer.clear()
            return self._end_with(ConnectionResetError(104, "Connection reset by peer"))
        self._buffer.append(bytes(data))
        self._size += len(data)
        self.pump()
        if self._size > self._high and not self._full:
            self._full = True
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        if not (self._eof or self._closing):
            if self._socket.reset:  # as shutdown(2) on a connection that the other side has reset
                raise OSError(107, "Transport endpoint is not connected")
            self._eof = True
            self.pump()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.look()
            if not self._buffer:
                self._end_with(None)

    def abort(self) -> None:
        self._buffer.clear()
        self._size = 0
        self._closing = True
        self.look()
        self._end_with(None)

    # Inside

    def _end_with(self, error: Exception | None) -> None:
        if not self._lost:
            self._lost = self._closing = True
            self.look()
            self._machine.call_soon(self._end, error)

    def _end(self, error: Exception | None) -> None:
        self._ended = True
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.transport = None
            self._socket.net.close(self._socket)

    def pump(self) -> None:
        """Give the system what it takes."""
        sock, other = self._socket, self._socket.other
        assert other is not None
        while self._buffer and not sock.closed:
            room = WINDOW - sock.out - other.size
            if room <= 0:
                return
            data = self._buffer.popleft()
            if len(data) > room:
                self._buffer.appendleft(data[room:])
                data = data[:room]
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

    def look(self) -> None:
        able = self._reading and not (self._paused or self._closing)
        self._machine.readable(self, able and self._socket.waits())

    def deliver(self) -> None:
        """In the loop's turn: one read."""
        sock = self._socket
        try:
            if sock.inbox:
                data = sock.inbox.popleft()
                while sock.inbox and len(data) + len(sock.inbox[0]) <= MOST_READ:
                    data += sock.inbox.popleft()
                sock.size -= len(data)
                sock.net.taken(sock)
                self._protocol.data_received(data)
            elif sock.reset:
                return self._end_with(ConnectionResetError(104, "Connection reset by peer"))
            elif sock.fin:
                sock.fin = False
                if not self._protocol.eof_received():
                    self.close()
        except Exception as error:  # as asyncio: the connection ends, and it is told
            self._machine.call_exception_handler({"message": "a protocol failed", "exception": error})
            self.abort()
        self.look()


class Server:
    """What `create_server` returns."""

    def __init__(self, port: Port) -> None:
        self.sockets = [port]

    def close(self) -> None:
        self.sockets[0].close()


class Network:
    """All addresses and ways of a world."""

    def __init__(self, world: World, usual: Way | None = None) -> None:
        self.world = world
        self.usual = usual or Way()
        self.ports: dict[Address, Port] = {}
        self.ways: dict[Address, tuple[Address, Way]] = {}  # addresses that lead to another, by a way
        self.pairs: dict[tuple[str, str], Way] = {}  # by the caller's name and the host that is called
        self._next = FIRST_PORT
        self.connections = 0

    # For whoever builds the world

    def pair(self, caller: str, host: str, way: Way) -> None:
        """Connections of the machine of this name to addresses of this host go by this way."""
        self.pairs[caller, host] = way

    def lead(self, to: Address, way: Way) -> Address:
        """A new address whose connections go to another one by this way."""
        made = ("127.0.0.1", self.free_port())
        self.ways[made] = to, way
        return made

    def free_port(self) -> int:
        self._next += 1
        return self._next

    def release(self, way: Way) -> None:
        """A way is neither silent nor cut any more: what it held goes on, in order."""
        way.silent = way.cut = False
        held, way.held = way.held, []
        for sock, size, what, call, args in held:
            self._transmit(sock, size, what, call, *args)

    def reset(self, way: Way) -> None:
        """Every connection on this way is reset, at both ends (with a way back: at those that send by this one)."""
        for sock in list(way.ends):
            if not sock.closed:
                self._on_reset(sock)

    def has_bytes(self, machine: Machine, number: int) -> bool:
        held = machine.files.get(number)
        return isinstance(held, Socket | Port) and held.waits()

    # Sockets' calls

    def listening(self, machine: Machine) -> Port:
        return Port(self, machine)

    def bind(self, port: Port, address: Address) -> Address:
        host, number = address
        address = host, number or self.free_port()
        if address in self.ports or address in self.ways:
            raise OSError(98, "Address already in use")
        self.ports[address] = port
        return address

    def close(self, held: object) -> None:
        """The descriptor is closed: by the process, or by the system at its end."""
        if isinstance(held, Port):
            held.machine.files.pop(held.number, None)
            held.unwatch()
            if self.ports.get(held.address) is held:
                del self.ports[held.address]
            for sock in held.queue:  # nobody will ever read them
                self._close(sock, True)
            held.queue.clear()
        elif isinstance(held, Socket):
            self._close(held, bool(held.inbox))

    def _close(self, sock: Socket, hard: bool) -> None:
        if sock.closed:
            return
        sock.closed = True
        sock.machine.files.pop(sock.number, None)
        if sock.transport is not None:
            sock.machine.readable(sock.transport, False)
        sock.way.ends.pop(sock, None)
        if sock.other is not None and not sock.reset:
            if hard:
                self._transmit(sock, 0, "rst", self._on_reset, sock.other)
            elif not sock.fin_sent:
                self.finish(sock)
        sock.inbox.clear()
        sock.size = 0

    def finish(self, sock: Socket) -> None:
        """FIN, behind what was sent."""
        if not (sock.fin_sent or sock.reset) and sock.other is not None:
            sock.fin_sent = True
            self._transmit(sock, 0, "fin", self._on_fin, sock.other)

    def send(self, sock: Socket, data: bytes) -> None:
        sock.out += len(data)
        if len(data) > 1 and self.world.random.random() < CUT:
            at = self.world.random.randrange(1, len(data))
            self._transmit(sock, at, "data", self._on_data, sock, data[:at])
            data = data[at:]
        self._transmit(sock, len(data), "data", self._on_data, sock, data)

    def taken(self, sock: Socket) -> None:
        """A process has read: the other end's sender may go on."""
        other = sock.other
        if other is not None and other.transport is not None and other.transport._buffer:
            self.world.at(sock.machine.instant() + sock.way.delay, "ack", other.transport.pump)

    def _transmit(self, sock: Socket, size: int, what: str, call: Callable[..., None], *args: Any) -> None:
        way, random = sock.way, self.world.random.random
        if way.silent or way.cut:
            way.held.append((sock, size, what, call, args))
            return
        # What a live process writes is lost where it is killed before; what its system sends is not.
        written = None if sock.machine.dead else sock.machine.instant()
        leaves = max(sock.machine.instant(), sock.free_at)
        if way.rate:
            leaves += round(size / way.rate * 1e6)
            sock.free_at = leaves
        arrives = leaves + way.delay + int(random() * way.jitter)
        if way.loss and random() < way.loss:
            arrives += RESEND
        sock.last = arrives = max(sock.last, arrives)
        name = f"{what} {size} of {sock.machine.name}"
        self.world.at(arrives, name, self._arrive, sock, written, call, args)

    @staticmethod
    def _arrive(
        sock: Socket,
        written: int | None,
        call: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        died = sock.machine.died_at
        if written is None or died is None or written <= died:
            call(*args)

    # What arrives

    def _on_data(self, sender: Socket, data: bytes) -> None:
        sender.out -= len(data)
        sock = sender.other
        assert sock is not None
        if sock.closed:  # nobody reads this any more
            return self._transmit(sock, 0, "rst", self._on_reset, sender)
        if not sock.reset:
            sock.inbox.append(data)
            sock.size += len(data)
            sock.changed()

    def _on_fin(self, sock: Socket) -> None:
        if not (sock.closed or sock.reset):
            sock.fin = True
            sock.changed()

    def _on_reset(self, sock: Socket) -> None:
        if sock.closed or sock.reset:
            return
        sock.reset, sock.fin = True, False
        if sock.inbox and self.world.random.random() >= KEPT:
            sock.inbox.clear()
            sock.size = 0
        sock.changed()

    # Connections

    async def connect(self, machine: Machine, factory: Callable[[], Any], address: Address) -> Any:
        real, way = self.ways.get(address, (address, self.usual))
        way = self.pairs.get((machine.name, real[0]), way)
        sock = Socket(self, machine, way)
        sock.number = machine.open_file(sock)
        machine.spend(machine.costs.connection)
        up: asyncio.Future[None] = machine.create_future()
        self._syn(sock, real, up, 0)
        try:
            await up
            return await self._begin(machine, sock, factory)
        except BaseException:
            self.close(sock)
            raise

    def _syn(self, sock: Socket, real: Address, up: asyncio.Future[None], tries: int) -> None:
        if sock.closed or up.done():
            return
        if tries < len(SYN_AGAIN):
            again = sock.machine.instant() + SYN_AGAIN[tries]
            self.world.at(again, f"syn again of {sock.machine.name}", self._syn, sock, real, up, tries + 1)
        else:
            return up.set_exception(TimeoutError(110, "Connection timed out"))
        if not sock.way.cut:
            self._transmit(sock, 0, "syn", self._on_syn, sock, real, up)

    def _on_syn(self, sock: Socket, real: Address, up: asyncio.Future[None]) -> None:
        port = self.ports.get(real)
        back = sock.way.back or sock.way
        if sock.closed or sock.other is not None or back.cut:
            return
        if port is None or port.backlog < 0:
            later = back.delay + int(self.world.random.random() * back.jitter)
            self.world.at(self.world.now + later, f"refused {sock.machine.name}", self._refused, up, real)
        elif len(port.queue) > port.backlog:
            port.dropped += 1
        else:
            peer = Socket(self, port.machine, back)
            peer.other, sock.other = sock, peer
            peer.address = port.address
            back.ends[peer] = sock.way.ends[sock] = None
            self.connections += 1
            port.queue.append(peer)
            port.changed()
            self._transmit(peer, 0, "syn-ack", self._on_up, up)

    @staticmethod
    def _refused(up: asyncio.Future[None], real: Address) -> None:
        if not up.done():
            up.set_exception(ConnectionRefusedError(111, f"Connect call failed {real}"))

    @staticmethod
    def _on_up(up: asyncio.Future[None]) -> None:
        if not up.done():
            up.set_result(None)

    async def take(self, machine: Machine, factory: Callable[[], Any], sock: Socket) -> Any:
        return await self._begin(machine, sock, factory)

    async def _begin(self, machine: Machine, sock: Socket, factory: Callable[[], Any]) -> Any:
        protocol = factory()
        transport = Transport(machine, sock, protocol)
        waiter: asyncio.Future[None] = machine.create_future()
        transport.begin(waiter)
        try:
            await waiter
        except BaseException:
            transport.abort()
            raise
        return transport, protocol

    def serve(self, machine: Machine, factory: Callable[[], Any], address: Address) -> Server:
        port = Port(self, machine)
        try:
            port.bind(address)
        except OSError:
            machine.files.pop(port.number, None)
            raise
        port.listen(100)  # asyncio's own
        port.watch(lambda: self._accept_all(machine, port, factory))
        return Server(port)

    @staticmethod
    def _accept_all(machine: Machine, port: Port, factory: Callable[[], Any]) -> None:
        while port.queue:
            sock, _ = port.accept()
            Transport(machine, sock, factory()).begin()
