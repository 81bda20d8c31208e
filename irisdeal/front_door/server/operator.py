"""HTTP listener for operators: readiness, metrics, and bans of backends (`irisdeal/front_door/operator/`).

Imported only where the configuration has `operator`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import httptools

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import ServerAdminStateChanged, ServerList, ServerState
from irisdeal.front_door.operator.bans import BackendBans
from irisdeal.front_door.operator.calls import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Call,
    CallKind,
    CallRejected,
    parse_call,
)
from irisdeal.front_door.operator.metrics import CLASS_LABEL, CONTENT_TYPE, Metric, MetricRegistry, MetricType
from irisdeal.front_door.server.config import Address
from irisdeal.front_door.server.listener import Listener

if TYPE_CHECKING:
    from irisdeal.front_door.server.process_view import ProcessView

log = logging.getLogger("irisdeal.front_door.operator")

CALL_TIMEOUT_S = 5.0  # for a request and for reading its response: one second more than slow callers need
SWEEP_INTERVAL_S = 0.5
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
    """A connection of an operator, for one request."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.connected_at = server.loop.time()
        self.url, self.head_bytes, self.body_bytes = b"", 0, 0
        self.is_answered = False

    def protocol(self) -> asyncio.Protocol:
        """The protocol of the transport: the connection itself."""
        return self

    def connection_failed(self) -> None:
        """Clean up: no transport could be created."""
        self.server.remove(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = self.transport = None  # breaks the reference cycle with the parser
        self.server.remove(self)

    def data_received(self, data: bytes) -> None:
        if self.is_answered or self.parser is None:
            return  # further input is discarded: closing with unread input would reset the connection
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if not isinstance(cause, CallRejected):
                cause = CallRejected(400, "malformed call")
            self.reject(cause)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value) + 4)

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise CallRejected(431, f"head over {MAX_HEAD_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise CallRejected(413, f"body over {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        if self.is_answered or self.parser is None:
            return
        method = self.parser.get_method()
        try:
            status, text, content_type = self.server.execute(parse_call(method, self.url))
        except CallRejected as error:
            return self.reject(error)
        except Exception:  # must not affect the front door
            log.exception("error while handling an operator's request")
            return self.reject(CallRejected(500, "failed"))
        self.respond(status, text, content_type, has_body=method != b"HEAD")

    def reject(self, error: CallRejected) -> None:
        """Respond with an error."""
        extra_headers = b"Allow: %s\r\n" % error.allow.encode() if error.allow else b""
        self.respond(error.status, error.text.encode() + b"\n", TEXT_CONTENT_TYPE, extra_headers)

    def respond(
        self,
        status: int,
        text: bytes,
        content_type: bytes,
        extra_headers: bytes = b"",
        has_body: bool = True,
    ) -> None:
        """Send the response and close the write side."""
        if self.is_answered or self.transport is None:
            return
        self.is_answered = True
        self.transport.write(
            b"".join(
                (
                    b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
                    % (status, REASON_PHRASES.get(status, b"Other"), content_type, len(text)),
                    extra_headers,
                    b"Connection: close\r\n\r\n",
                    text if has_body else b"",
                )
            )
        )
        # Closing with unread input would reset the connection and lose the response; the peer or the sweep closes.
        self.transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return self.is_answered and self.transport is not None and self.transport.get_write_buffer_size() > 0


class OperatorServer:
    """Serves the operators' requests."""

    def __init__(
        self,
        address: Address,
        program: ProcessView,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Allow `max_connections` at the same time; a new one replaces the oldest."""
        self.address, self.program, self.max_connections, self.loop = address, program, max_connections, loop
        self.connections: dict[OperatorConnection, None] = {}  # in the order of their start
        self.metrics = MetricRegistry()
        self.bans = BackendBans()
        program.decision_loop.on_server_list = self.update_server_list
        self.listener = Listener(self.admit, loop, self.has_room, program.host)
        self.timer: asyncio.TimerHandle | None = None
        self._register_metrics()

    def start(self) -> None:
        """Listen. Raises OSError."""
        self.listener.listen(self.address)
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """Stop listening; connections with an unsent response stay open."""
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for connection in list(self.connections):
            if connection.transport is not None and not connection.transport.get_write_buffer_size():
                connection.abort()

    def admit(self) -> OperatorConnection:
        """Create the connection object for an accepted socket."""
        connection = OperatorConnection(self)
        self.connections[connection] = None
        return connection

    def has_room(self) -> bool:
        """Always true; if needed, the oldest connection without a complete request is aborted."""
        if len(self.connections) >= self.max_connections:
            oldest = next((c for c in self.connections if not c.is_answered), next(iter(self.connections)))
            oldest.abort()
            self.remove(oldest)  # its descriptor is closed within this loop iteration
        return True

    def remove(self, connection: OperatorConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)

    def _sweep(self) -> None:
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        earliest = self.loop.time() - CALL_TIMEOUT_S
        for connection in [c for c in self.connections if c.connected_at < earliest]:
            if connection.is_answered:
                connection.abort()
            else:
                connection.connected_at = self.loop.time()  # time to read the response
                connection.reject(CallRejected(408, "no whole call came"))

    # Requests

    def execute(self, call: Call) -> tuple[int, bytes, bytes]:
        """Execute a request; return status, body and content type. Raises CallRejected."""
        if call.kind is CallKind.READY:
            is_ready, reason = self.program.is_ready()
            return (
                (200, b"ready\n", TEXT_CONTENT_TYPE)
                if is_ready
                else (503, f"not ready: {reason}\n".encode(), TEXT_CONTENT_TYPE)
            )
        if call.kind is CallKind.METRICS:
            return 200, self.metrics.text(), CONTENT_TYPE
        bans, is_ban = self.bans, call.kind is CallKind.DISABLE
        has_changed = bans.disable(call.target) if is_ban else bans.enable(call.target)
        if has_changed is None:
            raise CallRejected(404, "no list has named this id")
        if has_changed:  # the ban is in effect before the response is written
            self.program.decision_loop.post(ServerAdminStateChanged(call.target, is_ban))
            self.program.decision_loop.process_events()
            log.info(
                "backend %r was %s by an operator",
                call.target.decode(errors="replace"),
                "disabled" if is_ban else "enabled",
            )
        return 200, b"out\n" if is_ban else b"back\n", TEXT_CONTENT_TYPE

    def update_server_list(self, server_list: ServerList) -> None:
        """Record the servers that a list contains."""
        self.bans.record_listed(
            [entry.server_id for entry in server_list.entries], self.program.decision_loop.addresses
        )

    def _register_metrics(self) -> None:
        program, classes = self.program, self.program.config.classes
        server, decision_loop = program.clients, program.decision_loop

        def class_counter(name: str, text: str, read: Callable[[], list[int]]) -> None:
            self.metrics.add(Metric(name, MetricType.COUNTER, text, read, CLASS_LABEL, classes))

        def add(name: str, kind: MetricType, text: str, read: Callable[[], int]) -> None:
            self.metrics.add(Metric(name, kind, text, read))

        class_counter(
            "completed_total", "Requests answered with a backend's answer.", lambda: server.completed
        )
        class_counter(
            "rejected_total", "Requests refused: trying again is harmless.", lambda: server.rejected
        )
        class_counter("failed_total", "Requests failed.", lambda: server.failed)
        class_counter(
            "gone_total", "Requests whose client left before the answer.", lambda: server.disconnected
        )
        add(
            "upstream_requests_total",
            MetricType.COUNTER,
            "Attempts written whole to backends.",
            lambda: program.pool.written_count,
        )
        add(
            "pending",
            MetricType.GAUGE,
            "Requests taken and not ended.",
            lambda: server.pending - server.uploading,
        )
        add("members", MetricType.GAUGE, "Backends in the list.", lambda: len(self._servers()))
        add(
            "members_unavailable",
            MetricType.GAUGE,
            "Listed backends that are avoided now.",
            self._unavailable_count,
        )
        add(
            "client_connections", MetricType.GAUGE, "Connections of clients.", lambda: len(server.connections)
        )
        add(
            "backend_connections",
            MetricType.GAUGE,
            "Connections to backends.",
            lambda: len(program.pool.connections),
        )
        add(
            "open_requests",
            MetricType.GAUGE,
            "Requests with an attempt out or no answer.",
            lambda: len(decision_loop.requests),
        )

    def _servers(self) -> dict[bytes, ServerState]:
        decider = self.program.decision_loop.decider
        return {k: s.entry.state for k, s in decider.servers.items()} if isinstance(decider, Gateway) else {}

    def _unavailable_count(self) -> int:
        banned = self.bans.banned
        return sum(
            state is not ServerState.READY or server in banned for server, state in self._servers().items()
        )
