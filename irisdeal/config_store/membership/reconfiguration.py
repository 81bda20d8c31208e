"""Membership policy: which member list to propose next. Times are in seconds of the monotonic clock. No I/O.

Every proposal is safe, even if it misjudges which members are dead: `consensus/register.py` decides each change by
majorities of both lists. A misjudgement costs two ballots (about 40 ms) and turns a member into a learner.

Rules, in the order in which they are tried, one change at a time:

1. A joint list is completed first (`next_members`).
2. Another disk at a member's address replaces that member once it is ready: the old disk is gone. A seed machine
   that missed the first start also becomes a member this way (`replace_wiped_disk`).
3. A ready learner replaces a dead member (`DEAD_AFTER_S`), otherwise a leaving one (`replace_dead_or_leaving`).
4. A member without a successor is removed, after `SUCCESSOR_WAIT_S` if it is dead and at once if it is leaving,
   but only if the remaining members then tolerate a loss that they could not tolerate before (4 with 1 dead -> 3;
   5 with 2 dead -> 4 -> 3; never 5 with 1 dead), and never below `min_members`. A leaving member waits for its
   removal (`may_leave`): otherwise it would exit while 4 members with a dead one tolerate no loss, although its
   successor may have been a member for long. A member that only restarts is added again by rule 5
   (`remove_without_successor`).
5. A ready learner is added while there are fewer than `max_members` voters, but only while each member is healthy
   (`HEALTHY_AGE_S`). Above `min_members` the learner must also have been steady for `DEAD_AFTER_S`, because it may
   be needed as the successor of a member that stops responding. An even number of voters tolerates no more losses
   than the odd number below it, so there the learner must have been steady for half of `sync_s`; this keeps a
   flapping partition from changing the list repeatedly (`add_learner`).
6. If the list cannot tolerate the loss of a zone or region that it must tolerate, a member of the fullest one is
   replaced by a ready learner elsewhere, if that reduces the largest loss (`spread_over_zones`).
7. If there are more than `max_members` voters, one is removed, dead ones first (`remove_surplus`).
8. A member that other proposers added although this one receives nothing from it does not count as dead (for
   `ASSUMED_LIVE_S`, see `monitor`): only the link to it is partitioned, and proposing its removal repeatedly would
   change the list without end.
9. No change is proposed unless the new and the old list have a live majority and the new list has at least
   `min_members` (or as many as the old one, if that was shorter). Learners never count, and a leaving learner never
   becomes a member (`MembershipView.may_change_to`).

Number of voters: all core machines up to 5, or up to 2 t + 1 if `tolerance` needs more; the others are learners
that store every version and are ready within `DEAD_AFTER_S` and two ballots. More than 5 would add disks to wait
for without tolerating any further required loss: of 23 machines in 10 zones and 4 regions 5 vote, in 5 zones; the
loss of a zone removes one, the loss of a region at most two, and 3 of 5 remain.

With 4 machines, 3 voters and a ready learner were compared with 4 voters. Both tolerate one loss at a time, and
with 3 voters a put waits for 2 disks instead of 3. But a registry treats a drain as known once a majority of this
list has it, and a proxy queries any two registries of the core: 3 of 4 intersect any two, while 2 of 3 do not if
one of the two is the learner's. So 4 vote while all 4 run, and 3 while one is dead (rule 4); these 3 tolerate the
second loss that 4 with a dead one would not. The initial list has the three seeds with their initial disks; the
fourth machine is added by rule 5.

If all disks, or all but one, are lost, there is no majority and no rule applies; `irisdeal store adopt` begins a
new list.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import product

from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.membership.view import DEAD_AFTER_S, MembershipView, PeerStatuses, Seats

SUCCESSOR_WAIT_S = 3.0  # how long a dead member is kept: a new machine is up and ready within this time
PROPOSER_TURN_S = 1.0  # delay between successive proposers; long enough for many ballots


def replace_wiped_disk(view: MembershipView) -> Seats | None:
    """Rule 2: a ready seat with a new disk replaces the member at the same address."""
    by_ip = {ip_of(seat): seat for seat in view.seats}
    return view.best_list(
        view.seats - {by_ip[ip_of(seat)]} | {seat} for seat in view.ready_learners() if ip_of(seat) in by_ip
    )


def replace_dead_or_leaving(view: MembershipView) -> Seats | None:
    """Rule 3: a ready learner replaces a dead member, otherwise a leaving one, this process last."""
    dead = view.seats - view.live(view.seats)
    leaving = frozenset(filter(view.is_leaving, view.seats)) - dead
    for replaceable in (dead, leaving - {view.own_seat}, leaving):
        found = view.best_list(
            view.seats - {old} | {new} for old, new in product(replaceable, view.ready_at_new_addresses())
        )
        if found is not None:
            return found
    return None


def remove_without_successor(view: MembershipView) -> Seats | None:
    """Rule 4: a dead or leaving member is removed if the others then tolerate one more loss."""
    leaving = frozenset(filter(view.is_leaving, view.seats))
    staying = view.live(view.seats) - leaving
    if majority(view.seats) <= max(len(staying), view.goals.min_members) // 2 + 1:
        return None
    # A member whose disk was wiped is left to rule 2, so `is_wiped` is not checked here.
    lost = {seat for seat in view.seats if view.unreachable_s(seat) >= SUCCESSOR_WAIT_S}
    return view.best_list(view.seats - {seat} for seat in lost | leaving)


def add_learner(view: MembershipView) -> Seats | None:
    """Rule 5: a ready learner is added while all members are healthy."""
    count = len(view.seats) + 1
    if count > view.goals.max_members or not all(map(view.is_healthy, view.seats)):
        return None
    steady_s = _steady_s(count, view.goals)
    return view.best_list(
        view.seats | {seat}
        for seat in view.ready_at_new_addresses()
        if view.now - view.statuses[seat].steady_since >= steady_s
    )


def _steady_s(count: int, goals: ReconfigurationGoals) -> float:
    """Return the seconds for which a learner must have been steady to become the `count`-th member."""
    if count <= goals.min_members:
        return 0.0
    if count % 2 == 0:  # tolerates no more losses than the odd number below it, so it is not urgent
        return goals.sync_s / 2
    return DEAD_AFTER_S


def spread_over_zones(view: MembershipView) -> Seats | None:
    """Rule 6: a member of the fullest zone is replaced by a ready learner elsewhere."""
    loss = view.largest_loss(view.seats)
    if len(view.seats) - loss >= majority(view.seats):
        return None
    lists = (
        view.seats - {old} | {new}
        for old, new in product(view.seats - {view.own_seat}, view.ready_at_new_addresses())
    )
    return view.best_list(seats for seats in lists if view.largest_loss(seats) < loss)


def remove_surplus(view: MembershipView) -> Seats | None:
    """Rule 7: one of too many members is removed, dead ones first."""
    if len(view.seats) <= view.goals.max_members:
        return None
    dead = view.seats - view.live(view.seats)
    return view.best_list(view.seats - {seat} for seat in dead or view.seats - {view.own_seat})


# Returns the list to propose, None if the rule does not apply.
Rule = Callable[[MembershipView], Seats | None]
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
    own_seat: str,
    now: float,
    goals: ReconfigurationGoals,
    listening_since: float = 0.0,
    assumed_live: Seats = frozenset(),
) -> Members | None:
    """Return the list to propose; None if no change is needed. To be called with quorum contact only.

    Args:
        decided: the newest value known to be decided.
        statuses: the last status of each seat, including the own seat.
        own_seat: the seat of this process.
        now: the current time.
        goals: the losses that the list must tolerate.
        listening_since: since when this process has been receiving statuses without a stall; unreachable times
            count from then.
        assumed_live: members added by other proposers that this process receives nothing from (rule 8).
    """
    members = decided.members
    if own_seat not in members.voters():
        return None
    if members.former:
        return members.leave_joint()
    view = MembershipView(decided, statuses, own_seat, now, goals, listening_since, assumed_live)
    for rule in RULES:
        seats = rule(view)
        if seats is not None:
            return members.enter_joint(seats)
    return None


def is_proposer(
    decided: Value,
    statuses: PeerStatuses,
    own_seat: str,
    now: float,
    wanted_for_s: float,
    listening_since: float = 0.0,
) -> bool:
    """Whether it is this member's turn to propose a change that has been pending for `wanted_for_s`.

    The first live member proposes at once, each next one `PROPOSER_TURN_S` later, so that proposers rarely compete.
    """
    voters = decided.members.voters()
    view = MembershipView(decided, statuses, own_seat, now, ReconfigurationGoals(), listening_since)
    return own_seat in voters and wanted_for_s >= PROPOSER_TURN_S * sorted(view.live(voters)).index(own_seat)


def may_leave(
    decided: Value, statuses: PeerStatuses, own_seat: str, now: float, listening_since: float = 0.0
) -> bool:
    """Whether a member that is shutting down may exit now.

    It may exit if a live quorum without it has the decided value, no learner is ready to replace it, and rule 4
    does not remove it; otherwise it waits until that change is complete.
    """
    members = decided.members
    if own_seat not in members.voters():
        return True
    view = MembershipView(decided, statuses, own_seat, now, ReconfigurationGoals(), listening_since)
    up_to_date = [
        seat
        for seat in view.live(members.voters() - {own_seat})
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


def is_quorum_lost(decided: Value, statuses: PeerStatuses, own_seat: str) -> bool:
    """Whether a quorum is permanently lost: too many members' machines have come back with other disks.

    False while no member list is known, since the missing disks are unknown then.
    """
    view = MembershipView(decided, statuses, own_seat, 0.0, ReconfigurationGoals(), 0.0)
    remaining = [seat for seat in decided.members.voters() if not view.is_wiped(seat)]
    return bool(decided.members.seats) and not decided.members.is_quorum(remaining)
