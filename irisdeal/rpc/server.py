"""The answering side of calls between processes.

A call of a kind that is worked on for its asker alone (`calls.py`) runs in a task that ends with its asker: when it
is given up, and when the connection over which it came ends.

A server ends by a drain: it begins no further call but those of `still`, lets what is at work come to its end,
closes its end of each connection behind the last answer, and is over once the callers have closed theirs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from irisdeal.rpc.calls import CANCEL, ends_with_asker, may_send, name_of
from irisdeal.rpc.frames import HELLO, ONE_WAY, BadFrame, Reader, encode
from irisdeal.rpc.transport import tune
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Address

MOST_CALLS = 256  # calls of one connection at work at once; more are answered with an error
DRAIN_LOOK_S = 0.02  # between two looks at what a drain waits for
LEAVING = "this process ends"

Handler = Callable[[str, str, Any], Awaitable[Any]]  # peer, kind, body
Quick = Callable[[str, str, Any], Any]  # likewise, answered at once; `DEFERRED` where it cannot be
DEFERRED = object()


class _Answers(asyncio.Protocol):
    """The answering end of one connection. `peer`: who calls and over which one, as `proxy 10.1.0.3#17`."""

    def __init__(self, server: RpcServer) -> None:
        self.server, self.reader, self.peer, self.last = server, Reader(), "", HELLO
        self.transport: asyncio.Transport | None = None
        self.at_work: dict[int, asyncio.Task[tuple[bool, Any]]] = {}
        self.ending: dict[
            int, asyncio.Task[tuple[bool, Any]]
        ] = {}  # of these, those that end with their asker

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        tune(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)
        self.cancel_held()
        self._lost()

    def cancel_held(self) -> None:
        """End the calls that are worked on for their askers alone."""
        for task in list(self.ending.values()):
            task.cancel()

    def _lost(self) -> None:
        if self.server.lost is not None and self.peer:
            self.server.lost(self.peer)

    def data_received(self, data: bytes) -> None:
        try:
            for item in self.reader.feed(data):
                if self.transport is None:
                    return
                self._take(item)
        except BadFrame as error:
            log_event(Event.FRAME_INVALID, peer=self.peer, error=error)
            if self.transport is not None:
                self.transport.abort()

    def _take(self, item: Any) -> None:
        """One item. BadFrame where it is none, or not in its order: nothing behind it can be trusted."""
        if type(item) is not list or len(item) != 3 or type(item[0]) is not int or type(item[1]) is not str:
            raise BadFrame("no call")
        number, kind, body = item
        if number == HELLO:
            if self.peer:
                raise BadFrame("a second name")
            self.peer = self.server.peer(str(body))
            return
        if not self.peer:
            raise BadFrame("a call before a name")
        is_one_way = number == ONE_WAY
        if not is_one_way:
            if number <= self.last:  # it came twice: what it takes would be taken twice
                log_event(Event.DUPLICATE_CALL, peer=self.peer, kind=kind, call=number, last=self.last)
                raise BadFrame("a call that was heard before")
            self.last = number
        if is_one_way and kind == CANCEL:
            return self._cancel(body)
        if (why := may_send(kind, is_one_way)) is not None:
            return self._write(number, False, why)
        self._run(number, kind, body)

    def _cancel(self, number: Any) -> None:
        """Its asker has given it up; one that is over is no more here."""
        task = self.ending.get(number) if type(number) is int else None
        if task is not None:
            task.cancel()

    def _run(self, number: int, kind: str, body: Any) -> None:
        if not self.server.takes(kind):
            return self._write(number, False, LEAVING)
        if self.server.quick is not None:
            try:
                answer = self.server.quick(self.peer, kind, body)
            except Exception as error:  # as of a handler: the caller must hear of it, and the others go on
                log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
                return self._write(number, False, repr(error))
            if answer is not DEFERRED:
                return self._write(number, True, answer)
        if len(self.at_work) >= MOST_CALLS:
            return self._write(number, False, "too many calls at once")
        self._begin(number, kind, body)

    def _begin(self, number: int, kind: str, body: Any) -> None:
        task = self.server.tasks.start(self._answer(kind, body))
        key = number if number != ONE_WAY else -id(task)  # several words may be at work at once
        self.at_work[key] = task
        if ends_with_asker(kind):
            self.ending[key] = task
        task.add_done_callback(lambda over: self._answered(number, key, over))

    async def _answer(self, kind: str, body: Any) -> tuple[bool, Any]:
        """Whether it went well, and the answer."""
        try:
            return True, await self.server.handler(self.peer, kind, body)
        except Exception as error:  # whatever it is, the caller must hear of it
            log_event(Event.TASK_FAILED, call=kind, peer=self.peer, error=repr(error))
            return False, repr(error)

    def _answered(self, number: int, key: int, task: asyncio.Task[tuple[bool, Any]]) -> None:
        del self.at_work[key]
        self.ending.pop(key, None)
        good, answer = (False, "given up") if task.cancelled() else task.result()
        if self.transport is None:
            self._lost()  # what it was given came after its end was heard
        self._write(number, good, answer)

    def _write(self, number: int, good: bool, answer: Any) -> None:
        if self.transport is None or number == ONE_WAY:
            return
        try:
            frame = encode([number, good, answer])
        except ValueError as error:  # too long: silence would be taken for a dead machine
            frame = encode([number, False, str(error)])
        self.transport.write(frame)

    def finish(self) -> None:
        """No further answer comes: close our end behind the last one."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:  # its caller has gone
            self.transport.abort()


class RpcServer:
    """Answers the calls that come to an address. A handler that raises answers with the error.

    `quick` is asked first, and `lost` hears of each connection that ended, by the name under which its calls came;
    again, where a call that it had sent was answered only behind its end.
    """

    def __init__(
        self, handler: Handler, quick: Quick | None = None, lost: Callable[[str], None] | None = None
    ) -> None:
        self.handler, self.quick, self.lost, self.tasks = handler, quick, lost, Tasks()
        self.connections: set[_Answers] = set()
        self.listening: asyncio.Server | None = None
        self.met = 0
        self.still: frozenset[str] | None = None  # kinds that are taken amid a drain; None before it

    def peer(self, name: str) -> str:
        """A new connection's name: who calls, and a number that no other connection has."""
        self.met += 1
        return f"{name_of(name)}#{self.met}"

    def takes(self, kind: str) -> bool:
        """Whether a call of this kind is begun now."""
        return self.still is None or kind in self.still

    async def listen(self, address: Address) -> None:
        """Answer at this address. OSError where it is taken."""
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(
            lambda: _Answers(self), *address, backlog=256, reuse_address=True
        )

    def begin_drain(self, still: frozenset[str] = frozenset()) -> None:
        """From now on only calls of the kinds `still` are begun; those that are held for news end."""
        self.still = still
        for connection in list(self.connections):
            connection.cancel_held()

    async def drain(self, ends_at: float) -> int:
        """End in order, by `ends_at` (s on the loop's clock); calls that were cut without an answer."""
        loop = asyncio.get_running_loop()
        self.begin_drain()
        while self._at_work() and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_LOOK_S)
        cut = self._at_work()
        if self.listening is not None:
            self.listening.close()
        for connection in list(self.connections):
            connection.finish()
        while self.connections and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_LOOK_S)
        self.close()
        return cut

    def _at_work(self) -> int:
        return sum(len(connection.at_work) for connection in self.connections)

    def close(self) -> None:
        """End at once."""
        if self.listening is not None:
            self.listening.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.tasks.cancel()
