"""The result of an attempt at a backend, as its proxy reports it to the registry that placed it."""

from __future__ import annotations

from enum import IntEnum


class AttemptResult(IntEnum):
    """How an attempt ended. The numbers are part of the wire format and must not change."""

    SUCCESS = 0  # a complete response
    SERVER_ERROR = 1  # a complete response with a 5xx status that the backend itself generated
    REJECTED = 2  # rejected by the backend because its queue is full
    WRONG_INCARNATION = 3  # another incarnation now has the backend's address
    FAILED = 4  # connection broken or refused, or the response violates the protocol
    UNKNOWN = 5  # timed out, or never sent
    ABANDONED = 6  # cancelled without a response: another attempt was faster, or the client disconnected
