"""A TCP relay that injects faults between named peers: delay, throttling, resets, stalls, partitions.

A link leads from one name to another and listens on a separate address. A stalled link withholds bytes while both
ends stay open, as if the machine at the other end had vanished (PROTOCOL, The network), and forwards them later. A
partitioned link also accepts no new connections: its accept queue is kept full, so that the kernel drops
connection requests, as a network partition would.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

from irisdeal.testbed.request_log import LinkFault, Now

MAX_PENDING_BYTES = 1_048_576  # of one direction of a connection, before its sender is no longer read
MAX_RECORDED_WRITES = 10_000  # for each link fault
BACKLOG = 128
Address = tuple[str, int]


@dataclass(slots=True)
class Condition:
    """The condition of a link. `rate` in bytes a second, 0 for no limit, and `delay` in s apply to each direction.

    `direction` of a stalled link: bytes are withheld from the source ("out"), to it ("back"), or "both".
    """

    delay: float = 0.0
    rate: float = 0.0
    stalled: bool = False
    partitioned: bool = False
    direction: str = "both"

    def withholds_from(self, source: bool) -> bool:
        """Whether bytes are withheld that the source (or, if false, the target) writes."""
        return self.partitioned or (self.stalled and self.direction != ("back" if source else "out"))

    @property
    def withholds(self) -> bool:
        """Whether bytes are withheld in any direction."""
        return self.stalled or self.partitioned


class _Side(asyncio.Protocol):
    """One end of a relayed connection. Received bytes are written to `other`."""

    def __init__(self, link: Link, source: bool) -> None:
        self.link, self.source = link, source
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.free_at = 0.0  # loop time at which the throttled direction is free
        self.has_ended = self.is_closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the side with its link."""
        self.transport = cast(asyncio.Transport, transport)
        self.link.sides.add(self)
        if self.is_closing:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other side once the pending bytes are forwarded."""
        self.transport = None
        self.is_closing = True
        self.link.sides.discard(self)
        self.has_ended = True
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Queue bytes; reading pauses while more than `MAX_PENDING_BYTES` are queued."""
        self.pending.append(data)
        self.pending_bytes += len(data)
        link_fault = self.link.link_fault
        if (
            self.source
            and link_fault
            and self.link.condition.withholds_from(True)
            and len(link_fault.writes) < MAX_RECORDED_WRITES
        ):
            link_fault.writes.append(self.link.now())
        if self.pending_bytes > MAX_PENDING_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._flush()

    def _flush(self) -> None:
        """Forward pending bytes as the condition of the link allows."""
        condition, other = self.link.condition, self.other
        if condition.withholds_from(self.source) or other is None:
            return
        loop = asyncio.get_running_loop()
        if other.transport is None:
            if not other.is_closing:
                return  # it is still connecting
            self.pending.clear()
        now = loop.time()
        while self.pending:
            data = self.pending.popleft()
            self.pending_bytes -= len(data)
            if not (condition.delay or condition.rate):
                other.put(data)
                continue
            self.free_at = max(self.free_at, now) + (len(data) / condition.rate if condition.rate else 0.0)
            loop.call_at(self.free_at + condition.delay, other.put, data)
        if self.transport is not None and self.pending_bytes <= MAX_PENDING_BYTES:
            self.transport.resume_reading()
        if self.has_ended:
            loop.call_at(max(now, self.free_at) + condition.delay, other.finish)

    def put(self, data: bytes) -> None:
        """Write bytes received at the other end."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self) -> None:
        """Close the connection after its write buffer is flushed."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()


