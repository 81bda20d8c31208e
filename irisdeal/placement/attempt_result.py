"""The result of an attempt at a backend, as its proxy reports it to the registry that placed it."""

from __future__ import annotations

from enum import IntEnum


class AttemptResult(IntEnum):
    """How an attempt ended. The numbers are told between processes and are fixed."""

    SUCCESS = 0  # a complete response
    SERVER_ERROR = 1  # a complete response with a status of 5xx of the backend's own
    REJECTED = 2  # by the backend: its queue is full
    WRONG_INCARNATION = 3  # another incarnation has the backend's address now
    FAILED = 4  # broken off, refused, or no response in the protocol
    UNKNOWN = 5  # its time was over, or it was never sent
    ABANDONED = 6  # given up without a response: another attempt was quicker, or the client has left
