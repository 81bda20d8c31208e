"""One demo: test services, front doors, the day, and what came of it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.demo.processes import CannotRun, Deploy, FrontDoorProcesses, Use, build, make_folder
from irisdeal.testbed.audit import Verdict, audit
from irisdeal.testbed.capacity_bound import reference
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.load_processes import LoadProcessError, LoadProcesses
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.quota_overshoot import TenantUsage, tenant_usage
from irisdeal.testbed.request_log import RequestLog
from irisdeal.testbed.service_report import MannerUse, Service, manners, reckon
from irisdeal.testbed.site_processes import SiteError
from irisdeal.testbed.workload import Day

QUIET_PERIOD = 0.3  # s after the last answer: what a front door still sends shows
PROGRESS = 0.2  # s between two words on how far it is


@dataclass(slots=True)
class Outcome:
    """What one run showed. `interrupted` is s from the start, None for a whole day."""

    day: Day
    request_log: RequestLog
    verdict: Verdict
    service: Service
    uses: list[Use]
    own_cpu: int  # µs of this process: all test services
    start: int
    crashes: list[str] = field(default_factory=list)
    interrupted: float | None = None
    counter_calls: int = 0
    reference: float = 1.0  # the share that the backends' capacity alone would allow
    tenants: list[TenantUsage] = field(default_factory=list)  # the largest overshoot first
    manners: dict[str, MannerUse] = field(default_factory=dict)

    @property
    def lateness(self) -> int:
        """The longest stall of the testbed's event loop within the day, µs."""
        return self.request_log.late_within(self.start, self.start + round(self.day.scenario.seconds * 1e6))

    @property
    def kept(self) -> bool:
        """Whether no rule was broken and no front door crashed."""
        return self.verdict.kept and not self.crashes


async def play(
    day: Day,
    deploy: Deploy,
    progress: Callable[[float], None] = lambda _: None,
    interrupted: asyncio.Event | None = None,
    started: Callable[[list[int]], None] = lambda _: None,
    reports: Path | None = None,
) -> Outcome:
    """Play a day with real front doors. Ends early, in good order, once `interrupted` is set.

    `progress` hears the seconds played, `started` the front doors' process ids once all are ready. `reports` is a
    folder for the sockets of the front doors' own reports, nN.sock each.

    Raises `CannotRun` where the front doors cannot be built or started. Whatever happens, every process that was
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
        front_doors = FrontDoorProcesses(platform, deploy, Path(folder), day.seed)
        shards = day.scenario.load.processes
        load_generator = (
            LoadGenerator(day, platform.request_log, platform.now, front_doors.addresses)
            if shards == 1
            else LoadProcesses(day, platform.request_log, platform.clock, front_doors.addresses, shards)
        )
        front_doors.load_generator = load_generator
        interrupted_at: float | None = None
        try:
            await front_doors.start()
            if isinstance(load_generator, LoadProcesses):
                await load_generator.prepare()
            started([incarnation.pid for incarnation in platform.request_log.front_doors])
            before = os.times()
            start = platform.now() + 50_000
            platform.play(start, front_doors)
            running = asyncio.get_running_loop().create_task(load_generator.run(start))
            waiting = asyncio.get_running_loop().create_task(stop.wait())
            while not running.done():
                await asyncio.wait({running, waiting}, timeout=PROGRESS, return_when=asyncio.FIRST_COMPLETED)
                seconds = (platform.now() - start) / 1e6
                progress(max(0.0, min(seconds, day.scenario.seconds)))
                if waiting.done() and interrupted_at is None:
                    interrupted_at = max(0.0, seconds)
                    load_generator.stop()
            waiting.cancel()
            await running
            await asyncio.sleep(QUIET_PERIOD)
            after = os.times()
            await front_doors.stop()
            await platform.gather()
        except (LoadProcessError, SiteError) as error:
            raise CannotRun(str(error)) from None
        finally:
            front_doors.kill_all()
            load_generator.close()
            platform.close()
            await platform.ended()
    scenario = (
        day.scenario if interrupted_at is None else day.scenario.resized(seconds=max(0.5, interrupted_at))
    )
    own = round((after.user + after.system - before.user - before.system) * 1e6)
    return Outcome(
        day,
        platform.request_log,
        audit(platform.request_log, platform.figures),
        reckon(platform.request_log, scenario, start),
        [front_doors.use(d) for d in platform.front_doors],
        own,
        start,
        front_doors.crashes,
        interrupted_at,
        platform.counter.calls,
        reference(platform.request_log, scenario, start),
        tenant_usage(platform.request_log, scenario),
        manners(platform.request_log, scenario, {s.customer: s.manner for s in day.tenants}, start),
    )
