"""The five rules (BRIEF 11 to 15), judged by the stand-ins' books alone. Pure: no I/O, no clock.

What each rule comes to in the books:

| rule | a breach is |
| --- | --- |
| answers (11) | a taken try with no final answer in time, two, one that no box made, or more sent after it |
| effects (12) | a further attempt, or a refusal, that the class forbids while an earlier one may have run |
| drains (13) | an attempt whose first byte came to a box later than the grace after its door was told |
| cold (14) | work sent to a cold box, in any window, over what it could do, by doors that knew |
| ceilings (15) | a customer's store of the ceiling below its slack |

Excused, as the pages say: what a door held when it was killed (BRIEF 11), and a try on a kept connection that
closed before the door can have read it (PROTOCOL, Clients to front doors). Time limits are 50 ms longer on
sockets (PROTOCOL, The rules on sockets), and longer by what the stand-ins' own loop stood still meanwhile:
their lateness must not be a door's breach.
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
    Books,
    DoorLife,
    End,
    Hold,
    Life,
    Taken,
    door_name,
)

SOCKET_SLACK = 50_000  # µs; PROTOCOL, The rules on sockets: each time limit is 50 ms longer
NEAR = 300_000  # µs round a moment in which a stall can have moved it
WATCHED = 450_000  # µs that a client surely still reads after it has given up
FLUSH = 100_000  # µs in which a link passes on what it has held, and the box takes it
BLAMED = 2 / 3  # of the work that pushed a cold box over: from doors that had been told of its start
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
    """The figures of the rules, from the doors' settings."""

    kinds: dict[str, KindRule]
    ceilings: dict[str, Ceiling]  # by plan; a plan that is not here has none
    answer_grace: int  # µs
    drain_grace: int  # µs
    fall_multiple: float
    fall_window: int  # µs
    cells: dict[str, int]  # by box


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: the request (or customer), the boxes, the times in µs, and the rule's figure in words."""

    rule: Rule
    what: str
    request: str
    boxes: tuple[str, ...]
    times: tuple[int, ...]
    figure: str

    def text(self, origin: int = 0) -> str:
        """One line; times in seconds from `origin` (µs)."""
        when = ", ".join(f"{(at - origin) / 1e6:.3f} s" for at in self.times)
        at = f" at {', '.join(self.boxes)}" if self.boxes else ""
        return f"{self.rule.value}: {self.what}: {self.request}{at} ({when}; {self.figure})"


@dataclass(slots=True)
class Verdict:
    """What the audit found: how much it looked at, and each breach."""

    counts: dict[Rule, int]
    looked: dict[Rule, int]
    breaches: list[Breach]
    excused: int = 0

    @property
    def kept(self) -> bool:
        return not any(self.counts.values())

    def broken(self) -> set[Rule]:
        return {rule for rule, count in self.counts.items() if count}


def audit(books: Books, figures: Figures, timed: bool = True) -> Verdict:
    """Judge one run. The books must be complete: every attempt and try of the run is in them.

    Not `timed`, how late an answer came is left out, and that alone: for a door in the stand-ins' own
    loop, whose lateness is theirs and the machine's.
    """
    verdict = Verdict({rule: 0 for rule in Rule}, {rule: 0 for rule in Rule}, [])
    slack = _Slack(books)
    sent = _Sent(books)
    by_trace: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in books.attempts:
        by_trace[attempt.trace].append(attempt)
    for tries in by_trace.values():
        tries.sort(key=lambda a: a.last_byte)
    found = (
        *_answers(books, by_trace, sent, figures, slack, verdict, timed),
        *_effects(books, by_trace, sent, figures, slack, verdict),
        *_drains(books, sent, figures, slack, verdict),
        *_cold(books, figures, slack, verdict),
        *_ceilings(by_trace, figures, slack, verdict),
    )
    for breach in found:
        verdict.counts[breach.rule] += 1
        if verdict.counts[breach.rule] <= MOST_NAMED:
            verdict.breaches.append(breach)
    return verdict


