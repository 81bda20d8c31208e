"""Places for connections: who has one, who makes room, and what becomes of those that find none.

The rules that everything here obeys (BRIEF 11; PROTOCOL, The rules on sockets: a request is taken once its
last byte is written to a connection that the door's machine accepted):

1. There are so many usual places, and a small reserve behind them. A connection in the reserve is read until
   its request is whole; by then a usual place may be free, and it moves up; else it is refused and closed in
   good order. So a request that comes is answered, and the descriptors it costs are bounded.
2. With the reserve taken as well, nothing is accepted: what waits, waits in the kernel's queue, unbroken.
3. Room is made only by those that nothing is owed and that had time to speak: one that ends and has had time
   to be read, one silent since it came, one idle; in this order, the oldest first. One that has begun to
   speak never makes room.
4. A place is counted from the accept to the moment the connection has gone, so that descriptors are bounded.

All times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from enum import Enum
from itertools import islice
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

# How long each must have been so before it makes room for another.
ENDED_FOR = 0.05  # s: what crossed the end has come by then, and been read
SILENT_FOR = 0.25  # s: a client writes its first request right after its connect; a busy one needs longer
# Those that say nothing may not hold all places: once they hold more than this share they get less time,
# still many round trips. A storm of silent connections keeps others waiting for about so long.
SILENT_SHARE, SILENT_IN_STORM = 0.5, 0.05  # of the usual places; s
IDLE_FOR = 2.0  # s: the platform's least rest between two requests
LOOK = 32  # candidates of a stage that are looked at for one place: the caller may have to pass over some
MEMORY = 1.0  # s: the span over which refusals and freed places are counted for the advice
LEAST_ADVICE = 0.05  # s: sooner than that nothing has changed


class Stage(Enum):
    """What a connection is doing."""

    FRESH = 0  # it has not said a byte
    BUSY = 1  # a request comes in or is open
    IDLE = 2  # between requests
    ENDING = 3  # answered for the last time


class Places(Generic[K]):
    """The books of all connections. Every call is O(1); `candidates` yields `3 * LOOK` at most."""

    def __init__(self, most: int, reserve: int) -> None:
        """`most` usual places and `reserve` behind them, both in connections."""
        self.most, self.reserve = most, reserve
        self.stages: dict[K, Stage] = {}
        self.since: dict[Stage, dict[K, float]] = {stage: {} for stage in Stage}  # each in order of time
        self.spare: dict[K, None] = {}  # those in the reserve
        self._freed, self._refused, self._at = 0.0, 0.0, 0.0

    def __len__(self) -> int:
        return len(self.stages)

    @property
    def usual(self) -> int:
        """Usual places that are taken."""
        return len(self.stages) - len(self.spare)

    def room(self) -> bool:
        """Whether a connection may be accepted."""
        return len(self.stages) < self.most + self.reserve

    def enter(self, key: K, now: float) -> None:
        """A connection has been accepted."""
        if self.usual >= self.most:
            self.spare[key] = None
        self.stages[key] = Stage.FRESH
        self.since[Stage.FRESH][key] = now

    def move(self, key: K, stage: Stage, now: float) -> None:
        """It does something else from now on; one that has gone already is passed over."""
        old = self.stages.get(key)
        if old is not None:
            del self.since[old][key]
            self.stages[key] = stage
            self.since[stage][key] = now

    def leave(self, key: K, now: float) -> None:
        """Its descriptor is free again; a second time changes nothing."""
        if (stage := self.stages.pop(key, None)) is not None:
            del self.since[stage][key]
            if key in self.spare:
                del self.spare[key]
            else:
                self._fade(now)
                self._freed += 1.0

    def in_reserve(self, key: K) -> bool:
        return key in self.spare

    def claim(self, key: K, now: float) -> bool:
        """Its request is whole: whether it has a usual place. False: to be refused, and counted so."""
        if key not in self.spare:
            return True
        if self.usual < self.most:
            del self.spare[key]
            return True
        self._fade(now)
        self._refused += 1.0
        return False

    def candidates(self, now: float) -> Iterator[K]:
        """Those that may make room, the first to be asked first; whoever has spoken is passed over."""
        storm = len(self.since[Stage.FRESH]) > SILENT_SHARE * self.most
        silent = SILENT_IN_STORM if storm else SILENT_FOR
        for stage, least in ((Stage.ENDING, ENDED_FOR), (Stage.FRESH, silent), (Stage.IDLE, IDLE_FOR)):
            for key, since in list(islice(self.since[stage].items(), LOOK)):  # the books may change
                if since > now - least:
                    break
                yield key

    def advice(self, now: float) -> float:
        """When one that was refused does well to come back, in s.

        So many were refused in the last second, and all may come back; so many places were freed in it. The
        last of them finds one after refused / freed seconds.
        """
        self._fade(now)
        return max(LEAST_ADVICE, (1.0 + self._refused) / max(1.0, self._freed) * MEMORY)

    def _fade(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / MEMORY)
        self._freed, self._refused, self._at = self._freed * kept, self._refused * kept, max(now, self._at)
