"""Runs a demo: starts test services and front doors, plays the day, and collects the results."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.demo.deployment import DemoError, Deployment, build
from irisdeal.demo.processes import FrontDoorProcesses, make_folder
from irisdeal.demo.usage import ProcessUsage
from irisdeal.testbed.audit import Verdict, audit
from irisdeal.testbed.capacity_bound import reference
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.load_processes import LoadProcessError, LoadProcesses
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.quota_overshoot import TenantUsage, tenant_usage
from irisdeal.testbed.request_log import RequestLog
from irisdeal.testbed.service_report import MannerUse, Service, manners, summarize_service
from irisdeal.testbed.site_frames import SiteError
from irisdeal.testbed.workload import Day

QUIET_PERIOD_S = 0.3  # after the last answer, to record late sends of front doors
PROGRESS_INTERVAL_S = 0.2  # between calls of `progress`
START_DELAY_US = 50_000  # from the end of the preparation to the start of the day


@dataclass(slots=True)
class Outcome:
    """The results of one run. `interrupted` is s from the start, or None if the day was completed."""

    day: Day
    request_log: RequestLog
    verdict: Verdict
    service: Service
    uses: list[ProcessUsage]
    own_cpu: int  # CPU time in µs of this process, which runs the test services
    start: int
    crashes: list[str] = field(default_factory=list)
    interrupted: float | None = None
    counter_calls: int = 0
    reference: float = 1.0  # upper bound of the served share, by the backends' capacity alone
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
    deploy: Deployment,
    progress: Callable[[float], None] = lambda _: None,
    interrupted: asyncio.Event | None = None,
    started: Callable[[list[int]], None] = lambda _: None,
    reports: Path | None = None,
) -> Outcome:
    """Play a day with real front doors. Shuts down early and gracefully once `interrupted` is set.

    `progress` is called with the seconds played, `started` with the front doors' process ids once all are ready.
    `reports` is a folder for the sockets of the front doors' reports, nN.sock each.

    Raises `DemoError` if the front doors cannot be built or started. All processes that were started have ended on
    return, in any case.
    """
    stop = interrupted or asyncio.Event()
    await build(deploy)
    platform = await _start_platform(day, reports)
    with make_folder() as folder:
        front_doors = FrontDoorProcesses(platform, deploy, Path(folder), day.seed)
        load = _make_load(platform, front_doors)
        front_doors.load_generator = load
        try:
            played = await _play_day(platform, front_doors, load, _Observer(stop, progress, started))
        except (LoadProcessError, SiteError) as error:
            raise DemoError(str(error)) from None
        finally:
            front_doors.kill_all()
            load.close()
            platform.close()
            await platform.ended()
    return _outcome(platform, front_doors, played)


@dataclass(frozen=True, slots=True)
class _Observer:
    """Callbacks of a run, and `stop`, which ends it early."""

    stop: asyncio.Event
    progress: Callable[[float], None]
    started: Callable[[list[int]], None]


@dataclass(frozen=True, slots=True)
class _Played:
    """A played day: its start and the CPU time of this process in µs, and s from start to interrupt, or None."""

    start: int
    own_cpu: int
    interrupted_at: float | None


async def _start_platform(day: Day, reports: Path | None) -> Platform:
    platform = Platform(day)
    platform.reports = reports
    try:
        await platform.start()
    except SiteError as error:
        platform.close()
        await platform.ended()
        raise DemoError(str(error)) from None
    return platform


def _make_load(platform: Platform, front_doors: FrontDoorProcesses) -> LoadGenerator | LoadProcesses:
    day, request_log, addresses = platform.day, platform.request_log, front_doors.addresses
    shards = day.scenario.load.processes
    if shards == 1:
        return LoadGenerator(day, request_log, platform.now, addresses)
    return LoadProcesses(day, request_log, platform.clock, addresses, shards)


async def _play_day(
    platform: Platform,
    front_doors: FrontDoorProcesses,
    load: LoadGenerator | LoadProcesses,
    observer: _Observer,
) -> _Played:
    await front_doors.start()
    if isinstance(load, LoadProcesses):
        await load.prepare()
    observer.started([process.pid for process in platform.request_log.front_doors])
    before = os.times()
    start = platform.now() + START_DELAY_US
    platform.play(start, front_doors)
    interrupted_at = await _run_load(platform, load, observer, start)
    await asyncio.sleep(QUIET_PERIOD_S)
    after = os.times()
    await front_doors.stop()
    await platform.gather()
    own_cpu = round((after.user + after.system - before.user - before.system) * 1e6)
    return _Played(start, own_cpu, interrupted_at)


async def _run_load(
    platform: Platform, load: LoadGenerator | LoadProcesses, observer: _Observer, start: int
) -> float | None:
    """Run the load; returns s from the start to the interrupt, or None for a complete day."""
    interrupted_at: float | None = None
    running = asyncio.get_running_loop().create_task(load.run(start))
    waiting = asyncio.get_running_loop().create_task(observer.stop.wait())
    while not running.done():
        await asyncio.wait(
            {running, waiting}, timeout=PROGRESS_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
        )
        seconds = (platform.now() - start) / 1e6
        observer.progress(max(0.0, min(seconds, platform.scenario.seconds)))
        if waiting.done() and interrupted_at is None:
            interrupted_at = max(0.0, seconds)
            load.stop()
    waiting.cancel()
    await running
    return interrupted_at


def _outcome(platform: Platform, front_doors: FrontDoorProcesses, played: _Played) -> Outcome:
    day, request_log, start = platform.day, platform.request_log, played.start
    scenario = day.scenario
    if played.interrupted_at is not None:
        scenario = scenario.resized(seconds=max(0.5, played.interrupted_at))
    manner_of = {tenant.customer: tenant.manner for tenant in day.tenants}
    return Outcome(
        day,
        request_log,
        audit(request_log, platform.figures),
        summarize_service(request_log, scenario, start),
        [front_doors.usage(number) for number in platform.front_doors],
        played.own_cpu,
        start,
        front_doors.crashes,
        played.interrupted_at,
        platform.counter.calls,
        reference(request_log, scenario, start),
        tenant_usage(request_log, scenario),
        manners(request_log, scenario, manner_of, start),
    )
