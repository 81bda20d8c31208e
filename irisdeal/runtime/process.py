"""Startup and shutdown of a process: settings, logging, event loop and signals."""

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
from irisdeal.runtime.memory_monitor import CHECK_INTERVAL_S, MemoryMonitor
from irisdeal.runtime.settings import Settings, load_settings

# Pause before a background loop that failed runs again, so that one that always fails uses little time
RESTART_PAUSE_S = 0.25
DEFAULT_SETTINGS_PATH = "/etc/irisdeal/settings.toml"  # used if `IRISDEAL_SETTINGS` is not set
INVALID_SETTINGS_EXIT_CODE = 2

T = TypeVar("T")


class Program(Protocol):
    """A program that a process runs."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully; the process ends once this returns."""

    def reload(self, settings: Settings) -> None:
        """Apply settings that were read again."""


class Tasks:
    """The running tasks of one program. Keeps references to them, because the event loop's references are weak."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine in its own task; an exception is logged as `Event.TASK_FAILED`."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._finish)
        return task

    def keep_running(self, work: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task[None]:
        """Run a background loop in its own task, and run it again after an exception, which is logged."""
        return self.start(_run_again_after_failures(work))

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event(Event.TASK_FAILED, error=repr(error))

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self.running):
            task.cancel()


async def _run_again_after_failures(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    while True:
        try:
            return await work()
        except Exception as error:  # any fault of our own must not end what the process depends on
            log_event(Event.TASK_FAILED, error=repr(error))
        await asyncio.sleep(RESTART_PAUSE_S)


async def run_periodically(period_s: float, action: Callable[[], Awaitable[None] | None]) -> None:
    """Run `action` repeatedly, with a pause of `period_s` before each run; its exceptions are logged."""
    while True:
        await asyncio.sleep(period_s)
        try:
            pending = action()
            if pending is not None:
                await pending
        except Exception as error:  # the next run may succeed, and others depend on it
            log_event(Event.TASK_FAILED, error=repr(error))


async def _serve(make_program: Callable[[Settings], Program], settings: Settings, path: str) -> None:
    """Run a program until SIGTERM or SIGINT. SIGHUP reloads the settings in `path`."""
    loop = asyncio.get_running_loop()
    program, stop_requested = make_program(settings), asyncio.Event()
    await program.start()
    log_event(Event.STARTED, node=settings.node_name, role=settings.role, zone=settings.zone)

    def reload_settings() -> None:
        """Reload the settings file; an invalid file is logged and ignored."""
        result = load_settings(path)
        if isinstance(result, Failure):
            log_event(Event.SETTINGS_INVALID, error=result.failure())
        else:
            log_event(Event.SETTINGS_RELOADED)
            program.reload(result.unwrap())

    def request_stop(number: signal.Signals) -> None:
        log_event(Event.STOP_REQUESTED, signal=number.name)
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop, number)
    loop.add_signal_handler(signal.SIGHUP, reload_settings)
    gc.collect()
    gc.freeze()  # excludes the objects created at startup from later collections
    monitor = MemoryMonitor(settings.limits.memory_mb)
    monitoring = asyncio.create_task(run_periodically(CHECK_INTERVAL_S, monitor.check))
    await stop_requested.wait()
    await program.stop()
    monitoring.cancel()
    log_event(Event.STOPPED)


def main(make_program: Callable[[Settings], Program]) -> int:
    """Run a program until a signal requests its stop; return the exit code."""
    os.environ["UV_USE_IO_URING"] = "0"  # libuv reads it when it is loaded by the next import
    import uvloop

    logging.basicConfig(level=os.environ.get("IRISDEAL_LOG", "INFO"), stream=sys.stderr, format="%(message)s")
    path = os.environ.get("IRISDEAL_SETTINGS", DEFAULT_SETTINGS_PATH)
    result = load_settings(path)
    if isinstance(result, Failure):
        log_event(Event.SETTINGS_INVALID, error=result.failure())
        return INVALID_SETTINGS_EXIT_CODE
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(make_program, result.unwrap(), path))
    except Exception as error:
        log_event(Event.PROCESS_FAILED, error=repr(error))
        raise
    return 0
