"""Sockets of simulated machines, and the links between machines."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from irisdeal.simulation.machine import Address, Machine

# Connections of a listening socket that may wait to be accepted, as Python's default.
DEFAULT_BACKLOG = 128


class SocketNetwork(Protocol):
    """The calls of the network that a socket uses."""

    def bind(self, listener: ListeningSocket, address: Address) -> Address:
        """Reserve an address, with a free port for port 0. Raises OSError (EADDRINUSE)."""

    def close(self, descriptor: object) -> None:
        """Close a socket."""

    def send(self, sock: Socket, data: bytes) -> None:
        """Transmit bytes to the peer."""

    def finish(self, sock: Socket) -> None:
        """Transmit FIN."""

    def acknowledge(self, sock: Socket) -> None:
        """Notify the peer that bytes were read."""


class SocketReader(Protocol):
    """The transport of a connection, as its socket uses it."""

    def update_readable(self) -> None:
        """Check again whether the socket is readable."""

    def deliver(self) -> None:
        """Read once and pass the data to the protocol."""

    def pump(self) -> None:
        """Pass buffered bytes to the socket."""

    def has_buffered(self) -> bool:
        """Whether bytes are buffered that the socket has not accepted yet."""


@dataclass(frozen=True, slots=True)
class QueuedSegment:
    """A segment that is not transmitted while its link is stalled or partitioned."""

    sender: Socket
    size: int
    what: str
    call: Callable[..., None]
    args: tuple[object, ...]


@dataclass(eq=False)
class NetworkLink:
    """A network path between two ends, or one direction of it where `reverse` is set.

    `delay` and `jitter`: µs; `rate`: bytes a second, 0 for no limit; `loss`: share of segments that are
    retransmitted; `is_stalled`: segments are queued until the stall ends; `is_partitioned`: likewise, and no
    connection is established; `endpoints`: both sockets of each connection; `reverse`: the link over which the
    server's end sends, None for this one.
    """

    delay: int = 50
    jitter: int = 100
    rate: float = 0.0
    loss: float = 0.0
    is_stalled: bool = False
    is_partitioned: bool = False
    queued: list[QueuedSegment] = field(default_factory=list)
    endpoints: dict[Socket, None] = field(default_factory=dict)
    reverse: NetworkLink | None = None


class Socket:
    """One end of a connection."""

    __slots__ = (
        "address",
        "closed",
        "fin",
        "fin_sent",
        "free_at",
        "in_flight",
        "inbox",
        "inbox_size",
        "last_arrival",
        "link",
        "machine",
        "net",
        "number",
        "peer",
        "reset",
        "transport",
    )

    def __init__(self, net: SocketNetwork, machine: Machine, link: NetworkLink) -> None:
        self.net, self.machine, self.link = net, machine, link
        self.number = -1  # of the descriptor
        self.address: Address = ("", 0)
        self.peer: Socket | None = None
        self.transport: SocketReader | None = None
        self.inbox: deque[bytes] = deque()
        self.inbox_size = 0  # bytes
        self.in_flight = 0  # bytes sent that have not arrived
        self.fin = self.fin_sent = self.reset = self.closed = False
        self.last_arrival = 0  # µs, arrival time of the last segment sent
        self.free_at = 0  # µs, when the link is free again

    def fileno(self) -> int:
        """As in Python's sockets."""
        return self.number

    def setblocking(self, flag: bool) -> None:
        """As in Python's sockets, without effect."""

    def setsockopt(self, *_: object) -> None:
        """As in Python's sockets, without effect."""

    def getsockname(self) -> Address:
        """As in Python's sockets."""
        return self.address

    def close(self) -> None:
        """As in Python's sockets."""
        self.net.close(self)

    def is_readable(self) -> bool:
        """Whether a read would return at once."""
        return bool(self.inbox) or self.fin or self.reset

    def notify_transport(self) -> None:
        """Let the transport check whether this socket is readable."""
        if self.transport is not None:
            self.transport.update_readable()


class ListeningSocket:
    """A listening socket."""

    def __init__(self, net: SocketNetwork, machine: Machine) -> None:
        self.net, self.machine = net, machine
        self.number = machine.open_file(self)
        self.address: Address = ("", 0)
        self.backlog = -1  # not listening yet
        self.queue: deque[Socket] = deque()  # connections not accepted yet
        self.dropped = 0  # SYNs that found the queue full
        self._callback: Callable[[], object] | None = None

    def fileno(self) -> int:
        """As in Python's sockets."""
        return self.number

    def setblocking(self, flag: bool) -> None:
        """As in Python's sockets, without effect."""

    def setsockopt(self, *_: object) -> None:
        """As in Python's sockets, without effect."""

    def getsockname(self) -> Address:
        """As in Python's sockets."""
        return self.address

    def bind(self, address: Address) -> None:
        """As in Python's sockets."""
        self.address = self.net.bind(self, address)

    def listen(self, backlog: int = DEFAULT_BACKLOG) -> None:
        """As in Python's sockets."""
        self.backlog = backlog

    def accept(self) -> tuple[Socket, Address]:
        """As in Python's non-blocking sockets."""
        if not self.queue:
            raise BlockingIOError(11, "no connection to accept")
        accepted = self.queue[0]
        accepted.number = self.machine.open_file(accepted)
        self.queue.popleft()
        self.machine.spend(self.machine.costs.connection)
        return accepted, accepted.address

    def close(self) -> None:
        """As in Python's sockets."""
        self.net.close(self)

    def is_readable(self) -> bool:
        """Whether a connection waits to be accepted."""
        return bool(self.queue)

    def watch(self, callback: Callable[[], object]) -> None:
        """Call back in the loop's turns while connections wait to be accepted."""
        self._callback = callback
        self.update_readable()

    def unwatch(self) -> bool:
        """Stop calling back; return whether it was watched."""
        was_watched, self._callback = self._callback is not None, None
        self.update_readable()
        return was_watched

    def update_readable(self) -> None:
        """Update whether the loop reads this socket: while connections wait to be accepted."""
        self.machine.set_readable(self, self._callback is not None and bool(self.queue))

    def deliver(self) -> None:
        """Call back, in a turn of the loop."""
        try:
            if self._callback is not None:
                self._callback()
        except Exception as error:  # as in asyncio: it is reported, and the loop continues
            context: dict[str, Any] = {"message": "a reader failed", "exception": error}
            self.machine.call_exception_handler(context)
        self.update_readable()
