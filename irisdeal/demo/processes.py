"""Real doors as processes: started by the deployment's `run` line, signalled, watched, and ended for certain.

Each door gets a session of its own, so that a Ctrl-C at the terminal does not reach it behind the demo's
back, and so that whatever a door itself started ends with it. Nothing else is ever signalled.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import socket
import sys
import tempfile
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.testbed.load_generator import Terminals
from irisdeal.testbed.load_processes import Crowd
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import DoorLife

READY_WITHIN = 30.0  # s; DEPLOY, Limits: clients come when all doors are ready, or after 30 s
ENDS_WITHIN = 4.2  # s from SIGTERM to SIGKILL: the longest deadline (3 s at most), 0.7 s more, a margin
LEAVES = 0.3  # s after SIGTERM in which new connections go on coming; PROTOCOL, Figures: 0.2 to 0.4 s
POLL = 0.02  # s between two looks at a door's health while it starts
SAMPLE = 0.5  # s between two looks at a door's memory and descriptors
KEPT_LOG = 20_000  # bytes of a door's log that are kept for the report
TICKS = os.sysconf("SC_CLK_TCK")  # of CPU time a second, as /proc counts it


class CannotRun(Exception):
    """The demo cannot be played on this machine as asked; the text says why."""


@dataclass(slots=True)
class Use:
    """What one process used. CPU in µs since it was ready; memory in bytes and descriptors, the most of each.

    None where this machine does not tell.
    """

    cpu: int | None = None
    start_cpu: int = 0  # µs until it was ready: reading the program, not serving
    memory: int | None = None
    files: int | None = None


@dataclass(frozen=True, slots=True)
class Deploy:
    """How doors are built and run: the two lines and the folder that they are run in."""

    root: Path
    run: str
    build: str = ""


def find_deploy(start: Path, path: Path | None = None) -> Deploy:
    """`deploy/balancer.toml` in a folder or above it; without one, this interpreter's own `-m irisdeal`."""
    candidates = (
        [path]
        if path is not None
        else [folder / "deploy" / "balancer.toml" for folder in (start, *start.parents)]
    )
    for candidate in candidates:
        if candidate.is_file():
            try:
                told = tomllib.loads(candidate.read_text("utf-8"))
            except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
                raise CannotRun(f"{candidate}: {error}") from None
            run, build = told.get("run"), told.get("build", "")
            if not isinstance(run, str) or not isinstance(build, str):
                raise CannotRun(f"{candidate}: run: wanted the line that starts a door")
            return Deploy(candidate.resolve().parent.parent, run, build)
    if path is not None:
        raise CannotRun(f"{path}: no such file")
    return Deploy(start, f"exec {sys.executable} -m irisdeal")


