"""Calls between processes: a link that connects when it is needed, and the side that answers.

Every call has a time, connecting counted. One that runs out is given up alone: a long ask and a short one over the
same connection do not share their fate. A connection over which nothing at all was heard since such a call was sent
is taken for hung, since a dead machine says nothing and whatever is written to it hangs: the next call goes over
a new one, and the old one ends once no call is out on it. Whatever is heard over it meanwhile shows that it is not.

An answer is matched by its number on its own connection. Numbers rise on one connection and never come again, so
a late answer, one that comes twice or one to a call of an earlier life meets nobody; `on_late` hears of an answer
that came after its time, since what it gave may have to be given back. An answer to what was never asked ends the
connection: its other answers cannot be trusted either. A link sends each call once.

A call whose asker is cancelled ends with it: the other side is told so where its work is for the asker alone, and
an answer that had come by then is taken for one that came after its time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from returns.result import Failure, Result, Success

from irisdeal.rpc.calls import CANCEL, ends_with_asker, may_send
from irisdeal.rpc.frames import HELLO, ONE_WAY, BadFrame, Reader, encode
from irisdeal.rpc.transport import tune
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

CONNECT = 0.4  # s to come up: over a hundred times the delay within a region
MOST_LATE = 1024  # calls of one connection that were given up and may still be answered; then it is done with

OnLate = Callable[[str, Any], None]  # kind, the answer's body


@dataclass(slots=True)
class _Asked:
    """A call that is out. `since`, `until`: s on the loop's clock."""

    kind: str
    since: float
    until: float
    answer: asyncio.Future[Result[Any, OperationError]]


class _Calls(asyncio.Protocol):
    """The calling end of one connection."""

    def __init__(self, peer: str, on_late: OnLate) -> None:
        self.peer, self.on_late, self.loop = peer, on_late, asyncio.get_running_loop()
        self.reader, self.open, self.hung, self.retired = Reader(), True, False, False
        self.transport: asyncio.Transport | None = None
        self.asked: dict[int, _Asked] = {}
        self.late: dict[int, str] = {}  # number -> kind, of those given up that may still be answered
        self.number = 0
        self.heard = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        tune(transport)

    def data_received(self, data: bytes) -> None:
        if not self.open:
            return
        self.heard, self.hung = self.loop.time(), False
        try:
            for item in self.reader.feed(data):
                if not self.open:
                    return
                self._take(item)
        except BadFrame as error:
            log_event(Event.FRAME_INVALID, peer=self.peer, error=error)
            self.drop()
        self._rest()

    def _take(self, item: Any) -> None:
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not bool:
            raise BadFrame("no answer")  # True is 1 and 1.0 is 1 to a dict: only whole numbers are numbers
        number, good, body = item
        asked = self.asked.pop(number, None)
        if asked is not None and self.heard <= asked.until and not asked.answer.done():
            asked.answer.set_result(
                Success(body) if good else Failure(RemoteError(asked.kind, self.peer, str(body)))
            )
            return
        if asked is not None:  # its time is over, or its asker was cancelled, though that was not seen yet
            self._fail(asked)
        kind = asked.kind if asked is not None else self.late.pop(number, None)
        if kind is None:
            log_event(Event.UNEXPECTED_ANSWER, peer=self.peer, call=number, last=self.number)
            return self.drop()
        if good:
            self.on_late(kind, body)

    def ask(
        self, kind: str, body: Any, within: float
    ) -> tuple[int, asyncio.Future[Result[Any, OperationError]]]:
        """Send a call. ValueError where it is too long."""
        assert self.transport is not None
        self.number += 1
        frame = encode([self.number, kind, body])
        now, answer = self.loop.time(), self.loop.create_future()
        self.asked[self.number] = _Asked(kind, now, now + within, answer)
        self.transport.write(frame)
        return self.number, answer

    def expire(self, number: int) -> None:
        """Its time is over."""
        asked = self.asked.get(number)
        if asked is not None:
            self.hung |= self.heard <= asked.since
            self.give_up(number)

    def give_up(self, number: int) -> None:
        """Nobody waits for it any more: who works on it is told, where that is of use."""
        asked = self.asked.pop(number, None)
        if asked is None:
            return
        self.late[number] = asked.kind
        if ends_with_asker(asked.kind) and not self.hung and self.transport is not None:
            self.transport.write(encode([ONE_WAY, CANCEL, number]))
        self._fail(asked)
        if len(self.late) > MOST_LATE:
            self.drop()
        self._rest()

    def _fail(self, asked: _Asked) -> None:
        """It has no answer in its time."""
        if not asked.answer.done():
            asked.answer.set_result(
                Failure(
                    CallTimeoutError(asked.kind, self.peer, f"silent for {asked.until - asked.since:g} s")
                )
            )

    def retire(self) -> None:
        """Another connection takes its place; it ends with the last call that is out on it."""
        self.retired = True
        self._rest()

    def _rest(self) -> None:
        if self.retired and not self.asked:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        asked, self.asked = self.asked, {}
        for one in asked.values():
            if not one.answer.done():
                one.answer.set_result(
                    Failure(ConnectionLostError(one.kind, self.peer, "the connection ended"))
                )

    def drop(self) -> None:
        self.open = False
        if self.transport is not None:
            self.transport.abort()