class Link:
    """A link from one name to another, at a separate address."""

    def __init__(self, source: str, target: str, to: Address, now: Now, link_faults: list[LinkFault]) -> None:
        self.source, self.target, self.to = source, target, to
        self.now, self.link_faults = now, link_faults
        self.link_fault: LinkFault | None = None
        self.condition = Condition()
        self.sides: set[_Side] = set()
        self.listener: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(("127.0.0.1", 0))
        made.listen(BACKLOG)
        made.setblocking(False)
        self.listener = made
        asyncio.get_running_loop().add_reader(made, self._accept)
        return self.port

    @property
    def port(self) -> int:
        """The port that the link listens on."""
        assert self.listener is not None
        return int(self.listener.getsockname()[1])

    def _accept(self) -> None:
        assert self.listener is not None
        while True:
            try:
                made, _ = self.listener.accept()
            except OSError:
                return
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            task = asyncio.get_running_loop().create_task(self._connect(made))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self, made: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        source_side, target_side = _Side(self, True), _Side(self, False)
        source_side.other, target_side.other = target_side, source_side
        try:
            await loop.connect_accepted_socket(lambda: source_side, made)
        except OSError:
            made.close()
            return
        try:
            await loop.create_connection(lambda: target_side, *self.to)
        except OSError:  # this connection is open already, so a reset stands for the refusal
            source_side.reset()
            return
        source_side._flush()

    def set(self, condition: Condition) -> None:
        """Set the condition, and forward pending bytes if it allows."""
        was, self.condition = self.condition, condition
        if self.link_fault is not None:
            self.link_fault.end, self.link_fault = self.now(), None
        if condition.withholds or condition.delay:
            late = 0 if condition.withholds else round(condition.delay * 1e6)
            self.link_fault = LinkFault(self.source, self.target, self.now(), late=late)
            self.link_faults.append(self.link_fault)
        if condition.partitioned and not was.partitioned:
            self._block_accepts()
        elif was.partitioned and not condition.partitioned:
            self._unblock_accepts()
        for side in list(self.sides):
            side._flush()

    def reset(self) -> None:
        """Reset both ends of every connection."""
        for side in list(self.sides):
            side.reset()

    def _block_accepts(self) -> None:
        """Keep the accept queue full, so that no connection is established."""
        if self.listener is None:
            return
        asyncio.get_running_loop().remove_reader(self.listener)
        self._accept()  # connections from before the partition are established
        self.listener.listen(0)
        for _ in range(2):  # a backlog of 0 holds one connection; the second fills the queue
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.listener.getsockname())
            self.fillers.append(filler)

    def _unblock_accepts(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listener is not None:
            self.listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        for filler in self.fillers:
            filler.close()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        self.reset()


class Relay:
    """All links. Conditions are set by the names that the links connect."""

    def __init__(self, now: Now, link_faults: list[LinkFault]) -> None:
        self.now, self.link_faults = now, link_faults
        self.links: list[Link] = []

    async def add(self, source: str, target: str, to: Address) -> Address:
        """Open a link; returns the address to use in place of the target's."""
        link = Link(source, target, to, self.now, self.link_faults)
        self.links.append(link)
        return "127.0.0.1", await link.open()

    def between(self, names: Iterable[str], target: str = "") -> list[Link]:
        """Find the links from or to these names; with a target, only those from them to it."""
        wanted = set(names)
        if target:
            return [link for link in self.links if link.source in wanted and link.target == target]
        return [link for link in self.links if link.source in wanted or link.target in wanted]

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """Set the condition of the links that `between` finds."""
        for link in self.between(names, target):
            link.set(condition)

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """Reset every connection of these links."""
        for link in self.between(names, target):
            link.reset()

    def split(self, *groups: Iterable[str]) -> None:
        """Partition every link between two of the groups; names in no group are not affected."""
        of = {name: n for n, group in enumerate(groups) for name in group}
        for link in self.links:
            one, other = of.get(link.source), of.get(link.target)
            if one is not None and other is not None and one != other:
                link.set(Condition(partitioned=True))

    def heal(self) -> None:
        """Remove the faults of all links."""
        for link in self.links:
            link.set(Condition())

    def close(self) -> None:
        """Close all links."""
        for link in self.links:
            link.close()
