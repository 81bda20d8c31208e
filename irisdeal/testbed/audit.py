"""The five rules (BRIEF 11 to 15), judged by the test services' request logs alone. Pure: no I/O, no clock.

What each rule comes to in the request logs:

| rule | a breach is |
| --- | --- |
| answers (11) | an accepted request with no final answer in time, two, a forged one, or more sent after it |
| effects (12) | a further attempt, or a refusal, that the class forbids while an earlier one may have run |
| drains (13) | an attempt whose first byte came to a backend later than the grace after its front door was told |
| cold (14) | work sent to a backend in slow start, in any window, over what it could do, by front doors that knew |
| ceilings (15) | a customer's tenant of the ceiling below its slack |

Excused, by the protocol: what a front door had pending when it was killed (BRIEF 11), and a client attempt on a
reused connection that closed before the front door can have read it (PROTOCOL, Clients to front doors). Time
limits are 50 ms longer on sockets (PROTOCOL, The rules on sockets), and longer by the stalls of the testbed's own
event loop meanwhile: its lag must not be a front door's breach.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate, pairwise

from irisdeal.testbed.request_log import (
    SECOND,
    Answer,
    Attempt,
    BackendIncarnation,
    ClientAttempt,
    End,
    FrontDoorIncarnation,
    LinkFault,
    RequestLog,
    front_door_name,
)

SOCKET_SLACK = 50_000  # µs; PROTOCOL, The rules on sockets: each time limit is 50 ms longer
NEAR = 300_000  # µs round a moment in which a stall can have moved it
WATCHED = 450_000  # µs that a client surely still reads after it has given up
FLUSH = 100_000  # µs in which a link passes on what it has held, and the backend takes it
BLAMED = (
    2 / 3
)  # of the work that pushed a backend in slow start over: from front doors that had been told of its start
CEILING_SLACK = 0.150  # s of the ceiling's rate; the same page
TERM_SPARED = 700_000  # µs after SIGTERM from which SIGKILL excuses nothing; PROTOCOL, Figures
MOST_NAMED = 50  # breaches kept of each rule: a day that breaks all the time must not fill the memory


class Rule(Enum):
    ANSWERS = "no request is lost"
    EFFECTS = "no effect happens twice"
    DRAINS = "drains are kept"
    COLD = "a cold box is not pushed over"
    CEILINGS = "ceilings are kept"


@dataclass(frozen=True, slots=True)
class KindRule:
    """A class's rule on repeats: `repeat` is safe, keyed or unsafe; `group` is all, zone or cell."""

    repeat: str
    group: str = "zone"
    window: int = 5 * SECOND  # µs


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's ceiling: units a second, units at most, and units that it may go below nothing."""

    rate: float
    depth: float
    slack: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules, from the front doors' settings."""

    kinds: dict[str, KindRule]
    ceilings: dict[str, Ceiling]  # by plan; a plan that is not here has none
    answer_grace: int  # µs
    drain_grace: int  # µs
    fall_multiple: float
    fall_window: int  # µs
    cells: dict[str, int]  # by backend


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: the request (or customer), the backends, the times in µs, and the rule's figure in words."""

    rule: Rule
    what: str
    request: str
    backends: tuple[str, ...]
    times: tuple[int, ...]
    figure: str

    def text(self, origin: int = 0) -> str:
        """One line; times in seconds from `origin` (µs)."""
        when = ", ".join(f"{(at - origin) / 1e6:.3f} s" for at in self.times)
        at = f" at {', '.join(self.backends)}" if self.backends else ""
        return f"{self.rule.value}: {self.what}: {self.request}{at} ({when}; {self.figure})"


@dataclass(slots=True)
class Verdict:
    """What the audit found: how much it looked at, and each breach."""

    counts: dict[Rule, int]
    checked: dict[Rule, int]
    breaches: list[Breach]
    excused: int = 0

    @property
    def kept(self) -> bool:
        return not any(self.counts.values())

    def broken(self) -> set[Rule]:
        return {rule for rule, count in self.counts.items() if count}


