"""Graceful shutdown: which requests a draining proxy accepts, so that all end before the process terminates.

A request is accepted if its own deadline is before the end of the drain, since it has a final response by then
whatever its backend does. Otherwise it is accepted only early in the drain, and only if a response as slow as the
service's slowest recent one would arrive with time to spare. All others are rejected immediately, so that their
clients can retry at another proxy in time.
"""

from __future__ import annotations

from dataclasses import dataclass

# Reserved at the end of the grace period for sending the last bytes and terminating the process.
TERMINATION_SHARE = 1 / 15  # of the grace period
MIN_TERMINATION_S = 0.25
# Time in which the platform may still open new connections to this process, so that it keeps serving.
SERVING_SHARE = 0.6  # of the grace period
MAX_SERVING_S = 3.5
# Time in which requests without an early deadline are accepted.
ACCEPT_SHARE = 0.5  # of the grace period
MAX_ACCEPT_S = 3.0
REJECTION_MARGIN_S = 0.1  # before the end of the drain, for sending the last rejections
LATENCY_FACTOR = 1.5  # allowed latency of a request, in times of its service's slowest recent response


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The schedule of one shutdown, s on the loop's clock. `grace_s`: from SIGTERM until the process is killed."""

    begun_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """The latest end of the drain."""
        return self.begun_at + self.grace_s - max(MIN_TERMINATION_S, TERMINATION_SHARE * self.grace_s)

    @property
    def serving_until(self) -> float:
        """The time until which the process keeps serving even if no request is in progress."""
        return self.begun_at + min(MAX_SERVING_S, SERVING_SHARE * self.grace_s)

    @property
    def rejection_at(self) -> float:
        """The time at which all requests that were not executed yet are rejected."""
        return self.ends_at - REJECTION_MARGIN_S

    def may_accept(self, now: float, deadline: float, slowest_s: float) -> bool:
        """Return whether to accept a new request: `may_start_attempt`, and new connections are still expected."""
        return now <= self.serving_until and self.may_start_attempt(now, deadline, slowest_s)

    def may_start_attempt(self, now: float, deadline: float, slowest_s: float) -> bool:
        """Return whether an attempt that starts now is expected to end before the drain does.

        `deadline`: of the request; `slowest_s`: slowest recent latency of its service, 0 if unknown.
        """
        if deadline <= self.ends_at:
            return True
        if slowest_s <= 0.0 or now > self.begun_at + min(MAX_ACCEPT_S, ACCEPT_SHARE * self.grace_s):
            return False
        return now + LATENCY_FACTOR * slowest_s <= self.ends_at


@dataclass(slots=True)
class DrainState:
    """The state of the process's shutdown, shared by all requests.

    `plan`: None until the shutdown begins; `is_rejecting`: requests that were not executed yet are being
    rejected.
    """

    plan: DrainPlan | None = None
    is_rejecting: bool = False
