"""Messages about permits between proxies and registries, and their wire format.

The wire format is a list in a fixed order, as peers of other versions read the values by position.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


def _decode_counts(body: Any) -> dict[str, int]:
    return {str(tenant): int(count) for tenant, count in dict(body).items()}


@dataclass(frozen=True, slots=True)
class PrefetchReport:
    """A proxy's report of the permits that it holds of one registry.

    `proxy`: number of the proxy's process; `sequence`: increases with each report; `incarnation`: of the
    registry's process that granted the permits; `unused`: permits still held, by tenant; `wanted`: permits to
    hold in total, by tenant, if that is more.
    """

    proxy: int
    sequence: int
    incarnation: int
    unused: Mapping[str, int] = field(default_factory=dict)
    wanted: Mapping[str, int] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """Return the wire format."""
        return [self.proxy, self.sequence, self.incarnation, dict(self.unused), dict(self.wanted)]

    @staticmethod
    def decode(body: Any) -> PrefetchReport:
        """Parse the wire format. Raises ValueError or TypeError if it is malformed."""
        proxy, sequence, incarnation, unused, wanted = body
        return PrefetchReport(
            int(proxy), int(sequence), int(incarnation), _decode_counts(unused), _decode_counts(wanted)
        )


@dataclass(frozen=True, slots=True)
class PrefetchReply:
    """A registry's reply to a `PrefetchReport`.

    `incarnation`: of the registry's process; `is_issuing`: whether the lease of the held permits is renewed (if
    not, they remain usable until it expires); `changes`: permits granted (positive) or revoked (negative), by
    tenant.
    """

    incarnation: int
    is_issuing: bool = False
    changes: Mapping[str, int] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """Return the wire format."""
        return [self.incarnation, self.is_issuing, dict(self.changes)]

    @staticmethod
    def decode(body: Any) -> PrefetchReply:
        """Parse the wire format. Raises ValueError or TypeError if it is malformed."""
        incarnation, is_issuing, changes = body
        return PrefetchReply(int(incarnation), bool(is_issuing), _decode_counts(changes))


@dataclass(frozen=True, slots=True)
class LendRequest:
    """A registry's request to another one for `wanted` permits of a tenant."""

    tenant: str
    wanted: int

    def encode(self) -> list[Any]:
        """Return the wire format."""
        return [self.tenant, self.wanted]

    @staticmethod
    def decode(body: Any) -> LendRequest:
        """Parse the wire format. Raises ValueError or TypeError if it is malformed."""
        tenant, wanted = body
        return LendRequest(str(tenant), int(wanted))
