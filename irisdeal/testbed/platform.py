"""A whole platform of stand-ins for one day, and the timeline of its faults.

`Platform` starts boxes, roster, count keeper and links, writes each door's configuration, and plays the
timeline. Doors are somebody else's: `Doors` says what it needs of them.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from irisdeal.testbed.backend import Box
from irisdeal.testbed.backend_model import HallMemory, Meter
from irisdeal.testbed.counter_service import Keeper
from irisdeal.testbed.discovery_service import Member, Roster
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.loop_lag import Lateness
from irisdeal.testbed.request_log import Books, Clock, Now, door_name
from irisdeal.testbed.scenario import Fault
from irisdeal.testbed.site_processes import FarBox, FarKeeper, FarLinks, Sites
from irisdeal.testbed.workload import Day, machine, stream

log = logging.getLogger("irisdeal.testbed")


class Doors(Protocol):
    """What the timeline does to doors."""

    async def kill(self, door: int, down: float) -> None:
        """SIGKILL, and start again after `down` s."""

    async def restart(self, door: int) -> None:
        """SIGTERM, and start again once it has ended."""

    async def stall(self, door: int, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after `seconds`; it is in `books.pauses` by then."""

    async def reload(self, door: int) -> None:
        """The configuration file is written anew already: SIGHUP."""


class Links(Protocol):
    """Ways with faults between names: see `relay.Relay`."""

    async def add(self, source: str, target: str, to: Address) -> Address: ...

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None: ...

    def reset(self, names: Iterable[str], target: str = "") -> None: ...

    def close(self) -> None: ...


