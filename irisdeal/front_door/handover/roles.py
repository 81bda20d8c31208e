"""What each of two processes of one front door may use and does during a handover.

The rules:

1. From the moment when the older process sends its state, each process has half of the front door's share of
   every ceiling, and only the newer one may use cold backends. Neither takes the other's half while the other
   may be running.
2. The connection between them is the only sign that the other process runs: its end, whatever the cause, counts
   as the other's end. Neither closes it while it runs, even if the other hangs: one half would be used twice.
3. The older process stops accepting connections only when the newer one reports that it accepts, and resumes if
   the newer one ends.
4. There is one handover at a time: a process that started beside an older one, or has sent its state, sends it
   to no other process. A process whose request is refused for this reason retries.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FULL_SHARE = 1.0
HALF_SHARE = 0.5


class Event(Enum):
    """Events of the other process."""

    STATE_REQUESTED = "a newer process requests the state"
    NEWER_ACCEPTS = "the newer process accepts connections"
    NEWER_ENDED = "the newer process has ended"
    OLDER_ENDED = "the older process has ended"


@dataclass(frozen=True, slots=True)
class ProcessMode:
    """What a process may use and does from now on. `ceiling_share` is of the front door's ceilings.

    Where `is_immediate` is false, cold backends may be used only after the time window over which their budget is
    counted, because the other process may have used up that budget.
    """

    ceiling_share: float
    uses_cold_servers: bool
    accepts_connections: bool
    closes_connections: bool  # each idle connection with its next response
    is_immediate: bool = True


class Stage(Enum):
    """Stage of the handover, as one process sees it."""

    BESIDE_OLDER = "started beside an older process"
    ONLY_PROCESS = "the only process of its front door"
    STATE_SENT = "the state was sent to a newer process"
    DRAINING = "the newer process accepts connections"


MODES = {
    Stage.BESIDE_OLDER: ProcessMode(HALF_SHARE, True, True, False),
    Stage.ONLY_PROCESS: ProcessMode(FULL_SHARE, True, True, False),
    Stage.STATE_SENT: ProcessMode(HALF_SHARE, False, True, False),
    Stage.DRAINING: ProcessMode(HALF_SHARE, False, False, True),
}
MODE_AFTER_FAILED_HANDOVER = ProcessMode(FULL_SHARE, True, True, False, is_immediate=False)
TRANSITIONS = {
    (Stage.BESIDE_OLDER, Event.OLDER_ENDED): Stage.ONLY_PROCESS,
    (Stage.ONLY_PROCESS, Event.STATE_REQUESTED): Stage.STATE_SENT,
    (Stage.STATE_SENT, Event.NEWER_ACCEPTS): Stage.DRAINING,
    (Stage.STATE_SENT, Event.NEWER_ENDED): Stage.ONLY_PROCESS,
    (Stage.DRAINING, Event.NEWER_ENDED): Stage.ONLY_PROCESS,
}


class HandoverRole:
    """State machine of one process in a handover."""

    def __init__(self, has_older: bool) -> None:
        self.stage = Stage.BESIDE_OLDER if has_older else Stage.ONLY_PROCESS

    def can_hand_over(self) -> bool:
        """Return whether the state may be sent to a newer process (rule 4)."""
        return self.stage is Stage.ONLY_PROCESS

    def handle(self, event: Event) -> ProcessMode | None:
        """Return the mode from now on; None where an event that is late, repeated or out of order has no effect."""
        next_stage = TRANSITIONS.get((self.stage, event))
        if next_stage is None:
            return None
        self.stage = next_stage
        return MODE_AFTER_FAILED_HANDOVER if event is Event.NEWER_ENDED else MODES[next_stage]
