"""Machines: an event loop of its own for each process, on a core whose time is counted.

A machine has the calls of an `asyncio` event loop, so the programs that run on it are those that run on real
ones, unchanged. What is different: its clock is the world's; each turn of the loop takes CPU time by a stated
model (`Costs`), in which nothing else runs on its core and nothing of it is late in the world outside; it can
be killed at any moment, told signals, and paused.

Within a turn time goes on by what was done so far, so that what is written late in a long turn leaves late.
The order within a turn is libuv's: timers, then what was called soon, then what can be read.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import inspect
import math
import signal
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

from irisdeal.simulation.world import World

if TYPE_CHECKING:
    from irisdeal.simulation.network import Network, Readable

T = TypeVar("T")

# Of its 40 calls, all of which a type checker wants, those that are not here raise NotImplementedError.
Loop: Any = asyncio.AbstractEventLoop

FOREVER = 10 * 365 * 86_400 * 1_000_000  # µs: a timer later than this never comes


@dataclass(frozen=True, slots=True)
class Costs:
    """µs of CPU at the machine's own core. All 0: a machine that is never late, as stand-ins want it."""

    turn: int = 0  # of the loop, whatever it does
    call: int = 0  # each callback and each timer
    read: int = 0  # each read
    write: int = 0  # each write
    connection: int = 0  # each that is opened or accepted


@dataclass(slots=True)
class Core:
    """One core. Machines on the same one take turns, in the order in which they came to wait for it."""

    free_at: int = 0  # µs
    waiting: deque[Machine] = field(default_factory=deque)

    def wait(self, machine: Machine) -> None:
        if machine not in self.waiting:
            self.waiting.append(machine)
            if len(self.waiting) == 1:
                machine.world.at(self.free_at, "a core", self._next)

    def _next(self) -> None:
        """Free again: the first of those that wait has it."""
        world = self.waiting[0].world
        if self.free_at <= world.now:
            self.waiting.popleft().turn()
        if self.waiting:
            world.at(max(self.free_at, world.now), "a core", self._next)


