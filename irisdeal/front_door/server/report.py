"""A door's own report: one JSON document to each that connects to a socket of the file system.

For installations that may have one (the configuration's `report`); a platform door imports none of it. Who
may read is what the file system says: the socket is made for its owner alone, since it tells stores' numbers.
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

MAX_REPORTED_TENANTS = 50  # told in one report: what a person's screen holds, and some
MAX_READERS = 4  # at once; a further one is closed unanswered
READ_TIMEOUT_S = 2.0  # s for a reader to take its report


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
    """The socket, and what the report is made of."""

    def __init__(self, path: str, door: DecisionLoop, loop: asyncio.AbstractEventLoop) -> None:
        self.path, self.decision_loop, self.loop = path, door, loop
        self.readers: set[_Reader] = set()
        self.server: asyncio.Server | None = None
        door.statistics = self.statistics = QueueStatistics()

    async def start(self) -> None:
        """Listen. OSError where the path cannot be had; one that a dead door left behind is taken over."""
        _remove_stale_socket(self.path)
        before = os.umask(0o177)
        try:
            self.server = await self.loop.create_unix_server(lambda: _Reader(self), self.path)
        finally:
            os.umask(before)
        log.info("report at %s", self.path)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
            _unlink(self.path)

    def document(self) -> dict[str, Any]:
        """The report as plain values."""
        door, config = self.decision_loop, self.decision_loop.config
        watch = self.statistics.report(door.host.now(), MAX_REPORTED_TENANTS)
        for store in watch["stores"]:
            store["plan_name"] = config.plans[store["plan"]]
        made: dict[str, Any] = {
            "version": VERSION,
            "name": config.name,
            "open": len(door.requests),
            "unanswered": door.unanswered_count,
            "queue": {"entries": 0, "bytes": 0, "flows": 0, "given_way": 0},
            "out": 0,
            "window": 0.0,
            "watch": watch,
        }
        if isinstance(decider := door.decider, Gateway):
            queue = decider.queue
            made["queue"] = {
                "entries": queue.entries,
                "bytes": queue.bytes,
                "flows": queue.flows,
                "given_way": queue.dropped,
            }
            made["out"], made["window"] = decider.in_flight, round(decider.window, 2)
            made["zones"] = decider.zones.told(door.host.now())
        return made

    def encode(self) -> bytes:
        return json.dumps(self.document()).encode() + b"\n"


def _remove_stale_socket(path: str) -> None:
    """Take away a socket on which nobody listens. OSError where one does, or where it is something else."""
    try:
        mode = os.stat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise FileExistsError(17, "it is there and is no socket", path)
    with socket.socket(socket.AF_UNIX) as asked:
        asked.setblocking(False)
        try:
            asked.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
        except BlockingIOError:
            pass
    raise OSError(98, "another program listens there", path)


def _unlink(path: str) -> None:
    try:
        os.unlink(path)
    except OSError as error:
        log.warning("%s stays behind: %s", path, error.strerror)
