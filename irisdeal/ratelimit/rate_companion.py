"""A tenant's quota as one door sees it: the rate companion, and what the door has when it hears nobody.

The design refuses new requests by chance, (asked - room) / asked, of what all doors were asked for in the last
finished interval; room is the rate and the burst that is left. Requests that came back too late for their aim have
the room that the others leave. The chance stands while no total comes. Behind it
each request claims a token at a registry (`tokens.py`), which is what holds the rule: chance works on news that
is an interval old, so alone it lets a flood's first second through and thins one that is over.

A door that no registry answers has `tokens.alone` of the rate, and of what is saved for such doors, where tokens
were left. Over all doors these parts sum to one, so what they let run together is bounded as the registries'
parts are. Parts are fractions of a request for a small tenant at many doors; they go by a draw, so that the sum
is what it should be.
"""

from __future__ import annotations

from irisdeal.ratelimit.interval_counter import DRIFT
from irisdeal.ratelimit.interval_clock import LENGTH
from irisdeal.ratelimit.tokens import ALONE_DEPTH, ALONE_FIRST, Rule, alone

SPARE = 3.0  # requests of an interval that chance lets through beyond: a small tenant asks in clumps
THIN = 1.25  # times the room that chance lets through: tokens are to bind, chance only to spare the claims
BORN = 0.25  # of the part of a door that is alone, while it has never heard a total


def chance(asked: float, room: float) -> float:
    """Of refusal: (asked - room) / asked, not under nought."""
    return max(0.0, (asked - room) / asked) if asked > 0 else 0.0


class Quota:
    """One tenant at one door; no limit where `rate` is 0."""

    def __init__(self, name: str, rule: Rule, rate: float, burst: float, now: float) -> None:
        self.name, self.rule, self.rate, self.burst = name, rule, rate, burst
        self.asked = self.late = 0
        self.refusal = self.refusal_late = self.total = 0.0
        self.doors, self.part, self.left = 1, 0.0, 0.0
        self.heard = False
        self.tokens, self.filled = 0.0, now
        self.is_alone, self.alone_since = False, now

    def change(self, rate: float, burst: float) -> None:
        """A new configuration."""
        self.rate, self.burst = rate, burst

    def close(self) -> tuple[int, int]:
        """What was asked here in the interval that ends, and how many of these were late."""
        asked, late = self.asked, self.late
        self.asked = self.late = 0
        return asked, late

    def told(self, own: float, asked: float, late: float, left: float, doors: int) -> None:
        """A finished total: what was asked of us and of all doors in an interval, the tokens left of all."""
        room, fresh = THIN * (self.rate * LENGTH + left) + SPARE, asked - late
        self.refusal = chance(fresh, room)
        self.refusal_late = chance(late, max(0.0, room - fresh))
        self.total, self.doors, self.left = asked, doors, left
        new = alone(own, asked, doors)
        self.part = self.part + DRIFT * (new - self.part) if self.heard else new
        self.heard = True

    def ask(self, draw: float, is_late: bool = False) -> bool:
        """Count an ask; whether it may go on by chance. `draw` is from 0 to 1."""
        self.asked += 1
        self.late += is_late
        return self.rate <= 0 or draw >= (self.refusal_late if is_late else self.refusal)

    def answered(self) -> None:
        """A registry answers again: what we had for ourselves is void."""
        self.is_alone = False

    def claim_alone(self, now: float, doors: int, draw: float) -> bool:
        """Whether one may run though no registry answers. `draw` is from 0 to 1."""
        if self.rate <= 0:
            return True
        rate = self.rate * (self.part if self.heard else BORN / max(1, doors))
        if not self.is_alone:
            self.is_alone, self.alone_since, self.filled = True, now, now
            full = min(1.0, self.left / self.rule.depth(self.rate, self.burst))
            self.tokens = self.part * self.rule.saved(self.rate) * max(0.0, 2 * full - 1)
        if now - self.alone_since < ALONE_FIRST:
            rate /= 2
        self.tokens = max(self.tokens, min(rate * ALONE_DEPTH, self.tokens + rate * (now - self.filled)))
        self.filled = now
        if self.tokens <= draw:
            return False
        self.tokens -= 1.0
        return True

    def is_flooded(self) -> bool:
        """Whether all doors together were asked for more than the rate: coming back at once is of no use."""
        return self.total > self.rate * LENGTH
