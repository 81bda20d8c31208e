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
    from irisdeal.front_door.server.backends import BackendConnection
    from irisdeal.front_door.server.client_request import ClientConnection, ClientRequest


def encode_chunk(data: bytes) -> bytes:
    """One chunk (RFC 9112, 7.1); never the last one, which is empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class ResponseRelay:
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
            request.connection,
            chunked,
            budget.admit(),
        )
        self.on_finished = on_over
        self.source: BackendConnection | None = None
        self.parts: list[bytes] = [head]  # until it is this answer's turn on its connection
        self.buffered_bytes = 0  # bytes of it
        self.is_open = self.has_ended = self.is_finished = False

    def feed(self, data: bytes) -> None:
        if self.is_finished or self.has_ended or not data:
            return
        if self.chunked:
            data = encode_chunk(data)
        if self.is_open:
            self._write(data)
        else:
            self.parts.append(data)
            self.buffered_bytes += len(data)
            self._apply_backpressure(self.buffered_bytes)

    def _write(self, data: bytes) -> None:
        if (transport := self.client.transport) is not None:
            transport.write(data)
            if self.client.write_paused:
                self._apply_backpressure(transport.get_write_buffer_size())

    def _apply_backpressure(self, held: int) -> None:
        if self.source is not None and not self.allowance.allows(held):
            self.source.pause_reading()

    def end(self) -> None:
        """The backend's answer is whole."""
        if self.is_finished or self.has_ended:
            return
        if self.chunked:
            if self.is_open:
                self._write(LAST_CHUNK)
            else:
                self.parts.append(LAST_CHUNK)
        self.has_ended = True
        self.client.write_ready_responses()

    def abort(self) -> None:
        """It breaks off: nothing more comes."""
        if self.is_finished or self.has_ended:
            return
        self._finish()
        if not self.is_open:  # not a byte has gone on: the client can be told
            self.request.response_stream = None
            self.client.reply(self.request, 502, b"failed\n", b"")
        else:
            self.client.abort_response(self.request)

    def open(self) -> bool:
        """It is this answer's turn: pour what waits; whether it has been passed on whole."""
        transport = self.client.transport
        if self.is_finished or transport is None:
            return False
        if not self.is_open:
            self.is_open = True
            transport.set_write_buffer_limits(high=MIN_BUFFER_BYTES)
            parts, self.parts, self.buffered_bytes = self.parts, [], 0
            transport.writelines(parts)
            if self.source is not None and self.allowance.allows(transport.get_write_buffer_size()):
                self.source.resume_reading()
        if self.has_ended:
            transport.set_write_buffer_limits()
            self._finish()
        return self.has_ended

    def resume(self) -> None:
        """The client reads again."""
        if self.source is not None and not self.is_finished:
            self.source.resume_reading()

    def client_disconnected(self) -> None:
        """The client has gone: nobody wants the rest."""
        if self.is_finished:
            return
        self._finish()
        if self.source is not None:
            source, self.source = self.source, None
            source.cancel()

    def _finish(self) -> None:
        self.is_finished = True
        self.parts = []
        self.allowance.release()
        self.on_finished()


class UploadRelay:
    """A request's body on its way to a backend, collected as far as it can be sent again."""

    def __init__(self, client: ClientConnection, length: int | None, budget: ByteBudget) -> None:
        """`length` is None for chunks."""
        self.client, self.length, self.allowance = client, length, budget.admit()
        self.parts: list[bytes] = []  # from the first byte, or what has not been passed on once `spent`
        self.next_part = 0  # of the parts: the first that the sink has not had
        self.buffered_bytes = 0  # bytes of all parts
        self.received_bytes = 0  # bytes that have come
        self.is_complete = self.is_consumed = self.is_closed = False
        self.sink: BackendConnection | None = None

    def feed(self, data: bytes) -> None:
        if self.is_closed or not data:
            return
        self.received_bytes += len(data)
        self.parts.append(encode_chunk(data) if self.length is None else data)
        self.buffered_bytes += len(self.parts[-1])
        self.resume()

    def complete(self) -> None:
        self.is_complete = True
        self.resume()

    def attach(self, sink: BackendConnection) -> None:
        """A connection to a backend takes it from the first byte on. ValueError once that is gone."""
        if self.is_consumed:
            raise ValueError("the body has been passed on already")
        self.sink, self.next_part = sink, 0
        self.resume()

    def detach(self, sink: BackendConnection) -> None:
        if self.sink is sink:
            self.sink = None
            self.next_part = 0

    def resume(self) -> None:
        """Pass on what may be, and read on or not."""
        sink = self.sink
        while sink is not None and self.next_part < len(self.parts) and not sink.write_paused:
            sink.write_body(self.parts[self.next_part])
            self.next_part += 1
        may_hold = self.allowance.allows(self.buffered_bytes)
        if self.next_part and (self.received_bytes > MAX_REPLAY_BYTES or not may_hold):
            self.buffered_bytes -= sum(map(len, self.parts[: self.next_part]))
            del self.parts[: self.next_part]
            self.next_part, self.is_consumed = 0, True
            may_hold = self.allowance.allows(self.buffered_bytes)
        if sink is not None and self.is_complete and self.next_part == len(self.parts):
            sink.end_body(LAST_CHUNK if self.length is None else b"")
        self.client.set_upload_blocked(not (self.is_complete or self.is_closed or may_hold))

    def close(self) -> None:
        """Its request has ended, or its body has been passed on for good."""
        if not self.is_closed:
            self.is_closed, self.parts, self.sink = True, [], None
            self.allowance.release()
