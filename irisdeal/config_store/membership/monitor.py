"""Tracks the statuses of a process's peers over time and the membership change they call for. No I/O."""

from __future__ import annotations

from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.reconfiguration import is_proposer, is_quorum_lost, next_members
from irisdeal.config_store.membership.view import DEAD_AFTER_S, HEALTHY_AGE_S, MembershipView, PeerStatus
from irisdeal.runtime.events import Event

# All disks count as lost if no replica has reported a member list for this long; longer than any start takes.
ALL_DISKS_LOST_AFTER_S = 15.0
ASSUMED_LIVE_S = 60.0  # how long an unreachable member that another proposer added counts as alive
LEARNER_EXPIRY_S = 60.0  # a learner without a status for this long is dropped
MAX_TRACKED_LEARNERS = 256  # ten times the largest core


class MembershipMonitor:
    """The statuses of the peers of one process, and the events and proposals that follow from them.

    All times are in seconds of the monotonic clock.

    Args:
        now: start time of the process.
    """

    def __init__(self, now: float) -> None:
        self.listening_since = now
        self.statuses: dict[str, PeerStatus] = {}
        # The change to propose: number of the list, and whether the list is joint.
        self.wanted: tuple[int, bool] | None = None
        self.wanted_since = now
        self.reported: frozenset[tuple[Event, str]] = frozenset()  # ongoing conditions, already reported
        # The decided list at the last call of `next_proposal`.
        self.last_members: Members | None = None
        self.assumed_live_until: dict[str, float] = {}  # by seat

    def record_status(self, status: ReplicaStatus, now: float) -> None:
        """Record the status of any seat, including the own seat."""
        known = self.statuses.get(status.seat)
        is_steady = known is not None and now - known.received_at < DEAD_AFTER_S
        steady_since = known.steady_since if known is not None and is_steady else now
        self.statuses[status.seat] = PeerStatus(now, status, steady_since)
        self.assumed_live_until.pop(status.seat, None)

    def reset_after_stall(self, now: float) -> None:
        """Restart all timers: statuses missed during a stall of this process do not mean that peers are dead."""
        self.listening_since, self.wanted = now, None

    def next_proposal(
        self, decided: Value, own_seat: str, now: float, goals: ReconfigurationGoals
    ) -> Members | None:
        """Return the list for this member to propose now; None if there is none or it is another member's turn."""
        self._drop_expired_learners(decided, now)
        self._assume_new_members_live(decided.members, own_seat, now)
        assumed_live = frozenset(seat for seat, until in self.assumed_live_until.items() if now < until)
        proposal = next_members(
            decided, self.statuses, own_seat, now, goals, self.listening_since, assumed_live
        )
        if proposal is None:
            self.wanted = None
            return None
        wanted = (proposal.number, bool(proposal.former))
        if self.wanted != wanted:
            self.wanted, self.wanted_since = wanted, now
        wanted_for_s = now - self.wanted_since
        is_own_turn = is_proposer(decided, self.statuses, own_seat, now, wanted_for_s, self.listening_since)
        return proposal if is_own_turn else None

    def learners(self, decided: Value, now: float) -> list[str]:
        """Return the addresses of live replicas that are not members' addresses, sorted."""
        ips = {peer.status.ip for peer in self.statuses.values() if now - peer.received_at < DEAD_AFTER_S}
        return sorted(ips - decided.members.ips())

    def new_events(self, decided: Value, own_seat: str, now: float) -> list[tuple[Event, str]]:
        """Return the conditions that are new since the last call, each with its seat.

        `MEMBER_UNRESPONSIVE`: a member is dead; `LEARNER_READY`: a learner is ready; `QUORUM_UNREACHABLE`, for the
        own seat: the quorum is permanently lost.
        """
        view = MembershipView(
            decided, self.statuses, own_seat, now, ReconfigurationGoals(), self.listening_since
        )
        conditions = {(Event.MEMBER_UNRESPONSIVE, seat) for seat in view.seats - view.live(view.seats)}
        conditions |= {(Event.LEARNER_READY, seat) for seat in view.ready_learners()}
        if self._are_all_disks_lost(decided, now) or is_quorum_lost(decided, self.statuses, own_seat):
            conditions.add((Event.QUORUM_UNREACHABLE, own_seat))
        new_conditions, self.reported = sorted(conditions - self.reported), frozenset(conditions)
        return new_conditions

    def _are_all_disks_lost(self, decided: Value, now: float) -> bool:
        """Whether no replica has reported a member list within `ALL_DISKS_LOST_AFTER_S`."""
        return (
            not decided.members.seats
            and now - self.listening_since >= ALL_DISKS_LOST_AFTER_S
            and not any(peer.status.decided.members.seats for peer in self.statuses.values())
        )

    def _assume_new_members_live(self, members: Members, own_seat: str, now: float) -> None:
        """Apply rule 8: unreachable members that other proposers added count as alive for `ASSUMED_LIVE_S`."""
        if self.last_members is not None and self.last_members != members:
            added = members.voters() - self.last_members.voters() - {own_seat}
            unreachable = {
                seat
                for seat in added
                if seat not in self.statuses or now - self.statuses[seat].received_at >= HEALTHY_AGE_S
            }
            self.assumed_live_until.update(dict.fromkeys(unreachable, now + ASSUMED_LIVE_S))
            self.assumed_live_until = {
                seat: until for seat, until in self.assumed_live_until.items() if seat in members.voters()
            }
        self.last_members = members

    def _drop_expired_learners(self, decided: Value, now: float) -> None:
        """Drop learners without a recent status, and the oldest ones beyond `MAX_TRACKED_LEARNERS`."""
        voters = decided.members.voters()
        oldest_first = sorted(
            (peer.received_at, seat) for seat, peer in self.statuses.items() if seat not in voters
        )
        for index, (received_at, seat) in enumerate(oldest_first):
            if now - received_at > LEARNER_EXPIRY_S or len(oldest_first) - index > MAX_TRACKED_LEARNERS:
                del self.statuses[seat]
