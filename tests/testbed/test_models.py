"""Tests of the pure parts of the test services, with a simulated clock."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.testbed.audit import Figures
from irisdeal.testbed.backend_model import Admission, BackendModel, Completion, IdempotencyMemory, Job, Meter
from irisdeal.testbed.counter_service import CounterModel, CounterServer, _CounterConnection, parse_call
from irisdeal.testbed.discovery_service import Endpoint, EndpointList
from irisdeal.testbed.request_log import SECOND, BackendIncarnation
from irisdeal.testbed.scenario import CounterSpec
from irisdeal.testbed.workload import Machine

FIGURES = Figures({}, {}, 8_000, SECOND, 4.0, 2 * SECOND, {})
FAR = 10**15


def machine(**changes: object) -> Machine:
    base: dict[str, object] = {
        "number": 0,
        "zone": "a",
        "kind": "std",
        "cell": 0,
        "cores": 2,
        "speed": 1.0,
        "slots": 4,
        "queue": 2,
        "initial_capacity": 0.25,
        "slow_start": 10 * SECOND,
        "error_rate": 0.0,
    }
    return Machine(**{**base, **changes})  # type: ignore[arg-type]


def backend(at: int = 0, **changes: object) -> BackendModel:
    drawn = machine(**changes)
    incarnation = BackendIncarnation(
        "s", "a", 0, at, drawn.capacity, drawn.initial_capacity, drawn.slow_start
    )
    return BackendModel(drawn, FIGURES, incarnation, now=at)


def job(work: int, deadline: int = FAR) -> Job:
    return Job(work, deadline, 0)


def test_two_cores_serve_two_at_full_speed_and_four_at_half() -> None:
    model = backend()
    for _ in range(2):
        model.arrive(job(1000))
    assert [j.work for j, _ in model.advance(999)] == []
    assert len(model.advance(1001)) == 2
    for _ in range(4):
        model.arrive(job(1000))
    assert model.advance(1001 + 1990) == []
    assert len(model.advance(1001 + 2010)) == 4


def test_a_request_beyond_slots_and_queue_is_rejected() -> None:
    model = backend()
    results = [model.arrive(job(1000)) for _ in range(7)]
    assert results == [Admission.ADMITTED] * 6 + [Admission.FULL]


def test_an_expired_queued_request_never_runs() -> None:
    model = backend(slots=1, cores=1)
    model.arrive(job(1000))
    model.arrive(job(1000, deadline=500))
    ends = model.advance(5000)
    assert [done for _, done in ends] == [Completion.SERVED, Completion.EXPIRED]


def test_a_hung_backend_admits_and_completes_nothing_until_the_hang_ends() -> None:
    model = backend()
    model.hung = True
    assert model.arrive(job(1000)) is Admission.ADMITTED
    assert model.advance(SECOND) == [] and model.next_end() is None
    model.hung = False
    assert len(model.advance(SECOND + 1001)) == 1


def test_capacity_in_slow_start_rises_from_the_initial_share_to_the_full() -> None:
    start = 100 * SECOND
    model = backend(at=start, cores=1)
    assert model.incarnation.now(start) == pytest.approx(0.25)
    assert model.incarnation.now(start + 5 * SECOND) == pytest.approx(0.625)
    assert model.incarnation.now(start + 11 * SECOND) == 1.0
    model.arrive(job(100_000))
    model.advance(start + 370_000)  # 0.25 t + 0.0375 t² = 0.1 s of work at t = 0.379 s
    assert model.running
    model.advance(start + 385_000)
    assert not model.running


def test_a_backend_over_its_slow_start_budget_fails() -> None:
    start = 100 * SECOND
    model = backend(at=start, slots=100, queue=1000)
    # Budget of a window: 2 cores x 0.25 x 4 x 2 s = 4 s of work, plus the largest single request.
    results = [model.arrive(job(SECOND // 2)) for _ in range(10)]
    assert results[:9] == [Admission.ADMITTED] * 9 and results[9] is Admission.OVERLOADED
    warm = backend(slots=100, queue=1000)
    assert Admission.OVERLOADED not in [warm.arrive(job(SECOND)) for _ in range(50)]


@given(
    st.lists(st.tuples(st.integers(0, 20_000), st.integers(100, 60_000)), min_size=1, max_size=40),
    st.lists(st.integers(1, 30_000), max_size=40),
)
def test_each_admitted_request_ends_once_and_no_work_is_lost(
    jobs: list[tuple[int, int]],
    pauses: list[int],
) -> None:
    model, at, admitted, ended, latest = backend(slots=3, queue=50), 0, 0, [], 0
    for pause, work in jobs:
        at += pause
        ended += model.advance(at)
        admitted += model.arrive(job(work)) is Admission.ADMITTED
    for pause in pauses:
        at += pause
        ended += model.advance(at)
    while (due := model.next_end()) is not None:
        ended += model.advance(due)
        latest = due
    assert len(ended) == admitted == len({id(j) for j, _ in ended})
    total = sum(j.work for j, _ in ended)
    assert latest == 0 or model.now * 2 >= total - 2 * len(ended) - 2  # the most that two cores can do


def test_an_idempotency_key_is_kept_for_its_window() -> None:
    memory = IdempotencyMemory(5 * SECOND)
    assert memory.first("k", 0)
    assert not memory.first("k", 5 * SECOND - 1)
    assert memory.first("k", 5 * SECOND)
    for n in range(10_000):
        memory.first(f"k{n}", 100 * SECOND + n * 1000)
    assert len(memory.seen) <= 5001


def test_the_meter_publishes_with_a_delay_and_counts_a_request_once() -> None:
    meter = Meter(SECOND, SECOND // 2, {"p": 10.0})
    for _ in range(3):
        meter.add("t1", "p", 7, 4.0, 200_000)
    meter.add("t2", "p", 7, 1.0, 900_000)
    assert meter.percent("p", 7, 1_400_000) == 0  # the period is over but not yet published
    assert meter.percent("p", 7, 1_600_000) == 50
    assert meter.percent("p", 7, 2_600_000) == 0
    for n in range(1000):
        meter.add(f"x{n}", "p", n, 1.0, (3 + n) * SECOND)
    assert len(meter.sums) < 5 and len(meter.counted) < 20


# The counter service


def test_the_counter_adds_expires_names_and_rejects_calls_over_its_queue() -> None:
    model = CounterModel(CounterSpec(calls_per_s=100, shards=1, call_ms=1, queue_ms=20))
    assert model.add("n", 2.0, SECOND, 0) == 2.0
    assert model.add("n", 1.5, 60 * SECOND, SECOND - 1) == 3.5  # later calls do not extend the lifetime
    assert model.add("n", 1.0, SECOND, SECOND) == 1.0
    dues = [model.serve("n", 10 * SECOND) for _ in range(4)]
    assert dues == [10 * SECOND + 11_000, 10 * SECOND + 21_000, 10 * SECOND + 31_000, None]


def test_a_slowdown_delays_calls_and_a_flush_removes_its_share_of_names() -> None:
    model = CounterModel(CounterSpec(calls_per_s=100, shards=1, call_ms=1, queue_ms=20), slowdown=5.0)
    assert model.serve("n", 0) == 51_000
    for n in range(100):
        model.add(f"n{n}", 1.0, 60 * SECOND, 0)
    assert model.flush(0.8, random.Random(1)) == 80
    assert len(model.counts) == 20


def test_the_counter_removes_expired_names() -> None:
    model = CounterModel(CounterSpec())
    for second in range(200):
        for n in range(20):
            model.add(f"{second}-{n}", 1.0, 5 * SECOND, second * SECOND)
    assert len(model.counts) <= 20 * 7


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"tally",
        b"tally n 1",
        b"tally n x 10",
        b"tally n nan 10",
        b"tally n 1_0 10",
        b"tally n 2e9 10",
        b"tally n 1 0",
        b"tally n 1 -5",
        b"tally  n 1 5",
        b"tally " + b"n" * 65 + b" 1 5",
        b"add n 1 5",
        b"\xff n 1 5",
    ],
)
def test_a_malformed_call_is_rejected(line: bytes) -> None:
    assert parse_call(line) is None


def test_a_calls_lifetime_is_limited_to_a_minute() -> None:
    assert parse_call(b"tally a.b -2.5 4000") == ("a.b", -2.5, 4 * SECOND)
    assert parse_call(b"tally n 1e3 600000") == ("n", 1000.0, 60 * SECOND)


# The discovery service


def member(name: str, phase: str = "Ready") -> Endpoint:
    return Endpoint(name, "a", "std", 0, phase, 0, (1, 2))


def test_an_agent_serves_only_the_revisions_pushed_to_it() -> None:
    endpoints = EndpointList()
    endpoints.change(member("s1"), member("s2"))
    endpoints.fill(range(2))
    revision = endpoints.change(member("s1", "Terminating"))
    assert [m.phase for m in endpoints.complete_list(0)[1]] == ["Ready", "Ready"]
    assert endpoints.push(0, revision) and not endpoints.push(0, revision)
    reached, changes, complete = endpoints.since(0, revision - 1)
    assert (reached, [(m.backend, m.phase) for m in changes], complete) == (
        revision,
        [("s1", "Terminating")],
        False,
    )
    assert endpoints.since(1, revision - 1)[1] == []
    last = endpoints.change(member("s1", "Gone"))
    endpoints.push(1, last)  # after a lost push, the next one has both changes; the later one counts
    assert [(m.backend, m.phase) for m in endpoints.since(1, revision - 1)[1]] == [("s1", "Gone")]
    assert [m.backend for m in endpoints.complete_list(1)[1]] == ["s2"]


def test_a_watch_too_far_behind_or_ahead_gets_the_complete_list() -> None:
    endpoints = EndpointList()
    endpoints.change(member("s0"))
    endpoints.fill(range(1))
    for n in range(1500):
        endpoints.push(0, endpoints.change(member(f"s{n % 5}")))
    assert len(endpoints.history) <= 1000
    assert endpoints.since(0, 2)[2]
    assert endpoints.since(0, 10**9)[2]


async def _answers_with_a_late_loop() -> list[bytes]:
    clock = [0]
    counter = CounterServer(CounterSpec(), lambda: clock[0], 1)
    line = _CounterConnection(counter, 0)
    written: list[bytes] = []
    both = asyncio.Event()

    class Wire(asyncio.Transport):
        def write(self, data: bytes | bytearray | memoryview) -> None:
            written.append(bytes(data))
            if len(written) == 2:
                both.set()

    line.transport = Wire()
    line.answer(20_000, b"first")
    # The clock jumps, as after a stalled loop: the timer of the first answer is still far off.
    clock[0] = 19_999
    line.answer(19_999, b"second")
    clock[0] = 20_000
    await asyncio.wait_for(both.wait(), 10)
    return written


def test_a_late_counter_service_still_answers_in_the_order_of_the_calls() -> None:
    """With one timer for each answer, two that were due together were swapped: a call got another name's
    total.
    """
    assert asyncio.run(_answers_with_a_late_loop()) == [b"first", b"second"]
