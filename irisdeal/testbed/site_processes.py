"""Boxes and the count keeper in processes of their own, for fleets that one loop cannot serve in time.

One process for each hall (its boxes, the memory of keys that they share, and the links that lead to them) and
one for the keeper. `Sites` is the parent's end; `FarBox`, `FarKeeper` and `FarLinks` have the calls that the
timeline makes of `Box`, `Keeper` and `Relay`. Books are kept where the fact is seen, on the machine's one
monotonic clock, and laid together at the end.

The wire is our own, between a parent and its child: frames of a length (4 bytes, big end first) and a pickled
tuple. Down: (number, call, arguments), number 0 where nobody waits. Up: (number, value), or (0, note). Pickle
is safe here, since both ends are ours. Calls take effect in the order in which they were made.
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

from irisdeal.testbed.backend import Box
from irisdeal.testbed.backend_model import HallMemory, Meter
from irisdeal.testbed.counter_service import Keeper
from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.loop_lag import Lateness
from irisdeal.testbed.request_log import Books, Clock, lay_together
from irisdeal.testbed.workload import Day, Machine

ANSWERS_WITHIN = 30.0  # s for any call: a process of ours that takes longer hangs
METER_EVERY = 0.1  # s between two tellings of what was used; the meter itself is told far later
MOST_FRAME = 1 << 30  # bytes: a length over this is noise on the pipe
KEEPER = "keeper"  # the site that has it, and the name of the links that lead there


class SiteError(Exception):
    """A process of stand-ins did not do as it should."""


@dataclass(frozen=True, slots=True)
class Order:
    """What one process is to be: a hall's, or the keeper's. `offset` (ns) is that of the run's clock."""

    day: Day
    name: str
    offset: int


def _frame(value: object) -> bytes:
    text = pickle.dumps(value)
    return len(text).to_bytes(4, "big") + text


async def _read(reader: asyncio.StreamReader) -> Any:
    """The next frame; raises IncompleteReadError at the end of the stream."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MOST_FRAME:
        raise SiteError(f"a frame of {size} bytes")
    return pickle.loads(await reader.readexactly(size))


# In the process of a site


class _SharedMeter(Meter):
    """Counts what comes here, and keeps it to be told to the other sites."""

    __slots__ = ("untold",)

    def __init__(self, day: Day) -> None:
        fleet = day.scenario.fleet
        super().__init__(
            round(fleet.meter_s * 1e6),
            round(fleet.meter_late_ms * 1000),
            {p.name: p.rate for p in day.scenario.plans},
        )
        self.untold: list[tuple[str, str, int, float, int]] = []

    def add(self, trace: str, plan: str, customer: int, units: float, now: int) -> None:
        super().add(trace, plan, customer, units, now)
        self.untold.append((trace, plan, customer, units, now))

    def hear(self, told: list[tuple[str, str, int, float, int]]) -> None:
        """What another site has counted."""
        for trace, plan, customer, units, at in told:
            super().add(trace, plan, customer, units, at)


class Site:
    """What one process has. Each method that a frame may name is a call of the parent's."""

    def __init__(self, order: Order, write: Any) -> None:
        self.day, self.name, self.write = order.day, order.name, write
        self.scenario, self.now, self.books = order.day.scenario, Clock(order.offset), Books()
        self.relay = Relay(self.now, self.books.holds)
        self.meter = _SharedMeter(order.day)
        self.memory = HallMemory(round(max(c.window_ms for c in self.scenario.classes) * 1000))
        self.figures = self.scenario.figures({})
        self.boxes: dict[str, Box] = {}
        self.keeper = Keeper(self.scenario.keeper, self.now, order.day.seed)
        self.doors = range(self.scenario.doors)
        self.late = Lateness(self.books.stalls, self.now)

    def begin(self) -> None:
        self.late.start()
        self._tell_meter()

    def _tell_meter(self) -> None:
        if self.meter.untold:
            self.write((0, ("meter", self.meter.untold)))
            self.meter.untold = []
        asyncio.get_running_loop().call_later(METER_EVERY, self._tell_meter)

    def heard(self, told: list[tuple[str, str, int, float, int]]) -> None:
        self.meter.hear(told)

    async def new_box(
        self,
        name: str,
        machine: Machine,
        ports: dict[int, int],
        cold: bool,
    ) -> tuple[dict[int, int], int]:
        """Make a box and start it; its ports by door, and since when it is up, µs."""
        halls = self.scenario.fleet.halls
        box = self.boxes[name] = _Noted(
            self,
            name,
            machine,
            self.scenario.fleet,
            self.scenario.classes,
            self.figures,
            self.books,
            self.now,
            self.day.seed,
            self.memory,
            self.meter,
            tuple(halls[d % len(halls)] for d in self.doors),
        )
        box.ports = dict(ports)
        await box.start(self.doors, cold)
        return box.ports, box.started

    async def start_box(self, name: str, cold: bool) -> int:
        """Up again, at its old ports; since when, µs."""
        await self.boxes[name].start(self.doors, cold)
        return self.boxes[name].started

    def box(self, name: str, call: str, *arguments: Any) -> None:
        box = self.boxes[name]
        if box.up or call == "crash":  # it may have fallen over meanwhile
            getattr(box, call)(*arguments)

    async def keep(self, call: str, *arguments: Any) -> Any:
        """A call of the keeper's; what it returns."""
        made = getattr(self.keeper, call)(*arguments)
        return await made if asyncio.iscoroutine(made) else made

    def keeper_ports(self) -> dict[int, int]:
        return self.keeper.ports

    async def add_link(self, source: str, target: str, to: Address) -> Address:
        return await self.relay.add(source, target, to)

    def set_links(self, names: list[str], condition: Condition, target: str) -> None:
        self.relay.set(names, condition, target)

    def reset_links(self, names: list[str], target: str) -> None:
        self.relay.reset(names, target)

    def book(self) -> tuple[Books, int]:
        """All that was seen here, and how many calls the keeper had."""
        return self.books, self.keeper.calls

    def close(self) -> None:
        self.late.stop()
        for box in self.boxes.values():
            if box.up:
                box.crash()
        self.keeper.close()
        self.relay.close()


