"""What a front door tells the decision module and what the module asks of it.

Times are whole microseconds of the front door's own clock. A server and a count are
named by values that the module only hands back; they carry no meaning of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a request may have its effect more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
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


class ServerListKind(Enum):
    """What a message of the server list brings."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request: its wishes in time and its rule on repeats."""

    latency_target_us: int
    deadline_us: int
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_us: int
    value: float
    late_value: float
    is_streaming: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """What every customer of a plan may use over all gateways; 0 means no such limit."""

    rate_per_s: float
    burst: float
    max_in_flight: int
    ceiling_rate_per_s: float
    ceiling_depth: float
    ceiling_slack: float
    value_factor: float
    excess_cost: float
    excess_value: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts."""

    gateway_count: int
    rank: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    tick_us: int
    answer_grace_us: int
    drain_grace_us: int
    start_capacity_ratio: float
    warm_up_us: int
    collapse_load_ratio: float
    collapse_window_us: int
    max_attempts: int
    may_hedge: bool
    may_cancel: bool
    may_probe: bool
    may_set_retry_after: bool
    max_retry_after_us: int
    server_list_is_pushed: bool
    has_counter: bool
    counter_timeout_us: int
    counter_call_cost: float
    metering_period_us: int
    settles_actual_units: bool
    cross_zone_cost: float
    wasted_work_cost: float

    def __post_init__(self) -> None:
        _require(self.gateway_count >= 1, "gateway_count", self.gateway_count, "at least 1")
        _require(
            0 <= self.rank < self.gateway_count, "rank", self.rank, f"from 0 to {self.gateway_count - 1}"
        )
        _require(bool(self.classes), "classes", self.classes, "at least one class")
        for field in (
            "tick_us",
            "answer_grace_us",
            "drain_grace_us",
            "warm_up_us",
            "collapse_window_us",
            "counter_timeout_us",
        ):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "no negative time")
        _require(
            0.0 < self.start_capacity_ratio <= 1.0,
            "start_capacity_ratio",
            self.start_capacity_ratio,
            "a share over 0",
        )
        for n, kind in enumerate(self.classes):
            _require(
                kind.latency_target_us > 0,
                f"classes[{n}].latency_target_us",
                kind.latency_target_us,
                "a time over 0",
            )
            _require(kind.deadline_us > 0, f"classes[{n}].deadline_us", kind.deadline_us, "a time over 0")
        for n, plan in enumerate(self.plans):
            for field in (
                "rate_per_s",
                "burst",
                "max_in_flight",
                "ceiling_rate_per_s",
                "ceiling_depth",
                "ceiling_slack",
            ):
                value = getattr(plan, field)
                _require(value >= 0, f"plans[{n}].{field}", value, "no negative limit")

    def validate_request(self, event: RequestArrived) -> None:
        """Raise where a request names a class or plan that these settings do not have."""
        _require(0 <= event.class_index < len(self.classes), "class_index", event.class_index, "known")
        _require(0 <= event.plan_index < len(self.plans), "plan_index", event.plan_index, "known")


def _require(holds: bool, field: str, value: object, wanted: str) -> None:
    if not holds:
        raise ValueError(f"{field} is {value!r}: wanted {wanted}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list. `started` is 0 for a server that began long ago."""

    server_id: bytes
    state: ServerState
    started_at: int
    weight: float
    zone: int
    cell: int
    machine_kind: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's own word on its load; None where it does not say."""

    in_flight: float | None = None
    queued: float | None = None
    busy: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ServerListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request. `first_gateway` and `gateways` name the customer's set; `size` is its bytes.

    Where it is `uploading` its body is still on the way, and its time counts from `BodyComplete` on.
    """

    request_id: int
    account_id: int
    plan_index: int
    class_index: int
    time_left_us: int
    units: float
    first_gateway: int
    gateway_count: int
    is_retry: bool = False
    is_write: bool = False
    body_bytes: int = 0
    is_uploading: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`ended` tells that the request has its final answer; `usage` is a percentage or None."""

    request_id: int
    attempt_index: int
    server_id: bytes
    result: Result
    duration_us: int
    request_ended: bool
    usage_percent: int | None = None
    actual_units: int | None = None
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request_id: int
    attempt_index: int
    server_id: bytes
    duration_us: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The client left; nothing is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    counter_name: int
    result: Result
    total: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    server_id: bytes
    result: Result
    duration_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """The classes from now on. A number whose class changes has no open request; what was learnt is lost."""

    classes: tuple[RequestClass, ...]

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes, "at least one class")


@dataclass(frozen=True, slots=True)
class RequestClassChanged:
    """An open request has another class from now on, whose rule on repeats is no milder."""

    request_id: int
    class_index: int


@dataclass(frozen=True, slots=True)
class ServerAdminStateChanged:
    """A server is left out by hand from now on, whatever the list says, or is no longer (`barred` False)."""

    server_id: bytes
    is_disabled: bool


@dataclass(frozen=True, slots=True)
class CeilingShareChanged:
    """Another process of this front door is there, or has gone.

    `part` of the door's share of each ceiling is this process's from now on, over 0 and at most 1; it uses
    cold servers only if `warms`, since the other may not do so as well.
    """

    ceiling_share: float
    may_use_cold_servers: bool

    def __post_init__(self) -> None:
        _require(0.0 < self.ceiling_share <= 1.0, "ceiling_share", self.ceiling_share, "a share over 0")


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The last byte of a request's body has come; from now on `time_left` counts."""

    request_id: int
    time_left_us: int


Event = (
    ServerList
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestEnded
    | CounterAnswered
    | ProbeEnded
    | PeerMessage
    | TimerFired
    | ClassesChanged
    | RequestClassChanged
    | ServerAdminStateChanged
    | CeilingShareChanged
    | RequestBodyReceived
)


# Actions


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; `timeout` 0 lets it run until the client gives up."""

    request_id: int
    server_id: bytes
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: the client may safely try again, best after `retry_after`."""

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer without a promise."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named count and hear its total; a new name is forgotten after `lifetime`.

    `patience` is for how long an answer is of use, where the front door may wait beyond the usual time-out.
    """

    counter_name: int
    amount: float
    lifetime_us: int
    max_wait_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: int = 0


@dataclass(frozen=True, slots=True)
class ProbeServer:
    server_id: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    server_id: bytes


@dataclass(frozen=True, slots=True)
class FetchServerList:
    pass


@dataclass(frozen=True, slots=True)
class WatchServerList:
    is_on: bool = True


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """A message to one gateway, or to all others when `gateway` is None."""

    gateway_index: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | AddToCounter
    | SetTimer
    | ProbeServer
    | CloseIdleConnections
    | FetchServerList
    | WatchServerList
    | SendPeerMessage
    | LogMessage
)


class Decider(Protocol):
    """The shape of `irisdeal.front_door.decisions.gateway.Gateway`."""

    actions: list[Action]  # of the last call; what was decided before an event failed stands

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened by `now`; return what to do, in order."""
        ...
