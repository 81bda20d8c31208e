"""The simulator's wire: frames to events, actions to frames, and the settings text."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypeVar

from irisdeal.front_door.decisions.interface import (
    Action,
    AddToCounter,
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    CounterAnswered,
    DedupScope,
    Event,
    FailRequest,
    FetchServerList,
    Idempotency,
    LoadReport,
    LogMessage,
    PeerMessage,
    Plan,
    ProbeEnded,
    ProbeServer,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RequestEnded,
    Result,
    SendPeerMessage,
    ServerEntry,
    ServerList,
    ServerListKind,
    ServerState,
    SetTimer,
    Settings,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchServerList,
)

T = TypeVar("T")


class WireError(ValueError):
    """Input that does not follow the wire; the text says what and where."""


class InstanceStarted(NamedTuple):
    """An instance starts afresh."""

    seed: int
    settings: Settings
    columns: tuple[str, ...]


class InstanceStopped(NamedTuple):
    """An instance was killed."""


class RecordLayout:
    """Fixed fields of a record. Whole fields may be missing at the end and read as 0."""

    def __init__(self, fields: str) -> None:
        parts = fields.split()
        self.packed = struct.Struct("<" + "".join(parts))
        self.size = self.packed.size
        self.cuts = {struct.calcsize("<" + "".join(parts[:n])) for n in range(len(parts) + 1)}

    def read(self, frame: memoryview, at: int, end: int) -> tuple:  # type: ignore[type-arg]
        """The fields that start at `at`; the record ends at `end`."""
        if end - at >= self.size:
            return self.packed.unpack_from(frame, at)
        if end - at not in self.cuts:
            raise WireError(f"record cut inside a field at byte {end}")
        return self.packed.unpack(bytes(frame[at:end]).ljust(self.size, b"\0"))


BATCH_HEADER = struct.Struct("<IIQ")
RECORD_HEADER = struct.Struct("<HI")
REPLY_HEADER = struct.Struct("<II")
U32 = struct.Struct("<I")
LIST_ENTRY = struct.Struct("<fQHHBH6s")

INIT = RecordLayout("I Q I")
MEMBERS = RecordLayout("I B I I")
REQUEST = RecordLayout("I Q f B H f Q I f B")
COMPLETED = RecordLayout("I Q I B H B 6s H H B")
COUNT_RESULT = RecordLayout("I I Q H f")
DROPPED = RecordLayout("I Q")
NEIGHBOUR = RecordLayout("I H H")
ACK_FIRST = RecordLayout("I Q B 6s I")
HEALTH = RecordLayout("I I 6s H B")
HALT = RecordLayout("I")
RING = RecordLayout("I I")

RESULTS = {
    100: Result.OK,
    301: Result.ERROR,
    302: Result.TURNED_AWAY,
    303: Result.TIMED_OUT,
    304: Result.NOT_CONNECTED,
    305: Result.CONNECTION_LOST,
    306: Result.CANCELLED,
    307: Result.NOT_SENT,
}
STATES = {0: ServerState.GONE, 1: ServerState.READY, 2: ServerState.DRAINING}
LIST_KINDS = dict(
    enumerate(
        (ServerListKind.CHANGES, ServerListKind.COMPLETE, ServerListKind.REMEMBERED, ServerListKind.FAILED)
    )
)
LOAD_REPORT_ATTRIBUTES = {
    "concurrent": "in_flight",
    "depth": "queued",
    "load_share": "busy",
    "mean_ms": "service_ms",
    "tps": "served_per_s",
    "err_ps": "errors_per_s",
}

Columns = tuple[str, ...]
Decoded = Event | InstanceStarted | InstanceStopped


def _known(table: dict[int, T], code: int, what: str, at: int) -> T:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {what} {code} in the record at byte {at}") from None


def _tail(frame: memoryview, at: int, end: int, size: int, what: str) -> memoryview:
    if at + size > end:
        raise WireError(f"{what} of {size} bytes passes the end of its record at byte {end}")
    return frame[at : at + size]


def _load(frame: memoryview, at: int, end: int, n: int, columns: Columns) -> LoadReport | None:
    if n == 0:
        return None
    values = struct.unpack(f"<{n}f", _tail(frame, at, end, 4 * n, "load report"))
    return LoadReport(
        **{
            LOAD_REPORT_ATTRIBUTES[c]: v
            for c, v in zip(columns, values, strict=False)
            if c in LOAD_REPORT_ATTRIBUTES
        }
    )


def _members(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, kind, version, rows = MEMBERS.read(frame, at, end)
    body = _tail(frame, at + MEMBERS.size, end, rows * LIST_ENTRY.size, "server list") if rows else b""
    entries = tuple(
        ServerEntry(server, _known(STATES, mode, "server state", at), born, heft, zone, cell, shape)
        for heft, born, zone, shape, mode, cell, server in LIST_ENTRY.iter_unpack(body)
    )
    return ServerList(_known(LIST_KINDS, kind, "list kind", at), version, entries)


def _request(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, request, first, cls, plan, ways, customer, left, units, attrs = REQUEST.read(frame, at, end)
    return RequestArrived(
        request, customer, plan, cls, left, units, int(first), int(ways), bool(attrs & 2), bool(attrs & 4)
    )


def _completed(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, request, took, leg, state, ended, server, usage, settled, n = COMPLETED.read(frame, at, end)
    return AttemptEnded(
        request,
        leg,
        server,
        _known(RESULTS, state, "outcome", at),
        took,
        bool(ended),
        usage - 1 if usage else None,
        settled or None,
        _load(frame, at + COMPLETED.size, end, n, columns) if n else None,
    )


def _count_result(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, took, name, state, value = COUNT_RESULT.read(frame, at, end)
    return CounterAnswered(name, _known(RESULTS, state, "outcome", at), value, took)


def _dropped(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    return RequestEnded(DROPPED.read(frame, at, end)[1])


def _neighbour(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, sender, size = NEIGHBOUR.read(frame, at, end)
    content = bytes(_tail(frame, at + NEIGHBOUR.size, end, size, "message")) if size else b""
    return PeerMessage(sender, content)


def _ack_first(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, request, leg, server, took = ACK_FIRST.read(frame, at, end)
    return StreamStarted(request, leg, server, took)


def _health(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, took, server, state, n = HEALTH.read(frame, at, end)
    load = _load(frame, at + HEALTH.size, end, n, columns) if n else None
    return ProbeEnded(server, _known(RESULTS, state, "outcome", at), took, load)


def _init(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    _, seed, size = INIT.read(frame, at, end)
    text = bytes(_tail(frame, at + INIT.size, end, size, "settings")) if size else b""
    return InstanceStarted(seed, *parse_settings(text))


def _halt(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    return InstanceStopped()


def _ring(frame: memoryview, at: int, end: int, columns: Columns) -> Decoded:
    return TimerFired(RING.read(frame, at, end)[1])


READERS: dict[int, Callable[[memoryview, int, int, Columns], Decoded]] = {
    1000: _completed,
    1010: _ring,
    1020: _halt,
    1030: _health,
    1040: _count_result,
    1050: _init,
    1060: _request,
    1070: _ack_first,
    1080: _dropped,
    1090: _neighbour,
    1100: _members,
}


def frame_size(header: bytes) -> int:
    """The size of the whole frame that begins with this header."""
    size = int(BATCH_HEADER.unpack(header)[1])
    if size < BATCH_HEADER.size:
        raise WireError(f"frame size {size} is smaller than its header")
    return size


def read_batch(data: bytes, columns_of: dict[int, Columns]) -> tuple[int, Iterator[tuple[int, Decoded]]]:
    """The clock and the events, each with its instance; unknown codes are skipped."""
    if len(data) < BATCH_HEADER.size:
        raise WireError(f"frame header cut off after {len(data)} bytes")
    records, size, clock = BATCH_HEADER.unpack_from(data)
    if size != len(data):
        raise WireError(f"frame of {size} bytes cut off after {len(data)} bytes")
    return clock, _records(memoryview(data), records, columns_of)


def _records(
    frame: memoryview, records: int, columns_of: dict[int, Columns]
) -> Iterator[tuple[int, Decoded]]:
    at, size = BATCH_HEADER.size, len(frame)
    for number in range(records):
        if at + RECORD_HEADER.size > size:
            raise WireError(f"record {number} of {records} is missing at byte {at}")
        code, length = RECORD_HEADER.unpack_from(frame, at)
        at += RECORD_HEADER.size
        end = at + length
        if end > size:
            raise WireError(f"record {number} (code {code}) passes the end of the frame at byte {at}")
        reader = READERS.get(code)
        if reader is not None:
            door = U32.unpack_from(frame, at)[0] if length >= U32.size else 0
            yield door, reader(frame, at, end, columns_of.get(door, ()))
        at = end
    if at != size:
        raise WireError(f"{size - at} bytes left over after the last record at byte {at}")


def _packer(code: int, fields: str) -> Callable[..., bytes]:
    packed = struct.Struct("<HI" + fields)
    length = packed.size - RECORD_HEADER.size
    return lambda *values: packed.pack(code, length, *values)


START = _packer(1020, "IQi6s")
REVOKE = _packer(1110, "IQB")
TALLY = _packer(1100, "IQfI")
CLOSE = _packer(1050, "I6s")
READ_LIST = _packer(1120, "I")
TEST = _packer(1030, "I6s")
DEFER = _packer(1080, "III")
REPORT_FAILURE = _packer(1000, "IQ")
TAIL = _packer(1010, "IB")
REFUSE = _packer(1040, "IQI")


def _text(code: int, door: int, head: bytes, content: bytes) -> bytes:
    body = U32.pack(door) + head + struct.pack("<H", len(content)) + content
    return RECORD_HEADER.pack(code, len(body)) + body


def _clip(text: str) -> bytes:
    return text.encode("utf-8", "replace")[:65535]


def exception_record(door: int, text: str) -> bytes:
    """The record that reports a failed decision."""
    return _text(1070, door, b"", _clip(text))


WRITERS: dict[type, Callable[[int, Action], bytes]] = {
    StartAttempt: lambda d, a: START(d, a.request_id, a.timeout_us, a.server_id),  # type: ignore[union-attr]
    CancelAttempt: lambda d, a: REVOKE(d, a.request_id, a.attempt_index),  # type: ignore[union-attr]
    AddToCounter: lambda d, a: TALLY(d, a.counter_name, a.amount, a.lifetime_us),  # type: ignore[union-attr]
    CloseIdleConnections: lambda d, a: CLOSE(d, a.server_id),  # type: ignore[union-attr]
    FetchServerList: lambda d, a: READ_LIST(d),
    ProbeServer: lambda d, a: TEST(d, a.server_id),  # type: ignore[union-attr]
    SetTimer: lambda d, a: DEFER(d, a.delay_us, a.token),  # type: ignore[union-attr]
    FailRequest: lambda d, a: REPORT_FAILURE(d, a.request_id),  # type: ignore[union-attr]
    WatchServerList: lambda d, a: TAIL(d, a.is_on),  # type: ignore[union-attr]
    RejectRequest: lambda d, a: REFUSE(d, a.request_id, a.retry_after_us),  # type: ignore[union-attr]
    LogMessage: lambda d, a: _text(1060, d, b"", _clip(a.text)),  # type: ignore[union-attr]
    SendPeerMessage: lambda d, a: _text(
        1090,
        d,
        U32.pack(0xFFFFFFFF if a.gateway_index is None else a.gateway_index),  # type: ignore[union-attr]
        a.content,  # type: ignore[union-attr]
    ),
}


def write_action(door: int, action: Action) -> bytes:
    """One action as a record."""
    return WRITERS[type(action)](door, action)


def write_reply(records: list[bytes]) -> bytes:
    """A whole reply."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body


