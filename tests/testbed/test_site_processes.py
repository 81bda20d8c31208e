"""Tests of backends and the counter service in separate processes, with one merged request log."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest
import uvloop

from irisdeal.demo.deployment import DemoError, Deployment
from irisdeal.demo.run import Outcome, play
from irisdeal.testbed.remote_services import Sites
from irisdeal.testbed.request_log import Clock, RequestLog
from irisdeal.testbed.scenario_files import load, parse
from irisdeal.testbed.site_frames import COUNTER_SITE, SiteError
from irisdeal.testbed.site_processes import _SharedMeter
from irisdeal.testbed.workload import draw
from tests.support.front_door_rig import SMALL

HERE = Deployment(Path(__file__).parents[2], f"exec {sys.executable} -m irisdeal")
APART = (
    SMALL.replace("[fleet]", "[fleet]\napart = true")
    + """
[[at]]
at_s = 0.6
do = "box-crash"
boxes = 2
for_s = 0.6
[[at]]
at_s = 0.8
do = "keeper-flush"
size = 1
[[at]]
at_s = 0.9
do = "keeper-silent"
for_s = 0.5
[[at]]
at_s = 1.0
do = "link-silent"
door = 1
to = "hall-a"
way = "back"
for_s = 0.7
[[at]]
at_s = 1.2
do = "box-spoil"
boxes = 1
size = 1
for_s = 1.5
"""
)


@pytest.fixture(scope="module")
def outcome() -> Outcome:
    return uvloop.run(play(draw(parse(APART).resized(seconds=3), 5), HERE))


def test_a_day_with_faults_keeps_the_rules_and_uses_every_site(outcome: Outcome) -> None:
    assert outcome.kept, [breach.text() for breach in outcome.verdict.breaches]
    assert {a.zone for a in outcome.request_log.attempts} == set(outcome.day.scenario.fleet.zones)
    assert outcome.counter_calls > 0
    faults = [text for _, text in outcome.request_log.faults]
    assert any(text.startswith("the keeper lost") for text in faults)
    assert not any("could not be played" in text for text in faults)


def test_the_request_logs_of_all_processes_are_on_one_clock_and_in_order(outcome: Outcome) -> None:
    request_log = outcome.request_log
    times = [a.last_byte for a in request_log.attempts]
    assert times == sorted(times)
    by_trace = {client_attempt.trace: client_attempt for client_attempt in request_log.client_attempts}
    assert request_log.attempts and all(
        by_trace[a.trace].at - 5_000 <= a.last_byte for a in request_log.attempts
    )


def test_faults_reach_the_process_of_their_target(outcome: Outcome) -> None:
    request_log = outcome.request_log
    again = [incarnation for incarnation in request_log.incarnations if incarnation.incarnation > 0]
    assert len(again) == 2 and all(incarnation.at > 0 for incarnation in again)
    assert {(h.source, h.target) for h in request_log.link_faults} == {("door 0", "hall-a")}
    assert any(a.end.name == "SPOILT" for a in request_log.attempts)


def test_a_site_that_dies_is_reported_and_the_others_end() -> None:
    async def run() -> None:
        sites = Sites(draw(parse(APART), 1), Clock(), RequestLog())
        await sites.start()
        processes = [site_process.process for site_process in sites.site_processes.values()]
        sites.site_processes["hall-a"].process.kill()
        with pytest.raises(SiteError, match="hall-a: its process has ended"):
            await sites.site_processes["hall-a"].call("collect")
        with pytest.raises(SiteError, match="no_such"):
            await sites.site_processes[COUNTER_SITE].call("no_such")
        sites.close()
        await sites.ended()
        assert all(process.returncode for process in processes)

    uvloop.run(run())


def test_a_run_fails_if_a_site_dies() -> None:
    async def run() -> None:
        day = draw(parse(APART).resized(seconds=1), 5)
        start = Sites.start

        async def dies(sites: Sites) -> None:
            await start(sites)
            sites.site_processes["hall-b"].process.kill()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Sites, "start", dies)
            with pytest.raises(DemoError, match="hall-b"):
                await play(day, HERE)

    uvloop.run(run())


def test_usage_is_shared_between_sites_and_a_request_counts_once() -> None:
    day = draw(parse(APART), 1)
    local_meter, remote_meter = _SharedMeter(day), _SharedMeter(day)
    plan = day.scenario.plans[0]
    local_meter.add("t1", plan.name, 7, plan.rate / 2, 0)
    remote_meter.add_remote(local_meter.unsent)
    remote_meter.add("t1", plan.name, 7, plan.rate / 2, 100)  # a further attempt of the same request
    seen = local_meter.late + local_meter.period
    assert local_meter.percent(plan.name, 7, seen) == remote_meter.percent(plan.name, 7, seen) == 50


def test_two_zones_can_barely_carry_the_load_of_the_zone_lost_scenario() -> None:
    day = draw(load("zone-lost"), 1)
    fleet = day.scenario.fleet
    zones = {h: sum(m.capacity for m in day.machines if m.zone == h) for h in fleet.zones}
    complete, rest = sum(zones.values()), sum(zones.values()) - zones["hall-b"]
    assert 0.75 < day.scenario.load.use * complete / rest < 0.95
    assert fleet.apart and day.scenario.front_doors == 32
