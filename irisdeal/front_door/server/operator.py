"""The operators' listener: calls in, one answer each; what they ask is decided in `irisdeal/front_door/operator/`.

Only a door whose configuration has `operator` imports this file.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import httptools

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import ServerAdminStateChanged, ServerList, ServerState
from irisdeal.front_door.operator.bans import Bans
from irisdeal.front_door.operator.calls import MOST_BODY, MOST_HEAD, Call, TurnedDown, What, read
from irisdeal.front_door.operator.figures import CLASS_LABEL, CONTENT_TYPE, Figure, Kind, Registry
from irisdeal.front_door.server.config import Address
from irisdeal.front_door.server.listener import Listener

if TYPE_CHECKING:
    from irisdeal.front_door.server.process_view import ProcessView

log = logging.getLogger("irisdeal.front_door.operator")

CALL_TIME = 5.0  # s for a whole call and for its answer to be read: one second more than slow callers take
SWEEP = 0.5  # s
TEXT = b"text/plain; charset=utf-8"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class Caller(asyncio.Protocol):
    """One connection of an operator, for one call."""

    def __init__(self, desk: Operator) -> None:
        self.desk = desk
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.since = desk.loop.time()
        self.url, self.size, self.body = b"", 0, 0
        self.answered = False

    def protocol(self) -> asyncio.Protocol:
        return self

    def unborn(self) -> None:
        self.desk.left(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = self.transport = None  # parser and connection hold each other
        self.desk.left(self)

    def data_received(self, data: bytes) -> None:
        if self.answered or self.parser is None:
            return  # what comes behind the one call is read and dropped, so that the answer is not reset
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            fault = error.__context__
            if not isinstance(fault, TurnedDown):
                fault = TurnedDown(400, "malformed call")
            self.turn_down(fault)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > MOST_HEAD:
            raise TurnedDown(431, f"head over {MOST_HEAD} bytes")

    def on_body(self, body: bytes) -> None:
        self.body += len(body)
        if self.body > MOST_BODY:
            raise TurnedDown(413, f"body over {MOST_BODY} bytes")

    def on_message_complete(self) -> None:
        if self.answered or self.parser is None:
            return
        method = self.parser.get_method()
        try:
            status, text, kind = self.desk.carry_out(read(method, self.url))
        except TurnedDown as fault:
            return self.turn_down(fault)
        except Exception:  # guards the door: a call's failure is its own
            log.exception("a call failed")
            return self.turn_down(TurnedDown(500, "failed"))
        self.answer(status, text, kind, has_body=method != b"HEAD")

    def turn_down(self, fault: TurnedDown) -> None:
        extra = b"Allow: %s\r\n" % fault.allow.encode() if fault.allow else b""
        self.answer(fault.status, fault.text.encode() + b"\n", TEXT, extra)

    def answer(
        self,
        status: int,
        text: bytes,
        kind: bytes,
        extra: bytes = b"",
        has_body: bool = True,
    ) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.transport.write(
            b"".join(
                (
                    b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
                    % (status, REASONS.get(status, b"Other"), kind, len(text)),
                    extra,
                    b"Connection: close\r\n\r\n",
                    text if has_body else b"",
                )
            )
        )
        # Closed with bytes unread it would be reset, answer and all: the caller closes, or the sweep does.
        self.transport.write_eof()

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return self.answered and self.transport is not None and self.transport.get_write_buffer_size() > 0


class Operator:
    """The desk that operators call."""

    def __init__(
        self,
        address: Address,
        program: ProcessView,
        most: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`most` callers are connected at once; the one that came first makes room."""
        self.address, self.program, self.most, self.loop = address, program, most, loop
        self.callers: dict[Caller, None] = {}  # in the order in which they came
        self.figures = Registry()
        self.bans = Bans()
        program.door.on_listed = self.listed
        self.listener = Listener(self.admit, loop, self.room, program.host)
        self.timer: asyncio.TimerHandle | None = None
        self._figures()

    def start(self) -> None:
        """Listen. OSError where the address cannot be had."""
        self.listener.listen(self.address)
        self.timer = self.loop.call_later(SWEEP, self._sweep)

    def stop(self) -> None:
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for caller in list(self.callers):
            if caller.transport is not None and not caller.transport.get_write_buffer_size():
                caller.cut()

    def admit(self) -> Caller:
        caller = Caller(self)
        self.callers[caller] = None
        return caller

    def room(self) -> bool:
        """There always is: whoever has held a place for longest without a whole call gives way."""
        if len(self.callers) >= self.most:
            oldest = next((c for c in self.callers if not c.answered), next(iter(self.callers)))
            oldest.cut()
            self.left(oldest)  # its descriptor is closed within this turn
        return True

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)

    def _sweep(self) -> None:
        self.timer = self.loop.call_later(SWEEP, self._sweep)
        oldest = self.loop.time() - CALL_TIME
        for caller in [c for c in self.callers if c.since < oldest]:
            if caller.answered:
                caller.cut()
            else:
                caller.since = self.loop.time()  # to read why
                caller.turn_down(TurnedDown(408, "no whole call came"))

    # What is asked

    def carry_out(self, call: Call) -> tuple[int, bytes, bytes]:
        """Status, text and type of the answer. TurnedDown where it is a no with a reason of its own."""
        if call.what is What.READY:
            ready, why = self.program.is_ready()
            return (200, b"ready\n", TEXT) if ready else (503, f"not ready: {why}\n".encode(), TEXT)
        if call.what is What.METRICS:
            return 200, self.figures.text(), CONTENT_TYPE
        bans, out = self.bans, call.what is What.DISABLE
        news = bans.disable(call.target) if out else bans.enable(call.target)
        if news is None:
            raise TurnedDown(404, "no list has named this id")
        if news:  # the module has heard of it before the yes is written
            self.program.door.post(ServerAdminStateChanged(call.target, out))
            self.program.door.turn()
            log.info("%r is %s by hand", call.target.decode(errors="replace"), "out" if out else "back")
        return 200, b"out\n" if out else b"back\n", TEXT

    def listed(self, told: ServerList) -> None:
        """News of the list."""
        self.bans.named([entry.server_id for entry in told.entries], self.program.door.places)

    def _figures(self) -> None:
        program, classes = self.program, self.program.config.classes
        side, door = program.clients, program.door

        def counter(name: str, text: str, read: Callable[[], list[int]]) -> None:
            self.figures.add(Figure(name, Kind.COUNTER, text, read, CLASS_LABEL, classes))

        def one(name: str, kind: Kind, text: str, read: Callable[[], int]) -> None:
            self.figures.add(Figure(name, kind, text, read))

        counter("completed_total", "Requests answered with a backend's answer.", lambda: side.completed)
        counter("rejected_total", "Requests refused: trying again is harmless.", lambda: side.rejected)
        counter("failed_total", "Requests failed.", lambda: side.failed)
        counter("gone_total", "Requests whose client left before the answer.", lambda: side.gone)
        one(
            "upstream_requests_total",
            Kind.COUNTER,
            "Attempts written whole to backends.",
            lambda: program.pool.written,
        )
        one("pending", Kind.GAUGE, "Requests taken and not ended.", lambda: side.pending - side.uploading)
        one("members", Kind.GAUGE, "Backends in the list.", lambda: len(self._servers()))
        one("members_unavailable", Kind.GAUGE, "Listed backends that are avoided now.", self._avoided)
        one("client_connections", Kind.GAUGE, "Connections of clients.", lambda: len(side.connections))
        one("backend_connections", Kind.GAUGE, "Connections to backends.", lambda: len(program.pool.all))
        one(
            "open_requests",
            Kind.GAUGE,
            "Requests with an attempt out or no answer.",
            lambda: len(door.requests),
        )

    def _servers(self) -> dict[bytes, ServerState]:
        decider = self.program.door.decider
        return {k: s.entry.state for k, s in decider.servers.items()} if isinstance(decider, Gateway) else {}

    def _avoided(self) -> int:
        banned = self.bans.banned
        return sum(
            state is not ServerState.READY or server in banned for server, state in self._servers().items()
        )
