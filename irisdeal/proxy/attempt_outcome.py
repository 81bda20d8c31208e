"""How an attempt at a backend ended. What may be retried, and what may be answered, is decided by this alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from irisdeal.http1.framing import Headers


class AttemptEnd(Enum):
    """How an attempt ended.

    - `NOT_SENT`: no byte of the request was written; it may go anywhere.
    - `NOT_EXECUTED`: the backend says that it did not execute it (`X-Irisdeal-Not-Executed`, 421).
    - `RESPONSE`: a complete response to this very request.
    - `MAY_HAVE_EXECUTED`: all else.
    """

    NOT_SENT = 1
    NOT_EXECUTED = 2
    RESPONSE = 3
    MAY_HAVE_EXECUTED = 4


@dataclass(slots=True)
class AttemptOutcome:
    """The end of an attempt, with the response where there is one.

    `reason`: why there is none; `retry_after`: the backend's header of that name; `is_misdirected`: another
    incarnation stands at the address; `is_timed_out`: its time was over before a response came.
    """

    end: AttemptEnd
    reason: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry_after: bytes = b""
    is_misdirected: bool = False
    is_timed_out: bool = False
