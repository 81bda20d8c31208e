"""Long computations as generators, which yield so that the event loop can do other work between steps."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar, cast

T = TypeVar("T")

ENTRIES_PER_PAUSE = 200  # configuration entries processed between two yields, about 0.2 ms


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(T, end.value)