class _Slack:
    """What a time limit is longer by: 50 ms, and each stall of our own loop that can have played a part."""

    def __init__(self, books: Books) -> None:
        self.ends = [at for at, _ in books.stalls]
        self.begins = [at - late for at, late in books.stalls]  # in order too: they do not overlap
        self.sums = [0, *accumulate(late for _, late in books.stalls)]

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
    """The times in which we kept a door from running: what it does late by them is no fault of its own."""

    def __init__(self, books: Books) -> None:
        self.by_door: dict[int, list[tuple[int, int]]] = defaultdict(list)
        for door, start, end in books.pauses:
            self.by_door[door].append((start, end))

    def over(self, door: int, start: int, end: int) -> int:
        """µs of them that a wait from `start` to `end` met; one that outlasts the wait counts to its end."""
        return sum(
            stop - max(start, begin)
            for begin, stop in self.by_door.get(door, ())
            if begin <= end and stop > start
        )


class _Sent:
    """The earliest moment at which a door can have sent an attempt that a box saw.

    That is the box's first byte, but for a link that held it back meanwhile: what a link of ours kept is no
    door's lateness.
    """

    def __init__(self, books: Books) -> None:
        self.holds: dict[tuple[str, str], list[Hold]] = defaultdict(list)
        for hold in books.holds:
            self.holds[hold.source, hold.target].append(hold)

    def __call__(self, attempt: Attempt) -> int:
        at = attempt.first_byte
        for hold in reversed(self.holds.get((door_name(attempt.door), attempt.hall), ())):
            end = (hold.end or at) + FLUSH + hold.late
            if hold.start <= at <= end:
                at = max(hold.start, at - hold.late) if hold.late else hold.start
        return at


# Rule 11


def _excused(taken: Taken, lives: Iterable[DoorLife]) -> bool:
    """Its door was killed while it held the try (not so late after SIGTERM that all should be answered)."""
    for life in lives:
        # Its sockets go on taking until it has ended, a moment after the signal.
        if (
            life.killed
            and life.started <= taken.at <= max(life.killed, life.ended)
            and (not taken.answers or taken.answers[0].at > life.killed)
        ):
            return not (life.terminated and life.killed - life.terminated > TERM_SPARED)
    return False


def _answers(
    books: Books,
    by_trace: dict[str, list[Attempt]],
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
    timed: bool,
) -> Iterator[Breach]:
    lives: dict[int, list[DoorLife]] = defaultdict(list)
    for life in books.doors:
        lives[life.door].append(life)
    pauses = _Pauses(books)
    for taken in books.taken:
        if not taken.at:
            continue  # never came to a door
        verdict.looked[Rule.ANSWERS] += 1
        tries = by_trace.get(taken.trace, [])
        due = taken.at + taken.wait + figures.answer_grace
        extra = slack.over(taken.at, max(due, taken.answers[0].at if taken.answers else 0))
        extra += pauses.over(taken.door, taken.at, due)
        limit, grace = due + extra, (figures.answer_grace + extra) / 1e3
        boxes = tuple(dict.fromkeys(a.box for a in tries))
        figure = f"answered once by {taken.wait / 1e6:.3f} s and {grace:.0f} ms"
        if not taken.answers:
            if taken.crossed and not tries:
                continue
            if _excused(taken, lives[taken.door]):
                verdict.excused += 1
                continue
            if taken.gave_up and limit > taken.gave_up + WATCHED and pauses.over(taken.door, taken.at, due):
                verdict.excused += 1  # we stopped its door, and its client had gone before it was due
                continue
            what = "its connection ended with no whole answer" if taken.cut else "never answered"
            yield Breach(Rule.ANSWERS, what, taken.trace, boxes, (taken.at, taken.cut or limit), figure)
            continue
        answer = taken.answers[0]
        if answer.at > limit and timed:
            yield Breach(Rule.ANSWERS, "answered too late", taken.trace, boxes, (taken.at, answer.at), figure)
        if len(taken.answers) > 1 or taken.stray:
            times = tuple(a.at for a in taken.answers)
            yield Breach(Rule.ANSWERS, "answered more than once", taken.trace, boxes, times, "one final one")
        if answer.status == 200 and not _made(answer, tries):
            yield Breach(
                Rule.ANSWERS,
                "served with what no box made for it",
                taken.trace,
                boxes,
                (answer.at,),
                "the body of a box's 200 answer, unchanged",
            )
        for late in (a for a in tries if sent(a) > answer.at + slack.near(answer.at, sent(a))):
            yield Breach(
                Rule.ANSWERS,
                "sent after its final answer",
                taken.trace,
                (late.box,),
                (answer.at, late.first_byte),
                "nothing more is sent for it",
            )


