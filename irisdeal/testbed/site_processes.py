"""The process of a site: the backends of a zone, or the counter service, with their links and records.

A site serves one zone (its backends, their shared idempotency memory, and the links to them) or the counter
service, for fleets that are too large for one event loop. Each process records events on the machine's monotonic
clock, and the parent merges the records at the end (`remote_services`). Calls take effect in order.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import cast

from irisdeal.testbed.backend import BackendContext, BackendServer
from irisdeal.testbed.backend_model import IdempotencyMemory, Meter
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.request_log import Clock, RequestLog
from irisdeal.testbed.site_frames import SiteSpec, encode_frame, read_frame
from irisdeal.testbed.workload import Day, Machine

METER_INTERVAL_S = 0.1  # between usage reports to other sites; the meter publishes far less often
Call = tuple[int, str, tuple[object, ...]]  # number, name of the method, arguments


class _SharedMeter(Meter):
    """Counts requests that arrive here, and collects them to be sent to the other sites."""

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
        """Count a request, here and for the other sites."""
        super().add(trace, plan, customer, units, now)
        self.unsent.append((trace, plan, customer, units, now))

    def add_remote(self, usage: list[tuple[str, str, int, float, int]]) -> None:
        """Add the usage counted at another site."""
        for trace, plan, customer, units, at in usage:
            super().add(trace, plan, customer, units, at)


class Site:
    """The services of one process. The parent calls its public methods by frames."""

    def __init__(self, spec: SiteSpec, write: Callable[[object], None]) -> None:
        self.day, self.name, self.write = spec.day, spec.name, write
        self.scenario, self.now, self.request_log = spec.day.scenario, Clock(spec.offset), RequestLog()
        self.relay = Relay(self.now, self.request_log.link_faults)
        self.meter = _SharedMeter(spec.day)
        self.memory = IdempotencyMemory(round(max(c.window_ms for c in self.scenario.classes) * 1000))
        self.figures = self.scenario.figures({})
        self.backends: dict[str, BackendServer] = {}
        self.counter = CounterServer(self.scenario.counter, self.now, spec.day.seed)
        self.front_doors = range(self.scenario.front_doors)
        zones = self.scenario.fleet.zones
        self.context = BackendContext(
            self.scenario.fleet,
            self.scenario.classes,
            self.figures,
            self.request_log,
            self.now,
            self.day.seed,
            self.meter,
            tuple(zones[number % len(zones)] for number in self.front_doors),
        )
        self.lag_monitor = LoopLagMonitor(self.request_log.stalls, self.now)

    def begin(self) -> None:
        """Start monitoring the loop's lag and sharing the meter."""
        self.lag_monitor.start()
        self._send_meter()

    def _send_meter(self) -> None:
        if self.meter.unsent:
            self.write((0, ("meter", self.meter.unsent)))
            self.meter.unsent = []
        asyncio.get_running_loop().call_later(METER_INTERVAL_S, self._send_meter)

    def add_remote_usage(self, usage: list[tuple[str, str, int, float, int]]) -> None:
        """Add the usage counted by another site's meter."""
        self.meter.add_remote(usage)

    async def new_backend(
        self,
        name: str,
        machine: Machine,
        ports: dict[int, int],
        warming_up: bool,
    ) -> tuple[dict[int, int], int]:
        """Create and start a backend; returns its ports by front door, and its start time, µs."""
        backend = self.backends[name] = _MonitoredBackend(
            name, machine, self.memory, self.context, self._backend_down
        )
        backend.ports = dict(ports)
        await backend.start(self.front_doors, warming_up)
        return backend.ports, backend.started

    async def start_backend(self, name: str, warming_up: bool) -> int:
        """Restart a backend on the same ports; returns its start time, µs."""
        await self.backends[name].start(self.front_doors, warming_up)
        return self.backends[name].started

    def call_backend(self, name: str, call: str, *arguments: object) -> None:
        """Call a method of a backend; after a failure only `crash` is called."""
        backend = self.backends[name]
        if backend.up or call == "crash":  # it may have failed from overload
            getattr(backend, call)(*arguments)

    async def call_counter(self, call: str, *arguments: object) -> object:
        """Call a method of the counter service; returns its result."""
        made = getattr(self.counter, call)(*arguments)
        return await made if asyncio.iscoroutine(made) else made

    def counter_ports(self) -> dict[int, int]:
        """Return the counter service's ports by front door."""
        return self.counter.ports

    async def add_link(self, source: str, target: str, to: Address) -> Address:
        """Open a link to this site; returns its address."""
        return await self.relay.add(source, target, to)

    def set_links(self, names: list[str], condition: Condition, target: str) -> None:
        """As `Relay.set`."""
        self.relay.set(names, condition, target)

    def reset_links(self, names: list[str], target: str) -> None:
        """As `Relay.reset`."""
        self.relay.reset(names, target)

    def _backend_down(self, name: str) -> None:
        self.write((0, ("down", name)))

    def collect(self) -> tuple[RequestLog, int]:
        """Return the request log of this process, and the number of calls of the counter service."""
        return self.request_log, self.counter.calls

    def close(self) -> None:
        """Stop everything in this process."""
        self.lag_monitor.stop()
        for backend in self.backends.values():
            if backend.up:
                backend.crash()
        self.counter.close()
        self.relay.close()


class _MonitoredBackend(BackendServer):
    """A backend whose end is reported to the parent, since it may fail by itself."""

    def __init__(
        self,
        name: str,
        machine: Machine,
        memory: IdempotencyMemory,
        context: BackendContext,
        on_down: Callable[[str], None],
    ) -> None:
        super().__init__(name, machine, memory, context)
        self.on_down = on_down

    def crash(self) -> None:
        """End the process, and report it."""
        super().crash()
        self.on_down(self.name)


async def _serve(reader: asyncio.StreamReader) -> None:
    """Serve calls until the parent closes the pipe."""

    def write(value: object) -> None:
        """Write a frame to the parent."""
        sys.stdout.buffer.write(encode_frame(value))
        sys.stdout.buffer.flush()

    spec = await read_frame(reader)
    assert isinstance(spec, SiteSpec)
    site = Site(spec, write)
    try:
        while True:
            number, call, arguments = cast(Call, await read_frame(reader))
            value: object
            try:
                value = getattr(site, call)(*arguments)
                value = await value if asyncio.iscoroutine(value) else value
            except Exception as error:  # returned to the caller
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

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # on Ctrl-C the parent ends this process
    # Import by name, so that pickled classes do not belong to `__main__`.
    from irisdeal.testbed import site_processes

    uvloop.run(site_processes._main())
