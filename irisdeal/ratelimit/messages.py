"""Usage of tenants in an interval, and its form on the wire between proxies and registries.

It is a list of values in a fixed order, as peers of other versions read them by position.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Usage:
    """One tenant's usage in one interval, at one proxy or summed.

    `requests`: requests that arrived; `in_flight`: time-weighted mean of requests in flight or waiting;
    `ready`: permits that the registries have; `late`: those of `requests` that arrived after their latency
    target had passed.
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
        """Return the form on the wire."""
        return [round(self.requests, 3), round(self.in_flight, 3), round(self.ready, 3), round(self.late, 3)]

    @staticmethod
    def decode(body: Any) -> Usage:
        """Read the form on the wire. Raises ValueError or TypeError where it is malformed."""
        requests, in_flight, ready, late = body
        return Usage(float(requests), float(in_flight), float(ready), float(late))


Usages = dict[str, Usage]  # by tenant


def encode_usages(usages: Usages) -> dict[str, list[float]]:
    """Return the form on the wire."""
    return {tenant: usage.encode() for tenant, usage in usages.items()}


def decode_usages(body: Any) -> dict[str, Usage]:
    """Read the form on the wire. Raises ValueError or TypeError where it is malformed."""
    return {str(tenant): Usage.decode(usage) for tenant, usage in dict(body).items()}
