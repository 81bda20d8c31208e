"""Standard input to standard output: one `Gateway` for each instance on the wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from irisdeal.front_door.decisions import simulator_wire
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Event


class GatewayHost:
    """The instances that one process holds. They share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.columns: dict[int, simulator_wire.Columns] = {}

    def reply(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        clock, records = simulator_wire.read_batch(frame, self.columns)
        waiting: dict[int, list[Event]] = {}
        for door, event in records:
            if isinstance(event, simulator_wire.InstanceStopped):
                self.gateways.pop(door, None)
                waiting.pop(door, None)
            elif isinstance(event, simulator_wire.InstanceStarted):
                self.gateways[door] = Gateway(event.settings, event.seed)
                self.columns[door] = event.columns
                waiting[door] = []
            elif door in self.gateways:
                waiting.setdefault(door, []).append(event)
            else:
                raise simulator_wire.WireError(f"{type(event).__name__} for unknown instance {door}")
        out: list[bytes] = []
        for door, events in waiting.items():
            try:
                actions = self.gateways[door].handle(clock, events)
            except Exception as error:  # reported on the wire: the day ends with its text
                out.append(simulator_wire.exception_record(door, f"{type(error).__name__}: {error}"))
                break
            out += [simulator_wire.write_action(door, action) for action in actions]
        return simulator_wire.write_reply(out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = GatewayHost()
    while header := source.read(simulator_wire.BATCH_HEADER.size):
        if len(header) < simulator_wire.BATCH_HEADER.size:
            raise simulator_wire.WireError(f"frame header cut off after {len(header)} bytes")
        rest = simulator_wire.frame_size(header) - len(header)
        body = source.read(rest)
        if len(body) < rest:
            whole = rest + len(header)
            raise simulator_wire.WireError(f"frame of {whole} bytes cut off after {len(header) + len(body)}")
        sink.write(host.reply(header + body))
        sink.flush()


def main() -> int:
    """Run until the end of input; malformed input ends with one plain line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:  # of the wire or of the settings
        print(f"irisdeal.front_door.decisions: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
