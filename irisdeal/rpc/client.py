"""The calling side of calls between processes: a client that connects when it is needed.

Every call has a deadline, which includes the time to connect. A call that times out is given up alone: a long and
a short call over the same connection do not share their fate. A connection over which nothing at all was received
since such a call was sent counts as hung, since a dead machine sends nothing and whatever is written to it hangs:
the next call goes over a new one, and the old one ends once no call is pending on it. Whatever is received over it
meanwhile shows that it is not.

An answer is matched by its request id on its own connection. Request ids rise on one connection and are never used
twice, so that a late answer, a second one or one to an earlier incarnation is never taken for another's;
`on_late_answer` is called with an answer that came after its deadline, since what it granted may have to be given
back. An answer to a call that was never made ends the connection: its other answers cannot be trusted either. A
client sends each call once.

A call whose caller is cancelled ends with it: the peer is notified where it works for the caller alone, and an
answer that had come by then counts as late.
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

CONNECT_TIMEOUT_S = 0.4  # over a hundred times the delay within a region
MAX_GIVEN_UP_CALLS = 1024  # of one connection that may still be answered; beyond, the connection is dropped

CallResult = Result[WireValue, OperationError]
LateAnswerHandler = Callable[[str, WireValue], None]  # kind, the answer's body


@dataclass(slots=True)
class _PendingCall:
    """A call without an answer so far. `sent_at`, `deadline`: s on the loop's clock."""

    kind: str
    sent_at: float
    deadline: float
    answer: asyncio.Future[CallResult]


@dataclass(frozen=True, slots=True)
class _NotConnected:
    """No connection came up in time."""

    reason: str


class _ClientConnection(asyncio.Protocol):
    """The calling end of one connection."""

    def __init__(self, peer: str, on_late_answer: LateAnswerHandler) -> None:
        self.peer = peer
        self.on_late_answer = on_late_answer
        self.loop = asyncio.get_running_loop()
        self.reader = FrameReader()
        self.is_open = True
        self.is_hung = False  # nothing was received since a call was sent that timed out
        self.is_retired = False  # another connection has taken its place
        self.transport: asyncio.Transport | None = None
        self.pending: dict[int, _PendingCall] = {}  # by request id
        self.given_up: dict[int, str] = {}  # request id -> kind, of those that may still be answered
        self.last_request_id = 0
        self.last_received_at = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Take the answers in these bytes (asyncio.Protocol)."""
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
            self.drop()
        self._drop_if_unused()

    def _receive(self, item: WireValue) -> None:
        """Hand an answer to its call. InvalidFrameError where the item is no answer."""
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not bool:
            raise InvalidFrameError(
                "no answer"
            )  # a dict takes True and 1.0 for 1: only an int is a request id
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
        """Take an answer that no caller waits for.

        `call`: the one whose deadline is over or whose caller was cancelled, where that was not noticed yet.
        """
        if call is not None:
            self._time_out(call)
            kind: str | None = call.kind
        else:
            kind = self.given_up.pop(request_id, None)
        if kind is None:
            log_event(Event.UNEXPECTED_ANSWER, peer=self.peer, call=request_id, last=self.last_request_id)
            self.drop()
        elif is_success:
            self.on_late_answer(kind, body)

    def send(self, kind: str, body: object, timeout_s: float) -> tuple[int, asyncio.Future[CallResult]]:
        """Send a call; return its request id and the future of its answer. ValueError where it is too long."""
        assert self.transport is not None
        self.last_request_id += 1
        frame = encode([self.last_request_id, kind, body])
        now, answer = self.loop.time(), self.loop.create_future()
        self.pending[self.last_request_id] = _PendingCall(kind, now, now + timeout_s, answer)
        self.transport.write(frame)
        return self.last_request_id, answer

    def expire(self, request_id: int) -> None:
        """Give up the call whose deadline has come; its connection may be hung."""
        call = self.pending.get(request_id)
        if call is not None:
            self.is_hung |= self.last_received_at <= call.sent_at
            self.give_up(request_id)

    def give_up(self, request_id: int) -> None:
        """Wait for this call no longer, and notify the peer where it works for the caller alone."""
        call = self.pending.pop(request_id, None)
        if call is None:
            return
        self.given_up[request_id] = call.kind
        if ends_with_caller(call.kind) and not self.is_hung and self.transport is not None:
            self.transport.write(encode([NOTIFICATION_REQUEST_ID, CANCEL, request_id]))
        self._time_out(call)
        if len(self.given_up) > MAX_GIVEN_UP_CALLS:
            self.drop()
        self._drop_if_unused()

    def _time_out(self, call: _PendingCall) -> None:
        if not call.answer.done():
            timeout_s = call.deadline - call.sent_at
            call.answer.set_result(
                Failure(CallTimeoutError(call.kind, self.peer, f"silent for {timeout_s:g} s"))
            )

    def retire(self) -> None:
        """Close with the last call that is pending here, since another connection has taken its place."""
        self.is_retired = True
        self._drop_if_unused()

    def _drop_if_unused(self) -> None:
        if self.is_retired and not self.pending:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls that are pending (asyncio.Protocol)."""
        self.is_open = False
        pending, self.pending = self.pending, {}
        for call in pending.values():
            if not call.answer.done():
                error = ConnectionLostError(call.kind, self.peer, "the connection ended")
                call.answer.set_result(Failure(error))

    def drop(self) -> None:
        """Close at once."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()


class RpcClient:
    """Calls one other process, over one connection at a time."""

    def __init__(self, address: Address, name: str, on_late_answer: LateAnswerHandler | None = None) -> None:
        """Connect to nothing yet.

        `name`: of this process, as the peer sees it. `on_late_answer`: called with the kind and the body of each
        successful answer that came after its deadline.
        """
        self.address, self.name = address, name
        self.peer = f"{address[0]}:{address[1]}"
        self.on_late_answer: LateAnswerHandler = on_late_answer or (lambda kind, body: None)
        self.connection: _ClientConnection | None = None
        self.connecting: asyncio.Task[_ClientConnection | _NotConnected] | None = None

    async def _connect(self) -> _ClientConnection | _NotConnected:
        """Open a connection, which takes the place of the present one."""
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
            return _NotConnected("not connected: closed as it came up")
        connection.transport.write(encode([HELLO_REQUEST_ID, "hello", self.name]))
        if self.connection is not None:
            self.connection.retire()
        self.connection = connection
        return connection

    async def _connected(self, timeout_s: float) -> _ClientConnection | _NotConnected:
        """Return the connection to write to; where there is none, open one. All waiting calls share one attempt."""
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

        KeyError where no such call is specified.
        """
        if (reason := invalid_call_reason(kind, is_one_way=False)) is not None:
            raise KeyError(reason)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._connected(timeout_s)
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
            connection.give_up(request_id)
            if answer.done() and not answer.cancelled() and isinstance(answer.result(), Success):
                self.on_late_answer(kind, answer.result().unwrap())  # it came as its caller was cancelled
            raise
        finally:
            timer.cancel()

    def notify(self, kind: str, body: object) -> bool:
        """Send a notification, which has no answer.

        Return False where it is not likely to arrive: there is no connection, or it is hung. KeyError where no such
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
        """Close the connection at once; calls that are pending fail."""
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.drop()
