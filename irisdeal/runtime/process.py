"""Startup and shutdown of a process: settings, logging, event loop and signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure

from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.memory_monitor import CHECK_INTERVAL_S, MemoryMonitor
from irisdeal.runtime.settings import Settings, load_settings
from irisdeal.runtime.tasks import run_periodically

DEFAULT_SETTINGS_PATH = "/etc/irisdeal/settings.toml"  # used if `IRISDEAL_SETTINGS` is not set
INVALID_SETTINGS_EXIT_CODE = 2


class Program(Protocol):
    """A program that a process runs."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully; the process ends once this returns."""

    def reload(self, settings: Settings) -> None:
        """Apply settings that were read again."""


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
