"""What a front door tells the decision module and what the module asks of it.

Times are whole microseconds of the front door's own clock. A server and a count are
named by values that the module only hands back; they carry no meaning of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Repeat(Enum):
    """Whether a request may have its effect more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop a repeat of one key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a call to the counter ended."""

    OK = "ok"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class ServerState(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the server list brings."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request: its wishes in time and its rule on repeats."""

    aim: int
    deadline: int
    repeat: Repeat
    group: Group
    window: int
    worth: float
    late_worth: float
    streams: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """What every customer of a plan may use over all gateways; 0 means no such limit."""

    rate: float
    burst: float
    open_limit: int
    ceiling_rate: float
    ceiling_depth: float
    ceiling_slack: float
    price: float
    beyond_cost: float
    beyond_worth: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts."""

    gateways: int
    rank: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    tick: int
    answer_grace: int
    drain_grace: int
    start_capacity: float
    warm_up: int
    fall_multiple: float
    fall_window: int
    max_attempts: int
    parallel_attempts: bool
    may_cancel: bool
    may_probe: bool
    may_advise: bool
    longest_advice: int
    list_is_pushed: bool
    counter: bool
    counter_timeout: int
    counter_price: float
    meter_period: int
    units_settle: bool
    crossing_price: float
    waste_price: float

    def __post_init__(self) -> None:
        _require(self.gateways >= 1, "gateways", self.gateways, "at least 1")
        _require(0 <= self.rank < self.gateways, "rank", self.rank, f"from 0 to {self.gateways - 1}")
        _require(bool(self.classes), "classes", self.classes, "at least one class")
        for field in ("tick", "answer_grace", "drain_grace", "warm_up", "fall_window", "counter_timeout"):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "no negative time")
        _require(0.0 < self.start_capacity <= 1.0, "start_capacity", self.start_capacity, "a share over 0")
        for n, kind in enumerate(self.classes):
            _require(kind.aim > 0, f"classes[{n}].aim", kind.aim, "a time over 0")
            _require(kind.deadline > 0, f"classes[{n}].deadline", kind.deadline, "a time over 0")
        for n, plan in enumerate(self.plans):
            for field in ("rate", "burst", "open_limit", "ceiling_rate", "ceiling_depth", "ceiling_slack"):
                value = getattr(plan, field)
                _require(value >= 0, f"plans[{n}].{field}", value, "no negative limit")

    def check(self, event: Arrival) -> None:
        """Raise where a request names a class or plan that these settings do not have."""
        _require(0 <= event.request_class < len(self.classes), "request_class", event.request_class, "known")
        _require(0 <= event.plan < len(self.plans), "plan", event.plan, "known")


def _require(holds: bool, field: str, value: object, wanted: str) -> None:
    if not holds:
        raise ValueError(f"{field} is {value!r}: wanted {wanted}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list. `started` is 0 for a server that began long ago."""

    server: bytes
    state: ServerState
    started: int
    weight: float
    zone: int
    cell: int
    kind: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's own word on its load; None where it does not say."""

    in_hand: float | None = None
    waiting: float | None = None
    busy: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request. `first_gateway` and `gateways` name the customer's set; `size` is its bytes.

    Where it is `uploading` its body is still on the way, and its time counts from `BodyComplete` on.
    """

    request: int
    customer: int
    plan: int
    request_class: int
    time_left: int
    units: float
    first_gateway: int
    gateways: int
    is_retry: bool = False
    is_write: bool = False
    size: int = 0
    uploading: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`ended` tells that the request has its final answer; `usage` is a percentage or None."""

    request: int
    attempt: int
    server: bytes
    result: Result
    took: int
    ended: bool
    usage: int | None = None
    true_units: int | None = None
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    server: bytes
    took: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The client left; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class CountAnswer:
    name: int
    result: Result
    total: float
    took: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    server: bytes
    result: Result
    took: int
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Woken:
    token: int


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """The classes from now on. A number whose class changes has no open request; what was learnt is lost."""

    classes: tuple[RequestClass, ...]

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes, "at least one class")


@dataclass(frozen=True, slots=True)
class Restricted:
    """An open request has another class from now on, whose rule on repeats is no milder."""

    request: int
    request_class: int


@dataclass(frozen=True, slots=True)
class Barred:
    """A server is left out by hand from now on, whatever the list says, or is no longer (`barred` False)."""

    server: bytes
    barred: bool


@dataclass(frozen=True, slots=True)
class Shared:
    """Another process of this front door is there, or has gone.

    `part` of the door's share of each ceiling is this process's from now on, over 0 and at most 1; it uses
    cold servers only if `warms`, since the other may not do so as well.
    """

    part: float
    warms: bool

    def __post_init__(self) -> None:
        _require(0.0 < self.part <= 1.0, "part", self.part, "a share over 0")


@dataclass(frozen=True, slots=True)
class BodyComplete:
    """The last byte of a request's body has come; from now on `time_left` counts."""

    request: int
    time_left: int


Event = (
    ServerList
    | Arrival
    | AttemptEnded
    | StreamStarted
    | RequestEnded
    | CountAnswer
    | ProbeEnded
    | PeerMessage
    | Woken
    | ClassesChanged
    | Restricted
    | Barred
    | Shared
    | BodyComplete
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; `timeout` 0 lets it run until the client gives up."""

    request: int
    server: bytes
    timeout: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the client may safely try again, best after `retry_after`."""

    request: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without a promise."""

    request: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named count and hear its total; a new name is forgotten after `lifetime`.

    `patience` is for how long an answer is of use, where the front door may wait beyond the usual time-out.
    """

    name: int
    amount: float
    lifetime: int
    patience: int = 0


@dataclass(frozen=True, slots=True)
class Wake:
    delay: int
    token: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    server: bytes


@dataclass(frozen=True, slots=True)
class CloseIdle:
    server: bytes


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class FollowList:
    on: bool = True


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one gateway, or to all others when `gateway` is None."""

    gateway: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Action = (
    Send | Cancel | Refuse | Fail | Count | Wake | Probe | CloseIdle | FetchList | FollowList | Tell | Note
)


class Decider(Protocol):
    """The shape of `irisdeal.front_door.decisions.gateway.Gateway`."""

    actions: list[Action]  # of the last call; what was decided before an event failed stands

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened by `now`; return what to do, in order."""
        ...
