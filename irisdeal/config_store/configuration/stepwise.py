"""Long computations as generators that pause, so that an event loop can do other work between two steps."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar, cast

T = TypeVar("T")

ENTRIES_PER_PAUSE = 200  # entries of a configuration that are handled between two pauses, some 0.2 ms


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Return the result, without pauses."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(T, end.value)