class SettingsReader:
    """Typed look-ups in the settings text; errors name the setting."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise WireError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        text = self.text(path, default)
        try:
            return float(text)
        except ValueError:
            raise WireError(f"setting {path} is no number: {text!r}") from None

    def whole(self, path: str, default: str | None = None) -> int:
        return int(self.number(path, default))

    def flag(self, path: str, default: str | None = None) -> bool:
        text = self.text(path, default)
        if text not in ("true", "false"):
            raise WireError(f"setting {path} is neither true nor false: {text!r}")
        return text == "true"

    def one_of(self, path: str, table: dict[str, T], default: str | None = None) -> T:
        text = self.text(path, default)
        if text not in table:
            raise WireError(f"setting {path} has an unknown value: {text!r}")
        return table[text]


REPEATS = {"free": Idempotency.SAFE, "guarded": Idempotency.KEYED, "single_shot": Idempotency.UNSAFE}
GROUPS = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL, "": DedupScope.CELL}


def parse_settings(text: bytes) -> tuple[Settings, tuple[str, ...]]:
    """Settings, and the names of the load report's values in their order."""
    try:
        lines = text.decode("utf-8").split("\n")
    except UnicodeDecodeError as error:
        raise WireError(f"settings are not UTF-8 at byte {error.start}") from None
    values: dict[str, str] = {}
    for number, line in enumerate(lines, 1):
        if line.strip():
            path, sign, value = line.strip().partition("=")
            if not sign:
                raise WireError(f"settings line {number} has no '=': {line.strip()!r}")
            values[path] = value
    return read_settings(values)


