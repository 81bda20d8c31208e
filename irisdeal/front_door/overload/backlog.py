"""Length of the kernel's accept queue, adapted so that no connection waits in it for too long.

A connection in the accept queue is established, and a request that is written to it must be answered before
its client's deadline (PROTOCOL, The rules on sockets). A front door that is short of CPU accepts at some
rate, so in a queue of `rate * wait` connections each waits for `wait` at most (Little's law). Beyond that
the kernel refuses: the client's connect does not complete, and no request was accepted. The length of a
listening socket's queue may be changed at any time (listen(2)).

The rate is measured only while the queue does not empty: otherwise it would be the arrival rate, not the
capacity of the front door. Times are seconds on the caller's clock.
"""

from __future__ import annotations

MAX_LENGTH = 512  # accepts a burst of hundreds; at 1,000 connections per second they wait for half a second
MIN_LENGTH = 32  # a small burst is no overload
# Most retries still have this much time when they arrive; one with less may be answered 58 ms late
# (PROTOCOL, The rules on sockets). With 0.25 s, some requests of a burst on an overloaded core were
# read too late to be rejected in time.
TARGET_WAIT_S = 0.05
RATE_WINDOW_S = 0.1  # over which the accept rate is measured
GROWTH_FACTOR_PER_S = 2.0  # by which the queue may grow again
MIN_CHANGE_RATIO = 0.2  # smaller changes are not applied, because each costs a system call
SMOOTHING_WEIGHT = 0.5  # of a new measurement: one slow iteration of the event loop is no trend


class Backlog:
    """Computes the accept queue's length from the connections accepted from it."""

    def __init__(self, max_length: int = MAX_LENGTH) -> None:
        """Start with `max_length` connections, which is also the upper bound."""
        self.max_length = max_length
        self.length = max_length  # as set in the kernel
        self._exact_length = float(max_length)
        self._accepted_in_window = 0
        self._window_started_at: float | None = None  # None while the queue is empty
        self._adjusted_at = 0.0
        self._empty_at = 0.0  # when the queue was last seen empty
        self._accept_rate_per_s = 0.0  # as last measured while the queue did not empty

    def start_listening(self, now: float) -> None:
        """Record that listening starts: no connection can have waited since before `now`."""
        self._empty_at = now

    def record_accepted(self, count: int, more_waiting: bool, now: float) -> int | None:
        """Record `count` accepted connections; return the length to set, or None to leave it.

        `more_waiting`: the queue did not empty.
        """
        if not more_waiting:
            self._record_empty(now)
        elif self._window_started_at is None:
            self._window_started_at = now
            self._accepted_in_window = 0
        else:
            self._accepted_in_window += count
            self._measure_rate(now - self._window_started_at, now)
        return self._length_to_set()

    def max_wait_s(self, now: float) -> float:
        """Return an upper bound on the time that a connection accepted now has waited, in s.

        It is 0 if the queue was empty when last checked. Otherwise the connection arrived after that,
        and at most `length` + 1 were ahead of it, accepted at the recent rate (Little's law). An overestimate
        takes some of a client's time; an underestimate makes a response come too late.
        """
        if self._window_started_at is None:
            return 0.0
        since_empty_s = max(0.0, now - self._empty_at)
        if not self._accept_rate_per_s:
            return since_empty_s
        return min(since_empty_s, (self.length + 1) / self._accept_rate_per_s)

    def _record_empty(self, now: float) -> None:
        self._empty_at = now
        if self._window_started_at is None and self._exact_length < self.max_length:
            growth = GROWTH_FACTOR_PER_S ** max(0.0, now - self._adjusted_at)
            self._exact_length = min(float(self.max_length), self._exact_length * growth)
        self._window_started_at = None
        self._adjusted_at = now

    def _measure_rate(self, window_s: float, now: float) -> None:
        if window_s < RATE_WINDOW_S:
            return
        self._accept_rate_per_s = self._accepted_in_window / window_s
        target_length = self._accept_rate_per_s * TARGET_WAIT_S
        self._exact_length += SMOOTHING_WEIGHT * (target_length - self._exact_length)
        self._exact_length = min(float(self.max_length), max(float(MIN_LENGTH), self._exact_length))
        self._window_started_at = now
        self._accepted_in_window = 0
        self._adjusted_at = now

    def _length_to_set(self) -> int | None:
        wanted = round(self._exact_length)
        reaches_maximum = wanted == self.max_length != self.length
        if abs(wanted - self.length) <= MIN_CHANGE_RATIO * self.length and not reaches_maximum:
            return None
        self.length = wanted
        return wanted
