"""Applies new configurations in short time slices between requests, at a limited rate, and never an older one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator

from returns.result import Failure

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.proxy.route_table import RouteTable
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.tasks import Tasks

BUILD_SLICE_S = 0.004  # of work per turn of the event loop; takes about 0.02 s on 0.2 cores
# Between the starts of two builds; versions that arrive sooner may be skipped. Far below an `apply_ms` of 2.5 s.
MIN_INTERVAL_S = 0.3
# Consecutive builds abandoned for a newer version; the limit ensures that some build completes.
MAX_ABANDONED_COUNT = 1

BuildSteps = Generator[None, None, RouteTable | None]


class ConfigApplier:
    """Builds and applies the route table of the newest version."""

    def __init__(self, on_applied: Callable[[RouteTable], None], tasks: Tasks) -> None:
        """`on_applied`: called with each route table as soon as it is complete."""
        self.on_applied, self.tasks = on_applied, tasks
        self.loop = asyncio.get_running_loop()
        self.parsed: ParsedConfiguration | None = None  # of `table`
        self.table: RouteTable | None = None  # applied last
        self.newest: VersionId | None = None  # received
        self.pending: ConfigVersion | None = None  # not built yet
        self.is_building = False
        self.started_at = -MIN_INTERVAL_S  # of the last build
        self.abandoned_count = 0  # consecutive abandoned builds

    def apply(self, version: ConfigVersion) -> None:
        """Apply a version; older ones are ignored.

        A small one that arrives at least `MIN_INTERVAL_S` after the start of the last build is applied on return.
        """
        if self.newest is not None and version.version_id <= self.newest:
            return
        self.newest, self.pending = version.version_id, version
        if self.is_building:
            return
        if self.loop.time() - self.started_at < MIN_INTERVAL_S:
            self.is_building = True
            self.tasks.start(self._build(None))
            return
        steps = self._start_build()
        if not self._run_slice(steps):
            self.is_building = True
            self.tasks.start(self._build(steps))

    def _start_build(self) -> BuildSteps:
        version, self.pending = self.pending, None
        assert version is not None
        self.started_at = self.loop.time()
        return self._build_steps(version)

    def _build_steps(self, version: ConfigVersion) -> BuildSteps:
        """Parse a version and build its route table, in small steps."""
        result = yield from read_incrementally(version.body, self.parsed)
        if isinstance(result, Failure):
            log_event(Event.CONFIGURATION_UNREADABLE, trouble=result.failure())
            return None
        parsed = result.unwrap()
        table = yield from RouteTable.build(parsed, self.table)
        self.parsed, self.table, self.abandoned_count = parsed, table, 0
        self.on_applied(table)
        return table

    def _run_slice(self, steps: BuildSteps) -> bool:
        """Run the build for one time slice; return whether it is complete."""
        until = self.loop.time() + BUILD_SLICE_S
        return all(self.loop.time() < until for _ in steps)

    async def _build(self, steps: BuildSteps | None) -> None:
        try:
            while steps is not None or self.pending is not None:
                if steps is None:
                    await asyncio.sleep(self.started_at + MIN_INTERVAL_S - self.loop.time())
                    steps = self._start_build()
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
            self.is_building = False

    def _should_abandon(self) -> bool:
        """Return whether to abandon the current build for a newer version."""
        is_allowed = self.abandoned_count < MAX_ABANDONED_COUNT and self.table is not None
        return self.pending is not None and is_allowed
