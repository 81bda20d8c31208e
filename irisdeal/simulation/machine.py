"""A simulated process: its event loop, its descriptors, signals and termination.

Programs run on it unchanged, since it implements the calls of an asyncio event loop. It can be killed at any
moment, receive signals, and be paused. Its sockets are those of a `NetworkStack`.
"""

from __future__ import annotations

import asyncio
import inspect
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.event_loop import SimulatedEventLoop
from irisdeal.simulation.world import World

T = TypeVar("T")
Address = tuple[str, int]  # host and port
ProtocolFactory = Callable[[], Any]

# Duration of an operation on the disk, unless a simulation sets another one.
DISK_TIME_US = 2_000
# Open descriptors of a process, unless a simulation sets a lower limit.
MAX_DESCRIPTORS = 1_000_000
# The highest descriptor of the standard streams; others are numbered from the next one on.
STDERR_FILENO = 2


class WatchedSocket(Protocol):
    """A listening socket whose readability a loop can watch."""

    def watch(self, callback: Callable[[], object]) -> None:
        """Call back whenever there is something to read."""

    def unwatch(self) -> bool:
        """Stop calling back; return whether it was watched."""


class ServerHandle(Protocol):
    """A server that listens on an address."""

    def close(self) -> None:
        """Stop listening."""


class NetworkStack(Protocol):
    """The calls of the network that a machine uses."""

    async def connect(
        self, machine: Machine, factory: ProtocolFactory, address: Address
    ) -> tuple[asyncio.Transport, Any]:
        """Open a connection; return its transport and protocol."""

    async def adopt(
        self, machine: Machine, factory: ProtocolFactory, sock: object
    ) -> tuple[asyncio.Transport, Any]:
        """Create the transport of an accepted connection; return it and its protocol."""

    def serve(self, machine: Machine, factory: ProtocolFactory, address: Address) -> ServerHandle:
        """Listen on an address; return the server."""

    def close(self, descriptor: object) -> None:
        """Close a descriptor."""


class Machine(SimulatedEventLoop):
    """One process on a machine of its own, or on a core that it shares."""

    def __init__(
        self,
        world: World,
        net: NetworkStack,
        name: str,
        core: Core,
        costs: Costs,
        timer_resolution: int = 1,
        files: int = MAX_DESCRIPTORS,
    ) -> None:
        """`timer_resolution`: µs that its timers count in; `files`: the most descriptors that it may have."""
        super().__init__(world, name, core, costs, timer_resolution)
        self.net, self.max_files = net, files
        self.files: dict[int, object] = {}  # descriptors
        self._last_descriptor = STDERR_FILENO
        self.disk_time_us = DISK_TIME_US
        self.died_at: int | None = None  # µs
        self.exit_code: int | None = None  # as in subprocess: -N after signal N
        self.on_exit: Callable[[], None] = lambda: None
        self._signals: dict[int, Callable[[], None]] = {}
        self._ignored_signals: set[int] = set()
        self._main: asyncio.Task[int] | None = None
        world.wait_reporters.append(self.waiting_tasks)

    # Start and end

    def start(self, main: Coroutine[Any, Any, int]) -> None:
        """Run a program; the process ends when it returns, with the returned exit code."""
        self._main = self.create_task(main)
        self._main.add_done_callback(self._main_done)

    def _main_done(self, task: asyncio.Task[int]) -> None:
        if task.cancelled():
            return self.end(1)
        if (error := task.exception()) is not None:
            self.errors.append(f"ended by {error!r}")
            return self.end(1)
        self.end(int(task.result()))

    def signal(self, number: int) -> None:
        """Deliver a signal. Without a handler it ends the process, as a real one, unless it is ignored."""
        if self.dead:
            return
        if (handler := self._signals.get(number)) is not None:
            self.call_soon(handler)
        elif number not in self._ignored_signals:
            self.end(-number)

    def ignore(self, number: int) -> None:
        """Ignore this signal."""
        self._ignored_signals.add(number)

    def kill(self) -> None:
        """SIGKILL: end the process at the current µs, whatever it executes."""
        self.end(-int(signal.SIGKILL))

    def end(self, code: int) -> None:
        """End the process. The operating system closes its descriptors; data that it has not written is lost."""
        if self.dead:
            return
        self.dead, self.exit_code, self.died_at = True, code, self.instant()
        for descriptor in list(self.files.values()):
            self.net.close(descriptor)
        self.files.clear()
        self._ready.clear()
        self._timers.clear()
        self._readable.clear()
        for task in self._tasks:  # no warning for tasks that end with their process
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coro: Any = task.get_coro()
            if inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
                coro.close()  # otherwise Python would warn that it was never awaited
        self.world.wait_reporters.remove(self.waiting_tasks)
        self.on_exit()

    def open_file(self, descriptor: object) -> int:
        """Return a number for a descriptor that was not used before. Raises OSError (EMFILE) at the limit."""
        if len(self.files) >= self.max_files:
            raise OSError(24, "Too many open files")
        self._last_descriptor += 1
        self.files[self._last_descriptor] = descriptor
        return self._last_descriptor

    # Calls of asyncio.AbstractEventLoop

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        """As in asyncio."""

        def _call() -> None:
            callback(*args)

        self._signals[sig] = _call

    def remove_signal_handler(self, sig: int) -> bool:
        """As in asyncio."""
        return self._signals.pop(sig, None) is not None

    def run_in_executor(
        self, executor: object, func: Callable[..., object], *args: object
    ) -> asyncio.Future[Any]:
        """Call `func` after `disk_time_us`, unless the process ends before."""
        done: asyncio.Future[Any] = self.create_future()

        def _act() -> None:
            if self.dead or done.done():
                return
            try:
                done.set_result(func(*args))
            except Exception as error:  # any error is raised where the future is awaited
                done.set_exception(error)

        self.world.at(self.world.now + self.disk_time_us, f"disk of {self.name}", _act)
        return done

    def add_reader(self, fd: WatchedSocket, callback: Callable[..., object], *args: object) -> None:
        """As in asyncio, for a listening socket."""
        fd.watch(lambda: callback(*args))

    def remove_reader(self, fd: WatchedSocket) -> bool:
        """As in asyncio, for a listening socket."""
        return fd.unwatch()

    async def create_connection(
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **_: object,
    ) -> tuple[asyncio.Transport, Any]:
        """As in asyncio; other options have no effect."""
        return await self.net.connect(self, protocol_factory, (str(host), int(port or 0)))

    async def connect_accepted_socket(
        self, protocol_factory: ProtocolFactory, sock: object, **_: object
    ) -> tuple[asyncio.Transport, Any]:
        """As in asyncio."""
        return await self.net.adopt(self, protocol_factory, sock)

    async def create_server(
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **_: object,
    ) -> ServerHandle:
        """As in asyncio; other options have no effect."""
        return self.net.serve(self, protocol_factory, (str(host), int(port or 0)))
