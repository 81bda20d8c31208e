"""What a proxy that was told to end still takes: only what is over before the process is.

A request is safe to pass on where its own deadline comes first, since it has a final answer by then whatever its
backend does. Else it is taken in the first part of the time alone, where its service's slowest answers of late
would be over with time to spare. All else is promised at once, so that its client goes elsewhere with its time.
"""

from __future__ import annotations

from dataclasses import dataclass

END_SHARE, LEAST_END_S = 1 / 15, 0.25  # of the grace, s: kept for the last bytes and the process's own end
QUIET_SHARE, MOST_QUIET_S = 0.6, 3.5  # of the grace, s: that the platform may go on handing connections to us
TAKEN_SHARE, MOST_TAKEN_S = 0.5, 3.0  # of the grace, s: in which what has no early deadline is taken
LAST_CALL_S = 0.1  # before the end, for the promises to go out
SPARE = 1.5  # times the slowest answer of late that a request is given


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """One end of a process. Times are s on the loop's clock."""

    begun_at: float
    grace_s: float  # from the signal until the process is killed

    @property
    def ends_at(self) -> float:
        """When the process ends at the latest."""
        return self.begun_at + self.grace_s - max(LEAST_END_S, END_SHARE * self.grace_s)

    @property
    def quiet_until(self) -> float:
        """Until when it serves on, though nothing is at work."""
        return self.begun_at + min(MOST_QUIET_S, QUIET_SHARE * self.grace_s)

    @property
    def last_call_at(self) -> float:
        """When all is promised that waits still."""
        return self.ends_at - LAST_CALL_S

    def may_take(self, now: float, until: float, slowest_s: float) -> bool:
        """Whether a new request is taken; as `may_begin`, and no longer than new ones are expected."""
        return now <= self.quiet_until and self.may_begin(now, until, slowest_s)

    def may_begin(self, now: float, until: float, slowest_s: float) -> bool:
        """Whether an attempt that begins now is over in time.

        `until`: when the request has a final answer at the latest; `slowest_s`: of its service's answers of late,
        0 where none is known.
        """
        if until <= self.ends_at:
            return True
        if slowest_s <= 0.0 or now > self.begun_at + min(MOST_TAKEN_S, TAKEN_SHARE * self.grace_s):
            return False
        return now + SPARE * slowest_s <= self.ends_at
