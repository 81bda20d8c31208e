"""Who does what while two processes of one door live.

Rules that this file keeps:

1. Split. From the moment the old one tells its state, each has half of the door's part of every ceiling, and
   cold backends are the new one's alone. Neither takes the other's part while the other may live.
2. The connection between them is the only sign of life: its end, however it came, is the other's end. Nobody
   closes it while it lives, not even over one that hangs: a part would be spent twice.
3. The old one stops accepting only when the new one says that it accepts, and accepts again if that one ends.
4. One handover at a time: a process that has an older one beside it, or has told its state, tells it to
   nobody else. Who asks then asks again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

WHOLE, HALF_SHARE = 1.0, 0.5


class Event(Enum):
    """What a process hears."""

    STATE_REQUESTED = "a newer process asks for the state"
    NEWER_ACCEPTS = "the newer process accepts"
    NEWER_ENDED = "the newer process has ended"
    OLDER_ENDED = "the older process has ended"


@dataclass(frozen=True, slots=True)
class Duty:
    """What a process does from now on. `part` is of the door's ceilings; `warms`: it uses cold backends.

    `at_once` False: only after the time in which a cold backend's budget is counted, since the other may
    have spent it.
    """

    ceiling_share: float
    uses_cold_servers: bool
    accepts_connections: bool
    closes_connections: bool  # it ends kept connections with their next answer
    is_immediate: bool = True


class Stage(Enum):
    """Where a process stands."""

    BESIDE_OLDER = "started beside an older one"
    ALONE = "alone"
    STATE_SENT = "has told its state"
    DRAINING = "the newer one accepts"


DUTIES = {
    Stage.BESIDE_OLDER: Duty(HALF_SHARE, True, True, False),
    Stage.ALONE: Duty(WHOLE, True, True, False),
    Stage.STATE_SENT: Duty(HALF_SHARE, False, True, False),
    Stage.DRAINING: Duty(HALF_SHARE, False, False, True),
}
AGAIN = Duty(WHOLE, True, True, False, is_immediate=False)
STEPS = {
    (Stage.BESIDE_OLDER, Event.OLDER_ENDED): Stage.ALONE,
    (Stage.ALONE, Event.STATE_REQUESTED): Stage.STATE_SENT,
    (Stage.STATE_SENT, Event.NEWER_ACCEPTS): Stage.DRAINING,
    (Stage.STATE_SENT, Event.NEWER_ENDED): Stage.ALONE,
    (Stage.DRAINING, Event.NEWER_ENDED): Stage.ALONE,
}


class HandoverRole:
    """One process's place in a handover."""

    def __init__(self, has_older: bool) -> None:
        self.stage = Stage.BESIDE_OLDER if has_older else Stage.ALONE

    def can_hand_over(self) -> bool:
        return self.stage is Stage.ALONE

    def handle(self, event: Event) -> Duty | None:
        """What it does from now on; None where nothing changes (late, doubled or out of turn)."""
        after = STEPS.get((self.stage, event))
        if after is None:
            return None
        self.stage = after
        return AGAIN if event is Event.NEWER_ENDED else DUTIES[after]
