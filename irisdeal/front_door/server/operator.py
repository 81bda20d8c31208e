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

CALL_TIMEOUT_S = (
    5.0  # s for a whole call and for its answer to be read: one second more than slow callers take
)
SWEEP_INTERVAL_S = 0.5  # s
TEXT_CONTENT_TYPE = b"text/plain; charset=utf-8"
REASON_PHRASES = {
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


class OperatorConnection(asyncio.Protocol):
    """One connection of an operator, for one call."""

    def __init__(self, desk: OperatorServer) -> None:
        self.server = desk
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.connected_at = desk.loop.time()
        self.url, self.head_bytes, self.body_bytes = b"", 0, 0
        self.is_answered = False

    def protocol(self) -> asyncio.Protocol:
        return self

    def connection_failed(self) -> None:
        self.server.remove(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = self.transport = None  # parser and connection hold each other
        self.server.remove(self)

    def data_received(self, data: bytes) -> None:
        if self.is_answered or self.parser is None:
            return  # what comes behind the one call is read and dropped, so that the answer is not reset
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            fault = error.__context__
            if not isinstance(fault, TurnedDown):
                fault = TurnedDown(400, "malformed call")
            self.reject(fault)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value) + 4)

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MOST_HEAD:
            raise TurnedDown(431, f"head over {MOST_HEAD} bytes")

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > MOST_BODY:
            raise TurnedDown(413, f"body over {MOST_BODY} bytes")

    def on_message_complete(self) -> None:
        if self.is_answered or self.parser is None:
            return
        method = self.parser.get_method()
        try:
            status, text, kind = self.server.execute(read(method, self.url))
        except TurnedDown as fault:
            return self.reject(fault)
        except Exception:  # guards the door: a call's failure is its own
            log.exception("a call failed")
            return self.reject(TurnedDown(500, "failed"))
        self.respond(status, text, kind, has_body=method != b"HEAD")

    def reject(self, fault: TurnedDown) -> None:
        extra = b"Allow: %s\r\n" % fault.allow.encode() if fault.allow else b""
        self.respond(fault.status, fault.text.encode() + b"\n", TEXT_CONTENT_TYPE, extra)

    def respond(
        self,
        status: int,
        text: bytes,
        kind: bytes,
        extra: bytes = b"",
        has_body: bool = True,
    ) -> None:
        if self.is_answered or self.transport is None:
            return
        self.is_answered = True
        self.transport.write(
            b"".join(
                (
                    b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
                    % (status, REASON_PHRASES.get(status, b"Other"), kind, len(text)),
                    extra,
                    b"Connection: close\r\n\r\n",
                    text if has_body else b"",
                )
            )
        )
        # Closed with bytes unread it would be reset, answer and all: the caller closes, or the sweep does.
        self.transport.write_eof()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return self.is_answered and self.transport is not None and self.transport.get_write_buffer_size() > 0


