"""Backends and the counter service in processes of their own, for fleets that one event loop cannot serve in time.

A site is one such process: one for each zone (its backends, their shared idempotency memory, and the links that
lead to them) and one for the counter service. `Sites` is the parent's end; `RemoteBackend`, `RemoteCounter` and
`RemoteLinks` have the calls that the timeline makes of `BackendServer`, `CounterServer` and `Relay`. Records are
kept where the fact is observed, on the machine's one monotonic clock, and merged at the end.

Protocol between the parent and its child: frames of a length (4 bytes, big end first) and a pickled tuple. Down:
(number, call, arguments), number 0 for a notification. Up: (number, value), or (0, notification). Pickle is safe
here, since both ends are this module. Calls take effect in the order in which they were made.
"""

from __future__ import annotations

import asyncio
import pickle
import signal
import sys
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from irisdeal.testbed.backend import BackendServer
from irisdeal.testbed.backend_model import IdempotencyMemory, Meter
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.request_log import Clock, RequestLog, lay_together
from irisdeal.testbed.workload import Day, Machine

ANSWERS_WITHIN = 30.0  # s for any call: a process of ours that takes longer hangs
METER_EVERY = 0.1  # s between two tellings of what was used; the meter itself is told far later
MOST_FRAME = 1 << 30  # bytes: a length over this is noise on the pipe
COUNTER_SITE = "keeper"  # the site that has it, and the name of the links that lead there


class SiteError(Exception):
    """A process of test services did not do as it should."""


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """What one process is to be: a zone's, or the counter service's. `offset` (ns) is that of the run's clock."""

    day: Day
    name: str
    offset: int


def _frame(value: object) -> bytes:
    text = pickle.dumps(value)
    return len(text).to_bytes(4, "big") + text


async def _read(reader: asyncio.StreamReader) -> Any:
    """Read the next frame; raises IncompleteReadError at the end of the stream."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MOST_FRAME:
        raise SiteError(f"a frame of {size} bytes")
    return pickle.loads(await reader.readexactly(size))


# In the process of a site


class _SharedMeter(Meter):
    """Counts what comes here, and keeps it to be told to the other sites."""

    __slots__ = ("unsent",)

    def __init__(self, day: Day) -> None:
        fleet = day.scenario.fleet
        super().__init__(
            round(fleet.meter_s * 1e6),
            round(fleet.meter_late_ms * 1000),
            {p.name: p.rate for p in day.scenario.plans},
        )
        self.unsent: list[tuple[str, str, int, float, int]] = []

    def add(self, trace: str, plan: str, customer: int, units: float, now: int) -> None:
        super().add(trace, plan, customer, units, now)
        self.unsent.append((trace, plan, customer, units, now))

    def add_remote(self, told: list[tuple[str, str, int, float, int]]) -> None:
        """Add what another site has counted."""
        for trace, plan, customer, units, at in told:
            super().add(trace, plan, customer, units, at)


class Site:
    """What one process has. Each method that a frame may name is a call of the parent's."""

    def __init__(self, order: SiteSpec, write: Any) -> None:
        self.day, self.name, self.write = order.day, order.name, write
        self.scenario, self.now, self.request_log = order.day.scenario, Clock(order.offset), RequestLog()
        self.relay = Relay(self.now, self.request_log.link_faults)
        self.meter = _SharedMeter(order.day)
        self.memory = IdempotencyMemory(round(max(c.window_ms for c in self.scenario.classes) * 1000))
        self.figures = self.scenario.figures({})
        self.backends: dict[str, BackendServer] = {}
        self.counter = CounterServer(self.scenario.counter, self.now, order.day.seed)
        self.front_doors = range(self.scenario.front_doors)
        self.late = LoopLagMonitor(self.request_log.stalls, self.now)

    def begin(self) -> None:
        """Start monitoring the loop's lag and sharing the meter."""
        self.late.start()
        self._send_meter()

    def _send_meter(self) -> None:
        if self.meter.unsent:
            self.write((0, ("meter", self.meter.unsent)))
            self.meter.unsent = []
        asyncio.get_running_loop().call_later(METER_EVERY, self._send_meter)

    def add_remote_usage(self, told: list[tuple[str, str, int, float, int]]) -> None:
        """Add what another site's meter has counted."""
        self.meter.add_remote(told)

    async def new_backend(
        self,
        name: str,
        machine: Machine,
        ports: dict[int, int],
        warming_up: bool,
    ) -> tuple[dict[int, int], int]:
        """Make a backend and start it; its ports by front door, and since when it is up, µs."""
        zones = self.scenario.fleet.zones
        call_backend = self.backends[name] = _MonitoredBackend(
            self,
            name,
            machine,
            self.scenario.fleet,
            self.scenario.classes,
            self.figures,
            self.request_log,
            self.now,
            self.day.seed,
            self.memory,
            self.meter,
            tuple(zones[d % len(zones)] for d in self.front_doors),
        )
        call_backend.ports = dict(ports)
        await call_backend.start(self.front_doors, warming_up)
        return call_backend.ports, call_backend.started

    async def start_backend(self, name: str, warming_up: bool) -> int:
        """Up again, at its old ports; since when, µs."""
        await self.backends[name].start(self.front_doors, warming_up)
        return self.backends[name].started

    def call_backend(self, name: str, call: str, *arguments: Any) -> None:
        """Call a method of a backend, unless it has failed meanwhile."""
        call_backend = self.backends[name]
        if call_backend.up or call == "crash":  # it may have fallen over meanwhile
            getattr(call_backend, call)(*arguments)

    async def call_counter(self, call: str, *arguments: Any) -> Any:
        """Call a method of the counter service; its result."""
        made = getattr(self.counter, call)(*arguments)
        return await made if asyncio.iscoroutine(made) else made

    def counter_ports(self) -> dict[int, int]:
        """Return the counter service's ports by front door."""
        return self.counter.ports

    async def add_link(self, source: str, target: str, to: Address) -> Address:
        """Open a link to this site; its address."""
        return await self.relay.add(source, target, to)

    def set_links(self, names: list[str], condition: Condition, target: str) -> None:
        """As `Relay.set`."""
        self.relay.set(names, condition, target)

    def reset_links(self, names: list[str], target: str) -> None:
        """As `Relay.reset`."""
        self.relay.reset(names, target)

    def collect(self) -> tuple[RequestLog, int]:
        """All that was seen here, and how many calls the counter service had."""
        return self.request_log, self.counter.calls

    def close(self) -> None:
        """Stop everything in this process."""
        self.late.stop()
        for call_backend in self.backends.values():
            if call_backend.up:
                call_backend.crash()
        self.counter.close()
        self.relay.close()