def audit(request_log: RequestLog, figures: Figures, timed: bool = True) -> Verdict:
    """Judge one run. The request logs must be complete: every attempt and try of the run is in them.

    Not `timed`, how late an answer came is left out, and that alone: for a front door in the test services' own
    loop, whose lateness is theirs and the machine's.
    """
    verdict = Verdict({rule: 0 for rule in Rule}, {rule: 0 for rule in Rule}, [])
    slack = _Slack(request_log)
    sent = _Sent(request_log)
    by_trace: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in request_log.attempts:
        by_trace[attempt.trace].append(attempt)
    for attempts in by_trace.values():
        attempts.sort(key=lambda a: a.last_byte)
    found = (
        *_answers(request_log, by_trace, sent, figures, slack, verdict, timed),
        *_effects(request_log, by_trace, sent, figures, slack, verdict),
        *_drains(request_log, sent, figures, slack, verdict),
        *_cold(request_log, figures, slack, verdict),
        *_ceilings(by_trace, figures, slack, verdict),
    )
    for breach in found:
        verdict.counts[breach.rule] += 1
        if verdict.counts[breach.rule] <= MOST_NAMED:
            verdict.breaches.append(breach)
    return verdict


class _Slack:
    """What a time limit is longer by: 50 ms, and each stall of our own loop that can have played a part."""

    def __init__(self, request_log: RequestLog) -> None:
        self.ends = [at for at, _ in request_log.stalls]
        self.begins = [at - late for at, late in request_log.stalls]  # in order too: they do not overlap
        self.sums = [0, *accumulate(late for _, late in request_log.stalls)]

    def over(self, start: int, end: int) -> int:
        """For something that was waited for from `start` to `end` (µs): all stalls meanwhile add up.

        A stall is noted once it is over: an answer read in the middle of it comes before the note.
        """
        first, last = bisect_left(self.ends, start), bisect_right(self.begins, end + SOCKET_SLACK)
        return SOCKET_SLACK + self.sums[max(first, last)] - self.sums[first]

    def near(self, *moments: int) -> int:
        """For moments (µs) that were noted: the stalls just before and behind each."""
        return SOCKET_SLACK + sum(map(self.stalled, moments))

    def stalled(self, at: int) -> int:
        """µs that our loop stood still near a moment."""
        return self.over(at - NEAR, at + NEAR) - SOCKET_SLACK


class _Pauses:
    """The times in which we kept a front door from running: what it does late by them is no fault of its own."""

    def __init__(self, request_log: RequestLog) -> None:
        self.by_front_door: dict[int, list[tuple[int, int]]] = defaultdict(list)
        for front_door, start, end in request_log.pauses:
            self.by_front_door[front_door].append((start, end))

    def over(self, front_door: int, start: int, end: int) -> int:
        """µs of them that a wait from `start` to `end` met; one that outlasts the wait counts to its end."""
        return sum(
            stop - max(start, begin)
            for begin, stop in self.by_front_door.get(front_door, ())
            if begin <= end and stop > start
        )


