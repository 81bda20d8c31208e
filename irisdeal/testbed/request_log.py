"""The records of the testbed's services, which the audit reads.

All times are whole microseconds of Unix time from one clock (`Clock`), so that the records of one run can be
compared with each other. A record is written by the service that observed the fact: nothing here is taken from
what a front door reports about itself.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000  # µs

Now = Callable[[], int]


def front_door_name(front_door: int) -> str:
    """How links and holds name a front door."""
    return f"door {front_door}"


class Clock:
    """Whole microseconds that never go back and agreed with Unix time at the start."""

    def __init__(self, offset: int | None = None) -> None:
        """`offset` in ns: that of another process's clock on this machine, so that both tell one time."""
        self.offset = time.time_ns() - time.monotonic_ns() if offset is None else offset

    def __call__(self) -> int:
        """Return the time, µs."""
        return (time.monotonic_ns() + self.offset) // 1000


class End(Enum):
    """How an attempt ended at its backend."""

    OPEN = "still out"
    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"  # with X-Never-Ran: the front door knows that it never ran
    BROKEN = "connection ended"  # while the attempt was out
    SPOILT = "spoilt answer"


@dataclass(slots=True)
class Attempt:
    """One attempt that arrived complete to a backend. `ran` turns true when work on it begins."""

    trace: str
    key: str
    kind: str
    plan: str
    customer: int
    units: float
    front_door: int
    backend: str
    zone: str
    incarnation: int  # which start of the backend, from 0
    connection: int
    first_byte: int  # µs
    last_byte: int  # µs
    work: int  # µs of one core at speed 1, handshake included
    ran: bool = False
    effect: bool = False  # the work was done here and now, not remembered from an earlier repeat
    end: End = End.OPEN
    ended: int = 0  # µs; when its answer was written, or its connection ended
    body: bytes = b""  # of a served answer


@dataclass(slots=True)
class Answer:
    """What a client received on its connection for one attempt."""

    at: int  # µs, of the last byte
    status: int
    body: bytes
    retry_after: float | None = None  # s


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client at one front door, sent at `at`; 0 where no connection came up."""

    trace: str
    request_number: int  # the first attempt and its retries share this number
    attempt: int  # 0 for the first attempt
    key: str
    kind: str
    plan: str
    customer: int
    units: float
    front_door: int
    due: int  # µs, when the client wanted to send it
    wait: int  # µs that the client waits, from `at`
    at: int = 0
    answers: list[Answer] = field(default_factory=list)
    disconnected_at: int = 0  # µs, when its connection ended with no whole answer
    stray: int = 0  # bytes that belong to no answer
    crossed: bool = False  # a kept connection closed under it before the front door can have read it
    gave_up: int = 0  # µs


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """One entry of the endpoint list as a front door was notified of it."""

    front_door: int
    at: int  # µs, when the agent wrote it, or must be taken to have
    backend: str
    phase: str  # Ready, Terminating or Gone
    started: int  # µs


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One start of a backend: what it can do, in seconds of work a second."""

    backend: str
    zone: str
    incarnation: int
    at: int  # µs; 0 for long ago
    capacity: float  # core seconds a second once warm
    initial_capacity: float  # share of it at the start
    slow_start: int  # µs until warm

    def now(self, at: int) -> float:
        """Its capacity at a time, in core seconds a second (BENCH, The world: rises about evenly)."""
        if not self.at or self.slow_start <= 0:
            return self.capacity
        share = min(1.0, max(0.0, (at - self.at) / self.slow_start))
        return self.capacity * (self.initial_capacity + (1.0 - self.initial_capacity) * share)


@dataclass(slots=True)
class FrontDoorIncarnation:
    """One process of a front door, as the one who started it saw it."""

    front_door: int
    pid: int
    started: int  # µs
    ready: int = 0
    terminated: int = 0  # SIGTERM
    killed: int = 0  # SIGKILL
    ended: int = 0
    code: int | None = None  # exit code; negative for a signal
    log: str = ""


@dataclass(slots=True)
class LinkFault:
    """A time in which a link kept what was sent through it: a fault of ours, and no front door's lateness."""

    source: str
    target: str
    start: int  # µs
    end: int = 0  # µs; 0 while it lasts
    late: int = 0  # µs that each byte was kept; 0: until the end
    writes: list[int] = field(default_factory=list)  # µs, when the source wrote what was kept till the end


@dataclass(slots=True)
class RequestLog:
    """All request logs of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    client_attempts: list[ClientAttempt] = field(default_factory=list)
    endpoint_notices: list[EndpointNotice] = field(default_factory=list)
    incarnations: list[BackendIncarnation] = field(default_factory=list)
    overload_failures: list[tuple[str, int, int]] = field(default_factory=list)  # backend, life, µs
    front_doors: list[FrontDoorIncarnation] = field(default_factory=list)
    link_faults: list[LinkFault] = field(default_factory=list)
    pauses: list[tuple[int, int, int]] = field(
        default_factory=list
    )  # front door, µs from and to: we stopped it
    faults: list[tuple[int, str]] = field(default_factory=list)  # µs and words, as they came
    stalls: list[tuple[int, int]] = field(default_factory=list)  # µs when our loop went on, µs it stood still

    most_late: int | None = None  # µs, of any one loop, where the stalls are those of several merged
    misbehaving_clients: dict[str, int] = field(
        default_factory=dict
    )  # connections of no tenant, by how they ended

    @property
    def lateness(self) -> int:
        """µs, the most by which a loop of the test services ran late."""
        return max((late for _, late in self.stalls), default=0) if self.most_late is None else self.most_late

    def late_within(self, begin: int, end: int) -> int:
        """µs, the longest stall of which a part lies between these two (µs)."""
        return max((late for on, late in self.stalls if begin < on and on - late < end), default=0)


def lay_together(*request_log: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Merge the stalls of several loops into those of one: where any was stalled. Sorted, disjoint."""
    spans = sorted((end - late, end) for stalls in request_log for end, late in stalls)
    found: list[tuple[int, int]] = []
    for begin, end in spans:
        if found and begin <= found[-1][1]:
            found[-1] = (found[-1][0], max(found[-1][1], end))
        else:
            found.append((begin, end))
    return [(end, end - begin) for begin, end in found]
