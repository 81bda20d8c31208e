"""The background tasks of a program: references to them, restarts of loops, periodic work."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from irisdeal.runtime.events import Event, log_event

# Pause before a background loop that failed runs again, so that one that always fails uses little time
RESTART_PAUSE_S = 0.25

T = TypeVar("T")


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
