"""Lateness that is no front door's own: stalls of the testbed's event loop, pauses, and links with faults."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

from irisdeal.testbed.request_log import Attempt, LinkFault, RequestLog, front_door_name

SOCKET_SLACK = 50_000  # µs; PROTOCOL, The rules on sockets: each time limit is 50 ms longer
NEAR = 300_000  # µs around a moment in which a stall can have moved it
FLUSH = 100_000  # µs in which a link passes on its pending bytes, and the backend reads them


class Slack:
    """What a time limit is longer by: 50 ms, and each stall of our own loop that can have played a part."""

    def __init__(self, request_log: RequestLog) -> None:
        self.ends = [at for at, _ in request_log.stalls]
        self.begins = [at - late for at, late in request_log.stalls]  # in order too: they do not overlap
        self.sums = [0, *accumulate(late for _, late in request_log.stalls)]

    def over(self, start: int, end: int) -> int:
        """For something that was waited for from `start` to `end` (µs): all stalls meanwhile add up.

        A stall is noted once it is over: an answer read in the middle of it comes before the note.
        """
        first, last = bisect_left(self.ends, start), bisect_right(self.begins, end + SOCKET_SLACK)
        return SOCKET_SLACK + self.sums[max(first, last)] - self.sums[first]

    def near(self, *moments: int) -> int:
        """For moments (µs) that were noted: the stalls just before and behind each."""
        return SOCKET_SLACK + sum(map(self.stalled, moments))

    def stalled(self, at: int) -> int:
        """µs that our loop stood still near a moment."""
        return self.over(at - NEAR, at + NEAR) - SOCKET_SLACK


class Pauses:
    """The times in which we kept a front door from running: what it does late by them is no fault of its own."""

    def __init__(self, request_log: RequestLog) -> None:
        self.by_front_door: dict[int, list[tuple[int, int]]] = defaultdict(list)
        for front_door, start, end in request_log.pauses:
            self.by_front_door[front_door].append((start, end))

    def over(self, front_door: int, start: int, end: int) -> int:
        """µs of them that a wait from `start` to `end` met; one that outlasts the wait counts to its end."""
        return sum(
            stop - max(start, begin)
            for begin, stop in self.by_front_door.get(front_door, ())
            if begin <= end and stop > start
        )


class SendTimes:
    """The earliest moment at which a front door can have sent an attempt that a backend saw.

    That is the backend's first byte, but for a link that held it back meanwhile: what a link of ours kept is no
    front door's lateness.
    """

    def __init__(self, request_log: RequestLog) -> None:
        self.link_faults: dict[tuple[str, str], list[LinkFault]] = defaultdict(list)
        for link_fault in request_log.link_faults:
            self.link_faults[link_fault.source, link_fault.target].append(link_fault)

    def __call__(self, attempt: Attempt) -> int:
        """Return the earliest moment, µs, at which the front door can have sent this attempt."""
        at = attempt.first_byte
        for link_fault in reversed(
            self.link_faults.get((front_door_name(attempt.front_door), attempt.zone), ())
        ):
            end = (link_fault.end or at) + FLUSH + link_fault.late
            if link_fault.start <= at <= end:
                at = max(link_fault.start, at - link_fault.late) if link_fault.late else link_fault.start
        return at
