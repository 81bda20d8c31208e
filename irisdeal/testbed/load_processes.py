"""Terminals in several processes, for days that one loop cannot play in time.

Each process has every n-th first try of the day with its retries, and keeps a book of its own on the
machine's one monotonic clock; the books are laid together at the end, with the times in which
its loop stood still.

The wire is our own, between a parent and its child: the child's standard input has one pickled `Part`
behind its length (4 bytes, big end first), then lines of commands; its standard output a line `ready`, and
at the end one pickled `Book` behind its length. Pickle is safe here, since both ends are ours.
"""

from __future__ import annotations

import asyncio
import pickle
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass, replace

from irisdeal.testbed.load_generator import LATE_WATCH, Address, Terminals
from irisdeal.testbed.loop_lag import Lateness
from irisdeal.testbed.request_log import Books, Clock, Taken, lay_together
from irisdeal.testbed.workload import Day

READY_WITHIN = 20.0  # s for a process to come up
ENDS_WITHIN = 60.0  # s for a book to be handed over once the last try has ended
MOST_BOOK = 1 << 30  # bytes: a length over this is noise on the pipe


@dataclass(frozen=True, slots=True)
class Part:
    """What one process plays: the `number`-th of `parts`, with the clock's offset (ns) of the whole run."""

    day: Day
    doors: tuple[Address, ...]
    offset: int
    number: int
    parts: int


@dataclass(frozen=True, slots=True)
class Book:
    """What one process saw."""

    taken: list[Taken]
    stalls: list[tuple[int, int]]
    strangers: dict[str, int]


class CrowdError(Exception):
    """A process of terminals did not do as it should."""


class Crowd:
    """Has the calls of `Terminals`, and plays the day in `parts` processes of its own."""

    def __init__(self, day: Day, books: Books, now: Clock, doors: list[Address], parts: int) -> None:
        self.books = books
        self.parts = [
            Part(replace(day, arrivals=day.arrivals[n::parts]), tuple(doors), now.offset, n, parts)
            for n in range(parts)
        ]
        self.processes: list[asyncio.subprocess.Process] = []
        self.cpu = 0.0

    @property
    def pids(self) -> list[int]:
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
            for _ in self.parts
        ]
        for process, part in zip(self.processes, self.parts, strict=True):
            assert process.stdin is not None
            text = pickle.dumps(part)
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
                raise CrowdError(f"a process of terminals did not come up within {READY_WITHIN:g} s")

    async def run(self, start: int) -> None:
        """Play from `start` (µs) on, until every try has ended; then lay the books together."""
        self._say(f"start {start}")
        found = await asyncio.gather(*(self._book(process) for process in self.processes))
        for book in found:
            self.books.taken += book.taken
            for name, count in book.strangers.items():
                self.books.strangers[name] = self.books.strangers.get(name, 0) + count
        self.books.taken.sort(key=lambda taken: (taken.due, taken.trace))
        self.books.most_late = max([self.books.lateness, *(late for b in found for _, late in b.stalls)])
        self.books.stalls[:] = lay_together(self.books.stalls, *(book.stalls for book in found))
        for process in self.processes:
            await process.wait()

    async def _book(self, process: asyncio.subprocess.Process) -> Book:
        assert process.stdout is not None
        try:
            size = int.from_bytes(await process.stdout.readexactly(4), "big")
            if size > MOST_BOOK:
                raise CrowdError(f"a book of {size} bytes")
            async with asyncio.timeout(ENDS_WITHIN):
                book = pickle.loads(await process.stdout.readexactly(size))
        except (asyncio.IncompleteReadError, TimeoutError, pickle.UnpicklingError):
            raise CrowdError("a process of terminals ended without its book") from None
        assert isinstance(book, Book)
        return book

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

    def door_down(self, door: int) -> None:
        self._say(f"down {door}")

    def door_leaves(self, door: int) -> None:
        self._say(f"leaves {door}")

    def door_up(self, door: int) -> None:
        self._say(f"up {door}")


async def _play(reader: asyncio.StreamReader) -> bytes:
    size = int.from_bytes(await reader.readexactly(4), "big")
    part = pickle.loads(await reader.readexactly(size))
    assert isinstance(part, Part)
    books, now = Books(), Clock(part.offset)
    terminals = Terminals(part.day, books, now, list(part.doors), part.number, part.parts)
    sys.stdout.buffer.write(b"ready\n")
    sys.stdout.buffer.flush()
    played: asyncio.Task[None] | None = None
    late = Lateness(books.stalls, now)
    commands = asyncio.get_running_loop().create_task(reader.readline())
    while played is None or not played.done():
        await asyncio.wait({commands, *([played] if played else [])}, return_when=asyncio.FIRST_COMPLETED)
        if not commands.done():
            continue
        what, _, value = commands.result().decode().strip().partition(" ")
        if what == "start":
            late.start()
            played = asyncio.get_running_loop().create_task(terminals.run(int(value)))
        elif what == "stop":
            terminals.stop()
        elif what == "":  # the parent has gone
            terminals.close()
            await asyncio.gather(*terminals.tasks, *terminals.strangers.tasks, return_exceptions=True)
            return b""
        else:
            {"down": terminals.door_down, "leaves": terminals.door_leaves, "up": terminals.door_up}[what](
                int(value)
            )
        commands = asyncio.get_running_loop().create_task(reader.readline())
    commands.cancel()
    await asyncio.sleep(LATE_WATCH)  # what answers a try that was given up just now is still seen
    late.stop()
    terminals.close()
    return pickle.dumps(Book(books.taken, books.stalls, books.strangers))


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    book = await _play(reader)
    if book:
        sys.stdout.buffer.write(len(book).to_bytes(4, "big") + book)
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    import uvloop

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a Ctrl-C is the parent's, which says "stop"
    # Under its own name, so that what is pickled here is what the parent knows.
    from irisdeal.testbed import load_processes

    uvloop.run(load_processes._main())
