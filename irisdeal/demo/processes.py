"""Real front doors as processes: started by the deployment's `run` command, signalled, sampled and ended.

Each front door has its own session, so that Ctrl-C at the terminal reaches the demo alone, and so that its child
processes can be ended with it. No other processes are signalled.
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

READY_TIMEOUT_S = 30.0  # DEPLOY, Limits: the load starts when all front doors are ready, or after 30 s
SHUTDOWN_TIMEOUT_S = 4.2  # from SIGTERM to SIGKILL: the longest deadline (3 s) + 0.7 s + margin
LOAD_BALANCER_DELAY_S = 0.3  # new connections arrive this long after SIGTERM; PROTOCOL, Figures: 0.2 to 0.4 s
HEALTH_POLL_S = 0.02  # between health checks during the start
USAGE_INTERVAL_S = 0.5  # between samples of memory and descriptors
MAX_LOG_BYTES = 20_000  # kept for the report, the end of the log


@dataclass(slots=True)
class _FrontDoor:
    number: int
    address: tuple[str, int]
    config: Path
    process: asyncio.subprocess.Process | None = None
    incarnation: FrontDoorIncarnation | None = None
    expected_up: bool = True  # an exit while this is true is a crash
    restart_number: int = 0  # of kills and restarts; only the last one starts a process
    uses: list[ProcessUsage] = field(default_factory=list)
    log: bytearray = field(default_factory=bytearray)
    reader: asyncio.Task[None] | None = None
    watcher: asyncio.Task[None] | None = None

    @property
    def listen(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"


class FrontDoorProcesses:
    """The front doors of one run. Implements `FrontDoors` for the platform's timeline."""

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
        """Start all front doors, and wait until they are ready. Raises `DemoError` if one fails to start."""
        await asyncio.gather(*(self._start(front_door) for front_door in self.front_doors))
        self.sampler = asyncio.get_running_loop().create_task(self._sample_usage())

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
        front_door.expected_up = True
        front_door.uses.append(ProcessUsage())
        self.platform.request_log.front_doors.append(front_door.incarnation)
        loop = asyncio.get_running_loop()
        front_door.log = bytearray()
        front_door.reader = loop.create_task(self._read_log(front_door, front_door.process))
        front_door.watcher = loop.create_task(
            self._wait_for_end(front_door, front_door.process, front_door.incarnation)
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
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_healthy(front_door):
                    process = front_door.process  # may have been replaced by a restart of the timeline
                    if process is not None and process.returncode is not None:
                        await asyncio.sleep(HEALTH_POLL_S)
                        last = bytes(front_door.log[-400:]).decode("utf-8", "replace").strip()
                        raise DemoError(
                            f"door {front_door.number} ended at its start with exit code "
                            f"{process.returncode}: {last}"
                        )
                    await asyncio.sleep(HEALTH_POLL_S)
        except TimeoutError:
            raise DemoError(f"door {front_door.number} was not ready after {READY_TIMEOUT_S:g} s") from None

    async def _is_healthy(self, front_door: _FrontDoor) -> bool:
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

    async def _read_log(self, front_door: _FrontDoor, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        log = front_door.log
        while chunk := await process.stdout.read(65_536):
            log += chunk
            del log[:-MAX_LOG_BYTES]

    async def _wait_for_end(
        self, front_door: _FrontDoor, process: asyncio.subprocess.Process, incarnation: FrontDoorIncarnation
    ) -> None:
        code = await process.wait()
        incarnation.ended, incarnation.code = self.platform.now(), code
        incarnation.log = bytes(front_door.log).decode("utf-8", "replace")
        if front_door.expected_up:
            last = incarnation.log.strip().splitlines()[-1:] or ["no log"]
            self.crashes.append(
                f"door {front_door.number} ended by itself with exit code {code}: {last[0][:200]}"
            )
        if self.load_generator is not None:
            asyncio.get_running_loop().call_later(
                self.platform.scenario.load.notice_s, self._remove_from_load, front_door, process
            )

    def _remove_from_load(self, front_door: _FrontDoor, process: asyncio.subprocess.Process) -> None:
        """Remove an ended front door from the load balancer, unless it has been restarted."""
        if front_door.process is process and self.load_generator is not None:
            self.load_generator.front_door_down(front_door.number)

    # Faults of the timeline

    def _signal(self, front_door: _FrontDoor, number: int) -> None:
        process = front_door.process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def kill(self, front_door: int, down: float) -> None:
        """Kill a front door with SIGKILL, and restart it after `down` s."""
        target = self.front_doors[front_door]
        if target.process is None or target.incarnation is None or target.process.returncode is not None:
            return
        target.expected_up = False
        target.restart_number = restart_number = target.restart_number + 1
        target.incarnation.killed = self.platform.now()
        self._kill_group(target)
        await target.process.wait()
        await asyncio.sleep(down)
        await self._restart_process(target, restart_number)

    async def restart(self, front_door: int) -> None:
        """End a front door with SIGTERM, and restart it once it has ended."""
        target = self.front_doors[front_door]
        if target.process is None or target.process.returncode is not None:
            return
        target.restart_number = restart_number = target.restart_number + 1
        self._terminate(target)
        await self._wait_for_exit(target)
        await self._restart_process(target, restart_number)

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
        """Rewrite a front door's configuration and send it SIGHUP."""
        target = self.front_doors[front_door]
        self.platform.write_config(front_door, target.listen, self.random.getrandbits(63), target.config)
        self._signal(target, signal.SIGHUP)

    async def _restart_process(self, front_door: _FrontDoor, restart_number: int) -> None:
        # A kill during the drain of a restart must start one process, not two.
        if self.platform.closed or front_door.restart_number != restart_number:
            return
        await self._start(front_door)
        if self.load_generator is not None:
            self.load_generator.front_door_up(front_door.number)
        self.platform.record_fault(f"door {front_door.number} is back")

    def _terminate(self, front_door: _FrontDoor) -> None:
        front_door.expected_up = False
        assert front_door.incarnation is not None
        front_door.incarnation.terminated = self.platform.now()
        self._signal(front_door, signal.SIGTERM)
        if self.load_generator is not None:
            asyncio.get_running_loop().call_later(
                LOAD_BALANCER_DELAY_S, self.load_generator.front_door_draining, front_door.number
            )

    async def _wait_for_exit(self, front_door: _FrontDoor) -> None:
        """Wait for the end of the process; sends SIGKILL after `SHUTDOWN_TIMEOUT_S`."""
        assert front_door.process is not None and front_door.incarnation is not None
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await front_door.process.wait()
        except TimeoutError:
            front_door.incarnation.killed = self.platform.now()
            self._kill_group(front_door)
            await front_door.process.wait()

    def _kill_group(self, front_door: _FrontDoor) -> None:
        assert front_door.process is not None
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(front_door.process.pid, signal.SIGKILL)  # the process has its own session

    async def stop(self) -> None:
        """Shut down all front doors gracefully."""
        if self.sampler is not None:
            self.sampler.cancel()
        self._measure_all()
        running = [d for d in self.front_doors if d.process is not None and d.process.returncode is None]
        for front_door in running:
            self._terminate(front_door)
        await asyncio.gather(*(self._wait_for_exit(front_door) for front_door in running))
        for front_door in self.front_doors:
            if front_door.watcher is not None:
                await front_door.watcher

    def kill_all(self) -> None:
        """Kill all front doors that are still running, with their process groups."""
        for front_door in self.front_doors:
            front_door.expected_up = False
            if front_door.process is not None and front_door.process.returncode is None:
                self._kill_group(front_door)

    # Resource usage

    async def _sample_usage(self) -> None:
        while True:
            self._measure_all()
            await asyncio.sleep(USAGE_INTERVAL_S)

    def _measure_all(self) -> None:
        for front_door in self.front_doors:
            if front_door.process is not None and front_door.process.returncode is None:
                measure_usage(front_door.process.pid, front_door.uses[-1])

    def usage(self, front_door: int) -> ProcessUsage:
        """Return the usage over all processes of a front door: total CPU time, maximum of the others."""
        total = ProcessUsage()
        for use in self.front_doors[front_door].uses:
            total.cpu = use.cpu if total.cpu is None else total.cpu + (use.cpu or 0)
            total.memory = max((m for m in (total.memory, use.memory) if m is not None), default=None)
            total.files = max((f for f in (total.files, use.files) if f is not None), default=None)
        return total


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Create a temporary folder for the configurations of the front doors."""
    return tempfile.TemporaryDirectory(prefix="irisdeal-demo-")