class _MonitoredBackend(BackendServer):
    """A backend whose end is told to the parent, since it may fall over by itself."""

    def __init__(self, site: Site, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.site = site

    def crash(self) -> None:
        super().crash()
        self.site.write((0, ("down", self.name)))


# In the parent's process


@dataclass(slots=True, eq=False)
class SiteProcess:
    """One process of a site, as its parent has it."""

    order: SiteSpec
    process: asyncio.subprocess.Process
    waiting: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    number: int = 0
    reader: asyncio.Task[None] | None = None
    gone: bool = False

    def notify(self, call: str, *arguments: Any) -> None:
        """Nobody waits for it."""
        self._write(0, call, arguments)

    async def ask(self, call: str, *arguments: Any) -> Any:
        """Its value. Raises `SiteError`."""
        self.number += 1
        number, answer = self.number, asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
        self._write(number, call, arguments)
        try:
            async with asyncio.timeout(ANSWERS_WITHIN):
                return await answer
        except TimeoutError:
            raise SiteError(f"{self.order.name}: no answer to {call} in {ANSWERS_WITHIN:g} s") from None
        finally:
            self.waiting.pop(number, None)

    def _write(self, number: int, call: str, arguments: tuple[Any, ...]) -> None:
        if self.gone:
            if number:
                raise SiteError(f"{self.order.name}: its process has ended")
            return
        assert self.process.stdin is not None
        self.process.stdin.write(_frame((number, call, arguments)))

    def end(self) -> None:
        """Mark the process as ended, and fail the calls that wait for it."""
        self.gone = True
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(SiteError(f"{self.order.name}: its process has ended"))


class Sites:
    """All processes of one run. Raises `SiteError` where one does not do as it should."""

    def __init__(self, day: Day, clock: Clock, request_log: RequestLog) -> None:
        self.day, self.clock, self.request_log = day, clock, request_log
        self.site_processes: dict[str, SiteProcess] = {}
        self.backends: dict[str, RemoteBackend] = {}
        self.counter_calls = 0

    async def start(self) -> None:
        """Start all processes."""
        await asyncio.gather(*(self._start(name) for name in (*self.day.scenario.fleet.zones, COUNTER_SITE)))

    async def _start(self, name: str) -> None:
        order = SiteSpec(self.day, name, self.clock.offset)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "irisdeal.testbed.site_processes",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        site_process = self.site_processes[name] = SiteProcess(order, process)
        assert process.stdin is not None
        process.stdin.write(_frame(order))
        site_process.reader = asyncio.get_running_loop().create_task(self._read_frames(site_process))
        await site_process.ask("begin")

    async def _read_frames(self, site_process: SiteProcess) -> None:
        assert site_process.process.stdout is not None
        try:
            while True:
                number, value = await _read(site_process.process.stdout)
                if number:
                    answer = site_process.waiting.get(number)
                    if answer is not None and not answer.done():
                        if isinstance(value, Exception):
                            answer.set_exception(SiteError(f"{site_process.order.name}: {value!r}"))
                        else:
                            answer.set_result(value)
                elif value[0] == "meter":
                    for other in self.site_processes.values():
                        if other is not site_process and other.order.name != COUNTER_SITE:
                            other.notify("add_remote_usage", value[1])
                elif value[0] == "down":
                    self.backends[value[1]].up = False
        except (asyncio.IncompleteReadError, ConnectionError, SiteError, pickle.UnpicklingError):
            site_process.end()

    async def gather(self) -> None:
        """Lay the request logs of all processes into the run's, in the order of time."""
        found = await asyncio.gather(
            *(site_process.ask("collect") for site_process in self.site_processes.values())
        )
        request_log = self.request_log
        for told, calls in found:
            self.counter_calls += calls
            request_log.attempts += told.attempts
            request_log.incarnations += told.incarnations
            request_log.fallen += told.fallen
            request_log.link_faults += told.link_faults
        request_log.attempts.sort(key=lambda attempt: (attempt.last_byte, attempt.trace))
        request_log.incarnations.sort(
            key=lambda incarnation: (incarnation.at, incarnation.backend, incarnation.incarnation)
        )
        request_log.fallen.sort(key=lambda fallen: fallen[2])
        request_log.most_late = max(
            [request_log.lateness, *(late for told, _ in found for _, late in told.stalls)]
        )
        request_log.stalls[:] = lay_together(request_log.stalls, *(told.stalls for told, _ in found))

    def close(self) -> None:
        """End what still runs: processes that we started, by the handles we have kept."""
        for site_process in self.site_processes.values():
            if site_process.reader is not None:
                site_process.reader.cancel()
            site_process.end()
            if site_process.process.returncode is None:
                with suppress(ProcessLookupError):
                    site_process.process.kill()

    async def ended(self) -> None:
        """After `close`: until all of them have ended."""
        for site_process in self.site_processes.values():
            await site_process.process.wait()


class RemoteBackend:
    """A backend at a site, with the calls of `Box` that the timeline makes."""

    def __init__(self, sites: Sites, name: str, machine: Machine) -> None:
        self.name, self.machine, self.site_process = name, machine, sites.site_processes[machine.zone]
        self.ports: dict[int, int] = {}
        self.up, self.started, self.made = False, 0, False
        sites.backends[name] = self

    async def start(self, front_doors: range, warming_up: bool = False) -> None:
        """As `BackendServer.start`."""
        if self.made:
            self.started = await self.site_process.ask("start_backend", self.name, warming_up)
        else:
            self.ports, self.started = await self.site_process.ask(
                "new_backend", self.name, self.machine, self.ports, warming_up
            )
        self.up = self.made = True

    def crash(self) -> None:
        """As `BackendServer.crash`."""
        self.up = False
        self.site_process.notify("call_backend", self.name, "crash")

    def drain(self) -> None:
        """As `BackendServer.drain`."""
        self.site_process.notify("call_backend", self.name, "drain")

    def set_hung(self, hung: bool) -> None:
        """As `BackendServer.set_hung`."""
        self.site_process.notify("call_backend", self.name, "set_hung", hung)

    def set_slower(self, times: float) -> None:
        """As `BackendServer.set_slower`."""
        self.site_process.notify("call_backend", self.name, "set_slower", times)

    def set_spoil(self, share: float) -> None:
        """As `BackendServer.set_spoil`."""
        self.site_process.notify("call_backend", self.name, "set_spoil", share)


class RemoteCounter:
    """The counter service at its site, with the calls of `Keeper` that the timeline makes."""

    def __init__(self, sites: Sites) -> None:
        self.sites = sites
        self.ports: dict[int, int] = {}

    @property
    def site_process(self) -> SiteProcess:
        """The process that the counter service runs in."""
        return self.sites.site_processes[COUNTER_SITE]

    @property
    def calls(self) -> int:
        """Known once the request logs are merged."""
        return self.sites.counter_calls

    async def start(self, front_doors: range) -> None:
        """As `CounterServer.start`."""
        await self.site_process.ask("call_counter", "start", front_doors)
        self.ports = await self.site_process.ask("counter_ports")

    async def restart(self, front_doors: range, empty: bool) -> None:
        """As `CounterServer.restart`."""
        await self.site_process.ask("call_counter", "restart", front_doors, empty)

    async def move(self, front_doors: range) -> None:
        """As `CounterServer.move`."""
        await self.site_process.ask("call_counter", "move", front_doors)
        self.ports = await self.site_process.ask("counter_ports")

    def refuse(self) -> None:
        """As `CounterServer.refuse`."""
        self.site_process.notify("call_counter", "refuse")

    def put(self, what: str, value: float) -> None:
        """As `CounterServer.put`."""
        self.site_process.notify("call_counter", "put", what, value)

    async def forget(self, share: float) -> int:
        """As `CounterServer.forget`."""
        return int(await self.site_process.ask("call_counter", "flush", share))

    def split(self, *groups: Iterable[int]) -> None:
        """As `CounterServer.split`."""
        self.site_process.notify("call_counter", "split", *(list(group) for group in groups))

    def heal(self) -> None:
        """As `CounterServer.heal`."""
        self.site_process.notify("call_counter", "heal")

    def close(self) -> None:
        """Do nothing: it ends with its process."""


class RemoteLinks:
    """Links, each in the process that it leads to; those to the discovery service in the parent's own."""

    def __init__(self, sites: Sites, near: Relay) -> None:
        self.sites, self.near = sites, near

    async def add(self, source: str, target: str, to: Address) -> Address:
        """As `Relay.add`."""
        site_process = self.sites.site_processes.get(target)
        if site_process is None:
            return await self.near.add(source, target, to)
        host, port = await site_process.ask("add_link", source, target, to)
        return host, port

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """As `Relay.set`."""
        wanted = list(names)
        self.near.set(wanted, condition, target)
        for site_process in self.sites.site_processes.values():
            site_process.notify("set_links", wanted, condition, target)

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """As `Relay.reset`."""
        wanted = list(names)
        self.near.reset(wanted, target)
        for site_process in self.sites.site_processes.values():
            site_process.notify("reset_links", wanted, target)

    def close(self) -> None:
        """As `Relay.close`."""
        self.near.close()


async def _serve(reader: asyncio.StreamReader) -> None:
    """Serve the process of a site until its parent's end of the pipe closes."""

    def write(value: object) -> None:
        sys.stdout.buffer.write(_frame(value))
        sys.stdout.buffer.flush()

    order = await _read(reader)
    site = Site(order, write)
    try:
        while True:
            number, call, arguments = await _read(reader)
            value: Any
            try:
                value = getattr(site, call)(*arguments)
                value = await value if asyncio.iscoroutine(value) else value
            except Exception as error:  # goes to whoever asked
                value = RuntimeError(f"{call}: {error!r}")
            if number:
                write((number, value))
    except (asyncio.IncompleteReadError, ConnectionError):
        site.close()


async def _main() -> None:
    reader = asyncio.StreamReader(limit=1 << 20)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer
    )
    await _serve(reader)


if __name__ == "__main__":
    import uvloop

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a Ctrl-C is the parent's, which ends this
    # Under its own name, so that what is pickled here is what the parent knows.
    from irisdeal.testbed import site_processes

    uvloop.run(site_processes._main())
