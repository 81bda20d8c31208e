"""Connection slots: which connections are accepted, evicted for others, or rejected.

The rules (PROTOCOL, The rules on sockets: a request counts as accepted once its last byte is written to a
connection that the front door's machine accepted):

1. There is a number of regular slots and a small reserve. A connection in the reserve is read until its
   request is complete; if a regular slot is free by then, it moves there; otherwise it is rejected and closed
   gracefully. So each request that arrives is answered, with a bounded number of descriptors.
2. With the reserve in use as well, nothing is accepted: connections wait in the kernel's accept queue.
3. Only connections with no request pending, and with enough time to send one, are evicted: a closing one
   whose response has had time to be read, one unused since its accept, an idle one; in this order, the oldest
   first. One that has begun to send a request is never evicted.
4. A slot is in use from the accept until the connection's descriptor is closed, so that descriptors are bounded.

All times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from enum import Enum
from itertools import islice
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

# How long a connection must have been in a state before it may be evicted.
MIN_CLOSING_S = 0.05  # by then the data in flight when it was closed has arrived and been read
MIN_UNUSED_S = 0.25  # a client sends its first request right after connecting; an overloaded one needs longer
MIN_IDLE_S = 2.0  # the platform's shortest pause between two requests
# Unused connections (no byte received) may not take all slots: once they take more than this share of the
# regular ones, they get the shorter time, still many round trips. A burst of them delays others by about that.
UNUSED_BURST_SHARE = 0.5
MIN_UNUSED_IN_BURST_S = 0.05
MAX_CANDIDATES_PER_STATE = 32  # examined for one slot: the caller may have to skip some
RATE_WINDOW_S = 1.0  # over which rejections and released slots are counted for `retry_after_s`
MIN_RETRY_AFTER_S = 0.05  # an earlier retry would find nothing changed


class ConnectionState(Enum):
    """What a connection is doing."""

    NEW = 0  # no byte received yet
    BUSY = 1  # a request is arriving or pending
    IDLE = 2  # between requests
    CLOSING = 3  # its last response is sent


class ConnectionSlots(Generic[K]):
    """The slots of all connections.

    Every call is O(1); `eviction_candidates` yields at most `3 * MAX_CANDIDATES_PER_STATE`.
    """

    def __init__(self, regular_slots: int, reserve_slots: int) -> None:
        """Set the number of regular slots and of reserve slots, in connections."""
        self.regular_slots = regular_slots
        self.reserve_slots = reserve_slots
        self.states: dict[K, ConnectionState] = {}
        # When each connection entered its state, the earliest first.
        self.entered_at: dict[ConnectionState, dict[K, float]] = {state: {} for state in ConnectionState}
        self.in_reserve: dict[K, None] = {}
        self._released = 0.0  # both decayed to `_decayed_at`
        self._rejected = 0.0
        self._decayed_at = 0.0

    def __len__(self) -> int:
        return len(self.states)

    @property
    def regular_in_use(self) -> int:
        """The number of regular slots in use."""
        return len(self.states) - len(self.in_reserve)

    def can_accept(self) -> bool:
        """Return whether a connection may be accepted."""
        return len(self.states) < self.regular_slots + self.reserve_slots

    def add(self, key: K, now: float) -> None:
        """Add an accepted connection."""
        if self.regular_in_use >= self.regular_slots:
            self.in_reserve[key] = None
        self.states[key] = ConnectionState.NEW
        self.entered_at[ConnectionState.NEW][key] = now

    def set_state(self, key: K, state: ConnectionState, now: float) -> None:
        """Record a connection's new state; one that was removed already is ignored."""
        previous = self.states.get(key)
        if previous is not None:
            del self.entered_at[previous][key]
            self.states[key] = state
            self.entered_at[state][key] = now

    def remove(self, key: K, now: float) -> None:
        """Release the slot of a connection whose descriptor is closed; a second call changes nothing."""
        state = self.states.pop(key, None)
        if state is None:
            return
        del self.entered_at[state][key]
        if key in self.in_reserve:
            del self.in_reserve[key]
        else:
            self._decay_counts(now)
            self._released += 1.0

    def has_reserve_slot(self, key: K) -> bool:
        """Return whether a connection is in the reserve."""
        return key in self.in_reserve

    def claim_regular_slot(self, key: K, now: float) -> bool:
        """Return whether a connection whose request is complete has, or now gets, a regular slot.

        Where it does not, its request is to be rejected, and is counted as rejected.
        """
        if key not in self.in_reserve:
            return True
        if self.regular_in_use < self.regular_slots:
            del self.in_reserve[key]
            return True
        self._decay_counts(now)
        self._rejected += 1.0
        return False

    def eviction_candidates(self, now: float) -> Iterator[K]:
        """Yield the connections that may be evicted, in the order in which to try them (rule 3)."""
        in_burst = len(self.entered_at[ConnectionState.NEW]) > UNUSED_BURST_SHARE * self.regular_slots
        min_unused_s = MIN_UNUSED_IN_BURST_S if in_burst else MIN_UNUSED_S
        limits = (
            (ConnectionState.CLOSING, MIN_CLOSING_S),
            (ConnectionState.NEW, min_unused_s),
            (ConnectionState.IDLE, MIN_IDLE_S),
        )
        for state, min_time_s in limits:
            # A copy: the caller may remove connections meanwhile.
            for key, entered_at in list(islice(self.entered_at[state].items(), MAX_CANDIDATES_PER_STATE)):
                if entered_at > now - min_time_s:
                    break
                yield key

    def retry_after_s(self, now: float) -> float:
        """Return after what time a rejected client should retry, in s.

        All that were rejected in the last second may retry, and slots are released at the rate of that second:
        the last client finds a slot after rejected / released seconds.
        """
        self._decay_counts(now)
        return max(MIN_RETRY_AFTER_S, (1.0 + self._rejected) / max(1.0, self._released) * RATE_WINDOW_S)

    def _decay_counts(self, now: float) -> None:
        remaining = math.exp(-max(0.0, now - self._decayed_at) / RATE_WINDOW_S)
        self._released *= remaining
        self._rejected *= remaining
        self._decayed_at = max(now, self._decayed_at)
