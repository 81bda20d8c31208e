"""Floods, kills, cuts and lost words over doors and registries (`irisdeal/squall/fleet.py`)."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from irisdeal.ratelimit.tokens import Tokens
from irisdeal.gauge.desk import Desk
from irisdeal.squall.fleet import Fleet


@given("{doors:d} doors, {gauges:d} registries and a tenant of {rate:g} a second, seed {seed:d}")
def _(context: Any, doors: int, gauges: int, rate: float, seed: int) -> None:
    context.fleet = Fleet(doors, gauges, rate, seed)


@when("it asks for {times:g} times that from second {since:g} to {until:g}")
def _(context: Any, times: float, since: float, until: float) -> None:
    context.fleet.load(since, until, times)


@when("{percent:d} percent of the doors are killed at second {at:g}")
def _(context: Any, percent: int, at: float) -> None:
    context.fleet.kill(at, percent / 100)


@when("{count:d} registries are killed at second {at:g} and back at {until:g}")
def _(context: Any, count: int, at: float, until: float) -> None:
    context.fleet.kill_gauges(at, count, until)


@when("{count:d} registries stand still from second {at:g} to {until:g}")
def _(context: Any, count: int, at: float, until: float) -> None:
    context.fleet.freeze_gauges(at, count, until)


@when("{count:d} registries are cut from the others from second {at:g} to {until:g}")
def _(context: Any, count: int, at: float, until: float) -> None:
    context.fleet.part_gauges(at, count, until)


@when("a registry joins at second {at:g}, which the others know within {lag:g} s")
def _(context: Any, at: float, lag: float) -> None:
    context.fleet.add_gauge(at, lag)


@when("a registry is replaced at second {at:g} after {gap:g} s, which the others know within {lag:g} s")
def _(context: Any, at: float, gap: float, lag: float) -> None:
    context.fleet.replace_gauge(at, gap, lag)


@when("{lost:d} percent of lent tokens never arrive and {twice:d} percent are lent twice")
def _(context: Any, lost: int, twice: int) -> None:
    context.fleet.lend_lost, context.fleet.lend_twice = lost / 100, twice / 100


@when("{percent:d} percent of the doors hear nothing from second {since:g} to {until:g}")
def _(context: Any, percent: int, since: float, until: float) -> None:
    context.fleet.cut_off(since, until, percent / 100)


@when("{percent:d} percent of the words between processes are lost")
def _(context: Any, percent: int) -> None:
    context.fleet.loss = percent / 100


@then("no window of 5 s has more than the rule allows by second {until:g}")
def _(context: Any, until: float) -> None:
    fleet = context.fleet
    fleet.play(until)
    assert fleet.most(5.0) <= fleet.allowed(5.0), (fleet.most(5.0), fleet.allowed(5.0))


@then("under {percent:g} percent were refused")
def _(context: Any, percent: float) -> None:
    fleet = context.fleet
    assert fleet.refused <= fleet.asked * percent / 100, (fleet.refused, fleet.asked)


@then("at least {percent:g} percent of the rate ran from second {since:g} to {until:g}")
def _(context: Any, percent: float, since: float, until: float) -> None:
    fleet = context.fleet
    ran = sum(since <= at < until for at in fleet.ran)
    assert ran >= fleet.rate * (until - since) * percent / 100, (ran, fleet.rate * (until - since))


def _all_at_once(usual: Any) -> Any:
    """Of a new tenant's tokens, the part is one."""
    def tokens(self: Desk, tenant: str, now: float) -> Tokens:
        is_new = tenant not in self.tokens
        made: Tokens = usual(self, tenant, now)
        if is_new:
            made.share, made.credit = 1.0, 4 * made.credit
            made.tokens = made.depth()
        return made
    return tokens


def _planted(bug: str) -> tuple[type, str, Any]:
    """The class, the name and what stands there instead."""
    claim, lend, told = Tokens.claim, Tokens.lend, Tokens.told
    match bug:
        case "a lender keeps what it lent":
            def lend_and_keep(self: Tokens, wanted: float, now: float) -> float:
                given = lend(self, wanted, now)
                self.tokens += given
                return max(given, 5.0)
            return Tokens, "lend", lend_and_keep
        case "one that starts takes all of the rate":
            return Desk, "_tokens", _all_at_once(Desk._tokens)
        case "nothing is left to doors alone":
            return Tokens, "told", lambda self, share, now: told(self, max(share, 0.25), now)
        case "an answer of a lend counts five times":
            borrow = Tokens.borrow
            return Tokens, "borrow", lambda self, given: [borrow(self, given) for _ in range(5)]
        case "a claim takes no token":
            def claim_free(self: Tokens, now: float, is_late: bool = False) -> bool:
                had = claim(self, now, is_late)
                self.tokens += had
                return had
            return Tokens, "claim", claim_free
    raise ValueError(bug)


@given("in the registries is planted: {bug}")
def _(context: Any, bug: str) -> None:
    owner, name, instead = _planted(bug)
    kept = getattr(owner, name)
    setattr(owner, name, instead)
    context.add_cleanup(setattr, owner, name, kept)


@then("the judge finds a window with more than the rule allows by second {until:g}")
def _(context: Any, until: float) -> None:
    fleet = context.fleet
    fleet.play(until)
    assert fleet.most(5.0) > fleet.allowed(5.0), (fleet.most(5.0), fleet.allowed(5.0))
