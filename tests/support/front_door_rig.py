"""A day of the test services with front doors in the test's own loop, so that a test can break them."""

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

# A day of three seconds in which every rule has something to say: short grace, short fall, a low ceiling.
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
DAY = (
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

LATEST = 15.0  # s that an answer may take on a starved machine, and is waited for

MakeDecider = Callable[[Settings, int], Decider]


class NoFrontDoors:
    """A day whose timeline does nothing to front doors."""

    async def kill(self, front_door: int, down: float) -> None:
        raise AssertionError("no door is to be killed here")

    async def restart(self, front_door: int) -> None:
        raise AssertionError("no door is to be restarted here")

    async def stall(self, front_door: int, seconds: float) -> None:
        raise AssertionError("no door is to be stopped here")

    async def reload(self, front_door: int) -> None:
        raise AssertionError("no door is to be told anything here")


@dataclass
class Played:
    request_log: RequestLog
    verdict: Verdict
    programs: list[Program]
    platform: Platform


def _listening_anywhere(config: Config) -> Config:
    return Config(**{**{f: getattr(config, f) for f in Config.__slots__}, "listen": ("127.0.0.1", 0)})


async def play(
    text: str,
    seed: int = 1,
    make: MakeDecider = Gateway,
    spoil: Callable[[Program], None] = lambda _: None,
    during: Callable[[Platform, LoadGenerator], None] = lambda *_: None,
    routes: Path | None = None,
    started: Callable[[Platform, list[Program]], None] = lambda *_: None,
    patience: float = 10.0,
) -> Played:
    """Play a scenario with in-loop front doors; `spoil` may break each of them before it starts."""
    platform = Platform(draw(read(text), seed))
    await platform.start()
    loop, programs = asyncio.get_running_loop(), list[Program]()
    try:
        for front_door in platform.front_doors:
            configuration = platform.config(front_door, "127.0.0.1:1", 5 + front_door)
            if routes is not None:
                configuration["routes"] = {"file": str(routes), "watch_ms": 0}
            config = _listening_anywhere(parse(configuration))
            program = Program(config, loop, make(config.settings, config.seed))
            spoil(program)
            if program.router is not None:
                await program.router.load_first()
            program.start()
            programs.append(program)
            platform.request_log.front_doors.append(FrontDoorIncarnation(front_door, 0, platform.now()))
        addresses = [("127.0.0.1", program.clients.port()) for program in programs]
        load_generator = LoadGenerator(platform.day, platform.request_log, platform.now, addresses)
        load_generator.late_watch = LATEST  # a late answer is to be seen as one, however starved this loop is
        start = platform.now()
        platform.play(start, NoFrontDoors())
        during(platform, load_generator)
        started(platform, programs)
        await load_generator.run(start)
        until = loop.time() + patience
        while loop.time() < until and any(
            t.at and not (t.answers or t.disconnected_at or t.crossed)
            for t in platform.request_log.client_attempts
        ):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)  # for what a front door sends behind its last answer
    finally:
        for program in programs:
            program.discovery.stop()
            program.clients.stop_listening()
        load_generator.close()
        platform.close()
    # Front doors and test services share this loop: how late an answer is says how busy the machine is.
    verdict = audit(platform.request_log, platform.figures, timed=False)
    return Played(platform.request_log, verdict, programs, platform)


def played(
    text: str,
    seed: int = 1,
    make: MakeDecider = Gateway,
    spoil: Callable[[Program], None] = lambda _: None,
) -> front_door_day.Played:
    """The same in virtual time: nothing waits, and lateness is judged."""
    logging.getLogger("irisdeal").setLevel(logging.CRITICAL)  # broken front doors have much to say
    try:
        return front_door_day.play(draw(read(text), seed), make, spoil)
    finally:
        logging.getLogger("irisdeal").setLevel(logging.NOTSET)
