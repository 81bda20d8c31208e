"""The rate companion of one tenant at one proxy: refusal by chance of what is far beyond the tenant's room.

The design refuses new requests by chance, (asked - room) / asked, of what all proxies were asked for in the
last finished interval; room is the rate and what is left of the burst. Requests that came back too late for
their aim have the room that the others leave. The chance stands while no total comes. It works on news that is
an interval old, so alone it lets a flood's first second through; behind it each request claims a permit at a
registry (`irisdeal/permits/`), which is what holds the rule. Chance only spares the calls of what would be
refused there.
"""

from __future__ import annotations

from irisdeal.permits.allowance import Limit
from irisdeal.ratelimit.interval_clock import LENGTH
from irisdeal.ratelimit.interval_counter import Usage

SPARE = 3.0  # requests of an interval that chance lets through beyond: a small tenant asks in clumps
ROOM_FACTOR = (
    1.7  # times the room that chance lets through: permits are to bind, chance only to spare the calls
)


def chance(asked: float, room: float) -> float:
    """Of refusal: (asked - room) / asked, not under nought."""
    return max(0.0, (asked - room) / asked) if asked > 0 else 0.0


class RateCompanion:
    """One tenant at one proxy; no limit where the rate is 0."""

    def __init__(self, name: str, limit: Limit) -> None:
        self.name, self.limit = name, limit
        self.asked = self.late = 0
        self.refusal = self.refusal_late = self.total = 0.0

    def close(self) -> tuple[int, int]:
        """What was asked here in the interval that ends, and how many of these were late."""
        asked, late = self.asked, self.late
        self.asked = self.late = 0
        return asked, late

    def hear_total(self, total: Usage) -> None:
        """What all proxies were asked for in a finished interval, and the permits that are left."""
        room = ROOM_FACTOR * (self.limit.rate_per_s * LENGTH + total.ready) + SPARE
        fresh = total.asked - total.late
        self.refusal = chance(fresh, room)
        self.refusal_late = chance(total.late, max(0.0, room - fresh))
        self.total = total.asked

    def ask(self, draw: float, is_late: bool = False) -> bool:
        """Count an ask; whether it may go on by chance. `draw` is from 0 to 1."""
        self.asked += 1
        self.late += is_late
        return not self.limit.is_limited or draw >= (self.refusal_late if is_late else self.refusal)

    def is_flooded(self) -> bool:
        """Whether all proxies together were asked for more than the rate: coming back at once is of no use."""
        return self.total > self.limit.rate_per_s * LENGTH
