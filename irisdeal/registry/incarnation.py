"""A backend's incarnation: one start of a backend, as registries and proxies know it. No input or output.

Clocks of machines differ, so on the wire a time is what is left of it when the message is encoded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple


class BackendState(IntEnum):
    """How far an incarnation has come; it never goes back."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One start of a backend.

    `capacity`: requests that it serves at once; `count`: heartbeats sent so far, which orders two reports of
    one incarnation; `warm_at`: s on the local clock, when its slow start ends.
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
        """Return the wire form: its time is sent as ms left from `now`, as clocks differ."""
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
        """Read the wire form at `now`, s of the local clock.

        Raises ValueError or TypeError where a field is missing or of another type.
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
    """An incarnation and how many ms ago its last heartbeat was received."""

    incarnation: BackendIncarnation
    age_ms: int

    def encode(self, now: float) -> list[Any]:
        """Return the wire form."""
        return [self.incarnation.encode(now), self.age_ms]

    @staticmethod
    def decode(fields: Sequence[Any], now: float) -> ObservedIncarnation:
        """Read the wire form. Raises ValueError or TypeError where it is malformed."""
        incarnation, age_ms = fields
        return ObservedIncarnation(BackendIncarnation.decode(incarnation, now), int(age_ms))


class IncarnationStatus(NamedTuple):
    """An incarnation and whether the registry misses its heartbeats, as proxies are notified of it."""

    incarnation: BackendIncarnation
    is_unresponsive: bool

    def encode(self, now: float) -> list[Any]:
        """Return the wire form."""
        return [self.incarnation.encode(now), self.is_unresponsive]

    @staticmethod
    def decode(fields: Sequence[Any], now: float) -> IncarnationStatus:
        """Read the wire form. Raises ValueError or TypeError where it is malformed."""
        incarnation, is_unresponsive = fields
        return IncarnationStatus(BackendIncarnation.decode(incarnation, now), bool(is_unresponsive))
