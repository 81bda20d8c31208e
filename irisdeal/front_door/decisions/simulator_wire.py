"""Wire format of the simulator: decodes frames to events and settings, encodes actions to frames.

A frame is a batch of records; a record has a code, a length and the id of a gateway instance.
"""

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
    """Input that does not follow the wire format. The text names the fault and its position."""


class InstanceStarted(NamedTuple):
    """A gateway instance was started."""

    seed: int
    settings: Settings
    columns: tuple[str, ...]


class InstanceStopped(NamedTuple):
    """A gateway instance was killed."""


class RecordLayout:
    """Fixed fields of a record, as `struct` codes. Fields missing at the end are read as 0."""

    def __init__(self, fields: str) -> None:
        field_codes = fields.split()
        self.layout = struct.Struct("<" + "".join(field_codes))
        self.size = self.layout.size
        self.field_ends = {
            struct.calcsize("<" + "".join(field_codes[:n])) for n in range(len(field_codes) + 1)
        }

    def read(self, frame: memoryview, offset: int, end: int) -> tuple:  # type: ignore[type-arg]
        """Return the values of the fields from `offset` on, in a record that ends at `end`."""
        if end - offset >= self.size:
            return self.layout.unpack_from(frame, offset)
        if end - offset not in self.field_ends:
            raise WireError(f"record cut inside a field at byte {end}")
        return self.layout.unpack(bytes(frame[offset:end]).ljust(self.size, b"\0"))


MAX_TEXT_BYTES = 65535
ALL_GATEWAYS = 0xFFFFFFFF  # as the receiver of a peer message
BATCH_HEADER = struct.Struct("<IIQ")
RECORD_HEADER = struct.Struct("<HI")
REPLY_HEADER = struct.Struct("<II")
U32 = struct.Struct("<I")
LIST_ENTRY = struct.Struct("<fQHHBH6s")

INSTANCE_STARTED = RecordLayout("I Q I")
SERVER_LIST = RecordLayout("I B I I")
REQUEST_ARRIVED = RecordLayout("I Q f B H f Q I f B")
ATTEMPT_ENDED = RecordLayout("I Q I B H B 6s H H B")
COUNTER_ANSWERED = RecordLayout("I I Q H f")
REQUEST_ENDED = RecordLayout("I Q")
PEER_MESSAGE = RecordLayout("I H H")
STREAM_STARTED = RecordLayout("I Q B 6s I")
PROBE_ENDED = RecordLayout("I I 6s H B")
INSTANCE_STOPPED = RecordLayout("I")
TIMER_FIRED = RecordLayout("I I")