async def build(deploy: Deploy) -> None:
    """The deployment's `build` line; quick where all is there already."""
    if not deploy.build:
        return
    made = await asyncio.create_subprocess_shell(
        deploy.build, cwd=deploy.root, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    text, _ = await made.communicate()
    if made.returncode:
        raise CannotRun(f"the build line failed: {text.decode('utf-8', 'replace').strip()[-400:]}")


def free_port() -> int:
    """A port of 127.0.0.1 that nobody has by now; by the time it is used somebody may."""
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def own_host() -> str:
    """An address of loopback that no other run on this machine has: by our process id.

    A port that was looked for and given up is anybody's until its door binds it; on an address of one's own
    nobody else looks. Where the system has the one address alone (not Linux), that one.
    """
    pid = os.getpid()  # 22 bits at most (proc(5), pid_max)
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as made:
        try:
            made.bind((host, 0))
        except OSError:
            return "127.0.0.1"
    return host


PORTS = itertools.count(10_000)  # of the doors of this process, each used once


def own_address() -> tuple[str, int]:
    """Where a door is to listen."""
    host = own_host()
    return host, free_port() if host == "127.0.0.1" else next(PORTS)


@dataclass(slots=True)
class _Door:
    number: int
    address: tuple[str, int]
    config: Path
    process: asyncio.subprocess.Process | None = None
    life: DoorLife | None = None
    wanted: bool = True  # an end that nobody asked for is a crash
    turn: int = 0  # of kills and restarts: the last one alone brings it back
    uses: list[Use] = field(default_factory=list)
    log: bytearray = field(default_factory=bytearray)
    reader: asyncio.Task[None] | None = None
    watcher: asyncio.Task[None] | None = None

    @property
    def listen(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


class DoorProcesses:
    """The doors of one run. Implements what the platform's timeline asks of doors."""

    def __init__(self, platform: Platform, deploy: Deploy, folder: Path, seed: int) -> None:
        self.platform, self.deploy, self.folder = platform, deploy, folder
        self.random = random.Random(seed)
        self.doors = [_Door(n, own_address(), folder / f"door-{n}.json") for n in platform.doors]
        self.terminals: Terminals | Crowd | None = None
        self.crashes: list[str] = []
        self.sampler: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [door.address for door in self.doors]

    async def start(self) -> None:
        """All doors, ready. Raises `CannotRun` where one does not come up."""
        await asyncio.gather(*(self._start(door) for door in self.doors))
        self.sampler = asyncio.get_running_loop().create_task(self._sample())

    async def _start(self, door: _Door) -> None:
        self.platform.write_config(door.number, door.listen, self.random.getrandbits(63), door.config)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": f"n{door.number}",
            "EDGE_LISTEN": door.listen,
            "EDGE_DISCOVERY": self.platform.discovery(door.number),
            "EDGE_CONFIG": str(door.config),
            "TMPDIR": str(self.folder),
        }
        door.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.deploy.run,
            cwd=self.deploy.root,
            env=environment,
            start_new_session=True,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        door.life = DoorLife(door.number, door.process.pid, self.platform.now())
        door.wanted = True
        door.uses.append(Use())
        self.platform.books.doors.append(door.life)
        loop = asyncio.get_running_loop()
        door.log = bytearray()
        door.reader = loop.create_task(self._read(door, door.process))
        door.watcher = loop.create_task(self._watch(door, door.process, door.life))
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await self._healthy(door):
                    if door.process.returncode is not None:
                        await asyncio.sleep(POLL)
                        last = bytes(door.log[-400:]).decode("utf-8", "replace").strip()
                        raise CannotRun(
                            f"door {door.number} ended at its start with exit code "
                            f"{door.process.returncode}: {last}"
                        )
                    await asyncio.sleep(POLL)
        except TimeoutError:
            raise CannotRun(f"door {door.number} was not ready after {READY_WITHIN:g} s") from None
        door.life.ready = self.platform.now()
        measure(door.process.pid, door.uses[-1])
        door.uses[-1].start_cpu = door.uses[-1].cpu or 0

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

    async def _read(self, door: _Door, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        log = door.log
        while chunk := await process.stdout.read(65_536):
            log += chunk
            del log[:-KEPT_LOG]

    async def _watch(self, door: _Door, process: asyncio.subprocess.Process, life: DoorLife) -> None:
        code = await process.wait()
        life.ended, life.code = self.platform.now(), code
        life.log = bytes(door.log).decode("utf-8", "replace")
        if door.wanted:
            last = life.log.strip().splitlines()[-1:] or ["no log"]
            self.crashes.append(f"door {door.number} ended by itself with exit code {code}: {last[0][:200]}")
        if self.terminals is not None:
            asyncio.get_running_loop().call_later(
                self.platform.scenario.load.notice_s, self._noticed, door, process
            )

    def _noticed(self, door: _Door, process: asyncio.subprocess.Process) -> None:
        """The front leaves a dead door out, unless another process stands there by now."""
        if door.process is process and self.terminals is not None:
            self.terminals.door_down(door.number)

    # What the timeline does

    def _signal(self, door: _Door, number: int) -> None:
        process = door.process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def kill(self, door: int, down: float) -> None:
        told = self.doors[door]
        if told.process is None or told.life is None or told.process.returncode is not None:
            return
        told.wanted = False
        told.turn = turn = told.turn + 1
        told.life.killed = self.platform.now()
        self._kill_group(told)
        await told.process.wait()
        await asyncio.sleep(down)
        await self._again(told, turn)

    async def restart(self, door: int) -> None:
        told = self.doors[door]
        if told.process is None or told.process.returncode is not None:
            return
        told.turn = turn = told.turn + 1
        self._end(told)
        await self._wait(told)
        await self._again(told, turn)

    async def stall(self, door: int, seconds: float) -> None:
        told, start = self.doors[door], self.platform.now()
        process = told.process
        if process is None or process.returncode is not None:
            return
        self._signal(told, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.platform.books.pauses.append((door, start, self.platform.now()))
            if told.process is process:
                self._signal(told, signal.SIGCONT)

    async def reload(self, door: int) -> None:
        told = self.doors[door]
        self.platform.write_config(door, told.listen, self.random.getrandbits(63), told.config)
        self._signal(told, signal.SIGHUP)

    async def _again(self, door: _Door, turn: int) -> None:
        if self.platform.closed or door.turn != turn:  # a kill amid a restart's drain: one start, not two
            return
        await self._start(door)
        if self.terminals is not None:
            self.terminals.door_up(door.number)
        self.platform.note(f"door {door.number} is back")

    def _end(self, door: _Door) -> None:
        door.wanted = False
        assert door.life is not None
        door.life.terminated = self.platform.now()
        self._signal(door, signal.SIGTERM)
        if self.terminals is not None:
            asyncio.get_running_loop().call_later(LEAVES, self.terminals.door_leaves, door.number)

    async def _wait(self, door: _Door) -> None:
        """Until it has ended; SIGKILL where it does not in time."""
        assert door.process is not None and door.life is not None
        try:
            async with asyncio.timeout(ENDS_WITHIN):
                await door.process.wait()
        except TimeoutError:
            door.life.killed = self.platform.now()
            self._kill_group(door)
            await door.process.wait()

    def _kill_group(self, door: _Door) -> None:
        assert door.process is not None
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(door.process.pid, signal.SIGKILL)  # its own session, made by us

    async def stop(self) -> None:
        """End all doors in good order."""
        if self.sampler is not None:
            self.sampler.cancel()
        self._look()
        running = [d for d in self.doors if d.process is not None and d.process.returncode is None]
        for door in running:
            self._end(door)
        await asyncio.gather(*(self._wait(door) for door in running))
        for door in self.doors:
            if door.watcher is not None:
                await door.watcher

    def kill_all(self) -> None:
        """At once, from wherever: what is still there of our doors ends."""
        for door in self.doors:
            door.wanted = False
            if door.process is not None and door.process.returncode is None:
                self._kill_group(door)

    # What they use

    async def _sample(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(SAMPLE)

    def _look(self) -> None:
        for door in self.doors:
            if door.process is not None and door.process.returncode is None:
                measure(door.process.pid, door.uses[-1])

    def use(self, door: int) -> Use:
        """Over all lives of a door: CPU added up, the most of the others."""
        total = Use()
        for use in self.doors[door].uses:
            total.cpu = use.cpu if total.cpu is None else total.cpu + (use.cpu or 0)
            total.memory = max((m for m in (total.memory, use.memory) if m is not None), default=None)
            total.files = max((f for f in (total.files, use.files) if f is not None), default=None)
        return total


def measure(pid: int, use: Use) -> None:
    """What a process uses, from /proc; where there is none (not Linux) nothing is told."""
    with suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        use.cpu = (int(fields[11]) + int(fields[12])) * 1_000_000 // TICKS - use.start_cpu
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                use.memory = int(line.split()[1]) * 1024
        use.files = max(use.files or 0, len(os.listdir(f"/proc/{pid}/fd")))


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Where the doors' configurations stand while the demo runs."""
    return tempfile.TemporaryDirectory(prefix="irisdeal-demo-")
