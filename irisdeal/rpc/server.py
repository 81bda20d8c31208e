"""The answering side of calls between processes.

A call of a kind that is worked on for its caller alone (`CallSpec.ends_with_caller`) runs in a task that is
cancelled with its caller: when the caller gives it up, and when the connection over which it came ends.

A server shuts down by a drain: it begins no further call, except of the kinds that are still accepted, lets those
at work run to their end, closes its end of each connection behind the last answer, and is done once the callers
have closed theirs.
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
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Address

MAX_CALLS_AT_WORK = 256  # of one connection; more are answered with an error
DRAIN_POLL_S = 0.02  # between two checks of what a drain waits for
LISTEN_BACKLOG = 256  # connections the kernel queues until they are accepted: over one of each process
# Error answers. They are the wire's: callers of other versions log them.
DRAINING_TEXT = "this process ends"
TOO_MANY_CALLS_TEXT = "too many calls at once"
CANCELLED_TEXT = "given up"

Handler = Callable[[str, str, WireValue], Awaitable[WireValue]]  # peer, kind, body -> answer
# Likewise; `DEFERRED` where it cannot answer at once.
ImmediateHandler = Callable[[str, str, WireValue], WireValue]
DEFERRED = object()
AnswerTask = asyncio.Task[tuple[bool, WireValue]]  # whether the call succeeded, and its answer


class _ServerConnection(asyncio.Protocol):
    """The answering end of one connection. `peer`: the caller and the connection, as `proxy 10.1.0.3#17`."""

    def __init__(self, server: RpcServer) -> None:
        self.server = server
        self.reader = FrameReader()
        self.peer = ""  # until the hello has come
        self.last_request_id = HELLO_REQUEST_ID
        self.transport: asyncio.Transport | None = None
        self.at_work: dict[int, AnswerTask] = {}  # by request id; of a notification by a number below 0
        self.ending_with_caller: dict[
            int, AnswerTask
        ] = {}  # those of `at_work` that are cancelled with their caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what was worked on for the caller alone (asyncio.Protocol)."""
        self.transport = None
        self.server.connections.discard(self)
        self.cancel_caller_bound_calls()
        self._report_lost()

    def cancel_caller_bound_calls(self) -> None:
        """Cancel the calls that are worked on for their callers alone."""
        for task in list(self.ending_with_caller.values()):
            task.cancel()

    def _report_lost(self) -> None:
        if self.server.on_connection_lost is not None and self.peer:
            self.server.on_connection_lost(self.peer)

    def data_received(self, data: bytes) -> None:
        """Run the calls in these bytes (asyncio.Protocol)."""
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
        """Take one item.

        InvalidFrameError where it is no call or not in its order: nothing behind it can be trusted.
        """
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not str:
            raise InvalidFrameError("no call")
        request_id, kind, body = item
        if request_id == HELLO_REQUEST_ID:
            return self._receive_hello(body)
        if not self.peer:
            raise InvalidFrameError("a call before the caller's name")
        if request_id == NOTIFICATION_REQUEST_ID:
            if kind == CANCEL:
                return self._cancel(body)
        elif request_id <= self.last_request_id:  # a second one: what it takes would be taken twice
            log_event(
                Event.DUPLICATE_CALL, peer=self.peer, kind=kind, call=request_id, last=self.last_request_id
            )
            raise InvalidFrameError("a call that was received before")
        else:
            self.last_request_id = request_id
        if (reason := invalid_call_reason(kind, request_id == NOTIFICATION_REQUEST_ID)) is not None:
            return self._write(request_id, False, reason)
        self._run(request_id, kind, body)

    def _receive_hello(self, name: WireValue) -> None:
        if self.peer:
            raise InvalidFrameError("a second name of the caller")
        self.peer = self.server.peer_of(str(name))

    def _cancel(self, request_id: WireValue) -> None:
        """Cancel the call that the caller has given up, unless it is done already."""
        task = self.ending_with_caller.get(request_id) if type(request_id) is int else None
        if task is not None:
            task.cancel()

    def _run(self, request_id: int, kind: str, body: WireValue) -> None:
        """Answer at once where the immediate handler can, or begin a task."""
        if not self.server.accepts(kind):
            return self._write(request_id, False, DRAINING_TEXT)
        if self.server.immediate_handler is not None:
            try:
                answer = self.server.immediate_handler(self.peer, kind, body)
            except (
                Exception
            ) as error:  # as in `_answer`: the caller has to be answered, and other calls go on
                log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
                return self._write(request_id, False, repr(error))
            if answer is not DEFERRED:
                return self._write(request_id, True, answer)
        if len(self.at_work) >= MAX_CALLS_AT_WORK:
            return self._write(request_id, False, TOO_MANY_CALLS_TEXT)
        self._begin(request_id, kind, body)

    def _begin(self, request_id: int, kind: str, body: WireValue) -> None:
        task = self.server.tasks.start(self._answer(kind, body))
        key = (
            request_id if request_id != NOTIFICATION_REQUEST_ID else -id(task)
        )  # several notifications may be at work at once
        self.at_work[key] = task
        if ends_with_caller(kind):
            self.ending_with_caller[key] = task
        task.add_done_callback(lambda done: self._finish_call(request_id, key, done))

    async def _answer(self, kind: str, body: WireValue) -> tuple[bool, WireValue]:
        """Return whether the call succeeded, and its answer or the error's text."""
        try:
            return True, await self.server.handler(self.peer, kind, body)
        except Exception as error:  # of any type: the caller has to be answered
            log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
            return False, repr(error)

    def _finish_call(self, request_id: int, key: int, task: AnswerTask) -> None:
        del self.at_work[key]
        self.ending_with_caller.pop(key, None)
        is_success, answer = (False, CANCELLED_TEXT) if task.cancelled() else task.result()
        if self.transport is None:
            self._report_lost()  # what the call granted came after the connection's end was reported
        self._write(request_id, is_success, answer)

    def _write(self, request_id: int, is_success: bool, answer: WireValue) -> None:
        if self.transport is None or request_id == NOTIFICATION_REQUEST_ID:
            return
        try:
            frame = encode([request_id, is_success, answer])
        except ValueError as error:  # too long; without an answer this process would be taken for dead
            frame = encode([request_id, False, str(error)])
        self.transport.write(frame)

    def close_behind_last_answer(self) -> None:
        """Close this end once all that is written is sent; no further answer comes."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:  # the caller has gone
            self.transport.abort()


class RpcServer:
    """Answers the calls that come to an address. An exception of a handler is logged and answered as an error."""

    def __init__(
        self,
        handler: Handler,
        immediate_handler: ImmediateHandler | None = None,
        on_connection_lost: Callable[[str], None] | None = None,
    ) -> None:
        """Listen nowhere yet.

        `immediate_handler` is asked before `handler`. `on_connection_lost` is called with the peer of each
        connection that ended, and again where a call over it is answered only after its end.
        """
        self.handler, self.immediate_handler = handler, immediate_handler
        self.on_connection_lost = on_connection_lost
        self.tasks = Tasks()
        self.connections: set[_ServerConnection] = set()
        self.listener: asyncio.Server | None = None
        self.connection_count = 0
        self.accepted_kinds: frozenset[str] | None = None  # of calls amid a drain; None before it: all

    def peer_of(self, name: str) -> str:
        """Return the peer of a new connection: the caller, and a number that no other connection has."""
        self.connection_count += 1
        return f"{process_name(name)}#{self.connection_count}"

    def accepts(self, kind: str) -> bool:
        """Return whether a call of this kind is begun now."""
        return self.accepted_kinds is None or kind in self.accepted_kinds

    async def listen(self, address: Address) -> None:
        """Answer at this address. OSError where it is taken."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: _ServerConnection(self), *address, backlog=LISTEN_BACKLOG, reuse_address=True
        )

    def begin_drain(self, accepted_kinds: frozenset[str] = frozenset()) -> None:
        """From now on begin only calls of `accepted_kinds`, and cancel those worked on for their callers alone."""
        self.accepted_kinds = accepted_kinds
        for connection in list(self.connections):
            connection.cancel_caller_bound_calls()

    async def drain(self, ends_at: float) -> int:
        """Shut down gracefully by `ends_at` (s on the loop's clock); return the number of unanswered calls."""
        loop = asyncio.get_running_loop()
        self.begin_drain()
        while self._calls_at_work() and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_S)
        unanswered = self._calls_at_work()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_behind_last_answer()
        while self.connections and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()
        return unanswered

    def _calls_at_work(self) -> int:
        return sum(len(connection.at_work) for connection in self.connections)

    def close(self) -> None:
        """Close at once: abort all connections and cancel the calls at work."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.tasks.cancel()
