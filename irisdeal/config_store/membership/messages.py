"""The message of the `state` call, with which replicas exchange their status."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership.members import ip_of


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of one replica when it was sent. An accepted value is synced to disk before it is reported.

    Attributes:
        seat: the replica (see `members`).
        zone: the failure domain of its machine.
        accepted: the ballot under which it accepted `value`.
        value: the last accepted value, not necessarily decided.
        decided: the newest value known to it as decided.
        has_body: whether it has synced the body of `decided`, so that it has caught up.
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
        """Return the fields in wire order. Peers of other releases read them by position."""
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
        """Decode the output of `encode`. Raises ValueError or TypeError if malformed."""
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
