"""Who is to be a member next: the policy for the list. Times are s of the steady clock; no input or output here.

Whatever this says is safe, also where it is wrong about who is dead: `register.py` decides each change by
majorities of both lists. A wrong guess costs two ballots (some 40 ms) and makes a member a learner.

Rules, in the order in which they are asked; one change at a time:
1. A list with a former one is settled first.
2. Another disk at a member's address takes that member's seat once it is ready: the disk of the old seat is gone.
   A machine that missed the start comes in this way, too.
3. A ready learner takes the seat of a member that is dead (`DEAD`), else of one that is leaving.
4. Without a successor for `LOST` a dead member, and at once one that is leaving, is dropped only where that lets
   the rest stand a loss which they could not stand before (4 with 1 gone -> 3; 5 with 2 gone -> 4 -> 3; never 5
   with 1 gone), and never below `least`. A leaver waits for it (`may_go`): else it goes while 4 with a gone one
   stand no loss, though its successor may be in the list for long. One that only starts again comes by rule 5.
5. A ready learner is added while fewer than `most` vote, but only while each member was heard within `QUIET`, and
   over `least` only when it has been heard for `DEAD` without a break: where one falls silent, the learner may be
   its successor. One more than an odd number stands no further loss, so there it must have been heard for half of
   `sync`; that keeps a cut that flaps from churning.
6. A list that could not stand the loss of a zone or region that must be borne changes a member of the fullest
   one for a ready learner elsewhere, where that helps.
7. More than `most`: one goes, the dead first.
8. A member that others brought in though the proposer does not hear it is not dead (for `VOUCHED`): it is the way
   to it that is cut, and to propose against it again and again would change the list without end.
9. No change whose new list or old list has no live majority, and none to a list shorter than `least` (unless
   the old one was as short). Learners count nowhere; one that is leaving becomes no member.

How many vote: all core machines up to 5, or up to 2 t + 1 where `tolerance` asks for more; others are learners
that hold everything and are ready within `DEAD` and two ballots. More than 5 would add disks to wait for and
stand no loss that is asked for: of 23 machines in 10 zones and 4 regions 5 vote, in 5 zones; a lost zone takes
one, a lost region two at most, and 3 of 5 go on.

4 machines: 3 voters and a ready learner were weighed against 4 voters. Both stand one loss at once; 3 and 1 wait
for 2 disks an order instead of 3. But a registry counts a drain as known at a majority of this same list, and a
door asks any two registries of the core: 3 of 4 meet any two, 2 of 3 do not where one of the two is the learner's.
And 3 of 4 is what "the core is settled" means. So 4 vote while all 4 run, and 3 while one is dead (rule 4), which
stands the second loss that 4 with a dead one could not. The first list is the seeds (three) with their first
disks; the fourth machine is added by rule 5.

All but one disk lost, or all: no majority, so no rule applies; `irisdeal store adopt` begins a new list.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import product
from typing import NamedTuple

from irisdeal.config_store.configuration.version import NO_VERSION
from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.membership.report import Report
from irisdeal.runtime.events import Event

DEAD = 2.0  # s of silence: four rounds; a process that is killed and started again is back within one
LOST = 3.0  # s of silence after which no successor is waited for: a new machine is up and ready within it
QUIET = 1.2  # s: two rounds of 0.5 and an answer; whoever was heard within it is well
TURN = 1.0  # s that each next proposer leaves to the ones before it: many ballots' time
LAG = 4  # changes that a learner's word may be behind: made between two rounds at 160 in 22 s
FEW = 3  # members that there are at least, where there are as many machines
MANY = 5  # members that vote where nothing asks for more
MOST = 9  # members at most, whatever is asked for
EMPTY = (
    15.0  # s without anyone who knows a list, after which all disks count as lost: any start is over by then
)
VOUCHED = 60.0  # s for which a member that others brought in counts as heard by them
FORGOTTEN = 60.0  # s after which a silent learner is forgotten
MOST_HEARD = 256  # seats remembered: ten times the largest core


@dataclass(frozen=True)
class Wanted:
    """What the list must bear: `settings.tolerance`, the regions of zones, and `sync_s` in s."""

    machines: int = 1
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)  # zone -> region
    sync: float = 4.0

    @property
    def least(self) -> int:
        """No fewer members, where there were as many."""
        return min(MOST, max(FEW, 2 * self.machines + 1))

    @property
    def most(self) -> int:
        """No more members; with one in each zone (or region) these stand the loss of as many as are borne."""
        return min(MOST, max(MANY, 2 * max(self.machines, self.zones, self.regions) + 1))

    def worst(self, zones: Iterable[str]) -> int:
        """How many of members in these zones the worst loss that must be borne takes."""
        in_zones = Counter(zones)
        in_regions: Counter[str] = Counter()
        for zone, count in in_zones.items():
            in_regions[self.region_of.get(zone, zone)] += count
        return max(self.machines, _fullest(in_zones, self.zones), _fullest(in_regions, self.regions))


def _fullest(counts: Counter[str], how_many: int) -> int:
    return sum(count for _, count in counts.most_common(how_many))


class Heard(NamedTuple):
    """A seat's last report: when it was heard, and since when it has been heard without a break of `DEAD`."""

    at: float
    report: Report
    since: float = float("-inf")


