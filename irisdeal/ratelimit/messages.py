"""Usage of tenants in an interval, and its wire format between proxies and registries.

The wire format is a list in a fixed order, as peers of other versions read the values by position.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Usage:
    """One tenant's usage in one interval, at one proxy or summed.

    `requests`: requests received; `in_flight`: time-weighted mean of requests in flight or waiting; `ready`:
    permits available at the registries; `late`: those of `requests` received after their latency target had
    passed.
    """

    requests: float = 0.0
    in_flight: float = 0.0
    ready: float = 0.0
    late: float = 0.0

    def add(self, other: Usage, share: float = 1.0) -> None:
        """Add `share`, from 0 to 1, of another usage."""
        self.requests += share * other.requests
        self.in_flight += share * other.in_flight
        self.ready += share * other.ready
        self.late += share * other.late

    def encode(self) -> list[float]:
        """Return the wire format."""
        return [round(self.requests, 3), round(self.in_flight, 3), round(self.ready, 3), round(self.late, 3)]

    @staticmethod
    def decode(body: Any) -> Usage:
        """Parse the wire format. Raises ValueError or TypeError if it is malformed."""
        requests, in_flight, ready, late = body
        return Usage(float(requests), float(in_flight), float(ready), float(late))


Usages = dict[str, Usage]  # by tenant


def encode_usages(usages: Usages) -> dict[str, list[float]]:
    """Return the wire format."""
    return {tenant: usage.encode() for tenant, usage in usages.items()}


def decode_usages(body: Any) -> dict[str, Usage]:
    """Parse the wire format. Raises ValueError or TypeError if it is malformed."""
    return {str(tenant): Usage.decode(usage) for tenant, usage in dict(body).items()}
