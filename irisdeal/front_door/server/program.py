"""Start, signals, exit."""

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
from irisdeal.front_door.server.backends import Pool
from irisdeal.front_door.server.clients import ClientSide
from irisdeal.front_door.server.config import Address, Config, ConfigError, load
from irisdeal.front_door.server.discovery_client import Discovery
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.limits import CALLERS, OPERATORS_OWN, OWN, share
from irisdeal.front_door.server.loop import Door

if TYPE_CHECKING:
    from irisdeal.front_door.server.handover import Handover
    from irisdeal.front_door.server.operator import Operator
    from irisdeal.front_door.server.report import Report
    from irisdeal.front_door.server.routed import Router

log = logging.getLogger("irisdeal")

STILL_ACCEPTING = 0.5  # s after SIGTERM: connections go on coming
ALL_ANSWERED = 3_300_000  # µs after SIGTERM: all is answered, with time to write before 3.5 s
WIND_UP_STEP = 0.01  # s between two looks at what is still open
LIST_STREAM = 0x6C697374  # sets the pauses of discovery apart from the chances of the module
LINES_PER_S = 50  # of the log: a flood of failures must not cost the CPU


class Sparing(logging.Filter):
    """Lets some lines a second through and tells how many it dropped."""

    second, lines, dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                record.msg = f"({self.dropped} lines dropped) {record.msg}"
            self.second, self.lines, self.dropped = second, 0, 0
        self.lines += 1
        self.dropped += self.lines > LINES_PER_S
        return self.lines <= LINES_PER_S


class CannotListen(OSError):
    """An address that cannot be had; the text names it."""


@contextmanager
def listening(key: str, place: Address) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise CannotListen(f"cannot listen on {key} {place[0]}:{place[1]}: {error}") from None


