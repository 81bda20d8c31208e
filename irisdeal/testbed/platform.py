"""All services of the testbed for one day, and the timeline of its faults.

`Platform` starts backends, discovery service, counter service and links, writes the configuration of each front
door, and plays the timeline. The front doors belong to the caller: `FrontDoors` is what the timeline needs of
them.
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
        """`links` in place of a relay, where the network itself has faults."""
        self.day, self.scenario = day, day.scenario
        self.clock = Clock()
        self.now: Now = now or self.clock
        self.request_log = RequestLog()
        self.front_doors = range(self.scenario.front_doors)
        self.folder = folder
        self.reports: Path | None = None  # where the front doors are to make their reports' sockets
        fleet, seed = self.scenario.fleet, day.seed
        window = round(max(c.window_ms for c in self.scenario.classes) * 1000)
        self.memories = {zone: IdempotencyMemory(window) for zone in fleet.zones}
        self.meter = self._meter()
        self.cells: dict[str, int] = {}
        self.figures = self.scenario.figures(self.cells)
        self.context = self._backend_context()
        self.backends: list[BackendServer | RemoteBackend] = []
        self.number = 0  # of machines made
        # Backends and counter service in processes of their own, if the scenario says so; not in virtual time.
        self.sites = Sites(day, self.clock, self.request_log) if fleet.apart and links is None else None
        self.counter = self._counter()
        self.discovery = DiscoveryServer(self.scenario.discovery, self.request_log, self.now, seed)
        self.relay = links or self._links()
        self.link_ports: dict[str, dict[int, int]] = {}  # by backend, the port that each front door is given
        ends = {f.to for f in self.scenario.faults if f.do.startswith("link-")}
        zone_faults = any(f.do.startswith("hall-") for f in self.scenario.faults)
        self.relayed = bool(ends & set(fleet.zones)) or zone_faults  # backends are reached through links
        # Ports by front door of the services that are reached through links.
        self.led = {name: dict[int, int]() for name in ("keeper", "roster") if name in ends}
        self.random = stream(seed, "faults")
        self.struck: set[str] = set()  # backends that a fault has; those that are gone stay
        self.tasks: set[asyncio.Task[None]] = set()
        self.lateness = LoopLagMonitor(self.request_log.stalls, self.now)
        self.monitors_lag = True  # in virtual time these loops are never late
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
            if name in self.led:
                for front_door in self.front_doors:
                    link_address = await self.relay.add(
                        front_door_name(front_door), name, ("127.0.0.1", ports[front_door])
                    )
                    self.led[name][front_door] = link_address[1]
        if self.monitors_lag:
            self.lateness.start()

    async def gather(self) -> None:
        """Once the day is over: what was seen in other processes is in the request logs as well."""
        if self.sites is not None:
            await self.sites.gather()

    def close(self) -> None:
        """Stop all services."""
        self.closed = True
        self.lateness.stop()
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
        """After `close`: no process of ours is left."""
        if self.sites is not None:
            await self.sites.ended()

    async def new_backend(
        self, warming_up: bool, instead: BackendServer | RemoteBackend | None = None
    ) -> BackendServer | RemoteBackend:
        """Start the machine of the next number; `instead` of another one it takes its addresses, zone, cell."""
        drawn = machine(self.scenario, self.day.seed, self.number)
        if instead is not None:
            drawn = replace(drawn, zone=instead.machine.zone, cell=instead.machine.cell)
        name = f"s-{stream(self.day.seed, 'name', self.number).randrange(2**32):08x}"
        self.number += 1
        self.cells[name] = drawn.cell
        self.figures.cells[name] = drawn.cell
        backend: BackendServer | RemoteBackend = (
            RemoteBackend(self.sites, name, drawn)
            if self.sites is not None
            else BackendServer(name, drawn, self.memories[drawn.zone], self.context)
        )
        backend.ports = dict(instead.ports) if instead is not None else {}
        await backend.start(self.front_doors, warming_up)
        self.backends.append(backend)
        if self.relayed:
            self.link_ports[name] = {
                front_door: (
                    await self.relay.add(
                        front_door_name(front_door), drawn.zone, ("127.0.0.1", backend.ports[front_door])
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
        """Where a front door finds the discovery service."""
        return f"127.0.0.1:{self.led.get('roster', self.discovery.ports)[front_door]}"

    def config(self, front_door: int, listen: str, seed: int) -> dict[str, Any]:
        """Return a front door's configuration (DEPLOY, What a front door is told)."""
        revision, members = self.discovery.endpoints.complete_list(front_door)
        spec = self.scenario.front_door
        report = {"report": str(self.reports / f"n{front_door}.sock")} if self.reports is not None else {}
        return report | {
            "name": f"n{front_door}",
            "listen": listen,
            "discovery": self.discovery_address(front_door),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
            "counter": f"127.0.0.1:{self.led.get('keeper', self.counter.ports)[front_door]}",
            "known": {
                "revision": revision,
                "complete": True,
                "members": [m.to_json(front_door) for m in members],
            },
            "settings": front_door_settings(self.scenario, front_door),
        }

    def write_config(self, front_door: int, listen: str, seed: int, path: Path) -> None:
        """Whole or not at all: a front door may read it at any time."""
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config(front_door, listen, seed)))
        new.replace(path)

    # The timeline

    def play(self, start: int, front_doors: FrontDoors) -> None:
        """Put the whole timeline on the loop; `start` in µs."""
        loop = asyncio.get_running_loop()
        for fault in self.scenario.faults:
            wait = max(0.0, (start - self.now()) / 1e6 + fault.at_s)
            loop.call_later(wait, self._begin, fault, front_doors)

    def _begin(self, fault: Fault, front_doors: FrontDoors) -> None:
        if not self.closed:
            self.tasks.add(task := asyncio.get_running_loop().create_task(self.do(fault, front_doors)))
            task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a fault could not be played: %r", error)
            self.record_fault(f"could not be played: {error!r}")

    def record_fault(self, text: str) -> None:
        """Log a line on the faults, with the time."""
        self.request_log.faults.append((self.now(), text))

    async def do(self, fault: Fault, front_doors: FrontDoors) -> None:
        """Play one fault to its end."""
        self.record_fault(fault.text())
        play = FAULT_PLAYERS.get(fault.do)
        if play is not None:  # the others are drawn into the day, or belong to the load generator
            await play(self, fault, front_doors)

    def pick_backends(self, count: int) -> list[BackendServer | RemoteBackend]:
        """Draw backends that are up and in no other fault; they are in this one until `release_backends`."""
        able = [b for b in self.backends if b.up and b.name not in self.struck]
        backends = self.random.sample(able, min(count, len(able)))
        self.struck |= {backend.name for backend in backends}
        return backends

    def release_backends(self, backends: list[BackendServer | RemoteBackend]) -> None:
        """End a fault of these backends."""
        self.struck -= {backend.name for backend in backends}
