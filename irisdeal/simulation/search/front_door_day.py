"""One day in virtual time: the doors' own program and the stand-ins, on machines and a network in memory.

The door is the one that runs on sockets: `Program`, whole, with its signals, its drain and its configuration
read as JSON. The stand-ins are those of `irisdeal demo`. What differs is told in docs/design/simulation.md.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Decider, Settings
from irisdeal.front_door.server.config import Config, parse
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.program import Program
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import ListeningSocket, NetworkLink, Socket
from irisdeal.simulation.trace import EventTrace
from irisdeal.simulation.world import START_US, World
from irisdeal.testbed.audit import Verdict, audit
from irisdeal.testbed.digest_text import digest_text
from irisdeal.testbed.fault_proxy import Condition
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import FrontDoorIncarnation, LinkFault, RequestLog
from irisdeal.testbed.service_report import Service, reckon
from irisdeal.testbed.workload import Day, stream

EPOCH = 1_700_000_000_000_000  # µs: what the world's clock says at its own 0, as Unix time
# µs of a door's CPU; docs/design/simulation.md holds them against what real doors take.
DOOR_COSTS = Costs(turn=25, call=22, read=45, write=35, connection=110)
BOOT = 150_000  # µs until a process that was started runs its first line of ours: reading the program
READY_WITHIN, POLL = 30.0, 0.02  # s: as `demo/processes.py` has them, from DEPLOY
ENDS_WITHIN, LEAVES = 4.2, 0.3  # s, likewise
SETTLE = 0.3  # s after the last answer: what a door still sends shows
LONGEST = 90.0  # s beyond the day's own length before it counts as stuck

MakeDecider = Callable[[Settings, int], Decider]


class SimulatedHost(Host):
    """What a door asks of its machine, in memory."""

    def __init__(self, machine: Machine, net: Network, config: Callable[[], Config]) -> None:
        self.machine, self.net, self._config = machine, net, config

    def now(self) -> int:
        return EPOCH + self.machine.instant()

    def create_socket(self, family: int) -> Any:
        return self.net.listening(self.machine)

    def has_bytes(self, file: int) -> bool:
        return self.net.has_bytes(self.machine, file)

    def reload_config(self) -> Config:
        return self._config()

    def startup_complete(self) -> None:
        """No real memory is to be settled."""


class SimulatedLinks:
    """Named ways with faults, as `irisdeal.testbed.fault_proxy.Relay` on sockets."""

    def __init__(self, net: Network, now: Callable[[], int], holds: list[LinkFault]) -> None:
        self.net, self.now, self.holds = net, now, holds
        self.links: list[tuple[str, str, NetworkLink]] = []
        self.open: dict[NetworkLink, LinkFault] = {}

    async def add(self, source: str, target: str, to: tuple[str, int]) -> tuple[str, int]:
        way = NetworkLink(self.net.default_link.delay, self.net.default_link.jitter)
        self.links.append((source, target, way))
        return self.net.redirect(to, way)

    def set(self, names: Any, condition: Condition, target: str = "") -> None:
        if condition.direction != "both":
            raise ValueError(f"silence {condition.direction}: wanted both ways, in virtual time")
        wanted, to = set(names), target
        for source, target, way in self.links:
            if (
                (source not in wanted or target != to)
                if to
                else (source not in wanted and target not in wanted)
            ):
                continue
            if (hold := self.open.pop(way, None)) is not None:
                hold.end = self.now()
            if condition.withholds or condition.delay:
                late = 0 if condition.withholds else round(condition.delay * 1e6)
                self.open[way] = hold = LinkFault(source, target, self.now(), late=late)
                self.holds.append(hold)
            way.delay = self.net.default_link.delay + round(condition.delay * 1e6)
            way.rate = condition.rate
            if condition.withholds:
                way.is_stalled, way.is_partitioned = condition.stalled, condition.partitioned
            else:
                self.net.restore(way)

    def reset(self, names: Any, target: str = "") -> None:
        wanted, to = set(names), target
        for source, target, way in self.links:
            if (source in wanted and target == to) if to else (source in wanted or target in wanted):
                self.net.reset_connections(way)

    def close(self) -> None:
        """Nothing of it is outside the world."""


@dataclass(eq=False)
class _Door:
    number: int
    address: tuple[str, int]
    core: Core
    config: dict[str, Any] = field(default_factory=dict)
    machine: Machine | None = None
    program: Program | None = None
    life: FrontDoorIncarnation | None = None
    wanted: bool = True  # an end that nobody asked for is a crash
    turn: int = 0  # of kills and restarts: the last one alone brings it back


class SimulatedFrontDoors:
    """The doors' processes, and what the timeline does to them."""

    def __init__(
        self,
        platform: Platform,
        world: World,
        net: Network,
        costs: Costs,
        cores: int,
        make: MakeDecider,
        modify_program: Callable[[Program], None],
    ) -> None:
        """`cores` that the doors share; 0: one each."""
        self.platform, self.world, self.net, self.costs = platform, world, net, costs
        self.make, self.modify_program = make, modify_program
        self.random = stream(platform.day.seed, "doors")
        shared = [Core() for _ in range(cores)]
        self.doors = [
            _Door(n, ("127.0.0.1", net.free_port()), shared[n % cores] if cores else Core())
            for n in platform.front_doors
        ]
        self.terminals: LoadGenerator | None = None
        self.crashes: list[str] = []
        self.errors: list[str] = []
        self.used = 0  # µs of CPU of all doors that have ended
        self.started: Callable[[Program], None] = lambda _: None

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [door.address for door in self.doors]

    @property
    def programs(self) -> list[Program]:
        """Those that run."""
        return [d.program for d in self.doors if d.program is not None and d.machine and not d.machine.dead]

    async def start(self) -> None:
        await asyncio.gather(*(self._start(door) for door in self.doors))

    def _write_config(self, door: _Door) -> None:
        told = self.platform.config(
            door.number, f"{door.address[0]}:{door.address[1]}", self.random.getrandbits(63)
        )
        door.config = json.loads(json.dumps(told))

    async def _start(self, door: _Door) -> None:
        self._write_config(door)
        config = parse(door.config)
        machine = door.machine = Machine(
            self.world,
            self.net,
            f"door {door.number}",
            door.core,
            self.costs,
            timer_resolution=1000,
            files=config.max_sockets,
        )
        machine.ignore(signal.SIGHUP)  # until the program has a handler, as `main` has it
        door.life = FrontDoorIncarnation(door.number, 0, self.platform.now())
        self.platform.request_log.front_doors.append(door.life)
        door.wanted = True
        machine.on_exit = lambda: self._ended(door, machine)
        machine.pause(self.world.now + BOOT)
        machine.start(self._run(door, machine, config))
        async with asyncio.timeout(READY_WITHIN):
            while not await self._healthy(door):
                if machine.dead:
                    return
                await asyncio.sleep(POLL)
        door.life.ready = self.platform.now()

    async def _run(self, door: _Door, machine: Machine, config: Config) -> int:
        host = SimulatedHost(machine, self.net, lambda: parse(door.config))
        program = door.program = Program(config, machine, self.make(config.settings, config.seed), host)
        self.modify_program(program)
        self.started(program)
        await program.run()
        return 0

    async def _healthy(self, door: _Door) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*door.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /_health HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.transport.abort()

    def _ended(self, door: _Door, machine: Machine) -> None:
        assert door.life is not None
        door.life.ended, door.life.code = self.platform.now(), machine.exit_code
        self.used += machine.cpu_used
        self.errors += [f"door {door.number}: {error}" for error in machine.errors]
        if door.wanted:
            self.crashes.append(f"door {door.number} ended by itself with exit code {machine.exit_code}")
        if self.terminals is not None:
            wait = self.world.now + round(self.platform.scenario.load.notice_s * 1e6)
            self.world.at(wait, "the front notices", self._noticed, door, machine)

    def _noticed(self, door: _Door, machine: Machine) -> None:
        """The front leaves a dead door out, unless another process stands there by now."""
        if door.machine is machine and self.terminals is not None:
            self.terminals.front_door_down(door.number)

    # What the timeline does

    async def kill(self, door: int, down: float) -> None:
        told = self.doors[door]
        if told.machine is None or told.life is None or told.machine.dead:
            return
        told.wanted = False
        told.turn = turn = told.turn + 1
        told.life.killed = self.platform.now()
        told.machine.kill()
        await asyncio.sleep(down)
        await self._again(told, turn)

    async def restart(self, door: int) -> None:
        told = self.doors[door]
        if told.machine is None or told.machine.dead or not told.wanted:
            return
        told.turn = turn = told.turn + 1
        self._end(told)
        await self._wait(told)
        await self._again(told, turn)

    async def stall(self, door: int, seconds: float) -> None:
        told = self.doors[door]
        if told.machine is None or told.machine.dead:
            return
        until = self.world.now + round(seconds * 1e6)
        told.machine.pause(until)
        self.platform.request_log.pauses.append((door, self.platform.now(), EPOCH + until))
        await asyncio.sleep(seconds)

    async def reload(self, door: int) -> None:
        told = self.doors[door]
        self._write_config(told)
        if told.machine is not None:
            told.machine.signal(signal.SIGHUP)

    async def _again(self, door: _Door, turn: int) -> None:
        if self.platform.closed or door.turn != turn:
            return
        await self._start(door)
        if self.terminals is not None:
            self.terminals.front_door_up(door.number)
        self.platform.record_fault(f"door {door.number} is back")

    def _end(self, door: _Door) -> None:
        assert door.life is not None and door.machine is not None
        door.wanted = False
        door.life.terminated = self.platform.now()
        door.machine.signal(signal.SIGTERM)
        if self.terminals is not None:
            asyncio.get_running_loop().call_later(LEAVES, self.terminals.front_door_draining, door.number)

    async def _wait(self, door: _Door) -> None:
        """Until it has ended; SIGKILL where it does not in time."""
        assert door.machine is not None and door.life is not None
        until = self.world.now + round(ENDS_WITHIN * 1e6)
        while not door.machine.dead:
            if self.world.now >= until:
                door.life.killed = self.platform.now()
                door.machine.kill()
                return
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """End all doors in good order."""
        running = [d for d in self.doors if d.machine is not None and not d.machine.dead]
        for door in running:
            if door.wanted:
                self._end(door)
        await asyncio.gather(*(self._wait(door) for door in running))

    def kill_all(self) -> None:
        for door in self.doors:
            door.wanted = False
            if door.machine is not None:
                door.machine.kill()


