"""Checks that a history of calls to a register is linearizable. Shares no code with the program.

The register holds a number and a body, initially none. A put replaces it if its number is higher; one number has
one body. Each call takes effect at one moment between its start and its end (linearizability, Herlihy and Wing
1990); a put without a clear reply takes effect at any moment after its start, or never. What a watcher received was
decided at some earlier moment: it counts as a read with an unbounded start.

The general search (Wing and Gong 1993) is exponential. Here numbers only increase, so it is enough to find when
each number took effect: a read of r5 requires that r5 took effect before the read's end, and any higher number
after its start. These are upper and lower bounds on moments that increase with the numbers, and the earliest
moments that satisfy the lower bounds satisfy the upper bounds if any do. A number that was never read is optional;
a confirmed put must have taken effect itself if and only if no higher number can have done so before its end.
`tests/simulation/test_linearizability.py` compares the results with the general search.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

INFINITY = float("inf")  # end of a call without a reply; negative: start of a watcher's read
NO_NUMBER = -1  # number of the empty register


class Kind(Enum):
    """The kind of a call and its outcome."""

    CONFIRMED = "confirmed"  # a put: it or a higher number took effect
    UNCLEAR = "unclear"  # a put: refused temporarily, or no reply
    CONFLICT = "conflict"  # a put: another body was decided under its number
    READ = "read"


@dataclass(frozen=True, slots=True)
class Operation:
    """One call; times in any unit. A read of the empty register has `NO_NUMBER` and an empty body."""

    kind: Kind
    number: int
    body: str
    start: float
    end: float
    caller: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value} r{self.number} {self.body[:8]} [{self.start:.3f}, {self.end:.3f}] {self.caller}"


@dataclass(slots=True)
class _RequiredNumber:
    """A number that must have taken effect."""

    number: int
    body: str | None = None  # None: not determined yet
    excluded_bodies: set[str] = field(default_factory=set)  # bodies of conflicting puts
    deadline: float = INFINITY  # it took effect no later
    deadline_op: Operation | None = None
    held_until: float = -INFINITY  # higher numbers took effect no earlier
    held_until_op: Operation | None = None
    earliest: float = -INFINITY  # earliest moment at which it took effect
    earliest_op: Operation | None = None  # the operation that determines it

    def require_by(self, moment: float, op: Operation) -> None:
        if moment < self.deadline:
            self.deadline, self.deadline_op = moment, op

    def require_until(self, moment: float, op: Operation) -> None:
        if moment > self.held_until:
            self.held_until, self.held_until_op = moment, op


class _HistoryChecker:
    """Bounds on the moments at which the numbers of one history took effect."""

    def __init__(self, ops: Iterable[Operation]) -> None:
        self.breaches: list[str] = []
        self.puts: dict[int, dict[str, Operation]] = {}  # number -> body -> its earliest put
        self.required: dict[int, _RequiredNumber] = {NO_NUMBER: _RequiredNumber(NO_NUMBER, "")}
        self.confirmed: list[Operation] = []
        for op in ops:
            match op.kind:
                case Kind.READ:
                    self._read(op)
                case Kind.CONFLICT:
                    required = self._require(op.number)
                    required.excluded_bodies.add(op.body)
                    required.require_by(op.end, op)  # the number was decided by then
                case _:
                    bodies = self.puts.setdefault(op.number, {})
                    if op.body not in bodies or op.start < bodies[op.body].start:
                        bodies[op.body] = op
                    if op.kind is Kind.CONFIRMED:
                        self.confirmed.append(op)

    def _require(self, number: int) -> _RequiredNumber:
        return self.required.setdefault(number, _RequiredNumber(number))

    def _read(self, op: Operation) -> None:
        required = self._require(op.number)
        if required.body not in (None, op.body):
            self.breaches.append(f"two bodies under one number: {op}; and {required.deadline_op}")
        required.body = op.body
        required.require_by(op.end, op)
        required.require_until(op.start, op)

    def find_breaches(self) -> list[str]:
        while not self.breaches and self._compute_earliest() and self._require_confirmed():
            pass
        return self.breaches

    def _body(self, required: _RequiredNumber) -> Operation | None:
        """Return the put by which a number took effect; None if there is none."""
        puts = self.puts.get(required.number, {})
        if required.body is not None:
            return None if required.body in required.excluded_bodies else puts.get(required.body)
        return min(
            (put for body, put in puts.items() if body not in required.excluded_bodies),
            key=lambda put: put.start,
            default=None,
        )

    def _compute_earliest(self) -> bool:
        """Compute the earliest moments of all required numbers; return whether they satisfy the upper bounds."""
        moment, earliest_op = -INFINITY, None
        self.order = sorted(self.required)
        for number in self.order:
            required = self.required[number]
            if number != NO_NUMBER:
                put = self._body(required)
                if put is None:
                    self.breaches.append(f"no put of this value: {required.deadline_op}")
                    return False
                if put.start > moment:
                    moment, earliest_op = put.start, put
            required.earliest, required.earliest_op = moment, earliest_op
            if moment > required.deadline:
                self.breaches.append(
                    f"stale: {required.deadline_op}, but r{number} took effect after {earliest_op}"
                )
                return False
            if required.held_until > moment:
                moment, earliest_op = required.held_until, required.held_until_op
        self.optional_numbers = sorted(number for number in self.puts if number not in self.required)
        return True

    def _require_confirmed(self) -> bool:
        """Require the confirmed puts that no higher number can have overtaken; return whether any was added."""
        is_changed = False
        for op in self.confirmed:
            at = bisect_right(self.order, op.number)
            above = self.required[self.order[at]] if at < len(self.order) else None
            if above is not None and above.earliest <= op.end:
                continue
            if self._may_be_overtaken(op, at, above):
                continue
            required = self._require(op.number)
            if required.body not in (None, op.body):
                self.breaches.append(
                    f"confirmed without effect: {op}; under r{op.number} is {required.deadline_op}"
                )
                return False
            if required.body is not None and required.deadline <= op.end:
                continue
            required.body = op.body
            required.require_by(op.end, op)
            is_changed = True
        return is_changed

    def _may_be_overtaken(self, op: Operation, at: int, above: _RequiredNumber | None) -> bool:
        """Whether an optional higher number can have taken effect before its end."""
        below = self.required[self.order[at - 1]]
        if max(below.earliest, below.held_until) > op.end:
            return False
        first = bisect_right(self.optional_numbers, op.number)
        last = (
            bisect_left(self.optional_numbers, above.number)
            if above is not None
            else len(self.optional_numbers)
        )
        return any(
            min(put.start for put in self.puts[number].values()) <= op.end
            for number in self.optional_numbers[first:last]
        )


def check(ops: Iterable[Operation]) -> list[str]:
    """Return a description of the first violation found; empty if the history is linearizable."""
    return _HistoryChecker(ops).find_breaches()
