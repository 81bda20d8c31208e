"""The load generator in several processes, for days that one event loop cannot play in time.

Each process plays every n-th first attempt of the day with its retries, and records them on the machine's one
monotonic clock; the records are merged at the end, with the times at which its event loop was stalled.

Protocol between the parent and its child: the child's standard input has one pickled `LoadShard` behind its
length (4 bytes, big end first), then lines of commands; its standard output a line `ready`, and at the end one
pickled `ShardReport` behind its length. Pickle is safe here, since both ends are this module.
"""

from __future__ import annotations

import asyncio
import pickle
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass, replace

from irisdeal.testbed.load_generator import LATE_WATCH, Address, LoadGenerator
from irisdeal.testbed.loop_lag import LoopLagMonitor
from irisdeal.testbed.request_log import ClientAttempt, Clock, RequestLog, lay_together
from irisdeal.testbed.workload import Day

READY_WITHIN = 20.0  # s for a process to come up
ENDS_WITHIN = 60.0  # s for a report to be handed over once the last attempt has ended
MAX_REPORT = 1 << 30  # bytes: a length over this is noise on the pipe


@dataclass(frozen=True, slots=True)
class LoadShard:
    """What one process plays: the `number`-th of `parts`, with the clock's offset (ns) of the whole run."""

    day: Day
    front_doors: tuple[Address, ...]
    offset: int
    number: int
    shards: int


@dataclass(frozen=True, slots=True)
class ShardReport:
    """What one process saw."""

    client_attempts: list[ClientAttempt]
    stalls: list[tuple[int, int]]
    misbehaving_clients: dict[str, int]


class LoadProcessError(Exception):
    """A process of load generators did not do as it should."""


class LoadProcesses:
    """Has the calls of `Load generators`, and plays the day in `parts` processes of its own."""

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
        """Start all processes and wait until each can play. Raises `CrowdError`."""
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
                async with asyncio.timeout(READY_WITHIN):
                    line = await process.stdout.readline()
            except TimeoutError:
                line = b""
            if line != b"ready\n":
                self.close()
                raise LoadProcessError(f"a process of terminals did not come up within {READY_WITHIN:g} s")

    async def run(self, start: int) -> None:
        """Play from `start` (µs) on, until every attempt has ended; then merge the request logs."""
        self._say(f"start {start}")
        found = await asyncio.gather(*(self._receive_report(process) for process in self.processes))
        for report in found:
            self.request_log.client_attempts += report.client_attempts
            for name, count in report.misbehaving_clients.items():
                self.request_log.misbehaving_clients[name] = (
                    self.request_log.misbehaving_clients.get(name, 0) + count
                )
        self.request_log.client_attempts.sort(
            key=lambda client_attempt: (client_attempt.due, client_attempt.trace)
        )
        self.request_log.most_late = max(
            [self.request_log.lateness, *(late for b in found for _, late in b.stalls)]
        )
        self.request_log.stalls[:] = lay_together(
            self.request_log.stalls, *(report.stalls for report in found)
        )
        for process in self.processes:
            await process.wait()

    async def _receive_report(self, process: asyncio.subprocess.Process) -> ShardReport:
        assert process.stdout is not None
        try:
            size = int.from_bytes(await process.stdout.readexactly(4), "big")
            if size > MAX_REPORT:
                raise LoadProcessError(f"a book of {size} bytes")
            async with asyncio.timeout(ENDS_WITHIN):
                report = pickle.loads(await process.stdout.readexactly(size))
        except (asyncio.IncompleteReadError, TimeoutError, pickle.UnpicklingError):
            raise LoadProcessError("a process of terminals ended without its book") from None
        assert isinstance(report, ShardReport)
        return report

    def _say(self, line: str) -> None:
        for process in self.processes:
            if process.stdin is not None and not process.stdin.is_closing():
                process.stdin.write(line.encode() + b"\n")

    def stop(self) -> None:
        """Ask nothing new."""
        self._say("stop")

    def close(self) -> None:
        """End what still runs: processes that we started, by the handles we have kept."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()

    def front_door_down(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_down`, in all processes."""
        self._say(f"down {front_door}")

    def front_door_draining(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_draining`, in all processes."""
        self._say(f"leaves {front_door}")

    def front_door_up(self, front_door: int) -> None:
        """As `LoadGenerator.front_door_up`, in all processes."""
        self._say(f"up {front_door}")


async def _play(reader: asyncio.StreamReader) -> bytes:
    """Play one shard as the parent commands; its pickled report, or nothing where the parent has gone."""
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
    if not await _obey(reader, load_generator, lag):
        load_generator.close()
        tasks = (*load_generator.tasks, *load_generator.misbehaving_clients.tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        return b""
    await asyncio.sleep(LATE_WATCH)  # what answers an attempt that was given up just now is still seen
    lag.stop()
    load_generator.close()
    return pickle.dumps(
        ShardReport(request_log.client_attempts, request_log.stalls, request_log.misbehaving_clients)
    )


async def _obey(reader: asyncio.StreamReader, load_generator: LoadGenerator, lag: LoopLagMonitor) -> bool:
    """Follow the parent's commands until the day is played; whether the parent is still there."""
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

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a Ctrl-C is the parent's, which says "stop"
    # Under its own name, so that what is pickled here is what the parent knows.
    from irisdeal.testbed import load_processes

    uvloop.run(load_processes._main())
