"""Contact with a majority, counted from when it was asked. No input or output here.

A member answers for the core (a read, a watch, an order) only while it has contact: within `lease` of a moment
at which it asked and then heard a quorum of the list that it knows. The moment of the *asking* counts, never
that of the answer. What it tells on carries the age of its knowledge; whoever hears it adds the time of its own
ask. A process that stood still (`woke`) has no contact until it has asked anew.
"""

from __future__ import annotations

from irisdeal.almanac.members import Members


class Contact:
    """One process's contact. Times are s of the steady clock."""

    def __init__(self, lease: float) -> None:
        self.lease = lease
        self.asked: dict[str, float] = {}  # seat -> when the newest ask that it answered was sent

    def heard(self, seat: str, asked_at: float) -> None:
        """A seat answered an ask that was sent then."""
        self.asked[seat] = max(asked_at, self.asked.get(seat, asked_at))

    def woke(self) -> None:
        """The process stood still: what was heard before counts no more."""
        self.asked.clear()

    def age(self, members: Members, own: str, now: float) -> float:
        """s since the latest moment by which a quorum, this seat counted if a member, was asked and answered."""
        times = sorted({at for seat, at in self.asked.items() if seat in members.voters()}, reverse=True)
        for at in (now, *times):
            if members.is_quorum({own, *(seat for seat, asked in self.asked.items() if asked >= at)}):
                return now - at
        return float("inf")

    def is_held(self, members: Members, own: str, now: float) -> bool:
        """Whether this process may answer for the core."""
        return self.age(members, own, now) <= self.lease