@dataclass
class DayResult:
    """What one day in virtual time showed."""

    day: Day
    request_log: RequestLog
    verdict: Verdict
    service: Service
    start: int  # µs, as the books count
    trace: EventTrace
    seconds: float  # that the world lasted
    crashes: list[str]
    errors: list[str]  # of machines: what nobody caught
    leftovers: list[str]  # what was still there once all had been answered
    counter_calls: int
    cpu: int  # µs of all doors
    max_timer_delay_us: int = 0  # µs, the most that a door's timer was late

    @property
    def passed(self) -> bool:
        return self.verdict.kept and not (self.crashes or self.errors or self.leftovers)

    def broken(self) -> list[str]:
        """The names of all that went wrong: rules first."""
        names = dict.fromkeys(breach.rule.name.lower() for breach in self.verdict.breaches)
        for name, found in (("crash", self.crashes), ("error", self.errors), ("left", self.leftovers)):
            if found:
                names[name] = None
        return list(names)

    def digest(self) -> str:
        """Of all books, by the byte, and of every step of the world."""
        request_log = self.request_log
        text = digest_text(
            (
                request_log.attempts,
                request_log.client_attempts,
                request_log.endpoint_notices,
                request_log.incarnations,
                request_log.fallen,
                request_log.front_doors,
                request_log.link_faults,
                request_log.faults,
                request_log.misbehaving_clients,
            )
        )
        return f"{hashlib.blake2b(text.encode(), digest_size=8).hexdigest()}-{self.trace.digest()}"


