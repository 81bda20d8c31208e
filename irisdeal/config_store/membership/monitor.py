"""What one process knows of its peers over time, and since when it has wanted a change. No input or output here."""

from __future__ import annotations

from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.reconfiguration import is_proposer, is_quorum_lost, next_members
from irisdeal.config_store.membership.view import DEAD_AFTER_S, RECENT_S, MembershipView, PeerStatus
from irisdeal.runtime.events import Event

# Where no replica has reported a member list for this long, all disks count as lost; longer than any start takes.
ALL_DISKS_EMPTY_S = 15.0
ASSUMED_LIVE_S = 60.0  # for which a member that others added counts as alive
FORGET_LEARNER_S = 60.0  # without a status, after which a learner is forgotten
MAX_TRACKED_LEARNERS = 256  # ten times the largest core


class MembershipMonitor:
    """The statuses of the peers of one process, and what follows from them.

    Args:
        now: start of the process, in s of the monotonic clock, as all times here.
    """

    def __init__(self, now: float) -> None:
        self.listening_since = now
        self.statuses: dict[str, PeerStatus] = {}
        self.wanted: tuple[int, bool] | None = (
            None  # number of the list that is wanted, and whether it is joint
        )
        self.wanted_since = now
        self.reported: frozenset[tuple[Event, str]] = frozenset()  # conditions that last and were reported
        self.last_members: Members | None = (
            None  # the list that was decided last, as far as this process knew
        )
        self.assumed_live_until: dict[str, float] = {}  # by seat

    def record_status(self, status: ReplicaStatus, now: float) -> None:
        """Take the status of a seat, also the own seat's."""
        known = self.statuses.get(status.seat)
        is_steady = known is not None and now - known.at < DEAD_AFTER_S
        steady_since = known.steady_since if known is not None and is_steady else now
        self.statuses[status.seat] = PeerStatus(now, status, steady_since)
        self.assumed_live_until.pop(status.seat, None)

    def reset_after_stall(self, now: float) -> None:
        """Note that the process was stalled: that nothing was received meanwhile says nothing of the peers."""
        self.listening_since, self.wanted = now, None

    def next_proposal(
        self, decided: Value, own: str, now: float, goals: ReconfigurationGoals
    ) -> Members | None:
        """Return the list that this member is to propose now; None where there is none, or it is another's turn."""
        self._forget_old_learners(decided, now)
        self._assume_new_members_live(decided.members, own, now)
        assumed_live = frozenset(seat for seat, until in self.assumed_live_until.items() if now < until)
        found = next_members(decided, self.statuses, own, now, goals, self.listening_since, assumed_live)
        if found is None:
            self.wanted = None
            return None
        wanted = (found.number, bool(found.former))
        if self.wanted != wanted:
            self.wanted, self.wanted_since = wanted, now
        wanted_for_s = now - self.wanted_since
        turn = is_proposer(decided, self.statuses, own, now, wanted_for_s, self.listening_since)
        return found if turn else None

    def learners(self, decided: Value, now: float) -> list[str]:
        """Return the addresses of live replicas that are no members' addresses."""
        ips = {peer.status.ip for peer in self.statuses.values() if now - peer.at < DEAD_AFTER_S}
        return sorted(ips - decided.members.ips())

    def new_events(self, decided: Value, own: str, now: float) -> list[tuple[Event, str]]:
        """Return the conditions that are new since the last call, each with its seat.

        `MEMBER_UNRESPONSIVE`: a member is dead; `LEARNER_READY`: a learner is ready; `QUORUM_UNREACHABLE`, for the
        own seat: no quorum can ever be had.
        """
        view = MembershipView(decided, self.statuses, own, now, ReconfigurationGoals(), self.listening_since)
        conditions = {(Event.MEMBER_UNRESPONSIVE, seat) for seat in view.seats - view.live(view.seats)}
        conditions |= {(Event.LEARNER_READY, seat) for seat in view.ready_learners()}
        if self._are_all_disks_empty(decided, now) or is_quorum_lost(decided, self.statuses, own):
            conditions.add((Event.QUORUM_UNREACHABLE, own))
        fresh, self.reported = sorted(conditions - self.reported), frozenset(conditions)
        return fresh

    def _are_all_disks_empty(self, decided: Value, now: float) -> bool:
        """Whether this process has waited long enough, and nobody who reported knows a list of members."""
        return (
            not decided.members.seats
            and now - self.listening_since >= ALL_DISKS_EMPTY_S
            and not any(peer.status.decided.members.seats for peer in self.statuses.values())
        )

    def _assume_new_members_live(self, members: Members, own: str, now: float) -> None:
        """Apply rule 8: members that others added and this process cannot reach count as alive for a while."""
        if self.last_members is not None and self.last_members != members:
            fresh = members.voters() - self.last_members.voters() - {own}
            unreachable = {
                seat
                for seat in fresh
                if seat not in self.statuses or now - self.statuses[seat].at >= RECENT_S
            }
            self.assumed_live_until.update(dict.fromkeys(unreachable, now + ASSUMED_LIVE_S))
            self.assumed_live_until = {
                seat: until for seat, until in self.assumed_live_until.items() if seat in members.voters()
            }
        self.last_members = members

    def _forget_old_learners(self, decided: Value, now: float) -> None:
        """Drop learners without a recent status, and the oldest where there are too many."""
        voters = decided.members.voters()
        oldest_first = sorted((peer.at, seat) for seat, peer in self.statuses.items() if seat not in voters)
        for index, (at, seat) in enumerate(oldest_first):
            if now - at > FORGET_LEARNER_S or len(oldest_first) - index > MAX_TRACKED_LEARNERS:
                del self.statuses[seat]
