"""Rule 11: each request that a front door accepted gets exactly one final answer, in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Rule
from irisdeal.testbed.request_log import Answer, Attempt, ClientAttempt, End, FrontDoorIncarnation

MIN_READ_AFTER_TIMEOUT_US = 450_000  # a client reads its connection at least this long after giving up
MAX_EXCUSED_SHUTDOWN_US = 700_000  # SIGKILL later than this after SIGTERM excuses nothing; PROTOCOL, Figures
CONNECTION_ENDED = "its connection ended without a complete answer"


def answers(evidence: Evidence, timed: bool) -> Iterator[Breach]:
    """Find the breaches of rule 11; late answers are reported only if `timed` is true."""
    incarnations: dict[int, list[FrontDoorIncarnation]] = defaultdict(list)
    for incarnation in evidence.request_log.front_doors:
        incarnations[incarnation.front_door].append(incarnation)
    for client_attempt in evidence.request_log.client_attempts:
        if not client_attempt.at:
            continue  # no connection to a front door was established
        evidence.verdict.checked[Rule.ANSWERS] += 1
        case = _make_case(evidence, client_attempt)
        if client_attempt.answers:
            yield from _check_answered(evidence, case, timed)
        else:
            yield from _check_unanswered(evidence, case, incarnations[client_attempt.front_door])


@dataclass(frozen=True, slots=True)
class _Case:
    """A client attempt and its backend attempts. `due` and `limit` in µs; `limit` includes all tolerances."""

    client_attempt: ClientAttempt
    attempts: list[Attempt]
    due: int
    limit: int
    figure: str

    @property
    def backends(self) -> tuple[str, ...]:
        """The backends that received an attempt, without repeats."""
        return tuple(dict.fromkeys(a.backend for a in self.attempts))

    def breach(self, what: str, times: tuple[int, ...], figure: str) -> Breach:
        """Make a breach of rule 11."""
        return Breach(Rule.ANSWERS, what, self.client_attempt.trace, self.backends, times, figure)


def _make_case(evidence: Evidence, client_attempt: ClientAttempt) -> _Case:
    at, grace = client_attempt.at, evidence.figures.answer_grace
    due = at + client_attempt.wait + grace
    answered = client_attempt.answers[0].at if client_attempt.answers else 0
    extra = evidence.slack.over(at, max(due, answered))
    extra += evidence.pauses.over(client_attempt.front_door, at, due)
    figure = f"answered once by {client_attempt.wait / 1e6:.3f} s and {(grace + extra) / 1e3:.0f} ms"
    attempts = evidence.attempts.get(client_attempt.trace, [])
    return _Case(client_attempt, attempts, due, due + extra, figure)


def _check_unanswered(
    evidence: Evidence, case: _Case, incarnations: Iterable[FrontDoorIncarnation]
) -> Iterator[Breach]:
    client_attempt = case.client_attempt
    if client_attempt.crossed and not case.attempts:
        return
    if _is_excused(client_attempt, incarnations) or _is_unobserved(evidence, case):
        evidence.verdict.excused += 1
        return
    what = CONNECTION_ENDED if client_attempt.disconnected_at else "never answered"
    times = (client_attempt.at, client_attempt.disconnected_at or case.limit)
    yield case.breach(what, times, case.figure)


def _is_unobserved(evidence: Evidence, case: _Case) -> bool:
    """Whether the front door was paused and the client stopped reading before the answer was due."""
    client_attempt = case.client_attempt
    return (
        client_attempt.gave_up > 0
        and case.limit > client_attempt.gave_up + MIN_READ_AFTER_TIMEOUT_US
        and evidence.pauses.over(client_attempt.front_door, client_attempt.at, case.due) > 0
    )


def _check_answered(evidence: Evidence, case: _Case, timed: bool) -> Iterator[Breach]:
    client_attempt, answer = case.client_attempt, case.client_attempt.answers[0]
    if answer.at > case.limit and timed:
        yield case.breach("answered too late", (client_attempt.at, answer.at), case.figure)
    if len(client_attempt.answers) > 1 or client_attempt.stray:
        times = tuple(a.at for a in client_attempt.answers)
        yield case.breach("answered more than once", times, "one final one")
    if answer.status == 200 and not _was_made_by_backend(answer, case.attempts):
        figure = "the unchanged body of a backend's 200 answer"
        yield case.breach("served with a body that no backend sent", (answer.at,), figure)
    for attempt in case.attempts:
        sent = evidence.sent(attempt)
        if sent > answer.at + evidence.slack.near(answer.at, sent):
            yield Breach(
                Rule.ANSWERS,
                "sent after its final answer",
                client_attempt.trace,
                (attempt.backend,),
                (answer.at, attempt.first_byte),
                "nothing more is sent for it",
            )


def _is_excused(client_attempt: ClientAttempt, incarnations: Iterable[FrontDoorIncarnation]) -> bool:
    """Whether the front door was killed while the request was pending, soon enough after SIGTERM."""
    for incarnation in incarnations:
        # Its sockets accept requests until the process has ended, shortly after the signal.
        if (
            incarnation.killed
            and incarnation.started <= client_attempt.at <= max(incarnation.killed, incarnation.ended)
            and (not client_attempt.answers or client_attempt.answers[0].at > incarnation.killed)
        ):
            return not (
                incarnation.terminated
                and incarnation.killed - incarnation.terminated > MAX_EXCUSED_SHUTDOWN_US
            )
    return False


def _was_made_by_backend(answer: Answer, attempts: list[Attempt]) -> bool:
    """Whether a backend had sent this body by the time of the answer."""
    return any(a.end is End.SERVED and a.body == answer.body and a.ended <= answer.at for a in attempts)
