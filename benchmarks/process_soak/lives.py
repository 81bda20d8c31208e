"""The lives of the soak's processes, from start to end, and the judge of how they end.

A process that was not told to end must not end. One that got SIGTERM ends with code 0 within the grace period.
Each process is ready within `RECOVERY_S` of its start, or of the end of the last trouble that kept it from that.
None holds more memory than its limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.loopback_deployment import (
    CONTROL_PORT,
    GRACE_S,
    MEMORY_MB,
    PORT_RANGE,
    READINESS_PORT,
    RECOVERY_S,
    Deployment,
)
from irisdeal.runtime.exit_codes import ExitCode

POLL_INTERVAL_S = 0.01
MEMORY_POLL_INTERVAL_S = 0.03
READINESS_POLL_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 1.0
BOOT_SAMPLE_COUNT = 5
LOG_TAIL_LINES = 3
SHOWN_SIGNALS = 6
KIB_PER_MB = 1024
PROCESS_CPU_CLOCK = (
    2  # CPUCLOCK_SCHED of Linux: the id of a process's clock is made of its complement and this
)


@dataclass(frozen=True)
class Violation:
    """One broken rule: what happened to which process, and the last lines of its log."""

    rule: str
    process: str
    detail: str
    log: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.process}: {self.detail} | {self.log}"


@dataclass
class Life:
    """One run of a program, from its start to its end. Times are in s on the monotonic clock."""

    role: str
    ip: str
    process: subprocess.Popen[bytes]
    log: bytearray = field(default_factory=bytearray)
    started_at: float = field(default_factory=time.monotonic)
    stop_requested_at: float | None = None
    is_killed: bool = False
    is_ended: bool = False
    was_signalled_unprepared: bool = False  # before the interpreter can have run a line of the program
    is_ready: bool = False
    excused_until: float = 0.0  # end of the last trouble that holds the process up
    troubles: int = 0  # that hold it up now
    signals: list[str] = field(default_factory=list)
    does_disk_refuse: bool = False  # all writes, by a trouble

    @property
    def name(self) -> str:
        """Role and address."""
        return f"{self.role} {self.ip}"

    def log_tail(self) -> str:
        """Return the last lines that the process logged."""
        lines = self.log.decode(errors="replace").strip().splitlines()
        return " / ".join(lines[-LOG_TAIL_LINES:])

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        with contextlib.suppress(OSError):
            return time.clock_gettime(~self.process.pid << 3 | PROCESS_CPU_CLOCK)
        return 0.0

    def catches(self, number: int) -> bool:
        """Return whether the process has a handler for a signal, or ignores it."""
        masks = {}
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                name, _, value = line.partition(":")
                if name in ("SigCgt", "SigIgn"):
                    masks[name] = int(value, 16)
        return any(mask >> (number - 1) & 1 for mask in masks.values())

    def private_mb(self) -> float:
        """Return the private memory that the process holds, in MB."""
        with contextlib.suppress(OSError, ValueError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / KIB_PER_MB
        return 0.0


def interpreter_boot_cpu_s() -> float:
    """Return the processor time before the interpreter runs the first line of a program: the most of some runs."""
    source = "import signal, time\nprint(time.process_time())\n"
    command = [sys.executable, "-S", "-m", "empty_program"]
    with tempfile.TemporaryDirectory(prefix="process-soak-") as folder:
        Path(folder, "empty_program.py").write_text(source)
        runs = [
            subprocess.run(command, cwd=folder, capture_output=True, check=True)
            for _ in range(BOOT_SAMPLE_COUNT)
        ]
    return max(float(run.stdout) for run in runs)


class Lives:
    """All lives of one run, and the judge's findings."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.boot_cpu_s = interpreter_boot_cpu_s()
        self.current: dict[tuple[str, str], Life] = {}
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.peak_mb = 0.0
        self.slowest_ready_s = 0.0
        self.slowest_end_s = 0.0
        self.readers: set[asyncio.Task[None]] = set()

    # Starts and signals

    def start(self, role: str, ip: str, is_first: bool = False) -> Life:
        """Start a process."""
        life = Life(role, ip, self.deployment.start(role, ip, is_first))
        self.current[role, ip] = life
        self.counts["starts"] += 1
        reader = asyncio.create_task(self._read_log(life), name=life.name)
        self.readers.add(reader)
        reader.add_done_callback(self.readers.discard)
        return life

    async def _read_log(self, life: Life) -> None:
        assert life.process.stderr is not None
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.connect_read_pipe(lambda: protocol, life.process.stderr)
        try:
            with contextlib.suppress(ValueError, OSError):
                while line := await reader.readline():
                    life.log += line
        finally:
            transport.close()

    def send(self, life: Life, number: signal.Signals) -> None:
        """Send a signal, and note what it asks for."""
        if life.process.poll() is not None:
            return
        life.signals.append(f"{number.name}@{time.monotonic() - life.started_at:.3f}")
        if number is signal.SIGTERM and life.stop_requested_at is None:
            life.stop_requested_at = time.monotonic()
        if number is signal.SIGKILL:
            life.is_killed = True
        elif number in (signal.SIGHUP, signal.SIGTERM) and not life.catches(number):
            life.was_signalled_unprepared |= life.cpu_s() <= self.boot_cpu_s
        life.process.send_signal(number)

    @contextlib.contextmanager
    def trouble(self, *lives: Life) -> Iterator[None]:
        """Mark processes as held up by a trouble: readiness and ends are judged from its end."""
        for life in lives:
            life.troubles += 1
        try:
            yield
        finally:
            for life in lives:
                life.troubles -= 1
                life.excused_until = time.monotonic()
                life.is_ready = False

    async def stop(self, life: Life) -> None:
        """Send SIGTERM, and wait for the end."""
        self.send(life, signal.SIGTERM)
        await self.wait(life)

    async def kill(self, life: Life) -> None:
        """Send SIGKILL, and wait for the end."""
        self.send(life, signal.SIGKILL)
        await self.wait(life)

    async def wait(self, life: Life) -> None:
        """Wait until the judge has seen the end of a process."""
        while not life.is_ended:
            await asyncio.sleep(POLL_INTERVAL_S)

    # The judge

    def _report(self, rule: str, life: Life, detail: str) -> None:
        told = f"{detail}; last signals {' '.join(life.signals[-SHOWN_SIGNALS:]) or 'none'}"
        self.violations.append(Violation(rule, life.name, told, life.log_tail()))

    async def watch_ends(self) -> None:
        """Judge each end, and each process that does not end in time; the platform then kills it."""
        while True:
            for life in list(self.current.values()):
                if not life.is_ended:
                    self._check_end(life)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _check_end(self, life: Life) -> None:
        code, now = life.process.poll(), time.monotonic()
        if code is None:
            since = max(life.stop_requested_at or now, life.excused_until)
            if not life.troubles and not life.is_killed and now - since > GRACE_S:
                self._report("LATE END", life, f"runs {now - since:.1f} s after SIGTERM")
                self.send(life, signal.SIGKILL)
            return
        life.is_ended = True
        if life.is_killed:
            self.counts["killed"] += 1
        elif code < 0 and life.was_signalled_unprepared:
            self.counts["signalled before the first line of the program"] += 1
        elif life.does_disk_refuse and code == ExitCode.FAILED:
            # RULES, Own ends: an end during trouble on the machine does not count.
            self.counts["ended while its disk refused writes"] += 1
        elif life.stop_requested_at is None:
            self._report("OWN END", life, f"code {code}, {now - life.started_at:.2f} s after its start")
        elif code != 0:
            self._report(
                "EXIT CODE", life, f"code {code}, {now - life.stop_requested_at:.2f} s after SIGTERM"
            )
        else:
            self.counts["ended with code 0"] += 1
            self.slowest_end_s = max(self.slowest_end_s, now - life.stop_requested_at)

    async def watch_memory(self) -> None:
        """Judge the memory of all processes."""
        while True:
            for life in list(self.current.values()):
                if not life.is_ended:
                    used_mb = life.private_mb()
                    self.peak_mb = max(self.peak_mb, used_mb)
                    if used_mb > MEMORY_MB and not life.is_killed:
                        self._report("MEMORY", life, f"holds {used_mb:.0f} MB of {MEMORY_MB:.0f}")
                        self.send(life, signal.SIGKILL)
            await asyncio.sleep(MEMORY_POLL_INTERVAL_S)

    async def watch_readiness(self) -> None:
        """Judge how long each process takes until it is ready."""
        while True:
            waiting = [life for life in self.current.values() if self._should_become_ready(life)]
            await asyncio.gather(*(self._check_ready(life) for life in waiting))
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    @staticmethod
    def _should_become_ready(life: Life) -> bool:
        is_stopping = life.is_ended or life.is_killed or life.stop_requested_at is not None
        return not (life.is_ready or is_stopping or life.troubles)

    async def _check_ready(self, life: Life) -> None:
        is_ready = await _answers(life.role, life.ip)
        if not self._should_become_ready(life):
            return
        waited_s = time.monotonic() - max(life.started_at, life.excused_until)
        if is_ready:
            life.is_ready = True
            self.slowest_ready_s = max(self.slowest_ready_s, waited_s)
        elif waited_s > RECOVERY_S:
            life.is_ready = True  # reported once
            self._report("NOT READY", life, f"after {waited_s:.1f} s")

    async def wait_until(self, is_true: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition; return whether it came true in time."""
        until = time.monotonic() + timeout_s
        while not is_true() and time.monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
        return is_true()

    def all_ready(self) -> bool:
        """Whether all processes that should run are ready."""
        return all(life.is_ready and not life.is_ended for life in self.current.values())


async def _answers(role: str, ip: str) -> bool:
    """Return whether a process serves: a proxy its readiness, a registry its status, a store its port."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            port = {"proxy": READINESS_PORT, "registry": CONTROL_PORT}.get(role, PORT_RANGE[0])
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                if role == "config_store":
                    return True
                path = "/readiness" if role == "proxy" else "/status"
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
