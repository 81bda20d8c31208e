"""Tests of load generator processes, misbehaving clients, and the capacity bound."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest
import uvloop

from irisdeal.demo.deployment import Deployment
from irisdeal.demo.run import play
from irisdeal.testbed.capacity_bound import reference
from irisdeal.testbed.load_processes import LoadProcessError, LoadProcesses
from irisdeal.testbed.request_log import (
    SECOND,
    BackendIncarnation,
    ClientAttempt,
    Clock,
    RequestLog,
    merge_stalls,
)
from irisdeal.testbed.scenario import ScenarioError
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.workload import draw
from tests.support.front_door_rig import SMALL

HERE = Deployment(Path(__file__).parents[2], f"exec {sys.executable} -m irisdeal")
CROWDED = (
    SMALL.replace("use = 0.25", "use = 0.25\nprocesses = 2")
    + """
[[at]]
at_s = 0.2
do = "connect-storm"
for_s = 1.0
size = 150
[[at]]
at_s = 0.2
do = "slow-readers"
for_s = 1.0
size = 6
"""
)


def test_two_processes_send_the_same_requests_as_one_and_their_logs_are_merged() -> None:
    day = draw(parse(CROWDED).resized(seconds=2), 5)
    outcome = uvloop.run(play(day, HERE))
    assert outcome.kept, [breach.text() for breach in outcome.verdict.breaches]
    request_log = outcome.request_log
    request_numbers = [
        client_attempt.request_number
        for client_attempt in request_log.client_attempts
        if client_attempt.attempt == 0
    ]
    assert sorted(request_numbers) == [arrival.request_number for arrival in day.arrivals]
    assert len({client_attempt.trace for client_attempt in request_log.client_attempts}) == len(
        request_log.client_attempts
    )
    by_trace = {client_attempt.trace: client_attempt for client_attempt in request_log.client_attempts}
    # One clock: the time at a backend lies between the client's request and its answer.
    for attempt in request_log.attempts:
        client_attempt = by_trace[attempt.trace]
        assert client_attempt.at - 5_000 <= attempt.last_byte
        # Another backend may have answered before this attempt arrived.
        if client_attempt.answers and client_attempt.answers[0].body == attempt.body:
            assert attempt.first_byte <= client_attempt.answers[0].at + 5_000
    assert (
        request_log.misbehaving_clients.get("told", 0) + request_log.misbehaving_clients.get("closed", 0) > 80
    )
    assert not request_log.misbehaving_clients.get("open")
    assert 0.0 < outcome.service.total.share <= outcome.reference <= 1.0


def test_a_process_that_dies_is_reported_and_the_others_end() -> None:
    async def run() -> None:
        day = draw(parse(CROWDED), 1)
        clock = Clock()
        load_processes = LoadProcesses(day, RequestLog(), clock, [("127.0.0.1", 1), ("127.0.0.1", 1)], 2)
        await load_processes.prepare()
        playing = asyncio.get_running_loop().create_task(load_processes.run(clock() + 60 * SECOND))
        load_processes.processes[0].kill()
        with pytest.raises(LoadProcessError, match="without its report"):
            await playing
        load_processes.close()
        for process in load_processes.processes:
            await process.wait()

    uvloop.run(run())


def test_stalls_of_several_loops_are_merged() -> None:
    assert merge_stalls([(100, 50), (400, 10)], [(120, 30), (390, 100)]) == [(120, 70), (400, 110)]
    assert merge_stalls([], []) == []


def test_too_many_load_processes_are_rejected() -> None:
    with pytest.raises(ScenarioError, match=r"load\.processes is 9: wanted 1 to 8"):
        parse(SMALL.replace("use = 0.25", "use = 0.25\nprocesses = 9"))


def first_attempt(at_s: float, kind: str = "check", request_number: int = 0) -> ClientAttempt:
    return ClientAttempt(
        f"t{request_number}",
        request_number,
        0,
        "",
        kind,
        "plain",
        request_number,
        1.0,
        0,
        round(at_s * SECOND),
        SECOND,
    )


def test_the_capacity_bound_is_the_densest_work_that_fits_in_time() -> None:
    scenario = parse(SMALL.replace("seconds = 3", "seconds = 9"))
    kinds = {c.name: c for c in scenario.classes}
    start = SECOND

    def bound(capacity: float, *client_attempt: ClientAttempt) -> float:
        incarnations = [BackendIncarnation("s", "h", 0, 0, capacity, 1.0, 0)]
        return reference(
            RequestLog(client_attempts=list(client_attempt), incarnations=incarnations), scenario, start
        )

    # At the same time, each from another tenant.
    burst = [first_attempt(4.0, request_number=n) for n in range(400)]
    each = kinds["check"].work_ms / 1000
    # Slots last 0.5 s, and the latency target of 0.4 s ends in the slot of the arrival.
    assert bound(1.0, *burst) == pytest.approx(0.5 / (400 * each))
    assert bound(100.0, *burst) == pytest.approx(1.0)
    # Spread over the day, the same work fits the same capacity.
    assert bound(1.0, *(first_attempt(2.0 + n * 0.02, request_number=n) for n in range(300))) > 0.9
    # A claim has the value of a check but takes longer, so it is less dense. Its target ends a slot later.
    mixed = [*burst[:200], *(first_attempt(4.0, "claim", 1000 + n) for n in range(200))]
    claim = kinds["claim"].work_ms / 1000
    assert bound(1.0, *mixed) == pytest.approx((0.5 / each + 0.5 / claim) / 400)


def test_lateness_within_a_time_omits_stalls_outside_it() -> None:
    request_log = RequestLog(stalls=[(1_000, 900), (2_050, 100), (5_000, 30), (9_200, 700)])
    assert request_log.late_within(2_000, 8_500) == 100  # a stall that overlaps the time counts fully
    assert request_log.late_within(2_100, 8_600) == 700
    assert request_log.late_within(2_100, 4_900) == 0