def _made(answer: Answer, tries: list[Attempt]) -> bool:
    return any(a.end is End.SERVED and a.body == answer.body and a.ended <= answer.at for a in tries)


# Rule 12


def _may_have_run(earlier: Attempt, at: int) -> bool:
    """Whether, at that time, the door could not know that an attempt never ran."""
    return earlier.end is not End.TURNED_AWAY or earlier.ended > at


def _same_group(one: Attempt, other: Attempt, rule: KindRule, cells: dict[str, int]) -> bool:
    if rule.group == "all":
        return True
    if rule.group == "zone":
        return one.hall == other.hall
    return cells.get(one.box) is not None and cells.get(one.box) == cells.get(other.box)


def _effects(
    books: Books,
    by_trace: dict[str, list[Attempt]],
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
) -> Iterator[Breach]:
    for trace, tries in by_trace.items():
        rule = figures.kinds.get(tries[0].kind)
        if rule is None or rule.repeat == "safe":
            continue
        verdict.looked[Rule.EFFECTS] += 1
        for n, later in enumerate(tries):
            # Written one after the other, two attempts may show in another order by the loop's lateness.
            risky = [a for a in tries[:n] if _may_have_run(a, later.last_byte)]
            for earlier in risky:
                times, boxes = (earlier.last_byte, later.last_byte), (earlier.box, later.box)
                if rule.repeat == "unsafe":
                    yield Breach(
                        Rule.EFFECTS,
                        "an unsafe request was sent again",
                        trace,
                        boxes,
                        times,
                        "only when each earlier attempt is known not to have run",
                    )
                elif not _same_group(earlier, later, rule, figures.cells):
                    yield Breach(
                        Rule.EFFECTS,
                        "a keyed request was sent outside its group",
                        trace,
                        boxes,
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
                        boxes,
                        times,
                        f"{rule.window / 1e6:.1f} s",
                    )
                else:
                    continue
                break
    for taken in books.taken:
        rule = figures.kinds.get(taken.kind)
        if not taken.answers or taken.answers[0].status not in (429, 503) or rule is None:
            continue
        if rule.repeat == "safe" or (rule.repeat == "keyed" and rule.group == "all"):
            continue
        answer = taken.answers[0]
        verdict.looked[Rule.EFFECTS] += 1
        for attempt in by_trace.get(taken.trace, []):
            if _may_have_run(attempt, answer.at):
                yield Breach(
                    Rule.EFFECTS,
                    "refused, though it may have run",
                    taken.trace,
                    (attempt.box,),
                    (attempt.last_byte, answer.at),
                    "a refusal promises that a retry is harmless",
                )
                break


# Rule 13


def _drains(
    books: Books,
    sent: _Sent,
    figures: Figures,
    slack: _Slack,
    verdict: Verdict,
) -> Iterator[Breach]:
    starts: dict[int, list[int]] = defaultdict(list)  # what a process was told, the next one was not
    for life in books.doors:
        starts[life.door].append(life.started)
    for times in starts.values():
        times.sort()
    pauses = _Pauses(books)
    told: dict[tuple[int, int, str], list[tuple[int, bool]]] = defaultdict(list)
    for line in sorted(books.told, key=lambda line: line.at):
        states = told[line.door, bisect_right(starts[line.door], line.at), line.box]
        wanted = line.phase == "Ready"
        if not states or states[-1][1] != wanted:  # told again, an older drain's time still counts
            states.append((line.at, wanted))
    for attempt in books.attempts:
        verdict.looked[Rule.DRAINS] += 1
        at = sent(attempt)
        states = told.get((attempt.door, bisect_right(starts[attempt.door], at), attempt.box), [])
        place = bisect_right(states, at, key=lambda state: state[0])
        if not place or states[place - 1][1]:
            continue
        since = states[place - 1][0]
        grace = figures.drain_grace + slack.near(since, at) + pauses.over(attempt.door, since, at)
        if at > states[place - 1][0] + grace:
            yield Breach(
                Rule.DRAINS,
                "sent to a box that drains or is gone",
                attempt.trace,
                (attempt.box,),
                (states[place - 1][0], at),
                f"{grace / 1e6:.2f} s after the door was told",
            )


# Rule 14


