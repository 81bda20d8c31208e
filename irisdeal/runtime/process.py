"""The life of a process: settings, logging, event loop, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import NoReturn, Protocol

from returns.result import Failure, Result

from irisdeal.runtime.errors import AddressUnavailableError, SettingsError
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.exit_codes import ExitCode
from irisdeal.runtime.memory_monitor import CHECK_INTERVAL_S, MemoryMonitor
from irisdeal.runtime.settings import Settings, load_settings
from irisdeal.runtime.signals import ProcessSignals
from irisdeal.runtime.tasks import run_periodically

DEFAULT_SETTINGS_PATH = "/etc/irisdeal/settings.toml"  # used if `IRISDEAL_SETTINGS` is not set
# For which a start goes on after a request to stop, so that clients that have connected are answered
START_AFTER_STOP_S = 1.0
MAX_SETTINGS_WAIT_S = 2.0  # for which a start reads an invalid settings file again
SETTINGS_RETRY_INTERVAL_S = 0.05


class Program(Protocol):
    """A program that a process runs."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully; the process ends once this returns."""

    def reload(self, settings: Settings) -> None:
        """Apply settings that were read again."""


class ProgramRunner:
    """Starts a program, reloads its settings and stops it, as the signals of its process request."""

    def __init__(self, program: Program, settings_path: str, signals: ProcessSignals) -> None:
        self.program, self.settings_path, self.signals = program, settings_path, signals
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.is_started = False

    async def run(self, settings: Settings) -> None:
        """Run the program until a signal requests its stop."""
        self.signals.attach(lambda: self.loop.call_soon_threadsafe(self._act_on_signals))
        if await self._start():
            log_event(Event.STARTED, node=settings.node_name, role=settings.role, zone=settings.zone)
            self.is_started = True
            self._act_on_signals()
            gc.collect()
            gc.freeze()  # excludes the objects created at startup from later collections
            monitor = MemoryMonitor(settings.limits.memory_mb)
            monitoring = asyncio.create_task(run_periodically(CHECK_INTERVAL_S, monitor.check))
            await self.stop_requested.wait()
            await self.program.stop()
            monitoring.cancel()
        log_event(Event.STOPPED)

    async def _start(self) -> bool:
        """Start the program; return False if its stop was requested before it was able to serve."""
        starting = asyncio.create_task(self.program.start())
        stopping = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            await asyncio.wait({starting}, timeout=START_AFTER_STOP_S)
        stopping.cancel()
        if self.stop_requested.is_set() and (not starting.done() or starting.exception() is not None):
            starting.cancel()
            return False
        starting.result()
        return True

    def _act_on_signals(self) -> None:
        if self.signals.stop_signal is not None:
            if not self.stop_requested.is_set():
                log_event(Event.STOP_REQUESTED, signal=self.signals.stop_signal.name)
            self.stop_requested.set()
        elif self.is_started and self.signals.take_reload_request():
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Reload the settings file; an invalid file is logged and ignored."""
        result = load_settings(self.settings_path)
        if isinstance(result, Failure):
            log_event(Event.SETTINGS_INVALID, error=result.failure())
        else:
            log_event(Event.SETTINGS_RELOADED)
            self.program.reload(result.unwrap())


def run_process(make_program: Callable[[Settings], Program], signals: ProcessSignals) -> NoReturn:
    """Run a program until a signal requests its stop, and end the process."""
    end_process(_run(make_program, signals), signals)


def wait_for_settings(path: str, signals: ProcessSignals) -> Result[Settings, SettingsError]:
    """Load the settings file; one that is just being written is read again until it is valid."""
    tries_end_at = time.monotonic() + MAX_SETTINGS_WAIT_S
    is_logged = False
    while isinstance(result := load_settings(path), Failure):
        if not is_logged:
            log_event(Event.SETTINGS_INVALID, error=result.failure())
        is_logged = True
        if signals.stop_signal is not None or time.monotonic() >= tries_end_at:
            break
        time.sleep(SETTINGS_RETRY_INTERVAL_S)
    return result


def _run(make_program: Callable[[Settings], Program], signals: ProcessSignals) -> ExitCode:
    os.environ["UV_USE_IO_URING"] = "0"  # libuv reads it when it is loaded by the next import
    import uvloop

    logging.basicConfig(level=os.environ.get("IRISDEAL_LOG", "INFO"), stream=sys.stderr, format="%(message)s")
    path = os.environ.get("IRISDEAL_SETTINGS", DEFAULT_SETTINGS_PATH)
    result = wait_for_settings(path, signals)
    if isinstance(result, Failure):
        return ExitCode.STOPPED if signals.stop_signal is not None else ExitCode.INVALID_SETTINGS
    settings = result.unwrap()

    async def run_program() -> None:
        await ProgramRunner(make_program(settings), path, signals).run(settings)

    # Never closed: closing it would wait for threads that a disk holds up.
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    try:
        runner.run(run_program())
    except AddressUnavailableError as error:
        log_event(Event.ADDRESS_WAIT_ENDED, error=error)
        return ExitCode.ADDRESS_UNAVAILABLE
    except Exception as error:  # any type: the process ends with one line and its exit code
        log_event(Event.PROCESS_FAILED, error=repr(error))
        return ExitCode.FAILED
    return ExitCode.STOPPED


def end_process(code: ExitCode, signals: ProcessSignals) -> NoReturn:
    """End the process at once with this exit code.

    The finalization of the interpreter is skipped. It would restore the default actions of the signals, and turn a
    log that cannot be written into another exit code.
    """
    signals.ignore()
    logging.shutdown()
    os._exit(code)
