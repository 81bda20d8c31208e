"""Tests of the audit on constructed request logs: each rule at its limit and just past it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.testbed.audit import Ceiling, Figures, KindRule, Rule, audit
from irisdeal.testbed.backend_model import over_budget
from irisdeal.testbed.request_log import (
    SECOND,
    Answer,
    Attempt,
    BackendIncarnation,
    ClientAttempt,
    End,
    EndpointNotice,
    FrontDoorIncarnation,
    LinkFault,
    RequestLog,
)

FIGURES = Figures(
    kinds={
        "check": KindRule("safe"),
        "claim": KindRule("keyed", "zone", 5 * SECOND),
        "cell": KindRule("keyed", "cell", 5 * SECOND),
        "file": KindRule("unsafe"),
    },
    ceilings={"mall": Ceiling(10.0, 20.0, 2.0)},
    answer_grace=8_000,
    drain_grace=SECOND,
    fall_multiple=4.0,
    fall_window=2 * SECOND,
    cells={"s1": 1, "s2": 2, "s3": 1},
)
MS = 1000


def attempt(at: int, backend: str = "s1", **changes: object) -> Attempt:
    base: dict[str, object] = {
        "trace": "t",
        "key": "",
        "kind": "check",
        "plan": "plain",
        "customer": 7,
        "units": 1.0,
        "front_door": 0,
        "backend": backend,
        "zone": {"s1": "a", "s2": "b", "s3": "a"}[backend],
        "incarnation": 0,
        "connection": 1,
        "first_byte": at,
        "last_byte": at,
        "work": 50 * MS,
        "ran": True,
        "end": End.SERVED,
        "ended": at + 50 * MS,
        "body": b"x",
    }
    return Attempt(**{**base, **changes})  # type: ignore[arg-type]


def client_attempt(*answers: Answer, **changes: object) -> ClientAttempt:
    base: dict[str, object] = {
        "trace": "t",
        "request_number": 1,
        "attempt": 0,
        "key": "",
        "kind": "check",
        "plan": "plain",
        "customer": 7,
        "units": 1.0,
        "front_door": 0,
        "due": SECOND,
        "wait": SECOND,
        "at": SECOND,
        "answers": list(answers),
    }
    return ClientAttempt(**{**base, **changes})  # type: ignore[arg-type]


def broken(**records: object) -> list[str]:
    verdict = audit(RequestLog(**records), FIGURES)  # type: ignore[arg-type]
    assert verdict.kept == (not verdict.breaches)
    return [f"{b.rule.name}: {b.what}" for b in verdict.breaches]


OK = Answer(SECOND + 60 * MS, 200, b"x")
LIMIT = 2 * SECOND + 8 * MS + 50 * MS


def test_one_answer_in_time_that_a_backend_made_is_right() -> None:
    assert broken(client_attempts=[client_attempt(OK)], attempts=[attempt(SECOND)]) == []


@pytest.mark.parametrize(
    ("made", "expected"),
    [
        (client_attempt(), "never answered"),
        (client_attempt(disconnected_at=SECOND + 1), "its connection ended without a complete answer"),
        (client_attempt(Answer(LIMIT + 1, 502, b"")), "answered too late"),
        (client_attempt(OK, OK), "answered more than once"),
        (client_attempt(OK, stray=1), "answered more than once"),
        (client_attempt(Answer(SECOND + 60 * MS, 200, b"y")), "served with a body that no backend sent"),
        # Before the backend had served it.
        (
            client_attempt(Answer(SECOND + 40 * MS, 200, b"x")),
            "served with a body that no backend sent",
        ),
    ],
)
def test_answers_that_are_wrong(made: ClientAttempt, expected: str) -> None:
    assert broken(client_attempts=[made], attempts=[attempt(SECOND)]) == [f"ANSWERS: {expected}"]


def test_an_answer_at_the_limit_is_in_time_and_loop_stalls_extend_the_limit() -> None:
    assert broken(client_attempts=[client_attempt(Answer(LIMIT, 502, b""))]) == []
    late = [client_attempt(Answer(LIMIT + 50 * MS, 502, b""))]
    two = [(SECOND + 300 * MS, 20 * MS), (LIMIT, 30 * MS)]  # both fall into the wait
    assert broken(client_attempts=late, stalls=two) == []
    assert broken(client_attempts=late, stalls=two[:1]) == ["ANSWERS: answered too late"]
    within = [(LIMIT + 400 * MS, 600 * MS)]  # recorded at its end; the answer was read during the stall
    assert broken(client_attempts=late, stalls=within) == []
    behind = [(LIMIT + 400 * MS, 200 * MS)]
    assert broken(client_attempts=late, stalls=behind) == ["ANSWERS: answered too late"]
    before = [(SECOND - 1, 50 * MS)]  # over before the attempt began
    assert broken(client_attempts=late, stalls=before) == ["ANSWERS: answered too late"]


def test_lateness_alone_can_be_left_out() -> None:
    late = RequestLog(client_attempts=[client_attempt(Answer(LIMIT + 1, 502, b""))])
    assert not audit(late, FIGURES).kept and audit(late, FIGURES, timed=False).kept
    assert not audit(RequestLog(client_attempts=[client_attempt()]), FIGURES, timed=False).kept


def test_nothing_is_sent_after_the_answer() -> None:
    late = attempt(OK.at + 51 * MS, "s2")
    found = broken(client_attempts=[client_attempt(OK)], attempts=[attempt(SECOND), late])
    assert found == ["ANSWERS: sent after its final answer"]
    assert (
        broken(
            client_attempts=[client_attempt(OK)], attempts=[attempt(SECOND), attempt(OK.at + 50 * MS, "s2")]
        )
        == []
    )


def test_an_attempt_without_a_connection_needs_no_answer() -> None:
    assert broken(client_attempts=[client_attempt(at=0)]) == []


def test_requests_pending_at_a_killed_front_door_are_excused() -> None:
    incarnation = FrontDoorIncarnation(0, 1, started=0, killed=SECOND + 500 * MS)
    verdict = audit(
        RequestLog(
            client_attempts=[client_attempt(disconnected_at=SECOND + 500 * MS)], front_doors=[incarnation]
        ),
        FIGURES,
    )
    assert verdict.kept and verdict.excused == 1
    # At another front door.
    assert broken(
        client_attempts=[client_attempt(disconnected_at=SECOND + 400 * MS, front_door=1)],
        front_doors=[incarnation],
    )
    # After the kill: that process cannot have accepted it.
    assert broken(client_attempts=[client_attempt(at=2 * SECOND)], front_doors=[incarnation])


def test_a_kill_late_after_sigterm_excuses_nothing() -> None:
    late = FrontDoorIncarnation(0, 1, started=0, terminated=SECOND, killed=SECOND + 701 * MS)
    soon = FrontDoorIncarnation(0, 1, started=0, terminated=SECOND, killed=SECOND + 700 * MS)
    assert broken(client_attempts=[client_attempt()], front_doors=[late]) == ["ANSWERS: never answered"]
    assert broken(client_attempts=[client_attempt()], front_doors=[soon]) == []


def test_an_attempt_on_a_closing_connection_is_excused_unless_it_reached_a_backend() -> None:
    assert broken(client_attempts=[client_attempt(crossed=True)]) == []
    assert broken(client_attempts=[client_attempt(crossed=True)], attempts=[attempt(SECOND)]) == [
        "ANSWERS: never answered"
    ]


def test_an_unsafe_request_is_resent_only_after_a_rejection() -> None:
    first = attempt(SECOND, kind="file", end=End.REJECTED, ended=SECOND + 10 * MS, ran=False)
    assert broken(attempts=[first, attempt(SECOND + 10 * MS, "s2", kind="file")]) == []
    assert broken(attempts=[first, attempt(SECOND + 9 * MS, "s2", kind="file")]) == [
        "EFFECTS: an unsafe request was sent again"
    ]
    for end in (End.OPEN, End.ERROR, End.BROKEN, End.SPOILT, End.SERVED):
        again = [attempt(SECOND, kind="file", end=end), attempt(SECOND + 900 * MS, "s2", kind="file")]
        assert broken(attempts=again) == ["EFFECTS: an unsafe request was sent again"]


def test_a_keyed_request_is_resent_only_in_its_group_and_window() -> None:
    def sent(backend: str, after: int, kind: str = "claim") -> list[str]:
        return broken(attempts=[attempt(SECOND, kind=kind), attempt(SECOND + after, backend, kind=kind)])

    assert sent("s3", 5 * SECOND + 50 * MS) == []
    assert sent("s3", 5 * SECOND + 51 * MS) == ["EFFECTS: a keyed request was sent after its window"]
    assert sent("s2", 100) == ["EFFECTS: a keyed request was sent outside its group"]
    assert sent("s3", 100, "cell") == [] and sent("s2", 100, "cell") != []
    assert sent("s2", 100, "check") == []


def test_a_rejection_of_a_request_that_may_have_run_is_a_breach() -> None:
    refusal = Answer(SECOND + 20 * MS, 503, b"")
    running = attempt(SECOND, kind="claim")
    rejected = attempt(SECOND, kind="claim", end=End.REJECTED, ended=SECOND + 10 * MS)
    assert broken(client_attempts=[client_attempt(refusal, kind="claim")], attempts=[running]) == [
        "EFFECTS: refused, though it may have run"
    ]
    assert broken(client_attempts=[client_attempt(refusal, kind="claim")], attempts=[rejected]) == []
    assert broken(client_attempts=[client_attempt(refusal, kind="check")], attempts=[attempt(SECOND)]) == []
    assert (
        broken(
            client_attempts=[client_attempt(Answer(refusal.at, 502, b""), kind="claim")], attempts=[running]
        )
        == []
    )


def test_drains_count_from_what_this_process_was_notified() -> None:
    notices = [
        EndpointNotice(0, SECOND, "s1", "Ready", 0),
        EndpointNotice(0, 2 * SECOND, "s1", "Terminating", 0),
        EndpointNotice(0, 3 * SECOND, "s1", "Gone", 0),
    ]
    limit = 3 * SECOND + 50 * MS  # 1 s grace after the drain notice, 50 ms slack
    assert broken(endpoint_notices=notices, attempts=[attempt(limit)]) == []
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 1)]) == [
        "DRAINS: sent to a backend that drains or is gone"
    ]
    pending = [LinkFault("door 0", "a", limit - 1, limit + SECOND)]  # the link held it back
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + SECOND)], link_faults=pending) == []
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 2 * SECOND)], link_faults=pending) != []
    assert (
        broken(
            endpoint_notices=notices,
            attempts=[attempt(limit + 30 * MS)],
            link_faults=[LinkFault("door 0", "a", SECOND, late=30 * MS)],
        )
        == []
    )
    assert (
        broken(
            endpoint_notices=notices,
            attempts=[attempt(limit + 31 * MS)],
            link_faults=[LinkFault("door 0", "a", SECOND, late=30 * MS)],
        )
        != []
    )
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 1, front_door=1)]) == []
    near, far = [(limit - 100 * MS, 40 * MS)], [(limit - 400 * MS, 40 * MS)]
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 40 * MS)], stalls=near) == []
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 40 * MS)], stalls=far) != []
    back = EndpointNotice(0, 4 * SECOND, "s1", "Ready", 4 * SECOND)
    assert broken(endpoint_notices=[*notices, back], attempts=[attempt(5 * SECOND)]) == []
    incarnations = [FrontDoorIncarnation(0, 1, started=0), FrontDoorIncarnation(0, 2, started=limit)]
    assert broken(endpoint_notices=notices, attempts=[attempt(limit + 1)], front_doors=incarnations) == []


def test_lateness_from_a_paused_front_door_is_excused() -> None:
    late = client_attempt(Answer(LIMIT + 400 * MS, 502, b""))
    assert broken(client_attempts=[late]) == ["ANSWERS: answered too late"]
    assert broken(client_attempts=[late], pauses=[(0, 2 * SECOND, 2 * SECOND + 400 * MS)]) == []
    assert broken(client_attempts=[late], pauses=[(0, 2 * SECOND, 2 * SECOND + 399 * MS)]) != []
    # Another front door.
    assert broken(client_attempts=[late], pauses=[(1, 2 * SECOND, 2 * SECOND + 400 * MS)]) != []
    assert broken(client_attempts=[late], pauses=[(0, 0, SECOND)]) != []  # over before the attempt
    gone = client_attempt(gave_up=2 * SECOND)  # the client stopped reading, so an answer would go unrecorded
    assert broken(client_attempts=[gone], pauses=[(0, SECOND + 1, SECOND + 200 * MS)]) == [
        "ANSWERS: never answered"
    ]
    assert broken(client_attempts=[gone], pauses=[(0, SECOND + 1, SECOND + 900 * MS)]) == []


def test_attempts_to_a_draining_backend_are_excused_while_the_front_door_is_paused() -> None:
    notices = [EndpointNotice(0, SECOND, "s1", "Terminating", 0)]
    limit = 2 * SECOND + 50 * MS
    late = attempt(limit + 300 * MS)
    assert broken(endpoint_notices=notices, attempts=[late]) == [
        "DRAINS: sent to a backend that drains or is gone"
    ]
    assert (
        broken(endpoint_notices=notices, attempts=[late], pauses=[(0, SECOND + 1, SECOND + 1 + 300 * MS)])
        == []
    )
    assert (
        broken(endpoint_notices=notices, attempts=[late], pauses=[(0, SECOND + 1, SECOND + 200 * MS)]) != []
    )


def test_the_budget_of_a_backend_in_slow_start() -> None:
    incarnation = BackendIncarnation("s1", "a", 0, 10 * SECOND, 2.0, 0.25, 10 * SECOND)
    # Budget at the start: 4 x 0.5 x 2 s = 4 s of work, plus the largest single piece.
    at = 10 * SECOND + 1
    nine = [attempt(at, trace=f"t{n}", work=SECOND // 2, front_door=n % 3) for n in range(9)]
    notices = [EndpointNotice(front_door, at, "s1", "Ready", incarnation.at) for front_door in range(3)]
    assert broken(incarnations=[incarnation], attempts=nine, endpoint_notices=notices) == []
    ten = [*nine, attempt(at, trace="t9", work=SECOND // 2)]
    found = broken(incarnations=[incarnation], attempts=ten, endpoint_notices=notices)
    assert len(found) == 1 and found[0].startswith("COLD: 5.00 s of work in one window, 4.50 s allowed")
    spread = [attempt(at + n * 250 * MS, trace=f"t{n}", work=SECOND // 2) for n in range(20)]
    assert broken(incarnations=[incarnation], attempts=spread, endpoint_notices=notices) == []
    assert broken(overload_failures=[("s1", 0, at)]) == ["COLD: the backend failed from overload"]
    assert (
        broken(
            incarnations=[BackendIncarnation("s1", "a", 0, 0, 2.0, 0.25, 10 * SECOND)],
            attempts=nine * 3,
            endpoint_notices=notices,
        )
        == []
    )
    # Two thirds must come from front doors that were notified of this start; four of ten came from front door
    # 0.
    assert len(broken(incarnations=[incarnation], attempts=ten, endpoint_notices=notices[1:])) == 0
    assert (
        len(
            broken(
                incarnations=[incarnation],
                attempts=ten,
                endpoint_notices=[*notices[:2], EndpointNotice(2, at, "s1", "Ready", 0)],
            )
        )
        == 1
    )
    late = [EndpointNotice(front_door, at + 1, "s1", "Ready", incarnation.at) for front_door in range(3)]
    assert (
        broken(
            incarnations=[incarnation], attempts=ten, endpoint_notices=late, overload_failures=[("s1", 0, at)]
        )
        == []
    )
    assert broken(
        incarnations=[incarnation], attempts=nine, endpoint_notices=notices, overload_failures=[("s1", 0, at)]
    ) == ["COLD: the backend failed from overload"]


def test_a_ceiling_fills_at_its_rate_and_holds_its_slack() -> None:
    # Depth 20, slack 2, and 150 ms of 10 units a second.
    def breaches_at(*times: int) -> list[str]:
        return broken(
            attempts=[attempt(at, trace=f"t{n}", plan="mall", units=1.0) for n, at in enumerate(times)]
        )

    assert breaches_at(*[SECOND] * 23) == []
    assert len(breaches_at(*[SECOND] * 24)) == 1
    assert breaches_at(*[SECOND] * 23, *[SECOND + 100 * MS * (n + 1) for n in range(20)]) == []
    assert len(breaches_at(*[SECOND] * 23, *[SECOND + 70 * MS * (n + 1) for n in range(20)])) == 1
    batch = [attempt(SECOND, trace=f"t{n}", plan="mall", units=1.0) for n in range(24)]
    assert broken(attempts=batch, stalls=[(SECOND - 1, 100 * MS)]) == []
    again = [
        attempt(SECOND, trace="t", plan="mall", units=12.0),
        attempt(SECOND, "s2", trace="t", plan="mall", units=12.0),
    ]
    assert broken(attempts=again) == []  # further attempts of a request take no units


def test_a_breach_names_the_request_the_backends_the_times_and_the_figure() -> None:
    verdict = audit(
        RequestLog(attempts=[attempt(SECOND, kind="claim"), attempt(SECOND + 5, "s2", kind="claim")]), FIGURES
    )
    assert verdict.breaches[0].text(SECOND) == (
        "no effect happens twice: a keyed request was sent outside its group: t at s1, s2 "
        "(0.000 s, 0.000 s; group zone)"
    )


def test_all_breaches_are_counted_and_a_limited_number_kept() -> None:
    verdict = audit(RequestLog(client_attempts=[client_attempt(trace=f"t{n}") for n in range(500)]), FIGURES)
    assert verdict.counts[Rule.ANSWERS] == 500 and len(verdict.breaches) == 50


@given(st.lists(st.tuples(st.integers(0, 400_000), st.integers(1, 800_000)), max_size=60))
def test_the_sliding_window_agrees_with_summing_each_window(gaps: list[tuple[int, int]]) -> None:
    incarnation = BackendIncarnation("s1", "a", 0, 10 * SECOND, 2.0, 0.25, 10 * SECOND)
    at, sent = 10 * SECOND, []
    for gap, work in gaps:
        at += gap
        sent.append((at, work))
    over = None
    for n, (now, _) in enumerate(sent):
        window = [w for t, w in sent[: n + 1] if t > now - FIGURES.fall_window]
        if sum(window) > 4.0 * incarnation.now(now) * FIGURES.fall_window + max(window):
            over = now
            break
    found = over_budget(sent, incarnation, FIGURES)
    assert (found and found[0]) == over
