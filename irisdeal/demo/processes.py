"""Real front doors as processes: started by the deployment's `run` line, signalled, sampled and ended.

Each front door gets a session of its own, so that a Ctrl-C at the terminal does not reach it before the demo
does, and so that the processes that it started end with it. Nothing else is ever signalled.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.demo.deployment import DemoError, Deployment, own_address
from irisdeal.demo.usage import ProcessUsage, measure_usage
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.load_processes import LoadProcesses
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import FrontDoorIncarnation

READY_WITHIN = 30.0  # s; DEPLOY, Limits: clients come when all front doors are ready, or after 30 s
ENDS_WITHIN = 4.2  # s from SIGTERM to SIGKILL: the longest deadline (3 s at most), 0.7 s more, a margin
LEAVES = 0.3  # s after SIGTERM in which new connections go on coming; PROTOCOL, Figures: 0.2 to 0.4 s
POLL = 0.02  # s between two looks at a front door's health while it starts
SAMPLE = 0.5  # s between two looks at a front door's memory and descriptors
KEPT_LOG = 20_000  # bytes of a front door's log that are kept for the report


@dataclass(slots=True)
class _FrontDoor:
    number: int
    address: tuple[str, int]
    config: Path
    process: asyncio.subprocess.Process | None = None
    incarnation: FrontDoorIncarnation | None = None
    wanted: bool = True  # an end that nobody asked for is a crash
    turn: int = 0  # of kills and restarts: the last one alone brings it back
    uses: list[ProcessUsage] = field(default_factory=list)
    log: bytearray = field(default_factory=bytearray)
    reader: asyncio.Task[None] | None = None
    watcher: asyncio.Task[None] | None = None

    @property
    def listen(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"


class FrontDoorProcesses:
    """The front doors of one run. Implements what the platform's timeline asks of front doors."""

    def __init__(self, platform: Platform, deploy: Deployment, folder: Path, seed: int) -> None:
        self.platform, self.deploy, self.folder = platform, deploy, folder
        self.random = random.Random(seed)
        self.front_doors = [
            _FrontDoor(n, own_address(), folder / f"door-{n}.json") for n in platform.front_doors
        ]
        self.load_generator: LoadGenerator | LoadProcesses | None = None
        self.crashes: list[str] = []
        self.sampler: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses that the front doors listen on, in their order."""
        return [front_door.address for front_door in self.front_doors]

    async def start(self) -> None:
        """All front doors, ready. Raises `DemoError` where one does not come up."""
        await asyncio.gather(*(self._start(front_door) for front_door in self.front_doors))
        self.sampler = asyncio.get_running_loop().create_task(self._sample())

    async def _start(self, front_door: _FrontDoor) -> None:
        self.platform.write_config(
            front_door.number, front_door.listen, self.random.getrandbits(63), front_door.config
        )
        front_door.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.deploy.run,
            cwd=self.deploy.root,
            env=self._environment(front_door),
            start_new_session=True,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        front_door.incarnation = FrontDoorIncarnation(
            front_door.number, front_door.process.pid, self.platform.now()
        )
        front_door.wanted = True
        front_door.uses.append(ProcessUsage())
        self.platform.request_log.front_doors.append(front_door.incarnation)
        loop = asyncio.get_running_loop()
        front_door.log = bytearray()
        front_door.reader = loop.create_task(self._read(front_door, front_door.process))
        front_door.watcher = loop.create_task(
            self._watch(front_door, front_door.process, front_door.incarnation)
        )
        await self._wait_until_ready(front_door)
        front_door.incarnation.ready = self.platform.now()
        measure_usage(front_door.process.pid, front_door.uses[-1])
        front_door.uses[-1].start_cpu = front_door.uses[-1].cpu or 0

    def _environment(self, front_door: _FrontDoor) -> dict[str, str]:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        return environment | {
            "EDGE_NAME": f"n{front_door.number}",
            "EDGE_LISTEN": front_door.listen,
            "EDGE_DISCOVERY": self.platform.discovery_address(front_door.number),
            "EDGE_CONFIG": str(front_door.config),
            "TMPDIR": str(self.folder),
        }

    async def _wait_until_ready(self, front_door: _FrontDoor) -> None:
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await self._healthy(front_door):
                    process = front_door.process  # another one, where the timeline has restarted it meanwhile
                    if process is not None and process.returncode is not None:
                        await asyncio.sleep(POLL)
                        last = bytes(front_door.log[-400:]).decode("utf-8", "replace").strip()
                        raise DemoError(
                            f"door {front_door.number} ended at its start with exit code "
                            f"{process.returncode}: {last}"
                        )
                    await asyncio.sleep(POLL)
        except TimeoutError:
            raise DemoError(f"door {front_door.number} was not ready after {READY_WITHIN:g} s") from None

    async def _healthy(self, front_door: _FrontDoor) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*front_door.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /_health HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.transport.abort()

    async def _read(self, front_door: _FrontDoor, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        log = front_door.log
        while chunk := await process.stdout.read(65_536):
            log += chunk
            del log[:-KEPT_LOG]

    async def _watch(
        self, front_door: _FrontDoor, process: asyncio.subprocess.Process, incarnation: FrontDoorIncarnation
    ) -> None:
        code = await process.wait()
        incarnation.ended, incarnation.code = self.platform.now(), code
        incarnation.log = bytes(front_door.log).decode("utf-8", "replace")
        if front_door.wanted:
            last = incarnation.log.strip().splitlines()[-1:] or ["no log"]
            self.crashes.append(
                f"door {front_door.number} ended by itself with exit code {code}: {last[0][:200]}"
            )
        if self.load_generator is not None:
            asyncio.get_running_loop().call_later(
                self.platform.scenario.load.notice_s, self._noticed, front_door, process
            )

    def _noticed(self, front_door: _FrontDoor, process: asyncio.subprocess.Process) -> None:
        """Remove a dead front door from the load, unless another process has its place by now."""
        if front_door.process is process and self.load_generator is not None:
            self.load_generator.front_door_down(front_door.number)

    # What the timeline does

    def _signal(self, front_door: _FrontDoor, number: int) -> None:
        process = front_door.process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def kill(self, front_door: int, down: float) -> None:
        """Kill a front door with SIGKILL, and start it again after `down` s."""
        target = self.front_doors[front_door]
        if target.process is None or target.incarnation is None or target.process.returncode is not None:
            return
        target.wanted = False
        target.turn = turn = target.turn + 1
        target.incarnation.killed = self.platform.now()
        self._kill_group(target)
        await target.process.wait()
        await asyncio.sleep(down)
        await self._restart_process(target, turn)

    async def restart(self, front_door: int) -> None:
        """End a front door with SIGTERM, and start it again once it has ended."""
        target = self.front_doors[front_door]
        if target.process is None or target.process.returncode is not None:
            return
        target.turn = turn = target.turn + 1
        self._end(target)
        await self._wait(target)
        await self._restart_process(target, turn)

    async def stall(self, front_door: int, seconds: float) -> None:
        """Stop a front door with SIGSTOP for `seconds`."""
        target, start = self.front_doors[front_door], self.platform.now()
        process = target.process
        if process is None or process.returncode is not None:
            return
        self._signal(target, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.platform.request_log.pauses.append((front_door, start, self.platform.now()))
            if target.process is process:
                self._signal(target, signal.SIGCONT)

    async def reload(self, front_door: int) -> None:
        """Write a front door's configuration anew and send it SIGHUP."""
        target = self.front_doors[front_door]
        self.platform.write_config(front_door, target.listen, self.random.getrandbits(63), target.config)
        self._signal(target, signal.SIGHUP)

    async def _restart_process(self, front_door: _FrontDoor, turn: int) -> None:
        if (
            self.platform.closed or front_door.turn != turn
        ):  # a kill amid a restart's drain: one start, not two
            return
        await self._start(front_door)
        if self.load_generator is not None:
            self.load_generator.front_door_up(front_door.number)
        self.platform.record_fault(f"door {front_door.number} is back")

    def _end(self, front_door: _FrontDoor) -> None:
        front_door.wanted = False
        assert front_door.incarnation is not None
        front_door.incarnation.terminated = self.platform.now()
        self._signal(front_door, signal.SIGTERM)
        if self.load_generator is not None:
            asyncio.get_running_loop().call_later(
                LEAVES, self.load_generator.front_door_draining, front_door.number
            )

    async def _wait(self, front_door: _FrontDoor) -> None:
        """Until it has ended; SIGKILL where it does not in time."""
        assert front_door.process is not None and front_door.incarnation is not None
        try:
            async with asyncio.timeout(ENDS_WITHIN):
                await front_door.process.wait()
        except TimeoutError:
            front_door.incarnation.killed = self.platform.now()
            self._kill_group(front_door)
            await front_door.process.wait()

    def _kill_group(self, front_door: _FrontDoor) -> None:
        assert front_door.process is not None
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(front_door.process.pid, signal.SIGKILL)  # its own session, made by us

    async def stop(self) -> None:
        """End all front doors in good order."""
        if self.sampler is not None:
            self.sampler.cancel()
        self._measure_all()
        running = [d for d in self.front_doors if d.process is not None and d.process.returncode is None]
        for front_door in running:
            self._end(front_door)
        await asyncio.gather(*(self._wait(front_door) for front_door in running))
        for front_door in self.front_doors:
            if front_door.watcher is not None:
                await front_door.watcher

    def kill_all(self) -> None:
        """At once, from wherever: what is still there of our front doors ends."""
        for front_door in self.front_doors:
            front_door.wanted = False
            if front_door.process is not None and front_door.process.returncode is None:
                self._kill_group(front_door)

    # What they use

    async def _sample(self) -> None:
        while True:
            self._measure_all()
            await asyncio.sleep(SAMPLE)

    def _measure_all(self) -> None:
        for front_door in self.front_doors:
            if front_door.process is not None and front_door.process.returncode is None:
                measure_usage(front_door.process.pid, front_door.uses[-1])

    def use(self, front_door: int) -> ProcessUsage:
        """Over all lives of a front door: CPU added up, the most of the others."""
        total = ProcessUsage()
        for use in self.front_doors[front_door].uses:
            total.cpu = use.cpu if total.cpu is None else total.cpu + (use.cpu or 0)
            total.memory = max((m for m in (total.memory, use.memory) if m is not None), default=None)
            total.files = max((f for f in (total.files, use.files) if f is not None), default=None)
        return total


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Where the front doors' configurations stand while the demo runs."""
    return tempfile.TemporaryDirectory(prefix="irisdeal-demo-")