class _Sent:
    """The earliest moment at which a front door can have sent an attempt that a backend saw.

    That is the backend's first byte, but for a link that held it back meanwhile: what a link of ours kept is no
    front door's lateness.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self.link_faults: dict[tuple[str, str], list[LinkFault]] = defaultdict(list)
        for link_fault in request_log.link_faults:
            self.link_faults[link_fault.source, link_fault.target].append(link_fault)

    def __call__(self, attempt: Attempt) -> int:
        at = attempt.first_byte
        for link_fault in reversed(
            self.link_faults.get((front_door_name(attempt.front_door), attempt.zone), ())
        ):
            end = (link_fault.end or at) + FLUSH + link_fault.late
            if link_fault.start <= at <= end:
                at = max(link_fault.start, at - link_fault.late) if link_fault.late else link_fault.start
        return at


# Rule 11


def _excused(client_attempt: ClientAttempt, incarnations: Iterable[FrontDoorIncarnation]) -> bool:
    """Its front door was killed while it held the try (not so late after SIGTERM that all should be answered)."""
    for incarnation in incarnations:
        # Its sockets go on taking until it has ended, a moment after the signal.
        if (
            incarnation.killed
            and incarnation.started <= client_attempt.at <= max(incarnation.killed, incarnation.ended)
            and (not client_attempt.answers or client_attempt.answers[0].at > incarnation.killed)
        ):
            return not (incarnation.terminated and incarnation.killed - incarnation.terminated > TERM_SPARED)
    return False


def _answers(
    request_log: RequestLog,
    by_trace: dict[str, list[Attempt]],
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
    timed: bool,
) -> Iterator[Breach]:
    incarnations: dict[int, list[FrontDoorIncarnation]] = defaultdict(list)
    for incarnation in request_log.front_doors:
        incarnations[incarnation.front_door].append(incarnation)
    pauses = _Pauses(request_log)
    for client_attempt in request_log.client_attempts:
        if not client_attempt.at:
            continue  # never came to a front door
        verdict.checked[Rule.ANSWERS] += 1
        attempts = by_trace.get(client_attempt.trace, [])
        due = client_attempt.at + client_attempt.wait + figures.answer_grace
        extra = slack.over(
            client_attempt.at, max(due, client_attempt.answers[0].at if client_attempt.answers else 0)
        )
        extra += pauses.over(client_attempt.front_door, client_attempt.at, due)
        limit, grace = due + extra, (figures.answer_grace + extra) / 1e3
        backends = tuple(dict.fromkeys(a.backend for a in attempts))
        figure = f"answered once by {client_attempt.wait / 1e6:.3f} s and {grace:.0f} ms"
        if not client_attempt.answers:
            if client_attempt.crossed and not attempts:
                continue
            if _excused(client_attempt, incarnations[client_attempt.front_door]):
                verdict.excused += 1
                continue
            if (
                client_attempt.gave_up
                and limit > client_attempt.gave_up + WATCHED
                and pauses.over(client_attempt.front_door, client_attempt.at, due)
            ):
                verdict.excused += 1  # we stopped its front door, and its client had gone before it was due
                continue
            what = (
                "its connection ended with no whole answer"
                if client_attempt.disconnected_at
                else "never answered"
            )
            yield Breach(
                Rule.ANSWERS,
                what,
                client_attempt.trace,
                backends,
                (client_attempt.at, client_attempt.disconnected_at or limit),
                figure,
            )
            continue
        answer = client_attempt.answers[0]
        if answer.at > limit and timed:
            yield Breach(
                Rule.ANSWERS,
                "answered too late",
                client_attempt.trace,
                backends,
                (client_attempt.at, answer.at),
                figure,
            )
        if len(client_attempt.answers) > 1 or client_attempt.stray:
            times = tuple(a.at for a in client_attempt.answers)
            yield Breach(
                Rule.ANSWERS,
                "answered more than once",
                client_attempt.trace,
                backends,
                times,
                "one final one",
            )
        if answer.status == 200 and not _made(answer, attempts):
            yield Breach(
                Rule.ANSWERS,
                "served with what no box made for it",
                client_attempt.trace,
                backends,
                (answer.at,),
                "the body of a box's 200 answer, unchanged",
            )
        for late in (a for a in attempts if sent(a) > answer.at + slack.near(answer.at, sent(a))):
            yield Breach(
                Rule.ANSWERS,
                "sent after its final answer",
                client_attempt.trace,
                (late.backend,),
                (answer.at, late.first_byte),
                "nothing more is sent for it",
            )


def _made(answer: Answer, attempts: list[Attempt]) -> bool:
    return any(a.end is End.SERVED and a.body == answer.body and a.ended <= answer.at for a in attempts)


# Rule 12


def _may_have_run(earlier: Attempt, at: int) -> bool:
    """Whether, at that time, the front door could not know that an attempt never ran."""
    return earlier.end is not End.TURNED_AWAY or earlier.ended > at


def _same_group(one: Attempt, other: Attempt, rule: KindRule, cells: dict[str, int]) -> bool:
    if rule.group == "all":
        return True
    if rule.group == "zone":
        return one.zone == other.zone
    return cells.get(one.backend) is not None and cells.get(one.backend) == cells.get(other.backend)


def _effects(
    request_log: RequestLog,
    by_trace: dict[str, list[Attempt]],
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
) -> Iterator[Breach]:
    for trace, attempts in by_trace.items():
        rule = figures.kinds.get(attempts[0].kind)
        if rule is None or rule.repeat == "safe":
            continue
        verdict.checked[Rule.EFFECTS] += 1
        for n, later in enumerate(attempts):
            # Written one after the other, two attempts may show in another order by the loop's lateness.
            risky = [a for a in attempts[:n] if _may_have_run(a, later.last_byte)]
            for earlier in risky:
                times, backends = (earlier.last_byte, later.last_byte), (earlier.backend, later.backend)
                if rule.repeat == "unsafe":
                    yield Breach(
                        Rule.EFFECTS,
                        "an unsafe request was sent again",
                        trace,
                        backends,
                        times,
                        "only when each earlier attempt is known not to have run",
                    )
                elif not _same_group(earlier, later, rule, figures.cells):
                    yield Breach(
                        Rule.EFFECTS,
                        "a keyed request was sent outside its group",
                        trace,
                        backends,
                        times,
                        f"group {rule.group}",
                    )
                elif sent(later) > earlier.first_byte + rule.window + slack.near(
                    earlier.first_byte, sent(later)
                ):
                    yield Breach(
                        Rule.EFFECTS,
                        "a keyed request was sent after its window",
                        trace,
                        backends,
                        times,
                        f"{rule.window / 1e6:.1f} s",
                    )
                else:
                    continue
                break
    for client_attempt in request_log.client_attempts:
        rule = figures.kinds.get(client_attempt.kind)
        if not client_attempt.answers or client_attempt.answers[0].status not in (429, 503) or rule is None:
            continue
        if rule.repeat == "safe" or (rule.repeat == "keyed" and rule.group == "all"):
            continue
        answer = client_attempt.answers[0]
        verdict.checked[Rule.EFFECTS] += 1
        for attempt in by_trace.get(client_attempt.trace, []):
            if _may_have_run(attempt, answer.at):
                yield Breach(
                    Rule.EFFECTS,
                    "refused, though it may have run",
                    client_attempt.trace,
                    (attempt.backend,),
                    (attempt.last_byte, answer.at),
                    "a refusal promises that a retry is harmless",
                )
                break


# Rule 13


def _drains(
    request_log: RequestLog,
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
) -> Iterator[Breach]:
    starts: dict[int, list[int]] = defaultdict(list)  # what a process was told, the next one was not
    for incarnation in request_log.front_doors:
        starts[incarnation.front_door].append(incarnation.started)
    for times in starts.values():
        times.sort()
    pauses = _Pauses(request_log)
    told: dict[tuple[int, int, str], list[tuple[int, bool]]] = defaultdict(list)
    for line in sorted(request_log.endpoint_notices, key=lambda line: line.at):
        states = told[line.front_door, bisect_right(starts[line.front_door], line.at), line.backend]
        wanted = line.phase == "Ready"
        if not states or states[-1][1] != wanted:  # told again, an older drain's time still counts
            states.append((line.at, wanted))
    for attempt in request_log.attempts:
        verdict.checked[Rule.DRAINS] += 1
        at = sent(attempt)
        states = told.get(
            (attempt.front_door, bisect_right(starts[attempt.front_door], at), attempt.backend), []
        )
        index = bisect_right(states, at, key=lambda state: state[0])
        if not index or states[index - 1][1]:
            continue
        since = states[index - 1][0]
        grace = figures.drain_grace + slack.near(since, at) + pauses.over(attempt.front_door, since, at)
        if at > states[index - 1][0] + grace:
            yield Breach(
                Rule.DRAINS,
                "sent to a box that drains or is gone",
                attempt.trace,
                (attempt.backend,),
                (states[index - 1][0], at),
                f"{grace / 1e6:.2f} s after the door was told",
            )


# Rule 14


def _cold(request_log: RequestLog, figures: Figures, slack: _Slack, verdict: Verdict) -> Iterator[Breach]:
    """Work sent to backends in slow start against their budgets.

    All work that reaches such a backend counts; the rule is broken where front doors that had been notified of its
    start sent two thirds of what was too much (WIRE, The rules, 4).
    """
    incarnations = {
        (incarnation.backend, incarnation.incarnation): incarnation
        for incarnation in request_log.incarnations
    }
    knew: dict[
        tuple[int, str, int], int
    ] = {}  # by front door, backend and start: when the front door was first told
    for told in request_log.endpoint_notices:
        knew.setdefault((told.front_door, told.backend, told.started // 1000), told.at)
    sent: dict[tuple[str, int], list[tuple[Attempt, bool]]] = defaultdict(list)
    for attempt in request_log.attempts:
        incarnation = incarnations.get((attempt.backend, attempt.incarnation))
        if (
            incarnation is not None
            and incarnation.at
            and attempt.last_byte < incarnation.at + incarnation.slow_start
        ):
            notified_at = knew.get((attempt.front_door, attempt.backend, incarnation.at // 1000), math.inf)
            sent[attempt.backend, attempt.incarnation].append((attempt, notified_at <= attempt.last_byte))
    pushed: set[tuple[str, int]] = set()
    for which, attempts in sent.items():
        verdict.checked[Rule.COLD] += len(attempts)
        attempts.sort(key=lambda told: told[0].last_byte)
        if over := _pushed(attempts, incarnations[which], figures, slack):
            attempt, work, budget = over
            pushed.add(which)
            yield Breach(
                Rule.COLD,
                f"{work / 1e6:.2f} s of work in one window, {budget / 1e6:.2f} s allowed",
                attempt.trace,
                (which[0],),
                (incarnations[which].at, attempt.last_byte),
                f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s",
            )
    for backend, number, at in request_log.fallen:
        near = [
            (a.work, informed)
            for a, informed in sent.get((backend, number), [])
            if at - figures.fall_window < a.last_byte <= at + SOCKET_SLACK
        ]
        blamed = sum(work for work, informed in near if informed) >= BLAMED * sum(work for work, _ in near)
        if (backend, number) not in pushed and blamed:
            yield Breach(
                Rule.COLD,
                "it fell over",
                backend,
                (backend,),
                (at,),
                f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s",
            )


def _pushed(
    attempts: list[tuple[Attempt, bool]],
    incarnation: BackendIncarnation,
    figures: Figures,
    slack: _Slack,
) -> tuple[Attempt, float, float] | None:
    """The attempt that first exceeded the budget of a backend in slow start, with work and budget (µs).

    The budget of a window that ends now is multiple x present capacity x window (BENCH, How a day is judged),
    and one largest piece of work more, for chance. What our own loop stood still near that time came in one
    heap: the window counts as longer by it. The backend has a reckoning of its own (`boxmodel.over_budget`).
    """
    for n, (last, _) in enumerate(attempts):
        first = n
        while first and attempts[first - 1][0].last_byte > last.last_byte - figures.fall_window:
            first -= 1
        window = attempts[first : n + 1]
        work = sum(a.work for a, _ in window)
        span = figures.fall_window + slack.stalled(last.last_byte)
        budget = figures.fall_multiple * incarnation.now(last.last_byte) * span + max(
            a.work for a, _ in window
        )
        if work > budget and sum(a.work for a, informed in window if informed) >= BLAMED * work:
            return last, work, budget
    return None


# Rule 15


def _ceilings(
    by_trace: dict[str, list[Attempt]], figures: Figures, slack: _Slack, verdict: Verdict
) -> Iterator[Breach]:
    firsts: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempts in by_trace.values():
        first = attempts[0]
        if first.plan in figures.ceilings:
            firsts[first.plan, first.customer].append(first)
    for (plan, customer), attempts in firsts.items():
        ceiling = figures.ceilings[plan]
        verdict.checked[Rule.CEILINGS] += len(attempts)
        attempts.sort(key=lambda a: a.last_byte)
        level = ceiling.depth
        for before, attempt in pairwise([None, *attempts]):
            assert attempt is not None
            flown = attempt.last_byte - before.last_byte if before is not None else 0
            level = min(ceiling.depth, level + ceiling.rate * flown / 1e6) - attempt.units
            heap = slack.stalled(attempt.last_byte) / 1e6  # s of attempts that came in one heap
            least = -ceiling.slack - ceiling.rate * (CEILING_SLACK + heap)
            if level < least:
                yield Breach(
                    Rule.CEILINGS,
                    f"store {customer:016x} of plan {plan} stands at {level:.1f} units",
                    attempt.trace,
                    (attempt.backend,),
                    (attempt.last_byte,),
                    f"{ceiling.rate:g} units a second, {ceiling.depth:g} at most, down to {least:.1f}",
                )
                break  # from here on each one counts the same excess again
