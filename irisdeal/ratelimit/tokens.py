"""A tenant's quota as tokens, held by the registries for all doors. Time and totals are arguments; no I/O.

The rule: in no window of w s may more than A = (rate w + burst)(1 + excess) + slack requests of a tenant run,
over all doors. A registry has a part of the tenant's rate and depth, by the demand split over registries: it
stands for its doors. Parts of one finished total sum to one. A door asks for one token with each request that it
would send on, in the same call that asks for a place at a backend, so a flood is met where it begins and not a
second later.

What runs in a window is then at most

sum of depths + w x sum of rates = (burst + m) + w rate,    m = OF_EXCESS excess (rate w + burst) + OF_SLACK slack

and whoever hears no registry has a part of its own (`reserve`), which its registry leaves it: see `alone`. The
slack is there for small tenants, whose asks come in clumps of more than their burst. What is left of A covers
what moves while totals are on their way:

- doors with a part l of the demand fall silent: ALONE_FIRST x l / 2 x rate, until all registries leave it to them,
  and l of what is saved for them, where tokens were left. For w = 5 and burst = rate the sum is most at l = 0.6:
  6.6 rate + 16.5 of A = 6.6 rate + 20;
- registries start again and have forgotten what they gave: START x depth of their parts, and DOWN s of refill that
  others may have given meanwhile (nobody has, where all were down);
- demand moves from one registry to another: what its part moves by in an interval;
- a registry that stood still has no part until a total of after its waking is finished (`void`); what it borrows
  meanwhile is gone at the lender, and at most START of the depth that it had.
"""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.ratelimit.demand_split import part

OF_EXCESS, OF_SLACK = 0.2, 0.75  # of excess and slack that is given out
SPREAD = 0.8  # of the burst that refills over the window, so that rate and burst run in every one, not in the first
SPREAD_SLACK = 0.3  # likewise of what is given out of excess and slack
START = 0.3  # of its depth that a registry which knows nothing begins with
FRESH = 0.35  # of its depth that is kept for requests which can still be answered inside their aim
DOWN = 0.45  # s that a machine is down at least before its registry starts: what its part would have refilled by
EVEN = 0.5  # of what doors that are alone share, that goes by the count of doors; the rest by their demand
ALONE_DEPTH = 1.0  # s of its part of the rate that a door which is alone may save up
ALONE_RATE, ALONE_SLACK = 0.15, 0.5  # s of the rate, and of the slack, that doors which fall silent may use at once
ALONE_FIRST = 2.2  # s at first in which it has half of its part: until all registries know that it is silent


@dataclass(frozen=True, slots=True)
class Rule:
    """What the deployment's bounds say of quotas; `window` in s."""

    window: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def allowed(self, rate: float, burst: float) -> float:
        """Requests that may run in a window, all doors together."""
        return (rate * self.window + burst) * (1 + self.excess) + self.slack

    def depth(self, rate: float, burst: float) -> float:
        """Requests that may run at once, all doors together."""
        return (1 - SPREAD) * burst + (1 - SPREAD_SLACK) * self.margin(rate, burst)

    def refill(self, rate: float, burst: float) -> float:
        """Requests a second that may run for long, all doors together."""
        return rate + (SPREAD * burst + SPREAD_SLACK * self.margin(rate, burst)) / self.window

    def saved(self, rate: float) -> float:
        """Requests that doors which have just fallen silent may run at once, all together."""
        return ALONE_RATE * rate + ALONE_SLACK * self.slack

    def margin(self, rate: float, burst: float) -> float:
        """Requests of a window that are given out beyond rate and burst: m above."""
        return OF_EXCESS * self.excess * (rate * self.window + burst) + OF_SLACK * self.slack


def share(demand: float, total: float, rate: float, length: float, many: int) -> float:
    """One's part of a tenant's rate and depth, 0 to 1, by what was asked in an interval of `length` s."""
    cap = rate * length
    return part(demand, total, cap, many) / cap if cap > 0 else 0.0


def alone(demand: float, total: float, doors: int) -> float:
    """The part of a tenant's rate, 0 to 1, that a door has which hears no registry.

    Half by the count of doors, half by its last demand: the parts of all doors sum to one whatever each asks for.
    """
    by_demand = demand / total if total > 0 else 1.0 / max(1, doors)
    return EVEN / max(1, doors) + (1 - EVEN) * min(1.0, by_demand)


class Tokens:
    """One tenant at one registry; no limit where `rate` is 0."""

    def __init__(self, rule: Rule, rate: float, burst: float, many: int, age: float, now: float) -> None:
        """`many`: registries there are; `age`: s that this one lives, and so knows what it gave."""
        self.rule, self.rate, self.burst = rule, rate, burst
        self.share = 1.0 / max(1, many)
        self.lent_room = 0.0  # of all depth, what may be borrowed while our part is void
        self.tokens, self.filled = min(1.0, START + age / rule.window) * self.depth(), now
        self.credit = self.share * DOWN * rule.refill(rate, burst) if age < DOWN else 0.0
        self.credit_until = now + DOWN
        self.used = now  # when it was last asked for one

    def depth(self) -> float:
        """Tokens that this registry may have."""
        return self.share * self.rule.depth(self.rate, self.burst)

    def change(self, rate: float, burst: float) -> None:
        """A new configuration: a lower limit holds at once."""
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, self.depth())

    def told(self, share_: float, now: float) -> None:
        """Our part by the newest finished total, less what doors have that are alone."""
        self._fill(now)
        self.share, self.lent_room = share_, 0.0
        self.tokens = min(self.tokens, self.depth())

    def void(self, now: float) -> None:
        """We stood still, and others have our part by now: what we held is theirs, until a newer total says."""
        self.lent_room = max(self.lent_room, START * self.share)
        self.share = self.tokens = self.credit = 0.0
        self.filled = now

    def _room(self) -> float:
        """Tokens that may be here, borrowed ones too."""
        return max(self.share, self.lent_room) * self.rule.depth(self.rate, self.burst)

    def _fill(self, now: float) -> None:
        rate = self.rule.refill(self.rate, self.burst) * self.share
        self.tokens = min(max(1.0, self._room()), self.tokens + rate * (now - self.filled))
        self.filled = now

    def claim(self, now: float, is_late: bool = False) -> bool:
        """Whether one more may run; its token is gone if so.

        One that came back too late for its aim is worth a tenth or a third of one that has just come: in a flood
        tokens are short, and go to those that are worth most.
        """
        self.used = now
        if self.rate <= 0:
            return True
        self._fill(now)
        if self.credit >= 1.0 and now < self.credit_until:
            self.credit -= 1.0
            return True
        if self.tokens < 1.0 + (FRESH * self.depth() if is_late else 0.0):
            return False
        self.tokens -= 1.0
        return True

    def lend(self, wanted: float, now: float) -> float:
        """Tokens for another registry, which are gone here: whole ones, at most half of what there is."""
        self._fill(now)
        given = float(min(wanted, self.tokens // 2)) if self.rate > 0 else 0.0
        self.tokens -= given
        return given

    def wants(self, asked: float, now: float) -> float:
        """What to borrow for so many asks: never beyond our depth, so that all depths still bound what runs."""
        self._fill(now)
        return max(1.0, min(1.0 + asked, self._room() - self.tokens))

    def borrow(self, given: float) -> None:
        """Tokens that another has lent."""
        self.tokens += given

    def left(self, now: float) -> float:
        """Tokens that are left."""
        self._fill(now)
        return self.tokens
