"""RPC server.

A call whose result only its caller needs (`CallSpec.ends_with_caller`) is cancelled when the caller abandons it and
when its connection closes.

Graceful shutdown: the server rejects new calls except those of accepted kinds, lets running calls finish, closes
its end of each connection after the last answer, and is done once the callers have closed their ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from irisdeal.rpc.calls import CANCEL, ends_with_caller, invalid_call_reason, process_name
from irisdeal.rpc.frames import (
    HELLO_REQUEST_ID,
    NOTIFICATION_REQUEST_ID,
    FrameReader,
    InvalidFrameError,
    WireValue,
    encode,
)
from irisdeal.rpc.transport import set_socket_options
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Address
from irisdeal.runtime.tasks import Tasks

MAX_RUNNING_CALLS = 256  # per connection; further calls are answered with an error
DRAIN_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 256  # connections waiting to be accepted: more than one from each process
# Error texts sent to callers. They are part of the protocol: callers of other versions log them.
DRAINING_TEXT = "this process ends"
TOO_MANY_CALLS_TEXT = "too many calls at once"
CANCELLED_TEXT = "given up"

Handler = Callable[[str, str, WireValue], Awaitable[WireValue]]  # peer, kind, body -> answer
# Same arguments; returns `DEFERRED` if it cannot answer without waiting.
ImmediateHandler = Callable[[str, str, WireValue], WireValue]
DEFERRED = object()
AnswerTask = asyncio.Task[tuple[bool, WireValue]]  # whether the call succeeded, and its answer


class _ServerConnection(asyncio.Protocol):
    """The server's end of one connection. `peer`: name of the caller and connection, as `proxy 10.1.0.3#17`."""

    def __init__(self, server: RpcServer) -> None:
        self.server = server
        self.reader = FrameReader()
        self.peer = ""  # empty until the hello is received
        self.last_request_id = HELLO_REQUEST_ID
        self.transport: asyncio.Transport | None = None
        self.running_calls: dict[int, AnswerTask] = {}  # by request id; a notification has a negative key
        self.caller_bound_calls: dict[int, AnswerTask] = {}  # the running calls to cancel with their caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the connection (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls whose results only this caller needs (asyncio.Protocol)."""
        self.transport = None
        self.server.connections.discard(self)
        self.cancel_caller_bound_calls()
        self._report_lost()

    def cancel_caller_bound_calls(self) -> None:
        """Cancel the running calls whose results only their callers need."""
        for task in list(self.caller_bound_calls.values()):
            task.cancel()

    def _report_lost(self) -> None:
        if self.server.on_connection_lost is not None and self.peer:
            self.server.on_connection_lost(self.peer)

    def data_received(self, data: bytes) -> None:
        """Process the calls in these bytes (asyncio.Protocol)."""
        try:
            for item in self.reader.feed(data):
                if self.transport is None:
                    return
                self._receive(item)
        except InvalidFrameError as error:
            log_event(Event.FRAME_INVALID, peer=self.peer, error=error)
            if self.transport is not None:
                self.transport.abort()

    def _receive(self, item: WireValue) -> None:
        """Process one item.

        Raises InvalidFrameError if it is not a call or is out of order: nothing after it can be trusted.
        """
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not str:
            raise InvalidFrameError("item is not a call")
        request_id, kind, body = item
        if request_id == HELLO_REQUEST_ID:
            return self._receive_hello(body)
        if not self.peer:
            raise InvalidFrameError("call received before the hello")
        if request_id == NOTIFICATION_REQUEST_ID:
            if kind == CANCEL:
                return self._cancel(body)
        elif request_id <= self.last_request_id:  # a duplicate: running it would grant twice
            log_event(
                Event.DUPLICATE_CALL, peer=self.peer, kind=kind, call=request_id, last=self.last_request_id
            )
            raise InvalidFrameError("duplicate call")
        else:
            self.last_request_id = request_id
        if (reason := invalid_call_reason(kind, request_id == NOTIFICATION_REQUEST_ID)) is not None:
            return self._write(request_id, False, reason)
        self._run(request_id, kind, body)

    def _receive_hello(self, name: WireValue) -> None:
        if self.peer:
            raise InvalidFrameError("duplicate hello")
        self.peer = self.server.new_peer_name(str(name))

    def _cancel(self, request_id: WireValue) -> None:
        """Cancel a call that the caller has abandoned, unless it has finished."""
        task = self.caller_bound_calls.get(request_id) if type(request_id) is int else None
        if task is not None:
            task.cancel()

    def _run(self, request_id: int, kind: str, body: WireValue) -> None:
        """Answer with the immediate handler if possible, otherwise start a task."""
        if not self.server.accepts(kind):
            return self._write(request_id, False, DRAINING_TEXT)
        if self.server.immediate_handler is not None:
            try:
                answer = self.server.immediate_handler(self.peer, kind, body)
            except Exception as error:  # any type: the caller must get an answer, and other calls continue
                log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
                return self._write(request_id, False, repr(error))
            if answer is not DEFERRED:
                return self._write(request_id, True, answer)
        if len(self.running_calls) >= MAX_RUNNING_CALLS:
            return self._write(request_id, False, TOO_MANY_CALLS_TEXT)
        self._start_task(request_id, kind, body)

    def _start_task(self, request_id: int, kind: str, body: WireValue) -> None:
        task = self.server.tasks.start(self._answer(kind, body))
        # Several notifications may run at once, all with the same request id.
        key = request_id if request_id != NOTIFICATION_REQUEST_ID else -id(task)
        self.running_calls[key] = task
        if ends_with_caller(kind):
            self.caller_bound_calls[key] = task
        task.add_done_callback(lambda done: self._finish_call(request_id, key, done))

    async def _answer(self, kind: str, body: WireValue) -> tuple[bool, WireValue]:
        """Return whether the call succeeded, and its answer or the error text."""
        try:
            return True, await self.server.handler(self.peer, kind, body)
        except Exception as error:  # any type: the caller must get an answer
            log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
            return False, repr(error)

    def _finish_call(self, request_id: int, key: int, task: AnswerTask) -> None:
        del self.running_calls[key]
        self.caller_bound_calls.pop(key, None)
        is_success, answer = (False, CANCELLED_TEXT) if task.cancelled() else task.result()
        if self.transport is None:
            self._report_lost()  # again: the call may have granted something after the first report
        self._write(request_id, is_success, answer)

    def _write(self, request_id: int, is_success: bool, answer: WireValue) -> None:
        if self.transport is None or request_id == NOTIFICATION_REQUEST_ID:
            return
        try:
            frame = encode([request_id, is_success, answer])
        except ValueError as error:  # too long; without an answer the caller would consider this process dead
            frame = encode([request_id, False, str(error)])
        self.transport.write(frame)

    def close_after_last_answer(self) -> None:
        """Close this end after the written answers are sent."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:  # the caller has already disconnected
            self.transport.abort()


class RpcServer:
    """Serves calls at one address. An exception raised by a handler is logged and answered as an error."""

    def __init__(
        self,
        handler: Handler,
        immediate_handler: ImmediateHandler | None = None,
        on_connection_lost: Callable[[str], None] | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        `immediate_handler` is tried before `handler`. `on_connection_lost` is called with the peer of each closed
        connection, and again for each of its calls that finishes after the close.
        """
        self.handler, self.immediate_handler = handler, immediate_handler
        self.on_connection_lost = on_connection_lost
        self.tasks = Tasks()
        self.connections: set[_ServerConnection] = set()
        self.listener: asyncio.Server | None = None
        self.connection_count = 0
        self.accepted_kinds: frozenset[str] | None = None  # kinds accepted during a drain; None: all kinds

    def new_peer_name(self, name: str) -> str:
        """Return the peer name of a new connection: the caller's name and a unique number."""
        self.connection_count += 1
        return f"{process_name(name)}#{self.connection_count}"

    def accepts(self, kind: str) -> bool:
        """Return whether calls of this kind are accepted now."""
        return self.accepted_kinds is None or kind in self.accepted_kinds

    async def listen(self, address: Address) -> None:
        """Listen at this address. Raises OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: _ServerConnection(self), *address, backlog=LISTEN_BACKLOG, reuse_address=True
        )

    def begin_drain(self, accepted_kinds: frozenset[str] = frozenset()) -> None:
        """Accept only calls of `accepted_kinds` from now on; cancel calls whose results only their callers need."""
        self.accepted_kinds = accepted_kinds
        for connection in list(self.connections):
            connection.cancel_caller_bound_calls()

    async def drain(self, ends_at: float) -> int:
        """Shut down gracefully by `ends_at` (s on the loop's clock); return the number of unanswered calls."""
        loop = asyncio.get_running_loop()
        self.begin_drain()
        while self._running_call_count() and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        unanswered = self._running_call_count()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_after_last_answer()
        while self.connections and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self.close()
        return unanswered

    def _running_call_count(self) -> int:
        return sum(len(connection.running_calls) for connection in self.connections)

    def close(self) -> None:
        """Abort all connections and cancel the running calls."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.tasks.cancel()
