"""Streaming of long bodies: requests to backends, and responses to clients.

Imported only where the configuration has `operator`. The limits of buffered bytes and of slow peers are in
`irisdeal/front_door/streaming/`.
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
    """Encode one chunk (RFC 9112, 7.1). `data` is not empty: an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class ResponseRelay:
    """Streams a response to a client. If it stays incomplete, the client's connection is aborted."""

    def __init__(
        self,
        request: ClientRequest,
        head: bytes,
        chunked: bool,
        budget: ByteBudget,
        on_finished: Callable[[], None],
    ) -> None:
        self.request, self.client, self.chunked, self.allowance = (
            request,
            request.connection,
            chunked,
            budget.admit(),
        )
        self.on_finished = on_finished
        self.source: BackendConnection | None = None
        self.parts: list[bytes] = [head]  # buffered until all earlier responses are written
        self.buffered_bytes = 0  # size of `parts` without the head
        self.is_open = self.has_ended = self.is_finished = False

    def feed(self, data: bytes) -> None:
        """Add bytes of the body."""
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

    def _apply_backpressure(self, buffered_bytes: int) -> None:
        """Stop reading the response from the backend if too much of it is buffered."""
        if self.source is not None and not self.allowance.allows(buffered_bytes):
            self.source.pause_reading()

    def end(self) -> None:
        """Complete the response."""
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
        """End the response before it is complete."""
        if self.is_finished or self.has_ended:
            return
        self._finish()
        if not self.is_open:  # nothing has been sent, so an error response is possible
            self.request.response_stream = None
            self.client.reply(self.request, 502, b"failed\n", b"")
        else:
            self.client.abort_response(self.request)

    def open(self) -> bool:
        """Write the buffered data, as all earlier responses are written; True once the response is complete."""
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
        """Continue after the client has read its data."""
        if self.source is not None and not self.is_finished:
            self.source.resume_reading()

    def client_disconnected(self) -> None:
        """Cancel the response: the client has disconnected."""
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
    """Streams a request's body to a backend, and buffers its beginning for retries."""

    def __init__(self, client: ClientConnection, length: int | None, budget: ByteBudget) -> None:
        """`length` is in bytes, None if chunked."""
        self.client, self.length, self.allowance = client, length, budget.admit()
        self.parts: list[bytes] = []  # from the first byte on; if `is_consumed`, only what is not written
        self.next_part = 0  # index of the first part that is not written
        self.buffered_bytes = 0  # size of `parts`
        self.received_bytes = 0
        self.is_complete = self.is_consumed = self.is_closed = False
        self.sink: BackendConnection | None = None

    def feed(self, data: bytes) -> None:
        """Add bytes received from the client."""
        if self.is_closed or not data:
            return
        self.received_bytes += len(data)
        self.parts.append(encode_chunk(data) if self.length is None else data)
        self.buffered_bytes += len(self.parts[-1])
        self.resume()

    def complete(self) -> None:
        """Mark the last byte as received."""
        self.is_complete = True
        self.resume()

    def attach(self, sink: BackendConnection) -> None:
        """Start writing the body to a connection. Raises ValueError if its first bytes are no longer buffered."""
        if self.is_consumed:
            raise ValueError("the beginning of the body is no longer buffered")
        self.sink, self.next_part = sink, 0
        self.resume()

    def detach(self, sink: BackendConnection) -> None:
        """Stop writing to the connection."""
        if self.sink is sink:
            self.sink = None
            self.next_part = 0

    def resume(self) -> None:
        """Write what the connection accepts; read from the client while the buffer has room."""
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
        """Discard the buffered data: the request has ended."""
        if not self.is_closed:
            self.is_closed, self.parts, self.sink = True, [], None
            self.allowance.release()
