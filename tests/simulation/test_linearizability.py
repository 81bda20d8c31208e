"""Compares the check of histories with the general search, which tries every order (Wing and Gong 1993)."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from irisdeal.simulation.cluster.linearizability import INFINITY, NO_NUMBER, Kind, Operation, check


def any_order(ops: tuple[Operation, ...], decided: tuple[tuple[int, str], ...] = ((NO_NUMBER, ""),)) -> bool:
    """Whether some order of these calls, each within its times, gives these outcomes. `decided`: so far."""
    if all(op.kind is Kind.UNCLEAR for op in ops):
        return True
    number, body = decided[-1]
    soonest = min(op.end for op in ops if op.kind is not Kind.UNCLEAR)
    for op in ops:
        if op.start > soonest:
            continue  # another call ended before this one started
        rest = tuple(other for other in ops if other is not op)
        match op.kind:
            case Kind.READ if (op.number, op.body) != (number, body):
                continue
            case Kind.CONFLICT if dict(decided).get(op.number, op.body) == op.body:
                continue
            case Kind.CONFIRMED if op.number == number and op.body != body:
                continue
        puts = op.kind in (Kind.CONFIRMED, Kind.UNCLEAR) and op.number > number
        if any_order(rest, (*decided, (op.number, op.body)) if puts else decided):
            return True
        if op.kind is Kind.UNCLEAR and any_order(rest, decided):
            return True
    return False


@st.composite
def histories(draw: st.DrawFn) -> list[Operation]:
    """Generate a few calls with few numbers, bodies and moments, so that many of them overlap."""
    ops = []
    for _ in range(draw(st.integers(1, 7))):
        kind = draw(st.sampled_from([*Kind, Kind.CONFIRMED, Kind.READ]))
        start, length = draw(st.integers(0, 9)), draw(st.integers(0, 5))
        number = draw(st.integers(NO_NUMBER if kind is Kind.READ else 0, 3))
        body = draw(st.sampled_from("xy")) if number != NO_NUMBER else ""
        seen = kind is Kind.READ and draw(st.integers(0, 3)) == 0
        ops.append(Operation(kind, number, body, -INFINITY if seen else start, start + length))
    return ops


def put(kind: Kind, number: int, body: str, start: float, end: float) -> Operation:
    return Operation(kind, number, body, start, end)


@settings(max_examples=700, deadline=None, derandomize=True)
@given(histories())
@example([put(Kind.CONFIRMED, 1, "x", 0, 1), put(Kind.CONFIRMED, 1, "y", 0, 1)])
@example(
    [put(Kind.CONFIRMED, 1, "x", 0, 1), put(Kind.CONFIRMED, 1, "y", 0, 3), put(Kind.UNCLEAR, 2, "x", 2, 3)]
)
@example(
    [put(Kind.CONFLICT, 1, "x", 0, 1), put(Kind.CONFIRMED, 1, "y", 0, 1), put(Kind.CONFIRMED, 1, "x", 2, 3)]
)
def test_the_check_agrees_with_the_general_search(ops: list[Operation]) -> None:
    assert (check(ops) == []) == any_order(tuple(ops)), (check(ops), ops)


def test_a_long_linearizable_history_passes_and_one_stale_read_in_it_is_reported() -> None:
    ops = []
    for number in range(2_000):
        ops.append(put(Kind.CONFIRMED, number, "x", number, number + 0.5))
        ops.append(put(Kind.UNCLEAR, number, "y", number + 0.7, number + 0.8))
        ops.append(Operation(Kind.READ, number, "x", number + 0.6, number + 0.7))
    assert check(ops) == []
    stale = Operation(Kind.READ, 700, "x", 1_500.1, 1_500.2, "the stale one")
    assert "the stale one" in check([*ops, stale])[0]


def test_a_confirmed_body_that_another_replaced_is_a_breach() -> None:
    ops = [
        put(Kind.CONFIRMED, 5, "x", 0, 1),
        put(Kind.UNCLEAR, 5, "y", 2, 3),
        Operation(Kind.READ, 5, "y", 4, 5),
    ]
    assert check(ops) and not check(ops[1:])


def test_a_watched_value_may_be_old_but_never_undecided() -> None:
    old = [
        put(Kind.CONFIRMED, 5, "x", 0, 1),
        put(Kind.CONFIRMED, 6, "x", 2, 3),
        Operation(Kind.READ, 5, "x", -INFINITY, 9),
    ]
    assert not check(old)
    undecided = [
        put(Kind.UNCLEAR, 5, "x", 0, 1),
        Operation(Kind.READ, 5, "x", -INFINITY, 2),
        Operation(Kind.READ, NO_NUMBER, "", 3, 4),
    ]
    assert check(undecided)


def test_a_put_that_is_refused_after_its_confirmation_is_a_breach() -> None:
    ops = [put(Kind.CONFIRMED, 5, "x", 0, 1), put(Kind.CONFLICT, 5, "x", 2, 3)]
    assert check(ops)
