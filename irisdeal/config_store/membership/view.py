"""One replica's view of its peers, from which membership changes are derived. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from irisdeal.config_store.configuration.version import NO_VERSION
from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import ip_of, majority
from irisdeal.config_store.membership.messages import ReplicaStatus

DEAD_AFTER_S = 2.0  # four rounds without a status; a killed process that restarts is back within one
HEALTHY_AGE_S = 1.2  # maximum status age of a healthy peer: two rounds of 0.5 s and a reply
MAX_LAG_CHANGES = 4  # how far a ready learner may be behind: 160 changes in 22 s make 4 between two rounds


class PeerStatus(NamedTuple):
    """The last status of a seat. Times are in seconds of the monotonic clock.

    Attributes:
        received_at: when it was received.
        status: the status.
        steady_since: start of the current series of statuses without a gap of `DEAD_AFTER_S`.
    """

    received_at: float
    status: ReplicaStatus
    steady_since: float = float("-inf")


PeerStatuses = Mapping[str, PeerStatus]  # by seat, including the own seat
Seats = frozenset[str]


@dataclass(frozen=True)
class MembershipView:
    """The view of one replica. Times are in seconds of the monotonic clock.

    Attributes:
        value: the newest value known to be decided.
        statuses: the last status of each seat.
        own_seat: the seat of this process.
        now: the current time.
        goals: the losses that the list must tolerate.
        listening_since: since when this process has been receiving statuses without a stall.
        assumed_live: members added by other proposers that this process receives nothing from; they count as alive.
    """

    value: Value
    statuses: PeerStatuses
    own_seat: str
    now: float
    goals: ReconfigurationGoals
    listening_since: float
    assumed_live: Seats = frozenset()

    @property
    def seats(self) -> Seats:
        """The members."""
        return frozenset(self.value.members.seats)

    def unreachable_s(self, seat: str) -> float:
        """Return the seconds since the seat's last status; 0 for the own seat and for seats assumed live."""
        if seat == self.own_seat or seat in self.assumed_live:
            return 0.0
        peer = self.statuses.get(seat)
        last_received_at = peer.received_at if peer is not None else self.listening_since
        return self.now - max(last_received_at, self.listening_since)

    def is_wiped(self, seat: str) -> bool:
        """Whether the seat's disk is gone: a newer status came from another disk at its address."""
        ip = ip_of(seat)
        if seat == self.own_seat or ip == ip_of(self.own_seat):
            return seat != self.own_seat
        received_at = self.statuses[seat].received_at if seat in self.statuses else float("-inf")
        return any(
            other.received_at > received_at and other.status.ip == ip for other in self.statuses.values()
        )

    def is_healthy(self, seat: str) -> bool:
        """Whether its status is younger than `HEALTHY_AGE_S`, even if this process was stalled meanwhile."""
        if seat == self.own_seat:
            return True
        if seat not in self.statuses or self.now - self.statuses[seat].received_at >= HEALTHY_AGE_S:
            return False
        return not self.is_wiped(seat)

    def live(self, seats: Iterable[str]) -> Seats:
        """Return the seats that are not dead."""
        return frozenset(
            seat for seat in seats if self.unreachable_s(seat) < DEAD_AFTER_S and not self.is_wiped(seat)
        )

    def is_leaving(self, seat: str) -> bool:
        """Whether the seat has announced its graceful shutdown."""
        return seat in self.statuses and self.statuses[seat].status.is_leaving

    def zone(self, seat: str) -> str:
        """Return the zone of a seat; a seat without a status counts as a zone of its own."""
        return self.statuses[seat].status.zone if seat in self.statuses else seat

    def ready_learners(self) -> list[str]:
        """Return the learners that are healthy, caught up and not leaving, sorted."""
        return sorted(
            seat
            for seat, peer in self.statuses.items()
            if seat not in self.seats
            and not peer.status.is_leaving
            and self.is_healthy(seat)
            and self.has_caught_up(peer.status)
        )

    def has_caught_up(self, status: ReplicaStatus) -> bool:
        """Whether the replica has the body of a change at most `MAX_LAG_CHANGES` behind the newest."""
        reported = status.decided
        return (
            status.has_body
            and reported.change >= max(0, self.value.change - MAX_LAG_CHANGES)
            and (reported.version_id != NO_VERSION or self.value.version_id == NO_VERSION)
        )

    def ready_at_new_addresses(self) -> list[str]:
        """Return the ready learners whose address is not that of a member."""
        member_ips = {ip_of(seat) for seat in self.seats}
        return [seat for seat in self.ready_learners() if ip_of(seat) not in member_ips]

    def largest_loss(self, seats: Iterable[str]) -> int:
        """Return how many of the seats are lost in the worst case that must be tolerated."""
        return self.goals.largest_loss(map(self.zone, seats))

    def concentration(self, seats: Seats) -> tuple[int, int, int, float]:
        """Return a sort key for how concentrated a list is in few zones and regions; lower is better spread.

        Among equally spread lists, the one whose new seats have been steady for longer sorts first.
        """
        zones = Counter(map(self.zone, seats))
        regions = Counter(self.goals.region_of.get(self.zone(seat), "") for seat in seats)
        steady_since = [
            max(self.statuses[seat].steady_since, self.listening_since)
            for seat in seats - self.seats
            if seat in self.statuses
        ]
        return (
            self.largest_loss(seats),
            sum(count * count for count in zones.values()),
            sum(count * count for count in regions.values()),
            sum(steady_since),
        )

    def may_change_to(self, seats: Seats) -> bool:
        """Whether the current and the new list have a live majority, and the new one is long enough."""
        return (
            len(self.live(seats)) >= majority(seats)
            and len(self.live(self.seats)) >= majority(self.seats)
            and len(seats) >= min(self.goals.min_members, len(self.seats))
        )

    def best_list(self, candidates: Iterable[Seats]) -> Seats | None:
        """Return the best spread list among the allowed candidates; None if none is allowed."""
        return min(
            (seats for seats in candidates if self.may_change_to(seats)),
            key=lambda seats: (self.concentration(seats), sorted(seats)),
            default=None,
        )
