"""Contact with a majority, counted from when it was asked. No input or output here.

A member answers for the core (a read, a watch, an order) only while it has contact: within `lease` of a moment
at which it asked and then heard a quorum of the list that it knows. What holds, and why:

1. The moment of the *asking* counts, never that of the answer: what a quorum says is true as of some moment
   after it was asked, so whoever is in contact knows of all that was decided `lease` ago. An answer that comes
   late, after a silent link or a freeze, brings an old moment with it.
2. Only answers to asks of ours count. What others ask of us shows that they reach us, not that we reach them:
   in a one-way cut the two differ.
3. Only the steady clock decides; a step of the time of day moves nothing here.
4. The list that is known *now* decides: seats that left count no more, those that came count from their first
   answer, and while a change is under way both lists must be heard.
5. A process that stood still (`tick`, `woke`) has no contact until it has asked anew: answers to asks from
   before are dropped, also where they come later.
6. A slow disk does not end contact, since asks wait for no disk; what needs the disk has its own time.

Contact alone does not make knowledge: what a seat accepted may be decided, and confirmed, by a member that is cut
off now, and nobody else has seen that. So what is told on (`known_age`) is as old as the asking of a quorum of
seats that had accepted nothing beyond what is in force here. Each change that was decided before that asking was
accepted by a quorum, which shares a seat with this one: it is in force here. Whoever hears the age adds the time
since its own ask.
"""

from __future__ import annotations

from irisdeal.config_store.membership.members import Members

LEASE = 1.2  # s: a round of 0.5, 0.35 for a dead member in it, and as much again for a slow processor
STILL = 1.2  # s between two ticks from which the process stood still: two rounds never are so far apart
MOST_SEATS = 64  # that are remembered: seven times the largest core


class Contact:
    """One process's contact. Times are s of the steady clock."""

    def __init__(self, lease: float = LEASE) -> None:
        self.lease = lease
        self.asked: dict[str, float] = {}  # seat -> when the newest ask that it answered was sent
        self.accepted: dict[str, int] = {}  # seat -> the change that it had accepted, by that answer
        self.since = float("-inf")  # asks sent before count no more
        self.ticked: float | None = None

    def heard(self, seat: str, asked_at: float, accepted: int = -1) -> None:
        """A seat answered an ask of ours that was sent then; `accepted`: the change that it had accepted last."""
        if asked_at < self.since or asked_at < self.asked.get(seat, asked_at):
            return
        self.asked[seat], self.accepted[seat] = asked_at, accepted
        if len(self.asked) > MOST_SEATS:
            oldest = min(self.asked, key=self.asked.__getitem__)
            del self.asked[oldest], self.accepted[oldest]

    def tick(self, now: float) -> bool:
        """To be called in each round; True where the process stood still since the last one (see `woke`)."""
        last, self.ticked = self.ticked, now
        if last is None or now - last < STILL:
            return False
        self.woke(now)
        return True

    def woke(self, now: float = float("-inf")) -> None:
        """The process stood still until now: what was asked before counts no more."""
        self.asked.clear()
        self.accepted.clear()
        self.since = max(self.since, now)

    def age(self, members: Members, own: str, now: float) -> float:
        """s since the latest moment by which a quorum, this seat counted if a member, was asked and answered.

        inf where there was none.
        """
        return _age(members, {**self.asked, own: now}, now)

    def known_age(self, members: Members, own: str, now: float, change: int, accepted: int) -> float:
        """s since a moment by which all that was decided is in force here; inf where there was none.

        `change`: of what is in force here; `accepted`: of what this seat accepted last.
        """
        asked = {seat: at for seat, at in self.asked.items() if self.accepted[seat] <= change}
        if accepted <= change:
            asked[own] = now
        else:
            asked.pop(own, None)
        return _age(members, asked, now)

    def is_held(self, members: Members, own: str, now: float) -> bool:
        """Whether this process may answer for the core."""
        return self.age(members, own, now) <= self.lease

    def left(self, members: Members, own: str, now: float) -> float:
        """s until contact ends if nobody answers any more; 0 where there is none."""
        return max(0.0, self.lease - self.age(members, own, now))


def _age(members: Members, asked: dict[str, float], now: float) -> float:
    """s since the latest moment from which on a quorum was asked."""
    voters = members.voters()
    times = sorted({at for seat, at in asked.items() if seat in voters and at < now}, reverse=True)
    for at in (now, *times):
        if members.is_quorum({seat for seat, sent in asked.items() if sent >= at}):
            return now - at
    return float("inf")
