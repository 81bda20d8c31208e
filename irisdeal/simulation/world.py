"""Virtual time and a schedule of events, executed in an exact order.

Rules that hold for the whole package:

1. There is one clock, `World.now`, in whole µs. It advances only from one scheduled event to the next, so an
   hour without events takes no real time.
2. Events are ordered by time and then by the order in which they were scheduled. Nothing else
   influences the order: no object address, hash, real clock or thread.
3. All random numbers are drawn from `World.random`, which has one seed, so one seed always gives the same
   run, byte for byte.
4. Each event is recorded in the `EventTrace`, so that two runs can be compared and the first event in which
   they differ can be found.
5. A world with waiting tasks and no scheduled event is an error (`SimulationStalledError`); so are too many
   events without time advancing (`SimulationLivelockError`).

The same rules hold in FoundationDB's simulator (Zhou et al., SIGMOD 2021, section 4) and TigerBeetle's VOPR.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator

from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.trace import EventTrace

# Events at the same µs before a livelock is reported; the peak of a full simulated day is under a tenth of it.
MAX_SIMULTANEOUS_EVENTS = 200_000
# Most recent events that the error lists.
REPORTED_EVENT_COUNT = 16
# Clock when a world starts; not 0, since many programs use 0 for "never".
START_US = 1_000_000_000


class ScheduledEvent:
    """A call scheduled for the virtual time `when` (µs); `what` describes it."""

    __slots__ = ("args", "call", "cancelled", "what", "when")

    def __init__(self, when: int, what: str, call: Callable[..., None], args: tuple[object, ...]) -> None:
        self.when, self.what, self.call, self.args = when, what, call, args
        self.cancelled = False

    def cancel(self) -> None:
        """Skip this call when it is due."""
        self.cancelled = True


class World:
    """The clock, the schedule and the random numbers of one run."""

    def __init__(self, seed: int, recorded_block: int | None = None) -> None:
        """`recorded_block`: the block of the trace whose events are kept as text."""
        self.now = START_US
        self.random = random.Random(seed)
        self.trace = EventTrace(recorded_block)
        self.wait_reporters: list[Callable[[], Iterator[str]]] = []  # each lists its waiting tasks
        self._schedule: list[tuple[int, int, ScheduledEvent]] = []
        self._sequence = 0
        self._simultaneous = 0
        self._last_events: list[str] = []

    def at(self, when: int, what: str, call: Callable[..., None], *args: object) -> ScheduledEvent:
        """Schedule a call at `when` (µs), or now if that has passed; `what` describes it in the trace."""
        event = ScheduledEvent(max(when, self.now), what, call, args)
        self._sequence += 1
        heapq.heappush(self._schedule, (event.when, self._sequence, event))
        return event

    def run(self, over: Callable[[], bool], until: int) -> None:
        """Execute events until `over` returns True.

        Raises SimulationStalledError at `until` (µs) or with nothing scheduled, and SimulationLivelockError after
        too many events without time advancing.
        """
        schedule = self._schedule
        while not over():
            if not schedule:
                raise SimulationStalledError(self._waiting_tasks("nothing is due any more"))
            when, _, event = heapq.heappop(schedule)
            if event.cancelled:
                continue
            if when > until:
                heapq.heappush(schedule, (when, 0, event))
                raise SimulationStalledError(
                    self._waiting_tasks(f"not over after {(until - START_US) / 1e6:g} s")
                )
            self._advance(when, event.what)
            self.trace.record(when, event.what)
            event.call(*event.args)

    def _advance(self, when: int, what: str) -> None:
        """Set the clock, and count the events without an advance."""
        if when != self.now:
            self.now, self._simultaneous = when, 0
            self._last_events.clear()
        self._simultaneous += 1
        if self._simultaneous <= MAX_SIMULTANEOUS_EVENTS - REPORTED_EVENT_COUNT:
            return
        self._last_events.append(what)
        if self._simultaneous > MAX_SIMULTANEOUS_EVENTS:
            raise SimulationLivelockError(
                f"{MAX_SIMULTANEOUS_EVENTS} events at {self.seconds():.6f} s, most recently: "
                f"{', '.join(dict.fromkeys(self._last_events))}"
            )

    def seconds(self) -> float:
        """Return the virtual s since the start."""
        return (self.now - START_US) / 1e6

    def _waiting_tasks(self, why: str) -> str:
        lines = [line for report in self.wait_reporters for line in report()]
        return "\n  ".join([f"{why}, at {self.seconds():.6f} s; waiting tasks:", *(lines or ["none"])])