class Machine(Loop):  # type: ignore[misc]
    """One process: its loop, its descriptors, its end."""

    def __init__(
        self,
        world: World,
        net: Network,
        name: str,
        core: Core,
        costs: Costs,
        grain: int = 1,
        files: int = 1_000_000,
    ) -> None:
        """`grain`: what its timers count in, µs (uvloop's: 1000). `files`: the most descriptors of it."""
        self.world, self.net, self.name, self.core, self.costs = world, net, name, core, costs
        self.grain, self.most_files = grain, files
        self.files: dict[int, object] = {}
        self._next_file = 2
        self.disk_time = 2_000  # µs that an act on its disk takes
        self.dead = False
        self.died_at: int | None = None  # µs
        self.exit_code: int | None = None  # of its end: 0 and up its own, below 0 a signal's
        self.on_exit: Callable[[], None] = lambda: None
        self.spent = 0  # µs of the present turn
        self.used = 0  # µs of CPU in all
        self.turns = 0
        self.latest = 0  # µs, the most that a timer was late
        self.errors: list[str] = []
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[int, int, asyncio.TimerHandle]] = []
        self._numbers = 0
        self._readable: dict[Readable, None] = {}
        self._wake: int | None = None  # when the next turn is put down for
        self._in_turn = False
        self._paused_until = 0
        self._signals: dict[int, Callable[[], None]] = {}
        self._ignored: set[int] = set()
        self._main: asyncio.Task[Any] | None = None
        self._exceptions: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        world.waiting.append(self.who_waits)

    # Time

    def instant(self) -> int:
        """µs by now, what this turn has taken so far included."""
        return self.world.now + self.spent

    def time(self) -> float:
        """s, as the loop counts it: from the begin of the turn, in whole grains."""
        return self.world.now // self.grain * self.grain / 1e6

    def spend(self, cost: int) -> None:
        """The work at hand takes so much of the core."""
        self.spent += cost

    # Turns

    def poke(self, when: int | None = None) -> None:
        """A turn is wanted at that time (µs), or now."""
        if self.dead or self._in_turn:
            return
        at = self.world.now if when is None else when
        if self._wake is not None and at >= self._wake:
            return
        at = max(at, self._paused_until)
        if self._wake is None or at < self._wake:
            self._wake = at
            self.world.at(at, self.name, self._turn, at)

    def _turn(self, at: int) -> None:
        if self.dead or at != self._wake:
            return  # an earlier one has come
        self._wake = None
        if self.core.free_at > self.world.now or self.core.waiting:
            return self.core.wait(self)
        self.turn()

    def turn(self) -> None:
        """One turn of the loop; the core is free."""
        if self.dead:
            return
        if self._paused_until > self.world.now:
            return self.poke(self._paused_until)
        self._in_turn, self.spent = True, self.costs.turn
        self.turns += 1
        costs, now = self.costs, self.world.now
        events._set_running_loop(self)
        try:
            clock = now // self.grain * self.grain
            timers = self._timers
            while timers and timers[0][0] <= clock and not self.dead:
                due, _, timer = heapq.heappop(timers)
                if not timer.cancelled():
                    self.latest = max(self.latest, now - due)
                    self.spent += costs.call
                    timer._run()
            for _ in range(len(self._ready)):
                if self.dead:
                    break
                handle = self._ready.popleft()
                if not handle.cancelled():
                    self.spent += costs.call
                    handle._run()
            if self._readable:
                for readable in list(self._readable):
                    if self.dead:
                        break
                    if readable in self._readable:  # it may have been closed by one before it
                        self.spent += costs.read
                        readable.deliver()
        finally:
            events._set_running_loop(None)
            self._in_turn = False
            self.used += self.spent
            self.core.free_at = self.world.now + self.spent
            self.spent = 0
        if self.dead:
            return
        if self._ready or self._readable:
            self.poke(self.core.free_at)
        elif self._timers:
            self.poke(self._next_timer())

    def _next_timer(self) -> int:
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else self.world.now + FOREVER

    def readable(self, one: Readable, there_is: bool) -> None:
        """Whether it has something that this loop is to read."""
        if there_is:
            self._readable[one] = None
            self.poke()
        else:
            self._readable.pop(one, None)

    # Life and death

    def start(self, main: Coroutine[Any, Any, int]) -> None:
        """Run a program; what it returns is its exit code, and with it the process ends."""
        self._main = self.create_task(main)
        self._main.add_done_callback(self._returned)

    def _returned(self, task: asyncio.Task[int]) -> None:
        if task.cancelled():
            return self.end(1)
        if (error := task.exception()) is not None:
            self.errors.append(f"ended by {error!r}")
            return self.end(1)
        self.end(int(task.result()))

    def signal(self, number: int) -> None:
        """A signal comes. Without a handler it ends the process, as a real one; `ignore` says otherwise."""
        if self.dead:
            return
        if (handler := self._signals.get(number)) is not None:
            self.call_soon(handler)
        elif number not in self._ignored:
            self.end(-number)

    def ignore(self, number: int) -> None:
        self._ignored.add(number)

    def kill(self) -> None:
        """SIGKILL: at this very µs, wherever it stands."""
        self.end(-int(signal.SIGKILL))

    def pause(self, until: int) -> None:
        """It does not run until then (µs): stopped, swapped out, or in a long pass of its collector."""
        self._paused_until = max(self._paused_until, until)

    def end(self, code: int) -> None:
        """The process is gone. The system closes what it held; what it had not written is lost."""
        if self.dead:
            return
        self.dead, self.exit_code, self.died_at = True, code, self.instant()
        for held in list(self.files.values()):
            self.net.close(held)
        self.files.clear()
        self._ready.clear()
        self._timers.clear()
        self._readable.clear()
        for task in self._tasks:  # they died with their machine
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coro: Any = task.get_coro()
            if inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
                coro.close()  # else it would be told that it was never run
        self.world.waiting.remove(self.who_waits)
        self.on_exit()

    def open_file(self, what: object) -> int:
        """A new descriptor, of a number not used before. OSError (EMFILE) where it may hold no more."""
        if len(self.files) >= self.most_files:
            raise OSError(24, "Too many open files")
        self._next_file += 1
        self.files[self._next_file] = what
        return self._next_file

    def who_waits(self) -> Iterator[str]:
        """For whoever asks why nothing goes on."""
        for task in self._tasks:
            if not task.done():
                yield f"{self.name}: {task.get_name()} in {_where(task)}"

    # asyncio's calls

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self._ready.append(handle)
            self.poke()
        return handle

    def call_later(
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        if math.isnan(delay):
            raise ValueError("delay is not a number")
        wait = min(FOREVER, round(max(0.0, min(delay, 1e9)) * 1e6 / self.grain) * self.grain)
        due = self.world.now // self.grain * self.grain + wait
        if self.grain == 1:
            due = self.instant() + wait
        timer = asyncio.TimerHandle(due / 1e6, callback, args, self, context)
        if self.dead:
            return timer
        if wait == 0:
            self._ready.append(timer)
        else:
            self._numbers += 1
            heapq.heappush(self._timers, (due, self._numbers, timer))
            timer._scheduled = True  # type: ignore[attr-defined]  # its cancel() tells us then
        self.poke(due)
        return timer

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Cancelled ones are passed over when they come; past half they are taken out."""
        if len(self._timers) > 1_000 and self._numbers % 512 == 0:
            self._timers = [entry for entry in self._timers if not entry[2].cancelled()]
            heapq.heapify(self._timers)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks[task] = None
        task.add_done_callback(self._task_over)
        return task

    def _task_over(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:
        def call() -> None:
            callback(*args)

        self._signals[sig] = call

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(sig, None) is not None

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        pass

    def is_running(self) -> bool:
        return self._in_turn

    def is_closed(self) -> bool:
        return self.dead

    def set_exception_handler(
        self,
        handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None,
    ) -> None:
        self._exceptions = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """An error that nobody caught: kept, since on a real loop it would only be in the log."""
        if self._exceptions is not None:
            self._exceptions(self, context)
        self.errors.append(f"{context.get('message', 'error')}: {context.get('exception')!r}")

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """Done `disk_time` µs from now, at once and whole; not at all where the process ends before."""
        done: asyncio.Future[Any] = self.create_future()

        def act() -> None:
            if self.dead or done.done():
                return
            try:
                done.set_result(func(*args))
            except Exception as error:  # whoever waits is to have it, whatever it is
                done.set_exception(error)

        self.world.at(self.world.now + self.disk_time, f"disk of {self.name}", act)
        return done

    # Sockets, which the network has

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        fd.watch(lambda: callback(*args))

    def remove_reader(self, fd: Any) -> bool:
        return bool(fd.unwatch())

    async def create_connection(
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        **_: Any,
    ) -> Any:
        return await self.net.connect(self, protocol_factory, (str(host), int(port)))

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **_: Any) -> Any:
        return await self.net.take(self, protocol_factory, sock)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        return self.net.serve(self, protocol_factory, (str(host), int(port)))


def _where(task: asyncio.Task[Any]) -> str:
    """The line that a task waits in, the innermost of its coroutines that has one."""
    coro: Any = task.get_coro()
    while getattr(getattr(coro, "cr_await", None), "cr_frame", None) is not None:
        coro = coro.cr_await
    if (frame := getattr(coro, "cr_frame", None)) is None:
        return repr(coro)
    return f"{frame.f_code.co_qualname} ({frame.f_code.co_filename.rpartition('/')[2]}:{frame.f_lineno})"