class OperatorServer:
    """The desk that operators call."""

    def __init__(
        self,
        address: Address,
        program: ProcessView,
        most: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`most` callers are connected at once; the one that came first makes room."""
        self.address, self.program, self.max_connections, self.loop = address, program, most, loop
        self.connections: dict[OperatorConnection, None] = {}  # in the order in which they came
        self.metrics = Registry()
        self.bans = Bans()
        program.decision_loop.on_server_list = self.update_server_list
        self.listener = Listener(self.admit, loop, self.has_room, program.host)
        self.timer: asyncio.TimerHandle | None = None
        self._register_metrics()

    def start(self) -> None:
        """Listen. OSError where the address cannot be had."""
        self.listener.listen(self.address)
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for caller in list(self.connections):
            if caller.transport is not None and not caller.transport.get_write_buffer_size():
                caller.abort()

    def admit(self) -> OperatorConnection:
        caller = OperatorConnection(self)
        self.connections[caller] = None
        return caller

    def has_room(self) -> bool:
        """There always is: whoever has held a place for longest without a whole call gives way."""
        if len(self.connections) >= self.max_connections:
            oldest = next((c for c in self.connections if not c.is_answered), next(iter(self.connections)))
            oldest.abort()
            self.remove(oldest)  # its descriptor is closed within this turn
        return True

    def remove(self, caller: OperatorConnection) -> None:
        self.connections.pop(caller, None)

    def _sweep(self) -> None:
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        oldest = self.loop.time() - CALL_TIMEOUT_S
        for caller in [c for c in self.connections if c.connected_at < oldest]:
            if caller.is_answered:
                caller.abort()
            else:
                caller.connected_at = self.loop.time()  # to read why
                caller.reject(TurnedDown(408, "no whole call came"))

    # What is asked

    def execute(self, call: Call) -> tuple[int, bytes, bytes]:
        """Status, text and type of the answer. TurnedDown where it is a no with a reason of its own."""
        if call.what is What.READY:
            ready, why = self.program.is_ready()
            return (
                (200, b"ready\n", TEXT_CONTENT_TYPE)
                if ready
                else (503, f"not ready: {why}\n".encode(), TEXT_CONTENT_TYPE)
            )
        if call.what is What.METRICS:
            return 200, self.metrics.text(), CONTENT_TYPE
        bans, out = self.bans, call.what is What.DISABLE
        news = bans.disable(call.target) if out else bans.enable(call.target)
        if news is None:
            raise TurnedDown(404, "no list has named this id")
        if news:  # the module has heard of it before the yes is written
            self.program.decision_loop.post(ServerAdminStateChanged(call.target, out))
            self.program.decision_loop.process_events()
            log.info("%r is %s by hand", call.target.decode(errors="replace"), "out" if out else "back")
        return 200, b"out\n" if out else b"back\n", TEXT_CONTENT_TYPE

    def update_server_list(self, told: ServerList) -> None:
        """News of the list."""
        self.bans.named([entry.server_id for entry in told.entries], self.program.decision_loop.addresses)

    def _register_metrics(self) -> None:
        program, classes = self.program, self.program.config.classes
        side, door = program.clients, program.decision_loop

        def counter(name: str, text: str, read: Callable[[], list[int]]) -> None:
            self.metrics.add(Figure(name, Kind.COUNTER, text, read, CLASS_LABEL, classes))

        def one(name: str, kind: Kind, text: str, read: Callable[[], int]) -> None:
            self.metrics.add(Figure(name, kind, text, read))

        counter("completed_total", "Requests answered with a backend's answer.", lambda: side.completed)
        counter("rejected_total", "Requests refused: trying again is harmless.", lambda: side.rejected)
        counter("failed_total", "Requests failed.", lambda: side.failed)
        counter("gone_total", "Requests whose client left before the answer.", lambda: side.disconnected)
        one(
            "upstream_requests_total",
            Kind.COUNTER,
            "Attempts written whole to backends.",
            lambda: program.pool.written_count,
        )
        one("pending", Kind.GAUGE, "Requests taken and not ended.", lambda: side.pending - side.uploading)
        one("members", Kind.GAUGE, "Backends in the list.", lambda: len(self._servers()))
        one(
            "members_unavailable",
            Kind.GAUGE,
            "Listed backends that are avoided now.",
            self._unavailable_count,
        )
        one("client_connections", Kind.GAUGE, "Connections of clients.", lambda: len(side.connections))
        one(
            "backend_connections",
            Kind.GAUGE,
            "Connections to backends.",
            lambda: len(program.pool.connections),
        )
        one(
            "open_requests",
            Kind.GAUGE,
            "Requests with an attempt out or no answer.",
            lambda: len(door.requests),
        )

    def _servers(self) -> dict[bytes, ServerState]:
        decider = self.program.decision_loop.decider
        return {k: s.entry.state for k, s in decider.servers.items()} if isinstance(decider, Gateway) else {}

    def _unavailable_count(self) -> int:
        banned = self.bans.banned
        return sum(
            state is not ServerState.READY or server in banned for server, state in self._servers().items()
        )