class RpcClient:
    """One process as seen by another: `call` it, and hear its answer or the trouble."""

    def __init__(self, address: Address, name: str, on_late: OnLate | None = None) -> None:
        """`on_late`: hears the kind and the body of each good answer that came after its time."""
        self.address, self.name = address, name
        self.peer = f"{address[0]}:{address[1]}"
        self.on_late: OnLate = on_late or (lambda kind, body: None)
        self.calls: _Calls | None = None
        self.connecting: asyncio.Task[_Calls | str] | None = None

    async def _connect(self) -> _Calls | str:
        """A new connection, which takes the place of the one that there is; or why there is none."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT):
                _, calls = await loop.create_connection(
                    lambda: _Calls(self.peer, self.on_late), *self.address
                )
        except (OSError, TimeoutError) as error:
            return f"not connected: {error or 'timed out'}"
        finally:
            self.connecting = None
        if not calls.open or calls.transport is None:
            return "not connected: closed as it came up"
        calls.transport.write(encode([HELLO, "hello", self.name]))
        if self.calls is not None:
            self.calls.retire()
        self.calls = calls
        return calls

    async def _connected(self, within: float) -> _Calls | str:
        """A connection to write to, or why there is none in time. All that wait for one wait for the same."""
        if self.calls is not None and self.calls.open and not self.calls.hung:
            return self.calls
        if self.connecting is None:
            self.connecting = asyncio.ensure_future(self._connect())
        connecting = self.connecting
        done, _ = await asyncio.wait({connecting}, timeout=within)
        if not done or connecting.cancelled():
            return "not connected: timed out"
        return connecting.result()

    async def call(self, kind: str, body: Any, within: float) -> Result[Any, OperationError]:
        """The answer to this call within so many s, or the trouble. It is sent once. KeyError: no such call."""
        if (why := may_send(kind, is_one_way=False)) is not None:
            raise KeyError(why)
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        calls = await self._connected(within)
        if isinstance(calls, str) or not calls.open:
            why = calls if isinstance(calls, str) else "not connected: closed"
            return Failure(ConnectError(kind, self.peer, why, never_sent=True))
        try:
            number, answer = calls.ask(kind, body, max(0.0, until - loop.time()))
        except ValueError as error:
            return Failure(MessageTooLongError(kind, self.peer, str(error), never_sent=True))
        timer = loop.call_at(until, calls.expire, number)
        try:
            return await answer
        except asyncio.CancelledError:
            calls.give_up(number)
            if answer.done() and not answer.cancelled() and isinstance(answer.result(), Success):
                self.on_late(kind, answer.result().unwrap())  # it came as its asker was cancelled
            raise
        finally:
            timer.cancel()

    def notify(self, kind: str, body: Any) -> bool:
        """A word that wants no answer; False where it is not likely to come there: no connection, or a hung one."""
        if (why := may_send(kind, is_one_way=True)) is not None:
            raise KeyError(why)
        calls = self.calls
        if calls is None or not calls.open or calls.transport is None:
            return False
        calls.transport.write(encode([ONE_WAY, kind, body]))
        return not calls.hung

    def close(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        if self.calls is not None:
            self.calls.drop()
