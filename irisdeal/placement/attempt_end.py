"""How an attempt at a backend ended, as its proxy tells the registry that gave the place."""

from __future__ import annotations

from enum import IntEnum


class AttemptResult(IntEnum):
    """The end of an attempt, as its door tells it."""

    GOOD = 0  # a whole answer
    POOR = 1  # a whole answer, 5xx of its own
    FULL = 2  # turned away: its queue is full
    ENDED = 3  # another life stands there
    FAILED = 4  # broken off, refused, no answer in the protocol
    UNKNOWN = 5  # its time was over, or it was never used
    ABANDONED = 6  # given up without an answer: another was quicker, or its client has left