def read_settings(values: dict[str, str]) -> tuple[Settings, tuple[str, ...]]:
    """The same from single values by their paths."""
    r = SettingsReader(values)
    pushed = r.one_of("discovery", {"pushed": True, "on_request": False})
    columns = tuple(c for c in r.text("report.columns", "").split(",") if c)
    return Settings(
        gateway_count=r.whole("peers_total"),
        rank=r.whole("rank"),
        zone=r.whole("locality"),
        classes=tuple(_class(r, f"profiles.{n}.") for n in range(r.whole("profiles.count"))),
        plans=tuple(_plan(r, f"packages.{n}.") for n in range(r.whole("packages.count", "0"))),
        tick_us=r.whole("round_us"),
        answer_grace_us=r.whole("safety.grace_to_answer_us"),
        drain_grace_us=r.whole("safety.drain_grace_us"),
        start_capacity_ratio=r.number("safety.start_capacity"),
        warm_up_us=r.whole("safety.warm_up_us"),
        collapse_load_ratio=r.number("safety.tip_multiple"),
        collapse_window_us=r.whole("safety.fall_us"),
        max_attempts=r.whole("permissions.max_attempts"),
        may_hedge=r.flag("permissions.parallel_tries"),
        may_cancel=r.flag("permissions.cancel"),
        may_probe=r.flag("permissions.probes"),
        may_set_retry_after=r.flag("permissions.retry_after"),
        max_retry_after_us=r.whole("permissions.max_retry_after_us", "0"),
        server_list_is_pushed=pushed,
        has_counter=r.flag("family_info.shared_counter", "false"),
        counter_timeout_us=r.whole("family_info.count_wait_us", "0"),
        counter_call_cost=r.number("family_info.count_fee", "0"),
        metering_period_us=r.whole("family_info.meter_us", "0"),
        settles_actual_units=r.flag("family_info.settles", "false"),
        cross_zone_cost=r.number("costs.cross_zone", "0"),
        wasted_work_cost=r.number("costs.waste", "0"),
    ), columns


