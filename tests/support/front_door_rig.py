"""Runs a scenario of the test services with front doors in the event loop of the test."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Decider, Settings
from irisdeal.front_door.server.config import Config, parse
from irisdeal.front_door.server.program import Program
from irisdeal.simulation.search import front_door_day
from irisdeal.testbed.audit import Verdict, audit
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import FrontDoorIncarnation, RequestLog
from irisdeal.testbed.scenario_files import parse as read
from irisdeal.testbed.workload import draw

# A scenario of 3 s in which every rule takes effect: short grace periods and a low ceiling.
SMALL = """
seconds = 3
doors = 2
[fleet]
boxes = 6
connections_per_core = 400
[[fleet.kind]]
cores = 2
speed = 1.0
slots_per_core = 4
queue_per_core = 12
cold_from = 0.2
cold_s = 8
[[class]]
name = "check"
share = 0.6
work_ms = 12
aim_ms = 400
deadline_ms = 900
[[class]]
name = "claim"
share = 0.2
work_ms = 20
aim_ms = 500
deadline_ms = 900
repeat = "keyed"
window_ms = 600
[[class]]
name = "file"
share = 0.2
work_ms = 20
aim_ms = 500
deadline_ms = 900
repeat = "unsafe"
[[plan]]
name = "plain"
share = 0.7
rate = 20
burst_s = 2
[[plan]]
name = "mall"
share = 0.3
rate = 4
burst_s = 1
ceiling = 1.2
[load]
use = 0.25
heavy = 0.5
heavy_x = [3, 5]
try_share = 1.0
retries = 1
[roster]
notice_s = 0.05
spread_ms = 20
[rules]
drain_grace_ms = 300
fall_ms = 400
warm_up_s = 8
"""
SCENARIO_WITH_FAULTS = (
    SMALL
    + """
[[at]]
at_s = 0.3
do = "box-drain"
boxes = 1
for_s = 2.5
[[at]]
at_s = 0.3
do = "box-crash"
boxes = 1
for_s = 0.1
"""
)

MAX_RESPONSE_DELAY_S = 15.0  # the load generator waits that long, for machines under load

MakeDecider = Callable[[Settings, int], Decider]


class NoFrontDoorFaults:
    """For scenarios without faults of front doors."""

    async def kill(self, front_door: int, down: float) -> None:
        raise AssertionError("this scenario kills no front door")

    async def restart(self, front_door: int) -> None:
        raise AssertionError("this scenario restarts no front door")

    async def stall(self, front_door: int, seconds: float) -> None:
        raise AssertionError("this scenario stalls no front door")

    async def reload(self, front_door: int) -> None:
        raise AssertionError("this scenario reloads no front door")


@dataclass
class ScenarioRun:
    request_log: RequestLog
    verdict: Verdict
    programs: list[Program]
    platform: Platform


def _listening_anywhere(config: Config) -> Config:
    return Config(**{**{f: getattr(config, f) for f in Config.__slots__}, "listen": ("127.0.0.1", 0)})


async def run_on_sockets(
    text: str,
    seed: int = 1,
    make_decider: MakeDecider = Gateway,
    modify: Callable[[Program], None] = lambda _: None,
    during: Callable[[Platform, LoadGenerator], None] = lambda *_: None,
    routes: Path | None = None,
    started: Callable[[Platform, list[Program]], None] = lambda *_: None,
    max_wait_s: float = 10.0,
) -> ScenarioRun:
    """Run a scenario with front doors in this event loop; `modify` may change each one before its start."""
    platform = Platform(draw(read(text), seed))
    await platform.start()
    loop, programs = asyncio.get_running_loop(), list[Program]()
    try:
        for front_door in platform.front_doors:
            configuration = platform.config(front_door, "127.0.0.1:1", 5 + front_door)
            if routes is not None:
                configuration["routes"] = {"file": str(routes), "watch_ms": 0}
            config = _listening_anywhere(parse(configuration))
            program = Program(config, loop, make_decider(config.settings, config.seed))
            modify(program)
            if program.router is not None:
                await program.router.load_first()
            program.start()
            programs.append(program)
            platform.request_log.front_doors.append(FrontDoorIncarnation(front_door, 0, platform.now()))
        addresses = [("127.0.0.1", program.clients.port()) for program in programs]
        load_generator = LoadGenerator(platform.day, platform.request_log, platform.now, addresses)
        load_generator.late_watch = MAX_RESPONSE_DELAY_S  # also detects late responses on a busy machine
        start = platform.now()
        platform.play(start, NoFrontDoorFaults())
        during(platform, load_generator)
        started(platform, programs)
        await load_generator.run(start)
        deadline = loop.time() + max_wait_s
        while loop.time() < deadline and any(
            t.at and not (t.answers or t.disconnected_at or t.crossed)
            for t in platform.request_log.client_attempts
        ):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)  # for unexpected bytes after the last response
    finally:
        for program in programs:
            program.discovery.stop()
            program.clients.stop_listening()
        load_generator.close()
        platform.close()
    # Front doors and test services share this loop, so the delay of responses depends on the machine.
    verdict = audit(platform.request_log, platform.figures, timed=False)
    return ScenarioRun(platform.request_log, verdict, programs, platform)


def run_in_virtual_time(
    text: str,
    seed: int = 1,
    make_decider: MakeDecider = Gateway,
    modify: Callable[[Program], None] = lambda _: None,
) -> front_door_day.DayResult:
    """Run a scenario in virtual time, without waiting; the delay of responses is checked as well."""
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # modified front doors log many errors
    try:
        return front_door_day.play(draw(read(text), seed), make_decider, modify)
    finally:
        logging.getLogger("irisdeal").setLevel(logging.NOTSET)
