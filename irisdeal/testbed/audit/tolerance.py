"""Delays that the testbed causes itself: stalls of its event loop, paused front doors, and link faults."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

from irisdeal.testbed.request_log import Attempt, LinkFault, RequestLog, front_door_name

SOCKET_SLACK_US = 50_000  # PROTOCOL, The rules on sockets: each time limit is 50 ms longer
STALL_RANGE_US = 300_000  # a stall this close to a recorded time can have shifted it
FLUSH_US = 100_000  # for a link to forward its pending bytes and for the backend to read them


class Slack:
    """The extension of a time limit: 50 ms plus the stalls of the testbed's event loop in the same period."""

    def __init__(self, request_log: RequestLog) -> None:
        self.ends = [at for at, _ in request_log.stalls]
        # Sorted as well, since stalls do not overlap.
        self.begins = [at - late for at, late in request_log.stalls]
        self.sums = [0, *accumulate(late for _, late in request_log.stalls)]

    def over(self, start: int, end: int) -> int:
        """Return the extension for a wait from `start` to `end` (µs): the sum of all stalls in that time.

        A stall is recorded at its end, so a time read during a stall precedes the record.
        """
        first, last = bisect_left(self.ends, start), bisect_right(self.begins, end + SOCKET_SLACK_US)
        return SOCKET_SLACK_US + self.sums[max(first, last)] - self.sums[first]

    def near(self, *moments: int) -> int:
        """Return the extension for recorded times (µs): the stalls shortly before and after each."""
        return SOCKET_SLACK_US + sum(map(self.stalled, moments))

    def stalled(self, at: int) -> int:
        """Return the µs for which the event loop was stalled near a time."""
        return self.over(at - STALL_RANGE_US, at + STALL_RANGE_US) - SOCKET_SLACK_US


class Pauses:
    """The times in which the testbed paused a front door; delays from them do not count as breaches."""

    def __init__(self, request_log: RequestLog) -> None:
        self.by_front_door: dict[int, list[tuple[int, int]]] = defaultdict(list)
        for front_door, start, end in request_log.pauses:
            self.by_front_door[front_door].append((start, end))

    def over(self, front_door: int, start: int, end: int) -> int:
        """Return the µs of pauses that overlap a wait; a pause that outlasts the wait counts up to its own end."""
        return sum(
            stop - max(start, begin)
            for begin, stop in self.by_front_door.get(front_door, ())
            if begin <= end and stop > start
        )


class SendTimes:
    """The earliest time at which a front door can have sent an attempt that a backend received.

    This is the time of the first byte at the backend, or earlier if a link fault delayed the bytes: that delay is
    not the front door's.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self.link_faults: dict[tuple[str, str], list[LinkFault]] = defaultdict(list)
        for link_fault in request_log.link_faults:
            self.link_faults[link_fault.source, link_fault.target].append(link_fault)

    def __call__(self, attempt: Attempt) -> int:
        """Return the earliest time, µs, at which the front door can have sent this attempt."""
        at = attempt.first_byte
        for link_fault in reversed(
            self.link_faults.get((front_door_name(attempt.front_door), attempt.zone), ())
        ):
            end = (link_fault.end or at) + FLUSH_US + link_fault.late
            if link_fault.start <= at <= end:
                at = max(link_fault.start, at - link_fault.late) if link_fault.late else link_fault.start
        return at