RESULTS = {
    100: Result.OK,
    301: Result.ERROR,
    302: Result.REJECTED,
    303: Result.TIMED_OUT,
    304: Result.NOT_CONNECTED,
    305: Result.CONNECTION_LOST,
    306: Result.CANCELLED,
    307: Result.NOT_SENT,
}
STATES = {0: ServerState.GONE, 1: ServerState.READY, 2: ServerState.DRAINING}
LIST_KINDS = dict(
    enumerate((ServerListKind.CHANGES, ServerListKind.COMPLETE, ServerListKind.CACHED, ServerListKind.FAILED))
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


def _look_up(table: dict[int, T], code: int, label: str, offset: int) -> T:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {label} {code} in the record at byte {offset}") from None


def _bytes_at(frame: memoryview, offset: int, end: int, size: int, label: str) -> memoryview:
    if offset + size > end:
        raise WireError(f"{label} of {size} bytes passes the end of its record at byte {end}")
    return frame[offset : offset + size]


def _read_load_report(
    frame: memoryview, offset: int, end: int, value_count: int, columns: Columns
) -> LoadReport | None:
    if value_count == 0:
        return None
    values = struct.unpack(f"<{value_count}f", _bytes_at(frame, offset, end, 4 * value_count, "load report"))
    return LoadReport(
        **{
            LOAD_REPORT_ATTRIBUTES[column]: value
            for column, value in zip(columns, values, strict=False)
            if column in LOAD_REPORT_ATTRIBUTES
        }
    )


def _read_server_list(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, kind, version, entry_count = SERVER_LIST.read(frame, offset, end)
    body = (
        _bytes_at(frame, offset + SERVER_LIST.size, end, entry_count * LIST_ENTRY.size, "server list")
        if entry_count
        else b""
    )
    entries = tuple(
        ServerEntry(
            server_id,
            _look_up(STATES, state_code, "server state", offset),
            started_at,
            weight,
            zone,
            cell,
            machine_kind,
        )
        for weight, started_at, zone, machine_kind, state_code, cell, server_id in LIST_ENTRY.iter_unpack(
            body
        )
    )
    return ServerList(_look_up(LIST_KINDS, kind, "list kind", offset), version, entries)


def _read_request_arrived(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    (
        _,
        request_id,
        first_gateway,
        class_index,
        plan_index,
        gateway_count,
        account_id,
        time_left_us,
        units,
        flags,
    ) = REQUEST_ARRIVED.read(frame, offset, end)
    return RequestArrived(
        request_id,
        account_id,
        plan_index,
        class_index,
        time_left_us,
        units,
        int(first_gateway),
        int(gateway_count),
        bool(flags & 2),
        bool(flags & 4),
    )


def _read_attempt_ended(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    (
        _,
        request_id,
        duration_us,
        attempt_index,
        result_code,
        request_ended,
        server_id,
        usage_plus_one,
        actual_units,
        value_count,
    ) = ATTEMPT_ENDED.read(frame, offset, end)
    return AttemptEnded(
        request_id,
        attempt_index,
        server_id,
        _look_up(RESULTS, result_code, "outcome", offset),
        duration_us,
        bool(request_ended),
        usage_plus_one - 1 if usage_plus_one else None,
        actual_units or None,
        _read_load_report(frame, offset + ATTEMPT_ENDED.size, end, value_count, columns)
        if value_count
        else None,
    )


def _read_counter_answered(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, duration_us, counter_name, result_code, value = COUNTER_ANSWERED.read(frame, offset, end)
    return CounterAnswered(
        counter_name, _look_up(RESULTS, result_code, "outcome", offset), value, duration_us
    )


def _read_request_ended(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    return RequestEnded(REQUEST_ENDED.read(frame, offset, end)[1])


def _read_peer_message(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, sender, size = PEER_MESSAGE.read(frame, offset, end)
    content = bytes(_bytes_at(frame, offset + PEER_MESSAGE.size, end, size, "message")) if size else b""
    return PeerMessage(sender, content)


def _read_stream_started(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, request_id, attempt_index, server_id, duration_us = STREAM_STARTED.read(frame, offset, end)
    return StreamStarted(request_id, attempt_index, server_id, duration_us)


def _read_probe_ended(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, duration_us, server_id, result_code, value_count = PROBE_ENDED.read(frame, offset, end)
    load_report = (
        _read_load_report(frame, offset + PROBE_ENDED.size, end, value_count, columns)
        if value_count
        else None
    )
    return ProbeEnded(server_id, _look_up(RESULTS, result_code, "outcome", offset), duration_us, load_report)


def _read_instance_started(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    _, seed, size = INSTANCE_STARTED.read(frame, offset, end)
    text = bytes(_bytes_at(frame, offset + INSTANCE_STARTED.size, end, size, "settings")) if size else b""
    return InstanceStarted(seed, *parse_settings(text))


def _read_instance_stopped(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    return InstanceStopped()


def _read_timer_fired(frame: memoryview, offset: int, end: int, columns: Columns) -> Decoded:
    return TimerFired(TIMER_FIRED.read(frame, offset, end)[1])


READERS: dict[int, Callable[[memoryview, int, int, Columns], Decoded]] = {
    1000: _read_attempt_ended,
    1010: _read_timer_fired,
    1020: _read_instance_stopped,
    1030: _read_probe_ended,
    1040: _read_counter_answered,
    1050: _read_instance_started,
    1060: _read_request_arrived,
    1070: _read_stream_started,
    1080: _read_request_ended,
    1090: _read_peer_message,
    1100: _read_server_list,
}


def frame_size(header: bytes) -> int:
    """Return the size of the whole frame with this header, in bytes."""
    size = int(BATCH_HEADER.unpack(header)[1])
    if size < BATCH_HEADER.size:
        raise WireError(f"frame size {size} is smaller than its header")
    return size


def read_batch(data: bytes, columns_of: dict[int, Columns]) -> tuple[int, Iterator[tuple[int, Decoded]]]:
    """Return the clock and the events, each with its instance; records with unknown codes are skipped."""
    if len(data) < BATCH_HEADER.size:
        raise WireError(f"frame header cut off after {len(data)} bytes")
    records, size, clock = BATCH_HEADER.unpack_from(data)
    if size != len(data):
        raise WireError(f"frame of {size} bytes cut off after {len(data)} bytes")
    return clock, _read_records(memoryview(data), records, columns_of)


def _read_records(
    frame: memoryview, records: int, columns_of: dict[int, Columns]
) -> Iterator[tuple[int, Decoded]]:
    offset, size = BATCH_HEADER.size, len(frame)
    for number in range(records):
        if offset + RECORD_HEADER.size > size:
            raise WireError(f"record {number} of {records} is missing at byte {offset}")
        code, length = RECORD_HEADER.unpack_from(frame, offset)
        offset += RECORD_HEADER.size
        end = offset + length
        if end > size:
            raise WireError(f"record {number} (code {code}) passes the end of the frame at byte {offset}")
        reader = READERS.get(code)
        if reader is not None:
            instance = U32.unpack_from(frame, offset)[0] if length >= U32.size else 0
            yield instance, reader(frame, offset, end, columns_of.get(instance, ()))
        offset = end
    if offset != size:
        raise WireError(f"{size - offset} bytes left over after the last record at byte {offset}")


def _packer(code: int, fields: str) -> Callable[..., bytes]:
    layout = struct.Struct("<HI" + fields)
    length = layout.size - RECORD_HEADER.size
    return lambda *values: layout.pack(code, length, *values)


START = _packer(1020, "IQi6s")
CANCEL = _packer(1110, "IQB")
ADD = _packer(1100, "IQfI")
CLOSE = _packer(1050, "I6s")
FETCH_LIST = _packer(1120, "I")
PROBE = _packer(1030, "I6s")
SET_TIMER = _packer(1080, "III")
FAIL = _packer(1000, "IQ")
WATCH_LIST = _packer(1010, "IB")
REJECT = _packer(1040, "IQI")


def _text_record(code: int, instance: int, head: bytes, content: bytes) -> bytes:
    body = U32.pack(instance) + head + struct.pack("<H", len(content)) + content
    return RECORD_HEADER.pack(code, len(body)) + body


def _encode_text(text: str) -> bytes:
    return text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]


def exception_record(instance: int, text: str) -> bytes:
    """Return the record that reports an exception of an instance."""
    return _text_record(1070, instance, b"", _encode_text(text))


WRITERS: dict[type, Callable[[int, Action], bytes]] = {
    StartAttempt: lambda d, a: START(d, a.request_id, a.timeout_us, a.server_id),  # type: ignore[union-attr]
    CancelAttempt: lambda d, a: CANCEL(d, a.request_id, a.attempt_index),  # type: ignore[union-attr]
    AddToCounter: lambda d, a: ADD(d, a.counter_name, a.amount, a.lifetime_us),  # type: ignore[union-attr]
    CloseIdleConnections: lambda d, a: CLOSE(d, a.server_id),  # type: ignore[union-attr]
    FetchServerList: lambda d, a: FETCH_LIST(d),
    ProbeServer: lambda d, a: PROBE(d, a.server_id),  # type: ignore[union-attr]
    SetTimer: lambda d, a: SET_TIMER(d, a.delay_us, a.token),  # type: ignore[union-attr]
    FailRequest: lambda d, a: FAIL(d, a.request_id),  # type: ignore[union-attr]
    WatchServerList: lambda d, a: WATCH_LIST(d, a.is_on),  # type: ignore[union-attr]
    RejectRequest: lambda d, a: REJECT(d, a.request_id, a.retry_after_us),  # type: ignore[union-attr]
    LogMessage: lambda d, a: _text_record(1060, d, b"", _encode_text(a.text)),  # type: ignore[union-attr]
    SendPeerMessage: lambda d, a: _text_record(
        1090,
        d,
        U32.pack(ALL_GATEWAYS if a.gateway_index is None else a.gateway_index),  # type: ignore[union-attr]
        a.content,  # type: ignore[union-attr]
    ),
}


def write_action(instance: int, action: Action) -> bytes:
    """Return an action as a record."""
    return WRITERS[type(action)](instance, action)


def write_reply(records: list[bytes]) -> bytes:
    """Return a reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body


class SettingsReader:
    """Typed values of settings by their paths. Errors name the setting."""

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

    def integer(self, path: str, default: str | None = None) -> int:
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
    """Parse settings; return them and the names of the load report's values, in order."""
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
    """Build settings from values by their paths; return what `parse_settings` does."""
    reader = SettingsReader(values)
    pushed = reader.one_of("discovery", {"pushed": True, "on_request": False})
    columns = tuple(c for c in reader.text("report.columns", "").split(",") if c)
    return Settings(
        gateway_count=reader.integer("peers_total"),
        rank=reader.integer("rank"),
        zone=reader.integer("locality"),
        classes=tuple(_class(reader, f"profiles.{n}.") for n in range(reader.integer("profiles.count"))),
        plans=tuple(_plan(reader, f"packages.{n}.") for n in range(reader.integer("packages.count", "0"))),
        tick_us=reader.integer("round_us"),
        answer_grace_us=reader.integer("safety.grace_to_answer_us"),
        drain_grace_us=reader.integer("safety.drain_grace_us"),
        start_capacity_ratio=reader.number("safety.start_capacity"),
        warm_up_us=reader.integer("safety.warm_up_us"),
        collapse_load_ratio=reader.number("safety.tip_multiple"),
        collapse_window_us=reader.integer("safety.fall_us"),
        max_attempts=reader.integer("permissions.max_attempts"),
        may_hedge=reader.flag("permissions.parallel_tries"),
        may_cancel=reader.flag("permissions.cancel"),
        may_probe=reader.flag("permissions.probes"),
        may_set_retry_after=reader.flag("permissions.retry_after"),
        max_retry_after_us=reader.integer("permissions.max_retry_after_us", "0"),
        server_list_is_pushed=pushed,
        has_counter=reader.flag("family_info.shared_counter", "false"),
        counter_timeout_us=reader.integer("family_info.count_wait_us", "0"),
        counter_call_cost=reader.number("family_info.count_fee", "0"),
        metering_period_us=reader.integer("family_info.meter_us", "0"),
        settles_actual_units=reader.flag("family_info.settles", "false"),
        cross_zone_cost=reader.number("costs.cross_zone", "0"),
        wasted_work_cost=reader.number("costs.waste", "0"),
    ), columns


def _class(reader: SettingsReader, prefix: str) -> RequestClass:
    repeat = reader.one_of(prefix + "repeat", REPEATS)
    keyed = repeat is Idempotency.KEYED
    return RequestClass(
        latency_target_us=reader.integer(prefix + "slo_us"),
        deadline_us=reader.integer(prefix + "deadline_us"),
        idempotency=repeat,
        dedup_scope=reader.one_of(prefix + "group", GROUPS, None if keyed else "")
        if keyed
        else DedupScope.CELL,
        dedup_window_us=reader.integer(prefix + "window_us", None if keyed else "0"),
        value=reader.number(prefix + "worth"),
        late_value=reader.number(prefix + "late_value", "0"),
        is_streaming=reader.flag(prefix + "stream", "false"),
    )


def _plan(reader: SettingsReader, prefix: str) -> Plan:
    return Plan(
        rate_per_s=reader.number(prefix + "refill"),
        burst=reader.number(prefix + "burst"),
        max_in_flight=reader.integer(prefix + "concurrency"),
        ceiling_rate_per_s=reader.number(prefix + "hard_rate"),
        ceiling_depth=reader.number(prefix + "never_over_depth"),
        ceiling_slack=reader.number(prefix + "cap_slack"),
        value_factor=reader.number(prefix + "value_factor"),
        excess_cost=reader.number(prefix + "beyond_costs"),
        excess_value=reader.number(prefix + "extra_worth"),
    )