Reports = Mapping[str, Heard]  # by seat; the own seat's report is one of them
Seats = frozenset[str]


@dataclass(frozen=True)
class _View:
    """What one proposer sees."""

    value: Value
    reports: Reports
    own: str
    now: float
    wanted: Wanted
    since: float  # from when on this process has listened without standing still
    vouched: Seats = frozenset()  # members that others hear, though this process does not

    @property
    def seats(self) -> Seats:
        return frozenset(self.value.members.seats)

    def silence(self, seat: str) -> float:
        """s; 0 for the own seat and those that others vouch for."""
        if seat == self.own or seat in self.vouched:
            return 0.0
        heard = self.reports.get(seat)
        return self.now - max(heard.at if heard is not None else self.since, self.since)

    def wiped(self, seat: str) -> bool:
        """Whether its machine has spoken since from another disk."""
        ip = ip_of(seat)
        if seat == self.own or ip == ip_of(self.own):
            return seat != self.own
        at = self.reports[seat].at if seat in self.reports else float("-inf")
        return any(other.at > at and other.report.ip == ip for other in self.reports.values())

    def well(self, seat: str) -> bool:
        """Whether it was heard within `QUIET`, whatever this process has missed."""
        if seat == self.own:
            return True
        return seat in self.reports and self.now - self.reports[seat].at < QUIET and not self.wiped(seat)

    def live(self, seats: Iterable[str]) -> Seats:
        return frozenset(seat for seat in seats if self.silence(seat) < DEAD and not self.wiped(seat))

    def leaving(self, seat: str) -> bool:
        return seat in self.reports and self.reports[seat].report.leaving

    def zone(self, seat: str) -> str:
        """Its zone; a machine that was never heard is a zone of its own."""
        return self.reports[seat].report.zone if seat in self.reports else seat

    def ready(self) -> list[str]:
        """Learners that have caught up."""
        return sorted(
            seat
            for seat, heard in self.reports.items()
            if seat not in self.seats
            and not heard.report.leaving
            and self.well(seat)
            and self.has_caught_up(heard.report)
        )

    def has_caught_up(self, report: Report) -> bool:
        """Whether it holds the body of the newest change, or of one at most `LAG` before it."""
        known = report.decided
        return (
            report.holds
            and known.change >= max(0, self.value.change - LAG)
            and (known.version_id != NO_VERSION or self.value.version_id == NO_VERSION)
        )

    def others_ready(self) -> list[str]:
        """Those at addresses that no member has."""
        taken = {ip_of(seat) for seat in self.seats}
        return [seat for seat in self.ready() if ip_of(seat) not in taken]

    def worst(self, seats: Iterable[str]) -> int:
        return self.wanted.worst(map(self.zone, seats))

    def badness(self, seats: Seats) -> tuple[int, int, int, float]:
        """Of two lists the lesser is spread better; of equals, the one that was heard for longer."""
        zones = Counter(map(self.zone, seats))
        regions = Counter(self.wanted.region_of.get(self.zone(seat), "") for seat in seats)
        heard = [
            max(self.reports[seat].since, self.since) for seat in seats - self.seats if seat in self.reports
        ]
        return (
            self.worst(seats),
            sum(count * count for count in zones.values()),
            sum(count * count for count in regions.values()),
            sum(heard),
        )

    def may(self, seats: Seats) -> bool:
        """Rule 9."""
        return (
            len(self.live(seats)) >= majority(seats)
            and len(self.live(self.seats)) >= majority(self.seats)
            and len(seats) >= min(self.wanted.least, len(self.seats))
        )

    def best(self, choices: Iterable[Seats]) -> Seats | None:
        return min(
            (seats for seats in choices if self.may(seats)),
            key=lambda seats: (self.badness(seats), sorted(seats)),
            default=None,
        )