class Program:
    """One front door, from its start to its end."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        host: Host | None = None,
    ) -> None:
        self.config = config
        limits = share(config.sockets, config.operator is not None)
        self.loop, self.host = loop, host or Host()
        self.pool = Pool(config, limits.backends, loop, self.host)
        self.door = Door(config, decider, self.pool, loop, self.host)
        self.clients = ClientSide(config, self.door, limits.clients, limits.reserve, loop, host=self.host)
        chance = random.Random(config.seed ^ LIST_STREAM)
        self.discovery = Discovery(config, self.door.listed, chance.random)
        self.door.on_refetch = self.discovery.refetch
        self.router: Router | None = None
        if config.routes is not None:
            from irisdeal.front_door.server.routed import Router  # a door without routes imports none of it

            self.router = Router(config, config.routes, self.door, self.clients, loop)
        self.report: Report | None = None
        if config.report is not None:
            from irisdeal.front_door.server.report import Report

            self.report = Report(config.report, self.door, loop)
        self.operator: Operator | None = None
        if config.operator is not None:
            from irisdeal.front_door.server.operator import Operator

            self.operator = Operator(config.operator, self, CALLERS, loop)
            self._pass_long_bodies_on(config)
        self.handover: Handover | None = None
        if config.operator is not None and (folder := self.host.folder()):
            from irisdeal.front_door.server.handover import Handover

            self.handover = Handover(self, folder, loop)
        self.over = asyncio.Event()
        self.stopping = self.may_reload = self.reload_owed = False

    def _pass_long_bodies_on(self, config: Config) -> None:
        from irisdeal.front_door.server.flows import Outflow, Upload
        from irisdeal.front_door.streaming import progress
        from irisdeal.front_door.streaming.byte_budget import ByteBudget

        budget, side = ByteBudget(config.memory), self.clients
        side.budget = self.pool.budget = budget
        self.pool.stall_time, self.pool.stream_stall = (
            progress.SMALL_RESPONSE_IDLE_TIMEOUT_S,
            progress.RESPONSE_IDLE_TIMEOUT_S,
        )
        side.most_body, side.replay = progress.MAX_BODY_BYTES, progress.MAX_REPLAY_BYTES
        side.slow_request, side.unread = progress.HEAD_TIMEOUT_S, progress.RESPONSE_IDLE_TIMEOUT_S
        side.new_receive_progress = progress.ReceiveProgress
        side.new_upload = lambda client, length: Upload(client, length, budget)
        side.new_flow = lambda request, head, chunked, on_over: Outflow(
            request, head, chunked, budget, on_over
        )

    def start(self) -> None:
        """Listen, and watch the list."""
        shared = self.handover.settle() if self.handover is not None else None
        if shared is None:
            self.discovery.remember()
        if self.operator is not None:
            with listening("operator", self.operator.address):
                self.operator.start()
        with listening("listen", self.config.listen):
            if shared is not None:
                self.clients.adopt(shared)
            else:
                self.clients.listen(beside=self.config.operator is not None)
        self.discovery.start()
        if self.handover is not None:
            self.handover.accepting()

    async def run(self) -> None:
        """Serve until SIGTERM, then until all is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self._hang_up)
        if self.router is not None:
            await self.router.first()
        self.may_reload = True
        if self.reload_owed:
            self.reload()
        await self.tell()
        if self.handover is not None:
            await self.handover.take()
        self.start()
        self.host.settled()
        await self.over.wait()
        self.discovery.stop()
        if self.router is not None:
            self.router.stop()
        if self.report is not None:
            self.report.stop()
        if self.operator is not None:
            self.operator.stop()
        # Answers just written leave with their connections, which close once written.
        until = self.loop.time() + 0.15
        while self.clients.connections and self.loop.time() < until:
            await asyncio.sleep(0.005)
        if self.handover is not None:
            self.handover.stop()  # last: from here the other process has all that this one might spend

    async def tell(self) -> None:
        """Make the report to be had, where there is one. ConfigError where its socket cannot be had."""
        if self.report is not None:
            try:
                await self.report.start()
            except OSError as error:
                raise ConfigError(f"report: {self.report.path}: {error.strerror or error}") from None

    def resize(self, sockets: int) -> None:
        """So many descriptors are ours from now on; what is over goes as it ends."""
        limits = share(sockets, self.config.operator is not None)
        self.clients.slots.regular_slots, self.clients.slots.reserve_slots = limits.clients, limits.reserve
        self.pool.most = limits.backends

    def held(self) -> int:
        """Descriptors that are in use by now, at most."""
        return OWN + OPERATORS_OWN + len(self.clients.connections) + len(self.pool.all)

    def is_ready(self) -> tuple[bool, str]:
        """Whether this process can serve, and why not."""
        if self.stopping:
            return False, "shutting down"
        if self.clients.listener.socket is None:
            return False, "not listening yet"
        return (True, "") if self.door.can_serve() else (False, "no list of backends yet")

    def _hang_up(self) -> None:
        """SIGHUP; while the description is read for the first time it must wait, and not be lost."""
        if self.may_reload:
            self.reload()
        else:
            self.reload_owed = True

    def reload(self) -> None:
        """Read the configuration again: discovery and the counter may have moved."""
        try:
            config = self.host.read_again()
        except ConfigError as error:
            return log.error("the old configuration goes on: %s", " ".join(str(error).split()))
        log.info(
            "configuration read again: discovery %s:%d, counter %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.discovery.move(config.discovery)
        self.door.recount(config.counter)
        if self.router is not None and config.routes is not None:
            self.router.reload(config.routes)

    def stop(self) -> None:
        if not self.stopping:
            self.stopping = self.clients.draining = True
            self.door.drain(self.door.clock.now() + ALL_ANSWERED)
            self.loop.call_later(STILL_ACCEPTING, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.clients.stop_listening()
        self._wind_up()

    def _wind_up(self) -> None:
        """Over once nothing is open and nothing can come; the drain's end bounds it."""
        self.clients.retire_idle()
        settled = self.clients.is_settled() and not self.door.unanswered
        if settled or self.door.clock.now() >= self.door.drain_by:
            self.clients.listener.close()
            self.over.set()
        else:
            self.loop.call_later(WIND_UP_STEP, self._wind_up)


async def serve(config: Config) -> int:
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
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before there is a handler, it would end the process
    logging.basicConfig(
        stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO
    )
    logging.getLogger().handlers[0].addFilter(Sparing())
    try:
        config = load(os.environ)
    except ConfigError as error:
        print("irisdeal:", " ".join(str(error).split()), file=sys.stderr)
        return 2
    return uvloop.run(serve(config))
