"""The message of the call `state`, by which replicas exchange their status."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership.members import ip_of


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One replica's status, as of when it was sent. What it accepted is synced to its disk before it is reported.

    Attributes:
        seat: the replica (see `members`).
        zone: the failure domain of its machine.
        accepted: the ballot under which it accepted `value`.
        value: the value that it accepted last, perhaps not decided.
        decided: the newest value that it knows to be decided.
        has_body: whether it has the body of `decided`, synced: it has caught up.
        is_leaving: whether it is shutting down gracefully.
    """

    seat: str
    zone: str
    accepted: Ballot
    value: Value
    decided: Value
    has_body: bool
    is_leaving: bool = False

    @property
    def ip(self) -> str:
        """Address of the replica's machine."""
        return ip_of(self.seat)

    def encode(self) -> list[object]:
        """Return the form on the wire. Peers of other releases read it by position."""
        return [
            self.seat,
            self.zone,
            self.accepted.encode(),
            self.value.encode(),
            self.decided.encode(),
            self.has_body,
            self.is_leaving,
        ]

    @staticmethod
    def decode(fields: list[Any]) -> ReplicaStatus:
        """Read what `encode` made. Raises ValueError or TypeError where it is no status."""
        seat, zone, accepted, value, decided, has_body, leaving = fields
        return ReplicaStatus(
            str(seat),
            str(zone),
            Ballot.decode(accepted),
            Value.decode(value),
            Value.decode(decided),
            bool(has_body),
            bool(leaving),
        )