class _Noted(Box):
    """A box whose end is told to the parent, since it may fall over by itself."""

    def __init__(self, site: Site, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.site = site

    def crash(self) -> None:
        super().crash()
        self.site.write((0, ("down", self.name)))


# In the parent's process


@dataclass(slots=True, eq=False)
class Place:
    """One process of a site, as its parent has it."""

    order: Order
    process: asyncio.subprocess.Process
    waiting: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    number: int = 0
    reader: asyncio.Task[None] | None = None
    gone: bool = False

    def tell(self, call: str, *arguments: Any) -> None:
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
        """It is gone; whoever waits for it hears so."""
        self.gone = True
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(SiteError(f"{self.order.name}: its process has ended"))


class Sites:
    """All processes of one run. Raises `SiteError` where one does not do as it should."""

    def __init__(self, day: Day, clock: Clock, books: Books) -> None:
        self.day, self.clock, self.books = day, clock, books
        self.places: dict[str, Place] = {}
        self.boxes: dict[str, FarBox] = {}
        self.keeper_calls = 0

    async def start(self) -> None:
        await asyncio.gather(*(self._start(name) for name in (*self.day.scenario.fleet.halls, KEEPER)))

    async def _start(self, name: str) -> None:
        order = Order(self.day, name, self.clock.offset)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "irisdeal.testbed.site_processes",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        place = self.places[name] = Place(order, process)
        assert process.stdin is not None
        process.stdin.write(_frame(order))
        place.reader = asyncio.get_running_loop().create_task(self._hear(place))
        await place.ask("begin")

    async def _hear(self, place: Place) -> None:
        assert place.process.stdout is not None
        try:
            while True:
                number, value = await _read(place.process.stdout)
                if number:
                    answer = place.waiting.get(number)
                    if answer is not None and not answer.done():
                        if isinstance(value, Exception):
                            answer.set_exception(SiteError(f"{place.order.name}: {value!r}"))
                        else:
                            answer.set_result(value)
                elif value[0] == "meter":
                    for other in self.places.values():
                        if other is not place and other.order.name != KEEPER:
                            other.tell("heard", value[1])
                elif value[0] == "down":
                    self.boxes[value[1]].up = False
        except (asyncio.IncompleteReadError, ConnectionError, SiteError, pickle.UnpicklingError):
            place.end()

    async def gather(self) -> None:
        """Lay the books of all processes into the run's, in the order of time."""
        found = await asyncio.gather(*(place.ask("book") for place in self.places.values()))
        books = self.books
        for told, calls in found:
            self.keeper_calls += calls
            books.attempts += told.attempts
            books.lives += told.lives
            books.fallen += told.fallen
            books.holds += told.holds
        books.attempts.sort(key=lambda attempt: (attempt.last_byte, attempt.trace))
        books.lives.sort(key=lambda life: (life.at, life.box, life.life))
        books.fallen.sort(key=lambda fallen: fallen[2])
        books.most_late = max([books.lateness, *(late for told, _ in found for _, late in told.stalls)])
        books.stalls[:] = lay_together(books.stalls, *(told.stalls for told, _ in found))

    def close(self) -> None:
        """End what still runs: processes that we started, by the handles we have kept."""
        for place in self.places.values():
            if place.reader is not None:
                place.reader.cancel()
            place.end()
            if place.process.returncode is None:
                with suppress(ProcessLookupError):
                    place.process.kill()

    async def ended(self) -> None:
        """After `close`: until all of them have ended."""
        for place in self.places.values():
            await place.process.wait()


class FarBox:
    """A box at a site, with the calls of `Box` that the timeline makes."""

    def __init__(self, sites: Sites, name: str, machine: Machine) -> None:
        self.name, self.machine, self.place = name, machine, sites.places[machine.hall]
        self.ports: dict[int, int] = {}
        self.up, self.started, self.made = False, 0, False
        sites.boxes[name] = self

    async def start(self, doors: range, cold: bool = False) -> None:
        if self.made:
            self.started = await self.place.ask("start_box", self.name, cold)
        else:
            self.ports, self.started = await self.place.ask(
                "new_box", self.name, self.machine, self.ports, cold
            )
        self.up = self.made = True

    def crash(self) -> None:
        self.up = False
        self.place.tell("box", self.name, "crash")

    def drain(self) -> None:
        self.place.tell("box", self.name, "drain")

    def set_hung(self, hung: bool) -> None:
        self.place.tell("box", self.name, "set_hung", hung)

    def set_slower(self, times: float) -> None:
        self.place.tell("box", self.name, "set_slower", times)

    def set_spoil(self, share: float) -> None:
        self.place.tell("box", self.name, "set_spoil", share)


class FarKeeper:
    """The keeper at its site, with the calls of `Keeper` that the timeline makes."""

    def __init__(self, sites: Sites) -> None:
        self.sites = sites
        self.ports: dict[int, int] = {}

    @property
    def place(self) -> Place:
        return self.sites.places[KEEPER]

    @property
    def calls(self) -> int:
        """Known once the books are laid together."""
        return self.sites.keeper_calls

    async def start(self, doors: range) -> None:
        await self.place.ask("keep", "start", doors)
        self.ports = await self.place.ask("keeper_ports")

    async def restart(self, doors: range, empty: bool) -> None:
        await self.place.ask("keep", "restart", doors, empty)

    async def move(self, doors: range) -> None:
        await self.place.ask("keep", "move", doors)
        self.ports = await self.place.ask("keeper_ports")

    def refuse(self) -> None:
        self.place.tell("keep", "refuse")

    def put(self, what: str, value: float) -> None:
        self.place.tell("keep", "put", what, value)

    async def forget(self, share: float) -> int:
        return int(await self.place.ask("keep", "flush", share))

    def split(self, *groups: Iterable[int]) -> None:
        self.place.tell("keep", "split", *(list(group) for group in groups))

    def heal(self) -> None:
        self.place.tell("keep", "heal")

    def close(self) -> None:
        """It ends with its process."""


class FarLinks:
    """Links, each in the process that it leads to; those to the roster in the parent's own."""

    def __init__(self, sites: Sites, near: Relay) -> None:
        self.sites, self.near = sites, near

    async def add(self, source: str, target: str, to: Address) -> Address:
        place = self.sites.places.get(target)
        if place is None:
            return await self.near.add(source, target, to)
        host, port = await place.ask("add_link", source, target, to)
        return host, port

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        wanted = list(names)
        self.near.set(wanted, condition, target)
        for place in self.sites.places.values():
            place.tell("set_links", wanted, condition, target)

    def reset(self, names: Iterable[str], target: str = "") -> None:
        wanted = list(names)
        self.near.reset(wanted, target)
        for place in self.sites.places.values():
            place.tell("reset_links", wanted, target)

    def close(self) -> None:
        self.near.close()


async def _serve(reader: asyncio.StreamReader) -> None:
    """The process of a site: until its parent's end of the pipe closes."""

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
