"""Background loops of a process go on after an exception."""

from __future__ import annotations

import asyncio

import pytest

from irisdeal.runtime import tasks
from irisdeal.runtime.tasks import Tasks, run_periodically

FAILURES = 3


class Work:
    """Fails a few times, then notes that it ran."""

    def __init__(self) -> None:
        self.runs = 0
        self.has_run = asyncio.Event()

    def fail_at_first(self) -> None:
        """Raise in the first runs."""
        self.runs += 1
        if self.runs <= FAILURES:
            raise KeyError(self.runs)
        self.has_run.set()

    async def run(self) -> None:
        """Run once."""
        self.fail_at_first()


# Guards against CONFIG: an exception ended a loop that nothing started again.
def test_a_background_loop_runs_again_after_an_exception(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(tasks, "RESTART_PAUSE_S", 0.0)

    async def play() -> None:
        work, tasks = Work(), Tasks()
        await tasks.keep_running(work.run)
        assert work.has_run.is_set() and not tasks.running

    asyncio.run(play())
    assert [record.message for record in caplog.records] == [
        f"E105 a task failed error=KeyError({number})" for number in range(1, FAILURES + 1)
    ]


# Guards against a registry that sends no heartbeats on: one that could not be sent ended the periodic loop.
def test_a_periodic_action_is_repeated_after_an_exception() -> None:
    async def play() -> None:
        work = Work()
        loop = asyncio.create_task(run_periodically(0.0, work.fail_at_first))
        async with asyncio.timeout(5.0):
            await work.has_run.wait()
        loop.cancel()

    asyncio.run(play())


def test_a_cancelled_loop_ends() -> None:
    async def play() -> None:
        tasks = Tasks()
        loop = tasks.keep_running(lambda: asyncio.sleep(60.0))
        await asyncio.sleep(0)
        tasks.cancel()
        with pytest.raises(asyncio.CancelledError):
            await loop

    asyncio.run(play())
