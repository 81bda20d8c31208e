"""The policy for the list of members: which list to propose next. Times: s of the monotonic clock. No I/O here.

Whatever is proposed here is safe, also where it is wrong about who is dead: `consensus/register.py` decides each
change by majorities of both lists. A wrong guess costs two ballots (some 40 ms) and makes a member a learner.

Rules, in the order in which they are asked; one change at a time:

1. A joint list is completed first (`next_members`).
2. Another disk at a member's address takes that member's seat once it is ready: the disk of the old seat is gone.
   A machine that missed the start comes in this way, too (`replace_wiped_disk`).
3. A ready learner takes the seat of a member that is dead (`DEAD_AFTER_S`), else of one that is leaving
   (`replace_dead_or_leaving`).
4. Without a successor for `SUCCESSOR_WAIT_S` a dead member, and at once one that is leaving, is removed only where
   the rest can then stand a loss which they could not stand before (4 with 1 dead -> 3; 5 with 2 dead -> 4 -> 3;
   never 5 with 1 dead), and never below `min_members`. A leaving member waits for it (`may_leave`): else it goes
   while 4 with a dead one stand no loss, though its successor may be in the list for long. A member that only
   restarts comes back by rule 5 (`remove_without_successor`).
5. A ready learner is added while fewer than `max_members` vote, but only while each member is healthy (`RECENT_S`),
   and over `min_members` only when the learner has been steady for `DEAD_AFTER_S`: where a member falls silent, the
   learner may be its successor. One more than an odd number stands no further loss, so there the learner must have
   been steady for half of `sync_s`; that keeps a flapping partition from churning the list (`add_learner`).
6. A list that could not stand the loss of a zone or region that must be withstood changes a member of the fullest
   one for a ready learner elsewhere, where that helps (`spread_over_zones`).
7. Of more than `max_members` one is removed, the dead first (`remove_surplus`).
8. A member that others added though the proposer receives nothing from it is not dead (for `ASSUMED_LIVE_S`, see
   `monitor`): it is the link to it that is partitioned, and to propose against it again and again would change the
   list without end.
9. No change whose new list or old list has no live majority, and none to a list shorter than `min_members` (unless
   the old one was as short). Learners count nowhere; one that is leaving becomes no member
   (`MembershipView.may_change_to`).

How many vote: all core machines up to 5, or up to 2 t + 1 where `tolerance` asks for more; others are learners that
have every version and are ready within `DEAD_AFTER_S` and two ballots. More than 5 would add disks to wait for and
stand no loss that is asked for: of 23 machines in 10 zones and 4 regions 5 vote, in 5 zones; a lost zone takes one,
a lost region two at most, and 3 of 5 go on.

4 machines: 3 voters and a ready learner were weighed against 4 voters. Both stand one loss at once; 3 and 1 wait
for 2 disks a put instead of 3. But a registry counts a drain as known at a majority of this same list, and a proxy
asks any two registries of the core: 3 of 4 meet any two, 2 of 3 do not where one of the two is the learner's. So 4
vote while all 4 run, and 3 while one is dead (rule 4), which stands the second loss that 4 with a dead one could
not. The first list is the seeds (three) with their first disks; the fourth machine is added by rule 5.

All but one disk lost, or all: no majority, so no rule applies; `irisdeal store adopt` begins a new list.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import product

from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.membership.view import DEAD_AFTER_S, MembershipView, PeerStatuses, Seats

SUCCESSOR_WAIT_S = (
    3.0  # that a dead member's successor is waited for: a new machine is up and ready within it
)
PROPOSER_TURN_S = 1.0  # that each next proposer leaves to the ones before it: many ballots' time


def replace_wiped_disk(view: MembershipView) -> Seats | None:
    """Rule 2: a ready disk at a member's address takes that member's seat."""
    by_ip = {ip_of(seat): seat for seat in view.seats}
    return view.best(
        view.seats - {by_ip[ip_of(seat)]} | {seat} for seat in view.ready_learners() if ip_of(seat) in by_ip
    )


def replace_dead_or_leaving(view: MembershipView) -> Seats | None:
    """Rule 3: a ready learner replaces a dead member, else a leaving one, this process last."""
    dead = view.seats - view.live(view.seats)
    leaving = frozenset(filter(view.is_leaving, view.seats)) - dead
    for going in (dead, leaving - {view.own}, leaving):
        found = view.best(
            view.seats - {old} | {new} for old, new in product(going, view.ready_at_new_addresses())
        )
        if found is not None:
            return found
    return None


def remove_without_successor(view: MembershipView) -> Seats | None:
    """Rule 4: a dead or leaving member is removed where the rest can then stand one more loss."""
    leaving = frozenset(filter(view.is_leaving, view.seats))
    staying = view.live(view.seats) - leaving
    if majority(view.seats) <= max(len(staying), view.goals.min_members) // 2 + 1:
        return None
    # A member whose disk was wiped is replaced by rule 2, so it is not asked for here.
    lost = {seat for seat in view.seats if view.unreachable_s(seat) >= SUCCESSOR_WAIT_S}
    return view.best(view.seats - {seat} for seat in lost | leaving)


def add_learner(view: MembershipView) -> Seats | None:
    """Rule 5: a ready learner is added while all members are healthy."""
    count = len(view.seats) + 1
    if count > view.goals.max_members or not all(map(view.is_healthy, view.seats)):
        return None
    steady_s = _steady_s(count, view.goals)
    return view.best(
        view.seats | {seat}
        for seat in view.ready_at_new_addresses()
        if view.now - view.statuses[seat].steady_since >= steady_s
    )


def _steady_s(count: int, goals: ReconfigurationGoals) -> float:
    """Return the s for which a learner must have been steady to become the member of this number."""
    if count <= goals.min_members:
        return 0.0
    if count % 2 == 0:  # stands no more losses than the odd number below it, so there is no hurry
        return goals.sync_s / 2
    return DEAD_AFTER_S


def spread_over_zones(view: MembershipView) -> Seats | None:
    """Rule 6: a member of the fullest zone is changed for a ready learner elsewhere."""
    loss = view.largest_loss(view.seats)
    if len(view.seats) - loss >= majority(view.seats):
        return None
    lists = (
        view.seats - {old} | {new}
        for old, new in product(view.seats - {view.own}, view.ready_at_new_addresses())
    )
    return view.best(seats for seats in lists if view.largest_loss(seats) < loss)


def remove_surplus(view: MembershipView) -> Seats | None:
    """Rule 7: of too many members one is removed, the dead first."""
    if len(view.seats) <= view.goals.max_members:
        return None
    dead = view.seats - view.live(view.seats)
    return view.best(view.seats - {seat} for seat in dead or view.seats - {view.own})


Rule = Callable[[MembershipView], Seats | None]  # the list to propose, or None where the rule does not apply
RULES: tuple[Rule, ...] = (
    replace_wiped_disk,
    replace_dead_or_leaving,
    remove_without_successor,
    add_learner,
    spread_over_zones,
    remove_surplus,
)


def next_members(
    decided: Value,
    statuses: PeerStatuses,
    own: str,
    now: float,
    goals: ReconfigurationGoals,
    listening_since: float = 0.0,
    assumed_live: Seats = frozenset(),
) -> Members | None:
    """Return the list to propose, or None where none is wanted. For a member in contact with a quorum.

    Args:
        decided: the newest value that is known to be decided.
        statuses: the last status of each seat, the own one among them.
        own: the seat of this process.
        now: the present.
        goals: what the list must withstand.
        listening_since: from when on this process has listened without a stall; unreachable times count from then.
        assumed_live: members that others added though this process receives nothing from them (rule 8).
    """
    members = decided.members
    if own not in members.voters():
        return None
    if members.former:
        return members.leave_joint()
    view = MembershipView(decided, statuses, own, now, goals, listening_since, assumed_live)
    for rule in RULES:
        seats = rule(view)
        if seats is not None:
            return members.enter_joint(seats)
    return None


def is_proposer(
    decided: Value,
    statuses: PeerStatuses,
    own: str,
    now: float,
    wanted_for_s: float,
    listening_since: float = 0.0,
) -> bool:
    """Whether it is this member's turn to propose a change that it has wanted for so long.

    The first live member proposes at once, each next one `PROPOSER_TURN_S` later, so that they seldom compete.
    """
    voters = decided.members.voters()
    view = MembershipView(decided, statuses, own, now, ReconfigurationGoals(), listening_since)
    return own in voters and wanted_for_s >= PROPOSER_TURN_S * sorted(view.live(voters)).index(own)


def may_leave(
    decided: Value, statuses: PeerStatuses, own: str, now: float, listening_since: float = 0.0
) -> bool:
    """Whether a member that is shutting down may exit now.

    It may where a live quorum has what is decided without it, no learner is ready to take its seat, and no rule
    wants to remove it: it waits until such a change is complete.
    """
    members = decided.members
    if own not in members.voters():
        return True
    view = MembershipView(decided, statuses, own, now, ReconfigurationGoals(), listening_since)
    up_to_date = [
        seat
        for seat in view.live(members.voters() - {own})
        if seat in statuses
        and statuses[seat].status.has_body
        and statuses[seat].status.decided.change >= decided.change
    ]
    return (
        not members.former
        and members.is_quorum(up_to_date)
        and not view.ready_at_new_addresses()
        and remove_without_successor(view) is None
    )


def is_quorum_lost(decided: Value, statuses: PeerStatuses, own: str) -> bool:
    """Whether no quorum can ever be had: too many members' machines have come back with other disks.

    False where none of the disks that reported knows a list, as then nobody knows whose disks are missing.
    """
    view = MembershipView(decided, statuses, own, 0.0, ReconfigurationGoals(), 0.0)
    remaining = [seat for seat in decided.members.voters() if not view.is_wiped(seat)]
    return bool(decided.members.seats) and not decided.members.is_quorum(remaining)
