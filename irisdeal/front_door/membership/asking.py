"""What to ask discovery next, and when: one call at a time, for as long as a door runs.

Rules that this file keeps:

1. A list that is held is never fetched whole to go on: a watch from its version brings what was missed, at
   the price of what has changed. The whole is asked for where no version is held or what came made no sense.
2. A discovery that must be asked is one service for all doors, which calls stand in line for. Doors that were
   started in one instant spread their first calls over the time in which it can take one of each.
3. A call that was turned away, or failed in that line, says that more is asked than it can take; what failed
   there has cost it as much as what it answered. Were all to come back soon, the line would stay as long as
   it may be and no call would ever be answered in time. So a door comes back about once in a turn of all
   doors, at a time drawn anew, and later the more often it failed. What is held stands meanwhile.
4. A call that broke says that a connection is gone. It is made again almost at once: where a watch goes on
   within `WATCH_GAP`, nothing that changed counts as told unheard (PROTOCOL, Discovery). Then ever later.
5. Pauses are bounded, whatever discovery asks for.

Times are seconds; `draw` gives numbers from 0 up to, and without, 1.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

WATCH_GAP = 0.2  # s; PROTOCOL, Discovery: a watch goes on as long as its next call comes within that time
WAIT = 4_000  # ms that a watch may take: one whose peer has silently gone is found that late
PATIENCE = 1.0  # s more for the answer of a watch that goes on, or of an agent on the door's own machine
LINE_PATIENCE = 3.0  # s for a call that stands in line at discovery, which fails it after 2 s
BROKEN_PAUSE, LONGEST_BROKEN = 0.05, 1.0  # s before a broken call is made again, doubled each time
# s of discovery for one call of one door: it is made to take one of each door of a fleet in 2 to 8 s, and
# fleets have 40 (BENCH, [discovery]); with the longest of them nothing is pushed over its edge.
CALL = 0.2
LONGEST_TURN = 20.0  # s; beyond a hundred doors nobody stays without news for longer to spare discovery
SPREAD = 0.6  # of a turn over which first calls are spread: what little line this makes is served in time
REFUSED_PAUSE = 0.2  # s at least, also where the turn is shorter
GROWTH, MOST_GROWN = 1.5, 3.0  # each pause after a failure is so many times the last; at most of the first
LONGEST_ASKED = 10.0  # s of `Retry-After` that are honoured


def turn(doors: int) -> float:
    """s in which a discovery that must be asked can take one call of each door."""
    return min(LONGEST_TURN, CALL * doors)


@dataclass(frozen=True, slots=True)
class Ask:
    """One call: the whole list (`version` below 0), or a watch from a version for so many ms."""

    version: int
    wait: int  # ms
    patience: float  # s for its answer

    @property
    def is_whole(self) -> bool:
        return self.version < 0


class Asking:
    """The state between calls. `next` tells the call to make; then exactly one of the others is told its end.

    `turn` is 0 where the list is pushed to an agent on the door's own machine, which answers at no cost.
    """

    def __init__(self, draw: Callable[[], float], turn: float = 0.0, version: int = -1) -> None:
        self.draw, self.turn = draw, turn
        self.version = version  # of the list held; below 0 none is
        self._begun = False  # a watch goes on
        self._grown = 1.0
        self._broken = BROKEN_PAUSE

    def first(self) -> float:
        """s before the first call. A door that knows no backend at all asks at once."""
        return SPREAD * self.turn * self.draw() if self.version >= 0 else 0.0

    def next(self) -> Ask:
        """The call to make now."""
        line = LINE_PATIENCE if self.turn and not self._begun else PATIENCE
        if self.version < 0:
            return Ask(-1, 0, line)
        return Ask(self.version, WAIT, WAIT / 1000 + line)

    def answered(self, version: int, was_watch: bool) -> None:
        """It brought the list, changes or nothing new; `version` is held now."""
        self.version, self._begun = version, was_watch
        self._grown, self._broken = 1.0, BROKEN_PAUSE

    def refused(self, retry_after: float | None = None) -> float:
        """It was turned away; s until the next. What discovery asks for is the least, not the most."""
        self._begun = False
        pause = max(REFUSED_PAUSE, self.turn) * self._grown * (0.5 + 0.5 * self.draw())
        self._grown = min(MOST_GROWN, self._grown * GROWTH)
        if retry_after is None:
            return pause
        return min(LONGEST_ASKED, max(0.0, retry_after)) + pause

    def broken(self) -> float:
        """It had no answer, or its connection broke; s until the next."""
        self._begun = False
        pause, self._broken = self._broken, min(LONGEST_BROKEN, 2 * self._broken)
        return pause * (0.5 + 0.5 * self.draw())

    def odd(self) -> float:
        """Its answer made no sense, or was for a version that is not held; s until the whole is asked for."""
        self.version = -1
        return self.broken()

    def forget(self) -> None:
        """Nothing that is held counts any more: another discovery, or a list that must be had anew."""
        self.version, self._begun = -1, False
