"""Applies new configurations: in slices between which requests go on, not too often, only forward."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator

from returns.result import Failure

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.proxy.route_table import RouteTable
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks

BUILD_SLICE_S = 0.004  # of work between two turns of the loop; on 0.2 cores that is some 0.02 s
MIN_INTERVAL_S = (
    0.3  # from one start to the next: quicker versions are skipped; far below an `apply_ms` of 2.5 s
)
MAX_ABANDONED = (
    1  # versions given up midway for a newer one, from one applied to the next: some must get done
)

Steps = Generator[None, None, RouteTable | None]


class ConfigApplier:
    """The versions that are to be applied, of which the newest is wanted."""

    def __init__(self, on_applied: Callable[[RouteTable], None], tasks: Tasks) -> None:
        """`on_applied`: called with each route table, at once when it is complete."""
        self.on_applied, self.tasks = on_applied, tasks
        self.loop = asyncio.get_running_loop()
        self.reading: ParsedConfiguration | None = None
        self.table: RouteTable | None = None
        self.newest: VersionId | None = None
        self.pending: ConfigVersion | None = None
        self.is_working = False
        self.started_at = -MIN_INTERVAL_S
        self.abandoned_count = 0

    def apply(self, version: ConfigVersion) -> None:
        """Apply a version; older ones are passed over.

        A short one, not too soon after the one before, is applied when this returns.
        """
        if self.newest is not None and version.version_id <= self.newest:
            return
        self.newest, self.pending = version.version_id, version
        if self.is_working:
            return
        if self.loop.time() - self.started_at < MIN_INTERVAL_S:
            self.is_working = True
            self.tasks.start(self._work(None))
            return
        steps = self._begin()
        if not self._run_slice(steps):
            self.is_working = True
            self.tasks.start(self._work(steps))

    def _begin(self) -> Steps:
        version, self.pending = self.pending, None
        assert version is not None
        self.started_at = self.loop.time()
        return self._steps(version)

    def _steps(self, version: ConfigVersion) -> Steps:
        """Read a version and build its route table, in small steps."""
        result = yield from read_incrementally(version.body, self.reading)
        if isinstance(result, Failure):
            log_event(Event.CONFIGURATION_UNREADABLE, trouble=result.failure())
            return None
        read = result.unwrap()
        table = yield from RouteTable.build(read, self.table)
        self.reading, self.table, self.abandoned_count = read, table, 0
        self.on_applied(table)
        return table

    def _run_slice(self, steps: Steps) -> bool:
        """Work for one slice; return whether all is done."""
        until = self.loop.time() + BUILD_SLICE_S
        return all(self.loop.time() < until for _ in steps)

    async def _work(self, steps: Steps | None) -> None:
        try:
            while steps is not None or self.pending is not None:
                if steps is None:
                    await asyncio.sleep(self.started_at + MIN_INTERVAL_S - self.loop.time())
                    steps = self._begin()
                elif self._should_abandon():
                    self.abandoned_count += 1
                    steps.close()
                    steps = None
                    continue
                if self._run_slice(steps):
                    steps = None
                else:
                    await asyncio.sleep(0)
        finally:
            self.is_working = False

    def _should_abandon(self) -> bool:
        """Return whether to give up the version at work for a newer one."""
        is_allowed = self.abandoned_count < MAX_ABANDONED and self.table is not None
        return self.pending is not None and is_allowed
