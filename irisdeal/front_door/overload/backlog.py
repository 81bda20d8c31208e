"""How long the kernel's queue of connections may be, so that nothing waits in it for longer than is worth it.

What waits there has been accepted by the machine, and a request that is written to it is owed an answer
before its client's time is up (PROTOCOL, The rules on sockets). A door that is short of CPU takes from the
queue at some rate, so a queue of `rate * wait` is waited in for `wait` at most (Little's law). What comes
beyond that the kernel does not let in: its client's connect does not come up, and nothing was taken. The
queue's length may be set anew on a listening socket at any time (listen(2)).

The rate is taken only while the queue does not empty: else it tells what came, not what the door can do.
Times are seconds on the caller's clock.
"""

from __future__ import annotations

MOST = 512  # connections: a storm of hundreds is let in; at 1,000 a second they wait half a second
LEAST = 32  # connections: a handful that comes at once is no overload
# s: most retries still have so much when they come; what has less may be answered 58 ms late
# (PROTOCOL, The rules on sockets). At 0.25 some of a rush on a starved core were read too late to refuse.
WAIT = 0.05
SPAN = 0.1  # s over which a rate is taken
GROWTH = 2.0  # times a second that the queue may grow again
CHANGE = 0.2  # share by which a length must change to be set anew: each costs a call to the kernel


class Backlog:
    """Reckons the queue's length from what is taken from it."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.length = most  # as set in the kernel
        self._exact = float(most)
        self._taken = 0
        self._since: float | None = None  # of the span in which the queue has not been empty
        self._at = 0.0  # of the last growth
        self._empty_at = 0.0  # when the queue was last seen empty
        self._rate = 0.0  # connections a second, as last taken while it did not empty

    def begin(self, now: float) -> None:
        """Listening begins now: nothing has waited for longer."""
        self._empty_at = now

    def took(self, count: int, more: bool, now: float) -> int | None:
        """`count` connections were accepted by `now`; `more` wait. The new length, or None to leave it."""
        if not more:
            self._empty_at = now
            if self._since is None and self._exact < self.most:
                self._exact = min(float(self.most), self._exact * GROWTH ** max(0.0, now - self._at))
            self._since, self._at = None, now
        elif self._since is None:
            self._since, self._taken = now, 0
        else:
            self._taken += count
            if (span := now - self._since) >= SPAN:
                self._rate = self._taken / span
                # Half of the way each time: one slow turn is no trend.
                self._exact += 0.5 * (self._taken / span * WAIT - self._exact)
                self._exact = min(float(self.most), max(float(LEAST), self._exact))
                self._since, self._taken, self._at = now, 0, now
        return self._wanted()

    def waited(self, now: float) -> float:
        """How long, at most, one that is accepted now has waited in the queue, in s.

        Nothing where the queue was empty when last looked at. Else it came after it last was; and there were
        at most `length` + 1 ahead of it, which were taken at the rate of late (Little's law). An overestimate
        costs a client some of its time, an underestimate an answer that comes too late.
        """
        if self._since is None:
            return 0.0
        since = max(0.0, now - self._empty_at)
        return min(since, (self.length + 1) / self._rate) if self._rate else since

    def _wanted(self) -> int | None:
        wanted = round(self._exact)
        if abs(wanted - self.length) <= CHANGE * self.length and not (wanted == self.most != self.length):
            return None
        self.length = wanted
        return wanted