def _cold(books: Books, figures: Figures, slack: _Slack, verdict: Verdict) -> Iterator[Breach]:
    """All work that reaches a cold box presses on it; the rule is broken where doors that had been told of
    its start sent two thirds of what was too much (WIRE, The rules, 4). Who was not told cannot know.
    """
    lives = {(life.box, life.life): life for life in books.lives}
    knew: dict[tuple[int, str, int], int] = {}  # by door, box and start: when the door was first told
    for told in books.told:
        knew.setdefault((told.door, told.box, told.started // 1000), told.at)
    sent: dict[tuple[str, int], list[tuple[Attempt, bool]]] = defaultdict(list)
    for attempt in books.attempts:
        life = lives.get((attempt.box, attempt.life))
        if life is not None and life.at and attempt.last_byte < life.at + life.cold:
            told_at = knew.get((attempt.door, attempt.box, life.at // 1000), math.inf)
            sent[attempt.box, attempt.life].append((attempt, told_at <= attempt.last_byte))
    pushed: set[tuple[str, int]] = set()
    for which, tries in sent.items():
        verdict.looked[Rule.COLD] += len(tries)
        tries.sort(key=lambda told: told[0].last_byte)
        if over := _pushed(tries, lives[which], figures, slack):
            attempt, work, budget = over
            pushed.add(which)
            yield Breach(
                Rule.COLD,
                f"{work / 1e6:.2f} s of work in one window, {budget / 1e6:.2f} s allowed",
                attempt.trace,
                (which[0],),
                (lives[which].at, attempt.last_byte),
                f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s",
            )
    for box, number, at in books.fallen:
        near = [
            (a.work, informed)
            for a, informed in sent.get((box, number), [])
            if at - figures.fall_window < a.last_byte <= at + SOCKET_SLACK
        ]
        blamed = sum(work for work, informed in near if informed) >= BLAMED * sum(work for work, _ in near)
        if (box, number) not in pushed and blamed:
            yield Breach(
                Rule.COLD,
                "it fell over",
                box,
                (box,),
                (at,),
                f"{figures.fall_multiple:g} times its capacity for {figures.fall_window / 1e6:g} s",
            )


def _pushed(
    tries: list[tuple[Attempt, bool]],
    life: Life,
    figures: Figures,
    slack: _Slack,
) -> tuple[Attempt, float, float] | None:
    """The attempt with which work sent to a cold box first passed its budget, the work, and the budget (µs).

    The budget of a window that ends now is multiple x present capacity x window (BENCH, How a day is judged),
    and one largest piece of work more, for chance. What our own loop stood still near that time came in one
    heap: the window counts as longer by it. The box has a reckoning of its own (`boxmodel.over_budget`).
    """
    for n, (last, _) in enumerate(tries):
        first = n
        while first and tries[first - 1][0].last_byte > last.last_byte - figures.fall_window:
            first -= 1
        window = tries[first : n + 1]
        work = sum(a.work for a, _ in window)
        span = figures.fall_window + slack.stalled(last.last_byte)
        budget = figures.fall_multiple * life.now(last.last_byte) * span + max(a.work for a, _ in window)
        if work > budget and sum(a.work for a, informed in window if informed) >= BLAMED * work:
            return last, work, budget
    return None


# Rule 15


def _ceilings(
    by_trace: dict[str, list[Attempt]], figures: Figures, slack: _Slack, verdict: Verdict
) -> Iterator[Breach]:
    firsts: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for tries in by_trace.values():
        first = tries[0]
        if first.plan in figures.ceilings:
            firsts[first.plan, first.customer].append(first)
    for (plan, customer), tries in firsts.items():
        ceiling = figures.ceilings[plan]
        verdict.looked[Rule.CEILINGS] += len(tries)
        tries.sort(key=lambda a: a.last_byte)
        store = ceiling.depth
        for before, attempt in pairwise([None, *tries]):
            assert attempt is not None
            flown = attempt.last_byte - before.last_byte if before is not None else 0
            store = min(ceiling.depth, store + ceiling.rate * flown / 1e6) - attempt.units
            heap = slack.stalled(attempt.last_byte) / 1e6  # s of attempts that came in one heap
            least = -ceiling.slack - ceiling.rate * (CEILING_SLACK + heap)
            if store < least:
                yield Breach(
                    Rule.CEILINGS,
                    f"store {customer:016x} of plan {plan} stands at {store:.1f} units",
                    attempt.trace,
                    (attempt.box,),
                    (attempt.last_byte,),
                    f"{ceiling.rate:g} units a second, {ceiling.depth:g} at most, down to {least:.1f}",
                )
                break  # from here on each one counts the same excess again
