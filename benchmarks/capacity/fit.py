"""Fits sums of terms with non-negative slopes to measurements. Does no input or output."""

from __future__ import annotations

from collections.abc import Sequence

DESCENT_ROUNDS = 4_000  # there are few terms, so the descent converges long before


def fit_slopes(rows: Sequence[Sequence[float]], values: Sequence[float]) -> list[float]:
    """Least squares of relative errors, each slope 0 or more; `rows`: the terms of each value.

    With relative errors a small deployment counts as much as a large one. Coordinate descent with exact steps.
    """
    rows = [[term / value for term in row] for row, value in zip(rows, values, strict=True) if value > 0]
    if not rows:
        return []
    columns = range(len(rows[0]))
    scale = [max(row[at] for row in rows) or 1.0 for at in columns]
    rows = [[row[at] / scale[at] for at in columns] for row in rows]
    squares = [[sum(row[one] * row[two] for row in rows) for two in columns] for one in columns]
    sums = [sum(row[at] for row in rows) for at in columns]
    found = [0.0 for _ in columns]
    for _ in range(DESCENT_ROUNDS):
        for at in columns:
            if squares[at][at] > 0:
                rest = sums[at] - sum(squares[at][two] * found[two] for two in columns if two != at)
                found[at] = max(0.0, rest / squares[at][at])
    return [slope / size for slope, size in zip(found, scale, strict=True)]


def evaluate(slopes_: Sequence[float], row: Sequence[float]) -> float:
    """The sum of the terms, each times its slope."""
    return sum(slope * term for slope, term in zip(slopes_, row, strict=True))
