"""An asyncio event loop in virtual time, on a core whose CPU time is counted.

It implements the calls of `asyncio.AbstractEventLoop` that the programs use, so they run on it unchanged. Its
clock is the world's; each iteration (turn) takes CPU time by the model `Costs`, during which nothing else runs
on its core. Within a turn, time advances by the work done so far, so that data written late in a long turn is
sent late. The order within a turn is that of libuv: timers, then callbacks that are ready, then
readable descriptors.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import math
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Protocol, TypeVar

from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.world import World

T = TypeVar("T")
ExceptionHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object]

# `Any`, since a type checker requires all 40 calls; those not implemented here raise NotImplementedError.
BaseLoop: Any = asyncio.AbstractEventLoop

# Timers due later than this never fire.
MAX_TIMER_DELAY_US = 10 * 365 * 86_400 * 1_000_000
# Longer delays are reduced to this one before they are rounded.
MAX_DELAY_S = 1e9
# Cancelled timers are removed only where there are more timers than this.
MIN_TIMERS_FOR_CLEANUP = 1_000
# Timers set between two removals of cancelled ones.
TIMERS_BETWEEN_CLEANUPS = 512


class Readable(Protocol):
    """A descriptor that an event loop reads."""

    def deliver(self) -> None:
        """Read once and pass the data to the protocol."""


class SimulatedEventLoop(BaseLoop):  # type: ignore[misc]
    """The event loop of one process."""

    def __init__(self, world: World, name: str, core: Core, costs: Costs, timer_resolution: int) -> None:
        """`timer_resolution`: µs that its timers count in (uvloop's: 1000)."""
        self.world, self.name, self.core, self.costs = world, name, core, costs
        self.timer_resolution = timer_resolution
        self.dead = False  # the process has ended
        self.turn_cost = 0  # µs of the current turn
        self.cpu_used = 0  # µs in total
        self.turns = 0
        self.max_timer_delay = 0  # µs by which the latest timer was late
        self.errors: list[str] = []
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[int, int, asyncio.TimerHandle]] = []
        self._timer_sequence = 0
        self._readable: dict[Readable, None] = {}
        self._next_turn_at: int | None = None
        self._in_turn = False
        self._paused_until = 0
        self._exception_handler: ExceptionHandler | None = None

    # Time

    def instant(self) -> int:
        """Return the current time in µs, including the CPU time of the current turn so far."""
        return int(self.world.now + self.turn_cost)

    def time(self) -> float:
        """Return the loop's time in s: that of the start of the turn, in multiples of the timers' resolution."""
        return self._rounded_now() / 1e6

    def _rounded_now(self) -> int:
        return int(self.world.now // self.timer_resolution * self.timer_resolution)

    def spend(self, cost: int) -> None:
        """Add `cost` µs of CPU to the current turn."""
        self.turn_cost += cost

    # Turns

    def request_turn(self, when: int | None = None) -> None:
        """Schedule a turn at `when` (µs), or now."""
        if self.dead or self._in_turn:
            return
        at = self.world.now if when is None else when
        if self._next_turn_at is not None and at >= self._next_turn_at:
            return
        at = max(at, self._paused_until)
        if self._next_turn_at is None or at < self._next_turn_at:
            self._next_turn_at = at
            self.world.at(at, self.name, self._scheduled_turn, at)

    def _scheduled_turn(self, at: int) -> None:
        if self.dead or at != self._next_turn_at:
            return  # replaced by an earlier turn
        self._next_turn_at = None
        if self.core.free_at > self.world.now or self.core.waiting:
            self.core.wait(self)
        else:
            self.turn()

    def turn(self) -> None:
        """Run one iteration; the core is free."""
        if self.dead:
            return
        if self._paused_until > self.world.now:
            self.request_turn(self._paused_until)
            return
        self._in_turn, self.turn_cost = True, self.costs.turn
        self.turns += 1
        events._set_running_loop(self)
        try:
            self._run_timers()
            self._run_ready()
            self._run_readers()
        finally:
            events._set_running_loop(None)
            self._in_turn = False
            self.cpu_used += self.turn_cost
            self.core.free_at = self.world.now + self.turn_cost
            self.turn_cost = 0
        if self.dead:
            return
        if self._ready or self._readable:
            self.request_turn(self.core.free_at)
        elif self._timers:
            self.request_turn(self._next_timer())

    def _run_timers(self) -> None:
        clock, now, timers = self._rounded_now(), self.world.now, self._timers
        while timers and timers[0][0] <= clock and not self.dead:
            due, _, timer = heapq.heappop(timers)
            if not timer.cancelled():
                self.max_timer_delay = max(self.max_timer_delay, now - due)
                self.turn_cost += self.costs.call
                timer._run()

    def _run_ready(self) -> None:
        for _ in range(len(self._ready)):
            if self.dead:
                break
            handle = self._ready.popleft()
            if not handle.cancelled():
                self.turn_cost += self.costs.call
                handle._run()

    def _run_readers(self) -> None:
        for readable in list(self._readable):
            if self.dead:
                break
            if readable in self._readable:  # a reader before it may have closed it
                self.turn_cost += self.costs.read
                readable.deliver()

    def _next_timer(self) -> int:
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else self.world.now + MAX_TIMER_DELAY_US

    def set_readable(self, descriptor: Readable, is_readable: bool) -> None:
        """Record whether this descriptor is readable."""
        if is_readable:
            self._readable[descriptor] = None
            self.request_turn()
        else:
            self._readable.pop(descriptor, None)

    def pause(self, until: int) -> None:
        """Run nothing before `until` (µs), as a process that is stopped, swapped out or collecting garbage."""
        self._paused_until = max(self._paused_until, until)

    def waiting_tasks(self) -> Iterator[str]:
        """Describe the tasks that wait, for errors of a simulation that cannot continue."""
        for task in self._tasks:
            if not task.done():
                yield f"{self.name}: {task.get_name()} in {_location(task)}"

    # Calls of asyncio.AbstractEventLoop

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """As in asyncio."""
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self._ready.append(handle)
            self.request_turn()
        return handle

    def call_later(
        self,
        delay: float,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """As in asyncio; `delay` is rounded to the timers' resolution."""
        if math.isnan(delay):
            raise ValueError("delay is not a number")
        resolution = self.timer_resolution
        rounded = round(max(0.0, min(delay, MAX_DELAY_S)) * 1e6 / resolution) * resolution
        wait = min(MAX_TIMER_DELAY_US, rounded)
        due = self.instant() + wait if resolution == 1 else self._rounded_now() + wait
        timer = asyncio.TimerHandle(due / 1e6, callback, args, self, context)
        if self.dead:
            return timer
        if wait == 0:
            self._ready.append(timer)
        else:
            self._timer_sequence += 1
            heapq.heappush(self._timers, (due, self._timer_sequence, timer))
            timer._scheduled = True  # type: ignore[attr-defined]  # so that its cancel() notifies this loop
        self.request_turn(due)
        return timer

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """As in asyncio."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Remove cancelled timers periodically where there are many; otherwise they are skipped when due."""
        if len(self._timers) > MIN_TIMERS_FOR_CLEANUP and self._timer_sequence % TIMERS_BETWEEN_CLEANUPS == 0:
            self._timers = [timer for timer in self._timers if not timer[2].cancelled()]
            heapq.heapify(self._timers)

    def create_future(self) -> asyncio.Future[Any]:
        """As in asyncio."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        """As in asyncio."""
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks[task] = None
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)

    def get_debug(self) -> bool:
        """As in asyncio: never in debug mode."""
        return False

    def set_debug(self, enabled: bool) -> None:
        """As in asyncio, without effect."""

    def is_running(self) -> bool:
        """As in asyncio."""
        return self._in_turn

    def is_closed(self) -> bool:
        """As in asyncio."""
        return self.dead

    def set_exception_handler(self, handler: ExceptionHandler | None) -> None:
        """As in asyncio."""
        self._exception_handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """As in asyncio; the error is also added to `errors`, since a real loop would only log it."""
        if self._exception_handler is not None:
            self._exception_handler(self, context)
        self.errors.append(f"{context.get('message', 'error')}: {context.get('exception')!r}")


def _location(task: asyncio.Task[Any]) -> str:
    """Return the function and line that a task waits in, of the innermost coroutine that has one."""
    coro: Any = task.get_coro()
    while getattr(getattr(coro, "cr_await", None), "cr_frame", None) is not None:
        coro = coro.cr_await
    if (frame := getattr(coro, "cr_frame", None)) is None:
        return repr(coro)
    return f"{frame.f_code.co_qualname} ({frame.f_code.co_filename.rpartition('/')[2]}:{frame.f_lineno})"
