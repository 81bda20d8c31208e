"""What proxies and registries tell each other of permits, and how it is written on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


def _counts(told: Any) -> dict[str, int]:
    return {str(tenant): int(count) for tenant, count in dict(told).items()}


@dataclass(frozen=True, slots=True)
class HeldReport:
    """A proxy's word of the permits that it holds of one registry.

    `holder`: the proxy's process; `sequence`: rises with each report; `incarnation`: of the registry that granted
    them; `held`: what it holds, by tenant; `wanted`: how many it wants to hold in all, where that is more.
    """

    holder: int
    sequence: int
    incarnation: int
    held: Mapping[str, int] = field(default_factory=dict)
    wanted: Mapping[str, int] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.holder, self.sequence, self.incarnation, dict(self.held), dict(self.wanted)]

    @staticmethod
    def decode(told: Any) -> HeldReport:
        """ValueError, TypeError where it is none."""
        holder, sequence, incarnation, held, wanted = told
        return HeldReport(int(holder), int(sequence), int(incarnation), _counts(held), _counts(wanted))


@dataclass(frozen=True, slots=True)
class ReserveReply:
    """A registry's answer to a `HeldReport`: its life, and by how many permits the holder has more, or fewer.

    `is_issuing`: whether what is held is renewed; where it is not, it stands until its lease is over.
    """

    incarnation: int
    is_issuing: bool = False
    changes: Mapping[str, int] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.incarnation, self.is_issuing, dict(self.changes)]

    @staticmethod
    def decode(told: Any) -> ReserveReply:
        """ValueError, TypeError where it is none."""
        incarnation, is_issuing, changes = told
        return ReserveReply(int(incarnation), bool(is_issuing), _counts(changes))


@dataclass(frozen=True, slots=True)
class LendRequest:
    """A registry asks another for permits of a tenant."""

    tenant: str
    wanted: int

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.tenant, self.wanted]

    @staticmethod
    def decode(told: Any) -> LendRequest:
        """ValueError, TypeError where it is none."""
        tenant, wanted = told
        return LendRequest(str(tenant), int(wanted))
