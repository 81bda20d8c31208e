"""Report of a front door: each connection to a Unix socket receives one JSON document.

Imported only where the configuration has `report`. Access is controlled by file permissions: only the owner may
connect, since the report contains customer numbers.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import stat
from typing import TYPE_CHECKING, Any, cast

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.queueing.queue_statistics import QueueStatistics
from irisdeal.front_door.queueing.reports import VERSION

if TYPE_CHECKING:
    from irisdeal.front_door.server.loop import DecisionLoop

log = logging.getLogger("irisdeal.report")

MAX_REPORTED_TENANTS = 50  # somewhat more than fit on one screen
MAX_READERS = 4  # at the same time; further ones are disconnected
READ_TIMEOUT_S = 2.0  # for a reader to receive its report


class _Reader(asyncio.Protocol):
    def __init__(self, report: Report) -> None:
        self.report = report
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.report.readers) >= MAX_READERS:
            return self.transport.abort()
        self.report.readers.add(self)
        self.timer = self.report.loop.call_later(READ_TIMEOUT_S, self.transport.abort)
        self.transport.write(self.report.encode())
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.report.readers.discard(self)
        if self.timer is not None:
            self.timer.cancel()


class Report:
    """Serves the report, and collects its queue statistics."""

    def __init__(self, path: str, decision_loop: DecisionLoop, loop: asyncio.AbstractEventLoop) -> None:
        self.path, self.decision_loop, self.loop = path, decision_loop, loop
        self.readers: set[_Reader] = set()
        self.server: asyncio.Server | None = None
        decision_loop.statistics = self.statistics = QueueStatistics()

    async def start(self) -> None:
        """Listen, replacing the socket of a process that has ended. Raises OSError."""
        _remove_stale_socket(self.path)
        former_mask = os.umask(0o177)
        try:
            self.server = await self.loop.create_unix_server(lambda: _Reader(self), self.path)
        finally:
            os.umask(former_mask)
        log.info("serving the report at %s", self.path)

    def stop(self) -> None:
        """Stop listening and remove the socket."""
        if self.server is not None:
            self.server.close()
            self.server = None
            _unlink(self.path)

    def document(self) -> dict[str, Any]:
        """The report as a JSON object."""
        loop, config = self.decision_loop, self.decision_loop.config
        watch = self.statistics.report(loop.host.now(), MAX_REPORTED_TENANTS)
        for store in watch["stores"]:
            store["plan_name"] = config.plans[store["plan"]]
        report: dict[str, Any] = {
            "version": VERSION,
            "name": config.name,
            "open": len(loop.requests),
            "unanswered": loop.unanswered_count,
            "queue": {"entries": 0, "bytes": 0, "flows": 0, "given_way": 0},
            "out": 0,
            "window": 0.0,
            "watch": watch,
        }
        if isinstance(decider := loop.decider, Gateway):
            queue = decider.queue
            report["queue"] = {
                "entries": queue.entries,
                "bytes": queue.bytes,
                "flows": queue.flows,
                "given_way": queue.dropped,
            }
            report["out"], report["window"] = decider.in_flight, round(decider.window, 2)
            report["zones"] = decider.zones.report(loop.host.now())
        return report

    def encode(self) -> bytes:
        """The report as one line of JSON."""
        return json.dumps(self.document()).encode() + b"\n"


def _remove_stale_socket(path: str) -> None:
    """Remove a socket on which no process listens. Raises OSError if one does, or if the file is no socket."""
    try:
        mode = os.stat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise FileExistsError(17, "file exists and is not a socket", path)
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
        except BlockingIOError:
            pass
    raise OSError(98, "another process is listening", path)


def _unlink(path: str) -> None:
    try:
        os.unlink(path)
    except OSError as error:
        log.warning("cannot remove %s: %s", path, error.strerror)
