"""The life cycle of a process: settings, log, event loop, signals, shutdown."""

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
from irisdeal.runtime.settings import Settings, load_settings

DEFAULT_SETTINGS = "/etc/irisdeal/settings.toml"  # where `IRISDEAL_SETTINGS` names no other file
SETTINGS_EXIT_CODE = 2  # of a process whose settings are invalid

T = TypeVar("T")


class Program(Protocol):
    """What a process runs."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """Shut down gracefully; the process ends once this returns."""

    def reload(self, settings: Settings) -> None:
        """Take over settings that were read again."""


class Tasks:
    """The tasks of one program. It holds references to them, since the event loop's are weak."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run this in a task of its own; an exception is logged as `Event.TASK_FAILED`."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event(Event.TASK_FAILED, error=repr(error))

    def cancel(self) -> None:
        """Cancel all tasks that are running."""
        for task in list(self.running):
            task.cancel()


async def run_periodically(period_s: float, action: Callable[[], Awaitable[None] | None]) -> None:
    """Run `action` for ever, with `period_s` between the end of one run and the next."""
    while True:
        await asyncio.sleep(period_s)
        pending = action()
        if pending is not None:
            await pending


async def _serve(make_program: Callable[[Settings], Program], settings: Settings, path: str) -> None:
    """Run a program until SIGTERM or SIGINT. SIGHUP reads the settings in `path` again."""
    loop = asyncio.get_running_loop()
    program, stop_requested = make_program(settings), asyncio.Event()
    await program.start()
    log_event(Event.STARTED, node=settings.node_name, role=settings.role, zone=settings.zone)

    def reload_settings() -> None:
        """Read the settings file again; one that is invalid changes nothing."""
        result = load_settings(path)
        if isinstance(result, Failure):
            log_event(Event.SETTINGS_INVALID, error=result.failure())
        else:
            log_event(Event.SETTINGS_RELOADED)
            program.reload(result.unwrap())

    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings)
    gc.collect()
    gc.freeze()  # what start made stays: later collections need not look at it
    await stop_requested.wait()
    log_event(Event.STOP_REQUESTED)
    await program.stop()
    log_event(Event.STOPPED)


def main(make_program: Callable[[Settings], Program]) -> int:
    """Run a program until it is requested to stop; return the exit code."""
    os.environ["UV_USE_IO_URING"] = "0"  # read by libuv at its start, which is the next import
    import uvloop

    logging.basicConfig(level=os.environ.get("IRISDEAL_LOG", "INFO"), stream=sys.stderr, format="%(message)s")
    path = os.environ.get("IRISDEAL_SETTINGS", DEFAULT_SETTINGS)
    result = load_settings(path)
    if isinstance(result, Failure):
        log_event(Event.SETTINGS_INVALID, error=result.failure())
        return SETTINGS_EXIT_CODE
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(make_program, result.unwrap(), path))
    return 0
