"""Graceful shutdown: which requests a draining proxy still takes, so that all are over before the process is.

A request may be forwarded where its own deadline comes first, since it has a final answer by then whatever its
backend does. Else it is taken in the first part of the time alone, where its service's slowest responses of late
would be over with time to spare. All else is rejected at once, so that its client goes elsewhere with its time.
"""

from __future__ import annotations

from dataclasses import dataclass

END_SHARE, MIN_END_S = 1 / 15, 0.25  # of the grace, s: kept for the last bytes and the process's own end
# Share of the grace period, and s at most, in which the platform may still send new connections to this process.
QUIET_SHARE, MAX_QUIET_S = 0.6, 3.5
# Share of the grace period, and s at most, in which requests without an early deadline are accepted.
ACCEPT_SHARE, MAX_ACCEPT_S = 0.5, 3.0
LAST_CALL_S = 0.1  # before the end, for the rejections to go out
LATENCY_FACTOR = 1.5  # times the slowest response of late that a request is given


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The times of one shutdown, s on the loop's clock. `grace_s`: from the signal until the process is killed."""

    begun_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """When the process ends at the latest."""
        return self.begun_at + self.grace_s - max(MIN_END_S, END_SHARE * self.grace_s)

    @property
    def quiet_until(self) -> float:
        """Until when it serves on, though no request is at work."""
        return self.begun_at + min(MAX_QUIET_S, QUIET_SHARE * self.grace_s)

    @property
    def last_call_at(self) -> float:
        """When all that still waits is rejected."""
        return self.ends_at - LAST_CALL_S

    def may_take(self, now: float, until: float, slowest_s: float) -> bool:
        """Return whether a new request is taken: as `may_begin`, and only while new ones are expected."""
        return now <= self.quiet_until and self.may_begin(now, until, slowest_s)

    def may_begin(self, now: float, until: float, slowest_s: float) -> bool:
        """Return whether an attempt that begins now is over in time.

        `until`: the request's deadline; `slowest_s`: of its service's responses of late, 0 where none is known.
        """
        if until <= self.ends_at:
            return True
        if slowest_s <= 0.0 or now > self.begun_at + min(MAX_ACCEPT_S, ACCEPT_SHARE * self.grace_s):
            return False
        return now + LATENCY_FACTOR * slowest_s <= self.ends_at


@dataclass(slots=True)
class DrainState:
    """How far the process's shutdown is, as all its requests see it.

    `plan`: None until the shutdown begins; `is_last_call`: all that still waits is being rejected.
    """

    plan: DrainPlan | None = None
    is_last_call: bool = False