def _another_disk(view: _View) -> Seats | None:
    """Rule 2."""
    by_ip = {ip_of(seat): seat for seat in view.seats}
    return view.best(
        view.seats - {by_ip[ip_of(seat)]} | {seat} for seat in view.ready() if ip_of(seat) in by_ip
    )


def _successor(view: _View) -> Seats | None:
    """Rule 3: the dead first, then leavers, this process last."""
    dead = view.seats - view.live(view.seats)
    leavers = frozenset(filter(view.leaving, view.seats)) - dead
    for going in (dead, leavers - {view.own}, leavers):
        found = view.best(view.seats - {old} | {new} for old, new in product(going, view.others_ready()))
        if found is not None:
            return found
    return None


def _without(view: _View) -> Seats | None:
    """Rule 4."""
    going = frozenset(filter(view.leaving, view.seats))
    staying = view.live(view.seats) - going
    if majority(view.seats) <= max(len(staying), view.wanted.least) // 2 + 1:
        return None
    silent = {seat for seat in view.seats if view.silence(seat) >= LOST}  # a wiped one comes by rule 2
    return view.best(view.seats - {seat} for seat in silent | going)


def _one_more(view: _View) -> Seats | None:
    """Rule 5."""
    count = len(view.seats) + 1
    if count > view.wanted.most or not all(map(view.well, view.seats)):
        return None
    steady = 0.0 if count <= view.wanted.least else view.wanted.sync / 2 if count % 2 == 0 else DEAD
    return view.best(
        view.seats | {seat} for seat in view.others_ready() if view.now - view.reports[seat].since >= steady
    )


def _elsewhere(view: _View) -> Seats | None:
    """Rule 6."""
    now = view.worst(view.seats)
    if len(view.seats) - now >= majority(view.seats):
        return None
    return view.best(
        seats
        for old, new in product(view.seats - {view.own}, view.others_ready())
        if view.worst(seats := view.seats - {old} | {new}) < now
    )


def _one_less(view: _View) -> Seats | None:
    """Rule 7."""
    if len(view.seats) <= view.wanted.most:
        return None
    dead = view.seats - view.live(view.seats)
    return view.best(view.seats - {seat} for seat in dead or view.seats - {view.own})


RULES: tuple[Callable[[_View], Seats | None], ...] = (
    _another_disk,
    _successor,
    _without,
    _one_more,
    _elsewhere,
    _one_less,
)


def next_members(
    decided: Value,
    reports: Reports,
    own: str,
    now: float,
    wanted: Wanted,
    since: float = 0.0,
    vouched: Seats = frozenset(),
) -> Members | None:
    """The list to propose, or None where all is well. For a member in contact with a quorum (see `is_proposer`).

    `since`: from when on this process has listened without standing still; silence counts from then on.
    `vouched`: members that others brought in though this process does not hear them; they count as heard.
    """
    members = decided.members
    if own not in members.voters():
        return None
    if members.former:
        return members.settled()
    view = _View(decided, reports, own, now, wanted, since, vouched)
    for rule in RULES:
        seats = rule(view)
        if seats is not None:
            return members.change(seats)
    return None


def is_proposer(
    decided: Value,
    reports: Reports,
    own: str,
    now: float,
    waiting: float,
    since: float = 0.0,
) -> bool:
    """Whether it is this member's turn to propose what has been wanted for `waiting` s: the first live one's at
    once, each next one's `TURN` later."""
    voters = decided.members.voters()
    view = _View(decided, reports, own, now, Wanted(), since)
    return own in voters and waiting >= TURN * sorted(view.live(voters)).index(own)


def may_go(decided: Value, reports: Reports, own: str, now: float, since: float = 0.0) -> bool:
    """Whether a member that was told to end may go: a live quorum holds what is decided without it, nobody stands
    ready to take its seat, and it is not to be dropped (it waits until that is decided and settled)."""
    members = decided.members
    if own not in members.voters():
        return True
    view = _View(decided, reports, own, now, Wanted(), since)
    holders = [
        seat
        for seat in view.live(members.voters() - {own})
        if seat in reports
        and reports[seat].report.holds
        and reports[seat].report.decided.change >= decided.change
    ]
    return (
        not members.former
        and members.is_quorum(holders)
        and not view.others_ready()
        and _without(view) is None
    )


