"""The skeleton of a process: settings, log, loop, signals, the end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

from returns.result import Failure

from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings, load

T = TypeVar("T")


class Program(Protocol):
    """What a process runs. `stop` returns when all is answered; the process ends then."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def reload(self, settings: Settings) -> None: ...


class Tasks:
    """Tasks that belong to one program; the loop holds tasks weakly."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run this in a task of its own; a failure is told as event 105."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event(Event.TASK_FAILED, error=repr(error))

    def cancel(self) -> None:
        for task in list(self.running):
            task.cancel()


async def every(seconds: float, act: Callable[[], Awaitable[None] | None]) -> None:
    """Do it again and again, `seconds` apart."""
    while True:
        await asyncio.sleep(seconds)
        done = act()
        if done is not None:
            await done


async def _serve(make: Callable[[Settings], Program], settings: Settings, path: str) -> None:
    loop = asyncio.get_running_loop()
    program, ending = make(settings), asyncio.Event()
    await program.start()
    log_event(Event.STARTED, node=settings.node_name, role=settings.role, zone=settings.zone)

    def again() -> None:
        read = load(path)
        if isinstance(read, Failure):
            log_event(Event.SETTINGS_INVALID, trouble=read.failure())
        else:
            log_event(Event.SETTINGS_RELOADED)
            program.reload(read.unwrap())

    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    loop.add_signal_handler(signal.SIGHUP, again)
    gc.collect()
    gc.freeze()
    await ending.wait()
    log_event(Event.STOP_REQUESTED)
    await program.stop()
    log_event(Event.STOPPED)


def main(make: Callable[[Settings], Program]) -> int:
    """Run a program until it is told to end; the exit code."""
    os.environ["UV_USE_IO_URING"] = "0"  # read by libuv at its start, which is the next import
    import uvloop

    logging.basicConfig(level=os.environ.get("IRISDEAL_LOG", "INFO"), stream=sys.stderr, format="%(message)s")
    path = os.environ.get("IRISDEAL_SETTINGS", "/etc/irisdeal/settings.toml")
    read = load(path)
    if isinstance(read, Failure):
        log_event(Event.SETTINGS_INVALID, trouble=read.failure())
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(make, read.unwrap(), path))
    return 0
