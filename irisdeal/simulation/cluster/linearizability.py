"""The judge of a history: whether what callers saw of a register can be put into one order. Shares no code with
the program.

The register holds a number and a body, at first nothing. A put changes it where its number is above the one that
holds; under one number there is one body. Each call acts at one moment between its start and its end
(linearizability, Herlihy and Wing 1990); a put without a clear answer acts at any moment after its start, or
never. What a watcher saw was decided at some moment before it saw it: a read that may have begun at any time.

The general search (Wing and Gong 1993) is exponential. Here numbers only rise, so it is enough to find when each
number came to hold: a read of r5 wants that r5 came before the read's end, and what is above r5 after its start.
These are lower and upper bounds on moments that rise with the numbers, and the earliest moments that keep the
lower bounds keep the upper bounds if any do. What a number that was never read holds is free; a confirmed put of
it holds it where nothing higher can have come before the put's end, and only then.
`tests/simulation/test_linearizability.py` compares the answers with the general search.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

INFINITY = float("inf")  # the end of a call without an answer; less: the start of what a watcher saw
NO_NUMBER = -1  # the number of nothing


class Kind(Enum):
    """What was called, and what came of it."""

    CONFIRMED = "confirmed"  # a put: it holds, or what is above it does
    UNCLEAR = "unclear"  # a put: refused for now, or no answer
    CONFLICT = "conflict"  # a put: another body is decided under its number
    READ = "read"


@dataclass(frozen=True, slots=True)
class Operation:
    """One call; times in s, or any other unit. Nothing was read: number -1, body ""."""

    kind: Kind
    number: int
    body: str
    start: float
    end: float
    who: str = ""

    def __str__(self) -> str:
        return (
            f"{self.kind.value} r{self.number} {self.body[:8]} [{self.start:.3f}, {self.end:.3f}] {self.who}"
        )


@dataclass(slots=True)
class _Held:
    """A number that must have come to hold."""

    number: int
    body: str | None = None  # None: free so far
    barred: set[str] = field(default_factory=set)  # bodies that were told to be others
    before: float = INFINITY  # it came no later than this
    before_op: Operation | None = None
    until: float = -INFINITY  # what is above it came no earlier than this
    until_op: Operation | None = None
    came: float = -INFINITY  # the earliest moment
    cause: Operation | None = None  # of that

    def by(self, moment: float, op: Operation) -> None:
        if moment < self.before:
            self.before, self.before_op = moment, op

    def still(self, moment: float, op: Operation) -> None:
        if moment > self.until:
            self.until, self.until_op = moment, op


class _Search:
    """The bounds of one history."""

    def __init__(self, ops: Iterable[Operation]) -> None:
        self.breaches: list[str] = []
        self.puts: dict[
            int, dict[str, Operation]
        ] = {}  # number -> body -> its earliest put that may have acted
        self.held: dict[int, _Held] = {NO_NUMBER: _Held(NO_NUMBER, "")}
        self.confirmed: list[Operation] = []
        for op in ops:
            match op.kind:
                case Kind.READ:
                    self._read(op)
                case Kind.CONFLICT:
                    held = self._hold(op.number)
                    held.barred.add(op.body)
                    held.by(op.end, op)  # it stays true once it is
                case _:
                    bodies = self.puts.setdefault(op.number, {})
                    if op.body not in bodies or op.start < bodies[op.body].start:
                        bodies[op.body] = op
                    if op.kind is Kind.CONFIRMED:
                        self.confirmed.append(op)

    def _hold(self, number: int) -> _Held:
        return self.held.setdefault(number, _Held(number))

    def _read(self, op: Operation) -> None:
        held = self._hold(op.number)
        if held.body not in (None, op.body):
            self.breaches.append(f"two bodies under one number: {op}; and {held.before_op}")
        held.body = op.body
        held.by(op.end, op)
        held.still(op.start, op)

    def judge(self) -> list[str]:
        while not self.breaches and self._bound() and self._confirm():
            pass
        return self.breaches

    def _body(self, held: _Held) -> Operation | None:
        """The put by which it holds; None where there is none."""
        puts = self.puts.get(held.number, {})
        if held.body is not None:
            return None if held.body in held.barred else puts.get(held.body)
        return min(
            (put for body, put in puts.items() if body not in held.barred),
            key=lambda put: put.start,
            default=None,
        )

    def _bound(self) -> bool:
        """The earliest moments of all that must have held; whether they keep the upper bounds."""
        moment, cause = -INFINITY, None
        self.order = sorted(self.held)
        for number in self.order:
            held = self.held[number]
            if number != NO_NUMBER:
                put = self._body(held)
                if put is None:
                    self.breaches.append(f"nobody put what was told: {held.before_op}")
                    return False
                if put.start > moment:
                    moment, cause = put.start, put
            held.came, held.cause = moment, cause
            if moment > held.before:
                self.breaches.append(f"time goes back: {held.before_op}, but r{number} came after: {cause}")
                return False
            if held.until > moment:
                moment, cause = held.until, held.until_op
        self.free = sorted(number for number in self.puts if number not in self.held)
        return True

    def _confirm(self) -> bool:
        """Each confirmed put that nothing higher can have overtaken holds itself; whether one was new."""
        new = False
        for op in self.confirmed:
            at = bisect_right(self.order, op.number)
            above = self.held[self.order[at]] if at < len(self.order) else None
            if above is not None and above.came <= op.end:
                continue
            if self._overtaken(op, at, above):
                continue
            held = self._hold(op.number)
            if held.body not in (None, op.body):
                self.breaches.append(
                    f"confirmed and never held: {op}; under r{op.number} is {held.before_op}"
                )
                return False
            if held.body is not None and held.before <= op.end:
                continue
            held.body = op.body
            held.by(op.end, op)
            new = True
        return new

    def _overtaken(self, op: Operation, at: int, above: _Held | None) -> bool:
        """Whether a number that nobody read can have come above it before its end."""
        below = self.held[self.order[at - 1]]
        if max(below.came, below.until) > op.end:
            return False
        first = bisect_right(self.free, op.number)
        last = bisect_left(self.free, above.number) if above is not None else len(self.free)
        return any(
            min(put.start for put in self.puts[number].values()) <= op.end for number in self.free[first:last]
        )


def check(ops: Iterable[Operation]) -> list[str]:
    """What cannot be put into one order, in words; empty where all can. The first cause found is told."""
    return _Search(ops).judge()
