"""How a door takes a new word into force: in slices between which requests go on, not too often, only forward."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator

from returns.result import Failure

from irisdeal.config_store.configuration.incremental_reading import Reading, reading
from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.proxy.table import Table
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks

SLICE = 0.004  # s of work between two looks at requests; on 0.2 cores that is some 0.02 s
PACE = (
    0.3  # s from one begin to the next: words that come faster are skipped; far below an `apply_ms` of 2.5 s
)
MOST_DROPPED = (
    1  # that are given up midway for a newer one, from one in force to the next: something gets done
)

Steps = Generator[None, None, Table | None]


class ConfigApply:
    """The words on their way into force, of which the newest is wanted."""

    def __init__(self, in_force: Callable[[Table], None], tasks: Tasks) -> None:
        """`in_force`: called with each table, at once when it is done."""
        self.in_force, self.tasks = in_force, tasks
        self.loop = asyncio.get_running_loop()
        self.reading: Reading | None = None
        self.table: Table | None = None
        self.newest: VersionId | None = None
        self.waiting: ConfigVersion | None = None
        self.working = False
        self.begun = -PACE
        self.dropped = 0

    def take(self, version: ConfigVersion) -> None:
        """A word to be in force. A short one, not too soon after the one before, is so when this returns."""
        if self.newest is not None and version.version_id <= self.newest:
            return
        self.newest, self.waiting = version.version_id, version
        if self.working:
            return
        if self.loop.time() - self.begun < PACE:
            self.working = True
            self.tasks.start(self._work(None))
            return
        steps = self._begin()
        if not self._slice(steps):
            self.working = True
            self.tasks.start(self._work(steps))

    def _begin(self) -> Steps:
        version, self.waiting = self.waiting, None
        assert version is not None
        self.begun = self.loop.time()
        return self._steps(version)

    def _steps(self, version: ConfigVersion) -> Steps:
        found = yield from reading(version.body, self.reading)
        if isinstance(found, Failure):
            log_event(Event.CONFIGURATION_UNREADABLE, trouble=found.failure())
            return None
        made = found.unwrap()
        table = yield from Table.building(made, self.table)
        self.reading, self.table, self.dropped = made, table, 0
        self.in_force(table)
        return table

    def _slice(self, steps: Steps) -> bool:
        """Work for a while; whether all is done."""
        until = self.loop.time() + SLICE
        return all(self.loop.time() < until for _ in steps)

    async def _work(self, steps: Steps | None) -> None:
        try:
            while steps is not None or self.waiting is not None:
                if steps is None:
                    await asyncio.sleep(self.begun + PACE - self.loop.time())
                    steps = self._begin()
                elif self.waiting is not None and self.dropped < MOST_DROPPED and self.table is not None:
                    self.dropped += 1
                    steps.close()
                    steps = None
                    continue
                if self._slice(steps):
                    steps = None
                else:
                    await asyncio.sleep(0)
        finally:
            self.working = False
