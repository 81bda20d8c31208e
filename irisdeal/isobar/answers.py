"""What a door and a registry say to each other at the desk: the ends of attempts, the answers that are no place."""

from __future__ import annotations

from enum import IntEnum


class How(IntEnum):
    """The end of an attempt, as its door tells it."""

    GOOD = 0  # a whole answer
    POOR = 1  # a whole answer, 5xx of its own
    FULL = 2  # turned away: its queue is full
    ENDED = 3  # another life stands there
    FAILED = 4  # broken off, refused, no answer in the protocol
    UNKNOWN = 5  # its time was over, nobody waited, or it was never used


# An answer is [number of the place, id of the life, times its work that it will take].
NONE = [0, "", 0.0]  # no place
OVER_QUOTA = [-1, "", 0.0]
OVER_BUDGET = [-2, "", 0.0]
WAIT = [-3, "", 0.0]  # no room yet: ask again with `wait`
POOLED = 0.7  # of the slack of repeats that registries give out; the rest is for doors that hear none
