"""What members and learners of the core say of themselves to each other. No input or output here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership.members import Members, ip_of


@dataclass(frozen=True, slots=True)
class Report:
    """A seat's word of itself: what it accepted is synced before it is told."""

    seat: str
    zone: str
    accepted: Ballot
    value: Value  # accepted, perhaps not decided
    decided: Value  # the newest that it knows to be decided
    holds: bool  # whether it holds the body of `decided`, synced: it has caught up
    leaving: bool = False  # it was told to end

    @property
    def ip(self) -> str:
        return ip_of(self.seat)

    def encode(self) -> list[Any]:
        return [
            self.seat,
            self.zone,
            self.accepted.encode(),
            self.value.encode(),
            self.decided.encode(),
            self.holds,
            self.leaving,
        ]

    @staticmethod
    def decode(told: list[Any]) -> Report:
        """ValueError, TypeError where it is none."""
        seat, zone, accepted, value, decided, holds, leaving = told
        return Report(
            str(seat),
            str(zone),
            Ballot.decode(accepted),
            Value.decode(value),
            Value.decode(decided),
            bool(holds),
            bool(leaving),
        )


def decided_among(reports: Iterable[Report]) -> Value | None:
    """The newest value that these reports show to be decided: a quorum of its own list accepted it in one ballot.

    That a seat accepted a ballot stays true, so reports of any time go together.
    """
    holders: dict[tuple[Ballot, Value], set[str]] = {}
    for report in reports:
        holders.setdefault((report.accepted, report.value), set()).add(report.seat)
    shown = [value for (_, value), seats in holders.items() if value.members.is_quorum(seats)]
    return max(shown, key=lambda value: value.change, default=None)


def read_from(reports: Iterable[Report], known: Members) -> Value | None:
    """What a read answers, of reports that were all asked for after it began: the newest decided value.

    None where too few answered, or where a ballot is needed first: the highest accepted is not shown to be
    decided, and may yet be decided, or lost.
    """
    heard = list(reports)
    if not known.is_quorum(report.seat for report in heard):
        return None
    highest = max(report.accepted for report in heard)
    return decided_among(report for report in heard if report.accepted == highest)
