"""Sums of terms with slopes that are not under nought, fitted to what was measured. No input or output here."""

from __future__ import annotations

from collections.abc import Sequence

ROUNDS = 4_000  # of the descent: terms are few, and it has settled long before


def slopes(rows: Sequence[Sequence[float]], values: Sequence[float]) -> list[float]:
    """Least squares of relative errors, each slope 0 or more; `rows`: the terms beside each value.

    By relative errors a small deployment counts as much as a large one. Coordinate descent, each step exact.
    """
    rows = [[term / value for term in row] for row, value in zip(rows, values, strict=True) if value > 0]
    if not rows:
        return []
    many = range(len(rows[0]))
    scale = [max(row[at] for row in rows) or 1.0 for at in many]
    rows = [[row[at] / scale[at] for at in many] for row in rows]
    squares = [[sum(row[one] * row[two] for row in rows) for two in many] for one in many]
    sums = [sum(row[at] for row in rows) for at in many]
    found = [0.0 for _ in many]
    for _ in range(ROUNDS):
        for at in many:
            if squares[at][at] > 0:
                rest = sums[at] - sum(squares[at][two] * found[two] for two in many if two != at)
                found[at] = max(0.0, rest / squares[at][at])
    return [slope / size for slope, size in zip(found, scale, strict=True)]


def value(slopes_: Sequence[float], row: Sequence[float]) -> float:
    """The sum of terms."""
    return sum(slope * term for slope, term in zip(slopes_, row, strict=True))
