"""What one replica knows of the others when it considers a change of the list. No input or output here."""

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

DEAD_AFTER_S = (
    2.0  # without a status: four rounds; a process that is killed and started again is back within one
)
RECENT_S = 1.2  # two rounds of 0.5 and an answer; whose status is younger is healthy
MAX_LAG_CHANGES = 4  # that a learner may be behind: made between two rounds at 160 changes in 22 s


class PeerStatus(NamedTuple):
    """The last status of a seat.

    Attributes:
        at: when it was received, in s of the monotonic clock.
        status: the status.
        steady_since: since when statuses have come without a break of `DEAD_AFTER_S`.
    """

    at: float
    status: ReplicaStatus
    steady_since: float = float("-inf")


PeerStatuses = Mapping[str, PeerStatus]  # by seat; the own seat's status is one of them
Seats = frozenset[str]


@dataclass(frozen=True)
class MembershipView:
    """What one replica knows. Times are in s of the monotonic clock.

    Attributes:
        value: the newest value that is known to be decided.
        statuses: the last status of each seat.
        own: the seat of this process.
        now: the present.
        goals: what the list must withstand.
        listening_since: from when on this process has listened without a stall.
        assumed_live: members that others added though this process receives nothing from them; they count as alive.
    """

    value: Value
    statuses: PeerStatuses
    own: str
    now: float
    goals: ReconfigurationGoals
    listening_since: float
    assumed_live: Seats = frozenset()

    @property
    def seats(self) -> Seats:
        """The members."""
        return frozenset(self.value.members.seats)

    def unreachable_s(self, seat: str) -> float:
        """Return the s since the seat's last status; 0 for the own seat and for those that are assumed live."""
        if seat == self.own or seat in self.assumed_live:
            return 0.0
        peer = self.statuses.get(seat)
        last = peer.at if peer is not None else self.listening_since
        return self.now - max(last, self.listening_since)

    def is_wiped(self, seat: str) -> bool:
        """Whether a newer status came from another disk at the seat's address: the seat's disk is gone."""
        ip = ip_of(seat)
        if seat == self.own or ip == ip_of(self.own):
            return seat != self.own
        at = self.statuses[seat].at if seat in self.statuses else float("-inf")
        return any(other.at > at and other.status.ip == ip for other in self.statuses.values())

    def is_healthy(self, seat: str) -> bool:
        """Whether its status is younger than `RECENT_S`, whatever this process missed."""
        if seat == self.own:
            return True
        if seat not in self.statuses or self.now - self.statuses[seat].at >= RECENT_S:
            return False
        return not self.is_wiped(seat)

    def live(self, seats: Iterable[str]) -> Seats:
        """Return those of the seats that are not dead."""
        return frozenset(
            seat for seat in seats if self.unreachable_s(seat) < DEAD_AFTER_S and not self.is_wiped(seat)
        )

    def is_leaving(self, seat: str) -> bool:
        """Whether the seat has announced its graceful shutdown."""
        return seat in self.statuses and self.statuses[seat].status.is_leaving

    def zone(self, seat: str) -> str:
        """Return its zone; a seat without a status counts as a zone of its own."""
        return self.statuses[seat].status.zone if seat in self.statuses else seat

    def ready_learners(self) -> list[str]:
        """Return the learners that are healthy and have caught up."""
        return sorted(
            seat
            for seat, peer in self.statuses.items()
            if seat not in self.seats
            and not peer.status.is_leaving
            and self.is_healthy(seat)
            and self.has_caught_up(peer.status)
        )

    def has_caught_up(self, status: ReplicaStatus) -> bool:
        """Whether it has the body of the newest change, or of one at most `MAX_LAG_CHANGES` before it."""
        known = status.decided
        return (
            status.has_body
            and known.change >= max(0, self.value.change - MAX_LAG_CHANGES)
            and (known.version_id != NO_VERSION or self.value.version_id == NO_VERSION)
        )

    def ready_at_new_addresses(self) -> list[str]:
        """Return the ready learners at addresses that no member has."""
        taken = {ip_of(seat) for seat in self.seats}
        return [seat for seat in self.ready_learners() if ip_of(seat) not in taken]

    def largest_loss(self, seats: Iterable[str]) -> int:
        """Return how many of the seats the largest loss that must be withstood takes."""
        return self.goals.largest_loss(map(self.zone, seats))

    def concentration(self, seats: Seats) -> tuple[int, int, int, float]:
        """Return how concentrated a list is in few zones: the lower, the better spread.

        Of lists that are spread alike, the one whose new seats have been steady for longer is lower.
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
        """Whether both lists have a live majority, and the new one is not too short."""
        return (
            len(self.live(seats)) >= majority(seats)
            and len(self.live(self.seats)) >= majority(self.seats)
            and len(seats) >= min(self.goals.min_members, len(self.seats))
        )

    def best(self, choices: Iterable[Seats]) -> Seats | None:
        """Return the best spread list of those that may be; None where none may."""
        return min(
            (seats for seats in choices if self.may_change_to(seats)),
            key=lambda seats: (self.concentration(seats), sorted(seats)),
            default=None,
        )
