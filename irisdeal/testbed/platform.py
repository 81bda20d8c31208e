"""All services of the testbed for one day, and the timeline of its faults.

`Platform` starts backends, discovery service, counter service and links, writes the configuration of each front
door, and plays the timeline. The front doors belong to the caller: `FrontDoors` is what the timeline needs of
them.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from irisdeal.testbed.backend import BackendServer
from irisdeal.testbed.backend_model import IdempotencyMemory, Meter
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.front_door_settings import front_door_settings
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.request_log import Clock, Now, RequestLog, front_door_name
from irisdeal.testbed.scenario import Fault
from irisdeal.testbed.site_processes import RemoteBackend, RemoteCounter, RemoteLinks, Sites
from irisdeal.testbed.workload import Day, machine, stream

log = logging.getLogger("irisdeal.testbed")


class FrontDoors(Protocol):
    """What the timeline does to front doors."""

    async def kill(self, front_door: int, down: float) -> None:
        """SIGKILL, and start again after `down` s."""

    async def restart(self, front_door: int) -> None:
        """SIGTERM, and start again once it has ended."""

    async def stall(self, front_door: int, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after `seconds`; it is in `request logs.pauses` by then."""

    async def reload(self, front_door: int) -> None:
        """Send SIGHUP; the configuration file is written already."""


