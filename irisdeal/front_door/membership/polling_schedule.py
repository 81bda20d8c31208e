"""Discovery polling schedule: the next call to the discovery service and its time, one call at a time.

The rules:

1. A list that is known is never fetched in full to continue: a watch from its version returns what was missed,
   at the price of what has changed. The full list is requested where no version is known or where a response
   was invalid.
2. A discovery service that must be polled is one service for all front doors, whose calls queue there. Front
   doors that start at the same instant spread their first calls over the time in which it can serve one of each.
3. A call that was rejected, or that timed out in that queue, shows that the service is overloaded; a call that
   timed out there has cost the service as much as one that it answered. If all front doors retried soon, the
   queue would stay at its limit and no call would be answered in time. So a front door retries about once in a
   polling period, with jitter, and later the more often it failed. The known list stays in use meanwhile.
4. A broken call means that a connection was lost. It is retried almost at once: where a watch is resumed
   within `MAX_WATCH_GAP_S`, no change counts as notified but not received (PROTOCOL, Discovery). Then with
   exponential backoff.
5. Delays are bounded, whatever `Retry-After` the service sends.

Times are seconds; `random_unit` returns numbers from 0 up to, not including, 1.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MAX_WATCH_GAP_S = 0.2  # PROTOCOL, Discovery: a watch continues if its next call comes within this time
WATCH_DURATION_MS = 4_000  # of one watch call: the loss of a vanished peer may be detected this late
# Added for the response to a watch that continues, or from an agent on the front door's own machine.
RESPONSE_TIMEOUT_S = 1.0
QUEUED_RESPONSE_TIMEOUT_S = 3.0  # for a call that queues at the discovery service, which fails it after 2 s
# Backoff before a broken call is retried: doubled each time, up to the maximum.
MIN_BROKEN_BACKOFF_S = 0.05
MAX_BROKEN_BACKOFF_S = 1.0
# Time of the discovery service for one call of one front door: it is built to serve one of each of a fleet in 2
# to 8 s, and fleets have 40 (BENCH, [discovery]); with the longest of these it is never overloaded.
CALL_TIME_S = 0.2
# Reached with a hundred front doors: in larger fleets none goes without updates for longer to spare the service.
MAX_PERIOD_S = 20.0
INITIAL_SPREAD = 0.6  # of a period, for first calls: the short queue that this makes is served in time
MIN_REJECTED_BACKOFF_S = 0.2  # also where the polling period is shorter
# After each further rejection the delay is this many times the last, up to so many times the first.
REJECTED_BACKOFF_GROWTH = 1.5
MAX_REJECTED_BACKOFF_FACTOR = 3.0
MAX_RETRY_AFTER_S = 10.0  # of a response's `Retry-After` that are honoured
NO_VERSION = -1  # no list is known


def polling_period_s(front_doors: int) -> float:
    """Return the time in which a discovery service that is polled can serve one call of each front door, in s."""
    return min(MAX_PERIOD_S, CALL_TIME_S * front_doors)


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """One call: for the full list (`version` below 0), or a watch from a version.

    `watch_ms` is how long the service may wait for a change, `timeout_s` how long to wait for its response.
    """

    version: int
    watch_ms: int
    timeout_s: float

    @property
    def is_full_list(self) -> bool:
        """Whether the full list is requested."""
        return self.version < 0


class PollingSchedule:
    """The state between calls.

    `next_call` returns the call to make; then the caller reports its result by exactly one of `succeeded`,
    `rejected`, `broken` and `invalid_response`.
    """

    def __init__(
        self, random_unit: Callable[[], float], period_s: float = 0.0, version: int = NO_VERSION
    ) -> None:
        """`version` is that of the known list, below 0 if there is none.

        `period_s` is 0 where the list is pushed to an agent on the front door's own machine, which answers at
        no cost.
        """
        self.random_unit = random_unit
        self.period_s = period_s
        self.version = version
        self._watch_continues = False
        self._rejected_factor = 1.0
        self._broken_backoff_s = MIN_BROKEN_BACKOFF_S

    def initial_delay_s(self) -> float:
        """Return the delay before the first call, in s. A front door without a known list calls at once."""
        if self.version < 0:
            return 0.0
        return INITIAL_SPREAD * self.period_s * self.random_unit()

    def next_call(self) -> DiscoveryCall:
        """Return the call to make now."""
        queues = bool(self.period_s) and not self._watch_continues
        timeout_s = QUEUED_RESPONSE_TIMEOUT_S if queues else RESPONSE_TIMEOUT_S
        if self.version < 0:
            return DiscoveryCall(NO_VERSION, 0, timeout_s)
        return DiscoveryCall(self.version, WATCH_DURATION_MS, WATCH_DURATION_MS / 1000 + timeout_s)

    def succeeded(self, version: int, was_watch: bool) -> None:
        """Record a response with the list, with changes or without any; `version` is now known."""
        self.version = version
        self._watch_continues = was_watch
        self._rejected_factor = 1.0
        self._broken_backoff_s = MIN_BROKEN_BACKOFF_S

    def rejected(self, retry_after_s: float | None = None) -> float:
        """Record that the call was rejected; return the delay before the next one, in s.

        The service's `Retry-After` is the minimum, not the maximum.
        """
        self._watch_continues = False
        base_s = max(MIN_REJECTED_BACKOFF_S, self.period_s)
        delay_s = base_s * self._rejected_factor * self._jitter()
        self._rejected_factor = min(
            MAX_REJECTED_BACKOFF_FACTOR, self._rejected_factor * REJECTED_BACKOFF_GROWTH
        )
        if retry_after_s is None:
            return delay_s
        return min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s)) + delay_s

    def broken(self) -> float:
        """Record a time-out or a lost connection; return the delay before the next call, in s."""
        self._watch_continues = False
        backoff_s = self._broken_backoff_s
        self._broken_backoff_s = min(MAX_BROKEN_BACKOFF_S, 2 * backoff_s)
        return backoff_s * self._jitter()

    def invalid_response(self) -> float:
        """Record an invalid response, or one for a version that is not known; return the delay in s.

        The next call requests the full list.
        """
        self.version = NO_VERSION
        return self.broken()

    def reset(self) -> None:
        """Forget the known version: another discovery service, or a list that must be fetched again."""
        self.version = NO_VERSION
        self._watch_continues = False

    def _jitter(self) -> float:
        return 0.5 + 0.5 * self.random_unit()
