"""One demo: stand-ins, doors, the day, and what came of it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.demo.processes import CannotRun, Deploy, DoorProcesses, Use, build, make_folder
from irisdeal.testbed.audit import Verdict, audit
from irisdeal.testbed.capacity_bound import reference
from irisdeal.testbed.load_generator import Terminals
from irisdeal.testbed.load_processes import Crowd, CrowdError
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.quota_overshoot import StoreUse, stores
from irisdeal.testbed.request_log import Books
from irisdeal.testbed.service_report import MannerUse, Service, manners, reckon
from irisdeal.testbed.site_processes import SiteError
from irisdeal.testbed.workload import Day

SETTLE = 0.3  # s after the last answer: what a door still sends shows
PROGRESS = 0.2  # s between two words on how far it is


@dataclass(slots=True)
class Outcome:
    """What one run showed. `interrupted` is s from the start, None for a whole day."""

    day: Day
    books: Books
    verdict: Verdict
    service: Service
    uses: list[Use]
    own_cpu: int  # µs of this process: all stand-ins
    start: int
    crashes: list[str] = field(default_factory=list)
    interrupted: float | None = None
    keeper_calls: int = 0
    reference: float = 1.0  # the share that the boxes' capacity alone would allow
    stores: list[StoreUse] = field(default_factory=list)  # the largest overshoot first
    manners: dict[str, MannerUse] = field(default_factory=dict)

    @property
    def lateness(self) -> int:
        """µs by which the stand-ins ran late at most within the day; doors start before it and end behind."""
        return self.books.late_within(self.start, self.start + round(self.day.scenario.seconds * 1e6))

    @property
    def kept(self) -> bool:
        return self.verdict.kept and not self.crashes


async def play(
    day: Day,
    deploy: Deploy,
    progress: Callable[[float], None] = lambda _: None,
    interrupted: asyncio.Event | None = None,
    started: Callable[[list[int]], None] = lambda _: None,
    reports: Path | None = None,
) -> Outcome:
    """Play a day with real doors. Ends early, in good order, once `interrupted` is set.

    `progress` hears the seconds played, `started` the doors' process ids once all are ready. `reports` is a
    folder for the sockets of the doors' own reports, nN.sock each.

    Raises `CannotRun` where the doors cannot be built or started. Whatever happens, every process that was
    started here has ended on return.
    """
    stop = interrupted or asyncio.Event()
    await build(deploy)
    platform = Platform(day)
    platform.reports = reports
    try:
        await platform.start()
    except SiteError as error:
        platform.close()
        await platform.ended()
        raise CannotRun(str(error)) from None
    with make_folder() as folder:
        doors = DoorProcesses(platform, deploy, Path(folder), day.seed)
        parts = day.scenario.load.processes
        terminals = (
            Terminals(day, platform.books, platform.now, doors.addresses)
            if parts == 1
            else Crowd(day, platform.books, platform.clock, doors.addresses, parts)
        )
        doors.terminals = terminals
        cut: float | None = None
        try:
            await doors.start()
            if isinstance(terminals, Crowd):
                await terminals.prepare()
            started([life.pid for life in platform.books.doors])
            before = os.times()
            start = platform.now() + 50_000
            platform.play(start, doors)
            running = asyncio.get_running_loop().create_task(terminals.run(start))
            waiting = asyncio.get_running_loop().create_task(stop.wait())
            while not running.done():
                await asyncio.wait({running, waiting}, timeout=PROGRESS, return_when=asyncio.FIRST_COMPLETED)
                seconds = (platform.now() - start) / 1e6
                progress(max(0.0, min(seconds, day.scenario.seconds)))
                if waiting.done() and cut is None:
                    cut = max(0.0, seconds)
                    terminals.stop()
            waiting.cancel()
            await running
            await asyncio.sleep(SETTLE)
            after = os.times()
            await doors.stop()
            await platform.gather()
        except (CrowdError, SiteError) as error:
            raise CannotRun(str(error)) from None
        finally:
            doors.kill_all()
            terminals.close()
            platform.close()
            await platform.ended()
    scenario = day.scenario if cut is None else day.scenario.resized(seconds=max(0.5, cut))
    own = round((after.user + after.system - before.user - before.system) * 1e6)
    return Outcome(
        day,
        platform.books,
        audit(platform.books, platform.figures),
        reckon(platform.books, scenario, start),
        [doors.use(d) for d in platform.doors],
        own,
        start,
        doors.crashes,
        cut,
        platform.keeper.calls,
        reference(platform.books, scenario, start),
        stores(platform.books, scenario),
        manners(platform.books, scenario, {s.customer: s.manner for s in day.stores}, start),
    )
