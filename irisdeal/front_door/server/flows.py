"""Bodies that are passed on as they come: a client's to a backend, and a backend's answer to a client.

Only a door whose configuration has `operator` imports this file. How much may be held and how slow a peer may
be is decided in `irisdeal/front_door/streaming/`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from irisdeal.front_door.streaming.byte_budget import MIN_BUFFER_BYTES, ByteBudget
from irisdeal.front_door.streaming.progress import MAX_REPLAY_BYTES

if TYPE_CHECKING:
    from irisdeal.front_door.server.backends import Backend
    from irisdeal.front_door.server.client_request import ClientConnection, ClientRequest


def chunk(data: bytes) -> bytes:
    """One chunk (RFC 9112, 7.1); never the last one, which is empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Outflow:
    """An answer on its way to a client. It is whole, or its client sees that it is not."""

    def __init__(
        self,
        request: ClientRequest,
        head: bytes,
        chunked: bool,
        budget: ByteBudget,
        on_over: Callable[[], None],
    ) -> None:
        self.request, self.client, self.chunked, self.allowance = (
            request,
            request.where,
            chunked,
            budget.admit(),
        )
        self.on_over = on_over
        self.source: Backend | None = None
        self.parts: list[bytes] = [head]  # until it is this answer's turn on its connection
        self.waiting = 0  # bytes of it
        self.opened = self.ended = self.over = False

    def feed(self, data: bytes) -> None:
        if self.over or self.ended or not data:
            return
        if self.chunked:
            data = chunk(data)
        if self.opened:
            self._write(data)
        else:
            self.parts.append(data)
            self.waiting += len(data)
            self._feed_on(self.waiting)

    def _write(self, data: bytes) -> None:
        if (transport := self.client.transport) is not None:
            transport.write(data)
            if self.client.full:
                self._feed_on(transport.get_write_buffer_size())

    def _feed_on(self, held: int) -> None:
        if self.source is not None and not self.allowance.allows(held):
            self.source.hold()

    def end(self) -> None:
        """The backend's answer is whole."""
        if self.over or self.ended:
            return
        if self.chunked:
            if self.opened:
                self._write(LAST_CHUNK)
            else:
                self.parts.append(LAST_CHUNK)
        self.ended = True
        self.client.advance()

    def abort(self) -> None:
        """It breaks off: nothing more comes."""
        if self.over or self.ended:
            return
        self._finish()
        if not self.opened:  # not a byte has gone on: the client can be told
            self.request.flow = None
            self.client.reply(self.request, 502, b"failed\n", b"")
        else:
            self.client.break_off(self.request)

    def open(self) -> bool:
        """It is this answer's turn: pour what waits; whether it has been passed on whole."""
        transport = self.client.transport
        if self.over or transport is None:
            return False
        if not self.opened:
            self.opened = True
            transport.set_write_buffer_limits(high=MIN_BUFFER_BYTES)
            parts, self.parts, self.waiting = self.parts, [], 0
            transport.writelines(parts)
            if self.source is not None and self.allowance.allows(transport.get_write_buffer_size()):
                self.source.release()
        if self.ended:
            transport.set_write_buffer_limits()
            self._finish()
        return self.ended

    def read_on(self) -> None:
        """The client reads again."""
        if self.source is not None and not self.over:
            self.source.release()

    def lost(self) -> None:
        """The client has gone: nobody wants the rest."""
        if self.over:
            return
        self._finish()
        if self.source is not None:
            source, self.source = self.source, None
            source.give_up()

    def _finish(self) -> None:
        self.over = True
        self.parts = []
        self.allowance.release()
        self.on_over()


class Upload:
    """A request's body on its way to a backend, collected as far as it can be sent again."""

    def __init__(self, client: ClientConnection, length: int | None, budget: ByteBudget) -> None:
        """`length` is None for chunks."""
        self.client, self.length, self.allowance = client, length, budget.admit()
        self.parts: list[bytes] = []  # from the first byte, or what has not been passed on once `spent`
        self.next = 0  # of the parts: the first that the sink has not had
        self.held = 0  # bytes of all parts
        self.size = 0  # bytes that have come
        self.whole = self.spent = self.over = False
        self.sink: Backend | None = None

    def feed(self, data: bytes) -> None:
        if self.over or not data:
            return
        self.size += len(data)
        self.parts.append(chunk(data) if self.length is None else data)
        self.held += len(self.parts[-1])
        self.pour()

    def complete(self) -> None:
        self.whole = True
        self.pour()

    def attach(self, sink: Backend) -> None:
        """A connection to a backend takes it from the first byte on. ValueError once that is gone."""
        if self.spent:
            raise ValueError("the body has been passed on already")
        self.sink, self.next = sink, 0
        self.pour()

    def detach(self, sink: Backend) -> None:
        if self.sink is sink:
            self.sink = None
            self.next = 0

    def pour(self) -> None:
        """Pass on what may be, and read on or not."""
        sink = self.sink
        while sink is not None and self.next < len(self.parts) and not sink.choked:
            sink.put(self.parts[self.next])
            self.next += 1
        may_hold = self.allowance.allows(self.held)
        if self.next and (self.size > MAX_REPLAY_BYTES or not may_hold):
            self.held -= sum(map(len, self.parts[: self.next]))
            del self.parts[: self.next]
            self.next, self.spent = 0, True
            may_hold = self.allowance.allows(self.held)
        if sink is not None and self.whole and self.next == len(self.parts):
            sink.end_body(LAST_CHUNK if self.length is None else b"")
        self.client.choke(not (self.whole or self.over or may_hold))

    def close(self) -> None:
        """Its request has ended, or its body has been passed on for good."""
        if not self.over:
            self.over, self.parts, self.sink = True, [], None
            self.allowance.release()