class Platform:
    """All stand-ins of one run."""

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
        self.books = Books()
        self.doors = range(self.scenario.doors)
        self.folder = folder
        self.reports: Path | None = None  # where the doors are to make their reports' sockets
        fleet, seed = self.scenario.fleet, day.seed
        window = round(max(c.window_ms for c in self.scenario.classes) * 1000)
        self.memories = {hall: HallMemory(window) for hall in fleet.halls}
        self.meter = Meter(
            round(fleet.meter_s * 1e6),
            round(fleet.meter_late_ms * 1000),
            {p.name: p.rate for p in self.scenario.plans},
        )
        self.cells: dict[str, int] = {}
        self.figures = self.scenario.figures(self.cells)
        self.boxes: list[Box | FarBox] = []
        self.number = 0  # of machines made
        # Where the scenario wants it, boxes and keeper are in processes of their own; never in virtual time.
        self.sites = Sites(day, self.clock, self.books) if fleet.apart and links is None else None
        self.keeper: Keeper | FarKeeper = (
            FarKeeper(self.sites) if self.sites else Keeper(self.scenario.keeper, self.now, seed)
        )
        self.roster = Roster(self.scenario.roster, self.books, self.now, seed)
        self.relay: Links = links or Relay(self.now, self.books.holds)
        if self.sites is not None:
            self.relay = FarLinks(self.sites, Relay(self.now, self.books.holds))
        self.ways: dict[str, dict[int, int]] = {}  # by box, the port that each door is given
        ends = {f.to for f in self.scenario.faults if f.do.startswith("link-")}
        self.relayed = bool(ends & set(fleet.halls)) or any(
            f.do.startswith("hall-") for f in self.scenario.faults
        )
        self.led = {name: dict[int, int]() for name in ("keeper", "roster") if name in ends}  # ports by door
        self.random = stream(seed, "faults")
        self.struck: set[str] = set()  # boxes that a fault has; those that are gone stay
        self.tasks: set[asyncio.Task[None]] = set()
        self.lateness = Lateness(self.books.stalls, self.now)
        self.looks_late = True  # in virtual time these loops are never late
        self.closed = False

    # Start and end

    async def start(self) -> None:
        if self.sites is not None:
            await self.sites.start()
        for _ in range(self.scenario.fleet.boxes):
            await self._new_box(cold=False)
        self.roster.ledger.change(*(self._member(box, "Ready") for box in self.boxes))
        await self.roster.start(self.doors)
        await self.keeper.start(self.doors)
        for name, ports in (("keeper", self.keeper.ports), ("roster", self.roster.ports)):
            if name in self.led:
                for door in self.doors:
                    way = await self.relay.add(door_name(door), name, ("127.0.0.1", ports[door]))
                    self.led[name][door] = way[1]
        if self.looks_late:
            self.lateness.start()

    async def gather(self) -> None:
        """Once the day is over: what was seen in other processes is in the books as well."""
        if self.sites is not None:
            await self.sites.gather()

    def close(self) -> None:
        self.closed = True
        self.lateness.stop()
        for task in self.tasks:
            task.cancel()
        for box in self.boxes:
            if box.up:
                box.crash()
        self.keeper.close()
        self.roster.close()
        self.relay.close()
        if self.sites is not None:
            self.sites.close()

    async def ended(self) -> None:
        """After `close`: no process of ours is left."""
        if self.sites is not None:
            await self.sites.ended()

    async def _new_box(self, cold: bool, instead: Box | FarBox | None = None) -> Box | FarBox:
        """A machine of the next number; `instead` of another one it takes its addresses, hall and cell."""
        drawn = machine(self.scenario, self.day.seed, self.number)
        if instead is not None:
            drawn = replace(drawn, hall=instead.machine.hall, cell=instead.machine.cell)
        name = f"s-{stream(self.day.seed, 'name', self.number).randrange(2**32):08x}"
        self.number += 1
        self.cells[name] = drawn.cell
        self.figures.cells[name] = drawn.cell
        halls = self.scenario.fleet.halls
        box: Box | FarBox = (
            FarBox(self.sites, name, drawn)
            if self.sites is not None
            else Box(
                name,
                drawn,
                self.scenario.fleet,
                self.scenario.classes,
                self.figures,
                self.books,
                self.now,
                self.day.seed,
                self.memories[drawn.hall],
                self.meter,
                tuple(halls[d % len(halls)] for d in self.doors),
            )
        )
        box.ports = dict(instead.ports) if instead is not None else {}
        await box.start(self.doors, cold)
        self.boxes.append(box)
        if self.relayed:
            self.ways[name] = {
                door: (await self.relay.add(door_name(door), drawn.hall, ("127.0.0.1", box.ports[door])))[1]
                for door in self.doors
            }
        return box

    def _member(self, box: Box | FarBox, phase: str) -> Member:
        ports = self.ways.get(box.name, box.ports)
        return Member(
            box.name,
            box.machine.hall,
            box.machine.kind,
            box.machine.cell,
            phase,
            box.started,
            tuple(ports[d] for d in self.doors),
            float(box.machine.cores),
        )

    # Doors' configuration

    def discovery(self, door: int) -> str:
        """Where a door finds the roster."""
        return f"127.0.0.1:{self.led.get('roster', self.roster.ports)[door]}"

    def config(self, door: int, listen: str, seed: int) -> dict[str, Any]:
        """What a door is told (DEPLOY, What a front door is told)."""
        revision, members = self.roster.ledger.whole(door)
        spec = self.scenario.door
        report = {"report": str(self.reports / f"n{door}.sock")} if self.reports is not None else {}
        return report | {
            "name": f"n{door}",
            "listen": listen,
            "discovery": self.discovery(door),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets},
            "counter": f"127.0.0.1:{self.led.get('keeper', self.keeper.ports)[door]}",
            "known": {"revision": revision, "complete": True, "members": [m.told(door) for m in members]},
            "settings": self.scenario.settings(door),
        }

    def write_config(self, door: int, listen: str, seed: int, path: Path) -> None:
        """Whole or not at all: a door may read it at any time."""
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config(door, listen, seed)))
        new.replace(path)

    # The timeline

    def play(self, start: int, doors: Doors) -> None:
        """Put the whole timeline on the loop; `start` in µs."""
        loop = asyncio.get_running_loop()
        for fault in self.scenario.faults:
            wait = max(0.0, (start - self.now()) / 1e6 + fault.at_s)
            loop.call_later(wait, self._begin, fault, doors)

    def _begin(self, fault: Fault, doors: Doors) -> None:
        if not self.closed:
            self.tasks.add(task := asyncio.get_running_loop().create_task(self.do(fault, doors)))
            task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a fault could not be played: %r", error)
            self.note(f"could not be played: {error!r}")

    def note(self, text: str) -> None:
        self.books.faults.append((self.now(), text))

    async def do(self, fault: Fault, doors: Doors) -> None:
        """Play one fault to its end."""
        self.note(fault.text())
        table: dict[str, Callable[[Fault, Doors], Awaitable[None]]] = {
            "box-hang": self._hang,
            "box-slow": self._slow,
            "box-crash": self._crash,
            "box-replace": self._replace,
            "box-drain": self._drain,
            "box-add": self._add,
            "box-spoil": self._spoil,
            "keeper-silent": self._keeper_silent,
            "keeper-refuse": self._keeper_refuse,
            "keeper-slow": self._keeper_slow,
            "keeper-flush": self._keeper_flush,
            "keeper-spoil": self._keeper_spoil,
            "keeper-split": self._keeper_split,
            "roster-silent": self._roster_silent,
            "roster-late": self._roster_late,
            "roster-lose": self._roster_lose,
            "hall-cut": self._hall_cut,
            "hall-slow": self._hall_slow,
            "hall-reset": self._hall_reset,
            "link-cut": self._link,
            "link-silent": self._link,
            "link-slow": self._link,
            "link-reset": self._link,
            "door-kill": self._door_kill,
            "door-restart": self._door_restart,
            "door-stall": self._door_stall,
            "door-reload": self._door_reload,
        }
        if (play := table.get(fault.do)) is not None:  # the rest is drawn into the day or the terminals'
            await play(fault, doors)

    def _some(self, count: int) -> list[Box | FarBox]:
        """Boxes that are up and in no other fault, drawn by the seed; they are this fault's until `_free`."""
        able = [b for b in self.boxes if b.up and b.name not in self.struck]
        boxes = self.random.sample(able, min(count, len(able)))
        self.struck |= {box.name for box in boxes}
        return boxes

    def _free(self, boxes: list[Box | FarBox]) -> None:
        self.struck -= {box.name for box in boxes}

    async def _hang(self, fault: Fault, _: Doors) -> None:
        boxes = self._some(fault.boxes)
        for box in boxes:
            box.set_hung(True)
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            if box.up:
                box.set_hung(False)
        self._free(boxes)

    async def _slow(self, fault: Fault, _: Doors) -> None:
        boxes = self._some(fault.boxes)
        for box in boxes:
            box.set_slower(fault.size)
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            if box.up:
                box.set_slower(1.0)
        self._free(boxes)

    async def _crash(self, fault: Fault, _: Doors) -> None:
        """The process dies and comes up again cold; the roster knows only that it runs, late."""
        boxes = self._some(fault.boxes)
        for box in boxes:
            box.crash()
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            await box.start(self.doors, cold=True)
        self.roster.change(*(self._member(box, "Ready") for box in boxes))
        self._free(boxes)
        self.note(f"{len(boxes)} boxes are up again, cold")

    async def _replace(self, fault: Fault, _: Doors) -> None:
        """Machines go for good; others, with new ids, take their addresses, which the old list still has."""
        boxes = self._some(fault.boxes)
        for box in boxes:
            box.crash()
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            gone = self._member(box, "Gone")
            new = await self._new_box(cold=True, instead=box)
            self.roster.change(gone, self._member(new, "Ready"))
        self.note(f"{len(boxes)} new boxes stand at the old addresses, cold")

    async def _drain(self, fault: Fault, _: Doors) -> None:
        boxes = self._some(fault.boxes)
        self.roster.change(*(self._member(box, "Terminating") for box in boxes))
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            box.drain()
        self.roster.change(*(self._member(box, "Gone") for box in boxes))
        self.note(f"{len(boxes)} boxes are gone")

    async def _add(self, fault: Fault, _: Doors) -> None:
        made = [await self._new_box(cold=True) for _ in range(fault.boxes)]
        self.roster.change(*(self._member(box, "Ready") for box in made))

    async def _spoil(self, fault: Fault, _: Doors) -> None:
        boxes = self._some(fault.boxes)
        for box in boxes:
            box.set_spoil(fault.size)
        await asyncio.sleep(fault.for_s)
        for box in boxes:
            box.set_spoil(0.0)
        self._free(boxes)

    async def _keeper_silent(self, fault: Fault, _: Doors) -> None:
        self.keeper.put("silent", 1)
        await asyncio.sleep(fault.for_s)
        self.keeper.put("silent", 0)
        self.note("the keeper answers again")

    async def _keeper_refuse(self, fault: Fault, _: Doors) -> None:
        self.keeper.refuse()
        await asyncio.sleep(fault.for_s)
        await self.keeper.restart(self.doors, fault.empty)
        self.note(f"the keeper is back, {'empty' if fault.empty else 'with its counts'}")

    async def _keeper_slow(self, fault: Fault, _: Doors) -> None:
        self.keeper.put("slower", fault.size)
        await asyncio.sleep(fault.for_s)
        self.keeper.put("slower", 1.0)

    async def _keeper_flush(self, fault: Fault, _: Doors) -> None:
        self.note(f"the keeper lost {await self.keeper.forget(fault.size)} names")

    async def _keeper_spoil(self, fault: Fault, _: Doors) -> None:
        self.keeper.put("spoil", fault.size)
        await asyncio.sleep(fault.for_s)
        self.keeper.put("spoil", 0.0)

    async def _keeper_split(self, fault: Fault, _: Doors) -> None:
        self.keeper.split(self.doors[: fault.door], self.doors[fault.door :])
        await asyncio.sleep(fault.for_s)
        self.keeper.heal()
        self.note("the keeper is one again, with the counts of the first doors' side")

    async def _roster_silent(self, fault: Fault, _: Doors) -> None:
        self.roster.set_silent(True)
        await asyncio.sleep(fault.for_s)
        self.roster.set_silent(False)

    async def _roster_late(self, fault: Fault, _: Doors) -> None:
        self.roster.later = fault.size
        await asyncio.sleep(fault.for_s)
        self.roster.later = 0.0

    async def _roster_lose(self, fault: Fault, _: Doors) -> None:
        self.roster.lose = fault.size
        await asyncio.sleep(fault.for_s)
        self.roster.lose = 0.0

    async def _hall_cut(self, fault: Fault, _: Doors) -> None:
        self.relay.set([fault.hall], Condition(cut=True))
        await asyncio.sleep(fault.for_s)
        self.relay.set([fault.hall], Condition())
        self.note(f"{fault.hall} is back")

    async def _hall_slow(self, fault: Fault, _: Doors) -> None:
        self.relay.set([fault.hall], Condition(delay=fault.ms / 1000))
        await asyncio.sleep(fault.for_s)
        self.relay.set([fault.hall], Condition())

    async def _hall_reset(self, fault: Fault, _: Doors) -> None:
        self.relay.reset([fault.hall])

    async def _link(self, fault: Fault, _: Doors) -> None:
        doors = [door_name(door) for door in self.doors[: fault.door]]
        if fault.do == "link-reset":
            return self.relay.reset(doors, fault.to)
        self.relay.set(
            doors,
            {
                "link-cut": Condition(cut=True),
                "link-silent": Condition(silent=True, way=fault.way),
                "link-slow": Condition(delay=fault.ms / 1000),
            }[fault.do],
            fault.to,
        )
        await asyncio.sleep(fault.for_s)
        self.relay.set(doors, Condition(), fault.to)
        self.note(f"{len(doors)} doors have their ways to {fault.to} again")

    async def _door_kill(self, fault: Fault, doors: Doors) -> None:
        await doors.kill(fault.door, fault.for_s)

    async def _door_restart(self, fault: Fault, doors: Doors) -> None:
        await doors.restart(fault.door)

    async def _door_stall(self, fault: Fault, doors: Doors) -> None:
        await doors.stall(fault.door, fault.for_s)

    async def _door_reload(self, fault: Fault, doors: Doors) -> None:
        """Roster and keeper move for all doors, since each is one service; this door is told by SIGHUP."""
        await self.roster.move(self.doors)
        await self.keeper.move(self.doors)
        for door in self.doors:
            await doors.reload(door)
