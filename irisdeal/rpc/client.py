"""RPC client that connects on demand.

Every call has a deadline, which includes the time to connect. A call that times out is abandoned by itself; other
calls on the same connection continue. If nothing was received on the connection since that call was sent, the
connection is marked as hung, because writes to a dead machine never complete: the next call uses a new connection,
and the old one is closed once no call is pending on it. Any byte received on it clears the mark.

An answer is matched by its request id on its own connection. Request ids increase on each connection and are never
reused, so a late answer, a duplicate or one to an earlier incarnation is never matched to another call.
`on_late_answer` is called with an answer that arrived after its deadline, because what it granted may have to be
returned. An answer to a call that was never made closes the connection, because its other answers cannot be
trusted either. A client sends each call once.

When the caller is cancelled, its call is abandoned; a peer that works on it only for this caller is sent a cancel
notification. An answer that had already arrived is handled as late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from returns.result import Failure, Result, Success

from irisdeal.rpc.calls import CANCEL, ends_with_caller, invalid_call_reason
from irisdeal.rpc.frames import (
    HELLO_REQUEST_ID,
    NOTIFICATION_REQUEST_ID,
    FrameReader,
    InvalidFrameError,
    WireValue,
    encode,
)
from irisdeal.rpc.transport import set_socket_options
from irisdeal.runtime.errors import (
    CallTimeoutError,
    ConnectError,
    ConnectionLostError,
    MessageTooLongError,
    OperationError,
    RemoteError,
)
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Address

CONNECT_TIMEOUT_S = 0.4  # over a hundred times the network delay within a region
MAX_ABANDONED_CALLS = 1024  # per connection, still unanswered; with more the connection is closed

CallResult = Result[WireValue, OperationError]
LateAnswerHandler = Callable[[str, WireValue], None]  # arguments: kind, body of the answer


@dataclass(slots=True)
class _PendingCall:
    """A call that is not answered yet. `sent_at` and `deadline` are seconds on the loop's clock."""

    kind: str
    sent_at: float
    deadline: float
    answer: asyncio.Future[CallResult]


@dataclass(frozen=True, slots=True)
class _NotConnected:
    """No connection could be opened in time."""

    reason: str


