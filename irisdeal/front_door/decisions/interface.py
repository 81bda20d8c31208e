"""Interface between a front door and its decision module: settings, events and actions.

Times are whole microseconds of the front door's own clock, durations whole microseconds. Server ids and
counter names are opaque: the module only returns them in its actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The servers that share their record of idempotency keys and so drop duplicates of one key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """Outcome of an attempt, a probe or a call to the counter service."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class ServerState(Enum):
    """State of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerListKind(Enum):
    """Kind of a server list message: changes, a complete list, a list from the local cache, or a failure."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: times, idempotency and value.

    `dedup_window_us` is how long the servers of `dedup_scope` remember an idempotency key. `value` is that of
    a response within `latency_target_us`, `late_value` of a later one; `is_streaming` marks streamed
    responses.
    """

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
    """Limits of each account of a plan, over all gateways; 0 means no such limit.

    `rate_per_s` and `burst` are a token bucket of quota units, `max_in_flight` limits concurrent requests.
    The ceiling is a hard token bucket of `ceiling_depth` units that must never be exceeded by more than
    `ceiling_slack`. `value_factor` multiplies the value of requests. Units beyond the quota cost
    `excess_cost` each and are of value `excess_value`.
    """

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
    """Settings of a gateway, fixed from its start but for `classes`.

    A server starts with `start_capacity_ratio` of its capacity and reaches all of it after `warm_up_us`. It
    collapses when it receives `collapse_load_ratio` times its current capacity for `collapse_window_us`.
    `rank` is this gateway's index among `gateway_count`.
    """

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
            _require(getattr(self, field) >= 0, field, getattr(self, field), "a time of at least 0")
        _require(
            0.0 < self.start_capacity_ratio <= 1.0,
            "start_capacity_ratio",
            self.start_capacity_ratio,
            "over 0 and at most 1",
        )
        for n, request_class in enumerate(self.classes):
            _require(
                request_class.latency_target_us > 0,
                f"classes[{n}].latency_target_us",
                request_class.latency_target_us,
                "a time over 0",
            )
            _require(
                request_class.deadline_us > 0,
                f"classes[{n}].deadline_us",
                request_class.deadline_us,
                "a time over 0",
            )
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
                _require(value >= 0, f"plans[{n}].{field}", value, "a limit of at least 0")

    def validate_request(self, event: RequestArrived) -> None:
        """Raise ValueError where a request has a class or plan that these settings do not have."""
        _require(
            0 <= event.class_index < len(self.classes),
            "class_index",
            event.class_index,
            "the index of a known class",
        )
        _require(
            0 <= event.plan_index < len(self.plans),
            "plan_index",
            event.plan_index,
            "the index of a known plan",
        )


def _require(is_valid: bool, field: str, value: object, expected: str) -> None:
    if not is_valid:
        raise ValueError(f"{field} is {value!r}: wanted {expected}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the server list. `started_at` is 0 for a server that started long ago."""

    server_id: bytes
    state: ServerState
    started_at: int
    weight: float
    zone: int
    cell: int
    machine_kind: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as reported by a server; None for values that it does not report."""

    in_flight: float | None = None
    queued: float | None = None
    busy: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    """A message of the server list. A complete list replaces the previous one."""

    kind: ServerListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was received.

    The account's requests come through `gateway_count` gateways from the one of rank `first_gateway` on.
    While the request `is_uploading`, its body is incomplete, and its time counts from `RequestBodyReceived`
    on.
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
    """An attempt ended, with `request_ended` also its request. `usage_percent` is None where unknown."""

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
    """The response of an attempt has started and is streamed to the client."""

    request_id: int
    attempt_index: int
    server_id: bytes
    duration_us: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The client disconnected: the request needs no response."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """The outcome of `AddToCounter`, with the counter's total where it is OK."""

    counter_name: int
    result: Result
    total: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of `ProbeServer`."""

    server_id: bytes
    result: Result
    duration_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """The request classes changed.

    A class that differs from the previous one at its index has no open request; its statistics are reset.
    """

    classes: tuple[RequestClass, ...]

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes, "at least one class")


@dataclass(frozen=True, slots=True)
class RequestClassChanged:
    """An open request now has another class, which permits no more repeats than the previous one."""

    request_id: int
    class_index: int


@dataclass(frozen=True, slots=True)
class ServerAdminStateChanged:
    """An operator disabled or enabled a server. A disabled one gets no requests, whatever the list says."""

    server_id: bytes
    is_disabled: bool


@dataclass(frozen=True, slots=True)
class CeilingShareChanged:
    """Another process of this front door started or ended.

    This process may now use `ceiling_share` (over 0, at most 1) of the front door's share of each ceiling.
    Only one of the processes may use cold servers, as each would use the whole budget for them.
    """

    ceiling_share: float
    may_use_cold_servers: bool

    def __post_init__(self) -> None:
        _require(0.0 < self.ceiling_share <= 1.0, "ceiling_share", self.ceiling_share, "over 0 and at most 1")


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The last byte of a request's body was received; its time counts from here."""

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
    """Send a request to a server. With `timeout_us` 0 the attempt may last until the request's deadline."""

    request_id: int
    server_id: bytes
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answer a request finally: not executed, and safe to retry, preferably after `retry_after_us`."""

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer a request finally with an error: it may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a counter and request its total; a new counter expires after `lifetime_us`.

    With `max_wait_us` over 0, an answer is of use for that long, even after the configured timeout.
    """

    counter_name: int
    amount: float
    lifetime_us: int
    max_wait_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer."""

    delay_us: int
    token: int = 0


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe a server."""

    server_id: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server_id: bytes


@dataclass(frozen=True, slots=True)
class FetchServerList:
    """Read the server list once."""


@dataclass(frozen=True, slots=True)
class WatchServerList:
    """Start or stop watching the server list."""

    is_on: bool = True


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to one gateway, or to all others where `gateway_index` is None."""

    gateway_index: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a log message."""

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
    """A decision module, such as `irisdeal.front_door.decisions.gateway.Gateway`."""

    actions: list[Action]  # of the last call; where an event raised, those decided before it are valid

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events up to `now`; return the actions to take, in order."""
        ...