def beyond_help(decided: Value, reports: Reports, own: str) -> bool:
    """Whether no quorum can ever be: too many members' machines speak from other disks. False where none of the
    disks that were heard knows a list, as then nobody knows whose disks are missing."""
    view = _View(decided, reports, own, 0.0, Wanted(), 0.0)
    there = [seat for seat in decided.members.voters() if not view.wiped(seat)]
    return bool(decided.members.seats) and not decided.members.is_quorum(there)


class MembershipMonitor:
    """What one process has heard of the others, and since when it has wanted a change. `now`: its start."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.reports: dict[str, Heard] = {}
        self.wanting: tuple[int, bool] | None = None  # the list's number, and whether it is to be settled
        self.wanted_at = now
        self.told: frozenset[tuple[Event, str]] = frozenset()  # (event, seat) that hold now and were told
        self.list: Members | None = None  # the one that was decided last, as far as this process knew
        self.vouched: dict[str, float] = {}  # seat -> until when

    def heard(self, report: Report, now: float) -> None:
        """A seat's word of itself, also the own seat's."""
        known = self.reports.get(report.seat)
        steady = known is not None and now - known.at < DEAD
        self.reports[report.seat] = Heard(now, report, known.since if known is not None and steady else now)
        self.vouched.pop(report.seat, None)

    def woke(self, now: float) -> None:
        """The process stood still: what it did not hear meanwhile is no silence."""
        self.since, self.wanting = now, None

    def next(self, decided: Value, own: str, now: float, wanted: Wanted) -> Members | None:
        """What this member is to propose now."""
        self._forget(decided, now)
        self._vouch(decided.members, own, now)
        vouched = frozenset(seat for seat, until in self.vouched.items() if now < until)
        found = next_members(decided, self.reports, own, now, wanted, self.since, vouched)
        if found is None:
            self.wanting = None
            return None
        if self.wanting != (wanting := (found.number, bool(found.former))):
            self.wanting, self.wanted_at = wanting, now
        turn = is_proposer(decided, self.reports, own, now, now - self.wanted_at, self.since)
        return found if turn else None

    def learners(self, decided: Value, now: float) -> list[str]:
        """The addresses of those that were heard of late and are no members' addresses."""
        ips = {heard.report.ip for heard in self.reports.values() if now - heard.at < DEAD}
        return sorted(ips - decided.members.ips())

    def news(self, decided: Value, own: str, now: float) -> list[tuple[Event, str]]:
        """Events that have begun to hold, each with its seat: 222 a member is dead, 223 a learner is ready, 226 no
        quorum can ever be (for the own seat)."""
        view = _View(decided, self.reports, own, now, Wanted(), self.since)
        hold = {(Event.MEMBER_SILENT, seat) for seat in view.seats - view.live(view.seats)} | {
            (Event.LEARNER_READY, seat) for seat in view.ready()
        }
        empty = (
            not decided.members.seats
            and now - self.since >= EMPTY
            and not any(heard.report.decided.members.seats for heard in self.reports.values())
        )
        if empty or beyond_help(decided, self.reports, own):
            hold.add((Event.QUORUM_UNREACHABLE, own))
        fresh, self.told = sorted(hold - self.told), frozenset(hold)
        return fresh

    def _vouch(self, members: Members, own: str, now: float) -> None:
        """Rule 8."""
        if self.list is not None and self.list != members:
            fresh = members.voters() - self.list.voters() - {own}
            silent = {
                seat for seat in fresh if seat not in self.reports or now - self.reports[seat].at >= QUIET
            }
            self.vouched.update(dict.fromkeys(silent, now + VOUCHED))
            self.vouched = {seat: until for seat, until in self.vouched.items() if seat in members.voters()}
        self.list = members

    def _forget(self, decided: Value, now: float) -> None:
        voters = decided.members.voters()
        old_first = sorted((heard.at, seat) for seat, heard in self.reports.items() if seat not in voters)
        for index, (at, seat) in enumerate(old_first):
            if now - at > FORGOTTEN or len(old_first) - index > MOST_HEARD:
                del self.reports[seat]
