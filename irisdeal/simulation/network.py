"""A TCP network in memory: addresses, links between machines, and connections over them.

It guarantees what TCP guarantees (RFC 9293): the bytes of a connection arrive in order and once, or the
connection ends. Nothing else is guaranteed. Segment boundaries are random; links have delay, jitter, a rate,
and losses that cost a retransmission; whether a segment of a killed process arrives depends on when it was
sent.

Connections are closed as on Linux:

- A process that closes a socket with nothing unread sends FIN; with bytes unread, or when bytes arrive later,
  RST (RFC 9293, 3.6; RFC 2525, 2.17). So a response can be lost to a close that crossed a request.
- RST may or may not discard unread bytes at the other end: it is drawn at random, since neither is
  guaranteed.
- The queue of a listening socket holds `backlog` + 1 connections. Further SYNs are dropped, and retransmitted
  after 1, 3 and 7 s (RFC 6298, 2: the first time-out is 1 s, doubled each time).
- Connections are established, and their bytes are kept, before the process accepts them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from irisdeal.simulation.machine import Address, Machine, ProtocolFactory
from irisdeal.simulation.sockets import ListeningSocket, NetworkLink, QueuedSegment, Socket
from irisdeal.simulation.transport import SimulatedTransport
from irisdeal.simulation.world import World

# Writes that are sent as two segments.
SPLIT_WRITE_RATIO = 0.05
# Probability that bytes unread at a reset can still be read.
UNREAD_KEPT_PROBABILITY = 0.5
# Linux's minimum time-out before a lost segment is retransmitted.
RETRANSMISSION_TIMEOUT_US = 200_000
# Time-outs of each transmission of a SYN; after the last one the connection attempt fails.
SYN_RETRANSMISSION_TIMEOUTS_US = (1_000_000, 2_000_000, 4_000_000)
# Ports that a process leaves to the system are assigned in ascending order after this one.
LAST_RESERVED_PORT = 20_000
# The default of asyncio's `create_server`.
SERVER_BACKLOG = 100


class SimulatedServer:
    """The server that `create_server` returns."""

    def __init__(self, listener: ListeningSocket) -> None:
        self.sockets = [listener]

    def close(self) -> None:
        """Stop listening."""
        self.sockets[0].close()


class Network:
    """All addresses, links and connections of a world."""

    def __init__(self, world: World, default_link: NetworkLink | None = None) -> None:
        """`default_link`: between all machines without a link of their own."""
        self.world = world
        self.default_link = default_link or NetworkLink()
        self.listeners: dict[Address, ListeningSocket] = {}
        # address -> target address, and the link to it
        self.redirects: dict[Address, tuple[Address, NetworkLink]] = {}
        self.links: dict[
            tuple[str, str], NetworkLink
        ] = {}  # by the client machine's name and the server's host
        self._last_port = LAST_RESERVED_PORT
        self.connections = 0

    # Set-up and faults

    def set_link(self, caller: str, host: str, link: NetworkLink) -> None:
        """Use this link for connections of the machine `caller` to addresses of `host`."""
        self.links[caller, host] = link

    def redirect(self, to: Address, link: NetworkLink) -> Address:
        """Return a new address whose connections are forwarded to `to` over this link."""
        address = ("127.0.0.1", self.free_port())
        self.redirects[address] = to, link
        return address

    def free_port(self) -> int:
        """Return a port that was not used before."""
        self._last_port += 1
        return self._last_port

    def restore(self, link: NetworkLink) -> None:
        """End a stall or partition of this link, and transmit the queued segments in order."""
        link.is_stalled = link.is_partitioned = False
        queued, link.queued = link.queued, []
        for segment in queued:
            self._transmit(segment.sender, segment.size, segment.what, segment.call, *segment.args)

    def reset_connections(self, link: NetworkLink) -> None:
        """Reset the endpoints of this link: both ends, or with a `reverse` link those that send over this one."""
        for sock in list(link.endpoints):
            if not sock.closed:
                self._on_reset(sock)

    def has_bytes(self, machine: Machine, number: int) -> bool:
        """Whether the descriptor of this number is readable."""
        descriptor = machine.files.get(number)
        return isinstance(descriptor, Socket | ListeningSocket) and descriptor.is_readable()

    # Calls of sockets and transports

    def listening(self, machine: Machine) -> ListeningSocket:
        """Return a socket to bind and listen with."""
        return ListeningSocket(self, machine)

    def bind(self, listener: ListeningSocket, address: Address) -> Address:
        """Reserve an address, with a free port for port 0. Raises OSError (EADDRINUSE)."""
        host, number = address
        address = host, number or self.free_port()
        if address in self.listeners or address in self.redirects:
            raise OSError(98, "Address already in use")
        self.listeners[address] = listener
        return address

    def close(self, descriptor: object) -> None:
        """Close a descriptor: by the process, or by the operating system at its end."""
        if isinstance(descriptor, ListeningSocket):
            descriptor.machine.files.pop(descriptor.number, None)
            descriptor.unwatch()
            if self.listeners.get(descriptor.address) is descriptor:
                del self.listeners[descriptor.address]
            for sock in descriptor.queue:  # they were never accepted
                self._close(sock, sends_reset=True)
            descriptor.queue.clear()
        elif isinstance(descriptor, Socket):
            self._close(descriptor, sends_reset=bool(descriptor.inbox))

    def close_with_reset(self, sock: Socket) -> None:
        """Close a socket with RST, as with SO_LINGER of 0."""
        self._close(sock, sends_reset=True)

    def _close(self, sock: Socket, sends_reset: bool) -> None:
        if sock.closed:
            return
        sock.closed = True
        sock.machine.files.pop(sock.number, None)
        if sock.transport is not None:
            sock.machine.set_readable(sock.transport, False)
        sock.link.endpoints.pop(sock, None)
        if sock.peer is not None and not sock.reset:
            if sends_reset:
                self._transmit(sock, 0, "rst", self._on_reset, sock.peer)
            elif not sock.fin_sent:
                self.finish(sock)
        sock.inbox.clear()
        sock.inbox_size = 0

    def finish(self, sock: Socket) -> None:
        """Transmit FIN after the data sent so far."""
        if not (sock.fin_sent or sock.reset) and sock.peer is not None:
            sock.fin_sent = True
            self._transmit(sock, 0, "fin", self._on_fin, sock.peer)

    def send(self, sock: Socket, data: bytes) -> None:
        """Transmit bytes, in one or two segments."""
        sock.in_flight += len(data)
        if len(data) > 1 and self.world.random.random() < SPLIT_WRITE_RATIO:
            at = self.world.random.randrange(1, len(data))
            self._transmit(sock, at, "data", self._on_data, sock, data[:at])
            data = data[at:]
        self._transmit(sock, len(data), "data", self._on_data, sock, data)

    def acknowledge(self, sock: Socket) -> None:
        """Let the peer continue sending, since the process has read from this socket."""
        peer = sock.peer
        if peer is not None and peer.transport is not None and peer.transport.has_buffered():
            self.world.at(sock.machine.instant() + sock.link.delay, "ack", peer.transport.pump)

    # Segments

    def _transmit(self, sock: Socket, size: int, what: str, call: Callable[..., None], *args: object) -> None:
        link, random = sock.link, self.world.random.random
        if link.is_stalled or link.is_partitioned:
            link.queued.append(QueuedSegment(sock, size, what, call, args))
            return
        # A write that would happen after the process was killed in the same turn is lost; segments that the
        # operating system sends for a dead process are not.
        written_at = None if sock.machine.dead else sock.machine.instant()
        leaves_at = max(sock.machine.instant(), sock.free_at)
        if link.rate:
            leaves_at += round(size / link.rate * 1e6)
            sock.free_at = leaves_at
        arrives_at = leaves_at + link.delay + int(random() * link.jitter)
        if link.loss and random() < link.loss:
            arrives_at += RETRANSMISSION_TIMEOUT_US
        sock.last_arrival = arrives_at = max(sock.last_arrival, arrives_at)
        name = f"{what} {size} of {sock.machine.name}"
        self.world.at(arrives_at, name, self._arrive, sock, written_at, call, args)

    @staticmethod
    def _arrive(
        sock: Socket, written_at: int | None, call: Callable[..., None], args: tuple[object, ...]
    ) -> None:
        died_at = sock.machine.died_at
        if written_at is None or died_at is None or written_at <= died_at:
            call(*args)

    def _on_data(self, sender: Socket, data: bytes) -> None:
        sender.in_flight -= len(data)
        sock = sender.peer
        assert sock is not None
        if sock.closed:  # the process has closed the socket
            return self._transmit(sock, 0, "rst", self._on_reset, sender)
        if not sock.reset:
            sock.inbox.append(data)
            sock.inbox_size += len(data)
            sock.notify_transport()

    def _on_fin(self, sock: Socket) -> None:
        if not (sock.closed or sock.reset):
            sock.fin = True
            sock.notify_transport()

    def _on_reset(self, sock: Socket) -> None:
        if sock.closed or sock.reset:
            return
        sock.reset, sock.fin = True, False
        if sock.inbox and self.world.random.random() >= UNREAD_KEPT_PROBABILITY:
            sock.inbox.clear()
            sock.inbox_size = 0
        sock.notify_transport()

    # Connections

    async def connect(
        self, machine: Machine, factory: ProtocolFactory, address: Address
    ) -> tuple[SimulatedTransport, Any]:
        """Open a connection; return its transport and protocol. Raises OSError where it is refused or times out."""
        real, link = self.redirects.get(address, (address, self.default_link))
        link = self.links.get((machine.name, real[0]), link)
        sock = Socket(self, machine, link)
        sock.number = machine.open_file(sock)
        machine.spend(machine.costs.connection)
        established: asyncio.Future[None] = machine.create_future()
        self._send_syn(sock, real, established, 0)
        try:
            await established
            return await self._begin(machine, sock, factory)
        except BaseException:
            self.close(sock)
            raise

    def _send_syn(
        self, sock: Socket, real: Address, established: asyncio.Future[None], transmissions: int
    ) -> None:
        if sock.closed or established.done():
            return
        if transmissions >= len(SYN_RETRANSMISSION_TIMEOUTS_US):
            established.set_exception(TimeoutError(110, "Connection timed out"))
            return
        next_at = sock.machine.instant() + SYN_RETRANSMISSION_TIMEOUTS_US[transmissions]
        name = f"syn again of {sock.machine.name}"
        self.world.at(next_at, name, self._send_syn, sock, real, established, transmissions + 1)
        if not sock.link.is_partitioned:
            self._transmit(sock, 0, "syn", self._on_syn, sock, real, established)

    def _on_syn(self, sock: Socket, real: Address, established: asyncio.Future[None]) -> None:
        listener = self.listeners.get(real)
        reverse = sock.link.reverse or sock.link
        if sock.closed or sock.peer is not None or reverse.is_partitioned:
            return
        if listener is None or listener.backlog < 0:
            delay = reverse.delay + int(self.world.random.random() * reverse.jitter)
            name = f"refused {sock.machine.name}"
            self.world.at(self.world.now + delay, name, self._refused, established, real)
        elif len(listener.queue) > listener.backlog:
            listener.dropped += 1
        else:
            peer = Socket(self, listener.machine, reverse)
            peer.peer, sock.peer = sock, peer
            peer.address = listener.address
            reverse.endpoints[peer] = sock.link.endpoints[sock] = None
            self.connections += 1
            listener.queue.append(peer)
            listener.update_readable()
            self._transmit(peer, 0, "syn-ack", self._on_established, established)

    @staticmethod
    def _refused(established: asyncio.Future[None], real: Address) -> None:
        if not established.done():
            established.set_exception(ConnectionRefusedError(111, f"Connect call failed {real}"))

    @staticmethod
    def _on_established(established: asyncio.Future[None]) -> None:
        if not established.done():
            established.set_result(None)

    async def adopt(
        self, machine: Machine, factory: ProtocolFactory, sock: object
    ) -> tuple[SimulatedTransport, Any]:
        """Create the transport of an accepted connection; return it and its protocol."""
        assert isinstance(sock, Socket)
        return await self._begin(machine, sock, factory)

    async def _begin(
        self, machine: Machine, sock: Socket, factory: ProtocolFactory
    ) -> tuple[SimulatedTransport, Any]:
        protocol = factory()
        transport = SimulatedTransport(machine, sock, protocol)
        waiter: asyncio.Future[None] = machine.create_future()
        transport.begin(waiter)
        try:
            await waiter
        except BaseException:
            transport.abort()
            raise
        return transport, protocol

    def serve(self, machine: Machine, factory: ProtocolFactory, address: Address) -> SimulatedServer:
        """Listen on an address, with a protocol of `factory` for each connection."""
        listener = ListeningSocket(self, machine)
        try:
            listener.bind(address)
        except OSError:
            machine.files.pop(listener.number, None)
            raise
        listener.listen(SERVER_BACKLOG)
        listener.watch(lambda: self._accept_all(machine, listener, factory))
        return SimulatedServer(listener)

    @staticmethod
    def _accept_all(machine: Machine, listener: ListeningSocket, factory: ProtocolFactory) -> None:
        while listener.queue:
            sock, _ = listener.accept()
            SimulatedTransport(machine, sock, factory()).begin()
