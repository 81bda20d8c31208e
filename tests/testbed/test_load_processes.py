"""Terminals in several processes, strangers, and the bound by capacity alone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest
import uvloop

from irisdeal.demo.processes import Deploy
from irisdeal.demo.run import play
from irisdeal.testbed.capacity_bound import reference
from irisdeal.testbed.load_processes import Crowd, CrowdError
from irisdeal.testbed.request_log import SECOND, Books, Clock, Life, Taken, lay_together
from irisdeal.testbed.scenario import ScenarioError, parse
from irisdeal.testbed.workload import draw
from tests.support.front_door_rig import SMALL

HERE = Deploy(Path(__file__).parents[2], f"exec {sys.executable} -m irisdeal")
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


def test_two_processes_ask_what_one_would_and_their_books_are_one() -> None:
    day = draw(parse(CROWDED).resized(seconds=2), 5)
    outcome = uvloop.run(play(day, HERE))
    assert outcome.kept, [breach.text() for breach in outcome.verdict.breaches]
    books = outcome.books
    asks = [taken.ask for taken in books.taken if taken.attempt == 0]
    assert sorted(asks) == [arrival.ask for arrival in day.arrivals]
    assert len({taken.trace for taken in books.taken}) == len(books.taken)
    by_trace = {taken.trace: taken for taken in books.taken}
    for attempt in books.attempts:  # one clock: what a box saw lies between the ask and its answer
        taken = by_trace[attempt.trace]
        assert taken.at - 5_000 <= attempt.last_byte
        # Another box may have answered first while this one's attempt was on its way.
        if taken.answers and taken.answers[0].body == attempt.body:
            assert attempt.first_byte <= taken.answers[0].at + 5_000
    assert books.strangers.get("told", 0) + books.strangers.get("closed", 0) > 80
    assert not books.strangers.get("open")
    assert 0.0 < outcome.service.whole.share <= outcome.reference <= 1.0


def test_a_process_that_dies_is_told_and_the_others_end() -> None:
    async def run() -> None:
        day = draw(parse(CROWDED), 1)
        clock = Clock()
        crowd = Crowd(day, Books(), clock, [("127.0.0.1", 1), ("127.0.0.1", 1)], 2)
        await crowd.prepare()
        playing = asyncio.get_running_loop().create_task(crowd.run(clock() + 60 * SECOND))
        crowd.processes[0].kill()
        with pytest.raises(CrowdError, match="without its book"):
            await playing
        crowd.close()
        for process in crowd.processes:
            await process.wait()

    uvloop.run(run())


def test_stalls_of_several_loops_are_laid_together() -> None:
    assert lay_together([(100, 50), (400, 10)], [(120, 30), (390, 100)]) == [(120, 70), (400, 110)]
    assert lay_together([], []) == []


def test_more_processes_than_a_machine_has_are_refused() -> None:
    with pytest.raises(ScenarioError, match=r"load\.processes is 9: wanted 1 to 8"):
        parse(SMALL.replace("use = 0.25", "use = 0.25\nprocesses = 9"))


def told(at_s: float, kind: str = "check", ask: int = 0) -> Taken:
    return Taken(f"t{ask}", ask, 0, "", kind, "plain", ask, 1.0, 0, round(at_s * SECOND), SECOND)


def test_the_bound_by_capacity_is_the_densest_work_that_fits_in_time() -> None:
    scenario = parse(SMALL.replace("seconds = 3", "seconds = 9"))
    kinds = {c.name: c for c in scenario.classes}
    start = SECOND

    def bound(capacity: float, *taken: Taken) -> float:
        lives = [Life("s", "h", 0, 0, capacity, 1.0, 0)]
        return reference(Books(taken=list(taken), lives=lives), scenario, start)

    heap = [told(4.0, ask=n) for n in range(400)]  # all at once, each of a store of its own
    each = kinds["check"].work_ms / 1000
    # Slots of half a second, and an aim of 0.4 s from the begin of one: the work has that one slot alone.
    assert bound(1.0, *heap) == pytest.approx(0.5 / (400 * each))
    assert bound(100.0, *heap) == pytest.approx(1.0)
    # The same work spread over the day fits the same capacity.
    assert bound(1.0, *(told(2.0 + n * 0.02, ask=n) for n in range(300))) > 0.9
    # Denser work goes first: a claim is worth as much as a check and takes longer. Its aim ends a slot later.
    mixed = [*heap[:200], *(told(4.0, "claim", 1000 + n) for n in range(200))]
    claim = kinds["claim"].work_ms / 1000
    assert bound(1.0, *mixed) == pytest.approx((0.5 / each + 0.5 / claim) / 400)


def test_lateness_of_the_day_leaves_out_its_start_and_its_end() -> None:
    books = Books(stalls=[(1_000, 900), (2_050, 100), (5_000, 30), (9_200, 700)])
    assert books.late_within(2_000, 8_500) == 100  # one of which a part lies inside counts as well
    assert books.late_within(2_100, 8_600) == 700
    assert books.late_within(2_100, 4_900) == 0
