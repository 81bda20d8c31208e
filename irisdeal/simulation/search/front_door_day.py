"""Simulates a day of front doors and test services in virtual time, on machines and a network in memory.

The front doors run the production code: all of `Program`, with its signals, its drain and its configuration read
as JSON. The test services are those of `irisdeal demo`. docs/design/simulation.md lists the differences.
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
from irisdeal.testbed.service_report import Service, summarize_service
from irisdeal.testbed.workload import Day, stream

START_UNIX_TIME_US = 1_700_000_000_000_000  # Unix time when the world's clock is 0
# CPU costs of a front door; docs/design/simulation.md compares them with measured ones.
FRONT_DOOR_COSTS = Costs(turn=25, call=22, read=45, write=35, connection=110)
STARTUP_US = 150_000  # from the start of a process to its first statement: loading the program
READY_TIMEOUT_S = 30.0  # as in `demo/processes.py`, from DEPLOY
READY_POLL_INTERVAL_S = 0.02  # as in `demo/processes.py`
TERMINATION_TIMEOUT_S = 4.2  # from SIGTERM to SIGKILL, as in `demo/processes.py`
DRAIN_NOTICE_DELAY_S = 0.3  # until clients avoid a draining front door, as in `demo/processes.py`
SETTLE_S = 0.3  # after the last response, so that anything still sent is recorded
MAX_OVERTIME_S = 90.0  # beyond the day's length, after which it counts as stuck

MakeDecider = Callable[[Settings, int], Decider]


class SimulatedHost(Host):
    """The host interface of a front door on a simulated machine."""

    def __init__(self, machine: Machine, net: Network, config: Callable[[], Config]) -> None:
        self.machine, self.net, self._config = machine, net, config

    def now(self) -> int:
        """Return the Unix time in µs."""
        return START_UNIX_TIME_US + self.machine.instant()

    def create_socket(self, family: int) -> Any:
        """Return a new socket to listen with."""
        return self.net.listening(self.machine)

    def has_bytes(self, file: int) -> bool:
        """Whether a descriptor is readable."""
        return self.net.has_bytes(self.machine, file)

    def reload_config(self) -> Config:
        """Return the current configuration."""
        return self._config()

    def startup_complete(self) -> None:
        """No effect: memory is not simulated."""


class SimulatedLinks:
    """Named links with faults, as the fault proxy (`irisdeal.testbed.fault_proxy`) has on sockets."""

    def __init__(self, net: Network, now: Callable[[], int], link_faults: list[LinkFault]) -> None:
        self.net, self.now, self.link_faults = net, now, link_faults
        self.links: list[tuple[str, str, NetworkLink]] = []
        self.active_faults: dict[NetworkLink, LinkFault] = {}

    async def add(self, source: str, target: str, to: tuple[str, int]) -> tuple[str, int]:
        """Add a link from `source` to `target`; return the address that connects over it."""
        link = NetworkLink(self.net.default_link.delay, self.net.default_link.jitter)
        self.links.append((source, target, link))
        return self.net.redirect(to, link)

    def set(self, names: Any, condition: Condition, target: str = "") -> None:
        """Set the condition of the links at `names`; with a `target`, of those from `names` to it."""
        if condition.direction != "both":
            raise ValueError(
                f"link fault in direction {condition.direction}: only both directions are simulated"
            )
        selected_names, to = set(names), target
        for source, target, link in self.links:
            if (
                (source not in selected_names or target != to)
                if to
                else (source not in selected_names and target not in selected_names)
            ):
                continue
            if (fault := self.active_faults.pop(link, None)) is not None:
                fault.end = self.now()
            if condition.withholds or condition.delay:
                late = 0 if condition.withholds else round(condition.delay * 1e6)
                self.active_faults[link] = fault = LinkFault(source, target, self.now(), late=late)
                self.link_faults.append(fault)
            link.delay = self.net.default_link.delay + round(condition.delay * 1e6)
            link.rate = condition.rate
            if condition.withholds:
                link.is_stalled, link.is_partitioned = condition.stalled, condition.partitioned
            else:
                self.net.restore(link)

    def reset(self, names: Any, target: str = "") -> None:
        """Reset all connections of the links that `set` would select."""
        selected_names, to = set(names), target
        for source, target, link in self.links:
            if (
                (source in selected_names and target == to)
                if to
                else (source in selected_names or target in selected_names)
            ):
                self.net.reset_connections(link)

    def close(self) -> None:
        """No effect: nothing outside the world is open."""


@dataclass(eq=False)
class _FrontDoor:
    number: int
    address: tuple[str, int]
    core: Core
    config: dict[str, Any] = field(default_factory=dict)
    machine: Machine | None = None
    program: Program | None = None
    incarnation: FrontDoorIncarnation | None = None
    should_run: bool = True  # if it exits while True, that is a crash
    restart_number: int = 0  # number of the latest kill or restart; only that one starts it again


class SimulatedFrontDoors:
    """The processes of the front doors, and the faults that the timeline injects into them."""

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
        """`cores`: number of cores that the front doors share; 0 for one each."""
        self.platform, self.world, self.net, self.costs = platform, world, net, costs
        self.make, self.modify_program = make, modify_program
        self.random = stream(platform.day.seed, "doors")
        shared = [Core() for _ in range(cores)]
        self.doors = [
            _FrontDoor(n, ("127.0.0.1", net.free_port()), shared[n % cores] if cores else Core())
            for n in platform.front_doors
        ]
        self.load_generator: LoadGenerator | None = None
        self.crashes: list[str] = []
        self.errors: list[str] = []
        self.cpu_used_us = 0  # by all front doors that have exited
        self.on_start: Callable[[Program], None] = lambda _: None

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses of all front doors."""
        return [door.address for door in self.doors]

    @property
    def programs(self) -> list[Program]:
        """The programs that are running."""
        return [d.program for d in self.doors if d.program is not None and d.machine and not d.machine.dead]

    async def start(self) -> None:
        """Start all front doors and wait until they are ready."""
        await asyncio.gather(*(self._start(door) for door in self.doors))

    def _write_config(self, door: _FrontDoor) -> None:
        config = self.platform.config(
            door.number, f"{door.address[0]}:{door.address[1]}", self.random.getrandbits(63)
        )
        door.config = json.loads(json.dumps(config))

    async def _start(self, door: _FrontDoor) -> None:
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
        machine.ignore(signal.SIGHUP)  # as `main` does, until the program has a handler
        door.incarnation = FrontDoorIncarnation(door.number, 0, self.platform.now())
        self.platform.request_log.front_doors.append(door.incarnation)
        door.should_run = True
        machine.on_exit = lambda: self._record_exit(door, machine)
        machine.pause(self.world.now + STARTUP_US)
        machine.start(self._run(door, machine, config))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_healthy(door):
                if machine.dead:
                    return
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        door.incarnation.ready = self.platform.now()

    async def _run(self, door: _FrontDoor, machine: Machine, config: Config) -> int:
        host = SimulatedHost(machine, self.net, lambda: parse(door.config))
        program = door.program = Program(config, machine, self.make(config.settings, config.seed), host)
        self.modify_program(program)
        self.on_start(program)
        await program.run()
        return 0

    async def _is_healthy(self, door: _FrontDoor) -> bool:
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

    def _record_exit(self, door: _FrontDoor, machine: Machine) -> None:
        assert door.incarnation is not None
        door.incarnation.ended, door.incarnation.code = self.platform.now(), machine.exit_code
        self.cpu_used_us += machine.cpu_used
        self.errors += [f"door {door.number}: {error}" for error in machine.errors]
        if door.should_run:
            self.crashes.append(f"door {door.number} ended by itself with exit code {machine.exit_code}")
        if self.load_generator is not None:
            wait = self.world.now + round(self.platform.scenario.load.notice_s * 1e6)
            self.world.at(wait, "the front notices", self._report_down, door, machine)

    def _report_down(self, door: _FrontDoor, machine: Machine) -> None:
        """Stop clients from using a front door that has exited, unless it was started again."""
        if door.machine is machine and self.load_generator is not None:
            self.load_generator.front_door_down(door.number)

    # Faults of the timeline

    async def kill(self, door: int, down: float) -> None:
        """Kill a front door and start it again after `down` s."""
        front_door = self.doors[door]
        if front_door.machine is None or front_door.incarnation is None or front_door.machine.dead:
            return
        front_door.should_run = False
        front_door.restart_number = restart_number = front_door.restart_number + 1
        front_door.incarnation.killed = self.platform.now()
        front_door.machine.kill()
        await asyncio.sleep(down)
        await self._start_again(front_door, restart_number)

    async def restart(self, door: int) -> None:
        """Terminate a front door and start it again."""
        front_door = self.doors[door]
        if front_door.machine is None or front_door.machine.dead or not front_door.should_run:
            return
        front_door.restart_number = restart_number = front_door.restart_number + 1
        self._terminate(front_door)
        await self._wait_for_exit(front_door)
        await self._start_again(front_door, restart_number)

    async def stall(self, door: int, seconds: float) -> None:
        """Pause a front door's process for `seconds`."""
        front_door = self.doors[door]
        if front_door.machine is None or front_door.machine.dead:
            return
        until = self.world.now + round(seconds * 1e6)
        front_door.machine.pause(until)
        self.platform.request_log.pauses.append((door, self.platform.now(), START_UNIX_TIME_US + until))
        await asyncio.sleep(seconds)

    async def reload(self, door: int) -> None:
        """Write a new configuration for a front door and send it SIGHUP."""
        front_door = self.doors[door]
        self._write_config(front_door)
        if front_door.machine is not None:
            front_door.machine.signal(signal.SIGHUP)

    async def _start_again(self, door: _FrontDoor, restart_number: int) -> None:
        if self.platform.closed or door.restart_number != restart_number:
            return
        await self._start(door)
        if self.load_generator is not None:
            self.load_generator.front_door_up(door.number)
        self.platform.record_fault(f"door {door.number} is back")

    def _terminate(self, door: _FrontDoor) -> None:
        assert door.incarnation is not None and door.machine is not None
        door.should_run = False
        door.incarnation.terminated = self.platform.now()
        door.machine.signal(signal.SIGTERM)
        if self.load_generator is not None:
            asyncio.get_running_loop().call_later(
                DRAIN_NOTICE_DELAY_S, self.load_generator.front_door_draining, door.number
            )

    async def _wait_for_exit(self, door: _FrontDoor) -> None:
        """Wait until a front door has exited; kill it after `TERMINATION_TIMEOUT_S`."""
        assert door.machine is not None and door.incarnation is not None
        until = self.world.now + round(TERMINATION_TIMEOUT_S * 1e6)
        while not door.machine.dead:
            if self.world.now >= until:
                door.incarnation.killed = self.platform.now()
                door.machine.kill()
                return
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Terminate all front doors and wait for them."""
        running = [d for d in self.doors if d.machine is not None and not d.machine.dead]
        for door in running:
            if door.should_run:
                self._terminate(door)
        await asyncio.gather(*(self._wait_for_exit(door) for door in running))

    def kill_all(self) -> None:
        """Kill all front doors."""
        for door in self.doors:
            door.should_run = False
            if door.machine is not None:
                door.machine.kill()


@dataclass
class DayResult:
    """The results of one simulated day."""

    day: Day
    request_log: RequestLog
    verdict: Verdict
    service: Service
    start: int  # µs, Unix time
    trace: EventTrace
    seconds: float  # virtual s from start to end
    crashes: list[str]
    errors: list[str]  # uncaught errors of machines
    leftovers: list[str]  # what front doors still held after all requests were answered
    counter_calls: int
    cpu: int  # µs of all front doors
    max_timer_delay_us: int = 0  # by which a front door's latest timer was late

    @property
    def passed(self) -> bool:
        """Whether there was no failure."""
        return self.verdict.kept and not (self.crashes or self.errors or self.leftovers)

    def broken(self) -> list[str]:
        """Return the names of all failures, broken rules first."""
        names = dict.fromkeys(breach.rule.name.lower() for breach in self.verdict.breaches)
        for name, found in (("crash", self.crashes), ("error", self.errors), ("left", self.leftovers)):
            if found:
                names[name] = None
        return list(names)

    def digest(self) -> str:
        """Return a digest of the request log and of all events of the world."""
        request_log = self.request_log
        text = digest_text(
            (
                request_log.attempts,
                request_log.client_attempts,
                request_log.endpoint_notices,
                request_log.incarnations,
                request_log.overload_failures,
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
    costs: Costs = FRONT_DOOR_COSTS,
    cores: int = 0,
    recorded_block: int | None = None,
    during: Callable[[Platform, SimulatedFrontDoors, LoadGenerator], None] = lambda *_: None,
    link: NetworkLink | None = None,
) -> DayResult:
    """Simulate a day to its end.

    `modify_program` may change each front door's program before it starts; `cores`: number of cores that the front
    doors share (0: one each); `recorded_block`: block of the trace whose events are kept as text; `link`: default
    link between machines. Raises `SimulationError` if the day does not end.
    """
    world = World(day.seed, recorded_block)
    net = Network(world, link)
    machine = Machine(world, net, "stand-ins", Core(), Costs())

    def now() -> int:
        return START_UNIX_TIME_US + machine.instant()

    link_faults: list[LinkFault] = []
    platform = Platform(day, now, links=SimulatedLinks(net, now, link_faults))
    platform.request_log.link_faults = link_faults
    platform.monitors_lag = False
    doors = SimulatedFrontDoors(platform, world, net, costs, cores, make, modify_program)
    found: dict[str, Any] = {}
    over: list[int] = []

    async def run() -> int:
        await platform.start()
        await doors.start()
        load_generator = doors.load_generator = LoadGenerator(day, platform.request_log, now, doors.addresses)
        load_generator.readable = _can_read
        found["start"] = start = now() + 50_000
        platform.play(start, doors)
        during(platform, doors, load_generator)
        await load_generator.run(start)
        while platform.tasks:  # wait for front doors that are to start again
            await asyncio.wait(platform.tasks)
        # Attempts whose client has its response, or has left, end by the deadline of their request.
        await asyncio.sleep(max(c.deadline_ms for c in day.scenario.classes) / 1000 + SETTLE_S)
        found["left"] = find_leftovers(doors)
        found["latest"] = max(
            (d.machine.max_timer_delay for d in doors.doors if d.machine is not None), default=0
        )
        await doors.stop()
        load_generator.close()
        platform.close()
        over.append(1)
        return 0

    machine.start(run())
    machine.on_exit = lambda: over.append(1)
    try:
        world.run(lambda: bool(over), START_US + round((day.scenario.seconds + MAX_OVERTIME_S) * 1e6))
    finally:
        doors.kill_all()
    request_log = platform.request_log
    return DayResult(
        day,
        request_log,
        audit(request_log, platform.figures),
        summarize_service(request_log, day.scenario, found.get("start", START_UNIX_TIME_US)),
        found.get("start", START_UNIX_TIME_US),
        world.trace,
        world.seconds(),
        doors.crashes,
        doors.errors + machine.errors,
        found.get("left", []),
        platform.counter.calls,
        doors.cpu_used_us,
        found.get("latest", 0),
    )


def _can_read(sock: object) -> bool:
    assert isinstance(sock, Socket | ListeningSocket)
    return sock.is_readable()


def find_leftovers(doors: SimulatedFrontDoors) -> list[str]:
    """Describe what front doors still hold after all clients are answered: each line is a leak."""
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
