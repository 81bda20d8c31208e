"""Runs decision modules for the simulator: a `Gateway` per instance, over standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from irisdeal.front_door.decisions import simulator_wire
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Event


class GatewayHost:
    """The gateway instances of one process. They share no state."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.columns: dict[int, simulator_wire.Columns] = {}

    def reply(self, frame: bytes) -> bytes:
        """Process a batch frame; return the reply frame."""
        clock, records = simulator_wire.read_batch(frame, self.columns)
        events_of: dict[int, list[Event]] = {}
        for instance, event in records:
            if isinstance(event, simulator_wire.InstanceStopped):
                self.gateways.pop(instance, None)
                events_of.pop(instance, None)
            elif isinstance(event, simulator_wire.InstanceStarted):
                self.gateways[instance] = Gateway(event.settings, event.seed)
                self.columns[instance] = event.columns
                events_of[instance] = []
            elif instance in self.gateways:
                events_of.setdefault(instance, []).append(event)
            else:
                raise simulator_wire.WireError(f"{type(event).__name__} for unknown instance {instance}")
        replies: list[bytes] = []
        for instance, events in events_of.items():
            try:
                actions = self.gateways[instance].handle(clock, events)
            except Exception as error:  # reported to the simulator, which stops with its text
                replies.append(simulator_wire.exception_record(instance, f"{type(error).__name__}: {error}"))
                break
            replies += [simulator_wire.write_action(instance, action) for action in actions]
        return simulator_wire.write_reply(replies)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of input."""
    host = GatewayHost()
    while header := source.read(simulator_wire.BATCH_HEADER.size):
        if len(header) < simulator_wire.BATCH_HEADER.size:
            raise simulator_wire.WireError(f"frame header cut off after {len(header)} bytes")
        rest = simulator_wire.frame_size(header) - len(header)
        body = source.read(rest)
        if len(body) < rest:
            frame_bytes = rest + len(header)
            raise simulator_wire.WireError(
                f"frame of {frame_bytes} bytes cut off after {len(header) + len(body)}"
            )
        sink.write(host.reply(header + body))
        sink.flush()


def main() -> int:
    """Run until the end of input; malformed input ends with a one-line error and status 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:  # malformed frames or settings
        print(f"irisdeal.front_door.decisions: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