def play(
    day: Day,
    make: MakeDecider = Gateway,
    modify_program: Callable[[Program], None] = lambda _: None,
    costs: Costs = DOOR_COSTS,
    cores: int = 0,
    recorded_block: int | None = None,
    during: Callable[[Platform, SimulatedFrontDoors, LoadGenerator], None] = lambda *_: None,
    way: NetworkLink | None = None,
) -> DayResult:
    """Play a day to its end.

    `spoil` may break each door before it starts; `cores` that the doors share (0: one each); `keep` a block
    of the trace as text; `way` what lies between any two. Raises `SimulationError` where the world does
    not come to its end.
    """
    world = World(day.seed, recorded_block)
    net = Network(world, way)
    machine = Machine(world, net, "stand-ins", Core(), Costs())

    def now() -> int:
        return EPOCH + machine.instant()

    holds: list[LinkFault] = []
    platform = Platform(day, now, links=SimulatedLinks(net, now, holds))
    platform.request_log.link_faults = holds
    platform.monitors_lag = False
    doors = SimulatedFrontDoors(platform, world, net, costs, cores, make, modify_program)
    found: dict[str, Any] = {}
    over: list[int] = []

    async def run() -> int:
        await platform.start()
        await doors.start()
        terminals = doors.terminals = LoadGenerator(day, platform.request_log, now, doors.addresses)
        terminals.readable = _can_read
        found["start"] = start = now() + 50_000
        platform.play(start, doors)
        during(platform, doors, terminals)
        await terminals.run(start)
        while platform.tasks:  # a door that is to come back does
            await asyncio.wait(platform.tasks)
        # What is still out where the client has its answer, or has left, ends by its deadline at the latest.
        await asyncio.sleep(max(c.deadline_ms for c in day.scenario.classes) / 1000 + SETTLE)
        found["left"] = find_leftovers(doors)
        found["latest"] = max(
            (d.machine.max_timer_delay for d in doors.doors if d.machine is not None), default=0
        )
        await doors.stop()
        terminals.close()
        platform.close()
        over.append(1)
        return 0

    machine.start(run())
    machine.on_exit = lambda: over.append(1)
    try:
        world.run(lambda: bool(over), START_US + round((day.scenario.seconds + LONGEST) * 1e6))
    finally:
        doors.kill_all()
    request_log = platform.request_log
    return DayResult(
        day,
        request_log,
        audit(request_log, platform.figures),
        reckon(request_log, day.scenario, found.get("start", EPOCH)),
        found.get("start", EPOCH),
        world.trace,
        world.seconds(),
        doors.crashes,
        doors.errors + machine.errors,
        found.get("left", []),
        platform.counter.calls,
        doors.used,
        found.get("latest", 0),
    )


