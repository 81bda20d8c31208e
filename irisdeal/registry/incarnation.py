"""Backend incarnations (one per start of a backend) and their wire form. This module does no I/O.

The clocks of machines differ, so times are sent as the remaining duration when the message is encoded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple


class BackendState(IntEnum):
    """Lifecycle state of an incarnation; it never moves back."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One start of a backend.

    `capacity`: requests that it serves concurrently; `count`: heartbeats sent so far, which orders reports of the
    same incarnation; `warm_at`: end of its slow start, s on the local clock.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: BackendState
    count: int
    warm_at: float

    def encode(self, now: float) -> list[Any]:
        """Return the wire form, with `warm_at` as the ms left from `now`."""
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.capacity,
            int(self.state),
            self.count,
            max(0, round((self.warm_at - now) * 1000)),
        ]

    @staticmethod
    def decode(fields: Sequence[Any], now: float) -> BackendIncarnation:
        """Parse the wire form; `now`: s on the local clock.

        Raises ValueError or TypeError if a field is missing or has a wrong type.
        """
        id_, service, address, zone, capacity, state, count, warmup_left_ms = fields
        return BackendIncarnation(
            str(id_),
            str(service),
            str(address),
            str(zone),
            int(capacity),
            BackendState(state),
            int(count),
            now + int(warmup_left_ms) / 1000,
        )


class ObservedIncarnation(NamedTuple):
    """An incarnation, and the time in ms since its last heartbeat was received."""

    incarnation: BackendIncarnation
    age_ms: int

    def encode(self, now: float) -> list[Any]:
        """Return the wire form."""
        return [self.incarnation.encode(now), self.age_ms]

    @staticmethod
    def decode(fields: Sequence[Any], now: float) -> ObservedIncarnation:
        """Parse the wire form. Raises ValueError or TypeError if it is malformed."""
        incarnation, age_ms = fields
        return ObservedIncarnation(BackendIncarnation.decode(incarnation, now), int(age_ms))


class IncarnationStatus(NamedTuple):
    """An incarnation as proxies are notified of it, and whether its heartbeats have stopped."""

    incarnation: BackendIncarnation
    is_unresponsive: bool

    def encode(self, now: float) -> list[Any]:
        """Return the wire form."""
        return [self.incarnation.encode(now), self.is_unresponsive]

    @staticmethod
    def decode(fields: Sequence[Any], now: float) -> IncarnationStatus:
        """Parse the wire form. Raises ValueError or TypeError if it is malformed."""
        incarnation, is_unresponsive = fields
        return IncarnationStatus(BackendIncarnation.decode(incarnation, now), bool(is_unresponsive))
