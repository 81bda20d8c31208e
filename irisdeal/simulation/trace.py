"""A running checksum of all events of a simulation, to compare two runs and find the first difference."""

from __future__ import annotations

import zlib

# Events per stored checksum of 4 bytes.
BLOCK_EVENTS = 256


class EventTrace:
    """The checksum over all events so far, with an intermediate one for each block of `BLOCK_EVENTS`."""

    def __init__(self, recorded_block: int | None = None) -> None:
        """`recorded_block`: number of the block whose events are kept as text; None for none."""
        self.checksum = 0
        self.count = 0
        self.block_checksums: list[int] = []
        self.recorded_block = recorded_block
        self.recorded_events: list[str] = []

    def record(self, when: int, what: str) -> None:
        """Add an event at `when` (µs) with the description `what`."""
        self.checksum = zlib.crc32(b"%d %s" % (when, what.encode()), self.checksum)
        if self.recorded_block is not None and self.count // BLOCK_EVENTS == self.recorded_block:
            self.recorded_events.append(f"{when} {what}")
        self.count += 1
        if self.count % BLOCK_EVENTS == 0:
            self.block_checksums.append(self.checksum)

    def digest(self) -> str:
        """Return the checksum and the number of all events."""
        return f"{self.checksum:08x}-{self.count}"


def first_difference(one: EventTrace, other: EventTrace) -> int | None:
    """Return the number of the first block in which two traces differ; None where they are equal."""
    for number, (left, right) in enumerate(zip(one.block_checksums, other.block_checksums, strict=False)):
        if left != right:
            return number
    if one.digest() == other.digest():
        return None
    return min(len(one.block_checksums), len(other.block_checksums))
