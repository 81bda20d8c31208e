"""Quorum contact: a lease that counts from the time of the status requests. No I/O.

A replica serves requests (reads, watches, puts) only while it has contact: at most `lease_s` ago it sent status
requests to which a quorum of the current member list has replied. Rules and their reasons:

1. The lease counts from the time of the *request*, never from that of the reply: a reply describes a state after
   its request was sent, so a replica in contact has learned everything decided more than `lease_s` ago. A reply
   that is delayed by a partition or a freeze counts from its old request.
2. Only replies to this replica's own requests count. Requests from peers show that they reach this replica, not
   that it reaches them: the two differ in a one-way partition.
3. Only the monotonic clock is used, so that a step of the wall clock has no effect.
4. The current member list applies: former members no longer count, new ones count from their first reply, and
   while a change is in progress both lists need a quorum of replies.
5. A process that was stalled (`tick`, `reset_after_stall`) has no contact until peers reply to new requests;
   replies to requests from before the stall are dropped, even if they arrive later.
6. A slow disk does not end contact, since status replies wait for no disk; operations on the disk have their own
   timeouts.

Contact alone does not show that the applied value is up to date: a value that a seat accepted may have been decided
and confirmed by a member that is now partitioned, without any other member learning of it. So the knowledge age
(`knowledge_age_s`) counts from a request to a quorum of seats that had accepted nothing newer than the change
applied here. Each change that was decided before that request was accepted by a quorum; the two quorums share a
seat, so the change is applied here. The receiver of the age adds the time since its own request.
"""

from __future__ import annotations

from irisdeal.config_store.membership.members import Members

CONTACT_LEASE_S = 1.2  # a round interval of 0.5, a timeout of 0.35 for a dead member, and 0.35 for a slow CPU
STALL_THRESHOLD_S = 1.2  # a longer gap between two ticks is a stall: status rounds are always closer together
MAX_TRACKED_SEATS = 64  # seven times the largest member list


class QuorumContact:
    """Tracks when a process last reached each seat. Times are in seconds of the monotonic clock.

    Args:
        lease_s: duration of contact after the request that established it.
    """

    def __init__(self, lease_s: float = CONTACT_LEASE_S) -> None:
        self.lease_s = lease_s
        self.asked_at: dict[str, float] = {}  # seat -> send time of the newest request it replied to
        self.accepted: dict[str, int] = {}  # seat -> the accepted change in that reply
        self.valid_from = float("-inf")  # replies to requests sent before this time do not count
        self.ticked_at: float | None = None

    def record_answer(self, seat: str, asked_at: float, accepted: int = -1) -> None:
        """Record a reply to one of this process's requests.

        Args:
            seat: the seat that replied.
            asked_at: when the request was sent.
            accepted: the last change that the seat had accepted.
        """
        if asked_at < self.valid_from or asked_at < self.asked_at.get(seat, asked_at):
            return
        self.asked_at[seat], self.accepted[seat] = asked_at, accepted
        if len(self.asked_at) > MAX_TRACKED_SEATS:
            oldest = min(self.asked_at, key=self.asked_at.__getitem__)
            del self.asked_at[oldest], self.accepted[oldest]

    def tick(self, now: float) -> bool:
        """Record that the process is running; called in each status round.

        Returns:
            True if it was stalled since the last tick (see `reset_after_stall`).
        """
        last, self.ticked_at = self.ticked_at, now
        if last is None or now - last < STALL_THRESHOLD_S:
            return False
        self.reset_after_stall(now)
        return True

    def reset_after_stall(self, now: float = float("-inf")) -> None:
        """Drop all recorded replies, and ignore later replies to requests that were sent before `now`."""
        self.asked_at.clear()
        self.accepted.clear()
        self.valid_from = max(self.valid_from, now)

    def age_s(self, members: Members, own_seat: str, now: float) -> float:
        """Return the seconds since the latest time from which a quorum was asked and replied; inf if there is none.

        Args:
            members: the current member list.
            own_seat: the seat of this process, which counts if it is a member.
            now: the current time.
        """
        return _quorum_age(members, {**self.asked_at, own_seat: now}, now)

    def knowledge_age_s(
        self, members: Members, own_seat: str, now: float, change: int, accepted: int
    ) -> float:
        """Return the seconds since a time before which every decided change is applied here; inf if there is none.

        Args:
            members: the current member list.
            own_seat: the seat of this process.
            now: the current time.
            change: number of the change that is applied here.
            accepted: number of the last change that this seat accepted.
        """
        asked_at = {seat: at for seat, at in self.asked_at.items() if self.accepted[seat] <= change}
        if accepted <= change:
            asked_at[own_seat] = now
        else:
            asked_at.pop(own_seat, None)
        return _quorum_age(members, asked_at, now)

    def has_lease(self, members: Members, own_seat: str, now: float) -> bool:
        """Whether this process may serve requests for the store."""
        return self.age_s(members, own_seat, now) <= self.lease_s

    def remaining_s(self, members: Members, own_seat: str, now: float) -> float:
        """Return the seconds until contact ends without further replies; 0 if there is no contact."""
        return max(0.0, self.lease_s - self.age_s(members, own_seat, now))


def _quorum_age(members: Members, asked_at: dict[str, float], now: float) -> float:
    """Return the seconds since the latest time from which a quorum was asked; inf if there is none."""
    voters = members.voters()
    request_times = sorted({at for seat, at in asked_at.items() if seat in voters and at < now}, reverse=True)
    for since in (now, *request_times):
        if members.is_quorum({seat for seat, at in asked_at.items() if at >= since}):
            return now - since
    return float("inf")
