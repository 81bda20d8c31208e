"""How an attempt at a backend ended. What keeps TWICE, REFUSED and MIXED is decided by this alone.

- `UNSENT`: no byte of the request has been written; it may go anywhere.
- `PROMISE`: the backend says that it did not run it (`X-Irisdeal-Not-Executed`, 421).
- `ANSWER`: a whole answer to this very request.
- `LOST`: all else; it may have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from irisdeal.http1.framing import Headers


class End(Enum):
    """How an attempt ended."""

    UNSENT = 1
    PROMISE = 2
    ANSWER = 3
    LOST = 4


@dataclass(slots=True)
class AttemptOutcome:
    """The end of an attempt, with the answer where there is one."""

    end: End
    why: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry: bytes = b""
    misdirected: bool = False
    late: bool = False  # its time was over before an answer came
