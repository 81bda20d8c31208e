"""All services of the testbed for one day, and the timeline of its faults.

`Platform` starts backends, discovery service, counter service and links, writes the configuration of each front
door, and plays the timeline. The caller runs the front doors and passes them as `FrontDoors`.
"""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import replace
from pathlib import Path
from typing import Any

from irisdeal.testbed.backend import BackendContext, BackendServer
from irisdeal.testbed.backend_model import IdempotencyMemory, Meter
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_players import FAULT_PLAYERS
from irisdeal.testbed.fault_proxy import Relay
from irisdeal.testbed.fault_target import FrontDoors, Links
from irisdeal.testbed.front_door_settings import front_door_settings
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.remote_services import RemoteBackend, RemoteCounter, RemoteLinks, Sites
from irisdeal.testbed.request_log import Clock, Now, RequestLog, front_door_name
from irisdeal.testbed.scenario import Fault
from irisdeal.testbed.workload import Day, machine, stream

log = logging.getLogger("irisdeal.testbed")


class Platform:
    """All test services of one run."""

    def __init__(
        self,
        day: Day,
        now: Now | None = None,
        folder: Path | None = None,
        links: Links | None = None,
    ) -> None:
        """`links` replaces the relay if the network itself simulates the faults."""
        self.day, self.scenario = day, day.scenario
        self.clock = Clock()
        self.now: Now = now or self.clock
        self.request_log = RequestLog()
        self.front_doors = range(self.scenario.front_doors)
        self.folder = folder
        self.reports: Path | None = None  # folder for the sockets of the front doors' reports
        fleet, seed = self.scenario.fleet, day.seed
        window = round(max(c.window_ms for c in self.scenario.classes) * 1000)
        self.memories = {zone: IdempotencyMemory(window) for zone in fleet.zones}
        self.meter = self._meter()
        self.cells: dict[str, int] = {}
        self.figures = self.scenario.figures(self.cells)
        self.context = self._backend_context()
        self.backends: list[BackendServer | RemoteBackend] = []
        self.machine_count = 0  # number of the next machine
        # Separate processes for backends and counter service, if the scenario has `apart`; not in virtual time.
        self.sites = Sites(day, self.clock, self.request_log) if fleet.apart and links is None else None
        self.counter = self._counter()
        self.discovery = DiscoveryServer(self.scenario.discovery, self.request_log, self.now, seed)
        self.relay = links or self._links()
        self.link_ports: dict[str, dict[int, int]] = {}  # by backend and front door
        link_targets = {f.to for f in self.scenario.faults if f.do.startswith("link-")}
        zone_faults = any(f.do.startswith("hall-") for f in self.scenario.faults)
        self.has_backend_links = bool(link_targets & set(fleet.zones)) or zone_faults
        # By name and front door, for the services that are reached through links.
        self.service_link_ports = {
            name: dict[int, int]() for name in ("keeper", "roster") if name in link_targets
        }
        self.random = stream(seed, "faults")
        self.faulty_backends: set[str] = set()  # names of backends in a fault; those that are gone stay
        self.tasks: set[asyncio.Task[None]] = set()
        self.lag_monitor = LoopLagMonitor(self.request_log.stalls, self.now)
        self.monitors_lag = True  # False in virtual time, where the loop has no lag
        self.closed = False

    def _counter(self) -> CounterServer | RemoteCounter:
        if self.sites is not None:
            return RemoteCounter(self.sites)
        return CounterServer(self.scenario.counter, self.now, self.day.seed)

    def _links(self) -> Links:
        relay = Relay(self.now, self.request_log.link_faults)
        return relay if self.sites is None else RemoteLinks(self.sites, relay)

    def _meter(self) -> Meter:
        fleet, rates = self.scenario.fleet, {p.name: p.rate for p in self.scenario.plans}
        return Meter(round(fleet.meter_s * 1e6), round(fleet.meter_late_ms * 1000), rates)

    def _backend_context(self) -> BackendContext:
        fleet = self.scenario.fleet
        zones = fleet.zones
        return BackendContext(
            fleet,
            self.scenario.classes,
            self.figures,
            self.request_log,
            self.now,
            self.day.seed,
            self.meter,
            tuple(zones[number % len(zones)] for number in self.front_doors),
        )

    # Start and end

    async def start(self) -> None:
        """Start all services."""
        if self.sites is not None:
            await self.sites.start()
        for _ in range(self.scenario.fleet.backends):
            await self.new_backend(warming_up=False)
        self.discovery.endpoints.change(*(self.endpoint_of(backend, "Ready") for backend in self.backends))
        await self.discovery.start(self.front_doors)
        await self.counter.start(self.front_doors)
        for name, ports in (("keeper", self.counter.ports), ("roster", self.discovery.ports)):
            if name in self.service_link_ports:
                for front_door in self.front_doors:
                    link_address = await self.relay.add(
                        front_door_name(front_door), name, ("127.0.0.1", ports[front_door])
                    )
                    self.service_link_ports[name][front_door] = link_address[1]
        if self.monitors_lag:
            self.lag_monitor.start()

    async def gather(self) -> None:
        """Merge the request logs of other processes, at the end of the day."""
        if self.sites is not None:
            await self.sites.gather()

    def close(self) -> None:
        """Stop all services."""
        self.closed = True
        self.lag_monitor.stop()
        for task in self.tasks:
            task.cancel()
        for backend in self.backends:
            if backend.up:
                backend.crash()
        self.counter.close()
        self.discovery.close()
        self.relay.close()
        if self.sites is not None:
            self.sites.close()

    async def ended(self) -> None:
        """Wait, after `close`, until all processes have ended."""
        if self.sites is not None:
            await self.sites.ended()

    async def new_backend(
        self, warming_up: bool, replaced: BackendServer | RemoteBackend | None = None
    ) -> BackendServer | RemoteBackend:
        """Start the next machine. It takes over addresses, zone and cell of `replaced`, if given."""
        new_machine = machine(self.scenario, self.day.seed, self.machine_count)
        if replaced is not None:
            new_machine = replace(new_machine, zone=replaced.machine.zone, cell=replaced.machine.cell)
        name = f"s-{stream(self.day.seed, 'name', self.machine_count).randrange(2**32):08x}"
        self.machine_count += 1
        self.cells[name] = new_machine.cell
        self.figures.cells[name] = new_machine.cell
        backend: BackendServer | RemoteBackend = (
            RemoteBackend(self.sites, name, new_machine)
            if self.sites is not None
            else BackendServer(name, new_machine, self.memories[new_machine.zone], self.context)
        )
        backend.ports = dict(replaced.ports) if replaced is not None else {}
        await backend.start(self.front_doors, warming_up)
        self.backends.append(backend)
        if self.has_backend_links:
            self.link_ports[name] = {
                front_door: (
                    await self.relay.add(
                        front_door_name(front_door),
                        new_machine.zone,
                        ("127.0.0.1", backend.ports[front_door]),
                    )
                )[1]
                for front_door in self.front_doors
            }
        return backend

    def endpoint_of(self, backend: BackendServer | RemoteBackend, phase: str) -> Endpoint:
        """Return the entry of a backend in the list of endpoints."""
        ports = self.link_ports.get(backend.name, backend.ports)
        return Endpoint(
            backend.name,
            backend.machine.zone,
            backend.machine.kind,
            backend.machine.cell,
            phase,
            backend.started,
            tuple(ports[d] for d in self.front_doors),
            float(backend.machine.cores),
        )

    # Front doors' configuration

    def discovery_address(self, front_door: int) -> str:
        """Return the address of the discovery service for a front door."""
        return f"127.0.0.1:{self.service_link_ports.get('roster', self.discovery.ports)[front_door]}"

    def config(self, front_door: int, listen: str, seed: int) -> dict[str, Any]:
        """Return the configuration of a front door (DEPLOY, What a front door is told)."""
        revision, members = self.discovery.endpoints.complete_list(front_door)
        spec = self.scenario.front_door
        report = {"report": str(self.reports / f"n{front_door}.sock")} if self.reports is not None else {}
        return report | {
            "name": f"n{front_door}",
            "listen": listen,
            "discovery": self.discovery_address(front_door),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
            "counter": f"127.0.0.1:{self.service_link_ports.get('keeper', self.counter.ports)[front_door]}",
            "known": {
                "revision": revision,
                "complete": True,
                "members": [m.to_json(front_door) for m in members],
            },
            "settings": front_door_settings(self.scenario, front_door),
        }

    def write_config(self, front_door: int, listen: str, seed: int, path: Path) -> None:
        """Replace the configuration file atomically, since a front door may read it at any time."""
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config(front_door, listen, seed)))
        new.replace(path)

    # The timeline

    def play(self, start: int, front_doors: FrontDoors) -> None:
        """Schedule the timeline on the event loop; `start` in µs."""
        loop = asyncio.get_running_loop()
        for fault in self.scenario.faults:
            wait = max(0.0, (start - self.now()) / 1e6 + fault.at_s)
            loop.call_later(wait, self._begin, fault, front_doors)

    def _begin(self, fault: Fault, front_doors: FrontDoors) -> None:
        if not self.closed:
            self.tasks.add(task := asyncio.get_running_loop().create_task(self.do(fault, front_doors)))
            task.add_done_callback(self._on_fault_done)

    def _on_fault_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a fault could not be played: %r", error)
            self.record_fault(f"could not be played: {error!r}")

    def record_fault(self, text: str) -> None:
        """Record a line about faults, with the time."""
        self.request_log.faults.append((self.now(), text))

    async def do(self, fault: Fault, front_doors: FrontDoors) -> None:
        """Play one fault to its end."""
        self.record_fault(fault.text())
        play = FAULT_PLAYERS.get(fault.do)
        if play is not None:  # the others are part of the drawn day or of the load generator
            await play(self, fault, front_doors)

    def pick_backends(self, count: int) -> list[BackendServer | RemoteBackend]:
        """Draw backends that are up and in no other fault, and reserve them until `release_backends`."""
        eligible = [b for b in self.backends if b.up and b.name not in self.faulty_backends]
        backends = self.random.sample(eligible, min(count, len(eligible)))
        self.faulty_backends |= {backend.name for backend in backends}
        return backends

    def release_backends(self, backends: list[BackendServer | RemoteBackend]) -> None:
        """Make backends available to other faults."""
        self.faulty_backends -= {backend.name for backend in backends}
