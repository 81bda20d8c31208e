"""Wire format of the simulator: complete, truncated and malformed frames."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from irisdeal.front_door.decisions import simulator, simulator_wire
from irisdeal.front_door.decisions.interface import (
    AttemptEnded,
    CounterAnswered,
    RequestArrived,
    RequestEnded,
    Result,
    ServerList,
    ServerState,
    StartAttempt,
    TimerFired,
)

SETTINGS = b"""discovery=pushed
peers_total=2
rank=0
locality=0
round_us=1000
profiles.count=1
profiles.0.slo_us=500000
profiles.0.deadline_us=1500000
profiles.0.repeat=free
profiles.0.worth=1.0
packages.count=0
safety.grace_to_answer_us=5000
safety.drain_grace_us=1000000
safety.start_capacity=0.2
safety.warm_up_us=9000000
safety.tip_multiple=3.0
safety.fall_us=1000000
permissions.max_attempts=3
permissions.parallel_tries=true
permissions.cancel=true
permissions.probes=false
permissions.retry_after=false
report.columns=concurrent,depth
something.new=7
"""


def record(code: int, body: bytes) -> bytes:
    return struct.pack("<HI", code, len(body)) + body


def frame(*records: bytes, clock: int = 9) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), 16 + len(body), clock) + body


def read(*records: bytes) -> list[tuple[int, Any]]:
    return list(simulator_wire.read_batch(frame(*records), {3: ("concurrent", "depth")})[1])


def instance_started(instance: int = 3, text: bytes = SETTINGS) -> bytes:
    return record(1050, struct.pack("<IQI", instance, 4, len(text)) + text)


def test_every_common_event() -> None:
    server_id = b"\x0a\x01\x02\x03\x50\x00"
    list_entry = struct.pack("<fQHHBH6s", 2.0, 5, 1, 0, 2, 4, server_id)
    decoded = read(
        record(1060, struct.pack("<IQfBHfQIfB", 3, 77, 1.0, 0, 2, 2.0, 55, 9000, 3.0, 2)),
        record(1000, struct.pack("<IQIBHB6sHHB2f", 3, 77, 50, 1, 302, 0, server_id, 41, 6, 2, 7.0, 1.0)),
        record(1040, struct.pack("<IIQHf", 3, 12, 99, 100, 4.5)),
        record(1080, struct.pack("<IQ", 3, 78)),
        record(1010, struct.pack("<II", 3, 6)),
        record(1100, struct.pack("<IBII", 3, 1, 8, 1) + list_entry),
        record(4321, b"skipped"),
    )
    events = [event for _, event in decoded]
    assert [instance for instance, _ in decoded] == [3] * 6
    assert events[0] == RequestArrived(77, 55, 2, 0, 9000, 3.0, 1, 2, True, False)
    ended = events[1]
    assert isinstance(ended, AttemptEnded) and ended.result is Result.REJECTED
    assert (ended.usage_percent, ended.actual_units, ended.load_report and ended.load_report.in_flight) == (
        40,
        6,
        7.0,
    )
    assert events[2] == CounterAnswered(99, Result.OK, 4.5, 12)
    assert events[3:5] == [RequestEnded(78), TimerFired(6)]
    assert isinstance(events[5], ServerList) and events[5].entries[0].state is ServerState.DRAINING


def test_omitted_fields_are_read_as_0() -> None:
    [(_, event)] = read(record(1060, struct.pack("<IQfBHfQ", 3, 77, 1.0, 0, 2, 2.0, 55)))
    assert event == RequestArrived(77, 55, 2, 0, 0, 0.0, 1, 2)


def test_actions_are_encoded() -> None:
    output = simulator_wire.write_action(3, StartAttempt(77, b"\x0a\x01\x02\x03\x50\x00", 80))
    assert output == record(1020, struct.pack("<IQi6s", 3, 77, 80, b"\x0a\x01\x02\x03\x50\x00"))
    assert simulator_wire.write_reply([output]) == struct.pack("<II", 8 + len(output), 1) + output


@settings(deadline=None, derandomize=True)
@given(strategies.integers(0, 2**52), strategies.integers(0, 2**32 - 1), strategies.integers(0, 120))
def test_truncated_frames_are_rejected(request_id: int, time_left_us: int, cut: int) -> None:
    complete = frame(
        instance_started(),
        record(1060, struct.pack("<IQfBHfQIfB", 3, request_id, 0.0, 0, 0, 1.0, 5, time_left_us, 1.0, 0)),
    )
    [_, (_, event)] = list(simulator_wire.read_batch(complete, {})[1])
    assert (event.request_id, event.time_left_us) == (request_id, time_left_us)  # type: ignore[union-attr]
    with pytest.raises(simulator_wire.WireError):
        simulator.serve(io.BytesIO(complete[: len(complete) - 1 - cut]), io.BytesIO())


@pytest.mark.parametrize(
    ("broken", "message"),
    [
        (frame(record(1010, struct.pack("<II", 8, 1))), "unknown instance 8"),
        (frame(instance_started(text=b"rank=1")), "discovery is missing"),
        (frame(instance_started(text=SETTINGS.replace(b"rank=0", b"rank=x"))), "rank is no number"),
        (frame(record(1010, b"\x03\0\0\0\1\0")), "inside a field"),
        (struct.pack("<IIQ", 2, 16, 0), "record 0 of 2 is missing"),
    ],
)
def test_malformed_input_ends_with_a_one_line_error(broken: bytes, message: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "irisdeal.front_door.decisions.simulator"],
        input=broken,
        capture_output=True,
        check=False,
    )
    assert done.returncode != 0 and done.stdout == b""
    assert message in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_stop_and_start_of_an_instance_in_one_batch() -> None:
    output = io.BytesIO()
    instance_stopped = record(1020, struct.pack("<I", 3))
    simulator.serve(
        io.BytesIO(frame(instance_started()) + frame(instance_stopped, instance_started()) + frame()), output
    )
    sizes, at, data = [], 0, output.getvalue()
    while at < len(data):
        sizes.append(struct.unpack_from("<I", data, at)[0])
        at += sizes[-1]
    assert len(sizes) == 3 and sizes[-1] == 8


def test_an_exception_of_an_instance_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("out of luck")

    monkeypatch.setattr("irisdeal.front_door.decisions.simulator.Gateway.handle", fail)
    reply = simulator.GatewayHost().reply(frame(instance_started()))
    assert struct.unpack_from("<H", reply, 8)[0] == 1070 and b"out of luck" in reply
