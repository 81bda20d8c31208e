"""What members and learners of the core say of themselves to each other. No input or output here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.almanac.members import ip_of
from irisdeal.almanac.register import Ballot, Value


@dataclass(frozen=True, slots=True)
class Report:
    """A seat's word of itself: it is told again each round and never relied on for a decision."""

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

    def tell(self) -> list[Any]:
        return [self.seat, self.zone, self.accepted.tell(), self.value.tell(), self.decided.tell(), self.holds,
                self.leaving]

    @staticmethod
    def hear(told: list[Any]) -> Report:
        """ValueError, TypeError where it is none."""
        seat, zone, accepted, value, decided, holds, leaving = told
        return Report(str(seat), str(zone), Ballot.hear(accepted), Value.hear(value), Value.hear(decided),
                      bool(holds), bool(leaving))
