"""How an attempt at a backend ended, which alone decides what is retried and which response is returned."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from irisdeal.http1.body import Blocks
from irisdeal.http1.framing import Headers


class AttemptEnd(Enum):
    """How an attempt ended.

    - `NOT_SENT`: no byte of the request was written; any request may be retried.
    - `NOT_EXECUTED`: the backend stated that it did not execute the request (`X-Irisdeal-Not-Executed` or 421).
    - `RESPONSE`: a complete response to this request.
    - `MAY_HAVE_EXECUTED`: everything else.
    """

    NOT_SENT = 1
    NOT_EXECUTED = 2
    RESPONSE = 3
    MAY_HAVE_EXECUTED = 4


@dataclass(slots=True)
class AttemptOutcome:
    """The end of an attempt, with the response if there is one.

    `reason`: why there is no response; `retry_after`: the backend's header of that name; `is_misdirected`:
    another incarnation has the backend's address; `is_timed_out`: the deadline passed before a response was
    complete.
    """

    end: AttemptEnd
    reason: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    blocks: Blocks = ()
    retry_after: bytes = b""
    is_misdirected: bool = False
    is_timed_out: bool = False

    @property
    def body(self) -> bytes:
        """The whole body of the response; a long one is copied."""
        return b"".join(self.blocks)
