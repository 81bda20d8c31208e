"""Contact with a quorum, counted from when the quorum was asked. No input or output here.

A replica answers for the store (a read, a watch, a put) only while it has contact: within the lease of a moment at
which it sent status requests that a quorum of the list it knows has answered. What must hold, and why:

1. The moment of the *request* counts, never that of the answer: what a quorum answers is true as of some moment
   after it was asked, so a replica in contact knows of all that was decided a lease ago. An answer that comes late,
   after a partition or a freeze, counts from its old request.
2. Only answers to requests of our own count. Requests from others show that they reach us, not that we reach them:
   in a one-way partition the two differ.
3. Only the monotonic clock decides; a step of the time of day changes nothing here.
4. The list that is known *now* decides: seats that left no longer count, new ones count from their first answer,
   and while a change is under way both lists must have answered.
5. A process that was stalled (`tick`, `reset_after_stall`) has no contact until it has asked anew: answers to
   requests from before are dropped, also where they come later.
6. A slow disk does not end contact, since status requests wait for no disk; what needs the disk has its own limit.

Contact alone does not give knowledge: what a seat accepted may be decided, and confirmed, by a member that is
partitioned now, unseen by all others. So the age of our knowledge (`knowledge_age_s`) counts from a
request to a quorum of seats that had accepted nothing beyond what is in force here. Each change that was decided
before that request was accepted by a quorum, which shares a seat with this one: it is in force here. Whoever is
sent the age adds the time since its own request.
"""

from __future__ import annotations

from irisdeal.config_store.membership.members import Members

CONTACT_LEASE_S = 1.2  # an interval of 0.5, 0.35 for a dead member, and as much again for a slow processor
STALL_S = (
    1.2  # between two ticks from which the process was stalled: two status rounds are never so far apart
)
MAX_TRACKED_SEATS = 64  # seven times the largest core


class QuorumContact:
    """When one process last reached which seats. Times are in s of the monotonic clock.

    Args:
        lease_s: how long contact lasts after the request that proves it.
    """

    def __init__(self, lease_s: float = CONTACT_LEASE_S) -> None:
        self.lease_s = lease_s
        self.asked_at: dict[str, float] = {}  # seat -> when the newest request that it answered was sent
        self.accepted: dict[str, int] = {}  # seat -> the change that it had accepted, by that answer
        self.valid_from = float("-inf")  # requests that were sent before no longer count
        self.ticked_at: float | None = None

    def record_answer(self, seat: str, asked_at: float, accepted: int = -1) -> None:
        """Take an answer to a request of ours.

        Args:
            seat: who answered.
            asked_at: when the request was sent.
            accepted: the change that the seat had accepted last.
        """
        if asked_at < self.valid_from or asked_at < self.asked_at.get(seat, asked_at):
            return
        self.asked_at[seat], self.accepted[seat] = asked_at, accepted
        if len(self.asked_at) > MAX_TRACKED_SEATS:
            oldest = min(self.asked_at, key=self.asked_at.__getitem__)
            del self.asked_at[oldest], self.accepted[oldest]

    def tick(self, now: float) -> bool:
        """Note that the process runs; to be called in each status round.

        Returns:
            True where it was stalled since the last tick (see `reset_after_stall`).
        """
        last, self.ticked_at = self.ticked_at, now
        if last is None or now - last < STALL_S:
            return False
        self.reset_after_stall(now)
        return True

    def reset_after_stall(self, now: float = float("-inf")) -> None:
        """Forget all answers, and those to come to requests that were sent before `now`."""
        self.asked_at.clear()
        self.accepted.clear()
        self.valid_from = max(self.valid_from, now)

    def age_s(self, members: Members, own: str, now: float) -> float:
        """Return the s since the latest moment from which on a quorum was asked, and answered; inf for none.

        Args:
            members: the list that is known now.
            own: the seat of this process, which counts where it is a member.
            now: s of the monotonic clock.
        """
        return _quorum_age(members, {**self.asked_at, own: now}, now)

    def knowledge_age_s(self, members: Members, own: str, now: float, change: int, accepted: int) -> float:
        """Return the s since a moment by which all that was decided is in force here; inf where there was none.

        Args:
            members: the list that is known now.
            own: the seat of this process.
            now: s of the monotonic clock.
            change: number of the change that is in force here.
            accepted: number of the change that this seat accepted last.
        """
        asked_at = {seat: at for seat, at in self.asked_at.items() if self.accepted[seat] <= change}
        if accepted <= change:
            asked_at[own] = now
        else:
            asked_at.pop(own, None)
        return _quorum_age(members, asked_at, now)

    def has_lease(self, members: Members, own: str, now: float) -> bool:
        """Whether this process may answer for the store."""
        return self.age_s(members, own, now) <= self.lease_s

    def remaining_s(self, members: Members, own: str, now: float) -> float:
        """Return the s until contact ends if nobody answers any more; 0 where there is none."""
        return max(0.0, self.lease_s - self.age_s(members, own, now))


def _quorum_age(members: Members, asked_at: dict[str, float], now: float) -> float:
    """Return the s since the latest moment from which on a quorum was asked; inf where there was none."""
    voters = members.voters()
    moments = sorted({at for seat, at in asked_at.items() if seat in voters and at < now}, reverse=True)
    for moment in (now, *moments):
        if members.is_quorum({seat for seat, at in asked_at.items() if at >= moment}):
            return now - moment
    return float("inf")
