"""A TCP relay that injects faults between named peers: delay, throttling, resets, stalls, partitions.

A link leads from one name to another and has an address of its own. A stalled link withholds what is written
while both ends stay open, as behind a machine that vanished (PROTOCOL, The network); the pending bytes go on
later. Through a partitioned link no new connection comes up either: the accept queue of its address is kept
full, so that the kernel drops connection requests, as a network would.
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

MAX_PENDING = 1_048_576  # bytes held on one way of one connection before its sender is no longer read
MOST_WRITES = 10_000  # of one hold that are noted
BACKLOG = 128
Address = tuple[str, int]


@dataclass(slots=True)
class Condition:
    """How a link is. `rate` in bytes a second each way, 0 for no limit; `delay` in s each way.

    `way` of a silent one: what is held, from the source ("out"), to it ("back"), or both.
    """

    delay: float = 0.0
    rate: float = 0.0
    stalled: bool = False
    partitioned: bool = False
    direction: str = "both"

    def withholds_from(self, source: bool) -> bool:
        """Whether what the source writes, or else the target, is held."""
        return self.partitioned or (self.stalled and self.direction != ("back" if source else "out"))

    @property
    def withholds(self) -> bool:
        """Whether any bytes are withheld, one way or both."""
        return self.stalled or self.partitioned


class _Side(asyncio.Protocol):
    """One end of one relayed connection. What comes here goes out at `other`."""

    def __init__(self, link: Link, source: bool) -> None:
        self.link, self.source = link, source
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: deque[bytes] = deque()
        self.size = 0
        self.free_at = 0.0  # when the way is free for the next bytes, s of the loop
        self.ended = self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the side with its link."""
        self.transport = cast(asyncio.Transport, transport)
        self.link.sides.add(self)
        if self.over:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other side once the pending bytes are out."""
        self.transport = None
        self.over = True
        self.link.sides.discard(self)
        self.ended = True
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Queue bytes; an overfull queue pauses their sender."""
        self.pending.append(data)
        self.size += len(data)
        link_fault = self.link.link_fault
        if (
            self.source
            and link_fault
            and self.link.condition.withholds_from(True)
            and len(link_fault.writes) < MOST_WRITES
        ):
            link_fault.writes.append(self.link.now())
        if self.size > MAX_PENDING and self.transport is not None:
            self.transport.pause_reading()
        self._flush()

    def _flush(self) -> None:
        """Pass on what is held, as the link's condition allows."""
        condition, other = self.link.condition, self.other
        if condition.withholds_from(self.source) or other is None:
            return
        loop = asyncio.get_running_loop()
        if other.transport is None:
            if not other.over:
                return  # it is still connecting
            self.pending.clear()
        now = loop.time()
        while self.pending:
            data = self.pending.popleft()
            self.size -= len(data)
            if not (condition.delay or condition.rate):
                other.put(data)
                continue
            self.free_at = max(self.free_at, now) + (len(data) / condition.rate if condition.rate else 0.0)
            loop.call_at(self.free_at + condition.delay, other.put, data)
        if self.transport is not None and self.size <= MAX_PENDING:
            self.transport.resume_reading()
        if self.ended:
            loop.call_at(max(now, self.free_at) + condition.delay, other.finish)

    def put(self, data: bytes) -> None:
        """Write bytes of the other end."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self) -> None:
        """Close the connection once what was written is out."""
        self.over = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.over = True
        if self.transport is not None:
            self.transport.abort()


class Link:
    """The way from one name to another, at an address of its own."""

    def __init__(self, source: str, target: str, to: Address, now: Now, link_faults: list[LinkFault]) -> None:
        self.source, self.target, self.to = source, target, to
        self.now, self.link_faults = now, link_faults
        self.link_fault: LinkFault | None = None
        self.condition = Condition()
        self.sides: set[_Side] = set()
        self.listening: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0

    async def open(self) -> int:
        """Listen on loopback; the port."""
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(("127.0.0.1", 0))
        made.listen(BACKLOG)
        made.setblocking(False)
        self.listening = made
        asyncio.get_running_loop().add_reader(made, self._accept)
        return self.port

    @property
    def port(self) -> int:
        """The port that the link listens on."""
        assert self.listening is not None
        return int(self.listening.getsockname()[1])

    def _accept(self) -> None:
        assert self.listening is not None
        while True:
            try:
                made, _ = self.listening.accept()
            except OSError:
                return
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            task = asyncio.get_running_loop().create_task(self._join(made))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _join(self, made: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        near, far = _Side(self, True), _Side(self, False)
        near.other, far.other = far, near
        try:
            await loop.connect_accepted_socket(lambda: near, made)
        except OSError:
            made.close()
            return
        try:
            await loop.create_connection(lambda: far, *self.to)
        except OSError:  # refused there is refused here, as well as an open connection can tell
            near.reset()
            return
        near._flush()

    def set(self, condition: Condition) -> None:
        """Another condition; what was held goes on if it may."""
        was, self.condition = self.condition, condition
        if self.link_fault is not None:
            self.link_fault.end, self.link_fault = self.now(), None
        if condition.withholds or condition.delay:
            late = 0 if condition.withholds else round(condition.delay * 1e6)
            self.link_fault = LinkFault(self.source, self.target, self.now(), late=late)
            self.link_faults.append(self.link_fault)
        if condition.partitioned and not was.partitioned:
            self._fill()
        elif was.partitioned and not condition.partitioned:
            self._empty()
        for side in list(self.sides):
            side._flush()

    def reset(self) -> None:
        """Every connection of the link is reset, both ends."""
        for side in list(self.sides):
            side.reset()

    def _fill(self) -> None:
        """Keep the accept queue full: connections no longer come up."""
        if self.listening is None:
            return
        asyncio.get_running_loop().remove_reader(self.listening)
        self._accept()  # what came before the cut did come up
        self.listening.listen(0)
        for _ in range(2):  # a queue of 0 holds one; the second finds it full
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.listening.getsockname())
            self.fillers.append(filler)

    def _empty(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listening is not None:
            self.listening.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.listening, self._accept)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        for filler in self.fillers:
            filler.close()
        if self.listening is not None:
            asyncio.get_running_loop().remove_reader(self.listening)
            self.listening.close()
            self.listening = None
        self.reset()


class Relay:
    """All links. Conditions are set by names; a split cuts every link between two groups."""

    def __init__(self, now: Now, link_faults: list[LinkFault]) -> None:
        self.now, self.link_faults = now, link_faults
        self.links: list[Link] = []

    async def add(self, source: str, target: str, to: Address) -> Address:
        """Open a new link; the address to use in place of the target's."""
        link = Link(source, target, to, self.now, self.link_faults)
        self.links.append(link)
        return "127.0.0.1", await link.open()

    def between(self, names: Iterable[str], target: str = "") -> list[Link]:
        """Find the links that touch one of these names; with a target, those from one of them to it."""
        wanted = set(names)
        if target:
            return [link for link in self.links if link.source in wanted and link.target == target]
        return [link for link in self.links if link.source in wanted or link.target in wanted]

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """Set the condition of the links that `between` finds."""
        for link in self.between(names, target):
            link.set(condition)

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """Every connection of these links is reset."""
        for link in self.between(names, target):
            link.reset()

    def split(self, *groups: Iterable[str]) -> None:
        """Cut every link whose ends lie in two of the groups; what is in no group sees all."""
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
