"""The exit codes of the programs; `docs/operate/on-call.md` says what to do about each."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a program ended."""

    STOPPED = 0  # a signal requested the stop
    FAILED = 1  # an exception that the program did not expect
    INVALID_SETTINGS = 2
    ADDRESS_UNAVAILABLE = 3  # another socket held an address for too long