class Links(Protocol):
    """Ways with faults between names: see `relay.Relay`."""

    async def add(self, source: str, target: str, to: Address) -> Address:
        """Open a link; the address to use in place of the target's."""

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """Set the condition of the links of these names, or of those to a target."""

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """Reset the connections of these links."""

    def close(self) -> None:
        """Close all links."""


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
        self.meter = Meter(
            round(fleet.meter_s * 1e6),
            round(fleet.meter_late_ms * 1000),
            {p.name: p.rate for p in self.scenario.plans},
        )
        self.cells: dict[str, int] = {}
        self.figures = self.scenario.figures(self.cells)
        self.backends: list[BackendServer | RemoteBackend] = []
        self.number = 0  # of machines made
        # Backends and counter service in processes of their own, if the scenario says so; not in virtual time.
        self.sites = Sites(day, self.clock, self.request_log) if fleet.apart and links is None else None
        self.counter: CounterServer | RemoteCounter = (
            RemoteCounter(self.sites) if self.sites else CounterServer(self.scenario.counter, self.now, seed)
        )
        self.discovery = DiscoveryServer(self.scenario.discovery, self.request_log, self.now, seed)
        self.relay: Links = links or Relay(self.now, self.request_log.link_faults)
        if self.sites is not None:
            self.relay = RemoteLinks(self.sites, Relay(self.now, self.request_log.link_faults))
        self.link_ports: dict[str, dict[int, int]] = {}  # by backend, the port that each front door is given
        ends = {f.to for f in self.scenario.faults if f.do.startswith("link-")}
        self.relayed = bool(ends & set(fleet.zones)) or any(
            f.do.startswith("hall-") for f in self.scenario.faults
        )
        self.led = {
            name: dict[int, int]() for name in ("keeper", "roster") if name in ends
        }  # ports by front door
        self.random = stream(seed, "faults")
        self.struck: set[str] = set()  # backends that a fault has; those that are gone stay
        self.tasks: set[asyncio.Task[None]] = set()
        self.lateness = LoopLagMonitor(self.request_log.stalls, self.now)
        self.monitors_lag = True  # in virtual time these loops are never late
        self.closed = False

    # Start and end

    async def start(self) -> None:
        """Start all services."""
        if self.sites is not None:
            await self.sites.start()
        for _ in range(self.scenario.fleet.backends):
            await self._new_backend(warming_up=False)
        self.discovery.endpoints.change(*(self._member(backend, "Ready") for backend in self.backends))
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

    async def _new_backend(
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
        zones = self.scenario.fleet.zones
        backend: BackendServer | RemoteBackend = (
            RemoteBackend(self.sites, name, drawn)
            if self.sites is not None
            else BackendServer(
                name,
                drawn,
                self.scenario.fleet,
                self.scenario.classes,
                self.figures,
                self.request_log,
                self.now,
                self.day.seed,
                self.memories[drawn.zone],
                self.meter,
                tuple(zones[d % len(zones)] for d in self.front_doors),
            )
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

    def _member(self, backend: BackendServer | RemoteBackend, phase: str) -> Endpoint:
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
        table: dict[str, Callable[[Fault, FrontDoors], Awaitable[None]]] = {
            "box-hang": self._hang,
            "box-slow": self._slow,
            "box-crash": self._crash,
            "box-replace": self._replace,
            "box-drain": self._drain,
            "box-add": self._add,
            "box-spoil": self._spoil,
            "keeper-silent": self._counter_unresponsive,
            "keeper-refuse": self._counter_refuse,
            "keeper-slow": self._counter_slow,
            "keeper-flush": self._counter_flush,
            "keeper-spoil": self._counter_spoil,
            "keeper-split": self._counter_split,
            "roster-silent": self._discovery_unresponsive,
            "roster-late": self._discovery_late,
            "roster-lose": self._discovery_lose,
            "hall-cut": self._zone_cut_off,
            "hall-slow": self._zone_slow,
            "hall-reset": self._zone_reset,
            "link-cut": self._link,
            "link-silent": self._link,
            "link-slow": self._link,
            "link-reset": self._link,
            "door-kill": self._front_door_kill,
            "door-restart": self._front_door_restart,
            "door-stall": self._front_door_stall,
            "door-reload": self._front_door_reload,
        }
        if (
            play := table.get(fault.do)
        ) is not None:  # the rest is drawn into the day or the load generators'
            await play(fault, front_doors)

    def _some(self, count: int) -> list[BackendServer | RemoteBackend]:
        """Backends that are up and in no other fault, drawn by the seed; they are this fault's until `_free`."""
        able = [b for b in self.backends if b.up and b.name not in self.struck]
        backends = self.random.sample(able, min(count, len(able)))
        self.struck |= {backend.name for backend in backends}
        return backends

    def _free(self, backends: list[BackendServer | RemoteBackend]) -> None:
        self.struck -= {backend.name for backend in backends}

    async def _hang(self, fault: Fault, _: FrontDoors) -> None:
        backends = self._some(fault.backends)
        for backend in backends:
            backend.set_hung(True)
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            if backend.up:
                backend.set_hung(False)
        self._free(backends)

    async def _slow(self, fault: Fault, _: FrontDoors) -> None:
        backends = self._some(fault.backends)
        for backend in backends:
            backend.set_slower(fault.size)
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            if backend.up:
                backend.set_slower(1.0)
        self._free(backends)

    async def _crash(self, fault: Fault, _: FrontDoors) -> None:
        """Crash backends and start them again, in slow start; discovery learns late, and only that they run."""
        backends = self._some(fault.backends)
        for backend in backends:
            backend.crash()
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            await backend.start(self.front_doors, warming_up=True)
        self.discovery.change(*(self._member(backend, "Ready") for backend in backends))
        self._free(backends)
        self.record_fault(f"{len(backends)} boxes are up again, cold")

    async def _replace(self, fault: Fault, _: FrontDoors) -> None:
        """Machines go for good; others, with new ids, take their addresses, which the old list still has."""
        backends = self._some(fault.backends)
        for backend in backends:
            backend.crash()
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            gone = self._member(backend, "Gone")
            new = await self._new_backend(warming_up=True, instead=backend)
            self.discovery.change(gone, self._member(new, "Ready"))
        self.record_fault(f"{len(backends)} new boxes stand at the old addresses, cold")

    async def _drain(self, fault: Fault, _: FrontDoors) -> None:
        backends = self._some(fault.backends)
        self.discovery.change(*(self._member(backend, "Terminating") for backend in backends))
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            backend.drain()
        self.discovery.change(*(self._member(backend, "Gone") for backend in backends))
        self.record_fault(f"{len(backends)} boxes are gone")

    async def _add(self, fault: Fault, _: FrontDoors) -> None:
        made = [await self._new_backend(warming_up=True) for _ in range(fault.backends)]
        self.discovery.change(*(self._member(backend, "Ready") for backend in made))

    async def _spoil(self, fault: Fault, _: FrontDoors) -> None:
        backends = self._some(fault.backends)
        for backend in backends:
            backend.set_spoil(fault.size)
        await asyncio.sleep(fault.for_s)
        for backend in backends:
            backend.set_spoil(0.0)
        self._free(backends)

    async def _counter_unresponsive(self, fault: Fault, _: FrontDoors) -> None:
        self.counter.put("silent", 1)
        await asyncio.sleep(fault.for_s)
        self.counter.put("silent", 0)
        self.record_fault("the keeper answers again")

    async def _counter_refuse(self, fault: Fault, _: FrontDoors) -> None:
        self.counter.refuse()
        await asyncio.sleep(fault.for_s)
        await self.counter.restart(self.front_doors, fault.empty)
        self.record_fault(f"the keeper is back, {'empty' if fault.empty else 'with its counts'}")

    async def _counter_slow(self, fault: Fault, _: FrontDoors) -> None:
        self.counter.put("slower", fault.size)
        await asyncio.sleep(fault.for_s)
        self.counter.put("slower", 1.0)

    async def _counter_flush(self, fault: Fault, _: FrontDoors) -> None:
        self.record_fault(f"the keeper lost {await self.counter.forget(fault.size)} names")

    async def _counter_spoil(self, fault: Fault, _: FrontDoors) -> None:
        self.counter.put("spoil", fault.size)
        await asyncio.sleep(fault.for_s)
        self.counter.put("spoil", 0.0)

    async def _counter_split(self, fault: Fault, _: FrontDoors) -> None:
        self.counter.split(self.front_doors[: fault.front_door], self.front_doors[fault.front_door :])
        await asyncio.sleep(fault.for_s)
        self.counter.heal()
        self.record_fault("the keeper is one again, with the counts of the first doors' side")

    async def _discovery_unresponsive(self, fault: Fault, _: FrontDoors) -> None:
        self.discovery.set_unresponsive(True)
        await asyncio.sleep(fault.for_s)
        self.discovery.set_unresponsive(False)

    async def _discovery_late(self, fault: Fault, _: FrontDoors) -> None:
        self.discovery.later = fault.size
        await asyncio.sleep(fault.for_s)
        self.discovery.later = 0.0

    async def _discovery_lose(self, fault: Fault, _: FrontDoors) -> None:
        self.discovery.lose = fault.size
        await asyncio.sleep(fault.for_s)
        self.discovery.lose = 0.0

    async def _zone_cut_off(self, fault: Fault, _: FrontDoors) -> None:
        self.relay.set([fault.zone], Condition(partitioned=True))
        await asyncio.sleep(fault.for_s)
        self.relay.set([fault.zone], Condition())
        self.record_fault(f"{fault.zone} is back")

    async def _zone_slow(self, fault: Fault, _: FrontDoors) -> None:
        self.relay.set([fault.zone], Condition(delay=fault.ms / 1000))
        await asyncio.sleep(fault.for_s)
        self.relay.set([fault.zone], Condition())

    async def _zone_reset(self, fault: Fault, _: FrontDoors) -> None:
        self.relay.reset([fault.zone])

    async def _link(self, fault: Fault, _: FrontDoors) -> None:
        front_doors = [front_door_name(front_door) for front_door in self.front_doors[: fault.front_door]]
        if fault.do == "link-reset":
            return self.relay.reset(front_doors, fault.to)
        self.relay.set(
            front_doors,
            {
                "link-cut": Condition(partitioned=True),
                "link-silent": Condition(stalled=True, direction=fault.direction),
                "link-slow": Condition(delay=fault.ms / 1000),
            }[fault.do],
            fault.to,
        )
        await asyncio.sleep(fault.for_s)
        self.relay.set(front_doors, Condition(), fault.to)
        self.record_fault(f"{len(front_doors)} doors have their ways to {fault.to} again")

    async def _front_door_kill(self, fault: Fault, front_doors: FrontDoors) -> None:
        await front_doors.kill(fault.front_door, fault.for_s)

    async def _front_door_restart(self, fault: Fault, front_doors: FrontDoors) -> None:
        await front_doors.restart(fault.front_door)

    async def _front_door_stall(self, fault: Fault, front_doors: FrontDoors) -> None:
        await front_doors.stall(fault.front_door, fault.for_s)

    async def _front_door_reload(self, fault: Fault, front_doors: FrontDoors) -> None:
        """Discovery and counter service move for all front doors, each of which reloads on SIGHUP."""
        await self.discovery.move(self.front_doors)
        await self.counter.move(self.front_doors)
        for front_door in self.front_doors:
            await front_doors.reload(front_door)
