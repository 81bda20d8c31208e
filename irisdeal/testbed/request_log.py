"""Records of the testbed's services, the input of the audit.

All times are whole microseconds of Unix time from one clock (`Clock`), so that the records of one run can be
compared with each other. A record is written by the service that observed the event; no record comes from a
front door's own reports.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000  # in µs

Now = Callable[[], int]


def front_door_name(front_door: int) -> str:
    """Return the name of a front door in links and link faults."""
    return f"door {front_door}"


class Clock:
    """A monotonic clock in whole microseconds, set to Unix time at the start."""

    def __init__(self, offset: int | None = None) -> None:
        """`offset` in ns from the monotonic clock; pass that of another process to share its clock."""
        self.offset = time.time_ns() - time.monotonic_ns() if offset is None else offset

    def __call__(self) -> int:
        """Return the time, µs."""
        return (time.monotonic_ns() + self.offset) // 1000


class End(Enum):
    """How an attempt ended at its backend."""

    OPEN = "still out"
    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"  # with the header X-Never-Ran
    BROKEN = "connection ended"  # before the answer
    SPOILT = "spoilt answer"


@dataclass(slots=True)
class Attempt:
    """One attempt that a backend received completely. `ran` becomes true once its work is done."""

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
    effect: bool = False  # the request took effect, rather than repeating one with the same key
    end: End = End.OPEN
    ended: int = 0  # µs, when the answer was written or the connection ended
    body: bytes = b""  # of the answer, if served


@dataclass(slots=True)
class Answer:
    """An answer that a client received for an attempt."""

    at: int  # µs, of the last byte
    status: int
    body: bytes
    retry_after: float | None = None  # s


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client at a front door, sent at `at`, which is 0 if no connection was established."""

    trace: str
    request_number: int  # shared by a first attempt and its retries
    attempt: int  # 0 for the first attempt
    key: str
    kind: str
    plan: str
    customer: int
    units: float
    front_door: int
    due: int  # µs, scheduled send time
    wait: int  # timeout of the client in µs, from `at`
    at: int = 0
    answers: list[Answer] = field(default_factory=list)
    disconnected_at: int = 0  # µs, when the connection ended without a complete answer
    stray: int = 0  # bytes after the answer
    crossed: bool = False  # a reused connection closed before the front door can have read it
    gave_up: int = 0  # µs, when the client timed out


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """One entry of the endpoint list as a front door was notified of it."""

    front_door: int
    at: int  # µs, when the agent wrote it
    backend: str
    phase: str  # Ready, Terminating or Gone
    started: int  # µs


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One start of a backend, with its capacity in core seconds a second."""

    backend: str
    zone: str
    incarnation: int
    at: int  # µs; 0 if it is not in slow start
    capacity: float  # core seconds a second after slow start
    initial_capacity: float  # as a share of the capacity, at the start
    slow_start: int  # duration in µs

    def now(self, at: int) -> float:
        """Return the capacity at a time, in core seconds a second; it rises linearly (BENCH, The world)."""
        if not self.at or self.slow_start <= 0:
            return self.capacity
        share = min(1.0, max(0.0, (at - self.at) / self.slow_start))
        return self.capacity * (self.initial_capacity + (1.0 - self.initial_capacity) * share)


@dataclass(slots=True)
class FrontDoorIncarnation:
    """One process of a front door, as observed by its parent."""

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
    """A time in which a link withheld or delayed bytes: an injected fault, not lateness of a front door."""

    source: str
    target: str
    start: int  # µs
    end: int = 0  # µs; 0 while it is active
    late: int = 0  # delay of each byte in µs; 0: withheld until the end
    writes: list[int] = field(default_factory=list)  # µs, times at which the source wrote withheld bytes


@dataclass(slots=True)
class RequestLog:
    """The records of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    client_attempts: list[ClientAttempt] = field(default_factory=list)
    endpoint_notices: list[EndpointNotice] = field(default_factory=list)
    incarnations: list[BackendIncarnation] = field(default_factory=list)
    overload_failures: list[tuple[str, int, int]] = field(default_factory=list)  # backend, incarnation, µs
    front_doors: list[FrontDoorIncarnation] = field(default_factory=list)
    link_faults: list[LinkFault] = field(default_factory=list)
    pauses: list[tuple[int, int, int]] = field(default_factory=list)  # front door, start and end in µs
    faults: list[tuple[int, str]] = field(default_factory=list)  # µs and text, in order
    # End and duration of a stall of the event loop, µs.
    stalls: list[tuple[int, int]] = field(default_factory=list)

    max_lateness: int | None = None  # µs, of any single loop, if the stalls of several are merged
    misbehaving_clients: dict[str, int] = field(default_factory=dict)  # connections by how they ended

    @property
    def lateness(self) -> int:
        """The longest stall of an event loop of the test services, µs."""
        return (
            max((late for _, late in self.stalls), default=0)
            if self.max_lateness is None
            else self.max_lateness
        )

    def late_within(self, begin: int, end: int) -> int:
        """Return the longest stall, µs, that overlaps the time from `begin` to `end` (µs)."""
        return max((late for on, late in self.stalls if begin < on and on - late < end), default=0)


def merge_stalls(*stall_lists: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Merge the stalls of several event loops into sorted, disjoint ones."""
    spans = sorted((end - late, end) for stalls in stall_lists for end, late in stalls)
    found: list[tuple[int, int]] = []
    for begin, end in spans:
        if found and begin <= found[-1][1]:
            found[-1] = (found[-1][0], max(found[-1][1], end))
        else:
            found.append((begin, end))
    return [(end, end - begin) for begin, end in found]