def _can_read(sock: object) -> bool:
    assert isinstance(sock, Socket | ListeningSocket)
    return sock.is_readable()


def find_leftovers(doors: SimulatedFrontDoors) -> list[str]:
    """What doors still hold, with every client answered: each line is something that would pile up."""
    found = []
    for door in doors.doors:
        program, machine = door.program, door.machine
        if program is None or machine is None or machine.dead:
            continue
        held: dict[str, int] = {
            "open requests": len(program.decision_loop.requests),
            "unanswered requests": program.decision_loop.unanswered_count,
            "open traces": len(program.clients.open_traces),
            "attempts out": sum(c.attempt is not None for c in program.pool.connections),
            "lost connections in the pool": sum(c.lost for c in program.pool.connections),
        }
        if isinstance(decider := program.decision_loop.decider, Gateway):
            held |= {
                "requests in the module": len(decider.requests),
                "requests in the queue": decider.queue.entries,
                "calls to the counter": sum(map(len, decider.demand_calls.values())),
                "attempts out in the module": decider.in_flight,
            }
        if program.decision_loop.counter is not None:
            held["calls in lines"] = sum(
                not call.is_answered
                for line in program.decision_loop.counter.connections
                for call in line.calls
            )
        found += [f"door {door.number}: {count} {name}" for name, count in held.items() if count]
    return found
