"""The front door process: startup, signals, reload and shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import uvloop

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Decider
from irisdeal.front_door.server.backends import BackendPool
from irisdeal.front_door.server.clients import HttpServer
from irisdeal.front_door.server.config import Address, Config, ConfigError, load
from irisdeal.front_door.server.discovery_client import DiscoveryClient
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.limits import (
    MAX_OPERATOR_CONNECTIONS,
    OPERATOR_DESCRIPTORS,
    OWN_DESCRIPTORS,
    share_descriptors,
)
from irisdeal.front_door.server.loop import DecisionLoop

if TYPE_CHECKING:
    from irisdeal.front_door.server.handover import Handover
    from irisdeal.front_door.server.operator import OperatorServer
    from irisdeal.front_door.server.report import Report
    from irisdeal.front_door.server.routed import Router

log = logging.getLogger("irisdeal")

ACCEPT_AFTER_SIGTERM_S = 0.5  # clients still connect for a while after SIGTERM
DRAIN_TIMEOUT_US = 3_300_000  # all requests are answered by then; responses must be written within 3.5 s
DRAIN_CHECK_INTERVAL_S = 0.01
DISCOVERY_SEED_MASK = 0x6C697374  # gives discovery another random sequence than the decision module
MAX_LOG_LINES_PER_S = 50  # bounds the CPU time spent on logging repeated failures


class RateLimitFilter(logging.Filter):
    """Limits the log lines per second, and adds the number of dropped lines to the next one."""

    second, line_count, dropped_count = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped_count:
                record.msg = f"({self.dropped_count} lines dropped) {record.msg}"
            self.second, self.line_count, self.dropped_count = second, 0, 0
        self.line_count += 1
        self.dropped_count += self.line_count > MAX_LOG_LINES_PER_S
        return self.line_count <= MAX_LOG_LINES_PER_S


class ListenError(OSError):
    """Listening failed; the message contains the setting and the address."""


@contextmanager
def naming_listen_error(key: str, address: Address) -> Iterator[None]:
    """Convert OSError to `ListenError` with the name of the setting."""
    try:
        yield
    except OSError as error:
        raise ListenError(f"cannot listen on {key} {address[0]}:{address[1]}: {error}") from None


class Program:
    """One front door process."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        host: Host | None = None,
    ) -> None:
        self.config = config
        limits = share_descriptors(config.max_sockets, config.operator is not None)
        self.loop, self.host = loop, host or Host()
        self.pool = BackendPool(config, limits.backends, loop, self.host)
        self.decision_loop = DecisionLoop(config, decider, self.pool, loop, self.host)
        self.clients = HttpServer(
            config, self.decision_loop, limits.clients, limits.reserve, loop, host=self.host
        )
        generator = random.Random(config.seed ^ DISCOVERY_SEED_MASK)
        self.discovery = DiscoveryClient(config, self.decision_loop.update_server_list, generator.random)
        self.decision_loop.on_fetch_list = self.discovery.refetch
        self.router: Router | None = None
        if config.routes is not None:
            from irisdeal.front_door.server.routed import Router  # imported only where routes are configured

            self.router = Router(config, config.routes, self.decision_loop, self.clients, loop)
        self.report: Report | None = None
        if config.report_path is not None:
            from irisdeal.front_door.server.report import Report

            self.report = Report(config.report_path, self.decision_loop, loop)
        self.operator: OperatorServer | None = None
        if config.operator is not None:
            from irisdeal.front_door.server.operator import OperatorServer

            self.operator = OperatorServer(config.operator, self, MAX_OPERATOR_CONNECTIONS, loop)
            self._enable_streaming(config)
        self.handover: Handover | None = None
        if config.operator is not None and (folder := self.host.handover_folder()):
            from irisdeal.front_door.server.handover import Handover

            self.handover = Handover(self, folder, loop)
        self.finished = asyncio.Event()
        self.is_stopping = self.may_reload = self.is_reload_pending = False

    def _enable_streaming(self, config: Config) -> None:
        from irisdeal.front_door.server.flows import ResponseRelay, UploadRelay
        from irisdeal.front_door.streaming import progress
        from irisdeal.front_door.streaming.byte_budget import ByteBudget

        budget, server = ByteBudget(config.memory_bytes), self.clients
        server.budget = self.pool.budget = budget
        self.pool.stall_timeout_s, self.pool.stream_stall_timeout_s = (
            progress.SMALL_RESPONSE_IDLE_TIMEOUT_S,
            progress.RESPONSE_IDLE_TIMEOUT_S,
        )
        server.max_body_bytes, server.replay_bytes = progress.MAX_BODY_BYTES, progress.MAX_REPLAY_BYTES
        server.request_timeout_s, server.write_stall_timeout_s = (
            progress.HEAD_TIMEOUT_S,
            progress.RESPONSE_IDLE_TIMEOUT_S,
        )
        server.new_receive_progress = progress.ReceiveProgress
        server.new_upload = lambda client, length: UploadRelay(client, length, budget)
        server.new_stream = lambda request, head, chunked, on_finished: ResponseRelay(
            request, head, chunked, budget, on_finished
        )

    def start(self) -> None:
        """Listen, and start watching the server list. Raises ListenError."""
        listening_socket = self.handover.apply_state() if self.handover is not None else None
        if listening_socket is None:
            self.discovery.apply_known_list()
        if self.operator is not None:
            with naming_listen_error("operator", self.operator.address):
                self.operator.start()
        with naming_listen_error("listen", self.config.listen):
            if listening_socket is not None:
                self.clients.adopt(listening_socket)
            else:
                self.clients.listen(reuse_port=self.config.operator is not None)
        self.discovery.start()
        if self.handover is not None:
            self.handover.announce_accepting()

    async def run(self) -> None:
        """Serve until SIGTERM, then until all requests are answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self._on_sighup)
        if self.router is not None:
            await self.router.load_first()
        self.may_reload = True
        if self.is_reload_pending:
            self.reload()
        await self.start_report()
        if self.handover is not None:
            await self.handover.fetch_state()
        self.start()
        self.host.startup_complete()
        await self.finished.wait()
        self.discovery.stop()
        if self.router is not None:
            self.router.stop()
        if self.report is not None:
            self.report.stop()
        if self.operator is not None:
            self.operator.stop()
        # Connections close once their last responses are written.
        deadline = self.loop.time() + 0.15
        while self.clients.connections and self.loop.time() < deadline:
            await asyncio.sleep(0.005)
        if self.handover is not None:
            self.handover.stop()  # last: from now on the other process may use all of the quotas and descriptors

    async def start_report(self) -> None:
        """Start serving the report, if configured. Raises ConfigError if its socket cannot be created."""
        if self.report is not None:
            try:
                await self.report.start()
            except OSError as error:
                raise ConfigError(f"report: {self.report.path}: {error.strerror or error}") from None

    def resize(self, sockets: int) -> None:
        """Use at most `sockets` descriptors; connections beyond the limit stay until they end."""
        limits = share_descriptors(sockets, self.config.operator is not None)
        self.clients.slots.regular_slots, self.clients.slots.reserve_slots = limits.clients, limits.reserve
        self.pool.max_connections = limits.backends

    def descriptors_in_use(self) -> int:
        """Upper bound of the descriptors in use."""
        return (
            OWN_DESCRIPTORS
            + OPERATOR_DESCRIPTORS
            + len(self.clients.connections)
            + len(self.pool.connections)
        )

    def is_ready(self) -> tuple[bool, str]:
        """Whether this process can serve; if not, why."""
        if self.is_stopping:
            return False, "shutting down"
        if self.clients.listener.socket is None:
            return False, "not listening yet"
        return (True, "") if self.decision_loop.can_serve() else (False, "no list of backends yet")

    def _on_sighup(self) -> None:
        """Handle SIGHUP; postponed while the description of routes is first read."""
        if self.may_reload:
            self.reload()
        else:
            self.is_reload_pending = True

    def reload(self) -> None:
        """Reload the configuration: discovery and the counter may have other addresses."""
        try:
            config = self.host.reload_config()
        except ConfigError as error:
            return log.error("reload failed, keeping the old configuration: %s", " ".join(str(error).split()))
        log.info(
            "configuration reloaded: discovery %s:%d, counter %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.discovery.move(config.discovery)
        self.decision_loop.move_counter(config.counter)
        if self.router is not None and config.routes is not None:
            self.router.reload(config.routes)

    def stop(self) -> None:
        """Drain: answer the open requests, then end the process."""
        if not self.is_stopping:
            self.is_stopping = self.clients.draining = True
            self.decision_loop.drain(self.decision_loop.host.now() + DRAIN_TIMEOUT_US)
            self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.clients.stop_listening()
        self._finish_when_drained()

    def _finish_when_drained(self) -> None:
        """Finish once no request is open and no connection can send one, or at the end of the drain."""
        self.clients.close_idle()
        is_drained = self.clients.is_drained() and not self.decision_loop.unanswered_count
        if is_drained or self.decision_loop.host.now() >= self.decision_loop.drain_deadline:
            self.clients.listener.close()
            self.finished.set()
        else:
            self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self._finish_when_drained)


async def serve(config: Config) -> int:
    """Run a front door; return the exit code of the process."""
    try:
        gateway = Gateway(config.settings, config.seed)
        await Program(config, asyncio.get_running_loop(), gateway).run()
    except ConfigError as error:
        print("irisdeal:", " ".join(str(error).split()), file=sys.stderr)
        return 2
    except OSError as error:
        print(f"irisdeal: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """Run a front door with the configuration from the environment; return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # without a handler SIGHUP would end the process
    logging.basicConfig(
        stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO
    )
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    try:
        config = load(os.environ)
    except ConfigError as error:
        print("irisdeal:", " ".join(str(error).split()), file=sys.stderr)
        return 2
    return uvloop.run(serve(config))