def _class(r: SettingsReader, at: str) -> RequestClass:
    repeat = r.one_of(at + "repeat", REPEATS)
    keyed = repeat is Idempotency.KEYED
    return RequestClass(
        latency_target_us=r.whole(at + "slo_us"),
        deadline_us=r.whole(at + "deadline_us"),
        idempotency=repeat,
        dedup_scope=r.one_of(at + "group", GROUPS, None if keyed else "") if keyed else DedupScope.CELL,
        dedup_window_us=r.whole(at + "window_us", None if keyed else "0"),
        value=r.number(at + "worth"),
        late_value=r.number(at + "late_value", "0"),
        is_streaming=r.flag(at + "stream", "false"),
    )


def _plan(r: SettingsReader, at: str) -> Plan:
    return Plan(
        rate_per_s=r.number(at + "refill"),
        burst=r.number(at + "burst"),
        max_in_flight=r.whole(at + "concurrency"),
        ceiling_rate_per_s=r.number(at + "hard_rate"),
        ceiling_depth=r.number(at + "never_over_depth"),
        ceiling_slack=r.number(at + "cap_slack"),
        value_factor=r.number(at + "value_factor"),
        excess_cost=r.number(at + "beyond_costs"),
        excess_value=r.number(at + "extra_worth"),
    )
