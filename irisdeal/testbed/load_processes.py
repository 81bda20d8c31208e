"""The load generator in several processes, for days with too much load for one event loop.

Each process sends every n-th request of the day with its retries, and records them on the machine's monotonic
clock. The records are merged at the end, with the stalls of the event loops.

Protocol between parent and child: the child's standard input has a pickled `LoadShard` after its length (4 bytes,
big-endian), then lines of commands. Its standard output has a line `ready` and, at the end, a pickled `ShardReport`
after its length. Pickle is safe here, since both ends are this module.
"""

from __future__ import annotations

import asyncio
import pickle
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass, replace

from irisdeal.testbed.load_generator import LATE_ANSWER_WATCH_S, Address, LoadGenerator
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.request_log import ClientAttempt, Clock, RequestLog, merge_stalls
from irisdeal.testbed.workload import Day

READY_TIMEOUT_S = 20.0  # for a process to start
REPORT_TIMEOUT_S = 60.0  # for a process to send its report after its length
MAX_REPORT_BYTES = 1 << 30  # a larger length is treated as corrupt


@dataclass(frozen=True, slots=True)
class LoadShard:
    """The load of one process: shard `number` of `shards`. `offset` (ns) is that of the run's clock."""

    day: Day
    front_doors: tuple[Address, ...]
    offset: int
    number: int
    shards: int


@dataclass(frozen=True, slots=True)
class ShardReport:
    """The records of one process."""

    client_attempts: list[ClientAttempt]
    stalls: list[tuple[int, int]]
    misbehaving_clients: dict[str, int]


class LoadProcessError(Exception):
    """A load generator process failed."""


class LoadProcesses:
    """As `LoadGenerator`, with the load divided among `shards` processes."""

    def __init__(
        self, day: Day, request_log: RequestLog, now: Clock, front_doors: list[Address], shards: int
    ) -> None:
        self.request_log = request_log
        self.shards = [
            LoadShard(
                replace(day, arrivals=day.arrivals[n::shards]), tuple(front_doors), now.offset, n, shards
            )
            for n in range(shards)
        ]
        self.processes: list[asyncio.subprocess.Process] = []
        self.cpu = 0.0

    @property
    def pids(self) -> list[int]:
        """The process ids."""
        return [process.pid for process in self.processes]

    async def prepare(self) -> None:
        """Start all processes and wait until each is ready. Raises `LoadProcessError`."""
        self.processes = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "irisdeal.testbed.load_processes",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
            for _ in self.shards
        ]
        for process, shard in zip(self.processes, self.shards, strict=True):
            assert process.stdin is not None
            text = pickle.dumps(shard)
            process.stdin.write(len(text).to_bytes(4, "big") + text)
        for process in self.processes:
            assert process.stdout is not None
            try:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    line = await process.stdout.readline()
            except TimeoutError:
                line = b""
            if line != b"ready\n":
                self.close()
                raise LoadProcessError(f"a load generator process was not ready within {READY_TIMEOUT_S:g} s")

    async def run(self, start: int) -> None:
        """Send the load from `start` (µs) on until every attempt has ended; then merge the records."""
        self._send_command(f"start {start}")
        reports = await asyncio.gather(*(self._receive_report(process) for process in self.processes))
        for report in reports:
            self.request_log.client_attempts += report.client_attempts
            for name, count in report.misbehaving_clients.items():
                self.request_log.misbehaving_clients[name] = (
                    self.request_log.misbehaving_clients.get(name, 0) + count
                )
        self.request_log.client_attempts.sort(
            key=lambda client_attempt: (client_attempt.due, client_attempt.trace)
        )
        self.request_log.max_lateness = max(
            [self.request_log.lateness, *(late for each in reports for _, late in each.stalls)]
        )
        self.request_log.stalls[:] = merge_stalls(
            self.request_log.stalls, *(report.stalls for report in reports)
        )
        for process in self.processes:
            await process.wait()

    async def _receive_report(self, process: asyncio.subprocess.Process) -> ShardReport:
        assert process.stdout is not None
        try:
            size = int.from_bytes(await process.stdout.readexactly(4), "big")
            if size > MAX_REPORT_BYTES:
                raise LoadProcessError(f"a report of {size} bytes")
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = pickle.loads(await process.stdout.readexactly(size))
        except (asyncio.IncompleteReadError, TimeoutError, pickle.UnpicklingError):
            raise LoadProcessError("a load generator process ended without its report") from None
        assert isinstance(report, ShardReport)
        return report

    def _send_command(self, line: str) -> None:
        for process in self.processes:
            if process.stdin is not None and not process.stdin.is_closing():
                process.stdin.write(line.encode() + b"\n")

    def stop(self) -> None:
        """Send no further requests."""
        self._send_command("stop")

    def close(self) -> None:
        """Kill the processes that are still running."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()

    def front_door_down(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_down`, in all processes."""
        self._send_command(f"down {front_door}")

    def front_door_draining(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_draining`, in all processes."""
        self._send_command(f"leaves {front_door}")

    def front_door_up(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_up`, in all processes."""
        self._send_command(f"up {front_door}")


async def _play(reader: asyncio.StreamReader) -> bytes:
    """Run one shard; returns its pickled report, or no bytes if the parent has ended."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    shard = pickle.loads(await reader.readexactly(size))
    assert isinstance(shard, LoadShard)
    request_log, now = RequestLog(), Clock(shard.offset)
    load_generator = LoadGenerator(
        shard.day, request_log, now, list(shard.front_doors), shard.number, shard.shards
    )
    sys.stdout.buffer.write(b"ready\n")
    sys.stdout.buffer.flush()
    lag = LoopLagMonitor(request_log.stalls, now)
    if not await _run_commands(reader, load_generator, lag):
        load_generator.close()
        tasks = (*load_generator.tasks, *load_generator.misbehaving_clients.tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        return b""
    # Record late answers to the last attempts.
    await asyncio.sleep(LATE_ANSWER_WATCH_S)
    lag.stop()
    load_generator.close()
    return pickle.dumps(
        ShardReport(request_log.client_attempts, request_log.stalls, request_log.misbehaving_clients)
    )


async def _run_commands(
    reader: asyncio.StreamReader, load_generator: LoadGenerator, lag: LoopLagMonitor
) -> bool:
    """Run the parent's commands until the load has ended; False if the parent has ended."""
    actions = {
        "down": load_generator.front_door_down,
        "leaves": load_generator.front_door_draining,
        "up": load_generator.front_door_up,
    }
    played: asyncio.Task[None] | None = None
    commands = asyncio.get_running_loop().create_task(reader.readline())
    while played is None or not played.done():
        await asyncio.wait({commands, *([played] if played else [])}, return_when=asyncio.FIRST_COMPLETED)
        if not commands.done():
            continue
        what, _, value = commands.result().decode().strip().partition(" ")
        if what == "start":
            lag.start()
            played = asyncio.get_running_loop().create_task(load_generator.run(int(value)))
        elif what == "stop":
            load_generator.stop()
        elif what == "":
            return False
        else:
            actions[what](int(value))
        commands = asyncio.get_running_loop().create_task(reader.readline())
    commands.cancel()
    return True


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    report = await _play(reader)
    if report:
        sys.stdout.buffer.write(len(report).to_bytes(4, "big") + report)
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    import uvloop

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # on Ctrl-C the parent sends "stop"
    # Import by name, so that pickled classes do not belong to `__main__`.
    from irisdeal.testbed import load_processes

    uvloop.run(load_processes._main())
