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

What it tells on carries the age of its knowledge; whoever hears it adds the time since its own ask.
"""

from __future__ import annotations

from irisdeal.almanac.members import Members

LEASE = 1.2  # s: a round of 0.5, 0.35 for a dead member in it, and as much again for a slow processor
STILL = 1.2  # s between two ticks from which the process stood still: two rounds never are so far apart
MOST_SEATS = 64  # that are remembered: seven times the largest core


class Contact:
    """One process's contact. Times are s of the steady clock."""

    def __init__(self, lease: float = LEASE) -> None:
        self.lease = lease
        self.asked: dict[str, float] = {}  # seat -> when the newest ask that it answered was sent
        self.since = float("-inf")  # asks sent before count no more
        self.ticked: float | None = None

    def heard(self, seat: str, asked_at: float) -> None:
        """A seat answered an ask of ours that was sent then."""
        if asked_at < self.since:
            return
        self.asked[seat] = max(asked_at, self.asked.get(seat, asked_at))
        if len(self.asked) > MOST_SEATS:
            del self.asked[min(self.asked, key=self.asked.__getitem__)]

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
        self.since = max(self.since, now)

    def age(self, members: Members, own: str, now: float) -> float:
        """s since the latest moment by which a quorum, this seat counted if a member, was asked and answered.

        inf where there was none.
        """
        voters = members.voters()
        times = sorted({at for seat, at in self.asked.items() if seat in voters and at < now}, reverse=True)
        for at in (now, *times):
            if members.is_quorum({own, *(seat for seat, asked in self.asked.items() if asked >= at)}):
                return now - at
        return float("inf")

    def is_held(self, members: Members, own: str, now: float) -> bool:
        """Whether this process may answer for the core."""
        return self.age(members, own, now) <= self.lease

    def left(self, members: Members, own: str, now: float) -> float:
        """s until contact ends if nobody answers any more; 0 where there is none."""
        return max(0.0, self.lease - self.age(members, own, now))
