"""A backend on loopback sockets (PROTOCOL, Front doors to backends), around the pure `BackendModel`.

Each front door reaches the backend at a separate address, which identifies the front door in the request log.
Every complete request is recorded as an attempt.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, replace
from functools import partial
from typing import cast

from irisdeal.testbed.audit import Figures
from irisdeal.testbed.backend_model import (
    Admission,
    BackendModel,
    Completion,
    IdempotencyMemory,
    Job,
    LoadReport,
    Meter,
)
from irisdeal.testbed.http import Request, ServerConnection
from irisdeal.testbed.request_log import Attempt, BackendIncarnation, End, Now, RequestLog
from irisdeal.testbed.scenario import Class, Fleet
from irisdeal.testbed.workload import Machine, stream, work

SPOILT_ANSWERS = (  # malformed or truncated answers to requests that have run
    b"\x00\xff noise without a line\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 99\r\n\r\nshort",
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf an answer",
)
DEFAULT_TIMEOUT_US = 3_600_000_000  # for a request without a valid X-Expires-In


@dataclass(frozen=True, slots=True)
class BackendContext:
    """What the backends of a run share.

    `front_door_zones` gives the zone of each front door by its number; an unlisted one is in the backend's zone.
    """

    fleet: Fleet
    classes: tuple[Class, ...]
    figures: Figures
    request_log: RequestLog
    now: Now
    seed: int
    meter: Meter
    front_door_zones: tuple[str, ...] = ()


class BackendServer:
    """One backend. A restart is `crash` and then `start`, which listens on the same addresses."""

    def __init__(
        self,
        name: str,
        machine: Machine,
        memory: IdempotencyMemory,
        context: BackendContext,
    ) -> None:
        self.name, self.machine, self.memory = name, machine, memory
        self.fleet, self.figures, self.meter = context.fleet, context.figures, context.meter
        self.request_log, self.now, self.seed = context.request_log, context.now, context.seed
        self.classes = {c.name: c for c in context.classes}
        self.front_door_zones = context.front_door_zones
        self.random: random.Random = stream(self.seed, "box", name)
        self.ports: dict[int, int] = {}  # by front door; unchanged by restarts
        self.servers: list[asyncio.Server] = []
        # In order of arrival, so that resets happen in a fixed order.
        self.connections: dict[ServerConnection, None] = {}
        self.incarnations = self.connection_count = 0
        self.spoil = 0.0  # share of answers that are malformed
        self.up = self.has_failed = False
        self.model: BackendModel = BackendModel(
            machine, self.figures, BackendIncarnation(name, machine.zone, 0, 0, 1.0, 1.0, 0)
        )
        self.load_report = LoadReport()
        self.report_since = 0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due = 0
        self.report_timer: asyncio.TimerHandle | None = None

    # Start, crash and faults

    async def start(self, front_doors: range, warming_up: bool = False) -> None:
        """Start listening, on the same addresses as before. With `warming_up`, slow start begins now."""
        loop = asyncio.get_running_loop()
        self.incarnation = BackendIncarnation(
            self.name,
            self.machine.zone,
            self.incarnations,
            self.now() if warming_up else 0,
            self.machine.capacity,
            self.machine.initial_capacity,
            self.machine.slow_start,
        )
        self.request_log.incarnations.append(self.incarnation)
        self.model = BackendModel(self.machine, self.figures, self.incarnation, now=self.now())
        for front_door in front_doors:
            server = await loop.create_server(
                partial(self._connection, front_door), "127.0.0.1", self.ports.get(front_door, 0)
            )
            self.ports[front_door] = int(server.sockets[0].getsockname()[1])
            self.servers.append(server)
        self.up, self.has_failed = True, False
        self.load_report, self.report_since = LoadReport(), self.now()
        self.report_timer = loop.call_later(self.fleet.report_every_ms / 1000, self._make_report)

    def crash(self) -> None:
        """Simulate a crash: connections are reset, new ones refused, and pending work is lost."""
        self.up = False
        self.incarnations += 1
        for server in self.servers:
            server.close()
        self.servers.clear()
        for handle in (self.timer, self.report_timer):
            if handle is not None:
                handle.cancel()
        self.timer = self.report_timer = None
        for connection in list(self.connections):
            connection.abort()
            self.closed(connection)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def drain(self) -> None:
        """Reject new requests from now on; running and queued ones are completed."""
        self.model.draining = True

    def set_hung(self, hung: bool) -> None:
        """Start or end a hang, in which requests are admitted and none finishes."""
        self._advance()
        self.model.hung = hung
        self._set_timer()

    def set_slower(self, times: float) -> None:
        """Set the factor by which the backend is slower than drawn."""
        self._advance()
        self.model.slowdown = times
        self._set_timer()

    def set_spoil(self, share: float) -> None:
        """Set the share of answers that are malformed."""
        self.spoil = share

    @property
    def started(self) -> int:
        """The time of the last start, µs; 0 if it is not in slow start."""
        return self.incarnation.at

    # Connections

    def _connection(self, front_door: int) -> ServerConnection:
        self.connection_count += 1
        return ServerConnection(self, front_door, self.connection_count)

    def opened(self, connection: ServerConnection) -> None:
        """Register a connection that was accepted."""
        self.connections[connection] = None

    def closed(self, connection: ServerConnection) -> None:
        """Remove a connection; its open attempt ends as broken."""
        self.connections.pop(connection, None)
        if isinstance(attempt := connection.context, Attempt) and attempt.end is End.OPEN:
            attempt.end, attempt.ended = End.BROKEN, self.now()
        connection.context = None

    def asked(self, connection: ServerConnection, request: Request) -> None:
        """Handle a complete request."""
        headers = request.headers
        trace, kind = headers.get("x-trace-id", ""), self.classes.get(headers.get("x-qos", ""))
        if not trace:
            connection.reply(404)
            return
        if kind is None:
            connection.reply(400, b"unknown class\n")
            return
        work_us = work(self.seed, trace, kind)
        if connection.requests == 1:
            work_us += round(self.fleet.handshake_ms * 1000)  # the cost of a handshake, for a new connection
        attempt = self._log_attempt(connection, request, kind, work_us)
        if len(self.connections) > self.fleet.connections_per_core * self.machine.cores:
            return self._reject(connection, attempt, "too many connections", close=True)
        self._admit(connection, request, attempt)

    def _log_attempt(
        self, connection: ServerConnection, request: Request, kind: Class, work_us: int
    ) -> Attempt:
        headers, trace = request.headers, request.headers["x-trace-id"]
        quota = dict(item.partition("=")[::2] for item in headers.get("quota-info", "").split(","))
        attempt = Attempt(
            trace,
            headers.get("idempotency-key", ""),
            kind.name,
            headers.get("plan", ""),
            int(headers.get("account", "0"), 16),
            float(quota.get("units", "1")),
            connection.front_door,
            self.name,
            self.machine.zone,
            self.incarnation.incarnation,
            connection.number,
            request.first_byte,
            request.last_byte,
            work_us,
        )
        self.request_log.attempts.append(attempt)
        self.meter.add(trace, attempt.plan, attempt.customer, attempt.units, request.last_byte)
        connection.context = attempt
        return attempt

    def _admit(self, connection: ServerConnection, request: Request, attempt: Attempt) -> None:
        self._advance()
        job = Job(
            attempt.work,
            request.last_byte + _parse_timeout(request.headers.get("x-expires-in", "")),
            request.last_byte,
            tag=(connection, attempt),
        )
        verdict = self.model.arrive(job)
        if verdict is Admission.OVERLOADED:
            self.has_failed = True
            self.request_log.overload_failures.append((self.name, self.incarnation.incarnation, self.now()))
            return self.crash()
        if verdict is not Admission.ADMITTED:
            return self._reject(connection, attempt, verdict.name.lower())
        self._set_timer()

    def _reject(
        self,
        connection: ServerConnection,
        attempt: Attempt,
        reason: str,
        close: bool = False,
        status: int = 503,
    ) -> None:
        if attempt.end is End.OPEN:
            attempt.end, attempt.ended = End.REJECTED, self.now()
        connection.context = None
        connection.reply(
            status, reason.encode() + b"\n", "X-Never-Ran: 1\r\n" + self._load_headers(attempt), close
        )

    # Work

    def _advance(self) -> None:
        for job, done in self.model.advance(max(self.now(), self.model.now)):
            connection, attempt = cast(tuple[ServerConnection, Attempt], job.tag)
            if done is Completion.EXPIRED:
                self._reject(connection, attempt, "overdue", status=504)
            else:
                self._answer(connection, attempt)

    def _answer(self, connection: ServerConnection, attempt: Attempt) -> None:
        attempt.ran = True
        attempt.effect = not attempt.key or self.memory.first(attempt.key, self.now())
        if attempt.end is not End.OPEN:
            return  # the connection has ended, but the work was done
        zone = (
            self.front_door_zones[attempt.front_door]
            if attempt.front_door < len(self.front_door_zones)
            else self.machine.zone
        )
        one_way_ms = self.fleet.same_ms if zone == self.machine.zone else self.fleet.cross_ms
        asyncio.get_running_loop().call_later(2 * one_way_ms / 1000, self._write, connection, attempt)

    def _write(self, connection: ServerConnection, attempt: Attempt) -> None:
        if attempt.end is not End.OPEN or connection.context is not attempt:
            return
        attempt.ended, connection.context = self.now(), None
        sample = self.random.random()
        if sample < self.machine.error_rate:
            attempt.end = End.ERROR
            connection.reply(500, b"error\n", self._load_headers(attempt))
        elif sample < self.machine.error_rate + self.spoil:
            attempt.end = End.SPOILT
            connection.raw(self.random.choice(SPOILT_ANSWERS))
        else:
            attempt.end = End.SERVED
            attempt.body = json.dumps(
                {"id": attempt.trace, "box": self.name, "repeat": not attempt.effect}
            ).encode()
            connection.reply(
                200, attempt.body, "Content-Type: application/json\r\n" + self._load_headers(attempt)
            )

    def _load_headers(self, attempt: Attempt) -> str:
        """Format the load report and the tenant's usage percentage as header lines."""
        use = self.meter.percent(attempt.plan, attempt.customer, self.now())
        load = self.load_report
        return (
            f"Usage-Percent: {use}\r\nEndpoint-Load-Metrics: TEXT latency_ms={load.latency_ms:.1f}, "
            f"util={load.util:.3f}, queue={load.queue}\r\n"
        )

    def _set_timer(self) -> None:
        """Set the timer for the next completion."""
        due = self.model.next_end()
        if due is None or not self.up:
            return
        if self.timer is not None:
            if self.timer_due <= due:
                return
            self.timer.cancel()
        self.timer_due = due
        # Loop timers have millisecond resolution, so a completion is processed up to 1 ms late.
        self.timer = asyncio.get_running_loop().call_later(max(0, due - self.now()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._advance()
        self._set_timer()

    def _make_report(self) -> None:
        """Make a load report, publish it after `report_late_ms`, and reset idle connections."""
        loop = asyncio.get_running_loop()
        self.report_timer = loop.call_later(self.fleet.report_every_ms / 1000, self._make_report)
        self._advance()
        self._set_timer()
        report = self.model.report(self.report_since)
        self.report_since = self.now()
        noise = max(0.0, self.random.gauss(1.0, self.fleet.report_noise))
        report = replace(report, latency_ms=report.latency_ms * noise, util=min(1.0, report.util * noise))
        loop.call_later(self.fleet.report_late_ms / 1000, self._publish_report, report)
        oldest = self.now() - round(self.fleet.idle_s * 1e6)
        for connection in [c for c in self.connections if not c.busy and c.since < oldest]:
            connection.abort()

    def _publish_report(self, report: LoadReport) -> None:
        self.load_report = report


def _parse_timeout(text: str) -> int:
    """Parse `X-Expires-In` to µs; an hour if it is missing or malformed."""
    unit = {"m": 1000, "u": 1}.get(text[-1:])
    try:
        return round(float(text[:-1]) * unit) if unit else DEFAULT_TIMEOUT_US
    except ValueError:
        return DEFAULT_TIMEOUT_US