class _ClientConnection(asyncio.Protocol):
    """The client's end of one connection."""

    def __init__(self, peer: str, on_late_answer: LateAnswerHandler) -> None:
        self.peer = peer
        self.on_late_answer = on_late_answer
        self.loop = asyncio.get_running_loop()
        self.reader = FrameReader()
        self.is_open = True
        self.is_hung = False  # a call timed out, and nothing was received since it was sent
        self.is_retired = False  # replaced by a newer connection
        self.transport: asyncio.Transport | None = None
        self.pending: dict[int, _PendingCall] = {}  # by request id
        self.abandoned: dict[int, str] = {}  # request id -> kind, of calls that may still be answered
        self.last_request_id = 0
        self.last_received_at = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Process the answers in these bytes (asyncio.Protocol)."""
        if not self.is_open:
            return
        self.last_received_at, self.is_hung = self.loop.time(), False
        try:
            for item in self.reader.feed(data):
                if not self.is_open:
                    return
                self._receive(item)
        except InvalidFrameError as error:
            log_event(Event.FRAME_INVALID, peer=self.peer, error=error)
            self.abort()
        self._close_if_unused()

    def _receive(self, item: WireValue) -> None:
        """Complete the call that this item answers. Raises InvalidFrameError if the item is not an answer."""
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not bool:
            # As keys of a dictionary, True and 1.0 equal 1, so the type of the request id is checked.
            raise InvalidFrameError("item is not an answer")
        request_id, is_success, body = item
        call = self.pending.pop(request_id, None)
        if call is None or self.last_received_at > call.deadline or call.answer.done():
            self._receive_late(request_id, call, is_success, body)
        elif is_success:
            call.answer.set_result(Success(body))
        else:
            call.answer.set_result(Failure(RemoteError(call.kind, self.peer, str(body))))

    def _receive_late(
        self, request_id: int, call: _PendingCall | None, is_success: bool, body: WireValue
    ) -> None:
        """Process an answer that no caller waits for.

        `call`: still set if the deadline has passed, or the caller was cancelled, before its callback has run.
        """
        if call is not None:
            self._fail_as_timed_out(call)
            kind: str | None = call.kind
        else:
            kind = self.abandoned.pop(request_id, None)
        if kind is None:
            log_event(Event.UNEXPECTED_ANSWER, peer=self.peer, call=request_id, last=self.last_request_id)
            self.abort()
        elif is_success:
            self.on_late_answer(kind, body)

    def send(self, kind: str, body: object, timeout_s: float) -> tuple[int, asyncio.Future[CallResult]]:
        """Send a call and return its request id and a future of its answer. Raises ValueError if it is too long."""
        assert self.transport is not None
        self.last_request_id += 1
        frame = encode([self.last_request_id, kind, body])
        now, answer = self.loop.time(), self.loop.create_future()
        self.pending[self.last_request_id] = _PendingCall(kind, now, now + timeout_s, answer)
        self.transport.write(frame)
        return self.last_request_id, answer

    def expire(self, request_id: int) -> None:
        """Abandon a call whose deadline has passed; mark the connection as hung if nothing was received since."""
        call = self.pending.get(request_id)
        if call is not None:
            self.is_hung |= self.last_received_at <= call.sent_at
            self.abandon(request_id)

    def abandon(self, request_id: int) -> None:
        """Abandon a call, and cancel it at the peer if the peer works on it only for this caller."""
        call = self.pending.pop(request_id, None)
        if call is None:
            return
        self.abandoned[request_id] = call.kind
        if ends_with_caller(call.kind) and not self.is_hung and self.transport is not None:
            self.transport.write(encode([NOTIFICATION_REQUEST_ID, CANCEL, request_id]))
        self._fail_as_timed_out(call)
        if len(self.abandoned) > MAX_ABANDONED_CALLS:
            self.abort()
        self._close_if_unused()

    def _fail_as_timed_out(self, call: _PendingCall) -> None:
        if not call.answer.done():
            timeout_s = call.deadline - call.sent_at
            call.answer.set_result(
                Failure(CallTimeoutError(call.kind, self.peer, f"no answer within {timeout_s:g} s"))
            )

    def retire(self) -> None:
        """Mark the connection as replaced: it closes once no call is pending on it."""
        self.is_retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.is_retired and not self.pending:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending calls (asyncio.Protocol)."""
        self.is_open = False
        pending, self.pending = self.pending, {}
        for call in pending.values():
            if not call.answer.done():
                error = ConnectionLostError(call.kind, self.peer, "connection closed before the answer")
                call.answer.set_result(Failure(error))

    def abort(self) -> None:
        """Close the connection immediately."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()


class RpcClient:
    """A client of one other process, with one current connection."""

    def __init__(self, address: Address, name: str, on_late_answer: LateAnswerHandler | None = None) -> None:
        """Create a client that connects with its first call.

        `name`: name of this process, sent to the peer. `on_late_answer`: called with the kind and the body of each
        successful answer that arrived after its deadline.
        """
        self.address, self.name = address, name
        self.peer = f"{address[0]}:{address[1]}"
        self.on_late_answer: LateAnswerHandler = on_late_answer or (lambda kind, body: None)
        self.connection: _ClientConnection | None = None
        self.connecting: asyncio.Task[_ClientConnection | _NotConnected] | None = None

    async def _connect(self) -> _ClientConnection | _NotConnected:
        """Open a connection that replaces the current one."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self.peer, self.on_late_answer), *self.address
                )
        except (OSError, TimeoutError) as error:
            return _NotConnected(f"not connected: {error or 'timed out'}")
        finally:
            self.connecting = None
        if not connection.is_open or connection.transport is None:
            return _NotConnected("not connected: closed while connecting")
        connection.transport.write(encode([HELLO_REQUEST_ID, "hello", self.name]))
        if self.connection is not None:
            self.connection.retire()
        self.connection = connection
        return connection

    async def _usable_connection(self, timeout_s: float) -> _ClientConnection | _NotConnected:
        """Return a usable connection, opening one if needed. Concurrent calls share one connection attempt."""
        if self.connection is not None and self.connection.is_open and not self.connection.is_hung:
            return self.connection
        if self.connecting is None:
            self.connecting = asyncio.ensure_future(self._connect())
        connecting = self.connecting
        done, _ = await asyncio.wait({connecting}, timeout=timeout_s)
        if not done or connecting.cancelled():
            return _NotConnected("not connected: timed out")
        return connecting.result()

    async def call(self, kind: str, body: object, timeout_s: float) -> CallResult:
        """Send a call once; return its answer, or the error that ended it, within `timeout_s`.

        Raises KeyError if no such call is specified.
        """
        if (reason := invalid_call_reason(kind, is_one_way=False)) is not None:
            raise KeyError(reason)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._usable_connection(timeout_s)
        if isinstance(connection, _NotConnected):
            return Failure(ConnectError(kind, self.peer, connection.reason, never_sent=True))
        if not connection.is_open:
            return Failure(ConnectError(kind, self.peer, "not connected: closed", never_sent=True))
        try:
            request_id, answer = connection.send(kind, body, max(0.0, deadline - loop.time()))
        except ValueError as error:
            return Failure(MessageTooLongError(kind, self.peer, str(error), never_sent=True))
        timer = loop.call_at(deadline, connection.expire, request_id)
        try:
            return await answer
        except asyncio.CancelledError:
            connection.abandon(request_id)
            if answer.done() and not answer.cancelled() and isinstance(answer.result(), Success):
                # The answer arrived in the same loop iteration in which the caller was cancelled.
                self.on_late_answer(kind, answer.result().unwrap())
            raise
        finally:
            timer.cancel()

    def notify(self, kind: str, body: object) -> bool:
        """Send a notification, which is not answered.

        Returns False if it is unlikely to arrive: there is no connection, or it is hung. Raises KeyError if no such
        notification is specified.
        """
        if (reason := invalid_call_reason(kind, is_one_way=True)) is not None:
            raise KeyError(reason)
        connection = self.connection
        if connection is None or not connection.is_open or connection.transport is None:
            return False
        connection.transport.write(encode([NOTIFICATION_REQUEST_ID, kind, body]))
        return not connection.is_hung

    def close(self) -> None:
        """Close the connection immediately; pending calls fail."""
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()
